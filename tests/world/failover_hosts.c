/*
 * Hosts that pass acknowledgements on to callers.  A host learns of failovers
 * only through the replies to its heartbeats.  A commit counts as acknowledged
 * once a host has passed its acknowledgement on, which follows some
 * milliseconds after a replica has received the commit.
 */
#include "failover_int.h"

#include "../../src/process/ack_lease.h"

#include <string.h>

#define HEARTBEAT_INTERVAL_US (300 * CFS_US_PER_MS)
#define HEARTBEAT_TIMEOUT_US CFS_US_PER_S
#define TRANSIT_MAX_MS 40
#define SLOW_TRANSIT_MAX_MS 900
#define ACK_DELAY_MAX_MS 20

static int64_t
transit_us (void)
{
  bool slow = wf_world->faults && wf_random_below (20) == 0;
  uint64_t max = slow ? SLOW_TRANSIT_MAX_MS : TRANSIT_MAX_MS;

  return (int64_t)wf_random_below (max) * CFS_US_PER_MS;
}

static int
index_of (const struct cfs_target *t)
{
  const struct instance *in = t ? wf_find_instance (t->id) : NULL;

  return in ? (int)(in - wf_world->instances) : -1;
}

/* What the leader replies to a heartbeat. */
static struct host_view
current_view (int64_t sent_at)
{
  const struct cfs_table *targets = &wf_world->state.targets;
  const struct cfs_table *failovers = &wf_world->state.failovers;
  const struct cfs_failover *f = cfs_table_find (failovers, SERVICE);
  struct host_view view = { .sent_at = sent_at };

  view.open = f && f->open;
  view.index = f ? f->changed : 0;
  view.presumed
      = index_of (cfs_targets_presumed_primary (targets, failovers, SERVICE));
  view.used = index_of (cfs_targets_primary (targets, failovers, SERVICE));
  return view;
}

/* Whether a host may pass an acknowledgement of an instance on to a caller, as
   cfs_ack_lease_valid(). */
static bool
host_may_acknowledge (const struct host *h, int instance)
{
  return !h->view.open && h->view.presumed == instance
         && wf_world->now - h->view.sent_at < ACK_LEASE_US;
}

static void
send_heartbeat (struct host *h)
{
  h->sent = (struct wf_heartbeat){ .sent_at = wf_world->now };
  if (h->view.open)
    h->sent.stopped_index = h->view.index;
  h->sent.highest = h->highest;
  h->arrives_at = wf_world->now + transit_us ();
  h->replied_at = CFS_NEVER;
  h->send_at = wf_world->now + HEARTBEAT_INTERVAL_US;
  h->waiting = true;
}

static void
receive_heartbeat (struct host *h)
{
  unsigned index = (unsigned)(h - wf_world->hosts);

  h->arrives_at = CFS_NEVER;
  h->reported = h->sent;
  h->reported_at = wf_world->now;
  if (wf_world->heartbeats.heard)
    wf_world->heartbeats.heard (wf_world->heartbeats.ctx, index, &h->reported);
  h->reply = current_view (h->sent.sent_at);
  h->replied_at = wf_world->now + transit_us ();
}

/* A host that learns of a failover tells at once where it stopped. */
static void
receive_reply (struct host *h)
{
  bool learns = h->reply.open && h->reply.index != h->view.index;

  h->waiting = false;
  h->view = h->reply;
  if (learns)
    h->send_at = wf_world->now;
}

static void
step_heartbeat (struct host *h)
{
  if (h->waiting && wf_world->now - h->sent.sent_at > HEARTBEAT_TIMEOUT_US)
    h->waiting = false;
  if (h->waiting && h->cut
      && (wf_world->now >= h->arrives_at || wf_world->now >= h->replied_at))
    h->waiting = false;
  if (h->waiting && wf_world->now >= h->arrives_at)
    receive_heartbeat (h);
  if (h->waiting && wf_world->now >= h->replied_at)
    receive_reply (h);
  if (!h->waiting && wf_world->now >= h->send_at)
    send_heartbeat (h);
}

static bool
reaches (const struct instance *in)
{
  return in->alive && !in->cut && !in->suspect;
}

bool
wf_hosts_use (const struct instance *in)
{
  if (!reaches (in))
    return false;
  for (int i = 0; i < HOSTS; i++)
    if (wf_world->hosts[i].view.used == in - wf_world->instances)
      return true;
  return false;
}

static void
pass_acknowledgement_on (struct host *h)
{
  h->ack_pending = false;
  if (!host_may_acknowledge (h, h->ack_instance))
    return;
  if (cfs_position_compare (&h->ack, &h->highest) > 0)
    h->highest = h->ack;
  if (h->ack_lost)
    wf_violate ("a commit is acknowledged that the new primary lacks");
  if (!h->ack_lost && h->ack.number > wf_world->acked_position)
    wf_world->acked_position = h->ack.number;
}

/* A primary that is cut off from a host while its acknowledgement is on its
   way may or may not reach it; here it does. */
static void
step_acknowledgement (struct host *h)
{
  const struct instance *in
      = h->view.used >= 0 ? &wf_world->instances[h->view.used] : NULL;

  if (h->ack_pending && wf_world->now >= h->ack_at)
    pass_acknowledgement_on (h);
  if (h->ack_pending || !in || !in->primary || !reaches (in)
      || in->replicated <= in->led_from)
    return;
  h->ack_pending = true;
  h->ack_lost = false;
  h->ack_instance = h->view.used;
  h->ack.term = in->log_term;
  h->ack.number = in->replicated;
  h->ack_at = wf_world->now
              + (int64_t)wf_random_below (ACK_DELAY_MAX_MS) * CFS_US_PER_MS;
}

void
wf_lose_acknowledgements (uint64_t end)
{
  for (int i = 0; i < HOSTS; i++)
    {
      struct host *h = &wf_world->hosts[i];

      h->ack_lost = h->ack_lost || h->ack.number > end;
    }
}

void
wf_start_hosts (void)
{
  for (int i = 0; i < HOSTS; i++)
    {
      struct host *h = &wf_world->hosts[i];

      h->view = current_view (wf_world->now);
      h->send_at
          = wf_world->now + (int64_t)wf_random_below (HEARTBEAT_INTERVAL_US);
    }
}

void
wf_step_hosts (void)
{
  for (int i = 0; i < HOSTS; i++)
    {
      step_heartbeat (&wf_world->hosts[i]);
      step_acknowledgement (&wf_world->hosts[i]);
    }
}

void
wf_forget_hosts (void)
{
  wf_world->leader_since = wf_world->now;
  for (int i = 0; i < HOSTS; i++)
    wf_world->hosts[i].reported_at = 0;
}

void
wf_withhold_positions (void)
{
  wf_world->positions_withheld = true;
}

bool
wf_acks_stopped (void *ctx, const char *service, uint64_t since_index,
                 int64_t since, struct cfs_position *highest)
{
  bool stopped = true;
  bool heard = false;
  int64_t opened_at = since;

  (void)ctx;
  (void)service;
  memset (highest, 0, sizeof *highest);
  if (since < wf_world->leader_since)
    since = wf_world->leader_since;
  for (int i = 0; i < HOSTS; i++)
    {
      const struct host *h = &wf_world->hosts[i];

      heard = heard || h->reported_at >= opened_at;
      if (!h->reported_at || h->reported.stopped_index < since_index)
        stopped = stopped && wf_world->now - since > ACK_LEASE_WAIT_US;
      if (h->reported_at && !wf_world->positions_withheld
          && cfs_position_compare (&h->reported.highest, highest) > 0)
        *highest = h->reported.highest;
    }
  return stopped && heard;
}
