/*
 * A statement passes through phases: it obtains a rate limit token, a minimum
 * position, an instance, and a pooled connection in the session's state, and
 * is then executed.  Until it has been sent it may be retried at another
 * instance.  After that, only a definite reply of an instance gives a definite
 * result: a commit or a single write without a reply may have taken effect.
 *
 * A former primary that does not know of its replacement answers a plain read
 * with stale data.  Reads on routes with CONSISTENCY_LATEST therefore run
 * inside a read-write transaction, which a former primary refuses to start.
 */
#include "session_int.h"

#include "../process/log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART "run"
/* Delays before a statement is retried. */
#define NO_TARGET_RETRY_US (10 * CFS_US_PER_MS)
#define TOKEN_RETRY_US (5 * CFS_US_PER_MS)
/* A read is retried at another instance if a connection is not established
   within this time. */
#define READ_OPEN_TIMEOUT_US (350 * CFS_US_PER_MS)

/* Sends the statement, followed by the end of the proxy's own transaction if
   there is one. */
void
session_send_statement (struct cfs_session *s, int64_t now)
{
  struct cfs_statement statements[2];
  char prepared_name[PREPARED_NAME_BYTES];
  size_t count = 1;

  statements[0] = s->op.statement;
  if (statements[0].verb == VERB_EXECUTE)
    {
      session_prepared_name (session_find_prepared (s, statements[0].name),
                             prepared_name);
      statements[0].name = prepared_name;
    }
  if (s->state == TX_IDLE && !s->op.writes && !session_wraps_in_tx (s))
    statements[0].after = s->op.min_position;
  if (session_wraps_in_tx (s))
    {
      memset (&statements[1], 0, sizeof statements[1]);
      statements[1].verb = VERB_ROLLBACK;
      count = 2;
    }
  s->op.phase = OP_RUN;
  s->op.sent_at = now;
  if (s->op.writes)
    s->tx_wrote = true;
  cfs_pooled_conn_send (s->conn, statements, count, now);
}

/* A transaction of which the caller has an answer cannot run elsewhere. */
static void
leave_draining_target (struct cfs_session *s, int64_t now)
{
  if (s->state == TX_OPEN && s->tx_answered)
    {
      session_fail_transaction (
          s, "the instance shuts down, the transaction was rolled back", now);
      return;
    }
  s->tx_wrote = false;
  session_retry (s, REPLY_NOT_PRIMARY, NO_TARGET_RETRY_US, now);
}

/* Whether the key is still valid and the target may still be used. */
bool
session_may_send (struct cfs_session *s, int64_t now)
{
  if (!session_conn_allowed (s, now))
    s->op.blocked = PLACEMENT_EVACUATED;
  else if (session_cold_denied (s, now))
    s->op.blocked = PLACEMENT_COLD;
  return s->op.blocked == PLACEMENT_ALLOWED && session_key_valid (s, now);
}

void
session_prepare_conn (struct cfs_session *s)
{
  struct conn_setup setup = { .count = 0 };
  int64_t now = session_now (s);

  if (cfs_pool_drain_expired (s->owner->setup.pool,
                              cfs_pooled_conn_target (s->conn), now))
    {
      leave_draining_target (s, now);
      return;
    }

  if (!session_may_send (s, now))
    {
      session_reject_not_run (s, now);
      return;
    }
  if (!session_take_cold_token (s, now))
    return;
  s->op.begins_tx = false;
  session_build_setup (s, &setup);
  if (setup.count == 0)
    {
      session_send_statement (s, now);
      return;
    }
  s->op.phase = OP_SETUP;
  s->op.setup_pending = (unsigned)setup.count;
  s->op.opened_at = now;
  cfs_pooled_conn_send (s->conn, setup.statements, setup.count, now);
}

void
session_add_tried (struct op *op, const char *target)
{
  if (op->tried_count < TRIED_MAX)
    cfs_copy (op->tried[op->tried_count++], CFS_NAME_MAX, target);
}

/* The instance to run the statement, or NULL if none is available now. */
static const struct cfs_target *
choose_target (struct cfs_session *s, int64_t now)
{
  struct cfs_pool *pool = s->owner->setup.pool;
  struct cfs_placement_scope scope = session_scope (s);
  const struct cfs_target *t;

  if (session_needs_primary (s))
    {
      t = cfs_pool_primary (pool, s->service, &scope, now);
      if (t && session_commits (s) && !session_may_acknowledge (s, t->id, now))
        return NULL;
      return t && cfs_pool_accepts (pool, t->id, now) ? t : NULL;
    }
  t = cfs_pool_choose (pool, s->service, s->team, &scope, &s->op.min_position,
                       (const char (*)[CFS_NAME_MAX])s->op.tried,
                       s->op.tried_count, now);
  if (!t)
    s->op.tried_count = 0;
  return t;
}

/* The connection on which the transaction of the session is open. */
static void
acquire_own_conn (struct cfs_session *s, int64_t now)
{
  const char *target = cfs_pooled_conn_target (s->conn);

  if (session_commits (s) && !session_may_acknowledge (s, target, now))
    {
      s->op.phase = OP_CONN;
      s->op.last_code = REPLY_NOT_PRIMARY;
      s->op.retry_at = now + NO_TARGET_RETRY_US;
      return;
    }
  cfs_copy (s->op.target, sizeof s->op.target, target);
  session_prepare_conn (s);
}

static void
acquire_conn (struct cfs_session *s, int64_t now)
{
  const struct cfs_target *t;
  bool opening;

  if (s->tx_on_conn)
    {
      acquire_own_conn (s, now);
      return;
    }
  s->op.phase = OP_POSITION;
  if (session_must_queue (s))
    return;
  t = choose_target (s, now);
  s->op.blocked = t ? PLACEMENT_ALLOWED : session_blocked (s, now);
  if (s->op.blocked != PLACEMENT_ALLOWED)
    {
      session_reject_not_run (s, now);
      return;
    }
  if (!t)
    {
      if (!session_note_no_room (s, now))
        s->op.retry_at = now + NO_TARGET_RETRY_US;
      return;
    }
  s->conn = cfs_pool_acquire (s->owner->setup.pool, t->id, s->team,
                              &session_conn_events, s, now, &opening);
  if (!s->conn)
    {
      session_add_tried (&s->op, t->id);
      s->op.last_code = REPLY_NO_CONNECTION;
      s->op.retry_at
          = now + (session_needs_primary (s) ? NO_TARGET_RETRY_US : 0);
      return;
    }
  s->op.attempts++;
  s->op.opened_at = now;
  cfs_copy (s->op.target, sizeof s->op.target, t->id);
  if (opening)
    s->op.phase = OP_OPENING;
  else
    session_prepare_conn (s);
}

static bool
determine_position (struct cfs_session *s, int64_t now)
{
  struct op *op = &s->op;

  memset (&op->min_position, 0, sizeof op->min_position);
  if (session_needs_primary (s))
    return true;
  if (!cfs_samples_min_position (s->owner->samples, s->service,
                                 s->route.max_age_us, s->team, now,
                                 &op->min_position))
    {
      op->last_code = REPLY_BEHIND;
      op->blocked = session_blocked (s, now);
      if (op->blocked != PLACEMENT_ALLOWED)
        session_reject_not_run (s, now);
      return false;
    }
  if (s->route.consistency == CONSISTENCY_OWN
      && cfs_position_compare (&s->own_commit, &op->min_position) > 0)
    op->min_position = s->own_commit;
  return true;
}

static void
acquire_token (struct cfs_session *s, int64_t now)
{
  int64_t wait = 0;

  if (*s->team && session_must_queue (s))
    {
      session_set_awaiting_token (s, true);
      return;
    }
  if (*s->team && !cfs_quota_take (s->owner->setup.quota, s->team, now, &wait))
    {
      if (cfs_quota_denied (s->owner->setup.quota, s->team, s->op.arrived,
                            now))
        {
          session_reject_not_run (s, now);
          return;
        }
      session_set_awaiting_token (s, true);
      cfs_waitlist_block_team (
          &s->op.waiter,
          now + (wait < TOKEN_RETRY_US ? wait : TOKEN_RETRY_US));
      return;
    }
  session_set_awaiting_token (s, false);
  if (s->op.statement.verb != VERB_BEGIN
      && s->op.statement.verb != VERB_BEGIN_READ)
    {
      s->op.phase = OP_POSITION;
      return;
    }
  s->state = TX_OPEN;
  session_reply (s, REPLY_OK, NULL);
}

/* Advances the statement until it is sent or has to wait. */
static void
advance (struct cfs_session *s, int64_t now)
{
  enum op_phase before;

  do
    {
      before = s->op.phase;
      if (before == OP_TOKEN)
        acquire_token (s, now);
      else if (before == OP_POSITION && determine_position (s, now))
        {
          s->op.phase = OP_CONN;
          acquire_conn (s, now);
        }
      else if (before == OP_CONN)
        acquire_conn (s, now);
    }
  while (before == OP_TOKEN && s->op.phase == OP_POSITION);
}

void
session_run (struct cfs_session *s, int64_t now)
{
  if (now >= s->op.retry_at)
    advance (s, now);
  session_update_wait (s, now);
}

void
session_retry (struct cfs_session *s, enum cfs_reply_code why,
               int64_t pause_us, int64_t now)
{
  struct op *op = &s->op;

  if (s->conn)
    session_add_tried (op, cfs_pooled_conn_target (s->conn));
  session_rollback_conn (s, now);
  s->owner->stats.retries++;
  op->last_code = why;
  op->phase = OP_POSITION;
  op->retry_at = now + pause_us;
  cfs_log (CFS_INFO, PART,
           "id=%s database=%s retrying statement after code=%s "
           "attempts=%u",
           op->statement.id, s->database, cfs_reply_name (why), op->attempts);
  if (now >= op->reject_at)
    session_reject_not_run (s, now);
  else
    session_run (s, now);
}

void
session_check_timeouts (struct cfs_session *s, int64_t now)
{
  struct op *op = &s->op;

  if (op->phase == OP_RUN)
    {
      if (now >= op->deadline)
        session_fail_statement (
            s, REPLY_TIMEOUT, "the instance did not reply within the timeout",
            now);
      return;
    }
  if (session_gives_up (s, now))
    session_reject_not_run (s, now);
  else if (op->phase == OP_OPENING && !session_needs_primary (s)
           && now - op->opened_at > READ_OPEN_TIMEOUT_US)
    {
      cfs_pool_note_slow (s->owner->setup.pool,
                          cfs_pooled_conn_target (s->conn), now);
      session_retry (s, REPLY_NO_CONNECTION, 0, now);
    }
  else if (op->phase == OP_TOKEN
           && cfs_quota_denied (s->owner->setup.quota, s->team, op->arrived,
                                now))
    session_reject_not_run (s, now);
}

void
session_end_statement (struct cfs_session *s, int64_t now)
{
  if (s->op.phase == OP_RUN)
    session_fail_statement (s, REPLY_FAILED, "the host is shutting down", now);
  else
    session_reject_because (s, "the host is shutting down", now);
}
