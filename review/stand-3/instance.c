/*
 * Database instances of one service, their status reports, and the platform's
 * promotions.  All instances have a prefix of one log, which a promotion cuts
 * to what the new primary has received.
 */
#define _GNU_SOURCE
#include "rig_int.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define CONNECTIONS 512
#define CONNECTIONS_PER_INSTANCE 36
#define COMMITS_MAX 65536
#define TX_WRITES_MAX 16
#define PREPARED_MAX 64

struct commit
{
  char id[NAME];
  uint64_t number;
  bool acknowledged;
};

struct connection
{
  bool used;
  int fd;
  FILE *in;
  unsigned instance;
  int64_t born;
  char who[NAME];
  char statement[TEXT];
  char state;
  bool read_only;
  uint64_t tx_term;
  char writes[TX_WRITES_MAX][NAME];
  unsigned write_count;
  char prepared[PREPARED_MAX][TEXT];
  unsigned prepared_count;
  bool big;
  char reply[2048];
  size_t reply_len;
};

struct instance instances[INSTANCES_MAX];
static struct connection connections[CONNECTIONS];
static struct commit log_entries[COMMITS_MAX];
static size_t log_length;
static uint64_t last_commit;
static uint64_t term = 1;
static int primary;
static uint64_t highest_fence;
static uint64_t mac;
static unsigned id_count;
static unsigned lost_commits;

static bool
leads (unsigned i)
{
  return (int)i == primary && instances[i].up;
}

/* The lock is held. */
static void
replicate (void)
{
  if (primary < 0 || !instances[primary].up)
    return;
  for (unsigned i = 0; i < INSTANCES_MAX; i++)
    if (instances[i].up
        && ((int)i == primary
            || (!instances[i].held_term && !instances[i].deaf)))
      {
        instances[i].received = last_commit;
        instances[i].term = term;
      }
  pthread_cond_broadcast (&changed);
}

static bool
is_replicated (unsigned i, uint64_t number)
{
  for (unsigned k = 0; k < INSTANCES_MAX; k++)
    if (k != i && instances[k].up && instances[k].received >= number)
      return true;
  return false;
}

void
note_acknowledged (const char *id)
{
  size_t i = 0;

  pthread_mutex_lock (&lock);
  while (i < log_length && strcmp (log_entries[i].id, id) != 0)
    i++;
  if (i < log_length)
    log_entries[i].acknowledged = true;
  else
    lost_commits++;
  pthread_mutex_unlock (&lock);
  if (i == log_length)
    note ("LOST: %s was acknowledged and is not in the log", id);
}

unsigned
instances_lost (void)
{
  return lost_commits;
}

/* The lock is held. */
static void
promote (unsigned i)
{
  struct instance *in = &instances[i];

  if (leads (i) || !in->up)
    return;
  note ("platform: %s is primary of term %" PRIu64 " with %" PRIu64
        " of %" PRIu64 " commits",
        in->id, term + 1, in->received, last_commit);
  while (log_length && log_entries[log_length - 1].number > in->received)
    if (log_entries[--log_length].acknowledged)
      {
        lost_commits++;
        note ("LOST: %s was acknowledged and is not in the log of %s",
              log_entries[log_length].id, in->id);
      }
  last_commit = in->received;
  if (primary >= 0)
    instances[primary].report_now = true;
  primary = (int)i;
  term++;
  for (unsigned k = 0; k < INSTANCES_MAX; k++)
    {
      instances[k].held_term = 0;
      if (instances[k].received > last_commit)
        instances[k].received = last_commit;
    }
  in->report_now = true;
  replicate ();
}

int
instance_primary (void)
{
  return primary;
}

void
instance_log_note (void)
{
  pthread_mutex_lock (&lock);
  for (unsigned i = 0; i < INSTANCES_MAX; i++)
    if (instances[i].used)
      note ("instance %u %s: up=%d primary=%d term=%" PRIu64
            " received=%" PRIu64 " of %" PRIu64 " paused=%" PRIu64,
            i, instances[i].id, instances[i].up, leads (i), instances[i].term,
            instances[i].received, last_commit, instances[i].held_term);
  pthread_mutex_unlock (&lock);
}

static void
add (struct connection *c, const char *text)
{
  size_t len = strlen (text);

  if (c->reply_len + len < sizeof c->reply)
    {
      memcpy (c->reply + c->reply_len, text, len);
      c->reply_len += len;
    }
}

static void
end_reply (struct connection *c)
{
  char line[TEXT];

  snprintf (line, sizeof line, "READY %c %" PRIu64 ".%" PRIu64 "\r\n",
            c->state, instances[c->instance].term,
            instances[c->instance].received);
  add (c, line);
}

static void
complete (struct connection *c, bool ran)
{
  char line[TEXT];

  if (ran)
    {
      snprintf (line, sizeof line, "COMPLETE %" PRIx64 ".%u.mac\r\n", ++mac,
                c->instance);
      note ("instance %s for %s ran %s", instances[c->instance].id, c->who,
            c->statement);
    }
  else
    snprintf (line, sizeof line, "COMPLETE -\r\n");
  add (c, line);
  end_reply (c);
}

static void
error (struct connection *c, const char *code)
{
  char line[TEXT];

  snprintf (line, sizeof line, "ERROR %s %s\r\n", code,
            instances[c->instance].id);
  add (c, line);
  end_reply (c);
}

static bool
is_alive (const struct connection *c)
{
  return instances[c->instance].up
         && instances[c->instance].born == c->born;
}

/* Commits the writes of a transaction; the reply waits for one replica.  The
   lock is held. */
static void
commit (struct connection *c)
{
  uint64_t number;
  uint64_t in_term = term;

  if (!c->write_count)
    {
      complete (c, true);
      return;
    }
  number = ++last_commit;
  for (unsigned i = 0; i < c->write_count && log_length < COMMITS_MAX; i++)
    {
      struct commit *e = &log_entries[log_length++];

      snprintf (e->id, sizeof e->id, "%s", c->writes[i]);
      e->number = number;
      e->acknowledged = false;
    }
  c->write_count = 0;
  replicate ();
  while (is_alive (c) && term == in_term
         && !is_replicated (c->instance, number))
    pthread_cond_wait (&changed, &lock);
  if (!is_alive (c) || term != in_term)
    {
      shutdown (c->fd, SHUT_RDWR);
      c->reply_len = 0;
      return;
    }
  note ("instance %s committed %" PRIu64 ".%" PRIu64,
        instances[c->instance].id, term, number);
  complete (c, true);
}

static void
write_item (struct connection *c, const char *id)
{
  if (!leads (c->instance) || c->read_only)
    {
      c->state = c->state == 'T' ? 'E' : c->state;
      error (c, "READONLY");
      return;
    }
  snprintf (c->writes[c->write_count++ % TX_WRITES_MAX], NAME, "%s", id);
  if (c->state == 'I')
    commit (c);
  else
    complete (c, true);
}

static void
status (struct connection *c)
{
  const struct instance *in = &instances[c->instance];
  char line[TEXT];

  snprintf (line, sizeof line,
            "ROW %s %" PRIu64 " %" PRIu64 ".%" PRIu64 " %" PRIu64 " 0 0 1\r\n",
            leads (c->instance) ? "primary" : "replica", in->term, in->term,
            in->received, in->held_term);
  add (c, line);
  complete (c, false);
}

static void
order (struct connection *c, const char *text)
{
  struct instance *in = &instances[c->instance];
  uint64_t t = strtoull (text + (*text == 'P' ? 6 : 7), NULL, 10);

  if (strcmp (text, "RESUME") == 0)
    in->held_term = 0;
  else if (*text == 'P' && t > term && !leads (c->instance))
    in->held_term = t;
  else if (*text == 'D' && t > term && leads (c->instance))
    {
      primary = -1;
      in->report_now = true;
    }
  note ("instance %s: %s", in->id, text);
  status (c);
}

static void
execute (struct connection *c, const char *id, char *args)
{
  char *rest = strchr (args, ' ');
  size_t len = rest ? (size_t)(rest - args) : 0;

  for (unsigned i = 0; rest && i < c->prepared_count && i < PREPARED_MAX; i++)
    if (strncmp (c->prepared[i], args, len) == 0
        && c->prepared[i][len] == ' ')
      {
        if (strncmp (c->prepared[i] + len + 1, "WRITE", 5) == 0)
          write_item (c, id);
        else
          complete (c, true);
        return;
      }
  error (c, "NOSTMT");
}

static void
run (struct connection *c, const char *id, char *text)
{
  bool commits = strcmp (text, "COMMIT") == 0;
  bool lost_lead = c->state == 'T' && !c->read_only
                   && (!leads (c->instance) || c->tx_term != term);

  if (strcmp (text, "ROLLBACK") == 0)
    {
      c->state = 'I';
      c->read_only = false;
      c->write_count = 0;
      complete (c, false);
    }
  else if (c->state == 'E')
    error (c, commits ? "ABORTED" : "MALFORMED");
  else if (lost_lead && !(commits && !c->write_count))
    {
      c->state = 'E';
      error (c, "READONLY");
    }
  else if (commits)
    {
      c->state = 'I';
      c->read_only = false;
      commit (c);
    }
  else if (strncmp (text, "BEGIN", 5) == 0)
    {
      c->read_only = text[5] == ' ';
      if (!c->read_only && !leads (c->instance))
        {
          error (c, "READONLY");
          return;
        }
      c->state = 'T';
      c->tx_term = term;
      c->write_count = 0;
      complete (c, false);
    }
  else if (strncmp (text, "READ ", 5) == 0)
    {
      if (strcmp (text + 5, BIG_ITEM) == 0)
        c->big = true;
      else
        add (c, "ROW qhzkwm\r\n");
      complete (c, true);
    }
  else if (strncmp (text, "WRITE ", 6) == 0)
    write_item (c, id);
  else if (strncmp (text, "PREPARE ", 8) == 0)
    {
      snprintf (c->prepared[c->prepared_count++ % PREPARED_MAX], TEXT, "%s",
                text + 8);
      complete (c, false);
    }
  else if (strncmp (text, "EXECUTE ", 8) == 0)
    execute (c, id, text + 8);
  else if (strcmp (text, "STATUS") == 0)
    status (c);
  else if (strncmp (text, "PAUSE ", 6) == 0
           || strncmp (text, "DEMOTE ", 7) == 0
           || strcmp (text, "RESUME") == 0)
    order (c, text);
  else
    complete (c, false);
}

static bool
has_position (const struct connection *c, const char *text)
{
  const struct instance *in = &instances[c->instance];
  uint64_t t = 0;
  uint64_t n = 0;

  sscanf (text, "%" SCNu64 ".%" SCNu64, &t, &n);
  return in->term > t || (in->term == t && in->received >= n);
}

/* The lock is held. */
static void
handle_query (struct connection *c, char *line)
{
  char *id = line + 6;
  char *text = strchr (id, ' ');

  if (!text)
    return;
  snprintf (c->statement, sizeof c->statement, "%s", id);
  *text++ = '\0';
  if (strncmp (text, "AFTER ", 6) == 0)
    {
      if (!has_position (c, text + 6))
        {
          error (c, "LAGGING");
          return;
        }
      text = strchr (text + 6, ' ');
      if (!text++)
        return;
    }
  run (c, id, text);
}

static bool
start_session (struct connection *c, const char *line)
{
  const struct instance *in = &instances[c->instance];
  char name[NAME] = "";
  char id[NAME] = "";
  unsigned count = 0;

  for (int i = 0; i < CONNECTIONS; i++)
    count += connections[i].used && connections[i].instance == c->instance;
  if (sscanf (line, "STARTUP %63s %63s %63s", name, c->who, id) < 2
      || strcmp (name, SERVICE) != 0 || (*id && strcmp (id, in->id) != 0))
    add (c, "ERROR MISROUTED no\r\n");
  else if (count > CONNECTIONS_PER_INSTANCE)
    add (c, "ERROR CONNLIMIT full\r\n");
  else
    {
      c->state = 'I';
      end_reply (c);
      return true;
    }
  return false;
}

/* Rows of the greatest length go before the reply. */
static bool
send_reply (struct connection *c)
{
  static char row[BIG_ROW_BYTES];
  bool big = c->big;

  c->big = false;
  if (big)
    {
      memset (row, 'x', sizeof row);
      memcpy (row, "ROW ", 4);
      memcpy (row + sizeof row - 2, "\r\n", 2);
      for (size_t at = 0; at < BIG_ROWS * sizeof row;)
        {
          size_t in_row = at % sizeof row;
          ssize_t sent = send (c->fd, row + in_row, sizeof row - in_row,
                               MSG_NOSIGNAL);

          if (sent <= 0)
            return false;
          at += (size_t)sent;
        }
    }
  return send (c->fd, c->reply, c->reply_len, MSG_NOSIGNAL) >= 0;
}

static bool
is_cut (const struct connection *c)
{
  return instances[c->instance].cut_from_control
         && strcmp (c->who, "control") == 0;
}

static void *
serve (void *arg)
{
  struct connection *c = arg;
  char line[TEXT];
  bool started = false;
  bool ended = false;
  bool answers;

  while (!ended && fgets (line, sizeof line, c->in))
    {
      line[strcspn (line, "\r\n")] = '\0';
      pthread_mutex_lock (&lock);
      c->reply_len = 0;
      if (!is_alive (c))
        ended = true;
      else if (!started)
        {
          started = start_session (c, line);
          ended = !started;
        }
      else if (strncmp (line, "QUERY ", 6) == 0 && !is_cut (c))
        handle_query (c, line);
      else if (strcmp (line, "TERMINATE") == 0)
        ended = true;
      answers = c->reply_len && !is_cut (c);
      pthread_mutex_unlock (&lock);
      if (answers && !send_reply (c))
        ended = true;
    }
  pthread_mutex_lock (&lock);
  c->used = false;
  fclose (c->in);
  pthread_mutex_unlock (&lock);
  return NULL;
}

static void *
accept_connections (void *arg)
{
  unsigned index = (unsigned)(uintptr_t)arg;
  int64_t born = instances[index].born;
  int listener = instances[index].fd;

  for (;;)
    {
      int fd = accept (listener, NULL, NULL);
      struct connection *c = NULL;

      pthread_mutex_lock (&lock);
      for (int i = 0; i < CONNECTIONS && !c; i++)
        if (!connections[i].used)
          c = &connections[i];
      if (fd < 0 || !c || !instances[index].up
          || instances[index].born != born)
        {
          if (fd >= 0)
            close (fd);
          pthread_mutex_unlock (&lock);
          if (fd < 0)
            {
              close (listener);
              return NULL;
            }
          continue;
        }
      memset (c, 0, sizeof *c);
      c->used = true;
      c->fd = fd;
      c->in = fdopen (fd, "r");
      c->instance = index;
      c->born = born;
      pthread_mutex_unlock (&lock);
      start_thread (serve, c);
    }
}

void
instance_stop (unsigned i)
{
  pthread_mutex_lock (&lock);
  if (instances[i].up)
    {
      note ("instance %s stops, leads=%d received=%" PRIu64, instances[i].id,
            leads (i), instances[i].received);
      instances[i].up = false;
      shutdown (instances[i].fd, SHUT_RDWR);
      for (int k = 0; k < CONNECTIONS; k++)
        if (connections[k].used && connections[k].instance == i)
          shutdown (connections[k].fd, SHUT_RDWR);
      pthread_cond_broadcast (&changed);
    }
  pthread_mutex_unlock (&lock);
}

void
instance_start (unsigned i, const char *id, bool with_log)
{
  struct instance *in = &instances[i];

  pthread_mutex_lock (&lock);
  if (id)
    snprintf (in->id, sizeof in->id, "%s", id);
  else
    snprintf (in->id, sizeof in->id, "i-%u%c", 1000 + id_count++,
              (char)('a' + i));
  in->fd = listen_at (address_of (ADDRESS_INSTANCE + i), PORT_INSTANCE);
  if (in->fd < 0)
    fail ("an instance cannot listen");
  in->born = unix_ms ();
  in->sequence = 0;
  in->held_term = 0;
  in->draining = false;
  in->used = true;
  in->up = true;
  in->report_now = true;
  if (!with_log)
    in->received = 0;
  note ("instance %s starts at address %u, leads=%d received=%" PRIu64, in->id,
        i, leads (i), in->received);
  start_thread (accept_connections, (void *)(uintptr_t)i);
  pthread_mutex_unlock (&lock);
}

void
instance_cut_from_control (unsigned i, bool cut)
{
  pthread_mutex_lock (&lock);
  instances[i].cut_from_control = cut;
  note ("instance %s cut from control: %d", instances[i].id, cut);
  pthread_mutex_unlock (&lock);
}

void
instance_deaf (unsigned i, bool deaf)
{
  pthread_mutex_lock (&lock);
  instances[i].deaf = deaf;
  note ("instance %s receives: %d", instances[i].id, !deaf);
  replicate ();
  pthread_mutex_unlock (&lock);
}

/* Reports the status of one instance each HEARTBEAT_MS, and at once when its
   role has changed; a failed report goes to the next control host. */
static void *
report (void *arg)
{
  unsigned i = (unsigned)(uintptr_t)arg;
  struct instance *in = &instances[i];
  int64_t next = 0;
  unsigned node = i;

  for (;;)
    {
      char path[128];
      char body[TEXT];
      char id[NAME];
      bool send_now;

      sleep_ms (20);
      pthread_mutex_lock (&lock);
      send_now = in->up && (in->report_now || now_ms () >= next);
      in->report_now = in->report_now && !send_now;
      in->sequence += send_now;
      snprintf (id, sizeof id, "%s", in->id);
      snprintf (path, sizeof path, "/v1/Instances.Heartbeat/%s", id);
      snprintf (body, sizeof body,
                "{\"service\":\"" SERVICE
                "\",\"address\":\"%s:%d\",\"zone\":\"z%u\",\"version\":\"v1\","
                "\"slots\":4,\"state\":\"%s\",\"cold_remaining_ms\":0,"
                "\"db_role\":\"%s\",\"sequence\":%" PRIu64
                ",\"born\":%" PRId64 "}",
                address_of (ADDRESS_INSTANCE + i), PORT_INSTANCE, i % 3,
                in->draining ? "draining" : "ready",
                leads (i) ? "primary" : "replica", in->sequence, in->born);
      send_now = send_now && !in->cut_from_control;
      pthread_mutex_unlock (&lock);
      if (!send_now)
        continue;
      next = now_ms () + HEARTBEAT_MS;
      for (int tries = 0; tries < CORES; tries++)
        {
          int got = control_call (node, "POST", path, body);

          if (got >= 200 && got < 300)
            break;
          note ("report of %s: status %d", id, got);
          node++;
        }
    }
  return NULL;
}

int
foreign_report (unsigned at_instance, const char *id, const char *version)
{
  char path[128];
  char body[TEXT];
  int status = 0;

  snprintf (path, sizeof path, "/v1/Instances.Heartbeat/%s", id);
  snprintf (body, sizeof body,
            "{\"service\":\"" SERVICE
            "\",\"address\":\"%s:%d\",\"zone\":\"z0\",\"version\":\"%s\","
            "\"slots\":4,\"state\":\"ready\",\"cold_remaining_ms\":0,"
            "\"db_role\":\"primary\",\"sequence\":1,\"born\":%" PRId64 "}",
            address_of (ADDRESS_INSTANCE + at_instance), PORT_INSTANCE,
            version, unix_ms ());
  for (unsigned node = 0; node < CORES && (status < 200 || status > 499);
       node++)
    status = control_call (node, "POST", path, body);
  note ("report of another writer, id %s: status %d", id, status);
  return status;
}

static void
carry_out (int fd, const char *text)
{
  const char *fence = strcasestr (text, "Fencing-Token: ");
  const char *id = strstr (text, "\"id\":\"");
  uint64_t token = fence ? strtoull (fence + 15, NULL, 10) : 0;
  char name[NAME] = "";
  char out[128];
  unsigned i = 0;
  bool ok;

  if (id)
    sscanf (id + 6, "%63[^\"]", name);
  pthread_mutex_lock (&lock);
  while (i < INSTANCES_MAX
         && (!instances[i].up || strcmp (instances[i].id, name) != 0))
    i++;
  ok = fence && i < INSTANCES_MAX && token >= highest_fence;
  if (ok)
    highest_fence = token;
  note ("platform: promotion of %s fence=%" PRIu64 ": %d", name, token,
        ok ? 200 : 409);
  pthread_mutex_unlock (&lock);
  snprintf (out, sizeof out,
            "HTTP/1.1 %s\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            ok ? "200 OK" : "409 Conflict");
  if (send (fd, out, strlen (out), MSG_NOSIGNAL) < 0)
    note ("platform: response not sent");
  if (!ok)
    return;
  sleep_ms (PROMOTE_MS);
  pthread_mutex_lock (&lock);
  promote (i);
  pthread_mutex_unlock (&lock);
}

static void *
serve_platform (void *arg)
{
  int fd = (int)(intptr_t)arg;
  char text[4096];
  size_t len = 0;
  ssize_t got;

  while (len < sizeof text - 1
         && (got = recv (fd, text + len, sizeof text - 1 - len, 0)) > 0)
    {
      len += (size_t)got;
      text[len] = '\0';
      if (strchr (text, '}'))
        {
          carry_out (fd, text);
          break;
        }
    }
  close (fd);
  return NULL;
}

static void *
accept_platform (void *arg)
{
  int listener = (int)(intptr_t)arg;

  for (;;)
    {
      int fd = accept (listener, NULL, NULL);

      if (fd >= 0)
        start_thread (serve_platform, (void *)(intptr_t)fd);
    }
  return NULL;
}

void
instances_begin (void)
{
  int listener = listen_at (address_of (ADDRESS_PLATFORM), PORT_PLATFORM);

  if (listener < 0)
    fail ("the platform cannot listen");
  start_thread (accept_platform, (void *)(intptr_t)listener);
  for (unsigned i = 0; i < INSTANCES_MAX; i++)
    instances[i].term = 1;
  for (unsigned i = 0; i < 3; i++)
    instance_start (i, NULL, true);
  for (unsigned i = 0; i < INSTANCES_MAX; i++)
    start_thread (report, (void *)(uintptr_t)i);
}
