#include <check.h>
#include <stdlib.h>

#include "job/job_codec.h"
#include "job_help.h"
#include "placer_world.h"
#include "sched/placer_priv.h"

/* Tests of runs that are to be stopped while their worker restarts under its
   id.  */

#define TASK_JOB                                                              \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"perpetual\":true}]}"
#define BORN_MS 1000
#define NEXT_BORN_MS 900000
/* A task runs again within this time once its worker answers.  */
#define AGAIN_MS 3000

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

/* Adds job 2, whose start on w1 has no answer.  w1 does not list the run, so
   that it is to be stopped.  */
static void
leave_start_unanswered (void)
{
  world_add_job (wld, 2, TASK_JOB, 200);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  world_record_runs (wld);
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_NO_ANSWER);
  ck_assert_ptr_null (world_call (wld, WORLD_STOP, "w1"));
  world_tick (wld, 1);
  world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
  ck_assert_ptr_nonnull (world_call (wld, WORLD_STOP, "w1"));
  ck_assert_uint_eq (world_starts (wld, 2, 0), 1);
}

/* w1 answers all calls, runs nothing, and refuses no start.  Plays until a
   further start of job 2 is sent, for MS at most.  */
static bool
started_again (size_t starts, int64_t ms)
{
  for (int64_t left = ms; left > 0; left -= 50)
    {
      struct world_call *call;
      world_confirm_ownership (wld);
      world_tick (wld, 50);
      world_record_runs (wld);
      while ((call = world_call (wld, WORLD_STOP, "w1")))
        world_answer (wld, call, COMMAND_DONE);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
      if (world_starts (wld, 2, 0) > starts)
        return true;
    }
  return false;
}

/* Plays until the owner knows of the restart of w1.  */
static void
learn_restart (void)
{
  const struct worker *wrk = pool_find_id (&wld->plc->pool, "w1");
  for (int n = 0; n < 40 && wrk->rep.born_ms != wld->hold_born_ms; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 50);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
    }
  ck_assert_int_eq (wrk->rep.born_ms, wld->hold_born_ms);
}

/* Guards against a task that never runs again (LOST): the stop of its run was
   acknowledged, and after the restart of the worker became known it was wanted
   again and not sent.  */
START_TEST (test_stop_acknowledged_before_restart_known)
{
  leave_start_unanswered ();
  world_answer (wld, world_call (wld, WORLD_STOP, "w1"), COMMAND_DONE);
  world_confirm_ownership (wld);
  world_tick (wld, 50);
  wld->hold_born_ms = NEXT_BORN_MS;
  if (_i == 1)
    world_add_worker (wld, "w1", NEXT_BORN_MS);
  learn_restart ();
  ck_assert (started_again (1, AGAIN_MS));
}
END_TEST

/* Guards against a second run of a task (TWICE): a stop that the earlier
   instance acknowledged says nothing about the next one, which may still carry
   out the start.  */
START_TEST (test_stop_acknowledged_by_earlier_instance)
{
  leave_start_unanswered ();
  struct world_call *stop = world_call (wld, WORLD_STOP, "w1");
  ck_assert_ptr_nonnull (stop);
  wld->hold_born_ms = NEXT_BORN_MS;
  if (_i == 1)
    world_add_worker (wld, "w1", NEXT_BORN_MS);
  learn_restart ();
  world_answer (wld, stop, COMMAND_DONE);
  for (int n = 0; n < 20; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 50);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
      ck_assert_uint_eq (world_starts (wld, 2, 0), 1);
    }
  ck_assert (started_again (1, AGAIN_MS));
}
END_TEST

/* Guards against a stop that is wanted again at the second of two instances in
   a row, and that nobody sends (LOST).  The second restart comes while the
   stop, or the hold after it, has no answer.  */
START_TEST (test_stop_at_second_restart)
{
  leave_start_unanswered ();
  world_answer (wld, world_call (wld, WORLD_STOP, "w1"), COMMAND_DONE);
  world_confirm_ownership (wld);
  world_tick (wld, 50);
  wld->hold_born_ms = NEXT_BORN_MS;
  learn_restart ();
  world_confirm_ownership (wld);
  world_tick (wld, 50);
  struct world_call *stop = world_call (wld, WORLD_STOP, "w1");
  ck_assert_ptr_nonnull (stop);
  world_answer (wld, stop, _i ? COMMAND_DONE : COMMAND_NO_ANSWER);
  world_confirm_ownership (wld);
  world_tick (wld, 50);
  wld->hold_born_ms = NEXT_BORN_MS + 1000;
  learn_restart ();
  ck_assert_uint_eq (world_starts (wld, 2, 0), 1);
  ck_assert (started_again (1, AGAIN_MS));
}
END_TEST

/* Guards against a second run of a task (TWICE): its start has no answer, and
   the worker restarts.  If the earlier instance has not listed the run, the
   next one may still carry the start out.  Otherwise nothing is left of it, as
   it was sent once, and the task starts again without a stop (LOST).  */
START_TEST (test_unanswered_start_over_restart)
{
  static const struct
  {
    size_t listed; /* the earlier instance has listed the run */
    bool reported; /* the worker's report tells of the restart */
  } cases[] = { { 1, false }, { 1, true }, { 0, false }, { 0, true } };
  const struct world_row row = { .job = 2, .run = 1 };
  world_add_job (wld, 2, TASK_JOB, 200);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_NO_ANSWER);
  world_tick (wld, 300);
  if (cases[_i].listed)
    world_answer_hold (wld, "w1", &row, 1, NULL, 0);
  wld->hold_born_ms = NEXT_BORN_MS;
  if (cases[_i].reported)
    world_add_worker (wld, "w1", NEXT_BORN_MS);
  learn_restart ();
  for (int n = 0; n < 20; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 50);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
      if (!cases[_i].listed)
        ck_assert_uint_eq (world_starts (wld, 2, 0), 1);
    }
  ck_assert_uint_eq (world_starts (wld, 2, 0), 1 + cases[_i].listed);
  ck_assert (!!world_call (wld, WORLD_STOP, "w1") == !cases[_i].listed);
  ck_assert (cases[_i].listed || started_again (1, AGAIN_MS));
}
END_TEST

/* Guards against a task that waits longer than its run, for up to 10 s if the
   worker is cut off meanwhile: a hold waited for the end of a run that the
   worker does not have, as its stop came before its start.  */
START_TEST (test_hold_beside_stop_of_unknown_run)
{
  const int64_t wait_most_ms = _i ? 50 : 0;
  started_again (0, 8000);
  ck_assert (pool_find_id (&wld->plc->pool, "w1")->settled);
  leave_start_unanswered ();
  if (_i == 0)
    world_answer (wld, world_call (wld, WORLD_STOP, "w1"), COMMAND_DONE);
  world_confirm_ownership (wld);
  world_tick (wld, 50);
  struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
  ck_assert_ptr_nonnull (hold);
  ck_assert_int_le (hold->wait_ms, wait_most_ms);
  world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
  ck_assert (started_again (1, 200));
}
END_TEST

/* Guards against a stop that is not sent again after an answer which leaves
   open whether it had an effect, or after the owner held it back.  */
START_TEST (test_stop_repeated)
{
  static const enum command_status statuses[]
      = { COMMAND_NO_ANSWER,   COMMAND_NOT_SENT,       COMMAND_REJECTED,
          COMMAND_WORKER_BUSY, COMMAND_OTHER_INSTANCE, COMMAND_STALE_RUN };
  leave_start_unanswered ();
  world_answer (wld, world_call (wld, WORLD_STOP, "w1"), statuses[_i]);
  /* The owner sends nothing while its ownership is not confirmed.  */
  world_tick (wld, WORLD_CONFIRM_MS);
  ck_assert_ptr_null (world_call (wld, WORLD_STOP, "w1"));
  world_confirm_ownership (wld);
  world_tick (wld, 50);
  ck_assert_ptr_nonnull (world_call (wld, WORLD_STOP, "w1"));
  ck_assert (started_again (1, AGAIN_MS));
}
END_TEST

/* How the stop of the unanswered start ends, after the run was listed.  */
enum stop_answer
{
  STOP_LOST,          /* no answer, before the run is listed */
  STOP_LOST_TWICE,    /* so is the next one */
  STOP_DONE_BEFORE,   /* acknowledged before */
  STOP_DONE_AFTER,    /* acknowledged after the run was listed */
  STOP_LOST_CANCELLED /* no answer, and the job is cancelled */
};

/* Guards against a run that is ended while others of its step are away
   (AVAIL), and whose task has to be started again: its start was carried out
   after a hold that did not list it, and its stop had no effect.  */
START_TEST (test_listed_before_stop_is_acknowledged)
{
  static const struct world_row row = { .job = 2, .run = 1 };
  static const struct world_row stopped
      = { .job = 2, .run = 1, .end = RUN_END_STOPPED, .number = 1 };
  const enum stop_answer answer = _i;
  bool kept = answer == STOP_LOST || answer == STOP_LOST_TWICE;
  leave_start_unanswered ();
  struct world_call *stop = world_call (wld, WORLD_STOP, "w1");
  if (answer == STOP_DONE_BEFORE)
    world_answer (wld, stop, COMMAND_DONE);
  else if (answer != STOP_DONE_AFTER)
    world_answer (wld, stop, COMMAND_NO_ANSWER);
  if (answer == STOP_LOST_TWICE)
    {
      world_tick (wld, 50);
      world_answer (wld, world_call (wld, WORLD_STOP, "w1"),
                    COMMAND_NO_ANSWER);
    }
  if (answer == STOP_LOST_CANCELLED)
    {
      static const uint8_t mark[] = { 1 };
      help_fold (&wld->jobs, wld, JOB_KEY_CANCEL, 2, mark, sizeof mark);
      placer_update_job (wld->plc, job_table_find (&wld->jobs, 2),
                         JOB_CHANGE_CANCELLED);
    }
  if (!world_call (wld, WORLD_HOLD, "w1"))
    world_tick (wld, 300);
  world_answer_hold (wld, "w1", &row, 1, NULL, 0);
  if (answer == STOP_DONE_AFTER)
    world_answer (wld, stop, COMMAND_DONE);
  /* It may have been sent again before the run was listed.  */
  struct world_call *call = world_call (wld, WORLD_STOP, "w1");
  if (call)
    world_answer (wld, call, COMMAND_NO_ANSWER);
  size_t stops = 0;
  for (int n = 0; n < 40; n++)
    {
      bool ends = answer == STOP_DONE_AFTER || answer == STOP_DONE_BEFORE;
      world_confirm_ownership (wld);
      world_tick (wld, 50);
      world_record_runs (wld);
      while ((call = world_call (wld, WORLD_STOP, "w1")))
        {
          stops++;
          world_answer (wld, call, COMMAND_NO_ANSWER);
        }
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", &row, !ends, &stopped, ends);
    }
  ck_assert (!kept || stops == 0);
  ck_assert (answer != STOP_LOST_CANCELLED || stops > 0);
  ck_assert_uint_eq (world_starts (wld, 2, 0),
                     kept || answer == STOP_LOST_CANCELLED ? 1 : 2);
}
END_TEST

/* Guards against a gang that waits for ever (LOST) for the end of one member
   on a worker that has restarted, while the other runs elsewhere.  */
START_TEST (test_gang_on_two_instances)
{
  static const char *const ids[] = { "w1", "w2" };
  struct world_call *call;
  world_add_worker (wld, "w2", BORN_MS);
  world_enrol_worker (wld, "w2");
  world_add_job (
      wld, 2, "{\"steps\":[{\"count\":2,\"cpu\":3000,\"gang\":true}]}", 200);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  ck_assert_ptr_nonnull (world_call (wld, WORLD_START, "w1"));
  ck_assert_ptr_nonnull (world_call (wld, WORLD_START, "w2"));
  uint32_t index = world_call (wld, WORLD_START, "w2")->task.index;
  int64_t sent_us = wld->clk.now_us;
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_NO_ANSWER);
  world_tick (wld, 1);
  world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
  world_answer (wld, world_call (wld, WORLD_STOP, "w1"), COMMAND_DONE);
  world_answer (wld, world_call (wld, WORLD_START, "w2"), COMMAND_DONE);
  world_confirm_ownership (wld);
  world_tick (wld, 50);
  /* Only w1 restarts.  */
  world_add_worker (wld, "w1", NEXT_BORN_MS);
  bool stopped = false;
  int64_t restarted_us = wld->clk.now_us;
  while (world_starts (wld, 2, index) < 2)
    {
      ck_assert (stopped || wld->clk.now_us < restarted_us + AGAIN_MS * 1000);
      ck_assert_int_lt (wld->clk.now_us,
                        sent_us + LATE_CALL_MAX_US + AGAIN_MS * 1000);
      world_confirm_ownership (wld);
      world_tick (wld, 50);
      for (int k = 0; k < 2; k++)
        {
          const struct world_row row = { .job = 2, .index = index, .run = 1 };
          while ((call = world_call (wld, WORLD_STOP, ids[k])))
            {
              stopped = stopped || k == 1;
              world_answer (wld, call, COMMAND_DONE);
            }
          wld->hold_born_ms = k == 0 ? NEXT_BORN_MS : BORN_MS;
          if (world_call (wld, WORLD_HOLD, ids[k]))
            world_answer_hold (wld, ids[k], &row, k == 1 && !stopped, NULL, 0);
        }
    }
  ck_assert (stopped);
  /* The start without an answer could still begin a run.  */
  ck_assert_int_gt (wld->clk.now_us, sent_us + LATE_CALL_MAX_US);
  ck_assert_ptr_nonnull (world_call (wld, WORLD_START, "w1"));
  call = world_call (wld, WORLD_START, "w2");
  ck_assert_ptr_nonnull (call);
  ck_assert_uint_eq (call->run, world_call (wld, WORLD_START, "w1")->run);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("placer_stop");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, test_stop_acknowledged_before_restart_known, 0, 2);
  tcase_add_loop_test (tc, test_stop_acknowledged_by_earlier_instance, 0, 2);
  tcase_add_loop_test (tc, test_stop_at_second_restart, 0, 2);
  tcase_add_loop_test (tc, test_unanswered_start_over_restart, 0, 4);
  tcase_add_loop_test (tc, test_hold_beside_stop_of_unknown_run, 0, 2);
  tcase_add_loop_test (tc, test_stop_repeated, 0, 6);
  tcase_add_loop_test (tc, test_listed_before_stop_is_acknowledged, 0, 5);
  tcase_add_test (tc, test_gang_on_two_instances);
  Suite *suite = suite_create ("placer_stop");
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
