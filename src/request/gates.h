/**
 * DOC: The gates and rate limiters that run on this host.
 *
 * Creates a gate when the directory shows that this host has obtained its
 * lease, and stops the gate when the lease has moved; likewise for rate
 * limiters.  Belongs to the traffic thread.
 */
#ifndef CFS_GATES_H
#define CFS_GATES_H

#include "../process/directory.h"
#include "../process/loop.h"
#include "../process/net.h"
#include "../process/settings.h"

/** struct cfs_gates_setup - parameters of cfs_gates_new() */
struct cfs_gates_setup
{
  const struct cfs_settings *settings;
  struct cfs_directory *directory;
  struct cfs_loop *loop;
  struct cfs_net *net;
};

struct cfs_gates;

/** cfs_gates_new() - without any leases, to be freed with cfs_gates_free() */
struct cfs_gates *cfs_gates_new (const struct cfs_gates_setup *setup);

/** cfs_gates_free() - stops and frees all gates and rate limiters */
void cfs_gates_free (struct cfs_gates *gates);

/** cfs_gates_directory_changed() - applies the leases and groups of the
 * directory and the instances in @reply */
void cfs_gates_directory_changed (struct cfs_gates *gates,
                                  const Cfs__HeartbeatReply *reply,
                                  int64_t now);

/** cfs_gates_execute() - handles a request from an entry host */
void cfs_gates_execute (struct cfs_gates *gates, const struct cfs_origin *from,
                        const Cfs__Execute *in, int64_t now);

/** cfs_gates_grant_tokens() - handles a token request from an entry host */
void cfs_gates_grant_tokens (struct cfs_gates *gates,
                             const struct cfs_origin *from,
                             const Cfs__TokenAsk *in, int64_t now);

/** cfs_gates_announce() - handles the announcement of an instance */
void cfs_gates_announce (struct cfs_gates *gates, const Cfs__Instance *in,
                         int64_t now);

/** cfs_gates_tick() - runs timers, to be called at least every 10 ms */
void cfs_gates_tick (struct cfs_gates *gates, int64_t now);

/**
 * cfs_gates_report() - adds group reports and released leases to a heartbeat
 * @gates: gates
 * @drain: drain all gates and release their leases
 * @out: message to which lists are added that stay valid until the next call
 */
void cfs_gates_report (struct cfs_gates *gates, bool drain,
                       Cfs__Heartbeat *out, int64_t now);

/** cfs_gates_held_count() - number of gates whose lease is assigned to this
 * host and not released; rate limiters and the expiry of the lease are not
 * considered */
size_t cfs_gates_held_count (const struct cfs_gates *gates);

/** cfs_gates_metrics() - appends metrics in the Prometheus text format */
void cfs_gates_metrics (const struct cfs_gates *gates, GString *out,
                        int64_t now);

#endif
