/**
 * DOC: HTTP client of the command line tools, based on libcurl.
 */
#ifndef CFS_CLIENT_H
#define CFS_CLIENT_H

#include "../cfs.h"

#include <glib.h>

/**
 * struct cfs_client - server of a command
 * @url: base URL
 * @key: bearer token, or NULL for none
 * @timeout_ms: time-out of a request
 * @follow_redirects: repeat a request where a redirect points to
 */
struct cfs_client
{
  const char *url;
  const char *key;
  long timeout_ms;
  bool follow_redirects;
};

/**
 * struct cfs_client_response - response to a request
 * @status: HTTP status
 * @body: text, owned by the response
 * @version: number in the ETag header, 0 when there is none
 */
struct cfs_client_response
{
  long status;
  char *body;
  uint64_t version;
};

/**
 * cfs_client_send() - sends a request and waits for the response
 * @client: server
 * @method: HTTP method
 * @path: path below the base URL
 * @headers: strings "Name: value", terminated by NULL; or NULL
 * @body: text or NULL
 * @response: written; freed by cfs_client_response_clear()
 * @error: set when no response was received
 *
 * Return: whether a response was received.
 */
bool cfs_client_send (const struct cfs_client *client, const char *method,
                      const char *path, const char *const *headers,
                      const char *body, struct cfs_client_response *response,
                      GError **error);

/** cfs_client_response_clear() - frees the body */
void cfs_client_response_clear (struct cfs_client_response *response);

#endif
