/*
 * Each line is written with a single write(), so lines of different threads do
 * not mix.  A token bucket limits their rate; part of its burst is reserved
 * for lines more important than INFO.
 */
#include "log.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_MAX_BYTES 1024
/* Sustained rate and burst of lines. */
#define LINES_PER_S 200.0
#define LINES_BURST 400.0
/* Part of the burst that is not available to lines of level INFO. */
#define LINES_RESERVED 200.0
#define NS_PER_S 1e9

static struct
{
  pthread_mutex_t lock;
  char host[64];
  enum cfs_level level;
  double tokens;
  struct timespec refilled_at;
  uint64_t written;
  uint64_t lost;
  uint64_t lost_reported;
} log_state = { .lock = PTHREAD_MUTEX_INITIALIZER,
                .host = "-",
                .level = CFS_INFO,
                .tokens = LINES_BURST };

static const char *const level_names[] = { "emergency", "alert",   "critical",
                                           "error",     "warning", "notice",
                                           "info" };

void
cfs_log_open (const char *host, enum cfs_level level)
{
  snprintf (log_state.host, sizeof log_state.host, "%s", host);
  log_state.level = level;
  fcntl (STDOUT_FILENO, F_SETFL, fcntl (STDOUT_FILENO, F_GETFL) | O_NONBLOCK);
}

/* Whether a line may be written.  The lock must be held. */
static bool
take_token (enum cfs_level level)
{
  struct timespec now;
  double elapsed;

  clock_gettime (CLOCK_BOOTTIME, &now);
  elapsed = (double)(now.tv_sec - log_state.refilled_at.tv_sec)
            + (double)(now.tv_nsec - log_state.refilled_at.tv_nsec) / NS_PER_S;
  log_state.refilled_at = now;
  log_state.tokens += elapsed * LINES_PER_S;
  if (log_state.tokens > LINES_BURST)
    log_state.tokens = LINES_BURST;
  if (log_state.tokens < (level >= CFS_INFO ? LINES_RESERVED : 1))
    return false;
  log_state.tokens -= 1;
  return true;
}

static int
format_prefix (char *line, enum cfs_level level, const char *part)
{
  struct timespec now;
  struct tm tm;
  char stamp[32];

  clock_gettime (CLOCK_REALTIME, &now);
  gmtime_r (&now.tv_sec, &tm);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &tm);
  return snprintf (
      line, LINE_MAX_BYTES, "t=%s.%03ldZ host=%s level=%s part=%s ", stamp,
      now.tv_nsec / 1000000, log_state.host, level_names[level], part);
}

static void
write_line (char *line, int len)
{
  if (len > LINE_MAX_BYTES - 2)
    len = LINE_MAX_BYTES - 2;
  for (int i = 0; i < len; i++)
    if ((unsigned char)line[i] < ' ')
      line[i] = ' ';
  line[len++] = '\n';
  if (write (STDOUT_FILENO, line, (size_t)len) == len)
    log_state.written++;
  else
    log_state.lost++;
}

static void
log_lost_count (void)
{
  char line[LINE_MAX_BYTES];
  int len = format_prefix (line, CFS_WARNING, "log");

  len += snprintf (line + len, sizeof line - (size_t)len,
                   "lines lost=%" PRIu64, log_state.lost);
  log_state.lost_reported = log_state.lost;
  write_line (line, len);
}

void
cfs_log (enum cfs_level level, const char *part, const char *format, ...)
{
  char line[LINE_MAX_BYTES];
  va_list args;
  int len;

  if (level > log_state.level)
    return;
  pthread_mutex_lock (&log_state.lock);
  if (!take_token (level))
    log_state.lost++;
  else
    {
      if (log_state.lost > log_state.lost_reported)
        log_lost_count ();
      len = format_prefix (line, level, part);
      va_start (args, format);
      len += vsnprintf (line + len, sizeof line - (size_t)len, format, args);
      va_end (args);
      write_line (line, len);
    }
  pthread_mutex_unlock (&log_state.lock);
}

void
cfs_log_metrics (GString *out)
{
  pthread_mutex_lock (&log_state.lock);
  g_string_append_printf (out,
                          "coltsfootstage_log_lines_total %" PRIu64 "\n"
                          "coltsfootstage_log_lines_lost_total %" PRIu64 "\n",
                          log_state.written, log_state.lost);
  pthread_mutex_unlock (&log_state.lock);
}
