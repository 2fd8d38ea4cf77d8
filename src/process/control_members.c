/*
 * A change is logged by the leader that proposes it.  Its line has the hosts
 * that vote before and after it, the members that were silent, and how many
 * disks the group may lose after it and still elect a leader.
 */
#include "control_members.h"

#include "log.h"

#include <glib.h>
#include <inttypes.h>

#define PART "control"
/* A member that has not answered for this long is named as silent. */
#define SILENT_US CFS_US_PER_S
/* Time without a leader after which it is logged, and the time between two
   such lines. */
#define NO_LEADER_US (3 * CFS_US_PER_S)
#define NO_LEADER_LOG_INTERVAL_US (10 * CFS_US_PER_S)

static const char *const kind_names[] = {
  [CFS_RAFT_LEARNER_ADDED] = "learner added",
  [CFS_RAFT_LEARNER_REMOVED] = "silent learner removed",
  [CFS_RAFT_LEARNER_PROMOTED] = "learner becomes voter",
  [CFS_RAFT_DISK_LOST] = "learner in place of an identity whose disk is lost",
  [CFS_RAFT_VOTER_REMOVED] = "voter removed",
};

/* Appends the hosts of the voters or of the learners, "-" if there are none.
 */
static void
append_hosts (GString *out, const struct cfs_raft_membership *m, bool voters)
{
  size_t start = out->len;

  for (size_t i = 0; i < m->count; i++)
    if (m->at[i].voter == voters)
      g_string_append_printf (out, "%s%s", out->len > start ? "," : "",
                              m->at[i].host);
  if (out->len == start)
    g_string_append_c (out, '-');
}

static void
append_silent (GString *out, const struct cfs_raft_change *change)
{
  size_t start = out->len;

  for (size_t i = 0; i < change->before->count; i++)
    if (change->silent_us[i] >= SILENT_US)
      g_string_append_printf (
          out, "%s%s:%" PRId64 "ms", out->len > start ? "," : "",
          change->before->at[i].host, change->silent_us[i] / CFS_US_PER_MS);
  if (out->len == start)
    g_string_append_c (out, '-');
}

/* Number of voters that a group may lose and still have a majority. */
static size_t
count_bearable_losses (const struct cfs_raft_membership *m)
{
  size_t voters = cfs_raft_count_voters (m);

  return voters ? (voters - 1) / 2 : 0;
}

void
control_members_log_change (const struct cfs_raft_change *change,
                            uint64_t term)
{
  GString *out = g_string_new (NULL);

  g_string_append (out, " voters_before=");
  append_hosts (out, change->before, true);
  g_string_append (out, " voters_after=");
  append_hosts (out, change->after, true);
  g_string_append (out, " learners=");
  append_hosts (out, change->after, false);
  g_string_append (out, " silent=");
  append_silent (out, change);
  cfs_log (CFS_NOTICE, PART, "%s: member=%s term=%" PRIu64 " bears=%zu%s",
           kind_names[change->kind], change->host, term,
           count_bearable_losses (change->after), out->str);
  g_string_free (out, TRUE);
}

/* Time since this host last had a leader, or was one. */
static int64_t
time_without_leader (const struct control_members_log *log,
                     const struct cfs_raft_election *e, int64_t now)
{
  return now - (log->led_at > e->heard_at ? log->led_at : e->heard_at);
}

void
control_members_log_election (struct control_members_log *log,
                              const struct cfs_raft *raft, int64_t now)
{
  struct cfs_raft_election e = cfs_raft_election (raft);
  int64_t missing;

  if (cfs_raft_role (raft) == RAFT_LEADER)
    log->led_at = now;
  missing = time_without_leader (log, &e, now);
  if (missing < NO_LEADER_US
      || (log->logged_at && now - log->logged_at < NO_LEADER_LOG_INTERVAL_US))
    return;
  log->logged_at = now;
  cfs_log (CFS_WARNING, PART,
           "no leader for_ms=%" PRId64 " voters=%zu granted=%zu needed=%zu "
           "voter=%s",
           missing / CFS_US_PER_MS, e.voters, e.granted, e.needed,
           e.is_voter ? "yes" : "no");
}
