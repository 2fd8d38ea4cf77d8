/**
 * DOC: A group of three instances, orders and a replicated state in virtual
 * time, around the real changes of primary.
 */
#ifndef WORLD_FAILOVER_H
#define WORLD_FAILOVER_H

#include "../../src/process/failover.h"

/**
 * wf_run_seed() - faults drawn from a seed, then a calm time
 *
 * Prints what failed.  Return: whether nothing did.
 */
bool wf_run_seed (uint64_t seed);

/** wf_start() - a group whose first instance leads, one leader, no faults */
void wf_start (uint64_t seed);

/** wf_end() - frees everything */
void wf_end (void);

/** wf_run() - advances virtual time */
void wf_run (int64_t us);

/** wf_kill() - an instance stops */
void wf_kill (unsigned instance);

/** wf_cut() - the leader and hosts reach an instance, or do not */
void wf_cut (unsigned instance, bool cut);

/** wf_suspect() - hosts cannot use an instance that the leader reaches */
void wf_suspect (unsigned instance);

/** wf_primary() - the instance that leads, or -1 */
int wf_primary (void);

/** wf_unregister() - an instance receives and has not announced itself yet */
void wf_unregister (unsigned instance);

/** wf_drain() - an instance announced that it leaves */
void wf_drain (unsigned instance);

/** wf_failover_count() - number of changes of primary so far */
unsigned wf_failover_count (void);

/** wf_violation() - a promise that was broken, or NULL */
const char *wf_violation (void);

/** wf_state() - the replicated state */
struct cfs_state *wf_state (void);

#endif
