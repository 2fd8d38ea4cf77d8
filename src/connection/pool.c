/*
 * The connections of a target form one list, most recently used first, so
 * rarely used ones collect at the end, become idle and are closed.
 */
#include "pool_int.h"

#include "../process/log.h"

#include <stdlib.h>
#include <string.h>

#define PART "pool"
/* A connection that is not established within this time has failed. */
#define OPEN_TIMEOUT_US (1500 * CFS_US_PER_MS)
/* Idle connections are closed after this time while the instance refuses
   connections, to free some of its connection limit for other hosts. */
#define IDLE_TIMEOUT_LIMITED_US (150 * CFS_US_PER_MS)
/* A released connection is closed if its outstanding replies take longer. */
#define DRAIN_TIMEOUT_US (2 * CFS_US_PER_S)
/* Team name sent to instances on routes that need no API key. */
#define PUBLIC_TEAM "public"

/**
 * struct cfs_pooled_conn - see pool.h
 * @next: in the target's list
 * @user: passed to @events; NULL while the connection is in the pool
 * @pending: statements without a reply
 * @in_flight: counted as a statement in flight in the target's capacity
 * @load: statements in flight at the target when this one was counted
 * @state: transaction state after the last reply
 * @changed_at: time of the last open, send, acquire or release
 * @values: session variables set on the connection
 * @prepared: names of the statements prepared on the connection
 */
struct cfs_pooled_conn
{
  struct cfs_pool *pool;
  char target[CFS_NAME_MAX];
  char team[CFS_NAME_MAX];
  struct cfs_pooled_conn *next;
  struct cfs_target_conn *target_conn;
  const struct cfs_pooled_conn_events *events;
  void *user;
  bool established;
  unsigned pending;
  bool in_flight;
  unsigned load;
  enum cfs_tx_state state;
  int64_t changed_at;
  GHashTable *values;
  GHashTable *prepared;
};

static struct target_state *
state_of (const struct cfs_pooled_conn *c)
{
  return cfs_table_find (&c->pool->states, c->target);
}

/* A connection that is opening or has outstanding replies occupies one of the
   target's slots. */
static void
count_in_flight (struct cfs_pooled_conn *c, bool in_flight)
{
  struct target_state *s = state_of (c);

  if (c->in_flight == in_flight)
    return;
  c->in_flight = in_flight;
  if (in_flight)
    c->load = cfs_capacity_enter (&s->capacity);
  else
    cfs_capacity_leave (&s->capacity);
}

static void
remove_conn (struct cfs_pooled_conn *c)
{
  struct target_state *s = state_of (c);
  struct cfs_pooled_conn **at = &s->first_conn;

  while (*at != c)
    at = &(*at)->next;
  *at = c->next;
  s->conn_count--;
  s->opening -= !c->established;
  s->pending -= c->pending;
}

static void
free_conn (struct cfs_pooled_conn *c)
{
  count_in_flight (c, false);
  remove_conn (c);
  g_hash_table_destroy (c->values);
  g_hash_table_destroy (c->prepared);
  free (c);
}

void
cfs_pool_close_conn (struct cfs_pooled_conn *c)
{
  c->target_conn->ops->close (c->target_conn);
  free_conn (c);
}

static void
on_opened (void *owner, const struct cfs_reply *r)
{
  struct cfs_pooled_conn *c = owner;
  struct target_state *s = state_of (c);
  const struct cfs_pooled_conn_events *events = c->events;
  void *user = c->user;
  int64_t now = cfs_pool_now (c->pool);

  target_note_reply (s, now);
  if (r->code == REPLY_OK)
    {
      c->established = true;
      s->opening--;
      count_in_flight (c, false);
      c->state = r->state;
      target_note_opened (s, now - c->changed_at);
      c->changed_at = now;
      s->opened++;
    }
  else
    {
      s->refused++;
      if (r->code == REPLY_NO_CONNECTION || r->code == REPLY_BUSY)
        {
          s->conn_refused_at = now;
          target_note_overload (c->pool, s, now);
        }
      else
        target_note_failure (s, now);
      cfs_log (CFS_INFO, PART, "target=%s team=%s connection refused code=%s",
               c->target, c->team, cfs_reply_name (r->code));
      cfs_pool_close_conn (c);
    }
  if (user)
    events->opened (user, r);
}

static void
on_replied (void *owner, const struct cfs_reply *r)
{
  struct cfs_pooled_conn *c = owner;
  struct target_state *s = state_of (c);

  if (c->pending)
    {
      c->pending--;
      s->pending--;
    }
  if (c->pending == 0)
    count_in_flight (c, false);
  c->state = r->state;
  target_note_reply (s, cfs_pool_now (c->pool));
  if (c->user)
    c->events->replied (c->user, r);
  else
    c->changed_at = cfs_pool_now (c->pool);
}

/* The instance is alive, so this is no failure of it. */
static void
note_out_of_step (const struct cfs_pooled_conn *c)
{
  target_note_out_of_step (state_of (c), c->user != NULL,
                           cfs_pool_now (c->pool));
  cfs_log (CFS_WARNING, PART,
           "target=%s team=%s in_use=%d pending=%u state=%d connection lost: "
           "%s",
           c->target, c->team, c->user != NULL, c->pending, c->state,
           cfs_out_of_step);
}

static void
on_lost (void *owner, const char *reason)
{
  struct cfs_pooled_conn *c = owner;
  const struct cfs_pooled_conn_events *events = c->events;
  void *user = c->user;
  bool idle = c->established && !user && c->pending == 0;

  if (reason == cfs_out_of_step)
    note_out_of_step (c);
  else if (!idle)
    {
      target_note_failure (state_of (c), cfs_pool_now (c->pool));
      if (c->pending)
        cfs_pooled_conn_record_result (c, CAPACITY_READ, CAPACITY_FAILED, 0);
      cfs_log (CFS_NOTICE, PART, "target=%s team=%s up=%d connection lost: %s",
               c->target, c->team, c->established, reason);
    }
  free_conn (c);
  if (user)
    events->lost (user, reason);
}

static const struct cfs_target_conn_events target_conn_events
    = { on_opened, on_replied, on_lost, NULL };

struct cfs_pool *
cfs_pool_new (const struct cfs_target_adapter *adapter,
              const struct cfs_fleet *fleet, int64_t (*clock) (void),
              uint64_t seed)
{
  struct cfs_pool *p = cfs_alloc (sizeof *p);

  p->adapter = adapter;
  p->fleet = fleet;
  p->clock = clock;
  p->seed = seed;
  cfs_table_init (&p->states, sizeof (struct target_state));
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
  for (size_t i = 0; i < p->states.count; i++)
    {
      struct target_state *s = cfs_table_at (&p->states, i);
      struct cfs_pooled_conn *next;

      for (struct cfs_pooled_conn *c = s->first_conn; c; c = next)
        {
          next = c->next;
          cfs_pool_close_conn (c);
        }
    }
  cfs_table_end (&p->states);
  free (p);
}

bool
cfs_pooled_conn_single_use (const struct cfs_pooled_conn *c)
{
  return target_is_single_use (state_of (c), cfs_pool_now (c->pool));
}

static bool
is_idle (const struct cfs_pooled_conn *c)
{
  return !c->user && c->established && c->pending == 0 && c->state == TX_IDLE;
}

/* Whether a connection without a user is to be closed: it was not established
   or drained in time, it is left in a transaction, it may not be used again,
   its target is gone or draining, or it was idle for too long.  It is not
   closed when it is released or drained, as the reply that is handled may
   stand in its buffer. */
static bool
is_expired (const struct cfs_pool *p, const struct target_state *s,
            const struct cfs_pooled_conn *c, int64_t now)
{
  const struct cfs_target *t = cfs_fleet_target (p->fleet, s->id);
  int64_t age = now - c->changed_at;

  if (c->user)
    return false;
  if (!c->established)
    return age > OPEN_TIMEOUT_US;
  if (c->pending)
    return age > DRAIN_TIMEOUT_US;
  if (c->state != TX_IDLE || target_is_single_use (s, now))
    return true;
  if (!t || t->draining)
    return true;
  return target_at_conn_limit (s, now) ? age > IDLE_TIMEOUT_LIMITED_US
                                       : age > s->idle.timeout_us;
}

/* Whether a connection that a user waits for was not established in time; the
   user is told that it is lost. */
static bool
open_timed_out (const struct cfs_pooled_conn *c, int64_t now)
{
  return c->user && !c->established && now - c->changed_at > OPEN_TIMEOUT_US;
}

static struct cfs_pooled_conn *
find_closable (const struct cfs_pool *p, const struct target_state *s,
               int64_t now)
{
  for (struct cfs_pooled_conn *c = s->first_conn; c; c = c->next)
    if (is_expired (p, s, c, now) || open_timed_out (c, now))
      return c;
  return NULL;
}

/* The most recently used idle connection of a team, or if team is NULL the
   least recently used one of any team. */
static struct cfs_pooled_conn *
find_idle (const struct target_state *s, const char *team)
{
  struct cfs_pooled_conn *last = NULL;

  for (struct cfs_pooled_conn *c = s->first_conn; c; c = c->next)
    {
      if (!is_idle (c))
        continue;
      if (team && strcmp (c->team, team) == 0)
        return c;
      if (!team)
        last = c;
    }
  return last;
}

/* Closes the least recently used idle connections beyond the limit.  Not to be
   called while a reply is handled, which may stand in the buffer of one. */
static void
close_surplus (const struct target_state *s)
{
  size_t idle = 0;

  for (const struct cfs_pooled_conn *c = s->first_conn; c; c = c->next)
    idle += is_idle (c);
  for (; idle > s->idle.count; idle--)
    cfs_pool_close_conn (find_idle (s, NULL));
}

void
cfs_pool_tick (struct cfs_pool *p, int64_t now)
{
  for (size_t i = 0; i < p->states.count; i++)
    {
      struct cfs_pooled_conn *c;

      while ((c = find_closable (p, cfs_table_at (&p->states, i), now)))
        if (open_timed_out (c, now))
          {
            c->target_conn->ops->close (c->target_conn);
            on_lost (c, "timeout while connecting");
          }
        else
          cfs_pool_close_conn (c);
      close_surplus (cfs_table_at (&p->states, i));
    }
}

/* A connection to an instance that answers twice is not reused: the late reply
   to an earlier user's statement could still come. */
static struct cfs_pooled_conn *
find_reusable (const struct target_state *s, const char *team, int64_t now)
{
  return target_is_single_use (s, now) ? NULL : find_idle (s, team);
}

bool
target_has_idle (const struct target_state *s, const char *team, int64_t now)
{
  return find_reusable (s, team, now) != NULL;
}

static struct cfs_pooled_conn *
open_conn (struct cfs_pool *p, const struct cfs_target *t, const char *team)
{
  struct cfs_pooled_conn *c = cfs_alloc (sizeof *c);
  struct cfs_target_conn_setup setup = { .address = t->address,
                                         .service = t->service,
                                         .team = *team ? team : PUBLIC_TEAM,
                                         .target = t->id,
                                         .events = &target_conn_events,
                                         .owner = c };
  struct target_state *s = target_state_get (p, t->id);

  c->pool = p;
  cfs_copy (c->target, sizeof c->target, t->id);
  cfs_copy (c->team, sizeof c->team, team);
  c->target_conn = p->adapter->open (p->adapter, &setup);
  if (!c->target_conn)
    {
      free (c);
      target_note_failure (s, cfs_pool_now (p));
      return NULL;
    }
  c->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  c->prepared = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  c->next = s->first_conn;
  s->first_conn = c;
  s->conn_count++;
  s->opening++;
  count_in_flight (c, true);
  return c;
}

struct cfs_pooled_conn *
cfs_pool_acquire (struct cfs_pool *p, const char *target, const char *team,
                  const struct cfs_pooled_conn_events *events, void *user,
                  int64_t now, bool *opening)
{
  const struct cfs_target *t = cfs_fleet_target (p->fleet, target);
  struct target_state *s = target_state_get (p, target);
  struct cfs_pooled_conn *c = find_reusable (s, team, now);

  if (!t || !target_accepts_work (s, now))
    return NULL;
  cfs_capacity_declare (&s->capacity, t->slots);
  if (!c)
    {
      struct cfs_pooled_conn *lru = find_idle (s, NULL);

      if (now < s->down_until)
        return NULL;
      if (target_at_conn_limit (s, now) && lru)
        cfs_pool_close_conn (lru);
      c = open_conn (p, t, team);
    }
  else if (s->first_conn != c)
    {
      remove_conn (c);
      s->pending += c->pending;
      c->next = s->first_conn;
      s->first_conn = c;
      s->conn_count++;
    }
  if (!c)
    return NULL;
  c->events = events;
  c->user = user;
  c->changed_at = now;
  *opening = !c->established;
  return c;
}

void
cfs_pool_release (struct cfs_pooled_conn *c, int64_t now)
{
  struct cfs_pool *p = c->pool;
  struct target_state *s = state_of (c);
  const struct cfs_target *t = cfs_fleet_target (p->fleet, s->id);

  c->user = NULL;
  if (!c->established)
    {
      c->changed_at = now;
      return;
    }
  target_note_release (s, now);
  if (t)
    s->idle = target_idle_limit (p, s, t->service);
  c->changed_at = now;
}

const char *
cfs_pool_idle_team (const struct cfs_pool *p, const char *target)
{
  const struct target_state *s = cfs_table_find (&p->states, target);
  const struct cfs_pooled_conn *c = s ? find_idle (s, NULL) : NULL;

  return c ? c->team : NULL;
}

void
cfs_pooled_conn_send (struct cfs_pooled_conn *c,
                      const struct cfs_statement *statements, size_t count,
                      int64_t now)
{
  c->pending += (unsigned)count;
  state_of (c)->pending += (unsigned)count;
  count_in_flight (c, true);
  c->changed_at = now;
  c->target_conn->ops->send (c->target_conn, statements, count);
}

const char *
cfs_pooled_conn_target (const struct cfs_pooled_conn *c)
{
  return c->target;
}

unsigned
cfs_pooled_conn_pending (const struct cfs_pooled_conn *c)
{
  return c->pending;
}

GHashTable *
cfs_pooled_conn_values (struct cfs_pooled_conn *c)
{
  return c->values;
}

GHashTable *
cfs_pooled_conn_prepared (struct cfs_pooled_conn *c)
{
  return c->prepared;
}

void
cfs_pooled_conn_record_result (struct cfs_pooled_conn *c,
                               enum cfs_capacity_class class,
                               enum cfs_capacity_outcome outcome,
                               int64_t took_us)
{
  struct target_state *s = state_of (c);
  int64_t now = cfs_pool_now (c->pool);

  if (outcome == CAPACITY_OK)
    target_note_latency (s, took_us, now);
  target_note_result (c->pool, s, class, outcome, c->load, took_us, now);
}
