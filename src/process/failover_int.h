/**
 * DOC: Private parts of changes of primary, shared by failover.c and
 * succession_probe.c.
 */
#ifndef CFS_FAILOVER_INT_H
#define CFS_FAILOVER_INT_H

#include "failover.h"

/* A primary that gave no answer for this time is suspected. */
#define PRIMARY_TIMEOUT_US (1100 * CFS_US_PER_MS)
/* Answers that are older do not count in the choice. */
#define STATUS_MAX_AGE_US (600 * CFS_US_PER_MS)
/* Pause before the next attempt. */
#define RETRY_US (200 * CFS_US_PER_MS)
/* A reachable primary has this time to answer that it stepped down. */
#define DEMOTE_TIMEOUT_US (400 * CFS_US_PER_MS)
/* What it sent to its replicas before arrives within this time. */
#define REPLICATION_DRAIN_US (60 * CFS_US_PER_MS)
#define PROBES_MAX 16

enum failover_phase
{
  PHASE_MONITORING,
  PHASE_OPENING,
  PHASE_PAUSING,
  PHASE_PROMOTING,
  PHASE_CONFIRMING,
  PHASE_CLOSING
};

/* A connection to one instance with at most one question under way. */
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
  int64_t replied_at;
  int64_t retry_at;
  uint64_t term;
  struct cfs_instance_state status;
  enum cfs_verb verb;
};

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
  int64_t pause_at;
  int64_t phase_started_at;
  int64_t started_at;
  int64_t retry_at;
};

struct cfs_failover_manager
{
  const struct cfs_failover_ops *ops;
  void *ctx;
  const struct cfs_target_adapter *adapter;
  const struct cfs_state *state;
  int64_t (*clock) (void);
  struct failover_state **services;
  size_t count;
  size_t cap;
  bool is_leader;
  int64_t leader_since;
};

/* What the instances said so far. */
struct probe_summary
{
  size_t known;
  size_t paused;
  bool demoted;
  struct probe *primary;
};

/** failover_close_probe() - ends a connection; what it heard is kept */
void failover_close_probe (struct probe *probe);

/** failover_close_probes() - ends all connections of a change */
void failover_close_probes (struct failover_state *state);

/** failover_watch_primary() - asks an instance whether it leads, notes its
 * answers
 */
void failover_watch_primary (struct cfs_failover_manager *manager,
                             struct failover_state *state,
                             const struct cfs_target *target, int64_t now);

/** failover_poll_instances() - drives the questions to all instances and
 * counts their answers */
struct probe_summary
failover_poll_instances (struct cfs_failover_manager *manager,
                         struct failover_state *state, int64_t now);

/** failover_resume_replicas() - lets paused replicas receive again */
void failover_resume_replicas (struct failover_state *state, int64_t now);

/** failover_query_pending() - whether an answer is due */
bool failover_query_pending (const struct failover_state *state);

#endif
