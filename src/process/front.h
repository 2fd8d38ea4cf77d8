/**
 * DOC: The traffic thread of a host that serves sessions.
 */
#ifndef CFS_FRONT_H
#define CFS_FRONT_H

#include "settings.h"

#include <glib.h>

struct cfs_front;

/**
 * cfs_front_new() - listens for callers and for questions of readiness
 * @settings: must outlive the thread
 * @zmq: context of the pair to the control thread
 *
 * Return: freed by cfs_front_free(), or NULL with @error set.
 */
struct cfs_front *cfs_front_new (const struct cfs_settings *settings,
                                 void *zmq, GError **error);

/** cfs_front_free() - closes everything */
void cfs_front_free (struct cfs_front *front);

/**
 * cfs_front_run() - serves until @stop, then finishes what runs
 *
 * Returns within the stop time of the settings.
 */
void cfs_front_run (struct cfs_front *front, const volatile bool *stop);

#endif
