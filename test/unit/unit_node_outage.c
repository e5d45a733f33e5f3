#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#include "node/fleet_priv.h"
#include "node_world.h"
#include "platform/wire_decode.h"
#include "proto/job.pb-c.h"

/* Tests of what a scheduler process (node/) does once an outage of the store
   has ended.  Perpetual tasks wait meanwhile.  */

static struct node_world wld;
static struct memory_part *members;

static void
open_world (bool fleet)
{
  node_world_create (&wld, fleet);
  members = topic_memory_part (&wld.mem, TOPIC_MEMBERS, 0);
}

static void
set_outage (bool outage)
{
  for (size_t n = 0; n < wld.mem.part_count; n++)
    wld.mem.parts[n]->reject_reads = wld.mem.parts[n]->reject_appends = outage;
}

/* Reports as the member NAME.  */
static void
report (const char *name)
{
  char key[DUTY_KEY_BYTES];
  uint8_t data[64];
  Kingcuphollow__MemberBeat msg = KINGCUPHOLLOW__MEMBER_BEAT__INIT;
  msg.boot = 1;
  msg.cpu_milli = 1000;
  snprintf (key, sizeof key, "m/%s", name);
  topic_memory_add (members, key, data,
                    kingcuphollow__member_beat__pack (&msg, data));
}

/* Runs the process until FOL has reached the end of its partition by a read
   that began after SINCE_US.  Returns the time since then.  */
static int64_t
read_after_ms (const struct follower *fol, int64_t since_us)
{
  while (follower_caught_up_us (fol) < since_us
         && clock_now_us (wld.nod->clk) - since_us < 4000000)
    node_world_run (&wld, 10);
  return (clock_now_us (wld.nod->clk) - since_us) / 1000;
}

/* Guards against a pool that has no owner for seconds after an outage in which
   the last one has ended: the others' reads of the members' reports and of the
   jobs had backed off to 2 s each, although the reads of the duties, which are
   repeated sooner, had answers again.  */
START_TEST (test_standby_reads_after_outage)
{
  static const int64_t outages_ms[] = { 5000, 6000, 6500, 7000, 8500 };
  open_world (false);
  report ("n2");
  node_world_claim (&wld, "p", "n2", 1, false);
  node_world_run (&wld, 1200);
  ck_assert_int_eq (wld.nod->roster.role, ROSTER_CONTROLLER);
  ck_assert_ptr_null (node_held_duty (wld.nod, "p"));
  set_outage (true);
  node_world_run (&wld, outages_ms[_i]);
  int64_t end_us = clock_now_us (wld.nod->clk);
  set_outage (false);
  int64_t members_ms = read_after_ms (&wld.nod->member_fol, end_us);
  int64_t jobs_ms
      = read_after_ms (&node_job_partition (wld.nod, "p")->fol, end_us);
  /* Twice the longest delay after a failed read of urgent records.  */
  ck_assert_int_le (members_ms, 2 * URGENT_RETRY_MAX_MS + 100);
  ck_assert_int_le (jobs_ms, 2 * URGENT_RETRY_MAX_MS + 100);
  node_world_fini (&wld);
}
END_TEST

/* Guards against tasks that wait for hosts for seconds after an outage: the
   only reader of the pools' demands had backed off to 2 s.  In case 1 the
   store rejects these reads alone.  */
START_TEST (test_demand_read_after_outage)
{
  open_world (true);
  wld.nod->started_us = INT64_MAX / 2; /* claims no duty */
  node_world_run (&wld, 300);
  node_world_take_over (&wld, DUTY_FLEET, "n1", NODE_WORLD_BOOT, "n2");
  node_world_run (&wld, 1000);
  struct follower *fol = &wld.nod->flt->report_followers[1];
  ck_assert (follower_is_open (fol));
  ck_assert (follower_caught_up (fol));
  wld.reports->reject_reads = true;
  if (_i == 0)
    set_outage (true);
  node_world_run (&wld, 2500);
  size_t reads = wld.reports->read_calls;
  node_world_run (&wld, 2000);
  ck_assert_uint_ge (wld.reports->read_calls - reads, 5);
  int64_t end_us = clock_now_us (wld.nod->clk);
  set_outage (false);
  ck_assert_int_le (read_after_ms (fol, end_us), URGENT_RETRY_MAX_MS + 100);
  node_world_fini (&wld);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("node_outage");
  tcase_set_timeout (tc, 60);
  tcase_add_loop_test (tc, test_standby_reads_after_outage, 0, 5);
  tcase_add_loop_test (tc, test_demand_read_after_outage, 0, 2);
  Suite *suite = suite_create ("node_outage");
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
