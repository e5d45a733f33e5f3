#pragma once

#include "proto/job.pb-c.h"
#include "sched/placer_priv.h"

/* The runs of perpetual tasks in the pool's worker record.  An owner starts
   such a run only once the record that names it and its worker is in the log.
   The log refuses records of an owner from its successor's fence on, so the
   successor, which reads the log up to there, knows each worker where such a
   task may run.  A run that has ended may stay in the record until the next
   one.  */

/* A run of a perpetual task that an earlier owner may have started, from the
   worker record.  */
struct earlier_run
{
  char worker[NAME_BYTES]; /* its id */
  struct task_ref ref;
  uint32_t number;
  bool recorded; /* the last worker record names it */
};

/* Whether the worker record names all runs of perpetual tasks, so that they
   are started once it does.  */
bool placer_records_runs (const struct placer *plc);
/* Notes RUN, which was added, for the worker record.  */
void placer_note_new_run (struct placer *plc, const struct run *run);
/* Delays the start of RUN until the worker record names it.  Returns false if
   that is not needed.  */
bool placer_await_record (struct placer *plc, struct run *run);
/* RUN was started, was found or is removed: it does not wait any more.  */
void placer_note_not_unsent (struct placer *plc, struct run *run);
/* Removes the runs on WRK that were not started yet.  */
void placer_drop_unsent (struct placer *plc, struct worker *wrk);
/* Sends the starts that the worker record in the log names, and gives up those
   that are not allowed any more.  */
void placer_send_recorded (struct placer *plc, int64_t now_us);
/* The id of a worker that has not told this owner whether it runs the task, of
   those that the earlier owners' record names for it; NULL: there is none.
   *RECORDED: it names any.  */
const char *placer_awaited_worker (const struct placer *plc,
                                   const struct task_ref *ref, bool *recorded);
/* Adds the runs on WRK, and those of earlier owners there, to its row WORKER;
   WRK is NULL if it is not in the pool.  Returns false when out of memory.  */
bool placer_fill_runs (struct placer *plc, void *ctx, struct worker *wrk,
                       Kingcuphollow__PoolWorkers__Worker *worker);
/* Leaves the runs out of MSG if they are too many for one record.  Returns
   whether it names them all.  */
bool placer_limit_runs (const struct placer *plc,
                        Kingcuphollow__PoolWorkers *msg);
/* Adds a run on WORKER from the record of the earlier owners.  */
void placer_add_earlier_run (struct placer *plc, const char *worker,
                             const Kingcuphollow__PoolWorkers__Run *row);
/* The earlier owners' runs are known or have ended.  */
void placer_forget_earlier_runs (struct placer *plc);
