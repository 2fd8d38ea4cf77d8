/**
 * DOC: Replicated state of the control group.
 *
 * Every control host applies the same commands in the same order.  The state
 * holds the configuration with its history, the holder of each lease, and
 * the terms of each database group.  No I/O and no clock.
 */
#ifndef CFS_STATE_H
#define CFS_STATE_H

#include "../cfs.h"
#include "table.h"
#include "targets.h"
#include "wire.pb-c.h"

/* Names of leases: the prefix and the name of a group or a team. */
#define GATE_PREFIX "gate/"
#define LIMIT_PREFIX "limit/"
/* Versions kept for the audit trail and for hosts that lag behind. */
#define STATE_VERSIONS_MAX 2048
/* Answers kept for patches that are sent again. */
#define STATE_RESULTS_MAX 2048
/* Terms kept per group to judge old session tokens. */
#define STATE_BRANCHES_MAX 32

/** struct cfs_lease - holder of a resource such as "gate/orders" */
struct cfs_lease
{
  char resource[CFS_NAME_MAX];
  char holder[CFS_NAME_MAX];
  char address[CFS_NAME_MAX];
  uint32_t port;
  uint64_t boot;
  uint64_t epoch;
  uint64_t changed;
};

/** struct cfs_branch - position at which a term's history starts */
struct cfs_branch
{
  uint64_t term;
  uint64_t start;
};

/** struct cfs_group - terms of one database group */
struct cfs_group
{
  char name[CFS_NAME_MAX];
  char primary[CFS_NAME_MAX];
  uint64_t term;
  uint64_t granted_term;
  uint64_t granted_epoch;
  uint64_t changed;
  struct cfs_branch branches[STATE_BRANCHES_MAX];
  size_t branch_count;
};

/** struct cfs_version - one accepted change of the configuration */
struct cfs_version
{
  uint64_t number;
  uint64_t when_ms;
  char *patch;
  char *who;
  char *request_id;
};

/** struct cfs_patch_result - the first answer to a patch */
struct cfs_patch_result
{
  char *request_id;
  uint32_t status;
  uint64_t version;
  char *message;
};

/** struct cfs_host_record - a host that may hold shares of the rates */
struct cfs_host_record
{
  char name[CFS_NAME_MAX];
};

/** struct cfs_state - everything replicated */
struct cfs_state
{
  uint64_t version;
  uint64_t directory_index;
  char *document;
  struct cfs_version *versions;
  size_t version_count;
  size_t version_cap;
  struct cfs_patch_result *results;
  size_t result_count;
  size_t result_cap;
  struct cfs_table leases;
  struct cfs_table groups;
  struct cfs_table targets;
  struct cfs_table failovers;
  struct cfs_table hosts;
};

/** cfs_state_init() - state of an empty log: version 0, document "{}" */
void cfs_state_init (struct cfs_state *state);

/** cfs_state_end() - frees what the state owns */
void cfs_state_end (struct cfs_state *state);

/**
 * cfs_state_apply() - applies one committed command
 * @state: state
 * @data: packed Cfs__Command
 * @len: its length
 * @index: log index, recorded as the time of change
 *
 * Return: CFS_OK, or CFS_BAD when the command cannot be decoded; a command
 * that no longer fits the state changes nothing and is CFS_OK.
 */
int cfs_state_apply (struct cfs_state *state, const uint8_t *data, size_t len,
                     uint64_t index);

/**
 * cfs_state_serialize() - packs the state
 * @state: state
 * @data: set to memory that the caller frees
 *
 * Return: number of bytes.
 */
size_t cfs_state_serialize (const struct cfs_state *state, uint8_t **data);

/**
 * cfs_state_restore() - replaces the state by an image
 *
 * Return: CFS_OK, or CFS_CORRUPT with the state unchanged.
 */
int cfs_state_restore (struct cfs_state *state, const uint8_t *data,
                       size_t len);

/** cfs_state_find_result() - first answer to a request id, or NULL */
const struct cfs_patch_result *
cfs_state_find_result (const struct cfs_state *state, const char *request_id);

/** cfs_lease_message() - fills a message with pointers into @lease */
void cfs_lease_message (const struct cfs_lease *lease, Cfs__Assignment *out);

/** cfs_lease_load() - copies a message into a row, except for the name */
void cfs_lease_load (struct cfs_lease *lease, const Cfs__Assignment *in);

/** cfs_version_message() - fills a message with pointers into @version */
void cfs_version_message (const struct cfs_version *version,
                          Cfs__Version *out);

/**
 * cfs_group_message() - fills a message with pointers into @group
 * @group: group
 * @out: message
 * @branches: room for STATE_BRANCHES_MAX rows
 * @list: room for as many pointers
 */
void cfs_group_message (const struct cfs_group *group, Cfs__Group *out,
                        Cfs__Branch *branches, Cfs__Branch **list);

/** cfs_group_load() - copies a message into a row, except for the name */
void cfs_group_load (struct cfs_group *group, const Cfs__Group *in);

#endif
