/**
 * DOC: Protocol adapters for connections from callers and to targets.
 *
 * Each adapter is a small vtable, implemented once per platform.  This header
 * defines the protocol-independent statements, replies and positions; an
 * adapter only translates between its protocol and these types.
 */
#ifndef CFS_ADAPTER_H
#define CFS_ADAPTER_H

#include "../cfs.h"

/**
 * struct cfs_position - position in a group's replicated log
 * @term: term of the log's primary; 0 if the position is unknown
 * @number: position within the log
 */
struct cfs_position
{
  uint64_t term;
  uint64_t number;
};

/** cfs_position_compare() - orders positions by term, then number, with the
 * result convention of strcmp() */
int cfs_position_compare (const struct cfs_position *a,
                          const struct cfs_position *b);

/**
 * enum cfs_verb - kinds of statements
 * @VERB_BEGIN: starts a read-write transaction
 * @VERB_BEGIN_READ: starts a read-only transaction
 * @VERB_COMMIT: commits a transaction
 * @VERB_ROLLBACK: rolls a transaction back
 * @VERB_READ: reads an item
 * @VERB_WRITE: writes an item
 * @VERB_SET: sets a session variable
 * @VERB_PREPARE: creates a prepared statement
 * @VERB_EXECUTE: runs a prepared statement
 * @VERB_DEALLOCATE: removes a prepared statement
 * @VERB_RESET: clears the session variables and prepared statements of a
 * connection
 * @VERB_STATUS: queries the state of an instance
 * @VERB_PAUSE: stops replication to a replica
 * @VERB_RESUME: resumes replication to a replica
 * @VERB_DEMOTE: turns a primary of a lower term into a replica
 */
enum cfs_verb
{
  VERB_BEGIN,
  VERB_BEGIN_READ,
  VERB_COMMIT,
  VERB_ROLLBACK,
  VERB_READ,
  VERB_WRITE,
  VERB_SET,
  VERB_PREPARE,
  VERB_EXECUTE,
  VERB_DEALLOCATE,
  VERB_RESET,
  VERB_STATUS,
  VERB_PAUSE,
  VERB_RESUME,
  VERB_DEMOTE
};

/** cfs_verb_name() - name of a verb in log lines */
const char *cfs_verb_name (enum cfs_verb verb);

/**
 * struct cfs_statement - one statement; strings are owned by the sender
 * @id: request id, NULL for statements that the proxy itself issues
 * @name: name of a session variable or prepared statement, else NULL
 * @arg: item, data, value or statement text, as the caller wrote it, or NULL
 * @writes: with VERB_PREPARE: the prepared statement writes
 * @after: minimum position that the instance's log must have reached, term 0
 * for none
 * @term: term of the failover, with VERB_PAUSE and VERB_DEMOTE only
 */
struct cfs_statement
{
  enum cfs_verb verb;
  const char *id;
  const char *name;
  const char *arg;
  bool writes;
  struct cfs_position after;
  uint64_t term;
};

/**
 * enum cfs_reply_code - result of a statement
 * @REPLY_OK: succeeded
 * @REPLY_BUSY: not run, overloaded
 * @REPLY_BEHIND: not run, the log has not reached the required position
 * @REPLY_NOT_PRIMARY: not run, the instance is not the primary
 * @REPLY_WRONG_TARGET: not run, another instance is at this address
 * @REPLY_NO_CONNECTION: not run, the instance's connection limit is reached
 * @REPLY_UNPREPARED: not run, no such prepared statement
 * @REPLY_ABORTED: the transaction was rolled back without effect
 * @REPLY_FAILED: run, and failed
 * @REPLY_TIMEOUT: run, but not finished within the timeout
 * @REPLY_UNKNOWN: may or may not have taken effect
 * @REPLY_MALFORMED: not run, malformed or not allowed in this state
 * @REPLY_NO_DATABASE: not run, no route for this database name
 * @REPLY_NO_KEY: not run, unknown API key
 * @REPLY_OTHER: an error code unknown to this program
 * @REPLY_CODES: number of codes
 */
enum cfs_reply_code
{
  REPLY_OK,
  REPLY_BUSY,
  REPLY_BEHIND,
  REPLY_NOT_PRIMARY,
  REPLY_WRONG_TARGET,
  REPLY_NO_CONNECTION,
  REPLY_UNPREPARED,
  REPLY_ABORTED,
  REPLY_FAILED,
  REPLY_TIMEOUT,
  REPLY_UNKNOWN,
  REPLY_MALFORMED,
  REPLY_NO_DATABASE,
  REPLY_NO_KEY,
  REPLY_OTHER,
  REPLY_CODES
};

/** cfs_reply_name() - name of a code in log lines and metrics */
const char *cfs_reply_name (enum cfs_reply_code code);

/** enum cfs_tx_state - transaction state of a session or a connection */
enum cfs_tx_state
{
  TX_IDLE,
  TX_OPEN,
  TX_FAILED
};

/**
 * struct cfs_reply - reply to a statement; strings are owned by the sender
 * @code: result
 * @rows: the rows as consecutive null-terminated strings
 * @row_count: number of rows
 * @proof: the instance's proof that it executed the statement, or NULL
 * @text: error message, may be NULL
 * @state: transaction state of the connection after the statement
 * @position: position of the instance's log, term 0 if not given
 */
struct cfs_reply
{
  enum cfs_reply_code code;
  const char *rows;
  size_t row_count;
  const char *proof;
  const char *text;
  enum cfs_tx_state state;
  struct cfs_position position;
};

struct cfs_caller;

/**
 * struct cfs_caller_ops - operations on a caller's connection
 * @admitted: called once for a session whose admission was deferred; unless
 * @code is REPLY_OK the session has been freed and @caller closes itself
 * @reply: sends the reply to the caller's current statement
 * @close: closes the connection without a message; @caller and its session
 * must not be used afterwards
 */
struct cfs_caller_ops
{
  void (*admitted) (struct cfs_caller *caller, enum cfs_reply_code code);
  void (*reply) (struct cfs_caller *caller, const struct cfs_reply *reply);
  void (*close) (struct cfs_caller *caller);
};

/** struct cfs_caller - base of an adapter's connection from a caller */
struct cfs_caller
{
  const struct cfs_caller_ops *ops;
};

/** cfs_out_of_step - reason for which a connection is lost whose replies do
 * not match its statements; compared by address */
extern const char cfs_out_of_step[];

struct cfs_target_conn;

/**
 * struct cfs_target_conn_ops - operations on a connection to an instance
 * @send: queues statements in order; each receives one reply
 * @close: closes the connection immediately and frees it; no event follows
 */
struct cfs_target_conn_ops
{
  void (*send) (struct cfs_target_conn *conn,
                const struct cfs_statement *statements, size_t count);
  void (*close) (struct cfs_target_conn *conn);
};

/** struct cfs_target_conn - base of an adapter's connection to an instance */
struct cfs_target_conn
{
  const struct cfs_target_conn_ops *ops;
};

/**
 * struct cfs_target_conn_events - callbacks to the owner of a connection
 * @opened: the instance accepted or refused the connection; the owner must
 * close a refused one
 * @replied: reply to the oldest outstanding statement
 * @lost: the connection broke and has been freed
 * @refused: as @lost, but nothing listens at the address; if it is NULL, @lost
 * is called instead
 */
struct cfs_target_conn_events
{
  void (*opened) (void *owner, const struct cfs_reply *reply);
  void (*replied) (void *owner, const struct cfs_reply *reply);
  void (*lost) (void *owner, const char *reason);
  void (*refused) (void *owner, const char *reason);
};

/* Team in whose name control hosts connect. */
#define CFS_CONTROL_TEAM "control"

/**
 * struct cfs_target_conn_setup - parameters of a new connection
 * @address: "IP:PORT"
 * @service: name of the group that the instance must belong to
 * @team: team whose statements the connection carries
 * @target: name that the instance must identify itself with
 */
struct cfs_target_conn_setup
{
  const char *address;
  const char *service;
  const char *team;
  const char *target;
  const struct cfs_target_conn_events *events;
  void *owner;
};

/**
 * struct cfs_instance_state - state reported by an instance
 * @primary: whether it is the primary
 * @term: its current term
 * @received: position of the last entry in its log
 * @paused_term: term of the failover for which replication is paused, 0 if the
 * instance receives the log
 */
struct cfs_instance_state
{
  bool primary;
  uint64_t term;
  struct cfs_position received;
  uint64_t paused_term;
};

/**
 * struct cfs_target_adapter - adapter for one platform's instance protocol
 * @open: starts connecting; returns NULL on immediate failure
 * @read_status: decodes the reply to VERB_STATUS, VERB_PAUSE, VERB_RESUME
 * and VERB_DEMOTE; false if it is malformed
 */
struct cfs_target_adapter
{
  struct cfs_target_conn *(*open) (const struct cfs_target_adapter *adapter,
                                   const struct cfs_target_conn_setup *setup);
  bool (*read_status) (const struct cfs_reply *reply,
                       struct cfs_instance_state *out);
};

#endif
