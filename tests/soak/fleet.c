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
#include <unistd.h>

#define HOSTS (CORES + FRONTS)
/* A control host's data is deleted only when all control hosts have been
   running for this time, so that the others have caught up with the log. */
#define CATCH_UP_MS 8000

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

static struct process hosts[HOSTS];
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

const char *
fleet_folder (void)
{
  return folder;
}

pid_t
fleet_spawn (const char *log, int in, char *const argv[], const char *settings)
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
  hosts[n].pid = fleet_spawn (log, -1, argv, settings);
  hosts[n].restart_at = 0;
  hosts[n].running_since = now_ms ();
}

void
fleet_start (const char *run_folder, unsigned run_subnet)
{
  snprintf (folder, sizeof folder, "%s", run_folder);
  subnet = run_subnet;
  instances_start ();
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
  instances_tick (now);
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

void
fleet_inject_fault (void)
{
  struct process *p = &hosts[random_below (HOSTS)];
  unsigned ms = 200 + random_below (4000);

  switch (random_below (8))
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
    default:
      p = &hosts[random_below (CORES)];
      kill_host (p, 200 + random_below (500));
      append_torn_record (p);
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
  instances_heal ();
}

void
fleet_stop (void)
{
  for (unsigned n = 0; n < HOSTS; n++)
    kill_host (&hosts[n], 0);
  instances_stop ();
}
