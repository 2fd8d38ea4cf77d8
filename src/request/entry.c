/*
 * Processing of a client request after its validation.  Each attempt has a
 * new message id, so the reply to an earlier attempt is never taken for the
 * reply to a later one.  A request is sent again only when that is safe: if
 * the gate refused it without running it, if it is a read, or if it is a
 * write with an idempotency key, which the target records.
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

static void forward_request (struct entry_request *er, int64_t now);

uint64_t
entry_id (struct cfs_entry *e)
{
  return ++e->next_id;
}

const char *
entry_bearer (const struct cfs_http_request *http)
{
  static const char scheme[] = "Bearer ";
  const char *text = cfs_http_request_header (http, "Authorization");

  if (!text || strncasecmp (text, scheme, sizeof scheme - 1) != 0)
    return NULL;
  return text + sizeof scheme - 1;
}

static void
respond_problem (struct cfs_entry *e, struct cfs_http_request *http,
                 enum cfs_code code, enum cfs_outcome outcome,
                 const char *detail, const char *session)
{
  struct cfs_http_response response = { .status = cfs_code_http (code),
                                        .type = "application/problem+json",
                                        .session = session };
  cJSON *doc = cJSON_CreateObject ();
  char *text;

  cJSON_AddStringToObject (doc, "type", "about:blank");
  cJSON_AddStringToObject (doc, "title", cfs_code_name (code));
  cJSON_AddNumberToObject (doc, "status", response.status);
  cJSON_AddStringToObject (doc, "code", cfs_code_name (code));
  cJSON_AddStringToObject (doc, "outcome", cfs_outcome_name (outcome));
  if (detail && *detail)
    cJSON_AddStringToObject (doc, "detail", detail);
  text = cJSON_PrintUnformatted (doc);
  response.body = text;
  if (response.status == HTTP_UNAVAILABLE || code == CFS_CODE_RATE_LIMITED)
    response.retry_after = 1;
  e->response_counts[code]++;
  cfs_http_respond (http, &response);
  free (text);
  cJSON_Delete (doc);
}

void
entry_problem (struct cfs_entry *e, struct cfs_http_request *http,
               enum cfs_code code, enum cfs_outcome outcome,
               const char *detail)
{
  respond_problem (e, http, code, outcome, detail, NULL);
}

void
entry_free_request (struct entry_request *er)
{
  for (size_t i = 0; i < er->param_count; i++)
    if (!er->params[i].null)
      free (er->params[i].text);
  if (er->bearer)
    sodium_memzero (er->bearer, strlen (er->bearer));
  free (er->bearer);
  free (er->params);
  free (er->param_list);
  free (er->sql);
  free (er);
}

/* Outcome of a request that is abandoned in its current state. */
static enum cfs_outcome
outcome_of (const struct entry_request *er)
{
  bool sent = er->state == ENTRY_SENT && er->id;

  return sent || er->request.maybe_applied ? CFS_UNKNOWN : CFS_NOT_RUN;
}

static void
link_request (struct cfs_entry *e, struct entry_request *er)
{
  er->next = e->requests;
  if (er->next)
    er->next->prev = er;
  e->requests = er;
  e->open_count++;
}

static void
clear_sent_id (struct entry_request *er)
{
  if (er->id)
    apr_hash_set (er->entry->sent_requests, &er->id, sizeof er->id, NULL);
  er->id = 0;
}

static void
end_request (struct entry_request *er)
{
  struct cfs_entry *e = er->entry;

  clear_sent_id (er);
  if (er->prev)
    er->prev->next = er->next;
  else
    e->requests = er->next;
  if (er->next)
    er->next->prev = er->prev;
  e->open_count--;
  entry_free_request (er);
}

void
entry_finish (struct entry_request *er, enum cfs_code code,
              enum cfs_outcome outcome, const char *detail)
{
  entry_problem (er->entry, er->http, code, outcome, detail);
  end_request (er);
}

static void
send_token_request (void *ctx, const char *team, uint64_t id, uint32_t count)
{
  struct cfs_entry *e = ctx;
  const struct cfs_lease *l
      = cfs_directory_find_lease (e->setup.directory, LIMIT_PREFIX, team);
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__TokenAsk msg = CFS__TOKEN_ASK__INIT;

  if (!l)
    return;
  msg.id = id;
  msg.team = (char *)team;
  msg.epoch = l->epoch;
  msg.count = count;
  out.body_case = CFS__PEER__BODY_ASK;
  out.ask = &msg;
  cfs_net_send (e->setup.net, l->address, l->port, &out);
}

static void
on_admitted (void *ctx, struct cfs_request *r)
{
  struct entry_request *er = r->payload;

  (void)ctx;
  er->state = ENTRY_WAITING;
  forward_request (er, cfs_now ());
}

static void
on_refused (void *ctx, struct cfs_request *r, enum cfs_code code)
{
  (void)ctx;
  entry_finish (r->payload, code, CFS_NOT_RUN, NULL);
}

static const struct cfs_admit_ops admit_ops
    = { send_token_request, on_admitted, on_refused };

struct cfs_entry *
cfs_entry_new (const struct cfs_entry_setup *setup)
{
  struct cfs_entry *e = cfs_alloc (sizeof *e);

  e->setup = *setup;
  apr_pool_create (&e->pool, NULL);
  e->sent_requests = apr_hash_make (e->pool);
  cfs_admit_init (&e->admit, &admit_ops, e);
  cfs_table_init (&e->sent_announcements, sizeof (struct sent_announcement));
  cfs_token_derive_key (setup->settings->curve_secret, e->token_key);
  e->next_id = (uint64_t)randombytes_random () << 32;
  return e;
}

void
cfs_entry_free (struct cfs_entry *e)
{
  struct cfs_http_response unavailable
      = { .status = HTTP_UNAVAILABLE, .body = "{}" };

  if (!e)
    return;
  cfs_admit_end (&e->admit);
  while (e->requests)
    entry_finish (e->requests, CFS_CODE_DRAINING, outcome_of (e->requests),
                  NULL);
  for (size_t i = 0; i < e->operator_request_count; i++)
    cfs_http_respond (e->operator_requests[i].http, &unavailable);
  free (e->operator_requests);
  cfs_table_end (&e->sent_announcements);
  apr_pool_destroy (e->pool);
  free (e);
}

void
entry_submit (struct cfs_entry *e, struct entry_request *er,
              const struct cfs_team *team, int64_t deadline_ms)
{
  int64_t now = cfs_now ();
  struct cfs_request *r = &er->request;

  cfs_copy (r->team, sizeof r->team, team->name);
  r->weight = team->weight;
  r->arrived_at = now;
  r->deadline = now + deadline_ms * CFS_US_PER_MS;
  er->checked_version = e->setup.directory->conf->version;
  er->state = ENTRY_ADMITTING;
  link_request (e, er);
  cfs_admit_submit (&e->admit, r, team->rate, team->burst, now);
}

/* Whether the API key of a request still authenticates the same team. */
static bool
key_still_valid (struct entry_request *er)
{
  const struct cfs_conf *conf = er->entry->setup.directory->conf;
  const struct cfs_team *team;

  if (!er->bearer || conf->version == er->checked_version)
    return true;
  team = cfs_conf_authenticate (conf, er->bearer);
  er->checked_version = conf->version;
  return team && strcmp (team->name, er->token.team) == 0;
}

static int
send_request (struct entry_request *er, const struct cfs_lease *gate,
              int64_t now)
{
  const struct cfs_request *r = &er->request;
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__Execute x = CFS__EXECUTE__INIT;
  int64_t budget = r->deadline - now - RETURN_MARGIN_US;

  x.id = entry_id (er->entry);
  x.group = er->group;
  x.epoch = gate->epoch;
  x.team = (char *)r->team;
  x.weight = r->weight;
  x.kind = r->kind;
  if (er->sql)
    x.sql = er->sql;
  x.params = er->param_list;
  x.n_params = er->param_count;
  x.max_age_us = (uint64_t)r->max_age_us;
  x.budget_us = budget > 0 ? (uint64_t)budget : 0;
  x.token_term = r->token_term;
  x.token_position = r->token_position;
  x.idempotency_key = (char *)r->key;
  x.transaction = (char *)r->transaction;
  x.once = r->send_once;
  out.body_case = CFS__PEER__BODY_EXECUTE;
  out.execute = &x;
  er->id = x.id;
  return cfs_net_send (er->entry->setup.net, gate->address, gate->port, &out);
}

/* Sends a waiting request to the gate of its group, if there is a gate and
   it can be reached. */
static void
forward_request (struct entry_request *er, int64_t now)
{
  const struct cfs_directory *d = er->entry->setup.directory;
  const struct cfs_lease *gate
      = cfs_directory_find_lease (d, GATE_PREFIX, er->group);

  if (!cfs_directory_has_lease (d, now))
    return;
  if (!key_still_valid (er))
    {
      entry_finish (er, CFS_CODE_UNAUTHENTICATED, outcome_of (er),
                    "the API key was revoked");
      return;
    }
  if (!gate || now < er->retry_at)
    return;
  if (send_request (er, gate, now) != CFS_OK)
    {
      er->id = 0;
      return;
    }
  er->state = ENTRY_SENT;
  er->sent_epoch = gate->epoch;
  er->orphaned_at = 0;
  apr_hash_set (er->entry->sent_requests, &er->id, sizeof er->id, er);
}

/* Merges the fields of this response with the JSON object of the gate. */
static char *
make_body (const struct entry_request *er, const Cfs__Answer *in)
{
  const char *rest = in->body && in->body[0] == '{' ? in->body + 1 : "}";
  const char *comma = rest[0] == '}' ? "" : ",";
  const char *where = in->replica ? "replica" : "primary";

  if (er->request.kind == CFS_BEGIN)
    return g_strdup_printf ("{\"outcome\":\"done\",\"transaction\":\"%s\"}",
                            in->transaction);
  return g_strdup_printf ("{\"outcome\":\"done\",\"from\":\"%s\"%s%s", where,
                          comma, rest);
}

static void
respond_done (struct entry_request *er, const Cfs__Answer *in)
{
  struct cfs_http_response response = { .status = HTTP_OK };
  char session[TOKEN_TEXT_MAX];
  char *body;

  if (cfs_token_advance (&er->token, er->group, in->term, in->position)
      != CFS_OK)
    {
      entry_finish (er, CFS_CODE_BAD_REQUEST, CFS_DONE,
                    "the session spans too many groups");
      return;
    }
  cfs_token_write (&er->token, er->entry->token_key, session);
  body = make_body (er, in);
  response.body = body;
  response.session = session;
  er->entry->response_counts[CFS_CODE_OK]++;
  cfs_http_respond (er->http, &response);
  g_free (body);
  end_request (er);
}

/* Tells the client that a change which its session has seen was lost, and
   resets the session to a position in the current history. */
static void
respond_write_lost (struct entry_request *er, const Cfs__Answer *in)
{
  char session[TOKEN_TEXT_MAX];

  cfs_token_reset (&er->token, er->group, in->term, in->position);
  cfs_token_write (&er->token, er->entry->token_key, session);
  respond_problem (
      er->entry, er->http, CFS_CODE_WRITE_LOST, outcome_of (er),
      "a change that this session has seen was lost in a failover", session);
  end_request (er);
}

void
cfs_entry_gate_reply (struct cfs_entry *e, const Cfs__Answer *in, int64_t now)
{
  struct entry_request *er
      = apr_hash_get (e->sent_requests, &in->id, sizeof in->id);

  if (!er)
    return;
  clear_sent_id (er);
  if (in->code == CFS_CODE_OK)
    respond_done (er, in);
  else if (in->code == CFS_CODE_MOVED && in->outcome == CFS_NOT_RUN)
    {
      er->state = ENTRY_WAITING;
      er->retry_at = now + MOVED_PAUSE_US;
    }
  else if (in->code == CFS_CODE_WRITE_LOST)
    respond_write_lost (er, in);
  else if (in->outcome == CFS_NOT_RUN)
    entry_finish (er, (enum cfs_code)in->code, outcome_of (er), in->body);
  else
    entry_finish (er, (enum cfs_code)in->code, (enum cfs_outcome)in->outcome,
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

/* Whether a request that a gate may have run can safely be run again. */
static bool
may_resend (const struct entry_request *er)
{
  if (er->request.kind == CFS_READ)
    return true;
  return er->request.kind == CFS_WRITE && *er->request.key
         && !er->request.send_once;
}

/* If the gate to which a request was sent has lost its lease, sends the
   request to the new gate when that is safe, or else waits a short time for
   the reply of the old one. */
static void
follow_gate_lease (struct entry_request *er, int64_t now)
{
  const struct cfs_lease *gate = cfs_directory_find_lease (
      er->entry->setup.directory, GATE_PREFIX, er->group);

  if (!gate || gate->epoch <= er->sent_epoch)
    return;
  if (may_resend (er))
    {
      clear_sent_id (er);
      er->state = ENTRY_WAITING;
      er->request.maybe_applied = true;
      forward_request (er, now);
      return;
    }
  if (!er->orphaned_at)
    er->orphaned_at = now;
  else if (now - er->orphaned_at > ORPHAN_WAIT_US)
    entry_finish (er, CFS_CODE_CONNECTION_LOST, CFS_UNKNOWN,
                  "the host that ran the request lost its lease and did not "
                  "reply");
}

/* Error code of a request that missed its deadline: no host holds the gate
   of its group, or it took too long. */
static enum cfs_code
timeout_code (const struct entry_request *er)
{
  bool held = cfs_directory_find_lease (er->entry->setup.directory,
                                        GATE_PREFIX, er->group);

  return held ? CFS_CODE_DEADLINE : CFS_CODE_NO_TARGET;
}

static void
tick_request (struct entry_request *er, int64_t now)
{
  if (er->state == ENTRY_ADMITTING)
    return;
  if (now >= er->request.deadline)
    {
      entry_finish (er, timeout_code (er), outcome_of (er), NULL);
      return;
    }
  if (er->state == ENTRY_SENT)
    follow_gate_lease (er, now);
  else
    forward_request (er, now);
}

void
cfs_entry_tick (struct cfs_entry *e, int64_t now)
{
  struct entry_request *next;

  cfs_admit_tick (&e->admit, now);
  for (struct entry_request *er = e->requests; er; er = next)
    {
      next = er->next;
      tick_request (er, now);
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
cfs_entry_open_requests (const struct cfs_entry *e)
{
  return e->open_count + e->operator_request_count;
}

static void
respond_health (struct cfs_http_request *http, bool ok)
{
  struct cfs_http_response response
      = { .status = ok ? HTTP_OK : HTTP_UNAVAILABLE,
          .type = "text/plain",
          .body = ok ? "ok\n" : "not ready\n" };

  cfs_http_respond (http, &response);
}

static void
respond_metrics (struct cfs_entry *e, struct cfs_http_request *http)
{
  const struct cfs_directory *d = e->setup.directory;
  GString *out = g_string_new (NULL);
  struct cfs_http_response response
      = { .status = HTTP_OK, .type = "text/plain" };

  for (int c = 0; c < CFS_CODE_COUNT; c++)
    g_string_append_printf (
        out, "coltsfootstage_answers_total{code=\"%s\"} %" PRIu64 "\n",
        cfs_code_name ((enum cfs_code)c), e->response_counts[c]);
  g_string_append_printf (out,
                          "coltsfootstage_calls_open %zu\n"
                          "coltsfootstage_config_version %" PRIu64 "\n"
                          "coltsfootstage_leased %d\n",
                          e->open_count, d->conf ? d->conf->version : 0,
                          cfs_directory_has_lease (d, cfs_now ()));
  e->setup.metrics (e->setup.ctx, out);
  response.body = out->str;
  cfs_http_respond (http, &response);
  g_string_free (out, TRUE);
}

/* Splits "/v1/a/b" into the segments after "v1".  Returns their number, 0
   for other paths. */
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
handle_api_request (struct cfs_entry *e, struct cfs_http_request *http)
{
  char *parts[PATH_PARTS_MAX];
  char *path = cfs_strdup (cfs_http_request_path (http));
  size_t count = split_path (path, parts);
  const char *first = count ? parts[0] : "";

  if (strcmp (first, "groups") == 0 || strcmp (first, "sheets") == 0)
    statement_handle (e, http, parts, count);
  else if (count == 1
           && (strcmp (first, "config") == 0 || strcmp (first, "audit") == 0
               || strcmp (first, "status") == 0 || strcmp (first, "drain") == 0
               || strcmp (first, "announce") == 0))
    operator_handle (e, http, first);
  else
    entry_problem (e, http, CFS_CODE_NOT_FOUND, CFS_NOT_RUN,
                   "no such resource");
  free (path);
}

void
cfs_entry_handle_request (struct cfs_entry *e, struct cfs_http_request *http)
{
  const char *path = cfs_http_request_path (http);

  if (strcmp (path, "/healthz") == 0)
    respond_health (http, true);
  else if (strcmp (path, "/readyz") == 0)
    respond_health (
        http, !e->draining
                  && cfs_directory_has_lease (e->setup.directory, cfs_now ()));
  else if (strcmp (path, "/metrics") == 0)
    respond_metrics (e, http);
  else
    handle_api_request (e, http);
}
