/*
 * A host's share is proportional to its weight among the weights of all
 * hosts.  Each host gets a base weight besides its demand, so that the first
 * operations at a host are admitted without a token request; all base weights
 * together are a fixed part of the rate, whatever the number of hosts.  A
 * reduced share counts at its old size until the host reports the new one. The
 * bucket fills with the part of the rate that outstanding shares leave.
 *
 * Sums over the hosts are kept up to date with each change, and leases are
 * kept per host, so the cost of a heartbeat does not grow with the number of
 * hosts.
 */
#include "shares.h"

#include <math.h>
#include <string.h>

/* Fraction of the rate that is granted in all; the rest allows for clock
   drift. */
#define USABLE_FRACTION 0.995
/* A team counts as overloaded for this time after its bucket was empty. */
#define OVERLOAD_US (2 * CFS_US_PER_S)
/* The buckets of a new leader start empty; after this time their levels count
   as accurate. */
#define REFILL_US CFS_US_PER_S
/* A leader may handle messages for so long after another one was elected. */
#define DEPOSED_US (200 * CFS_US_PER_MS)
/* A sum of shares below this is a rounding error. */
#define SHARE_MIN 1e-6
/* Factor on the demand, so that shares leave room for bursts. */
#define HEADROOM 1.5
/* Base weight of all hosts together, as a fraction of the rate. */
#define BASE_FRACTION 0.2
/* The holder of a share stores this part of its part of the burst. */
#define STORED_FRACTION 0.2
/* It may store so many tokens of its part even if that is more: arrivals at a
   host that gets few operations are irregular. */
#define STORED_MIN 2.0
/* Minimum capacity of the bucket of a share.  With less than one token, no
   operation would ever be admitted. */
#define CAPACITY_MIN 1.0
/* Granted tokens are counted by the time of their grant, in as many slots as
   make up the lifetime of a token, and one more. */
#define GRANT_SLOTS 8
#define GRANT_SLOT_US (TOKEN_LIFE_US / GRANT_SLOTS)
/* A share is left as it is when it would change by less than this fraction. */
#define CHANGE_MIN_FRACTION 0.1

/**
 * struct share_holder - lease of all shares of one host
 * @until: end of the lease
 */
struct share_holder
{
  char host[CFS_NAME_MAX];
  int64_t until;
};

/**
 * struct recent_grants - tokens that may be granted and not yet used
 * @slots: tokens by the time of their grant
 * @last: number of the current slot
 * @sum: sum of @slots
 */
struct recent_grants
{
  uint32_t slots[GRANT_SLOTS + 1];
  int64_t last;
  uint32_t sum;
};

/**
 * struct host_share - share of one host, in operations per second
 * @weight: demand with headroom
 * @confirmed: share that the host reported
 * @assigned: share sent to the host last
 * @report: number of the last report that contained the team
 * @recent: tokens granted to the host that it may not have used yet
 */
struct host_share
{
  char host[CFS_NAME_MAX];
  double weight;
  double confirmed;
  double assigned;
  uint64_t report;
  struct recent_grants recent;
};

/**
 * struct team_state - shares and token bucket of one team
 * @hosts: table of struct host_share
 * @weight: sum of the hosts' weights
 * @outstanding: sum of the hosts' outstanding shares
 * @reserved: tokens of the burst that these shares may use at their hosts
 * @rate: rate by which @reserved was computed
 * @burst: burst by which @reserved was computed
 * @level: tokens in the bucket
 * @recent: tokens taken from it within their lifetime
 * @filled_at: time of the last refill
 * @emptied_at: when the bucket last had too few tokens for a request
 * @credited: tokens for the idle time before the election were added
 * @unshared_until: no share was in use until then, according to an earlier
 * leader; 0 if no host reported it
 */
struct team_state
{
  char team[CFS_NAME_MAX];
  struct cfs_table hosts;
  double weight;
  double outstanding;
  double reserved;
  double rate;
  double burst;
  double level;
  struct recent_grants recent;
  int64_t filled_at;
  int64_t emptied_at;
  bool credited;
  int64_t unshared_until;
};

void
cfs_shares_init (struct cfs_shares *s)
{
  cfs_table_init (&s->teams, sizeof (struct team_state));
  cfs_table_init (&s->holders, sizeof (struct share_holder));
  s->first_expiry = CFS_NEVER;
  s->since = 0;
  s->grace_end = 0;
  s->accurate_from = 0;
  s->idle_since = 0;
  s->complete = false;
  s->report = 0;
}

void
cfs_shares_end (struct cfs_shares *s)
{
  for (size_t i = 0; i < s->teams.count; i++)
    cfs_table_end (&((struct team_state *)cfs_table_at (&s->teams, i))->hosts);
  cfs_table_end (&s->teams);
  cfs_table_end (&s->holders);
}

void
cfs_shares_reset (struct cfs_shares *s, int64_t now, int64_t grace_end)
{
  cfs_shares_end (s);
  cfs_shares_init (s);
  s->since = now;
  s->grace_end = grace_end;
  s->accurate_from = grace_end + REFILL_US;
}

void
cfs_shares_end_grace (struct cfs_shares *s, int64_t idle_since, int64_t now)
{
  s->grace_end = now < s->grace_end ? now : s->grace_end;
  if (!s->complete)
    {
      s->idle_since = idle_since;
      s->accurate_from = now + REFILL_US;
    }
  s->complete = true;
}

static struct team_state *
find_or_add_team (struct cfs_shares *s, const char *team)
{
  struct team_state *t = cfs_table_find (&s->teams, team);

  if (t)
    return t;
  t = cfs_table_add (&s->teams, team);
  cfs_table_init (&t->hosts, sizeof (struct host_share));
  t->filled_at = s->since;
  return t;
}

/* Returns the rate that the host may be using: a reduction counts only once
   the host has confirmed it. */
static double
outstanding (const struct host_share *h)
{
  return fmax (h->confirmed, h->assigned);
}

double
cfs_share_capacity (double share, double rate, double burst)
{
  double part;

  if (share <= 0 || rate <= 0)
    return 0;
  part = burst * share / rate;
  return fmax (fmax (fmin (part, STORED_MIN), part * STORED_FRACTION),
               CAPACITY_MIN);
}

/* Returns the tokens that a share may use at its host. */
static double
reserved (const struct team_state *t, const struct host_share *h)
{
  return cfs_share_capacity (outstanding (h), t->rate, t->burst);
}

static void
set_weight (struct team_state *t, struct host_share *h, double weight)
{
  t->weight += weight - h->weight;
  h->weight = weight;
}

/* Adds an outstanding share to the sums of its team, or with @sign -1 removes
   it. */
static void
count_share (struct team_state *t, const struct host_share *h, int sign)
{
  t->outstanding += sign * outstanding (h);
  t->reserved += sign * reserved (t, h);
}

/* Computes the sums anew, which also removes their rounding errors. */
static void
sum_shares (struct team_state *t)
{
  t->weight = 0;
  t->outstanding = 0;
  t->reserved = 0;
  for (size_t i = 0; i < t->hosts.count; i++)
    {
      const struct host_share *h = cfs_table_at (&t->hosts, i);

      t->weight += h->weight;
      count_share (t, h, 1);
    }
}

static void
set_limits (struct team_state *t, double rate, double burst)
{
  if (t->rate == rate && t->burst == burst)
    return;
  t->rate = rate;
  t->burst = burst;
  sum_shares (t);
}

static bool
is_overloaded (const struct team_state *t, int64_t now)
{
  return t->emptied_at && now - t->emptied_at < OVERLOAD_US;
}

/* Returns whether no share of an earlier leader can be in use. */
static bool
all_shares_known (const struct cfs_shares *s, int64_t now)
{
  return now >= s->grace_end;
}

/* Returns whether no share of the team was in use when this leader was
   elected. */
static bool
is_unshared (const struct cfs_shares *s, const struct team_state *t)
{
  return t->unshared_until >= s->since + DEPOSED_US;
}

bool
cfs_shares_is_accurate (const struct cfs_shares *s, const char *team,
                        int64_t now)
{
  const struct team_state *t = cfs_table_find (&s->teams, team);

  if (t && is_unshared (s, t) && now >= s->since + REFILL_US)
    return true;
  return all_shares_known (s, now) && now >= s->accurate_from;
}

int64_t
cfs_shares_unshared_us (const struct cfs_shares *s, const char *team,
                        int64_t now)
{
  const struct team_state *t = cfs_table_find (&s->teams, team);

  if (!t || !is_overloaded (t, now) || t->outstanding > SHARE_MIN
      || !(is_unshared (s, t) || all_shares_known (s, now)))
    return 0;
  return t->emptied_at + OVERLOAD_US - now;
}

void
cfs_shares_note_unshared (struct cfs_shares *s, const char *team,
                          int64_t until)
{
  struct team_state *t = find_or_add_team (s, team);

  if (until > t->unshared_until)
    t->unshared_until = until;
}

static void
forget_host (struct cfs_shares *s, const char *host)
{
  for (size_t i = 0; i < s->teams.count; i++)
    {
      struct team_state *t = cfs_table_at (&s->teams, i);
      struct host_share *h = cfs_table_find (&t->hosts, host);

      if (!h)
        continue;
      cfs_table_remove (&t->hosts, cfs_table_index (&t->hosts, h));
      sum_shares (t);
    }
}

/* Removes the shares of the hosts whose lease has ended. */
static void
forget_expired (struct cfs_shares *s, int64_t now)
{
  if (now < s->first_expiry)
    return;
  s->first_expiry = CFS_NEVER;
  for (size_t i = s->holders.count; i > 0; i--)
    {
      const struct share_holder *h = cfs_table_at (&s->holders, i - 1);

      if (now >= h->until)
        {
          forget_host (s, h->host);
          cfs_table_remove (&s->holders, i - 1);
        }
      else if (h->until < s->first_expiry)
        s->first_expiry = h->until;
    }
}

static void
extend_lease (struct cfs_shares *s, const char *host, int64_t until)
{
  struct share_holder *h = cfs_table_add (&s->holders, host);

  if (h->until < until)
    h->until = until;
  if (h->until < s->first_expiry)
    s->first_expiry = h->until;
}

/* Forgets the grants whose tokens have expired. */
static void
advance_grants (struct recent_grants *r, int64_t now)
{
  int64_t current = now / GRANT_SLOT_US;

  if (current - r->last > GRANT_SLOTS)
    {
      memset (r->slots, 0, sizeof r->slots);
      r->sum = 0;
      r->last = current;
    }
  while (r->last < current)
    {
      uint32_t *oldest = &r->slots[++r->last % (GRANT_SLOTS + 1)];

      r->sum -= *oldest;
      *oldest = 0;
    }
}

static void
count_grant (struct recent_grants *r, uint32_t count)
{
  r->slots[r->last % (GRANT_SLOTS + 1)] += count;
  r->sum += count;
}

/* Removes the grants to a host, which has used them, from those of the team.
 */
static void
forget_grants (struct recent_grants *team, struct recent_grants *host)
{
  for (size_t i = 0; i < GRANT_SLOTS + 1; i++)
    team->slots[i] -= host->slots[i];
  team->sum -= host->sum;
  memset (host->slots, 0, sizeof host->slots);
  host->sum = 0;
}

/* Returns the capacity of the bucket: the burst minus the buckets of the
   outstanding shares at their hosts, and minus tokens that may be granted and
   not yet used.  Tokens of a burst that is smaller than what the rate adds in
   the lifetime of a token are granted one by one. */
static double
bucket_capacity (struct team_state *t, int64_t now)
{
  double steady = t->rate * USABLE_FRACTION * TOKEN_LIFE_US / CFS_US_PER_S;
  double room = t->burst - t->reserved;

  advance_grants (&t->recent, now);
  return room - steady < 1 ? 1 : fmax (room - t->recent.sum, 0);
}

/* Adds the tokens of the time before this leader was elected during which no
   host admitted anything.  The buckets at the hosts were empty then too, so
   their part of the burst is available here, except for one token per host. */
static void
credit_idle (const struct cfs_shares *s, struct team_state *t)
{
  double room = t->burst - (double)t->hosts.count;
  double idle = t->rate * (double)(s->since - s->idle_since) / CFS_US_PER_S;

  t->credited = true;
  if (idle > 0)
    t->level = fmax (t->level, fmin (t->level + idle, room));
}

/* Adds what the shares leave of the rate until @until, before which either no
   share of an earlier leader is in use or all may be. */
static void
add_rate (const struct cfs_shares *s, struct team_state *t, int64_t until)
{
  double shares = t->outstanding;
  double left;

  if (until <= t->filled_at)
    return;
  if (until <= s->grace_end && !is_unshared (s, t))
    shares = fmax (shares, t->rate * SHARED_FRACTION);
  left = fmax (t->rate * USABLE_FRACTION - shares, 0);
  t->level += left * (double)(until - t->filled_at) / CFS_US_PER_S;
  t->filled_at = until;
}

static void
fill_bucket (const struct cfs_shares *s, struct team_state *t, int64_t now)
{
  if (now > s->grace_end)
    add_rate (s, t, s->grace_end);
  add_rate (s, t, now);
  t->level = fmin (t->level, bucket_capacity (t, now));
  if (s->complete && !t->credited)
    credit_idle (s, t);
}

/* Returns the share that a host should get, before it is limited to the rate
   that is not leased to other hosts. */
static double
desired_share (const struct team_state *t, const struct host_share *mine,
               int64_t now)
{
  double base = t->rate * BASE_FRACTION;
  double share;

  if (is_overloaded (t, now) || now < t->unshared_until)
    return 0;
  share = t->rate * SHARED_FRACTION
          * (mine->weight + base / (double)t->hosts.count)
          / (t->weight + base);
  if (fabs (share - mine->confirmed) < CHANGE_MIN_FRACTION * mine->confirmed)
    share = mine->confirmed;
  return share * t->burst < t->rate ? 0 : share;
}

double
cfs_shares_assign (struct cfs_shares *s, const char *team, double rate,
                   double burst, const char *host, double demand,
                   double confirmed, int64_t now, int64_t until)
{
  struct team_state *t = find_or_add_team (s, team);
  struct host_share *mine;
  double room;

  forget_expired (s, now);
  set_limits (t, rate, burst);
  fill_bucket (s, t, now);
  mine = cfs_table_add (&t->hosts, host);
  room = rate * SHARED_FRACTION - t->outstanding + outstanding (mine);
  room = fmax (room, 0);
  if (!all_shares_known (s, now))
    room = fmin (room, confirmed);
  set_weight (t, mine, demand * HEADROOM);
  count_share (t, mine, -1);
  mine->confirmed = confirmed;
  mine->assigned = fmin (desired_share (t, mine, now), room);
  mine->report = s->report;
  count_share (t, mine, 1);
  extend_lease (s, host, until);
  return mine->assigned;
}

void
cfs_shares_start_report (struct cfs_shares *s)
{
  s->report++;
}

void
cfs_shares_end_report (struct cfs_shares *s, const char *host)
{
  for (size_t i = 0; i < s->teams.count; i++)
    {
      struct team_state *t = cfs_table_at (&s->teams, i);
      struct host_share *h = cfs_table_find (&t->hosts, host);

      if (!h || h->report == s->report)
        continue;
      set_weight (t, h, 0);
      count_share (t, h, -1);
      h->confirmed = 0;
      h->assigned = 0;
      count_share (t, h, 1);
    }
}

/* Removes tokens that the host has used from those that may be in use. */
static void
apply_used (struct team_state *t, struct host_share *h, bool used, int64_t now)
{
  advance_grants (&t->recent, now);
  advance_grants (&h->recent, now);
  if (used)
    forget_grants (&t->recent, &h->recent);
}

/* A host that holds no share confirms so sooner than with its next report. */
static void
apply_unshared (struct team_state *t, struct host_share *h, bool unshared)
{
  if (!unshared)
    return;
  count_share (t, h, -1);
  h->confirmed = 0;
  count_share (t, h, 1);
}

uint32_t
cfs_shares_grant (struct cfs_shares *s, const char *team, double rate,
                  double burst, const struct cfs_token_request *request,
                  int64_t now)
{
  struct team_state *t = find_or_add_team (s, team);
  struct host_share *h;
  uint32_t granted;

  forget_expired (s, now);
  h = cfs_table_add (&t->hosts, request->host);
  apply_used (t, h, request->used, now);
  set_limits (t, rate, burst);
  fill_bucket (s, t, now);
  apply_unshared (t, h, request->unshared);
  granted = t->level < request->count ? (uint32_t)t->level : request->count;
  if (granted < request->count)
    t->emptied_at = now;
  t->level -= granted;
  count_grant (&t->recent, granted);
  count_grant (&h->recent, granted);
  return granted;
}

void
cfs_shares_extend (struct cfs_shares *s, const char *host, int64_t until)
{
  if (cfs_table_find (&s->holders, host))
    extend_lease (s, host, until);
}
