#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "fleet/host_link.h"
#include "placer_world.h"
#include "sched/placer_priv.h"

/* Tests of where and when a task starts again after a start without an answer,
   which the next instance of its worker may carry out; see
   docs/design/instances.md.  */

#define BATCH_JOB                                                             \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"estimate-ms\":900}]" \
  "}"
#define PERPETUAL_JOB                                                         \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"perpetual\":true}]}"
#define GANG_JOB                                                              \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"gang\":true}]}"
#define BORN_MS 1000
#define STEP_MS 50
/* A task starts within this time once nothing hinders it.  */
#define AGAIN_US 1500000

static struct world *wld;
static int64_t born_ms; /* start of the present instance of w1 */

static void
setup (void)
{
  wld = world_create ();
  born_ms = wld->hold_born_ms = BORN_MS;
  world_add_worker (wld, "w1", BORN_MS);
  world_enrol_worker (wld, "w1");
  world_release_earlier (wld);
}

static void
teardown (void)
{
  world_destroy (wld);
}

/* Lets STEP_MS pass.  w1 answers with STATUS and lists nothing; w2 answers,
   and lists the runs that it was told to start.  */
static void
step (enum command_status status)
{
  static struct world_row row = { .job = 2 };
  static bool runs;
  struct world_call *call;
  world_confirm_ownership (wld);
  world_tick (wld, STEP_MS);
  world_complete_append (wld);
  while ((call = world_call (wld, WORLD_STOP, "w1")))
    world_answer (wld, call, status);
  wld->hold_born_ms = born_ms;
  if (world_call (wld, WORLD_HOLD, "w1") && status == COMMAND_DONE)
    world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
  else if (world_call (wld, WORLD_HOLD, "w1"))
    world_answer (wld, world_call (wld, WORLD_HOLD, "w1"), status);
  wld->hold_born_ms = BORN_MS;
  runs = world_call (wld, WORLD_START, "w2") != NULL;
  if (runs)
    row.run = world_call (wld, WORLD_START, "w2")->run;
  if (world_call (wld, WORLD_HOLD, "w2"))
    world_answer_hold (wld, "w2", &row, runs, NULL, 0);
}

/* Sends the start of run 1 of JOB, with the id 2, to w1, which does not answer
   it.  Returns when it was sent.  w2 is free from then on.  */
static int64_t
leave_start_unanswered (const char *job)
{
  world_add_job (wld, 2, job, 200);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  world_record_runs (wld);
  int64_t sent_us = wld->clk.now_us;
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_NO_ANSWER);
  world_add_worker (wld, "w2", BORN_MS);
  world_enrol_worker (wld, "w2");
  return sent_us;
}

static void
restart (void)
{
  born_ms += 500000;
  world_add_worker (wld, "w1", born_ms);
}

/* Guards against two runs of a task (TWICE): a worker has acknowledged the
   stop of a run whose start had no answer, and its next instance carries the
   start out before it has answered anybody, after the task has run
   elsewhere.  */
START_TEST (test_batch_task_waits)
{
  static const struct
  {
    const char *job;
    int restarts;
  } cases[] = {
    { BATCH_JOB, 0 }, { BATCH_JOB, 1 }, { BATCH_JOB, 2 },
    { GANG_JOB, 0 },  { GANG_JOB, 1 },
  };
  int64_t sent_us = leave_start_unanswered (cases[_i].job);
  int restarts = 0;
  while (world_starts (wld, 2, 0) == 1)
    {
      ck_assert_int_lt (wld->clk.now_us,
                        sent_us + LATE_CALL_MAX_US + AGAIN_US);
      if (restarts < cases[_i].restarts
          && wld->clk.now_us > sent_us + (restarts + 1) * 2000000)
        {
          restart ();
          restarts++;
        }
      step (COMMAND_DONE);
    }
  ck_assert_int_gt (wld->clk.now_us, sent_us + LATE_CALL_MAX_US);
}
END_TEST

/* Guards against a perpetual task without a run (LOST) for as long as its
   start without an answer may be carried out, and against two runs of it
   (TWICE): it starts on the same worker, with whose instance it would end.  */
START_TEST (test_perpetual_task_stays)
{
  int64_t sent_us = leave_start_unanswered (PERPETUAL_JOB);
  if (_i == 1)
    restart ();
  while (!world_call (wld, WORLD_START, "w1"))
    {
      ck_assert_int_lt (wld->clk.now_us, sent_us + AGAIN_US);
      step (COMMAND_DONE);
    }
  ck_assert_uint_eq (world_call (wld, WORLD_START, "w1")->run, 2);
  ck_assert_ptr_null (world_call (wld, WORLD_START, "w2"));
}
END_TEST

/* A call is given up after this time, and a hold after this and its wait.  */
#define CALL_MAX_US 900000
/* A perpetual task starts within this time once its worker answers again: a
   hold in flight is given up after 1.9 s, and the next one follows 0.25 s
   later.  */
#define ANSWERS_AGAIN_US 2500000

/* Guards against a perpetual task whose wait grows with each start that has no
   answer (LOST): it starts soon after the fault, however many there were, and
   none is sent to a worker that has answered no hold since the last one.  */
START_TEST (test_tie_is_renewed)
{
  static const uint32_t renewals[] = { 1, 3, 10 };
  uint32_t lost = 0;
  bool heard = true; /* w1 has answered a hold since its last start */
  int64_t answers_us = 0;
  leave_start_unanswered (PERPETUAL_JOB);
  heard = false;
  while (!answers_us || !world_call (wld, WORLD_START, "w1"))
    {
      struct world_call *call = world_call (wld, WORLD_START, "w1");
      ck_assert_ptr_null (world_call (wld, WORLD_START, "w2"));
      if (call)
        {
          ck_assert (heard);
          heard = false;
          struct world_call *hold = world_call (wld, WORLD_HOLD, "w1");
          /* The last fault takes a hold with its wait.  */
          bool last = ++lost == renewals[_i];
          world_confirm_ownership (wld);
          world_tick (wld, CALL_MAX_US / 1000);
          world_answer (wld, call, COMMAND_NO_ANSWER);
          if (last && hold)
            {
              world_confirm_ownership (wld);
              world_tick (wld, hold->wait_ms);
              world_answer (wld, hold, COMMAND_NO_ANSWER);
            }
          if (last)
            answers_us = wld->clk.now_us;
          continue;
        }
      ck_assert (!answers_us
                 || wld->clk.now_us < answers_us + ANSWERS_AGAIN_US);
      heard = heard || world_call (wld, WORLD_HOLD, "w1");
      step (COMMAND_DONE);
    }
  ck_assert (heard);
  ck_assert_uint_eq (lost, renewals[_i]);
}
END_TEST

/* Guards against a perpetual task without a run (LOST): another task of its
   step takes its place on the one worker that it may start on.  */
START_TEST (test_place_of_late_start_is_kept)
{
  static const char job[]
      = "{\"steps\":[{\"count\":2,\"cpu\":1000,\"mem-mb\":64,"
        "\"perpetual\":true,\"anti-affinity\":1}]}";
  static const char *const ids[] = { "w1", "w2" };
  const struct world_row row = { .job = 2, .index = 0, .run = 1 };
  int late = 0; /* the worker of the start without an answer */
  world_add_worker (wld, "w2", BORN_MS);
  world_enrol_worker (wld, "w2");
  world_add_job (wld, 2, job, 200);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  int64_t sent_us = wld->clk.now_us;
  for (int k = 0; k < 2; k++)
    {
      struct world_call *start = world_call (wld, WORLD_START, ids[k]);
      ck_assert_ptr_nonnull (start);
      late = start->task.index == 1 ? k : late;
      world_answer (wld, start,
                    start->task.index == 1 ? COMMAND_NO_ANSWER : COMMAND_DONE);
    }
  struct worker *wrk = pool_find_id (&wld->plc->pool, ids[late]);
  struct worker *other = pool_find_id (&wld->plc->pool, ids[1 - late]);
  const struct world_row end
      = { .job = 2, .index = 0, .run = 1, .end = RUN_END_FAILED, .number = 1 };
  bool failed = false;
  for (int n = 0; world_starts (wld, 2, 1) == 1; n++)
    {
      struct world_call *call;
      ck_assert_int_lt (wld->clk.now_us, sent_us + AGAIN_US);
      ck_assert_uint_eq (world_starts (wld, 2, 0), 1);
      /* It takes no tasks until the other task has failed, on a worker that
         takes none any more.  */
      if (n < 12)
        wrk->avoid_until_us = wld->clk.now_us + 2 * STEP_MS * 1000;
      other->avoid_until_us = INT64_MAX;
      world_confirm_ownership (wld);
      world_tick (wld, STEP_MS);
      while ((call = world_call (wld, WORLD_STOP, ids[late])))
        world_answer (wld, call, COMMAND_DONE);
      if (world_call (wld, WORLD_HOLD, ids[late]))
        world_answer_hold (wld, ids[late], NULL, 0, NULL, 0);
      if (!world_call (wld, WORLD_HOLD, ids[1 - late]))
        continue;
      world_answer_hold (wld, ids[1 - late], &row, n < 6, &end, n >= 6);
      failed = failed || n >= 6;
    }
  ck_assert (failed);
}
END_TEST

/* Guards against a perpetual task without a run (LOST): the host of the one
   worker that it may start on is vacated.  */
START_TEST (test_host_of_late_start_is_kept)
{
  struct placer_kept kept;
  /* A request in the first second may have been granted by an earlier owner.
   */
  for (int n = 0; n < 25; n++)
    step (COMMAND_DONE);
  int64_t sent_us = leave_start_unanswered (PERPETUAL_JOB);
  for (int n = 0; n < _i; n++)
    step (COMMAND_DONE);
  if (!world_call (wld, WORLD_START, "w1"))
    placer_vacate (wld->plc, "m-w1", INT64_MAX);
  while (!world_call (wld, WORLD_START, "w1"))
    {
      ck_assert_int_lt (wld->clk.now_us, sent_us + AGAIN_US);
      step (COMMAND_DONE);
      ck_assert_ptr_null (world_call (wld, WORLD_START, "w2"));
    }
  ck_assert (_i > 1 || placer_host_kept (wld->plc, "m-w1", &kept));
}
END_TEST

/* Guards against a perpetual task without a run (LOST): an older job's task
   takes the room of the one worker that it may start on, although another is
   free, or is so soon.  */
START_TEST (test_room_of_late_start_is_kept)
{
  static const char job[] = "{\"steps\":[{\"count\":1,\"cpu\":3000,"
                            "\"mem-mb\":64,\"perpetual\":true}]}";
  static const struct
  {
    int64_t silent_us; /* w1 answers nothing for this time */
    bool free;         /* w2 is there from the beginning */
  } cases[] = { { 0, true }, { 0, false }, { 1500000, false } };
  static const struct world_row older_run = { .job = 1, .run = 1 };
  world_add_job (wld, 2, job, 200);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  int64_t sent_us = wld->clk.now_us;
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_NO_ANSWER);
  const struct task *tsk = job_task (job_table_find (&wld->jobs, 2),
                                     &(const struct task_ref){ .job = 2 });
  int64_t answers_us = sent_us + cases[_i].silent_us;
  bool added = false;
  while (world_starts (wld, 2, 0) == 1)
    {
      struct world_call *call;
      bool answers = wld->clk.now_us >= answers_us;
      ck_assert_int_lt (wld->clk.now_us, answers_us + 2 * AGAIN_US);
      if (!pool_find_id (&wld->plc->pool, "w2")
          && (cases[_i].free || world_starts (wld, 1, 0) > 0
              || wld->clk.now_us > answers_us + AGAIN_US))
        {
          world_add_worker (wld, "w2", BORN_MS);
          world_enrol_worker (wld, "w2");
        }
      if (!added && !placer_has_runs (tsk))
        {
          struct job *older = world_add_job (wld, 1, job, 201);
          older->accepted_ms -= 10000;
          older->goal_ms -= 10000;
          added = true;
        }
      world_confirm_ownership (wld);
      world_tick (wld, STEP_MS);
      world_complete_append (wld);
      while ((call = world_call (wld, WORLD_STOP, "w1")))
        world_answer (wld, call, answers ? COMMAND_DONE : COMMAND_NO_ANSWER);
      bool runs = (call = world_call (wld, WORLD_START, "w1"))
                  && call->task.job == 1;
      if (answers && world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", &older_run, runs, NULL, 0);
      else if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer (wld, world_call (wld, WORLD_HOLD, "w1"),
                      COMMAND_NO_ANSWER);
      if (world_call (wld, WORLD_HOLD, "w2"))
        world_answer_hold (wld, "w2", &older_run,
                           world_call (wld, WORLD_START, "w2") != NULL, NULL,
                           0);
    }
  ck_assert (added);
}
END_TEST

/* Guards against a place that stays empty while tasks wait for it (LOST): the
   room of a late start is promised to an older job's task while the run is
   being stopped, and is kept for its own task as well.  */
START_TEST (test_room_is_promised_once)
{
  static const char job[] = "{\"steps\":[{\"count\":1,\"cpu\":3000,"
                            "\"mem-mb\":64,\"perpetual\":true}]}";
  world_add_job (wld, 2, job, 200);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  int64_t sent_us = wld->clk.now_us;
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_NO_ANSWER);
  struct job *older = world_add_job (wld, 1, job, 201);
  older->accepted_ms -= 10000;
  older->goal_ms -= 10000;
  const struct task *tsk
      = job_task (older, &(const struct task_ref){ .job = 1 });
  /* The stop is not acknowledged yet.  */
  for (int n = 0; n < 10 && !tsk->reserved_worker; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, STEP_MS);
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
    }
  ck_assert_uint_ne (tsk->reserved_worker, 0);
  while (!world_call (wld, WORLD_START, "w1"))
    {
      ck_assert_int_lt (wld->clk.now_us, sent_us + AGAIN_US);
      step (COMMAND_DONE);
    }
}
END_TEST

/* Guards against two runs of a task (TWICE): its worker answers no more, so
   that the start may be carried out by the next instance, whose run lasts as
   long as a lease.  */
START_TEST (test_silent_worker)
{
  static const char *const jobs[] = { BATCH_JOB, PERPETUAL_JOB };
  int64_t sent_us = leave_start_unanswered (jobs[_i]);
  while (world_starts (wld, 2, 0) == 1)
    {
      ck_assert_int_lt (wld->clk.now_us, sent_us + WORLD_WAIT_MAX_US);
      step (COMMAND_NO_ANSWER);
    }
  ck_assert_int_gt (wld->clk.now_us,
                    sent_us + LATE_CALL_MAX_US + WORLD_LEASE_MAX_MS * 1000);
}
END_TEST

/* Guards against a task that waits for a worker which does not return (LOST):
   lists of hosts show that nothing can be carried out there any more.  */
START_TEST (test_lists_end_late_start)
{
  static const struct
  {
    const char *job, *next, *pool;
    enum host_state state;
    int64_t least_us, most_us; /* from the start to the next one */
  } cases[] = {
    /* The host is down: its worker may start again until the start is over. */
    { BATCH_JOB, "w1", "p", HOST_DOWN, 12000000, 12000000 + 4500000 },
    { BATCH_JOB, "", "p", HOST_DOWN, 12000000, 12000000 + 4500000 },
    /* Another worker has the host.  */
    { BATCH_JOB, "w7", "p", HOST_UP, 0, 6000000 },
    /* The host is off, as it has moved to the spare pool.  */
    { BATCH_JOB, "", "spare", HOST_UP, 0, 6000000 },
    /* A perpetual task does not wait for a host that is down.  */
    { PERPETUAL_JOB, "w1", "p", HOST_DOWN, 0, 6000000 },
    { PERPETUAL_JOB, "", "p", HOST_DOWN, 0, 6000000 },
  };
  struct host_report rep = { .name = "m-w1", .state = cases[_i].state };
  name_copy (rep.worker, cases[_i].next);
  name_copy (rep.pool, cases[_i].pool);
  int64_t sent_us = leave_start_unanswered (cases[_i].job);
  for (int n = 0; world_starts (wld, 2, 0) == 1; n++)
    {
      ck_assert_int_lt (wld->clk.now_us, sent_us + cases[_i].most_us);
      step (COMMAND_NO_ANSWER);
      if (n % 20 == 19)
        {
          ck_assert (placer_needs_host_list (wld->plc));
          placer_update_host (wld->plc, &rep, wld->clk.now_us - 100000);
        }
    }
  ck_assert_int_gt (wld->clk.now_us, sent_us + cases[_i].least_us);
}
END_TEST

/* Guards against a count of waiting jobs that is too low (MIXED): none of the
   job's tasks is known to have begun.  */
START_TEST (test_job_without_answered_start_waits)
{
  leave_start_unanswered (BATCH_JOB);
  for (int n = 0; n < 60; n++)
    step (COMMAND_DONE);
  struct job *job = job_table_find (&wld->jobs, 2);
  ck_assert_uint_eq (world_starts (wld, 2, 0), 1);
  ck_assert (!job->started && !job->dirty);
}
END_TEST

/* How a hold that acknowledges an end is answered.  */
enum acks_answer
{
  ACKS_ANSWERED,
  ACKS_UNANSWERED, /* given up without an answer */
  ACKS_IN_FLIGHT,
};

/* Guards against two runs of a task (TWICE): a hold acknowledges ends to the
   next instance, which forgets the end of a run that was started since, before
   anybody has read it.  */
START_TEST (test_start_outdates_late_acknowledgement)
{
  static const struct world_row run = { .job = 2, .run = 1 };
  static const struct world_row end
      = { .job = 2, .run = 1, .end = RUN_END_DONE, .number = 1 };
  const enum acks_answer answer = _i;
  world_add_job (wld, 2, BATCH_JOB, 200);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  world_answer (wld, world_call (wld, WORLD_START, "w1"), COMMAND_DONE);
  world_tick (wld, STEP_MS);
  world_answer_hold (wld, "w1", &run, 1, NULL, 0);
  world_tick (wld, STEP_MS);
  world_answer_hold (wld, "w1", NULL, 0, &end, 1);
  struct world_call *hold = NULL;
  for (int n = 0; n < 100 && !(hold && hold->last_seen == 1); n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 10);
      world_complete_append (wld);
      hold = world_call (wld, WORLD_HOLD, "w1");
    }
  ck_assert_ptr_nonnull (hold);
  ck_assert_uint_eq (hold->last_seen, 1);
  ck_assert_int_eq (hold->wait_ms, 0);
  uint64_t token = hold->token;
  int64_t sent_us = wld->clk.now_us;
  world_add_job (wld, 3, BATCH_JOB, 300);
  world_tick (wld, 10);
  ck_assert_ptr_null (world_call (wld, WORLD_START, "w1"));
  if (answer != ACKS_IN_FLIGHT)
    world_answer (wld, hold,
                  answer == ACKS_ANSWERED ? COMMAND_DONE : COMMAND_NO_ANSWER);
  struct world_call *start = NULL;
  for (int n = 0; n < 100 && !start; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, 10);
      if (answer != ACKS_IN_FLIGHT && world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", NULL, 0, NULL, 0);
      start = world_call (wld, WORLD_START, "w1");
    }
  ck_assert_ptr_nonnull (start);
  ck_assert (answer != ACKS_ANSWERED ? start->token > token
                                     : start->token == token);
  /* Starts go on while the answer is late.  */
  ck_assert (answer != ACKS_IN_FLIGHT
             || wld->clk.now_us <= sent_us + 2 * ACKS_ANSWER_MAX_US);
}
END_TEST

/* A later owner takes the pool over, with the worker record as it is in the
   log.  Nothing was sent to w1 since.  */
static void
take_over (void)
{
  world_take_over (wld, 300, 400);
  wld->hold_born_ms = BORN_MS;
  placer_add_earlier_record (wld->plc, wld->record, wld->record_len,
                             wld->clk.now_us);
  world_release_earlier (wld);
  world_add_worker (wld, "w1", BORN_MS);
  world_add_worker (wld, "w2", BORN_MS);
}

/* Guards against two runs of a task (TWICE): an owner ends while a start has
   no answer, and the next instance of the worker carries it out after the task
   was started by the owner's successor.  */
START_TEST (test_successor_waits)
{
  static const struct
  {
    const char *job;
    bool given_up; /* the start is, before the owner ends */
  } cases[] = {
    { BATCH_JOB, false },
    { BATCH_JOB, true },
    { PERPETUAL_JOB, false },
    { PERPETUAL_JOB, true },
  };
  bool batch = _i < 2;
  world_add_job (wld, 2, cases[_i].job, 200);
  world_confirm_ownership (wld);
  world_tick (wld, 1);
  int64_t sent_us = wld->clk.now_us;
  struct world_call *start = world_call (wld, WORLD_START, "w1");
  ck_assert_ptr_nonnull (start);
  if (cases[_i].given_up)
    world_answer (wld, start, COMMAND_NO_ANSWER);
  for (int n = 0; n < 6; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, STEP_MS);
    }
  take_over ();
  size_t starts = world_starts (wld, 2, 0);
  while (world_starts (wld, 2, 0) == starts)
    {
      ck_assert_int_lt (wld->clk.now_us, sent_us
                                             + (batch ? LATE_CALL_MAX_US : 0)
                                             + 2 * AGAIN_US);
      step (COMMAND_DONE);
      ck_assert (!world_call (wld, WORLD_START, "w2")
                 || wld->clk.now_us > sent_us + LATE_CALL_MAX_US);
    }
  ck_assert (!batch || wld->clk.now_us > sent_us + LATE_CALL_MAX_US);
}
END_TEST

/* Guards against a run that is stopped at a change of owner (AVAIL): its start
   was carried out, and the record tells that it had no answer.  */
START_TEST (test_successor_adopts_late_start)
{
  static const struct world_row row = { .job = 2, .run = 1 };
  leave_start_unanswered (PERPETUAL_JOB);
  for (int n = 0; n < 6; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, STEP_MS);
    }
  take_over ();
  size_t starts = world_starts (wld, 2, 0);
  for (int n = 0; n < 100; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, STEP_MS);
      ck_assert_ptr_null (world_call (wld, WORLD_STOP, "w1"));
      if (world_call (wld, WORLD_HOLD, "w1"))
        world_answer_hold (wld, "w1", &row, 1, NULL, 0);
      if (world_call (wld, WORLD_HOLD, "w2"))
        world_answer_hold (wld, "w2", NULL, 0, NULL, 0);
    }
  ck_assert_uint_eq (world_starts (wld, 2, 0), starts);
}
END_TEST

/* Guards against a task that waits for a worker which is gone (LOST): its
   late start stands in the record of an earlier owner, and the lists of hosts
   do not show the host any more, or show it as down.  */
START_TEST (test_successor_without_worker)
{
  struct host_report rows[]
      = { { .name = "m-w2", .state = HOST_UP, .worker = "w2" },
          { .name = "m-w1", .state = HOST_DOWN, .worker = "w1" } };
  const struct host_list list = { .hosts = rows, .count = _i == 0 ? 1 : 2 };
  leave_start_unanswered (PERPETUAL_JOB);
  for (int n = 0; n < 6; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, STEP_MS);
    }
  world_take_over (wld, 300, 400);
  wld->hold_born_ms = BORN_MS;
  placer_add_earlier_record (wld->plc, wld->record, wld->record_len,
                             wld->clk.now_us);
  world_release_earlier (wld);
  world_add_worker (wld, "w2", BORN_MS);
  int64_t begun_us = wld->clk.now_us;
  while (!world_call (wld, WORLD_START, "w2"))
    {
      ck_assert_int_lt (wld->clk.now_us, begun_us + 7000000);
      step (COMMAND_DONE);
      if ((wld->clk.now_us - begun_us) / 1000 % 1000 < STEP_MS)
        placer_update_hosts (wld->plc, &list, wld->clk.now_us - 100000);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("placer_late_wait");
  TCase *tc = tcase_create ("placer_late_wait");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, test_batch_task_waits, 0, 5);
  tcase_add_loop_test (tc, test_perpetual_task_stays, 0, 2);
  tcase_add_loop_test (tc, test_tie_is_renewed, 0, 3);
  tcase_add_test (tc, test_place_of_late_start_is_kept);
  tcase_add_loop_test (tc, test_host_of_late_start_is_kept, 0, 4);
  tcase_add_loop_test (tc, test_room_of_late_start_is_kept, 0, 3);
  tcase_add_test (tc, test_room_is_promised_once);
  tcase_add_loop_test (tc, test_silent_worker, 0, 2);
  tcase_add_loop_test (tc, test_lists_end_late_start, 0, 6);
  tcase_add_test (tc, test_job_without_answered_start_waits);
  tcase_add_loop_test (tc, test_start_outdates_late_acknowledgement, 0, 3);
  tcase_add_loop_test (tc, test_successor_waits, 0, 4);
  tcase_add_test (tc, test_successor_adopts_late_start);
  tcase_add_loop_test (tc, test_successor_without_worker, 0, 2);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
