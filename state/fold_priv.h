#pragma once

#include <string.h>
#include <xxhash.h>

/* Without memory uthash would end the process.  */
#define HASH_NONFATAL_OOM 1
#define HASH_FUNCTION(key, len, hash)                                         \
  ((hash) = (unsigned int)XXH3_64bits ((key), (len)))
#include <uthash.h>

#include "proto/config.pb-c.h"
#include "state/fold.h"

/* What fold.c, fold_batch.c and fold_snapshot.c share.  */

struct fold_id_entry
{
  struct fold_id id;
  uint64_t offset;
  enum fold_outcome outcome; /* FOLD_NONE: the slot is free */
  UT_hash_handle hh;
};

/* Applies BATCH at OFFSET as a whole and sets *RES, or leaves FD unchanged.
   Returns 0 or ERR_NOMEM.  */
int fold_batch (struct fold *fd, uint64_t offset, int64_t time_ms,
                const Kingcuphollow__ConfigBatch *batch,
                struct fold_result *res);

/* Puts *HOST, owned by FD, in the place of the assignment of the same host
   and gives the former one in *HOST (NULL: none).  Returns 0, ERR_FULL or
   ERR_NOMEM.  */
int fold_host_swap (struct fold *fd, struct fold_host **host);
struct fold_host *fold_host_take (struct fold *fd, const char *host);

/* The next entry of the history, zeroed; the oldest one goes when full.  */
struct fold_change *fold_history_next (struct fold *fd);

/* Remembers the id of the record at OFFSET, or with NULL that it has none, in
   place of the id that leaves the window.  Returns 0 or ERR_NOMEM.  */
int fold_remember (struct fold *fd, const struct fold_id *id, uint64_t offset,
                   enum fold_outcome outcome);
