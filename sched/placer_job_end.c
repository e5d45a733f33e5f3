#include "base/clock.h"
#include "base/log.h"
#include "sched/placer_priv.h"

/* How a job ends.  The owner of its pool decides that and records it with the
   progress; all others read it (docs/design/outcomes.md).  */

/* Pause before a perpetual task is restarted, so that one that always fails at
   once does not keep the owner busy.  */
#define RESTART_PAUSE_US 50000

uint32_t
placer_attempts (const struct placer *plc, const struct job *job)
{
  const struct queue *que = catalog_queue (*plc->env.cat, job->queue);
  return que ? que->attempts : job->attempts;
}

/* Drops the reservations of all tasks of JOB.  */
static void
release_reservations (struct placer *plc, struct job *job)
{
  for (uint32_t n = 0; n < job->occurrence_count; n++)
    for (size_t m = 0; m < job->spec.step_count; m++)
      {
        const struct step *stp = &job->spec.steps[m];
        for (uint32_t k = 0; k < stp->count; k++)
          {
            struct task *tsk = &job->occurrences[n].tasks[stp->first_task + k];
            if (tsk->reserved_worker)
              placer_unreserve (plc, tsk, stp);
          }
      }
}

void
placer_stop_job (struct placer *plc, struct job *job)
{
  for (uint32_t n = 0; n < job->occurrence_count; n++)
    for (uint32_t m = 0; m < job->task_count; m++)
      if (job->occurrences[n].tasks[m].run)
        placer_stop_run (plc, job->occurrences[n].tasks[m].run);
  release_reservations (plc, job);
}

void
placer_end_job_if_due (struct placer *plc, struct job *job, int64_t now_us)
{
  uint32_t attempts = placer_attempts (plc, job);
  job->attempts_applied = attempts;
  if (!job_update_state (job, attempts, now_us) || !job_ended (job))
    return;
  char id[JOB_ID_CHARS + 1];
  job_id_format (job->id, id);
  log_event (
      plc->env.lg, EV_JOB_ENDED, LOG_S ("job", id),
      LOG_S ("queue", job->queue),
      LOG_S ("state", job->state == JOB_COMPLETED ? "completed" : "failed"),
      LOG_I ("attempts", attempts),
      LOG_I ("goal_left_ms", job->goal_ms - clock_wall_ms (plc->env.clk)));
  placer_mark_dirty (plc, job);
  placer_stop_job (plc, job);
}

void
placer_task_ended (struct placer *plc, struct job *job,
                   const struct task_ref *ref)
{
  struct task *tsk = job_task (job, ref);
  int64_t now_us = clock_now_us (plc->env.clk);
  if (job->spec.steps[ref->step].perpetual)
    tsk->not_before_us = now_us + RESTART_PAUSE_US;
  placer_end_job_if_due (plc, job, now_us);
}
