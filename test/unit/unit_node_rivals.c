#include <check.h>
#include <string.h>
#include <talloc.h>

#include "job/job_codec.h"
#include "node_world.h"

/* A whole scheduler process (node/) and jobs that are stored for two pools:
   "p", to which the queue leads, and another one.  The workers of the test
   lose each run at once, so that a task is started again and again.  */

#define ID 7
#define ID_TEXT "0000000000000007"
#define SPEC_KEY ID_TEXT "j"
#define PROGRESS_KEY ID_TEXT "p"

static struct node_world wld;
static struct memory_part *other; /* partition of the other pool */
static char other_pool[2];
static struct queue queues[2]; /* of the two pools */

/* Starts the process with an empty store.  The other pool's records are in the
   same partition if SAME_PART.  */
static void
create (bool same_part)
{
  node_world_create (&wld, false);
  strcpy (other_pool, "a");
  while ((node_job_partition (wld.nod, other_pool)->part == wld.jobs->part)
         != same_part)
    other_pool[0]++;
  queues[0] = wld.cat.queues[0];
  queues[1] = (struct queue){
    .name = "o", .host = "h", .path_prefix = "/o/", .pool = other_pool
  };
  wld.cat.queues = queues;
  wld.cat.queue_count = 2;
  catalog_sort (&wld.cat);
  wld.cat.version++;
  other = topic_memory_part (&wld.mem, TOPIC_JOBS,
                             node_job_partition (wld.nod, other_pool)->part);
}

static void
add_spec (const char *pool, uint64_t version, bool uncertain)
{
  struct step stp = { .count = 1,
                      .need = { .cpu_milli = 1000 },
                      .required_label = "",
                      .data_rack = "",
                      .image = "" };
  const struct job_spec spec = { .spec = "s", .steps = &stp, .step_count = 1 };
  const struct job_acceptance acc = { .queue = "q",
                                      .pool = pool,
                                      .accepted_ms = 1,
                                      .config_version = version,
                                      .pool_uncertain = uncertain };
  uint8_t *data;
  size_t len;
  void *ctx = talloc_new (NULL);
  ck_assert_int_eq (job_encode_spec (ctx, &acc, &spec, &data, &len), 0);
  topic_memory_add (strcmp (pool, "p") == 0 ? wld.jobs : other, SPEC_KEY, data,
                    len);
  talloc_free (ctx);
}

/* Appends the withdrawal by the owner of the pool of PRT.  */
static void
add_deletion (struct memory_part *prt)
{
  static const uint8_t nothing[1];
  topic_memory_add (prt, SPEC_KEY, nothing, 0);
}

static void
own (const char *pool)
{
  node_world_claim (&wld, pool, "n1", NODE_WORLD_BOOT, false);
  node_world_run (&wld, 300);
  ck_assert_ptr_nonnull (node_held_duty (wld.nod, pool));
  ck_assert_ptr_nonnull (node_held_duty (wld.nod, pool)->plc);
}

/* Lets the process own "p", with a worker that has answered.  */
static void
own_pool (void)
{
  own ("p");
  node_world_add_worker (&wld, "w1");
  node_world_run (&wld, 300);
}

static uint32_t
held_part (void)
{
  return node_held_duty (wld.nod, "p")->prt->part;
}

static const struct job *
job (void)
{
  const struct job *row = job_table_find (&wld.nod->jobs, ID);
  ck_assert_ptr_nonnull (row);
  return row;
}

/* Whether the newest record of the specification in PRT is a deletion.  */
static bool
is_deleted (const struct memory_part *prt)
{
  int64_t offset = topic_memory_find (prt, SPEC_KEY);
  ck_assert_int_ge (offset, 0);
  return prt->records[offset].value_len == 0;
}

/* Guards against processes that disagree on the pool of a job (TWICE, LOST),
   as they have read the two partitions in different orders.  */
START_TEST (test_partitions_in_any_order)
{
  create (false);
  struct memory_part *first = _i == 0 ? wld.jobs : other;
  struct memory_part *second = _i == 0 ? other : wld.jobs;
  node_world_run (&wld, 300);
  second->hold_reads = true;
  add_spec (other_pool, 1, false);
  add_spec ("p", 2, false);
  node_world_run (&wld, 200);
  second->hold_reads = false;
  while (topic_memory_run_held (second))
    ;
  node_world_run (&wld, 1500);
  ck_assert_uint_gt (first->end, 0);
  ck_assert_str_eq (job ()->pool, "p");
  node_world_fini (&wld);
}
END_TEST

/* Guards against two owners that run a job, each for a pool that it was stored
   for (TWICE): the owner of one pool withdraws it, in another partition or
   with the same key, and the other one starts it only then.  */
START_TEST (test_loser_withdraws)
{
  bool same_part = _i == 1;
  create (same_part);
  own_pool ();
  add_spec (other_pool, 2, false);
  node_world_run (&wld, 1500);
  add_spec ("p", 1, false);
  node_world_run (&wld, 500);
  ck_assert_uint_eq (wld.starts, 0);
  ck_assert_str_eq (job ()->pool, other_pool);
  ck_assert (!job ()->contested);
  ck_assert (is_deleted (wld.jobs) == !same_part);
  /* A process that reads the newest record of each key.  */
  follower_restart (&node_job_partition (wld.nod, "p")->fol);
  node_world_run (&wld, 1500);
  ck_assert_str_eq (job ()->pool, other_pool);
  ck_assert (!job ()->contested);
  node_world_fini (&wld);
}
END_TEST

START_TEST (test_winner_awaits_withdrawal)
{
  create (false);
  node_world_claim (&wld, other_pool, "n2", 1, false);
  own_pool ();
  other->hold_appends = true; /* this process may claim the pool */
  add_spec (other_pool, 1, false);
  node_world_run (&wld, 1500);
  add_spec ("p", 2, false);
  node_world_run (&wld, 500);
  ck_assert_str_eq (job ()->pool, "p");
  ck_assert (job ()->contested);
  ck_assert_uint_eq (wld.starts, 0);
  add_deletion (other);
  node_world_run (&wld, 1500);
  ck_assert (!job ()->contested);
  ck_assert_uint_gt (wld.starts, 0);
  node_world_fini (&wld);
}
END_TEST

/* Guards against the stop, or a second run, of what was started before a late
   repeat of the request was stored for another pool.  */
START_TEST (test_started_job_stays)
{
  bool same_part = _i == 1;
  create (same_part);
  own_pool ();
  add_spec ("p", 1, false);
  node_world_run (&wld, 300);
  ck_assert_uint_gt (wld.starts, 0);
  own (other_pool);
  add_spec (other_pool, 2, false);
  node_world_run (&wld, 1500);
  ck_assert_str_eq (job ()->pool, "p");
  ck_assert (!job ()->contested);
  ck_assert_int_ge (topic_memory_find (wld.jobs, PROGRESS_KEY), 0);
  ck_assert (!is_deleted (wld.jobs));
  ck_assert (is_deleted (other) == !same_part);
  node_world_fini (&wld);
}
END_TEST

/* Guards against the start of a job whose other record this process has not
   read yet (TWICE): it was accepted soon after its queue had been sent here,
   or its queue leads to another pool by now.  */
START_TEST (test_other_partitions_first)
{
  create (false);
  own_pool ();
  if (_i == 1)
    queues[1].pool = other_pool; /* the queue "q", after "o" */
  other->hold_reads = true;
  add_spec ("p", 2, _i == 0);
  node_world_run (&wld, 500);
  ck_assert_str_eq (job ()->pool, "p");
  ck_assert_uint_eq (wld.starts, 0);
  other->hold_reads = false;
  while (topic_memory_run_held (other))
    ;
  node_world_run (&wld, 300);
  ck_assert_uint_gt (wld.starts, 0);
  node_world_fini (&wld);
}
END_TEST

/* Guards against a perpetual task that isn't started again for as long as a
   partition can't be read that has nothing to do with it (LOST): its job was
   accepted soon after its queue had been sent here, or the queue leads to
   another pool by now; and against a start after a cancellation that went to
   that pool (UNASKED).  The world's worker lists no runs, so that each of them
   is started again.  */
START_TEST (test_partition_not_needed)
{
  static const struct
  {
    const char *name;
    bool same_part; /* the other pool's records are in the same partition */
    bool uncertain;
    bool moved; /* the queue leads to the other pool */
    bool starts;
  } cases[] = {
    { "accepted soon after a move", false, true, false, true },
    { "queue moved within the partition", true, false, true, true },
    { "queue moved to that partition", false, false, true, false },
  };
  create (cases[_i].same_part);
  own_pool ();
  struct job_partition *prt = node_job_partition (wld.nod, other_pool);
  for (char name[] = "a"; prt->part == held_part (); name[0]++)
    prt = node_job_partition (wld.nod, name);
  struct memory_part *unread
      = topic_memory_part (&wld.mem, TOPIC_JOBS, prt->part);
  node_world_run (&wld, 1500);
  add_spec ("p", 2, cases[_i].uncertain);
  node_world_run (&wld, 500);
  ck_assert_uint_gt (wld.starts, 0);
  if (cases[_i].moved)
    queues[1].pool = other_pool; /* the queue "q", after "o" */
  unread->hold_reads = true;
  node_world_run (&wld, 4000);
  size_t before = wld.starts;
  node_world_run (&wld, 1000);
  ck_assert_msg ((wld.starts > before) == cases[_i].starts, "%s",
                 cases[_i].name);
  node_world_fini (&wld);
}
END_TEST

/* Guards against a start after a cancellation (UNASKED): the queue was sent to
   one pool and soon after to another one, and a process that knew the former
   stored the cancellation in a partition which this one cannot read.  */
START_TEST (test_cancellation_between_two_moves)
{
  create (false);
  own_pool ();
  char third[] = "a";
  while (node_job_partition (wld.nod, third)->part != held_part ())
    third[0]++;
  node_world_run (&wld, 1500);
  add_spec ("p", 2, false);
  node_world_run (&wld, 500);
  ck_assert_uint_gt (wld.starts, 0);
  other->hold_reads = true;
  topic_memory_add (other, ID_TEXT "x", (const uint8_t *)"", 0);
  queues[1].pool = third; /* the queue "q", after "o" */
  queues[1].pool_since_us = clock_now_us (wld.nod->clk);
  node_world_run (&wld, 3000);
  size_t before = wld.starts;
  node_world_run (&wld, 2000);
  ck_assert_uint_eq (wld.starts, before);
  node_world_fini (&wld);
}
END_TEST

/* Guards against a job that waits for seconds although the other partitions
   hold nothing new.  */
START_TEST (test_uncertain_job_starts_soon)
{
  create (false);
  own_pool ();
  node_world_run (&wld, 500);
  add_spec ("p", 2, true);
  node_world_run (&wld, 200);
  ck_assert_uint_gt (wld.starts, 0);
  node_world_fini (&wld);
}
END_TEST

/* Guards against "there is no such job", or "cancelled", about an accepted job
   (LOST): its record was withdrawn, and the one that holds is not read yet. */
START_TEST (test_withdrawn_before_other_record)
{
  create (false);
  node_world_run (&wld, 1500);
  add_spec ("p", 1, false);
  node_world_run (&wld, 1500);
  ck_assert_str_eq (job ()->pool, "p");
  other->hold_reads = true;
  add_spec (other_pool, 2, false);
  add_deletion (wld.jobs);
  for (int n = 0; n < 20 && !job ()->deleted; n++)
    node_world_run (&wld, 20);
  wld.replies = 0;
  node_world_handle (&wld, FRONT_STATE, ID_TEXT);
  node_world_run (&wld, 60);
  ck_assert_uint_eq (wld.replies, 1);
  ck_assert_int_eq (wld.last_reply.status, FRONT_REJECTED);
  /* A cancellation is stored, and not taken for one of an ended job.  */
  const struct memory_part *part = _i == 0 ? wld.jobs : other;
  queues[1].pool = _i == 0 ? "p" : other_pool;
  ck_assert (job ()->deleted);
  node_world_handle (&wld, FRONT_CANCEL, ID_TEXT);
  ck_assert_uint_eq (wld.replies, 1);
  node_world_run (&wld, 100);
  ck_assert_uint_eq (wld.replies, 2);
  ck_assert_int_ge (topic_memory_find (part, ID_TEXT "x"), 0);
  other->hold_reads = false;
  while (topic_memory_run_held (other))
    ;
  node_world_run (&wld, 1500);
  ck_assert_str_eq (job ()->pool, other_pool);
  ck_assert_int_eq (job ()->logged_state, JOB_CANCELLED);
  node_world_fini (&wld);
}
END_TEST

/* Guards against an owner that asks the store for news of the other partitions
   in each of its ticks, while jobs wait for them.  */
START_TEST (test_confirmations_are_spaced)
{
  create (false);
  own_pool ();
  node_world_run (&wld, 500);
  /* The jobs wait until 2 s after the queue was sent here.  */
  queues[1].pool_since_us = clock_now_us (wld.nod->clk);
  add_spec ("p", 2, true);
  size_t before = other->read_calls - other->waiting_reads;
  node_world_run (&wld, 1500);
  ck_assert_uint_eq (wld.starts, 0);
  /* One in 100 ms that does not wait for records.  */
  size_t confirmations = other->read_calls - other->waiting_reads - before;
  ck_assert_uint_ge (confirmations, 1);
  ck_assert_uint_le (confirmations, 15);
  node_world_run (&wld, 1000);
  ck_assert_uint_gt (wld.starts, 0);
  queues[1].pool_since_us = 0;
  node_world_fini (&wld);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("node_rivals");
  TCase *tc = tcase_create ("node_rivals");
  tcase_set_timeout (tc, 60);
  tcase_add_loop_test (tc, test_partitions_in_any_order, 0, 2);
  tcase_add_loop_test (tc, test_loser_withdraws, 0, 2);
  tcase_add_test (tc, test_winner_awaits_withdrawal);
  tcase_add_loop_test (tc, test_started_job_stays, 0, 2);
  tcase_add_loop_test (tc, test_other_partitions_first, 0, 2);
  tcase_add_loop_test (tc, test_partition_not_needed, 0, 3);
  tcase_add_test (tc, test_cancellation_between_two_moves);
  tcase_add_loop_test (tc, test_withdrawn_before_other_record, 0, 2);
  tcase_add_test (tc, test_confirmations_are_spaced);
  tcase_add_test (tc, test_uncertain_job_starts_soon);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
