/**
 * DOC: A core host: a process that is a control host and serves no traffic.
 */
#ifndef CFS_CORE_H
#define CFS_CORE_H

#include "settings.h"

#include <glib.h>

/**
 * cfs_core_serve() - runs the host until SIGTERM or SIGINT
 * @settings: must have a control address
 * @error: set when the host cannot start
 *
 * Return: whether it started.
 */
bool cfs_core_serve (const struct cfs_settings *settings, GError **error);

#endif
