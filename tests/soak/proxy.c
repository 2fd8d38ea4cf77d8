/*
 * TCP forwarders between the processes.  A blocked direction keeps its bytes,
 * in order, and sends them when the fault ends, as TCP does across a network
 * partition that heals.
 */
#include "soak.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTENERS_MAX 64
#define RELAYS_MAX 2048
#define BUFFER_BYTES 16384
#define FAULT_MIN_MS 200
#define FAULT_MAX_MS 4000
#define DELAY_MAX_MS 250

/* The number of the kind is printed in soak.log. */
enum fault_kind
{
  FAULT_RESET,
  FAULT_BLOCK_BOTH,
  FAULT_BLOCK_TO_DEST,
  FAULT_BLOCK_FROM_DEST,
  FAULT_DELAY,
  FAULT_KINDS
};

/* Listening socket of a forwarder, and the faults of its connections. */
struct listener
{
  int fd;
  char dest_ip[32];
  unsigned dest_port;
  /* Towards the destination, and from it. */
  bool blocked[2];
  /* Connections of control hosts only. */
  int64_t control_blocked_until;
  int delay_ms;
  int64_t fault_until;
};

/* One direction of a relayed connection: bytes received and not yet sent. */
struct direction
{
  char bytes[BUFFER_BYTES];
  size_t len;
  int64_t send_at;
  bool eof;
};

/* A relayed connection: the accepted socket, and the one to the destination.
   Direction i receives from fd[i]. */
struct relay
{
  struct listener *listener;
  int fd[2];
  /* Whether its first bytes name the control hosts' team. */
  bool control;
  struct direction direction[2];
};

static struct listener listeners[LISTENERS_MAX];
static size_t listener_count;
static struct relay *relays[RELAYS_MAX];
/* Guards the faults of the listeners, and the relays. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static struct sockaddr_in
socket_address (const char *ip, unsigned port)
{
  struct sockaddr_in at = { .sin_family = AF_INET };

  at.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, ip, &at.sin_addr);
  return at;
}

static void
add_listener (const char *ip, unsigned port, const char *to, unsigned to_port)
{
  struct listener *l = &listeners[listener_count++];
  struct sockaddr_in at = socket_address (ip, port);
  int on = 1;

  l->fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (l->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  snprintf (l->dest_ip, sizeof l->dest_ip, "%s", to);
  l->dest_port = to_port;
  if (bind (l->fd, (struct sockaddr *)&at, sizeof at) != 0
      || listen (l->fd, 128) != 0)
    {
      perror ("soak: forwarder cannot listen");
      exit (2);
    }
}

static void
close_relay (struct relay **at, bool reset)
{
  struct linger hard = { 1, 0 };

  for (int i = 0; i < 2; i++)
    {
      if (reset)
        setsockopt ((*at)->fd[i], SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      close ((*at)->fd[i]);
    }
  free (*at);
  *at = NULL;
}

static void
accept_connection (struct listener *l)
{
  struct sockaddr_in to = socket_address (l->dest_ip, l->dest_port);
  int fd = accept4 (l->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
  size_t i = 0;

  if (fd < 0)
    return;
  while (i < RELAYS_MAX && relays[i])
    i++;
  if (i == RELAYS_MAX)
    {
      close (fd);
      return;
    }
  relays[i] = calloc (1, sizeof *relays[i]);
  relays[i]->listener = l;
  relays[i]->fd[0] = fd;
  relays[i]->fd[1]
      = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (connect (relays[i]->fd[1], (struct sockaddr *)&to, sizeof to) != 0
      && errno != EINPROGRESS)
    close_relay (&relays[i], true);
}

/* Receives and sends in one direction.  The delay applies to the first byte
   received into an empty buffer.  Return: false if the relay must be closed.
 */
static bool
relay_bytes (struct relay *r, int direction, int64_t now)
{
  struct direction *d = &r->direction[direction];
  ssize_t n;

  if (d->len < BUFFER_BYTES && !d->eof)
    {
      n = recv (r->fd[direction], d->bytes + d->len, BUFFER_BYTES - d->len, 0);
      if (n == 0)
        d->eof = true;
      else if (n < 0 && errno != EAGAIN)
        return false;
      if (n > 0 && d->len == 0)
        d->send_at = now + r->listener->delay_ms;
      if (n > 0 && direction == 0 && d->len == 0)
        r->control
            = r->control || memmem (d->bytes, (size_t)n, " control ", 9);
      if (n > 0)
        d->len += (size_t)n;
    }
  if (r->listener->blocked[direction] || now < d->send_at
      || (r->control && now < r->listener->control_blocked_until))
    return true;
  if (d->len)
    {
      n = send (r->fd[!direction], d->bytes, d->len, MSG_NOSIGNAL);
      if (n < 0)
        return errno == EAGAIN || errno == ENOTCONN;
      memmove (d->bytes, d->bytes + n, d->len - (size_t)n);
      d->len -= (size_t)n;
    }
  return !d->eof || d->len > 0;
}

static void
process_relays (void)
{
  int64_t now = now_ms ();

  for (size_t i = 0; i < listener_count; i++)
    {
      struct listener *l = &listeners[i];

      if (l->fault_until && now >= l->fault_until)
        {
          l->blocked[0] = l->blocked[1] = false;
          l->delay_ms = 0;
          l->fault_until = 0;
        }
      accept_connection (l);
    }
  for (size_t i = 0; i < RELAYS_MAX; i++)
    if (relays[i]
        && (!relay_bytes (relays[i], 0, now)
            || !relay_bytes (relays[i], 1, now)))
      close_relay (&relays[i], false);
}

static void *
run_forwarders (void *arg)
{
  (void)arg;
  for (;;)
    {
      pthread_mutex_lock (&lock);
      process_relays ();
      pthread_mutex_unlock (&lock);
      usleep (1000);
    }
  return NULL;
}

static void
open_listeners (void)
{
  char to[32];

  for (unsigned c = 0; c < CORES; c++)
    {
      snprintf (to, sizeof to, "%s", loopback_address (ADDRESS_CORE + c));
      for (unsigned from = 0; from < CORES + FRONTS; from++)
        add_listener (to, PORT_PEER + from, to, PORT_CONTROL);
    }
  for (unsigned f = 0; f < FRONTS; f++)
    {
      snprintf (to, sizeof to, "%s", loopback_address (ADDRESS_FRONT + f));
      add_listener (loopback_address (ADDRESS_CALLERS + f), PORT_SESSION, to,
                    PORT_SESSION);
    }
  snprintf (to, sizeof to, "%s", loopback_address (ADDRESS_GROUP));
  for (unsigned i = 0; i < INSTANCES; i++)
    add_listener (loopback_address (ADDRESS_GROUP + 1 + i), PORT_GROUP + i, to,
                  PORT_GROUP + i);
  add_listener (loopback_address (ADDRESS_PROMOTION), PORT_PROMOTION, to,
                PORT_PROMOTION);
}

void
proxy_start (void)
{
  pthread_t thread;

  open_listeners ();
  if (pthread_create (&thread, NULL, run_forwarders, NULL) != 0)
    exit (2);
}

void
proxy_inject_fault (void)
{
  unsigned n = random_below ((unsigned)listener_count);
  unsigned kind = random_below (FAULT_KINDS);
  struct listener *l = &listeners[n];
  unsigned ms = FAULT_MIN_MS + random_below (FAULT_MAX_MS - FAULT_MIN_MS);

  pthread_mutex_lock (&lock);
  if (kind == FAULT_RESET)
    for (size_t i = 0; i < RELAYS_MAX; i++)
      if (relays[i] && relays[i]->listener == l)
        close_relay (&relays[i], true);
  if (kind == FAULT_BLOCK_BOTH || kind == FAULT_BLOCK_TO_DEST)
    l->blocked[0] = true;
  if (kind == FAULT_BLOCK_BOTH || kind == FAULT_BLOCK_FROM_DEST)
    l->blocked[1] = true;
  if (kind == FAULT_DELAY)
    l->delay_ms = (int)random_below (DELAY_MAX_MS);
  if (kind != FAULT_RESET)
    l->fault_until = now_ms () + ms;
  pthread_mutex_unlock (&lock);
  log_event ("forwarder %u to %s:%u: fault kind %u for %u ms", n, l->dest_ip,
             l->dest_port, kind, ms);
}

void
proxy_cut_control (unsigned instance, unsigned ms)
{
  int64_t until = now_ms () + ms;

  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < listener_count; i++)
    if (listeners[i].dest_port == PORT_GROUP + instance
        && listeners[i].control_blocked_until < until)
      listeners[i].control_blocked_until = until;
  pthread_mutex_unlock (&lock);
  log_event ("instance t%u: control hosts cut off for %u ms", instance + 1,
             ms);
}

void
proxy_heal (void)
{
  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < listener_count; i++)
    {
      listeners[i].fault_until = 1;
      listeners[i].control_blocked_until = 0;
    }
  pthread_mutex_unlock (&lock);
}
