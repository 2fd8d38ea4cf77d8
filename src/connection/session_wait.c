/*
 * Statements that wait for a rate limit token, a position, an instance or a
 * connection stand in a wait queue (waitlist.c): one for tokens and one per
 * service.  Each tick passes over the queues in their order.  A pass ends for
 * a kind of statement at the first one that finds no room, so the others cost
 * nothing and are not served before it.
 *
 * A statement that cannot be served within its latency target, by the learned
 * service time, the statements ahead of it and those of more urgent classes
 * that arrive meanwhile, is rejected at once.  This does not apply inside
 * transactions, whose earlier statements would be lost.  A statement only
 * meets this while others are in flight at its targets, so the service time is
 * measured again even if it exceeds the latency target.
 */
#include "session_int.h"

#include "../process/log.h"

#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define PART "wait"
/* What a statement waits for.  A transaction that already has its connection
   is not blocked by those that need one. */
#define WAIT_TOKEN 1U
#define WAIT_PRIMARY 2U
#define WAIT_READ 4U
#define WAIT_OWN_CONN 8U
/* Least rate of service, in statements per microsecond, that is left to a
   class when more urgent ones arrive. */
#define RATE_MIN (0.1 / CFS_US_PER_S)
/* A statement is queued if this multiple of its estimated wait is left.
   Without it, statements of the class that is served in part wait and are
   rejected late. */
#define WAIT_MARGIN 2
/* Range of the delay after which callers are told to retry. */
#define RETRY_MIN_MS 50
#define RETRY_MAX_MS 2000

static const char *const reason_names[] = { "token", "capacity", "timeout" };

/* The queue of a service, added if necessary. */
static struct cfs_waitlist *
service_list (struct cfs_sessions *ss, const char *service)
{
  struct service_waits *s;

  for (s = ss->service_waits; s; s = s->next)
    if (strcmp (s->service, service) == 0)
      return &s->list;
  s = cfs_alloc (sizeof *s);
  cfs_copy (s->service, sizeof s->service, service);
  s->next = ss->service_waits;
  ss->service_waits = s;
  return &s->list;
}

void
session_waits_free (struct cfs_sessions *ss)
{
  struct service_waits *next;

  cfs_waitlist_end (&ss->token_waits);
  for (struct service_waits *s = ss->service_waits; s; s = next)
    {
      next = s->next;
      cfs_waitlist_end (&s->list);
      free (s);
    }
}

/* What the statement waits for, 0 if it does not wait. */
static unsigned
wait_kind (const struct cfs_session *s)
{
  if (s->op.phase == OP_TOKEN)
    return WAIT_TOKEN;
  if (s->op.phase != OP_POSITION && s->op.phase != OP_CONN)
    return 0;
  if (s->tx_on_conn)
    return WAIT_OWN_CONN;
  return session_needs_primary (s) ? WAIT_PRIMARY : WAIT_READ;
}

bool
session_must_queue (struct cfs_session *s)
{
  unsigned kind = wait_kind (s);

  if (s->owner->picked == s)
    return false;
  if (kind == WAIT_TOKEN)
    return cfs_waitlist_has (&s->owner->token_waits, kind, s->team);
  return cfs_waitlist_has (service_list (s->owner, s->service), kind, NULL);
}

/* When the statement should have been answered. */
static int64_t
due_time (const struct cfs_session *s)
{
  int64_t target = s->route.target_latency_us;

  if (target <= 0 || target >= s->op.reject_at - s->op.arrived)
    return s->op.reject_at;
  return s->op.arrived + target;
}

/* Delay in milliseconds after which a caller may retry: jittered by the
   statement, so that callers do not retry at the same time. */
static unsigned
retry_delay_ms (const struct cfs_session *s, int64_t wait_us)
{
  const char *id = s->op.statement.id ? s->op.statement.id : "";
  uint64_t ms = wait_us > 0 ? (uint64_t)(wait_us / CFS_US_PER_MS) : 0;

  if (ms < RETRY_MIN_MS)
    ms = RETRY_MIN_MS;
  if (ms > RETRY_MAX_MS / 2)
    ms = RETRY_MAX_MS / 2;
  return (unsigned)(ms + cfs_hash (id, strlen (id), 1) % ms);
}

/* Sets the only target that may run the statement, NULL if it is any of the
   service.  Returns false if there is none. */
static bool
only_target (const struct cfs_session *s, int64_t now,
             const struct cfs_target **target)
{
  struct cfs_placement_scope scope = session_scope (s);

  *target = NULL;
  if (!session_needs_primary (s))
    return true;
  *target = cfs_pool_primary (s->owner->setup.pool, s->service, &scope, now);
  return *target != NULL;
}

/* Sets when the statement is rejected because it cannot be served in time any
   more; at once if the statements ahead of it need too long. */
static void
estimate_wait (struct cfs_session *s, int64_t now)
{
  const struct cfs_target *t;
  int64_t service_us;
  double rate;
  double ahead;
  int64_t wait_us;

  s->op.give_up_at = 0;
  if (s->state == TX_OPEN || !s->op.waiter.list || !only_target (s, now, &t))
    return;
  rate = cfs_pool_rate (s->owner->setup.pool, s->service, t ? t->id : NULL,
                        session_capacity_class (s), now, &service_us);
  if (rate <= 0)
    return;
  rate = fmax (cfs_waitlist_rate (&s->op.waiter, rate, now), RATE_MIN);
  ahead = (double)cfs_waitlist_ahead (&s->op.waiter, now) + 1;
  wait_us = (int64_t)(ahead / rate);
  s->op.give_up_at = due_time (s) - service_us;
  s->op.retry_after_ms = retry_delay_ms (s, wait_us);
  if (now + WAIT_MARGIN * wait_us < s->op.give_up_at)
    return;
  s->op.give_up_at = now;
  cfs_log (CFS_INFO, PART,
           "id=%s database=%s class=%u no capacity in time ahead=%.0f "
           "per_s=%.1f service_ms=%" PRId64 " left_ms=%" PRId64,
           s->op.statement.id, s->database, s->op.waiter.class, ahead,
           rate * CFS_US_PER_S, service_us / CFS_US_PER_MS,
           (due_time (s) - now) / CFS_US_PER_MS);
}

bool
session_note_no_room (struct cfs_session *s, int64_t now)
{
  const struct cfs_target *t;

  if (!only_target (s, now, &t)
      || !cfs_pool_is_full (s->owner->setup.pool, s->service, t ? t->id : NULL,
                            now))
    return false;
  s->op.last_code = REPLY_BUSY;
  s->op.no_room = true;
  s->owner->no_room = true;
  return true;
}

bool
session_gives_up (const struct cfs_session *s, int64_t now)
{
  return now >= s->op.reject_at
         || (s->op.give_up_at && now >= s->op.give_up_at && wait_kind (s));
}

void
session_count_rejection (struct cfs_session *s)
{
  enum reject_reason reason = REJECT_TIMEOUT;

  if (s->op.phase == OP_TOKEN)
    reason = REJECT_TOKEN;
  else if (s->op.give_up_at)
    reason = REJECT_CAPACITY;
  s->owner->stats.rejected[reason]++;
}

static void
join (struct cfs_session *s, unsigned kind, int64_t now)
{
  struct cfs_waitlist *list = kind == WAIT_TOKEN
                                  ? &s->owner->token_waits
                                  : service_list (s->owner, s->service);
  struct cfs_waiter *w = &s->op.waiter;
  struct cfs_waiter *rejected;

  w->owner = s;
  w->kind = kind;
  w->class = s->route.priority;
  w->in_transaction = s->state == TX_OPEN;
  w->arrived = s->op.arrived;
  w->due = due_time (s);
  rejected = cfs_waitlist_add (list, w, s->team, now);
  if (rejected)
    {
      struct cfs_session *other = rejected->owner;

      other->op.reject_at = now;
      cfs_log (CFS_NOTICE, PART, "id=%s database=%s wait queue is full",
               other->op.statement.id, other->database);
    }
}

void
session_update_wait (struct cfs_session *s, int64_t now)
{
  struct cfs_waiter *w = &s->op.waiter;
  unsigned kind = wait_kind (s);

  if (!w->list && !kind)
    return;
  if (w->list && w->kind != kind)
    {
      bool was_token = w->kind == WAIT_TOKEN;

      cfs_waitlist_serve (w, now);
      if (was_token)
        w->charged_us = 0;
    }
  if (!kind)
    return;
  if (!w->list && now < s->op.reject_at)
    {
      join (s, kind, now);
      if (kind == WAIT_PRIMARY || kind == WAIT_READ)
        s->op.no_room = session_note_no_room (s, now)
                        || (w->list && cfs_waitlist_ahead (w, now) > 0);
    }
  w->retry_at = s->op.retry_at;
  if (s->op.no_room)
    estimate_wait (s, now);
  s->op.no_room = false;
}

void
session_end_wait (struct cfs_session *s, int64_t now)
{
  struct cfs_waiter *w = &s->op.waiter;

  if (w->charged_us && s->op.sent_at)
    cfs_waitlist_done (service_list (s->owner, s->service), s->team,
                       w->charged_us, now - s->op.sent_at);
  cfs_waitlist_remove (w);
}

/* Whether routes of the configuration have different priorities. */
static bool
priorities_differ (const struct cfs_catalog *c)
{
  for (size_t i = 1; c && i < c->route_count; i++)
    if (c->routes[i].priority != c->routes[0].priority)
      return true;
  return false;
}

static void
run_queue (struct cfs_sessions *ss, struct cfs_waitlist *list, int64_t now)
{
  unsigned kinds = WAIT_TOKEN | WAIT_PRIMARY | WAIT_READ | WAIT_OWN_CONN;
  struct cfs_waiter *w;

  list->by_class = priorities_differ (ss->setup.fleet->catalog);
  cfs_waitlist_begin_pass (list);
  while ((w = cfs_waitlist_pick (list, kinds, now)))
    {
      unsigned kind = w->kind;
      struct cfs_session *s = w->owner;

      ss->no_room = false;
      ss->picked = s;
      if (session_gives_up (s, now))
        session_check_timeouts (s, now);
      else
        session_run (s, now);
      ss->picked = NULL;
      if (ss->no_room && kind != WAIT_TOKEN)
        kinds &= ~kind;
    }
}

void
session_run_waits (struct cfs_sessions *ss, int64_t now)
{
  if (ss->token_waits.count)
    run_queue (ss, &ss->token_waits, now);
  for (struct service_waits *s = ss->service_waits; s; s = s->next)
    if (s->list.count)
      run_queue (ss, &s->list, now);
}

static void
count_by_class (const struct cfs_waitlist *list, unsigned *count)
{
  for (const struct cfs_waiter *w = list->first; w; w = w->next)
    count[w->class]++;
}

void
session_wait_metrics (const struct cfs_sessions *ss, GString *out)
{
  unsigned count[WAITLIST_CLASS_MAX + 1] = { 0 };

  count_by_class (&ss->token_waits, count);
  for (const struct service_waits *s = ss->service_waits; s; s = s->next)
    count_by_class (&s->list, count);
  for (int i = 0; i <= WAITLIST_CLASS_MAX; i++)
    g_string_append_printf (out, "coltsfootstage_waiting{class=\"%d\"} %u\n",
                            i, count[i]);
  for (int i = 0; i < REJECT_REASONS; i++)
    g_string_append_printf (
        out, "coltsfootstage_rejected_total{reason=\"%s\"} %" PRIu64 "\n",
        reason_names[i], ss->stats.rejected[i]);
}
