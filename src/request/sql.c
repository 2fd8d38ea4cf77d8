/*
 * Only the first keyword is checked, because the extended query protocol
 * accepts only one statement at a time.
 */
#include "sql.h"

#include <ctype.h>
#include <stddef.h>
#include <string.h>
#include <strings.h>

static const char *const refused[]
    = { "abort",   "begin",    "checkpoint", "close",     "cluster",
        "commit",  "copy",     "deallocate", "declare",   "discard",
        "do",      "end",      "execute",    "fetch",     "listen",
        "load",    "lock",     "move",       "notify",    "prepare",
        "release", "reset",    "rollback",   "savepoint", "set",
        "start",   "unlisten", "vacuum",     NULL };

/* Skips white space, semicolons and comments.  Returns NULL for comments that
   are nested or not terminated. */
static const char *
skip_blank (const char *p)
{
  for (;;)
    {
      while (isspace ((unsigned char)*p) || *p == ';')
        p++;
      if (p[0] == '-' && p[1] == '-')
        {
          p += strcspn (p, "\n");
          continue;
        }
      if (p[0] == '/' && p[1] == '*')
        {
          const char *end = strstr (p + 2, "*/");
          const char *nested = strstr (p + 2, "/*");

          if (!end || (nested && nested < end))
            return NULL;
          p = end + 2;
          continue;
        }
      return p;
    }
}

bool
cfs_sql_allowed (const char *sql)
{
  const char *p = skip_blank (sql);
  size_t len = 0;

  if (!p || !*p)
    return false;
  while (isalpha ((unsigned char)p[len]))
    len++;
  for (const char *const *word = refused; *word; word++)
    if (strlen (*word) == len && strncasecmp (p, *word, len) == 0)
      return false;
  return true;
}
