/*
 * Rows are collected in the order of the document and sorted once, so every
 * look-up is a binary search.  Routes and keys keep handles, which are
 * renumbered after the sort.
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

/* Rows begin with their name. */
static int
by_name (const void *a, const void *b)
{
  return strcmp (a, b);
}

static bool
has_twins (const void *rows, size_t count, size_t size)
{
  const char *p = rows;

  for (size_t i = 1; i < count; i++)
    if (strcmp (p + (i - 1) * size, p + i * size) == 0)
      return true;
  return false;
}

static bool
sort (void *rows, size_t count, size_t size)
{
  if (count > 1)
    qsort (rows, count, size, by_name);
  return !has_twins (rows, count, size);
}

/* The handles of a table after it was sorted, from those before. */
struct renumber
{
  char name[CFS_NAME_MAX];
  uint32_t old;
};

/* Sorts a table whose rows begin with a name of CFS_NAME_MAX bytes.
   Return: the new handle of each old one, freed by the caller. */
static uint32_t *
sort_named (void *rows, size_t count, size_t size, bool *ok)
{
  struct renumber *map = cfs_alloc ((count + 1) * sizeof *map);
  uint32_t *now = cfs_alloc ((count + 1) * sizeof *now);

  for (size_t i = 0; i < count; i++)
    {
      cfs_copy (map[i].name, CFS_NAME_MAX, (char *)rows + i * size);
      map[i].old = (uint32_t)i;
    }
  *ok = sort (map, count, sizeof *map) && sort (rows, count, size);
  for (size_t i = 0; i < count; i++)
    now[map[i].old] = (uint32_t)i;
  free (map);
  return now;
}

const char *
cfs_catalog_seal (struct cfs_catalog *c)
{
  bool services_ok;
  bool teams_ok;
  uint32_t *services = sort_named (c->services, c->service_count,
                                   sizeof *c->services, &services_ok);
  uint32_t *teams
      = sort_named (c->teams, c->team_count, sizeof *c->teams, &teams_ok);

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
  if (!sort (c->routes, c->route_count, sizeof *c->routes))
    return "two routes have the same database";
  sort (c->api_keys, c->api_key_count, sizeof *c->api_keys);
  for (size_t i = 1; i < c->api_key_count; i++)
    if (strcmp (c->api_keys[i - 1].key, c->api_keys[i].key) == 0
        && c->api_keys[i - 1].team != c->api_keys[i].team)
      return "two teams share a key";
  return NULL;
}

static const void *
find (const void *rows, size_t count, size_t size, const char *name)
{
  return count ? bsearch (name, rows, count, size, by_name) : NULL;
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
  const struct cfs_api_key *g
      = find (c->api_keys, c->api_key_count, sizeof *c->api_keys, key);

  return g ? &c->teams[g->team] : NULL;
}

const struct cfs_team_limits *
cfs_catalog_team (const struct cfs_catalog *c, const char *name)
{
  return find (c->teams, c->team_count, sizeof *c->teams, name);
}
