/**
 * DOC: Replicated state machine of the control group.
 *
 * Every control host applies the same committed commands in log order and so
 * arrives at the same state: the configuration with its history, the holder
 * of each lease, the terms of each database group, the announced targets, the
 * failovers, the hosts that may hold shares, and the zones that are evacuated.
 * No I/O; no clock is read.
 */
#ifndef CFS_STATE_H
#define CFS_STATE_H

#include "../cfs.h"
#include "evacuation.h"
#include "table.h"
#include "targets.h"
#include "wire.pb-c.h"

/* A lease is named by one of these prefixes and a group or a team. */
#define GATE_PREFIX "gate/"
#define LIMIT_PREFIX "limit/"
/* Versions kept for the audit listing and for hosts that have to catch up. */
#define STATE_VERSIONS_MAX 2048
/* Results kept so that a patch which is sent again gets its first result. */
#define STATE_RESULTS_MAX 2048
/* Terms kept per group to tell whether the position in a session token still
   exists; a token of an older term counts as lost. */
#define STATE_BRANCHES_MAX 32

/**
 * struct cfs_lease - holder of a resource such as "gate/orders"
 * @resource: name, key of the table
 * @holder: host that holds it
 * @address: address of the holder
 * @port: port of the holder
 * @boot: boot id of the holder; a restarted host does not hold the lease
 * @epoch: incremented with each assignment; 0 before the first
 * @changed: log index of the last change
 */
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

/** struct cfs_branch - position at which the history of a term branches off */
struct cfs_branch
{
  uint64_t term;
  uint64_t start;
};

/**
 * struct cfs_group - terms of one database group
 * @name: name, key of the table
 * @primary: instance that is primary in @term
 * @term: term of the last completed promotion
 * @granted_term: highest term granted to a gate for a promotion
 * @granted_epoch: lease epoch of the gate that it was granted to
 * @changed: log index of the last change
 * @branches: start positions of the last terms, oldest first
 * @branch_count: their number
 */
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

/**
 * struct cfs_version - accepted change of the configuration
 * @number: version that the change leads to
 * @when_ms: wall-clock time at which it was proposed
 * @patch: JSON merge patch
 * @who: operator
 * @request_id: id of the operator's request
 */
struct cfs_version
{
  uint64_t number;
  uint64_t when_ms;
  char *patch;
  char *who;
  char *request_id;
};

/**
 * struct cfs_patch_result - result of a patch, for requests that are repeated
 * @request_id: id of the operator's request
 * @status: HTTP status
 * @version: version after the patch, or the current one if it was rejected
 * @message: reason of a rejection, or ""
 */
struct cfs_patch_result
{
  char *request_id;
  uint32_t status;
  uint64_t version;
  char *message;
};

/** struct cfs_host_record - host that may hold shares of the teams' rates */
struct cfs_host_record
{
  char name[CFS_NAME_MAX];
};

/**
 * struct cfs_state - replicated state
 * @version: version of @document
 * @directory_index: log index of the last change of @leases, @groups,
 * @targets,
 * @failovers or @evacuations
 * @document: configuration, JSON
 * @versions: last changes, oldest first
 * @results: last results of patches, oldest first
 * @leases: table of struct cfs_lease
 * @groups: table of struct cfs_group
 * @targets: table of struct cfs_target
 * @failovers: last failover of each service
 * @hosts: table of struct cfs_host_record
 * @evacuations: table of struct cfs_evacuation
 * @evacuations_index: log index of the last change of @evacuations
 */
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
  struct cfs_table evacuations;
  uint64_t evacuations_index;
};

/** cfs_state_init() - state before the first command: version 0, document
 * "{}" */
void cfs_state_init (struct cfs_state *state);

/** cfs_state_end() - frees the contents of the state */
void cfs_state_end (struct cfs_state *state);

/**
 * cfs_state_apply() - applies one committed command
 * @state: state
 * @data: packed Cfs__Command
 * @len: its length
 * @index: log index of the command, recorded with what it changes
 *
 * Return: CFS_OK, or CFS_BAD if the command cannot be decoded.  A command
 * whose preconditions no longer hold changes nothing and returns CFS_OK.
 */
int cfs_state_apply (struct cfs_state *state, const uint8_t *data, size_t len,
                     uint64_t index);

/**
 * cfs_state_serialize() - packs the state as a Cfs__Snapshot
 * @state: state
 * @data: set to memory that the caller frees
 *
 * Return: number of bytes.
 */
size_t cfs_state_serialize (const struct cfs_state *state, uint8_t **data);

/**
 * cfs_state_restore() - replaces the state by a serialized one
 *
 * Return: CFS_OK, or CFS_CORRUPT with the state unchanged.
 */
int cfs_state_restore (struct cfs_state *state, const uint8_t *data,
                       size_t len);

/** cfs_state_find_result() - result of the patch with this request id, or
 * NULL */
const struct cfs_patch_result *
cfs_state_find_result (const struct cfs_state *state, const char *request_id);

/** cfs_lease_to_message() - fills a message with pointers into @lease */
void cfs_lease_to_message (const struct cfs_lease *lease,
                           Cfs__Assignment *out);

/** cfs_lease_from_message() - copies a message into a lease, except for its
 * name */
void cfs_lease_from_message (struct cfs_lease *lease,
                             const Cfs__Assignment *in);

/** cfs_version_to_message() - fills a message with pointers into @version */
void cfs_version_to_message (const struct cfs_version *version,
                             Cfs__Version *out);

/**
 * cfs_group_to_message() - fills a message with pointers into @group
 * @group: group
 * @out: message
 * @branches: space for STATE_BRANCHES_MAX messages, used by @out
 * @list: space for as many pointers, used by @out
 */
void cfs_group_to_message (const struct cfs_group *group, Cfs__Group *out,
                           Cfs__Branch *branches, Cfs__Branch **list);

/** cfs_group_from_message() - copies a message into a group, except for its
 * name; of the branches the last STATE_BRANCHES_MAX */
void cfs_group_from_message (struct cfs_group *group, const Cfs__Group *in);

#endif
