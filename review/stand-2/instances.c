/*
 * Stand-in for the database instances of one service and for the platform's
 * promotion request.
 *
 *   instances SERVICE ADDRESS CONTROL...
 *
 * Instance N listens at ADDRESS, port INSTANCE_PORT + N, and is named iN; i1 is
 * the first primary.  Each has a log of its own.  A commit reaches the other
 * instances after their lag, and is acknowledged once one of them has received
 * it (sync_replicas 1).  Promotion requests are taken at ADDRESS, port
 * PROMOTION_PORT; the named instance leads the next term PROMOTE_MS later with
 * what it had received, and the others are rolled back to that.  Each instance
 * that runs sends its status report every BEAT_MS to one of the CONTROL
 * addresses, and follows a 307 twice.
 *
 * Commands on standard input, a line each:
 *   crash N         instance N stops; its connections are reset
 *   start N         it runs again under its id with its log and a new born
 *   empty N         the same, but it "holds and knows nothing of before"
 *   deaf N          it receives nothing
 *   hear N          it receives again
 *   lag N MS        time until it receives a commit
 * The program ends with its input.  What happens is printed, a line each:
 *   TIME commit ID TERM.NUMBER at iN        acknowledged to the proxy
 *   TIME promoted iN TERM from TERM.NUMBER
 *   TIME lost ID TERM.NUMBER                acknowledged, and not in the log
 *                                           of the promoted instance
 *
 * READ wide-ROWS-BYTES answers with so many rows of so many bytes.
 */
#include "kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define INSTANCES 3
#define CONNECTIONS 192
#define LOG_MAX 65536
#define TX_MAX 16
#define LINE_MAX_BYTES ((1 << 20) + 64)
#define BEAT_MS 1200
#define PROMOTE_MS 600
#define CONTROLS_MAX 8
#define REQUESTS 8

struct position
{
  uint64_t term;
  uint64_t number;
};

struct entry
{
  struct position at;
  char id[48];
  char item[48];
  char data[64];
  int64_t committed_at;
  bool acknowledged;
};

struct instance
{
  int fd;
  bool up;
  bool deaf;
  int64_t lag_ms;
  uint64_t held_term;
  uint64_t term;
  int64_t born;
  uint64_t sequence;
  struct entry *log;
  size_t length;
  bool beat_now;
};

struct conn
{
  int fd;
  int instance;
  bool started;
  char state;
  bool read_only;
  uint64_t tx_term;
  char id[48];
  struct entry writes[TX_MAX];
  size_t write_count;
  size_t awaited;
  char *in;
  size_t len;
  size_t cap;
};

struct request
{
  int fd;
  char text[2048];
  size_t len;
  int64_t effect_at;
  int instance;
};

static const char *service;
static const char *address;
static const char *controls[CONTROLS_MAX];
static size_t control_count;
static struct instance instances[INSTANCES];
static struct conn conns[CONNECTIONS];
static struct request requests[REQUESTS];
static struct entry acked[LOG_MAX];
static size_t acked_count;
static int promotion_fd;
static int leader;
static uint64_t newest_term = 1;
static uint64_t highest_fence;
static uint64_t proofs;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static int64_t
unix_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static struct position
end_of (const struct instance *in)
{
  struct position none = { in->term, 0 };

  return in->length ? in->log[in->length - 1].at : none;
}

static int
compare (struct position a, struct position b)
{
  if (a.term != b.term)
    return a.term < b.term ? -1 : 1;
  return a.number < b.number ? -1 : a.number > b.number;
}

static int
listen_on (unsigned port)
{
  struct sockaddr_in sa = { .sin_family = AF_INET,
                            .sin_port = htons ((uint16_t)port) };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, address, &sa.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&sa, sizeof sa) != 0
      || listen (fd, 128) != 0)
    {
      perror ("instances: listen");
      exit (2);
    }
  return fd;
}

static void
close_conn (struct conn *c)
{
  struct linger reset = { 1, 0 };

  setsockopt (c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (c->fd);
  free (c->in);
  memset (c, 0, sizeof *c);
  c->fd = -1;
}

static void
start_instance (int i)
{
  struct instance *in = &instances[i];

  in->fd = listen_on (INSTANCE_PORT + 1 + (unsigned)i);
  in->up = true;
  in->held_term = 0;
  in->born = unix_ms ();
  in->sequence = 0;
  in->beat_now = true;
  printf ("%" PRId64 " starts i%d at %" PRIu64 ".%" PRIu64 "\n", kit_now_ms (),
          i + 1, end_of (in).term, end_of (in).number);
}

static void
crash_instance (int i)
{
  struct instance *in = &instances[i];

  if (!in->up)
    return;
  in->up = false;
  close (in->fd);
  in->fd = -1;
  for (size_t k = 0; k < CONNECTIONS; k++)
    if (conns[k].fd >= 0 && conns[k].instance == i)
      close_conn (&conns[k]);
  printf ("%" PRId64 " crashes i%d at %" PRIu64 ".%" PRIu64 "\n",
          kit_now_ms (), i + 1, end_of (in).term, end_of (in).number);
}

static void
append (struct instance *in, const struct entry *e)
{
  if (in->length == LOG_MAX)
    exit (2);
  in->log[in->length++] = *e;
}

/* Sends what an instance lacks, in order; what differs from the leader's log
   is rolled back first. */
static void
replicate (void)
{
  struct instance *from = &instances[leader];
  int64_t now = kit_now_ms ();

  if (!from->up || from->term != newest_term)
    return;
  for (int i = 0; i < INSTANCES; i++)
    {
      struct instance *in = &instances[i];
      size_t same = in->length < from->length ? in->length : from->length;

      if (i == leader || !in->up || in->deaf || in->held_term)
        continue;
      while (same > 0 && compare (in->log[same - 1].at, from->log[same - 1].at))
        same--;
      in->length = same;
      in->term = from->term;
      while (in->length < from->length
             && now >= from->log[in->length].committed_at + in->lag_ms)
        append (in, &from->log[in->length]);
    }
}

static void
put (int fd, const char *text, size_t len)
{
  while (len > 0)
    {
      ssize_t n = send (fd, text, len, MSG_NOSIGNAL);

      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return;
      text += n;
      len -= (size_t)n;
    }
}

static void
say (struct conn *c, const char *result)
{
  char text[256];
  struct position at = end_of (&instances[c->instance]);
  int n = snprintf (text, sizeof text, "%s\r\nREADY %c %" PRIu64 ".%" PRIu64
                    "\r\n", result, c->state, at.term, at.number);

  put (c->fd, text, (size_t)n);
}

static void
say_error (struct conn *c, const char *code)
{
  char text[64];

  snprintf (text, sizeof text, "ERROR %s i%d", code, c->instance + 1);
  say (c, text);
}

static void
say_proof (struct conn *c)
{
  char text[64];

  snprintf (text, sizeof text, "COMPLETE m%" PRIu64, ++proofs);
  say (c, text);
}

static bool
leads (int i)
{
  return i == leader && instances[i].up && instances[i].term == newest_term;
}

/* Acknowledges commits that another instance has received. */
static void
acknowledge (void)
{
  for (size_t k = 0; k < CONNECTIONS; k++)
    {
      struct conn *c = &conns[k];
      struct instance *in = &instances[c->instance];
      struct entry *e;
      bool received = false;

      if (c->fd < 0 || !c->awaited)
        continue;
      if (!leads (c->instance) || c->awaited > in->length)
        {
          close_conn (c);
          continue;
        }
      e = &in->log[c->awaited - 1];
      for (int i = 0; i < INSTANCES; i++)
        received = received
                   || (i != c->instance && instances[i].up
                       && instances[i].length >= c->awaited
                       && !compare (instances[i].log[c->awaited - 1].at,
                                    e->at));
      if (!received)
        continue;
      c->awaited = 0;
      printf ("%" PRId64 " commit %s %" PRIu64 ".%" PRIu64 " at i%d\n",
              kit_now_ms (), e->id, e->at.term, e->at.number, c->instance + 1);
      acked[acked_count++ % LOG_MAX] = *e;
      say_proof (c);
    }
}

static void
commit (struct conn *c)
{
  struct instance *in = &instances[c->instance];
  struct position at = end_of (in);

  c->state = 'I';
  if (!c->write_count)
    {
      say_proof (c);
      return;
    }
  if (at.term != in->term)
    at = (struct position){ in->term, 0 };
  at.number++;
  for (size_t i = 0; i < c->write_count; i++)
    {
      c->writes[i].at = at;
      c->writes[i].committed_at = kit_now_ms ();
      append (in, &c->writes[i]);
    }
  c->write_count = 0;
  c->awaited = in->length;
}

static void
read_item (struct conn *c, const char *item)
{
  struct instance *in = &instances[c->instance];
  unsigned rows;
  unsigned bytes;

  if (sscanf (item, "wide-%u-%u", &rows, &bytes) == 2 && bytes < 1 << 20)
    {
      char *row = malloc (bytes + 16);

      memcpy (row, "ROW ", 4);
      memset (row + 4, 'x', bytes);
      memcpy (row + 4 + bytes, "\r\n", 2);
      for (unsigned i = 0; i < rows; i++)
        put (c->fd, row, bytes + 6);
      free (row);
    }
  for (size_t i = in->length; i > 0; i--)
    if (strcmp (in->log[i - 1].item, item) == 0)
      {
        char row[96];
        int n = snprintf (row, sizeof row, "ROW %s\r\n", in->log[i - 1].data);

        put (c->fd, row, (size_t)n);
        break;
      }
  say_proof (c);
}

static void
write_item (struct conn *c, char *args)
{
  struct entry *e = &c->writes[c->write_count % TX_MAX];
  char *data = strchr (args, ' ');

  if (!leads (c->instance) || !data)
    {
      if (c->state == 'T')
        c->state = 'E';
      say_error (c, "READONLY");
      return;
    }
  *data++ = '\0';
  memset (e, 0, sizeof *e);
  snprintf (e->id, sizeof e->id, "%s", c->id);
  snprintf (e->item, sizeof e->item, "%s", args);
  snprintf (e->data, sizeof e->data, "%.60s", data);
  c->write_count++;
  if (c->state == 'I')
    commit (c);
  else
    say_proof (c);
}

static void
say_status (struct conn *c)
{
  const struct instance *in = &instances[c->instance];
  struct position at = end_of (in);
  char text[160];

  snprintf (text, sizeof text,
            "ROW %s %" PRIu64 " %" PRIu64 ".%" PRIu64 " %" PRIu64
            " 0 0 1\r\nCOMPLETE -",
            leads (c->instance) ? "primary" : "replica", in->term, at.term,
            at.number, in->held_term);
  say (c, text);
}

/* Skips "AFTER TERM.NUMBER".  Returns NULL if the log lacks that position. */
static char *
skip_position (struct conn *c, char *text)
{
  struct position at;
  char *rest;

  if (sscanf (text, "AFTER %" SCNu64 ".%" SCNu64, &at.term, &at.number) != 2)
    return text;
  rest = strchr (text + 6, ' ');
  if (!rest || compare (end_of (&instances[c->instance]), at) < 0)
    return NULL;
  return rest + 1;
}

static void
run_statement (struct conn *c, char *text)
{
  struct instance *in = &instances[c->instance];
  bool commits = strcmp (text, "COMMIT") == 0;

  if (strcmp (text, "ROLLBACK") == 0)
    {
      c->state = 'I';
      c->write_count = 0;
      say (c, "COMPLETE -");
    }
  else if (c->state == 'E')
    {
      if (commits)
        c->state = 'I';
      say_error (c, commits ? "ABORTED" : "MALFORMED");
    }
  else if (c->state == 'T' && !c->read_only
           && (!leads (c->instance) || c->tx_term != newest_term)
           && !(commits && !c->write_count))
    {
      c->state = 'E';
      c->write_count = 0;
      say_error (c, "READONLY");
    }
  else if (commits)
    commit (c);
  else if (strcmp (text, "BEGIN") == 0 && !leads (c->instance))
    say_error (c, "READONLY");
  else if (strncmp (text, "BEGIN", 5) == 0)
    {
      c->state = 'T';
      c->read_only = text[5] != '\0';
      c->tx_term = newest_term;
      say (c, "COMPLETE -");
    }
  else if (strncmp (text, "READ ", 5) == 0)
    read_item (c, text + 5);
  else if (strncmp (text, "WRITE ", 6) == 0)
    write_item (c, text + 6);
  else if (strncmp (text, "PAUSE ", 6) == 0)
    {
      uint64_t t = strtoull (text + 6, NULL, 10);

      if (!leads (c->instance) && t > newest_term)
        in->held_term = t;
      say_status (c);
    }
  else if (strcmp (text, "RESUME") == 0)
    {
      in->held_term = 0;
      say_status (c);
    }
  else if (strncmp (text, "DEMOTE ", 7) == 0)
    {
      if (leads (c->instance) && strtoull (text + 7, NULL, 10) > in->term)
        leader = INSTANCES;
      in->beat_now = true;
      say_status (c);
    }
  else if (strcmp (text, "STATUS") == 0)
    say_status (c);
  else
    say (c, "COMPLETE -");
}

static void
handle_line (struct conn *c, char *line)
{
  char *text;

  if (!c->started)
    {
      char name[64] = "";
      char id[64] = "";
      char own[16];

      snprintf (own, sizeof own, "i%d", c->instance + 1);
      if (sscanf (line, "STARTUP %63s %*s %63s", name, id) < 1
          || strcmp (name, service) != 0 || (*id && strcmp (id, own) != 0))
        {
          put (c->fd, "ERROR MISROUTED -\r\n", 19);
          close_conn (c);
          return;
        }
      c->started = true;
      c->state = 'I';
      {
        char ready[64];
        struct position at = end_of (&instances[c->instance]);
        int n = snprintf (ready, sizeof ready, "READY I %" PRIu64 ".%" PRIu64
                          "\r\n", at.term, at.number);

        put (c->fd, ready, (size_t)n);
      }
      return;
    }
  text = strncmp (line, "QUERY ", 6) == 0 ? strchr (line + 6, ' ') : NULL;
  if (!text)
    {
      close_conn (c);
      return;
    }
  snprintf (c->id, sizeof c->id, "%.*s", (int)(text - line - 6), line + 6);
  text = skip_position (c, text + 1);
  if (text)
    run_statement (c, text);
  else
    say_error (c, "LAGGING");
}

static void
handle_input (struct conn *c)
{
  char *end;

  while (c->fd >= 0 && !c->awaited && c->len
         && (end = memmem (c->in, c->len, "\r\n", 2)))
    {
      char *line = c->in;
      size_t used = (size_t)(end + 2 - c->in);
      char *copy = strndup (line, (size_t)(end - line));

      c->len -= used;
      memmove (c->in, c->in + used, c->len);
      handle_line (c, copy);
      free (copy);
    }
}

static void
receive (struct conn *c)
{
  ssize_t n;

  if (c->cap - c->len < 4096)
    {
      c->cap = c->cap * 2 + 8192;
      c->in = realloc (c->in, c->cap);
    }
  n = recv (c->fd, c->in + c->len, c->cap - c->len, 0);
  if (n <= 0 || c->len > LINE_MAX_BYTES)
    close_conn (c);
  else
    c->len += (size_t)n;
}

static void
promote (int i)
{
  struct instance *in = &instances[i];
  struct position at;

  if (!in->up || leads (i))
    return;
  leader = i;
  in->term = ++newest_term;
  in->beat_now = true;
  at = end_of (in);
  printf ("%" PRId64 " promoted i%d %" PRIu64 " from %" PRIu64 ".%" PRIu64
          "\n", kit_now_ms (), i + 1, newest_term, at.term, at.number);
  for (size_t k = 0; k < acked_count && k < LOG_MAX; k++)
    {
      bool found = false;

      for (size_t n = 0; n < in->length; n++)
        found = found || strcmp (in->log[n].id, acked[k].id) == 0;
      if (!found)
        printf ("%" PRId64 " lost %s %" PRIu64 ".%" PRIu64 "\n", kit_now_ms (),
                acked[k].id, acked[k].at.term, acked[k].at.number);
    }
  for (int k = 0; k < INSTANCES; k++)
    {
      instances[k].held_term = 0;
      if (instances[k].up)
        instances[k].beat_now = true;
    }
}

static void
handle_promotion (struct request *r)
{
  const char *fence = strstr (r->text, "Fencing-Token: ");
  const char *id = strstr (r->text, "\"id\":\"i");
  uint64_t token = fence ? strtoull (fence + 15, NULL, 10) : 0;
  int i = id ? id[7] - '1' : -1;
  bool ok = fence && i >= 0 && i < INSTANCES && instances[i].up
            && token >= highest_fence;
  char text[128];
  int n = snprintf (text, sizeof text,
                    "HTTP/1.1 %s\r\nContent-Length: 2\r\n"
                    "Connection: close\r\n\r\n{}",
                    ok ? "200 OK" : "409 Conflict");

  if (ok)
    highest_fence = token;
  printf ("%" PRId64 " promotion of i%d fence %" PRIu64 ": %s\n",
          kit_now_ms (), i + 1, token, ok ? "accepted" : "refused");
  put (r->fd, text, (size_t)n);
  close (r->fd);
  r->fd = -1;
  r->instance = i;
  r->effect_at = ok ? kit_now_ms () + PROMOTE_MS : 0;
}

static void
receive_promotion (struct request *r)
{
  ssize_t n = recv (r->fd, r->text + r->len, sizeof r->text - r->len - 1, 0);

  if (n <= 0)
    {
      close (r->fd);
      r->fd = -1;
      return;
    }
  r->len += (size_t)n;
  r->text[r->len] = '\0';
  if (strstr (r->text, "\r\n\r\n") && strchr (r->text, '}'))
    handle_promotion (r);
}

static void
handle_command (const char *line)
{
  char word[16] = "";
  int n = 0;
  int ms = 0;
  struct instance *in;

  sscanf (line, "%15s %d %d", word, &n, &ms);
  if (n < 1 || n > INSTANCES)
    return;
  in = &instances[n - 1];
  printf ("%" PRId64 " command %s i%d\n", kit_now_ms (), word, n);
  if (strcmp (word, "crash") == 0)
    crash_instance (n - 1);
  else if (strcmp (word, "start") == 0 && !in->up)
    start_instance (n - 1);
  else if (strcmp (word, "empty") == 0 && !in->up)
    {
      in->length = 0;
      in->term = 0;
      start_instance (n - 1);
    }
  else if (strcmp (word, "deaf") == 0 || strcmp (word, "hear") == 0)
    in->deaf = *word == 'd';
  else if (strcmp (word, "lag") == 0)
    in->lag_ms = ms;
}

static void
poll_once (void)
{
  struct pollfd fds[CONNECTIONS + INSTANCES + REQUESTS + 2];
  size_t n = 0;
  char text[512];

  for (size_t i = 0; i < CONNECTIONS; i++)
    fds[n++] = (struct pollfd){ conns[i].fd, POLLIN, 0 };
  for (int i = 0; i < INSTANCES; i++)
    fds[n++] = (struct pollfd){ instances[i].fd, POLLIN, 0 };
  for (size_t i = 0; i < REQUESTS; i++)
    fds[n++] = (struct pollfd){ requests[i].fd, POLLIN, 0 };
  fds[n++] = (struct pollfd){ promotion_fd, POLLIN, 0 };
  fds[n++] = (struct pollfd){ STDIN_FILENO, POLLIN, 0 };
  pthread_mutex_unlock (&lock);
  poll (fds, n, 2);
  pthread_mutex_lock (&lock);
  if (fds[n - 1].revents)
    {
      ssize_t got = read (STDIN_FILENO, text, sizeof text - 1);

      if (got <= 0)
        exit (0);
      text[got] = '\0';
      for (char *l = strtok (text, "\n"); l; l = strtok (NULL, "\n"))
        handle_command (l);
    }
  for (size_t i = 0; i < CONNECTIONS; i++)
    if (conns[i].fd >= 0 && conns[i].fd == fds[i].fd && fds[i].revents)
      receive (&conns[i]);
  for (int i = 0; i < INSTANCES; i++)
    if (instances[i].fd >= 0 && fds[CONNECTIONS + i].revents & POLLIN)
      {
        int fd = accept (instances[i].fd, NULL, NULL);
        size_t k = 0;
        int on = 1;

        while (k < CONNECTIONS && conns[k].fd >= 0)
          k++;
        if (k == CONNECTIONS)
          {
            put (fd, "ERROR CONNLIMIT -\r\n", 19);
            close (fd);
            continue;
          }
        setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        conns[k].fd = fd;
        conns[k].instance = i;
      }
  for (size_t i = 0; i < REQUESTS; i++)
    {
      struct request *r = &requests[i];

      if (r->fd >= 0 && fds[CONNECTIONS + INSTANCES + i].revents)
        receive_promotion (r);
      if (r->effect_at && kit_now_ms () >= r->effect_at)
        {
          r->effect_at = 0;
          promote (r->instance);
        }
    }
  if (fds[n - 2].revents & POLLIN)
    {
      int fd = accept (promotion_fd, NULL, NULL);
      size_t k = 0;

      while (k < REQUESTS && (requests[k].fd >= 0 || requests[k].effect_at))
        k++;
      if (k == REQUESTS)
        close (fd);
      else
        {
          memset (&requests[k], 0, sizeof requests[k]);
          requests[k].fd = fd;
        }
    }
  if (leader < INSTANCES)
    replicate ();
  acknowledge ();
  for (size_t i = 0; i < CONNECTIONS; i++)
    if (conns[i].fd >= 0)
      handle_input (&conns[i]);
}

/* Sends the status reports of one instance. */
static void *
report (void *arg)
{
  int i = (int)(intptr_t)arg;
  struct instance *in = &instances[i];
  int64_t next = 0;
  size_t at = (size_t)i;

  for (;;)
    {
      char path[64];
      char text[512];
      char to[32];
      int status = 0;

      kit_sleep_ms (10);
      pthread_mutex_lock (&lock);
      if (!in->up || (!in->beat_now && kit_now_ms () < next))
        {
          pthread_mutex_unlock (&lock);
          continue;
        }
      in->beat_now = false;
      next = kit_now_ms () + BEAT_MS;
      snprintf (path, sizeof path, "/v1/Instances.Heartbeat/i%d", i + 1);
      snprintf (text, sizeof text,
                "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"z%d\","
                "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
                "\"cold_remaining_ms\":0,\"db_role\":\"%s\","
                "\"sequence\":%" PRIu64 ",\"born\":%" PRId64 "}",
                service, address, INSTANCE_PORT + 1 + i, i + 1,
                leads (i) ? "primary" : "replica", ++in->sequence, in->born);
      pthread_mutex_unlock (&lock);
      for (size_t tries = 0; tries < control_count && status != 200; tries++)
        {
          snprintf (to, sizeof to, "%s", controls[at++ % control_count]);
          status = kit_control_at (to, "POST", path, text, NULL, 0);
        }
    }
  return NULL;
}

int
main (int argc, char **argv)
{
  pthread_t thread;

  if (argc < 4)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IOLBF, 0);
  service = argv[1];
  address = argv[2];
  for (int i = 3; i < argc && control_count < CONTROLS_MAX; i++)
    controls[control_count++] = argv[i];
  for (size_t i = 0; i < CONNECTIONS; i++)
    conns[i].fd = -1;
  for (size_t i = 0; i < REQUESTS; i++)
    requests[i].fd = -1;
  for (int i = 0; i < INSTANCES; i++)
    {
      instances[i].log = calloc (LOG_MAX, sizeof *instances[i].log);
      instances[i].term = 1;
      instances[i].lag_ms = 8;
      start_instance (i);
    }
  promotion_fd = listen_on (PROMOTION_PORT);
  pthread_mutex_lock (&lock);
  for (int i = 0; i < INSTANCES; i++)
    pthread_create (&thread, NULL, report, (void *)(intptr_t)i);
  for (;;)
    poll_once ();
}
