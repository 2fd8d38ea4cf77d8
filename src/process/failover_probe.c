/*
 * Questions to instances during a change of primary, and to a primary that
 * is watched.  A connection has at most one question under way.
 */
#include "failover_int.h"

#include <string.h>

/* Time between questions to a primary that is watched. */
#define WATCH_US (300 * CFS_US_PER_MS)
/* Pause before a lost connection is tried again. */
#define RECONNECT_US (50 * CFS_US_PER_MS)
/* On whose behalf the leader connects. */
#define TEAM "control"

void
failover_close_probe (struct probe *p)
{
  if (p->wire)
    p->wire->ops->close (p->wire);
  p->wire = NULL;
  p->up = false;
  p->asking = false;
}

void
failover_close_probes (struct failover_state *r)
{
  for (size_t i = 0; i < r->probe_count; i++)
    failover_close_probe (&r->probes[i]);
  r->probe_count = 0;
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
      failover_close_probe (p);
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
  else if (p->verb == VERB_PAUSE || p->verb == VERB_STATUS
           || p->verb == VERB_DEMOTE)
    {
      p->read = p->owner->edge->read_status (r, &p->status);
      p->paused = p->read && !p->status.primary
                  && (p->paused || p->verb == VERB_PAUSE);
      p->demoted = p->read && !p->status.primary
                   && (p->demoted || p->verb == VERB_DEMOTE);
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
  p->demoted = false;
  p->read = false;
  p->failures++;
  p->retry_at = p->owner->clock () + RECONNECT_US;
}

static const struct cfs_target_conn_events events
    = { on_opened, on_replied, on_lost };

static void
open_probe (struct cfs_failover_manager *s, struct probe *p,
            const struct cfs_target *t, int64_t now)
{
  struct cfs_target_conn_setup setup = { .address = t->address,
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

/* Asks the primary whether it leads, and notes its answers. */
void
failover_watch_primary (struct cfs_failover_manager *s,
                        struct failover_state *r, const struct cfs_target *t,
                        int64_t now)
{
  struct probe *p = &r->watch;
  struct cfs_statement begin = { .verb = VERB_BEGIN };

  if (strcmp (p->target, t->id) != 0 || p->born != t->born)
    {
      failover_close_probe (p);
      memset (p, 0, sizeof *p);
      p->answered_at = now;
      r->denied_at = 0;
    }
  if (p->wire && (p->asking || !p->up) && now - p->asked_at > SILENT_US)
    {
      failover_close_probe (p);
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

static struct probe *
find_probe (struct failover_state *r, const char *target)
{
  for (size_t i = 0; i < r->probe_count; i++)
    if (strcmp (r->probes[i].target, target) == 0)
      return &r->probes[i];
  return NULL;
}

/* The connection refers to its row, so rows are never moved; a row whose
   instance is gone stays unused. */
static void
drop_gone (struct cfs_failover_manager *s, struct failover_state *r)
{
  for (size_t i = 0; i < r->probe_count; i++)
    {
      struct probe *p = &r->probes[i];
      const struct cfs_target *t
          = cfs_table_find (&s->state->targets, p->target);

      if (t && !t->gone && t->born == p->born)
        continue;
      failover_close_probe (p);
      memset (p, 0, sizeof *p);
    }
}

static struct probe *
add_probe (struct failover_state *r)
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
find_instances (struct cfs_failover_manager *s, struct failover_state *r)
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

/* The instance that led is asked to step down before any other is asked to
   pause, so that nothing is acknowledged any more, not even through an
   instance that is not known yet.  One that has answered is asked again from
   time to time, because an earlier order may have made it lead since. */
static void
ask_instance (struct cfs_failover_manager *s, struct failover_state *r,
              struct probe *p, int64_t now)
{
  struct cfs_statement demote
      = { .verb = VERB_DEMOTE, .term = r->newest_term + 1 };
  struct cfs_statement pause
      = { .verb = VERB_PAUSE, .term = r->newest_term + 1 };
  struct cfs_statement status = { .verb = VERB_STATUS };

  open_probe (s, p, cfs_table_find (&s->state->targets, p->target), now);
  if (!p->up || p->asking)
    return;
  if (!p->read && strcmp (p->target, r->former) == 0)
    ask (p, &demote, now);
  else if (now >= r->pause_from && !p->paused && !p->status.primary)
    ask (p, &pause, now);
  else if (p->read && now - p->answered_at > ANSWER_FRESH_US / 2)
    ask (p, &status, now);
}

/* Drives the questions to the instances and counts their answers. */
struct probe_summary
failover_poll_instances (struct cfs_failover_manager *s,
                         struct failover_state *r, int64_t now)
{
  struct probe_summary c = { 0, 0, false, NULL };

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
      c.demoted = c.demoted || p->demoted;
      if (p->demoted && r->pause_from > p->answered_at + DELIVERY_US)
        r->pause_from = p->answered_at + DELIVERY_US;
      if (fresh && p->status.primary
          && (!c.leads || p->status.term > c.leads->status.term))
        c.leads = p;
      ask_instance (s, r, p, now);
    }
  return c;
}

/* Lets replicas receive again; the connections close behind it. */
void
failover_resume_replicas (struct failover_state *r, int64_t now)
{
  struct cfs_statement resume = { .verb = VERB_RESUME };

  for (size_t i = 0; i < r->probe_count; i++)
    if (r->probes[i].up && r->probes[i].paused)
      ask (&r->probes[i], &resume, now);
}

bool
failover_query_pending (const struct failover_state *r)
{
  for (size_t i = 0; i < r->probe_count; i++)
    if (r->probes[i].up && r->probes[i].asking)
      return true;
  return false;
}
