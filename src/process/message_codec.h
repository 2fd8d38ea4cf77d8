/**
 * DOC: Messages between hosts as bytes; large ones are compressed.
 *
 * Documents repeat the same names many times, and links between regions are
 * narrow and paid for.
 */
#ifndef CFS_MESSAGE_CODEC_H
#define CFS_MESSAGE_CODEC_H

#include "wire.pb-c.h"

/* Messages of fewer bytes are sent as they are. */
#define MESSAGE_COMPRESS_MIN_BYTES 1024
/* A compressed message that says it is larger is refused. */
#define MESSAGE_INFLATED_MAX_BYTES (64u << 20)

/**
 * cfs_message_encode() - the bytes of a message
 * @len: set to their number
 *
 * Return: freed by free().
 */
uint8_t *cfs_message_encode (const Cfs__Peer *msg, size_t *len);

/**
 * cfs_message_decode() - the message in bytes from another host
 *
 * Return: freed by cfs__peer__free_unpacked(), or NULL when they cannot be
 * read.
 */
Cfs__Peer *cfs_message_decode (const uint8_t *data, size_t len);

#endif
