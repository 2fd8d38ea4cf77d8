/**
 * DOC: Sorted tables of fixed-size entries that start with their name.
 *
 * Each entry begins with a char array of CFS_NAME_MAX bytes, its unique name.
 * Pointers to entries hold until the next insertion or removal.
 */
#ifndef CFS_TABLE_H
#define CFS_TABLE_H

#include "../cfs.h"

/** struct cfs_table - entries, sorted by name; zeroed memory is an empty table
 */
struct cfs_table
{
  void *entries;
  size_t count;
  size_t cap;
  size_t entry_size;
};

/** cfs_table_init() - empty table of entries of @entry_size bytes */
void cfs_table_init (struct cfs_table *table, size_t entry_size);

/** cfs_table_end() - frees the entries, not what they point to */
void cfs_table_end (struct cfs_table *table);

/** cfs_table_find() - the entry of this name, or NULL */
void *cfs_table_find (const struct cfs_table *table, const char *name);

/**
 * cfs_table_add() - the entry of this name, made zeroed when absent
 * @table: table
 * @name: at most CFS_NAME_MAX - 1 bytes are kept
 */
void *cfs_table_add (struct cfs_table *table, const char *name);

/** cfs_table_at() - entry @i in the order of names, @i below the count */
void *cfs_table_at (const struct cfs_table *table, size_t i);

/** cfs_table_remove() - removes entry @i, @i below the count */
void cfs_table_remove (struct cfs_table *table, size_t i);

#endif
