/*
 * libmicrohttpd with an epoll descriptor of its own, driven by the event loop:
 * one thread serves all connections, so no locks are needed.  A body over the
 * size limit is read to its end and discarded before the error response.
 *
 * libmicrohttpd aborts the process when it is stopped while a connection is
 * suspended.  Requests that still wait for their response then get status 503
 * first.
 *
 * Connections and memory are bounded by a budget (src/process/budget.c), in
 * which a request counts as a session from the arrival of its body to the end
 * of its response.  A request whose body gets no memory is suspended and tried
 * again; connections are closed by shutting down their socket, which
 * libmicrohttpd then notices.
 */
#include "http_int.h"

#include "../process/log.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#define PART "http"
#define CONNECTION_MEMORY 8192
#define CONNECTION_TIMEOUT_S 30
/* Time for a whole request to arrive, and for a response to be taken.  A body
   of 4 MiB takes 17 s at 2 Mbit/s.  Longer than CONNECTION_TIMEOUT_S, which
   ends idle connections and is no reason for a log line. */
#define REQUEST_TIMEOUT_US (40 * CFS_US_PER_S)
#define CONNECTIONS_DEFAULT 1024
#define BYTES_DEFAULT (32u << 20)
/* Connections are closed in favour of new ones from this part of the maximum
   on, because libmicrohttpd notices their end only later. */
#define CROWDED_FRACTION 0.75
/* Starved requests are tried again, and time-outs checked, this often. */
#define BUDGET_TICK_US (20 * CFS_US_PER_MS)
/* Minimum time between two log lines about closed connections. */
#define LOG_INTERVAL_US CFS_US_PER_S
#define HTTP_BAD_REQUEST 400
#define HTTP_TOO_LARGE 413
/* Time for sending the last responses before the server is freed. */
#define LAST_RESPONSES_US (200 * CFS_US_PER_MS)
#define LAST_RESPONSES_POLL_MS 5

static struct http_conn *
conn_of (struct cfs_budget_account *account)
{
  return (struct http_conn *)account;
}

/* Ends a connection; libmicrohttpd notices it in its next run. */
static void
shut_down (struct cfs_http *h, struct http_conn *c,
           enum cfs_budget_reason reason, int64_t now)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      c->connection, MHD_CONNECTION_INFO_CONNECTION_FD);

  if (!h->logged_at || now - h->logged_at >= LOG_INTERVAL_US)
    {
      cfs_log (CFS_NOTICE, PART,
               "port=%u connection closed reason=%s receive=%zu unsent=%zu "
               "total=%zu limit=%zu connections=%zu",
               h->setup.port, cfs_budget_reason_name (reason),
               c->account.used[BUDGET_RECEIVE], c->account.used[BUDGET_UNSENT],
               h->budget.total, h->budget.limits.bytes, h->budget.count);
      h->logged_at = now;
    }
  if (info)
    shutdown (info->connect_fd, SHUT_RDWR);
}

static struct http_conn *
open_conn (struct cfs_http *h, struct MHD_Connection *connection)
{
  struct http_conn *c = cfs_alloc (sizeof *c);
  struct cfs_budget_account *victim;
  int64_t now = cfs_now ();

  c->connection = connection;
  if (cfs_budget_crowded (&h->budget, &victim) && victim)
    shut_down (h, conn_of (victim), BUDGET_CONNECTIONS, now);
  cfs_budget_open (&h->budget, &c->account, now);
  return c;
}

static void
on_connection (void *ctx, struct MHD_Connection *connection, void **slot,
               enum MHD_ConnectionNotificationCode code)
{
  struct cfs_http *h = ctx;
  struct http_conn *c = *slot;

  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    *slot = open_conn (h, connection);
  else if (c)
    {
      cfs_budget_close (&h->budget, &c->account);
      free (c);
      *slot = NULL;
    }
}

/* Response to a request that the host does not handle because it stops.  What
   became of it is not known here. */
static const struct cfs_http_response stopping_response
    = { .status = HTTP_UNAVAILABLE,
        .type = "application/problem+json",
        .body = "{\"code\":\"draining\",\"outcome\":\"unknown\","
                "\"detail\":\"the host is shutting down\"}\n" };

static struct cfs_http_request *
new_request (struct cfs_http *h, struct MHD_Connection *connection,
             const char *method, const char *path)
{
  struct cfs_http_request *req = cfs_alloc (sizeof *req);

  req->http = h;
  req->connection = connection;
  req->conn = MHD_get_connection_info (connection,
                                       MHD_CONNECTION_INFO_SOCKET_CONTEXT)
                  ->socket_context;
  req->method = cfs_strdup (method);
  req->path = cfs_strdup (path);
  req->next = h->first;
  if (req->next)
    req->next->prev = req;
  h->first = req;
  h->open_requests++;
  return req;
}

void
http_free_request (struct cfs_http_request *req)
{
  if (req->prev)
    req->prev->next = req->next;
  else
    req->http->first = req->next;
  if (req->next)
    req->next->prev = req->prev;
  req->http->open_requests--;
  if (req->response)
    MHD_destroy_response (req->response);
  free (req->method);
  free (req->path);
  free (req->body);
  free (req);
}

/* The connection has no request any more. */
static void
end_session (struct cfs_http_request *req)
{
  struct cfs_budget *b = &req->http->budget;

  if (!req->conn)
    return;
  cfs_budget_grow (b, &req->conn->account, 0);
  cfs_budget_set (b, &req->conn->account, BUDGET_UNSENT, 0);
  cfs_budget_end_session (&req->conn->account, cfs_now ());
  req->conn = NULL;
}

static void
on_completed (void *ctx, struct MHD_Connection *connection,
              void **request_slot, enum MHD_RequestTerminationCode code)
{
  struct cfs_http_request *req = *request_slot;

  (void)ctx;
  (void)connection;
  (void)code;
  *request_slot = NULL;
  if (!req)
    return;
  end_session (req);
  if (req->dispatched && !req->response)
    {
      req->aborted = true;
      req->connection = NULL;
      return;
    }
  http_free_request (req);
}

/* Makes room for more of the body.  Returns false when there is no memory. */
static bool
reserve_body (struct cfs_http_request *req, size_t len)
{
  size_t max = (size_t)req->http->setup.max_body_bytes + 1;
  size_t cap = (req->len + len + 1) * 2;
  char *grown;

  if (req->len + len + 1 <= req->cap)
    return true;
  if (cap > max)
    cap = max;
  if (!cfs_budget_grow (&req->http->budget, &req->conn->account, cap))
    return false;
  grown = realloc (req->body, cap);
  if (!grown)
    abort ();
  req->body = grown;
  req->cap = cap;
  return true;
}

/* Returns false when the data must be passed again later. */
static bool
append_body (struct cfs_http_request *req, const char *data, size_t len)
{
  if (req->too_large || req->http->ending || req->conn->account.closing
      || req->len + len > req->http->setup.max_body_bytes)
    {
      req->too_large = true;
      http_discard_body (req);
      return true;
    }
  if (!reserve_body (req, len))
    return false;
  memcpy (req->body + req->len, data, len);
  req->len += len;
  req->body[req->len] = '\0';
  req->conn->account.progress_at = cfs_now ();
  return true;
}

/* Rejects a request that is not passed on, because of its body. */
static enum MHD_Result
reject_body (struct cfs_http_request *req, unsigned status, const char *detail)
{
  char *text = g_strdup_printf (
      "{\"code\":\"bad_request\",\"outcome\":\"not_run\",\"detail\":\"%s\"}\n",
      detail);
  struct MHD_Response *r = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_COPY);
  enum MHD_Result result;

  g_free (text);
  MHD_add_response_header (r, "Content-Type", "application/problem+json");
  result = MHD_queue_response (req->connection, status, r);
  MHD_destroy_response (r);
  return result;
}

/* Whether the body is UTF-8 without a NUL byte; it is passed on as a string.
 */
static bool
body_is_text (const struct cfs_http_request *req)
{
  return !req->body || g_utf8_validate (req->body, (gssize)req->len, NULL);
}

static enum MHD_Result
handle_request (void *ctx, struct MHD_Connection *connection, const char *url,
                const char *method, const char *version, const char *data,
                size_t *len, void **request_slot)
{
  struct cfs_http *h = ctx;
  struct cfs_http_request *req = *request_slot;

  (void)version;
  if (!req)
    {
      *request_slot = new_request (h, connection, method, url);
      return MHD_YES;
    }
  if (*len > 0)
    {
      if (append_body (req, data, *len))
        *len = 0;
      else
        {
          req->starved = true;
          MHD_suspend_connection (connection);
        }
      return MHD_YES;
    }
  if (req->too_large)
    return reject_body (req, HTTP_TOO_LARGE, "the body is too large");
  if (req->response)
    return MHD_queue_response (connection, req->status, req->response);
  if (req->dispatched)
    return MHD_YES;
  if (!body_is_text (req))
    return reject_body (req, HTTP_BAD_REQUEST, "the body is no UTF-8 text");
  req->dispatched = true;
  req->conn->account.has_session = true;
  if (h->ending)
    cfs_http_respond (req, &stopping_response);
  else
    h->setup.request (h->setup.ctx, req);
  if (req->response)
    return MHD_queue_response (connection, req->status, req->response);
  req->suspended = true;
  MHD_suspend_connection (connection);
  return MHD_YES;
}

static void
on_ready (void *ctx, int events)
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
      flags, (uint16_t)s->port, NULL, NULL, handle_request, h,
      MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&addr,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
      MHD_OPTION_CONNECTION_TIMEOUT, (unsigned)CONNECTION_TIMEOUT_S,
      MHD_OPTION_CONNECTION_LIMIT, s->max_connections,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, h,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection, h, MHD_OPTION_ARRAY, tls,
      MHD_OPTION_END);
}

struct cfs_http *
cfs_http_new (const struct cfs_http_setup *setup, GError **error)
{
  struct cfs_http *h = cfs_alloc (sizeof *h);
  struct cfs_budget_limits limits = { .startup_us = REQUEST_TIMEOUT_US,
                                      .stall_us = REQUEST_TIMEOUT_US,
                                      .pipeline = 1 };
  const union MHD_DaemonInfo *info;

  h->setup = *setup;
  if (!h->setup.max_connections)
    h->setup.max_connections = CONNECTIONS_DEFAULT;
  if (!h->setup.max_bytes)
    h->setup.max_bytes = BYTES_DEFAULT;
  limits.bytes = h->setup.max_bytes;
  limits.connections = (size_t)(h->setup.max_connections * CROWDED_FRACTION);
  cfs_budget_init (&h->budget, &limits);
  h->daemon = start_daemon (h);
  if (!h->daemon)
    {
      g_set_error (error, g_quark_from_static_string ("cfs-http"), 0,
                   "cannot listen on %s port %u", setup->address, setup->port);
      free (h);
      return NULL;
    }
  info = MHD_get_daemon_info (h->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  h->watch
      = cfs_loop_add (setup->loop, info->epoll_fd, LOOP_READ, on_ready, h);
  return h;
}

/* Responds to the requests whose handler has not done so. */
static void
end_requests (struct cfs_http *h)
{
  struct cfs_http_request *next;

  for (struct cfs_http_request *req = h->first; req; req = next)
    {
      next = req->next;
      if (req->dispatched && !req->response)
        cfs_http_respond (req, &stopping_response);
    }
}

static bool
has_unsent_responses (const struct cfs_http *h)
{
  for (const struct cfs_http_request *req = h->first; req; req = req->next)
    if (req->response)
      return true;
  return false;
}

/* Lets bodies that wait for memory go on; those that get none wait again. */
static void
resume_starved (struct cfs_http *h)
{
  for (struct cfs_http_request *req = h->first; req; req = req->next)
    if (req->starved)
      {
        req->starved = false;
        MHD_resume_connection (req->connection);
      }
}

static void
send_last_responses (struct cfs_http *h)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (h->daemon, MHD_DAEMON_INFO_EPOLL_FD);
  struct pollfd ready = { .fd = info->epoll_fd, .events = POLLIN };
  int64_t until = cfs_now () + LAST_RESPONSES_US;

  MHD_run (h->daemon);
  while (has_unsent_responses (h) && cfs_now () < until)
    {
      poll (&ready, 1, LAST_RESPONSES_POLL_MS);
      MHD_run (h->daemon);
    }
}

void
cfs_http_free (struct cfs_http *h)
{
  if (!h)
    return;
  cfs_http_quiesce (h);
  h->ending = true;
  resume_starved (h);
  end_requests (h);
  send_last_responses (h);
  cfs_loop_remove (h->setup.loop, h->watch);
  MHD_stop_daemon (h->daemon);
  free (h);
}

static void
check_budget (struct cfs_http *h, int64_t now)
{
  struct cfs_budget_account *account;
  enum cfs_budget_reason reason;

  if (now - h->ticked_at < BUDGET_TICK_US)
    return;
  h->ticked_at = now;
  cfs_budget_tick (&h->budget, now);
  while ((account = cfs_budget_expired (&h->budget, now, &reason)))
    shut_down (h, conn_of (account), reason, now);
  resume_starved (h);
}

void
cfs_http_pump (struct cfs_http *h)
{
  MHD_UNSIGNED_LONG_LONG wait_ms;

  check_budget (h, cfs_now ());
  MHD_run (h->daemon);
  /* Data that was received but not processed is not announced again. */
  if (MHD_get_timeout (h->daemon, &wait_ms) == MHD_YES && wait_ms == 0)
    cfs_loop_skip_wait (h->setup.loop);
}

void
cfs_http_metrics (const struct cfs_http *h, GString *out)
{
  cfs_budget_metrics (&h->budget, "http", out);
}

void
cfs_http_quiesce (struct cfs_http *h)
{
  MHD_socket listener;

  if (h->quiesced)
    return;
  h->quiesced = true;
  listener = MHD_quiesce_daemon (h->daemon);
  if (listener != MHD_INVALID_SOCKET)
    close (listener);
}

size_t
cfs_http_open_requests (const struct cfs_http *h)
{
  return h->open_requests;
}
