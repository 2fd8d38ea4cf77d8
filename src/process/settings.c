/*
 * The tables of fields fully describe the settings file: names, types, ranges
 * and units.  Checks that involve several fields follow after the tables.
 */
#include "settings.h"

#include "../version/schema.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define HASH_HEX_CHARS (2 * CFS_HASH_BYTES)
#define MAX_BODY_DEFAULT_BYTES 1048576
#define STOP_DEFAULT_SECONDS 20
#define REVOKE_DEFAULT_MS 5000
#define DRAIN_DEFAULT_MS 7000
#define EVACUATE_DEFAULT_MS 5000
#define COLD_OVERSHOOT_DEFAULT 1.5
#define COLD_SLACK_DEFAULT 5
/* Lease on a configuration as a fraction of revoke_ms, the time within which a
   withdrawn key must stop working.  The rest covers messages in transit. */
#define DOCUMENT_LEASE_FRACTION 0.6

/* The size of the smallest machine. */
#define MEMORY_DEFAULT_MB 160
#define MAX_FDS_DEFAULT 4300
/* Parts of memory and descriptors for callers; the rest is for the program
   itself, connections to instances and other hosts, files. */
#define CALLER_MEMORY_PART 2
#define CALLER_FDS_PART 2
#define CALLER_CONNECTIONS_MAX 2048
/* Parts for the HTTP server of a host.  A document takes several times its
   length while it is parsed. */
#define HTTP_MEMORY_PART 4
#define HTTP_FDS_PART 4
/* Ten times what a caller at the end of a slow link needs. */
#define STARTUP_DEFAULT_MS 10000
#define SEND_STALL_DEFAULT_MS 30000
#define PIPELINE_DEFAULT 64

#define LOST_DISKS_MAX 100

#define END_OF_FIELDS                                                         \
  {                                                                           \
    NULL, FIELD_BOOL, 0, 0, NULL, false, NULL                                 \
  }

static const struct cfs_field control_host_fields[]
    = { { "host", FIELD_NAME, 1, 48, NULL, true, NULL },
        { "address", FIELD_ADDRESS, 0, 0, NULL, true, NULL },
        { "port", FIELD_INTEGER, 1, 65535, NULL, true, NULL },
        END_OF_FIELDS };

static const struct cfs_field curve_fields[]
    = { { "public", FIELD_STRING, CURVE_KEY_CHARS, CURVE_KEY_CHARS, NULL, true,
          NULL },
        { "secret", FIELD_STRING, CURVE_KEY_CHARS, CURVE_KEY_CHARS, NULL, true,
          NULL },
        END_OF_FIELDS };

static const struct cfs_field target_fields[]
    = { { "user", FIELD_NAME, 1, 48, NULL, true, NULL },
        { "database", FIELD_NAME, 1, 48, NULL, true, NULL },
        { "password", FIELD_STRING, 0, 256, NULL, false, NULL },
        END_OF_FIELDS };

static const struct cfs_field tls_fields[]
    = { { "certificate_file", FIELD_STRING, 1, 4096, NULL, true, NULL },
        { "key_file", FIELD_STRING, 1, 4096, NULL, true, NULL },
        END_OF_FIELDS };

static const struct cfs_field settings_fields[]
    = { { "host", FIELD_NAME, 1, 48, NULL, true, NULL },
        { "zone", FIELD_NAME, 1, 48, NULL, true, NULL },
        { "address", FIELD_ADDRESS, 0, 0, NULL, true, NULL },
        { "http_port", FIELD_INTEGER, 1, 65535, NULL, false, NULL },
        { "control_port", FIELD_INTEGER, 1, 65535, NULL, false, NULL },
        { "peer_port", FIELD_INTEGER, 1, 65535, NULL, false, NULL },
        { "traffic_port", FIELD_INTEGER, 1, 65535, NULL, false, NULL },
        { "data_folder", FIELD_STRING, 1, 4096, NULL, false, NULL },
        { "curve", FIELD_OBJECT, 0, 0, NULL, false, curve_fields },
        { "operator_key_hash", FIELD_HEX, HASH_HEX_CHARS, HASH_HEX_CHARS, NULL,
          false, NULL },
        { "announce_key_hash", FIELD_HEX, HASH_HEX_CHARS, HASH_HEX_CHARS, NULL,
          false, NULL },
        { "target", FIELD_OBJECT, 0, 0, NULL, false, target_fields },
        { "tls", FIELD_OBJECT, 0, 0, NULL, false, tls_fields },
        { "max_body_bytes", FIELD_INTEGER, 1024, 16777216, "bytes", false,
          NULL },
        { "stop_seconds", FIELD_INTEGER, 1, 600, "s", false, NULL },
        { "control", FIELD_LIST, 0, 0, NULL, false, control_host_fields },
        { "seeds", FIELD_ANY, 0, 0, NULL, false, NULL },
        { "first_start", FIELD_BOOL, 0, 0, NULL, false, NULL },
        { "lost_disks", FIELD_INTEGER, 0, LOST_DISKS_MAX, NULL, false, NULL },
        { "zones", FIELD_ANY, 0, 0, NULL, false, NULL },
        { "session_address", FIELD_STRING, 0, 48, NULL, false, NULL },
        { "ready_address", FIELD_STRING, 0, 48, NULL, false, NULL },
        { "control_address", FIELD_STRING, 0, 48, NULL, false, NULL },
        { "promotion_address", FIELD_STRING, 0, 48, NULL, false, NULL },
        { "revoke_ms", FIELD_INTEGER, 100, 600000, "ms", false, NULL },
        { "drain_ms", FIELD_INTEGER, 2000, 600000, "ms", false, NULL },
        { "evacuate_ms", FIELD_INTEGER, 100, 600000, "ms", false, NULL },
        { "cold_overshoot", FIELD_NUMBER, 0, 1000, NULL, false, NULL },
        { "cold_slack", FIELD_NUMBER, 0, 1000000, NULL, false, NULL },
        { "learned_capacity", FIELD_BOOL, 0, 0, NULL, false, NULL },
        { "memory_mb", FIELD_INTEGER, 32, 65536, "MiB", false, NULL },
        { "max_fds", FIELD_INTEGER, 64, 524288, NULL, false, NULL },
        { "max_sessions", FIELD_INTEGER, 1, 2048, NULL, false, NULL },
        { "startup_ms", FIELD_INTEGER, 100, 600000, "ms", false, NULL },
        { "send_stall_ms", FIELD_INTEGER, 100, 600000, "ms", false, NULL },
        { "pipeline_max", FIELD_INTEGER, 1, 4096, NULL, false, NULL },
        END_OF_FIELDS };

/* Fields that are required on a host that serves HTTP requests. */
static const char *const http_service_fields[]
    = { "http_port", "traffic_port",      "curve", "operator_key_hash",
        "control",   "announce_key_hash", "target" };

static bool
fail (GError **error, const char *file, const char *what)
{
  g_set_error (error, CFS_SCHEMA_ERROR, 0, "%s: %s", file, what);
  return false;
}

static void
load_hash (const cJSON *doc, const char *name, unsigned char *hash)
{
  sodium_hex2bin (hash, CFS_HASH_BYTES, cfs_json_string (doc, name, ""),
                  HASH_HEX_CHARS, NULL, NULL, NULL);
}

static char *
copy_or_null (const cJSON *object, const char *name)
{
  const char *text = cfs_json_string (object, name, NULL);

  return text ? cfs_strdup (text) : NULL;
}

static bool
load_control (struct cfs_settings *s, const cJSON *doc, const char *file,
              GError **error)
{
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (doc, "control");
  const cJSON *item;
  int count = cJSON_GetArraySize (list);

  if (count != 1 && count != 3 && count != 5 && count != 7)
    return fail (error, file,
                 "control: the number of control hosts must be 1, 3, 5 or 7");
  cJSON_ArrayForEach (item, list)
  {
    struct cfs_control_host *h = &s->control[s->control_count++];

    cfs_copy (h->host, sizeof h->host, cfs_json_string (item, "host", ""));
    cfs_copy (h->address, sizeof h->address,
              cfs_json_string (item, "address", ""));
    h->port = (uint32_t)cfs_json_number (item, "port", 0);
  }
  if (cfs_settings_is_control (s) && (!s->data_folder || !s->control_port))
    return fail (error, file,
                 "data_folder, control_port: both are required on a control "
                 "host");
  return true;
}

static bool
check_http_service_fields (const cJSON *doc, const char *file, GError **error)
{
  for (size_t i = 0;
       i < sizeof http_service_fields / sizeof http_service_fields[0]; i++)
    if (!cJSON_GetObjectItemCaseSensitive (doc, http_service_fields[i]))
      {
        g_set_error (error, CFS_SCHEMA_ERROR, 0,
                     "%s: %s: required when seeds is not set", file,
                     http_service_fields[i]);
        return false;
      }
  return true;
}

/* Adds the control host of a seed "IP:PORT".  Only the IP address is used,
   because hosts use the same port among themselves everywhere. */
static bool
add_seed (struct cfs_settings *s, const char *text)
{
  struct cfs_control_host *h = &s->control[s->control_count];
  const char *colon = text ? strchr (text, ':') : NULL;

  if (!colon || colon - text >= CFS_NAME_MAX
      || s->control_count == SETTINGS_CONTROL_MAX)
    return false;
  memcpy (h->host, text, (size_t)(colon - text));
  cfs_copy (h->address, sizeof h->address, h->host);
  h->port = s->peer_port;
  s->control_count++;
  return true;
}

static bool
load_seeds (struct cfs_settings *s, const cJSON *doc, const char *file,
            GError **error)
{
  const cJSON *list = cJSON_GetObjectItemCaseSensitive (doc, "seeds");
  const cJSON *item;

  if (!s->control_port)
    return fail (error, file, "control_port: required when seeds is set");
  cJSON_ArrayForEach (item, list)
  {
    if (!add_seed (s, cJSON_GetStringValue (item)))
      return fail (error, file,
                   "seeds: must be an array of 1 to 7 strings \"IP:PORT\"");
  }
  if (!cJSON_IsArray (list) || s->control_count == 0)
    return fail (error, file,
                 "seeds: must be an array of 1 to 7 strings \"IP:PORT\"");
  return true;
}

static bool
load_zones (struct cfs_settings *s, const cJSON *doc, const char *file,
            GError **error)
{
  const cJSON *map = cJSON_GetObjectItemCaseSensitive (doc, "zones");
  const cJSON *item;

  cJSON_ArrayForEach (item, map)
  {
    struct cfs_zone *z = &s->zones[s->zone_count];

    if (!cJSON_IsString (item) || s->zone_count == SETTINGS_ZONES_MAX)
      return fail (error, file,
                   "zones: must map at most 64 zone names to region names");
    cfs_copy (z->name, sizeof z->name, item->string);
    cfs_copy (z->region, sizeof z->region, item->valuestring);
    s->zone_count++;
  }
  return true;
}

static bool
load_seed_settings (struct cfs_settings *s, const cJSON *doc, const char *file,
                    GError **error)
{
  s->uses_seeds = true;
  s->first_start
      = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (doc, "first_start"));
  s->lost_disks = (uint32_t)cfs_json_number (doc, "lost_disks", 0);
  s->learned_capacity = cJSON_IsTrue (
      cJSON_GetObjectItemCaseSensitive (doc, "learned_capacity"));
  cfs_copy (s->session_address, sizeof s->session_address,
            cfs_json_string (doc, "session_address", ""));
  cfs_copy (s->ready_address, sizeof s->ready_address,
            cfs_json_string (doc, "ready_address", ""));
  cfs_copy (s->control_address, sizeof s->control_address,
            cfs_json_string (doc, "control_address", ""));
  cfs_copy (s->promotion_address, sizeof s->promotion_address,
            cfs_json_string (doc, "promotion_address", ""));
  s->document_lease_us
      = (int64_t)(cfs_json_number (doc, "revoke_ms", REVOKE_DEFAULT_MS)
                  * DOCUMENT_LEASE_FRACTION * CFS_US_PER_MS);
  s->evacuate_us
      = (int64_t)cfs_json_number (doc, "evacuate_ms", EVACUATE_DEFAULT_MS)
        * CFS_US_PER_MS;
  s->cold_overshoot
      = cfs_json_number (doc, "cold_overshoot", COLD_OVERSHOOT_DEFAULT);
  s->cold_slack = cfs_json_number (doc, "cold_slack", COLD_SLACK_DEFAULT);
  if (!*s->session_address && !*s->control_address)
    return fail (error, file,
                 "session_address, control_address: at least one is required "
                 "when seeds is set");
  if (*s->control_address && !s->data_folder)
    return fail (error, file, "data_folder: required on a control host");
  return load_seeds (s, doc, file, error) && load_zones (s, doc, file, error);
}

static void
load_client_limits (struct cfs_settings *s, const cJSON *doc)
{
  s->memory_mb
      = (uint32_t)cfs_json_number (doc, "memory_mb", MEMORY_DEFAULT_MB);
  s->max_fds = (uint32_t)cfs_json_number (doc, "max_fds", MAX_FDS_DEFAULT);
  s->max_sessions = (uint32_t)cfs_json_number (doc, "max_sessions", 0);
  s->startup_ms
      = (uint32_t)cfs_json_number (doc, "startup_ms", STARTUP_DEFAULT_MS);
  s->send_stall_ms = (uint32_t)cfs_json_number (doc, "send_stall_ms",
                                                SEND_STALL_DEFAULT_MS);
  s->pipeline_max
      = (uint32_t)cfs_json_number (doc, "pipeline_max", PIPELINE_DEFAULT);
}

static void
load_nested_objects (struct cfs_settings *s, const cJSON *doc)
{
  const cJSON *curve = cJSON_GetObjectItemCaseSensitive (doc, "curve");
  const cJSON *target = cJSON_GetObjectItemCaseSensitive (doc, "target");
  const cJSON *tls = cJSON_GetObjectItemCaseSensitive (doc, "tls");

  cfs_copy (s->curve_public, sizeof s->curve_public,
            cfs_json_string (curve, "public", ""));
  cfs_copy (s->curve_secret, sizeof s->curve_secret,
            cfs_json_string (curve, "secret", ""));
  cfs_copy (s->target_user, sizeof s->target_user,
            cfs_json_string (target, "user", ""));
  cfs_copy (s->target_database, sizeof s->target_database,
            cfs_json_string (target, "database", ""));
  s->target_password = copy_or_null (target, "password");
  s->tls_certificate = copy_or_null (tls, "certificate_file");
  s->tls_key = copy_or_null (tls, "key_file");
}

struct cfs_settings *
cfs_settings_parse (const char *text, const char *file, GError **error)
{
  cJSON *doc = cfs_json_parse (text, file, error);
  struct cfs_settings *s;
  bool ok;

  if (!doc || !cfs_schema_check (doc, settings_fields, file, error))
    {
      cJSON_Delete (doc);
      return NULL;
    }
  s = cfs_alloc (sizeof *s);
  cfs_copy (s->host, sizeof s->host, cfs_json_string (doc, "host", ""));
  cfs_copy (s->zone, sizeof s->zone, cfs_json_string (doc, "zone", ""));
  cfs_copy (s->address, sizeof s->address,
            cfs_json_string (doc, "address", ""));
  s->http_port = (uint32_t)cfs_json_number (doc, "http_port", 0);
  s->control_port = (uint32_t)cfs_json_number (doc, "control_port", 0);
  s->peer_port = (uint32_t)cfs_json_number (doc, "peer_port", s->control_port);
  s->traffic_port = (uint32_t)cfs_json_number (doc, "traffic_port", 0);
  s->data_folder = copy_or_null (doc, "data_folder");
  s->max_body_bytes = (uint32_t)cfs_json_number (doc, "max_body_bytes",
                                                 MAX_BODY_DEFAULT_BYTES);
  s->drain_us = (int64_t)cfs_json_number (doc, "drain_ms", DRAIN_DEFAULT_MS)
                * CFS_US_PER_MS;
  s->stop_seconds
      = (uint32_t)cfs_json_number (doc, "stop_seconds", STOP_DEFAULT_SECONDS);
  load_hash (doc, "operator_key_hash", s->operator_hash);
  load_hash (doc, "announce_key_hash", s->announce_hash);
  load_client_limits (s, doc);
  load_nested_objects (s, doc);
  if (cJSON_GetObjectItemCaseSensitive (doc, "seeds"))
    ok = load_seed_settings (s, doc, file, error);
  else
    ok = check_http_service_fields (doc, file, error)
         && load_control (s, doc, file, error);
  cJSON_Delete (doc);
  if (ok)
    return s;
  cfs_settings_free (s);
  return NULL;
}

struct cfs_settings *
cfs_settings_load (const char *path, GError **error)
{
  char *text = NULL;
  struct cfs_settings *s;

  if (!g_file_get_contents (path, &text, NULL, error))
    return NULL;
  s = cfs_settings_parse (text, path, error);
  g_free (text);
  return s;
}

void
cfs_settings_free (struct cfs_settings *s)
{
  if (!s)
    return;
  free (s->data_folder);
  free (s->target_password);
  free (s->tls_certificate);
  free (s->tls_key);
  sodium_memzero (s, sizeof *s);
  free (s);
}

const char *
cfs_settings_region (const struct cfs_settings *s, const char *zone)
{
  for (size_t i = 0; i < s->zone_count; i++)
    if (strcmp (s->zones[i].name, zone) == 0)
      return s->zones[i].region;
  return zone;
}

uint32_t
cfs_split_address (const char *text, char *host, size_t size)
{
  const char *colon = strrchr (text, ':');
  size_t digits = colon ? strspn (colon + 1, "0123456789") : 0;
  long port = digits ? strtol (colon + 1, NULL, 10) : 0;

  if (!digits || colon[1 + digits] || port < 1 || port > UINT16_MAX
      || colon == text || (size_t)(colon - text) >= size)
    return 0;
  memcpy (host, text, (size_t)(colon - text));
  host[colon - text] = '\0';
  return (uint32_t)port;
}

void
cfs_settings_caller_limits (const struct cfs_settings *s,
                            struct cfs_budget_limits *out)
{
  uint32_t connections = s->max_fds / CALLER_FDS_PART;

  if (connections > CALLER_CONNECTIONS_MAX)
    connections = CALLER_CONNECTIONS_MAX;
  out->bytes = ((size_t)s->memory_mb << 20) / CALLER_MEMORY_PART;
  out->connections = s->max_sessions ? s->max_sessions : connections;
  out->startup_us = s->startup_ms * CFS_US_PER_MS;
  out->stall_us = s->send_stall_ms * CFS_US_PER_MS;
  out->pipeline = s->pipeline_max;
}

uint32_t
cfs_settings_http_connections (const struct cfs_settings *s)
{
  return s->max_fds / HTTP_FDS_PART;
}

size_t
cfs_settings_http_bytes (const struct cfs_settings *s)
{
  return ((size_t)s->memory_mb << 20) / HTTP_MEMORY_PART;
}

bool
cfs_settings_serves_sessions (const struct cfs_settings *s)
{
  return *s->session_address != '\0';
}

bool
cfs_settings_is_control (const struct cfs_settings *s)
{
  if (s->uses_seeds)
    return *s->control_address != '\0';
  for (size_t i = 0; i < s->control_count; i++)
    if (strcmp (s->control[i].host, s->host) == 0)
      return true;
  return false;
}
