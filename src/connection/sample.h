/**
 * DOC: Positions of the primaries, with the time at which they were asked.
 *
 * A commit that was acknowledged before a question was sent to the true
 * primary is covered by the position in its answer.  The answer to a plain
 * BEGIN, a write or a commit that wrote proves that the instance led.
 */
#ifndef CFS_SAMPLE_H
#define CFS_SAMPLE_H

#include "pool.h"

struct cfs_samples;

/** cfs_samples_new() - no samples; freed by cfs_samples_free() */
struct cfs_samples *cfs_samples_new (struct cfs_pool *pool);

/** cfs_samples_free() - gives up what it asked */
void cfs_samples_free (struct cfs_samples *samples);

/**
 * cfs_samples_add() - a position that a primary gave
 * @asked_at: when the question was sent
 */
void cfs_samples_add (struct cfs_samples *samples, const char *service,
                      const struct cfs_position *position,
                      int64_t requested_at);

/**
 * cfs_samples_min_position() - least position that covers what a read must see
 * @max_age_us: commits acknowledged longer ago must be seen
 * @team: team on whose behalf the primary is asked when there is none
 * @out: written
 *
 * Return: whether a sample is young enough; if not, the primary is asked.
 */
bool cfs_samples_min_position (struct cfs_samples *samples,
                               const char *service, int64_t max_age_us,
                               const char *team, int64_t now,
                               struct cfs_position *out);

/** cfs_samples_tick() - asks primaries ahead where reads need it */
void cfs_samples_tick (struct cfs_samples *samples, int64_t now);

#endif
