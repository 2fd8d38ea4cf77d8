/*
 * A token is base64url of "team\ngroup term position\n...", followed by a
 * message authentication code of 32 bytes.  The content is plain text, so that
 * it is easy to inspect; it needs integrity but no confidentiality.
 */
#include "token.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DECODED_MAX (TOKEN_TEXT_MAX * 3 / 4)
#define BASE64_VARIANT sodium_base64_VARIANT_URLSAFE_NO_PADDING

void
cfs_token_derive_key (const char *secret, unsigned char *key)
{
  static const unsigned char context[] = "coltsfootstage session token";

  crypto_generichash (key, TOKEN_KEY_BYTES, context, sizeof context,
                      (const unsigned char *)secret, strlen (secret));
}

void
cfs_token_write (const struct cfs_token *t, const unsigned char *key,
                 char *out)
{
  unsigned char data[DECODED_MAX];
  char *text = (char *)data;
  size_t room = sizeof data - crypto_auth_BYTES;
  size_t len = (size_t)snprintf (text, room, "%s\n", t->team);

  for (size_t i = 0; i < t->count; i++)
    len += (size_t)snprintf (
        text + len, room - len, "%s %" PRIu64 " %" PRIu64 "\n",
        t->entries[i].group, t->entries[i].term, t->entries[i].position);
  crypto_auth (data + len, data, len, key);
  sodium_bin2base64 (out, TOKEN_TEXT_MAX, data, len + crypto_auth_BYTES,
                     BASE64_VARIANT);
}

/* Parses "group term position"; modifies line. */
static bool
parse_entry (char *line, struct cfs_token_entry *e)
{
  char *space = strchr (line, ' ');
  char *end;

  if (!space || space == line || space - line >= CFS_NAME_MAX)
    return false;
  *space = '\0';
  cfs_copy (e->group, sizeof e->group, line);
  e->term = strtoull (space + 1, &end, 10);
  if (*end != ' ')
    return false;
  e->position = strtoull (end + 1, &end, 10);
  return *end == '\0';
}

static int
parse_text (char *text, struct cfs_token *t)
{
  char *save = NULL;
  char *line;
  char *first_end = strchr (text, '\n');

  if (!first_end || first_end - text >= CFS_NAME_MAX)
    return CFS_BAD;
  *first_end = '\0';
  cfs_copy (t->team, sizeof t->team, text);
  t->count = 0;
  for (line = strtok_r (first_end + 1, "\n", &save); line;
       line = strtok_r (NULL, "\n", &save))
    {
      if (t->count == TOKEN_GROUPS_MAX
          || !parse_entry (line, &t->entries[t->count]))
        return CFS_BAD;
      t->count++;
    }
  return CFS_OK;
}

int
cfs_token_read (const char *text, const unsigned char *key,
                struct cfs_token *t)
{
  unsigned char data[DECODED_MAX + 1];
  size_t len = 0;
  size_t body;

  if (strlen (text) >= TOKEN_TEXT_MAX
      || sodium_base642bin (data, DECODED_MAX, text, strlen (text), NULL, &len,
                            NULL, BASE64_VARIANT)
             != 0
      || len < crypto_auth_BYTES)
    return CFS_BAD;
  body = len - crypto_auth_BYTES;
  if (crypto_auth_verify (data + body, data, body, key) != 0)
    return CFS_BAD;
  data[body] = '\0';
  if (strlen ((char *)data) != body)
    return CFS_BAD;
  return parse_text ((char *)data, t);
}

const struct cfs_token_entry *
cfs_token_find (const struct cfs_token *t, const char *group)
{
  for (size_t i = 0; i < t->count; i++)
    if (strcmp (t->entries[i].group, group) == 0)
      return &t->entries[i];
  return NULL;
}

int
cfs_token_advance (struct cfs_token *t, const char *group, uint64_t term,
                   uint64_t position)
{
  struct cfs_token_entry *e
      = (struct cfs_token_entry *)cfs_token_find (t, group);

  if (term == 0)
    return CFS_OK;
  if (!e)
    {
      if (t->count == TOKEN_GROUPS_MAX)
        return CFS_FULL;
      e = &t->entries[t->count++];
      cfs_copy (e->group, sizeof e->group, group);
      e->term = 0;
    }
  if (term < e->term || (term == e->term && position <= e->position))
    return CFS_OK;
  e->term = term;
  e->position = position;
  return CFS_OK;
}

void
cfs_token_reset (struct cfs_token *t, const char *group, uint64_t term,
                 uint64_t position)
{
  struct cfs_token_entry *e
      = (struct cfs_token_entry *)cfs_token_find (t, group);

  if (!e)
    return;
  e->term = term;
  e->position = position;
}
