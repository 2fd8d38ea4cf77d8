/*
 * The files of a control host: a torn tail at every byte, damage in the
 * middle, a snapshot, and a folder that is in use or new.
 */
#include "../../src/process/disk.h"

#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cmocka.h>

#define FRESH_ID 77
#define FOLDER_BYTES 64

static void
make_folder (char *folder)
{
  snprintf (folder, FOLDER_BYTES, "/tmp/coltsfootstage-disk.XXXXXX");
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
free_boot (struct cfs_raft_initial_state *boot)
{
  for (size_t i = 0; i < boot->count; i++)
    free (boot->entries[i].data);
  free (boot->entries);
  free (boot->snapshot.data);
}

static struct cfs_disk *
open_disk (const char *folder, struct cfs_raft_initial_state *boot)
{
  GError *error = NULL;
  struct cfs_disk *d;

  memset (boot, 0, sizeof *boot);
  d = cfs_disk_open (folder, boot, FRESH_ID, &error);
  if (error)
    g_error_free (error);
  return d;
}

static void
append_some (struct cfs_disk *d, uint64_t first, unsigned count)
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

static void
torn_tail_is_cut_at_every_byte (void **state)
{
  char folder[FOLDER_BYTES];
  char path[128];
  struct cfs_raft_initial_state boot;
  off_t before;
  off_t after;

  (void)state;
  for (off_t cut = 0;; cut++)
    {
      struct cfs_disk *d;

      make_folder (folder);
      d = open_disk (folder, &boot);
      append_some (d, 1, 3);
      before = log_size (folder, path);
      append_some (d, 4, 1);
      after = log_size (folder, path);
      cfs_disk_close (d);
      if (before + cut >= after)
        break;
      assert_int_equal (truncate (path, before + cut), 0);
      d = open_disk (folder, &boot);
      assert_non_null (d);
      assert_int_equal (boot.count, 3);
      append_some (d, 4, 1);
      cfs_disk_close (d);
      free_boot (&boot);
      d = open_disk (folder, &boot);
      assert_int_equal (boot.count, 4);
      cfs_disk_close (d);
      free_boot (&boot);
      remove_folder (folder);
    }
  remove_folder (folder);
}

static void
damage_in_the_middle_stops_the_host (void **state)
{
  char folder[FOLDER_BYTES];
  char path[128];
  struct cfs_raft_initial_state boot;
  struct cfs_disk *d;
  off_t size;

  (void)state;
  make_folder (folder);
  d = open_disk (folder, &boot);
  append_some (d, 1, 3);
  cfs_disk_close (d);
  size = log_size (folder, path);
  for (off_t at = 0; at < size * 2 / 3; at++)
    {
      int fd = open (path, O_RDWR);
      char byte;

      assert_int_equal (pread (fd, &byte, 1, at), 1);
      byte = (char)~byte;
      assert_int_equal (pwrite (fd, &byte, 1, at), 1);
      assert_null (open_disk (folder, &boot));
      free_boot (&boot);
      byte = (char)~byte;
      assert_int_equal (pwrite (fd, &byte, 1, at), 1);
      close (fd);
    }
  remove_folder (folder);
}

static void
snapshot_vote_and_truncation_come_back (void **state)
{
  char folder[FOLDER_BYTES];
  struct cfs_raft_initial_state boot;
  struct cfs_raft_snapshot s = { .index = 4, .term = 3, .len = 5 };
  struct cfs_disk *d;

  (void)state;
  s.data = (uint8_t *)"image";
  s.members.count = 1;
  s.members.at[0].id = 9;
  s.members.at[0].voter = true;
  cfs_copy (s.members.at[0].host, CFS_NAME_MAX, "c1");
  make_folder (folder);
  d = open_disk (folder, &boot);
  assert_int_equal (boot.id, FRESH_ID);
  append_some (d, 1, 8);
  assert_int_equal (cfs_disk_save_snapshot (d, &s), CFS_OK);
  assert_int_equal (cfs_disk_truncate (d, 7), CFS_OK);
  append_some (d, 7, 1);
  assert_int_equal (cfs_disk_save_vote (d, 6, 9), CFS_OK);
  cfs_disk_append_audit (d, "{\"version\":12,\"from\":11}\n");
  assert_int_equal (cfs_disk_last_audited_version (d), 12);
  cfs_disk_close (d);
  d = open_disk (folder, &boot);
  assert_int_equal (boot.snapshot.index, 4);
  assert_memory_equal (boot.snapshot.data, "image", 5);
  assert_string_equal (boot.snapshot.members.at[0].host, "c1");
  assert_int_equal (boot.count, 3);
  assert_int_equal (boot.entries[0].index, 5);
  assert_int_equal (boot.term, 6);
  assert_int_equal (boot.vote, 9);
  cfs_disk_close (d);
  free_boot (&boot);
  remove_folder (folder);
}

static void
a_folder_in_use_is_not_formatted (void **state)
{
  char folder[FOLDER_BYTES];
  struct cfs_raft_membership members = { .count = 0 };
  struct cfs_raft_initial_state boot;
  GError *error = NULL;

  (void)state;
  make_folder (folder);
  assert_true (cfs_disk_format (folder, 5, &members, &error));
  assert_false (cfs_disk_format (folder, 5, &members, &error));
  g_error_free (error);
  cfs_disk_close (open_disk (folder, &boot));
  assert_int_equal (boot.id, 5);
  free_boot (&boot);
  remove_folder (folder);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (torn_tail_is_cut_at_every_byte),
          cmocka_unit_test (damage_in_the_middle_stops_the_host),
          cmocka_unit_test (snapshot_vote_and_truncation_come_back),
          cmocka_unit_test (a_folder_in_use_is_not_formatted) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
