/**
 * DOC: Samples of the primaries' log positions, for reads with bounded
 * staleness.
 *
 * A sample is a position in a reply of the primary and the time at which the
 * request was sent.  It covers every commit that was acknowledged before that
 * time.  The replies to a read-write BEGIN, a write, and a commit of a
 * transaction that wrote prove that the instance was the primary.
 */
#ifndef CFS_SAMPLE_H
#define CFS_SAMPLE_H

#include "pool.h"

struct cfs_samples;

/** cfs_samples_new() - no samples yet; freed by cfs_samples_free() */
struct cfs_samples *cfs_samples_new (struct cfs_pool *pool);

/** cfs_samples_free() - cancels outstanding queries and frees the samples */
void cfs_samples_free (struct cfs_samples *samples);

/**
 * cfs_samples_add() - records a position from a reply of the primary
 * @requested_at: when the request was sent
 */
void cfs_samples_add (struct cfs_samples *samples, const char *service,
                      const struct cfs_position *position,
                      int64_t requested_at);

/**
 * cfs_samples_min_position() - minimum log position of a replica for a read
 * @max_age_us: the read must see commits acknowledged longer ago than this
 * @team: team whose connection queries the primary if none is idle
 * @out: the position, written on success
 *
 * Return: whether a sample is recent enough; if not, the primary is queried
 * and the caller tries again later.
 */
bool cfs_samples_min_position (struct cfs_samples *samples,
                               const char *service, int64_t max_age_us,
                               const char *team, int64_t now,
                               struct cfs_position *out);

/** cfs_samples_tick() - queries primaries in advance for services with recent
 * reads, and ends queries that timed out */
void cfs_samples_tick (struct cfs_samples *samples, int64_t now);

#endif
