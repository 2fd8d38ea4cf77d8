/**
 * DOC: Internal declarations of the gate, shared by gate*.c, route.c and
 * promote.c.
 */
#ifndef CFS_GATE_INT_H
#define CFS_GATE_INT_H

#include "gate.h"

/* Size of the connection table. */
#define CONN_COUNT (GATE_CONNECTIONS_MAX * GATE_INSTANCES_MAX)
/* Positions of the primary that are kept to determine the staleness of
   replicas. */
#define ROUTE_SAMPLES 256

/**
 * enum cfs_gate_phase - failover state of the gate
 * @PHASE_IDLE: no lease or no known term
 * @PHASE_SERVING: writes are executed and acknowledged
 * @PHASE_REQUESTING_TERM: writes are frozen; a new term has been requested
 * from the control group
 * @PHASE_SELECTING: the term is granted; positions are being collected
 * @PHASE_PROMOTING: a promotion request was sent to the candidate
 * @PHASE_CONFIRMING: the candidate is primary; the control group has not yet
 * recorded it
 */
enum cfs_gate_phase
{
  PHASE_IDLE = 0,
  PHASE_SERVING,
  PHASE_REQUESTING_TERM,
  PHASE_SELECTING,
  PHASE_PROMOTING,
  PHASE_CONFIRMING
};

/**
 * struct gate_instance - one instance of the group
 * @slots: statements that it executes in parallel without slowing down
 * @connections: connections that it accepts
 * @leaving: it announced that it will shut down
 * @primary: it accepts writes, as of the last probe reply
 * @last_probe_sent_at: time of the latest probe
 * @term: term of its history
 * @position: log position that it has applied
 * @start: log position at which @term starts
 * @last_probe_reply_at: time of the latest reply
 * @answered_probe_sent_at: time at which the probe of that reply was sent
 * @connect_after: earliest time of the next connection attempt
 * @open_conns: connections that are open or being opened
 * @running: connections that execute a statement
 * @pinned_conns: connections that belong to a transaction
 */
struct gate_instance
{
  char name[CFS_NAME_MAX];
  char address[CFS_NAME_MAX];
  uint32_t port;
  unsigned slots;
  unsigned connections;
  bool leaving;
  bool primary;
  int64_t last_probe_sent_at;
  uint64_t term;
  uint64_t position;
  uint64_t start;
  int64_t last_probe_reply_at;
  int64_t answered_probe_sent_at;
  int64_t connect_after;
  int64_t leaving_since;
  unsigned open_conns;
  unsigned running;
  unsigned pinned_conns;
};

/**
 * enum gate_conn_state - state of one connection
 * @CONN_FREE: unused entry
 * @CONN_OPENING: being opened
 * @CONN_IDLE: open and available
 * @CONN_BUSY: executes work
 * @CONN_PINNED: belongs to a transaction that is idle
 */
enum gate_conn_state
{
  CONN_FREE = 0,
  CONN_OPENING,
  CONN_IDLE,
  CONN_BUSY,
  CONN_PINNED
};

/**
 * struct gate_conn - one connection, identified by its index
 * @term: term of the group when the work was started
 * @transaction: transaction to which it is pinned, or ""
 * @team: team that owns the transaction
 * @abort: not used
 */
struct gate_conn
{
  enum gate_conn_state state;
  unsigned inst;
  struct cfs_request *request;
  enum cfs_work work;
  int64_t started_at;
  uint64_t term;
  char transaction[CFS_TRANSACTION_MAX];
  char team[CFS_NAME_MAX];
  int64_t idle_since;
  bool abort;
};

/**
 * struct gate_pending_ack - a write that is committed at the primary and
 * waits for replicas
 */
struct gate_pending_ack
{
  struct cfs_request *request;
  struct cfs_gate_reply reply;
};

/** struct primary_sample - position of the primary at time @at */
struct primary_sample
{
  int64_t at;
  uint64_t position;
};

/**
 * struct cfs_gate - state of a gate
 * @epoch: epoch of the lease, 0 for none
 * @group: group state committed by the control group
 * @size: number of instances in the group
 * @ack_primary: a write needs no replicas to be acknowledged
 * @phase_since: time at which the phase started
 * @candidate: instance being promoted
 * @promoted_start: log position at which the new term starts
 * @used_term: last granted term for which a promotion was started
 * @candidate_position: log position up to which the candidate is known to
 * share the history of the current term
 * @candidate_current: the candidate's history is of the current term
 * @stall_since: time at which the best replica last made progress
 * @stall_position: position of the best replica at that time
 * @resumed_at: time at which this process resumed from a suspension
 * @conn_used: entries of @conn that have ever been used
 * @samples: ring of positions of the primary
 * @retry_budget: retries that are available
 * @next_inst: instance at which the next search for a replica starts
 */
struct cfs_gate
{
  const struct cfs_gate_ops *ops;
  void *ctx;
  char name[CFS_NAME_MAX];
  struct cfs_gate_tuning tuning;
  uint64_t seed;
  uint64_t epoch;
  int64_t lease_until;
  struct cfs_group group;
  unsigned size;
  bool ack_primary;
  bool draining;
  enum cfs_gate_phase phase;
  int64_t phase_since;
  unsigned candidate;
  uint64_t promoted_start;
  uint64_t used_term;
  uint64_t candidate_position;
  bool candidate_current;
  int64_t stall_since;
  uint64_t stall_position;
  int64_t resumed_at;
  int64_t last_tick_at;
  struct gate_instance inst[GATE_INSTANCES_MAX];
  unsigned inst_count;
  struct gate_conn conn[CONN_COUNT];
  unsigned conn_used;
  struct cfs_fair fair;
  struct gate_pending_ack *pending_acks;
  size_t pending_ack_count;
  size_t pending_ack_cap;
  struct primary_sample samples[ROUTE_SAMPLES];
  size_t sample_next;
  size_t sample_count;
  double retry_budget;
  unsigned next_inst;
  struct cfs_gate_stats stats;
};

/** gate_lease_valid() - whether the lease is valid at @now */
bool gate_lease_valid (const struct cfs_gate *gate, int64_t now);

/** gate_majority() - number of instances that form a majority of the group */
unsigned gate_majority (const struct cfs_gate *gate);

/** gate_primary() - index of the current term's primary, or -1 */
int gate_primary (const struct cfs_gate *gate);

/** gate_has_capacity() - whether an instance can take another statement */
bool gate_has_capacity (const struct cfs_gate *gate, unsigned inst);

/**
 * route_read() - selects the instance for a read
 *
 * Return: its index, or -1 when the read has to wait.
 */
int route_read (struct cfs_gate *gate, const struct cfs_request *request,
                int64_t now);

/** route_add_sample() - records that the primary was at @position at @at */
void route_add_sample (struct cfs_gate *gate, uint64_t position, int64_t at);

/**
 * route_clip_samples() - adapts the samples to a new term, which keeps the
 * history up to @start only
 */
void route_clip_samples (struct cfs_gate *gate, uint64_t start);

/**
 * enum route_token - validity of a session's position in the current term
 * @TOKEN_VALID: the position is part of the current history
 * @TOKEN_LOST: the position is after the start of a later term, so the
 * change that it stands for was discarded by a failover; or its term is older
 * than the recorded branches, so that this cannot be excluded
 * @TOKEN_AHEAD: the position is of a term that this gate does not know yet
 */
enum route_token
{
  TOKEN_VALID,
  TOKEN_LOST,
  TOKEN_AHEAD
};

/** route_check_token() - checks a session's position against the history */
enum route_token route_check_token (const struct cfs_group *group,
                                    uint64_t term, uint64_t position);

/** promote_tick() - advances failure detection and failover */
void promote_tick (struct cfs_gate *gate, int64_t now);

void promote_set_phase (struct cfs_gate *gate, enum cfs_gate_phase phase,
                        int64_t now);

/**
 * gate_reply() - completes a request
 *
 * CFS_NOT_RUN is replaced by CFS_UNKNOWN when an earlier attempt may have
 * taken effect, except with CFS_CODE_SQL_ERROR.
 */
void gate_reply (struct cfs_gate *gate, struct cfs_request *request,
                 enum cfs_code code, enum cfs_outcome outcome, void *body);

/**
 * gate_retry() - queues a request again if its attempts, its deadline and
 * the retry budget allow
 *
 * Return: whether it was queued.
 */
bool gate_retry (struct cfs_gate *gate, struct cfs_request *request,
                 int64_t now);

/** gate_conn_limit() - maximum number of connections used for statements */
unsigned gate_conn_limit (const struct gate_instance *instance);

/** gate_conn_open() - opens a connection, unless the limit is reached or the
 * delay after a failed connection has not passed */
void gate_conn_open (struct cfs_gate *gate, unsigned inst, int64_t now);

/**
 * gate_conn_take() - returns an idle connection
 *
 * Return: its index, or -1; then another connection may have been requested.
 */
int gate_conn_take (struct cfs_gate *gate, unsigned inst, int64_t now);

/** gate_conn_close() - closes a connection, whatever its state */
void gate_conn_close (struct cfs_gate *gate, unsigned conn);

/** gate_send_probes() - probes the instances whose next probe is due */
void gate_send_probes (struct cfs_gate *gate, int64_t now);

/** gate_check_conns() - ends work past its deadline and connections that are
 * pinned for too long or idle at a leaving instance */
void gate_check_conns (struct cfs_gate *gate, int64_t now);

/** gate_warm_conns() - opens connections in advance */
void gate_warm_conns (struct cfs_gate *gate, int64_t now);

/** gate_request_lane() - the queue of a request */
enum cfs_lane gate_request_lane (const struct cfs_request *request);

/** gate_end_work() - completes the work on a connection */
void gate_end_work (struct cfs_gate *gate, unsigned conn,
                    const struct cfs_work_result *result, int64_t now);

/** gate_abort_conn() - closes a connection; work in progress ends with
 * WORK_STATUS_UNKNOWN */
void gate_abort_conn (struct cfs_gate *gate, unsigned conn, int64_t now);

/** gate_abort_all_conns() - the same for all connections in use */
void gate_abort_all_conns (struct cfs_gate *gate, int64_t now);

/**
 * gate_wait_for_majority() - delays the reply to a committed write until a
 * majority of the instances have it
 */
void gate_wait_for_majority (struct cfs_gate *gate,
                             struct cfs_request *request,
                             const struct cfs_work_result *result,
                             int64_t now);

/**
 * gate_check_acks() - replies to pending writes that are replicated, expired
 * or lost, or retries them
 */
void gate_check_acks (struct cfs_gate *gate, int64_t now);

#endif
