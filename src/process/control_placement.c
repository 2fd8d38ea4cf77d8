/*
 * Evacuations and warm-ups at a control host: orders of operators are proposed
 * to the replicated log, and so is the end of a warm-up, which comes by its
 * time and not with a report.
 */
#include "control_int.h"

#include "log.h"
#include "placement.h"

#include <inttypes.h>
#include <string.h>

#define PART "control"
/* The end of a warm-up is proposed again if it is not applied after this time.
 */
#define WARM_RETRY_US CFS_US_PER_S

/* Number of services whose primary is in an evacuated zone. */
static size_t
count_evacuated_primaries (const struct cfs_state *s)
{
  size_t count = 0;

  for (size_t i = 0; i < s->targets.count; i++)
    {
      const struct cfs_target *t = cfs_table_at (&s->targets, i);

      count += cfs_evacuations_contain (&s->evacuations, t->zone)
               && cfs_placement_is_primary (&s->targets, &s->failovers, t);
    }
  return count;
}

/* Whether the settings name a zone or a target runs in it. */
static bool
zone_is_known (const struct cfs_control *c, const char *zone)
{
  for (size_t i = 0; i < c->settings->zone_count; i++)
    if (strcmp (c->settings->zones[i].name, zone) == 0)
      return true;
  for (size_t i = 0; i < c->state.targets.count; i++)
    {
      const struct cfs_target *t = cfs_table_at (&c->state.targets, i);

      if (!t->gone && strcmp (t->zone, zone) == 0)
        return true;
    }
  return false;
}

static void
log_evacuations (struct cfs_control *c)
{
  const struct cfs_state *s = &c->state;

  if (s->evacuations_index == c->fleet.evacuations_logged)
    return;
  c->fleet.evacuations_logged = s->evacuations_index;
  cfs_log (CFS_NOTICE, PART,
           "evacuated_zones=%zu primaries_there=%zu index=%" PRIu64,
           s->evacuations.count, count_evacuated_primaries (s),
           s->evacuations_index);
  for (size_t i = 0; i < s->evacuations.count; i++)
    {
      const struct cfs_evacuation *e = cfs_table_at (&s->evacuations, i);

      cfs_log (CFS_NOTICE, PART,
               "zone=%s is evacuated known=%d index=%" PRIu64, e->zone,
               zone_is_known (c, e->zone), e->changed);
    }
}

static void
end_warm_ups (struct cfs_control *c, int64_t now)
{
  for (size_t i = 0; i < c->state.targets.count; i++)
    {
      struct cfs_target t
          = *(const struct cfs_target *)cfs_table_at (&c->state.targets, i);
      struct cfs_cold_timer *timer;

      if (t.gone || !t.cold_ms
          || !cfs_cold_has_ended (&c->fleet.cold_timers, &t, now))
        continue;
      t.cold_ms = 0;
      t.sequence++;
      timer = cfs_table_add (&c->fleet.cold_timers, t.id);
      timer->until = now + WARM_RETRY_US;
      control_propose_target (c, &t);
    }
}

static bool
region_allowed (void *ctx, const struct cfs_target *t)
{
  const struct cfs_control *c = ctx;
  const struct cfs_catalog *catalog = cfs_leader_catalog (c->leader);

  return !catalog
         || cfs_placement_routes_allow (
             catalog, t->service, cfs_settings_region (c->settings, t->zone));
}

/* Starts that are in the log and not applied count, too: none may be
   acknowledged that the bound keeps from taking effect. */
static int
check_room (struct cfs_control *c, const char *zone)
{
  struct fleet_state *f = &c->fleet;

  if (cfs_raft_commit_index (c->raft) >= f->last_start_index)
    f->pending_starts = 0;
  if (cfs_evacuations_contain (&c->state.evacuations, zone))
    return CFS_OK;
  if (c->state.evacuations.count >= EVACUATIONS_MAX)
    return CFS_FULL;
  return c->state.evacuations.count + f->pending_starts < EVACUATIONS_MAX
             ? CFS_OK
             : CFS_IO;
}

int
cfs_control_evacuate (struct cfs_control *c, const char *zone, bool start,
                      void (*on_result) (void *tag, bool committed), void *tag,
                      int64_t now)
{
  Cfs__Command cmd = CFS__COMMAND__INIT;
  Cfs__Evacuation order = CFS__EVACUATION__INIT;
  uint64_t index;
  int rc;

  if (!cfs_evacuation_zone_valid (zone))
    return CFS_BAD;
  if (!cfs_raft_leader_confirmed (c->raft, now))
    return CFS_NOT_LEADER;
  rc = start ? check_room (c, zone) : CFS_OK;
  if (rc != CFS_OK)
    return rc;
  order.zone = (char *)zone;
  order.active = start;
  cmd.body_case = CFS__COMMAND__BODY_EVACUATION;
  cmd.evacuation = &order;
  index = control_propose (c, &cmd);
  cfs_log (CFS_NOTICE, PART,
           "zone=%s evacuation %s proposed index=%" PRIu64 " evacuated=%zu",
           zone, start ? "start" : "stop", index, c->state.evacuations.count);
  if (start && index)
    {
      c->fleet.pending_starts++;
      c->fleet.last_start_index = index;
    }
  return control_await_commit (c, index, on_result, tag, now);
}

void
control_placement_start (struct cfs_control *c)
{
  const struct cfs_cold_rule rule
      = { c->settings->cold_overshoot, c->settings->cold_slack };

  cfs_leader_set_cold_rule (c->leader, &rule);
  cfs_failover_prefer (c->fleet.failover, region_allowed);
}

void
control_placement_tick (struct cfs_control *c, bool confirmed, int64_t now)
{
  log_evacuations (c);
  if (confirmed)
    end_warm_ups (c, now);
}

void
control_placement_metrics (const struct cfs_control *c, GString *out)
{
  g_string_append_printf (
      out,
      "coltsfootstage_zones_evacuated %zu\n"
      "coltsfootstage_evacuated_primaries %zu\n"
      "coltsfootstage_cold_tokens_granted_total %" PRIu64 "\n",
      c->state.evacuations.count, count_evacuated_primaries (&c->state),
      cfs_leader_cold_tokens (c->leader));
}
