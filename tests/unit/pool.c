/*
 * What a host does before an instance that has no room: it must not keep the
 * instance busy with attempts, and must be back soon once there is room.
 */
#include "../../src/connection/pool.h"
#include "../../src/process/log.h"
#include "../../src/process/settings.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define STEP_US (5 * CFS_US_PER_MS)
#define WAY_US (20 * CFS_US_PER_MS)
/* Time in which the instance has no room, and attempts that it may get from
   one host of many in that time. */
#define FULL_US (5 * CFS_US_PER_S)
#define ATTEMPTS_MAX 20
/* Time until it is used again after it has room. */
#define BACK_US (1500 * CFS_US_PER_MS)

struct fake_wire
{
  struct cfs_target_conn base;
  const struct cfs_target_conn_events *events;
  void *owner;
  int64_t due;
};

struct world
{
  int64_t now;
  struct cfs_settings settings;
  struct cfs_fleet fleet;
  struct cfs_target_adapter edge;
  struct cfs_pool *pool;
  struct fake_wire *wire;
  struct cfs_pooled_conn *link;
  enum cfs_reply_code code;
  unsigned attempts;
  bool served;
};

static struct world world;

static int64_t
world_clock (void)
{
  return world.now;
}

static void
wire_send (struct cfs_target_conn *base, const struct cfs_statement *st,
           size_t n)
{
  struct fake_wire *k = (struct fake_wire *)base;

  (void)st;
  (void)n;
  k->due = world.now + WAY_US;
}

static void
wire_close (struct cfs_target_conn *base)
{
  if (world.wire == (struct fake_wire *)base)
    world.wire = NULL;
  free (base);
}

static const struct cfs_target_conn_ops wire_ops = { wire_send, wire_close };

static struct cfs_target_conn *
wire_open (const struct cfs_target_adapter *edge,
           const struct cfs_target_conn_setup *setup)
{
  struct fake_wire *k = cfs_alloc (sizeof *k);

  (void)edge;
  k->base.ops = &wire_ops;
  k->events = setup->events;
  k->owner = setup->owner;
  k->due = world.now + WAY_US;
  world.wire = k;
  world.attempts++;
  return &k->base;
}

static void
on_opened (void *holder, const struct cfs_reply *r)
{
  (void)holder;
  if (r->code == REPLY_OK)
    world.served = true;
  else
    world.link = NULL;
}

static const struct cfs_pooled_conn_events link_events
    = { on_opened, NULL, NULL };

static void
step (void)
{
  struct cfs_reply r = { .code = world.code };
  bool opening;

  world.now += STEP_US;
  if (!world.link)
    world.link = cfs_pool_acquire (world.pool, "t1", "team", &link_events,
                                   &world, world.now, &opening);
  if (world.wire && world.wire->due && world.now >= world.wire->due)
    {
      world.wire->due = 0;
      world.wire->events->opened (world.wire->owner, &r);
    }
  cfs_pool_tick (world.pool, world.now);
}

static int
start (void **state)
{
  struct cfs_target *t;

  (void)state;
  memset (&world, 0, sizeof world);
  world.now = CFS_US_PER_S;
  world.edge.open = wire_open;
  cfs_fleet_init (&world.fleet, &world.settings, NULL);
  t = cfs_table_add (&world.fleet.targets, "t1");
  cfs_copy (t->service, sizeof t->service, "db");
  t->slots = 2;
  world.pool = cfs_pool_new (&world.edge, &world.fleet, world_clock, 1);
  return 0;
}

static int
end (void **state)
{
  (void)state;
  cfs_pool_free (world.pool);
  cfs_fleet_end (&world.fleet);
  return 0;
}

static void
run_full (enum cfs_reply_code code)
{
  world.code = code;
  while (world.now < CFS_US_PER_S + FULL_US)
    step ();
  assert_true (world.attempts <= ATTEMPTS_MAX);
  assert_false (world.served);
  world.code = REPLY_OK;
  while (world.now < CFS_US_PER_S + FULL_US + BACK_US)
    step ();
  assert_true (world.served);
}

static void
no_room_for_a_connection (void **state)
{
  (void)state;
  run_full (REPLY_NO_CONNECTION);
}

static void
no_room_for_work (void **state)
{
  (void)state;
  run_full (REPLY_BUSY);
}

/* Reads pass over an instance whose log stays behind, ever longer. */
static void
a_log_that_stays_behind (void **state)
{
  const struct cfs_position need = { 1, 100 };
  unsigned chosen = 0;

  (void)state;
  while (world.now < CFS_US_PER_S + FULL_US)
    {
      world.now += STEP_US;
      if (!cfs_pool_choose (world.pool, "db", &need, NULL, 0, world.now))
        continue;
      chosen++;
      cfs_pool_note_behind (world.pool, "t1", &need, world.now);
    }
  assert_true (chosen <= ATTEMPTS_MAX);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (no_room_for_a_connection, start, end),
    cmocka_unit_test_setup_teardown (no_room_for_work, start, end),
    cmocka_unit_test_setup_teardown (a_log_that_stays_behind, start, end)
  };

  cfs_log_open ("test", CFS_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
