/*
 * Stand-in for a target: one instance of a database group as a process of
 * its own.  It speaks the PostgreSQL frontend/backend protocol 3.0 (extended
 * query only) and executes a few fixed statements on orders and stock.  A
 * replica copies the primary's log and applies each entry after the chosen
 * lag; coltsfootstage_promote() makes it the primary of a term.  With
 * --announce it posts its state to hosts.
 *
 * SIGUSR1 disconnects it from its peers, or reconnects it.  SIGUSR2 makes it
 * announce that it is leaving, or no longer.  --record FILE appends all bytes
 * that it receives to FILE.
 *
 * Log entries are texts: "O ID TEAM ITEM QTY" is an order, "S ITEM QTY" a
 * stock level, "K TEAM KEY REQUEST" and "R TEAM KEY RESULT" the recorded
 * request and result of an idempotency key.
 *
 * Replication: a replica sends PEER_REQUEST to one peer after the other.  The
 * primary sends "T TERM START" for each term of its history, then "G".  The
 * replica truncates its log at the first term that is new to it and answers
 * "P POSITION".  From there on the primary sends "O TERM ENTRY" for each
 * entry, and "H" as heartbeat.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <getopt.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define CONNS_MAX 256
#define PEERS_MAX 8
#define LOG_MAX 200000
#define TERMS_MAX 64
#define PENDING_MAX 64
#define PROTOCOL_3 196608
#define SSL_REQUEST 80877103
#define PEER_REQUEST 80877199
#define ANNOUNCE_INTERVAL_US 300000
#define ANNOUNCE_TIMEOUT_US 1000000
#define FOLLOW_INTERVAL_US 50000
#define UPSTREAM_TIMEOUT_US 400000
#define HEARTBEAT_INTERVAL_US 100000
#define FOLLOWER_OUTPUT_MAX 65536

/* What a connection is used for. */
enum role
{
  FREE,
  /* Accepted: a session of the proxy, or a peer until its PEER_REQUEST. */
  CALLER,
  /* Accepted: a replica that receives the log. */
  FOLLOWER,
  /* Opened: to the peer whose log is copied. */
  UPSTREAM,
  /* Opened: to a host, for one announcement. */
  ANNOUNCER
};

struct log_entry
{
  char *text;
  int64_t appended_at;
  uint64_t term;
};

struct conn
{
  enum role role;
  int fd;
  /* skip_to_sync: after an error, ignores messages up to Sync. */
  bool started, closing, skip_to_sync, in_tx, failed, read_only, holds_slot;
  /* CALLER: end of the connect delay; UPSTREAM, ANNOUNCER: time-out. */
  int64_t due_at;
  /* CALLER: end of the running statement; FOLLOWER: next heartbeat. */
  int64_t busy_until;
  char *in, *out;
  size_t in_len, out_len;
  char sql[1024];
  char params[8][4096];
  bool null[8];
  int param_count;
  /* Log entries of the open transaction. */
  char *pending[PENDING_MAX];
  int pending_count;
  /* FOLLOWER: index of the next entry to send; UINT64_MAX until its answer. */
  uint64_t next_to_send;
  int peer;
};

static struct conn conns[CONNS_MAX];
static struct log_entry log_entries[LOG_MAX];
/* Number of entries in the log, and of those that reads see. */
static uint64_t position, visible_position;
/* History: each known term and the position at which it began. */
static struct
{
  uint64_t term, start;
} terms[TERMS_MAX];
static int term_count;
static bool is_primary, isolated, leaving, stopping;
static int peer_ports[PEERS_MAX], peer_count, announce_ports[PEERS_MAX],
    announce_count;
static int upstream = -1, busy_slots;
static const char *name = "t1", *group = "orders", *zone = "a", *key = "";
static int port = 5500, slots = 5, max_conns = 35, announce_index;
static int record_fd = -1;
static int64_t lag_us = 50000, service_us = 2000, connect_us = 12000;
/* Order ids of all INSERTs executed, also of those that were not committed;
   "SELECT seen" counts them, to find statements that ran twice. */
static char *insert_attempts[LOG_MAX];
static size_t insert_attempt_count;

static int64_t
now_us (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000000 + t.tv_nsec / 1000;
}

static void
append_output (struct conn *c, const void *data, size_t len)
{
  c->out = realloc (c->out, c->out_len + len + 1);
  memcpy (c->out + c->out_len, data, len);
  c->out_len += len;
}

static void
append_message (struct conn *c, char type, const void *body, size_t len)
{
  uint32_t n = htonl ((uint32_t)len + 4);
  append_output (c, &type, 1);
  append_output (c, &n, 4);
  append_output (c, body, len);
}

static void
close_conn (struct conn *c)
{
  if (c->holds_slot)
    busy_slots--;
  if (c->role == UPSTREAM && upstream == (int)(c - conns))
    upstream = -1;
  close (c->fd);
  free (c->in);
  free (c->out);
  for (int i = 0; i < c->pending_count; i++)
    free (c->pending[i]);
  memset (c, 0, sizeof *c);
}

static struct conn *
add_conn (int fd, enum role role)
{
  int one = 1;
  for (int i = 0; i < CONNS_MAX; i++)
    if (conns[i].role == FREE)
      {
        memset (&conns[i], 0, sizeof conns[i]);
        conns[i].role = role;
        conns[i].fd = fd;
        fcntl (fd, F_SETFL, O_NONBLOCK);
        setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
        return &conns[i];
      }
  close (fd);
  return NULL;
}

static struct conn *
connect_to (int to, enum role role)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (to) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  if (connect (fd, (struct sockaddr *)&a, sizeof a) != 0
      && errno != EINPROGRESS)
    {
      close (fd);
      return NULL;
    }
  return add_conn (fd, role);
}

static uint64_t
current_term (void)
{
  return term_count ? terms[term_count - 1].term : 0;
}

static void
add_term (uint64_t t, uint64_t start)
{
  if (term_count == TERMS_MAX)
    memmove (terms, terms + 1, sizeof terms[0] * --term_count);
  terms[term_count].term = t;
  terms[term_count++].start = start;
}

/* The last visible entry whose text starts with @prefix, or NULL. */
static const char *
find_committed (const char *prefix)
{
  for (uint64_t i = visible_position; i > 0; i--)
    if (strncmp (log_entries[i - 1].text, prefix, strlen (prefix)) == 0)
      return log_entries[i - 1].text;
  return NULL;
}

/* Whether another open transaction wrote an entry that starts with @prefix. */
static bool
is_locked_by_other (const struct conn *self, const char *prefix)
{
  for (int i = 0; i < CONNS_MAX; i++)
    for (int j = 0; j < conns[i].pending_count; j++)
      if (&conns[i] != self
          && strncmp (conns[i].pending[j], prefix, strlen (prefix)) == 0)
        return true;
  return false;
}

static void
append_to_log (const char *text, uint64_t t)
{
  if (position == LOG_MAX)
    exit (3);
  log_entries[position].text = strdup (text);
  log_entries[position].appended_at = now_us ();
  log_entries[position++].term = t;
}

static void
send_error (struct conn *c, const char *state, const char *text)
{
  char body[256];
  int n = snprintf (body, sizeof body, "SERROR%cC%s%cM%s%c", 0, state, 0, text,
                    0);
  append_message (c, 'E', body, (size_t)n + 1);
  c->skip_to_sync = true;
  if (c->in_tx)
    c->failed = true;
}

static void
send_command_complete (struct conn *c, const char *tag)
{
  append_message (c, 'C', tag, strlen (tag) + 1);
}

static void
send_row_description (struct conn *c, const char *columns)
{
  char body[512];
  size_t len = 2;
  uint16_t count = 0;
  char list[128];
  snprintf (list, sizeof list, "%s", columns);
  for (char *s = strtok (list, ","); s; s = strtok (NULL, ","), count++)
    {
      len += (size_t)snprintf (body + len, sizeof body - len, "%s", s) + 1;
      memset (body + len, 0, 18);
      body[len + 9] = 25;
      len += 18;
    }
  body[0] = 0;
  body[1] = (char)count;
  append_message (c, 'T', body, len);
}

static void
send_data_row (struct conn *c, int count, const char **values)
{
  char body[9000] = { 0, (char)count };
  size_t len = 2;
  for (int i = 0; i < count; i++)
    {
      uint32_t n = htonl ((uint32_t)strlen (values[i]));
      memcpy (body + len, &n, 4);
      memcpy (body + len + 4, values[i], strlen (values[i]));
      len += 4 + strlen (values[i]);
    }
  append_message (c, 'D', body, len);
}

static bool
sql_is (const struct conn *c, const char *prefix)
{
  return strncmp (c->sql, prefix, strlen (prefix)) == 0;
}

static void
run_position (struct conn *c)
{
  char a[24], b[24], s[24];
  const char *v[] = { a, b, s, is_primary ? "t" : "f" };
  snprintf (a, sizeof a, "%llu", (unsigned long long)current_term ());
  snprintf (b, sizeof b, "%llu", (unsigned long long)visible_position);
  snprintf (
      s, sizeof s, "%llu",
      (unsigned long long)(term_count ? terms[term_count - 1].start : 0));
  send_row_description (c, "term,position,start,leads");
  send_data_row (c, 4, v);
  send_command_complete (c, "SELECT 1");
}

static void
run_promote (struct conn *c)
{
  uint64_t t = strtoull (c->params[0], NULL, 10);
  const char *v[] = { "t" };
  if (t < current_term () || (t == current_term () && !is_primary))
    {
      send_error (c, "55000", "the term is superseded");
      return;
    }
  if (t > current_term ())
    add_term (t, position);
  visible_position = position;
  is_primary = true;
  fprintf (stderr, "target: %s: primary in term %llu from position %llu\n",
           name, (unsigned long long)t, (unsigned long long)position);
  send_row_description (c, "promote");
  send_data_row (c, 1, v);
  send_command_complete (c, "SELECT 1");
}

static bool
add_pending (struct conn *c, const char *text)
{
  if (c->pending_count == PENDING_MAX)
    return false;
  c->pending[c->pending_count++] = strdup (text);
  return true;
}

/* Adds @text to the open transaction.  @prefix is the row's key if it must not
   exist yet, else NULL. */
static void
run_write (struct conn *c, const char *prefix, const char *text,
           const char *tag)
{
  if (c->read_only || !is_primary)
    send_error (c, "25006", "cannot write in a read-only transaction");
  else if (prefix && find_committed (prefix))
    send_error (c, "23505", "duplicate key");
  else if (prefix && is_locked_by_other (c, prefix))
    send_error (c, "55P03", "the row is locked");
  else if (!c->in_tx || !add_pending (c, text))
    send_error (c, "25P01", "no transaction");
  else
    send_command_complete (c, tag);
}

static void
run_outcome (struct conn *c)
{
  char prefix[512], text[9000];
  if (sql_is (c, "UPDATE"))
    {
      snprintf (text, sizeof text, "R %s %s %s", c->params[0], c->params[1],
                c->params[2]);
      run_write (c, NULL, text, "UPDATE 1");
      return;
    }
  snprintf (prefix, sizeof prefix, "K %.200s %.200s ", c->params[0],
            c->params[1]);
  if (sql_is (c, "INSERT"))
    {
      snprintf (text, sizeof text, "%s%s", prefix, c->params[2]);
      run_write (c, prefix, text, "INSERT 0 1");
      return;
    }
  const char *k = find_committed (prefix);
  size_t skip = strlen (prefix);
  send_row_description (c, "request,result");
  prefix[0] = 'R';
  const char *r = find_committed (prefix);
  if (k && r)
    {
      const char *v[] = { k + skip, r + skip };
      send_data_row (c, 2, v);
    }
  send_command_complete (c, "SELECT 1");
}

static void
run_orders (struct conn *c)
{
  char text[9000], prefix[512], id[128], team[64], item[64], qty[32];
  if (sql_is (c, "INSERT"))
    {
      snprintf (prefix, sizeof prefix, "O %.200s ", c->params[0]);
      snprintf (text, sizeof text, "%s%.60s %.60s %.30s", prefix, c->params[1],
                c->params[2], c->params[3]);
      if (insert_attempt_count < LOG_MAX)
        insert_attempts[insert_attempt_count++] = strdup (c->params[0]);
      run_write (c, prefix, text, "INSERT 0 1");
      return;
    }
  if (sql_is (c, "SELECT seen"))
    {
      int n = 0;
      for (size_t i = 0; i < insert_attempt_count; i++)
        n += strcmp (insert_attempts[i], c->params[0]) == 0;
      snprintf (text, sizeof text, "%d", n);
      const char *v[] = { text };
      send_row_description (c, "seen");
      send_data_row (c, 1, v);
      send_command_complete (c, "SELECT 1");
      return;
    }
  bool count = sql_is (c, "SELECT count");
  int found = 0;
  send_row_description (c, count ? "count" : "id,team,item,qty");
  for (uint64_t i = 0; i < visible_position; i++)
    {
      if (sscanf (log_entries[i].text, "O %127s %63s %63s %31s", id, team,
                  item, qty)
              != 4
          || (c->param_count && strcmp (id, c->params[0]) != 0))
        continue;
      found++;
      const char *v[] = { id, team, item, qty };
      if (!count && (c->param_count || visible_position - i < 200))
        send_data_row (c, 4, v);
    }
  if (count)
    {
      snprintf (text, sizeof text, "%d", found);
      const char *v[] = { text };
      send_data_row (c, 1, v);
    }
  send_command_complete (c, "SELECT 1");
}

static void
run_stock (struct conn *c)
{
  char text[512], prefix[256];
  snprintf (prefix, sizeof prefix, "S %.200s ", c->params[0]);
  if (sql_is (c, "UPDATE"))
    {
      snprintf (text, sizeof text, "%s%.30s", prefix, c->params[1]);
      run_write (c, NULL, text, "UPDATE 1");
      return;
    }
  const char *entry = find_committed (prefix);
  const char *v[] = { entry ? entry + strlen (prefix) : "0" };
  send_row_description (c, "qty");
  send_data_row (c, 1, v);
  send_command_complete (c, "SELECT 1");
}

static void
end_tx (struct conn *c, bool commit)
{
  bool lost = commit && c->pending_count && !is_primary;
  bool rolled_back = !commit || c->failed;
  for (int i = 0; i < c->pending_count; i++)
    {
      if (!rolled_back && !lost)
        append_to_log (c->pending[i], current_term ());
      free (c->pending[i]);
    }
  c->pending_count = 0;
  if (is_primary)
    visible_position = position;
  c->in_tx = c->failed = c->read_only = false;
  if (lost)
    send_error (c, "25006", "no longer the primary");
  else
    send_command_complete (c, rolled_back ? "ROLLBACK" : "COMMIT");
}

static void
execute (struct conn *c)
{
  if (sql_is (c, "ROLLBACK") || sql_is (c, "COMMIT"))
    end_tx (c, sql_is (c, "COMMIT"));
  else if (c->failed)
    send_error (c, "25P02", "the transaction is aborted");
  else if (sql_is (c, "BEGIN"))
    {
      c->in_tx = true;
      c->read_only = sql_is (c, "BEGIN READ ONLY");
      send_command_complete (c, "BEGIN");
    }
  else if (strstr (c->sql, "coltsfootstage_position"))
    run_position (c);
  else if (strstr (c->sql, "coltsfootstage_promote"))
    run_promote (c);
  else if (strstr (c->sql, "coltsfootstage_outcome"))
    run_outcome (c);
  else if (strstr (c->sql, "orders"))
    run_orders (c);
  else if (strstr (c->sql, "stock"))
    run_stock (c);
  else
    send_error (c, "42601", "syntax error");
}

/* Statements on orders and stock take one of the slots for service_us. */
static bool
needs_slot (const struct conn *c)
{
  return (strstr (c->sql, "orders") || strstr (c->sql, "stock"))
         && !strstr (c->sql, "seen");
}

/* Waits for a slot, then for the statement's service time.  Return: whether
   the statement can be executed now. */
static bool
service_completed (struct conn *c)
{
  int64_t now = now_us ();
  if (!needs_slot (c) || c->failed)
    return true;
  if (!c->holds_slot)
    {
      if (busy_slots >= slots)
        return false;
      c->holds_slot = true;
      c->busy_until = now + service_us;
      busy_slots++;
    }
  if (now < c->busy_until)
    return false;
  c->holds_slot = false;
  busy_slots--;
  return true;
}

static const char *
read_param (struct conn *c, int i, const char *p)
{
  uint32_t n;
  memcpy (&n, p, 4);
  n = ntohl (n);
  c->null[i] = n == UINT32_MAX;
  if (c->null[i])
    n = 0;
  size_t keep = n < sizeof c->params[0] - 1 ? n : sizeof c->params[0] - 1;
  memcpy (c->params[i], p + 4, keep);
  c->params[i][keep] = 0;
  return p + 4 + n;
}

static void
bind_params (struct conn *c, const char *p)
{
  uint16_t formats, count;
  p += strlen (p) + 1;
  p += strlen (p) + 1;
  memcpy (&formats, p, 2);
  p += 2 + 2 * ntohs (formats);
  memcpy (&count, p, 2);
  p += 2;
  c->param_count = ntohs (count) < 8 ? ntohs (count) : 8;
  for (int i = 0; i < c->param_count; i++)
    p = read_param (c, i, p);
}

static void
send_ready_for_query (struct conn *c)
{
  char state = c->failed ? 'E' : c->in_tx ? 'T' : 'I';
  append_message (c, 'Z', &state, 1);
}

/* Handles one message.  Return: false if it must be retried later. */
static bool
handle_message (struct conn *c, char type, const char *body)
{
  if (type == 'S')
    {
      c->skip_to_sync = false;
      send_ready_for_query (c);
    }
  else if (type == 'X')
    c->closing = true;
  else if (c->skip_to_sync)
    return true;
  else if (type == 'P')
    {
      snprintf (c->sql, sizeof c->sql, "%s", body + strlen (body) + 1);
      append_message (c, '1', "", 0);
    }
  else if (type == 'B')
    {
      bind_params (c, body);
      append_message (c, '2', "", 0);
    }
  else if (type == 'E')
    {
      if (!service_completed (c))
        return false;
      execute (c);
    }
  return true;
}

static void
start_session (struct conn *c)
{
  static const char version[] = "server_version\0"
                                "15.0";
  static const char encoding[] = "client_encoding\0"
                                 "UTF8";
  uint32_t zero = 0;
  char key_data[8] = { 0 };
  append_message (c, 'R', &zero, 4);
  append_message (c, 'S', version, sizeof version);
  append_message (c, 'S', encoding, sizeof encoding);
  append_message (c, 'K', key_data, 8);
  send_ready_for_query (c);
  c->started = true;
}

/* Handles the first message of a connection.  Return: the bytes consumed, 0 if
   the message is incomplete or the connect delay has not passed. */
static size_t
handle_startup (struct conn *c)
{
  uint32_t len, code;
  if (c->in_len < 8)
    return 0;
  memcpy (&len, c->in, 4);
  memcpy (&code, c->in + 4, 4);
  len = ntohl (len);
  code = ntohl (code);
  if (len > c->in_len)
    return 0;
  if (code == SSL_REQUEST)
    append_output (c, "N", 1);
  else if (code == PEER_REQUEST && !isolated)
    {
      c->role = FOLLOWER;
      memcpy (&c->next_to_send, c->in + 8, 8);
    }
  else if (code == PROTOCOL_3)
    {
      int n = 0;
      for (int i = 0; i < CONNS_MAX; i++)
        n += conns[i].role == CALLER;
      if (n > max_conns)
        c->closing = true;
      if (c->due_at == 0)
        c->due_at = now_us () + connect_us;
      if (now_us () < c->due_at)
        return 0;
      start_session (c);
    }
  else
    c->closing = true;
  return len;
}

static void
serve_caller (struct conn *c)
{
  size_t used = 0;
  while (c->role == CALLER && !c->closing)
    {
      size_t n;
      if (!c->started)
        {
          n = handle_startup (c);
          if (n == 0)
            break;
        }
      else
        {
          uint32_t len;
          if (c->in_len < 5)
            break;
          memcpy (&len, c->in + 1, 4);
          n = ntohl (len) + 1;
          if (c->in_len < n || !handle_message (c, c->in[0], c->in + 5))
            break;
        }
      memmove (c->in, c->in + n, c->in_len - n);
      c->in_len -= n;
      used += n;
    }
  (void)used;
}

/* Sends a follower the history, then the log entries and heartbeats. */
static void
serve_follower (struct conn *c)
{
  char line[9200];
  if (isolated || !is_primary)
    {
      c->closing = true;
      return;
    }
  if (!c->started)
    {
      for (int i = 0; i < term_count; i++)
        {
          int n = snprintf (line, sizeof line, "T %llu %llu\n",
                            (unsigned long long)terms[i].term,
                            (unsigned long long)terms[i].start);
          append_output (c, line, (size_t)n);
        }
      int n = snprintf (line, sizeof line, "G\n");
      append_output (c, line, (size_t)n);
      c->started = true;
      c->next_to_send = UINT64_MAX;
    }
  /* The follower sends "P POSITION" once it has truncated its log. */
  if (c->next_to_send == UINT64_MAX && c->in_len
      && memchr (c->in, '\n', c->in_len))
    {
      c->next_to_send = strtoull (c->in + 2, NULL, 10);
      c->in_len = 0;
    }
  if (now_us () > c->busy_until)
    {
      append_output (c, "H\n", 2);
      c->busy_until = now_us () + HEARTBEAT_INTERVAL_US;
    }
  while (c->next_to_send < position && c->out_len < FOLLOWER_OUTPUT_MAX)
    {
      int n = snprintf (line, sizeof line, "O %llu %s\n",
                        (unsigned long long)log_entries[c->next_to_send].term,
                        log_entries[c->next_to_send].text);
      append_output (c, line, (size_t)n);
      c->next_to_send++;
    }
}

/* History of the upstream, as far as it was received. */
static struct
{
  uint64_t term, start;
} upstream_terms[TERMS_MAX];
static int upstream_term_count;

/* Truncates the log at the first term that this instance does not know,
   becomes a replica and requests the entries from there on. */
static void
adopt_history (struct conn *c)
{
  char line[64];
  uint64_t keep = position;
  for (int i = 0; i < upstream_term_count; i++)
    if (upstream_terms[i].term > current_term ()
        && upstream_terms[i].start < keep)
      keep = upstream_terms[i].start;
  while (position > keep)
    free (log_entries[--position].text);
  if (visible_position > position)
    visible_position = position;
  memcpy (terms, upstream_terms, sizeof terms);
  term_count = upstream_term_count;
  is_primary = false;
  c->started = true;
  int n
      = snprintf (line, sizeof line, "P %llu\n", (unsigned long long)position);
  append_output (c, line, (size_t)n);
}

/* Disconnects at the end of the history if the upstream's last term is older,
   or the same while this instance is primary. */
static void
handle_upstream_line (struct conn *c, char *line)
{
  unsigned long long a, b;
  if (line[0] == 'T' && sscanf (line, "T %llu %llu", &a, &b) == 2
      && upstream_term_count < TERMS_MAX)
    {
      upstream_terms[upstream_term_count].term = a;
      upstream_terms[upstream_term_count++].start = b;
    }
  else if (line[0] == 'G')
    {
      if (upstream_term_count == 0
          || upstream_terms[upstream_term_count - 1].term < current_term ()
          || (is_primary
              && upstream_terms[upstream_term_count - 1].term
                     == current_term ()))
        c->closing = true;
      else
        adopt_history (c);
    }
  else if (line[0] == 'O' && c->started)
    {
      char *text = strchr (line + 2, ' ');
      if (text)
        append_to_log (text + 1, strtoull (line + 2, NULL, 10));
    }
}

static void
serve_upstream (struct conn *c)
{
  char *end;
  while (c->in_len && (end = memchr (c->in, '\n', c->in_len)) && !c->closing)
    {
      size_t n = (size_t)(end - c->in) + 1;
      *end = 0;
      handle_upstream_line (c, c->in);
      memmove (c->in, c->in + n, c->in_len - n);
      c->in_len -= n;
    }
}

/* Connects to the next peer while there is no upstream. */
static void
connect_upstream (void)
{
  static int next_peer;
  static int64_t next_attempt_at;
  uint32_t head[2] = { htonl (16), htonl (PEER_REQUEST) };
  uint64_t from = position;
  struct conn *c;
  if (isolated || peer_count == 0 || now_us () < next_attempt_at)
    return;
  next_attempt_at = now_us () + FOLLOW_INTERVAL_US;
  if (upstream >= 0)
    return;
  upstream_term_count = 0;
  next_peer = (next_peer + 1) % peer_count;
  c = connect_to (peer_ports[next_peer], UPSTREAM);
  if (!c)
    return;
  upstream = (int)(c - conns);
  c->due_at = now_us () + UPSTREAM_TIMEOUT_US;
  append_output (c, head, 8);
  append_output (c, &from, 8);
}

static void
send_announcement (void)
{
  static int64_t next_announcement_at;
  char body[512], text[1024];
  struct conn *c;
  if (now_us () < next_announcement_at || announce_count == 0)
    return;
  next_announcement_at = now_us () + ANNOUNCE_INTERVAL_US;
  announce_index = (announce_index + 1) % announce_count;
  c = connect_to (announce_ports[announce_index], ANNOUNCER);
  if (!c)
    return;
  snprintf (body, sizeof body,
            "{\"instance\":\"%s\",\"group\":\"%s\",\"zone\":\"%s\","
            "\"address\":\"127.0.0.1\",\"port\":%d,\"slots\":%d,"
            "\"connections\":%d,\"term\":%llu,\"role\":\"%s\","
            "\"position\":%llu,\"leaving\":%s}",
            name, group, zone, port, slots, max_conns,
            (unsigned long long)current_term (),
            is_primary ? "primary" : "replica",
            (unsigned long long)visible_position, leaving ? "true" : "false");
  snprintf (text, sizeof text,
            "POST /v1/announce HTTP/1.1\r\nHost: h\r\nConnection: close\r\n"
            "Authorization: Bearer %s\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            key, strlen (body), body);
  append_output (c, text, strlen (text));
  c->due_at = now_us () + ANNOUNCE_TIMEOUT_US;
}

static void
on_signal (int sig)
{
  if (sig == SIGUSR1)
    isolated = !isolated;
  else if (sig == SIGUSR2)
    leaving = !leaving;
  else
    stopping = true;
}

static void
receive (struct conn *c)
{
  char buf[65536];
  ssize_t n = read (c->fd, buf, sizeof buf);
  if (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR))
    {
      c->closing = true;
      c->out_len = 0;
    }
  if (n <= 0 || c->role == ANNOUNCER)
    return;
  if (record_fd >= 0 && write (record_fd, buf, (size_t)n) != n)
    exit (4);
  c->in = realloc (c->in, c->in_len + (size_t)n + 1);
  memcpy (c->in + c->in_len, buf, (size_t)n);
  c->in_len += (size_t)n;
  if (c->role == UPSTREAM)
    c->due_at = now_us () + UPSTREAM_TIMEOUT_US;
}

static void
transmit (struct conn *c)
{
  ssize_t n = write (c->fd, c->out, c->out_len);
  if (n < 0 && errno != EAGAIN && errno != EINTR)
    {
      c->closing = true;
      c->out_len = 0;
    }
  if (n > 0)
    {
      memmove (c->out, c->out + n, c->out_len - (size_t)n);
      c->out_len -= (size_t)n;
    }
}

static void
process_conn (struct conn *c)
{
  if (c->role == CALLER)
    serve_caller (c);
  if (c->role == FOLLOWER)
    serve_follower (c);
  else if (c->role == UPSTREAM && (isolated || now_us () > c->due_at))
    c->closing = true;
  else if (c->role == UPSTREAM)
    serve_upstream (c);
  else if (c->role == ANNOUNCER && now_us () > c->due_at)
    c->closing = true;
  if (c->closing && (c->out_len == 0 || c->role != CALLER))
    close_conn (c);
}

/* On a replica, makes the entries visible that are older than the lag. */
static void
apply_lag (void)
{
  int64_t limit = now_us () - lag_us;
  while (!is_primary && visible_position < position
         && log_entries[visible_position].appended_at <= limit)
    visible_position++;
}

static void
loop_once (int listener)
{
  struct pollfd fds[CONNS_MAX + 1];
  int index[CONNS_MAX + 1], n = 1;
  struct timespec wait = { 0, 500000 };
  fds[0].fd = listener;
  fds[0].events = POLLIN;
  for (int i = 0; i < CONNS_MAX; i++)
    if (conns[i].role != FREE)
      {
        fds[n].fd = conns[i].fd;
        fds[n].events = (short)(POLLIN | (conns[i].out_len ? POLLOUT : 0));
        index[n++] = i;
      }
  if (ppoll (fds, (nfds_t)n, &wait, NULL) > 0)
    {
      if (fds[0].revents)
        add_conn (accept (listener, NULL, NULL), CALLER);
      for (int i = 1; i < n; i++)
        {
          if (fds[i].revents & (POLLIN | POLLHUP | POLLERR))
            receive (&conns[index[i]]);
          if ((fds[i].revents & POLLOUT) && conns[index[i]].out_len)
            transmit (&conns[index[i]]);
        }
    }
  apply_lag ();
  for (int i = 0; i < CONNS_MAX; i++)
    if (conns[i].role != FREE)
      process_conn (&conns[i]);
  for (int i = 0; i < CONNS_MAX; i++)
    if (conns[i].role != FREE && conns[i].out_len)
      transmit (&conns[i]);
  connect_upstream ();
  send_announcement ();
}

static int
listen_on (int to)
{
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (to) };
  int one = 1;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  a.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&a, sizeof a) != 0 || listen (fd, 64) != 0)
    {
      perror ("target: cannot listen");
      exit (1);
    }
  return fd;
}

int
main (int argc, char **argv)
{
  static const struct option options[] = { { "name", 1, 0, 'n' },
                                           { "group", 1, 0, 'g' },
                                           { "zone", 1, 0, 'z' },
                                           { "port", 1, 0, 'p' },
                                           { "slots", 1, 0, 's' },
                                           { "connections", 1, 0, 'c' },
                                           { "lag-ms", 1, 0, 'l' },
                                           { "service-us", 1, 0, 'u' },
                                           { "connect-ms", 1, 0, 'k' },
                                           { "primary", 0, 0, 'P' },
                                           { "peer", 1, 0, 'f' },
                                           { "announce", 1, 0, 'a' },
                                           { "record", 1, 0, 'R' },
                                           { "key", 1, 0, 'K' },
                                           { 0, 0, 0, 0 } };
  int o;
  while ((o = getopt_long (argc, argv, "", options, NULL)) != -1)
    switch (o)
      {
      case 'n':
        name = optarg;
        break;
      case 'g':
        group = optarg;
        break;
      case 'z':
        zone = optarg;
        break;
      case 'R':
        record_fd = open (optarg, O_WRONLY | O_CREAT | O_APPEND, 0600);
        break;
      case 'K':
        key = optarg;
        break;
      case 'p':
        port = atoi (optarg);
        break;
      case 's':
        slots = atoi (optarg);
        break;
      case 'c':
        max_conns = atoi (optarg);
        break;
      case 'l':
        lag_us = atoll (optarg) * 1000;
        break;
      case 'u':
        service_us = atoll (optarg);
        break;
      case 'k':
        connect_us = atoll (optarg) * 1000;
        break;
      case 'P':
        is_primary = true;
        break;
      case 'f':
        if (peer_count < PEERS_MAX)
          peer_ports[peer_count++] = atoi (optarg);
        break;
      case 'a':
        if (announce_count < PEERS_MAX)
          announce_ports[announce_count++] = atoi (optarg);
        break;
      default:
        return 2;
      }
  signal (SIGPIPE, SIG_IGN);
  signal (SIGUSR1, on_signal);
  signal (SIGUSR2, on_signal);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  if (is_primary)
    add_term (1, 0);
  int listener = listen_on (port);
  while (!stopping)
    loop_once (listener);
  return 0;
}
