/*
 * Values are passed on as strings, as the target sent them, so that no number
 * loses precision in JSON.
 */
#include "pg_result.h"

#include <cjson/cJSON.h>
#include <stdlib.h>

uint64_t
pg_result_number (const PGresult *res, int column)
{
  if (PQntuples (res) != 1 || column >= PQnfields (res))
    return 0;
  return strtoull (PQgetvalue (res, 0, column), NULL, 10);
}

char *
pg_result_body (const PGresult *res)
{
  cJSON *doc = cJSON_CreateObject ();
  cJSON *columns = cJSON_AddArrayToObject (doc, "columns");
  cJSON *rows = cJSON_AddArrayToObject (doc, "rows");
  char *text;

  for (int c = 0; c < PQnfields (res); c++)
    cJSON_AddItemToArray (columns, cJSON_CreateString (PQfname (res, c)));
  for (int r = 0; r < PQntuples (res); r++)
    {
      cJSON *row = cJSON_CreateArray ();

      for (int c = 0; c < PQnfields (res); c++)
        cJSON_AddItemToArray (
            row, PQgetisnull (res, r, c)
                     ? cJSON_CreateNull ()
                     : cJSON_CreateString (PQgetvalue (res, r, c)));
      cJSON_AddItemToArray (rows, row);
    }
  cJSON_AddNumberToObject (doc, "affected",
                           strtod (PQcmdTuples ((PGresult *)res), NULL));
  text = cJSON_PrintUnformatted (doc);
  cJSON_Delete (doc);
  return text;
}

char *
pg_error_body (const char *sqlstate, const char *text)
{
  cJSON *doc = cJSON_CreateObject ();
  char *out;

  cJSON_AddStringToObject (doc, "sqlstate", sqlstate);
  cJSON_AddStringToObject (doc, "message", text);
  out = cJSON_PrintUnformatted (doc);
  cJSON_Delete (doc);
  return out;
}
