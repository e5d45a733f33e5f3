#pragma once

#include "table/table.h"

/* Checks of single rows and of a whole table.  All faults are added to FAULTS
   with their row and column, so that an operator sees them all at once.  */

/* Adds a fault of COLUMN of ROW.  ROW NULL: the fault belongs to no row.  MIN
   and MAX are the allowed range, for numeric faults.  */
void table_fault_add (struct table_faults *faults, enum table_fault_type type,
                      const struct table_row *row, const char *column,
                      const char *value, int64_t min, int64_t max);

/* Stable name such as "unknown_pool".  */
const char *table_fault_name (enum table_fault_type type);

/* One line of text with row, column, value and the allowed values, a talloc
   child of PARENT; NULL: out of memory.  */
char *table_fault_format (void *parent, const struct table_fault *fault);

/* Parses TEXT into the cell and adds the fault, if any.  */
void table_check_cell (struct table_row *row, const struct table_column *col,
                       const char *text, struct table_faults *faults);

/* Checks the name, the required cells, the ranges and the sum of the objective
   weights.  */
void table_check_row (const struct table_row *row,
                      struct table_faults *faults);

/* Checks that TAB has a row for the kind's pool.  */
void table_check_pool (const struct table *tab, const struct table_row *kind,
                       struct table_faults *faults);

/* Checks all rows, and the availability budget and the background concurrency
   limits against the sizes of the pools that are listed in SIZES.  */
void table_check (const struct table *tab, const struct table_pool_size *sizes,
                  size_t size_count, struct table_faults *faults);

/* PCT percent of COUNT hosts or slots, rounded up.  */
uint32_t table_pct_ceil (uint32_t pct, uint32_t count);
