/**
 * DOC: Connection pool: reusable connections to targets, each for one
 * instance and one team.
 *
 * A connection has at most one user at a time.  It can be reused only outside
 * a transaction; after its release the pool consumes the outstanding replies
 * before it hands the connection to another user.  While an instance is known
 * to answer twice, a connection serves one user only.  The connection limit of
 * an instance covers all hosts together.  A host keeps as many idle
 * connections as its part of the limit allows, so that there is room for those
 * in use; a host that is refused a connection all the same closes idle ones
 * sooner and backs off.
 */
#ifndef CFS_POOL_H
#define CFS_POOL_H

#include "../process/placement.h"
#include "adapter.h"
#include "capacity.h"

#include <glib.h>

struct cfs_pool;
struct cfs_pooled_conn;

/**
 * struct cfs_pooled_conn_events - callbacks to the user of a connection
 * @opened: the connection is established, or was refused; a refused
 * connection is freed before the call
 * @replied: reply to the oldest outstanding statement
 * @lost: the connection broke; it is freed before the call
 */
struct cfs_pooled_conn_events
{
  void (*opened) (void *user, const struct cfs_reply *reply);
  void (*replied) (void *user, const struct cfs_reply *reply);
  void (*lost) (void *user, const char *reason);
};

/**
 * cfs_pool_new() - creates an empty pool
 * @adapter: opens connections, must outlive the pool
 * @fleet: targets, configuration and zones, must outlive the pool
 * @clock: returns the current time, used in callbacks
 * @seed: seed of the random backoff jitter, not 0
 *
 * Return: freed by cfs_pool_free().
 */
struct cfs_pool *cfs_pool_new (const struct cfs_target_adapter *adapter,
                               const struct cfs_fleet *fleet,
                               int64_t (*clock) (void), uint64_t seed);

/** cfs_pool_now() - current time by the pool's clock */
int64_t cfs_pool_now (const struct cfs_pool *pool);

/** cfs_pool_free() - closes all connections and frees the pool */
void cfs_pool_free (struct cfs_pool *pool);

/** cfs_pool_tick() - closes idle connections and those that timed out while
 * connecting or draining */
void cfs_pool_tick (struct cfs_pool *pool, int64_t now);

/**
 * cfs_pool_acquire() - reuses an idle connection or opens a new one
 * @target: name of the instance
 * @team: team on whose behalf statements run
 * @events: callbacks, called with @user
 * @now: time
 * @opening: set to whether the connection is not established yet; the opened
 * callback follows in that case
 *
 * Return: the connection, or NULL if the instance is unknown, overloaded or
 * down, or if connecting failed immediately.
 */
struct cfs_pooled_conn *
cfs_pool_acquire (struct cfs_pool *pool, const char *target, const char *team,
                  const struct cfs_pooled_conn_events *events, void *user,
                  int64_t now, bool *opening);

/** cfs_pool_release() - returns a connection to the pool, which closes it if
 * it cannot be reused */
void cfs_pool_release (struct cfs_pooled_conn *conn, int64_t now);

/** cfs_pool_close_conn() - closes a connection immediately */
void cfs_pool_close_conn (struct cfs_pooled_conn *conn);

/**
 * cfs_pool_choose() - the instance with the lowest expected latency, including
 * the time to open a connection if none of the team's is idle
 * @service: name of the group
 * @team: team on whose behalf the statement runs
 * @scope: regions in which the statement may run, NULL for all
 * @min_position: position that the instance's log must have reached; instances
 * that were recently found to be behind it are skipped
 * @excluded: names of @excluded_count instances that were already tried
 *
 * Return: the target, or NULL if no instance is eligible at the moment.
 */
const struct cfs_target *
cfs_pool_choose (struct cfs_pool *pool, const char *service, const char *team,
                 const struct cfs_placement_scope *scope,
                 const struct cfs_position *min_position,
                 const char (*excluded)[CFS_NAME_MAX], size_t excluded_count,
                 int64_t now);

/** cfs_pool_primary() - the primary of a group, or NULL if it is unknown,
 * recently denied being the primary, drains for too long, or may not be used;
 * @scope as of cfs_pool_choose() */
const struct cfs_target *
cfs_pool_primary (struct cfs_pool *pool, const char *service,
                  const struct cfs_placement_scope *scope, int64_t now);

/** cfs_pool_drain_expired() - whether a target drains for so long that no
 * statement may be sent to it */
bool cfs_pool_drain_expired (const struct cfs_pool *pool, const char *target,
                             int64_t now);

/** cfs_pool_has_room() - whether the learned limit of an instance allows
 * another statement; always true where capacity is not learned */
bool cfs_pool_has_room (const struct cfs_pool *pool, const char *target);

/** cfs_pool_accepts() - whether the learned limit and the overload backoff
 * allow a statement now */
bool cfs_pool_accepts (const struct cfs_pool *pool, const char *target,
                       int64_t now);

/**
 * cfs_pool_is_full() - whether all instances that may be used do not accept
 * statements now
 * @target: name of the only instance that may be used, or NULL for all of the
 * service
 */
bool cfs_pool_is_full (const struct cfs_pool *pool, const char *service,
                       const char *target, int64_t now);

/**
 * cfs_pool_rate() - statements that this host can have served per microsecond
 * @target: as for cfs_pool_is_full()
 * @class: class of the statements
 * @service_us: set to the shortest service time
 *
 * Return: the rate by learned limits and service times, or 0 if it is not
 * known of one of the instances.
 */
double cfs_pool_rate (const struct cfs_pool *pool, const char *service,
                      const char *target, enum cfs_capacity_class class,
                      int64_t now, int64_t *service_us);

/** cfs_pool_note_slow() - records that connecting to an instance takes too
 * long */
void cfs_pool_note_slow (struct cfs_pool *pool, const char *target,
                         int64_t now);

/** cfs_pool_note_overload() - records that an instance rejected a statement
 * because of overload */
void cfs_pool_note_overload (struct cfs_pool *pool, const char *target,
                             int64_t now);

/** cfs_pool_note_not_primary() - records that an instance denied being the
 * primary */
void cfs_pool_note_not_primary (struct cfs_pool *pool, const char *target,
                                int64_t now);

/** cfs_pool_note_behind() - records that an instance's log has not reached a
 * position */
void cfs_pool_note_behind (struct cfs_pool *pool, const char *target,
                           const struct cfs_position *min_position,
                           int64_t now);

/**
 * cfs_pool_note_stuck() - records that a write or commit at an instance timed
 * out, or that one succeeded again
 */
void cfs_pool_note_stuck (struct cfs_pool *pool, const char *target,
                          bool stuck, int64_t now);

/** cfs_pool_suspects() - calls @each for targets that appear to have failed:
 * unreachable, or with writes that time out */
void cfs_pool_suspects (const struct cfs_pool *pool, int64_t now,
                        void (*each) (void *ctx, const char *target),
                        void *ctx);

/** cfs_pool_idle_team() - a team that has an idle connection to an instance,
 * or NULL */
const char *cfs_pool_idle_team (const struct cfs_pool *pool,
                                const char *target);

/** cfs_pooled_conn_send() - sends statements; each receives one reply */
void cfs_pooled_conn_send (struct cfs_pooled_conn *conn,
                           const struct cfs_statement *statements,
                           size_t count, int64_t now);

/** cfs_pooled_conn_target() - name of the instance */
const char *cfs_pooled_conn_target (const struct cfs_pooled_conn *conn);

/** cfs_pooled_conn_single_use() - whether the instance answered a statement
 * twice lately, so that an error may be the late second reply to an earlier
 * statement of the connection */
bool cfs_pooled_conn_single_use (const struct cfs_pooled_conn *conn);

/** cfs_pooled_conn_pending() - number of statements without a reply */
unsigned cfs_pooled_conn_pending (const struct cfs_pooled_conn *conn);

/**
 * cfs_pooled_conn_record_result() - records what the result of a statement
 * says about the instance
 * @class: class of the statement
 * @outcome: what it says
 * @took_us: time that the statement took, used with CAPACITY_OK only
 *
 * cfs_pool_choose() selects instances by these measurements.  A connection
 * that breaks while a reply is outstanding is recorded by the pool.
 */
void cfs_pooled_conn_record_result (struct cfs_pooled_conn *conn,
                                    enum cfs_capacity_class class,
                                    enum cfs_capacity_outcome outcome,
                                    int64_t took_us);

/**
 * cfs_pooled_conn_values() - session variables set on the connection
 *
 * The connection owns the table.  Its user updates the table together with
 * the statements that make the instance match it.
 */
GHashTable *cfs_pooled_conn_values (struct cfs_pooled_conn *conn);

/** cfs_pooled_conn_prepared() - names of the statements prepared on the
 * connection; same rules as for cfs_pooled_conn_values() */
GHashTable *cfs_pooled_conn_prepared (struct cfs_pooled_conn *conn);

/** cfs_pool_metrics() - appends the pool's metrics in the Prometheus text
 * format */
void cfs_pool_metrics (const struct cfs_pool *pool, GString *out);

#endif
