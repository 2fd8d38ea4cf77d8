/*
 * Durable files of a control host: a last record torn at every byte,
 * corruption before it, a snapshot, and a data folder that is new or already
 * initialized.
 */
#include "../../src/process/disk.h"

#include <dlfcn.h>
#include <fcntl.h>
#include <protobuf-c/protobuf-c.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cmocka.h>

#define NEW_MEMBER_ID 77
/* More than any file of these tests. */
#define DECODED_MAX 4096
#define FOLDER_PATH_BYTES 64

static void
make_folder (char *folder)
{
  snprintf (folder, FOLDER_PATH_BYTES, "/tmp/coltsfootstage-disk.XXXXXX");
  assert_non_null (mkdtemp (folder));
}

static void
remove_folder (const char *folder)
{
  static const char *const names[]
      = { "vote", "log", "snapshot", "audit", "log.new", "vote.new" };
  char path[128];

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      snprintf (path, sizeof path, "%s/%s", folder, names[i]);
      unlink (path);
    }
  rmdir (folder);
}

static void
free_initial_state (struct cfs_raft_initial_state *initial)
{
  for (size_t i = 0; i < initial->count; i++)
    free (initial->entries[i].data);
  free (initial->entries);
  free (initial->snapshot.data);
}

static struct cfs_disk *
open_disk (const char *folder, struct cfs_raft_initial_state *initial)
{
  GError *error = NULL;
  struct cfs_disk *d;

  memset (initial, 0, sizeof *initial);
  d = cfs_disk_open (folder, initial, NEW_MEMBER_ID, &error);
  if (error)
    g_error_free (error);
  return d;
}

static void
append_entries (struct cfs_disk *d, uint64_t first, unsigned count)
{
  for (unsigned i = 0; i < count; i++)
    {
      struct cfs_raft_entry e = { first + i, 3, CFS_RAFT_ENTRY_COMMAND, 11,
                                  (uint8_t *)"hello world" };

      assert_int_equal (cfs_disk_append (d, &e, 1), CFS_OK);
    }
}

static off_t
log_size (const char *folder, char *path)
{
  struct stat st;

  snprintf (path, 128, "%s/log", folder);
  assert_int_equal (stat (path, &st), 0);
  return st.st_size;
}

/* A crash during an append leaves part of a record.  It is removed on open,
   and the log accepts entries again. */
static void
a_log_tail_torn_at_any_byte_is_removed (void **state)
{
  char folder[FOLDER_PATH_BYTES];
  char path[128];
  struct cfs_raft_initial_state initial;
  off_t before;
  off_t after;

  (void)state;
  for (off_t partial = 0;; partial++)
    {
      struct cfs_disk *d;

      make_folder (folder);
      d = open_disk (folder, &initial);
      append_entries (d, 1, 3);
      before = log_size (folder, path);
      append_entries (d, 4, 1);
      after = log_size (folder, path);
      cfs_disk_close (d);
      if (before + partial >= after)
        break;
      assert_int_equal (truncate (path, before + partial), 0);
      d = open_disk (folder, &initial);
      assert_non_null (d);
      assert_int_equal (initial.count, 3);
      append_entries (d, 4, 1);
      cfs_disk_close (d);
      free_initial_state (&initial);
      d = open_disk (folder, &initial);
      assert_int_equal (initial.count, 4);
      cfs_disk_close (d);
      free_initial_state (&initial);
      remove_folder (folder);
    }
  remove_folder (folder);
}

/* A valid record follows the corrupt byte, so this is no torn append: cutting
   the log there would lose stored entries. */
static void
corruption_before_the_tail_is_an_error (void **state)
{
  char folder[FOLDER_PATH_BYTES];
  char path[128];
  struct cfs_raft_initial_state initial;
  struct cfs_disk *d;
  off_t size;

  (void)state;
  make_folder (folder);
  d = open_disk (folder, &initial);
  append_entries (d, 1, 3);
  cfs_disk_close (d);
  size = log_size (folder, path);
  for (off_t at = 0; at < size * 2 / 3; at++)
    {
      int fd = open (path, O_RDWR);
      char byte;

      assert_int_equal (pread (fd, &byte, 1, at), 1);
      byte = (char)~byte;
      assert_int_equal (pwrite (fd, &byte, 1, at), 1);
      assert_null (open_disk (folder, &initial));
      free_initial_state (&initial);
      byte = (char)~byte;
      assert_int_equal (pwrite (fd, &byte, 1, at), 1);
      close (fd);
    }
  remove_folder (folder);
}

static void
snapshot_vote_and_truncation_are_durable (void **state)
{
  char folder[FOLDER_PATH_BYTES];
  struct cfs_raft_initial_state initial;
  struct cfs_raft_snapshot s = { .index = 4, .term = 3, .len = 5 };
  struct cfs_disk *d;

  (void)state;
  s.data = (uint8_t *)"image";
  s.members.count = 1;
  s.members.min_voters = 5;
  s.members.at[0].id = 9;
  s.members.at[0].voter = true;
  cfs_copy (s.members.at[0].host, CFS_NAME_MAX, "c1");
  make_folder (folder);
  d = open_disk (folder, &initial);
  assert_int_equal (initial.id, NEW_MEMBER_ID);
  append_entries (d, 1, 8);
  assert_int_equal (cfs_disk_save_snapshot (d, &s), CFS_OK);
  assert_int_equal (cfs_disk_truncate (d, 7), CFS_OK);
  append_entries (d, 7, 1);
  assert_int_equal (cfs_disk_save_vote (d, 6, 9), CFS_OK);
  cfs_disk_append_audit (d, "{\"version\":12,\"from\":11}\n");
  assert_int_equal (cfs_disk_last_audited_version (d), 12);
  cfs_disk_close (d);
  d = open_disk (folder, &initial);
  assert_int_equal (initial.snapshot.index, 4);
  assert_memory_equal (initial.snapshot.data, "image", 5);
  assert_string_equal (initial.snapshot.members.at[0].host, "c1");
  assert_int_equal (initial.snapshot.members.min_voters, 5);
  assert_int_equal (initial.count, 3);
  assert_int_equal (initial.entries[0].index, 5);
  assert_int_equal (initial.term, 6);
  assert_int_equal (initial.vote, 9);
  cfs_disk_close (d);
  free_initial_state (&initial);
  remove_folder (folder);
}

static void
an_initialized_folder_is_not_formatted_again (void **state)
{
  char folder[FOLDER_PATH_BYTES];
  struct cfs_raft_membership members = { .count = 0 };
  struct cfs_raft_initial_state initial;
  GError *error = NULL;

  (void)state;
  make_folder (folder);
  assert_true (cfs_disk_format (folder, 5, &members, &error));
  assert_false (cfs_disk_format (folder, 5, &members, &error));
  g_error_free (error);
  cfs_disk_close (open_disk (folder, &initial));
  assert_int_equal (initial.id, 5);
  free_initial_state (&initial);
  remove_folder (folder);
}

/* Replaces a file by a link to @target. */
static void
replace_by_link (const char *folder, const char *file, const char *target)
{
  char path[128];

  snprintf (path, sizeof path, "%s/%s", folder, file);
  unlink (path);
  assert_int_equal (symlink (target, path), 0);
}

static void
check_not_opened (const char *folder, const char *file, const char *target)
{
  struct cfs_raft_initial_state initial;
  struct cfs_disk *d;
  char path[128];
  char to[128];
  ssize_t n;

  replace_by_link (folder, file, target);
  d = open_disk (folder, &initial);
  assert_null (d);
  free_initial_state (&initial);
  snprintf (path, sizeof path, "%s/%s", folder, file);
  n = readlink (path, to, sizeof to);
  assert_int_equal (n, strlen (target));
}

/* A link to itself cannot be opened, and reading this process's memory at 0
   fails.  Neither may pass for a file that is absent or empty. */
static void
an_unreadable_file_is_neither_absent_nor_empty (void **state)
{
  static const char *const files[] = { "vote", "snapshot", "log" };
  struct cfs_raft_membership members = { .count = 0 };

  (void)state;
  for (size_t i = 0; i < sizeof files / sizeof files[0]; i++)
    {
      char folder[FOLDER_PATH_BYTES];

      make_folder (folder);
      assert_true (cfs_disk_format (folder, 5, &members, NULL));
      check_not_opened (folder, files[i], files[i]);
      remove_folder (folder);
      make_folder (folder);
      assert_true (cfs_disk_format (folder, 5, &members, NULL));
      check_not_opened (folder, files[i], "/proc/self/mem");
      remove_folder (folder);
    }
}

static void
a_folder_with_an_unreadable_vote_is_not_formatted (void **state)
{
  char folder[FOLDER_PATH_BYTES];
  struct cfs_raft_membership members = { .count = 0 };
  GError *error = NULL;

  (void)state;
  make_folder (folder);
  replace_by_link (folder, "vote", "vote");
  assert_true (cfs_disk_exists (folder));
  assert_false (cfs_disk_format (folder, 5, &members, &error));
  g_error_free (error);
  remove_folder (folder);
}

/* Takes the place of the library's function, in which a sanitizer does not see
   a read beyond the end of a buffer. */
ProtobufCMessage *
protobuf_c_message_unpack (const ProtobufCMessageDescriptor *descriptor,
                           ProtobufCAllocator *allocator, size_t len,
                           const uint8_t *data)
{
  typedef ProtobufCMessage *(*unpack_fn) (const ProtobufCMessageDescriptor *,
                                          ProtobufCAllocator *, size_t,
                                          const uint8_t *);
  union
  {
    void *symbol;
    unpack_fn call;
  } library = { dlsym (RTLD_NEXT, "protobuf_c_message_unpack") };

  assert_non_null (library.symbol);
  assert_true (len <= DECODED_MAX);
  return library.call (descriptor, allocator, len, data);
}

/* A power loss can leave the snapshot empty or cut short.  An empty one was
   decoded with a length below 0. */
static void
a_snapshot_cut_at_any_byte_is_an_error (void **state)
{
  char folder[FOLDER_PATH_BYTES];
  char path[128];
  struct cfs_raft_initial_state initial;
  struct cfs_raft_snapshot s = { .index = 1, .term = 3, .len = 5 };
  struct cfs_disk *d;
  struct stat st;

  (void)state;
  make_folder (folder);
  d = open_disk (folder, &initial);
  append_entries (d, 1, 1);
  s.data = (uint8_t *)"image";
  assert_int_equal (cfs_disk_save_snapshot (d, &s), CFS_OK);
  cfs_disk_close (d);
  free_initial_state (&initial);
  snprintf (path, sizeof path, "%s/snapshot", folder);
  assert_int_equal (stat (path, &st), 0);
  for (off_t size = st.st_size - 1; size >= 0; size--)
    {
      GError *error = NULL;

      assert_int_equal (truncate (path, size), 0);
      memset (&initial, 0, sizeof initial);
      assert_null (cfs_disk_open (folder, &initial, NEW_MEMBER_ID, &error));
      assert_non_null (
          strstr (error->message, "snapshot: corrupted; replace this disk"));
      g_error_free (error);
      free_initial_state (&initial);
    }
  remove_folder (folder);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_log_tail_torn_at_any_byte_is_removed),
    cmocka_unit_test (corruption_before_the_tail_is_an_error),
    cmocka_unit_test (snapshot_vote_and_truncation_are_durable),
    cmocka_unit_test (a_snapshot_cut_at_any_byte_is_an_error),
    cmocka_unit_test (an_initialized_folder_is_not_formatted_again),
    cmocka_unit_test (an_unreadable_file_is_neither_absent_nor_empty),
    cmocka_unit_test (a_folder_with_an_unreadable_vote_is_not_formatted)
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
