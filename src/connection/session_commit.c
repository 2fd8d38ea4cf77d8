/*
 * Commits of callers.  A write outside a transaction and a COMMIT are sent
 * only under an acknowledgement lease for the primary, so that few of them are
 * on their way when it ends, and their success is told to the caller only
 * under one.  See ack_lease.h.
 */
#include "session_int.h"

#include "../process/log.h"

#include <inttypes.h>

#define PART "commit"

bool
session_commits (const struct cfs_session *s)
{
  if (s->op.statement.verb == VERB_COMMIT)
    return s->tx_wrote;
  return s->state == TX_IDLE && s->op.writes;
}

bool
session_may_acknowledge (const struct cfs_session *s, const char *target,
                         int64_t now)
{
  return cfs_ack_lease_valid (s->owner->setup.fleet, s->service, target, now);
}

bool
session_accept_commit (struct cfs_session *s, const struct cfs_position *p,
                       int64_t now)
{
  const char *target = cfs_pooled_conn_target (s->conn);

  if (!session_may_acknowledge (s, target, now))
    {
      s->owner->stats.acks_withheld++;
      cfs_log (CFS_NOTICE, PART,
               "id=%s service=%s target=%s position=%" PRIu64 ".%" PRIu64
               " acknowledgement not passed on: no lease",
               s->op.statement.id, s->service, target, p->term, p->number);
      return false;
    }
  cfs_passed_acks_add (&s->owner->acks, s->service, p);
  if (cfs_position_compare (p, &s->own_commit) > 0)
    s->own_commit = *p;
  cfs_samples_add (s->owner->samples, s->service, p, s->op.sent_at);
  cfs_pool_note_stuck (s->owner->setup.pool, target, false, now);
  return true;
}
