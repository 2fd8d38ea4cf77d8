/*
 * Instances and their log.  All instances have a prefix of one log; a
 * promotion truncates it to what the new primary has received.
 */
#include "group.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#define COMMITS_MAX 65536

struct instance instances[INSTANCES_MAX];
int instance_count;
int primary;
uint64_t term = 1;
static struct log_entry log_entries[COMMITS_MAX];
static size_t log_length;
static uint64_t last_commit;

bool
is_primary (int instance)
{
  return instance == primary && instances[instance].up;
}

void
replicate (void)
{
  if (primary < 0 || !instances[primary].up)
    return;
  for (int i = 0; i < instance_count; i++)
    if (instances[i].up
        && (i == primary
            || (!instances[i].held_term && !instances[i].replication_cut)))
      {
        instances[i].received = last_commit;
        instances[i].term = term;
      }
}

bool
is_replicated (int instance, uint64_t commit_number)
{
  for (int i = 0; i < instance_count; i++)
    if (i != instance && instances[i].up
        && instances[i].received >= commit_number)
      return true;
  return false;
}

static void
append_entry (const struct log_entry *in)
{
  for (size_t i = 0; i < log_length; i++)
    if (strcmp (log_entries[i].id, in->id) == 0)
      printf ("FAULT write %s took effect twice\n", in->id);
  if (log_length == COMMITS_MAX)
    return;
  log_entries[log_length] = *in;
  log_entries[log_length++].commit_number = last_commit;
}

uint64_t
commit_writes (struct connection *c)
{
  if (!c->tx_write_count)
    return 0;
  last_commit++;
  for (size_t i = 0; i < c->tx_write_count; i++)
    append_entry (&c->tx_writes[i]);
  c->tx_write_count = 0;
  replicate ();
  return last_commit;
}

void
pause_instance (int instance, uint64_t pause_term)
{
  if (instance != primary && pause_term > term)
    {
      instances[instance].held_term = pause_term;
      print_event ("t%d is paused at %" PRIu64, instance + 1,
                   instances[instance].received);
    }
}

void
demote_instance (int instance, uint64_t demote_term)
{
  if (instance == primary && demote_term > term)
    {
      primary = -1;
      print_event ("t%d is no longer primary", instance + 1);
    }
}

/* Connections that wait for a commit lost by this are closed without a
   reply. */
static void
truncate_log (uint64_t to)
{
  while (log_length && log_entries[log_length - 1].commit_number > to)
    log_length--;
  last_commit = to;
  for (int i = 0; i < instance_count; i++)
    if (instances[i].received > to)
      instances[i].received = to;
  for (int i = 0; i < CONNECTIONS; i++)
    if (connections[i].awaited_commit > to)
      shutdown (connections[i].fd, SHUT_RDWR);
}

void
promote (int instance)
{
  if (instance == primary || !instances[instance].up)
    return;
  print_event ("t%d is primary in term %" PRIu64 " with %" PRIu64
               " of %" PRIu64 " commits",
               instance + 1, term + 1, instances[instance].received,
               last_commit);
  primary = instance;
  term++;
  truncate_log (instances[instance].received);
  for (int i = 0; i < instance_count; i++)
    instances[i].held_term = 0;
  replicate ();
}

const char *
find_item (int instance, const char *item)
{
  for (size_t i = log_length; i > 0; i--)
    if (strcmp (log_entries[i - 1].item, item) == 0
        && log_entries[i - 1].commit_number <= instances[instance].received)
      return log_entries[i - 1].data;
  return NULL;
}

void
dump_log (void)
{
  for (size_t i = 0; i < log_length; i++)
    printf ("commit %" PRIu64 " %s %s\n", log_entries[i].commit_number,
            log_entries[i].item, log_entries[i].data);
  printf ("end\n");
}
