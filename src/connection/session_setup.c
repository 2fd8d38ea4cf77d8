/*
 * Brings a pooled connection into the state of a session: session variables,
 * the prepared statement, under a name that is the same for all sessions, and
 * the transaction.
 */
#include "session_int.h"

#include <inttypes.h>
#include <string.h>

bool
session_needs_primary (const struct cfs_session *s)
{
  if (s->op.writes || s->route.consistency == CONSISTENCY_LATEST)
    return true;
  return s->state == TX_OPEN && !s->tx_read_only;
}

bool
session_wraps_in_tx (const struct cfs_session *s)
{
  return s->state == TX_IDLE && !s->op.writes
         && s->route.consistency == CONSISTENCY_LATEST;
}

void
session_prepared_name (const struct prepared *p, char *out)
{
  uint64_t hash = cfs_hash (p->query, strlen (p->query), p->writes ? 2 : 1);

  g_snprintf (out, PREPARED_NAME_BYTES, "p%016" PRIx64, hash);
}

/* The bounds of a session ensure that there is room. */
static void
add_statement (struct conn_setup *setup, const struct cfs_statement *statement)
{
  setup->statements[setup->count++] = *statement;
}

/* A connection on which a variable is set that the session does not have is
   reset: there is no statement that unsets a single variable.  So is one with
   too many prepared statements, which sessions leave behind on it. */
static bool
needs_reset (struct cfs_session *s)
{
  GHashTableIter i;
  void *name;

  if (g_hash_table_size (cfs_pooled_conn_prepared (s->conn))
      >= CONN_PREPARED_MAX)
    return true;
  g_hash_table_iter_init (&i, cfs_pooled_conn_values (s->conn));
  while (g_hash_table_iter_next (&i, &name, NULL))
    if (!g_hash_table_contains (s->values, name))
      return true;
  return false;
}

static void
add_reset (struct cfs_session *s, struct conn_setup *setup)
{
  struct cfs_statement reset = { .verb = VERB_RESET };

  if (!needs_reset (s))
    return;
  add_statement (setup, &reset);
  g_hash_table_remove_all (cfs_pooled_conn_values (s->conn));
  g_hash_table_remove_all (cfs_pooled_conn_prepared (s->conn));
}

static void
add_values (struct cfs_session *s, struct conn_setup *setup)
{
  GHashTable *conn_values = cfs_pooled_conn_values (s->conn);
  GHashTableIter i;
  void *name;
  void *value;

  g_hash_table_iter_init (&i, s->values);
  while (g_hash_table_iter_next (&i, &name, &value))
    {
      const char *current = g_hash_table_lookup (conn_values, name);
      struct cfs_statement set
          = { .verb = VERB_SET, .name = name, .arg = value };

      if (current && strcmp (current, value) == 0)
        continue;
      add_statement (setup, &set);
      g_hash_table_replace (conn_values, g_strdup (name), g_strdup (value));
    }
}

static void
add_prepare (struct cfs_session *s, struct conn_setup *setup)
{
  GHashTable *conn_prepared = cfs_pooled_conn_prepared (s->conn);
  const struct prepared *p;
  struct cfs_statement prepare = { .verb = VERB_PREPARE };

  if (s->op.statement.verb != VERB_EXECUTE)
    return;
  p = session_find_prepared (s, s->op.statement.name);
  session_prepared_name (p, setup->prepared_name);
  if (g_hash_table_contains (conn_prepared, setup->prepared_name))
    return;
  prepare.name = setup->prepared_name;
  prepare.arg = p->query;
  prepare.writes = p->writes;
  add_statement (setup, &prepare);
  g_hash_table_add (conn_prepared, g_strdup (setup->prepared_name));
}

static void
add_begin (struct cfs_session *s, struct conn_setup *setup)
{
  struct cfs_statement begin = { .verb = VERB_BEGIN };

  if (s->tx_on_conn || (s->state != TX_OPEN && !session_wraps_in_tx (s)))
    return;
  if (!session_needs_primary (s))
    {
      begin.verb = VERB_BEGIN_READ;
      begin.after = s->op.min_position;
    }
  add_statement (setup, &begin);
  s->op.begins_tx = true;
}

void
session_build_setup (struct cfs_session *s, struct conn_setup *setup)
{
  if (!s->tx_on_conn)
    add_reset (s, setup);
  add_values (s, setup);
  add_prepare (s, setup);
  add_begin (s, setup);
}
