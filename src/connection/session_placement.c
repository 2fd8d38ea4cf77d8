/*
 * What evacuations and allowed regions mean for a session: a statement that no
 * target may run is rejected at once, and work in an evacuated zone ends
 * before the time is up.  A connection there is closed instead of rolled back,
 * because a rollback is a statement, too.  Each statement to a cold target
 * takes a token that the control leader granted for the target.
 */
#include "session_int.h"

#include "../process/cold.h"
#include "../process/log.h"

#include <string.h>

#define PART "placement"
/* A statement for which only cold targets are left waits this long for a token
   that the control leader denies. */
#define COLD_WAIT_MAX_US (300 * CFS_US_PER_MS)
/* Delay before it tries again to take one. */
#define COLD_RETRY_US (5 * CFS_US_PER_MS)

struct cfs_placement_scope
session_scope (const struct cfs_session *s)
{
  return cfs_placement_scope (s->owner->setup.fleet, s->database, s->team);
}

enum cfs_placement_reason
session_blocked (struct cfs_session *s, int64_t now)
{
  struct cfs_placement_scope scope = session_scope (s);
  bool primary = session_needs_primary (s);
  enum cfs_placement_reason reason = cfs_placement_blocked (
      s->owner->setup.fleet, s->service, &scope,
      primary ? PLACEMENT_PRIMARY : PLACEMENT_READ, now);

  if (reason == PLACEMENT_ALLOWED)
    return reason;
  s->owner->stats.blocked++;
  cfs_log (CFS_INFO, PART,
           "id=%s database=%s team=%s service=%s primary=%d no target may run "
           "the statement: %s",
           s->op.statement.id, s->database, s->team, s->service, primary,
           cfs_placement_reason_name (reason));
  return reason;
}

bool
session_conn_allowed (const struct cfs_session *s, int64_t now)
{
  const struct cfs_fleet *f = s->owner->setup.fleet;
  const struct cfs_target *t;

  if (!s->conn || f->evacuations.count == 0)
    return true;
  t = cfs_table_find (&f->targets, cfs_pooled_conn_target (s->conn));
  return !t
         || cfs_placement_usable (
             cfs_placement_check (f, t, NULL, PLACEMENT_HELD, now));
}

void
session_stop_awaiting_cold (struct cfs_session *s)
{
  if (!*s->op.cold_resource)
    return;
  cfs_quota_count_waiting (s->owner->setup.quota, s->op.cold_resource, false);
  s->op.cold_resource[0] = '\0';
}

bool
session_cold_denied (struct cfs_session *s, int64_t now)
{
  return *s->op.cold_resource && now - s->op.arrived > COLD_WAIT_MAX_US
         && cfs_quota_denied (s->owner->setup.quota, s->op.cold_resource,
                              s->op.arrived, now);
}

/* Outside of a transaction the connection is released and the target chosen
   anew. */
static void
await_cold_token (struct cfs_session *s, const char *resource, int64_t now)
{
  if (!*s->op.cold_resource)
    {
      cfs_copy (s->op.cold_resource, CFS_NAME_MAX, resource);
      cfs_quota_count_waiting (s->owner->setup.quota, resource, true);
    }
  s->op.phase = OP_CONN;
  s->op.retry_at = now + COLD_RETRY_US;
  if (!s->tx_on_conn)
    {
      session_rollback_conn (s, now);
      s->op.attempts--;
      s->op.phase = OP_POSITION;
    }
  session_update_wait (s, now);
}

bool
session_take_cold_token (struct cfs_session *s, int64_t now)
{
  const struct cfs_fleet *f = s->owner->setup.fleet;
  struct cfs_quota *quota = s->owner->setup.quota;
  const char *id = cfs_pooled_conn_target (s->conn);
  const struct cfs_target *t = cfs_table_find (&f->targets, id);
  char resource[CFS_NAME_MAX];
  int64_t wait;

  if (!t || !cfs_target_is_cold (f->catalog, t))
    {
      session_stop_awaiting_cold (s);
      return true;
    }
  cfs_cold_resource (id, resource);
  if (strcmp (resource, s->op.cold_resource) != 0)
    session_stop_awaiting_cold (s);
  if (cfs_quota_take (quota, resource, now, &wait))
    {
      session_stop_awaiting_cold (s);
      s->owner->stats.cold_tokens++;
      return true;
    }
  await_cold_token (s, resource, now);
  return false;
}

void
session_end_evacuated_tx (struct cfs_session *s, int64_t now)
{
  if (s->state != TX_OPEN || s->op.phase != OP_NONE
      || session_conn_allowed (s, now))
    return;
  s->owner->stats.evacuated++;
  cfs_log (CFS_NOTICE, PART,
           "database=%s team=%s target=%s transaction rolled back: zone "
           "evacuated",
           s->database, s->team, cfs_pooled_conn_target (s->conn));
  session_rollback_conn (s, now);
  s->state = TX_FAILED;
}
