/**
 * DOC: Durable storage of a control host: vote, log, snapshot, audit trail.
 *
 * The log is a file of records with length and checksum; the files of the
 * vote and of the snapshot are replaced as a whole.  When a call returns
 * CFS_OK, the data has been synced.  On opening, a last record that is
 * incomplete or fails its checksum is taken for one torn by a crash and
 * removed.  Corruption anywhere else is an error, and the host does not start:
 * it can no longer keep to entries that it acknowledged or to its vote.
 */
#ifndef CFS_DISK_H
#define CFS_DISK_H

#include "raft.h"

#include <glib.h>

struct cfs_disk;

/** CFS_DISK_ERROR - error domain of this module */
#define CFS_DISK_ERROR (cfs_disk_error_quark ())

GQuark cfs_disk_error_quark (void);

/**
 * cfs_disk_format() - initializes the data folder of a first member
 * @folder: data folder, created if absent; must hold no vote yet
 * @id: identity of the member
 * @members: first members of the group, stored as a snapshot with index 0
 * @error: set on failure
 */
bool cfs_disk_format (const char *folder, uint64_t id,
                      const struct cfs_raft_membership *members,
                      GError **error);

/** cfs_disk_exists() - whether a folder is initialized: it holds a vote file,
 * also one that cannot be read */
bool cfs_disk_exists (const char *folder);

/**
 * cfs_disk_open() - opens a data folder and reads the durable state
 * @folder: data folder, created if absent
 * @initial: set to the durable state; the caller owns entries and snapshot
 * @new_id: identity to store if the folder is empty
 * @error: set on corruption or failure
 *
 * An empty folder means a new or replaced disk: the host gets @new_id and
 * starts without members.
 * Return: the storage, to be closed with cfs_disk_close(), or NULL.
 */
struct cfs_disk *cfs_disk_open (const char *folder,
                                struct cfs_raft_initial_state *initial,
                                uint64_t new_id, GError **error);

void cfs_disk_close (struct cfs_disk *disk);

/** cfs_disk_save_vote() - replaces term and vote; CFS_OK or CFS_IO */
int cfs_disk_save_vote (struct cfs_disk *disk, uint64_t term, uint64_t vote);

/**
 * cfs_disk_append() - appends entries to the log
 *
 * Return: CFS_OK; CFS_IO if nothing was appended.  Entries that were not
 * appended may be there after a restart all the same.
 */
int cfs_disk_append (struct cfs_disk *disk,
                     const struct cfs_raft_entry *entries, size_t count);

/**
 * cfs_disk_truncate() - removes entries with index @from and above
 *
 * Return: CFS_OK; CFS_IO if they may be there after a restart.  In both cases
 * the next entry appended follows the one before @from.
 */
int cfs_disk_truncate (struct cfs_disk *disk, uint64_t from);

/**
 * cfs_disk_save_snapshot() - replaces the snapshot and removes the entries
 * that it covers
 *
 * Entries that cannot be removed are logged and skipped on opening.
 * Return: CFS_OK, or CFS_IO if storing the snapshot failed.
 */
int cfs_disk_save_snapshot (struct cfs_disk *disk,
                            const struct cfs_raft_snapshot *snapshot);

/** cfs_disk_append_audit() - appends a line to the audit trail; false if it
 * is not durable */
bool cfs_disk_append_audit (struct cfs_disk *disk, const char *line);

/** cfs_disk_last_audited_version() - last version in the audit trail, or 0 */
uint64_t cfs_disk_last_audited_version (struct cfs_disk *disk);

#endif
