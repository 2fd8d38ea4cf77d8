/*
 * Leader: stores proposals, sends them to the members and commits what a
 * majority has stored.  The proposals of one round are stored with one write
 * and sent in one message.
 */
#include "raft_int.h"

#include <stdlib.h>

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
  p->in_flight = r->snapshot.index;
  p->sent_at = now;
}

/* Whether entries or a snapshot may be sent to a member: one message without
   a reply at a time, so that a burst of proposals is sent in few messages and
   each entry once. */
static bool
may_send_entries (const struct raft_peer *p, int64_t now)
{
  return p->in_flight <= p->match_index || now - p->sent_at >= RAFT_RESEND_US;
}

static void
send_append (struct cfs_raft *r, struct raft_peer *p, int64_t now)
{
  Cfs__RaftEntry batch[RAFT_BATCH];
  Cfs__RaftEntry *list[RAFT_BATCH];
  Cfs__RaftMsg m;
  size_t bytes = 0;
  bool with_entries = may_send_entries (p, now);

  if (p->next_index <= r->snapshot.index)
    {
      if (with_entries)
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
       with_entries && i <= r->stored_index && m.n_entries < RAFT_BATCH
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
  if (!m.n_entries)
    return;
  p->in_flight = m.index + m.n_entries;
  p->sent_at = now;
}

void
raft_broadcast_append (struct cfs_raft *r, int64_t now)
{
  r->next_broadcast_at = now + RAFT_HEARTBEAT_US;
  for (size_t i = 0; i < r->members.count; i++)
    if (r->peers[i].id != r->id)
      send_append (r, &r->peers[i], now);
}

int64_t
raft_majority_confirmed_at (const struct cfs_raft *r, int64_t now)
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

  for (uint64_t n = r->stored_index; n > r->commit_index; n--)
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
  if (raft_is_voter (r, r->id) || r->commit_index < r->members_index)
    return;
  raft_broadcast_append (r, now);
  raft_become_follower (r, 0, now);
}

int
raft_flush_log (struct cfs_raft *r, int64_t now)
{
  uint64_t first = r->stored_index + 1;
  size_t count = (size_t)(raft_last_index (r) - r->stored_index);
  int rc;

  if (count == 0)
    return CFS_OK;
  rc = r->ops->append (r->ctx, raft_entry_at (r, first), count);
  if (rc != CFS_OK)
    {
      raft_become_follower (r, 0, now);
      raft_restore_members (r);
      return rc;
    }
  r->stored_index = raft_last_index (r);
  raft_broadcast_append (r, now);
  advance_commit (r, now);
  return CFS_OK;
}

void
raft_add_entry (struct cfs_raft *r, enum cfs_raft_entry_kind kind,
                const uint8_t *data, size_t len)
{
  struct cfs_raft_entry e = { .index = raft_last_index (r) + 1,
                              .term = r->term,
                              .kind = kind,
                              .len = (uint32_t)len,
                              .data = (uint8_t *)data };

  raft_add_to_log (r, &e, 1);
}

/* A change of the members is sent without waiting for replies: until it has
   been committed, no further loss of a disk can be repaired. */
int
raft_append_members (struct cfs_raft *r, const uint8_t *data, size_t len,
                     int64_t now)
{
  raft_add_entry (r, CFS_RAFT_ENTRY_MEMBERS, data, len);
  for (size_t i = 0; i < r->members.count; i++)
    r->peers[i].in_flight = 0;
  return raft_flush_log (r, now);
}

void
raft_become_leader (struct cfs_raft *r, int64_t now)
{
  r->role = RAFT_LEADER;
  r->leader = r->id;
  r->surplus_voters_since = 0;
  for (size_t i = 0; i < r->members.count; i++)
    {
      r->peers[i].next_index = raft_last_index (r) + 1;
      r->peers[i].match_index = 0;
      r->peers[i].in_flight = 0;
      r->peers[i].acked_at = now;
    }
  r->term_start_index = raft_last_index (r) + 1;
  raft_add_entry (r, CFS_RAFT_ENTRY_NOOP, NULL, 0);
  raft_flush_log (r, now);
}

/* A request to leave is repeated until the process ends, so a member that
   answers later appends without one has started again. */
static void
note_answer (struct raft_peer *p, int64_t sent_at)
{
  if (sent_at > p->acked_at)
    p->acked_at = sent_at;
  if (p->left_at && sent_at > p->left_at + RAFT_ELECTION_US)
    p->left_at = 0;
}

void
raft_on_append_reply (struct cfs_raft *r, const Cfs__RaftMsg *m, int64_t now)
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
  if ((int64_t)m->round <= now)
    note_answer (p, (int64_t)m->round);
  if (m->reject)
    {
      uint64_t next = m->hint + 1 < m->index ? m->hint + 1 : m->index;

      if (next <= p->match_index)
        return;
      p->next_index = next ? next : 1;
      p->in_flight = 0;
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
  if (r->role == RAFT_LEADER && p->next_index <= r->stored_index
      && may_send_entries (p, now))
    send_append (r, p, now);
  raft_maintain_members (r, now);
}
