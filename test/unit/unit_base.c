#include <check.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/err.h"
#include "base/log.h"
#include "base/option.h"
#include "cli/settings.h"

static const struct
{
  const char *text;
  int err;
  const char *host;
  int port;
} addresses[] = {
  { "127.0.0.1:80", 0, "127.0.0.1", 80 },
  { "[::1]:65535", 0, "::1", 65535 },
  { "127.0.0.1:65536", ERR_INVALID, NULL, 0 },
  { "127.0.0.1:-1", ERR_INVALID, NULL, 0 },
  { "127.0.0.1: 1", ERR_INVALID, NULL, 0 },
  { "127.0.0.1:", ERR_INVALID, NULL, 0 },
  { "127.0.0.1", ERR_INVALID, NULL, 0 },
  { "localhost:80", ERR_INVALID, NULL, 0 },
  { "[::1:80", ERR_INVALID, NULL, 0 },
  { ":80", ERR_INVALID, NULL, 0 },
};

/* Guards against a malformed address that is truncated, or whose port number
   wraps around, instead of being refused.  */
START_TEST (test_address)
{
  char host[64];
  uint16_t port;
  int err = address_parse (addresses[_i].text, host, &port);
  ck_assert_int_eq (err, addresses[_i].err);
  if (err == 0)
    {
      ck_assert_str_eq (host, addresses[_i].host);
      ck_assert_int_eq (port, addresses[_i].port);
    }
}
END_TEST

/* Guards against reporting only the first of several invalid settings.  */
START_TEST (test_options_report_all)
{
  void *ctx = talloc_new (NULL);
  struct serve_settings set;
  char text[4096] = "";
  FILE *errors = fmemopen (text, sizeof text, "w");
  char *argv[]
      = { "--name=a", "--platform=nowhere", "--max-open=0", "--policy=best" };
  ck_assert_int_eq (options_parse (ctx, "serve", serve_options, 4, argv, &set,
                                   stdout, errors),
                    ERR_INVALID);
  fclose (errors);
  ck_assert_ptr_nonnull (strstr (text, "data-centre: required"));
  ck_assert_ptr_nonnull (strstr (text, "platform: \"nowhere\""));
  ck_assert_ptr_nonnull (strstr (text, "max-open: \"0\""));
  ck_assert_ptr_nonnull (strstr (text, "1 to 100000 requests"));
  ck_assert_ptr_nonnull (strstr (text, "policy: \"best\""));
  talloc_free (ctx);
}
END_TEST

/* Guards against an environment variable that takes precedence over a flag. */
START_TEST (test_options_order)
{
  void *ctx = talloc_new (NULL);
  struct serve_settings set;
  char *argv[]
      = { "--name=flag", "--data-centre=a", "--platform=127.0.0.1:1" };
  setenv ("KINGCUPHOLLOW_NAME", "variable", 1);
  setenv ("KINGCUPHOLLOW_DRAIN_MS", "77", 1);
  ck_assert_int_eq (options_parse (ctx, "serve", serve_options, 3, argv, &set,
                                   stdout, stderr),
                    0);
  ck_assert_str_eq (set.name, "flag");
  ck_assert_int_eq (set.drain_ms, 77);
  ck_assert_int_eq (set.max_open, 4096);
  unsetenv ("KINGCUPHOLLOW_NAME");
  unsetenv ("KINGCUPHOLLOW_DRAIN_MS");
  talloc_free (ctx);
}
END_TEST

#define WRITERS 4
#define LINES_PER_WRITER 20000

static void *
log_lines (void *arg)
{
  for (int n = 0; n < LINES_PER_WRITER; n++)
    log_event (arg, EV_REQUEST_DONE, LOG_I ("n", n));
  return NULL;
}

/* Guards against lines that are lost without being counted as dropped when
   several threads log at once.  */
START_TEST (test_log_counts_every_line)
{
  char path[] = "/tmp/kingcuphollow-log-XXXXXX";
  int fd = mkstemp (path);
  ck_assert_int_ge (fd, 0);
  unlink (path);
  struct logger *lg = logger_create (NULL, &clock_system, fd, LOG_LEVEL_INFO);
  ck_assert_ptr_nonnull (lg);
  pthread_t threads[WRITERS];
  for (int n = 0; n < WRITERS; n++)
    ck_assert_int_eq (pthread_create (&threads[n], NULL, log_lines, lg), 0);
  for (int n = 0; n < WRITERS; n++)
    pthread_join (threads[n], NULL);
  uint64_t dropped = logger_dropped (lg);
  logger_destroy (lg);

  lseek (fd, 0, SEEK_SET);
  FILE *file = fdopen (fd, "r");
  char line[2048];
  uint64_t written = 0;
  while (fgets (line, sizeof line, file))
    written += strstr (line, "event=2002") != NULL;
  fclose (file);
  ck_assert_uint_eq (written + dropped, WRITERS * LINES_PER_WRITER);
}
END_TEST

/* Guards against a request id chosen by a caller that forges a second line or
   field.  */
START_TEST (test_log_escapes)
{
  int fds[2];
  char line[2048] = "";
  ck_assert_int_eq (pipe (fds), 0);
  struct logger *lg
      = logger_create (NULL, &clock_system, fds[1], LOG_LEVEL_INFO);
  log_event (lg, EV_REQUEST_DONE, LOG_S ("request", "a\nb outcome=\"x\""));
  logger_destroy (lg);
  ck_assert_int_gt (read (fds[0], line, sizeof line - 1), 0);
  ck_assert_ptr_nonnull (strstr (line, "request=\"a\\x0ab outcome=\\\"x"));
  ck_assert_ptr_eq (strchr (line, '\n'), line + strlen (line) - 1);
  close (fds[0]);
  close (fds[1]);
}
END_TEST

static const struct
{
  int num;
  const char *name;
} events[] = {
#define EVENT(num, sym, name, level, meaning) { num, name },
#include "base/events.def"
#undef EVENT
};

/* Guards against two events with one number, of which the second is logged
   under the name of the first.  */
START_TEST (test_event_numbers_differ)
{
  for (size_t n = 0; n < sizeof events / sizeof *events; n++)
    for (size_t m = 0; m < n; m++)
      {
        ck_assert_msg (events[n].num != events[m].num, "%s and %s",
                       events[m].name, events[n].name);
        ck_assert_str_ne (events[n].name, events[m].name);
      }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("base");
  TCase *tc = tcase_create ("base");
  tcase_set_timeout (tc, 60);
  tcase_add_loop_test (tc, test_address, 0,
                       sizeof addresses / sizeof *addresses);
  tcase_add_test (tc, test_options_report_all);
  tcase_add_test (tc, test_options_order);
  tcase_add_test (tc, test_log_counts_every_line);
  tcase_add_test (tc, test_log_escapes);
  tcase_add_test (tc, test_event_numbers_differ);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
