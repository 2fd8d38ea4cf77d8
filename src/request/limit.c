/*
 * Of one ask a request, token grants and moving rate shares, grants on
 * demand were chosen: shares refuse a team within its rate while demand
 * moves between hosts, and an ask a request costs a message a statement.
 */
#include "limit.h"

static double
capacity (const struct cfs_bucket *b)
{
  double held = b->rate * (double)GRANT_LIFE_US / CFS_US_PER_S;
  double room = b->burst - held;

  return room > 0 ? room : 0;
}

static void
refill (struct cfs_bucket *b, int64_t now)
{
  double room = capacity (b);

  if (now > b->filled_at)
    {
      b->level += b->rate * (double)(now - b->filled_at) / CFS_US_PER_S;
      b->filled_at = now;
    }
  if (b->level > room)
    b->level = room;
}

void
cfs_bucket_init (struct cfs_bucket *b, double rate, double burst, bool full,
                 int64_t now)
{
  b->rate = rate;
  b->burst = burst;
  b->filled_at = now;
  b->level = full ? capacity (b) : 0;
}

void
cfs_bucket_change (struct cfs_bucket *b, double rate, double burst,
                   int64_t now)
{
  refill (b, now);
  b->rate = rate;
  b->burst = burst;
  refill (b, now);
}

uint32_t
cfs_bucket_take (struct cfs_bucket *b, uint32_t want, int64_t now,
                 int64_t *retry_us)
{
  uint32_t granted = want;

  refill (b, now);
  if (b->level < (double)want)
    granted = (uint32_t)b->level;
  b->level -= granted;
  *retry_us = 0;
  if (b->level < 1 && b->rate > 0)
    *retry_us = (int64_t)((1 - b->level) / b->rate * CFS_US_PER_S) + 1;
  return granted;
}
