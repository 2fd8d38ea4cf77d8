/*
 * Raft with pre-vote, check-quorum, learners, snapshots and single-member
 * membership changes.  Raft was chosen over primary-backup replication
 * because the control group must decide about leases without an external
 * store.
 *
 * Leader leases: an append carries the leader's send time, and the reply
 * echoes it, so the leader knows up to which of its own times a majority has
 * followed it.  A voter that heard from a leader within RAFT_ELECTION_US
 * grants no vote; a restart counts as hearing from one.  Until that time plus
 * RAFT_ELECTION_US, less clock drift, there is therefore no second leader.
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
  size_t voters = 0;

  for (size_t i = 0; i < r->members.count; i++)
    voters += r->members.at[i].voter;
  return voters / 2 + 1;
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
}

int
raft_append_entries (struct cfs_raft *r, struct cfs_raft_entry *entries,
                     size_t count)
{
  bool members = false;
  int rc = r->ops->append (r->ctx, entries, count);

  if (rc != CFS_OK)
    return rc;
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

static void
send_snapshot (struct cfs_raft *r, struct raft_peer *p, int64_t now)
{
  Cfs__RaftMsg m;
  Cfs__RaftEntry members = CFS__RAFT_ENTRY__INIT;
  Cfs__RaftEntry *list[1] = { &members };

  raft_init_msg (r, &m, MSG_SNAPSHOT, p->id);
  m.index = r->snapshot.index;
  m.log_term = r->snapshot.term;
  m.round = (uint64_t)now;
  m.snapshot.data = r->snapshot.data;
  m.snapshot.len = r->snapshot.len;
  members.data.len
      = raft_pack_members (&r->snapshot.members, &members.data.data);
  m.entries = list;
  m.n_entries = 1;
  raft_send_to (r, &m);
  free (members.data.data);
  p->sent_at = now;
}

static void
send_append (struct cfs_raft *r, struct raft_peer *p, int64_t now)
{
  Cfs__RaftEntry batch[RAFT_BATCH];
  Cfs__RaftEntry *list[RAFT_BATCH];
  Cfs__RaftMsg m;
  size_t bytes = 0;

  if (p->next_index <= r->snapshot.index)
    {
      send_snapshot (r, p, now);
      return;
    }
  raft_init_msg (r, &m, MSG_APPEND, p->id);
  m.index = p->next_index - 1;
  m.log_term = raft_term_at (r, m.index);
  m.commit = r->commit_index;
  m.round = (uint64_t)now;
  m.entries = list;
  for (uint64_t i = p->next_index;
       i <= raft_last_index (r) && m.n_entries < RAFT_BATCH
       && bytes < RAFT_BATCH_BYTES;
       i++)
    {
      const struct cfs_raft_entry *e = raft_entry_at (r, i);
      Cfs__RaftEntry *out = &batch[m.n_entries];

      cfs__raft_entry__init (out);
      out->index = e->index;
      out->term = e->term;
      out->kind = e->kind;
      out->data.len = e->len;
      out->data.data = e->data;
      list[m.n_entries++] = out;
      bytes += e->len;
    }
  raft_send_to (r, &m);
  p->sent_at = now;
}

static void
broadcast_append (struct cfs_raft *r, int64_t now)
{
  r->next_broadcast_at = now + RAFT_HEARTBEAT_US;
  for (size_t i = 0; i < r->members.count; i++)
    if (r->peers[i].id != r->id)
      send_append (r, &r->peers[i], now);
}

/* Latest time, by the clock of this leader, up to which a majority of the
   voters is known to have followed it. */
static int64_t
majority_confirmed_at (const struct cfs_raft *r, int64_t now)
{
  int64_t best = INT64_MIN;

  for (size_t i = 0; i < r->members.count; i++)
    {
      int64_t t = r->peers[i].id == r->id ? now : r->peers[i].acked_at;
      size_t count = 0;

      for (size_t j = 0; j < r->members.count; j++)
        count += r->members.at[j].voter
                 && (r->peers[j].id == r->id || r->peers[j].acked_at >= t);
      if (count >= raft_majority (r) && t > best)
        best = t;
    }
  return best;
}

static void
advance_commit (struct cfs_raft *r, int64_t now)
{
  uint64_t old = r->commit_index;

  for (uint64_t n = raft_last_index (r); n > r->commit_index; n--)
    {
      size_t count = 0;

      if (raft_term_at (r, n) != r->term)
        break;
      for (size_t i = 0; i < r->members.count; i++)
        count += r->members.at[i].voter
                 && (r->peers[i].id == r->id || r->peers[i].match_index >= n);
      if (count >= raft_majority (r))
        {
          r->commit_index = n;
          break;
        }
    }
  if (r->commit_index == old)
    return;
  raft_apply_committed (r);
  broadcast_append (r, now);
  if (!raft_is_voter (r, r->id) && r->commit_index >= r->members_index)
    raft_become_follower (r, 0, now);
}

int
raft_append_as_leader (struct cfs_raft *r, enum cfs_raft_entry_kind kind,
                       const uint8_t *data, size_t len, int64_t now)
{
  struct cfs_raft_entry e = { .index = raft_last_index (r) + 1,
                              .term = r->term,
                              .kind = kind,
                              .len = (uint32_t)len,
                              .data = (uint8_t *)data };
  int rc = raft_append_entries (r, &e, 1);

  if (rc != CFS_OK)
    {
      raft_become_follower (r, 0, now);
      return rc;
    }
  broadcast_append (r, now);
  advance_commit (r, now);
  return CFS_OK;
}

void
raft_become_leader (struct cfs_raft *r, int64_t now)
{
  r->role = RAFT_LEADER;
  r->leader = r->id;
  for (size_t i = 0; i < r->members.count; i++)
    {
      r->peers[i].next_index = raft_last_index (r) + 1;
      r->peers[i].match_index = 0;
      r->peers[i].acked_at = now;
    }
  r->term_start_index = raft_last_index (r) + 1;
  raft_append_as_leader (r, CFS_RAFT_ENTRY_NOOP, NULL, 0, now);
}

static void
on_append_reply (struct cfs_raft *r, const Cfs__RaftMsg *m, int64_t now)
{
  struct raft_peer *p = raft_find_peer (r, m->from);

  if (m->term > r->term)
    {
      if (raft_set_term (r, m->term, 0) == CFS_OK)
        raft_become_follower (r, 0, now);
      return;
    }
  if (r->role != RAFT_LEADER || m->term != r->term || !p)
    return;
  if ((int64_t)m->round > p->acked_at && (int64_t)m->round <= now)
    p->acked_at = (int64_t)m->round;
  if (m->reject)
    {
      uint64_t next = m->hint + 1 < m->index ? m->hint + 1 : m->index;

      if (next <= p->match_index)
        return;
      p->next_index = next ? next : 1;
      send_append (r, p, now);
      return;
    }
  if (m->index > raft_last_index (r))
    return;
  if (m->index > p->match_index)
    p->match_index = m->index;
  if (p->next_index <= p->match_index)
    p->next_index = p->match_index + 1;
  advance_commit (r, now);
  if (r->role == RAFT_LEADER && p->next_index <= raft_last_index (r))
    send_append (r, p, now);
  raft_maintain_members (r, now);
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
  r->commit_index = r->snapshot.index;
  r->applied_index = r->snapshot.index;
  r->seed = initial->seed ? initial->seed : 1;
  r->manages_voters = initial->manages_voters;
  r->clock = now;
  r->heard_at = now;
  raft_restore_members (r);
  raft_become_follower (r, 0, now);
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
cfs_raft_tick (struct cfs_raft *r, int64_t now)
{
  r->clock = now;
  if (!raft_find_member (r, r->id) && now >= r->next_join_at)
    raft_send_join (r, now);
  if (r->role == RAFT_LEADER)
    {
      if (now - majority_confirmed_at (r, now) > RAFT_ELECTION_US)
        raft_become_follower (r, 0, now);
      else if (now >= r->next_broadcast_at)
        {
          broadcast_append (r, now);
          raft_maintain_members (r, now);
        }
      return;
    }
  if (now < r->election_due_at || !raft_is_voter (r, r->id))
    return;
  raft_start_prevote (r, now);
}

void
cfs_raft_receive (struct cfs_raft *r, const Cfs__RaftMsg *m, int64_t now)
{
  r->clock = now;
  if (m->to != r->id && m->type != MSG_JOIN)
    return;
  switch (m->type)
    {
    case MSG_PREVOTE:
      if (r->manages_voters && !raft_find_member (r, m->from))
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
      on_append_reply (r, m, now);
      break;
    case MSG_SNAPSHOT:
      raft_on_snapshot (r, m, now);
      break;
    case MSG_JOIN:
      raft_on_join (r, m, now);
      break;
    case MSG_LEAVE:
      raft_on_leave (r, m);
      break;
    default:
      break;
    }
}

int
cfs_raft_propose (struct cfs_raft *r, const uint8_t *data, size_t len,
                  int64_t now, uint64_t *index)
{
  if (r->role != RAFT_LEADER)
    return CFS_NOT_LEADER;
  if (index)
    *index = raft_last_index (r) + 1;
  return raft_append_as_leader (r, CFS_RAFT_ENTRY_COMMAND, data, len, now);
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
         && now - majority_confirmed_at (r, now) < window;
}
