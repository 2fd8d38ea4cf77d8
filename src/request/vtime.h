/**
 * DOC: Virtual time of the teams that share a queue.
 *
 * A team's virtual time advances by the service time that it used, divided by
 * its weight.  The queue serves the team with the lowest one next.
 */
#ifndef CFS_VTIME_H
#define CFS_VTIME_H

#include "../cfs.h"

/**
 * struct cfs_vtime_team - account of one team
 * @vtime: virtual time
 * @avg_cost_us: moving average of the service time per request
 */
struct cfs_vtime_team
{
  char name[CFS_NAME_MAX];
  uint32_t weight;
  double vtime;
  double avg_cost_us;
};

/**
 * cfs_vtime_enter() - prepares the account for a request
 * @team: account; a new one is zero but for its name
 * @weight: weight of the team, 0 counts as 1
 * @idle: the team has no other request in the queue; it continues from the
 * virtual time of the queue then, so that idle time gives no advantage
 * @queue_vtime: virtual time of the queue
 */
void cfs_vtime_enter (struct cfs_vtime_team *team, uint32_t weight, bool idle,
                      double queue_vtime);

/**
 * cfs_vtime_charge() - advances the team's virtual time for a request that is
 * dequeued
 * @cost: service time in the unit of the queue
 * @queue_vtime: virtual time of the queue, advanced to that of the team
 */
void cfs_vtime_charge (struct cfs_vtime_team *team, double cost,
                       double *queue_vtime);

/** cfs_vtime_correct() - replaces a charged estimate by the service time that
 * was used, in microseconds */
void cfs_vtime_correct (struct cfs_vtime_team *team, int64_t estimate_us,
                        int64_t used_us);

/** cfs_vtime_note_cost() - adds a service time to the team's average */
void cfs_vtime_note_cost (struct cfs_vtime_team *team, int64_t used_us);

#endif
