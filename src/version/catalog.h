/**
 * DOC: One version of the configuration by database name: routes, services
 * and teams with their keys.
 *
 * Built by an edge from the document that the operator sent; immutable
 * afterwards and owned by one thread.
 */
#ifndef CFS_CATALOG_H
#define CFS_CATALOG_H

#include "../cfs.h"

#define CATALOG_NAME_MAX 128

/**
 * enum cfs_consistency - what a read on a route must see
 * @CONSISTENCY_LATEST: every commit acknowledged before it
 * @CONSISTENCY_BOUNDED: every commit acknowledged longer ago than the
 * greatest age
 * @CONSISTENCY_OWN: the same, and every commit of its own session
 */
enum cfs_consistency
{
  CONSISTENCY_LATEST,
  CONSISTENCY_BOUNDED,
  CONSISTENCY_OWN
};

/**
 * struct cfs_route - how statements on one database are served
 * @database: name that callers give
 * @service: database group, as a handle into the services
 * @max_age_us: greatest age of the data that a read may see
 * @timeout_us: bound of one statement
 * @target_latency_us: aim for a whole operation
 * @priority: 0 is the most urgent
 * @max_attempts: tries of a statement that may be repeated
 * @open: whether callers need no key
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
};

/**
 * struct cfs_service - a database group
 * @max_connections: bound of each instance, over all hosts
 * @sync_replicas: replicas that have a commit before it is acknowledged
 */
struct cfs_service
{
  char name[CFS_NAME_MAX];
  uint32_t max_connections;
  uint32_t sync_replicas;
};

/** struct cfs_team_limits - a team with its fleet-wide limits */
struct cfs_team_limits
{
  char name[CFS_NAME_MAX];
  double rate;
  double burst;
  uint32_t priority;
};

/** struct cfs_api_key - a caller's key; @team is a handle into the teams */
struct cfs_api_key
{
  char key[CATALOG_NAME_MAX];
  uint32_t team;
};

/** struct cfs_catalog - a whole version; the arrays are sorted by name */
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
};

/** cfs_catalog_new() - an empty version of that number */
struct cfs_catalog *cfs_catalog_new (uint64_t version);

/** cfs_catalog_free() - frees a version, NULL is passed over */
void cfs_catalog_free (struct cfs_catalog *catalog);

/**
 * cfs_catalog_seal() - sorts what was added and checks it as a whole
 * @catalog: version under construction
 *
 * Return: NULL, or a constant text that says what is not allowed: a name
 * that occurs twice, or a key that two teams share.
 */
const char *cfs_catalog_seal (struct cfs_catalog *catalog);

/** cfs_catalog_route() - the route of a database, or NULL */
const struct cfs_route *cfs_catalog_route (const struct cfs_catalog *catalog,
                                           const char *database);

/** cfs_catalog_service() - the service of that name, or NULL */
const struct cfs_service *
cfs_catalog_service (const struct cfs_catalog *catalog, const char *name);

/** cfs_catalog_team_by_key() - the team that holds a key, or NULL */
const struct cfs_team_limits *
cfs_catalog_team_by_key (const struct cfs_catalog *catalog, const char *key);

/** cfs_catalog_team() - the team of that name, or NULL */
const struct cfs_team_limits *
cfs_catalog_team (const struct cfs_catalog *catalog, const char *name);

#endif
