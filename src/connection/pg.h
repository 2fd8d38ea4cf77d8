/**
 * DOC: Connections to the instances of one group, by non-blocking libpq.
 *
 * Carries out the gate's effects: it opens connections, runs each kind of
 * work as a pipeline of statements, and probes positions.  What differs
 * between platforms stands in struct cfs_platform.
 */
#ifndef CFS_PG_H
#define CFS_PG_H

#include "../process/loop.h"
#include "../request/gate.h"

/**
 * struct cfs_platform - statements that a target platform offers
 * @position: gives one row: term, position, start of the term, and 't' when
 * the instance accepts writes
 * @promote: orders the instance to lead in the term $1
 * @record_key: records team $1, key $2, digest $3; fails when it is recorded
 * @store_result: sets the result $3 of team $1 and key $2
 * @fetch_result: gives digest and result of team $1 and key $2
 */
struct cfs_platform
{
  const char *position;
  const char *promote;
  const char *record_key;
  const char *store_result;
  const char *fetch_result;
};

/** cfs_platform_sql - the platform of the users' database groups */
extern const struct cfs_platform cfs_platform_sql;

/** struct cfs_sql - statement of a request, for the connection to run */
struct cfs_sql
{
  const char *text;
  const char *const *params;
  int param_count;
  char digest[65];
};

/**
 * struct cfs_pg_setup - parameters of cfs_pg_new()
 * @statement: gives the statement that a request carries
 */
struct cfs_pg_setup
{
  struct cfs_loop *loop;
  const struct cfs_platform *platform;
  const char *user;
  const char *database;
  const char *password;
  const struct cfs_sql *(*statement) (const struct cfs_request *request);
};

struct cfs_pg;

/** cfs_pg_new() - no connections yet; freed by cfs_pg_free() */
struct cfs_pg *cfs_pg_new (const struct cfs_pg_setup *setup);

/** cfs_pg_set_gate() - names the gate that events go to */
void cfs_pg_set_gate (struct cfs_pg *pg, struct cfs_gate *gate);

/** cfs_pg_free() - closes all connections without telling the gate */
void cfs_pg_free (struct cfs_pg *pg);

/** cfs_pg_connect() - effect connect of the gate */
void cfs_pg_connect (struct cfs_pg *pg, unsigned conn, unsigned inst);

/** cfs_pg_close() - effect close of the gate */
void cfs_pg_close (struct cfs_pg *pg, unsigned conn);

/** cfs_pg_run() - effect run of the gate; bodies are malloc'd JSON texts */
void cfs_pg_run (struct cfs_pg *pg, unsigned conn, enum cfs_work work,
                 struct cfs_request *request);

/** cfs_pg_probe() - effect probe of the gate */
void cfs_pg_probe (struct cfs_pg *pg, unsigned inst);

/** cfs_pg_promote() - effect promote of the gate */
void cfs_pg_promote (struct cfs_pg *pg, unsigned inst, uint64_t term);

/** cfs_pg_tick() - ends attempts to connect that take too long */
void cfs_pg_tick (struct cfs_pg *pg, int64_t now);

/** cfs_pg_report_failures() - tells the gate of work that ended at once */
void cfs_pg_report_failures (struct cfs_pg *pg);

#endif
