/*
 * The group of database instances: start of the stand-in, faults by commands
 * to it, and its log.
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

/* A draining instance reports its state for this time before it stops. */
#define DRAIN_MS 2500
/* The last instance joins this long after the start, at the earliest. */
#define JOIN_MIN_MS 4000
#define JOIN_SPREAD_MS 8000
/* Longest time for which an instance runs before it reports itself. */
#define SILENT_MAX_MS 4000
#define DUMP_MS 500

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
  /* Sends no heartbeat before this. */
  int64_t silent_until;
};

static struct instance instances[INSTANCES];
static pid_t group_pid;
static int group_stdin;
static int64_t stutter_until;

static int64_t
unix_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

static void
send_command (const char *word, unsigned a, unsigned b)
{
  char line[48];
  int len = snprintf (line, sizeof line, "%s %u %u\n", word, a, b);

  if (write (group_stdin, line, (size_t)len) != len)
    report_violation ("cannot write a command to the group stand-in");
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
  char *argv[INSTANCES + 5] = { binary, service };
  int pipes[2];

  snprintf (binary, sizeof binary, "%s/group", build ? build : "build");
  snprintf (log, sizeof log, "%s/group.log", fleet_folder ());
  snprintf (address, sizeof address, "%s", loopback_address (ADDRESS_GROUP));
  for (int i = 0; i <= INSTANCES; i++)
    {
      snprintf (ports[i], sizeof ports[i], "%d",
                i < INSTANCES ? PORT_GROUP + i : PORT_PROMOTION);
      argv[2 + i] = ports[i];
    }
  argv[3 + INSTANCES] = address;
  if (pipe2 (pipes, O_CLOEXEC) != 0)
    exit (2);
  group_pid = fleet_spawn (log, pipes[0], argv, NULL);
  close (pipes[0]);
  group_stdin = pipes[1];
}

void
instances_start (void)
{
  struct instance *last = &instances[INSTANCES - 1];

  start_group ();
  for (unsigned i = 0; i < INSTANCES; i++)
    instances[i].incarnation = unix_ms ();
  send_command ("seed", 1 + random_below (1u << 30), 0);
  send_command ("stop", INSTANCES, 0);
  last->down = true;
  last->restart_at = now_ms () + JOIN_MIN_MS + random_below (JOIN_SPREAD_MS);
  last->silent_until = last->restart_at + random_below (SILENT_MAX_MS);
}

void
instances_stop (void)
{
  kill (group_pid, SIGKILL);
  waitpid (group_pid, NULL, 0);
}

void
instances_tick (int64_t now)
{
  if (stutter_until && now >= stutter_until)
    {
      stutter_until = 0;
      send_command ("stutter", 0, 0);
    }
  for (unsigned i = 0; i < INSTANCES; i++)
    {
      struct instance *in = &instances[i];

      if (in->replication_cut_until && now >= in->replication_cut_until)
        {
          in->replication_cut_until = 0;
          send_command ("hear", i + 1, 0);
        }
      if (in->stop_at && now >= in->stop_at)
        {
          in->stop_at = 0;
          in->down = true;
          send_command ("stop", i + 1, 0);
        }
      if (in->down && now >= in->restart_at)
        {
          in->down = in->draining = false;
          in->incarnation = unix_ms ();
          send_command ("start", i + 1, 0);
          log_event ("instance t%u starts, silent for %d ms", i + 1,
                     in->silent_until > now ? (int)(in->silent_until - now)
                                            : 0);
        }
    }
}

/* Cuts the replication to one instance.  At most one at a time: meanwhile
   another instance may hold the only copy of a commit. */
static void
cut_replication (unsigned i, unsigned ms)
{
  for (unsigned k = 0; k < INSTANCES; k++)
    if (instances[k].replication_cut_until)
      return;
  instances[i].replication_cut_until = now_ms () + ms;
  send_command ("deaf", i + 1, 0);
  log_event ("instance t%u: replication cut for %u ms", i + 1, ms);
}

/* Stops an instance after @wait_ms, or after it drained.  At most one instance
   is down at a time. */
static void
stop_instance (unsigned i, bool drains, unsigned wait_ms, unsigned down_ms,
               unsigned silent_ms)
{
  struct instance *in = &instances[i];

  for (unsigned k = 0; k < INSTANCES; k++)
    if (instances[k].down || instances[k].stop_at)
      return;
  in->draining = drains;
  in->stop_at = now_ms () + (drains ? DRAIN_MS : wait_ms);
  in->restart_at = in->stop_at + down_ms;
  in->silent_until = in->restart_at + silent_ms;
  log_event ("instance t%u %s %lld ms", i + 1,
             drains ? "drains, stops in" : "stops in",
             (long long)(in->stop_at - now_ms ()));
}

static void
stutter (unsigned percent, unsigned delay_ms, unsigned ms)
{
  stutter_until = now_ms () + ms;
  send_command ("stutter", percent, delay_ms);
  log_event ("%u %% of replies are sent twice for %u ms, up to %u ms late",
             percent, ms, delay_ms);
}

/* Cuts the control hosts off from the primary, or stops it, while promotion
   requests and orders take effect late.  A replica may be cut off, or restart,
   which ends its pause. */
static void
disturb_failover (void)
{
  int i = operator_primary ();
  unsigned promotions = random_below (4);
  unsigned orders = random_below (4);
  unsigned cut_ms = 2000 + random_below (6000);
  unsigned down_ms = 500 + random_below (5000);
  unsigned other = random_below (INSTANCES);
  bool stops = random_below (3) == 0;
  bool cuts_other = random_below (3) == 0;
  unsigned restart_in_ms = 500 + random_below (4000);
  unsigned restart_ms = 100 + random_below (600);

  if (i < 0)
    return;
  log_event ("instance t%d is primary: %u promotions and %u orders are late",
             i + 1, promotions, orders);
  send_command ("late", promotions, 0);
  send_command ("late-orders", orders, 0);
  if (other != (unsigned)i && cuts_other)
    cut_replication (other, cut_ms / 2);
  else if (other != (unsigned)i && !stops)
    stop_instance (other, false, restart_in_ms, restart_ms, 0);
  if (stops)
    stop_instance ((unsigned)i, false, 0, down_ms, 0);
  else
    proxy_cut_control ((unsigned)i, cut_ms);
}

void
instances_inject_fault (void)
{
  unsigned kind = random_below (8);
  unsigned i = random_below (INSTANCES);
  unsigned ms = 500 + random_below (3500);
  unsigned silent_ms = random_below (2) ? random_below (SILENT_MAX_MS) : 0;
  unsigned percent = 2 + random_below (60);
  bool drains = random_below (2);

  if (kind < 2)
    cut_replication (i, ms);
  else if (kind < 4)
    stop_instance (i, drains, 0, ms, silent_ms);
  else if (kind < 6)
    stutter (percent, ms / 2, ms);
  else
    disturb_failover ();
}

void
instances_heal (void)
{
  int64_t now = now_ms ();

  stutter_until = now;
  send_command ("late", 0, 0);
  send_command ("late-orders", 0, 0);
  for (unsigned i = 0; i < INSTANCES; i++)
    {
      struct instance *in = &instances[i];

      in->silent_until = 0;
      if (in->replication_cut_until)
        in->replication_cut_until = now;
      if (in->stop_at || in->down)
        in->restart_at = now + 200;
    }
}

bool
instance_is_draining (unsigned i)
{
  return instances[i].draining;
}

bool
instance_reports (unsigned i)
{
  return !instances[i].down && now_ms () >= instances[i].silent_until;
}

int64_t
instance_incarnation (unsigned i)
{
  return instances[i].incarnation;
}

static void
read_line (const char *line, commit_callback *commit, run_callback *run)
{
  char a[64];
  char b[64];
  unsigned connection;
  unsigned long proof;
  int text_at = 0;

  if (strncmp (line, "FAULT", 5) == 0)
    report_violation ("%s", line);
  else if (sscanf (line, "commit %*s %63s %63s", a, b) == 2)
    commit (a, b);
  else if (sscanf (line, "%*s t%*u connection %u ran %63s mac.%lu %n",
                   &connection, a, &proof, &text_at)
               == 3
           && text_at)
    run (connection, a, proof, line + text_at);
}

/* The stand-in prints its log to group.log and has DUMP_MS for it. */
bool
instances_read_log (commit_callback *commit, run_callback *run)
{
  char path[PATH_BYTES + 32];
  char line[LINE_BYTES];
  bool complete = false;
  FILE *f;

  send_command ("dump", 0, 0);
  usleep (DUMP_MS * 1000);
  snprintf (path, sizeof path, "%s/group.log", fleet_folder ());
  f = fopen (path, "r");
  while (f && fgets (line, sizeof line, f))
    {
      line[strcspn (line, "\n")] = '\0';
      read_line (line, commit, run);
      complete = complete || strcmp (line, "end") == 0;
    }
  if (f)
    fclose (f);
  return complete;
}
