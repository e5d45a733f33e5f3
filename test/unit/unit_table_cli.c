#include <check.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "test/stand/process.h"

/* Runs `kingcuphollow table` as a process, against the stand-in of the
   platform.  */

#define ARGS_MAX 12
#define COUNT(a) (sizeof (a) / sizeof *(a))

static struct process platform;
static char address[64];
static char dir[64];
static char layout[256];

static void
setup (void)
{
  const char *argv[] = { getenv ("STAND_PLATFORM"), layout, NULL };
  char path[128];
  strcpy (dir, "/tmp/kingcuphollow-table-XXXXXX");
  ck_assert_ptr_nonnull (mkdtemp (dir));
  snprintf (path, sizeof path, "%s/layout.json", dir);
  snprintf (layout, sizeof layout, "--layout=%s", path);
  FILE *file = fopen (path, "w");
  fputs ("{\"version\":1,\"hosts\":[", file);
  for (int n = 0; n < 8; n++)
    fprintf (file,
             "%s{\"host\":\"h%d\",\"address\":\"127.0.0.1:1\","
             "\"data_centre\":\"a\",\"rack\":\"r1\",\"initial_pool\":"
             "\"stock\",\"slots\":8,\"connections\":64,\"state\":\"live\"}",
             n ? "," : "", n);
  fputs ("]}", file);
  fclose (file);
  ck_assert_int_eq (process_start (&platform, argv, "ready"), 0);
  const char *word = process_output_word (&platform, "data-centre a ");
  ck_assert_ptr_nonnull (word);
  snprintf (address, sizeof address, "--platform=%s", word);
}

static void
teardown (void)
{
  process_end (&platform, SIGTERM);
}

/* Starts the command with the words of LINE as arguments.  A word that begins
   with FILE is the name of a file in the test's folder; TABLES/ at the start
   of a word is replaced by the folder of the example tables.  */
static void
start (struct process *pc, const char *line)
{
  static char words[ARGS_MAX][256];
  const char *argv[ARGS_MAX + 4] = { getenv ("KINGCUPHOLLOW"), "table", NULL };
  char copy[512];
  char *save;
  int count = 2;
  snprintf (copy, sizeof copy, "%s", line);
  for (char *word = strtok_r (copy, " ", &save); word;
       word = strtok_r (NULL, " ", &save))
    {
      char *to = words[count - 2];
      if (strncmp (word, "FILE", 4) == 0)
        snprintf (to, sizeof words[0], "%s/%s", dir, word);
      else if (strncmp (word, "TABLES/", 7) == 0)
        snprintf (to, sizeof words[0], "%s/%s", getenv ("TABLES_DIR"),
                  word + 7);
      else
        snprintf (to, sizeof words[0], "%s", word);
      argv[count++] = to;
    }
  if (!strstr (line, "--platform="))
    argv[count++] = address;
  argv[count++] = "--editor=marie";
  argv[count] = NULL;
  ck_assert_int_eq (process_start (pc, argv, NULL), 0);
}

static int
run (struct process *pc, const char *line)
{
  start (pc, line);
  return process_end (pc, 0);
}

static void
write_file (const char *name, const char *text)
{
  char path[128];
  snprintf (path, sizeof path, "%s/%s", dir, name);
  FILE *file = fopen (path, "w");
  ck_assert_ptr_nonnull (file);
  fputs (text, file);
  fclose (file);
}

static void
set_fault (const char *fault)
{
  char url[128];
  long status = 0;
  snprintf (url, sizeof url, "http://%s/fault",
            process_output_word (&platform, "control "));
  CURL *curl = curl_easy_init ();
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, fault);
  ck_assert_int_eq (curl_easy_perform (curl), CURLE_OK);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  curl_easy_cleanup (curl);
  ck_assert_int_eq (status, 200);
}

/* Command lines in the order of their run, with the exit code and a part of
   the output that are expected.  The import of comptoir.csv at offset 0 comes
   before them.  */
static const struct
{
  const char *line;
  int code;
  const char *output;
} lines[] = {
  { "import TABLES/comptoir.csv", 0, "unchanged" },
  { "set kind stock_query weight=7", 0, "accepted at offset 1" },
  { "set kind stock_query weight=9 --seen-version=0", 3,
    "- kind stock_query weight=7\n+ kind stock_query weight=9" },
  { "set kind stock_query weight=9 --seen-version=0 --json", 3,
    "\"now_editor\": \"marie\"" },
  { "set kind stock_query weight=0", 2, "" },
  { "set pool stock availability_budget_pct=88", 2, "" },
  { "set pool nosuch --delete=yes", 2, "" },
  { "set host h1 pool=restock", 0, "accepted at offset 4" },
  { "show host --json", 0, "\"pool\": \"restock\"" },
  /* With h1 assigned to another pool, the budget of pool stock is checked
     against 7 hosts instead of the 8 in the host list.  */
  { "set pool stock availability_budget_pct=86", 2, "" },
  { "set pool stock availability_budget_pct=85", 0, "accepted at offset 5" },
  { "set pool stock --delete=yes", 2, "" },
  { "show kind stock_query", 0, "weight                       7" },
  { "show kind nosuch", 2, "" },
  { "export FILE.csv", 0, "" },
  { "diff FILE.csv", 0, "" },
  { "export FILE.json --json", 0, "" },
  { "diff FILE.json", 0, "" },
  { "diff TABLES/comptoir.csv", 6,
    "- kind stock_query weight=7\n+ kind stock_query weight=1000" },
  { "history 1", 0, "- pool stock availability_budget_pct=75" },
  { "import FILE-bad.csv", 2, "" },
  { "import FILE-absent.csv", 1, "" },
  { "import FILE-big.csv", 0, "accepted at offset 7" },
  { "show --platform=127.0.0.1:1 --timeout-ms=300", 1, "" },
  { "shwo", 2, "" },
  { "columns", 0, "| kind | `queue_deadline_ms` | 1 to 600000 ms, or empty" },
};

/* Guards against wrong exit codes and outputs, against an import that appends
   a part of a file with faults, and against one that fails because its rows do
   not fit into one record.  */
START_TEST (test_commands)
{
  static struct process pc;
  write_file ("FILE-bad.csv",
              "sort,name,weight\nkind,stock_query,5\nkind,lot_notice,0\n");
  char path[128];
  snprintf (path, sizeof path, "%s/FILE-big.csv", dir);
  FILE *file = fopen (path, "w");
  fputs ("sort,name,pool,weight,concurrency_limit,queue_limit,class,"
         "idempotent,attempts,expected_service_ms\n",
         file);
  for (int n = 0; n < 1800; n++)
    fprintf (file,
             "kind,made-for-a-large-import-%04d,lots,1,0,1,normal,yes,1"
             ",1\n",
             n);
  fclose (file);
  ck_assert_int_eq (run (&pc, "import TABLES/comptoir.csv"), 0);
  for (size_t n = 0; n < COUNT (lines); n++)
    {
      int code = run (&pc, lines[n].line);
      ck_assert_msg (
          code == lines[n].code && strstr (pc.output, lines[n].output),
          "%s: exit code %d, output %s", lines[n].line, code, pc.output);
    }
}
END_TEST

/* Guards against an edit that takes effect twice, or is reported as failed,
   when the reply of the log is lost.  */
START_TEST (test_reply_lost)
{
  static struct process pc;
  ck_assert_int_eq (run (&pc, "import TABLES/colheitas.csv"), 0);
  set_fault ("{\"fault\":\"reply_lost\",\"count\":1}");
  ck_assert_int_eq (run (&pc, "set kind route_query weight=7"), 0);
  ck_assert_ptr_nonnull (strstr (pc.output, "accepted at offset 1"));
  ck_assert_int_eq (run (&pc, "show kind route_query"), 0);
  ck_assert_ptr_nonnull (strstr (pc.output, "route_query (version 1)"));
}
END_TEST

/* Guards against concurrent changes of one row, based on the same version, of
   which none or several are reported as accepted.  */
START_TEST (test_concurrent_changes)
{
  static struct process pcs[4];
  int accepted = 0;
  ck_assert_int_eq (run (&pcs[0], "import TABLES/colheitas.csv"), 0);
  for (size_t n = 0; n < COUNT (pcs); n++)
    {
      char line[128];
      snprintf (line, sizeof line,
                "set kind route_query weight=%zu --seen-version=0", n + 1);
      start (&pcs[n], line);
    }
  for (size_t n = 0; n < COUNT (pcs); n++)
    {
      int code = process_end (&pcs[n], 0);
      ck_assert (code == 0 || code == 3);
      accepted += code == 0;
    }
  ck_assert_int_eq (accepted, 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("table_cli");
  TCase *tc = tcase_create ("table_cli");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_set_timeout (tc, 120);
  tcase_add_test (tc, test_commands);
  tcase_add_test (tc, test_reply_lost);
  tcase_add_test (tc, test_concurrent_changes);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
