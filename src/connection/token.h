/**
 * DOC: Session tokens.
 *
 * A token says which position of each group its session has seen, for one
 * team.  It is authenticated, so that it may roam with the caller; every
 * host derives the same key from the fleet's secret.
 */
#ifndef CFS_TOKEN_H
#define CFS_TOKEN_H

#include "../cfs.h"

#define TOKEN_GROUPS_MAX 16
#define TOKEN_TEXT_MAX 2112
#define TOKEN_KEY_BYTES 32

/** struct cfs_token_entry - position seen in one group */
struct cfs_token_entry
{
  char group[CFS_NAME_MAX];
  uint64_t term;
  uint64_t position;
};

/** struct cfs_token - a session, by value */
struct cfs_token
{
  char team[CFS_NAME_MAX];
  struct cfs_token_entry at[TOKEN_GROUPS_MAX];
  size_t count;
};

/**
 * cfs_token_derive_key() - derives the key from the fleet's secret
 * @secret: terminated text
 * @key: TOKEN_KEY_BYTES bytes, written
 */
void cfs_token_derive_key (const char *secret, unsigned char *key);

/**
 * cfs_token_write() - authenticated text of a token
 * @token: token
 * @key: key
 * @out: TOKEN_TEXT_MAX bytes, written
 */
void cfs_token_write (const struct cfs_token *token, const unsigned char *key,
                      char *out);

/**
 * cfs_token_read() - checks and parses a text
 * @text: any bytes, terminated
 * @key: key
 * @token: written on success
 *
 * Return: CFS_OK, or CFS_BAD when it was altered or is none of ours.
 */
int cfs_token_read (const char *text, const unsigned char *key,
                    struct cfs_token *token);

/** cfs_token_find() - the entry of a group, or NULL */
const struct cfs_token_entry *cfs_token_find (const struct cfs_token *token,
                                              const char *group);

/**
 * cfs_token_advance() - notes what a session has seen
 *
 * A position never goes back within a term, nor a term.
 * Return: CFS_OK, or CFS_FULL when the session spans too many groups.
 */
int cfs_token_advance (struct cfs_token *token, const char *group,
                       uint64_t term, uint64_t position);

/**
 * cfs_token_reset() - sets what a session has seen, also back
 *
 * Only for a session that was told that a change is lost.
 */
void cfs_token_reset (struct cfs_token *token, const char *group,
                      uint64_t term, uint64_t position);

#endif
