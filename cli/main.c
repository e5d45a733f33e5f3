#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"
#include "base/log.h"
#include "cli/explain.h"
#include "cli/settings.h"
#include "cli/status.h"
#include "cli/table.h"
#include "cli/wave.h"
#include "entry/serve.h"
#include "node/node.h"

#define EXIT_USAGE 2

/* Entry point of the program: runs the command that the first argument
   names.  */

struct command
{
  const char *name;
  int (*run) (void *ctx, int argc, char **argv);
  const char *help;
};

static int
run_events (void *ctx, int argc, char **argv)
{
  log_print_event_list ();
  return 0;
}

static int
run_settings (void *ctx, int argc, char **argv)
{
  printf ("# Settings\n\nMade by `kingcuphollow settings`.\n\n");
  options_print_reference ("serve", serve_options, stdout);
  putchar ('\n');
  options_print_reference ("schedule", node_options, stdout);
  return 0;
}

static int
run_check_settings (void *ctx, int argc, char **argv)
{
  struct serve_settings set;
  int err = options_parse (ctx, "check-settings", serve_options, argc, argv,
                           &set, stdout, stderr);
  if (err == 0)
    puts ("settings are valid");
  return err < 0 ? EXIT_USAGE : 0;
}

static int
run_serve (void *ctx, int argc, char **argv)
{
  struct serve_settings set;
  int err = options_parse (ctx, "serve", serve_options, argc, argv, &set,
                           stdout, stderr);
  if (err)
    return err < 0 ? EXIT_USAGE : 0;
  err = serve_run (ctx, &set);
  if (err)
    fprintf (stderr, "kingcuphollow: serve: %s\n", err_name (err));
  return err ? EXIT_FAILURE : 0;
}

static int
run_schedule (void *ctx, int argc, char **argv)
{
  struct node_settings set;
  int err = options_parse (ctx, "schedule", node_options, argc, argv, &set,
                           stdout, stderr);
  if (err)
    return err < 0 ? EXIT_USAGE : 0;
  err = node_run (ctx, &set);
  if (err)
    fprintf (stderr, "kingcuphollow: schedule: %s\n", err_name (err));
  return err ? EXIT_FAILURE : 0;
}

static int
run_version (void *ctx, int argc, char **argv)
{
  puts ("kingcuphollow 0.1.0");
  return 0;
}

static const struct command commands[] = {
  { "table", run_table, "show and edit the table of pools and kinds" },
  { "status", run_status, "show the status of entry processes" },
  { "explain", run_explain, "show what happened to a request" },
  { "wave", run_wave, "create, show and change maintenance waves" },
  { "serve", run_serve, "run an entry process" },
  { "schedule", run_schedule, "run a scheduler process on the platform" },
  { "check-settings", run_check_settings, "check the settings of serve" },
  { "settings", run_settings, "print the reference page of the settings" },
  { "events", run_events, "print the catalogue of log events" },
  { "version", run_version, "print the version" },
};

static void
print_usage (FILE *out)
{
  fputs ("Usage: kingcuphollow COMMAND [--OPTION=VALUE]...\n\n", out);
  for (size_t n = 0; n < sizeof commands / sizeof *commands; n++)
    fprintf (out, "  %-16s %s\n", commands[n].name, commands[n].help);
  fputs ("\nExit codes: 0 done, 1 failed, 2 invalid usage or settings; "
         "`table` and `wave` have more, "
         "`explain` 5 for an incomplete trace.\n",
         out);
}

int
main (int argc, char **argv)
{
  if (argc < 2)
    {
      print_usage (stderr);
      return EXIT_USAGE;
    }
  if (strcmp (argv[1], "--help") == 0 || strcmp (argv[1], "help") == 0)
    {
      print_usage (stdout);
      return 0;
    }
  for (size_t n = 0; n < sizeof commands / sizeof *commands; n++)
    if (strcmp (argv[1], commands[n].name) == 0)
      {
        void *ctx = talloc_new (NULL);
        int code = commands[n].run (ctx, argc - 2, argv + 2);
        talloc_free (ctx);
        return code;
      }
  fprintf (stderr, "kingcuphollow: unknown command \"%s\"\n", argv[1]);
  print_usage (stderr);
  return EXIT_USAGE;
}
