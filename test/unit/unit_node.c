#include <check.h>
#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "job/job_codec.h"
#include "node_world.h"
#include "proto/job.pb-c.h"

/* Tests of a whole scheduler process (node/) whose view of the store's topics
   is incomplete or out of date.  */

static struct node_world wld;

static struct held_duty *
held_duty (void)
{
  return node_held_duty (wld.nod, "p");
}

/* Makes the process the owner of the pool, with a worker that has answered. */
static void
own_pool (void)
{
  node_world_claim (&wld, "p", "n1", NODE_WORLD_BOOT, false);
  node_world_run (&wld, 200);
  ck_assert_ptr_nonnull (held_duty ());
  ck_assert_ptr_nonnull (held_duty ()->plc);
  node_world_add_worker (&wld, "w1");
  node_world_run (&wld, 200);
}

/* Guards against a new owner that starts tasks before it knows all of the
   pool's jobs and workers: it has read the fence only when the newest records
   of all keys were delivered.  */
START_TEST (test_new_owner_reads_all_pages)
{
  node_world_init (&wld, false);
  wld.mem.page_records = 2;
  wld.jobs->hold_reads = true;
  node_world_run (&wld, 300);
  for (uint64_t id = 1; id <= 4; id++)
    node_world_add_job (&wld, id);
  topic_memory_compact (wld.jobs);
  node_world_claim (&wld, "p", "n1", NODE_WORLD_BOOT, false);
  node_world_run (&wld, 100);
  ck_assert_ptr_nonnull (held_duty ());
  ck_assert_int_eq (held_duty ()->phase, HELD_DUTY_CATCHING_UP);
  while (wld.nod->jobs.count == 0)
    {
      topic_memory_run_held (wld.jobs);
      node_world_run (&wld, 20);
    }
  ck_assert_uint_eq (wld.nod->jobs.count, 2);
  ck_assert_int_eq (held_duty ()->phase, HELD_DUTY_CATCHING_UP);
  wld.jobs->hold_reads = false;
  topic_memory_run_held (wld.jobs);
  node_world_run (&wld, 100);
  ck_assert_int_eq (held_duty ()->phase, HELD_DUTY_ACTIVE);
  ck_assert_uint_eq (wld.nod->jobs.count, 4);
  node_world_fini (&wld);
}
END_TEST

/* Guards against accepted jobs that nobody runs (LOST): the store refuses the
   owner's appends although no other process has claimed the pool.  The owner
   claims it anew, and never begins again under a token that was refused.  */
START_TEST (test_refused_owner_claims_anew)
{
  node_world_init (&wld, false);
  own_pool ();
  uint64_t token = held_duty ()->token;
  struct memory_producer *pro = wld.jobs->producers;
  while (strcmp (pro->name, "owner.p") != 0)
    pro++;
  pro->next_sequence += 7;
  node_world_add_worker (&wld, "w2");
  node_world_run (&wld, 1500);
  ck_assert_ptr_nonnull (held_duty ());
  ck_assert_uint_gt (held_duty ()->token, token);
  ck_assert_int_eq (held_duty ()->phase, HELD_DUTY_ACTIVE);
  ck_assert_uint_eq (pro->epoch, held_duty ()->token);
  /* A process that was superseded does not take the duty back.  */
  wld.duties->hold_reads = true;
  node_world_run (&wld, 50);
  uint64_t later = node_world_claim (&wld, "p", "n2", 1, false);
  topic_memory_set_epoch (wld.jobs, "owner.p", later);
  node_world_add_worker (&wld, "w3");
  node_world_run (&wld, 1500);
  ck_assert_uint_eq (wld.duties->end, later);
  ck_assert_ptr_null (held_duty ());
  wld.duties->hold_reads = false;
  node_world_fini (&wld);
}
END_TEST

/* Guards against a new owner that starts tasks before it has read the records
   up to its fence (TWICE): the answer to the fence was lost, and the store
   only tells the next sequence number, so the fence's offset is not known
   before it is read.  */
START_TEST (test_answer_to_fence_lost)
{
  node_world_init (&wld, false);
  node_world_add_job (&wld, 1);
  node_world_run (&wld, 300);
  wld.jobs->hold_reads = true;
  node_world_run (&wld, 300);
  node_world_add_job (&wld, 2);
  wld.jobs->lose_answers = true;
  node_world_claim (&wld, "p", "n1", NODE_WORLD_BOOT, false);
  node_world_run (&wld, 60);
  int64_t fence = topic_memory_find (wld.jobs, "f/p");
  ck_assert_int_gt (fence, 0);
  wld.jobs->lose_answers = false;
  node_world_run (&wld, 300);
  ck_assert_ptr_nonnull (held_duty ());
  ck_assert_int_eq (held_duty ()->phase, HELD_DUTY_CATCHING_UP);
  wld.jobs->hold_reads = false;
  while (topic_memory_run_held (wld.jobs))
    ;
  node_world_run (&wld, 300);
  ck_assert_int_eq (held_duty ()->phase, HELD_DUTY_ACTIVE);
  ck_assert_int_eq (held_duty ()->fence_offset, fence);
  ck_assert_uint_eq (wld.nod->jobs.count, 2);
  node_world_fini (&wld);
}
END_TEST

/* Guards against a job that is shown as ended, and whose cancellation is
   acknowledged, without a record of either (MIXED, UNASKED, TWICE): the owner
   knows an end that is not in the log, and reads the job's specification a
   second time, as a client may repeat its request at any process.  */
START_TEST (test_repeated_job_of_unlogged_end)
{
  node_world_init (&wld, false);
  node_world_add_job (&wld, 7);
  node_world_run (&wld, 400);
  struct job *job = job_table_find (&wld.nod->jobs, 7);
  ck_assert_ptr_nonnull (job);
  job->state = JOB_COMPLETED;
  node_world_add_job (&wld, 7);
  node_world_run (&wld, 400);
  ck_assert_int_eq (job->logged_state, JOB_QUEUED);
  node_world_handle (&wld, FRONT_STATE, "0000000000000007");
  ck_assert_int_eq (wld.last_reply.state, JOB_QUEUED);
  node_world_handle (&wld, FRONT_CANCEL, "0000000000000007");
  node_world_run (&wld, 400);
  ck_assert_int_ge (topic_memory_find (wld.jobs, "0000000000000007x"), 0);
  node_world_fini (&wld);
}
END_TEST

/* Guards against an accepted job that is not stored (LOST), and against a run
   of a process that takes an earlier one's duties for its own: two runs may
   start at the same time of day, and the store answers an append under the
   earlier run's producer and sequence number as a repeat of that run's.  */
START_TEST (test_runs_with_one_start_time)
{
  char jobs[2][MEMORY_TEXT_BYTES], members[2][MEMORY_TEXT_BYTES];
  struct node nodes[2] = { 0 };
  for (int n = 0; n < 2; n++)
    {
      ck_assert_int_eq (node_set_identity (&nodes[n], 1768666512000), 0);
      node_world_init (&wld, false);
      node_world_submit (&wld, "00000000000000a1",
                         "{\"steps\":[{\"count\":1,\"cpu\":1000}]}");
      node_world_run (&wld, 50);
      ck_assert_int_eq (wld.last_reply.status, FRONT_OK);
      memcpy (jobs[n], wld.jobs->producers[0].name, sizeof jobs[n]);
      const struct memory_part *part
          = topic_memory_part (&wld.mem, TOPIC_MEMBERS, 0);
      memcpy (members[n], part->producers[0].name, sizeof members[n]);
      node_world_fini (&wld);
    }
  ck_assert_uint_ne (nodes[0].boot, nodes[1].boot);
  ck_assert_str_ne (jobs[0], jobs[1]);
  ck_assert_str_ne (members[0], members[1]);
  /* A later start has a higher boot, whatever the random part is.  */
  uint64_t boot = nodes[0].boot;
  ck_assert_int_eq (node_set_identity (&nodes[1], 1768666512001), 0);
  ck_assert_uint_gt (nodes[1].boot, boot);
}
END_TEST

/* Guards against a job that is shown as completed, and a cancellation that is
   acknowledged without a record, before the job's end is in the log: the
   pool's owner reads a second record of its specification, as the client sent
   the request to two processes.  */
START_TEST (test_repeated_spec_of_unlogged_end)
{
  const struct task_ref ref = { .job = 1 };
  node_world_init (&wld, false);
  node_world_claim (&wld, "p", "n1", NODE_WORLD_BOOT, false);
  node_world_run (&wld, 200);
  node_world_add_job (&wld, 1);
  node_world_run (&wld, 200);
  struct job *job = job_table_find (&wld.nod->jobs, 1);
  ck_assert_ptr_nonnull (job);
  /* As after the end of its run, while the store takes no appends.  */
  wld.jobs->hold_appends = true;
  job->started = true;
  job_mark_task_done (job, &ref);
  job_update_state (job, 2, clock_now_us (wld.nod->clk));
  node_world_add_job (&wld, 1);
  node_world_run (&wld, 200);
  node_world_handle (&wld, FRONT_STATE, "0000000000000001");
  ck_assert_int_eq (wld.last_reply.status, FRONT_JOB_STATE);
  ck_assert_int_ne (wld.last_reply.state, JOB_COMPLETED);
  wld.replies = 0;
  node_world_handle (&wld, FRONT_CANCEL, "0000000000000001");
  ck_assert_uint_eq (wld.replies, 0);
  node_world_fini (&wld);
}
END_TEST

/* Guards against a cancellation that the pool's owner may read later than it
   must, or not at all before it starts tasks (UNASKED): the operator has sent
   the queue to another pool since the job was accepted, and the record goes to
   that pool's partition.  */
START_TEST (test_cancel_after_queue_moved)
{
  char pool[] = "a";
  struct queue queues[1];
  struct catalog cat;
  node_world_init (&wld, false);
  node_world_add_job (&wld, 1);
  node_world_run (&wld, 200);
  ck_assert_ptr_nonnull (job_table_find (&wld.nod->jobs, 1));
  queues[0] = wld.cat.queues[0];
  cat = wld.cat;
  cat.queues = queues;
  queues[0].pool = pool;
  while (node_job_partition (wld.nod, pool)->part == wld.jobs->part)
    pool[0]++;
  wld.nod->cat = &cat;
  node_world_handle (&wld, FRONT_CANCEL, "0000000000000001");
  node_world_run (&wld, 200);
  ck_assert_int_eq (wld.last_reply.status, FRONT_OK);
  ck_assert_int_ge (topic_memory_find (wld.jobs, "0000000000000001x"), 0);
  wld.nod->cat = &wld.cat;
  node_world_fini (&wld);
}
END_TEST

/* Appends a job whose only task has failed twice, as often as it may, and the
   owner's record of that.  */
static void
add_failed_job (void)
{
  struct task tasks[1] = { { .prg.last_run = 2, .failures = 2 } };
  struct step stp = { .count = 1,
                      .need = { .cpu_milli = 1000 },
                      .required_label = "",
                      .data_rack = "",
                      .image = "" };
  struct occurrence occ = { .tasks = tasks };
  struct failed_run failed[2] = { { .key = 1 }, { .key = 2 } };
  struct job job = { .id = 1,
                     .spec = { .spec = "s", .steps = &stp, .step_count = 1 },
                     .task_count = 1,
                     .occurrences = &occ,
                     .occurrence_count = 1,
                     .failed_runs = failed,
                     .failed_run_count = 2,
                     .state = JOB_FAILED };
  const struct job_acceptance acc
      = { .queue = "q", .pool = "p", .accepted_ms = 1, .attempts = 2 };
  uint8_t *data;
  size_t len;
  void *ctx = talloc_new (NULL);
  ck_assert_int_eq (job_encode_spec (ctx, &acc, &job.spec, &data, &len), 0);
  topic_memory_add (wld.jobs, "0000000000000001j", data, len);
  ck_assert_int_eq (job_encode_progress (ctx, &job, 1, &data, &len), 0);
  topic_memory_add (wld.jobs, "0000000000000001p", data, len);
  talloc_free (ctx);
}

/* Guards against a job that was shown as failed and runs again (BUDGET): its
   route was removed, and the process has started since.  */
START_TEST (test_failed_job_of_removed_route)
{
  node_world_create (&wld, false);
  wld.cat.queue_count = 0;
  add_failed_job ();
  node_world_claim (&wld, "p", "n1", NODE_WORLD_BOOT, false);
  node_world_run (&wld, 600);
  node_world_add_worker (&wld, "w1");
  node_world_run (&wld, 1200);
  const struct job *job = job_table_find (&wld.nod->jobs, 1);
  ck_assert_ptr_nonnull (job);
  ck_assert_int_eq (job->logged_state, JOB_FAILED);
  ck_assert_uint_eq (wld.starts, 0);
  node_world_fini (&wld);
}
END_TEST

/* Guards against accepted jobs that nobody runs (LOST): the operator has
   removed their queue, and the pool's owner then stopped.  A pool without a
   queue and without such jobs is not claimed.  */
START_TEST (test_pool_without_queue)
{
  node_world_create (&wld, false);
  wld.cat.queue_count = 0;
  node_world_claim (&wld, "p", "n2", 1, true);
  node_world_run (&wld, 1200);
  ck_assert_ptr_null (held_duty ());
  node_world_add_job (&wld, 1);
  node_world_run (&wld, 1200);
  ck_assert_ptr_nonnull (held_duty ());
  node_world_add_worker (&wld, "w1");
  node_world_run (&wld, 300);
  ck_assert_uint_eq (wld.last_started, 1);
  node_world_fini (&wld);
}
END_TEST

/* Guards against two owners that start one job: a former owner whose unread
   history was dropped reads a job before the later owner's fence, as the
   records then come by key.  */
START_TEST (test_former_owner_reads_by_key)
{
  node_world_init (&wld, false);
  own_pool ();
  node_world_add_job (&wld, 1);
  node_world_run (&wld, 200);
  ck_assert_uint_eq (wld.last_started, 1);
  wld.duties->hold_reads = true;
  wld.jobs->hold_reads = true;
  wld.mem.page_records = 1;
  node_world_run (&wld, 300);
  topic_memory_add (wld.jobs, "f/p", (const uint8_t *)"99", 2);
  node_world_add_job (&wld, 2);
  topic_memory_compact (wld.jobs);
  while (wld.nod->jobs.count < 2)
    {
      topic_memory_run_held (wld.jobs);
      node_world_run (&wld, 20);
    }
  node_world_run (&wld, 200);
  ck_assert_uint_eq (wld.last_started, 1);
  wld.jobs->hold_reads = false;
  topic_memory_run_held (wld.jobs);
  node_world_run (&wld, 300);
  ck_assert_uint_eq (wld.last_started, 1);
  node_world_fini (&wld);
}
END_TEST

/* Guards against a release that ends the ownership of a successor.  The store
   may carry out an append without an answer seconds later, when another
   process has claimed the duty.  */
START_TEST (test_late_release)
{
  node_world_init (&wld, true);
  for (int n = 0; n < 2; n++)
    node_world_claim (&wld, n ? DUTY_FLEET : "p", "n1", NODE_WORLD_BOOT,
                      false);
  node_world_run (&wld, 300);
  ck_assert_ptr_nonnull (held_duty ());
  ck_assert_uint_ne (node_fleet_token (wld.nod), 0);
  wld.duties->hold_appends = true;
  wld.nod->stopping = true;
  node_release_duties (wld.nod);
  node_world_run (&wld, 20);
  uint64_t token = node_world_claim (&wld, "p", "n2", 1, false);
  wld.duties->hold_appends = false;
  while (topic_memory_run_held (wld.duties))
    ;
  node_world_run (&wld, 200);
  const struct duty *dty = duty_find (&wld.nod->duties, "p");
  ck_assert (duty_held_by (dty, "n2", 1));
  ck_assert_uint_eq (dty->token, token);
  /* The other duty is still released.  */
  dty = duty_find (&wld.nod->duties, DUTY_FLEET);
  ck_assert_str_eq (dty->holder, "");
  node_world_fini (&wld);
}
END_TEST

/* Guards against a request to vacate a host that an earlier holder of the
   fleet duty withdraws or replaces after its duty has passed on.  */
START_TEST (test_request_of_earlier_holder)
{
  node_world_init (&wld, true);
  node_world_request (&wld, "m-w1", 1, 1);
  topic_memory_add (wld.duties, "x", (const uint8_t *)"", 0);
  node_world_claim (&wld, DUTY_FLEET, "n1", NODE_WORLD_BOOT, false);
  node_world_run (&wld, 300);
  ck_assert_uint_eq (node_fleet_token (wld.nod), 2);
  /* The holder withdraws the request of an earlier holder.  */
  wld.fleet->hold_appends = true;
  node_world_run (&wld, 1200);
  ck_assert_ptr_nonnull (wld.fleet->held);
  wld.nod->stopping = true; /* claims no duty */
  uint64_t token = node_world_claim (&wld, DUTY_FLEET, "n2", 1, false);
  uint64_t offset = node_world_request (&wld, "m-w1", token, INT64_MAX / 2000);
  wld.fleet->hold_appends = false;
  while (topic_memory_run_held (wld.fleet))
    ;
  node_world_run (&wld, 300);
  ck_assert_uint_eq (node_fleet_token (wld.nod), 0);
  ck_assert_int_eq (topic_memory_find (wld.fleet, "v/m-w1"), (int64_t)offset);
  node_world_request (&wld, "m-w1", token, 0);
  node_world_run (&wld, 100);
  node_world_fini (&wld);
}
END_TEST

/* Guards against a host that gets no tasks (LOST) while the holders of the
   fleet duty follow each other within a second: none of them withdrew the
   requests of the earlier ones.  */
START_TEST (test_request_before_short_holders)
{
  node_world_init (&wld, true);
  wld.nod->started_us = INT64_MAX / 2; /* claims no duty */
  uint64_t token = node_world_claim (&wld, DUTY_FLEET, "n2", 1, false);
  uint64_t offset = node_world_request (&wld, "m-w1", token, INT64_MAX / 2000);
  node_world_run (&wld, 200);
  node_world_claim (&wld, DUTY_FLEET, "n3", 1, false);
  node_world_run (&wld, 800);
  node_world_claim (&wld, DUTY_FLEET, "n1", NODE_WORLD_BOOT, false);
  node_world_run (&wld, 500);
  ck_assert_uint_ne (node_fleet_token (wld.nod), 0);
  ck_assert_int_gt (topic_memory_find (wld.fleet, "v/m-w1"), (int64_t)offset);
  node_world_fini (&wld);
}
END_TEST

static void
report_empty (uint64_t token, uint64_t offset)
{
  uint8_t data[64];
  Kingcuphollow__VacateReport msg = KINGCUPHOLLOW__VACATE_REPORT__INIT;
  msg.request_offset = offset;
  msg.token = token;
  topic_memory_add (wld.reports, "e/m-w1", data,
                    kingcuphollow__vacate_report__pack (&msg, data));
  node_world_run (&wld, 200);
}

/* Guards against an order that ends the tasks of a pool's new owner, on the
   report of an earlier owner that the host is empty.  */
START_TEST (test_report_of_earlier_owner)
{
  static const char wave[] = "{\"wave\":1,\"machines\":[\"m-w1\"],"
                             "\"duration-s\":20,\"cap\":1}";
  node_world_init (&wld, true);
  wld.nod->started_us = INT64_MAX / 2; /* claims no duty */
  wld.hosts[0].state = HOST_UP;
  name_copy (wld.hosts[0].name, "m-w1");
  name_copy (wld.hosts[0].pool, "p");
  name_copy (wld.hosts[0].worker, "w1");
  wld.host_count = 1;
  uint64_t earlier = node_world_claim (&wld, "p", "n2", 1, false);
  node_world_claim (&wld, DUTY_FLEET, "n1", NODE_WORLD_BOOT, false);
  node_world_run (&wld, 300);
  node_fleet_add_wave (wld.nod, (const uint8_t *)wave, sizeof wave - 1);
  node_world_run (&wld, 200);
  int64_t offset = topic_memory_find (wld.fleet, "v/m-w1");
  ck_assert_int_ge (offset, 0);
  uint64_t present = node_world_claim (&wld, "p", "n3", 1, false);
  node_world_run (&wld, 100);
  report_empty (earlier, (uint64_t)offset);
  ck_assert_uint_eq (wld.orders, 0);
  report_empty (present, (uint64_t)offset);
  ck_assert_uint_eq (wld.orders, 1);
  node_world_request (&wld, "m-w1", 99, 0);
  node_world_run (&wld, 100);
  node_world_fini (&wld);
}
END_TEST

/* Guards against a job that runs after its cancellation was confirmed.  The
   owner knows the job's end, but the log does not have it, and a later owner
   runs the job again.  */
START_TEST (test_cancel_of_unlogged_end)
{
  node_world_init (&wld, false);
  node_world_add_job (&wld, 7);
  node_world_run (&wld, 400);
  struct job *job = job_table_find (&wld.nod->jobs, 7);
  ck_assert_ptr_nonnull (job);
  job->state = JOB_COMPLETED;
  node_world_handle (&wld, FRONT_CANCEL, "0000000000000007");
  node_world_run (&wld, 400);
  ck_assert_uint_eq (wld.replies, 1);
  ck_assert_int_eq (wld.last_reply.status, FRONT_OK);
  ck_assert_int_ge (topic_memory_find (wld.jobs, "0000000000000007x"), 0);
  /* The end is in the log now.  */
  ck_assert_int_eq (job->logged_state, JOB_CANCELLED);
  node_world_handle (&wld, FRONT_CANCEL, "0000000000000007");
  ck_assert_uint_eq (wld.replies, 2);
  ck_assert_int_eq (wld.last_reply.status, FRONT_OK);
  node_world_fini (&wld);
}
END_TEST

/* Guards against a job that a process which has just started shows as queued,
   although it has run, and against a number of waiting jobs that lacks those
   not read yet.  */
START_TEST (test_answers_before_first_read)
{
  node_world_create (&wld, false);
  wld.mem.page_records = 1;
  wld.jobs->hold_reads = true;
  node_world_add_job (&wld, 7);
  node_world_add_job (&wld, 8);
  node_world_run (&wld, 50);
  topic_memory_run_held (wld.jobs);
  ck_assert_uint_eq (wld.nod->jobs.count, 1);
  node_world_handle (&wld, FRONT_STATE, "0000000000000007");
  ck_assert_int_eq (wld.last_reply.status, FRONT_REJECTED);
  node_world_handle (&wld, FRONT_STATE, "");
  ck_assert_int_eq (wld.last_reply.status, FRONT_REJECTED);
  wld.jobs->hold_reads = false;
  while (topic_memory_run_held (wld.jobs))
    ;
  node_world_run (&wld, 200);
  node_world_handle (&wld, FRONT_STATE, "0000000000000007");
  node_world_run (&wld, 100);
  ck_assert_int_eq (wld.last_reply.status, FRONT_JOB_STATE);
  node_world_handle (&wld, FRONT_STATE, "");
  ck_assert_int_eq (wld.last_reply.status, FRONT_QUEUE_WAITING);
  ck_assert_uint_eq (wld.last_reply.waiting, 2);
  ck_assert_uint_eq (wld.replies, 4);
  node_world_fini (&wld);
}
END_TEST

/* Guards against a number of waiting jobs from a view that is out of date, as
   of a process that the store has turned away: jobs that others have accepted
   since are missing in it.  */
START_TEST (test_waiting_from_old_view)
{
  node_world_create (&wld, false);
  node_world_run (&wld, 200);
  node_world_handle (&wld, FRONT_STATE, "");
  ck_assert_int_eq (wld.last_reply.status, FRONT_QUEUE_WAITING);
  wld.jobs->hold_reads = true;
  node_world_run (&wld, 3500);
  node_world_handle (&wld, FRONT_STATE, "");
  ck_assert_int_eq (wld.last_reply.status, FRONT_REJECTED);
  wld.jobs->hold_reads = false;
  while (topic_memory_run_held (wld.jobs))
    ;
  node_world_run (&wld, 200);
  node_world_handle (&wld, FRONT_STATE, "");
  ck_assert_int_eq (wld.last_reply.status, FRONT_QUEUE_WAITING);
  node_world_fini (&wld);
}
END_TEST

static void
add_progress (uint64_t token, char *done_host)
{
  uint8_t data[128];
  Kingcuphollow__WaveProgress msg = KINGCUPHOLLOW__WAVE_PROGRESS__INIT;
  msg.token = token;
  msg.done_hosts = &done_host;
  msg.n_done_hosts = done_host != NULL;
  topic_memory_add (wld.fleet, "n/1", data,
                    kingcuphollow__wave_progress__pack (&msg, data));
}

/* Number of hosts that are done according to the newest record of wave 1.  */
static size_t
logged_progress (void)
{
  const struct memory_record *rec
      = &wld.fleet->records[topic_memory_find (wld.fleet, "n/1")];
  Kingcuphollow__WaveProgress *msg = kingcuphollow__wave_progress__unpack (
      NULL, rec->value_len, rec->value);
  size_t count = msg->n_done_hosts;
  kingcuphollow__wave_progress__free_unpacked (msg, NULL);
  return count;
}

/* Guards against hosts that are maintained twice: a new holder of the fleet
   duty that begins before it has read the recorded progress replaces it.  */
START_TEST (test_new_holder_reads_progress)
{
  static const char wave[]
      = "{\"wave\":1,\"machines\":[\"m-w1\",\"m-w2\",\"m-w3\"],"
        "\"duration-s\":20,\"cap\":1}";
  node_world_init (&wld, true);
  wld.nod->started_us = INT64_MAX / 2; /* claims no duty */
  for (size_t n = 0; n < 3; n++)
    {
      wld.hosts[n].state = HOST_UP;
      snprintf (wld.hosts[n].name, NAME_BYTES, "m-w%zu", n + 1);
      name_copy (wld.hosts[n].pool, "p");
      snprintf (wld.hosts[n].worker, NAME_BYTES, "w%zu", n + 1);
    }
  wld.host_count = 3;
  wld.fleet->hold_reads = true;
  node_world_run (&wld, 100);
  add_progress (0, "m-w1");
  node_world_claim (&wld, DUTY_FLEET, "n1", NODE_WORLD_BOOT, false);
  node_world_run (&wld, 200);
  ck_assert_uint_ne (node_fleet_token (wld.nod), 0);
  node_fleet_add_wave (wld.nod, (const uint8_t *)wave, sizeof wave - 1);
  node_world_run (&wld, 200);
  ck_assert_uint_eq (logged_progress (), 1);
  wld.fleet->hold_reads = false;
  topic_memory_run_held (wld.fleet);
  node_world_run (&wld, 300);
  ck_assert_uint_eq (logged_progress (), 1);
  ck_assert_int_eq (topic_memory_find (wld.fleet, "v/m-w1"), -1);
  ck_assert_int_ge (topic_memory_find (wld.fleet, "v/m-w2"), 0);
  /* A late record of an earlier holder does not hide that of this one.  */
  add_progress (0, "m-w2");
  node_world_run (&wld, 300);
  ck_assert_uint_eq (logged_progress (), 2);
  node_world_request (&wld, "m-w2", 99, 0);
  node_world_request (&wld, "m-w3", 99, 0);
  node_world_run (&wld, 100);
  node_world_fini (&wld);
}
END_TEST

/* Whether the newest request to vacate HOST is withdrawn.  */
static bool
request_withdrawn (const char *host)
{
  char key[DUTY_KEY_BYTES];
  snprintf (key, sizeof key, "v/%s", host);
  const struct memory_record *rec
      = &wld.fleet->records[topic_memory_find (wld.fleet, key)];
  Kingcuphollow__VacateRequest *msg = kingcuphollow__vacate_request__unpack (
      NULL, rec->value_len, rec->value);
  bool withdrawn = msg->until_ms == 0;
  kingcuphollow__vacate_request__free_unpacked (msg, NULL);
  return withdrawn;
}

/* Guards against hosts that receive no tasks for as long as holders of the
   fleet duty follow each other within a second: none of them lives long enough
   to withdraw what an earlier one requested before it was stopped.  */
START_TEST (test_requests_of_stopped_holder)
{
  static const char wave[]
      = "{\"wave\":1,\"machines\":[\"m-w1\",\"m-w2\",\"m-w3\",\"m-w4\"],"
        "\"duration-s\":20,\"cap\":2}";
  node_world_init (&wld, true);
  wld.nod->started_us = INT64_MAX / 2; /* claims no duty */
  /* A third of the pool may be vacated at a time: two hosts.  */
  for (size_t n = 0; n < 6; n++)
    {
      wld.hosts[n].state = HOST_UP;
      snprintf (wld.hosts[n].name, NAME_BYTES, "m-w%zu", n + 1);
      name_copy (wld.hosts[n].pool, "p");
      snprintf (wld.hosts[n].worker, NAME_BYTES, "w%zu", n + 1);
    }
  wld.host_count = 6;
  uint64_t owner = node_world_claim (&wld, "p", "n2", 1, false);
  node_world_claim (&wld, DUTY_FLEET, "n1", NODE_WORLD_BOOT, false);
  node_world_run (&wld, 300);
  node_fleet_add_wave (wld.nod, (const uint8_t *)wave, sizeof wave - 1);
  node_world_run (&wld, 200);
  ck_assert_int_ge (topic_memory_find (wld.fleet, "v/m-w2"), 0);
  report_empty (owner, (uint64_t)topic_memory_find (wld.fleet, "v/m-w1"));
  ck_assert_uint_eq (wld.orders, 1);
  wld.nod->stopping = true;
  node_release_duties (wld.nod);
  node_world_run (&wld, 200);
  ck_assert_uint_eq (node_fleet_token (wld.nod), 0);
  ck_assert (request_withdrawn ("m-w2"));
  /* The platform may still carry out the order for the other host.  */
  ck_assert (!request_withdrawn ("m-w1"));
  node_world_request (&wld, "m-w1", 99, 0);
  /* A process without a duty reads the requests less often.  */
  node_world_run (&wld, 1500);
  node_world_fini (&wld);
}
END_TEST

/* Guards against a host that receives no tasks for 15 s: the report that it is
   empty is read before the holder has read its own request, and is ignored. */
START_TEST (test_report_read_before_request)
{
  static const char wave[] = "{\"wave\":1,\"machines\":[\"m-w1\"],"
                             "\"duration-s\":20,\"cap\":1}";
  node_world_init (&wld, true);
  wld.nod->started_us = INT64_MAX / 2; /* claims no duty */
  wld.hosts[0].state = HOST_UP;
  name_copy (wld.hosts[0].name, "m-w1");
  name_copy (wld.hosts[0].pool, "p");
  name_copy (wld.hosts[0].worker, "w1");
  wld.host_count = 1;
  uint64_t owner = node_world_claim (&wld, "p", "n2", 1, false);
  node_world_claim (&wld, DUTY_FLEET, "n1", NODE_WORLD_BOOT, false);
  node_world_run (&wld, 300);
  wld.fleet->hold_reads = true;
  node_fleet_add_wave (wld.nod, (const uint8_t *)wave, sizeof wave - 1);
  node_world_run (&wld, 200);
  int64_t offset = topic_memory_find (wld.fleet, "v/m-w1");
  ck_assert_int_ge (offset, 0);
  report_empty (owner, (uint64_t)offset);
  wld.fleet->hold_reads = false;
  topic_memory_run_held (wld.fleet);
  node_world_run (&wld, 300);
  ck_assert_uint_eq (wld.orders, 1);
  node_world_request (&wld, "m-w1", 99, 0);
  node_world_run (&wld, 100);
  node_world_fini (&wld);
}
END_TEST

/* Guards against orders of two holders that arrive by turns (ONE) where the
   platform checks no tokens: an order of the earlier holder may arrive until
   2 s after the claim of the later one.  */
START_TEST (test_order_after_earlier_holder)
{
  static const char wave[] = "{\"wave\":1,\"machines\":[\"m-w1\"],"
                             "\"duration-s\":20,\"cap\":1}";
  node_world_init (&wld, true);
  wld.nod->started_us = INT64_MAX / 2; /* claims no duty */
  wld.hosts[0].state = HOST_UP;
  name_copy (wld.hosts[0].name, "m-w1");
  name_copy (wld.hosts[0].pool, "p");
  name_copy (wld.hosts[0].worker, "w1");
  wld.host_count = 1;
  uint64_t owner = node_world_claim (&wld, "p", "n2", 1, false);
  node_world_take_over (&wld, DUTY_FLEET, "n1", NODE_WORLD_BOOT, "n2");
  node_world_run (&wld, 300);
  node_fleet_add_wave (wld.nod, (const uint8_t *)wave, sizeof wave - 1);
  node_world_run (&wld, 200);
  report_empty (owner, (uint64_t)topic_memory_find (wld.fleet, "v/m-w1"));
  node_world_run (&wld, 800);
  ck_assert_uint_eq (wld.orders, 0);
  node_world_run (&wld, 1500);
  ck_assert_uint_eq (wld.orders, 1);
  ck_assert_int_gt (wld.order_timeout_ms, 0);
  ck_assert_int_le (wld.order_timeout_ms, 2000);
  /* An order that waits for its connection is not sent after the duty is
     lost.  */
  ck_assert (wld.order_may_send (wld.order_arg));
  node_world_claim (&wld, DUTY_FLEET, "n3", 1, false);
  node_world_run (&wld, 200);
  ck_assert (!wld.order_may_send (wld.order_arg));
  node_world_request (&wld, "m-w1", 99, 0);
  node_world_run (&wld, 100);
  node_world_fini (&wld);
}
END_TEST

/* Guards against a store that is full for good: it keeps the newest record of
   each key, and nobody removed those of ended jobs.  */
START_TEST (test_records_of_ended_job)
{
  static const char *const keys[]
      = { "0000000000000007j", "0000000000000007p", "0000000000000007x" };
  node_world_init (&wld, false);
  own_pool ();
  node_world_add_job (&wld, 7);
  node_world_add_job (&wld, 8);
  node_world_run (&wld, 300);
  node_world_handle (&wld, FRONT_CANCEL, "0000000000000007");
  node_world_run (&wld, 600);
  int64_t now_us = clock_now_us (wld.nod->clk);
  job_table_expire (&wld.nod->jobs, now_us, node_forget_job, wld.nod);
  node_world_run (&wld, 100);
  ck_assert_ptr_null (job_table_find (&wld.nod->jobs, 7));
  ck_assert_ptr_nonnull (job_table_find (&wld.nod->jobs, 8));
  for (size_t n = 0; n < sizeof keys / sizeof *keys; n++)
    {
      int64_t offset = topic_memory_find (wld.jobs, keys[n]);
      ck_assert_int_ge (offset, 0);
      ck_assert_uint_eq (wld.jobs->records[offset].value_len, 0);
    }
  int64_t offset = topic_memory_find (wld.jobs, "0000000000000008j");
  ck_assert_uint_gt (wld.jobs->records[offset].value_len, 0);
  node_world_fini (&wld);
}
END_TEST

/* Guards against pools without an owner for seconds after the loss of all
   processes (RECOVER): each controller read all partitions of the jobs at once
   before it could claim any pool.  A partition that the store does not serve
   does not keep others from being read.  */
START_TEST (test_partitions_read_in_turn)
{
  char pool[] = "a";
  struct queue queues[2];
  struct catalog cat;
  node_world_create (&wld, false);
  struct job_partition *first = node_job_partition (wld.nod, "p");
  wld.jobs->hold_reads = true;
  while (XXH64 (pool, 1, 0) % NODE_WORLD_PARTITIONS == first->part)
    pool[0]++;
  queues[0] = queues[1] = wld.cat.queues[0];
  queues[1].name = "q2";
  queues[1].pool = pool;
  cat = wld.cat;
  cat.queues = queues;
  cat.queue_count = 2;
  wld.nod->cat = &cat;
  struct job_partition *second = node_job_partition (wld.nod, pool);
  node_world_run (&wld, 1000);
  ck_assert (follower_is_open (&first->fol));
  ck_assert (!follower_is_open (&second->fol));
  node_world_run (&wld, 2000);
  ck_assert (follower_is_open (&second->fol));
  ck_assert (follower_caught_up (&second->fol));
  wld.nod->cat = &wld.cat;
  node_world_fini (&wld);
  node_world_create (&wld, false);
  wld.nod->cat = &cat;
  node_world_run (&wld, 700);
  ck_assert (node_pool_followed (wld.nod, "p"));
  ck_assert (node_pool_followed (wld.nod, pool));
  wld.nod->cat = &wld.cat;
  node_world_fini (&wld);
}
END_TEST

/* Guards against claims that are repeated although the records to which the
   last one lost have not been read: after the loss of all processes three
   controllers claimed one duty 19 times within 0.4 s.  */
START_TEST (test_lost_claim_is_not_repeated)
{
  node_world_init (&wld, false);
  wld.duties->hold_reads = true;
  node_world_run (&wld, 100);
  node_world_claim (&wld, "other", "n2", 1, false);
  node_world_run (&wld, 1200);
  uint64_t conflicts = wld.nod->claim_conflicts;
  ck_assert_uint_eq (conflicts, 1);
  ck_assert_ptr_null (held_duty ());
  wld.duties->hold_reads = false;
  topic_memory_run_held (wld.duties);
  node_world_run (&wld, 400);
  ck_assert_uint_eq (wld.nod->claim_conflicts, conflicts);
  ck_assert_ptr_nonnull (held_duty ());
  node_world_fini (&wld);
}
END_TEST

#define BATCH_JOB "{\"steps\":[{\"count\":1,\"estimate-ms\":900}]}"
#define SERVING_JOB "{\"steps\":[{\"count\":1,\"perpetual\":true}]}"

/* Guards against a job that waits until its result is of no use although its
   client could have been told at once (SHORT), and against a rejection that is
   not true, or that is for a job which the pool can serve.  */
START_TEST (test_full_pool)
{
  node_world_init (&wld, false);
  own_pool ();
  struct held_duty *hld = held_duty ();
  /* A request whose append is in progress may be stored.  */
  wld.jobs->hold_appends = true;
  node_world_submit (&wld, "00000000000000b1", BATCH_JOB);
  hld->adm.accept_permille = 0;
  hld->adm.retry_after_ms = 4000;
  hld->adm.updated_us = INT64_MAX / 2;
  size_t replies = wld.replies;
  node_world_submit (&wld, "00000000000000b1", BATCH_JOB);
  ck_assert_uint_eq (wld.replies, replies);
  wld.jobs->hold_appends = false;
  node_world_run (&wld, 300);
  /* One that is not stored is rejected, and stays away.  */
  node_world_submit (&wld, "00000000000000b2", BATCH_JOB);
  ck_assert_int_eq (wld.last_reply.status, FRONT_REJECTED);
  ck_assert_str_eq (wld.last_reply.reason, "pool_full");
  ck_assert_int_ge (wld.last_reply.retry_after_ms, 4000);
  ck_assert_int_lt (wld.last_reply.retry_after_ms, 8000);
  /* A known job and a serving one are accepted.  */
  node_world_submit (&wld, "00000000000000b1", BATCH_JOB);
  ck_assert_int_eq (wld.last_reply.status, FRONT_OK);
  wld.last_reply.status = FRONT_REJECTED;
  node_world_submit (&wld, "00000000000000b3", SERVING_JOB);
  node_world_run (&wld, 300);
  ck_assert_int_eq (wld.last_reply.status, FRONT_OK);
  ck_assert_int_lt (topic_memory_find (wld.jobs, "00000000000000b2j"), 0);
  ck_assert_int_ge (topic_memory_find (wld.jobs, "00000000000000b3j"), 0);
  node_world_fini (&wld);
}
END_TEST

/* Guards against a pool that goes on to reject jobs by the report of an owner
   that has ended or that accepts all jobs again.  */
START_TEST (test_reported_admission)
{
  int64_t retry_after_ms = 0;
  node_world_init (&wld, false);
  Kingcuphollow__MemberBeat msg = KINGCUPHOLLOW__MEMBER_BEAT__INIT;
  Kingcuphollow__PoolAdmission row = KINGCUPHOLLOW__POOL_ADMISSION__INIT;
  Kingcuphollow__PoolAdmission *rows[] = { &row };
  row.pool = (char *)"p2";
  row.retry_after_ms = 1500;
  msg.admissions = rows;
  msg.n_admissions = 1;
  ck_assert (node_pool_accepts (wld.nod, "p2", 1, &retry_after_ms));
  node_note_admissions (wld.nod, "n2", &msg);
  ck_assert (!node_pool_accepts (wld.nod, "p2", 1, &retry_after_ms));
  ck_assert_int_ge (retry_after_ms, 1500);
  ck_assert (node_pool_accepts (wld.nod, "p", 1, &retry_after_ms));
  msg.n_admissions = 0;
  node_note_admissions (wld.nod, "n3", &msg);
  ck_assert (!node_pool_accepts (wld.nod, "p2", 1, &retry_after_ms));
  node_note_admissions (wld.nod, "n2", &msg);
  ck_assert (node_pool_accepts (wld.nod, "p2", 1, &retry_after_ms));
  msg.n_admissions = 1;
  node_note_admissions (wld.nod, "n2", &msg);
  node_world_run (&wld, 3100);
  ck_assert (node_pool_accepts (wld.nod, "p2", 1, &retry_after_ms));
  node_world_fini (&wld);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("node");
  TCase *tc = tcase_create ("node");
  tcase_set_timeout (tc, 60);
  tcase_add_test (tc, test_refused_owner_claims_anew);
  tcase_add_test (tc, test_answer_to_fence_lost);
  tcase_add_test (tc, test_runs_with_one_start_time);
  tcase_add_test (tc, test_repeated_spec_of_unlogged_end);
  tcase_add_test (tc, test_cancel_after_queue_moved);
  tcase_add_test (tc, test_failed_job_of_removed_route);
  tcase_add_test (tc, test_pool_without_queue);
  tcase_add_test (tc, test_new_owner_reads_all_pages);
  tcase_add_test (tc, test_former_owner_reads_by_key);
  tcase_add_test (tc, test_late_release);
  tcase_add_test (tc, test_request_of_earlier_holder);
  tcase_add_test (tc, test_request_before_short_holders);
  tcase_add_test (tc, test_report_of_earlier_owner);
  tcase_add_test (tc, test_cancel_of_unlogged_end);
  tcase_add_test (tc, test_repeated_job_of_unlogged_end);
  tcase_add_test (tc, test_answers_before_first_read);
  tcase_add_test (tc, test_waiting_from_old_view);
  tcase_add_test (tc, test_new_holder_reads_progress);
  tcase_add_test (tc, test_requests_of_stopped_holder);
  tcase_add_test (tc, test_report_read_before_request);
  tcase_add_test (tc, test_order_after_earlier_holder);
  tcase_add_test (tc, test_records_of_ended_job);
  tcase_add_test (tc, test_partitions_read_in_turn);
  tcase_add_test (tc, test_lost_claim_is_not_repeated);
  tcase_add_test (tc, test_full_pool);
  tcase_add_test (tc, test_reported_admission);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
