/**
 * DOC: A running host: its control thread and its traffic thread.
 */
#ifndef CFS_NODE_H
#define CFS_NODE_H

#include "settings.h"

/**
 * cfs_node_serve() - runs a host until SIGTERM or SIGINT
 * @settings: settings
 * @error: set when it cannot start
 *
 * Return: whether it started and ended in order.
 */
bool cfs_node_serve (const struct cfs_settings *settings, GError **error);

#endif
