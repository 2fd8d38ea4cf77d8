/*
 * Parses and validates HTTP requests of clients: path, API key, session token
 * and statement.  All checks are made before the request uses tokens or other
 * resources.
 */
#include "entry_int.h"

#include "../version/schema.h"
#include "sql.h"

#include <stdlib.h>
#include <string.h>

#define END_FIELD                                                             \
  {                                                                           \
    NULL, FIELD_BOOL, 0, 0, NULL, false, NULL                                 \
  }

static const struct cfs_field statement_fields[]
    = { { "sql", FIELD_STRING, 1, 65536, NULL, true, NULL },
        { "params", FIELD_ANY, 0, 0, NULL, false, NULL },
        { "mode", FIELD_NAME, 1, 16, NULL, false, NULL },
        { "max_age_ms", FIELD_INTEGER, 0, 3600000, "ms", false, NULL },
        { "deadline_ms", FIELD_INTEGER, 1, DEADLINE_MAX_MS, "ms", false,
          NULL },
        END_FIELD };

static const struct cfs_field deadline_fields[]
    = { { "deadline_ms", FIELD_INTEGER, 1, DEADLINE_MAX_MS, "ms", false,
          NULL },
        END_FIELD };

static struct entry_request *
new_request (struct cfs_entry *e, struct cfs_http_request *http,
             enum cfs_request_kind kind, const char *group)
{
  struct entry_request *er = cfs_alloc (sizeof *er);

  er->entry = e;
  er->http = http;
  er->request.kind = kind;
  er->request.payload = er;
  cfs_copy (er->group, sizeof er->group, group);
  return er;
}

/* Responds with a problem to a request that has not been submitted yet. */
static void
reject (struct entry_request *er, enum cfs_code code, const char *detail)
{
  entry_problem (er->entry, er->http, code, CFS_NOT_RUN, detail);
  er->http = NULL;
  entry_free_request (er);
}

static bool
add_param (struct entry_request *er, const cJSON *item)
{
  Cfs__Param *p = &er->params[er->param_count];
  char *text = NULL;

  cfs__param__init (p);
  if (cJSON_IsNull (item))
    p->null = true;
  else if (cJSON_IsString (item))
    text = cfs_strdup (item->valuestring);
  else if (cJSON_IsNumber (item) || cJSON_IsBool (item))
    text = cJSON_PrintUnformatted (item);
  else
    return false;
  if (text)
    p->text = text;
  er->param_list[er->param_count++] = p;
  return true;
}

static bool
read_params (struct entry_request *er, const cJSON *doc)
{
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (doc, "params");
  const cJSON *item;

  if (!list)
    return true;
  if (!cJSON_IsArray (list) || cJSON_GetArraySize (list) > ENTRY_PARAMS_MAX)
    return false;
  er->params = cfs_alloc (ENTRY_PARAMS_MAX * sizeof *er->params);
  er->param_list = cfs_alloc (ENTRY_PARAMS_MAX * sizeof *er->param_list);
  cJSON_ArrayForEach (item, list) if (!add_param (er, item)) return false;
  return true;
}

static bool
read_mode (struct entry_request *er, const cJSON *doc)
{
  const char *mode = cfs_json_string (doc, "mode", "write");

  if (er->request.kind == CFS_STATEMENT)
    return true;
  if (strcmp (mode, "read") == 0)
    er->request.kind = CFS_READ;
  else if (strcmp (mode, "write") != 0)
    return false;
  return true;
}

/* Parses the body.  Returns the deadline in milliseconds, or 0 when the
   request was rejected and freed. */
static int64_t
read_body (struct entry_request *er, const struct cfs_field *fields)
{
  const char *text = cfs_http_request_body (er->http);
  GError *error = NULL;
  cJSON *doc = cfs_json_parse (*text ? text : "{}", "body", &error);
  int64_t deadline = 0;
  const char *problem = NULL;

  if (!doc || !cfs_schema_check (doc, fields, "body", &error))
    problem = error->message;
  else if (fields == statement_fields)
    {
      if (!cfs_sql_allowed (cfs_json_string (doc, "sql", "")))
        problem = "body: sql: empty, or a type of statement that is not "
                  "allowed on a pooled connection";
      else if (!read_params (er, doc))
        problem = "body: params: expected an array of at most 64 strings, "
                  "numbers, booleans and nulls";
      else if (!read_mode (er, doc))
        problem = "body: mode: expected read or write";
      er->sql = cfs_strdup (cfs_json_string (doc, "sql", ""));
      er->request.max_age_us
          = (int64_t)cfs_json_number (doc, "max_age_ms", MAX_AGE_DEFAULT_MS)
            * CFS_US_PER_MS;
    }
  if (!problem)
    deadline
        = (int64_t)cfs_json_number (doc, "deadline_ms", DEADLINE_DEFAULT_MS);
  else
    reject (er, CFS_CODE_BAD_REQUEST, problem);
  g_clear_error (&error);
  cJSON_Delete (doc);
  return deadline;
}

static bool
is_printable (const char *s, size_t max)
{
  size_t len = strlen (s);

  if (len == 0 || len > max)
    return false;
  for (; *s; s++)
    if (*s <= ' ' || *s > '~')
      return false;
  return true;
}

/* Reads the headers that control whether a write may be sent again. */
static bool
read_resend_headers (struct entry_request *er)
{
  const char *key = cfs_http_request_header (er->http, "Idempotency-Key");
  const char *repeatable = cfs_http_request_header (er->http, "Repeatable");

  if (repeatable && strcasecmp (repeatable, "no") == 0)
    er->request.send_once = true;
  else if (repeatable && strcasecmp (repeatable, "yes") != 0)
    return false;
  if (!key || er->request.kind != CFS_WRITE)
    return true;
  cfs_copy (er->request.key, sizeof er->request.key, key);
  return is_printable (key, CFS_KEY_MAX - 1);
}

static bool
read_token (struct entry_request *er)
{
  const char *text = cfs_http_request_header (er->http, "Session");
  const struct cfs_token_entry *seen;

  if (!text)
    text = cfs_http_request_cookie (er->http, "coltsfootstage-session");
  if (!text || !*text)
    return true;
  if (cfs_token_read (text, er->entry->token_key, &er->token) != CFS_OK)
    return false;
  seen = cfs_token_find (&er->token, er->group);
  if (seen)
    {
      er->request.token_term = seen->term;
      er->request.token_position = seen->position;
    }
  return true;
}

/* Validates the session and retry headers and submits the request. */
static void
accept_request (struct entry_request *er, const struct cfs_team *team,
                const char *session_team, int64_t deadline_ms)
{
  if (!read_token (er))
    {
      reject (er, CFS_CODE_BAD_REQUEST, "the session token is invalid");
      return;
    }
  if (*er->token.team && strcmp (er->token.team, session_team) != 0)
    {
      reject (er, CFS_CODE_FORBIDDEN,
              "the session token belongs to another team");
      return;
    }
  cfs_copy (er->token.team, sizeof er->token.team, session_team);
  if (!read_resend_headers (er))
    {
      reject (er, CFS_CODE_BAD_REQUEST,
              "Idempotency-Key must be 1 to 127 printable characters without "
              "spaces, Repeatable must be yes or no");
      return;
    }
  entry_submit (er->entry, er, team, deadline_ms);
}

static const struct cfs_team *
authenticate (struct cfs_entry *e, struct cfs_http_request *http)
{
  const char *key = entry_bearer (http);

  return key ? cfs_conf_authenticate (e->setup.directory->conf, key) : NULL;
}

static void
handle_sheet_request (struct cfs_entry *e, struct cfs_http_request *http,
                      const char *name)
{
  const struct cfs_conf *conf = e->setup.directory->conf;
  const struct cfs_sheet *sheet = cfs_conf_sheet (conf, name);
  const struct cfs_team *team = authenticate (e, http);
  const struct cfs_team *owner;
  struct entry_request *er;

  if (entry_bearer (http) && !team)
    {
      entry_problem (e, http, CFS_CODE_UNAUTHENTICATED, CFS_NOT_RUN,
                     "the API key is unknown");
      return;
    }
  if (!sheet)
    {
      entry_problem (e, http, CFS_CODE_NOT_FOUND, CFS_NOT_RUN,
                     "no such sheet");
      return;
    }
  owner = &conf->teams[sheet->team];
  if (!sheet->open && team != owner)
    {
      entry_problem (
          e, http, team ? CFS_CODE_FORBIDDEN : CFS_CODE_UNAUTHENTICATED,
          CFS_NOT_RUN, "the sheet is not open and belongs to another team");
      return;
    }
  er = new_request (e, http, CFS_READ, sheet->group);
  er->sql = cfs_strdup (sheet->sql);
  er->request.max_age_us = sheet->max_age_us;
  if (team)
    er->bearer = cfs_strdup (entry_bearer (http));
  accept_request (er, owner, team ? team->name : "", DEADLINE_DEFAULT_MS);
}

/* Kind of a request to /v1/groups/G/..., CFS_KIND_COUNT if the path is
   unknown. */
static enum cfs_request_kind
kind_of (char **parts, size_t count)
{
  if (count == 2 && strcmp (parts[1], "statements") == 0)
    return CFS_WRITE;
  if (count == 2 && strcmp (parts[1], "transactions") == 0)
    return CFS_BEGIN;
  if (count != 4 || strcmp (parts[1], "transactions") != 0)
    return CFS_KIND_COUNT;
  if (strcmp (parts[3], "statements") == 0)
    return CFS_STATEMENT;
  if (strcmp (parts[3], "commit") == 0)
    return CFS_COMMIT;
  return strcmp (parts[3], "rollback") == 0 ? CFS_ROLLBACK : CFS_KIND_COUNT;
}

static void
handle_group_request (struct cfs_entry *e, struct cfs_http_request *http,
                      char **parts, size_t count)
{
  enum cfs_request_kind kind = kind_of (parts, count);
  const struct cfs_team *team = authenticate (e, http);
  bool has_statement = kind == CFS_WRITE || kind == CFS_STATEMENT;
  struct entry_request *er;
  int64_t deadline;

  if (!team)
    {
      entry_problem (e, http, CFS_CODE_UNAUTHENTICATED, CFS_NOT_RUN,
                     "the API key is missing or unknown");
      return;
    }
  if (kind == CFS_KIND_COUNT || strlen (parts[0]) >= CFS_NAME_MAX)
    {
      entry_problem (e, http, CFS_CODE_NOT_FOUND, CFS_NOT_RUN,
                     "no such resource");
      return;
    }
  er = new_request (e, http, kind, parts[0]);
  er->bearer = cfs_strdup (entry_bearer (http));
  if (count == 4)
    cfs_copy (er->request.transaction, sizeof er->request.transaction,
              parts[2]);
  deadline
      = read_body (er, has_statement ? statement_fields : deadline_fields);
  if (deadline)
    accept_request (er, team, team->name, deadline);
}

void
statement_handle (struct cfs_entry *e, struct cfs_http_request *http,
                  char **parts, size_t count)
{
  bool sheet = strcmp (parts[0], "sheets") == 0 && count == 2;
  const char *allowed = sheet ? "GET" : "POST";

  if (strcmp (cfs_http_request_method (http), allowed) != 0)
    {
      struct cfs_http_response response = { .status = 405, .body = "{}" };

      cfs_http_respond (http, &response);
      return;
    }
  if (!cfs_directory_has_lease (e->setup.directory, cfs_now ()))
    {
      entry_problem (e, http, CFS_CODE_NO_LEASE, CFS_NOT_RUN,
                     "this host has lost contact with the control group");
      return;
    }
  if (sheet)
    handle_sheet_request (e, http, parts[1]);
  else if (count >= 2)
    handle_group_request (e, http, parts + 1, count - 1);
  else
    entry_problem (e, http, CFS_CODE_NOT_FOUND, CFS_NOT_RUN,
                   "no such resource");
}
