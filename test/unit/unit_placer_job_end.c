#include <check.h>
#include <stdio.h>
#include <talloc.h>

#include "job/job_codec.h"
#include "placer_world.h"

/* The owner of a pool decides when a job has failed.  */

#define RUNS_MAX 4

static struct world *wld;
static struct queue queue;

static void
setup (void)
{
  wld = world_create ();
  queue = wld->cat.queues[0];
  wld->cat.queues = &queue;
  world_add_worker (wld, "w1", 1000);
  world_add_worker (wld, "w2", 1000);
  world_enrol_worker (wld, "w1");
  world_enrol_worker (wld, "w2");
}

static void
teardown (void)
{
  world_destroy (wld);
}

static const char *const names[] = { "w1", "w2" };

static bool
start_pending (void)
{
  return world_call (wld, WORLD_START, names[0])
         || world_call (wld, WORLD_START, names[1]);
}

/* Runs the placer, whose workers have nothing to tell, until it starts a task
   or some seconds have passed.  */
static void
run_placer (void)
{
  for (int n = 0; n < 100 && !start_pending (); n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 50);
      world_complete_append (wld);
      for (int m = 0; m < 2 && !start_pending (); m++)
        if (world_call (wld, WORLD_HOLD, names[m]))
          world_answer_hold (wld, names[m], NULL, 0, NULL, 0);
    }
}

/* Answers the start of run NUMBER, and lets it fail.  */
static void
fail_run (uint32_t number)
{
  static uint64_t ends[2];
  if (number == 1)
    ends[0] = ends[1] = 0;
  for (int n = 0; n < 2; n++)
    {
      struct world_call *call = world_call (wld, WORLD_START, names[n]);
      if (!call)
        continue;
      world_answer (wld, call, COMMAND_DONE);
      world_tick (wld, 50);
      world_complete_append (wld);
      const struct world_row end = {
        .job = 1, .run = number, .end = RUN_END_FAILED, .number = ++ends[n]
      };
      world_tick (wld, 900);
      world_answer_hold (wld, names[n], NULL, 0, &end, 1);
      world_complete_append (wld);
      return;
    }
  ck_abort_msg ("run %u was not started", number);
}

static const struct
{
  const char *name;
  uint32_t accepted_with; /* attempts when the job was accepted; 0: a record of
                             an earlier version */
  uint32_t attempts;      /* of the queue at first */
  uint32_t
      attempts_then; /* after the first failed run; 0: the queue is gone */
  uint32_t runs;     /* that are started */
} cases[] = {
  { "unchanged", 2, 2, 2, 2 },
  { "removed", 2, 2, 0, 2 },
  { "removed, of an earlier version", 0, 2, 0, 2 },
  { "raised", 2, 2, 3, 3 },
  { "lowered", 3, 3, 1, 1 },
};

/* Guards against starts beyond the attempts of the queue (BUDGET), when they
   are lowered or the route is removed after a run has failed, and against a
   failure that is not recorded.  */
START_TEST (test_attempts_change)
{
  queue.attempts = cases[_i].attempts;
  struct job *job = world_add_job (
      wld, 1, "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64}]}", 101);
  if (cases[_i].accepted_with)
    job->attempts = cases[_i].accepted_with;
  world_tick (wld, 1);
  fail_run (1);
  queue.attempts = cases[_i].attempts_then;
  wld->cat.queue_count = cases[_i].attempts_then > 0;
  run_placer ();
  for (uint32_t run = 2; run <= cases[_i].runs; run++)
    {
      fail_run (run);
      run_placer ();
    }
  ck_assert_msg (job->state == JOB_FAILED, "%s", cases[_i].name);
  ck_assert_uint_eq (world_starts (wld, 1, 0), cases[_i].runs);
  ck_assert_msg (!job->dirty, "%s: not recorded", cases[_i].name);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placer_job_end");
  TCase *tc = tcase_create ("placer_job_end");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, test_attempts_change, 0,
                       sizeof cases / sizeof *cases);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
