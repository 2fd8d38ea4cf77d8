/*
 * A crowd of requesters at two hosts: each sends some reads ahead on its one
 * session, whose answers are messages of legal size, and reads none of them.
 * As the platform does, a process that uses more memory than its machine has
 * is killed and started again.
 */
#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#define REQUESTERS 6
/* The largest count of "rude" in a site file. */
#define CROWD 120
/* Statements that each session of the crowd sends. */
#define READS 2
#define FIRST_FRONT CORES
#define ATTACKED 2
#define ENDS 3
#define ROUND_MS 20000
#define RESTART_MS 1000
#define RECEIVE_BYTES 4096
/* Pause between two statements of the crowd: answers of 3 MiB every 40 ms are
   630 Mbit/s, the link of a machine has 1,000. */
#define SEND_GAP_MS 40

/** struct crowd - what happens at one host */
struct crowd
{
  unsigned host;
  unsigned ends;
  unsigned peak_mb;
  unsigned opened;
  unsigned answered;
};

static int
open_session (const char *address)
{
  struct sockaddr_in sa
      = { .sin_family = AF_INET, .sin_port = htons (PORT_FRONT) };
  struct timeval limit = { 6, 0 };
  static const char line[] = "STARTUP db1 hallkey1\r\n";
  char text[256];
  int bytes = RECEIVE_BYTES;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  inet_pton (AF_INET, address, &sa.sin_addr);
  if (trouble)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&sa, sizeof sa) == 0
      && send (fd, line, sizeof line - 1, MSG_NOSIGNAL) > 0
      && recv (fd, text, sizeof text, 0) > 0
      && strncmp (text, "READY ", 6) == 0)
    return fd;
  close (fd);
  return -1;
}

static void
send_read (int fd, unsigned session, unsigned number)
{
  char line[64];
  int len = snprintf (line, sizeof line, "QUERY c%u-%u READ " BIG_ITEM "\r\n",
                      session, number);

  if (send (fd, line, (size_t)len, MSG_NOSIGNAL) != len)
    return;
}

/* Reads one answer to its end. */
static bool
read_answer (int fd)
{
  char tail[64] = "";
  char text[65536];
  ssize_t got;

  while ((got = recv (fd, text, sizeof text, 0)) > 0)
    {
      size_t keep = (size_t)got < 32 ? (size_t)got : 32;
      size_t have = strlen (tail);

      if (have > 31)
        {
          memmove (tail, tail + have - 31, 32);
          have = 31;
        }
      memcpy (tail + have, text + got - keep, keep);
      tail[have + keep] = '\0';
      if (strstr (tail, "READY ") && tail[have + keep - 1] == '\n')
        return true;
    }
  return false;
}

/* Watches the process for a while, as the platform does. */
static void
watch (struct crowd *c, int64_t until)
{
  while (now_ms () < until)
    {
      unsigned mb = host_memory_mb (c->host);

      if (mb > c->peak_mb)
        c->peak_mb = mb;
      if (mb > MEMORY_MB)
        {
          note ("platform: host %u uses %u MB of %d MB, killed", c->host, mb,
                MEMORY_MB);
          host_kill (c->host);
        }
      else if (host_has_ended (c->host))
        note ("host %u has ended by itself", c->host);
      else
        {
          sleep_ms (20);
          continue;
        }
      c->ends++;
      sleep_ms (RESTART_MS);
      host_start (c->host);
      return;
    }
}

static void *
press (void *arg)
{
  struct crowd *c = arg;
  int fds[CROWD];

  for (unsigned round = 0; round < ENDS; round++)
    {
      int64_t until = now_ms () + ROUND_MS;
      unsigned open = 0;

      for (unsigned i = 0; i < CROWD && now_ms () < until; i++)
        {
          fds[open] = open_session (host_address (c->host));
          open += fds[open] >= 0;
        }
      c->opened += open;
      note ("crowd at host %u: %u sessions open", c->host, open);
      for (unsigned k = 0; k < READS; k++)
        for (unsigned i = 0; i < open; i++)
          {
            send_read (fds[i], i, k);
            if (!trouble)
              c->answered += read_answer (fds[i]);
            sleep_ms (SEND_GAP_MS);
          }
      note ("crowd at host %u: %u reads sent on each, answers read: %u",
            c->host, READS, c->answered);
      watch (c, until);
      for (unsigned i = 0; i < open; i++)
        close (fds[i]);
      sleep_ms (2000);
    }
  return NULL;
}

int
main (void)
{
  struct crowd crowds[ATTACKED];
  pthread_t threads[ATTACKED];
  unsigned machines = 0;

  rig_start ("review/13/record.txt", REQUESTERS);
  memset (crowds, 0, sizeof crowds);
  for (unsigned i = 0; i < ATTACKED; i++)
    {
      crowds[i].host = FIRST_FRONT + i;
      pthread_create (&threads[i], NULL, press, &crowds[i]);
    }
  for (unsigned i = 0; i < ATTACKED; i++)
    pthread_join (threads[i], NULL);
  for (unsigned i = 0; i < ATTACKED; i++)
    {
      note ("host %u: ended %u times, at most %u MB, sessions %u",
            crowds[i].host, crowds[i].ends, crowds[i].peak_mb,
            crowds[i].opened);
      printf ("host %u ended %u times, peak %u MB; ", crowds[i].host,
              crowds[i].ends, crowds[i].peak_mb);
      machines += crowds[i].ends >= ENDS;
      if (crowds[i].opened < CROWD)
        fail ("the crowd could not open its sessions");
    }
  printf ("\n");
  finish (machines >= 2);
}
