/* What a caller is told when its connection to an instance is lost or closed:
   one session, and a connection whose events are given by hand. */
#include "../../src/connection/session.h"
#include "../../src/process/log.h"
#include "../../src/process/settings.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

struct fake_conn
{
  struct cfs_target_conn base;
  const struct cfs_target_conn_events *events;
  void *owner;
};

/*
 * @conn: the connection that was opened last, NULL once it is closed
 * @sent: last statement sent
 * @closed_early: @conn was closed while its reply was handled
 */
struct world
{
  struct cfs_settings settings;
  struct cfs_fleet fleet;
  struct cfs_quota quota;
  struct cfs_target_adapter adapter;
  struct cfs_pool *pool;
  struct cfs_sessions *sessions;
  struct cfs_session *session;
  struct cfs_caller caller;
  struct fake_conn *conn;
  unsigned opened;
  enum cfs_verb sent;
  enum cfs_reply_code code;
  bool in_reply;
  bool closed_early;
};

static struct world world;

static int64_t
world_clock (void)
{
  return CFS_US_PER_S;
}

static void
fake_send (struct cfs_target_conn *base, const struct cfs_statement *st,
           size_t count)
{
  (void)base;
  world.sent = st[count - 1].verb;
}

static void
fake_close (struct cfs_target_conn *base)
{
  if (world.conn == (struct fake_conn *)base)
    world.conn = NULL;
  world.closed_early = world.in_reply;
  free (base);
}

static struct cfs_target_conn *
fake_open (const struct cfs_target_adapter *adapter,
           const struct cfs_target_conn_setup *setup)
{
  static const struct cfs_target_conn_ops ops = { fake_send, fake_close };
  struct fake_conn *c = cfs_alloc (sizeof *c);

  (void)adapter;
  c->base.ops = &ops;
  c->events = setup->events;
  c->owner = setup->owner;
  world.conn = c;
  world.opened++;
  return &c->base;
}

static void
reply (const char *proof, enum cfs_tx_state state)
{
  const struct cfs_reply r
      = { .rows = "", .proof = proof, .state = state, .position = { 1, 1 } };

  world.in_reply = true;
  world.conn->events->replied (world.conn->owner, &r);
  world.in_reply = false;
}

static void
lose (const char *reason)
{
  struct fake_conn *c = world.conn;

  world.conn = NULL;
  c->events->lost (c->owner, reason);
  free (c);
}

static void
on_admitted (struct cfs_caller *caller, enum cfs_reply_code code)
{
  (void)caller;
  (void)code;
}

static void
on_reply (struct cfs_caller *caller, const struct cfs_reply *r)
{
  (void)caller;
  world.code = r->code;
}

static void
on_close (struct cfs_caller *caller)
{
  (void)caller;
}

static void
ask (enum cfs_verb verb)
{
  struct cfs_statement st = { .verb = verb, .id = "1" };
  const struct cfs_reply ok = { .code = REPLY_OK };
  unsigned opened = world.opened;

  if (verb == VERB_WRITE)
    st.arg = "item data";
  world.code = REPLY_CODES;
  cfs_session_statement (world.session, &st);
  if (world.opened > opened)
    world.conn->events->opened (world.conn->owner, &ok);
}

/* Begins a transaction whose first statement, a write, is sent. */
static void
begin_with_write (void)
{
  ask (VERB_BEGIN);
  ask (VERB_WRITE);
  assert_int_equal (world.sent, VERB_BEGIN);
  reply (NULL, TX_OPEN);
  assert_int_equal (world.sent, VERB_WRITE);
}

static void
a_transaction_ends_with_its_connection (void **state)
{
  (void)state;
  begin_with_write ();
  reply ("p1", TX_OPEN);
  reply ("p1", TX_OPEN);
  ask (VERB_COMMIT);
  assert_int_equal (world.opened, 1);
  assert_int_equal (world.code, REPLY_ABORTED);
}

static void
a_write_is_not_called_rolled_back_if_its_transaction_may_not_have_begun (
    void **state)
{
  (void)state;
  begin_with_write ();
  lose (cfs_out_of_step);
  assert_int_equal (world.code, REPLY_UNKNOWN);
  ask (VERB_COMMIT);
  assert_int_equal (world.opened, 1);
  assert_int_equal (world.code, REPLY_MALFORMED);
}

static void
a_write_of_a_transaction_is_rolled_back_with_its_connection (void **state)
{
  (void)state;
  begin_with_write ();
  lose ("reset");
  assert_int_equal (world.code, REPLY_ABORTED);
}

static void
a_reply_is_passed_on_before_its_connection_is_closed (void **state)
{
  (void)state;
  ask (VERB_WRITE);
  reply ("p1", TX_OPEN);
  assert_int_equal (world.code, REPLY_OK);
  assert_false (world.closed_early);
  cfs_pool_tick (world.pool, world_clock ());
  assert_null (world.conn);
}

static struct cfs_catalog *
make_catalog (void)
{
  struct cfs_catalog *c = cfs_catalog_new (1);

  cfs_grow (&c->services, &c->service_cap, 0, sizeof *c->services);
  cfs_copy (c->services[0].name, CFS_NAME_MAX, "db");
  c->services[0].max_connections = 30;
  c->service_count = 1;
  cfs_grow (&c->routes, &c->route_cap, 0, sizeof *c->routes);
  memset (&c->routes[0], 0, sizeof c->routes[0]);
  cfs_copy (c->routes[0].database, CATALOG_NAME_MAX, "data");
  c->routes[0].consistency = CONSISTENCY_LATEST;
  c->routes[0].timeout_us = CFS_US_PER_S;
  c->routes[0].max_attempts = 2;
  c->routes[0].open = true;
  c->route_count = 1;
  c->transaction_idle_us = CFS_US_PER_S;
  cfs_catalog_seal (c);
  return c;
}

static int
set_up (void **state)
{
  static const struct cfs_caller_ops caller_ops
      = { on_admitted, on_reply, on_close };
  struct cfs_sessions_setup setup
      = { .fleet = &world.fleet, .quota = &world.quota };
  enum cfs_reply_code code;
  struct cfs_target *t;

  (void)state;
  memset (&world, 0, sizeof world);
  cfs_copy (world.settings.zone, sizeof world.settings.zone, "z");
  cfs_fleet_init (&world.fleet, &world.settings, NULL);
  world.fleet.lease_until = CFS_NEVER;
  cfs_quota_init (&world.quota, world_clock ());
  world.fleet.catalog = make_catalog ();
  t = cfs_table_add (&world.fleet.targets, "t1");
  cfs_copy (t->service, sizeof t->service, "db");
  cfs_copy (t->zone, sizeof t->zone, "z");
  t->slots = 4;
  t->primary = true;
  t->changed = t->claimed = 1;
  world.adapter.open = fake_open;
  world.pool = cfs_pool_new (&world.adapter, &world.fleet, world_clock, 1);
  setup.pool = world.pool;
  world.sessions = cfs_sessions_new (&setup);
  world.caller.ops = &caller_ops;
  world.session
      = cfs_session_open (world.sessions, &world.caller, "data", "", &code);
  assert_non_null (world.session);
  return 0;
}

static int
tear_down (void **state)
{
  (void)state;
  cfs_session_close (world.session);
  cfs_sessions_free (world.sessions);
  cfs_pool_free (world.pool);
  cfs_quota_end (&world.quota);
  cfs_fleet_end (&world.fleet);
  return 0;
}

#define TEST(f) cmocka_unit_test_setup_teardown (f, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = {
    TEST (a_transaction_ends_with_its_connection),
    TEST (
        a_write_is_not_called_rolled_back_if_its_transaction_may_not_have_begun),
    TEST (a_write_of_a_transaction_is_rolled_back_with_its_connection),
    TEST (a_reply_is_passed_on_before_its_connection_is_closed),
  };

  cfs_log_open ("test", CFS_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
