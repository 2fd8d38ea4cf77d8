/*
 * Failover.  The gate itself stops executing writes first, so no other party
 * has to confirm a freeze.  The control group then grants a new term, and
 * never grants the same term twice.  The positions of enough instances show
 * which one has every acknowledged write, and that one is promoted.  Writes
 * resume only after the control group has recorded the term and the position
 * at which it starts.
 */
#include "gate_int.h"

void
promote_set_phase (struct cfs_gate *g, enum cfs_gate_phase phase, int64_t now)
{
  g->phase = phase;
  g->phase_since = now;
  g->stall_since = now;
}

/* Whether the primary has not replied to probes for too long.  Time before
   this process resumed from a suspension does not count. */
static bool
primary_unresponsive (const struct cfs_gate *g, unsigned primary, int64_t now)
{
  const struct gate_instance *in = &g->inst[primary];
  int64_t since = in->last_probe_reply_at;

  if (g->resumed_at > since)
    since = g->resumed_at;
  if (g->phase_since > since)
    since = g->phase_since;
  return now - since > g->tuning.primary_timeout_us;
}

static uint64_t
best_replica_position (const struct cfs_gate *g, int primary)
{
  uint64_t best = 0;

  for (unsigned i = 0; i < g->inst_count; i++)
    if ((int)i != primary && g->inst[i].term == g->group.term
        && g->inst[i].position > best)
      best = g->inst[i].position;
  return best;
}

/* Whether writes wait for replicas and no replica makes progress, although
   enough of them are reachable to promote one. */
static bool
replication_stalled (struct cfs_gate *g, int primary, int64_t now)
{
  uint64_t best = best_replica_position (g, primary);
  unsigned reached = 0;

  if (g->pending_ack_count == 0 || best != g->stall_position)
    {
      g->stall_position = best;
      g->stall_since = now;
      return false;
    }
  for (unsigned i = 0; i < g->inst_count; i++)
    reached += (int)i != primary
               && now - g->inst[i].last_probe_reply_at
                      < g->tuning.reachable_timeout_us;
  return now - g->stall_since > g->tuning.replication_stall_us
         && reached > g->size - gate_majority (g);
}

/* Whether a failover is needed: the primary is unknown, has finished its work
   before leaving or ran out of time for it, does not accept writes in the
   current term, does not reply to probes, or has stopped replicating. */
static bool
primary_failed (struct cfs_gate *g, int64_t now)
{
  int primary = gate_primary (g);
  const struct gate_instance *in;

  if (primary < 0)
    return now - g->phase_since > g->tuning.primary_timeout_us;
  in = &g->inst[primary];
  if (in->leaving
      && now - in->leaving_since > g->tuning.primary_leave_timeout_us)
    return true;
  if (in->leaving
      && in->running + in->pinned_conns + g->pending_ack_count == 0)
    return true;
  if (in->answered_probe_sent_at > g->phase_since
      && (in->term != g->group.term || !in->primary))
    return true;
  return primary_unresponsive (g, (unsigned)primary, now)
         || replication_stalled (g, primary, now);
}

/* Log position up to which an instance is known to share the history of the
   current term.  The history of an instance in an older term may diverge
   after the start of the next term; that of an instance in a term that the
   control group never recorded diverges after the start of that term. */
static uint64_t
shared_position (const struct cfs_gate *g, const struct gate_instance *in)
{
  uint64_t limit = in->position;

  if (in->term > g->group.term)
    return in->start < limit ? in->start : limit;
  for (size_t i = 0; i < g->group.branch_count; i++)
    if (g->group.branches[i].term > in->term
        && g->group.branches[i].start < limit)
      limit = g->group.branches[i].start;
  return limit;
}

/* Whether a is a better candidate than b: it has more of the history or,
   with the same position, it is not leaving or is in the current term. */
static bool
preferred_over (const struct cfs_gate *g, const struct gate_instance *a,
                const struct gate_instance *b)
{
  uint64_t x = shared_position (g, a);
  uint64_t y = shared_position (g, b);

  if (x != y)
    return x > y;
  if (a->leaving != b->leaving)
    return b->leaving;
  return a->term == g->group.term && b->term != g->group.term;
}

/* Returns an instance that has every acknowledged write, or -1 while too few
   have replied since the term was granted.  An acknowledged write is on a
   majority of the instances, so any n - majority + 1 of them include one
   that has it.  The former primary is selected again only if too few others
   reply in time. */
static int
select_candidate (const struct cfs_gate *g, int64_t now)
{
  int primary = gate_primary (g);
  int best = -1;
  int best_any = -1;
  unsigned answered = 0;
  unsigned answered_others = 0;

  for (unsigned i = 0; i < g->inst_count; i++)
    {
      const struct gate_instance *in = &g->inst[i];

      if (in->answered_probe_sent_at < g->phase_since
          || in->last_probe_reply_at < g->phase_since)
        continue;
      answered++;
      if (best_any < 0 || preferred_over (g, in, &g->inst[best_any]))
        best_any = (int)i;
      if ((int)i == primary)
        continue;
      answered_others++;
      if (best < 0 || preferred_over (g, in, &g->inst[best]))
        best = (int)i;
    }
  if (answered_others > g->size - gate_majority (g) && best >= 0)
    return best;
  if (now - g->phase_since < g->tuning.former_primary_wait_us)
    return -1;
  return answered >= gate_majority (g) ? best_any : -1;
}

static void
start_promotion (struct cfs_gate *g, int64_t now)
{
  int best = select_candidate (g, now);

  if (best < 0)
    return;
  g->candidate = (unsigned)best;
  g->candidate_position = shared_position (g, &g->inst[best]);
  g->candidate_current = g->inst[best].term == g->group.term;
  g->used_term = g->group.granted_term;
  promote_set_phase (g, PHASE_PROMOTING, now);
  g->ops->promote (g->ctx, g->candidate, g->group.granted_term);
}

static void
check_promotion (struct cfs_gate *g, int64_t now)
{
  const struct gate_instance *in = &g->inst[g->candidate];

  if (in->primary && in->term == g->group.granted_term
      && in->answered_probe_sent_at >= g->phase_since)
    {
      g->promoted_start
          = g->candidate_current ? in->start : g->candidate_position;
      g->stats.promotions++;
      promote_set_phase (g, PHASE_CONFIRMING, now);
      return;
    }
  if (now - g->phase_since > g->tuning.primary_timeout_us)
    promote_set_phase (g, PHASE_REQUESTING_TERM, now);
}

void
promote_tick (struct cfs_gate *g, int64_t now)
{
  bool granted = g->group.granted_epoch == g->epoch
                 && g->group.granted_term > g->group.term
                 && g->group.granted_term > g->used_term;

  if (!gate_lease_valid (g, now) || g->group.term == 0)
    return;
  switch (g->phase)
    {
    case PHASE_IDLE:
      promote_set_phase (g,
                         g->group.granted_term > g->group.term
                             ? PHASE_REQUESTING_TERM
                             : PHASE_SERVING,
                         now);
      break;
    case PHASE_SERVING:
      if (primary_failed (g, now))
        promote_set_phase (g, PHASE_REQUESTING_TERM, now);
      break;
    case PHASE_REQUESTING_TERM:
      if (granted)
        promote_set_phase (g, PHASE_SELECTING, now);
      break;
    case PHASE_SELECTING:
      start_promotion (g, now);
      break;
    case PHASE_PROMOTING:
      check_promotion (g, now);
      break;
    case PHASE_CONFIRMING:
      break;
    }
}
