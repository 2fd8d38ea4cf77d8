/*
 * Test rig for the cases in review/N: starts a small deployment of the
 * project's own program on loopback, with stand-ins for the operator, the
 * instances' status reports, callers and their record.
 *
 * Machines: CORES machines that run the roles core and front, and further
 * ones that run the role front only.  Each machine has a loopback address of
 * its own; the settings files hold what deploy/core.json and
 * deploy/front.json hold.
 */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define CORES 3
#define FRONTS_MAX 10
#define TEXT_MAX 65536

/* Bounds of the small deployments, in milliseconds. */
#define CONFIG_APPLY_MS 3000
#define CONTACT_MS 5000
#define GRACE_PERIOD_S 6
#define REVOKE_MS 5000
#define RECOVERY_S 12
#define HEARTBEAT_MS 1200

/* now_ms() - steady clock in milliseconds since the start of the run */
int64_t now_ms (void);
void sleep_ms (int64_t ms);

/* record() - writes a line with the time to record.txt */
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/* finish() - ends all processes, writes the verdict and exits: 0 held, 1
   broken, 2 could not run */
void finish (int status, const char *format, ...)
    __attribute__ ((format (printf, 2, 3), noreturn));

/* trouble() - false if the run is to go without the disruption */
bool trouble (void);

/* rig_start() - opens CASE/record.txt, picks addresses and ports, starts
   CORES cores and @fronts fronts and, if @group, the stand-in group of three
   instances with its platform. */
void rig_start (const char *folder, int fronts, bool group);

extern pid_t core_pid[CORES];
extern pid_t front_pid[FRONTS_MAX];
extern int front_count;

void start_core (int n);
void start_front (int n);
/* end_process() - sends a signal and waits for the end; returns the wait
   status */
int end_process (pid_t *pid, int sig);

const char *core_ip (int n);
const char *front_ip (int n);
int session_port (void);
int ready_port (void);
int control_port (void);

/* group_command() - writes a command to the stand-in group, see
   group.c */
void group_command (const char *command);
/* group_address() - address of instance @n (1 to 3) */
const char *group_address (int n);
#define GROUP_SERVICE "orderdb"

/* http() - one request to @ip:@port; follows a 307 twice.  Return: the status,
   0 if there was no answer within @timeout_ms. */
int http (const char *ip, int port, const char *method, const char *path,
          const char *body, char *answer, size_t size, int timeout_ms);

/* control_call() - the call of an operator or instance: any control machine,
   the next one after a failure, until @deadline_ms.  Return: the status. */
int control_call (const char *method, const char *path, const char *body,
                  char *answer, size_t size, int64_t deadline_ms);

/* put_config() - sends a configuration until it is acknowledged; ends the run
   with 2 if it is not */
void put_config (int version, const char *routes, const char *tenants);

/* reports_start() - a thread that sends the status reports of the group's
   instances each HEARTBEAT_MS and when a role changes */
void reports_start (void);
/* pause or resume the reports of one instance (1 to 3) */
extern volatile bool report_enabled[4];
/* when the last report of an instance was acknowledged */
extern volatile int64_t reported_at[4];
/* instance_start() - starts a stopped instance (1 to 3) again under its id, as a
   new boot with its log */
void instance_start (int n);
/* group_log() - reads the group's log: calls @each for each committed write,
   in the order of the commits */
void group_log (void (*each) (const char *item, const char *data));

/* wait_ready() - waits until all fronts answer the ready probe with 200 */
void wait_ready (int64_t timeout_ms);

/* One session of a caller; blocking. */
struct session
{
  int fd;
  char buffer[TEXT_MAX];
  size_t len;
};

/* session_open() - STARTUP; returns whether READY came */
bool session_open (struct session *s, int front, const char *database,
                   const char *key);
void session_close (struct session *s);

struct answer
{
  char code[32]; /* "OK", an error code, or "CLOSED" / "NONE" */
  char rest[256];
  char mac[64];
  char state;
  char position[48];
  int rows;
  char row[256];
};

/* query() - sends one statement and waits for its answer; returns whether it
   succeeded */
bool query (struct session *s, const char *id, const char *text,
            struct answer *a, int timeout_ms);
/* query_send(), query_wait() - the two halves of query() */
bool query_send (struct session *s, const char *id, const char *text);
bool query_wait (struct session *s, struct answer *a, int timeout_ms);

/* new_id() - a request id that was not used before; thread-safe */
void new_id (char *out, size_t size);

#endif
