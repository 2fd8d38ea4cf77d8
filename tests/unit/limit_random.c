/*
 * The limiter of one team under random schedules: hosts and limiters fail,
 * messages are lost, delayed and duplicated, demand is up to eight times the
 * rate.  In every window of t seconds at most burst + rate * t operations may
 * be admitted.
 */
#include "../world/limit.h"
#include "../world/seeds.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define ROUNDS 60

static bool
run_seed (uint64_t seed)
{
  struct world_limit *w = cfs_alloc (sizeof *w);
  double rate = 20 + (double)(seed % 7) * 50;
  bool ok;

  wl_init (w, seed, rate, rate * (0.1 + (double)(seed % 5) * 0.3));
  w->loss_percent = (int)(seed % 10);
  w->duplicate_percent = 10;
  w->jitter_us = seed % 3 ? 2000 : 60000;
  for (int i = 0; i < ROUNDS; i++)
    {
      unsigned host = (unsigned)(cfs_random (&w->seed) % WL_HOSTS);
      int arrivals = (int)(cfs_random (&w->seed) % (uint64_t)(rate * 0.8));

      if (cfs_random (&w->seed) % 6 == 0 && host)
        wl_kill (w, host);
      else if (cfs_random (&w->seed) % 20 == 0 && w->alive[1])
        wl_kill (w, w->limiter);
      else if (cfs_random (&w->seed) % 10 == 0)
        wl_cut (w);
      else
        wl_start (w, host);
      wl_start (w, 1);
      for (int k = 0; k < arrivals; k++)
        wl_arrive (w, (unsigned)(cfs_random (&w->seed) % WL_HOSTS),
                   2 * CFS_US_PER_S);
      wl_run (w, (int64_t)(cfs_random (&w->seed) % 200000));
    }
  ok = w->admitted_over_bound == 0 && w->admitted > 0;
  if (!ok)
    printf ("seed %llu: %llu of %llu admitted operations exceed the limit\n",
            (unsigned long long)seed,
            (unsigned long long)w->admitted_over_bound,
            (unsigned long long)w->admitted);
  wl_end (w);
  free (w);
  return ok;
}

static void
admission_stays_within_rate_and_burst (void **state)
{
  (void)state;
  assert_int_equal (seeds_failed (run_seed), 0);
}

/* Number of admitted operations and id of the last token request. */
struct admission_record
{
  unsigned admitted;
  uint64_t request_id;
};

static void
record_token_request (void *ctx, const char *team, uint64_t id, uint32_t count)
{
  (void)team;
  (void)count;
  ((struct admission_record *)ctx)->request_id = id;
}

static void
count_admitted (void *ctx, struct cfs_request *r)
{
  (void)r;
  ((struct admission_record *)ctx)->admitted++;
}

static void
ignore_refusal (void *ctx, struct cfs_request *r, enum cfs_code code)
{
  (void)ctx;
  (void)r;
  (void)code;
}

static void
a_duplicate_or_expired_grant_is_ignored (void **state)
{
  static const struct cfs_admit_ops ops
      = { record_token_request, count_admitted, ignore_refusal };
  struct admission_record c = { 0, 0 };
  struct cfs_request r[4] = { { .team = "a", .deadline = CFS_NEVER } };
  struct cfs_admit a;
  uint64_t first;

  (void)state;
  cfs_admit_init (&a, &ops, &c);
  for (int i = 0; i < 4; i++)
    {
      r[i] = r[0];
      cfs_admit_submit (&a, &r[i], 10, 10, 0);
    }
  first = c.request_id;
  cfs_admit_granted (&a, "a", first, 1, 0, 1000);
  assert_int_equal (c.admitted, 1);
  cfs_admit_granted (&a, "a", first, 1, 0, 2000);
  assert_int_equal (c.admitted, 1);
  cfs_admit_granted (&a, "a", c.request_id, 1, 0, 1000 + GRANT_LIFE_US);
  assert_int_equal (c.admitted, 1);
  cfs_admit_end (&a);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (admission_stays_within_rate_and_burst),
          cmocka_unit_test (a_duplicate_or_expired_grant_is_ignored) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
