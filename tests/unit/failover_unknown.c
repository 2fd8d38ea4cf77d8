/*
 * Planned failover while a replica that has not announced itself yet receives
 * the log.  The primary may acknowledge a commit that only this replica has
 * received, so promoting the other one would lose the commit.
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
  const char *violation;

  wf_start (seed);
  wf_withhold_positions ();
  wf_run (3 * CFS_US_PER_S);
  wf_unregister (2);
  wf_drain (0);
  wf_run (5 * CFS_US_PER_S);
  violation = wf_violation ();
  wf_end ();
  return violation == NULL;
}

static void
planned_failover_keeps_acknowledged_commits (void **state)
{
  (void)state;
  assert_int_equal (seeds_failed (run_seed), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (planned_failover_keeps_acknowledged_commits) };

  cfs_log_open ("test", getenv ("TRACE") ? CFS_INFO : CFS_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
