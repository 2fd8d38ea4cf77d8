/*
 * libmicrohttpd with its own epoll descriptor, driven from our loop: one
 * thread serves all connections, so nothing here is locked.  A body over
 * the limit is read and thrown away, and answered once it ended.
 */
#include "http.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#define CONNECTION_MEMORY 8192
#define CONNECTION_TIMEOUT_S 30
#define CONNECTIONS_MAX 16384
#define COOKIE_NAME "coltsfootstage-session"
#define HTTP_TOO_LARGE 413

struct cfs_http_request
{
  struct cfs_http *http;
  struct MHD_Connection *connection;
  char *method;
  char *path;
  char *body;
  size_t len;
  size_t cap;
  bool too_large;
  bool handed_out;
  bool suspended;
  bool ended;
  struct MHD_Response *response;
  unsigned status;
};

struct cfs_http
{
  struct cfs_http_setup setup;
  struct MHD_Daemon *daemon;
  int watch;
  size_t open;
  bool closing;
};

static void
free_call (struct cfs_http_request *c)
{
  c->http->open--;
  if (c->response)
    MHD_destroy_response (c->response);
  free (c->method);
  free (c->path);
  free (c->body);
  free (c);
}

static void
completed (void *ctx, struct MHD_Connection *connection, void **slot,
           enum MHD_RequestTerminationCode code)
{
  struct cfs_http_request *c = *slot;

  (void)ctx;
  (void)connection;
  (void)code;
  *slot = NULL;
  if (!c)
    return;
  if (c->handed_out && !c->response)
    {
      c->ended = true;
      c->connection = NULL;
      return;
    }
  free_call (c);
}

static void
take_body (struct cfs_http_request *c, const char *data, size_t len)
{
  if (c->too_large || c->len + len > c->http->setup.max_body_bytes)
    {
      c->too_large = true;
      return;
    }
  if (c->len + len + 1 > c->cap)
    {
      size_t cap = (c->len + len + 1) * 2;
      char *grown = cfs_alloc (cap);

      if (c->len)
        memcpy (grown, c->body, c->len);
      free (c->body);
      c->body = grown;
      c->cap = cap;
    }
  memcpy (c->body + c->len, data, len);
  c->len += len;
  c->body[c->len] = '\0';
}

static enum MHD_Result
refuse_large (struct cfs_http_request *c)
{
  static const char text[]
      = "{\"code\":\"bad_request\",\"outcome\":\"not_run\",\"detail\":\"the "
        "body is too large\"}\n";
  struct MHD_Response *r = MHD_create_response_from_buffer (
      sizeof text - 1, (void *)text, MHD_RESPMEM_PERSISTENT);
  enum MHD_Result result;

  MHD_add_response_header (r, "Content-Type", "application/problem+json");
  result = MHD_queue_response (c->connection, HTTP_TOO_LARGE, r);
  MHD_destroy_response (r);
  return result;
}

static enum MHD_Result
handle (void *ctx, struct MHD_Connection *connection, const char *url,
        const char *method, const char *version, const char *data, size_t *len,
        void **slot)
{
  struct cfs_http *h = ctx;
  struct cfs_http_request *c = *slot;

  (void)version;
  if (!c)
    {
      c = cfs_alloc (sizeof *c);
      c->http = h;
      c->connection = connection;
      c->method = cfs_strdup (method);
      c->path = cfs_strdup (url);
      h->open++;
      *slot = c;
      return MHD_YES;
    }
  if (*len > 0)
    {
      take_body (c, data, *len);
      *len = 0;
      return MHD_YES;
    }
  if (c->too_large)
    return refuse_large (c);
  if (c->response)
    return MHD_queue_response (connection, c->status, c->response);
  if (c->handed_out)
    return MHD_YES;
  c->handed_out = true;
  h->setup.request (h->setup.ctx, c);
  if (c->response)
    return MHD_queue_response (connection, c->status, c->response);
  c->suspended = true;
  MHD_suspend_connection (connection);
  return MHD_YES;
}

static void
ready (void *ctx, int events)
{
  struct cfs_http *h = ctx;

  (void)events;
  MHD_run (h->daemon);
}

static struct MHD_Daemon *
start_daemon (struct cfs_http *h)
{
  const struct cfs_http_setup *s = &h->setup;
  unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
  struct sockaddr_in addr
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)s->port) };
  struct MHD_OptionItem tls[] = {
    { MHD_OPTION_HTTPS_MEM_CERT, 0, (void *)s->certificate },
    { MHD_OPTION_HTTPS_MEM_KEY, 0, (void *)s->key },
    { MHD_OPTION_END, 0, NULL },
  };

  if (s->certificate)
    flags |= MHD_USE_TLS;
  else
    tls[0].option = MHD_OPTION_END;
  if (inet_pton (AF_INET, s->address, &addr.sin_addr) != 1)
    return NULL;
  return MHD_start_daemon (
      flags, (uint16_t)s->port, NULL, NULL, handle, h, MHD_OPTION_SOCK_ADDR,
      (struct sockaddr *)&addr, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)CONNECTION_MEMORY, MHD_OPTION_CONNECTION_TIMEOUT,
      (unsigned)CONNECTION_TIMEOUT_S, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned)CONNECTIONS_MAX, MHD_OPTION_NOTIFY_COMPLETED, completed, h,
      MHD_OPTION_ARRAY, tls, MHD_OPTION_END);
}

struct cfs_http *
cfs_http_new (const struct cfs_http_setup *setup, GError **error)
{
  struct cfs_http *h = cfs_alloc (sizeof *h);
  const union MHD_DaemonInfo *info;

  h->setup = *setup;
  h->daemon = start_daemon (h);
  if (!h->daemon)
    {
      g_set_error (error, g_quark_from_static_string ("cfs-http"), 0,
                   "cannot listen on %s port %u", setup->address, setup->port);
      free (h);
      return NULL;
    }
  info = MHD_get_daemon_info (h->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  h->watch = cfs_loop_add (setup->loop, info->epoll_fd, LOOP_READ, ready, h);
  return h;
}

void
cfs_http_free (struct cfs_http *h)
{
  if (!h)
    return;
  cfs_loop_remove (h->setup.loop, h->watch);
  MHD_stop_daemon (h->daemon);
  free (h);
}

void
cfs_http_pump (struct cfs_http *h)
{
  MHD_run (h->daemon);
}

void
cfs_http_quiesce (struct cfs_http *h)
{
  if (!h->closing)
    MHD_quiesce_daemon (h->daemon);
  h->closing = true;
}

size_t
cfs_http_open_requests (const struct cfs_http *h)
{
  return h->open;
}

const char *
cfs_http_request_method (const struct cfs_http_request *c)
{
  return c->method;
}

const char *
cfs_http_request_path (const struct cfs_http_request *c)
{
  return c->path;
}

static const char *
lookup (const struct cfs_http_request *c, enum MHD_ValueKind kind,
        const char *name)
{
  if (!c->connection)
    return NULL;
  return MHD_lookup_connection_value (c->connection, kind, name);
}

const char *
cfs_http_request_header (const struct cfs_http_request *c, const char *name)
{
  return lookup (c, MHD_HEADER_KIND, name);
}

const char *
cfs_http_request_cookie (const struct cfs_http_request *c, const char *name)
{
  return lookup (c, MHD_COOKIE_KIND, name);
}

const char *
cfs_http_request_body (const struct cfs_http_request *c)
{
  return c->body ? c->body : "";
}

static void
add_session (struct MHD_Response *r, const char *session)
{
  char *cookie
      = g_strdup_printf (COOKIE_NAME "=%s; Path=/; HttpOnly", session);

  MHD_add_response_header (r, "Session", session);
  MHD_add_response_header (r, "Set-Cookie", cookie);
  g_free (cookie);
}

void
cfs_http_respond (struct cfs_http_request *c,
                  const struct cfs_http_response *a)
{
  const char *body = a->body ? a->body : "";
  char number[16];

  c->status = a->status;
  c->response = MHD_create_response_from_buffer (strlen (body), (void *)body,
                                                 MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (c->response, "Content-Type",
                           a->type ? a->type : "application/json");
  if (a->session && *a->session)
    add_session (c->response, a->session);
  if (a->etag)
    MHD_add_response_header (c->response, "ETag", a->etag);
  if (a->location)
    MHD_add_response_header (c->response, "Location", a->location);
  if (a->retry_after)
    {
      g_snprintf (number, sizeof number, "%u", a->retry_after);
      MHD_add_response_header (c->response, "Retry-After", number);
    }
  if (c->http->closing)
    MHD_add_response_header (c->response, "Connection", "close");
  if (c->ended)
    free_call (c);
  else if (c->suspended)
    MHD_resume_connection (c->connection);
}
