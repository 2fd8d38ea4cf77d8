/*
 * What the replies of an instance, or the loss of a connection, mean for the
 * current statement.  A reply gives a definite result; without one, a commit
 * or a single write that was sent may have taken effect.
 */
#include "session_int.h"

#include "../process/log.h"

#include <string.h>

#define PART "result"
/* Delay before a statement is sent again that an instance refused. */
#define BUSY_RETRY_US (15 * CFS_US_PER_MS)

static void
on_opened (void *user, const struct cfs_reply *r)
{
  struct cfs_session *s = user;

  if (r->code == REPLY_OK)
    {
      session_prepare_conn (s);
      return;
    }
  session_add_tried (&s->op, s->op.target);
  s->conn = NULL;
  session_retry (s, r->code, BUSY_RETRY_US, session_now (s));
}

static void
handle_setup_reply (struct cfs_session *s, const struct cfs_reply *r)
{
  int64_t now = session_now (s);
  struct op *op = &s->op;

  op->setup_pending--;
  if (r->code != REPLY_OK)
    {
      session_report_error (s, r->code, now);
      if (op->setup_pending > 0 || !op->begins_tx || r->state != TX_IDLE)
        {
          session_add_tried (op, cfs_pooled_conn_target (s->conn));
          cfs_pool_close_conn (s->conn);
          s->conn = NULL;
          s->tx_on_conn = false;
        }
      if (s->state == TX_OPEN && s->tx_answered)
        session_fail_transaction (
            s, "connection setup failed, the transaction was rolled back",
            now);
      else
        session_retry (s, r->code, 0, now);
      return;
    }
  if (op->setup_pending > 0)
    return;
  if (op->begins_tx)
    {
      s->tx_on_conn = true;
      if (session_needs_primary (s))
        cfs_samples_add (s->owner->samples, s->service, &r->position,
                         op->opened_at);
    }
  if (!session_may_send (s, now))
    session_reject_not_run (s, now);
  else
    session_send_statement (s, now);
}

static void
release_conn (struct cfs_session *s, int64_t now)
{
  struct cfs_pooled_conn *conn = s->conn;

  s->conn = NULL;
  s->tx_on_conn = false;
  cfs_pool_release (conn, now);
}

/* The instance has committed, but a promotion that does not contain the commit
   may be under way. */
static void
withhold_commit (struct cfs_session *s, int64_t now)
{
  release_conn (s, now);
  session_fail_statement (s, REPLY_UNKNOWN,
                          "the primary is being replaced or is not confirmed",
                          now);
}

static void
handle_success (struct cfs_session *s, const struct cfs_reply *r, int64_t now)
{
  struct cfs_reply out = *r;
  bool commit = s->op.statement.verb == VERB_COMMIT;

  if (!r->proof)
    {
      session_record_result (s, CAPACITY_FAILED, now);
      session_fail_statement (s, REPLY_FAILED,
                              "the instance gave no proof of execution", now);
      return;
    }
  session_record_result (s, CAPACITY_OK, now);
  if (session_commits (s) && !session_accept_commit (s, &r->position, now))
    {
      withhold_commit (s, now);
      return;
    }
  s->tx_answered = true;
  if (s->state == TX_IDLE || commit)
    {
      s->state = TX_IDLE;
      out.state = TX_IDLE;
      release_conn (s, now);
    }
  else
    out.state = TX_OPEN;
  session_forward_reply (s, &out);
}

static bool
means_not_run (enum cfs_reply_code code)
{
  return code == REPLY_BUSY || code == REPLY_BEHIND
         || code == REPLY_NOT_PRIMARY || code == REPLY_WRONG_TARGET
         || code == REPLY_UNPREPARED || code == REPLY_NO_CONNECTION;
}

/* An error reply inside the caller's transaction. */
static void
handle_tx_error (struct cfs_session *s, const struct cfs_reply *r, int64_t now)
{
  bool commit = s->op.statement.verb == VERB_COMMIT;

  if (commit && s->tx_wrote && !means_not_run (r->code)
      && r->code != REPLY_ABORTED)
    {
      session_fail_statement (
          s, REPLY_UNKNOWN, "the reply to the commit is not conclusive", now);
      return;
    }
  if (r->code == REPLY_BUSY && r->state == TX_OPEN
      && !cfs_pooled_conn_single_use (s->conn)
      && now + BUSY_RETRY_US < s->op.reject_at)
    {
      s->op.phase = OP_CONN;
      s->op.retry_at = now + BUSY_RETRY_US;
      session_update_wait (s, now);
      return;
    }
  if (means_not_run (r->code) && !s->tx_answered)
    {
      s->tx_wrote = false;
      session_retry (s, r->code, 0, now);
      return;
    }
  session_fail_transaction (s, "the transaction was rolled back", now);
}

/* An error reply outside a transaction of the caller.  If the proxy wrapped
   the statement in a transaction, the ROLLBACK that ends it was sent already,
   so the connection can be released immediately. */
static void
handle_single_error (struct cfs_session *s, const struct cfs_reply *r,
                     int64_t now)
{
  session_add_tried (&s->op, cfs_pooled_conn_target (s->conn));
  release_conn (s, now);
  if (means_not_run (r->code))
    session_retry (s, r->code, r->code == REPLY_BUSY ? BUSY_RETRY_US : 0, now);
  else if (!s->op.writes && s->op.attempts < s->route.max_attempts
           && now < s->op.reject_at)
    session_retry (s, r->code, 0, now);
  else
    {
      struct cfs_reply out = { .code = r->code, .text = r->text };

      session_forward_reply (s, &out);
    }
}

static void
handle_error (struct cfs_session *s, const struct cfs_reply *r, int64_t now)
{
  session_report_error (s, r->code, now);
  if (s->state == TX_OPEN)
    handle_tx_error (s, r, now);
  else
    handle_single_error (s, r, now);
}

/* Whether the only sign that the transaction of a write has begun is the reply
   to its BEGIN, which has no proof and may be that to an earlier one. */
static bool
begin_unconfirmed (const struct cfs_session *s)
{
  return s->state == TX_OPEN && s->op.phase == OP_RUN && s->tx_wrote
         && !s->tx_answered;
}

/* What was not sent is rolled back with the transaction, a COMMIT as well. */
static void
fail_in_transaction (struct cfs_session *s, bool sent, const char *reason,
                     int64_t now)
{
  if (sent)
    session_fail_statement (s, REPLY_UNKNOWN, reason, now);
  else
    session_fail_transaction (s, reason, now);
}

static void
on_lost (void *user, const char *reason)
{
  struct cfs_session *s = user;
  int64_t now = session_now (s);
  bool sent = s->op.phase == OP_RUN;

  session_add_tried (&s->op, s->op.target);
  s->conn = NULL;
  s->tx_on_conn = false;
  if (s->op.phase == OP_NONE)
    s->state = TX_FAILED;
  else if (reason == cfs_out_of_step && begin_unconfirmed (s))
    {
      s->state = TX_IDLE;
      session_reply (s, REPLY_UNKNOWN, reason);
    }
  else if (s->state == TX_OPEN && (s->tx_answered || s->tx_wrote))
    fail_in_transaction (s, sent, reason, now);
  else if (!sent || (!s->op.writes && s->op.attempts < s->route.max_attempts))
    session_retry (s, REPLY_UNKNOWN, 0, now);
  else
    session_fail_statement (s, REPLY_FAILED, reason, now);
}

static void
on_replied (void *user, const struct cfs_reply *r)
{
  struct cfs_session *s = user;
  int64_t now = session_now (s);

  if (s->op.phase == OP_SETUP)
    handle_setup_reply (s, r);
  else if (s->op.phase != OP_RUN)
    {
      cfs_log (CFS_WARNING, PART,
               "target=%s unexpected reply, closing the connection",
               cfs_pooled_conn_target (s->conn));
      cfs_pool_close_conn (s->conn);
      on_lost (s, "unexpected reply");
    }
  else if (r->code == REPLY_OK)
    handle_success (s, r, now);
  else
    handle_error (s, r, now);
}

const struct cfs_pooled_conn_events session_conn_events
    = { on_opened, on_replied, on_lost };
