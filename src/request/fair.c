/*
 * Queues of requests, ordered by the virtual time of their teams (vtime.c).
 * First come, first served and plain round robin serve as baselines for the
 * benchmark.
 */
#include "fair.h"

#include <string.h>

void
cfs_queue_push (struct cfs_queue *q, struct cfs_request *r)
{
  r->next = NULL;
  if (q->tail)
    q->tail->next = r;
  else
    q->head = r;
  q->tail = r;
  q->count++;
}

/* Removes the request after @prev, or the head when @prev is NULL. */
static struct cfs_request *
unlink_after (struct cfs_queue *q, struct cfs_request *prev)
{
  struct cfs_request *r = prev ? prev->next : q->head;

  if (prev)
    prev->next = r->next;
  else
    q->head = r->next;
  if (q->tail == r)
    q->tail = prev;
  r->next = NULL;
  q->count--;
  return r;
}

struct cfs_request *
cfs_queue_pop (struct cfs_queue *q)
{
  return q->head ? unlink_after (q, NULL) : NULL;
}

void
cfs_fair_init (struct cfs_fair *f, enum cfs_fair_policy policy)
{
  memset (f, 0, sizeof *f);
  cfs_table_init (&f->teams, sizeof (struct cfs_fair_team));
  f->policy = policy;
}

void
cfs_fair_end (struct cfs_fair *f)
{
  cfs_table_end (&f->teams);
}

static bool
is_idle (const struct cfs_fair_team *t)
{
  return t->lanes[CFS_LANE_READ].count + t->lanes[CFS_LANE_WRITE].count == 0;
}

int
cfs_fair_push (struct cfs_fair *f, enum cfs_lane lane, struct cfs_request *r)
{
  struct cfs_fair_team *t = cfs_table_add (&f->teams, r->team);

  if (t->lanes[lane].count >= FAIR_QUEUE_MAX)
    return CFS_FULL;
  cfs_vtime_enter (&t->account, r->weight, is_idle (t), f->vtime);
  cfs_queue_push (&t->lanes[lane], r);
  f->queued++;
  return CFS_OK;
}

/* Whether team a is served before team b. */
static bool
precedes (const struct cfs_fair *f, enum cfs_lane lane,
          const struct cfs_fair_team *a, const struct cfs_fair_team *b)
{
  if (f->policy == FAIR_FIRST_COME)
    return a->lanes[lane].head->arrived_at < b->lanes[lane].head->arrived_at;
  return a->account.vtime < b->account.vtime;
}

static struct cfs_request *
take_runnable (struct cfs_fair_team *t, enum cfs_lane lane,
               bool (*can_run) (void *, struct cfs_request *), void *ctx)
{
  struct cfs_request *prev = NULL;
  struct cfs_request *r = t->lanes[lane].head;

  for (int i = 0; r && i < FAIR_SCAN_MAX; i++)
    {
      if (can_run (ctx, r))
        return unlink_after (&t->lanes[lane], prev);
      prev = r;
      r = r->next;
    }
  return NULL;
}

static void
charge (struct cfs_fair *f, struct cfs_fair_team *t, struct cfs_request *r)
{
  bool by_count = f->policy == FAIR_ROUND_ROBIN;

  r->estimate_us = (int64_t)t->account.avg_cost_us;
  cfs_vtime_charge (&t->account, by_count ? 1 : t->account.avg_cost_us,
                    &f->vtime);
}

struct cfs_request *
cfs_fair_pop (struct cfs_fair *f, enum cfs_lane lane,
              bool (*can_run) (void *, struct cfs_request *), void *ctx)
{
  enum
  {
    TEAMS_TRIED = 64
  };
  const struct cfs_fair_team *tried[TEAMS_TRIED];
  size_t count = 0;

  /* Invariant: none of the teams in tried has a request that can run. */
  while (count < TEAMS_TRIED)
    {
      struct cfs_fair_team *best = NULL;
      struct cfs_request *r;

      for (size_t i = 0; i < f->teams.count; i++)
        {
          struct cfs_fair_team *t = cfs_table_at (&f->teams, i);
          bool skip = t->lanes[lane].count == 0;

          for (size_t j = 0; j < count && !skip; j++)
            skip = tried[j] == t;
          if (!skip && (!best || precedes (f, lane, t, best)))
            best = t;
        }
      if (!best)
        return NULL;
      r = take_runnable (best, lane, can_run, ctx);
      if (r)
        {
          f->queued--;
          charge (f, best, r);
          return r;
        }
      tried[count++] = best;
    }
  return NULL;
}

struct cfs_request *
cfs_fair_expire (struct cfs_fair *f, int64_t now)
{
  for (size_t i = 0; i < f->teams.count; i++)
    {
      struct cfs_fair_team *t = cfs_table_at (&f->teams, i);

      for (int lane = 0; lane < CFS_LANE_COUNT; lane++)
        {
          struct cfs_request *prev = NULL;
          struct cfs_request *r = t->lanes[lane].head;

          for (; r; prev = r, r = r->next)
            if (r->deadline <= now)
              {
                f->queued--;
                return unlink_after (&t->lanes[lane], prev);
              }
        }
    }
  return NULL;
}

void
cfs_fair_done (struct cfs_fair *f, const struct cfs_request *r,
               int64_t used_us)
{
  struct cfs_fair_team *t = cfs_table_find (&f->teams, r->team);

  if (!t)
    return;
  if (f->policy != FAIR_ROUND_ROBIN)
    cfs_vtime_correct (&t->account, r->estimate_us, used_us);
  cfs_vtime_note_cost (&t->account, used_us);
}

int64_t
cfs_fair_expected_wait (const struct cfs_fair *f, const char *team,
                        uint32_t weight, unsigned slots)
{
  const struct cfs_fair_team *own = cfs_table_find (&f->teams, team);
  double share = weight ? weight : 1;
  double total = share;
  double waiting;

  if (!own || is_idle (own))
    return 0;
  for (size_t i = 0; i < f->teams.count; i++)
    {
      const struct cfs_fair_team *t = cfs_table_at (&f->teams, i);

      if (t != own && !is_idle (t))
        total += t->account.weight;
    }
  waiting = (double)(own->lanes[CFS_LANE_READ].count
                     + own->lanes[CFS_LANE_WRITE].count);
  return (int64_t)(waiting * own->account.avg_cost_us * total / share
                   / (slots ? slots : 1));
}
