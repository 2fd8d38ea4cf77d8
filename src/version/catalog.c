/*
 * Entries are collected in the order of the document and sorted once, so that
 * every lookup is a binary search.  The sort changes indexes; those stored in
 * routes and API keys are updated after it.
 */
#include "catalog.h"

#include <stdlib.h>
#include <string.h>

struct cfs_catalog *
cfs_catalog_new (uint64_t version)
{
  struct cfs_catalog *c = cfs_alloc (sizeof *c);

  c->version = version;
  return c;
}

void
cfs_catalog_free (struct cfs_catalog *c)
{
  if (!c)
    return;
  free (c->routes);
  free (c->services);
  free (c->teams);
  free (c->api_keys);
  free (c);
}

/* Compares entries, which begin with their name. */
static int
by_name (const void *a, const void *b)
{
  return strcmp (a, b);
}

static bool
has_duplicates (const void *entries, size_t count, size_t size)
{
  const char *p = entries;

  for (size_t i = 1; i < count; i++)
    if (strcmp (p + (i - 1) * size, p + i * size) == 0)
      return true;
  return false;
}

static bool
sort_entries (void *entries, size_t count, size_t size)
{
  if (count > 1)
    qsort (entries, count, size, by_name);
  return !has_duplicates (entries, count, size);
}

/* Name and index of an entry before the sort. */
struct renumber
{
  char name[CFS_NAME_MAX];
  uint32_t old_index;
};

/* Sorts an array whose entries begin with a name of CFS_NAME_MAX bytes.
   Return: the new index of each old index, freed by the caller. */
static uint32_t *
sort_and_renumber (void *entries, size_t count, size_t size, bool *ok)
{
  struct renumber *map = cfs_alloc ((count + 1) * sizeof *map);
  uint32_t *new_index = cfs_alloc ((count + 1) * sizeof *new_index);

  for (size_t i = 0; i < count; i++)
    {
      cfs_copy (map[i].name, CFS_NAME_MAX, (char *)entries + i * size);
      map[i].old_index = (uint32_t)i;
    }
  *ok = sort_entries (map, count, sizeof *map)
        && sort_entries (entries, count, size);
  for (size_t i = 0; i < count; i++)
    new_index[map[i].old_index] = (uint32_t)i;
  free (map);
  return new_index;
}

const char *
cfs_catalog_seal (struct cfs_catalog *c)
{
  bool services_ok;
  bool teams_ok;
  uint32_t *services = sort_and_renumber (c->services, c->service_count,
                                          sizeof *c->services, &services_ok);
  uint32_t *teams = sort_and_renumber (c->teams, c->team_count,
                                       sizeof *c->teams, &teams_ok);

  for (size_t i = 0; i < c->route_count; i++)
    c->routes[i].service = services[c->routes[i].service];
  for (size_t i = 0; i < c->api_key_count; i++)
    c->api_keys[i].team = teams[c->api_keys[i].team];
  free (services);
  free (teams);
  if (!services_ok)
    return "two services have the same name";
  if (!teams_ok)
    return "two teams have the same name";
  if (!sort_entries (c->routes, c->route_count, sizeof *c->routes))
    return "two routes have the same database";
  sort_entries (c->api_keys, c->api_key_count, sizeof *c->api_keys);
  for (size_t i = 1; i < c->api_key_count; i++)
    if (strcmp (c->api_keys[i - 1].key, c->api_keys[i].key) == 0
        && c->api_keys[i - 1].team != c->api_keys[i].team)
      return "two teams have the same API key";
  return NULL;
}

uint64_t
cfs_catalog_region_bit (const struct cfs_catalog *c, const char *region)
{
  for (size_t i = 0; i < c->region_count; i++)
    if (strcmp (c->regions[i], region) == 0)
      return UINT64_C (1) << i;
  return 0;
}

uint64_t
cfs_catalog_add_region (struct cfs_catalog *c, const char *region)
{
  uint64_t bit = cfs_catalog_region_bit (c, region);

  if (bit || strlen (region) >= CFS_NAME_MAX
      || c->region_count == CATALOG_REGIONS_MAX)
    return bit;
  cfs_copy (c->regions[c->region_count], CFS_NAME_MAX, region);
  return UINT64_C (1) << c->region_count++;
}

static const void *
find (const void *entries, size_t count, size_t size, const char *name)
{
  return count ? bsearch (name, entries, count, size, by_name) : NULL;
}

const struct cfs_route *
cfs_catalog_route (const struct cfs_catalog *c, const char *database)
{
  return find (c->routes, c->route_count, sizeof *c->routes, database);
}

const struct cfs_service *
cfs_catalog_service (const struct cfs_catalog *c, const char *name)
{
  return find (c->services, c->service_count, sizeof *c->services, name);
}

const struct cfs_team_limits *
cfs_catalog_team_by_key (const struct cfs_catalog *c, const char *key)
{
  const struct cfs_api_key *k
      = find (c->api_keys, c->api_key_count, sizeof *c->api_keys, key);

  return k ? &c->teams[k->team] : NULL;
}

const struct cfs_team_limits *
cfs_catalog_team (const struct cfs_catalog *c, const char *name)
{
  return find (c->teams, c->team_count, sizeof *c->teams, name);
}
