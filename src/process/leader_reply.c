/*
 * Builds the reply to a heartbeat.  It contains only what changed since the
 * version, directory index and members hash in the heartbeat, so in steady
 * state it carries little more than the lease renewal.
 */
#include "leader_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Minimum time between two replies to a host with positions of primaries. */
#define SAMPLES_INTERVAL_US (500 * CFS_US_PER_MS)
/* Positions that were requested longer ago are not sent. */
#define SAMPLE_MAX_AGE_US CFS_US_PER_S

/* Makes room for @need items of @size bytes and as many pointers to them; the
   former contents are lost. */
static void
reserve (void *items, void *list, size_t *cap, size_t need, size_t size)
{
  void **r = items;
  void **p = list;

  if (need <= *cap)
    return;
  free (*r);
  free (*p);
  *cap = need * 2;
  *r = cfs_alloc (*cap * size);
  *p = cfs_alloc (*cap * sizeof (void *));
}

/* Adds the patches since the host's version, or the whole document if they are
   no longer kept. */
void
leader_reply_conf (struct cfs_leader *l, uint64_t have)
{
  const struct cfs_state *s = l->state;
  struct reply_buffers *b = &l->reply;
  uint64_t need = s->version > have ? s->version - have : 0;

  b->msg.version = s->version;
  if (have > 0 && need <= s->version_count)
    {
      reserve (&b->versions, &b->version_list, &b->version_cap, (size_t)need,
               sizeof *b->versions);
      for (size_t i = 0; i < need; i++)
        {
          const struct cfs_version *v
              = &s->versions[s->version_count - need + i];

          cfs_version_to_message (v, &b->versions[i]);
          b->version_list[i] = &b->versions[i];
        }
      b->msg.versions = b->version_list;
      b->msg.n_versions = (size_t)need;
    }
  else if (need && l->packed_document.data.data
           && l->conf_version == s->version)
    b->msg.packed_document = &l->packed_document;
  else if (need)
    b->msg.document = s->document;
}

static bool
holds_gate (const struct cfs_leader *l, const char *group, const char *host)
{
  char resource[CFS_NAME_MAX];
  const struct cfs_lease *lease;

  snprintf (resource, sizeof resource, GATE_PREFIX "%.48s", group);
  lease = cfs_table_find (&l->state->leases, resource);
  return lease && strcmp (lease->holder, host) == 0;
}

static void
reply_instances (struct cfs_leader *l, const char *host)
{
  struct reply_buffers *b = &l->reply;

  reserve (&b->instances, &b->instance_list, &b->instance_cap,
           l->instances.count, sizeof *b->instances);
  for (size_t i = 0; i < l->instances.count; i++)
    {
      const struct cfs_instance *instance = cfs_table_at (&l->instances, i);
      Cfs__Instance *out = &b->instances[b->msg.n_instances];

      if (!holds_gate (l, instance->group, host))
        continue;
      cfs__instance__init (out);
      out->name = (char *)instance->name;
      out->group = (char *)instance->group;
      out->zone = (char *)instance->zone;
      out->address = (char *)instance->address;
      out->port = instance->port;
      out->slots = instance->slots;
      out->connections = instance->connections;
      out->term = instance->term;
      out->position = instance->position;
      out->primary = instance->primary;
      out->leaving = instance->leaving;
      b->instance_list[b->msg.n_instances++] = out;
    }
  b->msg.instances = b->instance_list;
}

void
leader_reply_directory (struct cfs_leader *l, const Cfs__Heartbeat *in)
{
  const struct cfs_state *s = l->state;
  struct reply_buffers *b = &l->reply;

  b->msg.directory = s->directory_index;
  if (in->directory >= s->directory_index)
    return;
  reserve (&b->leases, &b->lease_list, &b->lease_cap, s->leases.count,
           sizeof *b->leases);
  for (size_t i = 0; i < s->leases.count; i++)
    {
      const struct cfs_lease *lease = cfs_table_at (&s->leases, i);

      if (lease->changed <= in->directory)
        continue;
      cfs_lease_to_message (lease, &b->leases[b->msg.n_assignments]);
      b->lease_list[b->msg.n_assignments] = &b->leases[b->msg.n_assignments];
      b->msg.n_assignments++;
    }
  if (s->groups.count > b->group_cap)
    {
      free (b->branches);
      free (b->branch_list);
      b->branches = cfs_alloc (s->groups.count * 2 * STATE_BRANCHES_MAX
                               * sizeof *b->branches);
      b->branch_list = cfs_alloc (s->groups.count * 2 * STATE_BRANCHES_MAX
                                  * sizeof (void *));
    }
  reserve (&b->groups, &b->group_list, &b->group_cap, s->groups.count,
           sizeof *b->groups);
  for (size_t i = 0; i < s->groups.count; i++)
    {
      const struct cfs_group *g = cfs_table_at (&s->groups, i);
      size_t n = b->msg.n_groups;

      if (g->changed <= in->directory)
        continue;
      cfs_group_to_message (g, &b->groups[n],
                            b->branches + n * STATE_BRANCHES_MAX,
                            b->branch_list + n * STATE_BRANCHES_MAX);
      b->group_list[n] = &b->groups[n];
      b->msg.n_groups++;
    }
  b->msg.assignments = b->lease_list;
  b->msg.groups = b->group_list;
  reply_instances (l, in->host);
}

static void
reply_targets (struct cfs_leader *l, uint64_t have)
{
  const struct cfs_state *s = l->state;
  struct reply_buffers *b = &l->reply;

  reserve (&b->targets, &b->target_list, &b->target_cap, s->targets.count,
           sizeof *b->targets);
  for (size_t i = 0; i < s->targets.count; i++)
    {
      const struct cfs_target *t = cfs_table_at (&s->targets, i);
      size_t n = b->msg.n_targets;

      if (t->changed <= have)
        continue;
      cfs_target_to_message (t, &b->targets[n]);
      b->target_list[n] = &b->targets[n];
      b->msg.n_targets++;
    }
  b->msg.targets = b->target_list;
}

static void
reply_failovers (struct cfs_leader *l, uint64_t have)
{
  const struct cfs_state *s = l->state;
  struct reply_buffers *b = &l->reply;

  reserve (&b->turns, &b->turn_list, &b->turn_cap, s->failovers.count,
           sizeof *b->turns);
  for (size_t i = 0; i < s->failovers.count; i++)
    {
      const struct cfs_failover *f = cfs_table_at (&s->failovers, i);
      size_t n = b->msg.n_turns;

      if (f->changed <= have)
        continue;
      cfs_failover_to_message (f, &b->turns[n]);
      b->turn_list[n] = &b->turns[n];
      b->msg.n_turns++;
    }
  b->msg.turns = b->turn_list;
}

/* Evacuations that this host has not tracked yet were applied just now. */
void
leader_reply_evacuations (struct cfs_leader *l, uint64_t have, int64_t now)
{
  struct reply_buffers *b = &l->reply;

  if (l->state->evacuations_index <= have)
    return;
  cfs_evacuations_track (&l->evacuations, &l->state->evacuations, now);
  for (size_t i = 0; i < l->evacuations.count; i++)
    {
      cfs_evacuation_to_message (cfs_table_at (&l->evacuations, i),
                                 &b->evacuations[i], now);
      b->evacuation_list[i] = &b->evacuations[i];
    }
  b->msg.evacuations = b->evacuation_list;
  b->msg.n_evacuations = l->evacuations.count;
  b->msg.evacuations_changed = l->state->evacuations_index;
}

static void
reply_shares (struct cfs_leader *l, const Cfs__Heartbeat *in, int64_t now)
{
  struct reply_buffers *b = &l->reply;
  const struct cfs_catalog *c = l->catalog;

  if (!c || !in->n_uses || !cfs_table_find (&l->state->hosts, in->host))
    return;
  reserve (&b->shares, &b->share_list, &b->share_cap, c->team_count,
           sizeof *b->shares);
  b->msg.has_shares = true;
  cfs_shares_start_report (&l->shares);
  for (size_t i = 0; i < in->n_uses; i++)
    {
      const Cfs__TeamUse *use = in->uses[i];
      const struct cfs_team_limits *team = cfs_catalog_team (c, use->team);
      size_t n = b->msg.n_shares;

      if (!team || n >= c->team_count)
        continue;
      cfs__team_share__init (&b->shares[n]);
      if (use->unshared_us)
        cfs_shares_note_unshared (&l->shares, team->name,
                                  now + use->unshared_us);
      b->shares[n].team = (char *)team->name;
      b->shares[n].share = cfs_shares_assign (
          &l->shares, team->name, team->rate, team->burst, in->host,
          use->demand, use->share, now, now + l->share_wait_us);
      b->shares[n].known
          = cfs_shares_is_accurate (&l->shares, team->name, now);
      b->shares[n].unshared_us
          = cfs_shares_unshared_us (&l->shares, team->name, now);
      b->share_list[n] = &b->shares[n];
      b->msg.n_shares++;
    }
  b->msg.shares = b->share_list;
  cfs_shares_end_report (&l->shares, in->host);
}

/* Grants tokens of a cold target from a bucket like that of a team.  A target
   that is not cold has none; the host has learned so, or is about to.  Tokens
   count until they expire, used or not, because the limit holds in each
   second. */
static uint32_t
grant_cold_tokens (struct cfs_leader *l, const char *host,
                   const Cfs__TeamTokens *in, int64_t now)
{
  const struct cfs_target *t
      = cfs_cold_find (&l->state->targets, l->catalog, in->team);
  struct cfs_token_request tokens = { .host = host, .count = in->count };
  struct cfs_cold_limits limits;
  uint32_t count;

  if (!t)
    return 0;
  limits = cfs_cold_limits (cfs_cold_per_s (l->catalog, t->service),
                            &l->cold_rule);
  count = cfs_shares_grant (&l->shares, in->team, limits.rate, limits.burst,
                            &tokens, now);
  l->cold_tokens += count;
  return count;
}

const Cfs__TokensGrant *
cfs_leader_grant_tokens (struct cfs_leader *l, const Cfs__TokensAsk *request,
                         int64_t now)
{
  struct reply_buffers *b = &l->reply;

  cfs__tokens_grant__init (&b->tokens);
  b->tokens.sent_at_us = request->sent_at_us;
  reserve (&b->teams, &b->team_list, &b->team_cap, request->n_teams,
           sizeof *b->teams);
  for (size_t i = 0; i < request->n_teams; i++)
    {
      const Cfs__TeamTokens *in = request->teams[i];
      const struct cfs_team_limits *team
          = l->catalog ? cfs_catalog_team (l->catalog, in->team) : NULL;
      Cfs__TeamTokens *out = &b->teams[i];
      struct cfs_token_request tokens = { .host = request->host,
                                          .count = in->count,
                                          .used = in->known,
                                          .unshared = in->asked > 0 };

      cfs__team_tokens__init (out);
      out->team = in->team;
      out->asked = in->count;
      out->known = cfs_shares_is_accurate (&l->shares, in->team, now);
      if (team)
        out->count = cfs_shares_grant (&l->shares, team->name, team->rate,
                                       team->burst, &tokens, now);
      else
        out->count = grant_cold_tokens (l, request->host, in, now);
      b->team_list[i] = out;
    }
  b->tokens.teams = b->team_list;
  b->tokens.n_teams = request->n_teams;
  return &b->tokens;
}

uint64_t
leader_members_hash (const struct cfs_raft_membership *m)
{
  uint64_t hash = 1;

  for (size_t i = 0; i < m->count; i++)
    hash = cfs_hash (m->at[i].host, strlen (m->at[i].host), hash);
  return hash | 1;
}

static void
reply_members (struct cfs_leader *l, uint64_t have)
{
  struct reply_buffers *b = &l->reply;

  b->msg.members_hash = leader_members_hash (&l->members);
  if (b->msg.members_hash == have)
    return;
  for (size_t i = 0; i < l->members.count; i++)
    b->members[i] = l->members.at[i].host;
  b->msg.members = b->members;
  b->msg.n_members = l->members.count;
}

/* Adds the positions of the primaries that are recent enough for a read with
   a stated age. */
static void
reply_samples (struct cfs_leader *l, struct cfs_host *h, int64_t now)
{
  struct reply_buffers *b = &l->reply;

  if (now - h->samples_sent_at < SAMPLES_INTERVAL_US)
    return;
  h->samples_sent_at = now;
  reserve (&b->samples, &b->sample_list, &b->sample_cap, l->samples.count,
           sizeof *b->samples);
  for (size_t i = 0; i < l->samples.count; i++)
    {
      const struct primary_sample *s = cfs_table_at (&l->samples, i);
      size_t n = b->msg.n_samples;

      if (now - s->requested_at > SAMPLE_MAX_AGE_US)
        continue;
      cfs__primary_sample__init (&b->samples[n]);
      b->samples[n].service = (char *)s->service;
      b->samples[n].term = s->position.term;
      b->samples[n].number = s->position.number;
      b->samples[n].age_us = now - s->requested_at;
      b->sample_list[n] = &b->samples[n];
      b->msg.n_samples++;
    }
  b->msg.samples = b->sample_list;
}

void
leader_reply_fleet (struct cfs_leader *l, struct cfs_host *h,
                    const Cfs__Heartbeat *in, int64_t now)
{
  if (!l->decoder)
    return;
  l->reply.msg.live_hosts = l->live_hosts;
  reply_samples (l, h, now);
  reply_targets (l, in->directory);
  reply_failovers (l, in->directory);
  reply_shares (l, in, now);
  reply_members (l, in->members_hash);
  cfs_shares_extend (&l->shares, in->host, now + l->share_wait_us);
}

void
leader_reply_end (struct cfs_leader *l)
{
  free (l->reply.targets);
  free (l->reply.target_list);
  free (l->reply.turns);
  free (l->reply.turn_list);
  free (l->reply.shares);
  free (l->reply.share_list);
  free (l->reply.samples);
  free (l->reply.sample_list);
  free (l->reply.teams);
  free (l->reply.team_list);
}
