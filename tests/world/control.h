/**
 * DOC: Control hosts and member hosts in virtual time.
 *
 * Real replicated logs, states and leaders over a scripted network, disks
 * and clocks.  Shared by the scenarios and the random schedules.
 */
#ifndef WORLD_CONTROL_H
#define WORLD_CONTROL_H

#include "../../src/process/leader.h"
#include "../../src/process/raft.h"

#define WC_VOTERS 3
#define WC_AGENTS 4
#define WC_MESSAGES 4096
#define WC_STEP_US 5000

/** struct wc_disk - what survives a crash */
struct wc_disk
{
  uint64_t id, term, vote;
  struct cfs_raft_snapshot snapshot;
  struct cfs_raft_entry *entries;
  size_t count, cap;
  bool full;
};

/** struct wc_host - one control host */
struct wc_host
{
  struct world_control *world;
  unsigned index;
  bool alive, frozen;
  int drift_ppm;
  struct wc_disk disk;
  struct cfs_raft *raft;
  struct cfs_state state;
  struct cfs_leader *leader;
};

/** struct wc_agent - one member host: heartbeats, lease, directory */
struct wc_agent
{
  unsigned index, control_host;
  bool alive, frozen, cut, draining;
  int drift_ppm;
  uint64_t boot, seq, version, directory;
  int64_t sent_at, next_heartbeat_at, lease_until;
  bool reply_received;
  struct cfs_table leases;
};

/** struct wc_message - a packed message under way */
struct wc_message
{
  uint8_t *data;
  size_t len;
  int64_t at;
  int from, to;
};

/** struct world_control - everything, by value on the heap */
struct world_control
{
  int64_t now;
  uint64_t seed;
  struct wc_host hosts[WC_VOTERS];
  struct wc_agent agents[WC_AGENTS];
  bool cut[WC_VOTERS][WC_VOTERS];
  struct wc_message messages[WC_MESSAGES];
  size_t message_count;
  int loss_percent, duplicate_percent;
  int64_t delay_us, jitter_us;
  char *accepted_requests[4096];
  uint64_t accepted_count;
  const char *violation;
  char violation_text[160];
  uint64_t next_request;
};

/** wc_new() - formed group, members known to nobody yet */
struct world_control *wc_new (uint64_t seed);

/** wc_free() - frees everything */
void wc_free (struct world_control *w);

/** wc_run() - advances virtual time */
void wc_run (struct world_control *w, int64_t us);

/** wc_crash() - a control host loses its memory */
void wc_crash (struct world_control *w, unsigned host);

/** wc_start() - starts a control host from its disk */
void wc_start (struct world_control *w, unsigned host);

/** wc_lose_disk() - the disk of a stopped host is replaced by an empty one */
void wc_lose_disk (struct world_control *w, unsigned host);

/** wc_find_leader() - the control host that leads with a majority, or -1 */
int wc_find_leader (struct world_control *w);

/** wc_patch() - proposes a patch on a host; false when it does not lead */
bool wc_patch (struct world_control *w, unsigned host, uint64_t base,
               const char *patch, const char *request_id);

/** wc_agent_restart() - a member host starts anew */
void wc_agent_restart (struct world_control *w, unsigned agent);

/** wc_holds_lease() - whether a member host acts on a resource now */
bool wc_holds_lease (struct world_control *w, unsigned agent,
                     const char *resource);

#endif
