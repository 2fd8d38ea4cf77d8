/*
 * Two reference token buckets verify the run.  Each admitted request takes a
 * token from the first, which must never be empty then.  Each arriving
 * request takes a token from the second, which tells whether the request is
 * within the rate.
 */
#include "limit.h"

#include <stdlib.h>
#include <string.h>

static bool
reference_bucket_take (double *level, int64_t *at, const struct world_limit *w)
{
  *level += w->rate * (double)(w->now - *at) / CFS_US_PER_S;
  *at = w->now;
  if (*level > w->burst)
    *level = w->burst;
  if (*level < 1 - 1e-6)
    return false;
  *level -= 1;
  return true;
}

static void
send_message (struct world_limit *w, struct wl_message m)
{
  int copies = cfs_random (&w->seed) % 100 >= (uint64_t)w->loss_percent;

  copies += copies
            && cfs_random (&w->seed) % 100 < (uint64_t)w->duplicate_percent;
  for (; copies > 0 && w->message_count < WL_MESSAGES; copies--)
    {
      m.at = w->now + w->delay_us
             + (int64_t)(cfs_random (&w->seed) % (uint64_t)w->jitter_us);
      w->messages[w->message_count++] = m;
      w->messages_sent++;
    }
}

/* Callback context of the admission of one host. */
struct host_context
{
  struct world_limit *world;
  unsigned host;
};

static void
send_token_request (void *ctx, const char *team, uint64_t id, uint32_t count)
{
  const struct host_context *c = ctx;
  struct wl_message m = {
    .id = id, .count = count, .host = c->host, .epoch = c->world->epoch
  };

  (void)team;
  send_message (c->world, m);
}

static void
on_admitted (void *ctx, struct cfs_request *r)
{
  struct world_limit *w = ((struct host_context *)ctx)->world;
  double wait = (double)(w->now - r->arrived_at);

  w->admitted++;
  if (!reference_bucket_take (&w->admitted_bucket_level,
                              &w->admitted_bucket_at, w))
    w->admitted_over_bound++;
  if (wait > w->worst_wait_us)
    w->worst_wait_us = wait;
  free (r->payload);
}

static void
on_refused (void *ctx, struct cfs_request *r, enum cfs_code code)
{
  struct world_limit *w = ((struct host_context *)ctx)->world;
  struct wl_request *q = r->payload;

  w->refused++;
  if (code == CFS_CODE_DRAINING)
    w->lost_with_host++;
  else
    w->refused_within_rate += q->within_rate;
  free (q);
}

static const struct cfs_admit_ops ops
    = { send_token_request, on_admitted, on_refused };

void
wl_start (struct world_limit *w, unsigned host)
{
  struct host_context *c;

  if (w->alive[host])
    return;
  c = cfs_alloc (sizeof *c);
  c->world = w;
  c->host = host;
  cfs_admit_init (&w->admit[host], &ops, c);
  w->admit[host].next_id = cfs_random (&w->seed);
  w->alive[host] = true;
}

void
wl_init (struct world_limit *w, uint64_t seed, double rate, double burst)
{
  memset (w, 0, sizeof *w);
  w->seed = seed * UINT64_C (0x9E3779B97F4A7C15) + 1;
  w->rate = rate;
  w->burst = burst;
  w->admitted_bucket_level = burst;
  w->arrival_bucket_level = burst;
  w->delay_us = 500;
  w->jitter_us = 500;
  w->epoch = 1;
  w->limiter_lease_end = CFS_NEVER;
  cfs_bucket_init (&w->bucket, rate, burst, true, 0);
  for (unsigned i = 0; i < WL_HOSTS; i++)
    wl_start (w, i);
}

void
wl_kill (struct world_limit *w, unsigned host)
{
  void *ctx = w->admit[host].ctx;

  if (!w->alive[host])
    return;
  cfs_admit_end (&w->admit[host]);
  free (ctx);
  w->alive[host] = false;
  if (host == w->limiter)
    w->take_over_at = w->now + LEASE_WAIT_US + HEARTBEAT_US;
}

void
wl_cut (struct world_limit *w)
{
  if (w->take_over_at)
    return;
  w->limiter_lease_end = w->now + LEASE_US;
  w->take_over_at = w->now + LEASE_WAIT_US;
}

void
wl_end (struct world_limit *w)
{
  for (unsigned i = 0; i < WL_HOSTS; i++)
    wl_kill (w, i);
}

void
wl_arrive (struct world_limit *w, unsigned host, int64_t timeout_us)
{
  struct wl_request *q;

  while (!w->alive[host])
    host = (host + 1) % WL_HOSTS;
  q = cfs_alloc (sizeof *q);
  q->request.payload = q;
  cfs_copy (q->request.team, CFS_NAME_MAX, "weavers");
  q->request.arrived_at = w->now;
  q->request.deadline = w->now + timeout_us;
  q->within_rate = reference_bucket_take (&w->arrival_bucket_level,
                                          &w->arrival_bucket_at, w);
  w->arrived_within_rate += q->within_rate;
  w->arrived++;
  cfs_admit_submit (&w->admit[host], &q->request, w->rate, w->burst, w->now);
}

static void
deliver (struct world_limit *w, const struct wl_message *m)
{
  struct wl_message out = *m;

  if (m->grant)
    {
      if (w->alive[m->host])
        cfs_admit_granted (&w->admit[m->host], "weavers", m->id, m->count,
                           m->retry_us, w->now);
      return;
    }
  if (!w->alive[w->limiter] || m->epoch != w->epoch
      || w->now > w->limiter_lease_end)
    return;
  out.grant = true;
  out.count = cfs_bucket_take (&w->bucket, m->count, w->now, &out.retry_us);
  send_message (w, out);
}

static void
take_over (struct world_limit *w)
{
  if (!w->take_over_at || w->now < w->take_over_at)
    return;
  w->take_over_at = 0;
  w->limiter_lease_end = CFS_NEVER;
  do
    w->limiter = (w->limiter + 1) % WL_HOSTS;
  while (!w->alive[w->limiter]);
  w->epoch++;
  cfs_bucket_init (&w->bucket, w->rate, w->burst, false, w->now);
  for (unsigned i = 0; i < WL_HOSTS; i++)
    if (w->alive[i])
      cfs_admit_limiter_moved (&w->admit[i], "weavers", w->now);
}

void
wl_run (struct world_limit *w, int64_t us)
{
  int64_t end = w->now + us;

  while (w->now < end)
    {
      w->now += WL_STEP_US;
      take_over (w);
      for (size_t i = 0; i < w->message_count;)
        {
          struct wl_message m = w->messages[i];

          if (m.at > w->now)
            {
              i++;
              continue;
            }
          w->messages[i] = w->messages[--w->message_count];
          deliver (w, &m);
        }
      for (unsigned i = 0; i < WL_HOSTS && w->now % 5000 == 0; i++)
        if (w->alive[i])
          cfs_admit_tick (&w->admit[i], w->now);
    }
}
