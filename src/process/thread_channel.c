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
  struct cfs_thread_channel *p = cfs_alloc (sizeof *p);
  int linger = 0;
  int rc;

  p->loop = loop;
  p->socket = zmq_socket (zmq, ZMQ_PAIR);
  zmq_setsockopt (p->socket, ZMQ_LINGER, &linger, sizeof linger);
  rc = bind ? zmq_bind (p->socket, endpoint)
            : zmq_connect (p->socket, endpoint);
  if (rc == 0)
    p->watch = cfs_loop_add_zmq (loop, p->socket);
  if (rc == 0 && p->watch > 0)
    return p;
  cfs_thread_channel_free (p);
  return NULL;
}

void
cfs_thread_channel_free (struct cfs_thread_channel *p)
{
  if (!p)
    return;
  if (p->watch > 0)
    cfs_loop_remove (p->loop, p->watch);
  zmq_close (p->socket);
  free (p);
}

void
cfs_thread_channel_send (struct cfs_thread_channel *p, const Cfs__Peer *msg)
{
  size_t len = cfs__peer__get_packed_size (msg);
  uint8_t *data = cfs_alloc (len);

  cfs__peer__pack (msg, data);
  zmq_send (p->socket, data, len, ZMQ_DONTWAIT);
  free (data);
}

Cfs__Peer *
cfs_thread_channel_receive (struct cfs_thread_channel *p)
{
  Cfs__Peer *peer = NULL;
  zmq_msg_t msg;

  zmq_msg_init (&msg);
  while (!peer && zmq_msg_recv (&msg, p->socket, ZMQ_DONTWAIT) >= 0)
    peer = cfs__peer__unpack (NULL, zmq_msg_size (&msg), zmq_msg_data (&msg));
  zmq_msg_close (&msg);
  return peer;
}
