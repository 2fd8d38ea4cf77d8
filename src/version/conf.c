/*
 * The document is replicated as text, so that all replicas hold the same
 * bytes; lookups use typed arrays sorted by name.  A key is found by its
 * public id with a binary search, then the hashes of the secrets are compared
 * in constant time, so that the duration reveals nothing about a secret.
 */
#include "conf.h"

#include "schema.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define HASH_HEX_CHARS (2 * CFS_HASH_BYTES)
#define CONF_FILE "configuration"
/* Minimum burst, in seconds of the rate.  The lifetime of granted tokens is
   shorter, so the token bucket of a team (request/limit.h) always has a
   positive capacity. */
#define MIN_BURST_SECONDS 0.1

static const struct cfs_field key_fields[]
    = { { "hash", FIELD_HEX, HASH_HEX_CHARS, HASH_HEX_CHARS, NULL, true,
          NULL },
        { NULL, FIELD_BOOL, 0, 0, NULL, false, NULL } };

static const struct cfs_field team_fields[]
    = { { "rate", FIELD_NUMBER, 0.1, 1e6, "requests/s", true, NULL },
        { "burst", FIELD_NUMBER, 1, 1e6, "requests", true, NULL },
        { "weight", FIELD_INTEGER, 1, 100, NULL, false, NULL },
        { "keys", FIELD_MAP, 0, 0, NULL, false, key_fields },
        { NULL, FIELD_BOOL, 0, 0, NULL, false, NULL } };

static const struct cfs_field sheet_fields[]
    = { { "group", FIELD_NAME, 1, 63, NULL, true, NULL },
        { "team", FIELD_NAME, 1, 63, NULL, true, NULL },
        { "sql", FIELD_STRING, 1, 8192, NULL, true, NULL },
        { "max_age_ms", FIELD_INTEGER, 0, 3600000, "ms", false, NULL },
        { "open", FIELD_BOOL, 0, 0, NULL, false, NULL },
        { NULL, FIELD_BOOL, 0, 0, NULL, false, NULL } };

static const struct cfs_field group_fields[]
    = { { "ack", FIELD_NAME, 1, 16, NULL, false, NULL },
        { "instances", FIELD_INTEGER, 1, 8, NULL, false, NULL },
        { NULL, FIELD_BOOL, 0, 0, NULL, false, NULL } };

static const struct cfs_field conf_fields[]
    = { { "teams", FIELD_MAP, 0, 0, NULL, false, team_fields },
        { "sheets", FIELD_MAP, 0, 0, NULL, false, sheet_fields },
        { "groups", FIELD_MAP, 0, 0, NULL, false, group_fields },
        { NULL, FIELD_BOOL, 0, 0, NULL, false, NULL } };

#define SHEET_MAX_AGE_DEFAULT_MS 5000

static int
compare_names (const void *a, const void *b)
{
  return strcmp (a, b);
}

/* All array entries start with their name, so one search function serves all.
 */
static const void *
find_entry (const void *entries, size_t count, size_t size, const char *name)
{
  if (count == 0)
    return NULL;
  return bsearch (name, entries, count, size, compare_names);
}

static size_t
map_size (const cJSON *doc, const char *name)
{
  const cJSON *map = cJSON_GetObjectItemCaseSensitive (doc, name);

  return map ? (size_t)cJSON_GetArraySize (map) : 0;
}

static bool
fail (GError **error, const char *kind, const char *name, const char *what)
{
  g_set_error (error, CFS_SCHEMA_ERROR, 0, CONF_FILE ": %s.%s: %s", kind, name,
               what);
  return false;
}

static bool
parse_teams (struct cfs_conf *c, const cJSON *doc, GError **error)
{
  const cJSON *map = cJSON_GetObjectItemCaseSensitive (doc, "teams");
  const cJSON *item;

  c->teams = cfs_alloc (map_size (doc, "teams") * sizeof *c->teams);
  cJSON_ArrayForEach (item, map)
  {
    struct cfs_team *t = &c->teams[c->team_count++];

    cfs_copy (t->name, sizeof t->name, item->string);
    t->rate = cfs_json_number (item, "rate", 0);
    t->burst = cfs_json_number (item, "burst", 0);
    t->weight = (uint32_t)cfs_json_number (item, "weight", 1);
    if (t->burst < t->rate * MIN_BURST_SECONDS)
      return fail (error, "teams", t->name,
                   "burst is less than the rate times 100 ms");
  }
  qsort (c->teams, c->team_count, sizeof *c->teams, compare_names);
  return true;
}

static bool
parse_keys (struct cfs_conf *c, const cJSON *doc, GError **error)
{
  const cJSON *map = cJSON_GetObjectItemCaseSensitive (doc, "teams");
  const cJSON *team;
  size_t cap = 0;

  cJSON_ArrayForEach (team, map)
  {
    const cJSON *keys = cJSON_GetObjectItemCaseSensitive (team, "keys");
    const cJSON *item;

    cJSON_ArrayForEach (item, keys)
    {
      struct cfs_key *k;

      if (strchr (item->string, '.'))
        return fail (error, "keys", item->string,
                     "a key id must not contain a dot");
      cfs_grow (&c->keys, &cap, c->key_count, sizeof *c->keys);
      k = &c->keys[c->key_count++];
      memset (k, 0, sizeof *k);
      cfs_copy (k->id, sizeof k->id, item->string);
      k->team = (uint32_t)(cfs_conf_team (c, team->string) - c->teams);
      sodium_hex2bin (k->hash, sizeof k->hash,
                      cfs_json_string (item, "hash", ""), HASH_HEX_CHARS, NULL,
                      NULL, NULL);
    }
  }
  if (c->key_count)
    qsort (c->keys, c->key_count, sizeof *c->keys, compare_names);
  for (size_t i = 1; i < c->key_count; i++)
    if (strcmp (c->keys[i - 1].id, c->keys[i].id) == 0)
      return fail (error, "keys", c->keys[i].id,
                   "two teams have a key with this id");
  return true;
}

static bool
parse_sheets (struct cfs_conf *c, const cJSON *doc, GError **error)
{
  const cJSON *map = cJSON_GetObjectItemCaseSensitive (doc, "sheets");
  const cJSON *item;

  c->sheets = cfs_alloc (map_size (doc, "sheets") * sizeof *c->sheets);
  cJSON_ArrayForEach (item, map)
  {
    struct cfs_sheet *s = &c->sheets[c->sheet_count++];
    const char *owner = cfs_json_string (item, "team", "");
    const struct cfs_team *team = cfs_conf_team (c, owner);

    cfs_copy (s->name, sizeof s->name, item->string);
    cfs_copy (s->group, sizeof s->group, cfs_json_string (item, "group", ""));
    s->sql = cfs_strdup (cfs_json_string (item, "sql", ""));
    s->max_age_us = (int64_t)cfs_json_number (item, "max_age_ms",
                                              SHEET_MAX_AGE_DEFAULT_MS)
                    * CFS_US_PER_MS;
    s->open = cJSON_IsTrue (cJSON_GetObjectItemCaseSensitive (item, "open"));
    if (!team)
      return fail (error, "sheets", s->name, "team does not exist");
    s->team = (uint32_t)(team - c->teams);
  }
  qsort (c->sheets, c->sheet_count, sizeof *c->sheets, compare_names);
  return true;
}

static bool
parse_groups (struct cfs_conf *c, const cJSON *doc, GError **error)
{
  const cJSON *map = cJSON_GetObjectItemCaseSensitive (doc, "groups");
  const cJSON *item;

  c->groups = cfs_alloc (map_size (doc, "groups") * sizeof *c->groups);
  cJSON_ArrayForEach (item, map)
  {
    struct cfs_group_conf *g = &c->groups[c->group_count++];
    const char *ack = cfs_json_string (item, "ack", "majority");

    cfs_copy (g->name, sizeof g->name, item->string);
    g->size = (unsigned)cfs_json_number (item, "instances",
                                         CFS_GROUP_SIZE_DEFAULT);
    g->ack_primary = strcmp (ack, "primary") == 0;
    if (!g->ack_primary && strcmp (ack, "majority") != 0)
      return fail (error, "groups", g->name,
                   "ack must be primary or majority");
  }
  qsort (c->groups, c->group_count, sizeof *c->groups, compare_names);
  return true;
}

/* Applies a merge patch (RFC 7396): null removes a member, an object is
   merged, any other value replaces.  cfs_json_parse() bounds the recursion
   depth. */
static void
merge_patch (cJSON *target, const cJSON *patch)
{
  const cJSON *item;

  cJSON_ArrayForEach (item, patch)
  {
    cJSON *old = cJSON_GetObjectItemCaseSensitive (target, item->string);

    if (cJSON_IsNull (item))
      {
        cJSON_DeleteItemFromObjectCaseSensitive (target, item->string);
        continue;
      }
    if (!cJSON_IsObject (item))
      {
        cJSON_DeleteItemFromObjectCaseSensitive (target, item->string);
        cJSON_AddItemToObject (target, item->string,
                               cJSON_Duplicate (item, 1));
        continue;
      }
    if (!cJSON_IsObject (old))
      {
        cJSON_DeleteItemFromObjectCaseSensitive (target, item->string);
        old = cJSON_AddObjectToObject (target, item->string);
      }
    merge_patch (old, item);
  }
}

struct cfs_conf *
cfs_conf_parse (const char *document, uint64_t version, GError **error)
{
  cJSON *doc = cfs_json_parse (document, CONF_FILE, error);
  struct cfs_conf *c;
  bool ok;

  if (!doc)
    return NULL;
  if (!cfs_schema_check (doc, conf_fields, CONF_FILE, error))
    {
      cJSON_Delete (doc);
      return NULL;
    }
  c = cfs_alloc (sizeof *c);
  c->version = version;
  ok = parse_teams (c, doc, error) && parse_keys (c, doc, error)
       && parse_sheets (c, doc, error) && parse_groups (c, doc, error);
  cJSON_Delete (doc);
  if (ok)
    return c;
  cfs_conf_free (c);
  return NULL;
}

void
cfs_conf_free (struct cfs_conf *c)
{
  if (!c)
    return;
  for (size_t i = 0; i < c->sheet_count; i++)
    free (c->sheets[i].sql);
  free (c->teams);
  free (c->keys);
  free (c->sheets);
  free (c->groups);
  free (c);
}

char *
cfs_conf_patch (const char *document, const char *patch, GError **error)
{
  cJSON *doc = cfs_json_parse (document, CONF_FILE, error);
  cJSON *patch_doc = doc ? cfs_json_parse (patch, "patch", error) : NULL;
  struct cfs_conf *parsed;
  char *text;

  if (!patch_doc)
    {
      cJSON_Delete (doc);
      return NULL;
    }
  merge_patch (doc, patch_doc);
  cJSON_Delete (patch_doc);
  text = cJSON_PrintUnformatted (doc);
  cJSON_Delete (doc);
  parsed = text ? cfs_conf_parse (text, 0, error) : NULL;
  if (!parsed)
    {
      free (text);
      return NULL;
    }
  cfs_conf_free (parsed);
  return text;
}

const struct cfs_team *
cfs_conf_authenticate (const struct cfs_conf *c, const char *key)
{
  static const unsigned char no_hash[CFS_HASH_BYTES];
  const char *dot = key ? strchr (key, '.') : NULL;
  unsigned char hash[CFS_HASH_BYTES];
  char id[CFS_NAME_MAX];
  const struct cfs_key *k;

  if (!dot || (size_t)(dot - key) >= sizeof id)
    return NULL;
  memcpy (id, key, (size_t)(dot - key));
  id[dot - key] = '\0';
  cfs_secret_hash (dot + 1, hash);
  k = find_entry (c->keys, c->key_count, sizeof *c->keys, id);
  if (sodium_memcmp (hash, k ? k->hash : no_hash, sizeof hash) != 0 || !k)
    return NULL;
  return &c->teams[k->team];
}

const struct cfs_team *
cfs_conf_team (const struct cfs_conf *c, const char *name)
{
  return find_entry (c->teams, c->team_count, sizeof *c->teams, name);
}

const struct cfs_sheet *
cfs_conf_sheet (const struct cfs_conf *c, const char *name)
{
  return find_entry (c->sheets, c->sheet_count, sizeof *c->sheets, name);
}

const struct cfs_group_conf *
cfs_conf_group (const struct cfs_conf *c, const char *name)
{
  return find_entry (c->groups, c->group_count, sizeof *c->groups, name);
}

void
cfs_secret_hash (const char *secret, unsigned char *hash)
{
  crypto_generichash (hash, CFS_HASH_BYTES, (const unsigned char *)secret,
                      strlen (secret), NULL, 0);
}
