/**
 * DOC: Encoding of the records in the files of a control host.
 */
#ifndef CFS_DISK_RECORD_H
#define CFS_DISK_RECORD_H

#include "raft.h"

#define DISK_RECORD_HEADER_BYTES 32

/** disk_put64() - writes a little-endian integer */
void disk_put64 (uint8_t *p, uint64_t v);

/** disk_get64() - reads a little-endian integer */
uint64_t disk_get64 (const uint8_t *p);

/** disk_record_encode() - writes a record; returns its size, which is that of
 * the header and of the data */
size_t disk_record_encode (const struct cfs_raft_entry *entry, uint8_t *out);

/** disk_record_decode() - reads a valid record; the caller owns the data of
 * @entry */
void disk_record_decode (const uint8_t *p, struct cfs_raft_entry *entry);

/** disk_record_size() - size of the record at @p, or 0 if it is incomplete or
 * its checksum is wrong */
size_t disk_record_size (const uint8_t *p, size_t left);

/** disk_record_follows() - whether any valid record starts after an invalid
 * one: then the log is corrupted in the middle, and not just cut short by a
 * crash */
bool disk_record_follows (const uint8_t *p, size_t left);

#endif
