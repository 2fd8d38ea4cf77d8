/*
 * Simulated disk of a control host.
 */
#include "disk.h"

#include <stdlib.h>
#include <string.h>

static uint8_t *
copy_data (const uint8_t *data, size_t len)
{
  uint8_t *copy = cfs_alloc (len + 1);

  if (len)
    memcpy (copy, data, len);
  return copy;
}

static struct cfs_raft_entry
copy_entry (const struct cfs_raft_entry *from)
{
  struct cfs_raft_entry e = *from;

  e.data = copy_data (from->data, from->len);
  return e;
}

int
wd_save_vote (void *ctx, uint64_t term, uint64_t vote)
{
  struct world_disk *d = ctx;

  if (d->full)
    return CFS_IO;
  d->term = term;
  d->vote = vote;
  return CFS_OK;
}

int
wd_append (void *ctx, const struct cfs_raft_entry *entries, size_t count)
{
  struct world_disk *d = ctx;

  if (d->full)
    return CFS_IO;
  d->writes++;
  for (size_t i = 0; i < count; i++)
    {
      cfs_grow (&d->entries, &d->cap, d->count, sizeof *d->entries);
      d->entries[d->count++] = copy_entry (&entries[i]);
    }
  return CFS_OK;
}

int
wd_truncate (void *ctx, uint64_t from)
{
  struct world_disk *d = ctx;

  while (d->count && d->entries[d->count - 1].index >= from)
    free (d->entries[--d->count].data);
  return d->full ? CFS_IO : CFS_OK;
}

int
wd_save_snapshot (void *ctx, const struct cfs_raft_snapshot *s)
{
  struct world_disk *d = ctx;
  size_t kept = 0;

  if (d->full)
    return CFS_IO;
  free (d->snapshot.data);
  d->snapshot = *s;
  d->snapshot.data = copy_data (s->data, s->len);
  for (size_t i = 0; i < d->count; i++)
    if (d->entries[i].index <= s->index)
      free (d->entries[i].data);
    else
      d->entries[kept++] = d->entries[i];
  d->count = kept;
  return CFS_OK;
}

void
wd_load (const struct world_disk *d, struct cfs_raft_initial_state *initial)
{
  initial->id = d->id;
  initial->term = d->term;
  initial->vote = d->vote;
  initial->count = d->count;
  initial->snapshot = d->snapshot;
  initial->snapshot.data = copy_data (d->snapshot.data, d->snapshot.len);
  initial->entries = cfs_alloc ((d->count + 1) * sizeof *initial->entries);
  for (size_t i = 0; i < d->count; i++)
    initial->entries[i] = copy_entry (&d->entries[i]);
}

void
wd_empty (struct world_disk *d, uint64_t id)
{
  wd_truncate (d, 0);
  free (d->entries);
  free (d->snapshot.data);
  memset (d, 0, sizeof *d);
  d->id = id;
}
