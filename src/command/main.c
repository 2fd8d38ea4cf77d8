/*
 * Runs the command given by the first argument; the command parses the
 * remaining arguments itself.
 */
#include "command.h"

#include <argp.h>
#include <curl/curl.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const char *argp_program_version = "coltsfootstage 0.1";

static const struct
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *help;
} commands[] = {
  { "serve", command_serve, "run a host until SIGTERM" },
  { "check", command_check, "check a settings file" },
  { "init", command_init,
    "create the data folder of an initial control host" },
  { "fleetkey", command_fleetkey, "generate the keys for settings files" },
  { "show", command_show, "print the configuration and its version" },
  { "patch", command_patch, "submit a merge patch against a version" },
  { "diff", command_diff,
    "check a merge patch and print what it would change" },
  { "key", command_key, "create or withdraw an access key" },
  { "sheet", command_sheet, "set or remove a sheet" },
  { "team", command_team, "set or remove a team" },
  { "audit", command_audit, "print who changed what, and when" },
  { "status", command_status, "print hosts, leases and groups" },
  { "drain", command_drain, "shut down a host gracefully" },
  { "evacuation", command_evacuation,
    "start, stop or list evacuations of zones" },
  { "load", command_load, "generate load and report the results" },
};

static void
usage (FILE *out)
{
  fputs ("Usage: coltsfootstage COMMAND [OPTION...]\n\nCommands:\n", out);
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    fprintf (out, "  %-10s %s\n", commands[i].name, commands[i].help);
  fputs (
      "\nRun 'coltsfootstage COMMAND --help' for the options of a command.\n",
      out);
}

int
main (int argc, char **argv)
{
  char name[64];

  if (argc < 2)
    {
      usage (stderr);
      return EXIT_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0)
    {
      usage (stdout);
      return EXIT_OK;
    }
  if (strcmp (argv[1], "--version") == 0)
    {
      puts (argp_program_version);
      return EXIT_OK;
    }
  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != 0)
    return EXIT_FAILED;
  for (size_t i = 0; i < sizeof commands / sizeof commands[0]; i++)
    if (strcmp (commands[i].name, argv[1]) == 0)
      {
        snprintf (name, sizeof name, "coltsfootstage %s", argv[1]);
        argv[1] = name;
        return commands[i].run (argc - 1, argv + 1);
      }
  fprintf (stderr, "coltsfootstage: unknown command %s\n", argv[1]);
  usage (stderr);
  return EXIT_USAGE;
}
