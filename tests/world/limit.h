/**
 * DOC: One team's limiter and its clients on several hosts in virtual time.
 */
#ifndef WORLD_LIMIT_H
#define WORLD_LIMIT_H

#include "../../src/process/leader.h"
#include "../../src/request/admit.h"
#include "../../src/request/limit.h"

#define WL_HOSTS 10
#define WL_MESSAGES 4096
#define WL_STEP_US 1000

/** struct wl_message - an ask or a grant under way */
struct wl_message
{
  int64_t at, retry_us;
  uint64_t id, epoch;
  uint32_t count;
  unsigned host;
  bool grant;
};

/** struct wl_request - one arrival */
struct wl_request
{
  struct cfs_request request;
  bool within_rate;
};

/** struct world_limit - everything */
struct world_limit
{
  int64_t now;
  uint64_t seed;
  double rate, burst;
  struct cfs_admit admit[WL_HOSTS];
  bool alive[WL_HOSTS];
  struct cfs_bucket bucket;
  unsigned limiter;
  uint64_t epoch;
  int64_t take_over_at, limiter_lease_end;
  struct wl_message messages[WL_MESSAGES];
  size_t message_count;
  int loss_percent, duplicate_percent;
  int64_t delay_us, jitter_us;
  double admitted_bucket_level, arrival_bucket_level;
  int64_t admitted_bucket_at, arrival_bucket_at;
  uint64_t arrived, admitted, refused, refused_within_rate,
      admitted_over_bound, arrived_within_rate;
  uint64_t messages_sent, lost_with_host;
  double worst_wait_us;
};

/** wl_init() - all hosts run, host 0 holds the limiter */
void wl_init (struct world_limit *w, uint64_t seed, double rate, double burst);

/** wl_end() - frees everything */
void wl_end (struct world_limit *w);

/** wl_arrive() - a request arrives at a host */
void wl_arrive (struct world_limit *w, unsigned host, int64_t timeout_us);

/** wl_run() - advances virtual time */
void wl_run (struct world_limit *w, int64_t us);

/** wl_kill() - a host dies; a limiter on it moves after its lease */
void wl_kill (struct world_limit *w, unsigned host);

/**
 * wl_cut() - the limiter's host loses the control group: it grants until its
 * lease ends, and another takes over when the leader may move the lease
 */
void wl_cut (struct world_limit *w);

/** wl_start() - a host starts anew */
void wl_start (struct world_limit *w, unsigned host);

#endif
