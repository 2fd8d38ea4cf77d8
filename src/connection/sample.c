/*
 * A ring of samples a service, spaced so that it spans the greatest age in
 * use.  A read takes the oldest sample that is young enough: it asks the
 * least of a replica.  Most samples come with the writes and transactions
 * that pass; the primary is asked for its own sake only where these are too
 * few.
 */
#include "sample.h"

#include "../process/log.h"

#include <stdlib.h>
#include <string.h>

#define PART "sample"
/* Samples kept a service, and the least time between two of them. */
#define RING 32
#define SPACING_US (80 * CFS_US_PER_MS)
/* Time that may pass between the choice of a sample and the read. */
#define MARGIN_US (150 * CFS_US_PER_MS)
/* Part of the greatest age after which the primary is asked ahead. */
#define AHEAD_DIVISOR 2
/* A service without reads for longer is not asked ahead. */
#define WANTED_US (3 * CFS_US_PER_S)
/* An answer that takes longer is given up. */
#define ASK_MAX_US (700 * CFS_US_PER_MS)
/* Pause after a question that failed. */
#define PAUSE_US (50 * CFS_US_PER_MS)

struct sample
{
  struct cfs_position position;
  int64_t asked_at;
};

struct row
{
  char service[CFS_NAME_MAX];
  struct cfs_samples *owner;
  struct sample ring[RING];
  size_t next;
  size_t count;
  int64_t wanted_at;
  int64_t wanted_age;
  char team[CFS_NAME_MAX];
  struct cfs_pooled_conn *link;
  int64_t asked_at;
  int64_t pause_until;
};

struct cfs_samples
{
  struct cfs_pool *pool;
  struct row **rows;
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
      if (s->rows[i]->link)
        cfs_pool_close_conn (s->rows[i]->link);
      free (s->rows[i]);
    }
  free (s->rows);
  free (s);
}

static struct row *
row_of (struct cfs_samples *s, const char *service)
{
  struct row *r;

  for (size_t i = 0; i < s->count; i++)
    if (strcmp (s->rows[i]->service, service) == 0)
      return s->rows[i];
  cfs_grow (&s->rows, &s->cap, s->count, sizeof *s->rows);
  r = cfs_alloc (sizeof *r);
  cfs_copy (r->service, sizeof r->service, service);
  r->owner = s;
  s->rows[s->count++] = r;
  return r;
}

static struct sample *
newest (struct row *r)
{
  return r->count ? &r->ring[(r->next + RING - 1) % RING] : NULL;
}

void
cfs_samples_add (struct cfs_samples *s, const char *service,
                 const struct cfs_position *position, int64_t asked_at)
{
  struct row *r = row_of (s, service);
  struct sample *last = newest (r);

  if (position->term == 0
      || (last && cfs_position_compare (position, &last->position) < 0))
    return;
  if (last && asked_at <= last->asked_at)
    return;
  if (last && r->count > 1)
    {
      struct sample *before = &r->ring[(r->next + RING - 2) % RING];

      if (last->asked_at - before->asked_at < SPACING_US)
        {
          last->position = *position;
          last->asked_at = asked_at;
          return;
        }
    }
  r->ring[r->next].position = *position;
  r->ring[r->next].asked_at = asked_at;
  r->next = (r->next + 1) % RING;
  if (r->count < RING)
    r->count++;
}

static void
stop_asking (struct row *r, int64_t now)
{
  r->link = NULL;
  r->pause_until = now + PAUSE_US;
}

static void
ask (struct row *r, int64_t now)
{
  struct cfs_statement begin = { .verb = VERB_BEGIN };

  r->asked_at = now;
  cfs_pooled_conn_send (r->link, &begin, 1, now);
}

static void
on_opened (void *holder, const struct cfs_reply *reply)
{
  struct row *r = holder;

  if (reply->code != REPLY_OK)
    stop_asking (r, cfs_pool_now (r->owner->pool));
  else
    ask (r, cfs_pool_now (r->owner->pool));
}

static void
on_replied (void *holder, const struct cfs_reply *reply)
{
  struct row *r = holder;
  struct cfs_statement end = { .verb = VERB_ROLLBACK };
  struct cfs_pooled_conn *link = r->link;
  int64_t now = cfs_pool_now (r->owner->pool);

  if (reply->code == REPLY_OK)
    {
      cfs_samples_add (r->owner, r->service, &reply->position, r->asked_at);
      r->link = NULL;
    }
  else
    {
      if (reply->code == REPLY_NOT_PRIMARY)
        cfs_pool_note_not_primary (r->owner->pool,
                                   cfs_pooled_conn_target (link), now);
      stop_asking (r, now);
    }
  if (reply->state != TX_IDLE)
    cfs_pooled_conn_send (link, &end, 1, now);
  cfs_pool_release (link, now);
}

static void
on_lost (void *holder, const char *reason)
{
  struct row *r = holder;

  (void)reason;
  stop_asking (r, cfs_pool_now (r->owner->pool));
}

static const struct cfs_pooled_conn_events events
    = { on_opened, on_replied, on_lost };

static void
start_asking (struct row *r, int64_t now)
{
  const struct cfs_target *primary
      = cfs_pool_primary (r->owner->pool, r->service, now);
  const char *idle;
  bool opening;

  if (r->link || now < r->pause_until || !primary)
    return;
  idle = cfs_pool_idle_team (r->owner->pool, primary->id);
  r->asked_at = now;
  r->link
      = cfs_pool_acquire (r->owner->pool, primary->id, idle ? idle : r->team,
                          &events, r, now, &opening);
  if (!r->link)
    stop_asking (r, now);
  else if (!opening)
    ask (r, now);
}

bool
cfs_samples_min_position (struct cfs_samples *s, const char *service,
                          int64_t max_age_us, const char *team, int64_t now,
                          struct cfs_position *out)
{
  struct row *r = row_of (s, service);

  r->wanted_at = now;
  if (!r->wanted_age || max_age_us < r->wanted_age)
    r->wanted_age = max_age_us;
  cfs_copy (r->team, sizeof r->team, team);
  for (size_t i = 0; i < r->count; i++)
    {
      size_t at = (r->next + RING - r->count + i) % RING;

      if (r->ring[at].asked_at < now - max_age_us + MARGIN_US)
        continue;
      *out = r->ring[at].position;
      return true;
    }
  start_asking (r, now);
  return false;
}

static void
tick_row (struct row *r, int64_t now)
{
  const struct sample *last = newest (r);

  if (r->link && now - r->asked_at > ASK_MAX_US)
    {
      cfs_log (CFS_NOTICE, PART, "service=%s target=%s gives no position",
               r->service, cfs_pooled_conn_target (r->link));
      cfs_pool_close_conn (r->link);
      stop_asking (r, now);
    }
  if (r->wanted_at && now - r->wanted_at < WANTED_US
      && (!last || now - last->asked_at > r->wanted_age / AHEAD_DIVISOR))
    start_asking (r, now);
}

void
cfs_samples_tick (struct cfs_samples *s, int64_t now)
{
  for (size_t i = 0; i < s->count; i++)
    tick_row (s->rows[i], now);
}
