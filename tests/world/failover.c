/*
 * A statement to an instance takes a random time to run.  A promotion request
 * either gets its result within 80 ms and takes effect 300 ms later, or gets
 * no result and is carried out 2 to 10 s later, or when the test says so.  In
 * all cases it is rejected if the instance is stopped, or if a request with a
 * higher fencing token was carried out before.  Instances report a change of
 * their role to the replicated state.  Hosts write at the instance that this
 * state names as the primary.
 */
#include "failover.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define INSTANCES 3
#define SERVICE "db"
#define STEP_US (10 * CFS_US_PER_MS)
#define PROMOTE_US (300 * CFS_US_PER_MS)
/* Time after which a promotion request without a result is given up. */
#define PROMOTION_TIMEOUT_US (700 * CFS_US_PER_MS)
#define FAULT_PHASE_US (25 * CFS_US_PER_S)
#define RECOVERY_US (14 * CFS_US_PER_S)
/* Steps for which the acknowledged position is kept. */
#define HISTORY_STEPS 1024
#define PROMOTIONS_MAX 64
#define PROPOSALS_MAX 64

/*
 * @reported_primary: its last report said that it is primary
 * @cut: unreachable for the control leader and for the hosts
 * @cut_from_leader: unreachable for the control leader only
 * @suspect: unreachable for the hosts only
 * @replication_cut: neither sends nor receives the log
 * @paused: replication was paused by the failover
 * @delay_us: additional time that a statement takes
 * @boot: number of restarts; a restart breaks all connections
 * @received: position up to which it has received the log
 */
struct instance
{
  char name[16];
  bool alive;
  bool primary;
  bool reported_primary;
  bool cut;
  bool cut_from_leader;
  bool suspect;
  bool replication_cut;
  bool paused;
  int64_t delay_us;
  unsigned boot;
  uint64_t term;
  uint64_t received;
};

/*
 * A connection of the control leader to an instance.
 * @boot: restart count of the instance as the connection was opened
 * @due: time of the next event on the connection
 */
struct fake_conn
{
  struct cfs_target_conn base;
  struct fake_conn *next;
  struct instance *instance;
  unsigned boot;
  const struct cfs_target_conn_events *events;
  void *owner;
  bool dead;
  bool open;
  int64_t due;
  bool statement_pending;
  struct cfs_statement statement;
  struct cfs_reply reply;
  char row[96];
  enum cfs_tx_state state;
};

/*
 * A promotion request in transit.
 * @fence: fencing token
 * @at: time at which it is carried out
 * @unknown_at: time at which the manager is told that the result is unknown
 * @result_reported: the manager was told that the result is unknown
 */
struct promotion
{
  bool pending;
  unsigned target;
  uint64_t fence;
  int64_t at;
  int64_t unknown_at;
  bool result_reported;
};

/*
 * A record appended to the replicated log and not committed yet: the begin or
 * end of a failover, or the report of an instance.
 * @reporter: the instance that reports its role, or NULL
 * @primary: the role that it reports
 * @index: log index
 * @at: earliest time of the commit
 */
struct proposal
{
  bool pending;
  const struct instance *reporter;
  bool primary;
  Cfs__Turn turn;
  char service[8];
  char target[8];
  uint64_t index;
  int64_t at;
};

/*
 * The whole simulation.
 * @faults: random faults occur
 * @hold_promotions: promotion requests get no result and wait for
 * wf_carry_out()
 * @index: last log index of the replicated log
 * @committed: last committed log index
 * @acked_position: highest acknowledged position; a commit is acknowledged
 * once one replica has received it
 * @fence: highest fencing token of the promotions that were carried out
 * @term: term of the current primary
 * @promoting: instance that becomes primary at @promote_at, or -1
 * @acked_at: @acked_position at the end of each of the last steps; 0 after
 * acknowledged commits were rolled back
 * @violation: first violated invariant, or NULL
 */
struct world
{
  int64_t now;
  uint64_t seed;
  bool faults;
  bool hold_promotions;
  struct cfs_state state;
  struct cfs_target_adapter adapter;
  struct cfs_failover_manager *failover;
  struct fake_conn *conns;
  struct instance instances[INSTANCES];
  struct promotion promotions[PROMOTIONS_MAX];
  struct proposal proposals[PROPOSALS_MAX];
  uint64_t index;
  uint64_t committed;
  uint64_t acked_position;
  uint64_t fence;
  uint64_t term;
  int promoting;
  int64_t promote_at;
  unsigned failover_count;
  uint64_t acked_at[HISTORY_STEPS];
  const char *violation;
};

static struct world *world;

static size_t
step_index (int64_t time)
{
  return (size_t)(time / STEP_US) % HISTORY_STEPS;
}

static int64_t
world_clock (void)
{
  return world->now;
}

static uint64_t
random_below (uint64_t bound)
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
run_statement (struct fake_conn *conn)
{
  struct instance *in = conn->instance;
  struct cfs_reply *r = &conn->reply;

  memset (r, 0, sizeof *r);
  r->rows = conn->row;
  if (conn->statement.verb == VERB_BEGIN)
    {
      r->code = in->primary ? REPLY_OK : REPLY_NOT_PRIMARY;
      conn->state = in->primary ? TX_OPEN : TX_IDLE;
    }
  else if (conn->statement.verb == VERB_ROLLBACK)
    conn->state = TX_IDLE;
  else if (conn->statement.verb == VERB_PAUSE)
    {
      if (conn->statement.term <= in->term)
        r->code = REPLY_MALFORMED;
      else
        in->paused = !in->primary;
    }
  else if (conn->statement.verb == VERB_DEMOTE)
    in->primary = in->primary && conn->statement.term <= in->term;
  else if (conn->statement.verb == VERB_RESUME)
    in->paused = false;
  cfs_copy (conn->row, sizeof conn->row, in->primary ? "primary" : "replica");
  r->state = conn->state;
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
conn_send (struct cfs_target_conn *base, const struct cfs_statement *s,
           size_t count)
{
  struct fake_conn *conn = (struct fake_conn *)base;

  if (count != 1)
    world->violation = "more than one statement sent at a time";
  conn->statement = *s;
  conn->statement_pending = true;
  conn->due = world->now + conn->instance->delay_us
              + (int64_t)random_below (60) * CFS_US_PER_MS;
}

/* A statement sent before the close still runs if the instance is reachable.
 */
static void
conn_close (struct cfs_target_conn *base)
{
  struct fake_conn *conn = (struct fake_conn *)base;

  if (conn->statement_pending && conn->instance->alive && !conn->instance->cut
      && !conn->instance->cut_from_leader
      && conn->boot == conn->instance->boot)
    run_statement (conn);
  conn->dead = true;
}

static const struct cfs_target_conn_ops conn_ops = { conn_send, conn_close };

/* Returns NULL for an instance that is not simulated: nothing listens at its
   address. */
static struct instance *
find_instance (const char *name)
{
  for (int i = 0; i < INSTANCES; i++)
    if (strcmp (world->instances[i].name, name) == 0)
      return &world->instances[i];
  return NULL;
}

static struct cfs_target_conn *
conn_open (const struct cfs_target_adapter *adapter,
           const struct cfs_target_conn_setup *setup)
{
  struct instance *instance = find_instance (setup->target);
  struct fake_conn *conn;

  (void)adapter;
  if (!instance)
    return NULL;
  conn = cfs_alloc (sizeof *conn);
  conn->base.ops = &conn_ops;
  conn->instance = instance;
  conn->boot = conn->instance->boot;
  conn->events = setup->events;
  conn->owner = setup->owner;
  conn->due = world->now + 20 * CFS_US_PER_MS;
  conn->next = world->conns;
  world->conns = conn;
  return &conn->base;
}

static void
step_conn (struct fake_conn *conn)
{
  if (conn->dead || conn->instance->cut || conn->instance->cut_from_leader
      || world->now < conn->due)
    return;
  if (!conn->instance->alive || conn->boot != conn->instance->boot)
    {
      conn->dead = true;
      conn->events->lost (conn->owner, "simulated connection failure");
    }
  else if (!conn->open)
    {
      struct cfs_reply hello = { .code = REPLY_OK };

      hello.position.term = conn->instance->term;
      hello.position.number = conn->instance->received;
      conn->open = true;
      conn->events->opened (conn->owner, &hello);
    }
  else if (conn->statement_pending)
    {
      conn->statement_pending = false;
      run_statement (conn);
      conn->events->replied (conn->owner, &conn->reply);
    }
}

static void
free_dead_conns (void)
{
  struct fake_conn **next = &world->conns;

  while (*next)
    {
      struct fake_conn *conn = *next;

      if (!conn->dead)
        {
          next = &conn->next;
          continue;
        }
      *next = conn->next;
      free (conn);
    }
}

static struct proposal *
append_record (void)
{
  for (int i = 0; i < PROPOSALS_MAX; i++)
    {
      struct proposal *p = &world->proposals[i];

      if (p->pending)
        continue;
      memset (p, 0, sizeof *p);
      p->pending = true;
      p->index = ++world->index;
      p->at = world->now + (int64_t)random_below (80) * CFS_US_PER_MS;
      return p;
    }
  return NULL;
}

static uint64_t
propose (void *ctx, const Cfs__Turn *turn)
{
  struct proposal *p = append_record ();

  (void)ctx;
  if (!p)
    return 0;
  p->turn = *turn;
  cfs_copy (p->service, sizeof p->service, turn->service);
  cfs_copy (p->target, sizeof p->target, turn->target);
  p->turn.service = p->service;
  p->turn.target = p->target;
  return p->index;
}

/* Each running instance reports when its role has changed. */
static void
report_roles (void)
{
  for (int i = 0; i < INSTANCES; i++)
    {
      struct instance *in = &world->instances[i];
      struct proposal *p;

      if (!in->alive || in->reported_primary == in->primary)
        continue;
      p = append_record ();
      if (!p)
        return;
      p->reporter = in;
      p->primary = in->primary;
      in->reported_primary = in->primary;
    }
}

static void
apply_report (const struct proposal *p)
{
  const struct cfs_target *known
      = cfs_table_find (&world->state.targets, p->reporter->name);
  struct cfs_target next;
  Cfs__Target t;

  if (!known)
    return;
  next = *known;
  cfs_target_to_message (&next, &t);
  t.primary = p->primary;
  t.sequence++;
  cfs_targets_apply (&world->state.targets, &t, p->index);
}

static void
request_promotion (void *ctx, const char *service, const char *target,
                   uint64_t fence)
{
  (void)ctx;
  if (strcmp (service, SERVICE) != 0)
    world->violation = "promotion requested for another service";
  for (int i = 0; i < PROMOTIONS_MAX; i++)
    {
      struct promotion *p = &world->promotions[i];

      if (p->pending)
        continue;
      memset (p, 0, sizeof *p);
      p->pending = true;
      p->target = (unsigned)(target[1] - '1');
      p->fence = fence;
      p->at = world->now + (int64_t)random_below (80) * CFS_US_PER_MS;
      p->unknown_at = CFS_NEVER;
      if (world->hold_promotions)
        {
          p->at = CFS_NEVER;
          p->unknown_at = world->now + PROMOTION_TIMEOUT_US;
        }
      else if (world->faults && random_below (3) == 0)
        {
          p->result_reported = true;
          p->at = world->now + 2 * CFS_US_PER_S
                  + (int64_t)random_below (8000) * CFS_US_PER_MS;
          cfs_failover_promotion_result (world->failover, service, fence,
                                         PROMOTION_UNKNOWN);
        }
      return;
    }
}

static void
check_position (void *ctx, const char *service,
                const struct cfs_position *position, int64_t requested_at)
{
  (void)ctx;
  (void)service;
  if (position->number < world->acked_at[step_index (requested_at)])
    world->violation = "a position lacks a commit acknowledged before";
}

static size_t
suspecting_hosts (void *ctx, const char *target, size_t *hosts)
{
  const struct instance *in = find_instance (target);

  (void)ctx;
  *hosts = 4;
  return !in || !in->alive || in->cut || in->suspect ? 3 : 0;
}

static const struct cfs_failover_ops ops
    = { propose, request_promotion, check_position, suspecting_hosts };

static void
become_primary (int i)
{
  struct instance *in = &world->instances[i];
  int old = primary_index ();

  if (!in->alive)
    return;
  if (in->received < world->acked_position)
    world->violation = "an acknowledged commit is missing at the new primary";
  if (old >= 0)
    world->instances[old].primary = false;
  in->primary = true;
  in->paused = false;
  in->term = ++world->term;
  world->failover_count++;
  for (int k = 0; k < INSTANCES; k++)
    {
      if (world->instances[k].received > in->received)
        world->instances[k].received = in->received;
      world->instances[k].paused = false;
    }
  world->acked_position = in->received < world->acked_position
                              ? in->received
                              : world->acked_position;
}

static void
step_promotion (struct promotion *p)
{
  enum cfs_promotion_result result = PROMOTION_ACCEPTED;

  if (p->pending && !p->result_reported && world->now >= p->unknown_at)
    {
      p->result_reported = true;
      cfs_failover_promotion_result (world->failover, SERVICE, p->fence,
                                     PROMOTION_UNKNOWN);
    }
  if (!p->pending || world->now < p->at)
    return;
  p->pending = false;
  if (p->fence < world->fence || !world->instances[p->target].alive)
    result = PROMOTION_REJECTED;
  else
    {
      world->fence = p->fence;
      if (primary_index () != (int)p->target)
        {
          world->promoting = (int)p->target;
          world->promote_at = world->now + PROMOTE_US;
        }
    }
  if (!p->result_reported)
    cfs_failover_promotion_result (world->failover, SERVICE, p->fence, result);
}

static void
step_proposal (struct proposal *p)
{
  if (!p->pending || world->now < p->at || p->index != world->committed + 1)
    return;
  p->pending = false;
  world->committed = p->index;
  if (p->reporter)
    apply_report (p);
  else
    cfs_failovers_apply (&world->state.failovers, &p->turn, p->index);
}

/* Whether hosts write at an instance. */
static bool
hosts_use (const struct instance *in)
{
  const struct cfs_target *t = cfs_targets_primary (
      &world->state.targets, &world->state.failovers, SERVICE);

  return t && !in->cut && strcmp (t->id, in->name) == 0;
}

/* The primary writes one entry if hosts use it, and each replica may receive
   the log so far; a commit is acknowledged once one replica has it. */
static void
replicate (void)
{
  int p = primary_index ();

  if (p < 0 || !world->instances[p].alive)
    return;
  world->instances[p].received += hosts_use (&world->instances[p]);
  for (int i = 0; i < INSTANCES; i++)
    {
      struct instance *in = &world->instances[i];

      if (i == p || !in->alive || in->paused || in->replication_cut
          || world->instances[p].replication_cut || random_below (3) == 0)
        continue;
      in->received = world->instances[p].received;
      in->term = world->instances[p].term;
      if (in->received > world->acked_position)
        world->acked_position = in->received;
    }
}

static void
start_leader (void)
{
  world->failover = cfs_failover_new (&ops, NULL, &world->adapter,
                                      &world->state, world_clock);
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
inject_random_fault (void)
{
  struct instance *in = &world->instances[random_below (INSTANCES)];

  switch (random_below (500))
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
      in->replication_cut = !in->replication_cut;
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
      world->instances[i].replication_cut = false;
    }
}

static void
step (void)
{
  world->now += STEP_US;
  for (int i = 0; i < PROPOSALS_MAX; i++)
    for (int k = 0; k < PROPOSALS_MAX; k++)
      step_proposal (&world->proposals[k]);
  for (int i = 0; i < PROMOTIONS_MAX; i++)
    step_promotion (&world->promotions[i]);
  if (world->promoting >= 0 && world->now >= world->promote_at)
    {
      become_primary (world->promoting);
      world->promoting = -1;
    }
  report_roles ();
  replicate ();
  for (struct fake_conn *conn = world->conns; conn; conn = conn->next)
    step_conn (conn);
  free_dead_conns ();
  cfs_failover_tick (world->failover, true, world->committed, world->now);
  free_dead_conns ();
  world->acked_at[step_index (world->now)] = world->acked_position;
  if (world->faults)
    inject_random_fault ();
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
  in->reported_primary = in->primary;
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
  world->adapter.open = conn_open;
  world->adapter.read_status = read_status;
  cfs_state_init (&world->state);
  for (int i = 0; i < INSTANCES; i++)
    add_instance (i);
  start_leader ();
}

void
wf_end (void)
{
  cfs_failover_free (world->failover);
  for (struct fake_conn *conn = world->conns; conn; conn = conn->next)
    conn->dead = true;
  free_dead_conns ();
  cfs_state_end (&world->state);
  free (world);
}

void
wf_run (int64_t us)
{
  int64_t until = world->now + us;

  while (world->now < until && !world->violation)
    step ();
}

bool
wf_run_seed (uint64_t seed)
{
  const char *violation;
  uint64_t before;

  wf_start (seed);
  world->faults = true;
  wf_run (FAULT_PHASE_US);
  heal ();
  wf_run (RECOVERY_US);
  before = world->acked_position;
  wf_run (2 * CFS_US_PER_S);
  violation = world->violation;
  if (!violation && world->acked_position <= before)
    violation = "no commit is acknowledged after the faults ended";
  if (violation && getenv ("TRACE"))
    for (int i = 0; i < INSTANCES; i++)
      printf ("%s alive %d primary %d paused %d term %llu received %llu, "
              "acked %llu at %lld ms\n",
              world->instances[i].name, world->instances[i].alive,
              world->instances[i].primary, world->instances[i].paused,
              (unsigned long long)world->instances[i].term,
              (unsigned long long)world->instances[i].received,
              (unsigned long long)world->acked_position,
              (long long)(world->now / CFS_US_PER_MS));
  if (violation)
    printf ("seed %llu: %s\n", (unsigned long long)seed, violation);
  wf_end ();
  return !violation;
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
wf_revive (unsigned i)
{
  world->instances[i].alive = true;
  world->instances[i].paused = false;
  world->instances[i].boot++;
}

void
wf_cut_from_leader (unsigned i, bool cut)
{
  world->instances[i].cut_from_leader = cut;
}

void
wf_cut_replication (unsigned i, bool cut)
{
  world->instances[i].replication_cut = cut;
}

/* Commits an entry after all that was proposed before. */
static void
commit_target (const struct cfs_target *target)
{
  Cfs__Target t;

  while (world->committed < world->index)
    step ();
  cfs_target_to_message (target, &t);
  cfs_targets_apply (&world->state.targets, &t, ++world->index);
  world->committed = world->index;
}

enum cfs_report_effect
wf_report (const struct cfs_target *report, bool configured)
{
  const struct cfs_target *known
      = cfs_table_find (&world->state.targets, report->id);
  struct cfs_target next = *report;
  enum cfs_report_effect effect
      = cfs_target_report_effect (known, configured, &next);

  if (effect == REPORT_CURRENT && cfs_target_affects_routing (known, &next))
    commit_target (&next);
  return effect;
}

bool
wf_leave (const char *id, uint64_t incarnation)
{
  struct cfs_target next
      = *(struct cfs_target *)cfs_table_find (&world->state.targets, id);

  if (!cfs_target_mark_left (&next, incarnation))
    return false;
  commit_target (&next);
  return true;
}

void
wf_hold_promotions (bool hold)
{
  world->hold_promotions = hold;
}

int
wf_held_promotion (void)
{
  const struct promotion *newest = NULL;

  for (int i = 0; i < PROMOTIONS_MAX; i++)
    if (world->promotions[i].pending
        && (!newest || world->promotions[i].fence > newest->fence))
      newest = &world->promotions[i];
  return newest ? (int)newest->target : -1;
}

void
wf_carry_out (unsigned target)
{
  for (int i = 0; i < PROMOTIONS_MAX; i++)
    if (world->promotions[i].pending && world->promotions[i].target == target)
      world->promotions[i].at = world->now;
}

uint64_t
wf_acknowledged (void)
{
  return world->acked_position;
}

void
wf_suspect (unsigned i, bool suspect)
{
  world->instances[i].suspect = suspect;
}

void
wf_slow_down (unsigned i, int64_t us)
{
  world->instances[i].delay_us = us;
}

bool
wf_paused (unsigned i)
{
  return world->instances[i].paused;
}

int
wf_primary (void)
{
  return primary_index ();
}

unsigned
wf_failover_count (void)
{
  return world->failover_count;
}

const char *
wf_violation (void)
{
  return world->violation;
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
