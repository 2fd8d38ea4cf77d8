/**
 * DOC: Sessions of callers.
 *
 * A session lives as long as its caller's connection.  Its values and
 * prepared names are kept here and put onto whichever link serves it.  Each
 * statement is routed by the configuration in force, admitted against the
 * team's share, given to an instance whose log is new enough, and answered
 * with what is certain about its effect.
 */
#ifndef CFS_SESSION_H
#define CFS_SESSION_H

#include "../request/quota.h"
#include "pool.h"

struct cfs_sessions;
struct cfs_session;

/**
 * struct cfs_sessions_setup - parameters of cfs_sessions_new()
 * @fleet: configuration and targets
 * @pool: links to targets
 * @quota: shares of the teams' rates
 */
struct cfs_sessions_setup
{
  const struct cfs_fleet *fleet;
  struct cfs_pool *pool;
  struct cfs_quota *quota;
};

/** cfs_sessions_new() - freed by cfs_sessions_free() */
struct cfs_sessions *cfs_sessions_new (const struct cfs_sessions_setup *setup);

/** cfs_sessions_free() - all sessions must be gone */
void cfs_sessions_free (struct cfs_sessions *sessions);

/** cfs_sessions_tick() - timers and waiting statements */
void cfs_sessions_tick (struct cfs_sessions *sessions, int64_t now);

/**
 * cfs_sessions_drain() - ends sessions as they come to rest
 * @rest_us: time without a statement that counts as rest
 * @abandon: also gives up transactions that are open
 */
void cfs_sessions_drain (struct cfs_sessions *sessions, int64_t idle_us,
                         bool abandon, int64_t now);

/** cfs_sessions_stop_accepting() - takes no new sessions from here on */
void cfs_sessions_stop_accepting (struct cfs_sessions *sessions);

/** cfs_sessions_count() - number of sessions */
size_t cfs_sessions_count (const struct cfs_sessions *sessions);

/** cfs_sessions_metrics() - appends counters and histograms */
void cfs_sessions_metrics (const struct cfs_sessions *sessions, GString *out);

/**
 * cfs_session_open() - a caller asks for a session
 * @caller: its connection
 * @database: name that it gives
 * @key: its key, or anything on a route open to all
 * @code: set to REPLY_OK, to REPLY_BUSY with a session when this host does
 * not know enough yet: then the admitted event follows, or to why the caller
 * is refused
 *
 * Return: a session, ended by cfs_session_close() or by closing @caller; or
 * NULL.
 */
struct cfs_session *cfs_session_open (struct cfs_sessions *sessions,
                                      struct cfs_caller *caller,
                                      const char *database, const char *key,
                                      enum cfs_reply_code *code);

/**
 * cfs_session_statement() - takes the next statement
 *
 * The one before has been answered.  Texts are copied.
 */
void cfs_session_statement (struct cfs_session *session,
                            const struct cfs_statement *statement);

/** cfs_session_state() - state of the session's transaction */
enum cfs_tx_state cfs_session_state (const struct cfs_session *session);

/** cfs_session_close() - the caller left; frees the session */
void cfs_session_close (struct cfs_session *session);

#endif
