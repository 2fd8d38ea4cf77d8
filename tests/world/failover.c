/*
 * A question takes a random time both ways.  An order is answered and takes
 * effect 300 ms later, or has no answer and is carried out seconds later if
 * its token is still the highest.
 */
#include "failover.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INSTANCES 3
#define SERVICE "db"
#define STEP_US (10 * CFS_US_PER_MS)
#define PROMOTE_US (300 * CFS_US_PER_MS)
#define FAULTS_US (25 * CFS_US_PER_S)
#define CALM_US (14 * CFS_US_PER_S)
#define ORDERS_MAX 64
#define PROPOSALS_MAX 64

struct instance
{
  char name[16];
  bool alive;
  bool primary;
  bool cut;
  bool suspect;
  bool deaf;
  bool paused;
  unsigned boot;
  uint64_t term;
  uint64_t received;
};

/* A connection of the leader to an instance. */
struct fake_wire
{
  struct cfs_target_conn base;
  struct fake_wire *next;
  struct instance *at;
  unsigned boot;
  const struct cfs_target_conn_events *events;
  void *owner;
  bool dead;
  bool open;
  int64_t due;
  bool asked;
  struct cfs_statement question;
  struct cfs_reply reply;
  char row[96];
  enum cfs_tx_state state;
};

struct order
{
  bool pending;
  unsigned target;
  uint64_t fence;
  int64_t at;
  bool answered;
};

struct proposal
{
  bool pending;
  Cfs__Turn turn;
  char service[8];
  char target[8];
  uint64_t index;
  int64_t at;
};

struct world
{
  int64_t now;
  uint64_t seed;
  bool faults;
  struct cfs_state state;
  struct cfs_target_adapter edge;
  struct cfs_failover_manager *failover;
  struct fake_wire *wires;
  struct instance instances[INSTANCES];
  struct order orders[ORDERS_MAX];
  struct proposal proposals[PROPOSALS_MAX];
  uint64_t index;
  uint64_t committed;
  uint64_t acked;
  uint64_t fence;
  uint64_t term;
  int promoting;
  int64_t promote_at;
  unsigned changes;
  const char *fault;
};

static struct world *world;

static int64_t
world_clock (void)
{
  return world->now;
}

static uint64_t
draw (uint64_t bound)
{
  return cfs_random (&world->seed) % bound;
}

static int
primary_index (void)
{
  for (int i = 0; i < INSTANCES; i++)
    if (world->instances[i].primary)
      return i;
  return -1;
}

static void
run_question (struct fake_wire *k)
{
  struct instance *in = k->at;
  struct cfs_reply *r = &k->reply;

  memset (r, 0, sizeof *r);
  r->rows = k->row;
  if (k->question.verb == VERB_BEGIN)
    {
      r->code = in->primary ? REPLY_OK : REPLY_NOT_PRIMARY;
      k->state = in->primary ? TX_OPEN : TX_IDLE;
    }
  else if (k->question.verb == VERB_ROLLBACK)
    k->state = TX_IDLE;
  else if (k->question.verb == VERB_PAUSE)
    {
      if (k->question.term <= in->term)
        r->code = REPLY_MALFORMED;
      else
        in->paused = !in->primary;
    }
  else if (k->question.verb == VERB_DEMOTE)
    in->primary = in->primary && k->question.term <= in->term;
  else if (k->question.verb == VERB_RESUME)
    in->paused = false;
  cfs_copy (k->row, sizeof k->row, in->primary ? "primary" : "replica");
  r->state = k->state;
  r->position.term = in->term;
  r->position.number = in->received;
  r->row_count = 1;
}

static bool
read_status (const struct cfs_reply *reply, struct cfs_instance_state *out)
{
  if (reply->code != REPLY_OK)
    return false;
  memset (out, 0, sizeof *out);
  out->term = reply->position.term;
  out->primary = strcmp (reply->rows, "primary") == 0;
  out->received = reply->position;
  return true;
}

static void
wire_send (struct cfs_target_conn *base, const struct cfs_statement *s,
           size_t count)
{
  struct fake_wire *k = (struct fake_wire *)base;

  if (count != 1)
    world->fault = "more than one question at a time";
  k->question = *s;
  k->asked = true;
  k->due = world->now + (int64_t)draw (60) * CFS_US_PER_MS;
}

/* What was sent before the end still arrives. */
static void
wire_close (struct cfs_target_conn *base)
{
  struct fake_wire *k = (struct fake_wire *)base;

  if (k->asked && k->at->alive && !k->at->cut && k->boot == k->at->boot)
    run_question (k);
  k->dead = true;
}

static const struct cfs_target_conn_ops wire_ops = { wire_send, wire_close };

static struct cfs_target_conn *
wire_open (const struct cfs_target_adapter *edge,
           const struct cfs_target_conn_setup *setup)
{
  struct fake_wire *k = cfs_alloc (sizeof *k);

  (void)edge;
  k->base.ops = &wire_ops;
  for (int i = 0; i < INSTANCES; i++)
    if (strcmp (world->instances[i].name, setup->target) == 0)
      k->at = &world->instances[i];
  k->boot = k->at->boot;
  k->events = setup->events;
  k->owner = setup->owner;
  k->due = world->now + 20 * CFS_US_PER_MS;
  k->next = world->wires;
  world->wires = k;
  return &k->base;
}

static void
step_wire (struct fake_wire *k)
{
  if (k->dead || k->at->cut || world->now < k->due)
    return;
  if (!k->at->alive || k->boot != k->at->boot)
    {
      k->dead = true;
      k->events->lost (k->owner, "scripted");
    }
  else if (!k->open)
    {
      struct cfs_reply hello = { .code = REPLY_OK };

      hello.position.term = k->at->term;
      hello.position.number = k->at->received;
      k->open = true;
      k->events->opened (k->owner, &hello);
    }
  else if (k->asked)
    {
      k->asked = false;
      run_question (k);
      k->events->replied (k->owner, &k->reply);
    }
}

static void
sweep_wires (void)
{
  struct fake_wire **at = &world->wires;

  while (*at)
    {
      struct fake_wire *k = *at;

      if (!k->dead)
        {
          at = &k->next;
          continue;
        }
      *at = k->next;
      free (k);
    }
}

static uint64_t
propose (void *ctx, const Cfs__Turn *turn)
{
  (void)ctx;
  for (int i = 0; i < PROPOSALS_MAX; i++)
    {
      struct proposal *p = &world->proposals[i];

      if (p->pending)
        continue;
      p->pending = true;
      p->turn = *turn;
      cfs_copy (p->service, sizeof p->service, turn->service);
      cfs_copy (p->target, sizeof p->target, turn->target);
      p->turn.service = p->service;
      p->turn.target = p->target;
      p->index = ++world->index;
      p->at = world->now + (int64_t)draw (80) * CFS_US_PER_MS;
      return p->index;
    }
  return 0;
}

static void
order (void *ctx, const char *service, const char *target, uint64_t fence)
{
  (void)ctx;
  if (strcmp (service, SERVICE) != 0)
    world->fault = "an order for another service";
  for (int i = 0; i < ORDERS_MAX; i++)
    {
      struct order *o = &world->orders[i];

      if (o->pending)
        continue;
      memset (o, 0, sizeof *o);
      o->pending = true;
      o->target = (unsigned)(target[1] - '1');
      o->fence = fence;
      o->at = world->now + (int64_t)draw (80) * CFS_US_PER_MS;
      if (world->faults && draw (3) == 0)
        {
          o->answered = true;
          o->at = world->now + 2 * CFS_US_PER_S
                  + (int64_t)draw (8000) * CFS_US_PER_MS;
          cfs_failover_promotion_result (world->failover, service, fence,
                                         PROMOTION_UNKNOWN);
        }
      return;
    }
}

static size_t
suspected (void *ctx, const char *target, size_t *hosts)
{
  const struct instance *in = &world->instances[target[1] - '1'];

  (void)ctx;
  *hosts = 4;
  return !in->alive || in->cut || in->suspect ? 3 : 0;
}

static const struct cfs_failover_ops ops = { propose, order, suspected };

static void
take_lead (int i)
{
  struct instance *in = &world->instances[i];
  int old = primary_index ();

  if (!in->alive)
    return;
  if (in->received < world->acked)
    world->fault = "an acknowledged commit is missing at the new primary";
  if (old >= 0)
    world->instances[old].primary = false;
  in->primary = true;
  in->paused = false;
  in->term = ++world->term;
  world->changes++;
  for (int k = 0; k < INSTANCES; k++)
    {
      if (world->instances[k].received > in->received)
        world->instances[k].received = in->received;
      world->instances[k].paused = false;
    }
  world->acked = in->received < world->acked ? in->received : world->acked;
}

static void
step_order (struct order *o)
{
  enum cfs_promotion_result result = PROMOTION_ACCEPTED;

  if (!o->pending || world->now < o->at)
    return;
  o->pending = false;
  if (o->fence < world->fence || !world->instances[o->target].alive)
    result = PROMOTION_REJECTED;
  else
    {
      world->fence = o->fence;
      if (primary_index () != (int)o->target)
        {
          world->promoting = (int)o->target;
          world->promote_at = world->now + PROMOTE_US;
        }
    }
  if (!o->answered)
    cfs_failover_promotion_result (world->failover, SERVICE, o->fence, result);
}

static void
step_proposal (struct proposal *p)
{
  if (!p->pending || world->now < p->at || p->index != world->committed + 1)
    return;
  p->pending = false;
  world->committed = p->index;
  cfs_failovers_apply (&world->state.failovers, &p->turn, p->index);
}

/* The primary writes, replicas receive, one replica is enough for an
   acknowledgement. */
static void
step_log (void)
{
  int p = primary_index ();

  if (p < 0 || !world->instances[p].alive)
    return;
  world->instances[p].received++;
  for (int i = 0; i < INSTANCES; i++)
    {
      struct instance *in = &world->instances[i];

      if (i == p || !in->alive || in->paused || in->deaf
          || world->instances[p].deaf || draw (3) == 0)
        continue;
      in->received = world->instances[p].received;
      in->term = world->instances[p].term;
      if (in->received > world->acked)
        world->acked = in->received;
    }
}

static void
start_leader (void)
{
  world->failover = cfs_failover_new (&ops, NULL, &world->edge, &world->state,
                                      world_clock);
}

static void
change_leader (void)
{
  cfs_failover_free (world->failover);
  start_leader ();
}

static unsigned
count_alive (void)
{
  unsigned alive = 0;

  for (int i = 0; i < INSTANCES; i++)
    alive += world->instances[i].alive;
  return alive;
}

static void
draw_fault (void)
{
  struct instance *in = &world->instances[draw (INSTANCES)];

  switch (draw (500))
    {
    case 0:
    case 1:
      if (count_alive () == INSTANCES)
        {
          in->alive = false;
          in->paused = false;
          in->boot++;
        }
      break;
    case 2:
    case 3:
    case 4:
    case 5:
      in->alive = true;
      break;
    case 6:
      in->cut = !in->cut;
      break;
    case 7:
      in->deaf = !in->deaf;
      break;
    case 8:
      change_leader ();
      break;
    default:
      break;
    }
}

static void
heal (void)
{
  world->faults = false;
  for (int i = 0; i < INSTANCES; i++)
    {
      world->instances[i].alive = true;
      world->instances[i].cut = false;
      world->instances[i].deaf = false;
    }
}

static void
step (void)
{
  world->now += STEP_US;
  for (int i = 0; i < PROPOSALS_MAX; i++)
    for (int k = 0; k < PROPOSALS_MAX; k++)
      step_proposal (&world->proposals[k]);
  for (int i = 0; i < ORDERS_MAX; i++)
    step_order (&world->orders[i]);
  if (world->promoting >= 0 && world->now >= world->promote_at)
    {
      take_lead (world->promoting);
      world->promoting = -1;
    }
  step_log ();
  for (struct fake_wire *k = world->wires; k; k = k->next)
    step_wire (k);
  sweep_wires ();
  cfs_failover_tick (world->failover, true, world->committed, world->now);
  sweep_wires ();
  if (world->faults)
    draw_fault ();
}

static void
add_instance (int i)
{
  struct instance *in = &world->instances[i];
  Cfs__Target t = CFS__TARGET__INIT;
  char address[24];

  snprintf (in->name, sizeof in->name, "t%d", i + 1);
  snprintf (address, sizeof address, "10.0.0.%d:1", i + 1);
  in->alive = true;
  in->primary = i == 0;
  in->term = 1;
  t.id = in->name;
  t.service = (char *)SERVICE;
  t.address = address;
  t.zone = (char *)"z";
  t.slots = 4;
  t.primary = in->primary;
  t.born = 1;
  t.sequence = 1;
  cfs_targets_apply (&world->state.targets, &t, ++world->index);
  world->committed = world->index;
}

void
wf_start (uint64_t seed)
{
  world = cfs_alloc (sizeof *world);
  world->seed = seed * UINT64_C (0x9E3779B97F4A7C15) + 1;
  world->now = CFS_US_PER_S;
  world->term = 1;
  world->promoting = -1;
  world->edge.open = wire_open;
  world->edge.read_status = read_status;
  cfs_state_init (&world->state);
  for (int i = 0; i < INSTANCES; i++)
    add_instance (i);
  start_leader ();
}

void
wf_end (void)
{
  cfs_failover_free (world->failover);
  for (struct fake_wire *k = world->wires; k; k = k->next)
    k->dead = true;
  sweep_wires ();
  cfs_state_end (&world->state);
  free (world);
}

void
wf_run (int64_t us)
{
  int64_t until = world->now + us;

  while (world->now < until && !world->fault)
    step ();
}

bool
wf_run_seed (uint64_t seed)
{
  const char *fault;
  uint64_t before;

  wf_start (seed);
  world->faults = true;
  wf_run (FAULTS_US);
  heal ();
  wf_run (CALM_US);
  before = world->acked;
  wf_run (2 * CFS_US_PER_S);
  fault = world->fault;
  if (!fault && world->acked <= before)
    fault = "nothing is acknowledged once all is calm";
  if (fault && getenv ("TRACE"))
    for (int i = 0; i < INSTANCES; i++)
      printf ("%s alive %d primary %d paused %d term %llu received %llu, "
              "acked %llu at %lld ms\n",
              world->instances[i].name, world->instances[i].alive,
              world->instances[i].primary, world->instances[i].paused,
              (unsigned long long)world->instances[i].term,
              (unsigned long long)world->instances[i].received,
              (unsigned long long)world->acked,
              (long long)(world->now / CFS_US_PER_MS));
  if (fault)
    printf ("seed %llu: %s\n", (unsigned long long)seed, fault);
  wf_end ();
  return !fault;
}

void
wf_kill (unsigned i)
{
  world->instances[i].alive = false;
}

void
wf_cut (unsigned i, bool cut)
{
  world->instances[i].cut = cut;
}

void
wf_suspect (unsigned i)
{
  world->instances[i].suspect = true;
}

int
wf_primary (void)
{
  return primary_index ();
}

unsigned
wf_failover_count (void)
{
  return world->changes;
}

const char *
wf_violation (void)
{
  return world->fault;
}

struct cfs_state *
wf_state (void)
{
  return &world->state;
}

void
wf_unregister (unsigned i)
{
  struct cfs_table *targets = &world->state.targets;

  for (size_t k = targets->count; k > 0; k--)
    if (strcmp (cfs_table_at (targets, k - 1), world->instances[i].name) == 0)
      cfs_table_remove (targets, k - 1);
}

void
wf_drain (unsigned i)
{
  struct cfs_target *t
      = cfs_table_find (&world->state.targets, world->instances[i].name);

  t->draining = true;
}
