/*
 * Benchmark of fair queueing and admission.
 *
 * 1. The fair queue in front of a simulated target of five slots: eight teams
 *    load it to half of its capacity, then one of them sends eight times its
 *    rate.  Round robin and first come, first served are the baselines.
 * 2. One admission queue in the gate, with several limits of running
 *    statements, compared with ten hosts that have a limit each.
 * 3. The gate for a minute at three times the capacity of the target.
 */
#include "../tests/world/gate.h"
#include "common.h"

#include <stdlib.h>
#include <string.h>

#define TEAMS 8
#define SLOTS 5
#define SERVICE_US 5000
#define HOSTS 10
#define SECONDS 30
#define STEP_US 200
/* Service times have a heavy tail: one statement in twenty takes ten times as
   long on average. */
#define TAIL_SHARE 0.05
#define TAIL_FACTOR 10

/* A statement of a team with the time that it takes on the target. */
struct job
{
  struct cfs_request request;
  int64_t service_us;
  unsigned team;
};

/* One slot of the target; idle while @job is NULL. */
struct server
{
  struct job *job;
  int64_t busy_until;
};

static double
random_service_us (uint64_t *seed)
{
  double mean = SERVICE_US / (1 - TAIL_SHARE + TAIL_SHARE * TAIL_FACTOR);

  if (bench_uniform (seed) < TAIL_SHARE)
    mean *= TAIL_FACTOR;
  return bench_exponential (seed, mean);
}

static struct job *
new_job (unsigned team, int64_t now, uint64_t *seed)
{
  struct job *j = cfs_alloc (sizeof *j);

  snprintf (j->request.team, CFS_NAME_MAX, "team-%u", team);
  j->request.weight = 1;
  j->request.payload = j;
  j->request.arrived_at = now;
  j->request.deadline = CFS_NEVER;
  j->team = team;
  j->service_us = (int64_t)random_service_us (seed) + 1;
  return j;
}

static bool
accept_any (void *ctx, struct cfs_request *r)
{
  (void)ctx;
  (void)r;
  return true;
}

/* Completes the jobs that end by @now, starts queued ones on idle servers and
   adds the response times of the completed ones to the series of their
   teams. */
static void
run_servers (struct cfs_fair *f, struct server *servers, int64_t now,
             struct bench_series *response_times)
{
  for (unsigned i = 0; i < SLOTS; i++)
    {
      struct cfs_request *r;

      if (servers[i].job && servers[i].busy_until > now)
        continue;
      if (servers[i].job)
        {
          struct job *j = servers[i].job;

          cfs_fair_done (f, &j->request, j->service_us);
          bench_add (&response_times[j->team],
                     (double)(servers[i].busy_until - j->request.arrived_at)
                         / CFS_US_PER_MS);
          free (j);
          servers[i].job = NULL;
        }
      r = cfs_fair_pop (f, CFS_LANE_READ, accept_any, NULL);
      if (!r)
        continue;
      servers[i].job = r->payload;
      servers[i].busy_until = now + servers[i].job->service_us;
    }
}

/* Highest p99 of the response time among the teams that keep to their rate;
   team 0 sends @factor times its rate. */
static double
worst_p99 (enum cfs_fair_policy policy, double factor, uint64_t seed)
{
  struct cfs_fair f;
  struct server servers[SLOTS] = { { NULL, 0 } };
  struct bench_series response_times[TEAMS] = { { NULL, 0, 0 } };
  double next_arrival[TEAMS] = { 0 };
  double interarrival_us = SERVICE_US * TEAMS / (SLOTS * 0.5);
  double worst = 0;

  cfs_fair_init (&f, policy);
  for (int64_t now = 0; now < SECONDS * CFS_US_PER_S; now += STEP_US)
    {
      for (unsigned t = 0; t < TEAMS; t++)
        while (next_arrival[t] <= (double)now)
          {
            struct job *j = new_job (t, now, &seed);

            if (cfs_fair_push (&f, CFS_LANE_READ, &j->request) != CFS_OK)
              free (j);
            next_arrival[t] += bench_exponential (
                &seed, t ? interarrival_us : interarrival_us / factor);
          }
      run_servers (&f, servers, now, response_times);
    }
  for (unsigned t = 0; t < TEAMS; t++)
    {
      double p99 = bench_percentile (&response_times[t], 0.99);

      if (t && p99 > worst)
        worst = p99;
      bench_end (&response_times[t]);
    }
  for (struct cfs_request *r;
       (r = cfs_fair_pop (&f, CFS_LANE_READ, accept_any, NULL));)
    free (r->payload);
  for (unsigned i = 0; i < SLOTS; i++)
    free (servers[i].job);
  cfs_fair_end (&f);
  return worst;
}

/* Simulates a target that divides its capacity evenly among the statements
   running there (processor sharing), so that statements beyond its slots slow
   each other down.  Each of the @queues queues runs at most @limit statements
   at a time: one queue is the gate's, several are one per host. */
static void
run_processor_sharing (uint64_t seed, unsigned slots, unsigned queues,
                       unsigned limit, struct bench_series *out)
{
  enum
  {
    JOBS_MAX = 4096
  };
  static struct
  {
    double remaining_us;
    int64_t arrived_at;
    unsigned queue;
    bool present, running;
  } jobs[JOBS_MAX];
  unsigned running[HOSTS] = { 0 };
  double next_arrival = 0;
  double interarrival_us = SERVICE_US / (slots * 0.8);
  size_t head = 0;
  size_t tail = 0;

  memset (jobs, 0, sizeof jobs);
  for (int64_t now = 0; now < 20 * CFS_US_PER_S; now += STEP_US)
    {
      unsigned total = 0;
      double progress_rate;

      while (next_arrival <= (double)now && tail - head < JOBS_MAX)
        {
          jobs[tail % JOBS_MAX].remaining_us = random_service_us (&seed);
          jobs[tail % JOBS_MAX].arrived_at = now;
          jobs[tail % JOBS_MAX].queue
              = (unsigned)(cfs_random (&seed) % queues);
          jobs[tail % JOBS_MAX].present = true;
          jobs[tail % JOBS_MAX].running = false;
          tail++;
          next_arrival += bench_exponential (&seed, interarrival_us);
        }
      for (unsigned q = 0; q < queues; q++)
        total += running[q];
      progress_rate = total > slots ? (double)slots / total : 1;
      for (size_t i = head; i < tail; i++)
        {
          unsigned q = jobs[i % JOBS_MAX].queue;

          if (!jobs[i % JOBS_MAX].present)
            continue;
          if (!jobs[i % JOBS_MAX].running && running[q] < limit)
            {
              jobs[i % JOBS_MAX].running = true;
              running[q]++;
            }
          if (!jobs[i % JOBS_MAX].running)
            continue;
          jobs[i % JOBS_MAX].remaining_us -= STEP_US * progress_rate;
          if (jobs[i % JOBS_MAX].remaining_us > 0)
            continue;
          bench_add (out, (double)(now - jobs[i % JOBS_MAX].arrived_at)
                              / CFS_US_PER_MS);
          running[q]--;
          jobs[i % JOBS_MAX].present = false;
        }
      while (head < tail && !jobs[head % JOBS_MAX].present)
        head++;
    }
}

static void
compare_admission (struct bench *b, const char *name, unsigned slots,
                   unsigned queues, unsigned limit)
{
  struct bench_series s = { NULL, 0, 0 };
  char figure[96];

  run_processor_sharing (7, slots, queues, limit, &s);
  snprintf (figure, sizeof figure, "%u slots, %s, p50", slots, name);
  bench_report (b, figure, bench_percentile (&s, 0.5), "ms");
  snprintf (figure, sizeof figure, "%u slots, %s, p99", slots, name);
  bench_report (b, figure, bench_percentile (&s, 0.99), "ms");
  bench_end (&s);
}

/*
 * struct overload_counts - numbers of requests
 * @done: answered as done before the overload ended
 * @late: submitted more than 2 s after it, and not answered as done within 2 s
 * @refused_early: refused as overloaded on arrival
 */
struct overload_counts
{
  double done;
  double late;
  double refused_early;
};

static void
count_results (const struct world_gate *w, int64_t end,
               struct overload_counts *o)
{
  for (int i = 0; i < w->request_count; i++)
    {
      const struct wg_request *q = &w->requests[i];
      bool in_time = q->outcome == CFS_DONE
                     && q->answered_at - q->submitted_at < 2 * CFS_US_PER_S;

      o->done += q->outcome == CFS_DONE && q->answered_at < end;
      o->late += q->submitted_at > end + 2 * CFS_US_PER_S && !in_time;
      o->refused_early += q->code == CFS_CODE_OVERLOADED
                          && q->answered_at == q->submitted_at;
    }
}

/* Sends three times the capacity to the real gate for a minute, then half of
   the capacity.  Statements are slow so that the number of requests stays
   small. */
static void
run_overload (struct bench *b)
{
  enum
  {
    SLOW_SERVICE_US = 250000,
    OVERLOAD_S = 60,
    RECOVERY_S = 6
  };
  struct world_gate *w = wg_new (3, NULL);
  struct overload_counts o = { 0, 0, 0 };
  uint64_t seed = 5;
  double next_arrival = (double)w->now;
  int64_t end = w->now + OVERLOAD_S * CFS_US_PER_S;
  double capacity = SLOTS * 1e6 / SLOW_SERVICE_US;
  const struct cfs_gate_stats *stats = cfs_gate_stats (w->hosts[0].gate);

  w->service_us = SLOW_SERVICE_US;
  cfs_gate_configure (w->hosts[0].gate, WG_INSTANCES, true);
  while (w->now < end + RECOVERY_S * CFS_US_PER_S)
    {
      double rate = w->now < end ? 3 * capacity : 0.5 * capacity;

      while (next_arrival <= (double)w->now)
        {
          wg_submit (w, "w", CFS_WRITE, "", "", false, "", 4 * CFS_US_PER_S,
                     0);
          next_arrival += bench_exponential (&seed, 1e6 / rate);
        }
      wg_run (w, WG_STEP_US);
    }
  wg_run (w, 5 * CFS_US_PER_S);
  count_results (w, end, &o);
  bench_at_least (b, "goodput at 3 times the capacity, of capacity",
                  100 * o.done / (OVERLOAD_S * capacity), "%", 90);
  bench_at_most (b, "statements sent per request submitted",
                 (double)stats->sent / (double)stats->submitted, "", 1.1);
  bench_at_most (b, "late or failed 2 s after the overload", o.late,
                 "requests", 0);
  bench_report (b, "refused early, of all",
                100 * o.refused_early / w->request_count, "%");
  wg_free (w);
}

int
main (void)
{
  struct bench b = { "fair", 0 };
  double baseline_p99 = worst_p99 (FAIR_VIRTUAL_TIME, 1, 21);

  bench_report (&b, "worst p99, all teams within their rate", baseline_p99,
                "ms");
  bench_at_most (&b, "worst p99 beside a team at 8 times its rate, ratio",
                 worst_p99 (FAIR_VIRTUAL_TIME, 8, 21) / baseline_p99, "times",
                 1.5);
  bench_report (
      &b, "worst p99 beside a team at 8 times its rate, ratio, round robin",
      worst_p99 (FAIR_ROUND_ROBIN, 8, 21) / baseline_p99, "times");
  bench_report (
      &b, "worst p99 beside a team at 8 times its rate, ratio, first come",
      worst_p99 (FAIR_FIRST_COME, 8, 21) / baseline_p99, "times");
  for (unsigned slots = 2; slots <= 5; slots += 3)
    {
      compare_admission (&b, "gate admits the slots", slots, 1, slots);
      compare_admission (&b, "gate admits half more", slots, 1,
                         slots + (slots + 1) / 2);
      compare_admission (&b, "gate admits twice", slots, 1, slots * 2);
      compare_admission (&b, "gate admits all", slots, 1, 34);
      compare_admission (&b, "ten hosts, 3 each", slots, HOSTS, 3);
      compare_admission (&b, "ten hosts, 1 each", slots, HOSTS, 1);
    }
  run_overload (&b);
  return b.missed_bounds != 0;
}
