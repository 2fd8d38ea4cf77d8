/*
 * Handles a target that serves less, or more, than its declared slots, and one
 * that fails part of its statements.
 *
 * The limit is learned by additive increase and multiplicative decrease.  It
 * grows by about one per round trip while it is in use and the service time
 * stays near the baseline of the class.  It falls when statements are rejected
 * or when the service time shows a queue, at most once per round trip, because
 * all statements of that time met the same queue.
 *
 * A host that sends one statement at a time learns nothing about concurrency:
 * its limit stays at the declared slots until the target rejects a statement.
 *
 * Failures and results decay exponentially.  An ejected target is probed by
 * single statements of callers after a pause that doubles with each ejection.
 */
#include "capacity.h"

#include <math.h>

/* Range of declared slots that is believed, and the range of the limit.  A
   million declared slots must not switch the limit off. */
#define SLOTS_MAX 1000
#define LIMIT_MIN 1.0
#define LIMIT_PER_SLOT 4.0
/* Statements per declared slot that keep the slots in use in spite of the
   round trip. */
#define PIPELINED 2.0
/* The service time shows a queue above this multiple of the baseline: while
   the limit is above the pipelined slots, and up to them. */
#define QUEUE_TOLERANCE 2.0
#define QUEUE_TOLERANCE_DECLARED 4.0
/* Factors of the limit after a rejection and for a queue. */
#define BUSY_FACTOR 0.7
#define QUEUE_FACTOR 0.9
/* Least time between two reductions of the limit. */
#define LOWER_INTERVAL_MIN_US (20 * CFS_US_PER_MS)
/* Weight of a new service time in the moving averages.  A higher baseline is
   adopted slowly, so that a queue does not become the baseline. */
#define TIME_GAIN 0.125
#define BASELINE_GAIN_UP 0.02
#define BASELINE_DRIFT 0.001
/* Failures and results count less by a factor of e after this time.  A host
   that sends a target one statement a second has about 10 results in it. */
#define FAILURE_DECAY_US (10 * CFS_US_PER_S)
/* Least number of recent failures and least failure rate for an ejection.  A
   caller makes up to three attempts; at this rate one request in 125 fails in
   all of them. */
#define FAILURES_MIN 3.0
#define FAILURE_RATE_MIN 0.2
/* Duration of an ejection, doubling up to the maximum. */
#define EJECTION_US CFS_US_PER_S
#define EJECTION_MAX_US (16 * CFS_US_PER_S)
/* A re-entry divides the duration by this, so the next ejection is half as
   long as the last one. */
#define REENTRY_DIVISOR 4
/* Successive successes that end an ejection. */
#define PROBES_NEEDED 3
/* A target that is not chosen for this time after its ejection is no longer
   probed, but used normally. */
#define PROBING_MAX_US (30 * CFS_US_PER_S)
/* A service time without a sample for longer than this is not known. */
#define SERVICE_TTL_US (5 * CFS_US_PER_S)
/* Cost of a failed attempt: the shortest latency target of callers. */
#define FAILURE_COST_US (400 * CFS_US_PER_MS)

static double
limit_max (const struct cfs_capacity *c)
{
  return LIMIT_PER_SLOT * c->declared;
}

void
cfs_capacity_declare (struct cfs_capacity *c, uint32_t slots)
{
  if (slots < 1)
    slots = 1;
  if (slots > SLOTS_MAX)
    slots = SLOTS_MAX;
  if (slots == c->declared)
    return;
  c->declared = slots;
  c->limit = slots;
}

unsigned
cfs_capacity_enter (struct cfs_capacity *c)
{
  return ++c->in_flight;
}

void
cfs_capacity_leave (struct cfs_capacity *c)
{
  if (c->in_flight)
    c->in_flight--;
}

bool
cfs_capacity_has_room (const struct cfs_capacity *c)
{
  return c->declared == 0 || c->in_flight < (unsigned)c->limit;
}

/* Whether a statement met no queue of this host's own. */
static bool
is_unqueued (const struct cfs_capacity *c, unsigned load)
{
  return load <= 1 || load <= c->declared / 2;
}

static void
note_time (struct cfs_capacity *c, struct cfs_capacity_time *t, unsigned load,
           int64_t took_us)
{
  double took = took_us > 1 ? (double)took_us : 1;

  if (t->average_us == 0)
    t->average_us = t->baseline_us = took;
  t->average_us += TIME_GAIN * (took - t->average_us);
  if (t->average_us < t->baseline_us)
    t->baseline_us += TIME_GAIN * (t->average_us - t->baseline_us);
  else if (is_unqueued (c, load))
    t->baseline_us += BASELINE_GAIN_UP * (took - t->baseline_us);
  else if (c->limit > PIPELINED * c->declared)
    t->baseline_us -= BASELINE_DRIFT * t->baseline_us;
}

static void
lower_limit (struct cfs_capacity *c, double factor, double round_trip_us,
             int64_t now)
{
  int64_t interval = (int64_t)round_trip_us;

  if (interval < LOWER_INTERVAL_MIN_US)
    interval = LOWER_INTERVAL_MIN_US;
  if (c->lowered_at && now - c->lowered_at < interval)
    return;
  c->lowered_at = now;
  c->limit = fmax (c->limit * factor, LIMIT_MIN);
}

static void
raise_limit (struct cfs_capacity *c, unsigned load)
{
  if (c->limit >= c->declared && 2 * load < (unsigned)c->limit)
    return;
  c->limit = fmin (c->limit + 1 / c->limit, limit_max (c));
}

static void
adjust_limit (struct cfs_capacity *c, const struct cfs_capacity_time *t,
              unsigned load, int64_t now)
{
  double tolerance = c->limit > PIPELINED * c->declared
                         ? QUEUE_TOLERANCE
                         : QUEUE_TOLERANCE_DECLARED;

  if (t->average_us <= tolerance * t->baseline_us)
    raise_limit (c, load);
  else if (2 * load >= (unsigned)c->limit)
    lower_limit (c, QUEUE_FACTOR, t->average_us, now);
}

static double
decay_factor (const struct cfs_capacity *c, int64_t now)
{
  return exp (-(double)(now - c->decayed_at) / FAILURE_DECAY_US);
}

static void
count_result (struct cfs_capacity *c, bool failed, int64_t now)
{
  double factor = decay_factor (c, now);

  c->failures = c->failures * factor + failed;
  c->results = c->results * factor + 1;
  c->decayed_at = now;
}

/* Ends the ejection after enough successes, and forgets the failures that led
   to it. */
static void
note_probe (struct cfs_capacity *c, bool failed, int64_t now)
{
  if (cfs_capacity_state (c, now) == CAPACITY_CLOSED)
    return;
  if (failed)
    {
      c->probes = 0;
      if (now >= c->ejected_until)
        cfs_capacity_eject (c, now);
      return;
    }
  if (++c->probes < PROBES_NEEDED)
    return;
  c->ejected_until = 0;
  c->ejection_us /= REENTRY_DIVISOR;
  c->failures = 0;
  c->results = 0;
}

void
cfs_capacity_note_result (struct cfs_capacity *c,
                          enum cfs_capacity_class class,
                          enum cfs_capacity_outcome outcome, unsigned load,
                          int64_t took_us, int64_t now)
{
  struct cfs_capacity_time *t = &c->times[class];

  if (outcome == CAPACITY_BUSY)
    {
      lower_limit (c, BUSY_FACTOR, t->average_us, now);
      return;
    }
  count_result (c, outcome == CAPACITY_FAILED, now);
  note_probe (c, outcome == CAPACITY_FAILED, now);
  if (outcome != CAPACITY_OK)
    return;
  note_time (c, t, load, took_us);
  t->noted_at = now;
  adjust_limit (c, t, load, now);
}

enum cfs_capacity_state
cfs_capacity_state (const struct cfs_capacity *c, int64_t now)
{
  if (!c->ejected_until || now - c->ejected_until > PROBING_MAX_US)
    return CAPACITY_CLOSED;
  return now < c->ejected_until ? CAPACITY_EJECTED : CAPACITY_PROBING;
}

bool
cfs_capacity_should_eject (const struct cfs_capacity *c, int64_t now)
{
  return cfs_capacity_state (c, now) == CAPACITY_CLOSED
         && c->failures * decay_factor (c, now) >= FAILURES_MIN
         && c->failures >= FAILURE_RATE_MIN * c->results;
}

void
cfs_capacity_eject (struct cfs_capacity *c, int64_t now)
{
  c->ejection_us *= 2;
  if (c->ejection_us < EJECTION_US)
    c->ejection_us = EJECTION_US;
  if (c->ejection_us > EJECTION_MAX_US)
    c->ejection_us = EJECTION_MAX_US;
  c->ejected_until = now + c->ejection_us;
  c->probes = 0;
  c->ejections++;
}

bool
cfs_capacity_accepts_read (const struct cfs_capacity *c, int64_t now)
{
  switch (cfs_capacity_state (c, now))
    {
    case CAPACITY_EJECTED:
      return false;
    case CAPACITY_PROBING:
      return c->in_flight == 0;
    default:
      return cfs_capacity_has_room (c);
    }
}

/* The first failure does not count: a single one says little, and at one
   statement a second it would keep the target unused for a long time. */
int64_t
cfs_capacity_penalty_us (const struct cfs_capacity *c, int64_t now)
{
  double factor = decay_factor (c, now);
  double excess = c->failures * factor - 1;

  if (excess <= 0)
    return 0;
  return (int64_t)(FAILURE_COST_US * excess / (c->results * factor));
}

int64_t
cfs_capacity_service_us (const struct cfs_capacity *c,
                         enum cfs_capacity_class class, int64_t now)
{
  const struct cfs_capacity_time *t = &c->times[class];

  return now - t->noted_at <= SERVICE_TTL_US ? (int64_t)t->average_us : 0;
}

const char *
cfs_capacity_state_name (enum cfs_capacity_state state)
{
  static const char *const names[] = { "closed", "ejected", "probing" };

  return names[state];
}
