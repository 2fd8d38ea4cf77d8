/*
 * The control leader's dealings with operators' documents and with targets
 * that announce themselves.  A target's report goes through the log only
 * when it changes what hosts route by, so steady heartbeats cost no disk.
 */
#include "control_int.h"

#include "log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART "control"
/* An order that is not committed by then is left without a clear answer. */
#define ORDER_MAX_US (5 * CFS_US_PER_S)
/* A target that was silent for longer counts as lost. */
#define TARGET_LOST_US (30 * CFS_US_PER_S)

void
control_fleet_init (struct cfs_control *c)
{
  cfs_table_init (&c->fleet.beats, sizeof (struct beat));
}

void
control_fleet_end (struct cfs_control *c)
{
  cfs_failover_free (c->fleet.failover);
  free (c->fleet.orders);
  cfs_table_end (&c->fleet.beats);
}

static int
wait_for (struct cfs_control *c, uint64_t index,
          void (*ended) (void *tag, bool done), void *tag, int64_t now)
{
  struct fleet_part *f = &c->fleet;
  struct order *o;

  if (!index)
    return CFS_IO;
  cfs_grow (&f->orders, &f->cap, f->count, sizeof *f->orders);
  o = &f->orders[f->count++];
  o->index = index;
  o->term = cfs_raft_term (c->raft);
  o->since = now;
  o->ended = ended;
  o->tag = tag;
  return CFS_OK;
}

/* An entry of this term that the leader of the same term has committed is
   the one that was appended here. */
static void
settle_orders (struct cfs_control *c, bool ready, int64_t now)
{
  struct fleet_part *f = &c->fleet;
  size_t kept = 0;
  bool led = cfs_raft_role (c->raft) == RAFT_LEADER;

  (void)ready;
  for (size_t i = 0; i < f->count; i++)
    {
      struct order *o = &f->orders[i];
      bool lost = !led || o->term != cfs_raft_term (c->raft);

      if (!lost && cfs_raft_commit (c->raft) >= o->index)
        o->ended (o->tag, true);
      else if (lost || now - o->since > ORDER_MAX_US)
        o->ended (o->tag, false);
      else
        f->orders[kept++] = *o;
    }
  f->count = kept;
}

static uint64_t
propose_target (struct cfs_control *c, const struct cfs_target *t)
{
  Cfs__Command cmd = CFS__COMMAND__INIT;
  Cfs__Target m;

  cfs_target_to_message (t, &m);
  cmd.body_case = CFS__COMMAND__BODY_TARGET;
  cmd.target = &m;
  cfs_log (CFS_NOTICE, PART,
           "target=%s service=%s address=%s zone=%s primary=%d draining=%d "
           "gone=%d born=%" PRIu64 " sequence=%" PRIu64 " is recorded",
           t->id, t->service, t->address, t->zone, t->primary, t->draining,
           t->gone, t->born, t->sequence);
  return control_propose (c, &cmd);
}

static void
drop_silent (struct cfs_control *c, int64_t now)
{
  const struct cfs_table *targets = &c->state.targets;

  if (now - c->fleet.led_since < TARGET_LOST_US)
    return;
  for (size_t i = 0; i < targets->count; i++)
    {
      struct cfs_target t = *(struct cfs_target *)cfs_table_at (targets, i);
      struct beat *b = cfs_table_add (&c->fleet.beats, t.id);
      int64_t heard = b->heard_at ? b->heard_at : c->fleet.led_since;

      if (t.gone || t.primary || now - heard < TARGET_LOST_US)
        continue;
      t.gone = true;
      t.sequence++;
      b->heard_at = now;
      propose_target (c, &t);
    }
}

void
control_fleet_tick (struct cfs_control *c, bool ready, int64_t now)
{
  struct fleet_part *f = &c->fleet;

  settle_orders (c, ready, now);
  if (ready && !f->leading)
    {
      f->led_since = now;
      f->beats.count = 0;
    }
  f->leading = ready;
  if (ready)
    drop_silent (c, now);
  if (f->failover)
    cfs_failover_tick (f->failover, ready, cfs_raft_commit (c->raft), now);
}

static uint64_t
propose_turn (void *ctx, const Cfs__Turn *turn)
{
  Cfs__Command cmd = CFS__COMMAND__INIT;

  cmd.body_case = CFS__COMMAND__BODY_TURN;
  cmd.turn = (Cfs__Turn *)turn;
  return control_propose (ctx, &cmd);
}

static void
order (void *ctx, const char *service, const char *target, uint64_t fence)
{
  const struct cfs_control *c = ctx;

  c->fleet.setup.order (c->fleet.setup.ctx, service, target, fence);
}

static size_t
suspected (void *ctx, const char *target, size_t *hosts)
{
  const struct cfs_control *c = ctx;

  return cfs_leader_suspected (c->leader, target, cfs_now (), hosts);
}

static const struct cfs_failover_ops failover_ops
    = { propose_turn, order, suspected };

void
cfs_control_serve_fleet (struct cfs_control *c,
                         const struct cfs_control_fleet_setup *setup)
{
  c->fleet.setup = *setup;
  cfs_leader_serve_documents (c->leader, setup->documents,
                              c->settings->document_lease_us);
  c->fleet.failover = cfs_failover_new (&failover_ops, c, setup->targets,
                                        &c->state, cfs_now);
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
  return cfs_raft_ready (c->raft, now);
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

void
cfs_control_metrics (const struct cfs_control *c, GString *out, int64_t now)
{
  g_string_append_printf (out,
                          "coltsfootstage_control_leads %d\n"
                          "coltsfootstage_control_term %" PRIu64 "\n"
                          "coltsfootstage_control_committed %" PRIu64 "\n"
                          "coltsfootstage_control_members %zu\n"
                          "coltsfootstage_version %" PRIu64 "\n",
                          cfs_raft_ready (c->raft, now),
                          cfs_raft_term (c->raft), cfs_raft_commit (c->raft),
                          cfs_raft_members (c->raft)->count, c->state.version);
  cfs_log_metrics (out);
}

int
cfs_control_put_document (struct cfs_control *c, uint64_t number,
                          const char *body,
                          void (*ended) (void *tag, bool done), void *tag,
                          int64_t now)
{
  Cfs__Command cmd = CFS__COMMAND__INIT;
  Cfs__Document d = CFS__DOCUMENT__INIT;

  if (!cfs_raft_ready (c->raft, now))
    return CFS_NOT_LEADER;
  d.number = number;
  d.body = (char *)body;
  d.when_ms = cfs_wall_ms ();
  cmd.body_case = CFS__COMMAND__BODY_DOCUMENT;
  cmd.document = &d;
  return wait_for (c, control_propose (c, &cmd), ended, tag, now);
}

static bool
is_changed (const struct cfs_target *row, const struct cfs_target *report)
{
  return !row || row->born != report->born || row->gone
         || row->primary != report->primary
         || row->draining != report->draining || row->slots != report->slots
         || strcmp (row->address, report->address) != 0
         || strcmp (row->service, report->service) != 0
         || strcmp (row->zone, report->zone) != 0;
}

/* Notes the report.  Returns whether it is the newest of its sender. */
static bool
note_beat (struct cfs_control *c, const struct cfs_target *report, int64_t now)
{
  struct beat *b = cfs_table_add (&c->fleet.beats, report->id);

  if (report->born < b->born
      || (report->born == b->born && report->sequence <= b->sequence))
    return false;
  b->born = report->born;
  b->sequence = report->sequence;
  b->heard_at = now;
  return true;
}

int
cfs_control_report_target (struct cfs_control *c,
                           const struct cfs_target *report,
                           void (*ended) (void *tag, bool done), void *tag,
                           int64_t now)
{
  const struct cfs_target *row
      = cfs_table_find (&c->state.targets, report->id);
  struct cfs_target next = *report;
  bool newest;

  if (!cfs_raft_ready (c->raft, now))
    return CFS_NOT_LEADER;
  if (row && report->born < row->born)
    return CFS_BAD;
  newest = note_beat (c, report, now);
  if (row && row->born == report->born)
    {
      if (row->gone && report->sequence <= row->sequence)
        return CFS_BAD;
      if (next.sequence <= row->sequence)
        next.sequence = row->sequence + 1;
      next.draining |= row->draining;
      if (!newest)
        next.primary = row->primary;
    }
  if (!is_changed (row, &next))
    {
      ended (tag, true);
      return CFS_OK;
    }
  return wait_for (c, propose_target (c, &next), ended, tag, now);
}

int
cfs_control_remove_target (struct cfs_control *c, const char *id,
                           void (*ended) (void *tag, bool done), void *tag,
                           int64_t now)
{
  const struct cfs_target *row = cfs_table_find (&c->state.targets, id);
  const struct beat *b = cfs_table_find (&c->fleet.beats, id);
  struct cfs_target next;

  if (!cfs_raft_ready (c->raft, now))
    return CFS_NOT_LEADER;
  if (!row || row->gone)
    {
      ended (tag, true);
      return CFS_OK;
    }
  next = *row;
  next.gone = true;
  if (b && b->born == next.born && b->sequence > next.sequence)
    next.sequence = b->sequence;
  next.sequence++;
  return wait_for (c, propose_target (c, &next), ended, tag, now);
}
