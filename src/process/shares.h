/**
 * DOC: Division of each team's rate among the hosts, by the control leader.
 *
 * Up to half of a rate is leased to hosts as shares, in proportion to the
 * demand that they report.  A share counts as outstanding until its host has
 * confirmed a smaller one or its lease has expired.  The rest of the rate
 * fills one token bucket per team, from which hosts with waiting operations
 * request single tokens.  A team whose demand exceeds its rate gets tokens
 * only, because a share would stay unused at an idle host while operations
 * wait at others.  Shares and tokens together never exceed rate and burst.
 * Does no I/O and reads no clock.
 */
#ifndef CFS_SHARES_H
#define CFS_SHARES_H

#include "table.h"

/* Lease of a share, counted from when the host sent its heartbeat; it ends no
   later than the lease of the configuration that the share belongs to.  With a
   longer one, the shares of hosts that are gone stay unused for longer in a
   burst. */
#define SHARE_LEASE_US (1500 * CFS_US_PER_MS)
/* After this time a host that sends no heartbeats uses no share any more; 5 %
   longer than the lease because clocks drift. */
#define SHARE_EXPIRY_US (SHARE_LEASE_US + SHARE_LEASE_US / 20)
/* A granted token expires after this time. */
#define TOKEN_LIFE_US (250 * CFS_US_PER_MS)
/* Fraction of the rate that may be leased as shares. */
#define SHARED_FRACTION 0.5

/**
 * struct cfs_shares - shares and token buckets of all teams
 * @teams: table of struct team_state
 * @holders: table of struct share_holder, hosts with shares
 * @first_expiry: no lease of a holder ends earlier
 * @since: election of this leader; nothing is granted by an earlier one after
 * it
 * @grace_end: shares granted by an earlier leader may be in use until then
 * @accurate_from: when all buckets have had time to refill
 * @idle_since: as passed to cfs_shares_end_grace()
 * @complete: every host has reported its shares to this leader
 * @report: number of the report being handled
 */
struct cfs_shares
{
  struct cfs_table teams;
  struct cfs_table holders;
  int64_t first_expiry;
  int64_t since;
  int64_t grace_end;
  int64_t accurate_from;
  int64_t idle_since;
  bool complete;
  uint64_t report;
};

/**
 * cfs_share_capacity() - tokens that the holder of a share may store
 *
 * A part of the fraction of the burst that corresponds to the share: what a
 * host stores is of no use to callers at other hosts.
 */
double cfs_share_capacity (double share, double rate, double burst);

/** cfs_shares_init() - starts without teams */
void cfs_shares_init (struct cfs_shares *shares);

/** cfs_shares_end() - frees the tables */
void cfs_shares_end (struct cfs_shares *shares);

/**
 * cfs_shares_reset() - drops all state when this host becomes leader
 * @grace_end: until then hosts may use shares of an earlier leader, so no
 * share is increased
 */
void cfs_shares_reset (struct cfs_shares *shares, int64_t now,
                       int64_t grace_end);

/**
 * cfs_shares_end_grace() - every host has reported its shares to this leader
 * @idle_since: no operation has been admitted at any host since then
 */
void cfs_shares_end_grace (struct cfs_shares *shares, int64_t idle_since,
                           int64_t now);

/**
 * cfs_shares_is_accurate() - whether a refusal means that the rate is used up
 *
 * False while shares of an earlier leader may be in use, and for a refill
 * time after that, because the levels of that leader's buckets are lost.
 */
bool cfs_shares_is_accurate (const struct cfs_shares *shares, const char *team,
                             int64_t now);

/**
 * cfs_shares_unshared_us() - time for which certainly no host holds a share of
 * a team, 0 if one may hold a share now
 *
 * Hosts keep it and report it to the next leader, which then need not reserve
 * rate for the shares of hosts that it does not hear.
 */
int64_t cfs_shares_unshared_us (const struct cfs_shares *shares,
                                const char *team, int64_t now);

/**
 * cfs_shares_note_unshared() - a host reports what an earlier leader returned
 * from cfs_shares_unshared_us()
 * @until: end of that time
 */
void cfs_shares_note_unshared (struct cfs_shares *shares, const char *team,
                               int64_t until);

/**
 * cfs_shares_assign() - sets the share of one host
 * @rate: rate of the team in operations per second
 * @burst: burst of the team; no share is leased whose part of the burst is
 * less than one operation
 * @demand: operations per second that were requested at the host
 * @confirmed: share that the host reports to hold
 * @until: end of the new share's lease
 *
 * Return: operations per second, at most what is not leased to other hosts.
 */
double cfs_shares_assign (struct cfs_shares *shares, const char *team,
                          double rate, double burst, const char *host,
                          double demand, double confirmed, int64_t now,
                          int64_t until);

/**
 * cfs_shares_start_report() - begins a report of a host on the teams, each of
 * which is passed to cfs_shares_assign()
 */
void cfs_shares_start_report (struct cfs_shares *shares);

/**
 * cfs_shares_end_report() - ends it: the host holds no share of a team that
 * was not passed since cfs_shares_start_report(), and has no demand for it
 */
void cfs_shares_end_report (struct cfs_shares *shares, const char *host);

/**
 * struct cfs_token_request - a host's request for tokens of a team
 * @host: name of the host
 * @count: number of tokens requested
 * @used: the host has no unused token of the team, nor may it receive one that
 * was granted before
 * @unshared: the host holds no share of the team
 */
struct cfs_token_request
{
  const char *host;
  uint32_t count;
  bool used;
  bool unshared;
};

/**
 * cfs_shares_grant() - takes tokens from a team's bucket
 *
 * Return: number of tokens granted, at most as many as requested.
 */
uint32_t cfs_shares_grant (struct cfs_shares *shares, const char *team,
                           double rate, double burst,
                           const struct cfs_token_request *request,
                           int64_t now);

/** cfs_shares_extend() - extends the leases of all shares of a host */
void cfs_shares_extend (struct cfs_shares *shares, const char *host,
                        int64_t until);

#endif
