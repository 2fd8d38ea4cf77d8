/*
 * The life of a call after it was checked.  Each time it is sent it gets a
 * new id, so an answer to an earlier sending is never taken for the answer
 * to a later one.  It is sent again only when that is safe: a refusal that
 * says it was not run, a read, or a write whose key the target records.
 */
#include "entry_int.h"

#include <cjson/cJSON.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define PATH_PARTS_MAX 8
#define HTTP_OK 200
#define HTTP_UNAVAILABLE 503

static void forward_job (struct entry_request *j, int64_t now);

uint64_t
entry_id (struct cfs_entry *e)
{
  return ++e->next_id;
}

const char *
entry_bearer (const struct cfs_http_request *call)
{
  static const char scheme[] = "Bearer ";
  const char *text = cfs_http_request_header (call, "Authorization");

  if (!text || strncasecmp (text, scheme, sizeof scheme - 1) != 0)
    return NULL;
  return text + sizeof scheme - 1;
}

static void
answer_problem (struct cfs_entry *e, struct cfs_http_request *call,
                enum cfs_code code, enum cfs_outcome outcome,
                const char *detail, const char *session)
{
  struct cfs_http_response a = { .status = cfs_code_http (code),
                                 .type = "application/problem+json",
                                 .session = session };
  cJSON *doc = cJSON_CreateObject ();
  char *text;

  cJSON_AddStringToObject (doc, "type", "about:blank");
  cJSON_AddStringToObject (doc, "title", cfs_code_name (code));
  cJSON_AddNumberToObject (doc, "status", a.status);
  cJSON_AddStringToObject (doc, "code", cfs_code_name (code));
  cJSON_AddStringToObject (doc, "outcome", cfs_outcome_name (outcome));
  if (detail && *detail)
    cJSON_AddStringToObject (doc, "detail", detail);
  text = cJSON_PrintUnformatted (doc);
  a.body = text;
  if (a.status == HTTP_UNAVAILABLE || code == CFS_CODE_RATE_LIMITED)
    a.retry_after = 1;
  e->answers[code]++;
  cfs_http_respond (call, &a);
  free (text);
  cJSON_Delete (doc);
}

void
entry_problem (struct cfs_entry *e, struct cfs_http_request *call,
               enum cfs_code code, enum cfs_outcome outcome,
               const char *detail)
{
  answer_problem (e, call, code, outcome, detail, NULL);
}

void
entry_free_request (struct entry_request *j)
{
  for (size_t i = 0; i < j->param_count; i++)
    if (!j->params[i].null)
      free (j->params[i].text);
  if (j->bearer)
    sodium_memzero (j->bearer, strlen (j->bearer));
  free (j->bearer);
  free (j->params);
  free (j->param_list);
  free (j->sql);
  free (j);
}

/* Outcome of a job that is given up in its present state. */
static enum cfs_outcome
outcome_of (const struct entry_request *j)
{
  bool sent = j->state == ENTRY_SENT && j->id;

  return sent || j->request.unsure ? CFS_UNKNOWN : CFS_NOT_RUN;
}

static void
link_job (struct cfs_entry *e, struct entry_request *j)
{
  j->next = e->jobs;
  if (j->next)
    j->next->prev = j;
  e->jobs = j;
  e->open++;
}

static void
forget_id (struct entry_request *j)
{
  if (j->id)
    apr_hash_set (j->entry->sent, &j->id, sizeof j->id, NULL);
  j->id = 0;
}

static void
end_job (struct entry_request *j)
{
  struct cfs_entry *e = j->entry;

  forget_id (j);
  if (j->prev)
    j->prev->next = j->next;
  else
    e->jobs = j->next;
  if (j->next)
    j->next->prev = j->prev;
  e->open--;
  entry_free_request (j);
}

void
entry_finish (struct entry_request *j, enum cfs_code code,
              enum cfs_outcome outcome, const char *detail)
{
  entry_problem (j->entry, j->call, code, outcome, detail);
  end_job (j);
}

static void
ask_limiter (void *ctx, const char *team, uint64_t id, uint32_t count)
{
  struct cfs_entry *e = ctx;
  const struct cfs_lease *l
      = cfs_directory_holder (e->setup.directory, LIMIT_PREFIX, team);
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__TokenAsk ask = CFS__TOKEN_ASK__INIT;

  if (!l)
    return;
  ask.id = id;
  ask.team = (char *)team;
  ask.epoch = l->epoch;
  ask.count = count;
  out.body_case = CFS__PEER__BODY_ASK;
  out.ask = &ask;
  cfs_net_send (e->setup.net, l->address, l->port, &out);
}

static void
on_admitted (void *ctx, struct cfs_request *r)
{
  struct entry_request *j = r->payload;

  (void)ctx;
  j->state = ENTRY_WAITING;
  forward_job (j, cfs_now ());
}

static void
on_refused (void *ctx, struct cfs_request *r, enum cfs_code code)
{
  (void)ctx;
  entry_finish (r->payload, code, CFS_NOT_RUN, NULL);
}

static const struct cfs_admit_ops admit_ops
    = { ask_limiter, on_admitted, on_refused };

struct cfs_entry *
cfs_entry_new (const struct cfs_entry_setup *setup)
{
  struct cfs_entry *e = cfs_alloc (sizeof *e);

  e->setup = *setup;
  apr_pool_create (&e->pool, NULL);
  e->sent = apr_hash_make (e->pool);
  cfs_admit_init (&e->admit, &admit_ops, e);
  cfs_table_init (&e->announced, sizeof (struct sent_announcement));
  cfs_token_derive_key (setup->settings->curve_secret, e->token_key);
  e->next_id = (uint64_t)randombytes_random () << 32;
  return e;
}

void
cfs_entry_free (struct cfs_entry *e)
{
  struct cfs_http_response gone = { .status = HTTP_UNAVAILABLE, .body = "{}" };

  if (!e)
    return;
  cfs_admit_end (&e->admit);
  while (e->jobs)
    entry_finish (e->jobs, CFS_CODE_DRAINING, outcome_of (e->jobs), NULL);
  for (size_t i = 0; i < e->call_count; i++)
    cfs_http_respond (e->calls[i].call, &gone);
  free (e->calls);
  cfs_table_end (&e->announced);
  apr_pool_destroy (e->pool);
  free (e);
}

void
entry_submit (struct cfs_entry *e, struct entry_request *j,
              const struct cfs_team *team, int64_t deadline_ms)
{
  int64_t now = cfs_now ();
  struct cfs_request *r = &j->request;

  cfs_copy (r->team, sizeof r->team, team->name);
  r->weight = team->weight;
  r->arrived_at = now;
  r->deadline = now + deadline_ms * CFS_US_PER_MS;
  j->checked_version = e->setup.directory->conf->version;
  j->state = ENTRY_ADMITTING;
  link_job (e, j);
  cfs_admit_submit (&e->admit, r, team->rate, team->burst, now);
}

/* Whether the key that came with a call still opens the same team. */
static bool
key_still_valid (struct entry_request *j)
{
  const struct cfs_conf *conf = j->entry->setup.directory->conf;
  const struct cfs_team *team;

  if (!j->bearer || conf->version == j->checked_version)
    return true;
  team = cfs_conf_authenticate (conf, j->bearer);
  j->checked_version = conf->version;
  return team && strcmp (team->name, j->token.team) == 0;
}

static int
send_job (struct entry_request *j, const struct cfs_lease *gate, int64_t now)
{
  const struct cfs_request *r = &j->request;
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__Execute x = CFS__EXECUTE__INIT;
  int64_t budget = r->deadline - now - RETURN_MARGIN_US;

  x.id = entry_id (j->entry);
  x.group = j->group;
  x.epoch = gate->epoch;
  x.team = (char *)r->team;
  x.weight = r->weight;
  x.kind = r->kind;
  if (j->sql)
    x.sql = j->sql;
  x.params = j->param_list;
  x.n_params = j->param_count;
  x.max_age_us = (uint64_t)r->max_age_us;
  x.budget_us = budget > 0 ? (uint64_t)budget : 0;
  x.token_term = r->token_term;
  x.token_position = r->token_position;
  x.idempotency_key = (char *)r->key;
  x.transaction = (char *)r->transaction;
  x.once = r->once;
  out.body_case = CFS__PEER__BODY_EXECUTE;
  out.execute = &x;
  j->id = x.id;
  return cfs_net_send (j->entry->setup.net, gate->address, gate->port, &out);
}

/* Sends a waiting job to its gate, if there is one that can be reached. */
static void
forward_job (struct entry_request *j, int64_t now)
{
  const struct cfs_directory *d = j->entry->setup.directory;
  const struct cfs_lease *gate
      = cfs_directory_holder (d, GATE_PREFIX, j->group);

  if (!cfs_directory_leased (d, now))
    return;
  if (!key_still_valid (j))
    {
      entry_finish (j, CFS_CODE_UNAUTHENTICATED, outcome_of (j),
                    "the key was withdrawn");
      return;
    }
  if (!gate || now < j->retry_at)
    return;
  if (send_job (j, gate, now) != CFS_OK)
    {
      j->id = 0;
      return;
    }
  j->state = ENTRY_SENT;
  j->sent_epoch = gate->epoch;
  j->orphaned_at = 0;
  apr_hash_set (j->entry->sent, &j->id, sizeof j->id, j);
}

/* Joins the head of our answer with the gate's JSON object. */
static char *
make_body (const struct entry_request *j, const Cfs__Answer *in)
{
  const char *rest = in->body && in->body[0] == '{' ? in->body + 1 : "}";
  const char *comma = rest[0] == '}' ? "" : ",";
  const char *where = in->replica ? "replica" : "primary";

  if (j->request.kind == CFS_BEGIN)
    return g_strdup_printf ("{\"outcome\":\"done\",\"transaction\":\"%s\"}",
                            in->transaction);
  return g_strdup_printf ("{\"outcome\":\"done\",\"from\":\"%s\"%s%s", where,
                          comma, rest);
}

static void
answer_done (struct entry_request *j, const Cfs__Answer *in)
{
  struct cfs_http_response a = { .status = HTTP_OK };
  char session[TOKEN_TEXT_MAX];
  char *body;

  if (cfs_token_advance (&j->token, j->group, in->term, in->position)
      != CFS_OK)
    {
      entry_finish (j, CFS_CODE_BAD_REQUEST, CFS_DONE,
                    "the session spans too many groups");
      return;
    }
  cfs_token_write (&j->token, j->entry->token_key, session);
  body = make_body (j, in);
  a.body = body;
  a.session = session;
  j->entry->answers[CFS_CODE_OK]++;
  cfs_http_respond (j->call, &a);
  g_free (body);
  end_job (j);
}

/* Tells a session that a change it has seen is gone, and lets it go on from
   the kept history. */
static void
answer_lost (struct entry_request *j, const Cfs__Answer *in)
{
  char session[TOKEN_TEXT_MAX];

  cfs_token_reset (&j->token, j->group, in->term, in->position);
  cfs_token_write (&j->token, j->entry->token_key, session);
  answer_problem (j->entry, j->call, CFS_CODE_WRITE_LOST, outcome_of (j),
                  "a change that this session has seen was lost", session);
  end_job (j);
}

void
cfs_entry_gate_reply (struct cfs_entry *e, const Cfs__Answer *in, int64_t now)
{
  struct entry_request *j = apr_hash_get (e->sent, &in->id, sizeof in->id);

  if (!j)
    return;
  forget_id (j);
  if (in->code == CFS_CODE_OK)
    answer_done (j, in);
  else if (in->code == CFS_CODE_MOVED && in->outcome == CFS_NOT_RUN)
    {
      j->state = ENTRY_WAITING;
      j->retry_at = now + MOVED_PAUSE_US;
    }
  else if (in->code == CFS_CODE_WRITE_LOST)
    answer_lost (j, in);
  else if (in->outcome == CFS_NOT_RUN)
    entry_finish (j, (enum cfs_code)in->code, outcome_of (j), in->body);
  else
    entry_finish (j, (enum cfs_code)in->code, (enum cfs_outcome)in->outcome,
                  in->body);
}

void
cfs_entry_token_grant (struct cfs_entry *e, const Cfs__TokenGrant *in,
                       int64_t now)
{
  if (in->moved)
    return;
  cfs_admit_granted (&e->admit, in->team, in->id, in->count,
                     (int64_t)in->retry_us, now);
}

/* Whether a call that a gate may have run can be run again without harm. */
static bool
may_send_again (const struct entry_request *j)
{
  if (j->request.kind == CFS_READ)
    return true;
  return j->request.kind == CFS_WRITE && *j->request.key && !j->request.once;
}

/* A job whose gate is no longer the holder: send it to the new one, or wait
   a little for the old one's answer. */
static void
follow_gate_lease (struct entry_request *j, int64_t now)
{
  const struct cfs_lease *gate = cfs_directory_holder (
      j->entry->setup.directory, GATE_PREFIX, j->group);

  if (!gate || gate->epoch <= j->sent_epoch)
    return;
  if (may_send_again (j))
    {
      forget_id (j);
      j->state = ENTRY_WAITING;
      j->request.unsure = true;
      forward_job (j, now);
      return;
    }
  if (!j->orphaned_at)
    j->orphaned_at = now;
  else if (now - j->orphaned_at > ORPHAN_WAIT_US)
    entry_finish (j, CFS_CODE_CONNECTION_LOST, CFS_UNKNOWN,
                  "the gate was lost");
}

/* Why a job is late: nobody holds the gate of its group, or time ran out. */
static enum cfs_code
timeout_code (const struct entry_request *j)
{
  bool held = cfs_directory_holder (j->entry->setup.directory, GATE_PREFIX,
                                    j->group);

  return held ? CFS_CODE_DEADLINE : CFS_CODE_NO_TARGET;
}

static void
tick_job (struct entry_request *j, int64_t now)
{
  if (j->state == ENTRY_ADMITTING)
    return;
  if (now >= j->request.deadline)
    {
      entry_finish (j, timeout_code (j), outcome_of (j), NULL);
      return;
    }
  if (j->state == ENTRY_SENT)
    follow_gate_lease (j, now);
  else
    forward_job (j, now);
}

void
cfs_entry_tick (struct cfs_entry *e, int64_t now)
{
  struct entry_request *next;

  cfs_admit_tick (&e->admit, now);
  for (struct entry_request *j = e->jobs; j; j = next)
    {
      next = j->next;
      tick_job (j, now);
    }
}

void
cfs_entry_directory_changed (struct cfs_entry *e, int64_t now)
{
  const struct cfs_directory *d = e->setup.directory;

  for (size_t i = 0; d->conf && i < d->conf->team_count; i++)
    cfs_admit_limiter_moved (&e->admit, d->conf->teams[i].name, now);
}

void
cfs_entry_drain (struct cfs_entry *e)
{
  e->draining = true;
}

size_t
cfs_entry_open (const struct cfs_entry *e)
{
  return e->open + e->call_count;
}

static void
answer_health (struct cfs_http_request *call, bool ok)
{
  struct cfs_http_response a = { .status = ok ? HTTP_OK : HTTP_UNAVAILABLE,
                                 .type = "text/plain",
                                 .body = ok ? "ok\n" : "not ready\n" };

  cfs_http_respond (call, &a);
}

static void
answer_metrics (struct cfs_entry *e, struct cfs_http_request *call)
{
  const struct cfs_directory *d = e->setup.directory;
  GString *out = g_string_new (NULL);
  struct cfs_http_response a = { .status = HTTP_OK, .type = "text/plain" };

  for (int c = 0; c < CFS_CODE_COUNT; c++)
    g_string_append_printf (
        out, "coltsfootstage_answers_total{code=\"%s\"} %" PRIu64 "\n",
        cfs_code_name ((enum cfs_code)c), e->answers[c]);
  g_string_append_printf (out,
                          "coltsfootstage_calls_open %zu\n"
                          "coltsfootstage_config_version %" PRIu64 "\n"
                          "coltsfootstage_leased %d\n",
                          e->open, d->conf ? d->conf->version : 0,
                          cfs_directory_leased (d, cfs_now ()));
  e->setup.metrics (e->setup.ctx, out);
  a.body = out->str;
  cfs_http_respond (call, &a);
  g_string_free (out, TRUE);
}

/* Splits "/v1/a/b" into parts after "v1".  Returns their number. */
static size_t
split_path (char *path, char **parts)
{
  size_t count = 0;
  char *save = NULL;
  char *p = strtok_r (path, "/", &save);

  if (!p || strcmp (p, "v1") != 0)
    return 0;
  while (count < PATH_PARTS_MAX && (p = strtok_r (NULL, "/", &save)))
    parts[count++] = p;
  return count;
}

static void
versioned_request (struct cfs_entry *e, struct cfs_http_request *call)
{
  char *parts[PATH_PARTS_MAX];
  char *path = cfs_strdup (cfs_http_request_path (call));
  size_t count = split_path (path, parts);
  const char *first = count ? parts[0] : "";

  if (strcmp (first, "groups") == 0 || strcmp (first, "sheets") == 0)
    statement_handle (e, call, parts, count);
  else if (count == 1
           && (strcmp (first, "config") == 0 || strcmp (first, "audit") == 0
               || strcmp (first, "status") == 0 || strcmp (first, "drain") == 0
               || strcmp (first, "announce") == 0))
    operator_handle (e, call, first);
  else
    entry_problem (e, call, CFS_CODE_NOT_FOUND, CFS_NOT_RUN,
                   "no such resource");
  free (path);
}

void
cfs_entry_request (struct cfs_entry *e, struct cfs_http_request *call)
{
  const char *path = cfs_http_request_path (call);

  if (strcmp (path, "/healthz") == 0)
    answer_health (call, true);
  else if (strcmp (path, "/readyz") == 0)
    answer_health (
        call,
        !e->draining && cfs_directory_leased (e->setup.directory, cfs_now ()));
  else if (strcmp (path, "/metrics") == 0)
    answer_metrics (e, call);
  else
    versioned_request (e, call);
}
