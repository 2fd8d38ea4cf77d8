/*
 * Heartbeats of a host to two control hosts that this test plays, over
 * loopback and in real time: a leader that replies late, one that names itself
 * while it is not confirmed, and one that is back after a silence.
 */
#include "../../src/process/control_client.h"
#include "../../src/process/leader.h"
#include "../../src/process/net.h"

#include <apr_general.h>
#include <apr_pools.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <zmq.h>

#define LEADER 0
#define CONTROL_HOSTS 2
#define FIRST_PORT 7392
#define RUN_US (1500 * CFS_US_PER_MS)
#define TICK_US CFS_US_PER_MS
/* Interval of the demand reports, each of which makes a heartbeat due. */
#define DEMAND_INTERVAL_US (20 * CFS_US_PER_MS)
/* Time in which replies that were sent have arrived. */
#define IN_FLIGHT_US (50 * CFS_US_PER_MS)
/* Time for which a control host does not reply. */
#define SILENCE_US (700 * CFS_US_PER_MS)
#define SLOW_REPLY_US (100 * CFS_US_PER_MS)
/* A redirect is followed at most this often, on average. */
#define REDIRECTS_PER_S_MAX 20
#define QUEUE_MAX 64
/* Longer than a host waits before it asks another control host. */
#define LATE_REPLY_US (450 * CFS_US_PER_MS)

struct world;

/* Heartbeat that a played host has not replied to. */
struct unreplied
{
  uint64_t seq;
  int64_t received_at;
};

/* A control host played by the test; it replies to each heartbeat after the
   delay. */
struct played_host
{
  struct world *world;
  struct cfs_net *net;
  struct cfs_origin from;
  struct unreplied queue[QUEUE_MAX];
  size_t queued;
  bool silent;
  const char *names;
  unsigned heartbeats;
  unsigned unreplied;
};

struct world
{
  apr_pool_t *pool;
  struct cfs_loop *loop;
  void *zmq;
  struct cfs_settings settings;
  struct cfs_control_client *client;
  struct played_host hosts[CONTROL_HOSTS];
  int64_t reply_delay_us;
  unsigned accepted;
  unsigned with_shares;
  int64_t accepted_at;
  int64_t lease_until;
  uint32_t number;
};

static void
receive (void *ctx, const struct cfs_origin *from, const Cfs__Peer *msg)
{
  struct played_host *h = ctx;
  struct unreplied *u = &h->queue[h->queued];

  if (msg->body_case != CFS__PEER__BODY_HEARTBEAT || h->silent
      || h->queued == QUEUE_MAX)
    return;
  h->heartbeats++;
  h->unreplied += h->queued > 0;
  h->from = *from;
  u->seq = msg->heartbeat->seq;
  u->received_at = cfs_now ();
  h->queued++;
}

static void
reply_if_due (struct played_host *h)
{
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__HeartbeatReply reply = CFS__HEARTBEAT_REPLY__INIT;

  if (h->queued == 0
      || cfs_now () - h->queue[0].received_at < h->world->reply_delay_us)
    return;
  reply.seq = h->queue[0].seq;
  reply.granted = !*h->names;
  reply.leader = (char *)h->names;
  reply.has_shares = true;
  out.body_case = CFS__PEER__BODY_REPLY;
  out.reply = &reply;
  cfs_net_reply (h->net, &h->from, &out);
  h->queued--;
  memmove (h->queue, h->queue + 1, h->queued * sizeof h->queue[0]);
}

static void
on_reply (void *ctx, Cfs__HeartbeatReply *reply)
{
  struct world *w = ctx;

  w->accepted++;
  w->with_shares += reply->has_shares;
  w->lease_until = reply->lease_until_us;
  w->accepted_at = cfs_now ();
}

static void
ignore_operator_reply (void *ctx, Cfs__OperatorReply *reply)
{
  (void)ctx;
  (void)reply;
}

static void
ignore_tokens (void *ctx, Cfs__TokensGrant *grant)
{
  (void)ctx;
  (void)grant;
}

static const struct cfs_control_client_ops client_ops
    = { on_reply, ignore_operator_reply, ignore_tokens };

static void
open_played_host (struct world *w, unsigned i)
{
  struct played_host *h = &w->hosts[i];
  struct cfs_control_host *entry = &w->settings.control[i];
  struct cfs_net_setup setup = { .zmq = w->zmq,
                                 .port = FIRST_PORT + w->number,
                                 .public_key = "",
                                 .secret_key = "",
                                 .receive = receive,
                                 .ctx = h };

  h->world = w;
  h->names = "";
  cfs_copy (entry->host, sizeof entry->host,
            i == LEADER ? "127.0.0.95" : "127.0.0.96");
  cfs_copy (entry->address, sizeof entry->address, entry->host);
  entry->port = setup.port;
  setup.address = entry->address;
  h->net = cfs_net_new (&setup, w->loop);
  assert_non_null (h->net);
}

static struct world *
new_world (int64_t reply_delay_us)
{
  static uint32_t count;
  struct world *w = cfs_alloc (sizeof *w);

  w->number = count++;
  w->reply_delay_us = reply_delay_us;
  w->zmq = zmq_ctx_new ();
  apr_pool_create (&w->pool, NULL);
  w->loop = cfs_loop_new (w->pool);
  w->settings.uses_seeds = true;
  w->settings.document_lease_us = 3 * CFS_US_PER_S;
  w->settings.control_count = CONTROL_HOSTS;
  for (unsigned i = 0; i < CONTROL_HOSTS; i++)
    open_played_host (w, i);
  w->client = cfs_control_client_new (&client_ops, w, &w->settings, 1, w->zmq,
                                      w->loop);
  return w;
}

static void
free_world (struct world *w)
{
  cfs_control_client_free (w->client);
  for (unsigned i = 0; i < CONTROL_HOSTS; i++)
    cfs_net_free (w->hosts[i].net);
  zmq_ctx_term (w->zmq);
  apr_pool_destroy (w->pool);
  free (w);
}

/* As the traffic thread does; the client frees the message. */
static void
report_demand (struct world *w)
{
  Cfs__Peer *msg = malloc (sizeof *msg);
  Cfs__Heartbeat *h = malloc (sizeof *h);
  Cfs__TeamUse *use = malloc (sizeof *use);

  cfs__peer__init (msg);
  cfs__heartbeat__init (h);
  cfs__team_use__init (use);
  h->uses = malloc (sizeof *h->uses);
  h->uses[0] = use;
  h->n_uses = 1;
  msg->body_case = CFS__PEER__BODY_HEARTBEAT;
  msg->heartbeat = h;
  cfs_control_client_report (w->client, msg);
}

static void
run_world (struct world *w, int64_t us)
{
  int64_t until = cfs_now () + us;
  int64_t next_demand_at = 0;

  while (cfs_now () < until)
    {
      int64_t now = cfs_now ();

      if (now >= next_demand_at)
        {
          report_demand (w);
          next_demand_at = now + DEMAND_INTERVAL_US;
        }
      cfs_control_client_pump (w->client);
      for (unsigned i = 0; i < CONTROL_HOSTS; i++)
        {
          cfs_net_pump (w->hosts[i].net);
          reply_if_due (&w->hosts[i]);
        }
      cfs_loop_poll (w->loop, TICK_US);
      cfs_control_client_tick (w->client, cfs_now ());
    }
}

static void
drop_counts (struct world *w)
{
  w->accepted = 0;
  w->with_shares = 0;
  for (unsigned i = 0; i < CONTROL_HOSTS; i++)
    w->hosts[i].heartbeats = w->hosts[i].unreplied = 0;
}

/* Lets the client connect and find the leader, then drops the counts. */
static void
settle (struct world *w)
{
  int64_t delay = w->reply_delay_us;

  w->reply_delay_us = 0;
  run_world (w, CFS_US_PER_S / 2);
  w->reply_delay_us = delay;
  drop_counts (w);
}

static void
a_late_reply_is_awaited (void **state)
{
  struct world *w = new_world (SLOW_REPLY_US);
  unsigned heartbeats = 0;

  (void)state;
  settle (w);
  run_world (w, RUN_US);
  for (unsigned i = 0; i < CONTROL_HOSTS; i++)
    {
      assert_int_equal (w->hosts[i].unreplied, 0);
      heartbeats += w->hosts[i].heartbeats;
    }
  assert_true (heartbeats >= RUN_US / SLOW_REPLY_US / 2);
  assert_true (w->accepted + 1 >= heartbeats);
  assert_int_equal (w->with_shares, w->accepted);
  free_world (w);
}

/* A leader that is busy replies when the host has asked another control host,
   which names the leader.  Its replies are accepted all the same, but not the
   shares in them, since the host has reported its demand again. */
static void
late_replies_of_a_busy_leader_are_accepted (void **state)
{
  struct world *w = new_world (LATE_REPLY_US);

  (void)state;
  w->hosts[CONTROL_HOSTS - 1].names = w->settings.control[LEADER].host;
  settle (w);
  run_world (w, RUN_US);
  assert_true (w->accepted >= RUN_US / LATE_REPLY_US - 1);
  assert_true (w->lease_until >= cfs_now () + w->settings.document_lease_us
                                     - 2 * LATE_REPLY_US);
  assert_int_equal (w->with_shares, 0);
  free_world (w);
}

static void
a_leader_that_names_itself_is_not_asked_without_pause (void **state)
{
  struct world *w = new_world (0);
  unsigned heartbeats = 0;

  (void)state;
  settle (w);
  for (unsigned i = 0; i < CONTROL_HOSTS; i++)
    w->hosts[i].names = w->settings.control[LEADER].host;
  run_world (w, IN_FLIGHT_US);
  drop_counts (w);
  run_world (w, RUN_US);
  for (unsigned i = 0; i < CONTROL_HOSTS; i++)
    heartbeats += w->hosts[i].heartbeats;
  assert_true (heartbeats > 1);
  assert_true (heartbeats <= REDIRECTS_PER_S_MAX * RUN_US / CFS_US_PER_S);
  assert_int_equal (w->accepted, 0);
  w->hosts[LEADER].names = "";
  run_world (w, CFS_US_PER_S / 2);
  assert_true (w->accepted > 0);
  free_world (w);
}

/* A control host stops to reply while the other one names it as leader, and
   leads when it is back. */
static void
a_leader_that_was_silent_is_found_within_a_heartbeat_interval (void **state)
{
  struct world *w = new_world (0);
  struct played_host *first = &w->hosts[LEADER];
  struct played_host *second = &w->hosts[CONTROL_HOSTS - 1];
  int64_t leads_since;

  (void)state;
  second->names = w->settings.control[LEADER].host;
  settle (w);
  first->silent = true;
  run_world (w, SILENCE_US);
  leads_since = cfs_now ();
  first->silent = false;
  w->accepted = 0;
  run_world (w, CFS_US_PER_S / 50);
  while (!w->accepted && cfs_now () - leads_since < 4 * HEARTBEAT_US)
    run_world (w, CFS_US_PER_S / 50);
  if (getenv ("TRACE"))
    printf ("found after %lld ms\n",
            (long long)((w->accepted_at - leads_since) / CFS_US_PER_MS));
  assert_true (w->accepted > 0);
  assert_true (w->accepted_at - leads_since <= HEARTBEAT_US);
  free_world (w);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_late_reply_is_awaited),
    cmocka_unit_test (late_replies_of_a_busy_leader_are_accepted),
    cmocka_unit_test (a_leader_that_names_itself_is_not_asked_without_pause),
    cmocka_unit_test (
        a_leader_that_was_silent_is_found_within_a_heartbeat_interval)
  };
  int rc;

  apr_initialize ();
  rc = cmocka_run_group_tests (tests, NULL, NULL);
  apr_terminate ();
  return rc;
}
