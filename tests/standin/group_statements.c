/*
 * Statements and their replies.  While replies stutter, some are sent a second
 * time later.  A late order (PAUSE, RESUME, DEMOTE) gets no reply.
 *
 * "TIME tN connection SERIAL ran ID PROOF TEXT" is printed for each read,
 * write and commit that runs; a line that begins with FAULT is a violation.
 */
#include "group.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define LATE_MAX 1024

/* A second copy of a reply, or an order that is carried out late. */
struct late_item
{
  /* 0 while unused. */
  int64_t due_at;
  bool order;
  int connection;
  unsigned serial;
  int instance;
  char text[REPLY_BYTES];
};

static struct late_item late_items[LATE_MAX];
static uint64_t proof_count;
static unsigned stutter_percent;
static unsigned stutter_delay_ms;
static unsigned late_order_count;

void
set_stutter (unsigned percent, unsigned delay_ms)
{
  stutter_percent = percent;
  stutter_delay_ms = delay_ms;
}

void
delay_orders (unsigned count)
{
  late_order_count = count;
}

static void
add_late_item (const struct connection *c, bool order, const char *text,
               unsigned delay_ms)
{
  for (size_t i = 0; i < LATE_MAX; i++)
    if (!late_items[i].due_at)
      {
        struct late_item *l = &late_items[i];

        l->due_at = now_ms () + delay_ms;
        l->order = order;
        l->connection = (int)(c - connections);
        l->serial = c->serial;
        l->instance = c->instance;
        snprintf (l->text, sizeof l->text, "%s", text);
        return;
      }
}

static void
add_text (struct connection *c, const char *text)
{
  size_t len = strlen (text);

  if (c->reply_len + len >= sizeof c->reply)
    return;
  memcpy (c->reply + c->reply_len, text, len + 1);
  c->reply_len += len;
}

void
send_reply (struct connection *c)
{
  if (c->started && random_below (100) < stutter_percent)
    add_late_item (c, false, c->reply, random_below (stutter_delay_ms + 1));
  if (send (c->fd, c->reply, c->reply_len, MSG_NOSIGNAL) < 0)
    shutdown (c->fd, SHUT_RDWR);
  c->reply_len = 0;
}

static void
end_reply (struct connection *c)
{
  const struct instance *in = &instances[c->instance];
  char line[LINE_BYTES];

  snprintf (line, sizeof line, "READY %c %" PRIu64 ".%" PRIu64 "\r\n",
            c->state, in->term, in->received);
  add_text (c, line);
  send_reply (c);
}

static void
complete (struct connection *c)
{
  add_text (c, "COMPLETE -\r\n");
  end_reply (c);
}

static void
complete_with_proof (struct connection *c, uint64_t proof)
{
  char line[LINE_BYTES];

  snprintf (line, sizeof line, "COMPLETE mac.%" PRIu64 "\r\n", proof);
  add_text (c, line);
  end_reply (c);
}

/* Return: the proof of the statement that runs now. */
static uint64_t
record_run (const struct connection *c, const char *verb, const char *item,
            const char *data)
{
  print_event ("t%d connection %u ran %s mac.%" PRIu64 " %s%s%s%s%s",
               c->instance + 1, c->serial, c->id, ++proof_count, verb,
               item ? " " : "", item ? item : "", data ? " " : "",
               data ? data : "");
  return proof_count;
}

static void
send_error (struct connection *c, const char *code)
{
  char line[LINE_BYTES];

  snprintf (line, sizeof line, "ERROR %s t%d\r\n", code, c->instance + 1);
  add_text (c, line);
  end_reply (c);
}

/* Commits, and completes at once or when a replica has the commit. */
static void
commit (struct connection *c, uint64_t proof)
{
  uint64_t number = commit_writes (c);

  if (!number || is_replicated (c->instance, number))
    {
      complete_with_proof (c, proof);
      return;
    }
  c->awaited_commit = number;
  c->awaited_proof = proof;
}

void
complete_waiting_commits (void)
{
  for (int i = 0; i < CONNECTIONS; i++)
    if (connections[i].fd >= 0 && connections[i].awaited_commit
        && is_replicated (connections[i].instance,
                          connections[i].awaited_commit))
      {
        connections[i].awaited_commit = 0;
        complete_with_proof (&connections[i], connections[i].awaited_proof);
      }
}

static void
read_item (struct connection *c, const char *name)
{
  const char *data = find_item (c->instance, name);
  uint64_t proof = record_run (c, "READ", name, NULL);
  char line[LINE_BYTES];

  if (data)
    {
      snprintf (line, sizeof line, "ROW %s\r\n", data);
      add_text (c, line);
    }
  complete_with_proof (c, proof);
}

static void
write_item (struct connection *c, char *args)
{
  struct log_entry *w = &c->tx_writes[c->tx_write_count % TX_WRITES_MAX];
  char *data = strchr (args, ' ');
  uint64_t proof;

  if (!is_primary (c->instance) || c->read_only || !data)
    {
      if (c->state == 'T')
        c->state = 'E';
      send_error (c, "READONLY");
      return;
    }
  *data++ = '\0';
  snprintf (w->id, sizeof w->id, "%s", c->id);
  snprintf (w->item, sizeof w->item, "%s", args);
  snprintf (w->data, sizeof w->data, "%s", data);
  c->tx_write_count++;
  proof = record_run (c, "WRITE", args, data);
  if (c->state == 'I')
    commit (c, proof);
  else
    complete_with_proof (c, proof);
}

static void
begin_transaction (struct connection *c, bool read_only)
{
  if (!read_only && !is_primary (c->instance))
    {
      send_error (c, "READONLY");
      return;
    }
  c->state = 'T';
  c->read_only = read_only;
  c->tx_term = term;
  c->tx_write_count = 0;
  complete (c);
}

static void
end_transaction (struct connection *c)
{
  c->tx_write_count = 0;
  c->read_only = false;
  c->state = 'I';
}

static void
commit_transaction (struct connection *c)
{
  uint64_t proof;

  if (c->state == 'I')
    {
      printf ("FAULT COMMIT %s outside a transaction\n", c->id);
      send_error (c, "MALFORMED");
      return;
    }
  if (c->state == 'E')
    {
      end_transaction (c);
      send_error (c, "ABORTED");
      return;
    }
  proof = record_run (c, "COMMIT", NULL, NULL);
  c->state = 'I';
  commit (c, proof);
  c->read_only = false;
}

static void
send_status (struct connection *c)
{
  const struct instance *in = &instances[c->instance];
  char line[LINE_BYTES];
  int count = 0;

  for (int i = 0; i < CONNECTIONS; i++)
    count += connections[i].fd >= 0 && connections[i].instance == c->instance;
  snprintf (line, sizeof line,
            "ROW %s %" PRIu64 " %" PRIu64 ".%" PRIu64 " %" PRIu64
            " 0 0 %d\r\n",
            c->instance == primary ? "primary" : "replica", in->term, in->term,
            in->received, in->held_term, count);
  add_text (c, line);
  complete (c);
}

static bool
is_order (const char *text)
{
  return strncmp (text, "PAUSE ", 6) == 0 || strcmp (text, "RESUME") == 0
         || strncmp (text, "DEMOTE ", 7) == 0;
}

static void
apply_order (int instance, const char *text)
{
  if (*text == 'P')
    pause_instance (instance, strtoull (text + 6, NULL, 10));
  else if (*text == 'D')
    demote_instance (instance, strtoull (text + 7, NULL, 10));
  else
    instances[instance].held_term = 0;
}

static void
handle_order (struct connection *c, const char *text)
{
  if (!late_order_count)
    {
      apply_order (c->instance, text);
      send_status (c);
      return;
    }
  late_order_count--;
  c->stalled = true;
  add_late_item (c, true, text,
                 LATE_MIN_MS + random_below (LATE_MAX_MS - LATE_MIN_MS));
}

static void
run_late_item (const struct late_item *l)
{
  struct connection *c = &connections[l->connection];
  bool open = c->fd >= 0 && c->serial == l->serial;

  if (l->order && instances[l->instance].up)
    {
      apply_order (l->instance, l->text);
      print_event ("t%d: late order %s", l->instance + 1, l->text);
    }
  if (!open)
    return;
  if (!l->order)
    print_event ("t%d connection %u gets again %.*s", c->instance + 1,
                 c->serial, (int)strcspn (l->text, "\r"), l->text);
  if (l->order || send (c->fd, l->text, strlen (l->text), MSG_NOSIGNAL) < 0)
    shutdown (c->fd, SHUT_RDWR);
}

void
run_late_replies_and_orders (void)
{
  int64_t now = now_ms ();

  for (size_t i = 0; i < LATE_MAX; i++)
    if (late_items[i].due_at && now >= late_items[i].due_at)
      {
        late_items[i].due_at = 0;
        run_late_item (&late_items[i]);
      }
}

/* Whether the instance has reached the position "TERM.NUMBER". */
static bool
has_position (const struct connection *c, const char *text)
{
  uint64_t t = strtoull (text, NULL, 10);
  const char *dot = strchr (text, '.');
  uint64_t n = dot ? strtoull (dot + 1, NULL, 10) : 0;
  const struct instance *in = &instances[c->instance];

  return in->term > t || (in->term == t && in->received >= n);
}

static void
execute (struct connection *c, char *args)
{
  char *item = strchr (args, ' ');
  size_t len = item ? (size_t)(item - args) : strlen (args);

  for (size_t i = 0; item && i < c->prepared_count && i < PREPARED_MAX; i++)
    if (strncmp (c->prepared[i], args, len) == 0 && c->prepared[i][len] == ' ')
      {
        if (strncmp (c->prepared[i] + len + 1, "WRITE", 5) == 0)
          write_item (c, item + 1);
        else
          read_item (c, item + 1);
        return;
      }
  send_error (c, "NOSTMT");
}

static void
run_statement (struct connection *c, char *text)
{
  bool lost_lead = c->state == 'T' && !c->read_only
                   && (!is_primary (c->instance) || c->tx_term != term);
  bool commits = strcmp (text, "COMMIT") == 0;

  if (strcmp (text, "ROLLBACK") == 0)
    {
      end_transaction (c);
      complete (c);
    }
  else if (c->state == 'E' && !commits)
    send_error (c, "MALFORMED");
  else if (lost_lead && !(commits && c->tx_write_count == 0))
    {
      c->state = 'E';
      send_error (c, "READONLY");
    }
  else if (commits)
    commit_transaction (c);
  else if (strcmp (text, "BEGIN") == 0 || strcmp (text, "BEGIN READ") == 0)
    begin_transaction (c, text[5] == ' ');
  else if (strncmp (text, "READ ", 5) == 0)
    read_item (c, text + 5);
  else if (strncmp (text, "WRITE ", 6) == 0)
    write_item (c, text + 6);
  else if (strncmp (text, "PREPARE ", 8) == 0)
    {
      snprintf (c->prepared[c->prepared_count++ % PREPARED_MAX], LINE_BYTES,
                "%s", text + 8);
      complete (c);
    }
  else if (strncmp (text, "EXECUTE ", 8) == 0)
    execute (c, text + 8);
  else if (is_order (text))
    handle_order (c, text);
  else if (strcmp (text, "STATUS") == 0)
    send_status (c);
  else
    complete (c);
}

/* Removes "AFTER TERM.NUMBER" from a statement.  Return: the rest, or NULL if
   the instance has not reached the position. */
static char *
skip_position (const struct connection *c, char *text)
{
  char *rest;

  if (strncmp (text, "AFTER ", 6) != 0)
    return text;
  rest = strchr (text + 6, ' ');
  return rest && has_position (c, text + 6) ? rest + 1 : NULL;
}

/* Reports a statement of one caller inside a transaction of another. */
static void
check_owner (struct connection *c)
{
  size_t len = strcspn (c->id, "-");
  char owner[OWNER_BYTES];

  if (len == 0)
    return;
  snprintf (owner, sizeof owner, "%.*s", (int)len, c->id);
  if (c->state == 'T' && *c->owner && strcmp (owner, c->owner) != 0)
    printf ("FAULT statement %s inside a transaction of %s\n", c->id,
            c->owner);
  memcpy (c->owner, owner, sizeof owner);
}

static void
handle_startup (struct connection *c, const char *line)
{
  char name[64] = "";
  char id[64] = "";
  char expected[16];

  snprintf (expected, sizeof expected, "t%d", c->instance + 1);
  if (sscanf (line, "STARTUP %63s %*s %63s", name, id) < 1
      || strcmp (name, service) != 0 || (*id && strcmp (id, expected) != 0))
    {
      add_text (c, "ERROR MISROUTED no\r\n");
      send_reply (c);
      shutdown (c->fd, SHUT_RDWR);
      return;
    }
  c->state = 'I';
  end_reply (c);
  c->started = true;
}

void
handle_line (struct connection *c, char *line)
{
  char *text
      = strncmp (line, "QUERY ", 6) == 0 ? strchr (line + 6, ' ') : NULL;

  if (!c->started)
    {
      handle_startup (c, line);
      return;
    }
  if (!text)
    return;
  snprintf (c->id, sizeof c->id, "%.*s", (int)(text - line - 6), line + 6);
  check_owner (c);
  text = skip_position (c, text + 1);
  if (text)
    run_statement (c, text);
  else
    send_error (c, "LAGGING");
  if (c->state != 'T')
    *c->owner = '\0';
}
