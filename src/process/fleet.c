/*
 * The lease is extended last, after everything else of the reply has been
 * applied, so that a renewed lease never covers an older configuration or
 * misses an evacuation: a host that was cut off learns of both before it
 * serves again.
 */
#include "fleet.h"

#include "log.h"

#include <inttypes.h>
#include <string.h>

#define PART "fleet"
/* A statement reaches its target within this time after the target was chosen,
   connecting and preparing the connection included. */
#define DRAIN_MARGIN_US (1 * CFS_US_PER_S)

void
cfs_fleet_init (struct cfs_fleet *f, const struct cfs_settings *settings,
                const struct cfs_document_decoder *decoder)
{
  memset (f, 0, sizeof *f);
  f->settings = settings;
  f->decoder = decoder;
  cfs_table_init (&f->targets, sizeof (struct cfs_target));
  cfs_table_init (&f->failovers, sizeof (struct cfs_failover));
  cfs_table_init (&f->drains, sizeof (struct fleet_drain));
  cfs_evacuations_init (&f->evacuations);
}

void
cfs_fleet_end (struct cfs_fleet *f)
{
  cfs_catalog_free (f->catalog);
  cfs_table_end (&f->targets);
  cfs_table_end (&f->failovers);
  cfs_table_end (&f->drains);
  cfs_table_end (&f->evacuations);
}

/* Returns whether the catalog is at the version of the reply or later. */
static bool
update_catalog (struct cfs_fleet *f, const Cfs__HeartbeatReply *r)
{
  GError *error = NULL;
  struct cfs_catalog *decoded;

  if (f->catalog && f->catalog->version >= r->version)
    return true;
  if (!*r->document)
    return false;
  decoded = f->decoder->decode (r->document, r->version, &error);
  if (!decoded)
    {
      cfs_log (CFS_ERR, PART,
               "configuration version %" PRIu64 " cannot be decoded: %s",
               r->version, error->message);
      g_error_free (error);
      return false;
    }
  cfs_catalog_free (f->catalog);
  f->catalog = decoded;
  cfs_log (CFS_NOTICE, PART, "version=%" PRIu64 " is in force on this host",
           decoded->version);
  return true;
}

int64_t
cfs_fleet_informed_at (const struct cfs_fleet *f)
{
  if (!f->lease_until)
    return INT64_MIN / 2;
  return f->lease_until - f->settings->document_lease_us;
}

/* The reply before the one that tells of the draining was written without it,
   after its heartbeat had been sent, so the draining was acknowledged later
   than that.  A host that starts or was cut off does not know when. */
static void
note_drain (struct cfs_fleet *f, const struct cfs_target *t)
{
  struct fleet_drain *d;

  if (t->gone || !t->draining)
    return;
  d = cfs_table_add (&f->drains, t->id);
  if (d->incarnation == t->incarnation)
    return;
  d->incarnation = t->incarnation;
  d->since = cfs_fleet_informed_at (f);
  cfs_log (CFS_NOTICE, PART,
           "target=%s service=%s drains since_us=%" PRId64
           ", gets no statement from until_us=%" PRId64,
           t->id, t->service, d->since,
           d->since + f->settings->drain_us - DRAIN_MARGIN_US);
}

static void
update_targets (struct cfs_fleet *f, const Cfs__HeartbeatReply *r)
{
  for (size_t i = 0; i < r->n_targets; i++)
    {
      const Cfs__Target *in = r->targets[i];
      struct cfs_target *t = cfs_table_add (&f->targets, in->id);

      if (in->changed <= t->changed)
        continue;
      cfs_target_from_message (t, in);
      cfs_log (CFS_INFO, PART,
               "target=%s service=%s primary=%d draining=%d gone=%d cold=%d "
               "born=%" PRIu64 " index=%" PRIu64,
               t->id, t->service, t->primary, t->draining, t->gone,
               t->cold_ms > 0 || t->returned, t->incarnation, t->changed);
      note_drain (f, t);
    }
  for (size_t i = 0; i < r->n_turns; i++)
    cfs_failover_from_message (
        cfs_table_add (&f->failovers, r->turns[i]->service), r->turns[i]);
}

/* A list that arrives late does not replace a newer one.  The leader wrote it
   after this host had sent its heartbeat. */
static void
update_evacuations (struct cfs_fleet *f, const Cfs__HeartbeatReply *r)
{
  if (r->evacuations_changed <= f->evacuations_index)
    return;
  cfs_evacuations_replace (&f->evacuations, r->evacuations, r->n_evacuations,
                           r->lease_until_us - f->settings->document_lease_us);
  f->evacuations_index = r->evacuations_changed;
  cfs_log (CFS_NOTICE, PART, "evacuated_zones=%zu index=%" PRIu64,
           f->evacuations.count, f->evacuations_index);
  for (size_t i = 0; i < f->evacuations.count; i++)
    {
      const struct cfs_evacuation *e = cfs_table_at (&f->evacuations, i);

      cfs_log (CFS_NOTICE, PART, "zone=%s is evacuated, index=%" PRIu64,
               e->zone, e->changed);
    }
}

bool
cfs_fleet_update (struct cfs_fleet *f, const Cfs__HeartbeatReply *r)
{
  uint64_t old_version = f->catalog ? f->catalog->version : 0;
  bool current = r->version > 0 && update_catalog (f, r);

  update_targets (f, r);
  update_evacuations (f, r);
  if (r->live_hosts)
    f->live_hosts = r->live_hosts;
  if (current && r->lease_until_us > f->lease_until)
    f->lease_until = r->lease_until_us;
  return f->catalog && f->catalog->version != old_version;
}

bool
cfs_fleet_has_lease (const struct cfs_fleet *f, int64_t now)
{
  return f->catalog && now < f->lease_until;
}

bool
cfs_fleet_drain_expired (const struct cfs_fleet *f, const struct cfs_target *t,
                         int64_t now)
{
  const struct fleet_drain *d;

  if (!t->draining)
    return false;
  d = cfs_table_find (&f->drains, t->id);
  return !d || d->incarnation != t->incarnation
         || now - d->since >= f->settings->drain_us - DRAIN_MARGIN_US;
}

const struct cfs_target *
cfs_fleet_target (const struct cfs_fleet *f, const char *id)
{
  const struct cfs_target *t = cfs_table_find (&f->targets, id);

  return t && !t->gone ? t : NULL;
}

bool
cfs_fleet_in_region (const struct cfs_fleet *f, const char *zone)
{
  return strcmp (cfs_settings_region (f->settings, zone),
                 cfs_settings_region (f->settings, f->settings->zone))
         == 0;
}
