/*
 * Start-time fair queueing by measured service time.  Deficit round robin is
 * not used because it needs the cost of a statement before it runs, whereas
 * here the cost is known only afterwards.  Charging an estimate and
 * correcting it later keeps the long-term shares exact.
 */
#include "vtime.h"

/* Initial estimate of the service time of a team's requests. */
#define FIRST_COST_US (5 * CFS_US_PER_MS)
/* Weight of a new sample in the moving average of the service time. */
#define COST_GAIN 0.125

void
cfs_vtime_enter (struct cfs_vtime_team *t, uint32_t weight, bool idle,
                 double queue_vtime)
{
  t->weight = weight ? weight : 1;
  if (t->avg_cost_us <= 0)
    t->avg_cost_us = FIRST_COST_US;
  if (idle && t->vtime < queue_vtime)
    t->vtime = queue_vtime;
}

void
cfs_vtime_charge (struct cfs_vtime_team *t, double cost, double *queue_vtime)
{
  if (t->vtime > *queue_vtime)
    *queue_vtime = t->vtime;
  t->vtime += cost / t->weight;
}

void
cfs_vtime_correct (struct cfs_vtime_team *t, int64_t estimate_us,
                   int64_t used_us)
{
  t->vtime += (double)(used_us - estimate_us) / t->weight;
}

void
cfs_vtime_note_cost (struct cfs_vtime_team *t, int64_t used_us)
{
  t->avg_cost_us += COST_GAIN * ((double)used_us - t->avg_cost_us);
  if (t->avg_cost_us < 1)
    t->avg_cost_us = 1;
}
