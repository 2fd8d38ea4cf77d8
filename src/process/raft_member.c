/*
 * Group membership: the members entries of the log, and join requests.  A
 * change adds, removes or promotes one member and is committed before the next
 * one starts, so that any majority before a change overlaps with any majority
 * after it.
 */
#include "raft_int.h"

#include <stdlib.h>
#include <string.h>

const struct cfs_raft_member *
raft_find_member (const struct cfs_raft *r, uint64_t id)
{
  for (size_t i = 0; i < r->members.count; i++)
    if (r->members.at[i].id == id)
      return &r->members.at[i];
  return NULL;
}

struct raft_peer *
raft_find_peer (struct cfs_raft *r, uint64_t id)
{
  for (size_t i = 0; i < r->members.count; i++)
    if (r->members.at[i].id == id)
      return &r->peers[i];
  return NULL;
}

size_t
cfs_raft_count_voters (const struct cfs_raft_membership *members)
{
  size_t voters = 0;

  for (size_t i = 0; i < members->count; i++)
    voters += members->at[i].voter;
  return voters;
}

bool
raft_unpack_members (const struct cfs_raft_entry *e,
                     struct cfs_raft_membership *out)
{
  Cfs__Members *m = cfs__members__unpack (NULL, e->len, e->data);

  if (!m || m->n_member > RAFT_MEMBERS_MAX)
    {
      if (m)
        cfs__members__free_unpacked (m, NULL);
      return false;
    }
  out->count = m->n_member;
  out->min_voters = m->min_voters;
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
raft_pack_members (const struct cfs_raft_membership *in, uint8_t **data)
{
  Cfs__Member packed[RAFT_MEMBERS_MAX];
  Cfs__Member *list[RAFT_MEMBERS_MAX];
  Cfs__Members m = CFS__MEMBERS__INIT;
  size_t len;

  for (size_t i = 0; i < in->count; i++)
    {
      cfs__member__init (&packed[i]);
      packed[i].id = in->at[i].id;
      packed[i].host = (char *)in->at[i].host;
      packed[i].voter = in->at[i].voter;
      list[i] = &packed[i];
    }
  m.n_member = in->count;
  m.min_voters = (uint32_t)in->min_voters;
  m.member = list;
  len = cfs__members__get_packed_size (&m);
  *data = cfs_alloc (len);
  cfs__members__pack (&m, *data);
  return len;
}

/* Smallest number of voters of a membership that does not say it: a log of an
   earlier version, or the first members. */
static size_t
infer_min_voters (const struct cfs_raft_membership *members)
{
  return cfs_raft_count_voters (members) > RAFT_VOTERS_SMALL_GROUP
             ? RAFT_VOTERS_LARGE_GROUP
             : RAFT_VOTERS_SMALL_GROUP;
}

/* Replaces the membership; members that stay keep their progress.  The
   silence of a new member counts from now. */
static void
set_members (struct cfs_raft *r, const struct cfs_raft_membership *members,
             uint64_t index)
{
  struct raft_peer kept[RAFT_MEMBERS_MAX];

  for (size_t i = 0; i < members->count; i++)
    {
      struct raft_peer *old = raft_find_peer (r, members->at[i].id);

      memset (&kept[i], 0, sizeof kept[i]);
      if (old)
        kept[i] = *old;
      else
        {
          kept[i].next_index = raft_last_index (r) + 1;
          kept[i].acked_at = r->clock;
          kept[i].joined_at = r->clock;
        }
      kept[i].id = members->at[i].id;
    }
  memcpy (r->peers, kept, members->count * sizeof kept[0]);
  r->members = *members;
  if (!r->members.min_voters)
    r->members.min_voters = infer_min_voters (members);
  r->members_index = index;
}

/* Called at the start, after an append that holds a members entry, and after
   a truncation.  Loop invariant: no entry above i is a valid members entry. */
void
raft_restore_members (struct cfs_raft *r)
{
  struct cfs_raft_membership found;

  for (uint64_t i = raft_last_index (r); i > r->snapshot.index; i--)
    {
      const struct cfs_raft_entry *e = raft_entry_at (r, i);

      if (e->kind == CFS_RAFT_ENTRY_MEMBERS && raft_unpack_members (e, &found))
        {
          set_members (r, &found, i);
          return;
        }
    }
  set_members (r, &r->snapshot.members, r->snapshot.index);
}

static void
send_join_to (const struct cfs_raft *r, uint64_t id, const char *host)
{
  Cfs__RaftMsg m;

  raft_init_msg (r, &m, MSG_JOIN, id);
  m.index = raft_last_index (r);
  r->ops->send (r->ctx, host, &m);
}

void
raft_send_join (struct cfs_raft *r, int64_t now)
{
  r->next_join_at = now + RAFT_ELECTION_US;
  for (size_t i = 0; i < r->members.count; i++)
    if (r->members.at[i].id != r->id)
      send_join_to (r, r->members.at[i].id, r->members.at[i].host);
  if (*r->contact)
    send_join_to (r, 0, r->contact);
}

static void
report_change (struct cfs_raft *r, enum cfs_raft_change_kind kind,
               const char *host, const struct cfs_raft_membership *next,
               int64_t now)
{
  int64_t silent_us[RAFT_MEMBERS_MAX];
  struct cfs_raft_change change = { .kind = kind,
                                    .host = host,
                                    .before = &r->members,
                                    .after = next,
                                    .silent_us = silent_us };

  if (!r->ops->report_change)
    return;
  for (size_t i = 0; i < r->members.count; i++)
    silent_us[i] = raft_silence (r, i, now);
  r->ops->report_change (r->ctx, &change);
}

/* Appends a members entry for a change that concerns @host. */
static void
change_members (struct cfs_raft *r, enum cfs_raft_change_kind kind,
                const char *host, const struct cfs_raft_membership *next,
                int64_t now)
{
  uint8_t *data;
  size_t len = raft_pack_members (next, &data);

  report_change (r, kind, host, next, now);
  raft_append_members (r, data, len, now);
  free (data);
}

void
raft_remove_member (struct cfs_raft *r, size_t i,
                    enum cfs_raft_change_kind kind, int64_t now)
{
  struct cfs_raft_membership next = r->members;

  next.at[i] = next.at[next.count - 1];
  next.count--;
  change_members (r, kind, r->members.at[i].host, &next, now);
}

/* A host that was a member before is no successor of another one. */
static void
mark_as_known (struct cfs_raft *r, uint64_t id)
{
  struct raft_peer *p = raft_find_peer (r, id);

  if (p)
    p->joined_at = 0;
}

static void
add_learner (struct cfs_raft *r, const Cfs__RaftMsg *join, int64_t now)
{
  struct cfs_raft_membership next = r->members;
  struct cfs_raft_member *added = &next.at[next.count];

  if (next.count == RAFT_MEMBERS_MAX)
    return;
  added->id = join->from;
  added->voter = false;
  cfs_copy (added->host, CFS_NAME_MAX, join->host);
  next.count++;
  change_members (r, CFS_RAFT_LEARNER_ADDED, added->host, &next, now);
  if (join->index > 0 || strcmp (join->host, r->lost_host) == 0)
    mark_as_known (r, join->from);
}

/* Replaces the member at position i by a learner of the same host. */
static void
replace_identity (struct cfs_raft *r, size_t i, uint64_t id, int64_t now)
{
  struct cfs_raft_membership next = r->members;

  next.at[i].id = id;
  next.at[i].voter = false;
  change_members (r, CFS_RAFT_DISK_LOST, next.at[i].host, &next, now);
  mark_as_known (r, id);
}

void
raft_promote_learner (struct cfs_raft *r, size_t i, size_t min_voters,
                      int64_t now)
{
  struct cfs_raft_membership next = r->members;

  next.at[i].voter = true;
  next.min_voters = min_voters;
  r->promoted_id = next.at[i].id;
  change_members (r, CFS_RAFT_LEARNER_PROMOTED, next.at[i].host, &next, now);
}

bool
raft_can_change_members (const struct cfs_raft *r)
{
  return r->role == RAFT_LEADER && r->commit_index >= r->term_start_index
         && r->members_index <= r->commit_index;
}

/* Whether a learner answers this leader. */
static bool
has_live_learner (const struct cfs_raft *r, int64_t now)
{
  for (size_t i = 0; i < r->members.count; i++)
    if (!r->members.at[i].voter
        && !raft_is_silent (r, i, RAFT_VOTER_SILENT_US, now))
      return true;
  return false;
}

/* Whether a learner still has to catch up and answers.  If the group manages
   its voters, a learner within RAFT_BATCH entries of the commit index may stay
   one; if it does not, every learner is on its way to become a voter. */
static bool
learner_is_catching_up (const struct cfs_raft *r, int64_t now)
{
  for (size_t i = 0; i < r->members.count; i++)
    if (!r->members.at[i].voter
        && !raft_is_silent (r, i, RAFT_VOTER_SILENT_US, now)
        && (!r->manages_voters
            || r->peers[i].match_index + RAFT_BATCH < r->commit_index))
      return true;
  return false;
}

/* A joining host may know followers only: these forward its request, also one
   for a pre-vote, to the leader.  round marks a forwarded request, which is
   not forwarded again. */
static void
forward_join (const struct cfs_raft *r, const Cfs__RaftMsg *m)
{
  const struct cfs_raft_member *leader = raft_find_member (r, r->leader);
  Cfs__RaftMsg copy = *m;

  if (!r->manages_voters || !leader || r->leader == r->id || m->round > 0)
    return;
  copy.type = MSG_JOIN;
  copy.to = r->leader;
  copy.round = 1;
  r->ops->send (r->ctx, leader->host, &copy);
}

/* If the host is a member under another id (it lost its disk), that member is
   removed and the host added as a learner, with one entry: the host stays
   known to the leader, which it may not find through its seeds.  One repair
   finishes before the next begins: no such voter is removed while a learner
   can take its place, and no learner is added while one is catching up.  A
   silent learner does neither. */
void
raft_on_join (struct cfs_raft *r, const Cfs__RaftMsg *m, int64_t now)
{
  size_t i = 0;

  if (r->role != RAFT_LEADER)
    forward_join (r, m);
  if (!raft_can_change_members (r) || raft_find_member (r, m->from))
    return;
  while (i < r->members.count && strcmp (r->members.at[i].host, m->host) != 0)
    i++;
  if (i == r->members.count)
    {
      if (!learner_is_catching_up (r, now))
        add_learner (r, m, now);
    }
  else if (!r->members.at[i].voter || !has_live_learner (r, now))
    replace_identity (r, i, m->from, now);
  else
    {
      r->peers[i].left_at = now;
      cfs_copy (r->lost_host, sizeof r->lost_host, m->host);
    }
}
