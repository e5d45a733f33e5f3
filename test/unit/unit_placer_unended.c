#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "placer_world.h"
#include "sched/placer_priv.h"

/* Tests of runs whose end a worker never tells although it answers calls.  The
   worker w1 follows the platform's rules for leases.  */

#define TASK_JOB                                                              \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"estimate-ms\":900}]" \
  "}"
#define PERPETUAL_JOB                                                         \
  "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,\"perpetual\":true}]}"
#define SMALL_JOB "{\"steps\":[{\"count\":1,\"cpu\":10,\"mem-mb\":1}]}"
#define BORN_MS 1000
#define STEP_MS 50
#define RUNS_MAX 128
#define CALL_TIMEOUT_MS 900
/* A run is over within this time after it began to wait: the first answer to
   a hold that was sent 2.5 s later, the usual lease with its slack, and the
   next hold.  */
#define UNENDED_MAX_MS (2500 + 1300 + 5200 + 300)
/* The run is named within this time.  */
#define NAMED_MAX_MS 3000

/* How w1 behaves.  */
struct ways
{
  bool rows_unreadable; /* one row of each answer to a hold */
  bool no_holds;        /* holds get no answer */
  bool holds_refused;
  enum command_status stops; /* the answer to stops */
  bool stop_ignored;         /* a stop that is answered has no effect */
  bool cut_off;              /* nothing reaches it */
};

static const char *const ids[] = { "w1", "w2" };
static struct world *wld;
static FILE *log_file;
/* The runs on w1 and w2, and until when the leases on w1 last.  */
static struct world_row runs[2][RUNS_MAX];
static size_t run_counts[2];
static int64_t lease_end_ms;
/* A hold is answered at once, as a run has ended.  */
static bool end_listed[2];
/* The instance of w1: its start, and how far its clock is behind the time.  */
static int64_t born_ms, clock_behind_ms;
/* When a call was first seen here.  */
static int64_t call_seen_ms[WORLD_CALLS_MAX];
static size_t stops_seen;

static void
open_log (void)
{
  wld->plc->env.lg
      = logger_create (NULL, &wld->clk.clk, fileno (log_file), LOG_LEVEL_INFO);
}

static void
setup (void)
{
  wld = world_create ();
  wld->hold_born_ms = BORN_MS;
  run_counts[0] = run_counts[1] = 0;
  lease_end_ms = clock_behind_ms = 0;
  born_ms = BORN_MS;
  memset (call_seen_ms, 0, sizeof call_seen_ms);
  stops_seen = 0;
  log_file = tmpfile ();
  ck_assert_ptr_nonnull (log_file);
  open_log ();
}

static void
teardown (void)
{
  logger_destroy (wld->plc->env.lg);
  wld->plc->env.lg = NULL;
  fclose (log_file);
  world_destroy (wld);
}

static int64_t
now_ms (void)
{
  return wld->clk.now_us / 1000;
}

static int64_t
clock_of (int index)
{
  return now_ms () - (index == 0 ? clock_behind_ms : 0);
}

static void
take_lease (const struct world_call *call)
{
  int64_t most_ms = now_ms () + WORLD_LEASE_MAX_MS;
  int64_t end_ms = call->lease_end_ms + clock_behind_ms;
  if (end_ms > most_ms)
    end_ms = most_ms;
  if (call->lease_end_ms > 0 && end_ms > lease_end_ms)
    lease_end_ms = end_ms;
}

/* For how long CALL has waited.  */
static int64_t
age_ms (const struct world_call *call)
{
  int64_t *seen_ms = &call_seen_ms[call - wld->calls];
  if (!*seen_ms)
    *seen_ms = now_ms ();
  return now_ms () - *seen_ms;
}

static void
reply (int index, struct world_call *call, enum command_status status)
{
  const struct command_result res
      = { .status = status,
          .clock_ms = status == COMMAND_DONE ? clock_of (index) : 0 };
  call->answered = true;
  call->fn (call->arg, &res);
}

/* Ends CALL if it has had no answer for as long as calls may take.  */
static void
time_out (struct world_call *call)
{
  if (call && age_ms (call) >= CALL_TIMEOUT_MS + call->wait_ms)
    world_answer (wld, call, COMMAND_NO_ANSWER);
}

/* The index of the run of JOB on worker INDEX, or the number of its runs.  */
static size_t
find_run (int index, uint64_t job)
{
  size_t n = 0;
  while (n < run_counts[index] && runs[index][n].job != job)
    n++;
  return n;
}

static bool
runs_on_first (uint64_t job)
{
  return find_run (0, job) < run_counts[0];
}

static void
add_run (int index, uint64_t job, uint32_t number)
{
  ck_assert_uint_lt (run_counts[index], RUNS_MAX);
  runs[index][run_counts[index]++]
      = (struct world_row){ .job = job, .run = number };
}

static void
answer_hold (int index, const struct ways *ways)
{
  struct world_call *call = world_call (wld, WORLD_HOLD, ids[index]);
  struct running_row rows[RUNS_MAX];
  if (!call || (age_ms (call) < call->wait_ms && !end_listed[index]))
    return;
  end_listed[index] = false;
  if (index == 0 && (ways->no_holds || ways->holds_refused))
    {
      world_answer (wld, call,
                    ways->no_holds ? COMMAND_NO_ANSWER : COMMAND_WORKER_BUSY);
      return;
    }
  if (index == 0)
    take_lease (call);
  bool unreadable = index == 0 && ways->rows_unreadable;
  for (size_t n = 0; n < run_counts[index]; n++)
    rows[n] = (struct running_row){ .task = { .job = runs[index][n].job },
                                    .run = runs[index][n].run,
                                    .percent = 100,
                                    .checkpoint = "" };
  const struct hold_result res = {
    .command = { .status = COMMAND_DONE, .clock_ms = clock_of (index) },
    .born_ms = index == 0 ? born_ms : BORN_MS,
    .running = rows,
    .running_count = unreadable ? 0 : run_counts[index],
    .incomplete = unreadable,
  };
  call->answered = true;
  call->hold_fn (call->arg, &res);
}

static void
answer_stop (int index, struct world_call *call, const struct ways *ways)
{
  enum command_status status = index == 0 ? ways->stops : COMMAND_DONE;
  size_t n = find_run (index, call->task.job);
  bool ends = status == COMMAND_DONE && !(index == 0 && ways->stop_ignored);
  stops_seen += index == 0;
  if (ends && n < run_counts[index])
    {
      runs[index][n] = runs[index][--run_counts[index]];
      end_listed[index] = true;
    }
  reply (index, call, status);
}

/* Plays one step.  All starts are accepted.  */
static void
step (const struct ways *ways)
{
  struct world_call *call;
  world_confirm_ownership (wld);
  world_tick (wld, STEP_MS);
  world_complete_append (wld);
  if (now_ms () > lease_end_ms)
    run_counts[0] = 0;
  if (ways->cut_off)
    {
      time_out (world_call (wld, WORLD_START, "w1"));
      time_out (world_call (wld, WORLD_STOP, "w1"));
      time_out (world_call (wld, WORLD_HOLD, "w1"));
    }
  for (int n = ways->cut_off; n < 2; n++)
    {
      while ((call = world_call (wld, WORLD_START, ids[n])))
        {
          if (n == 0)
            take_lease (call);
          /* Guards against a second run beside the first.  */
          ck_assert (!runs_on_first (call->task.job));
          add_run (n, call->task.job, call->run);
          reply (n, call, COMMAND_DONE);
        }
      /* The next tick repeats it at the earliest.  */
      if ((call = world_call (wld, WORLD_STOP, ids[n])))
        answer_stop (n, call, ways);
      answer_hold (n, ways);
    }
}

static struct run *
first_run (void)
{
  return job_table_find (&wld->jobs, 1)->occurrences[0].tasks[0].run;
}

/* Whether the log names what was waited for by WORD.  */
static bool
is_named (const char *word)
{
  static char text[1 << 20];
  /* The logger writes all that it has before it ends.  */
  logger_destroy (wld->plc->env.lg);
  rewind (log_file);
  size_t len = fread (text, 1, sizeof text - 1, log_file);
  text[len] = '\0';
  fseek (log_file, 0, SEEK_END);
  open_log ();
  return strstr (text, word) != NULL;
}

/* Adds w1, where nothing of earlier owners runs any more.  */
static void
add_first_worker (void)
{
  const struct ways sound = { 0 };
  world_add_worker (wld, "w1", BORN_MS);
  world_enrol_worker (wld, "w1");
  world_release_earlier (wld);
  for (int n = 0; n < 25000 / STEP_MS; n++)
    step (&sound);
}

/* w1 runs job 1, and has listed it if LISTED.  */
static void
begin (bool listed)
{
  const struct ways sound = { 0 };
  add_first_worker ();
  world_add_job (wld, 1, TASK_JOB, 200);
  world_confirm_ownership (wld);
  world_tick (wld, STEP_MS);
  struct world_call *call = world_call (wld, WORLD_START, "w1");
  ck_assert_ptr_nonnull (call);
  take_lease (call);
  add_run (0, 1, 1);
  world_answer (wld, call, COMMAND_DONE);
  for (int n = 0; listed && n < 50 && !first_run ()->listed_us; n++)
    step (&sound);
  ck_assert_ptr_nonnull (first_run ());
  ck_assert (!listed || first_run ()->listed_us > 0);
  /* Job 1 runs again elsewhere.  */
  world_add_worker (wld, "w2", BORN_MS);
}

/* Guards against a task that waits for ever (LOST) for the end of a run on a
   worker that answers calls but never tells that end.  */
START_TEST (test_unended_run)
{
  static const struct
  {
    bool listed, stop;
    struct ways ways;
  } rows[] = {
    { true, false, { .rows_unreadable = true } },
    { false, false, { .rows_unreadable = true } },
    { true, true, { .rows_unreadable = true } },
    { true, true, { .rows_unreadable = true, .stop_ignored = true } },
    { true, true, { .rows_unreadable = true, .stops = COMMAND_REJECTED } },
    { true, true, { .stops = COMMAND_REJECTED } },
    { true, true, { .stops = COMMAND_WORKER_BUSY } },
    { true, true, { .stops = COMMAND_STALE_RUN } },
    { true, true, { .stops = COMMAND_NOT_SENT } },
    { true, true, { .stops = COMMAND_NO_ANSWER } },
    { true, true, { .stop_ignored = true } },
    { true, false, { .no_holds = true } },
    { false, false, { .no_holds = true } },
    { true, false, { .holds_refused = true } },
    { true, true, { .no_holds = true } },
  };
  const struct ways *ways = &rows[_i].ways;
  int64_t waited_ms = 0;
  begin (rows[_i].listed);
  if (rows[_i].stop)
    placer_stop_run (wld->plc, first_run ());
  uint64_t next_id = 10;
  bool named = false;
  while (world_starts (wld, 1, 0) < 2 && waited_ms < UNENDED_MAX_MS)
    {
      /* Tasks come all the time, so that w1 gets starts.  */
      if (waited_ms % 400 == 0 && next_id < 30)
        world_add_job (wld, next_id++, SMALL_JOB, 300);
      step (ways);
      waited_ms += STEP_MS;
      if (waited_ms == NAMED_MAX_MS)
        named = is_named ("run.waits");
    }
  ck_assert_uint_eq (world_starts (wld, 1, 0), 2);
  ck_assert (named || waited_ms <= NAMED_MAX_MS);
  /* A refusal does not make a stop due in each tick.  */
  ck_assert (stops_seen <= (size_t)waited_ms / 250 + 2
             || ways->stops == COMMAND_NO_ANSWER);
}
END_TEST

/* What waits.  */
enum state
{
  STATE_START_CARRIED_OUT, /* a start without an answer */
  STATE_START_LOST,
  STATE_ACTIVE, /* not listed yet */
  STATE_LISTED,
  STATE_STOP_DUE,
  STATE_STOP_SENT,
  STATE_STOP_ACKNOWLEDGED,
  STATE_START_STOPPED, /* the stop of a start without an answer is
                          acknowledged */
  STATE_UNWANTED,
  STATE_COUNT
};

/* What happens to w1.  */
enum event
{
  EVENT_RUN_GONE, /* without an end that is listed */
  EVENT_RESTART,
  EVENT_RESTART_REPORT,
  EVENT_RESTART_TWICE,
  EVENT_CUT,
  EVENT_LEFT,  /* cut off, and its report is removed */
  EVENT_ENDED, /* reported by another source */
  EVENT_COUNT
};

static void
restart (bool reported)
{
  run_counts[0] = 0;
  lease_end_ms = 0;
  born_ms += 500000;
  clock_behind_ms += 300000;
  if (reported)
    world_add_worker (wld, "w1", born_ms);
}

/* Adds job 1, a JOB where its start has no answer, which waits on w1 as STATE
   tells.  */
static void
begin_wait (enum state state, const char *job)
{
  const struct ways sound = { 0 };
  struct world_call *call;
  if (state == STATE_UNWANTED)
    {
      /* w1 runs two tasks of one number, one of which is not wanted.  */
      begin (true);
      struct run *run = first_run ();
      placer_stop_unwanted (wld->plc, run->wrk, run->job, &run->ref, 2);
      placer_remove_run (wld->plc, run);
      return;
    }
  if (state >= STATE_ACTIVE && state != STATE_START_STOPPED)
    {
      begin (state != STATE_ACTIVE);
      if (state < STATE_STOP_DUE)
        return;
      wld->plc->confirmed_us -= state == STATE_STOP_DUE ? 7000000 : 0;
      placer_stop_run (wld->plc, first_run ());
      call = world_call (wld, WORLD_STOP, "w1");
      if (state == STATE_STOP_ACKNOWLEDGED)
        reply (0, call, COMMAND_DONE);
      return;
    }
  add_first_worker ();
  world_add_job (wld, 1, job, 200);
  world_confirm_ownership (wld);
  world_tick (wld, STEP_MS);
  world_record_runs (wld);
  call = world_call (wld, WORLD_START, "w1");
  ck_assert_ptr_nonnull (call);
  if (state == STATE_START_CARRIED_OUT)
    {
      take_lease (call);
      add_run (0, 1, 1);
    }
  world_answer (wld, call, COMMAND_NO_ANSWER);
  world_add_worker (wld, "w2", BORN_MS);
  for (int n = 0; state == STATE_START_STOPPED && n < 40; n++)
    {
      if ((call = world_call (wld, WORLD_STOP, "w1")))
        {
          reply (0, call, COMMAND_DONE);
          return;
        }
      step (&sound);
    }
  ck_assert (state != STATE_START_STOPPED);
}

static void
let_happen (enum event event, struct ways *ways)
{
  ways->cut_off = event >= EVENT_CUT;
  switch (event)
    {
    case EVENT_RUN_GONE:
      run_counts[0] = 0;
      break;
    case EVENT_RESTART:
    case EVENT_RESTART_REPORT:
    case EVENT_RESTART_TWICE:
      restart (event == EVENT_RESTART_REPORT);
      break;
    case EVENT_LEFT:
      placer_update_worker (wld->plc, "w1", NULL);
      break;
    case EVENT_ENDED:
      run_counts[0] = 0;
      placer_worker_ended (wld->plc, "w1");
      break;
    default:
      break;
    }
}

/* Guards against a wait that nobody ends: each row and column of the table in
   docs/design/instances.md, "Who ends what waits".  */
START_TEST (test_wait_ends)
{
  /* A hold that gets no answer, and one after it.  */
  static const int64_t answer_ms = 1000 + 2 * CALL_TIMEOUT_MS + 500;
  static const int64_t usual_ms = 5200, longest_ms = 10300 + 12000;
  /* Until a late start is over, a perpetual task starts on its worker alone,
     and a batch task nowhere.  */
  const bool batch = _i >= STATE_COUNT * EVENT_COUNT;
  const enum state state = _i / EVENT_COUNT % STATE_COUNT;
  const enum event event = _i % EVENT_COUNT;
  struct ways ways = { 0 };
  bool start_open = state <= STATE_START_LOST || state == STATE_START_STOPPED;
  int64_t bound_ms = answer_ms;
  if (event == EVENT_CUT || event == EVENT_LEFT)
    bound_ms += start_open ? longest_ms : usual_ms;
  else if (event == EVENT_RESTART_TWICE)
    bound_ms *= 2;
  if (batch && start_open && event != EVENT_CUT && event != EVENT_LEFT)
    bound_ms += 12000;
  int64_t waited_ms = 0;
  bool named = false;
  begin_wait (state, batch ? TASK_JOB : PERPETUAL_JOB);
  let_happen (event, &ways);
  for (; world_starts (wld, 1, 0) < 2 && waited_ms < bound_ms;
       waited_ms += STEP_MS)
    {
      if (event == EVENT_RESTART_TWICE && waited_ms == 400)
        restart (true);
      step (&ways);
      if (waited_ms == NAMED_MAX_MS)
        named = is_named ("run.waits") || is_named ("run.late_start");
    }
  ck_assert_uint_eq (world_starts (wld, 1, 0), 2);
  ck_assert (named || waited_ms <= NAMED_MAX_MS);
}
END_TEST

/* Guards against a run of a job that is not known, as it was cancelled, and
   that is held for ever by a worker which refuses its stop.  */
START_TEST (test_unended_unknown_run)
{
  static const enum command_status statuses[]
      = { COMMAND_REJECTED, COMMAND_WORKER_BUSY, COMMAND_NO_ANSWER };
  const struct ways ways = { .stops = statuses[_i] };
  const struct ways sound = { 0 };
  int64_t waited_ms = 0;
  add_first_worker ();
  add_run (0, 99, 1);
  /* An idle worker is asked every 10 s at least.  */
  lease_end_ms = now_ms () + 11000;
  const struct worker *wrk = pool_find_id (&wld->plc->pool, "w1");
  for (int n = 0; n < 10000 / STEP_MS && !worker_has_unknown_runs (wrk); n++)
    step (&ways);
  ck_assert (worker_has_unknown_runs (wrk));
  lease_end_ms = now_ms () + WORLD_LEASE_MS;
  for (; runs_on_first (99) && waited_ms < UNENDED_MAX_MS;
       waited_ms += STEP_MS)
    step (&ways);
  ck_assert (!runs_on_first (99));
  ck_assert (is_named ("worker.leases_withheld"));
  for (int n = 0; n < 30; n++)
    step (&sound);
  ck_assert (!wrk->leases_withheld);
}
END_TEST

/* Guards against a second run of a task (TWICE) after a takeover: the run of
   an earlier owner stands in a row that cannot be read, and this owner extends
   its lease until later than the takeover lasts.  */
START_TEST (test_unreadable_run_of_earlier_owner)
{
  const struct ways ways = { .rows_unreadable = true };
  world_add_job (wld, 1, TASK_JOB, 50);
  world_add_worker (wld, "w1", BORN_MS);
  world_add_worker (wld, "w2", BORN_MS);
  world_release_earlier (wld);
  add_run (0, 1, 1);
  lease_end_ms = now_ms () + WORLD_LEASE_MS;
  int64_t limit_ms = placer_lease_span_us (WORLD_LEASE_MAX_MS) / 1000 + 1000;
  for (int64_t left = limit_ms; left > 0 && !world_starts (wld, 1, 0);
       left -= STEP_MS)
    step (&ways);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 1);
}
END_TEST

/* Guards against a pool whose workers get no tasks for good (LOST), as each
   answer to a hold has a row that cannot be read.  */
START_TEST (test_unreadable_rows_for_good)
{
  const struct ways ways = { .rows_unreadable = true };
  world_add_job (wld, 1, TASK_JOB, 50);
  world_add_worker (wld, "w1", BORN_MS);
  world_release_earlier (wld);
  int64_t limit_ms = placer_lease_span_us (WORLD_LEASE_MAX_MS) / 1000 + 3000;
  for (int64_t left = limit_ms; left > 0 && !world_starts (wld, 1, 0);
       left -= STEP_MS)
    step (&ways);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 1);
}
END_TEST

/* Guards against leases that are withheld for a run which waits no longer than
   usual, or because this process was suspended.  */
START_TEST (test_sound_worker_keeps_leases)
{
  static const int64_t pauses_ms[] = { 0, 1500, 5000 };
  const struct ways sound = { 0 };
  begin (true);
  world_tick (wld, pauses_ms[_i]);
  for (int n = 0; n < 100; n++)
    {
      step (&sound);
      ck_assert (!pool_find_id (&wld->plc->pool, "w1")->leases_withheld);
      ck_assert (runs_on_first (1) || _i == 2);
    }
  ck_assert (!is_named ("worker.leases_withheld"));
}
END_TEST

/* Guards against a task that waits for ever (LOST) although a worker has room
   for it, as another one that comes first refuses each start.  */
START_TEST (test_refused_starts)
{
  static const enum command_status statuses[]
      = { COMMAND_STALE_RUN, COMMAND_LEASE_EXPIRED, COMMAND_NO_ROOM,
          COMMAND_NO_TICKET, COMMAND_REJECTED,      COMMAND_WORKER_BUSY,
          COMMAND_NOT_SENT };
  const struct ways sound = { 0 };
  const char *first = NULL;
  add_first_worker ();
  world_add_worker (wld, "w2", BORN_MS);
  for (int n = 0; n < 4; n++)
    step (&sound);
  world_add_job (wld, 1,
                 "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,"
                 "\"perpetual\":true}]}",
                 200);
  for (int n = 0; n < 20; n++)
    {
      world_confirm_ownership (wld);
      world_tick (wld, STEP_MS);
      for (int k = 0; k < 2; k++)
        {
          struct world_call *call = world_call (wld, WORLD_START, ids[k]);
          if (call && first && first != ids[k])
            return;
          first = call ? ids[k] : first;
          if (call)
            world_answer (wld, call, statuses[_i]);
          answer_hold (k, &sound);
        }
    }
  ck_abort_msg ("%s got all starts", first);
}
END_TEST

/* Guards against a perpetual task that waits for ever (LOST) for room on a
   worker which refuses the stops of the batch runs there.  */
START_TEST (test_refused_preemption)
{
  static const enum command_status statuses[]
      = { COMMAND_REJECTED, COMMAND_WORKER_BUSY, COMMAND_NO_ANSWER };
  const struct ways ways = { .stops = statuses[_i] };
  add_first_worker ();
  world_add_worker (wld, "w2", BORN_MS);
  for (uint64_t id = 10; id < 18; id++)
    world_add_job (wld, id, TASK_JOB, 200 + id);
  for (int n = 0; n < 30; n++)
    step (&ways);
  ck_assert_uint_eq (run_counts[0], 4);
  ck_assert_uint_eq (run_counts[1], 4);
  /* The first worker is chosen, as fewer runs have to be stopped there.  */
  placer_stop_run (wld->plc, wld->plc->pool.workers[0]->runs);
  world_add_job (wld, 1,
                 "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,"
                 "\"perpetual\":true}]}",
                 300);
  int64_t waited_ms = 0;
  for (; world_starts (wld, 1, 0) == 0 && waited_ms < 6000;
       waited_ms += STEP_MS)
    step (&ways);
  ck_assert_uint_eq (world_starts (wld, 1, 0), 1);
}
END_TEST

/* Guards against a task that never runs (LOST): two workers refuse it for
   good, and the third one, which takes it, was never tried.  */
START_TEST (test_two_workers_refuse)
{
  static const enum command_status statuses[]
      = { COMMAND_NO_TICKET, COMMAND_REJECTED };
  static const char *const all[] = { "w1", "w2", "w3" };
  wld->hold_born_ms = BORN_MS;
  for (int k = 0; k < 3; k++)
    {
      world_add_worker (wld, all[k], BORN_MS);
      world_enrol_worker (wld, all[k]);
    }
  world_release_earlier (wld);
  world_add_job (wld, 1, TASK_JOB, 200);
  bool started = false;
  const char *taker = all[_i / 2];
  for (int n = 0; n < 40 && !started; n++)
    {
      struct world_call *call;
      world_confirm_ownership (wld);
      world_tick (wld, STEP_MS);
      for (int k = 0; k < 3; k++)
        {
          call = world_call (wld, WORLD_START, all[k]);
          started = started || (call && all[k] == taker);
          if (call)
            world_answer (wld, call,
                          all[k] == taker ? COMMAND_DONE : statuses[_i % 2]);
          if (world_call (wld, WORLD_HOLD, all[k]))
            world_answer_hold (wld, all[k], NULL, 0, NULL, 0);
        }
    }
  ck_assert (started);
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("placer_unended");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, test_unended_run, 0, 15);
  tcase_add_loop_test (tc, test_wait_ends, 0, 2 * STATE_COUNT * EVENT_COUNT);
  tcase_add_loop_test (tc, test_unended_unknown_run, 0, 3);
  tcase_add_test (tc, test_unreadable_run_of_earlier_owner);
  tcase_add_test (tc, test_unreadable_rows_for_good);
  tcase_add_loop_test (tc, test_sound_worker_keeps_leases, 0, 3);
  tcase_add_loop_test (tc, test_refused_starts, 0, 7);
  tcase_add_loop_test (tc, test_refused_preemption, 0, 3);
  tcase_add_loop_test (tc, test_two_workers_refuse, 0, 6);
  Suite *suite = suite_create ("placer_unended");
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
