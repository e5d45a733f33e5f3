#include "sched/placer_places.h"

#include "base/clock.h"

/* A worker that gets no tasks for no longer than this is a place all the same:
   a worker that was busy or lacked room for one start is back by then.  */
#define PAUSE_MAX_US 1000000
struct resources
places_room (const struct worker *wrk)
{
  struct resources room = wrk->rep.capacity;
  room.cpu_milli -= wrk->used.cpu_milli + wrk->unknown.cpu_milli;
  room.memory_mb -= wrk->used.memory_mb + wrk->unknown.memory_mb;
  room.accelerators -= wrk->used.accelerators + wrk->unknown.accelerators;
  for (const struct run *run = wrk->runs; run; run = run->next)
    {
      const struct step *stp = &run->job->spec.steps[run->ref.step];
      if (!stp->perpetual || run->stop_wanted)
        resources_add (&room, stp, 1);
    }
  return room;
}

static bool
has_room (const struct resources *room, const struct step *stp)
{
  struct resources left = *room;
  resources_add (&left, stp, -1);
  return left.cpu_milli >= 0 && left.memory_mb >= 0 && left.accelerators >= 0;
}

enum place_reason
places_reason (const struct worker *wrk, const struct place_request *req)
{
  const struct step *stp = req->step;
  if (wrk->vacate)
    return PLACE_VACATED;
  if (wrk->rep.draining)
    return PLACE_DRAINING;
  if (!worker_usable (wrk, req->now_us + PAUSE_MAX_US))
    return PLACE_UNAVAILABLE;
  if (*stp->required_label && !worker_has_label (wrk, stp->required_label))
    return PLACE_LABEL;
  if (stp->max_per_worker > 0
      && place_siblings (wrk, req) >= stp->max_per_worker)
    return PLACE_BOUND;
  const struct resources room = places_room (wrk);
  return has_room (&room, stp) ? PLACE_ALLOWED : PLACE_NO_ROOM;
}

void
places_each_task (struct placer *plc, places_task_fn *fn, void *arg)
{
  int64_t wall_ms = clock_wall_ms (plc->env.clk);
  for (size_t n = 0; n < plc->perpetual_job_count; n++)
    {
      struct job *job = plc->perpetual_jobs[n];
      for (uint32_t k = 0; !job_ended (job) && k < job->occurrence_count; k++)
        {
          struct occurrence *occ = &job->occurrences[k];
          if (occ->due_ms > wall_ms || occ->done == job->task_count)
            continue;
          for (uint32_t m = 0; m < job->spec.step_count; m++)
            {
              const struct step *stp = &job->spec.steps[m];
              struct task_ref ref
                  = { .job = job->id, .occurrence = k, .step = m };
              if (!stp->perpetual || occ->step_done[m] == stp->count
                  || !placer_step_ready (job, occ, stp))
                continue;
              for (ref.index = 0; ref.index < stp->count; ref.index++)
                if (!occ->tasks[stp->first_task + ref.index].prg.done
                    && !fn (arg, job, &ref))
                  return;
            }
        }
    }
}

bool
places_task_waits (const struct placer *plc, struct job *job,
                   const struct task_ref *ref, int64_t now_us)
{
  const struct task *tsk = job_task (job, ref);
  return !placer_has_runs (tsk) && now_us >= tsk->not_before_us
         && !placer_may_still_run (plc, job, tsk);
}
