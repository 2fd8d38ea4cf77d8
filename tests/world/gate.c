/*
 * Messages to a suspended or unreachable process are delayed, as in TCP.
 * Replicas copy the log of the primary with a lag.  When a new term begins,
 * they truncate their log to where its branch starts, as the platform's
 * instances do.
 */
#include "gate.h"

#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

/*
 * EV_CONNECT: a connection request reaches the instance
 * EV_CONNECTED: the host learns that the connection is open
 * EV_EXECUTE: work reaches the instance
 * EV_RESULT: its result reaches the host
 * EV_PROBE: a probe reaches the instance
 * EV_PROBED: its result reaches the host
 * EV_PROMOTE: a promotion request reaches the instance
 * EV_HEARTBEAT: the heartbeat of a host reaches the control group
 * EV_HEARTBEAT_REPLY: its reply reaches the host
 */
enum event_kind
{
  EV_CONNECT,
  EV_CONNECTED,
  EV_EXECUTE,
  EV_RESULT,
  EV_PROBE,
  EV_PROBED,
  EV_PROMOTE,
  EV_HEARTBEAT,
  EV_HEARTBEAT_REPLY
};

static void
trace_line (struct world_gate *w, const char *format, ...)
{
  va_list args;

  if (!w->trace)
    return;
  fprintf (w->trace, "%lld ms ", (long long)(w->now / 1000));
  va_start (args, format);
  vfprintf (w->trace, format, args);
  va_end (args);
  fputc ('\n', w->trace);
}

static void
record_violation (struct world_gate *w, const char *text, const char *name)
{
  if (!*w->violation)
    snprintf (w->violation, sizeof w->violation, "%s (%s) at %lld us", text,
              name, (long long)w->now);
}

static struct wg_event *
add_event (struct world_gate *w, enum event_kind kind, unsigned host,
           unsigned inst, int64_t delay)
{
  struct wg_event *e;

  if (w->event_count == WG_EVENTS)
    abort ();
  e = &w->events[w->event_count++];
  memset (e, 0, sizeof *e);
  e->kind = kind;
  e->host = host;
  e->inst = inst;
  e->at = w->now + delay;
  e->stamp = cfs_random (&w->seed);
  return e;
}

static int64_t
host_now (const struct wg_host *h)
{
  return h->world->now + h->world->now * h->drift_ppm / 1000000;
}

static struct wg_event *
conn_event (struct wg_host *h, enum event_kind kind, unsigned conn,
            unsigned inst, int64_t delay)
{
  struct wg_event *e = add_event (h->world, kind, h->index, inst, delay);

  e->conn = conn;
  e->generation = h->generation[conn];
  return e;
}

static void
do_connect (void *ctx, unsigned conn, unsigned inst)
{
  struct wg_host *h = ctx;

  h->generation[conn]++;
  conn_event (h, EV_CONNECT, conn, inst, h->world->connect_us);
}

static void
do_close (void *ctx, unsigned conn)
{
  struct wg_host *h = ctx;

  h->generation[conn]++;
  for (unsigned i = 0; i < WG_INSTANCES; i++)
    memset (&h->world->inst[i].conns[h->index][conn], 0,
            sizeof (struct wg_instance_conn));
}

static unsigned
connected_instance (const struct wg_host *h, unsigned conn)
{
  for (unsigned i = 0; i < WG_INSTANCES; i++)
    if (h->world->inst[i].conns[h->index][conn].open)
      return i;
  return WG_INSTANCES;
}

static void
do_run (void *ctx, unsigned conn, enum cfs_work work, struct cfs_request *r)
{
  struct wg_host *h = ctx;
  unsigned inst = connected_instance (h, conn);
  struct wg_event *e;

  ((struct wg_request *)r->payload)->sent++;
  if (inst == WG_INSTANCES)
    {
      struct cfs_work_result lost = { .status = WORK_STATUS_NOT_RUN };

      e = conn_event (h, EV_RESULT, conn, 0, h->world->rtt_us);
      e->result = lost;
      return;
    }
  e = conn_event (h, EV_EXECUTE, conn, inst, h->world->rtt_us / 2);
  e->work = work;
  e->request = (int)((struct wg_request *)r->payload - h->world->requests);
}

static struct wg_client_session *
find_or_add_session (struct world_gate *w, const char *name)
{
  for (int i = 0; i < w->client_session_count; i++)
    if (strcmp (w->client_sessions[i].name, name) == 0)
      return &w->client_sessions[i];
  cfs_copy (w->client_sessions[w->client_session_count].name,
            sizeof w->client_sessions[0].name, name);
  return &w->client_sessions[w->client_session_count++];
}

/* Updates the caller's session from the reply to its request. */
static void
advance_session (struct world_gate *w, struct wg_request *q)
{
  struct wg_client_session *s;

  if (!*q->session || q->outcome != CFS_DONE || q->term == 0)
    return;
  s = find_or_add_session (w, q->session);
  if (q->term > s->term || (q->term == s->term && q->position > s->position))
    {
      s->term = q->term;
      s->position = q->position;
    }
  if (!q->read && s->write_count < 512)
    s->writes[s->write_count++] = (int)(q - w->requests);
}

static void
do_reply (void *ctx, struct cfs_request *r, const struct cfs_gate_reply *v)
{
  struct wg_host *h = ctx;
  struct world_gate *w = h->world;
  struct wg_request *q = r->payload;

  if (q->answered)
    record_violation (w, "request answered twice", q->name);
  q->answered = true;
  q->answered_at = w->now;
  q->code = v->code;
  q->outcome = v->outcome;
  q->term = v->term;
  q->position = v->position;
  q->replica = v->replica;
  if (!q->read && v->outcome == CFS_DONE)
    {
      if (w->last_ack_at && w->now - w->last_ack_at > w->max_ack_gap_us)
        w->max_ack_gap_us = w->now - w->last_ack_at;
      w->last_ack_at = w->now;
    }
  trace_line (w, "%s %s %s%s%s", q->name, cfs_outcome_name (v->outcome),
              cfs_code_name (v->code),
              v->outcome != CFS_DONE || !q->read ? ""
              : v->replica                       ? " from a replica"
                                                 : " from the primary",
              *q->request.transaction && q->request.kind == CFS_BEGIN
                  ? " opened"
                  : "");
  if (v->code == CFS_CODE_WRITE_LOST && *q->session)
    {
      find_or_add_session (w, q->session)->term = v->term;
      find_or_add_session (w, q->session)->position = v->position;
    }
  advance_session (w, q);
}

static void
do_probe (void *ctx, unsigned inst)
{
  struct wg_host *h = ctx;
  struct wg_event *e
      = add_event (h->world, EV_PROBE, h->index, inst, h->world->rtt_us / 2);

  e->result.position = (uint64_t)host_now (h);
}

static void
do_promote (void *ctx, unsigned inst, uint64_t term)
{
  struct wg_host *h = ctx;
  struct wg_event *e
      = add_event (h->world, EV_PROMOTE, h->index, inst, h->world->rtt_us / 2);

  e->term = term;
  e->result.position = (uint64_t)host_now (h);
  trace_line (h->world, "host %u orders instance %u to lead in term %llu",
              h->index, inst, (unsigned long long)term);
}

static void
do_discard (void *ctx, void *body)
{
  (void)ctx;
  (void)body;
}

static const struct cfs_gate_ops ops
    = { do_connect, do_close,   do_run,    do_reply,
        do_probe,   do_promote, do_discard };

static void
update_instances (struct wg_host *h)
{
  for (unsigned i = 0; i < WG_INSTANCES; i++)
    {
      Cfs__Instance in = CFS__INSTANCE__INIT;
      char name[8];

      snprintf (name, sizeof name, "t%u", i);
      in.name = name;
      in.group = "orders";
      in.address = "127.0.0.1";
      in.slots = h->world->inst[i].slots;
      in.connections = 35;
      in.leaving = h->world->inst[i].leaving;
      cfs_gate_update_instance (h->gate, &in, host_now (h));
    }
}

void
wg_host_start (struct world_gate *w, unsigned i)
{
  struct wg_host *h = &w->hosts[i];

  if (h->alive)
    return;
  h->world = w;
  h->index = i;
  h->alive = true;
  h->frozen = false;
  h->gate = cfs_gate_new (&ops, h, "orders", &cfs_gate_defaults,
                          cfs_random (&w->seed) | 1);
  update_instances (h);
}

/* The gate answers its requests as it is freed; these replies never reach the
   callers, so the outcome is unknown to them. */
void
wg_host_kill (struct world_gate *w, unsigned i)
{
  struct wg_host *h = &w->hosts[i];
  FILE *trace = w->trace;
  int64_t last = w->last_ack_at;

  if (!h->alive)
    return;
  w->trace = NULL;
  cfs_gate_free (h->gate, host_now (h));
  w->trace = trace;
  w->last_ack_at = last;
  h->gate = NULL;
  h->alive = false;
  for (unsigned c = 0; c < WG_CONNS; c++)
    do_close (h, c);
  for (int q = 0; q < w->request_count; q++)
    if (w->requests[q].answered && w->requests[q].answered_at == w->now)
      w->requests[q].outcome = CFS_UNKNOWN;
}

struct world_gate *
wg_new (uint64_t seed, FILE *trace)
{
  struct world_gate *w = cfs_alloc (sizeof *w);

  w->seed = seed * UINT64_C (0x9E3779B97F4A7C15) + 1;
  w->trace = trace;
  w->service_us = 4000;
  w->rtt_us = 1000;
  w->connect_us = 12000;
  for (unsigned i = 0; i < WG_INSTANCES; i++)
    {
      w->inst[i].alive = true;
      w->inst[i].term = 1;
      w->inst[i].lag_us = 50000;
      w->inst[i].slots = 5;
    }
  w->inst[0].primary = true;
  cfs_copy (w->group.name, CFS_NAME_MAX, "orders");
  cfs_copy (w->group.primary, CFS_NAME_MAX, "t0");
  w->group.term = 1;
  w->group.granted_term = 1;
  w->group.branches[0].term = 1;
  w->group.branch_count = 1;
  w->epoch = 1;
  w->holder_lease_end = LEASE_WAIT_US;
  for (unsigned i = 0; i < WG_HOSTS; i++)
    wg_host_start (w, i);
  wg_run (w, 200000);
  return w;
}

void
wg_free (struct world_gate *w)
{
  for (unsigned i = 0; i < WG_HOSTS; i++)
    wg_host_kill (w, i);
  free (w);
}

/* Returns the index of the log entry with an idempotency key, or -1. */
static int
find_entry_by_key (const struct wg_instance *in, const char *key)
{
  for (uint64_t i = 0; i < in->log_count; i++)
    if (strcmp (in->log[i].key, key) == 0)
      return (int)i;
  return -1;
}

static void
commit_write (struct world_gate *w, struct wg_instance *in, int request)
{
  struct wg_log_entry *entry = &in->log[in->log_count++];

  if (in->log_count == WG_LOG_MAX)
    abort ();
  entry->request = request;
  cfs_copy (entry->key, sizeof entry->key, w->requests[request].request.key);
  entry->term = in->term;
  entry->at = w->now;
  in->visible = in->log_count;
}

/* Runs work at an instance. */
static enum cfs_work_status
execute (struct world_gate *w, struct wg_instance *in,
         struct wg_instance_conn *s, const struct wg_event *e)
{
  struct wg_request *q = &w->requests[e->request];
  bool writes = e->work == WORK_WRITE || e->work == WORK_KEYED_WRITE
                || e->work == WORK_BEGIN || e->work == WORK_COMMIT;

  q->executed++;
  if (e->work <= WORK_BEGIN && *s->transaction)
    record_violation (w, "a request ran inside an unrelated open transaction",
                      q->name);
  if (e->work >= WORK_STATEMENT
      && strcmp (s->transaction, q->request.transaction) != 0)
    record_violation (w, "a statement ran inside another transaction",
                      q->name);
  if (writes && !in->primary)
    return WORK_STATUS_ERROR;
  if (e->work == WORK_WRITE)
    commit_write (w, in, e->request);
  else if (e->work == WORK_KEYED_WRITE)
    {
      if (find_entry_by_key (in, q->request.key) >= 0)
        return WORK_STATUS_REPLAYED;
      commit_write (w, in, e->request);
    }
  else if (e->work == WORK_BEGIN)
    cfs_copy (s->transaction, sizeof s->transaction, q->request.transaction);
  else if (e->work == WORK_STATEMENT && s->pending_count < 16)
    s->pending[s->pending_count++] = e->request;
  else if (e->work == WORK_COMMIT || e->work == WORK_ROLLBACK)
    {
      for (int i = 0; i < s->pending_count && e->work == WORK_COMMIT; i++)
        commit_write (w, in, s->pending[i]);
      s->pending_count = 0;
      s->transaction[0] = '\0';
    }
  return WORK_STATUS_OK;
}

/* Checks that a read sees all writes that were acknowledged to its session
   before the read was submitted. */
static void
check_read (struct world_gate *w, const struct wg_instance *in,
            const struct wg_request *q)
{
  const struct wg_client_session *s;

  if (!*q->session)
    return;
  s = find_or_add_session (w, q->session);
  for (int i = 0; i < s->write_count; i++)
    {
      const struct wg_request *write = &w->requests[s->writes[i]];
      bool found = write->request.kind == CFS_COMMIT;

      if (write->answered_at > q->submitted_at)
        continue;
      for (uint64_t k = 0; k < in->visible && !found; k++)
        found = in->log[k].request == s->writes[i]
                || (*write->request.key
                    && strcmp (in->log[k].key, write->request.key) == 0);
      if (!found)
        trace_line (w,
                    "read %s misses write %s at term %llu position %llu; the "
                    "instance shows position %llu in term %llu, the session "
                    "token has term %llu position %llu",
                    q->name, write->name, (unsigned long long)write->term,
                    (unsigned long long)write->position,
                    (unsigned long long)in->visible,
                    (unsigned long long)in->term,
                    (unsigned long long)q->request.token_term,
                    (unsigned long long)q->request.token_position);
      if (!found)
        record_violation (
            w, "a read misses an acknowledged write of its session", q->name);
    }
}

static void
on_execute (struct world_gate *w, const struct wg_event *e)
{
  struct wg_instance *in = &w->inst[e->inst];
  struct wg_instance_conn *s = &in->conns[e->host][e->conn];
  struct wg_host *h = &w->hosts[e->host];
  struct wg_event *r;
  struct cfs_work_result res = { .clean = true };
  unsigned slot = 0;
  int64_t start;

  if (!s->open || s->generation != e->generation)
    {
      /* The instance has been restarted: it resets the old connection. */
      r = conn_event (h, EV_RESULT, e->conn, e->inst, w->rtt_us / 2);
      r->generation = e->generation;
      r->result.status = WORK_STATUS_NOT_RUN;
      r->result.clean = false;
      return;
    }
  for (unsigned i = 1; i < in->slots; i++)
    if (in->busy_until[i] < in->busy_until[slot])
      slot = i;
  start = in->busy_until[slot] > w->now ? in->busy_until[slot] : w->now;
  in->busy_until[slot] = start + w->service_us;
  res.position = in->visible;
  res.position_max = in->visible;
  res.status = execute (w, in, s, e);
  res.term = in->term;
  if (e->work == WORK_READ)
    check_read (w, in, &w->requests[e->request]);
  else
    res.position = in->visible;
  r = conn_event (h, EV_RESULT, e->conn, e->inst,
                  in->busy_until[slot] - w->now + w->rtt_us / 2);
  r->generation = e->generation;
  r->result = res;
}

static void
on_result (struct world_gate *w, const struct wg_event *e)
{
  struct wg_host *h = &w->hosts[e->host];

  if (h->generation[e->conn] != e->generation)
    return;
  cfs_gate_work_done (h->gate, e->conn, &e->result, host_now (h));
}

static void
on_connect (struct world_gate *w, const struct wg_event *e)
{
  struct wg_instance_conn *s = &w->inst[e->inst].conns[e->host][e->conn];
  struct wg_event *r;

  memset (s, 0, sizeof *s);
  s->open = true;
  s->generation = e->generation;
  r = add_event (w, EV_CONNECTED, e->host, e->inst, 0);
  r->conn = e->conn;
  r->generation = e->generation;
}

static void
on_probe (struct world_gate *w, const struct wg_event *e)
{
  const struct wg_instance *in = &w->inst[e->inst];
  struct wg_event *r
      = add_event (w, EV_PROBED, e->host, e->inst, w->rtt_us / 2);

  r->result.position = e->result.position;
  r->term = in->term;
  r->generation = in->visible;
  r->request = (int)in->branch_start;
  r->result.clean = in->primary;
}

static void
on_promote (struct world_gate *w, const struct wg_event *e)
{
  struct wg_instance *in = &w->inst[e->inst];

  if (e->term > in->term)
    {
      in->term = e->term;
      in->branch_start = in->log_count;
      in->visible = in->log_count;
      in->primary = true;
    }
  on_probe (w, e);
}

/* The simulated control group handles the heartbeat of a host. */
static void
on_heartbeat (struct world_gate *w, const struct wg_event *e)
{
  struct wg_host *h = &w->hosts[e->host];
  Cfs__GroupReport r;
  struct wg_event *reply;

  if (w->holder == e->host && cfs_gate_report (h->gate, &r)
      && r.epoch == w->epoch)
    {
      struct cfs_group *g = &w->group;

      if (r.promoted_term && r.promoted_term == g->granted_term
          && r.promoted_term > g->term && g->granted_epoch == r.epoch)
        {
          g->term = r.promoted_term;
          cfs_copy (g->primary, CFS_NAME_MAX, r.primary);
          g->branches[g->branch_count].term = g->term;
          g->branches[g->branch_count++].start = r.start;
          if (g->branch_count == STATE_BRANCHES_MAX)
            memmove (g->branches, g->branches + 1,
                     --g->branch_count * sizeof g->branches[0]);
          trace_line (w, "term %llu is recorded", (unsigned long long)g->term);
        }
      if (r.want_term
          && !(g->granted_term > g->term && g->granted_term > r.used_term
               && g->granted_epoch == r.epoch))
        {
          g->granted_term++;
          g->granted_epoch = r.epoch;
          trace_line (w, "term %llu is granted",
                      (unsigned long long)g->granted_term);
        }
    }
  if (w->holder == e->host)
    w->holder_lease_end = w->now + LEASE_WAIT_US;
  reply = add_event (w, EV_HEARTBEAT_REPLY, e->host, 0, w->rtt_us + 4000);
  reply->term = (uint64_t)e->result.position;
}

static void
on_heartbeat_reply (struct world_gate *w, const struct wg_event *e)
{
  struct wg_host *h = &w->hosts[e->host];
  bool own = w->holder == e->host;
  int64_t now = host_now (h);

  cfs_gate_assign (h->gate, own ? w->epoch : 0, now);
  cfs_gate_set_group (h->gate, &w->group, now);
  update_instances (h);
  cfs_gate_renew (h->gate, (int64_t)e->term + LEASE_US, now);
}

static void
handle (struct world_gate *w, const struct wg_event *e)
{
  struct wg_host *h = &w->hosts[e->host];

  switch (e->kind)
    {
    case EV_CONNECT:
      on_connect (w, e);
      break;
    case EV_CONNECTED:
      if (h->generation[e->conn] == e->generation)
        cfs_gate_connected (h->gate, e->conn, host_now (h));
      break;
    case EV_EXECUTE:
      on_execute (w, e);
      break;
    case EV_RESULT:
      on_result (w, e);
      break;
    case EV_PROBE:
      on_probe (w, e);
      break;
    case EV_PROBED:
      cfs_gate_probed (h->gate, e->inst, e->term, e->generation,
                       (uint64_t)e->request, e->result.clean,
                       (int64_t)e->result.position, host_now (h));
      break;
    case EV_PROMOTE:
      on_promote (w, e);
      break;
    case EV_HEARTBEAT:
      on_heartbeat (w, e);
      break;
    default:
      on_heartbeat_reply (w, e);
      break;
    }
}

/* Returns 1 if the event can happen now, 0 if it has to wait, -1 if it never
   will.  Work that a host had sent before it was stopped is still executed. */
static int
event_readiness (const struct world_gate *w, const struct wg_event *e)
{
  const struct wg_instance *in = &w->inst[e->inst];
  const struct wg_host *h = &w->hosts[e->host];
  bool at_inst = e->kind == EV_CONNECT || e->kind == EV_EXECUTE
                 || e->kind == EV_PROBE || e->kind == EV_PROMOTE;
  bool from_inst = e->kind == EV_CONNECTED || e->kind == EV_RESULT
                   || e->kind == EV_PROBED;

  if (!h->alive)
    return at_inst && e->kind == EV_EXECUTE && in->alive ? 1 : -1;
  if (e->kind == EV_HEARTBEAT || e->kind == EV_HEARTBEAT_REPLY)
    return h->cut_control ? -1 : !h->frozen;
  if (at_inst && !in->alive)
    return e->kind == EV_PROBE || e->kind == EV_PROMOTE ? -1 : 0;
  if (in->cut[e->host] && (at_inst || from_inst))
    return 0;
  if (at_inst)
    return !in->frozen;
  return !h->frozen;
}

static void
run_due_events (struct world_gate *w)
{
  for (size_t i = 0; i < w->event_count;)
    {
      struct wg_event e = w->events[i];
      int may = e.at <= w->now ? event_readiness (w, &e) : 0;

      if (may == 0)
        {
          i++;
          continue;
        }
      w->events[i] = w->events[--w->event_count];
      if (may > 0)
        handle (w, &e);
    }
}

/* A replica copies the log of the reachable primary with the highest term. */
static void
replicate (struct world_gate *w, unsigned i)
{
  struct wg_instance *in = &w->inst[i];
  const struct wg_instance *source = NULL;

  if (!in->alive || in->frozen)
    return;
  for (unsigned k = 0; k < WG_INSTANCES && !in->isolated; k++)
    {
      const struct wg_instance *o = &w->inst[k];

      if (k != i && o->alive && !o->frozen && !o->isolated && o->primary
          && (o->term > in->term || (o->term == in->term && !in->primary))
          && (!source || o->term > source->term))
        source = o;
    }
  if (source && source->term > in->term)
    {
      uint64_t keep = 0;

      while (keep < in->log_count && keep < source->log_count
             && in->log[keep].request == source->log[keep].request
             && in->log[keep].term == source->log[keep].term)
        keep++;
      in->log_count
          = keep < source->branch_start ? keep : source->branch_start;
      if (in->visible > in->log_count)
        in->visible = in->log_count;
      in->term = source->term;
      in->branch_start = source->branch_start;
      in->primary = false;
    }
  while (source && in->log_count < source->log_count
         && source->log[in->log_count].at + in->lag_us <= w->now)
    {
      in->log[in->log_count] = source->log[in->log_count];
      in->log_count++;
    }
  if (!in->primary)
    in->visible = in->log_count;
}

static void
move_gate (struct world_gate *w)
{
  unsigned other = (w->holder + 1) % WG_HOSTS;

  if (w->now <= w->holder_lease_end || !w->hosts[other].alive
      || w->hosts[other].frozen || w->hosts[other].cut_control)
    return;
  w->holder = other;
  w->epoch++;
  w->holder_lease_end = w->now + LEASE_WAIT_US;
  trace_line (w, "host %u holds the gate in epoch %llu", other,
              (unsigned long long)w->epoch);
}

static void
tick_host (struct world_gate *w, struct wg_host *h)
{
  Cfs__GroupReport r;
  int64_t now = host_now (h);
  bool urgent;

  if (!h->alive || h->frozen)
    return;
  cfs_gate_tick (h->gate, now);
  urgent = cfs_gate_report (h->gate, &r);
  if (now < h->next_heartbeat
      && !(urgent
           && now + HEARTBEAT_US > h->next_heartbeat + HEARTBEAT_URGENT_US))
    return;
  h->next_heartbeat = now + HEARTBEAT_US;
  if (!h->cut_control)
    add_event (w, EV_HEARTBEAT, h->index, 0, w->rtt_us)->result.position
        = (uint64_t)now;
}

static void
check_gates (struct world_gate *w)
{
  int serving = 0;

  for (unsigned i = 0; i < WG_HOSTS; i++)
    serving += w->hosts[i].alive
               && cfs_gate_serving (w->hosts[i].gate, host_now (&w->hosts[i]));
  if (serving > 1)
    record_violation (w, "two gates serve at the same time", "");
}

void
wg_run (struct world_gate *w, int64_t us)
{
  int64_t end = w->now + us;

  while (w->now < end)
    {
      w->now += WG_STEP_US;
      run_due_events (w);
      for (unsigned i = 0; i < WG_INSTANCES; i++)
        replicate (w, i);
      for (unsigned i = 0; i < WG_HOSTS; i++)
        tick_host (w, &w->hosts[i]);
      move_gate (w);
      check_gates (w);
    }
}

static int
send_request (struct world_gate *w, int q)
{
  struct wg_host *h = &w->hosts[w->holder];
  struct cfs_request *r = &w->requests[q].request;

  w->requests[q].submitted_at = w->now;
  if (!h->alive || h->frozen)
    {
      w->requests[q].answered = true;
      w->requests[q].answered_at = w->now;
      w->requests[q].outcome = h->alive ? CFS_UNKNOWN : CFS_NOT_RUN;
      return q;
    }
  r->deadline += host_now (h);
  cfs_gate_submit (h->gate, r, host_now (h));
  return q;
}

int
wg_submit (struct world_gate *w, const char *name, enum cfs_request_kind kind,
           const char *key, const char *session, bool once,
           const char *transaction, int64_t deadline_us, int64_t max_age_us)
{
  struct wg_request *q = &w->requests[w->request_count];
  struct cfs_request *r = &q->request;

  if (w->request_count == WG_REQUESTS)
    abort ();
  q->used = true;
  q->read = kind == CFS_READ;
  cfs_copy (q->name, sizeof q->name, name);
  cfs_copy (q->session, sizeof q->session, session);
  r->payload = q;
  r->kind = kind;
  cfs_copy (r->team, sizeof r->team, "weavers");
  cfs_copy (r->key, sizeof r->key, key);
  cfs_copy (r->transaction, sizeof r->transaction, transaction);
  r->send_once = once;
  r->deadline = deadline_us;
  r->max_age_us = max_age_us;
  if (*q->session)
    {
      r->token_term = find_or_add_session (w, session)->term;
      r->token_position = find_or_add_session (w, session)->position;
    }
  return send_request (w, w->request_count++);
}

int
wg_resend (struct world_gate *w, int q)
{
  const struct cfs_request r = w->requests[q].request;

  return wg_submit (w, w->requests[q].name, r.kind, r.key,
                    w->requests[q].session, r.send_once, "", 3 * CFS_US_PER_S,
                    r.max_age_us);
}

void
wg_kill (struct world_gate *w, unsigned i)
{
  struct wg_instance *in = &w->inst[i];

  in->alive = false;
  for (unsigned h = 0; h < WG_HOSTS; h++)
    for (unsigned c = 0; c < WG_CONNS; c++)
      {
        bool open = in->conns[h][c].open;

        memset (&in->conns[h][c], 0, sizeof in->conns[h][c]);
        if (open && w->hosts[h].alive && !w->hosts[h].frozen && !in->cut[h])
          {
            struct cfs_work_result lost = { .status = WORK_STATUS_UNKNOWN };

            w->hosts[h].generation[c]++;
            cfs_gate_work_done (w->hosts[h].gate, c, &lost,
                                host_now (&w->hosts[h]));
            cfs_gate_disconnected (w->hosts[h].gate, c,
                                   host_now (&w->hosts[h]));
          }
      }
}

void
wg_start (struct world_gate *w, unsigned i)
{
  if (w->inst[i].alive)
    return;
  w->inst[i].alive = true;
  w->inst[i].primary = false;
  w->inst[i].frozen = false;
}

void
wg_heal (struct world_gate *w)
{
  for (unsigned i = 0; i < WG_INSTANCES; i++)
    {
      wg_start (w, i);
      w->inst[i].frozen = false;
      w->inst[i].isolated = false;
      memset (w->inst[i].cut, 0, sizeof w->inst[i].cut);
    }
  for (unsigned i = 0; i < WG_HOSTS; i++)
    {
      w->hosts[i].frozen = false;
      w->hosts[i].cut_control = false;
      wg_host_start (w, i);
    }
}

static int
count_in_log (const struct world_gate *w, const struct wg_instance *in,
              int request)
{
  const struct wg_request *q = &w->requests[request];
  int n = 0;

  for (uint64_t i = 0; i < in->log_count; i++)
    n += *q->request.key ? strcmp (in->log[i].key, q->request.key) == 0
                         : in->log[i].request == request;
  return n;
}

static void
check_request (struct world_gate *w, const struct wg_instance *in, int i)
{
  const struct wg_request *q = &w->requests[i];
  int n = count_in_log (w, in, i);
  bool write = q->request.kind == CFS_WRITE;

  if (!q->answered)
    {
      trace_line (
          w, "no answer to %s (kind %d, sent at %lld ms, executed %d times)",
          q->name, (int)q->request.kind, (long long)q->submitted_at / 1000,
          q->executed);
      record_violation (w, "request never answered", q->name);
    }
  if (q->request.send_once && q->sent > 1)
    record_violation (w, "request that must be sent once was sent again",
                      q->name);
  if (!write)
    return;
  if (n > 1)
    record_violation (w, "write committed twice", q->name);
  if (q->outcome == CFS_DONE && n != 1)
    record_violation (w, "acknowledged write missing in the log", q->name);
  if (q->outcome == CFS_NOT_RUN && !*q->request.key && n != 0)
    record_violation (w, "write reported as not run was committed", q->name);
}

const char *
wg_check (struct world_gate *w)
{
  const struct wg_instance *in = NULL;

  for (unsigned i = 0; i < WG_INSTANCES; i++)
    if (w->inst[i].primary && (!in || w->inst[i].term > in->term))
      in = &w->inst[i];
  if (!in)
    record_violation (w, "no instance is primary", "");
  for (int i = 0; in && i < w->request_count; i++)
    check_request (w, in, i);
  return *w->violation ? w->violation : NULL;
}
