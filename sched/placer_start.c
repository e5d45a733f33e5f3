#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "sched/placer_priv.h"

/* Tries of one start at the same worker before the run is stopped there.  */
#define START_TRIES 3
/* A task whose start was refused waits so long, or it would be tried again in
   each turn.  */
#define REFUSED_PAUSE_US 100000
/* An unhealthy worker gets no new tasks for this time.  */
#define BUSY_PAUSE_US 1000000
/* A worker without room for what should fit runs something unknown; the next
   hold tells.  */
#define ROOM_PAUSE_US 200000

/* Starts on their way at a time.  A process with a tenth of a core sends about
   200 a second; more of them would wait in its own queue beyond the time in
   which a worker has to answer, and each would be sent again.  */
#define STARTS_OPEN_MAX 64
/* A start without an answer for so long waits for its worker, not for this
   process; workers answer within some milliseconds.  */
#define STARTS_OPEN_AGE_US 200000

struct order_ctx
{
  struct placer *plc;
  struct run *run;
  uint32_t worker;
  /* Of a start that counts as open.  */
  struct order_ctx *prev, *next;
  bool open;
  int64_t sent_us;
};

static void
add_open (struct placer *plc, struct order_ctx *ctx, int64_t now_us)
{
  ctx->open = true;
  ctx->sent_us = now_us;
  ctx->prev = plc->open_last;
  if (plc->open_last)
    plc->open_last->next = ctx;
  else
    plc->open_first = ctx;
  plc->open_last = ctx;
  plc->starts_open++;
}

static void
drop_open (struct placer *plc, struct order_ctx *ctx)
{
  if (!ctx->open)
    return;
  ctx->open = false;
  if (ctx->prev)
    ctx->prev->next = ctx->next;
  else
    plc->open_first = ctx->next;
  if (ctx->next)
    ctx->next->prev = ctx->prev;
  else
    plc->open_last = ctx->prev;
  plc->starts_open--;
}

bool
placer_starts_full (struct placer *plc, int64_t now_us)
{
  while (plc->open_first
         && now_us - plc->open_first->sent_us > STARTS_OPEN_AGE_US)
    drop_open (plc, plc->open_first);
  return plc->starts_open >= STARTS_OPEN_MAX;
}

static void send_start (struct placer *plc, struct run *run);

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

void
placer_forget_run (struct placer *plc, struct run *run)
{
  if (run->gone)
    return;
  unlink_run (run);
  if (run->tsk->run == run)
    run->tsk->run = NULL;
  run->gone = true;
  if (run->calls == 0)
    talloc_free (run);
}

static struct run *
make_run (struct placer *plc, struct worker *wrk, struct job *job,
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
  run->begun_us = clock_now_us (plc->env.clk);
  run->next = wrk->runs;
  if (wrk->runs)
    wrk->runs->prev = run;
  wrk->runs = run;
  resources_add (&wrk->used, &job->spec.steps[ref->step], 1);
  run->tsk->run = run;
  run->tsk->located = plc->set.token;
  if (number > run->tsk->last_run)
    run->tsk->last_run = number;
  if (!job->started)
    {
      job->started = true;
      placer_mark_dirty (plc, job);
    }
  return run;
}

struct run *
placer_adopt (struct placer *plc, struct worker *wrk, struct job *job,
              const struct task_ref *ref, uint32_t number)
{
  struct run *run = make_run (plc, wrk, job, ref, number);
  if (run)
    {
      run->state = RUN_ACTIVE;
      run->confirmed_us = run->begun_us;
    }
  return run;
}

/* Returns whether the answer still matters.  */
static bool
order_back (struct order_ctx *ctx, const struct order_result *res,
            struct worker **wrk)
{
  struct placer *plc = ctx->plc;
  if (plc->closing)
    return false;
  *wrk = placer_find_worker (plc, ctx->worker);
  if (*wrk)
    placer_note_answer (plc, *wrk, res);
  return *wrk != NULL;
}

static void
order_over (struct order_ctx *ctx)
{
  struct placer *plc = ctx->plc;
  struct run *run = ctx->run;
  if (run && --run->calls == 0 && run->gone)
    talloc_free (run);
  talloc_free (ctx);
  if (!plc->closing)
    plc->env.wake (plc->env.arg);
  placer_release_call (plc);
}

static struct order_ctx *
make_ctx (struct placer *plc, struct run *run, struct worker *wrk)
{
  struct order_ctx *ctx = talloc_zero (plc, struct order_ctx);
  if (!ctx)
    return NULL;
  ctx->plc = plc;
  ctx->run = run;
  ctx->worker = wrk->handle;
  return ctx;
}

struct order_target
placer_order_target (const struct worker *wrk)
{
  return (struct order_target){ .address = wrk->rep.address,
                                .worker = wrk->rep.id,
                                .fresh = wrk->failures > 0 };
}

static void
log_start (struct placer *plc, struct run *run, const char *outcome)
{
  char name[TASK_NAME_MAX];
  task_ref_format (&run->ref, name);
  log_event (plc->env.lg, EV_RUN_PLACED, LOG_S ("task", name),
             LOG_I ("run", run->number), LOG_S ("worker", run->wrk->rep.id),
             LOG_S ("outcome", outcome), LOG_I ("tries", run->start_tries),
             LOG_I ("token", plc->set.token));
}

static void
start_refused (struct placer *plc, struct run *run, struct worker *wrk,
               enum order_status status, int64_t now_us)
{
  static const char *const names[] = {
    [ORDER_OLD] = "old_run",           [ORDER_LATE] = "lease_over",
    [ORDER_NO_ROOM] = "no_room",       [ORDER_NO_TICKET] = "no_ticket",
    [ORDER_REFUSED] = "refused",       [ORDER_BUSY] = "worker_busy",
    [ORDER_OTHER_LIFE] = "other_life", [ORDER_NOT_SENT] = "not_sent",
  };
  log_start (plc, run, names[status]);
  run->tsk->not_before_us = now_us + REFUSED_PAUSE_US;
  if (status == ORDER_BUSY)
    wrk->avoid_until_us = now_us + BUSY_PAUSE_US;
  else if (status == ORDER_NO_ROOM)
    wrk->avoid_until_us = now_us + ROOM_PAUSE_US;
  if (status == ORDER_NO_ROOM || status == ORDER_LATE)
    wrk->next_hold_us = 0;
  placer_forget_run (plc, run);
}

static void
start_unanswered (struct placer *plc, struct run *run)
{
  log_start (plc, run, "no_answer");
  if (run->start_tries < START_TRIES && !run->stop_wanted)
    send_start (plc, run);
  else
    /* It may still begin; a stop makes the worker refuse it.  */
    placer_stop_run (plc, run);
}

static void
on_start (void *arg, const struct order_result *res)
{
  struct order_ctx *ctx = arg;
  struct placer *plc = ctx->plc;
  struct run *run = ctx->run;
  struct worker *wrk;
  drop_open (plc, ctx);
  if (!order_back (ctx, res, &wrk) || run->gone)
    {
      order_over (ctx);
      return;
    }
  int64_t now_us = clock_now_us (plc->env.clk);
  switch (res->status)
    {
    case ORDER_DONE:
      if (!run->confirmed_us)
        run->confirmed_us = now_us;
      if (run->state == RUN_STARTING)
        run->state = RUN_ACTIVE;
      counter_add (plc->env.ctr, CTR_RUNS_STARTED, 1);
      log_start (plc, run, "started");
      break;
    case ORDER_FENCED:
      plc->fenced = true;
      log_event (plc->env.lg, EV_PLACER_FENCED, LOG_S ("pool", plc->set.pool),
                 LOG_S ("by", wrk->rep.id), LOG_I ("token", plc->set.token));
      break;
    case ORDER_NO_ANSWER:
      if (run->state == RUN_STARTING)
        start_unanswered (plc, run);
      break;
    case ORDER_NOT_SENT:
      if (run->start_tries > 1)
        start_unanswered (plc, run);
      else if (run->state == RUN_STARTING)
        start_refused (plc, run, wrk, res->status, now_us);
      break;
    default:
      /* An earlier try without an answer may have begun and ended; its end is
         listed by the next hold.  */
      if (run->start_tries > 1)
        placer_stop_run (plc, run);
      else if (run->state == RUN_STARTING)
        start_refused (plc, run, wrk, res->status, now_us);
      break;
    }
  order_over (ctx);
}

static void
send_start (struct placer *plc, struct run *run)
{
  struct worker *wrk = run->wrk;
  int64_t now_us = clock_now_us (plc->env.clk);
  const struct order_target to = placer_order_target (wrk);
  const struct start_order ord = {
    .task = run->ref,
    .run = run->number,
    .spec = run->job->spec.spec,
    .saved = run->tsk->saved,
    .lease_end_ms = placer_lease_end (plc, wrk, now_us),
    .token = plc->set.token,
  };
  struct order_ctx *ctx = make_ctx (plc, run, wrk);
  run->start_tries++;
  if (!ctx
      || plc->env.lnk->drv->start (plc->env.lnk, &to, &ord, on_start, ctx))
    {
      talloc_free (ctx);
      if (run->start_tries > 1)
        placer_stop_run (plc, run);
      else
        placer_forget_run (plc, run);
      return;
    }
  placer_note_lease (plc, wrk, now_us);
  run->calls++;
  plc->calls++;
  add_open (plc, ctx, now_us);
}

void
placer_start_task (struct placer *plc, struct job *job,
                   const struct task_ref *ref, struct worker *wrk)
{
  struct task *tsk = job_task (job, ref);
  struct run *run = make_run (plc, wrk, job, ref, tsk->last_run + 1);
  if (run)
    send_start (plc, run);
}

static void
on_stop (void *arg, const struct order_result *res)
{
  struct order_ctx *ctx = arg;
  struct placer *plc = ctx->plc;
  struct worker *wrk;
  if (!order_back (ctx, res, &wrk))
    {
      order_over (ctx);
      return;
    }
  if (ctx->run && !ctx->run->gone)
    {
      ctx->run->stop_sent = false;
      /* Any other answer, or none, leaves it wanted; it is sent again.  */
      if (res->status == ORDER_DONE)
        {
          ctx->run->stopped_us = clock_now_us (plc->env.clk);
          wrk->next_hold_us = 0;
        }
    }
  if (res->status == ORDER_FENCED)
    plc->fenced = true;
  order_over (ctx);
}

static bool
send_stop (struct placer *plc, struct worker *wrk, struct run *run,
           const struct task_ref *ref, uint32_t number)
{
  const struct order_target to = placer_order_target (wrk);
  const struct stop_order ord
      = { .task = *ref, .run = number, .token = plc->set.token };
  struct order_ctx *ctx = make_ctx (plc, run, wrk);
  if (!ctx || plc->env.lnk->drv->stop (plc->env.lnk, &to, &ord, on_stop, ctx))
    {
      talloc_free (ctx);
      return false;
    }
  if (run)
    run->calls++;
  plc->calls++;
  return true;
}

void
placer_stop_unknown (struct placer *plc, struct worker *wrk,
                     const struct task_ref *ref, uint32_t number)
{
  char name[TASK_NAME_MAX];
  task_ref_format (ref, name);
  log_event (plc->env.lg, EV_RUN_STOPPED, LOG_S ("task", name),
             LOG_I ("run", number), LOG_S ("worker", wrk->rep.id),
             LOG_S ("reason", "not_wanted"));
  send_stop (plc, wrk, NULL, ref, number);
}

void
placer_stop_run (struct placer *plc, struct run *run)
{
  if (run->stop_wanted)
    return;
  run->stop_wanted = true;
  run->state = RUN_STOPPING;
  placer_send_stops (plc, run->wrk);
}

void
placer_send_stops (struct placer *plc, struct worker *wrk)
{
  for (struct run *run = wrk->runs; run; run = run->next)
    if (run->stop_wanted && !run->stop_sent && !run->stopped_us
        && send_stop (plc, wrk, run, &run->ref, run->number))
      run->stop_sent = true;
}
