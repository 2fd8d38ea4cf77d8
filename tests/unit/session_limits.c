/*
 * Bounds of a session, at the limit and one past it: session variables,
 * prepared statements, names, total size, and what they leave on a pooled
 * connection.  More than 63 variables in a transaction once ended the process.
 *
 * The end of a planned stop: statements that still wait were left without an
 * answer.
 */
#include "../../src/connection/session.h"
#include "../../src/process/log.h"
#include "../../src/process/settings.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define PENDING_MAX 4096
/* Names that may stand prepared on one pooled connection. */
#define PREPARED_ON_CONN_MAX 1024

/* The only connection to the only instance, which accepts everything. */
struct fake_conn
{
  struct cfs_target_conn base;
  const struct cfs_target_conn_events *events;
  void *owner;
  bool opened;
  enum cfs_tx_state state;
  enum cfs_verb pending[PENDING_MAX];
  size_t pending_count;
  size_t values;
  size_t prepared;
  size_t prepared_max;
};

struct world
{
  int64_t now;
  struct cfs_settings settings;
  struct cfs_fleet fleet;
  struct cfs_quota quota;
  struct cfs_target_adapter adapter;
  struct cfs_pool *pool;
  struct cfs_sessions *sessions;
  struct cfs_session *session;
  struct cfs_caller caller;
  struct fake_conn *conn;
  enum cfs_reply_code code;
  enum cfs_tx_state state;
  unsigned replies;
  size_t resets;
  size_t prepared_max;
};

static struct world world;

static int64_t
world_clock (void)
{
  return world.now;
}

static void
fake_send (struct cfs_target_conn *base, const struct cfs_statement *st,
           size_t count)
{
  struct fake_conn *c = (struct fake_conn *)base;

  for (size_t i = 0; i < count; i++)
    {
      assert_true (c->pending_count < PENDING_MAX);
      c->pending[c->pending_count++] = st[i].verb;
    }
}

static void
fake_close (struct cfs_target_conn *base)
{
  if (world.conn == (struct fake_conn *)base)
    world.conn = NULL;
  free (base);
}

static const struct cfs_target_conn_ops fake_ops = { fake_send, fake_close };

static struct cfs_target_conn *
fake_open (const struct cfs_target_adapter *adapter,
           const struct cfs_target_conn_setup *setup)
{
  struct fake_conn *c = cfs_alloc (sizeof *c);

  (void)adapter;
  c->base.ops = &fake_ops;
  c->events = setup->events;
  c->owner = setup->owner;
  world.conn = c;
  return &c->base;
}

static void
run_verb (struct fake_conn *c, enum cfs_verb verb)
{
  if (verb == VERB_BEGIN || verb == VERB_BEGIN_READ)
    c->state = TX_OPEN;
  else if (verb == VERB_COMMIT || verb == VERB_ROLLBACK)
    c->state = TX_IDLE;
  else if (verb == VERB_PREPARE)
    c->prepared++;
  else if (verb == VERB_RESET)
    {
      c->prepared = 0;
      world.resets++;
    }
  if (c->prepared > world.prepared_max)
    world.prepared_max = c->prepared;
}

/* Delivers the event of the connection that is due.  Returns false when there
   is none. */
static bool
deliver (void)
{
  struct fake_conn *c = world.conn;
  struct cfs_reply r = { .rows = "", .proof = "proof" };

  if (!c || (c->opened && c->pending_count == 0))
    return false;
  r.position.term = 1;
  r.position.number = 1;
  if (!c->opened)
    {
      c->opened = true;
      c->events->opened (c->owner, &r);
      return true;
    }
  run_verb (c, c->pending[0]);
  r.state = c->state;
  c->pending_count--;
  memmove (c->pending, c->pending + 1,
           c->pending_count * sizeof c->pending[0]);
  c->events->replied (c->owner, &r);
  return true;
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
  world.state = r->state;
  world.replies++;
}

static void
on_close (struct cfs_caller *caller)
{
  (void)caller;
}

static const struct cfs_caller_ops caller_ops
    = { on_admitted, on_reply, on_close };

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

static struct cfs_session *
open_session (void)
{
  enum cfs_reply_code code;
  struct cfs_session *s
      = cfs_session_open (world.sessions, &world.caller, "data", "", &code);

  assert_non_null (s);
  assert_int_equal (code, REPLY_OK);
  return s;
}

static int
set_up (void **state)
{
  struct cfs_sessions_setup setup
      = { .fleet = &world.fleet, .quota = &world.quota };
  struct cfs_target *t;

  (void)state;
  memset (&world, 0, sizeof world);
  world.now = CFS_US_PER_S;
  cfs_copy (world.settings.zone, sizeof world.settings.zone, "z");
  cfs_fleet_init (&world.fleet, &world.settings, NULL);
  world.fleet.lease_until = CFS_NEVER;
  cfs_quota_init (&world.quota, world.now);
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
  world.session = open_session ();
  return 0;
}

static int
tear_down (void **state)
{
  (void)state;
  if (world.session)
    cfs_session_close (world.session);
  cfs_sessions_free (world.sessions);
  cfs_pool_free (world.pool);
  cfs_quota_end (&world.quota);
  cfs_fleet_end (&world.fleet);
  return 0;
}

/* Runs a statement to its end and returns the code of the reply. */
static enum cfs_reply_code
run (enum cfs_verb verb, const char *name, const char *arg)
{
  struct cfs_statement st
      = { .verb = verb, .id = "1", .name = name, .arg = arg };
  unsigned before = world.replies;

  cfs_session_statement (world.session, &st);
  while (world.replies == before)
    {
      assert_true (deliver ());
      world.now += CFS_US_PER_MS;
    }
  assert_int_equal (world.replies, before + 1);
  while (deliver ())
    continue;
  return world.code;
}

static enum cfs_reply_code
run_numbered (enum cfs_verb verb, const char *prefix, unsigned number)
{
  char name[32];

  snprintf (name, sizeof name, "%s%u", prefix, number);
  return run (verb, name, name);
}

static void
set_values (unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    assert_int_equal (run_numbered (VERB_SET, "v", i), REPLY_OK);
}

static void
one_variable_too_many_leaves_the_transaction_usable (void **state)
{
  (void)state;
  assert_int_equal (run (VERB_BEGIN, NULL, NULL), REPLY_OK);
  set_values (SESSION_VALUES_MAX);
  assert_int_equal (run_numbered (VERB_SET, "v", SESSION_VALUES_MAX),
                    REPLY_MALFORMED);
  assert_int_equal (world.state, TX_OPEN);
  assert_int_equal (run (VERB_SET, "v0", "other"), REPLY_OK);
  assert_int_equal (run (VERB_WRITE, NULL, "k 1"), REPLY_OK);
  assert_int_equal (run (VERB_COMMIT, NULL, NULL), REPLY_OK);
  assert_int_equal (run (VERB_READ, NULL, "k"), REPLY_OK);
}

/* The longest setup: a reset, all variables, a prepared statement, a BEGIN. */
static void
the_longest_connection_setup_fits (void **state)
{
  (void)state;
  assert_int_equal (run (VERB_SET, "old", "1"), REPLY_OK);
  assert_int_equal (run (VERB_READ, NULL, "k"), REPLY_OK);
  cfs_session_close (world.session);
  world.session = open_session ();
  set_values (SESSION_VALUES_MAX);
  assert_int_equal (run (VERB_PREPARE, "q", "get"), REPLY_OK);
  assert_int_equal (run (VERB_EXECUTE, "q", "k"), REPLY_OK);
  assert_int_equal (world.resets, 1);
}

static void
prepared_statements_are_bounded (void **state)
{
  (void)state;
  for (unsigned i = 0; i < SESSION_PREPARED_MAX; i++)
    assert_int_equal (run_numbered (VERB_PREPARE, "q", i), REPLY_OK);
  assert_int_equal (run_numbered (VERB_PREPARE, "q", SESSION_PREPARED_MAX),
                    REPLY_MALFORMED);
  assert_int_equal (run (VERB_PREPARE, "q0", "other"), REPLY_OK);
  assert_int_equal (run (VERB_DEALLOCATE, "q1", NULL), REPLY_OK);
  assert_int_equal (run_numbered (VERB_PREPARE, "q", SESSION_PREPARED_MAX),
                    REPLY_OK);
  assert_int_equal (run (VERB_EXECUTE, "q0", "k"), REPLY_OK);
}

static void
names_are_bounded (void **state)
{
  char *name = g_strnfill (SESSION_NAME_BYTES_MAX + 1, 'n');

  (void)state;
  assert_int_equal (run (VERB_SET, name, "1"), REPLY_MALFORMED);
  assert_int_equal (run (VERB_PREPARE, name, "1"), REPLY_MALFORMED);
  name[SESSION_NAME_BYTES_MAX] = '\0';
  assert_int_equal (run (VERB_SET, name, "1"), REPLY_OK);
  assert_int_equal (run (VERB_PREPARE, name, "1"), REPLY_OK);
  assert_int_equal (run (VERB_EXECUTE, name, "k"), REPLY_OK);
  g_free (name);
}

static void
the_size_of_a_session_is_bounded (void **state)
{
  size_t spare;
  char *text;

  (void)state;
  assert_int_equal (run (VERB_SET, "a", "1"), REPLY_OK);
  spare = SESSION_BYTES_MAX - 2 * cfs_session_bytes (world.session) + 1;
  text = g_strnfill (spare + 1, 't');
  assert_int_equal (run (VERB_SET, "b", text), REPLY_MALFORMED);
  assert_int_equal (run (VERB_PREPARE, "b", text), REPLY_MALFORMED);
  text[spare] = '\0';
  assert_int_equal (run (VERB_SET, "b", text), REPLY_OK);
  assert_int_equal (cfs_session_bytes (world.session), SESSION_BYTES_MAX);
  assert_int_equal (run (VERB_SET, "c", "1"), REPLY_MALFORMED);
  assert_int_equal (run (VERB_SET, "b", "1"), REPLY_OK);
  assert_int_equal (run (VERB_PREPARE, "b", text), REPLY_MALFORMED);
  text[spare / 2] = '\0';
  assert_int_equal (run (VERB_PREPARE, "b", text), REPLY_OK);
  assert_int_equal (run (VERB_DEALLOCATE, "b", NULL), REPLY_OK);
  assert_int_equal (run (VERB_SET, "c", text), REPLY_OK);
  assert_int_equal (run (VERB_READ, NULL, "k"), REPLY_OK);
  g_free (text);
}

/* A session that prepares and executes ever new statements must not grow the
   pooled connection without bound, here or at the instance. */
static void
prepared_statements_on_a_connection_are_bounded (void **state)
{
  (void)state;
  for (unsigned i = 0; i < 3 * PREPARED_ON_CONN_MAX; i++)
    {
      char text[32];

      snprintf (text, sizeof text, "get %u", i);
      assert_int_equal (run (VERB_PREPARE, "q", text), REPLY_OK);
      assert_int_equal (run (VERB_EXECUTE, "q", "k"), REPLY_OK);
    }
  assert_true (world.prepared_max <= PREPARED_ON_CONN_MAX);
}

/* Sends a statement without delivering further events. */
static void
start (enum cfs_verb verb, const char *arg)
{
  struct cfs_statement st = { .verb = verb, .id = "1", .arg = arg };

  world.code = REPLY_CODES;
  cfs_session_statement (world.session, &st);
}

/* Delivers events until the instance has the statement itself. */
static void
deliver_until_sent (void)
{
  while (!world.conn || !world.conn->opened || world.conn->pending_count != 1
         || world.conn->pending[0] == VERB_BEGIN)
    assert_true (deliver ());
}

static void
what_was_not_sent_ends_as_not_run (void **state)
{
  (void)state;
  start (VERB_WRITE, "k 1");
  cfs_sessions_end (world.sessions, world.now);
  assert_int_equal (world.code, REPLY_BUSY);
  start (VERB_WRITE, "k 2");
  assert_int_equal (world.code, REPLY_BUSY);
  assert_int_equal (world.replies, 2);
}

static void
a_write_that_was_sent_ends_as_unknown (void **state)
{
  (void)state;
  start (VERB_WRITE, "k 1");
  deliver_until_sent ();
  cfs_sessions_end (world.sessions, world.now);
  assert_int_equal (world.code, REPLY_UNKNOWN);
}

static void
a_transaction_ends_as_rolled_back (void **state)
{
  (void)state;
  assert_int_equal (run (VERB_BEGIN, NULL, NULL), REPLY_OK);
  start (VERB_WRITE, "k 1");
  deliver_until_sent ();
  cfs_sessions_end (world.sessions, world.now);
  assert_int_equal (world.code, REPLY_ABORTED);
  start (VERB_COMMIT, NULL);
  assert_int_not_equal (world.code, REPLY_OK);
  assert_int_not_equal (world.code, REPLY_UNKNOWN);
}

static void
a_commit_that_was_sent_ends_as_unknown (void **state)
{
  (void)state;
  assert_int_equal (run (VERB_BEGIN, NULL, NULL), REPLY_OK);
  assert_int_equal (run (VERB_WRITE, NULL, "k 1"), REPLY_OK);
  start (VERB_COMMIT, NULL);
  cfs_sessions_end (world.sessions, world.now);
  assert_int_equal (world.code, REPLY_UNKNOWN);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (
        one_variable_too_many_leaves_the_transaction_usable, set_up,
        tear_down),
    cmocka_unit_test_setup_teardown (the_longest_connection_setup_fits, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (prepared_statements_are_bounded, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (names_are_bounded, set_up, tear_down),
    cmocka_unit_test_setup_teardown (the_size_of_a_session_is_bounded, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (
        prepared_statements_on_a_connection_are_bounded, set_up, tear_down),
    cmocka_unit_test_setup_teardown (what_was_not_sent_ends_as_not_run, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (a_write_that_was_sent_ends_as_unknown,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (a_transaction_ends_as_rolled_back, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (a_commit_that_was_sent_ends_as_unknown,
                                     set_up, tear_down),
  };

  cfs_log_open ("test", CFS_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
