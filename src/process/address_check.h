/**
 * DOC: Checks which instance is at an address.
 *
 * Anybody can report any address.  A report that names an address at which
 * another instance is known counts only if the instance that answers there
 * says that it is the one of the report.
 */
#ifndef CFS_ADDRESS_CHECK_H
#define CFS_ADDRESS_CHECK_H

#include "../connection/adapter.h"
#include "targets.h"

/* Time for an instance to answer. */
#define ADDRESS_CHECK_TIMEOUT_US (700 * CFS_US_PER_MS)
/* Maximum number of checks at the same time. */
#define ADDRESS_CHECKS_MAX 64

/**
 * enum cfs_address_result - what was found at an address
 * @ADDRESS_CONFIRMED: the instance of the report answered
 * @ADDRESS_REFUTED: another instance answered
 * @ADDRESS_UNKNOWN: nothing answered in time, or not conclusively
 */
enum cfs_address_result
{
  ADDRESS_CONFIRMED,
  ADDRESS_REFUTED,
  ADDRESS_UNKNOWN
};

struct cfs_address_checks;

/**
 * struct cfs_report_sender - who waits for the outcome of a report
 * @on_result: called once; @committed is whether the report was recorded
 */
struct cfs_report_sender
{
  void (*on_result) (void *tag, bool committed);
  void *tag;
};

/**
 * struct cfs_address_check_ops - callback of the checks
 * @done: called by cfs_address_checks_tick() when a check has ended
 */
struct cfs_address_check_ops
{
  void (*done) (void *ctx, const struct cfs_target *report,
                const struct cfs_report_sender *sender,
                enum cfs_address_result result, int64_t now);
};

/**
 * cfs_address_checks_new() - starts without checks
 * @adapter: opens connections to instances
 *
 * All arguments must outlive the checks.
 * Return: freed by cfs_address_checks_free().
 */
struct cfs_address_checks *
cfs_address_checks_new (const struct cfs_address_check_ops *ops, void *ctx,
                        const struct cfs_target_adapter *adapter);

/** cfs_address_checks_free() - closes all connections, without callbacks; NULL
 * is allowed */
void cfs_address_checks_free (struct cfs_address_checks *checks);

/**
 * cfs_address_check_start() - connects to the address of a report
 * @report: copied
 * @sender: copied, passed to the callback
 *
 * Return: false if no check was started, because too many are open or the
 * address cannot be connected to.
 */
bool cfs_address_check_start (struct cfs_address_checks *checks,
                              const struct cfs_target *report,
                              const struct cfs_report_sender *sender,
                              int64_t now);

/** cfs_address_checks_tick() - ends checks that are done or took too long */
void cfs_address_checks_tick (struct cfs_address_checks *checks, int64_t now);

#endif
