/*
 * What a control host shows to operators, as JSON: the audit trail and the
 * status of the group.
 */
#include "control_int.h"

#include <cjson/cJSON.h>

#define AUDIT_ENTRIES_MAX 500

char *
control_audit_json (const struct cfs_control *c)
{
  const struct cfs_state *s = &c->state;
  cJSON *list = cJSON_CreateArray ();
  size_t skip = s->version_count > AUDIT_ENTRIES_MAX
                    ? s->version_count - AUDIT_ENTRIES_MAX
                    : 0;
  char *text;

  for (size_t i = skip; i < s->version_count; i++)
    {
      const struct cfs_version *v = &s->versions[i];
      cJSON *item = cJSON_CreateObject ();

      cJSON_AddNumberToObject (item, "version", (double)v->number);
      cJSON_AddNumberToObject (item, "from", (double)v->number - 1);
      cJSON_AddNumberToObject (item, "when_ms", (double)v->when_ms);
      cJSON_AddStringToObject (item, "who", v->who);
      cJSON_AddStringToObject (item, "request_id", v->request_id);
      cJSON_AddItemToObject (item, "patch", cJSON_Parse (v->patch));
      cJSON_AddItemToArray (list, item);
    }
  text = cJSON_PrintUnformatted (list);
  cJSON_Delete (list);
  return text;
}

static void
add_members (const struct cfs_control *c, cJSON *doc)
{
  const struct cfs_raft_membership *m = cfs_raft_members (c->raft);
  cJSON *list = cJSON_AddArrayToObject (doc, "members");

  for (size_t i = 0; i < m->count; i++)
    {
      cJSON *item = cJSON_CreateObject ();

      cJSON_AddStringToObject (item, "host", m->at[i].host);
      cJSON_AddBoolToObject (item, "voter", m->at[i].voter);
      cJSON_AddItemToArray (list, item);
    }
}

static void
add_hosts (const struct cfs_control *c, cJSON *doc, int64_t now)
{
  const struct cfs_table *hosts = cfs_leader_hosts (c->leader);
  cJSON *list = cJSON_AddArrayToObject (doc, "hosts");

  for (size_t i = 0; i < hosts->count; i++)
    {
      const struct cfs_host *h = cfs_table_at (hosts, i);
      cJSON *item = cJSON_CreateObject ();

      cJSON_AddStringToObject (item, "host", h->name);
      cJSON_AddStringToObject (item, "zone", h->zone);
      cJSON_AddNumberToObject (item, "version", (double)h->version);
      cJSON_AddBoolToObject (item, "leased", now < h->lease_end);
      cJSON_AddBoolToObject (item, "draining", h->draining);
      cJSON_AddItemToArray (list, item);
    }
}

static void
add_groups (const struct cfs_control *c, cJSON *doc)
{
  cJSON *leases = cJSON_AddArrayToObject (doc, "leases");
  cJSON *groups = cJSON_AddArrayToObject (doc, "groups");

  for (size_t i = 0; i < c->state.leases.count; i++)
    {
      const struct cfs_lease *l = cfs_table_at (&c->state.leases, i);
      cJSON *item = cJSON_CreateObject ();

      cJSON_AddStringToObject (item, "resource", l->resource);
      cJSON_AddStringToObject (item, "host", l->holder);
      cJSON_AddNumberToObject (item, "epoch", (double)l->epoch);
      cJSON_AddItemToArray (leases, item);
    }
  for (size_t i = 0; i < c->state.groups.count; i++)
    {
      const struct cfs_group *g = cfs_table_at (&c->state.groups, i);
      cJSON *item = cJSON_CreateObject ();

      cJSON_AddStringToObject (item, "group", g->name);
      cJSON_AddNumberToObject (item, "term", (double)g->term);
      cJSON_AddStringToObject (item, "primary", g->primary);
      cJSON_AddItemToArray (groups, item);
    }
}

char *
control_status_json (const struct cfs_control *c, int64_t now)
{
  cJSON *doc = cJSON_CreateObject ();
  char *text;

  cJSON_AddStringToObject (doc, "leader", c->settings->host);
  cJSON_AddNumberToObject (doc, "term", (double)cfs_raft_term (c->raft));
  cJSON_AddNumberToObject (doc, "version", (double)c->state.version);
  cJSON_AddBoolToObject (
      doc, "in_force", cfs_leader_in_force (c->leader, c->state.version, now));
  add_members (c, doc);
  add_hosts (c, doc, now);
  add_groups (c, doc);
  text = cJSON_PrintUnformatted (doc);
  cJSON_Delete (doc);
  return text;
}
