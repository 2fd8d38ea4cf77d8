/**
 * DOC: This host's shares of the teams' rates.
 *
 * The control leader gives each host a share of a team's rate for as long
 * as the host's lease; all shares together never exceed the rate.  A share
 * comes with the same part of the burst.
 */
#ifndef CFS_QUOTA_H
#define CFS_QUOTA_H

#include "../process/table.h"
#include "../version/catalog.h"
#include "../process/wire.pb-c.h"

/** struct cfs_quota_row - one team's share at this host */
struct cfs_quota_row
{
  char team[CFS_NAME_MAX];
  double share;
  double depth;
  double level;
  int64_t filled_at;
  double asked;
  double demand;
  int64_t counted_at;
  uint64_t granted;
  uint64_t refused;
};

/** struct cfs_quota - owned by the traffic thread */
struct cfs_quota
{
  struct cfs_table rows;
  int64_t until;
};

/** cfs_quota_init() - no shares */
void cfs_quota_init (struct cfs_quota *quota);

/** cfs_quota_end() - frees the rows */
void cfs_quota_end (struct cfs_quota *quota);

/**
 * cfs_quota_update() - takes the shares of a reply of the control leader
 * @shares: a share that is missing is 0
 * @catalog: rates and bursts in force
 * @until: end of the lease that covers the shares
 */
void cfs_quota_update (struct cfs_quota *quota, Cfs__TeamShare *const *shares,
                       size_t count, const struct cfs_catalog *catalog,
                       int64_t until, int64_t now);

/** cfs_quota_renew() - the shares held stay valid until later */
void cfs_quota_renew (struct cfs_quota *quota, int64_t until);

/** cfs_quota_ask() - counts an operation of a team as demand */
void cfs_quota_ask (struct cfs_quota *quota, const char *team, int64_t now);

/**
 * cfs_quota_take() - takes the right to one operation
 * @wait_us: set to the time after which one may be there, CFS_NEVER when
 * this host has no share
 *
 * Return: whether it was there.
 */
bool cfs_quota_take (struct cfs_quota *quota, const char *team, int64_t now,
                     int64_t *wait_us);

/**
 * cfs_quota_demand() - operations a second that a team asks for here
 *
 * An average over about a second that rises at once and falls slowly.
 */
double cfs_quota_demand (const struct cfs_quota_row *row, int64_t now);

#endif
