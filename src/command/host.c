/*
 * Commands that run or prepare a single host: serve, check, init and fleetkey.
 */
#include "command.h"

#include "../process/control.h"
#include "../process/core.h"
#include "../process/log.h"
#include "../process/node.h"
#include "../process/settings.h"

#include <argp.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#define SECRET_BYTES 24
/* Environment variable with the default of --settings. */
#define SETTINGS_VARIABLE "COLTSFOOTSTAGE_BOOT"

struct host_args
{
  const char *settings;
};

static const struct argp_option options[]
    = { { "settings", 's', "FILE", 0, "settings of this host", 0 }, { 0 } };

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct host_args *a = state->input;

  if (key == 's')
    a->settings = arg;
  else if (key == ARGP_KEY_END)
    {
      if (!a->settings)
        a->settings = getenv (SETTINGS_VARIABLE);
      if (!a->settings)
        argp_error (state, "--settings or " SETTINGS_VARIABLE " is required");
    }
  else if (key == ARGP_KEY_ARG)
    argp_usage (state);
  else
    return ARGP_ERR_UNKNOWN;
  return 0;
}

/* Loads the settings file given by the arguments.  Returns NULL after printing
   an error message. */
static struct cfs_settings *
load_settings (int argc, char **argv, const char *doc)
{
  struct argp argp = { options, parse, NULL, doc, NULL, NULL, NULL };
  struct host_args args = { NULL };
  struct cfs_settings *s;
  GError *error = NULL;

  argp_parse (&argp, argc, argv, 0, NULL, &args);
  s = cfs_settings_load (args.settings, &error);
  if (!s)
    {
      fprintf (stderr, "coltsfootstage: %s\n", error->message);
      g_error_free (error);
    }
  return s;
}

static int
exit_status (bool ok, GError *error)
{
  if (ok)
    return EXIT_OK;
  fprintf (stderr, "coltsfootstage: %s\n",
           error ? error->message : "cannot start");
  g_clear_error (&error);
  return EXIT_FAILED;
}

int
command_serve (int argc, char **argv)
{
  struct cfs_settings *s
      = load_settings (argc, argv, "Runs a host until SIGTERM or SIGINT.");
  GError *error = NULL;
  bool ok;

  if (!s)
    return EXIT_USAGE;
  cfs_log_open (s->host, CFS_INFO);
  if (s->uses_seeds && !cfs_settings_serves_sessions (s))
    ok = cfs_core_serve (s, &error);
  else
    ok = cfs_node_serve (s, &error);
  cfs_settings_free (s);
  return exit_status (ok, error);
}

int
command_check (int argc, char **argv)
{
  struct cfs_settings *s
      = load_settings (argc, argv, "Checks a settings file.");

  if (!s)
    return EXIT_USAGE;
  printf ("settings of %s in zone %s are valid\n", s->host, s->zone);
  cfs_settings_free (s);
  return EXIT_OK;
}

int
command_init (int argc, char **argv)
{
  struct cfs_settings *s = load_settings (
      argc, argv,
      "Creates the data folder of a control host when the control group is "
      "first formed.  Never run it for a host that has lost its disk.");
  GError *error = NULL;
  bool ok = false;

  if (!s)
    return EXIT_USAGE;
  if (cfs_settings_is_control (s))
    ok = cfs_control_format (s, &error);
  else
    fprintf (stderr, "coltsfootstage: %s is not a control host\n", s->host);
  cfs_settings_free (s);
  return exit_status (ok, error);
}

static void
print_secret (const char *name, bool last)
{
  unsigned char random[SECRET_BYTES];
  unsigned char hash[CFS_HASH_BYTES];
  char secret[2 * SECRET_BYTES + 1];
  char hex[2 * CFS_HASH_BYTES + 1];

  randombytes_buf (random, sizeof random);
  sodium_bin2hex (secret, sizeof secret, random, sizeof random);
  cfs_secret_hash (secret, hash);
  sodium_bin2hex (hex, sizeof hex, hash, sizeof hash);
  printf ("  \"%s_key\": \"%s\",\n  \"%s_key_hash\": \"%s\"%s\n", name, secret,
          name, hex, last ? "" : ",");
}

int
command_fleetkey (int argc, char **argv)
{
  static const char doc[]
      = "Generates the CURVE key of a fleet and the keys of operators and "
        "targets, as JSON.  Settings contain only the hashes of the latter "
        "two.";
  struct argp argp = { NULL, NULL, NULL, doc, NULL, NULL, NULL };
  char public_key[CURVE_KEY_CHARS + 1];
  char secret_key[CURVE_KEY_CHARS + 1];

  argp_parse (&argp, argc, argv, 0, NULL, NULL);
  if (zmq_curve_keypair (public_key, secret_key) != 0)
    return EXIT_FAILED;
  printf ("{\n  \"curve\": {\"public\": \"%s\", \"secret\": \"%s\"},\n",
          public_key, secret_key);
  print_secret ("operator", false);
  print_secret ("announce", true);
  puts ("}");
  return EXIT_OK;
}
