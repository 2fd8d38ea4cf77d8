/*
 * A table holds only the evacuations in force.  Hosts get the whole list when
 * it has changed, so a stop needs no entry of its own that would have to be
 * kept for hosts that were cut off.  An evacuation that was stopped and
 * started again has another log index, and its time counts anew.
 */
#include "evacuation.h"

#include <string.h>

bool
cfs_evacuation_zone_valid (const char *zone)
{
  return cfs_is_word (zone) && strlen (zone) < CFS_NAME_MAX
         && !strchr (zone, '/');
}

void
cfs_evacuations_init (struct cfs_table *t)
{
  cfs_table_init (t, sizeof (struct cfs_evacuation));
}

bool
cfs_evacuations_contain (const struct cfs_table *t, const char *zone)
{
  return t->count && cfs_table_find (t, zone);
}

static bool
remove_zone (struct cfs_table *t, const char *zone)
{
  struct cfs_evacuation *e = cfs_table_find (t, zone);

  if (!e)
    return false;
  cfs_table_remove (t, cfs_table_index (t, e));
  return true;
}

bool
cfs_evacuations_apply (struct cfs_table *t, const Cfs__Evacuation *order,
                       uint64_t index)
{
  struct cfs_evacuation *e;

  if (!cfs_evacuation_zone_valid (order->zone))
    return false;
  if (!order->active)
    return remove_zone (t, order->zone);
  if (cfs_evacuations_contain (t, order->zone) || t->count >= EVACUATIONS_MAX)
    return false;
  e = cfs_table_add (t, order->zone);
  e->changed = index;
  return true;
}

static bool
is_listed (const struct cfs_evacuation *e, Cfs__Evacuation *const *list,
           size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (list[i]->changed == e->changed && strcmp (list[i]->zone, e->zone) == 0)
      return true;
  return false;
}

static void
update_start (struct cfs_evacuation *e, const Cfs__Evacuation *in,
              int64_t sent_at)
{
  int64_t since = sent_at - (in->age_us > 0 ? in->age_us : 0);

  if (e->changed != in->changed || since < e->since)
    e->since = since;
  e->changed = in->changed;
}

void
cfs_evacuations_replace (struct cfs_table *t, Cfs__Evacuation *const *list,
                         size_t count, int64_t sent_at)
{
  for (size_t i = t->count; i > 0; i--)
    if (!is_listed (cfs_table_at (t, i - 1), list, count))
      cfs_table_remove (t, i - 1);
  for (size_t i = 0; i < count; i++)
    if (cfs_evacuation_zone_valid (list[i]->zone)
        && (cfs_evacuations_contain (t, list[i]->zone)
            || t->count < EVACUATIONS_MAX))
      update_start (cfs_table_add (t, list[i]->zone), list[i], sent_at);
}

void
cfs_evacuations_track (struct cfs_table *copy, const struct cfs_table *state,
                       int64_t now)
{
  for (size_t i = copy->count; i > 0; i--)
    {
      const struct cfs_evacuation *e = cfs_table_at (copy, i - 1);

      if (!cfs_evacuations_contain (state, e->zone))
        cfs_table_remove (copy, i - 1);
    }
  for (size_t i = 0; i < state->count; i++)
    {
      const struct cfs_evacuation *in = cfs_table_at (state, i);
      struct cfs_evacuation *e = cfs_table_add (copy, in->zone);

      if (e->changed != in->changed)
        e->since = now;
      e->changed = in->changed;
    }
}

void
cfs_evacuation_to_message (const struct cfs_evacuation *in,
                           Cfs__Evacuation *out, int64_t now)
{
  cfs__evacuation__init (out);
  out->zone = (char *)in->zone;
  out->active = true;
  out->changed = in->changed;
  out->age_us = in->since ? now - in->since : 0;
}
