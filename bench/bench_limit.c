/*
 * Benchmark of the rate limiter with its clients on ten hosts.  The reference
 * is an ideal token bucket: a refusal is wrongful if the ideal bucket would
 * have admitted the request, and an admission counts as over-admission if the
 * admissions so far would have emptied the ideal bucket.
 *
 * A small and a large team send 0.9 times their rate, first without failures,
 * then with hosts that fail one at a time, the limiter's among them; then,
 * also with failures, the large team sends 8 times its rate.  Baseline: each
 * host has a fixed tenth of rate and burst, without messages.
 */
#include "../tests/world/limit.h"
#include "common.h"

#include <stdlib.h>

#define SECONDS 60
#define DEADLINE_US (5 * CFS_US_PER_S)
#define LOAD_FACTOR 0.9
/* Fraction of a team's requests that always goes to host 3; the others go to
   any host. */
#define BUSIEST_HOST_SHARE 0.4

/*
 * struct limit_result - counts of one run
 * @within: requests that the ideal bucket admits
 * @wrongful: those of them that were refused
 * @over: admissions beyond the ideal bucket
 * @worst_wait_ms: longest time from arrival to admission
 * @messages_per_request: messages between clients and limiter per request
 */
struct limit_result
{
  uint64_t within, wrongful, over;
  double worst_wait_ms;
  double messages_per_request;
};

static unsigned
pick_host (uint64_t *seed)
{
  if (bench_uniform (seed) < BUSIEST_HOST_SHARE)
    return 3;
  return (unsigned)(cfs_random (seed) % WL_HOSTS);
}

/* Stops a host at 2 s, 12 s and so on, and starts it again 4 s later: first
   the limiter's host, then host t % WL_HOSTS, which is host 0 each time
   because t is in microseconds. */
static void
inject_host_failures (struct world_limit *w, int64_t t, unsigned *victim)
{
  if (t % (10 * CFS_US_PER_S) == 2 * CFS_US_PER_S)
    {
      *victim = t < 10 * CFS_US_PER_S ? w->limiter : (unsigned)(t % WL_HOSTS);
      wl_kill (w, *victim);
    }
  if (t % (10 * CFS_US_PER_S) == 6 * CFS_US_PER_S)
    wl_start (w, *victim);
}

static struct limit_result
run_limiter (double rate, double burst, double load, bool hosts_fail,
             uint64_t seed)
{
  struct world_limit *w = cfs_alloc (sizeof *w);
  struct limit_result out;
  double next_arrival = 0;
  unsigned victim = 0;

  wl_init (w, seed, rate, burst);
  for (int64_t t = 0; t < SECONDS * CFS_US_PER_S; t += WL_STEP_US)
    {
      while (next_arrival <= (double)t)
        {
          wl_arrive (w, pick_host (&seed), DEADLINE_US);
          next_arrival
              += bench_exponential (&seed, CFS_US_PER_S / (rate * load));
        }
      if (hosts_fail)
        inject_host_failures (w, t, &victim);
      wl_run (w, WL_STEP_US);
    }
  wl_run (w, 2 * DEADLINE_US);
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

/* Percentage of wrongful refusals if each host has a fixed tenth of rate and
   burst. */
static double
equal_split_wrongful_percent (double rate, double burst, uint64_t seed)
{
  double tokens[WL_HOSTS];
  double now_s = 0;
  double ideal_tokens = burst;
  double within = 0;
  double wrongful = 0;

  for (int i = 0; i < WL_HOSTS; i++)
    tokens[i] = burst / WL_HOSTS;
  while (now_s < SECONDS)
    {
      double interval_s = bench_exponential (&seed, 1 / (rate * LOAD_FACTOR));
      unsigned h = pick_host (&seed);
      bool ok;

      now_s += interval_s;
      for (int i = 0; i < WL_HOSTS; i++)
        {
          tokens[i] += interval_s * rate / WL_HOSTS;
          if (tokens[i] > burst / WL_HOSTS)
            tokens[i] = burst / WL_HOSTS;
        }
      ideal_tokens += interval_s * rate;
      if (ideal_tokens > burst)
        ideal_tokens = burst;
      ok = tokens[h] >= 1;
      if (ok)
        tokens[h] -= 1;
      if (ideal_tokens < 1)
        continue;
      ideal_tokens -= 1;
      within += 1;
      wrongful += !ok;
    }
  return 100 * wrongful / within;
}

int
main (void)
{
  struct bench b = { "limit", 0 };
  struct limit_result small = run_limiter (20, 10, LOAD_FACTOR, false, 11);
  struct limit_result large = run_limiter (400, 200, LOAD_FACTOR, false, 12);
  struct limit_result hosts_lost
      = run_limiter (400, 200, LOAD_FACTOR, true, 13);
  struct limit_result hosts_lost_small
      = run_limiter (20, 10, LOAD_FACTOR, true, 14);
  struct limit_result overload = run_limiter (400, 200, 8, true, 15);

  bench_at_most (&b, "wrongful refusals, small team", (double)small.wrongful,
                 "requests", 0);
  bench_at_most (&b, "wrongful refusals, large team", (double)large.wrongful,
                 "requests", 0);
  bench_at_most (&b, "wrongful refusals, hosts lost, large team",
                 100.0 * (double)hosts_lost.wrongful
                     / (double)hosts_lost.within,
                 "%", 0.1);
  bench_at_most (&b, "wrongful refusals, hosts lost, small team",
                 100.0 * (double)hosts_lost_small.wrongful
                     / (double)hosts_lost_small.within,
                 "%", 0.1);
  bench_at_most (&b, "over-admission, all runs",
                 (double)(small.over + large.over + hosts_lost.over
                          + hosts_lost_small.over + overload.over),
                 "requests", 0);
  bench_report (&b, "longest wait, steady", large.worst_wait_ms, "ms");
  bench_report (&b, "longest wait, limiter lost", hosts_lost.worst_wait_ms,
                "ms");
  bench_report (&b, "messages per request, small team",
                small.messages_per_request, "");
  bench_report (&b, "messages per request, large team",
                large.messages_per_request, "");
  bench_report (&b, "messages per request, 8 times the rate",
                overload.messages_per_request, "");
  bench_report (&b, "wrongful refusals, equal split, small team",
                equal_split_wrongful_percent (20, 10, 11), "%");
  bench_report (&b, "wrongful refusals, equal split, large team",
                equal_split_wrongful_percent (400, 200, 12), "%");
  return b.missed_bounds != 0;
}
