/*
 * LOST: another writer's status report names a service that no configuration
 * has, and the address of a healthy replica.  Then the primary crashes while
 * the other replica receives nothing.  Checks that every write that was
 * acknowledged to a caller is in the log of the instance that is promoted.
 *
 * TROUBLE=0: no disruption.  TROUBLE=crash: the crash without the report.
 * TROUBLE=leave: instead of the report, the leave of an earlier boot of the
 * healthy replica, under the same id, arrives late.
 */
#include "rig.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define FRONTS 3
#define WORKERS 6
#define WRITES_MAX 20000

static struct
{
  char item[32];
  char data[32];
  bool found;
} acked[WRITES_MAX];
static int acked_count;
static int after_crash;
static volatile bool crashed;
static volatile bool stop;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void *
work (void *arg)
{
  int worker = (int)(intptr_t)arg;
  struct session *s = malloc (sizeof *s);
  struct answer a;
  char id[32];
  char item[32];
  char data[32];
  char text[80];

  s->fd = -1;
  for (unsigned n = 0; !stop; n++)
    {
      if (s->fd < 0
          && !session_open (s, worker % FRONTS, "orders", "key-of-t1"))
        {
          sleep_ms (100);
          continue;
        }
      new_id (id, sizeof id);
      snprintf (item, sizeof item, "k%d.%u", worker, n);
      snprintf (data, sizeof data, "v%.30s", id);
      snprintf (text, sizeof text, "WRITE %s %s", item, data);
      query (s, id, text, &a, 3000);
      pthread_mutex_lock (&lock);
      record ("id=%s WRITE %s %s -> %s %s", id, item, data, a.code,
              a.mac[0] ? a.mac : a.rest);
      if (strcmp (a.code, "OK") == 0 && acked_count < WRITES_MAX)
        {
          snprintf (acked[acked_count].item, 32, "%s", item);
          snprintf (acked[acked_count++].data, 32, "%s", data);
          after_crash += crashed;
        }
      pthread_mutex_unlock (&lock);
      if (strcmp (a.code, "CLOSED") == 0 || strcmp (a.code, "NONE") == 0)
        session_close (s);
      sleep_ms (60);
    }
  return NULL;
}

static void
find_write (const char *item, const char *data)
{
  for (int i = 0; i < acked_count; i++)
    if (strcmp (acked[i].item, item) == 0 && strcmp (acked[i].data, data) == 0)
      acked[i].found = true;
}

/* A report or a leave of the boot of t2 before the one that runs. */
static void
send_earlier_boot (const char *call, const char *state, int sequence,
                   long long born)
{
  char path[64];
  char body[512];
  char answer[2048];
  int status;

  snprintf (path, sizeof path, "/v1/Instances.%s/t2", call);
  snprintf (body, sizeof body,
            "{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"z1\","
            "\"version\":\"v1\",\"slots\":5,\"state\":\"%s\","
            "\"cold_remaining_ms\":0,\"db_role\":\"replica\","
            "\"sequence\":%d,\"born\":%lld}",
            GROUP_SERVICE, group_address (2), state, sequence, born);
  record ("earlier boot of t2: %s %s", call, body);
  status = control_call ("POST", path, body, answer, sizeof answer,
                         now_ms () + 1000);
  record ("earlier boot of t2: answer %d", status);
}

static void
send_foreign_report (void)
{
  char body[512];
  char answer[2048];
  int status;

  snprintf (body, sizeof body,
            "{\"service\":\"backup-agent\",\"address\":\"%s\",\"zone\":\"z1\","
            "\"version\":\"v1\",\"slots\":1,\"state\":\"ready\","
            "\"cold_remaining_ms\":0,\"db_role\":\"replica\",\"sequence\":1,"
            "\"born\":%lld}",
            group_address (2), (long long)time (NULL) * 1000);
  record ("another writer: report of agent-7: %s", body);
  status = control_call ("POST", "/v1/Instances.Heartbeat/agent-7", body,
                         answer, sizeof answer, now_ms () + 1000);
  record ("another writer: answer %d", status);
}

int
main (int argc, char **argv)
{
  static const char routes[]
      = "{\"name\":\"r1\",\"database\":\"orders\",\"path_prefix\":\"/\","
        "\"type\":\"primary\",\"timeout_ms\":800,\"target_latency_ms\":400,"
        "\"priority\":1,\"service\":\"" GROUP_SERVICE
        "\",\"max_attempts\":2,\"public\":false}";
  static const char tenants[]
      = "{\"name\":\"t1\",\"api_keys\":[\"key-of-t1\"],\"priority\":1,"
        "\"rate_per_s\":1000,\"burst\":1000}";
  const char *mode = getenv ("TROUBLE");
  bool crash = trouble ();
  bool leave = mode && strcmp (mode, "leave") == 0;
  bool report = crash && !leave && !(mode && strcmp (mode, "crash") == 0);
  long long earlier = (long long)time (NULL) * 1000 - 200000;
  pthread_t threads[WORKERS];
  int64_t last;
  int lost = 0;

  rig_start (argc > 1 ? argv[1] : "review/2", FRONTS, true);
  put_config (3, routes, tenants);
  if (leave)
    {
      send_earlier_boot ("Heartbeat", "ready", 58, earlier);
      send_earlier_boot ("Heartbeat", "draining", 59, earlier);
    }
  reports_start ();
  wait_ready (15000);
  sleep_ms (3000);
  for (intptr_t i = 0; i < WORKERS; i++)
    pthread_create (&threads[i], NULL, work, (void *)i);
  sleep_ms (4000);
  if (crash)
    {
      group_command ("deaf 3");
      sleep_ms (1500);
    }
  last = reported_at[2];
  while (reported_at[2] == last)
    sleep_ms (1);
  if (report)
    send_foreign_report ();
  if (leave)
    send_earlier_boot ("Leave", "draining", 60, earlier);
  if (crash)
    group_command ("stop 1");
  crashed = true;
  sleep_ms (3500);
  if (crash)
    group_command ("hear 3");
  sleep_ms (2500);
  if (crash)
    instance_start (1);
  sleep_ms (4000);
  stop = true;
  for (int i = 0; i < WORKERS; i++)
    pthread_join (threads[i], NULL);
  group_log (find_write);
  for (int i = 0; i < acked_count; i++)
    if (!acked[i].found)
      {
        lost++;
        record ("LOST: acknowledged write %s %s is not in the log",
                acked[i].item, acked[i].data);
      }
  if (acked_count < 50 || after_crash < 5)
    finish (2, "only %d writes were acknowledged, %d after the crash",
            acked_count, after_crash);
  finish (lost > 0,
          "%d of %d acknowledged writes are not in the log of the promoted "
          "instance",
          lost, acked_count);
}
