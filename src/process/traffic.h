/**
 * DOC: The traffic thread: HTTP, entry, gates and limiters of a host.
 */
#ifndef CFS_TRAFFIC_H
#define CFS_TRAFFIC_H

#include "settings.h"

#include <glib.h>

/* Name of the in-process pair between control and traffic thread. */
#define TRAFFIC_ENDPOINT "inproc://coltsfootstage-traffic"

struct cfs_traffic;

/**
 * cfs_traffic_new() - opens the ports
 * @settings: must outlive it
 * @boot: number of this run of the process
 * @zmq: ZeroMQ context, in which TRAFFIC_ENDPOINT is already bound
 * @error: set when a port or certificate cannot be used
 *
 * Return: freed by cfs_traffic_free(), or NULL.
 */
struct cfs_traffic *cfs_traffic_new (const struct cfs_settings *settings,
                                     uint64_t boot_id, void *zmq,
                                     GError **error);

/** cfs_traffic_free() - answers what is open and closes everything */
void cfs_traffic_free (struct cfs_traffic *traffic);

/**
 * cfs_traffic_run() - serves until told to stop
 * @traffic: traffic
 * @stop: set to true by a signal handler
 *
 * After @stop the host says not ready, hands its gates over, finishes what
 * runs within the time that the settings give, and returns.
 */
void cfs_traffic_run (struct cfs_traffic *traffic, const volatile bool *stop);

#endif
