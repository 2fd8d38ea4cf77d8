/**
 * DOC: Sorted tables of fixed-size rows that start with their name.
 *
 * Each row begins with a char array of CFS_NAME_MAX bytes, its unique name.
 * Pointers to rows hold until the next insertion or removal.
 */
#ifndef CFS_TABLE_H
#define CFS_TABLE_H

#include "../cfs.h"

/** struct cfs_table - rows, sorted by name; zeroed memory is an empty table */
struct cfs_table
{
  void *rows;
  size_t count;
  size_t cap;
  size_t size;
};

/** cfs_table_init() - empty table of rows of @size bytes */
void cfs_table_init (struct cfs_table *table, size_t size);

/** cfs_table_end() - frees the rows, not what they point to */
void cfs_table_end (struct cfs_table *table);

/** cfs_table_find() - the row of this name, or NULL */
void *cfs_table_find (const struct cfs_table *table, const char *name);

/**
 * cfs_table_add() - the row of this name, made zeroed when absent
 * @table: table
 * @name: at most CFS_NAME_MAX - 1 bytes are kept
 */
void *cfs_table_add (struct cfs_table *table, const char *name);

/** cfs_table_at() - row @i in the order of names, @i below the count */
void *cfs_table_at (const struct cfs_table *table, size_t i);

/** cfs_table_remove() - removes row @i, @i below the count */
void cfs_table_remove (struct cfs_table *table, size_t i);

#endif
