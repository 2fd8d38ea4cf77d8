/**
 * DOC: Private parts of sessions, shared by session.c, session_run.c,
 * session_build_setup.c and session_stats.c.
 */
#ifndef CFS_SESSION_INT_H
#define CFS_SESSION_INT_H

#include "sample.h"
#include "session.h"

/* Instances that one statement is tried at before it starts over. */
#define TRIED_MAX 8

/**
 * enum op_phase - what the statement in hand waits for
 * @OP_NONE: there is none
 * @OP_TOKEN: a token of the team's share
 * @OP_POSITION: a position of the primary that is young enough
 * @OP_LINK: an instance and a link to it
 * @OP_OPENING: the link to come up
 * @OP_SETUP: the link to take over values, names and the transaction
 * @OP_RUN: the instance's answer
 */
enum op_phase
{
  OP_NONE,
  OP_TOKEN,
  OP_POSITION,
  OP_CONN,
  OP_OPENING,
  OP_SETUP,
  OP_RUN
};

/**
 * struct op - the statement in hand
 * @hold_until: when it is refused if no instance has it yet
 * @deadline: when it is given up
 * @retry_at: not before this time
 * @setup_due: replies due before the statement itself is sent
 * @awaiting_token: counted as waiting for a token
 * @begins_tx: the last of them opens a transaction
 * @opened_at: when the link was asked to open, or the setup was sent
 * @target: the instance that was asked last
 * @min_position: position that the instance's log must hold
 */
struct op
{
  enum op_phase phase;
  struct cfs_statement statement;
  char *texts[3];
  int64_t arrived;
  int64_t reject_at;
  int64_t deadline;
  int64_t retry_at;
  int64_t sent_at;
  unsigned attempts;
  unsigned setup_pending;
  bool begins_tx;
  bool writes;
  bool awaiting_token;
  int64_t opened_at;
  struct cfs_position min_position;
  char tried[TRIED_MAX][CFS_NAME_MAX];
  size_t tried_count;
  char target[CFS_NAME_MAX];
  enum cfs_reply_code last_code;
};

/** struct prepared - a name that the caller prepared */
struct prepared
{
  char *name;
  char *query;
  bool writes;
};

/** struct cfs_session - see session.h */
struct cfs_session
{
  struct cfs_sessions *owner;
  struct cfs_session *next;
  struct cfs_session *prev;
  struct cfs_caller *caller;
  char *database;
  char *key;
  GHashTable *values;
  GHashTable *prepared;
  struct cfs_position own_commit;
  struct cfs_route route;
  char service[CFS_NAME_MAX];
  char team[CFS_NAME_MAX];
  enum cfs_tx_state state;
  bool awaiting_admission;
  bool tx_read_only;
  bool tx_on_conn;
  bool tx_wrote;
  bool tx_answered;
  int64_t idle_since;
  struct cfs_pooled_conn *conn;
  struct op op;
};

/* Bounds of the latency histogram in milliseconds. */
#define LATENCY_BUCKETS 10

/** struct session_stats - counters of all sessions */
struct session_stats
{
  uint64_t replies[REPLY_CODES];
  uint64_t retries;
  uint64_t latency[LATENCY_BUCKETS + 1];
  uint64_t latency_sum_ms;
};

/** struct cfs_sessions - see session.h */
struct cfs_sessions
{
  struct cfs_sessions_setup setup;
  struct cfs_session *first;
  size_t count;
  struct cfs_samples *samples;
  bool draining;
  struct session_stats stats;
};

/* Bound of statements that prepare a link. */
#define SETUP_MAX 64
/* Room for the name of a prepared shape. */
#define PREPARED_NAME_BYTES 24

/** struct conn_setup - statements that bring a link into the session's state
 */
struct conn_setup
{
  struct cfs_statement statements[SETUP_MAX];
  size_t count;
  char prepared_name[PREPARED_NAME_BYTES];
};

/** session_build_setup() - what a link needs before the statement in hand */
void session_build_setup (struct cfs_session *session,
                          struct conn_setup *setup);

/** session_prepared_name() - name under which links know a shape
 * @out: PREPARED_NAME_BYTES bytes, written
 */
void session_prepared_name (const struct prepared *prepared, char *out);

/** session_needs_primary() - whether only the primary can run the statement
 */
bool session_needs_primary (const struct cfs_session *session);

/** session_needs_own_tx() - whether the statement runs inside a transaction
 * that we open for it */
bool session_needs_own_tx (const struct cfs_session *session);

/** session_phase_name() - stable name for logs */
const char *session_phase_name (enum op_phase phase);

/** session_count_latency() - counts a statement that an instance ran */
void session_count_latency (struct cfs_sessions *sessions, int64_t took_us);

/** session_log_statement() - the line at the end of a statement */
void session_log_statement (const struct cfs_session *session,
                            enum cfs_reply_code code, int64_t now);

/** session_now() - the time at events */
int64_t session_now (const struct cfs_session *session);

/** session_run() - goes on with the statement in hand */
void session_run (struct cfs_session *session, int64_t now);

/** session_check_timeouts() - gives up what has waited too long */
void session_check_timeouts (struct cfs_session *session, int64_t now);

/**
 * session_reply() - answers the statement in hand; nothing of it is left
 * @code: how it ended
 * @text: what an error says
 */
void session_reply (struct cfs_session *session, enum cfs_reply_code code,
                    const char *text);

/** session_forward_reply() - the same with an instance's reply */
void session_forward_reply (struct cfs_session *session,
                            const struct cfs_reply *reply);

/** session_rollback_conn() - gives the link up; what is open on it rolls back
 */
void session_rollback_conn (struct cfs_session *session, int64_t now);

/** session_set_awaiting_token() - the statement in hand waits for a token, or
 * no longer */
void session_set_awaiting_token (struct cfs_session *session,
                                 bool awaiting_token);

/** session_authorize() - whether route and key hold; else why not */
bool session_authorize (struct cfs_session *session, int64_t now,
                        enum cfs_reply_code *code);

/** session_key_valid() - whether the key still stands for the same team, by a
 * configuration that may be acted on */
bool session_key_valid (const struct cfs_session *session, int64_t now);

/** session_find_prepared() - what a name stands for, or NULL */
const struct prepared *
session_find_prepared (const struct cfs_session *session, const char *name);

#endif
