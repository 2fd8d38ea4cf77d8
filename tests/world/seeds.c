/*
 * The same loop for every random schedule.
 */
#include "seeds.h"

#include <stdlib.h>

#define SEEDS 1000

uint64_t
seeds_failed (bool (*run) (uint64_t seed))
{
  const char *one = getenv ("SEED");
  uint64_t seeds = getenv ("CHECK_SHORT") ? SEEDS / 10 : SEEDS;
  uint64_t failed = 0;

  if (one)
    return !run (strtoull (one, NULL, 10));
  for (uint64_t seed = 1; seed <= seeds; seed++)
    {
      failed += !run (seed);
      if (failed && getenv ("STOP_FIRST"))
        break;
    }
  return failed;
}
