#include "cli/wave.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/option.h"
#include "cli/wave_print.h"
#include "store/log_store.h"

#define ARGS_MAX 1024
#define FILE_MAX_BYTES (1U << 20)
#define MS_PER_MIN 60000

#define FIELD(f) offsetof (struct wave_options, f)

static const struct option_def wave_option_defs[] = {
  { "platform", OPTION_ADDRESS, FIELD (platform), 0, 0, NULL, NULL, NULL,
    "address of the platform's log service and host list" },
  { "editor", OPTION_STR, FIELD (editor), 0, WAVE_NAME_SIZE - 1, NULL, NULL,
    "", "name recorded as the editor of the change; empty: the login name" },
  { "pools", OPTION_STR, FIELD (pools), 0, 65536, NULL, NULL, "",
    "create: comma-separated pools, all hosts of which take part" },
  { "hosts-file", OPTION_STR, FIELD (hosts_file), 0, 4096, NULL, NULL, "",
    "create: file with the names of hosts; - reads the standard input" },
  { "all", OPTION_BOOL, FIELD (all), 0, 0, NULL, NULL, "no",
    "create: every host of the host list takes part" },
  { "deadline-min", OPTION_INT, FIELD (deadline_min), 0, 527040, NULL, "min",
    "0",
    "create: time from now after which no further host is started; 0: no "
    "limit" },
  { "most-out", OPTION_INT, FIELD (most_out), 0, 65536, NULL, "hosts", "0",
    "create: maximum number of the wave's hosts out of service in each pool; "
    "0: as many as the budgets allow" },
  { "retry", OPTION_BOOL, FIELD (retry), 0, 0, NULL, NULL, "no",
    "resume: retry failed hosts, without a second reboot" },
  { "timeout-ms", OPTION_INT, FIELD (timeout_ms), 1, 600000, NULL, "ms",
    "10000", "longest wait for the log, for reading and for the change" },
  { "json", OPTION_BOOL, FIELD (json), 0, 0, NULL, NULL, "no",
    "output as JSON" },
  { NULL, 0, 0, 0, 0, NULL, NULL, NULL, NULL },
};

struct command_args
{
  struct wave_options opt;
  const char **operands; /* arguments that are not options */
  size_t count;
};

/* The hosts of a wave to create, and the faults found in them.  */
struct host_selection
{
  struct wave_session *ses;
  struct wave_faults faults;
  bool *selected; /* by index into the fleet's hosts */
};

static const char *
editor_name (const struct wave_options *opt)
{
  const char *names[] = { opt->editor, getenv ("LOGNAME"), getenv ("USER") };
  for (size_t n = 0; n < sizeof names / sizeof *names; n++)
    if (names[n] && *names[n] && strlen (names[n]) < WAVE_NAME_SIZE)
      return names[n];
  return "operator";
}

static int
usage_error (const char *text)
{
  fprintf (stderr, "kingcuphollow wave: %s\n", text);
  return WAVE_EXIT_INVALID;
}

static void
select_host (struct host_selection *sel, const char *name)
{
  uint32_t host = wave_fleet_find_host (sel->ses->fleet, name);
  if (host == FLEET_NONE)
    wave_fault_add (&sel->faults, "unknown_host", name,
                    "not in the platform's host list");
  else
    sel->selected[host] = true;
}

static void
select_pool (struct host_selection *sel, const char *name)
{
  const struct wave_fleet *fl = sel->ses->fleet;
  uint32_t pool = wave_fleet_find_pool (fl, name);
  if (pool == FLEET_NONE)
    {
      wave_fault_add (&sel->faults, "unknown_pool", name,
                      "no host is in this pool");
      return;
    }
  for (uint32_t n = 0; n < fl->host_count; n++)
    sel->selected[n] = sel->selected[n] || fl->hosts[n].pool == pool;
}

/* Calls FN for each word of TEXT, which is modified.  */
static void
for_each_word (struct host_selection *sel, char *text, const char *separators,
               void (*fn) (struct host_selection *sel, const char *name))
{
  char *save;
  for (char *word = strtok_r (text, separators, &save); word;
       word = strtok_r (NULL, separators, &save))
    fn (sel, word);
}

static int
select_from_file (struct host_selection *sel, const char *path)
{
  bool is_stdin = strcmp (path, "-") == 0;
  char *text = talloc_zero_size (sel->ses->ctx, FILE_MAX_BYTES + 1);
  FILE *file = is_stdin ? stdin : fopen (path, "rb");
  size_t len = 0;
  bool failed = !text || !file;
  if (!failed)
    {
      len = fread (text, 1, FILE_MAX_BYTES + 1, file);
      failed = ferror (file) != 0 || len > FILE_MAX_BYTES;
    }
  if (file && !is_stdin)
    fclose (file);
  if (failed)
    {
      fprintf (stderr,
               "kingcuphollow wave: %s: cannot be read, or is longer "
               "than %u bytes\n",
               path, FILE_MAX_BYTES);
      return WAVE_EXIT_FAILED;
    }
  if (memchr (text, '\0', len))
    return usage_error (
        "--hosts-file: expected a text file, found a NUL byte");
  for_each_word (sel, text, " \t\r\n", select_host);
  return 0;
}

static int
select_hosts (struct host_selection *sel, const struct command_args *args)
{
  const struct wave_fleet *fl = sel->ses->fleet;
  for (size_t n = 1; n < args->count; n++)
    select_host (sel, args->operands[n]);
  char *pools = talloc_strdup (sel->ses->ctx, args->opt.pools);
  if (!pools)
    return WAVE_EXIT_FAILED;
  for_each_word (sel, pools, ",", select_pool);
  for (uint32_t n = 0; n < fl->host_count && args->opt.all; n++)
    sel->selected[n] = true;
  return *args->opt.hosts_file ? select_from_file (sel, args->opt.hosts_file)
                               : 0;
}

/* The open wave in which the host is neither back in service nor failed;
   NULL: none.  */
static const struct wave *
find_open_wave (const struct wave_fold *fd, const char *host)
{
  for (uint32_t n = 0; n < fd->wave_count; n++)
    {
      const struct wave_host *wh = wave_find_host (fd->waves[n], host);
      if (wh && wave_is_open (fd, fd->waves[n]) && wh->step != WAVE_BACK
          && wh->step != WAVE_FAILED)
        return fd->waves[n];
    }
  return NULL;
}

/* Adds a fault for each pool of selected hosts whose budget allows no host out
   of service at any time.  */
static void
check_pools (struct host_selection *sel)
{
  const struct wave_fleet *fl = sel->ses->fleet;
  for (uint32_t p = 0; p < fl->pool_count; p++)
    {
      bool affected = false;
      for (uint32_t n = 0; n < fl->host_count; n++)
        affected = affected || (sel->selected[n] && fl->hosts[n].pool == p);
      if (affected && !fl->pools[p].has_row)
        wave_fault_add (&sel->faults, "no_pool_row", fl->pools[p].name,
                        "the table has no row and thus no budget for this "
                        "pool");
      else if (affected && fl->pools[p].out_allowed == 0)
        wave_fault_add (&sel->faults, "no_budget", fl->pools[p].name,
                        "its availability budget allows no host out of "
                        "service");
    }
}

/* Adds the faults of the wave, its hosts and their pools, and stores the
   selected hosts in HOSTS.  Returns their number.  */
static size_t
check_hosts (struct host_selection *sel, const char *id,
             struct wave_new_host *hosts)
{
  const struct wave_fold *fd = wave_run_state (&sel->ses->run);
  const struct wave_fleet *fl = sel->ses->fleet;
  size_t count = 0;
  for (uint32_t n = 0; n < fl->host_count; n++)
    {
      if (!sel->selected[n])
        continue;
      const char *name = fl->hosts[n].name;
      const char *centre = fl->centres[fl->hosts[n].centre].name;
      if (find_open_wave (fd, name))
        wave_fault_add (&sel->faults, "host_in_wave", name,
                        "takes part in another open wave");
      if (!wave_name_valid (name) || !wave_name_valid (centre))
        wave_fault_add (
            &sel->faults, "host_name", name,
            "the name of the host or its data centre is not valid");
      hosts[count++] = (struct wave_new_host){ name, centre };
    }
  if (!wave_name_valid (id))
    wave_fault_add (&sel->faults, "wave_id", id,
                    "1 to 63 letters, digits, '_', '-' and '.' are allowed");
  if (wave_find (fd, id))
    wave_fault_add (&sel->faults, "wave_exists", id,
                    "a wave with this id exists");
  if (count == 0)
    wave_fault_add (
        &sel->faults, "no_hosts", id,
        "no host is selected; expected HOST, --pools, --hosts-file "
        "or --all=yes");
  if (count > WAVE_HOSTS_MAX)
    wave_fault_add (&sel->faults, "too_many_hosts", id,
                    "a wave has at most 8192 hosts; create several waves");
  check_pools (sel);
  return count;
}

static int
send_create (struct wave_session *ses, const char *id,
             const struct wave_new_host *hosts, size_t count)
{
  struct wave_edit_result res = { 0 };
  struct wave_create_request req = {
    .id = id,
    .editor = editor_name (ses->opt),
    .hosts = hosts,
    .host_count = count,
    .most_out = (uint32_t)ses->opt->most_out,
  };
  if (ses->opt->deadline_min)
    req.deadline_ms
        = clock_wall_ms (&clock_system) + ses->opt->deadline_min * MS_PER_MIN;
  int err = wave_run_create (&ses->run, &req, wave_session_deadline_us (ses),
                             wave_session_edit_done, &res);
  if (err == ERR_TOO_LARGE)
    return usage_error ("the names of the hosts are too long for one record; "
                        "create several waves");
  if (err == 0 && wave_session_wait (ses, &res) != 0)
    return WAVE_EXIT_FAILED;
  return wave_print_edit (ses, id, err ? err : res.err, res.effect);
}

static int
command_create (struct wave_session *ses, const struct command_args *args)
{
  struct host_selection sel = { .ses = ses, .faults = { .ctx = ses->ctx } };
  if (args->count < 1)
    return usage_error ("expected `create WAVE [HOST]...`");
  if (!ses->fleet)
    {
      fprintf (stderr,
               "kingcuphollow wave: the host list cannot be read: %s; "
               "nothing was changed\n",
               err_name (ses->hosts_err));
      return WAVE_EXIT_FAILED;
    }
  size_t max = ses->fleet->host_count + 1;
  struct wave_new_host *hosts
      = talloc_array (ses->ctx, struct wave_new_host, max);
  sel.selected = talloc_zero_array (ses->ctx, bool, max);
  if (!hosts || !sel.selected)
    return WAVE_EXIT_FAILED;
  int code = select_hosts (&sel, args);
  if (code)
    return code;
  size_t count = check_hosts (&sel, args->operands[0], hosts);
  if (sel.faults.count == 0)
    return send_create (ses, args->operands[0], hosts, count);
  wave_print_faults (&sel.faults, ses->opt->json);
  return WAVE_EXIT_INVALID;
}

static int
command_show (struct wave_session *ses, const struct command_args *args)
{
  if (args->count > 1)
    return usage_error ("expected `show [WAVE]`");
  if (args->count == 0)
    {
      wave_print_list (ses);
      return 0;
    }
  const struct wave *wv
      = wave_find (wave_run_state (&ses->run), args->operands[0]);
  if (!wv)
    return usage_error ("there is no such wave");
  wave_print_detail (ses, wv);
  return 0;
}

static int
finish_edit (struct wave_session *ses, const char *id, int err,
             const struct wave_edit_result *res)
{
  if (err == ERR_NOT_FOUND)
    return usage_error ("there is no such wave");
  if (err == 0 && wave_session_wait (ses, res) != 0)
    return WAVE_EXIT_FAILED;
  return wave_print_edit (ses, id, err ? err : res->err, res->effect);
}

static int
command_pause (struct wave_session *ses, const struct command_args *args)
{
  struct wave_edit_result res = { 0 };
  if (args->count != 1)
    return usage_error ("expected `pause WAVE`");
  int err = wave_run_pause (
      &ses->run, args->operands[0], editor_name (ses->opt),
      wave_session_deadline_us (ses), wave_session_edit_done, &res);
  return finish_edit (ses, args->operands[0], err, &res);
}

static int
command_resume (struct wave_session *ses, const struct command_args *args)
{
  struct wave_edit_result res = { 0 };
  if (args->count != 1)
    return usage_error ("expected `resume WAVE [--retry=yes]`");
  int err
      = wave_run_resume (&ses->run, args->operands[0], editor_name (ses->opt),
                         ses->opt->retry != 0, wave_session_deadline_us (ses),
                         wave_session_edit_done, &res);
  return finish_edit (ses, args->operands[0], err, &res);
}

static int
command_cancel (struct wave_session *ses, const struct command_args *args)
{
  struct wave_edit_result res = { 0 };
  if (args->count != 1)
    return usage_error ("expected `cancel WAVE`");
  int err = wave_run_cancel (
      &ses->run, args->operands[0], editor_name (ses->opt),
      wave_session_deadline_us (ses), wave_session_edit_done, &res);
  return finish_edit (ses, args->operands[0], err, &res);
}

static const struct
{
  const char *name;
  int (*run) (struct wave_session *ses, const struct command_args *args);
  const char *help;
} commands[] = {
  { "create", command_create,
    "WAVE [HOST]...: reboot hosts as the budgets of their pools allow" },
  { "show", command_show,
    "[WAVE]: print all waves, or the step and reason of each host of one" },
  { "pause", command_pause, "WAVE: start no further host until resumed" },
  { "resume", command_resume, "WAVE: continue after a pause or a halt" },
  { "cancel", command_cancel,
    "WAVE: start no further host; cannot be resumed" },
};

#define COMMANDS (sizeof commands / sizeof *commands)

static int
print_usage (FILE *out)
{
  fputs ("Usage: kingcuphollow wave COMMAND [ARGUMENT]... --platform=IP:PORT "
         "[--OPTION=VALUE]...\n\n",
         out);
  for (size_t n = 0; n < COMMANDS; n++)
    fprintf (out, "  %-8s %s\n", commands[n].name, commands[n].help);
  fputs ("\n`kingcuphollow wave show --help` lists the options.\n"
         "Exit codes: 0 done, 1 failed, 2 invalid usage or values, 3 conflict,"
         "\n4 not accepted, 5 unknown whether the change took effect.\n",
         out);
  return out == stdout ? 0 : WAVE_EXIT_INVALID;
}

/* Separates options from operands.  Besides --NAME=VALUE, `--json` and
   `--platform VALUE` are accepted.  Returns 0, 1 after --help, or
   ERR_INVALID.  */
static int
parse_args (void *ctx, int argc, char **argv, struct command_args *args)
{
  char **opts = talloc_array (ctx, char *, (size_t)argc + 1);
  int count = 0;
  memset (args, 0, sizeof *args);
  args->operands = talloc_array (ctx, const char *, (size_t)argc + 1);
  if (!opts || !args->operands || argc > ARGS_MAX)
    return ERR_INVALID;
  for (int n = 0; n < argc; n++)
    if (strcmp (argv[n], "--json") == 0)
      opts[count++] = "--json=yes";
    else if (strcmp (argv[n], "--platform") == 0 && n + 1 < argc)
      opts[count++] = talloc_asprintf (ctx, "--platform=%s", argv[++n]);
    else if (strncmp (argv[n], "--", 2) == 0)
      opts[count++] = argv[n];
    else
      args->operands[args->count++] = argv[n];
  return options_parse (ctx, "wave", wave_option_defs, count, opts, &args->opt,
                        stdout, stderr);
}

int
run_wave (void *ctx, int argc, char **argv)
{
  struct command_args args;
  struct wave_session ses;
  size_t cmd = 0;

  if (argc < 1)
    return print_usage (stderr);
  if (strcmp (argv[0], "--help") == 0)
    return print_usage (stdout);
  while (cmd < COMMANDS && strcmp (commands[cmd].name, argv[0]) != 0)
    cmd++;
  if (cmd == COMMANDS)
    return print_usage (stderr);
  int err = parse_args (ctx, argc - 1, argv + 1, &args);
  if (err)
    return err < 0 ? WAVE_EXIT_INVALID : 0;
  err = wave_session_open (&ses, ctx, &args.opt);
  int code = WAVE_EXIT_FAILED;
  if (err)
    fprintf (stderr,
             "kingcuphollow wave: the log cannot be read: %s; nothing "
             "was changed\n",
             err_name (err));
  else
    code = commands[cmd].run (&ses, &args);
  wave_session_close (&ses);
  return code;
}
