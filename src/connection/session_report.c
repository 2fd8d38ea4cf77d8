/*
 * What the results of statements tell the connection pool about an instance.
 */
#include "session_int.h"

enum cfs_capacity_class
session_capacity_class (const struct cfs_session *s)
{
  if (s->op.statement.verb == VERB_COMMIT)
    return CAPACITY_COMMIT;
  return s->op.writes ? CAPACITY_WRITE : CAPACITY_READ;
}

void
session_record_result (struct cfs_session *s,
                       enum cfs_capacity_outcome outcome, int64_t now)
{
  cfs_pooled_conn_record_result (s->conn, session_capacity_class (s), outcome,
                                 now - s->op.sent_at);
}

void
session_report_error (struct cfs_session *s, enum cfs_reply_code code,
                      int64_t now)
{
  struct cfs_pool *pool = s->owner->setup.pool;
  const char *target = cfs_pooled_conn_target (s->conn);

  if (code == REPLY_NOT_PRIMARY)
    cfs_pool_note_not_primary (pool, target, now);
  else if (code == REPLY_BEHIND)
    cfs_pool_note_behind (pool, target, &s->op.min_position, now);
  else if (code == REPLY_BUSY)
    {
      cfs_pool_note_overload (pool, target, now);
      session_record_result (s, CAPACITY_BUSY, now);
    }
  else if (code == REPLY_FAILED || code == REPLY_TIMEOUT
           || code == REPLY_UNKNOWN)
    session_record_result (s, CAPACITY_FAILED, now);
}
