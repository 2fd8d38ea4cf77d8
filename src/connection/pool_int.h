/**
 * DOC: Private parts of the pool: what a host knows of an instance, shared by
 * pool.c and pool_target.c.
 */
#ifndef CFS_POOL_INT_H
#define CFS_POOL_INT_H

#include "pool.h"

/* Time without use after which what was measured is forgotten. */
#define FORGET_US (2 * CFS_US_PER_S)

/**
 * struct site - one instance as this host sees it
 * @first: links, the most recently used first
 * @count: number of links
 * @opening: links that are not up yet
 * @due: statements without a reply, over all links
 * @expected_us: moving average of the time to an answer
 * @refused_at: when a connection was refused for lack of room
 * @load_pause: backoff of an instance that refuses work, 0 when it takes it
 * @load_until: end of that pause
 * @behind: position that its log lacked until @behind_until
 * @stuck_at: when a write or commit had no answer in time
 */
struct site
{
  char id[CFS_NAME_MAX];
  struct cfs_pooled_conn *first;
  size_t count;
  size_t opening;
  unsigned due;
  int64_t expected_us;
  int64_t timed_at;
  int64_t refused_at;
  int64_t load_pause;
  int64_t load_until;
  int64_t denied_until;
  int64_t down_until;
  int64_t down_pause;
  int64_t answered_at;
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
  const struct cfs_target_adapter *edge;
  const struct cfs_fleet *fleet;
  int64_t (*clock) (void);
  uint64_t seed;
  struct cfs_table sites;
};

/** site_add() - the row of an instance, made when there is none */
struct site *site_add (struct cfs_pool *pool, const char *id);

/** site_note_failure() - a connection failed or broke */
void site_note_failure (struct site *site, int64_t now);

/** site_note_answer() - the instance said something */
void site_note_answer (struct site *site, int64_t now);

/** site_note_overload() - it refused work, or lets a connection wait */
void site_note_overload (struct cfs_pool *pool, struct site *site,
                         int64_t now);

/** site_note_served() - it served a statement in @took_us */
void site_note_served (struct site *site, int64_t took_us, int64_t now);

/** site_is_pressed() - whether it refused connections lately */
bool site_is_pressed (const struct site *site, int64_t now);

/** site_takes_work() - whether it may be asked for anything new now */
bool site_takes_work (const struct site *site, int64_t now);

#endif
