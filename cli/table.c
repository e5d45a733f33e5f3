#include "cli/table.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "base/option.h"
#include "cli/table_print.h"
#include "cli/table_wait.h"
#include "table/table_csv.h"
#include "table/table_json.h"

#define ARGS_MAX 64
#define HISTORY_DEFAULT_COUNT 50 /* changes */
/* An import is split into batches, so that the record of a batch stays below
   the log's size limit.  */
#define BATCH_ROWS_MAX 1000

#define FIELD(f) offsetof (struct table_options, f)

static const struct option_def table_option_defs[] = {
  { "platform", OPTION_ADDRESS, FIELD (platform), 0, 0, NULL, NULL, NULL,
    "address of the platform's log service" },
  { "editor", OPTION_STR, FIELD (editor), 0, TABLE_NAME_SIZE - 1, NULL, NULL,
    "", "name recorded as the editor of the change; empty: the login name" },
  { "seen-version", OPTION_STR, FIELD (seen_version), 0, 20, NULL, NULL, "",
    "set: version of the row that the change is based on; empty: the current "
    "one" },
  { "timeout-ms", OPTION_INT, FIELD (timeout_ms), 1, 600000, NULL, "ms",
    "10000", "longest wait for the log, for reading and for each edit" },
  { "json", OPTION_BOOL, FIELD (json), 0, 0, NULL, NULL, "no",
    "output as JSON; export: JSON instead of CSV" },
  { "delete", OPTION_BOOL, FIELD (delete_row), 0, 0, NULL, NULL, "no",
    "set: delete the row or the assignment" },
  { "delete-missing", OPTION_BOOL, FIELD (delete_missing), 0, 0, NULL, NULL,
    "no", "import and diff: delete rows that are not in the file" },
  { "wait-operators", OPTION_STR, FIELD (wait_operators), 0, 4096, NULL, NULL,
    "",
    "set and import: comma-separated operator addresses IP:PORT of the "
    "entry processes that must have folded the change" },
  { "token-file", OPTION_STR, FIELD (token_file), 0, 4096, NULL, NULL, "",
    "file with the operators' bearer token" },
  { "wait-ms", OPTION_INT, FIELD (wait_ms), 1, 600000, NULL, "ms", "10000",
    "longest wait for --wait-operators" },
  { NULL, 0, 0, 0, 0, NULL, NULL, NULL, NULL },
};

struct command_args
{
  struct table_options opt;
  const char *operands[ARGS_MAX]; /* arguments that are not options */
  int count;
};

/* Row changes to append, and the table that would result from them.  */
struct plan
{
  struct fold_row_change *rows;
  size_t count;
  struct table *after;
  struct table_faults faults;
};

static const char *
editor_name (const struct table_options *opt)
{
  const char *names[] = { opt->editor, getenv ("LOGNAME"), getenv ("USER") };
  for (size_t n = 0; n < sizeof names / sizeof *names; n++)
    if (names[n] && *names[n] && strlen (names[n]) < TABLE_NAME_SIZE)
      return names[n];
  return "operator";
}

static int
usage_error (const char *text)
{
  fprintf (stderr, "kingcuphollow table: %s\n", text);
  return TABLE_EXIT_INVALID;
}

static int
platform_error (int err)
{
  fprintf (stderr,
           "kingcuphollow table: the log cannot be read: %s; nothing "
           "was changed\n",
           err_name (err));
  return TABLE_EXIT_FAILED;
}

static int
row_type_parse (const char *text, enum table_row_type *row_type)
{
  for (int n = 0; table_row_type_names[n]; n++)
    if (strcmp (table_row_type_names[n], text) == 0)
      {
        *row_type = (enum table_row_type)n;
        return 0;
      }
  return ERR_INVALID;
}

static int
plan_init (struct plan *plan, void *ctx, const struct fold *fd)
{
  memset (plan, 0, sizeof *plan);
  plan->faults.parent = ctx;
  plan->after = table_copy (ctx, fd->table);
  plan->rows = talloc_array (ctx, struct fold_row_change, 0);
  return plan->after && plan->rows ? 0 : ERR_NOMEM;
}

/* Adds a change to the plan and applies it to plan->after.  The version of ROW
   is the one that the change is based on.  */
static int
plan_add (struct plan *plan, const struct table_row *row, bool deleted)
{
  struct fold_row_change *rows = talloc_realloc (
      plan->after, plan->rows, struct fold_row_change, plan->count + 1);
  if (!rows)
    return ERR_NOMEM;
  plan->rows = rows;
  rows[plan->count++]
      = (struct fold_row_change){ .row = *row, .deleted = deleted };
  talloc_free (table_remove (plan->after, row->type, row->name));
  return deleted ? 0 : table_add (plan->after, row);
}

static bool
plan_affects_pool (const struct plan *plan, const char *pool)
{
  for (size_t n = 0; n < plan->count; n++)
    {
      const struct table_row *row = &plan->rows[n].row;
      if (strcmp (row->type == TABLE_POOL ? row->name : row->kind.pool, pool)
          == 0)
        return true;
    }
  return false;
}

/* Checks the resulting table.  Only pools that the plan affects are checked
   against their size: a pool that is already too small for its budget must not
   block edits of other pools.  */
static void
plan_check (struct table_session *ses, struct plan *plan)
{
  struct table_pool_size *sizes;
  size_t count;
  int err = table_session_pool_sizes (ses, &sizes, &count);
  if (err)
    {
      fprintf (stderr,
               "warning: the host list cannot be read (%s); pool sizes are "
               "not checked\n",
               err_name (err));
      count = 0;
    }
  size_t kept = 0;
  for (size_t n = 0; n < count; n++)
    if (plan_affects_pool (plan, sizes[n].pool))
      sizes[kept++] = sizes[n];
  table_check (plan->after, sizes, kept, &plan->faults);
}

static int
plan_send (struct table_session *ses, const struct plan *plan)
{
  int code = 0;
  for (size_t done = 0; code == 0 && done < plan->count;
       done += BATCH_ROWS_MAX)
    {
      struct table_edit_result result;
      size_t rest = plan->count - done;
      const struct fold_edit edit = {
        .editor = editor_name (ses->opt),
        .rows = plan->rows + done,
        .row_count = rest < BATCH_ROWS_MAX ? rest : BATCH_ROWS_MAX,
      };
      int err = table_session_edit (ses, &edit, &result);
      if (err)
        {
          fprintf (stderr, "not accepted: %s\n", err_name (err));
          code = TABLE_EXIT_NOT_ACCEPTED;
        }
      else
        code = table_print_edit (state_fold (&ses->st), &result,
                                 ses->opt->json);
      if (code && done > 0)
        fprintf (stderr, "%zu of %zu rows had been accepted before\n", done,
                 plan->count);
    }
  if (plan->count == 0)
    puts (ses->opt->json ? "{\"outcome\":\"unchanged\"}"
                         : "unchanged: no row differs");
  return code;
}

static int
set_host (struct table_session *ses, const struct command_args *args)
{
  struct fold_host_change change = { 0 };
  struct table_edit_result result;
  const char *name = args->operands[1];
  const struct fold_host *current
      = fold_host_find (state_fold (&ses->st), name);
  bool deleted = ses->opt->delete_row;
  const char *pool = args->count == 3 ? args->operands[2] : "";

  if (!table_name_valid (name)
      || (deleted ? args->count != 2
                  : args->count != 3 || strncmp (pool, "pool=", 5) != 0
                        || !table_name_valid (pool + 5)))
    return usage_error ("expected `set host NAME pool=POOL` or `set host NAME "
                        "--delete=yes`");
  memcpy (change.host.host, name, strlen (name));
  if (!deleted)
    memcpy (change.host.pool, pool + 5, strlen (pool + 5));
  change.host.generation = current ? current->generation : TABLE_NO_VERSION;
  if (*ses->opt->seen_version
      && !table_version_parse (ses->opt->seen_version,
                               &change.host.generation))
    return usage_error (
        "--seen-version: expected a version as printed by `show`");
  const struct fold_edit edit = { .editor = editor_name (ses->opt),
                                  .hosts = &change,
                                  .host_count = 1 };
  int err = table_session_edit (ses, &edit, &result);
  if (err)
    {
      fprintf (stderr, "not accepted: %s\n", err_name (err));
      return TABLE_EXIT_NOT_ACCEPTED;
    }
  return table_print_edit (state_fold (&ses->st), &result, ses->opt->json);
}

static void
set_cell (struct table_row *row, const char *word, struct table_faults *faults)
{
  const char *eq = strchr (word, '=');
  char *name
      = talloc_strndup (NULL, word, eq ? (size_t)(eq - word) : strlen (word));
  const struct table_column *col
      = name ? table_column_find (row->type, name) : NULL;
  if (!eq || !col)
    table_fault_add (faults, TABLE_FAULT_UNKNOWN_COLUMN, row, name ? name : "",
                     word, 0, 0);
  else
    table_check_cell (row, col, eq + 1, faults);
  talloc_free (name);
}

static int
command_set (struct table_session *ses, const struct command_args *args)
{
  enum table_row_type row_type;
  struct table_row row;
  struct plan plan;
  const struct fold *fd = state_fold (&ses->st);

  if (args->count >= 2 && strcmp (args->operands[0], "host") == 0)
    return set_host (ses, args);
  if (args->count < 2 || row_type_parse (args->operands[0], &row_type) != 0
      || (args->count == 2) != (ses->opt->delete_row != 0))
    return usage_error ("expected `set pool|kind NAME COLUMN=VALUE...` or "
                        "`set pool|kind NAME --delete=yes`");
  if (plan_init (&plan, ses->ctx, fd) != 0)
    return TABLE_EXIT_FAILED;
  const struct table_row *current
      = table_find (fd->table, row_type, args->operands[1]);
  table_row_init (&row, row_type, args->operands[1]);
  if (!table_name_valid (args->operands[1]))
    table_fault_add (&plan.faults, TABLE_FAULT_TYPE, &row, "name",
                     args->operands[1], 0, 0);
  if (current)
    row = *current;
  if (*ses->opt->seen_version
      && !table_version_parse (ses->opt->seen_version, &row.version))
    return usage_error (
        "--seen-version: expected a version as printed by `show`");
  if (ses->opt->delete_row && !current)
    return usage_error ("the table has no such row");
  for (int n = 2; n < args->count; n++)
    set_cell (&row, args->operands[n], &plan.faults);
  if (plan_add (&plan, &row, ses->opt->delete_row) != 0)
    return TABLE_EXIT_FAILED;
  plan_check (ses, &plan);
  if (plan.faults.total > 0)
    {
      table_print_faults (&plan.faults, ses->opt->json);
      return TABLE_EXIT_INVALID;
    }
  return plan_send (ses, &plan);
}

static char *
read_file (void *ctx, const char *path, size_t *len)
{
  bool is_stdin = strcmp (path, "-") == 0;
  FILE *file = is_stdin ? stdin : fopen (path, "rb");
  char *data = talloc_size (ctx, TABLE_TEXT_MAX_BYTES + 1);
  if (!file || !data)
    {
      fprintf (stderr, "kingcuphollow table: %s: cannot be read\n", path);
      if (file && !is_stdin)
        fclose (file);
      return NULL;
    }
  *len = fread (data, 1, TABLE_TEXT_MAX_BYTES + 1, file);
  bool failed = ferror (file) != 0;
  if (!is_stdin)
    fclose (file);
  if (!failed && *len <= TABLE_TEXT_MAX_BYTES)
    return data;
  fprintf (stderr, "kingcuphollow table: %s: %s\n", path,
           failed ? "cannot be read" : "too large");
  return NULL;
}

/* Plans the changes that turn the current table into FILE.  A row of FILE
   without a version is taken as based on the current row.  */
static int
plan_from_file (struct table_session *ses, const struct table *file,
                struct plan *plan)
{
  const struct table *tab = state_fold (&ses->st)->table;
  int err = plan_init (plan, ses->ctx, state_fold (&ses->st));
  for (size_t n = 0; err == 0 && n < file->count; n++)
    {
      struct table_row row = *file->rows[n];
      const struct table_row *current = table_find (tab, row.type, row.name);
      if (current && table_row_equal (&row, current))
        continue;
      if (row.version == TABLE_NO_VERSION && current)
        row.version = current->version;
      err = plan_add (plan, &row, false);
    }
  if (!ses->opt->delete_missing)
    return err;
  /* Backwards, so that kinds are deleted before pools: a pool that still has
     kinds cannot be deleted.  */
  for (size_t n = tab->count; err == 0 && n > 0; n--)
    {
      const struct table_row *current = tab->rows[n - 1];
      if (!table_find (file, current->type, current->name))
        err = plan_add (plan, current, true);
    }
  return err;
}

/* Reads the file at PATH and plans its changes.  Returns 0, with the faults of
   the file's cells in PLAN, or the exit code.  */
static int
load_plan (struct table_session *ses, const char *path, struct plan *plan)
{
  struct table *file = NULL;
  struct table_faults faults = { .parent = ses->ctx };
  size_t len;
  char *data = read_file (ses->ctx, path, &len);
  if (!data)
    return TABLE_EXIT_FAILED;
  int err = len > 0 && data[0] == '{'
                ? table_json_import (ses->ctx, data, len, &file, &faults)
                : table_csv_import (ses->ctx, data, len, &file, &faults);
  if (err == 0)
    err = plan_from_file (ses, file, plan);
  if (err)
    {
      fprintf (stderr, "kingcuphollow table: %s: %s\n", path, err_name (err));
      return TABLE_EXIT_FAILED;
    }
  plan->faults = faults;
  return 0;
}

static int
command_import (struct table_session *ses, const struct command_args *args)
{
  struct plan plan;
  if (args->count != 1)
    return usage_error ("expected `import FILE`; - reads the standard input");
  int code = load_plan (ses, args->operands[0], &plan);
  if (code)
    return code;
  plan_check (ses, &plan);
  if (plan.faults.total > 0)
    {
      table_print_faults (&plan.faults, ses->opt->json);
      return TABLE_EXIT_INVALID;
    }
  return plan_send (ses, &plan);
}

static int
command_diff (struct table_session *ses, const struct command_args *args)
{
  struct plan plan;
  const struct fold *fd = state_fold (&ses->st);
  if (args->count != 1)
    return usage_error ("expected `diff FILE`; - reads the standard input");
  int code = load_plan (ses, args->operands[0], &plan);
  if (code)
    return code;
  if (plan.faults.total > 0)
    {
      table_print_faults (&plan.faults, ses->opt->json);
      return TABLE_EXIT_INVALID;
    }
  for (size_t n = 0; n < plan.count; n++)
    {
      const struct fold_row_change *change = &plan.rows[n];
      const struct table_row *current
          = table_find (fd->table, change->row.type, change->row.name);
      table_print_row_diff (current, change->deleted ? NULL : &change->row);
    }
  return plan.count > 0 ? TABLE_EXIT_DIFFERENT : 0;
}

static int
command_show (struct table_session *ses, const struct command_args *args)
{
  const struct fold *fd = state_fold (&ses->st);
  enum table_row_type row_type = TABLE_ROW_TYPE_COUNT;
  const char *name = args->count > 1 ? args->operands[1] : NULL;
  bool hosts = args->count > 0 && strcmp (args->operands[0], "host") == 0;

  if (args->count > 2
      || (args->count > 0 && !hosts
          && row_type_parse (args->operands[0], &row_type) != 0))
    return usage_error ("expected `show [pool|kind|host [NAME]]`");
  if (hosts)
    table_print_hosts (fd, name, ses->opt->json);
  else if (table_print_rows (fd, row_type, name, ses->opt->json) == 0 && name)
    return usage_error ("the table has no such row");
  return 0;
}

static int
command_export (struct table_session *ses, const struct command_args *args)
{
  const struct table *tab = state_fold (&ses->st)->table;
  if (args->count > 1)
    return usage_error ("expected `export [FILE]`");
  char *text = ses->opt->json ? table_json_export (ses->ctx, tab)
                              : table_csv_export (ses->ctx, tab);
  FILE *file = args->count ? fopen (args->operands[0], "wb") : stdout;
  bool failed = !text || !file || fputs (text, file) < 0;
  if (file)
    failed |= (args->count ? fclose (file) : fflush (file)) != 0;
  if (failed)
    fputs ("kingcuphollow table: the export cannot be written\n", stderr);
  return failed ? TABLE_EXIT_FAILED : 0;
}

static int
command_history (struct table_session *ses, const struct command_args *args)
{
  size_t last = HISTORY_DEFAULT_COUNT;
  if (args->count == 1)
    last = strtoul (args->operands[0], NULL, 10);
  if (args->count > 1 || last == 0)
    return usage_error ("expected `history [NUMBER OF CHANGES]`");
  table_print_history (state_fold (&ses->st), last, ses->opt->json);
  return 0;
}

static const struct
{
  const char *name;
  int (*run) (struct table_session *ses, const struct command_args *args);
  const char *help;
  bool is_edit;
} commands[] = {
  { "show", command_show, "[pool|kind|host [NAME]]: print rows", false },
  { "set", command_set,
    "pool|kind NAME COLUMN=VALUE..., or host NAME pool=POOL: change a row",
    true },
  { "import", command_import, "FILE: change all rows that differ (CSV, JSON)",
    true },
  { "export", command_export, "[FILE]: write the table (CSV, JSON)", false },
  { "history", command_history,
    "[N]: print the last N changes with editor and time", false },
  { "diff", command_diff, "FILE: print what an import would change", false },
};

#define COMMANDS (sizeof commands / sizeof *commands)

static int
print_usage (FILE *out)
{
  fputs ("Usage: kingcuphollow table COMMAND [ARGUMENT]... "
         "--platform=IP:PORT [--OPTION=VALUE]...\n\n",
         out);
  for (size_t n = 0; n < COMMANDS; n++)
    fprintf (out, "  %-8s %s\n", commands[n].name, commands[n].help);
  fputs ("  columns  print the reference page of the columns\n\n"
         "`kingcuphollow table show --help` lists the options.\n"
         "Exit codes: 0 done, 1 failed, 2 invalid usage or values, 3 conflict,"
         "\n4 not accepted, 5 unknown whether the change took effect, 6 diff "
         "found differences,\n7 accepted, but not folded by all of "
         "--wait-operators.\n",
         out);
  return out == stdout ? 0 : TABLE_EXIT_INVALID;
}

/* Separates options from operands.  Returns 0, 1 after --help, or
   ERR_INVALID.  */
static int
parse_args (void *ctx, int argc, char **argv, struct command_args *args)
{
  char *opts[ARGS_MAX];
  int count = 0;

  memset (args, 0, sizeof *args);
  if (argc > ARGS_MAX)
    return ERR_INVALID;
  for (int n = 0; n < argc; n++)
    if (strcmp (argv[n], "--json") == 0)
      opts[count++] = "--json=yes";
    else if (strncmp (argv[n], "--", 2) == 0)
      opts[count++] = argv[n];
    else
      args->operands[args->count++] = argv[n];
  return options_parse (ctx, "table", table_option_defs, count, opts,
                        &args->opt, stdout, stderr);
}

/* Waits until the entry processes have folded the last accepted edit, or, when
   nothing was changed, the state that the import was compared with.  */
static int
wait_folded (struct table_session *ses, const struct operators *ops)
{
  uint64_t next = ses->accepted_next ? ses->accepted_next
                                     : state_fold (&ses->st)->next_offset;
  return next == 0
             ? 0
             : table_wait (ops, next, ses->opt->wait_ms, ses->opt->json != 0);
}

/* Checks the options of the wait; called before anything is changed.  */
static int
wait_options_init (const struct table_options *opt, bool is_edit,
                   struct operators *ops)
{
  ops->count = 0;
  if (!*opt->wait_operators)
    return 0;
  if (is_edit)
    return operators_init (ops, opt->wait_operators, opt->token_file, stderr);
  usage_error ("--wait-operators is valid only with `set` and `import`");
  return ERR_INVALID;
}

int
run_table (void *ctx, int argc, char **argv)
{
  struct command_args args;
  struct table_session ses;
  struct operators ops;
  size_t cmd = 0;

  if (argc < 1)
    return print_usage (stderr);
  if (strcmp (argv[0], "--help") == 0)
    return print_usage (stdout);
  if (strcmp (argv[0], "columns") == 0)
    {
      table_print_columns ();
      return 0;
    }
  while (cmd < COMMANDS && strcmp (commands[cmd].name, argv[0]) != 0)
    cmd++;
  if (cmd == COMMANDS)
    return print_usage (stderr);
  int err = parse_args (ctx, argc - 1, argv + 1, &args);
  if (!err)
    err = wait_options_init (&args.opt, commands[cmd].is_edit, &ops);
  if (err)
    return err < 0 ? TABLE_EXIT_INVALID : 0;
  err = table_session_open (&ses, ctx, &args.opt);
  int code = err ? platform_error (err) : commands[cmd].run (&ses, &args);
  if (code == 0 && ops.count > 0)
    code = wait_folded (&ses, &ops);
  table_session_close (&ses);
  return code;
}
