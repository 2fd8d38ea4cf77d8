/*
 * Members of the group: their list in the log, hosts that ask to be taken
 * in, and learners that become voters.  One change at a time, each committed
 * before the next, keeps two majorities from ever being disjoint.
 */
#include "raft_int.h"

#include <stdlib.h>
#include <string.h>

const struct cfs_member *
raft_member_by_id (const struct cfs_raft *r, uint64_t id)
{
  for (size_t i = 0; i < r->members.count; i++)
    if (r->members.at[i].id == id)
      return &r->members.at[i];
  return NULL;
}

struct raft_peer *
raft_peer_of (struct cfs_raft *r, uint64_t id)
{
  for (size_t i = 0; i < r->members.count; i++)
    if (r->members.at[i].id == id)
      return &r->peers[i];
  return NULL;
}

bool
raft_unpack_members (const struct cfs_entry *e, struct cfs_members *out)
{
  Cfs__Members *m = cfs__members__unpack (NULL, e->len, e->data);

  if (!m || m->n_member > RAFT_MEMBERS_MAX)
    {
      if (m)
        cfs__members__free_unpacked (m, NULL);
      return false;
    }
  out->count = m->n_member;
  for (size_t i = 0; i < m->n_member; i++)
    {
      out->at[i].id = m->member[i]->id;
      out->at[i].voter = m->member[i]->voter;
      cfs_copy (out->at[i].host, CFS_NAME_MAX, m->member[i]->host);
    }
  cfs__members__free_unpacked (m, NULL);
  return true;
}

size_t
raft_pack_members (const struct cfs_members *in, uint8_t **data)
{
  Cfs__Member rows[RAFT_MEMBERS_MAX];
  Cfs__Member *list[RAFT_MEMBERS_MAX];
  Cfs__Members m = CFS__MEMBERS__INIT;
  size_t len;

  for (size_t i = 0; i < in->count; i++)
    {
      cfs__member__init (&rows[i]);
      rows[i].id = in->at[i].id;
      rows[i].host = (char *)in->at[i].host;
      rows[i].voter = in->at[i].voter;
      list[i] = &rows[i];
    }
  m.n_member = in->count;
  m.member = list;
  len = cfs__members__get_packed_size (&m);
  *data = cfs_alloc (len);
  cfs__members__pack (&m, *data);
  return len;
}

/* Takes over a list of members and keeps what is known of each peer. */
static void
set_members (struct cfs_raft *r, const struct cfs_members *members,
             uint64_t index)
{
  struct raft_peer kept[RAFT_MEMBERS_MAX];

  for (size_t i = 0; i < members->count; i++)
    {
      struct raft_peer *old = raft_peer_of (r, members->at[i].id);

      memset (&kept[i], 0, sizeof kept[i]);
      if (old)
        kept[i] = *old;
      else
        kept[i].next = raft_last_index (r) + 1;
      kept[i].id = members->at[i].id;
    }
  memcpy (r->peers, kept, members->count * sizeof kept[0]);
  r->members = *members;
  r->members_index = index;
}

/* Finds the last list of members in the log after a truncation or a start.
   Invariant of the loop: entries above i hold no list of members. */
void
raft_reload_members (struct cfs_raft *r)
{
  struct cfs_members found;

  for (uint64_t i = raft_last_index (r); i > r->snap.index; i--)
    {
      const struct cfs_entry *e = raft_entry_at (r, i);

      if (e->kind == CFS_ENTRY_MEMBERS && raft_unpack_members (e, &found))
        {
          set_members (r, &found, i);
          return;
        }
    }
  set_members (r, &r->snap.members, r->snap.index);
}

/* A host outside the group asks the leader to be taken in. */
void
raft_send_join (struct cfs_raft *r, int64_t now)
{
  r->joined_at = now + RAFT_ELECTION_US;
  for (size_t i = 0; i < r->members.count; i++)
    {
      Cfs__RaftMsg m;

      if (r->members.at[i].id == r->id)
        continue;
      raft_init_msg (r, &m, MSG_JOIN, r->members.at[i].id);
      raft_send_to (r, &m);
    }
}

static int
change_members (struct cfs_raft *r, const struct cfs_members *next,
                int64_t now)
{
  uint8_t *data;
  size_t len = raft_pack_members (next, &data);
  int rc = raft_append_own (r, CFS_ENTRY_MEMBERS, data, len, now);

  free (data);
  return rc;
}

static bool
may_change (const struct cfs_raft *r)
{
  return r->role == RAFT_LEADER && r->commit >= r->term_start
         && r->members_index <= r->commit;
}

static bool
learner_exists (const struct cfs_raft *r)
{
  for (size_t i = 0; i < r->members.count; i++)
    if (!r->members.at[i].voter)
      return true;
  return false;
}

/* A new identity of a known host first pushes out the old one, then comes in
   as a learner; each step waits until the one before is committed, and no
   second repair starts while a learner is there. */
void
raft_on_join (struct cfs_raft *r, const Cfs__RaftMsg *m, int64_t now)
{
  struct cfs_members next = r->members;
  size_t i;

  if (!may_change (r) || raft_member_by_id (r, m->from))
    return;
  for (i = 0; i < next.count; i++)
    if (strcmp (next.at[i].host, m->host) == 0)
      break;
  if (learner_exists (r) && (i == next.count || next.at[i].voter))
    return;
  if (i < next.count)
    {
      next.at[i] = next.at[next.count - 1];
      next.count--;
    }
  else if (next.count < RAFT_MEMBERS_MAX)
    {
      next.at[next.count].id = m->from;
      next.at[next.count].voter = false;
      cfs_copy (next.at[next.count].host, CFS_NAME_MAX, m->host);
      next.count++;
    }
  change_members (r, &next, now);
}

void
raft_promote_learners (struct cfs_raft *r, int64_t now)
{
  struct cfs_members next = r->members;

  if (!may_change (r))
    return;
  for (size_t i = 0; i < next.count; i++)
    {
      const struct raft_peer *p = &r->peers[i];

      if (next.at[i].voter || p->match < r->commit
          || now - p->acked_at > RAFT_ELECTION_US)
        continue;
      next.at[i].voter = true;
      change_members (r, &next, now);
      return;
    }
}
