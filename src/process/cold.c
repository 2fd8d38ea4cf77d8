/*
 * A bucket of capacity burst that is filled with rate grants at most
 * burst + rate x t tokens in a time t.  A token is used between its grant and
 * the end of its lifetime, so the statements of one second have tokens that
 * were granted within one second and a lifetime.
 */
#include "cold.h"

#include "shares.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

#define PREFIX "cold/"

double
cfs_cold_per_s (const struct cfs_catalog *c, const char *service)
{
  const struct cfs_service *s = c ? cfs_catalog_service (c, service) : NULL;

  return s ? s->cold_per_s : 0;
}

bool
cfs_target_is_cold (const struct cfs_catalog *c, const struct cfs_target *t)
{
  return (t->cold_ms > 0 || t->returned) && cfs_cold_per_s (c, t->service) > 0;
}

void
cfs_cold_resource (const char *target, char *out)
{
  size_t len = strlen (target);

  if (len + sizeof PREFIX <= CFS_NAME_MAX)
    snprintf (out, CFS_NAME_MAX, PREFIX "%.*s",
              (int)(CFS_NAME_MAX - sizeof PREFIX), target);
  else
    snprintf (out, CFS_NAME_MAX, PREFIX "#%016" PRIx64,
              cfs_hash (target, len, 1));
}

struct cfs_cold_limits
cfs_cold_limits (double per_s, const struct cfs_cold_rule *rule)
{
  const double window = 1 + (double)TOKEN_LIFE_US / CFS_US_PER_S;
  double most = per_s * rule->overshoot + rule->slack;
  struct cfs_cold_limits limits;

  limits.rate = fmax (fmin (per_s, (most - 1) / window), 0);
  limits.burst = fmax (most - limits.rate * window, 0);
  return limits;
}

const struct cfs_target *
cfs_cold_find (const struct cfs_table *targets, const struct cfs_catalog *c,
               const char *resource)
{
  char name[CFS_NAME_MAX];

  if (strncmp (resource, PREFIX, strlen (PREFIX)) != 0)
    return NULL;
  for (size_t i = 0; i < targets->count; i++)
    {
      const struct cfs_target *t = cfs_table_at (targets, i);

      cfs_cold_resource (t->id, name);
      if (!t->gone && strcmp (name, resource) == 0)
        return cfs_target_is_cold (c, t) ? t : NULL;
    }
  return NULL;
}

void
cfs_cold_report (const struct cfs_catalog *c, const struct cfs_target *known,
                 struct cfs_target *next, struct cfs_table *timers,
                 int64_t now)
{
  struct cfs_cold_timer *timer;

  if (cfs_cold_per_s (c, next->service) <= 0)
    {
      next->cold_ms = 0;
      next->returned = known && known->returned;
      return;
    }
  next->returned = false;
  timer = cfs_table_add (timers, next->id);
  timer->until = now + (int64_t)next->cold_ms * CFS_US_PER_MS;
}

bool
cfs_cold_has_ended (struct cfs_table *timers, const struct cfs_target *t,
                    int64_t now)
{
  struct cfs_cold_timer *timer = cfs_table_add (timers, t->id);

  if (!timer->until)
    timer->until = now + (int64_t)t->cold_ms * CFS_US_PER_MS;
  return now >= timer->until;
}
