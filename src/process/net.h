/**
 * DOC: Messages between hosts over ZeroMQ with CURVE encryption.
 *
 * One socket receives messages; one socket for each peer sends them.  A
 * message is either sent on an established connection or refused at once,
 * never queued for a disconnected peer, so a refused message is certain not to
 * arrive. Peers without the fleet's key are rejected.
 */
#ifndef CFS_NET_H
#define CFS_NET_H

#include "../cfs.h"
#include "loop.h"
#include "wire.pb-c.h"

#define NET_IDENTITY_MAX 16

/** struct cfs_origin - sender of a message, as needed for a reply */
struct cfs_origin
{
  unsigned char identity[NET_IDENTITY_MAX];
  size_t len;
};

struct cfs_net;

/**
 * struct cfs_net_setup - parameters of cfs_net_new()
 * @zmq: ZeroMQ context, owned by the caller
 * @address: IP address to bind
 * @port: port to bind, 0 to receive replies only
 * @public_key: CURVE key of the fleet in Z85 encoding, or "" on a trusted
 * network: messages are then neither encrypted nor authenticated
 * @secret_key: secret key that belongs to @public_key
 * @receive: handles a message; @from is NULL for replies to sent messages
 * @ctx: first argument of @receive
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
 * cfs_net_new() - opens the receiving socket
 * @setup: copied; what it points to must outlive the result
 * @loop: event loop of the calling thread
 *
 * Return: freed by cfs_net_free(), or NULL when the port cannot be bound.
 */
struct cfs_net *cfs_net_new (const struct cfs_net_setup *setup,
                             struct cfs_loop *loop);

/** cfs_net_free() - closes all sockets at once, unsent messages are dropped */
void cfs_net_free (struct cfs_net *net);

/**
 * cfs_net_send() - sends a message to a peer, connecting to it if necessary
 *
 * Return: CFS_OK when passed to an established connection; CFS_AGAIN when
 * there is none, and then the message was not sent.
 */
int cfs_net_send (struct cfs_net *net, const char *address, uint32_t port,
                  const Cfs__Peer *msg);

/** cfs_net_reply() - replies to the sender of a message; may be lost */
void cfs_net_reply (struct cfs_net *net, const struct cfs_origin *to,
                    const Cfs__Peer *msg);

/**
 * cfs_net_pump() - receives and handles messages, a bounded number
 *
 * To be called before each wait of the loop, because ZeroMQ sockets are
 * edge-triggered.  If more messages may have arrived, that wait is skipped.
 */
void cfs_net_pump (struct cfs_net *net);

/**
 * cfs_zap_handler_new() - starts the thread that authenticates peers
 * @zmq: ZeroMQ context
 * @public_key: the only CURVE key that is accepted
 *
 * Answers the requests of ZAP, the ZeroMQ Authentication Protocol.
 * Return: freed by cfs_zap_handler_free(), or NULL.
 */
struct cfs_zap_handler *cfs_zap_handler_new (void *zmq,
                                             const char *public_key);

/** cfs_zap_handler_free() - stops the thread; NULL is ignored */
void cfs_zap_handler_free (struct cfs_zap_handler *handler);

#endif
