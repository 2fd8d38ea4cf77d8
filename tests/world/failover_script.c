/*
 * What a test does to the simulation of failovers, and what it reads from it.
 */
#include "failover_int.h"

#include <string.h>

void
wf_kill (unsigned i)
{
  wf_world->instances[i].alive = false;
}

void
wf_exit (unsigned i)
{
  wf_exit_instance (&wf_world->instances[i]);
}

void
wf_restart_empty (unsigned i)
{
  wf_exit_instance (&wf_world->instances[i]);
  wf_start_arrival (&wf_world->instances[i]);
}

void
wf_cut (unsigned i, bool cut)
{
  wf_world->instances[i].cut = cut;
}

void
wf_revive (unsigned i)
{
  wf_world->instances[i].alive = true;
  wf_world->instances[i].paused_term = 0;
  wf_world->instances[i].boot++;
}

void
wf_cut_from_leader (unsigned i, bool cut)
{
  wf_world->instances[i].cut_from_leader = cut;
}

void
wf_cut_replication (unsigned i, bool cut)
{
  wf_world->instances[i].replication_cut = cut;
}

/* Commits an entry after all that was proposed before. */
static void
commit_target (const struct cfs_target *target)
{
  Cfs__Target t;

  while (wf_world->committed < wf_world->index)
    wf_step ();
  cfs_target_to_message (target, &t);
  cfs_targets_apply (&wf_world->state.targets, &t, ++wf_world->index);
  wf_world->committed = wf_world->index;
}

enum cfs_report_effect
wf_report (const struct cfs_target *report, bool configured)
{
  const struct cfs_target *known
      = cfs_table_find (&wf_world->state.targets, report->id);
  struct cfs_target next = *report;
  enum cfs_report_effect effect
      = cfs_target_report_effect (&wf_world->state.targets, configured, &next);

  if (effect == REPORT_CURRENT && cfs_target_affects_routing (known, &next))
    commit_target (&next);
  return effect;
}

bool
wf_leave (const char *id, uint64_t incarnation)
{
  struct cfs_target next
      = *(struct cfs_target *)cfs_table_find (&wf_world->state.targets, id);

  if (!cfs_target_mark_left (&next, incarnation))
    return false;
  commit_target (&next);
  return true;
}

void
wf_drop (unsigned i)
{
  struct cfs_target next = *(struct cfs_target *)cfs_table_find (
      &wf_world->state.targets, wf_world->instances[i].name);

  next.gone = true;
  next.sequence++;
  commit_target (&next);
}

unsigned
wf_status_queries (void)
{
  return wf_world->status_queries;
}

void
wf_hold_promotions (bool hold)
{
  wf_world->hold_promotions = hold;
}

int
wf_held_promotion (void)
{
  const struct promotion *newest = NULL;

  for (int i = 0; i < PROMOTIONS_MAX; i++)
    if (wf_world->promotions[i].pending
        && (!newest || wf_world->promotions[i].fence > newest->fence))
      newest = &wf_world->promotions[i];
  return newest ? (int)newest->target : -1;
}

void
wf_carry_out (unsigned target)
{
  for (int i = 0; i < PROMOTIONS_MAX; i++)
    if (wf_world->promotions[i].pending
        && wf_world->promotions[i].target == target)
      wf_world->promotions[i].at = wf_world->now;
}

void
wf_hold_orders (unsigned i, bool hold)
{
  wf_world->instances[i].orders_held = hold;
}

void
wf_carry_out_orders (unsigned i)
{
  for (int k = 0; k < ORDERS_MAX; k++)
    if (wf_world->orders[k].instance == &wf_world->instances[i])
      wf_world->orders[k].at = wf_world->now;
}

void
wf_cut_host (unsigned host, bool cut)
{
  wf_world->hosts[host].cut = cut;
}

uint64_t
wf_acknowledged (void)
{
  return wf_world->acked_position;
}

void
wf_suspect (unsigned i, bool suspect)
{
  wf_world->instances[i].suspect = suspect;
}

void
wf_slow_down (unsigned i, int64_t us)
{
  wf_world->instances[i].delay_us = us;
}

bool
wf_paused (unsigned i)
{
  return wf_world->instances[i].paused_term > 0;
}

unsigned
wf_failover_count (void)
{
  return wf_world->failover_count;
}

const char *
wf_violation (void)
{
  return wf_world->violation;
}

struct cfs_state *
wf_state (void)
{
  return &wf_world->state;
}

void
wf_unregister (unsigned i)
{
  struct cfs_table *targets = &wf_world->state.targets;

  for (size_t k = targets->count; k > 0; k--)
    if (strcmp (cfs_table_at (targets, k - 1), wf_world->instances[i].name)
        == 0)
      cfs_table_remove (targets, k - 1);
}

void
wf_drain (unsigned i)
{
  struct cfs_target *t
      = cfs_table_find (&wf_world->state.targets, wf_world->instances[i].name);

  t->draining = true;
}

void
wf_set_zone (unsigned i, const char *zone)
{
  struct cfs_target next = *(struct cfs_target *)cfs_table_find (
      &wf_world->state.targets, wf_world->instances[i].name);

  cfs_copy (next.zone, sizeof next.zone, zone);
  next.sequence++;
  commit_target (&next);
}

void
wf_mute (unsigned i)
{
  wf_world->instances[i].mute = true;
}

void
wf_align_logs (void)
{
  uint64_t longest = 0;

  for (int i = 0; i < INSTANCES; i++)
    if (!wf_world->instances[i].primary
        && wf_world->instances[i].received > longest)
      longest = wf_world->instances[i].received;
  for (int i = 0; i < INSTANCES; i++)
    if (!wf_world->instances[i].primary)
      wf_world->instances[i].received = longest;
}

void
wf_lengthen_log (unsigned i)
{
  wf_world->instances[i].received++;
}

static bool
region_allowed (void *ctx, const struct cfs_target *t)
{
  (void)ctx;
  return strcmp (t->id, wf_world->instances[wf_world->allowed].name) == 0;
}

void
wf_allow_region_of (unsigned i)
{
  wf_world->allowed = i;
  cfs_failover_prefer (wf_world->failover, region_allowed);
}

void
wf_evacuate (const char *zone, bool start)
{
  Cfs__Evacuation order = CFS__EVACUATION__INIT;

  while (wf_world->committed < wf_world->index)
    wf_step ();
  order.zone = (char *)zone;
  order.active = start;
  cfs_evacuations_apply (&wf_world->state.evacuations, &order,
                         ++wf_world->index);
  wf_world->committed = wf_world->index;
}
