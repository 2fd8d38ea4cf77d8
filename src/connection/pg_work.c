/*
 * Each kind of work is a short list of steps sent as one libpq pipeline, so
 * a statement takes one round trip and a write with an idempotency key two.  A
 * read queries the position before its statement, as a lower bound of what the
 * data includes, and after it, as an upper bound.  A write with a key records
 * the key first; the unique index of these records aborts the rest of the
 * pipeline if the key was used before.
 */
#include "pg_int.h"

#include "pg_result.h"

#include <stdlib.h>
#include <string.h>

#define SQLSTATE_UNIQUE "23505"
#define SQLSTATE_LOCKED "55P03"

static int
send_text (struct pg_conn *c, const char *sql, int count,
           const char *const *values)
{
  return PQsendQueryParams (c->pq, sql, count, NULL, values, NULL, NULL, 0);
}

static int
send_step (struct pg_conn *c, enum step step)
{
  const struct cfs_platform *p = c->pg->setup.platform;
  const struct cfs_request *r = c->request;
  const struct cfs_sql *sql = r ? c->pg->setup.statement (r) : NULL;
  const char *keyed[3] = { r ? r->team : "", r ? r->key : "", NULL };
  const char *number[1] = { c->term_text };

  switch (step)
    {
    case STEP_BEGIN:
      return send_text (c, "BEGIN", 0, NULL);
    case STEP_BEGIN_READ:
      return send_text (c, "BEGIN READ ONLY", 0, NULL);
    case STEP_POSITION:
    case STEP_POSITION_AFTER:
      return send_text (c, p->position, 0, NULL);
    case STEP_STATEMENT:
      return send_text (c, sql->text, sql->param_count, sql->params);
    case STEP_COMMIT:
      c->commit_sent = true;
      return send_text (c, "COMMIT", 0, NULL);
    case STEP_ROLLBACK:
      return send_text (c, "ROLLBACK", 0, NULL);
    case STEP_RECORD_KEY:
      keyed[2] = sql->digest;
      return send_text (c, p->record_key, 3, keyed);
    case STEP_STORE_RESULT:
      keyed[2] = c->result.body;
      return send_text (c, p->store_result, 3, keyed);
    case STEP_FETCH_RESULT:
      return send_text (c, p->fetch_result, 2, keyed);
    case STEP_PROMOTE:
      return send_text (c, p->promote, 1, number);
    }
  return 0;
}

void
pg_send_steps (struct pg_conn *c, enum stage stage, const enum step *steps,
               unsigned count)
{
  bool ok = true;

  memcpy (c->steps, steps, count * sizeof *steps);
  c->step_count = count;
  c->step_at = 0;
  c->stage = stage;
  c->state = CONN_RUNNING;
  for (unsigned i = 0; i < count && ok; i++)
    ok = send_step (c, steps[i]) == 1;
  if (!ok || PQpipelineSync (c->pq) != 1)
    {
      c->failed = true;
      return;
    }
  if (PQflush (c->pq) < 0)
    c->failed = true;
  else
    pg_watch_conn (c, LOOP_READ | LOOP_WRITE);
}

static void
parse_position (struct pg_conn *c, const PGresult *res)
{
  c->result.term = pg_result_number (res, 0);
  c->result.position = pg_result_number (res, 1);
  c->term_start = pg_result_number (res, 2);
  c->accepts_writes = PQntuples (res) == 1 && PQnfields (res) > 3
                      && PQgetvalue (res, 0, 3)[0] == 't';
}

/* Upper bound of what a read may have seen, and the term it belongs to. */
static void
parse_position_after (struct pg_conn *c, const PGresult *res)
{
  c->result.term = pg_result_number (res, 0);
  c->result.position_max = pg_result_number (res, 1);
}

static void
parse_stored_result (struct pg_conn *c, const PGresult *res)
{
  const struct cfs_sql *sql = c->pg->setup.statement (c->request);

  if (PQntuples (res) != 1 || PQnfields (res) != 2)
    return;
  c->result_found = true;
  c->digest_differs = strcmp (PQgetvalue (res, 0, 0), sql->digest) != 0;
  free (c->result.body);
  c->result.body = cfs_strdup (PQgetvalue (res, 0, 1));
}

static void
record_error (struct pg_conn *c, const PGresult *res)
{
  const char *state = PQresultErrorField (res, PG_DIAG_SQLSTATE);
  const char *text = PQresultErrorField (res, PG_DIAG_MESSAGE_PRIMARY);

  if (c->error)
    return;
  cfs_copy (c->sqlstate, sizeof c->sqlstate, state ? state : "XX000");
  c->error = cfs_strdup (text ? text : "connection to the instance failed");
}

void
pg_handle_result (struct pg_conn *c, PGresult *res)
{
  enum step step
      = c->step_at < c->step_count ? c->steps[c->step_at] : STEP_BEGIN;

  switch (PQresultStatus (res))
    {
    case PGRES_TUPLES_OK:
    case PGRES_COMMAND_OK:
      if (step == STEP_POSITION)
        parse_position (c, res);
      else if (step == STEP_POSITION_AFTER)
        parse_position_after (c, res);
      else if (step == STEP_FETCH_RESULT)
        parse_stored_result (c, res);
      else if (step == STEP_STATEMENT)
        {
          free (c->result.body);
          c->result.body = pg_result_body (res);
        }
      else if (step == STEP_COMMIT
               && strcmp (PQcmdStatus (res), "ROLLBACK") == 0)
        {
          cfs_copy (c->sqlstate, sizeof c->sqlstate, "25P02");
          free (c->error);
          c->error = cfs_strdup (
              "the transaction had already failed and was rolled back");
        }
      break;
    case PGRES_PIPELINE_ABORTED:
      break;
    default:
      record_error (c, res);
      break;
    }
}

/* Passes the result to the gate, which may start new work on the connection
   from within the call. */
static void
report_result (struct pg_conn *c, enum cfs_work_status status, bool clean)
{
  struct cfs_work_result out = c->result;

  out.status = status;
  out.clean = clean;
  if (status == WORK_STATUS_ERROR && c->error)
    {
      free (out.body);
      out.body = pg_error_body (c->sqlstate, c->error);
    }
  memset (&c->result, 0, sizeof c->result);
  free (c->error);
  c->error = NULL;
  c->request = NULL;
  c->state = CONN_IDLE;
  cfs_gate_work_done (c->pg->gate, c->index, &out, cfs_now ());
}

static bool
conn_clean (const struct pg_conn *c, bool in_tx)
{
  PGTransactionStatusType status = PQtransactionStatus (c->pq);

  if (in_tx)
    return status == PQTRANS_INTRANS || status == PQTRANS_INERROR;
  return status == PQTRANS_IDLE;
}

/* A pipeline failed: fetches the stored result if the idempotency key exists
   already, else rolls back. */
static void
after_error (struct pg_conn *c)
{
  static const enum step rollback[] = { STEP_ROLLBACK };
  static const enum step fetch_result[]
      = { STEP_ROLLBACK, STEP_FETCH_RESULT, STEP_POSITION };

  if (c->work == WORK_KEYED_WRITE && c->stage == STAGE_WORK
      && strcmp (c->sqlstate, SQLSTATE_UNIQUE) == 0 && !c->result.body)
    {
      pg_send_steps (c, STAGE_FETCH_RESULT, fetch_result, 3);
      return;
    }
  pg_send_steps (c, STAGE_ROLLBACK, rollback, 1);
}

/* Handles the end of the first pipeline of a unit of work.  If a write has a
   result and an error, the error is that of COMMIT or of the position query
   after it, so the outcome is not known. */
static void
after_work (struct pg_conn *c)
{
  static const enum step store_result[]
      = { STEP_STORE_RESULT, STEP_COMMIT, STEP_POSITION };
  bool in_tx = c->work == WORK_BEGIN || c->work == WORK_STATEMENT;

  if (in_tx || c->work == WORK_ROLLBACK || c->work == WORK_COMMIT)
    report_result (c, c->error ? WORK_STATUS_ERROR : WORK_STATUS_OK,
                   conn_clean (c, in_tx));
  else if (c->error && conn_clean (c, false) && c->commit_sent
           && c->result.body && c->work == WORK_WRITE)
    report_result (c, WORK_STATUS_UNKNOWN, false);
  else if (c->error)
    after_error (c);
  else if (c->work == WORK_KEYED_WRITE)
    pg_send_steps (c, STAGE_STORE_RESULT, store_result, 3);
  else
    report_result (c, WORK_STATUS_OK, conn_clean (c, false));
}

static void
after_fetch_result (struct pg_conn *c)
{
  free (c->error);
  c->error = NULL;
  if (!c->result_found)
    report_result (c, WORK_STATUS_KEY_LOCKED, conn_clean (c, false));
  else
    report_result (
        c, c->digest_differs ? WORK_STATUS_KEY_REUSED : WORK_STATUS_REPLAYED,
        conn_clean (c, false));
}

void
pg_finish_pipeline (struct pg_conn *c)
{
  if (c->probe)
    {
      uint64_t term = c->result.term;
      uint64_t position = c->result.position;

      c->state = CONN_IDLE;
      free (c->error);
      c->error = NULL;
      if (term)
        cfs_gate_probed (c->pg->gate, c->inst, term, position, c->term_start,
                         c->accepts_writes, c->started_at, cfs_now ());
      memset (&c->result, 0, sizeof c->result);
      return;
    }
  switch (c->stage)
    {
    case STAGE_WORK:
      after_work (c);
      break;
    case STAGE_STORE_RESULT:
      if (c->error)
        after_error (c);
      else
        report_result (c, WORK_STATUS_OK, conn_clean (c, false));
      break;
    case STAGE_FETCH_RESULT:
      after_fetch_result (c);
      break;
    case STAGE_ROLLBACK:
      report_result (c,
                     strcmp (c->sqlstate, SQLSTATE_LOCKED) == 0
                         ? WORK_STATUS_KEY_LOCKED
                         : WORK_STATUS_ERROR,
                     conn_clean (c, false));
      break;
    }
}
