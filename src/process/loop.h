/**
 * DOC: Event loop of one thread, based on apr_pollset, and the clocks.
 */
#ifndef CFS_LOOP_H
#define CFS_LOOP_H

#include "../cfs.h"

#include <apr_pools.h>

#define LOOP_READ 1
#define LOOP_WRITE 2

struct cfs_loop;

/**
 * cfs_now() - monotonic time in microseconds
 *
 * It also advances while the machine is suspended.
 */
int64_t cfs_now (void);

/**
 * cfs_wall_clock_ms() - wall clock time in milliseconds since 1970
 *
 * Only for display, never for decisions.
 */
uint64_t cfs_wall_clock_ms (void);

/**
 * cfs_loop_new() - creates a loop without watches
 * @parent: memory pool that owns the loop; destroying it ends the loop
 *
 * Return: the loop, or NULL when the system cannot provide one.
 */
struct cfs_loop *cfs_loop_new (apr_pool_t *parent);

/**
 * cfs_loop_add() - watches a file descriptor
 * @loop: loop
 * @fd: descriptor, owned by the caller
 * @events: LOOP_READ, LOOP_WRITE or both
 * @ready: called with @ctx and the events that occurred; may add and remove
 * watches
 * @ctx: first argument of @ready
 *
 * Return: handle above 0, or a negative enum cfs_status.
 */
int cfs_loop_add (struct cfs_loop *loop, int fd, int events,
                  void (*ready) (void *ctx, int events), void *ctx);

/**
 * cfs_loop_add_zmq() - makes activity of a ZeroMQ socket end the wait
 *
 * ZeroMQ sockets are edge-triggered: before each wait the owner must receive
 * until no message is left, or call cfs_loop_skip_wait().
 * Return: as cfs_loop_add().
 */
int cfs_loop_add_zmq (struct cfs_loop *loop, void *socket);

/** cfs_loop_change() - changes the events that are watched for */
void cfs_loop_change (struct cfs_loop *loop, int handle, int events);

/** cfs_loop_remove() - removes a watch; handle 0 is ignored */
void cfs_loop_remove (struct cfs_loop *loop, int handle);

/** cfs_loop_skip_wait() - makes the next cfs_loop_poll() return at once,
 * because work is left that no descriptor announces */
void cfs_loop_skip_wait (struct cfs_loop *loop);

/**
 * cfs_loop_poll() - waits for events and calls their handlers
 * @loop: loop
 * @timeout_us: maximum time to wait
 */
void cfs_loop_poll (struct cfs_loop *loop, int64_t timeout_us);

#endif
