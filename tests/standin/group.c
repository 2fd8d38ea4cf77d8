/*
 * Stand-in for the platform in the process tests and the soak: a database
 * group whose instances speak the line protocol and share one log, and the
 * platform's HTTP request that promotes an instance.  It shares no code with
 * the program under test.
 *
 *   group SERVICE PORT... PROMOTION_PORT [ADDRESS]
 *
 * Instance N, at the Nth port, is named tN; t1 is the first primary.  A commit
 * is replicated at once to every replica that is up, not paused and not cut
 * off; the reply to the write or COMMIT waits until at least one replica has
 * it.  A promotion takes effect some time after its response.
 *
 * SIGUSR1 stops the primary.  With ADDRESS, commands are read from standard
 * input, one a line:
 *   stop N         closes the port and the connections of instance N
 *   start N        opens the port again; the instance still has its log, and
 *                  is primary if it was and no other was promoted
 *   deaf N         cuts the replication to instance N
 *   hear N         resumes it
 *   stutter P D    sends P percent of the replies a second time, up to D ms
 *                  later; "stutter 0 0" ends it
 *   late N         the next N promotion requests get no response and are
 *                  carried out 2 to 5 s later, their fencing token checked
 * then late-orders N  the same for PAUSE, RESUME and DEMOTE seed N seeds the
 * choices of the three above dump           prints the log The program exits
 * at the end of the input.
 *
 * A statement's id is "CALLER-NUMBER".
 */
#include "group.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* Longest statement that is accepted, and its line end. */
#define INPUT_BYTES_MAX ((1 << 20) + 64)
#define POLL_MS 10

/* Size of one command; up to eight are read at a time. */
enum
{
  COMMAND_BYTES = 64
};

const char *service;
struct connection connections[CONNECTIONS];
static const char *const *ports;
static const char *address = "127.0.0.1";
static volatile sig_atomic_t stop_primary;
/* Whether commands are read from standard input. */
static bool has_commands;
static uint64_t random_state = 1;

int64_t
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
print_event (const char *format, ...)
{
  struct timespec t;
  struct tm day;
  va_list args;

  clock_gettime (CLOCK_REALTIME, &t);
  gmtime_r (&t.tv_sec, &day);
  printf ("%02d:%02d:%02d.%03ld ", day.tm_hour, day.tm_min, day.tm_sec,
          t.tv_nsec / 1000000);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  putchar ('\n');
}

unsigned
random_below (unsigned bound)
{
  random_state = random_state * UINT64_C (6364136223846793005) + 1;
  return (unsigned)((random_state >> 33) % bound);
}

static void
on_sigusr1 (int sig)
{
  (void)sig;
  stop_primary = 1;
}

int
listen_on (const char *port)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  sa.sin_port = htons ((uint16_t)atoi (port));
  inet_pton (AF_INET, address, &sa.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&sa, sizeof sa) != 0
      || listen (fd, 64) != 0)
    {
      perror ("group: cannot listen");
      exit (1);
    }
  return fd;
}

static void
close_connection (struct connection *c)
{
  close (c->fd);
  free (c->input);
  memset (c, 0, sizeof *c);
  c->fd = -1;
}

static void
reserve_input (struct connection *c)
{
  if (c->input_cap - c->input_len >= BUFFER_BYTES)
    return;
  c->input_cap = c->input_cap * 2 + BUFFER_BYTES;
  c->input = realloc (c->input, c->input_cap);
  if (!c->input)
    abort ();
}

static void
handle_input (struct connection *c)
{
  char *end;

  while (c->input && !c->awaited_commit && !c->stalled
         && (end = strstr (c->input, "\r\n")))
    {
      *end = '\0';
      handle_line (c, c->input);
      c->input_len -= (size_t)(end + 2 - c->input);
      memmove (c->input, end + 2, c->input_len + 1);
    }
}

static void
receive (struct connection *c)
{
  ssize_t got;

  reserve_input (c);
  got = recv (c->fd, c->input + c->input_len, c->input_cap - c->input_len - 1,
              0);
  if (got <= 0 || c->input_len + (size_t)got > INPUT_BYTES_MAX)
    {
      close_connection (c);
      return;
    }
  c->input_len += (size_t)got;
  c->input[c->input_len] = '\0';
}

static void
accept_connection (int instance)
{
  static unsigned serial;
  int fd = accept (instances[instance].fd, NULL, NULL);

  for (int i = 0; fd >= 0 && i < CONNECTIONS; i++)
    if (connections[i].fd < 0)
      {
        connections[i].fd = fd;
        connections[i].serial = ++serial;
        connections[i].instance = instance;
        return;
      }
  if (fd >= 0)
    close (fd);
}

static void
stop_instance (int index)
{
  struct instance *in = &instances[index];

  if (!in->up)
    return;
  in->up = false;
  close (in->fd);
  in->fd = -1;
  for (int i = 0; i < CONNECTIONS; i++)
    if (connections[i].fd >= 0 && connections[i].instance == index)
      close_connection (&connections[i]);
  print_event ("t%d stops", index + 1);
}

static void
start_instance (int index)
{
  struct instance *in = &instances[index];

  if (in->up)
    return;
  in->fd = listen_on (ports[index]);
  in->up = true;
  in->held_term = 0;
  print_event ("t%d starts with %" PRIu64 " commits", index + 1, in->received);
}

static void
handle_command (const char *line)
{
  char word[16] = "";
  unsigned a = 0;
  unsigned b = 0;

  sscanf (line, "%15s %u %u", word, &a, &b);
  if (strcmp (word, "dump") == 0)
    dump_log ();
  else if (strcmp (word, "stutter") == 0)
    set_stutter (a, b);
  else if (strcmp (word, "late") == 0)
    delay_promotions (a);
  else if (strcmp (word, "late-orders") == 0)
    delay_orders (a);
  else if (strcmp (word, "seed") == 0)
    random_state = a;
  else if (a < 1 || a > (unsigned)instance_count)
    return;
  else if (strcmp (word, "stop") == 0)
    stop_instance ((int)a - 1);
  else if (strcmp (word, "start") == 0)
    start_instance ((int)a - 1);
  else
    instances[a - 1].replication_cut = strcmp (word, "deaf") == 0;
}

static void
handle_commands (void)
{
  char text[COMMAND_BYTES * 8];
  ssize_t got = read (STDIN_FILENO, text, sizeof text - 1);

  if (got <= 0)
    exit (0);
  text[got] = '\0';
  for (char *line = strtok (text, "\n"); line; line = strtok (NULL, "\n"))
    handle_command (line);
}

static void
poll_once (void)
{
  struct pollfd fds[CONNECTIONS + INSTANCES_MAX + PROMOTIONS + 2];
  struct pollfd *input = &fds[CONNECTIONS + INSTANCES_MAX];
  size_t count = CONNECTIONS + INSTANCES_MAX + 1;

  for (int i = 0; i < CONNECTIONS; i++)
    fds[i] = (struct pollfd){ connections[i].fd, POLLIN, 0 };
  for (int i = 0; i < INSTANCES_MAX; i++)
    fds[CONNECTIONS + i] = (struct pollfd){ instances[i].fd, POLLIN, 0 };
  *input = (struct pollfd){ has_commands ? STDIN_FILENO : -1, POLLIN, 0 };
  count += promotions_fds (input + 1);
  if (poll (fds, count, POLL_MS) < 0)
    return;
  if (input->revents)
    handle_commands ();
  for (int i = 0; i < CONNECTIONS; i++)
    if (connections[i].fd >= 0 && fds[i].revents)
      receive (&connections[i]);
  for (int i = 0; i < instance_count; i++)
    if (fds[CONNECTIONS + i].revents & POLLIN)
      accept_connection (i);
  promotions_tick (input + 1);
  replicate ();
  complete_waiting_commits ();
  for (int i = 0; i < CONNECTIONS; i++)
    if (connections[i].fd >= 0)
      handle_input (&connections[i]);
  run_late_replies_and_orders ();
}

int
main (int argc, char **argv)
{
  has_commands = argc > 4 && strchr (argv[argc - 1], '.');
  if (has_commands)
    address = argv[--argc];
  instance_count = argc - 3;
  if (instance_count < 1 || instance_count > INSTANCES_MAX)
    {
      fputs ("usage: group SERVICE PORT... PROMOTION_PORT [ADDRESS]\n",
             stderr);
      return 2;
    }
  service = argv[1];
  ports = (const char *const *)argv + 2;
  setvbuf (stdout, NULL, _IOLBF, 0);
  signal (SIGUSR1, on_sigusr1);
  for (int i = 0; i < CONNECTIONS; i++)
    connections[i].fd = -1;
  for (int i = 0; i < INSTANCES_MAX; i++)
    instances[i].fd = -1;
  for (int i = 0; i < instance_count; i++)
    {
      start_instance (i);
      instances[i].term = 1;
    }
  promotions_start (argv[argc - 1]);
  for (;;)
    {
      if (stop_primary && primary >= 0)
        stop_instance (primary);
      stop_primary = 0;
      poll_once ();
    }
}
