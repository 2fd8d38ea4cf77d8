/**
 * DOC: Internals of the connections to PostgreSQL instances, shared by pg.c
 * and pg_work.c.
 */
#ifndef CFS_PG_INT_H
#define CFS_PG_INT_H

#include "pg.h"

#include <libpq-fe.h>

#define WORK_CONNECTIONS (GATE_CONNECTIONS_MAX * GATE_INSTANCES_MAX)
#define STEPS_MAX 8

/* One statement of a pipeline; STEP_POSITION_AFTER is the position query after
   the statement of a read. */
enum step
{
  STEP_BEGIN,
  STEP_BEGIN_READ,
  STEP_POSITION,
  STEP_POSITION_AFTER,
  STEP_STATEMENT,
  STEP_COMMIT,
  STEP_ROLLBACK,
  STEP_RECORD_KEY,
  STEP_STORE_RESULT,
  STEP_FETCH_RESULT,
  STEP_PROMOTE
};

enum conn_state
{
  CONN_NONE = 0,
  CONN_CONNECTING,
  CONN_IDLE,
  CONN_RUNNING
};

/* Purpose of the pipeline in progress: the work itself; storing the result of
   a write with a key; fetching the stored result after the key was found to
   exist; rolling back after an error. */
enum stage
{
  STAGE_WORK,
  STAGE_STORE_RESULT,
  STAGE_FETCH_RESULT,
  STAGE_ROLLBACK
};

/**
 * struct pg_conn - a connection and its work
 * @probe: reserved for the probes and promotions of instance @inst
 * @pq: libpq connection
 * @watch: handle of the event loop for @fd
 * @started_at: when the connect or the probe was started
 * @step_at: number of steps whose results have been read
 * @commit_sent: COMMIT was sent, so the work may have taken effect
 * @error: message of the first error, @sqlstate its code
 * @result_found: a stored result exists for the idempotency key
 * @digest_differs: it belongs to another request
 * @promote_term: term of a pending promotion, 0 for none
 * @term_text: that term as the text of a parameter
 * @failed: failed immediately, to be reported by cfs_pg_report_failures()
 */
struct pg_conn
{
  struct cfs_pg *pg;
  unsigned index;
  unsigned inst;
  bool probe;
  enum conn_state state;
  PGconn *pq;
  int watch;
  int fd;
  int64_t started_at;
  enum cfs_work work;
  enum stage stage;
  struct cfs_request *request;
  enum step steps[STEPS_MAX];
  unsigned step_count;
  unsigned step_at;
  bool commit_sent;
  struct cfs_work_result result;
  char *error;
  char sqlstate[6];
  bool result_found;
  bool digest_differs;
  char term_text[24];
  uint64_t term_start;
  bool accepts_writes;
  uint64_t promote_term;
  bool failed;
};

/**
 * struct cfs_pg - see pg.h
 * @conns: connections by the gate's index, then one probe connection per
 * instance
 * @conns_used: one more than the highest index that the gate has used
 */
struct cfs_pg
{
  struct cfs_pg_setup setup;
  struct cfs_gate *gate;
  struct pg_conn conns[WORK_CONNECTIONS + GATE_INSTANCES_MAX];
  unsigned conns_used;
};

/** pg_watch_conn() - waits for events on the socket of a connection, which
 * libpq may have replaced */
void pg_watch_conn (struct pg_conn *conn, int events);

/** pg_conn_failed() - closes a connection and tells the gate whether the work
 * in progress may have taken effect */
void pg_conn_failed (struct pg_conn *conn);

/** pg_send_steps() - sends the statements of a stage as one pipeline; a
 * failure is reported by cfs_pg_report_failures() */
void pg_send_steps (struct pg_conn *conn, enum stage stage,
                    const enum step *steps, unsigned count);

/** pg_handle_result() - takes the result of the current step */
void pg_handle_result (struct pg_conn *conn, PGresult *res);

/** pg_finish_pipeline() - all steps of the pipeline have their results: starts
 * the next stage or passes the result to the gate */
void pg_finish_pipeline (struct pg_conn *conn);

#endif
