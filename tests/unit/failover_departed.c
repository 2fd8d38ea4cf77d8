/*
 * Failovers after a target has departed.  A commit is acknowledged once one
 * replica has it, and that replica may be gone when the primary fails.  No
 * target may be promoted that lacks such a commit, and a service must go on
 * where the commits of the departed target are shown to be elsewhere.  A test
 * that changes the leader takes from it the positions that it has seen at the
 * primary, which otherwise prevent most of these losses as well.
 */
#include "../../src/process/log.h"
#include "../world/failover.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

/* Time in which a planned failover has ended. */
#define PLANNED_US (3 * CFS_US_PER_S)
/* Time in which the control leader finds that a process has ended, and shows
   that its commits are elsewhere. */
#define PROOF_US (1500 * CFS_US_PER_MS)
/* Maximum time from the failure of a primary to the promotion of the next. */
#define FAILOVER_MAX_US (4 * CFS_US_PER_S)
/* Interval between the leader's queries to a primary, and a part of it. */
#define QUERY_INTERVAL_US (300 * CFS_US_PER_MS)
#define STEP_US (10 * CFS_US_PER_MS)
/* Time from the promotion of a draining instance to that of one that stays:
   before hosts stop to use it, and less on average than the usual pause
   between two failovers. */
#define HAND_OVER_MAX_US (6 * CFS_US_PER_S)
#define HAND_OVER_MEAN_US (1500 * CFS_US_PER_MS)
#define HAND_OVER_SEEDS 50
#define CUT_BEFORE_LEAVE_US (60 * CFS_US_PER_MS)
/* Time without a promotion after which none is expected any more. */
#define NO_FAILOVER_US (8 * CFS_US_PER_S)

/* Replaces the first instance, which drains, by another and returns the index
   of that one. */
static unsigned
start_with_a_draining_former_primary (void)
{
  wf_start (4);
  wf_withhold_positions ();
  wf_run (3 * CFS_US_PER_S);
  wf_drain (0);
  wf_run (PLANNED_US);
  assert_in_range (wf_primary (), 1, 2);
  return (unsigned)wf_primary ();
}

static void
leave (unsigned instance, const char *id)
{
  assert_true (wf_leave (id, 0));
  wf_exit (instance);
}

static void
check_goes_on (void)
{
  uint64_t before = wf_acknowledged ();

  wf_run (2 * CFS_US_PER_S);
  assert_true (wf_acknowledged () > before);
  assert_null (wf_violation ());
  wf_end ();
}

/* LOST: the former primary drained as a replica, was the only one that
   received the commits of the new primary, and left. */
static void
commits_of_a_replica_that_left_are_not_lost (void **state)
{
  unsigned primary = start_with_a_draining_former_primary ();
  unsigned other = 3 - primary;

  (void)state;
  wf_cut_replication (other, true);
  wf_run (CFS_US_PER_S);
  leave (0, "t1");
  wf_run (PROOF_US);
  wf_kill (primary);
  wf_run (NO_FAILOVER_US);
  assert_int_equal (wf_primary (), primary);
  assert_null (wf_violation ());
  wf_cut_replication (other, false);
  wf_revive (primary);
  wf_run (FAILOVER_MAX_US);
  check_goes_on ();
}

/* The other replica stops to receive the log shortly before, @early_us after
   any query of the leader. */
static void
leave_shortly_after_a_cut (int64_t early_us)
{
  unsigned primary = start_with_a_draining_former_primary ();

  wf_run (early_us);
  wf_cut_replication (3 - primary, true);
  wf_run (CUT_BEFORE_LEAVE_US);
  leave (0, "t1");
  wf_run (PROOF_US);
  wf_kill (primary);
  wf_change_leader ();
  wf_run (FAILOVER_MAX_US);
  assert_null (wf_violation ());
  wf_end ();
}

/* LOST: a position that the primary had before the replica ended took the
   place of one that it had afterwards. */
static void
a_position_from_before_the_end_proves_nothing (void **state)
{
  (void)state;
  for (int64_t early = 0; early < QUERY_INTERVAL_US; early += STEP_US)
    leave_shortly_after_a_cut (early);
}

/* LOST: the same with a new control leader, which has not seen that the
   replica left. */
static void
a_new_leader_assumes_that_nothing_is_shown (void **state)
{
  unsigned primary = start_with_a_draining_former_primary ();

  (void)state;
  wf_cut_replication (3 - primary, true);
  wf_run (CFS_US_PER_S);
  leave (0, "t1");
  wf_run (PROOF_US);
  wf_kill (primary);
  wf_change_leader ();
  wf_run (NO_FAILOVER_US);
  assert_int_equal (wf_primary (), primary);
  assert_null (wf_violation ());
  wf_end ();
}

static void
a_replica_that_left_delays_no_failover (void **state)
{
  unsigned primary = start_with_a_draining_former_primary ();

  (void)state;
  leave (0, "t1");
  wf_run (PROOF_US);
  wf_kill (primary);
  wf_run (FAILOVER_MAX_US);
  assert_int_equal (wf_primary (), 3 - primary);
  wf_revive (primary);
  check_goes_on ();
}

/* The proof of a departure survives the control leader that made it. */
static void
a_new_leader_knows_what_is_shown (void **state)
{
  unsigned primary = start_with_a_draining_former_primary ();

  (void)state;
  leave (0, "t1");
  wf_run (PROOF_US);
  wf_kill (primary);
  wf_change_leader ();
  wf_run (FAILOVER_MAX_US);
  assert_int_equal (wf_primary (), 3 - primary);
  wf_revive (primary);
  check_goes_on ();
}

/* LOST: the primary itself left, and one of the two others, which alone had
   its last commits, could not be queried. */
static void
commits_of_a_primary_that_left_are_not_lost (void **state)
{
  (void)state;
  wf_start (4);
  wf_withhold_positions ();
  wf_run (3 * CFS_US_PER_S);
  wf_cut_replication (1, true);
  wf_run (CFS_US_PER_S);
  wf_cut_from_leader (2, true);
  leave (0, "t1");
  wf_run (NO_FAILOVER_US);
  assert_int_equal (wf_failover_count (), 0);
  wf_cut_from_leader (2, false);
  wf_run (FAILOVER_MAX_US);
  assert_int_equal (wf_primary (), 2);
  wf_cut_replication (1, false);
  check_goes_on ();
}

/* LOST: a replica that stopped to report went on to receive the log. */
static void
commits_of_a_silent_replica_are_not_lost (void **state)
{
  (void)state;
  wf_start (4);
  wf_withhold_positions ();
  wf_run (3 * CFS_US_PER_S);
  wf_cut_from_leader (1, true);
  wf_drop (1);
  wf_run (NO_FAILOVER_US);
  wf_cut_replication (2, true);
  wf_run (CFS_US_PER_S);
  wf_kill (0);
  wf_change_leader ();
  wf_run (NO_FAILOVER_US);
  assert_int_equal (wf_failover_count (), 0);
  assert_null (wf_violation ());
  wf_end ();
}

/* A silent replica whose process has ended, and whose commits another replica
   has, delays no failover. */
static void
a_silent_replica_that_ended_delays_no_failover (void **state)
{
  (void)state;
  wf_start (4);
  wf_withhold_positions ();
  wf_run (3 * CFS_US_PER_S);
  wf_exit (1);
  wf_drop (1);
  wf_run (PROOF_US);
  wf_kill (0);
  wf_run (FAILOVER_MAX_US);
  assert_int_equal (wf_primary (), 2);
  assert_null (wf_violation ());
  wf_end ();
}

/* LOST: a replica that had not announced itself yet had the only copy of
   commits whose position the leader had seen at the primary. */
static void
no_promotion_below_a_position_seen_at_the_primary (void **state)
{
  (void)state;
  wf_start (4);
  wf_withhold_positions ();
  wf_run (3 * CFS_US_PER_S);
  wf_unregister (2);
  wf_cut_replication (1, true);
  wf_run (2 * CFS_US_PER_S);
  wf_kill (0);
  wf_run (NO_FAILOVER_US);
  assert_int_equal (wf_failover_count (), 0);
  assert_null (wf_violation ());
  wf_cut_replication (1, false);
  wf_revive (0);
  wf_run (FAILOVER_MAX_US);
  check_goes_on ();
}

/* Status queries occupy a slot. */
static void
no_status_is_queried_while_nothing_departs (void **state)
{
  unsigned before;

  (void)state;
  wf_start (4);
  wf_withhold_positions ();
  wf_run (5 * CFS_US_PER_S);
  wf_change_leader ();
  wf_run (5 * CFS_US_PER_S);
  assert_int_equal (wf_status_queries (), 0);
  assert_true (wf_leave ("t2", 0));
  wf_exit (1);
  wf_run (5 * CFS_US_PER_S);
  before = wf_status_queries ();
  assert_in_range (before, 1, 2);
  wf_run (10 * CFS_US_PER_S);
  assert_int_equal (wf_status_queries (), before);
  wf_end ();
}

/* A replica on a machine that is gone for good shows nothing of its end; an
   operator says that it has left. */
static void
an_operator_removes_a_silent_replica (void **state)
{
  (void)state;
  wf_start (4);
  wf_withhold_positions ();
  wf_run (3 * CFS_US_PER_S);
  wf_kill (1);
  wf_drop (1);
  wf_run (NO_FAILOVER_US);
  assert_true (
      cfs_target_is_unproven (cfs_table_find (&wf_state ()->targets, "t2")));
  assert_true (wf_leave ("t2", 0));
  wf_run (NO_FAILOVER_US);
  wf_kill (0);
  wf_run (FAILOVER_MAX_US);
  assert_int_equal (wf_primary (), 2);
  assert_null (wf_violation ());
  wf_end ();
}

/* The failover waited for targets that cannot come back. */
static void
a_service_goes_on_when_all_others_have_left (void **state)
{
  (void)state;
  wf_start (4);
  wf_withhold_positions ();
  wf_run (3 * CFS_US_PER_S);
  leave (2, "t3");
  assert_true (wf_leave ("t1", 0));
  wf_run (CFS_US_PER_MS * 100);
  wf_exit (0);
  wf_run (NO_FAILOVER_US);
  assert_int_equal (wf_primary (), 1);
  assert_null (wf_violation ());
  wf_end ();
}

/* A failover ends only when the instance that it chose is the primary.  @open:
   whether it was open at the last call */
static void
check_end_of_failover (bool *open)
{
  const struct cfs_failover *f
      = cfs_table_find (&wf_state ()->failovers, "db");

  if (*open && !f->open)
    assert_int_equal (wf_primary (), f->target[1] - '1');
  *open = f && f->open;
}

/* Returns the time from the promotion of a draining instance, which alone has
   the last commits, to that of one that stays. */
static int64_t
hand_over (uint64_t seed)
{
  int64_t took = 0;
  bool open = false;

  wf_start (seed);
  wf_run (3 * CFS_US_PER_S);
  wf_cut_replication (2, true);
  wf_run (CFS_US_PER_S);
  wf_drain (1);
  wf_kill (0);
  while (wf_primary () != 1)
    wf_run (STEP_US);
  wf_cut_replication (2, false);
  for (; wf_primary () != 2 && took < HAND_OVER_MAX_US; took += STEP_US)
    {
      wf_run (STEP_US);
      check_end_of_failover (&open);
    }
  assert_int_equal (wf_primary (), 2);
  wf_revive (0);
  check_goes_on ();
  return took;
}

/* The failover was closed before the draining instance was the primary, which
   then became it after it had been demoted for the next failover. */
static void
a_draining_source_of_the_log_hands_over (void **state)
{
  int64_t sum = 0;

  (void)state;
  for (uint64_t seed = 1; seed <= HAND_OVER_SEEDS; seed++)
    sum += hand_over (seed);
  assert_true (sum <= HAND_OVER_SEEDS * HAND_OVER_MEAN_US);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (commits_of_a_replica_that_left_are_not_lost),
          cmocka_unit_test (a_position_from_before_the_end_proves_nothing),
          cmocka_unit_test (a_new_leader_assumes_that_nothing_is_shown),
          cmocka_unit_test (a_replica_that_left_delays_no_failover),
          cmocka_unit_test (a_new_leader_knows_what_is_shown),
          cmocka_unit_test (commits_of_a_primary_that_left_are_not_lost),
          cmocka_unit_test (commits_of_a_silent_replica_are_not_lost),
          cmocka_unit_test (a_silent_replica_that_ended_delays_no_failover),
          cmocka_unit_test (an_operator_removes_a_silent_replica),
          cmocka_unit_test (a_service_goes_on_when_all_others_have_left),
          cmocka_unit_test (no_promotion_below_a_position_seen_at_the_primary),
          cmocka_unit_test (a_draining_source_of_the_log_hands_over),
          cmocka_unit_test (no_status_is_queried_while_nothing_departs) };

  cfs_log_open ("test", getenv ("TRACE") ? CFS_INFO : CFS_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
