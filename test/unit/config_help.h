#pragma once

#include "state/fold_snapshot.h"

/* Test helpers that build table rows, edits and records of the config stream,
   fold them and compare the results.  */

/* Valid rows with fixed values in the other columns.  */
struct table_row help_pool_row (const char *name);
struct table_row help_kind_row (const char *name, const char *pool,
                                uint32_t weight);

/* A change that sets or deletes a row whose expected version is VERSION.  */
struct fold_row_change help_set_row (struct table_row row, uint64_t version);
struct fold_row_change help_delete_row (enum table_row_type row_type,
                                        const char *name, uint64_t version);

/* An encoded record of the config stream.  */
struct help_record
{
  uint8_t *data;
  size_t len;
};

/* Encode a record with an edit, with row changes or with a snapshot piece; the
   data is a talloc child of CTX.  BASE_OFFSET is the offset up to which the
   writer had folded the stream.  */
struct help_record help_edit_record (void *ctx, const char *writer,
                                     uint64_t sequence, uint64_t base_offset,
                                     const struct fold_edit *edit);
struct help_record help_rows_record (void *ctx, const char *writer,
                                     uint64_t sequence, uint64_t base_offset,
                                     const struct fold_row_change *rows,
                                     size_t count);
struct help_record help_piece_record (void *ctx, uint64_t sequence,
                                      const struct snapshot *snap,
                                      uint32_t index);

/* Folds REC at FD's next offset and returns its outcome.  RES may be NULL.  */
enum fold_outcome help_fold (struct fold *fd, struct help_record rec,
                             struct fold_result *res);

/* Rows with their versions, and assignments, as text.  */
char *help_state_text (void *ctx, const struct fold *fd);

/* Asserts that both states are equal, including all that the outcome of later
   records depends on.  */
void help_assert_same_state (const struct fold *a, const struct fold *b);
