/**
 * DOC: The entry: HTTP front end of a host for clients, targets and operators.
 *
 * A client request is authenticated, waits for tokens of its team's rate
 * limiter and is sent to the gate of its group.  When the gate moves to
 * another host, the request follows it.  The entry belongs to the traffic
 * thread.
 */
#ifndef CFS_ENTRY_H
#define CFS_ENTRY_H

#include "../connection/http.h"
#include "../process/directory.h"
#include "../process/net.h"
#include "../process/settings.h"

/**
 * struct cfs_entry_setup - parameters of cfs_entry_new()
 * @to_control: passes a message to the control thread
 * @metrics: appends the metrics of other modules
 * @stop: starts a graceful shutdown
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

/** cfs_entry_new() - creates an entry, to be freed with cfs_entry_free() */
struct cfs_entry *cfs_entry_new (const struct cfs_entry_setup *setup);

/** cfs_entry_free() - responds to all open requests and frees the entry */
void cfs_entry_free (struct cfs_entry *entry);

/** cfs_entry_handle_request() - handles a complete HTTP request */
void cfs_entry_handle_request (struct cfs_entry *entry,
                               struct cfs_http_request *http);

/** cfs_entry_gate_reply() - handles the reply of a gate */
void cfs_entry_gate_reply (struct cfs_entry *entry, const Cfs__Answer *in,
                           int64_t now);

/** cfs_entry_token_grant() - handles the reply of a rate limiter */
void cfs_entry_token_grant (struct cfs_entry *entry, const Cfs__TokenGrant *in,
                            int64_t now);

/**
 * cfs_entry_operator_reply() - handles the control leader's reply to an
 * operator request
 */
void cfs_entry_operator_reply (struct cfs_entry *entry,
                               const Cfs__OperatorReply *in);

/**
 * cfs_entry_directory_changed() - handles a change of the directory
 *
 * Requests tokens again, because rate limiters may have moved.
 */
void cfs_entry_directory_changed (struct cfs_entry *entry, int64_t now);

/** cfs_entry_tick() - runs timers, to be called at least every 10 ms */
void cfs_entry_tick (struct cfs_entry *entry, int64_t now);

/** cfs_entry_drain() - makes the readiness check fail from now on */
void cfs_entry_drain (struct cfs_entry *entry);

/** cfs_entry_open_requests() - number of requests without a response */
size_t cfs_entry_open_requests (const struct cfs_entry *entry);

#endif
