/**
 * DOC: Validates JSON documents against tables of fields.
 *
 * Each table entry describes a field: name, type, range and unit.  An error
 * message gives the file, the path of the field, what was found and what was
 * expected.
 */
#ifndef CFS_SCHEMA_H
#define CFS_SCHEMA_H

#include "json_text.h"

#include <cjson/cJSON.h>
#include <glib.h>
#include <stdbool.h>

/**
 * enum cfs_field_type - type of a field
 * @FIELD_STRING: UTF-8 string of @min to @max bytes
 * @FIELD_NAME: like FIELD_STRING, but of letters, digits, '-', '_' and '.'
 * only
 * @FIELD_ADDRESS: IPv4 or IPv6 address
 * @FIELD_HEX: string of @min to @max lower-case hexadecimal digits
 * @FIELD_NUMBER: number from @min to @max
 * @FIELD_INTEGER: integer from @min to @max
 * @FIELD_BOOL: true or false
 * @FIELD_OBJECT: object with the fields @children
 * @FIELD_MAP: object whose members are objects with the fields @children; its
 * member names are names in the sense of FIELD_NAME
 * @FIELD_LIST: array of objects with the fields @children
 * @FIELD_ANY: not validated here
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

/**
 * struct cfs_field - one field; a table ends with an entry without a name
 * @unit: unit of a number for error messages, or NULL
 * @required: the field must be present
 * @children: table of the fields of an object, map or list
 */
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

/** CFS_SCHEMA_ERROR - GError domain of this module */
#define CFS_SCHEMA_ERROR (cfs_schema_error_quark ())

/** cfs_schema_error_quark() - quark of CFS_SCHEMA_ERROR */
GQuark cfs_schema_error_quark (void);

/**
 * cfs_schema_check() - validates a parsed document
 * @json: the document
 * @fields: table of the fields of the outermost object
 * @file: file name for error messages
 * @error: set if the document is not valid
 *
 * Return: whether the document is valid.
 */
bool cfs_schema_check (const cJSON *json, const struct cfs_field *fields,
                       const char *file, GError **error);

/** cfs_json_size_allowed() - whether a JSON text has at most JSON_VALUES_MAX
 * values; does not parse it */
bool cfs_json_size_allowed (const char *text);

/**
 * cfs_json_parse() - parses text that must be exactly one JSON object
 * @text: null-terminated text
 * @file: file name for error messages
 * @error: set if the text is not a JSON object
 *
 * Nesting deeper than 16 levels is an error.  Otherwise it takes what cJSON
 * takes: settings files and what is in the replicated log must go on to be
 * read as they were. Return: the document, freed by cJSON_Delete(), or NULL.
 */
cJSON *cfs_json_parse (const char *text, const char *file, GError **error);

/**
 * cfs_json_parse_strict() - parses text of a sender that is not trusted
 * @text: null-terminated text
 *
 * Return: the object, freed by cJSON_Delete(), or NULL unless
 * cfs_json_text_valid().
 */
cJSON *cfs_json_parse_strict (const char *text);

/** cfs_json_number() - number in a field, or @fallback if it is absent */
double cfs_json_number (const cJSON *object, const char *name,
                        double fallback);

/** cfs_json_string() - string in a field, or @fallback if it is absent */
const char *cfs_json_string (const cJSON *object, const char *name,
                             const char *fallback);

#endif
