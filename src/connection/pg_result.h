/**
 * DOC: Results of libpq as numbers and JSON texts.
 */
#ifndef CFS_PG_RESULT_H
#define CFS_PG_RESULT_H

#include "../cfs.h"

#include <libpq-fe.h>

/** pg_result_number() - number in a column of a single row, else 0 */
uint64_t pg_result_number (const PGresult *res, int column);

/** pg_result_body() - columns, rows and affected; the caller frees it */
char *pg_result_body (const PGresult *res);

/** pg_error_body() - SQLSTATE and message; the caller frees it */
char *pg_error_body (const char *sqlstate, const char *text);

#endif
