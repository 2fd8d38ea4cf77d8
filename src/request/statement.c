/*
 * Turns a caller's HTTP request into a job: path, key, session, statement.
 * Everything is checked here, before the request costs anything.
 */
#include "entry_int.h"

#include "../version/schema.h"
#include "sql.h"

#include <stdlib.h>
#include <string.h>

#define END_ROW                                                               \
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
        END_ROW };

static const struct cfs_field plain_fields[]
    = { { "deadline_ms", FIELD_INTEGER, 1, DEADLINE_MAX_MS, "ms", false,
          NULL },
        END_ROW };

static struct entry_request *
new_job (struct cfs_entry *e, struct cfs_http_request *call,
         enum cfs_request_kind kind, const char *group)
{
  struct entry_request *j = cfs_alloc (sizeof *j);

  j->entry = e;
  j->call = call;
  j->request.kind = kind;
  j->request.payload = j;
  cfs_copy (j->group, sizeof j->group, group);
  return j;
}

/* Answers a job that never entered the list of open ones. */
static void
reject (struct entry_request *j, enum cfs_code code, const char *detail)
{
  entry_problem (j->entry, j->call, code, CFS_NOT_RUN, detail);
  j->call = NULL;
  entry_free_request (j);
}

static bool
add_param (struct entry_request *j, const cJSON *item)
{
  Cfs__Param *p = &j->params[j->param_count];
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
  j->param_list[j->param_count++] = p;
  return true;
}

static bool
read_params (struct entry_request *j, const cJSON *doc)
{
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (doc, "params");
  const cJSON *item;

  if (!list)
    return true;
  if (!cJSON_IsArray (list) || cJSON_GetArraySize (list) > ENTRY_PARAMS_MAX)
    return false;
  j->params = cfs_alloc (ENTRY_PARAMS_MAX * sizeof *j->params);
  j->param_list = cfs_alloc (ENTRY_PARAMS_MAX * sizeof *j->param_list);
  cJSON_ArrayForEach (item, list) if (!add_param (j, item)) return false;
  return true;
}

static bool
read_mode (struct entry_request *j, const cJSON *doc)
{
  const char *mode = cfs_json_string (doc, "mode", "write");

  if (j->request.kind == CFS_STATEMENT)
    return true;
  if (strcmp (mode, "read") == 0)
    j->request.kind = CFS_READ;
  else if (strcmp (mode, "write") != 0)
    return false;
  return true;
}

/* Reads the body into the job.  Returns the deadline, or 0 after it has
   rejected the job. */
static int64_t
read_body (struct entry_request *j, const struct cfs_field *fields)
{
  const char *text = cfs_http_request_body (j->call);
  GError *error = NULL;
  cJSON *doc = cfs_json_parse (*text ? text : "{}", "body", &error);
  int64_t deadline = 0;
  const char *what = NULL;

  if (!doc || !cfs_schema_check (doc, fields, "body", &error))
    what = error->message;
  else if (fields == statement_fields)
    {
      if (!cfs_sql_allowed (cfs_json_string (doc, "sql", "")))
        what = "body: sql: this kind of statement may not run here";
      else if (!read_params (j, doc))
        what = "body: params: allowed is a list of at most 64 texts, numbers, "
               "booleans and nulls";
      else if (!read_mode (j, doc))
        what = "body: mode: allowed is read or write";
      j->sql = cfs_strdup (cfs_json_string (doc, "sql", ""));
      j->request.max_age_us
          = (int64_t)cfs_json_number (doc, "max_age_ms", MAX_AGE_DEFAULT_MS)
            * CFS_US_PER_MS;
    }
  if (!what)
    deadline
        = (int64_t)cfs_json_number (doc, "deadline_ms", DEADLINE_DEFAULT_MS);
  else
    reject (j, CFS_CODE_BAD_REQUEST, what);
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

/* Reads the headers that say how often a write may run. */
static bool
read_repeat (struct entry_request *j)
{
  const char *key = cfs_http_request_header (j->call, "Idempotency-Key");
  const char *repeatable = cfs_http_request_header (j->call, "Repeatable");

  if (repeatable && strcasecmp (repeatable, "no") == 0)
    j->request.once = true;
  else if (repeatable && strcasecmp (repeatable, "yes") != 0)
    return false;
  if (!key || j->request.kind != CFS_WRITE)
    return true;
  cfs_copy (j->request.key, sizeof j->request.key, key);
  return is_printable (key, CFS_KEY_MAX - 1);
}

static bool
read_token (struct entry_request *j)
{
  const char *text = cfs_http_request_header (j->call, "Session");
  const struct cfs_token_entry *seen;

  if (!text)
    text = cfs_http_request_cookie (j->call, "coltsfootstage-session");
  if (!text || !*text)
    return true;
  if (cfs_token_read (text, j->entry->token_key, &j->token) != CFS_OK)
    return false;
  seen = cfs_token_find (&j->token, j->group);
  if (seen)
    {
      j->request.token_term = seen->term;
      j->request.token_position = seen->position;
    }
  return true;
}

/* Takes the job on for a team once session and repeat headers are sound. */
static void
accept_job (struct entry_request *j, const struct cfs_team *team,
            const char *session_team, int64_t deadline_ms)
{
  if (!read_token (j))
    {
      reject (j, CFS_CODE_BAD_REQUEST, "the session token is not valid");
      return;
    }
  if (*j->token.team && strcmp (j->token.team, session_team) != 0)
    {
      reject (j, CFS_CODE_FORBIDDEN, "the session is of another team");
      return;
    }
  cfs_copy (j->token.team, sizeof j->token.team, session_team);
  if (!read_repeat (j))
    {
      reject (j, CFS_CODE_BAD_REQUEST,
              "Idempotency-Key or Repeatable is malformed");
      return;
    }
  entry_submit (j->entry, j, team, deadline_ms);
}

static const struct cfs_team *
authenticate (struct cfs_entry *e, struct cfs_http_request *call)
{
  const char *key = entry_bearer (call);

  return key ? cfs_conf_authenticate (e->setup.directory->conf, key) : NULL;
}

static void
sheet_request (struct cfs_entry *e, struct cfs_http_request *call,
               const char *name)
{
  const struct cfs_conf *conf = e->setup.directory->conf;
  const struct cfs_sheet *sheet = cfs_conf_sheet (conf, name);
  const struct cfs_team *team = authenticate (e, call);
  const struct cfs_team *owner;
  struct entry_request *j;

  if (entry_bearer (call) && !team)
    {
      entry_problem (e, call, CFS_CODE_UNAUTHENTICATED, CFS_NOT_RUN,
                     "the key is not known");
      return;
    }
  if (!sheet)
    {
      entry_problem (e, call, CFS_CODE_NOT_FOUND, CFS_NOT_RUN,
                     "no such sheet");
      return;
    }
  owner = &conf->teams[sheet->team];
  if (!sheet->open && team != owner)
    {
      entry_problem (e, call,
                     team ? CFS_CODE_FORBIDDEN : CFS_CODE_UNAUTHENTICATED,
                     CFS_NOT_RUN, "the sheet is another team's");
      return;
    }
  j = new_job (e, call, CFS_READ, sheet->group);
  j->sql = cfs_strdup (sheet->sql);
  j->request.max_age_us = sheet->max_age_us;
  if (team)
    j->bearer = cfs_strdup (entry_bearer (call));
  accept_job (j, owner, team ? team->name : "", DEADLINE_DEFAULT_MS);
}

/* Kind of a request under /v1/groups/G/..., CFS_KIND_COUNT for none. */
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
group_request (struct cfs_entry *e, struct cfs_http_request *call,
               char **parts, size_t count)
{
  enum cfs_request_kind kind = kind_of (parts, count);
  const struct cfs_team *team = authenticate (e, call);
  bool carries = kind == CFS_WRITE || kind == CFS_STATEMENT;
  struct entry_request *j;
  int64_t deadline;

  if (!team)
    {
      entry_problem (e, call, CFS_CODE_UNAUTHENTICATED, CFS_NOT_RUN,
                     "the key is not known");
      return;
    }
  if (kind == CFS_KIND_COUNT || strlen (parts[0]) >= CFS_NAME_MAX)
    {
      entry_problem (e, call, CFS_CODE_NOT_FOUND, CFS_NOT_RUN,
                     "no such resource");
      return;
    }
  j = new_job (e, call, kind, parts[0]);
  j->bearer = cfs_strdup (entry_bearer (call));
  if (count == 4)
    cfs_copy (j->request.transaction, sizeof j->request.transaction, parts[2]);
  deadline = read_body (j, carries ? statement_fields : plain_fields);
  if (deadline)
    accept_job (j, team, team->name, deadline);
}

void
statement_handle (struct cfs_entry *e, struct cfs_http_request *call,
                  char **parts, size_t count)
{
  bool sheet = strcmp (parts[0], "sheets") == 0 && count == 2;
  const char *allowed = sheet ? "GET" : "POST";

  if (strcmp (cfs_http_request_method (call), allowed) != 0)
    {
      struct cfs_http_response a = { .status = 405, .body = "{}" };

      cfs_http_respond (call, &a);
      return;
    }
  if (!cfs_directory_leased (e->setup.directory, cfs_now ()))
    {
      entry_problem (e, call, CFS_CODE_NO_LEASE, CFS_NOT_RUN,
                     "this host is cut off from the control group");
      return;
    }
  if (sheet)
    sheet_request (e, call, parts[1]);
  else if (count >= 2)
    group_request (e, call, parts + 1, count - 1);
  else
    entry_problem (e, call, CFS_CODE_NOT_FOUND, CFS_NOT_RUN,
                   "no such resource");
}
