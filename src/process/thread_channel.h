/**
 * DOC: Bidirectional message channel between the two threads of a host.
 */
#ifndef CFS_THREAD_CHANNEL_H
#define CFS_THREAD_CHANNEL_H

#include "../cfs.h"
#include "loop.h"
#include "wire.pb-c.h"

struct cfs_thread_channel;

/**
 * cfs_thread_channel_new() - opens one end of the channel
 * @zmq: ZeroMQ context shared by both ends
 * @endpoint: ZeroMQ endpoint of the channel
 * @bind: whether this end binds the endpoint; it must be opened first
 * @loop: event loop that is woken by a message
 *
 * Return: freed by cfs_thread_channel_free(), or NULL when the endpoint
 * cannot be bound or connected to.
 */
struct cfs_thread_channel *cfs_thread_channel_new (void *zmq,
                                                   const char *endpoint,
                                                   bool bind,
                                                   struct cfs_loop *loop);

/** cfs_thread_channel_free() - closes this end; NULL is ignored */
void cfs_thread_channel_free (struct cfs_thread_channel *channel);

/** cfs_thread_channel_send() - serializes and sends a message, which is
 * dropped when the queue to the other end is full */
void cfs_thread_channel_send (struct cfs_thread_channel *channel,
                              const Cfs__Peer *msg);

/**
 * cfs_thread_channel_receive() - returns the next message
 *
 * To be called until it returns NULL, before each wait of the loop.
 * Return: freed by cfs__peer__free_unpacked(), or NULL when none is left.
 */
Cfs__Peer *cfs_thread_channel_receive (struct cfs_thread_channel *channel);

#endif
