/**
 * DOC: Private parts of the entry, shared by entry.c, entry_statement.c and
 * entry_operator.c.
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
/* An answer of the gate that lost its lease is awaited this long. */
#define ORPHAN_WAIT_US (500 * CFS_US_PER_MS)
/* Taken off the deadline that the gate is told, for the way back. */
#define RETURN_MARGIN_US (20 * CFS_US_PER_MS)
/* Pause before a call goes again to a gate that was not ready for it. */
#define MOVED_PAUSE_US (15 * CFS_US_PER_MS)

/**
 * enum entry_request_state - where a call is
 * @ENTRY_ADMITTING: waits for tokens
 * @ENTRY_WAITING: waits for a gate
 * @ENTRY_SENT: a gate has it
 */
enum entry_request_state
{
  ENTRY_ADMITTING,
  ENTRY_WAITING,
  ENTRY_SENT
};

/** struct entry_request - one call of a caller */
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

/** struct sent_announcement - the last announcement passed to the leader */
struct sent_announcement
{
  char name[CFS_NAME_MAX];
  uint64_t digest;
  int64_t at;
};

/** struct operator_request - an operator's call on its way */
struct operator_request
{
  uint64_t id;
  struct cfs_http_request *http;
};

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

/** entry_id() - number that no earlier run of this host has used */
uint64_t entry_id (struct cfs_entry *entry);

/** entry_problem() - answers with problem+json */
void entry_problem (struct cfs_entry *entry, struct cfs_http_request *http,
                    enum cfs_code code, enum cfs_outcome outcome,
                    const char *detail);

/** entry_bearer() - the presented key, or NULL */
const char *entry_bearer (const struct cfs_http_request *http);

/** statement_handle() - /v1/groups/... and /v1/sheets/... */
void statement_handle (struct cfs_entry *entry, struct cfs_http_request *http,
                       char **parts, size_t count);

/** operator_handle() - /v1/config, /v1/audit, /v1/status, /v1/announce */
void operator_handle (struct cfs_entry *entry, struct cfs_http_request *http,
                      const char *resource);

/** entry_submit() - takes a checked job into admission */
void entry_submit (struct cfs_entry *entry, struct entry_request *request,
                   const struct cfs_team *team, int64_t deadline_ms);

/** entry_finish() - answers a job with a refusal and frees it */
void entry_finish (struct entry_request *request, enum cfs_code code,
                   enum cfs_outcome outcome, const char *detail);

/** entry_free_request() - frees a job whose call was answered */
void entry_free_request (struct entry_request *request);

#endif
