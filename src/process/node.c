/*
 * The control thread keeps the connection to the control leader and, on a
 * control host, runs the replicated log.  It never waits for traffic, so a
 * busy host keeps its lease.  The main thread handles traffic.  The two
 * exchange serialized messages over one thread channel.
 */
#include "node.h"

#include "control_client.h"
#include "control.h"
#include "front.h"
#include "log.h"
#include "loop.h"
#include "net.h"
#include "thread_channel.h"
#include "traffic.h"

#include <apr_general.h>
#include <apr_thread_proc.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <zmq.h>

#define PART "node"
#define TICK_US (5 * CFS_US_PER_MS)

struct node
{
  const struct cfs_settings *settings;
  void *zmq;
  struct cfs_thread_channel *channel;
  struct cfs_zap_handler *zap;
  struct cfs_loop *loop;
  struct cfs_control *control;
  struct cfs_control_client *control_client;
  apr_pool_t *apr_pool;
  volatile bool stop;
  uint64_t boot_id;
};

static volatile bool stop_requested;

static void
on_signal (int sig)
{
  if (sig != SIGHUP)
    stop_requested = true;
}

static void
on_heartbeat_reply (void *ctx, Cfs__HeartbeatReply *reply)
{
  Cfs__Peer out = CFS__PEER__INIT;

  out.body_case = CFS__PEER__BODY_REPLY;
  out.reply = reply;
  cfs_thread_channel_send (((struct node *)ctx)->channel, &out);
}

static void
on_operator_reply (void *ctx, Cfs__OperatorReply *reply)
{
  Cfs__Peer out = CFS__PEER__INIT;

  out.body_case = CFS__PEER__BODY_CALLED;
  out.called = reply;
  cfs_thread_channel_send (((struct node *)ctx)->channel, &out);
}

static void
on_token_grant (void *ctx, Cfs__TokensGrant *grant)
{
  Cfs__Peer out = CFS__PEER__INIT;

  out.body_case = CFS__PEER__BODY_TOKENS_GRANT;
  out.tokens_grant = grant;
  cfs_thread_channel_send (((struct node *)ctx)->channel, &out);
}

static const struct cfs_control_client_ops control_client_ops
    = { on_heartbeat_reply, on_operator_reply, on_token_grant };

static void
receive_from_traffic (struct node *n)
{
  Cfs__Peer *msg;

  while ((msg = cfs_thread_channel_receive (n->channel)))
    if (msg->body_case == CFS__PEER__BODY_HEARTBEAT)
      cfs_control_client_report (n->control_client, msg);
    else if (msg->body_case == CFS__PEER__BODY_CALL)
      cfs_control_client_forward (n->control_client, msg, cfs_now ());
    else if (msg->body_case == CFS__PEER__BODY_TOKENS_ASK)
      {
        cfs_control_client_request_tokens (n->control_client, msg);
        cfs__peer__free_unpacked (msg, NULL);
      }
    else
      cfs__peer__free_unpacked (msg, NULL);
}

static void *APR_THREAD_FUNC
control_main (apr_thread_t *thread, void *arg)
{
  struct node *n = arg;

  (void)thread;
  while (!n->stop)
    {
      int64_t now;

      receive_from_traffic (n);
      cfs_control_client_pump (n->control_client);
      if (n->control)
        cfs_control_pump (n->control);
      cfs_loop_poll (n->loop, TICK_US);
      now = cfs_now ();
      cfs_control_client_tick (n->control_client, now);
      if (n->control)
        cfs_control_tick (n->control, now);
    }
  return NULL;
}

static bool
open_control (struct node *n, GError **error)
{
  if (!cfs_settings_is_control (n->settings))
    {
      cfs_log (CFS_NOTICE, PART,
               "not a control host: nothing is stored on disk");
      return true;
    }
  n->control = cfs_control_new (n->settings, n->zmq, n->loop, error);
  return n->control != NULL;
}

static void
node_cleanup (struct node *n)
{
  cfs_control_client_free (n->control_client);
  cfs_control_free (n->control);
  cfs_thread_channel_free (n->channel);
  cfs_zap_handler_free (n->zap);
  zmq_ctx_term (n->zmq);
  apr_pool_destroy (n->apr_pool);
}

/* Runs the control thread for as long as @run handles traffic in the calling
   thread. */
static bool
run_with_control_thread (struct node *n, void (*run) (void *traffic),
                         void *traffic)
{
  apr_thread_t *thread;
  apr_status_t rc;

  if (apr_thread_create (&thread, NULL, control_main, n, n->apr_pool)
      != APR_SUCCESS)
    return false;
  run (traffic);
  n->stop = true;
  apr_thread_join (&rc, thread);
  return true;
}

static void
run_http (void *traffic)
{
  cfs_traffic_run (traffic, &stop_requested);
}

static void
run_sessions (void *front)
{
  cfs_front_run (front, &stop_requested);
}

static bool
serve_http (struct node *n, GError **error)
{
  struct cfs_traffic *traffic
      = cfs_traffic_new (n->settings, n->boot_id, n->zmq, error);
  bool ok = traffic && run_with_control_thread (n, run_http, traffic);

  cfs_traffic_free (traffic);
  return ok;
}

static bool
serve_sessions (struct node *n, GError **error)
{
  struct cfs_front *front = cfs_front_new (n->settings, n->zmq, error);
  bool ok = front && run_with_control_thread (n, run_sessions, front);

  cfs_front_free (front);
  return ok;
}

bool
cfs_node_serve (const struct cfs_settings *settings, GError **error)
{
  struct node n = { .settings = settings };
  bool ok;

  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  signal (SIGHUP, on_signal);
  apr_initialize ();
  apr_pool_create (&n.apr_pool, NULL);
  randombytes_buf (&n.boot_id, sizeof n.boot_id);
  n.zmq = zmq_ctx_new ();
  if (*settings->curve_public)
    n.zap = cfs_zap_handler_new (n.zmq, settings->curve_public);
  n.loop = cfs_loop_new (n.apr_pool);
  n.channel = cfs_thread_channel_new (n.zmq, TRAFFIC_ENDPOINT, true, n.loop);
  ok = open_control (&n, error);
  if (ok)
    {
      n.control_client = cfs_control_client_new (
          &control_client_ops, &n, settings, n.boot_id, n.zmq, n.loop);
      ok = cfs_settings_serves_sessions (settings) ? serve_sessions (&n, error)
                                                   : serve_http (&n, error);
    }
  node_cleanup (&n);
  apr_terminate ();
  return ok;
}
