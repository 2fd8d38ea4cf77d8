/**
 * DOC: Learned capacity of one target, as one host sees it: a concurrency
 * limit, service times by class, and a failure rate with ejection.
 *
 * Owned by the state that the connection pool keeps for each target.  The
 * module does no I/O and reads no clock.
 */
#ifndef CFS_CAPACITY_H
#define CFS_CAPACITY_H

#include "../cfs.h"

/**
 * enum cfs_capacity_class - classes of statements with a service time of
 * their own
 * @CAPACITY_CLASSES: number of classes
 */
enum cfs_capacity_class
{
  CAPACITY_READ,
  CAPACITY_WRITE,
  CAPACITY_COMMIT,
  CAPACITY_CLASSES
};

/**
 * enum cfs_capacity_outcome - what a result says about the target
 * @CAPACITY_OK: the statement succeeded
 * @CAPACITY_BUSY: rejected because of overload; counts towards the limit
 * @CAPACITY_FAILED: failed, timed out, or the connection broke; counts towards
 * the failure rate
 */
enum cfs_capacity_outcome
{
  CAPACITY_OK,
  CAPACITY_BUSY,
  CAPACITY_FAILED
};

/**
 * enum cfs_capacity_state - whether reads that have a choice use the target
 * @CAPACITY_CLOSED: used normally
 * @CAPACITY_EJECTED: not used while another target is eligible
 * @CAPACITY_PROBING: used for one statement at a time until enough succeed
 */
enum cfs_capacity_state
{
  CAPACITY_CLOSED,
  CAPACITY_EJECTED,
  CAPACITY_PROBING
};

/**
 * struct cfs_capacity_time - service time of one class in microseconds
 * @average_us: moving average at any load, 0 if it is not known
 * @baseline_us: moving average without queueing, 0 if it is not known
 * @noted_at: time of the last sample
 */
struct cfs_capacity_time
{
  double average_us;
  double baseline_us;
  int64_t noted_at;
};

/**
 * struct cfs_capacity - learned capacity of one target; zero is a valid
 * initial state
 * @declared: declared slots that @limit started from, 0 if none yet
 * @limit: statements that this host may have in flight
 * @in_flight: statements that this host has in flight
 * @lowered_at: time of the last reduction of @limit
 * @failures: failed statements, each counting less as it gets older
 * @results: all statements, likewise
 * @decayed_at: time that @failures and @results refer to
 * @ejected_until: end of the ejection, 0 while the target is not ejected
 * @ejection_us: duration of the last ejection; it doubles with each
 * @probes: successive successes since the ejection
 * @ejections: number of ejections
 */
struct cfs_capacity
{
  uint32_t declared;
  double limit;
  unsigned in_flight;
  int64_t lowered_at;
  struct cfs_capacity_time times[CAPACITY_CLASSES];
  double failures;
  double results;
  int64_t decayed_at;
  int64_t ejected_until;
  int64_t ejection_us;
  unsigned probes;
  uint64_t ejections;
};

/**
 * cfs_capacity_declare() - sets the first estimate of the limit
 * @slots: slots that the target declares; values out of range are clamped
 *
 * Another number than before starts the limit anew.
 */
void cfs_capacity_declare (struct cfs_capacity *capacity, uint32_t slots);

/**
 * cfs_capacity_enter() - counts a statement as in flight
 *
 * Return: the statements in flight, including this one; to be passed to
 * cfs_capacity_note_result().
 */
unsigned cfs_capacity_enter (struct cfs_capacity *capacity);

/** cfs_capacity_leave() - ends a statement in flight */
void cfs_capacity_leave (struct cfs_capacity *capacity);

/** cfs_capacity_has_room() - whether the limit allows another statement */
bool cfs_capacity_has_room (const struct cfs_capacity *capacity);

/**
 * cfs_capacity_note_result() - records the result of a statement
 * @class: class of the statement
 * @outcome: what the result says about the target
 * @load: return value of cfs_capacity_enter() for the statement
 * @took_us: time from sending to the reply, used with CAPACITY_OK only
 */
void cfs_capacity_note_result (struct cfs_capacity *capacity,
                               enum cfs_capacity_class class,
                               enum cfs_capacity_outcome outcome,
                               unsigned load, int64_t took_us, int64_t now);

/** cfs_capacity_state() - whether the target is ejected */
enum cfs_capacity_state
cfs_capacity_state (const struct cfs_capacity *capacity, int64_t now);

/** cfs_capacity_should_eject() - whether the recent failures are evidence
 * enough to eject a target that is not ejected */
bool cfs_capacity_should_eject (const struct cfs_capacity *capacity,
                                int64_t now);

/** cfs_capacity_eject() - ejects the target */
void cfs_capacity_eject (struct cfs_capacity *capacity, int64_t now);

/** cfs_capacity_accepts_read() - whether a read that has a choice may use the
 * target, by the limit and the ejection */
bool cfs_capacity_accepts_read (const struct cfs_capacity *capacity,
                                int64_t now);

/** cfs_capacity_penalty_us() - time in microseconds to add to the expected
 * latency of the target because of its recent failures */
int64_t cfs_capacity_penalty_us (const struct cfs_capacity *capacity,
                                 int64_t now);

/** cfs_capacity_service_us() - learned service time of a class in
 * microseconds, 0 if it was not measured recently */
int64_t cfs_capacity_service_us (const struct cfs_capacity *capacity,
                                 enum cfs_capacity_class class, int64_t now);

/** cfs_capacity_state_name() - name of a state in log lines */
const char *cfs_capacity_state_name (enum cfs_capacity_state state);

#endif
