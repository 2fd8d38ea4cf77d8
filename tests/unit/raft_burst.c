/*
 * A burst of proposals, as when all hosts report to a new control leader at
 * once: it is stored with few writes, and each entry is sent about once.  With
 * a write for each entry and all unconfirmed entries in each message, the
 * leader would be busy with the burst for longer than its lead lasts.
 */
#include "../world/control.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

#include <cmocka.h>

#define BURST 200
#define PER_STEP 10
#define WRITES_MAX 8
/* One way between two regions. */
#define DELAY_US (12 * CFS_US_PER_MS)
/* Each entry goes to two followers. */
#define SENT_MAX (2 * BURST + BURST / 2)
#define REPLICATION_US (400 * CFS_US_PER_MS)

static struct wc_host *
start_group (struct world_control *w)
{
  int leader;

  wc_run (w, 3 * CFS_US_PER_S);
  leader = wc_find_leader (w);
  assert_in_range (leader, 0, WC_VOTERS - 1);
  return &w->hosts[leader];
}

/* Proposes the burst, some entries in each step of the simulation. */
static void
propose_burst (struct world_control *w, const struct wc_host *leader,
               int per_step)
{
  for (int i = 0; i < BURST; i++)
    {
      char id[16];

      snprintf (id, sizeof id, "r%d", i);
      assert_true (wc_patch (w, leader->index, 0, "{}", id));
      if (i % per_step == per_step - 1 && i + 1 < BURST)
        wc_run (w, WC_STEP_US);
    }
}

static void
check_burst (int per_step, uint64_t writes_max)
{
  struct world_control *w = wc_new (1);
  struct wc_host *leader;
  uint64_t writes;
  uint64_t sent;
  uint64_t last;

  w->delay_us = DELAY_US;
  leader = start_group (w);
  writes = leader->disk.writes;
  sent = leader->entries_sent;
  propose_burst (w, leader, per_step);
  last = cfs_raft_last_index (leader->raft);
  wc_run (w, REPLICATION_US);
  for (unsigned i = 0; i < WC_VOTERS; i++)
    assert_true (cfs_raft_commit_index (w->hosts[i].raft) >= last);
  assert_in_range (leader->disk.writes - writes, 1, writes_max);
  assert_in_range (leader->entries_sent - sent, 2 * BURST, SENT_MAX);
  wc_free (w);
}

static void
a_burst_of_proposals_is_stored_and_sent_together (void **state)
{
  (void)state;
  check_burst (BURST, WRITES_MAX);
  check_burst (PER_STEP, BURST / PER_STEP + WRITES_MAX);
}

/* What was not stored before the lead was lost is not in the log. */
static void
proposals_that_cannot_be_stored_are_dropped (void **state)
{
  struct world_control *w = wc_new (2);
  struct wc_host *leader = start_group (w);
  uint64_t last = cfs_raft_last_index (leader->raft);

  (void)state;
  leader->disk.full = true;
  propose_burst (w, leader, BURST);
  wc_run (w, WC_STEP_US);
  assert_int_not_equal (cfs_raft_role (leader->raft), RAFT_LEADER);
  assert_int_equal (cfs_raft_last_index (leader->raft), last);
  leader->disk.full = false;
  wc_run (w, 3 * CFS_US_PER_S);
  assert_true (wc_find_leader (w) >= 0);
  assert_null (w->violation);
  wc_free (w);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (a_burst_of_proposals_is_stored_and_sent_together),
          cmocka_unit_test (proposals_that_cannot_be_stored_are_dropped) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
