/**
 * DOC: Control hosts that a host knows, and which of them it talks to.
 */
#ifndef CFS_CONTROL_HOSTS_H
#define CFS_CONTROL_HOSTS_H

#include "settings.h"
#include "wire.pb-c.h"

/* Maximum number of known control hosts: members and seeds. */
#define CONTROL_HOSTS_MAX 24

/**
 * struct control_hosts - known control hosts
 * @selected: index of the host to which messages are sent
 * @members_hash: hash of the members that the hosts were taken from
 */
struct control_hosts
{
  const struct cfs_settings *settings;
  struct cfs_control_host at[CONTROL_HOSTS_MAX];
  size_t count;
  size_t selected;
  uint64_t members_hash;
};

/** control_hosts_init() - starts with the control hosts of the settings, which
 * must outlive @hosts */
void control_hosts_init (struct control_hosts *hosts,
                         const struct cfs_settings *settings);

/** control_hosts_selected() - the host to which messages are sent */
const struct cfs_control_host *
control_hosts_selected (const struct control_hosts *hosts);

/** control_hosts_select_next() - goes on to the next host */
void control_hosts_select_next (struct control_hosts *hosts);

/** control_hosts_select() - selects a host by name and adds it if it is not
 * known; if it cannot be added, goes on to the next host */
void control_hosts_select (struct control_hosts *hosts, const char *name);

/** control_hosts_update() - takes over the members in a reply of the leader */
void control_hosts_update (struct control_hosts *hosts,
                           const Cfs__HeartbeatReply *reply);

#endif
