/*
 * Lease decisions of the control leader, with a log that applies a command
 * only on request.  Covers a heartbeat of a gate's old holder that arrives
 * after the move of the gate was proposed and before it is applied: a renewal
 * at that moment could leave the gate with two holders.
 */
#include "../../src/process/leader.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define TICK_US (100 * CFS_US_PER_MS)
#define FINE_TICK_US (5 * CFS_US_PER_MS)
/* Clocks of hosts differ by up to this fraction in their speed. */
#define CLOCK_DRIFT_PERCENT 5

/* A leader whose log holds one packed command until apply() is called. */
struct fixture
{
  struct cfs_state state;
  struct cfs_leader *leader;
  uint8_t data[4096];
  size_t len;
  uint64_t index, applied;
  int64_t now;
};

static uint64_t
propose (void *ctx, const uint8_t *data, size_t len)
{
  struct fixture *f = ctx;

  assert_true (len <= sizeof f->data);
  memcpy (f->data, data, len);
  f->len = len;
  return ++f->index;
}

static const struct cfs_leader_ops ops = { propose };

static void
apply (struct fixture *f)
{
  if (f->applied < f->index)
    cfs_state_apply (&f->state, f->data, f->len, f->index);
  f->applied = f->index;
}

static void
tick_after (struct fixture *f, int64_t us)
{
  f->now += us;
  cfs_leader_tick (f->leader, true, f->applied, f->now);
}

static void
tick (struct fixture *f)
{
  tick_after (f, TICK_US);
}

static const Cfs__HeartbeatReply *
send_heartbeat_with (struct fixture *f, const char *host, const char *group,
                     bool draining, uint64_t released)
{
  Cfs__Heartbeat h = CFS__HEARTBEAT__INIT;
  Cfs__Instance in = CFS__INSTANCE__INIT;
  Cfs__Instance *instances[1] = { &in };
  Cfs__Release r = CFS__RELEASE__INIT;
  Cfs__Release *releases[1] = { &r };

  h.host = (char *)host;
  h.boot = (uint64_t)host[1];
  h.draining = draining;
  in.name = (char *)group;
  in.group = (char *)group;
  in.primary = true;
  in.term = 1;
  h.instances = instances;
  h.n_instances = 1;
  r.resource = "gate/orders";
  r.epoch = released;
  h.released = releases;
  h.n_released = released ? 1 : 0;
  return cfs_leader_heartbeat (f->leader, &h, f->now);
}

static const Cfs__HeartbeatReply *
send_heartbeat (struct fixture *f, const char *host, bool draining,
                uint64_t released)
{
  return send_heartbeat_with (f, host, "orders", draining, released);
}

static const struct cfs_lease *
gate_lease (const struct fixture *f)
{
  return cfs_table_find (&f->state.leases, "gate/orders");
}

/* The group is known to the leader, and h1 holds its gate. */
static struct fixture *
new_fixture (void)
{
  struct fixture *f = cfs_alloc (sizeof *f);

  cfs_state_init (&f->state);
  f->leader = cfs_leader_new (&ops, f, &f->state);
  f->now = CFS_US_PER_S;
  tick (f);
  for (int i = 0; i < 20 && !gate_lease (f); i++)
    {
      send_heartbeat (f, "h1", false, 0);
      tick (f);
      apply (f);
    }
  assert_string_equal (gate_lease (f)->holder, "h1");
  return f;
}

static void
free_fixture (struct fixture *f)
{
  cfs_leader_free (f->leader);
  cfs_state_end (&f->state);
  free (f);
}

static void
no_lease_renewal_while_a_move_is_uncommitted (void **state)
{
  struct fixture *f = new_fixture ();
  const Cfs__HeartbeatReply *reply;

  (void)state;
  for (int i = 0; i < 30 && f->index == f->applied; i++)
    {
      send_heartbeat (f, "h2", false, 0);
      tick (f);
    }
  assert_true (f->index > f->applied);
  reply = send_heartbeat (f, "h1", false, 0);
  assert_false (reply->granted);
  apply (f);
  tick (f);
  reply = send_heartbeat (f, "h1", false, 0);
  assert_true (reply->granted);
  assert_int_equal (reply->n_assignments, 1);
  assert_string_equal (reply->assignments[0]->holder, "h2");
  free_fixture (f);
}

/* The holder has not reported to a new leader when that moves its gate. */
static void
no_lease_for_a_holder_that_reports_first_while_its_gate_moves (void **state)
{
  struct fixture *f = new_fixture ();

  (void)state;
  cfs_leader_tick (f->leader, false, f->applied, f->now);
  tick (f);
  for (int i = 0; i < 30 && f->index == f->applied; i++)
    {
      send_heartbeat (f, "h2", false, 0);
      tick (f);
    }
  assert_true (f->index > f->applied);
  assert_false (send_heartbeat (f, "h1", false, 0)->granted);
  apply (f);
  tick (f);
  assert_true (send_heartbeat (f, "h1", false, 0)->granted);
  assert_string_equal (gate_lease (f)->holder, "h2");
  free_fixture (f);
}

/* A holder that reports first while another gate is assigned is not renewed,
   but keeps the lease that it has from the former leader. */
static void
a_gate_stays_while_a_lease_of_the_former_leader_runs (void **state)
{
  struct fixture *f = new_fixture ();

  (void)state;
  cfs_leader_tick (f->leader, false, f->applied, f->now);
  tick (f);
  for (int i = 0; i < 10 && !cfs_table_find (&f->state.groups, "stock"); i++)
    {
      apply (f);
      send_heartbeat_with (f, "h2", "stock", false, 0);
      tick (f);
    }
  tick (f);
  assert_true (f->index > f->applied);
  send_heartbeat (f, "h1", false, 0);
  apply (f);
  tick (f);
  assert_non_null (cfs_table_find (&f->state.leases, "gate/stock"));
  apply (f);
  assert_string_equal (gate_lease (f)->holder, "h1");
  free_fixture (f);
}

static void
a_released_gate_is_reassigned_immediately (void **state)
{
  struct fixture *f = new_fixture ();

  (void)state;
  send_heartbeat (f, "h2", false, 0);
  send_heartbeat (f, "h1", true, gate_lease (f)->epoch);
  tick (f);
  apply (f);
  assert_string_equal (gate_lease (f)->holder, "h2");
  assert_int_equal (gate_lease (f)->epoch, 2);
  free_fixture (f);
}

static void
a_release_of_another_host_or_epoch_is_ignored (void **state)
{
  struct fixture *f = new_fixture ();

  (void)state;
  send_heartbeat (f, "h1", false, gate_lease (f)->epoch + 1);
  send_heartbeat (f, "h2", false, gate_lease (f)->epoch);
  tick (f);
  apply (f);
  assert_string_equal (gate_lease (f)->holder, "h1");
  free_fixture (f);
}

/* The holder counts its lease by a clock that is slower than the leader's. */
static void
a_gate_moves_only_after_the_lease_ended_by_a_slow_clock (void **state)
{
  struct fixture *f = new_fixture ();
  int64_t renewed_at;

  (void)state;
  send_heartbeat (f, "h2", false, 0);
  tick (f);
  send_heartbeat (f, "h1", false, 0);
  renewed_at = f->now;
  while (f->index == f->applied)
    {
      send_heartbeat (f, "h2", false, 0);
      tick_after (f, FINE_TICK_US);
      assert_in_range (f->now - renewed_at, 0, 2 * LEASE_US);
    }
  assert_true (f->now - renewed_at
               >= LEASE_US + LEASE_US * CLOCK_DRIFT_PERCENT / 100);
  free_fixture (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (no_lease_renewal_while_a_move_is_uncommitted),
    cmocka_unit_test (
        no_lease_for_a_holder_that_reports_first_while_its_gate_moves),
    cmocka_unit_test (a_gate_stays_while_a_lease_of_the_former_leader_runs),
    cmocka_unit_test (a_released_gate_is_reassigned_immediately),
    cmocka_unit_test (a_release_of_another_host_or_epoch_is_ignored),
    cmocka_unit_test (a_gate_moves_only_after_the_lease_ended_by_a_slow_clock)
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
