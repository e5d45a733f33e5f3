#include "table/table_json.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "table/table_csv.h"

static void
add_fault (struct table_faults *faults, uint32_t line,
           enum table_fault_type type, const char *column, const char *value)
{
  struct table_row row = { .line = line };
  table_fault_add (faults, type, &row, column, value, 0, 0);
}

static bool
type_matches (const struct table_column *col, const json_t *val)
{
  switch (col->type)
    {
    case TABLE_VALUE_NUMBER:
      return json_is_integer (val);
    case TABLE_VALUE_FLAG:
      return json_is_boolean (val);
    default:
      return json_is_string (val);
    }
}

static void
import_cell (struct table_row *row, const char *key, const json_t *val,
             struct table_faults *faults)
{
  const struct table_column *col = table_column_find (row->type, key);
  if (!col)
    {
      enum table_row_type other
          = row->type == TABLE_POOL ? TABLE_KIND : TABLE_POOL;
      table_fault_add (faults,
                       table_column_find (other, key)
                           ? TABLE_FAULT_WRONG_ROW_TYPE
                           : TABLE_FAULT_UNKNOWN_COLUMN,
                       row, key, "", 0, 0);
      return;
    }
  if (json_is_null (val))
    return;
  char *text = json_dumps (val, JSON_ENCODE_ANY | JSON_COMPACT);
  if (!type_matches (col, val))
    table_fault_add (faults, TABLE_FAULT_TYPE, row, key, text, col->min,
                     col->max);
  else if (json_is_string (val))
    table_check_cell (row, col, json_string_value (val), faults);
  else if (json_is_boolean (val))
    table_check_cell (row, col, json_is_true (val) ? "yes" : "no", faults);
  else
    table_check_cell (row, col, text ? text : "", faults);
  free (text);
}

static int
import_row (struct table *tab, const json_t *obj, uint32_t line,
            struct table_faults *faults)
{
  struct table_row row;
  const char *key;
  json_t *val;
  const char *sort = json_string_value (json_object_get (obj, "sort"));
  const char *name = json_string_value (json_object_get (obj, "name"));
  const json_t *version = json_object_get (obj, "version");

  if (!sort || (strcmp (sort, "pool") != 0 && strcmp (sort, "kind") != 0))
    {
      add_fault (faults, line, TABLE_FAULT_TYPE, "sort", sort ? sort : "");
      return 0;
    }
  if (!name || !table_name_valid (name))
    {
      add_fault (faults, line, TABLE_FAULT_TYPE, "name", name ? name : "");
      return 0;
    }
  table_row_init (&row, strcmp (sort, "pool") == 0 ? TABLE_POOL : TABLE_KIND,
                  name);
  row.line = line;
  if (json_is_integer (version) && json_integer_value (version) >= 0)
    row.version = (uint64_t)json_integer_value (version);
  else if (version && !json_is_null (version))
    table_fault_add (faults, TABLE_FAULT_TYPE, &row, "version", "", 0, 0);
  json_object_foreach ((json_t *)obj, key, val)
  {
    if (strcmp (key, "sort") != 0 && strcmp (key, "name") != 0
        && strcmp (key, "version") != 0)
      import_cell (&row, key, val, faults);
  }
  int err = table_add (tab, &row);
  if (err == ERR_EXISTS)
    table_fault_add (faults, TABLE_FAULT_DUPLICATE_ROW, &row, "", name, 0, 0);
  else if (err == ERR_FULL)
    table_fault_add (faults, TABLE_FAULT_TOO_MANY_ROWS, &row, "", "", 0,
                     TABLE_ROWS_MAX);
  return err == ERR_NOMEM ? err : 0;
}

int
table_json_import (void *parent, const char *data, size_t len,
                   struct table **out, struct table_faults *faults)
{
  json_error_t json_err;
  int err = 0;

  if (len > TABLE_TEXT_MAX_BYTES)
    return ERR_TOO_LARGE;
  struct table *tab = table_create (parent);
  if (!tab)
    return ERR_NOMEM;
  json_t *root = json_loadb (data, len, JSON_REJECT_DUPLICATES, &json_err);
  const json_t *rows = json_object_get (root, "rows");
  if (!root)
    add_fault (faults, json_err.line > 0 ? json_err.line : 0,
               TABLE_FAULT_SYNTAX, "", json_err.text);
  else if (!json_is_array (rows))
    add_fault (faults, 0, TABLE_FAULT_SYNTAX, "rows", "no array of rows");
  for (size_t n = 0; err == 0 && n < json_array_size (rows); n++)
    err = import_row (tab, json_array_get (rows, n), (uint32_t)n + 1, faults);
  json_decref (root);
  if (err)
    talloc_free (tab);
  else
    *out = tab;
  return err;
}

static json_t *
export_cell (const struct table_row *row, const struct table_column *col)
{
  uint32_t num;

  if (col->type == TABLE_VALUE_NAME)
    return json_string (table_cell_name (row, col));
  num = table_cell_number (row, col);
  if (num == TABLE_UNSET)
    return NULL;
  if (col->type == TABLE_VALUE_FLAG)
    return json_boolean (num != 0);
  if (col->type == TABLE_VALUE_CHOICE && num <= col->max)
    return json_string (col->choices[num]);
  return json_integer (num);
}

char *
table_json_export (void *parent, const struct table *tab)
{
  json_t *rows = json_array ();
  for (size_t n = 0; n < tab->count; n++)
    {
      const struct table_row *row = tab->rows[n];
      json_t *obj
          = json_pack ("{s:s,s:s}", "sort", table_row_type_names[row->type],
                       "name", row->name);
      if (row->version != TABLE_NO_VERSION)
        json_object_set_new (obj, "version",
                             json_integer ((json_int_t)row->version));
      for (const struct table_column *col = table_columns; col->name; col++)
        {
          json_t *val
              = col->row_type == row->type ? export_cell (row, col) : NULL;
          if (val)
            json_object_set_new (obj, col->name, val);
        }
      json_array_append_new (rows, obj);
    }
  json_t *root = json_pack ("{s:o}", "rows", rows);
  char *dump = json_dumps (root, JSON_INDENT (1));
  char *text = dump ? talloc_strdup (parent, dump) : NULL;
  free (dump);
  json_decref (root);
  return text;
}
