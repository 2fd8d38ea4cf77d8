/**
 * DOC: Division of the teams' rates between hosts, by the control leader.
 *
 * Up to half of a rate is given out as shares: each host gets a part for the
 * time of a lease, in proportion to the demand that it reports.  What a host
 * may still hold is counted until it confirmed a smaller share or its lease
 * ran out.  The rest fills one bucket, from which single tokens go to hosts
 * where operations wait.  A team that asks for more than its rate gets tokens
 * alone: a share stays unused at a host that rests while others wait.  All
 * together never exceed rate and burst.
 * No I/O and no clock.
 */
#ifndef CFS_SHARES_H
#define CFS_SHARES_H

#include "table.h"

/* A share holds for this time from when the host asked, and not longer than
   the configuration that it belongs to. */
#define SHARE_LEASE_US (1500 * CFS_US_PER_MS)
/* Wait until none is held by a silent host, clocks that drift included. */
#define SHARE_EXPIRY_US (SHARE_LEASE_US + SHARE_LEASE_US / 20)
/* A token that was granted is void after this time. */
#define TOKEN_LIFE_US (250 * CFS_US_PER_MS)
/* Part of the rate that is given out as shares; each share gets the same
   part of the burst. */
#define SHARED_FRACTION 0.5

/** struct cfs_shares - one table of hosts a team */
struct cfs_shares
{
  struct cfs_table teams;
  int64_t grace_end;
  int64_t accurate_from;
  int64_t idle_since;
  bool complete;
};

/** cfs_shares_init() - no shares are out */
void cfs_shares_init (struct cfs_shares *shares);

/** cfs_shares_end() - frees the tables */
void cfs_shares_end (struct cfs_shares *shares);

/**
 * cfs_shares_reset() - forgets all; until @grace_end hosts may hold shares
 * of an earlier leader, so none grows
 */
void cfs_shares_reset (struct cfs_shares *shares, int64_t grace_end);

/**
 * cfs_shares_end_grace() - no share of an earlier leader is unknown any more
 * @idle_since: nothing has passed at any host since then
 */
void cfs_shares_end_grace (struct cfs_shares *shares, int64_t idle_since,
                           int64_t now);

/**
 * cfs_shares_is_accurate() - whether a token that is denied is in use
 *
 * Not so while shares of an earlier leader may be out, nor shortly after:
 * what its buckets held is lost.
 */
bool cfs_shares_is_accurate (const struct cfs_shares *shares, int64_t now);

/**
 * cfs_shares_assign() - the share of one host
 * @rate: rate of the team, operations a second
 * @burst: burst of the team; a share too small for one operation is not made
 * @demand: what the host was asked for, operations a second
 * @confirmed: share that the host says it holds
 * @until: end of the lease that covers the answer
 *
 * Return: operations a second, at most what is free.
 */
double cfs_shares_assign (struct cfs_shares *shares, const char *team,
                          double rate, double burst, const char *host,
                          double demand, double confirmed, int64_t now,
                          int64_t until);

/**
 * cfs_shares_grant() - takes tokens out of a team's bucket
 * @burst: burst of the team
 * @count: tokens asked for
 *
 * Return: how many are granted.
 */
uint32_t cfs_shares_grant (struct cfs_shares *shares, const char *team,
                           double rate, double burst, uint32_t count,
                           int64_t now);

/** cfs_shares_extend() - the shares of a host stay out until later */
void cfs_shares_extend (struct cfs_shares *shares, const char *host,
                        int64_t until);

#endif
