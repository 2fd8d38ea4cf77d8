/*
 * Messages are serialized although both threads share memory, so neither
 * thread ever holds a pointer into the state of the other.
 */
#include "thread_channel.h"

#include <stdlib.h>
#include <zmq.h>

struct cfs_thread_channel
{
  void *socket;
  struct cfs_loop *loop;
  int watch;
};

struct cfs_thread_channel *
cfs_thread_channel_new (void *zmq, const char *endpoint, bool bind,
                        struct cfs_loop *loop)
{
  struct cfs_thread_channel *c = cfs_alloc (sizeof *c);
  int linger = 0;
  int rc;

  c->loop = loop;
  c->socket = zmq_socket (zmq, ZMQ_PAIR);
  zmq_setsockopt (c->socket, ZMQ_LINGER, &linger, sizeof linger);
  rc = bind ? zmq_bind (c->socket, endpoint)
            : zmq_connect (c->socket, endpoint);
  if (rc == 0)
    c->watch = cfs_loop_add_zmq (loop, c->socket);
  if (rc == 0 && c->watch > 0)
    return c;
  cfs_thread_channel_free (c);
  return NULL;
}

void
cfs_thread_channel_free (struct cfs_thread_channel *c)
{
  if (!c)
    return;
  if (c->watch > 0)
    cfs_loop_remove (c->loop, c->watch);
  zmq_close (c->socket);
  free (c);
}

void
cfs_thread_channel_send (struct cfs_thread_channel *c, const Cfs__Peer *msg)
{
  size_t len = cfs__peer__get_packed_size (msg);
  uint8_t *data = cfs_alloc (len);

  cfs__peer__pack (msg, data);
  zmq_send (c->socket, data, len, ZMQ_DONTWAIT);
  free (data);
}

Cfs__Peer *
cfs_thread_channel_receive (struct cfs_thread_channel *c)
{
  Cfs__Peer *decoded = NULL;
  zmq_msg_t msg;

  zmq_msg_init (&msg);
  while (!decoded && zmq_msg_recv (&msg, c->socket, ZMQ_DONTWAIT) >= 0)
    decoded
        = cfs__peer__unpack (NULL, zmq_msg_size (&msg), zmq_msg_data (&msg));
  zmq_msg_close (&msg);
  return decoded;
}
