/**
 * DOC: Event loop of one thread: descriptors by apr_pollset, and the clock.
 */
#ifndef CFS_LOOP_H
#define CFS_LOOP_H

#include "../cfs.h"

#include <apr_pools.h>

#define LOOP_READ 1
#define LOOP_WRITE 2

struct cfs_loop;

/** cfs_now() - monotonic time that also counts while the machine sleeps */
int64_t cfs_now (void);

/** cfs_wall_clock_ms() - milliseconds since 1970, for people only */
uint64_t cfs_wall_clock_ms (void);

/**
 * cfs_loop_new() - loop without descriptors
 * @parent: pool that owns it; the loop ends with the pool
 *
 * Return: the loop, or NULL when the system refuses one.
 */
struct cfs_loop *cfs_loop_new (apr_pool_t *parent);

/**
 * cfs_loop_add() - watches a descriptor
 * @loop: loop
 * @fd: descriptor, owned by the caller
 * @events: LOOP_READ and LOOP_WRITE
 * @ready: called with @ctx and the events seen; may add and remove watches
 *
 * Return: handle above 0, or a negative enum cfs_status.
 */
int cfs_loop_add (struct cfs_loop *loop, int fd, int events,
                  void (*ready) (void *ctx, int events), void *ctx);

/**
 * cfs_loop_add_zmq() - lets a ZeroMQ socket end the wait
 *
 * ZeroMQ signals edges: the owner must receive until nothing is left before
 * each wait.  Return: as cfs_loop_add().
 */
int cfs_loop_add_zmq (struct cfs_loop *loop, void *socket);

/** cfs_loop_change() - watches for other events */
void cfs_loop_change (struct cfs_loop *loop, int handle, int events);

/** cfs_loop_remove() - ends a watch; handle 0 is passed over */
void cfs_loop_remove (struct cfs_loop *loop, int handle);

/** cfs_loop_poll() - waits at most @timeout_us and calls what is ready */
void cfs_loop_poll (struct cfs_loop *loop, int64_t timeout_us);

#endif
