/*
 * Sessions on a group of two targets while zones are evacuated or targets are
 * cold: a statement that no target may run is rejected at once instead of
 * waiting, a transaction in an evacuated zone ends as aborted before the time
 * is up, nothing is sent to the zone afterwards, and nothing is sent to a cold
 * target without a token.
 */
#include "../../platform/document.h"
#include "../../src/connection/session.h"
#include "../../src/process/log.h"
#include "../../src/process/placement.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define START (100 * CFS_US_PER_S)
#define STEP_US (5 * CFS_US_PER_MS)
#define EVACUATE_US (5 * CFS_US_PER_S)
#define REPLIES_MAX 64

#define ROUTE                                                                 \
  "\"service\":\"db\",\"type\":\"bounded_staleness\",\"timeout_ms\":"         \
  "2000,\"max_staleness_ms\":60000,\"public\":true"
static const char document[]
    = "{\"version\":1,\"services\":[{\"name\":\"db\",\"cold_per_s\":10}],"
      "\"limits\":"
      "{\"tx_idle_ms\":60000},\"routes\":[{\"database\":\"all\"," ROUTE
      "},{\"database\":\"far\",\"allowed_regions\":[\"q\"]," ROUTE
      "},{\"database\":\"near\",\"allowed_regions\":[\"r\"]," ROUTE "}]}";

/* Connection to a target; @due counts the statements without a reply. */
struct fake_conn
{
  struct cfs_target_conn base;
  struct fake_conn *next;
  char target[CFS_NAME_MAX];
  const struct cfs_target_conn_events *events;
  void *owner;
  bool closed;
  bool open;
  enum cfs_verb due[REPLIES_MAX];
  size_t due_count;
  enum cfs_tx_state state;
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
  struct cfs_caller caller;
  struct fake_conn *conns;
  unsigned replies;
  enum cfs_reply_code code;
  char text[128];
  char last_target[CFS_NAME_MAX];
  int64_t sent_to_a_at;
};

static struct world world;

static int64_t
world_clock (void)
{
  return world.now;
}

static void
conn_send (struct cfs_target_conn *base, const struct cfs_statement *st,
           size_t count)
{
  struct fake_conn *c = (struct fake_conn *)base;

  for (size_t i = 0; i < count; i++)
    c->due[c->due_count++] = st[i].verb;
  cfs_copy (world.last_target, sizeof world.last_target, c->target);
  if (strcmp (c->target, "t1") == 0)
    world.sent_to_a_at = world.now;
}

static void
conn_close (struct cfs_target_conn *base)
{
  ((struct fake_conn *)base)->closed = true;
}

static const struct cfs_target_conn_ops conn_ops = { conn_send, conn_close };

static struct cfs_target_conn *
conn_open (const struct cfs_target_adapter *adapter,
           const struct cfs_target_conn_setup *setup)
{
  struct fake_conn *c = cfs_alloc (sizeof *c);

  (void)adapter;
  c->base.ops = &conn_ops;
  cfs_copy (c->target, sizeof c->target, setup->target);
  c->events = setup->events;
  c->owner = setup->owner;
  c->next = world.conns;
  world.conns = c;
  return &c->base;
}

static void
step_conn (struct fake_conn *c)
{
  struct cfs_reply r = { .proof = "p", .position = { 1, 10 } };

  if (!c->open)
    {
      c->open = true;
      c->events->opened (c->owner, &r);
      return;
    }
  while (!c->closed && c->due_count > 0)
    {
      enum cfs_verb verb = c->due[0];

      memmove (c->due, c->due + 1, --c->due_count * sizeof c->due[0]);
      if (verb == VERB_BEGIN || verb == VERB_BEGIN_READ)
        c->state = TX_OPEN;
      if (verb == VERB_COMMIT || verb == VERB_ROLLBACK)
        c->state = TX_IDLE;
      r.state = c->state;
      c->events->replied (c->owner, &r);
    }
}

static void
run (int64_t us)
{
  for (int64_t end = world.now + us; world.now < end;)
    {
      world.now += STEP_US;
      for (struct fake_conn *c = world.conns; c; c = c->next)
        if (!c->closed)
          step_conn (c);
      cfs_pool_tick (world.pool, world.now);
      cfs_sessions_tick (world.sessions, world.now);
    }
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
  world.replies++;
  world.code = r->code;
  cfs_copy (world.text, sizeof world.text, r->text);
}

static const struct cfs_caller_ops caller_ops
    = { on_admitted, on_reply, NULL };

static void
add_target (const char *id, const char *zone, bool primary)
{
  struct cfs_target *t = cfs_table_add (&world.fleet.targets, id);

  cfs_copy (t->service, sizeof t->service, "db");
  cfs_copy (t->address, sizeof t->address, "10.0.0.1:1");
  cfs_copy (t->zone, sizeof t->zone, zone);
  t->slots = 4;
  t->incarnation = 1;
  t->primary = primary;
  t->claimed = primary;
}

static int
start (void **state)
{
  const struct cfs_position position = { 1, 10 };
  struct cfs_sessions_setup setup
      = { .fleet = &world.fleet, .quota = &world.quota };

  (void)state;
  memset (&world, 0, sizeof world);
  world.now = START;
  world.settings.evacuate_us = EVACUATE_US;
  world.settings.zone_count = 2;
  cfs_copy (world.settings.zones[0].name, CFS_NAME_MAX, "a");
  cfs_copy (world.settings.zones[0].region, CFS_NAME_MAX, "r");
  cfs_copy (world.settings.zones[1].name, CFS_NAME_MAX, "b");
  cfs_copy (world.settings.zones[1].region, CFS_NAME_MAX, "r");
  world.adapter.open = conn_open;
  world.caller.ops = &caller_ops;
  cfs_fleet_init (&world.fleet, &world.settings, NULL);
  world.fleet.lease_until = CFS_NEVER;
  cfs_quota_init (&world.quota, world.now);
  world.fleet.catalog = document_decode (document, NULL);
  assert_non_null (world.fleet.catalog);
  add_target ("t1", "a", true);
  add_target ("t2", "b", false);
  world.pool = cfs_pool_new (&world.adapter, &world.fleet, world_clock, 1);
  setup.pool = world.pool;
  world.sessions = cfs_sessions_new (&setup);
  cfs_sessions_add_sample (world.sessions, "db", &position, world.now);
  return 0;
}

static int
end (void **state)
{
  (void)state;
  cfs_sessions_free (world.sessions);
  cfs_pool_free (world.pool);
  for (struct fake_conn *c = world.conns; c;)
    {
      struct fake_conn *next = c->next;

      free (c);
      c = next;
    }
  cfs_quota_end (&world.quota);
  cfs_fleet_end (&world.fleet);
  return 0;
}

static void
evacuate (const char *zone)
{
  Cfs__Evacuation order = CFS__EVACUATION__INIT;
  struct cfs_evacuation *e;

  order.zone = (char *)zone;
  order.active = true;
  cfs_evacuations_apply (&world.fleet.evacuations, &order, 5);
  e = cfs_table_find (&world.fleet.evacuations, zone);
  e->since = world.now;
}

static struct cfs_session *
open_session (const char *database)
{
  enum cfs_reply_code code;
  struct cfs_session *s
      = cfs_session_open (world.sessions, &world.caller, database, "", &code);

  assert_non_null (s);
  assert_int_equal (code, REPLY_OK);
  return s;
}

static void
send (struct cfs_session *s, enum cfs_verb verb)
{
  struct cfs_statement st = { .verb = verb, .id = "1", .arg = "x" };

  world.replies = 0;
  cfs_session_statement (s, &st);
}

static void
send_and_wait (struct cfs_session *s, enum cfs_verb verb)
{
  send (s, verb);
  run (100 * CFS_US_PER_MS);
  assert_int_equal (world.replies, 1);
}

static void
reads_leave_the_zone_at_once (void **state)
{
  struct cfs_session *s = open_session ("all");

  (void)state;
  evacuate ("a");
  for (int i = 0; i < 20; i++)
    {
      send_and_wait (s, VERB_READ);
      assert_int_equal (world.code, REPLY_OK);
      assert_string_equal (world.last_target, "t2");
    }
  assert_int_equal (world.sent_to_a_at, 0);
  cfs_session_close (s);
}

static void
a_statement_that_no_target_may_run_is_rejected_at_once (void **state)
{
  struct cfs_session *s = open_session ("all");

  (void)state;
  evacuate ("a");
  evacuate ("b");
  send (s, VERB_READ);
  assert_int_equal (world.replies, 1);
  assert_int_equal (world.code, REPLY_BUSY);
  assert_non_null (strstr (world.text, "not run (zone evacuated)"));
  send_and_wait (s, VERB_WRITE);
  assert_int_equal (world.code, REPLY_OK);
  run (EVACUATE_US - EVACUATION_RESERVE_US);
  send (s, VERB_WRITE);
  assert_int_equal (world.replies, 1);
  assert_int_equal (world.code, REPLY_BUSY);
  cfs_session_close (s);
}

static void
a_transaction_ends_before_the_time_is_up (void **state)
{
  struct cfs_session *s = open_session ("all");
  int64_t ordered_at;

  (void)state;
  send_and_wait (s, VERB_BEGIN);
  send_and_wait (s, VERB_WRITE);
  assert_int_equal (world.code, REPLY_OK);
  assert_string_equal (world.last_target, "t1");
  ordered_at = world.now;
  evacuate ("a");
  run (EVACUATE_US / 2);
  send_and_wait (s, VERB_WRITE);
  assert_int_equal (world.code, REPLY_OK);
  run (EVACUATE_US);
  assert_int_equal (cfs_session_state (s), TX_FAILED);
  send_and_wait (s, VERB_COMMIT);
  assert_int_equal (world.code, REPLY_ABORTED);
  assert_true (world.sent_to_a_at
               < ordered_at + EVACUATE_US - EVACUATION_RESERVE_US);
  for (const struct fake_conn *c = world.conns; c; c = c->next)
    assert_true (c->closed);
  cfs_session_close (s);
}

static void
a_route_keeps_to_its_regions (void **state)
{
  struct cfs_session *near = open_session ("near");
  struct cfs_session *far = open_session ("far");

  (void)state;
  send_and_wait (near, VERB_READ);
  assert_int_equal (world.code, REPLY_OK);
  send_and_wait (near, VERB_WRITE);
  assert_int_equal (world.code, REPLY_OK);
  send (far, VERB_READ);
  assert_int_equal (world.replies, 1);
  assert_int_equal (world.code, REPLY_BUSY);
  assert_non_null (strstr (world.text, "region not allowed"));
  send (far, VERB_WRITE);
  assert_int_equal (world.replies, 1);
  assert_int_equal (world.code, REPLY_BUSY);
  cfs_session_close (near);
  cfs_session_close (far);
}

static void
set_cold (const char *id, uint32_t cold_ms)
{
  struct cfs_target *t = cfs_table_find (&world.fleet.targets, id);

  t->cold_ms = cold_ms;
}

/* Answers the token request of the host; returns the number of tokens that it
   asked for. */
static uint32_t
grant (uint32_t count)
{
  struct cfs_quota_need need = { .team = NULL };
  struct cfs_quota_token_reply reply
      = { .authoritative = true, .sent_at = world.now };

  if (!cfs_quota_start_request (&world.quota, &need, 1, world.now))
    return 0;
  reply.requested = need.count;
  reply.count = count;
  cfs_quota_request_replied (&world.quota, world.now);
  cfs_quota_add_tokens (&world.quota, need.team, &reply);
  return need.count;
}

static void
reads_prefer_warm_targets (void **state)
{
  struct cfs_session *s = open_session ("all");

  (void)state;
  set_cold ("t1", 1000);
  for (int i = 0; i < 20; i++)
    {
      send_and_wait (s, VERB_READ);
      assert_int_equal (world.code, REPLY_OK);
      assert_string_equal (world.last_target, "t2");
    }
  cfs_session_close (s);
}

static void
a_cold_target_gets_a_statement_for_each_token (void **state)
{
  struct cfs_session *s = open_session ("all");

  (void)state;
  set_cold ("t1", 1000);
  set_cold ("t2", 1000);
  send (s, VERB_READ);
  run (100 * CFS_US_PER_MS);
  assert_int_equal (world.replies, 0);
  assert_string_equal (world.last_target, "");
  assert_int_equal (grant (1), 1);
  run (50 * CFS_US_PER_MS);
  assert_int_equal (world.replies, 1);
  assert_int_equal (world.code, REPLY_OK);
  assert_int_equal (grant (1), 0);
  send_and_wait (s, VERB_BEGIN);
  for (int i = 0; i < 2; i++)
    {
      send (s, VERB_WRITE);
      run (100 * CFS_US_PER_MS);
      assert_int_equal (world.replies, 0);
      assert_int_equal (grant (1), 1);
      run (50 * CFS_US_PER_MS);
      assert_int_equal (world.replies, 1);
      assert_int_equal (world.code, REPLY_OK);
    }
  set_cold ("t1", 0);
  send_and_wait (s, VERB_COMMIT);
  assert_int_equal (world.code, REPLY_OK);
  cfs_session_close (s);
}

/* The statement is rejected some time after the leader has denied the token,
   not at the end of its timeout. */
static void
a_denied_token_rejects_the_statement (void **state)
{
  struct cfs_session *s = open_session ("all");
  Cfs__TeamShare share = CFS__TEAM_SHARE__INIT;
  Cfs__TeamShare *shares[] = { &share };

  (void)state;
  set_cold ("t1", 1000);
  set_cold ("t2", 1000);
  send (s, VERB_READ);
  run (50 * CFS_US_PER_MS);
  share.known = true;
  cfs_quota_update (&world.quota, shares, 1, world.fleet.catalog,
                    world.now + CFS_US_PER_S, world.now);
  for (int i = 0; i < 8; i++)
    {
      run (50 * CFS_US_PER_MS);
      grant (0);
    }
  assert_int_equal (world.replies, 1);
  assert_int_equal (world.code, REPLY_BUSY);
  assert_non_null (strstr (world.text, "not run (cold)"));
  assert_string_equal (world.last_target, "");
  assert_int_equal (grant (1), 0);
  cfs_session_close (s);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (reads_leave_the_zone_at_once, start, end),
    cmocka_unit_test_setup_teardown (
        a_statement_that_no_target_may_run_is_rejected_at_once, start, end),
    cmocka_unit_test_setup_teardown (a_transaction_ends_before_the_time_is_up,
                                     start, end),
    cmocka_unit_test_setup_teardown (a_route_keeps_to_its_regions, start, end),
    cmocka_unit_test_setup_teardown (reads_prefer_warm_targets, start, end),
    cmocka_unit_test_setup_teardown (
        a_cold_target_gets_a_statement_for_each_token, start, end),
    cmocka_unit_test_setup_teardown (a_denied_token_rejects_the_statement,
                                     start, end)
  };

  cfs_log_open ("test", getenv ("TRACE") ? CFS_INFO : CFS_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
