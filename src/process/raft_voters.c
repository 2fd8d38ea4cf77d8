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
 * A vote held by a host that never comes back spends a loss as well.  A
 * learner that joined with an empty disk is often the successor of a voter
 * that is to be stopped soon.  So it takes the place of a voter that asks to
 * be replaced, even if another one is silent, and that of a silent one only
 * when no such request has come for RAFT_SUCCESSOR_US.
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

/* Position of a learner that has caught up, is reachable and not about to
   stop, and joined at least @age ago, or the number of members if there is
   none. */
static size_t
find_ready_learner (const struct cfs_raft *r, int64_t age, int64_t now)
{
  size_t i = 0;

  while (i < r->members.count
         && (r->members.at[i].voter || r->peers[i].left_at
             || r->peers[i].match_index < r->commit_index
             || now - r->peers[i].joined_at < age
             || raft_is_silent (r, i, RAFT_ELECTION_US, now)))
    i++;
  return i;
}

/* Whether a member is about to stop. */
static bool
is_leaving (const struct cfs_raft *r, size_t i, int64_t now)
{
  int64_t left_at = r->peers[i].left_at;

  return left_at && now - left_at <= RAFT_LEAVING_US;
}

/* Whether a member is silent, or has stopped after it asked to be replaced. */
static bool
is_unreachable (const struct cfs_raft *r, size_t i, int64_t now)
{
  return r->peers[i].left_at
         || raft_is_silent (r, i, RAFT_VOTER_SILENT_US, now);
}

/* Position of the voter with @property that has been silent for longest, or
   the number of members if none has it. */
static size_t
find_voter (const struct cfs_raft *r,
            bool (*property) (const struct cfs_raft *r, size_t i, int64_t now),
            int64_t now)
{
  size_t found = r->members.count;

  for (size_t i = 0; i < r->members.count; i++)
    if (r->members.at[i].voter && property (r, i, now)
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

/* Whether the last learner that got a vote may be the successor of a voter
   that is about to stop. */
static bool
promoted_successor (const struct cfs_raft *r, int64_t now)
{
  for (size_t i = 0; i < r->members.count; i++)
    if (r->peers[i].id == r->promoted_id)
      return now - r->peers[i].joined_at < RAFT_SUCCESSOR_US;
  return false;
}

/* Position of the voter to remove from a group that has @surplus too many: for
   a successor one that is about to stop; else one that is unreachable or, once
   the surplus has lasted for RAFT_LEARNER_SILENT_US, the last one other than
   the leader.  The number of members if none is to be removed yet. */
static size_t
find_surplus_voter (struct cfs_raft *r, size_t surplus, int64_t now)
{
  size_t leaving = find_voter (r, is_leaving, now);
  size_t silent = find_voter (r, is_unreachable, now);
  size_t last = r->members.count;

  if (leaving < r->members.count && surplus == 1
      && promoted_successor (r, now))
    return leaving;
  if (silent < r->members.count)
    return silent;
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

/* Position of the learner that gets a vote, or the number of members if none
   does: because the group has too few voters, or because one is about to stop
   or unreachable. */
static size_t
find_learner_to_promote (const struct cfs_raft *r, size_t voters,
                         size_t wanted, int64_t now)
{
  size_t none = r->members.count;

  if (voters > wanted)
    return none;
  if (voters < wanted || find_voter (r, is_leaving, now) < none)
    return find_ready_learner (r, 0, now);
  if (find_voter (r, is_unreachable, now) < none)
    return find_ready_learner (r, RAFT_SUCCESSOR_US, now);
  return none;
}

static void
maintain_voters (struct cfs_raft *r, int64_t now)
{
  size_t none = r->members.count;
  size_t voters = cfs_raft_count_voters (&r->members);
  size_t wanted = desired_voters (r, now);
  size_t learner = find_learner_to_promote (r, voters, wanted, now);
  size_t surplus;
  size_t silent;

  if (voters <= wanted)
    r->surplus_voters_since = 0;
  if (learner < none)
    {
      raft_promote_learner (r, learner,
                            r->lost_disks ? required_voters (r) : wanted, now);
      return;
    }
  surplus
      = voters > wanted ? find_surplus_voter (r, voters - wanted, now) : none;
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
  if (r->manages_voters)
    {
      maintain_voters (r, now);
      return;
    }
  learner = find_ready_learner (r, 0, now);
  if (learner < r->members.count)
    raft_promote_learner (r, learner, r->members.min_voters, now);
}

void
raft_on_leave (struct cfs_raft *r, const Cfs__RaftMsg *m, int64_t now)
{
  struct raft_peer *p = raft_find_peer (r, m->from);
  Cfs__RaftMsg reply;

  if (p)
    {
      p->left_at = now;
      return;
    }
  if (!raft_can_change_members (r))
    return;
  raft_init_msg (r, &reply, MSG_LEFT, m->from);
  r->ops->send (r->ctx, m->host, &reply);
}

void
raft_on_left (struct cfs_raft *r, const Cfs__RaftMsg *m)
{
  if (r->stopping && m->term >= r->term)
    r->has_left = true;
}

static bool
has_learner (const struct cfs_raft *r)
{
  return cfs_raft_count_voters (&r->members) < r->members.count;
}

static void
send_leave (struct cfs_raft *r)
{
  for (size_t i = 0; i < r->members.count; i++)
    {
      Cfs__RaftMsg m;

      raft_init_msg (r, &m, MSG_LEAVE, r->members.at[i].id);
      if (m.to != r->id)
        raft_send_to (r, &m);
    }
}

/* Whether this host has to wait for its replacement.  One that is a member no
   more has not left before the entry with its removal is committed. */
static bool
awaits_replacement (const struct cfs_raft *r)
{
  const struct cfs_raft_member *self = raft_find_member (r, r->id);

  if (r->has_left)
    return false;
  if (!self)
    return r->members_index > r->commit_index;
  return self->voter
         && (has_learner (r)
             || cfs_raft_count_voters (&r->members) > required_voters (r));
}

bool
cfs_raft_leave (struct cfs_raft *r, int64_t now)
{
  struct raft_peer *p = raft_find_peer (r, r->id);

  r->stopping = true;
  if (p)
    p->left_at = now;
  send_leave (r);
  return awaits_replacement (r);
}
