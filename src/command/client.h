/**
 * DOC: HTTP client of the command line, by libcurl.
 */
#ifndef CFS_CLIENT_H
#define CFS_CLIENT_H

#include "../cfs.h"

#include <glib.h>

/** struct cfs_client - where a command talks to */
struct cfs_client
{
  const char *url;
  const char *key;
  long timeout_ms;
};

/** struct cfs_reply - answer, owned by the caller */
struct cfs_client_response
{
  long status;
  char *body;
  uint64_t version;
};

/**
 * cfs_client_send() - one request
 * @client: where to
 * @method: such as "PATCH"
 * @path: path below the URL
 * @headers: list of "Name: value", ended by NULL, or NULL
 * @body: text or NULL
 * @reply: written; freed by cfs_reply_end()
 * @error: set when no answer came
 */
bool cfs_client_send (const struct cfs_client *client, const char *method,
                      const char *path, const char *const *headers,
                      const char *body, struct cfs_client_response *response,
                      GError **error);

/** cfs_reply_end() - frees the body */
void cfs_client_response_clear (struct cfs_client_response *response);

#endif
