/**
 * DOC: Packed messages between the two threads of a host.
 */
#ifndef CFS_THREAD_CHANNEL_H
#define CFS_THREAD_CHANNEL_H

#include "../cfs.h"
#include "loop.h"
#include "wire.pb-c.h"

struct cfs_thread_channel;

/**
 * cfs_thread_channel_new() - opens one end
 * @zmq: ZeroMQ context
 * @endpoint: name of the pair
 * @bind: whether this end comes first and binds
 * @loop: loop that a message wakes
 *
 * Return: freed by cfs_thread_channel_free(), or NULL when the other end is
 * missing.
 */
struct cfs_thread_channel *cfs_thread_channel_new (void *zmq,
                                                   const char *endpoint,
                                                   bool bind,
                                                   struct cfs_loop *loop);

/** cfs_thread_channel_free() - closes this end, NULL is passed over */
void cfs_thread_channel_free (struct cfs_thread_channel *channel);

/** cfs_thread_channel_send() - packs and hands over a message */
void cfs_thread_channel_send (struct cfs_thread_channel *channel,
                              const Cfs__Peer *msg);

/**
 * cfs_thread_channel_receive() - the next message
 *
 * To be called until it returns NULL, before each wait of the loop.
 * Return: a message for the caller to free, or NULL when none is left.
 */
Cfs__Peer *cfs_thread_channel_receive (struct cfs_thread_channel *channel);

#endif
