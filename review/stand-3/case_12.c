/*
 * One status report of another writer, with a byte that cannot be read as
 * text, names the address of the primary.  Then, right after a configuration
 * was acknowledged, all processes of the system are killed and started again.
 */
#include "rig.h"

#include <signal.h>
#include <stdio.h>

#define REQUESTERS 12
#define CALM_MS 8000
#define FINAL_AFTER_MS 2000
#define DOWN_MS 1600
#define RECOVERY_MS 12000
#define MEASURED_MS 15000

int
main (void)
{
  struct tally before;
  struct tally after;
  int64_t final;
  int64_t back;

  rig_start ("review/12/record.txt", REQUESTERS);
  sleep_ms (CALM_MS);
  if (trouble)
    foreign_report (0, "i-other", "v\xff\xfe");
  sleep_ms (FINAL_AFTER_MS);
  if (operator_send (8000) < 0)
    fail ("no configuration is acknowledged before the final fault");
  final = now_ms ();
  note ("final fault: all processes are killed");
  for (unsigned i = 0; i < HOSTS; i++)
    host_kill (i);
  sleep_ms (DOWN_MS);
  for (unsigned i = 0; i < HOSTS; i++)
    host_start (i);
  back = now_ms ();
  note ("all machines are back");
  sleep_until (back + RECOVERY_MS + MEASURED_MS + 2000);
  instance_log_note ();
  before = rig_tally (0, final);
  after = rig_tally (back + RECOVERY_MS, back + RECOVERY_MS + MEASURED_MS);
  note ("before the final fault: sent %u, served %u", before.sent,
        before.served);
  note ("later than %d ms after the machines are back: sent %u, served %u",
        RECOVERY_MS, after.sent, after.served);
  if (before.served * 4 < before.sent || !after.sent)
    fail ("too little is served before the final fault, or nothing is sent");
  printf ("before: %u of %u served; after: %u of %u served\n", before.served,
          before.sent, after.served, after.sent);
  finish (after.served * 4 < after.sent);
}
