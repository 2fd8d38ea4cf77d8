/*
 * Main program of the soak: starts the fleet, injects faults chosen from the
 * seed for SECONDS, then lets the fleet recover and runs the checks.
 *
 *   soak SEED [SECONDS [FOLDER]]
 *
 * Prints each violated guarantee, then the seed and the number of
 * violations.  FOLDER receives the logs of all processes and soak.log, the
 * log of faults and phases.
 */
#include "soak.h"

#include <netinet/in.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#define FAULT_SECONDS_DEFAULT 25
#define START_TIMEOUT_MS 20000
#define RECOVERY_MS 12000
#define FINAL_WINDOW_MS 4000
#define FAULT_GAP_MAX_MS 1200
#define SUBNETS 200
#define SUBNET_FIRST 10

static uint64_t fault_random;
static uint64_t caller_random;
static unsigned violations;
static int64_t started_at;
static FILE *event_log;
static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;

int64_t
now_ms (void)
{
  struct timespec t;

  clock_gettime (CLOCK_BOOTTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
random_seed (uint64_t seed)
{
  fault_random = seed * UINT64_C (0x9E3779B97F4A7C15) + 1;
  caller_random = ~fault_random;
}

static unsigned
next_random (uint64_t *state, unsigned bound)
{
  *state ^= *state << 13;
  *state ^= *state >> 7;
  *state ^= *state << 17;
  return (unsigned)((*state >> 11) % bound);
}

unsigned
random_below (unsigned bound)
{
  return next_random (&fault_random, bound);
}

unsigned
random_for_callers (unsigned bound)
{
  return next_random (&caller_random, bound);
}

static void
write_event (const char *kind, const char *format, va_list args)
{
  struct timespec t;
  struct tm day;

  clock_gettime (CLOCK_REALTIME, &t);
  gmtime_r (&t.tv_sec, &day);
  fprintf (event_log, "%02d:%02d:%02d.%03ld %s", day.tm_hour, day.tm_min,
           day.tm_sec, t.tv_nsec / 1000000, kind);
  vfprintf (event_log, format, args);
  fputc ('\n', event_log);
  fflush (event_log);
}

void
report_violation (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&log_lock);
  violations++;
  va_start (args, format);
  write_event ("BROKEN ", format, args);
  va_end (args);
  va_start (args, format);
  printf ("%6.2f s ", (double)(now_ms () - started_at) / 1000);
  vprintf (format, args);
  putchar ('\n');
  fflush (stdout);
  va_end (args);
  pthread_mutex_unlock (&log_lock);
}

unsigned
violation_count (void)
{
  return violations;
}

void
log_event (const char *format, ...)
{
  va_list args;

  pthread_mutex_lock (&log_lock);
  va_start (args, format);
  write_event ("", format, args);
  va_end (args);
  pthread_mutex_unlock (&log_lock);
}

static void
run_until (int64_t until, bool with_faults)
{
  int64_t fault_at = now_ms ();

  while (now_ms () < until)
    {
      fleet_tick ();
      callers_tick (5);
      if (!with_faults || now_ms () < fault_at)
        continue;
      switch (random_below (4))
        {
        case 0:
          proxy_inject_fault ();
          break;
        case 1:
          fleet_inject_fault ();
          break;
        default:
          instances_inject_fault ();
          break;
        }
      fault_at = now_ms () + random_below (FAULT_GAP_MAX_MS);
    }
}

/* Waits until the first statement succeeds.  Return: false on time-out. */
static bool
wait_for_service (void)
{
  int64_t until = now_ms () + START_TIMEOUT_MS;

  while (now_ms () < until && callers_served () == 0)
    run_until (now_ms () + 100, false);
  return now_ms () < until;
}

static void
run_faults (int seconds)
{
  unsigned served;

  log_event ("fault injection begins");
  run_until (now_ms () + seconds * 1000, true);
  proxy_heal ();
  fleet_heal ();
  operator_stop_changes ();
  log_event ("fault injection ends, recovery begins");
  run_until (now_ms () + RECOVERY_MS, false);
  callers_served ();
  run_until (now_ms () + FINAL_WINDOW_MS, false);
  served = callers_served ();
  if (served < CALLERS * 2)
    report_violation ("only %u statements succeeded in the last %d ms", served,
                      FINAL_WINDOW_MS);
}

/* Returns a subnet of 127.0.0.0/8 that no other run uses.  A bound socket
   claims it until this process ends. */
static unsigned
claim_subnet (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_port = htons (PORT_CLAIM) };

  for (unsigned i = 0; i < SUBNETS; i++)
    {
      unsigned subnet = SUBNET_FIRST + ((unsigned)getpid () + i) % SUBNETS;
      int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

      address.sin_addr.s_addr = htonl ((127u << 24) | (subnet << 16) | 1);
      if (fd >= 0
          && bind (fd, (struct sockaddr *)&address, sizeof address) == 0)
        return subnet;
      close (fd);
    }
  fputs ("soak: no subnet is free\n", stderr);
  exit (2);
}

int
main (int argc, char **argv)
{
  uint64_t run_seed = argc > 1 ? strtoull (argv[1], NULL, 10) : 0;
  int seconds = argc > 2 ? atoi (argv[2]) : FAULT_SECONDS_DEFAULT;
  char folder[PATH_BYTES];
  char path[PATH_BYTES + 16];

  if (run_seed == 0)
    {
      fputs ("usage: soak SEED [SECONDS [FOLDER]]\n", stderr);
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  if (argc > 3)
    snprintf (folder, sizeof folder, "%s", argv[3]);
  else
    snprintf (folder, sizeof folder, "%s/coltsfootstage-soak.XXXXXX",
              getenv ("TMPDIR") ? getenv ("TMPDIR") : "/tmp");
  if (argc <= 3 && !mkdtemp (folder))
    return 2;
  mkdir (folder, 0755);
  snprintf (path, sizeof path, "%s/soak.log", folder);
  event_log = fopen (path, "a");
  if (!event_log)
    return 2;
  started_at = now_ms ();
  random_seed (run_seed);
  fleet_start (folder, claim_subnet ());
  proxy_start ();
  operator_start ();
  callers_start ();
  if (wait_for_service ())
    run_faults (seconds);
  else
    report_violation ("no statement succeeded after the start");
  callers_check ();
  fleet_stop ();
  printf ("soak seed %llu: %u broken, logs in %s\n",
          (unsigned long long)run_seed, violations, folder);
  return violations > 0;
}
