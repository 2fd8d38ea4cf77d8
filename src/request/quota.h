/**
 * DOC: This host's part of the teams' rates.
 *
 * The control leader gives each host a share of a team's rate for as long
 * as the host's lease, with the same part of the burst.  Where that does not
 * suffice, single tokens are asked for.
 */
#ifndef CFS_QUOTA_H
#define CFS_QUOTA_H

#include "../process/table.h"
#include "../version/catalog.h"
#include "../process/wire.pb-c.h"

/* Grants of tokens that are kept beside each other. */
#define QUOTA_GRANTS_MAX 8

/** struct cfs_quota_grant - single tokens and when they become void */
struct cfs_quota_grant
{
  uint32_t count;
  int64_t until;
};

/**
 * struct cfs_quota_team - one team's share and tokens at this host
 * @share: operations a second
 * @known: what the leader that gave the share denies is in use
 */
struct cfs_quota_team
{
  char team[CFS_NAME_MAX];
  double share;
  bool authoritative;
  double capacity;
  double level;
  int64_t filled_at;
  double span_ops;
  double demand;
  int64_t counted_at;
  struct cfs_quota_grant grants[QUOTA_GRANTS_MAX];
  size_t next_grant;
  uint32_t waiting;
  uint32_t outstanding;
  int64_t outstanding_until;
  int64_t denied_at;
  int64_t next_request_at;
  uint64_t granted;
  uint64_t refused;
};

/**
 * struct cfs_quota - owned by the traffic thread
 * @used_at: when an operation last passed, or this host started
 */
struct cfs_quota
{
  struct cfs_table teams;
  int64_t until;
  int64_t used_at;
};

/** cfs_quota_init() - no shares; nothing has passed here before @now */
void cfs_quota_init (struct cfs_quota *quota, int64_t now);

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

/** cfs_quota_count_demand() - counts an operation of a team as demand */
void cfs_quota_count_demand (struct cfs_quota *quota, const char *team,
                             int64_t now);

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
 * cfs_quota_denied() - whether the team has no room now
 * @since: when an operation began to wait
 *
 * True when an ask that was sent after @since was not granted in full by a
 * leader that was sure of it, and the share has none soon.
 */
bool cfs_quota_denied (struct cfs_quota *quota, const char *team,
                       int64_t since, int64_t now);

/** cfs_quota_count_waiting() - an operation starts or ends to wait for a token
 */
void cfs_quota_count_waiting (struct cfs_quota *quota, const char *team,
                              bool starts);

/**
 * cfs_quota_tokens_to_request() - tokens to ask for now
 *
 * What is returned counts as asked for, until it is granted or the answer
 * does not come.
 */
uint32_t cfs_quota_tokens_to_request (struct cfs_quota_team *team,
                                      int64_t now);

/**
 * struct cfs_quota_token_reply - the control leader's answer to one question
 * @asked: tokens that were asked for
 * @count: tokens that are granted
 * @known: what the leader denies is in use
 * @sent_at: when the question was sent; tokens live from there
 */
struct cfs_quota_token_reply
{
  uint32_t requested;
  uint32_t count;
  bool authoritative;
  int64_t sent_at;
};

/** cfs_quota_add_tokens() - takes tokens that were granted */
void cfs_quota_add_tokens (struct cfs_quota *quota, const char *team,
                           const struct cfs_quota_token_reply *answer);

/**
 * cfs_quota_demand() - operations a second that a team asks for here
 *
 * An average over about a second that rises at once and falls slowly.
 */
double cfs_quota_demand (const struct cfs_quota_team *team, int64_t now);

#endif
