#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "sched/placer_priv.h"

/* Emptying of hosts: perpetual tasks move to other workers, batch tasks may
   run on until the time to vacate the host is over.  */

bool
placer_vacate (struct placer *plc, const char *host, int64_t until_us)
{
  bool found = false;
  size_t pos = 0;
  struct worker *wrk;
  while ((wrk = pool_next_on_host (&plc->pool, host, &pos)))
    {
      found = found || wrk->registered;
      if (until_us > 0 && !wrk->vacate)
        {
          wrk->vacate_begun_us = clock_now_us (plc->env.clk);
          wrk->cleared_us = 0;
          wrk->vacate_stops = 0;
        }
      wrk->vacate = until_us > 0;
      wrk->vacate_until_us = until_us;
    }
  return found;
}

bool
placer_host_empty (const struct placer *plc, const char *host,
                   struct placer_vacated *vac)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  size_t pos = 0;
  const struct worker *wrk;
  *vac = (struct placer_vacated){ 0 };
  while ((wrk = pool_next_on_host (&plc->pool, host, &pos)))
    {
      if (wrk->runs || !wrk->vacate || !wrk->unenrolled
          || wrk->acked_end < wrk->applied_end)
        return false;
      *vac = (struct placer_vacated){
        .took_us = now_us - wrk->vacate_begun_us,
        .cleared_us = wrk->cleared_us - wrk->vacate_begun_us,
        .stopped = wrk->vacate_stops,
      };
    }
  return true;
}

/* Number of other tasks of the run's step that are not available now.  */
static uint32_t
count_unavailable (const struct run *run, int64_t now_us)
{
  const struct step *stp = &run->job->spec.steps[run->ref.step];
  const struct occurrence *occ = &run->job->occurrences[run->ref.occurrence];
  uint32_t unavailable = 0;
  for (uint32_t n = 0; n < stp->count; n++)
    {
      const struct task *tsk = &occ->tasks[stp->first_task + n];
      if (tsk != run->tsk)
        unavailable += !tsk->run || !run_is_available (tsk->run, now_us);
    }
  return unavailable;
}

/* Reserves resources on another worker for the perpetual task of RUN.  Returns
   whether the run may be stopped now: a task is moved only while fewer tasks
   of its step are unavailable than the job allows, or than one if the job does
   not say.  */
static bool
reserve_move (struct placer *plc, struct run *run, int64_t now_us)
{
  const struct step *stp = &run->job->spec.steps[run->ref.step];
  uint32_t most = stp->max_unavailable > 0 ? stp->max_unavailable : 1;
  const struct place_request req
      = { .job = run->job, .step = stp, .ref = &run->ref, .now_us = now_us };
  if (count_unavailable (run, now_us) >= most)
    return false;
  struct worker *wrk = place_pick (&plc->pool, &req);
  if (!wrk)
    {
      placer_preempt (plc, run->job, &run->ref, now_us);
      return false;
    }
  placer_reserve (run->tsk, stp, wrk, now_us);
  return true;
}

void
placer_evacuate (struct placer *plc, struct worker *wrk, int64_t now_us)
{
  bool leaving = wrk->rep.draining || wrk->vacate;

  if (wrk->vacate && !wrk->runs && !wrk->cleared_us)
    wrk->cleared_us = now_us;
  for (struct run *run = wrk->runs; leaving && run; run = run->next)
    {
      bool perpetual = run->job->spec.steps[run->ref.step].perpetual;
      bool expired = wrk->vacate && now_us > wrk->vacate_until_us;
      if (run->stop_wanted || run->state != RUN_ACTIVE)
        continue;
      if (perpetual ? !reserve_move (plc, run, now_us) : !expired)
        continue;
      char name[TASK_NAME_MAX];
      task_ref_format (&run->ref, name);
      log_event (
          plc->env.lg, EV_RUN_STOPPED, LOG_S ("task", name),
          LOG_I ("run", run->number), LOG_S ("worker", wrk->rep.id),
          LOG_S ("reason", wrk->vacate ? "host_vacated" : "worker_draining"));
      wrk->vacate_stops++;
      placer_stop_run (plc, run);
    }
}

bool
placer_host_kept (const struct placer *plc, const char *host,
                  struct placer_kept *kept)
{
  return false;
}
