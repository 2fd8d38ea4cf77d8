/*
 * Membership changes of the control group: hosts replaced by new ones or
 * restarted with an empty disk, planned stops, more members than voters.  The
 * log must advance and no committed entry may be lost, as long as one member
 * fails at a time and each repair has four seconds.
 */
#include "../../src/process/raft.h"
#include "../world/seeds.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define HOSTS 6
#define INITIAL_VOTERS 3
#define STEP_US (5 * CFS_US_PER_MS)
#define REPAIR_US (4500 * CFS_US_PER_MS)
#define MESSAGES 2048
#define VALUES 4096

struct world;

struct member
{
  struct world *world;
  unsigned index;
  bool up;
  uint64_t id;
  uint64_t term;
  uint64_t vote;
  struct cfs_raft_entry log[VALUES];
  size_t count;
  struct cfs_raft_snapshot snapshot;
  struct cfs_raft *raft;
  uint64_t applied;
};

struct message
{
  uint8_t *data;
  size_t len;
  int64_t deliver_at;
  unsigned to;
};

struct world
{
  int64_t now;
  uint64_t seed;
  struct member members[HOSTS];
  struct message messages[MESSAGES];
  size_t count;
  uint64_t values[VALUES];
  uint64_t committed_count;
  uint64_t proposed_count;
  const char *violation;
};

static uint64_t
random_below (struct world *w, uint64_t bound)
{
  return cfs_random (&w->seed) % bound;
}

static int
save_vote (void *ctx, uint64_t term, uint64_t vote)
{
  struct member *m = ctx;

  m->term = term;
  m->vote = vote;
  return CFS_OK;
}

static struct cfs_raft_entry
copy_entry (const struct cfs_raft_entry *from)
{
  struct cfs_raft_entry e = *from;

  e.data = cfs_alloc (e.len + 1);
  if (e.len)
    memcpy (e.data, from->data, e.len);
  return e;
}

static int
append (void *ctx, const struct cfs_raft_entry *entries, size_t count)
{
  struct member *m = ctx;

  for (size_t i = 0; i < count && m->count < VALUES; i++)
    m->log[m->count++] = copy_entry (&entries[i]);
  return CFS_OK;
}

static int
truncate_log (void *ctx, uint64_t from)
{
  struct member *m = ctx;

  while (m->count && m->log[m->count - 1].index >= from)
    free (m->log[--m->count].data);
  return CFS_OK;
}

static void
copy_snapshot (struct cfs_raft_snapshot *to,
               const struct cfs_raft_snapshot *from)
{
  *to = *from;
  to->data = cfs_alloc (from->len + 1);
  if (from->len)
    memcpy (to->data, from->data, from->len);
}

static int
save_snapshot (void *ctx, const struct cfs_raft_snapshot *s)
{
  struct member *m = ctx;
  size_t kept = 0;

  free (m->snapshot.data);
  copy_snapshot (&m->snapshot, s);
  for (size_t i = 0; i < m->count; i++)
    if (m->log[i].index <= s->index)
      free (m->log[i].data);
    else
      m->log[kept++] = m->log[i];
  m->count = kept;
  return CFS_OK;
}

static void
send_message (void *ctx, const char *host, const Cfs__RaftMsg *msg)
{
  struct member *m = ctx;
  struct world *w = m->world;
  struct message *out;

  if (w->count == MESSAGES)
    return;
  out = &w->messages[w->count++];
  out->len = cfs__raft_msg__get_packed_size (msg);
  out->data = cfs_alloc (out->len + 1);
  cfs__raft_msg__pack (msg, out->data);
  out->deliver_at = w->now + 500 + (int64_t)random_below (w, 20000);
  out->to = (unsigned)(host[1] - '1');
}

/* Records an applied value and checks that all members apply the same values
   in the same order. */
static void
record_committed_value (struct member *m, uint64_t value)
{
  struct world *w = m->world;

  m->applied++;
  if (m->applied > w->committed_count)
    w->values[w->committed_count++] = value;
  else if (w->values[m->applied - 1] != value)
    w->violation = "a committed value changed";
}

static void
apply (void *ctx, const struct cfs_raft_entry *e)
{
  uint64_t value;

  memcpy (&value, e->data, sizeof value);
  record_committed_value (ctx, value);
}

static void
restore (void *ctx, const uint8_t *data, size_t len)
{
  struct member *m = ctx;

  m->applied = 0;
  for (size_t i = 0; i < len / sizeof (uint64_t); i++)
    {
      uint64_t value;

      memcpy (&value, data + i * sizeof value, sizeof value);
      record_committed_value (m, value);
    }
}

static size_t
serialize (void *ctx, uint8_t **data)
{
  struct member *m = ctx;
  size_t len = m->applied * sizeof (uint64_t);

  *data = cfs_alloc (len + 1);
  memcpy (*data, m->world->values, len);
  return len;
}

static const struct cfs_raft_ops ops
    = { save_vote, append,  truncate_log, save_snapshot, send_message,
        apply,     restore, serialize,    NULL };

static void
set_initial_members (struct cfs_raft_membership *list)
{
  list->count = INITIAL_VOTERS;
  for (unsigned i = 0; i < INITIAL_VOTERS; i++)
    {
      list->at[i].id = 100 + i;
      list->at[i].voter = true;
      snprintf (list->at[i].host, CFS_NAME_MAX, "c%u", i + 1);
    }
}

static void
start (struct world *w, unsigned i)
{
  struct member *m = &w->members[i];
  struct cfs_raft_initial_state initial = { .manages_voters = true,
                                            .id = m->id,
                                            .term = m->term,
                                            .vote = m->vote,
                                            .count = m->count,
                                            .seed = cfs_random (&w->seed) };
  char name[16];

  snprintf (name, sizeof name, "c%u", i + 1);
  copy_snapshot (&initial.snapshot, &m->snapshot);
  if (initial.snapshot.members.count == 0)
    set_initial_members (&initial.snapshot.members);
  initial.entries = cfs_alloc ((m->count + 1) * sizeof *initial.entries);
  for (size_t k = 0; k < m->count; k++)
    initial.entries[k] = copy_entry (&m->log[k]);
  m->applied = 0;
  m->up = true;
  m->raft = cfs_raft_new (&ops, m, &initial, name, w->now);
}

static void
stop (struct world *w, unsigned i)
{
  struct member *m = &w->members[i];

  if (!m->up)
    return;
  m->up = false;
  cfs_raft_free (m->raft);
}

static void
lose_disk (struct world *w, unsigned i)
{
  struct member *m = &w->members[i];

  truncate_log (m, 0);
  free (m->snapshot.data);
  memset (&m->snapshot, 0, sizeof m->snapshot);
  m->term = m->vote = 0;
  m->id = cfs_random (&w->seed) | 1;
}

static struct world *
new_world (uint64_t seed)
{
  struct world *w = cfs_alloc (sizeof *w);

  w->seed = seed * UINT64_C (0x9E3779B97F4A7C15) + 1;
  w->now = CFS_US_PER_S;
  for (unsigned i = 0; i < HOSTS; i++)
    {
      w->members[i].world = w;
      w->members[i].index = i;
      w->members[i].id = 100 + i;
    }
  for (unsigned i = 0; i < INITIAL_VOTERS; i++)
    {
      set_initial_members (&w->members[i].snapshot.members);
      start (w, i);
    }
  return w;
}

static void
free_world (struct world *w)
{
  for (unsigned i = 0; i < HOSTS; i++)
    {
      stop (w, i);
      lose_disk (w, i);
    }
  for (size_t i = 0; i < w->count; i++)
    free (w->messages[i].data);
  free (w);
}

static int
leader (struct world *w)
{
  for (unsigned i = 0; i < HOSTS; i++)
    if (w->members[i].up
        && cfs_raft_leader_confirmed (w->members[i].raft, w->now))
      return (int)i;
  return -1;
}

static void
propose (struct world *w)
{
  int l = leader (w);
  uint64_t value = w->proposed_count + 1;

  if (l >= 0 && w->proposed_count < VALUES / 2
      && cfs_raft_propose (w->members[l].raft, (uint8_t *)&value, sizeof value,
                           NULL)
             == CFS_OK)
    w->proposed_count++;
}

/* Delivers the messages that are due and ticks all members.  The queue is
   copied first: messages sent during delivery wait for the next step. */
static void
step (struct world *w)
{
  static struct message pending[MESSAGES];
  size_t count = w->count;

  w->now += STEP_US;
  memcpy (pending, w->messages, count * sizeof pending[0]);
  w->count = 0;
  for (size_t i = 0; i < count; i++)
    if (w->now < pending[i].deliver_at && w->count < MESSAGES)
      w->messages[w->count++] = pending[i];
  for (size_t i = 0; i < count; i++)
    if (w->now >= pending[i].deliver_at)
      {
        if (pending[i].to < HOSTS && w->members[pending[i].to].up)
          {
            Cfs__RaftMsg *msg = cfs__raft_msg__unpack (NULL, pending[i].len,
                                                       pending[i].data);

            cfs_raft_receive (w->members[pending[i].to].raft, msg, w->now);
            cfs__raft_msg__free_unpacked (msg, NULL);
          }
        free (pending[i].data);
      }
  for (unsigned i = 0; i < HOSTS; i++)
    if (w->members[i].up)
      cfs_raft_tick (w->members[i].raft, w->now);
  if (random_below (w, 20) == 0)
    propose (w);
}

static void
run (struct world *w, int64_t us)
{
  int64_t until = w->now + us;

  while (w->now < until && !w->violation)
    step (w);
}

static size_t
voters (struct world *w)
{
  int l = leader (w);
  const struct cfs_raft_membership *m;
  size_t count = 0;

  if (l < 0)
    return 0;
  m = cfs_raft_members (w->members[l].raft);
  for (size_t i = 0; i < m->count; i++)
    count += m->at[i].voter;
  return count;
}

/* Planned stop: if the group has a spare member, waits up to 2.5 s for it to
   get the vote. */
static void
stop_as_planned (struct world *w, unsigned i)
{
  int64_t until = w->now + 2500 * CFS_US_PER_MS;

  while (w->now < until && cfs_raft_leave (w->members[i].raft, w->now))
    step (w);
  stop (w, i);
}

static void
assert_log_advances (struct world *w)
{
  uint64_t before = w->committed_count;

  run (w, 3 * CFS_US_PER_S);
  assert_null (w->violation);
  assert_true (w->committed_count > before);
}

/* c4 takes the place of c1, which is stopped for good; then c2 loses its disk.
   This sequence has failed before. */
static void
a_voter_that_lost_its_disk_rejoins_after_a_replacement (void **state)
{
  struct world *w = new_world (1);

  (void)state;
  run (w, 3 * CFS_US_PER_S);
  start (w, 3);
  run (w, 4 * CFS_US_PER_S);
  stop_as_planned (w, 0);
  run (w, 10 * CFS_US_PER_S);
  assert_int_equal (voters (w), 3);
  stop (w, 1);
  lose_disk (w, 1);
  run (w, 2 * CFS_US_PER_S);
  start (w, 1);
  run (w, REPAIR_US);
  assert_log_advances (w);
  free_world (w);
}

/* c3 fails without notice; its replacement c5 starts two seconds later. */
static void
a_failed_voter_is_replaced (void **state)
{
  struct world *w = new_world (2);

  (void)state;
  run (w, 3 * CFS_US_PER_S);
  stop (w, 2);
  run (w, 2 * CFS_US_PER_S);
  start (w, 4);
  run (w, REPAIR_US);
  assert_int_equal (voters (w), 3);
  stop (w, 0);
  assert_log_advances (w);
  free_world (w);
}

static void
a_group_of_six_has_five_voters (void **state)
{
  struct world *w = new_world (3);

  (void)state;
  for (unsigned i = INITIAL_VOTERS; i < HOSTS; i++)
    start (w, i);
  run (w, 8 * CFS_US_PER_S);
  assert_int_equal (voters (w), 5);
  stop (w, 0);
  stop (w, 4);
  assert_log_advances (w);
  free_world (w);
}

/* A planned restart of each member in turn takes no vote away. */
static void
a_rolling_restart_keeps_the_voters (void **state)
{
  struct world *w = new_world (4);

  (void)state;
  run (w, 3 * CFS_US_PER_S);
  for (unsigned i = 0; i < INITIAL_VOTERS; i++)
    {
      stop_as_planned (w, i);
      run (w, 500 * CFS_US_PER_MS);
      start (w, i);
      run (w, 2 * CFS_US_PER_S);
    }
  assert_int_equal (voters (w), 3);
  assert_log_advances (w);
  free_world (w);
}

/* If TRACE is set, prints the event and the state of every member. */
static void
trace (struct world *w, const char *event, unsigned i)
{
  if (!getenv ("TRACE"))
    return;
  printf ("%lld ms c%u %s\n", (long long)(w->now / CFS_US_PER_MS), i + 1,
          event);
  for (unsigned k = 0; k < HOSTS; k++)
    {
      const struct cfs_raft_membership *m;

      if (!w->members[k].up)
        continue;
      m = cfs_raft_members (w->members[k].raft);
      printf ("  c%u role %d term %llu commit %llu:", k + 1,
              (int)cfs_raft_role (w->members[k].raft),
              (unsigned long long)cfs_raft_term (w->members[k].raft),
              (unsigned long long)cfs_raft_commit_index (w->members[k].raft));
      for (size_t n = 0; n < m->count; n++)
        printf (" %s:%llx%s", m->at[n].host,
                (unsigned long long)m->at[n].id & 0xfff,
                m->at[n].voter ? "" : "(learner)");
      puts ("");
    }
}

/* Entries of 64 KB, like whole configuration documents: neither the log nor
   the messages may grow without bound. */
static void
large_entries_trigger_a_snapshot (void **state)
{
  static uint8_t document[64 << 10];
  struct world *w = new_world (5);
  size_t bytes = 0;

  (void)state;
  run (w, 3 * CFS_US_PER_S);
  for (int i = 0; i < 200; i++)
    {
      int l = leader (w);
      uint64_t value = w->proposed_count + 1;

      memcpy (document, &value, sizeof value);
      if (l >= 0
          && cfs_raft_propose (w->members[l].raft, document, sizeof document,
                               NULL)
                 == CFS_OK)
        w->proposed_count++;
      run (w, 50 * CFS_US_PER_MS);
    }
  for (size_t i = 0; i < w->members[0].count; i++)
    bytes += w->members[0].log[i].len;
  assert_true (w->committed_count > 150);
  assert_true (bytes <= 2 * RAFT_SNAPSHOT_BYTES);
  assert_null (w->violation);
  free_world (w);
}

static bool
run_seed (uint64_t seed)
{
  struct world *w = new_world (seed);
  unsigned next_spare = 3;
  uint64_t before;
  bool ok;

  run (w, 3 * CFS_US_PER_S);
  for (int i = 0; i < 6 && !w->violation; i++)
    {
      unsigned member = (unsigned)random_below (w, INITIAL_VOTERS);

      if (!w->members[member].up)
        continue;
      bool disk_lost = random_below (w, 2);

      stop (w, member);
      if (disk_lost)
        lose_disk (w, member);
      trace (w, disk_lost ? "stopped, disk lost" : "stopped", member);
      run (w, (int64_t)random_below (w, 3000) * CFS_US_PER_MS);
      if (next_spare < HOSTS && random_below (w, 4) == 0)
        member = next_spare++;
      start (w, member);
      trace (w, "started", member);
      run (w, REPAIR_US + (int64_t)random_below (w, 3000) * CFS_US_PER_MS);
    }
  before = w->committed_count;
  run (w, 4 * CFS_US_PER_S);
  trace (w, "end of run", 0);
  ok = !w->violation && w->committed_count > before;
  if (!ok)
    printf ("seed %llu: %s\n", (unsigned long long)seed,
            w->violation ? w->violation
                         : "the log does not advance after the last repair");
  free_world (w);
  return ok;
}

static void
single_failures_are_repaired_one_after_another (void **state)
{
  (void)state;
  assert_int_equal (seeds_failed (run_seed), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_voter_that_lost_its_disk_rejoins_after_a_replacement),
    cmocka_unit_test (a_failed_voter_is_replaced),
    cmocka_unit_test (a_group_of_six_has_five_voters),
    cmocka_unit_test (a_rolling_restart_keeps_the_voters),
    cmocka_unit_test (large_entries_trigger_a_snapshot),
    cmocka_unit_test (single_failures_are_repaired_one_after_another)
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
