/*
 * One state machine a service: steady, opening (the token is on its way
 * through the log), pausing, ordering, confirming, closing.  Replicas stay
 * paused until the new primary has been seen leading, because an accepted
 * order takes effect later.  It holds nothing that must
 * survive: a new leader finds the open change in the replicated state and
 * starts it over with a higher token.
 */
#include "succession.h"

#include "log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART "succession"
/* Time between questions to a primary that is watched. */
#define WATCH_US (300 * CFS_US_PER_MS)
/* A primary that gave no answer for this time is suspected. */
#define SILENT_US (1100 * CFS_US_PER_MS)
/* Without hosts that suspect it, too, for this time. */
#define SILENT_ALONE_US (3500 * CFS_US_PER_MS)
/* A leader waits this long after it took over, to hear from all. */
#define SETTLE_US (800 * CFS_US_PER_MS)
/* Time for all replicas to be paused. */
#define PAUSE_MAX_US (900 * CFS_US_PER_MS)
/* Answers that are older do not count in the choice. */
#define ANSWER_FRESH_US (600 * CFS_US_PER_MS)
/* Time for the log to commit a token. */
#define COMMIT_MAX_US (3 * CFS_US_PER_S)
/* Time for an order to be answered. */
#define ORDER_MAX_US (2500 * CFS_US_PER_MS)
/* Time for the chosen instance to be seen leading. */
#define CONFIRM_MAX_US (3 * CFS_US_PER_S)
/* Pause before a lost connection is tried again. */
#define RECONNECT_US (50 * CFS_US_PER_MS)
/* Connections in a row that failed before a primary counts as down. */
#define FAILURES_MAX 2
/* Hosts must go on to suspect a primary that answers for this time. */
#define SUSPECTED_US (500 * CFS_US_PER_MS)
/* Pause before the next attempt. */
#define RETRY_US (200 * CFS_US_PER_MS)
/* No change starts for this time after one has ended. */
#define REST_US (1500 * CFS_US_PER_MS)
/* Parts of the hosts alive that must suspect a primary: one that the leader
   cannot reach either, and one that answers the leader. */
#define SUSPECT_PART 0.25
#define SUSPECT_ALONE_PART 0.25
#define PROBES_MAX 16
/* On whose behalf the leader connects. */
#define TEAM "control"

enum phase
{
  PHASE_STEADY,
  PHASE_OPENING,
  PHASE_PAUSING,
  PHASE_ORDERING,
  PHASE_CONFIRMING,
  PHASE_CLOSING
};

/* A connection to one instance with at most one question under way. */
struct probe
{
  struct cfs_succession *owner;
  char target[CFS_NAME_MAX];
  uint64_t born;
  struct cfs_wire *wire;
  bool up;
  bool asking;
  bool paused;
  bool read;
  unsigned failures;
  int64_t asked_at;
  int64_t answered_at;
  int64_t retry_at;
  uint64_t term;
  struct cfs_instance_state status;
  enum cfs_verb verb;
};

struct reign
{
  char service[CFS_NAME_MAX];
  enum phase phase;
  struct probe watch;
  int64_t denied_at;
  int64_t suspected_at;
  int64_t leaderless_at;
  struct probe probes[PROBES_MAX];
  size_t probe_count;
  char chosen[CFS_NAME_MAX];
  uint64_t fence;
  uint64_t index;
  uint64_t newest_term;
  bool ordered;
  int64_t since;
  int64_t started_at;
  int64_t retry_at;
};

struct cfs_succession
{
  const struct cfs_succession_ops *ops;
  void *ctx;
  const struct cfs_target_edge *edge;
  const struct cfs_state *state;
  int64_t (*clock) (void);
  struct reign **reigns;
  size_t count;
  size_t cap;
  bool leads;
  int64_t led_since;
};

struct cfs_succession *
cfs_succession_new (const struct cfs_succession_ops *ops, void *ctx,
                    const struct cfs_target_edge *edge,
                    const struct cfs_state *state, int64_t (*clock) (void))
{
  struct cfs_succession *s = cfs_alloc (sizeof *s);

  s->ops = ops;
  s->ctx = ctx;
  s->edge = edge;
  s->state = state;
  s->clock = clock;
  return s;
}

static void
close_probe (struct probe *p)
{
  if (p->wire)
    p->wire->ops->close (p->wire);
  p->wire = NULL;
  p->up = false;
  p->asking = false;
}

static void
close_probes (struct reign *r)
{
  for (size_t i = 0; i < r->probe_count; i++)
    close_probe (&r->probes[i]);
  r->probe_count = 0;
}

void
cfs_succession_free (struct cfs_succession *s)
{
  if (!s)
    return;
  for (size_t i = 0; i < s->count; i++)
    {
      close_probes (s->reigns[i]);
      close_probe (&s->reigns[i]->watch);
      free (s->reigns[i]);
    }
  free (s->reigns);
  free (s);
}

static void
ask (struct probe *p, const struct cfs_statement *st, int64_t now)
{
  if (!p->wire)
    return;
  p->verb = st->verb;
  p->asking = true;
  p->asked_at = now;
  p->wire->ops->send (p->wire, st, 1);
}

static void
on_opened (void *owner, const struct cfs_reply *r)
{
  struct probe *p = owner;
  int64_t now = p->owner->clock ();

  if (r->code != REPLY_OK)
    {
      close_probe (p);
      p->retry_at = now + RETRY_US;
      return;
    }
  p->up = true;
  p->failures = 0;
  p->term = r->position.term;
}

static void
on_replied (void *owner, const struct cfs_reply *r)
{
  struct probe *p = owner;

  p->asking = false;
  if (r->position.term > p->term)
    p->term = r->position.term;
  if (p->verb == VERB_BEGIN)
    {
      struct cfs_statement end = { .verb = VERB_ROLLBACK };

      p->status.primary = r->code == REPLY_OK;
      p->read = true;
      p->answered_at = p->owner->clock ();
      if (r->state != TX_IDLE)
        ask (p, &end, p->asked_at);
    }
  else if (p->verb == VERB_PAUSE || p->verb == VERB_STATUS)
    {
      p->read = p->owner->edge->read_status (r, &p->status);
      p->paused = p->read && !p->status.primary
                  && (p->paused || p->verb == VERB_PAUSE);
      p->answered_at = p->owner->clock ();
      if (p->read && p->status.term > p->term)
        p->term = p->status.term;
    }
}

static void
on_lost (void *owner, const char *reason)
{
  struct probe *p = owner;

  (void)reason;
  p->wire = NULL;
  p->up = false;
  p->asking = false;
  p->paused = false;
  p->read = false;
  p->failures++;
  p->retry_at = p->owner->clock () + RECONNECT_US;
}

static const struct cfs_wire_events events
    = { on_opened, on_replied, on_lost };

static void
open_probe (struct cfs_succession *s, struct probe *p,
            const struct cfs_target *t, int64_t now)
{
  struct cfs_wire_setup setup = { .address = t->address,
                                  .service = t->service,
                                  .team = TEAM,
                                  .target = t->id,
                                  .events = &events,
                                  .owner = p };

  if (p->wire || now < p->retry_at)
    return;
  p->owner = s;
  cfs_copy (p->target, sizeof p->target, t->id);
  p->born = t->born;
  p->asked_at = now;
  p->wire = s->edge->open (s->edge, &setup);
  if (!p->wire)
    p->retry_at = now + RETRY_US;
}

static struct reign *
reign_of (struct cfs_succession *s, const char *service)
{
  struct reign *r;

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
primary_of (const struct cfs_succession *s, const struct reign *r)
{
  return cfs_targets_primary (&s->state->targets, &s->state->turns,
                              r->service);
}

/* Asks the primary whether it leads, and notes its answers. */
static void
watch (struct cfs_succession *s, struct reign *r, const struct cfs_target *t,
       int64_t now)
{
  struct probe *p = &r->watch;
  struct cfs_statement begin = { .verb = VERB_BEGIN };

  if (strcmp (p->target, t->id) != 0 || p->born != t->born)
    {
      close_probe (p);
      memset (p, 0, sizeof *p);
      p->answered_at = now;
      r->denied_at = 0;
    }
  if (p->wire && (p->asking || !p->up) && now - p->asked_at > SILENT_US)
    {
      close_probe (p);
      p->retry_at = now;
    }
  open_probe (s, p, t, now);
  if (p->up && !p->asking && now - p->asked_at >= WATCH_US)
    ask (p, &begin, now);
  if (p->term > r->newest_term)
    r->newest_term = p->term;
  if (!p->read || p->status.primary)
    r->denied_at = 0;
  else if (!r->denied_at)
    r->denied_at = now;
}

/* Why the primary is to be replaced, or NULL. */
static const char *
reason_to_change (const struct cfs_succession *s, struct reign *r,
                  const struct cfs_target *t, int64_t now)
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
enter (struct reign *r, enum phase phase, int64_t now)
{
  r->phase = phase;
  r->since = now;
}

/* Puts a new token into the log; everything starts over from there. */
static void
open_turn (struct cfs_succession *s, struct reign *r, int64_t now)
{
  Cfs__Turn turn = CFS__TURN__INIT;

  close_probes (r);
  r->chosen[0] = '\0';
  turn.service = r->service;
  turn.open = true;
  r->index = s->ops->propose (s->ctx, &turn);
  r->fence = r->index;
  enter (r, r->index ? PHASE_OPENING : PHASE_STEADY, now);
  r->retry_at = now + RETRY_US;
}

static void
close_turn (struct cfs_succession *s, struct reign *r, int64_t now)
{
  Cfs__Turn turn = CFS__TURN__INIT;

  turn.service = r->service;
  turn.target = r->chosen;
  turn.fence = r->fence;
  r->index = s->ops->propose (s->ctx, &turn);
  enter (r, PHASE_CLOSING, now);
}

static struct probe *
find_probe (struct reign *r, const char *target)
{
  for (size_t i = 0; i < r->probe_count; i++)
    if (strcmp (r->probes[i].target, target) == 0)
      return &r->probes[i];
  return NULL;
}

/* The connection refers to its row, so rows are never moved; a row whose
   instance is gone stays unused. */
static void
drop_gone (struct cfs_succession *s, struct reign *r)
{
  for (size_t i = 0; i < r->probe_count; i++)
    {
      struct probe *p = &r->probes[i];
      const struct cfs_target *t
          = cfs_table_find (&s->state->targets, p->target);

      if (t && !t->gone && t->born == p->born)
        continue;
      close_probe (p);
      memset (p, 0, sizeof *p);
    }
}

static struct probe *
add_probe (struct reign *r)
{
  struct probe *p = find_probe (r, "");

  if (!p && r->probe_count < PROBES_MAX)
    p = &r->probes[r->probe_count++];
  if (p)
    memset (p, 0, sizeof *p);
  return p;
}

/* All instances as far as known.  Those that leave count, too, and so does
   the one that is taken for the primary: an earlier order may have made
   another lead without this host's knowledge. */
static void
find_instances (struct cfs_succession *s, struct reign *r)
{
  const struct cfs_table *targets = &s->state->targets;

  drop_gone (s, r);
  for (size_t i = 0; i < targets->count; i++)
    {
      const struct cfs_target *t = cfs_table_at (targets, i);
      struct probe *p;

      if (t->gone || strcmp (t->service, r->service) != 0
          || find_probe (r, t->id))
        continue;
      p = add_probe (r);
      if (!p)
        return;
      p->owner = s;
      cfs_copy (p->target, sizeof p->target, t->id);
      p->born = t->born;
    }
}

/* What the instances said so far. */
struct census
{
  size_t known;
  size_t paused;
  struct probe *leads;
};

/* Asks an instance to pause; one that has is asked again from time to time,
   because an earlier order may have made it lead since. */
static void
ask_instance (struct cfs_succession *s, struct probe *p, uint64_t term,
              int64_t now)
{
  struct cfs_statement pause = { .verb = VERB_PAUSE, .term = term };
  struct cfs_statement status = { .verb = VERB_STATUS };

  open_probe (s, p, cfs_table_find (&s->state->targets, p->target), now);
  if (!p->up || p->asking)
    return;
  if (!p->read)
    ask (p, &pause, now);
  else if (now - p->answered_at > ANSWER_FRESH_US / 2)
    ask (p, &status, now);
}

/* Drives the questions to the instances and counts their answers. */
static struct census
pause_instances (struct cfs_succession *s, struct reign *r, int64_t now)
{
  struct census c = { 0, 0, NULL };

  find_instances (s, r);
  for (size_t i = 0; i < r->probe_count; i++)
    if (r->probes[i].term > r->newest_term)
      r->newest_term = r->probes[i].term;
  for (size_t i = 0; i < r->probe_count; i++)
    {
      struct probe *p = &r->probes[i];
      bool fresh = p->read && now - p->answered_at < ANSWER_FRESH_US;

      if (!*p->target)
        continue;
      c.known++;
      c.paused += fresh && p->paused;
      if (fresh && p->status.primary
          && (!c.leads || p->status.term > c.leads->status.term))
        c.leads = p;
      ask_instance (s, p, r->newest_term + 1, now);
    }
  return c;
}

/* Lets replicas receive again; the connections close behind it. */
static void
resume_replicas (struct reign *r, int64_t now)
{
  struct cfs_statement resume = { .verb = VERB_RESUME };

  for (size_t i = 0; i < r->probe_count; i++)
    if (r->probes[i].up && r->probes[i].paused)
      ask (&r->probes[i], &resume, now);
}

/* The longest log; among equals one that stays. */
static const struct probe *
choose (const struct cfs_succession *s, const struct reign *r, int64_t now)
{
  const struct probe *best = NULL;
  bool best_stays = false;

  for (size_t i = 0; i < r->probe_count; i++)
    {
      const struct probe *p = &r->probes[i];
      const struct cfs_target *t
          = cfs_table_find (&s->state->targets, p->target);
      bool stays = t && !t->draining;
      int order = best ? cfs_position_compare (&p->status.received,
                                               &best->status.received)
                       : 1;

      if (!p->paused || now - p->answered_at >= ANSWER_FRESH_US || order < 0
          || (order == 0 && (best_stays || !stays)))
        continue;
      best = p;
      best_stays = stays;
    }
  return best;
}

static void
send_order (struct cfs_succession *s, struct reign *r,
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
accept_leader (struct cfs_succession *s, struct reign *r,
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
  resume_replicas (r, now);
  close_turn (s, r, now);
}

static void
log_missing (const struct reign *r)
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
run_pausing (struct cfs_succession *s, struct reign *r, int64_t now)
{
  const struct cfs_target *primary = primary_of (s, r);
  struct census c = pause_instances (s, r, now);
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
  if (r->ordered || !primary || reason_to_change (s, r, primary, now))
    {
      r->since = now;
      return;
    }
  cfs_log (CFS_NOTICE, PART, "service=%s change given up, target=%s leads",
           r->service, primary->id);
  resume_replicas (r, now);
  close_turn (s, r, now);
}

static void
run_opening (struct cfs_succession *s, struct reign *r, uint64_t committed,
             int64_t now)
{
  if (committed >= r->index)
    {
      enter (r, PHASE_PAUSING, now);
      run_pausing (s, r, now);
    }
  else if (now - r->since > COMMIT_MAX_US)
    enter (r, PHASE_STEADY, now);
}

static bool
any_asking (const struct reign *r)
{
  for (size_t i = 0; i < r->probe_count; i++)
    if (r->probes[i].up && r->probes[i].asking)
      return true;
  return false;
}

static void
run_closing (struct reign *r, uint64_t committed, int64_t now)
{
  if ((committed < r->index || any_asking (r))
      && now - r->since < COMMIT_MAX_US)
    return;
  close_probes (r);
  r->ordered = false;
  r->retry_at = now + REST_US;
  enter (r, PHASE_STEADY, now);
}

/* Waits until the chosen instance has answered that it leads.  The change is
   closed behind the resumption of the replicas: a leader that takes over
   before that goes through all of it again. */
static void
run_confirming (struct cfs_succession *s, struct reign *r, int64_t now)
{
  const struct cfs_target *t = cfs_table_find (&s->state->targets, r->chosen);

  if (t)
    watch (s, r, t, now);
  if (t && r->watch.read && r->watch.status.primary)
    {
      cfs_log (CFS_NOTICE, PART,
               "service=%s target=%s leads, took_ms=%" PRId64, r->service,
               t->id, (now - r->started_at) / CFS_US_PER_MS);
      resume_replicas (r, now);
      close_turn (s, r, now);
    }
  else if (now - r->since > CONFIRM_MAX_US)
    open_turn (s, r, now);
}

static void
run_steady (struct cfs_succession *s, struct reign *r, int64_t now)
{
  const struct cfs_turn *turn = cfs_table_find (&s->state->turns, r->service);
  const struct cfs_target *t = primary_of (s, r);
  const char *reason;

  if (t)
    {
      watch (s, r, t, now);
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
run_reign (struct cfs_succession *s, struct reign *r, uint64_t committed,
           int64_t now)
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
stop_leading (struct cfs_succession *s)
{
  for (size_t i = 0; i < s->count; i++)
    {
      struct reign *r = s->reigns[i];

      close_probes (r);
      close_probe (&r->watch);
      memset (&r->watch, 0, sizeof r->watch);
      r->phase = PHASE_STEADY;
    }
}

void
cfs_succession_tick (struct cfs_succession *s, bool leads, uint64_t committed,
                     int64_t now)
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
cfs_succession_ordered (struct cfs_succession *s, const char *service,
                        uint64_t fence, enum cfs_order_result result)
{
  struct reign *r = reign_of (s, service);
  int64_t now = s->clock ();

  cfs_log (CFS_NOTICE, PART,
           "service=%s target=%s fence=%" PRIu64
           " order result=%d took_ms=%" PRId64,
           service, r->chosen, fence, (int)result,
           (now - r->started_at) / CFS_US_PER_MS);
  if (!s->leads || r->phase != PHASE_ORDERING || r->fence != fence)
    return;
  if (result != ORDER_ACCEPTED)
    {
      open_turn (s, r, now);
      return;
    }
  enter (r, PHASE_CONFIRMING, now);
}
