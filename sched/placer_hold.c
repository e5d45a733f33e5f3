#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "sched/placer_record.h"

/* Sends holds to workers and applies the answers.  A hold is a long poll: it
   extends the leases on a worker, acknowledges ends of runs, and lists the
   runs there and those that have ended.  */

/* Longest time for which a worker delays its answer to a hold while no run
   ends.  Leases are extended once in this time.  */
#define HOLD_WAIT_MS 1000
/* The same while a stop of a run that may never have started has no answer.
   The next hold shows whether the run is there.  */
#define HOLD_WAIT_STOP_MS 50
/* Least time between an answer that lists ends and the next hold, so that one
   answer lists several ends.  */
#define HOLD_INTERVAL_MIN_US 30000
/* The same while the limit of starts in flight delays tasks: a hold costs the
   owner as much processor time as a start, and there are as many at 150 ms. */
#define HOLD_INTERVAL_START_LIMIT_US 300000
/* Time between holds to a worker that was restarted, until the runs of its
   earlier instance are given up.  */
#define HOLD_ENDED_INTERVAL_US 50000
/* Pause after a hold that failed.  */
#define HOLD_RETRY_US 250000
/* Longest time until the next hold while ends are not in the log yet.  */
#define HOLD_UNFLUSHED_RETRY_US 250000
/* A worker without runs is asked for its clock when the last answer is
   older.  */
#define CLOCK_READ_AGE_MAX_US 10000000
/* Some are asked earlier by a multiple of this time, so that not all workers
   of a pool that were asked at once, as at a takeover, are asked at once
   again.  */
#define CLOCK_READ_SPREAD_US 200000
#define CLOCK_READ_SPREAD_STEPS 20
/* The same if it may carry out a late start: until the owner knows the next
   instance, that one does not refuse it.  */
#define LATE_START_AGE_MAX_US 500000
/* Consecutive failed runs after which a worker gets no new tasks for
   AVOID_FIRST_US.  With each further failure the time doubles, up to
   AVOID_MAX_US.  */
#define FAIL_STREAK_LIMIT 3
#define AVOID_FIRST_US 3000000
#define AVOID_MAX_US 24000000

struct hold_ctx
{
  struct placer *plc;
  uint32_t worker; /* handle */
  int64_t born_ms; /* start of the instance that the hold was sent to */
  struct timed_call call;
  uint64_t last_seen; /* ends up to this number are acknowledged */
};

void
placer_note_answer (struct placer *plc, struct worker *wrk,
                    const struct timed_call *call,
                    const struct command_result *res)
{
  if (res->status == COMMAND_NO_ANSWER)
    placer_note_unanswered (plc, wrk, call);
  /* Another instance at the address is not an answer of this one.  */
  if (res->status == COMMAND_NO_ANSWER || res->status == COMMAND_NOT_SENT
      || res->status == COMMAND_OTHER_INSTANCE)
    {
      wrk->unanswered_calls++;
      wrk->instance_seen = false;
      wrk->unlisted = true;
      return;
    }
  wrk->unanswered_calls = 0;
  wrk->address_taken = false;
  if (res->clock_ms > 0 && placer_note_clock (plc, wrk, call, res->clock_ms)
      && res->status == COMMAND_DONE && !wrk->first_answer_us)
    wrk->first_answer_us = clock_now_us (plc->env.clk);
}

static void
note_failed_run (struct placer *plc, struct worker *wrk, int64_t now_us)
{
  if (++wrk->fail_streak < FAIL_STREAK_LIMIT)
    return;
  wrk->avoid_span_us
      = wrk->avoid_span_us ? wrk->avoid_span_us * 2 : AVOID_FIRST_US;
  if (wrk->avoid_span_us > AVOID_MAX_US)
    wrk->avoid_span_us = AVOID_MAX_US;
  wrk->failing_until_us = now_us + wrk->avoid_span_us;
  /* One further failure is enough for the next back-off.  */
  wrk->fail_streak = FAIL_STREAK_LIMIT - 1;
  log_event (plc->env.lg, EV_WORKER_AVOIDED, LOG_S ("worker", wrk->rep.id),
             LOG_S ("reason", "failed_runs"),
             LOG_I ("for_ms", wrk->avoid_span_us / 1000));
}

static void
store_checkpoint (struct job *job, const struct task_ref *ref,
                  struct task *tsk, const char *checkpoint)
{
  if (!*checkpoint || !job->spec.steps[ref->step].checkpoints)
    return;
  if (tsk->checkpoint && strcmp (tsk->checkpoint, checkpoint) == 0)
    return;
  talloc_free (tsk->checkpoint);
  tsk->checkpoint = talloc_strdup (job, checkpoint);
}

static void
log_end (struct placer *plc, const struct worker *wrk,
         const struct ended_row *row)
{
  static const char *const names[] = {
    [RUN_END_DONE] = "done",          [RUN_END_FAILED] = "failed",
    [RUN_END_STOPPED] = "stopped",    [RUN_END_LEASE_EXPIRED] = "lapsed",
    [RUN_END_GANG_BROKEN] = "broken", [RUN_END_GANG_INCOMPLETE] = "alone",
  };
  char name[TASK_NAME_MAX];
  task_ref_format (&row->task, name);
  log_event (plc->env.lg, EV_RUN_ENDED, LOG_S ("task", name),
             LOG_I ("run", row->run), LOG_S ("worker", wrk->rep.id),
             LOG_S ("end", names[row->end]), LOG_I ("number", row->number));
}

/* Records the failed run of ROW.  Returns false if it is recorded already.  */
static bool
add_failure (struct job *job, const struct worker *wrk,
             const struct ended_row *row)
{
  const struct step *stp = &job->spec.steps[row->task.step];
  /* The members of a gang fail together, on several workers; the first member
     counts the failed runs.  */
  uint64_t key
      = stp->gang ? job_failure_key ("", 0, row->run)
                  : job_failure_key (wrk->rep.id, wrk->rep.born_ms, row->run);
  return job_add_failure (job, row->task.occurrence,
                          stp->first_task + (stp->gang ? 0 : row->task.index),
                          key, false);
}

/* Applies the end of a run to its job.  The run may be an earlier one than the
   task's current run, or may have been started by an earlier owner.  */
static void
apply_end (struct placer *plc, struct worker *wrk, const struct ended_row *row,
           int64_t now_us)
{
  struct job *job = placer_find_job (plc, row->task.job);
  struct task *tsk = job ? job_task (job, &row->task) : NULL;
  log_end (plc, wrk, row);
  if (!tsk)
    return;
  const struct step *stp = &job->spec.steps[row->task.step];
  struct run *run = placer_find_run (wrk, &row->task, row->run);
  placer_note_started (plc, job);
  if (run)
    run->start_settled = true;
  else
    placer_drop_late_start (plc, wrk, &row->task, row->run);
  store_checkpoint (job, &row->task, tsk, row->checkpoint);
  if (row->run > tsk->prg.last_run)
    tsk->prg.last_run = row->run;
  /* A successor that does not know the number would use it again.  */
  if (tsk->prg.last_run > tsk->logged.last_run)
    placer_mark_dirty (plc, job);
  if (row->end == RUN_END_DONE)
    {
      wrk->fail_streak = 0;
      wrk->avoid_span_us = 0;
    }
  else if (row->end == RUN_END_FAILED)
    {
      note_failed_run (plc, wrk, now_us);
      tsk->avoid_worker = wrk->handle;
    }
  if (row->end == RUN_END_DONE && !stp->perpetual)
    {
      job_mark_task_done (job, &row->task);
      if (stp->gang)
        placer_mark_gang_done (plc, job, &row->task);
      placer_mark_dirty (plc, job);
      if (tsk->run && tsk->run != run)
        placer_stop_run (plc, tsk->run);
    }
  else if (row->end == RUN_END_FAILED && !stp->perpetual
           && add_failure (job, wrk, row))
    placer_mark_dirty (plc, job);
  if (run)
    {
      tsk->ended_us = now_us;
      placer_remove_run (plc, run);
    }
  placer_task_ended (plc, job, &row->task);
}

/* Updates a run that the worker lists, adopts it if its task has no run here,
   or stops it if it is not wanted.  */
static void
apply_running (struct placer *plc, struct worker *wrk,
               const struct running_row *row, int64_t sent_us, int64_t now_us)
{
  struct job *job = placer_find_job (plc, row->task.job);
  struct task *tsk = job ? job_task (job, &row->task) : NULL;
  if (!tsk)
    {
      placer_stop_unknown (plc, wrk, &row->task, row->run);
      /* The run uses resources until the worker no longer lists it.  Without
         its job the amount is not known, so the worker is taken as full.  */
      wrk->unknown = wrk->rep.capacity;
      return;
    }
  struct run *run = placer_find_run (wrk, &row->task, row->run);
  if (!run)
    placer_drop_late_start (plc, wrk, &row->task, row->run);
  /* A run is adopted whatever its number is: owners whose runs were not
     recorded in time may have used the same numbers or higher ones.  */
  if (!run && !placer_has_runs (tsk) && !job_ended (job) && !tsk->prg.done)
    run = placer_adopt (plc, wrk, job, &row->task, row->run);
  else if (!run)
    run = placer_stop_unwanted (plc, wrk, job, &row->task, row->run);
  if (!run)
    return;
  placer_note_not_unsent (plc, run);
  placer_note_started (plc, job);
  if (run->start_unanswered && !run->start_settled)
    plc->late_starts_changed = true;
  placer_keep_listed_start (run);
  if (!run->confirmed_us)
    run->confirmed_us = now_us;
  if (run->state == RUN_STARTING)
    run->state = RUN_ACTIVE;
  run->start_settled = true;
  run->percent = row->percent;
  run->listed_us = sent_us;
  run->seen_us = now_us;
  store_checkpoint (job, &row->task, tsk, row->checkpoint);
}

/* Whether the start of RUN cannot be carried out after AT_US.  */
static bool
start_is_over (const struct run *run, int64_t at_us)
{
  return run->start_settled || at_us > run->start_sent_us + LATE_CALL_MAX_US;
}

/* Removes the runs that the worker does not list although it had confirmed
   them, or had acknowledged their stop, before the hold was sent, or although
   all leases had EXPIRED by then.  */
static void
drop_unlisted_runs (struct placer *plc, struct worker *wrk, int64_t sent_us,
                    bool expired, int64_t now_us)
{
  struct run *next;
  for (struct run *run = wrk->runs; run; run = next)
    {
      next = run->next;
      if (run->listed_us == sent_us || run->unsent)
        continue;
      bool confirmed = run->confirmed_us && run->confirmed_us < sent_us;
      bool stopped = run->stopped_us && run->stopped_us < sent_us;
      if (!confirmed && !stopped && !(expired && start_is_over (run, sent_us)))
        continue;
      char name[TASK_NAME_MAX];
      task_ref_format (&run->ref, name);
      log_event (plc->env.lg, EV_RUN_LOST, LOG_S ("task", name),
                 LOG_I ("run", run->number), LOG_S ("worker", wrk->rep.id),
                 LOG_S ("reason", expired   ? "lease_expired"
                                  : stopped ? "stopped"
                                            : "not_listed"));
      run->tsk->ended_us = now_us;
      placer_remove_run (plc, run);
    }
}

/* Applies the ends that are not known yet.  Returns whether there were any. */
static bool
apply_ends (struct placer *plc, struct worker *wrk,
            const struct hold_result *res, int64_t now_us)
{
  bool ends = false;
  for (size_t n = 0; n < res->ended_count; n++)
    {
      const struct ended_row *row = &res->ended[n];
      /* It has not forgotten an end that was acknowledged.  */
      if (row->number > 0 && row->number <= wrk->acked_end)
        wrk->acked_end = row->number - 1;
      if (row->number <= wrk->applied_end)
        continue;
      if (row->end != RUN_END_UNREADABLE)
        apply_end (plc, wrk, row, now_us);
      wrk->applied_end = row->number;
      ends = true;
    }
  return ends;
}

/* Whether all leases on WRK had expired at AT_US, and no later owner could
   have extended them.  */
static bool
leases_expired (const struct placer *plc, const struct worker *wrk,
                int64_t at_us)
{
  int64_t end_us = placer_leases_end_us (plc, wrk);
  return at_us > end_us && plc->confirmed_us > end_us;
}

/* Takes the list of runs in an answer to a hold.  */
static void
apply_rows (struct placer *plc, struct worker *wrk, const struct hold_ctx *ctx,
            const struct hold_result *res, int64_t now_us)
{
  int64_t sent_us = ctx->call.sent_us;
  wrk->unknown = (struct resources){ 0 };
  for (size_t n = 0; n < res->running_count; n++)
    apply_running (plc, wrk, &res->running[n], sent_us, now_us);
  if (!worker_has_unknown_runs (wrk))
    wrk->unknown_since_us = 0;
  else if (!wrk->unknown_since_us)
    wrk->unknown_since_us = now_us;
  /* A row that cannot be read may be a run that is not listed, as long as
     there are leases.  */
  bool expired = leases_expired (plc, wrk, sent_us);
  if (!res->ended_truncated && (!res->incomplete || expired))
    drop_unlisted_runs (plc, wrk, sent_us, expired, now_us);
  if (res->ended_truncated)
    return;
  placer_stop_unlisted_starts (plc, wrk);
  if (res->incomplete)
    return;
  placer_end_late_starts (plc, wrk, sent_us);
  wrk->unlisted = false;
}

static void
apply_hold (struct placer *plc, struct worker *wrk, const struct hold_ctx *ctx,
            const struct hold_result *res, int64_t now_us)
{
  bool restarted = res->born_ms > 0 && wrk->rep.born_ms > 0
                   && res->born_ms != wrk->rep.born_ms;
  if (restarted && !wrk->ended_us)
    wrk->ended_us = now_us;
  else if (!restarted)
    wrk->ended_us = 0;
  /* The answer shows which instance it is.  */
  wrk->reported_ended = false;
  wrk->instance_seen = !restarted;
  if (!placer_settle_instance (plc, wrk, res->born_ms))
    {
      wrk->next_hold_us = now_us + HOLD_ENDED_INTERVAL_US;
      return;
    }
  if (res->born_ms > 0 && res->born_ms != wrk->rep.born_ms)
    {
      wrk->rep.born_ms = res->born_ms;
      wrk->known_us = now_us;
    }
  wrk->instance_seen = true;
  if (!wrk->first_answer_us)
    wrk->first_answer_us = now_us;
  /* The answer may have waited for this process.  */
  int64_t answered_us
      = ctx->call.sent_us + HOLD_WAIT_MS * 1000 + ANSWER_TRANSIT_US;
  wrk->hold_answered_us = now_us < answered_us ? now_us : answered_us;
  /* A row that cannot be read may be a run of an earlier owner.  */
  if (!wrk->reached && (!res->incomplete || plc->takeover_done))
    {
      wrk->reached = true;
      log_event (plc->env.lg, EV_WORKER_REACHED, LOG_S ("worker", wrk->rep.id),
                 LOG_S ("host", wrk->rep.host), LOG_S ("pool", plc->set.pool),
                 LOG_I ("running", res->running_count),
                 LOG_I ("ended", res->ended_count));
    }
  if (!wrk->settled && !res->incomplete
      && ctx->call.sent_us >= placer_earlier_starts_end_us (plc))
    {
      wrk->settled = true;
      placer_drop_earlier_worker (plc, wrk->rep.id);
    }
  if (ctx->born_ms == wrk->rep.born_ms && ctx->last_seen > wrk->acked_end)
    wrk->acked_end = ctx->last_seen;
  if (res->incomplete && !wrk->hold_incomplete)
    log_event (plc->env.lg, EV_WORKER_HOLD_INCOMPLETE,
               LOG_S ("worker", wrk->rep.id), LOG_S ("pool", plc->set.pool),
               LOG_I ("running", res->running_count),
               LOG_I ("ended", res->ended_count));
  wrk->hold_incomplete = res->incomplete;
  bool ends = apply_ends (plc, wrk, res, now_us);
  apply_rows (plc, wrk, ctx, res, now_us);
  wrk->hold_not_before_us = now_us;
  if (ends)
    wrk->hold_not_before_us += plc->start_limit_reached
                                   ? HOLD_INTERVAL_START_LIMIT_US
                                   : HOLD_INTERVAL_MIN_US;
  wrk->next_hold_us = wrk->applied_end > wrk->durable_end
                          ? now_us + HOLD_UNFLUSHED_RETRY_US
                          : wrk->hold_not_before_us;
  /* The worker answers at once while it has an end that is not acknowledged,
     as one without a number, while its clock is not known, or while its leases
     are withheld.  */
  if (res->incomplete || wrk->clock_ms == 0 || wrk->leases_withheld)
    wrk->next_hold_us = now_us + HOLD_RETRY_US;
}

/* Whether the answer RES comes from an instance that has been given up since
   the hold was sent, or from one between that and the present one.  It tells
   nothing about the present one.  */
static bool
is_late_answer (const struct worker *wrk, const struct hold_ctx *ctx,
                const struct hold_result *res)
{
  return res->command.status == COMMAND_DONE && res->born_ms > 0
         && ctx->born_ms != wrk->rep.born_ms
         && res->born_ms != wrk->rep.born_ms;
}

/* Whether the numbers of ends that are known here belong to the instance that
   the next hold reaches.  A new instance would forget ends that it has
   numbered anew.  */
static bool
ends_are_current (const struct worker *wrk)
{
  return wrk->instance_seen && wrk->reported_born_ms <= wrk->rep.born_ms;
}

static bool
may_send_hold (void *arg)
{
  const struct hold_ctx *ctx = arg;
  return placer_may_command (ctx->plc, clock_now_us (ctx->plc->env.clk));
}

/* Whether all runs of WRK were started before AT_US.  */
static bool
runs_began_before (const struct worker *wrk, int64_t at_us)
{
  const struct run *run = wrk->runs;
  while (run && run->start_sent_us < at_us && run->confirmed_us < at_us)
    run = run->next;
  return !run;
}

/* Another worker has answered a hold at the address of WRK.  */
static void
note_other_instance (struct placer *plc, struct worker *wrk, int64_t sent_us)
{
  if (!wrk->ended_us && wrk->runs)
    log_event (plc->env.lg, EV_WORKER_CHANGED, LOG_S ("worker", wrk->rep.id),
               LOG_S ("state", "address_taken"), LOG_S ("host", wrk->rep.host),
               LOG_S ("address", wrk->rep.address));
  if (!wrk->ended_us)
    wrk->ended_us = clock_now_us (plc->env.clk);
  wrk->address_taken = runs_began_before (wrk, sent_us);
  placer_settle_reported_end (plc, wrk);
}

static void
on_hold (void *arg, const struct hold_result *res)
{
  struct hold_ctx *ctx = arg;
  struct placer *plc = ctx->plc;
  struct worker *wrk
      = plc->closing ? NULL : placer_find_worker (plc, ctx->worker);
  /* Whichever instance has granted it, and also if the runs of the earlier one
     cannot be given up yet: the lease holds for what is started there.  */
  if (wrk && res->command.status == COMMAND_DONE)
    placer_note_grant (plc, wrk, ctx->call.lease_end_ms, &res->command,
                       clock_now_us (plc->env.clk));
  if (wrk)
    placer_note_generation (plc, wrk, &ctx->call, res->command.status);
  if (wrk && ctx->last_seen > 0)
    wrk->acks_in_flight_us = 0;
  if (wrk && ctx->last_seen > 0 && res->command.status == COMMAND_NO_ANSWER)
    placer_note_late_acks (wrk, &ctx->call);
  if (wrk && is_late_answer (wrk, ctx, res))
    {
      wrk->hold_in_flight = false;
      wrk->next_hold_us = 0;
      plc->env.wake (plc->env.arg);
    }
  else if (wrk)
    {
      int64_t now_us = clock_now_us (plc->env.clk);
      wrk->hold_in_flight = false;
      if (res->command.status != COMMAND_NOT_SENT || may_send_hold (ctx))
        placer_note_answer (plc, wrk, &ctx->call, &res->command);
      /* A worker that refuses a hold has extended no lease.  */
      if (res->command.status == COMMAND_WORKER_BUSY
          || res->command.status == COMMAND_REJECTED)
        wrk->unanswered_calls++;
      wrk->next_hold_us = now_us + HOLD_RETRY_US;
      if (res->command.status != COMMAND_DONE && !wrk->hold_failure_logged)
        log_event (plc->env.lg, EV_WORKER_HOLD_FAILED,
                   LOG_S ("worker", wrk->rep.id),
                   LOG_S ("pool", plc->set.pool),
                   LOG_I ("status", res->command.status),
                   LOG_I ("lease_left_ms",
                          (placer_leases_end_us (plc, wrk) - now_us) / 1000));
      wrk->hold_failure_logged = res->command.status != COMMAND_DONE;
      if (res->command.status == COMMAND_DONE)
        apply_hold (plc, wrk, ctx, res, now_us);
      else if (res->command.status == COMMAND_OTHER_INSTANCE)
        note_other_instance (plc, wrk, ctx->call.sent_us);
      else if (res->command.status == COMMAND_FENCED
               && !placer_fenced_by_own (wrk, &ctx->call))
        placer_fenced_by_worker (plc, wrk);
      placer_check_overdue (plc, wrk);
      plc->env.wake (plc->env.arg);
    }
  talloc_free (ctx);
  placer_release_call (plc);
}

/* Whether the worker's clock was read so long ago that leases by its slowest
   possible speed would be short.  */
static bool
clock_read_due (const struct worker *wrk, int64_t now_us)
{
  int64_t most_us
      = CLOCK_READ_AGE_MAX_US
        - wrk->handle % CLOCK_READ_SPREAD_STEPS * CLOCK_READ_SPREAD_US;
  /* The list that a worker sends after that time ends the late starts.  */
  if (wrk->clock_sent_us <= wrk->late_starts_us)
    most_us = LATE_START_AGE_MAX_US;
  return wrk->registered && now_us - wrk->clock_read_us > most_us;
}

/* Whether WRK has to be asked for runs of earlier owners, which start nothing
   any more.  */
static bool
settling_due (const struct placer *plc, const struct worker *wrk,
              int64_t now_us)
{
  return !wrk->settled && now_us >= placer_earlier_starts_end_us (plc);
}

/* Longest time for which a hold may wait for the end of a run of WRK.  A run
   that is stopped and may never have started there has no end to wait for.  */
static int64_t
end_wait_ms (const struct worker *wrk)
{
  int64_t wait_ms = HOLD_WAIT_MS;
  for (const struct run *run = wrk->runs; run; run = run->next)
    if ((run->stopped_us && !run->confirmed_us)
        || (run->start_unanswered && run->state == RUN_STARTING))
      return 0;
    else if (run->stop_wanted && !run->confirmed_us)
      wait_ms = HOLD_WAIT_STOP_MS;
  return wait_ms;
}

/* Whether a run was started on WRK, or found there, and its end is not
   known.  */
static bool
has_started_runs (const struct worker *wrk)
{
  const struct run *run = wrk->runs;
  while (run && run->unsent)
    run = run->next;
  return run != NULL;
}

/* Longest time for which WRK may delay its answer to a hold.  */
static int64_t
hold_wait_ms (const struct placer *plc, const struct worker *wrk,
              int64_t now_us)
{
  int64_t starts_end_us = placer_earlier_starts_end_us (plc);
  if (!wrk->reached || wrk->unanswered_calls > 0 || wrk->ended_us
      || wrk->leases_withheld || settling_due (plc, wrk, now_us))
    return 0;
  /* Without runs the answer would come at the end of its delay, and until then
     the ends do not count as acknowledged.  */
  if (!has_started_runs (wrk) && !worker_has_unknown_runs (wrk))
    return 0;
  int64_t wait_ms = end_wait_ms (wrk);
  /* The next hold is due then.  */
  if (!wrk->settled && starts_end_us < now_us + wait_ms * 1000)
    return (starts_end_us - now_us) / 1000;
  return wait_ms;
}

static bool
hold_needed (const struct placer *plc, const struct worker *wrk,
             int64_t now_us)
{
  if (settling_due (plc, wrk, now_us) || clock_read_due (wrk, now_us))
    return true;
  /* Check whether a worker that is reported as ended still answers.  */
  if (wrk->ended_us && wrk->registered)
    return true;
  /* A silent worker, or one whose clock is not known, gets no tasks until it
     answers.  One that answers again may run late starts.  */
  if ((wrk->unanswered_calls > 0 || wrk->unlisted || wrk->clock_ms == 0)
      && wrk->registered)
    return true;
  /* It is taken as full until it no longer lists a run without a known
     job.  */
  if (worker_has_unknown_runs (wrk) || wrk->leases_withheld)
    return true;
  return !wrk->reached || has_started_runs (wrk)
         || wrk->acked_end < wrk->durable_end
         || wrk->applied_end > wrk->durable_end;
}

void
placer_hold (struct placer *plc, struct worker *wrk, int64_t now_us)
{
  if (wrk->reported_ended || wrk->address_taken)
    placer_settle_reported_end (plc, wrk);
  /* A later owner could have extended the leases, so the runs are given up
     only if ownership was confirmed after the leases had expired.  */
  if (wrk->runs && wrk->unanswered_calls > 0
      && plc->confirmed_us > placer_leases_end_us (plc, wrk))
    placer_drop_expired_runs (plc, wrk);
  if (wrk->hold_in_flight || now_us < wrk->next_hold_us)
    return;
  if (!hold_needed (plc, wrk, now_us))
    {
      wrk->instance_seen = false;
      return;
    }
  struct hold_ctx *ctx = talloc_zero (plc, struct hold_ctx);
  if (!ctx)
    return;
  ctx->plc = plc;
  ctx->worker = wrk->handle;
  ctx->born_ms = wrk->rep.born_ms;
  /* The next instance may carry the hold out, and would forget ends that
     nobody has read: ends are acknowledged no more often than needed, and by a
     hold that does not wait, so that starts need not wait for it for long.  */
  if (ends_are_current (wrk) && wrk->durable_end > wrk->acked_end)
    ctx->last_seen = wrk->durable_end;
  /* Do not extend the leases of a silent worker: each extension that may still
     arrive would delay the time at which its runs have certainly ended.  One
     that has not answered yet may have restarted since its report.  An idle
     one is asked for late starts only.  */
  bool extend = wrk->clock_ms > 0 && wrk->unanswered_calls == 0
                && !wrk->leases_withheld
                && (has_started_runs (wrk) || now_us >= wrk->late_starts_us);
  ctx->call = placer_timed_call (
      wrk, now_us, extend ? placer_lease_end_ms (plc, wrk, now_us) : 0);
  const struct command_target to = placer_command_target (wrk, may_send_hold);
  const struct hold_command cmd = {
    .token = placer_command_token (plc, wrk),
    .last_seen = ctx->last_seen,
    .lease_end_ms = ctx->call.lease_end_ms,
    .wait_ms = ctx->last_seen > 0 ? 0 : hold_wait_ms (plc, wrk, now_us),
  };
  if (plc->env.lnk->drv->hold (plc->env.lnk, &to, &cmd, on_hold, ctx))
    {
      talloc_free (ctx);
      wrk->next_hold_us = now_us + HOLD_RETRY_US;
      return;
    }
  if (ctx->call.lease_end_ms > 0)
    placer_note_lease (plc, wrk, now_us);
  wrk->hold_in_flight = true;
  if (ctx->last_seen > 0)
    {
      wrk->acks_in_flight_us = now_us;
      wrk->acks_generation = ctx->call.generation;
    }
  plc->calls_in_flight++;
  counter_add (plc->env.ctr, CTR_HOLDS, 1);
}
