#include <check.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "test/stand/process.h"

/* Runs `kingcuphollow status`, `explain` and `table --wait-operators` as
   processes, against two entry processes and the stand-ins of the platform and
   the targets.  */

#define ARGS_MAX 16
#define COUNT(a) (sizeof (a) / sizeof *(a))
#define READY_POLLS_MAX 600 /* of 100 ms */
#define TOKEN "a-token-of-the-operators"

static struct process targets;
static struct process platform;
static struct process entries[2];
static char dir[64];

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

/* Starts PROGRAM with the words of LINE as arguments.  DIR, TABLES, PLATFORM,
   OP1 and OP2 in them are replaced by folders and addresses of this run.  */
static void
start (struct process *pc, const char *program, const char *line,
       const char *until)
{
  static char words[ARGS_MAX][256];
  const struct
  {
    const char *name;
    const char *value;
  } placeholders[] = {
    { "DIR", dir },
    { "TABLES", getenv ("TABLES_DIR") },
    { "PLATFORM", process_output_word (&platform, "data-centre a ") },
    { "OP1", process_output_word (&entries[0], "operator=") },
    { "OP2", process_output_word (&entries[1], "operator=") },
  };
  const char *argv[ARGS_MAX + 2] = { program, NULL };
  char copy[512];
  char *save;
  int count = 0;
  snprintf (copy, sizeof copy, "%s", line);
  for (char *word = strtok_r (copy, " ", &save); word && count < ARGS_MAX;
       word = strtok_r (NULL, " ", &save))
    {
      char *to = words[count++];
      size_t len = 0;
      while (*word && len < sizeof words[0] - 65)
        {
          size_t n = 0;
          while (n < COUNT (placeholders)
                 && (!placeholders[n].value
                     || strncmp (word, placeholders[n].name,
                                 strlen (placeholders[n].name))
                            != 0))
            n++;
          if (n == COUNT (placeholders))
            to[len++] = *word++;
          else
            {
              len += (size_t)sprintf (to + len, "%.64s",
                                      placeholders[n].value);
              word += strlen (placeholders[n].name);
            }
        }
      to[len] = '\0';
      argv[count] = to;
    }
  ck_assert_int_eq (process_start (pc, argv, until), 0);
}

static int
run (struct process *pc, const char *line)
{
  start (pc, getenv ("KINGCUPHOLLOW"), line, NULL);
  return process_end (pc, 0);
}

/* Sends a request to the first entry process: a POST with a request id and an
   idempotency key, or a GET when ID is NULL.  Returns the HTTP status, or 0
   without an answer.  */
static long
send_request (const char *path, const char *id, const char *key)
{
  char url[256];
  char header[128];
  long status = 0;
  struct curl_slist *headers = curl_slist_append (NULL, "X-Caller: marie");
  snprintf (url, sizeof url, "http://%s%s",
            process_output_word (&entries[0], "caller="), path);
  CURL *curl = curl_easy_init ();
  if (id)
    {
      snprintf (header, sizeof header, "X-Request-Id: %s", id);
      headers = curl_slist_append (headers, header);
      snprintf (header, sizeof header, "Idempotency-Key: %s", key);
      headers = curl_slist_append (headers, header);
      curl_easy_setopt (curl, CURLOPT_POSTFIELDS, "{}");
    }
  FILE *sink = fopen ("/dev/null", "w");
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, sink);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_HTTPHEADER, headers);
  if (curl_easy_perform (curl) == CURLE_OK)
    curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  fclose (sink);
  curl_easy_cleanup (curl);
  curl_slist_free_all (headers);
  return status;
}

static void
start_entry (int n)
{
  char line[256];
  snprintf (line, sizeof line,
            "serve --name=a%d --data-centre=a --platform=PLATFORM "
            "--leave-ms=0 --log-level=error --stories=2 "
            "--operator-listen=127.0.0.1:0 --operator-token-file=DIR/token",
            n + 1);
  start (&entries[n], getenv ("KINGCUPHOLLOW"), line, "operator=127.0.0.1:");
}

static void
wait_ready (void)
{
  const struct timespec pause = { .tv_nsec = 100000000 };
  int polls_left = READY_POLLS_MAX;
  while (send_request ("/readyz", NULL, NULL) != 200 && --polls_left > 0)
    nanosleep (&pause, NULL);
  ck_assert_int_gt (polls_left, 0);
}

static void
setup (void)
{
  struct process pc;
  memset (entries, 0, sizeof entries);
  memset (&platform, 0, sizeof platform);
  strcpy (dir, "/tmp/kingcuphollow-operator-XXXXXX");
  ck_assert_ptr_nonnull (mkdtemp (dir));
  write_file ("token", TOKEN "\n");
  write_file ("wrong", "another-token-of-someone\n");
  start (&targets, getenv ("STAND_TARGET"),
         "--pools=stock:8 --data-centres=a --layout-out=DIR/layout.json",
         "ready");
  start (&platform, getenv ("STAND_PLATFORM"),
         "--layout=DIR/layout.json --data-centres=a", "ready");
  ck_assert_int_eq (
      run (&pc, "table import TABLES/comptoir.csv --platform=PLATFORM"), 0);
  start_entry (0);
  start_entry (1);
  wait_ready ();
}

static void
teardown (void)
{
  for (int n = 0; n < 2; n++)
    ck_assert_int_eq (process_end (&entries[n], SIGTERM), 0);
  process_end (&platform, SIGTERM);
  process_end (&targets, SIGTERM);
}

struct line
{
  const char *line;
  int code;
  const char *expect[3];
};

static void
run_lines (const struct line *lines, size_t count)
{
  struct process pc;
  for (size_t n = 0; n < count; n++)
    {
      int code = run (&pc, lines[n].line);
      ck_assert_msg (code == lines[n].code, "%s: exit code %d: %s",
                     lines[n].line, code, pc.output);
      for (int e = 0; e < 3 && lines[n].expect[e]; e++)
        ck_assert_msg (strstr (pc.output, lines[n].expect[e]) != NULL,
                       "%s: no \"%s\" in: %s", lines[n].line,
                       lines[n].expect[e], pc.output);
    }
}

#define BOTH_ENTRIES " --operators=OP1,OP2 --token-file=DIR/token"
#define WAIT_OPTIONS                                                          \
  " --platform=PLATFORM --wait-operators=OP1,OP2 --token-file=DIR/token"

/* Guards against commands that report success although a process could not be
   queried, and against an edit that is made although the options of its wait
   are not valid.  */
START_TEST (test_commands)
{
  static const struct line lines[] = {
    { "status" BOTH_ENTRIES, 0, { "a1 ", "a2 ", "stock_query" } },
    { "status" BOTH_ENTRIES " --json=yes", 0, { "\"claims_ready\"" } },
    { "status --operators=OP1,127.0.0.1:1 --token-file=DIR/token",
      1,
      { "a1 " } },
    { "status --operators=OP1 --token-file=DIR/wrong", 1, { NULL } },
    { "status --operators=OP1 --token-file=DIR/none", 2, { NULL } },
    { "status --operators=OP1, --token-file=DIR/token", 0, { "a1 " } },
    { "status --operators=nowhere --token-file=DIR/token", 2, { NULL } },
    { "explain r1" BOTH_ENTRIES,
      0,
      { "The request of caller marie", "Admission control admitted it.",
        "Outcome: answered" } },
    { "explain r1 --operators=OP1,127.0.0.1:1 --token-file=DIR/token",
      5,
      { "127.0.0.1:1: not reached", "Outcome: answered" } },
    { "explain none" BOTH_ENTRIES, 1, { "a1: it started at" } },
    { "explain r1 --operators=OP1 --token-file=DIR/wrong",
      1,
      { "it rejected the token" } },
    { "explain" BOTH_ENTRIES, 2, { NULL } },
    { "table set kind stock_query weight=77" WAIT_OPTIONS,
      0,
      { "accepted at offset", "folded by all 2 entry processes" } },
    { "table set kind stock_query weight=78 --platform=PLATFORM "
      "--wait-operators=OP1 --token-file=DIR/none",
      2,
      { NULL } },
    { "table show kind stock_query --platform=PLATFORM",
      0,
      { "weight                       77\n" } },
    { "table show" WAIT_OPTIONS, 2, { NULL } },
    { "table import TABLES/comptoir.csv" WAIT_OPTIONS,
      0,
      { "accepted at offset 2", "up to offset 2" } },
    { "table import TABLES/comptoir.csv" WAIT_OPTIONS,
      0,
      { "unchanged", "up to offset 2" } },
  };
  ck_assert_int_eq (send_request ("/v1/work/stock_query", "r1", "k1"), 200);
  run_lines (lines, COUNT (lines));
}
END_TEST

/* Guards against an edit reported as folded by all, or a request trace
   reported as complete, while an entry process does not answer.  */
START_TEST (test_frozen_entry)
{
  static const struct line frozen[] = {
    { "explain r1" BOTH_ENTRIES " --timeout-ms=500", 5, { "not reached" } },
    { "table set kind stock_query weight=81" WAIT_OPTIONS " --wait-ms=500",
      7,
      { "accepted at offset" } },
    { "table set kind stock_query weight=82" WAIT_OPTIONS
      " --wait-ms=500 --json=yes",
      7,
      { "\"folded\":false" } },
  };
  static const struct line resumed[] = {
    { "explain r1" BOTH_ENTRIES " --timeout-ms=60000",
      0,
      { "Outcome: answered" } },
    { "table set kind stock_query weight=83" WAIT_OPTIONS " --wait-ms=60000",
      0,
      { "folded by all 2" } },
  };
  ck_assert_int_eq (send_request ("/v1/work/stock_query", "r1", "k1"), 200);
  kill (entries[1].pid, SIGSTOP);
  run_lines (frozen, COUNT (frozen));
  kill (entries[1].pid, SIGCONT);
  run_lines (resumed, COUNT (resumed));
}
END_TEST

/* Guards against a request whose trace was overwritten, or lost at a restart,
   being reported as one that was never received.  */
START_TEST (test_lost_trace)
{
  static const struct line overwritten[] = {
    { "explain r1" BOTH_ENTRIES,
      1,
      { "a1: its oldest request traces were overwritten" } },
    { "explain r3" BOTH_ENTRIES, 0, { "Outcome: answered" } },
  };
  static const struct line restarted[] = {
    { "explain r3" BOTH_ENTRIES, 1, { "a1: it started at" } },
  };
  for (int n = 1; n <= 3; n++)
    {
      char id[8];
      snprintf (id, sizeof id, "r%d", n);
      ck_assert_int_eq (send_request ("/v1/work/stock_query", id, id), 200);
    }
  run_lines (overwritten, COUNT (overwritten));
  ck_assert_int_eq (process_end (&entries[0], SIGKILL), -1);
  start_entry (0);
  wait_ready ();
  run_lines (restarted, COUNT (restarted));
}
END_TEST

int
main (void)
{
  signal (SIGPIPE, SIG_IGN);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  Suite *suite = suite_create ("operator_cli");
  TCase *tc = tcase_create ("operator_cli");
  tcase_set_timeout (tc, 200);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_commands);
  tcase_add_test (tc, test_frozen_entry);
  tcase_add_test (tc, test_lost_trace);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  curl_global_cleanup ();
  return failed != 0;
}
