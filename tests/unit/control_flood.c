/*
 * A control group of three real control hosts over loopback, each in a thread
 * of its own, while other threads send token requests as fast as they can.
 * The leader must keep its lead, confirmed by a majority at any time.
 */
#include "../../src/process/control.h"
#include "../../src/process/net.h"
#include "../../src/process/raft.h"

#include <apr_general.h>
#include <apr_pools.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <zmq.h>

#define CONTROL_HOSTS 3
#define FLOODING_THREADS 3
/* Teams in each token request. */
#define TEAMS 64
#define FLOOD_US (4 * CFS_US_PER_S)
#define ELECTION_MAX_US (10 * CFS_US_PER_S)
#define TICK_US (5 * CFS_US_PER_MS)
#define POLL_US 5000

struct group;

struct control_host
{
  struct group *group;
  struct cfs_settings settings;
  pthread_t thread;
};

struct group
{
  struct control_host hosts[CONTROL_HOSTS];
  pthread_t flooding[FLOODING_THREADS];
  atomic_bool stop;
  atomic_bool stop_flood;
  atomic_ullong requests_sent;
  atomic_llong led_at;
  atomic_int leader;
  atomic_uint leader_changes;
  char folder[64];
};

static void
init_settings (struct group *g, unsigned index)
{
  struct cfs_settings *s = &g->hosts[index].settings;

  snprintf (s->host, sizeof s->host, "127.0.0.%u", 91 + index);
  cfs_copy (s->address, sizeof s->address, s->host);
  s->control_port = 7391;
  s->peer_port = s->control_port;
  s->data_folder = g_strdup_printf ("%s/%u", g->folder, index);
  s->uses_seeds = true;
  s->first_start = true;
  s->document_lease_us = 3 * CFS_US_PER_S;
  s->control_count = CONTROL_HOSTS;
  for (unsigned i = 0; i < CONTROL_HOSTS; i++)
    {
      struct cfs_control_host *c = &s->control[i];

      snprintf (c->host, sizeof c->host, "127.0.0.%u", 91 + i);
      cfs_copy (c->address, sizeof c->address, c->host);
      c->port = s->control_port;
    }
}

/* Called in each turn of a host's loop. */
static void
record_lead (struct control_host *h, const struct cfs_control *control)
{
  struct group *g = h->group;
  int index = (int)(h - g->hosts);

  if (!cfs_control_is_leader (control, cfs_now ()))
    return;
  atomic_store (&g->led_at, cfs_now ());
  if (atomic_exchange (&g->leader, index) != index)
    atomic_fetch_add (&g->leader_changes, 1);
}

static void *
run_control_host (void *arg)
{
  struct control_host *h = arg;
  apr_pool_t *pool;
  struct cfs_loop *loop;
  void *zmq = zmq_ctx_new ();
  struct cfs_control *control;

  apr_pool_create (&pool, NULL);
  loop = cfs_loop_new (pool);
  control = cfs_control_new (&h->settings, zmq, loop, NULL);
  while (control && !atomic_load (&h->group->stop))
    {
      cfs_control_pump (control);
      cfs_loop_poll (loop, TICK_US);
      cfs_control_tick (control, cfs_now ());
      record_lead (h, control);
    }
  cfs_control_free (control);
  zmq_ctx_term (zmq);
  apr_pool_destroy (pool);
  return NULL;
}

static void
ignore_reply (void *ctx, const struct cfs_origin *from, const Cfs__Peer *msg)
{
  (void)ctx;
  (void)from;
  (void)msg;
}

/* Sends a token request to every control host; sleeps if none takes it. */
static void
send_token_requests (struct group *g, struct cfs_net *net,
                     const Cfs__Peer *request)
{
  bool sent = false;

  for (unsigned i = 0; i < CONTROL_HOSTS; i++)
    if (cfs_net_send (net, g->hosts[i].settings.address,
                      g->hosts[i].settings.control_port, request)
        == CFS_OK)
      {
        atomic_fetch_add (&g->requests_sent, 1);
        sent = true;
      }
  if (!sent)
    usleep (1000);
}

static void *
run_flood (void *arg)
{
  struct group *g = arg;
  apr_pool_t *pool;
  struct cfs_loop *loop;
  void *zmq = zmq_ctx_new ();
  struct cfs_net_setup setup = {
    .zmq = zmq, .public_key = "", .secret_key = "", .receive = ignore_reply
  };
  struct cfs_net *net;
  Cfs__TeamTokens teams[TEAMS];
  Cfs__TeamTokens *list[TEAMS];
  Cfs__TokensAsk ask = CFS__TOKENS_ASK__INIT;
  Cfs__Peer out = CFS__PEER__INIT;

  apr_pool_create (&pool, NULL);
  loop = cfs_loop_new (pool);
  net = cfs_net_new (&setup, loop);
  for (int i = 0; i < TEAMS; i++)
    {
      cfs__team_tokens__init (&teams[i]);
      teams[i].team = "team";
      teams[i].count = 1;
      list[i] = &teams[i];
    }
  ask.host = "127.0.0.99";
  ask.teams = list;
  ask.n_teams = TEAMS;
  out.body_case = CFS__PEER__BODY_TOKENS_ASK;
  out.tokens_ask = &ask;
  while (!atomic_load (&g->stop_flood))
    {
      send_token_requests (g, net, &out);
      cfs_net_pump (net);
    }
  cfs_net_free (net);
  zmq_ctx_term (zmq);
  apr_pool_destroy (pool);
  return NULL;
}

static bool
await_leader (struct group *g)
{
  int64_t until = cfs_now () + ELECTION_MAX_US;

  while (atomic_load (&g->leader) < 0 && cfs_now () < until)
    usleep (POLL_US);
  return atomic_load (&g->leader) >= 0;
}

static struct group *
start_group (void)
{
  struct group *g = cfs_alloc (sizeof *g);
  const char *tmp = getenv ("TMPDIR");

  snprintf (g->folder, sizeof g->folder, "%s/control_flood_XXXXXX",
            tmp ? tmp : "/tmp");
  assert_non_null (mkdtemp (g->folder));
  atomic_store (&g->leader, -1);
  for (unsigned i = 0; i < CONTROL_HOSTS; i++)
    {
      g->hosts[i].group = g;
      init_settings (g, i);
      pthread_create (&g->hosts[i].thread, NULL, run_control_host,
                      &g->hosts[i]);
    }
  return g;
}

static void
remove_folder (const char *folder)
{
  static const char *const files[] = { "vote", "log", "snapshot", "audit" };

  for (size_t i = 0; i < sizeof files / sizeof files[0]; i++)
    {
      char *path = g_strdup_printf ("%s/%s", folder, files[i]);

      unlink (path);
      g_free (path);
    }
  rmdir (folder);
}

static void
stop_group (struct group *g)
{
  atomic_store (&g->stop, true);
  for (int i = 0; i < CONTROL_HOSTS; i++)
    {
      pthread_join (g->hosts[i].thread, NULL);
      remove_folder (g->hosts[i].settings.data_folder);
      g_free (g->hosts[i].settings.data_folder);
    }
  rmdir (g->folder);
  free (g);
}

/* Returns the longest time without a confirmed leader. */
static int64_t
longest_without_leader (struct group *g, int64_t us)
{
  int64_t until = cfs_now () + us;
  int64_t longest = 0;

  while (cfs_now () < until)
    {
      int64_t since = cfs_now () - atomic_load (&g->led_at);

      if (since > longest)
        longest = since;
      usleep (POLL_US);
    }
  return longest;
}

static int64_t
flood (struct group *g)
{
  int64_t longest;

  for (int i = 0; i < FLOODING_THREADS; i++)
    pthread_create (&g->flooding[i], NULL, run_flood, g);
  longest = longest_without_leader (g, FLOOD_US);
  atomic_store (&g->stop_flood, true);
  for (int i = 0; i < FLOODING_THREADS; i++)
    pthread_join (g->flooding[i], NULL);
  return longest;
}

static void
a_flood_of_token_requests_does_not_depose_the_leader (void **state)
{
  struct group *g = start_group ();
  unsigned leader_changes;
  int64_t longest;

  (void)state;
  assert_true (await_leader (g));
  longest = flood (g);
  printf ("%llu token requests, longest without a leader %lld ms\n",
          (unsigned long long)atomic_load (&g->requests_sent),
          (long long)(longest / CFS_US_PER_MS));
  leader_changes = atomic_load (&g->leader_changes);
  stop_group (g);
  assert_true (longest < RAFT_ELECTION_US);
  assert_int_equal (leader_changes, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (
      a_flood_of_token_requests_does_not_depose_the_leader) };
  int rc;

  apr_initialize ();
  rc = cmocka_run_group_tests (tests, NULL, NULL);
  apr_terminate ();
  return rc;
}
