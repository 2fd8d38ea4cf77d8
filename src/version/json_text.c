/*
 * One pass over the text with a stack of the open arrays and objects.  An
 * object keeps its member names as they are written; a name with an escape is
 * compared after it is decoded.
 */
#include "json_text.h"

#include <glib.h>
#include <string.h>

#define UNICODE_DIGITS 4
#define SURROGATE_MIN 0xd800u
#define SURROGATE_LOW_MIN 0xdc00u
#define SURROGATE_MAX 0xdfffu
#define SURROGATE_PAIR_MIN 0x10000u
#define SURROGATE_BITS 10

/**
 * struct scanner - position in a text, and what is open there
 * @at: next byte; the text ends with a null byte
 * @names: member names of each open object; NULL for an open array
 * @depth: number of open objects and arrays
 * @values: number of values so far
 */
struct scanner
{
  const char *at;
  GHashTable *names[JSON_DEPTH_MAX];
  unsigned depth;
  unsigned values;
};

static void
skip_blanks (struct scanner *s)
{
  s->at += strspn (s->at, " \t\r\n");
}

static bool
skip_byte (struct scanner *s, char c)
{
  if (*s->at != c)
    return false;
  s->at++;
  return true;
}

static bool
skip_digits (struct scanner *s)
{
  const char *start = s->at;

  while (g_ascii_isdigit (*s->at))
    s->at++;
  return s->at > start;
}

static bool
scan_number (struct scanner *s)
{
  skip_byte (s, '-');
  if (!skip_byte (s, '0') && !skip_digits (s))
    return false;
  if (skip_byte (s, '.') && !skip_digits (s))
    return false;
  if (*s->at != 'e' && *s->at != 'E')
    return true;
  s->at++;
  if (!skip_byte (s, '+'))
    skip_byte (s, '-');
  return skip_digits (s);
}

static bool
scan_word (struct scanner *s, const char *word)
{
  size_t len = strlen (word);

  if (strncmp (s->at, word, len) != 0)
    return false;
  s->at += len;
  return true;
}

/* Scans the four digits of an escape. */
static bool
scan_code_unit (struct scanner *s, gunichar *out)
{
  *out = 0;
  for (int i = 0; i < UNICODE_DIGITS; i++, s->at++)
    {
      if (!g_ascii_isxdigit (*s->at))
        return false;
      *out = *out * 16 + (gunichar)g_ascii_xdigit_value (*s->at);
    }
  return true;
}

/* Scans what follows a backslash and a u.  A surrogate must be the first of a
   pair. */
static bool
scan_unicode (struct scanner *s, GString *out)
{
  gunichar high;
  gunichar low;

  if (!scan_code_unit (s, &high) || high == 0)
    return false;
  if (high >= SURROGATE_MIN && high <= SURROGATE_MAX)
    {
      if (high >= SURROGATE_LOW_MIN || !scan_word (s, "\\u")
          || !scan_code_unit (s, &low) || low < SURROGATE_LOW_MIN
          || low > SURROGATE_MAX)
        return false;
      high = SURROGATE_PAIR_MIN + ((high - SURROGATE_MIN) << SURROGATE_BITS)
             + (low - SURROGATE_LOW_MIN);
    }
  g_string_append_unichar (out, high);
  return true;
}

static bool
scan_escape (struct scanner *s, GString *out)
{
  static const char escapes[] = "\"\\/bfnrt";
  static const char decoded[] = "\"\\/\b\f\n\r\t";
  const char *found = *s->at ? strchr (escapes, *s->at) : NULL;

  if (skip_byte (s, 'u'))
    return scan_unicode (s, out);
  if (!found)
    return false;
  g_string_append_c (out, decoded[found - escapes]);
  s->at++;
  return true;
}

/* Scans a string and decodes it into @out. */
static bool
scan_string (struct scanner *s, GString *out)
{
  if (!skip_byte (s, '"'))
    return false;
  while (!skip_byte (s, '"'))
    {
      if ((unsigned char)*s->at < ' ')
        return false;
      if (!skip_byte (s, '\\'))
        g_string_append_c (out, *s->at++);
      else if (!scan_escape (s, out))
        return false;
    }
  return true;
}

static bool
open_level (struct scanner *s, GHashTable *names)
{
  if (s->depth == JSON_DEPTH_MAX)
    {
      if (names)
        g_hash_table_destroy (names);
      return false;
    }
  s->names[s->depth++] = names;
  return true;
}

static void
close_level (struct scanner *s)
{
  GHashTable *names = s->names[--s->depth];

  if (names)
    g_hash_table_destroy (names);
}

/* Scans a member name and its colon. */
static bool
scan_name (struct scanner *s)
{
  GString *name = g_string_new (NULL);
  bool ok;

  skip_blanks (s);
  ok = scan_string (s, name);
  ok = g_hash_table_add (s->names[s->depth - 1], g_string_free (name, FALSE))
       && ok;
  skip_blanks (s);
  ok = ok && skip_byte (s, ':');
  skip_blanks (s);
  return ok;
}

/* Scans a value without members. */
static bool
scan_scalar (struct scanner *s)
{
  GString *text;
  bool ok;

  if (*s->at == '"')
    {
      text = g_string_new (NULL);
      ok = scan_string (s, text);
      g_string_free (text, TRUE);
      return ok;
    }
  if (*s->at == '-' || g_ascii_isdigit (*s->at))
    return scan_number (s);
  return scan_word (s, "true") || scan_word (s, "false")
         || scan_word (s, "null");
}

/* Scans the start of a value.  After that of an array or object with members,
   the next value follows. */
static bool
scan_value (struct scanner *s, bool *next)
{
  *next = false;
  if (++s->values > JSON_VALUES_MAX)
    return false;
  if (skip_byte (s, '{'))
    {
      if (!open_level (s, g_hash_table_new_full (g_str_hash, g_str_equal,
                                                 g_free, NULL)))
        return false;
      skip_blanks (s);
      *next = *s->at != '}';
      return !*next || scan_name (s);
    }
  if (skip_byte (s, '['))
    {
      if (!open_level (s, NULL))
        return false;
      skip_blanks (s);
      *next = *s->at != ']';
      return true;
    }
  return scan_scalar (s);
}

/* Scans what follows a value: the ends of what is open, or a comma, after
   which the next value follows. */
static bool
scan_ends (struct scanner *s, bool *next)
{
  *next = false;
  while (s->depth > 0 && !*next)
    {
      GHashTable *names = s->names[s->depth - 1];

      skip_blanks (s);
      if (skip_byte (s, names ? '}' : ']'))
        close_level (s);
      else if (skip_byte (s, ','))
        *next = true;
      else
        return false;
    }
  if (!*next)
    return true;
  skip_blanks (s);
  return !s->names[s->depth - 1] || scan_name (s);
}

static bool
scan_object (struct scanner *s)
{
  bool next = true;

  skip_blanks (s);
  if (*s->at != '{')
    return false;
  while (next)
    if (!scan_value (s, &next) || (!next && !scan_ends (s, &next)))
      return false;
  skip_blanks (s);
  return *s->at == '\0';
}

bool
cfs_json_text_valid (const char *text)
{
  struct scanner s = { .at = text };
  bool ok = g_utf8_validate (text, -1, NULL) && scan_object (&s);

  while (s.depth > 0)
    close_level (&s);
  return ok;
}
