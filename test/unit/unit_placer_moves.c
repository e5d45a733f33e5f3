#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "placer_world.h"
#include "sched/placer_priv.h"
#include "sched/pool.h"

/* Tests of reservations: of perpetual tasks that move off a worker and of
   those that wait, in pools without free room.  Workers answer in each
   tick.  */

/* Time between ticks.  */
#define STEP_MS 40
/* A stopped run ends after this time.  */
#define STOP_MS 120
#define RUNS_MAX 64
#define HOSTS_UNTIL_US 60000000

/* A run on a worker, as the worker knows it.  */
struct sim_run
{
  char worker[8];
  struct task_ref task;
  uint32_t number;
  int64_t ends_us; /* when it ends; 0: not yet known */
  enum run_end end;
  uint64_t end_number; /* 0: it runs */
};

static struct world *wld;
static struct sim_run runs[RUNS_MAX];
static size_t run_count;
static uint64_t last_end;
/* The worker that answers nothing, or NULL.  */
static const char *silent;
/* Longest number of runs of job 1 that were missing at a time.  */
static uint32_t tasks_missing;

static void
setup (void)
{
  wld = world_create ();
  run_count = 0;
  last_end = 0;
  silent = NULL;
  tasks_missing = 0;
}

static void
teardown (void)
{
  world_destroy (wld);
}

static struct worker *
worker (const char *id)
{
  struct worker *wrk = pool_find_id (&wld->plc->pool, id);
  ck_assert_ptr_nonnull (wrk);
  return wrk;
}

static void
add_worker (const char *id)
{
  world_add_worker (wld, id, 1000);
  world_enrol_worker (wld, id);
}

static void
vacate (const char *id, bool begin)
{
  char host[NAME_BYTES];
  snprintf (host, sizeof host, "m-%s", id);
  placer_vacate (wld->plc, host, begin ? wld->clk.now_us + HOSTS_UNTIL_US : 0);
}

static void
answer_call (struct world_call *call)
{
  struct sim_run *run = NULL;
  if (silent && strcmp (call->worker, silent) == 0)
    return;
  if (call->kind == WORLD_START)
    {
      ck_assert_uint_lt (run_count, RUNS_MAX);
      run = &runs[run_count++];
      *run = (struct sim_run){ .task = call->task, .number = call->run };
      snprintf (run->worker, sizeof run->worker, "%.7s", call->worker);
    }
  for (size_t n = 0; call->kind == WORLD_STOP && n < run_count; n++)
    if (runs[n].task.job == call->task.job
        && runs[n].task.index == call->task.index
        && runs[n].number == call->run && !runs[n].ends_us)
      {
        runs[n].ends_us = wld->clk.now_us + STOP_MS * 1000;
        runs[n].end = RUN_END_STOPPED;
      }
  world_answer (wld, call, COMMAND_DONE);
}

static void
answer_hold (const char *id)
{
  struct world_call *call = world_call (wld, WORLD_HOLD, id);
  struct world_row running[8], ended[8];
  size_t running_count = 0, ended_count = 0;
  if (!call || (silent && strcmp (id, silent) == 0))
    return;
  for (size_t n = 0; n < run_count; n++)
    {
      struct sim_run *run = &runs[n];
      if (strcmp (run->worker, id) != 0)
        continue;
      if (!run->end_number && run->ends_us && wld->clk.now_us >= run->ends_us)
        run->end_number = ++last_end;
      const struct world_row row = { .job = run->task.job,
                                     .index = run->task.index,
                                     .run = run->number,
                                     .end = run->end,
                                     .number = run->end_number };
      if (!run->end_number)
        running[running_count++] = row;
      else if (run->end_number > call->last_seen && ended_count < 8)
        ended[ended_count++] = row;
    }
  world_answer_hold (wld, id, running, running_count, ended, ended_count);
}

/* Guards against resources that stay counted on a worker without a run or a
   reservation, or that are counted less often than they are in use.  */
static void
check_used (void)
{
  for (size_t n = 0; n < wld->plc->pool.count; n++)
    {
      const struct worker *wrk = wld->plc->pool.workers[n];
      struct resources sum = { 0 };
      for (const struct run *run = wrk->runs; run; run = run->next)
        resources_add (&sum, &run->job->spec.steps[run->ref.step], 1);
      for (struct job *job = wld->jobs.by_id; job; job = job->hh.next)
        for (uint32_t k = 0; k < job->spec.steps[0].count; k++)
          if (job->occurrences[0].tasks[k].reserved_worker == wrk->handle)
            resources_add (&sum, &job->spec.steps[0], 1);
      ck_assert_msg (wrk->used.cpu_milli == sum.cpu_milli
                         && wrk->used.memory_mb == sum.memory_mb,
                     "%s: %lld counted, %lld in use", wrk->rep.id,
                     (long long)wrk->used.cpu_milli, (long long)sum.cpu_milli);
    }
}

/* Guards against runs that are stopped for a move without a place that takes
   the task and has room for it.  */
static void
check_stops (void)
{
  for (size_t n = 0; n < wld->plc->pool.count; n++)
    for (const struct run *run = wld->plc->pool.workers[n]->runs; run;
         run = run->next)
      if (run->ref.job == 1 && run->stop_wanted && !run->stopped_us)
        {
          const struct step *stp = &run->job->spec.steps[0];
          struct worker *to
              = pool_find (&wld->plc->pool, run->tsk->reserved_worker);
          ck_assert_msg (to && worker_schedulable (to, wld->clk.now_us),
                         "run stopped without a place");
          resources_add (&to->used, stp, -1);
          ck_assert_msg (place_fits (to, stp), "run stopped without room");
          resources_add (&to->used, stp, 1);
        }
}

static void
step (void)
{
  uint32_t missing = 0;
  world_confirm_ownership (wld);
  world_tick (wld, STEP_MS);
  check_stops ();
  check_used ();
  for (size_t n = 0; n < wld->call_count; n++)
    if (!wld->calls[n].answered && wld->calls[n].kind != WORLD_HOLD)
      answer_call (&wld->calls[n]);
  for (size_t n = 0; n < wld->plc->pool.count; n++)
    answer_hold (wld->plc->pool.workers[n]->rep.id);
  world_complete_append (wld);
  struct job *job = job_table_find (&wld->jobs, 1);
  for (uint32_t k = 0; job && k < job->spec.steps[0].count; k++)
    missing += !job->occurrences[0].tasks[k].run;
  if (missing > tasks_missing)
    tasks_missing = missing;
}

static void
steps (int ms)
{
  for (int n = 0; n < ms; n += STEP_MS)
    step ();
}

/* Lets the run of a task end.  */
static void
end_run (uint64_t job, uint32_t index, enum run_end end)
{
  for (size_t n = 0; n < run_count; n++)
    if (runs[n].task.job == job && runs[n].task.index == index
        && !runs[n].ends_us)
      {
        runs[n].ends_us = wld->clk.now_us;
        runs[n].end = end;
      }
}

/* Whether the last run of the task has ended.  */
static bool
has_ended (uint64_t job, uint32_t index)
{
  bool ended = true;
  for (size_t n = 0; n < run_count; n++)
    if (runs[n].task.job == job && runs[n].task.index == index)
      ended = runs[n].ends_us > 0;
  return ended;
}

/* Whether task INDEX of JOB has a run on worker ID that is not being
   stopped.  */
static bool
runs_on (struct job *job, uint32_t index, const char *id)
{
  const struct run *run = job->occurrences[0].tasks[index].run;
  return run && !run->stop_wanted && strcmp (run->wrk->rep.id, id) == 0;
}

#define SERVING(count)                                                        \
  "{\"steps\":[{\"count\":" count ",\"cpu\":2000,\"mem-mb\":64,"              \
  "\"perpetual\":true,\"anti-affinity\":1,\"may-miss\":1}]}"
#define BACKLOG                                                               \
  "{\"steps\":[{\"count\":8,\"cpu\":2000,\"mem-mb\":64,\"estimate-ms\":"      \
  "60000}]}"

/* Guards against a move that waits for ever on the room which was made for it:
   the reserved room counted as used by another task.  */
START_TEST (test_move_takes_preempted_room)
{
  add_worker ("w1");
  struct job *job = world_add_job (wld, 1, SERVING ("1"), 200);
  steps (200);
  add_worker ("w2");
  world_add_job (wld, 2, BACKLOG, 201);
  steps (400);
  ck_assert (runs_on (job, 0, "w1"));
  vacate ("w1", true);
  steps (1000);
  ck_assert (runs_on (job, 0, "w2"));
}
END_TEST

/* Guards against room that is counted twice for one task, and so lost: the
   destination gets more room while a move waits there for its reserved
   room.  */
START_TEST (test_move_reserves_once)
{
  add_worker ("w1");
  struct job *job = world_add_job (wld, 1, SERVING ("1"), 200);
  steps (200);
  add_worker ("w2");
  world_add_job (wld, 2, BACKLOG, 201);
  steps (400);
  vacate ("w1", true);
  step ();
  add_worker ("w3");
  steps (1000);
  ck_assert (!runs_on (job, 0, "w1"));
  ck_assert (job->occurrences[0].tasks[0].run != NULL);
}
END_TEST

/* Guards against room that stays reserved for a task which is not moved any
   more.  */
START_TEST (test_move_withdrawn)
{
  add_worker ("w1");
  struct job *job = world_add_job (wld, 1, SERVING ("1"), 200);
  steps (200);
  add_worker ("w2");
  world_add_job (wld, 2, BACKLOG, 201);
  steps (400);
  vacate ("w1", true);
  step ();
  ck_assert_uint_ne (job->occurrences[0].tasks[0].reserved_worker, 0);
  vacate ("w1", false);
  steps (1000);
  ck_assert (runs_on (job, 0, "w1"));
  ck_assert_uint_eq (job->occurrences[0].tasks[0].reserved_worker, 0);
}
END_TEST

enum loss
{
  LOSS_VACATED,
  LOSS_DRAINING,
  LOSS_FAILING,
  LOSS_GONE,
  LOSS_CUT_OFF,
  LOSS_COUNT,
};

static void
lose (const char *id, enum loss loss)
{
  struct worker *wrk = worker (id);
  struct worker_report rep = wrk->rep;
  switch (loss)
    {
    case LOSS_VACATED:
      vacate (id, true);
      break;
    case LOSS_DRAINING:
      rep.draining = true;
      placer_update_worker (wld->plc, id, &rep);
      break;
    case LOSS_FAILING:
      wrk->failing_until_us = wld->clk.now_us + 3000000;
      break;
    case LOSS_GONE:
      placer_worker_ended (wld->plc, id);
      silent = id;
      break;
    case LOSS_CUT_OFF:
      silent = id;
      wrk->unanswered_calls = 2;
      break;
    default:
      break;
    }
}

/* Guards against a run that is stopped for a move to a place which is gone by
   then, and against a move that is given up with it: the destination is
   vacated, drains, fails, ends or is cut off while the task waits for its
   room.  */
START_TEST (test_destination_lost_before_stop)
{
  add_worker ("w1");
  struct job *job = world_add_job (wld, 1, SERVING ("1"), 200);
  steps (200);
  add_worker ("w2");
  add_worker ("w3");
  world_add_job (wld, 2, BACKLOG, 201);
  steps (400);
  vacate ("w1", true);
  step ();
  const struct worker *to = pool_find (
      &wld->plc->pool, job->occurrences[0].tasks[0].reserved_worker);
  ck_assert_ptr_nonnull (to);
  char id[NAME_BYTES];
  name_copy (id, to->rep.id);
  lose (id, (enum loss)_i);
  steps (1500);
  ck_assert (runs_on (job, 0, strcmp (id, "w2") == 0 ? "w3" : "w2"));
}
END_TEST

/* Guards against a run that is stopped although its worker is the only place
   that is left: the destination is lost, and there is no other one.  */
START_TEST (test_destination_lost_no_other)
{
  add_worker ("w1");
  struct job *job = world_add_job (wld, 1, SERVING ("1"), 200);
  steps (200);
  add_worker ("w2");
  world_add_job (wld, 2, BACKLOG, 201);
  steps (400);
  vacate ("w1", true);
  step ();
  lose ("w2", (enum loss)_i);
  /* Where most workers fail, they take tasks again after 1 s.  */
  steps (_i == LOSS_FAILING ? 800 : 2000);
  ck_assert (runs_on (job, 0, "w1"));
  ck_assert_uint_eq (job->occurrences[0].tasks[0].reserved_worker, 0);
}
END_TEST

/* Guards against a perpetual task without a run beside hosts that could take
   it: its run was stopped for a move, and its next place is vacated before it
   has started there.  */
START_TEST (test_destination_vacated_after_stop)
{
  add_worker ("w1");
  add_worker ("w2");
  struct job *job = world_add_job (wld, 1, SERVING ("2"), 200);
  steps (200);
  add_worker ("w3");
  steps (400);
  const char *from = runs_on (job, 0, "w1") ? "w1" : "w2";
  vacate (from, true);
  step ();
  ck_assert (job->occurrences[0].tasks[0].run->stop_wanted);
  vacate ("w3", true);
  steps (1200);
  ck_assert (job->occurrences[0].tasks[0].run != NULL);
  ck_assert (job->occurrences[0].tasks[1].run != NULL);
}
END_TEST

/* Guards against two tasks that each keep the place of the other one: the
   first host to be emptied changes while a move waits for its room.  */
START_TEST (test_places_of_each_other)
{
  add_worker ("w1");
  add_worker ("w2");
  struct job *job = world_add_job (wld, 1, SERVING ("2"), 200);
  world_add_job (wld, 3,
                 "{\"steps\":[{\"count\":1,\"cpu\":2000,\"mem-mb\":64,"
                 "\"perpetual\":true}]}",
                 201);
  steps (400);
  world_add_job (wld, 2, BACKLOG, 202);
  steps (400);
  struct job *other = job_table_find (&wld->jobs, 3);
  const char *first = runs_on (other, 0, "w1") ? "w1" : "w2";
  const char *second = *first == 'w' && first[1] == '1' ? "w2" : "w1";
  vacate (first, true);
  step ();
  vacate (first, false);
  vacate (second, true);
  steps (1500);
  ck_assert (job->occurrences[0].tasks[0].run != NULL);
  ck_assert (job->occurrences[0].tasks[1].run != NULL);
  ck_assert (other->occurrences[0].tasks[0].run != NULL);
  for (uint32_t k = 0; k < 2; k++)
    ck_assert_uint_eq (job->occurrences[0].tasks[k].reserved_worker, 0);
  ck_assert_uint_eq (other->occurrences[0].tasks[0].reserved_worker, 0);
}
END_TEST

/* Guards against more tasks of a step that are missing at a time than the job
   allows, when several hosts are emptied into a full pool.  */
START_TEST (test_moves_within_bound)
{
  add_worker ("w1");
  add_worker ("w2");
  struct job *job = world_add_job (wld, 1, SERVING ("2"), 200);
  steps (200);
  add_worker ("w3");
  add_worker ("w4");
  world_add_job (wld, 2, BACKLOG, 201);
  steps (400);
  tasks_missing = 0;
  vacate ("w1", true);
  vacate ("w2", true);
  steps (3000);
  ck_assert_uint_le (tasks_missing, 1);
  for (uint32_t k = 0; k < 2; k++)
    ck_assert (runs_on (job, k, "w3") || runs_on (job, k, "w4"));
}
END_TEST

/* Guards against batch runs that are stopped for nothing: those that are being
   stopped for one perpetual task did not count as room for the next one.  */
START_TEST (test_preempts_no_more_than_needed)
{
  uint32_t stops = 0;
  add_worker ("w1");
  world_add_job (wld, 2,
                 "{\"steps\":[{\"count\":8,\"cpu\":500,\"mem-mb\":64,"
                 "\"estimate-ms\":60000}]}",
                 200);
  steps (400);
  struct job *job
      = world_add_job (wld, 1,
                       "{\"steps\":[{\"count\":2,\"cpu\":1000,\"mem-mb\":64,"
                       "\"perpetual\":true}]}",
                       201);
  steps (1000);
  for (size_t n = 0; n < wld->call_count; n++)
    stops += wld->calls[n].kind == WORLD_STOP;
  ck_assert_uint_eq (stops, 4);
  for (uint32_t k = 0; k < 2; k++)
    ck_assert (runs_on (job, k, "w1"));
}
END_TEST

/* Guards against a perpetual task that waits for its turn behind thousands of
   jobs: jobs that only fill idle processors rank last.  */
START_TEST (test_perpetual_behind_many_jobs)
{
  add_worker ("w1");
  struct job *job
      = world_add_job (wld, 1,
                       "{\"steps\":[{\"count\":1,\"cpu\":100,\"mem-mb\":64,"
                       "\"perpetual\":true,\"fills\":true}]}",
                       200);
  steps (400);
  ck_assert (runs_on (job, 0, "w1"));
  for (uint32_t n = 0; n < 5000; n++)
    world_add_job (wld, 2 + n,
                   "{\"steps\":[{\"count\":1,\"cpu\":9000,\"mem-mb\":64,"
                   "\"estimate-ms\":60000}]}",
                   201 + n);
  steps (1000);
  for (int end = 0; end < 8; end++)
    {
      int64_t begin_us = wld->clk.now_us;
      end_run (1, 0, RUN_END_DONE);
      steps (120);
      while (!runs_on (job, 0, "w1"))
        {
          step ();
          ck_assert_int_lt (wld->clk.now_us - begin_us, 500000);
        }
    }
}
END_TEST

/* Guards against a perpetual task without a run for up to 24 s: its own failed
   runs let the only worker that it is allowed on be avoided, while others,
   which it cannot use, take tasks.  */
START_TEST (test_only_allowed_worker_fails)
{
  static const char *const others[] = { "w2", "w3", "w4" };
  add_worker ("w1");
  struct worker_report rep = worker ("w1")->rep;
  rep.label_count = 1;
  name_copy (rep.labels[0], "fast");
  placer_update_worker (wld->plc, "w1", &rep);
  for (size_t n = 0; n < 3; n++)
    add_worker (others[n]);
  struct job *job
      = world_add_job (wld, 1,
                       "{\"steps\":[{\"count\":1,\"cpu\":1000,\"mem-mb\":64,"
                       "\"perpetual\":true,\"requirements\":\"fast\"}]}",
                       200);
  steps (400);
  for (int end = 0; end < 8; end++)
    {
      int64_t begin_us = wld->clk.now_us;
      ck_assert (runs_on (job, 0, "w1"));
      end_run (1, 0, RUN_END_FAILED);
      do
        {
          step ();
          ck_assert_msg (wld->clk.now_us - begin_us < 1500000,
                         "failed run %d: no other one after 1.5 s", end + 1);
        }
      while (!runs_on (job, 0, "w1") || has_ended (1, 0));
    }
}
END_TEST

/* Guards against a host that is asked for as idle although it is the next
   place of a task that moves.  */
START_TEST (test_reserved_host_not_idle)
{
  struct placer_demand dem;
  add_worker ("w1");
  struct job *job = world_add_job (wld, 1, SERVING ("1"), 200);
  steps (200);
  add_worker ("w2");
  add_worker ("w3");
  add_worker ("w4");
  steps (400);
  vacate ("w1", true);
  step ();
  const struct worker *to = pool_find (
      &wld->plc->pool, job->occurrences[0].tasks[0].reserved_worker);
  ck_assert_ptr_nonnull (to);
  placer_demand (wld->plc, &dem);
  ck_assert_uint_gt (dem.idle_count, 0);
  for (size_t n = 0; n < dem.idle_count; n++)
    ck_assert_str_ne (dem.idle[n], to->rep.host);
}
END_TEST

#define GANG                                                                  \
  "{\"steps\":[{\"count\":6,\"cpu\":1000,\"mem-mb\":64,\"gang\":true,"        \
  "\"rack-sensitive\":true,\"estimate-ms\":900}]}"

/* Guards against two gangs that each hold half of the room that one of them
   needs: each waits without holding anything, and starts when there is
   room.  */
START_TEST (test_gangs_hold_nothing)
{
  add_worker ("w1");
  struct job *first = world_add_job (wld, 1, GANG, 200);
  struct job *second = world_add_job (wld, 2, GANG, 201);
  steps (400);
  for (uint32_t k = 0; k < 6; k++)
    {
      ck_assert_uint_eq (first->occurrences[0].tasks[k].reserved_worker, 0);
      ck_assert_uint_eq (second->occurrences[0].tasks[k].reserved_worker, 0);
      ck_assert_uint_eq (world_starts (wld, 1, k) + world_starts (wld, 2, k),
                         0);
    }
  add_worker ("w2");
  steps (400);
  struct job *running = first->occurrences[0].tasks[0].run ? first : second;
  struct job *waiting = running == first ? second : first;
  for (uint32_t k = 0; k < 6; k++)
    {
      ck_assert_ptr_nonnull (running->occurrences[0].tasks[k].run);
      ck_assert_uint_eq (world_starts (wld, waiting->id, k), 0);
    }
  for (uint32_t k = 0; k < 6; k++)
    end_run (running->id, k, RUN_END_DONE);
  steps (400);
  for (uint32_t k = 0; k < 6; k++)
    ck_assert_uint_eq (world_starts (wld, waiting->id, k), 1);
}
END_TEST

/* Guards against perpetual tasks that end with a worker which leaves by its
   own notice of 2 s, in a full pool: each has its next place by then, one at a
   time.  */
START_TEST (test_leaving_worker)
{
  add_worker ("w1");
  struct job *job
      = world_add_job (wld, 1,
                       "{\"steps\":[{\"count\":4,\"cpu\":1000,\"mem-mb\":64,"
                       "\"perpetual\":true,\"may-miss\":1}]}",
                       200);
  steps (400);
  add_worker ("w2");
  add_worker ("w3");
  world_add_job (wld, 2, BACKLOG, 201);
  steps (400);
  tasks_missing = 0;
  lose ("w1", LOSS_DRAINING);
  steps (2000);
  ck_assert_uint_le (tasks_missing, 1);
  for (uint32_t k = 0; k < 4; k++)
    ck_assert (runs_on (job, k, "w2") || runs_on (job, k, "w3"));
}
END_TEST

/* Guards against a host that is given up while the task of a worker that does
   not answer, which is restarted once its lease has expired, has no other
   place.  ASKED_FIRST: the host was asked for before that worker was cut
   off.  */
START_TEST (test_cut_off_task_keeps_place)
{
  bool asked_first = _i;
  struct placer_kept kept;
  struct placer_vacated vac;
  add_worker ("w1");
  add_worker ("w2");
  struct job *job = world_add_job (wld, 1, SERVING ("2"), 200);
  steps (200);
  add_worker ("w3");
  world_release_earlier (wld);
  steps (6000);
  ck_assert (placer_takeover_done (wld->plc));
  if (asked_first)
    vacate ("w3", true);
  lose ("w1", LOSS_CUT_OFF);
  vacate ("w3", true);
  for (int n = 0; n < 1000; n += STEP_MS)
    {
      step ();
      ck_assert (!placer_host_empty (wld->plc, "m-w3", &vac));
    }
  ck_assert (placer_host_kept (wld->plc, "m-w3", &kept));
  ck_assert_int_eq (kept.reason, PLACER_KEEP_TASK_WAITS);
  /* One that only does not answer makes the pool ask for no hosts.  */
  ck_assert_uint_eq (wld->plc->lacking_hosts, 0);
  steps (7000);
  for (uint32_t k = 0; k < 2; k++)
    ck_assert (runs_on (job, k, "w2") || runs_on (job, k, "w3"));
}
END_TEST

/* Guards against a host that is given up in the pause between two runs of the
   only perpetual task that needs it: it looks empty then.  */
START_TEST (test_restart_pause_keeps_host)
{
  struct placer_kept kept;
  struct placer_vacated vac;
  add_worker ("w1");
  add_worker ("w2");
  struct job *job = world_add_job (wld, 1, SERVING ("2"), 200);
  world_release_earlier (wld);
  steps (6000);
  ck_assert (placer_takeover_done (wld->plc));
  const char *id = runs_on (job, 0, "w1") ? "w1" : "w2";
  const char *host = id[1] == '1' ? "m-w1" : "m-w2";
  end_run (1, 0, RUN_END_DONE);
  while (job->occurrences[0].tasks[0].run)
    step ();
  vacate (id, true);
  for (int n = 0; n < 1000; n += STEP_MS)
    {
      step ();
      ck_assert (!placer_host_empty (wld->plc, host, &vac));
    }
  ck_assert (placer_host_kept (wld->plc, host, &kept));
  ck_assert (runs_on (job, 0, id));
}
END_TEST

int
main (void)
{
  TCase *tc = tcase_create ("placer_moves");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, test_move_takes_preempted_room);
  tcase_add_test (tc, test_move_reserves_once);
  tcase_add_test (tc, test_move_withdrawn);
  tcase_add_loop_test (tc, test_destination_lost_before_stop, 0, LOSS_COUNT);
  tcase_add_loop_test (tc, test_destination_lost_no_other, 0, LOSS_COUNT);
  tcase_add_test (tc, test_destination_vacated_after_stop);
  tcase_add_test (tc, test_places_of_each_other);
  tcase_add_test (tc, test_moves_within_bound);
  tcase_add_test (tc, test_preempts_no_more_than_needed);
  tcase_add_test (tc, test_perpetual_behind_many_jobs);
  tcase_add_test (tc, test_only_allowed_worker_fails);
  tcase_add_test (tc, test_reserved_host_not_idle);
  tcase_add_test (tc, test_gangs_hold_nothing);
  tcase_add_test (tc, test_leaving_worker);
  tcase_add_test (tc, test_restart_pause_keeps_host);
  tcase_add_loop_test (tc, test_cut_off_task_keeps_place, 0, 2);
  Suite *suite = suite_create ("placer_moves");
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
