/*
 * DEALER sockets with ZMQ_IMMEDIATE give the property that all users of this
 * module rely on: a message is either sent on an established connection or
 * refused at once.  A single ROUTER socket for all peers does not work: with
 * ZMQ_IMMEDIATE it cannot address more than one peer reliably.
 *
 * A socket takes messages from its connections in turn, and one pump handles a
 * bounded number.  However much some peers send, the timers of the loop run,
 * and the messages of the other peers are handled.  Replies are handled before
 * requests, and again after a few of them: a leader must not miss the replies
 * of its followers among the requests of hundreds of hosts.
 */
#include "net.h"

#include "message_codec.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define QUEUE_LIMIT 10000
/* Several times the largest message, which is a packed snapshot with a
   document of 4 MiB.  A frame that announces more ends the connection. */
#define MESSAGE_BYTES_MAX (INT64_C (16) << 20)
/* Messages that are received from a socket before the loop's timers run
   again. */
#define RECEIVE_BATCH 64
/* Requests that are handled before replies are looked for again. */
#define REQUESTS_AT_ONCE 8
#define HEARTBEAT_MS 500
#define HEARTBEAT_TIMEOUT_MS 1500
/* Several round trips between regions.  A machine without power does not
   answer at all; it is tried again soon, since it may come back. */
#define CONNECT_TIMEOUT_MS 200
#define TCP_TIMEOUT_MS 2000
#define HANDSHAKE_TIMEOUT_MS 2000
#define RECONNECT_MS 50
#define RECONNECT_MAX_MS 500
/* Connections that may wait to be accepted, as when all hosts connect to a
   control host at the same moment. */
#define ACCEPT_BACKLOG 1024
#define ENDPOINT_MAX 96
#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_STOP_ENDPOINT "inproc://coltsfootstage-guard-stop"

struct peer_conn
{
  char endpoint[ENDPOINT_MAX];
  void *socket;
  int watch;
};

struct cfs_net
{
  struct cfs_net_setup setup;
  struct cfs_loop *loop;
  void *router;
  int watch;
  struct peer_conn *peers;
  size_t count;
  size_t cap;
};

struct cfs_zap_handler
{
  void *zmq;
  void *stop;
  pthread_t thread;
  char key[41];
};

static void
set_int (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static void
set_common_options (void *socket)
{
  int64_t message_max = MESSAGE_BYTES_MAX;

  zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &message_max, sizeof message_max);
  set_int (socket, ZMQ_LINGER, 0);
  set_int (socket, ZMQ_SNDHWM, QUEUE_LIMIT);
  set_int (socket, ZMQ_RCVHWM, QUEUE_LIMIT);
  set_int (socket, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
  set_int (socket, ZMQ_TCP_MAXRT, TCP_TIMEOUT_MS);
  set_int (socket, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
  set_int (socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
  set_int (socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
}

/* The connecting side sends the heartbeats of a connection, and the time-out
   in them closes it on the other side as well.  libzmq aborts the process when
   a heartbeat is due on a connection that has filled its receive queue and was
   closed by its peer; requests of others can fill it, replies cannot. */
static void
set_heartbeat_options (void *socket)
{
  set_int (socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_MS);
  set_int (socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
  set_int (socket, ZMQ_HEARTBEAT_TTL, HEARTBEAT_TIMEOUT_MS);
}

static bool
open_router (struct cfs_net *n)
{
  char endpoint[ENDPOINT_MAX];

  if (n->setup.port == 0)
    return true;
  n->router = zmq_socket (n->setup.zmq, ZMQ_ROUTER);
  set_common_options (n->router);
  set_int (n->router, ZMQ_BACKLOG, ACCEPT_BACKLOG);
  if (*n->setup.public_key)
    {
      set_int (n->router, ZMQ_CURVE_SERVER, 1);
      zmq_setsockopt (n->router, ZMQ_CURVE_SECRETKEY, n->setup.secret_key,
                      strlen (n->setup.secret_key));
    }
  snprintf (endpoint, sizeof endpoint, "tcp://%s:%u", n->setup.address,
            n->setup.port);
  if (zmq_bind (n->router, endpoint) != 0)
    return false;
  n->watch = cfs_loop_add_zmq (n->loop, n->router);
  return true;
}

struct cfs_net *
cfs_net_new (const struct cfs_net_setup *setup, struct cfs_loop *loop)
{
  struct cfs_net *n = cfs_alloc (sizeof *n);

  n->setup = *setup;
  n->loop = loop;
  if (open_router (n))
    return n;
  cfs_net_free (n);
  return NULL;
}

void
cfs_net_free (struct cfs_net *n)
{
  if (!n)
    return;
  for (size_t i = 0; i < n->count; i++)
    {
      cfs_loop_remove (n->loop, n->peers[i].watch);
      zmq_close (n->peers[i].socket);
    }
  if (n->router)
    {
      cfs_loop_remove (n->loop, n->watch);
      zmq_close (n->router);
    }
  free (n->peers);
  free (n);
}

static void
set_curve (struct cfs_net *n, void *socket)
{
  const char *public_key = n->setup.public_key;
  const char *secret_key = n->setup.secret_key;

  zmq_setsockopt (socket, ZMQ_CURVE_SERVERKEY, public_key,
                  strlen (public_key));
  zmq_setsockopt (socket, ZMQ_CURVE_PUBLICKEY, public_key,
                  strlen (public_key));
  zmq_setsockopt (socket, ZMQ_CURVE_SECRETKEY, secret_key,
                  strlen (secret_key));
}

static struct peer_conn *
peer_for_address (struct cfs_net *n, const char *address, uint32_t port)
{
  char endpoint[ENDPOINT_MAX];
  struct peer_conn *p;

  snprintf (endpoint, sizeof endpoint, "tcp://%s:%u", address, port);
  for (size_t i = 0; i < n->count; i++)
    if (strcmp (n->peers[i].endpoint, endpoint) == 0)
      return &n->peers[i];
  cfs_grow (&n->peers, &n->cap, n->count, sizeof *n->peers);
  p = &n->peers[n->count++];
  cfs_copy (p->endpoint, sizeof p->endpoint, endpoint);
  p->socket = zmq_socket (n->setup.zmq, ZMQ_DEALER);
  set_common_options (p->socket);
  set_int (p->socket, ZMQ_IMMEDIATE, 1);
  set_heartbeat_options (p->socket);
  if (*n->setup.public_key)
    set_curve (n, p->socket);
  zmq_connect (p->socket, endpoint);
  p->watch = cfs_loop_add_zmq (n->loop, p->socket);
  return p;
}

static void
free_data (void *data, void *hint)
{
  (void)hint;
  free (data);
}

static int
send_packed (void *socket, const Cfs__Peer *msg)
{
  size_t len;
  uint8_t *data = cfs_message_encode (msg, &len);
  zmq_msg_t out;

  zmq_msg_init_data (&out, data, len, free_data, NULL);
  if (zmq_msg_send (&out, socket, ZMQ_DONTWAIT) >= 0)
    return CFS_OK;
  zmq_msg_close (&out);
  return CFS_AGAIN;
}

int
cfs_net_send (struct cfs_net *n, const char *address, uint32_t port,
              const Cfs__Peer *msg)
{
  return send_packed (peer_for_address (n, address, port)->socket, msg);
}

void
cfs_net_reply (struct cfs_net *n, const struct cfs_origin *to,
               const Cfs__Peer *msg)
{
  if (zmq_send (n->router, to->identity, to->len, ZMQ_DONTWAIT | ZMQ_SNDMORE)
      >= 0)
    send_packed (n->router, msg);
}

static void
dispatch (struct cfs_net *n, const struct cfs_origin *from, zmq_msg_t *msg)
{
  Cfs__Peer *decoded
      = cfs_message_decode (zmq_msg_data (msg), zmq_msg_size (msg));

  if (!decoded)
    return;
  n->setup.receive (n->setup.ctx, from, decoded);
  cfs__peer__free_unpacked (decoded, NULL);
}

static bool
receive_request (struct cfs_net *n)
{
  struct cfs_origin from;
  zmq_msg_t msg;
  int len = zmq_recv (n->router, from.identity, sizeof from.identity,
                      ZMQ_DONTWAIT);

  if (len < 0)
    return false;
  from.len = (size_t)len < sizeof from.identity ? (size_t)len
                                                : sizeof from.identity;
  zmq_msg_init (&msg);
  if (zmq_msg_recv (&msg, n->router, ZMQ_DONTWAIT) >= 0)
    dispatch (n, &from, &msg);
  zmq_msg_close (&msg);
  return true;
}

static bool
receive_reply (struct cfs_net *n, size_t peer)
{
  zmq_msg_t msg;
  bool got;

  zmq_msg_init (&msg);
  got = zmq_msg_recv (&msg, n->peers[peer].socket, ZMQ_DONTWAIT) >= 0;
  if (got)
    dispatch (n, NULL, &msg);
  zmq_msg_close (&msg);
  return got;
}

/* Receives replies of one peer.  Returns whether the batch was used up, so
   that more may be waiting. */
static bool
receive_replies (struct cfs_net *n, size_t peer)
{
  for (int i = 0; i < RECEIVE_BATCH; i++)
    if (!receive_reply (n, peer))
      return false;
  return true;
}

static bool
receive_all_replies (struct cfs_net *n)
{
  bool more = false;

  for (size_t i = 0; i < n->count; i++)
    more |= receive_replies (n, i);
  return more;
}

/* As receive_replies(), for requests, with the replies in between. */
static bool
receive_requests (struct cfs_net *n)
{
  for (int i = 0; i < RECEIVE_BATCH; i++)
    {
      if (i > 0 && i % REQUESTS_AT_ONCE == 0)
        receive_all_replies (n);
      if (!receive_request (n))
        return false;
    }
  return true;
}

void
cfs_net_pump (struct cfs_net *n)
{
  bool more = receive_all_replies (n);

  if (n->router)
    more |= receive_requests (n);
  if (more)
    cfs_loop_skip_wait (n->loop);
}

/* Answers one request of ZAP, the ZeroMQ Authentication Protocol (RFC 27),
   with the frames version, request id, domain, address, identity, mechanism,
   key. */
static void
answer_zap_request (struct cfs_zap_handler *h, void *zap)
{
  enum
  {
    FRAMES = 7,
    FRAME_MAX = 256,
    KEY_BYTES = 32
  };
  char frames[FRAMES][FRAME_MAX];
  int lens[FRAMES];
  char key[41] = "";
  int count = 0;
  int more = 1;
  size_t size = sizeof more;
  bool ok;

  while (more)
    {
      char discarded[FRAME_MAX];
      char *to = count < FRAMES ? frames[count] : discarded;
      int len = zmq_recv (zap, to, FRAME_MAX, 0);

      if (len < 0)
        return;
      if (count < FRAMES)
        lens[count++] = len < FRAME_MAX ? len : FRAME_MAX;
      zmq_getsockopt (zap, ZMQ_RCVMORE, &more, &size);
    }
  if (count > 6 && lens[6] == KEY_BYTES)
    zmq_z85_encode (key, (uint8_t *)frames[6], KEY_BYTES);
  ok = count == FRAMES && strcmp (key, h->key) == 0;
  zmq_send (zap, "1.0", 3, ZMQ_SNDMORE);
  zmq_send (zap, frames[1], count > 1 ? (size_t)lens[1] : 0, ZMQ_SNDMORE);
  zmq_send (zap, ok ? "200" : "400", 3, ZMQ_SNDMORE);
  zmq_send (zap, ok ? "OK" : "unknown key", ok ? 2 : 11, ZMQ_SNDMORE);
  zmq_send (zap, ok ? "host" : "", ok ? 4 : 0, ZMQ_SNDMORE);
  zmq_send (zap, "", 0, 0);
}

static void *
zap_main (void *arg)
{
  struct cfs_zap_handler *h = arg;
  void *zap = zmq_socket (h->zmq, ZMQ_REP);
  void *stop = zmq_socket (h->zmq, ZMQ_PAIR);
  zmq_pollitem_t items[2]
      = { { zap, 0, ZMQ_POLLIN, 0 }, { stop, 0, ZMQ_POLLIN, 0 } };

  zmq_bind (zap, ZAP_ENDPOINT);
  zmq_connect (stop, ZAP_STOP_ENDPOINT);
  zmq_send (stop, "", 0, 0);
  while (zmq_poll (items, 2, -1) >= 0 && !(items[1].revents & ZMQ_POLLIN))
    if (items[0].revents & ZMQ_POLLIN)
      answer_zap_request (h, zap);
  zmq_close (zap);
  zmq_close (stop);
  return NULL;
}

struct cfs_zap_handler *
cfs_zap_handler_new (void *zmq, const char *public_key)
{
  struct cfs_zap_handler *h = cfs_alloc (sizeof *h);

  h->zmq = zmq;
  cfs_copy (h->key, sizeof h->key, public_key);
  h->stop = zmq_socket (zmq, ZMQ_PAIR);
  zmq_bind (h->stop, ZAP_STOP_ENDPOINT);
  if (pthread_create (&h->thread, NULL, zap_main, h) != 0)
    {
      zmq_close (h->stop);
      free (h);
      return NULL;
    }
  zmq_recv (h->stop, NULL, 0, 0);
  return h;
}

void
cfs_zap_handler_free (struct cfs_zap_handler *h)
{
  if (!h)
    return;
  zmq_send (h->stop, "", 0, 0);
  pthread_join (h->thread, NULL);
  zmq_close (h->stop);
  free (h);
}
