/*
 * A compressed message is a message of its own type that contains the original
 * one, so a receiver tells them apart by the schema alone.  Compressed
 * messages are never nested.
 */
#include "message_codec.h"

#include "../cfs.h"

#include <stdlib.h>
#include <string.h>
#include <zlib.h>

static uint8_t *
encode_plain (const Cfs__Peer *msg, size_t *len)
{
  uint8_t *data;

  *len = cfs__peer__get_packed_size (msg);
  data = cfs_alloc (*len + 1);
  cfs__peer__pack (msg, data);
  return data;
}

/* Compresses @len bytes.  Returns whether the result, in @out, is smaller. */
static bool
deflate_bytes (const uint8_t *plain, size_t len, Cfs__Deflated *out)
{
  uLongf size = compressBound (len);
  uint8_t *data = cfs_alloc (size);

  if (compress2 (data, &size, plain, len, Z_BEST_SPEED) != Z_OK || size >= len)
    {
      free (data);
      return false;
    }
  cfs__deflated__init (out);
  out->size = (uint32_t)len;
  out->data.data = data;
  out->data.len = size;
  return true;
}

/* Restores the bytes, with a zero byte after them.  NULL if malformed. */
static uint8_t *
inflate_bytes (const Cfs__Deflated *d)
{
  uLongf size = d->size;
  uint8_t *plain;

  if (size == 0 || size > MESSAGE_INFLATED_MAX_BYTES)
    return NULL;
  plain = calloc (1, size + 1);
  if (plain && uncompress (plain, &size, d->data.data, d->data.len) == Z_OK
      && size == d->size)
    return plain;
  free (plain);
  return NULL;
}

/* Encodes a message that holds @plain in compressed form.  Returns NULL when
   that is not smaller. */
static uint8_t *
encode_deflated (const uint8_t *plain, size_t plain_len, size_t *len)
{
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__Deflated d;
  uint8_t *data;

  if (!deflate_bytes (plain, plain_len, &d))
    return NULL;
  out.body_case = CFS__PEER__BODY_DEFLATED;
  out.deflated = &d;
  data = encode_plain (&out, len);
  free (d.data.data);
  return data;
}

static bool
holds_deflated_text (const Cfs__Peer *msg)
{
  return msg->body_case == CFS__PEER__BODY_REPLY
         && msg->reply->packed_document;
}

uint8_t *
cfs_message_encode (const Cfs__Peer *msg, size_t *len)
{
  uint8_t *plain = encode_plain (msg, len);
  uint8_t *deflated;
  size_t size;

  if (*len < MESSAGE_COMPRESS_MIN_BYTES || *len > MESSAGE_INFLATED_MAX_BYTES
      || holds_deflated_text (msg))
    return plain;
  deflated = encode_deflated (plain, *len, &size);
  if (!deflated)
    return plain;
  free (plain);
  *len = size;
  return deflated;
}

static Cfs__Peer *
decode_deflated (const Cfs__Deflated *d)
{
  uint8_t *plain = inflate_bytes (d);
  Cfs__Peer *msg = plain ? cfs__peer__unpack (NULL, d->size, plain) : NULL;

  free (plain);
  if (msg && msg->body_case == CFS__PEER__BODY_DEFLATED)
    {
      cfs__peer__free_unpacked (msg, NULL);
      return NULL;
    }
  return msg;
}

Cfs__Peer *
cfs_message_decode (const uint8_t *data, size_t len)
{
  Cfs__Peer *msg = cfs__peer__unpack (NULL, len, data);
  Cfs__Peer *inner;

  if (!msg || msg->body_case != CFS__PEER__BODY_DEFLATED)
    return msg;
  inner = decode_deflated (msg->deflated);
  cfs__peer__free_unpacked (msg, NULL);
  return inner;
}

bool
cfs_text_deflate (const char *text, Cfs__Deflated *out)
{
  return deflate_bytes ((const uint8_t *)text, strlen (text), out);
}

char *
cfs_text_inflate (const Cfs__Deflated *in)
{
  char *text = (char *)inflate_bytes (in);

  if (text && strlen (text) == in->size)
    return text;
  free (text);
  return NULL;
}
