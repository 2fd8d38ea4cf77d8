/**
 * DOC: Session tokens.
 *
 * A token records, for one team, the position in each group that its session
 * has seen.  The caller may present it to any host: it is authenticated with a
 * key that every host derives from the secret of the fleet.
 */
#ifndef CFS_TOKEN_H
#define CFS_TOKEN_H

#include "../cfs.h"

#define TOKEN_GROUPS_MAX 16
#define TOKEN_TEXT_MAX 2112
#define TOKEN_KEY_BYTES 32

/** struct cfs_token_entry - position that a session has seen in one group */
struct cfs_token_entry
{
  char group[CFS_NAME_MAX];
  uint64_t term;
  uint64_t position;
};

/** struct cfs_token - decoded session token */
struct cfs_token
{
  char team[CFS_NAME_MAX];
  struct cfs_token_entry entries[TOKEN_GROUPS_MAX];
  size_t count;
};

/**
 * cfs_token_derive_key() - derives the authentication key
 * @secret: the fleet's secret, null-terminated
 * @key: TOKEN_KEY_BYTES bytes, written
 */
void cfs_token_derive_key (const char *secret, unsigned char *key);

/**
 * cfs_token_write() - encodes and authenticates a token
 * @token: token
 * @key: key from cfs_token_derive_key()
 * @out: TOKEN_TEXT_MAX bytes, written
 */
void cfs_token_write (const struct cfs_token *token, const unsigned char *key,
                      char *out);

/**
 * cfs_token_read() - verifies and decodes a token
 * @text: untrusted input, null-terminated
 * @key: key from cfs_token_derive_key()
 * @token: written on success
 *
 * Return: CFS_OK, or CFS_BAD if it is malformed or its authentication fails.
 */
int cfs_token_read (const char *text, const unsigned char *key,
                    struct cfs_token *token);

/** cfs_token_find() - the entry of a group, or NULL */
const struct cfs_token_entry *cfs_token_find (const struct cfs_token *token,
                                              const char *group);

/**
 * cfs_token_advance() - records a position that a session has seen
 *
 * Terms, and positions within a term, never decrease; an older position is
 * ignored.
 * Return: CFS_OK, or CFS_FULL if the token has TOKEN_GROUPS_MAX groups
 * already.
 */
int cfs_token_advance (struct cfs_token *token, const char *group,
                       uint64_t term, uint64_t position);

/**
 * cfs_token_reset() - sets the position of a session, which may decrease
 *
 * Only for a session that was told that a change it had seen is lost.  A token
 * without an entry for the group is not changed.
 */
void cfs_token_reset (struct cfs_token *token, const char *group,
                      uint64_t term, uint64_t position);

#endif
