/*
 * A host learns of a failover with the reply to its next heartbeat.  Until all
 * hosts know that one was opened, nothing can be promoted, and until a host
 * knows that it was closed, that host commits nothing.  So the leader requests
 * a heartbeat of each host that does not know the change.  A request that is
 * lost costs one heartbeat interval.
 */
#include "control_int.h"

/* Requests sent at a time, so that many hosts do not reply at once. */
#define REQUESTS_PER_TICK 16

/**
 * struct informed_host - a host that sends heartbeats to this leader
 * @origin: of its last heartbeat
 * @index: log index of what it knows or was requested to ask for
 */
struct informed_host
{
  char name[CFS_NAME_MAX];
  struct cfs_origin origin;
  uint64_t index;
};

void
control_notify_init (struct control_notify *n)
{
  cfs_table_init (&n->hosts, sizeof (struct informed_host));
}

void
control_notify_end (struct control_notify *n)
{
  cfs_table_end (&n->hosts);
}

void
control_notify_replied (struct cfs_control *c, const char *host,
                        const struct cfs_origin *from)
{
  struct informed_host *h = cfs_table_add (&c->notify.hosts, host);

  h->origin = *from;
  h->index = c->state.directory_index;
}

static void
find_newest_change (struct cfs_control *c)
{
  struct control_notify *n = &c->notify;
  const struct cfs_table *failovers = &c->state.failovers;

  if (n->directory == c->state.directory_index)
    return;
  n->directory = c->state.directory_index;
  for (size_t i = 0; i < failovers->count; i++)
    {
      const struct cfs_failover *f = cfs_table_at (failovers, i);

      if (f->changed > n->newest)
        n->newest = f->changed;
    }
}

static void
request_heartbeat (struct cfs_control *c, const struct informed_host *h)
{
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__HeartbeatRequest request = CFS__HEARTBEAT_REQUEST__INIT;

  out.body_case = CFS__PEER__BODY_HEARTBEAT_REQUEST;
  out.heartbeat_request = &request;
  cfs_net_reply (c->net, &h->origin, &out);
}

void
control_notify_tick (struct cfs_control *c, bool confirmed)
{
  struct control_notify *n = &c->notify;
  unsigned sent = 0;

  if (!confirmed)
    n->hosts.count = 0;
  find_newest_change (c);
  for (size_t i = 0; i < n->hosts.count && sent < REQUESTS_PER_TICK; i++)
    {
      struct informed_host *h = cfs_table_at (&n->hosts, i);

      if (h->index >= n->newest)
        continue;
      h->index = n->newest;
      request_heartbeat (c, h);
      sent++;
    }
}
