#include <check.h>
#include <stdlib.h>

#include "placer_world.h"
#include "sched/pool.h"

/* Tests of workers that end or are started again under the id that they
   had.  */

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
}

static void
teardown (void)
{
  world_destroy (wld);
}

/* Starts the task of a new job on w1.  */
static struct job *
run_job (uint64_t id)
{
  struct job *job = world_add_job (wld, id, TASK_JOB, 100 + id);
  world_tick (wld, 1);
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_DONE);
  world_tick (wld, 1);
  world_complete_append (wld);
  return job;
}

static void
list_host_as_down (void)
{
  struct host_report rep = { .state = HOST_DOWN };
  name_copy (rep.name, "m-w1");
  placer_update_host (wld->plc, &rep, wld->clk.now_us);
}

/* Makes w1 silent, with a hold that is not answered.  */
static void
lose_worker (void)
{
  world_answer (wld, world_call (wld, WORLD_HOLD, "w1"), COMMAND_NO_ANSWER);
  world_tick (wld, 300);
}

/* The answer of another worker at the address does not show that a worker
   which is reported as ended still answers.  Guards against runs that were
   never given up (LOST).  */
START_TEST (test_other_worker_at_address)
{
  run_job (1);
  lose_worker ();
  list_host_as_down ();
  world_answer (wld, world_call (wld, WORLD_HOLD, "w1"),
                COMMAND_OTHER_INSTANCE);
  world_add_worker (wld, "w2", BORN_MS);
  world_tick (wld, 1);
  world_answer_hold (wld, "w2", NULL, 0, NULL, 0);
  for (int n = 0; n < 3; n++)
    {
      struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
      if (hold)
        world_answer (wld, hold, COMMAND_OTHER_INSTANCE);
      world_confirm_ownership (wld);
      world_tick (wld, 300);
    }
  ck_assert_uint_eq (world_starts (wld, 1, 0), 2);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placer_instance");
  TCase *tc = tcase_create ("placer_instance");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_other_worker_at_address);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
