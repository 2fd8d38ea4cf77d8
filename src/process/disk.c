/*
 * The file offset of each record of the log is kept in memory, so a truncation
 * is a single ftruncate().
 *
 * Saving a snapshot replaces first the snapshot file, then the log by a copy
 * without the covered entries; each replacement is atomic.  After a crash
 * between the two, or if the second fails, the log still holds covered
 * entries, which are skipped on opening.
 *
 * A disk without room may take part of a write, or a rename but not its sync.
 * What such a failure leaves in the log file is removed before anything is
 * appended, so that there is never anything but records in it.
 */
#include "disk.h"

#include "disk_record.h"
#include "file.h"
#include "log.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define PART "disk"
#define VOTE_FILE "vote"
#define LOG_FILE "log"
#define SNAPSHOT_FILE "snapshot"
#define AUDIT_FILE "audit"
#define VOTE_BYTES 32

struct record_offset
{
  uint64_t index;
  off_t offset;
};

/**
 * struct cfs_disk - open data folder of a control host
 * @id: identity of the member
 * @log: descriptor of the log file
 * @audit: descriptor of the audit file
 * @end: size of the log in bytes, without an incomplete last record
 * @unsettled: the file may hold more than the log, or its name may not be
 * durable yet
 * @offsets: offsets of the log records, in log order
 */
struct cfs_disk
{
  char *folder;
  uint64_t id;
  int log;
  int audit;
  off_t end;
  bool unsettled;
  struct record_offset *offsets;
  size_t count;
  size_t cap;
};

GQuark
cfs_disk_error_quark (void)
{
  return g_quark_from_static_string ("cfs-disk");
}

static bool
set_error (GError **error, const char *folder, const char *file,
           const char *what)
{
  g_set_error (error, CFS_DISK_ERROR, 0, "%s/%s: %s", folder, file, what);
  return false;
}

static void
add_offset (struct cfs_disk *d, uint64_t index, off_t offset)
{
  cfs_grow (&d->offsets, &d->cap, d->count, sizeof *d->offsets);
  d->offsets[d->count].index = index;
  d->offsets[d->count].offset = offset;
  d->count++;
}

static void
add_entry (struct cfs_raft_initial_state *initial, size_t *cap,
           const uint8_t *p)
{
  struct cfs_raft_entry *e;

  cfs_grow (&initial->entries, cap, initial->count, sizeof *initial->entries);
  e = &initial->entries[initial->count++];
  disk_record_decode (p, e);
}

/* Reads the entries after the snapshot.  Loop invariant: all records before
   offset are valid. */
static bool
load_log (struct cfs_disk *d, struct cfs_raft_initial_state *initial,
          GError **error)
{
  size_t len;
  uint8_t *data;
  size_t offset = 0;
  size_t cap = 0;
  bool ok = true;

  if (cfs_file_read (d->folder, LOG_FILE, &data, &len) != CFS_FILE_READ)
    return set_error (error, d->folder, LOG_FILE, "cannot be read");
  while (offset < len)
    {
      size_t n = disk_record_size (data + offset, len - offset);
      uint64_t index;

      if (n == 0)
        {
          if (disk_record_follows (data + offset, len - offset))
            ok = set_error (
                error, d->folder, LOG_FILE,
                "corrupted before the last record; replace this disk");
          break;
        }
      index = disk_get64 (data + offset + 8);
      if (index > initial->snapshot.index)
        {
          if (index != initial->snapshot.index + initial->count + 1)
            {
              ok = set_error (error, d->folder, LOG_FILE,
                              "log entries are missing; replace this disk");
              break;
            }
          add_entry (initial, &cap, data + offset);
        }
      add_offset (d, index, (off_t)offset);
      offset += n;
    }
  free (data);
  d->end = (off_t)offset;
  if (ok && offset < len
      && (ftruncate (d->log, d->end) != 0 || !cfs_file_sync (d->log)))
    ok = set_error (error, d->folder, LOG_FILE,
                    "cannot remove the incomplete last record");
  return ok;
}

/* The snapshot file holds one record whose data is a packed RaftMsg.  Its
   entries are the members: index is the id, kind whether it votes, data the
   host name. */
static size_t
pack_snapshot (const struct cfs_raft_snapshot *s, uint8_t **out)
{
  Cfs__RaftMsg m = CFS__RAFT_MSG__INIT;
  Cfs__RaftEntry packed[RAFT_MEMBERS_MAX];
  Cfs__RaftEntry *list[RAFT_MEMBERS_MAX];
  struct cfs_raft_entry e = { .index = s->index, .term = s->term };
  size_t len;

  m.index = s->index;
  m.log_term = s->term;
  m.min_voters = (uint32_t)s->members.min_voters;
  m.snapshot.data = s->data;
  m.snapshot.len = s->len;
  for (size_t i = 0; i < s->members.count; i++)
    {
      cfs__raft_entry__init (&packed[i]);
      packed[i].index = s->members.at[i].id;
      packed[i].kind = s->members.at[i].voter;
      packed[i].data.data = (uint8_t *)s->members.at[i].host;
      packed[i].data.len = strlen (s->members.at[i].host);
      list[i] = &packed[i];
    }
  m.entries = list;
  m.n_entries = s->members.count;
  e.len = (uint32_t)cfs__raft_msg__get_packed_size (&m);
  e.data = cfs_alloc (e.len);
  cfs__raft_msg__pack (&m, e.data);
  *out = cfs_alloc (DISK_RECORD_HEADER_BYTES + e.len);
  len = disk_record_encode (&e, *out);
  free (e.data);
  return len;
}

static void
unpack_snapshot (const Cfs__RaftMsg *m, struct cfs_raft_snapshot *s)
{
  s->index = m->index;
  s->term = m->log_term;
  s->members.min_voters = m->min_voters;
  s->len = m->snapshot.len;
  s->data = cfs_alloc (s->len);
  if (s->len)
    memcpy (s->data, m->snapshot.data, s->len);
  for (size_t i = 0; i < m->n_entries && i < RAFT_MEMBERS_MAX; i++)
    {
      struct cfs_raft_member *member = &s->members.at[s->members.count++];
      size_t n = m->entries[i]->data.len;

      member->id = m->entries[i]->index;
      member->voter = m->entries[i]->kind != 0;
      if (n >= sizeof member->host)
        n = sizeof member->host - 1;
      memcpy (member->host, m->entries[i]->data.data, n);
      member->host[n] = '\0';
    }
}

static bool
load_snapshot (struct cfs_disk *d, struct cfs_raft_snapshot *s, GError **error)
{
  size_t len;
  uint8_t *data;
  enum cfs_file_status status
      = cfs_file_read (d->folder, SNAPSHOT_FILE, &data, &len);
  Cfs__RaftMsg *m = NULL;

  if (status == CFS_FILE_ABSENT)
    return true;
  if (status == CFS_FILE_UNREADABLE)
    return set_error (error, d->folder, SNAPSHOT_FILE, "cannot be read");
  if (len > 0 && disk_record_size (data, len) == len)
    m = cfs__raft_msg__unpack (NULL, len - DISK_RECORD_HEADER_BYTES,
                               data + DISK_RECORD_HEADER_BYTES);
  free (data);
  if (!m)
    return set_error (error, d->folder, SNAPSHOT_FILE,
                      "corrupted; replace this disk");
  unpack_snapshot (m, s);
  cfs__raft_msg__free_unpacked (m, NULL);
  return true;
}

static bool
write_vote (const char *folder, uint64_t id, uint64_t term, uint64_t vote)
{
  uint8_t data[VOTE_BYTES];

  disk_put64 (data, id);
  disk_put64 (data + 8, term);
  disk_put64 (data + 16, vote);
  disk_put64 (data + 24, cfs_hash (data, 24, 1));
  return cfs_file_replace (folder, VOTE_FILE, data, sizeof data);
}

static bool
load_vote (struct cfs_disk *d, struct cfs_raft_initial_state *initial,
           uint64_t new_id, GError **error)
{
  size_t len;
  uint8_t *data;
  enum cfs_file_status status
      = cfs_file_read (d->folder, VOTE_FILE, &data, &len);
  bool valid = status == CFS_FILE_READ && len == VOTE_BYTES
               && disk_get64 (data + 24) == cfs_hash (data, 24, 1);

  if (valid)
    {
      initial->id = disk_get64 (data);
      initial->term = disk_get64 (data + 8);
      initial->vote = disk_get64 (data + 16);
    }
  else if (status == CFS_FILE_READ)
    set_error (error, d->folder, VOTE_FILE, "corrupted; replace this disk");
  else if (status == CFS_FILE_UNREADABLE)
    set_error (error, d->folder, VOTE_FILE, "cannot be read");
  else
    {
      initial->id = new_id;
      valid = write_vote (d->folder, new_id, 0, 0)
              || set_error (error, d->folder, VOTE_FILE, "cannot write");
    }
  free (data);
  d->id = initial->id;
  return valid;
}

bool
cfs_disk_format (const char *folder, uint64_t id,
                 const struct cfs_raft_membership *members, GError **error)
{
  struct cfs_raft_snapshot s = { .members = *members };
  uint8_t *data;
  size_t len;
  bool ok;

  if (mkdir (folder, 0700) != 0 && errno != EEXIST)
    return set_error (error, folder, "", "cannot create the data folder");
  if (cfs_disk_exists (folder))
    return set_error (error, folder, VOTE_FILE,
                      "the data folder is already initialized");
  len = pack_snapshot (&s, &data);
  ok = cfs_file_replace (folder, SNAPSHOT_FILE, data, len)
       && write_vote (folder, id, 0, 0);
  free (data);
  return ok || set_error (error, folder, VOTE_FILE, "cannot write");
}

bool
cfs_disk_exists (const char *folder)
{
  int fd = cfs_file_open (folder, VOTE_FILE, O_RDONLY);

  if (fd < 0)
    return errno != ENOENT;
  close (fd);
  return true;
}

struct cfs_disk *
cfs_disk_open (const char *folder, struct cfs_raft_initial_state *initial,
               uint64_t new_id, GError **error)
{
  struct cfs_disk *d = cfs_alloc (sizeof *d);

  d->folder = cfs_strdup (folder);
  d->log = -1;
  d->audit = -1;
  if (mkdir (folder, 0700) != 0 && errno != EEXIST)
    {
      set_error (error, folder, "", "cannot create the data folder");
      cfs_disk_close (d);
      return NULL;
    }
  d->log = cfs_file_open (folder, LOG_FILE, O_RDWR | O_CREAT | O_APPEND);
  d->audit = cfs_file_open (folder, AUDIT_FILE, O_WRONLY | O_CREAT | O_APPEND);
  if (d->log < 0 || d->audit < 0 || !cfs_file_sync_folder (folder))
    {
      set_error (error, folder, LOG_FILE,
                 "cannot open the log or the audit file, or sync the folder");
      cfs_disk_close (d);
      return NULL;
    }
  if (load_vote (d, initial, new_id, error)
      && load_snapshot (d, &initial->snapshot, error)
      && load_log (d, initial, error))
    return d;
  cfs_disk_close (d);
  return NULL;
}

void
cfs_disk_close (struct cfs_disk *d)
{
  if (!d)
    return;
  if (d->log >= 0)
    close (d->log);
  if (d->audit >= 0)
    close (d->audit);
  free (d->folder);
  free (d->offsets);
  free (d);
}

int
cfs_disk_save_vote (struct cfs_disk *d, uint64_t term, uint64_t vote)
{
  return write_vote (d->folder, d->id, term, vote) ? CFS_OK : CFS_IO;
}

/* Removes from the log file what is not part of the log, after a write,
   truncation or replacement that failed halfway.  Nothing is appended before
   this has succeeded. */
static bool
settle_log (struct cfs_disk *d)
{
  if (!d->unsettled)
    return true;
  if (ftruncate (d->log, d->end) != 0 || !cfs_file_sync (d->log)
      || !cfs_file_sync_folder (d->folder))
    return false;
  d->unsettled = false;
  return true;
}

int
cfs_disk_append (struct cfs_disk *d, const struct cfs_raft_entry *entries,
                 size_t count)
{
  size_t total = 0;
  size_t used = 0;
  uint8_t *data;
  bool ok;

  if (!settle_log (d))
    return CFS_IO;
  for (size_t i = 0; i < count; i++)
    total += DISK_RECORD_HEADER_BYTES + entries[i].len;
  data = cfs_alloc (total);
  for (size_t i = 0; i < count; i++)
    used += disk_record_encode (&entries[i], data + used);
  ok = cfs_file_write (d->log, data, used) && cfs_file_sync (d->log);
  free (data);
  if (!ok)
    {
      d->unsettled = true;
      settle_log (d);
      return CFS_IO;
    }
  for (size_t i = 0; i < count; i++)
    {
      add_offset (d, entries[i].index, d->end);
      d->end += (off_t)(DISK_RECORD_HEADER_BYTES + entries[i].len);
    }
  return CFS_OK;
}

int
cfs_disk_truncate (struct cfs_disk *d, uint64_t from)
{
  size_t keep = d->count;

  while (keep > 0 && d->offsets[keep - 1].index >= from)
    keep--;
  if (keep < d->count)
    {
      d->end = d->offsets[keep].offset;
      d->count = keep;
      d->unsettled = true;
    }
  return settle_log (d) ? CFS_OK : CFS_IO;
}

/* Replaces the log file by one with the entries after @index only.  Once it is
   renamed, entries are appended to the new file. */
static bool
rewrite_log (struct cfs_disk *d, uint64_t index)
{
  size_t first = 0;
  size_t len;
  uint8_t *data;
  off_t cut;
  int fd;

  if (cfs_file_read (d->folder, LOG_FILE, &data, &len) != CFS_FILE_READ)
    return false;
  while (first < d->count && d->offsets[first].index <= index)
    first++;
  cut = first < d->count ? d->offsets[first].offset : d->end;
  fd = (off_t)len < d->end
           ? -1
           : cfs_file_write_new (d->folder, LOG_FILE, data + cut,
                                 (size_t)(d->end - cut));
  free (data);
  if (fd < 0)
    return false;
  if (!cfs_file_rename_new (d->folder, LOG_FILE))
    {
      close (fd);
      return false;
    }
  close (d->log);
  d->log = fd;
  d->unsettled = !cfs_file_sync_folder (d->folder);
  d->end -= cut;
  d->count -= first;
  for (size_t i = 0; i < d->count; i++)
    {
      d->offsets[i] = d->offsets[i + first];
      d->offsets[i].offset -= cut;
    }
  return true;
}

int
cfs_disk_save_snapshot (struct cfs_disk *d, const struct cfs_raft_snapshot *s)
{
  uint8_t *data;
  size_t len;
  bool ok;

  if (!settle_log (d))
    return CFS_IO;
  len = pack_snapshot (s, &data);
  ok = cfs_file_replace (d->folder, SNAPSHOT_FILE, data, len);
  free (data);
  if (!ok)
    return CFS_IO;
  if (!rewrite_log (d, s->index))
    cfs_log (CFS_WARNING, PART,
             "the log keeps the entries up to %" PRIu64
             ", which the snapshot covers: %s",
             s->index, strerror (errno));
  return CFS_OK;
}

bool
cfs_disk_append_audit (struct cfs_disk *d, const char *line)
{
  off_t end = lseek (d->audit, 0, SEEK_END);

  if (end >= 0
      && cfs_file_write (d->audit, (const uint8_t *)line, strlen (line))
      && cfs_file_sync (d->audit))
    return true;
  if (end < 0 || ftruncate (d->audit, end) != 0)
    cfs_log (CFS_WARNING, PART,
             "the audit file may end with part of a line: %s",
             strerror (errno));
  return false;
}

uint64_t
cfs_disk_last_audited_version (struct cfs_disk *d)
{
  static const char field[] = "{\"version\":";
  size_t len;
  uint8_t *data;
  uint64_t last = 0;

  cfs_file_read (d->folder, AUDIT_FILE, &data, &len);
  for (size_t i = 0; i + sizeof field < len; i++)
    if ((i == 0 || data[i - 1] == '\n')
        && memcmp (data + i, field, sizeof field - 1) == 0)
      last = strtoull ((char *)data + i + sizeof field - 1, NULL, 10);
  free (data);
  return last;
}
