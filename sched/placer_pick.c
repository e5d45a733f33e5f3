#include "sched/placer_priv.h"

/* The choice of a worker for each waiting task of a tick, of which there may
   be thousands.  */

/* Whether placement of the step depends on more than resources.  */
static bool
has_constraints (const struct step *stp)
{
  return *stp->required_label || stp->max_per_worker > 0;
}

static bool
needs_as_much (const struct resources *a, const struct resources *b)
{
  return a->cpu_milli >= b->cpu_milli && a->memory_mb >= b->memory_mb
         && a->accelerators >= b->accelerators;
}

/* Whether an earlier search in this tick has shown that a task of STP fits
   nowhere.  */
static bool
known_no_room (const struct placer *plc, const struct step *stp)
{
  struct resources need = { 0 };
  resources_add (&need, stp, 1);
  for (size_t n = 0; n < plc->no_room_count; n++)
    if (needs_as_much (&need, &plc->no_room[n]))
      return true;
  return false;
}

/* Keeps the smallest needs that no worker had room for: they rule out the most
   other tasks.  */
static void
note_no_room (struct placer *plc, const struct step *stp)
{
  struct resources need = { 0 };
  size_t kept = 0;
  if (has_constraints (stp))
    return;
  plc->failed_searches++;
  resources_add (&need, stp, 1);
  for (size_t n = 0; n < plc->no_room_count; n++)
    if (!needs_as_much (&plc->no_room[n], &need))
      plc->no_room[kept++] = plc->no_room[n];
  plc->no_room_count = kept;
  if (kept < NO_ROOM_MAX)
    plc->no_room[plc->no_room_count++] = need;
}

/* Returns the worker of the last task if it is also the one that place_pick
   would return: after that start it is fuller than before, so that for a like
   task it still comes first, unless it is full.  */
static struct worker *
repeat_pick (const struct placer *plc, const struct place_request *req)
{
  return plc->last_pick && plc->last_pick_job == req->job
                 && plc->last_pick_step == req->step && req->avoid == 0
                 && !worker_awaits_acks (plc->last_pick, req->now_us)
                 && place_allowed (plc->last_pick, req)
                 && place_fits (plc->last_pick, req->step)
             ? plc->last_pick
             : NULL;
}

static void
note_pick (struct placer *plc, const struct place_request *req,
           struct worker *wrk)
{
  bool repeatable
      = !has_constraints (req->step) && req->avoid == 0 && req->only == 0;
  plc->last_pick = repeatable ? wrk : NULL;
  plc->last_pick_job = req->job;
  plc->last_pick_step = req->step;
}

struct worker *
placer_pick_worker (struct placer *plc, const struct place_request *req)
{
  bool perpetual = req->step->perpetual;
  if (!perpetual && placer_start_limit_reached (plc, req->now_us))
    {
      plc->start_limit_reached = true;
      return NULL;
    }
  if (!perpetual
      && (known_no_room (plc, req->step)
          || plc->failed_searches >= FAILED_SEARCHES_MAX))
    return NULL;
  struct worker *wrk = repeat_pick (plc, req);
  if (wrk)
    return wrk;
  wrk = place_pick (&plc->pool, req);
  note_pick (plc, req, wrk);
  if (!wrk && !perpetual)
    note_no_room (plc, req->step);
  return wrk;
}
