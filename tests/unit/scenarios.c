/*
 * Runs each tests/scenarios/NAME.scn and compares its trace with
 * NAME.expected.  A scenario has one command per line; '#' starts a comment.
 * The first command selects the simulation: "world gate" or "world control".
 * UPDATE=1 in the environment rewrites the expected traces.
 */
#include "../world/control.h"
#include "../world/gate.h"

#include <dirent.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define WORDS_MAX 12
#define FOLDER "tests/scenarios/"

struct scenario
{
  FILE *out;
  struct world_gate *gate;
  struct world_control *control;
  char *words[WORDS_MAX];
  int count;
};

static const char *
option (const struct scenario *s, const char *name, const char *fallback)
{
  for (int i = 1; i + 1 < s->count; i++)
    if (strcmp (s->words[i], name) == 0)
      return s->words[i + 1];
  return fallback;
}

static long
number_option (const struct scenario *s, const char *name, long fallback)
{
  const char *text = option (s, name, NULL);

  return text ? strtol (text, NULL, 10) : fallback;
}

static bool
has_flag (const struct scenario *s, const char *name)
{
  for (int i = 1; i < s->count; i++)
    if (strcmp (s->words[i], name) == 0)
      return true;
  return false;
}

static unsigned
number_argument (const struct scenario *s)
{
  return s->count > 1 ? (unsigned)strtoul (s->words[1], NULL, 10) : 0;
}

static struct wg_request *
find_request (struct world_gate *w, const char *name)
{
  for (int i = w->request_count; i > 0; i--)
    if (strcmp (w->requests[i - 1].name, name) == 0)
      return &w->requests[i - 1];
  return NULL;
}

static void
submit (struct scenario *s, enum cfs_request_kind kind)
{
  const char *tx = option (s, "in", NULL);
  const struct wg_request *begin = tx ? find_request (s->gate, tx) : NULL;
  const char *id = begin ? begin->request.transaction : "";

  if (has_flag (s, "forged"))
    id = "12345";
  wg_submit (s->gate, s->words[1], kind, option (s, "key", ""),
             option (s, "session", ""), has_flag (s, "once"), id,
             number_option (s, "deadline", 3000) * CFS_US_PER_MS,
             number_option (s, "age", 5000) * CFS_US_PER_MS);
}

static void
print_log (struct scenario *s, const struct wg_instance *in)
{
  fprintf (s->out,
           "log of instance %ld, term %llu:", (long)(in - s->gate->inst),
           (unsigned long long)in->term);
  for (uint64_t i = 0; i < in->log_count; i++)
    fprintf (s->out, " %s", s->gate->requests[in->log[i].request].name);
  fputc ('\n', s->out);
}

static bool
gate_command (struct scenario *s)
{
  struct world_gate *w = s->gate;
  const char *c = s->words[0];
  unsigned i = number_argument (s);
  struct wg_request *q = s->count > 1 ? find_request (w, s->words[1]) : NULL;

  if (strcmp (c, "run") == 0)
    wg_run (w, (int64_t)i * CFS_US_PER_MS);
  else if (strcmp (c, "write") == 0)
    submit (s, CFS_WRITE);
  else if (strcmp (c, "read") == 0)
    submit (s, CFS_READ);
  else if (strcmp (c, "begin") == 0)
    submit (s, CFS_BEGIN);
  else if (strcmp (c, "statement") == 0)
    submit (s, CFS_STATEMENT);
  else if (strcmp (c, "commit") == 0)
    submit (s, CFS_COMMIT);
  else if (strcmp (c, "rollback") == 0)
    submit (s, CFS_ROLLBACK);
  else if (strcmp (c, "resend") == 0 && q)
    wg_resend (w, (int)(q - w->requests));
  else if (strcmp (c, "kill") == 0)
    wg_kill (w, i);
  else if (strcmp (c, "start") == 0)
    wg_start (w, i);
  else if (strcmp (c, "freeze") == 0)
    w->inst[i].frozen = true;
  else if (strcmp (c, "thaw") == 0)
    w->inst[i].frozen = false;
  else if (strcmp (c, "isolate") == 0)
    w->inst[i].isolated = true;
  else if (strcmp (c, "join") == 0)
    w->inst[i].isolated = false;
  else if (strcmp (c, "cut") == 0)
    w->inst[i].cut[number_option (s, "host", 0)] = true;
  else if (strcmp (c, "leave") == 0)
    w->inst[i].leaving = true;
  else if (strcmp (c, "lag") == 0)
    w->inst[i].lag_us = number_option (s, "ms", 50) * CFS_US_PER_MS;
  else if (strcmp (c, "host-kill") == 0)
    wg_host_kill (w, i);
  else if (strcmp (c, "host-start") == 0)
    wg_host_start (w, i);
  else if (strcmp (c, "host-freeze") == 0)
    w->hosts[i].frozen = true;
  else if (strcmp (c, "host-thaw") == 0)
    w->hosts[i].frozen = false;
  else if (strcmp (c, "host-cut") == 0)
    w->hosts[i].cut_control = true;
  else if (strcmp (c, "ack-primary") == 0)
    for (unsigned h = 0; h < WG_HOSTS; h++)
      cfs_gate_configure (w->hosts[h].gate, WG_INSTANCES, true);
  else if (strcmp (c, "heal") == 0)
    wg_heal (w);
  else if (strcmp (c, "service") == 0)
    w->service_us = (int64_t)i * CFS_US_PER_MS;
  else if (strcmp (c, "log") == 0)
    print_log (s, &w->inst[i]);
  else if (strcmp (c, "executed") == 0 && q)
    fprintf (s->out, "%s was sent to targets %d times\n", q->name,
             q->executed);
  else if (strcmp (c, "gap") == 0)
    fprintf (s->out, "gap between acknowledged writes %lld ms\n",
             (long long)(w->max_ack_gap_us / CFS_US_PER_MS));
  else if (strcmp (c, "check") == 0)
    fprintf (s->out, "check: %s\n", wg_check (w) ? wg_check (w) : "holds");
  else
    return false;
  return true;
}

static void
print_control (struct scenario *s)
{
  struct world_control *w = s->control;
  int leader = wc_find_leader (w);

  fprintf (s->out, "%lld ms leader %s", (long long)(w->now / 1000),
           leader < 0 ? "none" : (const char *[]){ "c1", "c2", "c3" }[leader]);
  for (unsigned i = 0; i < WC_VOTERS; i++)
    if (w->hosts[i].alive)
      fprintf (s->out, ", c%u version %llu", i + 1,
               (unsigned long long)w->hosts[i].state.version);
  for (unsigned i = 0; i < WC_AGENTS; i++)
    if (wc_holds_lease (w, i, "gate/orders"))
      fprintf (s->out, ", h%u holds the gate", i + 1);
  if (w->violation)
    fprintf (s->out, ", fault: %s", w->violation);
  fputc ('\n', s->out);
}

static void
print_member_hosts (struct scenario *s)
{
  struct world_control *w = s->control;

  for (unsigned i = 0; i < WC_AGENTS; i++)
    fprintf (s->out, "h%u version %llu%s\n", i + 1,
             (unsigned long long)w->agents[i].version,
             w->now < w->agents[i].lease_until ? ", may serve" : "");
}

static void
print_members (struct scenario *s)
{
  int leader = wc_find_leader (s->control);
  const struct cfs_raft_membership *m;

  if (leader < 0)
    return;
  m = cfs_raft_members (s->control->hosts[leader].raft);
  fputs ("members", s->out);
  for (const char *h = "123"; *h; h++)
    for (size_t i = 0; i < m->count; i++)
      if (m->at[i].host[1] == *h)
        fprintf (s->out, " %s%s", m->at[i].host,
                 m->at[i].voter ? "" : " (learner)");
  fputc ('\n', s->out);
}

/* "patch ID base N [host C]": proposes a patch, by default at the leader. */
static void
propose_patch (struct scenario *s)
{
  struct world_control *w = s->control;
  long host = number_option (s, "host", wc_find_leader (w) + 1) - 1;
  char text[128];
  bool proposed;

  snprintf (text, sizeof text,
            "{\"teams\":{\"%s\":{\"rate\":10,\"burst\":10}}}", s->words[1]);
  proposed
      = host >= 0
        && wc_patch (w, (unsigned)host, (uint64_t)number_option (s, "base", 0),
                     text, s->words[1]);
  fprintf (s->out, "patch %s %s\n", s->words[1],
           proposed ? "proposed" : "refused");
}

static void
print_result (struct scenario *s)
{
  int leader = wc_find_leader (s->control);
  const struct cfs_patch_result *r
      = leader < 0 ? NULL
                   : cfs_state_find_result (&s->control->hosts[leader].state,
                                            s->words[1]);

  if (r)
    fprintf (s->out, "result %s: status %u version %llu\n", s->words[1],
             r->status, (unsigned long long)r->version);
  else
    fprintf (s->out, "result %s: none\n", s->words[1]);
}

static void
propose_patches (struct scenario *s, unsigned count)
{
  struct world_control *w = s->control;

  for (unsigned i = 0; i < count; i++)
    {
      char id[32];
      int leader = wc_find_leader (w);

      snprintf (id, sizeof id, "many-%llu",
                (unsigned long long)w->next_request++);
      if (leader >= 0)
        wc_patch (w, (unsigned)leader, w->hosts[leader].state.version,
                  "{\"teams\":{\"a\":{\"rate\":10,\"burst\":10}}}", id);
      wc_run (w, 20 * CFS_US_PER_MS);
    }
}

static bool
control_command (struct scenario *s)
{
  struct world_control *w = s->control;
  const char *c = s->words[0];
  unsigned i = number_argument (s);
  unsigned at = i - 1;

  if (strcmp (c, "run") == 0)
    wc_run (w, (int64_t)i * CFS_US_PER_MS);
  else if (strcmp (c, "crash") == 0)
    wc_crash (w, at);
  else if (strcmp (c, "crash-leader") == 0)
    wc_crash (w, (unsigned)wc_find_leader (w));
  else if (strcmp (c, "start") == 0)
    wc_start (w, at);
  else if (strcmp (c, "start-all") == 0)
    {
      for (unsigned k = 0; k < WC_VOTERS; k++)
        if (!w->hosts[k].alive)
          wc_start (w, k);
    }
  else if (strcmp (c, "lose-disk") == 0)
    wc_lose_disk (w, at);
  else if (strcmp (c, "full-disk") == 0)
    w->hosts[at].disk.full = true;
  else if (strcmp (c, "free-disk") == 0)
    w->hosts[at].disk.full = false;
  else if (strcmp (c, "freeze") == 0)
    w->hosts[at].frozen = true;
  else if (strcmp (c, "thaw") == 0)
    w->hosts[at].frozen = false;
  else if (strcmp (c, "cut") == 0)
    for (unsigned k = 0; k < WC_VOTERS; k++)
      w->cut[at][k] = w->cut[k][at] = true;
  else if (strcmp (c, "heal") == 0)
    memset (w->cut, 0, sizeof w->cut);
  else if (strcmp (c, "agent-cut") == 0)
    w->agents[at].cut = true;
  else if (strcmp (c, "agent-join") == 0)
    w->agents[at].cut = false;
  else if (strcmp (c, "agent-freeze") == 0)
    w->agents[at].frozen = true;
  else if (strcmp (c, "agent-thaw") == 0)
    w->agents[at].frozen = false;
  else if (strcmp (c, "agent-restart") == 0)
    wc_agent_restart (w, at);
  else if (strcmp (c, "patch") == 0)
    propose_patch (s);
  else if (strcmp (c, "patches") == 0)
    propose_patches (s, i);
  else if (strcmp (c, "result") == 0)
    print_result (s);
  else if (strcmp (c, "show") == 0)
    print_control (s);
  else if (strcmp (c, "agents") == 0)
    print_member_hosts (s);
  else if (strcmp (c, "members") == 0)
    print_members (s);
  else
    return false;
  return true;
}

static bool
run_line (struct scenario *s, char *line)
{
  char *save = NULL;

  line[strcspn (line, "#\n")] = '\0';
  s->count = 0;
  for (char *word = strtok_r (line, " ", &save); word && s->count < WORDS_MAX;
       word = strtok_r (NULL, " ", &save))
    s->words[s->count++] = word;
  if (s->count == 0)
    return true;
  if (s->count > 1 && strcmp (s->words[0], "world") == 0)
    {
      if (strcmp (s->words[1], "gate") == 0)
        s->gate = wg_new (1, s->out);
      else
        s->control = wc_new (1);
      return true;
    }
  if (s->gate)
    return gate_command (s);
  return s->control && control_command (s);
}

static char *
run_scenario (const char *path)
{
  struct scenario s = { .out = NULL };
  char *text = NULL;
  size_t len = 0;
  char line[256];
  FILE *in = fopen (path, "r");

  assert_non_null (in);
  s.out = open_memstream (&text, &len);
  while (in && fgets (line, sizeof line, in))
    if (!run_line (&s, line))
      fprintf (s.out, "unknown command: %s\n", s.words[0]);
  if (in)
    fclose (in);
  if (s.gate)
    {
      s.gate->trace = NULL;
      wg_free (s.gate);
    }
  if (s.control)
    wc_free (s.control);
  fclose (s.out);
  return text;
}

static char *
read_text (const char *path)
{
  char *text = NULL;
  size_t len = 0;
  FILE *in = fopen (path, "r");
  FILE *out = open_memstream (&text, &len);
  int c;

  while (in && (c = fgetc (in)) != EOF)
    fputc (c, out);
  if (in)
    fclose (in);
  fclose (out);
  return text;
}

static bool
check_scenario (const char *name)
{
  char path[512];
  char *actual;
  char *expected;
  bool same;

  snprintf (path, sizeof path, FOLDER "%s.scn", name);
  actual = run_scenario (path);
  snprintf (path, sizeof path, FOLDER "%s.expected", name);
  if (getenv ("UPDATE"))
    {
      FILE *out = fopen (path, "w");

      if (out)
        {
          fputs (actual, out);
          fclose (out);
        }
    }
  expected = read_text (path);
  same = strcmp (actual, expected) == 0;
  if (!same)
    printf ("%s differs; actual trace:\n%s\nexpected trace:\n%s\n", name,
            actual, expected);
  free (actual);
  free (expected);
  return same;
}

static void
every_scenario_produces_its_expected_trace (void **state)
{
  struct dirent **list = NULL;
  int count = scandir (FOLDER, &list, NULL, alphasort);
  int run = 0;
  int failed = 0;

  (void)state;
  for (int i = 0; i < count; i++)
    {
      char *dot = strstr (list[i]->d_name, ".scn");

      if (dot && dot[4] == '\0')
        {
          *dot = '\0';
          run++;
          failed += !check_scenario (list[i]->d_name);
        }
      free (list[i]);
    }
  free (list);
  assert_true (run > 0);
  assert_int_equal (failed, 0);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (every_scenario_produces_its_expected_trace) };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
