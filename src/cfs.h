/**
 * DOC: Types that every module shares.
 *
 * Time is an int64_t in microseconds of a monotonic clock and is always
 * passed in: no decision module reads a clock.  Results of calls are small
 * named values; typed refusals towards callers are enum cfs_code.
 */
#ifndef CFS_H
#define CFS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CFS_NAME_MAX 64
#define CFS_US_PER_MS INT64_C (1000)
#define CFS_US_PER_S INT64_C (1000000)
#define CFS_NEVER INT64_MAX

/**
 * enum cfs_status - result of a call inside the program
 * @CFS_OK: the call did what it says
 * @CFS_AGAIN: not now; call again after a later event
 * @CFS_BAD: the input is malformed; nothing was changed
 * @CFS_IO: a file or socket failed; the state in memory is unchanged
 * @CFS_CORRUPT: stored data is damaged in a way that must not be passed over
 * @CFS_FULL: a fixed bound was reached; nothing was changed
 * @CFS_NOT_LEADER: only the control leader can do this
 */
enum cfs_status
{
  CFS_OK = 0,
  CFS_AGAIN = -1,
  CFS_BAD = -2,
  CFS_IO = -3,
  CFS_CORRUPT = -4,
  CFS_FULL = -5,
  CFS_NOT_LEADER = -6
};

/**
 * enum cfs_outcome - what is known about the effect of a request
 * @CFS_NOT_RUN: certain that no target executed it with effect
 * @CFS_DONE: executed and, for a write, durable on the required instances
 * @CFS_UNKNOWN: it may or may not have taken effect
 */
enum cfs_outcome
{
  CFS_NOT_RUN = 0,
  CFS_DONE = 1,
  CFS_UNKNOWN = 2
};

/**
 * enum cfs_code - typed result of a request, sent to callers by name
 */
enum cfs_code
{
  CFS_CODE_OK = 0,
  CFS_CODE_BAD_REQUEST,
  CFS_CODE_UNAUTHENTICATED,
  CFS_CODE_FORBIDDEN,
  CFS_CODE_NOT_FOUND,
  CFS_CODE_RATE_LIMITED,
  CFS_CODE_OVERLOADED,
  CFS_CODE_DEADLINE,
  CFS_CODE_NO_LEASE,
  CFS_CODE_MOVED,
  CFS_CODE_NO_TARGET,
  CFS_CODE_WRITE_LOST,
  CFS_CODE_SQL_ERROR,
  CFS_CODE_CONNECTION_LOST,
  CFS_CODE_SUPERSEDED,
  CFS_CODE_TRANSACTION_LOST,
  CFS_CODE_TRANSACTION_BUSY,
  CFS_CODE_KEY_REUSED,
  CFS_CODE_DRAINING,
  CFS_CODE_COUNT
};

/**
 * cfs_code_name() - stable name of a code, as callers see it
 * @code: any value
 *
 * Return: a constant string, "internal" for values out of range.
 */
const char *cfs_code_name (enum cfs_code code);

/**
 * cfs_code_http() - HTTP status that carries a code
 * @code: any value
 *
 * Return: a status between 200 and 599.
 */
unsigned cfs_code_http (enum cfs_code code);

/**
 * cfs_outcome_name() - "not_run", "done" or "unknown"
 * @outcome: any value
 *
 * Return: a constant string.
 */
const char *cfs_outcome_name (enum cfs_outcome outcome);

/**
 * cfs_copy() - copies a string into a fixed buffer, always terminated
 * @to: buffer
 * @size: bytes in @to, at least 1
 * @from: string, NULL counts as empty
 */
void cfs_copy (char *to, size_t size, const char *from);

/**
 * cfs_hash() - 64-bit FNV-1a with a final mix, for placement and tables
 * @data: bytes
 * @len: number of bytes
 * @seed: any value; different seeds give independent hashes
 */
uint64_t cfs_hash (const void *data, size_t len, uint64_t seed);

/**
 * cfs_random() - next number of a seeded generator (xorshift64*)
 * @state: generator state, never 0
 */
uint64_t cfs_random (uint64_t *state);

/**
 * cfs_grow() - makes room for one more element in a growable array
 * @array: address of the array pointer
 * @cap: address of its capacity in elements
 * @count: elements in use
 * @size: bytes of an element
 *
 * Ends the process when memory is exhausted.
 */
void cfs_grow (void *array, size_t *cap, size_t count, size_t size);

/**
 * cfs_alloc() - zeroed memory; ends the process when memory is exhausted
 * @size: bytes
 *
 * Return: memory that the caller frees with free().
 */
void *cfs_alloc (size_t size);

/**
 * cfs_strdup() - copy of a string; NULL counts as empty
 * @s: string
 *
 * Return: memory that the caller frees with free().
 */
char *cfs_strdup (const char *s);

#endif
