/**
 * DOC: Targets that announce themselves, and changes of a service's primary.
 *
 * Rows are replicated: control hosts keep them in the state of the log, and
 * every host keeps a copy.  Only what matters for routing and for the choice
 * of a primary is kept here; when a target was last heard is not.
 */
#ifndef CFS_TARGETS_H
#define CFS_TARGETS_H

#include "../cfs.h"
#include "table.h"
#include "wire.pb-c.h"

/**
 * struct cfs_target - one instance of a database group
 * @id: its name
 * @service: name of its group
 * @address: "IP:PORT"
 * @zone: where it runs
 * @slots: statements that it serves at a time
 * @primary: it said so itself
 * @draining: it announced that it leaves; it gets no new work
 * @gone: it left, or was silent for so long that it counts as lost
 * @incarnation: incarnation: Unix milliseconds of its start
 * @sequence: number of its last report within the incarnation
 * @changed: log index of the last change
 * @claimed: log index at which it began to say that it leads
 */
struct cfs_target
{
  char id[CFS_NAME_MAX];
  char service[CFS_NAME_MAX];
  char address[CFS_NAME_MAX];
  char zone[CFS_NAME_MAX];
  uint32_t slots;
  bool primary;
  bool draining;
  bool gone;
  uint64_t incarnation;
  uint64_t sequence;
  uint64_t changed;
  uint64_t claimed;
};

/**
 * struct cfs_failover - the last change of a service's primary
 * @service: name of the group
 * @open: the change may still be under way
 * @target: the instance that leads once it is closed, "" before
 * @fence: fencing token: log index at which it was opened
 * @changed: log index of the last change
 */
struct cfs_failover
{
  char service[CFS_NAME_MAX];
  bool open;
  char target[CFS_NAME_MAX];
  uint64_t fence;
  uint64_t changed;
};

/** cfs_target_is_newer() - whether a report supersedes a row */
bool cfs_target_is_newer (const struct cfs_target *current,
                          uint64_t incarnation, uint64_t sequence);

/** cfs_target_to_message() - fills a message with pointers into @target */
void cfs_target_to_message (const struct cfs_target *target, Cfs__Target *out);

/** cfs_target_from_message() - copies a message into a row, except for the id
 */
void cfs_target_from_message (struct cfs_target *target,
                              const Cfs__Target *in);

/** cfs_failover_to_message() - fills a message with pointers into @failover */
void cfs_failover_to_message (const struct cfs_failover *failover,
                              Cfs__Turn *out);

/** cfs_failover_from_message() - copies a message into a row, except for the
 * service */
void cfs_failover_from_message (struct cfs_failover *failover,
                                const Cfs__Turn *in);

/**
 * cfs_targets_apply() - applies a committed report
 * @targets: table of struct cfs_target
 * @in: report; an older one than the row's changes nothing; an instance
 * that was born earlier at the same address is gone
 * @index: log index
 *
 * Return: whether the table changed.
 */
bool cfs_targets_apply (struct cfs_table *targets, const Cfs__Target *in,
                        uint64_t index);

/**
 * cfs_failovers_apply() - applies the opening or the end of a change of
 * primary
 * @failovers: table of struct cfs_failover
 * @in: an opening takes @index as its fence; an end must name the fence of
 * the opening that it ends
 *
 * Return: whether the table changed.
 */
bool cfs_failovers_apply (struct cfs_table *failovers, const Cfs__Turn *in,
                          uint64_t index);

/**
 * cfs_targets_primary() - the instance that leads a service, as far as known
 * @targets: table of struct cfs_target
 * @failovers: table of struct cfs_failover
 * @service: name
 *
 * The newer of the last ended change and the last own claim counts.
 * Return: the row, or NULL.
 */
const struct cfs_target *
cfs_targets_primary (const struct cfs_table *targets,
                     const struct cfs_table *failovers, const char *service);

#endif
