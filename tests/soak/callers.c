/*
 * Callers.  Each caller owns one item and writes increasing numbers to it, so
 * that a read or the group's log shows whether a write is missing, was
 * committed twice or is too old.  A caller uses its connection until an error
 * or a time-out, then connects again.
 */
#include "soak.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define WRITES_MAX 20000
#define REPLY_TIMEOUT_MS 6000
#define MAX_STALENESS_MS 2000
#define THINK_TIME_MAX_MS 120
/* Callers leave during one of so many statements. */
#define LEAVE_ONE_IN 60
#define ROLLBACK_ONE_IN 8
/* Callers leave in one of so many pauses of a transaction. */
#define LEAVE_TX_ONE_IN 20
#define LEAVE_MAX_MS 10
#define RATE_WINDOW_MS 5000
#define LIMITED_RATE 10.0
#define LIMITED_BURST 10.0
#define ADMITTED_MAX 65536

/* What a caller tests; there are FRONTS callers of each kind. */
enum caller_kind
{
  /* Single statements on the route of type primary. */
  KIND_PRIMARY,
  /* Single statements on the route of type read_your_writes. */
  KIND_READ_YOUR_WRITES,
  /* BEGIN, READ, WRITE, COMMIT on the route of type primary. */
  KIND_TRANSACTION,
  /* As KIND_READ_YOUR_WRITES, with the key that is revoked at times. */
  KIND_REVOCABLE_KEY,
  /* As KIND_READ_YOUR_WRITES, in the team with a low rate. */
  KIND_RATE_LIMITED
};

enum stage
{
  CLOSED,
  STARTING,
  IDLE,
  WAITING
};

/* What the replies say about a write. */
enum outcome
{
  OUTCOME_UNKNOWN,
  ACKED,
  NOT_COMMITTED
};

enum step
{
  STEP_READ,
  STEP_WRITE,
  STEP_BEGIN,
  STEP_INNER_READ,
  STEP_INNER_WRITE,
  STEP_COMMIT,
  STEP_ROLLBACK,
  STEP_PREPARE
};

struct caller
{
  unsigned index;
  enum caller_kind kind;
  enum stage stage;
  enum step step;
  int fd;
  /* Next connect or statement, or the time-out of the reply. */
  int64_t due_at;
  unsigned statement_count;
  /* Number of the last write sent; writes are numbered from 1. */
  unsigned write_count;
  /* Last acknowledged write, on the present connection and on any. */
  unsigned session_last_acked;
  unsigned last_acked;
  /* Item being read, and the least number that the read must return. */
  unsigned item;
  unsigned min_value;
  unsigned row_value;
  bool row_of_other_item;
  int64_t sent_at;
  /* A transaction is open, its last statement was @step. */
  bool in_tx;
  /* Whether the connection has the statement for writes. */
  bool prepared;
  char error_code[32];
  char input[LINE_BYTES * 4];
  size_t input_len;
  /* Per write: enum outcome, occurrences in the group's log, and the time of
     the acknowledgement. */
  unsigned char outcome[WRITES_MAX];
  unsigned char commit_count[WRITES_MAX];
  int64_t acked_at[WRITES_MAX];
};

static struct caller callers[CALLERS];
/* Times at which statements of the rate-limited team succeeded. */
static int64_t admitted_at[ADMITTED_MAX];
static size_t admitted_count;
static unsigned served_count;

static void
close_caller (struct caller *c, int64_t reconnect_ms)
{
  if (c->fd >= 0)
    close (c->fd);
  c->fd = -1;
  c->stage = CLOSED;
  c->input_len = 0;
  c->session_last_acked = 0;
  c->in_tx = false;
  c->prepared = false;
  c->due_at = now_ms () + reconnect_ms;
}

static void
send_text (struct caller *c, const char *text)
{
  if (send (c->fd, text, strlen (text), MSG_NOSIGNAL) < 0)
    c->due_at = now_ms ();
}

static void
open_caller (struct caller *c)
{
  /* API keys by caller kind. */
  static const char *const keys[] = { "k1", "k1", "k1", "g1", "p1" };
  struct sockaddr_in to = { .sin_family = AF_INET };
  char text[64];

  c->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  to.sin_port = htons (PORT_SESSION);
  inet_pton (AF_INET, loopback_address (ADDRESS_CALLERS + c->index % FRONTS),
             &to.sin_addr);
  if (connect (c->fd, (struct sockaddr *)&to, sizeof to) != 0)
    {
      close_caller (c, 300);
      return;
    }
  snprintf (text, sizeof text, "STARTUP %s %s\r\n",
            c->kind == KIND_PRIMARY || c->kind == KIND_TRANSACTION ? "orders"
                                                                   : "board",
            keys[c->kind]);
  c->stage = STARTING;
  c->due_at = now_ms () + REPLY_TIMEOUT_MS;
  send_text (c, text);
}

/* The least number of @writer that a read sent now by @c must return: the
   last acknowledged one on the primary; elsewhere the last one that is older
   than the route's max_staleness_ms, or the caller's own last write. */
static unsigned
min_expected_value (const struct caller *c, const struct caller *writer)
{
  int64_t since = now_ms () - MAX_STALENESS_MS;
  unsigned n = writer->last_acked;

  if (c->kind == KIND_PRIMARY || c->kind == KIND_TRANSACTION)
    return n;
  while (n > 0 && (writer->outcome[n] != ACKED || writer->acked_at[n] > since))
    n--;
  if (c == writer && c->session_last_acked > n)
    n = c->session_last_acked;
  return n;
}

/* @text: as it is sent.  @effect: the same with a prepared statement replaced
   by its shape, or NULL for a statement without a proof. */
static void
send_query (struct caller *c, enum step step, const char *text,
            const char *effect)
{
  char line[LINE_BYTES];

  c->step = step;
  c->stage = WAITING;
  c->sent_at = now_ms ();
  c->due_at = c->sent_at + REPLY_TIMEOUT_MS;
  c->row_value = 0;
  c->row_of_other_item = false;
  *c->error_code = '\0';
  snprintf (line, sizeof line, "QUERY c%u-%u %s\r\n", c->index,
            ++c->statement_count, text);
  if (effect)
    proofs_sent (c->index, c->statement_count, effect);
  send_text (c, line);
  if (random_for_callers (LEAVE_ONE_IN) == 0)
    c->due_at = now_ms () + random_for_callers (LEAVE_MAX_MS);
}

static void
send_read (struct caller *c, enum step step)
{
  char text[64];

  if (step == STEP_READ)
    {
      c->item
          = random_for_callers (2) ? c->index : random_for_callers (CALLERS);
      c->min_value = min_expected_value (c, &callers[c->item]);
    }
  snprintf (text, sizeof text, "READ i%u", c->item);
  send_query (c, step, text, text);
}

static void
send_write (struct caller *c, enum step step)
{
  char text[80];
  char effect[64];

  if (c->write_count + 1 >= WRITES_MAX)
    return;
  c->write_count++;
  snprintf (effect, sizeof effect, "WRITE i%u %u-%u", c->index, c->index,
            c->write_count);
  snprintf (text, sizeof text, "%s%s", c->prepared ? "EXECUTE w" : "WRITE",
            effect + strlen ("WRITE"));
  send_query (c, step, text, effect);
}

/* The connection was closed, by the caller perhaps, or the reply timed out.  A
   write inside a transaction whose COMMIT was not sent cannot be committed. */
static void
fail_connection (struct caller *c)
{
  if (c->step == STEP_INNER_WRITE && (c->in_tx || c->stage == WAITING))
    c->outcome[c->write_count] = NOT_COMMITTED;
  close_caller (c, 100 + random_for_callers (300));
}

static void
end_transaction (struct caller *c)
{
  if (random_for_callers (ROLLBACK_ONE_IN))
    {
      send_query (c, STEP_COMMIT, "COMMIT", "COMMIT");
      return;
    }
  c->outcome[c->write_count] = NOT_COMMITTED;
  send_query (c, STEP_ROLLBACK, "ROLLBACK", NULL);
}

/* Sends the next statement of the open transaction, or leaves. */
static void
continue_transaction (struct caller *c)
{
  if (random_for_callers (LEAVE_TX_ONE_IN) == 0)
    fail_connection (c);
  else if (c->step == STEP_BEGIN)
    send_read (c, STEP_INNER_READ);
  else if (c->step == STEP_INNER_READ)
    send_write (c, STEP_INNER_WRITE);
  else
    end_transaction (c);
}

static void
start_operation (struct caller *c)
{
  if (c->in_tx)
    continue_transaction (c);
  else if (c->kind == KIND_TRANSACTION)
    {
      c->item = c->index;
      c->min_value = min_expected_value (c, c);
      send_query (c, STEP_BEGIN, "BEGIN", NULL);
    }
  else if (c->kind == KIND_READ_YOUR_WRITES && !c->prepared)
    send_query (c, STEP_PREPARE, "PREPARE w WRITE q", NULL);
  else if (random_for_callers (2))
    send_write (c, STEP_WRITE);
  else
    send_read (c, STEP_READ);
}

/* Whether an error with this code guarantees that the write was not
   committed. */
static bool
is_definite_error (const char *code)
{
  static const char *const codes[]
      = { "BUSY", "ABORTED", "LAGGING", "READONLY", "MISROUTED", "CONNLIMIT" };

  for (size_t i = 0; i < sizeof codes / sizeof codes[0]; i++)
    if (strcmp (code, codes[i]) == 0)
      return true;
  return false;
}

static void
record_outcome (struct caller *c, bool ok)
{
  unsigned n = c->write_count;

  if (ok)
    {
      c->outcome[n] = ACKED;
      c->acked_at[n] = now_ms ();
      c->last_acked = c->session_last_acked = n;
    }
  else if (c->step == STEP_INNER_WRITE || is_definite_error (c->error_code))
    c->outcome[n] = NOT_COMMITTED;
}

static void
check_row (struct caller *c)
{
  if (c->row_of_other_item)
    report_violation ("MIXED: caller %u: READ returned a row of another item",
                      c->index);
  if (c->row_value < c->min_value)
    report_violation (
        "STALE: caller %u read %u of item %u, expected at least %u", c->index,
        c->row_value, c->item, c->min_value);
}

static void
record_success (struct caller *c, int64_t sent_at)
{
  int64_t since = operator_key_revoked_at ();

  served_count++;
  if (c->kind == KIND_REVOCABLE_KEY && since && sent_at - since > REVOKE_MS)
    report_violation (
        "a statement with a revoked key succeeded %d ms after the "
        "revocation was acknowledged",
        (int)(sent_at - since));
  if (c->kind == KIND_RATE_LIMITED && admitted_count < ADMITTED_MAX)
    admitted_at[admitted_count++] = now_ms ();
}

static bool
has_proof (enum step step)
{
  return step != STEP_BEGIN && step != STEP_ROLLBACK && step != STEP_PREPARE;
}

/* The reply ended with READY: checks it. */
static void
handle_reply (struct caller *c)
{
  bool ok = *c->error_code == '\0';

  c->stage = IDLE;
  c->due_at = now_ms () + random_for_callers (THINK_TIME_MAX_MS);
  if (ok && has_proof (c->step))
    record_success (c, c->sent_at);
  if (ok && (c->step == STEP_READ || c->step == STEP_INNER_READ))
    check_row (c);
  if (c->step == STEP_WRITE || c->step == STEP_COMMIT)
    record_outcome (c, ok);
  if (!ok && c->step == STEP_INNER_WRITE)
    record_outcome (c, false);
  c->in_tx = c->step >= STEP_BEGIN && c->step <= STEP_INNER_WRITE;
  c->prepared = c->prepared || c->step == STEP_PREPARE;
  if (!ok)
    close_caller (c, 100 + random_for_callers (300));
}

static void
handle_line (struct caller *c, char *line)
{
  unsigned owner;

  if (c->stage == STARTING)
    {
      if (strncmp (line, "READY", 5) != 0)
        {
          close_caller (c, 300);
          return;
        }
      c->stage = IDLE;
      c->due_at = now_ms () + random_for_callers (THINK_TIME_MAX_MS);
    }
  else if (c->stage != WAITING)
    {
      if (strncmp (line, "ERROR", 5) != 0)
        report_violation ("MIXED: caller %u: line received with no statement "
                          "in progress: %s",
                          c->index, line);
    }
  else if (sscanf (line, "ROW %u-%u", &owner, &c->row_value) == 2)
    c->row_of_other_item = owner != c->item;
  else if (strncmp (line, "ERROR ", 6) == 0)
    sscanf (line, "ERROR %31s", c->error_code);
  else if (strncmp (line, "COMPLETE ", 9) == 0 && has_proof (c->step))
    proofs_received (c->index, c->statement_count, line + 9);
  else if (strncmp (line, "READY", 5) == 0)
    handle_reply (c);
}

static void
receive (struct caller *c)
{
  ssize_t got = recv (c->fd, c->input + c->input_len,
                      sizeof c->input - c->input_len - 1, MSG_DONTWAIT);
  char *end;

  if (got == 0 || (got < 0 && errno != EAGAIN))
    {
      fail_connection (c);
      return;
    }
  if (got < 0)
    return;
  c->input_len += (size_t)got;
  c->input[c->input_len] = '\0';
  while (c->fd >= 0 && (end = strstr (c->input, "\r\n")))
    {
      char line[LINE_BYTES];

      snprintf (line, sizeof line, "%.*s", (int)(end - c->input), c->input);
      c->input_len -= (size_t)(end + 2 - c->input);
      memmove (c->input, end + 2, c->input_len + 1);
      handle_line (c, line);
    }
}

void
callers_start (void)
{
  for (unsigned i = 0; i < CALLERS; i++)
    {
      callers[i].index = i;
      callers[i].kind = (enum caller_kind) (i / FRONTS);
      callers[i].fd = -1;
    }
}

void
callers_tick (int wait_ms)
{
  struct pollfd fds[CALLERS];
  int64_t now;

  for (unsigned i = 0; i < CALLERS; i++)
    fds[i] = (struct pollfd){ callers[i].fd, POLLIN, 0 };
  poll (fds, CALLERS, wait_ms);
  now = now_ms ();
  for (unsigned i = 0; i < CALLERS; i++)
    {
      struct caller *c = &callers[i];

      if (c->fd >= 0 && fds[i].revents)
        receive (c);
      if (now < c->due_at)
        continue;
      if (c->stage == CLOSED)
        open_caller (c);
      else if (c->stage == IDLE)
        start_operation (c);
      else
        fail_connection (c);
    }
}

unsigned
callers_served (void)
{
  unsigned n = served_count;

  served_count = 0;
  return n;
}

static void
count_commit (const char *item, const char *data)
{
  unsigned item_index;
  unsigned writer;
  unsigned n;

  if (sscanf (item, "i%u", &item_index) != 1
      || sscanf (data, "%u-%u", &writer, &n) != 2 || writer != item_index
      || item_index >= CALLERS || n >= WRITES_MAX)
    report_violation (
        "UNASKED: the group's log has %s %s, which no caller wrote", item,
        data);
  else if (callers[item_index].commit_count[n]++ > 0)
    report_violation ("TWICE: write %s was committed twice", data);
}

/* No window of RATE_WINDOW_MS may hold more successes than rate and burst
   allow, plus the tolerated 10 % and 20 operations. */
static void
check_rate (void)
{
  const double max_admitted
      = (LIMITED_RATE * RATE_WINDOW_MS / 1000 + LIMITED_BURST) * 1.1 + 20;
  size_t from = 0;

  for (size_t i = 0; i < admitted_count; i++)
    {
      while (admitted_at[i] - admitted_at[from] > RATE_WINDOW_MS)
        from++;
      if ((double)(i - from + 1) > max_admitted)
        {
          report_violation (
              "%zu statements of the rate-limited team succeeded within "
              "%d ms",
              i - from + 1, RATE_WINDOW_MS);
          return;
        }
    }
}

void
callers_check (void)
{
  unsigned acked = 0;

  if (!proofs_check (count_commit))
    report_violation ("the group's log could not be read completely");
  for (unsigned i = 0; i < CALLERS; i++)
    for (unsigned n = 1; n <= callers[i].write_count; n++)
      {
        const struct caller *c = &callers[i];

        acked += c->outcome[n] == ACKED;
        if (c->outcome[n] == ACKED && !c->commit_count[n])
          report_violation (
              "LOST: write %u-%u was acknowledged but is not in the log", i,
              n);
        if (c->outcome[n] == NOT_COMMITTED && c->commit_count[n])
          report_violation (
              "REFUSED: write %u-%u must not be committed but is in the log",
              i, n);
      }
  check_rate ();
  log_event ("%u writes acknowledged, %zu statements of the rate-limited team "
             "succeeded",
             acked, admitted_count);
}
