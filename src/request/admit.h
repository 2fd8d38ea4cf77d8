/**
 * DOC: Admission of requests on an entry host, the limiter's client.
 *
 * Requests of a team wait here until its limiter granted tokens.  A request
 * is refused only when the team has asked for more than its rate and burst
 * allow, or when its deadline passes.  No I/O and no clock.
 */
#ifndef CFS_ADMIT_H
#define CFS_ADMIT_H

#include "../process/table.h"
#include "fair.h"
#include "request.h"

/* An ask without an answer is sent again after this time. */
#define TOKEN_REQUEST_TIMEOUT_US (150 * CFS_US_PER_MS)
/* Tokens asked for at a time. */
#define TOKEN_REQUEST_MAX 64
/* Time of a team's rate that may wait beyond its burst. */
#define ADMIT_QUEUE_SECONDS 2.5

/**
 * struct cfs_admit_ops - effects of admission
 * @ask: asks the team's limiter for @count tokens; may lose the message
 * @admitted: the request may go on; it is the receiver's from here
 * @refused: the request is over its rate or deadline, and was not run
 */
struct cfs_admit_ops
{
  void (*request_tokens) (void *ctx, const char *team, uint64_t id,
                          uint32_t count);
  void (*admitted) (void *ctx, struct cfs_request *request);
  void (*refused) (void *ctx, struct cfs_request *request, enum cfs_code code);
};

/** struct cfs_admit_team - what waits for tokens of one team */
struct cfs_admit_team
{
  char name[CFS_NAME_MAX];
  double rate;
  double burst;
  struct cfs_queue waiting;
  uint64_t outstanding_id;
  uint32_t outstanding_count;
  uint32_t tokens;
  int64_t last_token_at;
  int64_t reply_delay_us;
  int64_t requested_at;
  int64_t next_request_at;
};

/** struct cfs_admit - admission of one entry host */
struct cfs_admit
{
  const struct cfs_admit_ops *ops;
  void *ctx;
  struct cfs_table teams;
  uint64_t next_id;
};

/** cfs_admit_init() - nothing waits; @ops must outlive it */
void cfs_admit_init (struct cfs_admit *admit, const struct cfs_admit_ops *ops,
                     void *ctx);

/** cfs_admit_end() - refuses what waits and frees the tables */
void cfs_admit_end (struct cfs_admit *admit);

/**
 * cfs_admit_submit() - takes a request of a team
 * @admit: admission
 * @request: request, owned by admission until an effect hands it on
 * @rate: requests per second of its team
 * @burst: burst of its team
 * @now: time
 */
void cfs_admit_submit (struct cfs_admit *admit, struct cfs_request *request,
                       double rate, double burst, int64_t now);

/**
 * cfs_admit_granted() - handles the limiter's answer
 * @admit: admission
 * @team: team
 * @id: id of the ask; an answer to an earlier ask is dropped
 * @count: tokens
 * @wait_us: time until the last of them may be spent, or one can be had
 * @now: time
 */
void cfs_admit_granted (struct cfs_admit *admit, const char *team, uint64_t id,
                        uint32_t count, int64_t retry_us, int64_t now);

/** cfs_admit_limiter_moved() - the team has a new limiter: asks it at once */
void cfs_admit_limiter_moved (struct cfs_admit *admit, const char *team,
                              int64_t now);

/** cfs_admit_tick() - deadlines and repeated asks, at least every 5 ms */
void cfs_admit_tick (struct cfs_admit *admit, int64_t now);

#endif
