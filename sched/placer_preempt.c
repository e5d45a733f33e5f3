#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "sched/placer_places.h"
#include "sched/placer_record.h"

/* Reservations, and preemption for perpetual tasks.  Perpetual tasks have to
   run however full the pool is, so batch tasks are stopped for them; the freed
   resources stay reserved until the perpetual task starts.  */

/* A reservation whose resources are not free after this time is dropped, so
   that another worker may be chosen.  A stopped run ends within a second.  */
#define RESERVATION_MAX_US 3000000

void
placer_reserve (struct task *tsk, const struct step *stp, struct worker *wrk,
                int64_t now_us)
{
  tsk->reserved_worker = wrk->handle;
  tsk->reserved_us = now_us;
  resources_add (&wrk->used, stp, 1);
}

void
placer_unreserve (struct placer *plc, struct task *tsk, const struct step *stp)
{
  struct worker *wrk = placer_find_worker (plc, tsk->reserved_worker);
  if (wrk)
    resources_add (&wrk->used, stp, -1);
  tsk->reserved_worker = 0;
}

void
placer_drop_reservation (struct placer *plc, const struct place_request *req,
                         const char *reason)
{
  struct task *tsk = job_task ((struct job *)req->job, req->ref);
  const struct worker *wrk = placer_find_worker (plc, tsk->reserved_worker);
  char name[TASK_NAME_MAX];
  task_ref_format (req->ref, name);
  log_event (plc->env.lg, EV_RESERVATION_DROPPED, LOG_S ("task", name),
             LOG_S ("worker", wrk ? wrk->rep.id : ""),
             LOG_S ("reason", reason),
             LOG_I ("age_ms", (req->now_us - tsk->reserved_us) / 1000));
  placer_unreserve (plc, tsk, req->step);
}

/* Why the task may not start on WRK, on which it has a reservation, or
   NULL.  */
static const char *
reservation_fault (const struct worker *wrk, const struct place_request *req)
{
  if (!wrk || !wrk->registered || wrk->ended_us)
    return "worker_gone";
  if (place_allowed (wrk, req))
    return NULL;
  if (wrk->rep.draining)
    return "draining";
  return wrk->vacate ? "vacated" : "not_allowed";
}

struct worker *
placer_reserved_room (struct placer *plc, const struct place_request *req)
{
  struct task *tsk = job_task ((struct job *)req->job, req->ref);
  struct worker *wrk = placer_find_worker (plc, tsk->reserved_worker);
  const char *fault = reservation_fault (wrk, req);
  if (fault)
    {
      placer_drop_reservation (plc, req, fault);
      return NULL;
    }
  resources_add (&wrk->used, req->step, -1);
  bool fits = place_fits (wrk, req->step);
  resources_add (&wrk->used, req->step, 1);
  if (fits)
    return wrk;
  if (req->now_us > tsk->reserved_us + RESERVATION_MAX_US)
    placer_drop_reservation (plc, req, "expired");
  return NULL;
}

struct worker *
placer_take_reserved (struct placer *plc, const struct place_request *req)
{
  struct worker *wrk = placer_reserved_room (plc, req);
  if (wrk)
    placer_unreserve (plc, job_task ((struct job *)req->job, req->ref),
                      req->step);
  return wrk;
}

/* Whether RUN may be stopped for a perpetual task.  */
static bool
is_preemptible (const struct run *run)
{
  return run->state == RUN_ACTIVE && !run->stop_wanted
         && !run->job->spec.steps[run->ref.step].perpetual;
}

/* Picks the run on WRK to be preempted next: the one started last, as it has
   done the least work.  */
static struct run *
pick_victim (const struct worker *wrk)
{
  struct run *newest = NULL;
  for (struct run *run = wrk->runs; run; run = run->next)
    if (is_preemptible (run) && !run->preempted
        && (!newest || run->created_us > newest->created_us))
      newest = run;
  return newest;
}

/* Returns the number of batch runs on WRK that have to be stopped for the task
   to fit once the runs that are being stopped already have ended, or -1 if it
   does not fit even then.  Stops them if STOP is true.  */
static int
preempt_on_worker (struct placer *plc, struct worker *wrk,
                   const struct step *stp, bool stop)
{
  const struct resources before = wrk->used;
  int count = 0;
  for (struct run *run = wrk->runs; run; run = run->next)
    {
      run->preempted = false;
      if (run->stop_wanted)
        resources_add (&wrk->used, &run->job->spec.steps[run->ref.step], -1);
    }
  while (!place_fits (wrk, stp))
    {
      struct run *run = pick_victim (wrk);
      if (!run)
        {
          wrk->used = before;
          return -1;
        }
      run->preempted = true;
      resources_add (&wrk->used, &run->job->spec.steps[run->ref.step], -1);
      count++;
    }
  wrk->used = before;
  for (struct run *run = wrk->runs; stop && run; run = run->next)
    if (run->preempted)
      placer_stop_run (plc, run);
  return count;
}

/* Uses workers that are avoided after failed runs sooner, if a perpetual task
   that has no place elsewhere may run there.  */
static void
shorten_pauses (struct placer *plc, const struct place_request *req)
{
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      struct worker *wrk = plc->pool.workers[n];
      struct place_request later = *req;
      later.now_us = wrk->failing_until_us;
      if (wrk->failing_until_us <= req->now_us + FAILING_PAUSE_SHORT_US
          || !place_allowed (wrk, &later) || !places_has_room (wrk, req->step))
        continue;
      wrk->failing_until_us = req->now_us + FAILING_PAUSE_SHORT_US;
      char name[TASK_NAME_MAX];
      task_ref_format (req->ref, name);
      log_event (plc->env.lg, EV_WORKER_AVOIDED, LOG_S ("worker", wrk->rep.id),
                 LOG_S ("reason", "only_place"), LOG_S ("task", name),
                 LOG_I ("for_ms", FAILING_PAUSE_SHORT_US / 1000));
    }
}

void
placer_preempt (struct placer *plc, const struct place_request *req)
{
  const struct step *stp = req->step;
  struct task *tsk = job_task ((struct job *)req->job, req->ref);
  struct worker *best = NULL;
  int best_count = 0;
  if (tsk->reserved_worker)
    return;
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      struct worker *wrk = plc->pool.workers[n];
      if (!place_allowed (wrk, req))
        continue;
      int count = preempt_on_worker (plc, wrk, stp, false);
      if (count >= 0 && (!best || count < best_count))
        {
          best = wrk;
          best_count = count;
        }
    }
  if (!best && !tsk->run)
    shorten_pauses (plc, req);
  if (!best)
    return;
  char name[TASK_NAME_MAX];
  task_ref_format (req->ref, name);
  log_event (plc->env.lg, EV_RUNS_PREEMPTED, LOG_S ("task", name),
             LOG_S ("worker", best->rep.id), LOG_I ("stopped", best_count));
  preempt_on_worker (plc, best, stp, true);
  placer_reserve (tsk, stp, best, req->now_us);
  placer_name_place (plc, req->ref, best);
}
