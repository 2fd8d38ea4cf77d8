/*
 * Stand-in of the platform for the process tests: one database group of
 * three instances that speak the line protocol, with one log, and the
 * platform's call that makes an instance lead.  It shares no code with the
 * program under test.
 *
 *   group SERVICE PORT1 PORT2 PORT3 PROMOTION_PORT
 *
 * A commit is on the primary and on every replica that is up and not paused.
 * SIGUSR1 stops the primary for good: its connections break and its port is
 * closed.  Instance n is named t<n>.
 */
#include <arpa/inet.h>
#include <inttypes.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define INSTANCES 3
#define CONNECTIONS 256
#define ITEMS 1024
#define TEXT 256
#define BUFFER 4096

struct item
{
  char name[64];
  char data[64];
  uint64_t number;
};

struct instance
{
  int fd;
  bool up;
  bool paused;
  uint64_t term;
  uint64_t received;
};

struct connection
{
  int fd;
  int at;
  bool started;
  char state;
  bool read_only;
  struct item written[16];
  size_t written_count;
  char shapes[16][TEXT];
  size_t shape_count;
  char in[BUFFER];
  size_t len;
};

static const char *service;
static struct instance instances[INSTANCES];
static struct connection connections[CONNECTIONS];
static struct item items[ITEMS];
static size_t item_count;
static int primary;
static uint64_t term = 1;
static uint64_t number;
static uint64_t proofs;
static int promotion;
static uint64_t newest_fence;
static volatile sig_atomic_t kill_primary;

static void
on_signal (int sig)
{
  (void)sig;
  kill_primary = 1;
}

static int
listen_on (const char *port)
{
  struct sockaddr_in at = { .sin_family = AF_INET };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  at.sin_port = htons ((uint16_t)atoi (port));
  inet_pton (AF_INET, "127.0.0.1", &at.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&at, sizeof at) != 0
      || listen (fd, 64) != 0)
    {
      perror ("group: listen");
      exit (1);
    }
  return fd;
}

static void
say (const struct connection *c, const char *text)
{
  if (send (c->fd, text, strlen (text), MSG_NOSIGNAL) < 0)
    return;
}

static void
say_ready (const struct connection *c)
{
  const struct instance *in = &instances[c->at];
  char line[TEXT];

  snprintf (line, sizeof line, "READY %c %" PRIu64 ".%" PRIu64 "\r\n",
            c->state, in->term, in->received);
  say (c, line);
}

static void
say_done (const struct connection *c, bool work)
{
  char line[TEXT];

  if (work)
    snprintf (line, sizeof line, "COMPLETE mac.%" PRIu64 "\r\n", ++proofs);
  else
    snprintf (line, sizeof line, "COMPLETE -\r\n");
  say (c, line);
  say_ready (c);
}

static void
say_error (const struct connection *c, const char *code)
{
  char line[TEXT];

  snprintf (line, sizeof line, "ERROR %s t%d\r\n", code, c->at + 1);
  say (c, line);
  say_ready (c);
}

static void
replicate (void)
{
  for (int i = 0; i < INSTANCES; i++)
    if (instances[i].up && (i == primary || !instances[i].paused))
      {
        instances[i].received = number;
        instances[i].term = term;
      }
}

static void
store (const struct item *in)
{
  size_t i = 0;

  while (i < item_count && strcmp (items[i].name, in->name) != 0)
    i++;
  if (i == ITEMS)
    return;
  if (i == item_count)
    item_count++;
  items[i] = *in;
  items[i].number = number;
}

static void
commit (struct connection *c)
{
  if (c->written_count)
    number++;
  for (size_t i = 0; i < c->written_count; i++)
    store (&c->written[i]);
  c->written_count = 0;
  replicate ();
}

static void
read_item (const struct connection *c, const char *name)
{
  char line[TEXT];

  for (size_t i = 0; i < item_count; i++)
    if (strcmp (items[i].name, name) == 0
        && items[i].number <= instances[c->at].received)
      {
        snprintf (line, sizeof line, "ROW %s\r\n", items[i].data);
        say (c, line);
      }
  say_done (c, true);
}

static void
write_item (struct connection *c, char *rest)
{
  struct item *w = &c->written[c->written_count % 16];
  char *data = strchr (rest, ' ');

  if (c->at != primary || c->read_only || !data)
    {
      if (c->state == 'T')
        c->state = 'E';
      say_error (c, "READONLY");
      return;
    }
  *data++ = '\0';
  snprintf (w->name, sizeof w->name, "%s", rest);
  snprintf (w->data, sizeof w->data, "%s", data);
  c->written_count++;
  if (c->state == 'I')
    commit (c);
  say_done (c, true);
}

static void
begin (struct connection *c, bool read_only)
{
  if (!read_only && c->at != primary)
    {
      say_error (c, "READONLY");
      return;
    }
  c->state = 'T';
  c->read_only = read_only;
  c->written_count = 0;
  say_done (c, false);
}

static void
say_status (const struct connection *c)
{
  const struct instance *in = &instances[c->at];
  char line[TEXT];

  snprintf (line, sizeof line,
            "ROW %s %" PRIu64 " %" PRIu64 ".%" PRIu64 " 0 0 0 1\r\n",
            c->at == primary ? "primary" : "replica", in->term, in->term,
            in->received);
  say (c, line);
  say_done (c, false);
}

/* Whether the instance's log has a position "TERM.NUMBER". */
static bool
has_position (const struct connection *c, const char *text)
{
  uint64_t t = strtoull (text, NULL, 10);
  const char *dot = strchr (text, '.');
  uint64_t n = dot ? strtoull (dot + 1, NULL, 10) : 0;
  const struct instance *in = &instances[c->at];

  return in->term > t || (in->term == t && in->received >= n);
}

static void
execute (struct connection *c, char *rest)
{
  char *item = strchr (rest, ' ');
  size_t len = item ? (size_t)(item - rest) : strlen (rest);

  for (size_t i = 0; item && i < c->shape_count; i++)
    if (strncmp (c->shapes[i], rest, len) == 0 && c->shapes[i][len] == ' ')
      {
        if (strncmp (c->shapes[i] + len + 1, "WRITE", 5) == 0)
          write_item (c, item + 1);
        else
          read_item (c, item + 1);
        return;
      }
  say_error (c, "NOSTMT");
}

static void
run_text (struct connection *c, char *text)
{
  if (strncmp (text, "AFTER ", 6) == 0)
    {
      char *rest = strchr (text + 6, ' ');

      if (!rest || !has_position (c, text + 6))
        {
          say_error (c, "LAGGING");
          return;
        }
      text = rest + 1;
    }
  if (strcmp (text, "BEGIN") == 0 || strcmp (text, "BEGIN READ") == 0)
    begin (c, text[5] == ' ');
  else if (c->state == 'T' && !c->read_only && c->at != primary)
    {
      c->state = 'E';
      say_error (c, "READONLY");
    }
  else if (strcmp (text, "COMMIT") == 0)
    {
      commit (c);
      c->state = 'I';
      say_done (c, true);
    }
  else if (strcmp (text, "ROLLBACK") == 0)
    {
      c->written_count = 0;
      c->state = 'I';
      say_done (c, false);
    }
  else if (strncmp (text, "READ ", 5) == 0)
    read_item (c, text + 5);
  else if (strncmp (text, "WRITE ", 6) == 0)
    write_item (c, text + 6);
  else if (strncmp (text, "PREPARE ", 8) == 0)
    {
      snprintf (c->shapes[c->shape_count++ % 16], TEXT, "%s", text + 8);
      say_done (c, false);
    }
  else if (strncmp (text, "EXECUTE ", 8) == 0)
    execute (c, text + 8);
  else if (strncmp (text, "PAUSE", 5) == 0 || strcmp (text, "RESUME") == 0)
    {
      instances[c->at].paused = text[0] == 'P' && c->at != primary;
      say_status (c);
    }
  else if (strcmp (text, "STATUS") == 0)
    say_status (c);
  else
    say_done (c, false);
}

static void
take_line (struct connection *c, char *line)
{
  char name[64] = "";
  char id[64] = "";
  char expected[16];
  char *text;

  if (!c->started)
    {
      snprintf (expected, sizeof expected, "t%d", c->at + 1);
      if (sscanf (line, "STARTUP %63s %*s %63s", name, id) < 1
          || strcmp (name, service) != 0
          || (*id && strcmp (id, expected) != 0))
        {
          say (c, "ERROR MISROUTED no\r\n");
          shutdown (c->fd, SHUT_RDWR);
          return;
        }
      c->started = true;
      c->state = 'I';
      say_ready (c);
      return;
    }
  text = strncmp (line, "QUERY ", 6) == 0 ? strchr (line + 6, ' ') : NULL;
  if (text)
    run_text (c, text + 1);
}

static void
close_connection (struct connection *c)
{
  close (c->fd);
  memset (c, 0, sizeof *c);
  c->fd = -1;
}

static void
receive (struct connection *c)
{
  ssize_t got = recv (c->fd, c->in + c->len, sizeof c->in - c->len - 1, 0);
  char *end;

  if (got <= 0)
    {
      close_connection (c);
      return;
    }
  c->len += (size_t)got;
  c->in[c->len] = '\0';
  while ((end = strstr (c->in, "\r\n")))
    {
      *end = '\0';
      take_line (c, c->in);
      c->len -= (size_t)(end + 2 - c->in);
      memmove (c->in, end + 2, c->len + 1);
    }
}

static void
take_connection (int at)
{
  int fd = accept (instances[at].fd, NULL, NULL);

  for (int i = 0; fd >= 0 && i < CONNECTIONS; i++)
    if (connections[i].fd < 0)
      {
        connections[i].fd = fd;
        connections[i].at = at;
        return;
      }
  if (fd >= 0)
    close (fd);
}

/* One order on one connection: the fence is checked, the named instance
   leads the next term with what it has. */
static void
take_order (void)
{
  char text[BUFFER] = "";
  size_t len = 0;
  const char *fence;
  const char *id;
  const char *answer = "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n"
                       "Connection: close\r\n\r\n";
  int fd = accept (promotion, NULL, NULL);
  ssize_t got;

  while (!strstr (text, "}")
         && (got = recv (fd, text + len, sizeof text - len - 1, 0)) > 0)
    len += (size_t)got;
  fence = strstr (text, "Fencing-Token: ");
  id = strstr (text, "\"id\":\"t");
  if (fence && id && strtoull (fence + 15, NULL, 10) >= newest_fence
      && instances[id[7] - '1'].up)
    {
      newest_fence = strtoull (fence + 15, NULL, 10);
      if (primary != id[7] - '1')
        {
          primary = id[7] - '1';
          term++;
          number = instances[primary].received;
        }
      for (int i = 0; i < INSTANCES; i++)
        instances[i].paused = false;
      replicate ();
      answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"
               "Connection: close\r\n\r\n";
      printf ("t%d leads term %" PRIu64 "\n", primary + 1, term);
      fflush (stdout);
    }
  if (send (fd, answer, strlen (answer), MSG_NOSIGNAL) < 0)
    perror ("group: send");
  close (fd);
}

static void
stop_primary (void)
{
  struct instance *in = &instances[primary];

  kill_primary = 0;
  in->up = false;
  close (in->fd);
  in->fd = -1;
  for (int i = 0; i < CONNECTIONS; i++)
    if (connections[i].fd >= 0 && connections[i].at == primary)
      close_connection (&connections[i]);
  primary = -1;
}

static void
turn (void)
{
  struct pollfd fds[CONNECTIONS + INSTANCES + 1];

  for (int i = 0; i < CONNECTIONS; i++)
    fds[i] = (struct pollfd){ connections[i].fd, POLLIN, 0 };
  for (int i = 0; i < INSTANCES; i++)
    fds[CONNECTIONS + i] = (struct pollfd){ instances[i].fd, POLLIN, 0 };
  fds[CONNECTIONS + INSTANCES] = (struct pollfd){ promotion, POLLIN, 0 };
  if (poll (fds, CONNECTIONS + INSTANCES + 1, 100) <= 0)
    return;
  for (int i = 0; i < CONNECTIONS; i++)
    if (connections[i].fd >= 0 && fds[i].revents)
      receive (&connections[i]);
  for (int i = 0; i < INSTANCES; i++)
    if (fds[CONNECTIONS + i].revents & POLLIN)
      take_connection (i);
  if (fds[CONNECTIONS + INSTANCES].revents & POLLIN)
    take_order ();
}

int
main (int argc, char **argv)
{
  if (argc != 6)
    {
      fputs ("usage: group SERVICE PORT1 PORT2 PORT3 PROMOTION_PORT\n",
             stderr);
      return 2;
    }
  service = argv[1];
  signal (SIGUSR1, on_signal);
  for (int i = 0; i < CONNECTIONS; i++)
    connections[i].fd = -1;
  for (int i = 0; i < INSTANCES; i++)
    {
      instances[i].fd = listen_on (argv[2 + i]);
      instances[i].up = true;
      instances[i].term = 1;
    }
  promotion = listen_on (argv[5]);
  for (;;)
    {
      if (kill_primary)
        stop_primary ();
      turn ();
    }
}
