#include "cli/table_print.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>
#include <talloc.h>
#include <time.h>

#include "table/table_json.h"

static void
print_json (json_t *root)
{
  json_dumpf (root, stdout, JSON_INDENT (1));
  putchar ('\n');
  json_decref (root);
}

static json_t *
row_json (const struct table_row *row)
{
  json_t *out = NULL;
  struct table *tab = table_create (NULL);
  if (tab && table_add (tab, row) == 0)
    {
      char *text = table_json_export (tab, tab);
      json_t *root = text ? json_loads (text, 0, NULL) : NULL;
      out = json_incref (json_array_get (json_object_get (root, "rows"), 0));
      json_decref (root);
    }
  talloc_free (tab);
  return out ? out : json_null ();
}

void
table_print_faults (const struct table_faults *faults, bool json)
{
  json_t *list = json_array ();
  for (size_t n = 0; n < faults->count; n++)
    {
      const struct table_fault *fault = &faults->items[n];
      char *text = table_fault_format (NULL, fault);
      if (json)
        json_array_append_new (
            list, json_pack ("{s:s,s:i,s:s,s:s,s:s,s:s,s:s}", "fault",
                             table_fault_name (fault->type), "line",
                             (int)fault->line, "sort",
                             table_row_type_names[fault->row_type], "name",
                             fault->name, "column", fault->column, "value",
                             fault->value, "text", text ? text : ""));
      else
        fprintf (stderr, "%s\n", text ? text : "out of memory");
      talloc_free (text);
    }
  if (json)
    print_json (json_pack ("{s:s,s:I,s:o}", "outcome", "invalid", "total",
                           (json_int_t)faults->total, "faults", list));
  else
    {
      json_decref (list);
      if (faults->total > faults->count)
        fprintf (stderr, "%zu more faults are not listed\n",
                 faults->total - faults->count);
      fprintf (stderr, "%zu faults; nothing was changed\n", faults->total);
    }
}

/* Editor of the change at OFFSET, as far as the history reaches.  */
static const char *
editor_of (const struct fold *fd, uint64_t offset)
{
  for (size_t n = fd->history_count; n > 0; n--)
    if (fold_history (fd, n - 1)->offset == offset)
      return fold_history (fd, n - 1)->editor;
  return "not in the history";
}

static json_t *
conflict_json (const struct fold *fd, const struct fold_conflict *conflict)
{
  uint64_t seen = conflict->is_host ? conflict->host.host.generation
                                    : conflict->row.row.version;
  uint64_t current_version = conflict->is_host
                                 ? conflict->current_host.generation
                                 : conflict->current_row.version;
  json_t *out = json_object ();
  if (conflict->is_host)
    {
      json_object_set_new (out, "host",
                           json_string (conflict->host.host.host));
      json_object_set_new (out, "yours",
                           json_string (conflict->host.host.pool));
    }
  else
    json_object_set_new (
        out, "yours",
        conflict->row.deleted ? json_null () : row_json (&conflict->row.row));
  json_object_set_new (out, "seen_version",
                       seen == TABLE_NO_VERSION
                           ? json_null ()
                           : json_integer ((json_int_t)seen));
  if (!conflict->exists)
    json_object_set_new (out, "now", json_null ());
  else
    {
      json_object_set_new (out, "now",
                           conflict->is_host
                               ? json_string (conflict->current_host.pool)
                               : row_json (&conflict->current_row));
      json_object_set_new (out, "now_version",
                           json_integer ((json_int_t)current_version));
      json_object_set_new (out, "now_editor",
                           json_string (editor_of (fd, current_version)));
    }
  return out;
}

static void
print_conflict (const struct fold *fd, const struct fold_conflict *conflict)
{
  uint64_t current_version = conflict->is_host
                                 ? conflict->current_host.generation
                                 : conflict->current_row.version;
  if (conflict->is_host)
    printf ("conflict: host %s: proposed: %s, current: %s",
            conflict->host.host.host, conflict->host.host.pool,
            conflict->exists ? conflict->current_host.pool : "not assigned");
  else
    printf ("conflict: %s %s was changed since the version that the edit is "
            "based on",
            table_row_type_names[conflict->row.row.type],
            conflict->row.row.name);
  if (conflict->exists)
    printf (" (current version %" PRIu64 ", set by %s)", current_version,
            editor_of (fd, current_version));
  putchar ('\n');
  if (conflict->is_host)
    return;
  puts ("- current, + proposed:");
  table_print_row_diff (conflict->exists ? &conflict->current_row : NULL,
                        conflict->row.deleted ? NULL : &conflict->row.row);
}

static int
edit_exit_code (enum state_edit_outcome outcome)
{
  switch (outcome)
    {
    case STATE_EDIT_ACCEPTED:
      return 0;
    case STATE_EDIT_CONFLICT:
      return TABLE_EXIT_CONFLICT;
    case STATE_EDIT_INVALID:
      return TABLE_EXIT_INVALID;
    case STATE_EDIT_NOT_ACCEPTED:
      return TABLE_EXIT_NOT_ACCEPTED;
    default:
      return TABLE_EXIT_UNKNOWN;
    }
}

int
table_print_edit (const struct fold *fd, const struct table_edit_result *edit,
                  bool json)
{
  int code = edit_exit_code (edit->outcome);
  if (edit->outcome == STATE_EDIT_INVALID)
    {
      table_print_faults (&edit->faults, json);
      return code;
    }
  if (json)
    {
      json_t *list = json_array ();
      for (size_t n = 0; n < edit->conflict_count; n++)
        json_array_append_new (list, conflict_json (fd, &edit->conflicts[n]));
      json_t *root = json_pack ("{s:s,s:o}", "outcome",
                                state_edit_outcome_name (edit->outcome),
                                "conflicts", list);
      if (edit->offset != UINT64_MAX)
        json_object_set_new (root, "offset",
                             json_integer ((json_int_t)edit->offset));
      print_json (root);
      return code;
    }
  for (size_t n = 0; n < edit->conflict_count; n++)
    print_conflict (fd, &edit->conflicts[n]);
  switch (edit->outcome)
    {
    case STATE_EDIT_ACCEPTED:
      printf ("accepted at offset %" PRIu64 "\n", edit->offset);
      break;
    case STATE_EDIT_UNKNOWN:
      puts ("unknown: the log did not confirm in time whether the change took "
            "effect; check with `table show` before changing it again");
      break;
    default:
      printf ("%s: nothing was changed\n",
              state_edit_outcome_name (edit->outcome));
      break;
    }
  return code;
}

size_t
table_print_rows (const struct fold *fd, enum table_row_type row_type,
                  const char *name, bool json)
{
  size_t count = 0;
  json_t *list = json_array ();
  for (size_t n = 0; n < fd->table->count; n++)
    {
      const struct table_row *row = fd->table->rows[n];
      if ((row_type != TABLE_ROW_TYPE_COUNT && row->type != row_type)
          || (name && strcmp (row->name, name) != 0))
        continue;
      count++;
      if (json)
        {
          json_array_append_new (list, row_json (row));
          continue;
        }
      printf ("%s %s (version %" PRIu64 ")\n", table_row_type_names[row->type],
              row->name, row->version);
      for (const struct table_column *col = table_columns; col->name; col++)
        if (col->row_type == row->type)
          {
            char *cell = table_cell_format (NULL, row, col);
            printf ("  %-28s %s\n", col->name,
                    cell && *cell ? cell : "(pool's default)");
            talloc_free (cell);
          }
    }
  if (json)
    print_json (json_pack ("{s:I,s:o}", "next_offset",
                           (json_int_t)fd->next_offset, "rows", list));
  else
    json_decref (list);
  return count;
}

void
table_print_hosts (const struct fold *fd, const char *name, bool json)
{
  json_t *list = json_array ();
  for (size_t n = 0; n < fd->host_count; n++)
    {
      const struct fold_host *host = fd->hosts[n];
      if (name && strcmp (host->host, name) != 0)
        continue;
      if (json)
        json_array_append_new (list,
                               json_pack ("{s:s,s:s,s:I}", "host", host->host,
                                          "pool", host->pool, "generation",
                                          (json_int_t)host->generation));
      else
        printf ("host %s: %s (version %" PRIu64 ")\n", host->host, host->pool,
                host->generation);
    }
  if (json)
    print_json (json_pack ("{s:I,s:o}", "next_offset",
                           (json_int_t)fd->next_offset, "hosts", list));
  else
    json_decref (list);
}

void
table_print_row_diff (const struct table_row *before,
                      const struct table_row *after)
{
  const struct table_row *any = before ? before : after;
  if (!any)
    return;
  const char *row_type = table_row_type_names[any->type];
  if (!before || !after)
    printf ("%c %s %s\n", before ? '-' : '+', row_type, any->name);
  for (const struct table_column *col = table_columns; col->name; col++)
    {
      if (col->row_type != any->type)
        continue;
      char *old = before ? table_cell_format (NULL, before, col) : NULL;
      char *new = after ? table_cell_format (NULL, after, col) : NULL;
      bool same = old && new &&strcmp (old, new) == 0;
      if (old && !same)
        printf ("- %s %s %s=%s\n", row_type, any->name, col->name, old);
      if (new && !same)
        printf ("+ %s %s %s=%s\n", row_type, any->name, col->name, new);
      talloc_free (old);
      talloc_free (new);
    }
}

static void
format_time (char text[64], int64_t time_ms)
{
  time_t sec = (time_t)(time_ms / 1000);
  struct tm tm;
  gmtime_r (&sec, &tm);
  strftime (text, 64, "%Y-%m-%dT%H:%M:%SZ", &tm);
}

static json_t *
change_json (const struct fold_change *change, const char *when)
{
  json_t *out
      = json_pack ("{s:I,s:s,s:s}", "offset", (json_int_t)change->offset,
                   "time", when, "editor", change->editor);
  if (change->is_host)
    {
      json_object_set_new (out, "host", json_string (change->host));
      json_object_set_new (out, "before", json_string (change->pool_before));
      json_object_set_new (out, "after", json_string (change->pool_after));
      return out;
    }
  json_object_set_new (out, "before",
                       change->has_before ? row_json (&change->before)
                                          : json_null ());
  json_object_set_new (out, "after",
                       change->has_after ? row_json (&change->after)
                                         : json_null ());
  return out;
}

void
table_print_history (const struct fold *fd, size_t max_count, bool json)
{
  json_t *list = json_array ();
  size_t first
      = fd->history_count > max_count ? fd->history_count - max_count : 0;
  for (size_t n = first; n < fd->history_count; n++)
    {
      const struct fold_change *change = fold_history (fd, n);
      char when[64];
      format_time (when, change->time_ms);
      if (json)
        {
          json_array_append_new (list, change_json (change, when));
          continue;
        }
      printf ("%s offset %" PRIu64 " by %s\n", when, change->offset,
              change->editor);
      if (change->is_host)
        printf ("- host %s pool=%s\n+ host %s pool=%s\n", change->host,
                change->pool_before, change->host, change->pool_after);
      else
        table_print_row_diff (change->has_before ? &change->before : NULL,
                              change->has_after ? &change->after : NULL);
    }
  if (json)
    print_json (json_pack ("{s:o}", "history", list));
  else
    json_decref (list);
}

void
table_print_columns (void)
{
  printf ("# Columns of the table\n\nMade by `kingcuphollow table "
          "columns`.\n\n| sort | column | allowed | meaning |\n"
          "|---|---|---|---|\n");
  for (const struct table_column *col = table_columns; col->name; col++)
    {
      printf ("| %s | `%s` | ", table_row_type_names[col->row_type],
              col->name);
      if (col->type == TABLE_VALUE_FLAG)
        printf ("yes, no");
      else if (col->type == TABLE_VALUE_NAME)
        printf ("name of %u to %u %s", col->min, col->max, col->unit);
      else if (col->type == TABLE_VALUE_NUMBER)
        printf ("%u to %u%s%s", col->min, col->max, col->unit ? " " : "",
                col->unit ? col->unit : "");
      for (size_t n = 0; col->choices && col->choices[n]; n++)
        printf ("%s%s", n ? ", " : "", col->choices[n]);
      printf ("%s | %s |\n", col->optional ? ", or empty" : "", col->help);
    }
}
