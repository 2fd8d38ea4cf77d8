/**
 * DOC: Local rate limiter of a host.
 *
 * The control leader leases to each host a share of a team's rate, with the
 * same fraction of the burst, for the time of the host's lease.  Where the
 * share does not suffice, the host requests single tokens.
 */
#ifndef CFS_QUOTA_H
#define CFS_QUOTA_H

#include "../process/table.h"
#include "../version/catalog.h"
#include "../process/wire.pb-c.h"

#include <glib.h>

/* Maximum number of token grants that are kept at a time. */
#define QUOTA_GRANTS_MAX 8

/** struct cfs_quota_grant - granted tokens and their time of expiry */
struct cfs_quota_grant
{
  uint32_t count;
  int64_t until;
};

/**
 * struct cfs_quota_team - share and tokens of one team at this host
 * @share: leased share, operations per second
 * @authoritative: the leader that leased the share knows all other shares, so
 * a token that it denies is really in use
 * @rate: rate of the team of which the share is a part
 * @burst: burst of the team under which tokens were granted
 * @capacity: capacity of the token bucket of the share
 * @level: tokens in that bucket
 * @filled_at: time up to which @level is computed
 * @span_ops: operations counted in the current measuring span
 * @demand: average demand, operations per second
 * @counted_at: start of the current measuring span
 * @grants: ring of tokens granted in addition to the share
 * @waiting: operations that wait for a token
 * @denied_at: time of the last token request that was denied
 * @denied_since: time of the first in a row of denials
 * @next_request_at: earliest time at which tokens are requested again, after
 * a denial
 * @granted: operations that got a token
 * @got_at: time at which one last got a token
 * @got_interval_us: average time between two of them, 0 if not known
 * @unshared_until: no share of the team was leased to any host until then,
 * according to a leader; 0 if none said so
 */
struct cfs_quota_team
{
  char team[CFS_NAME_MAX];
  double share;
  bool authoritative;
  double rate;
  double burst;
  double capacity;
  double level;
  int64_t filled_at;
  double span_ops;
  double demand;
  int64_t counted_at;
  struct cfs_quota_grant grants[QUOTA_GRANTS_MAX];
  size_t next_grant;
  uint32_t waiting;
  int64_t denied_at;
  int64_t denied_since;
  int64_t next_request_at;
  uint64_t granted;
  int64_t got_at;
  double got_interval_us;
  int64_t unshared_until;
};

/**
 * struct cfs_quota - shares and tokens of all teams at this host
 * @until: end of the lease on the shares
 * @used_at: time at which an operation last got a token, or of the start of
 * this host
 * @request_sent_at: time of the token request that has no reply yet, or 0
 * @next_request_at: earliest time of the next token request
 * @request_interval_us: minimum time between two token requests
 * @reply_timeout_us: time after which a request without a reply counts as lost
 * @reply_timeout_max_us: its maximum
 * @late_until: tokens of a request that counts as lost may be received until
 * then
 * @report_due: the leader should soon know of the demand or of a smaller share
 * @tokens_requested: tokens requested of leaders since the start
 * @tokens_granted: tokens granted by leaders since the start
 * @next_team: index of the team with which the next token request begins
 *
 * Owned by the traffic thread.
 */
struct cfs_quota
{
  struct cfs_table teams;
  int64_t until;
  int64_t used_at;
  int64_t request_sent_at;
  int64_t next_request_at;
  int64_t request_interval_us;
  int64_t reply_timeout_us;
  int64_t reply_timeout_max_us;
  int64_t late_until;
  bool report_due;
  uint64_t tokens_requested;
  uint64_t tokens_granted;
  size_t next_team;
};

/** cfs_quota_init() - no shares, and no operation before @now */
void cfs_quota_init (struct cfs_quota *quota, int64_t now);

/** cfs_quota_set_pace() - sets the times of token requests for a number of
 * hosts, 0 if it is not known */
void cfs_quota_set_pace (struct cfs_quota *quota, uint32_t hosts);

/** cfs_quota_end() - frees the teams */
void cfs_quota_end (struct cfs_quota *quota);

/**
 * cfs_quota_update() - applies the shares in a reply of the control leader
 * @shares: shares, one at least; a team that is missing has a share of 0
 * @catalog: rates and bursts in force
 * @until: end of the lease that covers the shares
 */
void cfs_quota_update (struct cfs_quota *quota, Cfs__TeamShare *const *shares,
                       size_t count, const struct cfs_catalog *catalog,
                       int64_t until, int64_t now);

/**
 * cfs_quota_limits_changed() - lowers shares, bucket levels and unused tokens
 * to the limits of a new configuration
 *
 * The share itself would otherwise stay as it is until the next reply that
 * contains shares.  Higher limits have no effect before that reply.
 *
 * Return: number of teams whose limits are lower.
 */
size_t cfs_quota_limits_changed (struct cfs_quota *quota,
                                 const struct cfs_catalog *catalog,
                                 int64_t now);

/** cfs_quota_note_unshared() - no share of a team is leased to any host until
 * @until, to be reported to the next leader */
void cfs_quota_note_unshared (struct cfs_quota *quota, const char *team,
                              int64_t until);

/** cfs_quota_renew() - extends the lease on the present shares to @until;
 * shares whose lease has ended are lost, because the leader may have leased
 * them to other hosts */
void cfs_quota_renew (struct cfs_quota *quota, int64_t until, int64_t now);

/** cfs_quota_count_demand() - counts an operation in the demand of a team */
void cfs_quota_count_demand (struct cfs_quota *quota, const char *team,
                             int64_t now);

/**
 * cfs_quota_take() - takes a token for one operation
 * @wait_us: when there is none, set to the time until the share has one, or
 * to CFS_NEVER when this host has no share
 *
 * Return: whether there was a token.
 */
bool cfs_quota_take (struct cfs_quota *quota, const char *team, int64_t now,
                     int64_t *wait_us);

/**
 * cfs_quota_denied() - whether a waiting operation is to be refused
 * @since: time at which the operation began to wait
 *
 * True when a token request sent after @since or shortly before was not
 * granted in full, the denial is authoritative, and the share will not have a
 * token soon.
 */
bool cfs_quota_denied (struct cfs_quota *quota, const char *team,
                       int64_t since, int64_t now);

/**
 * cfs_quota_retry_us() - time after which a refused operation may be retried
 * @seed: state of a random generator, which is advanced
 *
 * The time at which the team's rate leaves a token for one more operation at
 * The team's operations at this host get tokens at some interval; that many
 * intervals as operations wait, and one more, but not before the next token
 * request.  Up to half as much is added, so that callers that were refused
 * together do not come back together.
 *
 * Return: from 50 ms to 2 s.
 */
int64_t cfs_quota_retry_us (const struct cfs_quota *quota, const char *team,
                            uint64_t *seed, int64_t now);

/**
 * cfs_quota_count_waiting() - counts an operation that starts or stops
 * waiting for a token
 */
void cfs_quota_count_waiting (struct cfs_quota *quota, const char *team,
                              bool starts);

/**
 * struct cfs_quota_need - tokens that a request is to contain for a team
 * @used: all tokens that were granted before are used or will not be used
 * @unshared: this host holds no share of the team
 */
struct cfs_quota_need
{
  const char *team;
  uint32_t count;
  bool used;
  bool unshared;
};

/**
 * cfs_quota_start_request() - decides on a token request
 * @needs: filled with the teams of the request
 * @max: number of teams that fit; the next request continues after the last
 *
 * A host has one request without a reply at a time, for all teams together, so
 * a slow leader gets fewer and larger requests instead of more of them.
 *
 * Return: number of teams of a request that the caller is to send now, or 0.
 */
size_t cfs_quota_start_request (struct cfs_quota *quota,
                                struct cfs_quota_need *needs, size_t max,
                                int64_t now);

/** cfs_quota_request_replied() - the request sent at @sent_at was replied to;
 * no effect if that is not the last one */
void cfs_quota_request_replied (struct cfs_quota *quota, int64_t sent_at);

/**
 * cfs_quota_heartbeat_replied() - the control leader replied to the heartbeat
 * sent at @sent_at
 *
 * The leader handles the messages of a host in order.  A token request that
 * was sent before and has no reply is lost, as after a change of leader; the
 * next one may be sent now.
 */
void cfs_quota_heartbeat_replied (struct cfs_quota *quota, int64_t sent_at,
                                  int64_t now);

/**
 * struct cfs_quota_token_reply - the control leader's reply to a token request
 * @requested: number of tokens requested
 * @count: number of tokens granted
 * @authoritative: a token that the leader denies is really in use
 * @sent_at: time at which the request was sent, from which the lifetime of
 * the tokens is counted
 */
struct cfs_quota_token_reply
{
  uint32_t requested;
  uint32_t count;
  bool authoritative;
  int64_t sent_at;
};

/** cfs_quota_add_tokens() - applies the reply to a token request */
void cfs_quota_add_tokens (struct cfs_quota *quota, const char *team,
                           const struct cfs_quota_token_reply *reply);

/** cfs_quota_metrics() - appends shares held and tokens as metrics */
void cfs_quota_metrics (const struct cfs_quota *quota, GString *out,
                        int64_t now);

/**
 * cfs_quota_must_report() - whether a report of the demand must contain a
 * team, because this host holds a share of it or needs one
 */
bool cfs_quota_must_report (const struct cfs_quota *quota,
                            const struct cfs_quota_team *team, int64_t now);

/**
 * cfs_quota_demand() - demand of a team at this host, operations per second
 *
 * An average over about one second that rises at once and decays slowly.
 */
double cfs_quota_demand (const struct cfs_quota_team *team, int64_t now);

#endif
