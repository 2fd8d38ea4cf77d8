/**
 * DOC: Stand-ins of the third review: one program that starts the hosts of a
 * small deployment as separate processes, and plays the database instances,
 * the platform, the operator and the requesters on loopback addresses.
 *
 * An instance, a requester and the platform behave as PROTOCOL.md says; where
 * it is silent, as a sound one.  Each connection has a thread of its own; all
 * share one lock.
 */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define CORES 3
#define FRONTS 3
#define HOSTS (CORES + FRONTS)
/* A further control host, which is started by a case. */
#define SPARE HOSTS
#define INSTANCES_MAX 8
#define NAME 64
#define TEXT 512
#define SERVICE "order-ledger"
#define PORT_FRONT 8465
/* Memory of a machine. */
#define MEMORY_MB 260
/* Item whose rows are messages of the greatest length. */
#define BIG_ROWS 3
#define BIG_ITEM "big"
#define BIG_ROW_BYTES ((1 << 20) - 64)
/* Times of the site file cwpc-trays. */
#define HEARTBEAT_MS 1200
#define PROMOTE_MS 300
#define GRACE_MS 6000

/** struct instance - a database instance; an index stands for one address */
struct instance
{
  char id[NAME];
  bool used;
  bool up;
  /* Status reports of it do not reach the system, nor do connections of the
     control hosts reach it. */
  bool cut_from_control;
  /* Receives nothing of the log. */
  bool deaf;
  bool draining;
  int fd;
  int64_t born;
  int64_t report_from;
  uint64_t sequence;
  uint64_t term;
  uint64_t received;
  uint64_t held_term;
  bool reported_primary;
  bool report_now;
};

/** struct tally - requests of the requesters that were sent in a window */
struct tally
{
  unsigned sent;
  unsigned served;
};

extern bool trouble;
/* Control host that the operator calls first. */
extern unsigned operator_first;

/** now_ms() - time since the start of the script */
int64_t now_ms (void);
void sleep_ms (int64_t ms);
/** sleep_until() - waits until a time of now_ms() */
void sleep_until (int64_t ms);
/** note() - writes a line to record.txt */
void note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/** fail() - ends the script with status 2: the case could not run */
void fail (const char *why) __attribute__ ((noreturn));
/** finish() - ends all processes, then the script */
void finish (bool broken) __attribute__ ((noreturn));

/** rig_start() - starts the hosts and stand-ins, sends the first
 * configuration, and waits until requests are served */
void rig_start (const char *record, unsigned requesters);
/** rig_tally() - requests sent from @from to @to */
struct tally rig_tally (int64_t from, int64_t to);

void host_kill (unsigned host);
void host_start (unsigned host);
void host_signal (unsigned host, int sig);
/** host_lose_disk() - kills a control host and empties its disk */
void host_lose_disk (unsigned host);
/** host_read() - reads the configuration from one control host.  Return: the
 * status; 200 at the leader only. */
int host_read (unsigned host, char *out, size_t size);
/** host_memory_mb() - memory that the process of a host uses, in MiB */
unsigned host_memory_mb (unsigned host);
/** host_has_ended() - whether its process has ended by itself */
bool host_has_ended (unsigned host);
const char *host_address (unsigned host);

/** instance_stop() - the process of an instance ends without a word */
void instance_stop (unsigned instance);
/** instance_start() - a process starts at the address of an instance
 * @id: its id, NULL for a new one
 * @with_log: it has the log of the one before */
void instance_start (unsigned instance, const char *id, bool with_log);
void instance_cut_from_control (unsigned instance, bool cut);
void instance_deaf (unsigned instance, bool deaf);
/** instance_primary() - index of the primary, also while it is down; -1
 * without one */
int instance_primary (void);
/** instances_lost() - acknowledged commits that are not in the log */
unsigned instances_lost (void);
/** instance_log_note() - notes the state of all instances in the record */
void instance_log_note (void);

/** foreign_report() - sends a status report as another writer does.  Return:
 * the status of the response. */
int foreign_report (unsigned at_instance, const char *id, const char *version);

/** operator_send() - sends a configuration of the next version until it is
 * acknowledged.  Return: the time of the acknowledgement, -1 without one. */
int64_t operator_send (int64_t within_ms);

/** operator_configuration() - a valid configuration of a version */
void operator_configuration (char *out, size_t size, unsigned number);
/** operator_send_bytes() - sends a body as it is.  Return: the status. */
int operator_send_bytes (const char *body, size_t len);
/** operator_read() - reads the configuration back.  Return: the status. */
int operator_read (char *out, size_t size);

extern struct instance instances[INSTANCES_MAX];

#endif
