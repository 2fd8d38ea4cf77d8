/*
 * A leader among the requests of many hosts: the replies of its followers come
 * over the connection of its own messages and are handled before requests.
 */
#include "../../src/process/control.h"
#include "../../src/process/net.h"
#include "../../src/process/raft_int.h"

#include <apr_general.h>
#include <apr_pools.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>
#include <zmq.h>

#define PORT 7395
#define REQUESTS 100
#define ORDER_MAX 256
#define POLL_US 2000
#define WAIT_MAX_US (5 * CFS_US_PER_S)
/* Time for messages to arrive in the queue of a socket. */
#define ARRIVAL_US (200 * CFS_US_PER_MS)

/* A host with its network; @order has a 'q' for each request received and an
   'r' for each reply. */
struct node
{
  struct cfs_net *net;
  char order[ORDER_MAX];
  size_t count;
  bool replies;
};

static void *zmq;
static apr_pool_t *pool;
static struct cfs_loop *loop;

static void
receive (void *ctx, const struct cfs_origin *from, const Cfs__Peer *msg)
{
  struct node *n = ctx;

  if (n->count < ORDER_MAX)
    n->order[n->count++] = from ? 'q' : 'r';
  if (from && n->replies)
    cfs_net_reply (n->net, from, msg);
}

static void
open_node (struct node *n, const char *address, uint32_t port)
{
  struct cfs_net_setup setup = { .zmq = zmq,
                                 .address = address,
                                 .port = port,
                                 .public_key = "",
                                 .secret_key = "",
                                 .receive = receive,
                                 .ctx = n };

  memset (n, 0, sizeof *n);
  n->net = cfs_net_new (&setup, loop);
  assert_non_null (n->net);
}

/* Sends a message as soon as the connection is established. */
static void
send_to (struct node *n, const char *address, const Cfs__Peer *msg)
{
  int64_t until = cfs_now () + WAIT_MAX_US;

  while (cfs_net_send (n->net, address, PORT, msg) != CFS_OK
         && cfs_now () < until)
    usleep (POLL_US);
}

static void
replies_come_before_requests (void **state)
{
  struct node leader;
  struct node follower;
  struct node host;
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__RaftMsg raft = CFS__RAFT_MSG__INIT;

  (void)state;
  open_node (&leader, "127.0.0.101", PORT);
  open_node (&follower, "127.0.0.102", PORT);
  open_node (&host, "127.0.0.103", 0);
  follower.replies = true;
  out.body_case = CFS__PEER__BODY_RAFT;
  out.raft = &raft;
  for (int i = 0; i < REQUESTS; i++)
    send_to (&host, "127.0.0.101", &out);
  send_to (&leader, "127.0.0.102", &out);
  usleep (ARRIVAL_US);
  cfs_net_pump (follower.net);
  usleep (ARRIVAL_US);
  cfs_net_pump (leader.net);
  assert_true (leader.count > 1);
  assert_int_equal (leader.order[0], 'r');
  assert_int_equal (leader.order[1], 'q');
  cfs_net_free (leader.net);
  cfs_net_free (follower.net);
  cfs_net_free (host.net);
}

static void
init_settings (struct cfs_settings *s, char *folder)
{
  memset (s, 0, sizeof *s);
  cfs_copy (s->host, sizeof s->host, "127.0.0.101");
  cfs_copy (s->address, sizeof s->address, s->host);
  s->control_port = PORT;
  s->peer_port = PORT;
  s->data_folder = folder;
  s->uses_seeds = true;
  s->first_start = true;
  s->control_count = 3;
  for (unsigned i = 0; i < s->control_count; i++)
    {
      struct cfs_control_host *c = &s->control[i];

      snprintf (c->host, sizeof c->host, "127.0.0.%u", 101 + i);
      cfs_copy (c->address, sizeof c->address, c->host);
      c->port = PORT;
    }
}

static void
remove_folder (const char *folder)
{
  static const char *const files[] = { "vote", "log", "snapshot", "audit" };

  for (size_t i = 0; i < sizeof files / sizeof files[0]; i++)
    {
      char path[128];

      snprintf (path, sizeof path, "%s/%s", folder, files[i]);
      unlink (path);
    }
  rmdir (folder);
}

static void
a_member_replies_over_the_connection_of_the_request (void **state)
{
  struct cfs_settings settings;
  struct cfs_control *control;
  struct node member;
  char folder[] = "/tmp/net_order_XXXXXX";
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__RaftMsg raft = CFS__RAFT_MSG__INIT;
  int64_t until = cfs_now () + WAIT_MAX_US;

  (void)state;
  assert_non_null (mkdtemp (folder));
  init_settings (&settings, folder);
  control = cfs_control_new (&settings, zmq, loop, NULL);
  assert_non_null (control);
  open_node (&member, "127.0.0.102", 0);
  raft.type = MSG_PREVOTE;
  raft.from = cfs_control_bootstrap_id ("127.0.0.102");
  raft.to = cfs_control_bootstrap_id ("127.0.0.101");
  raft.term = 1;
  raft.host = "127.0.0.102";
  out.body_case = CFS__PEER__BODY_RAFT;
  out.raft = &raft;
  send_to (&member, "127.0.0.101", &out);
  while (member.count == 0 && cfs_now () < until)
    {
      cfs_control_pump (control);
      cfs_net_pump (member.net);
      usleep (POLL_US);
    }
  assert_int_equal (member.count, 1);
  assert_int_equal (member.order[0], 'r');
  cfs_net_free (member.net);
  cfs_control_free (control);
  remove_folder (folder);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (replies_come_before_requests),
    cmocka_unit_test (a_member_replies_over_the_connection_of_the_request)
  };
  int rc;

  apr_initialize ();
  apr_pool_create (&pool, NULL);
  loop = cfs_loop_new (pool);
  zmq = zmq_ctx_new ();
  rc = cmocka_run_group_tests (tests, NULL, NULL);
  zmq_ctx_term (zmq);
  apr_terminate ();
  return rc;
}
