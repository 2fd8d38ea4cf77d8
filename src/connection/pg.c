/*
 * Each kind of work is a short list of steps sent as one libpq pipeline, so
 * a statement costs one round trip and a keyed write two.  A read takes the
 * position before its statement, which proves what the data includes, and
 * after it, which proves what they cannot include.  A keyed write records its
 * key first; the record's unique index aborts the rest of the pipeline when
 * the key was used before.  Until the pipeline that holds COMMIT is handed to
 * the socket, a lost connection means that nothing happened.
 */
#include "pg.h"

#include "pg_result.h"

#include <libpq-fe.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CONNECT_TIMEOUT_US (2 * CFS_US_PER_S)
#define PROBE_TIMEOUT_US (500 * CFS_US_PER_MS)
#define LINKS (GATE_CONNECTIONS_MAX * GATE_INSTANCES_MAX)
#define STEPS_MAX 8
#define SQLSTATE_UNIQUE "23505"
#define SQLSTATE_LOCKED "55P03"

const struct cfs_platform cfs_platform_sql = {
  .position = "SELECT term, position, start, leads FROM "
              "coltsfootstage_position()",
  .promote = "SELECT coltsfootstage_promote($1)",
  .remember = "INSERT INTO coltsfootstage_outcome (team, key, request) "
              "VALUES ($1, $2, $3)",
  .store = "UPDATE coltsfootstage_outcome SET result = $3 WHERE team = $1 "
           "AND key = $2",
  .recall = "SELECT request, result FROM coltsfootstage_outcome WHERE team = "
            "$1 AND key = $2",
};

/* One statement of a pipeline. */
enum step
{
  STEP_BEGIN,
  STEP_BEGIN_READ,
  STEP_POSITION,
  STEP_SEEN,
  STEP_STATEMENT,
  STEP_COMMIT,
  STEP_ROLLBACK,
  STEP_REMEMBER,
  STEP_STORE,
  STEP_RECALL,
  STEP_PROMOTE
};

enum link_state
{
  LINK_NONE = 0,
  LINK_CONNECTING,
  LINK_IDLE,
  LINK_RUNNING
};

/* What the pipeline under way is for. */
enum stage
{
  STAGE_WORK,
  STAGE_STORE,
  STAGE_RECALL,
  STAGE_CLEAN
};

struct link
{
  struct cfs_pg *pg;
  unsigned index;
  unsigned inst;
  bool probe;
  enum link_state state;
  PGconn *conn;
  int watch;
  int fd;
  int64_t since;
  enum cfs_work work;
  enum stage stage;
  struct cfs_request *request;
  enum step steps[STEPS_MAX];
  unsigned step_count;
  unsigned step_at;
  bool commit_sent;
  struct cfs_ran_result result;
  char *error;
  char sqlstate[6];
  bool recalled;
  bool digest_differs;
  char number[24];
  uint64_t start;
  bool leads;
  uint64_t promote_term;
  bool done;
};

struct cfs_pg
{
  struct cfs_pg_setup setup;
  struct cfs_gate *gate;
  struct link links[LINKS + GATE_INSTANCES_MAX];
  unsigned top;
};

static void link_ready (void *ctx, int events);
static void link_failed (struct link *l);

struct cfs_pg *
cfs_pg_new (const struct cfs_pg_setup *setup)
{
  struct cfs_pg *pg = cfs_alloc (sizeof *pg);

  pg->setup = *setup;
  for (unsigned i = 0; i < LINKS + GATE_INSTANCES_MAX; i++)
    {
      pg->links[i].pg = pg;
      pg->links[i].index = i;
      pg->links[i].probe = i >= LINKS;
      if (i >= LINKS)
        pg->links[i].inst = i - LINKS;
    }
  return pg;
}

void
cfs_pg_set_gate (struct cfs_pg *pg, struct cfs_gate *gate)
{
  pg->gate = gate;
}

static void
reset_link (struct link *l)
{
  cfs_loop_remove (l->pg->setup.loop, l->watch);
  if (l->conn)
    PQfinish (l->conn);
  free (l->result.body);
  free (l->error);
  l->conn = NULL;
  l->watch = 0;
  l->state = LINK_NONE;
  l->request = NULL;
  l->error = NULL;
  l->done = false;
  memset (&l->result, 0, sizeof l->result);
}

void
cfs_pg_free (struct cfs_pg *pg)
{
  if (!pg)
    return;
  for (unsigned i = 0; i < LINKS + GATE_INSTANCES_MAX; i++)
    reset_link (&pg->links[i]);
  free (pg);
}

static void
watch_link (struct link *l, int events)
{
  int fd = PQsocket (l->conn);

  if (l->watch && l->fd == fd)
    {
      cfs_loop_change (l->pg->setup.loop, l->watch, events);
      return;
    }
  cfs_loop_remove (l->pg->setup.loop, l->watch);
  l->fd = fd;
  l->watch = cfs_loop_add (l->pg->setup.loop, fd, events, link_ready, l);
}

static void
start_connect (struct link *l)
{
  const struct cfs_pg_setup *s = &l->pg->setup;
  uint32_t port;
  char port_text[8];
  const char *address = cfs_gate_address (l->pg->gate, l->inst, &port);
  const char *keys[]
      = { "hostaddr",         "port", "user", "dbname", "password", "sslmode",
          "application_name", NULL };
  const char *values[]
      = { address,     port_text, s->user,          s->database,
          s->password, "prefer",  "coltsfootstage", NULL };

  snprintf (port_text, sizeof port_text, "%u", port);
  l->state = LINK_CONNECTING;
  l->since = cfs_now ();
  l->conn = PQconnectStartParams (keys, values, 0);
  if (!l->conn || PQstatus (l->conn) == CONNECTION_BAD)
    {
      l->done = true;
      return;
    }
  watch_link (l, LOOP_WRITE);
}

static void
finish_connect (struct link *l)
{
  PQsetnonblocking (l->conn, 1);
  PQenterPipelineMode (l->conn);
  l->state = LINK_IDLE;
  watch_link (l, LOOP_READ);
  if (!l->probe)
    cfs_gate_connected (l->pg->gate, l->index, cfs_now ());
}

static void
poll_connect (struct link *l)
{
  switch (PQconnectPoll (l->conn))
    {
    case PGRES_POLLING_READING:
      watch_link (l, LOOP_READ);
      break;
    case PGRES_POLLING_WRITING:
      watch_link (l, LOOP_WRITE);
      break;
    case PGRES_POLLING_OK:
      finish_connect (l);
      break;
    default:
      link_failed (l);
      break;
    }
}

static int
send_text (struct link *l, const char *sql, int count,
           const char *const *values)
{
  return PQsendQueryParams (l->conn, sql, count, NULL, values, NULL, NULL, 0);
}

static int
send_step (struct link *l, enum step step)
{
  const struct cfs_platform *p = l->pg->setup.platform;
  const struct cfs_request *r = l->request;
  const struct cfs_sql *sql = r ? l->pg->setup.statement (r) : NULL;
  const char *keyed[3] = { r ? r->team : "", r ? r->key : "", NULL };
  const char *number[1] = { l->number };

  switch (step)
    {
    case STEP_BEGIN:
      return send_text (l, "BEGIN", 0, NULL);
    case STEP_BEGIN_READ:
      return send_text (l, "BEGIN READ ONLY", 0, NULL);
    case STEP_POSITION:
    case STEP_SEEN:
      return send_text (l, p->position, 0, NULL);
    case STEP_STATEMENT:
      return send_text (l, sql->text, sql->param_count, sql->params);
    case STEP_COMMIT:
      l->commit_sent = true;
      return send_text (l, "COMMIT", 0, NULL);
    case STEP_ROLLBACK:
      return send_text (l, "ROLLBACK", 0, NULL);
    case STEP_REMEMBER:
      keyed[2] = sql->digest;
      return send_text (l, p->remember, 3, keyed);
    case STEP_STORE:
      keyed[2] = l->result.body;
      return send_text (l, p->store, 3, keyed);
    case STEP_RECALL:
      return send_text (l, p->recall, 2, keyed);
    case STEP_PROMOTE:
      return send_text (l, p->promote, 1, number);
    }
  return 0;
}

static void
flush_link (struct link *l)
{
  int left = PQflush (l->conn);

  if (left < 0)
    link_failed (l);
  else
    watch_link (l, left ? LOOP_READ | LOOP_WRITE : LOOP_READ);
}

static void
send_steps (struct link *l, enum stage stage, const enum step *steps,
            unsigned count)
{
  bool ok = true;

  memcpy (l->steps, steps, count * sizeof *steps);
  l->step_count = count;
  l->step_at = 0;
  l->stage = stage;
  l->state = LINK_RUNNING;
  for (unsigned i = 0; i < count && ok; i++)
    ok = send_step (l, steps[i]) == 1;
  if (!ok || PQpipelineSync (l->conn) != 1)
    {
      l->done = true;
      return;
    }
  if (PQflush (l->conn) < 0)
    l->done = true;
  else
    watch_link (l, LOOP_READ | LOOP_WRITE);
}

void
cfs_pg_connect (struct cfs_pg *pg, unsigned conn, unsigned inst)
{
  struct link *l = &pg->links[conn];

  reset_link (l);
  l->inst = inst;
  if (conn >= pg->top)
    pg->top = conn + 1;
  start_connect (l);
}

void
cfs_pg_close (struct cfs_pg *pg, unsigned conn)
{
  reset_link (&pg->links[conn]);
}

void
cfs_pg_run (struct cfs_pg *pg, unsigned conn, enum cfs_work work,
            struct cfs_request *request)
{
  static const struct
  {
    enum step steps[STEPS_MAX];
    unsigned count;
  } scripts[] = {
    [WORK_READ] = { { STEP_BEGIN_READ, STEP_POSITION, STEP_STATEMENT,
                      STEP_SEEN, STEP_COMMIT },
                    5 },
    [WORK_WRITE]
    = { { STEP_BEGIN, STEP_STATEMENT, STEP_COMMIT, STEP_POSITION }, 4 },
    [WORK_KEYED_WRITE] = { { STEP_BEGIN, STEP_REMEMBER, STEP_STATEMENT }, 3 },
    [WORK_BEGIN] = { { STEP_BEGIN }, 1 },
    [WORK_STATEMENT] = { { STEP_STATEMENT }, 1 },
    [WORK_COMMIT] = { { STEP_COMMIT, STEP_POSITION }, 2 },
    [WORK_ROLLBACK] = { { STEP_ROLLBACK }, 1 },
  };
  struct link *l = &pg->links[conn];

  memset (&l->result, 0, sizeof l->result);
  l->work = work;
  l->request = request;
  l->commit_sent = false;
  l->recalled = false;
  l->digest_differs = false;
  l->sqlstate[0] = '\0';
  send_steps (l, STAGE_WORK, scripts[work].steps, scripts[work].count);
}

void
cfs_pg_probe (struct cfs_pg *pg, unsigned inst)
{
  static const enum step position[] = { STEP_POSITION };
  struct link *l = &pg->links[LINKS + inst];

  if (l->state == LINK_NONE)
    start_connect (l);
  if (l->state != LINK_IDLE)
    return;
  l->since = cfs_now ();
  if (l->promote_term)
    {
      static const enum step promote[] = { STEP_PROMOTE, STEP_POSITION };

      snprintf (l->number, sizeof l->number, "%llu",
                (unsigned long long)l->promote_term);
      l->promote_term = 0;
      send_steps (l, STAGE_WORK, promote, 2);
      return;
    }
  send_steps (l, STAGE_WORK, position, 1);
}

void
cfs_pg_promote (struct cfs_pg *pg, unsigned inst, uint64_t term)
{
  pg->links[LINKS + inst].promote_term = term;
  cfs_pg_probe (pg, inst);
}

static void
take_position (struct link *l, const PGresult *res)
{
  l->result.term = pg_result_number (res, 0);
  l->result.position = pg_result_number (res, 1);
  l->start = pg_result_number (res, 2);
  l->leads = PQntuples (res) == 1 && PQnfields (res) > 3
             && PQgetvalue (res, 0, 3)[0] == 't';
}

/* What a read may have seen at most, and the history that it is part of. */
static void
take_seen (struct link *l, const PGresult *res)
{
  l->result.term = pg_result_number (res, 0);
  l->result.seen = pg_result_number (res, 1);
}

static void
take_recall (struct link *l, const PGresult *res)
{
  const struct cfs_sql *sql = l->pg->setup.statement (l->request);

  if (PQntuples (res) != 1 || PQnfields (res) != 2)
    return;
  l->recalled = true;
  l->digest_differs = strcmp (PQgetvalue (res, 0, 0), sql->digest) != 0;
  free (l->result.body);
  l->result.body = cfs_strdup (PQgetvalue (res, 0, 1));
}

static void
take_error (struct link *l, const PGresult *res)
{
  const char *state = PQresultErrorField (res, PG_DIAG_SQLSTATE);
  const char *text = PQresultErrorField (res, PG_DIAG_MESSAGE_PRIMARY);

  if (l->error)
    return;
  cfs_copy (l->sqlstate, sizeof l->sqlstate, state ? state : "XX000");
  l->error = cfs_strdup (text ? text : "the connection failed");
}

static void
take_result (struct link *l, PGresult *res)
{
  enum step step
      = l->step_at < l->step_count ? l->steps[l->step_at] : STEP_BEGIN;

  switch (PQresultStatus (res))
    {
    case PGRES_TUPLES_OK:
    case PGRES_COMMAND_OK:
      if (step == STEP_POSITION)
        take_position (l, res);
      else if (step == STEP_SEEN)
        take_seen (l, res);
      else if (step == STEP_RECALL)
        take_recall (l, res);
      else if (step == STEP_STATEMENT)
        {
          free (l->result.body);
          l->result.body = pg_result_body (res);
        }
      else if (step == STEP_COMMIT
               && strcmp (PQcmdStatus (res), "ROLLBACK") == 0)
        {
          cfs_copy (l->sqlstate, sizeof l->sqlstate, "25P02");
          free (l->error);
          l->error = cfs_strdup ("the transaction had failed");
        }
      break;
    case PGRES_PIPELINE_ABORTED:
      break;
    default:
      take_error (l, res);
      break;
    }
}

/* Hands the result to the gate, which may give the link new work at once. */
static void
report (struct link *l, enum cfs_ran ran, bool clean)
{
  struct cfs_ran_result out = l->result;

  out.ran = ran;
  out.clean = clean;
  if (ran == RAN_ERROR && l->error)
    {
      free (out.body);
      out.body = pg_error_body (l->sqlstate, l->error);
    }
  memset (&l->result, 0, sizeof l->result);
  free (l->error);
  l->error = NULL;
  l->request = NULL;
  l->state = LINK_IDLE;
  cfs_gate_ran (l->pg->gate, l->index, &out, cfs_now ());
}

static bool
link_clean (const struct link *l, bool inside)
{
  PGTransactionStatusType status = PQtransactionStatus (l->conn);

  if (inside)
    return status == PQTRANS_INTRANS || status == PQTRANS_INERROR;
  return status == PQTRANS_IDLE;
}

/* The first pipeline of single work failed: decide what comes next. */
static void
after_error (struct link *l)
{
  static const enum step rollback[] = { STEP_ROLLBACK };
  static const enum step recall[]
      = { STEP_ROLLBACK, STEP_RECALL, STEP_POSITION };

  if (l->work == WORK_KEYED_WRITE && l->stage == STAGE_WORK
      && strcmp (l->sqlstate, SQLSTATE_UNIQUE) == 0 && !l->result.body)
    {
      send_steps (l, STAGE_RECALL, recall, 3);
      return;
    }
  send_steps (l, STAGE_CLEAN, rollback, 1);
}

static void
after_work (struct link *l)
{
  static const enum step store[] = { STEP_STORE, STEP_COMMIT, STEP_POSITION };
  bool inside = l->work == WORK_BEGIN || l->work == WORK_STATEMENT;

  if (inside || l->work == WORK_ROLLBACK || l->work == WORK_COMMIT)
    report (l, l->error ? RAN_ERROR : RAN_OK, link_clean (l, inside));
  else if (l->error && link_clean (l, false) && l->commit_sent
           && l->result.body && l->work == WORK_WRITE)
    report (l, RAN_UNKNOWN, false);
  else if (l->error)
    after_error (l);
  else if (l->work == WORK_KEYED_WRITE)
    send_steps (l, STAGE_STORE, store, 3);
  else
    report (l, RAN_OK, link_clean (l, false));
}

static void
after_recall (struct link *l)
{
  free (l->error);
  l->error = NULL;
  if (!l->recalled)
    report (l, RAN_LOCKED, link_clean (l, false));
  else
    report (l, l->digest_differs ? RAN_KEY_REUSED : RAN_REPLAYED,
            link_clean (l, false));
}

static void
end_pipeline (struct link *l)
{
  if (l->probe)
    {
      uint64_t term = l->result.term;
      uint64_t position = l->result.position;

      l->state = LINK_IDLE;
      free (l->error);
      l->error = NULL;
      if (term)
        cfs_gate_probed (l->pg->gate, l->inst, term, position, l->start,
                         l->leads, l->since, cfs_now ());
      memset (&l->result, 0, sizeof l->result);
      return;
    }
  switch (l->stage)
    {
    case STAGE_WORK:
      after_work (l);
      break;
    case STAGE_STORE:
      if (l->error)
        after_error (l);
      else
        report (l, RAN_OK, link_clean (l, false));
      break;
    case STAGE_RECALL:
      after_recall (l);
      break;
    case STAGE_CLEAN:
      report (l,
              strcmp (l->sqlstate, SQLSTATE_LOCKED) == 0 ? RAN_LOCKED
                                                         : RAN_ERROR,
              link_clean (l, false));
      break;
    }
}

/* Reads what has arrived.  Invariant: step_at results of the pipeline under
   way were taken. */
static void
read_results (struct link *l)
{
  bool ended = false;

  while (!ended && !PQisBusy (l->conn))
    {
      PGresult *res = PQgetResult (l->conn);

      if (!res)
        {
          l->step_at++;
          if (l->step_at > l->step_count)
            return;
          continue;
        }
      if (PQresultStatus (res) == PGRES_PIPELINE_SYNC)
        ended = true;
      else
        take_result (l, res);
      PQclear (res);
    }
  if (ended)
    end_pipeline (l);
}

/* The connection ended.  The gate hears what may have taken effect. */
static void
link_failed (struct link *l)
{
  enum link_state state = l->state;
  struct cfs_ran_result lost = { .ran = RAN_NOT_RUN };

  if (l->commit_sent && l->work != WORK_READ)
    lost.ran = RAN_UNKNOWN;
  reset_link (l);
  if (l->probe)
    return;
  if (state == LINK_RUNNING)
    cfs_gate_ran (l->pg->gate, l->index, &lost, cfs_now ());
  else if (state != LINK_NONE)
    cfs_gate_lost (l->pg->gate, l->index, cfs_now ());
}

static void
link_ready (void *ctx, int events)
{
  struct link *l = ctx;

  if (l->state == LINK_CONNECTING)
    {
      poll_connect (l);
      return;
    }
  if (events & LOOP_READ)
    {
      if (!PQconsumeInput (l->conn) || PQstatus (l->conn) == CONNECTION_BAD)
        {
          link_failed (l);
          return;
        }
      if (l->state == LINK_RUNNING)
        read_results (l);
    }
  if ((events & LOOP_WRITE) && l->conn)
    flush_link (l);
}

/* Calls a function on each link that was ever used. */
static void
each_link (struct cfs_pg *pg, void (*call) (struct link *l, int64_t now),
           int64_t now)
{
  for (unsigned i = 0; i < pg->top; i++)
    call (&pg->links[i], now);
  for (unsigned i = 0; i < GATE_INSTANCES_MAX; i++)
    call (&pg->links[LINKS + i], now);
}

static void
tick_link (struct link *l, int64_t now)
{
  bool slow
      = l->state == LINK_CONNECTING && now - l->since > CONNECT_TIMEOUT_US;

  if (l->probe && l->state == LINK_RUNNING
      && now - l->since > PROBE_TIMEOUT_US)
    slow = true;
  if (slow)
    link_failed (l);
}

static void
pump_link (struct link *l, int64_t now)
{
  (void)now;
  if (!l->done)
    return;
  l->done = false;
  link_failed (l);
}

void
cfs_pg_tick (struct cfs_pg *pg, int64_t now)
{
  each_link (pg, tick_link, now);
}

void
cfs_pg_report_failures (struct cfs_pg *pg)
{
  each_link (pg, pump_link, 0);
}
