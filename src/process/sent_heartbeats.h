/**
 * DOC: Heartbeats that a host has sent to control hosts, and which of them may
 * still be replied to.
 *
 * A control host that is busy replies late, when the host has sent its next
 * heartbeat already, perhaps to another control host.  Such a reply is as good
 * as one in time, because a lease is counted from when its heartbeat was sent.
 */
#ifndef CFS_SENT_HEARTBEATS_H
#define CFS_SENT_HEARTBEATS_H

#include "../cfs.h"

/* Number of heartbeats that are remembered. */
#define SENT_HEARTBEATS_MAX 16

/**
 * struct sent_heartbeat - one heartbeat
 * @seq: its number, 0 if the slot is unused
 * @sent_at: when it was sent
 * @host: control host it was sent to
 * @demand: it reported the demand of teams
 */
struct sent_heartbeat
{
  uint64_t seq;
  int64_t sent_at;
  char host[CFS_NAME_MAX];
  bool demand;
};

/**
 * struct sent_heartbeats - the last heartbeats, in a ring
 * @accepted: number of the newest one whose reply was accepted
 */
struct sent_heartbeats
{
  struct sent_heartbeat at[SENT_HEARTBEATS_MAX];
  uint64_t accepted;
};

/** sent_heartbeats_add() - records a heartbeat; copies it */
void sent_heartbeats_add (struct sent_heartbeats *sent,
                          const struct sent_heartbeat *heartbeat);

/**
 * sent_heartbeats_find() - the heartbeat that a reply belongs to
 *
 * Return: the heartbeat, or NULL if it is not remembered any more, or the
 * reply to it or to a newer one was accepted.
 */
const struct sent_heartbeat *
sent_heartbeats_find (const struct sent_heartbeats *sent, uint64_t seq);

/** sent_heartbeats_accept() - the reply to a heartbeat was accepted; replies
 * to older ones no longer count */
void sent_heartbeats_accept (struct sent_heartbeats *sent, uint64_t seq);

/** sent_heartbeats_demand_after() - whether a heartbeat after @seq reported
 * demand */
bool sent_heartbeats_demand_after (const struct sent_heartbeats *sent,
                                   uint64_t seq);

#endif
