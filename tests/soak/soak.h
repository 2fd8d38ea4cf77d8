/**
 * DOC: Fault soak: the real programs as processes on loopback, faults from
 * outside, promises checked from what callers and instances see.
 *
 * Three control hosts, three hosts for callers, one stand-in group.  All
 * connections but the operator's go through forwarders that can hold, delay
 * or reset them.
 */
#ifndef SOAK_H
#define SOAK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define CORES 3
#define FRONTS 3
#define INSTANCES 3
#define CALLERS 15
#define LINE_BYTES 512
#define PATH_BYTES 256
#define REVOKE_MS 3000
#define CONFIG_APPLY_MS 3000

/* Ports; every process has an address of its own. */
#define PORT_CONTROL 25000
#define PORT_HTTP 25001
#define PORT_SESSION 25030
#define PORT_READY 25031
#define PORT_GROUP 25010
#define PORT_PROMOTION 25020
#define PORT_PEER 26000

/** now_ms() - milliseconds of a clock that goes on while we are stopped */
int64_t now_ms (void);

/** draw() - a number below a bound, from the seed of the run */
unsigned random_below (unsigned bound);

/** draw_seed() - sets the seed */
void random_seed (uint64_t seed);

/** fault_found() - notes a broken promise; the run goes on */
void report_violation (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/** faults_found() - number of broken promises */
unsigned violation_count (void);

/** note() - a line in the run's record of faults and changes */
void log_event (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));

/** address_of() - "127.S.0.N" of one of the run's addresses */
const char *loopback_address (unsigned n);

/* Last numbers of addresses. */
#define ADDRESS_CORE 11
#define ADDRESS_FRONT 21
#define ADDRESS_GROUP 31
#define ADDRESS_PROMOTION 41
#define ADDRESS_CALLERS 51

/** fleet_start() - starts the group and all hosts; @folder holds all files */
void fleet_start (const char *folder, unsigned subnet);

/** fleet_stop() - ends all processes, by their ids */
void fleet_stop (void);

/** fleet_tick() - wakes and restarts what is due */
void fleet_tick (void);

/** fleet_heal() - wakes and restarts everything */
void fleet_heal (void);

/** fleet_fault() - stops, pauses, kills or empties hosts, or an instance */
void fleet_inject_fault (void);

/** fleet_leaving() - whether an instance announces that it leaves */
bool fleet_is_draining (unsigned instance);

/** fleet_born() - start of an instance's present life, Unix milliseconds */
int64_t fleet_incarnation (unsigned instance);

/** fleet_dump() - the group's log: calls @each for each commit, in order */
bool fleet_read_commits (void (*each) (const char *item, const char *data));

/** proxy_start() - opens all forwarders, in a thread of their own */
void proxy_start (void);

/** proxy_fault() - holds, delays or resets the connections of one */
void proxy_inject_fault (void);

/** proxy_heal() - lets everything pass */
void proxy_heal (void);

/** operator_start() - documents and reports of instances, in a thread */
void operator_start (void);

/** operator_calm() - no further change; restores all keys */
void operator_stop_changes (void);

/** operator_withdrawn() - since when the guests' key no longer counts, 0
 * while it does */
int64_t operator_key_revoked_at (void);

/** callers_start() - sessions of callers; callers_tick() drives them */
void callers_start (void);

/** callers_tick() - waits up to @wait_ms */
void callers_tick (int wait_ms);

/** callers_served() - statements answered with success since the last call */
unsigned callers_served (void);

/** callers_check() - compares what was told with the group's log */
void callers_check (void);

#endif
