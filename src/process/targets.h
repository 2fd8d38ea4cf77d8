/**
 * DOC: Registry of targets, which announce themselves, and the last failover
 * of each service.
 *
 * Entries are replicated: control hosts keep them in the state of the
 * replicated log, and every host keeps a copy.  They hold only what routing
 * and the choice of a primary need.  The time of a target's last heartbeat is
 * not replicated.
 */
#ifndef CFS_TARGETS_H
#define CFS_TARGETS_H

#include "../cfs.h"
#include "table.h"
#include "wire.pb-c.h"

/**
 * struct cfs_target - an instance of a service's database group
 * @address: "IP:PORT"
 * @zone: zone in which it runs
 * @slots: number of statements that it executes at a time; 0 in the entry of
 * a target that is gone and whose departure is proven
 * @primary: it reported itself as primary
 * @draining: it announced that it will leave; it gets no new work
 * @gone: it left, a later one reported its address, or it sent no heartbeat
 * for so long that it counts as lost
 * @incarnation: Unix time of its start in milliseconds
 * @sequence: number of its last report within the incarnation
 * @changed: log index of the last change
 * @claimed: log index from which on it reports itself as primary, or 0
 * @cold_ms: 0, or for how long it remained slow when a report made it cold, in
 * milliseconds
 * @returned: its zone was evacuated, and it has not reported since
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
  uint32_t cold_ms;
  bool returned;
};

/**
 * struct cfs_failover - the last failover of a service
 * @open: the failover has begun and not ended
 * @retried: it was begun again while open, so a promotion request of an
 * earlier attempt may still be carried out
 * @target: primary chosen by the last completed failover, or ""
 * @fence: fencing token: log index at which the failover began
 * @changed: log index of the last change
 */
struct cfs_failover
{
  char service[CFS_NAME_MAX];
  bool open;
  bool retried;
  char target[CFS_NAME_MAX];
  uint64_t fence;
  uint64_t changed;
};

/** cfs_target_is_newer() - whether a report supersedes an entry */
bool cfs_target_is_newer (const struct cfs_target *current,
                          uint64_t incarnation, uint64_t sequence);

/**
 * cfs_targets_holder() - the target that is known at an address
 * @targets: table of struct cfs_target
 * @id: target that is left out
 * @address: "IP:PORT"
 *
 * Return: the one with the latest incarnation, or NULL.
 */
const struct cfs_target *cfs_targets_holder (const struct cfs_table *targets,
                                             const char *id,
                                             const char *address);

/**
 * enum cfs_report_effect - what the control leader does with a report
 * @REPORT_CURRENT: the report describes the instance as it is now
 * @REPORT_OUTDATED: a later incarnation is known, this one has left, or a
 * later target has its address
 * @REPORT_FOREIGN: it names no instance to use, because its service is not
 * configured
 */
enum cfs_report_effect
{
  REPORT_CURRENT,
  REPORT_OUTDATED,
  REPORT_FOREIGN
};

/**
 * cfs_target_report_effect() - decides whether a report counts
 * @targets: table of struct cfs_target
 * @configured: whether the configuration names the service of the report
 * @report: the report; a current one is completed to the entry that replaces
 * that of the instance: an instance that drains keeps draining, and sequence
 * numbers increase
 *
 * An instance of a service that is no longer configured may still announce
 * that it drains, since the service may be configured again.
 */
enum cfs_report_effect
cfs_target_report_effect (const struct cfs_table *targets, bool configured,
                          struct cfs_target *report);

/**
 * cfs_target_mark_left() - marks an entry as gone because of a leave
 * @target: entry of the instance
 * @incarnation: incarnation that has left, or 0 if the leave does not say
 *
 * Return: whether it has changed; false if a later incarnation is known.
 */
bool cfs_target_mark_left (struct cfs_target *target, uint64_t incarnation);

/**
 * cfs_target_has_left() - whether a target that is gone had announced that it
 * leaves; its process ends soon, if it has not ended
 *
 * Any other target that is gone may still run and receive the log.
 */
bool cfs_target_has_left (const struct cfs_target *target);

/**
 * cfs_target_is_unproven() - whether a target that is gone may have
 * acknowledged commits that are not known to be in the log of another
 */
bool cfs_target_is_unproven (const struct cfs_target *target);

/** cfs_target_mark_proven() - ends that of a target that is gone, because a
 * target that stays has all commits that it can have acknowledged */
void cfs_target_mark_proven (struct cfs_target *target);

/** cfs_target_affects_routing() - whether hosts must learn of the difference
 * between an entry, which may be NULL, and the one that replaces it */
bool cfs_target_affects_routing (const struct cfs_target *known,
                                 const struct cfs_target *next);

/** cfs_target_to_message() - fills a message that points into @target */
void cfs_target_to_message (const struct cfs_target *target, Cfs__Target *out);

/** cfs_target_from_message() - copies all fields but the id from a
 * message
 */
void cfs_target_from_message (struct cfs_target *target,
                              const Cfs__Target *in);

/** cfs_failover_to_message() - fills a message that points into @failover */
void cfs_failover_to_message (const struct cfs_failover *failover,
                              Cfs__Turn *out);

/** cfs_failover_from_message() - copies all fields but the service from a
 * message */
void cfs_failover_from_message (struct cfs_failover *failover,
                                const Cfs__Turn *in);

/**
 * cfs_targets_apply() - applies a committed report
 * @targets: table of struct cfs_target
 * @in: report; ignored unless it is newer than the entry, or if a later
 * target is at its address.  When an instance
 * arrives at an address, any with an earlier incarnation there is marked as
 * gone
 * @index: log index of the report
 *
 * Return: whether the table changed.
 */
bool cfs_targets_apply (struct cfs_table *targets, const Cfs__Target *in,
                        uint64_t index);

/**
 * cfs_failovers_apply() - applies the begin or the end of a failover
 * @failovers: table of struct cfs_failover
 * @in: a begin gets @index as its fencing token; an end is ignored unless it
 * has the token of the open failover
 *
 * Return: whether the table changed.
 */
bool cfs_failovers_apply (struct cfs_table *failovers, const Cfs__Turn *in,
                          uint64_t index);

/**
 * cfs_targets_presumed_primary() - returns the primary of a service, as far as
 * known
 * @targets: table of struct cfs_target
 * @failovers: table of struct cfs_failover
 *
 * The latest event counts: the end of a failover, or an instance that begins
 * to report itself as primary.
 *
 * Return: entry in @targets, or NULL.
 */
const struct cfs_target *
cfs_targets_presumed_primary (const struct cfs_table *targets,
                              const struct cfs_table *failovers,
                              const char *service);

/**
 * cfs_targets_may_drop() - whether an instance that has been silent for long
 * counts as lost
 *
 * False for the presumed primary of its service, which a failover replaces. A
 * claim to be primary that another one has superseded protects nobody.
 */
bool cfs_targets_may_drop (const struct cfs_table *targets,
                           const struct cfs_table *failovers,
                           const struct cfs_target *target);

/**
 * cfs_targets_primary() - as cfs_targets_presumed_primary(), but NULL while
 * hosts must not use it
 *
 * This is the case while a failover is open that was retried: an earlier
 * promotion request may still be carried out and roll back the commits of
 * whichever instance is primary now.
 */
const struct cfs_target *
cfs_targets_primary (const struct cfs_table *targets,
                     const struct cfs_table *failovers, const char *service);

#endif
