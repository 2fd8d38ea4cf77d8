/*
 * Tokens are granted to hosts in batches, on demand.  Leasing shares of the
 * rate to hosts would refuse requests of a team within its rate while demand
 * moves between hosts, and requesting each token separately would cost one
 * message per statement.  The level may become negative: tokens are then
 * granted in advance.  Granting only the tokens that are available gives each
 * host the same number under overload, however many requests wait there.
 */
#include "limit.h"

static double
capacity (const struct cfs_bucket *b)
{
  double reserved = b->rate * (double)GRANT_LIFE_US / CFS_US_PER_S;
  double room = b->burst - reserved;

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
cfs_bucket_set_rate (struct cfs_bucket *b, double rate, double burst,
                     int64_t now)
{
  refill (b, now);
  b->rate = rate;
  b->burst = burst;
  refill (b, now);
}

uint32_t
cfs_bucket_take (struct cfs_bucket *b, uint32_t requested, int64_t now,
                 int64_t *wait_us)
{
  double ahead = b->rate * (double)GRANT_AHEAD_US / CFS_US_PER_S;
  uint32_t granted = requested;

  refill (b, now);
  if (b->level + ahead < (double)requested)
    granted = b->level + ahead >= 1 ? (uint32_t)(b->level + ahead) : 0;
  b->level -= granted;
  *wait_us = 0;
  if (granted == 0)
    *wait_us = (int64_t)((1 - b->level - ahead) / b->rate * CFS_US_PER_S) + 1;
  else if (b->level < 0)
    *wait_us = (int64_t)(-b->level / b->rate * CFS_US_PER_S) + 1;
  return granted;
}
