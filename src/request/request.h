/**
 * DOC: A client request as seen by admission, the fair queue and the gate.
 *
 * The caller that created a request owns its payload.  The module to which
 * it was submitted owns the request until it replies to it.
 */
#ifndef CFS_REQUEST_H
#define CFS_REQUEST_H

#include "../cfs.h"

#define CFS_KEY_MAX 128
#define CFS_TRANSACTION_MAX 40

/**
 * enum cfs_request_kind - type of a request
 * @CFS_READ: one statement in a read-only transaction
 * @CFS_WRITE: one statement in its own read-write transaction
 * @CFS_BEGIN: opens a transaction
 * @CFS_STATEMENT: one statement inside a transaction
 * @CFS_COMMIT: commits a transaction
 * @CFS_ROLLBACK: rolls a transaction back
 */
enum cfs_request_kind
{
  CFS_READ = 0,
  CFS_WRITE,
  CFS_BEGIN,
  CFS_STATEMENT,
  CFS_COMMIT,
  CFS_ROLLBACK,
  CFS_KIND_COUNT
};

/**
 * enum cfs_lane - queue of a request
 * @CFS_LANE_READ: reads, served by a replica or the primary
 * @CFS_LANE_WRITE: writes and transactions, served by the primary
 */
enum cfs_lane
{
  CFS_LANE_READ = 0,
  CFS_LANE_WRITE,
  CFS_LANE_COUNT
};

/**
 * struct cfs_request - a request with its scheduling and retry state
 * @next: next request in the queue
 * @payload: statement and origin, owned by the caller
 * @weight: weight of the team in the fair queue
 * @started_at: time of the last attempt
 * @deadline: time at which the client stops waiting
 * @max_age_us: maximum staleness of the data returned by a read
 * @token_term: term of the position in the session token, 0 for no position
 * @token_position: log position that a read must include
 * @key: idempotency key or ""
 * @transaction: transaction id or ""
 * @send_once: must not be sent to a target more than once
 * @maybe_applied: an earlier attempt may have taken effect
 * @attempts: number of times it was sent to a target
 * @not_before: earliest time of the next attempt
 * @estimate_us: service time charged to the team when it was dequeued
 */
struct cfs_request
{
  struct cfs_request *next;
  void *payload;
  char team[CFS_NAME_MAX];
  uint32_t weight;
  enum cfs_request_kind kind;
  int64_t arrived_at;
  int64_t started_at;
  int64_t deadline;
  int64_t max_age_us;
  uint64_t token_term;
  uint64_t token_position;
  char key[CFS_KEY_MAX];
  char transaction[CFS_TRANSACTION_MAX];
  bool send_once;
  bool maybe_applied;
  unsigned attempts;
  int64_t not_before;
  int64_t estimate_us;
};

#endif
