/**
 * DOC: Simulated disk of a control host: the storage callbacks of struct
 * cfs_raft_ops.
 *
 * The context of the callbacks is a host whose first member is its disk.
 */
#ifndef WORLD_DISK_H
#define WORLD_DISK_H

#include "../../src/process/raft.h"

/**
 * struct world_disk - persistent state of a control host
 * @id: Raft member id; a new disk gets a new one
 * @term: current Raft term
 * @vote: id of the candidate that was voted for in @term, or 0
 * @snapshot: last snapshot
 * @entries: log entries after @snapshot
 * @full: writes fail
 * @writes: number of durable writes of log entries
 */
struct world_disk
{
  uint64_t id, term, vote;
  struct cfs_raft_snapshot snapshot;
  struct cfs_raft_entry *entries;
  size_t count, cap;
  bool full;
  uint64_t writes;
};

/** wd_save_vote() - as @save_vote of struct cfs_raft_ops */
int wd_save_vote (void *ctx, uint64_t term, uint64_t vote);

/** wd_append() - as @append */
int wd_append (void *ctx, const struct cfs_raft_entry *entries, size_t count);

/** wd_truncate() - as @truncate */
int wd_truncate (void *ctx, uint64_t from);

/** wd_save_snapshot() - as @save_snapshot */
int wd_save_snapshot (void *ctx, const struct cfs_raft_snapshot *snapshot);

/** wd_load() - copies what the disk holds; cfs_raft_new() takes the copy */
void wd_load (const struct world_disk *disk,
              struct cfs_raft_initial_state *initial);

/** wd_empty() - frees what the disk holds; it gets the member id @id */
void wd_empty (struct world_disk *disk, uint64_t id);

#endif
