/*
 * A disk without room, at every storage call of a script in turn: votes,
 * appends, truncations and snapshots.  From that call on some calls fail; then
 * there is room again and what failed is tried again, without a restart, as
 * the replicated log does.  Whatever was reported as durable must be there
 * when the folder is opened again, and nothing of what was not may stand
 * between.
 */
#include "../../src/process/disk.h"
#include "../../src/process/log.h"

#include <errno.h>
#include <fcntl.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cmocka.h>

#define MEMBER_ID 77
#define FOLDER_PATH_BYTES 64
#define ENTRIES_MAX 16
#define LARGE_BYTES 3000
#define ATTEMPTS_MAX 40
#define CALLS_MAX 400

/*
 * The disk's behaviour.
 * @counting: storage calls are counted, and may fail
 * @calls: storage calls so far
 * @fail_from: first call that fails
 * @fail_count: number of calls that fail
 * @short_write: the first write that fails takes half of its bytes
 */
static struct
{
  bool counting;
  unsigned calls;
  unsigned fail_from;
  unsigned fail_count;
  bool short_write;
} room;

static bool
has_room (void)
{
  unsigned call = room.calls;

  if (!room.counting)
    return true;
  room.calls++;
  errno = ENOSPC;
  return call < room.fail_from || call - room.fail_from >= room.fail_count;
}

/* The calls of the C library that change what is stored. */

ssize_t
write (int fd, const void *data, size_t len)
{
  if (has_room ())
    return syscall (SYS_write, fd, data, len);
  if (!room.short_write || len < 2)
    return -1;
  room.short_write = false;
  return syscall (SYS_write, fd, data, len / 2);
}

int
fsync (int fd)
{
  return has_room () ? (int)syscall (SYS_fsync, fd) : -1;
}

int
ftruncate (int fd, off_t size)
{
  return has_room () ? (int)syscall (SYS_ftruncate, fd, size) : -1;
}

int
rename (const char *from, const char *to)
{
  if (!has_room ())
    return -1;
  return (int)syscall (SYS_renameat, AT_FDCWD, from, AT_FDCWD, to);
}

/*
 * The folder and what must be in it.
 * @values: first byte of each entry, by index
 */
struct run
{
  char folder[FOLDER_PATH_BYTES];
  struct cfs_disk *disk;
  uint64_t term;
  uint64_t snapshot_index;
  uint64_t last_index;
  char values[ENTRIES_MAX];
};

/* One step of the script. */
struct step
{
  enum
  {
    STEP_VOTE,
    STEP_APPEND,
    STEP_TRUNCATE,
    STEP_SNAPSHOT
  } kind;
  uint64_t index;
  char value;
};

static const struct step script[] = {
  { STEP_VOTE, 1, 0 },     { STEP_APPEND, 1, 'a' }, { STEP_APPEND, 2, 'b' },
  { STEP_APPEND, 3, 'c' }, { STEP_VOTE, 2, 0 },     { STEP_APPEND, 4, 'd' },
  { STEP_SNAPSHOT, 3, 0 }, { STEP_APPEND, 5, 'e' }, { STEP_APPEND, 6, 'f' },
  { STEP_TRUNCATE, 6, 0 }, { STEP_APPEND, 6, 'g' }, { STEP_TRUNCATE, 5, 0 },
  { STEP_VOTE, 3, 0 },     { STEP_APPEND, 5, 'h' }, { STEP_SNAPSHOT, 5, 0 },
  { STEP_APPEND, 6, 'i' }, { STEP_APPEND, 7, 'j' },
};

static int
try_step (struct run *r, const struct step *s)
{
  static uint8_t data[LARGE_BYTES];
  struct cfs_raft_snapshot snapshot = { .index = s->index, .term = 1 };
  struct cfs_raft_entry e = { .index = s->index, .term = 1, .data = data };

  switch (s->kind)
    {
    case STEP_VOTE:
      return cfs_disk_save_vote (r->disk, s->index, MEMBER_ID);
    case STEP_APPEND:
      memset (data, s->value, sizeof data);
      e.kind = CFS_RAFT_ENTRY_COMMAND;
      e.len = s->index % 2 ? LARGE_BYTES : 1;
      return cfs_disk_append (r->disk, &e, 1);
    case STEP_TRUNCATE:
      return cfs_disk_truncate (r->disk, s->index);
    default:
      snapshot.members.count = 1;
      cfs_copy (snapshot.members.at[0].host, CFS_NAME_MAX, "c1");
      return cfs_disk_save_snapshot (r->disk, &snapshot);
    }
}

static void
note_done (struct run *r, const struct step *s)
{
  if (s->kind == STEP_VOTE)
    r->term = s->index;
  else if (s->kind == STEP_SNAPSHOT)
    r->snapshot_index = s->index;
  else
    r->last_index = s->kind == STEP_APPEND ? s->index : s->index - 1;
  if (s->kind == STEP_APPEND)
    r->values[s->index] = s->value;
}

/* Whether a step that failed has taken effect all the same. */
static bool
took_effect (const struct step *failed,
             const struct cfs_raft_initial_state *initial)
{
  uint64_t last = initial->snapshot.index + initial->count;

  switch (failed->kind)
    {
    case STEP_VOTE:
      return initial->term == failed->index;
    case STEP_APPEND:
      return last == failed->index;
    case STEP_TRUNCATE:
      return last < failed->index;
    default:
      return initial->snapshot.index == failed->index;
    }
}

/* Opens the folder again and compares it.  What the step @failed should have
   stored may be there or not; returns whether it is. */
static bool
reopen (struct run *r, const struct step *failed)
{
  struct cfs_raft_initial_state initial = { .id = 0 };
  GError *error = NULL;
  bool counting = room.counting;
  bool done;

  room.counting = false;
  cfs_disk_close (r->disk);
  r->disk = cfs_disk_open (r->folder, &initial, MEMBER_ID, &error);
  if (error)
    fail_msg ("%s", error->message);
  done = failed && took_effect (failed, &initial);
  if (done)
    note_done (r, failed);
  assert_int_equal (initial.term, r->term);
  assert_int_equal (initial.snapshot.index, r->snapshot_index);
  assert_int_equal (initial.snapshot.index + initial.count, r->last_index);
  for (size_t i = 0; i < initial.count; i++)
    {
      assert_int_equal (initial.entries[i].data[0],
                        r->values[initial.entries[i].index]);
      free (initial.entries[i].data);
    }
  free (initial.entries);
  free (initial.snapshot.data);
  room.counting = counting;
  return done;
}

static void
remove_folder (const char *folder)
{
  static const char *const names[]
      = { "vote",    "log",      "snapshot",    "audit",
          "log.new", "vote.new", "snapshot.new" };
  char path[2 * FOLDER_PATH_BYTES];

  for (size_t i = 0; i < sizeof names / sizeof names[0]; i++)
    {
      snprintf (path, sizeof path, "%s/%s", folder, names[i]);
      unlink (path);
    }
  rmdir (folder);
}

/* Plays the script.  With @restart, the folder is opened again after each
   failure.  Returns whether any call failed. */
static bool
play (unsigned fail_from, unsigned fail_count, bool short_write, bool restart)
{
  struct run r = { .disk = NULL };
  struct cfs_raft_initial_state initial = { .id = 0 };

  snprintf (r.folder, sizeof r.folder, "/tmp/coltsfootstage-full.XXXXXX");
  assert_non_null (mkdtemp (r.folder));
  r.disk = cfs_disk_open (r.folder, &initial, MEMBER_ID, NULL);
  assert_non_null (r.disk);
  room.calls = 0;
  room.fail_from = fail_from;
  room.fail_count = fail_count;
  room.short_write = short_write;
  room.counting = true;
  for (size_t i = 0; i < sizeof script / sizeof script[0]; i++)
    {
      unsigned attempts = 0;
      bool done = false;

      while (!done && try_step (&r, &script[i]) != CFS_OK)
        {
          assert_true (++attempts < ATTEMPTS_MAX);
          done = restart && reopen (&r, &script[i]);
        }
      note_done (&r, &script[i]);
    }
  room.counting = false;
  reopen (&r, NULL);
  cfs_disk_close (r.disk);
  remove_folder (r.folder);
  return room.calls > fail_from;
}

static void
play_all (bool restart)
{
  static const unsigned counts[] = { 1, 2, 3, 4, 8, 20 };
  unsigned played = 0;

  for (size_t c = 0; c < sizeof counts / sizeof counts[0]; c++)
    for (int cut = 0; cut < 2; cut++)
      for (unsigned from = 0; play (from, counts[c], cut, restart); from++)
        {
          played++;
          assert_true (from < CALLS_MAX);
        }
  print_message ("%u plays\n", played);
}

static void
a_full_disk_loses_nothing_that_was_stored (void **state)
{
  (void)state;
  play_all (false);
}

static void
a_restart_after_a_failure_loses_nothing_that_was_stored (void **state)
{
  (void)state;
  play_all (true);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_full_disk_loses_nothing_that_was_stored),
    cmocka_unit_test (a_restart_after_a_failure_loses_nothing_that_was_stored)
  };

  cfs_log_open ("test", CFS_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
