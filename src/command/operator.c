/*
 * Commands for operators.  Each change is a merge patch against the version
 * that the command has just read.  Concurrent operators therefore never
 * overwrite each other's changes: the second patch is rejected as stale.
 */
#include "command.h"

#include "../version/conf.h"
#include "../version/schema.h"
#include "client.h"

#include <argp.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_MS 15000
#define SECRET_BYTES 24
#define HTTP_OK 200
#define HTTP_STALE 412
#define OPERANDS_MAX 4

/* Arguments of all operator commands; each command uses some of them. */
struct args
{
  struct cfs_client client;
  const char *operands[OPERANDS_MAX];
  int operand_count;
  int min_operands;
  int max_operands;
  const char *version;
  const char *request_id;
  const char *operator_name;
  double rate;
  double burst;
  int weight;
  const char *group;
  const char *team;
  const char *sql;
  int max_age_ms;
  bool open;
};

enum option_key
{
  OPT_REQUEST_ID = 0x100,
  OPT_RATE,
  OPT_BURST,
  OPT_WEIGHT,
  OPT_GROUP,
  OPT_TEAM,
  OPT_SQL,
  OPT_MAX_AGE,
  OPT_OPEN
};

#define COMMON_OPTIONS                                                        \
  { "url", 'u', "URL", 0, "URL of a host (default $COLTSFOOTSTAGE_URL)", 0 }, \
  {                                                                           \
    "operator", 'o', "NAME", 0, "name in the audit trail (default $USER)", 0  \
  }

static const struct argp_option common_options[] = { COMMON_OPTIONS, { 0 } };

static const struct argp_option patch_options[]
    = { COMMON_OPTIONS,
        { "version", 'v', "N", 0, "version that the patch applies to", 0 },
        { "request-id", OPT_REQUEST_ID, "ID", 0,
          "a patch repeated with the same id gets the first response", 0 },
        { 0 } };

static const struct argp_option team_options[]
    = { COMMON_OPTIONS,
        { "rate", OPT_RATE, "N", 0, "requests per second", 0 },
        { "burst", OPT_BURST, "N", 0, "maximum burst of requests", 0 },
        { "weight", OPT_WEIGHT, "N", 0, "relative share of busy targets", 0 },
        { 0 } };

static const struct argp_option sheet_options[]
    = { COMMON_OPTIONS,
        { "group", OPT_GROUP, "NAME", 0, "database group", 0 },
        { "team", OPT_TEAM, "NAME", 0, "team that owns the sheet", 0 },
        { "sql", OPT_SQL, "TEXT", 0, "query of the sheet", 0 },
        { "max-age-ms", OPT_MAX_AGE, "MS", 0, "maximum age of the data", 0 },
        { "open", OPT_OPEN, NULL, 0, "open to all callers", 0 },
        { 0 } };

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct args *a = state->input;

  switch (key)
    {
    case 'u':
      a->client.url = arg;
      break;
    case 'o':
      a->operator_name = arg;
      break;
    case 'v':
      a->version = arg;
      break;
    case OPT_REQUEST_ID:
      a->request_id = arg;
      break;
    case OPT_RATE:
      a->rate = strtod (arg, NULL);
      break;
    case OPT_BURST:
      a->burst = strtod (arg, NULL);
      break;
    case OPT_WEIGHT:
      a->weight = (int)strtol (arg, NULL, 10);
      break;
    case OPT_GROUP:
      a->group = arg;
      break;
    case OPT_TEAM:
      a->team = arg;
      break;
    case OPT_SQL:
      a->sql = arg;
      break;
    case OPT_MAX_AGE:
      a->max_age_ms = (int)strtol (arg, NULL, 10);
      break;
    case OPT_OPEN:
      a->open = true;
      break;
    case ARGP_KEY_ARG:
      if (a->operand_count >= a->max_operands)
        argp_usage (state);
      a->operands[a->operand_count++] = arg;
      break;
    case ARGP_KEY_END:
      if (a->operand_count < a->min_operands)
        argp_usage (state);
      if (!a->client.url)
        argp_error (state, "--url or COLTSFOOTSTAGE_URL is required");
      if (!a->client.key)
        argp_error (state, "COLTSFOOTSTAGE_KEY is required");
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

static void
read_args (struct args *a, int argc, char **argv,
           const struct argp_option *options, const char *operands,
           const char *doc, int min_operands, int max_operands)
{
  struct argp argp = { options, parse, operands, doc, NULL, NULL, NULL };

  memset (a, 0, sizeof *a);
  a->client.url = getenv ("COLTSFOOTSTAGE_URL");
  a->client.key = getenv ("COLTSFOOTSTAGE_KEY");
  a->client.timeout_ms = TIMEOUT_MS;
  a->operator_name = getenv ("USER");
  a->weight = 1;
  a->max_age_ms = -1;
  a->min_operands = min_operands;
  a->max_operands = max_operands;
  argp_parse (&argp, argc, argv, 0, NULL, a);
}

static int
fail (GError *error)
{
  fprintf (stderr, "coltsfootstage: %s\n", error->message);
  g_error_free (error);
  return EXIT_FAILED;
}

static int
print_response (struct cfs_client_response *r)
{
  int rc = r->status == HTTP_OK      ? EXIT_OK
           : r->status == HTTP_STALE ? EXIT_STALE
                                     : EXIT_FAILED;

  fprintf (rc == EXIT_OK ? stdout : stderr, "%s\n", r->body);
  cfs_client_response_clear (r);
  return rc;
}

/* Sends a request without a body and prints the response. */
static int
send_request (const struct args *a, const char *method, const char *path)
{
  struct cfs_client_response response;
  GError *error = NULL;

  if (!cfs_client_send (&a->client, method, path, NULL, NULL, &response,
                        &error))
    return fail (error);
  return print_response (&response);
}

static int
send_patch (const struct args *a, uint64_t version, const char *patch)
{
  char match_header[48];
  char operator_header[128];
  char id_header[128];
  const char *headers[4] = { match_header, operator_header, NULL, NULL };
  struct cfs_client_response response;
  GError *error = NULL;

  g_snprintf (match_header, sizeof match_header, "If-Match: \"%" PRIu64 "\"",
              version);
  g_snprintf (operator_header, sizeof operator_header, "Operator: %s",
              a->operator_name ? a->operator_name : "operator");
  if (a->request_id)
    {
      g_snprintf (id_header, sizeof id_header, "Request-Id: %s",
                  a->request_id);
      headers[2] = id_header;
    }
  if (!cfs_client_send (&a->client, "PATCH", "/v1/config", headers, patch,
                        &response, &error))
    return fail (error);
  return print_response (&response);
}

/* Sends a patch against the current version. */
static int
patch_current (const struct args *a, cJSON *patch)
{
  struct cfs_client_response response;
  GError *error = NULL;
  char *text = cJSON_PrintUnformatted (patch);
  int rc;

  cJSON_Delete (patch);
  if (!cfs_client_send (&a->client, "GET", "/v1/config", NULL, NULL, &response,
                        &error))
    {
      free (text);
      return fail (error);
    }
  if (response.status != HTTP_OK)
    {
      free (text);
      return print_response (&response);
    }
  rc = send_patch (a, response.version, text);
  cfs_client_response_clear (&response);
  free (text);
  return rc;
}

/* Creates a patch with an empty object under @name in @collection.  Returns
   that object, which is owned by the patch. */
static cJSON *
add_named_object (cJSON **patch, const char *collection, const char *name)
{
  cJSON *map;

  *patch = cJSON_CreateObject ();
  map = cJSON_AddObjectToObject (*patch, collection);
  return cJSON_AddObjectToObject (map, name);
}

static int
remove_named (const struct args *a, const char *collection, const char *name)
{
  cJSON *patch = cJSON_CreateObject ();
  cJSON *map = cJSON_AddObjectToObject (patch, collection);

  cJSON_AddNullToObject (map, name);
  return patch_current (a, patch);
}

static char *
read_file (const char *name)
{
  char *text = NULL;
  GError *error = NULL;

  if (!g_file_get_contents (strcmp (name, "-") == 0 ? "/dev/stdin" : name,
                            &text, NULL, &error))
    fail (error);
  return text;
}

int
command_show (int argc, char **argv)
{
  struct args a;
  struct cfs_client_response response;
  GError *error = NULL;

  read_args (&a, argc, argv, common_options, NULL,
             "Prints the configuration; its version goes to stderr.", 0, 0);
  if (!cfs_client_send (&a.client, "GET", "/v1/config", NULL, NULL, &response,
                        &error))
    return fail (error);
  fprintf (stderr, "version %" PRIu64 "\n", response.version);
  return print_response (&response);
}

int
command_patch (int argc, char **argv)
{
  struct args a;
  char *text;
  int rc;

  read_args (&a, argc, argv, patch_options, "FILE",
             "Submits a JSON merge patch (RFC 7396) to a version.", 1, 1);
  if (!a.version)
    {
      fputs ("coltsfootstage: --version is required\n", stderr);
      return EXIT_USAGE;
    }
  text = read_file (a.operands[0]);
  if (!text)
    return EXIT_USAGE;
  rc = send_patch (&a, strtoull (a.version, NULL, 10), text);
  g_free (text);
  return rc;
}

static void
print_change (const cJSON *old, const cJSON *item, const char *path)
{
  char *from = old ? cJSON_PrintUnformatted (old) : NULL;
  char *to = cJSON_PrintUnformatted (item);

  if (strcmp (from ? from : "null", to) != 0)
    printf ("%s: %s -> %s\n", path, from ? from : "null", to);
  free (from);
  free (to);
}

static void
print_diff (const cJSON *document, const cJSON *patch, const char *path)
{
  const cJSON *item;

  cJSON_ArrayForEach (item, patch)
  {
    const cJSON *old
        = cJSON_GetObjectItemCaseSensitive (document, item->string);
    char *child_path
        = g_strconcat (path, *path ? "." : "", item->string, NULL);

    if (cJSON_IsObject (item))
      print_diff (old, item, child_path);
    else
      print_change (old, item, child_path);
    g_free (child_path);
  }
}

int
command_diff (int argc, char **argv)
{
  struct args a;
  struct cfs_client_response response;
  GError *error = NULL;
  char *text;
  char *next;
  cJSON *document;
  cJSON *patch;

  read_args (&a, argc, argv, common_options, "FILE",
             "Checks a merge patch and prints what it would change.", 1, 1);
  text = read_file (a.operands[0]);
  if (!text)
    return EXIT_USAGE;
  if (!cfs_client_send (&a.client, "GET", "/v1/config", NULL, NULL, &response,
                        &error))
    return fail (error);
  next = response.status == HTTP_OK
             ? cfs_conf_patch (response.body, text, &error)
             : NULL;
  if (!next)
    return error ? fail (error) : print_response (&response);
  document = cJSON_Parse (response.body);
  patch = cJSON_Parse (text);
  print_diff (document, patch, "");
  cJSON_Delete (document);
  cJSON_Delete (patch);
  free (next);
  g_free (text);
  cfs_client_response_clear (&response);
  return EXIT_OK;
}

static int
create_key (const struct args *a, const char *team, const char *key_id)
{
  unsigned char random[SECRET_BYTES];
  unsigned char hash[CFS_HASH_BYTES];
  char secret[2 * SECRET_BYTES + 1];
  char hex[2 * CFS_HASH_BYTES + 1];
  cJSON *patch;
  cJSON *keys;
  int rc;

  randombytes_buf (random, sizeof random);
  sodium_bin2hex (secret, sizeof secret, random, sizeof random);
  cfs_secret_hash (secret, hash);
  sodium_bin2hex (hex, sizeof hex, hash, sizeof hash);
  keys = cJSON_AddObjectToObject (add_named_object (&patch, "teams", team),
                                  "keys");
  cJSON_AddStringToObject (cJSON_AddObjectToObject (keys, key_id), "hash",
                           hex);
  rc = patch_current (a, patch);
  if (rc == EXIT_OK)
    printf ("key %s.%s\n", key_id, secret);
  return rc;
}

int
command_key (int argc, char **argv)
{
  struct args a;
  cJSON *patch;
  cJSON *keys;

  read_args (&a, argc, argv, common_options,
             "create TEAM ID\nwithdraw TEAM ID",
             "Creates or withdraws an access key.  The key is printed only "
             "once; only its hash is stored.",
             3, 3);
  if (strcmp (a.operands[0], "create") == 0)
    return create_key (&a, a.operands[1], a.operands[2]);
  if (strcmp (a.operands[0], "withdraw") != 0)
    return EXIT_USAGE;
  keys = cJSON_AddObjectToObject (
      add_named_object (&patch, "teams", a.operands[1]), "keys");
  cJSON_AddNullToObject (keys, a.operands[2]);
  return patch_current (&a, patch);
}

int
command_team (int argc, char **argv)
{
  struct args a;
  cJSON *patch;
  cJSON *team;

  read_args (&a, argc, argv, team_options, "set NAME\nremove NAME",
             "Sets or removes a team.", 2, 2);
  if (strcmp (a.operands[0], "remove") == 0)
    return remove_named (&a, "teams", a.operands[1]);
  if (strcmp (a.operands[0], "set") != 0)
    return EXIT_USAGE;
  team = add_named_object (&patch, "teams", a.operands[1]);
  cJSON_AddNumberToObject (team, "rate", a.rate);
  cJSON_AddNumberToObject (team, "burst", a.burst);
  cJSON_AddNumberToObject (team, "weight", a.weight);
  return patch_current (&a, patch);
}

int
command_sheet (int argc, char **argv)
{
  struct args a;
  cJSON *patch;
  cJSON *sheet;

  read_args (&a, argc, argv, sheet_options, "set NAME\nremove NAME",
             "Sets or removes a sheet.", 2, 2);
  if (strcmp (a.operands[0], "remove") == 0)
    return remove_named (&a, "sheets", a.operands[1]);
  if (strcmp (a.operands[0], "set") != 0)
    return EXIT_USAGE;
  sheet = add_named_object (&patch, "sheets", a.operands[1]);
  cJSON_AddStringToObject (sheet, "group", a.group ? a.group : "");
  cJSON_AddStringToObject (sheet, "team", a.team ? a.team : "");
  cJSON_AddStringToObject (sheet, "sql", a.sql ? a.sql : "");
  if (a.max_age_ms >= 0)
    cJSON_AddNumberToObject (sheet, "max_age_ms", a.max_age_ms);
  cJSON_AddBoolToObject (sheet, "open", a.open);
  return patch_current (&a, patch);
}

int
command_audit (int argc, char **argv)
{
  struct args a;

  read_args (&a, argc, argv, common_options, NULL,
             "Prints who changed what, when and from which version.", 0, 0);
  return send_request (&a, "GET", "/v1/audit");
}

int
command_status (int argc, char **argv)
{
  struct args a;

  read_args (&a, argc, argv, common_options, NULL,
             "Prints members, hosts, leases and groups.", 0, 0);
  return send_request (&a, "GET", "/v1/status");
}

int
command_drain (int argc, char **argv)
{
  struct args a;

  read_args (&a, argc, argv, common_options, NULL,
             "Shuts down the host at --url gracefully, as SIGTERM does.", 0,
             0);
  return send_request (&a, "POST", "/v1/drain");
}
