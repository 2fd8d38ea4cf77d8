/**
 * DOC: Converts libpq results to numbers and JSON.
 */
#ifndef CFS_PG_RESULT_H
#define CFS_PG_RESULT_H

#include "../cfs.h"

#include <libpq-fe.h>

/** pg_result_number() - number in a column of a single-row result, else 0 */
uint64_t pg_result_number (const PGresult *res, int column);

/** pg_result_body() - JSON object with columns, rows and affected; freed by
 * the caller */
char *pg_result_body (const PGresult *res);

/** pg_error_body() - JSON object with SQLSTATE and message; freed by the
 * caller
 */
char *pg_error_body (const char *sqlstate, const char *text);

#endif
