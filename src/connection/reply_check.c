/*
 * An instance runs the statements of a connection in order, so the transaction
 * state before a statement is that after the reply before it.  A proof is
 * unique to an execution; proofs are compared by their hashes.
 */
#include "reply_check.h"

#include <stdlib.h>
#include <string.h>

#define PROOF_SEED 1

void
cfs_reply_check_sent (struct cfs_reply_check *c, enum cfs_verb verb)
{
  cfs_grow (&c->verbs, &c->cap, c->count, sizeof *c->verbs);
  c->verbs[c->count++] = verb;
}

enum cfs_verb
cfs_reply_check_next (const struct cfs_reply_check *c)
{
  return c->count ? c->verbs[0] : VERB_STATUS;
}

/* Whether the reply to a statement has the state of the instance in a row. */
static bool
reports_state (enum cfs_verb verb)
{
  return verb == VERB_STATUS || verb == VERB_PAUSE || verb == VERB_RESUME
         || verb == VERB_DEMOTE;
}

static bool
runs_with_proof (enum cfs_verb verb)
{
  return verb == VERB_READ || verb == VERB_WRITE || verb == VERB_EXECUTE
         || verb == VERB_COMMIT;
}

static bool
begins (enum cfs_verb verb)
{
  return verb == VERB_BEGIN || verb == VERB_BEGIN_READ;
}

static bool
ends (enum cfs_verb verb)
{
  return verb == VERB_COMMIT || verb == VERB_ROLLBACK;
}

static bool
success_fits (enum cfs_verb verb, enum cfs_tx_state before,
              const struct cfs_reply *r)
{
  if (runs_with_proof (verb) != (r->proof != NULL))
    return false;
  if (reports_state (verb) ? r->row_count != 1
                           : !runs_with_proof (verb) && r->row_count)
    return false;
  if (ends (verb))
    return r->state == TX_IDLE;
  if (begins (verb))
    return before == TX_IDLE && r->state == TX_OPEN;
  return before != TX_FAILED && r->state == before;
}

/* A commit that was not run because of overload leaves its transaction. */
static bool
error_fits (enum cfs_verb verb, enum cfs_tx_state before,
            const struct cfs_reply *r)
{
  enum cfs_tx_state after = r->state;

  if (before == TX_IDLE)
    return after == TX_IDLE;
  if (verb == VERB_COMMIT && r->code == REPLY_BUSY)
    return after != TX_IDLE;
  if (ends (verb))
    return true;
  return after == TX_FAILED || after == before;
}

static bool
proof_seen (const struct cfs_reply_check *c, uint64_t hash)
{
  size_t kept = c->proof_count < REPLY_CHECK_PROOFS ? c->proof_count
                                                    : REPLY_CHECK_PROOFS;

  for (size_t i = 0; i < kept; i++)
    if (c->proofs[i] == hash)
      return true;
  return false;
}

/* Whether the proof is that of an earlier reply; records it otherwise. */
static bool
repeats_proof (struct cfs_reply_check *c, const char *proof)
{
  uint64_t hash;

  if (!proof)
    return false;
  hash = cfs_hash (proof, strlen (proof), PROOF_SEED);
  if (proof_seen (c, hash))
    return true;
  c->proofs[c->proof_count++ % REPLY_CHECK_PROOFS] = hash;
  return false;
}

/* Whether a primary begins a transaction on a shorter log than it had. */
static bool
is_outdated (const struct cfs_reply_check *c, enum cfs_verb verb,
             const struct cfs_reply *r)
{
  return verb == VERB_BEGIN && r->code == REPLY_OK && r->position.term
         && cfs_position_compare (&r->position, &c->position) < 0;
}

static enum cfs_reply_fault
compare (struct cfs_reply_check *c, enum cfs_verb verb,
         const struct cfs_reply *r)
{
  if (repeats_proof (c, r->proof))
    return REPLY_REPEATED;
  if (r->code == REPLY_OK ? !success_fits (verb, c->state, r)
                          : !error_fits (verb, c->state, r))
    return REPLY_MISFIT;
  return is_outdated (c, verb, r) ? REPLY_OUTDATED : REPLY_MATCHES;
}

enum cfs_reply_fault
cfs_reply_check_reply (struct cfs_reply_check *c, const struct cfs_reply *r)
{
  enum cfs_reply_fault fault;

  if (c->count == 0)
    return REPLY_UNASKED;
  fault = compare (c, c->verbs[0], r);
  if (fault != REPLY_MATCHES)
    return fault;
  c->count--;
  memmove (c->verbs, c->verbs + 1, c->count * sizeof *c->verbs);
  c->state = r->state;
  if (cfs_position_compare (&r->position, &c->position) > 0)
    c->position = r->position;
  return REPLY_MATCHES;
}

const char *
cfs_reply_fault_name (enum cfs_reply_fault fault)
{
  static const char *const names[]
      = { "matches", "unasked", "misfit", "repeated", "outdated" };

  return (unsigned)fault <= REPLY_OUTDATED ? names[fault] : "other";
}

void
cfs_reply_check_end (struct cfs_reply_check *c)
{
  free (c->verbs);
  memset (c, 0, sizeof *c);
}
