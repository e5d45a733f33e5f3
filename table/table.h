#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* The operators' table: one row for each pool and each kind of work.  Pure
   data and rules, nothing here does I/O.  table_columns drives parsing, range
   checks, CSV, JSON, the record format and the reference page.  */

#define TABLE_NAME_SIZE 64 /* bytes, with the terminating NUL */
#define TABLE_ROWS_MAX 20000
#define TABLE_UNSET UINT32_MAX         /* an optional cell without value */
#define TABLE_NO_VERSION UINT64_MAX    /* the row does not stand in the log */
#define TABLE_URGENT_RESERVE_MAX_PCT 5 /* docs/design.md, section 11 */

enum table_sort
{
  TABLE_POOL,
  TABLE_KIND,
  TABLE_SORT_COUNT,
};

/* In the order of enum admit_class.  */
enum table_class
{
  TABLE_CLASS_URGENT,
  TABLE_CLASS_NORMAL,
  TABLE_CLASS_BACKGROUND,
};

struct table_pool
{
  uint32_t availability_budget_pct; /* least share of hosts in service */
  uint32_t urgent_reserve_pct;      /* of slots, kept for the urgent class */
  uint32_t queue_deadline_ms[3];    /* default of each class */
  uint32_t spare;                   /* 1: hosts here may move elsewhere */
  uint32_t buffer_cost_weight_pct;  /* objective weights, in sum 100 */
  uint32_t roll_out_weight_pct;
  uint32_t moves_weight_pct;
};

struct table_kind
{
  char pool[TABLE_NAME_SIZE];
  uint32_t weight;
  uint32_t concurrency_limit; /* started requests in the pool; 0: none */
  uint32_t queue_limit;
  uint32_t queue_deadline_ms; /* TABLE_UNSET: the pool's for the class */
  uint32_t cls;               /* enum table_class */
  uint32_t idempotent;
  uint32_t attempts;
  uint32_t expected_service_ms;
};

struct table_row
{
  enum table_sort sort;
  char name[TABLE_NAME_SIZE];
  union
  {
    struct table_pool pool;
    struct table_kind kind;
  };
  uint64_t version; /* offset of the record that set it */
  uint32_t line;    /* in the input that it was read from, else 0 */
};

enum table_type
{
  TABLE_TYPE_NAME,
  TABLE_TYPE_NUMBER,
  TABLE_TYPE_FLAG,   /* yes|no */
  TABLE_TYPE_CHOICE, /* index into choices */
};

struct table_column
{
  uint32_t id; /* in records; never reused */
  enum table_sort sort;
  const char *name;
  enum table_type type;
  size_t offset; /* in struct table_row, of a uint32_t or a name */
  uint32_t min;
  uint32_t max;
  const char *const *choices; /* NULL-terminated, for TABLE_TYPE_CHOICE */
  bool optional;
  const char *unit;
  const char *help;
};

extern const struct table_column table_columns[]; /* ends with a NULL name */
extern const char *const table_sort_names[TABLE_SORT_COUNT + 1];

enum table_fault_type
{
  TABLE_FAULT_NONE,
  TABLE_FAULT_SYNTAX,         /* the input cannot be read */
  TABLE_FAULT_UNKNOWN_COLUMN, /* no such column */
  TABLE_FAULT_NOT_OF_SORT,    /* a value in a column of the other sort */
  TABLE_FAULT_REQUIRED,       /* no value */
  TABLE_FAULT_TYPE,           /* not of the column's type */
  TABLE_FAULT_RANGE,          /* a number out of range */
  TABLE_FAULT_UNKNOWN_POOL,   /* no row for this pool */
  TABLE_FAULT_DUPLICATE_ROW,  /* the same sort and name again */
  TABLE_FAULT_OBJECTIVE_SUM,  /* objective weights not in sum 100 */
  TABLE_FAULT_SLOT_SUM,       /* background limits leave no urgent reserve */
  TABLE_FAULT_BUDGET_SIZE,    /* no host could ever be out of service */
  TABLE_FAULT_POOL_IN_USE,    /* deleted while kinds or hosts belong to it */
  TABLE_FAULT_TOO_MANY_ROWS,
  TABLE_FAULT_COUNT,
};

struct table_fault
{
  enum table_fault_type type;
  uint32_t line; /* 0: not known */
  enum table_sort sort;
  char name[TABLE_NAME_SIZE];
  char column[TABLE_NAME_SIZE]; /* empty: the row as a whole */
  char value[TABLE_NAME_SIZE];
  int64_t min; /* allowed, for the numeric faults */
  int64_t max;
};

#define TABLE_FAULTS_KEPT 1000

/* Zeroed at the start; items hang on the talloc context PARENT.  */
struct table_faults
{
  void *parent;
  struct table_fault *items;
  size_t count; /* kept */
  size_t total; /* found */
};

/* Sorted by sort and name, so that equal tables iterate alike.  */
struct table
{
  struct table_row **rows;
  size_t count;
  size_t capacity;
};

/* Sizes of pools, for the checks that need them.  */
struct table_pool_size
{
  char pool[TABLE_NAME_SIZE];
  uint32_t hosts;
  uint32_t slots;
};

/* Column of SORT, by name or by id; NULL: none.  */
const struct table_column *table_column_find (enum table_sort sort,
                                              const char *name);
const struct table_column *table_column_by_id (enum table_sort sort,
                                               uint32_t id);

/* 1 to 63 bytes of ASCII letters, digits, '_', '-' and '.'.  */
bool table_name_valid (const char *name);

/* ROW without a version and with all cells unset.  A name that does not fit
   is cut and then fails the check.  */
void table_row_init (struct table_row *row, enum table_sort sort,
                     const char *name);

/* Number or choice in the cell, TABLE_UNSET when empty.  */
uint32_t table_cell_number (const struct table_row *row,
                            const struct table_column *col);
const char *table_cell_name (const struct table_row *row,
                             const struct table_column *col);

/* Sets a number without a check, for values that are checked as a row.  */
void table_cell_set_number (struct table_row *row,
                            const struct table_column *col, uint32_t num);
void table_cell_set_name (struct table_row *row,
                          const struct table_column *col, const char *name);

/* Parses TEXT into the cell; an empty text unsets it.  */
enum table_fault_type table_cell_parse (struct table_row *row,
                                        const struct table_column *col,
                                        const char *text);

/* The text that table_cell_parse reads back; NULL without memory.  */
char *table_cell_format (void *parent, const struct table_row *row,
                         const struct table_column *col);

/* Whether sort, name and all cells are equal; versions are not compared.  */
bool table_row_equal (const struct table_row *a, const struct table_row *b);

/* Hangs on the talloc context PARENT; NULL without memory.  */
struct table *table_create (void *parent);
struct table *table_copy (void *parent, const struct table *tab);

const struct table_row *table_find (const struct table *tab,
                                    enum table_sort sort, const char *name);

/* Adds a copy of ROW.  Returns 0, ERR_EXISTS, ERR_FULL or ERR_NOMEM.  */
int table_add (struct table *tab, const struct table_row *row);

/* Puts *ROW, owned by TAB, in the place of the row with the same sort and
   name, and gives the former row in *ROW (NULL: there was none).  Returns 0,
   ERR_FULL or ERR_NOMEM, and then nothing changed.  */
int table_swap (struct table *tab, struct table_row **row);

/* Takes the row out and hands it over; NULL: there is none.  */
struct table_row *table_take (struct table *tab, enum table_sort sort,
                              const char *name);

/* The kind's queue deadline, or its pool's default for the class.  */
uint32_t table_queue_deadline_ms (const struct table *tab,
                                  const struct table_row *kind);
