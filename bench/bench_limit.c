/*
 * The limiter with its clients on ten hosts.  A small and a large team ask
 * within their rate by an ideal bucket; then one host after the other dies,
 * the limiter's among them.  Baseline: the same rate split equally between
 * the hosts, without messages.
 */
#include "../tests/world/limit.h"
#include "common.h"

#include <stdlib.h>

#define SECONDS 60
#define PATIENCE_US (5 * CFS_US_PER_S)
#define LOAD 0.9
/* Share of a team's requests that its busiest host gets. */
#define SKEW 0.4

struct outcome
{
  uint64_t within, wrongful, over;
  double worst_wait_ms;
  double messages_per_request;
};

static unsigned
pick_host (uint64_t *seed)
{
  if (bench_uniform (seed) < SKEW)
    return 3;
  return (unsigned)(cfs_random (seed) % WL_HOSTS);
}

/* Kills a host every ten seconds, the limiter's the first time. */
static void
disturb (struct world_limit *w, int64_t t, unsigned *victim)
{
  if (t % (10 * CFS_US_PER_S) == 2 * CFS_US_PER_S)
    {
      *victim = t < 10 * CFS_US_PER_S ? w->limiter : (unsigned)(t % WL_HOSTS);
      wl_kill (w, *victim);
    }
  if (t % (10 * CFS_US_PER_S) == 6 * CFS_US_PER_S)
    wl_start (w, *victim);
}

static struct outcome
run_grants (double rate, double burst, double load, bool disturbed,
            uint64_t seed)
{
  struct world_limit *w = cfs_alloc (sizeof *w);
  struct outcome out;
  double next = 0;
  unsigned victim = 0;

  wl_init (w, seed, rate, burst);
  for (int64_t t = 0; t < SECONDS * CFS_US_PER_S; t += WL_STEP_US)
    {
      while (next <= (double)t)
        {
          wl_arrive (w, pick_host (&seed), PATIENCE_US);
          next += bench_exponential (&seed, CFS_US_PER_S / (rate * load));
        }
      if (disturbed)
        disturb (w, t, &victim);
      wl_run (w, WL_STEP_US);
    }
  wl_run (w, 2 * PATIENCE_US);
  out.within = w->arrived_within_rate;
  out.wrongful = w->refused_within_rate;
  out.over = w->admitted_over_bound;
  out.worst_wait_ms = w->worst_wait_us / CFS_US_PER_MS;
  out.messages_per_request
      = (double)w->messages_sent / (double)(w->arrived ? w->arrived : 1);
  wl_end (w);
  free (w);
  return out;
}

/* Wrongful refusals when each host has a fixed tenth of rate and burst. */
static double
equal_split_share (double rate, double burst, uint64_t seed)
{
  double level[WL_HOSTS];
  double at = 0;
  double ideal = burst;
  double within = 0;
  double wrongful = 0;

  for (int i = 0; i < WL_HOSTS; i++)
    level[i] = burst / WL_HOSTS;
  while (at < SECONDS)
    {
      double step = bench_exponential (&seed, 1 / (rate * LOAD));
      unsigned h = pick_host (&seed);
      bool ok;

      at += step;
      for (int i = 0; i < WL_HOSTS; i++)
        {
          level[i] += step * rate / WL_HOSTS;
          if (level[i] > burst / WL_HOSTS)
            level[i] = burst / WL_HOSTS;
        }
      ideal += step * rate;
      if (ideal > burst)
        ideal = burst;
      ok = level[h] >= 1;
      if (ok)
        level[h] -= 1;
      if (ideal < 1)
        continue;
      ideal -= 1;
      within += 1;
      wrongful += !ok;
    }
  return 100 * wrongful / within;
}

int
main (void)
{
  struct bench b = { "limit", 0 };
  struct outcome small = run_grants (20, 10, LOAD, false, 11);
  struct outcome large = run_grants (400, 200, LOAD, false, 12);
  struct outcome lost = run_grants (400, 200, LOAD, true, 13);
  struct outcome lost_small = run_grants (20, 10, LOAD, true, 14);
  struct outcome flood = run_grants (400, 200, 8, true, 15);

  bench_at_most (&b, "wrongful refusals, small team", (double)small.wrongful,
                 "requests", 0);
  bench_at_most (&b, "wrongful refusals, large team", (double)large.wrongful,
                 "requests", 0);
  bench_at_most (&b, "wrongful refusals, hosts lost, large team",
                 100.0 * (double)lost.wrongful / (double)lost.within, "%",
                 0.1);
  bench_at_most (&b, "wrongful refusals, hosts lost, small team",
                 100.0 * (double)lost_small.wrongful
                     / (double)lost_small.within,
                 "%", 0.1);
  bench_at_most (&b, "over-admission, all runs",
                 (double)(small.over + large.over + lost.over + lost_small.over
                          + flood.over),
                 "requests", 0);
  bench_report (&b, "longest wait, steady", large.worst_wait_ms, "ms");
  bench_report (&b, "longest wait, limiter lost", lost.worst_wait_ms, "ms");
  bench_report (&b, "messages per request, small team",
                small.messages_per_request, "");
  bench_report (&b, "messages per request, large team",
                large.messages_per_request, "");
  bench_report (&b, "messages per request, 8 times the rate",
                flood.messages_per_request, "");
  bench_report (&b, "wrongful refusals, equal split, small team",
                equal_split_share (20, 10, 11), "%");
  bench_report (&b, "wrongful refusals, equal split, large team",
                equal_split_share (400, 200, 12), "%");
  return b.missed != 0;
}
