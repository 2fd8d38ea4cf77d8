/*
 * A configuration document on its way from the control leader to its hosts: it
 * is compressed once, however many hosts ask for it.
 */
#include "../../src/process/leader.h"
#include "../../src/process/message_codec.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define DOCUMENT_BYTES 40000
#define SMALL_BYTES 100
#define VERSION 7
#define NOW CFS_US_PER_S

/* A leader that has one document. */
struct fixture
{
  struct cfs_state state;
  struct cfs_leader *leader;
  char text[DOCUMENT_BYTES + 1];
};

static uint64_t
propose (void *ctx, const uint8_t *data, size_t len)
{
  (void)ctx;
  (void)data;
  (void)len;
  return 0;
}

static const struct cfs_leader_ops ops = { propose };

static struct cfs_catalog *
decode (const char *text, uint64_t version, GError **error)
{
  (void)text;
  (void)version;
  (void)error;
  return NULL;
}

static const struct cfs_document_decoder decoder = { decode };

static void
set_document (struct fixture *f, size_t bytes, uint64_t number)
{
  Cfs__Command c = CFS__COMMAND__INIT;
  Cfs__Document d = CFS__DOCUMENT__INIT;
  uint8_t *data;
  size_t len;

  for (size_t i = 0; i < bytes; i++)
    f->text[i] = (char)('a' + (i * i + number) % 26);
  f->text[bytes] = '\0';
  d.number = number;
  d.body = f->text;
  c.body_case = CFS__COMMAND__BODY_DOCUMENT;
  c.document = &d;
  data = malloc (cfs__command__get_packed_size (&c));
  len = cfs__command__pack (&c, data);
  cfs_state_apply (&f->state, data, len, number);
  free (data);
  cfs_leader_tick (f->leader, true, number, NOW);
}

static struct fixture *
new_fixture (size_t bytes)
{
  struct fixture *f = cfs_alloc (sizeof *f);

  cfs_state_init (&f->state);
  f->leader = cfs_leader_new (&ops, f, &f->state);
  cfs_leader_set_document_decoder (f->leader, &decoder, CFS_US_PER_S);
  set_document (f, bytes, VERSION);
  return f;
}

static void
free_fixture (struct fixture *f)
{
  cfs_leader_free (f->leader);
  cfs_state_end (&f->state);
  free (f);
}

static const Cfs__HeartbeatReply *
send_heartbeat (struct fixture *f, const char *host)
{
  Cfs__Heartbeat h = CFS__HEARTBEAT__INIT;

  h.host = (char *)host;
  h.boot = 1;
  return cfs_leader_heartbeat (f->leader, &h, NOW);
}

/* Encodes a reply and checks that the receiver gets the document. */
static void
check_delivery (const struct fixture *f, const Cfs__HeartbeatReply *reply,
                bool encoded_as_is)
{
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__Peer *in;
  uint8_t *data;
  char *text;
  size_t len;

  out.body_case = CFS__PEER__BODY_REPLY;
  out.reply = (Cfs__HeartbeatReply *)reply;
  data = cfs_message_encode (&out, &len);
  assert_true (!encoded_as_is || len == cfs__peer__get_packed_size (&out));
  in = cfs_message_decode (data, len);
  assert_non_null (in);
  if (in->reply->packed_document)
    text = cfs_text_inflate (in->reply->packed_document);
  else
    text = cfs_strdup (in->reply->document);
  assert_string_equal (text, f->text);
  free (text);
  free (data);
  cfs__peer__free_unpacked (in, NULL);
}

static void
a_document_is_compressed_once_for_all_hosts (void **state)
{
  struct fixture *f = new_fixture (DOCUMENT_BYTES);
  const uint8_t *first;

  (void)state;
  first = send_heartbeat (f, "h1")->packed_document->data.data;
  assert_ptr_equal (send_heartbeat (f, "h2")->packed_document->data.data,
                    first);
  check_delivery (f, send_heartbeat (f, "h3"), true);
  free_fixture (f);
}

static void
the_next_document_replaces_the_compressed_one (void **state)
{
  struct fixture *f = new_fixture (DOCUMENT_BYTES);

  (void)state;
  set_document (f, DOCUMENT_BYTES / 2, VERSION + 1);
  check_delivery (f, send_heartbeat (f, "h1"), true);
  set_document (f, SMALL_BYTES, VERSION + 2);
  check_delivery (f, send_heartbeat (f, "h1"), true);
  free_fixture (f);
}

/* Between the application of a document and the next tick. */
static void
a_document_that_is_not_compressed_yet_is_sent_as_it_is (void **state)
{
  struct fixture *f = new_fixture (DOCUMENT_BYTES);
  char *newer = cfs_strdup (f->text);

  (void)state;
  newer[0] = '!';
  free (f->state.document);
  f->state.document = newer;
  f->state.version++;
  f->text[0] = '!';
  check_delivery (f, send_heartbeat (f, "h1"), false);
  free_fixture (f);
}

static void
a_malformed_text_is_rejected (void **state)
{
  struct fixture *f = new_fixture (DOCUMENT_BYTES);
  Cfs__Deflated d = *send_heartbeat (f, "h1")->packed_document;
  Cfs__Deflated zeros;
  size_t len = d.data.len;
  uint32_t size = d.size;

  (void)state;
  d.data.len = len / 2;
  assert_null (cfs_text_inflate (&d));
  d.data.len = len;
  d.size = size - 1;
  assert_null (cfs_text_inflate (&d));
  d.size = size + 1;
  assert_null (cfs_text_inflate (&d));
  d.size = UINT32_MAX;
  assert_null (cfs_text_inflate (&d));
  d.size = 0;
  assert_null (cfs_text_inflate (&d));
  assert_true (cfs_text_deflate (f->text, &zeros));
  zeros.size = 0;
  assert_null (cfs_text_inflate (&zeros));
  free (zeros.data.data);
  free_fixture (f);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_document_is_compressed_once_for_all_hosts),
    cmocka_unit_test (the_next_document_replaces_the_compressed_one),
    cmocka_unit_test (a_document_that_is_not_compressed_yet_is_sent_as_it_is),
    cmocka_unit_test (a_malformed_text_is_rejected),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
