/**
 * DOC: A host's local copy of the control state: its own lease, the
 * configuration, the holder of each resource and the terms of each group.
 *
 * It is updated from the control leader's replies to heartbeats and may be
 * out of date; the lease bounds for how long the host may act on it.
 */
#ifndef CFS_DIRECTORY_H
#define CFS_DIRECTORY_H

#include "../version/conf.h"
#include "state.h"
#include "table.h"

/**
 * struct cfs_directory - local copy, owned by the traffic thread
 * @host: name of this host
 * @boot: boot id of this process
 * @lease_until: end of the lease of this host
 * @conf: configuration, NULL before the first
 * @leases: table of struct cfs_lease
 * @groups: table of struct cfs_group
 */
struct cfs_directory
{
  char host[CFS_NAME_MAX];
  uint64_t boot;
  int64_t lease_until;
  struct cfs_conf *conf;
  struct cfs_table leases;
  struct cfs_table groups;
};

/** cfs_directory_init() - initializes a copy that is empty and has no lease */
void cfs_directory_init (struct cfs_directory *directory, const char *host,
                         uint64_t boot);

void cfs_directory_end (struct cfs_directory *directory);

/**
 * cfs_directory_update() - takes over a reply of the control leader
 *
 * Return: whether the configuration changed.
 */
bool cfs_directory_update (struct cfs_directory *directory,
                           const Cfs__HeartbeatReply *reply);

/** cfs_directory_has_lease() - whether this host has a configuration and its
 * lease is valid at @now */
bool cfs_directory_has_lease (const struct cfs_directory *directory,
                              int64_t now);

/** cfs_directory_find_lease() - lease of PREFIX followed by NAME, such as
 * "gate/orders", or NULL if none is known */
const struct cfs_lease *
cfs_directory_find_lease (const struct cfs_directory *directory,
                          const char *prefix, const char *name);

/** cfs_directory_holds_lease() - whether this process is the holder of @lease;
 * an earlier process of this host does not count */
bool cfs_directory_holds_lease (const struct cfs_directory *directory,
                                const struct cfs_lease *lease);

#endif
