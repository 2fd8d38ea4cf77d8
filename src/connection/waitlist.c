/*
 * Handles more statements than the targets, or the teams' rates, allow: those
 * of the most urgent class are served first, and within a class one team does
 * not displace the others.
 *
 * Transactions in progress come first, because they hold what others wait for.
 * Then the class counts, then the virtual time of the team, then the time left
 * to the latency target.  So that a class does not starve, each
 * STARVED_SHARE-th statement served is the oldest one, if it has waited for
 * STARVED_US.
 *
 * The entries form a list by arrival and the next one is found by a search.  A
 * search of the longest list takes some microseconds and happens once per
 * statement served.
 */
#include "waitlist.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define STARVED_SHARE 32
#define STARVED_US CFS_US_PER_S
/* A statement counts less by a factor of e after this time in the rates of
   arrivals and of service. */
#define FLOW_DECAY_US (500 * CFS_US_PER_MS)
/* Accounts without entries are dropped when there are more than this. */
#define TEAMS_MAX 512

/**
 * struct cfs_wait_team - account of a team
 * @waiting: its entries in the queue
 * @blocked_until: its entries are not picked before
 * @mark: the last count of teams that counted it
 */
struct cfs_wait_team
{
  struct cfs_vtime_team account;
  struct cfs_wait_team *next;
  size_t waiting;
  int64_t blocked_until;
  uint64_t mark;
};

void
cfs_waitlist_end (struct cfs_waitlist *l)
{
  struct cfs_wait_team *next;

  for (struct cfs_wait_team *t = l->teams; t; t = next)
    {
      next = t->next;
      free (t);
    }
  l->teams = NULL;
}

static struct cfs_wait_team *
find_team (const struct cfs_waitlist *l, const char *name)
{
  struct cfs_wait_team *t = l->teams;

  while (t && strcmp (t->account.name, name) != 0)
    t = t->next;
  return t;
}

/* Drops the accounts of teams without entries if there are too many.  These
   teams lose what they owe, which one service time bounds for each. */
static void
drop_idle_teams (struct cfs_waitlist *l)
{
  struct cfs_wait_team **at = &l->teams;
  size_t count = 0;

  for (const struct cfs_wait_team *t = l->teams; t; t = t->next)
    count++;
  if (count < TEAMS_MAX)
    return;
  while (*at)
    {
      struct cfs_wait_team *t = *at;

      if (t->waiting)
        {
          at = &t->next;
          continue;
        }
      *at = t->next;
      free (t);
    }
}

static struct cfs_wait_team *
add_team (struct cfs_waitlist *l, const char *name)
{
  struct cfs_wait_team *t = find_team (l, name);

  if (t)
    return t;
  drop_idle_teams (l);
  t = cfs_alloc (sizeof *t);
  cfs_copy (t->account.name, sizeof t->account.name, name);
  t->next = l->teams;
  l->teams = t;
  return t;
}

/* Whether entry a is served before entry b. */
static bool
precedes (const struct cfs_waiter *a, const struct cfs_waiter *b)
{
  bool by_class = a->list->by_class;

  if (!by_class && a->arrived != b->arrived)
    return a->arrived < b->arrived;
  if (!by_class)
    return a->number < b->number;
  if (a->in_transaction != b->in_transaction)
    return a->in_transaction;
  if (a->class != b->class)
    return a->class < b->class;
  if (a->team->account.vtime != b->team->account.vtime)
    return a->team->account.vtime < b->team->account.vtime;
  if (a->due != b->due)
    return a->due < b->due;
  return a->number < b->number;
}

static struct cfs_waiter *
last_served (const struct cfs_waitlist *l)
{
  struct cfs_waiter *last = l->first;

  for (struct cfs_waiter *w = l->first; w; w = w->next)
    if (precedes (last, w))
      last = w;
  return last;
}

static void
append (struct cfs_waitlist *l, struct cfs_waiter *w)
{
  w->list = l;
  w->prev = l->last;
  w->next = NULL;
  if (l->last)
    l->last->next = w;
  else
    l->first = w;
  l->last = w;
  l->count++;
}

static struct cfs_wait_flow *
flow_of (const struct cfs_waiter *w)
{
  size_t i = 0;

  while (i < WAITLIST_KINDS - 1 && !(w->kind & 1U << i))
    i++;
  return &w->list->flow[i];
}

static void
decay_flow (struct cfs_wait_flow *f, int64_t now)
{
  double factor = exp (-(double)(now - f->counted_at) / FLOW_DECAY_US);

  for (int i = 0; i <= WAITLIST_CLASS_MAX; i++)
    f->arrived[i] *= factor;
  f->served *= factor;
  f->counted_at = now;
}

double
cfs_waitlist_rate (const struct cfs_waiter *w, double capacity, int64_t now)
{
  struct cfs_wait_flow *f = flow_of (w);
  double rate = capacity;

  decay_flow (f, now);
  if (f->waiting && now - f->waiting_since > 2 * FLOW_DECAY_US)
    rate = f->served / FLOW_DECAY_US;
  for (uint32_t i = 0; w->list->by_class && i < w->class; i++)
    rate -= f->arrived[i] / FLOW_DECAY_US;
  return rate;
}

static void
count_arrival (struct cfs_waiter *w, int64_t now)
{
  struct cfs_wait_flow *f = flow_of (w);

  decay_flow (f, now);
  f->arrived[w->class] += 1;
  if (f->waiting++ == 0)
    f->waiting_since = now;
}

struct cfs_waiter *
cfs_waitlist_add (struct cfs_waitlist *l, struct cfs_waiter *w,
                  const char *team, int64_t now)
{
  struct cfs_waiter *rejected = NULL;

  if (w->class > WAITLIST_CLASS_MAX)
    w->class = WAITLIST_CLASS_MAX;
  if (w->due < now)
    w->due = now;
  w->team = add_team (l, team);
  cfs_vtime_enter (&w->team->account, 1, w->team->waiting == 0, l->vtime);
  w->team->waiting++;
  w->number = l->number++;
  w->pass = l->pass;
  append (l, w);
  count_arrival (w, now);
  if (l->count <= WAITLIST_MAX)
    return NULL;
  rejected = last_served (l);
  cfs_waitlist_remove (rejected);
  return rejected;
}

void
cfs_waitlist_remove (struct cfs_waiter *w)
{
  struct cfs_waitlist *l = w->list;

  if (!l)
    return;
  if (w->prev)
    w->prev->next = w->next;
  else
    l->first = w->next;
  if (w->next)
    w->next->prev = w->prev;
  else
    l->last = w->prev;
  l->count--;
  flow_of (w)->waiting--;
  w->team->waiting--;
  w->list = NULL;
  w->team = NULL;
  w->next = w->prev = NULL;
}

void
cfs_waitlist_begin_pass (struct cfs_waitlist *l)
{
  l->pass++;
}

static bool
can_be_picked (const struct cfs_waiter *w, unsigned kinds, int64_t now)
{
  return (w->kind & kinds) && w->pass != w->list->pass && now >= w->retry_at
         && now >= w->team->blocked_until;
}

/* The list is in the order of arrival in the queue, which a statement that is
   retried enters again; so the oldest is searched for, too. */
struct cfs_waiter *
cfs_waitlist_pick (struct cfs_waitlist *l, unsigned kinds, int64_t now)
{
  struct cfs_waiter *best = NULL;
  struct cfs_waiter *oldest = NULL;

  for (struct cfs_waiter *w = l->first; w; w = w->next)
    {
      if (!can_be_picked (w, kinds, now))
        continue;
      if (!best || precedes (w, best))
        best = w;
      if (!oldest || w->arrived < oldest->arrived)
        oldest = w;
    }
  if (best && l->by_class && l->served % STARVED_SHARE == STARVED_SHARE - 1
      && now - oldest->arrived >= STARVED_US)
    best = oldest;
  if (best)
    best->pass = l->pass;
  return best;
}

void
cfs_waitlist_block_team (struct cfs_waiter *w, int64_t until)
{
  if (w->team)
    w->team->blocked_until = until;
}

bool
cfs_waitlist_has (const struct cfs_waitlist *l, unsigned kinds,
                  const char *team)
{
  const struct cfs_wait_team *t = team ? find_team (l, team) : NULL;

  if (l->count == 0 || (team && (!t || !t->waiting)))
    return false;
  for (const struct cfs_waiter *w = l->first; w; w = w->next)
    if ((w->kind & kinds) && (!team || w->team == t))
      return true;
  return false;
}

static bool
is_equal_class (const struct cfs_waiter *a, const struct cfs_waiter *b)
{
  return a->list->by_class
         && a->class == b->class && a->in_transaction == b->in_transaction;
}

/* The teams of a class take turns, also with statements that arrive later; so
   at least as many of each team are served as of the entry's own. */
size_t
cfs_waitlist_ahead (const struct cfs_waiter *waiter, int64_t now)
{
  struct cfs_waitlist *l = waiter->list;
  size_t ahead = 0;
  size_t own = 0;
  size_t teams = 1;

  l->mark++;
  for (const struct cfs_waiter *w = l->first; w; w = w->next)
    {
      if (w == waiter || !(w->kind & waiter->kind) || now < w->retry_at)
        continue;
      ahead += precedes (w, waiter);
      if (!is_equal_class (w, waiter))
        continue;
      own += w->team == waiter->team && precedes (w, waiter);
      teams += w->team != waiter->team && w->team->mark != l->mark;
      w->team->mark = l->mark;
    }
  return own * teams > ahead ? own * teams : ahead;
}

void
cfs_waitlist_serve (struct cfs_waiter *w, int64_t now)
{
  struct cfs_waitlist *l = w->list;

  if (!l)
    return;
  if (!w->charged_us)
    {
      w->charged_us = (int64_t)w->team->account.avg_cost_us;
      cfs_vtime_charge (&w->team->account, w->team->account.avg_cost_us,
                        &l->vtime);
    }
  l->served++;
  decay_flow (flow_of (w), now);
  flow_of (w)->served += 1;
  cfs_waitlist_remove (w);
}

void
cfs_waitlist_done (struct cfs_waitlist *l, const char *team,
                   int64_t charged_us, int64_t used_us)
{
  struct cfs_wait_team *t = find_team (l, team);

  if (!t || !charged_us)
    return;
  cfs_vtime_correct (&t->account, charged_us, used_us);
  cfs_vtime_note_cost (&t->account, used_us);
}
