/**
 * DOC: Private parts of the pool: what a host knows of an instance, shared by
 * pool.c and pool_target.c.
 */
#ifndef CFS_POOL_INT_H
#define CFS_POOL_INT_H

#include "pool.h"

/* Time without use after which what was measured is forgotten. */
#define MEASUREMENT_TTL_US (2 * CFS_US_PER_S)

/**
 * struct target_state - one instance as this host sees it
 * @first_conn: links, the most recently used first
 * @conn_count: number of links
 * @opening: links that are not up yet
 * @pending: statements without a reply, over all links
 * @latency_us: moving average of the time to an answer
 * @refused_at: when a connection was refused for lack of room
 * @load_pause: backoff of an instance that refuses work, 0 when it takes it
 * @load_until: end of that pause
 * @behind: position that its log lacked until @behind_until
 * @stuck_at: when a write or commit had no answer in time
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
  uint64_t opened;
  uint64_t refused;
  uint64_t lost;
};

struct cfs_pool
{
  const struct cfs_target_adapter *adapter;
  const struct cfs_fleet *fleet;
  int64_t (*clock) (void);
  uint64_t seed;
  struct cfs_table states;
};

/** target_state_get() - the row of an instance, made when there is none */
struct target_state *target_state_get (struct cfs_pool *pool, const char *id);

/** target_note_failure() - a connection failed or broke */
void target_note_failure (struct target_state *state, int64_t now);

/** target_note_reply() - the instance said something */
void target_note_reply (struct target_state *state, int64_t now);

/** target_note_overload() - it refused work, or lets a connection wait */
void target_note_overload (struct cfs_pool *pool, struct target_state *state,
                           int64_t now);

/** target_note_latency() - it served a statement in @took_us */
void target_note_latency (struct target_state *state, int64_t took_us,
                          int64_t now);

/** target_at_conn_limit() - whether it refused connections lately */
bool target_at_conn_limit (const struct target_state *state, int64_t now);

/** target_accepts_work() - whether it may be asked for anything new now */
bool target_accepts_work (const struct target_state *state, int64_t now);

#endif
