/*
 * Monitoring of sessions: the log line of each statement, counters and the
 * latency histogram.
 */
#include "session_int.h"

#include "../process/log.h"

#include <inttypes.h>

#define PART "session"

/* Names of enum op_phase in log lines; "link" is OP_CONN. */
static const char *const phase_names[]
    = { "none", "token", "position", "link", "opening", "setup", "run" };

static const char *const state_names[] = { "idle", "open", "failed" };

static const unsigned latency_bounds_ms[LATENCY_BUCKETS]
    = { 2, 5, 10, 20, 50, 100, 250, 500, 1000, 2500 };

const char *
session_phase_name (enum op_phase phase)
{
  return phase_names[phase];
}

void
session_count_latency (struct cfs_sessions *ss, int64_t took_us)
{
  uint64_t ms = (uint64_t)(took_us / CFS_US_PER_MS);
  size_t i = 0;

  while (i < LATENCY_BUCKETS && ms > latency_bounds_ms[i])
    i++;
  ss->stats.latency[i]++;
  ss->stats.latency_sum_ms += ms;
}

void
session_log_statement (const struct cfs_session *s, enum cfs_reply_code code,
                       int64_t now)
{
  const struct op *op = &s->op;
  const struct cfs_fleet *f = s->owner->setup.fleet;

  cfs_log (code == REPLY_OK ? CFS_INFO : CFS_NOTICE, PART,
           "id=%s database=%s team=%s verb=%s state=%s code=%s target=%s "
           "need=%" PRIu64 ".%" PRIu64 " attempts=%u phase=%s last=%s "
           "version=%" PRIu64 " leased=%d took_ms=%" PRId64,
           op->statement.id, s->database, s->team,
           cfs_verb_name (op->statement.verb), state_names[s->state],
           cfs_reply_name (code), *op->target ? op->target : "-",
           op->min_position.term, op->min_position.number, op->attempts,
           phase_names[op->phase], cfs_reply_name (op->last_code),
           f->catalog ? f->catalog->version : 0, cfs_fleet_has_lease (f, now),
           (now - op->arrived) / CFS_US_PER_MS);
}

void
cfs_sessions_metrics (const struct cfs_sessions *ss, GString *out)
{
  uint64_t sum = 0;

  session_wait_metrics (ss, out);
  g_string_append_printf (out, "coltsfootstage_sessions %zu\n", ss->count);
  for (int i = 0; i < REPLY_CODES; i++)
    g_string_append_printf (
        out, "coltsfootstage_replies_total{code=\"%s\"} %" PRIu64 "\n",
        cfs_reply_name ((enum cfs_reply_code)i), ss->stats.replies[i]);
  g_string_append_printf (out, "coltsfootstage_retries_total %" PRIu64 "\n",
                          ss->stats.retries);
  g_string_append_printf (
      out,
      "coltsfootstage_placement_blocked_total %" PRIu64 "\n"
      "coltsfootstage_transactions_evacuated_total %" PRIu64 "\n"
      "coltsfootstage_cold_tokens_used_total %" PRIu64 "\n"
      "coltsfootstage_acknowledgements_withheld_total %" PRIu64 "\n",
      ss->stats.blocked, ss->stats.evacuated, ss->stats.cold_tokens,
      ss->stats.acks_withheld);
  for (int i = 0; i <= LATENCY_BUCKETS; i++)
    {
      sum += ss->stats.latency[i];
      if (i < LATENCY_BUCKETS)
        g_string_append_printf (
            out, "coltsfootstage_latency_ms_bucket{le=\"%u\"} %" PRIu64 "\n",
            latency_bounds_ms[i], sum);
    }
  g_string_append_printf (
      out,
      "coltsfootstage_latency_ms_bucket{le=\"+Inf\"} %" PRIu64 "\n"
      "coltsfootstage_latency_ms_sum %" PRIu64 "\n"
      "coltsfootstage_latency_ms_count %" PRIu64 "\n",
      sum, ss->stats.latency_sum_ms, sum);
}
