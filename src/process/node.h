/**
 * DOC: A host with two threads, one for control and one for traffic.
 */
#ifndef CFS_NODE_H
#define CFS_NODE_H

#include "settings.h"

/**
 * cfs_node_serve() - runs the host until SIGTERM or SIGINT
 * @settings: settings of the host
 * @error: set when the host cannot start; stays NULL when a thread or a
 * channel cannot be created
 *
 * Return: whether it started and shut down cleanly.
 */
bool cfs_node_serve (const struct cfs_settings *settings, GError **error);

#endif
