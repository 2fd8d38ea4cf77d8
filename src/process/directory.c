/*
 * An update replaces single entries of the tables.  The lease is extended
 * last, after everything else in the reply has been taken over, so that a
 * renewed lease never covers a resource that was assigned to another host.
 */
#include "directory.h"

#include <stdio.h>
#include <string.h>

void
cfs_directory_init (struct cfs_directory *d, const char *host, uint64_t boot)
{
  memset (d, 0, sizeof *d);
  cfs_copy (d->host, sizeof d->host, host);
  d->boot = boot;
  cfs_table_init (&d->leases, sizeof (struct cfs_lease));
  cfs_table_init (&d->groups, sizeof (struct cfs_group));
}

void
cfs_directory_end (struct cfs_directory *d)
{
  cfs_conf_free (d->conf);
  cfs_table_end (&d->leases);
  cfs_table_end (&d->groups);
}

static bool
update_conf (struct cfs_directory *d, const Cfs__HeartbeatReply *r)
{
  struct cfs_conf *next;

  if (d->conf && d->conf->version >= r->version)
    return false;
  if (!*r->document && r->version > 0)
    return false;
  next = cfs_conf_parse (*r->document ? r->document : "{}", r->version, NULL);
  if (!next)
    return false;
  cfs_conf_free (d->conf);
  d->conf = next;
  return true;
}

bool
cfs_directory_update (struct cfs_directory *d, const Cfs__HeartbeatReply *r)
{
  bool changed = update_conf (d, r);

  for (size_t i = 0; i < r->n_assignments; i++)
    {
      const Cfs__Assignment *a = r->assignments[i];
      struct cfs_lease *l = cfs_table_add (&d->leases, a->resource);

      cfs_lease_from_message (l, a);
    }
  for (size_t i = 0; i < r->n_groups; i++)
    cfs_group_from_message (cfs_table_add (&d->groups, r->groups[i]->name),
                            r->groups[i]);
  if (r->lease_until_us > d->lease_until)
    d->lease_until = r->lease_until_us;
  return changed;
}

bool
cfs_directory_has_lease (const struct cfs_directory *d, int64_t now)
{
  return d->conf && now < d->lease_until;
}

const struct cfs_lease *
cfs_directory_find_lease (const struct cfs_directory *d, const char *prefix,
                          const char *name)
{
  char resource[CFS_NAME_MAX];

  snprintf (resource, sizeof resource, "%s%.48s", prefix, name);
  return cfs_table_find (&d->leases, resource);
}

bool
cfs_directory_holds_lease (const struct cfs_directory *d,
                           const struct cfs_lease *lease)
{
  return lease && lease->boot == d->boot
         && strcmp (lease->holder, d->host) == 0;
}
