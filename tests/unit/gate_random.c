/*
 * One group under random schedules: instances crash, pause or are
 * partitioned; gate hosts crash, pause or lose the control group; callers
 * retry writes with the same idempotency key.  Prints each seed that fails.
 */
#include "../world/gate.h"
#include "../world/seeds.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define EVENT_COUNT 25
#define DRIFT_MAX_PPM 8000

static void
random_request (struct world_gate *w, int n)
{
  char name[32];
  char key[32] = "";
  char session[16];
  uint64_t kind = cfs_random (&w->seed) % 10;

  snprintf (name, sizeof name, "r%d", n);
  snprintf (session, sizeof session, "s%d", n % 5);
  if (kind < 3)
    snprintf (key, sizeof key, "k%d", n);
  if (kind < 5)
    wg_submit (w, name, CFS_WRITE, key, session, kind == 4, "",
               3 * CFS_US_PER_S, 0);
  else if (kind == 5)
    wg_submit (w, name, CFS_BEGIN, "", session, false, "", 2 * CFS_US_PER_S,
               0);
  else
    wg_submit (w, name, CFS_READ, "", session, false, "", 2 * CFS_US_PER_S,
               kind == 6 ? 200000 : 5 * CFS_US_PER_S);
}

/* Continues open transactions and retries writes with an idempotency key
   whose outcome is not CFS_DONE. */
static void
continue_callers (struct world_gate *w)
{
  int count = w->request_count;

  for (int i = 0; i < count; i++)
    {
      struct wg_request *q = &w->requests[i];

      if (!q->answered || !q->used || w->request_count > WG_REQUESTS - 64)
        continue;
      if (q->request.kind == CFS_BEGIN && q->outcome == CFS_DONE)
        {
          q->used = false;
          wg_submit (w, "stmt", CFS_STATEMENT, "", q->session, false,
                     q->request.transaction, CFS_US_PER_S, 0);
        }
      else if (q->request.kind == CFS_STATEMENT && q->outcome == CFS_DONE)
        {
          q->used = false;
          wg_submit (
              w, "end", cfs_random (&w->seed) % 4 ? CFS_COMMIT : CFS_ROLLBACK,
              "", q->session, false, q->request.transaction, CFS_US_PER_S, 0);
        }
      else if (*q->request.key && q->outcome != CFS_DONE
               && !q->request.send_once && cfs_random (&w->seed) % 2)
        {
          q->used = false;
          wg_resend (w, i);
        }
    }
}

static void
random_event (struct world_gate *w)
{
  unsigned i = (unsigned)(cfs_random (&w->seed) % WG_INSTANCES);
  unsigned h = (unsigned)(cfs_random (&w->seed) % WG_HOSTS);

  switch (cfs_random (&w->seed) % 12)
    {
    case 0:
      wg_kill (w, i);
      break;
    case 1:
      wg_start (w, i);
      break;
    case 2:
      w->inst[i].frozen = !w->inst[i].frozen;
      break;
    case 3:
      w->inst[i].isolated = !w->inst[i].isolated;
      break;
    case 4:
      w->inst[i].cut[h] = !w->inst[i].cut[h];
      break;
    case 5:
      w->hosts[h].frozen = !w->hosts[h].frozen;
      break;
    case 6:
      w->hosts[h].cut_control = !w->hosts[h].cut_control;
      break;
    case 7:
      wg_host_kill (w, h);
      break;
    case 8:
      wg_host_start (w, h);
      break;
    case 9:
      w->inst[i].leaving = !w->inst[i].leaving;
      break;
    default:
      wg_heal (w);
      break;
    }
}

static bool
run_seed (uint64_t seed)
{
  struct world_gate *w = wg_new (seed, getenv ("TRACE") ? stdout : NULL);
  const char *violation;
  int n = 0;

  for (unsigned i = 0; i < WG_HOSTS; i++)
    w->hosts[i].drift_ppm = (int)(cfs_random (&w->seed) % DRIFT_MAX_PPM);
  w->inst[2].lag_us = seed % 4 ? 50000 : 2 * CFS_US_PER_S;
  for (int e = 0; e < EVENT_COUNT && !*w->violation; e++)
    {
      random_event (w);
      for (int k = 0; k < 12; k++)
        {
          random_request (w, n++);
          wg_run (w, (int64_t)(cfs_random (&w->seed) % 60000));
          continue_callers (w);
        }
    }
  wg_heal (w);
  for (unsigned i = 0; i < WG_INSTANCES; i++)
    w->inst[i].leaving = false;
  wg_run (w, 10 * CFS_US_PER_S);
  violation = wg_check (w);
  if (!violation && !cfs_gate_serving (w->hosts[w->holder].gate, w->now))
    violation = "writes are not served after healing";
  if (violation)
    printf ("seed %llu: %s\n", (unsigned long long)seed, violation);
  wg_free (w);
  return !violation;
}

static void
guarantees_hold_under_random_schedules (void **state)
{
  (void)state;
  assert_int_equal (seeds_failed (run_seed), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (guarantees_hold_under_random_schedules) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
