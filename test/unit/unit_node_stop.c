#include <check.h>
#include <stdlib.h>

#include "node_world.h"
#include "proto/job.pb-c.h"

/* Tests of the shutdown of a scheduler process (node/stop.c).  */

#define BODY "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64}]}"
/* From the stop signal until the platform kills the process.  */
#define GRACE_MS 6000
/* Until requests are answered when the store is slow.  */
#define SLOW_MS 4200

static struct node_world wld;

/* Continues at ELAPSED_MS after the stop signal.  */
static void
run_at (int64_t elapsed_ms)
{
  wld.nod->stop_us = clock_now_us (wld.nod->clk) - elapsed_ms * 1000;
  node_world_run (&wld, 120);
}

/* Starts the process and a submission that the store does not complete, and
   sends the process a stop signal.  */
static void
stop_with_open_request (void)
{
  node_world_init (&wld, false);
  wld.jobs->hold_appends = true;
  node_world_submit (&wld, "0000000000000009", BODY);
  node_world_run (&wld, 50);
  node_begin_stop (wld.nod);
}

/* Guards against requests that a stop cuts off (LOST): the process ended while
   the store still worked on them, well before the end of the grace time.  */
START_TEST (test_stop_waits_for_requests)
{
  stop_with_open_request ();
  run_at (SLOW_MS);
  ck_assert (!wld.nod->stopped);
  ck_assert (topic_memory_run_held (wld.jobs));
  node_world_run (&wld, 120);
  ck_assert_uint_eq (wld.replies, 1);
  ck_assert_int_eq (wld.last_reply.status, FRONT_OK);
  ck_assert (wld.nod->stopped);
  node_world_fini (&wld);
}
END_TEST

/* Guards against requests that never get an answer (LOST), as the store gives
   none before the process has to end.  */
START_TEST (test_stop_answers_all_requests)
{
  stop_with_open_request ();
  for (int64_t ms = 5000; ms < GRACE_MS - 300 && !wld.nod->stopped; ms += 100)
    run_at (ms);
  ck_assert_uint_eq (wld.replies, 1);
  ck_assert_int_eq (wld.last_reply.status, FRONT_OUTCOME_UNKNOWN);
  ck_assert (wld.nod->stopped);
  node_world_fini (&wld);
}
END_TEST

/* Guards against a stop that takes on more requests than it can answer: after
   the time for which the load balancer may send new connections, a submission
   is rejected, and the state of a job is still told.  */
START_TEST (test_late_request_of_stopping_process)
{
  stop_with_open_request ();
  run_at (1000);
  node_world_submit (&wld, "0000000000000010", BODY);
  ck_assert_uint_eq (wld.replies, 0);
  run_at (3000);
  node_world_submit (&wld, "0000000000000011", BODY);
  ck_assert_uint_eq (wld.replies, 1);
  ck_assert_int_eq (wld.last_reply.status, FRONT_REJECTED);
  node_world_handle (&wld, FRONT_CANCEL, "0000000000000009");
  ck_assert_uint_eq (wld.replies, 2);
  ck_assert_int_eq (wld.last_reply.status, FRONT_REJECTED);
  node_world_handle (&wld, FRONT_STATE, "0000000000000012");
  ck_assert_uint_eq (wld.replies, 3);
  ck_assert_int_eq (wld.last_reply.status, FRONT_NO_JOB);
  node_world_fini (&wld);
}
END_TEST

/* What the last record with KEY states about leases.  */
static int64_t
stated_leases_ms (const char *key)
{
  int64_t offset = topic_memory_find (wld.duties, key);
  ck_assert_int_ge (offset, 0);
  const struct memory_record *rec = &wld.duties->records[offset];
  Kingcuphollow__DutyClaim *msg
      = kingcuphollow__duty_claim__unpack (NULL, rec->value_len, rec->value);
  ck_assert_ptr_nonnull (msg);
  ck_assert_ptr_nonnull (msg->earlier);
  int64_t leases_ms = msg->earlier->leases_ms;
  kingcuphollow__duty_claim__free_unpacked (msg, NULL);
  return leases_ms;
}

/* Guards against a successor that starts tasks again while workers hold leases
   (TWICE): the record of the duty states a shorter time than workers may have
   granted.  */
START_TEST (test_record_states_longest_lease)
{
  node_world_init (&wld, false);
  node_world_claim (&wld, "p", "n2", 1, true);
  int64_t released_us = clock_now_us (wld.nod->clk);
  node_world_run (&wld, 1500);
  ck_assert (
      duty_held_by (duty_find (&wld.nod->duties, "p"), "n1", NODE_WORLD_BOOT));
  int64_t passed_ms = (clock_now_us (wld.nod->clk) - released_us) / 1000;
  ck_assert_int_ge (stated_leases_ms ("d/p"),
                    wld.nod->set->lease_max_ms - passed_ms);
  node_begin_stop (wld.nod);
  node_world_run (&wld, 200);
  ck_assert_int_ge (stated_leases_ms ("r/p"), wld.nod->set->lease_max_ms);
  node_world_fini (&wld);
}
END_TEST

/* Guards against a successor that takes the time in a record for the longest
   lease (TWICE): an earlier version counts the usual one only.  */
START_TEST (test_record_of_earlier_version)
{
  Kingcuphollow__DutyClaim msg = KINGCUPHOLLOW__DUTY_CLAIM__INIT;
  Kingcuphollow__EarlierHolders ear = KINGCUPHOLLOW__EARLIER_HOLDERS__INIT;
  uint8_t data[128];
  node_world_create (&wld, false);
  wld.nod->started_us = INT64_MAX / 2; /* claims no duty */
  /* It adds 2% for a slow clock, and 0.5 s for the way of a command.  */
  ear.leases_ms = (uint32_t)(wld.nod->set->lease_ms * 102 / 100 + 500);
  msg.holder = "n2";
  msg.released = msg.cleared = true;
  msg.earlier = &ear;
  int64_t released_us = clock_now_us (wld.nod->clk);
  topic_memory_add (wld.duties, "d/p", data,
                    kingcuphollow__duty_claim__pack (&msg, data));
  node_world_run (&wld, 200);
  const struct duty *dty = duty_find (&wld.nod->duties, "p");
  int64_t span_us
      = duty_earlier_leases_end_us (&wld.nod->duties, dty) - released_us;
  int64_t longest_us = placer_lease_span_us (wld.nod->set->lease_max_ms);
  ck_assert_int_ge (span_us, longest_us);
  ck_assert_int_le (span_us, longest_us + 200000);
  node_world_fini (&wld);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("node_stop");
  TCase *tc = tcase_create ("node_stop");
  tcase_set_timeout (tc, 20);
  tcase_add_test (tc, test_stop_waits_for_requests);
  tcase_add_test (tc, test_stop_answers_all_requests);
  tcase_add_test (tc, test_late_request_of_stopping_process);
  tcase_add_test (tc, test_record_states_longest_lease);
  tcase_add_test (tc, test_record_of_earlier_version);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
