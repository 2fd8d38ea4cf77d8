/*
 * Open-loop load generator.  Arrivals follow a seeded Poisson process and do
 * not wait for responses.  Latency is measured from the scheduled start, so a
 * slow response delays no other request and is counted in full.  Each booking
 * is sent once, under its own idempotency key; at the end the orders stored in
 * the targets are counted.
 */
#include "command.h"

#include "../process/loop.h"
#include "client.h"

#include <argp.h>
#include <cjson/cJSON.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define URLS_MAX 16
#define BODY_MAX 512
#define CODES_MAX 24
#define CODE_NAME_MAX 40
#define POLL_MS 1

struct load_args
{
  const char *urls[URLS_MAX];
  int url_count;
  const char *key;
  const char *group;
  double rate;
  double seconds;
  double write_fraction;
  uint64_t seed;
  const char *label;
};

/* A request without a response so far. */
struct load_request
{
  CURL *curl;
  struct curl_slist *headers;
  char body[BODY_MAX];
  char id[64];
  GString *response;
  int64_t scheduled_at;
  bool write;
};

struct code_counter
{
  char code[CODE_NAME_MAX];
  uint64_t count;
};

struct load
{
  struct load_args args;
  CURLM *multi;
  uint64_t seed;
  uint64_t sent;
  uint64_t done;
  uint64_t replica_reads;
  uint64_t primary_reads;
  uint64_t in_flight;
  double *latency_ms;
  size_t latency_count;
  size_t latency_cap;
  struct code_counter codes[CODES_MAX];
  size_t code_count;
  char **booked;
  size_t booked_count;
  size_t booked_cap;
  char **unknown;
  size_t unknown_count;
  size_t unknown_cap;
  char **not_run;
  size_t not_run_count;
  size_t not_run_cap;
};

static const struct argp_option options[] = {
  { "url", 'u', "URL", 0, "base URL of a host; may be repeated", 0 },
  { "group", 'g', "NAME", 0, "database group (default orders)", 0 },
  { "rate", 'r', "N", 0, "requests per second (default 100)", 0 },
  { "seconds", 't', "S", 0, "duration of the run (default 5)", 0 },
  { "writes", 'w', "SHARE", 0, "fraction of bookings, 0 to 1 (default 0.2)",
    0 },
  { "seed", 'S', "N", 0, "seed of the random numbers (default 1)", 0 },
  { "label", 'l', "TEXT", 0, "prefix of the order ids (default load)", 0 },
  { 0 },
};

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct load_args *a = state->input;

  switch (key)
    {
    case 'u':
      if (a->url_count == URLS_MAX)
        argp_error (state, "too many --url options");
      a->urls[a->url_count++] = arg;
      break;
    case 'g':
      a->group = arg;
      break;
    case 'r':
      a->rate = strtod (arg, NULL);
      break;
    case 't':
      a->seconds = strtod (arg, NULL);
      break;
    case 'w':
      a->write_fraction = strtod (arg, NULL);
      break;
    case 'S':
      a->seed = strtoull (arg, NULL, 10);
      break;
    case 'l':
      a->label = arg;
      break;
    case ARGP_KEY_ARG:
      argp_usage (state);
      break;
    case ARGP_KEY_END:
      if (a->url_count == 0 || !a->key || a->rate <= 0)
        argp_error (
            state,
            "--url, COLTSFOOTSTAGE_KEY and a rate above 0 are required");
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

static double
random_uniform (struct load *l)
{
  return ((double)(cfs_random (&l->seed) >> 11) + 1) / 9007199254740993.0;
}

static size_t
append_body (char *data, size_t size, size_t count, void *ctx)
{
  g_string_append_len (ctx, data, (gssize)(size * count));
  return size * count;
}

static void
prepare_body (struct load *l, struct load_request *r)
{
  unsigned item = (unsigned)(cfs_random (&l->seed) % 20);

  snprintf (r->id, sizeof r->id, "%s-%" PRIu64 "-%" PRIu64, l->args.label,
            l->args.seed, l->sent);
  if (r->write)
    snprintf (r->body, sizeof r->body,
              "{\"sql\":\"INSERT INTO orders (id, team, item, qty) VALUES "
              "($1, $2, $3, $4)\",\"params\":[\"%s\",\"load\",\"item-%u\",1]}",
              r->id, item);
  else
    snprintf (r->body, sizeof r->body,
              "{\"sql\":\"SELECT qty FROM stock WHERE item = $1\",\"params\":"
              "[\"item-%u\"],\"mode\":\"read\"}",
              item);
}

static void
start_request (struct load *l, int64_t scheduled_at)
{
  struct load_request *r = cfs_alloc (sizeof *r);
  char text[256];

  l->sent++;
  r->scheduled_at = scheduled_at;
  r->write = random_uniform (l) < l->args.write_fraction;
  prepare_body (l, r);
  r->response = g_string_new (NULL);
  r->curl = curl_easy_init ();
  snprintf (text, sizeof text, "%s/v1/groups/%s/statements",
            l->args.urls[l->sent % (uint64_t)l->args.url_count],
            l->args.group);
  curl_easy_setopt (r->curl, CURLOPT_URL, text);
  snprintf (text, sizeof text, "Authorization: Bearer %s", l->args.key);
  r->headers = curl_slist_append (NULL, text);
  if (r->write)
    {
      snprintf (text, sizeof text, "Idempotency-Key: %s", r->id);
      r->headers = curl_slist_append (r->headers, text);
    }
  curl_easy_setopt (r->curl, CURLOPT_HTTPHEADER, r->headers);
  curl_easy_setopt (r->curl, CURLOPT_POSTFIELDS, r->body);
  curl_easy_setopt (r->curl, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (r->curl, CURLOPT_WRITEDATA, r->response);
  curl_easy_setopt (r->curl, CURLOPT_PRIVATE, r);
  curl_easy_setopt (r->curl, CURLOPT_TIMEOUT_MS, 30000L);
  curl_easy_setopt (r->curl, CURLOPT_NOSIGNAL, 1L);
  curl_multi_add_handle (l->multi, r->curl);
  l->in_flight++;
}

static void
count_code (struct load *l, const char *code)
{
  size_t i = 0;

  while (i < l->code_count && strcmp (l->codes[i].code, code) != 0)
    i++;
  if (i == CODES_MAX)
    return;
  if (i == l->code_count)
    cfs_copy (l->codes[l->code_count++].code, CODE_NAME_MAX, code);
  l->codes[i].count++;
}

static void
append_id (char ***list, size_t *cap, size_t *count, const char *id)
{
  cfs_grow (list, cap, *count, sizeof **list);
  (*list)[(*count)++] = cfs_strdup (id);
}

static void
record_write (struct load *l, const struct load_request *r,
              const char *outcome)
{
  if (strcmp (outcome, "done") == 0)
    append_id (&l->booked, &l->booked_cap, &l->booked_count, r->id);
  else if (strcmp (outcome, "not_run") == 0)
    append_id (&l->not_run, &l->not_run_cap, &l->not_run_count, r->id);
  else
    append_id (&l->unknown, &l->unknown_cap, &l->unknown_count, r->id);
}

static const char *
json_text (const cJSON *doc, const char *name, const char *fallback)
{
  const cJSON *item = cJSON_GetObjectItemCaseSensitive (doc, name);

  return cJSON_IsString (item) ? item->valuestring : fallback;
}

/* Tells which request got no answer, so that it can be followed in the logs:
   the local port identifies its connection. */
static void
report_unanswered (const struct load_request *r, CURLcode rc)
{
  const char *url = NULL;
  long port = 0;

  curl_easy_getinfo (r->curl, CURLINFO_EFFECTIVE_URL, &url);
  curl_easy_getinfo (r->curl, CURLINFO_LOCAL_PORT, &port);
  fprintf (stderr,
           "load: no answer to request %s, url %s, local port %ld, after %.0f "
           "ms, %zu bytes of body: %s\n",
           r->id, url ? url : "-", port,
           (double)(cfs_now () - r->scheduled_at) / CFS_US_PER_MS,
           r->response->len, curl_easy_strerror (rc));
}

static void
finish_request (struct load *l, struct load_request *r, CURLcode rc)
{
  cJSON *doc = rc == CURLE_OK ? cJSON_Parse (r->response->str) : NULL;
  const char *outcome = json_text (doc, "outcome", "unknown");
  bool ok = strcmp (outcome, "done") == 0;

  if (!doc)
    report_unanswered (r, rc);
  count_code (l, ok ? "ok" : json_text (doc, "code", "no_answer"));
  if (ok)
    {
      cfs_grow (&l->latency_ms, &l->latency_cap, l->latency_count,
                sizeof *l->latency_ms);
      l->latency_ms[l->latency_count++]
          = (double)(cfs_now () - r->scheduled_at) / CFS_US_PER_MS;
      l->done++;
      if (!r->write && strcmp (json_text (doc, "from", ""), "replica") == 0)
        l->replica_reads++;
      else if (!r->write)
        l->primary_reads++;
    }
  if (r->write)
    record_write (l, r, outcome);
  cJSON_Delete (doc);
  curl_multi_remove_handle (l->multi, r->curl);
  curl_easy_cleanup (r->curl);
  curl_slist_free_all (r->headers);
  g_string_free (r->response, TRUE);
  free (r);
  l->in_flight--;
}

static void
process_completions (struct load *l)
{
  CURLMsg *msg;
  int left;
  int running;

  curl_multi_perform (l->multi, &running);
  while ((msg = curl_multi_info_read (l->multi, &left)))
    if (msg->msg == CURLMSG_DONE)
      {
        struct load_request *r = NULL;

        curl_easy_getinfo (msg->easy_handle, CURLINFO_PRIVATE, &r);
        finish_request (l, r, msg->data.result);
      }
}

static void
run (struct load *l)
{
  int64_t next = cfs_now ();
  int64_t end = next + (int64_t)(l->args.seconds * CFS_US_PER_S);

  while (next < end || l->in_flight)
    {
      while (next < end && cfs_now () >= next)
        {
          start_request (l, next);
          next += (int64_t)(-log (random_uniform (l)) / l->args.rate
                            * CFS_US_PER_S);
        }
      process_completions (l);
      curl_multi_poll (l->multi, NULL, 0, POLL_MS, NULL);
    }
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;

  return x < y ? -1 : x > y;
}

static double
percentile (const struct load *l, double fraction)
{
  if (l->latency_count == 0)
    return 0;
  return l->latency_ms[(size_t)((double)(l->latency_count - 1) * fraction)];
}

/* Returns how often an order is stored on the primary, or -1 when the query
   fails. */
static int
count_stored (const struct load *l, const char *id)
{
  struct cfs_client c
      = { .url = l->args.urls[0], .key = l->args.key, .timeout_ms = 15000 };
  struct cfs_client_response response;
  char path[128];
  char body[BODY_MAX];
  cJSON *doc;
  int n = -1;

  snprintf (path, sizeof path, "/v1/groups/%s/statements", l->args.group);
  snprintf (body, sizeof body,
            "{\"sql\":\"SELECT id, team, item, qty FROM orders WHERE id = "
            "$1\",\"params\":[\"%s\"],\"mode\":\"read\",\"max_age_ms\":0}",
            id);
  for (int attempt = 0; attempt < 20 && n < 0; attempt++)
    {
      if (!cfs_client_send (&c, "POST", path, NULL, body, &response, NULL))
        continue;
      doc = cJSON_Parse (response.body);
      if (strcmp (json_text (doc, "outcome", ""), "done") == 0)
        n = cJSON_GetArraySize (cJSON_GetObjectItem (doc, "rows"));
      cJSON_Delete (doc);
      cfs_client_response_clear (&response);
    }
  return n;
}

static size_t
count_wrong (const struct load *l, char **ids, size_t count, int min_count,
             int max_count)
{
  size_t wrong = 0;

  for (size_t i = 0; i < count; i++)
    {
      int n = count_stored (l, ids[i]);

      if (n >= min_count && n <= max_count)
        continue;
      wrong++;
      fprintf (stderr, "load: order %s is stored %d times\n", ids[i], n);
    }
  return wrong;
}

static size_t
report (struct load *l)
{
  uint64_t reads = l->replica_reads + l->primary_reads;
  size_t wrong = count_wrong (l, l->booked, l->booked_count, 1, 1)
                 + count_wrong (l, l->not_run, l->not_run_count, 0, 0)
                 + count_wrong (l, l->unknown, l->unknown_count, 0, 1);

  qsort (l->latency_ms, l->latency_count, sizeof *l->latency_ms,
         compare_doubles);
  printf ("sent %" PRIu64 ", done %" PRIu64 " (%.1f statements/s)\n", l->sent,
          l->done, (double)l->done / l->args.seconds);
  printf ("latency ms: p50 %.1f, p99 %.1f, max %.1f\n", percentile (l, 0.5),
          percentile (l, 0.99), percentile (l, 1));
  printf ("reads on replicas: %.1f%% of %" PRIu64 "\n",
          reads ? 100.0 * (double)l->replica_reads / (double)reads : 0, reads);
  for (size_t i = 0; i < l->code_count; i++)
    printf ("answers %s: %" PRIu64 "\n", l->codes[i].code, l->codes[i].count);
  printf ("booked once: %zu booked, %zu refused, %zu unsure, %zu wrong\n",
          l->booked_count, l->not_run_count, l->unknown_count, wrong);
  return wrong;
}

static void
free_list (char **list, size_t count)
{
  for (size_t i = 0; i < count; i++)
    free (list[i]);
  free (list);
}

int
command_load (int argc, char **argv)
{
  static const char doc[]
      = "Generates seeded open-loop load and reports throughput, latency, the "
        "fraction of reads on replicas, errors, and whether each order is "
        "stored exactly once.";
  struct argp argp = { options, parse, NULL, doc, NULL, NULL, NULL };
  struct load l = { .args = { .group = "orders",
                              .rate = 100,
                              .seconds = 5,
                              .write_fraction = 0.2,
                              .seed = 1,
                              .label = "load",
                              .key = getenv ("COLTSFOOTSTAGE_KEY") } };
  size_t wrong;

  argp_parse (&argp, argc, argv, 0, NULL, &l.args);
  l.seed = l.args.seed ? l.args.seed : 1;
  l.multi = curl_multi_init ();
  run (&l);
  wrong = report (&l);
  curl_multi_cleanup (l.multi);
  free_list (l.booked, l.booked_count);
  free_list (l.unknown, l.unknown_count);
  free_list (l.not_run, l.not_run_count);
  free (l.latency_ms);
  return wrong ? EXIT_FAILED : EXIT_OK;
}
