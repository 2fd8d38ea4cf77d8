/**
 * DOC: The entry side of a host: calls of callers, targets and operators.
 *
 * A call lives from its HTTP request to its answer.  It is authenticated,
 * waits for its team's tokens, goes to the gate of its group, and follows
 * the gate when that moves.  Belongs to the traffic thread.
 */
#ifndef CFS_ENTRY_H
#define CFS_ENTRY_H

#include "../connection/http.h"
#include "../process/directory.h"
#include "../process/net.h"
#include "../process/settings.h"

/**
 * struct cfs_entry_setup - parameters of cfs_entry_new()
 * @to_control: hands a message to the control thread
 * @metrics: appends counters of other parts
 * @stop: begins a planned stop
 */
struct cfs_entry_setup
{
  const struct cfs_settings *settings;
  struct cfs_directory *directory;
  struct cfs_net *net;
  void (*to_control) (void *ctx, const Cfs__Peer *msg);
  void (*metrics) (void *ctx, GString *out);
  void (*stop) (void *ctx);
  void *ctx;
};

struct cfs_entry;

/** cfs_entry_new() - freed by cfs_entry_free() */
struct cfs_entry *cfs_entry_new (const struct cfs_entry_setup *setup);

/** cfs_entry_free() - answers what is open and frees it */
void cfs_entry_free (struct cfs_entry *entry);

/** cfs_entry_handle_request() - a whole HTTP request */
void cfs_entry_handle_request (struct cfs_entry *entry,
                               struct cfs_http_request *http);

/** cfs_entry_gate_reply() - a gate answered */
void cfs_entry_gate_reply (struct cfs_entry *entry, const Cfs__Answer *in,
                           int64_t now);

/** cfs_entry_token_grant() - a limiter answered */
void cfs_entry_token_grant (struct cfs_entry *entry, const Cfs__TokenGrant *in,
                            int64_t now);

/** cfs_entry_operator_reply() - the control leader answered an operator */
void cfs_entry_operator_reply (struct cfs_entry *entry,
                               const Cfs__OperatorReply *in);

/** cfs_entry_directory_changed() - acts on a changed directory */
void cfs_entry_directory_changed (struct cfs_entry *entry, int64_t now);

/** cfs_entry_tick() - timers; at least every 10 ms */
void cfs_entry_tick (struct cfs_entry *entry, int64_t now);

/** cfs_entry_drain() - says not ready from now on */
void cfs_entry_drain (struct cfs_entry *entry);

/** cfs_entry_open_requests() - calls without an answer */
size_t cfs_entry_open_requests (const struct cfs_entry *entry);

#endif
