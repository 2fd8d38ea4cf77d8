/*
 * A sorted array with binary search: the tables are read far more often than
 * they grow, and iteration in the order of names gives the same decisions on
 * every host.
 */
#include "table.h"

#include <stdlib.h>
#include <string.h>

/* Position of the first entry whose name is not less than @name. */
static size_t
lower_bound (const struct cfs_table *t, const char *name)
{
  size_t low = 0;
  size_t high = t->count;

  while (low < high)
    {
      size_t mid = (low + high) / 2;

      if (strcmp (cfs_table_at (t, mid), name) < 0)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

void
cfs_table_init (struct cfs_table *t, size_t entry_size)
{
  memset (t, 0, sizeof *t);
  t->entry_size = entry_size;
}

void
cfs_table_end (struct cfs_table *t)
{
  free (t->entries);
  t->entries = NULL;
  t->count = 0;
  t->cap = 0;
}

void *
cfs_table_at (const struct cfs_table *t, size_t i)
{
  return (char *)t->entries + i * t->entry_size;
}

size_t
cfs_table_index (const struct cfs_table *t, const void *entry)
{
  return (size_t)((const char *)entry - (const char *)t->entries)
         / t->entry_size;
}

void *
cfs_table_find (const struct cfs_table *t, const char *name)
{
  size_t i = lower_bound (t, name);

  if (i < t->count && strcmp (cfs_table_at (t, i), name) == 0)
    return cfs_table_at (t, i);
  return NULL;
}

void *
cfs_table_add (struct cfs_table *t, const char *name)
{
  char key[CFS_NAME_MAX];
  char *entry;
  size_t i;

  cfs_copy (key, sizeof key, name);
  i = lower_bound (t, key);
  if (i < t->count && strcmp (cfs_table_at (t, i), key) == 0)
    return cfs_table_at (t, i);
  cfs_grow (&t->entries, &t->cap, t->count, t->entry_size);
  entry = cfs_table_at (t, i);
  memmove (entry + t->entry_size, entry, (t->count - i) * t->entry_size);
  memset (entry, 0, t->entry_size);
  cfs_copy (entry, CFS_NAME_MAX, key);
  t->count++;
  return entry;
}

void
cfs_table_remove (struct cfs_table *t, size_t i)
{
  char *entry = cfs_table_at (t, i);

  memmove (entry, entry + t->entry_size, (t->count - i - 1) * t->entry_size);
  t->count--;
}
