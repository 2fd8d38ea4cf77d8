/**
 * DOC: Replicated log of the control group.
 *
 * A state machine without I/O: events come in through the calls below with
 * the time as an argument; effects leave through struct cfs_raft_ops.  The
 * owner is one thread.  Voters are named by a 64-bit identity that is drawn
 * anew when a disk is lost, so that a host without its log never votes as
 * the voter it used to be.
 */
#ifndef CFS_RAFT_H
#define CFS_RAFT_H

#include "../cfs.h"
#include "wire.pb-c.h"

/* Time between appends of an idle leader. */
#define RAFT_HEARTBEAT_US (100 * CFS_US_PER_MS)
/* Least silence of the leader after which a voter may support another. */
#define RAFT_ELECTION_US (500 * CFS_US_PER_MS)
/* Least time between two questions whether a vote would be won. */
#define RAFT_RETRY_US (150 * CFS_US_PER_MS)
/* Allowance for the drift between two monotonic clocks, in percent. */
#define RAFT_DRIFT_PERCENT 2
/* Entries kept in the log before a snapshot replaces them. */
#define RAFT_SNAPSHOT_ENTRIES 512
/* The same by their bytes: whole documents may be large. */
#define RAFT_SNAPSHOT_BYTES (4u << 20)
/* A member without an answer for this time counts as silent. */
#define RAFT_VOTER_SILENT_US (2 * CFS_US_PER_S)
/* A learner that is silent for this time is dropped; it may join again. */
#define RAFT_LEARNER_SILENT_US (5 * CFS_US_PER_S)
/* Voters wanted where members find one another: with few members and with
   at least RAFT_LARGE_GROUP of them. */
#define RAFT_VOTERS_SMALL_GROUP 3
#define RAFT_VOTERS_LARGE_GROUP 5
#define RAFT_LARGE_GROUP 5
/* Entries sent in one append. */
#define RAFT_BATCH 128
/* The same by their bytes; an entry that is larger goes alone. */
#define RAFT_BATCH_BYTES (256u << 10)

/**
 * enum cfs_raft_entry_kind - what a log entry holds
 * @CFS_RAFT_ENTRY_NOOP: empty entry that opens a leader's term
 * @CFS_RAFT_ENTRY_COMMAND: packed command of the state machine
 * @CFS_RAFT_ENTRY_MEMBERS: packed list of members
 */
enum cfs_raft_entry_kind
{
  CFS_RAFT_ENTRY_NOOP = 0,
  CFS_RAFT_ENTRY_COMMAND = 1,
  CFS_RAFT_ENTRY_MEMBERS = 2
};

/** struct cfs_raft_entry - one entry; @data is owned by whoever holds the
 * array */
struct cfs_raft_entry
{
  uint64_t index;
  uint64_t term;
  uint32_t kind;
  uint32_t len;
  uint8_t *data;
};

/** struct cfs_raft_member - one voter or learner of the group */
struct cfs_raft_member
{
  uint64_t id;
  char host[CFS_NAME_MAX];
  bool voter;
};

#define RAFT_MEMBERS_MAX 16

/** struct cfs_raft_membership - the members that the log knows, by value */
struct cfs_raft_membership
{
  struct cfs_raft_member at[RAFT_MEMBERS_MAX];
  size_t count;
};

/** struct cfs_raft_snapshot - state machine image up to and with @index */
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
 * struct cfs_raft_ops - effects of the log
 * @save_vote: makes term and vote durable before it returns CFS_OK
 * @append: makes entries durable before it returns CFS_OK
 * @truncate: drops durable entries from @from on
 * @save_snapshot: makes a snapshot durable and drops the entries it covers
 * @send: sends a message to the control host of that name; may lose it
 * @apply: applies a committed command, once and in order
 * @restore: replaces the state machine by an image
 * @serialize: packs the state machine into malloc'd memory for the caller
 *
 * A status other than CFS_OK leaves the log as it was before the call.
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
};

enum cfs_raft_role
{
  RAFT_FOLLOWER,
  RAFT_PRECANDIDATE,
  RAFT_CANDIDATE,
  RAFT_LEADER
};

/**
 * struct cfs_raft_initial_state - what was on disk, or the first members
 * @manages_voters: members find one another: the group keeps an odd number of
 * voters and replaces silent ones by learners that have caught up; without
 * it every learner becomes a voter and stays one
 */
struct cfs_raft_initial_state
{
  bool manages_voters;
  uint64_t id;
  uint64_t term;
  uint64_t vote;
  struct cfs_raft_snapshot snapshot;
  struct cfs_raft_entry *entries;
  size_t count;
  uint64_t seed;
};

/**
 * cfs_raft_new() - starts the log from what was durable
 * @ops: effects, must outlive the log
 * @ctx: first argument of every effect
 * @initial: durable state; entry data and snapshot data pass to the log
 * @host: name of this host, at most CFS_NAME_MAX - 1 bytes
 * @now: time
 *
 * Calls @ops->restore when the boot holds a snapshot.
 * Return: the log, freed by cfs_raft_free().
 */
struct cfs_raft *cfs_raft_new (const struct cfs_raft_ops *ops, void *ctx,
                               struct cfs_raft_initial_state *initial,
                               const char *host, int64_t now);

/** cfs_raft_free() - frees the log and all entries in memory */
void cfs_raft_free (struct cfs_raft *raft);

/** cfs_raft_tick() - advances timers; to be called at least every 20 ms */
void cfs_raft_tick (struct cfs_raft *raft, int64_t now);

/**
 * cfs_raft_receive() - handles a message of another member
 * @raft: the log
 * @msg: message, unchanged and not kept
 * @now: time
 */
void cfs_raft_receive (struct cfs_raft *raft, const Cfs__RaftMsg *msg,
                       int64_t now);

/**
 * cfs_raft_propose() - appends a command on the leader
 * @raft: the log
 * @data: packed command, copied
 * @len: its length
 * @now: time
 * @index: set to the index of the entry, may be NULL
 *
 * Return: CFS_OK, CFS_NOT_LEADER, or CFS_IO when the disk refused it.
 */
int cfs_raft_propose (struct cfs_raft *raft, const uint8_t *data, size_t len,
                      int64_t now, uint64_t *index);

/**
 * cfs_raft_leave() - asks to be replaced before a planned stop
 *
 * To be called repeatedly.  Return: whether a replacement is there, so that
 * waiting for it makes sense; false once this host is no voter any more.
 */
bool cfs_raft_leave (struct cfs_raft *raft, int64_t now);

/** cfs_raft_role() - the present role */
enum cfs_raft_role cfs_raft_role (const struct cfs_raft *raft);

/** cfs_raft_term() - the present term */
uint64_t cfs_raft_term (const struct cfs_raft *raft);

/** cfs_raft_commit_index() - index up to which entries are committed */
uint64_t cfs_raft_commit_index (const struct cfs_raft *raft);

/** cfs_raft_last_index() - index of the last entry in the log */
uint64_t cfs_raft_last_index (const struct cfs_raft *raft);

/** cfs_raft_members() - the present members; valid until the next call */
const struct cfs_raft_membership *
cfs_raft_members (const struct cfs_raft *raft);

/** cfs_raft_leader() - host name of the known leader, "" when none */
const char *cfs_raft_leader (const struct cfs_raft *raft);

/**
 * cfs_raft_leader_confirmed() - whether this host leads and has applied its
 * own term
 * @raft: the log
 * @now: time
 *
 * True only while a majority has confirmed the leadership recently enough
 * that no other leader can exist, with the drift allowance.
 */
bool cfs_raft_leader_confirmed (const struct cfs_raft *raft, int64_t now);

#endif
