/*
 * Documents of operators, the table of targets and the failovers at the
 * control leader.
 */
#include "control_int.h"

#include "log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART "control"
/* After this time the commit of an entry is reported as unknown. */
#define COMMIT_TIMEOUT_US (5 * CFS_US_PER_S)
/* An instance other than a primary counts as lost without a heartbeat for this
   time. */
#define TARGET_LOST_US (30 * CFS_US_PER_S)

void
control_fleet_init (struct cfs_control *c)
{
  cfs_table_init (&c->fleet.heartbeats, sizeof (struct target_heartbeat));
  cfs_table_init (&c->fleet.cold_timers, sizeof (struct cfs_cold_timer));
}

void
control_fleet_end (struct cfs_control *c)
{
  cfs_failover_free (c->fleet.failover);
  cfs_address_checks_free (c->fleet.checks);
  free (c->fleet.waiters);
  cfs_table_end (&c->fleet.heartbeats);
  cfs_table_end (&c->fleet.cold_timers);
}

int
control_await_commit (struct cfs_control *c, uint64_t log_index,
                      void (*on_result) (void *tag, bool committed), void *tag,
                      int64_t now)
{
  struct fleet_state *f = &c->fleet;
  struct commit_waiter *w;

  if (!log_index)
    return CFS_IO;
  cfs_grow (&f->waiters, &f->waiter_cap, f->waiter_count, sizeof *f->waiters);
  w = &f->waiters[f->waiter_count++];
  w->log_index = log_index;
  w->term = cfs_raft_term (c->raft);
  w->started_at = now;
  w->on_result = on_result;
  w->tag = tag;
  return CFS_OK;
}

/* If this host is still leader in the term in which it appended an entry, the
   committed entry at that index is the same one. */
static void
finish_waiters (struct cfs_control *c, bool confirmed, int64_t now)
{
  struct fleet_state *f = &c->fleet;
  size_t kept = 0;
  bool is_leader = cfs_raft_role (c->raft) == RAFT_LEADER;

  (void)confirmed;
  for (size_t i = 0; i < f->waiter_count; i++)
    {
      struct commit_waiter *w = &f->waiters[i];
      bool lost = !is_leader || w->term != cfs_raft_term (c->raft);

      if (!lost && cfs_raft_commit_index (c->raft) >= w->log_index)
        w->on_result (w->tag, true);
      else if (lost || now - w->started_at > COMMIT_TIMEOUT_US)
        w->on_result (w->tag, false);
      else
        f->waiters[kept++] = *w;
    }
  f->waiter_count = kept;
}

uint64_t
control_propose_target (struct cfs_control *c, const struct cfs_target *t)
{
  Cfs__Command cmd = CFS__COMMAND__INIT;
  Cfs__Target m;

  cfs_target_to_message (t, &m);
  cmd.body_case = CFS__COMMAND__BODY_TARGET;
  cmd.target = &m;
  cfs_log (CFS_NOTICE, PART,
           "target=%s service=%s address=%s zone=%s primary=%d draining=%d "
           "gone=%d cold_ms=%" PRIu32 " born=%" PRIu64 " sequence=%" PRIu64
           " change proposed",
           t->id, t->service, t->address, t->zone, t->primary, t->draining,
           t->gone, t->cold_ms, t->incarnation, t->sequence);
  return control_propose (c, &cmd);
}

static void
drop_silent_targets (struct cfs_control *c, int64_t now)
{
  const struct cfs_table *targets = &c->state.targets;

  if (now - c->fleet.leader_since < TARGET_LOST_US)
    return;
  for (size_t i = 0; i < targets->count; i++)
    {
      const struct cfs_target *known = cfs_table_at (targets, i);
      struct cfs_target t = *known;
      struct target_heartbeat *b = cfs_table_add (&c->fleet.heartbeats, t.id);
      int64_t heard = b->received_at ? b->received_at : c->fleet.leader_since;

      if (now - heard < TARGET_LOST_US
          || !cfs_targets_may_drop (targets, &c->state.failovers, known))
        continue;
      t.gone = true;
      t.sequence++;
      b->received_at = now;
      control_propose_target (c, &t);
    }
}

void
control_fleet_tick (struct cfs_control *c, bool confirmed, int64_t now)
{
  struct fleet_state *f = &c->fleet;

  finish_waiters (c, confirmed, now);
  if (confirmed && !f->is_leader)
    {
      f->leader_since = now;
      f->heartbeats.count = 0;
      f->cold_timers.count = 0;
    }
  f->is_leader = confirmed;
  if (confirmed)
    drop_silent_targets (c, now);
  control_placement_tick (c, confirmed, now);
  if (f->checks)
    cfs_address_checks_tick (f->checks, now);
  if (f->failover)
    cfs_failover_tick (f->failover, confirmed, cfs_raft_commit_index (c->raft),
                       now);
}

static uint64_t
propose_failover (void *ctx, const Cfs__Turn *turn)
{
  Cfs__Command cmd = CFS__COMMAND__INIT;

  cmd.body_case = CFS__COMMAND__BODY_TURN;
  cmd.turn = (Cfs__Turn *)turn;
  return control_propose (ctx, &cmd);
}

static void
promote (void *ctx, const char *service, const char *target, uint64_t fence)
{
  const struct cfs_control *c = ctx;

  c->fleet.setup.promote (c->fleet.setup.ctx, service, target, fence);
}

static void
primary_position (void *ctx, const char *service,
                  const struct cfs_position *position, int64_t requested_at)
{
  const struct cfs_control *c = ctx;

  cfs_leader_set_position (c->leader, service, position, requested_at);
}

static void
departure_proven (void *ctx, const char *target)
{
  struct cfs_control *c = ctx;
  const struct cfs_target *known = cfs_table_find (&c->state.targets, target);
  struct cfs_target next;

  if (!known || !cfs_target_is_unproven (known))
    return;
  next = *known;
  cfs_target_mark_proven (&next);
  control_propose_target (c, &next);
}

static size_t
suspecting_hosts (void *ctx, const char *target, size_t *hosts)
{
  const struct cfs_control *c = ctx;

  return cfs_leader_count_suspecting_hosts (c->leader, target, cfs_now (),
                                            hosts);
}

static bool
acks_stopped (void *ctx, const char *service, uint64_t since_index,
              int64_t since, struct cfs_position *highest)
{
  const struct cfs_control *c = ctx;

  return cfs_leader_acks_stopped (c->leader, service, since_index, since,
                                  cfs_now (), highest);
}

static const struct cfs_failover_ops failover_ops
    = { propose_failover, promote,          primary_position,
        departure_proven, suspecting_hosts, acks_stopped };

void
cfs_control_serve_fleet (struct cfs_control *c,
                         const struct cfs_control_fleet_setup *setup)
{
  c->fleet.setup = *setup;
  cfs_leader_set_document_decoder (c->leader, setup->decoder,
                                   c->settings->document_lease_us);
  c->fleet.failover = cfs_failover_new (&failover_ops, c, setup->adapter,
                                        &c->state, cfs_now);
  control_reports_start (c);
  control_placement_start (c);
}

void
cfs_control_promotion_result (struct cfs_control *c, const char *service,
                              uint64_t fence, enum cfs_promotion_result result)
{
  cfs_failover_promotion_result (c->fleet.failover, service, fence, result);
}

bool
cfs_control_is_leader (const struct cfs_control *c, int64_t now)
{
  return cfs_raft_leader_confirmed (c->raft, now);
}

const char *
cfs_control_leader (const struct cfs_control *c)
{
  return cfs_raft_leader (c->raft);
}

const struct cfs_state *
cfs_control_state (const struct cfs_control *c)
{
  return &c->state;
}

static size_t
count_unproven_departures (const struct cfs_control *c)
{
  size_t count = 0;

  for (size_t i = 0; i < c->state.targets.count; i++)
    count += cfs_target_is_unproven (cfs_table_at (&c->state.targets, i));
  return count;
}

void
cfs_control_metrics (const struct cfs_control *c, GString *out, int64_t now)
{
  g_string_append_printf (
      out,
      "coltsfootstage_control_leads %d\n"
      "coltsfootstage_control_term %" PRIu64 "\n"
      "coltsfootstage_control_committed %" PRIu64 "\n"
      "coltsfootstage_control_members %zu\n"
      "coltsfootstage_version %" PRIu64 "\n"
      "coltsfootstage_departures_unproven %zu\n",
      cfs_raft_leader_confirmed (c->raft, now), cfs_raft_term (c->raft),
      cfs_raft_commit_index (c->raft), cfs_raft_members (c->raft)->count,
      c->state.version, count_unproven_departures (c));
  control_reports_metrics (c, out);
  control_placement_metrics (c, out);
  control_load_metrics (&c->load, out);
  cfs_log_metrics (out);
}

int
cfs_control_put_document (struct cfs_control *c, uint64_t number,
                          const char *body,
                          void (*on_result) (void *tag, bool committed),
                          void *tag, int64_t now)
{
  Cfs__Command cmd = CFS__COMMAND__INIT;
  Cfs__Document d = CFS__DOCUMENT__INIT;

  if (!cfs_raft_leader_confirmed (c->raft, now))
    return CFS_NOT_LEADER;
  d.number = number;
  d.body = (char *)body;
  d.when_ms = cfs_wall_clock_ms ();
  cmd.body_case = CFS__COMMAND__BODY_DOCUMENT;
  cmd.document = &d;
  return control_await_commit (c, control_propose (c, &cmd), on_result, tag,
                               now);
}
