#include <check.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "base/err.h"
#include "test/load/trace.h"
#include "test/stand/process.h"

/* Tests of the load generator and of the verdict program, which check every
   load test: a violation that they miss would stay undetected.  */

static char dir[64];

static const char *
temp_path (const char *name)
{
  static char paths[8][128];
  static int next;
  char *path = paths[next++ % 8];
  snprintf (path, sizeof paths[0], "%s/%s", dir, name);
  return path;
}

static void
create_temp_dir (void)
{
  strcpy (dir, "/tmp/kingcuphollow-load-XXXXXX");
  ck_assert_ptr_nonnull (mkdtemp (dir));
}

static void
remove_temp_dir (void)
{
  unlink (temp_path ("callers"));
  unlink (temp_path ("targets"));
  unlink (temp_path ("trace"));
  rmdir (dir);
}

static void
write_temp_file (const char *name, const char *text)
{
  FILE *file = fopen (temp_path (name), "w");
  ck_assert_ptr_nonnull (file);
  fputs (text, file);
  fclose (file);
}

static int
run_verdict (struct process *pc)
{
  char callers[160];
  char targets[160];
  snprintf (callers, sizeof callers, "--callers=%s", temp_path ("callers"));
  snprintf (targets, sizeof targets, "--targets=%s", temp_path ("targets"));
  const char *argv[] = { getenv ("VERDICT"), callers, targets,
                         "--stops=10-20,1000-2000", NULL };
  ck_assert_int_eq (process_start (pc, argv, NULL), 0);
  return process_end (pc, 0);
}

/* Lines of journals written by the test: CALL of a load caller, RUN of a
   target.  Attempts are sent at 1 s with a deadline of 500 ms; the planned
   stops are from 10 to 20 ms and from 1 to 2 s.  */
#define CALL(call, id, key, outcome, own, final)                              \
  "{\"call\":" call ",\"request_id\":\"" id "\",\"once\":true" key            \
  ",\"sent_us\":1000000,\"deadline_ms\":500,\"outcome\":\"" outcome           \
  "\",\"own\":\"" own "\",\"final\":" final "}\n"
#define RUN(id, key, cut)                                                     \
  "{\"request_id\":\"" id "\"" key ",\"host\":\"a-w01\",\"cut_us\":" cut      \
  ",\"result\":\"completed\"}\n"
#define KEY ",\"key\":\"k1\""

static const struct
{
  const char *callers;
  const char *targets;
  int code;         /* exit code of the verdict program */
  const char *line; /* in its output */
} verdicts[] = {
  { CALL ("1", "r1", KEY, "answered", "correct", "true")
        CALL ("2", "r2", "", "not_run", "none", "true")
            CALL ("3", "r3", "", "unknown", "none", "true"),
    RUN ("r1", KEY, "0") RUN ("r3", "", "0"), 0,
    "demo: 3 requests, 1 answered, 1 not run, 1 unknown, 0 wrong answers, "
    "0 run twice\n" },
  /* A retried request is counted once, and as unknown when an earlier attempt
     has an unknown outcome and the last one did not run.  */
  { CALL ("1", "r1.1", KEY, "unknown", "none", "false")
        CALL ("1", "r1.2", KEY, "not_run", "none", "true"),
    RUN ("r1.1", KEY, "0"), 0, "demo: 1 requests, 0 answered, 0 not run, 1 " },
  /* The answer to a repeated key is that of the run of the first attempt.  */
  { CALL ("1", "r1.1", KEY, "unknown", "none", "false")
        CALL ("1", "r1.2", KEY, "answered", "none", "true"),
    RUN ("r1.1", KEY, "0"), 0, "demo: 1 requests, 1 answered" },
  { CALL ("1", "r1", "", "answered", "wrong", "true"), RUN ("r1", "", "0"), 1,
    " 1 wrong answers, 0 run twice\n" },
  { CALL ("1", "r1", "", "not_run", "wrong", "true"), "", 1,
    " 1 wrong answers" },
  { CALL ("1", "r1", KEY, "answered", "correct", "true"),
    RUN ("r1", KEY, "0") RUN ("r9", KEY, "0"), 1, " 1 run twice\n" },
  { CALL ("1", "r1", "", "answered", "correct", "true"),
    RUN ("r1", "", "0") RUN ("r1", "", "0"), 1, " 1 run twice\n" },
  { CALL ("1", "r1", "", "not_run", "none", "true"), RUN ("r1", "", "0"), 1,
    "other violations: 1 reported as not run but ran" },
  { CALL ("1", "r1", "", "answered", "correct", "true"), "", 1,
    " 1 answered but did not run" },
  { CALL ("1", "r1", "", "unknown", "none", "true"), RUN ("r1", "", "1200000"),
    1, " 1 interrupted during a planned stop" },
  /* No violation: interrupted after the deadline, or outside planned stops. */
  { CALL ("1", "r1", "", "unknown", "none", "true"), RUN ("r1", "", "1600000"),
    0, "0 wrong" },
  { CALL ("1", "r1", "", "unknown", "none", "true"), RUN ("r1", "", "900000"),
    0, "0 wrong" },
  { CALL ("1", "r1", "", "maybe", "none", "true"), "", 1,
    " 1 missing or of unknown outcome" },
  { "", "", 1, "demo: 0 requests" },
  { CALL ("1", "r1", "", "not_run", "none", "true"), "{\"request_id\":\"r", 2,
    "" },
};

/* Guards against a violation that the verdict program misses, and against one
   that it reports although there is none.  */
START_TEST (test_verdict)
{
  struct process pc;
  create_temp_dir ();
  write_temp_file ("callers", verdicts[_i].callers);
  write_temp_file ("targets", verdicts[_i].targets);
  int code = run_verdict (&pc);
  ck_assert_msg (code == verdicts[_i].code, "exit code %d: %s", code,
                 pc.output);
  ck_assert_msg (strstr (pc.output, verdicts[_i].line), "%s", pc.output);
  remove_temp_dir ();
}
END_TEST

static const struct
{
  const char *text;
  int err;
  size_t line;
} traces[] = {
  { "# comment\n0 plan crew-1 1000 500 20 once\n", 0, 2 },
  { "0 plan crew-1 1000 500 20 many\n1 plan crew-1 1000 500 20\n", ERR_INVALID,
    2 },
  { "0 plan crew-1 1000 500 20 twice\n", ERR_INVALID, 1 },
  { "-1 plan crew-1 1000 500 20 many\n", ERR_INVALID, 1 },
  { "0 plan crew-1 1000 0 20 many\n", ERR_INVALID, 1 },
  { "0 plan crew-1 1000 500 20 many more\n", ERR_INVALID, 1 },
};

/* Guards against an invalid trace that is accepted, so that only a part of it
   is sent.  */
START_TEST (test_trace)
{
  void *ctx = talloc_new (NULL);
  struct trace tr;
  size_t line;
  create_temp_dir ();
  write_temp_file ("trace", traces[_i].text);
  ck_assert_int_eq (trace_read (ctx, temp_path ("trace"), &tr, &line),
                    traces[_i].err);
  ck_assert_uint_eq (line, traces[_i].line);
  if (traces[_i].err == 0)
    ck_assert (tr.count == 1 && tr.requests[0].once);
  remove_temp_dir ();
  talloc_free (ctx);
}
END_TEST

static const char *const recorded[] = { "comptoir", "colheitas" };

/* Guards against recorded traces that differ from the generator's output.  */
START_TEST (test_recorded_trace)
{
  char path[512];
  char generated_line[256];
  char recorded_line[256];
  struct process pc;
  const char *argv[] = { getenv ("MAKE_TRACE"), recorded[_i], "7", NULL };
  snprintf (path, sizeof path, "%s/%s-day.trace", getenv ("TRACES"),
            recorded[_i]);
  FILE *file = fopen (path, "r");
  ck_assert_ptr_nonnull (file);
  ck_assert_int_eq (process_start (&pc, argv, NULL), 0);
  FILE *generated = fdopen (dup (pc.stdout_fd), "r");
  while (fgets (recorded_line, sizeof recorded_line, file))
    {
      ck_assert_ptr_nonnull (
          fgets (generated_line, sizeof generated_line, generated));
      ck_assert_str_eq (generated_line, recorded_line);
    }
  ck_assert_ptr_null (
      fgets (generated_line, sizeof generated_line, generated));
  fclose (file);
  fclose (generated);
  ck_assert_int_eq (process_end (&pc, 0), 0);
}
END_TEST

static const struct
{
  const char *fault;
  const char *summary; /* in the caller's output */
  int code;            /* exit code of the verdict program */
  const char *line;    /* in its output */
} caller_runs[] = {
  { NULL, "30 requests, 30 answered, 0 not run, 0 unknown, 0 wrong", 0,
    "30 answered" },
  { "{\"fault\":\"down\",\"host\":\"a-w01\"}", "30 requests, 30 answered", 0,
    "30 answered" },
  { "{\"fault\":\"crossed\",\"count\":3}", "3 wrong answers", 1,
    "3 wrong answers" },
  { "{\"fault\":\"leaves\"}", "30 not run", 0, "30 not run" },
  { "{\"fault\":\"cut_short\",\"count\":2,\"match\":\"POST /run/plan\"}",
    "30 answered, 0 not run, 0 unknown, 0 wrong", 0, "30 answered" },
  /* Without an entry process, nothing recognizes the idempotency key, so the
     retry after a lost reply runs a second time.  */
  { "{\"fault\":\"reply_lost\",\"count\":1,\"match\":\"POST /run/manifest\"}",
    "30 requests, 30 answered", 1, "1 run twice" },
};

static void
set_fault (const char *address, const char *fault)
{
  char url[128];
  long status = 0;
  CURL *curl = curl_easy_init ();
  snprintf (url, sizeof url, "http://%s/fault", address);
  curl_easy_setopt (curl, CURLOPT_URL, url);
  curl_easy_setopt (curl, CURLOPT_POSTFIELDS, fault);
  curl_easy_setopt (curl, CURLOPT_WRITEDATA, stderr);
  ck_assert_int_eq (curl_easy_perform (curl), CURLE_OK);
  curl_easy_getinfo (curl, CURLINFO_RESPONSE_CODE, &status);
  ck_assert_int_eq (status, 200);
  curl_easy_cleanup (curl);
}

/* Guards against a load caller that miscounts outcomes, does not retry, or
   accepts the answer to another request.  */
START_TEST (test_caller)
{
  char entries[256];
  char option[3][192];
  struct process target;
  struct process pc;
  create_temp_dir ();
  FILE *file = fopen (temp_path ("trace"), "w");
  for (int n = 0; n < 30; n++)
    fprintf (file, "%d %s crew-1 0 30000 100 %s\n", n,
             n % 3 ? "plan" : "manifest", n % 3 ? "many" : "once");
  fclose (file);
  snprintf (option[0], sizeof option[0], "--journal=%s",
            temp_path ("targets"));
  const char *start[]
      = { getenv ("STAND_TARGET"), "--pools=stock:2", option[0], NULL };
  ck_assert_int_eq (process_start (&target, start, "ready\n"), 0);
  if (caller_runs[_i].fault)
    set_fault (process_output_word (&target, "control "),
               caller_runs[_i].fault);
  snprintf (entries, sizeof entries, "--entries=%s,%s",
            process_output_word (&target, "worker a-w01 "),
            process_output_word (&target, "worker a-w02 "));
  snprintf (option[1], sizeof option[1], "--journal=%s",
            temp_path ("callers"));
  snprintf (option[2], sizeof option[2], "--trace=%s", temp_path ("trace"));
  const char *call[] = {
    getenv ("LOAD_CALLER"), entries, "--path=/run/", option[1], option[2],
    "--connections=6",      NULL
  };
  ck_assert_int_eq (process_start (&pc, call, NULL), 0);
  ck_assert_int_eq (process_end (&pc, 0), 0);
  ck_assert_msg (strstr (pc.output, caller_runs[_i].summary), "%s", pc.output);
  ck_assert_int_eq (process_end (&target, SIGTERM), 0);
  int code = run_verdict (&pc);
  ck_assert_msg (code == caller_runs[_i].code, "exit code %d: %s", code,
                 pc.output);
  ck_assert_msg (strstr (pc.output, caller_runs[_i].line), "%s", pc.output);
  remove_temp_dir ();
}
END_TEST

#define COUNT(table) (int)(sizeof (table) / sizeof *(table))

int
main (void)
{
  Suite *suite = suite_create ("load");
  TCase *tc = tcase_create ("load");
  curl_global_init (CURL_GLOBAL_DEFAULT);
  tcase_set_timeout (tc, 300);
  tcase_add_loop_test (tc, test_verdict, 0, COUNT (verdicts));
  tcase_add_loop_test (tc, test_trace, 0, COUNT (traces));
  tcase_add_loop_test (tc, test_recorded_trace, 0, COUNT (recorded));
  tcase_add_loop_test (tc, test_caller, 0, COUNT (caller_runs));
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  curl_global_cleanup ();
  return failed != 0;
}
