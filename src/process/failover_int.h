/**
 * DOC: Private parts of changes of primary, shared by failover.c and
 * succession_probe.c.
 */
#ifndef CFS_FAILOVER_INT_H
#define CFS_FAILOVER_INT_H

#include "failover.h"

/* A primary that gave no answer for this time is suspected. */
#define SILENT_US (1100 * CFS_US_PER_MS)
/* Answers that are older do not count in the choice. */
#define ANSWER_FRESH_US (600 * CFS_US_PER_MS)
/* Pause before the next attempt. */
#define RETRY_US (200 * CFS_US_PER_MS)
/* A reachable primary has this time to answer that it stepped down. */
#define DEMOTE_MAX_US (400 * CFS_US_PER_MS)
/* What it sent to its replicas before arrives within this time. */
#define DELIVERY_US (60 * CFS_US_PER_MS)
#define PROBES_MAX 16

enum phase
{
  PHASE_STEADY,
  PHASE_OPENING,
  PHASE_PAUSING,
  PHASE_ORDERING,
  PHASE_CONFIRMING,
  PHASE_CLOSING
};

/* A connection to one instance with at most one question under way. */
struct probe
{
  struct cfs_failover_manager *owner;
  char target[CFS_NAME_MAX];
  uint64_t born;
  struct cfs_target_conn *wire;
  bool up;
  bool asking;
  bool paused;
  bool demoted;
  bool read;
  unsigned failures;
  int64_t asked_at;
  int64_t answered_at;
  int64_t retry_at;
  uint64_t term;
  struct cfs_instance_state status;
  enum cfs_verb verb;
};

struct failover_state
{
  char service[CFS_NAME_MAX];
  enum phase phase;
  struct probe watch;
  int64_t denied_at;
  int64_t suspected_at;
  int64_t leaderless_at;
  struct probe probes[PROBES_MAX];
  size_t probe_count;
  char chosen[CFS_NAME_MAX];
  uint64_t fence;
  uint64_t index;
  uint64_t newest_term;
  bool ordered;
  char former[CFS_NAME_MAX];
  int64_t pause_from;
  int64_t since;
  int64_t started_at;
  int64_t retry_at;
};

struct cfs_failover_manager
{
  const struct cfs_failover_ops *ops;
  void *ctx;
  const struct cfs_target_adapter *edge;
  const struct cfs_state *state;
  int64_t (*clock) (void);
  struct failover_state **reigns;
  size_t count;
  size_t cap;
  bool leads;
  int64_t led_since;
};

/* What the instances said so far. */
struct probe_summary
{
  size_t known;
  size_t paused;
  bool demoted;
  struct probe *leads;
};

/** failover_close_probe() - ends a connection; what it heard is kept */
void failover_close_probe (struct probe *probe);

/** failover_close_probes() - ends all connections of a change */
void failover_close_probes (struct failover_state *failover_state);

/** failover_watch_primary() - asks an instance whether it leads, notes its
 * answers
 */
void failover_watch_primary (struct cfs_failover_manager *failover,
                             struct failover_state *failover_state,
                             const struct cfs_target *target, int64_t now);

/** failover_poll_instances() - drives the questions to all instances and
 * counts their answers */
struct probe_summary
failover_poll_instances (struct cfs_failover_manager *failover,
                         struct failover_state *failover_state, int64_t now);

/** failover_resume_replicas() - lets paused replicas receive again */
void failover_resume_replicas (struct failover_state *failover_state,
                               int64_t now);

/** failover_query_pending() - whether an answer is due */
bool failover_query_pending (const struct failover_state *failover_state);

#endif
