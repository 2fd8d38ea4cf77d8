/**
 * DOC: Private declarations of the connection pool, shared by pool.c and
 * pool_target.c: the state that a host keeps for each instance.
 */
#ifndef CFS_POOL_INT_H
#define CFS_POOL_INT_H

#include "capacity.h"
#include "pool.h"

/* Measurements of an instance expire after this time without a new one. */
#define MEASUREMENT_TTL_US (2 * CFS_US_PER_S)

/**
 * struct idle_limit - idle connections that a host keeps to an instance
 * @count: how many
 * @timeout_us: how long each
 */
struct idle_limit
{
  size_t count;
  int64_t timeout_us;
};

/** enum conn_use - whether a connection has a user; labels of a metric */
enum conn_use
{
  CONN_IDLE,
  CONN_IN_USE,
  CONN_USES
};

/**
 * struct target_state - this host's view of one instance
 * @id: name of the target
 * @first_conn: connections, most recently used first
 * @conn_count: number of connections
 * @opening: number of connections not established yet
 * @pending: statements without a reply, over all connections
 * @latency_us: moving average of the response time
 * @measured_at: time of the last sample in @latency_us
 * @conn_refused_at: when a connection was last refused because of the
 * connection limit or overload
 * @overload_pause: backoff while the instance rejects work, 0 if it does not
 * @overload_until: end of the current backoff
 * @not_primary_until: until then, the instance is not used as primary
 * @down_until: until then, no connection is opened and no read is routed to it
 * @down_pause: backoff after failed connections
 * @replied_at: time of the last reply
 * @failed_at: time of the last connection failure
 * @stuck_at: time of the last timeout of a write or commit; 0 if one
 * succeeded since
 * @behind: position that its log is assumed to lack until @behind_until
 * @behind_pause: backoff for reads that require @behind
 * @opening_us: moving average of the time to establish a connection, 0 if it
 * is not known
 * @releases: connections released, each counting less as it gets older
 * @released_since: time of the first release
 * @released_at: time of the last release
 * @idle: idle connections to keep, as of the last release
 * @single_use_until: until then, each of its connections serves one user
 * @capacity: learned capacity
 * @opened: connections established
 * @refused: connections refused
 * @lost: connection failures
 * @out_of_step: connections lost because a reply did not match
 */
struct target_state
{
  char id[CFS_NAME_MAX];
  struct cfs_pooled_conn *first_conn;
  size_t conn_count;
  size_t opening;
  unsigned pending;
  int64_t latency_us;
  int64_t measured_at;
  int64_t conn_refused_at;
  int64_t overload_pause;
  int64_t overload_until;
  int64_t not_primary_until;
  int64_t down_until;
  int64_t down_pause;
  int64_t replied_at;
  int64_t failed_at;
  int64_t stuck_at;
  struct cfs_position behind;
  int64_t behind_until;
  int64_t behind_pause;
  int64_t opening_us;
  double releases;
  int64_t released_since;
  int64_t released_at;
  struct idle_limit idle;
  int64_t single_use_until;
  struct cfs_capacity capacity;
  uint64_t opened;
  uint64_t refused;
  uint64_t lost;
  uint64_t out_of_step[CONN_USES];
};

struct cfs_pool
{
  const struct cfs_target_adapter *adapter;
  const struct cfs_fleet *fleet;
  int64_t (*clock) (void);
  uint64_t seed;
  struct cfs_table states;
};

/** target_state_get() - finds or creates the state of an instance */
struct target_state *target_state_get (struct cfs_pool *pool, const char *id);

/** target_note_failure() - records that a connection failed or broke */
void target_note_failure (struct target_state *state, int64_t now);

/** target_note_reply() - records that the instance replied */
void target_note_reply (struct target_state *state, int64_t now);

/** target_note_overload() - records that the instance rejected work or was
 * slow to accept a connection */
void target_note_overload (struct cfs_pool *pool, struct target_state *state,
                           int64_t now);

/** target_note_latency() - records that a statement succeeded after @took_us,
 * which halves the overload backoff and resets the one for lagging behind */
void target_note_latency (struct target_state *state, int64_t took_us,
                          int64_t now);

/** target_note_result() - records a result in the learned capacity, see
 * cfs_pooled_conn_record_result() */
void target_note_result (struct cfs_pool *pool, struct target_state *state,
                         enum cfs_capacity_class class,
                         enum cfs_capacity_outcome outcome, unsigned load,
                         int64_t took_us, int64_t now);

/** target_note_opened() - records that a connection was established */
void target_note_opened (struct target_state *state, int64_t took_us);

/** target_note_out_of_step() - records that a connection was out of step */
void target_note_out_of_step (struct target_state *state, bool in_use,
                              int64_t now);

/** target_is_single_use() - whether the instance answered a statement twice
 * lately, so that a connection to it may not be used for somebody else */
bool target_is_single_use (const struct target_state *state, int64_t now);

/** target_note_release() - records that a connection was released */
void target_note_release (struct target_state *state, int64_t now);

/**
 * target_idle_limit() - this host's part of the idle connections of an
 * instance
 * @service: name of the group of the instance
 */
struct idle_limit target_idle_limit (const struct cfs_pool *pool,
                                     const struct target_state *state,
                                     const char *service);

/** target_has_idle() - whether a connection of the team is idle and may be
 * used */
bool target_has_idle (const struct target_state *state, const char *team,
                      int64_t now);

/** target_at_conn_limit() - whether the instance recently refused connections
 */
bool target_at_conn_limit (const struct target_state *state, int64_t now);

/** target_accepts_work() - whether the overload backoff allows new work now */
bool target_accepts_work (const struct target_state *state, int64_t now);

#endif
