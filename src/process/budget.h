/**
 * DOC: Budget of memory and connections for clients that are not under our
 * control.
 *
 * Each connection has an account, and each use of memory for it a purpose.
 * The owner of a connection asks before a receive buffer grows, and reports
 * everything else.  The module has no I/O and no clock: it says whether to
 * read on, whether a session may begin, and which connection is to be closed.
 */
#ifndef CFS_BUDGET_H
#define CFS_BUDGET_H

#include "../cfs.h"

#include <glib.h>

/* A receive buffer up to this size is granted whatever is in use, so that
   small requests are read while others hold the whole budget. */
#define BUDGET_SMALL_BYTES (16u << 10)
/* Part of one connection, without its receive buffer.  When it is used,
   reading pauses. */
#define BUDGET_CONNECTION_BYTES (2u << 20)
/* Unsent answers of one connection at which no further statement is run. */
#define BUDGET_UNSENT_BYTES (256u << 10)
/* A statement that is run exists three times: as received, as held by its
   session, and as sent to an instance. */
#define BUDGET_COPIES 3

/**
 * enum cfs_budget_purpose - what the memory of a connection is used for
 * @BUDGET_RECEIVE: the receive buffer
 * @BUDGET_QUEUED: statements that run, or wait for the ones before them
 * @BUDGET_UNSENT: answers that were not sent yet
 * @BUDGET_SESSION: session variables and prepared statements
 */
enum cfs_budget_purpose
{
  BUDGET_RECEIVE,
  BUDGET_QUEUED,
  BUDGET_UNSENT,
  BUDGET_SESSION,
  BUDGET_PURPOSES
};

/**
 * enum cfs_budget_reason - why a connection is closed or refused
 * @BUDGET_CONNECTIONS: too many connections, and it has no session
 * @BUDGET_SESSIONS: too many sessions
 * @BUDGET_STARTUP: no session began in time
 * @BUDGET_STALLED: its peer did not read answers for too long
 * @BUDGET_MEMORY: it held most memory without progress while others waited
 */
enum cfs_budget_reason
{
  BUDGET_CONNECTIONS,
  BUDGET_SESSIONS,
  BUDGET_STARTUP,
  BUDGET_STALLED,
  BUDGET_MEMORY,
  BUDGET_REASONS
};

/**
 * struct cfs_budget_limits - bounds of all connections together
 * @bytes: memory
 * @connections: connections, with or without a session
 * @startup_us: time for a connection to begin a session
 * @stall_us: time without progress in sending answers
 * @pipeline: statements that wait behind the running one of a connection
 */
struct cfs_budget_limits
{
  size_t bytes;
  size_t connections;
  int64_t startup_us;
  int64_t stall_us;
  unsigned pipeline;
};

/**
 * struct cfs_budget_account - account of one connection, embedded in it
 * @next: account of the connection that was opened next
 * @used: bytes by purpose; @total is their sum
 * @opened_at: when the connection was opened
 * @progress_at: last time at which a statement arrived whole, or answers were
 * sent
 * @has_session: its session has begun
 * @waiting: it was refused memory the last time
 * @closing: the budget has picked it to be closed
 */
struct cfs_budget_account
{
  struct cfs_budget_account *next;
  struct cfs_budget_account *prev;
  size_t used[BUDGET_PURPOSES];
  size_t total;
  int64_t opened_at;
  int64_t progress_at;
  bool has_session;
  bool waiting;
  bool closing;
};

/**
 * struct cfs_budget - all accounts
 * @first: oldest connection
 * @count: number of accounts
 * @total: bytes in use
 * @denied: memory was refused since the last cfs_budget_tick()
 * @short_since: since when memory was refused in each round, 0 if it was not
 * @may_close: a connection may be closed for memory in this round
 * @closed_at: when one was last closed for memory
 * @closed: connections that the budget closed or refused, by reason
 */
struct cfs_budget
{
  struct cfs_budget_limits limits;
  struct cfs_budget_account *first;
  struct cfs_budget_account *last;
  size_t count;
  size_t total;
  bool denied;
  int64_t short_since;
  bool may_close;
  int64_t closed_at;
  uint64_t closed[BUDGET_REASONS];
};

/** cfs_budget_init() - starts without accounts; @limits are copied */
void cfs_budget_init (struct cfs_budget *budget,
                      const struct cfs_budget_limits *limits);

/** cfs_budget_open() - adds the account of a new connection */
void cfs_budget_open (struct cfs_budget *budget,
                      struct cfs_budget_account *account, int64_t now);

/** cfs_budget_close() - removes the account of a connection that is closed */
void cfs_budget_close (struct cfs_budget *budget,
                       struct cfs_budget_account *account);

/**
 * cfs_budget_crowded() - whether there is no room for a further connection
 * @victim: set to the connection to close in favour of the new one: the oldest
 * without a session; NULL if the new one is to be refused
 */
bool cfs_budget_crowded (struct cfs_budget *budget,
                         struct cfs_budget_account **victim);

/** cfs_budget_start_session() - whether a connection may begin its session;
 * refused when all memory is in use */
bool cfs_budget_start_session (struct cfs_budget *budget,
                               struct cfs_budget_account *account);

/** cfs_budget_end_session() - the connection is as after cfs_budget_open() */
void cfs_budget_end_session (struct cfs_budget_account *account, int64_t now);

/** cfs_budget_grow() - whether the receive buffer may have @bytes from now on;
 * if not, reading is to pause */
bool cfs_budget_grow (struct cfs_budget *budget,
                      struct cfs_budget_account *account, size_t bytes);

/** cfs_budget_fits() - whether @bytes more may be used; small amounts always
 * may */
bool cfs_budget_fits (struct cfs_budget *budget, size_t bytes);

/** cfs_budget_set() - reports the memory in use for a purpose */
void cfs_budget_set (struct cfs_budget *budget,
                     struct cfs_budget_account *account,
                     enum cfs_budget_purpose purpose, size_t bytes);

/** cfs_budget_must_pause() - whether reading is to pause because the
 * connection's part is used; @queued: its statements that wait */
bool cfs_budget_must_pause (const struct cfs_budget *budget,
                            const struct cfs_budget_account *account,
                            unsigned queued);

/** cfs_budget_tick() - to be called regularly, after paused connections were
 * tried again and before cfs_budget_expired() */
void cfs_budget_tick (struct cfs_budget *budget, int64_t now);

/**
 * cfs_budget_expired() - the next connection to close
 * @reason: set to why
 *
 * Return: its account, or NULL.
 */
struct cfs_budget_account *cfs_budget_expired (struct cfs_budget *budget,
                                               int64_t now,
                                               enum cfs_budget_reason *reason);

/** cfs_budget_reason_name() - name of a reason in log lines and metrics */
const char *cfs_budget_reason_name (enum cfs_budget_reason reason);

/** cfs_budget_metrics() - appends the metrics in the Prometheus text format;
 * @name: kind of the connections, a label */
void cfs_budget_metrics (const struct cfs_budget *budget, const char *name,
                         GString *out);

#endif
