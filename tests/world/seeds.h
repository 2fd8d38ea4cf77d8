/**
 * DOC: Runs a randomized test with many seeds.
 */
#ifndef WORLD_SEEDS_H
#define WORLD_SEEDS_H

#include <stdbool.h>
#include <stdint.h>

/**
 * seeds_failed() - runs a test with the seeds 1 to 1000
 * @run: runs one seed, prints any failure, and returns whether it passed
 *
 * Environment: SEED=n runs only that seed; CHECK_SHORT runs only the first
 * tenth of the seeds; STOP_FIRST stops at the first failure.
 *
 * Return: number of seeds that failed.
 */
uint64_t seeds_failed (bool (*run) (uint64_t seed));

/** seeds_failed_up_to() - as seeds_failed(), with the seeds 1 to @seeds */
uint64_t seeds_failed_up_to (uint64_t seeds, bool (*run) (uint64_t seed));

#endif
