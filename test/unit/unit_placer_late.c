#include <check.h>
#include <stdlib.h>

#include "placer_world.h"
#include "sched/placer_priv.h"

/* Tests of calls that are carried out after they were given up, also by the
   next instance of their worker.  */

#define TASK_JOB                                                              \
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
  world_release_earlier (wld);
}

static void
teardown (void)
{
  world_destroy (wld);
}

/* Confirms ownership, lets MS pass, and answers the hold in flight to w1 with
   the ROW_COUNT runs in ROWS.  */
static void
pass (int64_t ms, const struct world_row *rows, size_t row_count)
{
  world_confirm_ownership (wld);
  world_tick (wld, ms);
  world_complete_append (wld);
  world_record_runs (wld);
  if (world_call (wld, WORLD_HOLD, "w1"))
    world_answer_hold (wld, "w1", rows, row_count, NULL, 0);
}

static void
answer_stops (enum command_status status)
{
  struct world_call *stop;
  while ((stop = world_call (wld, WORLD_STOP, "w1")))
    world_answer (wld, stop, status);
}

/* The start of run 1 of job 2 on w1 has no answer.  w1 acknowledges the stop
   of the run and does not list it, so that run 2 starts there.  Returns when
   the start of run 1 was sent.  */
static int64_t
start_after_unanswered_one (void)
{
  const struct world_row row = { .job = 2, .run = 2 };
  world_add_job (wld, 2, TASK_JOB, 200);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  int64_t sent_us = wld->clk.now_us;
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_NO_ANSWER);
  pass (1, NULL, 0);
  answer_stops (COMMAND_DONE);
  for (int n = 0; n < 4 && world_starts (wld, 2, 0) == 1; n++)
    pass (50, NULL, 0);
  struct world_call *start = world_call (wld, WORLD_START, "w1");
  ck_assert_ptr_nonnull (start);
  ck_assert_uint_eq (start->run, 2);
  world_answer (wld, start, COMMAND_DONE);
  pass (50, &row, 1);
  return sent_us;
}

/* Guards against two runs of a task (TWICE): the worker has acknowledged the
   stop of a run whose start had no answer, and its next instance, which knows
   no stop, carries the start out.  */
START_TEST (test_late_start_at_next_instance)
{
  static const struct
  {
    int64_t after_ms; /* from the start to the restart */
    bool stopped;     /* it may still be carried out then */
  } cases[] = { { 1000, true }, { 11000, true }, { 12500, false } };
  const struct world_row row = { .job = 2, .run = 2 };
  int64_t sent_us = start_after_unanswered_one ();
  while (wld->clk.now_us < sent_us + cases[_i].after_ms * 1000)
    pass (100, &row, 1);
  wld->hold_born_ms = NEXT_BORN_MS;
  for (int n = 0; n < 10; n++)
    {
      pass (100, NULL, 0);
      ck_assert (!cases[_i].stopped || world_starts (wld, 2, 0) == 2);
    }
  struct world_call *stop = world_call (wld, WORLD_STOP, "w1");
  ck_assert (!!stop == cases[_i].stopped);
  ck_assert (!stop || stop->run == 1);
  answer_stops (COMMAND_DONE);
  for (int n = 0; n < 10; n++)
    pass (100, NULL, 0);
  ck_assert_uint_eq (world_starts (wld, 2, 0), 3);
}
END_TEST

/* Guards against two runs of a task (TWICE): as above, and the worker, whose
   next instance has carried the start out, is cut off.  */
START_TEST (test_late_start_on_silent_worker)
{
  int64_t sent_us = start_after_unanswered_one ();
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
      ck_assert_int_lt (wld->clk.now_us, sent_us + WORLD_WAIT_MAX_US);
    }
  ck_assert_int_gt (wld->clk.now_us,
                    sent_us + LATE_CALL_MAX_US + WORLD_LEASE_MAX_MS * 1000);
}
END_TEST

/* Guards against calls of the time before a restart that the next instance
   carries out after it has answered: from then on it has seen a later token.
   The tokens stay in the range of this ownership.  */
START_TEST (test_token_after_restart)
{
  const uint64_t first = wld->plc->set.token;
  uint64_t last = first;
  start_after_unanswered_one ();
  for (int64_t n = 0; n < 2 * WORLD_TOKENS; n++)
    {
      wld->hold_born_ms = NEXT_BORN_MS + n;
      /* The restart is settled with an answer after a confirmation; the next
         call has the token.  */
      for (int k = 0; k < 3; k++)
        pass (300, NULL, 0);
      world_confirm_ownership (wld);
      world_tick (wld, 300);
      world_record_runs (wld);
      while (world_call (wld, WORLD_START, "w1"))
        world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_DONE);
      struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
      for (int k = 0; k < 5 && !hold; k++)
        {
          world_tick (wld, 100);
          hold = world_call (wld, WORLD_HOLD, "w1");
        }
      ck_assert_ptr_nonnull (hold);
      ck_assert_uint_lt (hold->token, first + WORLD_TOKENS);
      ck_assert (hold->token > last || last == first + WORLD_TOKENS - 1);
      last = hold->token;
      answer_stops (COMMAND_DONE);
      world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
    }
  ck_assert_uint_eq (last, first + WORLD_TOKENS - 1);
}
END_TEST

/* Guards against an owner that gives its pool up (LOST), as a worker refuses
   the token of its first call: the worker was forgotten after a restart, when
   it had seen a later one.  */
START_TEST (test_token_after_removal)
{
  start_after_unanswered_one ();
  wld->hold_born_ms = NEXT_BORN_MS;
  for (int k = 0; k < 6; k++)
    pass (300, NULL, 0);
  answer_stops (COMMAND_DONE);
  world_confirm_ownership (wld);
  world_tick (wld, 300);
  struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
  ck_assert_ptr_nonnull (hold);
  const uint64_t last = hold->token;
  ck_assert_uint_gt (last, wld->plc->set.token);
  placer_update_worker (wld->plc, "w1", NULL);
  for (int k = 0; k < 600 && wld->plc->pool.count > 0; k++)
    {
      struct world_call *call;
      while ((call = world_call (wld, WORLD_HOLD, "w1"))
             || (call = world_call (wld, WORLD_START, "w1"))
             || (call = world_call (wld, WORLD_STOP, "w1")))
        world_answer (wld, call, COMMAND_NO_ANSWER);
      world_confirm_ownership (wld);
      world_tick (wld, 100);
    }
  ck_assert_uint_eq (wld->plc->pool.count, 0);
  world_add_worker (wld, "w1", NEXT_BORN_MS);
  world_confirm_ownership (wld);
  world_tick (wld, 100);
  hold = world_call (wld, WORLD_HOLD, "w1");
  ck_assert_ptr_nonnull (hold);
  ck_assert_uint_ge (hold->token, last);
}
END_TEST

/* Guards against an owner that gives its pool up because a worker refuses a
   call that this owner has overtaken by a later one.  A refusal of a call with
   the last token comes of a later owner.  */
START_TEST (test_refusal_of_overtaken_call)
{
  static const enum world_call_kind kinds[]
      = { WORLD_START, WORLD_STOP, WORLD_HOLD };
  const bool overtaken = _i < 3;
  const struct world_row row = { .job = 2, .run = 2 };
  start_after_unanswered_one ();
  world_add_job (wld, 3, TASK_JOB, 300);
  pass (100, &row, 1);
  struct world_call *call = world_call (wld, kinds[_i % 3], "w1");
  if (kinds[_i % 3] == WORLD_STOP)
    {
      placer_stop_unknown (wld->plc, pool_find_id (&wld->plc->pool, "w1"),
                           &(const struct task_ref){ .job = 9 }, 1);
      call = world_call (wld, WORLD_STOP, "w1");
    }
  else if (kinds[_i % 3] == WORLD_HOLD)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 100);
      call = world_call (wld, WORLD_HOLD, "w1");
    }
  ck_assert_ptr_nonnull (call);
  if (overtaken)
    placer_raise_generation (wld->plc, pool_find_id (&wld->plc->pool, "w1"));
  world_answer (wld, call, COMMAND_FENCED);
  ck_assert (wld->plc->fenced == !overtaken);
}
END_TEST

/* Guards against two runs of a task (TWICE): a hold to the earlier instance,
   without an answer, is carried out by the next one and gives its runs the
   longest lease.  It is refused once that instance has seen a later token;
   without one, it may come up to LATE_CALL_MAX_US after it was sent.  */
START_TEST (test_late_hold_at_next_instance)
{
  static const uint32_t tokens[] = { WORLD_TOKENS, 1 };
  const struct world_row row = { .job = 2, .run = 2 };
  wld->plc->set.token_count = tokens[_i];
  world_add_job (wld, 2, TASK_JOB, 200);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_DONE);
  world_confirm_ownership (wld);
  world_tick (wld, 100);
  int64_t sent_us = wld->clk.now_us;
  struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
  ck_assert_int_gt (hold->lease_end_ms, 0);
  world_answer (wld, hold, COMMAND_NO_ANSWER);
  wld->hold_born_ms = NEXT_BORN_MS;
  /* The next instance carries out run 2, which it lists.  Its clock has begun
     anew.  */
  int64_t known_us = 0;
  for (int n = 0; n < 10; n++)
    {
      struct world_call *call;
      world_confirm_ownership (wld);
      world_tick (wld, 300);
      const struct running_row run = {
        .task = { .job = 2 }, .run = row.run, .percent = 100, .checkpoint = ""
      };
      const struct hold_result res
          = { .command = { .status = COMMAND_DONE, .clock_ms = 100 + 300 * n },
              .born_ms = NEXT_BORN_MS,
              .running = &run,
              .running_count = world_starts (wld, 2, 0) > 1 };
      if ((call = world_call (wld, WORLD_START, "w1")))
        {
          call->answered = true;
          call->fn (call->arg, &res.command);
        }
      if ((call = world_call (wld, WORLD_HOLD, "w1")))
        {
          call->answered = true;
          call->hold_fn (call->arg, &res);
        }
      if (!known_us)
        known_us = wld->clk.now_us;
    }
  ck_assert_uint_eq (world_starts (wld, 2, 0), 2);
  world_add_worker (wld, "w2", BORN_MS);
  while (!world_call (wld, WORLD_START, "w2"))
    {
      struct world_call *call;
      while ((call = world_call (wld, WORLD_HOLD, "w1")))
        world_answer (wld, call, COMMAND_NO_ANSWER);
      if (world_call (wld, WORLD_HOLD, "w2"))
        world_answer (wld, world_call (wld, WORLD_HOLD, "w2"), COMMAND_DONE);
      world_confirm_ownership (wld);
      world_tick (wld, 100);
      ck_assert_int_lt (wld->clk.now_us, sent_us + WORLD_WAIT_MAX_US);
    }
  int64_t last_us = _i == 0 ? known_us : sent_us + LATE_CALL_MAX_US;
  ck_assert_int_gt (wld->clk.now_us, last_us + WORLD_LEASE_MAX_MS * 1000);
  ck_assert (_i == 1
             || wld->clk.now_us
                    < sent_us + LATE_CALL_MAX_US + WORLD_LEASE_MAX_MS * 1000);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("placer_late");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, test_late_start_at_next_instance, 0, 3);
  tcase_add_test (tc, test_late_start_on_silent_worker);
  tcase_add_test (tc, test_token_after_restart);
  tcase_add_test (tc, test_token_after_removal);
  tcase_add_loop_test (tc, test_refusal_of_overtaken_call, 0, 6);
  tcase_add_loop_test (tc, test_late_hold_at_next_instance, 0, 2);
  Suite *suite = suite_create ("placer_late");
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
