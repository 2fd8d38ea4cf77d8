/**
 * DOC: Simulation of the failover of one service.
 *
 * The real failover manager works on three simulated instances, a simulated
 * promotion service and a simulated replicated log; time is virtual.  There
 * is one simulation at a time.
 */
#ifndef WORLD_FAILOVER_H
#define WORLD_FAILOVER_H

#include "../../src/process/failover.h"

/**
 * struct wf_heartbeat - heartbeat of a host to the control leader
 * @sent_at: when it was sent
 * @stopped_index: log index of the open failover that the host knows and for
 * which it passes no acknowledgements on, 0 for none
 * @highest: highest position whose acknowledgement it has passed on, term 0
 * for none
 */
struct wf_heartbeat
{
  int64_t sent_at;
  uint64_t stopped_index;
  struct cfs_position highest;
};

/**
 * struct wf_heartbeat_ops - what receives the heartbeats
 * @heard: the control leader receives the heartbeat of a host; may be NULL
 */
struct wf_heartbeat_ops
{
  void *ctx;
  void (*heard) (void *ctx, unsigned host,
                 const struct wf_heartbeat *heartbeat);
};

/**
 * wf_run_seed() - runs a simulation with random faults, then without any
 *
 * Prints the violated invariant, if any, and with TRACE in the environment
 * also the state of the instances.
 *
 * Return: whether all invariants held.
 */
bool wf_run_seed (uint64_t seed);

/** wf_start() - starts a simulation with the first instance as primary and
 * without faults */
void wf_start (uint64_t seed);

/** wf_end() - ends the simulation and frees it */
void wf_end (void);

/** wf_run() - advances virtual time */
void wf_run (int64_t us);

/** wf_kill() - stops an instance */
void wf_kill (unsigned instance);

/** wf_exit() - ends an instance and its log for good; connections to it are
 * refused */
void wf_exit (unsigned instance);

/** wf_restart_empty() - ends an instance and starts it again under its id,
 * without its log */
void wf_restart_empty (unsigned instance);

/** wf_drop() - records that an instance has stopped to report, as the control
 * leader does */
void wf_drop (unsigned instance);

/** wf_status_queries() - returns the number of STATUS statements that
 * instances ran */
unsigned wf_status_queries (void);

/** wf_revive() - starts a stopped instance again, with its log and role */
void wf_revive (unsigned instance);

/** wf_cut() - cuts an instance off from the control leader and the hosts, or
 * reconnects it */
void wf_cut (unsigned instance, bool cut);

/** wf_cut_from_leader() - cuts an instance off from the control leader, but
 * not from the hosts, or reconnects it */
void wf_cut_from_leader (unsigned instance, bool cut);

/** wf_cut_replication() - lets an instance neither send nor receive the log,
 * or reconnects it */
void wf_cut_replication (unsigned instance, bool cut);

/** wf_report() - takes a report as the control leader does; returns what the
 * leader does with it
 * @configured: whether the configuration names the service of the report */
enum cfs_report_effect wf_report (const struct cfs_target *report,
                                  bool configured);

/** wf_leave() - takes the leave of an instance as the control leader does;
 * returns whether it counts */
bool wf_leave (const char *id, uint64_t incarnation);

/** wf_hold_promotions() - whether promotion requests get no result and are
 * not carried out before wf_carry_out() */
void wf_hold_promotions (bool hold);

/** wf_held_promotion() - returns the instance that the newest request, not
 * carried out yet, is for, or -1 */
int wf_held_promotion (void);

/** wf_carry_out() - carries out the held requests for an instance, in order */
void wf_carry_out (unsigned instance);

/** wf_hold_orders() - whether PAUSE, RESUME and DEMOTE to an instance get no
 * reply and are not carried out before wf_carry_out_orders() */
void wf_hold_orders (unsigned instance, bool hold);

/** wf_carry_out_orders() - carries out the held orders to an instance */
void wf_carry_out_orders (unsigned instance);

/** wf_cut_host() - cuts a host off from the control leader, or reconnects it
 */
void wf_cut_host (unsigned host, bool cut);

/** wf_withhold_positions() - lets hosts report no positions of
 * acknowledgements, so that nothing but the logs shows what was acknowledged
 */
void wf_withhold_positions (void);

/** wf_acknowledged() - returns the highest acknowledged position */
uint64_t wf_acknowledged (void);

/** wf_suspect() - cuts an instance off from the hosts, but not from the
 * control leader, or reconnects it */
void wf_suspect (unsigned instance, bool suspect);

/** wf_slow_down() - lets the statements of the control leader to an instance
 * take this much longer */
void wf_slow_down (unsigned instance, int64_t us);

/** wf_paused() - returns whether an instance does not receive the log because
 * of a failover */
bool wf_paused (unsigned instance);

/** wf_primary() - returns the index of the primary, or -1 */
int wf_primary (void);

/** wf_unregister() - removes an instance from the replicated state, as if it
 * replicated but had not announced itself yet */
void wf_unregister (unsigned instance);

/** wf_drain() - marks an instance as draining in the replicated state */
void wf_drain (unsigned instance);

/** wf_set_zone() - moves an instance to a zone; all are in "z" at first */
void wf_set_zone (unsigned instance, const char *zone);

/** wf_evacuate() - commits the start or stop of an evacuation */
void wf_evacuate (const char *zone, bool start);

/** wf_mute() - lets an instance send no more reports */
void wf_mute (unsigned instance);

/** wf_change_leader() - replaces the control leader */
void wf_change_leader (void);

/** wf_align_logs() - gives the replicas the longest log that any of them has
 */
void wf_align_logs (void);

/** wf_lengthen_log() - adds an entry, which nobody acknowledged, to the log of
 * an instance */
void wf_lengthen_log (unsigned instance);

/** wf_allow_region_of() - lets the routes of the service allow the region of
 * one instance only */
void wf_allow_region_of (unsigned instance);

/** wf_failover_count() - returns the number of changes of primary */
unsigned wf_failover_count (void);

/** wf_violation() - returns the violated invariant, or NULL */
const char *wf_violation (void);

/** wf_state() - returns the replicated state */
struct cfs_state *wf_state (void);

#endif
