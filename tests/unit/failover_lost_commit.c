/*
 * Ways in which a commit that a host has passed on as acknowledged can be
 * missing at the next primary: a replica that counts as paused receives the
 * log, a former primary goes on while the promotion of another is on its way,
 * or an instance counts with a log that it no longer has.
 */
#include "../../src/process/log.h"
#include "../world/failover.h"
#include "../world/seeds.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define SEEDS 10
#define STEP_US (10 * CFS_US_PER_MS)
/* A primary that does not reply is replaced soon after this time. */
#define PRIMARY_LOST_US (3200 * CFS_US_PER_MS)
/* A replica announces itself within this time. */
#define ANNOUNCE_MAX_US (1200 * CFS_US_PER_MS)
/* Time in which a failover requests a promotion, also one without a reply from
   the primary. */
#define REQUEST_MAX_US (6 * CFS_US_PER_S)
/* Less than the time after which a request without a result is repeated. */
#define IN_FLIGHT_US (300 * CFS_US_PER_MS)
/* A change of primary is over within this time. */
#define FAILOVER_MAX_US (18 * CFS_US_PER_S)
/* Time from the execution of a request to the change of primary. */
#define PROMOTE_US (600 * CFS_US_PER_MS)

static void
start (uint64_t seed)
{
  wf_start (seed);
  wf_run (5 * CFS_US_PER_S);
}

/* Returns whether no commit was lost. */
static bool
end (uint64_t seed)
{
  const char *violation = wf_violation ();

  if (violation)
    printf ("seed %llu: %s\n", (unsigned long long)seed, violation);
  wf_end ();
  return !violation;
}

/* Returns the instance that the next promotion request is for, or -1. */
static int
wait_for_request (void)
{
  for (int64_t t = 0; t < REQUEST_MAX_US && wf_held_promotion () < 0;
       t += STEP_US)
    wf_run (STEP_US);
  return wf_held_promotion ();
}

static void
wait_for_pause (unsigned instance)
{
  for (int64_t t = 0; t < REQUEST_MAX_US && !wf_paused (instance);
       t += STEP_US)
    wf_run (STEP_US);
  assert_true (wf_paused (instance));
}

/* Starts a failover in which the former primary is to lead again; the request
   for it is held, and one host learns nothing of the failover. */
static void
start_with_a_held_request_for_the_former_primary (uint64_t seed)
{
  start (seed);
  wf_cut_host (0, true);
  wf_hold_promotions (true);
  wf_cut_from_leader (1, true);
  wf_cut_replication (0, true);
  wf_run (5 * STEP_US);
  wf_drain (0);
  assert_int_equal (wait_for_request (), 0);
  wf_cut_from_leader (0, true);
}

static bool
run_when_a_late_promotion_ends_a_pause (uint64_t seed)
{
  start_with_a_held_request_for_the_former_primary (seed);
  wf_cut_replication (0, false);
  wf_run (2 * CFS_US_PER_S);
  wf_carry_out (0);
  wf_hold_promotions (false);
  wf_run (PROMOTE_US);
  wf_cut_from_leader (1, false);
  wf_run (REQUEST_MAX_US);
  return end (seed);
}

static void
no_commit_is_lost_when_a_late_promotion_ends_a_pause (void **state)
{
  (void)state;
  assert_int_equal (
      seeds_failed_up_to (SEEDS, run_when_a_late_promotion_ends_a_pause), 0);
}

static bool
run_when_a_late_resume_ends_a_pause (uint64_t seed)
{
  start (seed);
  wf_cut_from_leader (0, true);
  wf_cut_from_leader (1, true);
  wf_suspect (0, true);
  wait_for_pause (2);
  wf_hold_orders (2, true);
  wf_suspect (0, false);
  wf_cut_from_leader (0, false);
  wf_run (6 * CFS_US_PER_S);
  wf_hold_orders (2, false);
  wf_cut_from_leader (0, true);
  wf_run (5 * CFS_US_PER_S);
  wf_carry_out_orders (2);
  wf_run (CFS_US_PER_S);
  wf_cut_from_leader (1, false);
  wf_run (REQUEST_MAX_US);
  return end (seed);
}

static void
no_commit_is_lost_when_a_late_resume_ends_a_pause (void **state)
{
  (void)state;
  assert_int_equal (
      seeds_failed_up_to (SEEDS, run_when_a_late_resume_ends_a_pause), 0);
}

/* A RESUME at the end of one failover is carried out in the next one. */
static void
a_replica_whose_pause_has_ended_is_paused_again (void **state)
{
  (void)state;
  start (1);
  wf_kill (0);
  wait_for_pause (2);
  wf_hold_orders (2, true);
  wf_run (REQUEST_MAX_US);
  assert_int_equal (wf_primary (), 1);
  wf_hold_orders (2, false);
  wf_cut_from_leader (1, true);
  wait_for_pause (2);
  wf_carry_out_orders (2);
  wf_run (STEP_US);
  assert_false (wf_paused (2));
  wf_run (CFS_US_PER_S);
  assert_true (wf_paused (2));
  wf_end ();
}

static bool
run_when_a_restart_ends_a_pause (uint64_t seed)
{
  int candidate;

  start (seed);
  wf_hold_promotions (true);
  wf_cut_from_leader (0, true);
  candidate = wait_for_request ();
  assert_in_range (candidate, 1, 2);
  wf_revive (3 - (unsigned)candidate);
  wf_run (IN_FLIGHT_US);
  wf_carry_out ((unsigned)candidate);
  wf_run (PROMOTE_US);
  return end (seed);
}

static void
no_commit_is_lost_when_a_restart_ends_a_pause (void **state)
{
  (void)state;
  assert_int_equal (
      seeds_failed_up_to (SEEDS, run_when_a_restart_ends_a_pause), 0);
}

static bool
run_when_a_pause_has_no_effect (uint64_t seed)
{
  int candidate;

  start (seed);
  wf_cut_replication (2, true);
  wf_run (10 * STEP_US);
  wf_kill (0);
  wf_run (REQUEST_MAX_US);
  assert_int_equal (wf_primary (), 1);
  wf_cut_replication (0, true);
  wf_revive (0);
  wf_run (CFS_US_PER_S);
  wf_cut_from_leader (1, true);
  wf_change_leader ();
  wf_hold_promotions (true);
  candidate = wait_for_request ();
  wf_cut_replication (candidate == 2 ? 0 : 2, false);
  wf_run (IN_FLIGHT_US);
  if (candidate >= 0)
    wf_carry_out ((unsigned)candidate);
  wf_run (PROMOTE_US);
  return end (seed);
}

static void
no_commit_is_lost_when_a_pause_has_no_effect (void **state)
{
  (void)state;
  assert_int_equal (seeds_failed_up_to (SEEDS, run_when_a_pause_has_no_effect),
                    0);
}

static bool
run_when_the_former_primary_is_promoted_late (uint64_t seed)
{
  int candidate = 0;

  start_with_a_held_request_for_the_former_primary (seed);
  wf_cut_from_leader (1, false);
  for (int64_t t = 0; t < REQUEST_MAX_US && candidate == 0; t += STEP_US)
    {
      wf_run (STEP_US);
      candidate = wf_held_promotion ();
    }
  assert_in_range (candidate, 1, 2);
  wf_cut_replication (0, false);
  wf_cut_replication ((unsigned)candidate, true);
  wf_carry_out (0);
  wf_run (PROMOTE_US + IN_FLIGHT_US);
  wf_carry_out ((unsigned)candidate);
  wf_run (PROMOTE_US);
  return end (seed);
}

static void
no_commit_is_lost_when_the_former_primary_is_promoted_late (void **state)
{
  (void)state;
  assert_int_equal (
      seeds_failed_up_to (SEEDS, run_when_the_former_primary_is_promoted_late),
      0);
}

static bool
run_with_a_replica_that_is_not_known (uint64_t seed)
{
  struct cfs_target known;

  start (seed);
  known = *(struct cfs_target *)cfs_table_find (&wf_state ()->targets, "t3");
  known.sequence++;
  wf_cut_from_leader (0, true);
  wf_run (PRIMARY_LOST_US);
  wf_unregister (2);
  wf_run (ANNOUNCE_MAX_US);
  wf_report (&known, true);
  wf_run (REQUEST_MAX_US);
  return end (seed);
}

static void
no_commit_is_lost_with_a_replica_that_is_not_known (void **state)
{
  (void)state;
  assert_int_equal (
      seeds_failed_up_to (SEEDS, run_with_a_replica_that_is_not_known), 0);
}

static bool
run_when_a_primary_returns_without_its_log (uint64_t seed)
{
  start (seed);
  wf_cut_replication (2, true);
  wf_run (10 * STEP_US);
  wf_cut (1, true);
  wf_change_leader ();
  wf_restart_empty (0);
  wf_run (FAILOVER_MAX_US);
  return end (seed);
}

static void
no_commit_is_lost_when_a_primary_returns_without_its_log (void **state)
{
  (void)state;
  assert_int_equal (
      seeds_failed_up_to (SEEDS, run_when_a_primary_returns_without_its_log),
      0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (no_commit_is_lost_when_a_late_promotion_ends_a_pause),
    cmocka_unit_test (no_commit_is_lost_when_a_late_resume_ends_a_pause),
    cmocka_unit_test (a_replica_whose_pause_has_ended_is_paused_again),
    cmocka_unit_test (no_commit_is_lost_when_a_restart_ends_a_pause),
    cmocka_unit_test (no_commit_is_lost_when_a_pause_has_no_effect),
    cmocka_unit_test (
        no_commit_is_lost_when_the_former_primary_is_promoted_late),
    cmocka_unit_test (no_commit_is_lost_with_a_replica_that_is_not_known),
    cmocka_unit_test (no_commit_is_lost_when_a_primary_returns_without_its_log)
  };

  cfs_log_open ("test", getenv ("TRACE") ? CFS_INFO : CFS_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
