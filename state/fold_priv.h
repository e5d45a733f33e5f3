#pragma once

#include <string.h>
#include <xxhash.h>

/* By default, uthash exits the process when out of memory.  */
#define HASH_NONFATAL_OOM 1
#define HASH_FUNCTION(key, len, hash)                                         \
  ((hash) = (unsigned int)XXH3_64bits ((key), (len)))
#include <uthash.h>

#include "proto/config.pb-c.h"
#include "state/fold.h"

/* Internal interface between fold.c, fold_batch.c and fold_snapshot.c.  */

struct fold_id_entry
{
  struct fold_record_id id;
  uint64_t offset;           /* of the first copy */
  enum fold_outcome outcome; /* FOLD_NONE: the slot is free */
  UT_hash_handle hh;
};

/* Folds BATCH, the body of the record at OFFSET, and sets *RES.  Applies all
   of its changes or leaves FD unchanged.  Returns 0, also for a void batch, or
   ERR_NOMEM.  */
int fold_batch (struct fold *fd, uint64_t offset, int64_t time_ms,
                const Kingcuphollow__ConfigBatch *batch,
                struct fold_result *res);

/* Inserts *HOST, a talloc child of FD's mem_ctx, or replaces the assignment of
   the same host, and sets *HOST to the replaced assignment (NULL: none).
   Returns 0, or ERR_FULL or ERR_NOMEM and changes nothing.  */
int fold_host_put (struct fold *fd, struct fold_host **host);

/* Removes the assignment of HOST and returns it; the caller frees it.  NULL:
   there is none.  */
struct fold_host *fold_host_remove (struct fold *fd, const char *host);

/* Appends an entry, zeroed, to the history, replacing the oldest one when the
   ring buffer is full.  */
struct fold_change *fold_history_next (struct fold *fd);

/* Stores the id of the record at OFFSET in the slot of the id that leaves the
   window.  ID NULL: the record has no id to keep, and the slot becomes free.
   Returns 0 or ERR_NOMEM.  */
int fold_id_store (struct fold *fd, const struct fold_record_id *id,
                   uint64_t offset, enum fold_outcome outcome);
