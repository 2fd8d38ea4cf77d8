/**
 * DOC: Checks JSON documents against tables of named fields.
 *
 * Each table row names a field, its type, range and unit.  An error says the
 * file, the path of the field, what was found and what is allowed.
 */
#ifndef CFS_SCHEMA_H
#define CFS_SCHEMA_H

#include <cjson/cJSON.h>
#include <glib.h>
#include <stdbool.h>

/**
 * enum cfs_field_type - type of a field
 * @FIELD_STRING: text of @min to @max bytes
 * @FIELD_NAME: like FIELD_STRING, of letters, digits, '-', '_' and '.'
 * @FIELD_ADDRESS: an IP number
 * @FIELD_HEX: lower-case hexadecimal digits, @min to @max of them
 * @FIELD_NUMBER: number from @min to @max
 * @FIELD_INTEGER: whole number from @min to @max
 * @FIELD_BOOL: true or false
 * @FIELD_OBJECT: object with the fields of @children
 * @FIELD_MAP: object from names to objects with the fields of @children
 * @FIELD_LIST: list of objects with the fields of @children
 * @FIELD_ANY: checked by the caller
 */
enum cfs_field_type
{
  FIELD_STRING,
  FIELD_NAME,
  FIELD_ADDRESS,
  FIELD_HEX,
  FIELD_NUMBER,
  FIELD_INTEGER,
  FIELD_BOOL,
  FIELD_OBJECT,
  FIELD_MAP,
  FIELD_LIST,
  FIELD_ANY
};

/** struct cfs_field - one row; a table ends with a row without a name */
struct cfs_field
{
  const char *name;
  enum cfs_field_type type;
  double min;
  double max;
  const char *unit;
  bool required;
  const struct cfs_field *children;
};

/** CFS_SCHEMA_ERROR - domain of the errors of this module */
#define CFS_SCHEMA_ERROR (cfs_schema_error_quark ())

/** cfs_schema_error_quark() - the error domain */
GQuark cfs_schema_error_quark (void);

/**
 * cfs_schema_check() - checks a parsed document
 * @json: the document
 * @fields: table of the fields of the outermost object
 * @file: name for messages
 * @error: set when the check fails
 *
 * Return: whether the document is allowed.
 */
bool cfs_schema_check (const cJSON *json, const struct cfs_field *fields,
                       const char *file, GError **error);

/**
 * cfs_json_parse() - parses text that must be one whole JSON object
 * @text: terminated text
 * @file: name for messages
 * @error: set when the text is no JSON object
 *
 * Nesting deeper than 16 levels is refused.
 * Return: the document, freed by cJSON_Delete(), or NULL.
 */
cJSON *cfs_json_parse (const char *text, const char *file, GError **error);

/** cfs_json_number() - number of a field, or @fallback when absent */
double cfs_json_number (const cJSON *object, const char *name,
                        double fallback);

/** cfs_json_string() - text of a field, or @fallback when absent */
const char *cfs_json_string (const cJSON *object, const char *name,
                             const char *fallback);

#endif
