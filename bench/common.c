/*
 * Percentiles are taken from all samples, sorted when asked for.
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
judge (struct bench *b, const char *figure, double value, const char *unit,
       const char *sign, double bound, bool ok)
{
  printf ("{\"bench\":\"%s\",\"figure\":\"%s\",\"value\":%.4g,\"unit\":\"%s\""
          ",\"bound\":\"%s %.4g\",\"ok\":%s}\n",
          b->name, figure, value, unit, sign, bound, ok ? "true" : "false");
  b->missed += !ok;
}

void
bench_at_most (struct bench *b, const char *figure, double value,
               const char *unit, double bound)
{
  judge (b, figure, value, unit, "<=", bound, value <= bound);
}

void
bench_at_least (struct bench *b, const char *figure, double value,
                const char *unit, double bound)
{
  judge (b, figure, value, unit, ">=", bound, value >= bound);
}

void
bench_add (struct bench_series *s, double value)
{
  cfs_grow (&s->at, &s->cap, s->count, sizeof *s->at);
  s->at[s->count++] = value;
}

static int
compare (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

double
bench_percentile (struct bench_series *s, double share)
{
  if (s->count == 0)
    return 0;
  qsort (s->at, s->count, sizeof *s->at, compare);
  return s->at[(size_t)((double)(s->count - 1) * share)];
}

void
bench_end (struct bench_series *s)
{
  free (s->at);
  s->at = NULL;
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
