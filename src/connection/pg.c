/*
 * Each kind of work is a short list of steps sent as one libpq pipeline, so
 * a statement takes one round trip and a write with an idempotency key two.  A
 * read queries the position before its statement, as a lower bound of what the
 * data includes, and after it, as an upper bound.  A write with a key records
 * the key first; the unique index of these records aborts the rest of the
 * pipeline if the key was used before.  If the connection is lost before the
 * pipeline with COMMIT is handed to the socket, the work has had no effect.
 */
#include "pg.h"

#include "pg_result.h"

#include <libpq-fe.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_US (2 * CFS_US_PER_S)
#define PROBE_TIMEOUT_US (500 * CFS_US_PER_MS)
#define WORK_CONNECTIONS (GATE_CONNECTIONS_MAX * GATE_INSTANCES_MAX)
#define STEPS_MAX 8
#define SQLSTATE_UNIQUE "23505"
#define SQLSTATE_LOCKED "55P03"

const struct cfs_platform cfs_platform_sql = {
  .position = "SELECT term, position, start, leads FROM "
              "coltsfootstage_position()",
  .promote = "SELECT coltsfootstage_promote($1)",
  .record_key = "INSERT INTO coltsfootstage_outcome (team, key, request) "
                "VALUES ($1, $2, $3)",
  .store_result
  = "UPDATE coltsfootstage_outcome SET result = $3 WHERE team = $1 "
    "AND key = $2",
  .fetch_result
  = "SELECT request, result FROM coltsfootstage_outcome WHERE team = "
    "$1 AND key = $2",
};

/* One statement of a pipeline; STEP_POSITION_AFTER is the position query after
   the statement of a read. */
enum step
{
  STEP_BEGIN,
  STEP_BEGIN_READ,
  STEP_POSITION,
  STEP_POSITION_AFTER,
  STEP_STATEMENT,
  STEP_COMMIT,
  STEP_ROLLBACK,
  STEP_RECORD_KEY,
  STEP_STORE_RESULT,
  STEP_FETCH_RESULT,
  STEP_PROMOTE
};

enum conn_state
{
  CONN_NONE = 0,
  CONN_CONNECTING,
  CONN_IDLE,
  CONN_RUNNING
};

/* Purpose of the pipeline in progress: the work itself; storing the result of
   a write with a key; fetching the stored result after the key was found to
   exist; rolling back after an error. */
enum stage
{
  STAGE_WORK,
  STAGE_STORE_RESULT,
  STAGE_FETCH_RESULT,
  STAGE_ROLLBACK
};

/**
 * struct pg_conn - a connection and its work
 * @probe: reserved for the probes and promotions of instance @inst
 * @pq: libpq connection
 * @watch: handle of the event loop for @fd
 * @started_at: when the connect or the probe was started
 * @step_at: number of steps whose results have been read
 * @commit_sent: COMMIT was sent, so the work may have taken effect
 * @error: message of the first error, @sqlstate its code
 * @result_found: a stored result exists for the idempotency key
 * @digest_differs: it belongs to another request
 * @promote_term: term of a pending promotion, 0 for none
 * @term_text: that term as the text of a parameter
 * @failed: failed immediately, to be reported by cfs_pg_report_failures()
 */
struct pg_conn
{
  struct cfs_pg *pg;
  unsigned index;
  unsigned inst;
  bool probe;
  enum conn_state state;
  PGconn *pq;
  int watch;
  int fd;
  int64_t started_at;
  enum cfs_work work;
  enum stage stage;
  struct cfs_request *request;
  enum step steps[STEPS_MAX];
  unsigned step_count;
  unsigned step_at;
  bool commit_sent;
  struct cfs_work_result result;
  char *error;
  char sqlstate[6];
  bool result_found;
  bool digest_differs;
  char term_text[24];
  uint64_t term_start;
  bool accepts_writes;
  uint64_t promote_term;
  bool failed;
};

/**
 * struct cfs_pg - see pg.h
 * @conns: connections by the gate's index, then one probe connection per
 * instance
 * @conns_used: one more than the highest index that the gate has used
 */
struct cfs_pg
{
  struct cfs_pg_setup setup;
  struct cfs_gate *gate;
  struct pg_conn conns[WORK_CONNECTIONS + GATE_INSTANCES_MAX];
  unsigned conns_used;
};

static void conn_ready (void *ctx, int events);
static void conn_failed (struct pg_conn *c);

struct cfs_pg *
cfs_pg_new (const struct cfs_pg_setup *setup)
{
  struct cfs_pg *pg = cfs_alloc (sizeof *pg);

  pg->setup = *setup;
  for (unsigned i = 0; i < WORK_CONNECTIONS + GATE_INSTANCES_MAX; i++)
    {
      pg->conns[i].pg = pg;
      pg->conns[i].index = i;
      pg->conns[i].probe = i >= WORK_CONNECTIONS;
      if (i >= WORK_CONNECTIONS)
        pg->conns[i].inst = i - WORK_CONNECTIONS;
    }
  return pg;
}

void
cfs_pg_set_gate (struct cfs_pg *pg, struct cfs_gate *gate)
{
  pg->gate = gate;
}

static void
reset_conn (struct pg_conn *c)
{
  cfs_loop_remove (c->pg->setup.loop, c->watch);
  if (c->pq)
    PQfinish (c->pq);
  free (c->result.body);
  free (c->error);
  c->pq = NULL;
  c->watch = 0;
  c->state = CONN_NONE;
  c->request = NULL;
  c->error = NULL;
  c->failed = false;
  memset (&c->result, 0, sizeof c->result);
}

void
cfs_pg_free (struct cfs_pg *pg)
{
  if (!pg)
    return;
  for (unsigned i = 0; i < WORK_CONNECTIONS + GATE_INSTANCES_MAX; i++)
    reset_conn (&pg->conns[i]);
  free (pg);
}

static void
watch_conn (struct pg_conn *c, int events)
{
  int fd = PQsocket (c->pq);

  if (c->watch && c->fd == fd)
    {
      cfs_loop_change (c->pg->setup.loop, c->watch, events);
      return;
    }
  cfs_loop_remove (c->pg->setup.loop, c->watch);
  c->fd = fd;
  c->watch = cfs_loop_add (c->pg->setup.loop, fd, events, conn_ready, c);
}

static void
start_connect (struct pg_conn *c)
{
  const struct cfs_pg_setup *s = &c->pg->setup;
  uint32_t port;
  char port_text[8];
  const char *address = cfs_gate_address (c->pg->gate, c->inst, &port);
  const char *keys[]
      = { "hostaddr",         "port", "user", "dbname", "password", "sslmode",
          "application_name", NULL };
  const char *values[]
      = { address,     port_text, s->user,          s->database,
          s->password, "prefer",  "coltsfootstage", NULL };

  snprintf (port_text, sizeof port_text, "%u", port);
  c->state = CONN_CONNECTING;
  c->started_at = cfs_now ();
  c->pq = PQconnectStartParams (keys, values, 0);
  if (!c->pq || PQstatus (c->pq) == CONNECTION_BAD)
    {
      c->failed = true;
      return;
    }
  watch_conn (c, LOOP_WRITE);
}

static void
finish_connect (struct pg_conn *c)
{
  PQsetnonblocking (c->pq, 1);
  PQenterPipelineMode (c->pq);
  c->state = CONN_IDLE;
  watch_conn (c, LOOP_READ);
  if (!c->probe)
    cfs_gate_connected (c->pg->gate, c->index, cfs_now ());
}

static void
poll_connect (struct pg_conn *c)
{
  switch (PQconnectPoll (c->pq))
    {
    case PGRES_POLLING_READING:
      watch_conn (c, LOOP_READ);
      break;
    case PGRES_POLLING_WRITING:
      watch_conn (c, LOOP_WRITE);
      break;
    case PGRES_POLLING_OK:
      finish_connect (c);
      break;
    default:
      conn_failed (c);
      break;
    }
}

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

static void
flush_conn (struct pg_conn *c)
{
  int left = PQflush (c->pq);

  if (left < 0)
    conn_failed (c);
  else
    watch_conn (c, left ? LOOP_READ | LOOP_WRITE : LOOP_READ);
}

static void
send_steps (struct pg_conn *c, enum stage stage, const enum step *steps,
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
    watch_conn (c, LOOP_READ | LOOP_WRITE);
}

void
cfs_pg_connect (struct cfs_pg *pg, unsigned conn, unsigned inst)
{
  struct pg_conn *c = &pg->conns[conn];

  reset_conn (c);
  c->inst = inst;
  if (conn >= pg->conns_used)
    pg->conns_used = conn + 1;
  start_connect (c);
}

void
cfs_pg_close (struct cfs_pg *pg, unsigned conn)
{
  reset_conn (&pg->conns[conn]);
}

void
cfs_pg_run (struct cfs_pg *pg, unsigned conn, enum cfs_work work,
            struct cfs_request *request)
{
  static const struct
  {
    enum step steps[STEPS_MAX];
    unsigned count;
  } pipelines[] = {
    [WORK_READ] = { { STEP_BEGIN_READ, STEP_POSITION, STEP_STATEMENT,
                      STEP_POSITION_AFTER, STEP_COMMIT },
                    5 },
    [WORK_WRITE]
    = { { STEP_BEGIN, STEP_STATEMENT, STEP_COMMIT, STEP_POSITION }, 4 },
    [WORK_KEYED_WRITE]
    = { { STEP_BEGIN, STEP_RECORD_KEY, STEP_STATEMENT }, 3 },
    [WORK_BEGIN] = { { STEP_BEGIN }, 1 },
    [WORK_STATEMENT] = { { STEP_STATEMENT }, 1 },
    [WORK_COMMIT] = { { STEP_COMMIT, STEP_POSITION }, 2 },
    [WORK_ROLLBACK] = { { STEP_ROLLBACK }, 1 },
  };
  struct pg_conn *c = &pg->conns[conn];

  memset (&c->result, 0, sizeof c->result);
  c->work = work;
  c->request = request;
  c->commit_sent = false;
  c->result_found = false;
  c->digest_differs = false;
  c->sqlstate[0] = '\0';
  send_steps (c, STAGE_WORK, pipelines[work].steps, pipelines[work].count);
}

void
cfs_pg_probe (struct cfs_pg *pg, unsigned inst)
{
  static const enum step position[] = { STEP_POSITION };
  struct pg_conn *c = &pg->conns[WORK_CONNECTIONS + inst];

  if (c->state == CONN_NONE)
    start_connect (c);
  if (c->state != CONN_IDLE)
    return;
  c->started_at = cfs_now ();
  if (c->promote_term)
    {
      static const enum step promote[] = { STEP_PROMOTE, STEP_POSITION };

      snprintf (c->term_text, sizeof c->term_text, "%llu",
                (unsigned long long)c->promote_term);
      c->promote_term = 0;
      send_steps (c, STAGE_WORK, promote, 2);
      return;
    }
  send_steps (c, STAGE_WORK, position, 1);
}

void
cfs_pg_promote (struct cfs_pg *pg, unsigned inst, uint64_t term)
{
  pg->conns[WORK_CONNECTIONS + inst].promote_term = term;
  cfs_pg_probe (pg, inst);
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

static void
handle_result (struct pg_conn *c, PGresult *res)
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
      send_steps (c, STAGE_FETCH_RESULT, fetch_result, 3);
      return;
    }
  send_steps (c, STAGE_ROLLBACK, rollback, 1);
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
    send_steps (c, STAGE_STORE_RESULT, store_result, 3);
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

static void
finish_pipeline (struct pg_conn *c)
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

/* Reads the results that have arrived.  Invariant: the results of step_at
   steps of the pipeline in progress have been processed. */
static void
read_results (struct pg_conn *c)
{
  bool ended = false;

  while (!ended && !PQisBusy (c->pq))
    {
      PGresult *res = PQgetResult (c->pq);

      if (!res)
        {
          c->step_at++;
          if (c->step_at > c->step_count)
            return;
          continue;
        }
      if (PQresultStatus (res) == PGRES_PIPELINE_SYNC)
        ended = true;
      else
        handle_result (c, res);
      PQclear (res);
    }
  if (ended)
    finish_pipeline (c);
}

/* The connection failed.  Tells the gate whether the work in progress may have
   taken effect. */
static void
conn_failed (struct pg_conn *c)
{
  enum conn_state state = c->state;
  struct cfs_work_result lost = { .status = WORK_STATUS_NOT_RUN };

  if (c->commit_sent && c->work != WORK_READ)
    lost.status = WORK_STATUS_UNKNOWN;
  reset_conn (c);
  if (c->probe)
    return;
  if (state == CONN_RUNNING)
    cfs_gate_work_done (c->pg->gate, c->index, &lost, cfs_now ());
  else if (state != CONN_NONE)
    cfs_gate_disconnected (c->pg->gate, c->index, cfs_now ());
}

static void
conn_ready (void *ctx, int events)
{
  struct pg_conn *c = ctx;

  if (c->state == CONN_CONNECTING)
    {
      poll_connect (c);
      return;
    }
  if (events & LOOP_READ)
    {
      if (!PQconsumeInput (c->pq) || PQstatus (c->pq) == CONNECTION_BAD)
        {
          conn_failed (c);
          return;
        }
      if (c->state == CONN_RUNNING)
        read_results (c);
    }
  if ((events & LOOP_WRITE) && c->pq)
    flush_conn (c);
}

/* Calls a function for each connection that was ever used. */
static void
each_conn (struct cfs_pg *pg, void (*apply) (struct pg_conn *c, int64_t now),
           int64_t now)
{
  for (unsigned i = 0; i < pg->conns_used; i++)
    apply (&pg->conns[i], now);
  for (unsigned i = 0; i < GATE_INSTANCES_MAX; i++)
    apply (&pg->conns[WORK_CONNECTIONS + i], now);
}

static void
tick_conn (struct pg_conn *c, int64_t now)
{
  bool slow = c->state == CONN_CONNECTING
              && now - c->started_at > CONNECT_TIMEOUT_US;

  if (c->probe && c->state == CONN_RUNNING
      && now - c->started_at > PROBE_TIMEOUT_US)
    slow = true;
  if (slow)
    conn_failed (c);
}

static void
report_if_failed (struct pg_conn *c, int64_t now)
{
  (void)now;
  if (!c->failed)
    return;
  c->failed = false;
  conn_failed (c);
}

void
cfs_pg_tick (struct cfs_pg *pg, int64_t now)
{
  each_conn (pg, tick_conn, now);
}

void
cfs_pg_report_failures (struct cfs_pg *pg)
{
  each_conn (pg, report_if_failed, 0);
}
