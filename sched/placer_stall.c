#include "base/clock.h"
#include "base/log.h"
#include "sched/placer_priv.h"

/* Reports why a pool's owner starts nothing although tasks wait and workers
   are free.  */

/* Tasks that wait for less are not reported.  */
#define STALL_REPORT_US 1000000
#define STALL_CHECK_INTERVAL_US 500000
/* Least time between two reports of one pool.  */
#define STALL_REPORT_INTERVAL_US 5000000

/* Tasks that are due and have no run that is known to work, by reason.  */
struct waiting_counts
{
  uint32_t ready;        /* nothing in the task's own state delays its start */
  uint32_t takeover;     /* an earlier owner may still run or start it */
  uint32_t pause;        /* its last start or run was a moment ago */
  uint32_t ending;       /* a run of it is being stopped */
  uint32_t silent;       /* the worker of its run does not answer */
  uint32_t stored_twice; /* their job is stored for another pool as well */
  uint32_t uncertain;    /* it may be; the other partitions are read first */
  uint32_t late; /* a worker that does not answer may have carried out an
                    earlier start */
};

/* Workers of the pool, by the first reason why they get no tasks.  */
struct worker_counts
{
  uint32_t unregistered;
  uint32_t ended;
  uint32_t unreached;
  uint32_t unenrolled;
  uint32_t silent;
  uint32_t avoided;
  uint32_t leaving;
  uint32_t unknown_runs;
  uint32_t schedulable;
  uint32_t free; /* of all workers, those that could take a task for all that
                    their reports and the known runs tell */
};

static bool
is_free (const struct worker *wrk)
{
  return wrk->registered && !wrk->runs && !wrk->rep.draining && !wrk->vacate;
}

static bool
any_free_worker (const struct placer *plc)
{
  for (size_t n = 0; n < plc->pool.count; n++)
    if (is_free (plc->pool.workers[n]))
      return true;
  return false;
}

static void
count_worker (const struct worker *wrk, int64_t now_us,
              struct worker_counts *out)
{
  out->free += is_free (wrk);
  if (!wrk->registered)
    out->unregistered++;
  else if (wrk->ended_us)
    out->ended++;
  else if (!wrk->reached || wrk->clock_ms == 0)
    out->unreached++;
  else if (!wrk->enrolled)
    out->unenrolled++;
  else if (wrk->rep.draining || wrk->vacate)
    out->leaving++;
  else if (now_us < wrk->avoid_until_us || now_us < wrk->failing_until_us)
    out->avoided++;
  else if (!worker_schedulable (wrk, now_us))
    out->silent++;
  else if (worker_has_unknown_runs (wrk))
    out->unknown_runs++;
  else
    out->schedulable++;
}

static void
count_task (const struct placer *plc, struct job *job,
            const struct task_ref *ref, bool certain, int64_t now_us,
            struct waiting_counts *out)
{
  const struct task *tsk = job_task (job, ref);
  if (tsk->prg.done)
    return;
  if (tsk->unwanted_runs > 0 || (tsk->run && tsk->run->stop_wanted))
    out->ending++;
  else if (tsk->run)
    out->silent += tsk->run->wrk->unanswered_calls > 0;
  else if (placer_may_still_run (plc, job, ref))
    out->takeover++;
  else if (placer_may_run_late (plc, tsk, ref))
    out->late++;
  else if (now_us < tsk->not_before_us)
    out->pause++;
  else if (job->contested)
    out->stored_twice++;
  else if (!certain)
    out->uncertain++;
  else
    out->ready++;
}

static uint32_t
count_total (const struct waiting_counts *cnt)
{
  return cnt->ready + cnt->takeover + cnt->pause + cnt->ending + cnt->silent
         + cnt->late + cnt->stored_twice + cnt->uncertain;
}

static void
count_job (struct placer *plc, struct job *job, int64_t now_us,
           struct waiting_counts *out)
{
  const struct queue *que = catalog_queue (*plc->env.cat, job->queue);
  bool certain = placer_pool_certain (plc, job, que, now_us);
  int64_t wall_ms = clock_wall_ms (plc->env.clk);
  for (uint32_t k = 0; !job_ended (job) && k < job->occurrence_count; k++)
    {
      const struct occurrence *occ = &job->occurrences[k];
      if (occ->due_ms > wall_ms || occ->done == job->task_count)
        continue;
      for (uint32_t n = 0; n < job->spec.step_count; n++)
        {
          const struct step *stp = &job->spec.steps[n];
          if (occ->step_done[n] == stp->count
              || !placer_step_ready (job, occ, stp))
            continue;
          struct task_ref ref = { .job = job->id, .occurrence = k, .step = n };
          for (ref.index = 0; ref.index < stp->count; ref.index++)
            count_task (plc, job, &ref, certain, now_us, out);
        }
    }
}

const char *
placer_start_obstacle (const struct placer *plc, int64_t now_us)
{
  if (plc->fenced)
    return "fenced";
  if (plc->env.log_read_us (plc->env.arg) == 0)
    return "log_incomplete";
  if (!placer_log_current (plc, now_us))
    return "log_old";
  if (!placer_may_start (plc, now_us))
    return "not_confirmed";
  return NULL;
}

/* The first condition of a tick that is not met, or the first reason why the
   tasks wait.  */
static const char *
stall_reason (const struct placer *plc, const struct waiting_counts *cnt,
              const struct worker_counts *wrk, int64_t now_us)
{
  const char *obstacle = placer_start_obstacle (plc, now_us);
  if (obstacle)
    return obstacle;
  if (cnt->ready > 0)
    return wrk->schedulable > 0 ? "no_fit" : "no_worker";
  return cnt->takeover > 0       ? "takeover"
         : cnt->stored_twice > 0 ? "stored_twice"
         : cnt->uncertain > 0    ? "other_partitions"
         : cnt->silent > 0       ? "silent_worker"
         : cnt->late > 0         ? "late_start"
         : cnt->ending > 0       ? "stopping"
                                 : "pause";
}

static void
log_stall (const struct placer *plc, const struct waiting_counts *cnt,
           int64_t now_us)
{
  struct worker_counts wrk = { 0 };
  for (size_t n = 0; n < plc->pool.count; n++)
    count_worker (plc->pool.workers[n], now_us, &wrk);
  int64_t starts_left_us = placer_earlier_starts_end_us (plc) - now_us;
  int64_t leases_left_us = plc->earlier_leases_end_us - now_us;
  const char *unreached = placer_unreached (plc);
  log_event (
      plc->env.lg, EV_PLACER_STALLED, LOG_S ("pool", plc->set.pool),
      LOG_S ("reason", stall_reason (plc, cnt, &wrk, now_us)),
      LOG_I ("for_ms", (now_us - plc->stalled_us) / 1000),
      LOG_I ("confirmed_age_ms", (now_us - plc->confirmed_us) / 1000),
      LOG_I ("log_age_ms",
             (now_us - plc->env.log_read_us (plc->env.arg)) / 1000),
      LOG_I ("tasks_ready", cnt->ready),
      LOG_I ("tasks_takeover", cnt->takeover),
      LOG_I ("tasks_pause", cnt->pause), LOG_I ("tasks_ending", cnt->ending),
      LOG_I ("tasks_silent", cnt->silent), LOG_I ("tasks_late", cnt->late),
      LOG_I ("tasks_stored_twice", cnt->stored_twice),
      LOG_I ("tasks_uncertain", cnt->uncertain),
      LOG_I ("workers", plc->pool.count), LOG_I ("free", wrk.free),
      LOG_I ("schedulable", wrk.schedulable),
      LOG_I ("unregistered", wrk.unregistered), LOG_I ("ended", wrk.ended),
      LOG_I ("unreached", wrk.unreached), LOG_I ("unenrolled", wrk.unenrolled),
      LOG_I ("silent", wrk.silent), LOG_I ("avoided", wrk.avoided),
      LOG_I ("leaving", wrk.leaving), LOG_I ("unknown_runs", wrk.unknown_runs),
      LOG_S ("awaited", plc->takeover_done ? ""
                        : unreached        ? unreached
                                           : "none"),
      LOG_I ("starts_left_ms", starts_left_us / 1000),
      LOG_I ("leases_left_ms", leases_left_us / 1000));
}

void
placer_check_stall (struct placer *plc, int64_t now_us)
{
  struct waiting_counts cnt = { 0 };
  if (now_us < plc->next_stall_check_us)
    return;
  plc->next_stall_check_us = now_us + STALL_CHECK_INTERVAL_US;
  if (now_us - plc->last_start_us >= STALL_REPORT_US && any_free_worker (plc))
    for (size_t n = 0; n < plc->job_count; n++)
      count_job (plc, plc->jobs[n], now_us, &cnt);
  if (count_total (&cnt) == 0)
    plc->stalled_us = 0;
  else if (plc->stalled_us == 0)
    plc->stalled_us = now_us;
  else if (now_us - plc->stalled_us >= STALL_REPORT_US
           && now_us >= plc->next_stall_report_us)
    {
      plc->next_stall_report_us = now_us + STALL_REPORT_INTERVAL_US;
      log_stall (plc, &cnt, now_us);
    }
}
