/*
 * Brings a link into the state of a session: its values, the shape of a
 * prepared statement under a name that is the same for all sessions, the
 * transaction.
 */
#include "session_int.h"

#include <inttypes.h>
#include <string.h>

bool
session_wants_primary (const struct cfs_session *s)
{
  if (s->op.writes || s->route.consistency == CONSISTENCY_LATEST)
    return true;
  return s->state == TX_OPEN && !s->read_only;
}

/* Whether the statement runs inside a transaction that we open for it. */
bool
session_wraps (const struct cfs_session *s)
{
  return s->state == TX_IDLE && !s->op.writes
         && s->route.consistency == CONSISTENCY_LATEST;
}

void
session_shape_name (const struct prepared *p, char *out)
{
  uint64_t hash = cfs_hash (p->shape, strlen (p->shape), p->writes ? 2 : 1);

  g_snprintf (out, SHAPE_NAME_BYTES, "p%016" PRIx64, hash);
}

static void
add_row (struct setup *u, const struct cfs_statement *row)
{
  if (u->count < SETUP_MAX)
    u->rows[u->count++] = *row;
}

/* A link that carries a value which the session does not have starts anew. */
static void
setup_reset (struct cfs_session *s, struct setup *u)
{
  struct cfs_statement reset = { .verb = VERB_RESET };
  GHashTable *on_link = cfs_pooled_conn_values (s->link);
  GHashTableIter i;
  void *name;

  g_hash_table_iter_init (&i, on_link);
  while (g_hash_table_iter_next (&i, &name, NULL))
    if (!g_hash_table_contains (s->values, name))
      {
        add_row (u, &reset);
        g_hash_table_remove_all (on_link);
        g_hash_table_remove_all (cfs_pooled_conn_prepared (s->link));
        return;
      }
}

static void
setup_values (struct cfs_session *s, struct setup *u)
{
  GHashTable *on_link = cfs_pooled_conn_values (s->link);
  GHashTableIter i;
  void *name;
  void *value;

  g_hash_table_iter_init (&i, s->values);
  while (g_hash_table_iter_next (&i, &name, &value))
    {
      const char *held = g_hash_table_lookup (on_link, name);
      struct cfs_statement set
          = { .verb = VERB_SET, .name = name, .arg = value };

      if (held && strcmp (held, value) == 0)
        continue;
      add_row (u, &set);
      g_hash_table_replace (on_link, g_strdup (name), g_strdup (value));
    }
}

static void
setup_shape (struct cfs_session *s, struct setup *u)
{
  GHashTable *on_link = cfs_pooled_conn_prepared (s->link);
  const struct prepared *p;
  struct cfs_statement prepare = { .verb = VERB_PREPARE };

  if (s->op.statement.verb != VERB_EXECUTE)
    return;
  p = session_prepared (s, s->op.statement.name);
  session_shape_name (p, u->shape);
  if (g_hash_table_contains (on_link, u->shape))
    return;
  prepare.name = u->shape;
  prepare.arg = p->shape;
  prepare.writes = p->writes;
  add_row (u, &prepare);
  g_hash_table_add (on_link, g_strdup (u->shape));
}

static void
setup_begin (struct cfs_session *s, struct setup *u)
{
  struct cfs_statement begin = { .verb = VERB_BEGIN };

  if (s->on_link || (s->state != TX_OPEN && !session_wraps (s)))
    return;
  if (!session_wants_primary (s))
    {
      begin.verb = VERB_BEGIN_READ;
      begin.after = s->op.need;
    }
  add_row (u, &begin);
  s->op.opens = true;
}

void
session_setup (struct cfs_session *s, struct setup *u)
{
  if (!s->on_link)
    setup_reset (s, u);
  setup_values (s, u);
  setup_shape (s, u);
  setup_begin (s, u);
}
