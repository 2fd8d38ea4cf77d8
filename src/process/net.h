/**
 * DOC: Messages between hosts over ZeroMQ with CURVE.
 *
 * One socket takes messages in; one socket per peer sends.  A message is
 * either handed to a live connection or refused at once, never queued for a
 * peer that is away, so a refused send means that nobody will see it.  A
 * peer without the fleet's key is not let in.
 */
#ifndef CFS_NET_H
#define CFS_NET_H

#include "../cfs.h"
#include "loop.h"
#include "wire.pb-c.h"

#define NET_IDENTITY_MAX 16

/** struct cfs_origin - where a message came from, to reply to it */
struct cfs_origin
{
  unsigned char identity[NET_IDENTITY_MAX];
  size_t len;
};

struct cfs_net;

/**
 * struct cfs_net_setup - parameters of cfs_net_new()
 * @zmq: ZeroMQ context, owned by the caller
 * @address: IP number to bind
 * @port: port to bind, 0 to take no messages in
 * @public_key: CURVE key of the fleet, Z85, or "" for a network that is
 * trusted: then messages are neither encrypted nor authenticated
 * @secret_key: its secret part
 * @receive: handles a message; @from is NULL for replies to what was sent
 */
struct cfs_net_setup
{
  void *zmq;
  const char *address;
  uint32_t port;
  const char *public_key;
  const char *secret_key;
  void (*receive) (void *ctx, const struct cfs_origin *from,
                   const Cfs__Peer *msg);
  void *ctx;
};

/**
 * cfs_net_new() - opens the sockets
 *
 * Return: freed by cfs_net_free(), or NULL when the port cannot be bound.
 */
struct cfs_net *cfs_net_new (const struct cfs_net_setup *setup,
                             struct cfs_loop *loop);

/** cfs_net_free() - closes all sockets at once */
void cfs_net_free (struct cfs_net *net);

/**
 * cfs_net_send() - sends to a peer
 *
 * Return: CFS_OK when handed to a live connection; CFS_AGAIN when there is
 * none, and then the message was not sent.
 */
int cfs_net_send (struct cfs_net *net, const char *address, uint32_t port,
                  const Cfs__Peer *msg);

/** cfs_net_reply() - replies to the origin of a message; may be lost */
void cfs_net_reply (struct cfs_net *net, const struct cfs_origin *to,
                    const Cfs__Peer *msg);

/**
 * cfs_net_pump() - receives until nothing is left
 *
 * To be called before each wait of the loop, because ZeroMQ signals edges.
 */
void cfs_net_pump (struct cfs_net *net);

/**
 * cfs_zap_handler_new() - answers ZeroMQ's question which peers to let in
 * @zmq: context
 * @public_key: the only key allowed
 *
 * Return: opaque handler, ended by cfs_zap_handler_free(), or NULL.
 */
struct cfs_zap_handler *cfs_zap_handler_new (void *zmq,
                                             const char *public_key);

/** cfs_zap_handler_free() - stops the handler's thread */
void cfs_zap_handler_free (struct cfs_zap_handler *handler);

#endif
