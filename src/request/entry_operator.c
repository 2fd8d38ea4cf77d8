/*
 * Requests of operators and announcements of targets.  Operator requests are
 * forwarded to the control leader.  An announcement is forwarded to the gate
 * of its group immediately, and to the control leader only if anything other
 * than the position has changed or the last one sent is too old.
 */
#include "entry_int.h"

#include "../process/control.h"
#include "../version/schema.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* Age from which an unchanged announcement is sent to the control leader
   again. */
#define ANNOUNCE_REFRESH_US (2 * CFS_US_PER_S)
#define HTTP_OK 200
#define HTTP_PRECONDITION_REQUIRED 428
#define HTTP_METHOD_NOT_ALLOWED 405
#define END_FIELD                                                             \
  {                                                                           \
    NULL, FIELD_BOOL, 0, 0, NULL, false, NULL                                 \
  }

static const struct cfs_field announce_fields[]
    = { { "instance", FIELD_NAME, 1, 48, NULL, true, NULL },
        { "group", FIELD_NAME, 1, 48, NULL, true, NULL },
        { "zone", FIELD_NAME, 1, 48, NULL, true, NULL },
        { "address", FIELD_ADDRESS, 0, 0, NULL, true, NULL },
        { "port", FIELD_INTEGER, 1, 65535, NULL, true, NULL },
        { "slots", FIELD_INTEGER, 1, 1000, "statements", true, NULL },
        { "connections", FIELD_INTEGER, 1, 10000, "connections", true, NULL },
        { "term", FIELD_INTEGER, 0, 9e15, NULL, true, NULL },
        { "role", FIELD_NAME, 1, 16, NULL, true, NULL },
        { "position", FIELD_INTEGER, 0, 9e15, NULL, true, NULL },
        { "leaving", FIELD_BOOL, 0, 0, NULL, false, NULL },
        END_FIELD };

static bool
key_matches (const char *bearer, const unsigned char *expected)
{
  unsigned char hash[CFS_HASH_BYTES];

  if (!bearer)
    return false;
  cfs_secret_hash (bearer, hash);
  return sodium_memcmp (hash, expected, sizeof hash) == 0;
}

static void
fill_instance (const cJSON *doc, Cfs__Instance *in)
{
  cfs__instance__init (in);
  in->name = (char *)cfs_json_string (doc, "instance", "");
  in->group = (char *)cfs_json_string (doc, "group", "");
  in->zone = (char *)cfs_json_string (doc, "zone", "");
  in->address = (char *)cfs_json_string (doc, "address", "");
  in->port = (uint32_t)cfs_json_number (doc, "port", 0);
  in->slots = (uint32_t)cfs_json_number (doc, "slots", 1);
  in->connections = (uint32_t)cfs_json_number (doc, "connections", 1);
  in->term = (uint64_t)cfs_json_number (doc, "term", 0);
  in->position = (uint64_t)cfs_json_number (doc, "position", 0);
  in->primary = strcmp (cfs_json_string (doc, "role", ""), "primary") == 0;
  in->leaving
      = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (doc, "leaving"));
}

/* Hash of an announcement except for the position, 0 if it is too long. */
static uint64_t
digest_of (const Cfs__Instance *in)
{
  Cfs__Instance copy = *in;
  uint8_t data[512];
  size_t len;

  copy.position = 0;
  len = cfs__instance__get_packed_size (&copy);
  if (len > sizeof data)
    return 0;
  cfs__instance__pack (&copy, data);
  return cfs_hash (data, len, 3);
}

static void
send_to_control (struct cfs_entry *e, const Cfs__Instance *in, int64_t now)
{
  struct sent_announcement *last
      = cfs_table_add (&e->sent_announcements, in->name);
  uint64_t digest = digest_of (in);
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__Heartbeat h = CFS__HEARTBEAT__INIT;
  Cfs__Instance *list[1] = { (Cfs__Instance *)in };

  if (last->digest == digest && now - last->at < ANNOUNCE_REFRESH_US)
    return;
  last->digest = digest;
  last->at = now;
  h.instances = list;
  h.n_instances = 1;
  out.body_case = CFS__PEER__BODY_HEARTBEAT;
  out.heartbeat = &h;
  e->setup.to_control (e->setup.ctx, &out);
}

static void
send_to_gate (struct cfs_entry *e, const Cfs__Instance *in)
{
  const struct cfs_lease *gate
      = cfs_directory_find_lease (e->setup.directory, GATE_PREFIX, in->group);
  Cfs__Peer out = CFS__PEER__INIT;

  if (!gate)
    return;
  out.body_case = CFS__PEER__BODY_ANNOUNCE;
  out.announce = (Cfs__Instance *)in;
  cfs_net_send (e->setup.net, gate->address, gate->port, &out);
}

static void
handle_announcement (struct cfs_entry *e, struct cfs_http_request *http)
{
  struct cfs_http_response ok = { .status = HTTP_OK, .body = "{}" };
  GError *error = NULL;
  cJSON *doc;
  Cfs__Instance in;

  if (!key_matches (entry_bearer (http), e->setup.settings->announce_hash))
    {
      entry_problem (e, http, CFS_CODE_UNAUTHENTICATED, CFS_NOT_RUN,
                     "the announcement key is missing or wrong");
      return;
    }
  doc = cfs_json_parse (cfs_http_request_body (http), "body", &error);
  if (!doc || !cfs_schema_check (doc, announce_fields, "body", &error))
    entry_problem (e, http, CFS_CODE_BAD_REQUEST, CFS_NOT_RUN, error->message);
  else
    {
      fill_instance (doc, &in);
      send_to_gate (e, &in);
      send_to_control (e, &in, cfs_now ());
      cfs_http_respond (http, &ok);
    }
  g_clear_error (&error);
  cJSON_Delete (doc);
}

/* Reads the version N from the header If-Match: "N".  Returns false when the
   header is missing or malformed. */
static bool
read_if_match (const struct cfs_http_request *http, uint64_t *version)
{
  const char *text = cfs_http_request_header (http, "If-Match");
  char *end;

  if (!text || text[0] != '"' || text[1] < '0' || text[1] > '9')
    return false;
  *version = strtoull (text + 1, &end, 10);
  return strcmp (end, "\"") == 0;
}

static void
forward_to_control (struct cfs_entry *e, struct cfs_http_request *http,
                    enum cfs_operator_kind kind, uint64_t version)
{
  const char *request_id = cfs_http_request_header (http, "Request-Id");
  const char *who = cfs_http_request_header (http, "Operator");
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__OperatorCall m = CFS__OPERATOR_CALL__INIT;
  struct operator_request *pending;
  char own_id[24];

  cfs_grow (&e->operator_requests, &e->operator_request_cap,
            e->operator_request_count, sizeof *e->operator_requests);
  pending = &e->operator_requests[e->operator_request_count++];
  pending->id = entry_id (e);
  pending->http = http;
  g_snprintf (own_id, sizeof own_id, "%" PRIx64, pending->id);
  m.id = pending->id;
  m.kind = kind;
  m.base_version = version;
  m.body = (char *)cfs_http_request_body (http);
  m.who = (char *)(who ? who : "operator");
  m.request_id = (char *)(request_id ? request_id : own_id);
  out.body_case = CFS__PEER__BODY_CALL;
  out.call = &m;
  e->setup.to_control (e->setup.ctx, &out);
}

static void
handle_config_request (struct cfs_entry *e, struct cfs_http_request *http)
{
  const char *method = cfs_http_request_method (http);
  struct cfs_http_response refused
      = { .status = HTTP_METHOD_NOT_ALLOWED, .body = "{}" };
  uint64_t version = 0;
  GError *error = NULL;
  cJSON *doc;

  if (strcmp (method, "GET") == 0)
    {
      forward_to_control (e, http, OPERATOR_CONFIG, 0);
      return;
    }
  if (strcmp (method, "PATCH") != 0)
    {
      cfs_http_respond (http, &refused);
      return;
    }
  if (!read_if_match (http, &version))
    {
      refused.status = HTTP_PRECONDITION_REQUIRED;
      refused.body = "{\"detail\":\"If-Match: \\\"N\\\" is required\"}";
      cfs_http_respond (http, &refused);
      return;
    }
  doc = cfs_json_parse (cfs_http_request_body (http), "patch", &error);
  if (doc)
    forward_to_control (e, http, OPERATOR_PATCH, version);
  else
    entry_problem (e, http, CFS_CODE_BAD_REQUEST, CFS_NOT_RUN, error->message);
  g_clear_error (&error);
  cJSON_Delete (doc);
}

void
operator_handle (struct cfs_entry *e, struct cfs_http_request *http,
                 const char *resource)
{
  if (strcmp (resource, "announce") == 0)
    {
      handle_announcement (e, http);
      return;
    }
  if (!key_matches (entry_bearer (http), e->setup.settings->operator_hash))
    entry_problem (e, http, CFS_CODE_UNAUTHENTICATED, CFS_NOT_RUN,
                   "the operator key is missing or wrong");
  else if (strcmp (resource, "config") == 0)
    handle_config_request (e, http);
  else if (strcmp (resource, "drain") == 0)
    {
      struct cfs_http_response ok = { .status = HTTP_OK, .body = "{}" };

      e->setup.stop (e->setup.ctx);
      cfs_http_respond (http, &ok);
    }
  else
    forward_to_control (
        e, http,
        strcmp (resource, "audit") == 0 ? OPERATOR_AUDIT : OPERATOR_STATUS, 0);
}

void
cfs_entry_operator_reply (struct cfs_entry *e, const Cfs__OperatorReply *in)
{
  struct cfs_http_response response
      = { .status = in->status, .body = in->body };
  char etag[32];

  g_snprintf (etag, sizeof etag, "\"%" PRIu64 "\"", in->version);
  response.etag = etag;
  for (size_t i = 0; i < e->operator_request_count; i++)
    if (e->operator_requests[i].id == in->id)
      {
        cfs_http_respond (e->operator_requests[i].http, &response);
        e->operator_requests[i]
            = e->operator_requests[--e->operator_request_count];
        return;
      }
}
