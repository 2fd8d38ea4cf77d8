/**
 * DOC: Internal declarations of the entry, shared by entry.c,
 * entry_statement.c and entry_operator.c.
 */
#ifndef CFS_ENTRY_INT_H
#define CFS_ENTRY_INT_H

#include "../connection/token.h"
#include "admit.h"
#include "entry.h"

#include <apr_hash.h>
#include <apr_pools.h>

#define ENTRY_PARAMS_MAX 64
#define DEADLINE_DEFAULT_MS 10000
#define DEADLINE_MAX_MS 60000
#define MAX_AGE_DEFAULT_MS 5000
/* Maximum wait for the reply of a gate that has lost its lease. */
#define ORPHAN_WAIT_US (500 * CFS_US_PER_MS)
/* Subtracted from the deadline passed to the gate, to leave time for the
   reply to arrive. */
#define RETURN_MARGIN_US (20 * CFS_US_PER_MS)
/* Delay before a request is sent again after a gate replied that it has
   moved. */
#define MOVED_PAUSE_US (15 * CFS_US_PER_MS)

/**
 * enum entry_request_state - state of a client request
 * @ENTRY_ADMITTING: waits for a token of the rate limiter
 * @ENTRY_WAITING: waits until it can be sent to a gate
 * @ENTRY_SENT: sent to a gate
 */
enum entry_request_state
{
  ENTRY_ADMITTING,
  ENTRY_WAITING,
  ENTRY_SENT
};

/**
 * struct entry_request - a client request
 * @token: session token of the client
 * @id: id of the last message to a gate, 0 when none is outstanding
 * @sent_epoch: lease epoch of that gate
 * @checked_version: version of the configuration with which the API key was
 * last checked
 * @orphaned_at: time at which the gate was found to have lost its lease
 * @retry_at: earliest time at which it is sent again
 * @bearer: API key, or NULL for an anonymous read of an open sheet
 */
struct entry_request
{
  struct cfs_request request;
  struct cfs_entry *entry;
  struct cfs_http_request *http;
  struct cfs_token token;
  enum entry_request_state state;
  uint64_t id;
  uint64_t sent_epoch;
  uint64_t checked_version;
  int64_t orphaned_at;
  int64_t retry_at;
  char group[CFS_NAME_MAX];
  char *bearer;
  char *sql;
  Cfs__Param *params;
  Cfs__Param **param_list;
  size_t param_count;
  struct entry_request *prev;
  struct entry_request *next;
};

/**
 * struct sent_announcement - the last announcement of an instance that was
 * passed to the control leader
 * @digest: hash of its contents except for the position
 * @at: time at which it was sent
 */
struct sent_announcement
{
  char name[CFS_NAME_MAX];
  uint64_t digest;
  int64_t at;
};

/** struct operator_request - an operator request without a reply yet */
struct operator_request
{
  uint64_t id;
  struct cfs_http_request *http;
};

/**
 * struct cfs_entry - state of the entry
 * @sent_requests: requests in state ENTRY_SENT by message id
 * @requests: list of all open client requests
 * @open_count: length of that list
 * @token_key: key that authenticates session tokens
 * @response_counts: number of responses by code
 */
struct cfs_entry
{
  struct cfs_entry_setup setup;
  struct cfs_admit admit;
  apr_pool_t *pool;
  apr_hash_t *sent_requests;
  struct entry_request *requests;
  size_t open_count;
  uint64_t next_id;
  unsigned char token_key[TOKEN_KEY_BYTES];
  struct cfs_table sent_announcements;
  struct operator_request *operator_requests;
  size_t operator_request_count;
  size_t operator_request_cap;
  bool draining;
  uint64_t response_counts[CFS_CODE_COUNT];
};

/**
 * entry_id() - returns a new message id
 *
 * Ids start at a random number, so that an earlier run of this host is
 * unlikely to have used the same ones.
 */
uint64_t entry_id (struct cfs_entry *entry);

/** entry_problem() - responds with an application/problem+json document */
void entry_problem (struct cfs_entry *entry, struct cfs_http_request *http,
                    enum cfs_code code, enum cfs_outcome outcome,
                    const char *detail);

/** entry_bearer() - returns the bearer token of a request, or NULL */
const char *entry_bearer (const struct cfs_http_request *http);

/** statement_handle() - handles /v1/groups/... and /v1/sheets/... */
void statement_handle (struct cfs_entry *entry, struct cfs_http_request *http,
                       char **parts, size_t count);

/**
 * operator_handle() - handles /v1/config, /v1/audit, /v1/status, /v1/drain
 * and /v1/announce
 */
void operator_handle (struct cfs_entry *entry, struct cfs_http_request *http,
                      const char *resource);

/** entry_submit() - submits a validated request to admission */
void entry_submit (struct cfs_entry *entry, struct entry_request *request,
                   const struct cfs_team *team, int64_t deadline_ms);

/** entry_finish() - responds to a request with a problem and frees it */
void entry_finish (struct entry_request *request, enum cfs_code code,
                   enum cfs_outcome outcome, const char *detail);

/** entry_free_request() - frees a request that has got its response */
void entry_free_request (struct entry_request *request);

#endif
