/*
 * A sorted array with binary search: tables here are read far more often
 * than they grow, and iteration in the order of names keeps decisions the
 * same on every host.
 */
#include "table.h"

#include <stdlib.h>
#include <string.h>

/* Position of the first row whose name is not below @name. */
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
cfs_table_init (struct cfs_table *t, size_t size)
{
  memset (t, 0, sizeof *t);
  t->size = size;
}

void
cfs_table_end (struct cfs_table *t)
{
  free (t->rows);
  t->rows = NULL;
  t->count = 0;
  t->cap = 0;
}

void *
cfs_table_at (const struct cfs_table *t, size_t i)
{
  return (char *)t->rows + i * t->size;
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
  char *row;
  size_t i;

  cfs_copy (key, sizeof key, name);
  i = lower_bound (t, key);
  if (i < t->count && strcmp (cfs_table_at (t, i), key) == 0)
    return cfs_table_at (t, i);
  cfs_grow (&t->rows, &t->cap, t->count, t->size);
  row = cfs_table_at (t, i);
  memmove (row + t->size, row, (t->count - i) * t->size);
  memset (row, 0, t->size);
  cfs_copy (row, CFS_NAME_MAX, key);
  t->count++;
  return row;
}

void
cfs_table_remove (struct cfs_table *t, size_t i)
{
  char *row = cfs_table_at (t, i);

  memmove (row, row + t->size, (t->count - i - 1) * t->size);
  t->count--;
}
