#pragma once

#include "proto/job.pb-c.h"
#include "sched/placer_priv.h"

/* The places of perpetual tasks in the pool's worker record.  An owner starts
   such a task only on a worker that the record in the log names for it.  The
   log refuses records of an owner from its successor's fence on, so the
   successor, which reads the log up to there, knows each worker where such a
   task may run.  The record names the worker of the task's run and a spare
   one, so that a start need not wait for the store while that does not answer.
   A run that has ended may stay in the record until the next one.  */

/* A run of a perpetual task that an earlier owner may have started, from the
   worker record.  */
struct earlier_run
{
  char worker[NAME_BYTES]; /* its id */
  struct task_ref ref;
  uint32_t number;
  uint32_t reserved; /* numbers after it that may have been used there */
  bool recorded;     /* the last worker record names it */
};

/* A worker that the record names for a task.  */
struct named_place
{
  struct task_ref ref;
  uint32_t worker;      /* handle */
  uint32_t number;      /* of the task's run when the record was made */
  uint32_t last_number; /* highest number of a run that may be started there */
  bool spare;           /* no run of the task was there then */
};

/* placer_named.c */
/* Collects in PLACES, with memory of CTX, the places that the next record
   names, but for those on workers that it leaves out; LEFT_OUT tells.  Returns
   false when out of memory.  */
bool placer_collect_places (struct placer *plc, void *ctx,
                            bool (*left_out) (const struct placer *plc,
                                              const struct worker *wrk),
                            struct named_places *places);
/* Whether run NUMBER of a task may be started on WRK without a further
   record.  */
bool placer_is_named (const struct placer *plc, const struct task_ref *ref,
                      const struct worker *wrk, uint32_t number);
/* Makes a record due that names WRK for run NUMBER of a task, unless the one
   in flight does.  */
void placer_want_named (struct placer *plc, const struct task_ref *ref,
                        const struct worker *wrk, uint32_t number);
/* Whether the next run of a task, which has a reservation on WRK, may be
   started there without a further record; if not, one is due.  */
bool placer_name_place (struct placer *plc, const struct task_ref *ref,
                        const struct worker *wrk);
/* Whether RUN, which was added, calls for another record: the next starts of
   its task would have to wait for it.  */
bool placer_needs_places (const struct placer *plc, const struct run *run);
/* Whether the record in flight has had no answer for so long that starts do
   not wait for it if the task has another place.  */
bool placer_record_delayed (const struct placer *plc, int64_t now_us);
/* Picks one of the workers that are named for the task, or NULL.  */
struct worker *placer_pick_named (struct placer *plc,
                                  const struct place_request *req);
/* Makes another record due if a task has lost its spare place and there is
   another one.  */
void placer_check_spares (struct placer *plc, int64_t now_us);

/* Makes another record due if a task without a run has places at which it
   cannot be started: a successor would wait for them.  */
void placer_check_useless (struct placer *plc, int64_t now_us);

/* placer_record.c */
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
/* Adds those of PLACES on WRK, and the runs of earlier owners there, to its
   row WORKER; WRK is NULL if it is not in the pool.  Returns false when out of
   memory.  */
bool placer_fill_runs (struct placer *plc, void *ctx, struct worker *wrk,
                       const struct named_places *places,
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
