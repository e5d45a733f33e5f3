#include <check.h>
#include <stdlib.h>
#include <talloc.h>

#include "node_world.h"
#include "platform/wire_decode.h"
#include "sched/placer_priv.h"

/* Tests of a whole scheduler process (node/) whose pools wait for it, or that
   acts on an old view.  */

static struct node_world wld;

static struct held_duty *
held_duty (void)
{
  return node_held_duty (wld.nod, "p");
}

static void
own_pool (void)
{
  node_world_claim (&wld, "p", "n1", NODE_WORLD_BOOT, false);
  node_world_run (&wld, 200);
  ck_assert_ptr_nonnull (held_duty ());
  ck_assert_ptr_nonnull (held_duty ()->plc);
}

/* Guards against a pool without holds and starts for three times as long as
   its owner was paused, so that leases end: it had been paused in a tick.  */
START_TEST (test_tick_after_pause)
{
  node_world_init (&wld, false);
  own_pool ();
  struct held_duty *hld = held_duty ();
  int64_t now_us = clock_now_us (wld.nod->clk);
  TALLOC_FREE (hld->timer);
  hld->tick_ended_us = now_us;
  hld->tick_duration_us = (int64_t)4000 * 1000;
  node_schedule_placer (hld, 0);
  /* A fifth of a lease.  */
  ck_assert_int_le (hld->timer_us - now_us, (int64_t)1050 * 1000);
  node_world_fini (&wld);
}
END_TEST

/* Guards against starts of tasks whose job was cancelled 3 s ago (UNASKED):
   only the reads of the pool's jobs have no answers.  */
START_TEST (test_start_from_old_view)
{
  node_world_init (&wld, false);
  own_pool ();
  node_world_add_job (&wld, 1);
  node_world_run (&wld, 100);
  ck_assert_ptr_nonnull (job_table_find (&wld.nod->jobs, 1));
  wld.jobs->hold_reads = true;
  node_world_run (&wld, 2700);
  node_world_add_worker (&wld, "w1");
  node_world_run (&wld, 300);
  ck_assert_uint_eq (wld.starts, 0);
  wld.jobs->hold_reads = false;
  while (topic_memory_run_held (wld.jobs))
    ;
  node_world_run (&wld, 300);
  ck_assert_uint_gt (wld.starts, 0);
  node_world_fini (&wld);
}
END_TEST

/* Guards against a pool that nobody works for while the store serves its
   records: the process that holds its duty cannot read the jobs of another
   pool, or the operators' records.  */
START_TEST (test_duty_begun_in_partial_outage)
{
  node_world_init (&wld, false);
  wld.nod->started_us = INT64_MAX / 2; /* claims no duty */
  struct job_partition *other = NULL;
  for (char name[] = "a"; !other; name[0]++)
    {
      other = node_job_partition (wld.nod, name);
      if (other->part == wld.jobs->part)
        other = NULL;
    }
  struct memory_part *prt
      = _i ? topic_memory_part (&wld.mem, WIRE_TOPIC_OPERATOR, 0)
           : topic_memory_part (&wld.mem, TOPIC_JOBS, other->part);
  node_world_run (&wld, 200);
  prt->hold_reads = true;
  node_world_run (&wld, 3200);
  own_pool ();
  node_world_fini (&wld);
}
END_TEST

/* Guards against an owner that starts nothing for a part of each second while
   the store is slow: a read that waits for records and one on its way are
   older than its view of the jobs may be.  The records of another pool may be
   in the same partition.  */
START_TEST (test_owner_reads_are_short)
{
  struct queue queues[2];
  char other[] = "a";
  node_world_init (&wld, false);
  own_pool ();
  queues[0] = queues[1] = wld.cat.queues[0];
  while (node_job_partition (wld.nod, other) != held_duty ()->prt)
    other[0]++;
  queues[1].pool = other;
  wld.cat.queues = queues;
  wld.cat.queue_count = 2;
  node_open_job_partitions (wld.nod);
  node_world_run (&wld, 1200);
  ck_assert_int_le (wld.jobs->read_wait_ms, 500);
  node_world_fini (&wld);
}
END_TEST

/* Guards against records that take effect later than 2 s after they were
   stored, when a cut has silenced the connection of the read under way: what
   the read waits for is at most half of that.  */
START_TEST (test_urgent_reads_are_short)
{
  node_world_init (&wld, false);
  own_pool ();
  node_open_job_partitions (wld.nod);
  node_world_run (&wld, 1200);
  const struct memory_part *const urgent[4]
      = { topic_memory_part (&wld.mem, WIRE_TOPIC_OPERATOR, 0), wld.jobs,
          wld.duties, topic_memory_part (&wld.mem, WIRE_TOPIC_WORKERS, 0) };
  for (size_t n = 0; n < 4; n++)
    {
      ck_assert_int_gt (urgent[n]->read_wait_ms, 0);
      ck_assert_int_gt (urgent[n]->read_timeout_ms, 0);
      ck_assert_int_le (urgent[n]->read_wait_ms + urgent[n]->read_timeout_ms,
                        1000);
    }
  node_world_fini (&wld);
}
END_TEST

/* Guards against a stream of reads, which the store limits and charges for,
   while it rejects them: the end of a worker has to be confirmed.  */
START_TEST (test_rejected_confirmations)
{
  node_world_init (&wld, false);
  own_pool ();
  node_world_add_worker (&wld, "w1");
  node_world_run (&wld, 200);
  struct worker *wrk = held_duty ()->plc->pool.workers[0];
  wrk->hold_in_flight = true; /* it lists no runs */
  node_world_add_job (&wld, 1);
  node_world_run (&wld, 200);
  ck_assert_ptr_nonnull (wrk->runs);
  wld.duties->reject_reads = true;
  wrk->ended_us = INT64_MAX / 2;
  node_world_run (&wld, 500);
  size_t before = wld.duties->read_calls;
  node_world_run (&wld, 1000);
  /* Of these about 5 are of the follower.  */
  ck_assert_uint_le (wld.duties->read_calls - before, 18);
  node_world_fini (&wld);
}
END_TEST

/* Guards against accepted jobs that wait after an outage of the store has
   ended: the reads of their pool's owner, of its jobs or of the workers'
   reports, which expire in an outage, had backed off to 2 s, and the first one
   that succeeded waited for new records.  */
START_TEST (test_reads_in_outage)
{
  node_world_init (&wld, false);
  own_pool ();
  struct memory_part *prt
      = _i ? topic_memory_part (&wld.mem, WIRE_TOPIC_WORKERS, 0) : wld.jobs;
  prt->reject_reads = true;
  node_world_run (&wld, 2500);
  size_t reads = prt->read_calls;
  size_t waiting = prt->waiting_reads;
  node_world_run (&wld, 2000);
  ck_assert_uint_ge (prt->read_calls - reads, 5);
  ck_assert_uint_eq (prt->waiting_reads - waiting, 0);
  prt->reject_reads = false;
  node_world_run (&wld, 800);
  ck_assert_uint_gt (prt->waiting_reads - waiting, 0);
  node_world_fini (&wld);
}
END_TEST

/* Guards against a new owner that asks for hosts which the pool has, as it
   knows the workers' reports from before its claim only; and against one that
   asks for none once it has read them.  */
START_TEST (test_reports_read_since_claim)
{
  struct placer_demand dem;
  node_world_init (&wld, false);
  struct memory_part *prt
      = topic_memory_part (&wld.mem, WIRE_TOPIC_WORKERS, 0);
  prt->reject_reads = _i == 1;
  node_world_run (&wld, 600);
  node_world_take_over (&wld, "p", "n1", NODE_WORLD_BOOT, "n2");
  node_world_run (&wld, 700);
  ck_assert_ptr_nonnull (held_duty ());
  ck_assert_ptr_nonnull (held_duty ()->plc);
  ck_assert (!placer_takeover_done (held_duty ()->plc));
  placer_demand (held_duty ()->plc, &dem);
  ck_assert (dem.withheld == (_i == 1));
  prt->reject_reads = false;
  node_world_run (&wld, 1200);
  ck_assert (!placer_takeover_done (held_duty ()->plc));
  placer_demand (held_duty ()->plc, &dem);
  ck_assert (!dem.withheld);
  node_world_fini (&wld);
}
END_TEST

static size_t
count_demands (void)
{
  size_t count = 0;
  for (size_t n = 0; n < wld.reports->end; n++)
    count += wld.reports->records[n].key[0] == FLEET_DEMAND_KEY;
  return count;
}

/* Guards against a new owner that takes back what its predecessor asked for
   because it does not know the workers' reports yet; and against one that says
   nothing for as long as it cannot read them.  */
START_TEST (test_first_demand_is_known)
{
  static const struct
  {
    int64_t reads_from_ms; /* the reports can be read, after the claim */
    int64_t none_until_ms;
    int64_t one_at_ms;
  } cases[] = { { 0, 0, 700 }, { 900, 900, 1900 }, { 9000, 1300, 2500 } };
  node_world_init (&wld, false);
  struct memory_part *prt
      = topic_memory_part (&wld.mem, WIRE_TOPIC_WORKERS, 0);
  prt->reject_reads = cases[_i].reads_from_ms > 0;
  node_world_run (&wld, 600);
  node_world_take_over (&wld, "p", "n1", NODE_WORLD_BOOT, "n2");
  for (int64_t ms = 0; ms < cases[_i].one_at_ms; ms += 100)
    {
      if (ms >= cases[_i].reads_from_ms)
        prt->reject_reads = false;
      if (ms <= cases[_i].none_until_ms)
        ck_assert_uint_eq (count_demands (), 0);
      node_world_run (&wld, 100);
    }
  ck_assert (!placer_takeover_done (held_duty ()->plc));
  ck_assert_uint_gt (count_demands (), 0);
  node_world_fini (&wld);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("node_wait");
  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, test_tick_after_pause);
  tcase_add_test (tc, test_start_from_old_view);
  tcase_add_loop_test (tc, test_duty_begun_in_partial_outage, 0, 2);
  tcase_add_test (tc, test_owner_reads_are_short);
  tcase_add_test (tc, test_urgent_reads_are_short);
  tcase_add_test (tc, test_rejected_confirmations);
  tcase_add_loop_test (tc, test_reads_in_outage, 0, 2);
  tcase_add_loop_test (tc, test_reports_read_since_claim, 0, 2);
  tcase_add_loop_test (tc, test_first_demand_is_known, 0, 3);
  Suite *suite = suite_create ("node_wait");
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
