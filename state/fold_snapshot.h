#pragma once

#include "state/fold.h"

/* Snapshots of the fold as pieces in the config stream, for processes whose
   next record has expired.  A snapshot holds everything that later records
   are judged by: rows, assignments, ids within the window, and the history.
   Equal states make equal snapshots, byte by byte.  */

#define SNAPSHOT_PIECE_BYTES 61440 /* of data; the record is below 64 KiB */
#define SNAPSHOT_PIECES_MAX 192

struct snapshot
{
  uint64_t next_offset; /* the state after all records before this one */
  uint64_t checksum;
  uint32_t total; /* pieces */
  uint8_t *data;
  size_t len;
};

/* Packs the state of FD; the memory hangs on PARENT.  Returns 0,
   ERR_TOO_LARGE or ERR_NOMEM.  */
int snapshot_make (void *parent, const struct fold *fd, struct snapshot *out);

/* Body of the record with piece INDEX.  Returns 0, ERR_INVALID (no such
   piece) or ERR_NOMEM.  */
int snapshot_piece (void *parent, const struct snapshot *snap, uint32_t index,
                    uint8_t **body, size_t *len);

/* Makes FD the fold that the snapshot holds; until 0 is returned there is
   nothing to finish.  Returns 0, ERR_CHECKSUM, ERR_PROTOCOL or ERR_NOMEM.  */
int snapshot_load (void *parent, const uint8_t *data, size_t len,
                   uint64_t checksum, struct fold *fd);

/* Collects the pieces of several snapshots while records are read, in any
   order and from several writers, and keeps the latest one that is complete
   and loads.  Memory: two snapshots in parts and one loaded.  */
struct snapshot_reader
{
  struct priv *priv;
};

int snapshot_reader_init (struct snapshot_reader *rd, void *parent);
void snapshot_reader_fini (struct snapshot_reader *rd);

/* Looks at a record's bytes.  A snapshot of a state before MIN_NEXT_OFFSET is
   left out, because records that follow it have expired.  Returns 0, also for
   records that are no piece, or ERR_NOMEM.  */
int snapshot_reader_add (struct snapshot_reader *rd, const uint8_t *data,
                         size_t len, uint64_t min_next_offset);

/* Hands over the latest loaded snapshot, whose memory then hangs on PARENT.
   Returns 0 or ERR_NOT_FOUND.  */
int snapshot_reader_take (struct snapshot_reader *rd, void *parent,
                          struct fold *fd);

/* Complete snapshots that did not load or whose checksum was wrong.  */
uint64_t snapshot_reader_bad (const struct snapshot_reader *rd);
