/*
 * Raft with pre-vote, check-quorum, learners, snapshots and single-member
 * membership changes.  Raft was chosen over primary-backup replication
 * because the control group must decide about leases without an external
 * store.
 *
 * Leader leases: an append carries the leader's send time, and the reply
 * echoes it, so the leader knows up to which of its own times a majority has
 * followed it.  A voter that heard from a leader within RAFT_ELECTION_US
 * grants no vote to another; a restart counts as hearing from one.  Until that
 * time plus RAFT_ELECTION_US, less clock drift, there is therefore no second
 * leader.
 * The leases of the hosts rely on this.
 */
#include "raft_int.h"

#include <stdlib.h>
#include <string.h>

uint64_t
raft_last_index (const struct cfs_raft *r)
{
  return r->snapshot.index + r->count;
}

struct cfs_raft_entry *
raft_entry_at (const struct cfs_raft *r, uint64_t index)
{
  if (index <= r->snapshot.index || index > raft_last_index (r))
    return NULL;
  return &r->log[index - r->snapshot.index - 1];
}

uint64_t
raft_term_at (const struct cfs_raft *r, uint64_t index)
{
  const struct cfs_raft_entry *e = raft_entry_at (r, index);

  if (e)
    return e->term;
  return index == r->snapshot.index ? r->snapshot.term : 0;
}

bool
raft_is_voter (const struct cfs_raft *r, uint64_t id)
{
  const struct cfs_raft_member *m = raft_find_member (r, id);

  return m && m->voter;
}

size_t
raft_majority (const struct cfs_raft *r)
{
  return cfs_raft_count_voters (&r->members) / 2 + 1;
}

void
raft_init_msg (const struct cfs_raft *r, Cfs__RaftMsg *m,
               enum raft_msg_type type, uint64_t to)
{
  cfs__raft_msg__init (m);
  m->type = type;
  m->from = r->id;
  m->to = to;
  m->term = r->term;
  m->host = (char *)r->host;
}

/* Replies are not sent by this function but to the host name in the request:
   the sender may not be in the membership that this host knows. */
void
raft_send_to (const struct cfs_raft *r, const Cfs__RaftMsg *m)
{
  const struct cfs_raft_member *to = raft_find_member (r, m->to);

  if (to)
    r->ops->send (r->ctx, to->host, m);
}

int
raft_set_term (struct cfs_raft *r, uint64_t term, uint64_t vote)
{
  int rc = r->ops->save_vote (r->ctx, term, vote);

  if (rc != CFS_OK)
    return rc;
  r->term = term;
  r->vote = vote;
  return CFS_OK;
}

void
raft_become_follower (struct cfs_raft *r, uint64_t leader, int64_t now)
{
  raft_drop_entries (r, r->stored_index + 1);
  r->role = RAFT_FOLLOWER;
  r->leader = leader;
  r->election_due_at = now + raft_election_delay (r);
}

void
raft_drop_entries (struct cfs_raft *r, uint64_t from)
{
  for (uint64_t i = from; i <= raft_last_index (r); i++)
    free (raft_entry_at (r, i)->data);
  r->count = (size_t)(from - r->snapshot.index - 1);
  if (r->stored_index >= from)
    r->stored_index = from - 1;
}

void
raft_add_to_log (struct cfs_raft *r, const struct cfs_raft_entry *entries,
                 size_t count)
{
  bool members = false;

  for (size_t i = 0; i < count; i++)
    {
      struct cfs_raft_entry *e;

      cfs_grow (&r->log, &r->cap, r->count, sizeof *r->log);
      e = &r->log[r->count++];
      *e = entries[i];
      e->data = cfs_alloc (e->len);
      if (e->len)
        memcpy (e->data, entries[i].data, e->len);
      members |= e->kind == CFS_RAFT_ENTRY_MEMBERS;
    }
  if (members)
    raft_restore_members (r);
}

int
raft_store_entries (struct cfs_raft *r, const struct cfs_raft_entry *entries,
                    size_t count)
{
  int rc = r->ops->append (r->ctx, entries, count);

  if (rc != CFS_OK)
    return rc;
  raft_add_to_log (r, entries, count);
  r->stored_index = raft_last_index (r);
  return CFS_OK;
}

/* Whether the applied entries are so many or so large that a snapshot is to
   replace them. */
static bool
snapshot_is_due (const struct cfs_raft *r)
{
  size_t bytes = 0;

  if (r->applied_index - r->snapshot.index >= RAFT_SNAPSHOT_ENTRIES)
    return true;
  for (uint64_t i = r->snapshot.index + 1; i <= r->applied_index; i++)
    bytes += raft_entry_at (r, i)->len;
  return bytes >= RAFT_SNAPSHOT_BYTES;
}

static void
take_snapshot (struct cfs_raft *r)
{
  struct cfs_raft_snapshot s = { .index = r->applied_index };
  size_t keep;

  if (!snapshot_is_due (r) || r->members_index > r->applied_index)
    return;
  s.term = raft_term_at (r, r->applied_index);
  s.members = r->members;
  s.len = r->ops->serialize (r->ctx, &s.data);
  if (r->ops->save_snapshot (r->ctx, &s) != CFS_OK)
    {
      free (s.data);
      return;
    }
  keep = (size_t)(raft_last_index (r) - s.index);
  for (uint64_t i = r->snapshot.index + 1; i <= s.index; i++)
    free (raft_entry_at (r, i)->data);
  memmove (r->log, r->log + (r->count - keep), keep * sizeof *r->log);
  r->count = keep;
  free (r->snapshot.data);
  r->snapshot = s;
}

void
raft_apply_committed (struct cfs_raft *r)
{
  while (r->applied_index < r->commit_index)
    {
      const struct cfs_raft_entry *e = raft_entry_at (r, r->applied_index + 1);

      if (e->kind == CFS_RAFT_ENTRY_COMMAND)
        r->ops->apply (r->ctx, e);
      r->applied_index++;
    }
  take_snapshot (r);
}

struct cfs_raft *
cfs_raft_new (const struct cfs_raft_ops *ops, void *ctx,
              struct cfs_raft_initial_state *initial, const char *host,
              int64_t now)
{
  struct cfs_raft *r = cfs_alloc (sizeof *r);

  r->ops = ops;
  r->ctx = ctx;
  r->id = initial->id;
  cfs_copy (r->host, sizeof r->host, host);
  r->term = initial->term;
  r->vote = initial->vote;
  r->snapshot = initial->snapshot;
  r->log = initial->entries;
  r->count = initial->count;
  r->cap = initial->count;
  r->stored_index = raft_last_index (r);
  r->commit_index = r->snapshot.index;
  r->applied_index = r->snapshot.index;
  r->seed = initial->seed ? initial->seed : 1;
  r->manages_voters = initial->manages_voters;
  r->lost_disks = initial->lost_disks < RAFT_LOST_DISKS_MAX
                      ? initial->lost_disks
                      : RAFT_LOST_DISKS_MAX;
  r->clock = now;
  r->heard_at = now;
  raft_restore_members (r);
  raft_become_follower (r, 0, now);
  if (r->term && r->vote == r->id)
    r->election_due_at = now + RAFT_REELECTION_US;
  if (r->snapshot.len)
    ops->restore (ctx, r->snapshot.data, r->snapshot.len);
  return r;
}

void
cfs_raft_free (struct cfs_raft *r)
{
  if (!r)
    return;
  raft_drop_entries (r, r->snapshot.index + 1);
  free (r->log);
  free (r->snapshot.data);
  free (r);
}

void
cfs_raft_flush (struct cfs_raft *r, int64_t now)
{
  if (r->role == RAFT_LEADER)
    raft_flush_log (r, now);
}

/* Whether this host has to request to join.  A learner that hears from no
   leader may have been removed without knowing it; a voter asks for pre-votes
   then, which has the same effect. */
static bool
is_outside_group (const struct cfs_raft *r, int64_t now)
{
  const struct cfs_raft_member *self = raft_find_member (r, r->id);

  if (r->stopping)
    return false;
  if (!self)
    return true;
  return r->manages_voters && !self->voter
         && now - r->heard_at > RAFT_VOTER_SILENT_US;
}

/* Whether this host may ask for votes.  One whose removal is in its log but
   not known to be committed may have to: if no voter's log is as long, no
   voter can be elected.  Its own vote does not count then. */
static bool
may_stand (const struct cfs_raft *r)
{
  if (raft_find_member (r, r->id))
    return raft_is_voter (r, r->id);
  return r->members_index > r->commit_index;
}

void
cfs_raft_tick (struct cfs_raft *r, int64_t now)
{
  r->clock = now;
  cfs_raft_flush (r, now);
  if (now >= r->next_join_at && is_outside_group (r, now))
    raft_send_join (r, now);
  if (r->role == RAFT_LEADER)
    {
      if (now - raft_majority_confirmed_at (r, now) > RAFT_ELECTION_US)
        raft_become_follower (r, 0, now);
      else if (now >= r->next_broadcast_at)
        {
          raft_broadcast_append (r, now);
          raft_maintain_members (r, now);
        }
      return;
    }
  if (now < r->election_due_at || !may_stand (r))
    return;
  raft_start_prevote (r, now);
}

void
cfs_raft_receive (struct cfs_raft *r, const Cfs__RaftMsg *m, int64_t now)
{
  r->clock = now;
  if (m->to != r->id && m->type != MSG_JOIN)
    {
      if (m->type == MSG_APPEND)
        cfs_copy (r->contact, sizeof r->contact, m->host);
      return;
    }
  switch (m->type)
    {
    case MSG_PREVOTE:
      if (r->manages_voters && m->hint != HINT_STOPPING
          && !raft_find_member (r, m->from))
        raft_on_join (r, m, now);
      raft_on_prevote (r, m, now);
      break;
    case MSG_VOTE:
      raft_on_vote (r, m, now);
      break;
    case MSG_PREVOTE_REPLY:
    case MSG_VOTE_REPLY:
      raft_on_vote_reply (r, m, now);
      break;
    case MSG_APPEND:
      raft_on_append (r, m, now);
      break;
    case MSG_APPEND_REPLY:
      raft_on_append_reply (r, m, now);
      break;
    case MSG_SNAPSHOT:
      raft_on_snapshot (r, m, now);
      break;
    case MSG_JOIN:
      raft_on_join (r, m, now);
      break;
    case MSG_LEAVE:
      raft_on_leave (r, m, now);
      break;
    case MSG_LEFT:
      raft_on_left (r, m);
      break;
    default:
      break;
    }
}

int
cfs_raft_propose (struct cfs_raft *r, const uint8_t *data, size_t len,
                  uint64_t *index)
{
  if (r->role != RAFT_LEADER)
    return CFS_NOT_LEADER;
  if (index)
    *index = raft_last_index (r) + 1;
  raft_add_entry (r, CFS_RAFT_ENTRY_COMMAND, data, len);
  return CFS_OK;
}

enum cfs_raft_role
cfs_raft_role (const struct cfs_raft *r)
{
  return r->role;
}

uint64_t
cfs_raft_term (const struct cfs_raft *r)
{
  return r->term;
}

uint64_t
cfs_raft_commit_index (const struct cfs_raft *r)
{
  return r->commit_index;
}

uint64_t
cfs_raft_last_index (const struct cfs_raft *r)
{
  return raft_last_index (r);
}

const struct cfs_raft_membership *
cfs_raft_members (const struct cfs_raft *r)
{
  return &r->members;
}

struct cfs_raft_election
cfs_raft_election (const struct cfs_raft *r)
{
  struct cfs_raft_election e = { .heard_at = r->heard_at,
                                 .voters = cfs_raft_count_voters (&r->members),
                                 .granted = r->last_granted,
                                 .needed = raft_majority (r),
                                 .is_voter = raft_is_voter (r, r->id) };

  return e;
}

const char *
cfs_raft_leader (const struct cfs_raft *r)
{
  const struct cfs_raft_member *m = raft_find_member (r, r->leader);

  return m ? m->host : "";
}

bool
cfs_raft_leader_confirmed (const struct cfs_raft *r, int64_t now)
{
  int64_t window = RAFT_ELECTION_US * (100 - RAFT_DRIFT_PERCENT) / 100;

  return r->role == RAFT_LEADER && r->commit_index >= r->term_start_index
         && now - raft_majority_confirmed_at (r, now) < window;
}
