/**
 * DOC: A group of three instances, orders and a replicated state in virtual
 * time, around the real changes of primary.
 */
#ifndef WORLD_FAILOVER_H
#define WORLD_FAILOVER_H

#include "../../src/process/failover.h"

/**
 * wsu_run_seed() - faults drawn from a seed, then a calm time
 *
 * Prints what failed.  Return: whether nothing did.
 */
bool wsu_run_seed (uint64_t seed);

/** wsu_start() - a group whose first instance leads, one leader, no faults */
void wsu_start (uint64_t seed);

/** wsu_end() - frees everything */
void wsu_end (void);

/** wsu_run() - advances virtual time */
void wsu_run (int64_t us);

/** wsu_kill() - an instance stops */
void wsu_kill (unsigned instance);

/** wsu_cut() - the leader and hosts reach an instance, or do not */
void wsu_cut (unsigned instance, bool cut);

/** wsu_suspect() - hosts cannot use an instance that the leader reaches */
void wsu_suspect (unsigned instance);

/** wsu_primary() - the instance that leads, or -1 */
int wsu_primary (void);

/** wsu_hide() - an instance receives and has not announced itself yet */
void wsu_hide (unsigned instance);

/** wsu_drain() - an instance announced that it leaves */
void wsu_drain (unsigned instance);

/** wsu_changes() - number of changes of primary so far */
unsigned wsu_changes (void);

/** wsu_fault() - a promise that was broken, or NULL */
const char *wsu_fault (void);

/** wsu_state() - the replicated state */
struct cfs_state *wsu_state (void);

#endif
