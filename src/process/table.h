/**
 * DOC: Ordered map from a name to an entry of fixed size.
 *
 * An entry is a struct that begins with a char array of CFS_NAME_MAX bytes,
 * its unique name.  Pointers to entries are valid until the next insertion or
 * removal.
 */
#ifndef CFS_TABLE_H
#define CFS_TABLE_H

#include "../cfs.h"

/** struct cfs_table - sorted array of entries; zeroed memory may be searched
 * as an empty table */
struct cfs_table
{
  void *entries;
  size_t count;
  size_t cap;
  size_t entry_size;
};

/** cfs_table_init() - initializes an empty table of @entry_size byte entries
 */
void cfs_table_init (struct cfs_table *table, size_t entry_size);

/** cfs_table_end() - frees the entries, but not memory that they point to */
void cfs_table_end (struct cfs_table *table);

/** cfs_table_find() - entry with this name, or NULL */
void *cfs_table_find (const struct cfs_table *table, const char *name);

/**
 * cfs_table_add() - finds an entry, or inserts one that is zero but for its
 * name
 * @table: table
 * @name: name; truncated to CFS_NAME_MAX - 1 bytes
 */
void *cfs_table_add (struct cfs_table *table, const char *name);

/** cfs_table_at() - entry @i in the order of names; @i must be less than the
 * count */
void *cfs_table_at (const struct cfs_table *table, size_t i);

/** cfs_table_index() - position of an entry of the table */
size_t cfs_table_index (const struct cfs_table *table, const void *entry);

/** cfs_table_remove() - removes entry @i; @i must be less than the count */
void cfs_table_remove (struct cfs_table *table, size_t i);

#endif
