/**
 * DOC: Evacuations: zones whose targets are to be left by all statements.
 *
 * The orders of operators are commands of the replicated log, which decides
 * their order.  The replicated state, the control hosts and the session hosts
 * each keep a table of the evacuations in force.  No I/O; no clock is read.
 */
#ifndef CFS_EVACUATION_H
#define CFS_EVACUATION_H

#include "../cfs.h"
#include "table.h"
#include "wire.pb-c.h"

/* Maximum number of zones that are evacuated at a time; as many as the
   settings may name. */
#define EVACUATIONS_MAX 64

/**
 * struct cfs_evacuation - a zone that is being evacuated
 * @zone: name of the zone, key of the table
 * @changed: log index of the order that started it
 * @since: when this host, or the one that told it, learned of it; 0 in the
 * replicated state
 */
struct cfs_evacuation
{
  char zone[CFS_NAME_MAX];
  uint64_t changed;
  int64_t since;
};

/** cfs_evacuation_zone_valid() - whether a text can be the name of a zone: a
 * word that fits and has no slash */
bool cfs_evacuation_zone_valid (const char *zone);

/** cfs_evacuations_init() - no zone is evacuated */
void cfs_evacuations_init (struct cfs_table *table);

/** cfs_evacuations_contain() - whether a zone is evacuated */
bool cfs_evacuations_contain (const struct cfs_table *table, const char *zone);

/**
 * cfs_evacuations_apply() - applies a committed order
 * @table: table of struct cfs_evacuation
 * @order: an order that changes nothing, names no valid zone, or would exceed
 * EVACUATIONS_MAX is ignored
 * @index: log index of the order
 *
 * Return: whether the table changed.
 */
bool cfs_evacuations_apply (struct cfs_table *table,
                            const Cfs__Evacuation *order, uint64_t index);

/**
 * cfs_evacuations_replace() - replaces a table by a received list
 * @list: @count evacuations; those beyond EVACUATIONS_MAX are ignored
 * @sent_at: a time by the clock of this host that is not after the one at
 * which the list was written, 0 if times do not matter
 *
 * An evacuation that is known already keeps the earlier start.
 */
void cfs_evacuations_replace (struct cfs_table *table,
                              Cfs__Evacuation *const *list, size_t count,
                              int64_t sent_at);

/**
 * cfs_evacuations_track() - brings a copy up to date with the replicated state
 * @copy: entries get @now as their start when they are new
 * @state: table of the replicated state
 */
void cfs_evacuations_track (struct cfs_table *copy,
                            const struct cfs_table *state, int64_t now);

/** cfs_evacuation_to_message() - fills a message that points into @in */
void cfs_evacuation_to_message (const struct cfs_evacuation *in,
                                Cfs__Evacuation *out, int64_t now);

#endif
