/*
 * A statement goes through phases: a token, a position, an instance, a link
 * in the right state, the run.  Until it has been sent it may start over at
 * another instance.  Once sent, only what an instance says for certain is
 * passed on as certain: a commit or a single write without an answer may
 * have taken effect.
 *
 * An instance that was replaced as primary answers a plain read with old
 * data and does not know it.  Reads of the latest state therefore run inside
 * a transaction that may write: a former primary refuses that.
 */
#include "session_int.h"

#include "../process/log.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define PART "run"
/* Pauses before a statement is tried again. */
#define NO_TARGET_PAUSE_US (10 * CFS_US_PER_MS)
#define TOKEN_PAUSE_US (5 * CFS_US_PER_MS)
#define BUSY_PAUSE_US (15 * CFS_US_PER_MS)
/* A read goes elsewhere when a connection is not up by then. */
#define OPEN_PATIENCE_US (350 * CFS_US_PER_MS)
#define REFUSAL_BYTES 96
/* Told to callers whose statement was not run. */
#define RETRY_HINT_MS 200

/* The transaction of the caller cannot go on; nothing of it is kept. */
static void
fail_transaction (struct cfs_session *s, const char *text, int64_t now)
{
  bool commit = s->op.statement.verb == VERB_COMMIT;

  session_abandon (s, now);
  s->state = commit ? TX_IDLE : TX_FAILED;
  session_reply (s, REPLY_ABORTED, text);
}

/* No instance has the statement: it has certainly not run. */
static void
refuse (struct cfs_session *s, int64_t now)
{
  char text[REFUSAL_BYTES];

  g_snprintf (text, sizeof text, "not run (%s), retry in %d ms",
              s->op.phase == OP_TOKEN ? "over the team's rate"
                                      : cfs_reply_name (s->op.last),
              RETRY_HINT_MS);
  if (s->state == TX_OPEN)
    fail_transaction (s, text, now);
  else
    {
      session_abandon (s, now);
      session_reply (s, REPLY_BUSY, text);
    }
}

/* The instance does not answer in time, or the link broke. */
static void
give_up (struct cfs_session *s, enum cfs_reply_code code, const char *text,
         int64_t now)
{
  bool commit = s->op.statement.verb == VERB_COMMIT;

  if (s->link && code == REPLY_TIMEOUT)
    cfs_pool_note_stuck (s->owner->setup.pool,
                         cfs_pooled_conn_target (s->link), true, now);
  if (s->state == TX_OPEN && !(commit && s->wrote))
    {
      fail_transaction (s, text, now);
      return;
    }
  session_abandon (s, now);
  s->state = TX_IDLE;
  if (commit || s->op.writes)
    code = REPLY_UNKNOWN;
  session_reply (s, code, text);
}

/* The statement itself; one of ours that wraps it ends with it. */
static void
send_statement (struct cfs_session *s, int64_t now)
{
  struct cfs_statement rows[2];
  char shape[SHAPE_NAME_BYTES];
  size_t count = 1;

  rows[0] = s->op.statement;
  if (rows[0].verb == VERB_EXECUTE)
    {
      session_shape_name (session_prepared (s, rows[0].name), shape);
      rows[0].name = shape;
    }
  if (s->state == TX_IDLE && !s->op.writes && !session_wraps (s))
    rows[0].after = s->op.need;
  if (session_wraps (s))
    {
      memset (&rows[1], 0, sizeof rows[1]);
      rows[1].verb = VERB_ROLLBACK;
      count = 2;
    }
  s->op.phase = OP_RUN;
  s->op.sent_at = now;
  if (s->op.writes)
    s->wrote = true;
  cfs_pooled_conn_send (s->link, rows, count, now);
}

static void
use_link (struct cfs_session *s)
{
  struct setup u = { .count = 0 };
  int64_t now = session_now (s);

  if (!session_key_holds (s, now))
    {
      refuse (s, now);
      return;
    }
  s->op.opens = false;
  session_setup (s, &u);
  if (u.count == SETUP_MAX)
    {
      cfs_pool_close_conn (s->link);
      s->link = NULL;
      session_reply (s, REPLY_FAILED, "too many values");
      return;
    }
  if (u.count == 0)
    {
      send_statement (s, now);
      return;
    }
  s->op.phase = OP_SETUP;
  s->op.setup_due = (unsigned)u.count;
  s->op.opened_at = now;
  cfs_pooled_conn_send (s->link, u.rows, u.count, now);
}

static void
add_tried (struct op *op, const char *target)
{
  if (op->tried_count < TRIED_MAX)
    cfs_copy (op->tried[op->tried_count++], CFS_NAME_MAX, target);
}

/* An instance for the statement, or NULL when it must wait. */
static const struct cfs_target *
choose_target (struct cfs_session *s, int64_t now)
{
  struct cfs_pool *pool = s->owner->setup.pool;
  const struct cfs_target *t;

  if (session_wants_primary (s))
    return cfs_pool_primary (pool, s->service, now);
  t = cfs_pool_choose (pool, s->service, &s->op.need,
                       (const char (*)[CFS_NAME_MAX])s->op.tried,
                       s->op.tried_count, now);
  if (!t)
    s->op.tried_count = 0;
  return t;
}

static const struct cfs_pooled_conn_events link_events;

static void
run_link (struct cfs_session *s, int64_t now)
{
  const struct cfs_target *t;
  bool opening;

  if (s->on_link)
    {
      cfs_copy (s->op.target, sizeof s->op.target,
                cfs_pooled_conn_target (s->link));
      use_link (s);
      return;
    }
  t = choose_target (s, now);
  if (!t)
    {
      s->op.retry_at = now + NO_TARGET_PAUSE_US;
      s->op.phase = OP_POSITION;
      return;
    }
  s->link = cfs_pool_acquire (s->owner->setup.pool, t->id, s->team,
                              &link_events, s, now, &opening);
  if (!s->link)
    {
      add_tried (&s->op, t->id);
      s->op.last = REPLY_NO_CONNECTION;
      s->op.retry_at
          = now + (session_wants_primary (s) ? NO_TARGET_PAUSE_US : 0);
      s->op.phase = OP_POSITION;
      return;
    }
  s->op.attempts++;
  s->op.opened_at = now;
  cfs_copy (s->op.target, sizeof s->op.target, t->id);
  if (opening)
    s->op.phase = OP_OPENING;
  else
    use_link (s);
}

static bool
run_position (struct cfs_session *s, int64_t now)
{
  struct op *op = &s->op;

  memset (&op->need, 0, sizeof op->need);
  if (session_wants_primary (s))
    return true;
  if (!cfs_samples_min_position (s->owner->samples, s->service,
                                 s->route.max_age_us, s->team, now, &op->need))
    {
      op->last = REPLY_BEHIND;
      return false;
    }
  if (s->route.consistency == CONSISTENCY_OWN
      && cfs_position_compare (&s->own, &op->need) > 0)
    op->need = s->own;
  return true;
}

static void
run_token (struct cfs_session *s, int64_t now)
{
  int64_t wait = 0;

  if (*s->team && !cfs_quota_take (s->owner->setup.quota, s->team, now, &wait))
    {
      if (cfs_quota_denied (s->owner->setup.quota, s->team, s->op.arrived,
                            now))
        {
          refuse (s, now);
          return;
        }
      session_wait (s, true);
      s->op.retry_at = now + (wait < TOKEN_PAUSE_US ? wait : TOKEN_PAUSE_US);
      return;
    }
  session_wait (s, false);
  if (s->op.statement.verb != VERB_BEGIN
      && s->op.statement.verb != VERB_BEGIN_READ)
    {
      s->op.phase = OP_POSITION;
      return;
    }
  s->state = TX_OPEN;
  session_reply (s, REPLY_OK, NULL);
}

void
session_run (struct cfs_session *s, int64_t now)
{
  enum op_phase before;

  if (now < s->op.retry_at)
    return;
  do
    {
      before = s->op.phase;
      if (before == OP_TOKEN)
        run_token (s, now);
      else if (before == OP_POSITION && run_position (s, now))
        {
          s->op.phase = OP_LINK;
          run_link (s, now);
        }
      else if (before == OP_LINK)
        run_link (s, now);
    }
  while (before == OP_TOKEN && s->op.phase == OP_POSITION);
}

static void
start_over (struct cfs_session *s, enum cfs_reply_code why, int64_t pause_us,
            int64_t now)
{
  struct op *op = &s->op;

  if (s->link)
    add_tried (op, cfs_pooled_conn_target (s->link));
  session_abandon (s, now);
  s->owner->stats.retries++;
  op->last = why;
  op->phase = OP_POSITION;
  op->retry_at = now + pause_us;
  cfs_log (CFS_INFO, PART,
           "id=%s database=%s starts over after code=%s "
           "attempts=%u",
           op->statement.id, s->database, cfs_reply_name (why), op->attempts);
  if (now >= op->hold_until)
    refuse (s, now);
  else
    session_run (s, now);
}

void
session_check (struct cfs_session *s, int64_t now)
{
  struct op *op = &s->op;

  if (op->phase == OP_RUN)
    {
      if (now >= op->deadline)
        give_up (s, REPLY_TIMEOUT, "no answer in time", now);
      return;
    }
  if (now >= op->hold_until)
    refuse (s, now);
  else if (op->phase == OP_OPENING && !session_wants_primary (s)
           && now - op->opened_at > OPEN_PATIENCE_US)
    {
      cfs_pool_note_slow (s->owner->setup.pool,
                          cfs_pooled_conn_target (s->link), now);
      start_over (s, REPLY_NO_CONNECTION, 0, now);
    }
  else
    session_run (s, now);
}

static void
on_opened (void *holder, const struct cfs_reply *r)
{
  struct cfs_session *s = holder;

  if (r->code == REPLY_OK)
    {
      use_link (s);
      return;
    }
  add_tried (&s->op, s->op.target);
  s->link = NULL;
  start_over (s, r->code, BUSY_PAUSE_US, session_now (s));
}

static void
note_refusal (struct cfs_session *s, enum cfs_reply_code code, int64_t now)
{
  struct cfs_pool *pool = s->owner->setup.pool;
  const char *target = cfs_pooled_conn_target (s->link);

  if (code == REPLY_NOT_PRIMARY)
    cfs_pool_note_not_primary (pool, target, now);
  else if (code == REPLY_BEHIND)
    cfs_pool_note_behind (pool, target, &s->op.need, now);
  else if (code == REPLY_BUSY)
    cfs_pool_note_overload (pool, target, now);
}

static void
take_setup_reply (struct cfs_session *s, const struct cfs_reply *r)
{
  int64_t now = session_now (s);
  struct op *op = &s->op;

  op->setup_due--;
  if (r->code != REPLY_OK)
    {
      note_refusal (s, r->code, now);
      if (op->setup_due > 0 || !op->opens || r->state != TX_IDLE)
        {
          add_tried (op, cfs_pooled_conn_target (s->link));
          cfs_pool_close_conn (s->link);
          s->link = NULL;
          s->on_link = false;
        }
      if (s->state == TX_OPEN && s->answered)
        fail_transaction (s, "the transaction was lost", now);
      else
        start_over (s, r->code, 0, now);
      return;
    }
  if (op->setup_due > 0)
    return;
  if (op->opens)
    {
      s->on_link = true;
      if (session_wants_primary (s))
        cfs_samples_add (s->owner->samples, s->service, &r->position,
                         op->opened_at);
    }
  if (!session_key_holds (s, now))
    refuse (s, now);
  else
    send_statement (s, now);
}

static void
release_link (struct cfs_session *s, int64_t now)
{
  struct cfs_pooled_conn *link = s->link;

  s->link = NULL;
  s->on_link = false;
  cfs_pool_release (link, now);
}

static void
note_own (struct cfs_session *s, const struct cfs_position *p)
{
  if (cfs_position_compare (p, &s->own) > 0)
    s->own = *p;
  cfs_samples_add (s->owner->samples, s->service, p, s->op.sent_at);
}

static void
take_success (struct cfs_session *s, const struct cfs_reply *r, int64_t now)
{
  struct cfs_reply out = *r;
  bool commit = s->op.statement.verb == VERB_COMMIT;

  if (!r->proof)
    {
      give_up (s, REPLY_FAILED, "the instance gave no proof", now);
      return;
    }
  cfs_pooled_conn_record_latency (s->link, now - s->op.sent_at);
  if ((s->state == TX_IDLE && s->op.writes) || (commit && s->wrote))
    {
      note_own (s, &r->position);
      cfs_pool_note_stuck (s->owner->setup.pool,
                           cfs_pooled_conn_target (s->link), false, now);
    }
  s->answered = true;
  if (s->state == TX_IDLE || commit)
    {
      s->state = TX_IDLE;
      out.state = TX_IDLE;
      release_link (s, now);
    }
  else
    out.state = TX_OPEN;
  session_answer (s, &out);
}

static bool
is_not_run (enum cfs_reply_code code)
{
  return code == REPLY_BUSY || code == REPLY_BEHIND
         || code == REPLY_NOT_PRIMARY || code == REPLY_WRONG_TARGET
         || code == REPLY_UNPREPARED || code == REPLY_NO_CONNECTION;
}

/* An error inside the caller's transaction. */
static void
take_inner_error (struct cfs_session *s, const struct cfs_reply *r,
                  int64_t now)
{
  bool commit = s->op.statement.verb == VERB_COMMIT;

  if (commit && s->wrote && !is_not_run (r->code) && r->code != REPLY_ABORTED)
    {
      give_up (s, REPLY_UNKNOWN, "the commit has no clear answer", now);
      return;
    }
  if (r->code == REPLY_BUSY && r->state == TX_OPEN
      && now + BUSY_PAUSE_US < s->op.hold_until)
    {
      s->op.phase = OP_LINK;
      s->op.retry_at = now + BUSY_PAUSE_US;
      return;
    }
  if (is_not_run (r->code) && !s->answered)
    {
      s->wrote = false;
      start_over (s, r->code, 0, now);
      return;
    }
  fail_transaction (s, "the transaction was rolled back", now);
}

/* An error of a statement outside the caller's transactions.  What we sent
   behind it ends our own transaction, so the link can go back at once. */
static void
take_single_error (struct cfs_session *s, const struct cfs_reply *r,
                   int64_t now)
{
  add_tried (&s->op, cfs_pooled_conn_target (s->link));
  release_link (s, now);
  if (is_not_run (r->code))
    start_over (s, r->code, r->code == REPLY_BUSY ? BUSY_PAUSE_US : 0, now);
  else if (!s->op.writes && s->op.attempts < s->route.max_attempts
           && now < s->op.hold_until)
    start_over (s, r->code, 0, now);
  else
    {
      struct cfs_reply out = { .code = r->code, .text = r->text };

      session_answer (s, &out);
    }
}

static void
take_error (struct cfs_session *s, const struct cfs_reply *r, int64_t now)
{
  note_refusal (s, r->code, now);
  if (s->state == TX_OPEN)
    take_inner_error (s, r, now);
  else
    take_single_error (s, r, now);
}

static void
on_replied (void *holder, const struct cfs_reply *r)
{
  struct cfs_session *s = holder;
  int64_t now = session_now (s);

  if (s->op.phase == OP_SETUP)
    take_setup_reply (s, r);
  else if (s->op.phase != OP_RUN)
    {
      cfs_log (CFS_WARNING, PART, "target=%s an answer without a question",
               cfs_pooled_conn_target (s->link));
      cfs_pool_close_conn (s->link);
      s->link = NULL;
      s->on_link = false;
    }
  else if (r->code == REPLY_OK)
    take_success (s, r, now);
  else
    take_error (s, r, now);
}

static void
on_lost (void *holder, const char *reason)
{
  struct cfs_session *s = holder;
  int64_t now = session_now (s);
  bool ran = s->op.phase == OP_RUN;

  add_tried (&s->op, s->op.target);
  s->link = NULL;
  s->on_link = false;
  if (s->op.phase == OP_NONE)
    s->state = TX_FAILED;
  else if (s->state == TX_OPEN && (s->answered || s->wrote))
    give_up (s, REPLY_UNKNOWN, reason, now);
  else if (!ran || (!s->op.writes && s->op.attempts < s->route.max_attempts))
    start_over (s, REPLY_UNKNOWN, 0, now);
  else
    give_up (s, REPLY_FAILED, reason, now);
}

static const struct cfs_pooled_conn_events link_events
    = { on_opened, on_replied, on_lost };
