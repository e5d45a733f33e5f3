#include <check.h>
#include <string.h>
#include <talloc.h>
#include <tevent.h>
#include <unistd.h>

#include "base/clock.h"
#include "base/timer.h"

/* Tests of base/timer.c.  */

#define LOOP_ITERATIONS_MAX 200
#define TIMERS_MAX 4

static struct tevent_context *ev;
static char fired[16]; /* a letter for each timer that was due */
static struct timer *timers[TIMERS_MAX];
static int restarts;

static void
setup (void)
{
  ev = tevent_context_init (NULL);
  memset (fired, 0, sizeof fired);
  memset (timers, 0, sizeof timers);
  restarts = 0;
}

static void
teardown (void)
{
  talloc_free (ev);
}

static void
note (void *arg)
{
  const char *letter = arg;
  fired[strlen (fired)] = *letter;
}

static void
run_until (size_t count)
{
  for (int n = 0; n < LOOP_ITERATIONS_MAX && strlen (fired) < count; n++)
    tevent_loop_once (ev);
}

/* Guards against timers that are due in the order in which they were added,
   and against one that is due early.  */
START_TEST (test_order)
{
  int64_t begun_us = clock_now_us (&clock_system);
  ck_assert_ptr_nonnull (timer_add (ev, ev, 30000, note, "c"));
  ck_assert_ptr_nonnull (timer_add (ev, ev, 10000, note, "a"));
  ck_assert_ptr_nonnull (timer_add (ev, ev, 20000, note, "b"));
  ck_assert_ptr_nonnull (timer_add (ev, ev, 30000, note, "d"));
  run_until (4);
  ck_assert_str_eq (fired, "abcd");
  ck_assert_int_ge (clock_now_us (&clock_system) - begun_us, 30000);
}
END_TEST

static void
cancel_others (void *arg)
{
  note (arg);
  for (int n = 0; n < TIMERS_MAX; n++)
    TALLOC_FREE (timers[n]);
}

/* Guards against the use of a timer that was freed: by the callback of another
   one that is due at the same time, with its parent, or after the event
   context.  */
START_TEST (test_freed)
{
  void *parent = talloc_new (NULL);
  timer_add (ev, ev, 0, cancel_others, "a");
  for (int n = 0; n < TIMERS_MAX; n++)
    timers[n] = timer_add (ev, ev, 0, note, "x");
  timer_add (ev, parent, 1000, note, "y");
  TALLOC_FREE (parent);
  timer_add (ev, ev, 5000, note, "b");
  run_until (2);
  ck_assert_str_eq (fired, "ab");
  struct timer *tmr = timer_add (ev, NULL, 0, note, "z");
  talloc_free (ev);
  talloc_free (tmr);
  ev = tevent_context_init (NULL);
  ck_assert_str_eq (fired, "ab");
}
END_TEST

static void
restart (void *arg)
{
  restarts++;
  if (!*fired)
    timer_add (ev, ev, 0, restart, NULL);
}

static void
on_readable (struct tevent_context *ctx, struct tevent_fd *fde, uint16_t flags,
             void *arg)
{
  note (arg);
}

/* Guards against a loop that serves no sockets while a callback keeps adding
   timers without a delay.  */
START_TEST (test_no_delay)
{
  int fds[2];
  ck_assert_int_eq (pipe (fds), 0);
  struct tevent_fd *fde
      = tevent_add_fd (ev, ev, fds[0], TEVENT_FD_READ, on_readable, "r");
  timer_add (ev, ev, 0, restart, NULL);
  ck_assert_int_eq (write (fds[1], "1", 1), 1);
  run_until (1);
  ck_assert_str_eq (fired, "r");
  ck_assert_int_lt (restarts, LOOP_ITERATIONS_MAX);
  talloc_free (fde);
  close (fds[0]);
  close (fds[1]);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("timer");
  TCase *tc = tcase_create ("timer");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_order);
  tcase_add_test (tc, test_freed);
  tcase_add_test (tc, test_no_delay);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
