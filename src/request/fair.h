/**
 * DOC: Weighted fair queue of the teams' requests.
 *
 * Each team has a virtual time that advances by the service time it used,
 * divided by its weight.  The team with the lowest virtual time is served
 * next.  The module does no I/O and reads no clock.
 */
#ifndef CFS_FAIR_H
#define CFS_FAIR_H

#include "../process/table.h"
#include "request.h"
#include "vtime.h"

/* Maximum number of queued requests per team and lane. */
#define FAIR_QUEUE_MAX 4096
/* Number of requests at the head of a team's queue that are tested for one
   that can run. */
#define FAIR_SCAN_MAX 8

/**
 * enum cfs_fair_policy - scheduling policy
 * @FAIR_VIRTUAL_TIME: lowest virtual time first
 * @FAIR_ROUND_ROBIN: by number of requests, baseline for benchmarks
 * @FAIR_FIRST_COME: by time of arrival, baseline for benchmarks
 */
enum cfs_fair_policy
{
  FAIR_VIRTUAL_TIME = 0,
  FAIR_ROUND_ROBIN,
  FAIR_FIRST_COME
};

/** struct cfs_queue - FIFO queue of requests */
struct cfs_queue
{
  struct cfs_request *head;
  struct cfs_request *tail;
  size_t count;
};

/** struct cfs_fair_team - queues of one team */
struct cfs_fair_team
{
  struct cfs_vtime_team account;
  struct cfs_queue lanes[CFS_LANE_COUNT];
};

/**
 * struct cfs_fair - queues of all teams
 * @vtime: virtual time of the queue; a team that was idle continues from it
 * @queued: number of queued requests
 */
struct cfs_fair
{
  struct cfs_table teams;
  enum cfs_fair_policy policy;
  double vtime;
  size_t queued;
};

void cfs_queue_push (struct cfs_queue *queue, struct cfs_request *request);

/** cfs_queue_pop() - removes the first request, or returns NULL */
struct cfs_request *cfs_queue_pop (struct cfs_queue *queue);

void cfs_fair_init (struct cfs_fair *fair, enum cfs_fair_policy policy);

/** cfs_fair_end() - frees the queues, which must be empty */
void cfs_fair_end (struct cfs_fair *fair);

/**
 * cfs_fair_push() - queues a request
 *
 * Return: CFS_OK, or CFS_FULL when the team has too many queued requests.
 */
int cfs_fair_push (struct cfs_fair *fair, enum cfs_lane lane,
                   struct cfs_request *request);

/**
 * cfs_fair_pop() - dequeues the next request that can run
 * @fair: queues
 * @lane: lane
 * @can_run: tests whether a request can run now
 * @ctx: first argument of @can_run
 *
 * The team is charged the estimated service time immediately.
 *
 * Return: the request, or NULL when none can run.
 */
struct cfs_request *
cfs_fair_pop (struct cfs_fair *fair, enum cfs_lane lane,
              bool (*can_run) (void *ctx, struct cfs_request *request),
              void *ctx);

/**
 * cfs_fair_expire() - dequeues a request whose deadline has passed
 *
 * Return: the request, or NULL when there is none.
 */
struct cfs_request *cfs_fair_expire (struct cfs_fair *fair, int64_t now);

/**
 * cfs_fair_done() - replaces the estimate charged for a request by its
 * measured service time
 * @fair: queues
 * @request: the request as it was dequeued
 * @used_us: service time that it took
 */
void cfs_fair_done (struct cfs_fair *fair, const struct cfs_request *request,
                    int64_t used_us);

/**
 * cfs_fair_expected_wait() - estimates the queueing time of a new request
 * @fair: queues
 * @team: name of the team
 * @weight: weight of the team
 * @slots: number of statements that are served in parallel
 *
 * Return: microseconds, 0 for a team without queued requests.
 */
int64_t cfs_fair_expected_wait (const struct cfs_fair *fair, const char *team,
                                uint32_t weight, unsigned slots);

#endif
