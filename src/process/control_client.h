/**
 * DOC: A host's link to the control leader, in the control thread.
 *
 * Sends heartbeats, keeps the lease and the configuration, and carries
 * calls of operators to whichever control host leads.
 */
#ifndef CFS_CONTROL_CLIENT_H
#define CFS_CONTROL_CLIENT_H

#include "loop.h"
#include "settings.h"
#include "wire.pb-c.h"

/* A call of an operator is given up after this time. */
#define OPERATOR_REQUEST_TIMEOUT_US (10 * CFS_US_PER_S)

/**
 * struct cfs_control_client_ops - events for the traffic thread
 * @renewed: the lease and what changed; the document is whole when set
 * @operator_replied: answer to a call
 * @tokens: answer to an ask for tokens
 */
struct cfs_control_client_ops
{
  void (*renewed) (void *ctx, Cfs__HeartbeatReply *reply);
  void (*operator_replied) (void *ctx, Cfs__OperatorReply *reply);
  void (*tokens) (void *ctx, Cfs__TokensGrant *grant);
};

struct cfs_control_client;

/**
 * cfs_control_client_new() - starts without a lease
 * @ops: effects, must outlive it
 * @settings: must outlive it
 * @boot_id: number of this run of the process
 *
 * Return: freed by cfs_control_client_free().
 */
struct cfs_control_client *
cfs_control_client_new (const struct cfs_control_client_ops *ops, void *ctx,
                        const struct cfs_settings *settings, uint64_t boot_id,
                        void *zmq, struct cfs_loop *loop);

/** cfs_control_client_free() - closes the sockets */
void cfs_control_client_free (struct cfs_control_client *client);

/**
 * cfs_control_client_report() - what the next heartbeats say besides the host
 * itself
 * @client: agent
 * @report: message that passes to the agent; one with instances or uses of
 * teams goes out once, another one with each heartbeat
 */
void cfs_control_client_report (struct cfs_control_client *client,
                                Cfs__Peer *report);

/** cfs_control_client_forward() - forwards a call; @request passes to the
 * agent
 */
void cfs_control_client_forward (struct cfs_control_client *client,
                                 Cfs__Peer *request, int64_t now);

/** cfs_control_client_request_tokens() - asks the leader for tokens; the ask
 * may be lost */
void cfs_control_client_request_tokens (struct cfs_control_client *client,
                                        const Cfs__Peer *request);

/** cfs_control_client_tick() - timers; at least every 20 ms */
void cfs_control_client_tick (struct cfs_control_client *client, int64_t now);

/** cfs_control_client_pump() - handles what has arrived, before each wait */
void cfs_control_client_pump (struct cfs_control_client *client);

#endif
