/**
 * DOC: A host's link to the control leader, in the control thread.
 *
 * Sends heartbeats, keeps the lease and the configuration, and carries
 * calls of operators to whichever control host leads.
 */
#ifndef CFS_AGENT_H
#define CFS_AGENT_H

#include "loop.h"
#include "settings.h"
#include "wire.pb-c.h"

/* A call of an operator is given up after this time. */
#define CALL_TIMEOUT_US (10 * CFS_US_PER_S)

/**
 * struct cfs_agent_ops - events for the traffic thread
 * @renewed: the lease and what changed; the document is whole when set
 * @called: answer to a call
 * @tokens: answer to an ask for tokens
 */
struct cfs_agent_ops
{
  void (*renewed) (void *ctx, Cfs__HeartbeatReply *reply);
  void (*called) (void *ctx, Cfs__OperatorReply *reply);
  void (*tokens) (void *ctx, Cfs__TokensGrant *grant);
};

struct cfs_agent;

/**
 * cfs_agent_new() - starts without a lease
 * @ops: effects, must outlive it
 * @settings: must outlive it
 * @boot: number of this run of the process
 *
 * Return: freed by cfs_agent_free().
 */
struct cfs_agent *cfs_agent_new (const struct cfs_agent_ops *ops, void *ctx,
                                 const struct cfs_settings *settings,
                                 uint64_t boot, void *zmq,
                                 struct cfs_loop *loop);

/** cfs_agent_free() - closes the sockets */
void cfs_agent_free (struct cfs_agent *agent);

/**
 * cfs_agent_report() - what the next heartbeats say besides the host itself
 * @agent: agent
 * @report: message that passes to the agent; one with instances or uses of
 * teams goes out once, another one with each heartbeat
 */
void cfs_agent_report (struct cfs_agent *agent, Cfs__Peer *report);

/** cfs_agent_call() - forwards a call; @call passes to the agent */
void cfs_agent_call (struct cfs_agent *agent, Cfs__Peer *call, int64_t now);

/** cfs_agent_ask() - asks the leader for tokens; the ask may be lost */
void cfs_agent_ask (struct cfs_agent *agent, const Cfs__Peer *ask);

/** cfs_agent_tick() - timers; at least every 20 ms */
void cfs_agent_tick (struct cfs_agent *agent, int64_t now);

/** cfs_agent_pump() - handles what has arrived, before each wait */
void cfs_agent_pump (struct cfs_agent *agent);

#endif
