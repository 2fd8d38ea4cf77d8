/*
 * Runs a randomized test with many seeds.
 */
#include "seeds.h"

#include <stdlib.h>

#define SEEDS 1000

uint64_t
seeds_failed (bool (*run) (uint64_t seed))
{
  return seeds_failed_up_to (SEEDS, run);
}

uint64_t
seeds_failed_up_to (uint64_t seeds, bool (*run) (uint64_t seed))
{
  const char *only_seed = getenv ("SEED");
  uint64_t failed = 0;

  if (only_seed)
    return !run (strtoull (only_seed, NULL, 10));
  if (getenv ("CHECK_SHORT"))
    seeds /= 10;
  for (uint64_t seed = 1; seed <= seeds; seed++)
    {
      failed += !run (seed);
      if (failed && getenv ("STOP_FIRST"))
        break;
    }
  return failed;
}
