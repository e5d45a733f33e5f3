#include <check.h>
#include <string.h>

#include "fleet/host_link.h"
#include "placer_world.h"
#include "sched/placer_priv.h"

/* Tests of a placer whose predecessor still sends commands, or has sent some
   that are carried out late.  */

#define BATCH_JOB                                                             \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"estimate-ms\":900}]" \
  "}"
#define PERPETUAL_JOB                                                         \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"perpetual\":true}]}"
#define GANG_JOB                                                              \
  "{\"steps\":[{\"count\":2,\"cpu\":1000,\"mem-mb\":64,\"gang\":true}]}"
#define NEXT_BORN_MS 5000000

static struct world *wld;
static int64_t claimed_us;

static void
setup (void)
{
  wld = world_create ();
  claimed_us = wld->clk.now_us;
}

static void
teardown (void)
{
  world_destroy (wld);
}

/* Passes time in ticks; w1 runs nothing and answers, w9 does not.  */
static void
pass (int64_t ms)
{
  for (; ms > 0; ms -= 100)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 100);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
      if (world_call (wld, WORLD_HOLD, "w9"))
        world_answer (wld, world_call (wld, WORLD_HOLD, "w9"),
                      COMMAND_NO_ANSWER);
    }
}

static void
pass_until (int64_t ms)
{
  pass (ms - (wld->clk.now_us - claimed_us) / 1000);
}

/* Begins a takeover in which w9, which an earlier owner used, does not answer.
   REGISTERED: the store has its report.  */
static void
take_over (bool registered)
{
  world_add_worker (wld, "w1", 1000);
  placer_add_earlier_worker (wld->plc, "w9", "m-w9", 1000,
                             wld->clk.now_us - 60000000);
  if (registered)
    {
      world_add_worker (wld, "w9", 1000);
      pool_find_id (&wld->plc->pool, "w9")->known_us -= 60000000;
    }
  world_add_job (wld, 1, BATCH_JOB, WORLD_FENCE_OFFSET - 1);
}

/* Guards against two runs of a task (TWICE): a list of hosts shows that a
   worker has ended while an earlier owner may still start tasks on its next
   instance.  A list that shows another worker there, or that is newer than the
   earlier owners' last starts, ends the wait for it.  */
START_TEST (test_list_before_last_earlier_start)
{
  static const struct
  {
    bool registered;
    enum host_state state;
    const char *worker; /* that is listed */
    int64_t list_ms;    /* when the list is requested, from the claim on */
    bool waits;
  } cases[] = {
    { true, HOST_DOWN, "w9", 2500, true },
    { true, HOST_DOWN, "", 2500, true },
    { false, HOST_DOWN, "w9", 2500, true },
    { false, HOST_DOWN, "", 2500, true },
    { false, HOST_UP, "", 2500, true },
    { true, HOST_DOWN, "w9", WORLD_START_CONFIRM_MS + 1900, true },
    { false, HOST_DOWN, "w9", WORLD_START_CONFIRM_MS + 1900, true },
    { true, HOST_DOWN, "w9", WORLD_START_CONFIRM_MS + 2100, false },
    { false, HOST_DOWN, "w9", WORLD_START_CONFIRM_MS + 2100, false },
    { true, HOST_UP, "w10", 2500, false },
    { false, HOST_UP, "w10", 2500, false },
  };
  struct host_report rep = { .state = cases[_i].state };
  name_copy (rep.name, "m-w9");
  name_copy (rep.worker, cases[_i].worker);
  take_over (cases[_i].registered);
  pass_until (cases[_i].list_ms);
  placer_update_host (wld->plc, &rep, wld->clk.now_us);
  pass (1000);
  ck_assert_uint_eq (world_starts (wld, 1, 0), cases[_i].waits ? 0 : 1);
  if (!cases[_i].waits)
    return;
  pass (4000);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
  placer_update_host (wld->plc, &rep, wld->clk.now_us);
  pass (200);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 1);
}
END_TEST

/* Guards against the same with a run: the next instance registers after the
   list, and answers that it runs the task.  */
START_TEST (test_earlier_start_on_next_instance)
{
  const struct world_row row = { .job = 1, .run = 1 };
  struct host_report rep = { .state = HOST_DOWN };
  name_copy (rep.name, "m-w9");
  take_over (_i);
  pass_until (2500);
  placer_update_host (wld->plc, &rep, wld->clk.now_us);
  pass_until (WORLD_START_CONFIRM_MS + 500);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
  world_add_worker (wld, "w9", NEXT_BORN_MS);
  wld->hold_born_ms = NEXT_BORN_MS;
  world_confirm_ownership (wld);
  world_tick (wld, 400);
  world_answer_hold (wld, "w9", &row, 1, NULL, 0);
  wld->hold_born_ms = 0;
  pass (300);
  ck_assert (placer_takeover_done (wld->plc));
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
  ck_assert_ptr_nonnull (pool_find_id (&wld->plc->pool, "w9")->runs);
}
END_TEST

/* Guards against a takeover that waits for the leases of a worker whose host
   has left: it is missing in later lists, after one that showed it as down too
   early.  */
START_TEST (test_host_leaves_after_early_list)
{
  const struct host_report down
      = { .name = "m-w9", .worker = "w9", .state = HOST_DOWN };
  const struct host_report other = { .name = "m-w1", .worker = "w1" };
  const struct host_list list = { .hosts = &other, .count = 1 };
  take_over (_i);
  pass_until (2500);
  placer_update_host (wld->plc, &down, wld->clk.now_us);
  pass_until (WORLD_START_CONFIRM_MS + 500);
  for (int n = 0; n < 2; n++)
    {
      ck_assert (!placer_takeover_done (wld->plc));
      placer_update_hosts (wld->plc, &list, wld->clk.now_us);
      pass (200);
    }
  ck_assert (placer_takeover_done (wld->plc));
  ck_assert_uint_eq (world_starts (wld, 1, 0), 1);
}
END_TEST

/* A fresh instance of w9 answers and is enrolled; the earlier owners have
   released the pool.  */
static void
own_pool (void)
{
  world_release_earlier (wld);
  world_add_worker (wld, "w9", 1000);
  world_enrol_worker (wld, "w9");
  world_confirm_ownership (wld);
}

/* The oldest start without an answer, which the placer may still send.  */
static struct world_call *
open_start (void)
{
  struct world_call *call = world_call (wld, WORLD_START, "w9");
  return call && call->may_send (call->arg) ? call : NULL;
}

/* Passes up to MS until a start is sent, and returns it, or NULL.  w9 lists
   the COUNT runs of ROWS, and acknowledges stops.  */
static struct world_call *
wait_for_start (int64_t ms, const struct world_row *rows, size_t count)
{
  for (; ms > 0 && !open_start (); ms -= 20)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 20);
      if (world_call (wld, WORLD_STOP, "w9"))
        world_answer (wld, world_call (wld, WORLD_STOP, "w9"), COMMAND_DONE);
      if (world_call (wld, WORLD_HOLD, "w9"))
        world_answer_hold (wld, "w9", rows, count, NULL, 0);
    }
  return open_start ();
}

/* Guards against a task that is never started, or twice (LOST, TWICE): a late
   stop of an earlier owner, of a run with a higher number than this owner
   knows, reaches a fresh instance before the start of the next run.  The
   worker refuses all numbers up to that one, and the answers may be lost.  */
START_TEST (test_start_behind_late_stop)
{
  static const char perpetual[] = PERPETUAL_JOB;
  static const struct
  {
    const char *job;
    uint32_t stopped; /* number in the late stop */
    bool lost;        /* the refusals are not answered */
  } cases[] = {
    { BATCH_JOB, 1, false }, { BATCH_JOB, 3, false }, { BATCH_JOB, 3, true },
    { BATCH_JOB, 9, false }, { perpetual, 3, false }, { perpetual, 3, true },
    { GANG_JOB, 3, false },  { GANG_JOB, 3, true },
  };
  own_pool ();
  struct job *job = world_add_job (wld, 1, cases[_i].job, 200);
  job->occurrences[0].tasks[0].prg.last_run = 1;
  int64_t begun_us = wld->clk.now_us;
  uint32_t number;
  /* A start of a batch task without an answer may still be carried out.  */
  int64_t late_us
      = cases[_i].lost && cases[_i].job != perpetual ? LATE_CALL_MAX_US : 0;
  do
    {
      ck_assert_int_le (wld->clk.now_us - begun_us,
                        cases[_i].stopped * (late_us + 400000));
      struct world_call *start
          = wait_for_start (1000 + late_us / 1000, NULL, 0);
      ck_assert_ptr_nonnull (start);
      number = start->run;
      bool refused = number <= cases[_i].stopped;
      world_answer (wld, start,
                    !refused         ? COMMAND_DONE
                    : cases[_i].lost ? COMMAND_NO_ANSWER
                                     : COMMAND_STALE_RUN);
      /* The other member of a gang.  */
      while (open_start ())
        world_answer (wld, open_start (),
                      refused ? COMMAND_STALE_RUN : COMMAND_DONE);
    }
  while (number <= cases[_i].stopped);
  const struct run *run = pool_find_id (&wld->plc->pool, "w9")->runs;
  ck_assert_ptr_nonnull (run);
  for (; run; run = run->next)
    {
      ck_assert_uint_eq (run->number, number);
      ck_assert_int_eq (run->state, RUN_ACTIVE);
    }
}
END_TEST

/* Guards against two runs that go on beside each other (TWICE): a late start
   of an earlier owner, with a higher number, is carried out by a fresh
   instance before this owner's start of a lower number, or instead of it.  */
START_TEST (test_start_behind_late_start)
{
  static const struct
  {
    enum command_status status; /* of this owner's start */
    bool listed;                /* this owner's run is */
    uint32_t kept;              /* run that goes on; 0: none */
    const char *job;
  } cases[] = {
    { COMMAND_DONE, true, 2, BATCH_JOB },
    { COMMAND_NO_ANSWER, true, 2, BATCH_JOB },
    { COMMAND_NO_ANSWER, false, 0, BATCH_JOB },
    { COMMAND_NO_ANSWER, false, 0, PERPETUAL_JOB },
  };
  /* A start of a batch task without an answer may still be carried out.  */
  int64_t late_ms = _i == 2 ? LATE_CALL_MAX_US / 1000 : 0;
  const struct world_row rows[]
      = { { .job = 1, .run = 3 }, { .job = 1, .run = 2 } };
  own_pool ();
  struct job *job = world_add_job (wld, 1, cases[_i].job, 200);
  const struct task *tsk = &job->occurrences[0].tasks[0];
  job->occurrences[0].tasks[0].prg.last_run = 1;
  struct world_call *start = wait_for_start (1000, NULL, 0);
  ck_assert_ptr_nonnull (start);
  ck_assert_uint_eq (start->run, 2);
  world_answer (wld, start, cases[_i].status);
  world_tick (wld, 20);
  world_answer_hold (wld, "w9", rows, cases[_i].listed ? 2 : 1, NULL, 0);
  bool stopped[4] = { false };
  struct world_call *stop;
  while ((stop = world_call (wld, WORLD_STOP, "w9")))
    {
      ck_assert_uint_lt (stop->run, 4);
      stopped[stop->run] = true;
      world_answer (wld, stop, COMMAND_DONE);
    }
  ck_assert (stopped[3]);
  ck_assert (stopped[2] == (cases[_i].kept != 2));
  /* Until the stopped runs are not listed any more, nothing is started.  */
  ck_assert_ptr_null (wait_for_start (600, rows, cases[_i].listed ? 2 : 1));
  start = wait_for_start (600 + late_ms, rows + 1, cases[_i].listed);
  if (cases[_i].kept)
    {
      ck_assert_ptr_null (start);
      ck_assert_ptr_nonnull (tsk->run);
      ck_assert_uint_eq (tsk->run->number, cases[_i].kept);
      ck_assert_int_eq (tsk->run->state, RUN_ACTIVE);
    }
  else
    {
      ck_assert_ptr_nonnull (start);
      ck_assert_uint_eq (start->run, 4);
    }
}
END_TEST

/* Guards against work that is done again (TWICE): the late run with the higher
   number has ended as done before this owner's run is listed.  */
START_TEST (test_end_of_late_start)
{
  static const enum run_end ends[] = { RUN_END_DONE, RUN_END_FAILED };
  const struct world_row end
      = { .job = 1, .run = 3, .end = ends[_i], .number = 1 };
  const struct world_row row = { .job = 1, .run = 2 };
  own_pool ();
  struct job *job = world_add_job (wld, 1, BATCH_JOB, 200);
  const struct task *tsk = &job->occurrences[0].tasks[0];
  job->occurrences[0].tasks[0].prg.last_run = 1;
  struct world_call *start = wait_for_start (1000, NULL, 0);
  ck_assert_ptr_nonnull (start);
  world_answer (wld, start, COMMAND_DONE);
  world_tick (wld, 20);
  world_answer_hold (wld, "w9", &row, 1, &end, 1);
  ck_assert_uint_eq (tsk->prg.last_run, 3);
  struct world_call *stop = world_call (wld, WORLD_STOP, "w9");
  if (ends[_i] == RUN_END_DONE)
    {
      ck_assert (tsk->prg.done);
      ck_assert_ptr_nonnull (stop);
      ck_assert_uint_eq (stop->run, 2);
    }
  else
    {
      ck_assert_ptr_null (stop);
      ck_assert_ptr_nonnull (tsk->run);
    }
  ck_assert_ptr_null (wait_for_start (1000, &row, 1));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placer_predecessor");
  TCase *tc = tcase_create ("placer_predecessor");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, test_list_before_last_earlier_start, 0, 11);
  tcase_add_loop_test (tc, test_earlier_start_on_next_instance, 0, 2);
  tcase_add_loop_test (tc, test_host_leaves_after_early_list, 0, 2);
  tcase_add_loop_test (tc, test_start_behind_late_stop, 0, 8);
  tcase_add_loop_test (tc, test_start_behind_late_start, 0, 4);
  tcase_add_loop_test (tc, test_end_of_late_start, 0, 2);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
