#include <check.h>
#include <stdlib.h>

#include "fleet/host_link.h"
#include "placer_world.h"
#include "sched/placer_priv.h"

/* Tests of answers, reports and lists that belong to another instance of a
   worker than the one that runs under its id now; see
   docs/design/instances.md.  */

#define TASK_JOB                                                              \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"estimate-ms\":900}]" \
  "}"
#define PERPETUAL_JOB                                                         \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"perpetual\":true}]}"
/* Start times of an instance, the next one and the one after that.  */
#define BORN_MS 1000
#define NEXT_BORN_MS 900000
#define LAST_BORN_MS 950000
/* Of a next instance after the time of day was set back.  */
#define LOWER_BORN_MS 500

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

static struct worker *
find_worker (const char *id)
{
  struct worker *wrk = pool_find_id (&wld->plc->pool, id);
  ck_assert_ptr_nonnull (wrk);
  return wrk;
}

/* Sends the start of the task of a new job to w1.  */
static struct world_call *
send_start (uint64_t id, const char *json)
{
  world_confirm_ownership (wld);
  world_add_job (wld, id, json, 100 + id);
  world_tick (wld, 1);
  struct world_call *start = world_call (wld, WORLD_START, "w1");
  ck_assert_ptr_nonnull (start);
  ck_assert_uint_eq (start->task.job, id);
  return start;
}

static void
run_job (uint64_t id, const char *json)
{
  world_answer (wld, send_start (id, json), COMMAND_DONE);
  world_tick (wld, 1);
  world_complete_append (wld);
}

/* Adds a worker that takes what w1 must not be given.  */
static void
add_other_worker (void)
{
  int64_t born_ms = wld->hold_born_ms;
  wld->hold_born_ms = BORN_MS;
  world_add_worker (wld, "w2", BORN_MS);
  world_enrol_worker (wld, "w2");
  wld->hold_born_ms = born_ms;
}

/* Confirms ownership and lets MS pass.  */
static void
pass (int64_t ms)
{
  world_confirm_ownership (wld);
  world_tick (wld, ms);
  world_complete_append (wld);
}

/* w1 is silent from now on.  Its task is started on another worker, and not
   before the longest lease from GRANTED_US on is over.  */
static void
check_given_up_after_longest_lease (int64_t granted_us)
{
  add_other_worker ();
  while (!world_call (wld, WORLD_START, "w2"))
    {
      struct world_call *call;
      while ((call = world_call (wld, WORLD_STOP, "w1"))
             || (call = world_call (wld, WORLD_HOLD, "w1")))
        world_answer (wld, call, COMMAND_NO_ANSWER);
      if (world_call (wld, WORLD_HOLD, "w2"))
        world_answer (wld, world_call (wld, WORLD_HOLD, "w2"), COMMAND_DONE);
      pass (300);
      ck_assert_int_lt (wld->clk.now_us, granted_us + WORLD_WAIT_MAX_US);
    }
  ck_assert_int_gt (wld->clk.now_us, granted_us + WORLD_LEASE_MAX_MS * 1000);
}

/* Guards against ends that the present instance forgets before they are read,
   so that a task which was done runs again (TWICE): an answer of an instance
   before it acknowledges nothing there.  The answer is read when the report of
   the present instance is known, before or after the runs of the first one are
   given up.  */
START_TEST (test_answer_after_report_of_next_instance)
{
  static const struct
  {
    bool settled;
    int64_t answer_born_ms;
  } cases[] = { { true, BORN_MS },
                { true, NEXT_BORN_MS },
                { false, BORN_MS },
                { false, NEXT_BORN_MS } };
  const struct world_row end
      = { .job = 1, .run = 1, .end = RUN_END_DONE, .number = 5 };
  const struct world_row more
      = { .job = 1, .run = 1, .end = RUN_END_DONE, .number = 6 };
  run_job (1, TASK_JOB);
  world_answer_hold (wld, "w1", NULL, 0, &end, 1);
  pass (50);
  pass (50);
  struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
  ck_assert_ptr_nonnull (hold);
  ck_assert_uint_eq (hold->last_seen, 5);
  world_add_worker (wld, "w1", LAST_BORN_MS);
  if (cases[_i].settled)
    pass (1);
  wld->hold_born_ms = cases[_i].answer_born_ms;
  world_answer_hold (wld, "w1", NULL, 0, &more, 1);
  for (int n = 0; n < 20; n++)
    {
      pass (40);
      hold = world_call (wld, WORLD_HOLD, "w1");
      if (!hold)
        continue;
      ck_assert_uint_eq (hold->last_seen, 0);
      if (n > 10)
        world_answer (wld, hold, COMMAND_NO_ANSWER);
    }
}
END_TEST

/* Guards against a second run of a task beside the one on the next instance
   (TWICE): a report of the earlier instance that is read after that of the
   next one does not show that there is none.  */
START_TEST (test_late_report_before_settlement)
{
  const struct world_row row = { .job = 2, .run = 1 };
  run_job (1, TASK_JOB);
  /* The next instance takes this start; its restart is not known yet.  */
  run_job (2, TASK_JOB);
  add_other_worker ();
  world_add_worker (wld, "w1", NEXT_BORN_MS);
  world_add_worker (wld, "w1", BORN_MS);
  world_answer (wld, world_call (wld, WORLD_HOLD, "w1"), COMMAND_NO_ANSWER);
  for (int n = 0; n < 3; n++)
    {
      pass (300);
      ck_assert_uint_eq (world_starts (wld, 2, 0), 1);
    }
  world_add_worker (wld, "w1", NEXT_BORN_MS);
  wld->hold_born_ms = NEXT_BORN_MS;
  for (int n = 0; n < 4; n++)
    {
      pass (300);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", &row, 1, NULL, 0);
    }
  ck_assert_uint_eq (world_starts (wld, 2, 0), 1);
}
END_TEST

/* Guards against runs that are given up while they go on (TWICE): the time of
   day was set back before the restart, so that a late report of the earlier
   instance names a later start.  */
START_TEST (test_late_report_with_later_start_time)
{
  const struct world_row row = { .job = 2, .run = 1 };
  run_job (1, TASK_JOB);
  wld->hold_born_ms = LOWER_BORN_MS;
  if (_i)
    world_add_worker (wld, "w1", LOWER_BORN_MS);
  for (int n = 0; n < 5; n++)
    {
      pass (300);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
    }
  /* Task 1 went with the earlier instance.  */
  ck_assert_uint_eq (world_starts (wld, 1, 0), 2);
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_DONE);
  run_job (2, TASK_JOB);
  const struct world_row both[] = { { .job = 1, .run = 2 }, row };
  for (int n = 0; n < 2; n++)
    {
      pass (300);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", both, 2, NULL, 0);
    }
  add_other_worker ();
  world_add_worker (wld, "w1", BORN_MS);
  for (int n = 0; n < 3; n++)
    {
      pass (300);
      ck_assert_uint_eq (world_starts (wld, 1, 0), 2);
      ck_assert_uint_eq (world_starts (wld, 2, 0), 1);
    }
}
END_TEST

/* Guards against a stop of another task of the step (AVAIL): a task whose
   worker instance has ended is not at work, although it is kept until
   ownership is confirmed.  */
START_TEST (test_task_of_ended_instance_is_away)
{
  const struct world_row row = { .job = 1, .run = 1 };
  run_job (1, PERPETUAL_JOB);
  pass (10);
  world_answer_hold (wld, "w1", &row, 1, NULL, 0);
  const struct run *run = find_worker ("w1")->runs;
  ck_assert_ptr_nonnull (run);
  ck_assert (run_is_available (run, wld->clk.now_us));
  world_tick (wld, 40);
  if (_i == 0)
    {
      wld->hold_born_ms = NEXT_BORN_MS;
      world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
    }
  else
    world_add_worker (wld, "w1", NEXT_BORN_MS);
  run = find_worker ("w1")->runs;
  ck_assert_ptr_nonnull (run);
  ck_assert (!run_is_available (run, wld->clk.now_us));
}
END_TEST

/* Guards against a second run of a task (TWICE): a list of hosts from before a
   start, which shows the host as down, says nothing about the instance that
   may have taken the start since, whether that has answered it or not.  */
START_TEST (test_start_after_list_of_hosts)
{
  struct host_report rep = { .state = HOST_DOWN };
  name_copy (rep.name, "m-w1");
  run_job (1, TASK_JOB);
  add_other_worker ();
  for (int n = 0; n < 4; n++)
    {
      const struct world_row row = { .job = 1, .run = 1 };
      pass (900);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", &row, 1, NULL, 0);
    }
  pass (50);
  world_answer (wld, world_call (wld, WORLD_HOLD, "w1"), COMMAND_NO_ANSWER);
  int64_t asked_us = wld->clk.now_us;
  pass (100);
  struct world_call *start = send_start (2, TASK_JOB);
  int64_t sent_us = wld->clk.now_us;
  placer_update_host (wld->plc, &rep, asked_us);
  world_answer (wld, start, _i ? COMMAND_DONE : COMMAND_NO_ANSWER);
  int64_t lease_ms
      = _i ? WORLD_LEASE_MS : WORLD_LEASE_MAX_MS + LATE_CALL_MAX_US / 1000;
  while (wld->clk.now_us < sent_us + lease_ms * 1000)
    {
      struct world_call *call;
      while ((call = world_call (wld, WORLD_START, "w1"))
             || (call = world_call (wld, WORLD_STOP, "w1"))
             || (call = world_call (wld, WORLD_HOLD, "w1")))
        world_answer (wld, call, COMMAND_NO_ANSWER);
      call = world_call (wld, WORLD_START, "w2");
      ck_assert (!call || call->task.job == 1);
      pass (300);
    }
  /* An unanswered try may have got the longest lease.  */
  for (int n = 0; n < WORLD_LEASE_MAX_MS / 300; n++)
    pass (300);
  size_t on_w2 = 0;
  for (size_t n = 0; n < wld->call_count; n++)
    on_w2 += wld->calls[n].kind == WORLD_START
             && wld->calls[n].worker[1] == '2' && wld->calls[n].task.job == 2;
  ck_assert_uint_eq (on_w2, 1);
}
END_TEST

/* Guards against a second run of a task (TWICE): that an earlier instance has
   stopped a run does not keep the next one from carrying out its start, so the
   run is stopped there as well.  */
START_TEST (test_stop_answered_by_earlier_instance)
{
  world_answer (wld, send_start (1, PERPETUAL_JOB), COMMAND_NO_ANSWER);
  pass (1);
  world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
  size_t starts = world_starts (wld, 1, 0);
  struct world_call *earlier_stop = world_call (wld, WORLD_STOP, "w1");
  ck_assert_ptr_nonnull (earlier_stop);
  world_add_worker (wld, "w1", NEXT_BORN_MS);
  wld->hold_born_ms = NEXT_BORN_MS;
  pass (300);
  world_answer (wld, earlier_stop, COMMAND_DONE);
  for (int n = 0; n < 4; n++)
    {
      pass (300);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
      ck_assert_uint_eq (world_starts (wld, 1, 0), starts);
    }
  struct world_call *stop = world_call (wld, WORLD_STOP, "w1");
  ck_assert_ptr_nonnull (stop);
  world_answer (wld, stop, COMMAND_DONE);
  for (int n = 0; n < 4; n++)
    {
      pass (300);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
    }
  ck_assert_uint_gt (world_starts (wld, 1, 0), starts);
}
END_TEST

/* Guards against the longest lease that the worker grants, of which a
   successor does not know: an answer of the earlier instance does not tell the
   clock of the next one.  */
START_TEST (test_clock_of_earlier_instance)
{
  run_job (1, TASK_JOB);
  struct world_call *start = send_start (2, TASK_JOB);
  world_add_worker (wld, "w1", NEXT_BORN_MS);
  pass (1);
  world_answer (wld, start, COMMAND_DONE);
  world_add_job (wld, 3, TASK_JOB, 300);
  for (int n = 0; n < 3; n++)
    {
      pass (50);
      ck_assert_uint_eq (world_starts (wld, 3, 0), 0);
      struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
      if (hold && !hold->answered && n > 0)
        ck_assert_int_eq (hold->lease_end_ms, 0);
      if (hold && n == 0)
        world_answer (wld, hold, COMMAND_NO_ANSWER);
    }
}
END_TEST

/* Guards against a run that is started again while its worker holds the
   longest lease (TWICE): a hold that was sent to the first instance is
   answered by the third one when the second one is known from its report.  */
START_TEST (test_grant_in_late_answer)
{
  const struct world_row row = { .job = 1, .run = 1 };
  world_release_earlier (wld);
  run_job (1, TASK_JOB);
  for (int n = 0; n < 20; n++)
    {
      pass (900);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", &row, 1, NULL, 0);
    }
  pass (50);
  struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
  ck_assert_ptr_nonnull (hold);
  ck_assert_int_gt (hold->lease_end_ms, 2000 + WORLD_LEASE_MAX_MS);
  int64_t granted_us = wld->clk.now_us;
  world_add_worker (wld, "w1", NEXT_BORN_MS);
  pass (50);
  const struct hold_result late
      = { .command = { .status = COMMAND_DONE, .clock_ms = 2000 },
          .born_ms = LAST_BORN_MS };
  hold->answered = true;
  hold->hold_fn (hold->arg, &late);
  for (int n = 0; n < 3; n++)
    {
      pass (50);
      hold = world_call (wld, WORLD_HOLD, "w1");
      const struct hold_result next
          = { .command = { .status = COMMAND_DONE, .clock_ms = 2050 + 50 * n },
              .born_ms = LAST_BORN_MS };
      if (!hold)
        continue;
      hold->answered = true;
      hold->hold_fn (hold->arg, &next);
    }
  pass (50);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 2);
  struct world_call *start = world_call (wld, WORLD_START, "w1");
  ck_assert_ptr_nonnull (start);
  start->answered = true;
  start->fn (start->arg, &(const struct command_result){
                             .status = COMMAND_DONE, .clock_ms = 2200 });
  check_given_up_after_longest_lease (granted_us);
}
END_TEST

/* Guards against a run that is started again while the next instance holds the
   longest lease (TWICE): a hold that names a lease end by the clock of the
   earlier instance was carried out there, and the worker was forgotten, as a
   list of hosts shows its host as down, before the report of the next one.  */
START_TEST (test_lease_of_forgotten_worker)
{
  const struct world_row row = { .job = 1, .run = 1 };
  struct host_report rep = { .state = HOST_DOWN };
  name_copy (rep.name, "m-w1");
  world_release_earlier (wld);
  run_job (1, TASK_JOB);
  for (int n = 0; n < 20; n++)
    {
      pass (900);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", &row, 1, NULL, 0);
    }
  pass (50);
  struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
  ck_assert_ptr_nonnull (hold);
  ck_assert_int_gt (hold->lease_end_ms, 0);
  int64_t granted_us = wld->clk.now_us;
  pass (1000);
  int64_t asked_us = wld->clk.now_us;
  pass (900);
  world_answer (wld, hold, COMMAND_NO_ANSWER);
  placer_update_host (wld->plc, &rep, asked_us);
  pass (1);
  ck_assert_ptr_null (pool_find_id (&wld->plc->pool, "w1"));
  wld->hold_born_ms = NEXT_BORN_MS;
  world_add_worker (wld, "w1", NEXT_BORN_MS);
  world_enrol_worker (wld, "w1");
  pass (100);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 2);
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_DONE);
  check_given_up_after_longest_lease (granted_us);
}
END_TEST

/* What w1 does after another worker has answered at its address, to a hold. */
static const struct
{
  bool confirmed;  /* the owner's claim, since */
  bool start_done; /* a start that was in flight was carried out */
  bool started;    /* before that answer */
  int64_t
      again_ms; /* the task of job 1 starts on w2 by then; 0: not yet then */
} taken[] = {
  { true, false, false, 1000 },
  { false, false, false, 0 },
  { true, true, false, 0 },
  { true, true, true, 0 },
};

/* Guards against a task that waits for the longest lease (LOST) although
   another worker has answered at the address of its worker, and against a
   second run (TWICE) without a confirmation, or beside a start that was
   carried out since.  */
START_TEST (test_address_taken)
{
  run_job (1, PERPETUAL_JOB);
  struct world_call *start
      = taken[_i].start_done ? send_start (2, PERPETUAL_JOB) : NULL;
  const struct world_row row = { .job = 1, .run = 1 };
  if (start && !taken[_i].started)
    {
      /* The next hold is sent after the start.  */
      world_answer_hold (wld, "w1", &row, 1, NULL, 0);
      pass (300);
    }
  struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
  ck_assert_ptr_nonnull (hold);
  add_other_worker ();
  if (start && taken[_i].started)
    {
      world_tick (wld, 10);
      world_answer (wld, start, COMMAND_DONE);
    }
  world_tick (wld, 10);
  world_answer (wld, hold, COMMAND_OTHER_INSTANCE);
  if (start && !taken[_i].started)
    world_answer (wld, start, COMMAND_DONE);
  for (int ms = 0; ms < 2000 && world_starts (wld, 1, 0) == 1; ms += 50)
    {
      while ((hold = world_call (wld, WORLD_HOLD, "w1")))
        world_answer (wld, hold, COMMAND_NO_ANSWER);
      if (world_call (wld, WORLD_HOLD, "w2"))
        world_answer_hold (wld, "w2", NULL, 0, NULL, 0);
      if (taken[_i].confirmed)
        world_confirm_ownership (wld);
      world_tick (wld, 50);
      ck_assert (!taken[_i].again_ms || ms < taken[_i].again_ms);
    }
  ck_assert_uint_eq (world_starts (wld, 1, 0), taken[_i].again_ms ? 2 : 1);
  ck_assert_uint_le (world_starts (wld, 2, 0), 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placer_other_instance");
  TCase *tc = tcase_create ("placer_other_instance");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, test_answer_after_report_of_next_instance, 0, 4);
  tcase_add_test (tc, test_late_report_before_settlement);
  tcase_add_loop_test (tc, test_late_report_with_later_start_time, 0, 2);
  tcase_add_loop_test (tc, test_task_of_ended_instance_is_away, 0, 2);
  tcase_add_loop_test (tc, test_start_after_list_of_hosts, 0, 2);
  tcase_add_test (tc, test_stop_answered_by_earlier_instance);
  tcase_add_test (tc, test_clock_of_earlier_instance);
  tcase_add_test (tc, test_grant_in_late_answer);
  tcase_add_test (tc, test_lease_of_forgotten_worker);
  tcase_add_loop_test (tc, test_address_taken, 0,
                       sizeof taken / sizeof *taken);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
