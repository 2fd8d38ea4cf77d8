/*
 * Session variables and prepared statements, and their bounds.  Without these
 * a caller could fill the memory of the host, or need more statements for the
 * setup of a connection than fit.
 */
#include "session_int.h"

#include <string.h>

/* Estimated overhead of an entry: nodes of the hash table and the allocator.
 */
#define ENTRY_BYTES 128

static size_t
entry_bytes (const char *name, const char *text)
{
  return ENTRY_BYTES + strlen (name) + strlen (text);
}

static size_t
value_bytes (const struct cfs_session *s, const char *name)
{
  const char *value = g_hash_table_lookup (s->values, name);

  return value ? entry_bytes (name, value) : 0;
}

static size_t
prepared_bytes (const struct cfs_session *s, const char *name)
{
  const struct prepared *p = session_find_prepared (s, name);

  return p ? entry_bytes (name, p->query) : 0;
}

/* Whether the session can hold the entry that a statement creates or replaces.
   Returns NULL, or an error message for the caller. */
static const char *
check_entry (const struct cfs_session *s, const struct cfs_statement *st)
{
  bool value = st->verb == VERB_SET;
  size_t replaced
      = value ? value_bytes (s, st->name) : prepared_bytes (s, st->name);
  size_t count = g_hash_table_size (value ? s->values : s->prepared);

  if (strlen (st->name) > SESSION_NAME_BYTES_MAX)
    return "the name is too long";
  if (value && !replaced && count >= SESSION_VALUES_MAX)
    return "too many session variables";
  if (!value && !replaced && count >= SESSION_PREPARED_MAX)
    return "too many prepared statements";
  if (s->bytes - replaced + entry_bytes (st->name, st->arg)
      > SESSION_BYTES_MAX)
    return "session variables and prepared statements are too large";
  return NULL;
}

void
session_set_value (struct cfs_session *s, const struct cfs_statement *st)
{
  const char *refusal = check_entry (s, st);

  if (refusal)
    {
      session_reply (s, REPLY_MALFORMED, refusal);
      return;
    }
  s->bytes -= value_bytes (s, st->name);
  g_hash_table_replace (s->values, g_strdup (st->name), g_strdup (st->arg));
  s->bytes += value_bytes (s, st->name);
  session_reply (s, REPLY_OK, NULL);
}

void
session_prepare (struct cfs_session *s, const struct cfs_statement *st)
{
  const char *refusal = check_entry (s, st);
  struct prepared *p;

  if (refusal)
    {
      session_reply (s, REPLY_MALFORMED, refusal);
      return;
    }
  p = g_new0 (struct prepared, 1);
  p->name = g_strdup (st->name);
  p->query = g_strdup (st->arg);
  p->writes = st->writes;
  s->bytes -= prepared_bytes (s, st->name);
  g_hash_table_replace (s->prepared, p->name, p);
  s->bytes += prepared_bytes (s, st->name);
  session_reply (s, REPLY_OK, NULL);
}

void
session_deallocate (struct cfs_session *s, const struct cfs_statement *st)
{
  s->bytes -= prepared_bytes (s, st->name);
  g_hash_table_remove (s->prepared, st->name);
  session_reply (s, REPLY_OK, NULL);
}

size_t
cfs_session_bytes (const struct cfs_session *s)
{
  return s->bytes;
}
