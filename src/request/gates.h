/**
 * DOC: The gates and limiters that this host holds.
 *
 * Follows the directory: makes a gate when its lease comes to this host and
 * gives it up when it leaves; the same for limiters.  Belongs to the
 * traffic thread.
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

/** cfs_gates_new() - holds nothing yet; freed by cfs_gates_free() */
struct cfs_gates *cfs_gates_new (const struct cfs_gates_setup *setup);

/** cfs_gates_free() - gives everything up */
void cfs_gates_free (struct cfs_gates *gates);

/** cfs_gates_directory_changed() - acts on a changed directory */
void cfs_gates_directory_changed (struct cfs_gates *gates,
                                  const Cfs__HeartbeatReply *reply,
                                  int64_t now);

/** cfs_gates_execute() - a statement from an entry host */
void cfs_gates_execute (struct cfs_gates *gates, const struct cfs_origin *from,
                        const Cfs__Execute *in, int64_t now);

/** cfs_gates_grant_tokens() - an entry host asks for tokens */
void cfs_gates_grant_tokens (struct cfs_gates *gates,
                             const struct cfs_origin *from,
                             const Cfs__TokenAsk *in, int64_t now);

/** cfs_gates_announce() - an instance announced itself */
void cfs_gates_announce (struct cfs_gates *gates, const Cfs__Instance *in,
                         int64_t now);

/** cfs_gates_tick() - timers; at least every 10 ms */
void cfs_gates_tick (struct cfs_gates *gates, int64_t now);

/**
 * cfs_gates_report() - what the next heartbeats must say
 * @gates: gates
 * @drain: whether to give everything up
 * @out: message whose lists are filled; valid until the next call
 */
void cfs_gates_report (struct cfs_gates *gates, bool drain,
                       Cfs__Heartbeat *out, int64_t now);

/** cfs_gates_held_count() - number of gates and limiters held and not released
 */
size_t cfs_gates_held_count (const struct cfs_gates *gates);

/** cfs_gates_metrics() - appends counters in Prometheus text form */
void cfs_gates_metrics (const struct cfs_gates *gates, GString *out,
                        int64_t now);

#endif
