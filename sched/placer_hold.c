#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "sched/placer_priv.h"

/* The worker holds the answer open for an end so long; leases are extended
   once in this time.  */
#define HOLD_WAIT_MS 1000
/* Shortest time between an answer with ends and the next hold, so that ends
   come in groups.  */
#define HOLD_GAP_US 30000
/* The same while the owner has more starts to send than it can: each hold
   costs it as much as a start.  */
#define HOLD_GAP_FULL_US 150000
/* Holds to a worker that started again, until its earlier runs are given up.
 */
#define ENDED_GAP_US 50000
/* Pause after a hold without an answer.  */
#define HOLD_RETRY_US 250000
/* A hold is tried again at the latest after this time while ends wait for the
   log.  */
#define HOLD_FLUSH_US 250000
/* The answer's way.  */
#define LEASE_SLACK_US 100000
/* Failed runs in a row after which a worker gets no new tasks for a time,
   which doubles up to the bound each time that it fails again.  */
#define FAIL_STREAK 3
#define AVOID_FIRST_US 3000000
#define AVOID_MAX_US 24000000

struct hold_ctx
{
  struct placer *plc;
  uint32_t worker;
  int64_t sent_us;
  int64_t lease_end_ms;
  uint64_t last_seen;
};

static int64_t
with_slack (int64_t span_us)
{
  return span_us + span_us * CLOCK_SLOW_PERCENT / 100 + LEASE_SLACK_US;
}

int64_t
placer_lease_end (const struct placer *plc, const struct worker *wrk,
                  int64_t now_us)
{
  return wrk->clock_ms + (now_us - wrk->clock_us) / 1000 + plc->set.lease_ms;
}

void
placer_note_lease (struct placer *plc, struct worker *wrk, int64_t now_us)
{
  /* The estimate of the worker's clock may run ahead of it by the share that
     the clock is slow.  */
  int64_t drift_us = (now_us - wrk->clock_us) * CLOCK_SLOW_PERCENT / 100;
  int64_t until_us = now_us + drift_us + with_slack (plc->set.lease_ms * 1000);
  if (until_us > wrk->lease_us)
    wrk->lease_us = until_us;
}

void
placer_note_answer (struct placer *plc, struct worker *wrk,
                    const struct order_result *res)
{
  if (res->status == ORDER_NO_ANSWER || res->status == ORDER_NOT_SENT)
    {
      wrk->failures++;
      return;
    }
  wrk->failures = 0;
  if (res->clock_ms > 0)
    {
      wrk->clock_ms = res->clock_ms;
      wrk->clock_us = clock_now_us (plc->env.clk);
    }
}

/* All that ran on WRK has ended without being listed.  */
static void
lose_runs (struct placer *plc, struct worker *wrk, const char *reason)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  while (wrk->runs)
    {
      struct run *run = wrk->runs;
      char name[TASK_NAME_MAX];
      task_ref_format (&run->ref, name);
      log_event (plc->env.lg, EV_RUN_LOST, LOG_S ("task", name),
                 LOG_I ("run", run->number), LOG_S ("worker", wrk->rep.id),
                 LOG_S ("reason", reason));
      counter_add (plc->env.ctr, CTR_RUNS_LOST, 1);
      run->tsk->ended_us = now_us;
      placer_forget_run (plc, run);
    }
}

static void
worker_failed_run (struct placer *plc, struct worker *wrk, int64_t now_us)
{
  if (++wrk->fail_streak < FAIL_STREAK)
    return;
  wrk->avoid_span_us
      = wrk->avoid_span_us ? wrk->avoid_span_us * 2 : AVOID_FIRST_US;
  if (wrk->avoid_span_us > AVOID_MAX_US)
    wrk->avoid_span_us = AVOID_MAX_US;
  wrk->avoid_until_us = now_us + wrk->avoid_span_us;
  /* One further failure sets it aside again.  */
  wrk->fail_streak = FAIL_STREAK - 1;
  log_event (plc->env.lg, EV_WORKER_AVOIDED, LOG_S ("worker", wrk->rep.id),
             LOG_S ("reason", "failed_runs"),
             LOG_I ("for_ms", wrk->avoid_span_us / 1000));
}

static void
keep_checkpoint (struct job *job, const struct task_ref *ref, struct task *tsk,
                 const char *saved)
{
  if (!*saved || !job->spec.steps[ref->step].checkpoints)
    return;
  if (tsk->saved && strcmp (tsk->saved, saved) == 0)
    return;
  talloc_free (tsk->saved);
  tsk->saved = talloc_strdup (job, saved);
}

static void
log_end (struct placer *plc, const struct worker *wrk,
         const struct ended_row *row)
{
  static const char *const names[] = {
    [RUN_DONE] = "done",       [RUN_FAILED] = "failed",
    [RUN_STOPPED] = "stopped", [RUN_LAPSED] = "lapsed",
    [RUN_BROKEN] = "broken",   [RUN_ALONE] = "alone",
  };
  char name[TASK_NAME_MAX];
  task_ref_format (&row->task, name);
  log_event (plc->env.lg, EV_RUN_ENDED, LOG_S ("task", name),
             LOG_I ("run", row->run), LOG_S ("worker", wrk->rep.id),
             LOG_S ("end", names[row->end]), LOG_I ("number", row->number));
}

/* A gang's failed runs are counted with its first member.  */
static struct task *
first_member (struct job *job, const struct task_ref *ref)
{
  struct task_ref first = *ref;
  first.index = 0;
  return job_task (job, &first);
}

static void
apply_end (struct placer *plc, struct worker *wrk, const struct ended_row *row,
           int64_t now_us)
{
  struct job *job = job_table_find (plc->env.jobs, row->task.job);
  struct task *tsk = job ? job_task (job, &row->task) : NULL;
  log_end (plc, wrk, row);
  if (!tsk)
    return;
  const struct step *stp = &job->spec.steps[row->task.step];
  struct run *run = tsk->run;
  bool current = run && run->wrk == wrk && run->number == row->run;
  keep_checkpoint (job, &row->task, tsk, row->saved);
  if (row->run > tsk->last_run)
    tsk->last_run = row->run;
  if (row->end == RUN_DONE)
    {
      wrk->fail_streak = 0;
      wrk->avoid_span_us = 0;
    }
  else if (row->end == RUN_FAILED)
    {
      worker_failed_run (plc, wrk, now_us);
      tsk->avoid_worker = wrk->handle;
    }
  if (row->end == RUN_DONE && !stp->perpetual)
    {
      job_mark_done (job, &row->task);
      if (stp->gang)
        placer_gang_done (plc, job, &row->task);
      placer_mark_dirty (plc, job);
      if (run && !current)
        placer_stop_run (plc, run);
    }
  else if (row->end == RUN_FAILED && !stp->perpetual
           && task_add_failure (
               stp->gang ? first_member (job, &row->task) : tsk, row->run))
    placer_mark_dirty (plc, job);
  if (current)
    {
      tsk->ended_us = now_us;
      placer_forget_run (plc, run);
    }
  placer_task_ended (plc, job, &row->task);
}

static void
apply_running (struct placer *plc, struct worker *wrk,
               const struct running_row *row, int64_t sent_us, int64_t now_us)
{
  struct job *job = job_table_find (plc->env.jobs, row->task.job);
  struct task *tsk = job ? job_task (job, &row->task) : NULL;
  struct run *run = tsk ? tsk->run : NULL;
  if (tsk && !run && !job_ended (job) && !tsk->done
      && row->run >= tsk->last_run)
    run = placer_adopt (plc, wrk, job, &row->task, row->run);
  if (!run || run->wrk != wrk || run->number != row->run)
    {
      placer_stop_unknown (plc, wrk, &row->task, row->run);
      /* It takes room until it is listed no more; how much is known only with
         its job.  */
      if (tsk)
        resources_add (&wrk->foreign, &job->spec.steps[row->task.step], 1);
      else
        wrk->foreign = wrk->rep.capacity;
      return;
    }
  if (!run->confirmed_us)
    run->confirmed_us = now_us;
  if (run->state == RUN_STARTING)
    run->state = RUN_ACTIVE;
  run->percent = row->percent;
  run->listed_us = sent_us;
  keep_checkpoint (job, &row->task, tsk, row->saved);
}

/* Runs that the worker has confirmed, or was told to stop, before the hold was
   sent and that it lists no more.  */
static void
drop_unlisted (struct placer *plc, struct worker *wrk, int64_t sent_us,
               int64_t now_us)
{
  struct run *next;
  for (struct run *run = wrk->runs; run; run = next)
    {
      next = run->next;
      if (run->listed_us == sent_us)
        continue;
      bool told = run->confirmed_us && run->confirmed_us < sent_us;
      bool stopped = run->stopped_us && run->stopped_us < sent_us;
      if (!told && !stopped)
        continue;
      char name[TASK_NAME_MAX];
      task_ref_format (&run->ref, name);
      log_event (plc->env.lg, EV_RUN_LOST, LOG_S ("task", name),
                 LOG_I ("run", run->number), LOG_S ("worker", wrk->rep.id),
                 LOG_S ("reason", stopped ? "stopped" : "not_listed"));
      run->tsk->ended_us = now_us;
      placer_forget_run (plc, run);
    }
}

/* Gives up what ran in a life that has ended, once it is certain that no later
   owner had claimed the pool by then: it could have noted their ends.  Returns
   false while that is open.  */
static bool
settle_ended_life (struct placer *plc, struct worker *wrk)
{
  if (!wrk->ended_us)
    return true;
  if (wrk->runs && plc->confirmed_us < wrk->ended_us)
    return false;
  /* What others tell of its life may be wrong while it answers.  */
  if (wrk->over && wrk->reached && wrk->failures == 0)
    return false;
  lose_runs (plc, wrk, "other_life");
  wrk->applied_end = wrk->flushing_end = wrk->durable_end = wrk->seen_end = 0;
  if (wrk->over)
    wrk->listed = false;
  else
    wrk->ended_us = 0;
  return true;
}

static void
apply_hold (struct placer *plc, struct worker *wrk, const struct hold_ctx *ctx,
            const struct hold_result *res, int64_t now_us)
{
  if (res->born_ms > 0 && wrk->rep.born_ms > 0
      && res->born_ms != wrk->rep.born_ms)
    wrk->ended_us = wrk->ended_us ? wrk->ended_us : now_us;
  else
    {
      wrk->ended_us = 0;
      wrk->over = false;
    }
  if (!settle_ended_life (plc, wrk))
    {
      wrk->next_hold_us = now_us + ENDED_GAP_US;
      return;
    }
  if (res->born_ms > 0)
    wrk->rep.born_ms = res->born_ms;
  if (ctx->lease_end_ms > 0 && res->order.clock_ms > 0)
    {
      int64_t span_us = (ctx->lease_end_ms - res->order.clock_ms) * 1000;
      if (now_us + with_slack (span_us) > wrk->lease_us)
        wrk->lease_us = now_us + with_slack (span_us);
    }
  wrk->heard_us = now_us;
  if (!wrk->reached)
    {
      wrk->reached = true;
      placer_earlier_known (plc, wrk->rep.id);
      log_event (plc->env.lg, EV_WORKER_REACHED, LOG_S ("worker", wrk->rep.id),
                 LOG_S ("host", wrk->rep.host), LOG_S ("pool", plc->set.pool),
                 LOG_I ("running", res->running_count),
                 LOG_I ("ended", res->ended_count));
    }
  if (ctx->last_seen > wrk->seen_end)
    wrk->seen_end = ctx->last_seen;
  bool ends = false;
  for (size_t n = 0; n < res->ended_count; n++)
    if (res->ended[n].number > wrk->applied_end)
      {
        apply_end (plc, wrk, &res->ended[n], now_us);
        wrk->applied_end = res->ended[n].number;
        ends = true;
      }
  wrk->foreign = (struct resources){ 0 };
  for (size_t n = 0; n < res->running_count; n++)
    apply_running (plc, wrk, &res->running[n], ctx->sent_us, now_us);
  if (!res->ended_cut)
    drop_unlisted (plc, wrk, ctx->sent_us, now_us);
  wrk->gap_until_us = now_us;
  if (ends)
    wrk->gap_until_us += plc->starts_full ? HOLD_GAP_FULL_US : HOLD_GAP_US;
  wrk->next_hold_us = wrk->applied_end > wrk->durable_end
                          ? now_us + HOLD_FLUSH_US
                          : wrk->gap_until_us;
}

static void
on_hold (void *arg, const struct hold_result *res)
{
  struct hold_ctx *ctx = arg;
  struct placer *plc = ctx->plc;
  struct worker *wrk
      = plc->closing ? NULL : placer_find_worker (plc, ctx->worker);
  if (wrk)
    {
      int64_t now_us = clock_now_us (plc->env.clk);
      wrk->hold_open = false;
      placer_note_answer (plc, wrk, &res->order);
      wrk->next_hold_us = now_us + HOLD_RETRY_US;
      if (res->order.status != ORDER_DONE && !wrk->silent)
        log_event (
            plc->env.lg, EV_WORKER_SILENT, LOG_S ("worker", wrk->rep.id),
            LOG_S ("pool", plc->set.pool), LOG_I ("status", res->order.status),
            LOG_I ("lease_left_ms", (wrk->lease_us - now_us) / 1000));
      wrk->silent = res->order.status != ORDER_DONE;
      if (res->order.status == ORDER_DONE)
        apply_hold (plc, wrk, ctx, res, now_us);
      else if (res->order.status == ORDER_OTHER_LIFE)
        {
          if (!wrk->ended_us)
            wrk->ended_us = now_us;
          settle_ended_life (plc, wrk);
        }
      else if (res->order.status == ORDER_FENCED)
        {
          plc->fenced = true;
          log_event (plc->env.lg, EV_PLACER_FENCED,
                     LOG_S ("pool", plc->set.pool), LOG_S ("by", wrk->rep.id),
                     LOG_I ("token", plc->set.token));
        }
      plc->env.wake (plc->env.arg);
    }
  talloc_free (ctx);
  placer_release_call (plc);
}

static bool
hold_needed (const struct worker *wrk)
{
  /* Whether a worker that is said to have ended answers.  */
  if (wrk->ended_us && wrk->listed)
    return true;
  return !wrk->reached || wrk->runs || wrk->seen_end < wrk->durable_end
         || wrk->applied_end > wrk->durable_end;
}

void
placer_hold (struct placer *plc, struct worker *wrk, int64_t now_us)
{
  if (wrk->over)
    settle_ended_life (plc, wrk);
  /* A later owner may have extended the leases; that none had claimed the pool
     when they ran out is what the last confirmation tells.  */
  if (wrk->runs && wrk->failures > 0 && plc->confirmed_us > wrk->lease_us)
    lose_runs (plc, wrk, "lease_over");
  if (wrk->hold_open || now_us < wrk->next_hold_us || !hold_needed (wrk))
    return;
  struct hold_ctx *ctx = talloc_zero (plc, struct hold_ctx);
  if (!ctx)
    return;
  ctx->plc = plc;
  ctx->worker = wrk->handle;
  ctx->sent_us = now_us;
  ctx->last_seen = wrk->durable_end;
  /* A silent worker is asked without an extension: each one that may still
     arrive would put off the time at which its runs have surely ended.  */
  ctx->lease_end_ms = wrk->clock_ms > 0 && wrk->failures == 0
                          ? placer_lease_end (plc, wrk, now_us)
                          : 0;
  const struct order_target to = placer_order_target (wrk);
  const struct hold_order ord = {
    .token = plc->set.token,
    .last_seen = ctx->last_seen,
    .lease_end_ms = ctx->lease_end_ms,
    .wait_ms
    = wrk->reached && wrk->failures == 0 && !wrk->ended_us ? HOLD_WAIT_MS : 0,
  };
  if (plc->env.lnk->drv->hold (plc->env.lnk, &to, &ord, on_hold, ctx))
    {
      talloc_free (ctx);
      wrk->next_hold_us = now_us + HOLD_RETRY_US;
      return;
    }
  if (ctx->lease_end_ms > 0)
    placer_note_lease (plc, wrk, now_us);
  wrk->hold_open = true;
  plc->calls++;
  counter_add (plc->env.ctr, CTR_HOLDS, 1);
}
