/*
 * RECOVER: another writer's status report lacks fields and claims to be a
 * primary.  Then all processes are killed and started again.  Counts the
 * operations served before the kill, and those sent later than RECOVERY_S
 * after the processes were started.
 */
#include "rig.h"

#include <pthread.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

#define FRONTS 3
#define WORKERS 12

/* Operations of a phase. */
struct tally
{
  int sent;
  int served;
};

static struct tally tallies[3];
/* 0: not counted, 1: before the final fault, 2: after the recovery. */
static volatile int phase;
static volatile bool stop;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void *
work (void *arg)
{
  int worker = (int)(intptr_t)arg;
  const char *database = worker % 3 == 0   ? "orders"
                         : worker % 3 == 1 ? "lookups"
                                           : "tally";
  struct session *s = malloc (sizeof *s);
  struct answer a;
  char id[32];
  char text[80];

  s->fd = -1;
  for (unsigned n = 0; !stop; n++)
    {
      int counted = phase;
      int64_t sent = now_ms ();

      memset (&a, 0, sizeof a);
      new_id (id, sizeof id);
      if (n % 5 == 0 && worker % 3 != 1)
        snprintf (text, sizeof text, "WRITE k%d v%.30s", worker, id);
      else
        snprintf (text, sizeof text, "READ k%d", worker);
      if (s->fd < 0
          && !session_open (s, worker / 3 % FRONTS, database, "key-of-t1"))
        snprintf (a.code, sizeof a.code, "CLOSED");
      else
        query (s, id, text, &a, 3500);
      pthread_mutex_lock (&lock);
      record ("id=%s %s %s phase=%d -> %s %s", id, database, text, counted,
              a.code, a.mac[0] ? a.mac : a.rest);
      tallies[counted].sent++;
      tallies[counted].served += strcmp (a.code, "OK") == 0;
      pthread_mutex_unlock (&lock);
      if (strcmp (a.code, "CLOSED") == 0 || strcmp (a.code, "NONE") == 0)
        session_close (s);
      sleep_ms (100 - (now_ms () - sent));
    }
  return NULL;
}

static void
send_incomplete_report (void)
{
  char body[512];
  char answer[2048];
  int status;

  /* Without "version", "cold_remaining_ms" and "born". */
  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"z1\","
            "\"slots\":5,\"state\":\"ready\",\"db_role\":\"primary\","
            "\"sequence\":1}",
            GROUP_SERVICE, core_ip (90), control_port () + 1);
  record ("another writer: report of x-1: %s", body);
  status = control_call ("POST", "/v1/Instances.Heartbeat/x-1", body, answer,
                         sizeof answer, now_ms () + 1000);
  record ("another writer: answer %d", status);
}

static void
kill_all (void)
{
  record ("all processes are killed");
  for (int i = 0; i < CORES; i++)
    kill (core_pid[i], SIGKILL);
  for (int i = 0; i < FRONTS; i++)
    kill (front_pid[i], SIGKILL);
  for (int i = 0; i < CORES; i++)
    end_process (&core_pid[i], SIGKILL);
  for (int i = 0; i < FRONTS; i++)
    end_process (&front_pid[i], SIGKILL);
  sleep_ms (800);
  for (int i = 0; i < CORES; i++)
    start_core (i);
  for (int i = 0; i < FRONTS; i++)
    start_front (i);
  record ("all processes are started");
}

int
main (int argc, char **argv)
{
#define ROUTE(name, type, more)                                               \
  "{\"name\":\"r-" name "\",\"database\":\"" name                             \
  "\",\"path_prefix\":\"/\",\"type\":\"" type                                 \
  "\",\"timeout_ms\":1200,\"target_latency_ms\":600,\"priority\":1,"          \
  "\"service\":\"" GROUP_SERVICE "\",\"max_attempts\":2," more                \
  "\"public\":false}"
  static const char routes[] = ROUTE ("orders", "primary", "") "," ROUTE (
      "lookups", "bounded_staleness", "\"max_staleness_ms\":1500,") ","
      ROUTE ("tally", "read_your_writes", "\"max_staleness_ms\":2500,");
  static const char tenants[]
      = "{\"name\":\"t1\",\"api_keys\":[\"key-of-t1\"],\"priority\":1,"
        "\"rate_per_s\":1000,\"burst\":1000}";
  const char *mode = getenv ("TROUBLE");
  bool fault = trouble ();
  bool report = fault && !(mode && strcmp (mode, "kill") == 0);
  pthread_t threads[WORKERS];
  double before;
  double after;

  rig_start (argc > 1 ? argv[1] : "review/5", FRONTS, true);
  put_config (3, routes, tenants);
  reports_start ();
  wait_ready (15000);
  sleep_ms (3000);
  for (intptr_t i = 0; i < WORKERS; i++)
    pthread_create (&threads[i], NULL, work, (void *)i);
  sleep_ms (2000);
  phase = 1;
  sleep_ms (10000);
  if (report)
    {
      send_incomplete_report ();
      sleep_ms (300);
    }
  phase = 0;
  if (fault)
    kill_all ();
  sleep_ms (RECOVERY_S * 1000 + 500);
  phase = 2;
  sleep_ms (20000);
  phase = 0;
  sleep_ms (500);
  stop = true;
  for (int i = 0; i < WORKERS; i++)
    pthread_join (threads[i], NULL);
  before = (double)tallies[1].served / (tallies[1].sent ? tallies[1].sent : 1);
  after = (double)tallies[2].served / (tallies[2].sent ? tallies[2].sent : 1);
  if (before < 0.25 || tallies[2].sent < 50)
    finish (2, "served before: %.3f, sent after: %d", before,
            tallies[2].sent);
  finish (after < 0.25,
          "served %d of %d before the final fault and %d of %d of those sent "
          "later than %d s after the processes were back",
          tallies[1].served, tallies[1].sent, tallies[2].served,
          tallies[2].sent, RECOVERY_S);
}
