/**
 * DOC: Check of a statement's type, without parsing the statement.
 */
#ifndef CFS_SQL_H
#define CFS_SQL_H

#include <stdbool.h>

/**
 * cfs_sql_allowed() - whether a statement may run on a pooled connection
 * @sql: null-terminated text
 *
 * Statements that open or end a transaction or change the session state are
 * refused, because the next team that uses the connection must not be
 * affected by that state.
 */
bool cfs_sql_allowed (const char *sql);

#endif
