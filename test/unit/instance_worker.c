#include "instance_model.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

/* Workers that follow the platform's rules for runs and leases, and what must
   hold for the runs on all of them.  */

#define STOP_MAX_US (200 * MS)
/* A task may start for this time after the cancellation of its job.  */
#define CANCEL_EFFECT_US (3 * SECOND)
/* Its runs end within this time, as their leases do.  */
#define UNASKED_AFTER_US (15 * SECOND)

int64_t
model_worker_clock_ms (const struct model *mdl, const struct model_worker *wrk)
{
  return wrk->clock_base_ms
         + (mdl->now_us - wrk->born_us) * wrk->clock_permille / 1000 / MS;
}

static void on_lease_end (struct model *mdl, void *arg, int64_t instance);

static void
extend_lease (struct model *mdl, struct model_worker *wrk, int64_t due_ms)
{
  int64_t clock_ms = model_worker_clock_ms (mdl, wrk);
  if (due_ms > clock_ms + MODEL_LEASE_MAX_MS)
    due_ms = clock_ms + MODEL_LEASE_MAX_MS;
  if (due_ms <= wrk->due_ms)
    return;
  wrk->due_ms = due_ms;
  model_after (mdl, NULL,
               (due_ms - clock_ms) * MS * 1000 / wrk->clock_permille + MS,
               on_lease_end, wrk, wrk->instance);
}

static struct model_run *
find_running (struct model_worker *wrk, uint32_t task)
{
  for (size_t n = 0; n < wrk->run_count; n++)
    if (wrk->runs[n].task == task && wrk->runs[n].end_number == 0)
      return &wrk->runs[n];
  return NULL;
}

static void
fill_lists (struct model *mdl, struct model_worker *wrk,
            struct model_call *call)
{
  struct running_row *running
      = talloc_zero_array (mdl, struct running_row, wrk->run_count + 1);
  struct ended_row *ended
      = talloc_zero_array (mdl, struct ended_row, wrk->run_count + 1);
  struct hold_result *res = &call->res;
  res->running_count = res->ended_count = 0;
  res->incomplete = false;
  for (size_t n = 0; n < wrk->run_count; n++)
    {
      const struct model_run *run = &wrk->runs[n];
      const struct task_ref ref = mdl->tasks[run->task].ref;
      if (run->end_number)
        ended[res->ended_count++]
            = (struct ended_row){ .number = run->end_number,
                                  .task = ref,
                                  .run = run->number,
                                  .end = run->how,
                                  .checkpoint = "" };
      else if ((wrk->disturbed & DISTURBED_ROWS) && model_chance (mdl, 50))
        res->incomplete = true;
      else
        running[res->running_count++] = (struct running_row){
          .task = ref, .run = run->number, .checkpoint = "", .percent = 100
        };
    }
  res->running = running;
  res->ended = ended;
  res->born_ms = wrk->born_us / MS;
}

static void
answer (struct model *mdl, struct model_worker *wrk, struct model_call *call,
        enum command_status status)
{
  call->res.command.status = status;
  call->res.command.clock_ms = model_worker_clock_ms (mdl, wrk);
  if (call->kind == MODEL_HOLD && status == COMMAND_DONE)
    fill_lists (mdl, wrk, call);
  model_answer (mdl, call);
}

static void
answer_held (struct model *mdl, struct model_worker *wrk)
{
  size_t count = wrk->held_count;
  wrk->held_count = 0;
  for (size_t n = 0; n < count; n++)
    answer (mdl, wrk, wrk->held[n], COMMAND_DONE);
}

/* Ends the run at POS.  The ended runs stay in the order of their ends.  */
static void
end_run (struct model *mdl, struct model_worker *wrk, struct model_run *pos,
         enum run_end how)
{
  static const char *const names[] = { [RUN_END_DONE] = "done",
                                       [RUN_END_STOPPED] = "stopped",
                                       [RUN_END_LEASE_EXPIRED] = "lapsed" };
  struct model_run run = *pos;
  size_t index = (size_t)(pos - wrk->runs);
  memmove (pos, pos + 1, (--wrk->run_count - index) * sizeof *pos);
  run.how = how;
  run.end_number = ++wrk->ends;
  run.ended_us = mdl->now_us;
  wrk->runs[wrk->run_count++] = run;
  if (run.number > wrk->refused[run.task])
    wrk->refused[run.task] = run.number;
  model_trace (mdl, "task=%u run=%u worker=%s ended=%s number=%" PRIu64,
               run.task, run.number, wrk->id, names[how], run.end_number);
  answer_held (mdl, wrk);
}

static void
on_lease_end (struct model *mdl, void *arg, int64_t instance)
{
  struct model_worker *wrk = arg;
  if (wrk->instance != instance || !wrk->up
      || model_worker_clock_ms (mdl, wrk) < wrk->due_ms)
    return;
  wrk->lapsed_us = mdl->now_us;
  for (size_t n = wrk->run_count; n-- > 0;)
    if (wrk->runs[n].end_number == 0)
      {
        end_run (mdl, wrk, &wrk->runs[n], RUN_END_LEASE_EXPIRED);
        n = wrk->run_count;
      }
}

/* Ends the runs whose work or whose stop is over.  */
static void
on_work_end (struct model *mdl, void *arg, int64_t instance)
{
  struct model_worker *wrk = arg;
  if (wrk->instance != instance || !wrk->up)
    return;
  for (size_t n = 0; n < wrk->run_count; n++)
    if (wrk->runs[n].end_number == 0 && wrk->runs[n].end_us <= mdl->now_us)
      {
        end_run (mdl, wrk, &wrk->runs[n], wrk->runs[n].how);
        n = (size_t)-1;
      }
}

/* What must hold when a run starts, seen from all workers.  */
static void
check_start (struct model *mdl, const struct model_worker *here,
             uint32_t number, uint32_t run, bool late)
{
  const struct model_task *tsk = &mdl->tasks[number];
  for (uint32_t n = 0; n < MODEL_WORKERS; n++)
    {
      struct model_worker *wrk = &mdl->workers[n];
      const struct model_run *other
          = wrk->up ? find_running (wrk, number) : NULL;
      if (other)
        model_fault (mdl, number, "TWICE: run %u on %s%s while run %u on %s%s",
                     run, here->id, late ? " (late)" : "", other->number,
                     wrk->id, other->late ? " (late)" : "");
    }
  if (tsk->done_noted)
    model_fault (mdl, number, "TWICE: run %u on %s%s after a noted end", run,
                 here->id, late ? " (late)" : "");
  if (tsk->cancelled_us && !late
      && mdl->now_us > tsk->cancelled_us + CANCEL_EFFECT_US)
    model_fault (mdl, number, "UNASKED: run %u on %s", run, here->id);
}

static enum command_status
start (struct model *mdl, struct model_worker *wrk,
       const struct model_call *call)
{
  uint32_t number = model_task_number (mdl, &call->ref);
  const struct model_task *tsk = &mdl->tasks[number];
  if (call->lease_end_ms <= model_worker_clock_ms (mdl, wrk))
    return COMMAND_LEASE_EXPIRED;
  extend_lease (mdl, wrk, call->lease_end_ms);
  const struct model_run *run = find_running (wrk, number);
  if (run && run->number == call->run)
    return COMMAND_DONE;
  if (call->run <= wrk->refused[number])
    return COMMAND_STALE_RUN;
  size_t running = 0;
  for (size_t n = 0; n < wrk->run_count; n++)
    running += wrk->runs[n].end_number == 0;
  if (running >= 4 || wrk->run_count == WORKER_RUNS_MAX)
    return COMMAND_NO_ROOM;
  check_start (mdl, wrk, number, call->run, call->late);
  mdl->tasks[number].started_us = mdl->now_us;
  wrk->runs[wrk->run_count++] = (struct model_run){
    .task = number,
    .number = call->run,
    .started_us = mdl->now_us,
    .end_us = mdl->now_us + (tsk->perpetual ? 1000 * SECOND : tsk->work_us),
    .how = RUN_END_DONE,
    .late = call->late,
  };
  if (!tsk->perpetual)
    model_after (mdl, NULL, tsk->work_us, on_work_end, wrk, wrk->instance);
  return COMMAND_DONE;
}

static void
stop (struct model *mdl, struct model_worker *wrk,
      const struct model_call *call)
{
  uint32_t number = model_task_number (mdl, &call->ref);
  struct model_run *run = find_running (wrk, number);
  if (call->run > wrk->refused[number])
    wrk->refused[number] = call->run;
  if (!run || run->number != call->run || run->how == RUN_END_STOPPED)
    return;
  int64_t stop_us = model_pick (mdl, STOP_MAX_US);
  if (mdl->now_us + stop_us >= run->end_us)
    return;
  run->end_us = mdl->now_us + stop_us;
  run->how = RUN_END_STOPPED;
  model_after (mdl, NULL, stop_us, on_work_end, wrk, wrk->instance);
}

/* The end of RUN as done is acknowledged.  */
static void
note_done (struct model *mdl, const struct model_worker *wrk,
           const struct model_run *run)
{
  struct model_task *tsk = &mdl->tasks[run->task];
  if (tsk->perpetual || wrk->lapsed_us > run->ended_us)
    return;
  tsk->done_noted = true;
  if (tsk->started_us > run->ended_us)
    model_fault (mdl, run->task,
                 "TWICE: a start after the end of run %u on %s", run->number,
                 wrk->id);
}

static void
acknowledge (struct model *mdl, struct model_worker *wrk, uint64_t last_seen)
{
  size_t kept = 0;
  for (size_t n = 0; n < wrk->run_count; n++)
    {
      const struct model_run *run = &wrk->runs[n];
      if (run->end_number == 0 || run->end_number > last_seen)
        wrk->runs[kept++] = *run;
      else if (run->how == RUN_END_DONE)
        note_done (mdl, wrk, run);
    }
  wrk->run_count = kept;
}

static void
on_hold_waited (struct model *mdl, void *arg, int64_t instance)
{
  struct model_call *call = arg;
  struct model_worker *wrk = &mdl->workers[call->worker];
  for (size_t n = 0; wrk->instance == instance && n < wrk->held_count; n++)
    if (wrk->held[n] == call)
      {
        wrk->held[n] = wrk->held[--wrk->held_count];
        answer (mdl, wrk, call, COMMAND_DONE);
        return;
      }
}

static void
hold (struct model *mdl, struct model_worker *wrk, struct model_call *call)
{
  bool has_ends = false;
  if (call->lease_end_ms > 0)
    extend_lease (mdl, wrk, call->lease_end_ms);
  acknowledge (mdl, wrk, call->last_seen);
  for (size_t n = 0; n < wrk->run_count; n++)
    has_ends = has_ends || wrk->runs[n].end_number > 0;
  if (has_ends || call->wait_ms == 0 || wrk->held_count == WORKER_HOLDS_MAX)
    {
      answer (mdl, wrk, call, COMMAND_DONE);
      return;
    }
  wrk->held[wrk->held_count++] = call;
  model_after (mdl, NULL, call->wait_ms * MS, on_hold_waited, call,
               wrk->instance);
}

static void
trace_call (struct model *mdl, const struct model_worker *wrk,
            const struct model_call *call, enum command_status status)
{
  static const char *const names[] = { [MODEL_START] = "start",
                                       [MODEL_STOP] = "stop",
                                       [MODEL_HOLD] = "hold",
                                       [MODEL_PACE] = "pace" };
  int64_t clock_ms = model_worker_clock_ms (mdl, wrk);
  /* Of the holds, only those that name a longer lease than usual.  */
  if (call->kind == MODEL_HOLD
      && call->lease_end_ms <= clock_ms + MODEL_LEASE_MS + CLOCK_ERROR_MS)
    return;
  char task[24] = "";
  if (call->kind != MODEL_HOLD)
    snprintf (task, sizeof task, "task=%u run=%u ",
              model_task_number (mdl, &call->ref), call->run);
  model_trace (mdl,
               "%sworker=%s carried_out=%s%s from=%s token=%" PRIu64
               " status=%d due_ms=%" PRId64 " clock_ms=%" PRId64
               " worker_due_ms=%" PRId64,
               task, wrk->id, names[call->kind], call->late ? " late" : "",
               call->own->name, call->token, status, call->lease_end_ms,
               clock_ms, wrk->due_ms);
}

static bool
refuses (const struct model_worker *wrk, const struct model_call *call)
{
  return (call->kind == MODEL_HOLD && (wrk->disturbed & DISTURBED_HOLDS))
         || (call->kind == MODEL_STOP && (wrk->disturbed & DISTURBED_STOPS));
}

void
model_worker_call (struct model *mdl, struct model_call *call)
{
  struct model_worker *wrk = &mdl->workers[call->worker];
  enum command_status status = COMMAND_DONE;
  if (call->token < wrk->token)
    status = COMMAND_FENCED;
  else if (refuses (wrk, call))
    status = COMMAND_WORKER_BUSY;
  else
    {
      wrk->token = call->token;
      if (call->kind == MODEL_HOLD)
        {
          trace_call (mdl, wrk, call, status);
          hold (mdl, wrk, call);
          return;
        }
      if (call->kind == MODEL_START)
        status = start (mdl, wrk, call);
      else if (call->kind == MODEL_STOP)
        stop (mdl, wrk, call);
    }
  trace_call (mdl, wrk, call, status);
  answer (mdl, wrk, call, status);
}

void
model_worker_report (struct model *mdl, uint32_t worker)
{
  struct model_worker *wrk = &mdl->workers[worker];
  wrk->rep = (struct worker_report){
    .capacity = { .cpu_milli = 4000, .memory_mb = 8192 },
    .clock_ms = model_worker_clock_ms (mdl, wrk),
    .born_ms = wrk->born_us / MS,
    .draining = wrk->draining,
  };
  name_copy (wrk->rep.id, wrk->id);
  name_copy (wrk->rep.pool, MODEL_POOL);
  snprintf (wrk->rep.address, NAME_BYTES, "10.0.0.%u:1", worker + 1);
  snprintf (wrk->rep.host, NAME_BYTES, "m-%u", worker);
  wrk->reported = true;
  wrk->report_version++;
}

static void
on_report_due (struct model *mdl, void *arg, int64_t instance)
{
  struct model_worker *wrk = arg;
  if (wrk->instance != instance || !wrk->up)
    return;
  if (wrk->cut_store)
    model_after (mdl, NULL, 500 * MS, on_report_due, arg, instance);
  else
    model_worker_report (mdl, (uint32_t)(wrk - mdl->workers));
}

void
model_worker_boot (struct model *mdl, uint32_t worker)
{
  struct model_worker *wrk = &mdl->workers[worker];
  wrk->instance++;
  wrk->up = true;
  wrk->draining = false;
  wrk->born_us = mdl->now_us;
  /* Behind the clock of the instance before, ahead of it, or close to it.  */
  wrk->clock_base_ms
      = 1000 + (model_chance (mdl, 30) ? model_pick (mdl, 100000) : 0);
  wrk->clock_permille = 980 + model_pick (mdl, 21);
  wrk->token = 0;
  wrk->due_ms = wrk->lapsed_us = 0;
  wrk->ends = 0;
  wrk->run_count = wrk->held_count = 0;
  memset (wrk->refused, 0, sizeof wrk->refused);
  model_trace (mdl, "worker=%s instance=%u clock_ms=%" PRId64, wrk->id,
               wrk->instance, wrk->clock_base_ms);
  model_after (mdl, NULL, 300 * MS + model_pick (mdl, 2000 * MS),
               on_report_due, wrk, wrk->instance);
}

void
model_worker_end (struct model *mdl, uint32_t worker)
{
  struct model_worker *wrk = &mdl->workers[worker];
  for (size_t n = 0; n < wrk->run_count; n++)
    model_trace (mdl, "task=%u run=%u worker=%s instance_ended",
                 wrk->runs[n].task, wrk->runs[n].number, wrk->id);
  wrk->up = false;
  wrk->run_count = wrk->held_count = 0;
}

void
model_note_alive (struct model *mdl)
{
  for (uint32_t n = 0; n < MODEL_WORKERS; n++)
    for (size_t m = 0; mdl->workers[n].up && m < mdl->workers[n].run_count;
         m++)
      {
        const struct model_run *run = &mdl->workers[n].runs[m];
        struct model_task *tsk = &mdl->tasks[run->task];
        if (run->end_number == 0 || run->how == RUN_END_DONE)
          tsk->alive_us = mdl->now_us;
        int64_t unwanted_us = tsk->cancelled_us > run->started_us
                                  ? tsk->cancelled_us
                                  : run->started_us;
        if (run->end_number == 0 && tsk->cancelled_us
            && mdl->now_us > unwanted_us + UNASKED_AFTER_US)
          model_fault (mdl, run->task, "UNASKED: run %u goes on on %s",
                       run->number, mdl->workers[n].id);
      }
}
