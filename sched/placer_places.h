#pragma once

#include "sched/placer_priv.h"

/* The places of a pool's perpetual tasks.  A place is a worker that takes
   tasks and stays, that the step's label and bound per worker allow, and that
   has room once all batch work there is gone.  */

/* Why a worker is no place for a task: the first reason that applies.  */
enum place_reason
{
  PLACE_ALLOWED,
  PLACE_VACATED,     /* its host is to be emptied */
  PLACE_DRAINING,    /* it leaves by its own notice */
  PLACE_UNAVAILABLE, /* silent, avoided, not enrolled, or ended */
  PLACE_LABEL,
  PLACE_BOUND,   /* it has as many tasks of the step as the job allows */
  PLACE_NO_ROOM, /* even without batch work */
  PLACE_REASONS  /* number of these */
};

/* Whether WRK is no place now for the task of REQ, and why.  */
enum place_reason places_reason (const struct worker *wrk,
                                 const struct place_request *req);

/* What perpetual runs, reservations and unknown runs leave of the capacity of
   WRK; runs that are being stopped are on their way out.  */
struct resources places_room (const struct worker *wrk);

/* Called for a perpetual task.  Returns false to end the iteration.  */
typedef bool places_task_fn (void *arg, struct job *job,
                             const struct task_ref *ref);

/* Calls FN for each perpetual task of the pool that is due.  */
void places_each_task (struct placer *plc, places_task_fn *fn, void *arg);

/* Whether the perpetual task may be started now and has no run.  */
bool places_task_waits (const struct placer *plc, struct job *job,
                        const struct task_ref *ref, int64_t now_us);
