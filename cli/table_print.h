#pragma once

#include <stdio.h>

#include "cli/table_session.h"

/* Output of `kingcuphollow table` as text or JSON.  */

/* Exit codes, in addition to 0 (done).  */
enum table_exit
{
  TABLE_EXIT_FAILED = 1,       /* platform not reached, or file I/O failed */
  TABLE_EXIT_INVALID = 2,      /* usage, settings or values */
  TABLE_EXIT_CONFLICT = 3,     /* a row or assignment changed meanwhile */
  TABLE_EXIT_NOT_ACCEPTED = 4, /* certainly without effect */
  TABLE_EXIT_UNKNOWN = 5,      /* may or may not take effect */
  TABLE_EXIT_DIFFERENT = 6,    /* diff: there are differences */
  TABLE_EXIT_NOT_FOLDED = 7, /* accepted; not all entry processes folded it */
};

void table_print_faults (const struct table_faults *faults, bool json);

/* Prints the outcome of an edit and returns the exit code.  */
int table_print_edit (const struct fold *fd,
                      const struct table_edit_result *edit, bool json);

/* Prints the rows of one ROW_TYPE (TABLE_ROW_TYPE_COUNT: all) and NAME (NULL:
   all). Returns the number of rows printed.  */
size_t table_print_rows (const struct fold *fd, enum table_row_type row_type,
                         const char *name, bool json);
void table_print_hosts (const struct fold *fd, const char *name, bool json);
void table_print_history (const struct fold *fd, size_t max_count, bool json);

/* Prints the cells that differ between BEFORE and AFTER.  If one of them
   is NULL (no such row), prints all cells of the other.  */
void table_print_row_diff (const struct table_row *before,
                           const struct table_row *after);

/* Prints the reference page of the columns as Markdown.  */
void table_print_columns (void);
