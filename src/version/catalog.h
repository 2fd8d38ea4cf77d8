/**
 * DOC: Catalog: one version of the configuration, with routes by database
 * name, services, and teams with their API keys.
 *
 * A document decoder builds it from the operator's document.  Afterwards it
 * is immutable and belongs to one thread.
 */
#ifndef CFS_CATALOG_H
#define CFS_CATALOG_H

#include "../cfs.h"

#define CATALOG_NAME_MAX 128
/* Maximum number of different regions in all lists of a configuration. */
#define CATALOG_REGIONS_MAX 64

/**
 * enum cfs_consistency - consistency of the reads on a route
 * @CONSISTENCY_LATEST: a read sees every commit acknowledged before it
 * @CONSISTENCY_BOUNDED: bounded staleness: a read sees every commit
 * acknowledged longer ago than the route's maximum age
 * @CONSISTENCY_OWN: read your writes: the same, and every commit of its own
 * session
 */
enum cfs_consistency
{
  CONSISTENCY_LATEST,
  CONSISTENCY_BOUNDED,
  CONSISTENCY_OWN
};

/**
 * struct cfs_route - settings for the statements on one database
 * @database: database name that callers give
 * @service: database group, as an index into the services
 * @max_age_us: maximum age of the data that a read may see
 * @timeout_us: timeout of one statement
 * @target_latency_us: latency objective of a whole operation
 * @priority: 0 is the highest
 * @max_attempts: maximum number of attempts for a statement that may be
 * retried
 * @open: callers need no API key
 * @regions: regions whose targets may run the statements, one bit each as of
 * cfs_catalog_region_bit(); 0 for all
 */
struct cfs_route
{
  char database[CATALOG_NAME_MAX];
  uint32_t service;
  enum cfs_consistency consistency;
  int64_t max_age_us;
  int64_t timeout_us;
  int64_t target_latency_us;
  uint32_t priority;
  uint32_t max_attempts;
  bool open;
  uint64_t regions;
};

/**
 * struct cfs_service - a database group
 * @max_connections: connection limit of each instance, over all hosts
 * @sync_replicas: number of replicas that must have a commit before it is
 * acknowledged
 * @cold_per_s: statements per second that a cold target is to receive from all
 * hosts together, 0 if they are not limited
 */
struct cfs_service
{
  char name[CFS_NAME_MAX];
  uint32_t max_connections;
  uint32_t sync_replicas;
  double cold_per_s;
};

/**
 * struct cfs_team_limits - a team with its fleet-wide rate limit
 * @rate: operations per second
 * @burst: size of the token bucket
 * @regions: regions whose targets may run its statements, as of struct
 * cfs_route
 */
struct cfs_team_limits
{
  char name[CFS_NAME_MAX];
  double rate;
  double burst;
  uint32_t priority;
  uint64_t regions;
};

/**
 * struct cfs_api_key - a caller's API key
 * @team: index into the teams
 */
struct cfs_api_key
{
  char key[CATALOG_NAME_MAX];
  uint32_t team;
};

/**
 * struct cfs_catalog - a version of the configuration
 * @transaction_idle_us: a transaction whose caller is idle for longer is
 * rolled back
 * @regions: names of the regions that lists of regions contain
 *
 * Each array but @regions is sorted by the name or key at the start of its
 * entries.
 */
struct cfs_catalog
{
  uint64_t version;
  struct cfs_route *routes;
  size_t route_count;
  size_t route_cap;
  struct cfs_service *services;
  size_t service_count;
  size_t service_cap;
  struct cfs_team_limits *teams;
  size_t team_count;
  size_t team_cap;
  struct cfs_api_key *api_keys;
  size_t api_key_count;
  size_t api_key_cap;
  int64_t transaction_idle_us;
  char regions[CATALOG_REGIONS_MAX][CFS_NAME_MAX];
  size_t region_count;
};

/** cfs_catalog_new() - empty catalog with that version number */
struct cfs_catalog *cfs_catalog_new (uint64_t version);

/** cfs_catalog_free() - frees a catalog; NULL is ignored */
void cfs_catalog_free (struct cfs_catalog *catalog);

/**
 * cfs_catalog_seal() - sorts and validates a catalog; call it once, after all
 * entries were added and before any lookup
 * @catalog: catalog under construction
 *
 * Return: NULL, or a constant error message: a name occurs twice, or two teams
 * have the same API key.
 */
const char *cfs_catalog_seal (struct cfs_catalog *catalog);

/**
 * cfs_catalog_add_region() - the bit of a region in lists of regions
 *
 * Return: a value with one bit set, or 0 if the name is too long or there are
 * CATALOG_REGIONS_MAX other regions already.
 */
uint64_t cfs_catalog_add_region (struct cfs_catalog *catalog,
                                 const char *region);

/** cfs_catalog_region_bit() - the bit of a region, or 0 if no list of regions
 * contains it */
uint64_t cfs_catalog_region_bit (const struct cfs_catalog *catalog,
                                 const char *region);

/** cfs_catalog_route() - the route of a database name, or NULL */
const struct cfs_route *cfs_catalog_route (const struct cfs_catalog *catalog,
                                           const char *database);

/** cfs_catalog_service() - the service with that name, or NULL */
const struct cfs_service *
cfs_catalog_service (const struct cfs_catalog *catalog, const char *name);

/** cfs_catalog_team_by_key() - the team of an API key, or NULL */
const struct cfs_team_limits *
cfs_catalog_team_by_key (const struct cfs_catalog *catalog, const char *key);

/** cfs_catalog_team() - the team with that name, or NULL */
const struct cfs_team_limits *
cfs_catalog_team (const struct cfs_catalog *catalog, const char *name);

#endif
