/**
 * DOC: Simulation of the control hosts and of the hosts that they manage.
 *
 * The replicated log, the state and the control leader are the real modules;
 * the network, the disks and the clocks are simulated, and time is virtual.
 * Used by the scenarios, the random schedules and the benchmarks.
 */
#ifndef WORLD_CONTROL_H
#define WORLD_CONTROL_H

#include "../../src/process/leader.h"
#include "disk.h"

#define WC_VOTERS 3
#define WC_AGENTS 4
#define WC_MESSAGES 4096
#define WC_STEP_US 5000
#define WC_ZONES 2

/**
 * struct wc_host - one control host
 * @disk: the first member, since the callbacks for storage are those of disk.h
 * @alive: the process runs
 * @frozen: the process is suspended; messages to it are queued
 * @drift_ppm: error of its clock, in parts per million
 * @entries_sent: number of log entries in all messages that it sent
 */
struct wc_host
{
  struct world_disk disk;
  struct world_control *world;
  unsigned index;
  bool alive, frozen;
  int drift_ppm;
  struct cfs_raft *raft;
  struct cfs_state state;
  struct cfs_leader *leader;
  uint64_t entries_sent;
};

/**
 * struct wc_agent - the control client of one managed host
 * @control_host: index of the control host that it sends heartbeats to
 * @cut: no messages to or from it are delivered
 * @boot: random id of this run of the process
 * @seq: number of the last heartbeat
 * @version: last configuration version received
 * @directory: last version of the lease directory received
 * @sent_at: time of the last heartbeat, by its own clock
 * @lease_until: end of the lease, by its own clock
 * @reply_received: the last heartbeat was answered by the leader
 * @leases: struct cfs_lease by resource, as received from the leader
 * @evacuations: struct cfs_evacuation by zone, as received from the leader
 * @evacuations_index: log index of the last change of @evacuations
 */
struct wc_agent
{
  unsigned index, control_host;
  bool alive, frozen, cut, draining;
  int drift_ppm;
  uint64_t boot, seq, version, directory;
  int64_t sent_at, next_heartbeat_at, lease_until;
  bool reply_received;
  struct cfs_table leases;
  struct cfs_table evacuations;
  uint64_t evacuations_index;
};

/**
 * struct wc_order - the last evacuation order of a zone; the zones are named
 * "z0" and so on
 * @sent: an order was sent
 * @start: it starts the evacuation
 * @host: control host that it was sent to last
 * @term: Raft term of that host
 * @log_index: its log entry there, 0 if none waits for its commit
 * @acked_at: when it was acknowledged, 0 if it was not
 */
struct wc_order
{
  bool sent, start;
  unsigned host;
  uint64_t term, log_index;
  int64_t acked_at;
};

/**
 * struct wc_message - a message in transit
 * @data: serialized message
 * @at: time of delivery
 * @from: sender: index of a control host, or WC_VOTERS plus that of an agent
 * @to: receiver, likewise
 */
struct wc_message
{
  uint8_t *data;
  size_t len;
  int64_t at;
  int from, to;
};

/**
 * struct world_control - the whole simulation
 * @seed: state of the random generator
 * @cut: control hosts between which messages are dropped, by sender and
 * receiver
 * @loss_percent: messages that are lost
 * @duplicate_percent: messages that are delivered twice
 * @delay_us: minimum delay of a message
 * @jitter_us: range of the random delay added to @delay_us
 * @accepted_requests: request id of each accepted configuration version
 * @violation: first violated invariant, or NULL
 */
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
  struct wc_order orders[WC_ZONES];
  const char *violation;
  char violation_text[160];
  uint64_t next_request;
};

/** wc_new() - a control group of WC_VOTERS voters, and agents that have not
 * sent a heartbeat yet */
struct world_control *wc_new (uint64_t seed);

/** wc_free() - frees everything */
void wc_free (struct world_control *w);

/** wc_run() - advances virtual time */
void wc_run (struct world_control *w, int64_t us);

/** wc_crash() - stops a control host; its disk is kept */
void wc_crash (struct world_control *w, unsigned host);

/** wc_start() - starts a control host from its disk */
void wc_start (struct world_control *w, unsigned host);

/** wc_lose_disk() - replaces the disk of a stopped host by an empty one */
void wc_lose_disk (struct world_control *w, unsigned host);

/** wc_find_leader() - returns the index of the control host that is the
 * confirmed leader, or -1 */
int wc_find_leader (struct world_control *w);

/**
 * wc_patch() - proposes a configuration patch on a control host
 * @base: version that the patch is based on
 *
 * Return: whether the host is alive and accepted the proposal as the leader.
 */
bool wc_patch (struct world_control *w, unsigned host, uint64_t base,
               const char *patch, const char *request_id);

/** wc_evacuate() - sends the order to start or stop the evacuation of a zone
 * to a control host; repeats the last order if it is the same */
void wc_evacuate (struct world_control *w, unsigned host, unsigned zone,
                  bool start);

/** wc_step_orders() - acknowledges orders that are committed, and returns a
 * violated invariant of orders, or NULL */
const char *wc_step_orders (struct world_control *w);

/** wc_host_now() - time by the clock of a control host */
int64_t wc_host_now (const struct wc_host *host);

/** wc_agent_has_lease() - whether an agent may use what it has received */
bool wc_agent_has_lease (const struct world_control *w, unsigned agent);

/** wc_agent_restart() - restarts an agent with a new boot id */
void wc_agent_restart (struct world_control *w, unsigned agent);

/** wc_holds_lease() - whether an agent holds a valid lease on a resource */
bool wc_holds_lease (struct world_control *w, unsigned agent,
                     const char *resource);

#endif
