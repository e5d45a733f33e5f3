#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "sched/placer_record.h"

/* Most runs in the record, so that it stays below the store's limit of
   256 KB.  */
#define RECORDED_RUNS_MAX 4096

static bool
is_perpetual (const struct run *run)
{
  return run->job->spec.steps[run->ref.step].perpetual;
}

static bool
is_same_task (const struct task_ref *a, const struct task_ref *b)
{
  return a->job == b->job && a->occurrence == b->occurrence
         && a->step == b->step && a->index == b->index;
}

bool
placer_records_runs (const struct placer *plc)
{
  return plc->takeover_done || plc->earlier_runs_known;
}

/* Whether the logged record names RUN for an earlier owner.  */
static bool
is_earlier_run (const struct placer *plc, const struct run *run)
{
  for (size_t n = 0; n < plc->earlier_run_count; n++)
    {
      const struct earlier_run *row = &plc->earlier_runs[n];
      if (row->recorded && run->number >= row->number
          && run->number - row->number <= row->reserved
          && is_same_task (&row->ref, &run->ref)
          && strcmp (row->worker, run->wrk->rep.id) == 0)
        return true;
    }
  return false;
}

void
placer_note_new_run (struct placer *plc, const struct run *run)
{
  if (is_perpetual (run) && placer_records_runs (plc)
      && !is_earlier_run (plc, run) && placer_needs_places (plc, run))
    plc->runs_changed = true;
}

bool
placer_await_record (struct placer *plc, struct run *run)
{
  if (!is_perpetual (run) || !placer_records_runs (plc)
      || (run->wrk->enrolled
          && placer_is_named (plc, &run->ref, run->wrk, run->number)))
    return false;
  run->unsent = true;
  plc->unsent_runs++;
  placer_want_named (plc, &run->ref, run->wrk, run->number);
  return true;
}

void
placer_note_not_unsent (struct placer *plc, struct run *run)
{
  plc->unsent_runs -= run->unsent;
  run->unsent = false;
}

/* Whether RUN may be started as it was decided before its record was
   appended; with RECORDED it has been.  The record names its worker too.  */
static bool
may_start_now (const struct run *run, bool recorded, int64_t now_us)
{
  return !run->stop_wanted && run->tsk->run == run
         && run->tsk->unwanted_runs == 0 && !job_ended (run->job)
         && !run->job->contested
         && (recorded ? worker_schedulable (run->wrk, now_us)
                      : worker_takes_tasks (run->wrk, now_us));
}

void
placer_drop_unsent (struct placer *plc, struct worker *wrk)
{
  struct run *next;
  for (struct run *run = wrk->runs; run; run = next)
    {
      next = run->next;
      if (run->unsent)
        placer_remove_run (plc, run);
    }
}

/* Whether RUN, whose record is delayed, gives way to one on a worker that is
   named already.  */
static bool
has_named_place (struct placer *plc, const struct run *run, int64_t now_us)
{
  const struct place_request req
      = { .job = run->job,
          .step = &run->job->spec.steps[run->ref.step],
          .ref = &run->ref,
          .now_us = now_us };
  return placer_record_delayed (plc, now_us) && run->tsk->late_starts == 0
         && placer_pick_named (plc, &req);
}

void
placer_send_recorded (struct placer *plc, int64_t now_us)
{
  for (size_t n = 0; plc->unsent_runs > 0 && n < plc->pool.count; n++)
    {
      struct run *next;
      for (struct run *run = plc->pool.workers[n]->runs; run; run = next)
        {
          next = run->next;
          if (!run->unsent)
            continue;
          bool recorded
              = (run->record > 0 && run->record <= plc->durable_record)
                || (run->wrk->enrolled
                    && placer_is_named (plc, &run->ref, run->wrk,
                                        run->number));
          if (!may_start_now (run, recorded, now_us)
              || (!recorded && has_named_place (plc, run, now_us)))
            placer_remove_run (plc, run);
          else if (recorded && !worker_awaits_acks (run->wrk, now_us))
            placer_send_start (plc, run);
        }
    }
}

/* Whether a run of an earlier owner may be on the worker ID, which has not
   told this owner of it.  */
static bool
is_awaited (const struct placer *plc, const char *id)
{
  const struct worker *wrk = pool_find_id (&plc->pool, id);
  if (wrk && placer_worker_unreached (plc, wrk))
    return true;
  for (size_t n = 0; n < plc->earlier_count; n++)
    if (strcmp (plc->earlier[n].id, id) == 0)
      return true;
  return false;
}

const char *
placer_awaited_worker (const struct placer *plc, const struct task_ref *ref,
                       bool *recorded)
{
  const char *awaited = NULL;
  *recorded = false;
  for (size_t n = 0; n < plc->earlier_run_count; n++)
    {
      const struct earlier_run *row = &plc->earlier_runs[n];
      if (!is_same_task (&row->ref, ref))
        continue;
      *recorded = true;
      if (!awaited && is_awaited (plc, row->worker))
        awaited = row->worker;
    }
  return awaited;
}

static void
add_row (Kingcuphollow__PoolWorkers__Worker *worker,
         Kingcuphollow__PoolWorkers__Run *row, const struct task_ref *ref,
         uint32_t number, uint32_t reserved)
{
  kingcuphollow__pool_workers__run__init (row);
  row->job = ref->job;
  row->occurrence = ref->occurrence;
  row->step = ref->step;
  row->index = ref->index;
  row->run = number;
  row->reserved = reserved;
  worker->runs[worker->n_runs++] = row;
}

/* Whether a run that LATE has begun on the worker ID belongs to a perpetual
   task and may exist.  The rows of late starts end before such a run.  */
static bool
may_run_late (const struct placer *plc, const struct late_start *late,
              const char *id, int64_t now_us)
{
  const struct job *job = placer_find_job (plc, late->ref.job);
  return strcmp (late->worker, id) == 0 && job
         && late->ref.step < job->spec.step_count
         && job->spec.steps[late->ref.step].perpetual
         && placer_late_start_may_run (plc, late, now_us);
}

bool
placer_fill_runs (struct placer *plc, void *ctx, struct worker *wrk,
                  const struct named_places *places,
                  Kingcuphollow__PoolWorkers__Worker *worker)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  size_t most = 0;
  bool earlier = is_awaited (plc, worker->id);
  for (size_t n = 0; wrk && n < places->count; n++)
    most += places->rows[n].worker == wrk->handle;
  for (size_t n = 0; earlier && n < plc->earlier_run_count; n++)
    most += strcmp (plc->earlier_runs[n].worker, worker->id) == 0;
  for (size_t n = 0; n < plc->late_start_count; n++)
    most += may_run_late (plc, &plc->late_starts[n], worker->id, now_us);
  if (most == 0)
    return true;
  Kingcuphollow__PoolWorkers__Run *rows
      = talloc_array (ctx, Kingcuphollow__PoolWorkers__Run, most);
  worker->runs = talloc_array (ctx, Kingcuphollow__PoolWorkers__Run *, most);
  if (!rows || !worker->runs)
    return false;
  for (size_t n = 0; wrk && n < places->count; n++)
    {
      const struct named_place *place = &places->rows[n];
      if (place->worker == wrk->handle)
        add_row (worker, &rows[worker->n_runs], &place->ref, place->number,
                 place->last_number - place->number);
    }
  for (struct run *run = wrk ? wrk->runs : NULL; run; run = run->next)
    if (is_perpetual (run) && run->record == 0)
      run->record = plc->last_record + 1;
  for (size_t n = 0; earlier && n < plc->earlier_run_count; n++)
    if (strcmp (plc->earlier_runs[n].worker, worker->id) == 0)
      {
        struct earlier_run *row = &plc->earlier_runs[n];
        add_row (worker, &rows[worker->n_runs], &row->ref, row->number,
                 row->reserved);
        row->recorded = true;
      }
  for (size_t n = 0; n < plc->late_start_count; n++)
    if (may_run_late (plc, &plc->late_starts[n], worker->id, now_us))
      add_row (worker, &rows[worker->n_runs], &plc->late_starts[n].ref,
               plc->late_starts[n].number, 0);
  return true;
}

bool
placer_limit_runs (const struct placer *plc, Kingcuphollow__PoolWorkers *msg)
{
  size_t count = 0;
  for (size_t n = 0; n < msg->n_workers; n++)
    count += msg->workers[n]->n_runs;
  if (count <= RECORDED_RUNS_MAX)
    return placer_records_runs (plc);
  for (size_t n = 0; n < msg->n_workers; n++)
    msg->workers[n]->n_runs = 0;
  return false;
}

/* The row that the record of the earlier owners has for run NUMBER of REF on
   WORKER already, or NULL: it may name it as a run and as a late start.  */
static struct earlier_run *
find_earlier_run (const struct placer *plc, const char *worker,
                  const struct task_ref *ref, uint32_t number)
{
  for (size_t n = 0; n < plc->earlier_run_count; n++)
    {
      struct earlier_run *row = &plc->earlier_runs[n];
      if (row->number == number && is_same_task (&row->ref, ref)
          && strcmp (row->worker, worker) == 0)
        return row;
    }
  return NULL;
}

void
placer_add_earlier_run (struct placer *plc, const char *worker,
                        const Kingcuphollow__PoolWorkers__Run *row)
{
  const struct task_ref ref = { .job = row->job,
                                .occurrence = row->occurrence,
                                .step = row->step,
                                .index = row->index };
  struct job *job = placer_find_job (plc, ref.job);
  struct task *tsk = job ? job_task (job, &ref) : NULL;
  /* The numbers may not be in the job's progress.  */
  if (tsk && row->run + row->reserved > tsk->prg.last_run)
    tsk->prg.last_run = row->run + row->reserved;
  struct earlier_run *known = find_earlier_run (plc, worker, &ref, row->run);
  if (known)
    {
      if (row->reserved > known->reserved)
        known->reserved = row->reserved;
      return;
    }
  if (plc->earlier_run_count == RECORDED_RUNS_MAX)
    {
      plc->earlier_runs_known = false;
      return;
    }
  struct earlier_run *rows = talloc_realloc (
      plc, plc->earlier_runs, struct earlier_run, plc->earlier_run_count + 1);
  if (!rows)
    {
      plc->earlier_runs_known = false;
      return;
    }
  plc->earlier_runs = rows;
  rows += plc->earlier_run_count++;
  *rows = (struct earlier_run){
    .ref = ref, .number = row->run, .reserved = row->reserved, .recorded = true
  };
  name_copy (rows->worker, worker);
}

void
placer_forget_earlier_runs (struct placer *plc)
{
  talloc_free (plc->earlier_runs);
  plc->earlier_runs = NULL;
  plc->earlier_run_count = 0;
}
