/*
 * Parts of the stand-in database group: group.c (connections, commands),
 * group_log.c (instances, log), group_promotion.c (HTTP requests that promote)
 * and group_statements.c (statements, replies, late orders).
 */
#ifndef GROUP_H
#define GROUP_H

#include <poll.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define INSTANCES_MAX 4
#define CONNECTIONS 256
#define PROMOTIONS 16
#define ID_BYTES 64
#define OWNER_BYTES 32
#define LINE_BYTES 256
#define REPLY_BYTES 1024
#define BUFFER_BYTES 4096
#define TX_WRITES_MAX 16
#define PREPARED_MAX 16
/* Delay of what is carried out late. */
#define LATE_MIN_MS 2000
#define LATE_MAX_MS 5000
/* From the response to a promotion request to its effect. */
#define PROMOTION_MS 300

/* A committed write; writes of one transaction have the same number. */
struct log_entry
{
  char id[ID_BYTES];
  char item[64];
  char data[64];
  uint64_t commit_number;
};

struct instance
{
  int fd;
  bool up;
  /* By the command "deaf". */
  bool replication_cut;
  /* Term of the PAUSE in force, or 0. */
  uint64_t held_term;
  /* Position: the term and the last commit received. */
  uint64_t term;
  uint64_t received;
};

struct connection
{
  int fd;
  /* Distinct for each connection accepted. */
  unsigned serial;
  int instance;
  bool started;
  /* A late order: nothing more is read from the connection. */
  bool stalled;
  /* I outside a transaction, T in one, E in a failed one. */
  char state;
  /* Commit whose reply waits for a replica, or 0, and its proof. */
  uint64_t awaited_commit;
  uint64_t awaited_proof;
  /* The present statement, and the caller whose transaction is open. */
  char id[ID_BYTES];
  char owner[OWNER_BYTES];
  bool read_only;
  /* Term in which the transaction began. */
  uint64_t tx_term;
  struct log_entry tx_writes[TX_WRITES_MAX];
  size_t tx_write_count;
  /* Prepared statements, "NAME TEXT". */
  char prepared[PREPARED_MAX][LINE_BYTES];
  size_t prepared_count;
  char *input;
  size_t input_cap;
  size_t input_len;
  /* The reply being formed. */
  char reply[REPLY_BYTES];
  size_t reply_len;
};

extern const char *service;
extern struct connection connections[CONNECTIONS];
extern struct instance instances[INSTANCES_MAX];
extern int instance_count;
/* Index of the primary, also while it is down; -1 after a DEMOTE. */
extern int primary;
extern uint64_t term;

int64_t now_ms (void);
/* Prints a line that begins with the time of day. */
void print_event (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/* A number from 0 to @bound - 1. */
unsigned random_below (unsigned bound);
int listen_on (const char *port);

bool is_primary (int instance);
/* Sends the last commit to all instances that receive. */
void replicate (void);
/* Whether an instance other than the one that committed it has the commit. */
bool is_replicated (int instance, uint64_t commit_number);
/* Commits the writes of a connection.  Return: the number of the commit, 0 if
   there was nothing to write. */
uint64_t commit_writes (struct connection *c);
/* A PAUSE with a term that is not above the newest has no effect. */
void pause_instance (int instance, uint64_t pause_term);
void demote_instance (int instance, uint64_t demote_term);
/* Makes the instance primary of the next term with what it has received. */
void promote (int instance);
/* The data of the last commit of the item that the instance has, or NULL. */
const char *find_item (int instance, const char *item);
void dump_log (void);

void handle_line (struct connection *c, char *line);
/* Sends the reply formed, and a copy of it later while replies stutter. */
void send_reply (struct connection *c);
void complete_waiting_commits (void);
void set_stutter (unsigned percent, unsigned delay_ms);
void delay_orders (unsigned count);
void run_late_replies_and_orders (void);

void promotions_start (const char *port);
void delay_promotions (unsigned count);
/* Adds the sockets of the promotion requests to @fds.  Return: how many. */
size_t promotions_fds (struct pollfd *fds);
void promotions_tick (const struct pollfd *fds);

#endif
