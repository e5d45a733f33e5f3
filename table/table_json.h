#pragma once

#include "table/table_check.h"

/* Import and export of the table as JSON:
   {"rows":[{"sort":"kind","name":"x","weight":100,...}]}
   A value is a number, boolean or string according to the type of its column;
   a member that is absent or null is an empty cell.  "version" is
   optional.  */

/* As table_csv_import.  The line of a fault is the number of the row, from 1
   on, or of the text line for a JSON syntax error.  */
int table_json_import (void *parent, const char *data, size_t len,
                       struct table **out, struct table_faults *faults);

/* NUL-terminated text, a talloc child of PARENT; NULL: out of memory.  */
char *table_json_export (void *parent, const struct table *tab);
