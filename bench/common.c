/*
 * Percentiles are exact: all samples are kept, and sorted by each call of
 * bench_percentile().
 */
#include "common.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

void
bench_report (struct bench *b, const char *figure, double value,
              const char *unit)
{
  printf ("{\"bench\":\"%s\",\"figure\":\"%s\",\"value\":%.4g,\"unit\":\"%s\""
          "}\n",
          b->name, figure, value, unit);
}

static void
report_bound (struct bench *b, const char *figure, double value,
              const char *unit, const char *relation, double bound, bool met)
{
  printf ("{\"bench\":\"%s\",\"figure\":\"%s\",\"value\":%.4g,\"unit\":\"%s\""
          ",\"bound\":\"%s %.4g\",\"ok\":%s}\n",
          b->name, figure, value, unit, relation, bound,
          met ? "true" : "false");
  b->missed_bounds += !met;
}

void
bench_at_most (struct bench *b, const char *figure, double value,
               const char *unit, double bound)
{
  report_bound (b, figure, value, unit, "<=", bound, value <= bound);
}

void
bench_at_least (struct bench *b, const char *figure, double value,
                const char *unit, double bound)
{
  report_bound (b, figure, value, unit, ">=", bound, value >= bound);
}

void
bench_add (struct bench_series *s, double value)
{
  cfs_grow (&s->values, &s->cap, s->count, sizeof *s->values);
  s->values[s->count++] = value;
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

double
bench_percentile (struct bench_series *s, double fraction)
{
  if (s->count == 0)
    return 0;
  qsort (s->values, s->count, sizeof *s->values, compare_doubles);
  return s->values[(size_t)((double)(s->count - 1) * fraction)];
}

void
bench_end (struct bench_series *s)
{
  free (s->values);
  s->values = NULL;
  s->count = 0;
  s->cap = 0;
}

double
bench_uniform (uint64_t *seed)
{
  return ((double)(cfs_random (seed) >> 11) + 1) / 9007199254740993.0;
}

double
bench_exponential (uint64_t *seed, double mean)
{
  return -log (bench_uniform (seed)) * mean;
}
