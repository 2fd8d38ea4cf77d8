/*
 * There is one entry for each group and each team whose lease this host has
 * ever held.  Entries are not removed when the lease is lost, so that a result
 * that arrives later still finds its gate.
 */
#include "gates.h"

#include "../connection/pg.h"
#include "../process/log.h"
#include "gate.h"
#include "limit.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define PART "gate"
#define DIGEST_BYTES 32
#define PARAMS_MAX 64

/* A request of an entry host, from the arrival of its message to the reply. */
struct gate_request
{
  struct cfs_request request;
  struct cfs_origin origin;
  uint64_t id;
  struct cfs_gates *gates;
  char *text;
  char **params;
  struct cfs_sql sql;
};

/* A gate and its lease.  After a release, released_epoch is reported to the
   control leader until the gate gets a new lease. */
struct local_gate
{
  char name[CFS_NAME_MAX];
  struct cfs_gate *gate;
  struct cfs_pg *pg;
  struct cfs_gates *owner;
  bool released;
  uint64_t released_epoch;
  bool serving;
};

/* The rate limiter of one team; epoch is 0 without a lease. */
struct local_limiter
{
  char name[CFS_NAME_MAX];
  struct cfs_bucket bucket;
  uint64_t epoch;
  bool released;
  uint64_t granted;
};

/* The gates by group, the rate limiters by team, and the buffers for the
   lists of a heartbeat, each with report_cap entries. */
struct cfs_gates
{
  struct cfs_gates_setup setup;
  struct local_gate **gates;
  size_t count;
  size_t cap;
  struct cfs_table limiters;
  Cfs__GroupReport *reports;
  Cfs__GroupReport **report_list;
  Cfs__Release *releases;
  Cfs__Release **release_list;
  char (*release_names)[CFS_NAME_MAX];
  size_t report_cap;
};

static const struct cfs_sql *
request_statement (const struct cfs_request *r)
{
  return &((const struct gate_request *)r->payload)->sql;
}

static void
free_request (struct gate_request *gr)
{
  for (int i = 0; i < gr->sql.param_count; i++)
    free (gr->params[i]);
  free (gr->params);
  free (gr->text);
  free (gr);
}

static void
do_connect (void *ctx, unsigned conn, unsigned inst)
{
  cfs_pg_connect (((struct local_gate *)ctx)->pg, conn, inst);
}

static void
do_close (void *ctx, unsigned conn)
{
  cfs_pg_close (((struct local_gate *)ctx)->pg, conn);
}

static void
do_run (void *ctx, unsigned conn, enum cfs_work work, struct cfs_request *r)
{
  cfs_pg_run (((struct local_gate *)ctx)->pg, conn, work, r);
}

static void
do_probe (void *ctx, unsigned inst)
{
  cfs_pg_probe (((struct local_gate *)ctx)->pg, inst);
}

static void
do_promote (void *ctx, unsigned inst, uint64_t term)
{
  struct local_gate *local = ctx;

  cfs_log (CFS_NOTICE, PART,
           "group %s: promoting %s to primary in term %" PRIu64, local->name,
           cfs_gate_name (local->gate, inst), term);
  cfs_pg_promote (local->pg, inst, term);
}

static void
do_discard (void *ctx, void *body)
{
  (void)ctx;
  free (body);
}

static void
do_reply (void *ctx, struct cfs_request *r, const struct cfs_gate_reply *reply)
{
  struct local_gate *local = ctx;
  struct gate_request *gr = r->payload;
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__Answer a = CFS__ANSWER__INIT;

  a.id = gr->id;
  a.code = reply->code;
  a.outcome = reply->outcome;
  a.body = reply->body ? reply->body : (char *)"";
  a.term = reply->term;
  a.position = reply->position;
  a.transaction = r->transaction;
  a.replica = reply->replica;
  out.body_case = CFS__PEER__BODY_ANSWER;
  out.answer = &a;
  cfs_net_reply (local->owner->setup.net, &gr->origin, &out);
  free (reply->body);
  free_request (gr);
}

static const struct cfs_gate_ops gate_ops
    = { do_connect, do_close,   do_run,    do_reply,
        do_probe,   do_promote, do_discard };

struct cfs_gates *
cfs_gates_new (const struct cfs_gates_setup *setup)
{
  struct cfs_gates *g = cfs_alloc (sizeof *g);

  g->setup = *setup;
  cfs_table_init (&g->limiters, sizeof (struct local_limiter));
  return g;
}

void
cfs_gates_free (struct cfs_gates *g)
{
  if (!g)
    return;
  for (size_t i = 0; i < g->count; i++)
    {
      cfs_gate_free (g->gates[i]->gate, cfs_now ());
      cfs_pg_free (g->gates[i]->pg);
      free (g->gates[i]);
    }
  free (g->gates);
  free (g->reports);
  free (g->report_list);
  free (g->releases);
  free (g->release_list);
  free (g->release_names);
  cfs_table_end (&g->limiters);
  free (g);
}

static struct local_gate *
find_gate (const struct cfs_gates *g, const char *name)
{
  for (size_t i = 0; i < g->count; i++)
    if (strcmp (g->gates[i]->name, name) == 0)
      return g->gates[i];
  return NULL;
}

static struct local_gate *
make_gate (struct cfs_gates *g, const char *name)
{
  const struct cfs_settings *s = g->setup.settings;
  struct local_gate *local = cfs_alloc (sizeof *local);
  struct cfs_pg_setup pg = { .loop = g->setup.loop,
                             .platform = &cfs_platform_sql,
                             .user = s->target_user,
                             .database = s->target_database,
                             .password = s->target_password,
                             .statement = request_statement };
  uint64_t seed;

  randombytes_buf (&seed, sizeof seed);
  cfs_copy (local->name, sizeof local->name, name);
  local->owner = g;
  local->pg = cfs_pg_new (&pg);
  local->gate
      = cfs_gate_new (&gate_ops, local, name, &cfs_gate_defaults, seed);
  cfs_pg_set_gate (local->pg, local->gate);
  cfs_grow (&g->gates, &g->cap, g->count, sizeof *g->gates);
  g->gates[g->count++] = local;
  return local;
}

static void
configure_gate (const struct cfs_gates *g, struct local_gate *local)
{
  const struct cfs_group_conf *c = NULL;

  if (g->setup.directory->conf)
    c = cfs_conf_group (g->setup.directory->conf, local->name);
  cfs_gate_configure (local->gate, c ? c->size : CFS_GROUP_SIZE_DEFAULT,
                      c && c->ack_primary);
}

static void
apply_gate_lease (struct cfs_gates *g, const struct cfs_lease *lease,
                  int64_t now)
{
  const char *name = lease->resource + strlen (GATE_PREFIX);
  bool own = cfs_directory_holds_lease (g->setup.directory, lease);
  struct local_gate *local = find_gate (g, name);
  uint64_t epoch = own ? lease->epoch : 0;

  if (!local && !own)
    return;
  if (!local)
    local = make_gate (g, name);
  if (cfs_gate_epoch (local->gate) == epoch)
    return;
  if (own && local->released && local->released_epoch == epoch)
    return;
  local->released = false;
  configure_gate (g, local);
  cfs_gate_assign (local->gate, epoch, now);
  cfs_log (CFS_NOTICE, PART,
           own ? "group %s: gate lease acquired in epoch %" PRIu64
               : "group %s: gate lease lost, its epoch is now %" PRIu64,
           name, lease->epoch);
}

static void
apply_limiter_lease (struct cfs_gates *g, const struct cfs_lease *lease,
                     int64_t now)
{
  const char *name = lease->resource + strlen (LIMIT_PREFIX);
  const struct cfs_conf *conf = g->setup.directory->conf;
  const struct cfs_team *team = conf ? cfs_conf_team (conf, name) : NULL;
  bool own = cfs_directory_holds_lease (g->setup.directory, lease) && team;
  struct local_limiter *limiter;

  if (!own && !cfs_table_find (&g->limiters, name))
    return;
  limiter = cfs_table_add (&g->limiters, name);
  if (!own)
    limiter->epoch = 0;
  else if (limiter->epoch != lease->epoch)
    {
      limiter->epoch = lease->epoch;
      limiter->released = false;
      cfs_bucket_init (&limiter->bucket, team->rate, team->burst,
                       lease->epoch == 1, now);
    }
  else
    cfs_bucket_set_rate (&limiter->bucket, team->rate, team->burst, now);
}

void
cfs_gates_directory_changed (struct cfs_gates *g,
                             const Cfs__HeartbeatReply *reply, int64_t now)
{
  const struct cfs_directory *d = g->setup.directory;

  for (size_t i = 0; i < d->leases.count; i++)
    {
      const struct cfs_lease *l = cfs_table_at (&d->leases, i);

      if (strncmp (l->resource, GATE_PREFIX, strlen (GATE_PREFIX)) == 0)
        apply_gate_lease (g, l, now);
      else
        apply_limiter_lease (g, l, now);
    }
  for (size_t i = 0; i < reply->n_instances; i++)
    cfs_gates_announce (g, reply->instances[i], now);
  for (size_t i = 0; i < g->count; i++)
    {
      struct local_gate *local = g->gates[i];
      const struct cfs_group *group = cfs_table_find (&d->groups, local->name);

      configure_gate (g, local);
      if (group)
        cfs_gate_set_group (local->gate, group, now);
      cfs_gate_renew (local->gate, d->lease_until, now);
    }
}

/* Computes the digest of text and parameters, by which the target detects
   that an idempotency key is reused for another statement. */
static void
make_digest (struct gate_request *gr, const Cfs__Execute *in)
{
  unsigned char hash[DIGEST_BYTES];
  crypto_generichash_state st;

  crypto_generichash_init (&st, NULL, 0, sizeof hash);
  crypto_generichash_update (&st, (unsigned char *)gr->text,
                             strlen (gr->text) + 1);
  for (size_t i = 0; i < in->n_params; i++)
    {
      const Cfs__Param *p = in->params[i];
      unsigned char null = p->null;

      crypto_generichash_update (&st, &null, 1);
      crypto_generichash_update (&st, (unsigned char *)p->text,
                                 strlen (p->text) + 1);
    }
  crypto_generichash_final (&st, hash, sizeof hash);
  sodium_bin2hex (gr->sql.digest, sizeof gr->sql.digest, hash, sizeof hash);
}

static struct gate_request *
make_request (struct cfs_gates *g, const struct cfs_origin *from,
              const Cfs__Execute *in, int64_t now)
{
  struct gate_request *gr = cfs_alloc (sizeof *gr);
  struct cfs_request *r = &gr->request;

  gr->gates = g;
  gr->origin = *from;
  gr->id = in->id;
  gr->text = cfs_strdup (in->sql);
  gr->params = cfs_alloc (in->n_params * sizeof *gr->params);
  for (size_t i = 0; i < in->n_params; i++)
    gr->params[i]
        = in->params[i]->null ? NULL : cfs_strdup (in->params[i]->text);
  gr->sql.text = gr->text;
  gr->sql.params = (const char *const *)gr->params;
  gr->sql.param_count = (int)in->n_params;
  make_digest (gr, in);
  r->payload = gr;
  cfs_copy (r->team, sizeof r->team, in->team);
  r->weight = in->weight;
  r->kind = (enum cfs_request_kind)in->kind;
  r->deadline = now + (int64_t)in->budget_us;
  r->max_age_us = (int64_t)in->max_age_us;
  r->token_term = in->token_term;
  r->token_position = in->token_position;
  cfs_copy (r->key, sizeof r->key, in->idempotency_key);
  cfs_copy (r->transaction, sizeof r->transaction, in->transaction);
  r->send_once = in->once;
  return gr;
}

static void
refuse (struct cfs_gates *g, const struct cfs_origin *to, uint64_t id,
        enum cfs_code code)
{
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__Answer a = CFS__ANSWER__INIT;

  a.id = id;
  a.code = code;
  a.outcome = CFS_NOT_RUN;
  out.body_case = CFS__PEER__BODY_ANSWER;
  out.answer = &a;
  cfs_net_reply (g->setup.net, to, &out);
}

void
cfs_gates_execute (struct cfs_gates *g, const struct cfs_origin *from,
                   const Cfs__Execute *in, int64_t now)
{
  struct local_gate *local = find_gate (g, in->group);

  if (in->kind >= CFS_KIND_COUNT || in->n_params > PARAMS_MAX)
    {
      refuse (g, from, in->id, CFS_CODE_BAD_REQUEST);
      return;
    }
  if (!local || cfs_gate_epoch (local->gate) != in->epoch)
    {
      refuse (g, from, in->id, CFS_CODE_MOVED);
      return;
    }
  cfs_gate_submit (local->gate, &make_request (g, from, in, now)->request,
                   now);
}

void
cfs_gates_grant_tokens (struct cfs_gates *g, const struct cfs_origin *from,
                        const Cfs__TokenAsk *in, int64_t now)
{
  struct local_limiter *limiter = cfs_table_find (&g->limiters, in->team);
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__TokenGrant grant = CFS__TOKEN_GRANT__INIT;
  int64_t retry = 0;

  grant.id = in->id;
  grant.team = in->team;
  grant.moved = !limiter || limiter->released || limiter->epoch != in->epoch
                || !cfs_directory_has_lease (g->setup.directory, now);
  if (!grant.moved)
    {
      grant.count = cfs_bucket_take (&limiter->bucket, in->count, now, &retry);
      grant.retry_us = (uint64_t)retry;
      limiter->granted += grant.count;
    }
  out.body_case = CFS__PEER__BODY_GRANT;
  out.grant = &grant;
  cfs_net_reply (g->setup.net, from, &out);
}

void
cfs_gates_announce (struct cfs_gates *g, const Cfs__Instance *in, int64_t now)
{
  struct local_gate *local = find_gate (g, in->group);

  if (local)
    cfs_gate_update_instance (local->gate, in, now);
}

static void
log_serving (struct local_gate *local, int64_t now)
{
  bool serving = cfs_gate_serving (local->gate, now);

  if (serving == local->serving)
    return;
  local->serving = serving;
  cfs_log (CFS_NOTICE, PART, "group %s: %s", local->name,
           serving ? "accepting writes" : "not accepting writes");
}

void
cfs_gates_tick (struct cfs_gates *g, int64_t now)
{
  for (size_t i = 0; i < g->count; i++)
    {
      cfs_pg_report_failures (g->gates[i]->pg);
      cfs_pg_tick (g->gates[i]->pg, now);
      cfs_gate_tick (g->gates[i]->gate, now);
      log_serving (g->gates[i], now);
    }
}

static void
reserve_reports (struct cfs_gates *g)
{
  size_t need = g->count + g->limiters.count;

  if (need <= g->report_cap)
    return;
  free (g->reports);
  free (g->report_list);
  free (g->releases);
  free (g->release_list);
  free (g->release_names);
  g->report_cap = need * 2;
  g->reports = cfs_alloc (g->report_cap * sizeof *g->reports);
  g->report_list = cfs_alloc (g->report_cap * sizeof *g->report_list);
  g->releases = cfs_alloc (g->report_cap * sizeof *g->releases);
  g->release_list = cfs_alloc (g->report_cap * sizeof *g->release_list);
  g->release_names = cfs_alloc (g->report_cap * sizeof *g->release_names);
}

static void
add_release (struct cfs_gates *g, const char *prefix, const char *name,
             uint64_t epoch, Cfs__Heartbeat *out)
{
  size_t n = out->n_released;

  g_snprintf (g->release_names[n], CFS_NAME_MAX, "%s%s", prefix, name);
  cfs__release__init (&g->releases[n]);
  g->releases[n].resource = g->release_names[n];
  g->releases[n].epoch = epoch;
  g->release_list[n] = &g->releases[n];
  out->n_released++;
}

static void
report_gate (struct cfs_gates *g, struct local_gate *local, bool drain,
             Cfs__Heartbeat *out, int64_t now)
{
  uint64_t epoch = cfs_gate_epoch (local->gate);

  if (epoch && drain && cfs_gate_drain (local->gate, now))
    {
      local->released = true;
      local->released_epoch = epoch;
      cfs_gate_assign (local->gate, 0, now);
      cfs_log (CFS_NOTICE, PART, "group %s: gate lease released", local->name);
    }
  if (local->released)
    add_release (g, GATE_PREFIX, local->name, local->released_epoch, out);
  else if (epoch && cfs_gate_report (local->gate, &g->reports[out->n_reports]))
    {
      g->report_list[out->n_reports] = &g->reports[out->n_reports];
      out->n_reports++;
    }
}

void
cfs_gates_report (struct cfs_gates *g, bool drain, Cfs__Heartbeat *out,
                  int64_t now)
{
  reserve_reports (g);
  for (size_t i = 0; i < g->count; i++)
    report_gate (g, g->gates[i], drain, out, now);
  for (size_t i = 0; i < g->limiters.count; i++)
    {
      struct local_limiter *limiter = cfs_table_at (&g->limiters, i);

      if (!drain || limiter->epoch == 0)
        continue;
      limiter->released = true;
      add_release (g, LIMIT_PREFIX, limiter->name, limiter->epoch, out);
    }
  out->reports = g->report_list;
  out->released = g->release_list;
}

size_t
cfs_gates_held_count (const struct cfs_gates *g)
{
  size_t held = 0;

  for (size_t i = 0; i < g->count; i++)
    held += cfs_gate_epoch (g->gates[i]->gate) != 0;
  return held;
}

void
cfs_gates_metrics (const struct cfs_gates *g, GString *out, int64_t now)
{
  for (size_t i = 0; i < g->count; i++)
    {
      const struct cfs_gate_stats *s = cfs_gate_stats (g->gates[i]->gate);
      const char *n = g->gates[i]->name;

      g_string_append_printf (
          out,
          "coltsfootstage_gate_serving{group=\"%s\"} %d\n"
          "coltsfootstage_gate_reads_total{group=\"%s\",at=\"replica\"} "
          "%" PRIu64 "\n"
          "coltsfootstage_gate_reads_total{group=\"%s\",at=\"primary\"} "
          "%" PRIu64 "\n"
          "coltsfootstage_gate_writes_total{group=\"%s\"} %" PRIu64 "\n"
          "coltsfootstage_gate_asked_total{group=\"%s\"} %" PRIu64 "\n"
          "coltsfootstage_gate_sent_total{group=\"%s\"} %" PRIu64 "\n"
          "coltsfootstage_gate_retries_total{group=\"%s\"} %" PRIu64 "\n"
          "coltsfootstage_gate_refused_total{group=\"%s\"} %" PRIu64 "\n"
          "coltsfootstage_gate_connects_total{group=\"%s\"} %" PRIu64 "\n"
          "coltsfootstage_gate_promotions_total{group=\"%s\"} %" PRIu64 "\n",
          n, cfs_gate_serving (g->gates[i]->gate, now), n, s->reads_replica, n,
          s->reads_primary, n, s->writes, n, s->submitted, n, s->sent, n,
          s->retries, n, s->refused, n, s->connects, n, s->promotions);
    }
  for (size_t i = 0; i < g->limiters.count; i++)
    {
      const struct local_limiter *limiter = cfs_table_at (&g->limiters, i);

      g_string_append_printf (
          out, "coltsfootstage_limit_granted_total{team=\"%s\"} %" PRIu64 "\n",
          limiter->name, limiter->granted);
    }
}
