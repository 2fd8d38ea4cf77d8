/*
 * Acknowledgement leases: at a host, at the control leader, and in sessions of
 * callers.
 */
#include "../../src/process/ack_lease.h"
#include "../../src/process/leader.h"
#include "../../src/process/log.h"
#include "../world/sessions.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define TICK_US (100 * CFS_US_PER_MS)
#define START_US (100 * CFS_US_PER_S)
#define FAILOVER_INDEX 7

static struct cfs_leader *leader;
static struct cfs_state state_of_leader;
static int64_t now;

static uint64_t
propose (void *ctx, const uint8_t *data, size_t len)
{
  (void)ctx;
  (void)data;
  (void)len;
  return 1;
}

static const struct cfs_leader_ops leader_ops = { propose };

static void
pass (int64_t us)
{
  for (int64_t end = now + us; now < end;)
    {
      now += TICK_US;
      cfs_leader_tick (leader, true, 1, now);
    }
}

/* A leader that was elected long ago, with two hosts. */
static int
start_leader (void **state)
{
  (void)state;
  now = START_US;
  cfs_state_init (&state_of_leader);
  leader = cfs_leader_new (&leader_ops, NULL, &state_of_leader);
  pass (TICK_US);
  return 0;
}

static int
end_leader (void **state)
{
  (void)state;
  cfs_leader_free (leader);
  cfs_state_end (&state_of_leader);
  return 0;
}

/* A host that knows the failover record with an index, or none. */
static void
heartbeat (const char *host, uint64_t index, uint64_t position)
{
  Cfs__Heartbeat h = CFS__HEARTBEAT__INIT;
  Cfs__AckStop stop = CFS__ACK_STOP__INIT;
  Cfs__AckStop *stops[1] = { &stop };

  h.host = (char *)host;
  h.ack_stops = stops;
  h.n_ack_stops = index ? 1 : 0;
  stop.service = (char *)"db";
  stop.changed = index;
  stop.term = position ? 1 : 0;
  stop.number = position;
  assert_non_null (cfs_leader_heartbeat (leader, &h, now));
}

static bool
acks_stopped (int64_t since, struct cfs_position *highest)
{
  return cfs_leader_acks_stopped (leader, "db", FAILOVER_INDEX, since, now,
                                  highest);
}

static void
no_promotion_before_all_hosts_have_stopped (void **state)
{
  struct cfs_position highest;
  int64_t since;

  (void)state;
  pass (10 * CFS_US_PER_S);
  heartbeat ("h1", 0, 0);
  heartbeat ("h2", 0, 0);
  since = now;
  assert_false (acks_stopped (since, &highest));
  heartbeat ("h1", FAILOVER_INDEX, 30);
  heartbeat ("h2", FAILOVER_INDEX - 1, 50);
  assert_false (acks_stopped (since, &highest));
  heartbeat ("h2", FAILOVER_INDEX + 1, 20);
  assert_true (acks_stopped (since, &highest));
  assert_int_equal (highest.number, 30);
}

static void
a_silent_host_counts_once_its_lease_has_expired (void **state)
{
  struct cfs_position highest;
  int64_t since;

  (void)state;
  pass (10 * CFS_US_PER_S);
  heartbeat ("h1", 0, 0);
  heartbeat ("h2", 0, 0);
  pass (CFS_US_PER_S);
  since = now;
  heartbeat ("h1", FAILOVER_INDEX, 0);
  assert_false (acks_stopped (since, &highest));
  pass (ACK_LEASE_WAIT_US - CFS_US_PER_S - TICK_US);
  assert_false (acks_stopped (since, &highest));
  pass (2 * TICK_US);
  assert_true (acks_stopped (since, &highest));
}

/* A host that heard from the earlier leader is not known to this one. */
static void
a_new_leader_waits_for_leases_of_the_earlier_one (void **state)
{
  struct cfs_position highest;
  int64_t since;

  (void)state;
  heartbeat ("h1", FAILOVER_INDEX, 0);
  since = now;
  assert_false (acks_stopped (since, &highest));
  pass (ACK_LEASE_WAIT_US - TICK_US);
  heartbeat ("h1", FAILOVER_INDEX, 0);
  assert_false (acks_stopped (since, &highest));
  pass (2 * TICK_US);
  assert_true (acks_stopped (since, &highest));
}

static void
no_promotion_while_no_host_is_heard (void **state)
{
  struct cfs_position highest;
  int64_t since;

  (void)state;
  pass (10 * CFS_US_PER_S);
  heartbeat ("h1", 0, 0);
  pass (TICK_US);
  since = now;
  pass (2 * ACK_LEASE_WAIT_US);
  assert_false (acks_stopped (since, &highest));
  heartbeat ("h1", 0, 0);
  assert_true (acks_stopped (since, &highest));
}

static void
a_host_reports_what_it_passed_on_while_a_failover_is_open (void **state)
{
  struct cfs_settings settings = { .host = "h1" };
  struct cfs_fleet fleet;
  struct cfs_passed_acks acks;
  struct cfs_failover *failover;
  struct cfs_position low = { 2, 5 };
  struct cfs_position high = { 2, 9 };
  Cfs__AckStop out[ACK_STOPS_MAX];

  (void)state;
  cfs_fleet_init (&fleet, &settings, NULL);
  cfs_passed_acks_init (&acks);
  cfs_passed_acks_add (&acks, "db", &high);
  cfs_passed_acks_add (&acks, "db", &low);
  failover = cfs_table_add (&fleet.failovers, "db");
  failover->changed = FAILOVER_INDEX;
  assert_int_equal (cfs_passed_acks_stops (&acks, &fleet, out, ACK_STOPS_MAX),
                    0);
  failover->open = true;
  assert_int_equal (cfs_passed_acks_stops (&acks, &fleet, out, ACK_STOPS_MAX),
                    1);
  assert_string_equal (out[0].service, "db");
  assert_int_equal (out[0].changed, FAILOVER_INDEX);
  assert_int_equal (out[0].term, 2);
  assert_int_equal (out[0].number, 9);
  cfs_passed_acks_end (&acks);
  cfs_fleet_end (&fleet);
}

/* Number of operations from @first on whose commit was acknowledged. */
static unsigned
commits_acknowledged (const struct world_sessions *w, unsigned first)
{
  unsigned count = 0;

  for (unsigned i = first; i < w->op_count; i++)
    count += w->ops[i].succeeded && w->ops[i].applied_count > 0;
  return count;
}

static void
no_commit_is_acknowledged_while_a_failover_is_open (void **state)
{
  struct world_sessions *w = ws_new (1, CONSISTENCY_LATEST, false);
  struct cfs_failover *failover;
  unsigned before;

  (void)state;
  ws_run (w, CFS_US_PER_S);
  failover = cfs_table_add (&w->fleet.failovers,
                            w->fleet.catalog->services[0].name);
  failover->open = true;
  before = commits_acknowledged (w, 1);
  assert_true (before > 0);
  ws_run (w, CFS_US_PER_S);
  assert_int_equal (commits_acknowledged (w, 1), before);
  failover->open = false;
  ws_run (w, CFS_US_PER_S);
  assert_true (commits_acknowledged (w, 1) > before);
  assert_null (ws_check_end (w));
  ws_free (w);
}

static void
no_commit_is_sent_while_a_failover_is_open (void **state)
{
  struct world_sessions *w = ws_new (1, CONSISTENCY_LATEST, false);
  struct cfs_failover *failover;
  unsigned first;

  (void)state;
  ws_run (w, CFS_US_PER_S);
  failover = cfs_table_add (&w->fleet.failovers,
                            w->fleet.catalog->services[0].name);
  failover->open = true;
  first = w->op_count;
  ws_run (w, 3 * CFS_US_PER_S);
  assert_true (w->op_count > first);
  for (unsigned i = first; i < w->op_count; i++)
    assert_int_equal (w->ops[i].applied_count, 0);
  assert_null (ws_check_end (w));
  ws_free (w);
}

static void
no_commit_is_acknowledged_without_a_recent_heartbeat (void **state)
{
  struct world_sessions *w = ws_new (1, CONSISTENCY_LATEST, false);
  unsigned before;

  (void)state;
  ws_run (w, CFS_US_PER_S);
  before = commits_acknowledged (w, 1);
  assert_true (before > 0);
  w->settings.document_lease_us = CFS_US_PER_S + ACK_LEASE_US;
  ws_run (w, CFS_US_PER_S);
  assert_int_equal (commits_acknowledged (w, 1), before);
  assert_null (ws_check_end (w));
  ws_free (w);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (
        no_promotion_before_all_hosts_have_stopped, start_leader, end_leader),
    cmocka_unit_test_setup_teardown (
        a_silent_host_counts_once_its_lease_has_expired, start_leader,
        end_leader),
    cmocka_unit_test_setup_teardown (
        a_new_leader_waits_for_leases_of_the_earlier_one, start_leader,
        end_leader),
    cmocka_unit_test_setup_teardown (no_promotion_while_no_host_is_heard,
                                     start_leader, end_leader),
    cmocka_unit_test (
        a_host_reports_what_it_passed_on_while_a_failover_is_open),
    cmocka_unit_test (no_commit_is_acknowledged_while_a_failover_is_open),
    cmocka_unit_test (no_commit_is_sent_while_a_failover_is_open),
    cmocka_unit_test (no_commit_is_acknowledged_without_a_recent_heartbeat)
  };

  cfs_log_open ("test", CFS_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
