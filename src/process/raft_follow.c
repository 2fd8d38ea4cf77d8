/*
 * Follower: stores entries and snapshots of the leader durably before it
 * acknowledges them, and removes entries that conflict with the leader's.
 */
#include "raft_int.h"

#include <stdlib.h>
#include <string.h>

static void
reply_append (struct cfs_raft *r, const Cfs__RaftMsg *m, bool reject,
              uint64_t index)
{
  Cfs__RaftMsg reply;

  raft_init_msg (r, &reply, MSG_APPEND_REPLY, m->from);
  reply.reject = reject;
  reply.index = index;
  reply.hint = raft_last_index (r);
  reply.round = m->round;
  r->ops->send (r->ctx, m->host, &reply);
}

/* Stores the leader of a term as this voter's vote, which elections rely on
   after a restart.  The vote for another candidate of the term may be
   overwritten, since that one has lost.  Without a vote in the term, a failure
   to store does no harm. */
static bool
store_leader (struct cfs_raft *r, uint64_t term, uint64_t leader)
{
  if (term == r->term && r->vote == leader)
    return true;
  return raft_set_term (r, term, leader) == CFS_OK
         || (term == r->term && r->vote == 0);
}

/* Takes the sender as leader of its term.  False if the term is out of date
   or cannot be stored. */
static bool
accept_leader (struct cfs_raft *r, const Cfs__RaftMsg *m, int64_t now)
{
  if (m->term < r->term)
    {
      reply_append (r, m, true, 0);
      return false;
    }
  if (!store_leader (r, m->term, m->from))
    return false;
  raft_become_follower (r, m->from, now);
  r->heard_at = now;
  return true;
}

/* Removes entries that were never committed from an index on. */
static int
remove_entries (struct cfs_raft *r, uint64_t from)
{
  int rc = r->ops->truncate (r->ctx, from);

  raft_drop_entries (r, from);
  raft_restore_members (r);
  return rc;
}

/* Appends those entries of the message that the log does not hold yet, after
   removing conflicting ones.  Loop invariant: entries before i are in the log
   or in the snapshot, with the same term. */
static int
store_entries (struct cfs_raft *r, const Cfs__RaftMsg *m)
{
  struct cfs_raft_entry fresh[RAFT_BATCH];
  size_t i = 0;
  size_t n = 0;

  while (i < m->n_entries
         && (m->entries[i]->index <= r->snapshot.index
             || raft_term_at (r, m->entries[i]->index) == m->entries[i]->term))
    i++;
  if (i == m->n_entries)
    return CFS_OK;
  if (m->n_entries - i > RAFT_BATCH || m->entries[i]->index <= r->commit_index)
    return CFS_BAD;
  if (m->entries[i]->index <= raft_last_index (r))
    {
      int rc = remove_entries (r, m->entries[i]->index);

      if (rc != CFS_OK)
        return rc;
    }
  for (; i < m->n_entries; i++, n++)
    {
      if (m->entries[i]->index != raft_last_index (r) + 1 + n)
        return CFS_BAD;
      fresh[n].index = m->entries[i]->index;
      fresh[n].term = m->entries[i]->term;
      fresh[n].kind = m->entries[i]->kind;
      fresh[n].len = (uint32_t)m->entries[i]->data.len;
      fresh[n].data = m->entries[i]->data.data;
    }
  return raft_store_entries (r, fresh, n);
}

void
raft_on_append (struct cfs_raft *r, const Cfs__RaftMsg *m, int64_t now)
{
  uint64_t match = m->index + m->n_entries;

  if (!accept_leader (r, m, now))
    return;
  if (m->index > raft_last_index (r)
      || (m->index >= r->snapshot.index
          && raft_term_at (r, m->index) != m->log_term))
    {
      reply_append (r, m, true, m->index);
      return;
    }
  if (store_entries (r, m) != CFS_OK)
    return;
  if (m->commit > r->commit_index)
    {
      uint64_t limit = m->commit < match ? m->commit : match;

      if (limit > r->commit_index)
        r->commit_index = limit;
      raft_apply_committed (r);
    }
  reply_append (r, m, false, match);
}

/* Removes the entries from the index of a snapshot on, which conflict with it:
   they were never committed.  This is durable before the snapshot is saved.  A
   crash in between would otherwise leave them above the snapshot, as if they
   followed it. */
static int
remove_conflicting (struct cfs_raft *r, uint64_t index)
{
  if (raft_last_index (r) < index)
    return CFS_OK;
  return remove_entries (r, index);
}

void
raft_on_snapshot (struct cfs_raft *r, const Cfs__RaftMsg *m, int64_t now)
{
  struct cfs_raft_snapshot s = { .index = m->index, .term = m->log_term };
  struct cfs_raft_entry members;

  if (!accept_leader (r, m, now) || m->n_entries != 1)
    return;
  if (m->index <= r->commit_index)
    {
      reply_append (r, m, false, r->commit_index);
      return;
    }
  if (raft_term_at (r, m->index) == m->log_term)
    {
      r->commit_index = m->index;
      raft_apply_committed (r);
      reply_append (r, m, false, m->index);
      return;
    }
  members.len = (uint32_t)m->entries[0]->data.len;
  members.data = m->entries[0]->data.data;
  if (!raft_unpack_members (&members, &s.members))
    return;
  s.len = m->snapshot.len;
  s.data = cfs_alloc (s.len);
  if (s.len)
    memcpy (s.data, m->snapshot.data, s.len);
  if (remove_conflicting (r, s.index) != CFS_OK
      || r->ops->save_snapshot (r->ctx, &s) != CFS_OK)
    {
      free (s.data);
      return;
    }
  raft_drop_entries (r, r->snapshot.index + 1);
  free (r->snapshot.data);
  r->snapshot = s;
  r->stored_index = s.index;
  r->commit_index = s.index;
  r->applied_index = s.index;
  raft_restore_members (r);
  r->ops->restore (r->ctx, s.data, s.len);
  reply_append (r, m, false, s.index);
}
