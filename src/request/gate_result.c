/*
 * Results of statements: what is replied to a request once its connection is
 * done with it, whether it is retried, and what becomes of the connection.
 */
#include "gate_int.h"

/* Minimum delay before a retry; up to the same again is added at random. */
#define RETRY_PAUSE_US (20 * CFS_US_PER_MS)

enum cfs_lane
gate_request_lane (const struct cfs_request *r)
{
  return r->kind == CFS_READ ? CFS_LANE_READ : CFS_LANE_WRITE;
}

bool
gate_retry (struct cfs_gate *g, struct cfs_request *r, int64_t now)
{
  if (r->send_once || r->attempts >= g->tuning.max_attempts
      || g->retry_budget < 1 || now + RETRY_PAUSE_US >= r->deadline)
    return false;
  r->not_before = now + RETRY_PAUSE_US
                  + (int64_t)(cfs_random (&g->seed) % RETRY_PAUSE_US);
  if (cfs_fair_push (&g->fair, gate_request_lane (r), r) != CFS_OK)
    return false;
  g->retry_budget -= 1;
  g->stats.retries++;
  return true;
}

static void
finish_read (struct cfs_gate *g, const struct gate_conn *conn,
             struct cfs_request *r, const struct cfs_work_result *res,
             int64_t now)
{
  struct cfs_gate_reply reply = { .code = CFS_CODE_OK,
                                  .outcome = CFS_DONE,
                                  .term = res->term,
                                  .position = res->position,
                                  .body = res->body };
  bool valid = route_check_token (&g->group, r->token_term, r->token_position)
                   == TOKEN_VALID
               && route_check_token (&g->group, res->term, res->position_max)
                      == TOKEN_VALID
               && res->position >= r->token_position;

  if (!gate_lease_valid (g, now) || !valid)
    {
      g->ops->discard (g->ctx, res->body);
      if (gate_lease_valid (g, now) && gate_retry (g, r, now))
        return;
      gate_reply (g, r, CFS_CODE_NO_LEASE, CFS_UNKNOWN, NULL);
      return;
    }
  reply.replica = (int)conn->inst != gate_primary (g);
  if (reply.replica)
    g->stats.reads_replica++;
  else
    g->stats.reads_primary++;
  g->ops->reply (g->ctx, r, &reply);
}

static void
finish_write (struct cfs_gate *g, const struct gate_conn *conn,
              struct cfs_request *r, const struct cfs_work_result *res,
              int64_t now)
{
  g->stats.writes++;
  if (res->term == conn->term)
    {
      gate_wait_for_majority (g, r, res, now);
      return;
    }
  g->ops->discard (g->ctx, res->body);
  gate_reply (g, r, CFS_CODE_SUPERSEDED, CFS_UNKNOWN, NULL);
}

static void
finish_ok (struct cfs_gate *g, const struct gate_conn *conn,
           struct cfs_request *r, const struct cfs_work_result *res,
           int64_t now)
{
  if (r->kind == CFS_READ)
    finish_read (g, conn, r, res, now);
  else if (r->kind == CFS_WRITE || r->kind == CFS_COMMIT)
    finish_write (g, conn, r, res, now);
  else if (gate_lease_valid (g, now))
    gate_reply (g, r, CFS_CODE_OK, CFS_DONE, res->body);
  else
    {
      g->ops->discard (g->ctx, res->body);
      gate_reply (g, r, CFS_CODE_NO_LEASE, CFS_UNKNOWN, NULL);
    }
}

/* Handles the loss of the connection that executed a request. */
static void
finish_disconnected (struct cfs_gate *g, struct cfs_request *r,
                     enum cfs_work_status status, int64_t now)
{
  bool maybe_applied = status == WORK_STATUS_UNKNOWN && r->kind != CFS_READ;
  bool single = r->kind == CFS_READ || r->kind == CFS_WRITE;

  r->maybe_applied |= maybe_applied;
  if (single && (!maybe_applied || *r->key) && gate_retry (g, r, now))
    return;
  if (r->kind == CFS_STATEMENT || r->kind == CFS_ROLLBACK)
    gate_reply (g, r, CFS_CODE_TRANSACTION_LOST, CFS_NOT_RUN, NULL);
  else
    gate_reply (
        g, r,
        now >= r->deadline ? CFS_CODE_DEADLINE : CFS_CODE_CONNECTION_LOST,
        status == WORK_STATUS_UNKNOWN ? CFS_UNKNOWN : CFS_NOT_RUN, NULL);
}

static void
finish (struct cfs_gate *g, const struct gate_conn *conn,
        struct cfs_request *r, const struct cfs_work_result *res, int64_t now)
{
  switch (res->status)
    {
    case WORK_STATUS_OK:
    case WORK_STATUS_REPLAYED:
      finish_ok (g, conn, r, res, now);
      break;
    case WORK_STATUS_ERROR:
      gate_reply (g, r, CFS_CODE_SQL_ERROR, CFS_NOT_RUN, res->body);
      break;
    case WORK_STATUS_KEY_REUSED:
      g->ops->discard (g->ctx, res->body);
      gate_reply (g, r, CFS_CODE_KEY_REUSED, CFS_NOT_RUN, NULL);
      break;
    case WORK_STATUS_KEY_LOCKED:
      g->ops->discard (g->ctx, res->body);
      r->attempts--;
      if (!gate_retry (g, r, now))
        gate_reply (g, r, CFS_CODE_OVERLOADED, CFS_NOT_RUN, NULL);
      break;
    default:
      g->ops->discard (g->ctx, res->body);
      finish_disconnected (g, r, res->status, now);
      break;
    }
}

/* Makes a connection idle, pins it to its transaction or closes it. */
static void
release_conn (struct cfs_gate *g, unsigned c, const struct gate_conn *before,
              const struct cfs_work_result *res, int64_t now)
{
  struct gate_conn *conn = &g->conn[c];
  bool begins = before->work == WORK_BEGIN && res->status == WORK_STATUS_OK;
  bool inside
      = before->work == WORK_STATEMENT
        && (res->status == WORK_STATUS_OK || res->status == WORK_STATUS_ERROR);

  conn->request = NULL;
  if (!res->clean || g->inst[conn->inst].leaving)
    {
      if (!res->clean || !(begins || inside))
        {
          gate_conn_close (g, c);
          return;
        }
    }
  g->inst[conn->inst].running--;
  conn->state = begins || inside ? CONN_PINNED : CONN_IDLE;
  conn->idle_since = now;
  if (conn->state == CONN_IDLE && *conn->transaction)
    {
      g->inst[conn->inst].pinned_conns--;
      conn->transaction[0] = '\0';
    }
  if (begins)
    {
      const struct cfs_request *r = before->request;

      cfs_copy (conn->transaction, sizeof conn->transaction, r->transaction);
      cfs_copy (conn->team, sizeof conn->team, r->team);
      g->inst[conn->inst].pinned_conns++;
    }
}

/* Completes the work on a connection.  A failed statement aborts its
   transaction, as in PostgreSQL, but the connection stays pinned until the
   client rolls back. */
void
gate_end_work (struct cfs_gate *g, unsigned c,
               const struct cfs_work_result *res, int64_t now)
{
  struct gate_conn before = g->conn[c];

  cfs_fair_done (&g->fair, before.request, now - before.started_at);
  release_conn (g, c, &before, res, now);
  finish (g, &before, before.request, res, now);
}

/* Closes a connection.  Work in progress ends with WORK_STATUS_UNKNOWN. */
void
gate_abort_conn (struct cfs_gate *g, unsigned c, int64_t now)
{
  struct cfs_work_result res = { .status = WORK_STATUS_UNKNOWN };

  if (g->conn[c].state == CONN_BUSY)
    gate_end_work (g, c, &res, now);
  else
    gate_conn_close (g, c);
}

void
gate_abort_all_conns (struct cfs_gate *g, int64_t now)
{
  for (unsigned c = 0; c < g->conn_used; c++)
    if (g->conn[c].state != CONN_FREE)
      gate_abort_conn (g, c, now);
}
