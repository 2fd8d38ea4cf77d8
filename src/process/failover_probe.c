/*
 * Connections to instances: queries to a monitored primary, and to all
 * instances during a failover.  A connection has at most one query pending.
 */
#include "failover_int.h"

#include "log.h"

#include <inttypes.h>
#include <string.h>

#define PART "failover"
/* Interval between queries to a monitored primary. */
#define WATCH_INTERVAL_US (300 * CFS_US_PER_MS)
/* Delay before a lost connection is opened again. */
#define RECONNECT_DELAY_US (50 * CFS_US_PER_MS)
/* Delay before a replica that did not pause, or a primary that was promoted
   again after its demotion, is told to again, with a higher term. */
#define ORDER_RETRY_US (50 * CFS_US_PER_MS)
/* A query of a failover without a reply for this time is given up; the
   instance may still carry it out. */
#define QUERY_TIMEOUT_US (1100 * CFS_US_PER_MS)
/* An order without a reply is carried out within this time, if at all. */
#define STRAY_ORDER_US (15 * CFS_US_PER_S)
/* Interval between queries to a replica that may be paused by such an order.
 */
#define STRAY_QUERY_US (1 * CFS_US_PER_S)

/* A query that gets no reply any more may still be carried out. */
static void
give_up_query (struct probe *p)
{
  if (p->query_pending && p->verb == VERB_PAUSE)
    p->pause_lost = true;
  p->query_pending = false;
}

void
failover_close_probe (struct probe *p)
{
  if (p->conn)
    p->conn->ops->close (p->conn);
  p->conn = NULL;
  p->connected = false;
  give_up_query (p);
}

void
failover_close_probes (struct failover_state *f)
{
  for (size_t i = 0; i < f->probe_count; i++)
    {
      struct probe *p = &f->probes[i];

      failover_close_probe (p);
      if (p->pause_lost)
        f->stray_pause_until = p->owner->clock () + STRAY_ORDER_US;
    }
  f->probe_count = 0;
}

static void
send_query (struct probe *p, const struct cfs_statement *st, int64_t now)
{
  if (!p->conn)
    return;
  p->verb = st->verb;
  p->query_pending = true;
  p->sent_at = now;
  p->conn->ops->send (p->conn, st, 1);
}

static void
on_opened (void *owner, const struct cfs_reply *r)
{
  struct probe *p = owner;
  int64_t now = p->owner->clock ();

  p->absent = r->code == REPLY_WRONG_TARGET;
  if (r->code != REPLY_OK)
    {
      failover_close_probe (p);
      p->retry_at = now + RETRY_US;
      return;
    }
  p->connected = true;
  p->connect_failures = 0;
  p->term = r->position.term;
}

/* Passes on the position in the reply to a BEGIN, which only a primary
   accepts. */
static void
report_position (struct probe *p, const struct cfs_reply *r)
{
  const struct cfs_failover_manager *m = p->owner;
  const struct cfs_target *t = cfs_table_find (&m->state->targets, p->target);

  if (r->code != REPLY_OK || !t)
    return;
  p->earlier_position = p->position;
  p->position = r->position;
  p->position_asked_at = p->sent_at;
  m->ops->primary_position (m->ctx, t->service, &r->position, p->sent_at);
}

/* Whether the last status is that of a paused replica.  A PAUSE has no effect
   unless its term is above that of the replica, and a promotion, a restart or
   a RESUME that is carried out late ends a pause. */
static void
update_paused (struct probe *p)
{
  const struct cfs_instance_state *s = &p->status;
  bool was_paused = p->paused;

  p->paused = s->paused_term != 0;
  if (p->verb == VERB_PAUSE && p->pause_term > s->term)
    p->paused = true;
  p->paused = p->paused && p->status_known && !s->primary;
  if (was_paused && !p->paused)
    cfs_log (CFS_WARNING, PART,
             "target=%s is not paused any more, term=%" PRIu64
             " position=%" PRIu64 ".%" PRIu64,
             p->target, s->term, s->received.term, s->received.number);
}

static void
on_replied (void *owner, const struct cfs_reply *r)
{
  struct probe *p = owner;

  p->query_pending = false;
  if (r->position.term > p->term)
    p->term = r->position.term;
  if (p->verb == VERB_BEGIN)
    {
      struct cfs_statement end = { .verb = VERB_ROLLBACK };

      p->status.primary = r->code == REPLY_OK;
      report_position (p, r);
      p->status_known = true;
      p->replied_at = p->owner->clock ();
      if (r->state != TX_IDLE)
        send_query (p, &end, p->sent_at);
    }
  else if (p->verb == VERB_PAUSE || p->verb == VERB_STATUS
           || p->verb == VERB_DEMOTE)
    {
      p->status_known = p->owner->adapter->read_status (r, &p->status);
      update_paused (p);
      p->demoted = p->status_known && !p->status.primary
                   && (p->demoted || p->verb == VERB_DEMOTE);
      p->replied_at = p->owner->clock ();
      p->asked_at = p->sent_at;
      if (p->status_known && p->status.term > p->term)
        p->term = p->status.term;
    }
}

static void
on_lost (void *owner, const char *reason)
{
  struct probe *p = owner;

  (void)reason;
  p->conn = NULL;
  p->connected = false;
  give_up_query (p);
  p->paused = false;
  p->demoted = false;
  p->status_known = false;
  p->connect_failures++;
  p->retry_at = p->owner->clock () + RECONNECT_DELAY_US;
}

static void
on_refused (void *owner, const char *reason)
{
  struct probe *p = owner;

  on_lost (p, reason);
  p->absent = true;
}

static const struct cfs_target_conn_events events
    = { on_opened, on_replied, on_lost, on_refused };

void
failover_open_probe (struct cfs_failover_manager *m, struct probe *p,
                     const struct cfs_target *t, int64_t now)
{
  struct cfs_target_conn_setup setup = { .address = t->address,
                                         .service = t->service,
                                         .team = CFS_CONTROL_TEAM,
                                         .target = t->id,
                                         .events = &events,
                                         .owner = p };

  if (p->conn || now < p->retry_at)
    return;
  p->owner = m;
  cfs_copy (p->target, sizeof p->target, t->id);
  p->incarnation = t->incarnation;
  p->sent_at = now;
  p->conn = m->adapter->open (m->adapter, &setup);
  if (!p->conn)
    p->retry_at = now + RETRY_US;
}

/* A transaction that may write succeeds only at a primary, so opening one
   tells the role of the instance. */
void
failover_watch_primary (struct cfs_failover_manager *m,
                        struct failover_state *f, const struct cfs_target *t,
                        int64_t now)
{
  struct probe *p = &f->primary_probe;
  struct cfs_statement begin = { .verb = VERB_BEGIN };

  if (strcmp (p->target, t->id) != 0 || p->incarnation != t->incarnation)
    {
      failover_close_probe (p);
      memset (p, 0, sizeof *p);
      p->replied_at = now;
      f->not_primary_since = 0;
      memset (&f->proof, 0, sizeof f->proof);
    }
  if (p->conn && (p->query_pending || !p->connected)
      && now - p->sent_at > PRIMARY_TIMEOUT_US)
    {
      failover_close_probe (p);
      p->retry_at = now;
    }
  failover_open_probe (m, p, t, now);
  if (p->connected && !p->query_pending
      && now - p->sent_at >= WATCH_INTERVAL_US)
    send_query (p, &begin, now);
  if (p->term > f->max_term)
    f->max_term = p->term;
  if (cfs_position_compare (&p->earlier_position, &f->seen) > 0)
    f->seen = p->earlier_position;
  if (!p->status_known || p->status.primary)
    f->not_primary_since = 0;
  else if (!f->not_primary_since)
    f->not_primary_since = now;
}

struct probe *
failover_find_probe (struct failover_state *f, const char *target)
{
  for (size_t i = 0; i < f->probe_count; i++)
    if (strcmp (f->probes[i].target, target) == 0)
      return &f->probes[i];
  return NULL;
}

/* Whether the log of an instance may be needed in a failover. */
static bool
is_needed (const struct cfs_target *t)
{
  return !t->gone || cfs_target_is_unproven (t);
}

/* Connections point to their probe, so probes are never moved; that of an
   instance that is gone is cleared and left unused. */
static void
drop_gone_probes (struct cfs_failover_manager *m, struct failover_state *f)
{
  for (size_t i = 0; i < f->probe_count; i++)
    {
      struct probe *p = &f->probes[i];
      const struct cfs_target *t
          = cfs_table_find (&m->state->targets, p->target);

      if (t && is_needed (t) && t->incarnation == p->incarnation)
        continue;
      failover_close_probe (p);
      memset (p, 0, sizeof *p);
    }
}

static struct probe *
add_probe (struct failover_state *f)
{
  struct probe *p = failover_find_probe (f, "");

  if (!p && f->probe_count < PROBES_MAX)
    p = &f->probes[f->probe_count++];
  if (p)
    memset (p, 0, sizeof *p);
  return p;
}

static void
add_probes (struct cfs_failover_manager *m, struct failover_state *f,
            bool gone, int64_t now)
{
  const struct cfs_table *targets = &m->state->targets;

  for (size_t i = 0; i < targets->count; i++)
    {
      const struct cfs_target *t = cfs_table_at (targets, i);
      struct probe *p;

      if (t->gone != gone || !is_needed (t)
          || strcmp (t->service, f->service) != 0
          || failover_find_probe (f, t->id))
        continue;
      p = add_probe (f);
      if (!p)
        return;
      p->owner = m;
      cfs_copy (p->target, sizeof p->target, t->id);
      p->incarnation = t->incarnation;
      p->added_at = now;
    }
}

/* Draining instances are included, and so is the presumed primary: an earlier
   promotion request may have made another instance primary without the
   leader's knowledge.  Departed instances may still run and are added last, as
   far as there is room. */
void
failover_update_probes (struct cfs_failover_manager *m,
                        struct failover_state *f, int64_t now)
{
  drop_gone_probes (m, f);
  add_probes (m, f, false, now);
  add_probes (m, f, true, now);
}

void
failover_query_status (struct probe *p, int64_t now)
{
  struct cfs_statement status = { .verb = VERB_STATUS };

  send_query (p, &status, now);
}

/* The former primary is demoted before any replica is paused, so that no
   further commit is acknowledged, not even through a replica that has not
   announced itself yet.  An instance that has replied is queried again
   periodically, because an earlier promotion request may have made it primary
   since. */
static void
query_instance (struct cfs_failover_manager *m, struct failover_state *f,
                struct probe *p, int64_t now)
{
  struct cfs_statement demote
      = { .verb = VERB_DEMOTE, .term = f->max_term + 1 };
  struct cfs_statement pause = { .verb = VERB_PAUSE, .term = f->max_term + 1 };
  bool leads = p->status_known && p->status.primary;

  if (p->conn && (p->query_pending || !p->connected)
      && now - p->sent_at > QUERY_TIMEOUT_US)
    failover_close_probe (p);
  failover_open_probe (m, p, cfs_table_find (&m->state->targets, p->target),
                       now);
  if (!p->connected || p->query_pending)
    return;
  if (strcmp (p->target, f->former_primary) == 0
      && (!p->status_known
          || (leads && now - p->replied_at >= ORDER_RETRY_US)))
    send_query (p, &demote, now);
  else if (now >= f->pause_at && !p->paused && !leads)
    {
      if (p->verb != VERB_PAUSE || !p->status_known
          || now - p->replied_at >= ORDER_RETRY_US)
        {
          p->pause_term = pause.term;
          send_query (p, &pause, now);
        }
    }
  else if (p->status_known
           && (now - p->replied_at > STATUS_MAX_AGE_US / 2
               || p->asked_at < f->acks_stopped_at))
    failover_query_status (p, now);
}

/* Counts the entries and not the probes, for which there may be no room. */
static void
count_instances (const struct cfs_failover_manager *m,
                 struct failover_state *f, struct probe_summary *summary,
                 int64_t now)
{
  const struct cfs_table *targets = &m->state->targets;

  for (size_t i = 0; i < targets->count; i++)
    {
      const struct cfs_target *t = cfs_table_at (targets, i);

      if (strcmp (t->service, f->service) != 0)
        continue;
      summary->known += !t->gone;
      summary->departed += cfs_target_is_unproven (t);
      summary->ended += cfs_target_is_unproven (t) && cfs_target_has_left (t)
                        && failover_has_ended (f, t, f->started_at, now);
    }
}

static bool
is_departed (const struct cfs_failover_manager *m, const struct probe *p)
{
  const struct cfs_target *t = cfs_table_find (&m->state->targets, p->target);

  return !t || t->gone;
}

/* Whether the log of a departed instance that answers is the one that it had.
   One that left has ended or ends soon, and another that was started under its
   id since, with an empty log, gives the same answers. */
static bool
answers_for (const struct cfs_failover_manager *m, const struct probe *p)
{
  const struct cfs_target *t = cfs_table_find (&m->state->targets, p->target);

  return t && !cfs_target_has_left (t);
}

bool
failover_status_is_current (const struct failover_state *f,
                            const struct probe *p, int64_t now)
{
  return p->status_known && now - p->replied_at < STATUS_MAX_AGE_US
         && p->asked_at >= f->acks_stopped_at;
}

struct probe_summary
failover_poll_instances (struct cfs_failover_manager *m,
                         struct failover_state *f, int64_t now)
{
  struct probe_summary summary = { 0, 0, 0, 0, false, NULL };

  failover_update_probes (m, f, now);
  count_instances (m, f, &summary, now);
  for (size_t i = 0; i < f->probe_count; i++)
    if (f->probes[i].term > f->max_term)
      f->max_term = f->probes[i].term;
  for (size_t i = 0; i < f->probe_count; i++)
    {
      struct probe *p = &f->probes[i];
      bool fresh = failover_status_is_current (f, p, now);

      if (!*p->target)
        continue;
      if (is_departed (m, p))
        summary.departed -= fresh && p->paused && answers_for (m, p);
      else
        summary.paused += fresh && p->paused;
      summary.demoted = summary.demoted || p->demoted;
      if (p->demoted && f->pause_at > p->replied_at + REPLICATION_DRAIN_US)
        f->pause_at = p->replied_at + REPLICATION_DRAIN_US;
      if (fresh && p->status.primary && !is_departed (m, p)
          && (!summary.primary
              || p->status.term > summary.primary->status.term))
        summary.primary = p;
      query_instance (m, f, p, now);
    }
  return summary;
}

void
failover_resume_replicas (struct failover_state *f, int64_t now)
{
  struct cfs_statement resume = { .verb = VERB_RESUME };

  for (size_t i = 0; i < f->probe_count; i++)
    {
      struct probe *p = &f->probes[i];

      if (!p->connected || !p->paused || p->query_pending)
        continue;
      p->paused = false;
      send_query (p, &resume, now);
    }
}

void
failover_end_stray_pauses (struct cfs_failover_manager *m,
                           struct failover_state *f, int64_t now)
{
  if (!f->stray_pause_until)
    return;
  failover_update_probes (m, f, now);
  failover_resume_replicas (f, now);
  for (size_t i = 0; i < f->probe_count; i++)
    {
      struct probe *p = &f->probes[i];
      const struct cfs_target *t
          = cfs_table_find (&m->state->targets, p->target);

      if (!t || t->gone)
        continue;
      failover_open_probe (m, p, t, now);
      if (p->connected && !p->query_pending
          && now - p->sent_at >= STRAY_QUERY_US)
        failover_query_status (p, now);
    }
  if (now < f->stray_pause_until)
    return;
  failover_close_probes (f);
  f->stray_pause_until = 0;
}

bool
failover_query_pending (const struct failover_state *f)
{
  for (size_t i = 0; i < f->probe_count; i++)
    if (f->probes[i].connected && f->probes[i].query_pending)
      return true;
  return false;
}
