/*
 * The lease is counted from the time at which the answered heartbeat was
 * sent, by the clock of this host, so no clock is ever compared with
 * another one.  A version lower than the one held is never taken.
 */
#include "control_client.h"

#include "../version/conf.h"
#include "control.h"
#include "leader.h"
#include "log.h"
#include "net.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART "agent"
#define CALL_RETRY_US (700 * CFS_US_PER_MS)
#define CALL_REFUSED_US (50 * CFS_US_PER_MS)
#define HTTP_UNAVAILABLE 503
/* Time between heartbeats while targets are out of reach. */
#define HEARTBEAT_SUSPECT_US (100 * CFS_US_PER_MS)
/* Silence of the control group that is told. */
#define LOST_US (1500 * CFS_US_PER_MS)
/* Control hosts that are kept in mind: members and seeds. */
#define PEERS_MAX 24

/* A call on its way to the leader. */
struct call
{
  Cfs__Peer *peer;
  int64_t since;
  int64_t sent_at;
  bool refused;
};

struct cfs_control_client
{
  const struct cfs_control_client_ops *ops;
  void *ctx;
  const struct cfs_settings *settings;
  struct cfs_net *net;
  uint64_t boot;
  uint64_t seq;
  int64_t sent_at;
  int64_t next_at;
  bool answered;
  bool lost;
  int64_t heard_at;
  struct cfs_peer peers[PEERS_MAX];
  size_t peer_count;
  size_t leader;
  uint64_t members_hash;
  uint64_t version;
  uint64_t directory;
  char *document;
  Cfs__Peer *report;
  Cfs__Peer *uses;
  Cfs__Peer **news;
  size_t news_count;
  size_t news_cap;
  struct call *calls;
  size_t call_count;
  size_t call_cap;
};

static void
try_next_host (struct cfs_control_client *a)
{
  a->leader++;
  if (a->leader >= a->peer_count)
    a->leader = 0;
}

/* Control hosts found by seeds are named by their IP number. */
static void
add_peer (struct cfs_control_client *a, const char *name)
{
  struct cfs_peer *p;

  for (size_t i = 0; i < a->peer_count; i++)
    if (strcmp (a->peers[i].host, name) == 0)
      return;
  if (!a->settings->by_seeds || a->peer_count == PEERS_MAX)
    return;
  p = &a->peers[a->peer_count++];
  cfs_copy (p->host, sizeof p->host, name);
  cfs_copy (p->address, sizeof p->address, name);
  p->port = a->settings->peer_port;
}

static void
try_host (struct cfs_control_client *a, const char *name)
{
  add_peer (a, name);
  for (size_t i = 0; i < a->peer_count; i++)
    if (strcmp (a->peers[i].host, name) == 0)
      {
        a->leader = i;
        return;
      }
  try_next_host (a);
}

/* The members replace what is known besides the seeds. */
static void
take_members (struct cfs_control_client *a, const Cfs__HeartbeatReply *r)
{
  char leader[CFS_NAME_MAX];

  if (r->n_members == 0 || !a->settings->by_seeds)
    return;
  cfs_copy (leader, sizeof leader, a->peers[a->leader].host);
  a->peer_count = 0;
  for (size_t i = 0; i < r->n_members; i++)
    add_peer (a, r->members[i]);
  for (size_t i = 0; i < a->settings->control_count; i++)
    add_peer (a, a->settings->control[i].host);
  a->members_hash = r->members_hash;
  try_host (a, leader);
}

static int
send_to_leader (struct cfs_control_client *a, const Cfs__Peer *msg)
{
  const struct cfs_peer *p = &a->peers[a->leader];

  return cfs_net_send (a->net, p->address, p->port, msg);
}

static bool
is_urgent (const struct cfs_control_client *a)
{
  return a->report
         && (a->report->heartbeat->n_reports
             || a->report->heartbeat->n_released);
}

static int64_t
heartbeat_wait (const struct cfs_control_client *a)
{
  if (is_urgent (a))
    return HEARTBEAT_URGENT_US;
  if (a->report && a->report->heartbeat->n_suspects)
    return HEARTBEAT_SUSPECT_US;
  return HEARTBEAT_US;
}

static void
free_peer (Cfs__Peer *peer)
{
  cfs__peer__free_unpacked (peer, NULL);
}

static void
free_news (struct cfs_control_client *a)
{
  for (size_t i = 0; i < a->news_count; i++)
    cfs__peer__free_unpacked (a->news[i], NULL);
  a->news_count = 0;
}

/* All announced instances since the last heartbeat, as one list. */
static Cfs__Instance **
collect_news (const struct cfs_control_client *a, size_t *count)
{
  Cfs__Instance **list;
  size_t n = 0;

  for (size_t i = 0; i < a->news_count; i++)
    n += a->news[i]->heartbeat->n_instances;
  list = cfs_alloc (n * sizeof *list);
  *count = 0;
  for (size_t i = 0; i < a->news_count; i++)
    for (size_t j = 0; j < a->news[i]->heartbeat->n_instances; j++)
      list[(*count)++] = a->news[i]->heartbeat->instances[j];
  return list;
}

/* One line when the control group stops answering, and one when it is back.
 */
static void
note_lost (struct cfs_control_client *a, int64_t now)
{
  if (a->lost || now - a->heard_at < LOST_US)
    return;
  a->lost = true;
  cfs_log (CFS_WARNING, PART,
           "control group lost, last asked host=%s silent_ms=%" PRId64,
           a->peers[a->leader].host, (now - a->heard_at) / CFS_US_PER_MS);
}

static void
note_heard (struct cfs_control_client *a, int64_t now)
{
  if (a->lost)
    cfs_log (CFS_NOTICE, PART, "control group is back, leader=%s",
             a->peers[a->leader].host);
  a->lost = false;
  a->heard_at = now;
}

static void
send_heartbeat (struct cfs_control_client *a, int64_t now)
{
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__Heartbeat h = CFS__HEARTBEAT__INIT;

  if (!a->answered && a->seq)
    {
      note_lost (a, now);
      try_next_host (a);
    }
  h.host = (char *)a->settings->host;
  h.zone = (char *)a->settings->zone;
  h.address = (char *)a->settings->address;
  h.port = a->settings->traffic_port;
  h.boot = a->boot;
  h.seq = ++a->seq;
  h.version = a->version;
  h.directory = a->directory;
  if (a->report)
    {
      const Cfs__Heartbeat *r = a->report->heartbeat;

      h.draining = r->draining;
      h.released = r->released;
      h.n_released = r->n_released;
      h.reports = r->reports;
      h.n_reports = r->n_reports;
      h.suspects = r->suspects;
      h.n_suspects = r->n_suspects;
    }
  if (a->uses)
    {
      h.uses = a->uses->heartbeat->uses;
      h.n_uses = a->uses->heartbeat->n_uses;
      h.idle_us = a->uses->heartbeat->idle_us;
    }
  h.members_hash = a->members_hash;
  h.instances = collect_news (a, &h.n_instances);
  out.body_case = CFS__PEER__BODY_HEARTBEAT;
  out.heartbeat = &h;
  a->sent_at = now;
  a->answered = false;
  a->next_at = now + heartbeat_wait (a);
  if (send_to_leader (a, &out) == CFS_OK)
    {
      free_news (a);
      g_clear_pointer (&a->uses, free_peer);
    }
  else
    a->next_at = now + HEARTBEAT_URGENT_US;
  free (h.instances);
}

/* Brings the document to the reply's version.  Returns whether it could. */
static bool
take_versions (struct cfs_control_client *a, Cfs__HeartbeatReply *r)
{
  if (r->version == a->version)
    return true;
  if (r->version < a->version)
    return false;
  if (*r->document)
    {
      free (a->document);
      a->document = cfs_strdup (r->document);
      a->version = r->version;
      return true;
    }
  for (size_t i = 0; i < r->n_versions; i++)
    {
      char *next;

      if (r->versions[i]->number != a->version + 1)
        continue;
      next = cfs_conf_patch (a->document, r->versions[i]->patch, NULL);
      if (!next)
        return false;
      free (a->document);
      a->document = next;
      a->version++;
    }
  return a->version == r->version;
}

/* Where sessions are served the lease covers the configuration, which a
   reply of the leader confirms; else it covers gates and limiters. */
static int64_t
lease_end (const struct cfs_control_client *a, const Cfs__HeartbeatReply *r)
{
  if (a->settings->by_seeds)
    return a->sent_at + a->settings->document_lease_us;
  return r->granted ? a->sent_at + LEASE_US : 0;
}

static void
take_reply (struct cfs_control_client *a, Cfs__HeartbeatReply *r, int64_t now)
{
  uint64_t had = a->version;
  char *sent = r->document;

  if (r->seq != a->seq)
    return;
  if (!*r->leader && !r->granted && r->version == 0)
    {
      try_next_host (a);
      a->next_at = now + HEARTBEAT_URGENT_US;
      a->answered = true;
      return;
    }
  else if (*r->leader)
    {
      try_host (a, r->leader);
      a->next_at = now;
    }
  a->answered = true;
  if (*r->leader || !take_versions (a, r))
    return;
  note_heard (a, now);
  if (r->directory > a->directory)
    a->directory = r->directory;
  take_members (a, r);
  r->lease_until_us = lease_end (a, r);
  r->document = a->version != had ? a->document : (char *)"";
  a->ops->renewed (a->ctx, r);
  r->document = sent;
  if (a->version != had)
    cfs_log (CFS_INFO, PART, "holds version %" PRIu64, a->version);
}

static void
drop_call (struct cfs_control_client *a, size_t i)
{
  cfs__peer__free_unpacked (a->calls[i].peer, NULL);
  a->calls[i] = a->calls[--a->call_count];
}

static void
take_called (struct cfs_control_client *a, Cfs__OperatorReply *r)
{
  for (size_t i = 0; i < a->call_count; i++)
    {
      if (a->calls[i].peer->call->id != r->id)
        continue;
      if (r->status == HTTP_UNAVAILABLE)
        {
          try_host (a, r->body);
          a->calls[i].sent_at = cfs_now ();
          a->calls[i].refused = true;
          return;
        }
      a->ops->called (a->ctx, r);
      drop_call (a, i);
      return;
    }
}

static void
receive (void *ctx, const struct cfs_origin *from, const Cfs__Peer *msg)
{
  struct cfs_control_client *a = ctx;

  (void)from;
  if (msg->body_case == CFS__PEER__BODY_REPLY)
    take_reply (a, msg->reply, cfs_now ());
  else if (msg->body_case == CFS__PEER__BODY_CALLED)
    take_called (a, msg->called);
  else if (msg->body_case == CFS__PEER__BODY_TOKENS_GRANT)
    a->ops->tokens (a->ctx, msg->tokens_grant);
}

struct cfs_control_client *
cfs_control_client_new (const struct cfs_control_client_ops *ops, void *ctx,
                        const struct cfs_settings *settings, uint64_t boot,
                        void *zmq, struct cfs_loop *loop)
{
  struct cfs_control_client *a = cfs_alloc (sizeof *a);
  struct cfs_net_setup setup = { .zmq = zmq,
                                 .public_key = settings->curve_public,
                                 .secret_key = settings->curve_secret,
                                 .receive = receive,
                                 .ctx = a };

  a->ops = ops;
  a->ctx = ctx;
  a->settings = settings;
  a->document = cfs_strdup ("{}");
  a->boot = boot;
  a->heard_at = cfs_now ();
  a->peer_count = settings->control_count;
  memcpy (a->peers, settings->control,
          settings->control_count * sizeof a->peers[0]);
  a->net = cfs_net_new (&setup, loop);
  return a;
}

void
cfs_control_client_free (struct cfs_control_client *a)
{
  if (!a)
    return;
  while (a->call_count)
    drop_call (a, 0);
  free_news (a);
  if (a->report)
    cfs__peer__free_unpacked (a->report, NULL);
  g_clear_pointer (&a->uses, free_peer);
  cfs_net_free (a->net);
  free (a->calls);
  free (a->news);
  free (a->document);
  free (a);
}

void
cfs_control_client_report (struct cfs_control_client *a, Cfs__Peer *report)
{
  if (report->heartbeat->n_instances)
    {
      cfs_grow (&a->news, &a->news_cap, a->news_count, sizeof *a->news);
      a->news[a->news_count++] = report;
      return;
    }
  if (report->heartbeat->n_uses)
    {
      g_clear_pointer (&a->uses, free_peer);
      a->uses = report;
      a->next_at = 0;
      return;
    }
  if (a->report)
    cfs__peer__free_unpacked (a->report, NULL);
  a->report = report;
  if (is_urgent (a) || report->heartbeat->n_suspects)
    a->next_at = 0;
}

void
cfs_control_client_forward (struct cfs_control_client *a, Cfs__Peer *call,
                            int64_t now)
{
  struct call *c;

  cfs_grow (&a->calls, &a->call_cap, a->call_count, sizeof *a->calls);
  c = &a->calls[a->call_count++];
  c->peer = call;
  c->since = now;
  c->sent_at = 0;
}

void
cfs_control_client_request_tokens (struct cfs_control_client *a,
                                   const Cfs__Peer *ask)
{
  send_to_leader (a, ask);
}

/* A patch is answered only once it is in force, others at once. */
static int64_t
call_patience (const struct call *c)
{
  if (c->refused)
    return CALL_REFUSED_US;
  if (c->peer->call->kind == OPERATOR_PATCH)
    return IN_FORCE_WAIT_US + CFS_US_PER_S;
  return CALL_RETRY_US;
}

static void
tick_calls (struct cfs_control_client *a, int64_t now)
{
  for (size_t i = a->call_count; i > 0; i--)
    {
      struct call *c = &a->calls[i - 1];
      Cfs__OperatorReply late = CFS__OPERATOR_REPLY__INIT;

      if (now - c->since > OPERATOR_REQUEST_TIMEOUT_US)
        {
          late.id = c->peer->call->id;
          late.status = HTTP_UNAVAILABLE;
          late.body = (char *)"{\"detail\":\"no control leader answered\"}";
          a->ops->called (a->ctx, &late);
          drop_call (a, i - 1);
        }
      else if (c->sent_at == 0 || now - c->sent_at > call_patience (c))
        {
          if (send_to_leader (a, c->peer) == CFS_OK)
            c->sent_at = now;
          c->refused = false;
        }
    }
}

void
cfs_control_client_tick (struct cfs_control_client *a, int64_t now)
{
  if (now >= a->next_at)
    send_heartbeat (a, now);
  tick_calls (a, now);
}

void
cfs_control_client_pump (struct cfs_control_client *a)
{
  cfs_net_pump (a->net);
}
