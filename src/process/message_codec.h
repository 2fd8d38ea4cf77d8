/**
 * DOC: Serialization of messages between hosts; large ones are compressed.
 *
 * Configuration documents repeat the same names many times, and network links
 * between regions are slow and charged by volume.
 */
#ifndef CFS_MESSAGE_CODEC_H
#define CFS_MESSAGE_CODEC_H

#include "wire.pb-c.h"

#include <stdbool.h>

/* Messages of fewer bytes are not compressed. */
#define MESSAGE_COMPRESS_MIN_BYTES 1024
/* Received messages whose uncompressed size is larger are rejected. */
#define MESSAGE_INFLATED_MAX_BYTES (64u << 20)

/**
 * cfs_message_encode() - serializes a message
 * @msg: message; one that holds a compressed text is not compressed again
 * @len: set to the number of bytes
 *
 * Return: freed by free().
 */
uint8_t *cfs_message_encode (const Cfs__Peer *msg, size_t *len);

/**
 * cfs_message_decode() - parses a message from another host
 *
 * Return: freed by cfs__peer__free_unpacked(), or NULL when it is malformed.
 */
Cfs__Peer *cfs_message_decode (const uint8_t *data, size_t len);

/**
 * cfs_text_deflate() - compresses a text that is sent many times
 * @out: set to the compressed text; its data is freed by free()
 *
 * Return: whether the text became smaller; if not, @out is left as it is.
 */
bool cfs_text_deflate (const char *text, Cfs__Deflated *out);

/**
 * cfs_text_inflate() - restores a compressed text of another host
 *
 * Return: freed by free(), or NULL when it is malformed.
 */
char *cfs_text_inflate (const Cfs__Deflated *in);

#endif
