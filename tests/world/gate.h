/**
 * DOC: Simulation of the gate of one database group.
 *
 * Two hosts run the real gate module; the group's three instances and the
 * control group are simulated, and time is virtual.
 */
#ifndef WORLD_GATE_H
#define WORLD_GATE_H

#include "../../src/process/leader.h"
#include "../../src/request/gate.h"

#include <stdio.h>

#define WG_HOSTS 2
#define WG_INSTANCES 3
#define WG_LOG_MAX 4096
#define WG_CONNS (GATE_CONNECTIONS_MAX * GATE_INSTANCES_MAX)
#define WG_REQUESTS 4096
#define WG_EVENTS 8192
#define WG_STEP_US 2000

/**
 * struct wg_log_entry - one committed write in the log of an instance
 * @request: index of the request
 * @key: idempotency key, or ""
 * @term: term in which it was committed
 * @at: time of the commit
 */
struct wg_log_entry
{
  int request;
  char key[CFS_KEY_MAX];
  uint64_t term;
  int64_t at;
};

/**
 * struct wg_instance_conn - an instance's side of a connection
 * @transaction: name of the open transaction, or ""
 * @pending: requests whose statements ran in the open transaction
 * @generation: generation of the gate's connection that opened it
 */
struct wg_instance_conn
{
  bool open;
  char transaction[CFS_TRANSACTION_MAX];
  int pending[16];
  int pending_count;
  uint64_t generation;
};

/**
 * struct wg_instance - one simulated instance
 * @frozen: the process is suspended
 * @isolated: cut off from the other instances
 * @primary: considers itself the primary
 * @leaving: announced that it leaves
 * @cut: hosts that it is cut off from
 * @term: term of its history
 * @branch_start: log length at which @term began
 * @visible: number of log entries that reads see
 * @lag_us: replication lag
 * @busy_until: for each slot, time at which its statement ends
 * @slots: statements that run concurrently
 * @conns: connections by host and by number of the gate's connection
 */
struct wg_instance
{
  bool alive, frozen, isolated, primary, leaving;
  bool cut[WG_HOSTS];
  uint64_t term, branch_start, log_count, visible;
  struct wg_log_entry log[WG_LOG_MAX];
  int64_t lag_us, busy_until[16];
  unsigned slots;
  struct wg_instance_conn conns[WG_HOSTS][WG_CONNS];
};

/**
 * struct wg_request - one request and the reply that its caller got
 * @session: session of the caller, or ""
 * @executed: number of times that an instance executed it
 * @sent: number of times that the gate sent it
 * @term: with @position, log position in the reply
 * @replica: a replica served it
 */
struct wg_request
{
  struct cfs_request request;
  char name[32], session[16];
  bool used, answered, read;
  int executed, sent;
  enum cfs_code code;
  enum cfs_outcome outcome;
  int64_t submitted_at, answered_at;
  uint64_t term, position;
  bool replica;
};

/**
 * struct wg_client_session - session of a caller
 * @term: with @position, the log position in its session token
 * @writes: its writes that were acknowledged
 */
struct wg_client_session
{
  char name[16];
  uint64_t term, position;
  int writes[512];
  int write_count;
};

/**
 * struct wg_host - one host that may hold the lease on the gate
 * @frozen: the process is suspended
 * @cut_control: cut off from the control group
 * @drift_ppm: error of its clock, in parts per million
 * @generation: for each connection of the gate, a number that changes
 * whenever it is opened or closed, so that older events are ignored
 */
struct wg_host
{
  struct world_gate *world;
  unsigned index;
  bool alive, frozen, cut_control;
  int drift_ppm;
  struct cfs_gate *gate;
  uint64_t generation[WG_CONNS];
  int64_t next_heartbeat;
};

/**
 * struct wg_event - a scheduled event
 * @at: time at which it is due
 * @kind: enum event_kind; the other fields depend on it
 * @request: index of the request; in EV_PROBED, branch start of the instance
 * @generation: generation of the connection; in EV_PROBED, log length that
 * reads see
 * @term: term of a promotion or probe; in EV_HEARTBEAT_REPLY, time at which
 * the heartbeat was sent
 * @stamp: random number that nothing reads; drawing it is part of the
 * schedule of a seed
 * @result: result of the work; for probes, promotions and heartbeats,
 * position is the host's time of sending; in EV_PROBED, clean tells whether
 * the instance is primary
 */
struct wg_event
{
  int64_t at;
  int kind, request;
  unsigned host, conn, inst;
  uint64_t generation, term, stamp;
  enum cfs_work work;
  struct cfs_work_result result;
};

/**
 * struct world_gate - the whole simulation
 * @seed: state of the random generator
 * @group: replicated record of the group in the control group
 * @holder: host that holds the lease on the gate, in epoch @epoch
 * @holder_lease_end: time after which another host may get the lease
 * @service_us: execution time of a statement
 * @rtt_us: round-trip time of the network
 * @connect_us: time to open a connection
 * @trace: output of the trace, or NULL
 * @violation: first violated invariant, or ""
 * @last_ack_at: time of the last acknowledged write
 * @max_ack_gap_us: longest time between two acknowledged writes
 */
struct world_gate
{
  int64_t now;
  uint64_t seed;
  struct wg_instance inst[WG_INSTANCES];
  struct wg_host hosts[WG_HOSTS];
  struct wg_request requests[WG_REQUESTS];
  int request_count;
  struct wg_client_session client_sessions[16];
  int client_session_count;
  struct wg_event events[WG_EVENTS];
  size_t event_count;
  struct cfs_group group;
  unsigned holder;
  uint64_t epoch;
  int64_t holder_lease_end;
  int64_t service_us, rtt_us, connect_us;
  FILE *trace;
  char violation[160];
  int64_t last_ack_at, max_ack_gap_us;
};

/** wg_new() - instance 0 is primary in term 1, host 0 holds the gate */
struct world_gate *wg_new (uint64_t seed, FILE *trace);

/** wg_free() - frees everything */
void wg_free (struct world_gate *w);

/** wg_run() - advances virtual time */
void wg_run (struct world_gate *w, int64_t us);

/**
 * wg_submit() - submits a request to the host that holds the gate
 * @once: the request must not be sent to an instance twice
 *
 * Return: index of the request.
 */
int wg_submit (struct world_gate *w, const char *name,
               enum cfs_request_kind kind, const char *key,
               const char *session, bool once, const char *transaction,
               int64_t deadline_us, int64_t max_age_us);

/** wg_resend() - submits an answered request once more; returns the index of
 * the new request */
int wg_resend (struct world_gate *w, int request);

/** wg_kill() - stops an instance and drops its connections; its log is kept */
void wg_kill (struct world_gate *w, unsigned inst);

/** wg_start() - restarts a stopped instance as a replica */
void wg_start (struct world_gate *w, unsigned inst);

/** wg_host_kill() - stops a host; its gate loses all state */
void wg_host_kill (struct world_gate *w, unsigned host);

/** wg_host_start() - starts a stopped host with a new gate */
void wg_host_start (struct world_gate *w, unsigned host);

/** wg_heal() - ends all freezes and network cuts, restarts what is stopped */
void wg_heal (struct world_gate *w);

/**
 * wg_check() - checks the log of the primary against all replies
 *
 * Return: first violated invariant of the whole run, or NULL.
 */
const char *wg_check (struct world_gate *w);

#endif
