/**
 * DOC: The gate of one database group.
 *
 * Exactly one host holds the lease on a group's connections at a time and
 * runs its gate: it queues fairly, chooses replicas, pins connections to
 * transactions, acknowledges writes, and replaces a failed primary.  No I/O
 * and no clock; effects leave through struct cfs_gate_ops.
 */
#ifndef CFS_GATE_H
#define CFS_GATE_H

#include "../process/state.h"
#include "fair.h"
#include "request.h"

#define GATE_INSTANCES_MAX 8
#define GATE_CONNECTIONS_MAX 64

/** struct cfs_gate_tuning - one row of tuning values; times in microseconds */
struct cfs_gate_tuning
{
  int64_t probe_interval_us; /* time between probes of an instance */
  int64_t
      probe_fast_interval_us; /* the same while a write waits for replicas */
  int64_t primary_timeout_us; /* silence that makes a primary suspect */
  int64_t former_primary_wait_us; /* wait for others than the former primary */
  int64_t replication_stall_us;   /* replication standstill that does so */
  int64_t tick_gap_us; /* gap between ticks taken as a pause of ours */
  int64_t reachable_timeout_us; /* silence after which no read goes there */
  int64_t replica_wait_us;      /* longest wait for a replica to catch up */
  int64_t
      primary_leave_timeout_us; /* longest wait for a leaving primary's work */
  int64_t
      transaction_timeout_us; /* idle time after which one is rolled back */
  int64_t drain_transaction_idle_us; /* the same while the gate is drained */
  unsigned overcommit_percent;       /* statements admitted beyond the slots */
  unsigned max_attempts;             /* times one request may be sent */
  double retry_ratio;                /* retries earned by each request */
  double retry_budget_max;           /* retries that may be saved up */
  bool wait_for_replica; /* wait for a replica rather than the primary */
};

/** cfs_gate_defaults - the row used in service */
extern const struct cfs_gate_tuning cfs_gate_defaults;

/**
 * enum cfs_work - what a connection is asked to do
 * @WORK_READ: read-only transaction of one statement
 * @WORK_WRITE: transaction of one statement
 * @WORK_KEYED_WRITE: the same with its outcome recorded under the key
 * @WORK_BEGIN: opens a transaction and stays in it
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
 * enum cfs_work_status - how a piece of work ended
 * @WORK_STATUS_OK: done and, where it commits, committed
 * @WORK_STATUS_ERROR: the target refused the statement; nothing of it remains
 * @WORK_STATUS_REPLAYED: the key's outcome had been recorded; the body is that
 * one
 * @WORK_STATUS_KEY_REUSED: the key was used for another statement; not run
 * @WORK_STATUS_KEY_LOCKED: another run of the same key is open; not run
 * @WORK_STATUS_NOT_RUN: the connection ended before anything could take effect
 * @WORK_STATUS_UNKNOWN: the connection ended after a commit may have been seen
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
 * struct cfs_work_result - result of a piece of work
 * @term: term of the history that the instance held
 * @position: everything up to it is included
 * @seen: of a read, nothing behind it is included
 * @clean: whether the connection can be used again
 * @body: owned by the adapter
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

/** struct cfs_gate_reply - answer to a request */
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
 * struct cfs_gate_ops - effects of the gate
 * @connect: opens connection @conn to instance @inst
 * @close: closes connection @conn; a late result of it must not come
 * @run: starts work; its end comes by cfs_gate_work_done()
 * @answer: ends a request; it and the body are the receiver's again
 * @probe: asks an instance for its position; comes by cfs_gate_probed()
 * @promote: orders an instance to lead in a term; seen by later probes
 * @discard: frees a body that nobody is waiting for
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

/** struct cfs_gate_stats - counters since the gate was made */
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
 * cfs_gate_new() - a gate without a lease
 * @ops: effects, must outlive it
 * @ctx: first argument of every effect
 * @group: name of the group
 * @tuning: copied
 * @seed: for transaction ids, not 0
 *
 * Return: freed by cfs_gate_free().
 */
struct cfs_gate *cfs_gate_new (const struct cfs_gate_ops *ops, void *ctx,
                               const char *group,
                               const struct cfs_gate_tuning *tuning,
                               uint64_t seed);

/** cfs_gate_free() - answers what waits, closes connections, frees the gate */
void cfs_gate_free (struct cfs_gate *gate, int64_t now);

/**
 * cfs_gate_assign() - the gate is held in a new epoch, or given up
 * @gate: gate
 * @epoch: epoch of the lease, 0 when the gate is given up
 */
void cfs_gate_assign (struct cfs_gate *gate, uint64_t epoch, int64_t now);

/** cfs_gate_renew() - the lease holds until @until, which may be past */
void cfs_gate_renew (struct cfs_gate *gate, int64_t until, int64_t now);

/**
 * cfs_gate_configure() - settings of the group
 * @gate: gate
 * @size: instances of the group, of which a majority counts
 * @ack_primary: whether a write is acknowledged without replicas
 */
void cfs_gate_configure (struct cfs_gate *gate, unsigned size,
                         bool ack_primary);

/** cfs_gate_set_wait_for_replica() - policy of reads that no replica can serve
 */
void cfs_gate_set_wait_for_replica (struct cfs_gate *gate, bool wait);

/** cfs_gate_set_group() - terms of the group as the control group decided */
void cfs_gate_set_group (struct cfs_gate *gate, const struct cfs_group *group,
                         int64_t now);

/** cfs_gate_update_instance() - an instance announced itself or was passed on
 */
void cfs_gate_update_instance (struct cfs_gate *gate,
                               const Cfs__Instance *instance, int64_t now);

/**
 * cfs_gate_submit() - takes a request
 *
 * The gate owns @request until it calls the answer effect, which may be
 * during this call.
 */
void cfs_gate_submit (struct cfs_gate *gate, struct cfs_request *request,
                      int64_t now);

/** cfs_gate_connected() - a connection is usable */
void cfs_gate_connected (struct cfs_gate *gate, unsigned conn, int64_t now);

/** cfs_gate_disconnected() - an idle or opening connection ended */
void cfs_gate_disconnected (struct cfs_gate *gate, unsigned conn, int64_t now);

/** cfs_gate_work_done() - work on a connection ended */
void cfs_gate_work_done (struct cfs_gate *gate, unsigned conn,
                         const struct cfs_work_result *result, int64_t now);

/**
 * cfs_gate_probed() - answer to a probe
 * @gate: gate
 * @inst: instance
 * @term: term of the history that it holds
 * @position: position it has applied
 * @start: position at which that term starts
 * @primary: whether it accepts writes
 * @sent_at: time at which the probe was sent
 * @now: time
 */
void cfs_gate_probed (struct cfs_gate *gate, unsigned inst, uint64_t term,
                      uint64_t position, uint64_t start, bool primary,
                      int64_t sent_at, int64_t now);

/** cfs_gate_tick() - timers; to be called at least every 10 ms */
void cfs_gate_tick (struct cfs_gate *gate, int64_t now);

/**
 * cfs_gate_drain() - takes no new transactions and finishes what runs
 *
 * Return: whether nothing is left.
 */
bool cfs_gate_drain (struct cfs_gate *gate, int64_t now);

/**
 * cfs_gate_report() - what the control leader must know now
 * @gate: gate
 * @out: filled with pointers that hold until the next call
 *
 * Return: whether there is anything to report.
 */
bool cfs_gate_report (struct cfs_gate *gate, Cfs__GroupReport *out);

/** cfs_gate_epoch() - epoch in which the gate is held, 0 for none */
uint64_t cfs_gate_epoch (const struct cfs_gate *gate);

/** cfs_gate_serving() - whether writes are acknowledged at present */
bool cfs_gate_serving (const struct cfs_gate *gate, int64_t now);

/** cfs_gate_stats() - counters, read only */
const struct cfs_gate_stats *cfs_gate_stats (const struct cfs_gate *gate);

/**
 * cfs_gate_address() - where an instance is reached
 * @gate: gate
 * @inst: instance
 * @port: set to its port
 *
 * Return: its IP number, owned by the gate.
 */
const char *cfs_gate_address (const struct cfs_gate *gate, unsigned inst,
                              uint32_t *port);

/** cfs_gate_name() - name of an instance, owned by the gate */
const char *cfs_gate_name (const struct cfs_gate *gate, unsigned inst);

#endif
