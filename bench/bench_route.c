/*
 * Benchmark of read routing: a gate with three simulated instances, one
 * replica 50 ms behind the primary, the other 2 s.  Eight sessions send four
 * reads for each write.  Compares letting a read wait for a replica with
 * sending it to the primary at once, and acknowledging writes once a majority
 * of the instances has them with acknowledging them at the primary alone.
 */
#include "../tests/world/gate.h"
#include "common.h"

#include <stdlib.h>
#include <string.h>

#define SECONDS 12
#define REQUEST_PERIOD_US 4000
#define WRITE_SHARE 0.2

struct route_result
{
  double replica_share;
  double read_p99_ms;
  double write_p50_ms;
  double write_p99_ms;
  double connects_per_1000;
};

static void
collect_result (const struct world_gate *w, struct route_result *out)
{
  struct bench_series reads = { NULL, 0, 0 };
  struct bench_series writes = { NULL, 0, 0 };
  double on_replica = 0;

  for (int i = 0; i < w->request_count; i++)
    {
      const struct wg_request *q = &w->requests[i];

      if (!q->answered || q->outcome != CFS_DONE)
        continue;
      on_replica += q->read && q->replica;
      bench_add (q->read ? &reads : &writes,
                 (double)(q->answered_at - q->submitted_at) / CFS_US_PER_MS);
    }
  out->replica_share = 100 * on_replica / (double)reads.count;
  out->read_p99_ms = bench_percentile (&reads, 0.99);
  out->write_p50_ms = bench_percentile (&writes, 0.5);
  out->write_p99_ms = bench_percentile (&writes, 0.99);
  out->connects_per_1000
      = 1000.0 * (double)cfs_gate_stats (w->hosts[w->holder].gate)->connects
        / w->request_count;
  bench_end (&reads);
  bench_end (&writes);
}

/* Runs the load with one policy: @wait lets reads wait for a replica,
   @ack_primary acknowledges writes at the primary, @slots are those of each
   instance. */
static struct route_result
run_policy (bool wait, bool ack_primary, unsigned slots, uint64_t seed)
{
  struct world_gate *w = wg_new (seed, NULL);
  struct route_result out;
  char name[16];

  cfs_gate_set_wait_for_replica (w->hosts[0].gate, wait);
  cfs_gate_configure (w->hosts[0].gate, WG_INSTANCES, ack_primary);
  w->service_us = 2000;
  w->inst[2].lag_us = 2 * CFS_US_PER_S;
  for (unsigned i = 0; i < WG_INSTANCES; i++)
    w->inst[i].slots = slots;
  for (int64_t t = 0; t < SECONDS * CFS_US_PER_S; t += REQUEST_PERIOD_US)
    {
      bool write = bench_uniform (&seed) < WRITE_SHARE;

      snprintf (name, sizeof name, "s%u", (unsigned)(cfs_random (&seed) % 8));
      wg_submit (w, "r", write ? CFS_WRITE : CFS_READ, "", name, false, "",
                 5 * CFS_US_PER_S, 5 * CFS_US_PER_S);
      wg_run (w, REQUEST_PERIOD_US);
    }
  wg_run (w, 5 * CFS_US_PER_S);
  collect_result (w, &out);
  wg_free (w);
  return out;
}

int
main (void)
{
  struct bench b = { "route", 0 };
  struct route_result ack_majority_5_slots = run_policy (true, false, 5, 1);
  struct route_result ack_majority_2_slots = run_policy (true, false, 2, 2);
  struct route_result ack_majority_no_wait = run_policy (false, false, 5, 1);
  struct route_result ack_primary_wait = run_policy (true, true, 5, 1);
  struct route_result ack_primary_no_wait = run_policy (false, true, 5, 1);

  bench_at_least (&b, "replica share, 5 slots",
                  ack_majority_5_slots.replica_share, "%", 95);
  bench_at_least (&b, "replica share, 2 slots",
                  ack_majority_2_slots.replica_share, "%", 95);
  bench_report (&b, "read p99, 5 slots", ack_majority_5_slots.read_p99_ms,
                "ms");
  bench_report (&b, "read p99, 2 slots", ack_majority_2_slots.read_p99_ms,
                "ms");
  bench_report (&b, "write p50, ack at majority",
                ack_majority_5_slots.write_p50_ms, "ms");
  bench_report (&b, "write p99, ack at majority",
                ack_majority_5_slots.write_p99_ms, "ms");
  bench_report (&b, "write p50, ack at primary", ack_primary_wait.write_p50_ms,
                "ms");
  bench_report (&b, "write p99, ack at primary", ack_primary_wait.write_p99_ms,
                "ms");
  bench_report (&b, "replica share without waiting",
                ack_majority_no_wait.replica_share, "%");
  bench_report (&b, "read p99 without waiting",
                ack_majority_no_wait.read_p99_ms, "ms");
  bench_report (&b, "replica share, ack at primary, waiting",
                ack_primary_wait.replica_share, "%");
  bench_report (&b, "read p99, ack at primary, waiting",
                ack_primary_wait.read_p99_ms, "ms");
  bench_report (&b, "replica share, ack at primary, without waiting",
                ack_primary_no_wait.replica_share, "%");
  bench_report (&b, "read p99, ack at primary, without waiting",
                ack_primary_no_wait.read_p99_ms, "ms");
  bench_report (&b, "connections opened per 1000 requests",
                ack_majority_5_slots.connects_per_1000, "");
  return b.missed_bounds != 0;
}
