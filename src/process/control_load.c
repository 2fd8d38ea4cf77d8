/*
 * The counts at the last run of the timers and at the start of the term are
 * kept beside the totals, so that a log line has the difference.
 */
#include "control_load.h"

#include "log.h"
#include "raft.h"

#include <inttypes.h>
#include <string.h>

#define PART "control"
/* Minimum time between two log lines about late timers. */
#define LATE_LOG_INTERVAL_US CFS_US_PER_S

static const char *const kind_names[CONTROL_MSG_KINDS]
    = { "raft", "heartbeat", "tokens", "operator" };

void
control_load_count (struct control_load *l, enum control_msg_kind kind)
{
  l->handled[kind]++;
}

static uint64_t
handled_since (const struct control_load *l, const uint64_t *from,
               enum control_msg_kind kind)
{
  return l->handled[kind] - from[kind];
}

static void
log_late_tick (struct control_load *l, int64_t gap_us, int64_t now)
{
  if (l->logged_at && now - l->logged_at < LATE_LOG_INTERVAL_US)
    return;
  l->logged_at = now;
  cfs_log (
      CFS_WARNING, PART,
      "timers ran late gap_ms=%" PRId64 " raft=%" PRIu64 " heartbeats=%" PRIu64
      " token_requests=%" PRIu64 " operator=%" PRIu64,
      gap_us / CFS_US_PER_MS, handled_since (l, l->at_tick, CONTROL_MSG_RAFT),
      handled_since (l, l->at_tick, CONTROL_MSG_HEARTBEAT),
      handled_since (l, l->at_tick, CONTROL_MSG_TOKENS),
      handled_since (l, l->at_tick, CONTROL_MSG_OPERATOR));
}

void
control_load_tick (struct control_load *l, int64_t now)
{
  int64_t gap = l->ticked_at ? now - l->ticked_at : 0;

  if (gap > RAFT_HEARTBEAT_US)
    log_late_tick (l, gap, now);
  if (gap > l->max_gap_us)
    l->max_gap_us = gap;
  if (gap > l->term_gap_us)
    l->term_gap_us = gap;
  l->ticked_at = now;
  memcpy (l->at_tick, l->handled, sizeof l->at_tick);
}

void
control_load_start_term (struct control_load *l)
{
  l->term_gap_us = 0;
  memcpy (l->at_term, l->handled, sizeof l->at_term);
}

void
control_load_log_term (const struct control_load *l, uint64_t term)
{
  cfs_log (CFS_NOTICE, PART,
           "is no longer leader in term %" PRIu64 ", handled raft=%" PRIu64
           " heartbeats=%" PRIu64 " token_requests=%" PRIu64
           " operator=%" PRIu64 " timers_late_ms=%" PRId64,
           term, handled_since (l, l->at_term, CONTROL_MSG_RAFT),
           handled_since (l, l->at_term, CONTROL_MSG_HEARTBEAT),
           handled_since (l, l->at_term, CONTROL_MSG_TOKENS),
           handled_since (l, l->at_term, CONTROL_MSG_OPERATOR),
           l->term_gap_us / CFS_US_PER_MS);
}

void
control_load_metrics (const struct control_load *l, GString *out)
{
  for (int i = 0; i < CONTROL_MSG_KINDS; i++)
    g_string_append_printf (
        out,
        "coltsfootstage_control_messages_total{kind=\"%s\"} %" PRIu64 "\n",
        kind_names[i], l->handled[i]);
  g_string_append_printf (
      out, "coltsfootstage_control_timers_late_max_ms %" PRId64 "\n",
      l->max_gap_us / CFS_US_PER_MS);
}
