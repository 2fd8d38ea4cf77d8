/*
 * Writes that are committed at the primary and wait until a majority of the
 * instances has them.  They are checked after every probe reply, at every
 * tick and after every change of term.  The lease is checked right before
 * the reply.
 */
#include "gate_int.h"

#include <string.h>

/* Number of instances that have the current term's history up to @position,
   the primary included. */
static unsigned
count_replicated (const struct cfs_gate *g, uint64_t position)
{
  int primary = gate_primary (g);
  unsigned n = 1;

  for (unsigned i = 0; i < g->inst_count; i++)
    n += (int)i != primary && g->inst[i].term == g->group.term
         && g->inst[i].position >= position;
  return n;
}

/* A write that was committed in an earlier term and is part of the current
   history has the same position in the current term, but a majority must
   have it in that term. */
static bool
may_acknowledge (const struct cfs_gate *g, struct cfs_gate_reply *reply)
{
  if (reply->term < g->group.term
      && route_check_token (&g->group, reply->term, reply->position)
             == TOKEN_VALID)
    reply->term = g->group.term;
  if (reply->term != g->group.term)
    return false;
  if (g->phase != PHASE_SERVING && g->phase != PHASE_REQUESTING_TERM)
    return false;
  if (g->ack_primary)
    return g->phase == PHASE_SERVING;
  return count_replicated (g, reply->position) >= gate_majority (g);
}

/* Replies to a pending write or retries it, if its outcome is decided.
   Returns whether that was so. */
static bool
resolve_ack (struct cfs_gate *g, struct gate_pending_ack *a, int64_t now)
{
  struct cfs_gate_reply *reply = &a->reply;
  struct cfs_request *r = a->request;

  if (!gate_lease_valid (g, now))
    {
      reply->code = CFS_CODE_NO_LEASE;
      reply->outcome = CFS_UNKNOWN;
    }
  else if (may_acknowledge (g, reply))
    {
      reply->code = CFS_CODE_OK;
      reply->outcome = CFS_DONE;
    }
  else if (reply->term < g->group.term)
    {
      if (*r->key && gate_retry (g, r, now))
        {
          g->ops->discard (g->ctx, reply->body);
          return true;
        }
      reply->code = CFS_CODE_SUPERSEDED;
      reply->outcome = CFS_UNKNOWN;
    }
  else if (now >= r->deadline)
    {
      reply->code = CFS_CODE_DEADLINE;
      reply->outcome = CFS_UNKNOWN;
    }
  else
    return false;
  g->ops->reply (g->ctx, r, reply);
  return true;
}

void
gate_check_acks (struct cfs_gate *g, int64_t now)
{
  size_t remaining = 0;

  /* Invariant: entries before remaining are pending; those from remaining
     to i are resolved. */
  for (size_t i = 0; i < g->pending_ack_count; i++)
    if (!resolve_ack (g, &g->pending_acks[i], now))
      g->pending_acks[remaining++] = g->pending_acks[i];
  g->pending_ack_count = remaining;
}

void
gate_wait_for_majority (struct cfs_gate *g, struct cfs_request *r,
                        const struct cfs_work_result *res, int64_t now)
{
  struct gate_pending_ack *a;

  cfs_grow (&g->pending_acks, &g->pending_ack_cap, g->pending_ack_count,
            sizeof *g->pending_acks);
  a = &g->pending_acks[g->pending_ack_count++];
  memset (a, 0, sizeof *a);
  a->request = r;
  a->reply.term = res->term;
  a->reply.position = res->position;
  a->reply.body = res->body;
  gate_check_acks (g, now);
}
