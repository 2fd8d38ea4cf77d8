/*
 * Changes of primary under random schedules: instances that crash, fall
 * behind or cannot be reached, orders that are lost or carried out late,
 * leaders that change in the middle.  No acknowledged commit may be missing
 * in the log of an instance that is made primary, and once all is calm an
 * instance leads.
 */
#include "../../src/process/log.h"
#include "../world/seeds.h"
#include "../world/failover.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

/* Time from a dead primary to the next, with the control group whole. */
#define FAILOVER_MAX_US (4 * CFS_US_PER_S)

static void
acknowledged_commits_survive_random_failovers (void **state)
{
  (void)state;
  assert_int_equal (seeds_failed (wf_run_seed), 0);
}

static void
a_failed_primary_is_replaced_in_time (void **state)
{
  (void)state;
  wf_start (3);
  wf_run (5 * CFS_US_PER_S);
  assert_int_equal (wf_failover_count (), 0);
  wf_kill (0);
  wf_run (FAILOVER_MAX_US);
  assert_int_equal (wf_failover_count (), 1);
  assert_null (wf_violation ());
  wf_end ();
}

/* One replica is out of reach: it may hold the only copy of a commit. */
static void
no_promotion_while_a_replica_is_unreachable (void **state)
{
  (void)state;
  wf_start (4);
  wf_run (5 * CFS_US_PER_S);
  wf_cut (1, true);
  wf_kill (0);
  wf_run (8 * CFS_US_PER_S);
  assert_int_equal (wf_failover_count (), 0);
  wf_cut (1, false);
  wf_run (3 * CFS_US_PER_S);
  assert_int_equal (wf_failover_count (), 1);
  assert_null (wf_violation ());
  wf_end ();
}

/* It answers the control leader and has as much as any other. */
static void
a_primary_that_hosts_suspect_is_replaced (void **state)
{
  (void)state;
  wf_start (6);
  wf_run (5 * CFS_US_PER_S);
  wf_suspect (0);
  wf_run (FAILOVER_MAX_US);
  assert_in_range (wf_primary (), 1, 2);
  assert_null (wf_violation ());
  wf_end ();
}

static void
an_older_instance_at_the_same_address_is_removed (void **state)
{
  Cfs__Target t = CFS__TARGET__INIT;
  const struct cfs_target *old;

  (void)state;
  wf_start (5);
  t.id = (char *)"t9";
  t.service = (char *)"db";
  t.address = (char *)"10.0.0.2:1";
  t.zone = (char *)"z";
  t.born = 2;
  t.sequence = 1;
  assert_true (cfs_targets_apply (&wf_state ()->targets, &t, 50));
  old = cfs_table_find (&wf_state ()->targets, "t2");
  assert_true (old->gone);
  t.id = (char *)"t2";
  t.born = 1;
  t.sequence = 1;
  assert_false (cfs_targets_apply (&wf_state ()->targets, &t, 51));
  wf_end ();
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (an_older_instance_at_the_same_address_is_removed),
          cmocka_unit_test (a_failed_primary_is_replaced_in_time),
          cmocka_unit_test (a_primary_that_hosts_suspect_is_replaced),
          cmocka_unit_test (no_promotion_while_a_replica_is_unreachable),
          cmocka_unit_test (acknowledged_commits_survive_random_failovers) };

  cfs_log_open ("test", getenv ("TRACE") ? CFS_INFO : CFS_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
