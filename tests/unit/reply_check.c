/* Which replies match which statements. */
#include "../../src/connection/reply_check.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>

#include <cmocka.h>
#include <glib.h>

#define PROOF_BYTES 24

static struct cfs_reply
success (const char *proof, enum cfs_tx_state state, uint64_t number)
{
  struct cfs_reply r = {
    .rows = "", .proof = proof, .state = state, .position = { 3, number }
  };

  return r;
}

static struct cfs_reply
error (enum cfs_tx_state state)
{
  struct cfs_reply r
      = { .code = REPLY_BUSY, .rows = "", .text = "later", .state = state };

  return r;
}

/* What a reply counts as for a statement on a new connection in state
   @before. */
static enum cfs_reply_fault
single (enum cfs_verb verb, enum cfs_tx_state before, struct cfs_reply r)
{
  struct cfs_reply_check check = { .state = before };
  enum cfs_reply_fault fault;

  cfs_reply_check_sent (&check, verb);
  fault = cfs_reply_check_reply (&check, &r);
  cfs_reply_check_end (&check);
  return fault;
}

static enum cfs_reply_fault
next (struct cfs_reply_check *check, enum cfs_verb verb, struct cfs_reply r)
{
  cfs_reply_check_sent (check, verb);
  return cfs_reply_check_reply (check, &r);
}

#define FITS(verb, before, ...)                                               \
  assert_int_equal (single (verb, before, __VA_ARGS__), REPLY_MATCHES)
#define MISFITS(verb, before, ...)                                            \
  assert_int_equal (single (verb, before, __VA_ARGS__), REPLY_MISFIT)

static void
a_success_has_the_proof_and_state_of_its_statement (void **state)
{
  (void)state;
  FITS (VERB_BEGIN, TX_IDLE, success (NULL, TX_OPEN, 1));
  FITS (VERB_READ, TX_OPEN, success ("p", TX_OPEN, 1));
  FITS (VERB_WRITE, TX_IDLE, success ("p", TX_IDLE, 1));
  FITS (VERB_COMMIT, TX_OPEN, success ("p", TX_IDLE, 1));
  FITS (VERB_ROLLBACK, TX_FAILED, success (NULL, TX_IDLE, 1));
  FITS (VERB_SET, TX_OPEN, success (NULL, TX_OPEN, 1));
  MISFITS (VERB_BEGIN, TX_IDLE, success ("p", TX_IDLE, 1));
  MISFITS (VERB_BEGIN, TX_IDLE, success (NULL, TX_IDLE, 1));
  MISFITS (VERB_WRITE, TX_OPEN, success (NULL, TX_OPEN, 1));
  MISFITS (VERB_WRITE, TX_OPEN, success ("p", TX_IDLE, 1));
  MISFITS (VERB_COMMIT, TX_OPEN, success ("p", TX_OPEN, 1));
  MISFITS (VERB_COMMIT, TX_OPEN, success (NULL, TX_IDLE, 1));
  MISFITS (VERB_ROLLBACK, TX_OPEN, success ("p", TX_IDLE, 1));
  MISFITS (VERB_PREPARE, TX_IDLE, success (NULL, TX_OPEN, 1));
  MISFITS (VERB_READ, TX_FAILED, success ("p", TX_FAILED, 1));
  MISFITS (VERB_STATUS, TX_IDLE, success (NULL, TX_IDLE, 1));
}

static void
an_error_leaves_the_state_or_fails_the_transaction (void **state)
{
  (void)state;
  FITS (VERB_WRITE, TX_IDLE, error (TX_IDLE));
  FITS (VERB_BEGIN, TX_IDLE, error (TX_IDLE));
  FITS (VERB_WRITE, TX_OPEN, error (TX_OPEN));
  FITS (VERB_READ, TX_OPEN, error (TX_FAILED));
  FITS (VERB_COMMIT, TX_OPEN, error (TX_OPEN));
  FITS (VERB_ROLLBACK, TX_OPEN, error (TX_IDLE));
  FITS (VERB_READ, TX_FAILED, error (TX_FAILED));
  MISFITS (VERB_WRITE, TX_IDLE, error (TX_FAILED));
  MISFITS (VERB_WRITE, TX_OPEN, error (TX_IDLE));
  MISFITS (VERB_COMMIT, TX_OPEN, error (TX_IDLE));
}

static void
a_proof_counts_once_on_a_connection (void **state)
{
  struct cfs_reply_check check = { .count = 0 };
  char proof[PROOF_BYTES];

  (void)state;
  for (int i = 0; i < REPLY_CHECK_PROOFS; i++)
    {
      g_snprintf (proof, sizeof proof, "p%d", i);
      assert_int_equal (next (&check, VERB_WRITE, success (proof, TX_IDLE, 1)),
                        REPLY_MATCHES);
    }
  assert_int_equal (next (&check, VERB_WRITE, success ("p0", TX_IDLE, 1)),
                    REPLY_REPEATED);
  cfs_reply_check_end (&check);
}

static void
a_reply_to_nothing_does_not_match (void **state)
{
  struct cfs_reply_check check = { .count = 0 };
  struct cfs_reply r = success ("p", TX_IDLE, 1);

  (void)state;
  assert_int_equal (cfs_reply_check_reply (&check, &r), REPLY_UNASKED);
}

static void
a_primary_does_not_begin_on_a_shorter_log (void **state)
{
  struct cfs_reply_check check = { .count = 0 };

  (void)state;
  assert_int_equal (next (&check, VERB_WRITE, success ("p", TX_IDLE, 9)),
                    REPLY_MATCHES);
  assert_int_equal (next (&check, VERB_BEGIN, success (NULL, TX_OPEN, 8)),
                    REPLY_OUTDATED);
  cfs_reply_check_end (&check);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (a_success_has_the_proof_and_state_of_its_statement),
    cmocka_unit_test (an_error_leaves_the_state_or_fails_the_transaction),
    cmocka_unit_test (a_proof_counts_once_on_a_connection),
    cmocka_unit_test (a_reply_to_nothing_does_not_match),
    cmocka_unit_test (a_primary_does_not_begin_on_a_shorter_log),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
