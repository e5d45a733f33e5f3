#include <check.h>
#include <string.h>

#include "placer_world.h"
#include "sched/placer_priv.h"

/* Tests of the room that is counted for runs which a worker begins late, or
   which its owner does not know.  Workers have 4 processors.  */

#define JOB_OF(cpu)                                                           \
  "{\"steps\":[{\"count\":1,\"cpu\":" cpu                                     \
  ",\"mem-mb\":64,\"estimate-ms\":900}]}"
#define PERPETUAL_JOB                                                         \
  "{\"steps\":[{\"count\":1,\"cpu\":3000,\"mem-mb\":64,\"perpetual\":true}]}"
#define SPREAD_JOB                                                            \
  "{\"steps\":[{\"count\":2,\"cpu\":1000,\"mem-mb\":64,\"estimate-ms\":900,"  \
  "\"anti-affinity\":1}]}"
#define BORN_MS 1000
#define NEXT_BORN_MS 5000000

static struct world *wld;

static void
setup (void)
{
  wld = world_create ();
  world_release_earlier (wld);
  world_add_worker (wld, "w1", BORN_MS);
  wld->hold_born_ms = BORN_MS;
  world_enrol_worker (wld, "w1");
  world_confirm_ownership (wld);
}

static void
teardown (void)
{
  world_destroy (wld);
}

static struct worker *
worker (void)
{
  return pool_find_id (&wld->plc->pool, "w1");
}

/* Passes time; w1 lists the COUNT runs of ROWS and acknowledges stops.  */
static void
pass (int64_t ms, const struct world_row *rows, size_t count)
{
  for (; ms > 0; ms -= 20)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 20);
      while (world_call (wld, WORLD_STOP, "w1"))
        world_answer (wld, world_call (wld, WORLD_STOP, "w1"), COMMAND_DONE);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", rows, count, NULL, 0);
    }
}

/* Adds a job whose start is sent, and gets no answer.  */
static void
start_without_answer (uint64_t id, const char *json)
{
  world_add_job (wld, id, json, 200);
  world_confirm_ownership (wld);
  world_tick (wld, 20);
  struct world_call *start = world_call (wld, WORLD_START, "w1");
  ck_assert_ptr_nonnull (start);
  ck_assert_uint_eq (start->task.job, id);
  world_answer (wld, start, COMMAND_NO_ANSWER);
}

/* Guards against a worker that is given more than it has (LIMIT): a start
   without an answer is carried out by the worker's next instance, and its room
   or its place in the step is used by another task.  The run may have been
   given up before the restart was known.  */
START_TEST (test_room_of_late_start)
{
  static const struct
  {
    const char *first, *second;
    bool given_up; /* before the restart is known */
    bool runs;     /* the next instance carries the start out */
  } cases[] = {
    { JOB_OF ("3000"), JOB_OF ("2000"), false, false },
    { JOB_OF ("3000"), JOB_OF ("2000"), false, true },
    { JOB_OF ("3000"), JOB_OF ("2000"), true, false },
    { JOB_OF ("3000"), JOB_OF ("2000"), true, true },
    { SPREAD_JOB, NULL, false, true },
    { SPREAD_JOB, NULL, true, true },
  };
  const struct world_row row = { .job = 1, .run = 1 };
  start_without_answer (1, cases[_i].first);
  if (cases[_i].given_up)
    {
      /* Until then the only worker takes no tasks.  */
      worker ()->avoid_until_us = INT64_MAX;
      pass (400, NULL, 0);
      ck_assert_ptr_null (worker ()->runs);
      worker ()->avoid_until_us = 0;
    }
  /* The worker has started again; its next answer tells.  */
  worker ()->next_hold_us = 0;
  worker ()->reached = false;
  wld->hold_born_ms = NEXT_BORN_MS;
  world_confirm_ownership (wld);
  placer_hold (wld->plc, worker (), wld->clk.now_us);
  ck_assert_ptr_nonnull (world_call (wld, WORLD_HOLD, "w1"));
  world_answer_hold (wld, "w1", &row, cases[_i].runs, NULL, 0);
  ck_assert_int_eq (worker ()->rep.born_ms, NEXT_BORN_MS);
  ck_assert_ptr_nonnull (worker ()->runs);
  ck_assert_uint_eq (worker ()->runs->number, 1);
  if (cases[_i].second)
    world_add_job (wld, 2, cases[_i].second, 200);
  /* The stop is acknowledged, and the run goes on for a while.  */
  if (cases[_i].runs)
    {
      pass (600, &row, 1);
      ck_assert_uint_eq (world_starts (wld, 2, 0), 0);
      ck_assert_uint_eq (world_starts (wld, 1, 1), 0);
      ck_assert_int_gt (worker ()->used.cpu_milli, 0);
    }
  pass (600, NULL, 0);
  if (cases[_i].second)
    ck_assert_uint_eq (
        world_starts (wld, 2, 0) + (world_starts (wld, 1, 0) - 1), 1);
  else
    ck_assert_uint_eq (world_starts (wld, 1, 0) - 1 + world_starts (wld, 1, 1),
                       1);
}
END_TEST

/* Guards against the same with a run of an earlier owner that this owner does
   not want, or whose job it does not know: the room counts until the worker
   lists the run no longer.  */
START_TEST (test_room_of_unwanted_run)
{
  const struct world_row rows[]
      = { { .job = 1, .run = 3 }, { .job = 9, .run = 3 } };
  const struct world_row *row = &rows[_i];
  struct job *job = world_add_job (wld, 1, JOB_OF ("3000"), 50);
  job->occurrences[0].tasks[0].prg.done = true;
  job->occurrences[0].done = 1;
  world_confirm_ownership (wld);
  worker ()->next_hold_us = 0;
  worker ()->reached = false;
  placer_hold (wld->plc, worker (), wld->clk.now_us);
  world_answer_hold (wld, "w1", row, 1, NULL, 0);
  struct world_call *stop = world_call (wld, WORLD_STOP, "w1");
  ck_assert_ptr_nonnull (stop);
  ck_assert_uint_eq (stop->task.job, row->job);
  world_add_job (wld, 2, JOB_OF ("2000"), 200);
  pass (600, row, 1);
  ck_assert_uint_eq (world_starts (wld, 2, 0), 0);
  pass (1500, NULL, 0);
  ck_assert_uint_eq (world_starts (wld, 2, 0), 1);
}
END_TEST

/* Guards against a worker that is given still more, or whose runs are stopped
   for nothing (WASTE, LIMIT): it lists more than it has, as an earlier owner's
   start was late.  The runs are kept, and it gets no other task until one has
   ended; for a perpetual task as many are stopped as it needs.  */
START_TEST (test_worker_over_its_capacity)
{
  const struct world_row rows[]
      = { { .job = 1, .run = 3 }, { .job = 2, .run = 1 } };
  world_add_job (wld, 1, JOB_OF ("3000"), 50);
  world_add_job (wld, 2, JOB_OF ("2500"), 50);
  worker ()->next_hold_us = 0;
  worker ()->reached = false;
  placer_hold (wld->plc, worker (), wld->clk.now_us);
  world_answer_hold (wld, "w1", rows, 2, NULL, 0);
  ck_assert_int_eq (worker ()->used.cpu_milli, 5500);
  world_add_job (wld, 3, _i ? PERPETUAL_JOB : JOB_OF ("500"), 200);
  world_confirm_ownership (wld);
  for (int n = 0; n < 5; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 60);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", rows, 2, NULL, 0);
    }
  size_t stops = 0;
  for (const struct run *run = worker ()->runs; run; run = run->next)
    stops += run->stop_wanted;
  ck_assert_uint_eq (stops, _i ? 2 : 0);
  ck_assert_uint_eq (world_starts (wld, 3, 0), 0);
  ck_assert_uint_eq (world_starts (wld, 1, 0) + world_starts (wld, 2, 0), 0);
  const struct world_row end
      = { .job = 1, .run = 3, .end = RUN_END_DONE, .number = 1 };
  pass (60, rows, 2);
  world_tick (wld, 60);
  world_answer_hold (wld, "w1", rows + 1, 1, &end, 1);
  world_confirm_ownership (wld);
  world_tick (wld, 20);
  ck_assert_uint_eq (world_starts (wld, 3, 0), _i ? 0 : 1);
  if (_i == 0)
    return;
  pass (600, NULL, 0);
  ck_assert_uint_eq (world_starts (wld, 3, 0), 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placer_room");
  TCase *tc = tcase_create ("placer_room");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, test_room_of_late_start, 0, 6);
  tcase_add_loop_test (tc, test_room_of_unwanted_run, 0, 2);
  tcase_add_loop_test (tc, test_worker_over_its_capacity, 0, 2);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
