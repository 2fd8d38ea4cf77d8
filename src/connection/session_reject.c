/*
 * The ends of a statement that did not succeed, and what each tells the
 * caller.  "Not run" is said only of a statement that no instance has; of one
 * that was sent, a commit or a single write may have taken effect.
 */
#include "session_int.h"

#include <string.h>

#define REJECT_TEXT_BYTES 96
/* Retry delay suggested to callers whose statement was not run. */
#define RETRY_AFTER_MS 200

void
session_fail_transaction (struct cfs_session *s, const char *text, int64_t now)
{
  bool commit = s->op.statement.verb == VERB_COMMIT;

  session_rollback_conn (s, now);
  s->state = commit ? TX_IDLE : TX_FAILED;
  session_reply (s, REPLY_ABORTED, text);
}

static const char *
rejection_reason (const struct cfs_session *s)
{
  if (s->op.blocked != PLACEMENT_ALLOWED)
    return cfs_placement_reason_name (s->op.blocked);
  return s->op.phase == OP_TOKEN ? "team rate limit exceeded"
                                 : cfs_reply_name (s->op.last_code);
}

/* Time after which a rejected statement may be retried. */
static int
retry_after_ms (const struct cfs_session *s, int64_t now)
{
  const char *id = s->op.statement.id ? s->op.statement.id : "";
  uint64_t seed = cfs_hash (id, strlen (id), (uint64_t)now) | 1;

  if (s->op.phase != OP_TOKEN)
    return RETRY_AFTER_MS;
  return (int)(cfs_quota_retry_us (s->owner->setup.quota, s->team, &seed, now)
               / CFS_US_PER_MS);
}

void
session_reject_because (struct cfs_session *s, const char *reason, int64_t now)
{
  char text[REJECT_TEXT_BYTES];
  unsigned retry_ms = s->op.retry_after_ms;

  g_snprintf (text, sizeof text, "not run (%s), retry in %d ms", reason,
              retry_ms ? (int)retry_ms : retry_after_ms (s, now));
  session_count_rejection (s);
  if (s->state == TX_OPEN)
    session_fail_transaction (s, text, now);
  else
    {
      session_rollback_conn (s, now);
      session_reply (s, REPLY_BUSY, text);
    }
}

void
session_reject_not_run (struct cfs_session *s, int64_t now)
{
  session_reject_because (s, rejection_reason (s), now);
}

void
session_fail_statement (struct cfs_session *s, enum cfs_reply_code code,
                        const char *text, int64_t now)
{
  bool commit = s->op.statement.verb == VERB_COMMIT;

  if (s->conn && code == REPLY_TIMEOUT)
    {
      session_record_result (s, CAPACITY_FAILED, now);
      cfs_pool_note_stuck (s->owner->setup.pool,
                           cfs_pooled_conn_target (s->conn), true, now);
    }
  if (s->state == TX_OPEN && !(commit && s->tx_wrote))
    {
      session_fail_transaction (s, text, now);
      return;
    }
  session_rollback_conn (s, now);
  s->state = TX_IDLE;
  if (commit || s->op.writes)
    code = REPLY_UNKNOWN;
  session_reply (s, code, text);
}
