#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The configuration table that operators edit: one row for each pool and each
   kind of work.  No I/O.  table_columns describes the columns for parsing,
   range checks, CSV, JSON, the record format and the reference page.  */

#define TABLE_NAME_SIZE 64 /* bytes, including the terminating NUL */
#define TABLE_ROWS_MAX 20000
#define TABLE_UNSET UINT32_MAX         /* a cell without value */
#define TABLE_NO_VERSION UINT64_MAX    /* the row is not in the log */
#define TABLE_URGENT_RESERVE_MAX_PCT 5 /* docs/design.md, section 11 */

/* Type of a row; named "sort" in CSV, JSON and records.  */
enum table_row_type
{
  TABLE_POOL,
  TABLE_KIND,
  TABLE_ROW_TYPE_COUNT,
};

/* Scheduling class; same order as enum admit_class.  */
enum table_class
{
  TABLE_CLASS_URGENT,
  TABLE_CLASS_NORMAL,
  TABLE_CLASS_BACKGROUND,
};

struct table_pool
{
  uint32_t availability_budget_pct; /* least share of hosts in service */
  uint32_t urgent_reserve_pct;      /* share of slots for the urgent class */
  uint32_t queue_deadline_ms[3];    /* default, by enum table_class */
  uint32_t spare;                   /* 1: hosts may move to other pools */
  uint32_t buffer_cost_weight_pct; /* the three objective weights sum to 100 */
  uint32_t roll_out_weight_pct;
  uint32_t moves_weight_pct;
};

struct table_kind
{
  char pool[TABLE_NAME_SIZE];
  uint32_t weight;            /* share relative to the pool's other kinds */
  uint32_t concurrency_limit; /* running requests in the pool; 0: no limit */
  uint32_t queue_limit;       /* queued requests per entry process */
  uint32_t queue_deadline_ms; /* TABLE_UNSET: the pool's default for cls */
  uint32_t cls;               /* enum table_class */
  uint32_t idempotent;
  uint32_t attempts; /* per request, including the first */
  uint32_t expected_service_ms;
};

struct table_row
{
  enum table_row_type type;
  char name[TABLE_NAME_SIZE];
  union
  {
    struct table_pool pool;
    struct table_kind kind;
  };
  uint64_t version; /* offset of the record that set it */
  uint32_t line;    /* in the imported text; 0: not imported */
};

/* Type of the values in a column.  */
enum table_value_type
{
  TABLE_VALUE_NAME,
  TABLE_VALUE_NUMBER,
  TABLE_VALUE_FLAG,   /* yes|no */
  TABLE_VALUE_CHOICE, /* index into choices */
};

struct table_column
{
  uint32_t id; /* identifies the column in records; never reused */
  enum table_row_type row_type;
  const char *name;
  enum table_value_type type;
  size_t offset; /* in struct table_row, of a uint32_t or a char array */
  uint32_t min;  /* allowed range; of the length for TABLE_VALUE_NAME */
  uint32_t max;
  const char *const *choices; /* NULL-terminated, for TABLE_VALUE_CHOICE */
  bool optional;              /* the cell may be unset */
  const char *unit;
  const char *help;
};

extern const struct table_column table_columns[]; /* ends with a NULL name */
extern const char *const table_row_type_names[TABLE_ROW_TYPE_COUNT + 1];

/* Faults found by the import or the check of a table.  */
enum table_fault_type
{
  TABLE_FAULT_NONE,
  TABLE_FAULT_SYNTAX,         /* malformed input */
  TABLE_FAULT_UNKNOWN_COLUMN, /* no such column */
  TABLE_FAULT_WRONG_ROW_TYPE, /* a value in a column of the other row type */
  TABLE_FAULT_REQUIRED,       /* a required value is missing */
  TABLE_FAULT_TYPE,           /* not of the column's type */
  TABLE_FAULT_RANGE,          /* a number out of range */
  TABLE_FAULT_UNKNOWN_POOL,   /* no row for this pool */
  TABLE_FAULT_DUPLICATE_ROW,  /* row given twice, or absent row deleted */
  TABLE_FAULT_OBJECTIVE_SUM,  /* objective weights do not sum to 100 */
  TABLE_FAULT_SLOT_SUM,       /* background limits leave no urgent reserve */
  TABLE_FAULT_BUDGET_SIZE,    /* no host could ever be out of service */
  TABLE_FAULT_POOL_IN_USE,    /* deleted while kinds or hosts belong to it */
  TABLE_FAULT_TOO_MANY_ROWS,
  TABLE_FAULT_COUNT,
};

struct table_fault
{
  enum table_fault_type type;
  uint32_t line; /* in the imported text; 0: not known */
  enum table_row_type row_type;
  char name[TABLE_NAME_SIZE];
  char column[TABLE_NAME_SIZE]; /* empty: the row as a whole */
  char value[TABLE_NAME_SIZE];
  int64_t min; /* allowed range, for the numeric faults */
  int64_t max;
};

#define TABLE_FAULTS_MAX 1000

/* Zero-initialized by the caller, who sets PARENT.  */
struct table_faults
{
  void *parent; /* talloc parent of items */
  struct table_fault *items;
  size_t count; /* in items */
  size_t total; /* found, including those beyond TABLE_FAULTS_MAX */
};

/* Rows are sorted by type and name, so that equal tables iterate alike.  */
struct table
{
  struct table_row **rows;
  size_t count;
  size_t capacity;
};

/* Size of a pool, for the checks that depend on it.  */
struct table_pool_size
{
  char pool[TABLE_NAME_SIZE];
  uint32_t hosts;
  uint32_t slots;
};

/* Finds a column of the given row type, by name or by id; NULL: none.  */
const struct table_column *table_column_find (enum table_row_type row_type,
                                              const char *name);
const struct table_column *table_column_by_id (enum table_row_type row_type,
                                               uint32_t id);

/* Whether NAME is 1 to 63 bytes of ASCII letters, digits, '_', '-' and '.'. */
bool table_name_valid (const char *name);

/* Initializes ROW with no version and all cells unset.  A name that is too
   long is truncated, so callers must check NAME with table_name_valid.  */
void table_row_init (struct table_row *row, enum table_row_type row_type,
                     const char *name);

/* The number, flag or index of the choice in the cell; TABLE_UNSET: none.  */
uint32_t table_cell_number (const struct table_row *row,
                            const struct table_column *col);
const char *table_cell_name (const struct table_row *row,
                             const struct table_column *col);

/* Set the cell without a range check; table_check_row checks the whole row
   later.  A name that is too long is truncated.  */
void table_cell_set_number (struct table_row *row,
                            const struct table_column *col, uint32_t num);
void table_cell_set_name (struct table_row *row,
                          const struct table_column *col, const char *name);

/* Parses TEXT into the cell; an empty text unsets it.  Returns the fault, and
   leaves the cell unchanged, if TEXT is invalid.  */
enum table_fault_type table_cell_parse (struct table_row *row,
                                        const struct table_column *col,
                                        const char *text);

/* Formats the cell as text that table_cell_parse accepts, a talloc child of
   PARENT; NULL: out of memory.  */
char *table_cell_format (void *parent, const struct table_row *row,
                         const struct table_column *col);

/* Whether type, name and all cells are equal; versions are not compared.  */
bool table_row_equal (const struct table_row *a, const struct table_row *b);

/* An empty table or a copy of TAB, a talloc child of PARENT; NULL: out of
   memory.  */
struct table *table_create (void *parent);
struct table *table_copy (void *parent, const struct table *tab);

/* NULL: there is no such row.  */
const struct table_row *table_find (const struct table *tab,
                                    enum table_row_type row_type,
                                    const char *name);

/* Adds a copy of ROW.  Returns 0, ERR_EXISTS, ERR_FULL (TABLE_ROWS_MAX) or
   ERR_NOMEM.  */
int table_add (struct table *tab, const struct table_row *row);

/* Inserts *ROW, a talloc child of TAB, or replaces the row of the same type
   and name, and sets *ROW to the replaced row (NULL: none).  Returns 0, or
   ERR_FULL or ERR_NOMEM and changes nothing.  */
int table_put (struct table *tab, struct table_row **row);

/* Removes the row and returns it; it stays a talloc child of TAB, and the
   caller frees it.  NULL: there is none.  */
struct table_row *table_remove (struct table *tab,
                                enum table_row_type row_type,
                                const char *name);

/* The kind's queue deadline, or else its pool's default for the class;
   TABLE_UNSET: neither is set.  */
uint32_t table_queue_deadline_ms (const struct table *tab,
                                  const struct table_row *kind);
