/*
 * Connections to PostgreSQL instances: opening, polling, failures and time
 * outs.  What a connection sends and what the results mean is in pg_work.c. If
 * a connection is lost before the pipeline with COMMIT is handed to the
 * socket, the work has had no effect.
 */
#include "pg_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_US (2 * CFS_US_PER_S)
#define PROBE_TIMEOUT_US (500 * CFS_US_PER_MS)

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

static void conn_ready (void *ctx, int events);

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

void
pg_watch_conn (struct pg_conn *c, int events)
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
  pg_watch_conn (c, LOOP_WRITE);
}

static void
finish_connect (struct pg_conn *c)
{
  PQsetnonblocking (c->pq, 1);
  PQenterPipelineMode (c->pq);
  c->state = CONN_IDLE;
  pg_watch_conn (c, LOOP_READ);
  if (!c->probe)
    cfs_gate_connected (c->pg->gate, c->index, cfs_now ());
}

static void
poll_connect (struct pg_conn *c)
{
  switch (PQconnectPoll (c->pq))
    {
    case PGRES_POLLING_READING:
      pg_watch_conn (c, LOOP_READ);
      break;
    case PGRES_POLLING_WRITING:
      pg_watch_conn (c, LOOP_WRITE);
      break;
    case PGRES_POLLING_OK:
      finish_connect (c);
      break;
    default:
      pg_conn_failed (c);
      break;
    }
}

static void
flush_conn (struct pg_conn *c)
{
  int left = PQflush (c->pq);

  if (left < 0)
    pg_conn_failed (c);
  else
    pg_watch_conn (c, left ? LOOP_READ | LOOP_WRITE : LOOP_READ);
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
  pg_send_steps (c, STAGE_WORK, pipelines[work].steps, pipelines[work].count);
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
      pg_send_steps (c, STAGE_WORK, promote, 2);
      return;
    }
  pg_send_steps (c, STAGE_WORK, position, 1);
}

void
cfs_pg_promote (struct cfs_pg *pg, unsigned inst, uint64_t term)
{
  pg->conns[WORK_CONNECTIONS + inst].promote_term = term;
  cfs_pg_probe (pg, inst);
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
        pg_handle_result (c, res);
      PQclear (res);
    }
  if (ended)
    pg_finish_pipeline (c);
}

/* The connection failed.  Tells the gate whether the work in progress may have
   taken effect. */
void
pg_conn_failed (struct pg_conn *c)
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
          pg_conn_failed (c);
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
    pg_conn_failed (c);
}

static void
report_if_failed (struct pg_conn *c, int64_t now)
{
  (void)now;
  if (!c->failed)
    return;
  c->failed = false;
  pg_conn_failed (c);
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
