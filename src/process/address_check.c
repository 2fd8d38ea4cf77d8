/*
 * A connection names the instance that it expects, so the instance that
 * accepts it is that one.  Connections are closed by the tick and not inside
 * their own callbacks.
 */
#include "address_check.h"

#include <stdlib.h>

/**
 * struct check - one check, or a free place
 * @conn: connection, or NULL once it is lost
 * @finished: @result is known
 */
struct check
{
  bool used;
  struct cfs_target report;
  struct cfs_report_sender sender;
  struct cfs_target_conn *conn;
  int64_t started_at;
  bool finished;
  enum cfs_address_result result;
};

struct cfs_address_checks
{
  const struct cfs_address_check_ops *ops;
  void *ctx;
  const struct cfs_target_adapter *adapter;
  struct check checks[ADDRESS_CHECKS_MAX];
};

struct cfs_address_checks *
cfs_address_checks_new (const struct cfs_address_check_ops *ops, void *ctx,
                        const struct cfs_target_adapter *adapter)
{
  struct cfs_address_checks *a = cfs_alloc (sizeof *a);

  a->ops = ops;
  a->ctx = ctx;
  a->adapter = adapter;
  return a;
}

static void
finish (struct check *c, enum cfs_address_result result)
{
  c->finished = true;
  c->result = result;
}

static void
on_opened (void *owner, const struct cfs_reply *reply)
{
  if (reply->code == REPLY_OK)
    finish (owner, ADDRESS_CONFIRMED);
  else if (reply->code == REPLY_WRONG_TARGET)
    finish (owner, ADDRESS_REFUTED);
  else
    finish (owner, ADDRESS_UNKNOWN);
}

/* Nothing is sent that has a reply. */
static void
on_replied (void *owner, const struct cfs_reply *reply)
{
  (void)owner;
  (void)reply;
}

static void
on_lost (void *owner, const char *reason)
{
  struct check *c = owner;

  (void)reason;
  c->conn = NULL;
  if (!c->finished)
    finish (c, ADDRESS_UNKNOWN);
}

static const struct cfs_target_conn_events events
    = { on_opened, on_replied, on_lost, NULL };

static void
close_check (struct check *c)
{
  if (c->conn)
    c->conn->ops->close (c->conn);
  c->conn = NULL;
  c->used = false;
}

void
cfs_address_checks_free (struct cfs_address_checks *a)
{
  if (!a)
    return;
  for (size_t i = 0; i < ADDRESS_CHECKS_MAX; i++)
    close_check (&a->checks[i]);
  free (a);
}

static struct check *
find_free_place (struct cfs_address_checks *a)
{
  for (size_t i = 0; i < ADDRESS_CHECKS_MAX; i++)
    if (!a->checks[i].used)
      return &a->checks[i];
  return NULL;
}

bool
cfs_address_check_start (struct cfs_address_checks *a,
                         const struct cfs_target *report,
                         const struct cfs_report_sender *sender, int64_t now)
{
  struct cfs_target_conn_setup setup = { .address = report->address,
                                         .service = report->service,
                                         .team = CFS_CONTROL_TEAM,
                                         .target = report->id,
                                         .events = &events };
  struct check *c = find_free_place (a);

  if (!c)
    return false;
  *c = (struct check){ .report = *report,
                       .sender = *sender,
                       .started_at = now };
  setup.owner = c;
  c->conn = a->adapter->open (a->adapter, &setup);
  c->used = c->conn != NULL;
  return c->used;
}

/* The place is free before the callback, which may start another check. */
static void
end_check (struct cfs_address_checks *a, struct check *c, int64_t now)
{
  struct check ended = *c;

  close_check (c);
  a->ops->done (a->ctx, &ended.report, &ended.sender,
                ended.finished ? ended.result : ADDRESS_UNKNOWN, now);
}

void
cfs_address_checks_tick (struct cfs_address_checks *a, int64_t now)
{
  for (size_t i = 0; i < ADDRESS_CHECKS_MAX; i++)
    {
      struct check *c = &a->checks[i];

      if (c->used
          && (c->finished || now - c->started_at >= ADDRESS_CHECK_TIMEOUT_US))
        end_check (a, c, now);
    }
}
