/**
 * DOC: Checks on the text of a statement, without parsing it.
 */
#ifndef CFS_SQL_H
#define CFS_SQL_H

#include <stdbool.h>

/**
 * cfs_sql_allowed() - whether a statement may run on a pooled connection
 * @sql: terminated text
 *
 * Statements that open or end a transaction or change the session are
 * refused: they would leave the connection in a state that the next team
 * must not meet.
 */
bool cfs_sql_allowed (const char *sql);

#endif
