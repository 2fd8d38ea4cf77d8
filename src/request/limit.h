/**
 * DOC: The limiter of one team: a token bucket whose grants expire.
 *
 * A token is spent at most GRANT_LIFE_US after its time, so the bucket
 * holds burst - rate * GRANT_LIFE_US.  Then in every window of t seconds at
 * most burst + rate * t requests are admitted over all hosts.  A limiter
 * that takes over starts empty: whatever its predecessor granted fits the
 * same bound.  No I/O and no clock.
 */
#ifndef CFS_LIMIT_H
#define CFS_LIMIT_H

#include "../cfs.h"

/* A token may be spent this long after its time. */
#define GRANT_LIFE_US (50 * CFS_US_PER_MS)
/* Tokens are granted at most this long before they may be spent. */
#define GRANT_AHEAD_US (250 * CFS_US_PER_MS)

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

/** cfs_bucket_set_rate() - takes over a new rate and burst */
void cfs_bucket_set_rate (struct cfs_bucket *bucket, double rate, double burst,
                          int64_t now);

/**
 * cfs_bucket_take() - grants tokens, in the order of the asks
 * @bucket: bucket
 * @want: tokens asked for
 * @now: time
 * @wait_us: set to the time until the last granted token may be spent, or,
 * when none is granted, until one can be
 *
 * Tokens that are not there yet are granted for a later time, at most
 * GRANT_AHEAD_US ahead, so that whoever asks first and for more waits no
 * longer than its place in the line.
 * Return: tokens granted, 0 to @want.
 */
uint32_t cfs_bucket_take (struct cfs_bucket *bucket, uint32_t want,
                          int64_t now, int64_t *wait_us);

#endif
