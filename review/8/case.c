/*
 * Six machines with a disk, of which the system is to bear the loss of two at
 * once.  Two of them are dark for seven seconds.  Near the end of that time a
 * configuration is acknowledged, and right after it two other machines lose
 * their disks.  No more than two disks are lost, and a second later all six
 * machines run.
 */
#include "kit.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define MACHINES 6
/* Longest time for which the sites leave two machines of the core without
   power (node_kill, count 2). */
#define DARK_MS 7000
#define CATCH_UP_MS 6000
#define RECOVERY_MS 15000
#define CONTACT_MS 6000
/* Beyond what the pages ask for, so that a slow recovery is no break. */
#define PATIENCE_MS 15000
/* After a disk is lost, the machine is back after this time. */
#define DOWN_MS 1000

static struct machine machines[MACHINES + 1];

static const char *
document (unsigned version)
{
  static char text[512];

  snprintf (text, sizeof text,
            "{\"version\":%u,\"routes\":[{\"name\":\"r\",\"database\":\"book\","
            "\"path_prefix\":\"/\",\"type\":\"primary\",\"timeout_ms\":1000,"
            "\"service\":\"db\"}],\"services\":[{\"name\":\"db\","
            "\"max_connections\":75,\"sync_replicas\":1}],\"limits\":{},"
            "\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k\"],"
            "\"rate_per_s\":100,\"burst\":100}]}",
            version);
  return text;
}

/* The version that a machine reads back, 0 if it answers 5xx or not at all. */
static unsigned
read_back (unsigned machine, int *status)
{
  static char body[4096];
  unsigned version = 0;

  *status = kit_control (machine, "GET", "/v1/Config.Describe", NULL, body,
                         sizeof body);
  if (*status == 200)
    sscanf (body, "{\"version\":%u", &version);
  return version;
}

/* The machine that answers instead of sending callers elsewhere, or 0. */
static unsigned
find_leader (void)
{
  for (unsigned i = 1; i <= MACHINES; i++)
    if (kit_http ("GET", kit_address (i), CONTROL_PORT, "/v1/Config.Describe",
                  NULL, 1000, NULL, 0)
        == 200)
      return i;
  return 0;
}

static void
start_system (void)
{
  static const unsigned seeds[] = { 1, 2, 3 };

  for (unsigned i = 1; i <= MACHINES; i++)
    {
      machines[i] = (struct machine){ .number = i, .has_disk = true };
      kit_machine_start (&machines[i], true);
    }
  if (kit_configure (seeds, 3, document (1), 10000) < 0)
    kit_give_up ("configuration 1 is not acknowledged");
  kit_record ("configuration 1 is acknowledged");
  kit_sleep_ms (CATCH_UP_MS + CONTACT_MS);
}

static unsigned
other_than (const unsigned *taken, size_t count)
{
  for (unsigned i = 1; i <= MACHINES; i++)
    {
      bool free_one = true;

      for (size_t k = 0; k < count; k++)
        free_one = free_one && taken[k] != i;
      if (free_one)
        return i;
    }
  return 0;
}

static void
go_dark (unsigned i)
{
  if (!kit_trouble ())
    return;
  kit_machine_kill (&machines[i]);
  kit_record ("machine %u loses power", i);
}

static void
lose_disk (unsigned i)
{
  if (!kit_trouble ())
    return;
  kit_machine_kill (&machines[i]);
  machines[i].disk++;
  kit_record ("machine %u loses its disk", i);
}

static void
come_back (unsigned i)
{
  if (!kit_trouble ())
    return;
  kit_machine_start (&machines[i], false);
  kit_record ("machine %u is back%s", i,
              machines[i].disk ? ", with an empty disk" : "");
}

static unsigned
count_ready (void)
{
  unsigned count = 0;

  for (unsigned i = 1; i <= MACHINES; i++)
    count += kit_is_ready (i);
  return count;
}

/* Reads the configuration back at all machines in turn.  Returns whether the
   acknowledged one came, and no older one. */
static bool
check (void)
{
  int64_t from = kit_now_ms ();
  bool came = false;
  int logged = -1;

  while (!came
         && kit_now_ms () - from < RECOVERY_MS + CONTACT_MS + PATIENCE_MS)
    {
      for (unsigned i = 1; i <= MACHINES; i++)
        {
          int status;
          unsigned version = read_back (i, &status);

          if (version == 1)
            {
              kit_record ("machine %u reads back version 1", i);
              return false;
            }
          came = came || version == 2;
          if (status != logged)
            kit_record ("read back at machine %u: status %d version %u", i,
                        status, version);
          logged = status;
        }
      kit_sleep_ms (500);
    }
  kit_record ("%.1f s after all machines are back: configuration 2 %s",
              (double)(kit_now_ms () - from) / 1000,
              came ? "is read back" : "does not come from any machine");
  if (came)
    kit_sleep_ms (2000);
  kit_record ("%u of %d machines are ready for requesters", count_ready (),
              MACHINES);
  return came;
}

int
main (void)
{
  const char *dark_ms = getenv ("DARK_MS");
  int64_t dark_until;
  unsigned hit[4];
  unsigned seeds[4];
  int via;
  bool held;

  kit_start ();
  start_system ();
  hit[0] = find_leader ();
  if (!hit[0])
    kit_give_up ("no machine leads");
  for (size_t i = 1; i < 4; i++)
    hit[i] = other_than (hit, i);
  kit_record ("machine %u leads, %u of %d are ready", hit[0], count_ready (),
              MACHINES);
  go_dark (hit[1]);
  go_dark (hit[2]);
  dark_until = kit_now_ms () + (dark_ms ? atoi (dark_ms) : DARK_MS);
  kit_sleep_ms (dark_until - kit_now_ms () - DOWN_MS);
  seeds[0] = hit[0];
  seeds[1] = hit[3];
  via = kit_configure (seeds, 2, document (2), 3000);
  if (via < 0)
    kit_give_up ("configuration 2 is not acknowledged");
  kit_record ("configuration 2 is acknowledged");
  lose_disk (hit[0]);
  lose_disk (hit[3]);
  kit_sleep_ms (DOWN_MS);
  for (size_t i = 0; i < 4; i++)
    come_back (hit[i]);
  held = check ();
  return kit_end (held ? HELD : BROKEN);
}
