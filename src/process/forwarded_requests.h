/**
 * DOC: Requests of operators that a host forwards to the control leader.
 *
 * Each is kept until the leader has replied, and sent again meanwhile.  Not
 * thread-safe; the control thread owns the list.
 */
#ifndef CFS_FORWARDED_REQUESTS_H
#define CFS_FORWARDED_REQUESTS_H

#include "../cfs.h"
#include "wire.pb-c.h"

/**
 * struct forwarded_request - operator request without a reply so far
 * @message: the request; owned by the list
 * @received_at: when this host received it
 * @sent_at: when it was last sent, 0 if it was not
 * @refused: the last host it was sent to is not leader
 */
struct forwarded_request
{
  Cfs__Peer *message;
  int64_t received_at;
  int64_t sent_at;
  bool refused;
};

/** struct forwarded_requests - the requests, in no order */
struct forwarded_requests
{
  struct forwarded_request *at;
  size_t count;
  size_t cap;
};

/** forwarded_requests_add() - adds a request and takes over the message */
void forwarded_requests_add (struct forwarded_requests *requests,
                             Cfs__Peer *message, int64_t now);

/** forwarded_requests_find() - the request with an id, or NULL */
struct forwarded_request *
forwarded_requests_find (const struct forwarded_requests *requests,
                         uint64_t id);

/** forwarded_requests_remove() - frees a request and its message; the last one
 * takes its place */
void forwarded_requests_remove (struct forwarded_requests *requests,
                                struct forwarded_request *request);

/** forwarded_requests_end() - frees all requests and the list */
void forwarded_requests_end (struct forwarded_requests *requests);

/** forwarded_request_due() - whether a request is to be sent now */
bool forwarded_request_due (const struct forwarded_request *request,
                            int64_t now);

#endif
