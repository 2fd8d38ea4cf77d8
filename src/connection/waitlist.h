/**
 * DOC: Wait queue of statements: one per service on each host, and one for
 * rate limit tokens.
 *
 * An entry is embedded in the statement that waits, so the queue allocates
 * only the accounts of teams.  The module does no I/O and reads no clock.
 */
#ifndef CFS_WAITLIST_H
#define CFS_WAITLIST_H

#include "../request/vtime.h"

/* Maximum number of waiting statements. */
#define WAITLIST_MAX 1024
/* Priorities are 0 to this; lower ones count as this. */
#define WAITLIST_CLASS_MAX 15
/* Number of kinds, which are the lowest bits of the masks. */
#define WAITLIST_KINDS 4

struct cfs_waitlist;
struct cfs_wait_team;

/**
 * struct cfs_waiter - a waiting statement; zero while it does not wait
 * @list: queue that it is in, or NULL
 * @owner: the statement's owner, for the user of the queue
 * @kind: bit of what it waits for
 * @class: priority, 0 is the most urgent
 * @in_transaction: belongs to a transaction in progress
 * @arrived: when the caller sent it
 * @due: when it should have been served
 * @retry_at: it is not picked before
 * @number: order of arrival in the queue
 * @pass: the last pass in which it was picked
 * @charged_us: service time charged to the team when it was served, 0 if none
 */
struct cfs_waiter
{
  struct cfs_waitlist *list;
  struct cfs_waiter *next;
  struct cfs_waiter *prev;
  struct cfs_wait_team *team;
  void *owner;
  unsigned kind;
  uint32_t class;
  bool in_transaction;
  int64_t arrived;
  int64_t due;
  int64_t retry_at;
  uint64_t number;
  uint64_t pass;
  int64_t charged_us;
};

/**
 * struct cfs_wait_flow - recent statements of one kind
 * @arrived: by class, statements that were queued, each counting less as it
 * gets older
 * @served: statements that were served, likewise
 * @counted_at: time that these refer to
 * @waiting: entries in the queue
 * @waiting_since: time since which there were always some
 */
struct cfs_wait_flow
{
  double arrived[WAITLIST_CLASS_MAX + 1];
  double served;
  int64_t counted_at;
  size_t waiting;
  int64_t waiting_since;
};

/**
 * struct cfs_waitlist - the queue
 * @by_class: ordered by transaction, class, team and time left; else by
 * arrival
 * @vtime: virtual time of the queue
 * @number: number of the next entry
 * @pass: number of the present pass, see cfs_waitlist_begin_pass()
 * @served: statements served
 * @mark: number of the present count of teams
 * @flow: by kind, see struct cfs_wait_flow
 */
struct cfs_waitlist
{
  struct cfs_waiter *first;
  struct cfs_waiter *last;
  size_t count;
  bool by_class;
  struct cfs_wait_team *teams;
  double vtime;
  uint64_t number;
  uint64_t pass;
  uint64_t served;
  uint64_t mark;
  struct cfs_wait_flow flow[WAITLIST_KINDS];
};

/** cfs_waitlist_end() - frees the accounts of a queue, which must be empty;
 * zeroed memory is an empty queue */
void cfs_waitlist_end (struct cfs_waitlist *list);

/**
 * cfs_waitlist_add() - queues a statement
 * @waiter: entry with owner, kind, class, transaction, times; not in a queue
 * @team: team on whose behalf the statement runs
 *
 * Return: NULL, or if the queue is full, the entry that is served last; it is
 * not in the queue and must be rejected.  That may be @waiter.
 */
struct cfs_waiter *cfs_waitlist_add (struct cfs_waitlist *list,
                                     struct cfs_waiter *waiter,
                                     const char *team, int64_t now);

/** cfs_waitlist_remove() - removes an entry, if it is in a queue */
void cfs_waitlist_remove (struct cfs_waiter *waiter);

/** cfs_waitlist_begin_pass() - allows every entry to be picked once more */
void cfs_waitlist_begin_pass (struct cfs_waitlist *list);

/**
 * cfs_waitlist_pick() - the entry to be advanced next in this pass
 * @kinds: mask of the kinds that can be served
 *
 * Return: an entry that was queued before this pass and not picked in it, or
 * NULL.  It stays in the queue.
 */
struct cfs_waiter *cfs_waitlist_pick (struct cfs_waitlist *list,
                                      unsigned kinds, int64_t now);

/** cfs_waitlist_block_team() - the entries of the team of an entry are not
 * picked before @until; does nothing for an entry that is in no queue */
void cfs_waitlist_block_team (struct cfs_waiter *waiter, int64_t until);

/** cfs_waitlist_has() - whether an entry of the mask waits, of @team or if it
 * is NULL of any team */
bool cfs_waitlist_has (const struct cfs_waitlist *list, unsigned kinds,
                       const char *team);

/** cfs_waitlist_ahead() - estimated number of statements of its kind that are
 * served before an entry of the queue */
size_t cfs_waitlist_ahead (const struct cfs_waiter *waiter, int64_t now);

/**
 * cfs_waitlist_rate() - statements per microsecond that are served of the
 * class of an entry and lower ones
 * @capacity: rate by learned capacity, used until the queue has been measured
 *
 * Return: the rate of service minus that of arrivals of more urgent classes;
 * may be negative.
 */
double cfs_waitlist_rate (const struct cfs_waiter *waiter, double capacity,
                          int64_t now);

/** cfs_waitlist_serve() - removes an entry whose statement is served and
 * charges its team the estimated service time, unless it was charged before */
void cfs_waitlist_serve (struct cfs_waiter *waiter, int64_t now);

/** cfs_waitlist_done() - replaces the charged estimate by the service time
 * that the statement of a team took */
void cfs_waitlist_done (struct cfs_waitlist *list, const char *team,
                        int64_t charged_us, int64_t used_us);

#endif
