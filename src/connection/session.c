/*
 * Handles everything about a caller's statements that needs no instance:
 * transaction state, session variables, prepared statements and
 * authorization.  All else becomes the current statement, which
 * session_run.c executes.  BEGIN is acknowledged by the proxy and is sent to
 * an instance only with the first statement of the transaction, so that an
 * idle caller does not occupy a connection after BEGIN.
 */
#include "session_int.h"

#include "../process/log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART "session"
/* A statement that has not been sent to an instance is rejected after this
   part of its timeout. */
#define QUEUE_TIMEOUT_PERCENT 90
/* Admission of a session is deferred for at most this time. */
#define ADMISSION_TIMEOUT_US (1600 * CFS_US_PER_MS)

int64_t
session_now (const struct cfs_session *s)
{
  return cfs_pool_now (s->owner->setup.pool);
}

static void
free_prepared (void *data)
{
  struct prepared *p = data;

  g_free (p->name);
  g_free (p->query);
  g_free (p);
}

struct cfs_sessions *
cfs_sessions_new (const struct cfs_sessions_setup *setup)
{
  struct cfs_sessions *ss = cfs_alloc (sizeof *ss);

  ss->setup = *setup;
  ss->samples = cfs_samples_new (setup->pool);
  cfs_passed_acks_init (&ss->acks);
  return ss;
}

void
cfs_sessions_free (struct cfs_sessions *ss)
{
  if (!ss)
    return;
  cfs_samples_free (ss->samples);
  cfs_passed_acks_end (&ss->acks);
  session_waits_free (ss);
  free (ss);
}

bool
session_authorize (struct cfs_session *s, int64_t now,
                   enum cfs_reply_code *code)
{
  const struct cfs_fleet *f = s->owner->setup.fleet;
  const struct cfs_route *route;
  const struct cfs_team_limits *team;

  *code = REPLY_BUSY;
  if (!f->catalog)
    return false;
  route = cfs_catalog_route (f->catalog, s->database);
  if (!cfs_fleet_has_lease (f, now) && !(route && route->open))
    return false;
  *code = REPLY_NO_DATABASE;
  if (!route)
    return false;
  team = cfs_catalog_team_by_key (f->catalog, s->key);
  *code = REPLY_NO_KEY;
  if (!team && !route->open)
    return false;
  s->route = *route;
  cfs_copy (s->service, sizeof s->service,
            f->catalog->services[route->service].name);
  cfs_copy (s->team, sizeof s->team, team ? team->name : "");
  *code = REPLY_OK;
  return true;
}

bool
session_key_valid (const struct cfs_session *s, int64_t now)
{
  const struct cfs_fleet *f = s->owner->setup.fleet;
  const struct cfs_team_limits *team;

  if (s->route.open)
    return true;
  if (!cfs_fleet_has_lease (f, now))
    return false;
  team = cfs_catalog_team_by_key (f->catalog, s->key);
  return team && strcmp (team->name, s->team) == 0;
}

static void
log_refused (const struct cfs_session *s, enum cfs_reply_code code)
{
  const struct cfs_fleet *f = s->owner->setup.fleet;

  cfs_log (CFS_INFO, PART,
           "database=%s session refused code=%s version=%" PRIu64
           " leased=%d draining=%d",
           s->database, cfs_reply_name (code),
           f->catalog ? f->catalog->version : 0,
           cfs_fleet_has_lease (f, session_now (s)), s->owner->draining);
}

struct cfs_session *
cfs_session_open (struct cfs_sessions *ss, struct cfs_caller *caller,
                  const char *database, const char *key,
                  enum cfs_reply_code *code)
{
  struct cfs_session *s = cfs_alloc (sizeof *s);

  s->owner = ss;
  s->caller = caller;
  s->database = cfs_strdup (database);
  s->key = cfs_strdup (key);
  s->idle_since = cfs_pool_now (ss->setup.pool);
  if (ss->draining)
    *code = REPLY_BUSY;
  else
    session_authorize (s, s->idle_since, code);
  if (*code != REPLY_OK && (*code != REPLY_BUSY || ss->draining))
    {
      log_refused (s, *code);
      free (s->database);
      free (s->key);
      free (s);
      return NULL;
    }
  s->awaiting_admission = *code != REPLY_OK;
  s->values = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  s->prepared
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_prepared);
  s->next = ss->first;
  if (s->next)
    s->next->prev = s;
  ss->first = s;
  ss->count++;
  return s;
}

void
session_set_awaiting_token (struct cfs_session *s, bool awaiting_token)
{
  if (s->op.awaiting_token != awaiting_token)
    cfs_quota_count_waiting (s->owner->setup.quota, s->team, awaiting_token);
  s->op.awaiting_token = awaiting_token;
}

static void
clear_op (struct cfs_session *s)
{
  session_set_awaiting_token (s, false);
  session_stop_awaiting_cold (s);
  cfs_waitlist_remove (&s->op.waiter);
  for (size_t i = 0; i < 3; i++)
    g_free (s->op.texts[i]);
  memset (&s->op, 0, sizeof s->op);
}

static void
free_session (struct cfs_session *s)
{
  struct cfs_sessions *ss = s->owner;

  clear_op (s);
  if (s->prev)
    s->prev->next = s->next;
  else
    ss->first = s->next;
  if (s->next)
    s->next->prev = s->prev;
  ss->count--;
  g_hash_table_destroy (s->values);
  g_hash_table_destroy (s->prepared);
  free (s->database);
  free (s->key);
  free (s);
}

void
session_rollback_conn (struct cfs_session *s, int64_t now)
{
  struct cfs_statement end = { .verb = VERB_ROLLBACK };
  struct cfs_pooled_conn *conn = s->conn;
  bool allowed = session_conn_allowed (s, now);

  s->conn = NULL;
  if (!conn)
    return;
  if (cfs_pooled_conn_pending (conn) > 0 || !allowed)
    {
      cfs_pool_close_conn (conn);
      s->tx_on_conn = false;
      return;
    }
  if (s->tx_on_conn)
    cfs_pooled_conn_send (conn, &end, 1, now);
  s->tx_on_conn = false;
  cfs_pool_release (conn, now);
}

/* Whether a commit or a single write is running at the instance, which closing
   the connection could interrupt. */
static bool
write_in_flight (const struct cfs_session *s)
{
  if (s->op.phase != OP_RUN)
    return false;
  return s->op.statement.verb == VERB_COMMIT
         || (s->state == TX_IDLE && s->op.writes);
}

void
cfs_session_close (struct cfs_session *s)
{
  int64_t now = session_now (s);

  if (s->conn && write_in_flight (s))
    cfs_pool_release (s->conn, now);
  else
    session_rollback_conn (s, now);
  if (s->op.phase != OP_NONE)
    cfs_log (CFS_INFO, PART, "id=%s database=%s caller disconnected, phase=%s",
             s->op.statement.id, s->database,
             session_phase_name (s->op.phase));
  free_session (s);
}

enum cfs_tx_state
cfs_session_state (const struct cfs_session *s)
{
  return s->state;
}

const struct prepared *
session_find_prepared (const struct cfs_session *s, const char *name)
{
  return g_hash_table_lookup (s->prepared, name);
}

void
session_forward_reply (struct cfs_session *s, const struct cfs_reply *reply)
{
  int64_t now = session_now (s);

  s->owner->stats.replies[reply->code]++;
  if (reply->code == REPLY_OK && reply->proof)
    session_count_latency (s->owner, now - s->op.arrived);
  if (reply->code != REPLY_OK || reply->proof)
    session_log_statement (s, reply->code, now);
  session_end_wait (s, now);
  clear_op (s);
  s->idle_since = now;
  s->caller->ops->reply (s->caller, reply);
}

void
session_reply (struct cfs_session *s, enum cfs_reply_code code,
               const char *text)
{
  struct cfs_reply r = { .code = code, .text = text, .state = s->state };

  session_forward_reply (s, &r);
}

static void
handle_rollback (struct cfs_session *s, int64_t now)
{
  session_rollback_conn (s, now);
  s->state = TX_IDLE;
  session_reply (s, REPLY_OK, NULL);
}

/* COMMIT of a failed transaction, which was rolled back already. */
static void
handle_commit_after_failure (struct cfs_session *s)
{
  s->state = TX_IDLE;
  session_reply (s, REPLY_ABORTED, "the transaction was rolled back");
}

static void
start_op (struct cfs_session *s, enum op_phase phase, int64_t now)
{
  s->op.phase = phase;
  s->op.reject_at = now + s->route.timeout_us * QUEUE_TIMEOUT_PERCENT / 100;
  s->op.deadline = now + s->route.timeout_us;
  session_run (s, now);
}

static void
handle_begin (struct cfs_session *s, int64_t now)
{
  enum cfs_reply_code code;

  if (!session_authorize (s, now, &code))
    {
      session_reply (s, code, "the session is currently not authorized");
      return;
    }
  s->tx_read_only = s->op.statement.verb == VERB_BEGIN_READ;
  s->tx_wrote = false;
  s->tx_answered = false;
  if (*s->team)
    cfs_quota_count_demand (s->owner->setup.quota, s->team, now);
  start_op (s, OP_TOKEN, now);
}

static void
run_in_tx (struct cfs_session *s, int64_t now)
{
  if (!session_key_valid (s, now))
    {
      session_rollback_conn (s, now);
      s->state = TX_FAILED;
      session_reply (s, REPLY_ABORTED, "the API key is no longer valid");
      return;
    }
  start_op (s, s->tx_on_conn ? OP_CONN : OP_POSITION, now);
}

static void
run_single (struct cfs_session *s, int64_t now)
{
  enum cfs_reply_code code;

  if (!session_authorize (s, now, &code))
    {
      session_reply (s, code, "the session is currently not authorized");
      return;
    }
  if (*s->team)
    cfs_quota_count_demand (s->owner->setup.quota, s->team, now);
  start_op (s, OP_TOKEN, now);
}

/* READ, WRITE, EXECUTE and COMMIT of an open transaction. */
static void
handle_data_statement (struct cfs_session *s, int64_t now)
{
  struct cfs_statement *st = &s->op.statement;

  if (st->verb == VERB_EXECUTE)
    {
      const struct prepared *p = session_find_prepared (s, st->name);

      if (!p)
        {
          session_reply (s, REPLY_UNPREPARED,
                         "prepared statement does not exist");
          return;
        }
      s->op.writes = p->writes;
    }
  else
    s->op.writes = st->verb == VERB_WRITE;
  if (s->state == TX_OPEN)
    run_in_tx (s, now);
  else
    run_single (s, now);
}

static void
copy_statement (struct cfs_session *s, const struct cfs_statement *st,
                int64_t now)
{
  struct op *op = &s->op;

  clear_op (s);
  op->arrived = now;
  op->statement = *st;
  op->texts[0] = g_strdup (st->id);
  op->texts[1] = g_strdup (st->name);
  op->texts[2] = g_strdup (st->arg);
  op->statement.id = op->texts[0];
  op->statement.name = op->texts[1];
  op->statement.arg = op->texts[2];
}

/* Whether a statement is allowed in the current transaction state. */
static bool
allowed_in_state (const struct cfs_session *s, enum cfs_verb verb)
{
  switch (verb)
    {
    case VERB_BEGIN:
    case VERB_BEGIN_READ:
      return s->state == TX_IDLE;
    case VERB_COMMIT:
    case VERB_ROLLBACK:
      return s->state != TX_IDLE;
    default:
      return s->state != TX_FAILED;
    }
}

void
cfs_session_statement (struct cfs_session *s, const struct cfs_statement *st)
{
  int64_t now = session_now (s);

  copy_statement (s, st, now);
  if (s->owner->ended)
    {
      session_end_statement (s, now);
      return;
    }
  if (!allowed_in_state (s, st->verb))
    {
      session_reply (s, REPLY_MALFORMED,
                     "statement not allowed in this transaction state");
      return;
    }
  switch (st->verb)
    {
    case VERB_SET:
      session_set_value (s, st);
      break;
    case VERB_PREPARE:
      session_prepare (s, st);
      break;
    case VERB_DEALLOCATE:
      session_deallocate (s, st);
      break;
    case VERB_ROLLBACK:
      handle_rollback (s, now);
      break;
    case VERB_BEGIN:
    case VERB_BEGIN_READ:
      handle_begin (s, now);
      break;
    case VERB_COMMIT:
      if (s->state == TX_FAILED)
        handle_commit_after_failure (s);
      else
        handle_data_statement (s, now);
      break;
    case VERB_READ:
    case VERB_WRITE:
    case VERB_EXECUTE:
      handle_data_statement (s, now);
      break;
    default:
      session_reply (s, REPLY_MALFORMED, "statement not available to callers");
      break;
    }
}

/* Rolls back a transaction whose caller has been idle for too long. */
static void
check_idle_tx (struct cfs_session *s, int64_t now)
{
  const struct cfs_catalog *c = s->owner->setup.fleet->catalog;

  if (s->state != TX_OPEN || !s->conn || s->op.phase != OP_NONE || !c
      || now - s->idle_since < c->transaction_idle_us)
    return;
  cfs_log (CFS_NOTICE, PART,
           "database=%s team=%s idle transaction rolled back", s->database,
           s->team);
  session_rollback_conn (s, now);
  s->state = TX_FAILED;
}

/* Admits a session once this host has a configuration and a lease, or refuses
   it. */
static void
check_admission (struct cfs_session *s, int64_t now)
{
  struct cfs_caller *caller = s->caller;
  enum cfs_reply_code code;

  session_authorize (s, now, &code);
  if (code == REPLY_BUSY && now - s->idle_since < ADMISSION_TIMEOUT_US
      && !s->owner->draining)
    return;
  s->awaiting_admission = false;
  if (code != REPLY_OK)
    {
      log_refused (s, code);
      free_session (s);
    }
  caller->ops->admitted (caller, code);
}

void
cfs_sessions_tick (struct cfs_sessions *ss, int64_t now)
{
  struct cfs_session *next;

  cfs_samples_tick (ss->samples, now);
  session_run_waits (ss, now);
  for (struct cfs_session *s = ss->first; s; s = next)
    {
      next = s->next;
      if (s->awaiting_admission)
        check_admission (s, now);
      else if (s->op.phase != OP_NONE)
        session_check_timeouts (s, now);
      else
        {
          session_end_evacuated_tx (s, now);
          check_idle_tx (s, now);
        }
    }
}

void
cfs_sessions_drain (struct cfs_sessions *ss, int64_t idle_us, bool abandon,
                    int64_t now)
{
  struct cfs_session *next;

  for (struct cfs_session *s = ss->first; s; s = next)
    {
      struct cfs_caller *caller = s->caller;

      next = s->next;
      if (s->awaiting_admission || s->op.phase != OP_NONE
          || now - s->idle_since < idle_us
          || (s->state != TX_IDLE && !abandon))
        continue;
      session_rollback_conn (s, now);
      free_session (s);
      caller->ops->close (caller);
    }
}

void
cfs_sessions_end (struct cfs_sessions *ss, int64_t now)
{
  struct cfs_session *next;

  ss->draining = true;
  ss->ended = true;
  for (struct cfs_session *s = ss->first; s; s = next)
    {
      next = s->next;
      if (s->awaiting_admission)
        check_admission (s, now);
      else if (s->op.phase != OP_NONE)
        session_end_statement (s, now);
    }
}

void
cfs_sessions_add_sample (struct cfs_sessions *ss, const char *service,
                         const struct cfs_position *position,
                         int64_t requested_at)
{
  cfs_samples_add (ss->samples, service, position, requested_at);
}

void
cfs_sessions_stop_accepting (struct cfs_sessions *ss)
{
  ss->draining = true;
}

const struct cfs_passed_acks *
cfs_sessions_acks (const struct cfs_sessions *ss)
{
  return &ss->acks;
}

size_t
cfs_sessions_count (const struct cfs_sessions *ss)
{
  return ss->count;
}
