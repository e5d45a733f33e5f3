#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "base/log.h"
#include "sched/placer_priv.h"

/* Gang scheduling.  The tasks of a gang step make progress only while all of
   them run, and a worker ends a member that has waited too long for the rest.
   So the members are started together, under one run number, once there is
   room for all of them, and if one is missing the others are stopped.  */

static struct task *
gang_tasks (const struct job *job, const struct task_ref *ref)
{
  const struct step *stp = &job->spec.steps[ref->step];
  return &job->occurrences[ref->occurrence].tasks[stp->first_task];
}

/* Stops the members of the gang that have a run.  */
static void
stop_gang (struct placer *plc, struct job *job, const struct task_ref *ref)
{
  struct task *tasks = gang_tasks (job, ref);
  for (uint32_t n = 0; n < job->spec.steps[ref->step].count; n++)
    if (tasks[n].run)
      placer_stop_run (plc, tasks[n].run);
}

/* Gives every member the latest checkpoint of any of them.  */
static void
share_checkpoint (struct job *job, const struct task_ref *ref)
{
  struct task *tasks = gang_tasks (job, ref);
  uint32_t count = job->spec.steps[ref->step].count;
  const char *best = NULL;
  for (uint32_t n = 0; n < count; n++)
    if (tasks[n].checkpoint
        && (!best || strcmp (tasks[n].checkpoint, best) > 0))
      best = tasks[n].checkpoint;
  for (uint32_t n = 0; best && n < count; n++)
    if (tasks[n].checkpoint != best)
      {
        char *copy = talloc_strdup (job, best);
        talloc_free (tasks[n].checkpoint);
        tasks[n].checkpoint = copy;
      }
}

/* Reserves resources for every member, within RACK unless it is NULL.  Returns
   false, with nothing reserved, if not all of them fit.  */
static bool
reserve_all (struct placer *plc, struct job *job, const struct task_ref *ref,
             const char *rack, int64_t now_us)
{
  const struct step *stp = &job->spec.steps[ref->step];
  struct task *tasks = gang_tasks (job, ref);
  struct task_ref member = *ref;
  for (member.index = 0; member.index < stp->count; member.index++)
    {
      const struct place_request req
          = { .job = job,
              .step = stp,
              .ref = &member,
              .rack = rack,
              .avoid = tasks[member.index].avoid_worker,
              .now_us = now_us };
      struct worker *wrk = place_pick (&plc->pool, &req);
      if (!wrk)
        break;
      placer_reserve (&tasks[member.index], stp, wrk, now_us);
    }
  if (member.index == stp->count)
    return true;
  while (member.index-- > 0)
    placer_unreserve (plc, &tasks[member.index], stp);
  return false;
}

/* Reserves resources for every member, for rack-sensitive steps within one
   rack if possible.  */
static bool
reserve_gang (struct placer *plc, struct job *job, const struct task_ref *ref,
              int64_t now_us)
{
  const struct step *stp = &job->spec.steps[ref->step];
  for (size_t n = 0; stp->rack_sensitive && n < plc->pool.count; n++)
    {
      const char *rack = worker_rack (plc->pool.workers[n]);
      if (*rack && reserve_all (plc, job, ref, rack, now_us))
        return true;
    }
  return reserve_all (plc, job, ref, NULL, now_us);
}

/* Whether the gang cannot be started or stopped now: a member has to wait
   before its next start, or a run of it by an earlier owner may still
   exist.  */
static bool
gang_blocked (const struct placer *plc, const struct job *job,
              const struct task_ref *ref, int64_t now_us)
{
  const struct task *tasks = gang_tasks (job, ref);
  for (uint32_t n = 0; n < job->spec.steps[ref->step].count; n++)
    if (now_us < tasks[n].not_before_us || tasks[n].unwanted_runs > 0
        || placer_may_still_run (plc, job, &tasks[n]))
      return true;
  return false;
}

/* Whether a late start may still begin a run of a member.  */
static bool
gang_may_run_late (const struct placer *plc, const struct job *job,
                   const struct task_ref *ref)
{
  const struct task *tasks = gang_tasks (job, ref);
  struct task_ref member = *ref;
  for (member.index = 0; member.index < job->spec.steps[ref->step].count;
       member.index++)
    if (placer_may_run_late (plc, &tasks[member.index], &member))
      return true;
  return false;
}

void
placer_place_gang (struct placer *plc, struct job *job,
                   const struct task_ref *ref, int64_t now_us)
{
  const struct step *stp = &job->spec.steps[ref->step];
  struct task *tasks = gang_tasks (job, ref);
  struct task_ref member = *ref;
  uint32_t running = 0;
  uint32_t last_run = 0;
  for (uint32_t n = 0; n < stp->count; n++)
    {
      running += tasks[n].run != NULL;
      if (tasks[n].prg.last_run > last_run)
        last_run = tasks[n].prg.last_run;
    }
  if (running == stp->count || gang_blocked (plc, job, ref, now_us))
    return;
  if (running > 0)
    {
      stop_gang (plc, job, ref);
      return;
    }
  if (gang_may_run_late (plc, job, ref))
    return;
  if (!reserve_gang (plc, job, ref, now_us))
    {
      placer_note_waiting (plc, stp, stp->count);
      return;
    }
  share_checkpoint (job, ref);
  for (member.index = 0; member.index < stp->count; member.index++)
    {
      struct task *tsk = &tasks[member.index];
      struct worker *wrk = placer_find_worker (plc, tsk->reserved_worker);
      placer_unreserve (plc, tsk, stp);
      tsk->prg.last_run = last_run;
      if (wrk)
        placer_start_task (plc, job, &member, wrk);
    }
}

void
placer_mark_gang_done (struct placer *plc, struct job *job,
                       const struct task_ref *ref)
{
  struct task_ref member = *ref;
  for (member.index = 0; member.index < job->spec.steps[ref->step].count;
       member.index++)
    job_mark_task_done (job, &member);
}
