/*
 * Scheduling of requests.  The host that
 * holds the lease runs every statement of the group, because only a single
 * scheduler can divide as few as two slots fairly between teams, keep track
 * of the idempotency keys in use and freeze writes during a failover.
 * Connections are in gate_conn.c, results in gate_result.c, acknowledgements
 * in gate_ack.c, read routing in route.c, failover in promote.c.
 *
 * The result of a write is validated just before it is acknowledged: the
 * lease must be valid, the write must have been committed in the current
 * term, and a majority of the instances must have its position.
 */
#include "gate_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Delay before reconnecting after a connection was refused or lost. */
#define RECONNECT_US (100 * CFS_US_PER_MS)

const struct cfs_gate_tuning cfs_gate_defaults = {
  .probe_interval_us = 50 * CFS_US_PER_MS,
  .probe_fast_interval_us = 10 * CFS_US_PER_MS,
  .primary_timeout_us = 1000 * CFS_US_PER_MS,
  .former_primary_wait_us = 200 * CFS_US_PER_MS,
  .replication_stall_us = 1200 * CFS_US_PER_MS,
  .tick_gap_us = 200 * CFS_US_PER_MS,
  .reachable_timeout_us = 300 * CFS_US_PER_MS,
  .replica_wait_us = 100 * CFS_US_PER_MS,
  .primary_leave_timeout_us = 2 * CFS_US_PER_S,
  .drain_transaction_idle_us = 3 * CFS_US_PER_S,
  .transaction_timeout_us = 30 * CFS_US_PER_S,
  .overcommit_percent = 50,
  .max_attempts = 4,
  .retry_ratio = 0.1,
  .retry_budget_max = 20,
  .wait_for_replica = true,
};

/* Context of the callbacks that test whether a queued request can run, with
   the instance and connection selected for it. */
struct scan
{
  struct cfs_gate *gate;
  int64_t now;
  int inst;
  int conn;
};

bool
gate_lease_valid (const struct cfs_gate *g, int64_t now)
{
  return g->epoch != 0 && now < g->lease_until;
}

unsigned
gate_majority (const struct cfs_gate *g)
{
  return g->size / 2 + 1;
}

int
gate_primary (const struct cfs_gate *g)
{
  for (unsigned i = 0; i < g->inst_count; i++)
    if (strcmp (g->inst[i].name, g->group.primary) == 0)
      return (int)i;
  return -1;
}

bool
gate_has_capacity (const struct cfs_gate *g, unsigned inst)
{
  const struct gate_instance *in = &g->inst[inst];
  unsigned extra = (in->slots * g->tuning.overcommit_percent + 99) / 100;

  return in->running < in->slots + extra;
}

void
gate_reply (struct cfs_gate *g, struct cfs_request *r, enum cfs_code code,
            enum cfs_outcome outcome, void *body)
{
  struct cfs_gate_reply reply
      = { .code = code, .outcome = outcome, .body = body };

  if (r->maybe_applied && outcome == CFS_NOT_RUN && code != CFS_CODE_SQL_ERROR)
    reply.outcome = CFS_UNKNOWN;
  if (reply.outcome == CFS_NOT_RUN && code != CFS_CODE_SQL_ERROR)
    g->stats.refused++;
  g->ops->reply (g->ctx, r, &reply);
}

/* Outcome of a request that is abandoned: unknown once it has been sent. */
static enum cfs_outcome
abandoned_outcome (const struct cfs_request *r)
{
  return r->attempts ? CFS_UNKNOWN : CFS_NOT_RUN;
}

static bool
can_read (void *ctx, struct cfs_request *r)
{
  struct scan *s = ctx;

  if (s->now < r->not_before)
    return false;
  s->inst = route_read (s->gate, r, s->now);
  if (s->inst < 0)
    return false;
  s->conn = gate_conn_take (s->gate, (unsigned)s->inst, s->now);
  return s->conn >= 0;
}

/* Whether a connection is running a request of the same team with the same
   idempotency key.  A write that waits for replicas does not count: its key is
   recorded at the primary. */
static bool
key_in_use (const struct cfs_gate *g, const struct cfs_request *r)
{
  for (unsigned c = 0; c < g->conn_used; c++)
    {
      const struct cfs_request *o = g->conn[c].request;

      if (o && strcmp (o->key, r->key) == 0 && strcmp (o->team, r->team) == 0)
        return true;
    }
  return false;
}

static bool
can_write (void *ctx, struct cfs_request *r)
{
  struct scan *s = ctx;
  const struct gate_instance *in = &s->gate->inst[s->inst];

  if (s->now < r->not_before || (*r->key && key_in_use (s->gate, r)))
    return false;
  if (r->kind == CFS_BEGIN && in->pinned_conns * 2 >= gate_conn_limit (in))
    return false;
  s->conn = gate_conn_take (s->gate, (unsigned)s->inst, s->now);
  return s->conn >= 0;
}

static enum cfs_work
work_for (const struct cfs_request *r)
{
  switch (r->kind)
    {
    case CFS_READ:
      return WORK_READ;
    case CFS_BEGIN:
      return WORK_BEGIN;
    case CFS_STATEMENT:
      return WORK_STATEMENT;
    case CFS_COMMIT:
      return WORK_COMMIT;
    case CFS_ROLLBACK:
      return WORK_ROLLBACK;
    default:
      return *r->key ? WORK_KEYED_WRITE : WORK_WRITE;
    }
}

static void
run (struct cfs_gate *g, unsigned c, struct cfs_request *r, int64_t now)
{
  struct gate_conn *conn = &g->conn[c];

  conn->state = CONN_BUSY;
  conn->request = r;
  conn->work = work_for (r);
  conn->started_at = now;
  conn->term = g->group.term;
  g->inst[conn->inst].running++;
  r->attempts++;
  r->started_at = now;
  g->stats.sent++;
  g->ops->run (g->ctx, c, conn->work, r);
}

static void
dispatch (struct cfs_gate *g, int64_t now)
{
  struct scan s = { g, now, -1, -1 };
  struct cfs_request *r;
  int primary = gate_primary (g);

  if (!gate_lease_valid (g, now) || g->fair.queued == 0)
    return;
  while ((r = cfs_fair_pop (&g->fair, CFS_LANE_READ, can_read, &s)))
    run (g, (unsigned)s.conn, r, now);
  if (primary < 0 || g->phase != PHASE_SERVING || g->inst[primary].leaving)
    return;
  s.inst = primary;
  while (gate_has_capacity (g, (unsigned)primary)
         && (r = cfs_fair_pop (&g->fair, CFS_LANE_WRITE, can_write, &s)))
    run (g, (unsigned)s.conn, r, now);
}

static bool
match_any (void *ctx, struct cfs_request *r)
{
  (void)ctx;
  (void)r;
  return true;
}

/* Replies to all queued requests that the gate has moved.  Their entry hosts
   send those that have not been run to the new gate. */
static void
redirect_queued (struct cfs_gate *g)
{
  for (int lane = 0; lane < CFS_LANE_COUNT; lane++)
    {
      struct cfs_request *r;

      while (
          (r = cfs_fair_pop (&g->fair, (enum cfs_lane)lane, match_any, NULL)))
        gate_reply (g, r, CFS_CODE_MOVED, abandoned_outcome (r), NULL);
    }
}

static int
transaction_conn (const struct cfs_gate *g, const struct cfs_request *r)
{
  for (unsigned c = 0; c < g->conn_used; c++)
    if (*g->conn[c].transaction
        && strcmp (g->conn[c].transaction, r->transaction) == 0
        && strcmp (g->conn[c].team, r->team) == 0)
      return (int)c;
  return -1;
}

static void
submit_in_transaction (struct cfs_gate *g, struct cfs_request *r, int64_t now)
{
  int c = transaction_conn (g, r);

  if (c < 0)
    gate_reply (g, r, CFS_CODE_TRANSACTION_LOST, CFS_NOT_RUN, NULL);
  else if (g->conn[c].state != CONN_PINNED)
    gate_reply (g, r, CFS_CODE_TRANSACTION_BUSY, CFS_NOT_RUN, NULL);
  else if (g->phase != PHASE_SERVING || g->conn[c].term != g->group.term)
    {
      gate_conn_close (g, (unsigned)c);
      gate_reply (g, r, CFS_CODE_TRANSACTION_LOST, CFS_NOT_RUN, NULL);
    }
  else
    run (g, (unsigned)c, r, now);
}

/* Tells a session that a change which it has seen was discarded by a
   failover.  The reply has the start of the current term, from which the
   session can continue. */
static void
reply_write_lost (struct cfs_gate *g, struct cfs_request *r)
{
  struct cfs_gate_reply reply
      = { .code = CFS_CODE_WRITE_LOST, .outcome = CFS_NOT_RUN };

  reply.term = g->group.term;
  if (g->group.branch_count)
    reply.position = g->group.branches[g->group.branch_count - 1].start;
  g->stats.refused++;
  g->ops->reply (g->ctx, r, &reply);
}

static unsigned
serving_slots (const struct cfs_gate *g, enum cfs_lane lane)
{
  int primary = gate_primary (g);
  unsigned slots = 0;

  for (unsigned i = 0; i < g->inst_count; i++)
    if ((lane == CFS_LANE_WRITE) == ((int)i == primary))
      slots += g->inst[i].slots;
  return slots;
}

static void
make_transaction_id (struct cfs_gate *g, struct cfs_request *r)
{
  snprintf (r->transaction, sizeof r->transaction, "%llx%016llx",
            (unsigned long long)g->epoch,
            (unsigned long long)cfs_random (&g->seed));
}

struct cfs_gate *
cfs_gate_new (const struct cfs_gate_ops *ops, void *ctx, const char *group,
              const struct cfs_gate_tuning *tuning, uint64_t seed)
{
  struct cfs_gate *g = cfs_alloc (sizeof *g);

  g->ops = ops;
  g->ctx = ctx;
  cfs_copy (g->name, sizeof g->name, group);
  g->tuning = *tuning;
  g->seed = seed ? seed : 1;
  g->size = 3;
  g->retry_budget = tuning->retry_budget_max;
  cfs_fair_init (&g->fair, FAIR_VIRTUAL_TIME);
  return g;
}

void
cfs_gate_free (struct cfs_gate *g, int64_t now)
{
  if (!g)
    return;
  cfs_gate_assign (g, 0, now);
  cfs_fair_end (&g->fair);
  free (g->pending_acks);
  free (g);
}

void
cfs_gate_assign (struct cfs_gate *g, uint64_t epoch, int64_t now)
{
  if (g->epoch == epoch)
    return;
  g->epoch = 0;
  gate_abort_all_conns (g, now);
  gate_check_acks (g, now);
  redirect_queued (g);
  g->epoch = epoch;
  g->draining = false;
  g->used_term = 0;
  promote_set_phase (g, PHASE_IDLE, now);
}

void
cfs_gate_renew (struct cfs_gate *g, int64_t until, int64_t now)
{
  if (until > g->lease_until)
    g->lease_until = until;
  promote_tick (g, now);
  dispatch (g, now);
}

void
cfs_gate_configure (struct cfs_gate *g, unsigned size, bool ack_primary)
{
  g->size = size > g->inst_count ? size : g->inst_count;
  g->ack_primary = ack_primary;
}

void
cfs_gate_set_wait_for_replica (struct cfs_gate *g, bool wait)
{
  g->tuning.wait_for_replica = wait;
}

void
cfs_gate_set_group (struct cfs_gate *g, const struct cfs_group *group,
                    int64_t now)
{
  uint64_t old = g->group.term;

  g->group = *group;
  if (old == group->term)
    return;
  if (group->branch_count)
    route_clip_samples (g, group->branches[group->branch_count - 1].start);
  for (unsigned c = 0; c < g->conn_used; c++)
    if (*g->conn[c].transaction)
      gate_abort_conn (g, c, now);
  if (g->epoch)
    promote_set_phase (g, PHASE_IDLE, now);
  gate_check_acks (g, now);
}

void
cfs_gate_update_instance (struct cfs_gate *g, const Cfs__Instance *in,
                          int64_t now)
{
  struct gate_instance *inst = NULL;

  for (unsigned i = 0; i < g->inst_count && !inst; i++)
    if (strcmp (g->inst[i].name, in->name) == 0)
      inst = &g->inst[i];
  if (!inst && g->inst_count == GATE_INSTANCES_MAX)
    return;
  if (!inst)
    {
      inst = &g->inst[g->inst_count++];
      memset (inst, 0, sizeof *inst);
      cfs_copy (inst->name, sizeof inst->name, in->name);
      if (g->size < g->inst_count)
        g->size = g->inst_count;
    }
  cfs_copy (inst->address, sizeof inst->address, in->address);
  inst->port = in->port;
  inst->slots = in->slots ? in->slots : 1;
  inst->connections = in->connections ? in->connections : 1;
  if (in->leaving && !inst->leaving)
    inst->leaving_since = now;
  inst->leaving = in->leaving;
}

void
cfs_gate_submit (struct cfs_gate *g, struct cfs_request *r, int64_t now)
{
  enum cfs_lane lane = gate_request_lane (r);
  int64_t wait;

  g->stats.submitted++;
  r->arrived_at = now;
  g->retry_budget += g->tuning.retry_ratio;
  if (g->retry_budget > g->tuning.retry_budget_max)
    g->retry_budget = g->tuning.retry_budget_max;
  if (r->kind >= CFS_STATEMENT)
    {
      if (gate_lease_valid (g, now))
        submit_in_transaction (g, r, now);
      else
        gate_reply (g, r, CFS_CODE_MOVED, CFS_NOT_RUN, NULL);
      return;
    }
  if (g->epoch == 0 || g->draining)
    {
      gate_reply (g, r, CFS_CODE_MOVED, CFS_NOT_RUN, NULL);
      return;
    }
  if (route_check_token (&g->group, r->token_term, r->token_position)
      == TOKEN_LOST)
    {
      reply_write_lost (g, r);
      return;
    }
  wait = cfs_fair_expected_wait (&g->fair, r->team, r->weight,
                                 serving_slots (g, lane));
  if (wait > r->deadline - now)
    {
      gate_reply (g, r, CFS_CODE_OVERLOADED, CFS_NOT_RUN, NULL);
      return;
    }
  if (r->kind == CFS_BEGIN)
    make_transaction_id (g, r);
  if (cfs_fair_push (&g->fair, lane, r) != CFS_OK)
    gate_reply (g, r, CFS_CODE_OVERLOADED, CFS_NOT_RUN, NULL);
  else
    dispatch (g, now);
}

void
cfs_gate_connected (struct cfs_gate *g, unsigned c, int64_t now)
{
  if (g->conn[c].state != CONN_OPENING)
    return;
  g->conn[c].state = CONN_IDLE;
  g->conn[c].idle_since = now;
  dispatch (g, now);
}

void
cfs_gate_disconnected (struct cfs_gate *g, unsigned c, int64_t now)
{
  struct gate_conn *conn = &g->conn[c];

  if (conn->state == CONN_FREE)
    return;
  g->inst[conn->inst].connect_after = now + RECONNECT_US;
  gate_abort_conn (g, c, now);
}

void
cfs_gate_work_done (struct cfs_gate *g, unsigned c,
                    const struct cfs_work_result *res, int64_t now)
{
  if (g->conn[c].state != CONN_BUSY)
    {
      g->ops->discard (g->ctx, res->body);
      return;
    }
  if (!res->clean)
    g->inst[g->conn[c].inst].connect_after = now + RECONNECT_US;
  gate_end_work (g, c, res, now);
  dispatch (g, now);
}

void
cfs_gate_probed (struct cfs_gate *g, unsigned inst, uint64_t term,
                 uint64_t position, uint64_t start, bool primary,
                 int64_t sent_at, int64_t now)
{
  struct gate_instance *in = &g->inst[inst];

  if (inst >= g->inst_count || sent_at < in->answered_probe_sent_at)
    return;
  in->term = term;
  in->position = position;
  in->start = start;
  in->primary = primary;
  in->last_probe_reply_at = now;
  in->answered_probe_sent_at = sent_at;
  if ((int)inst == gate_primary (g) && primary && term == g->group.term)
    route_add_sample (g, position, sent_at);
  gate_check_acks (g, now);
  promote_tick (g, now);
  dispatch (g, now);
}

void
cfs_gate_tick (struct cfs_gate *g, int64_t now)
{
  struct cfs_request *r;

  if (g->last_tick_at && now - g->last_tick_at > g->tuning.tick_gap_us)
    g->resumed_at = now;
  g->last_tick_at = now;
  while ((r = cfs_fair_expire (&g->fair, now)))
    gate_reply (g, r, CFS_CODE_DEADLINE, abandoned_outcome (r), NULL);
  gate_check_acks (g, now);
  gate_check_conns (g, now);
  if (!gate_lease_valid (g, now))
    return;
  gate_send_probes (g, now);
  gate_warm_conns (g, now);
  promote_tick (g, now);
  dispatch (g, now);
}

bool
cfs_gate_drain (struct cfs_gate *g, int64_t now)
{
  bool busy = false;

  g->draining = true;
  redirect_queued (g);
  gate_check_acks (g, now);
  for (unsigned c = 0; c < g->conn_used; c++)
    {
      const struct gate_conn *conn = &g->conn[c];

      if (conn->state == CONN_PINNED
          && now - conn->idle_since > g->tuning.drain_transaction_idle_us)
        gate_conn_close (g, c);
      busy |= conn->state == CONN_BUSY || conn->state == CONN_PINNED;
    }
  return !busy && g->pending_ack_count == 0;
}

bool
cfs_gate_report (struct cfs_gate *g, Cfs__GroupReport *out)
{
  cfs__group_report__init (out);
  out->group = g->name;
  out->epoch = g->epoch;
  out->used_term = g->used_term;
  out->want_term = g->phase == PHASE_REQUESTING_TERM;
  if (g->phase == PHASE_CONFIRMING)
    {
      out->promoted_term = g->group.granted_term;
      out->start = g->promoted_start;
      out->primary = g->inst[g->candidate].name;
    }
  return out->want_term || out->promoted_term;
}

uint64_t
cfs_gate_epoch (const struct cfs_gate *g)
{
  return g->epoch;
}

bool
cfs_gate_serving (const struct cfs_gate *g, int64_t now)
{
  return gate_lease_valid (g, now) && g->phase == PHASE_SERVING;
}

const struct cfs_gate_stats *
cfs_gate_stats (const struct cfs_gate *g)
{
  return &g->stats;
}

const char *
cfs_gate_address (const struct cfs_gate *g, unsigned inst, uint32_t *port)
{
  *port = g->inst[inst].port;
  return g->inst[inst].address;
}

const char *
cfs_gate_name (const struct cfs_gate *g, unsigned inst)
{
  return g->inst[inst].name;
}
