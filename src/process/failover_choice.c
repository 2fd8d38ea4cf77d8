/*
 * The choice of the instance to promote, of those whose logs are known, and
 * the bounds that it must meet.  Every acknowledged commit is in a known log,
 * and no candidate is behind the longest of these, a position that the leader
 * saw at the primary, or one that came with an acknowledgement which a host
 * passed on.
 *
 * What is known of the logs holds only while no commit is acknowledged any
 * more: a pause can end unnoticed, a replica can begin to receive, and an
 * earlier promotion request can be carried out.  So either the primary has
 * confirmed its demotion, or the statuses were requested after the hosts had
 * stopped to pass on acknowledgements.
 */
#include "failover_int.h"

#include "log.h"

#include <inttypes.h>
#include <string.h>

#define PART "failover"
/* A former primary that has not come back with its log for this time is not
   waited for where every acknowledged commit is accounted for. */
#define PRIMARY_RETURN_US (30 * CFS_US_PER_S)
/* Interval between two looks at what hosts report. */
#define ACKS_CHECK_US (20 * CFS_US_PER_MS)
/* A position that came with an acknowledgement, and is often higher than that
   of the commit, binds for this time: a replica that joined has announced
   itself by then, and a cut has often ended. */
#define ACKED_RETURN_US (10 * CFS_US_PER_S)

/* Whether the log of an instance can grow no more and its end is known. */
static bool
log_is_known (const struct failover_state *f, const struct probe *p,
              int64_t now)
{
  return p->demoted || (p->paused && failover_status_is_current (f, p, now));
}

/* Whether the log of the primary that is replaced is known, as it led when the
   failover began, and certainly no other was promoted since. */
static bool
former_log_is_known (struct failover_state *f, int64_t now)
{
  const struct probe *former
      = *f->former_primary ? failover_find_probe (f, f->former_primary) : NULL;

  return former && former->incarnation == f->former_incarnation
         && !f->promotion_sent && log_is_known (f, former, now)
         && cfs_position_compare (&former->status.received,
                                  &f->former_position)
                >= 0;
}

static void
raise_position (struct cfs_position *p, const struct cfs_position *to)
{
  if (cfs_position_compare (to, p) > 0)
    *p = *to;
}

void
failover_await_acks (const struct cfs_failover_manager *m,
                     struct failover_state *f, int64_t now)
{
  struct cfs_position highest;
  bool stopped;

  if (now - f->acks_checked_at < ACKS_CHECK_US)
    return;
  f->acks_checked_at = now;
  stopped = m->ops->acks_stopped (m->ctx, f->service, f->opened_index,
                                  f->opened_at, &highest);
  raise_position (&f->acked, &highest);
  if (!stopped || f->acks_stopped_at)
    return;
  f->acks_stopped_at = now;
  cfs_log (CFS_NOTICE, PART,
           "service=%s no host passes on acknowledgements, highest=%" PRIu64
           ".%" PRIu64 " took_ms=%" PRId64,
           f->service, f->acked.term, f->acked.number,
           (now - f->opened_at) / CFS_US_PER_MS);
}

/* Order of preference among equal logs: outside of evacuated zones, then not
   draining and not the former primary, which is being replaced for a reason,
   then inside the regions that the routes allow. */
static unsigned
candidate_rank (const struct cfs_failover_manager *m,
                const struct failover_state *f, const struct cfs_target *t)
{
  bool stays = t && !t->draining && strcmp (t->id, f->former_primary) != 0;
  unsigned rank = stays ? 2 : 0;

  if (!t)
    return rank;
  if (!cfs_evacuations_contain (&m->state->evacuations, t->zone))
    rank += 4;
  if (!m->allowed || m->allowed (m->ctx, t))
    rank++;
  return rank;
}

/* Chooses the instance with the longest log, among equals the one with the
   highest rank.  The log of a demoted instance is compared, too: it may be the
   only known copy. */
static const struct probe *
choose_candidate (const struct cfs_failover_manager *m,
                  const struct failover_state *f, int64_t now)
{
  const struct probe *best = NULL;
  unsigned best_rank = 0;

  for (size_t i = 0; i < f->probe_count; i++)
    {
      const struct probe *p = &f->probes[i];
      const struct cfs_target *t
          = cfs_table_find (&m->state->targets, p->target);
      unsigned rank = candidate_rank (m, f, t);
      int cmp = best ? cfs_position_compare (&p->status.received,
                                             &best->status.received)
                     : 1;

      if (!t || t->gone || !log_is_known (f, p, now) || cmp < 0
          || (cmp == 0 && rank <= best_rank))
        continue;
      best = p;
      best_rank = rank;
    }
  return best;
}

/* Whether all whose logs are not known have left for good, so that nothing
   that is missing can come back. */
static bool
all_others_left (const struct probe_summary *summary)
{
  return summary->paused == summary->known
         && summary->ended >= summary->departed;
}

/* Position that a candidate must have reached: the end of the longest log, the
   highest position that the leader saw at a primary, and the highest that came
   with an acknowledgement.  The last two can be higher than that of any
   acknowledged commit, so they are given up when the primary does not come
   back. */
static struct cfs_position
required_position (const struct failover_state *f,
                   const struct probe_summary *summary, bool commits_known,
                   int64_t now)
{
  int64_t acked_bound = commits_known ? ACKED_RETURN_US : PRIMARY_RETURN_US;
  struct cfs_position required = { 0, 0 };

  if (now - f->started_at < PRIMARY_RETURN_US && !all_others_left (summary))
    required = f->seen;
  if (now - f->started_at < acked_bound)
    raise_position (&required, &f->acked);
  for (size_t i = 0; i < f->probe_count; i++)
    {
      const struct probe *p = &f->probes[i];

      if (log_is_known (f, p, now))
        raise_position (&required, &p->status.received);
    }
  return required;
}

/* Whether the known logs together hold every acknowledged commit.  Each is in
   the logs of the primary and of one other instance, which may have departed:
   it is known if the primary's log is, or all logs but one are.  An earlier
   promotion request may have made another instance primary, so the log of the
   former one says nothing then. */
static bool
commits_are_known (struct failover_state *f,
                   const struct probe_summary *summary, int64_t now)
{
  return former_log_is_known (f, now)
         || summary->paused + 1 >= summary->known + summary->departed;
}

/* Logs once per pair of positions that the failover waits. */
static void
log_wait (struct failover_state *f, const struct probe *candidate,
          const struct cfs_position *required, size_t departed)
{
  const struct cfs_position *at = &candidate->status.received;

  if (cfs_position_compare (required, &f->waits_for) == 0
      && cfs_position_compare (at, &f->waits_at) == 0)
    return;
  f->waits_for = *required;
  f->waits_at = *at;
  cfs_log (CFS_WARNING, PART,
           "service=%s failover waits for target=%s with its log: best "
           "candidate=%s position=%" PRIu64 ".%" PRIu64 " required=%" PRIu64
           ".%" PRIu64 " unproven_departures=%zu",
           f->service, *f->former_primary ? f->former_primary : "-",
           candidate->target, at->term, at->number, required->term,
           required->number, departed);
}

const struct probe *
failover_safe_candidate (const struct cfs_failover_manager *m,
                         struct failover_state *f,
                         const struct probe_summary *summary, int64_t now)
{
  const struct probe *candidate = choose_candidate (m, f, now);
  bool known = commits_are_known (f, summary, now);
  struct cfs_position required = required_position (f, summary, known, now);

  if (!candidate || (!f->acks_stopped_at && !former_log_is_known (f, now)))
    return NULL;
  if (cfs_position_compare (&candidate->status.received, &required) < 0
      || (!known && !all_others_left (summary)))
    {
      log_wait (f, candidate, &required, summary->departed);
      return NULL;
    }
  if (!known)
    cfs_log (CFS_ERR, PART,
             "service=%s commits may be lost: departures=%zu are not proven "
             "and no other log can come back",
             f->service, summary->departed);
  return candidate;
}

bool
failover_awaits_better (const struct cfs_failover_manager *m,
                        const struct failover_state *f,
                        const struct probe *candidate, int64_t now)
{
  const struct cfs_table *zones = &m->state->evacuations;
  const struct cfs_target *t
      = cfs_table_find (&m->state->targets, candidate->target);

  if (!t || !cfs_evacuations_contain (zones, t->zone)
      || now - f->phase_started_at >= PAUSE_TIMEOUT_US)
    return false;
  for (size_t i = 0; i < f->probe_count; i++)
    {
      const struct probe *p = &f->probes[i];

      t = cfs_table_find (&m->state->targets, p->target);
      if (t && !t->gone && !t->draining && !p->paused
          && !cfs_evacuations_contain (zones, t->zone))
        return true;
    }
  return false;
}
