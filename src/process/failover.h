/**
 * DOC: Failover: changes of a service's primary, decided by the control
 * leader.
 *
 * The leader probes each primary and learns from the hosts' heartbeats which
 * instances they cannot reach.  When a primary fails or is drained, all
 * replicas stop receiving, their log positions are compared, and the replica
 * with the longest log is promoted.  A commit is acknowledged once at least
 * one replica has received it, so the longest log of all replicas contains
 * every acknowledged commit.  While one of them cannot be queried, no
 * promotion is requested.  A replica that has departed counts as one of them
 * until its commits are shown to be in the log of another.
 *
 * Each promotion request carries a fencing token that was committed to the
 * replicated log before.  A request without a reply may still be carried out
 * later, so it is followed by another with a higher token until one is
 * accepted.
 */
#ifndef CFS_FAILOVER_H
#define CFS_FAILOVER_H

#include "../connection/adapter.h"
#include "state.h"

struct cfs_failover_manager;

/**
 * enum cfs_promotion_result - result of a promotion request
 * @PROMOTION_ACCEPTED: the instance has been or will be promoted
 * @PROMOTION_REJECTED: the request is not carried out
 * @PROMOTION_UNKNOWN: no reply; the request may still be carried out later
 */
enum cfs_promotion_result
{
  PROMOTION_ACCEPTED,
  PROMOTION_REJECTED,
  PROMOTION_UNKNOWN
};

/**
 * struct cfs_failover_ops - callbacks of the failover manager
 * @propose: appends a failover record to the replicated log; returns its
 * log index, or 0 on failure
 * @promote: requests the promotion of an instance; the result is passed to
 * cfs_failover_promotion_result()
 * @primary_position: a primary proved by its reply that it leads; @position
 * covers all commits acknowledged before @requested_at
 * @departure_proven: no commit that a departed target acknowledged can be
 * lost; records this in the replicated log
 * @suspecting_hosts: returns the number of hosts that report a target as
 * unreachable, and sets @hosts to the number of hosts alive
 * @acks_stopped: returns whether no host passes on acknowledgements of a
 * service any more since the failover record with log index @since_index was
 * applied at @since; sets @highest to the highest position that such an
 * acknowledgement came with, term 0 if there is none
 */
struct cfs_failover_ops
{
  uint64_t (*propose) (void *ctx, const Cfs__Turn *turn);
  void (*promote) (void *ctx, const char *service, const char *target,
                   uint64_t fence);
  void (*primary_position) (void *ctx, const char *service,
                            const struct cfs_position *position,
                            int64_t requested_at);
  void (*departure_proven) (void *ctx, const char *target);
  size_t (*suspecting_hosts) (void *ctx, const char *target, size_t *hosts);
  bool (*acks_stopped) (void *ctx, const char *service, uint64_t since_index,
                        int64_t since, struct cfs_position *highest);
};

/**
 * cfs_failover_new() - creates a manager, inactive until its host is leader
 * @adapter: opens connections to instances
 * @clock: returns the current time, as cfs_now()
 *
 * All arguments must outlive the manager.
 *
 * Return: freed by cfs_failover_free().
 */
struct cfs_failover_manager *
cfs_failover_new (const struct cfs_failover_ops *ops, void *ctx,
                  const struct cfs_target_adapter *adapter,
                  const struct cfs_state *state, int64_t (*clock) (void));

/**
 * cfs_failover_prefer() - sets which targets the routes of a service may use
 * @allowed: whether every route of the target's service allows its region;
 * among equal logs such a target is preferred
 */
void cfs_failover_prefer (struct cfs_failover_manager *manager,
                          bool (*allowed) (void *ctx,
                                           const struct cfs_target *target));

/** cfs_failover_free() - closes all connections to instances */
void cfs_failover_free (struct cfs_failover_manager *manager);

/**
 * cfs_failover_tick() - runs the failovers; call at least every 20 ms
 * @is_leader: whether this host is control leader, confirmed by a majority
 * @committed: log index up to which the state is applied
 */
void cfs_failover_tick (struct cfs_failover_manager *manager, bool is_leader,
                        uint64_t committed, int64_t now);

/** cfs_failover_promotion_result() - takes the result of a request
 * @fence: fencing token of the request; a result for any other than the
 * current one is ignored
 */
void cfs_failover_promotion_result (struct cfs_failover_manager *manager,
                                    const char *service, uint64_t fence,
                                    enum cfs_promotion_result result);

#endif
