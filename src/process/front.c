/*
 * One event loop serves callers, connections to targets, readiness checks and
 * the channel to the control thread, so none of them needs a lock.
 *
 * On a planned stop the host is not ready from the start, but goes on serving
 * until load balancers have noticed.  Then idle sessions are closed and new
 * ones refused; transactions still open after half of the stop time are rolled
 * back.  Statements that still wait at the end are answered.
 */
#include "front.h"

#include "../../platform/callers.h"
#include "../../platform/document.h"
#include "../../platform/instances.h"
#include "../../platform/readiness.h"
#include "log.h"
#include "leader.h"
#include "pace.h"
#include "thread_channel.h"
#include "shares.h"
#include "traffic.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART "front"
#define TICK_US (4 * CFS_US_PER_MS)
/* Difference in rate allowed for between the clocks of two hosts. */
#define CLOCK_DRIFT_PERCENT 5
/* Maximum number of teams in one request for tokens. */
#define TOKEN_REQUEST_TEAMS_MAX 64
/* Start of the stages of a planned stop, as fractions of the stop time: close
   idle sessions, refuse new sessions, roll back open transactions. */
#define CLOSE_IDLE_FRACTION 0.17
#define REFUSE_NEW_FRACTION 0.42
#define ROLLBACK_FRACTION 0.5
/* Idle time after which a session is closed, until new sessions are refused;
   from then on any idle session is closed. */
#define IDLE_BEFORE_CLOSE_US (300 * CFS_US_PER_MS)
/* End of the stop time that is left for the exit of the process. */
#define EXIT_RESERVE_US (700 * CFS_US_PER_MS)
/* Time for sending the last answers to callers that are slow to read. */
#define LAST_ANSWERS_US (100 * CFS_US_PER_MS)

struct cfs_front
{
  const struct cfs_settings *settings;
  apr_pool_t *apr_pool;
  struct cfs_loop *loop;
  struct cfs_fleet fleet;
  struct cfs_quota quota;
  struct cfs_target_adapter *adapter;
  struct cfs_pool *pool;
  struct cfs_sessions *sessions;
  struct callers *callers;
  struct readiness_server *readiness;
  struct cfs_thread_channel *channel;
  int64_t demand_sent_at;
  unsigned demand_reports;
  uint64_t suspects_hash;
  uint64_t ack_stops_hash;
  bool draining;
  bool was_ready;
};

static bool
is_ready (void *ctx)
{
  const struct cfs_front *f = ctx;

  return !f->draining && cfs_fleet_has_lease (&f->fleet, cfs_now ());
}

static void
metrics (void *ctx, GString *out)
{
  const struct cfs_front *f = ctx;

  g_string_append_printf (out,
                          "coltsfootstage_ready %d\n"
                          "coltsfootstage_version %" PRIu64 "\n"
                          "coltsfootstage_zones_evacuated %zu\n",
                          is_ready (ctx),
                          f->fleet.catalog ? f->fleet.catalog->version : 0,
                          f->fleet.evacuations.count);
  cfs_sessions_metrics (f->sessions, out);
  cfs_pool_metrics (f->pool, out);
  callers_metrics (f->callers, out);
  cfs_quota_metrics (&f->quota, out, cfs_now ());
  cfs_log_metrics (out);
}

struct cfs_front *
cfs_front_new (const struct cfs_settings *settings, void *zmq, GError **error)
{
  struct cfs_front *f = cfs_alloc (sizeof *f);
  struct cfs_budget_limits limits;
  struct cfs_sessions_setup sessions
      = { .fleet = &f->fleet, .quota = &f->quota };
  struct readiness_server_setup readiness
      = { .address = settings->ready_address,
          .max_connections = cfs_settings_http_connections (settings),
          .is_ready = is_ready,
          .metrics = metrics,
          .ctx = f };

  cfs_settings_caller_limits (settings, &limits);
  f->settings = settings;
  f->suspects_hash = 1;
  f->ack_stops_hash = 1;
  cfs_fleet_init (&f->fleet, settings, &document_decoder);
  cfs_quota_init (&f->quota, cfs_now ());
  apr_pool_create (&f->apr_pool, NULL);
  f->loop = cfs_loop_new (f->apr_pool);
  f->channel = cfs_thread_channel_new (zmq, TRAFFIC_ENDPOINT, false, f->loop);
  f->adapter = instances_adapter_new (f->loop);
  f->pool = cfs_pool_new (f->adapter, &f->fleet, cfs_now,
                          cfs_hash (settings->host, strlen (settings->host), 1)
                              | 1);
  sessions.pool = f->pool;
  f->sessions = cfs_sessions_new (&sessions);
  readiness.loop = f->loop;
  f->readiness = readiness_server_new (&readiness, error);
  if (f->readiness)
    f->callers = callers_new (f->loop, settings->session_address, &limits,
                              f->sessions, error);
  if (f->channel && f->callers)
    return f;
  cfs_front_free (f);
  return NULL;
}

void
cfs_front_free (struct cfs_front *f)
{
  if (!f)
    return;
  callers_free (f->callers);
  cfs_sessions_free (f->sessions);
  cfs_pool_free (f->pool);
  instances_adapter_free (f->adapter);
  readiness_server_free (f->readiness);
  cfs_thread_channel_free (f->channel);
  cfs_quota_end (&f->quota);
  cfs_fleet_end (&f->fleet);
  apr_pool_destroy (f->apr_pool);
  free (f);
}

/* End of the lease on shares, which is not longer than the lease on the
   configuration in the same reply. */
static int64_t
shares_until (const struct cfs_front *f, const Cfs__HeartbeatReply *r)
{
  int64_t lease = f->settings->document_lease_us;

  return r->lease_until_us
         - (lease > SHARE_LEASE_US ? lease - SHARE_LEASE_US : 0);
}

static int64_t
heartbeat_sent_at (const struct cfs_front *f, const Cfs__HeartbeatReply *r)
{
  return r->lease_until_us - f->settings->document_lease_us;
}

/* Takes the positions of the primaries from a reply.  The leader wrote it
   after this host had sent its heartbeat, so the time of the heartbeat, less
   the age of the position, is not after the leader's query. */
static void
apply_samples (struct cfs_front *f, const Cfs__HeartbeatReply *r)
{
  int64_t heartbeat_at = heartbeat_sent_at (f, r);

  for (size_t i = 0; i < r->n_samples; i++)
    {
      const Cfs__PrimarySample *s = r->samples[i];
      struct cfs_position position = { s->term, s->number };
      int64_t age_us = s->age_us + s->age_us * CLOCK_DRIFT_PERCENT / 100;

      if (s->age_us >= 0)
        cfs_sessions_add_sample (f->sessions, s->service, &position,
                                 heartbeat_at - age_us);
    }
}

/* Keeps for the next leader until when no share of a team is leased to any
   host. */
static void
apply_unshared (struct cfs_front *f, const Cfs__HeartbeatReply *r)
{
  for (size_t i = 0; i < r->n_shares; i++)
    {
      int64_t us = r->shares[i]->unshared_us;

      us -= us * CLOCK_DRIFT_PERCENT / 100;
      if (us > 0)
        cfs_quota_note_unshared (&f->quota, r->shares[i]->team,
                                 heartbeat_sent_at (f, r) + us);
    }
}

static void
lower_limits (struct cfs_front *f)
{
  size_t teams
      = cfs_quota_limits_changed (&f->quota, f->fleet.catalog, cfs_now ());

  if (teams)
    cfs_log (CFS_INFO, PART, "limits lowered for teams=%zu version=%" PRIu64,
             teams, f->fleet.catalog->version);
}

static void
apply_reply (struct cfs_front *f, const Cfs__HeartbeatReply *r)
{
  int64_t until = shares_until (f, r);

  apply_samples (f, r);
  if (cfs_fleet_update (&f->fleet, r))
    lower_limits (f);
  cfs_quota_set_pace (&f->quota, f->fleet.live_hosts);
  cfs_quota_heartbeat_replied (&f->quota, heartbeat_sent_at (f, r),
                               cfs_now ());
  apply_unshared (f, r);
  if (r->has_shares && f->fleet.catalog)
    cfs_quota_update (&f->quota, r->shares, r->n_shares, f->fleet.catalog,
                      until, cfs_now ());
  else
    cfs_quota_renew (&f->quota, until, cfs_now ());
}

static void
apply_token_grant (struct cfs_front *f, const Cfs__TokensGrant *g)
{
  cfs_quota_request_replied (&f->quota, g->sent_at_us);
  for (size_t i = 0; i < g->n_teams; i++)
    {
      const Cfs__TeamTokens *t = g->teams[i];
      struct cfs_quota_token_reply grant = { .requested = t->asked,
                                             .count = t->count,
                                             .authoritative = t->known,
                                             .sent_at = g->sent_at_us };

      cfs_quota_add_tokens (&f->quota, t->team, &grant);
    }
}

static void
receive_from_control (struct cfs_front *f)
{
  Cfs__Peer *msg;

  while ((msg = cfs_thread_channel_receive (f->channel)))
    {
      if (msg->body_case == CFS__PEER__BODY_REPLY)
        apply_reply (f, msg->reply);
      else if (msg->body_case == CFS__PEER__BODY_TOKENS_GRANT)
        apply_token_grant (f, msg->tokens_grant);
      cfs__peer__free_unpacked (msg, NULL);
    }
}

/* Whether any team has demand here while its share is not yet settled. */
static bool
has_unsettled_demand (const struct cfs_front *f)
{
  for (size_t i = 0; i < f->quota.teams.count; i++)
    {
      const struct cfs_quota_team *r = cfs_table_at (&f->quota.teams, i);

      if (!r->authoritative && r->span_ops > 0)
        return true;
    }
  return false;
}

/* Reports the demand for teams whose share here may have to change, and for
   one team at least, because the reply tells whether shares are settled. */
static void
send_demand (struct cfs_front *f, int64_t now)
{
  const struct cfs_catalog *c = f->fleet.catalog;
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__Heartbeat h = CFS__HEARTBEAT__INIT;
  Cfs__TeamUse *entries;
  bool full;
  uint32_t hosts = f->fleet.live_hosts;
  int64_t interval = f->quota.report_due || has_unsettled_demand (f)
                         ? cfs_pace_unsettled_demand_us (hosts)
                         : cfs_pace_demand_us (hosts);

  if (!c || c->team_count == 0 || now - f->demand_sent_at < interval)
    return;
  f->demand_sent_at = now;
  f->quota.report_due = false;
  full = cfs_pace_report_is_full (f->demand_reports++, f->settings->host);
  entries = cfs_alloc (c->team_count * sizeof *entries);
  h.uses = cfs_alloc (c->team_count * sizeof *h.uses);
  for (size_t i = 0; i < c->team_count; i++)
    {
      struct cfs_quota_team *q
          = cfs_table_add (&f->quota.teams, c->teams[i].name);

      if (!full && h.n_uses > 0 && !cfs_quota_must_report (&f->quota, q, now))
        continue;
      cfs__team_use__init (&entries[i]);
      entries[i].team = c->teams[i].name;
      entries[i].demand = cfs_quota_demand (q, now);
      entries[i].share = now < f->quota.until ? q->share : 0;
      entries[i].unshared_us = q->unshared_until ? q->unshared_until - now : 0;
      h.uses[h.n_uses++] = &entries[i];
    }
  h.idle_us = now - f->quota.used_at;
  out.body_case = CFS__PEER__BODY_HEARTBEAT;
  out.heartbeat = &h;
  cfs_thread_channel_send (f->channel, &out);
  free (h.uses);
  free (entries);
}

static void
add_suspect (void *ctx, const char *target)
{
  Cfs__Heartbeat *h = ctx;

  if (h->n_suspects < HOST_SUSPECTS_MAX)
    h->suspects[h->n_suspects++] = (char *)target;
}

/* Logs which targets have become unreachable.  Returns whether they have
   changed. */
static bool
suspects_changed (struct cfs_front *f, char *const *suspects, size_t count)
{
  uint64_t hash = 1;

  for (size_t i = 0; i < count; i++)
    {
      hash = cfs_hash (suspects[i], strlen (suspects[i]), hash);
      if (f->suspects_hash == 1)
        cfs_log (CFS_NOTICE, PART, "target=%s is unreachable", suspects[i]);
    }
  if (hash == f->suspects_hash)
    return false;
  f->suspects_hash = hash;
  return true;
}

/* Logs of which services this host passes on no acknowledgements.  Returns
   whether they have changed. */
static bool
ack_stops_changed (struct cfs_front *f, Cfs__AckStop *const *stops,
                   size_t count)
{
  uint64_t hash = 1;

  for (size_t i = 0; i < count; i++)
    {
      hash = cfs_hash (stops[i]->service, strlen (stops[i]->service), hash);
      hash = cfs_hash (&stops[i]->changed, sizeof stops[i]->changed, hash);
    }
  if (hash == f->ack_stops_hash)
    return false;
  f->ack_stops_hash = hash;
  for (size_t i = 0; i < count; i++)
    cfs_log (CFS_NOTICE, PART,
             "service=%s failover index=%" PRIu64
             " is open, passes on no acknowledgements, highest=%" PRIu64
             ".%" PRIu64,
             stops[i]->service, stops[i]->changed, stops[i]->term,
             stops[i]->number);
  return true;
}

/* Reports the unreachable targets and the services without acknowledgements to
   the control thread when they change. */
static void
send_report (struct cfs_front *f, int64_t now)
{
  char *suspects[HOST_SUSPECTS_MAX];
  Cfs__AckStop stops[ACK_STOPS_MAX];
  Cfs__AckStop *stop_list[ACK_STOPS_MAX];
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__Heartbeat h = CFS__HEARTBEAT__INIT;
  bool changed;

  h.suspects = suspects;
  h.draining = f->draining;
  cfs_pool_suspects (f->pool, now, add_suspect, &h);
  h.ack_stops = stop_list;
  h.n_ack_stops = cfs_passed_acks_stops (cfs_sessions_acks (f->sessions),
                                         &f->fleet, stops, ACK_STOPS_MAX);
  for (size_t i = 0; i < h.n_ack_stops; i++)
    stop_list[i] = &stops[i];
  changed = suspects_changed (f, suspects, h.n_suspects);
  if (!ack_stops_changed (f, stop_list, h.n_ack_stops) && !changed)
    return;
  out.body_case = CFS__PEER__BODY_HEARTBEAT;
  out.heartbeat = &h;
  cfs_thread_channel_send (f->channel, &out);
}

/* Requests tokens for the teams that have operations waiting for them. */
static void
send_token_request (struct cfs_front *f, int64_t now)
{
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__TokensAsk request = CFS__TOKENS_ASK__INIT;
  Cfs__TeamTokens entries[TOKEN_REQUEST_TEAMS_MAX];
  Cfs__TeamTokens *teams[TOKEN_REQUEST_TEAMS_MAX];
  struct cfs_quota_need needs[TOKEN_REQUEST_TEAMS_MAX];

  request.n_teams = cfs_quota_start_request (&f->quota, needs,
                                             TOKEN_REQUEST_TEAMS_MAX, now);
  if (!request.n_teams)
    return;
  for (size_t i = 0; i < request.n_teams; i++)
    {
      cfs__team_tokens__init (&entries[i]);
      entries[i].team = (char *)needs[i].team;
      entries[i].count = needs[i].count;
      entries[i].known = needs[i].used;
      entries[i].asked = needs[i].unshared;
      teams[i] = &entries[i];
    }
  request.host = (char *)f->settings->host;
  request.sent_at_us = now;
  request.teams = teams;
  out.body_case = CFS__PEER__BODY_TOKENS_ASK;
  out.tokens_ask = &request;
  cfs_thread_channel_send (f->channel, &out);
}

static void
log_readiness (struct cfs_front *f)
{
  bool now_ready = is_ready (f);

  if (now_ready == f->was_ready)
    return;
  f->was_ready = now_ready;
  cfs_log (CFS_NOTICE, PART, "ready=%d draining=%d version=%" PRIu64,
           now_ready, f->draining,
           f->fleet.catalog ? f->fleet.catalog->version : 0);
}

static void
run_once (struct cfs_front *f)
{
  int64_t now;

  readiness_server_pump (f->readiness);
  receive_from_control (f);
  cfs_loop_poll (f->loop, TICK_US);
  receive_from_control (f);
  now = cfs_now ();
  cfs_pool_tick (f->pool, now);
  cfs_sessions_tick (f->sessions, now);
  callers_tick (f->callers, now);
  send_demand (f, now);
  send_token_request (f, now);
  send_report (f, now);
  log_readiness (f);
}

/* One step of a planned stop.  Returns whether the stop is complete. */
static bool
drain_step (struct cfs_front *f, double elapsed_fraction)
{
  run_once (f);
  if (elapsed_fraction > REFUSE_NEW_FRACTION)
    cfs_sessions_stop_accepting (f->sessions);
  if (elapsed_fraction > CLOSE_IDLE_FRACTION)
    cfs_sessions_drain (
        f->sessions,
        elapsed_fraction > REFUSE_NEW_FRACTION ? 0 : IDLE_BEFORE_CLOSE_US,
        elapsed_fraction > ROLLBACK_FRACTION, cfs_now ());
  return elapsed_fraction > REFUSE_NEW_FRACTION
         && cfs_sessions_count (f->sessions) == 0;
}

static void
drain (struct cfs_front *f)
{
  int64_t stop_time = (int64_t)f->settings->stop_seconds * CFS_US_PER_S;
  int64_t started = cfs_now ();
  int64_t since = 0;
  bool done = false;

  f->draining = true;
  while (!done && since < stop_time - EXIT_RESERVE_US)
    {
      done = drain_step (f, (double)since / (double)stop_time);
      since = cfs_now () - started;
    }
}

/* Answers the statements that still wait, and closes all sessions. */
static void
end_sessions (struct cfs_front *f)
{
  int64_t now = cfs_now ();
  int64_t until = now + LAST_ANSWERS_US;

  cfs_sessions_end (f->sessions, now);
  cfs_sessions_drain (f->sessions, 0, true, now);
  while (cfs_now () < until)
    run_once (f);
}

void
cfs_front_run (struct cfs_front *f, const volatile bool *stop)
{
  cfs_log (CFS_NOTICE, PART, "started: sessions on %s, readiness on %s",
           f->settings->session_address, f->settings->ready_address);
  while (!*stop)
    run_once (f);
  cfs_log (CFS_NOTICE, PART, "stopping with sessions=%zu",
           cfs_sessions_count (f->sessions));
  drain (f);
  cfs_log (CFS_NOTICE, PART, "stopped with sessions=%zu",
           cfs_sessions_count (f->sessions));
  if (cfs_sessions_count (f->sessions) > 0)
    end_sessions (f);
}
