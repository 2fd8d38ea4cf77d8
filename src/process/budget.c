/*
 * Without a common bound, a few clients with messages of legal size fill the
 * memory of a host: statements without an end, statements sent ahead, answers
 * that nobody reads, large sessions.
 *
 * A connection is first slowed down, by not reading from it.  That does not
 * help when connections that wait for memory hold all of it themselves, or
 * when clients stopped halfway.  Then the one that holds most and has made no
 * progress for a while is closed, one after the other until nobody waits; one
 * that waits for memory itself only if no other is left.  Connections with
 * small requests are neither slowed down nor closed.
 */
#include "budget.h"

#include <inttypes.h>
#include <string.h>

/* Memory must be short for this time, and a connection without progress for as
   long, before one is closed. */
#define STUCK_US (500 * CFS_US_PER_MS)
/* Time for the others to go on with what one has left. */
#define CLOSE_INTERVAL_US (50 * CFS_US_PER_MS)

static const char *const reason_names[BUDGET_REASONS]
    = { "connections", "sessions", "startup", "stalled", "memory" };

static const char *const purpose_names[BUDGET_PURPOSES]
    = { "receive", "queued", "unsent", "session" };

void
cfs_budget_init (struct cfs_budget *b, const struct cfs_budget_limits *limits)
{
  memset (b, 0, sizeof *b);
  b->limits = *limits;
}

void
cfs_budget_open (struct cfs_budget *b, struct cfs_budget_account *a,
                 int64_t now)
{
  memset (a, 0, sizeof *a);
  a->opened_at = now;
  a->progress_at = now;
  a->prev = b->last;
  if (a->prev)
    a->prev->next = a;
  else
    b->first = a;
  b->last = a;
  b->count++;
}

void
cfs_budget_close (struct cfs_budget *b, struct cfs_budget_account *a)
{
  if (a->prev)
    a->prev->next = a->next;
  else
    b->first = a->next;
  if (a->next)
    a->next->prev = a->prev;
  else
    b->last = a->prev;
  b->count--;
  b->total -= a->total;
}

bool
cfs_budget_crowded (struct cfs_budget *b, struct cfs_budget_account **victim)
{
  struct cfs_budget_account *a = b->first;

  *victim = NULL;
  if (b->count < b->limits.connections)
    return false;
  while (a && (a->has_session || a->closing))
    a = a->next;
  *victim = a;
  b->closed[a ? BUDGET_CONNECTIONS : BUDGET_SESSIONS]++;
  if (a)
    a->closing = true;
  return true;
}

bool
cfs_budget_start_session (struct cfs_budget *b, struct cfs_budget_account *a)
{
  if (b->total >= b->limits.bytes)
    {
      b->denied = true;
      b->closed[BUDGET_MEMORY]++;
      return false;
    }
  a->has_session = true;
  return true;
}

void
cfs_budget_end_session (struct cfs_budget_account *a, int64_t now)
{
  a->has_session = false;
  a->opened_at = now;
  a->progress_at = now;
}

static void
set_used (struct cfs_budget *b, struct cfs_budget_account *a,
          enum cfs_budget_purpose purpose, size_t bytes)
{
  b->total += bytes - a->used[purpose];
  a->total += bytes - a->used[purpose];
  a->used[purpose] = bytes;
}

void
cfs_budget_set (struct cfs_budget *b, struct cfs_budget_account *a,
                enum cfs_budget_purpose purpose, size_t bytes)
{
  set_used (b, a, purpose, bytes);
}

bool
cfs_budget_fits (struct cfs_budget *b, size_t bytes)
{
  bool fits
      = bytes <= BUDGET_SMALL_BYTES || b->total + bytes <= b->limits.bytes;

  b->denied |= !fits;
  return fits;
}

bool
cfs_budget_grow (struct cfs_budget *b, struct cfs_budget_account *a,
                 size_t bytes)
{
  size_t cost = bytes > BUDGET_SMALL_BYTES ? BUDGET_COPIES * bytes : bytes;

  if (bytes > BUDGET_SMALL_BYTES && cost > a->used[BUDGET_RECEIVE]
      && b->total + cost - a->used[BUDGET_RECEIVE] > b->limits.bytes)
    {
      b->denied = true;
      a->waiting = true;
      return false;
    }
  a->waiting = false;
  set_used (b, a, BUDGET_RECEIVE, cost);
  return true;
}

bool
cfs_budget_must_pause (const struct cfs_budget *b,
                       const struct cfs_budget_account *a, unsigned queued)
{
  return queued >= b->limits.pipeline
         || a->used[BUDGET_UNSENT] > BUDGET_UNSENT_BYTES
         || (queued > 0
             && a->used[BUDGET_QUEUED] + a->used[BUDGET_UNSENT]
                    > BUDGET_CONNECTION_BYTES);
}

void
cfs_budget_tick (struct cfs_budget *b, int64_t now)
{
  if (!b->denied)
    b->short_since = 0;
  else if (b->short_since == 0)
    b->short_since = now;
  b->denied = false;
  b->may_close = b->short_since && now - b->short_since >= STUCK_US
                 && now - b->closed_at >= CLOSE_INTERVAL_US;
}

/* Whether all memory is held by connections that wait for more of it. */
static bool
is_deadlocked (const struct cfs_budget *b)
{
  for (const struct cfs_budget_account *a = b->first; a; a = a->next)
    if (!a->closing && !a->waiting && a->total > BUDGET_SMALL_BYTES)
      return false;
  return true;
}

/* The connection that holds most without progress, by bytes and time. */
static struct cfs_budget_account *
find_stuck (const struct cfs_budget *b, int64_t now)
{
  struct cfs_budget_account *worst = NULL;
  bool waiting = is_deadlocked (b);
  double most = 0;

  for (struct cfs_budget_account *a = b->first; a; a = a->next)
    {
      int64_t stuck_us = now - a->progress_at;
      double held = (double)a->total * (double)stuck_us;

      if (a->closing || a->waiting != waiting || stuck_us < STUCK_US
          || a->total <= BUDGET_SMALL_BYTES || held <= most)
        continue;
      worst = a;
      most = held;
    }
  return worst;
}

/* Whether a connection is over a time limit, and which. */
static bool
is_late (const struct cfs_budget *b, const struct cfs_budget_account *a,
         int64_t now, enum cfs_budget_reason *reason)
{
  *reason = BUDGET_STARTUP;
  if (!a->has_session && now - a->opened_at > b->limits.startup_us)
    return true;
  *reason = BUDGET_STALLED;
  return a->used[BUDGET_UNSENT] > 0
         && now - a->progress_at > b->limits.stall_us;
}

struct cfs_budget_account *
cfs_budget_expired (struct cfs_budget *b, int64_t now,
                    enum cfs_budget_reason *reason)
{
  struct cfs_budget_account *found = b->first;

  while (found && (found->closing || !is_late (b, found, now, reason)))
    found = found->next;
  if (!found && b->may_close)
    {
      *reason = BUDGET_MEMORY;
      found = find_stuck (b, now);
      b->may_close = false;
      b->closed_at = now;
    }
  if (!found)
    return NULL;
  found->closing = true;
  b->closed[*reason]++;
  return found;
}

const char *
cfs_budget_reason_name (enum cfs_budget_reason reason)
{
  return reason_names[reason];
}

void
cfs_budget_metrics (const struct cfs_budget *b, const char *name, GString *out)
{
  size_t used[BUDGET_PURPOSES] = { 0 };

  for (const struct cfs_budget_account *a = b->first; a; a = a->next)
    for (int i = 0; i < BUDGET_PURPOSES; i++)
      used[i] += a->used[i];
  g_string_append_printf (
      out,
      "coltsfootstage_client_connections{kind=\"%s\"} %zu\n"
      "coltsfootstage_client_connections_limit{kind=\"%s\"} %zu\n"
      "coltsfootstage_client_memory_limit_bytes{kind=\"%s\"} %zu\n",
      name, b->count, name, b->limits.connections, name, b->limits.bytes);
  for (int i = 0; i < BUDGET_PURPOSES; i++)
    g_string_append_printf (
        out,
        "coltsfootstage_client_memory_bytes{kind=\"%s\",use=\"%s\"} %zu\n",
        name, purpose_names[i], used[i]);
  for (int i = 0; i < BUDGET_REASONS; i++)
    g_string_append_printf (out,
                            "coltsfootstage_client_closed_total{kind=\"%s\","
                            "reason=\"%s\"} %" PRIu64 "\n",
                            name, reason_names[i], b->closed[i]);
}
