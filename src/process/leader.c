/*
 * One lease per host covers all resources assigned to it, so renewal costs
 * one message per host and interval regardless of the number of groups.  A
 * resource is reassigned only after its holder released it or the holder's
 * lease expired.  While a reassignment is in the log but not applied, the
 * lease of the old holder is not renewed; the reply that renews it next also
 * contains the reassignment.
 */
#include "leader_int.h"

#include "message_codec.h"

#include <stdlib.h>
#include <string.h>

/* A recorded host that sent no heartbeat for this long is removed from the
   record: its shares have expired long before. */
#define SHARE_HOLDER_EXPIRY_US (20 * CFS_US_PER_S)
/* Minimum time between proposals to record a host, and between checks for
   hosts to remove. */
#define HOST_RECORD_RETRY_US (500 * CFS_US_PER_MS)

uint64_t
leader_propose (struct cfs_leader *l, const Cfs__Command *c)
{
  size_t len = cfs__command__get_packed_size (c);
  uint8_t *data = cfs_alloc (len);
  uint64_t index;

  cfs__command__pack (c, data);
  index = l->ops->propose (l->ctx, data, len);
  free (data);
  return index;
}

static void
propose_term_done (struct cfs_leader *l, const char *group, uint64_t term,
                   const char *primary, uint64_t start)
{
  Cfs__Command c = CFS__COMMAND__INIT;
  Cfs__TermDone m = CFS__TERM_DONE__INIT;

  m.group = (char *)group;
  m.term = term;
  m.primary = (char *)primary;
  m.start = start;
  c.body_case = CFS__COMMAND__BODY_DONE;
  c.done = &m;
  leader_propose (l, &c);
}

/* Takes the announced primary with the highest term as the first primary of a
   new group. */
static void
discover_groups (struct cfs_leader *l, int64_t now)
{
  for (size_t i = 0; i < l->instances.count; i++)
    {
      const struct cfs_instance *a = cfs_table_at (&l->instances, i);
      const struct cfs_instance *best = a;

      if (!a->primary || cfs_table_find (&l->state->groups, a->group)
          || now - a->first_seen < GROUP_DISCOVERY_US)
        continue;
      for (size_t j = 0; j < l->instances.count; j++)
        {
          const struct cfs_instance *b = cfs_table_at (&l->instances, j);

          if (b->primary && strcmp (a->group, b->group) == 0
              && b->term > best->term)
            best = b;
        }
      if (best == a)
        propose_term_done (l, a->group, a->term, a->name, 0);
    }
}

/* Compresses the document once for all hosts: one by one, a leader of 200
   hosts would spend most of a change of the configuration on it. */
static void
pack_document (struct cfs_leader *l)
{
  free (l->packed_document.data.data);
  l->packed_document.data.data = NULL;
  if (strlen (l->state->document) >= MESSAGE_COMPRESS_MIN_BYTES)
    cfs_text_deflate (l->state->document, &l->packed_document);
}

static void
reload_conf (struct cfs_leader *l)
{
  if (l->conf_loaded && l->conf_version == l->state->version)
    return;
  l->conf_loaded = true;
  l->conf_version = l->state->version;
  cfs_conf_free (l->conf);
  cfs_catalog_free (l->catalog);
  l->conf = NULL;
  l->catalog = NULL;
  if (!l->decoder)
    l->conf = cfs_conf_parse (l->state->document, l->state->version, NULL);
  else if (l->state->version)
    {
      l->catalog
          = l->decoder->decode (l->state->document, l->state->version, NULL);
      pack_document (l);
    }
}

static void
start_leading (struct cfs_leader *l, int64_t now)
{
  l->hosts.count = 0;
  l->releases.count = 0;
  l->samples.count = 0;
  cfs_ack_stops_clear (&l->ack_stops);
  l->assign_index = 0;
  l->grace_end = now + LEASE_WAIT_US;
  l->leader_since = now;
  cfs_shares_reset (&l->shares, now, now + l->share_wait_us);
}

/* Proposes to record a host, or with @gone to remove its record.  A host is
   recorded before it gets shares, so that every later leader knows which hosts
   may hold some. */
static void
propose_host_record (struct cfs_leader *l, const char *name, bool gone)
{
  Cfs__Command c = CFS__COMMAND__INIT;
  Cfs__HostRecord m = CFS__HOST_RECORD__INIT;

  m.name = (char *)name;
  m.gone = gone;
  c.body_case = CFS__COMMAND__BODY_HOST;
  c.host = &m;
  leader_propose (l, &c);
}

static void
ensure_host_recorded (struct cfs_leader *l, struct cfs_host *h, int64_t now)
{
  if (!l->decoder || cfs_table_find (&l->state->hosts, h->name)
      || now - h->recorded_at < HOST_RECORD_RETRY_US)
    return;
  h->recorded_at = now;
  propose_host_record (l, h->name, false);
}

/* Removes the record of a host that has been silent for too long, one at a
   time. */
static void
expire_share_holders (struct cfs_leader *l, int64_t now)
{
  const struct cfs_table *hosts = &l->state->hosts;

  if (!l->decoder || now - l->holders_checked_at < HOST_RECORD_RETRY_US)
    return;
  l->holders_checked_at = now;
  for (size_t i = 0; i < hosts->count; i++)
    {
      const struct cfs_host_record *r = cfs_table_at (hosts, i);
      const struct cfs_host *h = cfs_table_find (&l->hosts, r->name);
      int64_t seen = h ? h->seen_at : l->leader_since;

      if (now - seen > SHARE_HOLDER_EXPIRY_US)
        {
          propose_host_record (l, r->name, true);
          return;
        }
    }
}

/* Whether every recorded host has reported what it holds; then no share that
   an earlier leader granted is unknown any more. */
static bool
all_shares_reported (const struct cfs_leader *l, int64_t *idle_since)
{
  const struct cfs_table *hosts = &l->state->hosts;

  *idle_since = 0;
  for (size_t i = 0; i < hosts->count; i++)
    {
      const struct cfs_host_record *r = cfs_table_at (hosts, i);
      const struct cfs_host *h = cfs_table_find (&l->hosts, r->name);

      if (!h || !h->shares_reported)
        return false;
      if (h->idle_since > *idle_since)
        *idle_since = h->idle_since;
    }
  return hosts->count > 0;
}

/* Removes hosts and instances that were silent for long, and counts the live
   hosts.  Until all hosts have reported to a new leader, those on record
   count. */
static void
evict_expired (struct cfs_leader *l, int64_t now)
{
  l->live_hosts = 0;
  for (size_t i = l->hosts.count; i > 0; i--)
    {
      const struct cfs_host *h = cfs_table_at (&l->hosts, i - 1);

      l->live_hosts += now - h->seen_at < LEASE_WAIT_US;
      if (now - h->seen_at > HOST_EXPIRY_US)
        cfs_table_remove (&l->hosts, i - 1);
    }
  if (!l->shares.complete && l->live_hosts < l->state->hosts.count)
    l->live_hosts = (uint32_t)l->state->hosts.count;
  for (size_t i = l->instances.count; i > 0; i--)
    {
      const struct cfs_instance *in = cfs_table_at (&l->instances, i - 1);

      if (now - in->seen_at > HOST_EXPIRY_US)
        cfs_table_remove (&l->instances, i - 1);
    }
}

static void
update_instance (struct cfs_leader *l, const Cfs__Instance *in, int64_t now)
{
  struct cfs_instance *i = cfs_table_add (&l->instances, in->name);

  if (!i->seen_at)
    i->first_seen = now;
  i->seen_at = now;
  cfs_copy (i->group, sizeof i->group, in->group);
  cfs_copy (i->zone, sizeof i->zone, in->zone);
  cfs_copy (i->address, sizeof i->address, in->address);
  i->port = in->port;
  i->slots = in->slots;
  i->connections = in->connections;
  i->term = in->term;
  i->position = in->position;
  i->primary = in->primary;
  i->leaving = in->leaving;
}

static void
handle_group_report (struct cfs_leader *l, const Cfs__GroupReport *r)
{
  const struct cfs_group *g = cfs_table_find (&l->state->groups, r->group);
  Cfs__Command c = CFS__COMMAND__INIT;
  Cfs__TermGrant m = CFS__TERM_GRANT__INIT;

  if (!g)
    return;
  if (r->promoted_term && r->promoted_term == g->granted_term
      && r->promoted_term > g->term && r->epoch == g->granted_epoch)
    propose_term_done (l, r->group, r->promoted_term, r->primary, r->start);
  if (!r->want_term
      || (g->granted_term > g->term && g->granted_term > r->used_term
          && g->granted_epoch == r->epoch))
    return;
  m.group = r->group;
  m.term = (g->granted_term > g->term ? g->granted_term : g->term) + 1;
  m.epoch = r->epoch;
  c.body_case = CFS__COMMAND__BODY_GRANT;
  c.grant = &m;
  leader_propose (l, &c);
}

/* Evaluates the first report of a host after the election.  A host that holds
   no share has admitted no operation since its idle time began, and admits
   none until it gets one. */
static void
record_share_report (struct cfs_host *h, const Cfs__Heartbeat *in, int64_t now)
{
  if (in->n_uses == 0 || h->shares_reported)
    return;
  h->shares_reported = true;
  h->idle_since = now - in->idle_us;
  for (size_t i = 0; i < in->n_uses; i++)
    if (in->uses[i]->share > 0)
      h->idle_since = now;
}

static bool
holds_a_resource (const struct cfs_leader *l, const char *host)
{
  for (size_t i = 0; i < l->state->leases.count; i++)
    {
      const struct cfs_lease *lease = cfs_table_at (&l->state->leases, i);

      if (strcmp (lease->holder, host) == 0)
        return true;
    }
  return false;
}

/* A holder that reports for the first time may be one that a resource is being
   taken from: the leader did not know it when it proposed that.  Its lease may
   be one of an earlier leader. */
static void
record_unknown_holder (const struct cfs_leader *l, struct cfs_host *h)
{
  h->reassigned_index = l->assign_index;
  h->lease_end = l->grace_end;
}

static struct cfs_host *
update_host (struct cfs_leader *l, const Cfs__Heartbeat *in, int64_t now)
{
  struct cfs_host *h = cfs_table_add (&l->hosts, in->host);

  if (h->boot != in->boot)
    {
      if (h->lease_end > h->old_boot_lease_end)
        h->old_boot_lease_end = h->lease_end;
      if (l->grace_end > h->old_boot_lease_end)
        h->old_boot_lease_end = l->grace_end;
      h->lease_end = 0;
      h->boot = in->boot;
    }
  if (!h->seen_at && holds_a_resource (l, in->host))
    record_unknown_holder (l, h);
  cfs_copy (h->zone, sizeof h->zone, in->zone);
  cfs_copy (h->address, sizeof h->address, in->address);
  h->port = in->port;
  h->version = in->version;
  h->draining = in->draining;
  h->suspect_count = 0;
  for (size_t i = 0; i < in->n_suspects && i < HOST_SUSPECTS_MAX; i++)
    cfs_copy (h->suspects[h->suspect_count++], CFS_NAME_MAX, in->suspects[i]);
  record_share_report (h, in, now);
  h->seen_at = now;
  return h;
}

static void
record_releases (struct cfs_leader *l, const Cfs__Heartbeat *in)
{
  for (size_t i = 0; i < in->n_released; i++)
    {
      const Cfs__Release *r = in->released[i];
      const struct cfs_lease *lease
          = cfs_table_find (&l->state->leases, r->resource);
      struct release *entry;

      if (!lease || lease->epoch != r->epoch || lease->boot != in->boot
          || strcmp (lease->holder, in->host) != 0)
        continue;
      entry = cfs_table_add (&l->releases, r->resource);
      entry->epoch = r->epoch;
    }
}

struct cfs_leader *
cfs_leader_new (const struct cfs_leader_ops *ops, void *ctx,
                const struct cfs_state *state)
{
  struct cfs_leader *l = cfs_alloc (sizeof *l);

  l->ops = ops;
  l->ctx = ctx;
  l->state = state;
  cfs_table_init (&l->hosts, sizeof (struct cfs_host));
  cfs_table_init (&l->instances, sizeof (struct cfs_instance));
  cfs_table_init (&l->releases, sizeof (struct release));
  cfs_table_init (&l->samples, sizeof (struct primary_sample));
  cfs_evacuations_init (&l->evacuations);
  cfs_shares_init (&l->shares);
  cfs_ack_stops_init (&l->ack_stops);
  return l;
}

void
cfs_leader_free (struct cfs_leader *l)
{
  if (!l)
    return;
  cfs_conf_free (l->conf);
  cfs_table_end (&l->hosts);
  cfs_table_end (&l->instances);
  cfs_table_end (&l->releases);
  cfs_table_end (&l->samples);
  cfs_table_end (&l->evacuations);
  free (l->reply.versions);
  free (l->reply.version_list);
  free (l->reply.leases);
  free (l->reply.lease_list);
  free (l->reply.groups);
  free (l->reply.group_list);
  free (l->reply.branches);
  free (l->reply.branch_list);
  free (l->reply.instances);
  free (l->reply.instance_list);
  leader_reply_end (l);
  free (l->packed_document.data.data);
  cfs_catalog_free (l->catalog);
  cfs_shares_end (&l->shares);
  cfs_ack_stops_end (&l->ack_stops);
  free (l);
}

void
cfs_leader_tick (struct cfs_leader *l, bool confirmed, uint64_t applied,
                 int64_t now)
{
  int64_t idle_since;

  l->applied = applied;
  cfs_evacuations_track (&l->evacuations, &l->state->evacuations, now);
  if (confirmed && !l->is_leader)
    start_leading (l, now);
  l->is_leader = confirmed;
  if (!confirmed)
    return;
  reload_conf (l);
  evict_expired (l, now);
  expire_share_holders (l, now);
  if (!l->shares.complete && all_shares_reported (l, &idle_since))
    cfs_shares_end_grace (&l->shares, idle_since, now);
  discover_groups (l, now);
  leader_assign_free_resources (l, now);
}

const Cfs__HeartbeatReply *
cfs_leader_heartbeat (struct cfs_leader *l, const Cfs__Heartbeat *in,
                      int64_t now)
{
  struct cfs_host *h;

  if (!l->is_leader || !*in->host)
    return NULL;
  h = update_host (l, in, now);
  ensure_host_recorded (l, h, now);
  record_releases (l, in);
  cfs_ack_stops_record (&l->ack_stops, in->host,
                        (const Cfs__AckStop *const *)in->ack_stops,
                        in->n_ack_stops);
  for (size_t i = 0; i < in->n_instances; i++)
    update_instance (l, in->instances[i], now);
  for (size_t i = 0; i < in->n_reports; i++)
    handle_group_report (l, in->reports[i]);
  cfs__heartbeat_reply__init (&l->reply.msg);
  l->reply.msg.seq = in->seq;
  l->reply.msg.granted = h->reassigned_index <= l->applied;
  if (l->reply.msg.granted)
    h->lease_end = now + LEASE_WAIT_US;
  leader_reply_conf (l, in->version);
  leader_reply_directory (l, in);
  leader_reply_evacuations (l, in->directory, now);
  leader_reply_fleet (l, h, in, now);
  return &l->reply.msg;
}

bool
cfs_leader_in_force (const struct cfs_leader *l, uint64_t version, int64_t now)
{
  if (!l->is_leader || now < l->grace_end || l->state->version < version)
    return false;
  for (size_t i = 0; i < l->hosts.count; i++)
    {
      const struct cfs_host *h = cfs_table_at (&l->hosts, i);

      if (h->version < version && now < h->lease_end)
        return false;
    }
  return true;
}

void
cfs_leader_set_document_decoder (struct cfs_leader *l,
                                 const struct cfs_document_decoder *decoder,
                                 int64_t lease_us)
{
  l->decoder = decoder;
  l->share_wait_us
      = lease_us < SHARE_LEASE_US ? lease_us + lease_us / 20 : SHARE_EXPIRY_US;
}

void
cfs_leader_set_cold_rule (struct cfs_leader *l,
                          const struct cfs_cold_rule *rule)
{
  l->cold_rule = *rule;
}

uint64_t
cfs_leader_cold_tokens (const struct cfs_leader *l)
{
  return l->cold_tokens;
}

void
cfs_leader_set_position (struct cfs_leader *l, const char *service,
                         const struct cfs_position *position,
                         int64_t requested_at)
{
  struct primary_sample *s = cfs_table_add (&l->samples, service);

  s->position = *position;
  s->requested_at = requested_at;
}

void
cfs_leader_set_members (struct cfs_leader *l,
                        const struct cfs_raft_membership *members)
{
  l->members = *members;
}

static bool
host_suspects (const struct cfs_host *h, const char *target)
{
  for (size_t i = 0; i < h->suspect_count; i++)
    if (strcmp (h->suspects[i], target) == 0)
      return true;
  return false;
}

size_t
cfs_leader_count_suspecting_hosts (const struct cfs_leader *l,
                                   const char *target, int64_t now,
                                   size_t *hosts)
{
  size_t count = 0;

  *hosts = 0;
  for (size_t i = 0; i < l->hosts.count; i++)
    {
      const struct cfs_host *h = cfs_table_at (&l->hosts, i);

      if (now - h->seen_at >= HOST_FRESH_US)
        continue;
      (*hosts)++;
      count += host_suspects (h, target);
    }
  return count;
}

bool
cfs_leader_acks_stopped (const struct cfs_leader *l, const char *service,
                         uint64_t since_index, int64_t since, int64_t now,
                         struct cfs_position *highest)
{
  bool stopped = now - l->leader_since >= ACK_LEASE_WAIT_US;
  bool heard = false;

  memset (highest, 0, sizeof *highest);
  for (size_t i = 0; i < l->hosts.count; i++)
    {
      const struct cfs_host *h = cfs_table_at (&l->hosts, i);
      int64_t leased_at = h->seen_at < since ? h->seen_at : since;

      heard = heard || h->seen_at >= since;
      if (!cfs_ack_stops_find (&l->ack_stops, h->name, service, since_index,
                               highest)
          && now - leased_at < ACK_LEASE_WAIT_US)
        stopped = false;
    }
  return stopped && heard;
}

const struct cfs_catalog *
cfs_leader_catalog (const struct cfs_leader *l)
{
  return l->catalog;
}

const struct cfs_table *
cfs_leader_hosts (const struct cfs_leader *l)
{
  return &l->hosts;
}
