/*
 * One state machine per service, see enum failover_phase.  Replicas stay
 * paused until the new primary has reported itself as such, because an
 * accepted promotion takes effect later.  Nothing here has to survive a
 * restart: a new leader finds the open failover in the replicated state and
 * restarts it with a higher fencing token.
 */
#include "failover_int.h"

#include "log.h"
#include "placement.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART "failover"
/* A primary that has not replied for this time is replaced even when no host
   reports it as unreachable. */
#define PRIMARY_TIMEOUT_ALONE_US (3500 * CFS_US_PER_MS)
/* A new leader starts no failover for this time, so that hosts and instances
   can report to it first. */
#define NEW_LEADER_WAIT_US (800 * CFS_US_PER_MS)
/* Time-out for committing a fencing token. */
#define COMMIT_TIMEOUT_US (3 * CFS_US_PER_S)
/* Time-out for the result of a promotion request. */
#define PROMOTION_TIMEOUT_US (3200 * CFS_US_PER_MS)
/* Time-out for the candidate to report itself as primary. */
#define CONFIRM_TIMEOUT_US (3 * CFS_US_PER_S)
/* Connection failures in a row after which a primary counts as down. */
#define CONNECT_FAILURES_MAX 2
/* A primary that replies to the leader is replaced only after hosts have
   reported it as unreachable for this time. */
#define SUSPECT_MIN_US (500 * CFS_US_PER_MS)
/* Minimum time between the end of a failover and the next. */
#define COOLDOWN_US (1500 * CFS_US_PER_MS)
/* The same after one that kept a primary in an evacuated zone: another
   instance may have its log at the next attempt, and the time is limited.
   Doubles up to the maximum, because each attempt writes log entries. */
#define EVACUATION_RETRY_US (500 * CFS_US_PER_MS)
#define EVACUATION_RETRY_MAX_US (2 * CFS_US_PER_S)
/* The same after the promotion of a draining instance. */
#define CATCH_UP_US (200 * CFS_US_PER_MS)
/* Fraction of the hosts alive that must report a primary as unreachable: when
   the leader cannot reach it either, and when it replies to the leader. */
#define SUSPECT_FRACTION 0.25
#define SUSPECT_REACHABLE_FRACTION 0.25

struct cfs_failover_manager *
cfs_failover_new (const struct cfs_failover_ops *ops, void *ctx,
                  const struct cfs_target_adapter *adapter,
                  const struct cfs_state *state, int64_t (*clock) (void))
{
  struct cfs_failover_manager *m = cfs_alloc (sizeof *m);

  m->ops = ops;
  m->ctx = ctx;
  m->adapter = adapter;
  m->state = state;
  m->clock = clock;
  return m;
}

void
cfs_failover_prefer (struct cfs_failover_manager *m,
                     bool (*allowed) (void *ctx,
                                      const struct cfs_target *target))
{
  m->allowed = allowed;
}

void
cfs_failover_free (struct cfs_failover_manager *m)
{
  if (!m)
    return;
  for (size_t i = 0; i < m->count; i++)
    {
      failover_close_probes (m->services[i]);
      failover_close_probe (&m->services[i]->primary_probe);
      free (m->services[i]);
    }
  free (m->services);
  free (m);
}

static struct failover_state *
find_or_add_service (struct cfs_failover_manager *m, const char *service)
{
  struct failover_state *f;

  for (size_t i = 0; i < m->count; i++)
    if (strcmp (m->services[i]->service, service) == 0)
      return m->services[i];
  cfs_grow (&m->services, &m->cap, m->count, sizeof *m->services);
  f = cfs_alloc (sizeof *f);
  cfs_copy (f->service, sizeof f->service, service);
  m->services[m->count++] = f;
  return f;
}

static const struct cfs_target *
current_primary (const struct cfs_failover_manager *m,
                 const struct failover_state *f)
{
  return cfs_targets_presumed_primary (&m->state->targets,
                                       &m->state->failovers, f->service);
}

/* Returns why the primary must be replaced, or NULL. */
static const char *
failover_reason (const struct cfs_failover_manager *m,
                 struct failover_state *f, const struct cfs_target *t,
                 int64_t now)
{
  size_t hosts = 0;
  size_t suspects;
  int64_t silent_us;

  if (!t && now - f->no_primary_since > PRIMARY_TIMEOUT_ALONE_US)
    return "no instance is primary";
  if (!t)
    return NULL;
  if (t->draining)
    return "the primary is draining";
  if (cfs_placement_must_move (&m->state->targets, &m->state->evacuations, t))
    return "the zone of the primary is evacuated";
  suspects = m->ops->suspecting_hosts (m->ctx, t->id, &hosts);
  silent_us = now - f->primary_probe.replied_at;
  if (f->not_primary_since && now - f->not_primary_since > PRIMARY_TIMEOUT_US)
    return "the primary reports that it is a replica";
  if (silent_us > PRIMARY_TIMEOUT_ALONE_US)
    return "the primary does not reply";
  if (silent_us > PRIMARY_TIMEOUT_US
      && (double)suspects >= SUSPECT_FRACTION * (double)hosts)
    return "the primary does not reply and hosts cannot reach it";
  if (f->primary_probe.connect_failures >= CONNECT_FAILURES_MAX
      && (double)suspects >= SUSPECT_FRACTION * (double)hosts)
    return "connections to the primary fail and hosts cannot reach it";
  if (suspects < 2
      || (double)suspects < SUSPECT_REACHABLE_FRACTION * (double)hosts)
    f->suspected_since = 0;
  else if (!f->suspected_since)
    f->suspected_since = now;
  if (f->suspected_since && now - f->suspected_since > SUSPECT_MIN_US)
    return "the primary replies, but hosts cannot reach it";
  return NULL;
}

static void
enter_phase (struct failover_state *f, enum failover_phase phase, int64_t now)
{
  f->phase = phase;
  f->phase_started_at = now;
}

/* Proposes a new fencing token and starts the failover over. */
static void
open_failover (struct cfs_failover_manager *m, struct failover_state *f,
               int64_t now)
{
  Cfs__Turn turn = CFS__TURN__INIT;

  failover_close_probes (f);
  memset (&f->proof, 0, sizeof f->proof);
  f->candidate[0] = '\0';
  turn.service = f->service;
  turn.open = true;
  f->log_index = m->ops->propose (m->ctx, &turn);
  f->fence = f->log_index;
  enter_phase (f, f->log_index ? PHASE_OPENING : PHASE_MONITORING, now);
  f->retry_at = now + RETRY_US;
}

static void
close_failover (struct cfs_failover_manager *m, struct failover_state *f,
                int64_t now)
{
  Cfs__Turn turn = CFS__TURN__INIT;

  failover_resume_replicas (f, now);
  turn.service = f->service;
  turn.target = f->candidate;
  turn.fence = f->fence;
  f->log_index = m->ops->propose (m->ctx, &turn);
  enter_phase (f, PHASE_CLOSING, now);
}

/* Logs what is known of an instance when a promotion is requested. */
static void
log_status (const struct failover_state *f, const struct probe *p, int64_t now)
{
  const struct cfs_instance_state *s = &p->status;

  if (!p->status_known)
    cfs_log (CFS_NOTICE, PART, "service=%s target=%s status is not known",
             f->service, p->target);
  else
    cfs_log (CFS_NOTICE, PART,
             "service=%s target=%s paused=%d paused_term=%" PRIu64
             " leads=%d term=%" PRIu64 " position=%" PRIu64 ".%" PRIu64
             " age_ms=%" PRId64,
             f->service, p->target, p->paused, s->paused_term, s->primary,
             s->term, s->received.term, s->received.number,
             (now - p->asked_at) / CFS_US_PER_MS);
}

static void
send_promotion (struct cfs_failover_manager *m, struct failover_state *f,
                const struct probe *candidate, int64_t now)
{
  cfs_copy (f->candidate, sizeof f->candidate, candidate->target);
  f->promotion_sent = true;
  enter_phase (f, PHASE_PROMOTING, now);
  for (size_t i = 0; i < f->probe_count; i++)
    if (*f->probes[i].target)
      log_status (f, &f->probes[i], now);
  cfs_log (CFS_NOTICE, PART,
           "service=%s target=%s fence=%" PRIu64
           " promotion requested, took_ms=%" PRId64,
           f->service, f->candidate, f->fence,
           (now - f->started_at) / CFS_US_PER_MS);
  m->ops->promote (m->ctx, f->service, f->candidate, f->fence);
}

/* Keeps an instance that is primary without the leader's knowledge.  An
   earlier promotion request that may still be carried out is superseded by
   one for this instance. */
static void
accept_primary (struct cfs_failover_manager *m, struct failover_state *f,
                const struct probe *primary, int64_t now)
{
  if (f->promotion_sent)
    {
      send_promotion (m, f, primary, now);
      return;
    }
  cfs_log (CFS_NOTICE, PART, "service=%s target=%s is already primary",
           f->service, primary->target);
  cfs_copy (f->candidate, sizeof f->candidate, primary->target);
  close_failover (m, f, now);
}

static void
log_missing_status (const struct failover_state *f)
{
  for (size_t i = 0; i < f->probe_count; i++)
    if (*f->probes[i].target && !f->probes[i].status_known)
      cfs_log (CFS_NOTICE, PART,
               "service=%s target=%s has not reported its status, up=%d",
               f->service, f->probes[i].target, f->probes[i].connected);
}

/* Whether another instance than the one to replace is certain to lead, also
   one that is presumed the primary only since the failover began.  It says so
   itself, to a query of this failover, and only a promotion can change that.
   While a request of an earlier attempt may still be carried out, all others
   must be paused as well. */
static bool
another_leads (const struct failover_state *f,
               const struct probe_summary *summary)
{
  if (!summary->primary
      || strcmp (summary->primary->target, f->former_primary) == 0)
    return false;
  return !f->promotion_sent || summary->paused + 1 >= summary->known;
}

/* When all known instances but one are paused replicas, the remaining one is
   the primary or there is none. */
static void
run_pausing (struct cfs_failover_manager *m, struct failover_state *f,
             int64_t now)
{
  const struct cfs_target *primary = current_primary (m, f);
  struct probe_summary summary;
  const struct probe *candidate = NULL;

  failover_await_acks (m, f, now);
  summary = failover_poll_instances (m, f, now);

  if (another_leads (f, &summary))
    {
      accept_primary (m, f, summary.primary, now);
      return;
    }
  if (summary.paused > 0 && summary.paused + 1 >= summary.known)
    candidate = failover_safe_candidate (m, f, &summary, now);
  if (candidate)
    {
      if (!failover_awaits_better (m, f, candidate, now))
        send_promotion (m, f, candidate, now);
      return;
    }
  if (now - f->phase_started_at < PAUSE_TIMEOUT_US)
    return;
  log_missing_status (f);
  if (f->promotion_sent || summary.demoted || !primary
      || failover_reason (m, f, primary, now))
    {
      f->phase_started_at = now;
      return;
    }
  cfs_log (CFS_NOTICE, PART,
           "service=%s failover cancelled, target=%s is still primary",
           f->service, primary->id);
  close_failover (m, f, now);
}

/* A primary that still replies is demoted before the replicas are paused. */
static void
begin_pausing (struct cfs_failover_manager *m, struct failover_state *f,
               int64_t now)
{
  const struct cfs_target *primary = current_primary (m, f);
  const struct probe *p = &f->primary_probe;
  bool replies;

  if (*f->replaced && !f->promotion_sent)
    cfs_copy (f->former_primary, sizeof f->former_primary, f->replaced);
  else
    cfs_copy (f->former_primary, sizeof f->former_primary,
              primary ? primary->id : "");
  replies = p->connected && p->status_known
            && strcmp (p->target, f->former_primary) == 0
            && now - p->replied_at < PRIMARY_TIMEOUT_US;
  f->former_incarnation = replies && p->status.primary ? p->incarnation : 0;
  f->former_position = p->position;
  f->pause_at = replies ? now + DEMOTE_TIMEOUT_US : now;
  enter_phase (f, PHASE_PAUSING, now);
  run_pausing (m, f, now);
}

/* Hosts stay stopped while the failover is begun again. */
static void
note_opened (struct failover_state *f, int64_t now)
{
  if (f->opened_at)
    return;
  f->opened_at = now;
  f->opened_index = f->log_index;
}

static void
run_opening (struct cfs_failover_manager *m, struct failover_state *f,
             uint64_t committed, int64_t now)
{
  if (committed >= f->log_index)
    {
      note_opened (f, now);
      begin_pausing (m, f, now);
    }
  else if (now - f->phase_started_at > COMMIT_TIMEOUT_US)
    enter_phase (f, PHASE_MONITORING, now);
}

/* Time until the next failover.  A draining instance is promoted only as the
   source of its log, so the next failover follows as soon as others can have
   received that.  A primary in an evacuated zone that was promoted because it
   alone had the log is moved on at once. */
static int64_t
cooldown_us (const struct cfs_failover_manager *m, struct failover_state *f)
{
  const struct cfs_target *t
      = cfs_table_find (&m->state->targets, f->candidate);
  bool moves_on = t
                  && cfs_placement_must_move (&m->state->targets,
                                              &m->state->evacuations, t);

  if (t && t->draining)
    return CATCH_UP_US;
  if (!moves_on || strcmp (f->candidate, f->former_primary) != 0)
    {
      f->evacuation_pause = 0;
      return moves_on ? 0 : COOLDOWN_US;
    }
  f->evacuation_pause
      = f->evacuation_pause ? f->evacuation_pause * 2 : EVACUATION_RETRY_US;
  if (f->evacuation_pause > EVACUATION_RETRY_MAX_US)
    f->evacuation_pause = EVACUATION_RETRY_MAX_US;
  return f->evacuation_pause;
}

static void
run_closing (const struct cfs_failover_manager *m, struct failover_state *f,
             uint64_t committed, int64_t now)
{
  failover_resume_replicas (f, now);
  if ((committed < f->log_index || failover_query_pending (f))
      && now - f->phase_started_at < COMMIT_TIMEOUT_US)
    return;
  failover_close_probes (f);
  f->promotion_sent = false;
  f->retry_at = now + cooldown_us (m, f);
  enter_phase (f, PHASE_MONITORING, now);
}

/* Waits until the candidate reports itself as primary, to a query sent after
   the promotion was accepted: a candidate that was demoted before has reported
   so earlier.  The failover is closed only after the replicas have been
   resumed: a leader that takes over earlier repeats the whole failover. */
static void
run_confirming (struct cfs_failover_manager *m, struct failover_state *f,
                int64_t now)
{
  const struct cfs_target *t
      = cfs_table_find (&m->state->targets, f->candidate);

  if (t)
    failover_watch_primary (m, f, t, now);
  if (t && f->primary_probe.status_known && f->primary_probe.status.primary
      && f->primary_probe.position_asked_at >= f->phase_started_at)
    {
      cfs_log (CFS_NOTICE, PART,
               "service=%s target=%s is primary, took_ms=%" PRId64, f->service,
               t->id, (now - f->started_at) / CFS_US_PER_MS);
      close_failover (m, f, now);
    }
  else if (now - f->phase_started_at > CONFIRM_TIMEOUT_US)
    open_failover (m, f, now);
}

/* Whether a primary that leads is replaced because it is to leave its place.
 */
static bool
is_planned (const struct cfs_failover_manager *m,
            const struct failover_state *f, const struct cfs_target *t,
            int64_t now)
{
  const struct probe *p = &f->primary_probe;

  return t && p->status_known && p->status.primary
         && now - p->replied_at < PRIMARY_TIMEOUT_US
         && (t->draining
             || cfs_placement_must_move (&m->state->targets,
                                         &m->state->evacuations, t));
}

static void
run_monitoring (struct cfs_failover_manager *m, struct failover_state *f,
                int64_t now)
{
  const struct cfs_failover *failover
      = cfs_table_find (&m->state->failovers, f->service);
  const struct cfs_target *t = current_primary (m, f);
  const char *reason;

  if (t)
    {
      failover_watch_primary (m, f, t, now);
      f->no_primary_since = 0;
    }
  else if (!f->no_primary_since)
    f->no_primary_since = now;
  failover_prove_departures (m, f, t, now);
  failover_end_stray_pauses (m, f, now);
  if (now - m->leader_since < NEW_LEADER_WAIT_US || now < f->retry_at)
    return;
  reason = failover && failover->open ? "an earlier failover is unfinished"
                                      : failover_reason (m, f, t, now);
  if (!reason)
    return;
  cfs_log (CFS_NOTICE, PART, "service=%s target=%s failover starts: %s",
           f->service, t ? t->id : "-", reason);
  f->promotion_sent = failover && failover->open;
  f->started_at = now;
  f->opened_at = 0;
  f->acks_stopped_at = 0;
  memset (&f->acked, 0, sizeof f->acked);
  cfs_copy (f->replaced, sizeof f->replaced,
            is_planned (m, f, t, now) ? t->id : "");
  memset (&f->waits_for, 0, sizeof f->waits_for);
  memset (&f->waits_at, 0, sizeof f->waits_at);
  open_failover (m, f, now);
}

static void
run_service (struct cfs_failover_manager *m, struct failover_state *f,
             uint64_t committed, int64_t now)
{
  switch (f->phase)
    {
    case PHASE_MONITORING:
      run_monitoring (m, f, now);
      break;
    case PHASE_OPENING:
      run_opening (m, f, committed, now);
      break;
    case PHASE_PAUSING:
      run_pausing (m, f, now);
      break;
    case PHASE_PROMOTING:
      if (now - f->phase_started_at > PROMOTION_TIMEOUT_US)
        open_failover (m, f, now);
      break;
    case PHASE_CLOSING:
      run_closing (m, f, committed, now);
      break;
    case PHASE_CONFIRMING:
      run_confirming (m, f, now);
      break;
    }
}

static void
lose_leadership (struct cfs_failover_manager *m)
{
  for (size_t i = 0; i < m->count; i++)
    {
      struct failover_state *f = m->services[i];

      failover_close_probes (f);
      failover_close_probe (&f->primary_probe);
      memset (&f->primary_probe, 0, sizeof f->primary_probe);
      memset (&f->proof, 0, sizeof f->proof);
      memset (&f->seen, 0, sizeof f->seen);
      f->phase = PHASE_MONITORING;
    }
}

void
cfs_failover_tick (struct cfs_failover_manager *m, bool is_leader,
                   uint64_t committed, int64_t now)
{
  if (is_leader && !m->is_leader)
    m->leader_since = now;
  if (!is_leader && m->is_leader)
    lose_leadership (m);
  m->is_leader = is_leader;
  if (!is_leader)
    return;
  for (size_t i = 0; i < m->state->targets.count; i++)
    {
      const struct cfs_target *t = cfs_table_at (&m->state->targets, i);

      if (!t->gone)
        find_or_add_service (m, t->service);
    }
  for (size_t i = 0; i < m->count; i++)
    run_service (m, m->services[i], committed, now);
}

void
cfs_failover_promotion_result (struct cfs_failover_manager *m,
                               const char *service, uint64_t fence,
                               enum cfs_promotion_result result)
{
  struct failover_state *f = find_or_add_service (m, service);
  int64_t now = m->clock ();

  cfs_log (CFS_NOTICE, PART,
           "service=%s target=%s fence=%" PRIu64
           " promotion result=%d took_ms=%" PRId64,
           service, f->candidate, fence, (int)result,
           (now - f->started_at) / CFS_US_PER_MS);
  if (!m->is_leader || f->phase != PHASE_PROMOTING || f->fence != fence)
    return;
  if (result != PROMOTION_ACCEPTED)
    {
      open_failover (m, f, now);
      return;
    }
  enter_phase (f, PHASE_CONFIRMING, now);
}
