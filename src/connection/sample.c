/*
 * A ring buffer of samples per service, with a minimum distance between
 * samples so that it spans the greatest maximum age in use.  A read takes the
 * oldest sample that is recent enough, because that requires the least of a
 * replica.  Samples come from the writes and transactions of callers and from
 * the control leader, which probes all primaries anyway.  The primary is
 * queried separately only if these are too old: with many hosts, such queries
 * would be as many as the statements of callers.
 */
#include "sample.h"

#include "../process/log.h"

#include <stdlib.h>
#include <string.h>

#define PART "sample"
/* Samples kept per service, and the minimum time between two of them. */
#define RING_SIZE 32
#define SPACING_US (80 * CFS_US_PER_MS)
/* Allowance for the time between the choice of a sample and the read. */
#define MARGIN_US (150 * CFS_US_PER_MS)
/* The primary is queried in advance when the newest sample becomes too old
   within this time. */
#define PREFETCH_US (300 * CFS_US_PER_MS)
/* A service without reads for longer than this is not queried in advance. */
#define RECENT_READ_US (3 * CFS_US_PER_S)
/* A query without a reply for longer than this is cancelled. */
#define QUERY_TIMEOUT_US (700 * CFS_US_PER_MS)
/* Delay after a failed query. */
#define QUERY_RETRY_US (50 * CFS_US_PER_MS)

/* Position of the primary in the reply to a request sent at requested_at. */
struct sample
{
  struct cfs_position position;
  int64_t requested_at;
};

/**
 * struct service_samples - samples of one service
 * @next: index in the ring of the next sample
 * @last_read_at: time of the last read that needed a sample
 * @min_max_age_us: smallest maximum age that a read required
 * @team: team of the last such read
 * @conn: connection of the query under way, or NULL
 * @query_sent_at: when that query was sent, or its connection acquired
 * @pause_until: no new query before this time
 */
struct service_samples
{
  char service[CFS_NAME_MAX];
  struct cfs_samples *owner;
  struct sample ring[RING_SIZE];
  size_t next;
  size_t count;
  int64_t last_read_at;
  int64_t min_max_age_us;
  char team[CFS_NAME_MAX];
  struct cfs_pooled_conn *conn;
  int64_t query_sent_at;
  int64_t pause_until;
};

struct cfs_samples
{
  struct cfs_pool *pool;
  struct service_samples **services;
  size_t count;
  size_t cap;
};

struct cfs_samples *
cfs_samples_new (struct cfs_pool *pool)
{
  struct cfs_samples *s = cfs_alloc (sizeof *s);

  s->pool = pool;
  return s;
}

void
cfs_samples_free (struct cfs_samples *s)
{
  for (size_t i = 0; i < s->count; i++)
    {
      if (s->services[i]->conn)
        cfs_pool_close_conn (s->services[i]->conn);
      free (s->services[i]);
    }
  free (s->services);
  free (s);
}

static struct service_samples *
samples_of (struct cfs_samples *s, const char *service)
{
  struct service_samples *r;

  for (size_t i = 0; i < s->count; i++)
    if (strcmp (s->services[i]->service, service) == 0)
      return s->services[i];
  cfs_grow (&s->services, &s->cap, s->count, sizeof *s->services);
  r = cfs_alloc (sizeof *r);
  cfs_copy (r->service, sizeof r->service, service);
  r->owner = s;
  s->services[s->count++] = r;
  return r;
}

static struct sample *
newest (struct service_samples *r)
{
  return r->count ? &r->ring[(r->next + RING_SIZE - 1) % RING_SIZE] : NULL;
}

void
cfs_samples_add (struct cfs_samples *s, const char *service,
                 const struct cfs_position *position, int64_t requested_at)
{
  struct service_samples *r = samples_of (s, service);
  struct sample *last = newest (r);

  if (position->term == 0
      || (last && cfs_position_compare (position, &last->position) < 0))
    return;
  if (last && requested_at <= last->requested_at)
    return;
  if (last && r->count > 1)
    {
      struct sample *before = &r->ring[(r->next + RING_SIZE - 2) % RING_SIZE];

      if (last->requested_at - before->requested_at < SPACING_US)
        {
          last->position = *position;
          last->requested_at = requested_at;
          return;
        }
    }
  r->ring[r->next].position = *position;
  r->ring[r->next].requested_at = requested_at;
  r->next = (r->next + 1) % RING_SIZE;
  if (r->count < RING_SIZE)
    r->count++;
}

static void
fail_query (struct service_samples *r, int64_t now)
{
  r->conn = NULL;
  r->pause_until = now + QUERY_RETRY_US;
}

static void
send_query (struct service_samples *r, int64_t now)
{
  struct cfs_statement begin = { .verb = VERB_BEGIN };

  r->query_sent_at = now;
  cfs_pooled_conn_send (r->conn, &begin, 1, now);
}

static void
on_opened (void *user, const struct cfs_reply *reply)
{
  struct service_samples *r = user;

  if (reply->code != REPLY_OK)
    fail_query (r, cfs_pool_now (r->owner->pool));
  else
    send_query (r, cfs_pool_now (r->owner->pool));
}

static void
on_replied (void *user, const struct cfs_reply *reply)
{
  struct service_samples *r = user;
  struct cfs_statement end = { .verb = VERB_ROLLBACK };
  struct cfs_pooled_conn *conn = r->conn;
  int64_t now = cfs_pool_now (r->owner->pool);

  if (reply->code == REPLY_OK)
    {
      cfs_samples_add (r->owner, r->service, &reply->position,
                       r->query_sent_at);
      r->conn = NULL;
    }
  else
    {
      if (reply->code == REPLY_NOT_PRIMARY)
        cfs_pool_note_not_primary (r->owner->pool,
                                   cfs_pooled_conn_target (conn), now);
      fail_query (r, now);
    }
  if (reply->state != TX_IDLE)
    cfs_pooled_conn_send (conn, &end, 1, now);
  cfs_pool_release (conn, now);
}

static void
on_lost (void *user, const char *reason)
{
  struct service_samples *r = user;

  (void)reason;
  fail_query (r, cfs_pool_now (r->owner->pool));
}

static const struct cfs_pooled_conn_events events
    = { on_opened, on_replied, on_lost };

static void
start_query (struct service_samples *r, int64_t now)
{
  const struct cfs_target *primary
      = cfs_pool_primary (r->owner->pool, r->service, NULL, now);
  const char *idle_team;
  bool opening;

  if (r->conn || now < r->pause_until || !primary)
    return;
  idle_team = cfs_pool_idle_team (r->owner->pool, primary->id);
  r->query_sent_at = now;
  r->conn = cfs_pool_acquire (r->owner->pool, primary->id,
                              idle_team ? idle_team : r->team, &events, r, now,
                              &opening);
  if (!r->conn)
    fail_query (r, now);
  else if (!opening)
    send_query (r, now);
}

bool
cfs_samples_min_position (struct cfs_samples *s, const char *service,
                          int64_t max_age_us, const char *team, int64_t now,
                          struct cfs_position *out)
{
  struct service_samples *r = samples_of (s, service);

  r->last_read_at = now;
  if (!r->min_max_age_us || max_age_us < r->min_max_age_us)
    r->min_max_age_us = max_age_us;
  cfs_copy (r->team, sizeof r->team, team);
  for (size_t i = 0; i < r->count; i++)
    {
      size_t at = (r->next + RING_SIZE - r->count + i) % RING_SIZE;

      if (r->ring[at].requested_at < now - max_age_us + MARGIN_US)
        continue;
      *out = r->ring[at].position;
      return true;
    }
  start_query (r, now);
  return false;
}

static void
tick_service (struct service_samples *r, int64_t now)
{
  const struct sample *last = newest (r);

  if (r->conn && now - r->query_sent_at > QUERY_TIMEOUT_US)
    {
      cfs_log (CFS_NOTICE, PART,
               "service=%s target=%s position query timed out", r->service,
               cfs_pooled_conn_target (r->conn));
      cfs_pool_close_conn (r->conn);
      fail_query (r, now);
    }
  if (r->last_read_at && now - r->last_read_at < RECENT_READ_US
      && (!last
          || now - last->requested_at
                 > r->min_max_age_us - MARGIN_US - PREFETCH_US))
    start_query (r, now);
}

void
cfs_samples_tick (struct cfs_samples *s, int64_t now)
{
  for (size_t i = 0; i < s->count; i++)
    tick_service (s->services[i], now);
}
