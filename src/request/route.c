/*
 * Routing of reads.  A replica may serve a read if its history is a prefix
 * of the current one, if it has applied the session's position, and if it
 * has applied a position that the primary had within the maximum age of the
 * read.  The lag that a replica reports itself is not used, because a replica
 * that has lost its primary does not know that it is stale.
 */
#include "gate_int.h"

void
route_add_sample (struct cfs_gate *g, uint64_t position, int64_t at)
{
  struct primary_sample *s = &g->samples[g->sample_next];

  s->at = at;
  s->position = position;
  g->sample_next = (g->sample_next + 1) % ROUTE_SAMPLES;
  if (g->sample_count < ROUTE_SAMPLES)
    g->sample_count++;
}

void
route_clip_samples (struct cfs_gate *g, uint64_t start)
{
  for (size_t i = 0; i < ROUTE_SAMPLES; i++)
    if (g->samples[i].position > start)
      g->samples[i].position = start;
}

/* Whether data up to @position is at most @max_age_us old.  Positions only
   grow, so the oldest sample within that age gives the position that is
   required at least. */
static bool
within_max_age (const struct cfs_gate *g, uint64_t position,
                int64_t max_age_us, int64_t now)
{
  for (size_t i = 0; i < g->sample_count; i++)
    {
      size_t idx = (g->sample_next + ROUTE_SAMPLES - g->sample_count + i)
                   % ROUTE_SAMPLES;

      if (now - g->samples[idx].at <= max_age_us)
        return position >= g->samples[idx].position;
    }
  return false;
}

enum route_token
route_check_token (const struct cfs_group *group, uint64_t term,
                   uint64_t position)
{
  if (term == 0 || term == group->term)
    return TOKEN_VALID;
  if (term > group->term)
    return TOKEN_AHEAD;
  if (group->branch_count == 0 || term < group->branches[0].term)
    return TOKEN_LOST;
  for (size_t i = 0; i < group->branch_count; i++)
    if (group->branches[i].term > term && position > group->branches[i].start)
      return TOKEN_LOST;
  return TOKEN_VALID;
}

/* Whether the instance's history is a prefix of the current history.  The
   instance need not have heard of the current term. */
static bool
on_current_history (const struct cfs_gate *g, const struct gate_instance *in)
{
  return in->term != 0
         && route_check_token (&g->group, in->term, in->position)
                == TOKEN_VALID;
}

static bool
usable (const struct cfs_gate *g, const struct gate_instance *in, int64_t now)
{
  return !in->leaving && on_current_history (g, in)
         && now - in->last_probe_reply_at < g->tuning.reachable_timeout_us;
}

static bool
fresh (const struct cfs_gate *g, const struct gate_instance *in,
       const struct cfs_request *r, int64_t now)
{
  return in->position >= r->token_position
         && within_max_age (g, in->position, r->max_age_us, now);
}

/* Returns the least loaded replica that is fresh enough and has capacity, or
   -1.  The search starts at a rotating index, to spread reads over replicas
   of equal load.  @exists tells whether any replica is fresh enough. */
static int
least_loaded (struct cfs_gate *g, const struct cfs_request *r, int64_t now,
              bool *exists)
{
  int best = -1;
  unsigned best_load = 0;

  *exists = false;
  for (unsigned k = 0; k < g->inst_count; k++)
    {
      unsigned i = (g->next_inst + k) % g->inst_count;
      const struct gate_instance *in = &g->inst[i];
      unsigned load = in->running * 1000 / (in->slots ? in->slots : 1);

      if (in->primary || !usable (g, in, now) || !fresh (g, in, r, now))
        continue;
      *exists = true;
      if (!gate_has_capacity (g, i) || (best >= 0 && load >= best_load))
        continue;
      best = (int)i;
      best_load = load;
    }
  if (best >= 0)
    g->next_inst = (unsigned)best + 1;
  return best;
}

int
route_read (struct cfs_gate *g, const struct cfs_request *r, int64_t now)
{
  int primary = gate_primary (g);
  bool exists;
  int best;
  int64_t wait = g->tuning.wait_for_replica ? g->tuning.replica_wait_us : 0;

  if (route_check_token (&g->group, r->token_term, r->token_position)
      != TOKEN_VALID)
    return -1;
  best = least_loaded (g, r, now, &exists);
  if (best >= 0)
    return best;
  if (primary < 0 || g->phase != PHASE_SERVING || g->inst[primary].leaving
      || !gate_has_capacity (g, (unsigned)primary))
    return -1;
  if (r->max_age_us > 0 && now - r->arrived_at < wait
      && now < r->deadline - wait)
    return -1;
  return primary;
}
