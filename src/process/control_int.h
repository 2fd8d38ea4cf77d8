/**
 * DOC: Internals of a control host, shared by control.c, control_fleet.c,
 * control_reports.c and control_status.c.
 */
#ifndef CFS_CONTROL_INT_H
#define CFS_CONTROL_INT_H

#include "address_check.h"
#include "control.h"
#include "control_load.h"
#include "control_members.h"
#include "disk.h"
#include "leader.h"
#include "net.h"
#include "raft.h"
#include "state.h"

/**
 * struct commit_waiter - caller that waits for a log entry to be committed
 * @term: term in which this host appended the entry
 */
struct commit_waiter
{
  uint64_t log_index;
  uint64_t term;
  int64_t started_at;
  void (*on_result) (void *tag, bool committed);
  void *tag;
};

/** struct target_heartbeat - last report of a target; not replicated */
struct target_heartbeat
{
  char id[CFS_NAME_MAX];
  uint64_t incarnation;
  uint64_t sequence;
  int64_t received_at;
};

/**
 * struct fleet_state - documents and targets at the control leader
 * @heartbeats: table of struct target_heartbeat
 * @pending_starts: evacuations started by log entries up to
 * @last_start_index that were not committed when the last was proposed
 * @cold_timers: table of struct cfs_cold_timer, of this leader
 * @checks: reports whose address is being checked
 * @checked: number of ended checks by their result
 * @evacuations_logged: index of the last change of the evacuations in the log
 * lines
 */
struct fleet_state
{
  struct commit_waiter *waiters;
  size_t waiter_count;
  size_t waiter_cap;
  struct cfs_table heartbeats;
  struct cfs_table cold_timers;
  size_t pending_starts;
  uint64_t last_start_index;
  uint64_t evacuations_logged;
  bool is_leader;
  int64_t leader_since;
  struct cfs_control_fleet_setup setup;
  struct cfs_failover_manager *failover;
  struct cfs_address_checks *checks;
  uint64_t checked[ADDRESS_UNKNOWN + 1];
};

/* An operator's patch that has not been replied to yet. */
struct pending_patch
{
  struct cfs_origin origin;
  uint64_t id;
  char *request_id;
  int64_t received_at;
};

/**
 * struct raft_request - the raft message of a member that is being handled
 * @from: origin of the message, or NULL
 * @host: host that sent it
 */
struct raft_request
{
  const struct cfs_origin *from;
  const char *host;
};

/**
 * struct control_notify - requests for heartbeats after a failover has changed
 * @hosts: table of hosts that sent heartbeats, with the index up to which each
 * was informed
 * @directory: directory index at which @newest was determined
 * @newest: log index of the newest change of a failover
 */
struct control_notify
{
  struct cfs_table hosts;
  uint64_t directory;
  uint64_t newest;
};

struct cfs_control
{
  const struct cfs_settings *settings;
  struct cfs_loop *loop;
  struct cfs_net *net;
  struct cfs_disk *disk;
  struct cfs_raft *raft;
  struct raft_request raft_request;
  struct cfs_state state;
  struct cfs_leader *leader;
  struct pending_patch *pending;
  size_t pending_count;
  size_t pending_cap;
  uint64_t audited_version;
  bool storage_failed;
  enum cfs_raft_role logged_role;
  struct control_load load;
  struct control_members_log members_log;
  struct fleet_state fleet;
  struct control_notify notify;
};

/** control_propose() - appends a command to the replicated log; returns its
 * log index, or 0 on failure */
uint64_t control_propose (struct cfs_control *control, const Cfs__Command *c);

/** control_audit_json() - who changed the configuration, how and when; the
 * last changes only; freed by free() */
char *control_audit_json (const struct cfs_control *control);

/** control_status_json() - members, hosts, leases and groups; freed by free()
 */
char *control_status_json (const struct cfs_control *control, int64_t now);

/**
 * control_await_commit() - calls back when a log entry is committed
 * @log_index: index of the entry, 0 if it could not be appended
 * @on_result: as of cfs_control_put_document()
 *
 * Return: CFS_OK if @on_result will be called, else CFS_IO.
 */
int control_await_commit (struct cfs_control *control, uint64_t log_index,
                          void (*on_result) (void *tag, bool committed),
                          void *tag, int64_t now);

/** control_propose_target() - proposes a new entry of a target; returns its
 * log index, or 0 on failure */
uint64_t control_propose_target (struct cfs_control *control,
                                 const struct cfs_target *target);

/** control_reports_start() - takes the adapter of the fleet's setup */
void control_reports_start (struct cfs_control *control);

/** control_reports_metrics() - appends the metrics of address checks */
void control_reports_metrics (const struct cfs_control *control, GString *out);

/** control_placement_start() - passes what placement needs to the leader and
 * the failover manager */
void control_placement_start (struct cfs_control *control);

/** control_placement_tick() - logs changes of the evacuations, ends warm-ups;
 * call it before the failovers run */
void control_placement_tick (struct cfs_control *control, bool confirmed,
                             int64_t now);

/** control_placement_metrics() - appends the metrics of evacuations and cold
 * targets */
void control_placement_metrics (const struct cfs_control *control,
                                GString *out);

/** control_notify_init() - starts without hosts */
void control_notify_init (struct control_notify *notify);

/** control_notify_end() - frees the table */
void control_notify_end (struct control_notify *notify);

/** control_notify_replied() - records that the reply to a host's heartbeat, of
 * the origin @from, has all that is applied */
void control_notify_replied (struct cfs_control *control, const char *host,
                             const struct cfs_origin *from);

/** control_notify_tick() - requests heartbeats of hosts that do not know the
 * newest change of a failover, a bounded number at a time */
void control_notify_tick (struct cfs_control *control, bool confirmed);

/** control_fleet_init() - starts without heartbeats and waiters */
void control_fleet_init (struct cfs_control *control);

/** control_fleet_end() - frees tables and the failover manager */
void control_fleet_end (struct cfs_control *control);

/** control_fleet_tick() - notifies waiters, drops silent targets, runs
 * failovers; @confirmed as of cfs_leader_tick() */
void control_fleet_tick (struct cfs_control *control, bool confirmed,
                         int64_t now);

#endif
