/**
 * DOC: Internals of the failover manager, shared by failover.c,
 * failover_choice.c, failover_probe.c and failover_proof.c.
 */
#ifndef CFS_FAILOVER_INT_H
#define CFS_FAILOVER_INT_H

#include "failover.h"

/* A primary that has not replied for this time is suspected to be down. */
#define PRIMARY_TIMEOUT_US (1100 * CFS_US_PER_MS)
/* An older status is not used to choose a candidate. */
#define STATUS_MAX_AGE_US (600 * CFS_US_PER_MS)
/* Delay before a failed connection or proposal is retried. */
#define RETRY_US (200 * CFS_US_PER_MS)
/* Time for a reachable primary to confirm its demotion. */
#define DEMOTE_TIMEOUT_US (400 * CFS_US_PER_MS)
/* Time-out for pausing all replicas. */
#define PAUSE_TIMEOUT_US (900 * CFS_US_PER_MS)
/* Log entries that a primary sent before its demotion reach its replicas
   within this time. */
#define REPLICATION_DRAIN_US (60 * CFS_US_PER_MS)
/* An instance that has left ends within this time, also when the reply to its
   leave is lost. */
#define EXIT_TIMEOUT_US (5 * CFS_US_PER_S)
/* Maximum number of instances of a service that are probed. */
#define PROBES_MAX 16

/**
 * enum failover_phase - state of a service's failover
 * @PHASE_MONITORING: no failover; the primary is probed
 * @PHASE_OPENING: waits until the fencing token is committed
 * @PHASE_PAUSING: demotes the primary, pauses the replicas
 * @PHASE_PROMOTING: waits for the result of the promotion request
 * @PHASE_CONFIRMING: waits until the candidate reports itself as primary
 * @PHASE_CLOSING: waits until the end of the failover is committed
 */
enum failover_phase
{
  PHASE_MONITORING,
  PHASE_OPENING,
  PHASE_PAUSING,
  PHASE_PROMOTING,
  PHASE_CONFIRMING,
  PHASE_CLOSING
};

/**
 * struct probe - connection to an instance, with at most one query pending
 * @paused: the last status is that of a paused replica
 * @demoted: the instance replied to a demotion and is a replica now
 * @status_known: @status holds a reply; false again once the connection is
 * lost
 * @connect_failures: connections lost or failed in a row
 * @sent_at: when the connection was started or the last query was sent
 * @asked_at: when the query was sent whose reply gave @status
 * @term: highest term seen in a reply
 * @pause_term: term of the last PAUSE
 * @pause_lost: a PAUSE had no reply
 * @verb: last query
 * @absent: the last connection attempt showed that the instance is not there:
 * it was refused, or another instance accepted it
 * @added_at: when the probe was added
 * @position: position in the last reply that proved the instance a primary,
 * term 0 if there is none
 * @position_asked_at: when that was requested
 * @earlier_position: position in the reply before that one
 */
struct probe
{
  struct cfs_failover_manager *owner;
  char target[CFS_NAME_MAX];
  uint64_t incarnation;
  struct cfs_target_conn *conn;
  bool connected;
  bool query_pending;
  bool paused;
  bool demoted;
  bool status_known;
  unsigned connect_failures;
  int64_t sent_at;
  int64_t asked_at;
  int64_t replied_at;
  int64_t retry_at;
  uint64_t term;
  uint64_t pause_term;
  bool pause_lost;
  struct cfs_instance_state status;
  enum cfs_verb verb;
  bool absent;
  int64_t added_at;
  struct cfs_position position;
  int64_t position_asked_at;
  struct cfs_position earlier_position;
};

/**
 * struct departure_proof - proof that no commit of departed instances is lost
 * @index: log index of the newest departure that it covers, 0 for none
 * @started_at: when it was begun
 * @ended_at: when all of them were found to have ended, 0 before
 * @floor: position of the primary, requested after that; term 0 before
 * @proposed_at: when the result was proposed to the replicated log, 0 before
 */
struct departure_proof
{
  uint64_t index;
  int64_t started_at;
  int64_t ended_at;
  struct cfs_position floor;
  int64_t proposed_at;
};

/**
 * struct failover_state - failover of one service
 * @primary_probe: probe of the current primary
 * @not_primary_since: since when the primary reports that it is a replica
 * @suspected_since: since when enough hosts report a primary as unreachable
 * that replies to the leader
 * @no_primary_since: since when no primary is known
 * @probes: probes of all instances during a failover
 * @candidate: instance to promote
 * @fence: fencing token of the current attempt
 * @log_index: log entry that the current phase waits for
 * @max_term: highest term seen at any instance
 * @promotion_sent: a promotion request of this failover may be carried out
 * @former_primary: primary at the start of the current attempt
 * @former_incarnation: the incarnation of it that had just replied as primary
 * then, or 0: any other may have been replaced, or have lost its log
 * @former_position: position in that reply
 * @opened_index: log index of the first record of this failover that this
 * leader applied
 * @opened_at: when that was applied, 0 before
 * @acks_stopped_at: since when no host passes on acknowledgements of the
 * service, 0 before
 * @acks_checked_at: when that was last asked for
 * @acked: highest position that hosts passed on with an acknowledgement
 * @pause_at: when replicas may be paused
 * @retry_at: no failover starts before
 * @seen: highest position that a primary had while this host was leader
 * @waits_for: position that no candidate of the failover has reached, as last
 * logged
 * @waits_at: position of the best candidate, as last logged
 * @proof: departures that are being proven
 * @stray_pause_until: until then a PAUSE that had no reply may be carried out
 * @evacuation_pause: last pause after a failover that kept the primary in an
 * evacuated zone, or 0
 */
struct failover_state
{
  char service[CFS_NAME_MAX];
  enum failover_phase phase;
  struct probe primary_probe;
  int64_t not_primary_since;
  int64_t suspected_since;
  int64_t no_primary_since;
  struct probe probes[PROBES_MAX];
  size_t probe_count;
  char candidate[CFS_NAME_MAX];
  uint64_t fence;
  uint64_t log_index;
  uint64_t max_term;
  bool promotion_sent;
  char former_primary[CFS_NAME_MAX];
  uint64_t former_incarnation;
  struct cfs_position former_position;
  char replaced[CFS_NAME_MAX];
  uint64_t opened_index;
  int64_t opened_at;
  int64_t acks_stopped_at;
  int64_t acks_checked_at;
  struct cfs_position acked;
  int64_t pause_at;
  int64_t phase_started_at;
  int64_t started_at;
  int64_t retry_at;
  struct cfs_position seen;
  struct cfs_position waits_for;
  struct cfs_position waits_at;
  struct departure_proof proof;
  int64_t stray_pause_until;
  int64_t evacuation_pause;
};

/**
 * struct cfs_failover_manager - failovers of all services
 * @services: one state per service that has a target
 * @allowed: see cfs_failover_prefer(), or NULL
 * @is_leader: this host is control leader
 * @leader_since: when it became leader
 */
struct cfs_failover_manager
{
  const struct cfs_failover_ops *ops;
  void *ctx;
  const struct cfs_target_adapter *adapter;
  const struct cfs_state *state;
  int64_t (*clock) (void);
  bool (*allowed) (void *ctx, const struct cfs_target *target);
  struct failover_state **services;
  size_t count;
  size_t cap;
  bool is_leader;
  int64_t leader_since;
};

/**
 * struct probe_summary - statuses of a service's instances
 * @known: number of known instances
 * @paused: number of those that are paused replicas with a recent status
 * @departed: number of instances whose departure is not proven and that are
 * not paused replicas with a recent status
 * @ended: number of those that have left and ended
 * @demoted: an instance has confirmed its demotion
 * @primary: instance with the highest term that reports itself as primary,
 * or NULL
 */
struct probe_summary
{
  size_t known;
  size_t paused;
  size_t departed;
  size_t ended;
  bool demoted;
  struct probe *primary;
};

/** failover_close_probe() - closes the connection, keeps the status */
void failover_close_probe (struct probe *probe);

/** failover_find_probe() - probe of an instance in a failover or a proof, or
 * NULL */
struct probe *failover_find_probe (struct failover_state *state,
                                   const char *target);

/** failover_update_probes() - adds a probe for each known instance, also for
 * those whose departure is not proven, and ends those of other instances */
void failover_update_probes (struct cfs_failover_manager *manager,
                             struct failover_state *state, int64_t now);

/** failover_open_probe() - starts to connect, unless it is connected or has
 * failed just before */
void failover_open_probe (struct cfs_failover_manager *manager,
                          struct probe *probe, const struct cfs_target *target,
                          int64_t now);

/** failover_query_status() - sends a STATUS; the connection must be
 * established and owe no reply */
void failover_query_status (struct probe *probe, int64_t now);

/** failover_has_ended() - whether an instance that has departed has ended
 * @since: when it was first seen as departed, if it has no probe */
bool failover_has_ended (struct failover_state *state,
                         const struct cfs_target *target, int64_t since,
                         int64_t now);

/** failover_prove_departures() - shows that the commits of departed instances
 * are in the log of one that stays; to be repeated while there is no failover
 * @primary: current primary, or NULL */
void failover_prove_departures (struct cfs_failover_manager *manager,
                                struct failover_state *state,
                                const struct cfs_target *primary, int64_t now);

/** failover_close_probes() - closes the connections of a failover */
void failover_close_probes (struct failover_state *state);

/** failover_watch_primary() - queries the role of a primary periodically */
void failover_watch_primary (struct cfs_failover_manager *manager,
                             struct failover_state *state,
                             const struct cfs_target *target, int64_t now);

/** failover_status_is_current() - whether the last status is recent, and not
 * older than the last acknowledgement that a host passed on */
bool failover_status_is_current (const struct failover_state *state,
                                 const struct probe *probe, int64_t now);

/** failover_await_acks() - asks whether hosts have stopped to pass on
 * acknowledgements; to be repeated while the failover is open */
void failover_await_acks (const struct cfs_failover_manager *manager,
                          struct failover_state *state, int64_t now);

/** failover_poll_instances() - sends due queries to all instances and
 * summarizes their statuses */
struct probe_summary
failover_poll_instances (struct cfs_failover_manager *manager,
                         struct failover_state *state, int64_t now);

/**
 * failover_safe_candidate() - chooses the instance to promote
 * @summary: of the poll at @now
 *
 * Return: NULL, after a log line, while an acknowledged commit could be
 * missing at each of them.
 */
const struct probe *
failover_safe_candidate (const struct cfs_failover_manager *manager,
                         struct failover_state *state,
                         const struct probe_summary *summary, int64_t now);

/** failover_awaits_better() - whether to wait for an instance outside of the
 * evacuated zones that has not paused yet, because the candidate is inside one
 * and would be replaced */
bool failover_awaits_better (const struct cfs_failover_manager *manager,
                             const struct failover_state *state,
                             const struct probe *candidate, int64_t now);

/** failover_resume_replicas() - lets the replicas receive again that are known
 * to be paused and owe no reply; to be repeated until no query is pending,
 * because a replica may still reply that it has paused */
void failover_resume_replicas (struct failover_state *state, int64_t now);

/** failover_end_stray_pauses() - looks for replicas that were paused after
 * the end of their failover, and lets them receive again; to be repeated while
 * there is no failover */
void failover_end_stray_pauses (struct cfs_failover_manager *manager,
                                struct failover_state *state, int64_t now);

/** failover_query_pending() - whether any instance owes a reply */
bool failover_query_pending (const struct failover_state *state);

#endif
