/*
 * A compressed message is a message of its own type that contains the original
 * one, so a receiver tells them apart by the schema alone.  Compressed
 * messages are never nested.
 */
#include "message_codec.h"

#include "../cfs.h"

#include <stdlib.h>
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

/* Encodes a message that holds @plain in compressed form.  Returns NULL when
   that is not smaller. */
static uint8_t *
encode_deflated (const uint8_t *plain, size_t plain_len, size_t *len)
{
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__Deflated d = CFS__DEFLATED__INIT;
  uLongf size = compressBound (plain_len);
  uint8_t *data = NULL;

  d.size = (uint32_t)plain_len;
  d.data.data = cfs_alloc (size);
  if (compress2 (d.data.data, &size, plain, plain_len, Z_BEST_SPEED) == Z_OK
      && size < plain_len)
    {
      d.data.len = size;
      out.body_case = CFS__PEER__BODY_DEFLATED;
      out.deflated = &d;
      data = encode_plain (&out, len);
    }
  free (d.data.data);
  return data;
}

uint8_t *
cfs_message_encode (const Cfs__Peer *msg, size_t *len)
{
  uint8_t *plain = encode_plain (msg, len);
  uint8_t *deflated;
  size_t size;

  if (*len < MESSAGE_COMPRESS_MIN_BYTES || *len > MESSAGE_INFLATED_MAX_BYTES)
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
  Cfs__Peer *msg = NULL;
  uLongf size = d->size;
  uint8_t *plain;

  if (size == 0 || size > MESSAGE_INFLATED_MAX_BYTES)
    return NULL;
  plain = malloc (size);
  if (plain && uncompress (plain, &size, d->data.data, d->data.len) == Z_OK
      && size == d->size)
    msg = cfs__peer__unpack (NULL, size, plain);
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
