/**
 * DOC: Changes of a service's primary, decided by the control leader.
 *
 * The leader watches each primary and learns from hosts which instances they
 * cannot reach.  When a primary is lost or leaves, all replicas are stopped
 * from receiving, their logs are compared, and the one with the longest log
 * is ordered to lead.  A commit is acknowledged once some replica has it, so
 * the longest log of all replicas has every acknowledged commit; when one of
 * them cannot be asked, nothing is ordered.
 *
 * Each order carries a fencing token that was committed to the replicated
 * log before.  An order without an answer may still be carried out, so it is
 * followed by another with a higher token until one is accepted.
 */
#ifndef CFS_FAILOVER_H
#define CFS_FAILOVER_H

#include "../connection/adapter.h"
#include "state.h"

struct cfs_failover_manager;

/**
 * enum cfs_promotion_result - answer to an order
 * @PROMOTION_ACCEPTED: carried out
 * @PROMOTION_REJECTED: certainly not carried out
 * @PROMOTION_UNKNOWN: it may be carried out later
 */
enum cfs_promotion_result
{
  PROMOTION_ACCEPTED,
  PROMOTION_REJECTED,
  PROMOTION_UNKNOWN
};

/**
 * struct cfs_failover_ops - effects
 * @propose: appends a change of primary to the log; gives its index or 0
 * @promote: orders an instance to lead; cfs_failover_promotion_result()
 * follows
 * @suspecting_hosts: number of hosts that cannot reach a target, of @hosts
 * alive
 */
struct cfs_failover_ops
{
  uint64_t (*propose) (void *ctx, const Cfs__Turn *turn);
  void (*promote) (void *ctx, const char *service, const char *target,
                   uint64_t fence);
  size_t (*suspecting_hosts) (void *ctx, const char *target, size_t *hosts);
};

/**
 * cfs_failover_new() - watches nothing until it leads
 * @adapter: makes connections to instances; all must outlive it
 *
 * Return: freed by cfs_failover_free().
 */
struct cfs_failover_manager *
cfs_failover_new (const struct cfs_failover_ops *ops, void *ctx,
                  const struct cfs_target_adapter *adapter,
                  const struct cfs_state *state, int64_t (*clock) (void));

/** cfs_failover_free() - closes all connections */
void cfs_failover_free (struct cfs_failover_manager *manager);

/**
 * cfs_failover_tick() - at least every 20 ms
 * @is_leader: whether this host leads with a confirmed majority
 * @committed: log index up to which the state is applied
 */
void cfs_failover_tick (struct cfs_failover_manager *manager, bool is_leader,
                        uint64_t committed, int64_t now);

/** cfs_failover_promotion_result() - the answer to an order */
void cfs_failover_promotion_result (struct cfs_failover_manager *manager,
                                    const char *service, uint64_t fence,
                                    enum cfs_promotion_result result);

#endif
