/*
 * Health and latency tracking of instances, and load balancing over them.
 *
 * An instance that rejects work gets no new work for a backoff that doubles
 * with each rejection and halves with each success; until it has returned to
 * 0, this host sends the instance one request at a time between the pauses.
 * The load offered by all hosts together thus stays close to the capacity of
 * the instance for any number of hosts.  Retries at a constant rate would
 * occupy the slots that the instance needs for work.
 */
#include "pool_int.h"

#include "../process/log.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

/* For this time after a refused connection the instance counts as being at
   its connection limit. */
#define CONN_LIMIT_US (2 * CFS_US_PER_S)
/* Bounds of the backoff after a rejection; when halving takes it below the
   lower bound, it ends. */
#define OVERLOAD_PAUSE_US (20 * CFS_US_PER_MS)
#define OVERLOAD_PAUSE_MAX_US (640 * CFS_US_PER_MS)
/* Backoff after a failed connection, doubling up to the maximum. */
#define DOWN_PAUSE_US (100 * CFS_US_PER_MS)
#define DOWN_PAUSE_MAX_US (1600 * CFS_US_PER_MS)
/* Pause after a connection took too long to establish. */
#define SLOW_PAUSE_US (400 * CFS_US_PER_MS)
/* For this time after an instance denied being the primary, it is not used as
   one, even if the fleet state says that it is. */
#define NOT_PRIMARY_US (300 * CFS_US_PER_MS)
/* An instance whose log had not reached a position is not chosen for it during
   this backoff, doubling up to the maximum. */
#define BEHIND_US (40 * CFS_US_PER_MS)
#define BEHIND_MAX_US (640 * CFS_US_PER_MS)
/* For this time after a reply that did not match, a connection serves one
   user. */
#define SINGLE_USE_US (60 * CFS_US_PER_S)
/* Assumed latency of an instance without recent measurements. */
#define LATENCY_SAME_REGION_US (20 * CFS_US_PER_MS)
#define LATENCY_OTHER_REGION_US (50 * CFS_US_PER_MS)
/* Part of an instance's connection limit that the idle connections of all
   hosts may take together; the rest is for connections in use. */
#define IDLE_FRACTION 0.6
/* Idle connections are closed after this time even if there is room for them.
 */
#define IDLE_TIMEOUT_MAX_US (20 * CFS_US_PER_S)
/* The same while the number of hosts or the connection limit is not known. */
#define IDLE_TIMEOUT_DEFAULT_US (1500 * CFS_US_PER_MS)
#define IDLE_COUNT_DEFAULT 4
/* A release counts less by a factor of e after this time. */
#define RELEASE_DECAY_US (5 * CFS_US_PER_S)
/* Weight of a new measurement in the moving average, as a divisor. */
#define EWMA_DIVISOR 8
/* Added to the expected latency of an ejected instance.  It is the last
   choice, but remains one: evidence against it must not leave reads without an
   instance. */
#define EJECTED_COST_US (3600 * CFS_US_PER_S)
#define PART "pool"

struct target_state *
target_state_get (struct cfs_pool *p, const char *id)
{
  return cfs_table_add (&p->states, id);
}

static int64_t
next_backoff (int64_t pause, int64_t least, int64_t most)
{
  pause = pause ? pause * 2 : least;
  return pause > most ? most : pause;
}

void
target_note_failure (struct target_state *s, int64_t now)
{
  s->lost++;
  s->failed_at = now;
  s->down_pause
      = next_backoff (s->down_pause, DOWN_PAUSE_US, DOWN_PAUSE_MAX_US);
  s->down_until = now + s->down_pause;
}

void
target_note_reply (struct target_state *s, int64_t now)
{
  s->replied_at = now;
  s->down_pause = 0;
  s->down_until = 0;
}

/* A rejection during the backoff answers a request sent before the backoff
   began and does not extend it.  The jitter spreads the retries of the hosts.
 */
void
target_note_overload (struct cfs_pool *p, struct target_state *s, int64_t now)
{
  if (now < s->overload_until)
    return;
  s->overload_pause = next_backoff (s->overload_pause, OVERLOAD_PAUSE_US,
                                    OVERLOAD_PAUSE_MAX_US);
  s->overload_until
      = now + s->overload_pause / 2
        + (int64_t)(cfs_random (&p->seed) % (uint64_t)s->overload_pause);
}

void
target_note_latency (struct target_state *s, int64_t took_us, int64_t now)
{
  if (now - s->measured_at > MEASUREMENT_TTL_US)
    s->latency_us = took_us;
  else
    s->latency_us += (took_us - s->latency_us) / EWMA_DIVISOR;
  s->measured_at = now;
  s->behind_pause = 0;
  s->overload_pause /= 2;
  if (s->overload_pause < OVERLOAD_PAUSE_US)
    s->overload_pause = 0;
}

static bool
learns_capacity (const struct cfs_pool *p)
{
  return p->fleet->settings && p->fleet->settings->learned_capacity;
}

/* Whether reads of a service may run on an instance. */
static bool
may_read (const struct cfs_pool *p, const struct cfs_target *t,
          const char *service, int64_t now)
{
  return strcmp (t->service, service) == 0
         && cfs_placement_usable (
             cfs_placement_check (p->fleet, t, NULL, PLACEMENT_READ, now));
}

/* Whether an instance is the one that is named or, if none is, may serve
   reads. */
static bool
is_usable (const struct cfs_pool *p, const struct cfs_target *t,
           const char *service, const char *target, int64_t now)
{
  return target ? strcmp (t->id, target) == 0 : may_read (p, t, service, now);
}

/* Whether at most half of the instances of a service are ejected if another
   one is. */
static bool
may_eject (struct cfs_pool *p, const char *service, int64_t now)
{
  size_t usable = 0;
  size_t ejected = 0;

  for (size_t i = 0; i < p->fleet->targets.count; i++)
    {
      const struct cfs_target *t = cfs_table_at (&p->fleet->targets, i);
      const struct target_state *s = cfs_table_find (&p->states, t->id);

      if (!may_read (p, t, service, now))
        continue;
      usable++;
      ejected
          += s && cfs_capacity_state (&s->capacity, now) != CAPACITY_CLOSED;
    }
  return 2 * (ejected + 1) <= usable;
}

static void
eject (struct cfs_pool *p, struct target_state *s, int64_t now)
{
  const struct cfs_target *t = cfs_fleet_target (p->fleet, s->id);
  struct cfs_capacity *c = &s->capacity;

  if (!t || !may_eject (p, t->service, now))
    return;
  cfs_capacity_eject (c, now);
  cfs_log (CFS_NOTICE, PART,
           "target=%s ejected from reads failures=%.1f results=%.1f "
           "pause_ms=%" PRId64,
           s->id, c->failures, c->results, c->ejection_us / CFS_US_PER_MS);
}

void
target_note_result (struct cfs_pool *p, struct target_state *s,
                    enum cfs_capacity_class class,
                    enum cfs_capacity_outcome outcome, unsigned load,
                    int64_t took_us, int64_t now)
{
  bool was_ejected = cfs_capacity_state (&s->capacity, now) != CAPACITY_CLOSED;

  if (!learns_capacity (p))
    return;
  cfs_capacity_note_result (&s->capacity, class, outcome, load, took_us, now);
  if (was_ejected && cfs_capacity_state (&s->capacity, now) == CAPACITY_CLOSED)
    cfs_log (CFS_NOTICE, PART, "target=%s used for reads again", s->id);
  if (outcome == CAPACITY_FAILED
      && cfs_capacity_should_eject (&s->capacity, now))
    eject (p, s, now);
}

bool
cfs_pool_has_room (const struct cfs_pool *p, const char *target)
{
  const struct target_state *s = cfs_table_find (&p->states, target);

  return !s || !learns_capacity (p) || cfs_capacity_has_room (&s->capacity);
}

bool
cfs_pool_accepts (const struct cfs_pool *p, const char *target, int64_t now)
{
  const struct target_state *s = cfs_table_find (&p->states, target);

  return !s || (target_accepts_work (s, now) && cfs_pool_has_room (p, target));
}

bool
cfs_pool_is_full (const struct cfs_pool *p, const char *service,
                  const char *target, int64_t now)
{
  size_t usable = 0;

  for (size_t i = 0; i < p->fleet->targets.count; i++)
    {
      const struct cfs_target *t = cfs_table_at (&p->fleet->targets, i);

      if (!is_usable (p, t, service, target, now))
        continue;
      if (cfs_pool_accepts (p, t->id, now))
        return false;
      usable++;
    }
  return usable > 0;
}

double
cfs_pool_rate (const struct cfs_pool *p, const char *service,
               const char *target, enum cfs_capacity_class class, int64_t now,
               int64_t *service_us)
{
  double rate = 0;

  *service_us = 0;
  for (size_t i = 0; i < p->fleet->targets.count && learns_capacity (p); i++)
    {
      const struct cfs_target *t = cfs_table_at (&p->fleet->targets, i);
      const struct target_state *s = cfs_table_find (&p->states, t->id);
      int64_t us;

      if (!is_usable (p, t, service, target, now))
        continue;
      us = s ? cfs_capacity_service_us (&s->capacity, class, now) : 0;
      if (us <= 0)
        return 0;
      rate += s->capacity.limit / (double)us;
      if (*service_us == 0 || us < *service_us)
        *service_us = us;
    }
  return rate;
}

/* Time to add to the expected latency because of recent failures. */
static int64_t
failure_cost_us (const struct cfs_pool *p, const struct target_state *s,
                 int64_t now)
{
  const struct cfs_capacity *c = &s->capacity;

  if (!learns_capacity (p))
    return 0;
  if (cfs_capacity_state (c, now) != CAPACITY_CLOSED
      && !cfs_capacity_accepts_read (c, now))
    return EJECTED_COST_US;
  return cfs_capacity_penalty_us (c, now);
}

void
target_note_opened (struct target_state *s, int64_t took_us)
{
  if (s->opening_us)
    s->opening_us += (took_us - s->opening_us) / EWMA_DIVISOR;
  else
    s->opening_us = took_us;
}

void
target_note_out_of_step (struct target_state *s, bool in_use, int64_t now)
{
  s->out_of_step[in_use ? CONN_IN_USE : CONN_IDLE]++;
  s->single_use_until = now + SINGLE_USE_US;
  target_note_reply (s, now);
}

bool
target_is_single_use (const struct target_state *s, int64_t now)
{
  return now < s->single_use_until;
}

void
target_note_release (struct target_state *s, int64_t now)
{
  double age = (double)(now - s->released_at) / RELEASE_DECAY_US;

  if (!s->released_since)
    s->released_since = now;
  s->releases = s->releases * exp (-age) + 1;
  s->released_at = now;
}

/* Time for which the releases of an instance count in full: that since the
   first one, up to RELEASE_DECAY_US. */
static double
release_window_us (const struct target_state *s)
{
  double age = (double)(s->released_at - s->released_since) / RELEASE_DECAY_US;

  return RELEASE_DECAY_US * (1 - exp (-age));
}

/* With room for one connection or more, that many are kept.  With less, one is
   kept for a part of the time: as long as makes the host's average number of
   idle connections, its releases in a second times the seconds that each
   stays, equal to its part of the limit. */
struct idle_limit
target_idle_limit (const struct cfs_pool *p, const struct target_state *s,
                   const char *service)
{
  struct idle_limit limit = { IDLE_COUNT_DEFAULT, IDLE_TIMEOUT_DEFAULT_US };
  const struct cfs_service *group
      = p->fleet->catalog ? cfs_catalog_service (p->fleet->catalog, service)
                          : NULL;
  double part;

  if (!group || !p->fleet->live_hosts)
    return limit;
  part = IDLE_FRACTION * group->max_connections / p->fleet->live_hosts;
  limit.count = part < 1 ? 1 : (size_t)part;
  limit.timeout_us = IDLE_TIMEOUT_MAX_US;
  if (part < 1)
    limit.timeout_us = (int64_t)(part * release_window_us (s) / s->releases);
  if (limit.timeout_us > IDLE_TIMEOUT_MAX_US)
    limit.timeout_us = IDLE_TIMEOUT_MAX_US;
  return limit;
}

bool
target_at_conn_limit (const struct target_state *s, int64_t now)
{
  return s->conn_refused_at && now - s->conn_refused_at < CONN_LIMIT_US;
}

bool
target_accepts_work (const struct target_state *s, int64_t now)
{
  if (now - s->overload_until > MEASUREMENT_TTL_US)
    return true;
  return now >= s->overload_until
         && (s->overload_pause == 0 || (s->pending == 0 && s->opening == 0));
}

static bool
is_excluded (const char *id, const char (*excluded)[CFS_NAME_MAX],
             size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (excluded[i], id) == 0)
      return true;
  return false;
}

/* Expected time to a reply from a target in microseconds: the measured
   latency, scaled up by this host's pending statements per slot, the time to
   open a connection if the team has no idle one, and the cost of failures. */
static int64_t
expected_latency_us (struct cfs_pool *p, const struct cfs_target *t,
                     const char *team, int64_t now)
{
  const struct target_state *s = cfs_table_find (&p->states, t->id);
  int64_t base = cfs_fleet_in_region (p->fleet, t->zone)
                     ? LATENCY_SAME_REGION_US
                     : LATENCY_OTHER_REGION_US;
  unsigned slots = t->slots ? t->slots : 1;
  int64_t opening = 0;

  if (!s)
    return base + base;
  if (now - s->measured_at <= MEASUREMENT_TTL_US)
    base = s->latency_us;
  if (!target_has_idle (s, team, now))
    opening = s->opening_us ? s->opening_us : base;
  return base + base * s->pending / slots + opening
         + failure_cost_us (p, s, now);
}

const struct cfs_target *
cfs_pool_choose (struct cfs_pool *p, const char *service, const char *team,
                 const struct cfs_placement_scope *scope,
                 const struct cfs_position *min_position,
                 const char (*excluded)[CFS_NAME_MAX], size_t excluded_count,
                 int64_t now)
{
  const struct cfs_target *best = NULL;
  int64_t best_us = 0;
  bool best_cold = false;

  for (size_t i = 0; i < p->fleet->targets.count; i++)
    {
      const struct cfs_target *t = cfs_table_at (&p->fleet->targets, i);
      const struct target_state *s = cfs_table_find (&p->states, t->id);
      enum cfs_placement_reason reason
          = cfs_placement_check (p->fleet, t, scope, PLACEMENT_READ, now);
      bool cold = reason == PLACEMENT_COLD;
      int64_t us;

      if (strcmp (t->service, service) != 0
          || is_excluded (t->id, excluded, excluded_count)
          || !cfs_placement_usable (reason))
        continue;
      if (s && (now < s->down_until || !target_accepts_work (s, now)))
        continue;
      if (!cfs_pool_has_room (p, t->id))
        continue;
      if (s && now < s->behind_until
          && cfs_position_compare (&s->behind, min_position) <= 0)
        continue;
      us = expected_latency_us (p, t, team, now);
      if (best && (cold > best_cold || (cold == best_cold && us >= best_us)))
        continue;
      best = t;
      best_cold = cold;
      best_us = us;
    }
  return best;
}

const struct cfs_target *
cfs_pool_primary (struct cfs_pool *p, const char *service,
                  const struct cfs_placement_scope *scope, int64_t now)
{
  const struct cfs_target *t = cfs_targets_primary (
      &p->fleet->targets, &p->fleet->failovers, service);
  const struct target_state *s = t ? cfs_table_find (&p->states, t->id) : NULL;

  if (!t || (s && now < s->not_primary_until)
      || cfs_fleet_drain_expired (p->fleet, t, now)
      || !cfs_placement_usable (
          cfs_placement_check (p->fleet, t, scope, PLACEMENT_PRIMARY, now)))
    return NULL;
  return t;
}

bool
cfs_pool_drain_expired (const struct cfs_pool *p, const char *target,
                        int64_t now)
{
  const struct cfs_target *t = cfs_table_find (&p->fleet->targets, target);

  return t && cfs_fleet_drain_expired (p->fleet, t, now);
}

void
cfs_pool_note_slow (struct cfs_pool *p, const char *target, int64_t now)
{
  struct target_state *s = target_state_get (p, target);

  s->down_until = now + SLOW_PAUSE_US;
  target_note_overload (p, s, now);
}

void
cfs_pool_note_overload (struct cfs_pool *p, const char *target, int64_t now)
{
  target_note_overload (p, target_state_get (p, target), now);
}

void
cfs_pool_note_not_primary (struct cfs_pool *p, const char *target, int64_t now)
{
  target_state_get (p, target)->not_primary_until = now + NOT_PRIMARY_US;
}

void
cfs_pool_note_behind (struct cfs_pool *p, const char *target,
                      const struct cfs_position *min_position, int64_t now)
{
  struct target_state *s = target_state_get (p, target);

  s->behind = *min_position;
  if (now >= s->behind_until)
    s->behind_pause = next_backoff (s->behind_pause, BEHIND_US, BEHIND_MAX_US);
  s->behind_until = now + s->behind_pause;
}

void
cfs_pool_note_stuck (struct cfs_pool *p, const char *target, bool stuck,
                     int64_t now)
{
  target_state_get (p, target)->stuck_at = stuck ? now : 0;
}

void
cfs_pool_suspects (const struct cfs_pool *p, int64_t now,
                   void (*each) (void *ctx, const char *target), void *ctx)
{
  for (size_t i = 0; i < p->states.count; i++)
    {
      const struct target_state *s = cfs_table_at (&p->states, i);

      bool silent = s->failed_at && s->failed_at > s->replied_at
                    && now - s->failed_at < MEASUREMENT_TTL_US;
      bool stuck = s->stuck_at && now - s->stuck_at < MEASUREMENT_TTL_US;

      if ((silent || stuck) && cfs_fleet_target (p->fleet, s->id))
        each (ctx, s->id);
    }
}

static void
capacity_metrics (const struct target_state *s, int64_t now, GString *out)
{
  static const char *const classes[] = { "read", "write", "commit" };
  const struct cfs_capacity *c = &s->capacity;

  g_string_append_printf (
      out,
      "coltsfootstage_target_limit{target=\"%s\"} %.1f\n"
      "coltsfootstage_target_in_flight{target=\"%s\"} %u\n"
      "coltsfootstage_target_ejected{target=\"%s\"} %d\n"
      "coltsfootstage_target_ejections_total{target=\"%s\"} %" PRIu64 "\n",
      s->id, c->limit, s->id, c->in_flight, s->id,
      cfs_capacity_state (c, now) != CAPACITY_CLOSED, s->id, c->ejections);
  for (int i = 0; i < CAPACITY_CLASSES; i++)
    g_string_append_printf (
        out,
        "coltsfootstage_target_service_us{target=\"%s\",class=\"%s\"} "
        "%" PRId64 "\n",
        s->id, classes[i],
        cfs_capacity_service_us (c, (enum cfs_capacity_class)i, now));
}

void
cfs_pool_metrics (const struct cfs_pool *p, GString *out)
{
  for (size_t i = 0; i < p->states.count; i++)
    {
      const struct target_state *s = cfs_table_at (&p->states, i);

      g_string_append_printf (
          out,
          "coltsfootstage_links{target=\"%s\"} %zu\n"
          "coltsfootstage_links_opened_total{target=\"%s\"} %" G_GUINT64_FORMAT
          "\n"
          "coltsfootstage_links_refused_total{target=\"%s\"} "
          "%" G_GUINT64_FORMAT "\n"
          "coltsfootstage_links_lost_total{target=\"%s\"} %" G_GUINT64_FORMAT
          "\n"
          "coltsfootstage_replies_unexpected_total{target=\"%s\","
          "reason=\"idle\"} %" G_GUINT64_FORMAT "\n"
          "coltsfootstage_replies_unexpected_total{target=\"%s\","
          "reason=\"in_use\"} %" G_GUINT64_FORMAT "\n",
          s->id, s->conn_count, s->id, s->opened, s->id, s->refused, s->id,
          s->lost, s->id, s->out_of_step[CONN_IDLE], s->id,
          s->out_of_step[CONN_IN_USE]);
      if (learns_capacity (p))
        capacity_metrics (s, p->clock (), out);
    }
}
