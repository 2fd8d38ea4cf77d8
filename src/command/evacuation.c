/*
 * Evacuations of zones, ordered at a control host of the users' platform.  A
 * control host without a known leader answers 503, and so does one that does
 * not know whether an order was committed; the command then repeats the order,
 * which changes nothing when it was.
 */
#include "command.h"

#include "client.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_MS 5000
#define HTTP_OK 200
#define HTTP_UNAVAILABLE 503
/* Number of attempts, and the time between two of them. */
#define ATTEMPTS_MAX 40
#define RETRY_MS 250
#define PATH "/v1/evacuations"

struct args
{
  struct cfs_client client;
  const char *action;
  const char *zone;
};

static const struct argp_option options[]
    = { { "url", 'u', "URL", 0,
          "URL of a control host (default $COLTSFOOTSTAGE_URL)", 0 },
        { 0 } };

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct args *a = state->input;

  if (key == 'u')
    a->client.url = arg;
  else if (key == ARGP_KEY_ARG && !a->action)
    a->action = arg;
  else if (key == ARGP_KEY_ARG && !a->zone)
    a->zone = arg;
  else if (key == ARGP_KEY_ARG)
    argp_usage (state);
  else if (key != ARGP_KEY_END)
    return ARGP_ERR_UNKNOWN;
  else if (!a->client.url)
    argp_error (state, "--url or COLTSFOOTSTAGE_URL is required");
  return 0;
}

/* Sends a request until a control host answers it. */
static int
send_until_answered (const struct cfs_client *client, const char *method,
                     const char *path)
{
  struct cfs_client_response r;
  GError *error = NULL;
  int rc;

  for (int i = 0; i < ATTEMPTS_MAX; i++)
    {
      g_clear_error (&error);
      if (cfs_client_send (client, method, path, NULL, NULL, &r, &error)
          && r.status != HTTP_UNAVAILABLE)
        {
          rc = r.status == HTTP_OK ? EXIT_OK : EXIT_FAILED;
          fprintf (rc == EXIT_OK ? stdout : stderr, "%s\n", r.body);
          cfs_client_response_clear (&r);
          return rc;
        }
      if (!error)
        cfs_client_response_clear (&r);
      g_usleep (RETRY_MS * 1000);
    }
  fprintf (stderr, "coltsfootstage: %s\n",
           error ? error->message : "no control leader answers");
  g_clear_error (&error);
  return EXIT_FAILED;
}

static int
send_order (const struct args *a, const char *method)
{
  char *zone = g_uri_escape_string (a->zone, NULL, FALSE);
  char *path = g_strconcat (PATH "/", zone, NULL);
  int rc = send_until_answered (&a->client, method, path);

  g_free (path);
  g_free (zone);
  return rc;
}

int
command_evacuation (int argc, char **argv)
{
  struct argp argp
      = { options,
          parse,
          "start ZONE\nstop ZONE\nlist",
          "Starts or stops the evacuation of a zone, or lists the evacuations "
          "in force.",
          NULL,
          NULL,
          NULL };
  struct args a = { .client = { .url = getenv ("COLTSFOOTSTAGE_URL"),
                                .timeout_ms = TIMEOUT_MS,
                                .follow_redirects = true } };

  argp_parse (&argp, argc, argv, 0, NULL, &a);
  if (a.action && a.zone && strcmp (a.action, "start") == 0)
    return send_order (&a, "POST");
  if (a.action && a.zone && strcmp (a.action, "stop") == 0)
    return send_order (&a, "DELETE");
  if (a.action && !a.zone && strcmp (a.action, "list") == 0)
    return send_until_answered (&a.client, "GET", PATH);
  argp_help (&argp, stderr, ARGP_HELP_USAGE, argv[0]);
  return EXIT_USAGE;
}
