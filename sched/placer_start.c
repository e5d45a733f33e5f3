#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "sched/placer_record.h"

/* Starting and stopping of runs.  */

/* Pause of a task after its start was refused; without it the start would be
   repeated in every tick.  */
#define START_REFUSED_PAUSE_US 100000
/* A worker that is too busy or unhealthy to take a command gets no new tasks
   for this time.  */
#define WORKER_BUSY_PAUSE_US 1000000
/* Pause of a worker that had no room for a task that should have fitted.  It
   runs something that this owner does not know; the next hold lists it.  */
#define NO_ROOM_PAUSE_US 200000
/* Least time between two stops of one run, after one that had no effect.  */
#define STOP_INTERVAL_MIN_US 250000

/* Most starts in flight at a time.  A process with a tenth of a core sends
   about 1,000 starts a second, and has to read their answers within the
   time-out of 0.9 s.  */
#define STARTS_IN_FLIGHT_MAX 512
/* Time of one tick after which it sends no further starts, so that a process
   with little processor time reads answers and the log in between.  */
#define TICK_STARTS_MAX_US 20000
/* A start that has been in flight for longer no longer counts against the
   limit: workers answer within some milliseconds, so it waits for a worker and
   not for this process.  */
#define START_IN_FLIGHT_AGE_US 200000

/* A start uses no connection that has been idle for longer: it may be silent
   for good, and a task whose start has no answer waits for 12 s.  */
#define START_IDLE_MAX_MS 1000

struct command_ctx
{
  struct placer *plc;
  struct run *run; /* NULL: a stop of a run that is not wanted */
  uint32_t worker; /* handle */
  int64_t born_ms; /* start of the instance that the command is meant for */
  /* Entry in the list of starts in flight.  */
  struct command_ctx *prev, *next;
  bool in_flight; /* in that list */
  struct timed_call call;
};

static void
add_start_in_flight (struct placer *plc, struct command_ctx *ctx)
{
  ctx->in_flight = true;
  ctx->prev = plc->last_start_in_flight;
  if (plc->last_start_in_flight)
    plc->last_start_in_flight->next = ctx;
  else
    plc->first_start_in_flight = ctx;
  plc->last_start_in_flight = ctx;
  plc->starts_in_flight++;
}

static void
drop_start_in_flight (struct placer *plc, struct command_ctx *ctx)
{
  if (!ctx->in_flight)
    return;
  ctx->in_flight = false;
  if (ctx->prev)
    ctx->prev->next = ctx->next;
  else
    plc->first_start_in_flight = ctx->next;
  if (ctx->next)
    ctx->next->prev = ctx->prev;
  else
    plc->last_start_in_flight = ctx->prev;
  plc->starts_in_flight--;
}

void
placer_age_starts (struct placer *plc, int64_t now_us)
{
  while (plc->first_start_in_flight
         && now_us - plc->first_start_in_flight->call.sent_us
                > START_IN_FLIGHT_AGE_US)
    {
      drop_start_in_flight (plc, plc->first_start_in_flight);
      plc->late_starts_changed = true;
    }
}

bool
placer_start_limit_reached (struct placer *plc, int64_t now_us)
{
  placer_age_starts (plc, now_us);
  /* Thousands of tasks may wait; only starts take long.  */
  if (plc->starts_sent != plc->starts_checked)
    {
      plc->starts_checked = plc->starts_sent;
      plc->tick_too_long
          = clock_now_us (plc->env.clk) - now_us > TICK_STARTS_MAX_US;
    }
  return plc->tick_too_long || plc->starts_in_flight >= STARTS_IN_FLIGHT_MAX;
}

static void
unlink_run (struct run *run)
{
  struct worker *wrk = run->wrk;
  if (run->prev)
    run->prev->next = run->next;
  else
    wrk->runs = run->next;
  if (run->next)
    run->next->prev = run->prev;
  resources_add (&wrk->used, &run->job->spec.steps[run->ref.step], -1);
}

struct run *
placer_find_run (const struct worker *wrk, const struct task_ref *ref,
                 uint32_t number)
{
  for (struct run *run = wrk->runs; run; run = run->next)
    if (run->number == number && run->ref.job == ref->job
        && run->ref.occurrence == ref->occurrence && run->ref.step == ref->step
        && run->ref.index == ref->index)
      return run;
  return NULL;
}

bool
placer_has_runs (const struct task *tsk)
{
  return tsk->run || tsk->unwanted_runs > 0;
}

/* Whether an earlier owner may have learnt of the end of RUN, which it had
   started, when it could still start the next one on another worker: one that
   its record names, or any for a batch task.  */
static bool
may_have_next_run (const struct placer *plc, const struct run *run)
{
  return !plc->takeover_done && run->start_sent_us == 0 && !run->unwanted
         && run->listed_us < placer_earlier_starts_end_us (plc);
}

void
placer_remove_run (struct placer *plc, struct run *run)
{
  if (run->removed)
    return;
  if (may_have_next_run (plc, run))
    run->tsk->located_token = 0;
  if (run->start_sent_us && !run->start_settled)
    placer_add_late_start (plc, run);
  placer_note_not_unsent (plc, run);
  unlink_run (run);
  if (run->confirmed_us)
    run->tsk->heard_us
        = run->seen_us > run->confirmed_us ? run->seen_us : run->confirmed_us;
  if (run->unwanted)
    run->tsk->unwanted_runs--;
  else if (run->tsk->run == run)
    run->tsk->run = NULL;
  run->removed = true;
  if (run->calls_in_flight == 0)
    talloc_free (run);
}

/* Adds a run to the list of WRK.  */
static struct run *
link_run (struct placer *plc, struct worker *wrk, struct job *job,
          const struct task_ref *ref, uint32_t number)
{
  struct run *run = talloc_zero (plc, struct run);
  if (!run)
    return NULL;
  run->wrk = wrk;
  run->job = job;
  run->ref = *ref;
  run->tsk = job_task (job, ref);
  run->number = number;
  run->created_us = clock_now_us (plc->env.clk);
  run->next = wrk->runs;
  if (wrk->runs)
    wrk->runs->prev = run;
  wrk->runs = run;
  resources_add (&wrk->used, &job->spec.steps[ref->step], 1);
  if (number > run->tsk->prg.last_run)
    run->tsk->prg.last_run = number;
  placer_note_new_run (plc, run);
  return run;
}

/* Adds the current run of a task.  */
static struct run *
make_run (struct placer *plc, struct worker *wrk, struct job *job,
          const struct task_ref *ref, uint32_t number)
{
  struct run *run = link_run (plc, wrk, job, ref, number);
  if (!run)
    return NULL;
  run->tsk->run = run;
  run->tsk->located_token = plc->set.token;
  return run;
}

void
placer_note_started (struct placer *plc, struct job *job)
{
  if (job->started)
    return;
  job->started = true;
  placer_mark_dirty (plc, job);
}

struct run *
placer_adopt (struct placer *plc, struct worker *wrk, struct job *job,
              const struct task_ref *ref, uint32_t number)
{
  struct task *tsk = job_task (job, ref);
  uint32_t last_run = tsk->prg.last_run;
  struct run *run = make_run (plc, wrk, job, ref, number);
  if (run)
    {
      if (tsk->reserved_worker)
        placer_unreserve (plc, tsk, &job->spec.steps[ref->step]);
      run->state = RUN_ACTIVE;
      run->start_settled = true;
      run->confirmed_us = run->created_us;
      placer_note_started (plc, job);
      char name[TASK_NAME_MAX];
      task_ref_format (ref, name);
      log_event (plc->env.lg, EV_RUN_ADOPTED, LOG_S ("task", name),
                 LOG_I ("run", number), LOG_S ("worker", wrk->rep.id),
                 LOG_I ("last_run", last_run),
                 LOG_I ("token", plc->set.token));
    }
  return run;
}

/* Finds the worker that the command was sent to and updates its contact state,
   unless this owner itself held the command back: MAY_SEND tells whether it
   still may send it.  Returns false if the placer is closing or the worker was
   removed; the result is then ignored.  */
static bool
command_answered (struct command_ctx *ctx, const struct command_result *res,
                  bool (*may_send) (void *arg), struct worker **wrk)
{
  struct placer *plc = ctx->plc;
  if (plc->closing)
    return false;
  *wrk = placer_find_worker (plc, ctx->worker);
  if (!*wrk)
    return false;
  placer_note_generation (plc, *wrk, &ctx->call, res->status);
  if (res->status == COMMAND_NOT_SENT && !may_send (ctx))
    return true;
  /* An answer may come from the instance that the command was meant for, which
     has ended: it tells neither the next one's clock nor that it answers.  */
  if (ctx->born_ms == (*wrk)->rep.born_ms)
    placer_note_answer (plc, *wrk, &ctx->call, res);
  else if (res->status == COMMAND_NO_ANSWER)
    placer_note_unanswered (plc, *wrk, &ctx->call);
  return true;
}

static void
command_finished (struct command_ctx *ctx)
{
  struct placer *plc = ctx->plc;
  struct run *run = ctx->run;
  if (run && --run->calls_in_flight == 0 && run->removed)
    talloc_free (run);
  talloc_free (ctx);
  if (!plc->closing)
    plc->env.wake (plc->env.arg);
  placer_release_call (plc);
}

static struct command_ctx *
make_command_ctx (struct placer *plc, struct run *run, struct worker *wrk)
{
  struct command_ctx *ctx = talloc_zero (plc, struct command_ctx);
  if (!ctx)
    return NULL;
  ctx->plc = plc;
  ctx->run = run;
  ctx->worker = wrk->handle;
  ctx->born_ms = wrk->rep.born_ms;
  ctx->call = placer_timed_call (wrk, clock_now_us (plc->env.clk), 0);
  return ctx;
}

struct command_target
placer_command_target (const struct worker *wrk, bool (*may_send) (void *arg))
{
  return (struct command_target){ .address = wrk->rep.address,
                                  .worker = wrk->rep.id,
                                  .new_connection = wrk->unanswered_calls > 0,
                                  .may_send = may_send };
}

static bool
may_send_start (void *arg)
{
  const struct command_ctx *ctx = arg;
  /* The job may have been cancelled while the start waited.  */
  return !ctx->run->stop_wanted && !ctx->run->removed
         && placer_may_start (ctx->plc, clock_now_us (ctx->plc->env.clk));
}

static bool
may_send_stop (void *arg)
{
  const struct command_ctx *ctx = arg;
  return placer_may_command (ctx->plc, clock_now_us (ctx->plc->env.clk));
}

static void
log_start (struct placer *plc, struct run *run, const char *outcome)
{
  char name[TASK_NAME_MAX];
  task_ref_format (&run->ref, name);
  log_event (plc->env.lg, EV_RUN_PLACED, LOG_S ("task", name),
             LOG_I ("run", run->number), LOG_S ("worker", run->wrk->rep.id),
             LOG_S ("outcome", outcome), LOG_I ("token", plc->set.token));
}

static void
start_refused (struct placer *plc, struct run *run, struct worker *wrk,
               enum command_status status, int64_t now_us)
{
  static const char *const names[] = {
    [COMMAND_FENCED] = "superseded",
    [COMMAND_STALE_RUN] = "old_run",
    [COMMAND_LEASE_EXPIRED] = "lease_expired",
    [COMMAND_NO_ROOM] = "no_room",
    [COMMAND_NO_TICKET] = "no_ticket",
    [COMMAND_REJECTED] = "refused",
    [COMMAND_WORKER_BUSY] = "worker_busy",
    [COMMAND_OTHER_INSTANCE] = "other_instance",
    [COMMAND_NOT_SENT] = "not_sent",
  };
  log_start (plc, run, names[status]);
  run->tsk->not_before_us = now_us + START_REFUSED_PAUSE_US;
  /* The worker may refuse this task for good.  */
  if (status != COMMAND_NOT_SENT || placer_may_start (plc, now_us))
    {
      run->tsk->avoid_worker = wrk->handle;
      run->tsk->refusals++;
    }
  if (status == COMMAND_WORKER_BUSY)
    wrk->avoid_until_us = now_us + WORKER_BUSY_PAUSE_US;
  else if (status == COMMAND_NO_ROOM)
    wrk->avoid_until_us = now_us + NO_ROOM_PAUSE_US;
  if (status == COMMAND_NO_ROOM || status == COMMAND_LEASE_EXPIRED)
    wrk->next_hold_us = 0;
  placer_remove_run (plc, run);
}

/* The next answer to a hold shows whether the worker has carried the start
   out; see placer_stop_unlisted_starts.  */
static void
start_unanswered (struct placer *plc, struct run *run)
{
  log_start (plc, run, "no_answer");
  run->start_unanswered = true;
  run->wrk->next_hold_us = 0;
  plc->late_starts_changed = true;
}

void
placer_stop_unlisted_starts (struct placer *plc, struct worker *wrk)
{
  for (struct run *run = wrk->runs; run; run = run->next)
    if (run->start_unanswered && run->state == RUN_STARTING)
      {
        placer_stop_run (plc, run);
        run->stop_unlisted = true;
      }
}

void
placer_keep_listed_start (struct run *run)
{
  if (!run->stop_unlisted || run->stopped_us || run->unwanted
      || job_ended (run->job) || run->job->spec.steps[run->ref.step].gang)
    return;
  run->stop_wanted = run->stop_unlisted = false;
  run->state = RUN_ACTIVE;
}

static void
on_start (void *arg, const struct command_result *res)
{
  struct command_ctx *ctx = arg;
  struct placer *plc = ctx->plc;
  struct run *run = ctx->run;
  struct worker *wrk;
  drop_start_in_flight (plc, ctx);
  int64_t now_us = clock_now_us (plc->env.clk);
  bool answered = command_answered (ctx, res, may_send_start, &wrk);
  if (answered)
    placer_note_grant (plc, wrk, ctx->call.lease_end_ms, res, now_us);
  if (res->status != COMMAND_NO_ANSWER)
    run->start_settled = true;
  if (answered && run->removed && run->start_settled)
    {
      placer_drop_late_start (plc, wrk, &run->ref, run->number);
      /* It may list the run now.  */
      wrk->next_hold_us = 0;
    }
  if (!answered || run->removed)
    {
      command_finished (ctx);
      return;
    }
  switch (res->status)
    {
    case COMMAND_DONE:
      placer_note_started (plc, run->job);
      run->tsk->refusals = 0;
      if (!run->confirmed_us)
        run->confirmed_us = now_us;
      if (run->state == RUN_STARTING)
        run->state = RUN_ACTIVE;
      counter_add (plc->env.ctr, CTR_RUNS_STARTED, 1);
      if (!run->job->start_timed)
        counter_add_time (plc->env.ctr, HST_JOB_FIRST_START,
                          now_us - run->job->seen_us);
      run->job->start_timed = true;
      log_start (plc, run, "started");
      break;
    case COMMAND_NO_ANSWER:
      if (run->state == RUN_STARTING)
        start_unanswered (plc, run);
      break;
    case COMMAND_FENCED:
      if (!placer_fenced_by_own (wrk, &ctx->call))
        {
          placer_fenced_by_worker (plc, wrk);
          break;
        }
      /* Fall through.  */
    default:
      if (run->state == RUN_STARTING)
        start_refused (plc, run, wrk, res->status, now_us);
      break;
    }
  placer_check_overdue (plc, wrk);
  command_finished (ctx);
}

void
placer_fenced_by_worker (struct placer *plc, const struct worker *wrk)
{
  plc->fenced = true;
  log_event (plc->env.lg, EV_PLACER_FENCED, LOG_S ("pool", plc->set.pool),
             LOG_S ("by", wrk->rep.id), LOG_I ("token", plc->set.token));
}

void
placer_send_start (struct placer *plc, struct run *run)
{
  struct worker *wrk = run->wrk;
  int64_t now_us = clock_now_us (plc->env.clk);
  struct command_target to = placer_command_target (wrk, may_send_start);
  placer_note_not_unsent (plc, run);
  to.idle_max_ms = START_IDLE_MAX_MS;
  placer_outdate_late_acks (plc, wrk);
  const struct start_command cmd = {
    .task = run->ref,
    .run = run->number,
    .spec = run->job->spec.spec,
    .checkpoint = run->tsk->checkpoint,
    .lease_end_ms = placer_lease_end_ms (plc, wrk, now_us),
    .token = placer_command_token (plc, wrk),
  };
  struct command_ctx *ctx = make_command_ctx (plc, run, wrk);
  if (ctx)
    ctx->call = placer_timed_call (wrk, now_us, cmd.lease_end_ms);
  plc->starts_sent++;
  plc->last_start_us = now_us;
  if (!ctx
      || plc->env.lnk->drv->start (plc->env.lnk, &to, &cmd, on_start, ctx))
    {
      talloc_free (ctx);
      placer_remove_run (plc, run);
      return;
    }
  run->start_sent_us = now_us;
  placer_note_lease (plc, wrk, now_us);
  run->calls_in_flight++;
  plc->calls_in_flight++;
  add_start_in_flight (plc, ctx);
}

void
placer_start_task (struct placer *plc, struct job *job,
                   const struct task_ref *ref, struct worker *wrk)
{
  struct task *tsk = job_task (job, ref);
  struct run *run = make_run (plc, wrk, job, ref, tsk->prg.last_run + 1);
  if (run && !placer_await_record (plc, run))
    placer_send_start (plc, run);
}

static void
on_stop (void *arg, const struct command_result *res)
{
  struct command_ctx *ctx = arg;
  struct placer *plc = ctx->plc;
  struct worker *wrk;
  if (!command_answered (ctx, res, may_send_stop, &wrk))
    {
      command_finished (ctx);
      return;
    }
  if (ctx->run && !ctx->run->removed)
    {
      ctx->run->stop_sent = false;
      /* After any other answer, or none, the next tick sends the stop again.
         The answer may be that of an earlier instance.  */
      if (res->status == COMMAND_DONE && ctx->born_ms == wrk->rep.born_ms)
        {
          /* The run goes on as it was listed since, and ends now.  */
          if (!ctx->run->stop_wanted)
            placer_make_stop_due (plc, ctx->run);
          ctx->run->stopped_us = clock_now_us (plc->env.clk);
          wrk->next_hold_us = 0;
        }
      else if (res->status != COMMAND_DONE && res->status != COMMAND_NO_ANSWER)
        ctx->run->next_stop_us = ctx->call.sent_us + STOP_INTERVAL_MIN_US;
    }
  if (res->status == COMMAND_FENCED && !placer_fenced_by_own (wrk, &ctx->call))
    placer_fenced_by_worker (plc, wrk);
  placer_check_overdue (plc, wrk);
  command_finished (ctx);
}

static bool
send_stop (struct placer *plc, struct worker *wrk, struct run *run,
           const struct task_ref *ref, uint32_t number)
{
  const struct command_target to = placer_command_target (wrk, may_send_stop);
  if (!placer_may_command (plc, clock_now_us (plc->env.clk)))
    return false;
  const struct stop_command cmd = { .task = *ref,
                                    .run = number,
                                    .token = placer_command_token (plc, wrk) };
  struct command_ctx *ctx = make_command_ctx (plc, run, wrk);
  if (!ctx || plc->env.lnk->drv->stop (plc->env.lnk, &to, &cmd, on_stop, ctx))
    {
      talloc_free (ctx);
      return false;
    }
  if (run)
    {
      run->calls_in_flight++;
      run->stop_sent_us = clock_now_us (plc->env.clk);
    }
  plc->calls_in_flight++;
  return true;
}

static void
log_unwanted (struct placer *plc, const struct worker *wrk,
              const struct task *tsk, const struct task_ref *ref,
              uint32_t number)
{
  char name[TASK_NAME_MAX];
  task_ref_format (ref, name);
  log_event (
      plc->env.lg, EV_RUN_STOPPED, LOG_S ("task", name), LOG_I ("run", number),
      LOG_S ("worker", wrk->rep.id), LOG_S ("reason", "not_wanted"),
      LOG_I ("last_run", tsk ? tsk->prg.last_run : 0),
      LOG_I ("current_run", tsk && tsk->run ? tsk->run->number : 0),
      LOG_S ("current_worker", tsk && tsk->run ? tsk->run->wrk->rep.id : ""));
}

void
placer_stop_unknown (struct placer *plc, struct worker *wrk,
                     const struct task_ref *ref, uint32_t number)
{
  log_unwanted (plc, wrk, NULL, ref, number);
  send_stop (plc, wrk, NULL, ref, number);
}

struct run *
placer_stop_unwanted (struct placer *plc, struct worker *wrk, struct job *job,
                      const struct task_ref *ref, uint32_t number)
{
  struct task *tsk = job_task (job, ref);
  log_unwanted (plc, wrk, tsk, ref, number);
  struct run *run = link_run (plc, wrk, job, ref, number);
  if (!run)
    return NULL;
  run->unwanted = true;
  run->start_settled = true;
  run->confirmed_us = run->created_us;
  tsk->unwanted_runs++;
  placer_stop_run (plc, run);
  return run;
}

struct run *
placer_stop_late_start (struct placer *plc, struct worker *wrk,
                        struct job *job, const struct late_start *late)
{
  struct run *run = link_run (plc, wrk, job, &late->ref, late->number);
  if (!run)
    return NULL;
  run->unwanted = run->start_unanswered = true;
  run->start_sent_us = late->sent_us;
  run->tsk->unwanted_runs++;
  placer_stop_run (plc, run);
  return run;
}

void
placer_make_stop_due (struct placer *plc, struct run *run)
{
  if (!run->stop_wanted)
    run->stop_wanted_us = clock_now_us (plc->env.clk);
  run->stop_wanted = true;
  run->state = RUN_STOPPING;
  run->stop_sent = false;
  run->next_stop_us = 0;
  run->stopped_us = 0;
  run->wrk->stops_wanted = true;
}

void
placer_stop_run (struct placer *plc, struct run *run)
{
  run->stop_unlisted = false;
  if (run->stop_wanted)
    return;
  placer_make_stop_due (plc, run);
  placer_send_stops (plc, run->wrk);
}

void
placer_send_stops (struct placer *plc, struct worker *wrk)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  if (!wrk->stops_wanted)
    return;
  wrk->stops_wanted = false;
  for (struct run *run = wrk->runs; run; run = run->next)
    if (run->stop_wanted && !run->stopped_us && !run->unsent)
      {
        wrk->stops_wanted = true;
        if (!run->stop_sent && now_us >= run->next_stop_us
            && send_stop (plc, wrk, run, &run->ref, run->number))
          run->stop_sent = true;
      }
}
