/*
 * A read has other targets, so it leaves an evacuated zone at once.  Work on a
 * primary and work in progress go on for a part of the time that an evacuation
 * may take: until the primary has been moved, refusing them would serve
 * callers worse.
 */
#include "placement.h"

#include "cold.h"

#include <string.h>

const char *
cfs_placement_reason_name (enum cfs_placement_reason reason)
{
  switch (reason)
    {
    case PLACEMENT_ALLOWED:
      return "allowed";
    case PLACEMENT_GONE:
      return "gone";
    case PLACEMENT_DRAINING:
      return "draining";
    case PLACEMENT_EVACUATED:
      return "zone evacuated";
    case PLACEMENT_REGION:
      return "region not allowed";
    case PLACEMENT_COLD:
      return "cold";
    }
  return "unknown";
}

bool
cfs_placement_usable (enum cfs_placement_reason reason)
{
  return reason == PLACEMENT_ALLOWED || reason == PLACEMENT_COLD;
}

struct cfs_placement_scope
cfs_placement_scope (const struct cfs_fleet *f, const char *database,
                     const char *team)
{
  const struct cfs_catalog *c = f->catalog;
  const struct cfs_route *route = c ? cfs_catalog_route (c, database) : NULL;
  const struct cfs_team_limits *limits
      = c && *team ? cfs_catalog_team (c, team) : NULL;
  struct cfs_placement_scope scope
      = { route ? route->regions : 0, limits ? limits->regions : 0 };

  return scope;
}

static bool
is_evacuated (const struct cfs_fleet *f, const char *zone,
              enum cfs_placement_use use, int64_t now)
{
  const struct cfs_evacuation *e
      = f->evacuations.count ? cfs_table_find (&f->evacuations, zone) : NULL;
  int64_t period = f->settings->evacuate_us - EVACUATION_RESERVE_US;

  return e && (use == PLACEMENT_READ || now - e->since >= period);
}

static bool
region_allowed (const struct cfs_fleet *f, const char *zone,
                const struct cfs_placement_scope *scope)
{
  uint64_t region;

  if (!scope->route && !scope->team)
    return true;
  region = cfs_catalog_region_bit (f->catalog,
                                   cfs_settings_region (f->settings, zone));
  return (!scope->route || (scope->route & region))
         && (!scope->team || (scope->team & region));
}

enum cfs_placement_reason
cfs_placement_check (const struct cfs_fleet *f, const struct cfs_target *t,
                     const struct cfs_placement_scope *scope,
                     enum cfs_placement_use use, int64_t now)
{
  if (t->gone && use != PLACEMENT_HELD)
    return PLACEMENT_GONE;
  if (t->draining && use == PLACEMENT_READ)
    return PLACEMENT_DRAINING;
  if (is_evacuated (f, t->zone, use, now))
    return PLACEMENT_EVACUATED;
  if (scope && use != PLACEMENT_HELD && !region_allowed (f, t->zone, scope))
    return PLACEMENT_REGION;
  return cfs_target_is_cold (f->catalog, t) ? PLACEMENT_COLD
                                            : PLACEMENT_ALLOWED;
}

/* Whether a target is one that only an operator's order or the configuration
   keeps a statement from using. */
static bool
is_refused_by_rule (enum cfs_placement_reason reason)
{
  return reason == PLACEMENT_EVACUATED || reason == PLACEMENT_REGION;
}

static enum cfs_placement_reason
primary_blocked (const struct cfs_fleet *f, const char *service,
                 const struct cfs_placement_scope *scope, int64_t now)
{
  const struct cfs_target *t
      = cfs_targets_primary (&f->targets, &f->failovers, service);
  enum cfs_placement_reason reason
      = t ? cfs_placement_check (f, t, scope, PLACEMENT_PRIMARY, now)
          : PLACEMENT_ALLOWED;

  return is_refused_by_rule (reason) ? reason : PLACEMENT_ALLOWED;
}

enum cfs_placement_reason
cfs_placement_blocked (const struct cfs_fleet *f, const char *service,
                       const struct cfs_placement_scope *scope,
                       enum cfs_placement_use use, int64_t now)
{
  enum cfs_placement_reason blocked = PLACEMENT_ALLOWED;

  if (use == PLACEMENT_PRIMARY)
    return primary_blocked (f, service, scope, now);
  for (size_t i = 0; i < f->targets.count; i++)
    {
      const struct cfs_target *t = cfs_table_at (&f->targets, i);
      enum cfs_placement_reason reason;

      if (t->gone || t->draining || strcmp (t->service, service) != 0)
        continue;
      reason = cfs_placement_check (f, t, scope, use, now);
      if (!is_refused_by_rule (reason))
        return PLACEMENT_ALLOWED;
      blocked = reason;
    }
  return blocked;
}

bool
cfs_placement_routes_allow (const struct cfs_catalog *c, const char *service,
                            const char *region)
{
  uint64_t bit = cfs_catalog_region_bit (c, region);

  for (size_t i = 0; i < c->route_count; i++)
    {
      const struct cfs_route *r = &c->routes[i];

      if (r->regions && !(r->regions & bit)
          && strcmp (c->services[r->service].name, service) == 0)
        return false;
    }
  return true;
}

bool
cfs_placement_is_primary (const struct cfs_table *targets,
                          const struct cfs_table *failovers,
                          const struct cfs_target *target)
{
  const struct cfs_failover *f = cfs_table_find (failovers, target->service);

  if (target->gone)
    return false;
  if (f && f->open && strcmp (f->target, target->id) == 0)
    return true;
  return cfs_targets_presumed_primary (targets, failovers, target->service)
         == target;
}

bool
cfs_placement_must_move (const struct cfs_table *targets,
                         const struct cfs_table *evacuations,
                         const struct cfs_target *primary)
{
  if (!cfs_evacuations_contain (evacuations, primary->zone))
    return false;
  for (size_t i = 0; i < targets->count; i++)
    {
      const struct cfs_target *t = cfs_table_at (targets, i);

      if (!t->gone && !t->draining
          && strcmp (t->service, primary->service) == 0
          && !cfs_evacuations_contain (evacuations, t->zone))
        return true;
    }
  return false;
}
