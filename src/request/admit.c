/*
 * One ask per team is under way at a time, for as many tokens as requests
 * wait.  Tokens are counted from the time the ask was sent, which is never
 * later than the grant, and what is left over is dropped: it is cheaper to
 * lose a token than to hold one that bunches up with later ones.
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
ask (struct cfs_admit *a, struct cfs_admit_team *t, int64_t now)
{
  size_t want = t->waiting.count < ASK_MAX ? t->waiting.count : ASK_MAX;

  if (want == 0 || t->ask_id || now < t->ask_after)
    return;
  t->ask_id = ++a->next_id;
  t->ask_count = (uint32_t)want;
  t->asked_at = now;
  a->ops->ask (a->ctx, t->name, t->ask_id, t->ask_count);
}

void
cfs_admit_submit (struct cfs_admit *a, struct cfs_request *r, double rate,
                  double burst, int64_t now)
{
  struct cfs_admit_team *t = cfs_table_add (&a->teams, r->team);

  t->rate = rate;
  t->burst = burst;
  if ((double)t->waiting.count >= burst + rate * ADMIT_BACKLOG_SECONDS)
    {
      a->ops->refused (a->ctx, r, CFS_CODE_RATE_LIMITED);
      return;
    }
  cfs_queue_push (&t->waiting, r);
  ask (a, t, now);
}

void
cfs_admit_granted (struct cfs_admit *a, const char *team, uint64_t id,
                   uint32_t count, int64_t retry_us, int64_t now)
{
  struct cfs_admit_team *t = cfs_table_find (&a->teams, team);
  bool fresh;

  if (!t || t->ask_id != id)
    return;
  fresh = now - t->asked_at < GRANT_LIFE_US;
  t->ask_id = 0;
  t->ask_after = now + (count < t->ask_count ? retry_us : 0);
  if (count > t->ask_count)
    count = t->ask_count;
  for (; fresh && count > 0 && t->waiting.count > 0; count--)
    a->ops->admitted (a->ctx, cfs_queue_pop (&t->waiting));
  ask (a, t, now);
}

void
cfs_admit_moved (struct cfs_admit *a, const char *team, int64_t now)
{
  struct cfs_admit_team *t = cfs_table_find (&a->teams, team);

  if (!t)
    return;
  t->ask_id = 0;
  t->ask_after = now;
  ask (a, t, now);
}

/* The queue is in order of arrival, not of deadline, so all are looked at. */
static void
expire (struct cfs_admit *a, struct cfs_admit_team *t, int64_t now)
{
  struct cfs_queue kept = { NULL, NULL, 0 };
  struct cfs_queue late = { NULL, NULL, 0 };
  struct cfs_request *r;

  while ((r = cfs_queue_pop (&t->waiting)))
    cfs_queue_push (r->deadline <= now ? &late : &kept, r);
  t->waiting = kept;
  while ((r = cfs_queue_pop (&late)))
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
      if (t->ask_id && now - t->asked_at >= ASK_TIMEOUT_US)
        t->ask_id = 0;
      ask (a, t, now);
    }
}
