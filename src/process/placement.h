/**
 * DOC: Placement: on which targets a statement may run.
 *
 * cfs_placement_check() is the only place where evacuations and allowed
 * regions are evaluated, for reads, primaries, retries and the hosts' probes.
 * It handles a zone that must be left at once and data that must not leave its
 * regions.  No I/O; no clock is read.
 */
#ifndef CFS_PLACEMENT_H
#define CFS_PLACEMENT_H

#include "fleet.h"

/* End of the time allowed for an evacuation that is left for the order to
   reach the hosts and for statements on their way to the targets. */
#define EVACUATION_RESERVE_US (1500 * CFS_US_PER_MS)

/**
 * enum cfs_placement_reason - why a target may not be used
 * @PLACEMENT_ALLOWED: it may be used
 * @PLACEMENT_GONE: it has left
 * @PLACEMENT_DRAINING: it is about to leave and gets no new reads
 * @PLACEMENT_EVACUATED: its zone is evacuated
 * @PLACEMENT_REGION: its region is not allowed to the route or the team
 * @PLACEMENT_COLD: it is cold: a statement needs a token of the target, and
 * any other target is better
 */
enum cfs_placement_reason
{
  PLACEMENT_ALLOWED,
  PLACEMENT_GONE,
  PLACEMENT_DRAINING,
  PLACEMENT_EVACUATED,
  PLACEMENT_REGION,
  PLACEMENT_COLD
};

/**
 * enum cfs_placement_use - what a target is to be used for
 * @PLACEMENT_READ: a new read on any target
 * @PLACEMENT_PRIMARY: new work on the primary, which has to be moved before it
 * can be left
 * @PLACEMENT_HELD: work in progress on a connection to the target; allowed
 * regions were checked as it began
 */
enum cfs_placement_use
{
  PLACEMENT_READ,
  PLACEMENT_PRIMARY,
  PLACEMENT_HELD
};

/**
 * struct cfs_placement_scope - regions in which the statements of a caller may
 * run; valid until the next change of the configuration
 * @route: regions of the route, as of struct cfs_route
 * @team: regions of the team, as of struct cfs_team_limits
 */
struct cfs_placement_scope
{
  uint64_t route;
  uint64_t team;
};

/** cfs_placement_reason_name() - name of a reason in replies and log lines */
const char *cfs_placement_reason_name (enum cfs_placement_reason reason);

/** cfs_placement_usable() - whether a target may be used, if need be with a
 * token */
bool cfs_placement_usable (enum cfs_placement_reason reason);

/** cfs_placement_scope() - the scope of a route and a team in the
 * configuration in force; a name that it lacks sets no limit */
struct cfs_placement_scope cfs_placement_scope (const struct cfs_fleet *fleet,
                                                const char *database,
                                                const char *team);

/**
 * cfs_placement_check() - whether a target may be used
 * @scope: scope of the caller, or NULL for statements of this program itself
 *
 * Return: PLACEMENT_ALLOWED or the reason.
 */
enum cfs_placement_reason
cfs_placement_check (const struct cfs_fleet *fleet,
                     const struct cfs_target *target,
                     const struct cfs_placement_scope *scope,
                     enum cfs_placement_use use, int64_t now);

/**
 * cfs_placement_blocked() - whether no target of a service may be used
 *
 * A statement is then rejected instead of waiting.  Not blocked while no
 * target, or for PLACEMENT_PRIMARY no primary, is known.
 *
 * Return: PLACEMENT_ALLOWED, or why the last target may not be used.
 */
enum cfs_placement_reason
cfs_placement_blocked (const struct cfs_fleet *fleet, const char *service,
                       const struct cfs_placement_scope *scope,
                       enum cfs_placement_use use, int64_t now);

/**
 * cfs_placement_routes_allow() - whether every route of a service that lists
 * regions lists this one
 */
bool cfs_placement_routes_allow (const struct cfs_catalog *catalog,
                                 const char *service, const char *region);

/** cfs_placement_is_primary() - whether a target may be the primary of its
 * service; while a failover is open, that promoted by the one before, too */
bool cfs_placement_is_primary (const struct cfs_table *targets,
                               const struct cfs_table *failovers,
                               const struct cfs_target *target);

/**
 * cfs_placement_must_move() - whether the primary is in an evacuated zone and
 * another target of its service could replace it
 * @targets: table of struct cfs_target
 * @evacuations: table of struct cfs_evacuation
 */
bool cfs_placement_must_move (const struct cfs_table *targets,
                              const struct cfs_table *evacuations,
                              const struct cfs_target *primary);

#endif
