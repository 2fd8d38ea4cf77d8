/**
 * DOC: Decisions of the control leader: host leases, placement of gates and
 * limiters, grants of terms, discovery of groups.
 *
 * Renewals live in the leader's memory; only changes of a holder go through
 * the replicated log.  A new leader therefore waits one full lease before it
 * moves anything that it did not see released.  No I/O and no clock.
 */
#ifndef CFS_LEADER_H
#define CFS_LEADER_H

#include "../cfs.h"
#include "../version/conf.h"
#include "fleet.h"
#include "raft.h"
#include "state.h"

/* A host may act on its leases this long after it sent its heartbeat. */
#define LEASE_US (1500 * CFS_US_PER_MS)
/* The leader waits this long after it answered, for drift between clocks. */
#define LEASE_WAIT_US (LEASE_US + LEASE_US / 20)
/* Time between heartbeats of a host. */
#define HEARTBEAT_US (300 * CFS_US_PER_MS)
/* The same while a change of primary is under way. */
#define HEARTBEAT_URGENT_US (25 * CFS_US_PER_MS)
/* A host silent for longer is given nothing new. */
#define HOST_FRESH_US (700 * CFS_US_PER_MS)
/* A host or instance silent for longer is forgotten. */
#define HOST_EXPIRY_US (600 * CFS_US_PER_S)
/* Announcements are collected this long before a group's first term. */
#define GROUP_DISCOVERY_US (300 * CFS_US_PER_MS)

/* Targets that a host may report as out of reach at a time. */
#define HOST_SUSPECTS_MAX 8

struct cfs_leader;

/**
 * struct cfs_leader_ops - effects of the leader
 * @propose: appends a packed command to the replicated log and returns its
 * index, or 0 when it was refused
 */
struct cfs_leader_ops
{
  uint64_t (*propose) (void *ctx, const uint8_t *data, size_t len);
};

/** struct cfs_host - what the leader knows of one host; not replicated */
struct cfs_host
{
  char name[CFS_NAME_MAX];
  char zone[CFS_NAME_MAX];
  char address[CFS_NAME_MAX];
  uint32_t port;
  uint64_t boot;
  uint64_t version;
  uint64_t fence;
  int64_t seen_at;
  int64_t lease_end;
  int64_t old_boot_lease_end;
  bool draining;
  char suspects[HOST_SUSPECTS_MAX][CFS_NAME_MAX];
  size_t suspect_count;
  bool shares_reported;
  int64_t idle_since;
  int64_t recorded_at;
};

/** struct cfs_instance - what the leader knows of one target instance */
struct cfs_instance
{
  char name[CFS_NAME_MAX];
  char group[CFS_NAME_MAX];
  char zone[CFS_NAME_MAX];
  char address[CFS_NAME_MAX];
  uint32_t port;
  uint32_t slots;
  uint32_t connections;
  uint64_t term;
  uint64_t position;
  bool primary;
  bool leaving;
  int64_t first_seen;
  int64_t seen_at;
};

/**
 * cfs_leader_new() - a leader that is not leading yet
 * @ops: effects, must outlive it
 * @ctx: first argument of every effect
 * @state: replicated state, must outlive it
 *
 * Return: freed by cfs_leader_free().
 */
struct cfs_leader *cfs_leader_new (const struct cfs_leader_ops *ops, void *ctx,
                                   const struct cfs_state *state);

/** cfs_leader_free() - frees the leader and its tables */
void cfs_leader_free (struct cfs_leader *leader);

/**
 * cfs_leader_tick() - placement; to be called at least every 100 ms
 * @leader: leader
 * @ready: whether this host leads with a confirmed majority at @now
 * @applied: log index up to which @state is applied
 * @now: time
 */
void cfs_leader_tick (struct cfs_leader *leader, bool ready, uint64_t applied,
                      int64_t now);

/**
 * cfs_leader_heartbeat() - answers a host
 * @leader: leader
 * @in: the heartbeat
 * @now: time
 *
 * The lease is renewed when the reply says granted.
 * Return: the reply, owned by the leader until the next call, or NULL when
 * this host does not lead.
 */
const Cfs__HeartbeatReply *cfs_leader_heartbeat (struct cfs_leader *leader,
                                                 const Cfs__Heartbeat *in,
                                                 int64_t now);

/**
 * cfs_leader_in_force() - whether every host that can serve holds a version
 * @leader: leader
 * @version: number
 * @now: time
 */
bool cfs_leader_in_force (const struct cfs_leader *leader, uint64_t version,
                          int64_t now);

/**
 * cfs_leader_set_document_decoder() - configuration by whole documents
 * @decoder: decodes them, must outlive the leader
 * @lease_us: how long a host acts on a version and on its shares
 */
void
cfs_leader_set_document_decoder (struct cfs_leader *leader,
                                 const struct cfs_document_decoder *decoder,
                                 int64_t lease_us);

/** cfs_leader_set_members() - members of the control group, told to hosts */
void cfs_leader_set_members (struct cfs_leader *leader,
                             const struct cfs_raft_membership *members);

/**
 * cfs_leader_count_suspecting_hosts() - number of hosts that cannot reach a
 * target
 * @hosts: set to the number of hosts that are alive
 */
size_t cfs_leader_count_suspecting_hosts (const struct cfs_leader *leader,
                                          const char *target, int64_t now,
                                          size_t *hosts);

/**
 * cfs_leader_grant_tokens() - grants tokens beyond the shares
 *
 * Return: the grant, owned by the leader until the next call.
 */
const Cfs__TokensGrant *cfs_leader_grant_tokens (struct cfs_leader *leader,
                                                 const Cfs__TokensAsk *ask,
                                                 int64_t now);

/** cfs_leader_catalog() - the version in force, NULL before the first */
const struct cfs_catalog *cfs_leader_catalog (const struct cfs_leader *leader);

/** cfs_leader_hosts() - rows of struct cfs_host, read only */
const struct cfs_table *cfs_leader_hosts (const struct cfs_leader *leader);

#endif
