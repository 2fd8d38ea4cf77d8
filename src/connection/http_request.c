/*
 * Access to a request, and its response.  A response counts in the budget
 * until the client has taken it; one for which there is no memory is replaced
 * by status 503.
 */
#include "http_int.h"

#include <stdlib.h>
#include <string.h>

#define COOKIE_NAME "coltsfootstage-session"

/* Response that takes the place of one for which there is no memory. */
static const struct cfs_http_response overloaded_response
    = { .status = HTTP_UNAVAILABLE, .body = "{}", .retry_after = 1 };

void
http_discard_body (struct cfs_http_request *req)
{
  free (req->body);
  req->body = NULL;
  req->len = 0;
  req->cap = 0;
  cfs_budget_grow (&req->http->budget, &req->conn->account, 0);
}

const char *
cfs_http_request_method (const struct cfs_http_request *req)
{
  return req->method;
}

const char *
cfs_http_request_path (const struct cfs_http_request *req)
{
  return req->path;
}

static const char *
lookup (const struct cfs_http_request *req, enum MHD_ValueKind kind,
        const char *name)
{
  if (!req->connection)
    return NULL;
  return MHD_lookup_connection_value (req->connection, kind, name);
}

const char *
cfs_http_request_header (const struct cfs_http_request *req, const char *name)
{
  return lookup (req, MHD_HEADER_KIND, name);
}

const char *
cfs_http_request_cookie (const struct cfs_http_request *req, const char *name)
{
  return lookup (req, MHD_COOKIE_KIND, name);
}

const char *
cfs_http_request_body (const struct cfs_http_request *req)
{
  return req->body ? req->body : "";
}

static void
add_session_headers (struct MHD_Response *r, const char *session)
{
  char *cookie
      = g_strdup_printf (COOKIE_NAME "=%s; Path=/; HttpOnly", session);

  MHD_add_response_header (r, "Session", session);
  MHD_add_response_header (r, "Set-Cookie", cookie);
  g_free (cookie);
}

/* The response counts as unsent until the client has taken it; the body of the
   request is not needed any more. */
static void
account_response (struct cfs_http_request *req, size_t bytes)
{
  if (!req->conn)
    return;
  http_discard_body (req);
  req->conn->account.progress_at = cfs_now ();
  cfs_budget_set (&req->http->budget, &req->conn->account, BUDGET_UNSENT,
                  bytes);
}

void
cfs_http_respond (struct cfs_http_request *req,
                  const struct cfs_http_response *response)
{
  const char *body = response->body ? response->body : "";
  char number[16];

  if (!cfs_budget_fits (&req->http->budget, strlen (body)))
    {
      response = &overloaded_response;
      body = response->body;
    }

  req->status = response->status;
  req->response = MHD_create_response_from_buffer (strlen (body), (void *)body,
                                                   MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (req->response, "Content-Type",
                           response->type ? response->type
                                          : "application/json");
  if (response->session && *response->session)
    add_session_headers (req->response, response->session);
  if (response->etag)
    MHD_add_response_header (req->response, "ETag", response->etag);
  if (response->location)
    MHD_add_response_header (req->response, "Location", response->location);
  if (response->retry_after)
    {
      g_snprintf (number, sizeof number, "%u", response->retry_after);
      MHD_add_response_header (req->response, "Retry-After", number);
    }
  account_response (req, strlen (body));
  if (req->http->quiesced)
    MHD_add_response_header (req->response, "Connection", "close");
  if (req->aborted)
    http_free_request (req);
  else if (req->suspended)
    MHD_resume_connection (req->connection);
}
