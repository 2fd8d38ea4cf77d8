/*
 * The list starts with the seeds of the settings; replies of the leader
 * replace it by the members, and the seeds stay at its end.
 */
#include "control_hosts.h"

#include <string.h>

void
control_hosts_init (struct control_hosts *l,
                    const struct cfs_settings *settings)
{
  memset (l, 0, sizeof *l);
  l->settings = settings;
  l->count = settings->control_count;
  memcpy (l->at, settings->control, l->count * sizeof l->at[0]);
}

const struct cfs_control_host *
control_hosts_selected (const struct control_hosts *l)
{
  return &l->at[l->selected];
}

void
control_hosts_select_next (struct control_hosts *l)
{
  l->selected++;
  if (l->selected >= l->count)
    l->selected = 0;
}

/* Control hosts that were found through seeds have their IP address as
   name. */
static void
add_host (struct control_hosts *l, const char *name)
{
  struct cfs_control_host *h;

  for (size_t i = 0; i < l->count; i++)
    if (strcmp (l->at[i].host, name) == 0)
      return;
  if (!l->settings->uses_seeds || l->count == CONTROL_HOSTS_MAX)
    return;
  h = &l->at[l->count++];
  cfs_copy (h->host, sizeof h->host, name);
  cfs_copy (h->address, sizeof h->address, name);
  h->port = l->settings->peer_port;
}

void
control_hosts_select (struct control_hosts *l, const char *name)
{
  add_host (l, name);
  for (size_t i = 0; i < l->count; i++)
    if (strcmp (l->at[i].host, name) == 0)
      {
        l->selected = i;
        return;
      }
  control_hosts_select_next (l);
}

void
control_hosts_update (struct control_hosts *l, const Cfs__HeartbeatReply *r)
{
  char selected[CFS_NAME_MAX];

  if (r->n_members == 0 || !l->settings->uses_seeds)
    return;
  cfs_copy (selected, sizeof selected, control_hosts_selected (l)->host);
  l->count = 0;
  for (size_t i = 0; i < r->n_members; i++)
    add_host (l, r->members[i]);
  for (size_t i = 0; i < l->settings->control_count; i++)
    add_host (l, l->settings->control[i].host);
  l->members_hash = r->members_hash;
  control_hosts_select (l, selected);
}
