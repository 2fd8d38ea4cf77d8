/**
 * DOC: What the traffic thread of a host knows of the fleet: its own lease,
 * the configuration, the holder of each resource, the terms of each group.
 */
#ifndef CFS_DIRECTORY_H
#define CFS_DIRECTORY_H

#include "../version/conf.h"
#include "state.h"
#include "table.h"

/** struct cfs_directory - owned by the traffic thread */
struct cfs_directory
{
  char host[CFS_NAME_MAX];
  uint64_t boot;
  int64_t lease_until;
  struct cfs_conf *conf;
  struct cfs_table leases;
  struct cfs_table groups;
};

/** cfs_directory_init() - empty and without a lease */
void cfs_directory_init (struct cfs_directory *directory, const char *host,
                         uint64_t boot);

/** cfs_directory_end() - frees tables and configuration */
void cfs_directory_end (struct cfs_directory *directory);

/**
 * cfs_directory_update() - takes what the control leader sent
 *
 * Return: whether the configuration changed.
 */
bool cfs_directory_update (struct cfs_directory *directory,
                           const Cfs__HeartbeatReply *reply);

/** cfs_directory_has_lease() - whether this host may serve at @now */
bool cfs_directory_has_lease (const struct cfs_directory *directory,
                              int64_t now);

/** cfs_directory_find_lease() - lease of "gate/NAME" or "limit/NAME", or NULL
 */
const struct cfs_lease *
cfs_directory_find_lease (const struct cfs_directory *directory,
                          const char *prefix, const char *name);

/** cfs_directory_holds_lease() - whether this run of this host holds a lease
 */
bool cfs_directory_holds_lease (const struct cfs_directory *directory,
                                const struct cfs_lease *lease);

#endif
