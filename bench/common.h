/**
 * DOC: Figures of the benchmarks, one JSON line each.
 *
 * All runs are in virtual time with fixed seeds, so a bound gives the same
 * verdict on every machine.
 */
#ifndef BENCH_COMMON_H
#define BENCH_COMMON_H

#include "../src/cfs.h"

/** struct bench - collects the verdict of one benchmark */
struct bench
{
  const char *name;
  int missed_bounds;
};

/** struct bench_series - samples for percentiles; zeroed memory is empty */
struct bench_series
{
  double *values;
  size_t count;
  size_t cap;
};

/** bench_report() - prints a figure without a bound */
void bench_report (struct bench *b, const char *figure, double value,
                   const char *unit);

/** bench_at_most() - prints a figure that must not exceed @bound */
void bench_at_most (struct bench *b, const char *figure, double value,
                    const char *unit, double bound);

/** bench_at_least() - prints a figure that must reach @bound */
void bench_at_least (struct bench *b, const char *figure, double value,
                     const char *unit, double bound);

/** bench_add() - adds a sample */
void bench_add (struct bench_series *s, double value);

/** bench_percentile() - value below which @fraction of the samples lie */
double bench_percentile (struct bench_series *s, double fraction);

/** bench_end() - frees the samples */
void bench_end (struct bench_series *s);

/** bench_uniform() - number above 0 and at most 1 */
double bench_uniform (uint64_t *seed);

/** bench_exponential() - exponential number of this mean */
double bench_exponential (uint64_t *seed, double mean);

#endif
