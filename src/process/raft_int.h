/**
 * DOC: Internals of the replicated log, shared by raft.c, raft_lead.c,
 * raft_follow.c, raft_vote.c, raft_member.c and raft_voters.c.
 */
#ifndef CFS_RAFT_INT_H
#define CFS_RAFT_INT_H

#include "raft.h"

/**
 * enum raft_msg_type - value of RaftMsg.type
 * @MSG_PREVOTE: asks whether a vote for the sender would be granted
 * @MSG_PREVOTE_REPLY: reply to it
 * @MSG_VOTE: requests a vote
 * @MSG_VOTE_REPLY: reply to it
 * @MSG_APPEND: entries of the leader; without entries a heartbeat
 * @MSG_APPEND_REPLY: reply to an append or to a snapshot
 * @MSG_SNAPSHOT: snapshot of the leader for a follower that is too far behind
 * @MSG_JOIN: a host that is not a member requests to join
 * @MSG_LEAVE: a voter requests its replacement before it stops
 * @MSG_LEFT: reply to it once the sender is no member any more
 */
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
  MSG_LEAVE,
  MSG_LEFT
};

/* RaftMsg.hint of a pre-vote request: the sender is about to stop, so that the
   request is not taken for one to join. */
#define HINT_STOPPING 1

/**
 * struct raft_peer - progress of a member, as seen by this host
 * @id: identity of the member
 * @next_index: index of the next entry to send
 * @match_index: highest index known to be stored by the member
 * @acked_at: send time, by the clock of this leader, of the last append that
 * the member answered
 * @in_flight: last index that was sent to it, by an append or a snapshot, and
 * may not have arrived yet
 * @sent_at: time of the last append with entries, or snapshot, to it
 * @vote_granted: it granted its (pre-)vote in the election under way
 * @left_at: when it last requested its replacement, or its host did under a
 * new identity; 0 if it did not or has started again since
 * @joined_at: when this host first knew it as a member; 0 if it, or its host
 * under another identity, was one before
 */
struct raft_peer
{
  uint64_t id;
  uint64_t next_index;
  uint64_t match_index;
  int64_t acked_at;
  uint64_t in_flight;
  int64_t sent_at;
  bool vote_granted;
  int64_t left_at;
  int64_t joined_at;
};

/**
 * struct cfs_raft - state of one member
 * @log: entries after the snapshot; the one with index
 * snapshot.index + 1 + i is log[i]
 * @stored_index: last entry that is durable on this host; later ones are
 * proposals of this leader, which cfs_raft_flush() stores and sends
 * @commit_index: last entry known to be committed
 * @applied_index: last entry applied to the state machine
 * @members_index: index of the entry or the snapshot that holds @members
 * @peers: progress of each member, in the order of @members
 * @leader: id of the known leader, or 0
 * @clock: time of the last tick or message
 * @heard_at: time of the last append or snapshot of a leader; the start counts
 * as one
 * @election_due_at: a voter starts a pre-vote at this time
 * @next_broadcast_at: the leader sends its next heartbeat at this time
 * @next_join_at: a host that is not a member sends its next join request at
 * this time
 * @term_start_index: index of the leader's first entry in its term
 * @seed: state of the random number generator
 * @contact: leader that sent to an earlier identity of this host, or ""; it
 * gets the join requests of this host, whose seeds may not be members
 * @lost_disks: number of disks that may be lost at once, 0 if unknown
 * @last_granted: number of voters that granted a pre-vote in the last round
 * @promoted_id: learner that got a vote last while this host led, or 0
 * @lost_host: last host that asked to join under a new identity while its
 * earlier one still had a vote, or ""
 * @stopping: cfs_raft_leave() was called; a host that has handed over its vote
 * must not join again before it ends
 * @has_left: the leader has confirmed that this host is no member any more
 * @surplus_voters_since: since when the group has had too many voters, or 0
 */
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
  uint64_t stored_index;
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
  unsigned lost_disks;
  char contact[CFS_NAME_MAX];
  size_t last_granted;
  uint64_t promoted_id;
  char lost_host[CFS_NAME_MAX];
  bool stopping;
  bool has_left;
  int64_t surplus_voters_since;
};

/** raft_last_index() - index of the last entry in the log */
uint64_t raft_last_index (const struct cfs_raft *raft);

/** raft_entry_at() - entry with an index, or NULL if it is not in the log */
struct cfs_raft_entry *raft_entry_at (const struct cfs_raft *raft,
                                      uint64_t index);

/** raft_term_at() - term of an entry or of the snapshot; 0 if unknown */
uint64_t raft_term_at (const struct cfs_raft *raft, uint64_t index);

/** raft_is_voter() - whether @id is a voter of the group */
bool raft_is_voter (const struct cfs_raft *raft, uint64_t id);

/** raft_majority() - number of voters that form a majority */
size_t raft_majority (const struct cfs_raft *raft);

/** raft_set_term() - stores term and vote durably, then takes them over */
int raft_set_term (struct cfs_raft *raft, uint64_t term, uint64_t vote);

/** raft_become_follower() - follows @leader, or no leader yet if it is 0 */
void raft_become_follower (struct cfs_raft *raft, uint64_t leader,
                           int64_t now);

/** raft_become_leader() - takes over leadership after a won election */
void raft_become_leader (struct cfs_raft *raft, int64_t now);

/** raft_election_delay() - random election timeout */
int64_t raft_election_delay (struct cfs_raft *raft);

/** raft_start_prevote() - asks the voters whether they would grant a vote */
void raft_start_prevote (struct cfs_raft *raft, int64_t now);

/** raft_on_prevote() - answers a pre-vote request */
void raft_on_prevote (struct cfs_raft *raft, const Cfs__RaftMsg *msg,
                      int64_t now);

/** raft_on_vote() - answers a vote request */
void raft_on_vote (struct cfs_raft *raft, const Cfs__RaftMsg *msg,
                   int64_t now);

/** raft_on_vote_reply() - counts votes and pre-votes */
void raft_on_vote_reply (struct cfs_raft *raft, const Cfs__RaftMsg *msg,
                         int64_t now);

/** raft_init_msg() - sets type, sender, receiver and term of a message */
void raft_init_msg (const struct cfs_raft *raft, Cfs__RaftMsg *msg,
                    enum raft_msg_type type, uint64_t to);

/** raft_send_to() - sends to member msg->to, if there is one with this id */
void raft_send_to (const struct cfs_raft *raft, const Cfs__RaftMsg *msg);

/** raft_drop_entries() - frees the entries in memory from an index on */
void raft_drop_entries (struct cfs_raft *raft, uint64_t from);

/** raft_store_entries() - stores entries of a leader durably, then adds copies
 * to the log */
int raft_store_entries (struct cfs_raft *raft,
                        const struct cfs_raft_entry *entries, size_t count);

/** raft_apply_committed() - applies committed commands to the state machine */
void raft_apply_committed (struct cfs_raft *raft);

/** raft_on_append() - handles entries or a heartbeat of a leader */
void raft_on_append (struct cfs_raft *raft, const Cfs__RaftMsg *msg,
                     int64_t now);

/** raft_on_snapshot() - replaces state and log by a leader's snapshot */
void raft_on_snapshot (struct cfs_raft *raft, const Cfs__RaftMsg *msg,
                       int64_t now);

/** raft_broadcast_append() - sends heartbeats, with the entries that may be
 * sent */
void raft_broadcast_append (struct cfs_raft *raft, int64_t now);

/** raft_majority_confirmed_at() - latest time, by the clock of this leader, up
 * to which a majority of the voters is known to have followed it */
int64_t raft_majority_confirmed_at (const struct cfs_raft *raft, int64_t now);

/** raft_add_entry() - adds an entry to the leader's log, not yet stored */
void raft_add_entry (struct cfs_raft *raft, enum cfs_raft_entry_kind kind,
                     const uint8_t *data, size_t len);

/** raft_add_to_log() - adds copies of entries to the log in memory */
void raft_add_to_log (struct cfs_raft *raft,
                      const struct cfs_raft_entry *entries, size_t count);

/** raft_flush_log() - stores the entries added since the last call with one
 * write, and sends them to the members */
int raft_flush_log (struct cfs_raft *raft, int64_t now);

/** raft_on_append_reply() - handles a reply to an append or a snapshot */
void raft_on_append_reply (struct cfs_raft *raft, const Cfs__RaftMsg *msg,
                           int64_t now);

/** raft_append_members() - appends a members entry as leader and replicates
 * it */
int raft_append_members (struct cfs_raft *raft, const uint8_t *data,
                         size_t len, int64_t now);

/** raft_find_member() - member with this id, or NULL */
const struct cfs_raft_member *raft_find_member (const struct cfs_raft *raft,
                                                uint64_t id);

/** raft_find_peer() - progress of the member with this id, or NULL */
struct raft_peer *raft_find_peer (struct cfs_raft *raft, uint64_t id);

/** raft_unpack_members() - decodes a members entry; false if malformed */
bool raft_unpack_members (const struct cfs_raft_entry *entry,
                          struct cfs_raft_membership *out);

/** raft_pack_members() - encodes members into memory that the caller frees */
size_t raft_pack_members (const struct cfs_raft_membership *members,
                          uint8_t **data);

/** raft_restore_members() - takes the members from the last members entry of
 * the log, or else from the snapshot */
void raft_restore_members (struct cfs_raft *raft);

/** raft_send_join() - sends a join request to every known member and to the
 * contact */
void raft_send_join (struct cfs_raft *raft, int64_t now);

/** raft_on_join() - handles the join request of a host that is no member */
void raft_on_join (struct cfs_raft *raft, const Cfs__RaftMsg *msg,
                   int64_t now);

/** raft_can_change_members() - whether this host is a leader whose last change
 * of the membership is committed */
bool raft_can_change_members (const struct cfs_raft *raft);

/** raft_silence() - time since the member at position @i last answered an
 * append of this leader, 0 for the leader itself */
int64_t raft_silence (const struct cfs_raft *raft, size_t i, int64_t now);

/** raft_is_silent() - whether the member at position @i, if it is not this
 * leader, has not answered an append for longer than @bound */
bool raft_is_silent (const struct cfs_raft *raft, size_t i, int64_t bound,
                     int64_t now);

/** raft_remove_member() - proposes to remove the member at position @i */
void raft_remove_member (struct cfs_raft *raft, size_t i,
                         enum cfs_raft_change_kind kind, int64_t now);

/** raft_promote_learner() - proposes to make the learner at position @i a
 * voter of a group that is to keep at least @min_voters */
void raft_promote_learner (struct cfs_raft *raft, size_t i, size_t min_voters,
                           int64_t now);

/** raft_on_leave() - marks a voter as about to stop, or confirms that it has
 * left */
void raft_on_leave (struct cfs_raft *raft, const Cfs__RaftMsg *msg,
                    int64_t now);

/** raft_on_left() - notes that this host has left the group */
void raft_on_left (struct cfs_raft *raft, const Cfs__RaftMsg *msg);

/** raft_maintain_members() - on the leader, makes at most one change of the
 * membership if one is due */
void raft_maintain_members (struct cfs_raft *raft, int64_t now);

#endif
