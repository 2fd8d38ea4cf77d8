/**
 * DOC: What a host has to tell the control leader with its next heartbeats.
 *
 * Messages of the traffic thread are kept as they came and lend their arrays
 * to the heartbeat.
 */
#ifndef CFS_PENDING_REPORTS_H
#define CFS_PENDING_REPORTS_H

#include "../cfs.h"
#include "wire.pb-c.h"

/**
 * struct pending_reports - reports without a heartbeat
 * @state: sent with each heartbeat, or NULL
 * @uses: uses of teams, sent once, or NULL
 * @announcements: instances, sent once
 */
struct pending_reports
{
  Cfs__Peer *state;
  Cfs__Peer *uses;
  Cfs__Peer **announcements;
  size_t announcement_count;
  size_t announcement_cap;
};

/** pending_reports_end() - frees all reports */
void pending_reports_end (struct pending_reports *reports);

/**
 * pending_reports_add() - takes over a report
 * @report: heartbeat with the reported fields; freed by the reports
 *
 * Return: whether the next heartbeat is due at once.
 */
bool pending_reports_add (struct pending_reports *reports, Cfs__Peer *report);

/** pending_reports_hasty() - whether resources are released or groups
 * reported, so that heartbeats follow each other quickly */
bool pending_reports_hasty (const struct pending_reports *reports);

/** pending_reports_suspects() - number of targets that are unreachable */
size_t pending_reports_suspects (const struct pending_reports *reports);

/** pending_reports_ack_stops() - number of services with an open failover */
size_t pending_reports_ack_stops (const struct pending_reports *reports);

/**
 * pending_reports_fill() - adds the reports to a heartbeat
 *
 * The arrays stay in the reports; only @heartbeat->instances must be freed, by
 * free().
 */
void pending_reports_fill (const struct pending_reports *reports,
                           Cfs__Heartbeat *heartbeat);

/** pending_reports_sent() - drops what is sent only once */
void pending_reports_sent (struct pending_reports *reports);

#endif
