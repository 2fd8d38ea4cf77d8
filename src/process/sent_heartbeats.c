/*
 * The slot of a heartbeat follows from its number.
 */
#include "sent_heartbeats.h"

void
sent_heartbeats_add (struct sent_heartbeats *s,
                     const struct sent_heartbeat *heartbeat)
{
  s->at[heartbeat->seq % SENT_HEARTBEATS_MAX] = *heartbeat;
}

const struct sent_heartbeat *
sent_heartbeats_find (const struct sent_heartbeats *s, uint64_t seq)
{
  const struct sent_heartbeat *h = &s->at[seq % SENT_HEARTBEATS_MAX];

  return h->seq == seq && seq > s->accepted ? h : NULL;
}

void
sent_heartbeats_accept (struct sent_heartbeats *s, uint64_t seq)
{
  if (seq > s->accepted)
    s->accepted = seq;
}

bool
sent_heartbeats_demand_after (const struct sent_heartbeats *s, uint64_t seq)
{
  for (size_t i = 0; i < SENT_HEARTBEATS_MAX; i++)
    if (s->at[i].seq > seq && s->at[i].demand)
      return true;
  return false;
}
