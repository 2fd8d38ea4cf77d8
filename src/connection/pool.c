/*
 * Links of a target stand in one list, the most recently used first, so
 * rarely used ones gather at the end and are closed.
 */
#include "pool_int.h"

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
/* A settling link whose replies do not come is closed. */
#define SETTLE_MAX_US (2 * CFS_US_PER_S)
/* Named to instances where callers need no key. */
#define OPEN_TEAM "public"

struct cfs_pooled_conn
{
  struct cfs_pool *pool;
  char site[CFS_NAME_MAX];
  char team[CFS_NAME_MAX];
  struct cfs_pooled_conn *next;
  struct cfs_target_conn *wire;
  const struct cfs_pooled_conn_events *events;
  void *holder;
  bool up;
  unsigned due;
  enum cfs_tx_state state;
  int64_t since;
  GHashTable *values;
  GHashTable *prepared;
};

static struct site *
site_of (const struct cfs_pooled_conn *l)
{
  return cfs_table_find (&l->pool->sites, l->site);
}

static void
unlink_link (struct cfs_pooled_conn *l)
{
  struct site *s = site_of (l);
  struct cfs_pooled_conn **at = &s->first;

  while (*at != l)
    at = &(*at)->next;
  *at = l->next;
  s->count--;
  s->opening -= !l->up;
  s->due -= l->due;
}

static void
free_link (struct cfs_pooled_conn *l)
{
  unlink_link (l);
  g_hash_table_destroy (l->values);
  g_hash_table_destroy (l->prepared);
  free (l);
}

void
cfs_pool_close_conn (struct cfs_pooled_conn *l)
{
  l->wire->ops->close (l->wire);
  free_link (l);
}

static void
on_opened (void *owner, const struct cfs_reply *r)
{
  struct cfs_pooled_conn *l = owner;
  struct site *s = site_of (l);
  const struct cfs_pooled_conn_events *events = l->events;
  void *holder = l->holder;
  int64_t now = cfs_pool_now (l->pool);

  site_note_answer (s, now);
  if (r->code == REPLY_OK)
    {
      l->up = true;
      s->opening--;
      l->state = r->state;
      l->since = now;
      s->opened++;
    }
  else
    {
      s->refused++;
      if (r->code == REPLY_NO_CONNECTION || r->code == REPLY_BUSY)
        {
          s->refused_at = now;
          site_note_overload (l->pool, s, now);
        }
      else
        site_note_failure (s, now);
      cfs_log (CFS_INFO, PART, "target=%s team=%s connection refused code=%s",
               l->site, l->team, cfs_reply_name (r->code));
      cfs_pool_close_conn (l);
    }
  if (holder)
    events->opened (holder, r);
}

static void
settle (struct cfs_pooled_conn *l, int64_t now)
{
  l->since = now;
  if (l->due)
    return;
  if (l->state != TX_IDLE)
    cfs_pool_close_conn (l);
}

static void
on_replied (void *owner, const struct cfs_reply *r)
{
  struct cfs_pooled_conn *l = owner;
  struct site *s = site_of (l);

  if (l->due)
    {
      l->due--;
      s->due--;
    }
  l->state = r->state;
  site_note_answer (s, cfs_pool_now (l->pool));
  if (l->holder)
    l->events->replied (l->holder, r);
  else
    settle (l, cfs_pool_now (l->pool));
}

static void
on_lost (void *owner, const char *reason)
{
  struct cfs_pooled_conn *l = owner;
  const struct cfs_pooled_conn_events *events = l->events;
  void *holder = l->holder;
  bool idle = l->up && !holder && l->due == 0;

  if (!idle)
    {
      site_note_failure (site_of (l), cfs_pool_now (l->pool));
      cfs_log (CFS_NOTICE, PART, "target=%s team=%s up=%d link lost: %s",
               l->site, l->team, l->up, reason);
    }
  free_link (l);
  if (holder)
    events->lost (holder, reason);
}

static const struct cfs_target_conn_events wire_events
    = { on_opened, on_replied, on_lost };

struct cfs_pool *
cfs_pool_new (const struct cfs_target_adapter *edge,
              const struct cfs_fleet *fleet, int64_t (*clock) (void),
              uint64_t seed)
{
  struct cfs_pool *p = cfs_alloc (sizeof *p);

  p->edge = edge;
  p->fleet = fleet;
  p->clock = clock;
  p->seed = seed;
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
      struct cfs_pooled_conn *next;

      for (struct cfs_pooled_conn *l = s->first; l; l = next)
        {
          next = l->next;
          cfs_pool_close_conn (l);
        }
    }
  cfs_table_end (&p->sites);
  free (p);
}

static bool
is_idle (const struct cfs_pooled_conn *l)
{
  return !l->holder && l->up && l->due == 0 && l->state == TX_IDLE;
}

/* Whether a link that nobody holds is to be closed. */
static bool
is_stale (const struct cfs_pool *p, const struct site *s,
          const struct cfs_pooled_conn *l, int64_t now)
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
         || age > (site_is_pressed (s, now) ? IDLE_PRESSED_US : IDLE_US);
}

/* A held link that does not come up ends as lost. */
static bool
is_hung (const struct cfs_pooled_conn *l, int64_t now)
{
  return l->holder && !l->up && now - l->since > OPEN_MAX_US;
}

static struct cfs_pooled_conn *
find_expired (const struct cfs_pool *p, const struct site *s, int64_t now)
{
  for (struct cfs_pooled_conn *l = s->first; l; l = l->next)
    if (is_stale (p, s, l, now) || is_hung (l, now))
      return l;
  return NULL;
}

void
cfs_pool_tick (struct cfs_pool *p, int64_t now)
{
  for (size_t i = 0; i < p->sites.count; i++)
    {
      struct cfs_pooled_conn *l;

      while ((l = find_expired (p, cfs_table_at (&p->sites, i), now)))
        if (is_hung (l, now))
          {
            l->wire->ops->close (l->wire);
            on_lost (l, "the connection does not come up");
          }
        else
          cfs_pool_close_conn (l);
    }
}

/* The idle link of a team, or with team NULL the least recently used one. */
static struct cfs_pooled_conn *
find_idle (const struct site *s, const char *team)
{
  struct cfs_pooled_conn *last = NULL;

  for (struct cfs_pooled_conn *l = s->first; l; l = l->next)
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

static struct cfs_pooled_conn *
open_link (struct cfs_pool *p, const struct cfs_target *t, const char *team)
{
  struct cfs_pooled_conn *l = cfs_alloc (sizeof *l);
  struct cfs_target_conn_setup setup = { .address = t->address,
                                         .service = t->service,
                                         .team = *team ? team : OPEN_TEAM,
                                         .target = t->id,
                                         .events = &wire_events,
                                         .owner = l };
  struct site *s = site_add (p, t->id);

  l->pool = p;
  cfs_copy (l->site, sizeof l->site, t->id);
  cfs_copy (l->team, sizeof l->team, team);
  l->wire = p->edge->open (p->edge, &setup);
  if (!l->wire)
    {
      free (l);
      site_note_failure (s, cfs_pool_now (p));
      return NULL;
    }
  l->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  l->prepared = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  l->next = s->first;
  s->first = l;
  s->count++;
  s->opening++;
  return l;
}

struct cfs_pooled_conn *
cfs_pool_acquire (struct cfs_pool *p, const char *target, const char *team,
                  const struct cfs_pooled_conn_events *events, void *holder,
                  int64_t now, bool *opening)
{
  const struct cfs_target *t = cfs_fleet_target (p->fleet, target);
  struct site *s = site_add (p, target);
  struct cfs_pooled_conn *l = find_idle (s, team);

  if (!t || !site_takes_work (s, now))
    return NULL;
  if (!l)
    {
      struct cfs_pooled_conn *other = find_idle (s, NULL);

      if (now < s->down_until)
        return NULL;
      if (site_is_pressed (s, now) && other)
        cfs_pool_close_conn (other);
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
cfs_pool_release (struct cfs_pooled_conn *l, int64_t now)
{
  l->holder = NULL;
  if (!l->up)
    l->since = now;
  else
    settle (l, now);
}

const char *
cfs_pool_idle_team (const struct cfs_pool *p, const char *target)
{
  const struct site *s = cfs_table_find (&p->sites, target);
  const struct cfs_pooled_conn *l = s ? find_idle (s, NULL) : NULL;

  return l ? l->team : NULL;
}

void
cfs_pooled_conn_send (struct cfs_pooled_conn *l,
                      const struct cfs_statement *statements, size_t count,
                      int64_t now)
{
  l->due += (unsigned)count;
  site_of (l)->due += (unsigned)count;
  l->since = now;
  l->wire->ops->send (l->wire, statements, count);
}

const char *
cfs_pooled_conn_target (const struct cfs_pooled_conn *l)
{
  return l->site;
}

unsigned
cfs_pooled_conn_pending (const struct cfs_pooled_conn *l)
{
  return l->due;
}

GHashTable *
cfs_pooled_conn_values (struct cfs_pooled_conn *l)
{
  return l->values;
}

GHashTable *
cfs_pooled_conn_prepared (struct cfs_pooled_conn *l)
{
  return l->prepared;
}

void
cfs_pooled_conn_record_latency (struct cfs_pooled_conn *l, int64_t took_us)
{
  site_note_served (site_of (l), took_us, cfs_pool_now (l->pool));
}
