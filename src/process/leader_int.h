/**
 * DOC: Internals of the control leader, shared by leader.c, leader_assign.c
 * and leader_reply.c.
 */
#ifndef CFS_LEADER_INT_H
#define CFS_LEADER_INT_H

#include "leader.h"

#include "ack_lease.h"
#include "shares.h"

/* A resource that its holder of this epoch has released. */
struct release
{
  char resource[CFS_NAME_MAX];
  uint64_t epoch;
};

/* Position of a service's primary, in the reply to a query sent at
   requested_at. */
struct primary_sample
{
  char service[CFS_NAME_MAX];
  struct cfs_position position;
  int64_t requested_at;
};

/* Replies under construction and the arrays that they refer to, which are
   reused between calls. */
struct reply_buffers
{
  Cfs__HeartbeatReply msg;
  Cfs__Version *versions;
  Cfs__Version **version_list;
  size_t version_cap;
  Cfs__Assignment *leases;
  Cfs__Assignment **lease_list;
  size_t lease_cap;
  Cfs__Group *groups;
  Cfs__Group **group_list;
  Cfs__Branch *branches;
  Cfs__Branch **branch_list;
  size_t group_cap;
  Cfs__Instance *instances;
  Cfs__Instance **instance_list;
  size_t instance_cap;
  Cfs__Target *targets;
  Cfs__Target **target_list;
  size_t target_cap;
  Cfs__Turn *turns;
  Cfs__Turn **turn_list;
  size_t turn_cap;
  Cfs__TeamShare *shares;
  Cfs__TeamShare **share_list;
  size_t share_cap;
  Cfs__PrimarySample *samples;
  Cfs__PrimarySample **sample_list;
  size_t sample_cap;
  char *members[RAFT_MEMBERS_MAX];
  Cfs__TokensGrant tokens;
  Cfs__TeamTokens *teams;
  Cfs__TeamTokens **team_list;
  size_t team_cap;
  Cfs__Evacuation evacuations[EVACUATIONS_MAX];
  Cfs__Evacuation *evacuation_list[EVACUATIONS_MAX];
};

/**
 * struct cfs_leader - control leader
 * @state: replicated state
 * @conf: configuration, if there is no decoder
 * @hosts: table of struct cfs_host
 * @instances: table of struct cfs_instance
 * @releases: table of struct release
 * @is_leader: whether this host is the confirmed leader
 * @applied: index of the last log entry applied to @state
 * @assign_index: log index of the last assignments proposed
 * @grace_end: until then leases may be held that an earlier leader renewed
 * @reply: buffers of the replies
 * @decoder: decodes documents, or NULL
 * @catalog: configuration, if there is a decoder
 * @conf_loaded: whether @conf or @catalog was loaded, at @conf_version
 * @conf_version: version that was loaded last
 * @packed_document: compressed document of that version, for all hosts; no
 * data if there is none
 * @share_wait_us: time after which a share of a silent host has certainly
 * expired
 * @leader_since: time of the election
 * @holders_checked_at: time of the last check for expired share holders
 * @shares: shares and tokens of the teams
 * @members: members of the control group
 * @samples: table of struct primary_sample
 * @live_hosts: number of hosts that sent a heartbeat lately
 * @evacuations: table of struct cfs_evacuation, each with the time at which
 * this control host applied it, also before it was leader
 * @cold_rule: see cfs_leader_set_cold_rule()
 * @cold_tokens: tokens of cold targets granted
 * @ack_stops: services of which hosts pass on no acknowledgements
 */
struct cfs_leader
{
  const struct cfs_leader_ops *ops;
  void *ctx;
  const struct cfs_state *state;
  struct cfs_conf *conf;
  struct cfs_table hosts;
  struct cfs_table instances;
  struct cfs_table releases;
  bool is_leader;
  uint64_t applied;
  uint64_t assign_index;
  int64_t grace_end;
  struct reply_buffers reply;
  const struct cfs_document_decoder *decoder;
  struct cfs_catalog *catalog;
  bool conf_loaded;
  uint64_t conf_version;
  Cfs__Deflated packed_document;
  int64_t share_wait_us;
  int64_t leader_since;
  int64_t holders_checked_at;
  struct cfs_shares shares;
  struct cfs_raft_membership members;
  struct cfs_table samples;
  uint32_t live_hosts;
  struct cfs_table evacuations;
  struct cfs_cold_rule cold_rule;
  uint64_t cold_tokens;
  struct cfs_ack_stops ack_stops;
};

/** leader_propose() - appends a command to the replicated log; returns its
 * index, or 0 on failure */
uint64_t leader_propose (struct cfs_leader *leader, const Cfs__Command *c);

/** leader_assign_free_resources() - proposes a holder for each resource that
 * no host holds any more */
void leader_assign_free_resources (struct cfs_leader *leader, int64_t now);

/** leader_reply_conf() - adds what a host with version @have lacks of the
 * configuration */
void leader_reply_conf (struct cfs_leader *leader, uint64_t have);

/** leader_reply_directory() - if the directory changed since the host's index,
 * adds the leases and groups that changed, and the instances of every group
 * whose gate the host holds */
void leader_reply_directory (struct cfs_leader *leader,
                             const Cfs__Heartbeat *in);

/** leader_reply_fleet() - adds targets, failovers, shares, members and the
 * positions of the primaries */
void leader_reply_fleet (struct cfs_leader *leader, struct cfs_host *host,
                         const Cfs__Heartbeat *in, int64_t now);

/** leader_reply_evacuations() - if the evacuations changed since the host's
 * directory index, adds all that are in force */
void leader_reply_evacuations (struct cfs_leader *leader, uint64_t have,
                               int64_t now);

/** leader_reply_end() - frees the buffers of leader_reply_fleet() and of
 * cfs_leader_grant_tokens() */
void leader_reply_end (struct cfs_leader *leader);

/** leader_members_hash() - hash of the members' names, never 0 */
uint64_t leader_members_hash (const struct cfs_raft_membership *members);

#endif
