#include "base/log.h"
#include "sched/placer_places.h"

/* Reports perpetual tasks that do not run, and why no worker is a place for
   them.  */

/* Tasks that wait for less are not reported.  */
#define UNPLACED_REPORT_US 1000000
/* The same for a task with a reservation: batch runs end within about 1 s of
   their stop.  */
#define UNPLACED_RESERVED_US 2000000
#define UNPLACED_CHECK_INTERVAL_US 200000
/* Least time between two reports of one task, and time in which a pool has at
   most UNPLACED_REPORTS_MAX of them: the first tell the cause.  */
#define UNPLACED_REPORT_INTERVAL_US 5000000
#define UNPLACED_REPORTS_MAX 4

struct check
{
  struct placer *plc;
  int64_t now_us;
  uint32_t tasks; /* that wait, watched or not */
};

static struct unplaced_task *
find_unplaced (struct placer *plc, const struct task_ref *ref)
{
  for (size_t n = 0; n < plc->unplaced_count; n++)
    {
      struct unplaced_task *row = &plc->unplaced[n];
      if (row->ref.job == ref->job && row->ref.occurrence == ref->occurrence
          && row->ref.step == ref->step && row->ref.index == ref->index)
        return row;
    }
  return NULL;
}

static bool
note_task (void *arg, struct job *job, const struct task_ref *ref)
{
  struct check *chk = arg;
  struct placer *plc = chk->plc;
  const struct task *tsk = job_task (job, ref);
  if (placer_has_runs (tsk) || chk->now_us < tsk->not_before_us)
    return true;
  chk->tasks++;
  struct unplaced_task *row = find_unplaced (plc, ref);
  if (!row && plc->unplaced_count < UNPLACED_TASKS_MAX)
    {
      row = &plc->unplaced[plc->unplaced_count++];
      *row = (struct unplaced_task){ .ref = *ref, .since_us = chk->now_us };
    }
  if (row)
    row->waits = true;
  return true;
}

/* What the task has to wait for before it may be placed, and in *AWAITED whose
   act or answer that is; "none" if nothing.  */
static const char *
find_wait (struct placer *plc, struct job *job, const struct task_ref *ref,
           int64_t now_us, const char **awaited)
{
  const struct task *tsk = job_task (job, ref);
  const struct queue *que = catalog_queue (*plc->env.cat, job->queue);
  uint32_t only;
  *awaited = "";
  if (job->contested)
    {
      const struct job *row = job_table_find (plc->env.jobs, job->id);
      *awaited = row == job ? row->next_rival->pool : row->pool;
      return "withdrawal";
    }
  if (!placer_pool_certain (plc, job, que, now_us))
    return "other_partitions";
  if (placer_may_still_run (plc, job, ref))
    {
      *awaited = placer_task_awaits (plc, job, ref);
      *awaited = *awaited ? *awaited : "";
      return "earlier_owner";
    }
  if (!placer_may_run_late (plc, tsk, ref))
    return "none";
  *awaited = placer_late_start_worker (plc, ref);
  return placer_late_place (plc, tsk, ref, &only) == LATE_PLACE_NONE
             ? "late_start"
             : "place_of_late_start";
}

static void
log_unplaced (const struct check *chk, const struct unplaced_task *row,
              struct job *job)
{
  struct placer *plc = chk->plc;
  uint32_t counts[PLACE_REASONS] = { 0 };
  const struct place_request req = { .job = job,
                                     .step = &job->spec.steps[row->ref.step],
                                     .ref = &row->ref,
                                     .now_us = chk->now_us };
  const struct worker *reserved
      = placer_find_worker (plc, job_task (job, &row->ref)->reserved_worker);
  const char *obstacle = placer_start_obstacle (plc, chk->now_us);
  const char *awaited;
  const char *waits_for
      = find_wait (plc, job, &row->ref, chk->now_us, &awaited);
  char name[TASK_NAME_MAX];
  for (size_t n = 0; n < plc->pool.count; n++)
    counts[places_reason (plc->pool.workers[n], &req)]++;
  task_ref_format (&row->ref, name);
  log_event (plc->env.lg, EV_TASK_UNPLACED, LOG_S ("pool", plc->set.pool),
             LOG_S ("task", name),
             LOG_I ("for_ms", (chk->now_us - row->since_us) / 1000),
             LOG_I ("tasks", chk->tasks), LOG_I ("workers", plc->pool.count),
             LOG_I ("vacated", counts[PLACE_VACATED]),
             LOG_I ("draining", counts[PLACE_DRAINING]),
             LOG_I ("unavailable", counts[PLACE_UNAVAILABLE]),
             LOG_I ("label", counts[PLACE_LABEL]),
             LOG_I ("bound", counts[PLACE_BOUND]),
             LOG_I ("no_room", counts[PLACE_NO_ROOM]),
             LOG_I ("allowed", counts[PLACE_ALLOWED]),
             LOG_S ("required_label", req.step->required_label),
             LOG_S ("reserved", reserved ? reserved->rep.id : ""),
             LOG_S ("waits_for", waits_for), LOG_S ("awaited", awaited),
             LOG_S ("owner", obstacle ? obstacle : "ready"));
}

static bool
report_due (const struct placer *plc, const struct unplaced_task *row,
            const struct job *job, int64_t now_us)
{
  const struct task *tsk = job_task ((struct job *)job, &row->ref);
  int64_t least_us
      = tsk->reserved_worker ? UNPLACED_RESERVED_US : UNPLACED_REPORT_US;
  return now_us - row->since_us >= least_us
         && (row->reported_us == 0
             || now_us - row->reported_us >= UNPLACED_REPORT_INTERVAL_US);
}

/* Reports the tasks that are due, of those that were reported before or of the
   others.  */
static void
report_tasks (const struct check *chk, bool reported)
{
  struct placer *plc = chk->plc;
  for (size_t n = 0; n < plc->unplaced_count; n++)
    {
      struct unplaced_task *row = &plc->unplaced[n];
      struct job *job = placer_find_job (plc, row->ref.job);
      if (plc->unplaced_reports >= UNPLACED_REPORTS_MAX)
        return;
      if ((row->reported_us > 0) != reported || !job
          || !report_due (plc, row, job, chk->now_us))
        continue;
      if (plc->unplaced_reports++ == 0)
        plc->unplaced_reports_us = chk->now_us;
      row->reported_us = chk->now_us;
      log_unplaced (chk, row, job);
    }
}

void
placer_check_unplaced (struct placer *plc, int64_t now_us)
{
  struct check chk = { .plc = plc, .now_us = now_us };
  size_t kept = 0;
  if (now_us < plc->next_unplaced_check_us)
    return;
  plc->next_unplaced_check_us = now_us + UNPLACED_CHECK_INTERVAL_US;
  for (size_t n = 0; n < plc->unplaced_count; n++)
    plc->unplaced[n].waits = false;
  places_each_task (plc, note_task, &chk);
  for (size_t n = 0; n < plc->unplaced_count; n++)
    if (plc->unplaced[n].waits)
      plc->unplaced[kept++] = plc->unplaced[n];
  plc->unplaced_count = kept;
  if (now_us - plc->unplaced_reports_us >= UNPLACED_REPORT_INTERVAL_US)
    plc->unplaced_reports = 0;
  report_tasks (&chk, false);
  report_tasks (&chk, true);
}
