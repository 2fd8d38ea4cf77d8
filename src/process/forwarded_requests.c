/*
 * The leader replies to a patch only once it is in force, to other requests at
 * once, so a patch is sent again later.
 */
#include "forwarded_requests.h"

#include "control.h"

#include <stdlib.h>

/* Interval at which a forwarded request without a reply is sent again. */
#define REQUEST_RETRY_US (700 * CFS_US_PER_MS)
/* The same after the host replied that it is not leader. */
#define REQUEST_REFUSED_RETRY_US (50 * CFS_US_PER_MS)

void
forwarded_requests_add (struct forwarded_requests *l, Cfs__Peer *message,
                        int64_t now)
{
  struct forwarded_request *q;

  cfs_grow (&l->at, &l->cap, l->count, sizeof *l->at);
  q = &l->at[l->count++];
  q->message = message;
  q->received_at = now;
  q->sent_at = 0;
  q->refused = false;
}

struct forwarded_request *
forwarded_requests_find (const struct forwarded_requests *l, uint64_t id)
{
  for (size_t i = 0; i < l->count; i++)
    if (l->at[i].message->call->id == id)
      return &l->at[i];
  return NULL;
}

void
forwarded_requests_remove (struct forwarded_requests *l,
                           struct forwarded_request *request)
{
  cfs__peer__free_unpacked (request->message, NULL);
  *request = l->at[--l->count];
}

void
forwarded_requests_end (struct forwarded_requests *l)
{
  while (l->count)
    forwarded_requests_remove (l, &l->at[0]);
  free (l->at);
}

static int64_t
retry_interval (const struct forwarded_request *q)
{
  if (q->refused)
    return REQUEST_REFUSED_RETRY_US;
  if (q->message->call->kind == OPERATOR_PATCH)
    return IN_FORCE_WAIT_US + CFS_US_PER_S;
  return REQUEST_RETRY_US;
}

bool
forwarded_request_due (const struct forwarded_request *q, int64_t now)
{
  return q->sent_at == 0 || now - q->sent_at > retry_interval (q);
}
