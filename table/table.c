#include "table/table.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"

static const char *const class_names[]
    = { "urgent", "normal", "background", NULL };

const char *const table_row_type_names[] = { "pool", "kind", NULL };

#define POOL(f) offsetof (struct table_row, pool.f)
#define KIND(f) offsetof (struct table_row, kind.f)
#define DAY_MS 86400000
#define DEADLINE_MAX_MS 600000 /* longest deadline that a caller may set */

const struct table_column table_columns[] = {
  { 1, TABLE_POOL, "availability_budget_pct", TABLE_VALUE_NUMBER,
    POOL (availability_budget_pct), 0, 100, NULL, false, "%",
    "minimum share of the pool's hosts that must be in service" },
  { 2, TABLE_POOL, "urgent_reserve_pct", TABLE_VALUE_NUMBER,
    POOL (urgent_reserve_pct), 0, TABLE_URGENT_RESERVE_MAX_PCT, NULL, false,
    "%", "share of the pool's slots that only the urgent class may use" },
  { 3, TABLE_POOL, "urgent_queue_deadline_ms", TABLE_VALUE_NUMBER,
    POOL (queue_deadline_ms[TABLE_CLASS_URGENT]), 1, DEADLINE_MAX_MS, NULL,
    false, "ms", "default queue deadline of kinds in the urgent class" },
  { 4, TABLE_POOL, "normal_queue_deadline_ms", TABLE_VALUE_NUMBER,
    POOL (queue_deadline_ms[TABLE_CLASS_NORMAL]), 1, DEADLINE_MAX_MS, NULL,
    false, "ms", "default queue deadline of kinds in the normal class" },
  { 5, TABLE_POOL, "background_queue_deadline_ms", TABLE_VALUE_NUMBER,
    POOL (queue_deadline_ms[TABLE_CLASS_BACKGROUND]), 1, DEADLINE_MAX_MS, NULL,
    false, "ms", "default queue deadline of kinds in the background class" },
  { 6, TABLE_POOL, "spare", TABLE_VALUE_FLAG, POOL (spare), 0, 1, NULL, false,
    NULL,
    "whether this is a spare pool, whose hosts may move to other pools" },
  { 7, TABLE_POOL, "buffer_cost_weight_pct", TABLE_VALUE_NUMBER,
    POOL (buffer_cost_weight_pct), 0, 100, NULL, false, "%",
    "weight of buffer cost; the three objective weights sum to 100" },
  { 8, TABLE_POOL, "roll_out_weight_pct", TABLE_VALUE_NUMBER,
    POOL (roll_out_weight_pct), 0, 100, NULL, false, "%",
    "weight of roll-out time" },
  { 9, TABLE_POOL, "moves_weight_pct", TABLE_VALUE_NUMBER,
    POOL (moves_weight_pct), 0, 100, NULL, false, "%",
    "weight of host moves" },
  { 20, TABLE_KIND, "pool", TABLE_VALUE_NAME, KIND (pool), 1,
    TABLE_NAME_SIZE - 1, NULL, false, "bytes",
    "pool whose hosts run this kind of work" },
  { 21, TABLE_KIND, "weight", TABLE_VALUE_NUMBER, KIND (weight), 1, 10000,
    NULL, false, NULL, "share of the pool relative to its other kinds" },
  { 22, TABLE_KIND, "concurrency_limit", TABLE_VALUE_NUMBER,
    KIND (concurrency_limit), 0, 1000000, NULL, false, "requests",
    "maximum number of running requests in the pool; 0: no limit" },
  { 23, TABLE_KIND, "queue_limit", TABLE_VALUE_NUMBER, KIND (queue_limit), 0,
    1000000, NULL, false, "requests",
    "maximum number of queued requests per entry process; more are rejected" },
  { 24, TABLE_KIND, "queue_deadline_ms", TABLE_VALUE_NUMBER,
    KIND (queue_deadline_ms), 1, DEADLINE_MAX_MS, NULL, true, "ms",
    "maximum time in the queue; empty: the pool's default for the class" },
  { 25, TABLE_KIND, "class", TABLE_VALUE_CHOICE, KIND (cls), 0, 2, class_names,
    false, NULL, "scheduling class" },
  { 26, TABLE_KIND, "idempotent", TABLE_VALUE_FLAG, KIND (idempotent), 0, 1,
    NULL, false, NULL, "whether a request may run more than once" },
  { 27, TABLE_KIND, "attempts", TABLE_VALUE_NUMBER, KIND (attempts), 1, 5,
    NULL, false, "attempts",
    "maximum number of attempts per request, including the first" },
  { 28, TABLE_KIND, "expected_service_ms", TABLE_VALUE_NUMBER,
    KIND (expected_service_ms), 1, DAY_MS, NULL, false, "ms",
    "expected service time" },
  { 0, 0, NULL, 0, 0, 0, 0, NULL, false, NULL, NULL },
};

const struct table_column *
table_column_find (enum table_row_type row_type, const char *name)
{
  for (const struct table_column *col = table_columns; col->name; col++)
    if (col->row_type == row_type && strcmp (col->name, name) == 0)
      return col;
  return NULL;
}

const struct table_column *
table_column_by_id (enum table_row_type row_type, uint32_t id)
{
  for (const struct table_column *col = table_columns; col->name; col++)
    if (col->row_type == row_type && col->id == id)
      return col;
  return NULL;
}

bool
table_name_valid (const char *name)
{
  size_t len = strnlen (name, TABLE_NAME_SIZE);
  if (len == 0 || len >= TABLE_NAME_SIZE)
    return false;
  for (const char *p = name; *p; p++)
    if (!(*p >= 'a' && *p <= 'z') && !(*p >= 'A' && *p <= 'Z')
        && !(*p >= '0' && *p <= '9') && *p != '_' && *p != '-' && *p != '.')
      return false;
  return true;
}

static void
name_copy (char to[TABLE_NAME_SIZE], const char *from)
{
  size_t len = strnlen (from, TABLE_NAME_SIZE - 1);
  memset (to, 0, TABLE_NAME_SIZE);
  memcpy (to, from, len);
}

void
table_row_init (struct table_row *row, enum table_row_type row_type,
                const char *name)
{
  memset (row, 0, sizeof *row);
  row->type = row_type;
  row->version = TABLE_NO_VERSION;
  name_copy (row->name, name);
  for (const struct table_column *col = table_columns; col->name; col++)
    if (col->row_type == row_type && col->type != TABLE_VALUE_NAME)
      table_cell_set_number (row, col, TABLE_UNSET);
}

uint32_t
table_cell_number (const struct table_row *row, const struct table_column *col)
{
  uint32_t num;
  memcpy (&num, (const char *)row + col->offset, sizeof num);
  return num;
}

const char *
table_cell_name (const struct table_row *row, const struct table_column *col)
{
  return (const char *)row + col->offset;
}

void
table_cell_set_number (struct table_row *row, const struct table_column *col,
                       uint32_t num)
{
  memcpy ((char *)row + col->offset, &num, sizeof num);
}

void
table_cell_set_name (struct table_row *row, const struct table_column *col,
                     const char *name)
{
  name_copy ((char *)row + col->offset, name);
}

/* Rejects plus signs, blanks and leading zeros, because an export would not
   reproduce them.  */
static enum table_fault_type
number_parse (const char *text, uint32_t *num)
{
  const char *digits = text + (*text == '-');
  uint64_t val = 0;
  if (*digits == '\0' || (digits[0] == '0' && digits[1] != '\0'))
    return TABLE_FAULT_TYPE;
  for (const char *p = digits; *p; p++)
    {
      if (!isdigit ((unsigned char)*p))
        return TABLE_FAULT_TYPE;
      if (val < TABLE_UNSET)
        val = val * 10 + (*p - '0');
    }
  if (digits != text || val >= TABLE_UNSET)
    return TABLE_FAULT_RANGE;
  *num = (uint32_t)val;
  return TABLE_FAULT_NONE;
}

static enum table_fault_type
choice_parse (const char *const *choices, const char *text, uint32_t *num)
{
  for (uint32_t n = 0; choices[n]; n++)
    if (strcmp (choices[n], text) == 0)
      {
        *num = n;
        return TABLE_FAULT_NONE;
      }
  return TABLE_FAULT_TYPE;
}

static const char *const flag_names[] = { "no", "yes", NULL };

enum table_fault_type
table_cell_parse (struct table_row *row, const struct table_column *col,
                  const char *text)
{
  enum table_fault_type type = TABLE_FAULT_NONE;
  uint32_t num = TABLE_UNSET;

  if (col->type == TABLE_VALUE_NAME)
    {
      if (*text && !table_name_valid (text))
        return TABLE_FAULT_TYPE;
      table_cell_set_name (row, col, text);
      return TABLE_FAULT_NONE;
    }
  if (*text && col->type == TABLE_VALUE_NUMBER)
    type = number_parse (text, &num);
  else if (*text)
    type = choice_parse (
        col->type == TABLE_VALUE_FLAG ? flag_names : col->choices, text, &num);
  if (type == TABLE_FAULT_NONE && num != TABLE_UNSET
      && (num < col->min || num > col->max))
    type = TABLE_FAULT_RANGE;
  if (type == TABLE_FAULT_NONE)
    table_cell_set_number (row, col, num);
  return type;
}

char *
table_cell_format (void *parent, const struct table_row *row,
                   const struct table_column *col)
{
  if (col->type == TABLE_VALUE_NAME)
    return talloc_strdup (parent, table_cell_name (row, col));
  uint32_t num = table_cell_number (row, col);
  if (num == TABLE_UNSET)
    return talloc_strdup (parent, "");
  if (num <= col->max && col->type == TABLE_VALUE_FLAG)
    return talloc_strdup (parent, flag_names[num]);
  if (num <= col->max && col->type == TABLE_VALUE_CHOICE)
    return talloc_strdup (parent, col->choices[num]);
  return talloc_asprintf (parent, "%u", num);
}

bool
table_row_equal (const struct table_row *a, const struct table_row *b)
{
  if (a->type != b->type || strcmp (a->name, b->name) != 0)
    return false;
  for (const struct table_column *col = table_columns; col->name; col++)
    {
      if (col->row_type != a->type)
        continue;
      if (col->type == TABLE_VALUE_NAME
              ? strcmp (table_cell_name (a, col), table_cell_name (b, col))
                    != 0
              : table_cell_number (a, col) != table_cell_number (b, col))
        return false;
    }
  return true;
}

struct table *
table_create (void *parent)
{
  return talloc_zero (parent, struct table);
}

struct table *
table_copy (void *parent, const struct table *tab)
{
  struct table *copy = table_create (parent);
  if (!copy)
    return NULL;
  for (size_t n = 0; n < tab->count; n++)
    if (table_add (copy, tab->rows[n]) != 0)
      {
        talloc_free (copy);
        return NULL;
      }
  return copy;
}

/* Index of the row, or the index at which to insert it.  */
static size_t
row_index (const struct table *tab, enum table_row_type row_type,
           const char *name, bool *found)
{
  size_t low = 0;
  size_t high = tab->count;

  *found = false;
  while (low < high)
    {
      size_t mid = low + (high - low) / 2;
      const struct table_row *row = tab->rows[mid];
      int cmp = row->type != row_type ? (row->type < row_type ? -1 : 1)
                                      : strcmp (row->name, name);
      if (cmp == 0)
        {
          *found = true;
          return mid;
        }
      if (cmp < 0)
        low = mid + 1;
      else
        high = mid;
    }
  return low;
}

const struct table_row *
table_find (const struct table *tab, enum table_row_type row_type,
            const char *name)
{
  bool found;
  size_t idx = row_index (tab, row_type, name, &found);
  return found ? tab->rows[idx] : NULL;
}

/* Makes room for one more row.  Returns 0, ERR_FULL or ERR_NOMEM.  */
static int
reserve_row (struct table *tab)
{
  if (tab->count >= TABLE_ROWS_MAX)
    return ERR_FULL;
  if (tab->count < tab->capacity)
    return 0;
  size_t capacity = tab->capacity ? 2 * tab->capacity : 16;
  struct table_row **rows
      = talloc_realloc (tab, tab->rows, struct table_row *, capacity);
  if (!rows)
    return ERR_NOMEM;
  tab->rows = rows;
  tab->capacity = capacity;
  return 0;
}

int
table_put (struct table *tab, struct table_row **row)
{
  bool found;
  size_t idx = row_index (tab, (*row)->type, (*row)->name, &found);
  if (found)
    {
      struct table_row *old = tab->rows[idx];
      tab->rows[idx] = *row;
      *row = old;
      return 0;
    }
  int err = reserve_row (tab);
  if (err)
    return err;
  memmove (tab->rows + idx + 1, tab->rows + idx,
           (tab->count - idx) * sizeof (struct table_row *));
  tab->rows[idx] = *row;
  tab->count++;
  *row = NULL;
  return 0;
}

int
table_add (struct table *tab, const struct table_row *row)
{
  if (table_find (tab, row->type, row->name))
    return ERR_EXISTS;
  struct table_row *copy = talloc_memdup (tab, row, sizeof *row);
  if (!copy)
    return ERR_NOMEM;
  struct table_row *replaced = copy;
  int err = table_put (tab, &replaced);
  if (err)
    talloc_free (copy);
  return err;
}

struct table_row *
table_remove (struct table *tab, enum table_row_type row_type,
              const char *name)
{
  bool found;
  size_t idx = row_index (tab, row_type, name, &found);
  if (!found)
    return NULL;
  struct table_row *row = tab->rows[idx];
  tab->count--;
  memmove (tab->rows + idx, tab->rows + idx + 1,
           (tab->count - idx) * sizeof (struct table_row *));
  return row;
}

uint32_t
table_queue_deadline_ms (const struct table *tab, const struct table_row *kind)
{
  if (kind->kind.queue_deadline_ms != TABLE_UNSET)
    return kind->kind.queue_deadline_ms;
  const struct table_row *pool = table_find (tab, TABLE_POOL, kind->kind.pool);
  return pool && kind->kind.cls <= TABLE_CLASS_BACKGROUND
             ? pool->pool.queue_deadline_ms[kind->kind.cls]
             : TABLE_UNSET;
}
