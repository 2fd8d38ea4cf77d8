/*
 * Ways in which a service can stay without a primary, or its primary without a
 * replica that receives, although all instances run and can be reached.
 */
#include "../../src/process/log.h"
#include "../world/failover.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>

/* A change of primary is over within this time. */
#define FAILOVER_MAX_US (18 * CFS_US_PER_S)
/* Time in which the first orders of a failover are sent. */
#define ORDERS_US (2 * CFS_US_PER_S)
/* Time in which a failover that is cancelled has ended. */
#define CLOSED_US (5 * CFS_US_PER_S)
/* Time in which a failover without a reply from the primary requests a
   promotion. */
#define REQUEST_MAX_US (6 * CFS_US_PER_S)

static void
start (void)
{
  wf_start (3);
  wf_run (5 * CFS_US_PER_S);
}

/* Commits are acknowledged again in time. */
static void
check_recovery (void)
{
  const char *violation;
  uint64_t before;
  uint64_t after;

  wf_run (FAILOVER_MAX_US);
  before = wf_acknowledged ();
  wf_run (CFS_US_PER_S);
  after = wf_acknowledged ();
  violation = wf_violation ();
  wf_end ();
  assert_null (violation);
  assert_true (after > before);
}

static void
an_order_without_a_reply_does_not_hold_up_a_failover (void **state)
{
  (void)state;
  start ();
  wf_hold_orders (1, true);
  wf_kill (0);
  wf_run (ORDERS_US);
  wf_hold_orders (1, false);
  check_recovery ();
}

/* The failover is cancelled before the orders are carried out. */
static void
replicas_paused_by_a_late_order_receive_again (void **state)
{
  (void)state;
  start ();
  wf_hold_orders (1, true);
  wf_hold_orders (2, true);
  wf_cut_from_leader (0, true);
  wf_suspect (0, true);
  wf_run (ORDERS_US);
  wf_suspect (0, false);
  wf_run (CFS_US_PER_S);
  wf_cut_from_leader (0, false);
  wf_hold_orders (1, false);
  wf_hold_orders (2, false);
  wf_run (CLOSED_US);
  wf_carry_out_orders (1);
  wf_carry_out_orders (2);
  check_recovery ();
}

static void
a_primary_that_restarts_during_a_failover_is_found (void **state)
{
  int first;

  (void)state;
  start ();
  wf_hold_promotions (true);
  wf_exit (0);
  wf_drop (0);
  wf_run (REQUEST_MAX_US);
  first = wf_held_promotion ();
  assert_in_range (first, 1, 2);
  wf_cut_from_leader (3 - (unsigned)first, true);
  wf_run (ORDERS_US);
  wf_carry_out ((unsigned)first);
  wf_run (ORDERS_US);
  assert_int_equal (wf_primary (), first);
  wf_revive ((unsigned)first);
  wf_run (ORDERS_US);
  wf_hold_promotions (false);
  wf_cut_from_leader (3 - (unsigned)first, false);
  check_recovery ();
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (an_order_without_a_reply_does_not_hold_up_a_failover),
    cmocka_unit_test (replicas_paused_by_a_late_order_receive_again),
    cmocka_unit_test (a_primary_that_restarts_during_a_failover_is_found)
  };

  cfs_log_open ("test", getenv ("TRACE") ? CFS_INFO : CFS_ERR);
  return cmocka_run_group_tests (tests, NULL, NULL);
}
