#include <check.h>
#include <stdlib.h>

#include "placer_world.h"
#include "sched/pool.h"

/* Tests of workers that end or are started again under the id that they
   had.  */

#define TASK_JOB                                                              \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"estimate-ms\":900}]" \
  "}"
#define PERPETUAL_JOB                                                         \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"perpetual\":true}]}"
#define BORN_MS 1000
#define NEXT_BORN_MS 900000

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

/* Runs a job on w1 to its end, whose number is acknowledged.  */
static void
complete_job (uint64_t id, uint64_t number)
{
  const struct world_row end
      = { .job = id, .run = 1, .end = RUN_END_DONE, .number = number };
  struct job *job = run_job (id);
  world_answer_hold (wld, "w1", NULL, 0, &end, 1);
  world_tick (wld, 50);
  world_complete_append (wld);
  world_tick (wld, 50);
  world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
  world_tick (wld, 50);
  ck_assert_int_eq (job->state, JOB_COMPLETED);
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

enum sign
{
  SIGN_HOLD,   /* an answer to a hold */
  SIGN_REPORT, /* the worker's report */
  SIGN_HOST,   /* the host list, then the report */
};

/* A worker that was started again under its id runs nothing, and numbers its
   ends anew, whichever sign of the start is seen first.  Guards against ends
   that were taken for ones seen before, so that a task which was done ran
   again (TWICE).  */
START_TEST (test_restart_under_same_id)
{
  complete_job (1, 1);
  complete_job (2, 2);
  run_job (3);
  lose_worker ();
  if (_i == SIGN_HOST)
    list_host_as_down ();
  if (_i != SIGN_HOLD)
    world_add_worker (wld, "w1", NEXT_BORN_MS);
  wld->hold_born_ms = NEXT_BORN_MS;
  for (int n = 0; n < 4 && world_starts (wld, 3, 0) == 1; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 300);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
      world_confirm_ownership (wld);
      world_tick (wld, 60);
    }
  ck_assert_uint_eq (world_starts (wld, 3, 0), 2);
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_DONE);
  world_tick (wld, 300);
  const struct world_row end
      = { .job = 3, .run = 2, .end = RUN_END_DONE, .number = 1 };
  world_answer_hold (wld, "w1", NULL, 0, &end, 1);
  ck_assert_int_eq (job_table_find (&wld->jobs, 3)->state, JOB_COMPLETED);
  world_tick (wld, 300);
  ck_assert_uint_eq (world_starts (wld, 3, 0), 2);
}
END_TEST

/* A run that was started on the new instance before the restart was noticed is
   kept.  Guards against a second run of the task (TWICE).  */
START_TEST (test_start_on_unnoticed_instance)
{
  const struct world_row row = { .job = 2, .run = 1 };
  complete_job (1, 1);
  wld->hold_born_ms = NEXT_BORN_MS;
  run_job (2);
  for (int n = 0; n < 4; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 60);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", &row, 1, NULL, 0);
    }
  ck_assert_uint_eq (world_starts (wld, 2, 0), 1);
}
END_TEST

/* The same if the worker's report tells of the restart before it answers a
   hold: its next answer shows whether it runs the task.  */
START_TEST (test_start_before_report_of_instance)
{
  const struct world_row row = { .job = 2, .run = 1 };
  complete_job (1, 1);
  run_job (2);
  world_add_worker (wld, "w2", BORN_MS);
  world_enrol_worker (wld, "w2");
  wld->hold_born_ms = NEXT_BORN_MS;
  world_add_worker (wld, "w1", NEXT_BORN_MS);
  world_answer (wld, world_call (wld, WORLD_HOLD, "w1"), COMMAND_NO_ANSWER);
  for (int n = 0; n < 3; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 300);
      ck_assert_uint_eq (world_starts (wld, 2, 0), 1);
    }
  for (int n = 0; n < 3; n++)
    {
      world_answer_hold (wld, "w1", &row, _i, NULL, 0);
      world_confirm_ownership (wld);
      world_tick (wld, 1100);
    }
  ck_assert_uint_eq (world_starts (wld, 2, 0), _i ? 1 : 2);
}
END_TEST

/* A start without an answer may be carried out seconds later, by the new
   instance of a worker that was started again under its id.  Guards against a
   second run beside it (TWICE): the run is stopped there first.  */
START_TEST (test_unanswered_start_before_restart)
{
  complete_job (1, 1);
  world_add_worker (wld, "w2", BORN_MS);
  world_tick (wld, 1);
  world_answer_hold (wld, "w2", NULL, 0, NULL, 0);
  world_add_job (wld, 2, PERPETUAL_JOB, 200);
  world_tick (wld, 1);
  world_tick (wld, 1);
  const char *worker = world_call (wld, WORLD_START, "w1") ? "w1" : "w2";
  world_answer (wld, world_call (wld, WORLD_START, worker), COMMAND_NO_ANSWER);
  size_t starts = world_starts (wld, 2, 0);
  world_add_worker (wld, worker, NEXT_BORN_MS);
  wld->hold_born_ms = NEXT_BORN_MS;
  for (int n = 0; n < 4; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 300);
      if (world_call (wld, WORLD_HOLD, worker))
        world_answer_hold (wld, worker, NULL, 0, NULL, 0);
      ck_assert_uint_eq (world_starts (wld, 2, 0), starts);
    }
  struct world_call *stop;
  while ((stop = world_call (wld, WORLD_STOP, worker)))
    world_answer (wld, stop, COMMAND_DONE);
  for (int n = 0; n < 4; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 300);
      if (world_call (wld, WORLD_HOLD, worker))
        world_answer_hold (wld, worker, NULL, 0, NULL, 0);
    }
  ck_assert_uint_gt (world_starts (wld, 2, 0), starts);
}
END_TEST

/* A worker that was silent may have been started again, and would forget its
   own ends up to the number that the earlier instance had reached.  */
START_TEST (test_no_acknowledgement_after_silence)
{
  const struct world_row end
      = { .job = 1, .run = 1, .end = RUN_END_DONE, .number = 5 };
  run_job (1);
  world_answer_hold (wld, "w1", NULL, 0, &end, 1);
  world_tick (wld, 50);
  world_complete_append (wld);
  world_tick (wld, 50);
  struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
  ck_assert_uint_eq (hold->last_seen, 5);
  lose_worker ();
  hold = world_call (wld, WORLD_HOLD, "w1");
  ck_assert_ptr_nonnull (hold);
  ck_assert_uint_eq (hold->last_seen, 0);
}
END_TEST

/* Whether the holds that are sent from now on acknowledge no ends, until one
   is answered by the new instance and the runs of the earlier one are given
   up.  The new instance runs task 1 of JOB.  */
static void
expect_no_acknowledgement (uint64_t job)
{
  const struct world_row row = { .job = job, .run = 1 };
  wld->hold_born_ms = NEXT_BORN_MS;
  for (int n = 0; n < 4; n++)
    {
      struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
      if (hold)
        {
          ck_assert_uint_eq (hold->last_seen, 0);
          world_answer_hold (wld, "w1", &row, 1, NULL, 0);
        }
      world_tick (wld, 300);
      world_complete_append (wld);
    }
}

/* Guards against ends that a worker which was started again under its id
   forgets before they are read, so that a task which was done runs again.  The
   acknowledged number is that of an end on the earlier instance, and a start
   is answered before a hold shows the restart.  */
START_TEST (test_no_acknowledgement_to_next_instance)
{
  const struct world_row end
      = { .job = 2, .run = 1, .end = RUN_END_DONE, .number = 6 };
  complete_job (1, 5);
  if (_i == 1)
    {
      /* The restart breaks off the hold that acknowledges an end.  */
      run_job (2);
      world_answer_hold (wld, "w1", NULL, 0, &end, 1);
      world_tick (wld, 50);
      world_complete_append (wld);
      world_tick (wld, 50);
      struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
      ck_assert_uint_eq (hold->last_seen, 6);
      world_answer (wld, hold, COMMAND_NO_ANSWER);
    }
  run_job (3);
  expect_no_acknowledgement (3);
}
END_TEST

/* The same when an answer of the earlier instance comes after the report of
   its successor.  */
START_TEST (test_late_answer_of_earlier_instance)
{
  const struct world_row end
      = { .job = 2, .run = 1, .end = RUN_END_DONE, .number = 2 };
  complete_job (1, 1);
  run_job (2);
  ck_assert_ptr_nonnull (world_call (wld, WORLD_HOLD, "w1"));
  world_add_worker (wld, "w1", NEXT_BORN_MS);
  world_confirm_ownership (wld);
  wld->log_inconsistent = true;
  world_tick (wld, 1);
  world_answer_hold (wld, "w1", NULL, 0, &end, 1);
  world_tick (wld, 50);
  world_complete_append (wld);
  world_tick (wld, 300);
  struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
  ck_assert_ptr_nonnull (hold);
  ck_assert_uint_eq (hold->last_seen, 0);
}
END_TEST

/* Guards against a task that waits without end (LOST) for a worker which
   refuses holds for longer than a lease: it extends no lease meanwhile.  */
START_TEST (test_worker_refuses_holds)
{
  static const enum command_status statuses[]
      = { COMMAND_WORKER_BUSY, COMMAND_REJECTED };
  run_job (1);
  world_add_worker (wld, "w2", BORN_MS);
  world_tick (wld, 1);
  world_answer_hold (wld, "w2", NULL, 0, NULL, 0);
  int64_t refused_us = wld->clk.now_us;
  for (int n = 0; n < 60 && world_starts (wld, 1, 0) == 1; n++)
    {
      struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
      if (hold)
        world_answer (wld, hold, statuses[_i]);
      world_confirm_ownership (wld);
      world_tick (wld, 300);
    }
  ck_assert_uint_eq (world_starts (wld, 1, 0), 2);
  ck_assert_int_gt (wld->clk.now_us, refused_us + WORLD_LEASE_MS * 1000);
}
END_TEST

/* Guards against two runs of a task: a start that names the end of its lease
   by the clock of the worker's earlier instance lasts as long as the worker
   allows.  If its answer is lost, nothing shows that.  */
START_TEST (test_lease_by_clock_of_next_instance)
{
  const int64_t clock_ms = 200; /* of the new instance */
  complete_job (1, 1);
  world_add_worker (wld, "w1", NEXT_BORN_MS);
  world_confirm_ownership (wld);
  world_add_job (wld, 2, TASK_JOB, 200);
  for (int n = 0; n < 4 && world_starts (wld, 2, 0) == 0; n++)
    {
      const struct hold_result res
          = { .command = { .status = COMMAND_DONE, .clock_ms = clock_ms },
              .born_ms = NEXT_BORN_MS };
      struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
      if (hold)
        {
          hold->answered = true;
          hold->hold_fn (hold->arg, &res);
        }
      world_tick (wld, 60);
    }
  struct world_call *start = world_call (wld, WORLD_START, "w1");
  ck_assert_ptr_nonnull (start);
  ck_assert_int_le (start->lease_end_ms, clock_ms + WORLD_LEASE_MS + 1000);
}
END_TEST

/* Guards against two runs of a task: its start got no answer, and the worker,
   which had restarted unnoticed, became silent.  The lease that the start
   names by the clock of the earlier instance is the longest one there.  */
START_TEST (test_unanswered_start_on_silent_worker)
{
  world_add_worker (wld, "w2", BORN_MS);
  world_tick (wld, 1);
  world_answer_hold (wld, "w2", NULL, 0, NULL, 0);
  world_tick (wld, 1);
  world_add_job (wld, 1, TASK_JOB, 200);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  const char *worker = world_call (wld, WORLD_START, "w1") ? "w1" : "w2";
  int64_t sent_us = wld->clk.now_us;
  for (;;)
    {
      struct world_call *call;
      while ((call = world_call (wld, WORLD_START, worker))
             || (call = world_call (wld, WORLD_HOLD, worker))
             || (call = world_call (wld, WORLD_STOP, worker)))
        {
          if (call->kind == WORLD_START)
            sent_us = wld->clk.now_us;
          world_answer (wld, call, COMMAND_NO_ANSWER);
        }
      if (wld->clk.now_us
          >= sent_us + LATE_CALL_MAX_US + WORLD_LEASE_MAX_MS * 1000)
        break;
      ck_assert_ptr_null (
          world_call (wld, WORLD_START, worker[1] == '1' ? "w2" : "w1"));
      world_confirm_ownership (wld);
      world_tick (wld, 300);
    }
  for (int n = 0; n < 3; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 300);
    }
  ck_assert_ptr_nonnull (
      world_call (wld, WORLD_START, worker[1] == '1' ? "w2" : "w1"));
}
END_TEST

/* Time by a clock that runs at PERCENT of the true speed since START_US.  */
static int64_t
slow_clock_ms (int64_t start_us, int percent)
{
  return start_us / 1000 + (wld->clk.now_us - start_us) / 1000 * percent / 100;
}

/* Guards against a lease that lasts longer at the worker than a later owner
   waits for (TWICE): a worker's clock may be slow, and its time is estimated
   from an answer that may be minutes old when the worker was idle.  */
START_TEST (test_lease_after_idle_time)
{
  static const struct
  {
    int64_t idle_ms;
    int percent; /* speed of the worker's clock */
  } cases[] = { { 0, 98 },      { 9000, 98 },   { 88000, 98 },
                { 88000, 100 }, { 600000, 98 }, { 600000, 100 } };
  const int percent = cases[_i].percent;
  int64_t start_us = wld->clk.now_us;
  for (int64_t ms = 0; ms <= cases[_i].idle_ms + 200; ms += 100)
    {
      const struct hold_result res
          = { .command = { .status = COMMAND_DONE,
                           .clock_ms = slow_clock_ms (start_us, percent) },
              .born_ms = BORN_MS };
      struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
      if (hold)
        {
          hold->answered = true;
          hold->hold_fn (hold->arg, &res);
        }
      world_confirm_ownership (wld);
      world_tick (wld, 100);
    }
  world_add_job (wld, 1, TASK_JOB, 200);
  world_tick (wld, 1);
  struct world_call *start = world_call (wld, WORLD_START, "w1");
  ck_assert_ptr_nonnull (start);
  int64_t lease_ms = start->lease_end_ms - slow_clock_ms (start_us, percent);
  ck_assert_int_le (lease_ms, WORLD_LEASE_MS);
  ck_assert_int_ge (lease_ms, WORLD_LEASE_MS * 9 / 10);
}
END_TEST

/* Guards against a lease that outlasts a takeover (TWICE): the worker has
   restarted since its report, so a lease by the clock in the report is the
   longest one, and the hold that extends it gets no answer.  */
START_TEST (test_no_lease_before_first_answer)
{
  const struct world_row row = { .job = 1, .run = 1 };
  world_take_over (wld, 9, 300);
  world_add_job (wld, 1, TASK_JOB, 50);
  world_add_worker (wld, "w1", BORN_MS);
  for (int n = 0; n < 3; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 300);
      struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
      ck_assert_ptr_nonnull (hold);
      ck_assert_int_eq (hold->lease_end_ms, 0);
      world_answer (wld, hold, COMMAND_NO_ANSWER);
    }
  world_tick (wld, 300);
  world_answer_hold (wld, "w1", &row, 1, NULL, 0);
  world_tick (wld, 1);
  ck_assert_int_gt (world_call (wld, WORLD_HOLD, "w1")->lease_end_ms, 0);
}
END_TEST

/* Answers CALL as the next instance of its worker, whose clock has begun
   anew.  */
static void
answer_as_next_instance (struct world_call *call,
                         const struct running_row *run)
{
  const struct hold_result res
      = { .command = { .status = COMMAND_DONE, .clock_ms = 200 },
          .born_ms = NEXT_BORN_MS,
          .running = run,
          .running_count = run != NULL };
  ck_assert_ptr_nonnull (call);
  call->answered = true;
  if (call->hold_fn)
    call->hold_fn (call->arg, &res);
  else
    call->fn (call->arg, &res.command);
}

/* Leaves the calls to WORKER without an answer until the task of JOB is
   started on another worker.  Returns when that is.  */
static int64_t
silent_until_start (const char *worker, uint64_t job)
{
  const size_t starts = world_starts (wld, job, 0);
  const int64_t silent_us = wld->clk.now_us;
  while (world_starts (wld, job, 0) == starts)
    {
      struct world_call *call;
      while ((call = world_call (wld, WORLD_HOLD, worker))
             || (call = world_call (wld, WORLD_STOP, worker)))
        world_answer (wld, call, COMMAND_NO_ANSWER);
      world_confirm_ownership (wld);
      world_tick (wld, 100);
      ck_assert_int_lt (wld->clk.now_us, silent_us + WORLD_WAIT_MAX_US);
    }
  return wld->clk.now_us;
}

/* Adds a second worker, for runs that are started again.  */
static void
add_other_worker (void)
{
  /* The pool had no earlier owner.  */
  placer_limit_earlier_leases (wld->plc, wld->clk.now_us);
  world_add_worker (wld, "w2", BORN_MS);
  world_enrol_worker (wld, "w2");
}

/* Guards against two runs of a task: a hold that was sent to the worker's
   earlier instance is carried out by the next one, which runs the task, and
   gets no answer.  */
START_TEST (test_hold_in_flight_over_restart)
{
  run_job (1);
  struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
  ck_assert_int_gt (hold->lease_end_ms, 0);
  world_add_job (wld, 2, TASK_JOB, 200);
  world_tick (wld, 1);
  answer_as_next_instance (world_call (wld, WORLD_START, "w1"), NULL);
  add_other_worker ();
  world_tick (wld, 1000);
  world_answer (wld, hold, COMMAND_NO_ANSWER);
  int64_t carried_out_us = wld->clk.now_us;
  int64_t again_us = silent_until_start ("w1", 2);
  ck_assert_int_gt (again_us, carried_out_us + WORLD_LEASE_MAX_MS * 1000);
}
END_TEST

/* The same with starts, whose run the next instance lists before it becomes
   silent.  */
START_TEST (test_unanswered_start_listed_by_next_instance)
{
  const struct running_row run
      = { .task = { .job = 1 }, .run = 1, .percent = 100, .checkpoint = "" };
  struct world_call *start;
  world_add_job (wld, 1, TASK_JOB, 200);
  world_tick (wld, 1);
  while ((start = world_call (wld, WORLD_START, "w1")))
    world_answer (wld, start, COMMAND_NO_ANSWER);
  int64_t carried_out_us = wld->clk.now_us;
  add_other_worker ();
  world_tick (wld, 300);
  for (int n = 0; n < 2; n++)
    {
      answer_as_next_instance (world_call (wld, WORLD_HOLD, "w1"), &run);
      world_confirm_ownership (wld);
      world_tick (wld, 100);
    }
  int64_t again_us = silent_until_start ("w1", 1);
  ck_assert_int_gt (again_us, carried_out_us + WORLD_LEASE_MAX_MS * 1000);
}
END_TEST

/* Guards against leases by the clock of an earlier instance, which are the
   longest ones: its answer to a start is read after one of its successor.  */
START_TEST (test_late_clock_of_earlier_instance)
{
  world_add_job (wld, 1, TASK_JOB, 200);
  world_add_job (wld, 2, TASK_JOB, 201);
  world_tick (wld, 1);
  struct world_call *late = world_call (wld, WORLD_START, "w1");
  ck_assert_ptr_nonnull (late);
  late->answered = true;
  answer_as_next_instance (world_call (wld, WORLD_START, "w1"), NULL);
  world_answer (wld, late, COMMAND_DONE);
  world_tick (wld, 1);
  struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
  ck_assert_ptr_nonnull (hold);
  ck_assert_int_gt (hold->lease_end_ms, 0);
  ck_assert_int_le (hold->lease_end_ms, 200 + WORLD_LEASE_MS + 1000);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placer_instance");
  TCase *tc = tcase_create ("placer_instance");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_other_worker_at_address);
  tcase_add_loop_test (tc, test_restart_under_same_id, SIGN_HOLD,
                       SIGN_HOST + 1);
  tcase_add_test (tc, test_start_on_unnoticed_instance);
  tcase_add_loop_test (tc, test_start_before_report_of_instance, 0, 2);
  tcase_add_test (tc, test_unanswered_start_before_restart);
  tcase_add_test (tc, test_no_acknowledgement_after_silence);
  tcase_add_loop_test (tc, test_no_acknowledgement_to_next_instance, 0, 2);
  tcase_add_loop_test (tc, test_worker_refuses_holds, 0, 2);
  tcase_add_test (tc, test_lease_by_clock_of_next_instance);
  tcase_add_test (tc, test_unanswered_start_on_silent_worker);
  tcase_add_loop_test (tc, test_lease_after_idle_time, 0, 6);
  tcase_add_test (tc, test_late_answer_of_earlier_instance);
  tcase_add_test (tc, test_no_lease_before_first_answer);
  tcase_add_test (tc, test_hold_in_flight_over_restart);
  tcase_add_test (tc, test_late_clock_of_earlier_instance);
  tcase_add_test (tc, test_unanswered_start_listed_by_next_instance);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
