/**
 * DOC: Simulation of the rate limiter of one team.
 *
 * One of the hosts runs the token bucket of the team; all hosts admit
 * requests with the tokens that it grants them.  Time is virtual.
 */
#ifndef WORLD_LIMIT_H
#define WORLD_LIMIT_H

#include "../../src/process/leader.h"
#include "../../src/request/admit.h"
#include "../../src/request/limit.h"

#define WL_HOSTS 10
#define WL_MESSAGES 4096
#define WL_STEP_US 1000

/**
 * struct wl_message - a token request or its reply in transit
 * @at: time of delivery
 * @retry_us: in a reply, time until the last granted token becomes valid or,
 * when none is granted, until one can be granted
 * @id: id of the token request
 * @epoch: epoch of the limiter that the request is for
 * @count: tokens requested or granted
 * @host: host that requested the tokens
 * @grant: this is the reply
 */
struct wl_message
{
  int64_t at, retry_us;
  uint64_t id, epoch;
  uint32_t count;
  unsigned host;
  bool grant;
};

/**
 * struct wl_request - one request of a caller
 * @within_rate: the request is within the rate and burst of the team
 */
struct wl_request
{
  struct cfs_request request;
  bool within_rate;
};

/**
 * struct world_limit - the whole simulation
 * @bucket: token bucket of the current limiter
 * @limiter: host that runs the limiter
 * @take_over_at: time at which another host becomes the limiter, or 0
 * @limiter_lease_end: time after which the current limiter grants nothing
 * @admitted_bucket_level: level of the reference bucket that each admitted
 * request takes a token from
 * @arrival_bucket_level: level of the reference bucket that each arriving
 * request takes a token from
 * @refused_within_rate: refused although within the rate
 * @admitted_over_bound: admitted although the reference bucket was empty
 * @lost_with_host: refused because their host was stopped
 * @worst_wait_us: longest time from arrival to admission
 */
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

/** wl_init() - starts all hosts, with the limiter on host 0 */
void wl_init (struct world_limit *w, uint64_t seed, double rate, double burst);

/** wl_end() - frees everything */
void wl_end (struct world_limit *w);

/** wl_arrive() - submits a request at a host, or at the next one that is
 * alive */
void wl_arrive (struct world_limit *w, unsigned host, int64_t timeout_us);

/** wl_run() - advances virtual time */
void wl_run (struct world_limit *w, int64_t us);

/** wl_kill() - stops a host; a limiter on it moves once its lease has
 * expired */
void wl_kill (struct world_limit *w, unsigned host);

/**
 * wl_cut() - cuts the limiter's host off from the control group
 *
 * It grants tokens until its lease ends; another host takes over as soon as
 * the control leader may move the lease.
 */
void wl_cut (struct world_limit *w);

/** wl_start() - starts a stopped host */
void wl_start (struct world_limit *w, unsigned host);

#endif
