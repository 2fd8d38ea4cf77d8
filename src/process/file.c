/*
 * A file is replaced by writing FILE.new, syncing it and renaming it to FILE:
 * after a crash FILE has either the old or the new contents.
 */
#include "file.h"

#include "../cfs.h"
#include "log.h"
#include "loop.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define PART "disk"
#define PATH_BYTES 4200
/* Syncs that take longer are logged. */
#define SYNC_SLOW_US (300 * CFS_US_PER_MS)

int
cfs_file_open (const char *folder, const char *file, int flags)
{
  char path[PATH_BYTES];

  snprintf (path, sizeof path, "%s/%s", folder, file);
  return open (path, flags | O_CLOEXEC, 0600);
}

bool
cfs_file_write (int fd, const uint8_t *data, size_t len)
{
  while (len > 0)
    {
      ssize_t n = write (fd, data, len);

      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return false;
      data += n;
      len -= (size_t)n;
    }
  return true;
}

bool
cfs_file_sync (int fd)
{
  int64_t start = cfs_now ();
  bool ok = fsync (fd) == 0;
  int64_t took = cfs_now () - start;

  if (!ok)
    cfs_log (CFS_WARNING, PART, "fsync failed: %s", strerror (errno));
  else if (took > SYNC_SLOW_US)
    cfs_log (CFS_WARNING, PART, "slow fsync took_ms=%lld",
             (long long)(took / CFS_US_PER_MS));
  return ok;
}

bool
cfs_file_sync_folder (const char *folder)
{
  int fd = open (folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  bool ok = fd >= 0 && cfs_file_sync (fd);

  if (fd >= 0)
    close (fd);
  return ok;
}

static void
new_file_path (char *path, const char *folder, const char *file)
{
  snprintf (path, PATH_BYTES, "%s/%s.new", folder, file);
}

int
cfs_file_write_new (const char *folder, const char *file, const uint8_t *data,
                    size_t len)
{
  char path[PATH_BYTES];
  int fd;

  new_file_path (path, folder, file);
  fd = open (path, O_RDWR | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0600);
  if (fd < 0)
    return -1;
  if (cfs_file_write (fd, data, len) && cfs_file_sync (fd))
    return fd;
  close (fd);
  unlink (path);
  return -1;
}

bool
cfs_file_rename_new (const char *folder, const char *file)
{
  char from[PATH_BYTES];
  char to[PATH_BYTES];

  new_file_path (from, folder, file);
  snprintf (to, sizeof to, "%s/%s", folder, file);
  if (rename (from, to) == 0)
    return true;
  unlink (from);
  return false;
}

bool
cfs_file_replace (const char *folder, const char *file, const uint8_t *data,
                  size_t len)
{
  int fd = cfs_file_write_new (folder, file, data, len);

  if (fd < 0)
    return false;
  close (fd);
  return cfs_file_rename_new (folder, file) && cfs_file_sync_folder (folder);
}

/* Reads to the end of the file, which may be longer than @expected. */
static bool
read_all (int fd, size_t expected, uint8_t **data, size_t *len)
{
  size_t cap = expected + 1;
  ssize_t n = 1;

  *data = cfs_alloc (cap);
  while (n != 0)
    {
      if (*len == cap)
        cfs_grow (data, &cap, *len, 1);
      n = read (fd, *data + *len, cap - *len);
      if (n < 0 && errno == EINTR)
        continue;
      if (n < 0)
        return false;
      *len += (size_t)n;
    }
  return true;
}

enum cfs_file_status
cfs_file_read (const char *folder, const char *file, uint8_t **data,
               size_t *len)
{
  int fd = cfs_file_open (folder, file, O_RDONLY);
  struct stat st;
  bool ok;

  *data = NULL;
  *len = 0;
  if (fd < 0 && errno == ENOENT)
    return CFS_FILE_ABSENT;
  ok = fd >= 0 && fstat (fd, &st) == 0
       && read_all (fd, (size_t)st.st_size, data, len);
  if (!ok)
    {
      cfs_log (CFS_ERR, PART, "cannot read %s/%s: %s", folder, file,
               strerror (errno));
      free (*data);
      *data = NULL;
      *len = 0;
    }
  if (fd >= 0)
    close (fd);
  return ok ? CFS_FILE_READ : CFS_FILE_UNREADABLE;
}
