/*
 * Benchmark of the control leader alone, with simulated hosts, at several
 * numbers of hosts up to 400, the size that the design is judged by.  Bytes
 * are counted and have a bound; processor time is measured and only reported.
 */
#include "../src/process/leader.h"
#include "../src/request/admit.h"
#include "../src/request/gate.h"
#include "common.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define HOSTS_MAX 400
#define GROUPS_PER_HOST 2.4
#define INSTANCES 3
#define TEAMS 64
#define HOST_BYTES_PER_S_MAX 17000
#define INTERVALS 20

/*
 * struct fleet - simulated hosts and one leader, whose log entries are applied
 * at once
 * @directory: directory that each host has, from its last reply
 * @version: version of the configuration that each host has
 * @dead: hosts that send no heartbeats
 */
struct fleet
{
  struct cfs_state state;
  struct cfs_leader *leader;
  uint64_t index;
  uint64_t proposals;
  uint64_t proposed_bytes;
  unsigned hosts;
  unsigned groups;
  int64_t now;
  uint64_t directory[HOSTS_MAX];
  uint64_t version[HOSTS_MAX];
  bool dead[HOSTS_MAX];
};

static uint64_t
append_and_apply (void *ctx, const uint8_t *data, size_t len)
{
  struct fleet *f = ctx;

  f->index++;
  f->proposals++;
  f->proposed_bytes += len;
  cfs_state_apply (&f->state, data, len, f->index);
  return f->index;
}

static const struct cfs_leader_ops ops = { append_and_apply };

static double
process_cpu_us (void)
{
  struct timespec t;

  clock_gettime (CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

static void
apply_patch (struct fleet *f, const char *text)
{
  Cfs__Command c = CFS__COMMAND__INIT;
  Cfs__Patch p = CFS__PATCH__INIT;
  uint8_t data[16384];
  char id[32];

  snprintf (id, sizeof id, "p%llu", (unsigned long long)f->index);
  p.base_version = f->state.version;
  p.patch = (char *)text;
  p.request_id = id;
  p.who = "bench";
  c.body_case = CFS__COMMAND__BODY_PATCH;
  c.patch = &p;
  append_and_apply (f, data, cfs__command__pack (&c, data));
}

/* Sends one heartbeat, with the instances of the host's groups if @announce.
   Returns the bytes of heartbeat and reply. */
static size_t
exchange_heartbeat (struct fleet *f, unsigned host, bool announce)
{
  Cfs__Heartbeat h = CFS__HEARTBEAT__INIT;
  Cfs__Instance instances[16];
  Cfs__Instance *list[16];
  char names[16][3][24];
  char name[24];
  const Cfs__HeartbeatReply *r;

  snprintf (name, sizeof name, "host-%03u", host);
  h.host = name;
  h.zone = "zone-1";
  h.address = "10.0.0.1";
  h.port = 9200;
  h.boot = host + 1;
  h.seq = (uint64_t)f->now;
  h.version = f->version[host];
  h.directory = f->directory[host];
  h.instances = list;
  for (unsigned g = host; announce && g < f->groups && h.n_instances < 15;
       g += f->hosts)
    for (unsigned k = 0; k < INSTANCES; k++)
      {
        unsigned n = (unsigned)h.n_instances++;

        cfs__instance__init (&instances[n]);
        snprintf (names[n][0], 24, "inst-%04u-%u", g, k);
        snprintf (names[n][1], 24, "group-%04u", g);
        snprintf (names[n][2], 24, "zone-%u", k);
        instances[n].name = names[n][0];
        instances[n].group = names[n][1];
        instances[n].zone = names[n][2];
        instances[n].address = "10.0.0.2";
        instances[n].port = 5432;
        instances[n].slots = 5;
        instances[n].connections = 35;
        instances[n].term = 1;
        instances[n].primary = k == 0;
        list[n] = &instances[n];
      }
  r = cfs_leader_heartbeat (f->leader, &h, f->now);
  f->version[host] = r->version;
  f->directory[host] = r->directory;
  return cfs__heartbeat__get_packed_size (&h)
         + cfs__heartbeat_reply__get_packed_size (r);
}

/* Runs one heartbeat interval, in which each live host sends a heartbeat.
   Returns the bytes of all heartbeats and replies. */
static size_t
run_heartbeat_interval (struct fleet *f, bool announce)
{
  size_t bytes = 0;

  for (unsigned i = 0; i < f->hosts; i++)
    {
      f->now += HEARTBEAT_US / f->hosts;
      if (!f->dead[i])
        bytes += exchange_heartbeat (f, i, announce);
      if (i % (f->hosts / 3 + 1) == 0)
        cfs_leader_tick (f->leader, true, f->index, f->now);
    }
  return bytes;
}

static struct fleet *
new_fleet (unsigned hosts)
{
  struct fleet *f = cfs_alloc (sizeof *f);
  char text[128];

  f->hosts = hosts;
  f->groups = (unsigned)(hosts * GROUPS_PER_HOST);
  f->now = CFS_US_PER_S;
  cfs_state_init (&f->state);
  f->leader = cfs_leader_new (&ops, f, &f->state);
  cfs_leader_tick (f->leader, true, 0, f->now);
  for (int t = 0; t < TEAMS; t++)
    {
      snprintf (text, sizeof text,
                "{\"teams\":{\"team-%d\":{\"rate\":100,\"burst\":50}}}", t);
      apply_patch (f, text);
    }
  for (int i = 0; i < 40; i++)
    run_heartbeat_interval (f, true);
  return f;
}

static void
free_fleet (struct fleet *f)
{
  cfs_leader_free (f->leader);
  cfs_state_end (&f->state);
  free (f);
}

static void
report_for_size (struct bench *b, unsigned hosts, const char *what,
                 double value, const char *unit)
{
  char figure[96];

  snprintf (figure, sizeof figure, "%u hosts: %s", hosts, what);
  bench_report (b, figure, value, unit);
}

/* Loses a third of the hosts, a zone, at the same time, and reports what it
   takes until no lease is held by a lost host. */
static void
fail_zone (struct bench *b, struct fleet *f)
{
  uint64_t proposals = f->proposals;
  uint64_t bytes = f->proposed_bytes;
  int64_t start = f->now;
  size_t sent = 0;
  unsigned leases_moved;

  for (unsigned i = 0; i < f->hosts; i += 3)
    f->dead[i] = true;
  /* A lease counts as moved when its holder is alive. */
  do
    {
      sent += run_heartbeat_interval (f, false);
      leases_moved = 0;
      for (size_t i = 0; i < f->state.leases.count; i++)
        {
          const struct cfs_lease *l = cfs_table_at (&f->state.leases, i);

          leases_moved += !f->dead[strtoul (l->holder + 5, NULL, 10)];
        }
    }
  while (leases_moved < f->state.leases.count
         && f->now < start + 20 * CFS_US_PER_S);
  sent += run_heartbeat_interval (f, false);
  report_for_size (b, f->hosts, "zone lost, until all leases moved",
                   (double)(f->now - start) / CFS_US_PER_MS, "ms");
  report_for_size (b, f->hosts, "zone lost, log entries",
                   (double)(f->proposals - proposals), "");
  report_for_size (b, f->hosts, "zone lost, log bytes",
                   (double)(f->proposed_bytes - bytes), "bytes");
  report_for_size (b, f->hosts, "zone lost, sent by the leader meanwhile",
                   (double)sent / 1e6, "MB");
}

static void
measure (struct bench *b, unsigned hosts)
{
  size_t before = mallinfo2 ().uordblks;
  struct fleet *f = new_fleet (hosts);
  double memory = (double)(mallinfo2 ().uordblks - before);
  uint8_t *snapshot;
  size_t bytes = 0;
  size_t bytes_with_change;
  double cpu_time_us;
  double heartbeats = (double)INTERVALS * hosts;
  double heartbeats_per_s = (double)CFS_US_PER_S / HEARTBEAT_US;

  cpu_time_us = process_cpu_us ();
  for (int i = 0; i < INTERVALS; i++)
    bytes += run_heartbeat_interval (f, false);
  cpu_time_us = process_cpu_us () - cpu_time_us;
  report_for_size (b, hosts, "leader's time a heartbeat",
                   cpu_time_us / heartbeats, "us");
  report_for_size (b, hosts, "leader's share of a core",
                   cpu_time_us / heartbeats * hosts * heartbeats_per_s / 1e4,
                   "%");
  report_for_size (b, hosts, "memory of state and leader", memory / 1e6, "MB");
  report_for_size (b, hosts, "snapshot",
                   (double)cfs_state_serialize (&f->state, &snapshot) / 1e3,
                   "kB");
  free (snapshot);
  if (hosts == HOSTS_MAX)
    bench_at_most (b, "400 hosts: control bytes a node",
                   (double)bytes / heartbeats * heartbeats_per_s, "bytes/s",
                   HOST_BYTES_PER_S_MAX);
  f->directory[0] = 0;
  f->version[0] = 0;
  report_for_size (b, hosts, "first reply to a host that starts",
                   (double)exchange_heartbeat (f, 0, false) / 1e3, "kB");
  apply_patch (f, "{\"teams\":{\"team-1\":{\"rate\":120}}}");
  bytes_with_change = exchange_heartbeat (f, 1, false);
  report_for_size (
      b, hosts, "a change of configuration, bytes a host",
      (double)(bytes_with_change - exchange_heartbeat (f, 1, false)), "bytes");
  fail_zone (b, f);
  free_fleet (f);
}

int
main (void)
{
  struct bench b = { "capacity", 0 };
  static const unsigned sizes[] = { 10, 40, 100, HOSTS_MAX };

  for (size_t i = 0; i < sizeof sizes / sizeof sizes[0]; i++)
    measure (&b, sizes[i]);
  return b.missed_bounds != 0;
}
