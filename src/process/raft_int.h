/**
 * DOC: Private parts of the replicated log, shared by raft.c,
 * raft_vote.c, raft_follow.c and raft_member.c.
 */
#ifndef CFS_RAFT_INT_H
#define CFS_RAFT_INT_H

#include "raft.h"

/** enum raft_msg_type - kinds of messages between members */
enum raft_msg_type
{
  MSG_PREVOTE = 1,
  MSG_PREVOTE_REPLY,
  MSG_VOTE,
  MSG_VOTE_REPLY,
  MSG_APPEND,
  MSG_APPEND_REPLY,
  MSG_SNAPSHOT,
  MSG_JOIN,
  MSG_LEAVE
};

/** struct raft_peer - what the leader knows of another member */
struct raft_peer
{
  uint64_t id;
  uint64_t next_index;
  uint64_t match_index;
  int64_t acked_at;
  int64_t sent_at;
  bool vote_granted;
  bool leaving;
};

struct cfs_raft
{
  const struct cfs_raft_ops *ops;
  void *ctx;
  uint64_t id;
  char host[CFS_NAME_MAX];
  enum cfs_raft_role role;
  uint64_t term;
  uint64_t vote;
  struct cfs_raft_snapshot snapshot;
  struct cfs_raft_entry *log;
  size_t count;
  size_t cap;
  uint64_t commit_index;
  uint64_t applied_index;
  struct cfs_raft_membership members;
  uint64_t members_index;
  struct raft_peer peers[RAFT_MEMBERS_MAX];
  uint64_t leader;
  int64_t clock;
  int64_t heard_at;
  int64_t election_due_at;
  int64_t next_broadcast_at;
  int64_t next_join_at;
  uint64_t term_start_index;
  uint64_t seed;
  bool manages_voters;
  int64_t surplus_voters_since;
};

/** raft_last_index() - index of the last entry */
uint64_t raft_last_index (const struct cfs_raft *raft);

/** raft_entry_at() - entry in memory at an index, or NULL */
struct cfs_raft_entry *raft_entry_at (const struct cfs_raft *raft,
                                      uint64_t index);

/** raft_term_at() - term of an entry or of the snapshot's last, or 0 */
uint64_t raft_term_at (const struct cfs_raft *raft, uint64_t index);

/** raft_is_voter() - whether a member votes */
bool raft_is_voter (const struct cfs_raft *raft, uint64_t id);

/** raft_majority() - number of voters that decide */
size_t raft_majority (const struct cfs_raft *raft);

/** raft_set_term() - makes term and vote durable; CFS_OK when done */
int raft_set_term (struct cfs_raft *raft, uint64_t term, uint64_t vote);

/** raft_become_follower() - stops leading; @leader may be 0 */
void raft_become_follower (struct cfs_raft *raft, uint64_t leader,
                           int64_t now);

/** raft_become_leader() - after an election was won */
void raft_become_leader (struct cfs_raft *raft, int64_t now);

/** raft_election_delay() - time without a leader before it asks for votes */
int64_t raft_election_delay (struct cfs_raft *raft);

/** raft_start_prevote() - asks whether an election would be won */
void raft_start_prevote (struct cfs_raft *raft, int64_t now);

/** raft_on_prevote() - answers whether it would be supported */
void raft_on_prevote (struct cfs_raft *raft, const Cfs__RaftMsg *msg,
                      int64_t now);

/** raft_on_vote() - votes, or refuses to */
void raft_on_vote (struct cfs_raft *raft, const Cfs__RaftMsg *msg,
                   int64_t now);

/** raft_on_vote_reply() - counts the answers of either kind */
void raft_on_vote_reply (struct cfs_raft *raft, const Cfs__RaftMsg *msg,
                         int64_t now);

/** raft_init_msg() - fills the head of a message */
void raft_init_msg (const struct cfs_raft *raft, Cfs__RaftMsg *msg,
                    enum raft_msg_type type, uint64_t to);

/** raft_send_to() - sends to a member by its identity */
void raft_send_to (const struct cfs_raft *raft, const Cfs__RaftMsg *msg);

/** raft_drop_entries() - forgets entries in memory from an index on */
void raft_drop_entries (struct cfs_raft *raft, uint64_t from);

/** raft_append_entries() - copies entries behind the log once durable */
int raft_append_entries (struct cfs_raft *raft, struct cfs_raft_entry *entries,
                         size_t count);

/** raft_apply_committed() - hands committed entries to the state */
void raft_apply_committed (struct cfs_raft *raft);

/** raft_on_append() - entries or a heartbeat of a leader */
void raft_on_append (struct cfs_raft *raft, const Cfs__RaftMsg *msg,
                     int64_t now);

/** raft_on_snapshot() - a leader replaces state and log */
void raft_on_snapshot (struct cfs_raft *raft, const Cfs__RaftMsg *msg,
                       int64_t now);

/** raft_append_as_leader() - appends an entry on the leader */
int raft_append_as_leader (struct cfs_raft *raft,
                           enum cfs_raft_entry_kind kind, const uint8_t *data,
                           size_t len, int64_t now);

/** raft_find_member() - member of this identity, or NULL */
const struct cfs_raft_member *raft_find_member (const struct cfs_raft *raft,
                                                uint64_t id);

/** raft_find_peer() - what is known of a member, or NULL */
struct raft_peer *raft_find_peer (struct cfs_raft *raft, uint64_t id);

/** raft_unpack_members() - members of an entry; false when malformed */
bool raft_unpack_members (const struct cfs_raft_entry *entry,
                          struct cfs_raft_membership *out);

/** raft_pack_members() - packs members into memory that the caller frees */
size_t raft_pack_members (const struct cfs_raft_membership *members,
                          uint8_t **data);

/** raft_restore_members() - finds the last list of members in the log */
void raft_restore_members (struct cfs_raft *raft);

/** raft_send_join() - asks every member to be taken in */
void raft_send_join (struct cfs_raft *raft, int64_t now);

/** raft_on_join() - handles the question of a host that is no member */
void raft_on_join (struct cfs_raft *raft, const Cfs__RaftMsg *msg,
                   int64_t now);

/** raft_on_leave() - a member is about to stop for a planned reason */
void raft_on_leave (struct cfs_raft *raft, const Cfs__RaftMsg *msg);

/** raft_maintain_members() - makes at most one change of members */
void raft_maintain_members (struct cfs_raft *raft, int64_t now);

#endif
