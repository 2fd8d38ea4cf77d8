/**
 * DOC: Log lines to standard error, in the style of syslog.
 */
#ifndef CFS_LOG_H
#define CFS_LOG_H

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
 * cfs_log() - writes one line
 * @level: severity
 * @part: fixed prefix of the part that speaks
 * @format: as of printf(); a short sentence without secrets
 */
void cfs_log (enum cfs_level level, const char *part, const char *format, ...)
    __attribute__ ((format (printf, 3, 4)));

#endif
