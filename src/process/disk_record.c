/*
 * Record: length, checksum, index, term, kind, 4 zero bytes, data; integers
 * are little-endian.
 */
#include "disk_record.h"

#include <string.h>

#define RECORD_DATA_MAX (64u << 20)

void
disk_put64 (uint8_t *p, uint64_t v)
{
  for (int i = 0; i < 8; i++)
    p[i] = (uint8_t)(v >> (8 * i));
}

uint64_t
disk_get64 (const uint8_t *p)
{
  uint64_t v = 0;

  for (int i = 7; i >= 0; i--)
    v = (v << 8) | p[i];
  return v;
}

static void
put32 (uint8_t *p, uint32_t v)
{
  for (int i = 0; i < 4; i++)
    p[i] = (uint8_t)(v >> (8 * i));
}

static uint32_t
get32 (const uint8_t *p)
{
  return (uint32_t)p[0] | ((uint32_t)p[1] << 8) | ((uint32_t)p[2] << 16)
         | ((uint32_t)p[3] << 24);
}

size_t
disk_record_encode (const struct cfs_raft_entry *e, uint8_t *out)
{
  put32 (out, e->len);
  disk_put64 (out + 8, e->index);
  disk_put64 (out + 16, e->term);
  put32 (out + 24, e->kind);
  put32 (out + 28, 0);
  if (e->len)
    memcpy (out + DISK_RECORD_HEADER_BYTES, e->data, e->len);
  put32 (out + 4,
         (uint32_t)cfs_hash (out + 8, DISK_RECORD_HEADER_BYTES - 8 + e->len,
                             e->len + 1));
  return DISK_RECORD_HEADER_BYTES + e->len;
}

void
disk_record_decode (const uint8_t *p, struct cfs_raft_entry *e)
{
  e->len = get32 (p);
  e->index = disk_get64 (p + 8);
  e->term = disk_get64 (p + 16);
  e->kind = get32 (p + 24);
  e->data = cfs_alloc (e->len);
  if (e->len)
    memcpy (e->data, p + DISK_RECORD_HEADER_BYTES, e->len);
}

size_t
disk_record_size (const uint8_t *p, size_t left)
{
  uint32_t len;

  if (left < DISK_RECORD_HEADER_BYTES)
    return 0;
  len = get32 (p);
  if (len > RECORD_DATA_MAX || left < DISK_RECORD_HEADER_BYTES + (size_t)len)
    return 0;
  if (get32 (p + 4)
      != (uint32_t)cfs_hash (p + 8, DISK_RECORD_HEADER_BYTES - 8 + len,
                             len + 1))
    return 0;
  return DISK_RECORD_HEADER_BYTES + (size_t)len;
}

bool
disk_record_follows (const uint8_t *p, size_t left)
{
  for (size_t i = 1; i + DISK_RECORD_HEADER_BYTES <= left; i++)
    if (disk_record_size (p + i, left - i))
      return true;
  return false;
}
