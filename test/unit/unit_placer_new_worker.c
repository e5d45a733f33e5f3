#include <check.h>

#include "placer_world.h"
#include "sched/placer_record.h"

/* Workers that come while the store is slow: a perpetual task waits for one
   append of the worker record, which names its worker and its place there.  */

#define STEP_MS 10

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
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
