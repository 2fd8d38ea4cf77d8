/*
 * Elections after restarts.  A leader that restarts together with its voters
 * asks for votes at once and gets them, since none of them can still follow
 * it.  A voter that may follow another leader must go on refusing, also after
 * a restart, when it knows only what it has stored.
 */
#include "../../src/process/raft_int.h"
#include "../world/control.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

/* One way between two regions. */
#define DELAY_US (12 * CFS_US_PER_MS)
#define START_US (3 * CFS_US_PER_S)
/* Pre-vote, vote and first append: three round trips, and the time to ask. */
#define REELECTED_US (150 * CFS_US_PER_MS)
#define RESTARTS 50
#define FIRST_ID 1000

static struct world_control *
start_group (uint64_t seed)
{
  struct world_control *w = wc_new (seed);

  w->delay_us = DELAY_US;
  wc_run (w, START_US);
  assert_in_range (wc_find_leader (w), 0, WC_VOTERS - 1);
  return w;
}

static void
restart_all (struct world_control *w)
{
  for (unsigned i = 0; i < WC_VOTERS; i++)
    wc_crash (w, i);
  for (unsigned i = 0; i < WC_VOTERS; i++)
    wc_start (w, i);
}

static void
a_restarted_group_has_its_leader_at_once (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= RESTARTS; seed++)
    {
      struct world_control *w = start_group (seed);
      int leader = wc_find_leader (w);

      restart_all (w);
      wc_run (w, REELECTED_US);
      assert_int_equal (wc_find_leader (w), leader);
      assert_null (w->violation);
      wc_free (w);
    }
}

static void
a_restarted_leader_leads_again_at_once (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= RESTARTS; seed++)
    {
      struct world_control *w = start_group (seed);
      int leader = wc_find_leader (w);

      wc_crash (w, (unsigned)leader);
      wc_start (w, (unsigned)leader);
      wc_run (w, REELECTED_US);
      assert_int_equal (wc_find_leader (w), leader);
      assert_null (w->violation);
      wc_free (w);
    }
}

/* Passes a message of host @from to host 0, as if it had just arrived. */
static void
receive (struct world_control *w, enum raft_msg_type type, unsigned from,
         uint64_t term)
{
  struct wc_host *h = &w->hosts[0];
  Cfs__RaftMsg m = CFS__RAFT_MSG__INIT;
  char name[] = { 'c', (char)('1' + from), '\0' };

  m.type = type;
  m.from = FIRST_ID + from;
  m.to = FIRST_ID;
  m.term = term;
  m.host = name;
  m.index = type == MSG_APPEND ? 0 : UINT32_MAX;
  m.log_term = type == MSG_APPEND ? 0 : term;
  cfs_raft_receive (h->raft, &m, w->now);
}

/* Whether host 0 grants a pre-vote to host @from now. */
static bool
grants_prevote (struct world_control *w, unsigned from, uint64_t term)
{
  const struct wc_message *last;
  Cfs__Peer *p;
  bool granted;

  receive (w, MSG_PREVOTE, from, term);
  last = &w->messages[w->message_count - 1];
  p = cfs__peer__unpack (NULL, last->len, last->data);
  assert_int_equal (p->raft->type, MSG_PREVOTE_REPLY);
  granted = !p->raft->reject;
  cfs__peer__free_unpacked (p, NULL);
  return granted;
}

/* Hosts 1 and 2 are gone; host 0 voted for host 1 in a term that host 2 won,
   and follows host 2. */
static struct world_control *
voter_that_follows_other (bool disk_full)
{
  struct world_control *w = wc_new (1);

  wc_crash (w, 1);
  wc_crash (w, 2);
  w->now += RAFT_ELECTION_US;
  receive (w, MSG_VOTE, 1, 9);
  assert_int_equal (w->hosts[0].disk.vote, FIRST_ID + 1);
  w->hosts[0].disk.full = disk_full;
  receive (w, MSG_APPEND, 2, 9);
  w->hosts[0].disk.full = false;
  return w;
}

static void
a_restarted_voter_grants_no_vote_to_a_rival_of_its_leader (void **state)
{
  struct world_control *w = voter_that_follows_other (false);

  (void)state;
  wc_crash (w, 0);
  wc_start (w, 0);
  assert_false (grants_prevote (w, 1, 10));
  assert_true (grants_prevote (w, 2, 10));
  w->now += RAFT_ELECTION_US;
  assert_true (grants_prevote (w, 1, 10));
  wc_free (w);
}

/* A leader whose name cannot be stored is not followed: after a restart the
   voter would take the candidate it voted for as its leader. */
static void
a_leader_that_cannot_be_stored_is_not_followed (void **state)
{
  struct world_control *w = voter_that_follows_other (true);

  (void)state;
  assert_int_equal (w->hosts[0].disk.vote, FIRST_ID + 1);
  assert_int_equal (w->hosts[0].raft->leader, 0);
  wc_free (w);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_restarted_group_has_its_leader_at_once),
    cmocka_unit_test (a_restarted_leader_leads_again_at_once),
    cmocka_unit_test (
        a_restarted_voter_grants_no_vote_to_a_rival_of_its_leader),
    cmocka_unit_test (a_leader_that_cannot_be_stored_is_not_followed),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
