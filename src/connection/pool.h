/**
 * DOC: Links to targets: one connection to one instance on behalf of one
 * team, kept for reuse.
 *
 * A link is held by one holder at a time.  It goes back to the pool only
 * outside a transaction; replies that are still due then are taken by the
 * pool before anybody else gets the link.  The bound of connections of an
 * instance holds for all hosts together and is met by its refusals: a host
 * that is refused gives idle links up sooner and backs off.
 */
#ifndef CFS_POOL_H
#define CFS_POOL_H

#include "../process/fleet.h"
#include "adapter.h"

#include <glib.h>

struct cfs_pool;
struct cfs_pooled_conn;

/**
 * struct cfs_pooled_conn_events - what a link tells its holder
 * @opened: the connection is up, or was refused; a refused link is freed
 * before this is called
 * @replied: the oldest statement without a reply ended
 * @lost: the link is freed before this is called
 */
struct cfs_pooled_conn_events
{
  void (*opened) (void *user, const struct cfs_reply *reply);
  void (*replied) (void *user, const struct cfs_reply *reply);
  void (*lost) (void *user, const char *reason);
};

/**
 * cfs_pool_new() - without links
 * @adapter: makes connections, must outlive the pool
 * @fleet: targets, configuration and zones, must outlive the pool
 * @clock: gives the time at events
 * @seed: of the random part of pauses, not 0
 *
 * Return: freed by cfs_pool_free().
 */
struct cfs_pool *cfs_pool_new (const struct cfs_target_adapter *adapter,
                               const struct cfs_fleet *fleet,
                               int64_t (*clock) (void), uint64_t seed);

/** cfs_pool_now() - the time by the pool's clock */
int64_t cfs_pool_now (const struct cfs_pool *pool);

/** cfs_pool_free() - closes all links */
void cfs_pool_free (struct cfs_pool *pool);

/** cfs_pool_tick() - closes links that idle too long or lead nowhere */
void cfs_pool_tick (struct cfs_pool *pool, int64_t now);

/**
 * cfs_pool_acquire() - a link for a holder
 * @target: name of the instance
 * @team: team on whose behalf statements run
 * @now: time
 * @opening: set when the connection is not up yet
 *
 * Return: the link, or NULL when there is no room for one now.
 */
struct cfs_pooled_conn *
cfs_pool_acquire (struct cfs_pool *pool, const char *target, const char *team,
                  const struct cfs_pooled_conn_events *events, void *user,
                  int64_t now, bool *opening);

/** cfs_pool_release() - takes a link back; closes it when it cannot be reused
 */
void cfs_pool_release (struct cfs_pooled_conn *conn, int64_t now);

/** cfs_pool_close_conn() - closes a link at once */
void cfs_pool_close_conn (struct cfs_pooled_conn *conn);

/**
 * cfs_pool_choose() - the instance that is likely to answer first
 * @service: name of the group
 * @min_position: position that its log must hold
 * @excluded: names of instances that were tried, @avoid_count of them
 *
 * Return: the target, or NULL when none may be asked now.
 */
const struct cfs_target *
cfs_pool_choose (struct cfs_pool *pool, const char *service,
                 const struct cfs_position *min_position,
                 const char (*excluded)[CFS_NAME_MAX], size_t excluded_count,
                 int64_t now);

/** cfs_pool_primary() - the instance that leads, or NULL when unknown */
const struct cfs_target *cfs_pool_primary (struct cfs_pool *pool,
                                           const char *service, int64_t now);

/** cfs_pool_note_slow() - a connection to an instance does not come up */
void cfs_pool_note_slow (struct cfs_pool *pool, const char *target,
                         int64_t now);

/** cfs_pool_note_overload() - an instance had no room for a statement */
void cfs_pool_note_overload (struct cfs_pool *pool, const char *target,
                             int64_t now);

/** cfs_pool_note_not_primary() - an instance said that it does not lead */
void cfs_pool_note_not_primary (struct cfs_pool *pool, const char *target,
                                int64_t now);

/** cfs_pool_note_behind() - an instance's log lacks a position */
void cfs_pool_note_behind (struct cfs_pool *pool, const char *target,
                           const struct cfs_position *min_position,
                           int64_t now);

/**
 * cfs_pool_note_stuck() - a write or commit at an instance had no answer in
 * time, or had one again
 */
void cfs_pool_note_stuck (struct cfs_pool *pool, const char *target,
                          bool stuck, int64_t now);

/** cfs_pool_suspects() - calls @each for targets that cannot be reached */
void cfs_pool_suspects (const struct cfs_pool *pool, int64_t now,
                        void (*each) (void *ctx, const char *target),
                        void *ctx);

/** cfs_pool_idle_team() - a team with an idle link to an instance, or NULL */
const char *cfs_pool_idle_team (const struct cfs_pool *pool,
                                const char *target);

/** cfs_pooled_conn_send() - hands statements over; each gets one reply */
void cfs_pooled_conn_send (struct cfs_pooled_conn *conn,
                           const struct cfs_statement *statements,
                           size_t count, int64_t now);

/** cfs_pooled_conn_target() - name of the instance */
const char *cfs_pooled_conn_target (const struct cfs_pooled_conn *conn);

/** cfs_pooled_conn_pending() - statements without a reply */
unsigned cfs_pooled_conn_pending (const struct cfs_pooled_conn *conn);

/**
 * cfs_pooled_conn_record_latency() - tells how long a read or write took
 *
 * The choice of instances builds on it.
 */
void cfs_pooled_conn_record_latency (struct cfs_pooled_conn *conn,
                                     int64_t took_us);

/**
 * cfs_pooled_conn_values() - values that are set on the link
 *
 * The table belongs to the link and is changed by whoever holds it, together
 * with the statements that make it true.
 */
GHashTable *cfs_pooled_conn_values (struct cfs_pooled_conn *conn);

/** cfs_pooled_conn_prepared() - names that are prepared on the link; as above
 */
GHashTable *cfs_pooled_conn_prepared (struct cfs_pooled_conn *conn);

/** cfs_pool_metrics() - appends counters */
void cfs_pool_metrics (const struct cfs_pool *pool, GString *out);

#endif
