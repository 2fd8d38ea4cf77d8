/*
 * Statements sent by callers and their proofs.  The stand-in proves each read,
 * write and commit that runs by a number of its own: one that a caller gets
 * must be that of its own statement, and what ran must have been sent.
 */
#include "soak.h"

#include <ctype.h>
#include <stdio.h>
#include <string.h>

#define STATEMENTS_MAX 16384
#define RUNS_MAX (1u << 20)

struct sent
{
  char text[32];
  unsigned long proof;
  /* The connection to an instance on which it ran last. */
  unsigned connection;
};

static struct sent sent[CALLERS][STATEMENTS_MAX];
/* By proof: the statement that ran, numbered from 1 over all callers. */
static unsigned ran[RUNS_MAX];

void
proofs_sent (unsigned caller, unsigned number, const char *text)
{
  if (number < STATEMENTS_MAX)
    snprintf (sent[caller][number].text, sizeof sent[caller][number].text,
              "%s", text);
}

void
proofs_received (unsigned caller, unsigned number, const char *proof)
{
  char shown[32];

  if (number >= STATEMENTS_MAX
      || sscanf (proof, "mac.%lu", &sent[caller][number].proof) == 1)
    return;
  snprintf (shown, sizeof shown, "%s", proof);
  for (char *p = shown; *p; p++)
    if (!isprint ((unsigned char)*p))
      *p = '?';
  report_violation ("MIXED: c%u-%u succeeded with \"%s\" in place of a proof",
                    caller, number, shown);
}

/* The statement before a COMMIT is of the same transaction. */
static void
check_commit (unsigned caller, unsigned number)
{
  const struct sent *s = &sent[caller][number];

  if (strcmp (s->text, "COMMIT") == 0 && s->connection != s[-1].connection)
    report_violation ("PINNED: c%u-%u COMMIT ran on connection %u, its %s on "
                      "connection %u",
                      caller, number, s->connection, s[-1].text,
                      s[-1].connection);
}

static void
check_run (unsigned connection, const char *id, unsigned long proof,
           const char *text)
{
  unsigned caller = CALLERS;
  unsigned number = 0;

  if (sscanf (id, "c%u-%u", &caller, &number) != 2 || caller >= CALLERS
      || number >= STATEMENTS_MAX
      || strcmp (sent[caller][number].text, text) != 0)
    report_violation ("UNASKED: ran %s %s mac.%lu, sent %s", id, text, proof,
                      caller < CALLERS && number < STATEMENTS_MAX
                          ? sent[caller][number].text
                          : "nothing");
  else if (proof < RUNS_MAX)
    {
      ran[proof] = caller * STATEMENTS_MAX + number + 1;
      sent[caller][number].connection = connection;
      check_commit (caller, number);
    }
}

static void
check_proof (unsigned caller, unsigned number)
{
  const struct sent *s = &sent[caller][number];
  unsigned r = s->proof < RUNS_MAX ? ran[s->proof] : 0;

  if (s->proof && r != caller * STATEMENTS_MAX + number + 1)
    report_violation ("MIXED: c%u-%u %s got mac.%lu of c%u-%u", caller, number,
                      s->text, s->proof, r ? (r - 1) / STATEMENTS_MAX : 0,
                      r ? (r - 1) % STATEMENTS_MAX : 0);
}

bool
proofs_check (commit_callback *commit)
{
  bool complete = instances_read_log (commit, check_run);

  for (unsigned c = 0; c < CALLERS; c++)
    for (unsigned n = 0; n < STATEMENTS_MAX; n++)
      check_proof (c, n);
  return complete;
}
