/*
 * Reports are ordered by the incarnation of the sender first and by its
 * sequence number second, so a delayed report never overwrites what a later
 * incarnation sent.  The entry of an instance that is gone stays as a
 * tombstone for the same reason.
 *
 * An entry without an incarnation, or with an address or a name that cannot be
 * one, was recorded by a version that accepted such reports.  It names no
 * instance, counts as gone, and can have acknowledged no commit.
 *
 * How a target departed is told by its entry: one that left has the mark of a
 * draining target, since it may do nothing else than end; one that fell silent
 * or whose address another one reported may still run.
 */
#include "targets.h"

#include "settings.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* Decimal digits of the largest incarnation. */
#define INCARNATION_DIGITS 20

bool
cfs_target_is_newer (const struct cfs_target *current, uint64_t incarnation,
                     uint64_t sequence)
{
  if (incarnation != current->incarnation)
    return incarnation > current->incarnation;
  return sequence > current->sequence;
}

bool
cfs_target_affects_routing (const struct cfs_target *known,
                            const struct cfs_target *next)
{
  return !known || known->incarnation != next->incarnation || known->gone
         || known->primary != next->primary
         || known->draining != next->draining || known->slots != next->slots
         || (known->cold_ms > 0) != (next->cold_ms > 0)
         || known->returned != next->returned
         || strcmp (known->address, next->address) != 0
         || strcmp (known->service, next->service) != 0
         || strcmp (known->zone, next->zone) != 0;
}

/* Whether a report comes from the very process that an entry describes. */
static bool
is_same_process (const struct cfs_target *known,
                 const struct cfs_target *report)
{
  return known && known->incarnation == report->incarnation
         && strcmp (known->service, report->service) == 0
         && strcmp (known->address, report->address) == 0;
}

const struct cfs_target *
cfs_targets_holder (const struct cfs_table *targets, const char *id,
                    const char *address)
{
  const struct cfs_target *found = NULL;

  for (size_t i = 0; i < targets->count; i++)
    {
      const struct cfs_target *t = cfs_table_at (targets, i);

      if (!t->gone && strcmp (t->id, id) != 0
          && strcmp (t->address, address) == 0
          && (!found || t->incarnation > found->incarnation))
        found = t;
    }
  return found;
}

/* Whether a later target than the one that reports is at its address. */
static bool
address_is_taken (const struct cfs_table *targets, const char *id,
                  uint64_t incarnation, const char *address)
{
  const struct cfs_target *t = cfs_targets_holder (targets, id, address);

  return t && t->incarnation > incarnation;
}

enum cfs_report_effect
cfs_target_report_effect (const struct cfs_table *targets, bool configured,
                          struct cfs_target *report)
{
  const struct cfs_target *known = cfs_table_find (targets, report->id);

  if (!configured && !is_same_process (known, report))
    return REPORT_FOREIGN;
  if (address_is_taken (targets, report->id, report->incarnation,
                        report->address))
    return REPORT_OUTDATED;
  if (!known || report->incarnation > known->incarnation)
    return REPORT_CURRENT;
  if (report->incarnation < known->incarnation
      || (known->gone && report->sequence <= known->sequence))
    return REPORT_OUTDATED;
  if (report->sequence <= known->sequence)
    report->sequence = known->sequence + 1;
  report->draining |= known->draining && !known->gone;
  return REPORT_CURRENT;
}

bool
cfs_target_mark_left (struct cfs_target *t, uint64_t incarnation)
{
  if (incarnation && incarnation < t->incarnation)
    return false;
  if (incarnation > t->incarnation)
    {
      t->incarnation = incarnation;
      t->sequence = 0;
    }
  t->gone = true;
  t->draining = true;
  t->sequence++;
  return true;
}

bool
cfs_target_has_left (const struct cfs_target *t)
{
  return t->gone && t->draining;
}

bool
cfs_target_is_unproven (const struct cfs_target *t)
{
  return t->gone && t->slots > 0;
}

void
cfs_target_mark_proven (struct cfs_target *t)
{
  t->slots = 0;
  t->sequence++;
}

void
cfs_target_to_message (const struct cfs_target *t, Cfs__Target *out)
{
  cfs__target__init (out);
  out->id = (char *)t->id;
  out->service = (char *)t->service;
  out->address = (char *)t->address;
  out->zone = (char *)t->zone;
  out->slots = t->slots;
  out->primary = t->primary;
  out->draining = t->draining;
  out->gone = t->gone;
  out->born = t->incarnation;
  out->sequence = t->sequence;
  out->changed = t->changed;
  out->claimed = t->claimed;
  out->cold_ms = t->cold_ms;
  out->returned = t->returned;
}

/* Whether an entry can name an instance to use.  Id, service and zone are
   written into lines. */
static bool
is_usable (const char *id, const Cfs__Target *in)
{
  char host[CFS_NAME_MAX];

  return in->born && cfs_is_word (id) && cfs_is_word (in->service)
         && cfs_is_word (in->zone)
         && cfs_split_address (in->address, host, sizeof host);
}

void
cfs_target_from_message (struct cfs_target *t, const Cfs__Target *in)
{
  cfs_copy (t->service, sizeof t->service, in->service);
  cfs_copy (t->address, sizeof t->address, in->address);
  cfs_copy (t->zone, sizeof t->zone, in->zone);
  t->slots = in->slots;
  t->primary = in->primary;
  t->draining = in->draining;
  t->gone = in->gone || !is_usable (t->id, in);
  if (!is_usable (t->id, in))
    t->slots = 0;
  t->incarnation = in->born;
  t->sequence = in->sequence;
  t->changed = in->changed;
  t->claimed = in->claimed;
  t->cold_ms = in->cold_ms;
  t->returned = in->returned;
}

void
cfs_failover_to_message (const struct cfs_failover *f, Cfs__Turn *out)
{
  cfs__turn__init (out);
  out->service = (char *)f->service;
  out->open = f->open;
  out->retried = f->retried;
  out->target = (char *)f->target;
  out->fence = f->fence;
  out->changed = f->changed;
}

void
cfs_failover_from_message (struct cfs_failover *f, const Cfs__Turn *in)
{
  f->open = in->open;
  f->retried = in->retried;
  cfs_copy (f->target, sizeof f->target, in->target);
  f->fence = in->fence;
  f->changed = in->changed;
}

/* Only one instance can run at an address, so an earlier one there is gone. */
static void
supersede (struct cfs_table *targets, const Cfs__Target *in, uint64_t index)
{
  for (size_t i = 0; i < targets->count; i++)
    {
      struct cfs_target *t = cfs_table_at (targets, i);

      if (t->gone || strcmp (t->id, in->id) == 0 || t->incarnation >= in->born
          || strcmp (t->address, in->address) != 0)
        continue;
      t->gone = true;
      t->changed = index;
    }
}

/* The entry of a later incarnation must not hide a departure that is not
   proven, so that one goes on under a name of its own.  No target answers to
   that, which shows that the incarnation has ended.  One that did not leave
   came back with its log; but a primary does so as the primary. */
static void
keep_departure (struct cfs_table *targets, const struct cfs_target *t,
                const Cfs__Target *in, uint64_t index)
{
  bool lost_primary = !t->gone && t->claimed && !in->primary;
  struct cfs_target departed = *t;
  struct cfs_target *kept;
  char suffix[INCARNATION_DIGITS + 2];
  int length = snprintf (suffix, sizeof suffix, "~%" PRIu64, t->incarnation);

  if (!lost_primary
      && (!cfs_target_has_left (t) || !cfs_target_is_unproven (t)))
    return;
  snprintf (departed.id, sizeof departed.id, "%.*s%s",
            CFS_NAME_MAX - 1 - length, t->id, suffix);
  if (!departed.gone)
    departed.changed = index;
  departed.gone = true;
  kept = cfs_table_add (targets, departed.id);
  *kept = departed;
}

bool
cfs_targets_apply (struct cfs_table *targets, const Cfs__Target *in,
                   uint64_t index)
{
  struct cfs_target *t = cfs_table_find (targets, in->id);
  uint64_t claimed = 0;
  bool arrives;

  if (!*in->id)
    return false;
  if (t && !cfs_target_is_newer (t, in->born, in->sequence))
    return false;
  if (!in->gone && address_is_taken (targets, in->id, in->born, in->address))
    return false;
  arrives = !in->gone
            && (!t || t->gone || t->incarnation != in->born
                || strcmp (t->address, in->address) != 0);
  if (t && in->born > t->incarnation)
    keep_departure (targets, t, in, index);
  t = cfs_table_add (targets, in->id);
  if (in->primary)
    claimed = t->primary && t->incarnation == in->born ? t->claimed : index;
  cfs_target_from_message (t, in);
  t->changed = index;
  t->claimed = claimed;
  if (arrives)
    supersede (targets, in, index);
  return true;
}

bool
cfs_failovers_apply (struct cfs_table *failovers, const Cfs__Turn *in,
                     uint64_t index)
{
  struct cfs_failover *f;

  if (!*in->service)
    return false;
  f = cfs_table_add (failovers, in->service);
  if (!in->open && (!f->open || f->fence != in->fence))
    return false;
  f->retried = f->open && in->open;
  f->open = in->open;
  if (in->open)
    f->fence = index;
  else if (*in->target)
    cfs_copy (f->target, sizeof f->target, in->target);
  f->changed = index;
  return true;
}

const struct cfs_target *
cfs_targets_presumed_primary (const struct cfs_table *targets,
                              const struct cfs_table *failovers,
                              const char *service)
{
  const struct cfs_failover *failover = cfs_table_find (failovers, service);
  const struct cfs_target *best = NULL;
  uint64_t best_at = 0;

  for (size_t i = 0; i < targets->count; i++)
    {
      const struct cfs_target *t = cfs_table_at (targets, i);
      bool promoted = failover && !failover->open
                      && strcmp (failover->target, t->id) == 0;
      uint64_t at = t->claimed;

      if (promoted && failover->changed > at)
        at = failover->changed;
      if (t->gone || at == 0 || strcmp (t->service, service) != 0)
        continue;
      if (best && at <= best_at)
        continue;
      best = t;
      best_at = at;
    }
  return best;
}

const struct cfs_target *
cfs_targets_primary (const struct cfs_table *targets,
                     const struct cfs_table *failovers, const char *service)
{
  const struct cfs_failover *failover = cfs_table_find (failovers, service);

  if (failover && failover->open && failover->retried)
    return NULL;
  return cfs_targets_presumed_primary (targets, failovers, service);
}

bool
cfs_targets_may_drop (const struct cfs_table *targets,
                      const struct cfs_table *failovers,
                      const struct cfs_target *target)
{
  return !target->gone
         && cfs_targets_presumed_primary (targets, failovers, target->service)
                != target;
}
