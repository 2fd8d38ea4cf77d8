/*
 * Connections to a host that does not answer yet, as a machine that has no
 * power: the first attempt meets no reply at all, and the host must be reached
 * soon after it has come up.  The kernel alone would try again after a second.
 */
#include "../../src/process/net.h"

#include <apr_general.h>
#include <apr_pools.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>
#include <zmq.h>

#define ADDRESS "127.0.0.111"
#define PORT 7396
#define POLL_US 2000
/* Time for which the host stays silent after the first attempt. */
#define SILENT_US (100 * CFS_US_PER_MS)
/* Half of the time that a group may be without a leader after a failure. */
#define REACHED_US (500 * CFS_US_PER_MS)
#define WAIT_MAX_US (5 * CFS_US_PER_S)
/* Connections that fill the queue of a listener with a backlog of 0. */
#define FILLERS 3

static void *zmq;
static apr_pool_t *pool;
static struct cfs_loop *loop;
static unsigned received;

static void
receive (void *ctx, const struct cfs_origin *from, const Cfs__Peer *msg)
{
  (void)ctx;
  (void)from;
  (void)msg;
  received++;
}

static struct cfs_net *
open_net (const char *address, uint32_t port)
{
  struct cfs_net_setup setup = { .zmq = zmq,
                                 .address = address,
                                 .port = port,
                                 .public_key = "",
                                 .secret_key = "",
                                 .receive = receive };

  return cfs_net_new (&setup, loop);
}

static struct sockaddr_in
address_of_host (void)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (PORT) };

  inet_pton (AF_INET, ADDRESS, &a.sin_addr);
  return a;
}

/* Opens a listener that answers no further connection: its queue is full.
   @fds gets the listener and the connections in the queue. */
static void
open_silent_listener (int fds[FILLERS + 1])
{
  struct sockaddr_in a = address_of_host ();
  int on = 1;

  fds[0] = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (fds[0], SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  assert_int_equal (bind (fds[0], (struct sockaddr *)&a, sizeof a), 0);
  assert_int_equal (listen (fds[0], 0), 0);
  for (int i = 1; i <= FILLERS; i++)
    {
      fds[i] = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
      assert_true (connect (fds[i], (struct sockaddr *)&a, sizeof a) == 0
                   || errno == EINPROGRESS);
    }
}

static void
a_host_is_reached_soon_after_it_has_come_up (void **state)
{
  struct cfs_net *client = open_net ("127.0.0.112", 0);
  struct cfs_net *host;
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__RaftMsg raft = CFS__RAFT_MSG__INIT;
  int fds[FILLERS + 1];
  int64_t up_at;
  int64_t took;
  int first;
  int rc = CFS_AGAIN;

  (void)state;
  out.body_case = CFS__PEER__BODY_RAFT;
  out.raft = &raft;
  received = 0;
  open_silent_listener (fds);
  first = cfs_net_send (client, ADDRESS, PORT, &out);
  usleep (SILENT_US);
  for (int i = 0; i <= FILLERS; i++)
    close (fds[i]);
  host = open_net (ADDRESS, PORT);
  up_at = cfs_now ();
  while (host && received == 0 && cfs_now () - up_at < WAIT_MAX_US)
    {
      if (rc != CFS_OK)
        rc = cfs_net_send (client, ADDRESS, PORT, &out);
      cfs_net_pump (host);
      usleep (POLL_US);
    }
  took = cfs_now () - up_at;
  cfs_net_free (client);
  cfs_net_free (host);
  assert_int_not_equal (first, CFS_OK);
  assert_int_equal (received, 1);
  assert_in_range (took, 0, REACHED_US);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (a_host_is_reached_soon_after_it_has_come_up) };
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
