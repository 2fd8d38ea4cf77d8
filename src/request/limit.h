/**
 * DOC: The limiter of one team: a token bucket whose grants expire.
 *
 * A grant is spent at most GRANT_LIFE_US after it was made, so the bucket
 * holds burst - rate * GRANT_LIFE_US.  Then in every window of t seconds at
 * most burst + rate * t requests are admitted over all hosts.  A limiter
 * that takes over starts empty: whatever its predecessor granted fits the
 * same bound.  No I/O and no clock.
 */
#ifndef CFS_LIMIT_H
#define CFS_LIMIT_H

#include "../cfs.h"

/* A token may be spent this long after it was asked for. */
#define GRANT_LIFE_US (50 * CFS_US_PER_MS)

/** struct cfs_bucket - tokens of one team at its limiter */
struct cfs_bucket
{
  double rate;
  double burst;
  double level;
  int64_t filled_at;
};

/**
 * cfs_bucket_init() - starts a limiter
 * @bucket: written
 * @rate: tokens per second
 * @burst: tokens, at least @rate times GRANT_LIFE_US
 * @full: whether no predecessor can have granted anything
 * @now: time
 */
void cfs_bucket_init (struct cfs_bucket *bucket, double rate, double burst,
                      bool full, int64_t now);

/** cfs_bucket_change() - takes over a new rate and burst */
void cfs_bucket_change (struct cfs_bucket *bucket, double rate, double burst,
                        int64_t now);

/**
 * cfs_bucket_take() - grants tokens
 * @bucket: bucket
 * @want: tokens asked for
 * @now: time
 * @retry_us: set to the time until one more token is there
 *
 * Return: tokens granted, 0 to @want.
 */
uint32_t cfs_bucket_take (struct cfs_bucket *bucket, uint32_t want,
                          int64_t now, int64_t *retry_us);

#endif
