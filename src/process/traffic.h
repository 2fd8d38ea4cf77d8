/**
 * DOC: The traffic thread of a host that serves HTTP requests: HTTP server,
 * entry, gates and limiters.
 */
#ifndef CFS_TRAFFIC_H
#define CFS_TRAFFIC_H

#include "settings.h"

#include <glib.h>

/* Endpoint of the channel between the control and the traffic thread. */
#define TRAFFIC_ENDPOINT "inproc://coltsfootstage-traffic"

struct cfs_traffic;

/**
 * cfs_traffic_new() - opens the ports
 * @settings: must outlive the result
 * @boot_id: random number that identifies this run of the process
 * @zmq: ZeroMQ context in which TRAFFIC_ENDPOINT is already bound
 * @error: set when a port or a certificate cannot be used
 *
 * Return: freed by cfs_traffic_free(), or NULL.
 */
struct cfs_traffic *cfs_traffic_new (const struct cfs_settings *settings,
                                     uint64_t boot_id, void *zmq,
                                     GError **error);

/**
 * cfs_traffic_free() - responds to open requests and closes all connections
 *
 * NULL is ignored.
 */
void cfs_traffic_free (struct cfs_traffic *traffic);

/**
 * cfs_traffic_run() - serves until @stop is set or an operator stops the host
 * @traffic: traffic
 * @stop: set to true by a signal handler
 *
 * The host then reports itself as not ready, hands its gates over, finishes
 * open requests within the stop time of the settings, and returns.
 */
void cfs_traffic_run (struct cfs_traffic *traffic, const volatile bool *stop);

#endif
