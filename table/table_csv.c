#include "table/table_csv.h"

#include <csv.h>
#include <inttypes.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"

#define COLUMNS_MAX 64
#define CELL_MAX_BYTES 256
#define UTF8_BOM "\xef\xbb\xbf"

enum field_role
{
  FIELD_SORT,
  FIELD_NAME,
  FIELD_VERSION,
  FIELD_COLUMN,
  FIELD_UNKNOWN,
};

struct reader
{
  struct table *tab;
  struct table_faults *faults;
  int err;
  uint32_t line; /* of the row being read; line breaks in quotes not counted */

  enum field_role roles[COLUMNS_MAX];
  char header[COLUMNS_MAX][TABLE_NAME_SIZE];
  size_t header_count;
  bool header_done;

  char cells[COLUMNS_MAX][CELL_MAX_BYTES];
  size_t cell_count; /* in the current line; may exceed COLUMNS_MAX */
};

bool
table_version_parse (const char *text, uint64_t *version)
{
  uint64_t val = 0;

  *version = TABLE_NO_VERSION;
  if (*text == '\0')
    return true;
  for (const char *p = text; *p; p++)
    {
      if (*p < '0' || *p > '9' || val > (TABLE_NO_VERSION - 10) / 10)
        return false;
      val = val * 10 + (*p - '0');
    }
  *version = val;
  return true;
}

static bool
column_known (const char *name)
{
  for (const struct table_column *col = table_columns; col->name; col++)
    if (strcmp (col->name, name) == 0)
      return true;
  return false;
}

static enum field_role
header_role (const char *name)
{
  if (strcmp (name, "sort") == 0)
    return FIELD_SORT;
  if (strcmp (name, "name") == 0)
    return FIELD_NAME;
  if (strcmp (name, "version") == 0)
    return FIELD_VERSION;
  return column_known (name) ? FIELD_COLUMN : FIELD_UNKNOWN;
}

static void
add_line_fault (struct reader *rd, enum table_fault_type type,
                const char *column, const char *value)
{
  struct table_row row = { .line = rd->line };
  table_fault_add (rd->faults, type, &row, column, value, 0, 0);
}

static void
parse_header (struct reader *rd)
{
  bool has_sort = false;
  bool has_name = false;

  rd->header_done = true;
  rd->header_count
      = rd->cell_count < COLUMNS_MAX ? rd->cell_count : COLUMNS_MAX;
  if (rd->cell_count > COLUMNS_MAX)
    add_line_fault (rd, TABLE_FAULT_SYNTAX, "", "too many columns");
  for (size_t n = 0; n < rd->header_count; n++)
    {
      strncpy (rd->header[n], rd->cells[n], TABLE_NAME_SIZE - 1);
      rd->roles[n] = header_role (rd->cells[n]);
      if (rd->roles[n] == FIELD_UNKNOWN)
        add_line_fault (rd, TABLE_FAULT_UNKNOWN_COLUMN, rd->header[n],
                        rd->header[n]);
      has_sort |= rd->roles[n] == FIELD_SORT;
      has_name |= rd->roles[n] == FIELD_NAME;
      for (size_t m = 0; m < n; m++)
        if (strcmp (rd->header[m], rd->header[n]) == 0)
          {
            add_line_fault (rd, TABLE_FAULT_SYNTAX, rd->header[n],
                            "column named twice");
            rd->roles[n] = FIELD_UNKNOWN;
          }
    }
  if (!has_sort)
    add_line_fault (rd, TABLE_FAULT_REQUIRED, "sort", "");
  if (!has_name)
    add_line_fault (rd, TABLE_FAULT_REQUIRED, "name", "");
}

static const char *
cell_by_role (const struct reader *rd, enum field_role role)
{
  for (size_t n = 0; n < rd->header_count && n < rd->cell_count; n++)
    if (rd->roles[n] == role)
      return rd->cells[n];
  return "";
}

static void
parse_cells (struct reader *rd, struct table_row *row)
{
  for (size_t n = 0; n < rd->header_count && n < rd->cell_count; n++)
    {
      if (rd->roles[n] != FIELD_COLUMN)
        continue;
      const struct table_column *col
          = table_column_find (row->type, rd->header[n]);
      if (col)
        table_check_cell (row, col, rd->cells[n], rd->faults);
      else if (rd->cells[n][0])
        table_fault_add (rd->faults, TABLE_FAULT_WRONG_ROW_TYPE, row,
                         rd->header[n], rd->cells[n], 0, 0);
    }
}

static void
parse_row (struct reader *rd)
{
  struct table_row row;
  const char *sort = cell_by_role (rd, FIELD_SORT);

  if (rd->cell_count > rd->header_count)
    add_line_fault (rd, TABLE_FAULT_SYNTAX, "", "more cells than columns");
  if (strcmp (sort, "pool") != 0 && strcmp (sort, "kind") != 0)
    {
      add_line_fault (rd, TABLE_FAULT_TYPE, "sort", sort);
      return;
    }
  table_row_init (&row, strcmp (sort, "pool") == 0 ? TABLE_POOL : TABLE_KIND,
                  cell_by_role (rd, FIELD_NAME));
  row.line = rd->line;
  if (!table_name_valid (cell_by_role (rd, FIELD_NAME)))
    {
      table_fault_add (rd->faults, TABLE_FAULT_TYPE, &row, "name",
                       cell_by_role (rd, FIELD_NAME), 0, 0);
      return;
    }
  if (!table_version_parse (cell_by_role (rd, FIELD_VERSION), &row.version))
    table_fault_add (rd->faults, TABLE_FAULT_TYPE, &row, "version",
                     cell_by_role (rd, FIELD_VERSION), 0, 0);
  parse_cells (rd, &row);
  int err = table_add (rd->tab, &row);
  if (err == ERR_EXISTS)
    table_fault_add (rd->faults, TABLE_FAULT_DUPLICATE_ROW, &row, "", row.name,
                     0, 0);
  else if (err == ERR_FULL)
    table_fault_add (rd->faults, TABLE_FAULT_TOO_MANY_ROWS, &row, "", "", 0,
                     TABLE_ROWS_MAX);
  else if (err)
    rd->err = err;
}

static void
on_cell (void *data, size_t len, void *arg)
{
  struct reader *rd = arg;
  size_t idx = rd->cell_count++;

  if (idx >= COLUMNS_MAX)
    return;
  if (len >= CELL_MAX_BYTES || memchr (data, '\0', len))
    {
      add_line_fault (rd, TABLE_FAULT_SYNTAX,
                      rd->header_done ? rd->header[idx] : "",
                      len >= CELL_MAX_BYTES ? "cell too long" : "NUL byte");
      len = 0;
    }
  memcpy (rd->cells[idx], data, len);
  rd->cells[idx][len] = '\0';
}

static void
on_line (int end, void *arg)
{
  struct reader *rd = arg;
  bool empty = true;

  for (size_t n = 0; n < rd->cell_count && n < COLUMNS_MAX; n++)
    empty &= rd->cells[n][0] == '\0';
  if (!rd->header_done)
    parse_header (rd);
  else if (!empty)
    parse_row (rd);
  rd->cell_count = 0;
  rd->line++;
}

static unsigned char
separator (const char *data, size_t len)
{
  const char *end = memchr (data, '\n', len);
  size_t header = end ? (size_t)(end - data) : len;
  return memchr (data, ';', header) && !memchr (data, ',', header) ? ';' : ',';
}

int
table_csv_import (void *parent, const char *data, size_t len,
                  struct table **out, struct table_faults *faults)
{
  struct csv_parser csv;

  if (len > TABLE_TEXT_MAX_BYTES)
    return ERR_TOO_LARGE;
  struct reader *rd = talloc_zero (parent, struct reader);
  if (!rd)
    return ERR_NOMEM;
  rd->tab = table_create (parent);
  rd->faults = faults;
  rd->line = 1;
  if (!rd->tab || csv_init (&csv, CSV_STRICT | CSV_STRICT_FINI) != 0)
    {
      talloc_free (rd->tab);
      talloc_free (rd);
      return ERR_NOMEM;
    }
  /* Some spreadsheet programs write a byte order mark before the header.  */
  if (len >= 3 && memcmp (data, UTF8_BOM, 3) == 0)
    {
      data += 3;
      len -= 3;
    }
  csv_set_delim (&csv, separator (data, len));
  if (csv_parse (&csv, data, len, on_cell, on_line, rd) != len
      || csv_fini (&csv, on_cell, on_line, rd) != 0)
    add_line_fault (rd, TABLE_FAULT_SYNTAX, "",
                    csv_strerror (csv_error (&csv)));
  csv_free (&csv);
  if (!rd->header_done)
    add_line_fault (rd, TABLE_FAULT_SYNTAX, "", "no header line");
  int err = rd->err;
  if (err)
    talloc_free (rd->tab);
  else
    *out = rd->tab;
  talloc_free (rd);
  return err;
}

static char *
export_row (char *text, const struct table_row *row)
{
  text = talloc_asprintf_append_buffer (
      text, "%s,%s,", table_row_type_names[row->type], row->name);
  if (text && row->version != TABLE_NO_VERSION)
    text = talloc_asprintf_append_buffer (text, "%" PRIu64, row->version);
  for (const struct table_column *col = table_columns; text && col->name;
       col++)
    {
      char *cell = col->row_type == row->type
                       ? table_cell_format (NULL, row, col)
                       : talloc_strdup (NULL, "");
      /* Needs no quoting: no value contains ',', '"' or a line break.  */
      text = cell ? talloc_asprintf_append_buffer (text, ",%s", cell) : NULL;
      talloc_free (cell);
    }
  return text ? talloc_asprintf_append_buffer (text, "\n") : NULL;
}

char *
table_csv_export (void *parent, const struct table *tab)
{
  char *text = talloc_strdup (parent, "sort,name,version");
  for (const struct table_column *col = table_columns; text && col->name;
       col++)
    text = talloc_asprintf_append_buffer (text, ",%s", col->name);
  if (text)
    text = talloc_asprintf_append_buffer (text, "\n");
  for (size_t n = 0; text && n < tab->count; n++)
    text = export_row (text, tab->rows[n]);
  return text;
}
