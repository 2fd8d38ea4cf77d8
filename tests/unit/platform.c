/*
 * The decoders of the platform's messages: scripted input with expected
 * output, mutated input that must do no harm, lines that come in pieces.
 */
#include "../../platform/document.h"
#include "../../platform/line_conn.h"
#include "../../platform/report.h"
#include "../../platform/line_protocol.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <apr_general.h>
#include <cmocka.h>

#define MUTATIONS 20000

static const char document[]
    = "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"database\":\"sheet\","
      "\"path_prefix\":\"/\",\"type\":\"bounded_staleness\",\"timeout_ms\":"
      "1200,\"target_latency_ms\":600,\"priority\":2,\"service\":\"db\","
      "\"max_attempts\":2,\"max_staleness_ms\":1500,\"public\":false}],"
      "\"services\":[{\"name\":\"db\",\"max_connections\":36,"
      "\"sync_replicas\":1}],\"limits\":{\"tx_idle_ms\":3000},\"tenants\":"
      "[{\"name\":\"a\",\"api_keys\":[\"k1\",\"k2\"],\"priority\":1,"
      "\"rate_per_s\":117,\"burst\":100},{\"name\":\"b\",\"api_keys\":"
      "[\"k3\"],\"rate_per_s\":5,\"burst\":5}]}";

static const char report[]
    = "{\"service\":\"db\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z1\","
      "\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","
      "\"cold_remaining_ms\":0,\"db_role\":\"replica\",\"sequence\":4,"
      "\"born\":1700000000000}";

/* Replaces the first @from of a text; freed by g_free(). */
static char *
replaced (const char *text, const char *from, const char *to)
{
  const char *at = strstr (text, from);

  assert_non_null (at);
  return g_strdup_printf ("%.*s%s%s", (int)(at - text), text, to,
                          at + strlen (from));
}

static void
a_document_becomes_a_catalog (void **state)
{
  struct cfs_catalog *c = document_decode (document, NULL);
  const struct cfs_route *r;

  (void)state;
  assert_non_null (c);
  assert_int_equal (c->version, 7);
  r = cfs_catalog_route (c, "sheet");
  assert_non_null (r);
  assert_int_equal (r->consistency, CONSISTENCY_BOUNDED);
  assert_int_equal (r->timeout_us, 1200000);
  assert_int_equal (r->max_age_us, 1500000);
  assert_string_equal (c->services[r->service].name, "db");
  assert_string_equal (cfs_catalog_team_by_key (c, "k2")->name, "a");
  assert_string_equal (cfs_catalog_team_by_key (c, "k3")->name, "b");
  assert_null (cfs_catalog_team_by_key (c, "k4"));
  assert_null (cfs_catalog_route (c, "other"));
  assert_int_equal (c->transaction_idle_us, 3000000);
  cfs_catalog_free (c);
}

static void
expect_refused (const char *from, const char *to, const char *why)
{
  char *text = replaced (document, from, to);
  GError *error = NULL;

  assert_null (document_decode (text, &error));
  assert_string_equal (error->message, why);
  g_error_free (error);
  g_free (text);
}

static void
invalid_documents_are_refused (void **state)
{
  (void)state;
  expect_refused ("}]}", "", "the document is not a JSON object");
  expect_refused ("\"service\":\"db\"", "\"service\":\"dc\"",
                  "routes[].service: no such service");
  expect_refused ("\"timeout_ms\":1200", "\"timeout_ms\":0",
                  "routes[].timeout_ms: must not be 0");
  expect_refused ("\"timeout_ms\":1200,", "",
                  "routes[].timeout_ms: must be a number >= 0");
  expect_refused ("[\"k3\"]", "[\"k1\"]", "two teams share a key");
  expect_refused ("bounded_staleness", "newest",
                  "routes[].type: missing or unknown");
  expect_refused ("\"version\":7", "\"version\":7.5",
                  "version: must be a whole number");
  expect_refused ("\"version\":7,", "", "version: must be a number >= 1");
  expect_refused ("\"public\":false}]",
                  "\"public\":false},{\"database\":\"sheet\",\"type\":"
                  "\"primary\",\"timeout_ms\":5,\"service\":\"db\"}]",
                  "two routes have the same database");
}

static void
unknown_fields_are_passed_over (void **state)
{
  char *text = replaced (document, "\"priority\":2", "\"colour\":[1,{}]");
  struct cfs_catalog *c = document_decode (text, NULL);

  (void)state;
  assert_non_null (c);
  cfs_catalog_free (c);
  g_free (text);
}

static void
reports_are_read_or_refused (void **state)
{
  static const char *const bad[][2] = {
    { "\"ready\"", "\"resting\"" },
    { "\"replica\"", "\"witness\"" },
    { "\"slots\":2", "\"slots\":0" },
    { "\"sequence\":4", "\"sequence\":\"4\"" },
    { "10.0.0.9:8080", "nowhere" },
    { "1700000000000", "17.5" },
    { "\"zone\":\"z1\",", "" },
    { "}", "" },
  };
  struct cfs_target t;

  (void)state;
  assert_true (report_decode (report, "i-1", &t));
  assert_string_equal (t.id, "i-1");
  assert_string_equal (t.address, "10.0.0.9:8080");
  assert_false (t.primary || t.draining);
  assert_int_equal (t.incarnation, 1700000000000);
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      char *text = replaced (report, bad[i][0], bad[i][1]);

      assert_false (report_decode (text, "i-1", &t));
      g_free (text);
    }
  assert_false (report_decode (report, "", &t));
}

/* Each line: what a caller sends, and what an instance gets. */
static void
statements_are_passed_on_unchanged (void **state)
{
  static const char *const same[]
      = { "BEGIN",          "BEGIN READ",       "COMMIT",
          "ROLLBACK",       "READ 1a4",         "WRITE 1a4 some data",
          "SET zone east",  "SET a b c  d",     "PREPARE s1 WRITE q2c",
          "EXECUTE s1 1a4", "EXECUTE s1 1a4 x", "CLOSE s1" };
  static const char *const bad[] = {
    "",        "READ",           "WRITE 1a4",         "BEGIN WRITE",
    "SET a",   "PREPARE s1 q2c", "PREPARE s1 BOTH q", "STATUS",
    "PAUSE 4", "DEMOTE 4",       "COMMIT now",        "AFTER 3.1 READ 1a4",
    "read 1a4"
  };
  struct cfs_statement s;

  (void)state;
  for (size_t i = 0; i < sizeof same / sizeof same[0]; i++)
    {
      char *text = g_strdup (same[i]);
      char *want = g_strdup_printf ("QUERY 77 %s\r\n", same[i]);
      GString *out = g_string_new (NULL);

      assert_true (line_protocol_parse_statement (text, &s));
      s.id = "77";
      line_protocol_put_statement (out, &s);
      assert_string_equal (out->str, want);
      g_string_free (out, TRUE);
      g_free (want);
      g_free (text);
    }
  for (size_t i = 0; i < sizeof bad / sizeof bad[0]; i++)
    {
      char *text = g_strdup (bad[i]);

      assert_false (line_protocol_parse_statement (text, &s));
      g_free (text);
    }
}

static void
positions_go_before_a_statement (void **state)
{
  struct cfs_statement s
      = { .verb = VERB_READ, .arg = "1a4", .after = { 3, 1207 } };
  GString *out = g_string_new (NULL);

  (void)state;
  line_protocol_put_statement (out, &s);
  assert_string_equal (out->str, "QUERY - AFTER 3.1207 READ 1a4\r\n");
  g_string_free (out, TRUE);
}

static void
mutate (char *text, size_t len, uint64_t *seed)
{
  size_t count = 1 + cfs_random (seed) % 4;

  while (count-- > 0)
    text[cfs_random (seed) % len] = (char)(1 + cfs_random (seed) % 255);
}

static void
mutated_input_does_no_harm (void **state)
{
  static const char statement[] = "PREPARE s1 WRITE q2c";
  uint64_t seed = 42;

  (void)state;
  for (int i = 0; i < MUTATIONS; i++)
    {
      char *d = g_strdup (document);
      char *r = g_strdup (report);
      char *s = g_strdup (statement);
      struct cfs_statement st;
      struct cfs_target t;
      struct cfs_position p;
      enum cfs_tx_state tx;

      mutate (d, sizeof document - 1, &seed);
      mutate (r, sizeof report - 1, &seed);
      mutate (s, sizeof statement - 1, &seed);
      cfs_catalog_free (document_decode (d, NULL));
      report_decode (r, "i-1", &t);
      line_protocol_parse_position (s, &p);
      line_protocol_parse_statement (s, &st);
      line_protocol_parse_ready (r, &tx, &p);
      g_free (d);
      g_free (r);
      g_free (s);
    }
}

/* What a connection told its owner. */
struct heard
{
  GString *lines;
  unsigned ended;
};

static void
on_line (void *owner, char *text, size_t len)
{
  struct heard *h = owner;

  assert_int_equal (strlen (text), len);
  g_string_append_printf (h->lines, "[%s]", text);
}

static void
on_ended (void *owner, const char *reason)
{
  (void)reason;
  ((struct heard *)owner)->ended++;
}

static const struct line_conn_events events = { NULL, on_line, on_ended };

/* Sends @text in pieces of @piece bytes and gives what was heard. */
static char *
hear (const char *text, size_t len, size_t piece, unsigned *ended)
{
  static const struct line_conn_options options = { 1000, 1 };
  struct heard h = { g_string_new (NULL), 0 };
  apr_pool_t *pool;
  struct cfs_loop *loop;
  struct line_conn *l;
  int ends[2];

  apr_pool_create (&pool, NULL);
  loop = cfs_loop_new (pool);
  assert_int_equal (socketpair (AF_UNIX, SOCK_STREAM, 0, ends), 0);
  l = line_conn_accept (loop, ends[0], &options, &events, &h);
  for (size_t at = 0; at < len && !h.ended; at += piece)
    {
      size_t part = len - at < piece ? len - at : piece;

      assert_int_equal (send (ends[1], text + at, part, MSG_NOSIGNAL), part);
      cfs_loop_poll (loop, 1000);
    }
  for (int i = 0; i < 4 && !h.ended; i++)
    cfs_loop_poll (loop, 1000);
  *ended = h.ended;
  line_conn_free (l);
  close (ends[1]);
  apr_pool_destroy (pool);
  return g_string_free (h.lines, FALSE);
}

static void
lines_come_whole_however_they_are_cut (void **state)
{
  static const char text[] = "STARTUP a b\r\nQUERY 1 READ x\r\n\r\nlast\n";
  unsigned ended;

  (void)state;
  for (size_t piece = 1; piece < sizeof text; piece++)
    {
      char *heard = hear (text, sizeof text - 1, piece, &ended);

      assert_string_equal (heard, "[STARTUP a b][QUERY 1 READ x][][last]");
      assert_int_equal (ended, 0);
      g_free (heard);
    }
}

static void
a_line_without_end_is_ended (void **state)
{
  size_t len = LINE_BYTES_MAX + 65536;
  char *text = g_malloc (len);
  unsigned ended;
  char *heard;

  (void)state;
  memset (text, 'x', len);
  heard = hear (text, len, 16384, &ended);
  assert_string_equal (heard, "");
  assert_int_equal (ended, 1);
  g_free (heard);
  g_free (text);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (a_document_becomes_a_catalog),
          cmocka_unit_test (invalid_documents_are_refused),
          cmocka_unit_test (unknown_fields_are_passed_over),
          cmocka_unit_test (reports_are_read_or_refused),
          cmocka_unit_test (statements_are_passed_on_unchanged),
          cmocka_unit_test (positions_go_before_a_statement),
          cmocka_unit_test (mutated_input_does_no_harm),
          cmocka_unit_test (lines_come_whole_however_they_are_cut),
          cmocka_unit_test (a_line_without_end_is_ended) };
  int rc;

  apr_initialize ();
  rc = cmocka_run_group_tests (tests, NULL, NULL);
  apr_terminate ();
  return rc;
}
