/*
 * Each kind of message has an interval for few hosts, a minimum time for each
 * host, which bounds what all send together, and an upper bound where others
 * rely on hearing from a host.
 */
#include "pace.h"

#include <string.h>

/* One of so many reports contains all teams: where there are few hosts, each
   holds a share of every team before its first operation. */
#define FULL_REPORT_PERIOD 8

/**
 * struct pace - interval of one kind of message
 * @least_us: for few hosts
 * @per_host_us: time for each host
 * @most_us: for any number of hosts
 */
struct pace
{
  int64_t least_us;
  int64_t per_host_us;
  int64_t most_us;
};

/* The leader takes suspicions into account only of hosts whose last heartbeat
   is not older than HOST_FRESH_US. */
static const struct pace heartbeat
    = { 300 * CFS_US_PER_MS, 2500, 600 * CFS_US_PER_MS };
static const struct pace demand
    = { 900 * CFS_US_PER_MS, 7500, 3 * CFS_US_PER_S };
static const struct pace unsettled_demand
    = { 100 * CFS_US_PER_MS, 2500, CFS_US_PER_S };
/* A leader that is busy for a moment replies late, but does reply. */
static const struct pace token_reply
    = { 240 * CFS_US_PER_MS, 5000, CFS_US_PER_S };
static const struct pace tokens
    = { 25 * CFS_US_PER_MS, 750, 300 * CFS_US_PER_MS };

static int64_t
interval (const struct pace *p, uint32_t hosts)
{
  int64_t us = p->per_host_us * hosts;

  if (us < p->least_us)
    return p->least_us;
  return us > p->most_us ? p->most_us : us;
}

int64_t
cfs_pace_heartbeat_us (uint32_t hosts)
{
  return interval (&heartbeat, hosts);
}

int64_t
cfs_pace_demand_us (uint32_t hosts)
{
  return interval (&demand, hosts);
}

int64_t
cfs_pace_unsettled_demand_us (uint32_t hosts)
{
  return interval (&unsettled_demand, hosts);
}

int64_t
cfs_pace_tokens_us (uint32_t hosts)
{
  return interval (&tokens, hosts);
}

int64_t
cfs_pace_token_reply_us (uint32_t hosts)
{
  return interval (&token_reply, hosts);
}

bool
cfs_pace_report_is_full (unsigned number, const char *host)
{
  unsigned phase
      = (unsigned)(cfs_hash (host, strlen (host), 1) % FULL_REPORT_PERIOD);

  return number == 0 || number % FULL_REPORT_PERIOD == phase;
}
