/*
 * The leader's decisions one by one, with a log that applies when told to:
 * the race between a move of a gate and a heartbeat of its old holder.
 */
#include "../../src/process/leader.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define STEP (100 * CFS_US_PER_MS)

/* A log of one packed command that waits to be applied. */
struct fake
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
  struct fake *f = ctx;

  assert_true (len <= sizeof f->data);
  memcpy (f->data, data, len);
  f->len = len;
  return ++f->index;
}

static const struct cfs_leader_ops ops = { propose };

static void
apply (struct fake *f)
{
  if (f->applied < f->index)
    cfs_state_apply (&f->state, f->data, f->len, f->index);
  f->applied = f->index;
}

static void
tick (struct fake *f)
{
  f->now += STEP;
  cfs_leader_tick (f->leader, true, f->applied, f->now);
}

static const Cfs__HeartbeatReply *
beat (struct fake *f, const char *host, bool draining, uint64_t released)
{
  Cfs__Heartbeat h = CFS__HEARTBEAT__INIT;
  Cfs__Instance in = CFS__INSTANCE__INIT;
  Cfs__Instance *instances[1] = { &in };
  Cfs__Release r = CFS__RELEASE__INIT;
  Cfs__Release *releases[1] = { &r };

  h.host = (char *)host;
  h.boot = (uint64_t)host[1];
  h.draining = draining;
  in.name = "t1";
  in.group = "orders";
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

static const struct cfs_lease *
gate (const struct fake *f)
{
  return cfs_table_find (&f->state.leases, "gate/orders");
}

/* Group known, gate held by h1. */
static struct fake *
new_fake (void)
{
  struct fake *f = cfs_alloc (sizeof *f);

  cfs_state_init (&f->state);
  f->leader = cfs_leader_new (&ops, f, &f->state);
  f->now = CFS_US_PER_S;
  tick (f);
  for (int i = 0; i < 20 && !gate (f); i++)
    {
      beat (f, "h1", false, 0);
      tick (f);
      apply (f);
    }
  assert_string_equal (gate (f)->holder, "h1");
  return f;
}

static void
free_fake (struct fake *f)
{
  cfs_leader_free (f->leader);
  cfs_state_end (&f->state);
  free (f);
}

static void
no_renewal_while_a_move_is_under_way (void **state)
{
  struct fake *f = new_fake ();
  const Cfs__HeartbeatReply *reply;

  (void)state;
  for (int i = 0; i < 30 && f->index == f->applied; i++)
    {
      beat (f, "h2", false, 0);
      tick (f);
    }
  assert_true (f->index > f->applied);
  reply = beat (f, "h1", false, 0);
  assert_false (reply->granted);
  apply (f);
  tick (f);
  reply = beat (f, "h1", false, 0);
  assert_true (reply->granted);
  assert_int_equal (reply->n_assignments, 1);
  assert_string_equal (reply->assignments[0]->holder, "h2");
  free_fake (f);
}

static void
a_release_moves_the_gate_at_once (void **state)
{
  struct fake *f = new_fake ();

  (void)state;
  beat (f, "h2", false, 0);
  beat (f, "h1", true, gate (f)->epoch);
  tick (f);
  apply (f);
  assert_string_equal (gate (f)->holder, "h2");
  assert_int_equal (gate (f)->epoch, 2);
  free_fake (f);
}

static void
a_foreign_or_old_release_moves_nothing (void **state)
{
  struct fake *f = new_fake ();

  (void)state;
  beat (f, "h1", false, gate (f)->epoch + 1);
  beat (f, "h2", false, gate (f)->epoch);
  tick (f);
  apply (f);
  assert_string_equal (gate (f)->holder, "h1");
  free_fake (f);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (no_renewal_while_a_move_is_under_way),
          cmocka_unit_test (a_release_moves_the_gate_at_once),
          cmocka_unit_test (a_foreign_or_old_release_moves_nothing) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
