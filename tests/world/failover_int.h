/**
 * DOC: Internals of the simulation of failovers, shared by the
 * files failover*.c of this folder.
 */
#ifndef WORLD_FAILOVER_INT_H
#define WORLD_FAILOVER_INT_H

#include "failover.h"

#define INSTANCES 3
#define HOSTS 3
#define SERVICE "db"
/* Entries that a primary sent before its demotion arrive within this time. */
#define DEMOTED_DRAIN_US (60 * CFS_US_PER_MS)
/* Steps for which the acknowledged position is kept. */
#define HISTORY_STEPS 1024
#define PROMOTIONS_MAX 64
#define PROPOSALS_MAX 64
#define ORDERS_MAX 64

/**
 * struct instance - a simulated instance
 * @reported_primary: its last report said that it is primary
 * @cut: unreachable for the control leader and for the hosts
 * @cut_from_leader: unreachable for the control leader only
 * @suspect: unreachable for the hosts only
 * @mute: sends no reports
 * @replication_cut: neither sends nor receives the log
 * @exited: its process and its log are gone; connections are refused
 * @leaving: it has announced that it leaves
 * @exit_at: time at which it ends after its leave, or 0
 * @report_at: time of its next report while it is not known
 * @incarnation: number of its run
 * @receive_at: when it begins to receive the log in this run
 * @paused_term: term of the PAUSE for which it receives no log, 0 if it does
 * @orders_held: orders to it get no reply and wait for wf_carry_out_orders()
 * @delay_us: additional time that a statement takes
 * @boot: number of restarts; a restart breaks all connections
 * @term: newest term that it knows
 * @log_term: term of the last entry in its log
 * @received: position up to which it has received the log
 * @led_from: position at which it became primary
 * @replicated: position up to which a replica has received its log since then
 */
struct instance
{
  char name[16];
  bool alive;
  bool primary;
  bool reported_primary;
  bool cut;
  bool cut_from_leader;
  bool suspect;
  bool mute;
  bool replication_cut;
  bool exited;
  bool leaving;
  int64_t exit_at;
  int64_t report_at;
  uint64_t incarnation;
  int64_t receive_at;
  uint64_t paused_term;
  bool orders_held;
  int64_t delay_us;
  unsigned boot;
  uint64_t term;
  uint64_t log_term;
  uint64_t received;
  uint64_t led_from;
  uint64_t replicated;
};

/**
 * struct fake_conn - connection of the control leader to an instance
 * @wrong_target: the instance has another name than the one to connect to
 * @boot: restart count of the instance as the connection was opened
 * @due: time of the next event on the connection
 */
struct fake_conn
{
  struct cfs_target_conn base;
  struct fake_conn *next;
  struct instance *instance;
  bool wrong_target;
  unsigned boot;
  const struct cfs_target_conn_events *events;
  void *owner;
  bool dead;
  bool open;
  int64_t due;
  bool statement_pending;
  struct cfs_statement statement;
  struct cfs_reply reply;
  char row[96];
  enum cfs_tx_state state;
};

/**
 * struct late_order - PAUSE, RESUME or DEMOTE that is carried out late
 * @boot: restart count of the instance as the order was sent; a restarted
 * instance does not carry it out
 * @conn: connection that gets the reply, or NULL for none
 */
struct late_order
{
  bool pending;
  struct instance *instance;
  unsigned boot;
  struct fake_conn *conn;
  struct cfs_statement statement;
  int64_t at;
};

/**
 * struct host_view - what a host knows from a heartbeat reply
 * @sent_at: when the heartbeat was sent
 * @open: a failover of the service is open
 * @index: log index of the last failover record
 * @presumed: instance that is the presumed primary, or -1
 * @used: instance that hosts use as the primary, or -1
 */
struct host_view
{
  int64_t sent_at;
  bool open;
  uint64_t index;
  int presumed;
  int used;
};

/**
 * struct host - a host that sends statements of callers to the primary
 * @cut: unreachable for the control leader
 * @waiting: a heartbeat has no reply yet
 * @send_at: when the next heartbeat is due
 * @sent: the last heartbeat
 * @arrives_at: when the leader receives it
 * @reply: the reply to it
 * @replied_at: when the host receives that
 * @view: what the host knows
 * @highest: highest position whose acknowledgement it has passed on
 * @ack_pending: it has received an acknowledgement
 * @ack_lost: the commit was rolled back since
 * @ack_instance: the instance that sent it
 * @ack: the position that it covers
 * @ack_at: when the host passes it on
 * @reported: the last heartbeat that the leader received
 * @reported_at: when it did; 0 for never
 */
struct host
{
  bool cut;
  bool waiting;
  int64_t send_at;
  struct wf_heartbeat sent;
  int64_t arrives_at;
  struct host_view reply;
  int64_t replied_at;
  struct host_view view;
  struct cfs_position highest;
  bool ack_pending;
  bool ack_lost;
  int ack_instance;
  struct cfs_position ack;
  int64_t ack_at;
  struct wf_heartbeat reported;
  int64_t reported_at;
};

/**
 * struct promotion - promotion request in transit
 * @fence: fencing token
 * @at: time at which it is carried out
 * @incarnation: run of the instance that it is for
 * @unknown_at: time at which the manager is told that the result is unknown
 * @result_reported: the manager was told that the result is unknown
 */
struct promotion
{
  bool pending;
  unsigned target;
  uint64_t incarnation;
  uint64_t fence;
  int64_t at;
  int64_t unknown_at;
  bool result_reported;
};

/**
 * struct proposal - record appended to the replicated log and not committed
 * yet
 * @reporter: the instance that reports its role, or NULL
 * @primary: the role that it reports
 * @entry: entry of an instance that arrives or leaves, with an empty id
 * otherwise
 * @proven: the departed instance whose commits are shown to be elsewhere, or
 * ""
 * @index: log index
 * @at: earliest time of the commit
 *
 * It is the begin or the end of a failover, the report of an instance, its
 * arrival or leave, or the proof of a departure.
 */
struct proposal
{
  bool pending;
  const struct instance *reporter;
  bool primary;
  struct cfs_target entry;
  char proven[CFS_NAME_MAX];
  Cfs__Turn turn;
  char service[8];
  char target[8];
  uint64_t index;
  int64_t at;
};

/**
 * struct world - the whole simulation
 * @faults: random faults occur
 * @allowed: the only instance whose region the routes allow
 * @hold_promotions: promotion requests get no result and wait for
 * wf_carry_out()
 * @positions_withheld: hosts report no positions, as if each had started again
 * @demoted: primary that was demoted last, at @demoted_at; what it sent before
 * arrives some time later
 * @heartbeats: receives the heartbeats of the hosts
 * @leader_since: when the current control leader took over
 * @index: last log index of the replicated log
 * @committed: last committed log index
 * @acked_position: highest position whose acknowledgement a host has passed
 * on
 * @fence: highest fencing token of the promotions that were carried out
 * @term: term of the current primary
 * @promoting: instance that becomes primary at @promote_at, or -1
 * @acked_at: @acked_position at the end of each of the last steps; 0 after
 * acknowledged commits were rolled back
 * @status_queries: number of STATUS statements that instances ran
 * @violation: first violated invariant, or NULL
 */
struct world
{
  int64_t now;
  uint64_t seed;
  bool faults;
  unsigned allowed;
  bool hold_promotions;
  bool positions_withheld;
  struct instance *demoted;
  int64_t demoted_at;
  struct cfs_state state;
  struct cfs_target_adapter adapter;
  struct cfs_failover_manager *failover;
  struct fake_conn *conns;
  struct instance instances[INSTANCES];
  struct promotion promotions[PROMOTIONS_MAX];
  struct proposal proposals[PROPOSALS_MAX];
  struct late_order orders[ORDERS_MAX];
  struct host hosts[HOSTS];
  struct wf_heartbeat_ops heartbeats;
  int64_t leader_since;
  uint64_t index;
  uint64_t committed;
  uint64_t acked_position;
  uint64_t fence;
  uint64_t term;
  int promoting;
  int64_t promote_at;
  unsigned failover_count;
  unsigned status_queries;
  uint64_t acked_at[HISTORY_STEPS];
  const char *violation;
};

/* The simulation that runs. */
extern struct world *wf_world;

/** wf_random_below() - random number from 0 to @bound - 1 */
uint64_t wf_random_below (uint64_t bound);

/** wf_violate() - records the first violated invariant */
void wf_violate (const char *invariant);

/** wf_find_instance() - the instance with a name, also with the name under
 * which the departure of an earlier incarnation of it is kept; NULL for one
 * that is not simulated: nothing listens at its address */
struct instance *wf_find_instance (const char *name);

/** wf_open_conn() - opens a connection, as of struct cfs_target_adapter */
struct cfs_target_conn *
wf_open_conn (const struct cfs_target_adapter *adapter,
              const struct cfs_target_conn_setup *setup);

/** wf_read_status() - decodes a status, as of struct cfs_target_adapter */
bool wf_read_status (const struct cfs_reply *reply,
                     struct cfs_instance_state *out);

/** wf_step_conn() - runs the next event of a connection if it is due */
void wf_step_conn (struct fake_conn *conn);

/** wf_free_dead_conns() - frees connections that were closed or lost */
void wf_free_dead_conns (void);

/** wf_append_record() - appends a record to the replicated log; NULL if too
 * many are not committed yet */
struct proposal *wf_append_record (void);

/** wf_exit_instance() - ends an instance and its log */
void wf_exit_instance (struct instance *in);

/** wf_start_departure() - an instance drains and announces that it leaves */
void wf_start_departure (struct instance *in);

/** wf_start_arrival() - an instance that has ended starts again without a log
 */
void wf_start_arrival (struct instance *in);

/** wf_step_arrivals() - lets instances that have left end, and those that are
 * not known report */
void wf_step_arrivals (void);

/** wf_step_orders() - carries out the late orders that are due */
void wf_step_orders (void);

/** wf_start_hosts() - lets the hosts know the current state */
void wf_start_hosts (void);

/** wf_step_hosts() - exchanges heartbeats and passes acknowledgements on */
void wf_step_hosts (void);

/** wf_hosts_use() - whether a host sends statements to an instance as the
 * primary */
bool wf_hosts_use (const struct instance *in);

/** wf_lose_acknowledgements() - a primary with a log up to @end has replaced
 * the one whose acknowledgements are on their way */
void wf_lose_acknowledgements (uint64_t end);

/** wf_forget_hosts() - another control leader has heard no host yet */
void wf_forget_hosts (void);

/**
 * wf_acks_stopped() - whether no host passes acknowledgements on any more
 * @since_index: log index of the failover record
 * @since: when that was applied
 * @highest: set to the highest position that a host has reported, term 0 for
 * none
 */
bool wf_acks_stopped (void *ctx, const char *service, uint64_t since_index,
                      int64_t since, struct cfs_position *highest);

/** wf_apply_entry() - applies the arrival or the leave of an instance */
void wf_apply_entry (const struct proposal *p);

/** wf_step() - advances virtual time by one step */
void wf_step (void);

#endif
