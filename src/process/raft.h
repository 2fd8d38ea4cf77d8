/**
 * DOC: Replicated log of the control group (Raft).
 *
 * The implementation does no I/O and reads no clock: messages and ticks are
 * passed in with the current time, and all effects go through struct
 * cfs_raft_ops.  It is not thread-safe; one thread owns an instance.
 *
 * A member is identified by a random 64-bit id.  A host that lost its disk
 * chooses a new id, so that it never votes a second time under the id whose
 * vote and log are gone.
 */
#ifndef CFS_RAFT_H
#define CFS_RAFT_H

#include "../cfs.h"
#include "wire.pb-c.h"

/* Heartbeat interval of the leader. */
#define RAFT_HEARTBEAT_US (100 * CFS_US_PER_MS)
/* Minimum election timeout: a voter that heard from a leader less than this
   long ago grants neither a pre-vote nor a vote to another. */
#define RAFT_ELECTION_US (500 * CFS_US_PER_MS)
/* A restarted voter that may have been the leader starts a pre-vote after this
   time. */
#define RAFT_REELECTION_US (20 * CFS_US_PER_MS)
/* Minimum time between two pre-vote rounds of a candidate. */
#define RAFT_RETRY_US (150 * CFS_US_PER_MS)
/* Difference in rate allowed for between two monotonic clocks, in percent. */
#define RAFT_DRIFT_PERCENT 2
/* Number of applied entries at which a snapshot replaces them. */
#define RAFT_SNAPSHOT_ENTRIES 512
/* Total size of the applied entries in bytes at which a snapshot replaces
   them: an entry may hold a whole configuration document, so a few entries can
   be large. */
#define RAFT_SNAPSHOT_BYTES (4u << 20)
/* A voter that has not answered an append for this long may be replaced. */
#define RAFT_VOTER_SILENT_US (2 * CFS_US_PER_S)
/* A request to leave, which is repeated until the process ends, counts for
   this time as one of a process that still runs.  A host that lost its disk
   repeats its request to join every RAFT_ELECTION_US. */
#define RAFT_LEAVING_US (RAFT_ELECTION_US + RAFT_HEARTBEAT_US)
/* A host that joined with an empty disk takes the place of a silent voter only
   after this time: it may be the successor of another voter, which is about to
   leave.  It has to be shorter than the time to catch up that a successor is
   given. */
#define RAFT_SUCCESSOR_US (2500 * CFS_US_PER_MS)
/* A learner that has not answered an append for this long is removed; it may
   join again.  Also the time for which a group has too many voters before one
   that works is removed. */
#define RAFT_LEARNER_SILENT_US (5 * CFS_US_PER_S)
/* Number of voters that a group which manages them grows to: with fewer than
   RAFT_LARGE_GROUP live members, and with more. */
#define RAFT_VOTERS_SMALL_GROUP 3
#define RAFT_VOTERS_LARGE_GROUP 5
#define RAFT_LARGE_GROUP 5
/* Number of lost disks that a group is set up to bear at most. */
#define RAFT_LOST_DISKS_MAX 7
/* Entries that a member has not confirmed are sent again after this time. */
#define RAFT_RESEND_US (2 * RAFT_HEARTBEAT_US)
/* Maximum number of entries in one append message. */
#define RAFT_BATCH 128
/* No further entry is added to an append message that holds this many bytes;
   a larger entry is sent all the same. */
#define RAFT_BATCH_BYTES (256u << 10)

/**
 * enum cfs_raft_entry_kind - payload of a log entry
 * @CFS_RAFT_ENTRY_NOOP: empty; the first entry of a leader's term, since a
 * leader may commit entries of earlier terms only along with one of its own
 * @CFS_RAFT_ENTRY_COMMAND: packed Cfs__Command for the state machine
 * @CFS_RAFT_ENTRY_MEMBERS: packed Cfs__Members, in effect once appended
 */
enum cfs_raft_entry_kind
{
  CFS_RAFT_ENTRY_NOOP = 0,
  CFS_RAFT_ENTRY_COMMAND = 1,
  CFS_RAFT_ENTRY_MEMBERS = 2
};

/** struct cfs_raft_entry - log entry; the owner of the array owns @data */
struct cfs_raft_entry
{
  uint64_t index;
  uint64_t term;
  uint32_t kind;
  uint32_t len;
  uint8_t *data;
};

/** struct cfs_raft_member - voter, or learner, which receives the log but has
 * no vote */
struct cfs_raft_member
{
  uint64_t id;
  char host[CFS_NAME_MAX];
  bool voter;
};

#define RAFT_MEMBERS_MAX 16

/**
 * struct cfs_raft_membership - members of the group
 * @min_voters: number of voters below which the group is not reduced because
 * members are silent; 0 if unknown
 */
struct cfs_raft_membership
{
  struct cfs_raft_member at[RAFT_MEMBERS_MAX];
  size_t count;
  size_t min_voters;
};

/** struct cfs_raft_snapshot - serialized state machine after entry @index */
struct cfs_raft_snapshot
{
  uint64_t index;
  uint64_t term;
  struct cfs_raft_membership members;
  uint8_t *data;
  size_t len;
};

struct cfs_raft;

/**
 * enum cfs_raft_change_kind - what a change of the membership does
 * @CFS_RAFT_LEARNER_ADDED: a host joins
 * @CFS_RAFT_LEARNER_REMOVED: a learner is silent
 * @CFS_RAFT_LEARNER_PROMOTED: a learner becomes a voter
 * @CFS_RAFT_DISK_LOST: a host joins again under a new identity, as a learner
 * in place of its earlier one
 * @CFS_RAFT_VOTER_REMOVED: one voter more than desired is removed
 */
enum cfs_raft_change_kind
{
  CFS_RAFT_LEARNER_ADDED,
  CFS_RAFT_LEARNER_REMOVED,
  CFS_RAFT_LEARNER_PROMOTED,
  CFS_RAFT_DISK_LOST,
  CFS_RAFT_VOTER_REMOVED
};

/**
 * struct cfs_raft_change - change of the membership, as the leader proposes it
 * @host: host that it is about
 * @before: members before it
 * @after: members after it
 * @silent_us: time since each member of @before last answered an append, 0
 * for this host
 */
struct cfs_raft_change
{
  enum cfs_raft_change_kind kind;
  const char *host;
  const struct cfs_raft_membership *before;
  const struct cfs_raft_membership *after;
  const int64_t *silent_us;
};

/**
 * struct cfs_raft_election - what this host knows about the election of a
 * leader
 * @heard_at: time of the last append or snapshot of a leader
 * @voters: number of voters in the members that this host knows
 * @granted: number of them that granted a pre-vote in the last round that
 * this host asked for, itself included
 * @needed: number of pre-votes that start an election
 * @is_voter: whether this host may stand for election
 */
struct cfs_raft_election
{
  int64_t heard_at;
  size_t voters;
  size_t granted;
  size_t needed;
  bool is_voter;
};

/**
 * struct cfs_raft_ops - callbacks for storage, network and state machine
 * @save_vote: stores term and vote; durable when it returns CFS_OK
 * @append: stores entries at the end; durable when it returns CFS_OK
 * @truncate: removes stored entries with index @from and above; if it fails,
 * they may come back with a restart, but not before entries that are appended
 * later
 * @save_snapshot: stores a snapshot durably and removes the entries that it
 * covers
 * @send: sends a message to a control host by name; delivery is best effort
 * @apply: applies a committed command; called once for each, in log order
 * @restore: replaces the state machine by a serialized state
 * @serialize: serializes the state machine into memory that the caller frees
 * @report_change: reports a change of the membership before it is appended;
 * may be NULL
 *
 * If another storage callback returns anything but CFS_OK, the log in memory
 * stays as it was before the call.
 */
struct cfs_raft_ops
{
  int (*save_vote) (void *ctx, uint64_t term, uint64_t vote);
  int (*append) (void *ctx, const struct cfs_raft_entry *entries,
                 size_t count);
  int (*truncate) (void *ctx, uint64_t from);
  int (*save_snapshot) (void *ctx, const struct cfs_raft_snapshot *snapshot);
  void (*send) (void *ctx, const char *host, const Cfs__RaftMsg *msg);
  void (*apply) (void *ctx, const struct cfs_raft_entry *entry);
  void (*restore) (void *ctx, const uint8_t *data, size_t len);
  size_t (*serialize) (void *ctx, uint8_t **data);
  void (*report_change) (void *ctx, const struct cfs_raft_change *change);
};

enum cfs_raft_role
{
  RAFT_FOLLOWER,
  RAFT_PRECANDIDATE,
  RAFT_CANDIDATE,
  RAFT_LEADER
};

/**
 * struct cfs_raft_initial_state - durable state and options for a new instance
 * @manages_voters: the leader chooses the number of voters, see raft_voters.c,
 * and replaces unreachable voters by learners that have caught up; if false,
 * every learner that has caught up becomes a voter, and a member is removed
 * only when its host joins under a new id
 * @lost_disks: number of disks that may be lost at once, of which
 * RAFT_LOST_DISKS_MAX count, or 0 if unknown
 * @id: identity of this member
 * @term: current term
 * @vote: id of the candidate voted for in @term, or of the leader followed in
 * it, or 0
 * @snapshot: last snapshot; holds the first members if the log is new
 * @entries: log entries after the snapshot
 * @count: their number
 * @seed: seed of the random election timeouts
 */
struct cfs_raft_initial_state
{
  bool manages_voters;
  unsigned lost_disks;
  uint64_t id;
  uint64_t term;
  uint64_t vote;
  struct cfs_raft_snapshot snapshot;
  struct cfs_raft_entry *entries;
  size_t count;
  uint64_t seed;
};

/**
 * cfs_raft_new() - creates a follower from durable state
 * @ops: callbacks, must outlive the log
 * @ctx: first argument of every callback
 * @initial: durable state; the log takes ownership of entries and snapshot
 * @host: name of this host, at most CFS_NAME_MAX - 1 bytes
 * @now: current time
 *
 * Calls @ops->restore if the snapshot has data.
 * Return: the log, to be freed with cfs_raft_free().
 */
struct cfs_raft *cfs_raft_new (const struct cfs_raft_ops *ops, void *ctx,
                               struct cfs_raft_initial_state *initial,
                               const char *host, int64_t now);

/** cfs_raft_free() - frees the log, its entries and its snapshot */
void cfs_raft_free (struct cfs_raft *raft);

/** cfs_raft_tick() - runs timers that are due; call at least every 20 ms */
void cfs_raft_tick (struct cfs_raft *raft, int64_t now);

/**
 * cfs_raft_receive() - handles a message of another member
 * @raft: the log
 * @msg: message; neither modified nor kept after the call
 * @now: current time
 */
void cfs_raft_receive (struct cfs_raft *raft, const Cfs__RaftMsg *msg,
                       int64_t now);

/**
 * cfs_raft_propose() - adds a command to the log of the leader
 * @raft: the log
 * @data: packed command, copied
 * @len: its length
 * @index: set to the index of the entry, may be NULL
 *
 * The entry is stored and sent with all others of the same round, by
 * cfs_raft_flush() or cfs_raft_tick().  If it cannot be stored, the host is no
 * longer leader and has dropped it.
 *
 * Return: CFS_OK or CFS_NOT_LEADER.
 */
int cfs_raft_propose (struct cfs_raft *raft, const uint8_t *data, size_t len,
                      uint64_t *index);

/** cfs_raft_flush() - stores proposed commands and sends them to the members
 */
void cfs_raft_flush (struct cfs_raft *raft, int64_t now);

/**
 * cfs_raft_leave() - tells the members that this host stops, and asks for the
 * replacement of its vote
 *
 * To be called repeatedly, since the request may be lost, until the process
 * ends: the host does not join again after this.
 * Return: whether the caller should wait: true while this host is a voter and
 * the group has a learner or more voters than it has to keep, and until the
 * removal of this host is committed.
 */
bool cfs_raft_leave (struct cfs_raft *raft, int64_t now);

/** cfs_raft_role() - role of this host in the current term */
enum cfs_raft_role cfs_raft_role (const struct cfs_raft *raft);

/** cfs_raft_term() - current term */
uint64_t cfs_raft_term (const struct cfs_raft *raft);

/** cfs_raft_commit_index() - index of the last committed entry */
uint64_t cfs_raft_commit_index (const struct cfs_raft *raft);

/** cfs_raft_last_index() - index of the last entry in the log */
uint64_t cfs_raft_last_index (const struct cfs_raft *raft);

/** cfs_raft_members() - current members; may change with the next message or
 * tick */
const struct cfs_raft_membership *
cfs_raft_members (const struct cfs_raft *raft);

/** cfs_raft_count_voters() - number of voters among members */
size_t cfs_raft_count_voters (const struct cfs_raft_membership *members);

/** cfs_raft_election() - state of the election of a leader */
struct cfs_raft_election cfs_raft_election (const struct cfs_raft *raft);

/** cfs_raft_leader() - host name of the leader, "" if none is known */
const char *cfs_raft_leader (const struct cfs_raft *raft);

/**
 * cfs_raft_leader_confirmed() - whether this host is certainly the leader
 * @raft: the log
 * @now: current time
 *
 * True only if an entry of its own term is committed, and if a majority of
 * the voters acknowledged it so recently that, clock drift included, none of
 * them can have voted for another leader yet.
 */
bool cfs_raft_leader_confirmed (const struct cfs_raft *raft, int64_t now);

#endif
