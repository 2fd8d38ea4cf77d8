/*
 * Shared helpers: names of codes, hashing, seeded random numbers and checked
 * allocation.  Placement uses FNV-1a because it gives the same result on every
 * machine and short keys are well distributed after one final mixing step.
 */
#include "cfs.h"

#include <glib.h>

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FNV_OFFSET UINT64_C (1469598103934665603)
#define FNV_PRIME UINT64_C (1099511628211)

/* Public name and HTTP status of each code. */
static const struct
{
  const char *name;
  unsigned http;
} code_table[CFS_CODE_COUNT] = {
  [CFS_CODE_OK] = { "ok", 200 },
  [CFS_CODE_BAD_REQUEST] = { "bad_request", 400 },
  [CFS_CODE_UNAUTHENTICATED] = { "unauthenticated", 401 },
  [CFS_CODE_FORBIDDEN] = { "forbidden", 403 },
  [CFS_CODE_NOT_FOUND] = { "not_found", 404 },
  [CFS_CODE_RATE_LIMITED] = { "rate_limited", 429 },
  [CFS_CODE_OVERLOADED] = { "overloaded", 503 },
  [CFS_CODE_DEADLINE] = { "deadline", 504 },
  [CFS_CODE_NO_LEASE] = { "no_lease", 503 },
  [CFS_CODE_MOVED] = { "moved", 503 },
  [CFS_CODE_NO_TARGET] = { "no_target", 503 },
  [CFS_CODE_WRITE_LOST] = { "write_lost", 409 },
  [CFS_CODE_SQL_ERROR] = { "sql_error", 422 },
  [CFS_CODE_CONNECTION_LOST] = { "connection_lost", 502 },
  [CFS_CODE_SUPERSEDED] = { "superseded", 502 },
  [CFS_CODE_TRANSACTION_LOST] = { "transaction_lost", 409 },
  [CFS_CODE_TRANSACTION_BUSY] = { "transaction_busy", 409 },
  [CFS_CODE_KEY_REUSED] = { "idempotency_key_reused", 422 },
  [CFS_CODE_DRAINING] = { "draining", 503 },
};

const char *
cfs_code_name (enum cfs_code code)
{
  if ((unsigned)code >= CFS_CODE_COUNT)
    return "internal";
  return code_table[code].name;
}

unsigned
cfs_code_http (enum cfs_code code)
{
  if ((unsigned)code >= CFS_CODE_COUNT)
    return 500;
  return code_table[code].http;
}

const char *
cfs_outcome_name (enum cfs_outcome outcome)
{
  if (outcome == CFS_NOT_RUN)
    return "not_run";
  return outcome == CFS_DONE ? "done" : "unknown";
}

void
cfs_copy (char *to, size_t size, const char *from)
{
  size_t len = from ? strlen (from) : 0;

  if (len >= size)
    len = size - 1;
  if (from && len)
    memcpy (to, from, len);
  to[len] = '\0';
}

bool
cfs_is_word (const char *text)
{
  if (!text || !*text || !g_utf8_validate (text, -1, NULL))
    return false;
  for (; *text; text++)
    if ((unsigned char)*text <= ' ' || *text == 0x7f)
      return false;
  return true;
}

uint64_t
cfs_hash (const void *data, size_t len, uint64_t seed)
{
  const unsigned char *p = data;
  uint64_t h = FNV_OFFSET ^ (seed * FNV_PRIME);

  for (size_t i = 0; i < len; i++)
    h = (h ^ p[i]) * FNV_PRIME;
  h ^= h >> 32;
  h *= UINT64_C (0x9E3779B97F4A7C15);
  return h ^ (h >> 29);
}

uint64_t
cfs_random (uint64_t *state)
{
  uint64_t x = *state;

  x ^= x >> 12;
  x ^= x << 25;
  x ^= x >> 27;
  *state = x;
  return x * UINT64_C (0x2545F4914F6CDD1D);
}

void *
cfs_alloc (size_t size)
{
  void *p = calloc (1, size ? size : 1);

  if (!p)
    {
      fputs ("coltsfootstage: out of memory\n", stderr);
      abort ();
    }
  return p;
}

void
cfs_grow (void *array, size_t *cap, size_t count, size_t size)
{
  void **slot = array;
  void *p;

  if (count < *cap)
    return;
  *cap = *cap ? *cap * 2 : 8;
  p = realloc (*slot, *cap * size);
  if (!p)
    {
      fputs ("coltsfootstage: out of memory\n", stderr);
      abort ();
    }
  *slot = p;
}

char *
cfs_strdup (const char *s)
{
  size_t len = s ? strlen (s) : 0;
  char *p = cfs_alloc (len + 1);

  if (s && len)
    memcpy (p, s, len);
  return p;
}
