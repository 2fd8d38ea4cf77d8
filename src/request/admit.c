/*
 * Each team has at most one outstanding token request, for as many tokens as
 * there are requests queued.  The time at which a token becomes valid is
 * counted from the arrival of the grant, so it is never too early.  Its
 * lifetime is reduced by the time that the reply took, so it never ends too
 * late.  Unused tokens are dropped, because losing a token costs less than
 * keeping one that would be spent together with later ones and cause a burst.
 */
#include "admit.h"

#include "limit.h"

#include <string.h>

void
cfs_admit_init (struct cfs_admit *a, const struct cfs_admit_ops *ops,
                void *ctx)
{
  memset (a, 0, sizeof *a);
  a->ops = ops;
  a->ctx = ctx;
  cfs_table_init (&a->teams, sizeof (struct cfs_admit_team));
}

void
cfs_admit_end (struct cfs_admit *a)
{
  for (size_t i = 0; i < a->teams.count; i++)
    {
      struct cfs_admit_team *t = cfs_table_at (&a->teams, i);
      struct cfs_request *r;

      while ((r = cfs_queue_pop (&t->waiting)))
        a->ops->refused (a->ctx, r, CFS_CODE_DRAINING);
    }
  cfs_table_end (&a->teams);
}

static void
request_tokens (struct cfs_admit *a, struct cfs_admit_team *t, int64_t now)
{
  size_t count = t->waiting.count < TOKEN_REQUEST_MAX ? t->waiting.count
                                                      : TOKEN_REQUEST_MAX;

  if (count == 0 || t->outstanding_id || t->tokens || now < t->next_request_at)
    return;
  t->outstanding_id = ++a->next_id;
  t->outstanding_count = (uint32_t)count;
  t->requested_at = now;
  a->ops->request_tokens (a->ctx, t->name, t->outstanding_id,
                          t->outstanding_count);
}

void
cfs_admit_submit (struct cfs_admit *a, struct cfs_request *r, double rate,
                  double burst, int64_t now)
{
  struct cfs_admit_team *t = cfs_table_add (&a->teams, r->team);

  t->rate = rate;
  t->burst = burst;
  if ((double)t->waiting.count >= burst + rate * ADMIT_QUEUE_SECONDS)
    {
      a->ops->refused (a->ctx, r, CFS_CODE_RATE_LIMITED);
      return;
    }
  cfs_queue_push (&t->waiting, r);
  request_tokens (a, t, now);
}

/* Time at which the next token becomes valid.  Tokens become valid one after
   another at the team's rate, the last one at last_token_at. */
static int64_t
token_time (const struct cfs_admit_team *t)
{
  double offset_us = (double)(t->tokens - 1) / t->rate * CFS_US_PER_S;

  return t->last_token_at - (int64_t)offset_us;
}

/* Spends the tokens that have become valid and drops expired ones. */
static void
spend (struct cfs_admit *a, struct cfs_admit_team *t, int64_t now)
{
  while (t->tokens > 0 && token_time (t) <= now)
    {
      bool fresh = now - token_time (t) < GRANT_LIFE_US - t->reply_delay_us;

      t->tokens--;
      if (fresh && t->waiting.count > 0)
        a->ops->admitted (a->ctx, cfs_queue_pop (&t->waiting));
    }
  if (t->waiting.count == 0)
    t->tokens = 0;
}

void
cfs_admit_granted (struct cfs_admit *a, const char *team, uint64_t id,
                   uint32_t count, int64_t wait_us, int64_t now)
{
  struct cfs_admit_team *t = cfs_table_find (&a->teams, team);

  if (!t || t->outstanding_id != id)
    return;
  t->outstanding_id = 0;
  t->reply_delay_us = now - t->requested_at;
  if (count > t->outstanding_count)
    count = t->outstanding_count;
  t->tokens = t->reply_delay_us < GRANT_LIFE_US ? count : 0;
  t->last_token_at = now + wait_us;
  t->next_request_at = count ? now : now + wait_us;
  spend (a, t, now);
  request_tokens (a, t, now);
}

void
cfs_admit_limiter_moved (struct cfs_admit *a, const char *team, int64_t now)
{
  struct cfs_admit_team *t = cfs_table_find (&a->teams, team);

  if (!t)
    return;
  t->outstanding_id = 0;
  t->tokens = 0;
  t->next_request_at = now;
  request_tokens (a, t, now);
}

/* Refuses requests whose deadline has passed.  The queue is ordered by
   arrival and not by deadline, so every request is checked. */
static void
expire (struct cfs_admit *a, struct cfs_admit_team *t, int64_t now)
{
  struct cfs_queue remaining = { NULL, NULL, 0 };
  struct cfs_queue expired = { NULL, NULL, 0 };
  struct cfs_request *r;

  while ((r = cfs_queue_pop (&t->waiting)))
    cfs_queue_push (r->deadline <= now ? &expired : &remaining, r);
  t->waiting = remaining;
  while ((r = cfs_queue_pop (&expired)))
    a->ops->refused (a->ctx, r, CFS_CODE_DEADLINE);
}

void
cfs_admit_tick (struct cfs_admit *a, int64_t now)
{
  for (size_t i = 0; i < a->teams.count; i++)
    {
      struct cfs_admit_team *t = cfs_table_at (&a->teams, i);

      if (t->waiting.count == 0)
        continue;
      expire (a, t, now);
      if (t->outstanding_id
          && now - t->requested_at >= TOKEN_REQUEST_TIMEOUT_US)
        t->outstanding_id = 0;
      spend (a, t, now);
      request_tokens (a, t, now);
    }
}
