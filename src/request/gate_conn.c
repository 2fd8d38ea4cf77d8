/*
 * Connections of the gate to its instances.  Statements beyond the slots of
 * an instance slow each other down, so no more connections are opened than
 * statements may run in parallel.  One of the connections that an instance
 * accepts is reserved for probes.
 */
#include "gate_int.h"

#include <string.h>

/* Connections to each instance that are reserved for probes. */
#define PROBE_CONNECTIONS 1

static void
gate_conn_free (struct cfs_gate *g, unsigned c)
{
  struct gate_conn *conn = &g->conn[c];
  struct gate_instance *in = &g->inst[conn->inst];

  if (conn->state == CONN_BUSY)
    in->running--;
  if (*conn->transaction)
    in->pinned_conns--;
  in->open_conns--;
  memset (conn, 0, sizeof *conn);
}

void
gate_conn_close (struct cfs_gate *g, unsigned c)
{
  g->ops->close (g->ctx, c);
  gate_conn_free (g, c);
}

unsigned
gate_conn_limit (const struct gate_instance *in)
{
  unsigned limit = in->connections;

  if (limit > GATE_CONNECTIONS_MAX)
    limit = GATE_CONNECTIONS_MAX;
  return limit > PROBE_CONNECTIONS ? limit - PROBE_CONNECTIONS : 1;
}

void
gate_conn_open (struct cfs_gate *g, unsigned inst, int64_t now)
{
  struct gate_instance *in = &g->inst[inst];

  if (in->open_conns >= gate_conn_limit (in) || now < in->connect_after)
    return;
  for (unsigned c = 0; c < CONN_COUNT; c++)
    if (g->conn[c].state == CONN_FREE)
      {
        g->conn[c].state = CONN_OPENING;
        g->conn[c].inst = inst;
        if (c >= g->conn_used)
          g->conn_used = c + 1;
        in->open_conns++;
        g->stats.connects++;
        g->ops->connect (g->ctx, c, inst);
        return;
      }
}

static unsigned
count_conns (const struct cfs_gate *g, unsigned inst,
             enum gate_conn_state state)
{
  unsigned n = 0;

  for (unsigned c = 0; c < g->conn_used; c++)
    n += g->conn[c].state == state && g->conn[c].inst == inst;
  return n;
}

static int
idle_conn (const struct cfs_gate *g, unsigned inst)
{
  for (unsigned c = 0; c < g->conn_used; c++)
    if (g->conn[c].state == CONN_IDLE && g->conn[c].inst == inst)
      return (int)c;
  return -1;
}

int
gate_conn_take (struct cfs_gate *g, unsigned inst, int64_t now)
{
  int c = idle_conn (g, inst);

  if (c < 0 && count_conns (g, inst, CONN_OPENING) < g->inst[inst].slots)
    gate_conn_open (g, inst, now);
  return c;
}

void
gate_send_probes (struct cfs_gate *g, int64_t now)
{
  int primary = gate_primary (g);

  for (unsigned i = 0; i < g->inst_count; i++)
    {
      struct gate_instance *in = &g->inst[i];
      bool fast = g->phase > PHASE_SERVING
                  || (g->pending_ack_count && (int)i != primary);
      int64_t every = fast ? g->tuning.probe_fast_interval_us
                           : g->tuning.probe_interval_us;

      if (now - in->last_probe_sent_at < every)
        continue;
      in->last_probe_sent_at = now;
      g->ops->probe (g->ctx, i);
    }
}

void
gate_check_conns (struct cfs_gate *g, int64_t now)
{
  for (unsigned c = 0; c < g->conn_used; c++)
    {
      const struct gate_conn *conn = &g->conn[c];

      if (conn->state == CONN_BUSY && now >= conn->request->deadline)
        gate_abort_conn (g, c, now);
      else if (conn->state == CONN_PINNED
               && now - conn->idle_since > g->tuning.transaction_timeout_us)
        gate_conn_close (g, c);
      else if (conn->state == CONN_IDLE && g->inst[conn->inst].leaving)
        gate_conn_close (g, c);
    }
}

/* Opens connections in advance, as many as an instance has slots. */
void
gate_warm_conns (struct cfs_gate *g, int64_t now)
{
  for (unsigned i = 0; i < g->inst_count; i++)
    if (!g->inst[i].leaving && g->inst[i].open_conns < g->inst[i].slots)
      gate_conn_open (g, i, now);
}
