/*
 * Lines look like "<6>2026-01-02T03:04:05Z host coltsfootstage[pid]: part:
 * text".  They go out by one write each, so threads do not mix lines.
 */
#include "log.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024

static struct
{
  char host[64];
  enum cfs_level level;
} log_setup = { "-", CFS_INFO };

void
cfs_log_open (const char *host, enum cfs_level level)
{
  snprintf (log_setup.host, sizeof log_setup.host, "%s", host);
  log_setup.level = level;
}

void
cfs_log (enum cfs_level level, const char *part, const char *format, ...)
{
  char line[LINE_MAX_BYTES];
  char stamp[32];
  time_t now = time (NULL);
  struct tm tm;
  va_list args;
  int len;

  if (level > log_setup.level)
    return;
  gmtime_r (&now, &tm);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%SZ", &tm);
  len = snprintf (line, sizeof line,
                  "<%d>%s %s coltsfootstage[%ld]: %s: ", (int)level, stamp,
                  log_setup.host, (long)getpid (), part);
  va_start (args, format);
  len += vsnprintf (line + len, sizeof line - (size_t)len, format, args);
  va_end (args);
  if (len > (int)sizeof line - 2)
    len = (int)sizeof line - 2;
  for (int i = 0; i < len; i++)
    if ((unsigned char)line[i] < ' ')
      line[i] = ' ';
  line[len++] = '\n';
  if (write (STDERR_FILENO, line, (size_t)len) < 0)
    return;
}
