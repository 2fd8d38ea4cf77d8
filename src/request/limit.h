/**
 * DOC: Rate limiter of one team: a token bucket whose grants expire.
 *
 * A token is spent at most GRANT_LIFE_US after it becomes valid, so the
 * capacity of the bucket is burst - rate * GRANT_LIFE_US.  Then at most
 * burst + rate * t requests are admitted by all hosts together in any window
 * of t seconds.  A limiter that takes over from another host starts empty, so
 * that the tokens granted by its predecessor are within the same bound.  The
 * module does no I/O and reads no clock.
 */
#ifndef CFS_LIMIT_H
#define CFS_LIMIT_H

#include "../cfs.h"

/* Lifetime of a token, counted from the time at which it becomes valid. */
#define GRANT_LIFE_US (50 * CFS_US_PER_MS)
/* Maximum time by which a token is granted before it becomes valid. */
#define GRANT_AHEAD_US (250 * CFS_US_PER_MS)

/**
 * struct cfs_bucket - token bucket of one team
 * @rate: tokens per second
 * @burst: tokens that all hosts together may spend at once
 * @level: tokens available; negative when tokens of the future are granted
 * @filled_at: time up to which @level is computed
 */
struct cfs_bucket
{
  double rate;
  double burst;
  double level;
  int64_t filled_at;
};

/**
 * cfs_bucket_init() - initializes a bucket
 * @bucket: initialized
 * @rate: tokens per second
 * @burst: tokens, at least @rate times GRANT_LIFE_US
 * @full: start with a full bucket, because no predecessor has granted tokens
 * @now: current time
 */
void cfs_bucket_init (struct cfs_bucket *bucket, double rate, double burst,
                      bool full, int64_t now);

/** cfs_bucket_set_rate() - changes the rate and the burst */
void cfs_bucket_set_rate (struct cfs_bucket *bucket, double rate, double burst,
                          int64_t now);

/**
 * cfs_bucket_take() - grants tokens, in the order of the requests
 * @bucket: bucket
 * @requested: number of tokens requested
 * @now: current time
 * @wait_us: set to the time until the last granted token becomes valid or,
 * when none is granted, until one can be granted
 *
 * Tokens that are not available yet are granted in advance, by at most
 * GRANT_AHEAD_US.  So a host that requests earlier or more tokens waits no
 * longer than its position in the queue requires.
 *
 * Return: number of tokens granted, 0 to @requested.
 */
uint32_t cfs_bucket_take (struct cfs_bucket *bucket, uint32_t requested,
                          int64_t now, int64_t *wait_us);

#endif
