/*
 * What a host has learnt of an instance, and the choice between instances.
 *
 * An instance that refuses work is left alone for a pause that doubles with
 * each refusal and halves with each answer; while it lasts this host gives
 * it one thing at a time.  All hosts together thus offer little more than
 * it can do, whatever their number; attempts at a constant pace would cost
 * it the slots that it needs for work.
 */
#include "pool_int.h"

#include <string.h>

/* Time for which a refusal marks an instance as pressed. */
#define PRESSED_US (2 * CFS_US_PER_S)
/* Pause after a refusal: least, most, and below what it counts as over. */
#define LOAD_PAUSE_US (20 * CFS_US_PER_MS)
#define LOAD_PAUSE_MAX_US (640 * CFS_US_PER_MS)
/* An instance whose connections fail is passed over, doubling up to the max.
 */
#define DOWN_PAUSE_US (100 * CFS_US_PER_MS)
#define DOWN_PAUSE_MAX_US (1600 * CFS_US_PER_MS)
/* An instance whose connections are slow to come up is passed over. */
#define SLOW_PAUSE_US (400 * CFS_US_PER_MS)
/* A claim to lead is passed over for this time after it was denied. */
#define DENIED_US (300 * CFS_US_PER_MS)
/* An instance that lacked a position is passed over for it this long,
   doubling up to the max. */
#define BEHIND_US (40 * CFS_US_PER_MS)
#define BEHIND_MAX_US (640 * CFS_US_PER_MS)
/* Expected time to an answer where nothing is known. */
#define EXPECTED_NEAR_US (20 * CFS_US_PER_MS)
#define EXPECTED_FAR_US (50 * CFS_US_PER_MS)
/* Weight of a new sample in the average, as a divisor. */
#define AVERAGE_DIVISOR 8

struct site *
site_add (struct cfs_pool *p, const char *id)
{
  return cfs_table_add (&p->sites, id);
}

static int64_t
doubled (int64_t pause, int64_t least, int64_t most)
{
  pause = pause ? pause * 2 : least;
  return pause > most ? most : pause;
}

void
site_note_failure (struct site *s, int64_t now)
{
  s->lost++;
  s->failed_at = now;
  s->down_pause = doubled (s->down_pause, DOWN_PAUSE_US, DOWN_PAUSE_MAX_US);
  s->down_until = now + s->down_pause;
}

void
site_note_answer (struct site *s, int64_t now)
{
  s->answered_at = now;
  s->down_pause = 0;
  s->down_until = 0;
}

/* What was asked before the pause began says nothing new. */
void
site_note_overload (struct cfs_pool *p, struct site *s, int64_t now)
{
  if (now < s->load_until)
    return;
  s->load_pause = doubled (s->load_pause, LOAD_PAUSE_US, LOAD_PAUSE_MAX_US);
  s->load_until = now + s->load_pause / 2
                  + (int64_t)(cfs_random (&p->seed) % (uint64_t)s->load_pause);
}

void
site_note_served (struct site *s, int64_t took_us, int64_t now)
{
  if (now - s->timed_at > FORGET_US)
    s->expected_us = took_us;
  else
    s->expected_us += (took_us - s->expected_us) / AVERAGE_DIVISOR;
  s->timed_at = now;
  s->behind_pause = 0;
  s->load_pause /= 2;
  if (s->load_pause < LOAD_PAUSE_US)
    s->load_pause = 0;
}

bool
site_is_pressed (const struct site *s, int64_t now)
{
  return s->refused_at && now - s->refused_at < PRESSED_US;
}

bool
site_takes_work (const struct site *s, int64_t now)
{
  if (now - s->load_until > FORGET_US)
    return true;
  return now >= s->load_until
         && (s->load_pause == 0 || (s->due == 0 && s->opening == 0));
}

static bool
is_avoided (const char *id, const char (*avoid)[CFS_NAME_MAX], size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (avoid[i], id) == 0)
      return true;
  return false;
}

/* Microseconds until an answer is expected from a target. */
static int64_t
expected_us (struct cfs_pool *p, const struct cfs_target *t, int64_t now)
{
  const struct site *s = cfs_table_find (&p->sites, t->id);
  int64_t base = cfs_fleet_is_near (p->fleet, t->zone) ? EXPECTED_NEAR_US
                                                       : EXPECTED_FAR_US;
  unsigned slots = t->slots ? t->slots : 1;

  if (!s || now - s->timed_at > FORGET_US)
    return base + (s ? base * s->due / slots : 0);
  return s->expected_us + s->expected_us * s->due / slots;
}

const struct cfs_target *
cfs_pool_choose (struct cfs_pool *p, const char *service,
                 const struct cfs_position *need,
                 const char (*avoid)[CFS_NAME_MAX], size_t avoid_count,
                 int64_t now)
{
  const struct cfs_target *best = NULL;
  int64_t best_us = 0;

  for (size_t i = 0; i < p->fleet->targets.count; i++)
    {
      const struct cfs_target *t = cfs_table_at (&p->fleet->targets, i);
      const struct site *s = cfs_table_find (&p->sites, t->id);
      int64_t us;

      if (t->gone || t->draining || strcmp (t->service, service) != 0
          || is_avoided (t->id, avoid, avoid_count))
        continue;
      if (s && (now < s->down_until || !site_takes_work (s, now)))
        continue;
      if (s && now < s->behind_until
          && cfs_position_compare (&s->behind, need) <= 0)
        continue;
      us = expected_us (p, t, now);
      if (best && us >= best_us)
        continue;
      best = t;
      best_us = us;
    }
  return best;
}

const struct cfs_target *
cfs_pool_primary (struct cfs_pool *p, const char *service, int64_t now)
{
  const struct cfs_target *t
      = cfs_targets_primary (&p->fleet->targets, &p->fleet->turns, service);
  const struct site *s = t ? cfs_table_find (&p->sites, t->id) : NULL;

  if (!t || (s && now < s->denied_until))
    return NULL;
  return t;
}

void
cfs_pool_note_slow (struct cfs_pool *p, const char *target, int64_t now)
{
  struct site *s = site_add (p, target);

  s->down_until = now + SLOW_PAUSE_US;
  site_note_overload (p, s, now);
}

void
cfs_pool_note_overload (struct cfs_pool *p, const char *target, int64_t now)
{
  site_note_overload (p, site_add (p, target), now);
}

void
cfs_pool_note_not_primary (struct cfs_pool *p, const char *target, int64_t now)
{
  site_add (p, target)->denied_until = now + DENIED_US;
}

void
cfs_pool_note_behind (struct cfs_pool *p, const char *target,
                      const struct cfs_position *need, int64_t now)
{
  struct site *s = site_add (p, target);

  s->behind = *need;
  if (now >= s->behind_until)
    s->behind_pause = doubled (s->behind_pause, BEHIND_US, BEHIND_MAX_US);
  s->behind_until = now + s->behind_pause;
}

void
cfs_pool_note_stuck (struct cfs_pool *p, const char *target, bool stuck,
                     int64_t now)
{
  site_add (p, target)->stuck_at = stuck ? now : 0;
}

void
cfs_pool_suspects (const struct cfs_pool *p, int64_t now,
                   void (*each) (void *ctx, const char *target), void *ctx)
{
  for (size_t i = 0; i < p->sites.count; i++)
    {
      const struct site *s = cfs_table_at (&p->sites, i);

      bool silent = s->failed_at && s->failed_at > s->answered_at
                    && now - s->failed_at < FORGET_US;
      bool stuck = s->stuck_at && now - s->stuck_at < FORGET_US;

      if ((silent || stuck) && cfs_fleet_target (p->fleet, s->id))
        each (ctx, s->id);
    }
}

void
cfs_pool_metrics (const struct cfs_pool *p, GString *out)
{
  for (size_t i = 0; i < p->sites.count; i++)
    {
      const struct site *s = cfs_table_at (&p->sites, i);

      g_string_append_printf (
          out,
          "coltsfootstage_links{target=\"%s\"} %zu\n"
          "coltsfootstage_links_opened_total{target=\"%s\"} %" G_GUINT64_FORMAT
          "\n"
          "coltsfootstage_links_refused_total{target=\"%s\"} "
          "%" G_GUINT64_FORMAT "\n"
          "coltsfootstage_links_lost_total{target=\"%s\"} %" G_GUINT64_FORMAT
          "\n",
          s->id, s->count, s->id, s->opened, s->id, s->refused, s->id,
          s->lost);
    }
}
