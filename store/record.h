#pragma once

#include <stddef.h>
#include <stdint.h>

/* Encoding of the envelope of a log record: format version, writer, unique id,
   expected generation, body and checksum.  The message is defined in
   proto/record.proto.  */

#define RECORD_VERSION 1

/* Longest name of a writer, without the terminating NUL.  */
#define RECORD_WRITER_MAX_BYTES 64

struct record
{
  const char *writer;
  uint64_t incarnation; /* differs between starts of the writer process */
  uint64_t sequence;    /* increases with the writer's appends; writer,
                           incarnation and sequence are the record's unique
                           id */
  uint64_t expected_generation; /* of the object that the record changes;
                                   0: no condition; in the config stream, the
                                   offset up to which the writer had folded
                                   it */
  const uint8_t *body;
  size_t body_len;
};

/* Encodes REC into *DATA, owned by the talloc context PARENT.  Returns 0,
   ERR_INVALID (writer empty, too long or not printable ASCII), ERR_TOO_LARGE
   (more than LOG_RECORD_MAX_BYTES) or ERR_NOMEM.  */
int record_encode (void *parent, const struct record *rec, uint8_t **data,
                   size_t *len);

/* Decodes DATA into *REC.  *REC points into *STORAGE, a talloc child of
   PARENT, and is valid until that is freed.  Returns 0, ERR_PROTOCOL
   (malformed), ERR_CONFLICT (unknown format version), ERR_CHECKSUM or
   ERR_NOMEM; after an error *STORAGE is NULL.  */
int record_decode (void *parent, const uint8_t *data, size_t len,
                   struct record *rec, void **storage);
