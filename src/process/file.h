/**
 * DOC: File operations in the data folder of a control host.
 *
 * Data whose sync or replacement is reported as successful survives a power
 * failure.
 */
#ifndef CFS_FILE_H
#define CFS_FILE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * cfs_file_open() - opens a file in a folder
 * @flags: flags of open(); a new file gets mode 0600
 *
 * Return: a descriptor that the caller closes, or -1 with errno set.
 */
int cfs_file_open (const char *folder, const char *file, int flags);

/** cfs_file_write() - writes all bytes; false on failure */
bool cfs_file_write (int fd, const uint8_t *data, size_t len);

/** cfs_file_sync() - syncs a file; logs failures and slow syncs */
bool cfs_file_sync (int fd);

/** cfs_file_sync_folder() - syncs the directory entries of a folder */
bool cfs_file_sync_folder (const char *folder);

/**
 * cfs_file_write_new() - writes and syncs FILE.new, which is to become FILE
 *
 * Return: its descriptor, open for appending, which the caller closes; -1 on
 * failure, and then there is no FILE.new.
 */
int cfs_file_write_new (const char *folder, const char *file,
                        const uint8_t *data, size_t len);

/** cfs_file_rename_new() - renames FILE.new to FILE, which is durable once the
 * folder is synced; on failure removes FILE.new and returns false */
bool cfs_file_rename_new (const char *folder, const char *file);

/** cfs_file_replace() - atomically replaces the contents of a file, which is
 * created if absent; false on failure */
bool cfs_file_replace (const char *folder, const char *file,
                       const uint8_t *data, size_t len);

/**
 * enum cfs_file_status - outcome of reading a file
 * @CFS_FILE_READ: all of it was read
 * @CFS_FILE_ABSENT: there is no such file
 * @CFS_FILE_UNREADABLE: it may exist, but could not be opened or read to its
 * end
 */
enum cfs_file_status
{
  CFS_FILE_READ,
  CFS_FILE_ABSENT,
  CFS_FILE_UNREADABLE
};

/**
 * cfs_file_read() - reads a whole file; logs why it is unreadable
 * @data: set to the contents, which the caller frees, or to NULL if it was not
 * read
 * @len: set to the number of bytes
 */
enum cfs_file_status cfs_file_read (const char *folder, const char *file,
                                    uint8_t **data, size_t *len);

#endif
