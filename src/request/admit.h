/**
 * DOC: Admission control on an entry host, the client of the rate limiters.
 *
 * Requests of a team are queued until the team's limiter grants tokens for
 * them.  A request is refused only when the team exceeds its rate and burst,
 * or when its deadline passes.  The module does no I/O and reads no clock.
 */
#ifndef CFS_ADMIT_H
#define CFS_ADMIT_H

#include "../process/table.h"
#include "fair.h"
#include "request.h"

/* Time after which a token request without a reply is sent again. */
#define TOKEN_REQUEST_TIMEOUT_US (150 * CFS_US_PER_MS)
/* Maximum number of tokens per request. */
#define TOKEN_REQUEST_MAX 64
/* Requests of a team that may be queued beyond its burst, in seconds of its
   rate. */
#define ADMIT_QUEUE_SECONDS 2.5

/**
 * struct cfs_admit_ops - side effects of admission
 * @request_tokens: requests @count tokens from the team's limiter; the
 * message may be lost
 * @admitted: the request is admitted; passes ownership to the receiver
 * @refused: the request is refused, it was not run; passes ownership to the
 * receiver
 */
struct cfs_admit_ops
{
  void (*request_tokens) (void *ctx, const char *team, uint64_t id,
                          uint32_t count);
  void (*admitted) (void *ctx, struct cfs_request *request);
  void (*refused) (void *ctx, struct cfs_request *request, enum cfs_code code);
};

/**
 * struct cfs_admit_team - queue and tokens of one team
 * @waiting: requests that wait for tokens
 * @outstanding_id: id of the token request without a reply yet, or 0
 * @outstanding_count: number of tokens requested by it
 * @tokens: tokens granted and not spent
 * @last_token_at: time at which the last of them becomes valid
 * @reply_delay_us: time that the reply with these tokens took
 * @requested_at: time at which the token request was sent
 * @next_request_at: earliest time of the next token request
 */
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

/** struct cfs_admit - admission control of one entry host */
struct cfs_admit
{
  const struct cfs_admit_ops *ops;
  void *ctx;
  struct cfs_table teams;
  uint64_t next_id;
};

/** cfs_admit_init() - initializes admission; @ops must outlive it */
void cfs_admit_init (struct cfs_admit *admit, const struct cfs_admit_ops *ops,
                     void *ctx);

/** cfs_admit_end() - refuses all queued requests and frees the tables */
void cfs_admit_end (struct cfs_admit *admit);

/**
 * cfs_admit_submit() - submits a request of a team
 * @admit: admission
 * @request: request, owned by admission until it is admitted or refused
 * @rate: rate of the team, requests per second
 * @burst: burst of the team
 * @now: current time
 */
void cfs_admit_submit (struct cfs_admit *admit, struct cfs_request *request,
                       double rate, double burst, int64_t now);

/**
 * cfs_admit_granted() - handles the limiter's reply to a token request
 * @admit: admission
 * @team: team
 * @id: id of the token request; a reply to an earlier one is ignored
 * @count: number of tokens granted
 * @wait_us: time until the last of them becomes valid or, when none is
 * granted, until one can be granted
 * @now: current time
 */
void cfs_admit_granted (struct cfs_admit *admit, const char *team, uint64_t id,
                        uint32_t count, int64_t wait_us, int64_t now);

/**
 * cfs_admit_limiter_moved() - discards the tokens of the previous limiter and
 * requests tokens from the new one at once
 */
void cfs_admit_limiter_moved (struct cfs_admit *admit, const char *team,
                              int64_t now);

/** cfs_admit_tick() - runs timers, to be called at least every 5 ms */
void cfs_admit_tick (struct cfs_admit *admit, int64_t now);

#endif
