/*
 * Reports and leaves of targets at the control leader.  A report is proposed
 * to the replicated log only when it changes what hosts route by, so steady
 * heartbeats cause no disk writes.
 *
 * A report that names the address of another target would end that one, which
 * may run and even lead.  So the leader connects to the address first and asks
 * for the target of the report.  Only if that one answers, the other one ends,
 * whichever of the two has the later incarnation.
 */
#include "control_int.h"

#include "log.h"

#include <inttypes.h>
#include <string.h>

#define PART "control"

static const char *const result_names[] = {
  [ADDRESS_CONFIRMED] = "confirmed",
  [ADDRESS_REFUTED] = "refuted",
  [ADDRESS_UNKNOWN] = "unknown",
};

/* Records when a target reported.  Returns whether the report is the newest of
   its sender. */
static bool
record_heartbeat (struct cfs_control *c, const struct cfs_target *report,
                  int64_t now)
{
  struct target_heartbeat *b
      = cfs_table_add (&c->fleet.heartbeats, report->id);

  if (report->incarnation < b->incarnation
      || (report->incarnation == b->incarnation
          && report->sequence <= b->sequence))
    return false;
  b->incarnation = report->incarnation;
  b->sequence = report->sequence;
  b->received_at = now;
  return true;
}

/* Whether the configuration in force names a service. */
static bool
service_is_configured (const struct cfs_control *c, const char *service)
{
  const struct cfs_catalog *catalog = cfs_leader_catalog (c->leader);

  return catalog && cfs_catalog_service (catalog, service);
}

static enum cfs_report_effect
report_effect (const struct cfs_control *c, struct cfs_target *report)
{
  return cfs_target_report_effect (
      &c->state.targets, service_is_configured (c, report->service), report);
}

/* Records a current report; @next is the entry that results from it. */
static int
accept_report (struct cfs_control *c, const struct cfs_target *report,
               struct cfs_target *next, const struct cfs_report_sender *sender,
               int64_t now)
{
  const struct cfs_target *known
      = cfs_table_find (&c->state.targets, report->id);

  if (!record_heartbeat (c, report, now) && known
      && known->incarnation == report->incarnation)
    {
      next->primary = known->primary;
      next->cold_ms = known->cold_ms;
      next->returned = known->returned;
    }
  else
    cfs_cold_report (cfs_leader_catalog (c->leader), known, next,
                     &c->fleet.cold_timers, now);
  if (!cfs_target_affects_routing (known, next))
    {
      sender->on_result (sender->tag, true);
      return CFS_OK;
    }
  return control_await_commit (c, control_propose_target (c, next),
                               sender->on_result, sender->tag, now);
}

/* Ends the target that another one has replaced at its address although its
   incarnation is later: it was recorded because of a false report, or the time
   of day was set back.  What it may have acknowledged remains to be proven. */
static void
end_holder (struct cfs_control *c, const struct cfs_target *holder)
{
  struct cfs_target next = *holder;

  next.gone = true;
  next.sequence++;
  control_propose_target (c, &next);
}

/* Goes on with a report whose target has answered.  Its sender reports again
   after a later incarnation had to be ended first. */
static int
accept_confirmed (struct cfs_control *c, const struct cfs_target *report,
                  const struct cfs_report_sender *sender, int64_t now)
{
  const struct cfs_target *holder
      = cfs_targets_holder (&c->state.targets, report->id, report->address);
  struct cfs_target next = *report;

  if (!cfs_raft_leader_confirmed (c->raft, now))
    return CFS_NOT_LEADER;
  if (holder && holder->incarnation >= report->incarnation)
    {
      end_holder (c, holder);
      return CFS_IO;
    }
  if (report_effect (c, &next) != REPORT_CURRENT)
    return CFS_BAD;
  return accept_report (c, report, &next, sender, now);
}

static void
on_checked (void *ctx, const struct cfs_target *report,
            const struct cfs_report_sender *sender,
            enum cfs_address_result result, int64_t now)
{
  struct cfs_control *c = ctx;

  c->fleet.checked[result]++;
  cfs_log (CFS_NOTICE, PART, "target=%s service=%s address=%s check=%s",
           report->id, report->service, report->address, result_names[result]);
  if (result != ADDRESS_CONFIRMED
      || accept_confirmed (c, report, sender, now) != CFS_OK)
    sender->on_result (sender->tag, false);
}

/* Whether an earlier incarnation than the known one sent a report. */
static bool
is_from_earlier_incarnation (const struct cfs_control *c,
                             const struct cfs_target *report)
{
  const struct cfs_target *known
      = cfs_table_find (&c->state.targets, report->id);

  return known && report->incarnation < known->incarnation;
}

static int
check_address (struct cfs_control *c, const struct cfs_target *report,
               const struct cfs_target *holder,
               const struct cfs_report_sender *sender, int64_t now)
{
  if (is_from_earlier_incarnation (c, report))
    return CFS_BAD;
  cfs_log (CFS_NOTICE, PART,
           "target=%s service=%s address=%s born=%" PRIu64
           " reported the address of target=%s born=%" PRIu64
           ", which is checked",
           report->id, report->service, report->address, report->incarnation,
           holder->id, holder->incarnation);
  return cfs_address_check_start (c->fleet.checks, report, sender, now)
             ? CFS_OK
             : CFS_IO;
}

int
cfs_control_report_target (struct cfs_control *c,
                           const struct cfs_target *report,
                           void (*on_result) (void *tag, bool committed),
                           void *tag, int64_t now)
{
  struct cfs_report_sender sender = { on_result, tag };
  const struct cfs_target *holder
      = cfs_targets_holder (&c->state.targets, report->id, report->address);
  struct cfs_target next = *report;
  enum cfs_report_effect effect;

  if (!cfs_raft_leader_confirmed (c->raft, now))
    return CFS_NOT_LEADER;
  effect = report_effect (c, &next);
  if (effect == REPORT_FOREIGN)
    {
      cfs_log (CFS_NOTICE, PART,
               "target=%s service=%s address=%s version=%" PRIu64
               " report not used: the configuration has no such service",
               report->id, report->service, report->address, c->state.version);
      on_result (tag, true);
      return CFS_OK;
    }
  if (holder)
    return check_address (c, report, holder, &sender, now);
  if (effect == REPORT_OUTDATED)
    return CFS_BAD;
  return accept_report (c, report, &next, &sender, now);
}

int
cfs_control_remove_target (struct cfs_control *c, const char *id,
                           uint64_t incarnation,
                           void (*on_result) (void *tag, bool committed),
                           void *tag, int64_t now)
{
  const struct cfs_target *known = cfs_table_find (&c->state.targets, id);
  const struct target_heartbeat *b = cfs_table_find (&c->fleet.heartbeats, id);
  struct cfs_target next;

  if (!cfs_raft_leader_confirmed (c->raft, now))
    return CFS_NOT_LEADER;
  if (!known || cfs_target_has_left (known)
      || (known->gone && !cfs_target_is_unproven (known)))
    {
      on_result (tag, true);
      return CFS_OK;
    }
  next = *known;
  if (b && b->incarnation == next.incarnation && b->sequence > next.sequence)
    next.sequence = b->sequence;
  if (!cfs_target_mark_left (&next, incarnation))
    return CFS_BAD;
  return control_await_commit (c, control_propose_target (c, &next), on_result,
                               tag, now);
}

void
control_reports_start (struct cfs_control *c)
{
  static const struct cfs_address_check_ops ops = { on_checked };

  c->fleet.checks = cfs_address_checks_new (&ops, c, c->fleet.setup.adapter);
}

void
control_reports_metrics (const struct cfs_control *c, GString *out)
{
  for (size_t i = 0; i <= ADDRESS_UNKNOWN; i++)
    g_string_append_printf (out,
                            "coltsfootstage_address_checks_total"
                            "{result=\"%s\"} %" PRIu64 "\n",
                            result_names[i], c->fleet.checked[i]);
}
