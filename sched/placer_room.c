#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "sched/placer_priv.h"

/* Room for tasks that last.  They are due at work however full the pool is, so
   short tasks make room for them; the room is kept until the start.  */

/* Room that is not used by then is given up.  */
#define RESERVED_MAX_US 3000000

void
placer_reserve (struct task *tsk, const struct step *stp, struct worker *wrk,
                int64_t now_us)
{
  tsk->reserved = wrk->handle;
  tsk->reserved_us = now_us;
  resources_add (&wrk->used, stp, 1);
}

void
placer_unreserve (struct placer *plc, struct task *tsk, const struct step *stp)
{
  struct worker *wrk = placer_find_worker (plc, tsk->reserved);
  if (wrk)
    resources_add (&wrk->used, stp, -1);
  tsk->reserved = 0;
}

struct worker *
placer_reserved (struct placer *plc, const struct place_request *req)
{
  struct task *tsk = job_task ((struct job *)req->job, req->ref);
  struct worker *wrk = placer_find_worker (plc, tsk->reserved);
  bool over = req->now_us > tsk->reserved_us + RESERVED_MAX_US;
  if (!wrk || !place_allowed (wrk, req) || over)
    {
      placer_unreserve (plc, tsk, req->step);
      return NULL;
    }
  resources_add (&wrk->used, req->step, -1);
  if (place_fits (wrk, req->step))
    {
      tsk->reserved = 0;
      return wrk;
    }
  resources_add (&wrk->used, req->step, 1);
  return NULL;
}

/* Whether the room of RUN can be taken for a task that lasts.  */
static bool
gives_way (const struct run *run)
{
  return run->state == RUN_ACTIVE && !run->stop_wanted
         && !run->job->spec.steps[run->ref.step].perpetual;
}

/* The run on WRK that gives way first: the one with the least work done.  */
static struct run *
newest_run (const struct worker *wrk)
{
  struct run *newest = NULL;
  for (struct run *run = wrk->runs; run; run = run->next)
    if (gives_way (run) && !run->yields
        && (!newest || run->begun_us > newest->begun_us))
      newest = run;
  return newest;
}

/* Short runs on WRK that have to stop for the task to fit; 0 when it does not
   fit even so.  STOP: stops them.  */
static uint32_t
clear_worker (struct placer *plc, struct worker *wrk, const struct step *stp,
              bool stop)
{
  const struct resources before = wrk->used;
  uint32_t count = 0;
  for (struct run *run = wrk->runs; run; run = run->next)
    run->yields = false;
  while (!place_fits (wrk, stp))
    {
      struct run *run = newest_run (wrk);
      if (!run)
        {
          wrk->used = before;
          return 0;
        }
      run->yields = true;
      resources_add (&wrk->used, &run->job->spec.steps[run->ref.step], -1);
      count++;
    }
  wrk->used = before;
  for (struct run *run = wrk->runs; stop && run; run = run->next)
    if (run->yields)
      placer_stop_run (plc, run);
  return count;
}

void
placer_make_room (struct placer *plc, struct job *job,
                  const struct task_ref *ref, int64_t now_us)
{
  const struct step *stp = &job->spec.steps[ref->step];
  struct task *tsk = job_task (job, ref);
  struct worker *best = NULL;
  uint32_t best_count = 0;
  if (tsk->reserved)
    return;
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      struct worker *wrk = plc->pool.workers[n];
      const struct place_request req
          = { .job = job, .step = stp, .ref = ref, .now_us = now_us };
      if (!place_allowed (wrk, &req))
        continue;
      uint32_t count = clear_worker (plc, wrk, stp, false);
      if (count > 0 && (!best || count < best_count))
        {
          best = wrk;
          best_count = count;
        }
    }
  if (!best)
    return;
  char name[TASK_NAME_MAX];
  task_ref_format (ref, name);
  log_event (plc->env.lg, EV_ROOM_MADE, LOG_S ("task", name),
             LOG_S ("worker", best->rep.id), LOG_I ("stopped", best_count));
  clear_worker (plc, best, stp, true);
  placer_reserve (tsk, stp, best, now_us);
}
