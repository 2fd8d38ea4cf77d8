/**
 * DOC: The gate: request scheduler and failover controller of one database
 * group.
 *
 * At any time at most one host holds the lease on a group's connections and
 * runs its gate.  The gate queues requests fairly between teams, routes
 * reads to replicas, pins connections to transactions, acknowledges writes
 * and replaces a failed primary.  It does no I/O and reads no clock; side
 * effects go through struct cfs_gate_ops.
 */
#ifndef CFS_GATE_H
#define CFS_GATE_H

#include "../process/state.h"
#include "fair.h"
#include "request.h"

#define GATE_INSTANCES_MAX 8
#define GATE_CONNECTIONS_MAX 64

/**
 * struct cfs_gate_tuning - tuning parameters, times in microseconds
 * @probe_interval_us: interval between probes of an instance
 * @probe_fast_interval_us: the same during a failover, and for replicas
 * while a write waits for them
 * @primary_timeout_us: time without a probe reply after which the primary
 * is considered failed; also the timeout of a promotion
 * @former_primary_wait_us: time in which a failover waits for instances
 * other than the former primary
 * @replication_stall_us: time without progress of any replica after which
 * the primary is considered failed
 * @tick_gap_us: gap between ticks from which this process is assumed to
 * have been suspended
 * @reachable_timeout_us: time without a probe reply after which an instance
 * gets no reads
 * @replica_wait_us: maximum wait of a read for a replica to catch up
 * @primary_leave_timeout_us: maximum wait for the work of a leaving primary
 * @transaction_timeout_us: idle time after which a transaction is rolled back
 * @drain_transaction_idle_us: the same while the gate is draining
 * @overcommit_percent: statements admitted beyond the slots of an instance,
 * in percent of the slots
 * @max_attempts: maximum number of times a request is sent
 * @retry_ratio: retry budget earned by each request
 * @retry_budget_max: maximum of the retry budget
 * @wait_for_replica: let a read wait for a replica before it goes to the
 * primary
 */
struct cfs_gate_tuning
{
  int64_t probe_interval_us;
  int64_t probe_fast_interval_us;
  int64_t primary_timeout_us;
  int64_t former_primary_wait_us;
  int64_t replication_stall_us;
  int64_t tick_gap_us;
  int64_t reachable_timeout_us;
  int64_t replica_wait_us;
  int64_t primary_leave_timeout_us;
  int64_t transaction_timeout_us;
  int64_t drain_transaction_idle_us;
  unsigned overcommit_percent;
  unsigned max_attempts;
  double retry_ratio;
  double retry_budget_max;
  bool wait_for_replica;
};

/** cfs_gate_defaults - the parameters used in production */
extern const struct cfs_gate_tuning cfs_gate_defaults;

/**
 * enum cfs_work - unit of work executed on a connection
 * @WORK_READ: read-only transaction of one statement
 * @WORK_WRITE: read-write transaction of one statement
 * @WORK_KEYED_WRITE: the same, recording the outcome under the idempotency
 * key
 * @WORK_BEGIN: opens a transaction and leaves it open
 * @WORK_STATEMENT: statement inside the open transaction
 * @WORK_COMMIT: commits the open transaction
 * @WORK_ROLLBACK: rolls the open transaction back
 */
enum cfs_work
{
  WORK_READ = 0,
  WORK_WRITE,
  WORK_KEYED_WRITE,
  WORK_BEGIN,
  WORK_STATEMENT,
  WORK_COMMIT,
  WORK_ROLLBACK
};

/**
 * enum cfs_work_status - result status of a unit of work
 * @WORK_STATUS_OK: completed and, if it commits, committed
 * @WORK_STATUS_ERROR: the target rejected the statement and rolled it back
 * @WORK_STATUS_REPLAYED: the idempotency key already has a recorded outcome,
 * which is returned as the body
 * @WORK_STATUS_KEY_REUSED: not run, the key belongs to another statement
 * @WORK_STATUS_KEY_LOCKED: not run, the key is in use by a concurrent request
 * @WORK_STATUS_NOT_RUN: the connection was lost before the work could take
 * effect
 * @WORK_STATUS_UNKNOWN: the connection was lost after the target may have
 * received the commit
 */
enum cfs_work_status
{
  WORK_STATUS_OK = 0,
  WORK_STATUS_ERROR,
  WORK_STATUS_REPLAYED,
  WORK_STATUS_KEY_REUSED,
  WORK_STATUS_KEY_LOCKED,
  WORK_STATUS_NOT_RUN,
  WORK_STATUS_UNKNOWN
};

/**
 * struct cfs_work_result - result of a unit of work
 * @term: term of the history that the instance had
 * @position: log position up to which everything is included
 * @position_max: for reads, log position after which nothing is included
 * @clean: whether the connection can be reused
 * @body: result document or NULL; owned by the gate until it passes it to the
 * function reply or discard
 */
struct cfs_work_result
{
  enum cfs_work_status status;
  uint64_t term;
  uint64_t position;
  uint64_t position_max;
  bool clean;
  void *body;
};

/**
 * struct cfs_gate_reply - reply of the gate to a request
 * @term: with @position, the new position of the session
 * @replica: whether a replica served the request
 * @body: result document or NULL, owned by the receiver
 */
struct cfs_gate_reply
{
  enum cfs_code code;
  enum cfs_outcome outcome;
  uint64_t term;
  uint64_t position;
  bool replica;
  void *body;
};

struct cfs_gate;

/**
 * struct cfs_gate_ops - side effects of the gate
 * @connect: opens connection @conn to instance @inst
 * @close: closes connection @conn; no result may be delivered for it later
 * @run: starts work, completed by cfs_gate_work_done()
 * @reply: completes a request and returns the ownership of it and the body
 * @probe: queries the position of an instance, completed by cfs_gate_probed()
 * @promote: promotes an instance to primary in @term; later probes show
 * whether that succeeded
 * @discard: frees a body that no request needs
 */
struct cfs_gate_ops
{
  void (*connect) (void *ctx, unsigned conn, unsigned inst);
  void (*close) (void *ctx, unsigned conn);
  void (*run) (void *ctx, unsigned conn, enum cfs_work work,
               struct cfs_request *request);
  void (*reply) (void *ctx, struct cfs_request *request,
                 const struct cfs_gate_reply *reply);
  void (*probe) (void *ctx, unsigned inst);
  void (*promote) (void *ctx, unsigned inst, uint64_t term);
  void (*discard) (void *ctx, void *body);
};

/**
 * struct cfs_gate_stats - counters since the gate was created
 * @reads_replica: reads served by a replica
 * @reads_primary: reads served by the primary
 * @writes: writes and commits that succeeded at the primary
 * @sent: units of work sent to instances
 * @submitted: requests submitted
 * @refused: requests refused without being run
 */
struct cfs_gate_stats
{
  uint64_t reads_replica;
  uint64_t reads_primary;
  uint64_t writes;
  uint64_t sent;
  uint64_t submitted;
  uint64_t retries;
  uint64_t refused;
  uint64_t connects;
  uint64_t promotions;
};

/**
 * cfs_gate_new() - creates a gate without a lease
 * @ops: side effects, must outlive the gate
 * @ctx: first argument of every function in @ops
 * @group: name of the group
 * @tuning: copied
 * @seed: random seed for transaction ids and retry delays, not 0
 *
 * Return: the gate, to be freed with cfs_gate_free().
 */
struct cfs_gate *cfs_gate_new (const struct cfs_gate_ops *ops, void *ctx,
                               const char *group,
                               const struct cfs_gate_tuning *tuning,
                               uint64_t seed);

/**
 * cfs_gate_free() - frees the gate
 *
 * Pending requests get a reply and all connections are closed.
 */
void cfs_gate_free (struct cfs_gate *gate, int64_t now);

/**
 * cfs_gate_assign() - starts a new lease epoch or ends the current one
 * @gate: gate
 * @epoch: epoch of the lease, 0 to give up the gate
 *
 * Closes all connections, which ends the work in progress.  Queued requests
 * are refused with CFS_CODE_MOVED, writes that wait for replicas get
 * CFS_CODE_NO_LEASE.  A call with the current epoch has no effect.
 */
void cfs_gate_assign (struct cfs_gate *gate, uint64_t epoch, int64_t now);

/** cfs_gate_renew() - extends the lease to @until, which may have passed */
void cfs_gate_renew (struct cfs_gate *gate, int64_t until, int64_t now);

/**
 * cfs_gate_configure() - applies the settings of the group
 * @gate: gate
 * @size: number of instances in the group, from which the majority follows
 * @ack_primary: acknowledge writes once the primary has committed, without
 * waiting for replicas
 */
void cfs_gate_configure (struct cfs_gate *gate, unsigned size,
                         bool ack_primary);

/**
 * cfs_gate_set_wait_for_replica() - sets whether a read waits for a replica
 * before it goes to the primary
 */
void cfs_gate_set_wait_for_replica (struct cfs_gate *gate, bool wait);

/**
 * cfs_gate_set_group() - applies the group state committed by the control
 * group: current and granted term, primary and branches
 */
void cfs_gate_set_group (struct cfs_gate *gate, const struct cfs_group *group,
                         int64_t now);

/** cfs_gate_update_instance() - adds or updates an announced instance */
void cfs_gate_update_instance (struct cfs_gate *gate,
                               const Cfs__Instance *instance, int64_t now);

/**
 * cfs_gate_submit() - submits a request
 *
 * The gate owns @request until it calls the reply function, which may be
 * during this call.
 */
void cfs_gate_submit (struct cfs_gate *gate, struct cfs_request *request,
                      int64_t now);

/** cfs_gate_connected() - reports that a connection is open and usable */
void cfs_gate_connected (struct cfs_gate *gate, unsigned conn, int64_t now);

/**
 * cfs_gate_disconnected() - reports that an idle connection was lost or that
 * one could not be opened
 */
void cfs_gate_disconnected (struct cfs_gate *gate, unsigned conn, int64_t now);

/** cfs_gate_work_done() - reports the result of the work on a connection */
void cfs_gate_work_done (struct cfs_gate *gate, unsigned conn,
                         const struct cfs_work_result *result, int64_t now);

/**
 * cfs_gate_probed() - reports the reply to a probe
 * @gate: gate
 * @inst: instance
 * @term: term of the instance's history
 * @position: log position that the instance has applied
 * @start: log position at which that term starts
 * @primary: whether the instance accepts writes
 * @sent_at: time at which the probe was sent
 * @now: current time
 */
void cfs_gate_probed (struct cfs_gate *gate, unsigned inst, uint64_t term,
                      uint64_t position, uint64_t start, bool primary,
                      int64_t sent_at, int64_t now);

/** cfs_gate_tick() - runs timers, to be called at least every 10 ms */
void cfs_gate_tick (struct cfs_gate *gate, int64_t now);

/**
 * cfs_gate_drain() - refuses new requests and completes running work
 *
 * Return: whether the gate is idle.
 */
bool cfs_gate_drain (struct cfs_gate *gate, int64_t now);

/**
 * cfs_gate_report() - fills the report to the control leader
 * @gate: gate
 * @out: filled in; its pointers stay valid until the next call
 *
 * Return: whether there is anything to report.
 */
bool cfs_gate_report (struct cfs_gate *gate, Cfs__GroupReport *out);

/** cfs_gate_epoch() - epoch of the gate's lease, 0 for none */
uint64_t cfs_gate_epoch (const struct cfs_gate *gate);

/** cfs_gate_serving() - whether the gate currently accepts writes */
bool cfs_gate_serving (const struct cfs_gate *gate, int64_t now);

/** cfs_gate_stats() - counters of the gate, owned by it */
const struct cfs_gate_stats *cfs_gate_stats (const struct cfs_gate *gate);

/**
 * cfs_gate_address() - network address of an instance
 * @gate: gate
 * @inst: instance
 * @port: set to its port
 *
 * Return: its IP address, owned by the gate.
 */
const char *cfs_gate_address (const struct cfs_gate *gate, unsigned inst,
                              uint32_t *port);

/** cfs_gate_name() - name of an instance, owned by the gate */
const char *cfs_gate_name (const struct cfs_gate *gate, unsigned inst);

#endif
