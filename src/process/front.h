/**
 * DOC: The traffic thread of a front host, which serves sessions.
 */
#ifndef CFS_FRONT_H
#define CFS_FRONT_H

#include "settings.h"

#include <glib.h>

struct cfs_front;

/**
 * cfs_front_new() - listens for callers and for readiness checks
 * @settings: must outlive the result
 * @zmq: ZeroMQ context in which TRAFFIC_ENDPOINT is already bound
 * @error: set when an address cannot be used
 *
 * Return: freed by cfs_front_free(), or NULL.
 */
struct cfs_front *cfs_front_new (const struct cfs_settings *settings,
                                 void *zmq, GError **error);

/** cfs_front_free() - closes all sessions and connections; NULL is ignored */
void cfs_front_free (struct cfs_front *front);

/**
 * cfs_front_run() - serves until @stop is set, then drains the host
 * @front: front
 * @stop: set to true by a signal handler
 *
 * Returns within the stop time of the settings.
 */
void cfs_front_run (struct cfs_front *front, const volatile bool *stop);

#endif
