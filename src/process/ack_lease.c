/*
 * A heartbeat reply carries the failovers that were opened since the last one,
 * so a reply without any confirms all leases of the host at once and costs
 * nothing.  A lease is counted from when the host sent the heartbeat, by a
 * clock that also runs while the machine sleeps.
 *
 * The position in a reply may be higher than that of the commit which it
 * acknowledges, because the log goes on to grow.  A host reports the highest,
 * which no acknowledged commit exceeds.
 */
#include "ack_lease.h"

#include <stdlib.h>
#include <string.h>

/* Highest position of a service that an acknowledgement came with. */
struct passed_ack
{
  char service[CFS_NAME_MAX];
  struct cfs_position position;
};

/* A service of which a host passes on no acknowledgements, since it knows the
   failover record with a log index. */
struct ack_stop
{
  char service[CFS_NAME_MAX];
  uint64_t index;
  struct cfs_position highest;
};

/* What a host has reported, in the order of services. */
struct host_stops
{
  char host[CFS_NAME_MAX];
  struct ack_stop *items;
  size_t count;
  size_t cap;
};

bool
cfs_ack_lease_valid (const struct cfs_fleet *f, const char *service,
                     const char *target, int64_t now)
{
  const struct cfs_failover *failover
      = cfs_table_find (&f->failovers, service);
  const struct cfs_target *primary;

  if (failover && failover->open)
    return false;
  if (now - cfs_fleet_informed_at (f) >= ACK_LEASE_US)
    return false;
  primary = cfs_targets_presumed_primary (&f->targets, &f->failovers, service);
  return primary && strcmp (primary->id, target) == 0;
}

void
cfs_passed_acks_init (struct cfs_passed_acks *a)
{
  cfs_table_init (&a->services, sizeof (struct passed_ack));
}

void
cfs_passed_acks_end (struct cfs_passed_acks *a)
{
  cfs_table_end (&a->services);
}

void
cfs_passed_acks_add (struct cfs_passed_acks *a, const char *service,
                     const struct cfs_position *position)
{
  struct passed_ack *ack = cfs_table_add (&a->services, service);

  if (cfs_position_compare (position, &ack->position) > 0)
    ack->position = *position;
}

size_t
cfs_passed_acks_stops (const struct cfs_passed_acks *a,
                       const struct cfs_fleet *f, Cfs__AckStop *out,
                       size_t max)
{
  size_t count = 0;

  for (size_t i = 0; i < f->failovers.count && count < max; i++)
    {
      const struct cfs_failover *failover = cfs_table_at (&f->failovers, i);
      const struct passed_ack *ack;
      Cfs__AckStop *stop = &out[count];

      if (!failover->open)
        continue;
      ack = cfs_table_find (&a->services, failover->service);
      cfs__ack_stop__init (stop);
      stop->service = (char *)failover->service;
      stop->changed = failover->changed;
      stop->term = ack ? ack->position.term : 0;
      stop->number = ack ? ack->position.number : 0;
      count++;
    }
  return count;
}

void
cfs_ack_stops_init (struct cfs_ack_stops *s)
{
  cfs_table_init (&s->hosts, sizeof (struct host_stops));
}

void
cfs_ack_stops_clear (struct cfs_ack_stops *s)
{
  for (size_t i = 0; i < s->hosts.count; i++)
    ((struct host_stops *)cfs_table_at (&s->hosts, i))->count = 0;
}

void
cfs_ack_stops_end (struct cfs_ack_stops *s)
{
  for (size_t i = 0; i < s->hosts.count; i++)
    free (((struct host_stops *)cfs_table_at (&s->hosts, i))->items);
  cfs_table_end (&s->hosts);
}

static int
compare_services (const void *a, const void *b)
{
  return strcmp (((const struct ack_stop *)a)->service,
                 ((const struct ack_stop *)b)->service);
}

void
cfs_ack_stops_record (struct cfs_ack_stops *s, const char *host,
                      const Cfs__AckStop *const *reports, size_t count)
{
  struct host_stops *h = cfs_table_add (&s->hosts, host);

  h->count = 0;
  for (size_t i = 0; i < count; i++)
    {
      struct ack_stop *stop;

      cfs_grow (&h->items, &h->cap, h->count, sizeof *h->items);
      stop = &h->items[h->count++];
      cfs_copy (stop->service, sizeof stop->service, reports[i]->service);
      stop->index = reports[i]->changed;
      stop->highest.term = reports[i]->term;
      stop->highest.number = reports[i]->number;
    }
  if (h->count)
    qsort (h->items, h->count, sizeof *h->items, compare_services);
}

bool
cfs_ack_stops_find (const struct cfs_ack_stops *s, const char *host,
                    const char *service, uint64_t since_index,
                    struct cfs_position *highest)
{
  const struct host_stops *h = cfs_table_find (&s->hosts, host);
  struct ack_stop key;
  const struct ack_stop *stop;

  if (!h || !h->count)
    return false;
  cfs_copy (key.service, sizeof key.service, service);
  stop
      = bsearch (&key, h->items, h->count, sizeof *h->items, compare_services);
  if (!stop || stop->index < since_index)
    return false;
  if (cfs_position_compare (&stop->highest, highest) > 0)
    *highest = stop->highest;
  return true;
}
