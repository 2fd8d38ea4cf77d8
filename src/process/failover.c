/*
 * One state machine a service: steady, opening (the token is on its way
 * through the log), pausing, ordering, confirming, closing.  Replicas stay
 * paused until the new primary has been seen leading, because an accepted
 * order takes effect later.  It holds nothing that must
 * survive: a new leader finds the open change in the replicated state and
 * starts it over with a higher token.
 */
#include "failover_int.h"

#include "log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART "succession"
/* Without hosts that suspect it, too, for this time. */
#define SILENT_ALONE_US (3500 * CFS_US_PER_MS)
/* A leader waits this long after it took over, to hear from all. */
#define SETTLE_US (800 * CFS_US_PER_MS)
/* Time for all replicas to be paused. */
#define PAUSE_MAX_US (900 * CFS_US_PER_MS)
/* Time for the log to commit a token. */
#define COMMIT_MAX_US (3 * CFS_US_PER_S)
/* Time for an order to be answered. */
#define ORDER_MAX_US (3200 * CFS_US_PER_MS)
/* Time for the chosen instance to be seen leading. */
#define CONFIRM_MAX_US (3 * CFS_US_PER_S)
/* Connections in a row that failed before a primary counts as down. */
#define FAILURES_MAX 2
/* Hosts must go on to suspect a primary that answers for this time. */
#define SUSPECTED_US (500 * CFS_US_PER_MS)
/* No change starts for this time after one has ended. */
#define REST_US (1500 * CFS_US_PER_MS)
/* Parts of the hosts alive that must suspect a primary: one that the leader
   cannot reach either, and one that answers the leader. */
#define SUSPECT_PART 0.25
#define SUSPECT_ALONE_PART 0.25

struct cfs_failover_manager *
cfs_failover_new (const struct cfs_failover_ops *ops, void *ctx,
                  const struct cfs_target_adapter *edge,
                  const struct cfs_state *state, int64_t (*clock) (void))
{
  struct cfs_failover_manager *s = cfs_alloc (sizeof *s);

  s->ops = ops;
  s->ctx = ctx;
  s->edge = edge;
  s->state = state;
  s->clock = clock;
  return s;
}

void
cfs_failover_free (struct cfs_failover_manager *s)
{
  if (!s)
    return;
  for (size_t i = 0; i < s->count; i++)
    {
      failover_close_probes (s->reigns[i]);
      failover_close_probe (&s->reigns[i]->watch);
      free (s->reigns[i]);
    }
  free (s->reigns);
  free (s);
}

static struct failover_state *
reign_of (struct cfs_failover_manager *s, const char *service)
{
  struct failover_state *r;

  for (size_t i = 0; i < s->count; i++)
    if (strcmp (s->reigns[i]->service, service) == 0)
      return s->reigns[i];
  cfs_grow (&s->reigns, &s->cap, s->count, sizeof *s->reigns);
  r = cfs_alloc (sizeof *r);
  cfs_copy (r->service, sizeof r->service, service);
  s->reigns[s->count++] = r;
  return r;
}

static const struct cfs_target *
primary_of (const struct cfs_failover_manager *s,
            const struct failover_state *r)
{
  return cfs_targets_primary (&s->state->targets, &s->state->turns,
                              r->service);
}

/* Why the primary is to be replaced, or NULL. */
static const char *
reason_to_change (const struct cfs_failover_manager *s,
                  struct failover_state *r, const struct cfs_target *t,
                  int64_t now)
{
  size_t hosts = 0;
  size_t suspects;
  int64_t silent;

  if (!t && now - r->leaderless_at > SILENT_ALONE_US)
    return "no instance leads";
  if (!t)
    return NULL;
  if (t->draining)
    return "the primary leaves";
  suspects = s->ops->suspected (s->ctx, t->id, &hosts);
  silent = now - r->watch.answered_at;
  if (r->denied_at && now - r->denied_at > SILENT_US)
    return "the primary says that it does not lead";
  if (silent > SILENT_ALONE_US)
    return "the primary is silent";
  if (silent > SILENT_US && (double)suspects >= SUSPECT_PART * (double)hosts)
    return "the primary is silent, hosts cannot reach it";
  if (r->watch.failures >= FAILURES_MAX
      && (double)suspects >= SUSPECT_PART * (double)hosts)
    return "the primary takes no connections";
  if (suspects < 2 || (double)suspects < SUSPECT_ALONE_PART * (double)hosts)
    r->suspected_at = 0;
  else if (!r->suspected_at)
    r->suspected_at = now;
  if (r->suspected_at && now - r->suspected_at > SUSPECTED_US)
    return "hosts cannot use the primary";
  return NULL;
}

static void
enter (struct failover_state *r, enum phase phase, int64_t now)
{
  r->phase = phase;
  r->since = now;
}

/* Puts a new token into the log; everything starts over from there. */
static void
open_turn (struct cfs_failover_manager *s, struct failover_state *r,
           int64_t now)
{
  Cfs__Turn turn = CFS__TURN__INIT;

  failover_close_probes (r);
  r->chosen[0] = '\0';
  turn.service = r->service;
  turn.open = true;
  r->index = s->ops->propose (s->ctx, &turn);
  r->fence = r->index;
  enter (r, r->index ? PHASE_OPENING : PHASE_STEADY, now);
  r->retry_at = now + RETRY_US;
}

static void
close_turn (struct cfs_failover_manager *s, struct failover_state *r,
            int64_t now)
{
  Cfs__Turn turn = CFS__TURN__INIT;

  turn.service = r->service;
  turn.target = r->chosen;
  turn.fence = r->fence;
  r->index = s->ops->propose (s->ctx, &turn);
  enter (r, PHASE_CLOSING, now);
}

/* The longest log; among equals one that stays and did not lead, because
   there was a reason to replace that.  The log of the instance
   that stepped down is compared, too: it may be the only known copy. */
static const struct probe *
choose (const struct cfs_failover_manager *s, const struct failover_state *r,
        int64_t now)
{
  const struct probe *best = NULL;
  bool best_stays = false;

  for (size_t i = 0; i < r->probe_count; i++)
    {
      const struct probe *p = &r->probes[i];
      const struct cfs_target *t
          = cfs_table_find (&s->state->targets, p->target);
      bool stays = t && !t->draining && strcmp (t->id, r->former) != 0;
      int order = best ? cfs_position_compare (&p->status.received,
                                               &best->status.received)
                       : 1;

      bool paused = p->paused && now - p->answered_at < ANSWER_FRESH_US;

      if ((!paused && !p->demoted) || order < 0
          || (order == 0 && (best_stays || !stays)))
        continue;
      best = p;
      best_stays = stays;
    }
  return best;
}

static void
send_order (struct cfs_failover_manager *s, struct failover_state *r,
            const struct probe *chosen, int64_t now)
{
  cfs_copy (r->chosen, sizeof r->chosen, chosen->target);
  r->ordered = true;
  enter (r, PHASE_ORDERING, now);
  for (size_t i = 0; i < r->probe_count; i++)
    if (*r->probes[i].target)
      cfs_log (CFS_NOTICE, PART,
               "service=%s target=%s paused=%d leads=%d position=%" PRIu64
               ".%" PRIu64,
               r->service, r->probes[i].target, r->probes[i].paused,
               r->probes[i].read && r->probes[i].status.primary,
               r->probes[i].status.received.term,
               r->probes[i].status.received.number);
  cfs_log (CFS_NOTICE, PART,
           "service=%s target=%s fence=%" PRIu64
           " is ordered to lead, took_ms=%" PRId64,
           r->service, r->chosen, r->fence,
           (now - r->started_at) / CFS_US_PER_MS);
  s->ops->order (s->ctx, r->service, r->chosen, r->fence);
}

/* Another instance leads than this host thought: it stays.  An order that
   may still be carried out is overtaken by one for the same instance. */
static void
accept_leader (struct cfs_failover_manager *s, struct failover_state *r,
               const struct probe *leads, int64_t now)
{
  if (r->ordered)
    {
      send_order (s, r, leads, now);
      return;
    }
  cfs_log (CFS_NOTICE, PART, "service=%s target=%s leads already", r->service,
           leads->target);
  cfs_copy (r->chosen, sizeof r->chosen, leads->target);
  failover_resume_replicas (r, now);
  close_turn (s, r, now);
}

static void
log_missing (const struct failover_state *r)
{
  for (size_t i = 0; i < r->probe_count; i++)
    if (*r->probes[i].target && !r->probes[i].read)
      cfs_log (CFS_NOTICE, PART, "service=%s target=%s is not paused, up=%d",
               r->service, r->probes[i].target, r->probes[i].up);
}

/* An acknowledged commit is on the true primary and on one other instance.
   When all but one are paused replicas, the one left out is the primary, or
   there is none: the paused ones then have every acknowledged commit. */
static void
run_pausing (struct cfs_failover_manager *s, struct failover_state *r,
             int64_t now)
{
  const struct cfs_target *primary = primary_of (s, r);
  struct probe_summary c = failover_poll_instances (s, r, now);
  bool other
      = c.leads && (!primary || strcmp (c.leads->target, primary->id) != 0);

  if (other && c.paused + 1 >= c.known)
    {
      accept_leader (s, r, c.leads, now);
      return;
    }
  if (c.paused > 0 && c.paused + 1 >= c.known)
    {
      send_order (s, r, choose (s, r, now), now);
      return;
    }
  if (now - r->since < PAUSE_MAX_US)
    return;
  log_missing (r);
  if (r->ordered || c.demoted || !primary
      || reason_to_change (s, r, primary, now))
    {
      r->since = now;
      return;
    }
  cfs_log (CFS_NOTICE, PART, "service=%s change given up, target=%s leads",
           r->service, primary->id);
  failover_resume_replicas (r, now);
  close_turn (s, r, now);
}

/* An instance that answers as the primary steps down first. */
static void
begin_pausing (struct cfs_failover_manager *s, struct failover_state *r,
               int64_t now)
{
  const struct cfs_target *primary = primary_of (s, r);
  bool answers = primary && r->watch.up && r->watch.read
                 && strcmp (r->watch.target, primary->id) == 0
                 && now - r->watch.answered_at < SILENT_US;

  cfs_copy (r->former, sizeof r->former, primary ? primary->id : "");
  r->pause_from = answers ? now + DEMOTE_MAX_US : now;
  enter (r, PHASE_PAUSING, now);
  run_pausing (s, r, now);
}

static void
run_opening (struct cfs_failover_manager *s, struct failover_state *r,
             uint64_t committed, int64_t now)
{
  if (committed >= r->index)
    begin_pausing (s, r, now);
  else if (now - r->since > COMMIT_MAX_US)
    enter (r, PHASE_STEADY, now);
}

static void
run_closing (struct failover_state *r, uint64_t committed, int64_t now)
{
  if ((committed < r->index || failover_query_pending (r))
      && now - r->since < COMMIT_MAX_US)
    return;
  failover_close_probes (r);
  r->ordered = false;
  r->retry_at = now + REST_US;
  enter (r, PHASE_STEADY, now);
}

/* Waits until the chosen instance has answered that it leads.  The change is
   closed behind the resumption of the replicas: a leader that takes over
   before that goes through all of it again. */
static void
run_confirming (struct cfs_failover_manager *s, struct failover_state *r,
                int64_t now)
{
  const struct cfs_target *t = cfs_table_find (&s->state->targets, r->chosen);

  if (t)
    failover_watch_primary (s, r, t, now);
  if (t && r->watch.read && r->watch.status.primary)
    {
      cfs_log (CFS_NOTICE, PART,
               "service=%s target=%s leads, took_ms=%" PRId64, r->service,
               t->id, (now - r->started_at) / CFS_US_PER_MS);
      failover_resume_replicas (r, now);
      close_turn (s, r, now);
    }
  else if (now - r->since > CONFIRM_MAX_US)
    open_turn (s, r, now);
}

static void
run_steady (struct cfs_failover_manager *s, struct failover_state *r,
            int64_t now)
{
  const struct cfs_failover *turn
      = cfs_table_find (&s->state->turns, r->service);
  const struct cfs_target *t = primary_of (s, r);
  const char *reason;

  if (t)
    {
      failover_watch_primary (s, r, t, now);
      r->leaderless_at = 0;
    }
  else if (!r->leaderless_at)
    r->leaderless_at = now;
  if (now - s->led_since < SETTLE_US || now < r->retry_at)
    return;
  reason = turn && turn->open ? "a change is not ended"
                              : reason_to_change (s, r, t, now);
  if (!reason)
    return;
  cfs_log (CFS_NOTICE, PART, "service=%s target=%s is replaced: %s",
           r->service, t ? t->id : "-", reason);
  r->ordered = turn && turn->open;
  r->started_at = now;
  open_turn (s, r, now);
}

static void
run_reign (struct cfs_failover_manager *s, struct failover_state *r,
           uint64_t committed, int64_t now)
{
  switch (r->phase)
    {
    case PHASE_STEADY:
      run_steady (s, r, now);
      break;
    case PHASE_OPENING:
      run_opening (s, r, committed, now);
      break;
    case PHASE_PAUSING:
      run_pausing (s, r, now);
      break;
    case PHASE_ORDERING:
      if (now - r->since > ORDER_MAX_US)
        open_turn (s, r, now);
      break;
    case PHASE_CLOSING:
      run_closing (r, committed, now);
      break;
    case PHASE_CONFIRMING:
      run_confirming (s, r, now);
      break;
    }
}

static void
stop_leading (struct cfs_failover_manager *s)
{
  for (size_t i = 0; i < s->count; i++)
    {
      struct failover_state *r = s->reigns[i];

      failover_close_probes (r);
      failover_close_probe (&r->watch);
      memset (&r->watch, 0, sizeof r->watch);
      r->phase = PHASE_STEADY;
    }
}

void
cfs_failover_tick (struct cfs_failover_manager *s, bool leads,
                   uint64_t committed, int64_t now)
{
  if (leads && !s->leads)
    s->led_since = now;
  if (!leads && s->leads)
    stop_leading (s);
  s->leads = leads;
  if (!leads)
    return;
  for (size_t i = 0; i < s->state->targets.count; i++)
    {
      const struct cfs_target *t = cfs_table_at (&s->state->targets, i);

      if (!t->gone)
        reign_of (s, t->service);
    }
  for (size_t i = 0; i < s->count; i++)
    run_reign (s, s->reigns[i], committed, now);
}

void
cfs_failover_promotion_result (struct cfs_failover_manager *s,
                               const char *service, uint64_t fence,
                               enum cfs_promotion_result result)
{
  struct failover_state *r = reign_of (s, service);
  int64_t now = s->clock ();

  cfs_log (CFS_NOTICE, PART,
           "service=%s target=%s fence=%" PRIu64
           " order result=%d took_ms=%" PRId64,
           service, r->chosen, fence, (int)result,
           (now - r->started_at) / CFS_US_PER_MS);
  if (!s->leads || r->phase != PHASE_ORDERING || r->fence != fence)
    return;
  if (result != PROMOTION_ACCEPTED)
    {
      open_turn (s, r, now);
      return;
    }
  enter (r, PHASE_CONFIRMING, now);
}
