#include <check.h>
#include <string.h>
#include <talloc.h>

#include "placer_world.h"
#include "proto/job.pb-c.h"
#include "sched/placer_record.h"

/* Workers that come while the store is slow: a perpetual task waits for one
   append of the worker record, which names its worker and its place there.  */

#define STEP_MS 10
#define JOB                                                                   \
  "{\"steps\":[{\"count\":1,\"cpu\":100,\"mem-mb\":64,\"perpetual\":true}]}"
#define BATCH_JOB "{\"steps\":[{\"count\":1,\"cpu\":100,\"mem-mb\":64}]}"

static struct world *wld;

static void
setup (void)
{
  wld = world_create ();
  world_add_worker (wld, "w1", 1000);
  world_enrol_worker (wld, "w1");
  world_release_earlier (wld);
  for (int n = 0; n < 30; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, STEP_MS);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
    }
  ck_assert (placer_takeover_done (wld->plc));
  ck_assert_ptr_null (wld->enrol_fn);
}

static void
teardown (void)
{
  world_destroy (wld);
}

/* A tick in which no append ends.  */
static void
tick (void)
{
  wld->clk.now_us += STEP_MS * 1000;
  world_confirm_ownership (wld);
  placer_tick (wld->plc);
}

/* The worker ID comes and answers.  */
static void
add_worker (const char *id)
{
  world_add_worker (wld, id, 1000);
  tick ();
  world_answer_hold (wld, id, NULL, 0, NULL, 0);
  tick ();
}

/* The append of the worker record, which has been sent, ends with OUT.  */
static void
end_append (enum persist_outcome out)
{
  persist_fn *fn = wld->enrol_fn;
  ck_assert_ptr_nonnull (fn);
  ck_assert_ptr_null (wld->enrol_fill);
  wld->enrol_fn = NULL;
  fn (wld->enrol_arg, out);
}

/* The record is delayed: tasks do not wait for that of their worker.  */
static void
delay_record (void)
{
  for (int n = 0; n < 30; n++)
    tick ();
}

/* Takes W1 out of use.  */
static void
lose_w1 (void)
{
  pool_find_id (&wld->plc->pool, "w1")->unanswered_calls = 10;
}

/* Whether the last record names WORKER for run NUMBER of a task.  */
static bool
record_names (const char *worker, uint32_t number)
{
  bool found = false;
  Kingcuphollow__PoolWorkers *msg = kingcuphollow__pool_workers__unpack (
      NULL, wld->record_len, wld->record);
  for (size_t n = 0; n < msg->n_workers; n++)
    for (size_t m = 0; m < msg->workers[n]->n_runs; m++)
      found = found
              || (strcmp (msg->workers[n]->id, worker) == 0
                  && msg->workers[n]->runs[m]->run <= number
                  && number - msg->workers[n]->runs[m]->run
                         <= msg->workers[n]->runs[m]->reserved);
  kingcuphollow__pool_workers__free_unpacked (msg, NULL);
  return found;
}

/* Guards against a worker that waits for two appends, as the record waits for
   another append and was made before the worker came (LOST).  */
START_TEST (test_record_names_workers_that_came_while_it_waited)
{
  wld->append_busy = true;
  add_worker ("w2");
  ck_assert_ptr_nonnull (wld->enrol_fill);
  add_worker ("w3");
  world_send_record (wld);
  ck_assert_uint_eq (wld->recorded_workers, 3);
  end_append (PERSIST_DONE);
  ck_assert (pool_find_id (&wld->plc->pool, "w2")->enrolled);
  ck_assert (pool_find_id (&wld->plc->pool, "w3")->enrolled);
  tick ();
  ck_assert_ptr_null (wld->enrol_fn);
}
END_TEST

/* Guards against a record that misses the next append, which is sent as soon
   as one ends (LOST).  */
START_TEST (test_next_record_is_ready_when_one_is_appended)
{
  wld->append_busy = true;
  add_worker ("w2");
  world_send_record (wld);
  add_worker ("w3");
  ck_assert_uint_eq (wld->recorded_workers, 2);
  end_append (PERSIST_DONE);
  ck_assert_ptr_nonnull (wld->enrol_fill);
  world_send_record (wld);
  ck_assert_uint_eq (wld->recorded_workers, 3);
  end_append (PERSIST_DONE);
  ck_assert (pool_find_id (&wld->plc->pool, "w3")->enrolled);
}
END_TEST

/* Guards against worker records after the owner may not command any more, or
   is fenced (TWICE).  */
START_TEST (test_no_record_of_a_late_owner)
{
  wld->append_busy = true;
  add_worker ("w2");
  world_send_record (wld);
  add_worker ("w3");
  if (_i == 0)
    wld->clk.now_us += WORLD_CONFIRM_MS * 1000;
  end_append (_i == 0 ? PERSIST_DONE : PERSIST_FENCED);
  ck_assert_ptr_null (wld->enrol_fn);
}
END_TEST

/* Guards against an append that never ends for the placer when the record
   could not be made.  */
START_TEST (test_record_that_could_not_be_made)
{
  wld->append_busy = true;
  add_worker ("w2");
  wld->enrol_fill = NULL;
  end_append (PERSIST_NOT_DONE);
  ck_assert (!pool_find_id (&wld->plc->pool, "w2")->enrolled);
  tick ();
  world_send_record (wld);
  end_append (PERSIST_DONE);
  ck_assert (pool_find_id (&wld->plc->pool, "w2")->enrolled);
}
END_TEST

/* What happens to the record that names a new worker and a place there.  */
enum record_end
{
  RECORD_APPENDED,
  RECORD_FENCED,
  RECORD_SILENT,
  RECORD_WORKER_DRAINS, /* appended after the worker has turned to leave */
  RECORD_WORKER_SILENT, /* appended after the worker has turned silent */
  RECORD_ENDS
};

/* Guards against a perpetual task that waits for two records, one for its
   worker and one for its place (LOST), and against a start that no record in
   the log names (TWICE).  */
START_TEST (test_start_on_new_worker_needs_one_record)
{
  struct job *job = world_add_job (wld, 1, JOB, WORLD_FENCE_OFFSET + 1);
  lose_w1 ();
  tick ();
  ck_assert_ptr_null (job->occurrences[0].tasks[0].run);
  wld->append_busy = true;
  add_worker ("w2");
  ck_assert_ptr_null (job->occurrences[0].tasks[0].run);
  delay_record ();
  ck_assert_ptr_nonnull (job->occurrences[0].tasks[0].run);
  world_send_record (wld);
  ck_assert (record_names ("w2", 1));
  for (int n = 0; n < 100; n++)
    tick ();
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
  if (_i == RECORD_WORKER_DRAINS)
    pool_find_id (&wld->plc->pool, "w2")->rep.draining = true;
  if (_i == RECORD_WORKER_SILENT)
    pool_find_id (&wld->plc->pool, "w2")->unanswered_calls = 10;
  if (_i != RECORD_SILENT)
    end_append (_i == RECORD_FENCED ? PERSIST_FENCED : PERSIST_DONE);
  for (int n = 0; n < 10; n++)
    tick ();
  ck_assert_uint_eq (world_starts (wld, 1, 0), _i == RECORD_APPENDED);
}
END_TEST

/* Guards against tasks that wait for a new worker's record although another
   worker has room, and against batch tasks on a worker that no record names
   (TWICE).  */
START_TEST (test_new_worker_is_last_choice)
{
  static const struct
  {
    const char *json;
    bool w1_lost;
  } cases[] = { { JOB, false }, { BATCH_JOB, false }, { BATCH_JOB, true } };
  wld->append_busy = true;
  if (cases[_i].w1_lost)
    lose_w1 ();
  add_worker ("w2");
  delay_record ();
  struct job *job
      = world_add_job (wld, 1, cases[_i].json, WORLD_FENCE_OFFSET + 1);
  tick ();
  const struct run *run = job->occurrences[0].tasks[0].run;
  ck_assert (cases[_i].w1_lost ? !run
                               : run && strcmp (run->wrk->rep.id, "w1") == 0);
}
END_TEST

/* Guards against a start on a worker that no record names, of an owner whose
   records do not name runs yet, so that the start does not wait for one
   (TWICE).  */
START_TEST (test_new_owner_names_workers_first)
{
  world_take_over (wld, 100, WORLD_FENCE_OFFSET + 2);
  wld->append_busy = true;
  add_worker ("w1");
  struct job *job = world_add_job (wld, 1, JOB, WORLD_FENCE_OFFSET + 3);
  ck_assert (!placer_records_runs (wld->plc));
  for (int n = 0; n < 10; n++)
    tick ();
  ck_assert_ptr_null (job->occurrences[0].tasks[0].run);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
}
END_TEST

/* Guards against a second run (TWICE): the record in flight at the takeover is
   in the log, and the earlier owner may have started the task on the worker
   that it names.  Without that record it has not.  */
START_TEST (test_successor_awaits_new_worker)
{
  const bool in_log = _i;
  world_add_job (wld, 1, JOB, WORLD_FENCE_OFFSET + 1);
  lose_w1 ();
  void *record = talloc_memdup (wld->ctx, wld->record, wld->record_len);
  size_t len = wld->record_len;
  wld->append_busy = true;
  add_worker ("w2");
  delay_record ();
  world_send_record (wld);
  wld->append_busy = false;
  ck_assert (record_names ("w2", 1));
  if (in_log)
    {
      record = talloc_memdup (wld->ctx, wld->record, wld->record_len);
      len = wld->record_len;
    }
  world_take_over (wld, 100, WORLD_FENCE_OFFSET + 2);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
  placer_add_earlier_record (wld->plc, record, len, wld->clk.now_us);
  world_add_worker (wld, "w1", 1000);
  world_add_worker (wld, "w2", 1000);
  const int64_t claimed_us = wld->clk.now_us;
  while (world_starts (wld, 1, 0) == 0
         && wld->clk.now_us < claimed_us + 60000000)
    {
      struct world_call *call;
      size_t kept = 0;
      world_confirm_ownership (wld);
      world_tick (wld, STEP_MS);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
      if ((call = world_call (wld, WORLD_HOLD, "w2")))
        world_answer (wld, call, COMMAND_NO_ANSWER);
      for (size_t n = 0; n < wld->call_count; n++)
        if (!wld->calls[n].answered)
          wld->calls[kept++] = wld->calls[n];
      wld->call_count = kept;
    }
  const struct world_call *start = world_call (wld, WORLD_START, "w1");
  ck_assert_ptr_nonnull (start);
  if (in_log)
    {
      ck_assert_int_ge (wld->clk.now_us,
                        claimed_us + WORLD_LEASE_MAX_MS * 1000);
      ck_assert_uint_gt (start->run, 1);
    }
  else
    ck_assert_int_le (wld->clk.now_us,
                      claimed_us + WORLD_START_CONFIRM_MS * 1000 + 1500000);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placer_new_worker");
  TCase *tc = tcase_create ("placer_new_worker");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_record_names_workers_that_came_while_it_waited);
  tcase_add_test (tc, test_next_record_is_ready_when_one_is_appended);
  tcase_add_loop_test (tc, test_no_record_of_a_late_owner, 0, 2);
  tcase_add_test (tc, test_record_that_could_not_be_made);
  tcase_add_loop_test (tc, test_start_on_new_worker_needs_one_record, 0,
                       RECORD_ENDS);
  tcase_add_loop_test (tc, test_new_worker_is_last_choice, 0, 3);
  tcase_add_test (tc, test_new_owner_names_workers_first);
  tcase_add_loop_test (tc, test_successor_awaits_new_worker, 0, 2);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
