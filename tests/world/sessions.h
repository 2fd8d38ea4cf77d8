/**
 * DOC: Sessions, links and a group of three instances in virtual time.
 *
 * The real session and pool modules between scripted callers and instances
 * that keep a log with terms, one synchronous replica, values, prepared
 * names and transactions.  Faults are drawn from a seed.  Every statement
 * that an instance runs and every reply that a caller gets is checked.
 */
#ifndef WORLD_SESSIONS_H
#define WORLD_SESSIONS_H

#include "../../src/connection/session.h"

#define WS_INSTANCES 3
#define WS_CALLERS 6
#define WS_STATEMENTS_MAX 8192
#define WS_COMMITS 4096

/** struct ws_commit - one commit of the group's history */
struct ws_commit
{
  unsigned id;
  int64_t acked_at;
  bool gone;
};

/** struct ws_instance - one instance; its log is a length of the history */
struct ws_instance
{
  char name[16];
  bool primary;
  bool alive;
  uint64_t term;
  uint64_t received;
  int64_t lag_us;
  int64_t replication_cut_until;
};

/** struct ws_statement_info - what is known of one statement of a caller */
struct ws_statement_info
{
  unsigned caller;
  unsigned op;
  bool sent;
  unsigned run_count;
};

/** struct ws_op - one operation; its writes take effect together */
struct ws_op
{
  unsigned applied_count;
  uint64_t history_position;
  bool reported_not_applied;
  bool succeeded;
  bool commit_requested;
};

/** struct ws_caller - a scripted caller */
struct ws_caller
{
  struct cfs_caller base;
  struct world_sessions *world;
  unsigned index;
  struct cfs_session *session;
  bool waiting;
  bool in_tx;
  bool reads_only;
  unsigned op;
  unsigned id;
  enum cfs_verb verb;
  int64_t began_at;
  int64_t next_at;
  unsigned statements_left;
  char value[16];
  char prepared_text[16];
  bool prepared_writes;
  uint64_t own_commit;
};

/** struct world_sessions - everything */
struct world_sessions
{
  int64_t now;
  uint64_t seed;
  struct cfs_settings settings;
  struct cfs_fleet fleet;
  struct cfs_quota quota;
  struct cfs_target_adapter adapter;
  struct cfs_pool *pool;
  struct cfs_sessions *sessions;
  struct ws_instance instances[WS_INSTANCES];
  struct ws_caller callers[WS_CALLERS];
  struct ws_commit history[WS_COMMITS];
  uint64_t length;
  uint64_t term_start;
  struct ws_statement_info statements[WS_STATEMENTS_MAX];
  struct ws_op ops[WS_STATEMENTS_MAX];
  unsigned statement_count;
  unsigned op_count;
  struct ws_conn *conns;
  bool faults;
  int64_t directory_update_at;
  unsigned served;
  const char *violation;
};

/** ws_new() - a group whose first instance leads, and idle callers */
struct world_sessions *ws_new (uint64_t seed, enum cfs_consistency kind,
                               bool faults);

/** ws_free() - ends sessions and frees everything */
void ws_free (struct world_sessions *w);

/** ws_run() - advances virtual time */
void ws_run (struct world_sessions *w, int64_t us);

/** ws_change_primary() - the longest replica leads the next term */
void ws_change_primary (struct world_sessions *w);

/** ws_check_end() - what holds once nothing is under way, or NULL */
const char *ws_check_end (struct world_sessions *w);

#endif
