/**
 * DOC: HTTP/1.1 server for callers, targets and operators.
 *
 * Runs libmicrohttpd inside the loop of one thread.  A call is handed out
 * once its body is whole, and its connection is suspended until the answer.
 */
#ifndef CFS_HTTP_H
#define CFS_HTTP_H

#include "../process/loop.h"

#include <glib.h>

struct cfs_http;

/** struct cfs_http_request - one HTTP request; owned by the server */
struct cfs_http_request;

/**
 * struct cfs_http_setup - parameters of cfs_http_new()
 * @certificate: TLS certificate in PEM, or NULL for plain HTTP
 * @request: a whole request; to be answered exactly once, at any time
 */
struct cfs_http_setup
{
  struct cfs_loop *loop;
  const char *address;
  uint32_t port;
  const char *certificate;
  const char *key;
  uint32_t max_body_bytes;
  void (*request) (void *ctx, struct cfs_http_request *request);
  void *ctx;
};

/** struct cfs_http_response - what goes back; texts are copied */
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

/** cfs_http_new() - listens; NULL with @error set when it cannot */
struct cfs_http *cfs_http_new (const struct cfs_http_setup *setup,
                               GError **error);

/** cfs_http_free() - closes all connections; answers still due are dropped */
void cfs_http_free (struct cfs_http *http);

/** cfs_http_pump() - moves data; to be called before each wait */
void cfs_http_pump (struct cfs_http *http);

/** cfs_http_quiesce() - takes no new connections */
void cfs_http_quiesce (struct cfs_http *http);

/** cfs_http_open_requests() - calls whose answer is not wholly sent */
size_t cfs_http_open_requests (const struct cfs_http *http);

/** cfs_http_request_method() - such as "GET" */
const char *cfs_http_request_method (const struct cfs_http_request *request);

/** cfs_http_request_path() - path without query */
const char *cfs_http_request_path (const struct cfs_http_request *request);

/** cfs_http_request_header() - value of a header, or NULL */
const char *cfs_http_request_header (const struct cfs_http_request *request,
                                     const char *name);

/** cfs_http_request_cookie() - value of a cookie, or NULL */
const char *cfs_http_request_cookie (const struct cfs_http_request *request,
                                     const char *name);

/** cfs_http_request_body() - terminated body, "" when there is none */
const char *cfs_http_request_body (const struct cfs_http_request *request);

/** cfs_http_respond() - answers; @call must not be used afterwards */
void cfs_http_respond (struct cfs_http_request *request,
                       const struct cfs_http_response *response);

#endif
