/*
 * Statements arrive at an instance after a delay and run at once; the answer
 * comes after another.  A wire that was closed loses what has not arrived,
 * except that with faults a write or commit may still be carried out.
 */
#include "sessions.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define STEP_US 1000
#define WIRE_QUEUE 16
#define MAX_AGE_US (400 * CFS_US_PER_MS)
#define TIMEOUT_US (300 * CFS_US_PER_MS)

struct ws_queued_statement
{
  enum cfs_verb verb;
  unsigned id;
  bool writes;
  struct cfs_position after;
  char name[40];
  char arg[40];
  int64_t arrives;
  int64_t answers;
  bool ran;
  bool lost;
  struct cfs_reply reply;
};

struct ws_conn
{
  struct cfs_target_conn base;
  struct world_sessions *world;
  struct ws_conn *next;
  struct ws_instance *at;
  const struct cfs_target_conn_events *events;
  void *owner;
  char team[CFS_NAME_MAX];
  bool open;
  bool dead;
  bool broken;
  int64_t opens_at;
  struct ws_queued_statement queue[WIRE_QUEUE];
  size_t count;
  enum cfs_tx_state state;
  bool read_tx;
  int tx_caller;
  unsigned tx_op;
  bool tx_wrote;
  char value[40];
  char shapes[16][64];
  size_t shape_count;
};

static struct world_sessions *the_world;

static int64_t
world_clock (void)
{
  return the_world->now;
}

static uint64_t
draw (struct world_sessions *w, uint64_t bound)
{
  return cfs_random (&w->seed) % bound;
}

static void
fault (struct world_sessions *w, const char *text)
{
  if (!w->fault)
    w->fault = text;
}

static struct ws_instance *
primary_of (struct world_sessions *w)
{
  for (unsigned i = 0; i < WS_INSTANCES; i++)
    if (w->instances[i].primary)
      return &w->instances[i];
  return NULL;
}

/* Replicas receive the history of the primary with their lag. */
static void
replicate (struct world_sessions *w)
{
  const struct ws_instance *p = primary_of (w);

  for (unsigned i = 0; p && i < WS_INSTANCES; i++)
    {
      struct ws_instance *r = &w->instances[i];

      if (r->primary || !r->alive || !p->alive || w->now < r->deaf_until)
        continue;
      if (r->received >= w->term_start)
        r->term = p->term;
      if (r->received < w->length
          && w->now - w->history[r->received].acked_at >= r->lag_us)
        r->received++;
    }
}

/* The primary acknowledges once one replica has the commit. */
static bool
commit (struct world_sessions *w, struct ws_instance *p, unsigned id,
        unsigned op)
{
  struct ws_instance *best = NULL;

  for (unsigned i = 0; i < WS_INSTANCES; i++)
    if (!w->instances[i].primary && w->instances[i].alive
        && w->now >= w->instances[i].deaf_until
        && (!best || w->instances[i].received > best->received))
      best = &w->instances[i];
  if (!best || w->length == WS_COMMITS)
    return false;
  w->history[w->length].id = id;
  w->history[w->length].acked_at = w->now;
  w->length++;
  p->received = w->length;
  best->received = w->length;
  w->ops[op].effects++;
  w->ops[op].number = w->length;
  if (w->ops[op].effects > 1)
    fault (w, "a write took effect twice");
  if (w->ops[op].reported_not_applied)
    fault (w, "a write took effect after a promise");
  return true;
}

void
ws_change_primary (struct world_sessions *w)
{
  struct ws_instance *old = primary_of (w);
  struct ws_instance *best = NULL;

  for (unsigned i = 0; i < WS_INSTANCES; i++)
    if (!w->instances[i].primary && w->instances[i].alive
        && (!best || w->instances[i].received > best->received))
      best = &w->instances[i];
  if (!best || !old)
    return;
  old->primary = false;
  old->deaf_until = w->now + (int64_t)draw (w, 600) * CFS_US_PER_MS;
  best->primary = true;
  best->term = old->term + 1;
  w->term_start = best->received;
  if (w->length > best->received)
    fault (w, "the world lost an acknowledged commit");
  w->told_at = w->now + (int64_t)draw (w, 200) * CFS_US_PER_MS;
  for (struct ws_conn *k = w->wires; k; k = k->next)
    if (k->at == old && !k->read_tx && k->state != TX_IDLE)
      k->state = TX_FAILED;
}

static void
tell_fleet (struct world_sessions *w)
{
  const struct ws_instance *p = primary_of (w);
  struct cfs_failover *turn;

  if (!w->told_at || w->now < w->told_at || !p)
    return;
  w->told_at = 0;
  turn = cfs_table_add (&w->fleet.failovers, "db");
  turn->open = false;
  turn->fence++;
  turn->changed = 1000 + turn->fence;
  cfs_copy (turn->target, sizeof turn->target, p->name);
}

static struct cfs_position
position_of (const struct ws_instance *i)
{
  struct cfs_position p = { i->term, i->received + 1 };

  return p;
}

/* Whether a read at this point sees all that it must. */
static void
check_fresh (struct world_sessions *w, const struct ws_conn *k,
             const struct ws_caller *c)
{
  const struct cfs_route *route = &w->fleet.catalog->routes[0];
  int64_t bound = c->began_at;

  if (route->consistency != CONSISTENCY_LATEST)
    bound -= route->max_age_us;
  for (uint64_t n = k->at->received; n < w->length; n++)
    {
      const struct ws_commit *h = &w->history[n];

      if (h->acked_at < bound)
        fault (w, "a read was stale");
      if (route->consistency == CONSISTENCY_OWN
          && w->ids[h->id].caller == c->index
          && w->ops[w->ids[h->id].op].succeeded && n < c->own)
        fault (w, "a session did not see its own commit");
    }
}

static bool
has_shape (const struct ws_conn *k, const char *name, const char *shape)
{
  char want[64];

  snprintf (want, sizeof want, "%s=%s", name, shape);
  for (size_t i = 0; i < k->shape_count; i++)
    if (strcmp (k->shapes[i], want) == 0)
      return true;
  return false;
}

/* What must hold for each statement of a caller that runs. */
static void
check_run (struct world_sessions *w, struct ws_conn *k,
           struct ws_queued_statement *s)
{
  struct ws_statement_info *id = &w->ids[s->id];
  struct ws_caller *c = &w->callers[id->caller];
  char team[16];

  snprintf (team, sizeof team, "team%u", id->caller % 2);
  if (strcmp (team, k->team) != 0)
    fault (w, "a statement ran for another team");
  if (c->id != s->id)
    return;
  if (k->state == TX_OPEN && k->tx_caller >= 0
      && k->tx_caller != (int)id->caller)
    fault (w, "a statement ran in another caller's transaction");
  if (c->in_tx && k->state != TX_OPEN)
    fault (w, "a statement ran outside its transaction");
  if (strcmp (c->value, k->value) != 0)
    fault (w, "a statement ran with other values");
  if (s->verb == VERB_EXECUTE && !has_shape (k, s->name, c->shape))
    fault (w, "a prepared name stood for another shape");
  k->tx_caller = (int)id->caller;
}

static enum cfs_reply_code
run_work (struct world_sessions *w, struct ws_conn *k,
          struct ws_queued_statement *s)
{
  struct ws_statement_info *id = &w->ids[s->id];
  struct ws_caller *c = &w->callers[id->caller];
  bool writes
      = s->verb == VERB_WRITE || (s->verb == VERB_EXECUTE && s->writes);

  if (k->state == TX_FAILED)
    return REPLY_NOT_PRIMARY;
  if (s->after.term)
    {
      struct cfs_position have = position_of (k->at);

      if (cfs_position_compare (&have, &s->after) < 0)
        return REPLY_BEHIND;
    }
  if (writes && (!k->at->primary || (k->state == TX_OPEN && k->read_tx)))
    return REPLY_NOT_PRIMARY;
  check_run (w, k, s);
  if (!writes)
    check_fresh (w, k, c);
  if (++id->runs > 1 && writes && k->state == TX_IDLE)
    fault (w, "a single write ran twice");
  if (writes && k->state == TX_OPEN)
    k->tx_wrote = true;
  else if (writes && !commit (w, k->at, s->id, id->op))
    return REPLY_FAILED;
  k->tx_op = id->op;
  return REPLY_OK;
}

static enum cfs_reply_code
run_commit (struct world_sessions *w, struct ws_conn *k,
            struct ws_queued_statement *s)
{
  struct ws_statement_info *id = &w->ids[s->id];
  enum cfs_reply_code code = REPLY_OK;

  if (!w->ops[id->op].commit_asked)
    fault (w, "a commit ran that nobody asked for");
  if (k->state != TX_OPEN)
    code = REPLY_NOT_PRIMARY;
  else if (k->tx_wrote && k->tx_op != id->op)
    fault (w, "a commit ended another transaction");
  else if (k->tx_wrote && !commit (w, k->at, s->id, id->op))
    code = REPLY_FAILED;
  k->state = TX_IDLE;
  return code;
}

static enum cfs_reply_code
run_begin (struct ws_conn *k, const struct ws_queued_statement *s)
{
  struct cfs_position have = position_of (k->at);

  if (s->verb == VERB_BEGIN && !k->at->primary)
    return REPLY_NOT_PRIMARY;
  if (s->after.term && cfs_position_compare (&have, &s->after) < 0)
    return REPLY_BEHIND;
  k->state = TX_OPEN;
  k->read_tx = s->verb == VERB_BEGIN_READ;
  k->tx_caller = -1;
  k->tx_wrote = false;
  return REPLY_OK;
}

static void
run_statement (struct world_sessions *w, struct ws_conn *k,
               struct ws_queued_statement *s)
{
  enum cfs_reply_code code = REPLY_OK;

  s->ran = true;
  switch (s->verb)
    {
    case VERB_BEGIN:
    case VERB_BEGIN_READ:
      code = run_begin (k, s);
      break;
    case VERB_ROLLBACK:
      k->state = TX_IDLE;
      break;
    case VERB_COMMIT:
      code = run_commit (w, k, s);
      break;
    case VERB_RESET:
      k->value[0] = '\0';
      k->shape_count = 0;
      break;
    case VERB_SET:
      cfs_copy (k->value, sizeof k->value, s->arg);
      break;
    case VERB_PREPARE:
      snprintf (k->shapes[k->shape_count++ % 16], 64, "%.23s=%.39s", s->name,
                s->arg);
      break;
    default:
      code = w->faults && draw (w, 20) == 0 ? REPLY_BUSY : run_work (w, k, s);
      break;
    }
  memset (&s->reply, 0, sizeof s->reply);
  s->reply.code = code;
  s->reply.state = k->state;
  s->reply.position = position_of (k->at);
  s->reply.rows = "";
  if (s->id && code == REPLY_OK)
    s->reply.proof = "proof";
}

static void
wire_send (struct cfs_target_conn *base, const struct cfs_statement *st,
           size_t count)
{
  struct ws_conn *k = (struct ws_conn *)base;
  struct world_sessions *w = k->world;
  int64_t at = w->now + 500 + (int64_t)draw (w, 2000);

  for (size_t i = 0; i < count && k->count < WIRE_QUEUE; i++)
    {
      struct ws_queued_statement *s = &k->queue[k->count++];

      if (k->count > 1 && k->queue[k->count - 2].arrives > at)
        at = k->queue[k->count - 2].arrives;
      memset (s, 0, sizeof *s);
      s->verb = st[i].verb;
      s->id = st[i].id ? (unsigned)strtoul (st[i].id, NULL, 10) : 0;
      s->after = st[i].after;
      cfs_copy (s->name, sizeof s->name, st[i].name);
      cfs_copy (s->arg, sizeof s->arg, st[i].arg);
      s->writes = s->id && w->callers[w->ids[s->id].caller].prepared_writes;
      s->arrives = at;
      s->answers = at + 1000 + (int64_t)draw (w, 8000);
      s->lost = w->faults && draw (w, 60) == 0;
    }
}

static void
wire_close (struct cfs_target_conn *base)
{
  struct ws_conn *k = (struct ws_conn *)base;

  k->dead = true;
}

static const struct cfs_target_conn_ops wire_ops = { wire_send, wire_close };

static struct cfs_target_conn *
open_wire (const struct cfs_target_adapter *edge,
           const struct cfs_target_conn_setup *setup)
{
  struct world_sessions *w = the_world;
  struct ws_conn *k = cfs_alloc (sizeof *k);

  (void)edge;
  k->base.ops = &wire_ops;
  k->world = w;
  for (unsigned i = 0; i < WS_INSTANCES; i++)
    if (strcmp (w->instances[i].name, setup->target) == 0)
      k->at = &w->instances[i];
  k->events = setup->events;
  k->owner = setup->owner;
  cfs_copy (k->team, sizeof k->team, setup->team);
  k->opens_at = w->now + 1000;
  k->tx_caller = -1;
  k->next = w->wires;
  w->wires = k;
  return &k->base;
}

static void
lose_wire (struct ws_conn *k)
{
  k->dead = true;
  k->events->lost (k->owner, "scripted");
}

/* Orders that were on their way when the wire was closed. */
static void
finish_dead (struct world_sessions *w, struct ws_conn *k)
{
  for (size_t i = 0; i < k->count; i++)
    {
      struct ws_queued_statement *s = &k->queue[i];

      if (!s->ran && s->id && w->faults && draw (w, 3) == 0
          && w->now >= s->arrives
          && (s->verb == VERB_COMMIT || k->state == TX_IDLE))
        run_statement (w, k, s);
    }
}

static void
step_wire (struct world_sessions *w, struct ws_conn *k)
{
  if (!k->at->alive)
    {
      if (w->now - k->opens_at > 20 * CFS_US_PER_MS)
        lose_wire (k);
      return;
    }
  if (!k->open && w->now >= k->opens_at)
    {
      struct cfs_reply hello = { .position = position_of (k->at) };

      k->open = true;
      k->events->opened (k->owner, &hello);
    }
  for (size_t i = 0; i < k->count && !k->dead; i++)
    if (!k->queue[i].ran && w->now >= k->queue[i].arrives)
      run_statement (w, k, &k->queue[i]);
  while (!k->dead && k->count && k->queue[0].ran
         && w->now >= k->queue[0].answers)
    {
      struct ws_queued_statement s = k->queue[0];

      if (s.lost)
        {
          lose_wire (k);
          return;
        }
      k->count--;
      memmove (k->queue, k->queue + 1, k->count * sizeof k->queue[0]);
      k->events->replied (k->owner, &s.reply);
    }
}

static void
sweep_wires (struct world_sessions *w)
{
  struct ws_conn **at = &w->wires;

  while (*at)
    {
      struct ws_conn *k = *at;

      if (!k->dead)
        {
          at = &k->next;
          continue;
        }
      finish_dead (w, k);
      *at = k->next;
      free (k);
    }
}

static bool
is_promise (enum cfs_reply_code code)
{
  return code == REPLY_BUSY || code == REPLY_BEHIND
         || code == REPLY_NOT_PRIMARY || code == REPLY_ABORTED
         || code == REPLY_UNPREPARED || code == REPLY_NO_KEY
         || code == REPLY_NO_DATABASE;
}

static void
caller_reply (struct cfs_caller *base, const struct cfs_reply *r)
{
  struct ws_caller *c = (struct ws_caller *)base;
  struct world_sessions *w = c->world;
  struct ws_op *op = &w->ops[c->op];

  c->waiting = false;
  c->next_at = w->now + (int64_t)draw (w, 30) * CFS_US_PER_MS;
  if (r->code == REPLY_OK)
    {
      bool work = c->verb == VERB_READ || c->verb == VERB_WRITE
                  || c->verb == VERB_EXECUTE || c->verb == VERB_COMMIT;

      if (work && !r->proof)
        fault (w, "a success without proof");
      w->served += work;
    }
  if (is_promise (r->code))
    {
      op->reported_not_applied = true;
      if (op->effects)
        fault (w, "a promise after a write took effect");
    }
  if (r->code == REPLY_OK
      && (c->verb == VERB_COMMIT || (!c->in_tx && c->verb == VERB_WRITE)))
    {
      op->succeeded = true;
      if (c->verb == VERB_WRITE && !op->effects)
        fault (w, "a success without an effect");
      if (op->effects)
        c->own = op->number;
    }
  if (getenv ("TRACE"))
    printf ("%lld ms caller %u id %u verb %d code %s %s\n",
            (long long)(w->now / CFS_US_PER_MS), c->index, c->id, (int)c->verb,
            cfs_reply_name (r->code), r->text ? r->text : "");
  c->in_tx = r->state == TX_OPEN;
  if (r->state == TX_FAILED)
    c->left = 0;
}

static void
caller_close (struct cfs_caller *base)
{
  struct ws_caller *c = (struct ws_caller *)base;

  c->session = NULL;
  c->in_tx = false;
  c->waiting = false;
}

static void
caller_admitted (struct cfs_caller *base, enum cfs_reply_code code)
{
  (void)code;
  fault (((struct ws_caller *)base)->world, "a session had to wait");
}

static const struct cfs_caller_ops caller_ops
    = { caller_admitted, caller_reply, caller_close };

static void
open_session (struct ws_caller *c)
{
  struct world_sessions *w = c->world;
  char key[16];
  enum cfs_reply_code code;

  snprintf (key, sizeof key, "key%u", c->index % 2);
  c->session = cfs_session_open (w->sessions, &c->base, "data", key, &code);
  c->in_tx = false;
  c->left = 0;
  c->value[0] = '\0';
  c->shape[0] = '\0';
  c->own = 0;
}

static void
send (struct ws_caller *c, enum cfs_verb verb, const char *name,
      const char *arg, bool writes)
{
  struct world_sessions *w = c->world;
  struct cfs_statement s
      = { .verb = verb, .name = name, .arg = arg, .writes = writes };
  char id[16];

  if (!c->in_tx || verb == VERB_BEGIN || verb == VERB_BEGIN_READ)
    c->began_at = w->now;
  if (!c->in_tx)
    c->op = ++w->op_count;
  c->id = ++w->id_count;
  w->ids[c->id].caller = c->index;
  w->ids[c->id].op = c->op;
  snprintf (id, sizeof id, "%u", c->id);
  s.id = id;
  c->verb = verb;
  c->waiting = true;
  if (verb == VERB_COMMIT)
    w->ops[c->op].commit_asked = true;
  cfs_session_statement (c->session, &s);
}

static void
send_setting (struct ws_caller *c)
{
  struct world_sessions *w = c->world;

  if (draw (w, 2))
    {
      snprintf (c->value, sizeof c->value, "v%u", (unsigned)draw (w, 4));
      send (c, VERB_SET, "name", c->value, false);
      return;
    }
  snprintf (c->shape, sizeof c->shape, "q%u", (unsigned)draw (w, 3));
  c->prepared_writes = false;
  send (c, VERB_PREPARE, "p", c->shape, false);
}

static void
send_next (struct ws_caller *c)
{
  struct world_sessions *w = c->world;
  uint64_t what = draw (w, 10);

  if (cfs_session_state (c->session) == TX_FAILED)
    send (c, VERB_ROLLBACK, NULL, NULL, false);
  else if (c->in_tx && c->left == 0)
    send (c, draw (w, 4) ? VERB_COMMIT : VERB_ROLLBACK, NULL, NULL, false);
  else if (!c->in_tx && what == 0)
    {
      c->left = 1 + (unsigned)draw (w, 4);
      c->reads_only = draw (w, 3) == 0;
      send (c, c->reads_only ? VERB_BEGIN_READ : VERB_BEGIN, NULL, NULL,
            false);
    }
  else if (!c->in_tx && what == 1)
    send_setting (c);
  else
    {
      bool reads_only = c->in_tx && c->reads_only;

      c->left -= c->left > 0;
      if (what < 5 || reads_only)
        send (c, VERB_READ, NULL, "item", false);
      else if (what < 7 && *c->shape)
        send (c, VERB_EXECUTE, "p", "item", false);
      else
        send (c, VERB_WRITE, NULL, "item data", true);
    }
}

static void
step_caller (struct ws_caller *c)
{
  struct world_sessions *w = c->world;

  if (w->now < c->next_at || w->id_count > WS_STATEMENTS_MAX - 16)
    return;
  if (c->session && w->faults && draw (w, 400) == 0)
    {
      cfs_session_close (c->session);
      caller_close (&c->base);
      c->id = 0;
      c->next_at = w->now + 20 * CFS_US_PER_MS;
    }
  else if (!c->session)
    open_session (c);
  else if (!c->waiting)
    send_next (c);
}

/* Another host's caller commits at the primary. */
static void
commit_elsewhere (struct world_sessions *w)
{
  struct ws_instance *p = primary_of (w);

  if (p && draw (w, 15) == 0)
    {
      w->ops[0].effects = 0;
      w->ids[0].caller = WS_CALLERS;
      commit (w, p, 0, 0);
    }
}

static void
draw_fault (struct world_sessions *w)
{
  struct ws_instance *i = &w->instances[draw (w, WS_INSTANCES)];

  switch (draw (w, 2000))
    {
    case 0:
      ws_change_primary (w);
      break;
    case 1:
      if (!i->primary)
        i->lag_us = (int64_t)draw (w, 600) * CFS_US_PER_MS;
      break;
    case 2:
      for (struct ws_conn *k = w->wires; k; k = k->next)
        if (!k->dead && draw (w, 4) == 0)
          lose_wire (k);
      break;
    default:
      break;
    }
}

static void
step (struct world_sessions *w)
{
  w->now += STEP_US;
  replicate (w);
  tell_fleet (w);
  w->fleet.lease_until = w->now + CFS_US_PER_S;
  cfs_quota_renew (&w->quota, w->now + CFS_US_PER_S);
  for (struct ws_conn *k = w->wires; k; k = k->next)
    if (!k->dead)
      step_wire (w, k);
  sweep_wires (w);
  cfs_pool_tick (w->pool, w->now);
  cfs_sessions_tick (w->sessions, w->now);
  for (unsigned i = 0; i < WS_CALLERS; i++)
    step_caller (&w->callers[i]);
  if (w->faults)
    {
      commit_elsewhere (w);
      draw_fault (w);
    }
}

void
ws_run (struct world_sessions *w, int64_t us)
{
  int64_t until = w->now + us;

  the_world = w;
  while (w->now < until && !w->fault)
    step (w);
}

static void
make_catalog (struct world_sessions *w, enum cfs_consistency kind)
{
  struct cfs_catalog *c = cfs_catalog_new (1);

  cfs_grow (&c->services, &c->service_cap, 0, sizeof *c->services);
  cfs_copy (c->services[0].name, CFS_NAME_MAX, "db");
  c->services[0].max_connections = 30;
  c->service_count = 1;
  cfs_grow (&c->routes, &c->route_cap, 0, sizeof *c->routes);
  memset (&c->routes[0], 0, sizeof c->routes[0]);
  cfs_copy (c->routes[0].database, CATALOG_NAME_MAX, "data");
  c->routes[0].consistency = kind;
  c->routes[0].max_age_us = MAX_AGE_US;
  c->routes[0].timeout_us = TIMEOUT_US;
  c->routes[0].max_attempts = 2;
  c->route_count = 1;
  for (unsigned i = 0; i < 2; i++)
    {
      cfs_grow (&c->teams, &c->team_cap, i, sizeof *c->teams);
      snprintf (c->teams[i].name, CFS_NAME_MAX, "team%u", i);
      c->teams[i].rate = c->teams[i].burst = 100000;
      cfs_grow (&c->api_keys, &c->api_key_cap, i, sizeof *c->api_keys);
      snprintf (c->api_keys[i].key, CATALOG_NAME_MAX, "key%u", i);
      c->api_keys[i].team = i;
    }
  c->team_count = c->api_key_count = 2;
  c->transaction_idle_us = 10 * CFS_US_PER_S;
  cfs_catalog_seal (c);
  w->fleet.catalog = c;
}

static void
give_shares (struct world_sessions *w)
{
  Cfs__TeamShare rows[2];
  Cfs__TeamShare *list[2];

  for (unsigned i = 0; i < 2; i++)
    {
      cfs__team_share__init (&rows[i]);
      rows[i].team = w->fleet.catalog->teams[i].name;
      rows[i].share = 10000;
      list[i] = &rows[i];
    }
  cfs_quota_update (&w->quota, list, 2, w->fleet.catalog,
                    w->now + CFS_US_PER_S, w->now);
}

static void
add_instance (struct world_sessions *w, unsigned i)
{
  struct ws_instance *in = &w->instances[i];
  struct cfs_target *t;

  snprintf (in->name, sizeof in->name, "t%u", i + 1);
  in->primary = i == 0;
  in->alive = true;
  in->term = 1;
  in->lag_us = 10 * CFS_US_PER_MS;
  t = cfs_table_add (&w->fleet.targets, in->name);
  cfs_copy (t->service, sizeof t->service, "db");
  cfs_copy (t->zone, sizeof t->zone, i ? "far" : "near");
  t->slots = 4;
  t->primary = in->primary;
  t->changed = i + 1;
  t->claimed = in->primary ? i + 1 : 0;
}

struct world_sessions *
ws_new (uint64_t seed, enum cfs_consistency kind, bool faults)
{
  struct world_sessions *w = cfs_alloc (sizeof *w);
  struct cfs_sessions_setup setup = { .fleet = &w->fleet, .quota = &w->quota };

  the_world = w;
  w->seed = seed * UINT64_C (0x9E3779B97F4A7C15) + 1;
  w->now = CFS_US_PER_S;
  w->faults = faults;
  cfs_copy (w->settings.zone, sizeof w->settings.zone, "near");
  cfs_fleet_init (&w->fleet, &w->settings, NULL);
  cfs_quota_init (&w->quota, w->now);
  make_catalog (w, kind);
  give_shares (w);
  for (unsigned i = 0; i < WS_INSTANCES; i++)
    add_instance (w, i);
  w->edge.open = open_wire;
  w->pool = cfs_pool_new (&w->edge, &w->fleet, world_clock, w->seed | 1);
  setup.pool = w->pool;
  w->sessions = cfs_sessions_new (&setup);
  for (unsigned i = 0; i < WS_CALLERS; i++)
    {
      w->callers[i].base.ops = &caller_ops;
      w->callers[i].world = w;
      w->callers[i].index = i;
    }
  return w;
}

const char *
ws_check_end (struct world_sessions *w)
{
  if (w->fault)
    return w->fault;
  if (w->served < 50)
    return "hardly anything was served";
  for (unsigned i = 1; i <= w->op_count; i++)
    if (w->ops[i].reported_not_applied && w->ops[i].effects)
      return "a promise was not kept";
  return NULL;
}

void
ws_free (struct world_sessions *w)
{
  the_world = w;
  for (unsigned i = 0; i < WS_CALLERS; i++)
    if (w->callers[i].session)
      cfs_session_close (w->callers[i].session);
  cfs_sessions_free (w->sessions);
  cfs_pool_free (w->pool);
  sweep_wires (w);
  cfs_quota_end (&w->quota);
  cfs_fleet_end (&w->fleet);
  free (w);
}
