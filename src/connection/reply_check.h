/**
 * DOC: Whether the replies on a connection to an instance match the statements
 * sent on it.
 *
 * Replies carry no id and are matched to statements by order.  An instance
 * that answers a statement twice takes the connection out of step: each later
 * reply would count as that of the next statement.  The check knows which
 * reply a statement can have: with or without a proof that was not seen on the
 * connection before, how many rows, and the transaction state after it.  It
 * reads no clock and does no I/O.
 *
 * Two replies cannot be told apart by it: a repeated error, and a repeated
 * reply without a proof if the next statement may have the same one.
 */
#ifndef CFS_REPLY_CHECK_H
#define CFS_REPLY_CHECK_H

#include "adapter.h"

/* Proofs of the last replies that are kept for comparison. */
#define REPLY_CHECK_PROOFS 256

/**
 * enum cfs_reply_fault - why a reply does not match
 * @REPLY_MATCHES: it does
 * @REPLY_UNASKED: no statement is outstanding
 * @REPLY_MISFIT: the statement cannot have this reply
 * @REPLY_REPEATED: its proof was given to an earlier statement
 * @REPLY_OUTDATED: the log was longer in an earlier reply
 */
enum cfs_reply_fault
{
  REPLY_MATCHES,
  REPLY_UNASKED,
  REPLY_MISFIT,
  REPLY_REPEATED,
  REPLY_OUTDATED
};

/**
 * struct cfs_reply_check - state of one connection; zeroed at its start
 * @verbs: statements without a reply, oldest first
 * @count: how many
 * @cap: capacity of @verbs
 * @state: transaction state after the last reply
 * @position: highest position in a reply
 * @proofs: hashes of the last proofs, in a ring
 * @proof_count: proofs seen
 */
struct cfs_reply_check
{
  enum cfs_verb *verbs;
  size_t count;
  size_t cap;
  enum cfs_tx_state state;
  struct cfs_position position;
  uint64_t proofs[REPLY_CHECK_PROOFS];
  size_t proof_count;
};

/** cfs_reply_check_sent() - records a statement that is sent */
void cfs_reply_check_sent (struct cfs_reply_check *check, enum cfs_verb verb);

/**
 * cfs_reply_check_next() - the oldest statement without a reply
 *
 * Return: its verb, or VERB_STATUS if there is none.
 */
enum cfs_verb cfs_reply_check_next (const struct cfs_reply_check *check);

/**
 * cfs_reply_check_reply() - compares a reply with the oldest statement
 *
 * Return: REPLY_MATCHES, with the statement removed; otherwise the connection
 * must not be used any more.
 */
enum cfs_reply_fault cfs_reply_check_reply (struct cfs_reply_check *check,
                                            const struct cfs_reply *reply);

/** cfs_reply_fault_name() - name of a fault in log lines */
const char *cfs_reply_fault_name (enum cfs_reply_fault fault);

/** cfs_reply_check_end() - frees what the check holds */
void cfs_reply_check_end (struct cfs_reply_check *check);

#endif
