#include <check.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "placer_world.h"
#include "sched/placer_record.h"

/* The worker record names each run of a perpetual task before it starts, so
   that a successor awaits for a task only the workers that it may run on.  */

#define STEP_MS 50
/* Earlier owners that have not released the pool start tasks for this time
   after the claim.  */
#define STARTS_END_MS WORLD_START_CONFIRM_MS
/* All leases of earlier owners have expired after this time.  */
#define LEASES_END_MS (WORLD_CONFIRM_MS + WORLD_LEASE_MAX_MS + 1000)
#define TASKS 3
#define ALL_WORKERS 3

/* Job 1: task 0 is recorded on w1, task 1 on w9, which cannot be reached, and
   task 2 nowhere.  */
#define PERPETUAL_JOB                                                         \
  "{\"steps\":[{\"count\":3,\"cpu\":100,\"mem-mb\":64,\"perpetual\":true}]}"
#define BATCH_JOB "{\"steps\":[{\"count\":3,\"cpu\":100,\"mem-mb\":64}]}"

static const char *const ids[ALL_WORKERS] = { "w1", "w2", "w9" };
static const char *const hosts[ALL_WORKERS] = { "m-w1", "m-w2", "m-w9" };

static struct world *wld;
/* What the workers that answer run.  */
static struct world_row rows[ALL_WORKERS][8];
static size_t row_counts[ALL_WORKERS];
static bool batch; /* the job has batch tasks */

static void
setup (void)
{
  wld = world_create ();
  memset (row_counts, 0, sizeof row_counts);
  batch = false;
}

static void
teardown (void)
{
  world_destroy (wld);
}

/* Makes the record of an owner which has used all workers.  */
static void
make_record (bool runs_recorded)
{
  Kingcuphollow__PoolWorkers msg = KINGCUPHOLLOW__POOL_WORKERS__INIT;
  Kingcuphollow__PoolWorkers__Worker workers[ALL_WORKERS];
  Kingcuphollow__PoolWorkers__Worker *refs[ALL_WORKERS];
  Kingcuphollow__PoolWorkers__Run runs[ALL_WORKERS];
  Kingcuphollow__PoolWorkers__Run *run_refs[ALL_WORKERS];
  for (size_t n = 0; n < ALL_WORKERS; n++)
    {
      kingcuphollow__pool_workers__worker__init (&workers[n]);
      kingcuphollow__pool_workers__run__init (&runs[n]);
      refs[n] = &workers[n];
      run_refs[n] = &runs[n];
      workers[n].id = (char *)ids[n];
      workers[n].host = (char *)hosts[n];
      workers[n].born_ms = 1000;
      runs[n].job = 1;
      runs[n].run = 4;
      runs[n].index = n == 2;
      workers[n].runs = &run_refs[n];
      workers[n].n_runs = runs_recorded && n != 1;
    }
  msg.workers = refs;
  msg.n_workers = ALL_WORKERS;
  msg.runs_recorded = runs_recorded;
  wld->record_len = kingcuphollow__pool_workers__get_packed_size (&msg);
  wld->record = talloc_size (wld->ctx, wld->record_len);
  kingcuphollow__pool_workers__pack (&msg, wld->record);
}

/* The record as an owner of an earlier version would write it.  */
static void
strip_record (void)
{
  Kingcuphollow__PoolWorkers *msg = kingcuphollow__pool_workers__unpack (
      NULL, wld->record_len, wld->record);
  size_t counts[2 * ALL_WORKERS];
  msg->runs_recorded = false;
  for (size_t n = 0; n < msg->n_workers; n++)
    {
      ck_assert_uint_lt (n, 2 * ALL_WORKERS);
      counts[n] = msg->workers[n]->n_runs;
      msg->workers[n]->n_runs = 0;
    }
  wld->record_len = kingcuphollow__pool_workers__get_packed_size (msg);
  kingcuphollow__pool_workers__pack (msg, wld->record);
  for (size_t n = 0; n < msg->n_workers; n++)
    msg->workers[n]->n_runs = counts[n];
  kingcuphollow__pool_workers__free_unpacked (msg, NULL);
}

/* Whether the last record tells that it names all runs.  */
static bool
runs_recorded (void)
{
  Kingcuphollow__PoolWorkers *msg = kingcuphollow__pool_workers__unpack (
      NULL, wld->record_len, wld->record);
  bool recorded = msg->runs_recorded;
  kingcuphollow__pool_workers__free_unpacked (msg, NULL);
  return recorded;
}

/* Whether the last record names WORKER for a run of the task INDEX of job 1;
   for run NUMBER, if that is not 0.  */
static bool
is_recorded (const char *worker, uint32_t index, uint32_t number)
{
  bool found = false;
  Kingcuphollow__PoolWorkers *msg = kingcuphollow__pool_workers__unpack (
      NULL, wld->record_len, wld->record);
  for (size_t n = 0; n < msg->n_workers; n++)
    for (size_t m = 0; m < msg->workers[n]->n_runs; m++)
      {
        const Kingcuphollow__PoolWorkers__Run *run = msg->workers[n]->runs[m];
        found = found
                || (strcmp (msg->workers[n]->id, worker) == 0 && run->job == 1
                    && run->index == index
                    && (!number
                        || (number >= run->run
                            && number - run->run <= run->reserved)));
      }
  kingcuphollow__pool_workers__free_unpacked (msg, NULL);
  return found;
}

static void
begin_owner (void)
{
  if (wld->record)
    placer_add_earlier_record (wld->plc, wld->record, wld->record_len,
                               wld->clk.now_us);
  for (size_t n = 0; n < ALL_WORKERS; n++)
    world_add_worker (wld, ids[n], 1000);
}

/* Plays a step: w1 and w2 carry all starts out, and w9 answers nothing.
   Guards against a start that the last record does not name.  */
static void
step (void)
{
  struct world_call *call;
  world_confirm_ownership (wld);
  world_tick (wld, STEP_MS);
  world_record_runs (wld);
  world_complete_append (wld);
  for (size_t n = 0; n < 2; n++)
    {
      while ((call = world_call (wld, WORLD_START, ids[n])))
        {
          ck_assert (batch || !runs_recorded ()
                     || is_recorded (ids[n], call->task.index, call->run));
          rows[n][row_counts[n]++] = (struct world_row){
            .job = call->task.job, .index = call->task.index, .run = call->run
          };
          world_answer (wld, call, COMMAND_DONE);
        }
      if (world_call (wld, WORLD_HOLD, ids[n]))
        world_answer_hold (wld, ids[n], rows[n], row_counts[n], NULL, 0);
    }
  ck_assert_ptr_null (world_call (wld, WORLD_START, "w9"));
  if ((call = world_call (wld, WORLD_HOLD, "w9")))
    world_answer (wld, call, COMMAND_NO_ANSWER);
}

/* Who owned the pool before.  */
enum earlier
{
  NO_RECORD,
  EARLIER_VERSION, /* of which no record names runs */
  THIS_VERSION,
  /* The same, and then one that has ended within its takeover.  */
  TWO_OWNERS,
  /* The same, and the one in between was of the earlier version.  */
  EARLIER_IN_BETWEEN,
};

static const struct
{
  enum earlier earlier;
  const char *job;
  bool released;
  /* When each task starts, at the earliest and at the latest; milliseconds
     after the claim.  */
  int64_t least_ms[TASKS], most_ms[TASKS];
} cases[] = {
  { THIS_VERSION,
    PERPETUAL_JOB,
    true,
    { 0, WORLD_LEASE_MAX_MS, 0 },
    { 500, LEASES_END_MS, 500 } },
  { THIS_VERSION,
    PERPETUAL_JOB,
    false,
    { STARTS_END_MS, WORLD_LEASE_MAX_MS + STARTS_END_MS, 0 },
    { STARTS_END_MS + 500, LEASES_END_MS, 500 } },
  { TWO_OWNERS,
    PERPETUAL_JOB,
    false,
    { STARTS_END_MS, WORLD_LEASE_MAX_MS + STARTS_END_MS, -1 },
    { STARTS_END_MS + 500, LEASES_END_MS, 0 } },
  { EARLIER_IN_BETWEEN,
    PERPETUAL_JOB,
    false,
    { WORLD_LEASE_MAX_MS, WORLD_LEASE_MAX_MS, -1 },
    { LEASES_END_MS, LEASES_END_MS, 0 } },
  { THIS_VERSION,
    BATCH_JOB,
    true,
    { WORLD_LEASE_MAX_MS, WORLD_LEASE_MAX_MS, WORLD_LEASE_MAX_MS },
    { LEASES_END_MS, LEASES_END_MS, LEASES_END_MS } },
  { EARLIER_VERSION,
    PERPETUAL_JOB,
    true,
    { WORLD_LEASE_MAX_MS, WORLD_LEASE_MAX_MS, WORLD_LEASE_MAX_MS },
    { LEASES_END_MS, LEASES_END_MS, LEASES_END_MS } },
  { NO_RECORD,
    PERPETUAL_JOB,
    true,
    { WORLD_LEASE_MAX_MS, WORLD_LEASE_MAX_MS, WORLD_LEASE_MAX_MS },
    { LEASES_END_MS, LEASES_END_MS, LEASES_END_MS } },
};

/* Guards against a perpetual task without a run (LOST) beside one worker that
   does not answer, and against two runs (TWICE) of one that may run there.  */
START_TEST (test_unreached_worker)
{
  const enum earlier earlier = cases[_i].earlier;
  batch = strcmp (cases[_i].job, BATCH_JOB) == 0;
  if (earlier != NO_RECORD)
    make_record (earlier != EARLIER_VERSION);
  begin_owner ();
  world_add_job (wld, 1, cases[_i].job, WORLD_FENCE_OFFSET - 1);
  if (earlier == TWO_OWNERS || earlier == EARLIER_IN_BETWEEN)
    {
      /* It starts task 2 and ends.  */
      for (int n = 0; n < 10; n++)
        step ();
      ck_assert_uint_eq (world_starts (wld, 1, 2), 1);
      if (earlier == EARLIER_IN_BETWEEN)
        strip_record ();
      world_take_over (wld, 100, WORLD_FENCE_OFFSET + 1);
      begin_owner ();
    }
  if (cases[_i].released)
    world_release_earlier (wld);
  const int64_t claimed_us = wld->clk.now_us;
  size_t before[TASKS];
  int64_t started_ms[TASKS] = { -1, -1, -1 };
  for (uint32_t n = 0; n < TASKS; n++)
    before[n] = world_starts (wld, 1, n);
  while (wld->clk.now_us < claimed_us + (LEASES_END_MS + 500) * 1000)
    {
      step ();
      for (uint32_t n = 0; n < TASKS; n++)
        if (started_ms[n] < 0 && world_starts (wld, 1, n) > before[n])
          started_ms[n] = (wld->clk.now_us - claimed_us) / 1000;
    }
  for (uint32_t n = 0; n < TASKS; n++)
    {
      ck_assert_int_ge (started_ms[n], cases[_i].least_ms[n]);
      ck_assert_int_le (started_ms[n], cases[_i].most_ms[n]);
      ck_assert_uint_le (world_starts (wld, 1, n), before[n] + 1);
    }
}
END_TEST

/* Guards against two runs of a task (TWICE): the worker that may run it has
   started again before, and counts as ended until its next instance is
   asked.  */
START_TEST (test_next_instance_is_awaited)
{
  make_record (true);
  begin_owner ();
  world_release_earlier (wld);
  world_add_job (wld, 1, PERPETUAL_JOB, WORLD_FENCE_OFFSET - 1);
  world_add_worker (wld, "w9", 5000);
  for (int n = 0; n < 20; n++)
    {
      step ();
      ck_assert (is_recorded ("w9", 1, 4));
      ck_assert_uint_eq (world_starts (wld, 1, 1), 0);
    }
  ck_assert_uint_eq (world_starts (wld, 1, 2), 1);
}
END_TEST

/* Guards against a record that claims to name all runs while it does not: of
   an owner that does not know where earlier owners have started tasks.  */
START_TEST (test_record_is_complete)
{
  static const enum earlier earlier[]
      = { NO_RECORD, EARLIER_VERSION, THIS_VERSION };
  const bool known = earlier[_i] == THIS_VERSION;
  if (earlier[_i] != NO_RECORD)
    make_record (known);
  begin_owner ();
  world_add_job (wld, 1, PERPETUAL_JOB, WORLD_FENCE_OFFSET - 1);
  for (int n = 0; n < 20; n++)
    {
      step ();
      ck_assert (runs_recorded () == known);
      ck_assert (!known || is_recorded ("w9", 1, 4));
    }
  for (int n = 0; n < (LEASES_END_MS + 500) / STEP_MS; n++)
    step ();
  ck_assert (placer_takeover_done (wld->plc));
  ck_assert (runs_recorded ());
  for (uint32_t n = 0; n < TASKS; n++)
    ck_assert (is_recorded ("w1", n, 0) || is_recorded ("w2", n, 0));
}
END_TEST

/* The pool's owner knows all that runs.  */
static void
own_pool (void)
{
  world_add_worker (wld, "w1", 1000);
  world_enrol_worker (wld, "w1");
  world_add_worker (wld, "w2", 1000);
  world_enrol_worker (wld, "w2");
  world_release_earlier (wld);
  for (int n = 0; n < 5; n++)
    step ();
  ck_assert (placer_takeover_done (wld->plc));
  ck_assert (runs_recorded ());
}

/* What happens while the record of a run is appended.  */
enum meanwhile
{
  APPENDED,
  FENCED,
  CANCELLED,
  WORKER_SILENT,
};

/* Guards against two runs of a task (TWICE): the start of a run that no record
   in the log names, or that is not allowed any more when the record is
   there.  */
START_TEST (test_start_awaits_record)
{
  own_pool ();
  struct job *job
      = world_add_job (wld, 1,
                       "{\"steps\":[{\"count\":1,\"cpu\":100,\"mem-mb\":64,"
                       "\"perpetual\":true}]}",
                       WORLD_FENCE_OFFSET + 1);
  world_confirm_ownership (wld);
  world_tick (wld, STEP_MS);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
  ck_assert_ptr_nonnull (wld->enrol_fn);
  const char *worker = is_recorded ("w1", 0, 1) ? "w1" : "w2";
  ck_assert (is_recorded (worker, 0, 1));
  /* The append takes its time.  */
  persist_fn *fn = wld->enrol_fn;
  wld->enrol_fn = NULL;
  world_confirm_ownership (wld);
  world_tick (wld, STEP_MS);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
  if (_i == CANCELLED)
    {
      job->state = job->logged_state = JOB_CANCELLED;
      placer_update_job (wld->plc, job, JOB_CHANGE_CANCELLED);
    }
  else if (_i == WORKER_SILENT)
    pool_find_id (&wld->plc->pool, worker)->unanswered_calls = 10;
  fn (wld->enrol_arg, _i == FENCED ? PERSIST_FENCED : PERSIST_DONE);
  /* The record names the other worker as well.  */
  const char *other = strcmp (worker, "w1") == 0 ? "w2" : "w1";
  ck_assert (is_recorded (other, 0, 2));
  world_tick (wld, 1);
  ck_assert_uint_eq (world_starts (wld, 1, 0),
                     _i == APPENDED || _i == WORKER_SILENT);
  ck_assert_ptr_null (_i == APPENDED ? world_call (wld, WORLD_START, other)
                                     : world_call (wld, WORLD_START, worker));
  ck_assert (wld->plc->fenced == (_i == FENCED));
  if (_i == APPENDED)
    {
      ck_assert_ptr_nonnull (world_call (wld, WORLD_START, worker));
      return;
    }
  for (int n = 0; n < 10 && _i != WORKER_SILENT; n++)
    step ();
  for (int n = 0; n < 10 && _i == WORKER_SILENT && !world_starts (wld, 1, 0);
       n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, STEP_MS);
    }
  ck_assert_uint_eq (world_starts (wld, 1, 0), _i == WORKER_SILENT);
  ck_assert_ptr_null (world_call (wld, WORLD_START, worker));
  ck_assert_ptr_null (world_call (wld, WORLD_STOP, worker));
}
END_TEST

/* Guards against a run that the record lacks, as the owner has found it and
   not started it (TWICE with its successor).  */
START_TEST (test_found_run_is_recorded)
{
  own_pool ();
  world_add_job (wld, 1, PERPETUAL_JOB, WORLD_FENCE_OFFSET + 1);
  for (uint32_t n = 0; n < TASKS; n++)
    rows[0][row_counts[0]++]
        = (struct world_row){ .job = 1, .index = n, .run = 7 };
  while (!world_call (wld, WORLD_HOLD, "w1"))
    {
      /* Nothing starts before the list.  */
      wld->plc->confirmed_us = wld->clk.now_us - 4000000;
      world_tick (wld, STEP_MS);
    }
  world_answer_hold (wld, "w1", rows[0], row_counts[0], NULL, 0);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  for (uint32_t n = 0; n < TASKS; n++)
    ck_assert (is_recorded ("w1", n, 7));
}
END_TEST

/* Guards against two runs of a task (TWICE): a start without an answer may
   have been carried out at its end of time by a worker that is cut off, and
   its run lasts as long as a lease.  */
START_TEST (test_run_of_late_start_is_recorded)
{
  own_pool ();
  world_add_worker (wld, "w9", 1000);
  world_enrol_worker (wld, "w9");
  world_add_job (wld, 1,
                 "{\"steps\":[{\"count\":1,\"cpu\":100,\"mem-mb\":64,"
                 "\"perpetual\":true}]}",
                 WORLD_FENCE_OFFSET - 1);
  const struct late_start late
      = { .ref = { .job = 1 },
          .number = 1,
          .worker = "w9",
          .host = "m-w9",
          .sent_us = wld->clk.now_us - LATE_CALL_MAX_US + 300000 };
  placer_add_earlier_start (wld->plc, &late);
  pool_find_id (&wld->plc->pool, "w9")->unanswered_calls = 10;
  for (int n = 0; n < 20; n++)
    step ();
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
  /* Any record written now.  */
  world_add_worker (wld, "w3", 1000);
  step ();
  ck_assert (is_recorded ("w9", 0, 1));
  world_take_over (wld, 100, WORLD_FENCE_OFFSET + 1);
  begin_owner ();
  world_release_earlier (wld);
  const int64_t claimed_us = wld->clk.now_us;
  while (!world_starts (wld, 1, 0))
    {
      step ();
      ck_assert_int_lt (wld->clk.now_us,
                        claimed_us + (LEASES_END_MS + 500) * 1000);
    }
  ck_assert_int_ge (wld->clk.now_us, claimed_us + WORLD_LEASE_MAX_MS * 1000);
}
END_TEST

/* Guards against a record that grows, or is written, for batch tasks.  */
START_TEST (test_batch_tasks_are_not_recorded)
{
  own_pool ();
  size_t len = wld->record_len;
  uint64_t number = wld->plc->last_record;
  world_add_job (wld, 1, BATCH_JOB, WORLD_FENCE_OFFSET + 1);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  for (uint32_t n = 0; n < TASKS; n++)
    ck_assert_uint_eq (world_starts (wld, 1, n), 1);
  ck_assert_uint_eq (wld->record_len, len);
  ck_assert_uint_eq (wld->plc->last_record, number);
}
END_TEST

/* Guards against a second run: an owner in its takeover has been asked to
   vacate a worker that has not told yet what it runs, and leaves the earlier
   owner's run there out of its record (TWICE).  */
START_TEST (test_vacated_worker_is_recorded)
{
  make_record (true);
  begin_owner ();
  world_add_job (wld, 1, PERPETUAL_JOB, WORLD_FENCE_OFFSET - 1);
  const int64_t claimed_us = wld->clk.now_us;
  placer_vacate (wld->plc, "m-w1", wld->clk.now_us + 5000000);
  for (int n = 0; n < 10; n++)
    step ();
  ck_assert (is_recorded ("w1", 0, 4));
  ck_assert_uint_eq (world_starts (wld, 1, 0), 0);
  world_take_over (wld, 100, WORLD_FENCE_OFFSET + 1);
  begin_owner ();
  while (!world_starts (wld, 1, 0))
    step ();
  ck_assert_int_ge (wld->clk.now_us, claimed_us + STARTS_END_MS * 1000);
}
END_TEST

static size_t
count_runs (void)
{
  size_t count = 0;
  Kingcuphollow__PoolWorkers *msg = kingcuphollow__pool_workers__unpack (
      NULL, wld->record_len, wld->record);
  for (size_t n = 0; n < msg->n_workers; n++)
    count += msg->workers[n]->n_runs;
  kingcuphollow__pool_workers__free_unpacked (msg, NULL);
  return count;
}

/* Guards against a record that grows with each owner that ends within its
   takeover, until the store refuses it.  */
START_TEST (test_record_does_not_grow)
{
  make_record (true);
  begin_owner ();
  world_add_job (wld, 1, PERPETUAL_JOB, WORLD_FENCE_OFFSET - 1);
  for (int n = 0; n < 4; n++)
    step ();
  for (int owner = 0; owner < 5; owner++)
    {
      world_take_over (wld, 100 + owner, WORLD_FENCE_OFFSET + 1 + owner);
      placer_add_earlier_record (wld->plc, wld->record, wld->record_len,
                                 wld->clk.now_us);
      for (size_t n = 0; n < 2; n++)
        world_add_worker (wld, ids[n], 1000);
      for (int n = 0; n < 4; n++)
        step ();
    }
  /* One for each task, at most at both workers, once as found and once as
     named by the earlier record.  */
  ck_assert_uint_le (count_runs (), 12);
}
END_TEST

/* Guards against a record above the store's limit of 256 KB, which would end
   all appends of the pool's owner.  */
START_TEST (test_too_many_runs_are_left_out)
{
  static const size_t tasks = 20000;
  Kingcuphollow__PoolWorkers msg = KINGCUPHOLLOW__POOL_WORKERS__INIT;
  Kingcuphollow__PoolWorkers__Worker row;
  Kingcuphollow__PoolWorkers__Worker *worker_rows = &row;
  kingcuphollow__pool_workers__worker__init (&row);
  row.id = (char *)"w9";
  row.host = (char *)"m-w9";
  row.born_ms = 1000;
  row.runs = talloc_array (wld->ctx, Kingcuphollow__PoolWorkers__Run *, tasks);
  for (size_t n = 0; n < tasks; n++)
    {
      row.runs[n] = talloc (wld->ctx, Kingcuphollow__PoolWorkers__Run);
      kingcuphollow__pool_workers__run__init (row.runs[n]);
      row.runs[n]->job = 1;
      row.runs[n]->index = (uint32_t)n;
      row.runs[n]->run = 4;
    }
  row.n_runs = tasks;
  msg.workers = &worker_rows;
  msg.n_workers = 1;
  msg.runs_recorded = true;
  wld->record_len = kingcuphollow__pool_workers__get_packed_size (&msg);
  wld->record = talloc_size (wld->ctx, wld->record_len);
  kingcuphollow__pool_workers__pack (&msg, wld->record);
  begin_owner ();
  for (int n = 0; n < 3; n++)
    step ();
  ck_assert_uint_le (wld->record_len, 256 * 1024);
  ck_assert (!runs_recorded ());
}
END_TEST

/* Guards against a task that no record names and that waits for earlier owners
   once its first start was refused (LOST).  */
START_TEST (test_refused_start_is_repeated)
{
  struct world_call *call;
  bool refused = false;
  make_record (true);
  begin_owner ();
  world_add_job (wld, 1, PERPETUAL_JOB, WORLD_FENCE_OFFSET - 1);
  const int64_t claimed_us = wld->clk.now_us;
  while (world_starts (wld, 1, 2) < 2)
    {
      world_confirm_ownership (wld);
      world_tick (wld, STEP_MS);
      world_record_runs (wld);
      world_complete_append (wld);
      for (size_t n = 0; n < 2; n++)
        {
          while ((call = world_call (wld, WORLD_START, ids[n])))
            {
              bool refuse = !refused && call->task.index == 2;
              world_answer (wld, call,
                            refuse ? COMMAND_NO_ROOM : COMMAND_DONE);
              refused = refused || refuse;
            }
          if (world_call (wld, WORLD_HOLD, ids[n]))
            world_answer_hold (wld, ids[n], NULL, 0, NULL, 0);
        }
      if ((call = world_call (wld, WORLD_HOLD, "w9")))
        world_answer (wld, call, COMMAND_NO_ANSWER);
    }
  ck_assert_int_le (wld->clk.now_us, claimed_us + 1500 * 1000);
}
END_TEST

/* Guards against starts that use up a worker's tokens, as the hold that
   acknowledges an end and the start that waits for its record become due by
   one append (TWICE).  */
START_TEST (test_starts_use_no_tokens)
{
  static const int64_t latencies[] = { 5, 20, 60, 240 };
  const int64_t latency_ms = latencies[_i];
  struct
  {
    persist_fn *fn[2];
    void *arg[2];
    int64_t due_us;
  } batch_of = { .due_us = 0 };
  struct world_row running[4], ended[64];
  int64_t ends_us[4];
  size_t run_count = 0, end_count = 0, ends = 0;
  uint64_t number = 0;
  world_add_worker (wld, "w1", 1000);
  world_enrol_worker (wld, "w1");
  world_release_earlier (wld);
  for (int n = 0; n < 5; n++)
    step ();
  struct worker *wrk = pool_find_id (&wld->plc->pool, "w1");
  world_add_job (wld, 1, PERPETUAL_JOB, WORLD_FENCE_OFFSET + 1);
  uint32_t begun = (uint32_t)wrk->generation;
  while (ends < 300 && wld->clk.now_us < 1000000000 + 120000000)
    {
      struct world_call *call;
      wld->clk.now_us += 5000;
      wld->plc->confirmed_us = wld->clk.now_us;
      if (batch_of.due_us && wld->clk.now_us >= batch_of.due_us)
        {
          for (int n = 0; n < 2; n++)
            if (batch_of.fn[n])
              batch_of.fn[n](batch_of.arg[n], PERSIST_DONE);
          batch_of.due_us = 0;
        }
      placer_tick (wld->plc);
      if (!batch_of.due_us && (wld->enrol_fn || wld->persist_fn))
        {
          batch_of.fn[0] = wld->enrol_fn;
          batch_of.arg[0] = wld->enrol_arg;
          batch_of.fn[1] = wld->persist_fn;
          batch_of.arg[1] = wld->persist_arg;
          wld->enrol_fn = NULL;
          wld->persist_fn = NULL;
          batch_of.due_us = wld->clk.now_us + latency_ms * 1000;
        }
      for (size_t n = run_count; n-- > 0;)
        if (wld->clk.now_us >= ends_us[n])
          {
            ended[end_count] = running[n];
            ended[end_count].end = RUN_END_FAILED;
            ended[end_count++].number = ++number;
            ends++;
            running[n] = running[--run_count];
            ends_us[n] = ends_us[run_count];
          }
      while ((call = world_call (wld, WORLD_START, "w1")))
        {
          running[run_count] = (struct world_row){ .job = 1,
                                                   .index = call->task.index,
                                                   .run = call->run };
          ends_us[run_count++]
              = wld->clk.now_us + 400000 + 130000 * call->task.index;
          world_answer (wld, call, COMMAND_DONE);
        }
      if ((call = world_call (wld, WORLD_HOLD, "w1")))
        {
          size_t kept = 0;
          for (size_t n = 0; n < end_count; n++)
            if (ended[n].number > call->last_seen)
              ended[kept++] = ended[n];
          end_count = kept;
          world_answer_hold (wld, "w1", running, run_count, ended, end_count);
        }
      wrk->failing_until_us = 0;
      wrk->fail_streak = 0;
      size_t open = 0;
      for (size_t n = 0; n < wld->call_count; n++)
        open += !wld->calls[n].answered;
      if (open == 0)
        wld->call_count = 0;
    }
  for (int n = 0; batch_of.due_us && n < 2; n++)
    if (batch_of.fn[n])
      batch_of.fn[n](batch_of.arg[n], PERSIST_DONE);
  ck_assert_uint_le (wrk->generation - begun, 5);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("placer_record");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, test_unreached_worker, 0,
                       sizeof cases / sizeof *cases);
  tcase_add_test (tc, test_next_instance_is_awaited);
  tcase_add_loop_test (tc, test_record_is_complete, 0, 3);
  tcase_add_loop_test (tc, test_start_awaits_record, 0, WORKER_SILENT + 1);
  tcase_add_test (tc, test_found_run_is_recorded);
  tcase_add_test (tc, test_run_of_late_start_is_recorded);
  tcase_add_test (tc, test_batch_tasks_are_not_recorded);
  tcase_add_test (tc, test_vacated_worker_is_recorded);
  tcase_add_test (tc, test_record_does_not_grow);
  tcase_add_test (tc, test_too_many_runs_are_left_out);
  tcase_add_test (tc, test_refused_start_is_repeated);
  tcase_add_loop_test (tc, test_starts_use_no_tokens, 0, 4);
  Suite *suite = suite_create ("placer_record");
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
