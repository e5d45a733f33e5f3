#pragma once

#include "table/table_check.h"

/* The table as JSON: {"rows":[{"sort":"kind","name":"x","weight":100,...}]}
   with numbers, booleans and strings as the columns say; a cell that is
   absent or null is empty.  "version" is optional.  */

/* As table_csv_import; lines of faults are row numbers from 1 on.  */
int table_json_import (void *parent, const char *data, size_t len,
                       struct table **out, struct table_faults *faults);

/* NUL-terminated text, or NULL without memory.  */
char *table_json_export (void *parent, const struct table *tab);
