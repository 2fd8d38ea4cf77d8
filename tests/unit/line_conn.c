/*
 * Buffered connections under pressure: lines at the limit of length and one
 * byte past it, pauses with lines in the buffer, a receive buffer that gets no
 * memory, and a peer that goes away during a pause.
 */
#include "../../platform/line_conn.h"

#include <apr_general.h>
#include <glib.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#define CHUNK 16384
#define SHORT_LINES 40
#define GRANTED 65536

struct owner
{
  apr_pool_t *pool;
  struct cfs_loop *loop;
  struct line_conn *conn;
  int peer;
  unsigned lines;
  size_t longest;
  unsigned pause_after;
  unsigned ended;
  size_t granted;
  size_t buffer;
};

static void
on_line (void *ctx, char *text, size_t len)
{
  struct owner *o = ctx;

  assert_int_equal (strlen (text), len);
  o->lines++;
  if (len > o->longest)
    o->longest = len;
  if (o->lines == o->pause_after)
    line_conn_pause (o->conn);
}

static void
on_ended (void *ctx, const char *reason)
{
  struct owner *o = ctx;

  (void)reason;
  o->ended++;
  line_conn_free (o->conn);
  o->conn = NULL;
}

static bool
grant (void *ctx, size_t bytes)
{
  struct owner *o = ctx;

  if (bytes > o->granted)
    return false;
  o->buffer = bytes;
  return true;
}

static int
set_up (void **state)
{
  static const struct line_conn_events events = { NULL, on_line, on_ended };
  static const struct line_conn_options options = { 1000, 1 };
  struct owner *o = cfs_alloc (sizeof *o);
  int ends[2];

  apr_pool_create (&o->pool, NULL);
  o->loop = cfs_loop_new (o->pool);
  assert_int_equal (socketpair (AF_UNIX, SOCK_STREAM, 0, ends), 0);
  o->peer = ends[1];
  o->granted = SIZE_MAX;
  o->conn = line_conn_accept (o->loop, ends[0], &options, &events, o);
  line_conn_set_grant (o->conn, grant);
  *state = o;
  return 0;
}

static int
tear_down (void **state)
{
  struct owner *o = *state;

  line_conn_free (o->conn);
  close (o->peer);
  apr_pool_destroy (o->pool);
  free (o);
  return 0;
}

static void
poll_often (struct owner *o)
{
  for (int i = 0; i < 8; i++)
    cfs_loop_poll (o->loop, 100);
}

/* Sends as much as the socket takes; returns how much. */
static size_t
send_some (struct owner *o, const char *text, size_t len)
{
  size_t sent = 0;

  while (sent < len && o->conn)
    {
      size_t part = len - sent < CHUNK ? len - sent : CHUNK;
      ssize_t n
          = send (o->peer, text + sent, part, MSG_NOSIGNAL | MSG_DONTWAIT);

      if (n > 0)
        sent += (size_t)n;
      else if (line_conn_paused (o->conn))
        break;
      cfs_loop_poll (o->loop, 100);
    }
  return sent;
}

static void
send_line_of (struct owner *o, size_t bytes)
{
  char *text = g_strnfill (bytes + 2, 'x');

  memcpy (text + bytes, "\r\n", 2);
  send_some (o, text, bytes + 2);
  poll_often (o);
  g_free (text);
}

static void
a_line_of_the_maximum_length_is_passed_on (void **state)
{
  struct owner *o = *state;

  send_line_of (o, LINE_BYTES_MAX);
  assert_int_equal (o->lines, 1);
  assert_int_equal (o->longest, LINE_BYTES_MAX);
  assert_int_equal (o->ended, 0);
  assert_int_equal (o->buffer, 0);
}

static void
a_line_one_byte_longer_ends_the_connection (void **state)
{
  struct owner *o = *state;

  send_line_of (o, LINE_BYTES_MAX + 1);
  assert_int_equal (o->lines, 0);
  assert_int_equal (o->ended, 1);
}

static void
a_pause_keeps_the_lines_behind_it (void **state)
{
  struct owner *o = *state;

  o->pause_after = 3;
  for (int i = 0; i < SHORT_LINES; i++)
    send_some (o, "QUERY 1 READ x\r\n", 16);
  poll_often (o);
  assert_int_equal (o->lines, 3);
  o->pause_after = 5;
  line_conn_resume (o->conn);
  poll_often (o);
  assert_int_equal (o->lines, 5);
  assert_true (line_conn_paused (o->conn));
  line_conn_resume (o->conn);
  poll_often (o);
  assert_int_equal (o->lines, SHORT_LINES);
  assert_int_equal (o->ended, 0);
}

static void
without_memory_reading_waits (void **state)
{
  struct owner *o = *state;
  size_t len = LINE_BYTES_MAX / 2;
  char *text = g_strnfill (len, 'x');
  size_t sent;

  text[len - 2] = '\r';
  text[len - 1] = '\n';
  o->granted = GRANTED;
  sent = send_some (o, text, len);
  assert_true (sent < len);
  assert_true (o->buffer <= GRANTED);
  line_conn_resume (o->conn);
  assert_true (line_conn_paused (o->conn));
  o->granted = SIZE_MAX;
  line_conn_resume (o->conn);
  send_some (o, text + sent, len - sent);
  poll_often (o);
  assert_int_equal (o->lines, 1);
  assert_int_equal (o->longest, len - 2);
  assert_int_equal (o->buffer, 0);
  g_free (text);
}

static void
a_peer_that_goes_away_ends_a_paused_connection (void **state)
{
  struct owner *o = *state;

  line_conn_pause (o->conn);
  close (o->peer);
  o->peer = -1;
  poll_often (o);
  assert_int_equal (o->ended, 1);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test_setup_teardown (a_line_of_the_maximum_length_is_passed_on,
                                     set_up, tear_down),
    cmocka_unit_test_setup_teardown (
        a_line_one_byte_longer_ends_the_connection, set_up, tear_down),
    cmocka_unit_test_setup_teardown (a_pause_keeps_the_lines_behind_it, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (without_memory_reading_waits, set_up,
                                     tear_down),
    cmocka_unit_test_setup_teardown (
        a_peer_that_goes_away_ends_a_paused_connection, set_up, tear_down),
  };

  apr_initialize ();
  return cmocka_run_group_tests (tests, NULL, NULL);
}
