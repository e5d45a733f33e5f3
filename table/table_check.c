#include "table/table_check.h"

#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#define OBJECTIVE_SUM_PCT 100

static const struct
{
  const char *name;
  const char *text;
  bool numeric; /* the message includes the allowed range */
} fault_infos[TABLE_FAULT_COUNT] = {
  [TABLE_FAULT_NONE] = { "none", "no fault", false },
  [TABLE_FAULT_SYNTAX] = { "syntax", "syntax error", false },
  [TABLE_FAULT_UNKNOWN_COLUMN] = { "unknown_column", "unknown column", false },
  [TABLE_FAULT_WRONG_ROW_TYPE]
  = { "not_of_sort", "column does not apply to rows of this sort", false },
  [TABLE_FAULT_REQUIRED] = { "required", "a value is required", false },
  [TABLE_FAULT_TYPE]
  = { "type", "invalid value for the column's type", false },
  [TABLE_FAULT_RANGE] = { "range", "out of range", true },
  [TABLE_FAULT_UNKNOWN_POOL]
  = { "unknown_pool", "the table has no row for this pool", false },
  [TABLE_FAULT_DUPLICATE_ROW]
  = { "duplicate_row", "duplicate row, or deletion of an absent row", false },
  [TABLE_FAULT_OBJECTIVE_SUM]
  = { "objective_sum", "wrong sum of the objective weights", true },
  [TABLE_FAULT_SLOT_SUM]
  = { "slot_sum",
      "sum of the background concurrency limits leaves no urgent reserve",
      true },
  [TABLE_FAULT_BUDGET_SIZE]
  = { "budget_size", "no host of this pool could ever be out of service",
      true },
  [TABLE_FAULT_POOL_IN_USE]
  = { "pool_in_use", "kinds or hosts still belong to the pool", false },
  [TABLE_FAULT_TOO_MANY_ROWS] = { "too_many_rows", "too many rows", true },
};

const char *
table_fault_name (enum table_fault_type type)
{
  return type < TABLE_FAULT_COUNT ? fault_infos[type].name : "unknown_fault";
}

static void
copy_truncated (char to[TABLE_NAME_SIZE], const char *from)
{
  size_t len = from ? strnlen (from, TABLE_NAME_SIZE - 1) : 0;
  if (len)
    memcpy (to, from, len);
  to[len] = '\0';
}

/* Whether this cell has a fault already.  A cell whose text could not be
   parsed is unset, and must not be reported as missing as well.  */
static bool
already_reported (const struct table_faults *faults,
                  const struct table_row *row, const char *column)
{
  if (faults->count >= TABLE_FAULTS_MAX)
    return false;
  for (size_t n = 0; n < faults->count; n++)
    if (faults->items[n].line == row->line
        && faults->items[n].row_type == row->type
        && strcmp (faults->items[n].name, row->name) == 0
        && strcmp (faults->items[n].column, column) == 0)
      return true;
  return false;
}

void
table_fault_add (struct table_faults *faults, enum table_fault_type type,
                 const struct table_row *row, const char *column,
                 const char *value, int64_t min, int64_t max)
{
  if (type == TABLE_FAULT_REQUIRED && already_reported (faults, row, column))
    return;
  faults->total++;
  if (faults->count >= TABLE_FAULTS_MAX)
    return;
  struct table_fault *items = talloc_realloc (
      faults->parent, faults->items, struct table_fault, faults->count + 1);
  if (!items)
    return;
  faults->items = items;
  struct table_fault *fault = &items[faults->count++];
  memset (fault, 0, sizeof *fault);
  fault->type = type;
  fault->min = min;
  fault->max = max;
  copy_truncated (fault->column, column);
  copy_truncated (fault->value, value);
  if (row)
    {
      fault->line = row->line;
      fault->row_type = row->type;
      copy_truncated (fault->name, row->name);
    }
}

/* The part of the message that says which values are allowed; empty for faults
   that have none.  */
static char *
allowed_text (void *parent, const struct table_fault *fault)
{
  const struct table_column *col
      = table_column_find (fault->row_type, fault->column);
  if (fault_infos[fault->type].numeric
      || (col && col->type == TABLE_VALUE_NUMBER
          && fault->type != TABLE_FAULT_WRONG_ROW_TYPE))
    return talloc_asprintf (
        parent, ", allowed: %" PRId64 " to %" PRId64 "%s%s", fault->min,
        fault->max, col && col->unit ? " " : "",
        col && col->unit ? col->unit : "");
  if (fault->type != TABLE_FAULT_TYPE && fault->type != TABLE_FAULT_REQUIRED)
    return talloc_strdup (parent, "");
  if (col && col->type == TABLE_VALUE_FLAG)
    return talloc_strdup (parent, ", allowed: yes|no");
  if (col && col->type == TABLE_VALUE_CHOICE)
    {
      char *text = talloc_strdup (parent, ", allowed: ");
      for (size_t n = 0; text && col->choices[n]; n++)
        text = talloc_asprintf_append (text, "%s%s", n ? "|" : "",
                                       col->choices[n]);
      return text;
    }
  return talloc_asprintf (
      parent, ", allowed: 1 to %d letters, digits, '_', '-' or '.'",
      TABLE_NAME_SIZE - 1);
}

char *
table_fault_format (void *parent, const struct table_fault *fault)
{
  char *allowed = allowed_text (parent, fault);
  char *line = fault->line ? talloc_asprintf (parent, "line %u: ", fault->line)
                           : talloc_strdup (parent, "");
  char *where
      = fault->name[0] ? talloc_asprintf (
            parent, "%s %s%s%s: ", table_row_type_names[fault->row_type],
            fault->name, fault->column[0] ? ", column " : "", fault->column)
                       : talloc_asprintf (
                           parent, "%s%s%s", fault->column[0] ? "column " : "",
                           fault->column, fault->column[0] ? ": " : "");
  char *text = NULL;
  if (allowed && line && where)
    text = talloc_asprintf (parent, "%s%s\"%s\": %s%s", line, where,
                            fault->value, fault_infos[fault->type].text,
                            allowed);
  talloc_free (allowed);
  talloc_free (line);
  talloc_free (where);
  return text;
}

void
table_check_cell (struct table_row *row, const struct table_column *col,
                  const char *text, struct table_faults *faults)
{
  enum table_fault_type type = table_cell_parse (row, col, text);
  if (type != TABLE_FAULT_NONE)
    table_fault_add (faults, type, row, col->name, text, col->min, col->max);
}

static void
check_number (const struct table_row *row, const struct table_column *col,
              struct table_faults *faults)
{
  uint32_t num = table_cell_number (row, col);
  if (num == TABLE_UNSET && col->optional)
    return;
  char *text = table_cell_format (faults->parent, row, col);
  if (num == TABLE_UNSET)
    table_fault_add (faults, TABLE_FAULT_REQUIRED, row, col->name, "",
                     col->min, col->max);
  else if (num < col->min || num > col->max)
    table_fault_add (faults, TABLE_FAULT_RANGE, row, col->name, text, col->min,
                     col->max);
  talloc_free (text);
}

static void
check_objective_sum (const struct table_row *row, struct table_faults *faults)
{
  uint32_t weights[]
      = { row->pool.buffer_cost_weight_pct, row->pool.roll_out_weight_pct,
          row->pool.moves_weight_pct };
  uint64_t sum = 0;
  for (size_t n = 0; n < sizeof weights / sizeof *weights; n++)
    {
      if (weights[n] == TABLE_UNSET)
        return;
      sum += weights[n];
    }
  if (sum == OBJECTIVE_SUM_PCT)
    return;
  char *text = talloc_asprintf (faults->parent, "%" PRIu64, sum);
  table_fault_add (faults, TABLE_FAULT_OBJECTIVE_SUM, row,
                   "buffer_cost_weight_pct", text, OBJECTIVE_SUM_PCT,
                   OBJECTIVE_SUM_PCT);
  talloc_free (text);
}

void
table_check_row (const struct table_row *row, struct table_faults *faults)
{
  if (!table_name_valid (row->name))
    table_fault_add (faults, TABLE_FAULT_TYPE, row, "name", row->name, 0, 0);
  for (const struct table_column *col = table_columns; col->name; col++)
    {
      if (col->row_type != row->type)
        continue;
      if (col->type != TABLE_VALUE_NAME)
        check_number (row, col, faults);
      else if (*table_cell_name (row, col) == '\0')
        table_fault_add (faults, TABLE_FAULT_REQUIRED, row, col->name, "", 0,
                         0);
      else if (!table_name_valid (table_cell_name (row, col)))
        table_fault_add (faults, TABLE_FAULT_TYPE, row, col->name,
                         table_cell_name (row, col), 0, 0);
    }
  if (row->type == TABLE_POOL)
    check_objective_sum (row, faults);
}

void
table_check_pool (const struct table *tab, const struct table_row *kind,
                  struct table_faults *faults)
{
  if (kind->kind.pool[0] && !table_find (tab, TABLE_POOL, kind->kind.pool))
    table_fault_add (faults, TABLE_FAULT_UNKNOWN_POOL, kind, "pool",
                     kind->kind.pool, 0, 0);
}

uint32_t
table_pct_ceil (uint32_t pct, uint32_t count)
{
  return (uint32_t)(((uint64_t)pct * count + 99) / 100);
}

static uint64_t
sum_background_limits (const struct table *tab, const char *pool)
{
  uint64_t sum = 0;
  for (size_t n = 0; n < tab->count; n++)
    {
      const struct table_row *row = tab->rows[n];
      if (row->type == TABLE_KIND && row->kind.cls == TABLE_CLASS_BACKGROUND
          && row->kind.concurrency_limit != TABLE_UNSET
          && strcmp (row->kind.pool, pool) == 0)
        sum += row->kind.concurrency_limit;
    }
  return sum;
}

/* Checks the pool's budget and urgent reserve against its size.  A budget that
   rounds up to all hosts would forbid any maintenance, and background limits
   that allow background work in the reserved slots would defeat the urgent
   reserve.  */
static void
check_size (const struct table *tab, const struct table_pool_size *size,
            struct table_faults *faults)
{
  const struct table_row *row = table_find (tab, TABLE_POOL, size->pool);
  if (!row || size->hosts == 0)
    return;
  const struct table_pool *pool = &row->pool;
  if (pool->availability_budget_pct <= 100
      && table_pct_ceil (pool->availability_budget_pct, size->hosts)
             >= size->hosts)
    {
      char *text = talloc_asprintf (faults->parent, "%u",
                                    pool->availability_budget_pct);
      table_fault_add (faults, TABLE_FAULT_BUDGET_SIZE, row,
                       "availability_budget_pct", text, 0,
                       (int64_t)(size->hosts - 1) * 100 / size->hosts);
      talloc_free (text);
    }
  if (pool->urgent_reserve_pct > 100)
    return;
  int64_t reserve = table_pct_ceil (pool->urgent_reserve_pct, size->slots);
  uint64_t sum = sum_background_limits (tab, size->pool);
  if (sum + reserve > size->slots)
    {
      char *text = talloc_asprintf (faults->parent, "%" PRIu64, sum);
      table_fault_add (faults, TABLE_FAULT_SLOT_SUM, row, "urgent_reserve_pct",
                       text, 0, (int64_t)size->slots - reserve);
      talloc_free (text);
    }
}

void
table_check (const struct table *tab, const struct table_pool_size *sizes,
             size_t size_count, struct table_faults *faults)
{
  for (size_t n = 0; n < tab->count; n++)
    {
      table_check_row (tab->rows[n], faults);
      if (tab->rows[n]->type == TABLE_KIND)
        table_check_pool (tab, tab->rows[n], faults);
    }
  for (size_t n = 0; n < size_count; n++)
    check_size (tab, &sizes[n], faults);
}
