/*
 * Simulation of the members of a control group.
 */
#include "members.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time for which a planned stop waits for its replacement, as in core.c. */
#define LEAVE_MAX_US (2500 * CFS_US_PER_MS)

/* Member ids: that of c1 as one of the first members, which follows from its
   name, and that of c1 if it starts with an empty disk later. */
#define FIRST_ID 100
#define FIRST_NEW_ID 200

uint64_t
wm_random_below (struct world_members *w, uint64_t bound)
{
  return cfs_random (&w->seed) % bound;
}

static void
send_message (void *ctx, const char *host, const Cfs__RaftMsg *msg)
{
  struct wm_host *m = ctx;
  struct world_members *w = m->world;
  struct wm_message *out;

  if (w->count == WM_MESSAGES)
    return;
  out = &w->messages[w->count++];
  out->len = cfs__raft_msg__get_packed_size (msg);
  out->data = cfs_alloc (out->len + 1);
  cfs__raft_msg__pack (msg, out->data);
  out->deliver_at = w->now + 500 + (int64_t)wm_random_below (w, 20000);
  out->from = m->index;
  out->to = (unsigned)strtoul (host + 1, NULL, 10) - 1;
}

/* Records an applied value and checks that all members apply the same values
   in the same order. */
static void
record_committed_value (struct wm_host *m, uint64_t value)
{
  struct world_members *w = m->world;

  m->applied++;
  if (m->applied > w->committed_count)
    w->values[w->committed_count++] = value;
  else if (w->values[m->applied - 1] != value)
    w->violation = "a committed value changed";
}

static void
apply (void *ctx, const struct cfs_raft_entry *e)
{
  uint64_t value;

  memcpy (&value, e->data, sizeof value);
  record_committed_value (ctx, value);
}

static void
restore (void *ctx, const uint8_t *data, size_t len)
{
  struct wm_host *m = ctx;

  m->applied = 0;
  for (size_t i = 0; i < len / sizeof (uint64_t); i++)
    {
      uint64_t value;

      memcpy (&value, data + i * sizeof value, sizeof value);
      record_committed_value (m, value);
    }
}

static size_t
serialize (void *ctx, uint8_t **data)
{
  struct wm_host *m = ctx;
  size_t len = m->applied * sizeof (uint64_t);

  *data = cfs_alloc (len + 1);
  memcpy (*data, m->world->values, len);
  return len;
}

static const struct cfs_raft_ops ops
    = { wd_save_vote,     wd_append,    wd_truncate,
        wd_save_snapshot, send_message, apply,
        restore,          serialize,    NULL };

static void
set_initial_members (const struct world_members *w,
                     struct cfs_raft_membership *list)
{
  list->count = WM_INITIAL_VOTERS;
  for (unsigned i = 0; i < WM_INITIAL_VOTERS; i++)
    {
      list->at[i].id = FIRST_ID + w->seeds[i];
      list->at[i].voter = true;
      snprintf (list->at[i].host, CFS_NAME_MAX, "c%u", w->seeds[i] + 1);
    }
}

void
wm_start (struct world_members *w, unsigned i)
{
  struct wm_host *m = &w->hosts[i];
  struct cfs_raft_initial_state initial = { .manages_voters = true,
                                            .lost_disks = w->lost_disks,
                                            .seed = cfs_random (&w->seed) };
  char name[16];

  snprintf (name, sizeof name, "c%u", i + 1);
  wd_load (&m->disk, &initial);
  if (initial.snapshot.members.count == 0)
    set_initial_members (w, &initial.snapshot.members);
  m->applied = 0;
  m->up = true;
  m->raft = cfs_raft_new (&ops, m, &initial, name, w->now);
}

void
wm_stop (struct world_members *w, unsigned i)
{
  struct wm_host *m = &w->hosts[i];

  if (!m->up)
    return;
  m->up = false;
  cfs_raft_free (m->raft);
}

void
wm_lose_disk (struct world_members *w, unsigned i)
{
  wd_empty (&w->hosts[i].disk, cfs_random (&w->seed) | 1);
}

struct world_members *
wm_new (uint64_t seed, unsigned lost_disks)
{
  struct world_members *w = cfs_alloc (sizeof *w);

  w->seed = seed * UINT64_C (0x9E3779B97F4A7C15) + 1;
  w->now = CFS_US_PER_S;
  w->lost_disks = lost_disks;
  for (unsigned i = 0; i < WM_HOSTS_MAX; i++)
    {
      w->hosts[i].world = w;
      w->hosts[i].index = i;
      w->hosts[i].disk.id
          = i < WM_INITIAL_VOTERS ? FIRST_ID + i : FIRST_NEW_ID + i;
    }
  for (unsigned i = 0; i < WM_INITIAL_VOTERS; i++)
    w->seeds[i] = i;
  for (unsigned i = 0; i < WM_INITIAL_VOTERS; i++)
    {
      set_initial_members (w, &w->hosts[i].disk.snapshot.members);
      wm_start (w, i);
    }
  return w;
}

void
wm_free (struct world_members *w)
{
  for (unsigned i = 0; i < WM_HOSTS_MAX; i++)
    {
      wm_stop (w, i);
      wd_empty (&w->hosts[i].disk, 0);
    }
  for (size_t i = 0; i < w->count; i++)
    free (w->messages[i].data);
  free (w);
}

int
wm_leader (const struct world_members *w)
{
  for (unsigned i = 0; i < WM_HOSTS_MAX; i++)
    if (w->hosts[i].up && cfs_raft_leader_confirmed (w->hosts[i].raft, w->now))
      return (int)i;
  return -1;
}

static void
propose (struct world_members *w)
{
  int l = wm_leader (w);
  uint64_t value = w->proposed_count + 1;

  if (l >= 0 && w->proposed_count < WM_VALUES / 2
      && cfs_raft_propose (w->hosts[l].raft, (uint8_t *)&value, sizeof value,
                           NULL)
             == CFS_OK)
    w->proposed_count++;
}

static bool
can_deliver (const struct world_members *w, const struct wm_message *m)
{
  return m->to < WM_HOSTS_MAX && w->hosts[m->to].up
         && w->hosts[m->to].cut == w->hosts[m->from].cut;
}

/* Delivers the messages that are due and ticks all members.  The queue is
   copied first: messages sent during delivery wait for the next step. */
void
wm_step (struct world_members *w)
{
  static struct wm_message pending[WM_MESSAGES];
  size_t count = w->count;

  w->now += WM_STEP_US;
  memcpy (pending, w->messages, count * sizeof pending[0]);
  w->count = 0;
  for (size_t i = 0; i < count; i++)
    if (w->now < pending[i].deliver_at && w->count < WM_MESSAGES)
      w->messages[w->count++] = pending[i];
  for (size_t i = 0; i < count; i++)
    if (w->now >= pending[i].deliver_at)
      {
        if (can_deliver (w, &pending[i]))
          {
            Cfs__RaftMsg *msg = cfs__raft_msg__unpack (NULL, pending[i].len,
                                                       pending[i].data);

            cfs_raft_receive (w->hosts[pending[i].to].raft, msg, w->now);
            cfs__raft_msg__free_unpacked (msg, NULL);
          }
        free (pending[i].data);
      }
  for (unsigned i = 0; i < WM_HOSTS_MAX; i++)
    if (w->hosts[i].up)
      cfs_raft_tick (w->hosts[i].raft, w->now);
  if (wm_random_below (w, 20) == 0)
    propose (w);
}

void
wm_run (struct world_members *w, int64_t us)
{
  int64_t until = w->now + us;

  while (w->now < until && !w->violation)
    wm_step (w);
}

size_t
wm_voters (const struct world_members *w)
{
  int l = wm_leader (w);

  return l < 0 ? 0
               : cfs_raft_count_voters (cfs_raft_members (w->hosts[l].raft));
}

void
wm_stop_as_planned (struct world_members *w, unsigned i)
{
  int64_t until = w->now + LEAVE_MAX_US;

  while (w->now < until && cfs_raft_leave (w->hosts[i].raft, w->now))
    wm_step (w);
  wm_stop (w, i);
}

void
wm_trace (struct world_members *w, const char *event, unsigned i)
{
  if (!getenv ("TRACE"))
    return;
  printf ("%lld ms c%u %s\n", (long long)(w->now / CFS_US_PER_MS), i + 1,
          event);
  for (unsigned k = 0; k < WM_HOSTS_MAX; k++)
    {
      const struct cfs_raft_membership *m;

      if (!w->hosts[k].up)
        continue;
      m = cfs_raft_members (w->hosts[k].raft);
      printf ("  c%u role %d term %llu commit %llu:", k + 1,
              (int)cfs_raft_role (w->hosts[k].raft),
              (unsigned long long)cfs_raft_term (w->hosts[k].raft),
              (unsigned long long)cfs_raft_commit_index (w->hosts[k].raft));
      for (size_t n = 0; n < m->count; n++)
        printf (" %s:%llx%s", m->at[n].host,
                (unsigned long long)m->at[n].id & 0xfff,
                m->at[n].voter ? "" : "(learner)");
      puts ("");
    }
}
