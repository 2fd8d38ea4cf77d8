/**
 * DOC: Log lines about the members of the control group: each change of the
 * membership, and the time without a leader.
 *
 * They tell apart why a group cannot elect a leader: too few of its voters
 * answer, or the voters that answer refuse.
 */
#ifndef CFS_CONTROL_MEMBERS_H
#define CFS_CONTROL_MEMBERS_H

#include "raft.h"

/**
 * struct control_members_log - state of the log lines
 * @led_at: when this host was last the leader, 0 if it was not
 * @logged_at: time of the last line about the time without a leader
 */
struct control_members_log
{
  int64_t led_at;
  int64_t logged_at;
};

/**
 * control_members_log_change() - logs a change of the membership
 * @change: the change, which this host proposes as leader
 * @term: term of this host
 */
void control_members_log_change (const struct cfs_raft_change *change,
                                 uint64_t term);

/**
 * control_members_log_election() - logs that there has been no leader for some
 * time, again and again while that lasts
 * @log: state of the log lines
 * @raft: the replicated log of this host
 * @now: current time
 */
void control_members_log_election (struct control_members_log *log,
                                   const struct cfs_raft *raft, int64_t now);

#endif
