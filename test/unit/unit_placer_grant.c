#include <check.h>
#include <stdlib.h>

#include "placer_world.h"
#include "sched/placer_priv.h"

/* Tests of leases that a worker instance has granted before its owner has
   given up the runs of the instance before.  */

#define TASK_JOB                                                              \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"estimate-ms\":900}]" \
  "}"
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
  /* The leases of earlier owners have expired.  */
  world_release_earlier (wld);
  world_confirm_ownership (wld);
  world_tick (wld, 2 * WORLD_LEASE_MAX_MS);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
}

static void
teardown (void)
{
  world_destroy (wld);
}

/* The next instance of w1, whose clock is CLOCK_MS, answers the hold in flight
   as one that runs nothing.  END is listed; NULL: none.  */
static void
answer_as_next (int64_t clock_ms, const struct ended_row *end)
{
  const struct hold_result res
      = { .command = { .status = COMMAND_DONE, .clock_ms = clock_ms },
          .born_ms = NEXT_BORN_MS,
          .ended = end,
          .ended_count = end != NULL };
  struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
  ck_assert_ptr_nonnull (hold);
  hold->answered = true;
  hold->hold_fn (hold->arg, &res);
}

static void
run_task (void)
{
  const struct world_row run = { .job = 1, .run = 1 };
  world_add_job (wld, 1, TASK_JOB, 200);
  world_tick (wld, 1);
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_DONE);
  world_tick (wld, 1);
  world_answer_hold (wld, "w1", &run, 1, NULL, 0);
  world_confirm_ownership (wld);
  world_tick (wld, 100);
}

/* w1 is silent, and w2 answers.  */
static void
pass_time (int64_t ms)
{
  struct world_call *call;
  while ((call = world_call (wld, WORLD_START, "w1"))
         || (call = world_call (wld, WORLD_HOLD, "w1"))
         || (call = world_call (wld, WORLD_STOP, "w1")))
    world_answer (wld, call, COMMAND_NO_ANSWER);
  if (world_call (wld, WORLD_HOLD, "w2"))
    world_answer_hold (wld, "w2", NULL, 0, NULL, 0);
  world_confirm_ownership (wld);
  world_tick (wld, ms);
}

/* The task is started again on w1, whose clock was CLOCK_MS; then there is
   another worker.  */
static void
start_again (int64_t clock_ms)
{
  world_tick (wld, 110);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 2);
  struct world_call *start = world_call (wld, WORLD_START, "w1");
  ck_assert_ptr_nonnull (start);
  start->answered = true;
  start->fn (start->arg,
             &(const struct command_result){ .status = COMMAND_DONE,
                                             .clock_ms = clock_ms + 110 });
  world_add_worker (wld, "w2", BORN_MS);
}

/* The task is started on w2 after the longest lease from GRANTED_US on, and
   not before.  */
static void
check_given_up (int64_t granted_us)
{
  while (wld->clk.now_us < granted_us + WORLD_LEASE_MAX_MS * 1000)
    {
      ck_assert_ptr_null (world_call (wld, WORLD_START, "w2"));
      pass_time (20);
    }
  for (int n = 0; n < 12; n++)
    pass_time (100);
  ck_assert_ptr_nonnull (world_call (wld, WORLD_START, "w2"));
}

/* Guards against two runs of a task: a hold that names a lease end by the
   clock of the earlier instance is answered by the next one, which has granted
   the longest lease, at a time at which ownership is not confirmed.  */
START_TEST (test_grant_before_confirmation)
{
  run_task ();
  struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
  ck_assert_ptr_nonnull (hold);
  ck_assert_int_gt (hold->lease_end_ms, 2000 + WORLD_LEASE_MAX_MS);
  answer_as_next (2000, NULL);
  int64_t granted_us = wld->clk.now_us;
  world_tick (wld, 60);
  world_confirm_ownership (wld);
  answer_as_next (2060, NULL);
  start_again (2060);
  check_given_up (granted_us);
}
END_TEST

/* The same for a start that is carried out after the restart was noticed, and
   whose answer comes after the run has been stopped and its end was listed.
 */
START_TEST (test_grant_of_removed_run)
{
  const struct ended_row end = { .number = 1,
                                 .task = { .job = 1 },
                                 .run = 1,
                                 .end = RUN_END_STOPPED,
                                 .checkpoint = "" };
  world_add_job (wld, 1, TASK_JOB, 200);
  world_tick (wld, 1);
  struct world_call *first = world_call (wld, WORLD_START, "w1");
  ck_assert_ptr_nonnull (first);
  ck_assert_int_gt (first->lease_end_ms, 2000 + WORLD_LEASE_MAX_MS);
  first->answered = true;
  world_tick (wld, 50);
  answer_as_next (2050, NULL);
  world_confirm_ownership (wld);
  world_tick (wld, 60);
  answer_as_next (2110, NULL);
  world_tick (wld, 350);
  int64_t granted_us = wld->clk.now_us;
  struct world_call *stop = world_call (wld, WORLD_STOP, "w1");
  ck_assert_ptr_nonnull (stop);
  stop->answered = true;
  stop->fn (stop->arg, &(const struct command_result){ .status = COMMAND_DONE,
                                                       .clock_ms = 2470 });
  world_tick (wld, 10);
  answer_as_next (2480, &end);
  first->fn (first->arg, &(const struct command_result){
                             .status = COMMAND_DONE, .clock_ms = 2460 });
  start_again (2490);
  check_given_up (granted_us);
}
END_TEST

/* The same for a start that the next instance refuses after that: it has taken
   the lease end all the same.  */
START_TEST (test_grant_of_refused_start)
{
  const struct ended_row end = { .number = 1,
                                 .task = { .job = 1 },
                                 .run = 1,
                                 .end = RUN_END_STOPPED,
                                 .checkpoint = "" };
  world_add_job (wld, 1, TASK_JOB, 200);
  world_tick (wld, 1);
  struct world_call *first = world_call (wld, WORLD_START, "w1");
  ck_assert_ptr_nonnull (first);
  first->answered = true;
  world_tick (wld, 50);
  answer_as_next (2050, NULL);
  world_confirm_ownership (wld);
  world_tick (wld, 60);
  answer_as_next (2110, NULL);
  world_tick (wld, 10);
  struct world_call *stop = world_call (wld, WORLD_STOP, "w1");
  ck_assert_ptr_nonnull (stop);
  stop->answered = true;
  stop->fn (stop->arg, &(const struct command_result){ .status = COMMAND_DONE,
                                                       .clock_ms = 2120 });
  world_tick (wld, 10);
  answer_as_next (2130, &end);
  wld->clk.now_us += 800000;
  int64_t granted_us = wld->clk.now_us;
  first->fn (first->arg, &(const struct command_result){
                             .status = COMMAND_STALE_RUN, .clock_ms = 2930 });
  start_again (2930);
  check_given_up (granted_us);
}
END_TEST

/* Guards against two runs of a task (TWICE): a worker has carried out a call
   that extends leases, and its answer lacks the clock, so that the lease may
   be the longest one, as for another clock.  A call that had no effect, or
   whose lease end was over, extends none.  */
START_TEST (test_grant_without_clock)
{
  static const struct
  {
    enum world_call_kind kind;
    enum command_status status;
    bool longest;
  } cases[] = {
    { WORLD_START, COMMAND_DONE, true },
    { WORLD_START, COMMAND_STALE_RUN, true },
    { WORLD_START, COMMAND_NO_ROOM, true },
    { WORLD_START, COMMAND_NO_TICKET, true },
    { WORLD_START, COMMAND_LEASE_EXPIRED, false },
    { WORLD_START, COMMAND_WORKER_BUSY, false },
    { WORLD_START, COMMAND_REJECTED, false },
    { WORLD_START, COMMAND_OTHER_INSTANCE, false },
    { WORLD_HOLD, COMMAND_DONE, true },
    { WORLD_HOLD, COMMAND_WORKER_BUSY, false },
  };
  static const struct running_row row
      = { .task = { .job = 1 }, .run = 1, .percent = 100, .checkpoint = "" };
  run_task ();
  if (cases[_i].kind == WORLD_START)
    {
      world_add_job (wld, 2, TASK_JOB, 200);
      world_tick (wld, 1);
    }
  struct world_call *call = world_call (wld, cases[_i].kind, "w1");
  ck_assert_ptr_nonnull (call);
  ck_assert_int_gt (call->lease_end_ms, 0);
  /* The next start would extend the leases as well.  */
  pool_find_id (&wld->plc->pool, "w1")->avoid_until_us = INT64_MAX;
  call->answered = true;
  const struct hold_result res = { .command = { .status = cases[_i].status },
                                   .born_ms = BORN_MS,
                                   .running = &row,
                                   .running_count = 1 };
  if (call->hold_fn)
    call->hold_fn (call->arg, &res);
  else
    call->fn (call->arg, &res.command);
  pool_find_id (&wld->plc->pool, "w1")->avoid_until_us = INT64_MAX;
  int64_t answered_us = wld->clk.now_us;
  world_add_worker (wld, "w2", BORN_MS);
  while (wld->clk.now_us < answered_us + WORLD_LEASE_MAX_MS * 1000)
    pass_time (20);
  ck_assert_uint_eq (world_starts (wld, 1, 0), cases[_i].longest ? 1 : 2);
  for (int n = 0; n < 12; n++)
    pass_time (100);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 2);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placer_grant");
  TCase *tc = tcase_create ("placer_grant");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_grant_before_confirmation);
  tcase_add_test (tc, test_grant_of_removed_run);
  tcase_add_test (tc, test_grant_of_refused_start);
  tcase_add_loop_test (tc, test_grant_without_clock, 0, 10);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
