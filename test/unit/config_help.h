#pragma once

#include "state/fold_snapshot.h"

/* Rows, edits and records for the tests of the fold.  */

struct table_row help_pool (const char *name);
struct table_row help_kind (const char *name, const char *pool,
                            uint32_t weight);

/* A change of ROW that saw VERSION.  */
struct fold_row_change help_set (struct table_row row, uint64_t version);
struct fold_row_change help_delete (enum table_sort sort, const char *name,
                                    uint64_t version);

/* Record of the config stream, owned by CTX.  */
struct help_record
{
  uint8_t *data;
  size_t len;
};

struct help_record help_record (void *ctx, const char *writer,
                                uint64_t sequence, uint64_t based_on,
                                const struct fold_edit *edit);
struct help_record help_rows (void *ctx, const char *writer, uint64_t sequence,
                              uint64_t based_on,
                              const struct fold_row_change *rows,
                              size_t count);
struct help_record help_piece (void *ctx, uint64_t sequence,
                               const struct snapshot *snap, uint32_t index);

/* Folds the record as the next one and returns its outcome.  */
enum fold_outcome help_fold (struct fold *fd, struct help_record rec,
                             struct fold_result *res);

/* Rows with versions and assignments as text.  */
char *help_text (void *ctx, const struct fold *fd);

/* Whether both folds would judge all later records alike.  */
void help_assert_same (const struct fold *a, const struct fold *b);
