/**
 * DOC: Settings of one host, from one JSON file.
 */
#ifndef CFS_SETTINGS_H
#define CFS_SETTINGS_H

#include "../cfs.h"
#include "../version/conf.h"

#include <glib.h>

#define SETTINGS_CONTROL_MAX 7
#define SETTINGS_ZONES_MAX 64
#define CURVE_KEY_CHARS 40

/** struct cfs_peer - a control host as the settings name it */
struct cfs_peer
{
  char host[CFS_NAME_MAX];
  char address[CFS_NAME_MAX];
  uint32_t port;
};

/** struct cfs_zone - a zone and the region that it is in */
struct cfs_zone
{
  char name[CFS_NAME_MAX];
  char region[CFS_NAME_MAX];
};

/**
 * struct cfs_settings - all fields, checked
 *
 * @peer_port: where other control hosts take messages, if a forwarder stands
 * between; else as @control_port
 *
 * The fields from @uses_seeds on are set where sessions are served: addresses
 * are "IP:PORT", and control hosts are named by their IP numbers.
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
  struct cfs_peer control[SETTINGS_CONTROL_MAX];
  size_t control_count;
  bool uses_seeds;
  bool first_start;
  char region[CFS_NAME_MAX];
  struct cfs_zone zones[SETTINGS_ZONES_MAX];
  size_t zone_count;
  char session_address[CFS_NAME_MAX];
  char ready_address[CFS_NAME_MAX];
  char control_address[CFS_NAME_MAX];
  char promotion_address[CFS_NAME_MAX];
  int64_t document_lease_us;
};

/**
 * cfs_settings_load() - reads and checks a settings file
 * @path: file
 * @error: set with file, path of the field, found and allowed
 *
 * Return: settings freed by cfs_settings_free(), or NULL.
 */
struct cfs_settings *cfs_settings_load (const char *path, GError **error);

/**
 * cfs_settings_parse() - the same from text
 * @text: JSON
 * @file: name for messages
 */
struct cfs_settings *cfs_settings_parse (const char *text, const char *file,
                                         GError **error);

/** cfs_settings_free() - wipes secrets and frees the settings */
void cfs_settings_free (struct cfs_settings *settings);

/** cfs_settings_is_control() - whether this host is one of the control group
 */
bool cfs_settings_is_control (const struct cfs_settings *settings);

/** cfs_settings_region() - region of a zone, or the zone's name itself */
const char *cfs_settings_region (const struct cfs_settings *settings,
                                 const char *zone);

/** cfs_settings_serves_sessions() - whether callers hold sessions here */
bool cfs_settings_serves_sessions (const struct cfs_settings *settings);

/**
 * cfs_split_address() - cuts "IP:PORT"
 * @host: written
 *
 * Return: the port, 0 when the text is malformed.
 */
uint32_t cfs_split_address (const char *text, char *host, size_t size);

#endif
