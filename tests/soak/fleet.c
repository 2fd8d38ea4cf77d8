/*
 * The processes of a run: their settings files, start, faults and restart.
 */
#include "soak.h"

#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HOSTS (CORES + FRONTS)
/* A control host's data is deleted only when all control hosts have been
   running for this time, so that the others have caught up with the log. */
#define CATCH_UP_MS 8000
/* A draining instance reports its state for this time before it stops. */
#define DRAIN_MS 2500

struct process
{
  char name[16];
  /* 0 while the process is not running. */
  pid_t pid;
  /* Stopped by SIGSTOP until resume_at. */
  bool paused;
  bool wiped;
  int64_t resume_at;
  int64_t restart_at;
  /* Last start or resume. */
  int64_t running_since;
};

/* An instance of the group, driven by commands to the stand-in.  Times are 0
   when nothing is pending. */
struct instance
{
  bool down;
  bool draining;
  int64_t incarnation;
  int64_t stop_at;
  int64_t restart_at;
  int64_t replication_cut_until;
};

static struct process hosts[HOSTS];
static struct instance instances[INSTANCES];
static pid_t group_pid;
static int group_stdin;
static char folder[PATH_BYTES];
static unsigned subnet;
static bool first_start = true;

const char *
loopback_address (unsigned n)
{
  static _Thread_local char text[32];

  snprintf (text, sizeof text, "127.%u.0.%u", subnet, n);
  return text;
}

static int64_t
unix_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

/* Starts a program with stdout and stderr appended to @log.  @in becomes its
   stdin unless negative; @settings is the path of a host's settings file. */
static pid_t
spawn (const char *log, int in, char *const argv[], const char *settings)
{
  pid_t pid = fork ();
  int out;

  if (pid != 0)
    return pid;
  out = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2 (out, STDOUT_FILENO);
  dup2 (out, STDERR_FILENO);
  if (in >= 0)
    dup2 (in, STDIN_FILENO);
  if (settings)
    setenv ("COLTSFOOTSTAGE_BOOT", settings, 1);
  execv (argv[0], argv);
  _exit (127);
}

static void
write_settings (unsigned n, const char *path)
{
  bool core = n < CORES;
  unsigned i = core ? n : n - CORES;
  char seeds[LINE_BYTES] = "";
  FILE *f = fopen (path, "w");

  for (unsigned c = 0; c < CORES; c++)
    snprintf (seeds + strlen (seeds), sizeof seeds - strlen (seeds),
              "%s\"%s:%d\"", c ? "," : "", loopback_address (ADDRESS_CORE + c),
              PORT_HTTP);
  if (!f)
    exit (2);
  fprintf (f, "{\"host\": \"%s\", \"address\": \"%s\", ",
           core ? loopback_address (ADDRESS_CORE + i) : hosts[n].name,
           loopback_address (core ? ADDRESS_CORE + i : ADDRESS_FRONT + i));
  fprintf (f,
           "\"zone\": \"z%u\", \"zones\": {\"z0\": \"a\", \"z1\": \"b\", "
           "\"z2\": \"c\"}, \"seeds\": [%s], \"control_port\": %d, "
           "\"peer_port\": %u, \"revoke_ms\": %d, \"stop_seconds\": 3",
           i, seeds, PORT_CONTROL, PORT_PEER + n, REVOKE_MS);
  if (core)
    fprintf (f,
             ", \"first_start\": %s, \"control_address\": \"%s:%d\", "
             "\"data_folder\": \"%s/%s.data\"",
             first_start ? "true" : "false",
             loopback_address (ADDRESS_CORE + i), PORT_HTTP, folder,
             hosts[n].name);
  if (core)
    fprintf (f, ", \"promotion_address\": \"%s:%d\"}\n",
             loopback_address (ADDRESS_PROMOTION), PORT_PROMOTION);
  else
    {
      fprintf (f, ", \"session_address\": \"%s:%d\"",
               loopback_address (ADDRESS_FRONT + i), PORT_SESSION);
      fprintf (f, ", \"ready_address\": \"%s:%d\"}\n",
               loopback_address (ADDRESS_FRONT + i), PORT_READY);
    }
  fclose (f);
}

static void
start_host (unsigned n)
{
  const char *build = getenv ("BUILD");
  char binary[PATH_BYTES];
  char settings[PATH_BYTES + 32];
  char log[PATH_BYTES + 32];
  char serve[] = "serve";
  char *argv[] = { binary, serve, NULL };

  snprintf (binary, sizeof binary, "%s/coltsfootstage",
            build ? build : "build");
  snprintf (settings, sizeof settings, "%s/%s.json", folder, hosts[n].name);
  snprintf (log, sizeof log, "%s/%s.log", folder, hosts[n].name);
  write_settings (n, settings);
  hosts[n].pid = spawn (log, -1, argv, settings);
  hosts[n].restart_at = 0;
  hosts[n].running_since = now_ms ();
}

static void
start_group (void)
{
  const char *build = getenv ("BUILD");
  char binary[PATH_BYTES];
  char log[PATH_BYTES + 32];
  char ports[INSTANCES + 1][16];
  char address[32];
  char service[] = "db";
  char *argv[] = { binary,   service,  ports[0], ports[1],
                   ports[2], ports[3], address,  NULL };
  int pipes[2];

  snprintf (binary, sizeof binary, "%s/group", build ? build : "build");
  snprintf (log, sizeof log, "%s/group.log", folder);
  snprintf (address, sizeof address, "%s", loopback_address (ADDRESS_GROUP));
  for (int i = 0; i < INSTANCES; i++)
    snprintf (ports[i], sizeof ports[i], "%d", PORT_GROUP + i);
  snprintf (ports[INSTANCES], sizeof ports[0], "%d", PORT_PROMOTION);
  if (pipe2 (pipes, O_CLOEXEC) != 0)
    exit (2);
  group_pid = spawn (log, pipes[0], argv, NULL);
  close (pipes[0]);
  group_stdin = pipes[1];
}

static void
send_group_command (const char *word, unsigned instance)
{
  char line[32];
  int len = snprintf (line, sizeof line, "%s %u\n", word, instance + 1);

  if (write (group_stdin, line, (size_t)len) != len)
    report_violation ("cannot write a command to the group stand-in");
}

void
fleet_start (const char *run_folder, unsigned run_subnet)
{
  snprintf (folder, sizeof folder, "%s", run_folder);
  subnet = run_subnet;
  start_group ();
  for (unsigned i = 0; i < INSTANCES; i++)
    instances[i].incarnation = unix_ms ();
  for (unsigned n = 0; n < HOSTS; n++)
    {
      snprintf (hosts[n].name, sizeof hosts[n].name, "%s%u",
                n < CORES ? "core" : "front", n < CORES ? n : n - CORES);
      start_host (n);
    }
  first_start = false;
}

/* Collects a host that exited by itself or after SIGTERM and schedules its
   restart.  It must have exited with status 0. */
static void
reap (struct process *p, int64_t now)
{
  int status;

  if (!p->pid || waitpid (p->pid, &status, WNOHANG) != p->pid)
    return;
  p->pid = 0;
  if (p->restart_at)
    return;
  if (!WIFEXITED (status) || WEXITSTATUS (status) != 0)
    report_violation ("%s exited unexpectedly, wait status %d", p->name,
                      status);
  p->restart_at = now + 500;
}

void
fleet_tick (void)
{
  int64_t now = now_ms ();

  for (unsigned n = 0; n < HOSTS; n++)
    {
      struct process *p = &hosts[n];

      reap (p, now);
      if (p->paused && now >= p->resume_at)
        {
          kill (p->pid, SIGCONT);
          p->paused = false;
          p->running_since = now;
        }
      if (!p->pid && now >= p->restart_at)
        start_host (n);
    }
  for (unsigned i = 0; i < INSTANCES; i++)
    {
      struct instance *in = &instances[i];

      if (in->replication_cut_until && now >= in->replication_cut_until)
        {
          in->replication_cut_until = 0;
          send_group_command ("hear", i);
        }
      if (in->stop_at && now >= in->stop_at)
        {
          in->stop_at = 0;
          in->down = true;
          send_group_command ("stop", i);
        }
      if (in->down && now >= in->restart_at)
        {
          in->down = in->draining = false;
          in->incarnation = unix_ms ();
          send_group_command ("start", i);
        }
    }
}

/* Kills a host with SIGKILL and schedules its restart. */
static void
kill_host (struct process *p, unsigned pause_ms)
{
  if (!p->pid)
    return;
  kill (p->pid, SIGKILL);
  waitpid (p->pid, NULL, 0);
  p->pid = 0;
  p->paused = false;
  p->restart_at = now_ms () + pause_ms;
}

/* Kills a control host and deletes its data folder, unless a control host is
   down, paused or has run without a pause for less than CATCH_UP_MS. */
static void
wipe_core (struct process *p)
{
  char command[PATH_BYTES + 64];

  for (unsigned n = 0; n < CORES; n++)
    if (!hosts[n].pid || hosts[n].paused
        || now_ms () - hosts[n].running_since < CATCH_UP_MS)
      return;
  kill_host (p, 300 + random_below (1500));
  snprintf (command, sizeof command, "rm -rf %s/%s.data", folder, p->name);
  if (system (command) != 0)
    exit (2);
  log_event ("%s killed, data folder deleted", p->name);
}

/* Appends an incomplete record to the log files of a killed host, as a write
   that the end of the process cut off would leave. */
static void
append_torn_record (const struct process *p)
{
  char command[PATH_BYTES + 128];

  snprintf (command, sizeof command,
            "for f in %s/%s.data/*log*; do [ -f \"$f\" ] && "
            "printf '\\001\\377x' >> \"$f\"; done; true",
            folder, p->name);
  if (system (command) == 0)
    log_event ("%s: incomplete record appended to its log files", p->name);
}

static void
pause_host (struct process *p, unsigned ms)
{
  if (!p->pid)
    return;
  kill (p->pid, SIGSTOP);
  p->paused = true;
  p->resume_at = now_ms () + ms;
}

/* Cuts the replication to one instance.  At most one at a time: meanwhile
   another instance may hold the only copy of a commit. */
static void
cut_replication (void)
{
  unsigned i = random_below (INSTANCES);
  unsigned ms = 500 + random_below (3500);

  for (unsigned k = 0; k < INSTANCES; k++)
    if (instances[k].replication_cut_until)
      return;
  instances[i].replication_cut_until = now_ms () + ms;
  send_group_command ("deaf", i);
  log_event ("instance t%u: replication cut for %u ms", i + 1, ms);
}

/* Stops an instance, half of the time after it drained.  At most one instance
   is down at a time. */
static void
stop_random_instance (void)
{
  unsigned i = random_below (INSTANCES);
  struct instance *in = &instances[i];
  bool drains = random_below (2);

  for (unsigned k = 0; k < INSTANCES; k++)
    if (instances[k].down || instances[k].stop_at)
      return;
  in->draining = drains;
  in->stop_at = now_ms () + (drains ? DRAIN_MS : 1);
  in->restart_at = in->stop_at + 500 + random_below (3000);
  log_event ("instance t%u %s", i + 1,
             drains ? "drains, then stops" : "stops");
}

void
fleet_inject_fault (void)
{
  struct process *p = &hosts[random_below (HOSTS)];
  unsigned ms = 200 + random_below (4000);

  switch (random_below (11))
    {
    case 0:
    case 1:
      kill_host (p, 200 + random_below (2000));
      log_event ("%s killed", p->name);
      break;
    case 2:
    case 3:
      pause_host (p, ms);
      log_event ("%s paused for %u ms", p->name, ms);
      break;
    case 4:
      if (p->pid && !p->paused)
        kill (p->pid, SIGTERM);
      log_event ("%s sent SIGTERM", p->name);
      break;
    case 5:
      wipe_core (&hosts[random_below (CORES)]);
      break;
    case 6:
      for (unsigned n = 0; n < CORES; n++)
        kill_host (&hosts[n], 100 + random_below (800));
      log_event ("all control hosts killed");
      break;
    case 7:
      p = &hosts[random_below (CORES)];
      kill_host (p, 200 + random_below (500));
      append_torn_record (p);
      break;
    case 8:
    case 9:
      cut_replication ();
      break;
    default:
      stop_random_instance ();
      break;
    }
}

void
fleet_heal (void)
{
  int64_t now = now_ms ();

  for (unsigned n = 0; n < HOSTS; n++)
    {
      hosts[n].resume_at = now;
      if (hosts[n].restart_at > now)
        hosts[n].restart_at = now;
    }
  for (unsigned i = 0; i < INSTANCES; i++)
    if (instances[i].replication_cut_until)
      instances[i].replication_cut_until = now;
  for (unsigned i = 0; i < INSTANCES; i++)
    if (instances[i].stop_at || instances[i].down)
      instances[i].restart_at = now + 200;
}

bool
fleet_is_draining (unsigned i)
{
  return instances[i].draining;
}

int64_t
fleet_incarnation (unsigned i)
{
  return instances[i].incarnation;
}

/* The stand-in prints its log to group.log and has 500 ms for it. */
bool
fleet_read_commits (void (*each) (const char *item, const char *data))
{
  char path[PATH_BYTES + 32];
  char line[LINE_BYTES];
  char item[64];
  char data[64];
  bool complete = false;
  FILE *f;

  if (write (group_stdin, "dump\n", 5) != 5)
    return false;
  usleep (500000);
  snprintf (path, sizeof path, "%s/group.log", folder);
  f = fopen (path, "r");
  while (f && fgets (line, sizeof line, f))
    {
      if (strncmp (line, "FAULT", 5) == 0)
        report_violation ("%s", line);
      if (sscanf (line, "commit %*s %63s %63s", item, data) == 2)
        each (item, data);
      complete = complete || strcmp (line, "end\n") == 0;
    }
  if (f)
    fclose (f);
  return complete;
}

void
fleet_stop (void)
{
  for (unsigned n = 0; n < HOSTS; n++)
    kill_host (&hosts[n], 0);
  kill (group_pid, SIGKILL);
  waitpid (group_pid, NULL, 0);
}
