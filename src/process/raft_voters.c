/*
 * Voters: promotion of learners, replacement of voters that are silent or
 * stop, and the number of voters.
 *
 * A group that has to bear f lost disks needs 2f + 1 voters.  Then any f of
 * them may lose their disks while any others are down: each committed entry is
 * on f + 1 disks, of which one is left, and once the others are back, f + 1
 * voters are left, a majority that can elect it.  A voter that is down keeps
 * its disk, so it may be replaced by a learner, which keeps the number, but
 * not removed because it is silent: that would spend a loss which can still
 * come.  A voter whose host joins with an empty disk has spent its loss; until
 * the host votes again, 2f - 1 voters suffice.
 *
 * f is a setting.  Without it, a group that had RAFT_LARGE_GROUP live members
 * once keeps RAFT_VOTERS_LARGE_GROUP voters; the members entries hold that
 * number, so that all leaders agree on it.
 */
#include "raft_int.h"

int64_t
raft_silence (const struct cfs_raft *r, size_t i, int64_t now)
{
  return r->peers[i].id == r->id ? 0 : now - r->peers[i].acked_at;
}

bool
raft_is_silent (const struct cfs_raft *r, size_t i, int64_t bound, int64_t now)
{
  return raft_silence (r, i, now) > bound;
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
             || raft_is_silent (r, i, RAFT_ELECTION_US, now)))
    i++;
  return i;
}

/* Whether a voter is unreachable or about to stop.  A request to leave is
   repeated until the process ends; a voter that made none for a while has
   started again. */
static bool
is_replaceable (const struct cfs_raft *r, size_t i, int64_t now)
{
  const struct raft_peer *p = &r->peers[i];

  return r->members.at[i].voter
         && (raft_is_silent (r, i, RAFT_VOTER_SILENT_US, now)
             || (p->left_at && now - p->left_at <= RAFT_VOTER_SILENT_US));
}

/* Position of the replaceable voter that has been silent for longest, or the
   number of members if there is none. */
static size_t
find_replaceable_voter (const struct cfs_raft *r, int64_t now)
{
  size_t found = r->members.count;

  for (size_t i = 0; i < r->members.count; i++)
    if (is_replaceable (r, i, now)
        && (found == r->members.count
            || raft_silence (r, i, now) > raft_silence (r, found, now)))
      found = i;
  return found;
}

/* Number of voters below which the group is not reduced. */
static size_t
required_voters (const struct cfs_raft *r)
{
  return r->lost_disks ? 2 * r->lost_disks + 1 : r->members.min_voters;
}

static size_t
count_live (const struct cfs_raft *r, int64_t bound, int64_t now)
{
  size_t live = 0;

  for (size_t i = 0; i < r->members.count; i++)
    live += !raft_is_silent (r, i, bound, now);
  return live;
}

/* Members that answer this leader now. */
static size_t
count_answering (const struct cfs_raft *r, int64_t now)
{
  size_t answering = 0;

  for (size_t i = 0; i < r->members.count; i++)
    answering += (r->peers[i].id == r->id || r->peers[i].match_index > 0)
                 && !raft_is_silent (r, i, RAFT_ELECTION_US, now);
  return answering;
}

/* Whether the group has RAFT_LARGE_GROUP members.  It grows only for members
   that answer, since a host that was replaced counts beside its successor for
   a while otherwise. */
static bool
is_large (const struct cfs_raft *r, int64_t now)
{
  if (cfs_raft_count_voters (&r->members) > RAFT_VOTERS_SMALL_GROUP
      && count_live (r, RAFT_LEARNER_SILENT_US, now) >= RAFT_LARGE_GROUP)
    return true;
  return count_answering (r, now) >= RAFT_LARGE_GROUP;
}

static size_t
desired_voters (const struct cfs_raft *r, int64_t now)
{
  size_t by_size
      = is_large (r, now) ? RAFT_VOTERS_LARGE_GROUP : RAFT_VOTERS_SMALL_GROUP;

  return by_size > required_voters (r) ? by_size : required_voters (r);
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
             || !raft_is_silent (r, i, RAFT_LEARNER_SILENT_US, now)))
    i++;
  return i;
}

static void
maintain_voters (struct cfs_raft *r, size_t learner, int64_t now)
{
  size_t none = r->members.count;
  size_t voters = cfs_raft_count_voters (&r->members);
  size_t wanted = desired_voters (r, now);
  bool fails = find_replaceable_voter (r, now) < none;
  size_t surplus;
  size_t silent;

  if (voters <= wanted)
    r->surplus_voters_since = 0;
  if (learner < none && (voters < wanted || (voters == wanted && fails)))
    {
      raft_promote_learner (r, learner,
                            r->lost_disks ? required_voters (r) : wanted, now);
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
    raft_promote_learner (r, learner, r->members.min_voters, now);
}

void
raft_on_leave (struct cfs_raft *r, const Cfs__RaftMsg *m, int64_t now)
{
  struct raft_peer *p = raft_find_peer (r, m->from);

  if (p)
    p->left_at = now;
}

static bool
has_learner (const struct cfs_raft *r)
{
  return cfs_raft_count_voters (&r->members) < r->members.count;
}

bool
cfs_raft_leave (struct cfs_raft *r, int64_t now)
{
  const struct cfs_raft_member *self = raft_find_member (r, r->id);
  struct raft_peer *p = raft_find_peer (r, r->id);
  Cfs__RaftMsg m;

  if (!self || !self->voter
      || (!has_learner (r)
          && cfs_raft_count_voters (&r->members) <= required_voters (r)))
    return false;
  p->left_at = now;
  raft_init_msg (r, &m, MSG_LEAVE, r->leader);
  if (r->leader && r->leader != r->id)
    raft_send_to (r, &m);
  return true;
}
