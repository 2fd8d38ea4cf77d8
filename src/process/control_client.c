/*
 * The lease is counted from when the heartbeat that was replied to was sent,
 * by the clock of this host, so clocks of different hosts are never compared.
 * The configuration never goes back to a lower version.
 *
 * A reply that comes late is accepted.  If it were dropped, a leader that is
 * asked by all hosts at once would do its work in vain: the hosts would ask
 * again, and its replies would stay late.
 */
#include "control_client.h"

#include "../version/conf.h"
#include "control.h"
#include "control_hosts.h"
#include "forwarded_requests.h"
#include "leader.h"
#include "log.h"
#include "message_codec.h"
#include "net.h"
#include "pace.h"
#include "pending_reports.h"
#include "sent_heartbeats.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART "control_client"
#define HTTP_UNAVAILABLE 503
/* Delay before the next attempt to find the leader; doubles with each attempt
   up to the maximum. */
#define RETRY_US (25 * CFS_US_PER_MS)
#define RETRY_MAX_US (100 * CFS_US_PER_MS)
/* Time after which a heartbeat without a reply counts as lost; doubles with
   each loss up to the maximum. */
#define REPLY_TIMEOUT_US (150 * CFS_US_PER_MS)
#define REPLY_TIMEOUT_MAX_US (300 * CFS_US_PER_MS)
/* Interval between heartbeats while a target is unreachable. */
#define HEARTBEAT_SUSPECT_US (100 * CFS_US_PER_MS)
/* Heartbeats in the time of one while a failover is open, so that its end is
   known soon. */
#define FAILOVER_HEARTBEATS 3
/* After this time without a reply the loss of the control group is logged. */
#define CONTROL_LOST_US (1500 * CFS_US_PER_MS)

/**
 * struct cfs_control_client - connection to the control group
 * @reply_received: the last heartbeat was replied to
 * @reply_timeout_us: time after which it counts as lost
 * @retry_us: delay before the next attempt to find the leader, 0 if none
 * failed since the leader's last reply
 * @redirected: the last heartbeat was sent where a reply pointed to
 * @requested: the leader requested a heartbeat since the last one was sent
 * @sent: heartbeats that may still be replied to
 * @hosts: known control hosts; messages are sent to the selected one
 * @directory: log index of the newest routing data received
 * @live_hosts: number of hosts according to the leader, 0 if not known
 * @reports: what the next heartbeats tell the leader
 * @requests: operator requests without a reply so far
 */
struct cfs_control_client
{
  const struct cfs_control_client_ops *ops;
  void *ctx;
  const struct cfs_settings *settings;
  struct cfs_net *net;
  uint64_t boot_id;
  uint64_t seq;
  int64_t heartbeat_sent_at;
  int64_t next_heartbeat_at;
  struct sent_heartbeats sent;
  bool reply_received;
  int64_t reply_timeout_us;
  int64_t retry_us;
  bool redirected;
  bool requested;
  bool control_lost;
  int64_t last_reply_at;
  struct control_hosts hosts;
  uint64_t version;
  uint64_t directory;
  uint32_t live_hosts;
  char *document;
  struct pending_reports reports;
  struct forwarded_requests requests;
};

static int
send_to_leader (struct cfs_control_client *c, const Cfs__Peer *msg)
{
  const struct cfs_control_host *h = control_hosts_selected (&c->hosts);

  return cfs_net_send (c->net, h->address, h->port, msg);
}

static int64_t
heartbeat_interval (const struct cfs_control_client *c)
{
  if (pending_reports_hasty (&c->reports))
    return HEARTBEAT_URGENT_US;
  if (pending_reports_suspects (&c->reports))
    return HEARTBEAT_SUSPECT_US;
  if (pending_reports_ack_stops (&c->reports))
    return cfs_pace_heartbeat_us (c->live_hosts) / FAILOVER_HEARTBEATS;
  return c->settings->uses_seeds ? cfs_pace_heartbeat_us (c->live_hosts)
                                 : HEARTBEAT_US;
}

/* Logs once when the control group stops replying; record_reply() logs when it
   replies again. */
static void
log_control_lost (struct cfs_control_client *c, int64_t now)
{
  if (c->control_lost || now - c->last_reply_at < CONTROL_LOST_US)
    return;
  c->control_lost = true;
  cfs_log (
      CFS_WARNING, PART,
      "no reply from the control group, last tried host=%s silent_ms=%" PRId64,
      control_hosts_selected (&c->hosts)->host,
      (now - c->last_reply_at) / CFS_US_PER_MS);
}

static void
record_reply (struct cfs_control_client *c, int64_t now)
{
  if (c->control_lost)
    cfs_log (CFS_NOTICE, PART, "control group replies again, leader=%s",
             control_hosts_selected (&c->hosts)->host);
  c->control_lost = false;
  c->last_reply_at = now;
  c->retry_us = 0;
  c->redirected = false;
  c->reply_timeout_us = REPLY_TIMEOUT_US;
}

/* Delays the next heartbeat after an attempt to find the leader failed. */
static void
retry_later (struct cfs_control_client *c, int64_t now)
{
  c->retry_us = c->retry_us ? c->retry_us * 2 : RETRY_US;
  if (c->retry_us > RETRY_MAX_US)
    c->retry_us = RETRY_MAX_US;
  c->next_heartbeat_at = now + c->retry_us;
}

/* Whether a heartbeat may be sent: one without a reply at a time, so that a
   busy leader does not get more of them. */
static bool
may_send_heartbeat (const struct cfs_control_client *c, int64_t now)
{
  if (c->requested && c->reply_received && c->retry_us == 0)
    return true;
  return now >= c->next_heartbeat_at
         && (c->reply_received
             || now - c->heartbeat_sent_at >= c->reply_timeout_us);
}

static void
give_up_reply (struct cfs_control_client *c, int64_t now)
{
  log_control_lost (c, now);
  control_hosts_select_next (&c->hosts);
  c->redirected = false;
  c->reply_timeout_us *= 2;
  if (c->reply_timeout_us > REPLY_TIMEOUT_MAX_US)
    c->reply_timeout_us = REPLY_TIMEOUT_MAX_US;
}

static void
record_sent (struct cfs_control_client *c, int64_t now)
{
  struct sent_heartbeat h
      = { .seq = c->seq, .sent_at = now, .demand = c->reports.uses != NULL };

  cfs_copy (h.host, sizeof h.host, control_hosts_selected (&c->hosts)->host);
  sent_heartbeats_add (&c->sent, &h);
}

static void
send_heartbeat (struct cfs_control_client *c, int64_t now)
{
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__Heartbeat h = CFS__HEARTBEAT__INIT;

  if (!c->reply_received)
    give_up_reply (c, now);
  h.host = (char *)c->settings->host;
  h.zone = (char *)c->settings->zone;
  h.address = (char *)c->settings->address;
  h.port = c->settings->traffic_port;
  h.boot = c->boot_id;
  h.seq = ++c->seq;
  h.version = c->version;
  h.directory = c->directory;
  h.members_hash = c->hosts.members_hash;
  pending_reports_fill (&c->reports, &h);
  out.body_case = CFS__PEER__BODY_HEARTBEAT;
  out.heartbeat = &h;
  c->heartbeat_sent_at = now;
  c->requested = false;
  c->reply_received = false;
  c->next_heartbeat_at = now + heartbeat_interval (c);
  if (send_to_leader (c, &out) == CFS_OK)
    {
      record_sent (c, now);
      pending_reports_sent (&c->reports);
    }
  else
    {
      log_control_lost (c, now);
      c->reply_received = true;
      control_hosts_select_next (&c->hosts);
      c->next_heartbeat_at = now + RETRY_US;
    }
  free (h.instances);
}

/* The whole document in a reply, freed by free(), or NULL if it holds none. */
static char *
whole_document (const Cfs__HeartbeatReply *r)
{
  char *text;

  if (*r->document)
    return cfs_strdup (r->document);
  if (!r->packed_document)
    return NULL;
  text = cfs_text_inflate (r->packed_document);
  if (!text)
    cfs_log (CFS_WARNING, PART,
             "configuration version %" PRIu64 " cannot be decompressed",
             r->version);
  return text;
}

/* Updates the document to the version of the reply.  Returns whether it is at
   that version. */
static bool
apply_versions (struct cfs_control_client *c, Cfs__HeartbeatReply *r)
{
  char *document;

  if (r->version == c->version)
    return true;
  if (r->version < c->version)
    return false;
  document = whole_document (r);
  if (document)
    {
      free (c->document);
      c->document = document;
      c->version = r->version;
      return true;
    }
  for (size_t i = 0; i < r->n_versions; i++)
    {
      char *next;

      if (r->versions[i]->number != c->version + 1)
        continue;
      next = cfs_conf_patch (c->document, r->versions[i]->patch, NULL);
      if (!next)
        return false;
      free (c->document);
      c->document = next;
      c->version++;
    }
  return c->version == r->version;
}

/* On a host that serves sessions, the lease covers the configuration and any
   reply of the leader extends it.  Elsewhere it covers gates and limiters and
   must be granted. */
static int64_t
lease_end (const struct cfs_control_client *c, int64_t sent_at,
           const Cfs__HeartbeatReply *r)
{
  if (c->settings->uses_seeds)
    return sent_at + c->settings->document_lease_us;
  return r->granted ? sent_at + LEASE_US : 0;
}

/* Only the first redirect in a row is followed without a delay: the hosts may
   name each other, or a leader itself while it is not confirmed. */
static void
follow_redirect (struct cfs_control_client *c, const char *leader, int64_t now)
{
  control_hosts_select (&c->hosts, leader);
  if (c->redirected)
    retry_later (c, now);
  else
    c->next_heartbeat_at = now;
  c->redirected = true;
}

/* Handles the reply of a host that is not the leader to the last heartbeat. */
static void
handle_denial (struct cfs_control_client *c, const Cfs__HeartbeatReply *r,
               int64_t now)
{
  c->reply_received = true;
  if (*r->leader)
    {
      follow_redirect (c, r->leader, now);
      return;
    }
  control_hosts_select_next (&c->hosts);
  retry_later (c, now);
  c->redirected = false;
}

/* Whether the sender is not the leader: it names another, or none. */
static bool
is_denial (const Cfs__HeartbeatReply *r)
{
  return *r->leader || (!r->granted && r->version == 0);
}

/* The host that replies late is the leader, wherever the last heartbeat went.
   Shares that it leased are not taken over if the demand was reported again
   since, with the shares held by then. */
static void
prepare_late_reply (struct cfs_control_client *c,
                    const struct sent_heartbeat *sent, Cfs__HeartbeatReply *r)
{
  control_hosts_select (&c->hosts, sent->host);
  if (sent_heartbeats_demand_after (&c->sent, sent->seq))
    r->has_shares = false;
}

static void
accept_reply (struct cfs_control_client *c, const struct sent_heartbeat *sent,
              Cfs__HeartbeatReply *r, int64_t now)
{
  uint64_t old_version = c->version;
  char *reply_document = r->document;

  c->reply_received = true;
  if (!apply_versions (c, r))
    return;
  sent_heartbeats_accept (&c->sent, r->seq);
  record_reply (c, now);
  if (r->directory > c->directory)
    c->directory = r->directory;
  if (r->live_hosts)
    c->live_hosts = r->live_hosts;
  control_hosts_update (&c->hosts, r);
  r->lease_until_us = lease_end (c, sent->sent_at, r);
  r->document = c->version != old_version ? c->document : (char *)"";
  c->ops->heartbeat_replied (c->ctx, r);
  r->document = reply_document;
  if (c->version != old_version)
    cfs_log (CFS_INFO, PART, "configuration version %" PRIu64 " received",
             c->version);
}

/* A late reply counts only where any reply of the leader extends the lease.  A
   lease on gates must be granted to the last heartbeat, which may have
   released some. */
static void
handle_reply (struct cfs_control_client *c, Cfs__HeartbeatReply *r,
              int64_t now)
{
  const struct sent_heartbeat *sent = sent_heartbeats_find (&c->sent, r->seq);
  bool late = r->seq != c->seq;

  if (!sent || (late && !c->settings->uses_seeds))
    return;
  if (is_denial (r))
    {
      if (!late && !c->reply_received)
        handle_denial (c, r, now);
      return;
    }
  if (late)
    prepare_late_reply (c, sent, r);
  accept_reply (c, sent, r, now);
}

static void
handle_operator_reply (struct cfs_control_client *c, Cfs__OperatorReply *r)
{
  struct forwarded_request *q = forwarded_requests_find (&c->requests, r->id);

  if (!q)
    return;
  if (r->status == HTTP_UNAVAILABLE)
    {
      control_hosts_select (&c->hosts, r->body);
      q->sent_at = cfs_now ();
      q->refused = true;
      return;
    }
  c->ops->operator_replied (c->ctx, r);
  forwarded_requests_remove (&c->requests, q);
}

static void
receive (void *ctx, const struct cfs_origin *from, const Cfs__Peer *msg)
{
  struct cfs_control_client *c = ctx;

  (void)from;
  if (msg->body_case == CFS__PEER__BODY_REPLY)
    handle_reply (c, msg->reply, cfs_now ());
  else if (msg->body_case == CFS__PEER__BODY_HEARTBEAT_REQUEST)
    c->requested = true;
  else if (msg->body_case == CFS__PEER__BODY_CALLED)
    handle_operator_reply (c, msg->called);
  else if (msg->body_case == CFS__PEER__BODY_TOKENS_GRANT)
    c->ops->tokens_granted (c->ctx, msg->tokens_grant);
}

struct cfs_control_client *
cfs_control_client_new (const struct cfs_control_client_ops *ops, void *ctx,
                        const struct cfs_settings *settings, uint64_t boot_id,
                        void *zmq, struct cfs_loop *loop)
{
  struct cfs_control_client *c = cfs_alloc (sizeof *c);
  struct cfs_net_setup setup = { .zmq = zmq,
                                 .public_key = settings->curve_public,
                                 .secret_key = settings->curve_secret,
                                 .receive = receive,
                                 .ctx = c };

  c->ops = ops;
  c->ctx = ctx;
  c->settings = settings;
  c->document = cfs_strdup ("{}");
  c->boot_id = boot_id;
  c->last_reply_at = cfs_now ();
  c->reply_received = true;
  c->reply_timeout_us = REPLY_TIMEOUT_US;
  control_hosts_init (&c->hosts, settings);
  c->net = cfs_net_new (&setup, loop);
  return c;
}

void
cfs_control_client_free (struct cfs_control_client *c)
{
  if (!c)
    return;
  forwarded_requests_end (&c->requests);
  pending_reports_end (&c->reports);
  cfs_net_free (c->net);
  free (c->document);
  free (c);
}

void
cfs_control_client_report (struct cfs_control_client *c, Cfs__Peer *report)
{
  bool at_once = pending_reports_add (&c->reports, report);

  /* While the leader is being looked for, attempts are paced. */
  if (at_once && c->retry_us == 0)
    c->next_heartbeat_at = 0;
}

void
cfs_control_client_forward (struct cfs_control_client *c, Cfs__Peer *request,
                            int64_t now)
{
  forwarded_requests_add (&c->requests, request, now);
}

void
cfs_control_client_request_tokens (struct cfs_control_client *c,
                                   const Cfs__Peer *request)
{
  send_to_leader (c, request);
}

static void
tick_requests (struct cfs_control_client *c, int64_t now)
{
  for (size_t i = c->requests.count; i > 0; i--)
    {
      struct forwarded_request *q = &c->requests.at[i - 1];
      Cfs__OperatorReply timed_out = CFS__OPERATOR_REPLY__INIT;

      if (now - q->received_at > OPERATOR_REQUEST_TIMEOUT_US)
        {
          timed_out.id = q->message->call->id;
          timed_out.status = HTTP_UNAVAILABLE;
          timed_out.body
              = (char *)"{\"detail\":\"no control leader replied in time\"}";
          c->ops->operator_replied (c->ctx, &timed_out);
          forwarded_requests_remove (&c->requests, q);
        }
      else if (forwarded_request_due (q, now))
        {
          if (send_to_leader (c, q->message) == CFS_OK)
            q->sent_at = now;
          q->refused = false;
        }
    }
}

void
cfs_control_client_tick (struct cfs_control_client *c, int64_t now)
{
  if (may_send_heartbeat (c, now))
    send_heartbeat (c, now);
  tick_requests (c, now);
}

void
cfs_control_client_pump (struct cfs_control_client *c)
{
  cfs_net_pump (c->net);
}
