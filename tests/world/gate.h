/**
 * DOC: Two gate hosts, one group of three fake instances and a fake control
 * group in virtual time.  The gates are the real ones.
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

/** struct wg_log_entry - one committed write at an instance */
struct wg_log_entry
{
  int request;
  char key[CFS_KEY_MAX];
  uint64_t term;
  int64_t at;
};

/** struct wg_instance_conn - what an open connection holds at an instance */
struct wg_instance_conn
{
  bool open;
  char transaction[CFS_TRANSACTION_MAX];
  int pending[16];
  int pending_count;
  uint64_t generation;
};

/** struct wg_instance - one fake instance */
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

/** struct wg_request - one request as its caller knows it */
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

/** struct wg_client_session - position that a session has seen */
struct wg_client_session
{
  char name[16];
  uint64_t term, position;
  int writes[512];
  int write_count;
};

/** struct wg_host - one host that may hold the gate */
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

/** struct wg_event - something that happens later */
struct wg_event
{
  int64_t at;
  int kind, request;
  unsigned host, conn, inst;
  uint64_t generation, term, stamp;
  enum cfs_work work;
  struct cfs_work_result result;
};

/** struct world_gate - everything */
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

/** wg_new() - instance 0 leads in term 1, host 0 holds the gate */
struct world_gate *wg_new (uint64_t seed, FILE *trace);

/** wg_free() - frees everything */
void wg_free (struct world_gate *w);

/** wg_run() - advances virtual time */
void wg_run (struct world_gate *w, int64_t us);

/** wg_submit() - sends a request to the host that holds the gate */
int wg_submit (struct world_gate *w, const char *name,
               enum cfs_request_kind kind, const char *key,
               const char *session, bool once, const char *transaction,
               int64_t deadline_us, int64_t max_age_us);

/** wg_resend() - the caller sends an answered request again */
int wg_resend (struct world_gate *w, int request);

/** wg_kill() - an instance loses its connections and stops; its log stays */
void wg_kill (struct world_gate *w, unsigned inst);

/** wg_start() - a stopped instance comes back as a replica */
void wg_start (struct world_gate *w, unsigned inst);

/** wg_host_kill() - a host dies with everything it holds */
void wg_host_kill (struct world_gate *w, unsigned host);

/** wg_host_start() - a host starts anew */
void wg_host_start (struct world_gate *w, unsigned host);

/** wg_heal() - undoes every freeze, cut and kill */
void wg_heal (struct world_gate *w);

/** wg_check() - faults of the whole run, or NULL */
const char *wg_check (struct world_gate *w);

#endif
