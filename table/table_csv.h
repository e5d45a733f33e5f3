#pragma once

#include "table/table_check.h"

/* The table as CSV (RFC 4180): a header line with the names of the columns in
   any order, then one line for each row.  Cells of the other sort's columns
   stay empty.  The column "version" is optional; an empty cell there means
   that the file does not say which version its writer saw.  A header with
   ';' and without ',' makes ';' the separator.  */

#define TABLE_TEXT_MAX_BYTES 8388608

/* Reads rows into *OUT, a new table under PARENT, and adds the faults of
   cells, columns and duplicate rows to FAULTS; the caller goes on with
   table_check on the whole table.  Returns 0, also with faults, or
   ERR_TOO_LARGE or ERR_NOMEM.  */
int table_csv_import (void *parent, const char *data, size_t len,
                      struct table **out, struct table_faults *faults);

/* NUL-terminated text, or NULL without memory.  */
char *table_csv_export (void *parent, const struct table *tab);

/* "version" cells of CSV and JSON.  Returns false for another text than an
   unsigned number below TABLE_NO_VERSION; an empty text is no version.  */
bool table_version_parse (const char *text, uint64_t *version);
