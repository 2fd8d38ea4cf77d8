/*
 * Backoff of a host from an instance without free capacity: its attempts must
 * not keep the instance busy, and it must use the instance again soon after
 * capacity becomes free.
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
#define LATENCY_US (20 * CFS_US_PER_MS)
/* Time for which the instance has no capacity, and maximum number of attempts
   from one of many hosts in that time. */
#define OVERLOAD_US (5 * CFS_US_PER_S)
#define ATTEMPTS_MAX 20
/* Maximum time until it is used again once it has capacity. */
#define RECOVERY_MAX_US (1500 * CFS_US_PER_MS)
/* Time after a reply out of step after which connections are reused. */
#define SINGLE_USE_MAX_US (61 * CFS_US_PER_S)

struct fake_conn
{
  struct cfs_target_conn base;
  const struct cfs_target_conn_events *events;
  void *owner;
  int64_t reply_at;
};

struct world
{
  int64_t now;
  struct cfs_settings settings;
  struct cfs_fleet fleet;
  struct cfs_target_adapter adapter;
  struct cfs_pool *pool;
  struct fake_conn *target_conn;
  struct cfs_pooled_conn *pooled_conn;
  enum cfs_reply_code reply_code;
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
fake_conn_send (struct cfs_target_conn *base, const struct cfs_statement *st,
                size_t n)
{
  struct fake_conn *c = (struct fake_conn *)base;

  (void)st;
  (void)n;
  c->reply_at = world.now + LATENCY_US;
}

static void
fake_conn_close (struct cfs_target_conn *base)
{
  if (world.target_conn == (struct fake_conn *)base)
    world.target_conn = NULL;
  free (base);
}

static const struct cfs_target_conn_ops fake_conn_ops
    = { fake_conn_send, fake_conn_close };

static struct cfs_target_conn *
fake_conn_open (const struct cfs_target_adapter *adapter,
                const struct cfs_target_conn_setup *setup)
{
  struct fake_conn *c = cfs_alloc (sizeof *c);

  (void)adapter;
  c->base.ops = &fake_conn_ops;
  c->events = setup->events;
  c->owner = setup->owner;
  c->reply_at = world.now + LATENCY_US;
  world.target_conn = c;
  world.attempts++;
  return &c->base;
}

static void
on_opened (void *user, const struct cfs_reply *r)
{
  (void)user;
  if (r->code == REPLY_OK)
    world.served = true;
  else
    world.pooled_conn = NULL;
}

static const struct cfs_pooled_conn_events pooled_conn_events
    = { on_opened, NULL, NULL };

static void
step (void)
{
  struct cfs_reply r = { .code = world.reply_code };
  bool opening;

  world.now += STEP_US;
  if (!world.pooled_conn)
    world.pooled_conn
        = cfs_pool_acquire (world.pool, "t1", "team", &pooled_conn_events,
                            &world, world.now, &opening);
  if (world.target_conn && world.target_conn->reply_at
      && world.now >= world.target_conn->reply_at)
    {
      world.target_conn->reply_at = 0;
      world.target_conn->events->opened (world.target_conn->owner, &r);
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
  world.adapter.open = fake_conn_open;
  cfs_fleet_init (&world.fleet, &world.settings, NULL);
  t = cfs_table_add (&world.fleet.targets, "t1");
  cfs_copy (t->service, sizeof t->service, "db");
  t->slots = 2;
  world.pool = cfs_pool_new (&world.adapter, &world.fleet, world_clock, 1);
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
run_overload (enum cfs_reply_code code)
{
  world.reply_code = code;
  while (world.now < CFS_US_PER_S + OVERLOAD_US)
    step ();
  assert_true (world.attempts <= ATTEMPTS_MAX);
  assert_false (world.served);
  world.reply_code = REPLY_OK;
  while (world.now < CFS_US_PER_S + OVERLOAD_US + RECOVERY_MAX_US)
    step ();
  assert_true (world.served);
}

static void
attempts_back_off_while_connections_are_refused (void **state)
{
  (void)state;
  run_overload (REPLY_NO_CONNECTION);
}

static void
attempts_back_off_while_the_instance_is_busy (void **state)
{
  (void)state;
  run_overload (REPLY_BUSY);
}

/* The time for which reads avoid an instance grows as long as its log stays
   behind. */
static void
reads_back_off_while_a_log_stays_behind (void **state)
{
  const struct cfs_position min_position = { 1, 100 };
  unsigned choices = 0;

  (void)state;
  while (world.now < CFS_US_PER_S + OVERLOAD_US)
    {
      world.now += STEP_US;
      if (!cfs_pool_choose (world.pool, "db", "team", NULL, &min_position,
                            NULL, 0, world.now))
        continue;
      choices++;
      cfs_pool_note_behind (world.pool, "t1", &min_position, world.now);
    }
  assert_true (choices <= ATTEMPTS_MAX);
}

/* Whether a user after the one that releases @conn gets a new connection. */
static bool
next_user_opens (struct cfs_pooled_conn **conn)
{
  const struct cfs_reply ok = { .code = REPLY_OK };
  bool opening;

  cfs_pool_release (*conn, world.now);
  *conn = cfs_pool_acquire (world.pool, "t1", "team", &pooled_conn_events,
                            &world, world.now, &opening);
  assert_non_null (*conn);
  if (opening)
    world.target_conn->events->opened (world.target_conn->owner, &ok);
  return opening;
}

static void
a_connection_serves_one_user_while_its_instance_answers_twice (void **state)
{
  struct fake_conn *first;

  (void)state;
  world.reply_code = REPLY_OK;
  while (!world.served)
    step ();
  assert_false (next_user_opens (&world.pooled_conn));
  first = world.target_conn;
  cfs_pool_release (world.pooled_conn, world.now);
  world.pooled_conn = NULL;
  first->events->lost (first->owner, cfs_out_of_step);
  fake_conn_close (&first->base);
  step ();
  step ();
  while (world.target_conn->reply_at)
    step ();
  assert_true (next_user_opens (&world.pooled_conn));
  cfs_pool_release (world.pooled_conn, world.now);
  cfs_pool_tick (world.pool, world.now);
  assert_null (world.target_conn);
  world.now += SINGLE_USE_MAX_US;
  world.pooled_conn = NULL;
  world.served = false;
  while (!world.served)
    step ();
  assert_false (next_user_opens (&world.pooled_conn));
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test_setup_teardown (
              attempts_back_off_while_connections_are_refused, start, end),
          cmocka_unit_test_setup_teardown (
              attempts_back_off_while_the_instance_is_busy, start, end),
          cmocka_unit_test_setup_teardown (
              reads_back_off_while_a_log_stays_behind, start, end),
          cmocka_unit_test_setup_teardown (
              a_connection_serves_one_user_while_its_instance_answers_twice,
              start, end) };

  cfs_log_open ("test", CFS_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
