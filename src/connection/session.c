/*
 * What a caller sends is decided here as far as no instance is needed: the
 * state of its transaction, its values and prepared names, its right to the
 * route.  All else becomes the statement in hand, which session_run.c takes
 * through its phases.  BEGIN is answered here and reaches an instance with
 * the first statement, so that a pause after it holds no connection.
 */
#include "session_int.h"

#include "../process/log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART "session"
/* A statement that no instance has yet is held for this part of its time. */
#define HOLD_PERCENT 90
/* A caller waits at most this long for its session. */
#define ADMIT_MAX_US (1600 * CFS_US_PER_MS)

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
  g_free (p->shape);
  g_free (p);
}

struct cfs_sessions *
cfs_sessions_new (const struct cfs_sessions_setup *setup)
{
  struct cfs_sessions *ss = cfs_alloc (sizeof *ss);

  ss->setup = *setup;
  ss->samples = cfs_samples_new (setup->pool);
  return ss;
}

void
cfs_sessions_free (struct cfs_sessions *ss)
{
  if (!ss)
    return;
  cfs_samples_free (ss->samples);
  free (ss);
}

bool
session_allowed (struct cfs_session *s, int64_t now, enum cfs_reply_code *code)
{
  const struct cfs_fleet *f = s->owner->setup.fleet;
  const struct cfs_route *route;
  const struct cfs_team_limits *team;

  *code = REPLY_BUSY;
  if (!f->catalog)
    return false;
  route = cfs_catalog_route (f->catalog, s->database);
  if (!cfs_fleet_leased (f, now) && !(route && route->open))
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
session_key_holds (const struct cfs_session *s, int64_t now)
{
  const struct cfs_fleet *f = s->owner->setup.fleet;
  const struct cfs_team_limits *team;

  if (s->route.open)
    return true;
  if (!cfs_fleet_leased (f, now))
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
           cfs_fleet_leased (f, session_now (s)), s->owner->draining);
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
  s->rested_at = cfs_pool_now (ss->setup.pool);
  if (ss->draining)
    *code = REPLY_BUSY;
  else
    session_allowed (s, s->rested_at, code);
  if (*code != REPLY_OK && (*code != REPLY_BUSY || ss->draining))
    {
      log_refused (s, *code);
      free (s->database);
      free (s->key);
      free (s);
      return NULL;
    }
  s->pending = *code != REPLY_OK;
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
session_wait (struct cfs_session *s, bool waits)
{
  if (s->op.waits != waits)
    cfs_quota_wait (s->owner->setup.quota, s->team, waits);
  s->op.waits = waits;
}

static void
clear_op (struct cfs_session *s)
{
  session_wait (s, false);
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
session_abandon (struct cfs_session *s, int64_t now)
{
  struct cfs_statement end = { .verb = VERB_ROLLBACK };
  struct cfs_pooled_conn *link = s->link;

  s->link = NULL;
  if (!link)
    return;
  if (cfs_pooled_conn_pending (link) > 0)
    {
      cfs_pool_close_conn (link);
      s->on_link = false;
      return;
    }
  if (s->on_link)
    cfs_pooled_conn_send (link, &end, 1, now);
  s->on_link = false;
  cfs_pool_release (link, now);
}

/* Whether the effect of what the instance has in hand must not be cut off. */
static bool
keeps_effect (const struct cfs_session *s)
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

  if (s->link && keeps_effect (s))
    cfs_pool_release (s->link, now);
  else
    session_abandon (s, now);
  if (s->op.phase != OP_NONE)
    cfs_log (CFS_INFO, PART, "id=%s database=%s the caller left, phase=%s",
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
session_prepared (const struct cfs_session *s, const char *name)
{
  return g_hash_table_lookup (s->prepared, name);
}

void
session_answer (struct cfs_session *s, const struct cfs_reply *reply)
{
  int64_t now = session_now (s);

  s->owner->stats.replies[reply->code]++;
  if (reply->code == REPLY_OK && reply->proof)
    session_count_latency (s->owner, now - s->op.arrived);
  if (reply->code != REPLY_OK || reply->proof)
    session_log_end (s, reply->code, now);
  clear_op (s);
  s->rested_at = now;
  s->caller->ops->reply (s->caller, reply);
}

void
session_reply (struct cfs_session *s, enum cfs_reply_code code,
               const char *text)
{
  struct cfs_reply r = { .code = code, .text = text, .state = s->state };

  session_answer (s, &r);
}

static void
take_set (struct cfs_session *s, const struct cfs_statement *st)
{
  g_hash_table_replace (s->values, g_strdup (st->name), g_strdup (st->arg));
  session_reply (s, REPLY_OK, NULL);
}

static void
take_prepare (struct cfs_session *s, const struct cfs_statement *st)
{
  struct prepared *p = g_new0 (struct prepared, 1);

  p->name = g_strdup (st->name);
  p->shape = g_strdup (st->arg);
  p->writes = st->writes;
  g_hash_table_replace (s->prepared, p->name, p);
  session_reply (s, REPLY_OK, NULL);
}

static void
take_rollback (struct cfs_session *s, int64_t now)
{
  session_abandon (s, now);
  s->state = TX_IDLE;
  session_reply (s, REPLY_OK, NULL);
}

/* A commit of what is lost already: nothing of it is kept. */
static void
take_late_commit (struct cfs_session *s)
{
  s->state = TX_IDLE;
  session_reply (s, REPLY_ABORTED, "the transaction was rolled back");
}

static void
start_op (struct cfs_session *s, enum op_phase phase, int64_t now)
{
  s->op.phase = phase;
  s->op.hold_until = now + s->route.timeout_us * HOLD_PERCENT / 100;
  s->op.deadline = now + s->route.timeout_us;
  session_run (s, now);
}

static void
take_begin (struct cfs_session *s, int64_t now)
{
  enum cfs_reply_code code;

  if (!session_allowed (s, now, &code))
    {
      session_reply (s, code, "the session may not go on");
      return;
    }
  s->read_only = s->op.statement.verb == VERB_BEGIN_READ;
  s->wrote = false;
  s->answered = false;
  if (*s->team)
    cfs_quota_ask (s->owner->setup.quota, s->team, now);
  start_op (s, OP_TOKEN, now);
}

static void
take_inside (struct cfs_session *s, int64_t now)
{
  if (!session_key_holds (s, now))
    {
      session_abandon (s, now);
      s->state = TX_FAILED;
      session_reply (s, REPLY_ABORTED, "the key no longer holds");
      return;
    }
  start_op (s, s->on_link ? OP_LINK : OP_POSITION, now);
}

static void
take_single (struct cfs_session *s, int64_t now)
{
  enum cfs_reply_code code;

  if (!session_allowed (s, now, &code))
    {
      session_reply (s, code, "the session may not go on");
      return;
    }
  if (*s->team)
    cfs_quota_ask (s->owner->setup.quota, s->team, now);
  start_op (s, OP_TOKEN, now);
}

/* Reads, writes and commits. */
static void
take_work (struct cfs_session *s, int64_t now)
{
  struct cfs_statement *st = &s->op.statement;

  if (st->verb == VERB_EXECUTE)
    {
      const struct prepared *p = session_prepared (s, st->name);

      if (!p)
        {
          session_reply (s, REPLY_UNPREPARED, "the name is not prepared");
          return;
        }
      s->op.writes = p->writes;
    }
  else
    s->op.writes = st->verb == VERB_WRITE;
  if (s->state == TX_OPEN)
    take_inside (s, now);
  else
    take_single (s, now);
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

/* Whether a statement fits the state of the transaction. */
static bool
fits_state (const struct cfs_session *s, enum cfs_verb verb)
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
  if (!fits_state (s, st->verb))
    {
      session_reply (s, REPLY_MALFORMED, "not allowed in this state");
      return;
    }
  switch (st->verb)
    {
    case VERB_SET:
      take_set (s, st);
      break;
    case VERB_PREPARE:
      take_prepare (s, st);
      break;
    case VERB_DEALLOCATE:
      g_hash_table_remove (s->prepared, st->name);
      session_reply (s, REPLY_OK, NULL);
      break;
    case VERB_ROLLBACK:
      take_rollback (s, now);
      break;
    case VERB_BEGIN:
    case VERB_BEGIN_READ:
      take_begin (s, now);
      break;
    case VERB_COMMIT:
      if (s->state == TX_FAILED)
        take_late_commit (s);
      else
        take_work (s, now);
      break;
    case VERB_READ:
    case VERB_WRITE:
    case VERB_EXECUTE:
      take_work (s, now);
      break;
    default:
      session_reply (s, REPLY_MALFORMED, "not a statement of callers");
      break;
    }
}

/* A transaction whose caller says nothing is given up. */
static void
check_rest (struct cfs_session *s, int64_t now)
{
  const struct cfs_catalog *c = s->owner->setup.fleet->catalog;

  if (s->state != TX_OPEN || !s->link || s->op.phase != OP_NONE || !c
      || now - s->rested_at < c->transaction_idle_us)
    return;
  cfs_log (CFS_NOTICE, PART, "database=%s team=%s idle transaction ended",
           s->database, s->team);
  session_abandon (s, now);
  s->state = TX_FAILED;
}

/* Admits a session once this host knows enough, or refuses it. */
static void
check_pending (struct cfs_session *s, int64_t now)
{
  struct cfs_caller *caller = s->caller;
  enum cfs_reply_code code;

  session_allowed (s, now, &code);
  if (code == REPLY_BUSY && now - s->rested_at < ADMIT_MAX_US
      && !s->owner->draining)
    return;
  s->pending = false;
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
  for (struct cfs_session *s = ss->first; s; s = next)
    {
      next = s->next;
      if (s->pending)
        check_pending (s, now);
      else if (s->op.phase != OP_NONE)
        session_check (s, now);
      else
        check_rest (s, now);
    }
}

void
cfs_sessions_drain (struct cfs_sessions *ss, int64_t rest_us, bool abandon,
                    int64_t now)
{
  struct cfs_session *next;

  for (struct cfs_session *s = ss->first; s; s = next)
    {
      struct cfs_caller *caller = s->caller;

      next = s->next;
      if (s->pending || s->op.phase != OP_NONE || now - s->rested_at < rest_us
          || (s->state != TX_IDLE && !abandon))
        continue;
      session_abandon (s, now);
      free_session (s);
      caller->ops->close (caller);
    }
}

void
cfs_sessions_stop_accepting (struct cfs_sessions *ss)
{
  ss->draining = true;
}

size_t
cfs_sessions_count (const struct cfs_sessions *ss)
{
  return ss->count;
}
