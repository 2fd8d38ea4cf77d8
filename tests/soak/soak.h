/**
 * DOC: Fault-injection soak test.  Runs the real programs as processes on
 * loopback, injects faults from outside and checks the guarantees of
 * the proxy against the replies to callers and the log of the database group.
 *
 * The fleet has three hosts with role core (control), three with role front
 * (sessions of callers) and one stand-in group of four instances, the last of
 * which joins later.  All
 * connections except those of the operator thread go through TCP forwarders
 * that can block, delay or reset them.
 */
#ifndef SOAK_H
#define SOAK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define CORES 3
#define FRONTS 3
#define INSTANCES 4
#define CALLERS 15
#define LINE_BYTES 512
#define PATH_BYTES 256
/* Setting revoke_ms of all hosts: a revoked key must be rejected this long
   after the revocation was acknowledged. */
#define REVOKE_MS 3000
/* An acknowledged configuration must be in force everywhere after this. */
#define CONFIG_APPLY_MS 3000

/* Ports.  Every process has its own loopback address, so that processes of
   one kind use the same port.  Host n reaches the control hosts through
   forwarders at PORT_PEER + n, so that its connections can fail alone. */
#define PORT_CONTROL 25000
#define PORT_HTTP 25001
#define PORT_SESSION 25030
#define PORT_READY 25031
#define PORT_GROUP 25010
#define PORT_PROMOTION 25020
#define PORT_PEER 26000
/* Bound by the run that uses a subnet. */
#define PORT_CLAIM 26999

/** now_ms() - CLOCK_BOOTTIME in milliseconds: also advances while the machine
 * is suspended */
int64_t now_ms (void);

/** random_below() - pseudo-random number below @bound from the run's seed,
 * for the faults; for the main thread only */
unsigned random_below (unsigned bound);

/** random_for_callers() - the same from a second sequence, so that the faults
 * do not depend on how many statements callers send */
unsigned random_for_callers (unsigned bound);

/** random_seed() - seeds both sequences */
void random_seed (uint64_t seed);

/** report_violation() - logs, prints and counts a violated guarantee; the run
 * continues */
void report_violation (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/** violation_count() - number of violations reported so far */
unsigned violation_count (void);

/** log_event() - writes a line to soak.log, the log of faults and phases */
void log_event (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/** loopback_address() - "127.S.0.N", S being the run's subnet; valid until
 * the thread's next call */
const char *loopback_address (unsigned n);

/* Last byte of the addresses; the first of several is given. */
#define ADDRESS_CORE 11
#define ADDRESS_FRONT 21
#define ADDRESS_GROUP 31
#define ADDRESS_PROMOTION 41
#define ADDRESS_CALLERS 51

/** fleet_start() - starts the group and all hosts on 127.@subnet.0.0/24;
 * settings, data and logs go to @folder */
void fleet_start (const char *folder, unsigned subnet);

/** fleet_stop() - kills all processes of the run */
void fleet_stop (void);

/** fleet_folder() - the run's folder */
const char *fleet_folder (void);

/** fleet_spawn() - starts a program with stdout and stderr appended to @log;
 * @in becomes its stdin unless negative, @settings is the path of a host's
 * settings file or NULL */
pid_t fleet_spawn (const char *log, int in, char *const argv[],
                   const char *settings);

/** fleet_tick() - resumes and restarts hosts and instances that are due */
void fleet_tick (void);

/** fleet_heal() - makes all pending resumes and restarts due at once */
void fleet_heal (void);

/** fleet_inject_fault() - kills, pauses, stops or wipes hosts */
void fleet_inject_fault (void);

/** instances_start() - starts the stand-in group; all but the last instance
 * run */
void instances_start (void);

/** instances_stop() - kills the stand-in */
void instances_stop (void);

/** instances_tick() - stops, starts and heals what is due */
void instances_tick (int64_t now);

/** instances_heal() - ends all faults of instances */
void instances_heal (void);

/** instances_inject_fault() - stops an instance, cuts its replication, makes
 * instances reply twice, or disturbs a failover */
void instances_inject_fault (void);

/** instance_is_draining() - whether the instance reports state "draining" */
bool instance_is_draining (unsigned instance);

/** instance_reports() - whether the instance sends heartbeats */
bool instance_reports (unsigned instance);

/** instance_incarnation() - time of the instance's last start in Unix
 * milliseconds, reported as "born" */
int64_t instance_incarnation (unsigned instance);

/* A committed write, in commit order; a statement that ran. */
typedef void commit_callback (const char *item, const char *data);
typedef void run_callback (unsigned connection, const char *id,
                           unsigned long proof, const char *text);

/** instances_read_log() - calls @commit and @run for the entries of the
 * group's log; false if it was not read completely */
bool instances_read_log (commit_callback *commit, run_callback *run);

/** proofs_sent() - records a read, write or commit that a caller sends */
void proofs_sent (unsigned caller, unsigned number, const char *text);

/** proofs_received() - records the proof in the reply to it */
void proofs_received (unsigned caller, unsigned number, const char *proof);

/** proofs_check() - compares what callers sent and received with what ran, and
 * calls @commit for each committed write; false if the log was not read
 * completely */
bool proofs_check (commit_callback *commit);

/** proxy_start() - opens all forwarders and runs them in a thread */
void proxy_start (void);

/** proxy_inject_fault() - blocks, delays or resets the connections of one
 * forwarder */
void proxy_inject_fault (void);

/** proxy_cut_control() - blocks the connections of control hosts to an
 * instance */
void proxy_cut_control (unsigned instance, unsigned ms);

/** proxy_heal() - ends all faults of the forwarders */
void proxy_heal (void);

/** operator_start() - starts the thread that sends configuration documents
 * and the instances' heartbeats */
void operator_start (void);

/** operator_stop_changes() - restores the guests' key if it is revoked, then
 * sends no further documents */
void operator_stop_changes (void);

/** operator_primary() - the instance that last said that it is primary, -1
 * before */
int operator_primary (void);

/** operator_key_revoked_at() - time (now_ms()) at which the revocation of the
 * guests' key was acknowledged, 0 while the key may be valid */
int64_t operator_key_revoked_at (void);

/** callers_start() - initialises the callers; callers_tick() runs them */
void callers_start (void);

/** callers_tick() - waits up to @wait_ms for input, then handles input, time-
 * outs and the next statement of each caller */
void callers_tick (int wait_ms);

/** callers_served() - number of statements that succeeded since the last call
 */
unsigned callers_served (void);

/** callers_check() - compares the replies that callers received with the
 * group's log, and checks the team's rate */
void callers_check (void);

#endif
