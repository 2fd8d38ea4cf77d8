/**
 * DOC: Runs a random schedule over many seeds.
 */
#ifndef WORLD_SEEDS_H
#define WORLD_SEEDS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * seeds_failed() - number of seeds whose run failed
 * @run: runs one seed, prints what failed, and says whether it held
 *
 * SEED=n runs that one alone; CHECK_SHORT runs a tenth of all; STOP_FIRST
 * ends with the first that fails.
 */
uint64_t seeds_failed (bool (*run) (uint64_t seed));

#endif
