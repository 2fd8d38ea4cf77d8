/*
 * The newest state and the newest uses replace older ones; announcements add
 * up until a heartbeat was sent.
 */
#include "pending_reports.h"

#include <glib.h>
#include <stdlib.h>

static void
free_message (Cfs__Peer *msg)
{
  cfs__peer__free_unpacked (msg, NULL);
}

static void
free_announcements (struct pending_reports *p)
{
  for (size_t i = 0; i < p->announcement_count; i++)
    free_message (p->announcements[i]);
  p->announcement_count = 0;
}

void
pending_reports_end (struct pending_reports *p)
{
  free_announcements (p);
  free (p->announcements);
  g_clear_pointer (&p->state, free_message);
  g_clear_pointer (&p->uses, free_message);
}

static void
add_announcement (struct pending_reports *p, Cfs__Peer *report)
{
  cfs_grow (&p->announcements, &p->announcement_cap, p->announcement_count,
            sizeof (Cfs__Peer *));
  p->announcements[p->announcement_count++] = report;
}

bool
pending_reports_add (struct pending_reports *p, Cfs__Peer *report)
{
  if (report->heartbeat->n_instances)
    {
      add_announcement (p, report);
      return false;
    }
  if (report->heartbeat->n_uses)
    {
      g_clear_pointer (&p->uses, free_message);
      p->uses = report;
      return true;
    }
  g_clear_pointer (&p->state, free_message);
  p->state = report;
  return pending_reports_hasty (p) || report->heartbeat->n_suspects
         || report->heartbeat->n_ack_stops;
}

bool
pending_reports_hasty (const struct pending_reports *p)
{
  return p->state
         && (p->state->heartbeat->n_reports
             || p->state->heartbeat->n_released);
}

size_t
pending_reports_suspects (const struct pending_reports *p)
{
  return p->state ? p->state->heartbeat->n_suspects : 0;
}

size_t
pending_reports_ack_stops (const struct pending_reports *p)
{
  return p->state ? p->state->heartbeat->n_ack_stops : 0;
}

static void
fill_state (const struct pending_reports *p, Cfs__Heartbeat *h)
{
  const Cfs__Heartbeat *s = p->state ? p->state->heartbeat : NULL;

  if (!s)
    return;
  h->draining = s->draining;
  h->released = s->released;
  h->n_released = s->n_released;
  h->reports = s->reports;
  h->n_reports = s->n_reports;
  h->suspects = s->suspects;
  h->n_suspects = s->n_suspects;
  h->ack_stops = s->ack_stops;
  h->n_ack_stops = s->n_ack_stops;
}

/* Lists all instances that were announced since the last heartbeat. */
static void
fill_instances (const struct pending_reports *p, Cfs__Heartbeat *h)
{
  size_t count = 0;

  for (size_t i = 0; i < p->announcement_count; i++)
    count += p->announcements[i]->heartbeat->n_instances;
  h->instances = cfs_alloc (count * sizeof *h->instances);
  for (size_t i = 0; i < p->announcement_count; i++)
    for (size_t j = 0; j < p->announcements[i]->heartbeat->n_instances; j++)
      h->instances[h->n_instances++]
          = p->announcements[i]->heartbeat->instances[j];
}

void
pending_reports_fill (const struct pending_reports *p, Cfs__Heartbeat *h)
{
  fill_state (p, h);
  fill_instances (p, h);
  if (!p->uses)
    return;
  h->uses = p->uses->heartbeat->uses;
  h->n_uses = p->uses->heartbeat->n_uses;
  h->idle_us = p->uses->heartbeat->idle_us;
}

void
pending_reports_sent (struct pending_reports *p)
{
  free_announcements (p);
  g_clear_pointer (&p->uses, free_message);
}
