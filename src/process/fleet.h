/**
 * DOC: What a host that serves sessions knows of the fleet: the
 * configuration with its lease, the targets, and who leads each service.
 */
#ifndef CFS_FLEET_H
#define CFS_FLEET_H

#include "../version/catalog.h"
#include "settings.h"
#include "targets.h"

/**
 * struct cfs_document_decoder - how an operator's document is decoded
 * @read: gives a sealed catalog, or NULL with @error set
 */
struct cfs_document_decoder
{
  struct cfs_catalog *(*read) (const char *document, uint64_t version,
                               GError **error);
};

/** struct cfs_fleet - owned by the traffic thread */
struct cfs_fleet
{
  const struct cfs_settings *settings;
  const struct cfs_document_decoder *decoder;
  struct cfs_catalog *catalog;
  struct cfs_table targets;
  struct cfs_table failovers;
  int64_t lease_until;
};

/** cfs_fleet_init() - knows nothing yet and has no lease */
void cfs_fleet_init (struct cfs_fleet *fleet,
                     const struct cfs_settings *settings,
                     const struct cfs_document_decoder *decoder);

/** cfs_fleet_end() - frees tables and configuration */
void cfs_fleet_end (struct cfs_fleet *fleet);

/**
 * cfs_fleet_update() - takes what the control leader sent
 *
 * A version lower than the one held is never taken.  The lease covers the
 * version of the same reply; it is not extended when that cannot be read.
 * Return: whether the configuration changed.
 */
bool cfs_fleet_update (struct cfs_fleet *fleet,
                       const Cfs__HeartbeatReply *reply);

/** cfs_fleet_leased() - whether the configuration may be acted on */
bool cfs_fleet_leased (const struct cfs_fleet *fleet, int64_t now);

/** cfs_fleet_target() - the target of that name that is not gone, or NULL */
const struct cfs_target *cfs_fleet_target (const struct cfs_fleet *fleet,
                                           const char *id);

/** cfs_fleet_in_region() - whether a zone is in this host's region */
bool cfs_fleet_in_region (const struct cfs_fleet *fleet, const char *zone);

#endif
