/**
 * DOC: A process that is a control host and nothing else.
 */
#ifndef CFS_CORE_H
#define CFS_CORE_H

#include "settings.h"

#include <glib.h>

/**
 * cfs_core_serve() - runs until SIGTERM or SIGINT
 * @settings: settings with a control address
 *
 * Return: false with @error set when it cannot start.
 */
bool cfs_core_serve (const struct cfs_settings *settings, GError **error);

#endif
