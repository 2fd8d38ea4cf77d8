/*
 * Connections of the control leader to simulated instances.  A statement takes
 * a random time to run, also when the connection is closed meanwhile.  An
 * order that changes what an instance does may get no reply and be carried out
 * seconds later.
 */
#include "failover_int.h"

#include <stdlib.h>
#include <string.h>

#define LATE_ORDER_MIN_US (2 * CFS_US_PER_S)
#define LATE_ORDER_MAX_US (12 * CFS_US_PER_S)

static bool
is_order (const struct cfs_statement *s)
{
  return s->verb == VERB_PAUSE || s->verb == VERB_RESUME
         || s->verb == VERB_DEMOTE;
}

/* A PAUSE whose term is not above the newest of the group has no effect, nor
   does one whose term is not above that of an earlier one. */
static void
carry_out_order (struct instance *in, const struct cfs_statement *s)
{
  if (s->verb == VERB_PAUSE && s->term > wf_world->term
      && s->term > in->paused_term && !in->primary)
    in->paused_term = s->term;
  else if (s->verb == VERB_DEMOTE && in->primary && s->term > in->term)
    {
      in->primary = false;
      wf_world->demoted = in;
      wf_world->demoted_at = wf_world->now;
    }
  else if (s->verb == VERB_RESUME)
    in->paused_term = 0;
}

static struct cfs_position
log_end (const struct instance *in)
{
  return (struct cfs_position){ in->log_term, in->received };
}

/* The row of a status is the decoded state. */
static void
write_row (struct fake_conn *conn)
{
  const struct instance *in = conn->instance;
  struct cfs_instance_state s = { .primary = in->primary,
                                  .term = in->term,
                                  .received = log_end (in),
                                  .paused_term = in->paused_term };

  memcpy (conn->row, &s, sizeof s);
}

static void
run_statement (struct fake_conn *conn)
{
  struct instance *in = conn->instance;
  struct cfs_reply *r = &conn->reply;

  memset (r, 0, sizeof *r);
  r->rows = conn->row;
  wf_world->status_queries += conn->statement.verb == VERB_STATUS;
  if (conn->statement.verb == VERB_BEGIN)
    {
      r->code = in->primary ? REPLY_OK : REPLY_NOT_PRIMARY;
      conn->state = in->primary ? TX_OPEN : TX_IDLE;
    }
  else if (conn->statement.verb == VERB_ROLLBACK)
    conn->state = TX_IDLE;
  else
    carry_out_order (in, &conn->statement);
  write_row (conn);
  r->state = conn->state;
  r->position = log_end (in);
  r->row_count = 1;
}

bool
wf_read_status (const struct cfs_reply *reply, struct cfs_instance_state *out)
{
  if (reply->code != REPLY_OK)
    return false;
  memcpy (out, reply->rows, sizeof *out);
  return true;
}

/* Returns whether the order is carried out late. */
static bool
delay_order (struct fake_conn *conn)
{
  bool held = conn->instance->orders_held;
  int64_t delay = LATE_ORDER_MAX_US - LATE_ORDER_MIN_US;

  if (!is_order (&conn->statement)
      || (!held && (!wf_world->faults || wf_random_below (10) > 0)))
    return false;
  for (int i = 0; i < ORDERS_MAX; i++)
    {
      struct late_order *o = &wf_world->orders[i];

      if (o->pending)
        continue;
      o->pending = true;
      o->instance = conn->instance;
      o->boot = conn->boot;
      o->conn = wf_random_below (2) ? conn : NULL;
      o->statement = conn->statement;
      o->at = held ? CFS_NEVER
                   : wf_world->now + LATE_ORDER_MIN_US
                         + (int64_t)wf_random_below ((uint64_t)delay);
      return true;
    }
  return false;
}

static void
conn_send (struct cfs_target_conn *base, const struct cfs_statement *s,
           size_t count)
{
  struct fake_conn *conn = (struct fake_conn *)base;

  if (count != 1)
    wf_violate ("more than one statement sent at a time");
  conn->statement = *s;
  if (delay_order (conn))
    return;
  conn->statement_pending = true;
  conn->due = wf_world->now + conn->instance->delay_us
              + (int64_t)wf_random_below (60) * CFS_US_PER_MS;
}

/* A statement sent before the close still runs if the instance is reachable.
 */
static void
conn_close (struct cfs_target_conn *base)
{
  struct fake_conn *conn = (struct fake_conn *)base;

  if (conn->statement_pending && conn->instance->alive && !conn->instance->cut
      && !conn->instance->cut_from_leader
      && conn->boot == conn->instance->boot)
    run_statement (conn);
  conn->dead = true;
}

static const struct cfs_target_conn_ops conn_ops = { conn_send, conn_close };

struct instance *
wf_find_instance (const char *name)
{
  for (int i = 0; i < INSTANCES; i++)
    if (strncmp (wf_world->instances[i].name, name, strcspn (name, "~")) == 0)
      return &wf_world->instances[i];
  return NULL;
}

struct cfs_target_conn *
wf_open_conn (const struct cfs_target_adapter *adapter,
              const struct cfs_target_conn_setup *setup)
{
  struct instance *instance = wf_find_instance (setup->target);
  struct fake_conn *conn;

  (void)adapter;
  if (!instance)
    return NULL;
  conn = cfs_alloc (sizeof *conn);
  conn->base.ops = &conn_ops;
  conn->instance = instance;
  conn->wrong_target = strcmp (instance->name, setup->target) != 0;
  conn->boot = conn->instance->boot;
  conn->events = setup->events;
  conn->owner = setup->owner;
  conn->due = wf_world->now + 20 * CFS_US_PER_MS;
  conn->next = wf_world->conns;
  wf_world->conns = conn;
  return &conn->base;
}

void
wf_step_conn (struct fake_conn *conn)
{
  if (conn->dead || conn->instance->cut || conn->instance->cut_from_leader
      || wf_world->now < conn->due)
    return;
  if (!conn->instance->alive || conn->boot != conn->instance->boot)
    {
      conn->dead = true;
      if (conn->instance->exited && !conn->open && conn->events->refused)
        conn->events->refused (conn->owner, "simulated refused connection");
      else
        conn->events->lost (conn->owner, "simulated connection failure");
    }
  else if (!conn->open)
    {
      struct cfs_reply hello = { .code = REPLY_OK };

      if (conn->wrong_target)
        hello.code = REPLY_WRONG_TARGET;
      hello.position = log_end (conn->instance);
      conn->open = true;
      conn->events->opened (conn->owner, &hello);
    }
  else if (conn->statement_pending)
    {
      conn->statement_pending = false;
      run_statement (conn);
      conn->events->replied (conn->owner, &conn->reply);
    }
}

/* The reply is the row of a STATUS. */
static void
run_late_order (struct late_order *o)
{
  struct fake_conn *conn = o->conn;

  o->pending = false;
  if (!o->instance->alive || o->boot != o->instance->boot)
    return;
  carry_out_order (o->instance, &o->statement);
  if (!conn || conn->dead)
    return;
  conn->statement.verb = VERB_STATUS;
  conn->statement_pending = true;
  conn->due = wf_world->now;
}

void
wf_step_orders (void)
{
  for (int i = 0; i < ORDERS_MAX; i++)
    if (wf_world->orders[i].pending && wf_world->now >= wf_world->orders[i].at)
      run_late_order (&wf_world->orders[i]);
}

static void
forget_conn (const struct fake_conn *conn)
{
  for (int i = 0; i < ORDERS_MAX; i++)
    if (wf_world->orders[i].conn == conn)
      wf_world->orders[i].conn = NULL;
}

void
wf_free_dead_conns (void)
{
  struct fake_conn **next = &wf_world->conns;

  while (*next)
    {
      struct fake_conn *conn = *next;

      if (!conn->dead)
        {
          next = &conn->next;
          continue;
        }
      *next = conn->next;
      forget_conn (conn);
      free (conn);
    }
}
