/*
 * A planned change of primary while an instance receives that has not
 * announced itself yet: a commit may be acknowledged by its receipt alone.
 */
#include "../../src/process/log.h"
#include "../world/seeds.h"
#include "../world/failover.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

static bool
run_seed (uint64_t seed)
{
  const char *fault;

  wf_start (seed);
  wf_run (3 * CFS_US_PER_S);
  wf_unregister (2);
  wf_drain (0);
  wf_run (5 * CFS_US_PER_S);
  fault = wf_violation ();
  wf_end ();
  return fault == NULL;
}

static void
no_acknowledged_commit_is_lost (void **state)
{
  (void)state;
  assert_int_equal (seeds_failed (run_seed), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (no_acknowledged_commit_is_lost) };

  cfs_log_open ("test", getenv ("TRACE") ? CFS_INFO : CFS_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
