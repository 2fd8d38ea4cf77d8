/*
 * Traverses the document and the table of its fields in parallel.  A table is
 * used instead of code per field so that all ranges are in one place.
 */
#include "schema.h"

#include <arpa/inet.h>
#include <math.h>
#include <string.h>

#define PATH_MAX_BYTES 256
#define FOUND_MAX_BYTES 48

/* State of a validation: the current field, and where to report an error. */
struct validation
{
  const char *file;
  char path[PATH_MAX_BYTES];
  GError **error;
};

static const char *const type_names[]
    = { "a string",
        "a name (letters, digits, '-', '_', '.')",
        "an IP address",
        "a lower-case hexadecimal string",
        "a number",
        "an integer",
        "true or false",
        "an object",
        "an object of named objects",
        "an array of objects",
        "any value" };

GQuark
cfs_schema_error_quark (void)
{
  return g_quark_from_static_string ("cfs-schema");
}

static void
describe_found (const cJSON *json, char *out, size_t size)
{
  char *text = json ? cJSON_PrintUnformatted (json) : NULL;

  g_snprintf (out, (gulong)size, "%s", text ? text : "nothing");
  if (text && strlen (text) >= size)
    memcpy (out + size - 4, "...", 4);
  cJSON_free (text);
}

static void
describe_allowed (const struct cfs_field *f, char *out, size_t size)
{
  const char *unit = f->unit ? f->unit : "";

  if (f->type <= FIELD_HEX && f->type != FIELD_ADDRESS)
    g_snprintf (out, (gulong)size, "%s of %g to %g characters",
                type_names[f->type], f->min, f->max);
  else if (f->type == FIELD_NUMBER || f->type == FIELD_INTEGER)
    g_snprintf (out, (gulong)size, "%s from %g to %g%s%s", type_names[f->type],
                f->min, f->max, *unit ? " " : "", unit);
  else
    g_snprintf (out, (gulong)size, "%s", type_names[f->type]);
}

static bool
fail (struct validation *v, const char *found, const char *allowed)
{
  g_set_error (v->error, CFS_SCHEMA_ERROR, 0, "%s: %s: found %s, expected %s",
               v->file, *v->path ? v->path : "document", found, allowed);
  return false;
}

static bool
fail_field (struct validation *v, const struct cfs_field *f, const cJSON *json)
{
  char found[FOUND_MAX_BYTES];
  char allowed[128];

  describe_found (json, found, sizeof found);
  describe_allowed (f, allowed, sizeof allowed);
  return fail (v, found, allowed);
}

static bool
has_only (const char *s, const char *set)
{
  return s[strspn (s, set)] == '\0';
}

static bool
is_address (const char *s)
{
  unsigned char out[16];

  return inet_pton (AF_INET, s, out) == 1 || inet_pton (AF_INET6, s, out) == 1;
}

static bool
text_allowed (const struct cfs_field *f, const char *s)
{
  static const char names[] = "abcdefghijklmnopqrstuvwxyz"
                              "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
  double len = (double)strlen (s);

  if (f->type == FIELD_ADDRESS)
    return is_address (s);
  if (len < f->min || len > f->max || !g_utf8_validate (s, -1, NULL))
    return false;
  if (f->type == FIELD_NAME)
    return has_only (s, names);
  return f->type != FIELD_HEX || has_only (s, "0123456789abcdef");
}

static bool check_object (struct validation *v, const cJSON *json,
                          const struct cfs_field *fields);

static size_t
push_path (struct validation *v, const char *name)
{
  size_t len = strlen (v->path);

  g_snprintf (v->path + len, (gulong)(sizeof v->path - len), "%s%s",
              len ? "." : "", name);
  return len;
}

static bool
check_children (struct validation *v, const cJSON *json,
                const struct cfs_field *f)
{
  static const struct cfs_field key
      = { "", FIELD_NAME, 1, 48, NULL, true, NULL };
  const cJSON *item;
  int index = 0;

  cJSON_ArrayForEach (item, json)
  {
    char number[16];
    size_t len;
    bool ok;

    g_snprintf (number, sizeof number, "%d", index++);
    len = push_path (v, f->type == FIELD_MAP ? item->string : number);
    if (f->type == FIELD_MAP && !text_allowed (&key, item->string))
      return fail (v, "an invalid name (1 to 48 characters are allowed)",
                   type_names[FIELD_NAME]);
    ok = check_object (v, item, f->children);
    if (!ok)
      return false;
    v->path[len] = '\0';
  }
  return true;
}

static bool
check_field (struct validation *v, const cJSON *json,
             const struct cfs_field *f)
{
  switch (f->type)
    {
    case FIELD_STRING:
    case FIELD_NAME:
    case FIELD_ADDRESS:
    case FIELD_HEX:
      if (!cJSON_IsString (json) || !text_allowed (f, json->valuestring))
        return fail_field (v, f, json);
      return true;
    case FIELD_NUMBER:
    case FIELD_INTEGER:
      if (!cJSON_IsNumber (json) || !isfinite (json->valuedouble)
          || json->valuedouble < f->min || json->valuedouble > f->max
          || (f->type == FIELD_INTEGER
              && floor (json->valuedouble) != json->valuedouble))
        return fail_field (v, f, json);
      return true;
    case FIELD_BOOL:
      return cJSON_IsBool (json) || fail_field (v, f, json);
    case FIELD_OBJECT:
      return check_object (v, json, f->children);
    case FIELD_MAP:
      if (!cJSON_IsObject (json))
        return fail_field (v, f, json);
      return check_children (v, json, f);
    case FIELD_LIST:
      if (!cJSON_IsArray (json))
        return fail_field (v, f, json);
      return check_children (v, json, f);
    case FIELD_ANY:
      return true;
    }
  return false;
}

static bool
check_object (struct validation *v, const cJSON *json,
              const struct cfs_field *fields)
{
  const cJSON *item;
  char found[FOUND_MAX_BYTES];

  if (!cJSON_IsObject (json))
    {
      describe_found (json, found, sizeof found);
      return fail (v, found, type_names[FIELD_OBJECT]);
    }
  cJSON_ArrayForEach (item, json)
  {
    const struct cfs_field *f = fields;
    size_t len = push_path (v, item->string);

    while (f->name && strcmp (f->name, item->string) != 0)
      f++;
    if (!f->name)
      return fail (v, "an unknown field", "one of the documented fields");
    if (!check_field (v, item, f))
      return false;
    v->path[len] = '\0';
  }
  for (const struct cfs_field *f = fields; f->name; f++)
    if (f->required && !cJSON_GetObjectItemCaseSensitive (json, f->name))
      {
        push_path (v, f->name);
        return fail_field (v, f, NULL);
      }
  return true;
}

double
cfs_json_number (const cJSON *object, const char *name, double fallback)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (object, name);

  return cJSON_IsNumber (item) ? item->valuedouble : fallback;
}

const char *
cfs_json_string (const cJSON *object, const char *name, const char *fallback)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (object, name);

  return cJSON_IsString (item) ? item->valuestring : fallback;
}

/* Whether brackets outside of strings are nested at most JSON_DEPTH_MAX
 * levels.
 */
static bool
depth_allowed (const char *p)
{
  int depth = 0;
  bool quoted = false;

  for (; *p; p++)
    {
      if (quoted && *p == '\\' && p[1])
        p++;
      else if (*p == '"')
        quoted = !quoted;
      else if (!quoted && (*p == '{' || *p == '['))
        depth++;
      else if (!quoted && (*p == '}' || *p == ']'))
        depth--;
      if (depth > JSON_DEPTH_MAX)
        return false;
    }
  return true;
}

bool
cfs_json_size_allowed (const char *p)
{
  size_t values = 1;
  bool quoted = false;

  for (; *p && values <= JSON_VALUES_MAX; p++)
    if (quoted && *p == '\\' && p[1])
      p++;
    else if (*p == '"')
      quoted = !quoted;
    else if (!quoted && (*p == ',' || *p == '[' || *p == '{'))
      values++;
  return values <= JSON_VALUES_MAX;
}

cJSON *
cfs_json_parse (const char *text, const char *file, GError **error)
{
  cJSON *json = NULL;

  if (g_utf8_validate (text, -1, NULL) && depth_allowed (text)
      && cfs_json_size_allowed (text))
    json = cJSON_ParseWithOpts (text, NULL, 1);
  if (json && cJSON_IsObject (json))
    return json;
  cJSON_Delete (json);
  g_set_error (error, CFS_SCHEMA_ERROR, 0,
               "%s: document: found no JSON object, expected one object in "
               "UTF-8, at most %d levels deep",
               file, JSON_DEPTH_MAX);
  return NULL;
}

cJSON *
cfs_json_parse_strict (const char *text)
{
  return cfs_json_text_valid (text) ? cJSON_ParseWithOpts (text, NULL, 1)
                                    : NULL;
}

bool
cfs_schema_check (const cJSON *json, const struct cfs_field *fields,
                  const char *file, GError **error)
{
  struct validation v = { .file = file, .error = error };

  return check_object (&v, json, fields);
}
