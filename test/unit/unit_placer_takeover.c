#include <check.h>
#include <stdlib.h>

#include "fleet/host_link.h"
#include "placer_world.h"
#include "sched/pool.h"

/* Tests of a placer that finds runs which it did not start, or that owns the
   pool for the second time.  */

#define PERPETUAL_JOB                                                         \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"perpetual\":true}]}"
#define BATCH_JOB                                                             \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"estimate-ms\":900}]" \
  "}"
#define GANG_JOB                                                              \
  "{\"steps\":[{\"count\":2,\"cpu\":1000,\"mem-mb\":64,\"gang\":true}]}"

static struct world *wld;

static void
setup (void)
{
  wld = world_create ();
  /* The workers have just been started.  */
  world_add_worker (wld, "w1", wld->clk.now_us / 1000);
  world_add_worker (wld, "w2", wld->clk.now_us / 1000);
  world_tick (wld, 1);
}

static void
teardown (void)
{
  world_destroy (wld);
}

/* Answers the holds to both workers, which list these running runs: at most
   one each.  */
static void
list_runs (const struct world_row *on_w1, const struct world_row *on_w2)
{
  world_answer_hold (wld, "w1", on_w1, on_w1 != NULL, NULL, 0);
  world_answer_hold (wld, "w2", on_w2, on_w2 != NULL, NULL, 0);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  world_tick (wld, 1);
}

/* A task has one run at a time.  Guards against a second start beside a run
   that the worker lists under a lower number than the highest one known: an
   earlier owner that had not recorded its runs was followed by one that
   counted from the start again.  */
START_TEST (test_listed_run_with_lower_number)
{
  static const char *const jobs[] = { PERPETUAL_JOB, BATCH_JOB, GANG_JOB };
  const struct world_row row = { .job = 1, .run = 1 };
  struct job *job = world_add_job (wld, 1, jobs[_i], 50);
  job->occurrences[0].tasks[0].prg.last_run = 2;
  list_runs (&row, NULL);
  for (int n = 0; n < 3; n++)
    {
      ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
      world_answer_hold (wld, "w1", &row, 1, NULL, 0);
      world_tick (wld, 40);
    }
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
}
END_TEST

/* Guards against a start while an unwanted run of the task is being stopped: a
   stop takes time, and its run goes on meanwhile.  */
START_TEST (test_unwanted_run_delays_start)
{
  const struct world_row kept = { .job = 1, .run = 2 };
  const struct world_row unwanted = { .job = 1, .run = 1 };
  const struct world_row end
      = { .job = 1, .run = 2, .end = RUN_END_FAILED, .number = 1 };
  world_release_earlier (wld);
  world_add_job (wld, 1, PERPETUAL_JOB, 50);
  list_runs (&kept, &unwanted);
  struct world_call *stop = world_call (wld, WORLD_STOP, "w2");
  ck_assert_ptr_nonnull (stop);
  ck_assert_uint_eq (stop->run, 1);
  world_answer_hold (wld, "w1", NULL, 0, &end, 1);
  for (int n = 0; n < 3; n++)
    {
      world_tick (wld, 60);
      ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
    }
  world_answer (wld, stop, COMMAND_DONE);
  world_answer_hold (wld, "w2", &unwanted, 1, NULL, 0);
  world_tick (wld, 60);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
  world_answer_hold (wld, "w2", NULL, 0, NULL, 0);
  world_tick (wld, 60);
  world_tick (wld, 60);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 1);
}
END_TEST

/* An owner starts from what the log says, not from what it knew when it owned
   the pool before.  Guards against run numbers and ends that never reached the
   log: the successor in between did not know them.  */
START_TEST (test_unlogged_progress_of_earlier_ownership)
{
  const struct world_row end
      = { .job = 1, .run = 1, .end = RUN_END_DONE, .number = 1 };
  list_runs (NULL, NULL);
  struct job *job = world_add_job (wld, 1, BATCH_JOB, 200);
  struct task *tsk = &job->occurrences[0].tasks[0];
  world_tick (wld, 1);
  const char *worker = world_call (wld, WORLD_START, "w1") ? "w1" : "w2";
  world_answer (wld, world_call (wld, WORLD_START, worker), COMMAND_DONE);
  world_tick (wld, 1);
  world_answer_hold (wld, worker, NULL, 0, &end, 1);
  world_tick (wld, 50);
  ck_assert_int_eq (job->state, JOB_COMPLETED);
  /* The append of this end fails, as a successor has fenced the log.  */
  world_take_over (wld, 9, 300);
  ck_assert (!tsk->prg.done);
  ck_assert_uint_eq (tsk->prg.last_run, 0);
  ck_assert_uint_eq (job->occurrences[0].done, 0);
  ck_assert (!job_ended (job));
  /* Its worker is gone, so the task has to run again.  */
  world_add_worker (wld, "w3", 2000);
  world_tick (wld, 1);
  world_answer_hold (wld, "w3", NULL, 0, NULL, 0);
  world_tick (wld, 1);
  wld->clk.now_us += WORLD_CONFIRM_MS * 1000
                     + placer_lease_span_us (WORLD_LEASE_MAX_MS) + 1000;
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  world_tick (wld, 1);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 2);
}
END_TEST

/* Guards against run numbers that are used again by a later owner: the end of
   a run is recorded with its number, also that of a perpetual task.  */
START_TEST (test_run_number_recorded)
{
  const struct world_row end
      = { .job = 1, .run = 4, .end = RUN_END_STOPPED, .number = 1 };
  struct job *job = world_add_job (wld, 1, PERPETUAL_JOB, 50);
  job->started = true;
  size_t before = wld->append_count;
  world_answer_hold (wld, "w1", NULL, 0, &end, 1);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  ck_assert_uint_eq (job->occurrences[0].tasks[0].prg.last_run, 4);
  ck_assert_uint_gt (wld->append_count, before);
}
END_TEST

/* Two runs with the same number are two failures.  Guards against more runs
   than the queue's attempts (BUDGET): a successor that does not know of an
   earlier owner's run may use its number again on another worker.  */
START_TEST (test_failed_runs_with_one_number)
{
  const struct world_row end
      = { .job = 1, .run = 1, .end = RUN_END_FAILED, .number = 1 };
  struct job *job = world_add_job (wld, 1, BATCH_JOB, 50);
  world_answer_hold (wld, "w1", NULL, 0, &end, 1);
  world_answer_hold (wld, "w2", NULL, 0, &end, 1);
  ck_assert_uint_eq (job->occurrences[0].tasks[0].failures, 2);
}
END_TEST

/* Guards against tasks that wait for the leases of a worker whose host has
   left, and against a task that is started while its run goes on at a worker
   whose host is missing in a list only by chance: in one list read in pages,
   in one with entries that could not be decoded, or in one that is older than
   the worker.  */
START_TEST (test_absent_host)
{
  static const struct
  {
    int64_t after_ms; /* from the claim to the first list */
    bool incomplete;
    bool listed[3]; /* by list: contains the host of w9 */
    bool takeover_done;
  } cases[] = {
    { 2000, false, { true, false, false }, true },
    { 2000, false, { true, true, false }, false },
    { 2000, false, { false, true, false }, false },
    { 2000, true, { false, false, false }, false },
    { 200, false, { false, false, false }, false },
    { 2000, false, { true, true, true }, false },
  };
  for (size_t n = 0; n < sizeof cases / sizeof *cases; n++)
    {
      static const struct host_report hosts[]
          = { { .name = "m-w1", .worker = "w1" },
              { .name = "m-w2", .worker = "w2" },
              { .name = "m-w9", .worker = "w9" } };
      teardown ();
      setup ();
      world_release_earlier (wld);
      placer_add_earlier_worker (wld->plc, "w9", "m-w9", 500, wld->clk.now_us);
      list_runs (NULL, NULL);
      world_tick (wld, cases[n].after_ms);
      for (int m = 0; m < 3; m++)
        {
          const struct host_list list
              = { .incomplete = cases[n].incomplete,
                  .hosts = hosts,
                  .count = cases[n].listed[m] ? 3 : 2 };
          placer_update_hosts (wld->plc, &list, wld->clk.now_us);
          world_tick (wld, 400);
        }
      ck_assert_msg (placer_takeover_done (wld->plc) == cases[n].takeover_done,
                     "case %zu", n);
    }
}
END_TEST

/* The runs of a silent worker whose host has left are given up once ownership
   is confirmed, before their leases have expired; a worker that answers keeps
   its runs.  */
START_TEST (test_silent_worker_without_host)
{
  const struct world_row row = { .job = 1, .run = 1 };
  const struct host_report other = { .name = "m-w8", .worker = "w8" };
  const struct host_list list = { .hosts = &other, .count = 1 };
  world_add_job (wld, 1, PERPETUAL_JOB, 200);
  list_runs (&row, NULL);
  world_tick (wld, 2000);
  for (int n = 0; n < 3; n++)
    {
      placer_update_hosts (wld->plc, &list, wld->clk.now_us);
      world_answer_hold (wld, "w1", &row, 1, NULL, 0);
      world_tick (wld, 400);
      world_confirm_ownership (wld);
    }
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
  world_answer (wld, world_call (wld, WORLD_HOLD, "w1"), COMMAND_NO_ANSWER);
  for (int n = 0; n < 2; n++)
    {
      ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
      world_tick (wld, 100);
      placer_update_hosts (wld->plc, &list, wld->clk.now_us);
    }
  world_tick (wld, 100);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
  world_confirm_ownership (wld);
  world_tick (wld, 60);
  world_tick (wld, 60);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 1);
}
END_TEST

/* Guards against two owners that start the same job.  A former owner that
   reads the newest record of each key may read a job before the fence of the
   later owner that has started it.  */
START_TEST (test_no_start_from_inconsistent_log)
{
  world_release_earlier (wld);
  list_runs (NULL, NULL);
  world_tick (wld, 1);
  wld->log_inconsistent = true;
  world_add_job (wld, 1, BATCH_JOB, 0);
  for (int n = 0; n < 5; n++)
    world_tick (wld, 40);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
  wld->log_inconsistent = false;
  world_tick (wld, 40);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 1);
}
END_TEST

/* A later owner starts tasks again once the leases of an earlier one have
   expired, counted from the time up to which that one may send commands.
   Guards against a start that is repeated after that time, as its call was
   answered late, and that extends all leases at the worker.  */
START_TEST (test_lease_without_confirmation)
{
  list_runs (NULL, NULL);
  int64_t latest_ms
      = wld->clk.now_us / 1000 + WORLD_CONFIRM_MS + WORLD_LEASE_MS;
  world_add_job (wld, 1, BATCH_JOB, 200);
  world_tick (wld, 1);
  const char *worker = world_call (wld, WORLD_START, "w1") ? "w1" : "w2";
  struct world_call *start = world_call (wld, WORLD_START, worker);
  ck_assert_int_le (start->lease_end_ms, latest_ms);
  wld->clk.now_us += (WORLD_CONFIRM_MS + 1500) * 1000;
  world_answer (wld, start, COMMAND_NO_ANSWER);
  struct world_call *again = world_call (wld, WORLD_START, worker);
  if (again)
    ck_assert_int_le (again->lease_end_ms, latest_ms);
}
END_TEST

/* Guards against a second start beside the run of a worker that goes on: a
   list of hosts from before the worker's start shows its predecessor, and how
   old the list is does not follow from the time of day.  */
START_TEST (test_list_older_than_worker)
{
  static const int64_t ahead_us[] = { 0, 6000000, -6000000 };
  const char *worker;
  struct host_report rep = { .state = HOST_UP };
  wld->clk.wall_ahead_us = ahead_us[_i];
  list_runs (NULL, NULL);
  world_add_job (wld, 1, BATCH_JOB, 200);
  world_tick (wld, 1);
  worker = world_call (wld, WORLD_START, "w1") ? "w1" : "w2";
  world_answer (wld, world_call (wld, WORLD_START, worker), COMMAND_DONE);
  world_tick (wld, 1);
  world_answer (wld, world_call (wld, WORLD_HOLD, worker), COMMAND_NO_ANSWER);
  name_copy (rep.name, worker[1] == '1' ? "m-w1" : "m-w2");
  name_copy (rep.worker, "w0");
  world_tick (wld, 300);
  placer_update_host (wld->plc, &rep, wld->clk.now_us);
  for (int n = 0; n < 3; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 300);
      ck_assert_uint_eq (world_starts (wld, 1, 0), 1);
    }
  /* A later list does show that the worker was replaced.  */
  world_tick (wld, 1500);
  placer_update_host (wld->plc, &rep, wld->clk.now_us);
  world_tick (wld, 1);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  world_tick (wld, 1);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 2);
}
END_TEST

/* Guards against commands of a former owner.  A start without an answer is not
   sent again, and the run is stopped only while ownership is confirmed.  */
START_TEST (test_no_command_after_confirmation)
{
  static const struct
  {
    int64_t age_ms;    /* of the confirmation when the start is sent */
    int64_t answer_ms; /* from then until it is known to have no answer */
    bool fenced;       /* the log shows a later owner */
    bool stopped;
  } cases[] = {
    { 0, 900, false, true },
    { WORLD_START_CONFIRM_MS - 500, 900, false, true },
    { WORLD_START_CONFIRM_MS - 500,
      WORLD_CONFIRM_MS - WORLD_START_CONFIRM_MS + 600, false, false },
    { 0, 900, true, false },
  };
  list_runs (NULL, NULL);
  world_tick (wld, 1);
  world_confirm_ownership (wld);
  world_tick (wld, cases[_i].age_ms);
  world_add_job (wld, 1, BATCH_JOB, 200);
  world_tick (wld, 1);
  const char *worker = world_call (wld, WORLD_START, "w1") ? "w1" : "w2";
  wld->clk.now_us += cases[_i].answer_ms * 1000;
  if (cases[_i].fenced)
    placer_note_fence (wld->plc, 9);
  world_answer (wld, world_call (wld, WORLD_START, worker), COMMAND_NO_ANSWER);
  world_tick (wld, 1);
  if (world_call (wld, WORLD_HOLD, worker))
    world_answer_hold (wld, worker, NULL, 0, NULL, 0);
  ck_assert (!!world_call (wld, WORLD_STOP, worker) == cases[_i].stopped);
  /* After a confirmation the run is stopped, as it may have started.  */
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  if (world_call (wld, WORLD_HOLD, worker))
    world_answer_hold (wld, worker, NULL, 0, NULL, 0);
  ck_assert (!!world_call (wld, WORLD_STOP, worker) == !cases[_i].fenced);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 1);
}
END_TEST

/* Guards against leases that a process extends after it has lost the pool.  A
   process that is stopped between its claim and the reading of its fence
   begins with a confirmation from before the stop.  */
START_TEST (test_late_begin_confirms_nothing)
{
  wld->confirmed_age_ms = WORLD_CONFIRM_MS;
  world_take_over (wld, 9, 300);
  world_add_worker (wld, "w3", 2000);
  world_tick (wld, 1);
  ck_assert_ptr_null (world_call (wld, WORLD_HOLD, "w3"));
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  ck_assert_ptr_nonnull (world_call (wld, WORLD_HOLD, "w3"));
}
END_TEST

/* Guards against a worker that has left and delays each further takeover: once
   the leases of the earlier owners have expired, the worker record does not
   name workers that never answered.  */
START_TEST (test_departed_worker_leaves_record)
{
  placer_add_earlier_worker (wld->plc, "w9", "m-w9", 500, wld->clk.now_us);
  list_runs (NULL, NULL);
  world_add_worker (wld, "w3", 1000);
  world_tick (wld, 1);
  world_answer_hold (wld, "w3", NULL, 0, NULL, 0);
  world_tick (wld, 1);
  ck_assert_uint_eq (wld->recorded_workers, 4);
  wld->clk.now_us += WORLD_CONFIRM_MS * 1000
                     + placer_lease_span_us (WORLD_LEASE_MAX_MS) + 100000;
  world_confirm_ownership (wld);
  for (int n = 0; n < 3; n++)
    world_tick (wld, 1);
  ck_assert (placer_takeover_done (wld->plc));
  ck_assert_uint_eq (wld->recorded_workers, 3);
}
END_TEST

/* An owner may start tasks for a while after its successor's claim, when it
   was paused or cut off, and a worker that has restarted since takes the
   start: it has seen no token.  Guards against a successor that starts the
   same task in that time, or before it has asked such a worker again (TWICE).
 */
START_TEST (test_earlier_owner_may_still_start)
{
  static const struct
  {
    bool released;   /* the earlier owner sends no more commands */
    bool started;    /* the earlier owner starts the task on w2 */
    size_t starts_1; /* before the earlier owner's last start */
    size_t starts_2; /* after the workers have answered again */
  } cases[] = {
    { true, false, 1, 1 },
    { false, false, 0, 1 },
    { false, true, 0, 0 },
  };
  const struct world_row row = { .job = 1, .run = 1 };
  if (cases[_i].released)
    world_release_earlier (wld);
  world_add_job (wld, 1, BATCH_JOB, 50);
  list_runs (NULL, NULL);
  for (int64_t ms = 40; ms < WORLD_START_CONFIRM_MS; ms += 40)
    {
      world_tick (wld, 40);
      world_confirm_ownership (wld);
    }
  ck_assert_uint_eq (world_starts (wld, 1, 0), cases[_i].starts_1);
  if (cases[_i].released)
    return;
  for (int n = 0; n < 3; n++)
    {
      world_tick (wld, 40);
      world_confirm_ownership (wld);
    }
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
  world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
  world_answer_hold (wld, "w2", &row, cases[_i].started, NULL, 0);
  world_tick (wld, 40);
  world_tick (wld, 40);
  ck_assert (placer_takeover_done (wld->plc));
  ck_assert_uint_eq (world_starts (wld, 1, 0), cases[_i].starts_2);
}
END_TEST

/* The other side of it: an owner starts nothing once a successor that it does
   not know of may start the same tasks, though it still extends leases.  */
START_TEST (test_no_start_from_old_confirmation)
{
  static const struct
  {
    int64_t age_ms; /* of the last confirmation */
    size_t starts;
  } cases[] = {
    { WORLD_START_CONFIRM_MS - 100, 1 },
    { WORLD_START_CONFIRM_MS, 0 },
    { WORLD_CONFIRM_MS - 100, 0 },
  };
  list_runs (NULL, NULL);
  world_tick (wld, 1);
  world_confirm_ownership (wld);
  world_add_job (wld, 1, BATCH_JOB, 200);
  world_tick (wld, cases[_i].age_ms);
  ck_assert_uint_eq (world_starts (wld, 1, 0), cases[_i].starts);
  world_add_worker (wld, "w3", 1000);
  world_tick (wld, 1);
  ck_assert_ptr_nonnull (world_call (wld, WORLD_HOLD, "w3"));
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 1);
}
END_TEST

/* Guards against a task that is started while an earlier owner may start it on
   the next instance of the worker that ran it: the run was known, but its
   instance ended.  */
START_TEST (test_known_run_lost_before_takeover)
{
  const struct world_row row = { .job = 1, .run = 1 };
  placer_add_earlier_worker (wld->plc, "w9", "m-w9", 500, wld->clk.now_us);
  world_add_job (wld, 1, BATCH_JOB, 50);
  list_runs (&row, NULL);
  for (int64_t ms = 0; ms <= WORLD_START_CONFIRM_MS; ms += 100)
    {
      world_tick (wld, 100);
      world_confirm_ownership (wld);
    }
  placer_worker_ended (wld->plc, "w1");
  world_answer (wld, world_call (wld, WORLD_HOLD, "w1"), COMMAND_NO_ANSWER);
  for (int n = 0; n < 5; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 100);
    }
  ck_assert (!placer_takeover_done (wld->plc));
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
  for (int64_t ms = 0;
       ms
       < WORLD_CONFIRM_MS + placer_lease_span_us (WORLD_LEASE_MAX_MS) / 1000;
       ms += 100)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 100);
    }
  ck_assert_uint_eq (world_starts (wld, 1, 0), 1);
}
END_TEST

enum permission_end
{
  END_NONE,
  END_OF_STARTS, /* the last confirmation is too old for starts */
  END_OF_ALL,    /* and for other commands */
  END_FENCE,     /* a later owner is known */
  END_RELEASE,   /* the pool was released */
};

/* Guards against commands that are sent after their permission has ended: they
   waited for a connection, or the process was paused after its decision
   (TWICE).  A release lets the next owner start at once.  */
START_TEST (test_unsent_commands)
{
  static const struct
  {
    enum permission_end end;
    bool start; /* may be sent */
    bool hold;
  } cases[] = {
    { END_NONE, true, true },      { END_OF_STARTS, false, true },
    { END_OF_ALL, false, false },  { END_FENCE, false, false },
    { END_RELEASE, false, false },
  };
  const enum permission_end end = cases[_i].end;
  list_runs (NULL, NULL);
  world_add_worker (wld, "w3", 1000);
  world_confirm_ownership (wld);
  world_add_job (wld, 1, BATCH_JOB, 200);
  world_tick (wld, 1);
  struct world_call *start = world_call (wld, WORLD_START, "w1");
  struct world_call *hold = world_call (wld, WORLD_HOLD, "w3");
  if (!start)
    start = world_call (wld, WORLD_START, "w2");
  ck_assert_ptr_nonnull (start);
  ck_assert_ptr_nonnull (hold);
  if (end == END_OF_STARTS)
    wld->clk.now_us += WORLD_START_CONFIRM_MS * 1000;
  else if (end == END_OF_ALL)
    wld->clk.now_us += WORLD_CONFIRM_MS * 1000;
  else if (end == END_FENCE)
    placer_note_fence (wld->plc, 9);
  else if (end == END_RELEASE)
    {
      placer_destroy (wld->plc);
      wld->plc = NULL;
    }
  ck_assert (start->may_send (start->arg) == cases[_i].start);
  ck_assert (hold->may_send (hold->arg) == cases[_i].hold);
}
END_TEST

#define SERVING_JOB                                                           \
  "{\"steps\":[{\"count\":2,\"cpu\":1000,\"mem-mb\":64,\"perpetual\":true,"   \
  "\"may-miss\":1}]}"

/* Guards against a move beside a stop of an earlier owner: the worker lists a
   run until its stop has taken effect, so a run that is listed when it is
   adopted may be ending.  */
START_TEST (test_no_move_beside_earlier_stop)
{
  const struct world_row on_w1 = { .job = 1, .index = 0, .run = 1 };
  const struct world_row on_w2 = { .job = 1, .index = 1, .run = 1 };
  const struct world_row end = {
    .job = 1, .index = 0, .run = 1, .end = RUN_END_STOPPED, .number = 1
  };
  bool stopped = _i == 1;
  world_add_worker (wld, "w3", wld->clk.now_us / 1000);
  world_enrol_worker (wld, "w3");
  world_add_job (wld, 1, SERVING_JOB, 50);
  list_runs (&on_w1, &on_w2);
  placer_vacate (wld->plc, "m-w2", wld->clk.now_us + 60000000);
  world_tick (wld, 10);
  ck_assert_ptr_null (world_call (wld, WORLD_STOP, "w2"));
  for (int n = 0; n < 3; n++)
    {
      world_tick (wld, 900);
      world_answer_hold (wld, "w1", &on_w1, !stopped, &end, stopped);
      world_answer_hold (wld, "w2", &on_w2, 1, NULL, 0);
      world_confirm_ownership (wld);
      world_tick (wld, 1);
    }
  ck_assert ((world_call (wld, WORLD_STOP, "w2") != NULL) == !stopped);
}
END_TEST

/* Guards against a run that is started again while its worker, which the
   successor cannot reach, still holds the longest lease (TWICE): the worker
   had restarted, and the command had an end by the clock from before.  */
START_TEST (test_unreached_worker_holds_longest_lease)
{
  const bool released = _i == 1;
  const int64_t commands_end_us
      = wld->clk.now_us + (released ? 0 : WORLD_CONFIRM_MS * 1000);
  world_add_job (wld, 1, BATCH_JOB, 50);
  world_take_over (wld, 9, 300);
  if (released)
    world_release_earlier (wld);
  placer_add_earlier_worker (wld->plc, "w1", "m-w1", 500, wld->clk.now_us);
  world_add_worker (wld, "w2", 500);
  while (world_starts (wld, 1, 0) == 0)
    {
      world_tick (wld, 100);
      world_confirm_ownership (wld);
      if (world_call (wld, WORLD_HOLD, "w2"))
        world_answer_hold (wld, "w2", NULL, 0, NULL, 0);
      ck_assert_int_lt (wld->clk.now_us, commands_end_us + WORLD_WAIT_MAX_US);
    }
  /* The last command may have been carried out late.  */
  ck_assert_int_gt (wld->clk.now_us, commands_end_us + LATE_CALL_MAX_US
                                         + WORLD_LEASE_MAX_MS * 1000);
}
END_TEST

/* Guards against a run that is started again while its worker holds the lease
   that an earlier owner was granted (TWICE): the worker becomes silent once it
   has listed the run and earlier owners start nothing any more.  */
START_TEST (test_adopted_run_keeps_earlier_lease)
{
  const struct world_row row = { .job = 1, .run = 1 };
  const int64_t starts_ms = _i == 1 ? -1 : WORLD_START_CONFIRM_MS + 200;
  if (_i == 1)
    world_release_earlier (wld);
  world_add_job (wld, 1, PERPETUAL_JOB, 50);
  int64_t reached_us = wld->clk.now_us;
  list_runs (&row, NULL);
  while (world_starts (wld, 1, 0) == 0)
    {
      struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
      if (hold && wld->clk.now_us <= reached_us + starts_ms * 1000)
        world_answer_hold (wld, "w1", &row, 1, NULL, 0);
      else if (hold)
        world_answer (wld, hold, COMMAND_NO_ANSWER);
      if (world_call (wld, WORLD_HOLD, "w2"))
        world_answer_hold (wld, "w2", NULL, 0, NULL, 0);
      world_confirm_ownership (wld);
      world_tick (wld, 100);
      ck_assert_int_lt (wld->clk.now_us,
                        reached_us + 2 * WORLD_LEASE_MAX_MS * 1000);
    }
  ck_assert_int_gt (wld->clk.now_us, reached_us + WORLD_LEASE_MAX_MS * 1000);
  /* An earlier owner extends no lease there after that answer.  */
  ck_assert_int_lt (wld->clk.now_us,
                    reached_us + WORLD_LEASE_MAX_MS * 1000 + 1000000);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placer_takeover");
  TCase *tc = tcase_create ("placer_takeover");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, test_listed_run_with_lower_number, 0, 3);
  tcase_add_test (tc, test_unwanted_run_delays_start);
  tcase_add_test (tc, test_unlogged_progress_of_earlier_ownership);
  tcase_add_test (tc, test_failed_runs_with_one_number);
  tcase_add_test (tc, test_run_number_recorded);
  tcase_add_test (tc, test_lease_without_confirmation);
  tcase_add_test (tc, test_absent_host);
  tcase_add_test (tc, test_silent_worker_without_host);
  tcase_add_loop_test (tc, test_list_older_than_worker, 0, 3);
  tcase_add_test (tc, test_no_start_from_inconsistent_log);
  tcase_add_loop_test (tc, test_no_command_after_confirmation, 0, 4);
  tcase_add_test (tc, test_late_begin_confirms_nothing);
  tcase_add_test (tc, test_departed_worker_leaves_record);
  tcase_add_loop_test (tc, test_earlier_owner_may_still_start, 0, 3);
  tcase_add_loop_test (tc, test_no_start_from_old_confirmation, 0, 3);
  tcase_add_test (tc, test_known_run_lost_before_takeover);
  tcase_add_loop_test (tc, test_unsent_commands, 0, 5);
  tcase_add_loop_test (tc, test_no_move_beside_earlier_stop, 0, 2);
  tcase_add_loop_test (tc, test_unreached_worker_holds_longest_lease, 0, 2);
  tcase_add_loop_test (tc, test_adopted_run_keeps_earlier_lease, 0, 2);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
