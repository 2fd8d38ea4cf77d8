/*
 * Preconditions of a command are checked when it is applied, not when it is
 * proposed: commands of two operators or of two successive leaders may race,
 * and only the log order decides which of them came first.
 */
#include "state.h"

#include "../version/conf.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HTTP_OK 200
#define HTTP_PRECONDITION 412
#define HTTP_UNPROCESSABLE 422

static void
free_version (struct cfs_version *v)
{
  free (v->patch);
  free (v->who);
  free (v->request_id);
}

static void
free_result (struct cfs_patch_result *r)
{
  free (r->request_id);
  free (r->message);
}

static void
add_version (struct cfs_state *s, uint64_t number, uint64_t when_ms,
             const char *patch, const char *who, const char *request_id)
{
  struct cfs_version *v;

  if (s->version_count == STATE_VERSIONS_MAX)
    {
      free_version (&s->versions[0]);
      s->version_count--;
      memmove (s->versions, s->versions + 1,
               s->version_count * sizeof *s->versions);
    }
  cfs_grow (&s->versions, &s->version_cap, s->version_count,
            sizeof *s->versions);
  v = &s->versions[s->version_count++];
  v->number = number;
  v->when_ms = when_ms;
  v->patch = cfs_strdup (patch);
  v->who = cfs_strdup (who);
  v->request_id = cfs_strdup (request_id);
}

static void
add_result (struct cfs_state *s, const char *request_id, uint32_t status,
            uint64_t version, const char *message)
{
  struct cfs_patch_result *r;

  if (s->result_count == STATE_RESULTS_MAX)
    {
      free_result (&s->results[0]);
      s->result_count--;
      memmove (s->results, s->results + 1,
               s->result_count * sizeof *s->results);
    }
  cfs_grow (&s->results, &s->result_cap, s->result_count, sizeof *s->results);
  r = &s->results[s->result_count++];
  r->request_id = cfs_strdup (request_id);
  r->status = status;
  r->version = version;
  r->message = cfs_strdup (message);
}

static void
apply_patch (struct cfs_state *s, const Cfs__Patch *p)
{
  GError *error = NULL;
  char *document;

  if (cfs_state_find_result (s, p->request_id))
    return;
  if (p->base_version != s->version)
    {
      add_result (s, p->request_id, HTTP_PRECONDITION, s->version,
                  "the version is stale");
      return;
    }
  document = cfs_conf_patch (s->document, p->patch, &error);
  if (!document)
    {
      add_result (s, p->request_id, HTTP_UNPROCESSABLE, s->version,
                  error->message);
      g_error_free (error);
      return;
    }
  free (s->document);
  s->document = document;
  s->version++;
  add_version (s, s->version, p->when_ms, p->patch, p->who, p->request_id);
  add_result (s, p->request_id, HTTP_OK, s->version, "");
}

void
cfs_lease_from_message (struct cfs_lease *l, const Cfs__Assignment *a)
{
  cfs_copy (l->holder, sizeof l->holder, a->holder);
  cfs_copy (l->address, sizeof l->address, a->address);
  l->port = a->port;
  l->boot = a->boot;
  l->epoch = a->epoch;
  l->changed = a->changed;
}

/* Compare-and-set: an assignment takes effect only if its epoch is the
   successor of the lease's current one. */
static void
apply_assignments (struct cfs_state *s, const Cfs__AssignBatch *batch,
                   uint64_t index)
{
  for (size_t i = 0; i < batch->n_assignment; i++)
    {
      const Cfs__Assignment *a = batch->assignment[i];
      struct cfs_lease *l = cfs_table_add (&s->leases, a->resource);

      if (a->epoch != l->epoch + 1)
        continue;
      cfs_lease_from_message (l, a);
      l->changed = index;
      s->directory_index = index;
    }
}

static void
apply_term_grant (struct cfs_state *s, const Cfs__TermGrant *g, uint64_t index)
{
  struct cfs_group *group = cfs_table_find (&s->groups, g->group);
  char resource[CFS_NAME_MAX];
  const struct cfs_lease *lease;

  snprintf (resource, sizeof resource, GATE_PREFIX "%.48s", g->group);
  lease = cfs_table_find (&s->leases, resource);
  if (!group || !lease || lease->epoch != g->epoch)
    return;
  if (g->term <= group->term || g->term <= group->granted_term)
    return;
  group->granted_term = g->term;
  group->granted_epoch = g->epoch;
  group->changed = index;
  s->directory_index = index;
}

/* The first term of a group is taken as its primary announced it; each later
   one must have been granted before. */
static void
apply_term_done (struct cfs_state *s, const Cfs__TermDone *d, uint64_t index)
{
  struct cfs_group *group = cfs_table_find (&s->groups, d->group);

  if (group && (d->term != group->granted_term || d->term <= group->term))
    return;
  if (!group)
    group = cfs_table_add (&s->groups, d->group);
  if (group->branch_count == STATE_BRANCHES_MAX)
    {
      group->branch_count--;
      memmove (group->branches, group->branches + 1,
               group->branch_count * sizeof group->branches[0]);
    }
  group->branches[group->branch_count].term = d->term;
  group->branches[group->branch_count].start = d->start;
  group->branch_count++;
  group->term = d->term;
  group->granted_term = d->term;
  cfs_copy (group->primary, sizeof group->primary, d->primary);
  group->changed = index;
  s->directory_index = index;
}

/* A whole document takes effect only with a higher number than the current
   version.  No patch leads to it, so the history is dropped and hosts get the
   document itself. */
static void
apply_document (struct cfs_state *s, const Cfs__Document *d)
{
  if (d->number <= s->version)
    return;
  free (s->document);
  s->document = cfs_strdup (d->body);
  s->version = d->number;
  for (size_t i = 0; i < s->version_count; i++)
    free_version (&s->versions[i]);
  s->version_count = 0;
}

static void
apply_host_record (struct cfs_state *s, const Cfs__HostRecord *h)
{
  if (*h->name && !h->gone)
    cfs_table_add (&s->hosts, h->name);
  for (size_t i = 0; h->gone && i < s->hosts.count; i++)
    if (strcmp (cfs_table_at (&s->hosts, i), h->name) == 0)
      {
        cfs_table_remove (&s->hosts, i);
        return;
      }
}

/* Targets that come back after an evacuation count as cold until they report.
 */
static void
apply_evacuation (struct cfs_state *s, const Cfs__Evacuation *order,
                  uint64_t index)
{
  if (!cfs_evacuations_apply (&s->evacuations, order, index))
    return;
  s->evacuations_index = index;
  s->directory_index = index;
  for (size_t i = 0; !order->active && i < s->targets.count; i++)
    {
      struct cfs_target *t = cfs_table_at (&s->targets, i);

      if (t->gone || strcmp (t->zone, order->zone) != 0)
        continue;
      t->returned = true;
      t->changed = index;
    }
}

void
cfs_state_init (struct cfs_state *s)
{
  memset (s, 0, sizeof *s);
  s->document = cfs_strdup ("{}");
  cfs_table_init (&s->leases, sizeof (struct cfs_lease));
  cfs_table_init (&s->groups, sizeof (struct cfs_group));
  cfs_table_init (&s->targets, sizeof (struct cfs_target));
  cfs_table_init (&s->failovers, sizeof (struct cfs_failover));
  cfs_table_init (&s->hosts, sizeof (struct cfs_host_record));
  cfs_evacuations_init (&s->evacuations);
}

void
cfs_state_end (struct cfs_state *s)
{
  for (size_t i = 0; i < s->version_count; i++)
    free_version (&s->versions[i]);
  for (size_t i = 0; i < s->result_count; i++)
    free_result (&s->results[i]);
  free (s->versions);
  free (s->results);
  free (s->document);
  cfs_table_end (&s->leases);
  cfs_table_end (&s->groups);
  cfs_table_end (&s->targets);
  cfs_table_end (&s->failovers);
  cfs_table_end (&s->hosts);
  cfs_table_end (&s->evacuations);
}

int
cfs_state_apply (struct cfs_state *s, const uint8_t *data, size_t len,
                 uint64_t index)
{
  Cfs__Command *c = cfs__command__unpack (NULL, len, data);

  if (!c)
    return CFS_BAD;
  switch (c->body_case)
    {
    case CFS__COMMAND__BODY_PATCH:
      apply_patch (s, c->patch);
      break;
    case CFS__COMMAND__BODY_ASSIGN:
      apply_assignments (s, c->assign, index);
      break;
    case CFS__COMMAND__BODY_GRANT:
      apply_term_grant (s, c->grant, index);
      break;
    case CFS__COMMAND__BODY_DONE:
      apply_term_done (s, c->done, index);
      break;
    case CFS__COMMAND__BODY_DOCUMENT:
      apply_document (s, c->document);
      break;
    case CFS__COMMAND__BODY_TARGET:
      if (cfs_targets_apply (&s->targets, c->target, index))
        s->directory_index = index;
      break;
    case CFS__COMMAND__BODY_HOST:
      apply_host_record (s, c->host);
      break;
    case CFS__COMMAND__BODY_TURN:
      if (cfs_failovers_apply (&s->failovers, c->turn, index))
        s->directory_index = index;
      break;
    case CFS__COMMAND__BODY_EVACUATION:
      apply_evacuation (s, c->evacuation, index);
      break;
    default:
      break;
    }
  cfs__command__free_unpacked (c, NULL);
  return CFS_OK;
}

const struct cfs_patch_result *
cfs_state_find_result (const struct cfs_state *s, const char *request_id)
{
  for (size_t i = s->result_count; i > 0; i--)
    if (strcmp (s->results[i - 1].request_id, request_id) == 0)
      return &s->results[i - 1];
  return NULL;
}

void
cfs_lease_to_message (const struct cfs_lease *l, Cfs__Assignment *a)
{
  cfs__assignment__init (a);
  a->resource = (char *)l->resource;
  a->holder = (char *)l->holder;
  a->address = (char *)l->address;
  a->port = l->port;
  a->boot = l->boot;
  a->epoch = l->epoch;
  a->changed = l->changed;
}

void
cfs_group_to_message (const struct cfs_group *g, Cfs__Group *out,
                      Cfs__Branch *branches, Cfs__Branch **list)
{
  cfs__group__init (out);
  out->name = (char *)g->name;
  out->primary = (char *)g->primary;
  out->term = g->term;
  out->granted_term = g->granted_term;
  out->granted_epoch = g->granted_epoch;
  out->changed = g->changed;
  for (size_t i = 0; i < g->branch_count; i++)
    {
      cfs__branch__init (&branches[i]);
      branches[i].term = g->branches[i].term;
      branches[i].start = g->branches[i].start;
      list[i] = &branches[i];
    }
  out->branch = list;
  out->n_branch = g->branch_count;
}

void
cfs_group_from_message (struct cfs_group *g, const Cfs__Group *in)
{
  size_t skip = 0;

  cfs_copy (g->primary, sizeof g->primary, in->primary);
  g->term = in->term;
  g->granted_term = in->granted_term;
  g->granted_epoch = in->granted_epoch;
  g->changed = in->changed;
  if (in->n_branch > STATE_BRANCHES_MAX)
    skip = in->n_branch - STATE_BRANCHES_MAX;
  g->branch_count = in->n_branch - skip;
  for (size_t i = 0; i < g->branch_count; i++)
    {
      g->branches[i].term = in->branch[i + skip]->term;
      g->branches[i].start = in->branch[i + skip]->start;
    }
}

/* Messages that a Cfs__Snapshot refers to while it is packed. */
struct snapshot_buffers
{
  Cfs__Version *versions;
  Cfs__Version **version_list;
  Cfs__PatchResult *results;
  Cfs__PatchResult **result_list;
  Cfs__Assignment *leases;
  Cfs__Assignment **lease_list;
  Cfs__Group *groups;
  Cfs__Group **group_list;
  Cfs__Branch *branches;
  Cfs__Branch **branch_list;
  Cfs__Target *targets;
  Cfs__Target **target_list;
  Cfs__Turn *turns;
  Cfs__Turn **turn_list;
  char **hosts;
  Cfs__Evacuation evacuations[EVACUATIONS_MAX];
  Cfs__Evacuation *evacuation_list[EVACUATIONS_MAX];
};

static void
alloc_buffers (struct snapshot_buffers *b, const struct cfs_state *s)
{
  size_t branches = s->groups.count * STATE_BRANCHES_MAX;

  b->versions = cfs_alloc (s->version_count * sizeof *b->versions);
  b->version_list = cfs_alloc (s->version_count * sizeof (void *));
  b->results = cfs_alloc (s->result_count * sizeof *b->results);
  b->result_list = cfs_alloc (s->result_count * sizeof (void *));
  b->leases = cfs_alloc (s->leases.count * sizeof *b->leases);
  b->lease_list = cfs_alloc (s->leases.count * sizeof (void *));
  b->groups = cfs_alloc (s->groups.count * sizeof *b->groups);
  b->group_list = cfs_alloc (s->groups.count * sizeof (void *));
  b->branches = cfs_alloc (branches * sizeof *b->branches);
  b->branch_list = cfs_alloc (branches * sizeof (void *));
  b->targets = cfs_alloc (s->targets.count * sizeof *b->targets);
  b->target_list = cfs_alloc (s->targets.count * sizeof (void *));
  b->turns = cfs_alloc (s->failovers.count * sizeof *b->turns);
  b->turn_list = cfs_alloc (s->failovers.count * sizeof (void *));
  b->hosts = cfs_alloc (s->hosts.count * sizeof (void *));
}

static void
free_buffers (struct snapshot_buffers *b)
{
  free (b->versions);
  free (b->version_list);
  free (b->results);
  free (b->result_list);
  free (b->leases);
  free (b->lease_list);
  free (b->groups);
  free (b->group_list);
  free (b->branches);
  free (b->branch_list);
  free (b->targets);
  free (b->target_list);
  free (b->turns);
  free (b->turn_list);
  free (b->hosts);
}

static void
pack_history (struct snapshot_buffers *b, const struct cfs_state *s)
{
  for (size_t i = 0; i < s->version_count; i++)
    {
      Cfs__Version *v = &b->versions[i];

      cfs_version_to_message (&s->versions[i], v);
      b->version_list[i] = v;
    }
  for (size_t i = 0; i < s->result_count; i++)
    {
      Cfs__PatchResult *r = &b->results[i];

      cfs__patch_result__init (r);
      r->request_id = s->results[i].request_id;
      r->status = s->results[i].status;
      r->version = s->results[i].version;
      r->message = s->results[i].message;
      b->result_list[i] = r;
    }
}

static void
pack_directory (struct snapshot_buffers *b, const struct cfs_state *s)
{
  for (size_t i = 0; i < s->leases.count; i++)
    {
      cfs_lease_to_message (cfs_table_at (&s->leases, i), &b->leases[i]);
      b->lease_list[i] = &b->leases[i];
    }
  for (size_t i = 0; i < s->groups.count; i++)
    {
      cfs_group_to_message (cfs_table_at (&s->groups, i), &b->groups[i],
                            b->branches + i * STATE_BRANCHES_MAX,
                            b->branch_list + i * STATE_BRANCHES_MAX);
      b->group_list[i] = &b->groups[i];
    }
  for (size_t i = 0; i < s->targets.count; i++)
    {
      cfs_target_to_message (cfs_table_at (&s->targets, i), &b->targets[i]);
      b->target_list[i] = &b->targets[i];
    }
  for (size_t i = 0; i < s->failovers.count; i++)
    {
      cfs_failover_to_message (cfs_table_at (&s->failovers, i), &b->turns[i]);
      b->turn_list[i] = &b->turns[i];
    }
  for (size_t i = 0; i < s->hosts.count; i++)
    b->hosts[i] = cfs_table_at (&s->hosts, i);
  for (size_t i = 0; i < s->evacuations.count; i++)
    {
      cfs_evacuation_to_message (cfs_table_at (&s->evacuations, i),
                                 &b->evacuations[i], 0);
      b->evacuation_list[i] = &b->evacuations[i];
    }
}

void
cfs_version_to_message (const struct cfs_version *v, Cfs__Version *out)
{
  cfs__version__init (out);
  out->number = v->number;
  out->patch = v->patch;
  out->who = v->who;
  out->when_ms = v->when_ms;
  out->request_id = v->request_id;
}

size_t
cfs_state_serialize (const struct cfs_state *s, uint8_t **data)
{
  Cfs__Snapshot m = CFS__SNAPSHOT__INIT;
  struct snapshot_buffers b;
  size_t len;

  alloc_buffers (&b, s);
  pack_history (&b, s);
  pack_directory (&b, s);
  m.version = s->version;
  m.document = s->document;
  m.directory = s->directory_index;
  m.versions = b.version_list;
  m.n_versions = s->version_count;
  m.results = b.result_list;
  m.n_results = s->result_count;
  m.assignments = b.lease_list;
  m.n_assignments = s->leases.count;
  m.groups = b.group_list;
  m.n_groups = s->groups.count;
  m.targets = b.target_list;
  m.n_targets = s->targets.count;
  m.turns = b.turn_list;
  m.n_turns = s->failovers.count;
  m.hosts = b.hosts;
  m.n_hosts = s->hosts.count;
  m.evacuations = b.evacuation_list;
  m.n_evacuations = s->evacuations.count;
  m.evacuations_changed = s->evacuations_index;
  len = cfs__snapshot__get_packed_size (&m);
  *data = cfs_alloc (len);
  cfs__snapshot__pack (&m, *data);
  free_buffers (&b);
  return len;
}

int
cfs_state_restore (struct cfs_state *s, const uint8_t *data, size_t len)
{
  Cfs__Snapshot *m = cfs__snapshot__unpack (NULL, len, data);

  if (!m)
    return CFS_CORRUPT;
  cfs_state_end (s);
  cfs_state_init (s);
  free (s->document);
  s->document = cfs_strdup (m->document);
  s->version = m->version;
  s->directory_index = m->directory;
  for (size_t i = 0; i < m->n_versions; i++)
    add_version (s, m->versions[i]->number, m->versions[i]->when_ms,
                 m->versions[i]->patch, m->versions[i]->who,
                 m->versions[i]->request_id);
  for (size_t i = 0; i < m->n_results; i++)
    add_result (s, m->results[i]->request_id, m->results[i]->status,
                m->results[i]->version, m->results[i]->message);
  for (size_t i = 0; i < m->n_assignments; i++)
    cfs_lease_from_message (
        cfs_table_add (&s->leases, m->assignments[i]->resource),
        m->assignments[i]);
  for (size_t i = 0; i < m->n_groups; i++)
    cfs_group_from_message (cfs_table_add (&s->groups, m->groups[i]->name),
                            m->groups[i]);
  for (size_t i = 0; i < m->n_targets; i++)
    cfs_target_from_message (cfs_table_add (&s->targets, m->targets[i]->id),
                             m->targets[i]);
  for (size_t i = 0; i < m->n_turns; i++)
    cfs_failover_from_message (
        cfs_table_add (&s->failovers, m->turns[i]->service), m->turns[i]);
  for (size_t i = 0; i < m->n_hosts; i++)
    cfs_table_add (&s->hosts, m->hosts[i]);
  cfs_evacuations_replace (&s->evacuations, m->evacuations, m->n_evacuations,
                           0);
  s->evacuations_index = m->evacuations_changed;
  cfs__snapshot__free_unpacked (m, NULL);
  return CFS_OK;
}
