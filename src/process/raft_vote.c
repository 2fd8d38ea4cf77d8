/*
 * Elections.  A pre-vote round precedes each election: a voter increments its
 * term only if a majority would vote for it, so that a voter which was
 * partitioned away does not depose the leader when it returns.  A voter that
 * heard from a leader within RAFT_ELECTION_US grants no vote, except to that
 * leader itself: it asks for votes only after its lead has ended.  A leader
 * whose whole group restarts thus leads again without an election timeout.
 */
#include "raft_int.h"

int64_t
raft_election_delay (struct cfs_raft *r)
{
  return RAFT_ELECTION_US
         + (int64_t)(cfs_random (&r->seed) % (uint64_t)RAFT_ELECTION_US);
}

static void
request_votes (struct cfs_raft *r, enum raft_msg_type type, uint64_t term)
{
  for (size_t i = 0; i < r->members.count; i++)
    {
      Cfs__RaftMsg m;

      r->peers[i].vote_granted = r->peers[i].id == r->id;
      if (r->peers[i].vote_granted || !r->members.at[i].voter)
        continue;
      raft_init_msg (r, &m, type, r->peers[i].id);
      m.term = term;
      if (type == MSG_PREVOTE && r->stopping)
        m.hint = HINT_STOPPING;
      m.index = raft_last_index (r);
      m.log_term = raft_term_at (r, m.index);
      raft_send_to (r, &m);
    }
}

static size_t
count_granted (const struct cfs_raft *r)
{
  size_t count = 0;

  for (size_t i = 0; i < r->members.count; i++)
    count += r->members.at[i].voter && r->peers[i].vote_granted;
  return count;
}

static bool
has_won (const struct cfs_raft *r)
{
  return count_granted (r) >= raft_majority (r);
}

static void
start_election (struct cfs_raft *r, int64_t now)
{
  r->election_due_at = now + raft_election_delay (r);
  if (raft_set_term (r, r->term + 1, r->id) != CFS_OK)
    {
      raft_become_follower (r, 0, now);
      return;
    }
  r->role = RAFT_CANDIDATE;
  request_votes (r, MSG_VOTE, r->term);
  if (has_won (r))
    raft_become_leader (r, now);
}

void
raft_start_prevote (struct cfs_raft *r, int64_t now)
{
  if (r->role == RAFT_PRECANDIDATE)
    r->last_granted = count_granted (r);
  r->role = RAFT_PRECANDIDATE;
  r->leader = 0;
  r->election_due_at
      = now + RAFT_RETRY_US
        + (int64_t)(cfs_random (&r->seed) % (uint64_t)RAFT_RETRY_US);
  request_votes (r, MSG_PREVOTE, r->term + 1);
  if (has_won (r))
    start_election (r, now);
}

static bool
candidate_log_is_current (const struct cfs_raft *r, const Cfs__RaftMsg *m)
{
  uint64_t term = raft_term_at (r, raft_last_index (r));

  if (m->log_term != term)
    return m->log_term > term;
  return m->index >= raft_last_index (r);
}

/* Whether a leader other than @candidate may still rely on this voter.  The
   stored vote names the leader that this voter follows in its term: it is set
   before the first append of a leader is answered. */
static bool
may_follow_other (const struct cfs_raft *r, uint64_t candidate, int64_t now)
{
  if (r->role == RAFT_LEADER)
    return true;
  return r->vote != candidate && now - r->heard_at < RAFT_ELECTION_US;
}

void
raft_on_prevote (struct cfs_raft *r, const Cfs__RaftMsg *m, int64_t now)
{
  Cfs__RaftMsg reply;

  raft_init_msg (r, &reply, MSG_PREVOTE_REPLY, m->from);
  reply.reject = may_follow_other (r, m->from, now) || m->term <= r->term
                 || !candidate_log_is_current (r, m);
  reply.term = reply.reject ? r->term : m->term;
  r->ops->send (r->ctx, m->host, &reply);
}

void
raft_on_vote (struct cfs_raft *r, const Cfs__RaftMsg *m, int64_t now)
{
  Cfs__RaftMsg reply;
  bool grant;

  if (may_follow_other (r, m->from, now))
    return;
  if (m->term > r->term && raft_set_term (r, m->term, 0) == CFS_OK)
    raft_become_follower (r, 0, now);
  grant = m->term == r->term && (r->vote == 0 || r->vote == m->from)
          && candidate_log_is_current (r, m);
  if (grant && r->vote == 0 && raft_set_term (r, r->term, m->from) != CFS_OK)
    return;
  if (grant)
    r->election_due_at = now + raft_election_delay (r);
  raft_init_msg (r, &reply, MSG_VOTE_REPLY, m->from);
  reply.reject = !grant;
  r->ops->send (r->ctx, m->host, &reply);
}

void
raft_on_vote_reply (struct cfs_raft *r, const Cfs__RaftMsg *m, int64_t now)
{
  bool pre = m->type == MSG_PREVOTE_REPLY;
  struct raft_peer *p = raft_find_peer (r, m->from);

  if (m->reject && m->term > r->term)
    {
      if (raft_set_term (r, m->term, 0) == CFS_OK)
        raft_become_follower (r, 0, now);
      return;
    }
  if (!p || m->reject)
    return;
  if (pre && (r->role != RAFT_PRECANDIDATE || m->term != r->term + 1))
    return;
  if (!pre && (r->role != RAFT_CANDIDATE || m->term != r->term))
    return;
  p->vote_granted = true;
  if (!has_won (r))
    return;
  if (pre)
    start_election (r, now);
  else
    raft_become_leader (r, now);
}
