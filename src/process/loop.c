/*
 * Watches are entries of a fixed array.  The pollset stores the index and the
 * generation of a watch, so that an event for a watch that was removed or
 * replaced in the same round is recognized and dropped.
 */
#include "loop.h"

#include <apr_poll.h>
#include <apr_portable.h>
#include <time.h>
#include <zmq.h>

#define LOOP_WATCHES_MAX 4096
#define HANDLE_BITS 16

struct watch
{
  apr_pool_t *pool;
  apr_pollfd_t entry;
  void (*ready) (void *ctx, int events);
  void *ctx;
  unsigned generation;
  bool used;
};

struct cfs_loop
{
  apr_pool_t *pool;
  apr_pollset_t *set;
  struct watch watches[LOOP_WATCHES_MAX];
  bool skip_wait;
};

int64_t
cfs_now (void)
{
  struct timespec t;

  clock_gettime (CLOCK_BOOTTIME, &t);
  return (int64_t)t.tv_sec * CFS_US_PER_S + t.tv_nsec / 1000;
}

uint64_t
cfs_wall_clock_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (uint64_t)t.tv_sec * 1000 + (uint64_t)t.tv_nsec / 1000000;
}

static apr_int16_t
apr_events (int events)
{
  apr_int16_t out = 0;

  if (events & LOOP_READ)
    out |= APR_POLLIN;
  if (events & LOOP_WRITE)
    out |= APR_POLLOUT;
  return out;
}

struct cfs_loop *
cfs_loop_new (apr_pool_t *parent)
{
  struct cfs_loop *l = apr_pcalloc (parent, sizeof *l);

  l->pool = parent;
  if (apr_pollset_create (&l->set, LOOP_WATCHES_MAX, parent, 0) != APR_SUCCESS)
    return NULL;
  return l;
}

int
cfs_loop_add (struct cfs_loop *l, int fd, int events,
              void (*ready) (void *ctx, int events), void *ctx)
{
  int h = 1;
  struct watch *w;
  apr_socket_t *socket = NULL;

  while (h < LOOP_WATCHES_MAX && l->watches[h].used)
    h++;
  if (h == LOOP_WATCHES_MAX)
    return CFS_FULL;
  w = &l->watches[h];
  if (apr_pool_create (&w->pool, l->pool) != APR_SUCCESS)
    return CFS_FULL;
  apr_os_sock_put (&socket, &fd, w->pool);
  w->generation++;
  w->ready = ready;
  w->ctx = ctx;
  w->entry.p = w->pool;
  w->entry.desc_type = APR_POLL_SOCKET;
  w->entry.desc.s = socket;
  w->entry.reqevents = apr_events (events);
  w->entry.client_data
      = (void *)(((uintptr_t)w->generation << HANDLE_BITS) | (uintptr_t)h);
  if (apr_pollset_add (l->set, &w->entry) != APR_SUCCESS)
    {
      apr_pool_destroy (w->pool);
      return CFS_IO;
    }
  w->used = true;
  return h;
}

/* The event only ends the wait; the owner of the socket receives by itself. */
static void
ignore_event (void *ctx, int events)
{
  (void)ctx;
  (void)events;
}

int
cfs_loop_add_zmq (struct cfs_loop *l, void *socket)
{
  int fd = -1;
  size_t len = sizeof fd;

  zmq_getsockopt (socket, ZMQ_FD, &fd, &len);
  return cfs_loop_add (l, fd, LOOP_READ, ignore_event, NULL);
}

void
cfs_loop_change (struct cfs_loop *l, int h, int events)
{
  struct watch *w = &l->watches[h];

  if (h <= 0 || !w->used || w->entry.reqevents == apr_events (events))
    return;
  apr_pollset_remove (l->set, &w->entry);
  w->entry.reqevents = apr_events (events);
  apr_pollset_add (l->set, &w->entry);
}

void
cfs_loop_remove (struct cfs_loop *l, int h)
{
  struct watch *w = &l->watches[h];

  if (h <= 0 || !w->used)
    return;
  apr_pollset_remove (l->set, &w->entry);
  apr_pool_destroy (w->pool);
  w->used = false;
}

void
cfs_loop_skip_wait (struct cfs_loop *l)
{
  l->skip_wait = true;
}

void
cfs_loop_poll (struct cfs_loop *l, int64_t timeout_us)
{
  const apr_pollfd_t *ready;
  apr_int32_t count = 0;

  if (l->skip_wait)
    timeout_us = 0;
  l->skip_wait = false;

  if (apr_pollset_poll (l->set, timeout_us, &count, &ready) != APR_SUCCESS)
    return;
  for (apr_int32_t i = 0; i < count; i++)
    {
      uintptr_t tag = (uintptr_t)ready[i].client_data;
      struct watch *w = &l->watches[tag & ((1u << HANDLE_BITS) - 1)];
      int events = 0;

      if (!w->used || w->generation != tag >> HANDLE_BITS)
        continue;
      if (ready[i].rtnevents & APR_POLLIN)
        events |= LOOP_READ;
      if (ready[i].rtnevents & APR_POLLOUT)
        events |= LOOP_WRITE;
      if (ready[i].rtnevents & (APR_POLLERR | APR_POLLHUP))
        events |= LOOP_READ | LOOP_WRITE;
      w->ready (w->ctx, events);
    }
}
