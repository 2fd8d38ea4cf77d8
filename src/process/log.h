/**
 * DOC: Structured log lines on standard output.
 *
 * A line is "t=TIME host=NAME level=LEVEL part=PART" and a message of short
 * words and key=value fields.  Lines are bounded in number and in size, and
 * a reader that does not keep up loses lines instead of holding the process
 * up; lost lines are counted and told.
 */
#ifndef CFS_LOG_H
#define CFS_LOG_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** enum cfs_level - severity, with the numbers of syslog */
enum cfs_level
{
  CFS_ERR = 3,
  CFS_WARNING = 4,
  CFS_NOTICE = 5,
  CFS_INFO = 6
};

/** cfs_log_open() - names this host in every line; lines above @level drop */
void cfs_log_open (const char *host, enum cfs_level level);

/**
 * cfs_log() - writes one line; may be called by any thread
 * @level: severity
 * @part: fixed prefix of the part that speaks
 * @format: as of printf(); without secrets
 */
void cfs_log (enum cfs_level level, const char *part, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

/** cfs_log_metrics() - appends the numbers of lines written and lost */
void cfs_log_metrics (GString *out);

#endif
