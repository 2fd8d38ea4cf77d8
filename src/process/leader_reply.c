/*
 * Builds the reply to a heartbeat from what changed since the host's own
 * marks, so that a reply in steady state carries nothing but the lease.
 */
#include "leader_int.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Room for @need rows and as many pointers to them. */
static void
reserve (void *rows, void *list, size_t *cap, size_t need, size_t size)
{
  void **r = rows;
  void **p = list;

  if (need <= *cap)
    return;
  free (*r);
  free (*p);
  *cap = need * 2;
  *r = cfs_alloc (*cap * size);
  *p = cfs_alloc (*cap * sizeof (void *));
}

/* Patches since the host's version, or the document when they are gone. */
void
leader_reply_conf (struct cfs_leader *l, uint64_t have)
{
  const struct cfs_state *s = l->state;
  struct reply_buffers *rows = &l->rows;
  uint64_t need = s->version > have ? s->version - have : 0;

  rows->msg.version = s->version;
  if (have > 0 && need <= s->version_count)
    {
      reserve (&rows->versions, &rows->version_list, &rows->version_cap,
               (size_t)need, sizeof *rows->versions);
      for (size_t i = 0; i < need; i++)
        {
          const struct cfs_version *v
              = &s->versions[s->version_count - need + i];

          cfs_version_message (v, &rows->versions[i]);
          rows->version_list[i] = &rows->versions[i];
        }
      rows->msg.versions = rows->version_list;
      rows->msg.n_versions = (size_t)need;
    }
  else if (need)
    rows->msg.document = s->document;
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
  struct reply_buffers *rows = &l->rows;

  reserve (&rows->instances, &rows->instance_list, &rows->instance_cap,
           l->instances.count, sizeof *rows->instances);
  for (size_t i = 0; i < l->instances.count; i++)
    {
      const struct cfs_instance *row = cfs_table_at (&l->instances, i);
      Cfs__Instance *out = &rows->instances[rows->msg.n_instances];

      if (!holds_gate (l, row->group, host))
        continue;
      cfs__instance__init (out);
      out->name = (char *)row->name;
      out->group = (char *)row->group;
      out->zone = (char *)row->zone;
      out->address = (char *)row->address;
      out->port = row->port;
      out->slots = row->slots;
      out->connections = row->connections;
      out->term = row->term;
      out->position = row->position;
      out->primary = row->primary;
      out->leaving = row->leaving;
      rows->instance_list[rows->msg.n_instances++] = out;
    }
  rows->msg.instances = rows->instance_list;
}

void
leader_reply_directory (struct cfs_leader *l, const Cfs__Heartbeat *in)
{
  const struct cfs_state *s = l->state;
  struct reply_buffers *rows = &l->rows;

  rows->msg.directory = s->directory;
  if (in->directory >= s->directory)
    return;
  reserve (&rows->leases, &rows->lease_list, &rows->lease_cap, s->leases.count,
           sizeof *rows->leases);
  for (size_t i = 0; i < s->leases.count; i++)
    {
      const struct cfs_lease *lease = cfs_table_at (&s->leases, i);

      if (lease->changed <= in->directory)
        continue;
      cfs_lease_message (lease, &rows->leases[rows->msg.n_assignments]);
      rows->lease_list[rows->msg.n_assignments]
          = &rows->leases[rows->msg.n_assignments];
      rows->msg.n_assignments++;
    }
  if (s->groups.count > rows->group_cap)
    {
      free (rows->branches);
      free (rows->branch_list);
      rows->branches = cfs_alloc (s->groups.count * 2 * STATE_BRANCHES_MAX
                                  * sizeof *rows->branches);
      rows->branch_list = cfs_alloc (s->groups.count * 2 * STATE_BRANCHES_MAX
                                     * sizeof (void *));
    }
  reserve (&rows->groups, &rows->group_list, &rows->group_cap, s->groups.count,
           sizeof *rows->groups);
  for (size_t i = 0; i < s->groups.count; i++)
    {
      const struct cfs_group *g = cfs_table_at (&s->groups, i);
      size_t n = rows->msg.n_groups;

      if (g->changed <= in->directory)
        continue;
      cfs_group_message (g, &rows->groups[n],
                         rows->branches + n * STATE_BRANCHES_MAX,
                         rows->branch_list + n * STATE_BRANCHES_MAX);
      rows->group_list[n] = &rows->groups[n];
      rows->msg.n_groups++;
    }
  rows->msg.assignments = rows->lease_list;
  rows->msg.groups = rows->group_list;
  reply_instances (l, in->host);
}

static void
reply_targets (struct cfs_leader *l, uint64_t have)
{
  const struct cfs_state *s = l->state;
  struct reply_buffers *rows = &l->rows;

  reserve (&rows->targets, &rows->target_list, &rows->target_cap,
           s->targets.count, sizeof *rows->targets);
  for (size_t i = 0; i < s->targets.count; i++)
    {
      const struct cfs_target *t = cfs_table_at (&s->targets, i);
      size_t n = rows->msg.n_targets;

      if (t->changed <= have)
        continue;
      cfs_target_to_message (t, &rows->targets[n]);
      rows->target_list[n] = &rows->targets[n];
      rows->msg.n_targets++;
    }
  rows->msg.targets = rows->target_list;
}

static void
reply_turns (struct cfs_leader *l, uint64_t have)
{
  const struct cfs_state *s = l->state;
  struct reply_buffers *rows = &l->rows;

  reserve (&rows->turns, &rows->turn_list, &rows->turn_cap, s->turns.count,
           sizeof *rows->turns);
  for (size_t i = 0; i < s->turns.count; i++)
    {
      const struct cfs_failover *t = cfs_table_at (&s->turns, i);
      size_t n = rows->msg.n_turns;

      if (t->changed <= have)
        continue;
      cfs_failover_to_message (t, &rows->turns[n]);
      rows->turn_list[n] = &rows->turns[n];
      rows->msg.n_turns++;
    }
  rows->msg.turns = rows->turn_list;
}

static void
reply_shares (struct cfs_leader *l, const Cfs__Heartbeat *in, int64_t now)
{
  struct reply_buffers *rows = &l->rows;
  const struct cfs_catalog *c = l->catalog;

  if (!c || !in->n_uses || !cfs_table_find (&l->state->hosts, in->host))
    return;
  reserve (&rows->shares, &rows->share_list, &rows->share_cap, c->team_count,
           sizeof *rows->shares);
  rows->msg.has_shares = true;
  for (size_t i = 0; i < in->n_uses; i++)
    {
      const Cfs__TeamUse *use = in->uses[i];
      const struct cfs_team_limits *team = cfs_catalog_team (c, use->team);
      size_t n = rows->msg.n_shares;

      if (!team || n >= c->team_count)
        continue;
      cfs__team_share__init (&rows->shares[n]);
      rows->shares[n].team = (char *)team->name;
      rows->shares[n].share = cfs_shares_assign (
          &l->shares, team->name, team->rate, team->burst, in->host,
          use->demand, use->share, now, now + l->share_wait_us);
      rows->shares[n].known = cfs_shares_is_accurate (&l->shares, now);
      rows->share_list[n] = &rows->shares[n];
      rows->msg.n_shares++;
    }
  rows->msg.shares = rows->share_list;
}

const Cfs__TokensGrant *
cfs_leader_tokens (struct cfs_leader *l, const Cfs__TokensAsk *ask,
                   int64_t now)
{
  struct reply_buffers *rows = &l->rows;

  cfs__tokens_grant__init (&rows->tokens);
  rows->tokens.sent_at_us = ask->sent_at_us;
  reserve (&rows->teams, &rows->team_list, &rows->team_cap, ask->n_teams,
           sizeof *rows->teams);
  for (size_t i = 0; i < ask->n_teams; i++)
    {
      const Cfs__TeamTokens *in = ask->teams[i];
      const struct cfs_team_limits *team
          = l->catalog ? cfs_catalog_team (l->catalog, in->team) : NULL;
      Cfs__TeamTokens *out = &rows->teams[i];

      cfs__team_tokens__init (out);
      out->team = in->team;
      out->asked = in->count;
      out->known = cfs_shares_is_accurate (&l->shares, now);
      if (team)
        out->count = cfs_shares_grant (&l->shares, team->name, team->rate,
                                       team->burst, in->count, now);
      rows->team_list[i] = out;
    }
  rows->tokens.teams = rows->team_list;
  rows->tokens.n_teams = ask->n_teams;
  return &rows->tokens;
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
  struct reply_buffers *rows = &l->rows;

  rows->msg.members_hash = leader_members_hash (&l->members);
  if (rows->msg.members_hash == have)
    return;
  for (size_t i = 0; i < l->members.count; i++)
    rows->members[i] = l->members.at[i].host;
  rows->msg.members = rows->members;
  rows->msg.n_members = l->members.count;
}

void
leader_reply_fleet (struct cfs_leader *l, const Cfs__Heartbeat *in,
                    int64_t now)
{
  if (!l->edge)
    return;
  reply_targets (l, in->directory);
  reply_turns (l, in->directory);
  reply_shares (l, in, now);
  reply_members (l, in->members_hash);
  cfs_shares_extend (&l->shares, in->host, now + l->share_wait_us);
}

void
leader_reply_end (struct cfs_leader *l)
{
  free (l->rows.targets);
  free (l->rows.target_list);
  free (l->rows.turns);
  free (l->rows.turn_list);
  free (l->rows.shares);
  free (l->rows.share_list);
  free (l->rows.teams);
  free (l->rows.team_list);
}
