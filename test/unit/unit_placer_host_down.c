#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/host_link.h"
#include "placer_world.h"
#include "sched/placer_priv.h"

/* A late start on a host that is shown as down.  */

#define TASK_JOB                                                              \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"estimate-ms\":900}]" \
  "}"
#define BORN_MS 1000

static struct world *wld;

static void
setup (void)
{
  wld = world_create ();
  wld->hold_born_ms = BORN_MS;
  world_add_worker (wld, "w1", BORN_MS);
  world_enrol_worker (wld, "w1");
  world_release_earlier (wld);
}

static void
teardown (void)
{
  world_destroy (wld);
}

static void
answer_stops (enum command_status status)
{
  struct world_call *stop;
  while ((stop = world_call (wld, WORLD_STOP, "w1")))
    world_answer (wld, stop, status);
}

/* Sends the start of run 1 of job 2 to w1, which does not answer it.  Returns
   when it was sent.  */
static int64_t
leave_start_unanswered (void)
{
  world_add_job (wld, 2, TASK_JOB, 200);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  int64_t sent_us = wld->clk.now_us;
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_NO_ANSWER);
  return sent_us;
}

/* w1 answers no more.  Returns when the task starts on w2.  */
static int64_t
wait_for_start_elsewhere (void)
{
  int64_t begun_us = wld->clk.now_us;
  world_add_worker (wld, "w2", BORN_MS);
  world_enrol_worker (wld, "w2");
  while (!world_call (wld, WORLD_START, "w2"))
    {
      struct world_call *hold;
      while ((hold = world_call (wld, WORLD_HOLD, "w1")))
        world_answer (wld, hold, COMMAND_NO_ANSWER);
      answer_stops (COMMAND_NO_ANSWER);
      if (world_call (wld, WORLD_HOLD, "w2"))
        world_answer (wld, world_call (wld, WORLD_HOLD, "w2"), COMMAND_DONE);
      world_confirm_ownership (wld);
      world_tick (wld, 100);
      ck_assert_int_lt (wld->clk.now_us, begun_us + 2 * WORLD_WAIT_MAX_US);
    }
  return wld->clk.now_us;
}

/* Guards against two runs of a task (TWICE): a list of hosts shows the host of
   an unanswered start as down, and its next instance carries the start out
   and is cut off.  */
START_TEST (test_late_start_after_host_is_down)
{
  struct host_report rep = { .name = "m-w1", .state = HOST_DOWN };
  int64_t sent_us = leave_start_unanswered ();
  for (int n = 0; n < 10; n++)
    {
      while (world_call (wld, WORLD_HOLD, "w1"))
        world_answer (wld, world_call (wld, WORLD_HOLD, "w1"),
                      COMMAND_NO_ANSWER);
      answer_stops (COMMAND_NO_ANSWER);
      world_confirm_ownership (wld);
      world_tick (wld, 250);
    }
  if (_i == 0)
    name_copy (rep.worker, "w1");
  placer_update_host (wld->plc, &rep, wld->clk.now_us - 100000);
  ck_assert_int_gt (wait_for_start_elsewhere (),
                    sent_us + LATE_CALL_MAX_US + WORLD_LEASE_MAX_MS * 1000);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placer_host_down");
  TCase *tc = tcase_create ("placer_host_down");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, test_late_start_after_host_is_down, 0, 2);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
