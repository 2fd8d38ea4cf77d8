/*
 * A snapshot that conflicts with the follower's log, and a crash right after
 * it was saved: no entry of the old log may be left above it.  Another member
 * may hold an entry of the same index and term after other entries, so the
 * logs would differ below an entry that they agree on.
 */
#include "../../src/process/raft_int.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define ENTRIES 5
#define OLD_TERM 5
#define NEW_TERM 6
#define SNAPSHOT_INDEX 3
#define SNAPSHOT_TERM 4

/* The durable state of the follower; @crashed: no write takes effect. */
struct disk
{
  uint64_t term, vote;
  struct cfs_raft_entry log[ENTRIES];
  size_t count;
  struct cfs_raft_snapshot snapshot;
  bool crash_after_snapshot;
  bool crashed;
};

static int
save_vote (void *ctx, uint64_t term, uint64_t vote)
{
  struct disk *d = ctx;

  d->term = term;
  d->vote = vote;
  return CFS_OK;
}

static int
append (void *ctx, const struct cfs_raft_entry *entries, size_t count)
{
  struct disk *d = ctx;

  for (size_t i = 0; i < count && d->count < ENTRIES; i++)
    {
      d->log[d->count] = entries[i];
      d->log[d->count++].data = NULL;
    }
  return CFS_OK;
}

static int
truncate_log (void *ctx, uint64_t from)
{
  struct disk *d = ctx;

  while (!d->crashed && d->count && d->log[d->count - 1].index >= from)
    d->count--;
  return d->crashed ? CFS_IO : CFS_OK;
}

static int
save_snapshot (void *ctx, const struct cfs_raft_snapshot *s)
{
  struct disk *d = ctx;
  size_t kept = 0;

  d->snapshot = *s;
  d->snapshot.data = NULL;
  d->snapshot.len = 0;
  for (size_t i = 0; i < d->count; i++)
    if (d->log[i].index > s->index)
      d->log[kept++] = d->log[i];
  d->count = kept;
  d->crashed = d->crash_after_snapshot;
  return d->crashed ? CFS_IO : CFS_OK;
}

static void
send_message (void *ctx, const char *host, const Cfs__RaftMsg *msg)
{
  (void)ctx;
  (void)host;
  (void)msg;
}

static void
apply (void *ctx, const struct cfs_raft_entry *e)
{
  (void)ctx;
  (void)e;
}

static void
restore (void *ctx, const uint8_t *data, size_t len)
{
  (void)ctx;
  (void)data;
  (void)len;
}

static size_t
serialize (void *ctx, uint8_t **data)
{
  (void)ctx;
  *data = NULL;
  return 0;
}

static const struct cfs_raft_ops ops
    = { save_vote, append,  truncate_log, save_snapshot, send_message,
        apply,     restore, serialize,    NULL };

static struct cfs_raft *
start (struct disk *d)
{
  struct cfs_raft_initial_state initial
      = { .id = 1, .term = d->term, .vote = d->vote, .count = d->count };

  initial.snapshot = d->snapshot;
  initial.entries = cfs_alloc (ENTRIES * sizeof *initial.entries);
  memcpy (initial.entries, d->log, d->count * sizeof *d->log);
  return cfs_raft_new (&ops, d, &initial, "c1", 0);
}

static void
receive_entries (struct cfs_raft *r)
{
  Cfs__RaftMsg m = CFS__RAFT_MSG__INIT;
  Cfs__RaftEntry entries[ENTRIES];
  Cfs__RaftEntry *list[ENTRIES];

  m.type = MSG_APPEND;
  m.from = 2;
  m.to = 1;
  m.host = "c2";
  m.term = OLD_TERM;
  for (size_t i = 0; i < ENTRIES; i++)
    {
      cfs__raft_entry__init (&entries[i]);
      entries[i].index = i + 1;
      entries[i].term = OLD_TERM;
      list[i] = &entries[i];
    }
  m.entries = list;
  m.n_entries = ENTRIES;
  cfs_raft_receive (r, &m, 0);
}

static void
receive_snapshot (struct cfs_raft *r)
{
  struct cfs_raft_membership members = { .count = 1 };
  Cfs__RaftMsg m = CFS__RAFT_MSG__INIT;
  Cfs__RaftEntry packed = CFS__RAFT_ENTRY__INIT;
  Cfs__RaftEntry *list[1] = { &packed };

  members.at[0].id = 3;
  members.at[0].voter = true;
  cfs_copy (members.at[0].host, CFS_NAME_MAX, "c3");
  packed.data.len = raft_pack_members (&members, &packed.data.data);
  m.type = MSG_SNAPSHOT;
  m.from = 3;
  m.to = 1;
  m.host = "c3";
  m.term = NEW_TERM;
  m.index = SNAPSHOT_INDEX;
  m.log_term = SNAPSHOT_TERM;
  m.entries = list;
  m.n_entries = 1;
  cfs_raft_receive (r, &m, 0);
  free (packed.data.data);
}

static void
check_snapshot (bool crash)
{
  struct disk d = { .term = OLD_TERM, .crash_after_snapshot = crash };
  struct cfs_raft *r = start (&d);

  receive_entries (r);
  assert_int_equal (d.count, ENTRIES);
  receive_snapshot (r);
  cfs_raft_free (r);
  r = start (&d);
  assert_int_equal (raft_last_index (r), SNAPSHOT_INDEX);
  assert_int_equal (raft_term_at (r, SNAPSHOT_INDEX), SNAPSHOT_TERM);
  cfs_raft_free (r);
}

static void
a_snapshot_replaces_a_log_that_conflicts (void **state)
{
  (void)state;
  check_snapshot (false);
}

static void
a_crash_after_a_snapshot_leaves_no_entry_above_it (void **state)
{
  (void)state;
  check_snapshot (true);
}

/* What memory holds is on disk: the snapshot could not be saved. */
static void
entries_removed_for_a_snapshot_are_gone_from_memory_too (void **state)
{
  struct disk d = { .term = OLD_TERM, .crash_after_snapshot = true };
  struct cfs_raft *r = start (&d);

  (void)state;
  receive_entries (r);
  receive_snapshot (r);
  assert_int_equal (raft_last_index (r), SNAPSHOT_INDEX - 1);
  cfs_raft_free (r);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_snapshot_replaces_a_log_that_conflicts),
    cmocka_unit_test (a_crash_after_a_snapshot_leaves_no_entry_above_it),
    cmocka_unit_test (entries_removed_for_a_snapshot_are_gone_from_memory_too),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
