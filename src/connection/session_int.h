/**
 * DOC: Private declarations of sessions, shared by session.c,
 * session_commit.c, session_run.c, session_result.c, session_wait.c,
 * session_reject.c, session_report.c, session_setup.c, session_stats.c and
 * session_values.c.
 */
#ifndef CFS_SESSION_INT_H
#define CFS_SESSION_INT_H

#include "../process/ack_lease.h"
#include "../process/placement.h"
#include "sample.h"
#include "session.h"
#include "waitlist.h"

/* Failed instances that are remembered, and avoided, per statement. */
#define TRIED_MAX 8

/**
 * enum op_phase - what the current statement waits for
 * @OP_NONE: there is no current statement
 * @OP_TOKEN: a rate limit token of the team
 * @OP_POSITION: a recent enough position of the primary
 * @OP_CONN: an instance and a pooled connection to it
 * @OP_OPENING: the connection to be established
 * @OP_SETUP: replies to the statements that set session variables, prepare
 * the statement and start the transaction on the connection
 * @OP_RUN: the reply of the instance to the statement itself
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
 * struct op - the current statement and its progress
 * @texts: copies of the id, name and argument of @statement
 * @arrived: when the caller sent it
 * @reject_at: when it is rejected if it has not been sent to an instance
 * @deadline: when it times out if it has been sent
 * @retry_at: earliest time of the next attempt
 * @sent_at: when it was sent to an instance
 * @attempts: connections acquired for it
 * @setup_pending: setup statements without a reply; the statement itself is
 * sent after the last of them
 * @begins_tx: the last setup statement starts a transaction
 * @writes: whether it writes; false for a commit
 * @awaiting_token: counted by the quota as waiting for a token
 * @opened_at: when the connection was acquired, or its setup was sent
 * @min_position: position that the instance's log must have reached
 * @tried: instances that failed to run it, @tried_count of them
 * @target: the instance that was tried last
 * @last_code: reason of the last failed attempt
 * @blocked: why no target may run it, PLACEMENT_ALLOWED if one may
 * @cold_resource: tokens of a cold target that it waits for, or ""
 * @waiter: entry in a wait queue
 * @no_room: the last attempt found no room at the instances
 * @give_up_at: when it is rejected because it cannot be served in time, or 0
 * @retry_after_ms: delay suggested to the caller on rejection, or 0
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
  enum cfs_placement_reason blocked;
  char cold_resource[CFS_NAME_MAX];
  struct cfs_waiter waiter;
  bool no_room;
  int64_t give_up_at;
  unsigned retry_after_ms;
};

/** struct prepared - a prepared statement of the session */
struct prepared
{
  char *name;
  char *query;
  bool writes;
};

/**
 * struct cfs_session - see session.h
 * @key: the caller's API key
 * @values: session variables by name
 * @prepared: prepared statements by name, see struct prepared
 * @bytes: memory of @values and @prepared
 * @own_commit: position of the latest commit of the session
 * @route: copy of the route, taken when the session was last authorized
 * @service: name of the route's database group
 * @team: team of the API key, "" on a route that needs no key
 * @state: transaction state as the caller sees it
 * @awaiting_admission: the admitted callback is outstanding
 * @tx_read_only: the transaction was started by VERB_BEGIN_READ
 * @tx_on_conn: the transaction has been started on @conn
 * @tx_wrote: a write of the transaction has been sent
 * @tx_answered: an instance has replied to a statement of the transaction,
 * which therefore cannot be moved to another instance any more
 * @idle_since: time of the last reply to the caller, or of the opening
 * @conn: pooled connection in use, or NULL
 */
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
  size_t bytes;
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

/* Number of bounds of the latency histogram. */
#define LATENCY_BUCKETS 10

/**
 * enum reject_reason - why statements were rejected as not run
 * @REJECT_TOKEN: no rate limit token
 * @REJECT_CAPACITY: the instances had no capacity in time
 * @REJECT_TIMEOUT: no instance could be used within the timeout
 * @REJECT_REASONS: number of reasons
 */
enum reject_reason
{
  REJECT_TOKEN,
  REJECT_CAPACITY,
  REJECT_TIMEOUT,
  REJECT_REASONS
};

/**
 * struct session_stats - counters of all sessions
 * @blocked: statements rejected because no target may run them
 * @evacuated: transactions ended because of an evacuation
 * @cold_tokens: tokens of cold targets used
 * @acks_withheld: commits told as unknown for lack of an acknowledgement lease
 */
struct session_stats
{
  uint64_t replies[REPLY_CODES];
  uint64_t retries;
  uint64_t blocked;
  uint64_t evacuated;
  uint64_t cold_tokens;
  uint64_t acks_withheld;
  uint64_t rejected[REJECT_REASONS];
  uint64_t latency[LATENCY_BUCKETS + 1];
  uint64_t latency_sum_ms;
};

/** struct service_waits - wait queue of one service */
struct service_waits
{
  struct service_waits *next;
  char service[CFS_NAME_MAX];
  struct cfs_waitlist list;
};

/**
 * struct cfs_sessions - see session.h
 * @draining: new sessions are refused
 * @ended: statements are refused
 * @token_waits: wait queue for rate limit tokens
 * @service_waits: wait queues of the services
 * @picked: session that a pass over a queue advances, or NULL
 * @no_room: that session found no room at the instances
 * @acks: acknowledgements of commits passed on to callers
 */
struct cfs_sessions
{
  struct cfs_sessions_setup setup;
  struct cfs_session *first;
  size_t count;
  struct cfs_samples *samples;
  bool draining;
  bool ended;
  struct cfs_waitlist token_waits;
  struct service_waits *service_waits;
  struct cfs_session *picked;
  bool no_room;
  struct cfs_passed_acks acks;
  struct session_stats stats;
};

/* Statements that the setup of a connection takes at most: a reset, all
   session variables, a prepared statement, the start of a transaction. */
#define SETUP_MAX (SESSION_VALUES_MAX + 3)
/* Statements that may stand prepared on a pooled connection before it is
   reset. */
#define CONN_PREPARED_MAX 1024
/* Size of the name of a statement prepared on a pooled connection. */
#define PREPARED_NAME_BYTES 24

/** struct conn_setup - statements that bring a connection into the session's
 * state */
struct conn_setup
{
  struct cfs_statement statements[SETUP_MAX];
  size_t count;
  char prepared_name[PREPARED_NAME_BYTES];
};

/** session_set_value() - runs VERB_SET and replies */
void session_set_value (struct cfs_session *session,
                        const struct cfs_statement *statement);

/** session_prepare() - runs VERB_PREPARE and replies */
void session_prepare (struct cfs_session *session,
                      const struct cfs_statement *statement);

/** session_deallocate() - runs VERB_DEALLOCATE and replies */
void session_deallocate (struct cfs_session *session,
                         const struct cfs_statement *statement);

/** session_build_setup() - collects the statements that the connection needs
 * before the current statement */
void session_build_setup (struct cfs_session *session,
                          struct conn_setup *setup);

/**
 * session_prepared_name() - name of a prepared statement on pooled connections
 * @out: PREPARED_NAME_BYTES bytes, written
 *
 * The name is a hash of the statement, so all sessions share it.
 */
void session_prepared_name (const struct prepared *prepared, char *out);

/** session_needs_primary() - whether the statement must run on the primary */
bool session_needs_primary (const struct cfs_session *session);

/** session_wraps_in_tx() - whether the proxy wraps the statement in a
 * transaction, see session_run.c */
bool session_wraps_in_tx (const struct cfs_session *session);

/** session_commits() - whether the success of the current statement tells the
 * caller that writes have been committed */
bool session_commits (const struct cfs_session *session);

/** session_may_acknowledge() - whether this host may tell the caller so of a
 * commit at @target */
bool session_may_acknowledge (const struct cfs_session *session,
                              const char *target, int64_t now);

/**
 * session_accept_commit() - takes the position of a commit that succeeded
 *
 * Return: false, after a log line, if the caller must not be told.
 */
bool session_accept_commit (struct cfs_session *session,
                            const struct cfs_position *position, int64_t now);

/** session_phase_name() - name of a phase in log lines */
const char *session_phase_name (enum op_phase phase);

/** session_count_latency() - adds a statement to the latency histogram */
void session_count_latency (struct cfs_sessions *sessions, int64_t took_us);

/** session_log_statement() - writes the log line of a finished statement */
void session_log_statement (const struct cfs_session *session,
                            enum cfs_reply_code code, int64_t now);

/** session_scope() - regions in which the session's statements may run */
struct cfs_placement_scope session_scope (const struct cfs_session *session);

/** session_blocked() - why no target may run the current statement, or
 * PLACEMENT_ALLOWED; counts and logs those that are blocked */
enum cfs_placement_reason session_blocked (struct cfs_session *session,
                                           int64_t now);

/** session_conn_allowed() - whether statements may still be sent on the
 * session's connection; true without one */
bool session_conn_allowed (const struct cfs_session *session, int64_t now);

/** session_cold_denied() - whether the current statement has waited long
 * enough for a token of a cold target that is denied */
bool session_cold_denied (struct cfs_session *session, int64_t now);

/** session_take_cold_token() - takes a token for the current statement if the
 * target of its connection is cold; without one, the statement waits, and
 * false is returned */
bool session_take_cold_token (struct cfs_session *session, int64_t now);

/** session_stop_awaiting_cold() - the statement does not wait for a token of a
 * cold target any more */
void session_stop_awaiting_cold (struct cfs_session *session);

/** session_end_evacuated_tx() - rolls back a transaction without a current
 * statement whose connection may no longer be used */
void session_end_evacuated_tx (struct cfs_session *session, int64_t now);

/** session_now() - current time by the pool's clock, for use in callbacks */
int64_t session_now (const struct cfs_session *session);

/** session_fail_transaction() - fails the caller's transaction, which is
 * rolled back */
void session_fail_transaction (struct cfs_session *session, const char *text,
                               int64_t now);

/** session_reject_because() - rejects a statement that no instance is
 * executing: it has certainly not taken effect
 * @reason: told to the caller */
void session_reject_because (struct cfs_session *session, const char *reason,
                             int64_t now);

/** session_reject_not_run() - as session_reject_because(), with the reason for
 * which the statement waited */
void session_reject_not_run (struct cfs_session *session, int64_t now);

/** session_fail_statement() - ends a statement that has been sent but has no
 * usable reply: it timed out, the connection broke, or the reply was not
 * conclusive */
void session_fail_statement (struct cfs_session *session,
                             enum cfs_reply_code code, const char *text,
                             int64_t now);

/** session_send_statement() - sends the current statement, followed by the end
 * of the proxy's own transaction if there is one */
void session_send_statement (struct cfs_session *session, int64_t now);

/** session_prepare_conn() - brings the connection into the session's state and
 * sends the current statement then */
void session_prepare_conn (struct cfs_session *session);

/** session_may_send() - whether the key is still valid and the target may
 * still be used */
bool session_may_send (struct cfs_session *session, int64_t now);

/** session_add_tried() - records that an instance failed to run the statement
 */
void session_add_tried (struct op *op, const char *target);

/** session_retry() - gives the connection back and tries another instance
 * @why: why the last one did not run the statement
 * @pause_us: delay before the next attempt */
void session_retry (struct cfs_session *session, enum cfs_reply_code why,
                    int64_t pause_us, int64_t now);

/* Callbacks of a pooled connection whose user is a session. */
extern const struct cfs_pooled_conn_events session_conn_events;

/** session_run() - advances the current statement as far as possible; it
 * stands in a wait queue afterwards if it has to wait */
void session_run (struct cfs_session *session, int64_t now);

/** session_run_waits() - advances waiting statements in the order of the wait
 * queues */
void session_run_waits (struct cfs_sessions *sessions, int64_t now);

/** session_update_wait() - enters or leaves the wait queues, by the phase of
 * the current statement */
void session_update_wait (struct cfs_session *session, int64_t now);

/** session_end_wait() - corrects the account of the team after the current
 * statement, and leaves the wait queues */
void session_end_wait (struct cfs_session *session, int64_t now);

/** session_must_queue() - whether others that wait for the same are to be
 * served first */
bool session_must_queue (struct cfs_session *session);

/** session_note_no_room() - records that no instance was available; returns
 * whether all that may run the statement have no room */
bool session_note_no_room (struct cfs_session *session, int64_t now);

/** session_gives_up() - whether a statement that was not sent is to be
 * rejected */
bool session_gives_up (const struct cfs_session *session, int64_t now);

/** session_count_rejection() - counts a statement rejected as not run */
void session_count_rejection (struct cfs_session *session);

/** session_waits_free() - frees the wait queues, which must be empty */
void session_waits_free (struct cfs_sessions *sessions);

/** session_wait_metrics() - appends the metrics of the wait queues */
void session_wait_metrics (const struct cfs_sessions *sessions, GString *out);

/** session_capacity_class() - class of the current statement in the learned
 * capacity */
enum cfs_capacity_class
session_capacity_class (const struct cfs_session *session);

/** session_record_result() - records what the result of the current statement
 * says about the instance */
void session_record_result (struct cfs_session *session,
                            enum cfs_capacity_outcome outcome, int64_t now);

/** session_report_error() - records what an error reply says about the
 * instance */
void session_report_error (struct cfs_session *session,
                           enum cfs_reply_code code, int64_t now);

/** session_check_timeouts() - ends or retries a statement that timed out */
void session_check_timeouts (struct cfs_session *session, int64_t now);

/** session_end_statement() - answers a statement at the end of a planned stop:
 * as not run, unless an instance has it */
void session_end_statement (struct cfs_session *session, int64_t now);

/**
 * session_reply() - replies to the current statement and clears it
 * @code: result
 * @text: error message, or NULL
 */
void session_reply (struct cfs_session *session, enum cfs_reply_code code,
                    const char *text);

/** session_forward_reply() - passes an instance's reply to the caller and
 * clears the current statement */
void session_forward_reply (struct cfs_session *session,
                            const struct cfs_reply *reply);

/** session_rollback_conn() - releases the connection after a rollback of its
 * transaction, or closes it if replies are outstanding or its target must not
 * be used any more */
void session_rollback_conn (struct cfs_session *session, int64_t now);

/** session_set_awaiting_token() - tells the quota whether the statement waits
 * for a token */
void session_set_awaiting_token (struct cfs_session *session,
                                 bool awaiting_token);

/**
 * session_authorize() - checks the lease of this host, the route and the API
 * key by the configuration in force
 * @code: set to REPLY_OK or to the reason for the refusal
 *
 * An open route needs neither a lease nor a key.  Updates the session's route,
 * service and team on success.
 */
bool session_authorize (struct cfs_session *session, int64_t now,
                        enum cfs_reply_code *code);

/** session_key_valid() - whether the API key still belongs to the session's
 * team, by a configuration that the host's lease allows it to use; always true
 * on an open route */
bool session_key_valid (const struct cfs_session *session, int64_t now);

/** session_find_prepared() - the session's prepared statement of that name, or
 * NULL */
const struct prepared *
session_find_prepared (const struct cfs_session *session, const char *name);

#endif
