/**
 * DOC: Fair queue between teams.
 *
 * Each team has a virtual time that grows with the service time it used,
 * divided by its weight.  The team with the least virtual time goes next.
 * No I/O and no clock.
 */
#ifndef CFS_FAIR_H
#define CFS_FAIR_H

#include "../process/table.h"
#include "request.h"

/* Requests of one team that may wait in one lane. */
#define FAIR_QUEUE_MAX 4096
/* Cost assumed for a team that has not run anything yet. */
#define FAIR_FIRST_COST_US (5 * CFS_US_PER_MS)
/* Requests of a team looked at for one that can run now. */
#define FAIR_SCAN_MAX 8

/** enum cfs_fair_policy - order of service, to be compared in benchmarks */
enum cfs_fair_policy
{
  FAIR_VIRTUAL_TIME = 0,
  FAIR_ROUND_ROBIN,
  FAIR_FIRST_COME
};

/** struct cfs_queue - first-in first-out list of requests */
struct cfs_queue
{
  struct cfs_request *head;
  struct cfs_request *tail;
  size_t count;
};

/** struct cfs_fair_team - queue state of one team */
struct cfs_fair_team
{
  char name[CFS_NAME_MAX];
  uint32_t weight;
  double vtime;
  double avg_cost_us;
  struct cfs_queue lanes[CFS_LANE_COUNT];
};

/** struct cfs_fair - queues of all teams; teams own no requests when empty */
struct cfs_fair
{
  struct cfs_table teams;
  enum cfs_fair_policy policy;
  double vtime;
  size_t queued;
};

/** cfs_queue_push() - appends a request */
void cfs_queue_push (struct cfs_queue *queue, struct cfs_request *request);

/** cfs_queue_pop() - removes the first request, or returns NULL */
struct cfs_request *cfs_queue_pop (struct cfs_queue *queue);

/** cfs_fair_init() - empty queues */
void cfs_fair_init (struct cfs_fair *fair, enum cfs_fair_policy policy);

/** cfs_fair_end() - frees the queues; they must be empty */
void cfs_fair_end (struct cfs_fair *fair);

/**
 * cfs_fair_push() - queues a request
 *
 * Return: CFS_OK, or CFS_FULL when the team has too many waiting.
 */
int cfs_fair_push (struct cfs_fair *fair, enum cfs_lane lane,
                   struct cfs_request *request);

/**
 * cfs_fair_pop() - takes the next request that can run
 * @fair: queues
 * @lane: lane
 * @can_run: whether a request can run now; called with @ctx
 * @ctx: argument of @can_run
 *
 * The team is charged its estimated cost at once.
 * Return: the request, or NULL when none can run.
 */
struct cfs_request *
cfs_fair_pop (struct cfs_fair *fair, enum cfs_lane lane,
              bool (*can_run) (void *ctx, struct cfs_request *request),
              void *ctx);

/**
 * cfs_fair_expire() - takes one request whose deadline has passed
 *
 * Return: the request, or NULL when none has.
 */
struct cfs_request *cfs_fair_expire (struct cfs_fair *fair, int64_t now);

/**
 * cfs_fair_done() - corrects the charge of a request by its measured cost
 * @fair: queues
 * @request: the request as popped
 * @used_us: service time it took
 */
void cfs_fair_done (struct cfs_fair *fair, const struct cfs_request *request,
                    int64_t used_us);

/**
 * cfs_fair_expected_wait() - expected wait of a new request of a team
 * @fair: queues
 * @team: its name
 * @weight: its weight
 * @slots: statements served at a time
 *
 * Return: microseconds, 0 for a team with nothing waiting.
 */
int64_t cfs_fair_expected_wait (const struct cfs_fair *fair, const char *team,
                                uint32_t weight, unsigned slots);

#endif
