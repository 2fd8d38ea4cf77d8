/*
 * The operator's configuration arrives with one bit flipped, so that its text
 * is no UTF-8 and cannot be read in full.
 */
#define _GNU_SOURCE
#include "rig.h"

#include <stdio.h>
#include <string.h>

#define REQUESTERS 6
#define CALM_MS 5000
#define APPLY_MS 3000
#define MEASURED_MS 5000
#define VERSION 40
#define DAMAGED "\"hallkey1\""

static bool
is_version (const char *text)
{
  char start[32];

  snprintf (start, sizeof start, "{\"version\":%d,", VERSION);
  return strncmp (text, start, strlen (start)) == 0;
}

int
main (void)
{
  char body[4096];
  char text[8192];
  char *at;
  struct tally before;
  struct tally after;
  int64_t sent;
  int status;

  rig_start ("review/14/record.txt", REQUESTERS);
  sleep_ms (CALM_MS);
  before = rig_tally (now_ms () - CALM_MS, now_ms ());
  operator_configuration (body, sizeof body, VERSION);
  at = strstr (body, DAMAGED);
  if (!at)
    fail ("the route is not in the configuration");
  if (trouble)
    at[strlen (DAMAGED) - 2] ^= (char)0x80;
  status = operator_send_bytes (body, strlen (body));
  if (status < 200)
    fail ("the configuration has no answer");
  sent = now_ms ();
  sleep_until (sent + APPLY_MS + MEASURED_MS);
  after = rig_tally (sent + APPLY_MS, now_ms () - 500);
  if (operator_read (text, sizeof text) != 200)
    fail ("the configuration cannot be read back");
  note ("before: sent %u, served %u; later than %d ms after: sent %u, served "
        "%u",
        before.sent, before.served, APPLY_MS, after.sent, after.served);
  printf ("status %d, version %d in force: %d, before %u of %u served, after "
          "%u of %u\n",
          status, VERSION, is_version (text), before.served, before.sent,
          after.served, after.sent);
  if (!trouble)
    finish (status != 200 || !is_version (text));
  finish (status == 200 || is_version (text));
}
