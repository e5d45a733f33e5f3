#pragma once

#include "table/table_check.h"

/* Import and export of the table as CSV (RFC 4180): a header line with the
   column names in any order, then one line for each row.  Cells in columns of
   the other row type stay empty.  The column "version" is optional; it
   holds the version of the row that the editor had read, and an empty cell
   leaves it unspecified.  The separator is ';' if the header contains ';' and
   no ','.  */

#define TABLE_TEXT_MAX_BYTES 8388608 /* longest text that is imported */

/* Reads the rows into *OUT, a new table and talloc child of PARENT.  Adds
   faults of cells, columns and duplicate rows to FAULTS; the caller checks the
   whole table with table_check.  Returns 0, also with faults, or ERR_TOO_LARGE
   or ERR_NOMEM.  */
int table_csv_import (void *parent, const char *data, size_t len,
                      struct table **out, struct table_faults *faults);

/* NUL-terminated text, a talloc child of PARENT; NULL: out of memory.  */
char *table_csv_export (void *parent, const struct table *tab);

/* Parses a cell of the column "version" into *VERSION; an empty text gives
   TABLE_NO_VERSION.  Returns false, with *VERSION TABLE_NO_VERSION, unless
   TEXT is empty or an unsigned decimal number below TABLE_NO_VERSION.  */
bool table_version_parse (const char *text, uint64_t *version);
