/**
 * DOC: Simulation of the members of a control group.
 *
 * The replicated log is the real module; the network, the disks and the clock
 * are simulated, and time is virtual.  Each committed value is recorded, and
 * every member has to apply the same values in the same order.
 */
#ifndef WORLD_MEMBERS_H
#define WORLD_MEMBERS_H

#include "disk.h"

#define WM_HOSTS_MAX 10
/* Number of seeds, at first the hosts c1 to c3, which form the group. */
#define WM_INITIAL_VOTERS 3
#define WM_STEP_US (5 * CFS_US_PER_MS)
#define WM_MESSAGES 2048
#define WM_VALUES 4096

struct world_members;

/**
 * struct wm_host - one control host and its disk
 * @disk: the first member, since the callbacks for storage are those of disk.h
 * @up: the process runs
 * @cut: hosts with other values exchange no messages with it
 * @applied: number of values that the running process has applied
 */
struct wm_host
{
  struct world_disk disk;
  struct world_members *world;
  unsigned index;
  bool up;
  unsigned cut;
  struct cfs_raft *raft;
  uint64_t applied;
};

/** struct wm_message - message in transit from one host to another */
struct wm_message
{
  uint8_t *data;
  size_t len;
  int64_t deliver_at;
  unsigned from;
  unsigned to;
};

/**
 * struct world_members - the simulation
 * @seeds: hosts that a process with an empty disk knows when it starts
 * @lost_disks: the setting of all hosts, 0 if it is not set
 * @values: committed values in their order
 * @proposed_count: number of values that were proposed
 * @violation: what broke, or NULL
 */
struct world_members
{
  int64_t now;
  uint64_t seed;
  struct wm_host hosts[WM_HOSTS_MAX];
  unsigned seeds[WM_INITIAL_VOTERS];
  unsigned lost_disks;
  struct wm_message messages[WM_MESSAGES];
  size_t count;
  uint64_t values[WM_VALUES];
  uint64_t committed_count;
  uint64_t proposed_count;
  const char *violation;
};

/**
 * wm_new() - creates a world whose hosts c1 to c3 run
 * @seed: seed of its random numbers
 * @lost_disks: as in struct world_members
 *
 * Return: the world, to be freed by wm_free().
 */
struct world_members *wm_new (uint64_t seed, unsigned lost_disks);

/** wm_free() - frees the world, its hosts and its messages */
void wm_free (struct world_members *world);

/** wm_random_below() - random number from 0 to @bound - 1 */
uint64_t wm_random_below (struct world_members *world, uint64_t bound);

/** wm_start() - starts the process of host @i with what its disk holds */
void wm_start (struct world_members *world, unsigned i);

/** wm_stop() - ends the process of host @i at once; its disk is kept */
void wm_stop (struct world_members *world, unsigned i);

/** wm_stop_as_planned() - lets host @i ask for its replacement for up to 2.5 s
 * before its process ends */
void wm_stop_as_planned (struct world_members *world, unsigned i);

/** wm_lose_disk() - empties the disk of host @i, whose process must not run */
void wm_lose_disk (struct world_members *world, unsigned i);

/** wm_leader() - index of the host that is certainly the leader, or -1 */
int wm_leader (const struct world_members *world);

/** wm_voters() - number of voters that the leader knows, 0 without a leader */
size_t wm_voters (const struct world_members *world);

/** wm_step() - advances the time by WM_STEP_US: delivers messages, runs
 * timers, and proposes a value now and then */
void wm_step (struct world_members *world);

/** wm_run() - advances the time by @us, or up to a violation */
void wm_run (struct world_members *world, int64_t us);

/** wm_trace() - prints an event at host @i and the state of all members, if
 * TRACE is set */
void wm_trace (struct world_members *world, const char *event, unsigned i);

#endif
