/**
 * DOC: Commands of the command line.
 *
 * Each command parses its own arguments and returns an exit status.
 */
#ifndef CFS_COMMAND_H
#define CFS_COMMAND_H

/**
 * enum cfs_exit - exit statuses
 * @EXIT_OK: done
 * @EXIT_FAILED: refused or not reachable
 * @EXIT_USAGE: bad arguments or settings
 * @EXIT_STALE: the version that a patch names is not the present one
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

/** command_init() - prepares the data folder of a first control host */
int command_init (int argc, char **argv);

/** command_fleetkey() - makes the keys that settings need */
int command_fleetkey (int argc, char **argv);

/** command_show() - prints the configuration */
int command_show (int argc, char **argv);

/** command_patch() - submits a merge patch */
int command_patch (int argc, char **argv);

/** command_diff() - prints what a merge patch would change */
int command_diff (int argc, char **argv);

/** command_key() - makes and withdraws access keys */
int command_key (int argc, char **argv);

/** command_sheet() - sets and removes sheets */
int command_sheet (int argc, char **argv);

/** command_team() - sets and removes teams */
int command_team (int argc, char **argv);

/** command_audit() - prints the audit trail */
int command_audit (int argc, char **argv);

/** command_status() - prints the state of the fleet */
int command_status (int argc, char **argv);

/** command_drain() - stops one host in order */
int command_drain (int argc, char **argv);

/** command_load() - sends seeded load and reports what came back */
int command_load (int argc, char **argv);

#endif
