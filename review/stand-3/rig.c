/*
 * Hosts, requesters, operator and the record.  See rig.h.
 */
#define _GNU_SOURCE
#include "rig_int.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define PORT_CONTROL 8462
#define PORT_READY 8460
#define PORT_PEER 7560
#define START_LIMIT_MS 25000
#define REQUESTS_MAX 200000
#define OP_PAUSE_MS 60

struct host
{
  pid_t pid;
  bool core;
  char address[32];
  bool started;
};

struct request
{
  int64_t sent;
  bool served;
};

struct requester
{
  unsigned number;
  const char *database;
  const char *key;
  bool writes;
};

pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
bool trouble = true;
unsigned operator_first;
static struct host hosts[HOSTS + 1];
static struct request requests[REQUESTS_MAX];
static unsigned request_count;
static char folder[256];
static unsigned subnet;
static FILE *record;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t started_at;
static unsigned version;

static int64_t
clock_ms (clockid_t clock)
{
  struct timespec t;

  clock_gettime (clock, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t
now_ms (void)
{
  return clock_ms (CLOCK_MONOTONIC) - started_at;
}

int64_t
unix_ms (void)
{
  return clock_ms (CLOCK_REALTIME);
}

void
sleep_ms (int64_t ms)
{
  struct timespec t = { ms / 1000, ms % 1000 * 1000000 };

  while (ms > 0 && nanosleep (&t, &t) != 0 && errno == EINTR)
    continue;
}

void
sleep_until (int64_t ms)
{
  sleep_ms (ms - now_ms ());
}

void
note (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&record_lock);
  fprintf (record, "%8.3f ", (double)now_ms () / 1000);
  va_start (args, format);
  vfprintf (record, format, args);
  va_end (args);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&record_lock);
}

static void
end_all (void)
{
  for (unsigned i = 0; i <= HOSTS; i++)
    if (hosts[i].pid > 0)
      {
        kill (hosts[i].pid, SIGCONT);
        kill (hosts[i].pid, SIGKILL);
        waitpid (hosts[i].pid, NULL, 0);
      }
}

static int
remove_entry (const char *path, const struct stat *st, int type,
              struct FTW *at)
{
  (void)st;
  (void)type;
  (void)at;
  return remove (path);
}

/* Logs and data of the hosts are kept with KEEP=1. */
static void
remove_folder (void)
{
  if (*folder && !getenv ("KEEP"))
    nftw (folder, remove_entry, 16, FTW_DEPTH | FTW_PHYS);
}

void
fail (const char *why)
{
  if (record)
    note ("the case could not run: %s", why);
  fprintf (stderr, "the case could not run: %s\n", why);
  end_all ();
  remove_folder ();
  _exit (2);
}

void
finish (bool broken)
{
  note (broken ? "the rule was broken" : "the rule held");
  fflush (stdout);
  end_all ();
  remove_folder ();
  _exit (broken ? 1 : 0);
}

const char *
address_of (unsigned last)
{
  static _Thread_local char text[4][32];
  static _Thread_local unsigned next;
  char *out = text[next++ % 4];

  snprintf (out, 32, "127.%u.0.%u", subnet, last);
  return out;
}

int
listen_at (const char *address, unsigned port)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  sa.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, address, &sa.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&sa, sizeof sa) != 0
      || listen (fd, 128) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

int
connect_to (const char *address, unsigned port, int timeout_ms)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  struct timeval limit = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  sa.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, address, &sa.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) == 0)
    return fd;
  close (fd);
  return -1;
}

/* One HTTP call; @location gets the address of a redirect.  Return: the
   status, 0 without a response. */
static int
http_once (const char *address, const char *method, const char *path,
           const char *body, size_t body_len, char *location, char *out,
           size_t out_size)
{
  char text[8192];
  size_t len = 0;
  ssize_t got;
  int status = 0;
  int fd = connect_to (address, PORT_CONTROL, 1000);
  char *at;

  if (fd < 0)
    return 0;
  len = (size_t)snprintf (text, sizeof text,
                          "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: "
                          "application/json\r\nContent-Length: %zu\r\n"
                          "Connection: close\r\n\r\n",
                          method, path, address, body_len);
  if (send (fd, text, len, MSG_NOSIGNAL) != (ssize_t)len
      || send (fd, body, body_len, MSG_NOSIGNAL) != (ssize_t)body_len)
    {
      close (fd);
      return 0;
    }
  len = 0;
  while (len < sizeof text - 1
         && (got = recv (fd, text + len, sizeof text - 1 - len, 0)) > 0)
    len += (size_t)got;
  text[len] = '\0';
  close (fd);
  if (sscanf (text, "HTTP/1.1 %d", &status) != 1)
    return 0;
  at = strstr (text, "\r\n\r\n");
  if (out && at)
    snprintf (out, out_size, "%s", at + 4);
  at = strcasestr (text, "Location: http://");
  if (location && at)
    sscanf (at + 17, "%31[0-9.]", location);
  return status;
}

/* The control address that the platform's list names for a number. */
static unsigned
control_host (unsigned number)
{
  unsigned n = number % (CORES + 1);

  return n == CORES ? SPARE : n;
}

static int
call (unsigned first, const char *method, const char *path, const char *body,
      size_t body_len, char *out, size_t out_size)
{
  char address[32];
  char next[32];
  int status;

  snprintf (address, sizeof address, "%s",
            hosts[control_host (first)].address);
  for (int hop = 0; hop < 3; hop++)
    {
      *next = '\0';
      status = http_once (address, method, path, body, body_len, next, out,
                          out_size);
      if (status != 307 || !*next)
        return status;
      snprintf (address, sizeof address, "%s", next);
    }
  return 307;
}

int
control_call (unsigned first, const char *method, const char *path,
              const char *body)
{
  return call (first, method, path, body, strlen (body), NULL, 0);
}

int
operator_send_bytes (const char *body, size_t len)
{
  int status = 0;

  for (unsigned node = 0; node < CORES && (status < 200 || status > 499);
       node++)
    status = call (node, "POST", "/v1/Config.Replace", body, len, NULL, 0);
  note ("operator: %zu bytes sent, status %d", len, status);
  return status;
}

int
host_read (unsigned n, char *out, size_t size)
{
  *out = '\0';
  return http_once (hosts[n].address, "GET", "/v1/Config.Describe", "", 0,
                    NULL, out, size);
}

int
operator_read (char *out, size_t size)
{
  int status = 0;

  *out = '\0';
  for (unsigned node = 0; node <= CORES && status != 200; node++)
    status = call (node, "GET", "/v1/Config.Describe", "", 0, out, size);
  note ("operator: read back, status %d: %.60s", status, out);
  return status;
}

void
operator_configuration (char *out, size_t size, unsigned number)
{
  static const char *const types[]
      = { "primary", "bounded_staleness", "read_your_writes" };
  size_t len = (size_t)snprintf (out, size, "{\"version\":%u,\"routes\":[",
                                 number);

  for (int i = 0; i < 3; i++)
    len += (size_t)snprintf (
        out + len, size - len,
        "%s{\"name\":\"r-%d\",\"database\":\"db%d\",\"path_prefix\":\"/\","
        "\"type\":\"%s\",\"timeout_ms\":%d,\"target_latency_ms\":600,"
        "\"priority\":1,\"service\":\"" SERVICE "\",\"max_attempts\":2,%s"
        "\"public\":false}",
        i ? "," : "", i, i, types[i], 1200 + (int)(number % 2),
        i == 1   ? "\"max_staleness_ms\":1500,"
        : i == 2 ? "\"max_staleness_ms\":2500,"
                 : "");
  snprintf (out + len, size - len,
            "],\"services\":[{\"name\":\"" SERVICE
            "\",\"health_path\":\"/health\",\"max_connections\":36,"
            "\"protocol\":\"h1\",\"tls_enabled\":false,\"sync_replicas\":1}],"
            "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
            "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
            "\"tx_idle_ms\":3000},\"tenants\":[{\"name\":\"hall\","
            "\"api_keys\":[\"hallkey1\"],\"priority\":1,\"rate_per_s\":500,"
            "\"burst\":500},{\"name\":\"kitchen\",\"api_keys\":"
            "[\"kitchenkey1\"],\"priority\":1,\"rate_per_s\":500,\"burst\":"
            "500}]}");
}

int64_t
operator_send (int64_t within_ms)
{
  char body[4096];
  int64_t until = now_ms () + within_ms;
  unsigned node = operator_first;

  operator_configuration (body, sizeof body, ++version);
  while (now_ms () < until)
    {
      int status
          = control_call (node++, "POST", "/v1/Config.Replace", body);

      if (status == 200)
        {
          note ("operator: version %u acknowledged", version);
          return now_ms ();
        }
      sleep_ms (100);
    }
  note ("operator: version %u not acknowledged", version);
  return -1;
}

static void
write_settings (unsigned n, const char *path)
{
  const struct host *h = &hosts[n];
  unsigned zone = n % 3;
  FILE *f = fopen (path, "w");

  if (!f)
    fail ("cannot write the settings");
  fprintf (f,
           "{\"host\": \"%s\", \"address\": \"%s\", \"zone\": \"z%u\", "
           "\"zones\": {\"z0\":\"a\",\"z1\":\"b\",\"z2\":\"c\"}, \"seeds\": "
           "[\"%s:%d\",\"%s:%d\",\"%s:%d\"], \"control_port\": %d, "
           "\"revoke_ms\": 5000, \"memory_mb\": %d, \"max_fds\": 4200, "
           "\"stop_seconds\": 6",
           h->address, h->address, zone, hosts[0].address, PORT_CONTROL,
           hosts[1].address, PORT_CONTROL, hosts[2].address, PORT_CONTROL,
           PORT_PEER, MEMORY_MB);
  if (h->core)
    fprintf (f,
             ", \"first_start\": %s, \"lost_disks\": 1, \"control_address\": "
             "\"%s:%d\", \"data_folder\": \"%s/data%u\", "
             "\"promotion_address\": \"%s:%d\"}\n",
             h->started ? "false" : "true", h->address, PORT_CONTROL, folder,
             n, address_of (ADDRESS_PLATFORM), PORT_PLATFORM);
  else
    fprintf (f,
             ", \"session_address\": \"%s:%d\", \"ready_address\": "
             "\"%s:%d\", \"drain_ms\": 7000}\n",
             h->address, PORT_FRONT, h->address, PORT_READY);
  fclose (f);
}

void
host_start (unsigned n)
{
  char settings[320];
  char log[320];
  struct host *h = &hosts[n];

  snprintf (settings, sizeof settings, "%s/host%u.json", folder, n);
  snprintf (log, sizeof log, "%s/host%u.log", folder, n);
  write_settings (n, settings);
  h->started = true;
  h->pid = fork ();
  if (h->pid == 0)
    {
      int out = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);

      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (out, STDOUT_FILENO);
      dup2 (out, STDERR_FILENO);
      setenv ("COLTSFOOTSTAGE_BOOT", settings, 1);
      execl ("target/coltsfootstage", "target/coltsfootstage", "serve",
             (char *)NULL);
      _exit (127);
    }
  if (h->pid < 0)
    fail ("cannot start a host");
}

void
host_kill (unsigned n)
{
  struct host *h = &hosts[n];

  if (h->pid <= 0)
    return;
  kill (h->pid, SIGKILL);
  waitpid (h->pid, NULL, 0);
  h->pid = 0;
}

void
host_lose_disk (unsigned n)
{
  char path[320];

  snprintf (path, sizeof path, "%s/data%u", folder, n);
  host_kill (n);
  nftw (path, remove_entry, 16, FTW_DEPTH | FTW_PHYS);
  note ("host %u is down and has lost its disk", n);
}

void
host_signal (unsigned n, int sig)
{
  if (hosts[n].pid > 0)
    kill (hosts[n].pid, sig);
}

unsigned
host_memory_mb (unsigned n)
{
  char path[64];
  unsigned long pages = 0;
  unsigned long resident = 0;
  FILE *f;

  snprintf (path, sizeof path, "/proc/%d/statm", (int)hosts[n].pid);
  f = fopen (path, "r");
  if (f && fscanf (f, "%lu %lu", &pages, &resident) != 2)
    resident = 0;
  if (f)
    fclose (f);
  return (unsigned)(resident * (unsigned long)sysconf (_SC_PAGESIZE) >> 20);
}

bool
host_has_ended (unsigned n)
{
  struct host *h = &hosts[n];

  if (h->pid <= 0 || waitpid (h->pid, NULL, WNOHANG) != h->pid)
    return false;
  h->pid = 0;
  return true;
}

const char *
host_address (unsigned n)
{
  return hosts[n].address;
}

static void
count_request (int64_t sent, bool served)
{
  pthread_mutex_lock (&lock);
  if (request_count < REQUESTS_MAX)
    requests[request_count++] = (struct request){ sent, served };
  pthread_mutex_unlock (&lock);
}

struct tally
rig_tally (int64_t from, int64_t to)
{
  struct tally t = { 0, 0 };

  pthread_mutex_lock (&lock);
  for (unsigned i = 0; i < request_count; i++)
    if (requests[i].sent >= from && requests[i].sent < to)
      {
        t.sent++;
        t.served += requests[i].served;
      }
  pthread_mutex_unlock (&lock);
  return t;
}

/* Reads the lines of one reply.  Return: whether it is a success with a MAC;
   *lost when the connection ended. */
static bool
read_reply (FILE *in, char *result, size_t size, bool *lost)
{
  char line[TEXT];
  bool ok = false;

  *result = '\0';
  while (fgets (line, sizeof line, in))
    {
      line[strcspn (line, "\r\n")] = '\0';
      if (strncmp (line, "READY ", 6) == 0)
        return ok;
      if (strncmp (line, "ROW ", 4) == 0)
        continue;
      snprintf (result, size, "%s", line);
      ok = strncmp (line, "COMPLETE ", 9) == 0
           && strcmp (line + 9, "-") != 0;
    }
  if (!*result)
    snprintf (result, size, "no answer");
  *lost = true;
  return false;
}

static int
open_session (const struct requester *r, unsigned front, FILE **in)
{
  char line[TEXT];
  char result[TEXT];
  bool lost = false;
  int fd = connect_to (hosts[CORES + front].address, PORT_FRONT, 6000);
  int len = snprintf (line, sizeof line, "STARTUP %s %s\r\n", r->database,
                      r->key);

  if (fd < 0)
    return -1;
  *in = fdopen (fd, "r");
  if (send (fd, line, (size_t)len, MSG_NOSIGNAL) == len)
    read_reply (*in, result, sizeof result, &lost);
  else
    lost = true;
  if (!lost && !*result)
    return fd;
  fclose (*in);
  return -1;
}

/* A session runs one statement after the other, with a pause, and reconnects
   to the next host after its connection ended. */
static void *
run_requester (void *arg)
{
  struct requester *r = arg;
  unsigned front = r->number % FRONTS;
  unsigned count = 0;

  for (;;)
    {
      FILE *in;
      int64_t sent = now_ms ();
      int fd = open_session (r, front, &in);
      bool lost = fd < 0;

      if (lost)
        count_request (sent, false);
      while (!lost)
        {
          char id[NAME];
          char line[TEXT];
          char result[TEXT];
          bool write_now = r->writes && count % 3 == 0;
          bool ok = false;
          int len;

          snprintf (id, sizeof id, "%u-%u", r->number, ++count);
          len = write_now ? snprintf (line, sizeof line,
                                      "QUERY %s WRITE i%u d%s\r\n", id,
                                      count % 50, id)
                          : snprintf (line, sizeof line,
                                      "QUERY %s READ i%u\r\n", id, count % 50);
          sent = now_ms ();
          *result = '\0';
          if (send (fd, line, (size_t)len, MSG_NOSIGNAL) == len)
            ok = read_reply (in, result, sizeof result, &lost);
          else
            lost = true;
          count_request (sent, ok);
          note ("requester %u host %u sent at %.3f %.*s: %s", r->number, front,
                (double)sent / 1000, len - 2, line, result);
          if (ok && write_now)
            note_acknowledged (id);
          sleep_ms (OP_PAUSE_MS);
        }
      if (fd >= 0)
        fclose (in);
      front = (front + 1) % FRONTS;
      sleep_ms (150);
    }
  return NULL;
}

void
start_thread (void *(*run) (void *), void *arg)
{
  pthread_t thread;

  if (pthread_create (&thread, NULL, run, arg) != 0)
    fail ("cannot start a thread");
  pthread_detach (thread);
}

static void
start_requesters (unsigned count)
{
  static struct requester all[64];
  static const char *const databases[] = { "db0", "db1", "db2" };

  for (unsigned i = 0; i < count && i < 64; i++)
    {
      all[i] = (struct requester){ i, databases[i % 3],
                                   i % 2 ? "hallkey1" : "kitchenkey1",
                                   i % 3 != 1 };
      start_thread (run_requester, &all[i]);
    }
}

/* Uses a network of its own, so that fixed ports are free. */
static void
choose_subnet (void)
{
  unsigned first = (unsigned)getpid () % 200;

  for (unsigned i = 0; i < 200; i++)
    {
      subnet = 20 + (first + i) % 200;
      if (listen_at (address_of (ADDRESS_CLAIM), PORT_PLATFORM) >= 0)
        return;
    }
  fail ("no free ports");
}

void
rig_start (const char *record_path, unsigned requesters)
{
  const char *tmp = getenv ("TMPDIR");
  const char *setting = getenv ("TROUBLE");

  started_at = clock_ms (CLOCK_MONOTONIC);
  signal (SIGPIPE, SIG_IGN);
  trouble = !setting || strcmp (setting, "0") != 0;
  record = fopen (record_path, "w");
  if (!record)
    fail ("cannot write the record");
  snprintf (folder, sizeof folder, "%s/coltsfootstage-case.XXXXXX",
            tmp ? tmp : "/tmp");
  if (!mkdtemp (folder) || access ("target/coltsfootstage", X_OK) != 0)
    fail ("no folder, or target/coltsfootstage is not built");
  choose_subnet ();
  note ("trouble=%d", trouble);
  for (unsigned i = 0; i < HOSTS; i++)
    {
      hosts[i].core = i < CORES;
      snprintf (hosts[i].address, sizeof hosts[i].address, "%s",
                address_of (hosts[i].core ? ADDRESS_CORE + i
                                          : ADDRESS_FRONT + i - CORES));
    }
  hosts[SPARE].core = true;
  hosts[SPARE].started = true;
  snprintf (hosts[SPARE].address, sizeof hosts[SPARE].address, "%s",
            address_of (ADDRESS_CORE + CORES));
  instances_begin ();
  for (unsigned i = 0; i < HOSTS; i++)
    host_start (i);
  if (operator_send (START_LIMIT_MS) < 0)
    fail ("the first configuration is not acknowledged");
  start_requesters (requesters);
  while (rig_tally (now_ms () - 1000, now_ms ()).served < requesters)
    {
      if (now_ms () > START_LIMIT_MS)
        fail ("no requests are served");
      sleep_ms (100);
    }
  note ("requests are served");
}

const char *
rig_folder (void)
{
  return folder;
}
