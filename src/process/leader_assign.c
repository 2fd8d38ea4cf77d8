/*
 * Assignment of gates and limiters to hosts.  The new holder is chosen by
 * rendezvous hashing among the live hosts, those in the zone of the primary
 * first: this needs no table and moves few resources when hosts come or go.
 */
#include "leader_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ASSIGN_BATCH 256

static struct cfs_host *
find_holder (const struct cfs_leader *l, const struct cfs_lease *lease)
{
  return cfs_table_find (&l->hosts, lease->holder);
}

static bool
is_released (const struct cfs_leader *l, const struct cfs_lease *lease)
{
  const struct release *r = cfs_table_find (&l->releases, lease->resource);

  return r && r->epoch == lease->epoch;
}

/* Whether the holder certainly no longer acts on the lease: it released it, or
   its lease expired.  A holder unknown to this leader counts as leased by an
   earlier leader until grace_end. */
static bool
is_free (const struct cfs_leader *l, const struct cfs_lease *lease,
         int64_t now)
{
  const struct cfs_host *h;

  if (lease->epoch == 0 || is_released (l, lease))
    return true;
  h = find_holder (l, lease);
  if (!h)
    return now > l->grace_end;
  if (h->boot != lease->boot)
    return now > h->old_boot_lease_end && now > l->grace_end;
  return now > h->lease_end;
}

static bool
is_eligible_holder (const struct cfs_host *h, int64_t now)
{
  return !h->draining && now - h->seen_at < HOST_FRESH_US
         && now < h->lease_end;
}

static const struct cfs_host *
choose_host (const struct cfs_leader *l, const char *resource,
             const char *zone, int64_t now)
{
  const struct cfs_host *best = NULL;
  uint64_t best_score = 0;
  bool best_near = false;

  for (size_t i = 0; i < l->hosts.count; i++)
    {
      const struct cfs_host *h = cfs_table_at (&l->hosts, i);
      uint64_t seed = cfs_hash (h->name, strlen (h->name), 1);
      uint64_t score = cfs_hash (resource, strlen (resource), seed);
      bool near = zone && strcmp (zone, h->zone) == 0;

      if (!is_eligible_holder (h, now))
        continue;
      if (best
          && (near < best_near || (near == best_near && score <= best_score)))
        continue;
      best = h;
      best_score = score;
      best_near = near;
    }
  return best;
}

/* Assignments of one tick, proposed as one command; from[i] is the host that
   assignment i takes the resource from, or NULL. */
struct assignment_batch
{
  Cfs__Assignment assignments[ASSIGN_BATCH];
  Cfs__Assignment *list[ASSIGN_BATCH];
  char names[ASSIGN_BATCH][CFS_NAME_MAX];
  struct cfs_host *from[ASSIGN_BATCH];
  size_t count;
};

static void
add_if_free (struct cfs_leader *l, struct assignment_batch *b,
             const char *prefix, const char *name, const char *zone,
             int64_t now)
{
  static const struct cfs_lease none;
  char *resource = b->names[b->count];
  const struct cfs_lease *lease;
  const struct cfs_host *to;
  Cfs__Assignment *a = &b->assignments[b->count];

  snprintf (resource, CFS_NAME_MAX, "%s%s", prefix, name);
  lease = cfs_table_find (&l->state->leases, resource);
  if (!lease)
    lease = &none;
  if (!is_free (l, lease, now))
    return;
  to = choose_host (l, resource, zone, now);
  if (!to)
    return;
  cfs__assignment__init (a);
  a->resource = resource;
  a->holder = (char *)to->name;
  a->address = (char *)to->address;
  a->port = to->port;
  a->boot = to->boot;
  a->epoch = lease->epoch + 1;
  b->from[b->count] = lease->epoch ? find_holder (l, lease) : NULL;
  b->list[b->count] = a;
  b->count++;
}

static const char *
primary_zone (const struct cfs_leader *l, const struct cfs_group *g)
{
  const struct cfs_instance *i = cfs_table_find (&l->instances, g->primary);

  return i ? i->zone : NULL;
}

/* Assigns every resource that no host holds any more.  One batch at a time:
   the next is proposed after the previous one is applied. */
void
leader_assign_free_resources (struct cfs_leader *l, int64_t now)
{
  Cfs__Command c = CFS__COMMAND__INIT;
  Cfs__AssignBatch m = CFS__ASSIGN_BATCH__INIT;
  struct assignment_batch *b;

  if (l->assign_index > l->applied)
    return;
  b = cfs_alloc (sizeof *b);
  for (size_t i = 0; i < l->state->groups.count && b->count < ASSIGN_BATCH;
       i++)
    {
      const struct cfs_group *g = cfs_table_at (&l->state->groups, i);

      add_if_free (l, b, GATE_PREFIX, g->name, primary_zone (l, g), now);
    }
  for (size_t i = 0;
       l->conf && i < l->conf->team_count && b->count < ASSIGN_BATCH; i++)
    add_if_free (l, b, LIMIT_PREFIX, l->conf->teams[i].name, NULL, now);
  if (b->count)
    {
      m.assignment = b->list;
      m.n_assignment = b->count;
      c.body_case = CFS__COMMAND__BODY_ASSIGN;
      c.assign = &m;
      l->assign_index = leader_propose (l, &c);
      for (size_t i = 0; i < b->count; i++)
        if (b->from[i])
          b->from[i]->reassigned_index = l->assign_index;
    }
  free (b);
}
