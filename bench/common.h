/**
 * DOC: Statistics and output shared by the benchmarks.
 *
 * Each figure is printed as one JSON line.  Figures with a bound are measured
 * in virtual time with fixed seeds, so a bound is met or missed alike on every
 * machine.
 */
#ifndef BENCH_COMMON_H
#define BENCH_COMMON_H

#include "../src/cfs.h"

/**
 * struct bench - one benchmark
 * @name: value of "bench" in its JSON lines
 * @missed_bounds: number of figures beyond their bound
 */
struct bench
{
  const char *name;
  int missed_bounds;
};

/** struct bench_series - list of samples; zeroed memory is an empty list */
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

/** bench_percentile() - value at @fraction of the sorted samples, 0 if none */
double bench_percentile (struct bench_series *s, double fraction);

/** bench_end() - frees the samples */
void bench_end (struct bench_series *s);

/** bench_uniform() - uniformly distributed number above 0 and at most 1 */
double bench_uniform (uint64_t *seed);

/** bench_exponential() - exponentially distributed number of this mean */
double bench_exponential (uint64_t *seed, double mean);

#endif
