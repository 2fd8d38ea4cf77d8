/**
 * DOC: HTTP/1.1 server for callers, targets and operators.
 *
 * Runs libmicrohttpd in the event loop of one thread.  A request is passed to
 * its handler once the body is complete; its connection is suspended until
 * the response is available.
 */
#ifndef CFS_HTTP_H
#define CFS_HTTP_H

#include "../process/budget.h"
#include "../process/loop.h"

#include <glib.h>

struct cfs_http;

/** struct cfs_http_request - a request and its response; owned by the server
 */
struct cfs_http_request;

/**
 * struct cfs_http_setup - parameters of cfs_http_new()
 * @max_connections: connections at a time, 0 for a default
 * @max_bytes: memory for bodies and responses of all connections together, 0
 * for a default
 * @certificate: TLS certificate in PEM format, or NULL for plain HTTP
 * @key: private key of the certificate in PEM format
 * @request: called for each complete request, which must be responded to
 * exactly once, in the call or later
 * @ctx: passed to @request
 */
struct cfs_http_setup
{
  struct cfs_loop *loop;
  const char *address;
  uint32_t port;
  const char *certificate;
  const char *key;
  uint32_t max_body_bytes;
  uint32_t max_connections;
  size_t max_bytes;
  void (*request) (void *ctx, struct cfs_http_request *request);
  void *ctx;
};

/**
 * struct cfs_http_response - a response; strings are copied
 * @type: content type, NULL for JSON
 * @session: session token for the Session and Set-Cookie headers, or NULL
 * @retry_after: seconds for the Retry-After header, 0 for none
 */
struct cfs_http_response
{
  unsigned status;
  const char *type;
  const char *body;
  const char *session;
  const char *etag;
  const char *location;
  unsigned retry_after;
};

/** cfs_http_new() - starts listening; returns NULL with @error set on failure
 */
struct cfs_http *cfs_http_new (const struct cfs_http_setup *setup,
                               GError **error);

/** cfs_http_free() - closes all connections
 *
 * Requests without a response get status 503 and must not be used afterwards.
 * Responses that a client does not take within 0.2 s are dropped.
 */
void cfs_http_free (struct cfs_http *http);

/** cfs_http_pump() - processes pending I/O; call it before each wait of the
 * event loop */
void cfs_http_pump (struct cfs_http *http);

/** cfs_http_metrics() - appends the metrics of the connections */
void cfs_http_metrics (const struct cfs_http *http, GString *out);

/** cfs_http_quiesce() - stops accepting connections */
void cfs_http_quiesce (struct cfs_http *http);

/** cfs_http_open_requests() - number of requests whose response is not yet
 * sent completely */
size_t cfs_http_open_requests (const struct cfs_http *http);

/** cfs_http_request_method() - such as "GET" */
const char *cfs_http_request_method (const struct cfs_http_request *request);

/** cfs_http_request_path() - path without the query string */
const char *cfs_http_request_path (const struct cfs_http_request *request);

/** cfs_http_request_header() - value of a header, or NULL */
const char *cfs_http_request_header (const struct cfs_http_request *request,
                                     const char *name);

/** cfs_http_request_cookie() - value of a cookie, or NULL */
const char *cfs_http_request_cookie (const struct cfs_http_request *request,
                                     const char *name);

/** cfs_http_request_body() - null-terminated body, "" if there is none */
const char *cfs_http_request_body (const struct cfs_http_request *request);

/** cfs_http_respond() - sends the response; @request must not be used
 * afterwards */
void cfs_http_respond (struct cfs_http_request *request,
                       const struct cfs_http_response *response);

#endif
