#pragma once

#include "table/table.h"

/* Checks of rows and of a table as a whole.  Every fault is added to FAULTS,
   with row and column, so that an operator sees all of them at once.  */

void table_fault_add (struct table_faults *faults, enum table_fault_type type,
                      const struct table_row *row, const char *column,
                      const char *value, int64_t min, int64_t max);

/* Stable name such as "unknown_pool".  */
const char *table_fault_name (enum table_fault_type type);

/* One line with row, column, value and what is allowed; NULL without
   memory.  */
char *table_fault_format (void *parent, const struct table_fault *fault);

/* Parses TEXT into the cell and adds the fault, if any.  */
void table_check_cell (struct table_row *row, const struct table_column *col,
                       const char *text, struct table_faults *faults);

/* Name, required cells, ranges and the sum of the objective weights.  */
void table_check_row (const struct table_row *row,
                      struct table_faults *faults);

/* Whether the kind's pool stands in TAB.  */
void table_check_pool (const struct table *tab, const struct table_row *kind,
                       struct table_faults *faults);

/* Every row, and what the pools of the given sizes can hold.  Pools without
   an entry in SIZES are not checked for size.  */
void table_check (const struct table *tab, const struct table_pool_size *sizes,
                  size_t size_count, struct table_faults *faults);

/* Hosts that have to be in service in a pool of HOSTS: the budget is rounded
   up.  */
uint32_t table_budget_hosts (uint32_t budget_pct, uint32_t hosts);
