#include <check.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "platform/wire_worker.h"
#include "wire_server.h"

/* Tests of platform/wire_worker.c against an HTTP server.  */

#define RUN_1 "[\"00000000000000a1.0.0.1\",2,\"c\",41,7]"
#define RUN_2 "[\"00000000000000a2.0.0.0\",1,\"\",100]"
#define END_1 "[58,\"00000000000000b1.0.0.0\",1,\"done\",\"\"]"
#define END_2 "[60,\"00000000000000b2.0.0.0\",3,\"failed\",\"c\"]"

static struct wire_server srv;
static struct wire_worker link_;
static int done;
static char rows[256]; /* readable rows: task, run, percent; end number */
static struct hold_result result;

static void
setup (void)
{
  wire_server_start (&srv);
  ck_assert_int_eq (wire_worker_init (&link_, srv.ev, &srv.post), 0);
}

static void
teardown (void)
{
  wire_server_stop (&srv);
}

static void
on_hold (void *arg, const struct hold_result *res)
{
  char text[128];
  rows[0] = '\0';
  for (size_t n = 0; n < res->running_count; n++)
    {
      snprintf (text, sizeof text, "r%x:%u:%u ",
                (unsigned)res->running[n].task.job, res->running[n].run,
                res->running[n].percent);
      strncat (rows, text, sizeof rows - strlen (rows) - 1);
    }
  for (size_t n = 0; n < res->ended_count; n++)
    {
      snprintf (text, sizeof text, "e%x:%u:%d:%d ",
                (unsigned)res->ended[n].task.job, res->ended[n].run,
                (int)res->ended[n].number, (int)res->ended[n].end);
      strncat (rows, text, sizeof rows - strlen (rows) - 1);
    }
  result = *res;
  done = 1;
}

static void
hold (const char *body)
{
  const struct command_target to = { .address = srv.address, .worker = "w" };
  const struct hold_command cmd = { .token = 1 };
  srv.body = (const uint8_t *)body;
  srv.body_len = strlen (body);
  done = 0;
  ck_assert_int_eq (link_.lnk.drv->hold (&link_.lnk, &to, &cmd, on_hold, NULL),
                    0);
  wire_server_await (&srv, &done);
}

/* Guards against runs that are given up because one row of the answer cannot
   be read: the whole answer used to count as none, or the row was left out as
   if the run had gone.  */
START_TEST (test_odd_running_row)
{
  static const char *const odd[] = {
    "0",
    "null",
    "{}",
    "[]",
    "[5,1,\"\",0]",
    "[\"x\",1,\"\",0]",
    "[\"00000000000000a9.0.0\",1,\"\",0]",
    "[\"00000000000000a9.0.0.0\"]",
    "[\"00000000000000a9.0.0.0\",\"1\",\"\",0]",
    "[\"00000000000000a9.0.0.0\",0,\"\",0]",
    "[\"00000000000000a9.0.0.0\",-1,\"\",0]",
    "[\"00000000000000a9.0.0.0\",1.5,\"\",0]",
    "[\"00000000000000a9.0.0.0\",4294967295,\"\",0]",
    "[\"00000000000000a9.0.0.0\",4294967297,\"\",0]",
    "[\"00000000000000a9.0.0.0\",1e300,\"\",0]",
    "[\"00000000000000a9.0.0.0\",99999999999999999999,\"\",0]",
    "[\"00000000000000a9.0.0.0\",1e400,\"\",0]",
    "[\"00000000000000a9.0.0.0\\u0000\",1,\"\",0]",
    "[\"00000000000000a9.0.0.0\",1,\"\xff\",0]",
    "[\"00000000000000a9.0.0.0\",1,\"\",[[[[[[[[1e400]]]]]]]]]",
  };
  for (size_t n = 0; n < sizeof odd / sizeof *odd; n++)
    {
      char *body = talloc_asprintf (
          srv.ev,
          "{\"clock-ms\":482113,\"born\":1791221337267,\"running\":[" RUN_1
          ",%s," RUN_2 "],\"ended\":[" END_1 "]}",
          odd[n]);
      hold (body);
      ck_assert_msg (result.command.status == COMMAND_DONE, "status %d: %s",
                     (int)result.command.status, odd[n]);
      ck_assert_msg (strcmp (rows, "ra1:2:41 ra2:1:100 eb1:1:58:0 ") == 0,
                     "%s: %s", rows, odd[n]);
      ck_assert_msg (result.incomplete, "%s", odd[n]);
      ck_assert_int_eq (result.command.clock_ms, 482113);
      ck_assert_int_eq (result.born_ms, 1791221337267);
    }
}
END_TEST

/* Guards against ends that are never heard because an odd one has a number
   above all others, and against one that cannot be acknowledged, so that the
   worker answers each hold with it at once.  */
START_TEST (test_odd_ended_row)
{
  static const struct
  {
    const char *json;
    bool numbered; /* its number can be acknowledged */
  } cases[] = {
    { "0", false },
    { "null", false },
    { "[]", false },
    { "[\"59\",\"00000000000000b9.0.0.0\",1,\"done\",\"\"]", false },
    { "[0,\"00000000000000b9.0.0.0\",1,\"done\",\"\"]", false },
    { "[-1,\"00000000000000b9.0.0.0\",1,\"done\",\"\"]", false },
    { "[1e300,\"00000000000000b9.0.0.0\",1,\"done\",\"\"]", false },
    { "[1e400,\"00000000000000b9.0.0.0\",1,\"done\",\"\"]", false },
    { "[9223372036854775807,\"00000000000000b9.0.0.0\",1,\"done\",\"\"]",
      false },
    { "[99999999999999999999,\"00000000000000b9.0.0.0\",1,\"done\",\"\"]",
      false },
    { "[59,5,1,\"done\",\"\"]", true },
    { "[59,\"x\",1,\"done\",\"\"]", true },
    { "[59,\"00000000000000b9.0.0.0\",-1,\"done\",\"\"]", true },
    { "[59,\"00000000000000b9.0.0.0\",0,\"done\",\"\"]", true },
    { "[59,\"00000000000000b9.0.0.0\",1,\"gone\",\"\"]", true },
    { "[59,\"00000000000000b9.0.0.0\",1,7,\"\"]", true },
    { "[59,\"00000000000000b9.0.0.0\",1]", true },
  };
  for (size_t n = 0; n < sizeof cases / sizeof *cases; n++)
    {
      char *body = talloc_asprintf (srv.ev,
                                    "{\"clock-ms\":482113,\"running\":[" RUN_1
                                    "],\"ended\":[" END_1 ",%s," END_2 "]}",
                                    cases[n].json);
      hold (body);
      ck_assert_int_eq (result.command.status, COMMAND_DONE);
      const char *want = cases[n].numbered
                             ? "ra1:2:41 eb1:1:58:0 e0:0:59:6 eb2:3:60:1 "
                             : "ra1:2:41 eb1:1:58:0 eb2:3:60:1 ";
      ck_assert_msg (strcmp (rows, want) == 0, "%s: %s", rows, cases[n].json);
      ck_assert_msg (result.incomplete == !cases[n].numbered, "%s",
                     cases[n].json);
    }
}
END_TEST

/* Guards against times out of range, which overflow in the placer, and against
   an unreadable start time that passes for another instance.  */
START_TEST (test_odd_times)
{
  static const char *const values[] = {
    "-1",
    "\"5\"",
    "1e300",
    "-1e300",
    "9223372036854775807",
    "-9223372036854775808",
    "9007199254740991",
    "null",
    "[]",
  };
  for (size_t n = 0; n < sizeof values / sizeof *values; n++)
    {
      char *body = talloc_asprintf (srv.ev,
                                    "{\"clock-ms\":%s,\"born\":%s,"
                                    "\"running\":[],\"ended\":[]}",
                                    values[n], values[n]);
      hold (body);
      ck_assert_int_eq (result.command.status, COMMAND_DONE);
      ck_assert_msg (result.command.clock_ms == 0, "%s", values[n]);
      ck_assert_msg (result.born_ms == 0, "%s", values[n]);
    }
}
END_TEST

/* Guards against an answer that counts as one although its lists cannot be
   read: all runs would be given up.  */
START_TEST (test_unreadable_answer)
{
  static const char *const bodies[] = {
    "",
    "?",
    "[]",
    "{}",
    "{\"running\":[]}",
    "{\"running\":{},\"ended\":[]}",
    "{\"running\":[],\"ended\":[",
    "{\"running\":[],\"ended\":[]} x",
    "{\"clock-ms\":1e400,\"running\":[],\"ended\":[]}",
  };
  for (size_t n = 0; n < sizeof bodies / sizeof *bodies; n++)
    {
      hold (bodies[n]);
      ck_assert_msg (result.command.status == COMMAND_NO_ANSWER, "%s",
                     bodies[n]);
    }
}
END_TEST

static struct command_result answer;

static void
on_stop (void *arg, const struct command_result *res)
{
  answer = *res;
  done = 1;
}

/* Guards against a command that is taken for not carried out on a response
   which does not say so: its task would run twice (TWICE).  */
START_TEST (test_command_status)
{
  static const struct
  {
    unsigned int status;
    const char *body;
    enum command_status result;
  } cases[] = {
    { 400, "{}", COMMAND_REJECTED },
    { 404, "", COMMAND_REJECTED },
    { 302, "", COMMAND_NO_ANSWER },
    { 408, "", COMMAND_NO_ANSWER },
    { 409, "{\"reason\":\"room\"}", COMMAND_NO_ROOM },
    { 409, "{\"rea", COMMAND_NO_ANSWER },
    { 409, "{\"reason\":\"other\"}", COMMAND_NO_ANSWER },
    { 429, "", COMMAND_WORKER_BUSY },
    { 500, "", COMMAND_NO_ANSWER },
    { 503, "", COMMAND_WORKER_BUSY },
  };
  const struct command_target to = { .address = srv.address, .worker = "w" };
  const struct stop_command cmd = { .run = 1, .token = 1 };
  srv.status = cases[_i].status;
  srv.body = (const uint8_t *)cases[_i].body;
  srv.body_len = strlen (cases[_i].body);
  done = 0;
  ck_assert_int_eq (link_.lnk.drv->stop (&link_.lnk, &to, &cmd, on_stop, NULL),
                    0);
  wire_server_await (&srv, &done);
  ck_assert_int_eq (answer.status, cases[_i].result);
}
END_TEST

/* Guards against an address that no call can use and that makes the process
   end or hang: the call ends, once, and never from inside the call.  */
START_TEST (test_unusable_address)
{
  static const char *const addresses[] = {
    "",
    ":",
    "h",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999999999999999999",
    "a b:80",
    "\x01:80",
    "[::1",
    "%zz:80",
    "h\r\nX: y:80",
    "\xff\xfe:80",
  };
  for (size_t n = 0; n < sizeof addresses / sizeof *addresses; n++)
    {
      const struct command_target to
          = { .address = addresses[n], .worker = "w" };
      const struct stop_command cmd = { .run = 1, .token = 1 };
      done = 0;
      ck_assert_int_eq (
          link_.lnk.drv->stop (&link_.lnk, &to, &cmd, on_stop, NULL), 0);
      ck_assert_int_eq (done, 0);
      wire_server_await (&srv, &done);
      ck_assert_msg (answer.status == COMMAND_NOT_SENT, "status %d: %s",
                     (int)answer.status, addresses[n]);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("wire_worker");
  TCase *tc = tcase_create ("wire_worker");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, test_odd_running_row);
  tcase_add_test (tc, test_odd_ended_row);
  tcase_add_test (tc, test_odd_times);
  tcase_add_test (tc, test_unreadable_answer);
  tcase_add_loop_test (tc, test_command_status, 0, 10);
  tcase_add_test (tc, test_unusable_address);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
