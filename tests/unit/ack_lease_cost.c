/*
 * Cost of the acknowledgement leases at the control leader of a large fleet.
 */
#include "../../src/process/ack_lease.h"
#include "../../src/process/leader.h"
#include "../../src/process/log.h"
#include "../../src/process/raft.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <cmocka.h>

#define TICK_US (100 * CFS_US_PER_MS)
#define START_US (100 * CFS_US_PER_S)
#define FAILOVER_INDEX 7
/* Hosts of the large fleet. */
#define HOSTS_LARGE 200

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

/* Processor time, so that a busy machine does not count. */
static int64_t
processor_us (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return t.tv_sec * CFS_US_PER_S + t.tv_nsec / 1000;
}

static void
report_stops_of_all (unsigned host, Cfs__AckStop **stops)
{
  Cfs__Heartbeat h = CFS__HEARTBEAT__INIT;
  char name[CFS_NAME_MAX];

  snprintf (name, sizeof name, "10.128.0.%u", host);
  h.host = name;
  h.ack_stops = stops;
  h.n_ack_stops = ACK_STOPS_MAX;
  assert_non_null (cfs_leader_heartbeat (leader, &h, now));
}

/* Each tick of the control leader asks for each open failover. */
static void
many_failovers_at_once_do_not_hold_up_the_leader (void **state)
{
  static char services[ACK_STOPS_MAX][CFS_NAME_MAX];
  Cfs__AckStop entries[ACK_STOPS_MAX];
  Cfs__AckStop *stops[ACK_STOPS_MAX];
  struct cfs_position highest;
  int64_t began;

  (void)state;
  pass (10 * CFS_US_PER_S);
  for (unsigned i = 0; i < ACK_STOPS_MAX; i++)
    {
      cfs__ack_stop__init (&entries[i]);
      snprintf (services[i], CFS_NAME_MAX, "service-%u", i);
      entries[i].service = services[i];
      entries[i].changed = FAILOVER_INDEX;
      stops[i] = &entries[i];
    }
  for (unsigned i = 0; i < HOSTS_LARGE; i++)
    report_stops_of_all (i, stops);
  began = processor_us ();
  for (unsigned i = 0; i < ACK_STOPS_MAX; i++)
    assert_true (cfs_leader_acks_stopped (leader, services[i], FAILOVER_INDEX,
                                          now, now, &highest));
  assert_in_range (processor_us () - began, 0, RAFT_HEARTBEAT_US);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test_setup_teardown (
      many_failovers_at_once_do_not_hold_up_the_leader, start_leader,
      end_leader) };

  cfs_log_open ("test", CFS_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
