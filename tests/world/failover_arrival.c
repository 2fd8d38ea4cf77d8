/*
 * Instances that leave and others that take their place.  One that leaves
 * drains first and ends some time after its leave was committed; until then it
 * receives the log and so acknowledges commits.  Its place is taken by an
 * instance with the same id, a later start and an empty log, which reports
 * until it is known, and may begin to receive the log before.
 */
#include "failover_int.h"

#include <string.h>

#define EXIT_DELAY_MAX_MS 500
#define REPORT_INTERVAL_US (300 * CFS_US_PER_MS)
/* An instance that starts announces itself within this time, and if its first
   reports are lost, within the other. */
#define ANNOUNCE_MAX_MS 1200
#define LATE_ANNOUNCE_MAX_MS 3300
#define RECEIVE_DELAY_MAX_MS 600

void
wf_exit_instance (struct instance *in)
{
  in->alive = false;
  in->exited = true;
  in->primary = false;
  in->reported_primary = false;
  in->leaving = false;
  in->exit_at = 0;
  in->received = 0;
  in->boot++;
  if (wf_world->promoting >= 0
      && &wf_world->instances[wf_world->promoting] == in)
    wf_world->promoting = -1;
}

static struct cfs_target *
entry_of (const struct instance *in)
{
  return cfs_table_find (&wf_world->state.targets, in->name);
}

/* Whether its log can be missed: another instance has all acknowledged
   commits, and none departs at the same time. */
static bool
may_depart (const struct instance *in)
{
  bool copied = false;

  for (int i = 0; i < INSTANCES; i++)
    {
      const struct instance *other = &wf_world->instances[i];

      if (other == in)
        continue;
      if (other->leaving || other->exited)
        return false;
      copied = copied || other->received >= wf_world->acked_position;
    }
  return copied;
}

/* One that is cut off can't announce that it leaves. */
void
wf_start_departure (struct instance *in)
{
  const struct cfs_target *known = entry_of (in);
  struct proposal *p;

  if (!may_depart (in) || in->cut || in->leaving || known->gone
      || known->incarnation != in->incarnation)
    return;
  p = wf_append_record ();
  if (!p)
    return;
  p->entry = *known;
  p->entry.sequence += 1000;
  cfs_target_mark_left (&p->entry, in->incarnation);
  in->leaving = true;
}

void
wf_start_arrival (struct instance *in)
{
  uint64_t announce_max
      = wf_random_below (10) ? ANNOUNCE_MAX_MS : LATE_ANNOUNCE_MAX_MS;

  in->exited = false;
  in->alive = true;
  in->paused_term = 0;
  in->term = 0;
  in->log_term = 0;
  in->incarnation++;
  in->boot++;
  in->report_at = wf_world->now
                  + (int64_t)wf_random_below (announce_max) * CFS_US_PER_MS;
  in->receive_at
      = wf_world->now
        + (int64_t)wf_random_below (RECEIVE_DELAY_MAX_MS) * CFS_US_PER_MS;
}

static void
report_arrival (struct instance *in)
{
  struct cfs_target next = *entry_of (in);
  struct proposal *p;

  in->report_at = wf_world->now + REPORT_INTERVAL_US;
  next.incarnation = in->incarnation;
  next.sequence = 1;
  next.slots = 4;
  next.primary = false;
  next.draining = false;
  next.gone = false;
  if (cfs_target_report_effect (&wf_world->state.targets, true, &next)
      != REPORT_CURRENT)
    return;
  p = wf_append_record ();
  if (p)
    p->entry = next;
}

void
wf_step_arrivals (void)
{
  for (int i = 0; i < INSTANCES; i++)
    {
      struct instance *in = &wf_world->instances[i];

      if (in->exit_at && wf_world->now >= in->exit_at)
        wf_exit_instance (in);
      else if (in->alive && !in->cut && !in->leaving
               && wf_world->now >= in->report_at && entry_of (in)
               && entry_of (in)->incarnation != in->incarnation)
        report_arrival (in);
    }
}

void
wf_apply_entry (const struct proposal *p)
{
  struct instance *in = wf_find_instance (p->entry.id);
  Cfs__Target t;

  cfs_target_to_message (&p->entry, &t);
  cfs_targets_apply (&wf_world->state.targets, &t, p->index);
  if (p->entry.gone)
    in->exit_at
        = wf_world->now
          + (int64_t)wf_random_below (EXIT_DELAY_MAX_MS) * CFS_US_PER_MS;
}
