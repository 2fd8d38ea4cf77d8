/**
 * DOC: Private parts of the gate, shared by its files.
 */
#ifndef CFS_GATE_INT_H
#define CFS_GATE_INT_H

#include "gate.h"

/* Rows of the table of connections. */
#define CONN_COUNT (GATE_CONNECTIONS_MAX * GATE_INSTANCES_MAX)
/* Reports of the primary kept to judge the age of replicas. */
#define ROUTE_SAMPLES 256

/**
 * enum cfs_gate_phase - state of the primary as the gate sees it
 * @PHASE_IDLE: no lease or no known term
 * @PHASE_SERVING: writes run and are acknowledged
 * @PHASE_REQUESTING_TERM: writes are frozen; a new term was asked for
 * @PHASE_SELECTING: a term is granted; positions are being collected
 * @PHASE_PROMOTING: an instance was ordered to lead
 * @PHASE_CONFIRMING: it leads; the control group has yet to record it
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

/** struct gate_instance - one instance of the group */
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

/** enum gate_conn_state - state of one connection */
enum gate_conn_state
{
  CONN_FREE = 0,
  CONN_OPENING,
  CONN_IDLE,
  CONN_BUSY,
  CONN_PINNED
};

/** struct gate_conn - one connection, by handle */
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

/** struct gate_pending_ack - a committed write that waits for replicas */
struct gate_pending_ack
{
  struct cfs_request *request;
  struct cfs_gate_reply reply;
};

/** struct primary_sample - a position that the primary had at a known time */
struct primary_sample
{
  int64_t at;
  uint64_t position;
};

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

/** gate_lease_valid() - whether the lease holds at @now */
bool gate_lease_valid (const struct cfs_gate *gate, int64_t now);

/** gate_majority() - instances that make a majority of the group */
unsigned gate_majority (const struct cfs_gate *gate);

/** gate_primary() - handle of the primary of the present term, or -1 */
int gate_primary (const struct cfs_gate *gate);

/** gate_has_capacity() - whether an instance may be given another statement */
bool gate_has_capacity (const struct cfs_gate *gate, unsigned inst);

/**
 * route_read() - chooses where a read runs now
 *
 * Return: an instance, or -1 when it has to wait.
 */
int route_read (struct cfs_gate *gate, const struct cfs_request *request,
                int64_t now);

/** route_add_sample() - notes a position that the primary reported */
void route_add_sample (struct cfs_gate *gate, uint64_t position, int64_t at);

/** route_clip_samples() - a new term keeps the history up to @start only */
void route_clip_samples (struct cfs_gate *gate, uint64_t start);

/**
 * enum route_token - what a session's position means in the present term
 * @TOKEN_VALID: the position is part of the present history
 * @TOKEN_LOST: the position was past the branch that was kept
 * @TOKEN_AHEAD: the token is of a term that this gate does not know yet
 */
enum route_token
{
  TOKEN_VALID,
  TOKEN_LOST,
  TOKEN_AHEAD
};

/** route_token() - judges a session's position */
enum route_token route_check_token (const struct cfs_group *group,
                                    uint64_t term, uint64_t position);

/** promote_tick() - detection, choice and promotion of a primary */
void promote_tick (struct cfs_gate *gate, int64_t now);

/** promote_set_phase() - enters a phase */
void promote_set_phase (struct cfs_gate *gate, enum cfs_gate_phase phase,
                        int64_t now);

/** gate_reply() - ends a request; not_run of an unsure one says unknown */
void gate_reply (struct cfs_gate *gate, struct cfs_request *request,
                 enum cfs_code code, enum cfs_outcome outcome, void *body);

/** gate_retry() - queues a request again if attempts and budget allow */
bool gate_retry (struct cfs_gate *gate, struct cfs_request *request,
                 int64_t now);

/** gate_conn_limit() - statements' connections that an instance may have */
unsigned gate_conn_limit (const struct gate_instance *instance);

/** gate_conn_open() - opens one more connection if there is room */
void gate_conn_open (struct cfs_gate *gate, unsigned inst, int64_t now);

/** gate_conn_take() - an idle connection, or -1 after one was asked for */
int gate_conn_take (struct cfs_gate *gate, unsigned inst, int64_t now);

/** gate_conn_close() - closes a connection in any state */
void gate_conn_close (struct cfs_gate *gate, unsigned conn);

/** gate_wait_for_majority() - holds the answer to a committed write back */
void gate_wait_for_majority (struct cfs_gate *gate,
                             struct cfs_request *request,
                             const struct cfs_work_result *result,
                             int64_t now);

/** gate_check_acks() - answers or repeats writes that waited for replicas */
void gate_check_acks (struct cfs_gate *gate, int64_t now);

#endif
