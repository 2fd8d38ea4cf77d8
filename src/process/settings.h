/**
 * DOC: Settings of one host, read from a JSON file.
 */
#ifndef CFS_SETTINGS_H
#define CFS_SETTINGS_H

#include "../cfs.h"
#include "../version/conf.h"
#include "budget.h"

#include <glib.h>

#define SETTINGS_CONTROL_MAX 7
#define SETTINGS_ZONES_MAX 64
#define CURVE_KEY_CHARS 40

/** struct cfs_control_host - a control host as listed in the settings */
struct cfs_control_host
{
  char host[CFS_NAME_MAX];
  char address[CFS_NAME_MAX];
  uint32_t port;
};

/** struct cfs_zone - a zone and the region that it belongs to */
struct cfs_zone
{
  char name[CFS_NAME_MAX];
  char region[CFS_NAME_MAX];
};

/**
 * struct cfs_settings - checked settings of a host
 * @peer_port: port at which messages reach other control hosts, if a forwarder
 * listens in front of them; else the same as @control_port
 * @operator_hash: hash of the operators' key
 * @announce_hash: hash of the key with which targets announce themselves
 * @control: control hosts, or the seeds
 * @uses_seeds: control hosts are found through seeds; the fields below are set
 * only then, addresses are "IP:PORT", and control hosts are named by their IP
 * addresses
 * @first_start: this host may form the control group
 * @lost_disks: number of control hosts whose disks may be lost at once, 0 if
 * it is not set
 * @memory_mb: memory of the machine in MiB, of which clients may use a part
 * @max_fds: descriptors of the process, of which clients may use a part
 * @max_sessions: connections of callers, 0 to derive it from @max_fds
 * @startup_ms: time for a connection of a caller to begin a session
 * @send_stall_ms: time for which a caller may read no answers
 * @pipeline_max: statements that wait behind the running one of a caller
 * @document_lease_us: time for which a host may act on a configuration that
 * the control leader has not confirmed again
 * @evacuate_us: time after the acknowledgement of an evacuation in which all
 * statements must have left the zone
 * @cold_overshoot: statements that a cold target may receive in a second, as a
 * factor of its rate
 * @cold_slack: the same, in addition to that
 * @learned_capacity: statements are limited by the learned capacity of
 * targets, see docs/design/learned-capacity.md
 */
struct cfs_settings
{
  char host[CFS_NAME_MAX];
  char zone[CFS_NAME_MAX];
  char address[CFS_NAME_MAX];
  uint32_t http_port;
  uint32_t control_port;
  uint32_t peer_port;
  uint32_t traffic_port;
  char *data_folder;
  char curve_public[CURVE_KEY_CHARS + 1];
  char curve_secret[CURVE_KEY_CHARS + 1];
  unsigned char operator_hash[CFS_HASH_BYTES];
  unsigned char announce_hash[CFS_HASH_BYTES];
  char target_user[CFS_NAME_MAX];
  char target_database[CFS_NAME_MAX];
  char *target_password;
  char *tls_certificate;
  char *tls_key;
  uint32_t max_body_bytes;
  uint32_t stop_seconds;
  struct cfs_control_host control[SETTINGS_CONTROL_MAX];
  size_t control_count;
  bool uses_seeds;
  bool first_start;
  uint32_t lost_disks;
  char region[CFS_NAME_MAX];
  struct cfs_zone zones[SETTINGS_ZONES_MAX];
  size_t zone_count;
  char session_address[CFS_NAME_MAX];
  char ready_address[CFS_NAME_MAX];
  char control_address[CFS_NAME_MAX];
  char promotion_address[CFS_NAME_MAX];
  uint32_t memory_mb;
  uint32_t max_fds;
  uint32_t max_sessions;
  uint32_t startup_ms;
  uint32_t send_stall_ms;
  uint32_t pipeline_max;
  int64_t document_lease_us;
  int64_t drain_us;
  int64_t evacuate_us;
  double cold_overshoot;
  double cold_slack;
  bool learned_capacity;
};

/**
 * cfs_settings_load() - reads and checks a settings file
 * @path: file name
 * @error: set to the file, the field, and what is wrong with it
 *
 * Return: freed by cfs_settings_free(), or NULL.
 */
struct cfs_settings *cfs_settings_load (const char *path, GError **error);

/**
 * cfs_settings_parse() - like cfs_settings_load(), from a text
 * @text: JSON
 * @file: file name for error messages
 */
struct cfs_settings *cfs_settings_parse (const char *text, const char *file,
                                         GError **error);

/** cfs_settings_free() - wipes and frees the settings; NULL is ignored */
void cfs_settings_free (struct cfs_settings *settings);

/** cfs_settings_is_control() - whether this host is a control host */
bool cfs_settings_is_control (const struct cfs_settings *settings);

/** cfs_settings_region() - region of a zone, the zone's name if it has none */
const char *cfs_settings_region (const struct cfs_settings *settings,
                                 const char *zone);

/** cfs_settings_caller_limits() - bounds of all connections of callers */
void cfs_settings_caller_limits (const struct cfs_settings *settings,
                                 struct cfs_budget_limits *out);

/** cfs_settings_http_connections() - bound of the connections of an HTTP
 * server
 */
uint32_t cfs_settings_http_connections (const struct cfs_settings *settings);

/** cfs_settings_http_bytes() - bound of the memory of an HTTP server for
 * bodies and responses */
size_t cfs_settings_http_bytes (const struct cfs_settings *settings);

/** cfs_settings_serves_sessions() - whether this host serves sessions */
bool cfs_settings_serves_sessions (const struct cfs_settings *settings);

/**
 * cfs_split_address() - splits "IP:PORT"
 * @text: address
 * @host: set to the part before the colon
 * @size: bytes in @host
 *
 * Return: the port, 0 when the text is malformed.
 */
uint32_t cfs_split_address (const char *text, char *host, size_t size);

#endif
