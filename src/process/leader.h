/**
 * DOC: Control leader: renews the leases of the hosts, assigns gates and
 * limiters to hosts, grants terms, discovers database groups, and leases
 * shares of the teams' rates.
 *
 * Only a change of a lease's holder goes through the replicated log; renewals
 * are kept in the leader's memory.  A new leader does not know them and so
 * waits for one full lease before it reassigns a resource that it did not see
 * released.  No I/O; no clock is read.
 */
#ifndef CFS_LEADER_H
#define CFS_LEADER_H

#include "../cfs.h"
#include "../connection/adapter.h"
#include "../version/conf.h"
#include "cold.h"
#include "fleet.h"
#include "raft.h"
#include "state.h"

/* Lease time: counted by the host from when it sent its heartbeat. */
#define LEASE_US (1500 * CFS_US_PER_MS)
/* The same, counted by the leader from when it answered the heartbeat: 5 %
   longer, for the drift between the clocks. */
#define LEASE_WAIT_US (LEASE_US + LEASE_US / 20)
/* Heartbeat interval of a host. */
#define HEARTBEAT_US (300 * CFS_US_PER_MS)
/* Heartbeat interval while a failover is under way. */
#define HEARTBEAT_URGENT_US (25 * CFS_US_PER_MS)
/* A host that sent no heartbeat for this long is assigned nothing new. */
#define HOST_FRESH_US (700 * CFS_US_PER_MS)
/* A host or instance that sent no heartbeat for this long is removed from the
   leader's memory. */
#define HOST_EXPIRY_US (600 * CFS_US_PER_S)
/* Time for which announcements of instances are collected before the first
   primary of a new group is chosen among them. */
#define GROUP_DISCOVERY_US (300 * CFS_US_PER_MS)

/* Maximum number of targets that a host can report as unreachable. */
#define HOST_SUSPECTS_MAX 8

struct cfs_leader;

/**
 * struct cfs_leader_ops - callbacks of the leader
 * @propose: appends a packed command to the replicated log and returns its
 * index, or 0 on failure
 */
struct cfs_leader_ops
{
  uint64_t (*propose) (void *ctx, const uint8_t *data, size_t len);
};

/**
 * struct cfs_host - host as seen by the leader; not replicated
 * @name: name, key of the table
 * @zone: zone of the host
 * @address: address for traffic
 * @port: port for traffic
 * @boot: boot id of the running process
 * @version: configuration version that the host holds
 * @reassigned_index: log index of the last assignment that takes a resource
 * away from the host; its lease is not renewed until this index is applied
 * @seen_at: time of the last heartbeat
 * @lease_end: end of the lease of the running process
 * @old_boot_lease_end: latest end of a lease of its earlier processes
 * @draining: the host shuts down and gets no new assignments
 * @suspects: targets that the host cannot reach
 * @suspect_count: their number
 * @shares_reported: whether the host reported the shares that it holds, since
 * this leader's election
 * @idle_since: time since which the host has certainly admitted no operation,
 * according to its first report; the time of that report if it held a share
 * @recorded_at: time of the last proposal to record the host
 * @samples_sent_at: time of the last reply with positions of the primaries
 */
struct cfs_host
{
  char name[CFS_NAME_MAX];
  char zone[CFS_NAME_MAX];
  char address[CFS_NAME_MAX];
  uint32_t port;
  uint64_t boot;
  uint64_t version;
  uint64_t reassigned_index;
  int64_t seen_at;
  int64_t lease_end;
  int64_t old_boot_lease_end;
  bool draining;
  char suspects[HOST_SUSPECTS_MAX][CFS_NAME_MAX];
  size_t suspect_count;
  bool shares_reported;
  int64_t idle_since;
  int64_t recorded_at;
  int64_t samples_sent_at;
};

/**
 * struct cfs_instance - database instance as seen by the leader; not
 * replicated
 * @name: name, key of the table
 * @group: database group
 * @zone: zone of the instance
 * @address: address of the instance
 * @port: port of the instance
 * @slots: statements that it runs at a time
 * @connections: connections that it accepts
 * @term: highest term that it has seen
 * @position: log position that it has reached
 * @primary: it announced itself as primary
 * @leaving: it announced that it is about to stop
 * @first_seen: time of its first announcement
 * @seen_at: time of its last announcement
 */
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
 * cfs_leader_new() - creates the leader's part of a control host, inactive
 * @ops: callbacks, must outlive it
 * @ctx: first argument of every callback
 * @state: replicated state, must outlive it
 *
 * Return: the leader, to be freed with cfs_leader_free().
 */
struct cfs_leader *cfs_leader_new (const struct cfs_leader_ops *ops, void *ctx,
                                   const struct cfs_state *state);

void cfs_leader_free (struct cfs_leader *leader);

/**
 * cfs_leader_tick() - makes due decisions; call at least every 100 ms
 * @leader: leader
 * @confirmed: whether cfs_raft_leader_confirmed() is true at @now
 * @applied: index of the last log entry applied to the replicated state
 * @now: current time
 */
void cfs_leader_tick (struct cfs_leader *leader, bool confirmed,
                      uint64_t applied, int64_t now);

/**
 * cfs_leader_heartbeat() - handles the heartbeat of a host
 * @leader: leader
 * @in: the heartbeat
 * @now: current time
 *
 * The host's lease is renewed if granted is set in the reply.
 * Return: the reply, valid until the next call, or NULL if this host is not
 * the leader or @in names no host.
 */
const Cfs__HeartbeatReply *cfs_leader_heartbeat (struct cfs_leader *leader,
                                                 const Cfs__Heartbeat *in,
                                                 int64_t now);

/**
 * cfs_leader_in_force() - whether every host with a lease holds a version or a
 * later one
 * @leader: leader
 * @version: configuration version
 * @now: current time
 *
 * False also if this host is not the leader, and while leases of an earlier
 * leader may be valid.
 */
bool cfs_leader_in_force (const struct cfs_leader *leader, uint64_t version,
                          int64_t now);

/**
 * cfs_leader_set_document_decoder() - takes the configuration from whole
 * documents
 * @decoder: decodes a document, must outlive the leader
 * @lease_us: time for which a host may use a version and its shares
 */
void
cfs_leader_set_document_decoder (struct cfs_leader *leader,
                                 const struct cfs_document_decoder *decoder,
                                 int64_t lease_us);

/** cfs_leader_set_cold_rule() - sets what cold targets may receive beyond the
 * rate of their service */
void cfs_leader_set_cold_rule (struct cfs_leader *leader,
                               const struct cfs_cold_rule *rule);

/** cfs_leader_cold_tokens() - number of tokens of cold targets that this host
 * has granted */
uint64_t cfs_leader_cold_tokens (const struct cfs_leader *leader);

/**
 * cfs_leader_set_position() - sets the log position of a service's primary,
 * which hosts learn from replies
 * @position: position that the primary gave
 * @requested_at: when it was asked; the position covers all commits that were
 * acknowledged before
 */
void cfs_leader_set_position (struct cfs_leader *leader, const char *service,
                              const struct cfs_position *position,
                              int64_t requested_at);

/** cfs_leader_set_members() - sets the members of the control group, which
 * hosts learn from replies */
void cfs_leader_set_members (struct cfs_leader *leader,
                             const struct cfs_raft_membership *members);

/**
 * cfs_leader_count_suspecting_hosts() - number of hosts that report a target
 * as unreachable
 * @hosts: set to the number of live hosts, which may make such a report
 */
size_t cfs_leader_count_suspecting_hosts (const struct cfs_leader *leader,
                                          const char *target, int64_t now,
                                          size_t *hosts);

/**
 * cfs_leader_acks_stopped() - whether no host passes on acknowledgements of a
 * service any more, because of a failover
 * @since_index: log index of the failover record, which is still open
 * @since: when this leader applied it; its replies contain it since then
 * @highest: set to the highest position that an acknowledgement came with
 * which a host passed on, as far as hosts have reported; term 0 if none has
 *
 * A host that has not reported counts once its lease has expired.  So do hosts
 * that an earlier leader replied to and this one does not know.  A leader that
 * no host has reached since cannot know what was acknowledged.
 */
bool cfs_leader_acks_stopped (const struct cfs_leader *leader,
                              const char *service, uint64_t since_index,
                              int64_t since, int64_t now,
                              struct cfs_position *highest);

/**
 * cfs_leader_grant_tokens() - grants a host tokens beyond its shares
 *
 * Return: the grant, valid until the next call.
 */
const Cfs__TokensGrant *cfs_leader_grant_tokens (struct cfs_leader *leader,
                                                 const Cfs__TokensAsk *request,
                                                 int64_t now);

/** cfs_leader_catalog() - configuration of the last document, NULL if there is
 * none or if it cannot be decoded */
const struct cfs_catalog *cfs_leader_catalog (const struct cfs_leader *leader);

/** cfs_leader_hosts() - table of struct cfs_host, read only */
const struct cfs_table *cfs_leader_hosts (const struct cfs_leader *leader);

#endif
