/**
 * DOC: Acknowledgement leases: which host may tell a caller that a write has
 * been committed, and when the control leader knows that none does any more.
 *
 * A promotion takes effect some time after the logs were compared, and a
 * request without a reply even seconds later.  What a primary commits in the
 * meantime can be lost, so no host may pass its acknowledgement on.  A host
 * holds a lease for the primary of each service without an open failover.  It
 * ends when the host learns that a failover was opened, or when the leader has
 * not confirmed the state for ACK_LEASE_US.  The leader requests a promotion
 * only after all hosts have reported the first or the second has happened.
 */
#ifndef CFS_ACK_LEASE_H
#define CFS_ACK_LEASE_H

#include "../connection/adapter.h"
#include "fleet.h"
#include "table.h"

/* Time, counted from the last heartbeat that the leader replied to, for which
   a host passes on acknowledgements. */
#define ACK_LEASE_US (2 * CFS_US_PER_S)
/* The same, counted by the leader from its reply: 5 % longer, for the drift
   between the clocks. */
#define ACK_LEASE_WAIT_US (ACK_LEASE_US + ACK_LEASE_US / 20)

/* Maximum number of services that a host reports; of any other the leader
   waits for the end of the lease. */
#define ACK_STOPS_MAX 64

/**
 * cfs_ack_lease_valid() - whether this host may pass on that a target has
 * committed a write
 * @service: name of the target's service
 * @target: target that has acknowledged the commit
 */
bool cfs_ack_lease_valid (const struct cfs_fleet *fleet, const char *service,
                          const char *target, int64_t now);

/**
 * struct cfs_passed_acks - acknowledgements that this host has passed on
 * @services: highest position of each service
 */
struct cfs_passed_acks
{
  struct cfs_table services;
};

/** cfs_passed_acks_init() - starts without any */
void cfs_passed_acks_init (struct cfs_passed_acks *acks);

/** cfs_passed_acks_end() - frees the table */
void cfs_passed_acks_end (struct cfs_passed_acks *acks);

/** cfs_passed_acks_add() - records that an acknowledgement was passed on
 * @position: position of the primary's log in the reply that carried it; not
 * lower than that of the commit */
void cfs_passed_acks_add (struct cfs_passed_acks *acks, const char *service,
                          const struct cfs_position *position);

/**
 * cfs_passed_acks_stops() - fills in which services this host passes on no
 * acknowledgements of
 * @out: written, one entry for each open failover that the host knows; points
 * into @fleet
 * @max: number of entries in @out
 *
 * Return: number of entries written.
 */
size_t cfs_passed_acks_stops (const struct cfs_passed_acks *acks,
                              const struct cfs_fleet *fleet, Cfs__AckStop *out,
                              size_t max);

/**
 * struct cfs_ack_stops - what hosts have reported to the control leader
 * @hosts: reports by host
 */
struct cfs_ack_stops
{
  struct cfs_table hosts;
};

/** cfs_ack_stops_init() - starts without reports */
void cfs_ack_stops_init (struct cfs_ack_stops *stops);

/** cfs_ack_stops_clear() - forgets all reports */
void cfs_ack_stops_clear (struct cfs_ack_stops *stops);

/** cfs_ack_stops_end() - frees the reports */
void cfs_ack_stops_end (struct cfs_ack_stops *stops);

/** cfs_ack_stops_record() - replaces the reports of a host */
void cfs_ack_stops_record (struct cfs_ack_stops *stops, const char *host,
                           const Cfs__AckStop *const *reports, size_t count);

/**
 * cfs_ack_stops_find() - whether a host has stopped to pass on
 * acknowledgements
 * @since_index: log index of the failover record that it must know
 * @highest: raised to the highest position that it has passed on
 */
bool cfs_ack_stops_find (const struct cfs_ack_stops *stops, const char *host,
                         const char *service, uint64_t since_index,
                         struct cfs_position *highest);

#endif
