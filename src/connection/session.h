/**
 * DOC: Sessions of callers.
 *
 * A session lives as long as its caller's connection.  The proxy keeps the
 * session variables and prepared statements and replays them on whichever
 * pooled connection serves the session.  Each statement is routed by the
 * configuration in force, rate limited by the team's share and sent to an
 * instance whose log is recent enough.  The reply claims no more about the
 * statement's effect than is certain.
 */
#ifndef CFS_SESSION_H
#define CFS_SESSION_H

#include "../process/ack_lease.h"
#include "../request/quota.h"
#include "pool.h"

/* Bounds of what a session holds between statements.  A statement that would
   exceed one is answered with REPLY_MALFORMED and changes nothing. */
#define SESSION_VALUES_MAX 64
#define SESSION_PREPARED_MAX 256
#define SESSION_NAME_BYTES_MAX 256
/* Names, values and texts of prepared statements together.  One message of the
   maximum length fits. */
#define SESSION_BYTES_MAX (2u << 20)

struct cfs_sessions;
struct cfs_session;

/**
 * struct cfs_sessions_setup - parameters of cfs_sessions_new()
 * @fleet: configuration and targets
 * @pool: connections to targets
 * @quota: this host's shares of the teams' rates
 */
struct cfs_sessions_setup
{
  const struct cfs_fleet *fleet;
  struct cfs_pool *pool;
  struct cfs_quota *quota;
};

/** cfs_sessions_new() - no sessions yet; freed by cfs_sessions_free() */
struct cfs_sessions *cfs_sessions_new (const struct cfs_sessions_setup *setup);

/** cfs_sessions_free() - all sessions must have been closed */
void cfs_sessions_free (struct cfs_sessions *sessions);

/** cfs_sessions_tick() - runs timeouts and resumes waiting statements */
void cfs_sessions_tick (struct cfs_sessions *sessions, int64_t now);

/**
 * cfs_sessions_drain() - closes idle sessions
 * @idle_us: time without a statement after which a session is idle
 * @abandon: also close sessions in a transaction, which is rolled back
 */
void cfs_sessions_drain (struct cfs_sessions *sessions, int64_t idle_us,
                         bool abandon, int64_t now);

/**
 * cfs_sessions_add_sample() - records the log position of a primary that the
 * control leader queried
 * @requested_at: latest time, by this host's clock, that is certainly not
 * after the query
 */
void cfs_sessions_add_sample (struct cfs_sessions *sessions,
                              const char *service,
                              const struct cfs_position *position,
                              int64_t requested_at);

/** cfs_sessions_stop_accepting() - refuses new sessions from now on */
void cfs_sessions_stop_accepting (struct cfs_sessions *sessions);

/**
 * cfs_sessions_end() - answers all statements, those sent later as well
 *
 * What no instance has is answered as not run.
 */
void cfs_sessions_end (struct cfs_sessions *sessions, int64_t now);

/** cfs_sessions_acks() - acknowledgements of commits passed on to callers */
const struct cfs_passed_acks *
cfs_sessions_acks (const struct cfs_sessions *sessions);

/** cfs_sessions_count() - number of open sessions */
size_t cfs_sessions_count (const struct cfs_sessions *sessions);

/** cfs_sessions_metrics() - appends the metrics of all sessions in the
 * Prometheus text format */
void cfs_sessions_metrics (const struct cfs_sessions *sessions, GString *out);

/**
 * cfs_session_open() - opens a session for a caller
 * @caller: the caller's connection
 * @database: database name given by the caller
 * @key: the caller's API key; ignored on a route that needs none
 * @code: set to REPLY_OK; or to REPLY_BUSY if the host has no configuration
 * or no lease yet, in which case a session is returned and its admission is
 * reported later by the admitted callback; or to the reason for the refusal,
 * which is REPLY_BUSY after cfs_sessions_stop_accepting()
 *
 * Return: the session, freed by cfs_session_close() or when the sessions
 * close @caller; or NULL if the caller is refused.
 */
struct cfs_session *cfs_session_open (struct cfs_sessions *sessions,
                                      struct cfs_caller *caller,
                                      const char *database, const char *key,
                                      enum cfs_reply_code *code);

/**
 * cfs_session_statement() - runs the caller's next statement
 *
 * The previous statement must have been replied to.  Strings are copied.
 */
void cfs_session_statement (struct cfs_session *session,
                            const struct cfs_statement *statement);

/** cfs_session_state() - transaction state of the session */
enum cfs_tx_state cfs_session_state (const struct cfs_session *session);

/** cfs_session_bytes() - memory of the session's variables and prepared
 * statements, in bytes */
size_t cfs_session_bytes (const struct cfs_session *session);

/** cfs_session_close() - frees the session of a caller that disconnected */
void cfs_session_close (struct cfs_session *session);

#endif
