/**
 * DOC: Durable files of a control host.
 *
 * The log is a file of records, each with length and checksum; the vote and
 * the snapshot are files replaced as a whole.  A call that returns CFS_OK
 * has synced.  A torn last record is cut at opening; damage before it stops
 * the host, because promises made on it cannot be kept.
 */
#ifndef CFS_DISK_H
#define CFS_DISK_H

#include "raft.h"

#include <glib.h>

struct cfs_disk;

/** CFS_DISK_ERROR - domain of the errors of this module */
#define CFS_DISK_ERROR (cfs_disk_error_quark ())

/** cfs_disk_error_quark() - the error domain */
GQuark cfs_disk_error_quark (void);

/**
 * cfs_disk_format() - writes the identity of a first member
 * @folder: data folder, made when absent; must hold no log
 * @id: identity
 * @members: first members of the group
 */
bool cfs_disk_format (const char *folder, uint64_t id,
                      const struct cfs_raft_membership *members,
                      GError **error);

/** cfs_disk_exists() - whether a folder holds an identity or a log */
bool cfs_disk_exists (const char *folder);

/**
 * cfs_disk_open() - reads what is durable
 * @folder: data folder, made when absent
 * @initial: written; entries and snapshot pass to the caller
 * @new_id: identity to write when the folder is empty
 * @error: set on damage or failure
 *
 * An empty folder is a lost or new disk: it gets @new_id and no members.
 * Return: freed by cfs_disk_close(), or NULL.
 */
struct cfs_disk *cfs_disk_open (const char *folder,
                                struct cfs_raft_initial_state *initial,
                                uint64_t new_id, GError **error);

/** cfs_disk_close() - closes the files */
void cfs_disk_close (struct cfs_disk *disk);

/** cfs_disk_save_vote() - replaces term and vote */
int cfs_disk_save_vote (struct cfs_disk *disk, uint64_t term, uint64_t vote);

/** cfs_disk_append() - appends entries */
int cfs_disk_append (struct cfs_disk *disk,
                     const struct cfs_raft_entry *entries, size_t count);

/** cfs_disk_truncate() - drops entries from @from on */
int cfs_disk_truncate (struct cfs_disk *disk, uint64_t from);

/** cfs_disk_save_snapshot() - replaces the snapshot, drops covered entries */
int cfs_disk_save_snapshot (struct cfs_disk *disk,
                            const struct cfs_raft_snapshot *snapshot);

/** cfs_disk_append_audit() - appends a line to the audit trail */
void cfs_disk_append_audit (struct cfs_disk *disk, const char *line);

/** cfs_disk_last_audited_version() - number of the last version in the audit
 * trail */
uint64_t cfs_disk_last_audited_version (struct cfs_disk *disk);

#endif
