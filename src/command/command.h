/**
 * DOC: Commands of the command line.
 *
 * Each command parses its own arguments and returns an exit status.
 */
#ifndef CFS_COMMAND_H
#define CFS_COMMAND_H

/**
 * enum cfs_exit - exit statuses
 * @EXIT_OK: success
 * @EXIT_FAILED: the request was rejected, or the server is unreachable
 * @EXIT_USAGE: invalid arguments or settings
 * @EXIT_STALE: a patch is not against the current version
 */
enum cfs_exit
{
  EXIT_OK = 0,
  EXIT_FAILED = 1,
  EXIT_USAGE = 2,
  EXIT_STALE = 3
};

/** command_serve() - runs a host */
int command_serve (int argc, char **argv);

/** command_check() - checks a settings file */
int command_check (int argc, char **argv);

/** command_init() - creates the data folder of an initial control host */
int command_init (int argc, char **argv);

/** command_fleetkey() - generates the keys for settings files */
int command_fleetkey (int argc, char **argv);

/** command_show() - prints the configuration */
int command_show (int argc, char **argv);

/** command_patch() - submits a merge patch */
int command_patch (int argc, char **argv);

/** command_diff() - checks a merge patch and prints what it would change */
int command_diff (int argc, char **argv);

/** command_key() - creates and withdraws access keys */
int command_key (int argc, char **argv);

/** command_sheet() - sets and removes sheets */
int command_sheet (int argc, char **argv);

/** command_team() - sets and removes teams */
int command_team (int argc, char **argv);

/** command_audit() - prints the audit trail */
int command_audit (int argc, char **argv);

/** command_status() - prints the state of the fleet */
int command_status (int argc, char **argv);

/** command_drain() - shuts down a host gracefully */
int command_drain (int argc, char **argv);

/** command_evacuation() - starts, stops and lists evacuations of zones */
int command_evacuation (int argc, char **argv);

/** command_load() - generates load and reports the results */
int command_load (int argc, char **argv);

#endif
