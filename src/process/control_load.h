/**
 * DOC: Load of a control host's event loop: messages handled by kind, and the
 * longest time for which its timers did not run.
 *
 * A leader whose timers run late sends its heartbeats late, and its followers
 * elect another one; the counts tell which messages it handled meanwhile.
 */
#ifndef CFS_CONTROL_LOAD_H
#define CFS_CONTROL_LOAD_H

#include "../cfs.h"

#include <glib.h>

/**
 * enum control_msg_kind - messages that a control host handles
 * @CONTROL_MSG_RAFT: of other members of the control group
 * @CONTROL_MSG_HEARTBEAT: heartbeats of hosts
 * @CONTROL_MSG_TOKENS: token requests of hosts
 * @CONTROL_MSG_OPERATOR: operators' requests that hosts forward
 * @CONTROL_MSG_KINDS: number of kinds
 */
enum control_msg_kind
{
  CONTROL_MSG_RAFT,
  CONTROL_MSG_HEARTBEAT,
  CONTROL_MSG_TOKENS,
  CONTROL_MSG_OPERATOR,
  CONTROL_MSG_KINDS
};

/**
 * struct control_load - counts since the start of the process
 * @handled: messages handled, by kind
 * @at_tick: @handled at the last run of the timers
 * @at_term: @handled when this host last became leader
 * @ticked_at: time of the last run of the timers, 0 before the first
 * @max_gap_us: longest time between two runs of the timers
 * @term_gap_us: the same since this host last became leader
 * @logged_at: time of the last log line about a late run
 */
struct control_load
{
  uint64_t handled[CONTROL_MSG_KINDS];
  uint64_t at_tick[CONTROL_MSG_KINDS];
  uint64_t at_term[CONTROL_MSG_KINDS];
  int64_t ticked_at;
  int64_t max_gap_us;
  int64_t term_gap_us;
  int64_t logged_at;
};

/** control_load_count() - counts a message that is handled */
void control_load_count (struct control_load *load,
                         enum control_msg_kind kind);

/** control_load_tick() - called whenever the timers run; logs when the time
 * since their last run exceeds the leader's heartbeat interval */
void control_load_tick (struct control_load *load, int64_t now);

/** control_load_start_term() - this host became leader */
void control_load_start_term (struct control_load *load);

/** control_load_log_term() - logs what was handled while this host was
 * leader, when it no longer is */
void control_load_log_term (const struct control_load *load, uint64_t term);

/** control_load_metrics() - appends counters */
void control_load_metrics (const struct control_load *load, GString *out);

#endif
