/**
 * DOC: One request as the decision modules see it.
 *
 * The adapter that made a request owns its payload; the module it was
 * submitted to owns the request until it answers it.
 */
#ifndef CFS_REQUEST_H
#define CFS_REQUEST_H

#include "../cfs.h"

#define CFS_KEY_MAX 128
#define CFS_TRANSACTION_MAX 40

/**
 * enum cfs_request_kind - what a request asks for
 * @CFS_READ: one statement in a read-only transaction
 * @CFS_WRITE: one statement in a transaction of its own
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

/** enum cfs_lane - queue that a request waits in: replicas or primary */
enum cfs_lane
{
  CFS_LANE_READ = 0,
  CFS_LANE_WRITE,
  CFS_LANE_COUNT
};

/**
 * struct cfs_request - a request and its state inside a module
 * @next: link of the queue that it waits in
 * @payload: statement and origin, owned by the adapter
 * @deadline: time after which an answer is of no use
 * @max_age_us: greatest age of the data of a read
 * @token_term: term of the session's position, 0 when it has none
 * @token_position: position that a read must include
 * @key: idempotency key or ""
 * @transaction: transaction id or ""
 * @once: never to be sent to a target twice
 * @unsure: an earlier sending may have taken effect
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
