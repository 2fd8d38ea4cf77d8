/*
 * Each request uses a libcurl handle of its own, because commands send only a
 * few requests.
 */
#include "client.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#define HEADER_MAX 512
#define REDIRECTS_MAX 4L

static size_t
append_body (char *data, size_t size, size_t count, void *ctx)
{
  g_string_append_len (ctx, data, (gssize)(size * count));
  return size * count;
}

static size_t
parse_header (char *data, size_t size, size_t count, void *ctx)
{
  static const char etag[] = "ETag: \"";
  struct cfs_client_response *response = ctx;
  size_t len = size * count;

  if (len > sizeof etag && strncasecmp (data, etag, sizeof etag - 1) == 0)
    response->version = g_ascii_strtoull (data + sizeof etag - 1, NULL, 10);
  return len;
}

static struct curl_slist *
make_headers (const struct cfs_client *c, const char *const *headers)
{
  struct curl_slist *list = NULL;
  char line[HEADER_MAX];

  if (c->key)
    {
      g_snprintf (line, sizeof line, "Authorization: Bearer %s", c->key);
      list = curl_slist_append (list, line);
    }
  for (; headers && *headers; headers++)
    list = curl_slist_append (list, *headers);
  return list;
}

bool
cfs_client_send (const struct cfs_client *c, const char *method,
                 const char *path, const char *const *headers,
                 const char *body, struct cfs_client_response *response,
                 GError **error)
{
  CURL *curl = curl_easy_init ();
  char *url = g_strconcat (c->url, path, NULL);
  struct curl_slist *list = make_headers (c, headers);
  GString *text = g_string_new (NULL);
  CURLcode rc;

  memset (response, 0, sizeof *response);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, list);
  curl_easy_setopt (curl, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (curl, CURLOPT_TIMEOUT_MS, c->timeout_ms);
  curl_easy_setopt (curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, text);
  curl_easy_setopt (curl, CURLOPT_HEADERFUNCTION, parse_header);
  curl_easy_setopt (curl, CURLOPT_HEADERDATA, response);
  if (c->follow_redirects)
    {
      curl_easy_setopt (curl, CURLOPT_FOLLOWLOCATION, 1L);
      curl_easy_setopt (curl, CURLOPT_MAXREDIRS, REDIRECTS_MAX);
    }
  if (body)
    curl_easy_setopt (curl, CURLOPT_POSTFIELDS, body);
  rc = curl_easy_perform (curl);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &response->status);
  response->body = g_string_free (text, FALSE);
  if (rc != CURLE_OK)
    {
      g_set_error (error, g_quark_from_static_string ("cfs-client"), 0,
                   "%s: %s", url, curl_easy_strerror (rc));
      cfs_client_response_clear (response);
    }
  curl_slist_free_all (list);
  curl_easy_cleanup (curl);
  g_free (url);
  return rc == CURLE_OK;
}

void
cfs_client_response_clear (struct cfs_client_response *response)
{
  g_free (response->body);
  response->body = NULL;
}
