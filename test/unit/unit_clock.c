#include <check.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include "base/clock.h"
#include "member/common_clock.h"
#include "placer_world.h"

/* Tests of the clocks of base/clock.c and member/common_clock.c, and of an
   owner that they tell about a suspension of its machine.  */

#define SUSPENDED_S 20

static time_t suspended_s; /* how long the machine was suspended so far */

/* Replaces the C library's function.  */
int
clock_gettime (clockid_t id, struct timespec *ts)
{
  int err = (int)syscall (SYS_clock_gettime, id, ts);
  if (err == 0 && id != CLOCK_MONOTONIC)
    ts->tv_sec += suspended_s;
  return err;
}

/* Guards against two owners: one that was suspended took its ownership for
   confirmed a moment ago, although its successor had waited for that to pass,
   and started tasks on workers that the successor had not reached.  */
START_TEST (test_suspended_owner)
{
  struct world *wld = world_create ();
  int64_t ahead_us = wld->clk.now_us - clock_now_us (&clock_system);
  world_add_worker (wld, "w1", 1000);
  world_enrol_worker (wld, "w1");
  world_confirm_ownership (wld);
  suspended_s += SUSPENDED_S;
  wld->clk.now_us = clock_now_us (&clock_system) + ahead_us;
  world_add_job (wld, 1, "{\"steps\":[{\"count\":1,\"cpu\":1000}]}", 200);
  world_tick (wld, 1);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 1);
  world_destroy (wld);
}
END_TEST

/* Guards against work that is due at a time of day and begins early, or late
   by as much, while the time of day here is set wrong.  */
START_TEST (test_time_of_day_set_wrong)
{
  static const struct
  {
    int64_t own_ms; /* by which this process's time of day is wrong */
    int64_t wall_ms;
  } cases[] = {
    { 0, 5000 },    { 1000, 6000 },  { -1000, 4000 },
    { 6000, 5000 }, { -6000, 5000 },
  };
  for (size_t n = 0; n < sizeof cases / sizeof *cases; n++)
    {
      struct clock_manual own;
      struct common_clock com;
      clock_manual_init (&own, 1000000);
      common_clock_init (&com, &own.clk);
      ck_assert_int_eq (clock_wall_ms (&com.clk), 1000);
      common_clock_set (&com, 3000000);
      own.now_us += 1000000;
      own.wall_ahead_us = 3000000 + cases[n].own_ms * 1000;
      ck_assert_int_eq (clock_wall_ms (&com.clk), cases[n].wall_ms);
      ck_assert_int_eq (clock_now_us (&com.clk), 2000000);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("clock");
  TCase *tc = tcase_create ("clock");
  tcase_add_test (tc, test_suspended_owner);
  tcase_add_test (tc, test_time_of_day_set_wrong);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
