/**
 * DOC: Private declarations of the HTTP server, shared by http.c and
 * http_request.c.
 */
#ifndef CFS_HTTP_INT_H
#define CFS_HTTP_INT_H

#include "http.h"

#include <microhttpd.h>

#define HTTP_UNAVAILABLE 503

/**
 * struct http_conn - a connection of a client
 * @account: what it uses of the budget
 */
struct http_conn
{
  struct cfs_budget_account account;
  struct MHD_Connection *connection;
};

/**
 * struct cfs_http_request - see http.h
 * @conn: connection that the request arrived on, NULL when that has ended
 * @len: length of the body received so far
 * @cap: size allocated for it
 * @too_large: the body exceeds the limit
 * @dispatched: the request handler has been called
 * @suspended: the connection is suspended until the response
 * @starved: the connection is suspended until the body gets memory
 * @aborted: the connection ended before the response; freed by
 * cfs_http_respond()
 */
struct cfs_http_request
{
  struct cfs_http *http;
  struct cfs_http_request *next;
  struct cfs_http_request *prev;
  struct MHD_Connection *connection;
  struct http_conn *conn;
  char *method;
  char *path;
  char *body;
  size_t len;
  size_t cap;
  bool too_large;
  bool dispatched;
  bool suspended;
  bool starved;
  bool aborted;
  struct MHD_Response *response;
  unsigned status;
};

/**
 * struct cfs_http - see http.h
 * @watch: handle of the event loop for the epoll descriptor
 * @first: list of the requests
 * @open_requests: requests not completed, including aborted ones that have no
 * response yet
 * @quiesced: no new connections are accepted, and responses ask the client to
 * close
 * @ending: requests are not passed to the handler any more
 * @ticked_at: time of the last round over all connections
 * @logged_at: time of the last log line about closed connections
 */
struct cfs_http
{
  struct cfs_http_setup setup;
  struct MHD_Daemon *daemon;
  int watch;
  struct cfs_http_request *first;
  size_t open_requests;
  bool quiesced;
  bool ending;
  struct cfs_budget budget;
  int64_t ticked_at;
  int64_t logged_at;
};

/** http_free_request() - frees a request that is completed and has its
 * response */
void http_free_request (struct cfs_http_request *request);

/** http_discard_body() - frees the body of a request */
void http_discard_body (struct cfs_http_request *request);

#endif
