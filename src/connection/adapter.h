/**
 * DOC: The two edges of a host: sessions of callers and links to targets.
 *
 * Each edge is a small vtable with one variant per platform.  Statements,
 * replies and positions are typed here; an edge decodes its protocol into
 * them and decides nothing.
 */
#ifndef CFS_ADAPTER_H
#define CFS_ADAPTER_H

#include "../cfs.h"

/** struct cfs_position - place in a group's log; term 0 is unknown */
struct cfs_position
{
  uint64_t term;
  uint64_t number;
};

/** cfs_position_compare() - negative, 0 or positive as of strcmp() */
int cfs_position_compare (const struct cfs_position *a,
                          const struct cfs_position *b);

/**
 * enum cfs_verb - kinds of statements
 * @VERB_BEGIN: opens a transaction that may write
 * @VERB_BEGIN_READ: opens a transaction that only reads
 * @VERB_COMMIT: ends a transaction and keeps its writes
 * @VERB_ROLLBACK: ends a transaction and drops its writes
 * @VERB_READ: reads an item
 * @VERB_WRITE: writes an item
 * @VERB_SET: sets a value of the session
 * @VERB_PREPARE: names a shape of statements
 * @VERB_EXECUTE: runs a prepared statement
 * @VERB_DEALLOCATE: forgets a prepared name
 * @VERB_RESET: drops values and prepared names of a link
 * @VERB_STATUS: asks an instance for its state
 * @VERB_PAUSE: stops a replica from receiving
 * @VERB_RESUME: lets it receive again
 * @VERB_DEMOTE: makes a primary of a lower term a replica
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

/** cfs_verb_name() - stable name of a verb for logs */
const char *cfs_verb_name (enum cfs_verb verb);

/**
 * struct cfs_statement - one statement; texts belong to the giver
 * @id: request id, NULL for statements of our own
 * @name: of a value or a prepared statement, else NULL
 * @arg: item, data, value or shape, as the caller wrote it, or NULL
 * @writes: with VERB_PREPARE: the shape writes
 * @after: position that the instance must hold, term 0 for none
 * @term: with VERB_PAUSE and VERB_DEMOTE
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
 * enum cfs_reply_code - how a statement ended
 * @REPLY_OK: done
 * @REPLY_BUSY: not run, no room
 * @REPLY_BEHIND: not run, the log lacks the position asked for
 * @REPLY_NOT_PRIMARY: not run, the instance does not lead
 * @REPLY_WRONG_TARGET: not run, another instance is at this address
 * @REPLY_NO_CONNECTION: not run, the instance has all connections it allows
 * @REPLY_UNPREPARED: not run, the prepared name is unknown
 * @REPLY_ABORTED: the transaction was rolled back, nothing is kept
 * @REPLY_FAILED: run and failed
 * @REPLY_TIMEOUT: run, and given up
 * @REPLY_UNKNOWN: it may or may not have taken effect
 * @REPLY_MALFORMED: not run, not allowed here
 * @REPLY_NO_DATABASE: not run, no route has that name
 * @REPLY_NO_KEY: not run, the key is unknown
 * @REPLY_OTHER: an error that this program does not know
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

/** cfs_reply_name() - stable name of a code for logs and metrics */
const char *cfs_reply_name (enum cfs_reply_code code);

/** enum cfs_tx_state - state of a session or a link */
enum cfs_tx_state
{
  TX_IDLE,
  TX_OPEN,
  TX_FAILED
};

/**
 * struct cfs_reply - the end of a statement; texts belong to the giver
 * @code: how it ended
 * @rows: row texts, each terminated, one after the other
 * @row_count: number of rows
 * @proof: the instance's proof that it ran the statement, NULL for none
 * @text: what the error says, may be NULL
 * @state: state of the connection afterwards
 * @position: of the instance's log, term 0 when not given
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
 * struct cfs_caller_ops - effects on a caller's connection
 * @admitted: a session that had to wait is accepted, or refused: then it
 * is gone and @caller closes itself
 * @reply: the end of the statement that the caller waits for
 * @close: ends the connection without a message; @caller and its
 * session must not be used afterwards
 */
struct cfs_caller_ops
{
  void (*admitted) (struct cfs_caller *caller, enum cfs_reply_code code);
  void (*reply) (struct cfs_caller *caller, const struct cfs_reply *reply);
  void (*close) (struct cfs_caller *caller);
};

/** struct cfs_caller - a caller's connection, extended by its edge */
struct cfs_caller
{
  const struct cfs_caller_ops *ops;
};

struct cfs_target_conn;

/**
 * struct cfs_target_conn_ops - effects on a connection to an instance
 * @send: hands statements over, in order; each gets one reply
 * @close: ends the connection at once and frees it; no event follows
 */
struct cfs_target_conn_ops
{
  void (*send) (struct cfs_target_conn *conn,
                const struct cfs_statement *statements, size_t count);
  void (*close) (struct cfs_target_conn *conn);
};

/** struct cfs_target_conn - a connection to an instance, extended by its edge
 */
struct cfs_target_conn
{
  const struct cfs_target_conn_ops *ops;
};

/**
 * struct cfs_target_conn_events - what a connection to an instance tells its
 * owner
 * @opened: the instance accepted or refused the connection; a refused one
 * is to be closed
 * @replied: the oldest statement without a reply ended
 * @lost: the connection is gone and was freed
 */
struct cfs_target_conn_events
{
  void (*opened) (void *owner, const struct cfs_reply *reply);
  void (*replied) (void *owner, const struct cfs_reply *reply);
  void (*lost) (void *owner, const char *reason);
};

/**
 * struct cfs_target_conn_setup - parameters of a new connection
 * @address: "IP:PORT"
 * @service: name of the group that the instance must serve
 * @team: on whose behalf the connection is used
 * @target: identity that the instance must have
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
 * struct cfs_instance_state - what an instance says of itself
 * @primary: it leads
 * @term: its term
 * @received: end of its log
 */
struct cfs_instance_state
{
  bool primary;
  uint64_t term;
  struct cfs_position received;
};

/**
 * struct cfs_target_adapter - how connections to instances are made
 * @open: starts a connection, or gives NULL when that cannot be
 * @read_status: decodes the reply to VERB_STATUS, VERB_PAUSE, VERB_RESUME
 * and VERB_DEMOTE; false when it cannot be read
 */
struct cfs_target_adapter
{
  struct cfs_target_conn *(*open) (const struct cfs_target_adapter *adapter,
                                   const struct cfs_target_conn_setup *setup);
  bool (*read_status) (const struct cfs_reply *reply,
                       struct cfs_instance_state *out);
};

#endif
