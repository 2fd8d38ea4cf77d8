/**
 * DOC: A host's connection to the control leader, in the control thread.
 *
 * Sends heartbeats, keeps the lease and the configuration up to date, and
 * forwards operators' requests to the control host that is leader.
 */
#ifndef CFS_CONTROL_CLIENT_H
#define CFS_CONTROL_CLIENT_H

#include "loop.h"
#include "settings.h"
#include "wire.pb-c.h"

/* An operator's request without a reply fails after this time. */
#define OPERATOR_REQUEST_TIMEOUT_US (10 * CFS_US_PER_S)

/**
 * struct cfs_control_client_ops - callbacks with replies of the leader
 * @heartbeat_replied: reply to a heartbeat: the lease and changes; the
 * document, when set, is the whole configuration and no patch; lease_until_us
 * is 0 if no lease was granted
 * @operator_replied: reply to a forwarded operator request
 * @tokens_granted: reply to a token request
 */
struct cfs_control_client_ops
{
  void (*heartbeat_replied) (void *ctx, Cfs__HeartbeatReply *reply);
  void (*operator_replied) (void *ctx, Cfs__OperatorReply *reply);
  void (*tokens_granted) (void *ctx, Cfs__TokensGrant *grant);
};

struct cfs_control_client;

/**
 * cfs_control_client_new() - starts without a lease
 * @ops: callbacks; must outlive the client
 * @settings: must outlive the client
 * @boot_id: id of this run of the process
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
 * cfs_control_client_report() - sets what the next heartbeats report
 * @report: heartbeat message, owned by the client from now on.  Instances and
 * uses of teams are sent once, anything else with each heartbeat until the
 * next report
 */
void cfs_control_client_report (struct cfs_control_client *client,
                                Cfs__Peer *report);

/** cfs_control_client_forward() - forwards an operator request; @request is
 * owned by the client from now on */
void cfs_control_client_forward (struct cfs_control_client *client,
                                 Cfs__Peer *request, int64_t now);

/** cfs_control_client_request_tokens() - requests tokens from the leader; the
 * request is not repeated when it is lost */
void cfs_control_client_request_tokens (struct cfs_control_client *client,
                                        const Cfs__Peer *request);

/** cfs_control_client_tick() - runs timers; call at least every 20 ms */
void cfs_control_client_tick (struct cfs_control_client *client, int64_t now);

/** cfs_control_client_pump() - handles received messages; call before each
 * wait */
void cfs_control_client_pump (struct cfs_control_client *client);

#endif
