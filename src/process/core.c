/*
 * One event loop runs the replicated log, the control leader's decisions and
 * the HTTP API for operators and instances.
 */
#include "core.h"

#include "../../platform/control_api.h"
#include "../../platform/document.h"
#include "../../platform/instances.h"
#include "../../platform/promotion.h"
#include "log.h"
#include "net.h"

#include <apr_general.h>
#include <signal.h>
#include <stdlib.h>
#include <zmq.h>

#define PART "core"
#define TICK_US (5 * CFS_US_PER_MS)
/* Maximum time that a stopping voter waits for its replacement. */
#define LEAVE_MAX_US (2500 * CFS_US_PER_MS)

struct core
{
  void *zmq;
  apr_pool_t *apr_pool;
  struct cfs_loop *loop;
  struct cfs_control *control;
  struct control_api *control_api;
  struct cfs_target_adapter *adapter;
  struct promotion_client *promotion;
};

static volatile bool stop_requested;

static void
on_signal (int sig)
{
  if (sig != SIGHUP)
    stop_requested = true;
}

static void
catch_signals (void)
{
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  signal (SIGHUP, on_signal);
}

static void
send_promotion_request (void *ctx, const char *service, const char *target,
                        uint64_t fence)
{
  promotion_client_send (((struct core *)ctx)->promotion, service, target,
                         fence);
}

static void
on_promotion_result (void *ctx, const char *service, uint64_t fence,
                     enum cfs_promotion_result result)
{
  cfs_control_promotion_result (((struct core *)ctx)->control, service, fence,
                                result);
}

static void
serve_fleet (struct core *c, const struct cfs_settings *settings)
{
  struct cfs_control_fleet_setup setup = { .decoder = &document_decoder,
                                           .promote = send_promotion_request,
                                           .ctx = c };

  c->adapter = instances_adapter_new (c->loop);
  c->promotion = promotion_client_new (settings->promotion_address,
                                       settings->host, on_promotion_result, c);
  setup.adapter = c->adapter;
  cfs_control_serve_fleet (c->control, &setup);
}

static bool
start (struct core *c, const struct cfs_settings *settings, GError **error)
{
  apr_initialize ();
  apr_pool_create (&c->apr_pool, NULL);
  c->zmq = zmq_ctx_new ();
  c->loop = cfs_loop_new (c->apr_pool);
  c->control = cfs_control_new (settings, c->zmq, c->loop, error);
  if (c->control)
    {
      serve_fleet (c, settings);
      c->control_api = control_api_new (settings, c->control, c->loop, error);
    }
  return c->control_api != NULL;
}

static void
cleanup (struct core *c)
{
  control_api_free (c->control_api);
  cfs_control_free (c->control);
  promotion_client_free (c->promotion);
  instances_adapter_free (c->adapter);
  zmq_ctx_term (c->zmq);
  apr_pool_destroy (c->apr_pool);
  apr_terminate ();
}

static void
run_once (struct core *c)
{
  cfs_control_pump (c->control);
  control_api_pump (c->control_api);
  cfs_loop_poll (c->loop, TICK_US);
  promotion_client_pump (c->promotion);
  cfs_control_tick (c->control, cfs_now ());
}

/* Asks the leader to replace this voter by a learner, and waits until that has
   happened or the time is up. */
static void
leave_group (struct core *c)
{
  int64_t until = cfs_now () + LEAVE_MAX_US;

  while (cfs_now () < until && cfs_control_leave (c->control))
    run_once (c);
}

bool
cfs_core_serve (const struct cfs_settings *settings, GError **error)
{
  struct core c = { NULL };
  bool ok;

  catch_signals ();
  ok = start (&c, settings, error);
  if (ok)
    {
      cfs_log (CFS_NOTICE, PART, "started: control API on %s",
               settings->control_address);
      while (!stop_requested)
        run_once (&c);
      leave_group (&c);
      cfs_log (CFS_NOTICE, PART, "stops");
    }
  cleanup (&c);
  return ok;
}
