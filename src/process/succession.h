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
#ifndef CFS_SUCCESSION_H
#define CFS_SUCCESSION_H

#include "../connection/adapter.h"
#include "state.h"

struct cfs_succession;

/**
 * enum cfs_order_result - answer to an order
 * @ORDER_ACCEPTED: carried out
 * @ORDER_REJECTED: certainly not carried out
 * @ORDER_UNCLEAR: it may be carried out later
 */
enum cfs_order_result
{
  ORDER_ACCEPTED,
  ORDER_REJECTED,
  ORDER_UNCLEAR
};

/**
 * struct cfs_succession_ops - effects
 * @propose: appends a change of primary to the log; gives its index or 0
 * @order: orders an instance to lead; cfs_succession_ordered() follows
 * @suspected: number of hosts that cannot reach a target, of @hosts alive
 */
struct cfs_succession_ops
{
  uint64_t (*propose) (void *ctx, const Cfs__Turn *turn);
  void (*order) (void *ctx, const char *service, const char *target,
                 uint64_t fence);
  size_t (*suspected) (void *ctx, const char *target, size_t *hosts);
};

/**
 * cfs_succession_new() - watches nothing until it leads
 * @edge: makes connections to instances; all must outlive it
 *
 * Return: freed by cfs_succession_free().
 */
struct cfs_succession *
cfs_succession_new (const struct cfs_succession_ops *ops, void *ctx,
                    const struct cfs_target_adapter *edge,
                    const struct cfs_state *state, int64_t (*clock) (void));

/** cfs_succession_free() - closes all connections */
void cfs_succession_free (struct cfs_succession *succession);

/**
 * cfs_succession_tick() - at least every 20 ms
 * @leads: whether this host leads with a confirmed majority
 * @committed: log index up to which the state is applied
 */
void cfs_succession_tick (struct cfs_succession *succession, bool leads,
                          uint64_t committed, int64_t now);

/** cfs_succession_ordered() - the answer to an order */
void cfs_succession_ordered (struct cfs_succession *succession,
                             const char *service, uint64_t fence,
                             enum cfs_order_result result);

#endif
