#include <check.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "base/err.h"
#include "store/host_http.h"
#include "test/stand/process.h"

/* Runs `kingcuphollow wave` as a process, and calls the HTTP driver of host
   operations, against the stand-in of the platform.  */

#define ARGS_MAX 16
#define COUNT(a) (sizeof (a) / sizeof *(a))

static struct process platform;
static char address[64];
static char layout[256];

static void
setup (void)
{
  const char *argv[] = { getenv ("STAND_PLATFORM"), layout, NULL };
  char dir[] = "/tmp/kingcuphollow-wave-XXXXXX";
  char path[128];
  ck_assert_ptr_nonnull (mkdtemp (dir));
  snprintf (path, sizeof path, "%s/layout.json", dir);
  snprintf (layout, sizeof layout, "--layout=%s", path);
  FILE *file = fopen (path, "w");
  fputs ("{\"version\":1,\"hosts\":[", file);
  for (int n = 0; n < 9; n++)
    fprintf (file,
             "%s{\"host\":\"h%d\",\"address\":\"127.0.0.1:1\","
             "\"data_centre\":\"a\",\"rack\":\"r1\",\"initial_pool\":"
             "\"%s\",\"slots\":8,\"connections\":64,\"state\":\"live\"}",
             n ? "," : "", n, n == 8 ? "norow" : "stock");
  fputs ("]}", file);
  fclose (file);
  ck_assert_int_eq (process_start (&platform, argv, "ready"), 0);
  const char *word = process_output_word (&platform, "data-centre a ");
  ck_assert_ptr_nonnull (word);
  snprintf (address, sizeof address, "%s", word);
}

static void
teardown (void)
{
  process_end (&platform, SIGTERM);
}

static int
run (struct process *pc, const char *line)
{
  const char *argv[ARGS_MAX] = { getenv ("KINGCUPHOLLOW") };
  char copy[512];
  char *save;
  int count = 1;
  snprintf (copy, sizeof copy, "%s", line);
  for (char *word = strtok_r (copy, " ", &save); word;
       word = strtok_r (NULL, " ", &save))
    argv[count++] = word;
  if (!strstr (line, "--platform"))
    {
      argv[count++] = "--platform";
      argv[count++] = address;
    }
  if (!strstr (line, "--help"))
    argv[count++] = "--editor=marie";
  ck_assert_int_eq (process_start (pc, argv, NULL), 0);
  return process_end (pc, 0);
}

/* Command lines in the order of their run, with the exit code and a part of
   the output that are expected.  */
static const struct
{
  const char *line;
  int code;
  const char *output;
} lines[] = {
  { "wave show", 0, "no waves" },
  { "wave create w1", 2, "" },
  { "wave create w1 h1 nosuch other --pools=lots,gone,norow --json", 2,
    "\"unknown_host\"" },
  { "wave create w1 h1 nosuch --pools=gone --json", 2, "\"unknown_pool\"" },
  { "wave create w1 h8 --json", 2, "\"no_pool_row\"" },
  /* h7 is the only host of its pool, whose availability budget of 75 % allows
     no host out of service.  */
  { "wave create w1 h7 --json", 2, "\"no_budget\"" },
  { "wave create w/1 h1 --json", 2, "\"wave_id\"" },
  { "wave create w1 h1 h2 h1 --most-out=1 --deadline-min=60", 0, "accepted" },
  { "wave create w1 h3 --json", 2, "\"wave_exists\"" },
  { "wave create w2 h2 --json", 2, "\"host_in_wave\"" },
  { "wave create w2 --pools=stock --json", 2, "\"host_in_wave\"" },
  { "wave create w2 h3 h4", 0, "accepted" },
  { "wave show", 0, "w1 running: 2 hosts, 2 waiting, by marie" },
  { "wave show w1", 0, "data centre a: planner none" },
  { "wave show w1 --json", 0, "\"step\": \"waiting\"" },
  { "wave show w9", 2, "" },
  { "wave pause w1", 0, "accepted" },
  { "wave show w1", 0, "w1 paused" },
  { "wave resume w1 --json", 0, "\"outcome\": \"done\"" },
  { "wave cancel w1", 0, "accepted" },
  { "wave show w1 --json", 0, "\"state\": \"cancelled\"" },
  { "wave resume w1", 3, "conflict" },
  { "wave pause nosuch", 2, "" },
  /* The cancelled wave w1 no longer holds its hosts.  */
  { "wave create w3 h1 h2", 0, "accepted" },
  { "wave show --platform=127.0.0.1:1 --timeout-ms=300", 1, "" },
  { "wave shwo", 2, "" },
  { "wave show --help", 0, "--most-out" },
};

/* Guards against wrong exit codes and outputs, and against a wave that is
   created although a host or a pool is not valid.  */
START_TEST (test_commands)
{
  static struct process pc;
  char line[256];
  snprintf (line, sizeof line, "table import %s/comptoir.csv --platform=%s",
            getenv ("TABLES_DIR"), address);
  ck_assert_int_eq (run (&pc, line), 0);
  snprintf (line, sizeof line, "table set host h7 pool=lots --platform=%s",
            address);
  ck_assert_int_eq (run (&pc, line), 0);
  for (size_t n = 0; n < COUNT (lines); n++)
    {
      int code = run (&pc, lines[n].line);
      ck_assert_msg (
          code == lines[n].code && strstr (pc.output, lines[n].output),
          "%s: exit code %d, output %s", lines[n].line, code, pc.output);
    }
}
END_TEST

struct host_outcome
{
  int count;
  struct host_result res;
};

static void
on_result (void *arg, const struct host_result *res)
{
  struct host_outcome *out = arg;
  out->count++;
  out->res = *res;
}

/* Calls in the order of their run, with the status and the host state that are
   expected.  */
static const struct
{
  struct host_call call;
  enum host_call_status status;
  enum host_actual_state state;
} calls[] = {
  { { HOST_OP_GET, "h1", NULL, NULL, 0 }, HOST_CALL_DONE, HOST_ACTUAL_LIVE },
  { { HOST_OP_DRAIN, "h1", NULL, "w/1/h1/drain/2", 5 },
    HOST_CALL_DONE,
    HOST_ACTUAL_LEAVING },
  { { HOST_OP_GET, "h1", NULL, NULL, 0 },
    HOST_CALL_DONE,
    HOST_ACTUAL_LEAVING },
  { { HOST_OP_REBOOT, "h1", NULL, "w/1/h1/reboot/0", 4 },
    HOST_CALL_FENCED,
    HOST_ACTUAL_UNKNOWN },
  { { HOST_OP_RETURN, "h1", NULL, "w/1/h1/return/3", 6 },
    HOST_CALL_DONE,
    HOST_ACTUAL_LIVE },
  /* The drain is repeated with its operation id: the platform repeats its
     response, and the host stays live.  */
  { { HOST_OP_DRAIN, "h1", NULL, "w/1/h1/drain/2", 5 },
    HOST_CALL_DONE,
    HOST_ACTUAL_LEAVING },
  { { HOST_OP_GET, "h1", NULL, NULL, 0 }, HOST_CALL_DONE, HOST_ACTUAL_LIVE },
  { { HOST_OP_REBOOT, "h1", NULL, "w/1/h1/reboot/0", 6 },
    HOST_CALL_DONE,
    HOST_ACTUAL_DOWN },
  { { HOST_OP_DRAIN, "nosuch", NULL, "w/1/x/drain/2", 5 },
    HOST_CALL_REFUSED,
    HOST_ACTUAL_UNKNOWN },
  /* Nothing listens at this address: the request was certainly not sent.  */
  { { HOST_OP_HEALTH, NULL, "127.0.0.1:1", NULL, 0 },
    HOST_CALL_NOT_DONE,
    HOST_ACTUAL_UNKNOWN },
};

/* Guards against a response to a host operation that is reported with a wrong
   status or state, and against invalid names in URLs and headers.  */
START_TEST (test_host_calls)
{
  struct tevent_context *ev = tevent_context_init (NULL);
  struct host_http_settings set = host_http_settings_default;
  struct host_http hh;
  set.address = address;
  ck_assert_int_eq (host_http_init (&hh, ev, ev, &set), 0);
  for (size_t n = 0; n < COUNT (calls); n++)
    {
      struct host_outcome out = { 0 };
      ck_assert_int_eq (
          host_api_call (&hh.api, &calls[n].call, on_result, &out), 0);
      while (out.count == 0)
        ck_assert_int_eq (tevent_loop_once (ev), 0);
      ck_assert_msg (
          out.res.status == calls[n].status && out.res.state == calls[n].state,
          "call %zu: status %d, state %d", n, out.res.status, out.res.state);
    }
  const struct host_call bad[] = {
    { HOST_OP_GET, "h/1", NULL, NULL, 0 },
    { HOST_OP_DRAIN, "h1", NULL, "a b", 0 },
    { HOST_OP_DRAIN, "h1", NULL, NULL, 0 },
    { HOST_OP_HEALTH, NULL, "nowhere", NULL, 0 },
  };
  for (size_t n = 0; n < COUNT (bad); n++)
    ck_assert_int_eq (host_api_call (&hh.api, &bad[n], on_result, NULL),
                      ERR_INVALID);
  host_api_fini (&hh.api);
  talloc_free (ev);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("wave_cli");
  TCase *tc = tcase_create ("wave_cli");
  tcase_set_timeout (tc, 240);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_commands);
  tcase_add_test (tc, test_host_calls);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
