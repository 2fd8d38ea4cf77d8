/**
 * DOC: Intervals at which a host sends to the control leader.
 *
 * The load that they answer: all hosts send to one leader, which has a part of
 * a processor.  The intervals grow with the number of hosts, so that the
 * leader gets a bounded number of messages a second from any number of them.
 */
#ifndef CFS_PACE_H
#define CFS_PACE_H

#include "../cfs.h"

/** cfs_pace_heartbeat_us() - interval of the heartbeats of a host that serves
 * sessions; @hosts is 0 if the number of hosts is not known */
int64_t cfs_pace_heartbeat_us (uint32_t hosts);

/** cfs_pace_demand_us() - interval of the reports of the teams' demand */
int64_t cfs_pace_demand_us (uint32_t hosts);

/** cfs_pace_unsettled_demand_us() - the same while a team has demand, but its
 * share is not yet settled */
int64_t cfs_pace_unsettled_demand_us (uint32_t hosts);

/** cfs_pace_tokens_us() - minimum time between two token requests */
int64_t cfs_pace_tokens_us (uint32_t hosts);

/** cfs_pace_token_reply_us() - longest wait for the reply to a token request.
 * If all hosts asked a busy leader again before it has replied, what it has to
 * handle would only grow, and tokens would arrive too late to be used */
int64_t cfs_pace_token_reply_us (uint32_t hosts);

/**
 * cfs_pace_report_is_full() - whether a report of the demand contains all
 * teams
 * @number: number of the report, from 0
 * @host: name of the host
 *
 * The first one and one of 8 after it.  Hosts that started together do not
 * send them together.
 */
bool cfs_pace_report_is_full (unsigned number, const char *host);

#endif
