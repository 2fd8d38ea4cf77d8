#include "kit.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PROCESSES_MAX 64
#define SUBNETS 120
#define SUBNET_FIRST 100

static FILE *record_file;
static int64_t started_at;
static char folder[128];
static unsigned subnet;
static unsigned seed_count = 3;
static pid_t processes[PROCESSES_MAX];
static size_t process_count;

int64_t
kit_now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
kit_sleep_ms (int64_t ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

  while (nanosleep (&t, &t) != 0 && errno == EINTR)
    ;
}

bool
kit_trouble (void)
{
  const char *t = getenv ("TROUBLE");

  return !t || strcmp (t, "0") != 0;
}

const char *
kit_address (unsigned n)
{
  static char text[8][32];
  static unsigned next;
  char *out = text[next++ % 8];

  snprintf (out, sizeof text[0], "127.%u.0.%u", subnet, n);
  return out;
}

const char *
kit_folder (void)
{
  return folder;
}

static void
record_line (const char *format, va_list args)
{
  fprintf (record_file, "%8.3f ",
           (double)(kit_now_ms () - started_at) / 1000);
  vfprintf (record_file, format, args);
  fputc ('\n', record_file);
  fflush (record_file);
}

void
kit_record (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  record_line (format, args);
  va_end (args);
}

void
kit_give_up (const char *format, ...)
{
  va_list args;

  va_start (args, format);
  record_line (format, args);
  va_end (args);
  kit_record ("the case could not run");
  exit (kit_end (CANNOT_RUN));
}

static int
listen_at (const char *address, unsigned port)
{
  struct sockaddr_in sa = { .sin_family = AF_INET,
                            .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, address, &sa.sin_addr);
  if (fd >= 0 && bind (fd, (struct sockaddr *)&sa, sizeof sa) == 0
      && listen (fd, 1) == 0)
    return fd;
  if (fd >= 0)
    close (fd);
  return -1;
}

/* A run holds a port of its block, so that two runs at once differ. */
static void
pick_subnet (void)
{
  for (unsigned i = 0; i < SUBNETS; i++)
    {
      subnet = SUBNET_FIRST + ((unsigned)getpid () + i) % SUBNETS;
      if (listen_at (kit_address (254), CONTROL_PORT) >= 0)
        return;
    }
  kit_give_up ("no block of loopback addresses is free");
}

static void
on_signal (int sig)
{
  (void)sig;
  for (size_t i = 0; i < process_count; i++)
    if (processes[i])
      kill (processes[i], SIGKILL);
  _exit (CANNOT_RUN);
}

void
kit_start (void)
{
  const char *to = getenv ("RECORD");
  const char *tmp = getenv ("TMPDIR");

  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  started_at = kit_now_ms ();
  record_file = fopen (to ? to : "record.txt", "w");
  if (!record_file)
    exit (CANNOT_RUN);
  snprintf (folder, sizeof folder, "%s/review.XXXXXX", tmp ? tmp : "/tmp");
  if (!mkdtemp (folder))
    kit_give_up ("no temporary folder");
  pick_subnet ();
  kit_record ("trouble=%d", kit_trouble ());
}

static void
forget (pid_t pid)
{
  for (size_t i = 0; i < process_count; i++)
    if (processes[i] == pid)
      processes[i] = 0;
}

void
kit_kill (pid_t pid, int sig)
{
  if (pid <= 0)
    return;
  kill (pid, sig);
  if (sig != SIGKILL)
    return;
  waitpid (pid, NULL, 0);
  forget (pid);
}

int
kit_end (int status)
{
  static const char *const names[] = { "held", "BROKEN", "could not run" };
  char command[192];

  for (size_t i = 0; i < process_count; i++)
    kit_kill (processes[i], SIGKILL);
  kit_record ("result: %s", names[status]);
  fclose (record_file);
  if (getenv ("KEEP"))
    return status;
  snprintf (command, sizeof command, "rm -rf %s", folder);
  if (system (command) != 0)
    return CANNOT_RUN;
  return status;
}

static pid_t
spawn (const char *name, char *const argv[], const char *settings, int in)
{
  char log[192];
  pid_t pid = fork ();
  int out;

  if (pid > 0)
    {
      if (process_count == PROCESSES_MAX)
        kit_give_up ("too many processes");
      processes[process_count++] = pid;
      return pid;
    }
  if (pid < 0)
    kit_give_up ("cannot start %s", name);
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  snprintf (log, sizeof log, "%s/%s.log", folder, name);
  out = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2 (out, STDOUT_FILENO);
  dup2 (out, STDERR_FILENO);
  if (in >= 0)
    dup2 (in, STDIN_FILENO);
  signal (SIGPIPE, SIG_DFL);
  signal (SIGTERM, SIG_DFL);
  signal (SIGINT, SIG_DFL);
  if (settings)
    setenv ("COLTSFOOTSTAGE_BOOT", settings, 1);
  execv (argv[0], argv);
  _exit (127);
}

pid_t
kit_instances_start (const char *name, unsigned n, unsigned controls,
                     int *input)
{
  char binary[] = "review/bin/instances";
  char service[] = "db";
  char addresses[9][32];
  char *argv[12] = { binary, service };
  int pipes[2];
  pid_t pid;

  if (access (binary, X_OK) != 0)
    kit_give_up ("%s is not built", binary);
  for (unsigned i = 0; i <= controls && i < 9; i++)
    {
      snprintf (addresses[i], sizeof addresses[i], "%s",
                kit_address (i ? i : n));
      argv[2 + i] = addresses[i];
    }
  if (pipe2 (pipes, O_CLOEXEC) != 0)
    kit_give_up ("no pipe");
  pid = spawn (name, argv, NULL, pipes[0]);
  close (pipes[0]);
  *input = pipes[1];
  return pid;
}

void
kit_command (int input, const char *format, ...)
{
  char line[64];
  va_list args;
  int n;

  va_start (args, format);
  n = vsnprintf (line, sizeof line - 1, format, args);
  va_end (args);
  line[n++] = '\n';
  if (write (input, line, (size_t)n) != n)
    kit_give_up ("the stand-in takes no command");
}

unsigned
kit_copy_log (const char *name, const char *word)
{
  char path[192];
  char line[512];
  unsigned count = 0;
  FILE *f;

  snprintf (path, sizeof path, "%s/%s.log", folder, name);
  f = fopen (path, "r");
  while (f && fgets (line, sizeof line, f))
    if (strstr (line, word))
      {
        line[strcspn (line, "\n")] = '\0';
        kit_record ("%s: %s", name, line);
        count++;
      }
  if (f)
    fclose (f);
  return count;
}

void
kit_set_seeds (unsigned count)
{
  seed_count = count;
}

static void
put_common (FILE *f, const struct machine *m)
{
  fprintf (f,
           "{\"host\": \"%s\", \"address\": \"%s\", \"zone\": \"z%u\", "
           "\"zones\": {",
           kit_address (m->number), kit_address (m->number), m->number);
  for (unsigned i = 1; i <= MACHINES_MAX; i++)
    fprintf (f, "%s\"z%u\": \"region%u\"", i > 1 ? ", " : "", i, (i + 1) / 2);
  fputs ("}, \"seeds\": [", f);
  for (unsigned i = 1; i <= seed_count; i++)
    fprintf (f, "%s\"%s:%d\"", i > 1 ? ", " : "", kit_address (i),
             CONTROL_PORT);
  fputs ("], \"control_port\": 7560, \"revoke_ms\": 5000, \"memory_mb\": 160, "
         "\"max_fds\": 4300, \"stop_seconds\": 6, ",
         f);
}

/* The settings are those of deploy/front.json and deploy/core.json, rendered
   for a machine of a grown site. */
static pid_t
start_role (struct machine *m, const char *role, bool first)
{
  bool core = strcmp (role, "core") == 0;
  char binary[] = "target/coltsfootstage";
  char verb[] = "serve";
  char *argv[] = { binary, verb, NULL };
  char settings[192];
  char name[32];
  FILE *f;

  snprintf (name, sizeof name, "%s%u", role, m->number);
  snprintf (settings, sizeof settings, "%s/%s.json", folder, name);
  f = fopen (settings, "w");
  if (!f)
    kit_give_up ("cannot write %s", settings);
  put_common (f, m);
  if (core)
    {
      fprintf (f,
               "\"first_start\": %s, \"control_address\": \"%s:%d\", "
               "\"data_folder\": \"%s/disk%u.%u\", ",
               first ? "true" : "false", kit_address (m->number), CONTROL_PORT,
               folder, m->number, m->disk);
      fprintf (f, "\"promotion_address\": \"%s:%d\"}\n", kit_address (250),
               PROMOTION_PORT);
    }
  else
    {
      fprintf (f, "\"session_address\": \"%s:%d\", ", kit_address (m->number),
               SESSION_PORT);
      fprintf (f, "\"ready_address\": \"%s:%d\", \"drain_ms\": 7000}\n",
               kit_address (m->number), READY_PORT);
    }
  fclose (f);
  return spawn (name, argv, settings, -1);
}

void
kit_machine_start (struct machine *m, bool first)
{
  if (access ("target/coltsfootstage", X_OK) != 0)
    kit_give_up ("target/coltsfootstage is not built");
  if (m->has_disk)
    m->core = start_role (m, "core", first);
  m->front = start_role (m, "front", first);
}

void
kit_machine_kill (struct machine *m)
{
  kit_kill (m->core, SIGKILL);
  kit_kill (m->front, SIGKILL);
  m->core = m->front = 0;
}

static bool small_windows;

void
kit_small_windows (bool on)
{
  small_windows = on;
}

static bool
wait_for (int fd, short events, int64_t until)
{
  struct pollfd p = { fd, events, 0 };
  int64_t left = until - kit_now_ms ();

  return left > 0 && poll (&p, 1, (int)left) > 0;
}

static int
connect_to (const char *address, unsigned port, int64_t until)
{
  struct sockaddr_in sa = { .sin_family = AF_INET,
                            .sin_port = htons ((uint16_t)port) };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
  int error = 0;
  socklen_t len = sizeof error;
  int on = 1;

  inet_pton (AF_INET, address, &sa.sin_addr);
  if (small_windows)
    {
      int bytes = 16 << 10;
      int mss = 1460;

      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
      setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &mss, sizeof mss);
    }
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) != 0
      && (errno != EINPROGRESS || !wait_for (fd, POLLOUT, until)
          || getsockopt (fd, SOL_SOCKET, SO_ERROR, &error, &len) != 0
          || error))
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

bool
kit_send_all (int fd, const char *data, size_t len)
{
  int64_t until = kit_now_ms () + 2000;

  while (len > 0)
    {
      ssize_t n = send (fd, data, len, MSG_NOSIGNAL);

      if (n < 0 && errno == EAGAIN && wait_for (fd, POLLOUT, until))
        continue;
      if (n <= 0)
        return false;
      data += n;
      len -= (size_t)n;
    }
  return true;
}

/* Reads until the other side closes. */
static size_t
read_all (int fd, char *out, size_t size, int64_t until, bool *complete)
{
  size_t len = 0;

  *complete = false;
  while (len + 1 < size && wait_for (fd, POLLIN, until))
    {
      ssize_t n = recv (fd, out + len, size - len - 1, 0);

      if (n < 0 && errno == EAGAIN)
        continue;
      *complete = n == 0;
      if (n <= 0)
        break;
      len += (size_t)n;
    }
  out[len] = '\0';
  return len;
}

static int
http_raw (const char *method, const char *address, unsigned port,
          const char *path, const char *content, int timeout_ms, char *out,
          size_t size)
{
  int64_t until = kit_now_ms () + timeout_ms;
  int fd = connect_to (address, port, until);
  size_t length = content ? strlen (content) : 0;
  char *text = malloc (length + 512);
  bool complete = false;
  int n;

  out[0] = '\0';
  if (!text)
    exit (CANNOT_RUN);
  n = snprintf (text, length + 512,
                "%s %s HTTP/1.1\r\nHost: %s:%u\r\nConnection: close\r\n"
                "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n"
                "%s",
                method, path, address, port, length, content ? content : "");
  if (fd >= 0 && kit_send_all (fd, text, (size_t)n))
    read_all (fd, out, size, until, &complete);
  if (fd >= 0)
    close (fd);
  free (text);
  if (!complete || strncmp (out, "HTTP/1.", 7) != 0)
    return 0;
  return atoi (out + 9);
}

int
kit_http (const char *method, const char *address, unsigned port,
          const char *path, const char *content, int timeout_ms, char *body,
          size_t size)
{
  static char text[1 << 16];
  int status = http_raw (method, address, port, path, content, timeout_ms,
                         text, sizeof text);
  const char *start = status ? strstr (text, "\r\n\r\n") : NULL;

  if (body)
    snprintf (body, size, "%s", start ? start + 4 : "");
  return status;
}

int
kit_control (unsigned machine, const char *method, const char *path,
             const char *content, char *body, size_t size)
{
  return kit_control_at (kit_address (machine), method, path, content, body,
                         size);
}

int
kit_control_at (const char *first, const char *method, const char *path,
                const char *content, char *body, size_t size)
{
  static _Thread_local char text[1 << 16];
  char address[32];
  int status = 0;

  snprintf (address, sizeof address, "%s", first);
  for (int hop = 0; hop < 3; hop++)
    {
      const char *to;
      const char *start;

      status = http_raw (method, address, CONTROL_PORT, path, content, 1000,
                         text, sizeof text);
      start = status ? strstr (text, "\r\n\r\n") : NULL;
      if (body)
        snprintf (body, size, "%s", start ? start + 4 : "");
      to = status == 307 ? strstr (text, "Location: http://") : NULL;
      if (!to || sscanf (to + 17, "%31[0-9.]", address) != 1)
        return status;
    }
  return status;
}

int
kit_configure (const unsigned *machines, size_t count, const char *document,
               int timeout_ms)
{
  int64_t until = kit_now_ms () + timeout_ms;

  for (size_t i = 0; kit_now_ms () < until; i++)
    {
      unsigned m = machines[i % count];
      int status = kit_control (m, "POST", "/v1/Config.Replace", document,
                                NULL, 0);

      if (status == 200)
        return (int)m;
      kit_sleep_ms (100);
    }
  return -1;
}

bool
kit_is_ready (unsigned machine)
{
  return kit_http ("GET", kit_address (machine), READY_PORT, "/v1/readiness",
                   NULL, 500, NULL, 0)
         == 200;
}

bool
kit_session_line (struct session *s, char *line, size_t size, int timeout_ms)
{
  int64_t until = kit_now_ms () + timeout_ms;

  for (;;)
    {
      char *end = memmem (s->in, s->len, "\r\n", 2);
      size_t n;
      ssize_t got;

      if (end)
        {
          n = (size_t)(end - s->in);
          snprintf (line, size, "%.*s", (int)n, s->in);
          s->len -= n + 2;
          memmove (s->in, end + 2, s->len);
          return true;
        }
      if (s->len == sizeof s->in || !wait_for (s->fd, POLLIN, until))
        return false;
      got = recv (s->fd, s->in + s->len, sizeof s->in - s->len, 0);
      if (got < 0 && errno == EAGAIN)
        continue;
      if (got <= 0)
        return false;
      s->len += (size_t)got;
    }
}

bool
kit_session_open (struct session *s, const char *address, const char *database,
                  const char *key)
{
  char text[256];
  int n = snprintf (text, sizeof text, "STARTUP %s %s\r\n", database, key);

  s->len = 0;
  s->fd = connect_to (address, SESSION_PORT, kit_now_ms () + 1000);
  if (s->fd < 0)
    return false;
  if (kit_send_all (s->fd, text, (size_t)n)
      && kit_session_line (s, text, sizeof text, 2000)
      && strncmp (text, "READY ", 6) == 0)
    return true;
  kit_session_close (s);
  return false;
}

void
kit_session_close (struct session *s)
{
  if (s->fd >= 0)
    close (s->fd);
  s->fd = -1;
}

bool
kit_query (struct session *s, const char *id, const char *text, char *result,
           char *row, char *ready, size_t size, int timeout_ms)
{
  char line[4096];
  int64_t until = kit_now_ms () + timeout_ms;
  int n = snprintf (line, sizeof line, "QUERY %s %s\r\n", id, text);

  if (row)
    *row = '\0';
  if (!kit_send_all (s->fd, line, (size_t)n))
    return false;
  for (;;)
    {
      int64_t left = until - kit_now_ms ();

      if (left <= 0 || !kit_session_line (s, line, sizeof line, (int)left))
        return false;
      if (strncmp (line, "ROW ", 4) == 0 && row)
        snprintf (row, size, "%.*s", (int)size - 1, line + 4);
      else if ((strncmp (line, "COMPLETE ", 9) == 0
                || strncmp (line, "ERROR ", 6) == 0)
               && result)
        snprintf (result, size, "%.*s", (int)size - 1, line);
      else if (strncmp (line, "READY ", 6) == 0)
        {
          if (ready)
            snprintf (ready, size, "%.*s", (int)size - 1, line);
          return true;
        }
    }
}

void
kit_await_service (unsigned machine, const char *database, const char *key)
{
  int64_t until = kit_now_ms () + 20000;
  char result[64] = "";

  while (strncmp (result, "COMPLETE ", 9) != 0)
    {
      struct session s;

      if (kit_now_ms () > until)
        kit_give_up ("machine %u does not serve: %s", machine, result);
      kit_sleep_ms (100);
      if (!kit_is_ready (machine)
          || !kit_session_open (&s, kit_address (machine), database, key))
        continue;
      kit_query (&s, "0", "READ x", result, NULL, NULL, sizeof result, 2000);
      kit_session_close (&s);
    }
}
