/*
 * A commit is acknowledged once one replica has received it, so a replica that
 * leaves, is replaced at its address or falls silent may have been the only
 * one with a commit, beside a primary that fails next.  The proof that this is
 * not so takes three steps in this order: the instance has ended; the primary
 * returns a position to a query sent after that, which no later commit of the
 * departed instance can exceed; an instance that stays has received that
 * position.  The result is committed to the replicated log, so a new leader
 * has to prove only what is not recorded there.
 *
 * One proof covers all departures of a service that are open when it begins;
 * a further departure begins it anew.  No instance is queried while there is
 * none.
 */
#include "failover_int.h"

#include "log.h"

#include <inttypes.h>
#include <string.h>

#define PART "failover"
/* Interval between status queries to a replica that has not received the
   position of the primary. */
#define STATUS_REPEAT_US (500 * CFS_US_PER_MS)
/* Time after which a result that is not committed is proposed again. */
#define PROPOSE_AGAIN_US (3 * CFS_US_PER_S)

static bool
is_open (const struct failover_state *f, const struct cfs_target *t)
{
  return cfs_target_is_unproven (t) && strcmp (t->service, f->service) == 0;
}

/* Log index of the newest departure that is not proven, or 0. */
static uint64_t
newest_departure (const struct cfs_failover_manager *m,
                  const struct failover_state *f)
{
  uint64_t newest = 0;

  for (size_t i = 0; i < m->state->targets.count; i++)
    {
      const struct cfs_target *t = cfs_table_at (&m->state->targets, i);

      if (is_open (f, t) && t->changed > newest)
        newest = t->changed;
    }
  return newest;
}

/* An instance that has left without any trace ends by itself.  Any other may
   run on, unreachable, until its address shows that it is not there. */
bool
failover_has_ended (struct failover_state *f, const struct cfs_target *t,
                    int64_t since, int64_t now)
{
  const struct probe *p = failover_find_probe (f, t->id);

  if (p)
    since = p->added_at;
  return (p && p->absent)
         || (cfs_target_has_left (t) && now - since >= EXIT_TIMEOUT_US);
}

/* Connects to those that have not ended. */
static bool
have_all_ended (struct cfs_failover_manager *m, struct failover_state *f,
                int64_t now)
{
  bool all = true;

  for (size_t i = 0; i < m->state->targets.count; i++)
    {
      const struct cfs_target *t = cfs_table_at (&m->state->targets, i);
      struct probe *p = failover_find_probe (f, t->id);

      if (!is_open (f, t)
          || failover_has_ended (f, t, f->proof.started_at, now))
        continue;
      if (p)
        failover_open_probe (m, p, t, now);
      all = false;
    }
  return all;
}

/* Queries an instance that stays.  Returns whether it has received the
   position of the primary. */
static bool
has_received (struct cfs_failover_manager *m, struct failover_state *f,
              const struct cfs_target *t, int64_t now)
{
  struct probe *p = failover_find_probe (f, t->id);

  if (!p)
    return false;
  if (p->status_known && !p->status.primary
      && cfs_position_compare (&p->status.received, &f->proof.floor) >= 0)
    return true;
  failover_open_probe (m, p, t, now);
  if (p->connected && !p->query_pending
      && (!p->status_known || now - p->replied_at >= STATUS_REPEAT_US))
    failover_query_status (p, now);
  return false;
}

/* Returns a replica that stays and has received the position of the primary,
   or NULL. */
static const struct cfs_target *
find_witness (struct cfs_failover_manager *m, struct failover_state *f,
              const struct cfs_target *primary, int64_t now)
{
  const struct cfs_target *witness = NULL;

  for (size_t i = 0; i < m->state->targets.count; i++)
    {
      const struct cfs_target *t = cfs_table_at (&m->state->targets, i);

      if (t->gone || t->draining || t == primary
          || strcmp (t->service, f->service) != 0)
        continue;
      if (has_received (m, f, t, now))
        witness = t;
    }
  return witness;
}

static void
propose_result (struct cfs_failover_manager *m, struct failover_state *f,
                const struct cfs_target *witness, int64_t now)
{
  f->proof.proposed_at = now;
  for (size_t i = 0; i < m->state->targets.count; i++)
    {
      const struct cfs_target *t = cfs_table_at (&m->state->targets, i);

      if (!is_open (f, t) || t->changed > f->proof.index)
        continue;
      cfs_log (CFS_NOTICE, PART,
               "service=%s target=%s index=%" PRIu64
               " departure proven: target=%s has position=%" PRIu64 ".%" PRIu64
               " took_ms=%" PRId64,
               f->service, t->id, t->changed, witness->id, f->proof.floor.term,
               f->proof.floor.number,
               (now - f->proof.started_at) / CFS_US_PER_MS);
      m->ops->departure_proven (m->ctx, t->id);
    }
}

void
failover_prove_departures (struct cfs_failover_manager *m,
                           struct failover_state *f,
                           const struct cfs_target *primary, int64_t now)
{
  struct departure_proof *proof = &f->proof;
  const struct probe *pp = &f->primary_probe;
  uint64_t newest = newest_departure (m, f);
  const struct cfs_target *witness;

  if (newest != proof->index)
    {
      failover_close_probes (f);
      memset (proof, 0, sizeof *proof);
      proof->index = newest;
      proof->started_at = now;
    }
  if (!newest || !primary
      || (proof->proposed_at && now - proof->proposed_at < PROPOSE_AGAIN_US))
    return;
  failover_update_probes (m, f, now);
  if (!have_all_ended (m, f, now))
    return;
  if (!proof->ended_at)
    proof->ended_at = now;
  if (!proof->floor.term && pp->position.term
      && pp->position_asked_at >= proof->ended_at
      && strcmp (pp->target, primary->id) == 0)
    proof->floor = pp->position;
  if (!proof->floor.term)
    return;
  witness = find_witness (m, f, primary, now);
  if (witness)
    propose_result (m, f, witness, now);
}
