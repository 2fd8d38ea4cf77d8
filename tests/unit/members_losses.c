/*
 * Losses that overlap in a control group of three to seven hosts: hosts that
 * are down or cut off for seconds, lost disks, planned stops, hosts that are
 * gone for good and have successors.
 *
 * A group of 2f + 1 voters has to bear f lost disks however many other hosts
 * are down meanwhile, as long as these return.  A host is missing while it is
 * down and for a time to catch up after it is back; a lost disk counts as lost
 * as long.  If more than f hosts were missing at once, or the group was cut in
 * two, the group may stand still, and a lost disk counts, until RECOVERY_US
 * after all hosts are back.  At all times, the voters whose disks are intact
 * have to be a majority even after all losses that may still come.
 */
#include "../world/members.h"
#include "../world/seeds.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define MACHINES_MIN 3
#define MACHINES_MAX 7
/* Groups of this size and larger bear two lost disks. */
#define LARGE_GROUP 5
/* Time after which a host that is back no longer counts as lost. */
#define CATCH_UP_LARGE_US (6 * CFS_US_PER_S)
#define CATCH_UP_SMALL_US (4 * CFS_US_PER_S)
/* Time within which the group has to work once all hosts are back. */
#define RECOVERY_US (12 * CFS_US_PER_S)
#define ROUNDS 4

/** enum machine_state - what a machine does until its time is up */
enum machine_state
{
  MACHINE_RUNS,
  MACHINE_LEAVES,
  MACHINE_DOWN
};

/**
 * struct machine - place of a control host; a successor takes over the place
 * @host: index of the host
 * @until: end of a planned stop or of the time that it is down
 * @down_us: how long it will be down after a planned stop
 * @up_since: when its process started
 * @disk_lost: its disk counts as lost
 */
struct machine
{
  unsigned host;
  enum machine_state state;
  int64_t until;
  int64_t down_us;
  int64_t up_since;
  bool disk_lost;
};

/**
 * struct trial - one run
 * @tolerated: number of disks that may be lost at once
 * @overlapping: more hosts than @tolerated were missing, or the group was cut
 * in two, and it may still have to recover from that
 * @down_at: last time at which a host was down or cut off
 * @cut_until: end of a cut between two halves, 0 without one
 * @mended_at: end of the last cut, after which all hosts have to catch up
 * @next_host: index of the next successor
 */
struct trial
{
  struct world_members *world;
  struct machine machines[MACHINES_MAX];
  unsigned count;
  unsigned tolerated;
  int64_t catch_up_us;
  bool overlapping;
  int64_t down_at;
  int64_t cut_until;
  int64_t mended_at;
  unsigned next_host;
};

static int64_t
random_ms (struct trial *t, unsigned from, unsigned to)
{
  return (int64_t)(from + wm_random_below (t->world, to - from + 1))
         * CFS_US_PER_MS;
}

static struct machine *
random_machine (struct trial *t)
{
  return &t->machines[wm_random_below (t->world, t->count)];
}

static unsigned
count_disks_lost (const struct trial *t)
{
  unsigned count = 0;

  for (unsigned i = 0; i < t->count; i++)
    count += t->machines[i].disk_lost;
  return count;
}

static bool
is_missing (const struct trial *t, const struct machine *m)
{
  return m->state == MACHINE_DOWN
         || t->world->now < m->up_since + t->catch_up_us
         || t->world->now < t->mended_at + t->catch_up_us;
}

static unsigned
count_missing (const struct trial *t)
{
  unsigned count = 0;

  for (unsigned i = 0; i < t->count; i++)
    count += is_missing (t, &t->machines[i]);
  return count;
}

static unsigned
count_down (const struct trial *t)
{
  unsigned count = 0;

  for (unsigned i = 0; i < t->count; i++)
    count += t->machines[i].state == MACHINE_DOWN;
  return count;
}

static void
go_down (struct trial *t, struct machine *m, int64_t us)
{
  if (m->state != MACHINE_DOWN)
    wm_stop (t->world, m->host);
  m->state = MACHINE_DOWN;
  m->until = t->world->now + us;
  wm_trace (t->world, "is down", m->host);
}

static void
come_back (struct trial *t, struct machine *m)
{
  wm_start (t->world, m->host);
  m->state = MACHINE_RUNS;
  m->up_since = t->world->now;
  wm_trace (t->world, "is back", m->host);
}

/* Empties the disk of a machine unless too many disks are lost already. */
static void
lose_disk (struct trial *t, struct machine *m)
{
  if (m->disk_lost || count_disks_lost (t) >= t->tolerated)
    return;
  go_down (t, m, random_ms (t, 300, 2000));
  wm_lose_disk (t->world, m->host);
  m->disk_lost = true;
  wm_trace (t->world, "has lost its disk", m->host);
}

/* A machine is gone for good; another with an empty disk takes its place. */
static void
replace (struct trial *t, struct machine *m)
{
  if (t->next_host == WM_HOSTS_MAX || m->disk_lost
      || count_disks_lost (t) >= t->tolerated)
    return;
  go_down (t, m, random_ms (t, 300, 6000));
  wm_trace (t->world, "is gone for good", m->host);
  m->disk_lost = true;
  m->host = t->next_host++;
  for (unsigned i = 0; i < WM_INITIAL_VOTERS; i++)
    t->world->seeds[i] = t->machines[i].host;
}

static void
leave (struct trial *t, struct machine *m)
{
  if (m->state != MACHINE_RUNS)
    return;
  m->state = MACHINE_LEAVES;
  m->until = t->world->now + 2500 * CFS_US_PER_MS;
  m->down_us = random_ms (t, 300, 6000);
  wm_trace (t->world, "stops as planned", m->host);
}

static void
cut_in_two (struct trial *t)
{
  for (unsigned i = 0; i < t->count; i++)
    t->world->hosts[t->machines[i].host].cut
        = (unsigned)wm_random_below (t->world, 2);
  t->cut_until = t->world->now + random_ms (t, 500, 6000);
  wm_trace (t->world, "and others are cut off", t->machines[0].host);
}

static void
mend_cut (struct trial *t)
{
  for (unsigned i = 0; i < WM_HOSTS_MAX; i++)
    t->world->hosts[i].cut = 0;
  t->cut_until = 0;
  t->mended_at = t->world->now;
}

static void
stop_leader (struct trial *t)
{
  int leader = wm_leader (t->world);

  for (unsigned i = 0; i < t->count; i++)
    if ((int)t->machines[i].host == leader)
      go_down (t, &t->machines[i], random_ms (t, 50, 3000));
}

static void
stop_all (struct trial *t)
{
  int64_t us = random_ms (t, 50, 1500);

  for (unsigned i = 0; i < t->count; i++)
    go_down (t, &t->machines[i], us);
}

static void
lose_disks (struct trial *t)
{
  unsigned count = 1 + (unsigned)wm_random_below (t->world, t->tolerated);

  for (unsigned i = 0; i < count; i++)
    lose_disk (t, random_machine (t));
}

/* Two hosts at a time are down most often; now and then more are. */
static void
some_go_down (struct trial *t)
{
  unsigned limit = wm_random_below (t->world, 8) == 0 ? t->count : 2;
  int64_t us = random_ms (t, 100, 9000);

  while (count_down (t) < limit)
    go_down (t, random_machine (t), us);
}

static void
disturb (struct trial *t)
{
  switch (wm_random_below (t->world, 12))
    {
    case 0:
    case 1:
    case 2:
      some_go_down (t);
      break;
    case 3:
      go_down (t, random_machine (t), random_ms (t, 100, 9000));
      break;
    case 4:
    case 5:
    case 6:
      lose_disks (t);
      break;
    case 7:
    case 8:
      leave (t, random_machine (t));
      break;
    case 9:
      replace (t, random_machine (t));
      break;
    case 10:
      cut_in_two (t);
      break;
    default:
      if (wm_random_below (t->world, 4) == 0)
        stop_all (t);
      else
        stop_leader (t);
    }
}

/* Ends what is over by now, and counts which disks are whole again. */
static void
follow_machines (struct trial *t)
{
  int64_t now = t->world->now;

  for (unsigned i = 0; i < t->count; i++)
    {
      struct machine *m = &t->machines[i];

      if (m->state == MACHINE_LEAVES
          && (now >= m->until
              || !cfs_raft_leave (t->world->hosts[m->host].raft, now)))
        go_down (t, m, m->down_us);
      else if (m->state == MACHINE_DOWN && now >= m->until)
        come_back (t, m);
    }
  if (t->cut_until && now >= t->cut_until)
    mend_cut (t);
  if (t->cut_until || count_missing (t) > t->tolerated)
    t->overlapping = true;
  if (t->cut_until || count_down (t) > 0)
    t->down_at = now;
  else if (now >= t->down_at + RECOVERY_US)
    t->overlapping = false;
  for (unsigned i = 0; i < t->count && !t->overlapping; i++)
    if (!is_missing (t, &t->machines[i]))
      t->machines[i].disk_lost = false;
}

static bool
has_intact_disk (const struct trial *t, uint64_t id)
{
  for (unsigned i = 0; i < t->count; i++)
    if (t->world->hosts[t->machines[i].host].disk.id == id)
      return true;
  return false;
}

/* Whether the voters with intact disks are a majority after all losses that
   may still come. */
static bool
bears_further_losses (const struct trial *t)
{
  int leader = wm_leader (t->world);
  const struct cfs_raft_membership *members;
  size_t intact = 0;

  if (leader < 0)
    return true;
  members = cfs_raft_members (t->world->hosts[leader].raft);
  for (size_t i = 0; i < members->count; i++)
    intact += members->at[i].voter && has_intact_disk (t, members->at[i].id);
  return intact >= cfs_raft_count_voters (members) / 2 + 1 + t->tolerated
                       - count_disks_lost (t);
}

static void
advance (struct trial *t, int64_t us, bool checked)
{
  int64_t until = t->world->now + us;

  while (t->world->now < until && !t->world->violation)
    {
      wm_step (t->world);
      follow_machines (t);
      if (checked && !bears_further_losses (t))
        t->world->violation = "too few voters for the losses to come";
    }
}

/* All machines come back soon, and nothing further happens. */
static void
calm_down (struct trial *t)
{
  int64_t latest = t->world->now + 2 * CFS_US_PER_S;

  for (unsigned i = 0; i < t->count; i++)
    {
      struct machine *m = &t->machines[i];

      if (m->until > latest)
        m->until = latest;
      if (m->down_us > CFS_US_PER_S)
        m->down_us = CFS_US_PER_S;
    }
  if (t->cut_until > latest)
    t->cut_until = latest;
  advance (t, 4 * CFS_US_PER_S, true);
}

static void
check_recovery (struct trial *t)
{
  struct world_members *w = t->world;
  uint64_t committed = w->committed_count;
  int leader;

  advance (t, RECOVERY_US, true);
  leader = wm_leader (w);
  if (w->violation)
    return;
  if (leader < 0)
    w->violation = "no leader after all machines are back";
  else if (w->committed_count == committed)
    w->violation = "the log does not advance after all machines are back";
  else if (w->hosts[leader].applied < w->committed_count)
    w->violation = "the leader lacks committed values";
}

/* With the setting, a group of seven bears three losses. */
static unsigned
tolerated_losses (unsigned machines, bool with_setting)
{
  if (machines < LARGE_GROUP)
    return 1;
  return machines == MACHINES_MAX && with_setting ? 3 : 2;
}

static struct trial *
new_trial (uint64_t seed, unsigned machines, bool with_setting)
{
  struct trial *t = cfs_alloc (sizeof *t);

  t->count = machines;
  t->tolerated = tolerated_losses (machines, with_setting);
  t->world = wm_new (seed, with_setting ? t->tolerated : 0);
  t->catch_up_us
      = machines >= LARGE_GROUP ? CATCH_UP_LARGE_US : CATCH_UP_SMALL_US;
  t->next_host = machines;
  for (unsigned i = 0; i < machines; i++)
    {
      t->machines[i].host = i;
      t->machines[i].up_since = t->world->now;
      if (i >= WM_INITIAL_VOTERS)
        wm_start (t->world, i);
    }
  advance (t, t->catch_up_us, false);
  return t;
}

static bool
end_trial (struct trial *t, uint64_t seed)
{
  bool ok = !t->world->violation;

  wm_trace (t->world, "end of run", 0);
  if (!ok)
    printf ("seed %llu, %u machines, %.3f s: %s\n", (unsigned long long)seed,
            t->count, (double)t->world->now / CFS_US_PER_S,
            t->world->violation);
  wm_free (t->world);
  free (t);
  return ok;
}

static bool
run_seed (uint64_t seed)
{
  unsigned sizes = MACHINES_MAX - MACHINES_MIN + 1;
  struct trial *t = new_trial (seed, MACHINES_MIN + (unsigned)(seed % sizes),
                               seed / sizes % 2);

  for (unsigned i = 0; i < ROUNDS && !t->world->violation; i++)
    {
      int64_t until = t->world->now + random_ms (t, 2000, 15000);

      while (t->world->now < until && !t->world->violation)
        {
          disturb (t);
          advance (t, random_ms (t, 5, 2500), true);
        }
      calm_down (t);
      check_recovery (t);
    }
  return end_trial (t, seed);
}

/* A change of the members that spends the tolerance of lost disks on hosts
   that are only silent, or that leaves the group too small after a repair. */
static void
overlapping_losses_leave_a_majority_of_intact_disks (void **state)
{
  (void)state;
  assert_int_equal (seeds_failed (run_seed), 0);
}

int
main (void)
{
  const struct CMUnitTest tests[] = { cmocka_unit_test (
      overlapping_losses_leave_a_majority_of_intact_disks) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
