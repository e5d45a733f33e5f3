#pragma once

#include <stdio.h>

#include "cli/table_session.h"

/* Output of `kingcuphollow table` as text or JSON.  */

/* Exit codes, in addition to 0 (done).  */
enum table_exit
{
  TABLE_EXIT_FAILED = 1,  /* platform not reached or file not read */
  TABLE_EXIT_INVALID = 2, /* usage, settings or values */
  TABLE_EXIT_CONFLICT = 3,
  TABLE_EXIT_NOT_ACCEPTED = 4,
  TABLE_EXIT_UNKNOWN = 5,
  TABLE_EXIT_DIFFERENT = 6,  /* diff: there are differences */
  TABLE_EXIT_NOT_FOLDED = 7, /* accepted; not all entry processes folded it */
};

void print_faults (const struct table_faults *faults, bool json);

/* Prints the outcome and returns the exit code.  */
int print_edit (const struct fold *fd, const struct table_edit *edit,
                bool json);

/* Rows of one SORT (TABLE_SORT_COUNT: all) and NAME (NULL: all).  Returns the
   number of rows printed.  */
size_t print_rows (const struct fold *fd, enum table_sort sort,
                   const char *name, bool json);
void print_hosts (const struct fold *fd, const char *name, bool json);
void print_history (const struct fold *fd, size_t last, bool json);

/* Prints how BEFORE becomes AFTER, either of which may be NULL, cell by
   cell.  */
void print_row_diff (const struct table_row *before,
                     const struct table_row *after);

/* The reference page of the columns.  */
void print_columns (void);
