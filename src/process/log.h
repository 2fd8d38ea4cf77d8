/**
 * DOC: Structured log lines on standard output.
 *
 * A line is "t=TIME host=NAME level=LEVEL part=PART", followed by a message of
 * plain words and key=value fields.  Lines are limited in rate and in length.
 * Writing never blocks: when the reader is too slow, lines are lost, and their
 * number is counted and logged.
 */
#ifndef CFS_LOG_H
#define CFS_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** enum cfs_level - severity, numbered as in syslog */
enum cfs_level
{
  CFS_ERR = 3,
  CFS_WARNING = 4,
  CFS_NOTICE = 5,
  CFS_INFO = 6
};

/**
 * cfs_log_open() - configures the log
 * @host: name of this host, written in each line
 * @level: lines less severe than this are dropped
 */
void cfs_log_open (const char *host, enum cfs_level level);

/**
 * cfs_log() - writes one line; may be called by any thread
 * @level: severity
 * @part: constant name of the module that logs
 * @format: as of printf(); the line must not contain secrets
 */
void cfs_log (enum cfs_level level, const char *part, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** cfs_log_metrics() - appends the numbers of lines written and lost */
void cfs_log_metrics (GString *out);

#endif
