#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "sched/placer_record.h"

/* Ends of worker instances and of leases: which runs are given up, and what
   the next instance under the same id begins with; see
   docs/design/instances.md.  */

/* Whether RUN was started, or was at work, when earlier owners could start
   nothing any more, so that they have started no later run of its task.  */
static bool
outlasts_earlier_starts (const struct placer *plc, const struct run *run)
{
  int64_t starts_end_us = placer_earlier_starts_end_us (plc);
  return run->listed_us >= starts_end_us
         || run->start_sent_us >= starts_end_us;
}

/* Gives up RUN: it has ended without being listed as ended.  */
static void
drop_lost_run (struct placer *plc, struct run *run, const char *reason)
{
  const struct worker *wrk = run->wrk;
  int64_t now_us = clock_now_us (plc->env.clk);
  char name[TASK_NAME_MAX];
  task_ref_format (&run->ref, name);
  log_event (plc->env.lg, EV_RUN_LOST, LOG_S ("task", name),
             LOG_I ("run", run->number), LOG_S ("worker", wrk->rep.id),
             LOG_S ("reason", reason),
             LOG_I ("lease_left_ms",
                    (placer_leases_end_us (plc, wrk) - now_us) / 1000),
             LOG_I ("confirmed_age_ms", (now_us - plc->confirmed_us) / 1000));
  counter_add (plc->env.ctr, CTR_RUNS_LOST, 1);
  run->tsk->ended_us = now_us;
  /* An earlier owner may have started the task on the worker's next
     instance.  */
  if (!outlasts_earlier_starts (plc, run))
    run->tsk->located_token = 0;
  placer_remove_run (plc, run);
}

/* Whether the start of RUN was sent when the instance that a list of hosts
   shows as ended may have had a successor under the same id, which then runs
   it or may still carry it out.  */
static bool
start_outlives_instance (const struct run *run)
{
  int64_t asked_us = run->wrk->ended_list_us;
  return asked_us > 0 && run->start_sent_us > asked_us - HOST_LIST_LAG_US;
}

/* Gives up the runs of an instance that has ended, but for those that its
   successor may have.  Its next answer, a later list or the end of their
   leases settles these.  */
static void
drop_ended_runs (struct placer *plc, struct worker *wrk)
{
  struct run *next;
  for (struct run *run = wrk->runs; run; run = next)
    {
      next = run->next;
      if (!start_outlives_instance (run))
        drop_lost_run (plc, run, "instance_ended");
      else if (!run->confirmed_us)
        placer_stop_run (plc, run);
    }
}

/* A start without an answer may have reached an instance that began since the
   last answer; its clock began anew, so it grants the longest lease, as it
   does for other calls without an answer.  */
void
placer_drop_expired_runs (struct placer *plc, struct worker *wrk)
{
  int64_t longest_us = placer_add_lease_slack (plc->set.lease_max_ms * 1000);
  struct run *next;
  placer_drop_unsent (plc, wrk);
  for (struct run *run = wrk->runs; run; run = next)
    {
      next = run->next;
      int64_t late_us = run->start_sent_us + LATE_CALL_MAX_US;
      if (late_us < wrk->late_leases_us)
        late_us = wrk->late_leases_us;
      if (run->confirmed_us || plc->confirmed_us > late_us + longest_us)
        drop_lost_run (plc, run, "lease_expired");
    }
}

/* Gives up the runs that an earlier instance of WRK has listed.  Of the
   others, the new instance may have answered the start, and its next answer to
   a hold shows whether it runs them.  A start without an answer may still be
   carried out by the new instance, until it was told to stop the run.  */
static void
drop_earlier_runs (struct placer *plc, struct worker *wrk, int64_t born_ms)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  uint32_t lost = 0, kept = 0, stops = 0;
  struct run *next;
  for (struct run *run = wrk->runs; run; run = next)
    {
      next = run->next;
      if (run->listed_us)
        {
          drop_lost_run (plc, run, "instance_ended");
          lost++;
          continue;
        }
      if (run->confirmed_us)
        run->confirmed_us = now_us;
      if (run->stop_wanted || !run->confirmed_us)
        placer_make_stop_due (plc, run);
      stops += run->stop_wanted;
      kept += !run->stop_wanted;
    }
  log_event (
      plc->env.lg, EV_WORKER_RESTARTED, LOG_S ("worker", wrk->rep.id),
      LOG_S ("pool", plc->set.pool), LOG_I ("old_born_ms", wrk->rep.born_ms),
      LOG_I ("born_ms", born_ms),
      LOG_S ("seen", wrk->reported_ended ? "report" : "answer"),
      LOG_I ("after_ms", (now_us - wrk->ended_us) / 1000),
      LOG_I ("lost", lost), LOG_I ("kept", kept), LOG_I ("stops", stops));
  wrk->next_hold_us = 0;
}

/* Prepares WRK for the instance that was started at BORN_MS under the same
   id.  It runs nothing yet, and numbers its ends from 1.  */
static void
begin_instance (struct placer *plc, struct worker *wrk, int64_t born_ms)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  placer_raise_generation (plc, wrk);
  /* The last record may have taken it for ended.  */
  plc->runs_changed = plc->runs_changed || plc->earlier_run_count > 0;
  if (born_ms != wrk->rep.born_ms)
    {
      wrk->known_us = now_us;
      wrk->earlier_born_ms = wrk->rep.born_ms;
    }
  wrk->applied_end = wrk->flushing_end = wrk->durable_end = wrk->acked_end = 0;
  wrk->instance_seen = false;
  wrk->first_answer_us = 0;
  wrk->ended_us = 0;
  wrk->reported_ended = wrk->address_taken = false;
  wrk->rep.born_ms = born_ms;
}

bool
placer_settle_instance (struct placer *plc, struct worker *wrk,
                        int64_t born_ms)
{
  if (!wrk->ended_us)
    return true;
  if (wrk->runs && plc->confirmed_us < wrk->ended_us)
    return false;
  /* The worker answers, so the report that it has ended may be wrong.  */
  if (wrk->reported_ended && wrk->reached && wrk->unanswered_calls == 0)
    return false;
  placer_drop_unsent (plc, wrk);
  if (born_ms != wrk->rep.born_ms && born_ms > 0)
    {
      /* The clock of the next instance begins anew; an answer has told it.  */
      if (wrk->reported_ended)
        placer_forget_clock (plc, wrk);
      drop_earlier_runs (plc, wrk, born_ms);
      begin_instance (plc, wrk, born_ms);
      placer_stop_late_starts (plc, wrk);
      return true;
    }
  drop_ended_runs (plc, wrk);
  /* Nothing is left that could carry them out.  */
  if (wrk->reported_ended && wrk->gone)
    placer_end_late_starts (plc, wrk, INT64_MAX);
  if (wrk->reported_ended)
    wrk->registered = false;
  else
    begin_instance (plc, wrk, wrk->rep.born_ms);
  return true;
}

void
placer_settle_reported_end (struct placer *plc, struct worker *wrk)
{
  placer_settle_instance (plc, wrk,
                          wrk->reported_born_ms > wrk->rep.born_ms
                              ? wrk->reported_born_ms
                              : wrk->rep.born_ms);
}
