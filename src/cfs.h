/**
 * DOC: Types and helpers shared by all modules.
 *
 * Times are int64_t microseconds of a monotonic clock.  Modules that make
 * decisions never read a clock; the current time is passed to them.  Functions
 * inside the program return an enum cfs_status, while clients are sent an
 * enum cfs_code.
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
 * enum cfs_status - result of a function inside the program
 * @CFS_OK: success
 * @CFS_AGAIN: not possible now; try again after a later event
 * @CFS_BAD: the input is malformed; nothing was changed
 * @CFS_IO: a file or socket operation failed; the state in memory is unchanged
 * @CFS_CORRUPT: stored data is damaged and must not be ignored
 * @CFS_FULL: a fixed capacity is exhausted; nothing was changed
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
 * @CFS_NOT_RUN: certainly without effect on any target
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
 * enum cfs_code - result code of a request, sent to clients by name
 * @CFS_CODE_RATE_LIMITED: the team's rate is used up
 * @CFS_CODE_OVERLOADED: the request cannot be queued, or would wait in the
 * queue beyond its deadline
 * @CFS_CODE_NO_LEASE: the lease of the host has expired
 * @CFS_CODE_MOVED: the host does not hold the gate of the database group
 * @CFS_CODE_NO_TARGET: no host holds the gate of the database group
 * @CFS_CODE_WRITE_LOST: a change that the session has seen was lost in a
 * failover
 * @CFS_CODE_CONNECTION_LOST: the connection to the target, or the host that
 * ran the request, was lost
 * @CFS_CODE_SUPERSEDED: a failover happened before the write was acknowledged
 * @CFS_CODE_TRANSACTION_LOST: the transaction does not exist any more
 * @CFS_CODE_TRANSACTION_BUSY: another request of the transaction is running
 * @CFS_CODE_KEY_REUSED: the idempotency key belongs to another statement
 * @CFS_CODE_DRAINING: the host is shutting down
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
 * cfs_code_name() - name of a code in the public API
 * @code: any value
 *
 * Return: a constant string, "internal" for values out of range.
 */
const char *cfs_code_name (enum cfs_code code);

/**
 * cfs_code_http() - HTTP status of a response with this code
 * @code: any value
 *
 * Return: a status between 200 and 599, 500 for values out of range.
 */
unsigned cfs_code_http (enum cfs_code code);

/**
 * cfs_outcome_name() - name of an outcome in the public API
 * @outcome: any value; other values count as CFS_UNKNOWN
 *
 * Return: a constant string.
 */
const char *cfs_outcome_name (enum cfs_outcome outcome);

/**
 * cfs_copy() - copies a string into a fixed-size buffer
 * @to: buffer, always NUL-terminated afterwards
 * @size: bytes in @to, at least 1
 * @from: string, truncated if it does not fit; NULL counts as empty
 */
void cfs_copy (char *to, size_t size, const char *from);

/**
 * cfs_is_word() - whether a text can be one word of a line
 * @text: string, or NULL
 *
 * Return: whether it is not empty, is valid UTF-8, and has neither blanks nor
 * control characters.
 */
bool cfs_is_word (const char *text);

/**
 * cfs_hash() - 64-bit FNV-1a with a final mixing step
 * @data: bytes
 * @len: number of bytes
 * @seed: any value; different seeds give independent hashes
 *
 * Used for placement and hash tables.
 */
uint64_t cfs_hash (const void *data, size_t len, uint64_t seed);

/**
 * cfs_random() - next number of a seeded xorshift64* generator
 * @state: generator state, must not be 0
 */
uint64_t cfs_random (uint64_t *state);

/**
 * cfs_grow() - makes room for one more element in a dynamic array
 * @array: address of the array pointer
 * @cap: address of its capacity in elements, doubled when exhausted
 * @count: elements in use
 * @size: size of an element in bytes
 *
 * Aborts the process when memory is exhausted.
 */
void cfs_grow (void *array, size_t *cap, size_t count, size_t size);

/**
 * cfs_alloc() - allocates zeroed memory
 * @size: bytes
 *
 * Aborts the process when memory is exhausted.
 *
 * Return: memory that the caller frees with free().
 */
void *cfs_alloc (size_t size);

/**
 * cfs_strdup() - duplicates a string
 * @s: string, NULL counts as empty
 *
 * Aborts the process when memory is exhausted.
 *
 * Return: memory that the caller frees with free().
 */
char *cfs_strdup (const char *s);

#endif
