#pragma once

#include <stddef.h>
#include <stdint.h>

/* The envelope of a log record: format version, writer, unique id, expected
   generation, body and checksum.  Messages of proto/record.proto.  */

#define RECORD_VERSION 1
#define RECORD_WRITER_MAX 64 /* bytes of a writer's name */

struct record
{
  const char *writer;
  uint64_t incarnation; /* differs at each start of the writer */
  uint64_t sequence;    /* rises by the writer's appends; with the incarnation
                           the record's unique id */
  uint64_t expected_generation; /* of what the record changes; 0: none */
  const uint8_t *body;
  size_t body_len;
};

/* Encodes REC into *DATA, owned by the talloc context PARENT.  Returns 0,
   ERR_INVALID (writer empty, too long or not printable ASCII), ERR_TOO_LARGE
   (more than LOG_RECORD_MAX_BYTES) or ERR_NOMEM.  */
int record_encode (void *parent, const struct record *rec, uint8_t **data,
                   size_t *len);

/* Decodes into *REC, which *HOLDER, a talloc child of PARENT, keeps valid.
   Returns 0, ERR_PROTOCOL (malformed), ERR_CONFLICT (a format version that
   this program does not know), ERR_CHECKSUM or ERR_NOMEM; *HOLDER is NULL
   then.  */
int record_decode (void *parent, const uint8_t *data, size_t len,
                   struct record *rec, void **holder);
