/**
 * DOC: Connections to the instances of one group, using non-blocking libpq.
 *
 * Implements the operations that the gate requests: opens connections, runs
 * each kind of work as a pipeline of statements, probes positions and promotes
 * instances.  Platform-specific SQL is in struct cfs_platform.
 */
#ifndef CFS_PG_H
#define CFS_PG_H

#include "../process/loop.h"
#include "../request/gate.h"

/**
 * struct cfs_platform - SQL statements of a target platform
 * @position: returns one row: term, position, start of the term, and 't' if
 * the instance accepts writes
 * @promote: promotes the instance to primary in term $1
 * @record_key: records the idempotency key $2 of team $1 with the request
 * digest $3; fails with a unique violation if the key is recorded already
 * @store_result: stores the result $3 of team $1 and key $2
 * @fetch_result: returns the digest and the result of team $1 and key $2
 */
struct cfs_platform
{
  const char *position;
  const char *promote;
  const char *record_key;
  const char *store_result;
  const char *fetch_result;
};

/** cfs_platform_sql - platform of the database groups */
extern const struct cfs_platform cfs_platform_sql;

/**
 * struct cfs_sql - SQL statement of a request
 * @digest: digest of the request, in hexadecimal; detects the reuse of an
 * idempotency key for another request
 */
struct cfs_sql
{
  const char *text;
  const char *const *params;
  int param_count;
  char digest[65];
};

/**
 * struct cfs_pg_setup - parameters of cfs_pg_new()
 * @statement: returns the SQL statement of a request
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

/** cfs_pg_set_gate() - sets the gate that receives the events */
void cfs_pg_set_gate (struct cfs_pg *pg, struct cfs_gate *gate);

/** cfs_pg_free() - closes all connections without notifying the gate */
void cfs_pg_free (struct cfs_pg *pg);

/** cfs_pg_connect() - the gate's operation connect */
void cfs_pg_connect (struct cfs_pg *pg, unsigned conn, unsigned inst);

/** cfs_pg_close() - the gate's operation close */
void cfs_pg_close (struct cfs_pg *pg, unsigned conn);

/** cfs_pg_run() - the gate's operation run; bodies of results are JSON texts
 * allocated by malloc() */
void cfs_pg_run (struct cfs_pg *pg, unsigned conn, enum cfs_work work,
                 struct cfs_request *request);

/** cfs_pg_probe() - the gate's operation probe */
void cfs_pg_probe (struct cfs_pg *pg, unsigned inst);

/** cfs_pg_promote() - the gate's operation promote */
void cfs_pg_promote (struct cfs_pg *pg, unsigned inst, uint64_t term);

/** cfs_pg_tick() - closes connections whose connect or probe timed out */
void cfs_pg_tick (struct cfs_pg *pg, int64_t now);

/** cfs_pg_report_failures() - notifies the gate of operations that failed
 * immediately; deferred so that the gate is not called from its own operation
 */
void cfs_pg_report_failures (struct cfs_pg *pg);

#endif
