/*
 * Links of a target stand in one list, the most recently used first, so
 * rarely used ones gather at the end and are closed.  The expected time to
 * an answer is a moving average that includes the instance's own queue;
 * after a while without use it goes back to what distance suggests, so that
 * an instance that was slow once is tried again.
 */
#include "pool.h"

#include "../process/log.h"

#include <stdlib.h>
#include <string.h>

#define PART "pool"
/* A connection that is not up by then counts as failed. */
#define OPEN_MAX_US (1500 * CFS_US_PER_MS)
/* Idle links are closed after this time. */
#define IDLE_US (1500 * CFS_US_PER_MS)
/* The same while the instance refuses connections. */
#define IDLE_PRESSED_US (150 * CFS_US_PER_MS)
/* No new connection is tried for this time after a refusal. */
#define REFUSED_PAUSE_US (40 * CFS_US_PER_MS)
/* Time for which a refusal marks an instance as pressed. */
#define PRESSED_US (2 * CFS_US_PER_S)
/* An instance whose connections fail is passed over, doubling up to the max.
 */
#define DOWN_PAUSE_US (100 * CFS_US_PER_MS)
#define DOWN_PAUSE_MAX_US (1600 * CFS_US_PER_MS)
/* An instance whose connections are slow to come up is passed over. */
#define SLOW_PAUSE_US (400 * CFS_US_PER_MS)
/* A claim to lead is passed over for this time after it was denied. */
#define DENIED_US (300 * CFS_US_PER_MS)
/* An instance that lacked a position is passed over for it this long. */
#define BEHIND_US (40 * CFS_US_PER_MS)
/* A settling link whose replies do not come is closed. */
#define SETTLE_MAX_US (2 * CFS_US_PER_S)
/* Expected time to an answer where nothing is known. */
#define EXPECTED_NEAR_US (20 * CFS_US_PER_MS)
#define EXPECTED_FAR_US (50 * CFS_US_PER_MS)
/* Time without use after which the average is forgotten. */
#define FORGET_US (2 * CFS_US_PER_S)
/* Named to instances where callers need no key. */
#define OPEN_TEAM "public"
/* Weight of a new sample in the average, as a divisor. */
#define AVERAGE_DIVISOR 8

struct site
{
  char id[CFS_NAME_MAX];
  struct cfs_link *first;
  size_t count;
  unsigned due;
  int64_t expected_us;
  int64_t timed_at;
  int64_t refused_at;
  int64_t denied_until;
  int64_t down_until;
  int64_t down_pause;
  int64_t answered_at;
  int64_t failed_at;
  int64_t stuck_at;
  struct cfs_position behind;
  int64_t behind_until;
  uint64_t opened;
  uint64_t refused;
  uint64_t lost;
};

struct cfs_link
{
  struct cfs_pool *pool;
  char site[CFS_NAME_MAX];
  char team[CFS_NAME_MAX];
  struct cfs_link *next;
  struct cfs_wire *wire;
  const struct cfs_link_events *events;
  void *holder;
  bool up;
  unsigned due;
  enum cfs_tx_state state;
  int64_t since;
  GHashTable *values;
  GHashTable *prepared;
};

struct cfs_pool
{
  const struct cfs_target_edge *edge;
  const struct cfs_fleet *fleet;
  int64_t (*clock) (void);
  struct cfs_table sites;
};

static struct site *
site_of (const struct cfs_link *l)
{
  return cfs_table_find (&l->pool->sites, l->site);
}

static struct site *
add_site (struct cfs_pool *p, const char *id)
{
  return cfs_table_add (&p->sites, id);
}

static void
unlink_link (struct cfs_link *l)
{
  struct site *s = site_of (l);
  struct cfs_link **at = &s->first;

  while (*at != l)
    at = &(*at)->next;
  *at = l->next;
  s->count--;
  s->due -= l->due;
}

static void
free_link (struct cfs_link *l)
{
  unlink_link (l);
  g_hash_table_destroy (l->values);
  g_hash_table_destroy (l->prepared);
  free (l);
}

void
cfs_pool_drop (struct cfs_link *l)
{
  l->wire->ops->close (l->wire);
  free_link (l);
}

static void
note_failure (struct site *s, int64_t now)
{
  s->lost++;
  s->failed_at = now;
  s->down_pause = s->down_pause ? s->down_pause * 2 : DOWN_PAUSE_US;
  if (s->down_pause > DOWN_PAUSE_MAX_US)
    s->down_pause = DOWN_PAUSE_MAX_US;
  s->down_until = now + s->down_pause;
}

static void
note_answer (struct site *s, int64_t now)
{
  s->answered_at = now;
  s->down_pause = 0;
  s->down_until = 0;
}

static void
on_opened (void *owner, const struct cfs_reply *r)
{
  struct cfs_link *l = owner;
  struct site *s = site_of (l);
  const struct cfs_link_events *events = l->events;
  void *holder = l->holder;
  int64_t now = cfs_pool_now (l->pool);

  note_answer (s, now);
  if (r->code == REPLY_OK)
    {
      l->up = true;
      l->state = r->state;
      l->since = now;
      s->opened++;
    }
  else
    {
      s->refused++;
      if (r->code == REPLY_NO_CONNECTION || r->code == REPLY_BUSY)
        s->refused_at = now;
      else
        note_failure (s, now);
      cfs_log (CFS_INFO, PART, "target=%s team=%s connection refused code=%s",
               l->site, l->team, cfs_reply_name (r->code));
      cfs_pool_drop (l);
    }
  if (holder)
    events->opened (holder, r);
}

static void
settle (struct cfs_link *l, int64_t now)
{
  l->since = now;
  if (l->due)
    return;
  if (l->state != TX_IDLE)
    cfs_pool_drop (l);
}

static void
on_replied (void *owner, const struct cfs_reply *r)
{
  struct cfs_link *l = owner;
  struct site *s = site_of (l);

  if (l->due)
    {
      l->due--;
      s->due--;
    }
  l->state = r->state;
  note_answer (s, cfs_pool_now (l->pool));
  if (l->holder)
    l->events->replied (l->holder, r);
  else
    settle (l, cfs_pool_now (l->pool));
}

static void
on_lost (void *owner, const char *reason)
{
  struct cfs_link *l = owner;
  const struct cfs_link_events *events = l->events;
  void *holder = l->holder;
  bool idle = l->up && !holder && l->due == 0;

  if (!idle)
    {
      note_failure (site_of (l), cfs_pool_now (l->pool));
      cfs_log (CFS_NOTICE, PART, "target=%s team=%s up=%d link lost: %s",
               l->site, l->team, l->up, reason);
    }
  free_link (l);
  if (holder)
    events->lost (holder, reason);
}

static const struct cfs_wire_events wire_events
    = { on_opened, on_replied, on_lost };

struct cfs_pool *
cfs_pool_new (const struct cfs_target_edge *edge,
              const struct cfs_fleet *fleet, int64_t (*clock) (void))
{
  struct cfs_pool *p = cfs_alloc (sizeof *p);

  p->edge = edge;
  p->fleet = fleet;
  p->clock = clock;
  cfs_table_init (&p->sites, sizeof (struct site));
  return p;
}

int64_t
cfs_pool_now (const struct cfs_pool *p)
{
  return p->clock ();
}

void
cfs_pool_free (struct cfs_pool *p)
{
  if (!p)
    return;
  for (size_t i = 0; i < p->sites.count; i++)
    {
      struct site *s = cfs_table_at (&p->sites, i);
      struct cfs_link *next;

      for (struct cfs_link *l = s->first; l; l = next)
        {
          next = l->next;
          cfs_pool_drop (l);
        }
    }
  cfs_table_end (&p->sites);
  free (p);
}

static bool
is_idle (const struct cfs_link *l)
{
  return !l->holder && l->up && l->due == 0 && l->state == TX_IDLE;
}

static bool
is_pressed (const struct site *s, int64_t now)
{
  return s->refused_at && now - s->refused_at < PRESSED_US;
}

/* Whether a link that nobody holds is to be closed. */
static bool
is_stale (const struct cfs_pool *p, const struct site *s,
          const struct cfs_link *l, int64_t now)
{
  const struct cfs_target *t = cfs_fleet_target (p->fleet, s->id);
  int64_t age = now - l->since;

  if (l->holder)
    return false;
  if (!l->up)
    return age > OPEN_MAX_US;
  if (l->due)
    return age > SETTLE_MAX_US;
  return !t || t->draining
         || age > (is_pressed (s, now) ? IDLE_PRESSED_US : IDLE_US);
}

/* A held link that does not come up ends as lost. */
static bool
is_hung (const struct cfs_link *l, int64_t now)
{
  return l->holder && !l->up && now - l->since > OPEN_MAX_US;
}

static struct cfs_link *
find_expired (const struct cfs_pool *p, const struct site *s, int64_t now)
{
  for (struct cfs_link *l = s->first; l; l = l->next)
    if (is_stale (p, s, l, now) || is_hung (l, now))
      return l;
  return NULL;
}

void
cfs_pool_tick (struct cfs_pool *p, int64_t now)
{
  for (size_t i = 0; i < p->sites.count; i++)
    {
      struct cfs_link *l;

      while ((l = find_expired (p, cfs_table_at (&p->sites, i), now)))
        if (is_hung (l, now))
          {
            l->wire->ops->close (l->wire);
            on_lost (l, "the connection does not come up");
          }
        else
          cfs_pool_drop (l);
    }
}

/* The idle link of a team, or with team NULL the least recently used one. */
static struct cfs_link *
find_idle (const struct site *s, const char *team)
{
  struct cfs_link *last = NULL;

  for (struct cfs_link *l = s->first; l; l = l->next)
    {
      if (!is_idle (l))
        continue;
      if (team && strcmp (l->team, team) == 0)
        return l;
      if (!team)
        last = l;
    }
  return last;
}

static struct cfs_link *
open_link (struct cfs_pool *p, const struct cfs_target *t, const char *team)
{
  struct cfs_link *l = cfs_alloc (sizeof *l);
  struct cfs_wire_setup setup = { .address = t->address,
                                  .service = t->service,
                                  .team = *team ? team : OPEN_TEAM,
                                  .target = t->id,
                                  .events = &wire_events,
                                  .owner = l };
  struct site *s = add_site (p, t->id);

  l->pool = p;
  cfs_copy (l->site, sizeof l->site, t->id);
  cfs_copy (l->team, sizeof l->team, team);
  l->wire = p->edge->open (p->edge, &setup);
  if (!l->wire)
    {
      free (l);
      note_failure (s, cfs_pool_now (p));
      return NULL;
    }
  l->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  l->prepared = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  l->next = s->first;
  s->first = l;
  s->count++;
  return l;
}

struct cfs_link *
cfs_pool_take (struct cfs_pool *p, const char *target, const char *team,
               const struct cfs_link_events *events, void *holder, int64_t now,
               bool *opening)
{
  const struct cfs_target *t = cfs_fleet_target (p->fleet, target);
  struct site *s = add_site (p, target);
  struct cfs_link *l = find_idle (s, team);

  if (!t)
    return NULL;
  if (!l)
    {
      struct cfs_link *other = find_idle (s, NULL);

      if (now < s->down_until)
        return NULL;
      if (is_pressed (s, now) && now - s->refused_at < REFUSED_PAUSE_US)
        return NULL;
      if (is_pressed (s, now) && other)
        cfs_pool_drop (other);
      l = open_link (p, t, team);
    }
  else if (s->first != l)
    {
      unlink_link (l);
      s->due += l->due;
      l->next = s->first;
      s->first = l;
      s->count++;
    }
  if (!l)
    return NULL;
  l->events = events;
  l->holder = holder;
  l->since = now;
  *opening = !l->up;
  return l;
}

void
cfs_pool_give (struct cfs_link *l, int64_t now)
{
  l->holder = NULL;
  if (!l->up)
    l->since = now;
  else
    settle (l, now);
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
      if (s && now < s->down_until)
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
  add_site (p, target)->down_until = now + SLOW_PAUSE_US;
}

void
cfs_pool_note_not_primary (struct cfs_pool *p, const char *target, int64_t now)
{
  add_site (p, target)->denied_until = now + DENIED_US;
}

void
cfs_pool_note_behind (struct cfs_pool *p, const char *target,
                      const struct cfs_position *need, int64_t now)
{
  struct site *s = add_site (p, target);

  s->behind = *need;
  s->behind_until = now + BEHIND_US;
}

void
cfs_pool_note_stuck (struct cfs_pool *p, const char *target, bool stuck,
                     int64_t now)
{
  add_site (p, target)->stuck_at = stuck ? now : 0;
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

const char *
cfs_pool_any_team (const struct cfs_pool *p, const char *target)
{
  const struct site *s = cfs_table_find (&p->sites, target);
  const struct cfs_link *l = s ? find_idle (s, NULL) : NULL;

  return l ? l->team : NULL;
}

void
cfs_link_send (struct cfs_link *l, const struct cfs_statement *statements,
               size_t count, int64_t now)
{
  l->due += (unsigned)count;
  site_of (l)->due += (unsigned)count;
  l->since = now;
  l->wire->ops->send (l->wire, statements, count);
}

const char *
cfs_link_target (const struct cfs_link *l)
{
  return l->site;
}

unsigned
cfs_link_due (const struct cfs_link *l)
{
  return l->due;
}

void
cfs_link_timed (struct cfs_link *l, int64_t took_us)
{
  struct site *s = site_of (l);
  int64_t now = cfs_pool_now (l->pool);

  if (now - s->timed_at > FORGET_US)
    s->expected_us = took_us;
  else
    s->expected_us += (took_us - s->expected_us) / AVERAGE_DIVISOR;
  s->timed_at = now;
}

GHashTable *
cfs_link_values (struct cfs_link *l)
{
  return l->values;
}

GHashTable *
cfs_link_prepared (struct cfs_link *l)
{
  return l->prepared;
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
