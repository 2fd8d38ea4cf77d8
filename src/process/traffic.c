/*
 * One event loop serves HTTP, messages from other hosts, connections to
 * targets and the channel to the control thread, so none of them needs a lock.
 */
#include "traffic.h"

#include "../connection/http.h"
#include "../request/entry.h"
#include "../request/gates.h"
#include "directory.h"
#include "log.h"
#include "loop.h"
#include "net.h"
#include "thread_channel.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART "traffic"
#define TICK_US (4 * CFS_US_PER_MS)
/* Time that load balancers get to notice that a stopping host is not ready. */
#define NOT_READY_PERIOD_US (500 * CFS_US_PER_MS)

struct cfs_traffic
{
  const struct cfs_settings *settings;
  apr_pool_t *apr_pool;
  struct cfs_loop *loop;
  struct cfs_directory directory;
  struct cfs_net *net;
  struct cfs_http *http;
  struct cfs_entry *entry;
  struct cfs_gates *gates;
  struct cfs_thread_channel *channel;
  char *certificate;
  char *key;
  uint8_t *last_report;
  size_t last_report_len;
  bool draining;
  bool stop;
};

static void
send_to_control (void *ctx, const Cfs__Peer *msg)
{
  cfs_thread_channel_send (((struct cfs_traffic *)ctx)->channel, msg);
}

static void
metrics (void *ctx, GString *out)
{
  const struct cfs_traffic *t = ctx;

  cfs_gates_metrics (t->gates, out, cfs_now ());
}

static void
on_stop_request (void *ctx)
{
  ((struct cfs_traffic *)ctx)->stop = true;
}

static void
on_request (void *ctx, struct cfs_http_request *req)
{
  cfs_entry_handle_request (((struct cfs_traffic *)ctx)->entry, req);
}

static void
receive (void *ctx, const struct cfs_origin *from, const Cfs__Peer *msg)
{
  struct cfs_traffic *t = ctx;
  int64_t now = cfs_now ();

  switch (msg->body_case)
    {
    case CFS__PEER__BODY_EXECUTE:
      if (from)
        cfs_gates_execute (t->gates, from, msg->execute, now);
      break;
    case CFS__PEER__BODY_ASK:
      if (from)
        cfs_gates_grant_tokens (t->gates, from, msg->ask, now);
      break;
    case CFS__PEER__BODY_ANNOUNCE:
      cfs_gates_announce (t->gates, msg->announce, now);
      break;
    case CFS__PEER__BODY_ANSWER:
      cfs_entry_gate_reply (t->entry, msg->answer, now);
      break;
    case CFS__PEER__BODY_GRANT:
      cfs_entry_token_grant (t->entry, msg->grant, now);
      break;
    default:
      break;
    }
}

static void
apply_heartbeat_reply (struct cfs_traffic *t, const Cfs__HeartbeatReply *r)
{
  int64_t now = cfs_now ();
  bool changed = cfs_directory_update (&t->directory, r);

  cfs_gates_directory_changed (t->gates, r, now);
  if (changed || r->n_assignments)
    cfs_entry_directory_changed (t->entry, now);
}

static void
receive_from_control (struct cfs_traffic *t)
{
  Cfs__Peer *msg;

  while ((msg = cfs_thread_channel_receive (t->channel)))
    {
      if (msg->body_case == CFS__PEER__BODY_REPLY)
        apply_heartbeat_reply (t, msg->reply);
      else if (msg->body_case == CFS__PEER__BODY_CALLED)
        cfs_entry_operator_reply (t->entry, msg->called);
      cfs__peer__free_unpacked (msg, NULL);
    }
}

static bool
open_channel (struct cfs_traffic *t, void *zmq)
{
  t->channel = cfs_thread_channel_new (zmq, TRAFFIC_ENDPOINT, false, t->loop);
  return t->channel != NULL;
}

static bool
open_net (struct cfs_traffic *t, void *zmq, GError **error)
{
  const struct cfs_settings *s = t->settings;
  struct cfs_net_setup setup = { .zmq = zmq,
                                 .address = s->address,
                                 .port = s->traffic_port,
                                 .public_key = s->curve_public,
                                 .secret_key = s->curve_secret,
                                 .receive = receive,
                                 .ctx = t };

  t->net = cfs_net_new (&setup, t->loop);
  if (!t->net)
    g_set_error (error, g_quark_from_static_string ("cfs-traffic"), 0,
                 "cannot listen on %s port %u", s->address, s->traffic_port);
  return t->net != NULL;
}

static bool
open_http (struct cfs_traffic *t, GError **error)
{
  const struct cfs_settings *s = t->settings;
  struct cfs_http_setup setup
      = { .loop = t->loop,
          .address = s->address,
          .port = s->http_port,
          .max_body_bytes = s->max_body_bytes,
          .max_connections = cfs_settings_http_connections (s),
          .max_bytes = cfs_settings_http_bytes (s),
          .request = on_request,
          .ctx = t };

  if (s->tls_certificate
      && (!g_file_get_contents (s->tls_certificate, &t->certificate, NULL,
                                error)
          || !g_file_get_contents (s->tls_key, &t->key, NULL, error)))
    return false;
  setup.certificate = t->certificate;
  setup.key = t->key;
  t->http = cfs_http_new (&setup, error);
  return t->http != NULL;
}

struct cfs_traffic *
cfs_traffic_new (const struct cfs_settings *settings, uint64_t boot_id,
                 void *zmq, GError **error)
{
  struct cfs_traffic *t = cfs_alloc (sizeof *t);
  struct cfs_entry_setup entry = { .settings = settings,
                                   .directory = &t->directory,
                                   .to_control = send_to_control,
                                   .metrics = metrics,
                                   .stop = on_stop_request,
                                   .ctx = t };
  struct cfs_gates_setup gates
      = { .settings = settings, .directory = &t->directory };

  t->settings = settings;
  cfs_directory_init (&t->directory, settings->host, boot_id);
  apr_pool_create (&t->apr_pool, NULL);
  t->loop = cfs_loop_new (t->apr_pool);
  if (!t->loop || !open_channel (t, zmq) || !open_net (t, zmq, error)
      || !open_http (t, error))
    {
      cfs_traffic_free (t);
      return NULL;
    }
  entry.net = t->net;
  gates.net = t->net;
  gates.loop = t->loop;
  t->entry = cfs_entry_new (&entry);
  t->gates = cfs_gates_new (&gates);
  return t;
}

void
cfs_traffic_free (struct cfs_traffic *t)
{
  if (!t)
    return;
  cfs_gates_free (t->gates);
  cfs_entry_free (t->entry);
  cfs_http_free (t->http);
  cfs_net_free (t->net);
  cfs_thread_channel_free (t->channel);
  cfs_directory_end (&t->directory);
  g_free (t->certificate);
  g_free (t->key);
  free (t->last_report);
  apr_pool_destroy (t->apr_pool);
  free (t);
}

/* Sends the content of the next heartbeats to the control thread when it
   changed. */
static void
send_report (struct cfs_traffic *t, int64_t now)
{
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__Heartbeat h = CFS__HEARTBEAT__INIT;
  uint8_t *data;
  size_t len;

  h.draining = t->draining;
  cfs_gates_report (t->gates, t->draining, &h, now);
  out.body_case = CFS__PEER__BODY_HEARTBEAT;
  out.heartbeat = &h;
  len = cfs__peer__get_packed_size (&out);
  data = cfs_alloc (len);
  cfs__peer__pack (&out, data);
  if (len == t->last_report_len && memcmp (data, t->last_report, len) == 0)
    {
      free (data);
      return;
    }
  free (t->last_report);
  t->last_report = data;
  t->last_report_len = len;
  cfs_thread_channel_send (t->channel, &out);
}

static void
run_once (struct cfs_traffic *t)
{
  int64_t now;

  cfs_http_pump (t->http);
  receive_from_control (t);
  cfs_net_pump (t->net);
  cfs_loop_poll (t->loop, TICK_US);
  now = cfs_now ();
  cfs_gates_tick (t->gates, now);
  cfs_entry_tick (t->entry, now);
  send_report (t, now);
}

/* Whether a stopping host has no gates and no open requests left. */
static bool
is_drained (const struct cfs_traffic *t)
{
  return cfs_gates_held_count (t->gates) == 0
         && cfs_entry_open_requests (t->entry) == 0
         && cfs_http_open_requests (t->http) == 0;
}

void
cfs_traffic_run (struct cfs_traffic *t, const volatile bool *stop)
{
  int64_t started;
  int64_t limit = (int64_t)t->settings->stop_seconds * CFS_US_PER_S;

  cfs_log (CFS_NOTICE, PART, "listening on %s port %u", t->settings->address,
           t->settings->http_port);
  while (!*stop && !t->stop)
    run_once (t);
  started = cfs_now ();
  t->draining = true;
  cfs_entry_drain (t->entry);
  cfs_log (CFS_NOTICE, PART,
           "stopping: handing over gates and finishing open requests");
  while (cfs_now () - started < limit)
    {
      int64_t since = cfs_now () - started;

      run_once (t);
      if (since > NOT_READY_PERIOD_US && cfs_gates_held_count (t->gates) == 0)
        cfs_http_quiesce (t->http);
      if (since > 2 * NOT_READY_PERIOD_US && is_drained (t))
        break;
    }
  cfs_log (CFS_NOTICE, PART, "stopped with %zu open requests",
           cfs_entry_open_requests (t->entry));
}
