/**
 * DOC: A control host: the replicated log with its disk and network, the
 * decisions of the leader, and requests of operators.  Runs in the control
 * thread.
 */
#ifndef CFS_CONTROL_H
#define CFS_CONTROL_H

#include "fleet.h"
#include "loop.h"
#include "settings.h"
#include "state.h"
#include "failover.h"

#include <glib.h>

/* Maximum delay of the reply to an accepted patch, which waits until the patch
   is in force. */
#define IN_FORCE_WAIT_US (4 * CFS_US_PER_S)

/**
 * enum cfs_operator_kind - requests of operators
 * @OPERATOR_CONFIG: returns the configuration document and its version
 * @OPERATOR_PATCH: applies a merge patch to a given version
 * @OPERATOR_AUDIT: returns who changed the configuration, how and when
 * @OPERATOR_STATUS: returns members, hosts, leases and groups
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
 * cfs_control_new() - opens disk and port, and starts the replicated log
 * @settings: settings of a control host; must outlive the result
 * @zmq: ZeroMQ context
 * @loop: loop of the control thread
 * @error: set when the data folder is damaged or the port is in use
 *
 * Return: freed by cfs_control_free(), or NULL.
 */
struct cfs_control *cfs_control_new (const struct cfs_settings *settings,
                                     void *zmq, struct cfs_loop *loop,
                                     GError **error);

/** cfs_control_free() - closes files and sockets */
void cfs_control_free (struct cfs_control *control);

/** cfs_control_tick() - runs timers; call at least every 20 ms */
void cfs_control_tick (struct cfs_control *control, int64_t now);

/**
 * cfs_control_leave() - requests a replacement before a planned stop
 *
 * To be called repeatedly.  Return: whether to keep running until the
 * replacement has taken over.
 */
bool cfs_control_leave (struct cfs_control *control);

/** cfs_control_pump() - handles received messages; call before each wait */
void cfs_control_pump (struct cfs_control *control);

/** cfs_control_bootstrap_id() - member id of a host in the initial control
 * group, derived from its name */
uint64_t cfs_control_bootstrap_id (const char *host);

/**
 * cfs_control_format() - prepares the data folder of an initial member
 * @settings: settings of a control host
 * @error: set when the folder is in use or cannot be written
 */
bool cfs_control_format (const struct cfs_settings *settings, GError **error);

/**
 * struct cfs_control_fleet_setup - callbacks of a control host that serves
 * sessions
 * @decoder: decodes configuration documents of operators
 * @adapter: opens connections to targets
 * @promote: requests the promotion of a target; the result is passed to
 * cfs_control_promotion_result()
 */
struct cfs_control_fleet_setup
{
  const struct cfs_document_decoder *decoder;
  const struct cfs_target_adapter *adapter;
  void (*promote) (void *ctx, const char *service, const char *target,
                   uint64_t fence);
  void *ctx;
};

/** cfs_control_serve_fleet() - enables configuration documents, the registry
 * of targets and failover */
void cfs_control_serve_fleet (struct cfs_control *control,
                              const struct cfs_control_fleet_setup *setup);

/** cfs_control_promotion_result() - takes the result of a request */
void cfs_control_promotion_result (struct cfs_control *control,
                                   const char *service, uint64_t fence,
                                   enum cfs_promotion_result result);

/** cfs_control_is_leader() - whether this host is leader, confirmed by a
 * majority */
bool cfs_control_is_leader (const struct cfs_control *control, int64_t now);

/** cfs_control_leader() - name of the known leader, or "" */
const char *cfs_control_leader (const struct cfs_control *control);

/** cfs_control_state() - replicated state; current only at the leader */
const struct cfs_state *cfs_control_state (const struct cfs_control *control);

/** cfs_control_metrics() - appends the metrics of a control host */
void cfs_control_metrics (const struct cfs_control *control, GString *out,
                          int64_t now);

/**
 * cfs_control_put_document() - proposes a validated document as configuration
 * @number: version of the document; ignored unless higher than the current one
 * @on_result: called once: with true when the document is committed, with
 * false when that is not known
 *
 * Return: CFS_OK if @on_result will be called, else CFS_NOT_LEADER or CFS_IO.
 */
int cfs_control_put_document (struct cfs_control *control, uint64_t number,
                              const char *body,
                              void (*on_result) (void *tag, bool committed),
                              void *tag, int64_t now);

/**
 * cfs_control_evacuate() - proposes the start or stop of an evacuation
 * @zone: a valid name of a zone, known or not
 * @on_result: as of cfs_control_put_document()
 *
 * An order that changes nothing is proposed as well: it must take its place
 * after orders that are in the log and not committed yet.
 *
 * Return: CFS_OK if @on_result will be called, else CFS_FULL when
 * EVACUATIONS_MAX zones are evacuated, CFS_BAD for an invalid name,
 * CFS_NOT_LEADER or CFS_IO.
 */
int cfs_control_evacuate (struct cfs_control *control, const char *zone,
                          bool start,
                          void (*on_result) (void *tag, bool committed),
                          void *tag, int64_t now);

/**
 * cfs_control_report_target() - handles a target's report on itself
 * @report: all fields but @changed
 * @on_result: as of cfs_control_put_document(); called before the return when
 * there is nothing to replicate
 *
 * Return: CFS_OK if @on_result is called, else CFS_BAD when a later
 * incarnation is known or this one has left, CFS_NOT_LEADER or CFS_IO.
 */
int cfs_control_report_target (struct cfs_control *control,
                               const struct cfs_target *report,
                               void (*on_result) (void *tag, bool committed),
                               void *tag, int64_t now);

/**
 * cfs_control_remove_target() - handles a target's notice that it has left
 * @incarnation: incarnation that has left, or 0 if the notice does not say
 *
 * Return: as of cfs_control_report_target().
 */
int cfs_control_remove_target (struct cfs_control *control, const char *id,
                               uint64_t incarnation,
                               void (*on_result) (void *tag, bool committed),
                               void *tag, int64_t now);

#endif
