/**
 * DOC: Strict check of JSON texts (RFC 8259).
 *
 * cJSON accepts texts that are no JSON: any bytes in strings, control
 * characters as blanks, other numbers, a member name twice.  What a sender
 * meant by such a text is not known, so it is rejected as a whole.
 */
#ifndef CFS_JSON_TEXT_H
#define CFS_JSON_TEXT_H

#include <stdbool.h>

/* Values in a JSON text that is parsed.  Each takes about 100 bytes, however
   short it is in the text. */
#define JSON_VALUES_MAX 200000
/* Levels of nesting in a JSON text that is parsed. */
#define JSON_DEPTH_MAX 16

/**
 * cfs_json_text_valid() - whether a text is exactly one JSON object
 * @text: null-terminated text
 *
 * Return: whether it is one object in UTF-8, with blanks at most around it,
 * with at most JSON_VALUES_MAX values and JSON_DEPTH_MAX levels, with no
 * escaped NUL and, in each object, no name twice.
 */
bool cfs_json_text_valid (const char *text);

#endif
