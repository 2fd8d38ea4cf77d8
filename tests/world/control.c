/*
 * Checked at every step, the first violation is recorded: at most one
 * confirmed leader at a time, and at most one agent that holds the lease on
 * a resource.  Whenever a host applies a version: all hosts accepted the same
 * request as that version.
 */
#include "control.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_VOTER_ID 1000

static void
record_violation (struct world_control *w, const char *text)
{
  if (w->violation)
    return;
  snprintf (w->violation_text, sizeof w->violation_text, "%s at %lld us", text,
            (long long)w->now);
  w->violation = w->violation_text;
}

static int64_t
local_clock (const struct world_control *w, int drift_ppm)
{
  return w->now + w->now * drift_ppm / 1000000;
}

int64_t
wc_host_now (const struct wc_host *h)
{
  return local_clock (h->world, h->drift_ppm);
}

static void
send_message (struct world_control *w, int from, int to, const Cfs__Peer *p)
{
  int copies = 1;

  if (cfs_random (&w->seed) % 100 < (uint64_t)w->loss_percent)
    copies = 0;
  if (cfs_random (&w->seed) % 100 < (uint64_t)w->duplicate_percent)
    copies++;
  for (; copies > 0 && w->message_count < WC_MESSAGES; copies--)
    {
      struct wc_message *m = &w->messages[w->message_count++];

      m->from = from;
      m->to = to;
      m->len = cfs__peer__get_packed_size (p);
      m->data = cfs_alloc (m->len);
      cfs__peer__pack (p, m->data);
      m->at = w->now + w->delay_us
              + (int64_t)(cfs_random (&w->seed) % (uint64_t)w->jitter_us);
    }
}

static void
send_raft (void *ctx, const char *host, const Cfs__RaftMsg *msg)
{
  struct wc_host *h = ctx;
  Cfs__Peer p = CFS__PEER__INIT;

  p.body_case = CFS__PEER__BODY_RAFT;
  p.raft = (Cfs__RaftMsg *)msg;
  h->entries_sent += msg->n_entries;
  send_message (h->world, (int)h->index, host[1] - '1', &p);
}

/* Checks that all hosts accepted the same request as a version. */
static void
check_version (struct wc_host *h)
{
  struct world_control *w = h->world;
  const struct cfs_version *v;

  if (h->state.version == 0 || h->state.version_count == 0)
    return;
  v = &h->state.versions[h->state.version_count - 1];
  if (v->number > w->accepted_count)
    w->accepted_requests[w->accepted_count++] = cfs_strdup (v->request_id);
  else if (strcmp (w->accepted_requests[v->number - 1], v->request_id) != 0)
    record_violation (w, "two requests were accepted as the same version");
}

static void
apply (void *ctx, const struct cfs_raft_entry *e)
{
  struct wc_host *h = ctx;

  cfs_state_apply (&h->state, e->data, e->len, e->index);
  check_version (h);
}

static void
restore (void *ctx, const uint8_t *data, size_t len)
{
  struct wc_host *h = ctx;

  cfs_state_restore (&h->state, data, len);
  check_version (h);
}

static size_t
serialize (void *ctx, uint8_t **data)
{
  return cfs_state_serialize (&((struct wc_host *)ctx)->state, data);
}

static uint64_t
propose (void *ctx, const uint8_t *data, size_t len)
{
  struct wc_host *h = ctx;
  uint64_t index = 0;

  return cfs_raft_propose (h->raft, data, len, &index) == CFS_OK ? index : 0;
}

static const struct cfs_raft_ops raft_ops
    = { wd_save_vote,     wd_append, wd_truncate,
        wd_save_snapshot, send_raft, apply,
        restore,          serialize, NULL };
static const struct cfs_leader_ops leader_ops = { propose };

static void
set_initial_membership (struct cfs_raft_membership *m)
{
  m->count = WC_VOTERS;
  for (unsigned i = 0; i < WC_VOTERS; i++)
    {
      m->at[i].id = FIRST_VOTER_ID + i;
      m->at[i].voter = true;
      snprintf (m->at[i].host, CFS_NAME_MAX, "c%u", i + 1);
    }
}

void
wc_start (struct world_control *w, unsigned i)
{
  struct wc_host *h = &w->hosts[i];
  struct cfs_raft_initial_state initial = { .seed = cfs_random (&w->seed) };
  char name[8];

  snprintf (name, sizeof name, "c%u", i + 1);
  wd_load (&h->disk, &initial);
  if (initial.snapshot.members.count == 0)
    set_initial_membership (&initial.snapshot.members);
  cfs_state_init (&h->state);
  h->leader = cfs_leader_new (&leader_ops, h, &h->state);
  h->raft = cfs_raft_new (&raft_ops, h, &initial, name, wc_host_now (h));
  h->alive = true;
  h->frozen = false;
}

void
wc_crash (struct world_control *w, unsigned i)
{
  struct wc_host *h = &w->hosts[i];

  if (!h->alive)
    return;
  cfs_raft_free (h->raft);
  cfs_leader_free (h->leader);
  cfs_state_end (&h->state);
  h->alive = false;
}

void
wc_lose_disk (struct world_control *w, unsigned i)
{
  wd_empty (&w->hosts[i].disk, cfs_random (&w->seed));
}

static void
start_agent (struct world_control *w, unsigned i)
{
  struct wc_agent *a = &w->agents[i];

  cfs_table_end (&a->leases);
  cfs_table_end (&a->evacuations);
  memset (a, 0, sizeof *a);
  cfs_table_init (&a->leases, sizeof (struct cfs_lease));
  cfs_evacuations_init (&a->evacuations);
  a->index = i;
  a->alive = true;
  a->boot = cfs_random (&w->seed);
}

void
wc_agent_restart (struct world_control *w, unsigned i)
{
  start_agent (w, i);
}

struct world_control *
wc_new (uint64_t seed)
{
  struct world_control *w = cfs_alloc (sizeof *w);

  w->seed = seed * UINT64_C (0x9E3779B97F4A7C15) + 1;
  w->delay_us = 500;
  w->jitter_us = 1000;
  for (unsigned i = 0; i < WC_VOTERS; i++)
    {
      w->hosts[i].world = w;
      w->hosts[i].index = i;
      w->hosts[i].disk.id = FIRST_VOTER_ID + i;
      set_initial_membership (&w->hosts[i].disk.snapshot.members);
      wc_start (w, i);
    }
  for (unsigned i = 0; i < WC_AGENTS; i++)
    start_agent (w, i);
  return w;
}

void
wc_free (struct world_control *w)
{
  for (unsigned i = 0; i < WC_VOTERS; i++)
    {
      wc_crash (w, i);
      wd_empty (&w->hosts[i].disk, 0);
    }
  for (unsigned i = 0; i < WC_AGENTS; i++)
    {
      cfs_table_end (&w->agents[i].leases);
      cfs_table_end (&w->agents[i].evacuations);
    }
  for (size_t i = 0; i < w->message_count; i++)
    free (w->messages[i].data);
  for (uint64_t i = 0; i < w->accepted_count; i++)
    free (w->accepted_requests[i]);
  free (w);
}

static void
send_heartbeat (struct world_control *w, struct wc_agent *a)
{
  Cfs__Peer p = CFS__PEER__INIT;
  Cfs__Heartbeat h = CFS__HEARTBEAT__INIT;
  Cfs__Instance in = CFS__INSTANCE__INIT;
  Cfs__Instance *list[1] = { &in };
  char name[8];

  if (!a->reply_received)
    a->control_host = (a->control_host + 1) % WC_VOTERS;
  snprintf (name, sizeof name, "h%u", a->index + 1);
  h.host = name;
  h.zone = "a";
  h.address = "127.0.0.1";
  h.boot = a->boot;
  h.seq = ++a->seq;
  h.version = a->version;
  h.directory = a->directory;
  h.draining = a->draining;
  in.name = "t1";
  in.group = "orders";
  in.zone = "a";
  in.primary = true;
  in.term = 1;
  h.instances = list;
  h.n_instances = 1;
  a->sent_at = local_clock (w, a->drift_ppm);
  a->next_heartbeat_at = a->sent_at + HEARTBEAT_US;
  a->reply_received = false;
  p.body_case = CFS__PEER__BODY_HEARTBEAT;
  p.heartbeat = &h;
  if (!a->cut)
    send_message (w, WC_VOTERS + (int)a->index, (int)a->control_host, &p);
}

static void
handle_heartbeat (struct wc_host *h, int from, const Cfs__Heartbeat *in)
{
  const Cfs__HeartbeatReply *reply = NULL;
  Cfs__HeartbeatReply not_leader = CFS__HEARTBEAT_REPLY__INIT;
  Cfs__Peer out = CFS__PEER__INIT;
  int64_t now = wc_host_now (h);

  if (cfs_raft_leader_confirmed (h->raft, now))
    reply = cfs_leader_heartbeat (h->leader, in, now);
  not_leader.leader = "none";
  out.body_case = CFS__PEER__BODY_REPLY;
  out.reply = reply ? (Cfs__HeartbeatReply *)reply : &not_leader;
  send_message (h->world, (int)h->index, from, &out);
}

static void
handle_reply (struct world_control *w, struct wc_agent *a,
              const Cfs__HeartbeatReply *r)
{
  if (*r->leader || r->seq != a->seq)
    return;
  a->reply_received = true;
  if (r->version < a->version)
    return;
  a->version = r->version;
  if (r->directory > a->directory)
    a->directory = r->directory;
  for (size_t i = 0; i < r->n_assignments; i++)
    cfs_lease_from_message (
        cfs_table_add (&a->leases, r->assignments[i]->resource),
        r->assignments[i]);
  if (r->evacuations_changed > a->evacuations_index)
    {
      cfs_evacuations_replace (&a->evacuations, r->evacuations,
                               r->n_evacuations, a->sent_at);
      a->evacuations_index = r->evacuations_changed;
    }
  if (r->granted && a->sent_at + LEASE_US > a->lease_until)
    a->lease_until = a->sent_at + LEASE_US;
  (void)w;
}

bool
wc_agent_has_lease (const struct world_control *w, unsigned i)
{
  const struct wc_agent *a = &w->agents[i];

  return a->alive && local_clock (w, a->drift_ppm) < a->lease_until;
}

bool
wc_holds_lease (struct world_control *w, unsigned i, const char *resource)
{
  const struct wc_agent *a = &w->agents[i];
  const struct cfs_lease *l = cfs_table_find (&a->leases, resource);
  char name[8];

  snprintf (name, sizeof name, "h%u", i + 1);
  return a->alive && l && l->boot == a->boot && strcmp (l->holder, name) == 0
         && local_clock (w, a->drift_ppm) < a->lease_until;
}

static void
check_invariants (struct world_control *w)
{
  const char *violation = wc_step_orders (w);
  int leaders = 0;
  int holders = 0;

  for (unsigned i = 0; i < WC_VOTERS; i++)
    {
      const struct wc_host *h = &w->hosts[i];

      leaders
          += h->alive && cfs_raft_leader_confirmed (h->raft, wc_host_now (h));
    }
  for (unsigned i = 0; i < WC_AGENTS; i++)
    holders += wc_holds_lease (w, i, "gate/orders");
  if (leaders > 1)
    record_violation (w, "two confirmed leaders at the same time");
  if (violation)
    record_violation (w, violation);
  if (holders > 1)
    record_violation (w, "two hosts hold the lease on gate/orders");
}

static void
deliver (struct world_control *w, const struct wc_message *m)
{
  Cfs__Peer *p = cfs__peer__unpack (NULL, m->len, m->data);

  if (m->to < WC_VOTERS)
    {
      struct wc_host *h = &w->hosts[m->to];
      bool cut = m->from < WC_VOTERS && w->cut[m->from][m->to];

      if (h->alive && !cut && p->body_case == CFS__PEER__BODY_RAFT)
        cfs_raft_receive (h->raft, p->raft, wc_host_now (h));
      else if (h->alive && p->body_case == CFS__PEER__BODY_HEARTBEAT)
        handle_heartbeat (h, m->from, p->heartbeat);
    }
  else
    {
      struct wc_agent *a = &w->agents[m->to - WC_VOTERS];

      if (a->alive && !a->cut)
        handle_reply (w, a, p->reply);
    }
  cfs__peer__free_unpacked (p, NULL);
}

static bool
is_frozen (const struct world_control *w, int to)
{
  if (to < WC_VOTERS)
    return w->hosts[to].frozen;
  return w->agents[to - WC_VOTERS].frozen;
}

/* Messages to a suspended process are queued in its socket. */
static void
deliver_due (struct world_control *w)
{
  for (size_t i = 0; i < w->message_count;)
    {
      struct wc_message m = w->messages[i];

      if (m.at > w->now || is_frozen (w, m.to))
        {
          i++;
          continue;
        }
      w->messages[i] = w->messages[--w->message_count];
      deliver (w, &m);
      free (m.data);
    }
}

static void
step (struct world_control *w)
{
  w->now += WC_STEP_US;
  deliver_due (w);
  for (unsigned i = 0; i < WC_VOTERS; i++)
    {
      struct wc_host *h = &w->hosts[i];

      if (!h->alive || h->frozen)
        continue;
      cfs_raft_tick (h->raft, wc_host_now (h));
      cfs_leader_tick (h->leader,
                       cfs_raft_leader_confirmed (h->raft, wc_host_now (h)),
                       cfs_raft_commit_index (h->raft), wc_host_now (h));
    }
  for (unsigned i = 0; i < WC_AGENTS; i++)
    {
      struct wc_agent *a = &w->agents[i];

      if (a->alive && !a->frozen
          && local_clock (w, a->drift_ppm) >= a->next_heartbeat_at)
        send_heartbeat (w, a);
    }
  check_invariants (w);
}

void
wc_run (struct world_control *w, int64_t us)
{
  int64_t end = w->now + us;

  while (w->now < end)
    step (w);
}

int
wc_find_leader (struct world_control *w)
{
  for (unsigned i = 0; i < WC_VOTERS; i++)
    if (w->hosts[i].alive
        && cfs_raft_leader_confirmed (w->hosts[i].raft,
                                      wc_host_now (&w->hosts[i])))
      return (int)i;
  return -1;
}

bool
wc_patch (struct world_control *w, unsigned i, uint64_t base,
          const char *patch, const char *request_id)
{
  Cfs__Command c = CFS__COMMAND__INIT;
  Cfs__Patch p = CFS__PATCH__INIT;
  uint8_t data[1024];
  size_t len;

  if (!w->hosts[i].alive)
    return false;
  p.base_version = base;
  p.patch = (char *)patch;
  p.who = "test";
  p.request_id = (char *)request_id;
  c.body_case = CFS__COMMAND__BODY_PATCH;
  c.patch = &p;
  len = cfs__command__pack (&c, data);
  return propose (&w->hosts[i], data, len) != 0;
}
