/*
 * A token bucket a team whose rate is the share, and single tokens beside
 * it.  Shares alone refuse a team within its rate where it sends little
 * through many hosts; tokens alone cost a message a request and nothing
 * passes while the control leader changes.
 */
#include "quota.h"

#include "../process/shares.h"

#include <string.h>

/* Span over which demand is counted. */
#define DEMAND_SPAN_US (500 * CFS_US_PER_MS)
/* Part of the difference by which demand falls each span. */
#define DEMAND_DECAY 0.2
/* Tokens are asked for ahead, for what is likely to come in this time. */
#define PREFETCH_US (200 * CFS_US_PER_MS)
/* An ask without an answer is given up after this time. */
#define REPLY_TIMEOUT_US (120 * CFS_US_PER_MS)
/* Pause after an ask that was not granted in full. */
#define DENIED_US (60 * CFS_US_PER_MS)
/* No tokens are asked for ahead for this time after one was denied. */
#define PRESSED_US (2 * CFS_US_PER_S)
/* An operation waits for a token of the share that comes within this time. */
#define SHARE_WAIT_MAX_US (120 * CFS_US_PER_MS)
/* Least depth of a bucket with a share, or no operation would ever pass. */
#define CAPACITY_MIN 1.0

void
cfs_quota_init (struct cfs_quota *q, int64_t now)
{
  cfs_table_init (&q->rows, sizeof (struct cfs_quota_team));
  q->until = 0;
  q->used_at = now;
}

void
cfs_quota_end (struct cfs_quota *q)
{
  cfs_table_end (&q->rows);
}

static void
refill (struct cfs_quota_team *r, int64_t now)
{
  if (now > r->filled_at)
    r->level += r->share * (double)(now - r->filled_at) / CFS_US_PER_S;
  r->filled_at = now;
  if (r->level > r->depth)
    r->level = r->depth;
}

static const Cfs__TeamShare *
find_share (Cfs__TeamShare *const *shares, size_t count, const char *team)
{
  for (size_t i = 0; i < count; i++)
    if (strcmp (shares[i]->team, team) == 0)
      return shares[i];
  return NULL;
}

static void
set_share (struct cfs_quota_team *r, const Cfs__TeamShare *in,
           const struct cfs_team_limits *team, int64_t now)
{
  refill (r, now);
  r->known = in && in->known;
  r->share = 0;
  r->depth = 0;
  if (in && team && team->rate > 0 && in->share > 0)
    {
      r->share = in->share;
      r->depth = team->burst * r->share / team->rate;
      if (r->depth < CAPACITY_MIN)
        r->depth = CAPACITY_MIN;
    }
  refill (r, now);
}

void
cfs_quota_update (struct cfs_quota *q, Cfs__TeamShare *const *shares,
                  size_t count, const struct cfs_catalog *catalog,
                  int64_t until, int64_t now)
{
  for (size_t i = 0; i < count; i++)
    cfs_table_add (&q->rows, shares[i]->team);
  for (size_t i = 0; i < q->rows.count; i++)
    {
      struct cfs_quota_team *r = cfs_table_at (&q->rows, i);

      set_share (r, find_share (shares, count, r->team),
                 cfs_catalog_team (catalog, r->team), now);
    }
  cfs_quota_renew (q, until);
}

void
cfs_quota_renew (struct cfs_quota *q, int64_t until)
{
  if (until > q->until)
    q->until = until;
}

/* Closes spans that are over. */
static void
count_spans (struct cfs_quota_team *r, int64_t now)
{
  double rate;

  if (now - r->counted_at < DEMAND_SPAN_US)
    return;
  rate = r->asked * CFS_US_PER_S / (double)(now - r->counted_at);
  if (rate >= r->demand)
    r->demand = rate;
  else
    r->demand += (rate - r->demand) * DEMAND_DECAY;
  r->asked = 0;
  r->counted_at = now;
}

void
cfs_quota_count_demand (struct cfs_quota *q, const char *team, int64_t now)
{
  struct cfs_quota_team *r = cfs_table_add (&q->rows, team);

  if (!r->counted_at)
    r->counted_at = now - DEMAND_SPAN_US / 2;
  count_spans (r, now);
  r->asked++;
}

static uint32_t
tokens_held (const struct cfs_quota_team *r, int64_t now)
{
  uint32_t held = 0;

  for (size_t i = 0; i < QUOTA_GRANTS_MAX; i++)
    if (now < r->grants[i].until)
      held += r->grants[i].count;
  return held;
}

static bool
take_token (struct cfs_quota_team *r, int64_t now)
{
  for (size_t i = 0; i < QUOTA_GRANTS_MAX; i++)
    if (r->grants[i].count && now < r->grants[i].until)
      {
        r->grants[i].count--;
        return true;
      }
  return false;
}

bool
cfs_quota_take (struct cfs_quota *q, const char *team, int64_t now,
                int64_t *wait_us)
{
  struct cfs_quota_team *r = cfs_table_add (&q->rows, team);

  *wait_us = CFS_NEVER;
  if (take_token (r, now))
    {
      q->used_at = now;
      r->granted++;
      return true;
    }
  if (now >= q->until || r->share <= 0)
    return false;
  refill (r, now);
  if (r->level < 1)
    {
      *wait_us = (int64_t)((1 - r->level) / r->share * CFS_US_PER_S) + 1;
      return false;
    }
  r->level -= 1;
  q->used_at = now;
  r->granted++;
  return true;
}

bool
cfs_quota_denied (struct cfs_quota *q, const char *team, int64_t since,
                  int64_t now)
{
  struct cfs_quota_team *r = cfs_table_find (&q->rows, team);

  if (!r || !r->known || r->denied_at <= since)
    return false;
  if (now >= q->until || r->share <= 0)
    return true;
  refill (r, now);
  return (r->waiting - r->level) / r->share * CFS_US_PER_S > SHARE_WAIT_MAX_US;
}

void
cfs_quota_count_waiting (struct cfs_quota *q, const char *team, bool starts)
{
  struct cfs_quota_team *r = cfs_table_add (&q->rows, team);

  if (starts)
    r->waiting++;
  else if (r->waiting)
    r->waiting--;
}

uint32_t
cfs_quota_tokens_to_request (struct cfs_quota_team *r, int64_t now)
{
  double ahead = (cfs_quota_demand (r, now) - r->share) * (double)PREFETCH_US
                 / CFS_US_PER_S;
  uint32_t want = r->waiting;
  uint32_t have;

  if (now < r->ask_after)
    return 0;
  if (now >= r->outstanding_until)
    r->due = 0;
  if (want && ahead >= 1 && now - r->denied_at > PRESSED_US)
    want += (uint32_t)ahead;
  have = r->due + tokens_held (r, now);
  if (want <= have)
    return 0;
  want -= have;
  r->due += want;
  r->outstanding_until = now + REPLY_TIMEOUT_US;
  return want;
}

void
cfs_quota_add_tokens (struct cfs_quota *q, const char *team,
                      const struct cfs_quota_token_reply *a)
{
  struct cfs_quota_team *r = cfs_table_add (&q->rows, team);
  struct cfs_quota_grant *g = &r->grants[r->next_grant];

  r->due -= a->asked < r->due ? a->asked : r->due;
  if (a->count < a->asked)
    r->ask_after = a->sent_at + DENIED_US;
  if (a->known && a->count < a->asked
      && tokens_held (r, a->sent_at) + a->count < r->waiting)
    r->denied_at = a->sent_at;
  if (a->count == 0)
    return;
  g->count = a->count;
  g->until = a->sent_at + TOKEN_LIFE_US;
  r->next_grant = (r->next_grant + 1) % QUOTA_GRANTS_MAX;
}

double
cfs_quota_demand (const struct cfs_quota_team *row, int64_t now)
{
  struct cfs_quota_team r = *row;

  count_spans (&r, now);
  return r.demand;
}
