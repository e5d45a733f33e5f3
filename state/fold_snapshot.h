#pragma once

#include "state/fold.h"

/* Snapshots of the folded state, stored as pieces in the config stream, for
   processes whose next record has expired.  A snapshot holds all that the
   outcome of later records depends on (rows, assignments and the ids within
   the deduplication window) and the history.  Equal states give snapshots that
   are equal byte by byte.  */

/* Data per piece; keeps the records of the pieces below 64 KiB.  */
#define SNAPSHOT_PIECE_BYTES 61440
#define SNAPSHOT_PIECES_MAX 192

struct snapshot
{
  uint64_t next_offset; /* all records before this offset are included */
  uint64_t checksum;
  uint32_t total; /* number of pieces */
  uint8_t *data;
  size_t len;
};

/* Encodes the state of FD; OUT->data is a talloc child of PARENT.  Returns 0,
   ERR_TOO_LARGE or ERR_NOMEM.  */
int snapshot_make (void *parent, const struct fold *fd, struct snapshot *out);

/* Encodes the record body of piece INDEX into *BODY, a talloc child of PARENT.
   Returns 0, ERR_INVALID (no such piece) or ERR_NOMEM.  */
int snapshot_encode_piece (void *parent, const struct snapshot *snap,
                           uint32_t index, uint8_t **body, size_t *len);

/* Initializes FD with the state in the snapshot.  Returns 0, ERR_CHECKSUM,
   ERR_PROTOCOL or ERR_NOMEM; call fold_fini only after 0.  */
int snapshot_load (void *parent, const uint8_t *data, size_t len,
                   uint64_t checksum, struct fold *fd);

/* Collects snapshot pieces from the records of the stream, in any order and
   from several writers, and keeps the latest snapshot that is complete and
   valid.  Holds at most two incomplete snapshots and one loaded one.  */
struct snapshot_reader
{
  struct priv *priv;
};

int snapshot_reader_init (struct snapshot_reader *rd, void *parent);
void snapshot_reader_fini (struct snapshot_reader *rd);

/* Adds the piece in an encoded record, if it holds one.  Ignores snapshots
   whose next_offset is below MIN_NEXT_OFFSET, because the records that follow
   them have expired.  Returns 0 or ERR_NOMEM.  */
int snapshot_reader_add (struct snapshot_reader *rd, const uint8_t *data,
                         size_t len, uint64_t min_next_offset);

/* Moves the latest snapshot to *FD; its memory becomes a talloc child of
   PARENT.  Returns 0 or ERR_NOT_FOUND.  */
int snapshot_reader_take (struct snapshot_reader *rd, void *parent,
                          struct fold *fd);

/* Number of complete snapshots that had a wrong checksum or did not load.  */
uint64_t snapshot_reader_invalid_count (const struct snapshot_reader *rd);
