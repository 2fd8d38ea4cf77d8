/*
 * Connects the replicated log to disk, network and operators.  A patch is
 * proposed unless the replicated table of results has its request id, and
 * the reply comes from that table, so a patch that is sent again, to whichever
 * leader, gets the same reply.
 */
#include "control_int.h"

#include "log.h"

#include <cjson/cJSON.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define PART "control"
/* Lines of the audit trail written at a time, each with a sync. */
#define AUDIT_BATCH 8
#define HTTP_OK 200
#define HTTP_UNAVAILABLE 503

/* Logs when the disk begins to refuse writes, and when it takes them again.
   Until then this host can neither vote nor store what a leader must. */
static int
note_storage (struct cfs_control *c, const char *what, int rc)
{
  bool failed = rc != CFS_OK;

  if (failed && !c->storage_failed)
    cfs_log (CFS_ERR, PART, "cannot write %s to disk, status %d", what, rc);
  else if (!failed && c->storage_failed)
    cfs_log (CFS_NOTICE, PART, "the disk takes writes again");
  c->storage_failed = failed;
  return rc;
}

static int
save_vote (void *ctx, uint64_t term, uint64_t vote)
{
  struct cfs_control *c = ctx;

  return note_storage (c, "a vote", cfs_disk_save_vote (c->disk, term, vote));
}

static int
append (void *ctx, const struct cfs_raft_entry *entries, size_t count)
{
  struct cfs_control *c = ctx;

  return note_storage (c, "log entries",
                       cfs_disk_append (c->disk, entries, count));
}

static int
truncate_log (void *ctx, uint64_t from)
{
  struct cfs_control *c = ctx;

  return note_storage (c, "a truncation", cfs_disk_truncate (c->disk, from));
}

static int
save_snapshot (void *ctx, const struct cfs_raft_snapshot *s)
{
  struct cfs_control *c = ctx;

  return note_storage (c, "a snapshot", cfs_disk_save_snapshot (c->disk, s));
}

static const struct cfs_control_host *
find_control_host (const struct cfs_control *c, const char *host)
{
  for (size_t i = 0; i < c->settings->control_count; i++)
    if (strcmp (c->settings->control[i].host, host) == 0)
      return &c->settings->control[i];
  return NULL;
}

/* What is sent to a member while its message is handled takes the connection
   of that message.  It then arrives at the member's socket for this host alone
   and not among the requests of all hosts. */
static void
send_raft (void *ctx, const char *host, const Cfs__RaftMsg *msg)
{
  const struct cfs_control *c = ctx;
  const struct raft_request *request = &c->raft_request;
  const struct cfs_control_host *h = find_control_host (c, host);
  Cfs__Peer out = CFS__PEER__INIT;

  out.body_case = CFS__PEER__BODY_RAFT;
  out.raft = (Cfs__RaftMsg *)msg;
  if (request->from && strcmp (request->host, host) == 0)
    cfs_net_reply (c->net, request->from, &out);
  else if (h)
    cfs_net_send (c->net, h->address, h->port, &out);
  else if (c->settings->uses_seeds)
    cfs_net_send (c->net, host, c->settings->peer_port, &out);
}

static bool
write_audit (struct cfs_control *c, const struct cfs_version *v)
{
  cJSON *line = cJSON_CreateObject ();
  char *text;
  char *out;
  bool ok;

  cJSON_AddNumberToObject (line, "version", (double)v->number);
  cJSON_AddNumberToObject (line, "from", (double)v->number - 1);
  cJSON_AddNumberToObject (line, "when_ms", (double)v->when_ms);
  cJSON_AddStringToObject (line, "who", v->who);
  cJSON_AddStringToObject (line, "request_id", v->request_id);
  cJSON_AddStringToObject (line, "patch", v->patch);
  text = cJSON_PrintUnformatted (line);
  out = g_strdup_printf ("%s\n", text);
  ok = note_storage (c, "the audit trail",
                     cfs_disk_append_audit (c->disk, out) ? CFS_OK : CFS_IO)
       == CFS_OK;
  g_free (out);
  free (text);
  cJSON_Delete (line);
  return ok;
}

/* Writes versions that the audit trail lacks.  Those that cannot be written,
   or are too many at a time, follow with the next commands. */
static void
audit_versions (struct cfs_control *c)
{
  unsigned left = AUDIT_BATCH;

  for (size_t i = 0; i < c->state.version_count && left > 0; i++)
    {
      const struct cfs_version *v = &c->state.versions[i];

      if (v->number <= c->audited_version)
        continue;
      if (!write_audit (c, v))
        return;
      left--;
      c->audited_version = v->number;
      cfs_log (CFS_NOTICE, PART,
               "configuration version %" PRIu64 " accepted from %s", v->number,
               v->who);
    }
}

static void
apply (void *ctx, const struct cfs_raft_entry *e)
{
  struct cfs_control *c = ctx;

  if (cfs_state_apply (&c->state, e->data, e->len, e->index) != CFS_OK)
    cfs_log (CFS_ERR, PART, "log entry %" PRIu64 " cannot be decoded",
             e->index);
  if (c->state.version > c->audited_version)
    audit_versions (c);
}

static void
restore (void *ctx, const uint8_t *data, size_t len)
{
  struct cfs_control *c = ctx;

  if (cfs_state_restore (&c->state, data, len) != CFS_OK)
    cfs_log (CFS_ERR, PART, "the snapshot cannot be decoded");
}

static size_t
encode_snapshot (void *ctx, uint8_t **data)
{
  const struct cfs_control *c = ctx;

  return cfs_state_serialize (&c->state, data);
}

static void
report_change (void *ctx, const struct cfs_raft_change *change)
{
  const struct cfs_control *c = ctx;

  control_members_log_change (change, cfs_raft_term (c->raft));
}

static uint64_t
propose (void *ctx, const uint8_t *data, size_t len)
{
  struct cfs_control *c = ctx;
  uint64_t index = 0;

  if (cfs_raft_propose (c->raft, data, len, &index) != CFS_OK)
    return 0;
  return index;
}

uint64_t
control_propose (struct cfs_control *c, const Cfs__Command *cmd)
{
  size_t len = cfs__command__get_packed_size (cmd);
  uint8_t *data = cfs_alloc (len);
  uint64_t index;

  cfs__command__pack (cmd, data);
  index = propose (c, data, len);
  free (data);
  return index;
}

static const struct cfs_raft_ops raft_ops
    = { save_vote, append,  truncate_log,    save_snapshot, send_raft,
        apply,     restore, encode_snapshot, report_change };

static const struct cfs_leader_ops leader_ops = { propose };

static void
reply_operator (struct cfs_control *c, const struct cfs_origin *to,
                uint64_t id, uint32_t status, uint64_t version,
                const char *body)
{
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__OperatorReply reply = CFS__OPERATOR_REPLY__INIT;

  reply.id = id;
  reply.status = status;
  reply.version = version;
  reply.body = (char *)body;
  out.body_case = CFS__PEER__BODY_CALLED;
  out.called = &reply;
  cfs_net_reply (c->net, to, &out);
}

static void
reply_patch (struct cfs_control *c, const struct pending_patch *p,
             const struct cfs_patch_result *r, bool in_force)
{
  cJSON *doc = cJSON_CreateObject ();
  char *text;

  cJSON_AddNumberToObject (doc, "version", (double)r->version);
  if (r->status == HTTP_OK)
    cJSON_AddBoolToObject (doc, "in_force", in_force);
  else
    cJSON_AddStringToObject (doc, "detail", r->message);
  text = cJSON_PrintUnformatted (doc);
  reply_operator (c, &p->origin, p->id, r->status, r->version, text);
  free (text);
  cJSON_Delete (doc);
}

/* Replies to a patch once it is refused or in force, or when the time-out has
   passed or leadership is lost.  Returns whether it has replied. */
static bool
finish_patch (struct cfs_control *c, const struct pending_patch *p,
              bool confirmed, int64_t now)
{
  const struct cfs_patch_result *r
      = cfs_state_find_result (&c->state, p->request_id);
  bool late = now - p->received_at > IN_FORCE_WAIT_US;
  bool in_force;

  if (!r && (late || !confirmed))
    {
      reply_operator (c, &p->origin, p->id, HTTP_UNAVAILABLE, 0, "{}");
      return true;
    }
  if (!r)
    return false;
  in_force = cfs_leader_in_force (c->leader, r->version, now);
  if (r->status == HTTP_OK && !in_force && !late && confirmed)
    return false;
  reply_patch (c, p, r, in_force);
  return true;
}

static void
finish_patches (struct cfs_control *c, bool confirmed, int64_t now)
{
  size_t kept = 0;

  for (size_t i = 0; i < c->pending_count; i++)
    if (finish_patch (c, &c->pending[i], confirmed, now))
      free (c->pending[i].request_id);
    else
      c->pending[kept++] = c->pending[i];
  c->pending_count = kept;
}

static void
handle_patch (struct cfs_control *c, const struct cfs_origin *from,
              const Cfs__OperatorCall *request, int64_t now)
{
  Cfs__Command cmd = CFS__COMMAND__INIT;
  Cfs__Patch patch = CFS__PATCH__INIT;
  struct pending_patch *p;

  cfs_grow (&c->pending, &c->pending_cap, c->pending_count,
            sizeof *c->pending);
  p = &c->pending[c->pending_count++];
  p->origin = *from;
  p->id = request->id;
  p->request_id = cfs_strdup (request->request_id);
  p->received_at = now;
  if (!cfs_state_find_result (&c->state, request->request_id))
    {
      patch.base_version = request->base_version;
      patch.patch = request->body;
      patch.who = request->who;
      patch.request_id = request->request_id;
      patch.when_ms = cfs_wall_clock_ms ();
      cmd.body_case = CFS__COMMAND__BODY_PATCH;
      cmd.patch = &patch;
      control_propose (c, &cmd);
    }
  finish_patches (c, true, now);
}

static void
handle_operator_request (struct cfs_control *c, const struct cfs_origin *from,
                         const Cfs__OperatorCall *request, int64_t now)
{
  char *text;

  if (!cfs_raft_leader_confirmed (c->raft, now))
    {
      reply_operator (c, from, request->id, HTTP_UNAVAILABLE, 0,
                      cfs_raft_leader (c->raft));
      return;
    }
  if (request->kind == OPERATOR_PATCH)
    {
      handle_patch (c, from, request, now);
      return;
    }
  if (request->kind == OPERATOR_CONFIG)
    text = cfs_strdup (c->state.document);
  else if (request->kind == OPERATOR_AUDIT)
    text = control_audit_json (c);
  else
    text = control_status_json (c, now);
  reply_operator (c, from, request->id, HTTP_OK, c->state.version, text);
  free (text);
}

static void
handle_heartbeat (struct cfs_control *c, const struct cfs_origin *from,
                  const Cfs__Heartbeat *in, int64_t now)
{
  Cfs__Peer out = CFS__PEER__INIT;
  Cfs__HeartbeatReply denied = CFS__HEARTBEAT_REPLY__INIT;
  const Cfs__HeartbeatReply *reply = NULL;

  if (cfs_raft_leader_confirmed (c->raft, now))
    {
      cfs_leader_set_members (c->leader, cfs_raft_members (c->raft));
      reply = cfs_leader_heartbeat (c->leader, in, now);
    }
  if (reply)
    control_notify_replied (c, in->host, from);
  denied.seq = in->seq;
  denied.leader = (char *)cfs_raft_leader (c->raft);
  out.body_case = CFS__PEER__BODY_REPLY;
  out.reply = reply ? (Cfs__HeartbeatReply *)reply : &denied;
  cfs_net_reply (c->net, from, &out);
}

static void
handle_token_request (struct cfs_control *c, const struct cfs_origin *from,
                      const Cfs__TokensAsk *request, int64_t now)
{
  Cfs__Peer out = CFS__PEER__INIT;

  if (!cfs_raft_leader_confirmed (c->raft, now))
    return;
  out.body_case = CFS__PEER__BODY_TOKENS_GRANT;
  out.tokens_grant
      = (Cfs__TokensGrant *)cfs_leader_grant_tokens (c->leader, request, now);
  cfs_net_reply (c->net, from, &out);
}

static void
handle_raft (struct cfs_control *c, const struct cfs_origin *from,
             const Cfs__RaftMsg *in, int64_t now)
{
  c->raft_request.from = from;
  c->raft_request.host = in->host;
  cfs_raft_receive (c->raft, in, now);
  c->raft_request.from = NULL;
}

static void
receive (void *ctx, const struct cfs_origin *from, const Cfs__Peer *msg)
{
  struct cfs_control *c = ctx;
  int64_t now = cfs_now ();

  if (msg->body_case == CFS__PEER__BODY_RAFT)
    {
      control_load_count (&c->load, CONTROL_MSG_RAFT);
      handle_raft (c, from, msg->raft, now);
    }
  else if (msg->body_case == CFS__PEER__BODY_HEARTBEAT && from)
    {
      control_load_count (&c->load, CONTROL_MSG_HEARTBEAT);
      handle_heartbeat (c, from, msg->heartbeat, now);
    }
  else if (msg->body_case == CFS__PEER__BODY_CALL && from)
    {
      control_load_count (&c->load, CONTROL_MSG_OPERATOR);
      handle_operator_request (c, from, msg->call, now);
    }
  else if (msg->body_case == CFS__PEER__BODY_TOKENS_ASK && from)
    {
      control_load_count (&c->load, CONTROL_MSG_TOKENS);
      handle_token_request (c, from, msg->tokens_ask, now);
    }
}

uint64_t
cfs_control_bootstrap_id (const char *host)
{
  return cfs_hash (host, strlen (host), 7) | 1;
}

static void
bootstrap_members (const struct cfs_settings *s, struct cfs_raft_membership *m)
{
  m->count = s->control_count;
  for (size_t i = 0; i < s->control_count; i++)
    {
      m->at[i].id = cfs_control_bootstrap_id (s->control[i].host);
      m->at[i].voter = true;
      cfs_copy (m->at[i].host, CFS_NAME_MAX, s->control[i].host);
    }
}

bool
cfs_control_format (const struct cfs_settings *s, GError **error)
{
  struct cfs_raft_membership members = { .count = 0 };

  bootstrap_members (s, &members);
  return cfs_disk_format (s->data_folder, cfs_control_bootstrap_id (s->host),
                          &members, error);
}

static bool
open_net (struct cfs_control *c, void *zmq, GError **error)
{
  struct cfs_net_setup setup = { .zmq = zmq,
                                 .address = c->settings->address,
                                 .port = c->settings->control_port,
                                 .public_key = c->settings->curve_public,
                                 .secret_key = c->settings->curve_secret,
                                 .receive = receive,
                                 .ctx = c };

  c->net = cfs_net_new (&setup, c->loop);
  if (!c->net)
    g_set_error (error, CFS_DISK_ERROR, 0, "cannot listen on %s port %u",
                 c->settings->address, c->settings->control_port);
  return c->net != NULL;
}

/* On the first start of the control group, an initial member prepares its
   empty data folder itself. */
static bool
prepare_folder (const struct cfs_settings *s, GError **error)
{
  if (!s->uses_seeds || !s->first_start || cfs_disk_exists (s->data_folder))
    return true;
  for (size_t i = 0; i < s->control_count; i++)
    if (strcmp (s->control[i].host, s->host) == 0)
      return cfs_control_format (s, error);
  return true;
}

struct cfs_control *
cfs_control_new (const struct cfs_settings *settings, void *zmq,
                 struct cfs_loop *loop, GError **error)
{
  struct cfs_control *c = cfs_alloc (sizeof *c);
  struct cfs_raft_initial_state initial = { .id = 0 };
  uint64_t new_id;

  c->settings = settings;
  c->loop = loop;
  cfs_state_init (&c->state);
  randombytes_buf (&new_id, sizeof new_id);
  randombytes_buf (&initial.seed, sizeof initial.seed);
  initial.manages_voters = settings->uses_seeds;
  initial.lost_disks = settings->lost_disks;
  control_fleet_init (c);
  control_notify_init (&c->notify);
  if (prepare_folder (settings, error))
    c->disk
        = cfs_disk_open (settings->data_folder, &initial, new_id | 2, error);
  if (!c->disk || !open_net (c, zmq, error))
    {
      cfs_control_free (c);
      return NULL;
    }
  if (initial.snapshot.members.count == 0)
    {
      if (initial.count == 0)
        cfs_log (CFS_NOTICE, PART,
                 "data folder is new, requesting to join the control group");
      bootstrap_members (settings, &initial.snapshot.members);
    }
  c->audited_version = cfs_disk_last_audited_version (c->disk);
  c->leader = cfs_leader_new (&leader_ops, c, &c->state);
  c->raft = cfs_raft_new (&raft_ops, c, &initial, settings->host, cfs_now ());
  return c;
}

void
cfs_control_free (struct cfs_control *c)
{
  if (!c)
    return;
  control_fleet_end (c);
  control_notify_end (&c->notify);
  cfs_raft_free (c->raft);
  cfs_leader_free (c->leader);
  cfs_state_end (&c->state);
  cfs_net_free (c->net);
  cfs_disk_close (c->disk);
  for (size_t i = 0; i < c->pending_count; i++)
    free (c->pending[i].request_id);
  free (c->pending);
  free (c);
}

static void
log_role_change (struct cfs_control *c)
{
  enum cfs_raft_role role = cfs_raft_role (c->raft);

  if ((role == RAFT_LEADER) == (c->logged_role == RAFT_LEADER))
    return;
  c->logged_role = role;
  if (role == RAFT_LEADER)
    {
      control_load_start_term (&c->load);
      cfs_log (CFS_NOTICE, PART, "became leader in term %" PRIu64,
               cfs_raft_term (c->raft));
    }
  else
    control_load_log_term (&c->load, cfs_raft_term (c->raft));
}

void
cfs_control_tick (struct cfs_control *c, int64_t now)
{
  bool confirmed;

  control_load_tick (&c->load, now);
  cfs_raft_tick (c->raft, now);
  confirmed = cfs_raft_leader_confirmed (c->raft, now);
  cfs_leader_tick (c->leader, confirmed, cfs_raft_commit_index (c->raft), now);
  finish_patches (c, confirmed, now);
  control_fleet_tick (c, confirmed, now);
  control_notify_tick (c, confirmed);
  log_role_change (c);
  control_members_log_election (&c->members_log, c->raft, now);
}

bool
cfs_control_leave (struct cfs_control *c)
{
  return cfs_raft_leave (c->raft, cfs_now ());
}

void
cfs_control_pump (struct cfs_control *c)
{
  cfs_net_pump (c->net);
  cfs_raft_flush (c->raft, cfs_now ());
}
