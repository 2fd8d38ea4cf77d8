/*
 * What the cases of the second review share: processes of the project started
 * as the deploy file says, requests of operators, sessions of requesters, and
 * the record of a run.
 *
 * A run gets a /24 of the loopback network that no listening socket of this
 * user holds, and a temporary folder.  All processes started end with it.
 */
#ifndef KIT_H
#define KIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define CONTROL_PORT 8462
#define SESSION_PORT 8465
#define READY_PORT 8460
#define PROMOTION_PORT 8466
#define INSTANCE_PORT 8369
#define MACHINES_MAX 8

enum
{
  HELD = 0,
  BROKEN = 1,
  CANNOT_RUN = 2
};

/* Opens record.txt in the folder RECORD names, and picks the addresses.
   TROUBLE=0 in the environment makes kit_trouble() false. */
void kit_start (void);
bool kit_trouble (void);
/* Ends all processes and removes the temporary folder; returns @status. */
int kit_end (int status);
/* The loopback address of machine or stand-in @n of the run. */
const char *kit_address (unsigned n);
const char *kit_folder (void);
int64_t kit_now_ms (void);
void kit_sleep_ms (int64_t ms);
/* Writes a line with the time since the start to record.txt. */
void kit_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/* As kit_record(), then ends the run with CANNOT_RUN. */
void kit_give_up (const char *format, ...)
    __attribute__ ((format (printf, 1, 2), noreturn));

/* Starts the stand-in review/bin/instances for a service, at machine address
   @n; its output goes to NAME.log.  Sets @input to where commands go. */
pid_t kit_instances_start (const char *name, unsigned n, unsigned controls,
                           int *input);
/* Sends a command line to a stand-in. */
void kit_command (int input, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Copies the lines of NAME.log that contain @word to record.txt.  Returns how
   many there are. */
unsigned kit_copy_log (const char *name, const char *word);
void kit_kill (pid_t pid, int signal);

/* A machine that runs the role front, and with a disk also core. */
struct machine
{
  unsigned number;
  bool has_disk;
  /* Counts the disks that it has had. */
  unsigned disk;
  pid_t front;
  pid_t core;
};

/* Number of machines whose control addresses are the seeds. */
void kit_set_seeds (unsigned count);
/* Starts the processes of a machine; @first when the whole system starts for
   the first time. */
void kit_machine_start (struct machine *m, bool first);
/* Ends the processes of a machine with SIGKILL, as a loss of power does. */
void kit_machine_kill (struct machine *m);

/* Sends a request and reads the response.  Returns the status, 0 without a
   complete response in time.  @body is written, cut to @size. */
int kit_http (const char *method, const char *address, unsigned port,
              const char *path, const char *content, int timeout_ms,
              char *body, size_t size);
/* The same at the control address of a machine; follows a 307 twice. */
int kit_control (unsigned machine, const char *method, const char *path,
                 const char *content, char *body, size_t size);
/* The same at an address. */
int kit_control_at (const char *address, const char *method, const char *path,
                    const char *content, char *body, size_t size);
/* Sends a configuration to one machine after the other until it is
   acknowledged.  Returns the machine that did, or -1 after @timeout_ms. */
int kit_configure (const unsigned *machines, size_t count,
                   const char *document, int timeout_ms);
/* Whether a front answers the readiness question with 200. */
bool kit_is_ready (unsigned machine);

/* A session of a requester. */
struct session
{
  int fd;
  char in[1 << 16];
  size_t len;
};

/* Waits until a front is ready and a read by a new session succeeds there. */
void kit_await_service (unsigned machine, const char *database,
                        const char *key);
/* Makes further sessions ones with a small window, as over a slow link. */
void kit_small_windows (bool small);
/* Connects and sends STARTUP.  Returns whether READY came in time. */
bool kit_session_open (struct session *s, const char *address,
                       const char *database, const char *key);
void kit_session_close (struct session *s);
/* Reads one line without its end.  Returns false at the end of the connection
   or after @timeout_ms. */
bool kit_session_line (struct session *s, char *line, size_t size,
                       int timeout_ms);
/* Sends a statement and reads its answer: the first line that is COMPLETE or
   ERROR into @result, the last ROW into @row, the READY line into @ready; each
   may be NULL.  Returns false without a complete answer. */
bool kit_query (struct session *s, const char *id, const char *text,
                char *result, char *row, char *ready, size_t size,
                int timeout_ms);
bool kit_send_all (int fd, const char *data, size_t len);

#endif
