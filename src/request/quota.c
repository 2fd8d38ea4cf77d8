/*
 * One token bucket per team, filled at the rate of the share, and single
 * tokens in addition.  With shares alone, a team that sends few operations
 * through each of many hosts would be refused although it is within its rate.
 * With single tokens alone, each request would cost a message, and none would
 * be served while the control leader changes.
 *
 * Token requests are paced by their replies.  Requests sent at a rate of their
 * own would overload a new leader, whose buckets are empty, and go on doing
 * so.
 */
#include "quota.h"

#include "../process/pace.h"
#include "../process/shares.h"

#include <inttypes.h>
#include <string.h>

/* Length of a measuring span of the demand. */
#define DEMAND_SPAN_US (500 * CFS_US_PER_MS)
/* Fraction of the difference by which the demand decays per span. */
#define DEMAND_DECAY 0.2
/* A team without an operation for this time needs no share. */
#define DEMAND_END_US (5 * CFS_US_PER_S)
/* Tokens are prefetched for the demand expected within this time. */
#define PREFETCH_US (200 * CFS_US_PER_MS)
/* A token request counts as lost if the reply to a heartbeat arrives that was
   sent so much later, on the same connection. */
#define OVERTAKEN_US (20 * CFS_US_PER_MS)
/* A share that falls below this fraction of what it was is reported soon. */
#define WITHDRAWN_FRACTION 0.3
/* Delay of the next token request after one that was not granted in full;
   until then operations that arrive are refused without a request. */
#define DENIAL_PAUSE_US (60 * CFS_US_PER_MS)
/* While a team is denied tokens for longer than this, with no longer time
   between two denials, operations that arrive are refused without a request
   until the next request is due. */
#define DENIALS_US (500 * CFS_US_PER_MS)
/* No tokens are prefetched for this time after a token was denied. */
#define PREFETCH_PAUSE_US (2 * CFS_US_PER_S)
/* Weight of one operation in the average interval between two that got a
   token. */
#define INTERVAL_WEIGHT 0.1
/* Limits of the time after which a refused operation may be retried.  Callers
   have 2.5 to 5 s for an operation and its retries. */
#define RETRY_MIN_US (50 * CFS_US_PER_MS)
#define RETRY_MAX_US (2 * CFS_US_PER_S)
/* Maximum time for which an operation waits for a token of the share. */
#define SHARE_WAIT_MAX_US (120 * CFS_US_PER_MS)

void
cfs_quota_init (struct cfs_quota *q, int64_t now)
{
  cfs_table_init (&q->teams, sizeof (struct cfs_quota_team));
  q->until = 0;
  q->used_at = now;
  q->request_sent_at = 0;
  q->next_request_at = 0;
  q->next_team = 0;
  q->report_due = false;
  q->tokens_requested = 0;
  q->tokens_granted = 0;
  q->late_until = 0;
  cfs_quota_set_pace (q, 0);
  q->reply_timeout_us = q->reply_timeout_max_us / 2;
}

void
cfs_quota_set_pace (struct cfs_quota *q, uint32_t hosts)
{
  q->request_interval_us = cfs_pace_tokens_us (hosts);
  q->reply_timeout_max_us = cfs_pace_token_reply_us (hosts);
}

void
cfs_quota_end (struct cfs_quota *q)
{
  cfs_table_end (&q->teams);
}

static void
refill (struct cfs_quota_team *t, int64_t now)
{
  if (now > t->filled_at)
    t->level += t->share * (double)(now - t->filled_at) / CFS_US_PER_S;
  t->filled_at = now;
  if (t->level > t->capacity)
    t->level = t->capacity;
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
set_share (struct cfs_quota_team *t, const Cfs__TeamShare *in,
           const struct cfs_team_limits *team, int64_t now)
{
  refill (t, now);
  t->share = 0;
  t->capacity = 0;
  t->rate = team ? team->rate : 0;
  t->burst = team ? team->burst : 0;
  if (in && t->rate > 0 && in->share > 0)
    {
      t->share = in->share;
      t->capacity = cfs_share_capacity (t->share, t->rate, t->burst);
    }
  refill (t, now);
}

/* Keeps the part of the unused tokens that corresponds to a lower burst. */
static void
lower_grants (struct cfs_quota_team *t, double burst)
{
  for (size_t i = 0; i < QUOTA_GRANTS_MAX; i++)
    t->grants[i].count = (uint32_t)(t->grants[i].count * burst / t->burst);
}

size_t
cfs_quota_limits_changed (struct cfs_quota *q,
                          const struct cfs_catalog *catalog, int64_t now)
{
  size_t lowered = 0;

  for (size_t i = 0; i < q->teams.count; i++)
    {
      struct cfs_quota_team *t = cfs_table_at (&q->teams, i);
      const struct cfs_team_limits *team = cfs_catalog_team (catalog, t->team);
      Cfs__TeamShare share = CFS__TEAM_SHARE__INIT;
      double rate = team ? team->rate : 0;
      double burst = team ? team->burst : 0;

      if (burst < t->burst)
        lower_grants (t, burst);
      if (rate >= t->rate && burst >= t->burst)
        continue;
      lowered++;
      share.share = rate < t->rate ? t->share * rate / t->rate : t->share;
      set_share (t, &share, team, now);
    }
  return lowered;
}

/* Whether the leader takes most of a share back.  It can lease that to others
   once this host has reported the smaller one. */
static bool
is_withdrawn (const struct cfs_quota_team *t, const Cfs__TeamShare *in)
{
  return t->share > 0 && (!in || in->share < t->share * WITHDRAWN_FRACTION);
}

void
cfs_quota_update (struct cfs_quota *q, Cfs__TeamShare *const *shares,
                  size_t count, const struct cfs_catalog *catalog,
                  int64_t until, int64_t now)
{
  bool all_known = count > 0;

  for (size_t i = 0; i < count; i++)
    all_known = all_known && shares[i]->known;
  for (size_t i = 0; i < count; i++)
    cfs_table_add (&q->teams, shares[i]->team);
  for (size_t i = 0; i < q->teams.count; i++)
    {
      struct cfs_quota_team *t = cfs_table_at (&q->teams, i);
      const Cfs__TeamShare *share = find_share (shares, count, t->team);

      t->authoritative = share ? share->known : all_known;
      q->report_due = q->report_due || is_withdrawn (t, share);
      set_share (t, share, cfs_catalog_team (catalog, t->team), now);
    }
  if (until > q->until)
    q->until = until;
}

void
cfs_quota_note_unshared (struct cfs_quota *q, const char *team, int64_t until)
{
  struct cfs_quota_team *t = cfs_table_add (&q->teams, team);

  if (until > t->unshared_until)
    t->unshared_until = until;
}

void
cfs_quota_renew (struct cfs_quota *q, int64_t until, int64_t now)
{
  for (size_t i = 0; now >= q->until && i < q->teams.count; i++)
    {
      struct cfs_quota_team *t = cfs_table_at (&q->teams, i);

      t->share = 0;
      t->capacity = 0;
    }
  if (until > q->until)
    q->until = until;
}

/* Updates the average if the current measuring span is over. */
static void
close_demand_span (struct cfs_quota_team *t, int64_t now)
{
  double rate;

  if (now - t->counted_at < DEMAND_SPAN_US)
    return;
  rate = t->span_ops * CFS_US_PER_S / (double)(now - t->counted_at);
  if (rate >= t->demand)
    t->demand = rate;
  else
    t->demand += (rate - t->demand) * DEMAND_DECAY;
  t->span_ops = 0;
  t->counted_at = now;
}

void
cfs_quota_count_demand (struct cfs_quota *q, const char *team, int64_t now)
{
  struct cfs_quota_team *t = cfs_table_add (&q->teams, team);

  if (!t->counted_at)
    t->counted_at = now - DEMAND_SPAN_US / 2;
  close_demand_span (t, now);
  t->span_ops++;
}

static uint32_t
tokens_available (const struct cfs_quota_team *t, int64_t now)
{
  uint32_t available = 0;

  for (size_t i = 0; i < QUOTA_GRANTS_MAX; i++)
    if (now < t->grants[i].until)
      available += t->grants[i].count;
  return available;
}

static bool
take_token (struct cfs_quota_team *t, int64_t now)
{
  for (size_t i = 0; i < QUOTA_GRANTS_MAX; i++)
    if (t->grants[i].count && now < t->grants[i].until)
      {
        t->grants[i].count--;
        return true;
      }
  return false;
}

/* Counts an operation that got a token, and the time since the last one in an
   average over some operations. */
static void
note_taken (struct cfs_quota *q, struct cfs_quota_team *t, int64_t now)
{
  double interval = (double)(now - t->got_at);

  if (t->got_at)
    t->got_interval_us += (interval - t->got_interval_us) * INTERVAL_WEIGHT;
  t->got_at = now;
  t->granted++;
  q->used_at = now;
}

bool
cfs_quota_take (struct cfs_quota *q, const char *team, int64_t now,
                int64_t *wait_us)
{
  struct cfs_quota_team *t = cfs_table_add (&q->teams, team);

  *wait_us = CFS_NEVER;
  if (take_token (t, now))
    {
      note_taken (q, t, now);
      return true;
    }
  if (now >= q->until || t->share <= 0)
    return false;
  refill (t, now);
  if (t->level < 1)
    {
      *wait_us = (int64_t)((1 - t->level) / t->share * CFS_US_PER_S) + 1;
      return false;
    }
  t->level -= 1;
  note_taken (q, t, now);
  return true;
}

/* Time for which a denial holds for operations that arrive after it. */
static int64_t
denial_valid_us (const struct cfs_quota_team *t)
{
  return t->denied_at - t->denied_since >= DENIALS_US ? DENIAL_PAUSE_US : 0;
}

static void
note_denied (struct cfs_quota_team *t, int64_t now)
{
  if (now - t->denied_at > DENIALS_US)
    t->denied_since = now;
  t->denied_at = now;
}

bool
cfs_quota_denied (struct cfs_quota *q, const char *team, int64_t since,
                  int64_t now)
{
  struct cfs_quota_team *t = cfs_table_find (&q->teams, team);

  if (!t || !t->authoritative || t->denied_at + denial_valid_us (t) <= since)
    return false;
  if (now >= q->until || t->share <= 0)
    return true;
  refill (t, now);
  return (t->waiting - t->level) / t->share * CFS_US_PER_S > SHARE_WAIT_MAX_US;
}

int64_t
cfs_quota_retry_us (const struct cfs_quota *q, const char *team,
                    uint64_t *seed, int64_t now)
{
  const struct cfs_quota_team *t = cfs_table_find (&q->teams, team);
  int64_t us = 0;

  if (t)
    us = (int64_t)((t->waiting + 1) * t->got_interval_us);
  if (t && t->next_request_at > now && us < t->next_request_at - now)
    us = t->next_request_at - now;
  if (us < RETRY_MIN_US)
    us = RETRY_MIN_US;
  if (us > RETRY_MAX_US * 2 / 3)
    us = RETRY_MAX_US * 2 / 3;
  return us + (int64_t)(cfs_random (seed) % (uint64_t)(us / 2));
}

void
cfs_quota_count_waiting (struct cfs_quota *q, const char *team, bool starts)
{
  struct cfs_quota_team *t = cfs_table_add (&q->teams, team);

  if (starts)
    t->waiting++;
  else if (t->waiting)
    t->waiting--;
}

/* A reply may still come, with tokens that are valid. */
static void
note_request_lost (struct cfs_quota *q)
{
  if (q->request_sent_at)
    q->late_until = q->request_sent_at + TOKEN_LIFE_US;
}

/* The time after which a request counts as lost doubles with each loss up to
   the maximum. */
static void
note_request_sent (struct cfs_quota *q, int64_t now)
{
  bool lost = q->request_sent_at != 0;

  q->reply_timeout_us
      = lost ? q->reply_timeout_us * 2 : q->reply_timeout_max_us / 2;
  if (q->reply_timeout_us > q->reply_timeout_max_us)
    q->reply_timeout_us = q->reply_timeout_max_us;
  q->request_sent_at = now;
  q->next_request_at = now + q->reply_timeout_us;
}

void
cfs_quota_request_replied (struct cfs_quota *q, int64_t sent_at)
{
  if (q->request_sent_at != sent_at)
    return;
  q->request_sent_at = 0;
  q->next_request_at = sent_at + q->request_interval_us;
}

void
cfs_quota_heartbeat_replied (struct cfs_quota *q, int64_t sent_at, int64_t now)
{
  if (!q->request_sent_at || sent_at - q->request_sent_at < OVERTAKEN_US)
    return;
  note_request_lost (q);
  q->request_sent_at = 0;
  q->next_request_at = now;
}

static uint32_t
tokens_to_request (const struct cfs_quota_team *t, int64_t now)
{
  double ahead = (cfs_quota_demand (t, now) - t->share) * (double)PREFETCH_US
                 / CFS_US_PER_S;
  uint32_t needed = t->waiting;
  uint32_t covered = tokens_available (t, now);

  if (!needed || now < t->next_request_at)
    return 0;
  if (ahead >= 1 && now - t->denied_at > PREFETCH_PAUSE_US)
    needed += (uint32_t)ahead;
  return needed > covered ? needed - covered : 0;
}

size_t
cfs_quota_start_request (struct cfs_quota *q, struct cfs_quota_need *needs,
                         size_t max, int64_t now)
{
  size_t first = q->next_team;
  size_t count = 0;

  if (now < q->next_request_at)
    return 0;
  note_request_lost (q);
  for (size_t i = 0; i < q->teams.count && count < max; i++)
    {
      size_t at = (first + i) % q->teams.count;
      const struct cfs_quota_team *t = cfs_table_at (&q->teams, at);
      uint32_t tokens = tokens_to_request (t, now);

      if (!tokens)
        continue;
      needs[count].team = t->team;
      needs[count].count = tokens;
      q->tokens_requested += tokens;
      needs[count].used
          = now >= q->late_until && tokens_available (t, now) == 0;
      needs[count].unshared = now >= q->until || t->share <= 0;
      count++;
      q->next_team = at + 1;
    }
  if (count)
    note_request_sent (q, now);
  return count;
}

void
cfs_quota_add_tokens (struct cfs_quota *q, const char *team,
                      const struct cfs_quota_token_reply *reply)
{
  struct cfs_quota_team *t = cfs_table_add (&q->teams, team);
  struct cfs_quota_grant *g = &t->grants[t->next_grant];

  if (reply->count < reply->requested)
    t->next_request_at = reply->sent_at + DENIAL_PAUSE_US;
  if (reply->authoritative && reply->count < reply->requested
      && tokens_available (t, reply->sent_at) + reply->count < t->waiting)
    note_denied (t, reply->sent_at);
  if (reply->count == 0)
    return;
  q->tokens_granted += reply->count;
  g->count = reply->count;
  g->until = reply->sent_at + TOKEN_LIFE_US;
  t->next_grant = (t->next_grant + 1) % QUOTA_GRANTS_MAX;
}

void
cfs_quota_metrics (const struct cfs_quota *q, GString *out, int64_t now)
{
  double shares = 0;

  for (size_t i = 0; now < q->until && i < q->teams.count; i++)
    shares
        += ((const struct cfs_quota_team *)cfs_table_at (&q->teams, i))->share;
  g_string_append_printf (out,
                          "coltsfootstage_shares_per_s %.1f\n"
                          "coltsfootstage_tokens_requested_total %" PRIu64 "\n"
                          "coltsfootstage_tokens_granted_total %" PRIu64 "\n",
                          shares, q->tokens_requested, q->tokens_granted);
}

bool
cfs_quota_must_report (const struct cfs_quota *q,
                       const struct cfs_quota_team *t, int64_t now)
{
  return (now < q->until && t->share > 0)
         || (t->counted_at && now - t->counted_at < DEMAND_END_US);
}

double
cfs_quota_demand (const struct cfs_quota_team *team, int64_t now)
{
  struct cfs_quota_team t = *team;

  close_demand_span (&t, now);
  return t.demand;
}
