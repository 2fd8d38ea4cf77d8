#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PORTS 12

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char work[256];
static char program[256];
static int subnet;
static int port_base;
static struct timespec started;
static bool first_start = true;
static int group_stdin = -1;
static pid_t group_pid;
static volatile int64_t instance_born[4];
static volatile uint64_t sequence[4];

pid_t core_pid[CORES];
pid_t front_pid[FRONTS_MAX];
int front_count;
volatile bool report_enabled[4] = { false, true, true, true };
volatile int64_t reported_at[4];

int64_t
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_MONOTONIC, &t);
  return (t.tv_sec - started.tv_sec) * 1000
         + (t.tv_nsec - started.tv_nsec) / 1000000;
}

void
sleep_ms (int64_t ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

  while (ms > 0 && nanosleep (&t, &t) != 0 && errno == EINTR)
    ;
}

void
record (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%8.3f  ", (double)now_ms () / 1000);
  va_start (args, format);
  vfprintf (record_file, format, args);
  va_end (args);
  fputc ('\n', record_file);
  fflush (record_file);
  pthread_mutex_unlock (&record_lock);
}

bool
trouble (void)
{
  const char *value = getenv ("TROUBLE");

  return !value || strcmp (value, "0") != 0;
}

int
end_process (pid_t *pid, int sig)
{
  int status = 0;

  if (*pid <= 0)
    return 0;
  kill (*pid, sig);
  if (sig == SIGKILL)
    kill (*pid, SIGCONT);
  waitpid (*pid, &status, 0);
  *pid = 0;
  return status;
}

static void
end_all (void)
{
  for (int i = 0; i < CORES; i++)
    end_process (&core_pid[i], SIGKILL);
  for (int i = 0; i < front_count; i++)
    end_process (&front_pid[i], SIGKILL);
  end_process (&group_pid, SIGKILL);
}

static void record_runs (void);

void
finish (int status, const char *format, ...)
{
  static const char *const names[] = { "HELD", "BROKEN", "COULD NOT RUN" };
  char text[1024];
  va_list args;

  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  pthread_mutex_lock (&record_lock);
  record_runs ();
  pthread_mutex_unlock (&record_lock);
  record ("%s: %s", names[status], text);
  printf ("%s: %s\n", names[status], text);
  end_all ();
  exit (status);
}

static const char *
ip_of (int last)
{
  static _Thread_local char text[8][32];
  static _Thread_local unsigned next;
  char *out = text[next++ % 8];

  snprintf (out, 32, "127.%d.%d.%d", 64 + subnet / 250 % 60, 1 + subnet % 250,
            last);
  return out;
}

const char *
core_ip (int n)
{
  return ip_of (11 + n);
}

/* The first fronts share the machines of the cores. */
const char *
front_ip (int n)
{
  return ip_of (11 + n);
}

int
control_port (void)
{
  return port_base + 2;
}

int
session_port (void)
{
  return port_base + 5;
}

int
ready_port (void)
{
  return port_base;
}

const char *
group_address (int n)
{
  static _Thread_local char text[48];

  snprintf (text, sizeof text, "%s:%d", ip_of (101), port_base + 6 + n);
  return text;
}

static bool
port_is_free (const char *ip, int port)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  bool ok;

  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sa.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, ip, &sa.sin_addr);
  ok = bind (fd, (struct sockaddr *)&sa, sizeof sa) == 0;
  close (fd);
  return ok;
}

/* Picks a port range that is free on all addresses of the run. */
static void
pick_ports (void)
{
  for (int attempt = 0; attempt < 50; attempt++)
    {
      bool ok = true;

      subnet = (int)((getpid () + attempt * 37) % 12000);
      port_base = 18000 + (getpid () * 7 + attempt * 131) % 8000;
      for (int i = 0; i < FRONTS_MAX && ok; i++)
        for (int p = 0; p < PORTS && ok; p++)
          ok = port_is_free (ip_of (11 + i), port_base + p)
               && port_is_free (ip_of (101), port_base + p);
      if (ok)
        return;
    }
  fprintf (stderr, "no free ports\n");
  exit (2);
}

static pid_t
spawn (const char *log, int in, char *const argv[], const char *settings)
{
  pid_t pid = fork ();

  if (pid == 0)
    {
      int out = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);

      dup2 (out, STDOUT_FILENO);
      dup2 (out, STDERR_FILENO);
      if (in >= 0)
        dup2 (in, STDIN_FILENO);
      if (settings)
        setenv ("COLTSFOOTSTAGE_BOOT", settings, 1);
      execv (argv[0], argv);
      _exit (127);
    }
  return pid;
}

/* Settings as rendered from deploy/core.json and deploy/front.json. */
static void
write_settings (const char *path, int n, bool core)
{
  FILE *f = fopen (path, "w");

  if (!f)
    exit (2);
  fprintf (f,
           "{\"host\": \"%s\", \"address\": \"%s\", \"zone\": \"z%d\",\n"
           " \"zones\": {\"z0\": \"a\", \"z1\": \"b\", \"z2\": \"c\"},\n"
           " \"seeds\": [",
           ip_of (11 + n), ip_of (11 + n), n % 3);
  for (int i = 0; i < CORES; i++)
    fprintf (f, "%s\"%s:%d\"", i ? "," : "", ip_of (11 + i), control_port ());
  fprintf (f, "],\n");
  if (core)
    fprintf (f,
             " \"first_start\": %s,\n \"control_port\": %d,\n"
             " \"control_address\": \"%s:%d\",\n"
             " \"data_folder\": \"%s/core%d.data\",\n"
             " \"promotion_address\": \"%s:%d\",\n",
             first_start ? "true" : "false", port_base + 3, ip_of (11 + n),
             control_port (), work, n, ip_of (101), port_base + 6);
  else
    fprintf (f,
             " \"control_port\": %d,\n \"session_address\": \"%s:%d\",\n"
             " \"ready_address\": \"%s:%d\",\n",
             port_base + 3, ip_of (11 + n), session_port (), ip_of (11 + n),
             ready_port ());
  fprintf (f, " \"revoke_ms\": %d,\n \"stop_seconds\": %d}\n", REVOKE_MS,
           GRACE_PERIOD_S);
  fclose (f);
}

static pid_t
start_host (const char *name, int n, bool core)
{
  char settings[320];
  char log[320];
  char serve[] = "serve";
  char *argv[] = { program, serve, NULL };

  snprintf (settings, sizeof settings, "%s/%s%d.json", work, name, n);
  snprintf (log, sizeof log, "%s/%s%d.out", work, name, n);
  write_settings (settings, n, core);
  return spawn (log, -1, argv, settings);
}

void
start_core (int n)
{
  core_pid[n] = start_host ("core", n, true);
}

void
start_front (int n)
{
  front_pid[n] = start_host ("front", n, false);
}

static void
start_group (void)
{
  char ports[4][16];
  char ip[32];
  char log[320];
  char service[] = GROUP_SERVICE;
  char binary[] = "review/bin/group";
  char *argv[] = { binary,   service,  ports[0], ports[1],
                   ports[2], ports[3], ip,       NULL };
  int pipe_fd[2];

  snprintf (ip, sizeof ip, "%s", ip_of (101));
  for (int i = 0; i < 3; i++)
    snprintf (ports[i], sizeof ports[i], "%d", port_base + 7 + i);
  snprintf (ports[3], sizeof ports[3], "%d", port_base + 6);
  snprintf (log, sizeof log, "%s/group.out", work);
  if (pipe2 (pipe_fd, O_CLOEXEC) != 0)
    exit (2);
  group_pid = spawn (log, pipe_fd[0], argv, NULL);
  close (pipe_fd[0]);
  group_stdin = pipe_fd[1];
  for (int i = 1; i <= 3; i++)
    instance_born[i] = (int64_t)time (NULL) * 1000 - 60000 + i;
}

void
group_command (const char *command)
{
  char line[64];
  int len = snprintf (line, sizeof line, "%s\n", command);

  record ("group: %s", command);
  if (write (group_stdin, line, (size_t)len) != len)
    finish (2, "the group does not take commands");
}

void
instance_start (int n)
{
  char command[16];

  snprintf (command, sizeof command, "start %d", n);
  instance_born[n] = (int64_t)time (NULL) * 1000;
  sequence[n] = 0;
  group_command (command);
}

/* Copies what the instances ran to the record. */
static void
record_runs (void)
{
  char path[320];
  char line[512];
  long long at;
  int skip;
  int64_t start = (int64_t)started.tv_sec * 1000 + started.tv_nsec / 1000000;
  FILE *f;

  snprintf (path, sizeof path, "%s/group.out", work);
  f = fopen (path, "r");
  while (f && fgets (line, sizeof line, f))
    if (sscanf (line, "run %lld %n", &at, &skip) == 1)
      fprintf (record_file, "%8.3f  ran at %s",
               (double)(at - start) / 1000, line + skip);
  if (f)
    fclose (f);
  fflush (record_file);
}

void
group_log (void (*each) (const char *item, const char *data))
{
  char path[320];
  char line[512];
  char item[128];
  char data[128];
  bool ended = false;

  group_command ("dump");
  for (int i = 0; i < 100 && !ended; i++)
    {
      FILE *f;

      sleep_ms (50);
      snprintf (path, sizeof path, "%s/group.out", work);
      f = fopen (path, "r");
      while (f && fgets (line, sizeof line, f))
        ended = ended || strcmp (line, "end\n") == 0;
      if (f)
        fclose (f);
    }
  if (!ended)
    finish (2, "the group does not write its log");
  snprintf (path, sizeof path, "%s/group.out", work);
  FILE *f = fopen (path, "r");
  while (f && fgets (line, sizeof line, f))
    if (sscanf (line, "commit %*u %127s %127s", item, data) == 2)
      each (item, data);
  if (f)
    fclose (f);
}

static void
on_alarm (int sig)
{
  static const char text[] = "COULD NOT RUN: time is up\n";

  (void)sig;
  if (write (STDOUT_FILENO, text, sizeof text - 1) < 0)
    _exit (2);
  for (int i = 0; i < CORES; i++)
    if (core_pid[i] > 0)
      kill (core_pid[i], SIGKILL);
  for (int i = 0; i < front_count; i++)
    if (front_pid[i] > 0)
      kill (front_pid[i], SIGKILL);
  if (group_pid > 0)
    kill (group_pid, SIGKILL);
  _exit (2);
}

void
rig_start (const char *folder, int fronts, bool group)
{
  char path[320];
  const char *tmp = getenv ("TMPDIR");

  clock_gettime (CLOCK_MONOTONIC, &started);
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, on_alarm);
  alarm (118);
  snprintf (path, sizeof path, "%s/record.txt", folder);
  record_file = fopen (path, "w");
  if (!record_file || !getcwd (program, sizeof program - 32))
    exit (2);
  strcat (program, "/target/coltsfootstage");
  snprintf (work, sizeof work, "%s/review.XXXXXX", tmp ? tmp : "/tmp");
  if (access (program, X_OK) != 0 || !mkdtemp (work))
    {
      fprintf (stderr, "COULD NOT RUN: build target/coltsfootstage first\n");
      exit (2);
    }
  pick_ports ();
  front_count = fronts;
  if (group)
    start_group ();
  for (int i = 0; i < CORES; i++)
    start_core (i);
  for (int i = 0; i < fronts; i++)
    start_front (i);
  first_start = false;
  record ("started %d cores and %d fronts, TROUBLE=%d", CORES, fronts,
          trouble ());
}

static int
connect_to (const char *ip, int port, int timeout_ms)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  struct timeval timeout
      = { timeout_ms / 1000, (suseconds_t)(timeout_ms % 1000) * 1000 };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  sa.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, ip, &sa.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) == 0)
    return fd;
  close (fd);
  return -1;
}

static int
http_once (const char *ip, int port, const char *method, const char *path,
           const char *body, char *answer, size_t size, int timeout_ms)
{
  char head[512];
  size_t len = 0;
  ssize_t got;
  int status = 0;
  int fd = connect_to (ip, port, timeout_ms);

  answer[0] = '\0';
  if (fd < 0)
    return 0;
  snprintf (head, sizeof head,
            "%s %s HTTP/1.1\r\nHost: %s:%d\r\nConnection: close\r\n"
            "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
            method, path, ip, port, body ? strlen (body) : 0);
  if (send (fd, head, strlen (head), MSG_NOSIGNAL) > 0
      && (!body || send (fd, body, strlen (body), MSG_NOSIGNAL) > 0))
    while (len + 1 < size
           && (got = recv (fd, answer + len, size - 1 - len, 0)) > 0)
      {
        len += (size_t)got;
        answer[len] = '\0';
      }
  close (fd);
  if (strstr (answer, "\r\n\r\n"))
    sscanf (answer, "HTTP/1.1 %d", &status);
  return status;
}

int
http (const char *ip, int port, const char *method, const char *path,
      const char *body, char *answer, size_t size, int timeout_ms)
{
  char host[64];
  int to_port = port;
  int status;

  snprintf (host, sizeof host, "%s", ip);
  for (int hop = 0;; hop++)
    {
      const char *location;

      status = http_once (host, to_port, method, path, body, answer, size,
                          timeout_ms);
      location = strstr (answer, "Location: http://");
      if (status != 307 || !location || hop == 2)
        return status;
      if (sscanf (location + 17, "%63[^:]:%d", host, &to_port) != 2)
        return status;
    }
}

int
control_call (const char *method, const char *path, const char *body,
              char *answer, size_t size, int64_t deadline_ms)
{
  static atomic_uint next;

  for (;;)
    {
      int status = http (core_ip ((int)(atomic_fetch_add (&next, 1) % CORES)),
                         control_port (), method, path, body, answer, size,
                         1000);

      if ((status >= 200 && status < 300)
          || (status >= 400 && status < 500 && status != 408 && status != 429))
        return status;
      if (now_ms () >= deadline_ms)
        return status;
      sleep_ms (100);
    }
}

void
put_config (int version, const char *routes, const char *tenants)
{
  static char body[TEXT_MAX];
  char answer[4096];
  int status;

  snprintf (
      body, sizeof body,
      "{\"version\":%d,\"routes\":[%s],\"services\":[{\"name\":\"%s\","
      "\"health_path\":\"/health\",\"max_connections\":36,"
      "\"protocol\":\"h1\",\"tls_enabled\":false,\"sync_replicas\":1}],"
      "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
      "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
      "\"tx_idle_ms\":3000},\"tenants\":[%s]}",
      version, routes, GROUP_SERVICE, tenants);
  record ("operator: Config.Replace version %d sent, tenants %s", version,
          tenants);
  status = control_call ("POST", "/v1/Config.Replace", body, answer,
                         sizeof answer, now_ms () + 15000);
  if (status != 200)
    finish (2, "configuration %d got status %d", version, status);
  record ("operator: version %d acknowledged", version);
}

/* Asks the instance for its role.  Return: 1 primary, 0 replica, -1 no
   answer. */
static int
role_of (int n)
{
  static const char text[]
      = "STARTUP " GROUP_SERVICE " control\r\nQUERY - STATUS\r\n";
  char in[1024];
  size_t len = 0;
  ssize_t got;
  int fd = connect_to (ip_of (101), port_base + 6 + n, 300);

  if (fd < 0)
    return -1;
  in[0] = '\0';
  if (send (fd, text, sizeof text - 1, MSG_NOSIGNAL) > 0)
    while (!strstr (in, "COMPLETE")
           && (got = recv (fd, in + len, sizeof in - 1 - len, 0)) > 0)
      {
        len += (size_t)got;
        in[len] = '\0';
      }
  close (fd);
  if (strstr (in, "ROW primary"))
    return 1;
  return strstr (in, "ROW replica") ? 0 : -1;
}

static void *
reports_main (void *unused)
{
  int64_t due[4] = { 0 };
  int last_role[4] = { -1, -1, -1, -1 };

  (void)unused;
  for (;;)
    {
      for (int n = 1; n <= 3; n++)
        {
          char path[64];
          char body[512];
          char answer[4096];
          int role = report_enabled[n] ? role_of (n) : -1;

          if (role < 0 || (now_ms () < due[n] && role == last_role[n]))
            continue;
          snprintf (path, sizeof path, "/v1/Instances.Heartbeat/t%d", n);
          snprintf (body, sizeof body,
                    "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z%d\","
                    "\"version\":\"v1\",\"slots\":5,\"state\":\"ready\","
                    "\"cold_remaining_ms\":0,\"db_role\":\"%s\","
                    "\"sequence\":%llu,\"born\":%lld}",
                    GROUP_SERVICE, group_address (n), n - 1,
                    role ? "primary" : "replica",
                    (unsigned long long)++sequence[n],
                    (long long)instance_born[n]);
          due[n] = now_ms () + HEARTBEAT_MS;
          if (control_call ("POST", path, body, answer, sizeof answer,
                            now_ms () + 2000)
              == 200)
            {
              last_role[n] = role;
              reported_at[n] = now_ms ();
            }
        }
      sleep_ms (50);
    }
  return NULL;
}

void
reports_start (void)
{
  pthread_t thread;

  pthread_create (&thread, NULL, reports_main, NULL);
}

void
wait_ready (int64_t timeout_ms)
{
  int64_t until = now_ms () + timeout_ms;
  char answer[2048];

  for (int i = 0; i < front_count; i++)
    while (http (front_ip (i), ready_port (), "GET", "/v1/readiness", NULL,
                 answer, sizeof answer, 500)
           != 200)
      {
        if (now_ms () > until)
          finish (2, "front %d is not ready", i);
        sleep_ms (100);
      }
  record ("all fronts are ready");
}

/* Reads the next line into @line.  Return: 1, 0 if the connection ended, -1 if
   nothing came in time. */
static int
read_line (struct session *s, char *line, size_t size, int64_t until)
{
  for (;;)
    {
      char *end = memchr (s->buffer, '\n', s->len);
      struct pollfd p = { s->fd, POLLIN, 0 };
      int64_t left = until - now_ms ();
      ssize_t got;

      if (end)
        {
          size_t n = (size_t)(end - s->buffer);
          size_t copy = n && end[-1] == '\r' ? n - 1 : n;

          if (copy >= size)
            copy = size - 1;
          memcpy (line, s->buffer, copy);
          line[copy] = '\0';
          s->len -= n + 1;
          memmove (s->buffer, end + 1, s->len);
          return 1;
        }
      if (left <= 0 || poll (&p, 1, (int)left) <= 0)
        return -1;
      got = recv (s->fd, s->buffer + s->len, sizeof s->buffer - s->len, 0);
      if (got <= 0)
        return 0;
      s->len += (size_t)got;
    }
}

bool
session_open (struct session *s, int front, const char *database,
              const char *key)
{
  char line[512];

  s->len = 0;
  s->fd = connect_to (front_ip (front), session_port (), 2000);
  if (s->fd < 0)
    return false;
  snprintf (line, sizeof line, "STARTUP %s %s\r\n", database, key);
  if (send (s->fd, line, strlen (line), MSG_NOSIGNAL) > 0
      && read_line (s, line, sizeof line, now_ms () + 2000) == 1
      && strncmp (line, "READY", 5) == 0)
    return true;
  session_close (s);
  return false;
}

void
session_close (struct session *s)
{
  if (s->fd >= 0)
    close (s->fd);
  s->fd = -1;
}

bool
query_send (struct session *s, const char *id, const char *text)
{
  char line[2048];
  int len = snprintf (line, sizeof line, "QUERY %s %s\r\n", id, text);

  return send (s->fd, line, (size_t)len, MSG_NOSIGNAL) == len;
}

bool
query_wait (struct session *s, struct answer *a, int timeout_ms)
{
  int64_t until = now_ms () + timeout_ms;
  char line[2048];

  memset (a, 0, sizeof *a);
  for (;;)
    {
      int got = read_line (s, line, sizeof line, until);

      if (got <= 0)
        {
          snprintf (a->code, sizeof a->code, "%s", got ? "NONE" : "CLOSED");
          return false;
        }
      if (strncmp (line, "ROW ", 4) == 0)
        {
          a->rows++;
          snprintf (a->row, sizeof a->row, "%.250s", line + 4);
        }
      else if (strncmp (line, "COMPLETE ", 9) == 0)
        {
          snprintf (a->code, sizeof a->code, "OK");
          snprintf (a->mac, sizeof a->mac, "%.60s", line + 9);
        }
      else if (strncmp (line, "ERROR ", 6) == 0)
        sscanf (line + 6, "%31s %255[^\n]", a->code, a->rest);
      else if (strncmp (line, "READY ", 6) == 0)
        {
          sscanf (line + 6, "%c %47s", &a->state, a->position);
          return strcmp (a->code, "OK") == 0;
        }
    }
}

bool
query (struct session *s, const char *id, const char *text, struct answer *a,
       int timeout_ms)
{
  memset (a, 0, sizeof *a);
  snprintf (a->code, sizeof a->code, "CLOSED");
  return query_send (s, id, text) && query_wait (s, a, timeout_ms);
}

void
new_id (char *out, size_t size)
{
  static atomic_ullong count;

  /* The stand-in group takes the part before the hyphen for the caller. */
  snprintf (out, size, "%08llx%08x", atomic_fetch_add (&count, 1) + 1,
            (unsigned)getpid ());
}
