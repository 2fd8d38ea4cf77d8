/**
 * DOC: A control host: the replicated log with its disk and network, the
 * leader's decisions, and calls of operators.  Lives in the control thread.
 */
#ifndef CFS_CONTROL_H
#define CFS_CONTROL_H

#include "fleet.h"
#include "loop.h"
#include "settings.h"
#include "state.h"
#include "failover.h"

#include <glib.h>

/* An accepted patch is answered at the latest after this time. */
#define IN_FORCE_WAIT_US (4 * CFS_US_PER_S)

/**
 * enum cfs_operator_kind - calls of operators
 * @OPERATOR_CONFIG: the document and its version
 * @OPERATOR_PATCH: a merge patch against a numbered version
 * @OPERATOR_AUDIT: who changed what, when
 * @OPERATOR_STATUS: members, hosts, leases, groups
 */
enum cfs_operator_kind
{
  OPERATOR_CONFIG = 0,
  OPERATOR_PATCH,
  OPERATOR_AUDIT,
  OPERATOR_STATUS
};

struct cfs_control;

/**
 * cfs_control_new() - opens the disk and the port, and starts the log
 * @settings: settings of a control host, must outlive it
 * @zmq: ZeroMQ context
 * @loop: loop of the control thread
 * @error: set when the disk is damaged or the port is taken
 *
 * Return: freed by cfs_control_free(), or NULL.
 */
struct cfs_control *cfs_control_new (const struct cfs_settings *settings,
                                     void *zmq, struct cfs_loop *loop,
                                     GError **error);

/** cfs_control_free() - closes files and sockets */
void cfs_control_free (struct cfs_control *control);

/** cfs_control_tick() - timers; at least every 20 ms */
void cfs_control_tick (struct cfs_control *control, int64_t now);

/**
 * cfs_control_leave() - asks the group for a replacement before a stop
 *
 * Return: whether it makes sense to run on until it is there.
 */
bool cfs_control_leave (struct cfs_control *control);

/** cfs_control_pump() - handles what has arrived, before each wait */
void cfs_control_pump (struct cfs_control *control);

/** cfs_control_bootstrap_id() - identity of a host when a group is first
 * formed */
uint64_t cfs_control_bootstrap_id (const char *host);

/**
 * cfs_control_format() - prepares the data folder of a first member
 * @settings: settings of a control host
 * @error: set when the folder is in use or cannot be written
 */
bool cfs_control_format (const struct cfs_settings *settings, GError **error);

/**
 * struct cfs_control_fleet_setup - what a control host of sessions needs
 * besides
 * @documents: decodes operators' documents
 * @targets: makes connections to instances
 * @promote: orders an instance to lead; cfs_control_promotion_result() follows
 */
struct cfs_control_fleet_setup
{
  const struct cfs_document_decoder *documents;
  const struct cfs_target_adapter *targets;
  void (*promote) (void *ctx, const char *service, const char *target,
                   uint64_t fence);
  void *ctx;
};

/** cfs_control_serve_fleet() - whole documents, targets, their primaries */
void cfs_control_serve_fleet (struct cfs_control *control,
                              const struct cfs_control_fleet_setup *setup);

/** cfs_control_promotion_result() - the answer to an order */
void cfs_control_promotion_result (struct cfs_control *control,
                                   const char *service, uint64_t fence,
                                   enum cfs_promotion_result result);

/** cfs_control_is_leader() - whether this host may answer for the group now */
bool cfs_control_is_leader (const struct cfs_control *control, int64_t now);

/** cfs_control_leader() - name of the leader as far as known, or "" */
const char *cfs_control_leader (const struct cfs_control *control);

/** cfs_control_state() - replicated state; current only while it leads */
const struct cfs_state *cfs_control_state (const struct cfs_control *control);

/** cfs_control_metrics() - appends counters of a control host */
void cfs_control_metrics (const struct cfs_control *control, GString *out,
                          int64_t now);

/**
 * cfs_control_put_document() - makes a checked document the configuration
 * @number: its number; one that is not higher changes nothing
 * @on_result: called once when it is committed, or when that is not known
 *
 * Return: CFS_OK and @on_result follows; CFS_NOT_LEADER or CFS_IO without it.
 */
int cfs_control_put_document (struct cfs_control *control, uint64_t number,
                              const char *body,
                              void (*on_result) (void *tag, bool committed),
                              void *tag, int64_t now);

/**
 * cfs_control_report_target() - takes what a target says of itself
 * @report: all fields but @changed
 * @on_result: as above; called before the return when nothing changes
 *
 * Return: CFS_OK and @on_result follows; CFS_BAD when a later incarnation is
 * known; CFS_NOT_LEADER or CFS_IO.
 */
int cfs_control_report_target (struct cfs_control *control,
                               const struct cfs_target *report,
                               void (*on_result) (void *tag, bool committed),
                               void *tag, int64_t now);

/**
 * cfs_control_remove_target() - a target says that it is gone
 *
 * Return: as of cfs_control_report_target().
 */
int cfs_control_remove_target (struct cfs_control *control, const char *id,
                               void (*on_result) (void *tag, bool committed),
                               void *tag, int64_t now);

#endif
