/*
 * Voters: promotion of learners, replacement of voters that are silent or
 * stop, and the number of voters.
 */
#include "raft_int.h"

static bool
is_silent (const struct cfs_raft *r, size_t i, int64_t bound, int64_t now)
{
  return r->peers[i].id != r->id && now - r->peers[i].acked_at > bound;
}

/* Position of a learner that has caught up and is reachable, or the number of
   members if there is none. */
static size_t
find_ready_learner (const struct cfs_raft *r, int64_t now)
{
  size_t i = 0;

  while (i < r->members.count
         && (r->members.at[i].voter
             || r->peers[i].match_index < r->commit_index
             || is_silent (r, i, RAFT_ELECTION_US, now)))
    i++;
  return i;
}

/* Position of a voter that is unreachable or about to stop, or the number of
   members if there is none. */
static size_t
find_replaceable_voter (const struct cfs_raft *r, int64_t now)
{
  size_t i = 0;

  while (i < r->members.count
         && (!r->members.at[i].voter
             || !(r->peers[i].leaving
                  || is_silent (r, i, RAFT_VOTER_SILENT_US, now))))
    i++;
  return i;
}

static size_t
desired_voters (const struct cfs_raft *r, int64_t now)
{
  size_t alive = 0;

  for (size_t i = 0; i < r->members.count; i++)
    alive += !is_silent (r, i, RAFT_LEARNER_SILENT_US, now);
  return alive >= RAFT_LARGE_GROUP ? RAFT_VOTERS_LARGE_GROUP
                                   : RAFT_VOTERS_SMALL_GROUP;
}

/* Position of the voter to remove from a group that has too many: one that is
   unreachable or about to stop or, once the surplus has lasted for
   RAFT_LEARNER_SILENT_US, the last one other than the leader.  The number of
   members if none is to be removed yet. */
static size_t
find_surplus_voter (struct cfs_raft *r, int64_t now)
{
  size_t failing = find_replaceable_voter (r, now);
  size_t last = r->members.count;

  if (failing < r->members.count)
    return failing;
  if (!r->surplus_voters_since)
    r->surplus_voters_since = now;
  if (now - r->surplus_voters_since < RAFT_LEARNER_SILENT_US)
    return r->members.count;
  for (size_t i = 0; i < r->members.count; i++)
    if (r->members.at[i].voter && r->members.at[i].id != r->id)
      last = i;
  return last;
}

/* Position of a learner that has been silent for so long that it is removed,
   or the number of members if there is none. */
static size_t
find_silent_learner (const struct cfs_raft *r, int64_t now)
{
  size_t i = 0;

  while (i < r->members.count
         && (r->members.at[i].voter
             || !is_silent (r, i, RAFT_LEARNER_SILENT_US, now)))
    i++;
  return i;
}

static void
maintain_voters (struct cfs_raft *r, size_t learner, int64_t now)
{
  size_t none = r->members.count;
  size_t voters = raft_count_voters (&r->members);
  size_t wanted = desired_voters (r, now);
  bool fails = find_replaceable_voter (r, now) < none;
  size_t surplus;
  size_t silent;

  if (voters <= wanted)
    r->surplus_voters_since = 0;
  if (learner < none && (voters < wanted || (voters == wanted && fails)))
    {
      raft_promote_learner (r, learner, now);
      return;
    }
  surplus = voters > wanted ? find_surplus_voter (r, now) : none;
  silent = find_silent_learner (r, now);
  if (surplus < none)
    raft_remove_member (r, surplus, CFS_RAFT_VOTER_REMOVED, now);
  else if (silent < none)
    raft_remove_member (r, silent, CFS_RAFT_LEARNER_REMOVED, now);
}

void
raft_maintain_members (struct cfs_raft *r, int64_t now)
{
  size_t learner;

  if (!raft_can_change_members (r))
    return;
  learner = find_ready_learner (r, now);
  if (r->manages_voters)
    maintain_voters (r, learner, now);
  else if (learner < r->members.count)
    raft_promote_learner (r, learner, now);
}

void
raft_on_leave (struct cfs_raft *r, const Cfs__RaftMsg *m)
{
  struct raft_peer *p = raft_find_peer (r, m->from);

  if (p)
    p->leaving = true;
}

bool
cfs_raft_leave (struct cfs_raft *r, int64_t now)
{
  const struct cfs_raft_member *self = raft_find_member (r, r->id);
  struct raft_peer *p = raft_find_peer (r, r->id);
  Cfs__RaftMsg m;

  (void)now;
  if (!self || !self->voter
      || (!raft_has_learner (r)
          && raft_count_voters (&r->members) <= RAFT_VOTERS_SMALL_GROUP))
    return false;
  p->leaving = true;
  raft_init_msg (r, &m, MSG_LEAVE, r->leader);
  if (r->leader && r->leader != r->id)
    raft_send_to (r, &m);
  return true;
}
