/*
 * The operator and the instances' heartbeats, in a thread of their own and on
 * direct connections that no forwarder disturbs.  Sends one configuration
 * document after the other with increasing versions; some revoke the guests'
 * key, and some extra ones are truncated and must be rejected.
 */
#include "soak.h"

#include <arpa/inet.h>
#include <curl/curl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define REQUEST_TIMEOUT_MS 800L
#define HEARTBEAT_INTERVAL_MS 400
#define CHANGE_INTERVAL_MS 1500
#define READ_INTERVAL_MS 700
#define BODY_BYTES 4096
#define VERSIONS_MAX 4096

static atomic_llong key_revoked_at;
static atomic_bool changes_stopped;
static atomic_int last_primary = -1;
static uint64_t random_state;
static uint64_t sequence[INSTANCES];
static uint64_t last_version;
static bool acked_has_guest_key = true;
/* Version being sent, 0 once it was acknowledged. */
static uint64_t pending_version;
static bool pending_has_guest_key;
/* The last acknowledged version, the time of its acknowledgement, and the last
   version that must be in force everywhere, CONFIG_APPLY_MS after that. */
static uint64_t acked_version;
static int64_t acked_at;
static uint64_t in_force_version;

/* Separate from random_below(), which belongs to the main thread. */
static unsigned
random_choice (unsigned bound)
{
  random_state ^= random_state << 13;
  random_state ^= random_state >> 7;
  random_state ^= random_state << 17;
  return (unsigned)(random_state % bound);
}

struct response
{
  char text[BODY_BYTES];
  size_t len;
};

static size_t
append_response (char *data, size_t size, size_t count, void *ctx)
{
  struct response *r = ctx;
  size_t n = size * count;

  if (r->len + n < sizeof r->text)
    {
      memcpy (r->text + r->len, data, n);
      r->len += n;
      r->text[r->len] = '\0';
    }
  return n;
}

/* Sends a request to a random control host, POST if @body is given.
   Return: the HTTP status, 0 if there was no response. */
static long
send_request (const char *path, const char *body, struct response *r)
{
  CURL *c = curl_easy_init ();
  char url[128];
  long status = 0;

  r->len = 0;
  r->text[0] = '\0';
  snprintf (url, sizeof url, "http://%s:%d%s",
            loopback_address (ADDRESS_CORE + random_choice (CORES)), PORT_HTTP,
            path);
  curl_easy_setopt (c, CURLOPT_URL, url);
  curl_easy_setopt (c, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (c, CURLOPT_TIMEOUT_MS, REQUEST_TIMEOUT_MS);
  curl_easy_setopt (c, CURLOPT_FOLLOWLOCATION, 1L);
  curl_easy_setopt (c, CURLOPT_POSTREDIR, (long)CURL_REDIR_POST_ALL);
  curl_easy_setopt (c, CURLOPT_MAXREDIRS, 2L);
  curl_easy_setopt (c, CURLOPT_WRITEFUNCTION, append_response);
  curl_easy_setopt (c, CURLOPT_WRITEDATA, r);
  if (body)
    curl_easy_setopt (c, CURLOPT_POSTFIELDS, body);
  if (curl_easy_perform (c) == CURLE_OK)
    curl_easy_getinfo (c, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (c);
  return status;
}

/* Queries an instance's role.  Return: whether it replied. */
static bool
query_role (unsigned i, bool *primary)
{
  static const char query[] = "STARTUP db control\r\nQUERY - STATUS\r\n";
  struct sockaddr_in address = { .sin_family = AF_INET };
  struct timeval timeout = { 0, 300000 };
  char text[LINE_BYTES] = "";
  size_t len = 0;
  ssize_t got;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

  address.sin_port = htons ((uint16_t)(PORT_GROUP + i));
  inet_pton (AF_INET, loopback_address (ADDRESS_GROUP), &address.sin_addr);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0
      && send (fd, query, sizeof query - 1, MSG_NOSIGNAL) > 0)
    while (!strstr (text, "COMPLETE")
           && (got = recv (fd, text + len, sizeof text - len - 1, 0)) > 0)
      {
        len += (size_t)got;
        text[len] = '\0';
      }
  close (fd);
  *primary = strstr (text, "ROW primary") != NULL;
  return strstr (text, "ROW ") != NULL;
}

static void
send_heartbeat (unsigned i)
{
  struct response r;
  char path[64];
  char body[LINE_BYTES];
  bool primary;

  if (!instance_reports (i) || !query_role (i, &primary))
    return;
  if (primary)
    atomic_store (&last_primary, (int)i);
  snprintf (path, sizeof path, "/v1/Instances.Heartbeat/t%u", i + 1);
  snprintf (body, sizeof body,
            "{\"service\":\"db\",\"address\":\"%s:%u\",\"zone\":\"z%u\","
            "\"version\":\"v1\",\"slots\":5,\"state\":\"%s\","
            "\"cold_remaining_ms\":0,\"db_role\":\"%s\","
            "\"sequence\":%llu,\"born\":%lld}",
            loopback_address (ADDRESS_GROUP + 1 + i), PORT_GROUP + i,
            i % CORES, instance_is_draining (i) ? "draining" : "ready",
            primary ? "primary" : "replica", (unsigned long long)++sequence[i],
            (long long)instance_incarnation (i));
  send_request (path, body, &r);
}

static void
format_document (char *out, size_t size, uint64_t version, bool with_guest_key)
{
  snprintf (
      out, size,
      "{\"version\":%llu,\"routes\":[{\"name\":\"r1\",\"database\":\"orders\","
      "\"type\":\"primary\",\"timeout_ms\":%llu,\"service\":\"db\","
      "\"max_attempts\":2},{\"name\":\"r2\",\"database\":\"board\",\"type\":"
      "\"read_your_writes\",\"timeout_ms\":1500,\"service\":\"db\","
      "\"max_attempts\":2,\"max_staleness_ms\":2000}],\"services\":[{\"name\":"
      "\"db\",\"max_connections\":90,\"sync_replicas\":1}],\"limits\":{"
      "\"tx_idle_ms\":3000},\"tenants\":[{\"name\":\"weavers\",\"api_keys\":["
      "\"k1\"],\"rate_per_s\":400,\"burst\":400},{\"name\":\"guests\","
      "\"api_keys\":[%s],\"rate_per_s\":100,\"burst\":100},{\"name\":"
      "\"pressed\",\"api_keys\":[\"p1\"],\"rate_per_s\":10,\"burst\":10}]}",
      (unsigned long long)version, 1200ULL + version % 5 * 100,
      with_guest_key ? "\"g1\"" : "");
}

/* Sends the pending version; the caller repeats it until it is acknowledged.
   The key counts as valid as soon as a document that restores it is sent,
   and as revoked only when the revocation was acknowledged. */
static void
send_document (void)
{
  struct response r;
  char body[BODY_BYTES];
  long status;

  if (pending_has_guest_key)
    atomic_store (&key_revoked_at, 0);
  format_document (body, sizeof body, pending_version, pending_has_guest_key);
  status = send_request ("/v1/Config.Replace", body, &r);
  if (status >= 400 && status < 500 && status != 408 && status != 429)
    report_violation (
        "configuration version %llu was rejected with status %ld",
        (unsigned long long)pending_version, status);
  if (status != 200)
    return;
  if (!pending_has_guest_key)
    atomic_store (&key_revoked_at, now_ms ());
  acked_version = pending_version;
  acked_at = now_ms ();
  acked_has_guest_key = pending_has_guest_key;
  pending_version = 0;
}

static void
send_truncated_document (void)
{
  struct response r;
  char body[BODY_BYTES];
  long status;

  format_document (body, sizeof body, last_version + 100000, true);
  body[strlen (body) / 2] = '\0';
  status = send_request ("/v1/Config.Replace", body, &r);
  if (status == 200)
    report_violation ("a truncated configuration document was acknowledged");
}

/* The version that a control host describes must lie between the last one in
   force everywhere and the last one sent. */
static void
check_described_version (void)
{
  struct response r;
  uint64_t oldest_allowed = in_force_version;
  const char *found;
  uint64_t seen;

  if (send_request ("/v1/Config.Describe", NULL, &r) != 200)
    return;
  found = strstr (r.text, "\"version\":");
  seen = found ? strtoull (found + 10, NULL, 10) : 0;
  if (seen < oldest_allowed || seen > last_version)
    report_violation (
        "configuration version %llu was read, expected %llu to %llu",
        (unsigned long long)seen, (unsigned long long)oldest_allowed,
        (unsigned long long)last_version);
}

static void *
run_operator (void *arg)
{
  int64_t next_heartbeat_at = 0;
  int64_t next_change_at = 0;
  int64_t next_read_at = 0;

  (void)arg;
  for (;;)
    {
      int64_t now = now_ms ();

      if (acked_version && now - acked_at > CONFIG_APPLY_MS)
        in_force_version = acked_version;
      if (now >= next_heartbeat_at)
        {
          for (unsigned i = 0; i < INSTANCES; i++)
            send_heartbeat (i);
          next_heartbeat_at = now + HEARTBEAT_INTERVAL_MS;
        }
      if (!pending_version && now >= next_change_at
          && (!atomic_load (&changes_stopped) || !acked_has_guest_key))
        {
          last_version += 1 + random_choice (4);
          pending_version = last_version;
          pending_has_guest_key = atomic_load (&changes_stopped)
                                  || random_choice (3) > 0 || !acked_version;
          next_change_at = now + CHANGE_INTERVAL_MS;
          if (random_choice (3) == 0)
            send_truncated_document ();
        }
      if (pending_version)
        send_document ();
      if (now >= next_read_at)
        {
          check_described_version ();
          next_read_at = now + READ_INTERVAL_MS;
        }
      usleep (20000);
    }
  return NULL;
}

void
operator_start (void)
{
  pthread_t thread;

  curl_global_init (CURL_GLOBAL_NOTHING);
  random_state = (uint64_t)random_below (1u << 30) * 2 + 1;
  if (pthread_create (&thread, NULL, run_operator, NULL) != 0)
    exit (2);
}

void
operator_stop_changes (void)
{
  atomic_store (&changes_stopped, true);
}

int
operator_primary (void)
{
  return atomic_load (&last_primary);
}

int64_t
operator_key_revoked_at (void)
{
  return atomic_load (&key_revoked_at);
}
