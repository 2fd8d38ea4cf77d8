/**
 * DOC: Cold targets: limits the statements that all hosts together send to a
 * target that has just started or come back and is slow for a while.
 *
 * The control leader grants tokens for a resource that is named after the
 * target, from the same buckets as the tokens of teams.  A target stays cold
 * for the time that it reported, by the clock of the leader, whether or not it
 * reports again.  No I/O; no clock is read.
 */
#ifndef CFS_COLD_H
#define CFS_COLD_H

#include "../version/catalog.h"
#include "targets.h"

/* Longest warm-up; a longer one in a report is shortened to it. */
#define COLD_MAX_MS (24u * 3600 * 1000)

/** struct cfs_cold_limits - token bucket of a cold target */
struct cfs_cold_limits
{
  double rate;
  double burst;
};

/**
 * struct cfs_cold_rule - what the platform allows beyond a service's rate
 * @overshoot: factor on the rate
 * @slack: statements in a second in addition
 */
struct cfs_cold_rule
{
  double overshoot;
  double slack;
};

/** struct cfs_cold_timer - end of the warm-up of a target; 0 if not known */
struct cfs_cold_timer
{
  char id[CFS_NAME_MAX];
  int64_t until;
};

/** cfs_cold_per_s() - statements per second that a cold target of a service is
 * to receive, 0 if they are not limited; @catalog may be NULL */
double cfs_cold_per_s (const struct cfs_catalog *catalog, const char *service);

/** cfs_target_is_cold() - whether the statements to a target are limited */
bool cfs_target_is_cold (const struct cfs_catalog *catalog,
                         const struct cfs_target *target);

/** cfs_cold_resource() - name of the tokens of a target
 * @out: CFS_NAME_MAX bytes, written */
void cfs_cold_resource (const char *target, char *out);

/**
 * cfs_cold_limits() - the bucket with which no second sees more statements
 * than @per_s times the overshoot, plus the slack
 *
 * Tokens that are granted within a second and their lifetime may be used in
 * one second.
 */
struct cfs_cold_limits cfs_cold_limits (double per_s,
                                        const struct cfs_cold_rule *rule);

/**
 * cfs_cold_find() - the cold target that a resource name belongs to
 * @targets: table of struct cfs_target
 *
 * Return: entry of @targets, or NULL.
 */
const struct cfs_target *cfs_cold_find (const struct cfs_table *targets,
                                        const struct cfs_catalog *catalog,
                                        const char *resource);

/**
 * cfs_cold_report() - applies the current report of a target to its entry
 * @known: entry so far, or NULL
 * @next: entry that replaces it, with the reported warm-up; where statements
 * are not limited, it is not cold
 * @timers: table of struct cfs_cold_timer, gets the end of the warm-up
 */
void cfs_cold_report (const struct cfs_catalog *catalog,
                      const struct cfs_target *known, struct cfs_target *next,
                      struct cfs_table *timers, int64_t now);

/**
 * cfs_cold_has_ended() - whether the warm-up of a target is over
 *
 * The first call for a target whose end is not known, as at a new leader,
 * starts the whole time anew.
 */
bool cfs_cold_has_ended (struct cfs_table *timers,
                         const struct cfs_target *target, int64_t now);

#endif
