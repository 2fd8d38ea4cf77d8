/*
 * Reports and leaves that do not come from the instance they seem to speak
 * of: of another writer, or of an earlier incarnation, delayed on their way.
 * They must not hide an instance that runs, because a failover compares the
 * logs of the instances that it knows.
 */
#include "../../src/process/log.h"
#include "../world/failover.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

#define SERVICE "db"
/* Time to find that the claimed primary does not reply, and a failover. */
#define CLAIM_REFUTED_US (5 * CFS_US_PER_S)
/* Time in which a departure is proven. */
#define DEPARTURE_PROVEN_US (2 * CFS_US_PER_S)

/* Report of an instance at the address of the second instance of the
   simulation. */
static struct cfs_target
make_report (const char *id, const char *service, uint64_t incarnation)
{
  struct cfs_target t = { .slots = 1, .incarnation = incarnation };

  cfs_copy (t.id, sizeof t.id, id);
  cfs_copy (t.service, sizeof t.service, service);
  cfs_copy (t.address, sizeof t.address, "10.0.0.2:1");
  cfs_copy (t.zone, sizeof t.zone, "z");
  t.sequence = 1;
  return t;
}

/* Runs the simulation until the primary and the second instance hold commits
   that the third one lacks. */
static void
start_with_a_replica_behind (void)
{
  wf_start (4);
  wf_withhold_positions ();
  wf_run (3 * CFS_US_PER_S);
  wf_cut_replication (2, true);
  wf_run (CFS_US_PER_S);
}

/* Stops the primary and checks that the second instance takes over. */
static void
check_failover (void)
{
  wf_kill (0);
  wf_run (8 * CFS_US_PER_S);
  assert_null (wf_violation ());
  assert_int_equal (wf_primary (), 1);
  wf_end ();
}

/* LOST: the replica with all commits was taken for replaced, and the other one
   was promoted. */
static void
a_report_for_another_service_hides_no_replica (void **state)
{
  struct cfs_target t = make_report ("agent-7", "backup-agent", 5);

  (void)state;
  start_with_a_replica_behind ();
  assert_int_equal (wf_report (&t, false), REPORT_FOREIGN);
  check_failover ();
}

/* LOST: the same, with the id of the replica itself. */
static void
a_report_moves_no_instance_to_another_service (void **state)
{
  struct cfs_target t = make_report ("t2", "backup-agent", 5);

  (void)state;
  start_with_a_replica_behind ();
  assert_int_equal (wf_report (&t, false), REPORT_FOREIGN);
  check_failover ();
}

/* LOST: the leave of an earlier boot came after the next one had started, and
   ended that one. */
static void
a_late_leave_ends_no_later_incarnation (void **state)
{
  struct cfs_target t = make_report ("t2", SERVICE, 2);

  (void)state;
  start_with_a_replica_behind ();
  assert_int_equal (wf_report (&t, true), REPORT_CURRENT);
  assert_false (wf_leave ("t2", 1));
  check_failover ();
}

/* LOST: the delayed report was taken for a replica that runs, whose commits
   need no proof. */
static void
a_late_report_reinstates_no_target_whose_address_is_taken (void **state)
{
  struct cfs_target late = make_report ("t2", SERVICE, 1);
  struct cfs_target next = make_report ("t9", SERVICE, 2);
  struct cfs_table *targets;
  const struct cfs_target *known;
  Cfs__Target m;

  (void)state;
  wf_start (4);
  wf_withhold_positions ();
  targets = &wf_state ()->targets;
  assert_int_equal (wf_report (&next, true), REPORT_CURRENT);
  known = cfs_table_find (targets, "t2");
  assert_true (known->gone);
  late.sequence = 7;
  assert_int_equal (wf_report (&late, true), REPORT_OUTDATED);
  cfs_target_to_message (&late, &m);
  assert_false (cfs_targets_apply (targets, &m, 50));
  assert_true (known->gone);
  assert_true (cfs_target_is_unproven (known));
  cfs_copy (late.address, sizeof late.address, "10.0.0.9:1");
  assert_int_equal (wf_report (&late, true), REPORT_CURRENT);
  wf_end ();
}

/* What took the address was not there, or is gone. */
static void
a_target_is_reinstated_when_its_address_is_free (void **state)
{
  struct cfs_target report = make_report ("t2", SERVICE, 1);
  struct cfs_target other = make_report ("t9", SERVICE, 2);

  (void)state;
  wf_start (4);
  wf_withhold_positions ();
  assert_int_equal (wf_report (&other, true), REPORT_CURRENT);
  assert_true (wf_leave ("t9", 2));
  report.sequence = 7;
  assert_int_equal (wf_report (&report, true), REPORT_CURRENT);
  wf_end ();
}

/* LOST: a target that was started again under the id of one that had left
   took the place of its departure. */
static void
a_later_incarnation_hides_no_departure (void **state)
{
  struct cfs_target t = make_report ("t2", SERVICE, 2);
  const struct cfs_target *kept;

  (void)state;
  wf_start (4);
  wf_withhold_positions ();
  wf_run (CFS_US_PER_S);
  assert_true (wf_leave ("t2", 0));
  assert_int_equal (wf_report (&t, true), REPORT_CURRENT);
  kept = cfs_table_find (&wf_state ()->targets, "t2~1");
  assert_non_null (kept);
  assert_true (cfs_target_is_unproven (kept));
  wf_run (DEPARTURE_PROVEN_US);
  kept = cfs_table_find (&wf_state ()->targets, "t2~1");
  assert_false (cfs_target_is_unproven (kept));
  wf_end ();
}

static void
a_leave_ends_its_incarnation_and_earlier_ones (void **state)
{
  const struct cfs_target *known;
  struct cfs_target t = make_report ("t2", SERVICE, 3);

  (void)state;
  wf_start (4);
  wf_withhold_positions ();
  known = cfs_table_find (&wf_state ()->targets, "t2");
  assert_true (wf_leave ("t2", 4));
  assert_true (known->gone);
  assert_int_equal (wf_report (&t, true), REPORT_OUTDATED);
  t.incarnation = 5;
  assert_int_equal (wf_report (&t, true), REPORT_CURRENT);
  known = cfs_table_find (&wf_state ()->targets, "t2");
  assert_false (known->gone);
  assert_true (wf_leave ("t2", 0));
  assert_true (known->gone);
  wf_end ();
}

/* Applies an entry that an earlier version recorded, and that claims to be the
   primary. */
static void
check_recorded_claim (const char *id, uint64_t incarnation,
                      const char *address)
{
  struct cfs_target t = make_report (id, SERVICE, incarnation);
  const struct cfs_state *s;
  Cfs__Target m;

  start_with_a_replica_behind ();
  s = wf_state ();
  cfs_copy (t.address, sizeof t.address, address);
  t.primary = true;
  cfs_target_to_message (&t, &m);
  cfs_targets_apply (&wf_state ()->targets, &m, 50);
  assert_string_equal (
      cfs_targets_primary (&s->targets, &s->failovers, SERVICE)->id, "t1");
  check_failover ();
}

/* RECOVER: the entry survives in log and snapshots. */
static void
an_entry_that_names_no_instance_is_no_primary (void **state)
{
  (void)state;
  check_recorded_claim ("x-1", 0, "10.0.0.9:1");
  check_recorded_claim ("x-1", 5, "10.0.0.9:99999");
  check_recorded_claim ("x-1", 5, "10.0.0.9:1x");
  check_recorded_claim ("x-1\r\nQUERY", 5, "10.0.0.9:1");
}

/* RECOVER: the newest claim took the service for good, since the instance was
   never dropped for its silence and a failover waited for it. */
static void
a_claim_of_an_instance_that_is_lost_ends_no_service (void **state)
{
  struct cfs_target t = make_report ("t9", SERVICE, 9);
  const struct cfs_state *s;
  uint64_t before;

  (void)state;
  wf_start (4);
  wf_withhold_positions ();
  wf_run (3 * CFS_US_PER_S);
  s = wf_state ();
  cfs_copy (t.address, sizeof t.address, "10.0.0.9:1");
  t.primary = true;
  assert_int_equal (wf_report (&t, true), REPORT_CURRENT);
  wf_run (CLAIM_REFUTED_US);
  before = wf_acknowledged ();
  wf_run (CFS_US_PER_S);
  assert_true (wf_acknowledged () > before);
  assert_int_equal (wf_primary (), 0);
  assert_null (wf_violation ());
  assert_false (cfs_targets_may_drop (&s->targets, &s->failovers,
                                      cfs_table_find (&s->targets, "t1")));
  assert_true (cfs_targets_may_drop (&s->targets, &s->failovers,
                                     cfs_table_find (&s->targets, "t9")));
  wf_end ();
}

/* A later version of the configuration names the service. */
static void
an_instance_is_used_once_its_service_is_configured (void **state)
{
  struct cfs_target t = make_report ("agent-7", "backup-agent", 5);
  const struct cfs_target *known;

  (void)state;
  wf_start (4);
  wf_withhold_positions ();
  assert_int_equal (wf_report (&t, false), REPORT_FOREIGN);
  assert_null (cfs_table_find (&wf_state ()->targets, "agent-7"));
  t.sequence = 2;
  assert_int_equal (wf_report (&t, true), REPORT_CURRENT);
  known = cfs_table_find (&wf_state ()->targets, "agent-7");
  assert_non_null (known);
  assert_false (known->gone);
  wf_end ();
}

/* The service may be configured again before the instance has left. */
static void
an_instance_drains_while_its_service_is_not_configured (void **state)
{
  struct cfs_target t = make_report ("t2", SERVICE, 1);
  const struct cfs_target *known;

  (void)state;
  wf_start (4);
  wf_withhold_positions ();
  t.sequence = 2;
  t.draining = true;
  assert_int_equal (wf_report (&t, false), REPORT_CURRENT);
  known = cfs_table_find (&wf_state ()->targets, "t2");
  assert_true (known->draining);
  wf_end ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_report_for_another_service_hides_no_replica),
    cmocka_unit_test (a_report_moves_no_instance_to_another_service),
    cmocka_unit_test (a_late_leave_ends_no_later_incarnation),
    cmocka_unit_test (
        a_late_report_reinstates_no_target_whose_address_is_taken),
    cmocka_unit_test (a_target_is_reinstated_when_its_address_is_free),
    cmocka_unit_test (a_later_incarnation_hides_no_departure),
    cmocka_unit_test (a_leave_ends_its_incarnation_and_earlier_ones),
    cmocka_unit_test (an_entry_that_names_no_instance_is_no_primary),
    cmocka_unit_test (a_claim_of_an_instance_that_is_lost_ends_no_service),
    cmocka_unit_test (an_instance_is_used_once_its_service_is_configured),
    cmocka_unit_test (an_instance_drains_while_its_service_is_not_configured)
  };

  cfs_log_open ("test", getenv ("TRACE") ? CFS_INFO : CFS_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
