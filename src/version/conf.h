/**
 * DOC: One version of the configuration document, parsed.
 *
 * Operators change the document by JSON merge patches (RFC 7396) against a
 * numbered version.  A parsed version is immutable and belongs to one thread.
 */
#ifndef CFS_CONF_H
#define CFS_CONF_H

#include "../cfs.h"

#include <glib.h>

#define CFS_HASH_BYTES 32
/* Number of instances in a group if the configuration does not give it. */
#define CFS_GROUP_SIZE_DEFAULT 3

/**
 * struct cfs_team - a team with its fleet-wide limits
 * @rate: requests per second
 * @burst: size of the token bucket
 * @weight: weight in fair queuing
 */
struct cfs_team
{
  char name[CFS_NAME_MAX];
  double rate;
  double burst;
  uint32_t weight;
};

/**
 * struct cfs_key - an API key of the form ID.SECRET
 * @id: public part
 * @hash: hash of the secret, which itself is not stored
 * @team: index into the teams
 */
struct cfs_key
{
  char id[CFS_NAME_MAX];
  unsigned char hash[CFS_HASH_BYTES];
  uint32_t team;
};

/**
 * struct cfs_sheet - a stored query
 * @team: index of the owning team
 * @max_age_us: maximum age of the data that it returns
 * @open: callers need no API key
 */
struct cfs_sheet
{
  char name[CFS_NAME_MAX];
  char group[CFS_NAME_MAX];
  char *sql;
  uint32_t team;
  int64_t max_age_us;
  bool open;
};

/**
 * struct cfs_group_conf - settings of a database group
 * @ack_primary: a write is acknowledged once the primary has it, instead of a
 * majority of the instances
 * @size: number of instances
 */
struct cfs_group_conf
{
  char name[CFS_NAME_MAX];
  bool ack_primary;
  unsigned size;
};

/** struct cfs_conf - a parsed version; its arrays are sorted by name or id */
struct cfs_conf
{
  uint64_t version;
  struct cfs_team *teams;
  size_t team_count;
  struct cfs_key *keys;
  size_t key_count;
  struct cfs_sheet *sheets;
  size_t sheet_count;
  struct cfs_group_conf *groups;
  size_t group_count;
};

/**
 * cfs_conf_parse() - validates and parses a document
 * @document: JSON text
 * @version: version number of the document
 * @error: set on failure, see cfs_schema_check(); the file name in the message
 * is "configuration"
 *
 * Return: the version, freed by cfs_conf_free(), or NULL.
 */
struct cfs_conf *cfs_conf_parse (const char *document, uint64_t version,
                                 GError **error);

/** cfs_conf_free() - frees a version; NULL is ignored */
void cfs_conf_free (struct cfs_conf *conf);

/**
 * cfs_conf_patch() - applies a merge patch
 * @document: JSON text of the base version
 * @patch: JSON text of the patch
 * @error: set if the patch is malformed or its result is not valid
 *
 * Return: the new document, freed by free(), or NULL.
 */
char *cfs_conf_patch (const char *document, const char *patch, GError **error);

/**
 * cfs_conf_authenticate() - authenticates an API key
 * @conf: version
 * @key: the text after "Bearer ", of the form ID.SECRET; may be NULL
 *
 * The hashes of the secrets are compared in constant time.
 * Return: the team of the key, owned by @conf, or NULL if it is not valid.
 */
const struct cfs_team *cfs_conf_authenticate (const struct cfs_conf *conf,
                                              const char *key);

/** cfs_conf_team() - finds a team by name, or NULL */
const struct cfs_team *cfs_conf_team (const struct cfs_conf *conf,
                                      const char *name);

/** cfs_conf_sheet() - finds a sheet by name, or NULL */
const struct cfs_sheet *cfs_conf_sheet (const struct cfs_conf *conf,
                                        const char *name);

/** cfs_conf_group() - finds a group's settings by name, or NULL */
const struct cfs_group_conf *cfs_conf_group (const struct cfs_conf *conf,
                                             const char *name);

/**
 * cfs_secret_hash() - computes the hash that is stored for a secret
 * @secret: null-terminated text
 * @hash: CFS_HASH_BYTES bytes, written
 */
void cfs_secret_hash (const char *secret, unsigned char *hash);

#endif
