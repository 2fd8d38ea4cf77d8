/*
 * A machine of the core is replaced as planned, the new one first; meanwhile
 * another one stands still for some seconds.  When the successor has had its
 * time to catch up, and right after a configuration was acknowledged, the third
 * one loses its disk.  With TROUBLE=still-runs none stands still.
 */
#define _GNU_SOURCE
#include "rig.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define REQUESTERS 3
#define CALM_MS 3000
/* Times from the moment at which the one begins to stand still. */
#define SUCCESSOR_MS 800
#define STOP_MS 2800
#define WIPE_MS 4900
#define WAKES_MS 6600
#define DOWN_MS 1000
#define RECOVERY_MS 12000
#define CATCH_UP_MS 4000
#define READ_MS 14000

static unsigned
find_leader (void)
{
  char text[8192];

  for (int i = 0; i < 100; i++)
    {
      for (unsigned n = 0; n < CORES; n++)
        if (host_read (n, text, sizeof text) == 200)
          return n;
      sleep_ms (100);
    }
  fail ("no control host answers a read");
}

int
main (void)
{
  const char *setting = getenv ("TROUBLE");
  bool stands_still = !setting || strcmp (setting, "still-runs") != 0;
  char sent[4096];
  char text[8192] = "";
  unsigned replaced;
  unsigned still;
  unsigned wiped;
  int64_t start;
  int64_t until;
  bool current = false;

  rig_start ("review/11/record.txt", REQUESTERS);
  sleep_ms (CALM_MS);
  wiped = find_leader ();
  replaced = (wiped + 1) % CORES;
  still = (wiped + 2) % CORES;
  note ("host %u leads; host %u is to be replaced", wiped, replaced);
  operator_first = wiped;
  start = now_ms ();
  if (trouble && stands_still)
    {
      host_signal (still, SIGSTOP);
      note ("host %u stands still", still);
    }
  if (trouble)
    {
      sleep_until (start + SUCCESSOR_MS);
      host_start (SPARE);
      note ("host %u, the successor, starts", SPARE);
      sleep_until (start + STOP_MS);
      host_signal (replaced, SIGTERM);
      note ("host %u gets SIGTERM and is gone for good", replaced);
    }
  sleep_until (start + WIPE_MS);
  if (trouble && !host_has_ended (replaced))
    fail ("the replaced host has not stopped by itself yet");
  if (trouble)
    note ("host %u has stopped by itself", replaced);
  operator_configuration (sent, sizeof sent, 2);
  if (operator_send (1500) < 0)
    fail ("the configuration is not acknowledged in time");
  if (trouble)
    {
      host_lose_disk (wiped);
      sleep_ms (DOWN_MS);
      host_start (wiped);
      note ("host %u is back with an empty disk", wiped);
    }
  sleep_until (start + WAKES_MS);
  host_signal (still, SIGCONT);
  note ("all machines are back");
  sleep_ms (CATCH_UP_MS + RECOVERY_MS);
  until = now_ms () + READ_MS;
  while (now_ms () < until && !current)
    {
      current = operator_read (text, sizeof text) == 200
                && strcmp (text, sent) == 0;
      sleep_ms (500);
    }
  printf ("version 2 was acknowledged; read back: %d, %.20s\n", current, text);
  finish (!current);
}
