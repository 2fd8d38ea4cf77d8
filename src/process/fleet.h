/**
 * DOC: A session host's copy of the configuration with its lease, the targets
 * and the primary of each service.
 */
#ifndef CFS_FLEET_H
#define CFS_FLEET_H

#include "../version/catalog.h"
#include "evacuation.h"
#include "settings.h"
#include "targets.h"

/**
 * struct cfs_document_decoder - decoder of configuration documents
 * @decode: returns a sealed catalog, or NULL with @error set
 */
struct cfs_document_decoder
{
  struct cfs_catalog *(*decode) (const char *document, uint64_t version,
                                 GError **error);
};

/**
 * struct fleet_drain - draining target, as this host learned of it
 * @incarnation: incarnation that drains
 * @since: time before which its draining was not acknowledged
 */
struct fleet_drain
{
  char id[CFS_NAME_MAX];
  uint64_t incarnation;
  int64_t since;
};

/**
 * struct cfs_fleet - copy of the replicated data, owned by the traffic thread
 * @targets: table of struct cfs_target
 * @failovers: table of struct cfs_failover
 * @drains: table of struct fleet_drain
 * @evacuations: table of struct cfs_evacuation
 * @evacuations_index: log index of the last change of @evacuations
 * @lease_until: end of the lease of @catalog
 * @live_hosts: number of hosts in the fleet, 0 if it is not known
 */
struct cfs_fleet
{
  const struct cfs_settings *settings;
  const struct cfs_document_decoder *decoder;
  struct cfs_catalog *catalog;
  struct cfs_table targets;
  struct cfs_table failovers;
  struct cfs_table drains;
  struct cfs_table evacuations;
  uint64_t evacuations_index;
  int64_t lease_until;
  uint32_t live_hosts;
};

/** cfs_fleet_init() - starts without data and without a lease */
void cfs_fleet_init (struct cfs_fleet *fleet,
                     const struct cfs_settings *settings,
                     const struct cfs_document_decoder *decoder);

/** cfs_fleet_end() - frees tables and configuration */
void cfs_fleet_end (struct cfs_fleet *fleet);

/**
 * cfs_fleet_update() - applies a heartbeat reply of the control leader
 *
 * The configuration never goes back to a lower version.  The lease covers the
 * version of the same reply and is not extended when that version cannot be
 * decoded.
 * Return: whether the configuration changed.
 */
bool cfs_fleet_update (struct cfs_fleet *fleet,
                       const Cfs__HeartbeatReply *reply);

/** cfs_fleet_has_lease() - whether the lease of the configuration is valid */
bool cfs_fleet_has_lease (const struct cfs_fleet *fleet, int64_t now);

/**
 * cfs_fleet_informed_at() - time of the state that this host knows
 *
 * What the control group committed before it is known to this host.
 * Return: when the last heartbeat was sent whose reply extended the lease; a
 * time before all others without a lease.
 */
int64_t cfs_fleet_informed_at (const struct cfs_fleet *fleet);

/**
 * cfs_fleet_drain_expired() - whether a target drains for so long that no
 * statement may be sent to it, also not as the primary
 *
 * This is so early enough that a statement which is let through reaches the
 * target within the time (drain_ms) that is allowed after its draining was
 * acknowledged.
 */
bool cfs_fleet_drain_expired (const struct cfs_fleet *fleet,
                              const struct cfs_target *target, int64_t now);

/** cfs_fleet_target() - finds a target that is not gone; NULL if there is none
 */
const struct cfs_target *cfs_fleet_target (const struct cfs_fleet *fleet,
                                           const char *id);

/** cfs_fleet_in_region() - whether a zone is in this host's region */
bool cfs_fleet_in_region (const struct cfs_fleet *fleet, const char *zone);

#endif
