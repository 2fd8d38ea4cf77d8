/**
 * DOC: Private parts of sessions, shared by session.c, session_run.c,
 * session_setup.c and session_stats.c.
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
  OP_LINK,
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
 * @waits: counted as waiting for a token
 * @opens: the last of them opens a transaction
 * @opened_at: when the link was asked to open, or the setup was sent
 * @target: the instance that was asked last
 * @need: position that the instance's log must hold
 */
struct op
{
  enum op_phase phase;
  struct cfs_statement statement;
  char *texts[3];
  int64_t arrived;
  int64_t hold_until;
  int64_t deadline;
  int64_t retry_at;
  int64_t sent_at;
  unsigned attempts;
  unsigned setup_due;
  bool opens;
  bool writes;
  bool waits;
  int64_t opened_at;
  struct cfs_position need;
  char tried[TRIED_MAX][CFS_NAME_MAX];
  size_t tried_count;
  char target[CFS_NAME_MAX];
  enum cfs_reply_code last;
};

/** struct prepared - a name that the caller prepared */
struct prepared
{
  char *name;
  char *shape;
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
  struct cfs_position own;
  struct cfs_route route;
  char service[CFS_NAME_MAX];
  char team[CFS_NAME_MAX];
  enum cfs_tx_state state;
  bool pending;
  bool read_only;
  bool on_link;
  bool wrote;
  bool answered;
  int64_t rested_at;
  struct cfs_pooled_conn *link;
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
#define SHAPE_NAME_BYTES 24

/** struct setup - statements that bring a link into the session's state */
struct setup
{
  struct cfs_statement rows[SETUP_MAX];
  size_t count;
  char shape[SHAPE_NAME_BYTES];
};

/** session_setup() - what a link needs before the statement in hand */
void session_setup (struct cfs_session *session, struct setup *setup);

/** session_shape_name() - name under which links know a shape
 * @out: SHAPE_NAME_BYTES bytes, written
 */
void session_shape_name (const struct prepared *prepared, char *out);

/** session_wants_primary() - whether only the primary can run the statement
 */
bool session_wants_primary (const struct cfs_session *session);

/** session_wraps() - whether the statement runs inside a transaction that we
 * open for it */
bool session_wraps (const struct cfs_session *session);

/** session_phase_name() - stable name for logs */
const char *session_phase_name (enum op_phase phase);

/** session_count_latency() - counts a statement that an instance ran */
void session_count_latency (struct cfs_sessions *sessions, int64_t took_us);

/** session_log_end() - the line at the end of a statement */
void session_log_end (const struct cfs_session *session,
                      enum cfs_reply_code code, int64_t now);

/** session_now() - the time at events */
int64_t session_now (const struct cfs_session *session);

/** session_run() - goes on with the statement in hand */
void session_run (struct cfs_session *session, int64_t now);

/** session_check() - gives up what has waited too long */
void session_check (struct cfs_session *session, int64_t now);

/**
 * session_reply() - answers the statement in hand; nothing of it is left
 * @code: how it ended
 * @text: what an error says
 */
void session_reply (struct cfs_session *session, enum cfs_reply_code code,
                    const char *text);

/** session_answer() - the same with an instance's reply */
void session_answer (struct cfs_session *session,
                     const struct cfs_reply *reply);

/** session_abandon() - gives the link up; what is open on it rolls back */
void session_abandon (struct cfs_session *session, int64_t now);

/** session_wait() - the statement in hand waits for a token, or no longer */
void session_wait (struct cfs_session *session, bool waits);

/** session_allowed() - whether route and key hold; else why not */
bool session_allowed (struct cfs_session *session, int64_t now,
                      enum cfs_reply_code *code);

/** session_key_holds() - whether the key still stands for the same team, by a
 * configuration that may be acted on */
bool session_key_holds (const struct cfs_session *session, int64_t now);

/** session_prepared() - what a name stands for, or NULL */
const struct prepared *session_prepared (const struct cfs_session *session,
                                         const char *name);

#endif
