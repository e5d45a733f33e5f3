#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "placer_world.h"
#include "sched/placer_priv.h"
#include "sched/pool.h"

/* Tests of an owner whose tasks wait while workers are free.  */

#define ONE_TASK_JOB                                                          \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"estimate-ms\":900}]" \
  "}"

static struct world *wld;

static void
setup (void)
{
  wld = world_create ();
  world_add_worker (wld, "w1", 1000);
  world_enrol_worker (wld, "w1");
}

static void
teardown (void)
{
  world_destroy (wld);
}

/* Guards against an owner that starts nothing for seconds without a line that
   tells why.  */
START_TEST (test_stall_reported)
{
  wld->log_inconsistent = true;
  world_add_job (wld, 1, ONE_TASK_JOB, 200);
  for (int ms = 0; ms < 3000; ms += 40)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 40);
    }
  int64_t reported_us = wld->plc->next_stall_report_us - (int64_t)5000 * 1000;
  ck_assert_int_gt (wld->plc->stalled_us, 0);
  ck_assert_int_ge (reported_us - wld->plc->stalled_us, 1000 * 1000);
  ck_assert_int_le (reported_us - wld->plc->stalled_us, 1600 * 1000);
  wld->log_inconsistent = false;
  world_tick (wld, 40);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 1);
  world_tick (wld, 600);
  ck_assert_int_eq (wld->plc->stalled_us, 0);
}
END_TEST

/* Guards against a worker that gets no tasks for up to 10 s after a run was
   stopped there whose job is not known: nobody asked it whether the run had
   ended.  */
START_TEST (test_unknown_run_ends)
{
  const struct world_row row = { .job = 99, .run = 1 };
  world_release_earlier (wld);
  world_tick (wld, 40);
  world_answer_hold (wld, "w1", &row, 1, NULL, 0);
  world_add_job (wld, 1, ONE_TASK_JOB, 200);
  world_tick (wld, 40);
  ck_assert_ptr_nonnull (world_call (wld, WORLD_STOP, "w1"));
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
  world_answer (wld, world_call (wld, WORLD_STOP, "w1"), COMMAND_DONE);
  world_tick (wld, 40);
  /* Without a wait, holds would follow each other until the run has ended.  */
  ck_assert_ptr_nonnull (world_call (wld, WORLD_HOLD, "w1"));
  ck_assert_int_gt (world_call (wld, WORLD_HOLD, "w1")->wait_ms, 0);
  world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
  world_tick (wld, 40);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 1);
}
END_TEST

/* Starts job ID and lists its run on WORKER as failed.  */
static void
fail_job (uint64_t id, const char *worker)
{
  const struct world_row end
      = { .job = id, .run = 1, .end = RUN_END_FAILED, .number = id };
  struct job *job = world_add_job (wld, id, ONE_TASK_JOB, 200 + id);
  world_confirm_ownership (wld);
  world_tick (wld, 40);
  world_answer (wld, world_call (wld, WORLD_START, worker), COMMAND_DONE);
  world_tick (wld, 300);
  world_answer_hold (wld, worker, NULL, 0, &end, 1);
  job->state = JOB_FAILED;
  world_tick (wld, 40);
  world_complete_append (wld);
  world_tick (wld, 40);
  const struct world_call *hold = world_call (wld, WORLD_HOLD, worker);
  if (hold && hold->last_seen > 0)
    world_answer_hold (wld, worker, NULL, 0, NULL, 0);
}

/* Guards against a pool whose idle workers get no tasks for up to 24 s: jobs
   that always fail had made each of them look faulty.  */
START_TEST (test_all_workers_fail)
{
  world_release_earlier (wld);
  for (uint64_t id = 1; id <= 3; id++)
    fail_job (id, "w1");
  world_add_job (wld, 9, ONE_TASK_JOB, 300);
  for (int ms = 0; ms < 1100; ms += 100)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 100);
    }
  ck_assert_uint_eq (world_starts (wld, 9, 0), 1);
}
END_TEST

/* One failing worker among others gets no tasks even if these are full: it
   would use up the attempts of one job after the other.  */
START_TEST (test_failing_worker_avoided)
{
  world_release_earlier (wld);
  wld->plc->pool.workers[0]->rep.draining = true;
  world_add_worker (wld, "w2", 1000);
  world_enrol_worker (wld, "w2");
  for (uint64_t id = 11; id <= 14; id++)
    world_add_job (wld, id, ONE_TASK_JOB, 300 + id);
  world_confirm_ownership (wld);
  world_tick (wld, 40);
  ck_assert_uint_eq (world_starts (wld, 14, 0), 1);
  wld->plc->pool.workers[0]->rep.draining = false;
  for (uint64_t id = 1; id <= 3; id++)
    fail_job (id, "w1");
  world_add_job (wld, 15, ONE_TASK_JOB, 400);
  world_confirm_ownership (wld);
  world_tick (wld, 40);
  ck_assert_uint_eq (world_starts (wld, 15, 0), 0);
}
END_TEST

/* Guards against a host that counts as empty a second after its last run has
   ended: the hold that acknowledges the end was held open for further ends.
 */
START_TEST (test_last_end_acknowledged_at_once)
{
  static const struct
  {
    uint32_t runs; /* on the worker, of which one ends */
    bool waits;    /* the hold after the acknowledgement is held open */
  } rows[] = { { 1, false }, { 2, true } };
  const uint32_t runs = rows[_i].runs;
  const struct world_row end
      = { .job = 1, .run = 1, .end = RUN_END_DONE, .number = 1 };
  const struct world_row started[]
      = { { .job = 2, .run = 1 }, { .job = 1, .run = 1 } };
  const struct world_row *running = runs == 2 ? started : started + 1;
  struct placer_vacated vac;
  world_release_earlier (wld);
  for (uint64_t id = 1; id <= runs; id++)
    world_add_job (wld, id, ONE_TASK_JOB, 200 + id);
  world_confirm_ownership (wld);
  world_tick (wld, 40);
  for (uint32_t n = 0; n < runs; n++)
    world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_DONE);
  world_tick (wld, 40);
  world_complete_append (wld);
  world_answer_hold (wld, "w1", running, runs, NULL, 0);
  world_tick (wld, 40);
  ck_assert_int_gt (world_call (wld, WORLD_HOLD, "w1")->wait_ms, 0);
  placer_vacate (wld->plc, "m-w1", wld->clk.now_us + 1500000);
  world_answer_hold (wld, "w1", started, runs - 1, &end, 1);
  world_tick (wld, 40);
  world_complete_append (wld);
  world_tick (wld, 300);
  const struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
  ck_assert_ptr_nonnull (hold);
  ck_assert_uint_eq (hold->last_seen, 1);
  ck_assert_int_eq (hold->wait_ms, 0);
  world_answer_hold (wld, "w1", started, runs - 1, NULL, 0);
  for (int n = 0; n < 3; n++)
    world_tick (wld, 40);
  hold = world_call (wld, WORLD_HOLD, "w1");
  ck_assert (rows[_i].waits == (hold && hold->wait_ms > 0));
  ck_assert_int_eq (placer_host_empty (wld->plc, "m-w1", &vac),
                    !rows[_i].waits);
}
END_TEST

/* Reads the log of the placer, which is written to FILE, and ends it.  */
static void
read_log (FILE *file, char *text, size_t size)
{
  logger_destroy (wld->plc->env.lg);
  wld->plc->env.lg = NULL;
  rewind (file);
  size_t len = fread (text, 1, size - 1, file);
  text[len] = '\0';
  fclose (file);
}

/* How w1 answers.  */
enum answers
{
  ANSWERS_ALL,
  ANSWERS_NO_HOLD,
  ANSWERS_NOTHING,
};

/* Plays for MS.  w1 lists the run of job 1 whatever it is told.  */
static void
play_waits (int64_t ms, enum answers how)
{
  const struct world_row row = { .job = 1, .run = 1 };
  struct world_call *call;
  for (int64_t left = ms; left > 0; left -= 100)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 100);
      world_complete_append (wld);
      if (how == ANSWERS_NOTHING)
        continue;
      while ((call = world_call (wld, WORLD_START, "w1"))
             || (call = world_call (wld, WORLD_STOP, "w1")))
        world_answer (wld, call, COMMAND_DONE);
      call = world_call (wld, WORLD_HOLD, "w1");
      if (call && how == ANSWERS_NO_HOLD)
        world_answer (wld, call, COMMAND_NO_ANSWER);
      else if (call)
        world_answer_hold (wld, "w1", &row, 1, NULL, 0);
    }
}

/* Guards against a task that waits for the end of its run without a line that
   names it.  */
START_TEST (test_run_waits_reported)
{
  static const struct
  {
    enum answers before, after;
    bool cancel;
    const char *fields; /* NULL: no line */
  } rows[] = {
    { ANSWERS_NOTHING, ANSWERS_NOTHING, false, "state=starting" },
    { ANSWERS_ALL, ANSWERS_NO_HOLD, false, "state=active" },
    { ANSWERS_ALL, ANSWERS_ALL, false, NULL },
    { ANSWERS_ALL, ANSWERS_ALL, true, "state=stopping" },
  };
  char text[4096];
  FILE *file = tmpfile ();
  ck_assert_ptr_nonnull (file);
  world_release_earlier (wld);
  struct job *job = world_add_job (wld, 1, ONE_TASK_JOB, 200);
  wld->plc->env.lg
      = logger_create (NULL, &wld->clk.clk, fileno (file), LOG_LEVEL_WARN);
  play_waits (500, rows[_i].before);
  if (rows[_i].cancel)
    {
      job->state = JOB_CANCELLED;
      placer_update_job (wld->plc, job, JOB_CHANGE_CANCELLED);
    }
  play_waits (2500, rows[_i].after);
  read_log (file, text, sizeof text);
  const char *line = strstr (text, "run.waits");
  if (!rows[_i].fields)
    ck_assert_msg (!line, "line: %s", text);
  else
    {
      ck_assert_msg (line, "no line: %s", text);
      ck_assert_msg (strstr (line, rows[_i].fields), "fields: %s", text);
      ck_assert_msg (strstr (line, "owner=ready"), "owner: %s", text);
    }
}
END_TEST

/* Guards against a task that nobody names beside many others whose wait ends
   with their leases.  */
START_TEST (test_run_waits_limited)
{
  static const struct
  {
    int64_t ms;
    uint32_t other, lease; /* reports since the last 5 s began */
  } rows[] = { { 1900, 0, 0 }, { 2300, 1, 4 }, { 4000, 1, 4 } };
  int64_t passed = 0;
  world_release_earlier (wld);
  for (uint64_t id = 2; id <= 4; id++)
    world_add_job (wld, id, ONE_TASK_JOB, 200 + id);
  world_add_worker (wld, "w2", 1000);
  world_enrol_worker (wld, "w2");
  for (uint64_t id = 5; id <= 8; id++)
    world_add_job (wld, id, ONE_TASK_JOB, 200 + id);
  world_confirm_ownership (wld);
  world_tick (wld, 40);
  struct run *run = wld->plc->pool.workers[0]->runs;
  for (size_t n = 0; n < wld->call_count; n++)
    if (!wld->calls[n].answered && wld->calls[n].kind == WORLD_START)
      world_answer (wld, &wld->calls[n], COMMAND_DONE);
  placer_stop_run (wld->plc, run);
  for (size_t n = 0; n < sizeof rows / sizeof rows[0]; n++)
    {
      for (; passed < rows[n].ms; passed += 100)
        {
          static const char *const ids[] = { "w1", "w2" };
          for (int k = 0; k < 2; k++)
            if (world_call (wld, WORLD_HOLD, ids[k]))
              world_answer (wld, world_call (wld, WORLD_HOLD, ids[k]),
                            COMMAND_NO_ANSWER);
          world_confirm_ownership (wld);
          world_tick (wld, 100);
        }
      ck_assert_uint_eq (wld->plc->wait_reports[WAIT_OTHER], rows[n].other);
      ck_assert_uint_eq (wld->plc->wait_reports[WAIT_LEASE], rows[n].lease);
    }
  ck_assert_int_gt (run->wait_reported_us, 0);
}
END_TEST

/* Guards against a worker's restart under its id that no line tells.  */
START_TEST (test_restart_reported)
{
  char text[4096];
  FILE *file = tmpfile ();
  ck_assert_ptr_nonnull (file);
  world_release_earlier (wld);
  wld->hold_born_ms = 1000;
  world_add_job (wld, 1, ONE_TASK_JOB, 200);
  world_add_job (wld, 2, ONE_TASK_JOB, 201);
  wld->plc->env.lg
      = logger_create (NULL, &wld->clk.clk, fileno (file), LOG_LEVEL_INFO);
  world_confirm_ownership (wld);
  world_tick (wld, 40);
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_DONE);
  play_waits (100, ANSWERS_NOTHING);
  const struct world_row row = { .job = 1, .run = 1 };
  world_answer_hold (wld, "w1", &row, 1, NULL, 0);
  wld->hold_born_ms = 5000;
  if (_i == 1)
    world_add_worker (wld, "w1", 5000);
  for (int n = 0; n < 3; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 60);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
    }
  read_log (file, text, sizeof text);
  const char *line = strstr (text, "worker.restarted");
  ck_assert_msg (line, "no line: %s", text);
  ck_assert_ptr_nonnull (strstr (line, "old_born_ms=1000 born_ms=5000"));
  ck_assert_ptr_nonnull (strstr (line, _i ? "seen=report" : "seen=answer"));
  ck_assert_ptr_nonnull (strstr (line, "lost=1 kept=0 stops=1"));
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("placer_wait");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_stall_reported);
  tcase_add_test (tc, test_unknown_run_ends);
  tcase_add_loop_test (tc, test_last_end_acknowledged_at_once, 0, 2);
  tcase_add_test (tc, test_all_workers_fail);
  tcase_add_test (tc, test_failing_worker_avoided);
  tcase_add_loop_test (tc, test_run_waits_reported, 0, 4);
  tcase_add_test (tc, test_run_waits_limited);
  tcase_add_loop_test (tc, test_restart_reported, 0, 2);
  Suite *suite = suite_create ("placer_wait");
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
