/*
 * Promotion requests, one on a connection.  A request is rejected if its
 * fencing token is lower than the highest seen or the instance is down.
 */
#include "group.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct promotion
{
  /* -1 once it was answered. */
  int fd;
  bool used;
  char text[BUFFER_BYTES];
  size_t len;
  /* Times of the check of a late request and of the effect, or 0. */
  int64_t check_at;
  int64_t effect_at;
};

static struct promotion promotions[PROMOTIONS];
static int listen_fd;
static uint64_t highest_fence;
static unsigned late_count;

void
promotions_start (const char *port)
{
  listen_fd = listen_on (port);
}

void
delay_promotions (unsigned count)
{
  late_count = count;
}

static void
close_request (struct promotion *p)
{
  if (p->fd >= 0)
    close (p->fd);
  p->fd = -1;
}

/* Index of the instance that the request names, or -1. */
static int
named_instance (const struct promotion *p)
{
  const char *id = strstr (p->text, "\"id\":\"t");
  int instance = id ? id[7] - '1' : -1;

  return instance < instance_count ? instance : -1;
}

static bool
check (const struct promotion *p)
{
  const char *fence = strstr (p->text, "Fencing-Token: ");
  int instance = named_instance (p);
  uint64_t token = fence ? strtoull (fence + 15, NULL, 10) : 0;

  if (!fence || instance < 0 || !instances[instance].up
      || token < highest_fence)
    return false;
  highest_fence = token;
  return true;
}

static void
answer (struct promotion *p, bool ok)
{
  char text[128];
  int len = snprintf (text, sizeof text,
                      "HTTP/1.1 %s\r\nContent-Length: 0\r\n"
                      "Connection: close\r\n\r\n",
                      ok ? "200 OK" : "409 Conflict");

  if (send (p->fd, text, (size_t)len, MSG_NOSIGNAL) < 0)
    perror ("group: cannot send the promotion response");
  close_request (p);
}

static void
handle_request (struct promotion *p, int64_t now)
{
  bool ok;

  if (late_count)
    {
      late_count--;
      p->check_at
          = now + LATE_MIN_MS + random_below (LATE_MAX_MS - LATE_MIN_MS);
      print_event ("promotion of t%d is carried out %d ms late",
                   named_instance (p) + 1, (int)(p->check_at - now));
      return;
    }
  ok = check (p);
  answer (p, ok);
  p->used = ok;
  p->effect_at = now + PROMOTION_MS;
}

static void
receive_request (struct promotion *p, int64_t now)
{
  ssize_t got = recv (p->fd, p->text + p->len, sizeof p->text - p->len - 1, 0);

  if (got <= 0)
    {
      close_request (p);
      p->used = p->check_at != 0;
      return;
    }
  p->len += (size_t)got;
  if (!p->check_at && strchr (p->text, '}'))
    handle_request (p, now);
}

static void
accept_request (void)
{
  int fd = accept (listen_fd, NULL, NULL);

  for (int i = 0; fd >= 0 && i < PROMOTIONS; i++)
    if (!promotions[i].used)
      {
        memset (&promotions[i], 0, sizeof promotions[i]);
        promotions[i].fd = fd;
        promotions[i].used = true;
        return;
      }
  if (fd >= 0)
    close (fd);
}

size_t
promotions_fds (struct pollfd *fds)
{
  for (int i = 0; i < PROMOTIONS; i++)
    fds[i] = (struct pollfd){ promotions[i].used ? promotions[i].fd : -1,
                              POLLIN, 0 };
  fds[PROMOTIONS] = (struct pollfd){ listen_fd, POLLIN, 0 };
  return PROMOTIONS + 1;
}

void
promotions_tick (const struct pollfd *fds)
{
  int64_t now = now_ms ();

  for (int i = 0; i < PROMOTIONS; i++)
    {
      struct promotion *p = &promotions[i];

      if (fds[i].revents)
        receive_request (p, now);
      if (p->used && p->check_at && now >= p->check_at)
        {
          close_request (p);
          p->check_at = 0;
          p->used = check (p);
          p->effect_at = now + PROMOTION_MS;
        }
      if (p->used && p->effect_at && now >= p->effect_at)
        {
          p->used = false;
          promote (named_instance (p));
        }
    }
  if (fds[PROMOTIONS].revents)
    accept_request ();
}
