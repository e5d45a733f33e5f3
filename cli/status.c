#include "cli/status.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/err.h"
#include "base/option.h"
#include "cli/operators.h"

#define EXIT_USAGE 2
#define NAME_WIDTH 18

struct status_options
{
  char *operators;
  char *token_file;
  int64_t json;
  int64_t timeout_ms;
};

#define FIELD(f) offsetof (struct status_options, f)

static const struct option_def option_defs[] = {
  { "operators", OPTION_STR, FIELD (operators), 1, 4096, NULL, NULL, NULL,
    "comma-separated operator addresses IP:PORT of entry processes" },
  { "token-file", OPTION_STR, FIELD (token_file), 1, 4096, NULL, NULL, NULL,
    "file with the operators' bearer token" },
  { "json", OPTION_BOOL, FIELD (json), 0, 0, NULL, NULL, "no",
    "output as JSON" },
  { "timeout-ms", OPTION_INT, FIELD (timeout_ms), 1, 600000, NULL, "ms",
    "5000", "longest wait for each entry process" },
  { NULL, 0, 0, 0, 0, NULL, NULL, NULL, NULL },
};

static const char *
get_string (const json_t *obj, const char *key)
{
  const char *val = json_string_value (json_object_get (obj, key));
  return val ? val : "?";
}

static int64_t
get_int (const json_t *obj, const char *key)
{
  return json_integer_value (json_object_get (obj, key));
}

static const char *
yes_or_no (const json_t *obj, const char *key)
{
  return json_is_true (json_object_get (obj, key)) ? "yes" : "no";
}

/* Formats milliseconds as seconds with one decimal; "-" for a value that is
   not an integer because nothing was read yet.  */
static const char *
format_age (const json_t *val, char buf[32])
{
  if (!json_is_integer (val))
    return "-";
  int64_t ms = json_integer_value (val);
  snprintf (buf, 32, "%" PRId64 ".%" PRId64 " s", ms / 1000, ms % 1000 / 100);
  return buf;
}

static void
print_entry (const json_t *root)
{
  char buf[3][32];
  const json_t *hosts = json_object_get (root, "hosts");
  const json_t *mbr;
  size_t idx;
  size_t alive = 0;
  const json_t *members = json_object_get (root, "members");
  json_array_foreach (members, idx, mbr) alive
      += strcmp (get_string (mbr, "state"), "alive") == 0;
  printf ("%-*s %-12s %-5s %-10s %8" PRId64 " %-9s %-6s %8" PRId64
          " %-9s %zu/%zu\n",
          NAME_WIDTH, get_string (root, "name"),
          get_string (root, "data_centre"), yes_or_no (root, "ready"),
          format_age (json_object_get (root, "uptime_ms"), buf[0]),
          get_int (root, "folded_offset"),
          format_age (json_object_get (root, "log_age_ms"), buf[1]),
          yes_or_no (root, "claims_ready"), get_int (hosts, "version"),
          format_age (json_object_get (hosts, "age_ms"), buf[2]), alive,
          json_array_size (members));
}

static void
print_entries (const struct operator_reply *replies, size_t count)
{
  printf ("%-*s %-12s %-5s %-10s %8s %-9s %-6s %8s %-9s %s\n", NAME_WIDTH,
          "ENTRY", "DATA CENTRE", "READY", "UPTIME", "FOLDED", "LOG AGE",
          "CLAIMS", "HOSTS", "HOSTS AGE", "PEERS ALIVE");
  for (size_t n = 0; n < count; n++)
    if (replies[n].root)
      print_entry (replies[n].root);
}

static void
print_members (const struct operator_reply *replies, size_t count)
{
  const json_t *mbr;
  size_t idx;
  printf ("\n%-*s %-*s %-8s %-5s %8s\n", NAME_WIDTH, "ENTRY", NAME_WIDTH,
          "PEER", "STATE", "READY", "FOLDED");
  for (size_t n = 0; n < count; n++)
    json_array_foreach (json_object_get (replies[n].root, "members"), idx, mbr)
        printf ("%-*s %-*s %-8s %-5s %8" PRId64 "\n", NAME_WIDTH,
                get_string (replies[n].root, "name"), NAME_WIDTH,
                get_string (mbr, "name"), get_string (mbr, "state"),
                yes_or_no (mbr, "ready"), get_int (mbr, "folded_offset"));
}

/* Prints the array LIST of each entry process's traffic status, one line for
   each item.  TITLE is the heading of the column with the item's name.  */
static void
print_traffic (const struct operator_reply *replies, size_t count,
               const char *list, const char *title,
               const char *const columns[])
{
  const json_t *item;
  size_t idx;
  printf ("\n%-*s %-*s", NAME_WIDTH, "ENTRY", NAME_WIDTH, title);
  for (size_t c = 0; columns[c]; c++)
    printf (" %15s", columns[c]);
  putchar ('\n');
  for (size_t n = 0; n < count; n++)
    {
      const json_t *traffic = json_object_get (replies[n].root, "traffic");
      json_array_foreach (json_object_get (traffic, list), idx, item)
      {
        printf ("%-*s %-*s", NAME_WIDTH, get_string (replies[n].root, "name"),
                NAME_WIDTH, get_string (item, "name"));
        for (size_t c = 0; columns[c]; c++)
          printf (" %15" PRId64, get_int (item, columns[c]));
        putchar ('\n');
      }
    }
}

/* Prints the entry processes that gave no reply or an incomplete one, and
   returns their number.  */
static size_t
print_failures (const struct operator_reply *replies, size_t count)
{
  size_t failures = 0;
  for (size_t n = 0; n < count; n++)
    {
      const json_t *root = replies[n].root;
      if (root && json_is_object (json_object_get (root, "traffic")))
        continue;
      failures++;
      if (root)
        fprintf (stderr,
                 "%s: %s: incomplete: its traffic thread does not answer\n",
                 replies[n].address, get_string (root, "name"));
      else
        fprintf (stderr, "%s: %s\n", replies[n].address, replies[n].error);
    }
  return failures;
}

static void
print_json (const struct operator_reply *replies, size_t count)
{
  json_t *list = json_array ();
  for (size_t n = 0; n < count; n++)
    json_array_append_new (
        list,
        json_pack ("{s:s, s:b, s:s?, s:O?}", "address", replies[n].address,
                   "reached", replies[n].root != NULL, "error",
                   replies[n].root ? NULL : replies[n].error, "status",
                   replies[n].root));
  json_dumpf (list, stdout, JSON_INDENT (2));
  putchar ('\n');
  json_decref (list);
}

static void
print_tables (const struct operator_reply *replies, size_t count)
{
  static const char *const pools[]
      = { "targets",         "taking_work", "slots", "own_in_flight",
          "peers_in_flight", "ejected",     NULL };
  static const char *const kinds[]
      = { "running", "queued", "started", "refused", NULL };
  print_entries (replies, count);
  print_members (replies, count);
  print_traffic (replies, count, "pools", "POOL", pools);
  print_traffic (replies, count, "kinds", "KIND", kinds);
}

int
run_status (void *ctx, int argc, char **argv)
{
  struct status_options opt;
  struct operators ops;
  struct operator_reply replies[OPERATORS_MAX];

  int err = options_parse (ctx, "status", option_defs, argc, argv, &opt,
                           stdout, stderr);
  if (!err)
    err = operators_init (&ops, opt.operators, opt.token_file, stderr);
  if (err)
    return err < 0 ? EXIT_USAGE : 0;
  int reached = operators_get (&ops, "/v1/status", opt.timeout_ms, replies);
  if (reached < 0)
    {
      fprintf (stderr, "kingcuphollow: status: %s\n", err_name (reached));
      return EXIT_FAILURE;
    }
  if (opt.json)
    print_json (replies, ops.count);
  else if (reached > 0)
    print_tables (replies, ops.count);
  fflush (stdout);
  size_t failures = print_failures (replies, ops.count);
  operators_free (&ops, replies);
  return failures == 0 ? 0 : EXIT_FAILURE;
}
