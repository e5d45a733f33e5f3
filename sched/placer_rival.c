#include <string.h>

#include "base/clock.h"
#include "sched/placer_priv.h"

/* Jobs that are stored for several pools, as their queue was sent to another
   pool between two tries of the client (docs/design/jobs.md).  */

/* A version of the configuration is known to all processes this long after
   this one has read it.  */
#define CONFIG_SPREAD_US 2000000

/* The time as of which the partitions are known that take the cancellations of
   a job whose queue QUE, NULL if it is gone, leads to another pool now.  They
   may be in that of any pool which the queue led to before, until the others
   were read after all processes had learnt of the last move.  */
static int64_t
cancellations_read_us (struct placer *plc, const struct queue *que,
                       int64_t others_us)
{
  bool settled = que && others_us >= que->pool_since_us + CONFIG_SPREAD_US;
  return settled && plc->env.pool_read_us
             ? plc->env.pool_read_us (plc->env.arg, que->pool)
             : others_us;
}

bool
placer_pool_certain (struct placer *plc, const struct job *job,
                     const struct queue *que, int64_t now_us)
{
  if (job->contested)
    return false;
  bool leads_here = que && strcmp (que->pool, plc->set.pool) == 0;
  if ((leads_here && !job->pool_uncertain) || !plc->env.others_read_us)
    return true;
  int64_t needed_us = job->seen_us;
  if (leads_here && needed_us < que->pool_since_us + CONFIG_SPREAD_US)
    needed_us = que->pool_since_us + CONFIG_SPREAD_US;
  /* The others need not be known as they are now: a record that is stored for
     another pool later starts nothing while this one exists.  */
  int64_t others_us = plc->env.others_read_us (plc->env.arg);
  bool certain = others_us >= needed_us
                 && (leads_here
                     || cancellations_read_us (plc, que, others_us)
                            >= now_us - LOG_AGE_MAX_US);
  plc->awaits_others = plc->awaits_others || !certain;
  return certain;
}

bool
placer_awaits_others (const struct placer *plc)
{
  return plc->awaits_others;
}

static bool
task_is_untouched (const struct task *tsk)
{
  return !placer_has_runs (tsk) && tsk->late_starts == 0
         && tsk->prg.last_run == 0 && !tsk->prg.done;
}

/* Whether neither this owner nor an earlier one has started anything of
   JOB.  */
static bool
job_is_untouched (const struct job *job)
{
  for (uint32_t n = 0; n < job->occurrence_count; n++)
    for (uint32_t m = 0; m < job->task_count; m++)
      if (!task_is_untouched (&job->occurrences[n].tasks[m]))
        return false;
  return !job->started && !job->recorded;
}

bool
placer_may_withdraw (struct placer *plc, struct job *job, bool other_recorded)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  bool known = plc->takeover_done || job->offset >= plc->set.fence_offset;
  if (!known || !placer_may_start (plc, now_us) || job->dirty)
    return false;
  if (job_is_untouched (job))
    return true;
  if (other_recorded)
    {
      placer_stop_job (plc, job);
      return !placer_job_has_runs (job);
    }
  /* The record of what has run decides that this pool keeps the job.  */
  if (!job->recorded)
    placer_mark_dirty (plc, job);
  return false;
}

static void
drop_from (struct job **jobs, size_t *count, const struct job *job)
{
  size_t kept = 0;
  for (size_t n = 0; n < *count; n++)
    if (jobs[n] != job)
      jobs[kept++] = jobs[n];
  *count = kept;
}

bool
placer_drop_job (struct placer *plc, struct job *job)
{
  placer_stop_job (plc, job);
  if (job->dirty || placer_job_has_runs (job))
    return false;
  drop_from (plc->jobs, &plc->job_count, job);
  drop_from (plc->perpetual_jobs, &plc->perpetual_job_count, job);
  job->scheduled = false;
  return true;
}
