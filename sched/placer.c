#include "sched/placer.h"

#include <stddef.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/log.h"
#include "sched/job_order.h"
#include "sched/placer_record.h"

/* Time to the next tick, unless the placer is woken before: while there are
   jobs, runs or progress to flush, and while there are none.  */
#define TICK_BUSY_US 40000
#define TICK_IDLE_US 250000
/* A worker is kept for this time after its report was removed.  Reports expire
   while the store is unreachable and are back within 2 s of its return.  */
#define UNREGISTERED_KEEP_US 3000000

/* Time over which is measured how often ticks reach the limit of starts.  */
#define START_LIMIT_SPAN_US 1000000

struct candidate
{
  struct job_order_key key;
  struct job *job;
};

struct worker *
placer_find_worker (const struct placer *plc, uint32_t handle)
{
  return pool_find (&plc->pool, handle);
}

void
placer_release_call (struct placer *plc)
{
  if (--plc->calls_in_flight == 0 && plc->closing)
    talloc_free (plc);
}

struct job *
placer_find_job (const struct placer *plc, uint64_t id)
{
  return job_table_find_in (plc->env.jobs, id, plc->set.pool);
}

static bool
has_perpetual_step (const struct job *job)
{
  for (size_t n = 0; n < job->spec.step_count; n++)
    if (job->spec.steps[n].perpetual)
      return true;
  return false;
}

/* Adds JOB to *JOBS.  Returns false when out of memory.  */
static bool
add_job (struct placer *plc, struct job ***jobs, size_t *count,
         struct job *job)
{
  struct job **rows = talloc_realloc (plc, *jobs, struct job *, *count + 1);
  if (!rows)
    return false;
  *jobs = rows;
  rows[(*count)++] = job;
  return true;
}

static void
set_goal (struct placer *plc, struct job *job)
{
  const struct queue *que = catalog_queue (*plc->env.cat, job->queue);
  /* The record of an earlier version does not state it.  */
  if (que && job->attempts == 0)
    job->attempts = que->attempts;
  job->goal_ms = job_order_goal_ms (job, que ? que->stretch : 1.0,
                                    que ? que->goal_extra_ms : 0, 1000);
}

void
placer_update_job (struct placer *plc, struct job *job, enum job_change change)
{
  if (strcmp (job->pool, plc->set.pool) != 0)
    return;
  if (change == JOB_CHANGE_NEW && !job_ended (job))
    {
      if (has_perpetual_step (job)
          && !add_job (plc, &plc->perpetual_jobs, &plc->perpetual_job_count,
                       job))
        return;
      if (!add_job (plc, &plc->jobs, &plc->job_count, job))
        {
          plc->perpetual_job_count -= has_perpetual_step (job);
          return;
        }
      plc->new_jobs++;
      job->scheduled = true;
      job->dirty = false;
      set_goal (plc, job);
    }
  else if (change == JOB_CHANGE_CANCELLED)
    placer_stop_job (plc, job);
  /* An end that the readers of earlier records have found is recorded.  */
  else if (change == JOB_CHANGE_STALE
           || (change == JOB_CHANGE_NEW && job->state == JOB_FAILED
               && !job->outcome_stated))
    placer_mark_dirty (plc, job);
}

void
placer_note_fence (struct placer *plc, uint64_t token)
{
  if (token <= plc->set.token || plc->fenced)
    return;
  plc->fenced = true;
  log_event (plc->env.lg, EV_PLACER_FENCED, LOG_S ("pool", plc->set.pool),
             LOG_S ("by", "fence"), LOG_I ("token", plc->set.token),
             LOG_I ("later_token", token));
}

void
placer_confirm_ownership (struct placer *plc, int64_t at_us)
{
  if (at_us > plc->confirmed_us)
    plc->confirmed_us = at_us;
}

static struct worker *
add_worker (struct placer *plc, const struct worker_report *rep)
{
  struct worker *wrk = pool_add (&plc->pool, plc, rep);
  if (!wrk)
    return NULL;
  wrk->known_us = rep->known_us ? rep->known_us : clock_now_us (plc->env.clk);
  wrk->own_leases_end_us = plc->removed_leases_end_us;
  wrk->generation = plc->removed_generation;
  placer_stop_late_starts (plc, wrk);
  placer_expect_late_starts (plc, wrk);
  return wrk;
}

void
placer_end_instance (struct placer *plc, struct worker *wrk)
{
  if (!wrk->ended_us)
    wrk->ended_us = clock_now_us (plc->env.clk);
  wrk->reported_ended = true;
  wrk->gone = false;
  wrk->ended_list_us = 0;
}

/* Ends the workers of the host that were started before the worker of REP. The
   start times are compared because a late report of an earlier worker may
   arrive after the report of its successor.  */
static void
end_earlier_instances (struct placer *plc, const struct worker_report *rep)
{
  size_t pos = 0;
  struct worker *wrk;
  placer_drop_earlier_on_host (plc, rep);
  while (*rep->host && (wrk = pool_next_on_host (&plc->pool, rep->host, &pos)))
    if (wrk->rep.born_ms > 0 && rep->born_ms > wrk->rep.born_ms
        && !wrk->ended_us)
      {
        placer_end_instance (plc, wrk);
        wrk->unanswered_calls++;
      }
}

void
placer_worker_ended (struct placer *plc, const char *id)
{
  struct worker *wrk = pool_find_id (&plc->pool, id);
  if (wrk)
    placer_end_instance (plc, wrk);
  placer_drop_earlier_worker (plc, id);
}

/* Whether REP comes from an earlier instance of the worker than the one that
   it has reported since, or than the one that has answered.  */
static bool
is_late_report (const struct worker *wrk, const struct worker_report *rep)
{
  return (wrk->reported_ended && rep->born_ms < wrk->reported_born_ms)
         || (wrk->earlier_born_ms > 0 && rep->born_ms == wrk->earlier_born_ms);
}

void
placer_update_worker (struct placer *plc, const char *id,
                      const struct worker_report *rep)
{
  struct worker *wrk = pool_find_id (&plc->pool, id);
  int64_t now_us = clock_now_us (plc->env.clk);
  bool ours = rep && strcmp (rep->pool, plc->set.pool) == 0;
  if (rep && wrk && is_late_report (wrk, rep))
    return;
  if (rep)
    end_earlier_instances (plc, rep);
  if (!ours)
    {
      if (wrk && wrk->registered)
        {
          wrk->registered = false;
          wrk->unregistered_us = now_us;
        }
      return;
    }
  if (!wrk)
    wrk = add_worker (plc, rep);
  if (!wrk)
    return;
  int64_t born_ms = wrk->rep.born_ms;
  pool_set_report (&plc->pool, wrk, rep);
  wrk->reported_born_ms = rep->born_ms;
  /* Keep the start time on record until the runs of that instance are
     settled.  */
  if (born_ms > 0)
    wrk->rep.born_ms = born_ms;
  else if (rep->born_ms > 0)
    wrk->known_us = rep->known_us ? rep->known_us : now_us;
  /* A late report of an ended instance.  */
  if (wrk->reported_ended && rep->born_ms <= born_ms)
    return;
  plc->worker_changes += !wrk->registered;
  wrk->registered = true;
}

uint64_t
placer_worker_changes (const struct placer *plc)
{
  return plc->worker_changes;
}

bool
placer_step_ready (const struct job *job, const struct occurrence *occ,
                   const struct step *stp)
{
  for (size_t n = 0; n < stp->after_count; n++)
    if (occ->step_done[stp->after[n]] < job->spec.steps[stp->after[n]].count)
      return false;
  return true;
}

void
placer_note_waiting (struct placer *plc, const struct step *stp,
                     uint32_t count)
{
  plc->waiting_tasks += count;
  if (plc->placing_past_use)
    return;
  plc->useful_waiting_tasks += count;
  plc->waiting_cpu_milli += count * stp->need.cpu_milli;
}

/* Refused starts in a row after which a task tries all workers in turn.  Two
   that refuse it for good would be tried alternately.  */
#define IN_TURN_REFUSALS 2

/* Picks a worker that the log does not name yet for a perpetual task, which no
   other worker can take.  Its start waits for a record anyway, and the same
   one names the worker.  While records are appended at once the task waits for
   its worker's: others arrive meanwhile, of which a better one is picked.  */
static struct worker *
pick_unenrolled (struct placer *plc, const struct place_request *req)
{
  struct place_request any = *req;
  any.unenrolled = true;
  return req->step->perpetual && placer_records_runs (plc)
                 && placer_record_delayed (plc, req->now_us)
             ? place_pick_unenrolled (&plc->pool, &any)
             : NULL;
}

/* Picks a worker for a task; while the record in flight has no answer, one on
   which a perpetual task need not wait for it.  */
static struct worker *
pick_worker (struct placer *plc, const struct place_request *req)
{
  struct worker *wrk = NULL;
  char name[TASK_NAME_MAX];
  if (req->step->perpetual && placer_record_delayed (plc, req->now_us))
    wrk = placer_pick_named (plc, req);
  if (!wrk)
    {
      wrk = placer_pick_worker (plc, req);
      return wrk ? wrk : pick_unenrolled (plc, req);
    }
  task_ref_format (req->ref, name);
  log_event (plc->env.lg, EV_RUN_NAMED_PLACE, LOG_S ("pool", plc->set.pool),
             LOG_S ("task", name), LOG_S ("worker", wrk->rep.id),
             LOG_I ("record_ms", (req->now_us - plc->enrol_sent_us) / 1000));
  return wrk;
}

static void
place_task (struct placer *plc, struct job *job, const struct task_ref *ref,
            int64_t now_us)
{
  const struct step *stp = &job->spec.steps[ref->step];
  struct task *tsk = job_task (job, ref);
  if (tsk->prg.done || placer_has_runs (tsk) || now_us < tsk->not_before_us)
    return;
  if (placer_may_still_run (plc, job, ref))
    return;
  uint32_t only = 0;
  if (placer_may_run_late (plc, tsk, ref)
      && (!stp->perpetual
          || placer_late_place (plc, tsk, ref, &only) == LATE_PLACE_NONE))
    return;
  const struct place_request req = {
    .job = job,
    .step = stp,
    .ref = ref,
    .avoid = only ? 0 : tsk->avoid_worker,
    .only = only,
    .in_turn = tsk->refusals >= IN_TURN_REFUSALS,
    .now_us = now_us,
  };
  struct worker *wrk = tsk->reserved_worker ? placer_take_reserved (plc, &req)
                                            : pick_worker (plc, &req);
  if (wrk)
    {
      placer_start_task (plc, job, ref, wrk);
      return;
    }
  if (stp->perpetual)
    placer_preempt (plc, &req);
  placer_note_waiting (plc, stp, 1);
}

static void
place_job (struct placer *plc, struct job *job, int64_t now_us,
           int64_t wall_ms)
{
  for (uint32_t k = 0; k < job->occurrence_count; k++)
    {
      struct occurrence *occ = &job->occurrences[k];
      if (occ->due_ms > wall_ms || occ->done == job->task_count)
        continue;
      for (uint32_t n = 0; n < job->spec.step_count; n++)
        {
          const struct step *stp = &job->spec.steps[n];
          struct task_ref ref = { .job = job->id, .occurrence = k, .step = n };
          if (occ->step_done[n] == stp->count
              || !placer_step_ready (job, occ, stp))
            continue;
          if (stp->gang && !stp->perpetual)
            {
              placer_place_gang (plc, job, &ref, now_us);
              continue;
            }
          for (ref.index = 0; ref.index < stp->count; ref.index++)
            place_task (plc, job, &ref, now_us);
        }
    }
}

static int
compare_candidates (const void *a, const void *b)
{
  const struct candidate *ca = a;
  const struct candidate *cb = b;
  int diff = job_order_key_compare (&ca->key, &cb->key);
  if (diff)
    return diff;
  return ca->job->id < cb->job->id ? -1 : ca->job->id > cb->job->id;
}

/* Moves the COUNT candidates that come first to the front of all TOTAL, in any
   order, by Hoare's selection.  COUNT is below TOTAL and not 0.  */
static void
select_first (struct candidate *cands, size_t total, size_t count)
{
  const ptrdiff_t target = (ptrdiff_t)count - 1;
  ptrdiff_t left = 0, right = (ptrdiff_t)total - 1;
  while (left < right)
    {
      const struct candidate pivot = cands[target];
      ptrdiff_t low = left, high = right;
      while (low <= high)
        {
          while (compare_candidates (&cands[low], &pivot) < 0)
            low++;
          while (compare_candidates (&pivot, &cands[high]) < 0)
            high--;
          if (low > high)
            break;
          const struct candidate swap = cands[low];
          cands[low++] = cands[high];
          cands[high--] = swap;
        }
      if (high < target)
        left = low;
      if (target < low)
        right = high;
    }
}

/* Counts the tasks of JOB that wait and that this tick does not try to
   place.  */
static void
note_waiting_job (struct placer *plc, const struct job *job, int64_t wall_ms)
{
  for (uint32_t k = 0; k < job->occurrence_count; k++)
    {
      const struct occurrence *occ = &job->occurrences[k];
      if (occ->due_ms > wall_ms)
        continue;
      for (uint32_t n = 0; n < job->spec.step_count; n++)
        {
          const struct step *stp = &job->spec.steps[n];
          if (occ->step_done[n] < stp->count
              && placer_step_ready (job, occ, stp))
            placer_note_waiting (plc, stp, stp->count - occ->step_done[n]);
        }
    }
}

bool
placer_job_has_runs (const struct job *job)
{
  for (uint32_t n = 0; n < job->occurrence_count; n++)
    for (uint32_t m = 0; m < job->task_count; m++)
      if (placer_has_runs (&job->occurrences[n].tasks[m]))
        return true;
  return false;
}

static void
drop_ended_jobs (struct placer *plc)
{
  size_t kept = 0;
  for (size_t n = 0; n < plc->job_count; n++)
    {
      struct job *job = plc->jobs[n];
      job->scheduled
          = !job_ended (job) || job->dirty || placer_job_has_runs (job);
      if (job->scheduled)
        plc->jobs[kept++] = job;
    }
  plc->job_count = kept;
  kept = 0;
  for (size_t n = 0; n < plc->perpetual_job_count; n++)
    if (plc->perpetual_jobs[n]->scheduled)
      plc->perpetual_jobs[kept++] = plc->perpetual_jobs[n];
  plc->perpetual_job_count = kept;
}

static void
place_all (struct placer *plc, int64_t now_us)
{
  int64_t wall_ms = clock_wall_ms (plc->env.clk);
  size_t count = 0;
  struct candidate *cands
      = talloc_array (plc, struct candidate, plc->job_count + 1);
  plc->waiting_tasks = plc->useful_waiting_tasks = 0;
  plc->no_room_count = 0;
  plc->failed_searches = 0;
  plc->start_limit_reached = false;
  plc->starts_sent = plc->starts_checked = 0;
  plc->tick_too_long = false;
  plc->awaits_others = false;
  plc->last_pick = NULL;
  plc->waiting_cpu_milli = 0;
  for (size_t n = 0; cands && n < plc->job_count; n++)
    {
      struct job *job = plc->jobs[n];
      const struct queue *que = catalog_queue (*plc->env.cat, job->queue);
      /* The limit may be lower than when a task failed last.  */
      if (job->failed_run_count > 0
          && job->attempts_applied != placer_attempts (plc, job))
        placer_end_job_if_due (plc, job, now_us);
      if (job_ended (job) || !placer_pool_certain (plc, job, que, now_us))
        continue;
      cands[count].job = job;
      cands[count++].key
          = job_order_key_make (job, que ? que->priority : 0, 1000, wall_ms);
      if (cands[count - 1].key.past_use && !job->past_use_counted)
        {
          job->past_use_counted = true;
          plc->past_use_jobs++;
          counter_add (plc->env.ctr, CTR_JOBS_PAST_USE, 1);
        }
    }
  size_t placed = count < JOBS_PER_TICK_MAX ? count : JOBS_PER_TICK_MAX;
  if (placed < count)
    select_first (cands, count, placed);
  if (placed > 1)
    qsort (cands, placed, sizeof *cands, compare_candidates);
  for (size_t n = 0; n < placed; n++)
    {
      plc->placing_past_use = cands[n].key.past_use;
      place_job (plc, cands[n].job, now_us, wall_ms);
    }
  /* The first jobs may be such that no worker can take them.  Of the others a
     different part is tried in each tick, and those with perpetual tasks,
     which are few, in all ticks: these tasks may have to be restarted at once.
   */
  uint64_t parts = (count - placed) / OTHER_JOBS_PER_TICK + 1;
  plc->failed_searches = 0;
  plc->tick_number++;
  for (size_t n = placed; n < count; n++)
    {
      plc->placing_past_use = cands[n].key.past_use;
      if ((cands[n].job->id + plc->tick_number) % parts == 0
          || has_perpetual_step (cands[n].job))
        place_job (plc, cands[n].job, now_us, wall_ms);
      else
        note_waiting_job (plc, cands[n].job, wall_ms);
    }
  int64_t span_us = now_us - plc->start_limit_us;
  if (span_us > START_LIMIT_SPAN_US)
    span_us = START_LIMIT_SPAN_US;
  plc->start_limit_permille
      += ((plc->start_limit_reached ? 1000 : 0) - plc->start_limit_permille)
         * span_us / START_LIMIT_SPAN_US;
  plc->start_limit_us = now_us;
  talloc_free (cands);
}

/* Workers that fail one run after the other get no tasks for some time.  If
   that holds for most of those that could take tasks, the jobs are probably at
   fault, and others of the pool would wait beside idle workers: the workers
   are used again sooner.  */
static void
limit_failing (struct placer *plc, int64_t now_us)
{
  size_t usable = 0;
  size_t failing = 0;
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      const struct worker *wrk = plc->pool.workers[n];
      failing += wrk->registered && now_us < wrk->failing_until_us;
      usable += worker_schedulable (wrk, now_us);
    }
  for (size_t n = 0; failing > usable && n < plc->pool.count; n++)
    {
      struct worker *wrk = plc->pool.workers[n];
      if (wrk->failing_until_us > now_us + FAILING_PAUSE_SHORT_US)
        wrk->failing_until_us = now_us + FAILING_PAUSE_SHORT_US;
    }
}

static void
drop_stale_workers (struct placer *plc, int64_t now_us)
{
  for (size_t n = plc->pool.count; n-- > 0;)
    {
      struct worker *wrk = plc->pool.workers[n];
      if (wrk->registered || wrk->runs || wrk->hold_in_flight
          || now_us < wrk->unregistered_us + UNREGISTERED_KEEP_US
          || (!wrk->reported_ended
              && now_us < placer_leases_end_us (plc, wrk)))
        continue;
      /* A worker that has not answered may run tasks of an earlier owner.  */
      if (!plc->takeover_done && placer_worker_unreached (plc, wrk))
        continue;
      plc->enrol_stale = plc->enrol_stale || wrk->enrolled;
      placer_keep_removed (plc, wrk);
      placer_keep_late_starts (plc, wrk);
      /* Another worker has taken its place.  */
      if (wrk->reported_ended && wrk->ended_list_us == 0)
        placer_end_late_starts (plc, wrk, INT64_MAX);
      pool_remove (&plc->pool, n);
    }
}

int64_t
placer_tick (struct placer *plc)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  bool busy = false;
  pool_drop_slots (&plc->pool);
  if (placer_may_command (plc, now_us))
    {
      placer_decide_vacating (plc, now_us);
      placer_age_starts (plc, now_us);
      placer_check_useless (plc, now_us);
      placer_check_spares (plc, now_us);
      placer_enrol (plc);
      for (size_t n = 0; n < plc->pool.count; n++)
        {
          placer_hold (plc, plc->pool.workers[n], now_us);
          placer_evacuate (plc, plc->pool.workers[n], now_us);
          placer_send_stops (plc, plc->pool.workers[n]);
          busy = busy || plc->pool.workers[n]->runs;
        }
      /* Otherwise a known job may follow the fence of a later owner that is
         not known yet, or may have ended.  */
      if (plc->env.log_read_us (plc->env.arg) > 0)
        {
          placer_check_takeover (plc, now_us);
          if (placer_may_start (plc, now_us))
            {
              limit_failing (plc, now_us);
              placer_send_recorded (plc, now_us);
              place_all (plc, now_us);
            }
        }
      if (plc->runs_changed)
        placer_enrol (plc);
    }
  placer_flush (plc, now_us);
  drop_ended_jobs (plc);
  drop_stale_workers (plc, now_us);
  placer_check_stall (plc, now_us);
  placer_check_unplaced (plc, now_us);
  placer_check_waits (plc, now_us);
  busy = busy || plc->job_count > 0 || plc->dirty_count > 0;
  return now_us + (busy ? TICK_BUSY_US : TICK_IDLE_US);
}

bool
placer_needs_confirmation (const struct placer *plc)
{
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      const struct worker *wrk = plc->pool.workers[n];
      if (wrk->runs && wrk->ended_us && plc->confirmed_us < wrk->ended_us)
        return true;
    }
  return false;
}

bool
placer_needs_host_list (const struct placer *plc)
{
  for (size_t n = 0; n < plc->pool.count; n++)
    if (plc->pool.workers[n]->unanswered_calls > 0
        && plc->pool.workers[n]->runs)
      return true;
  return !plc->takeover_done || placer_awaits_down_hosts (plc);
}

struct placer *
placer_create (void *parent, const struct placer_settings *set,
               const struct placer_env *env)
{
  struct placer *plc = talloc_zero (parent, struct placer);
  if (!plc)
    return NULL;
  plc->set = *set;
  plc->set.pool = talloc_strdup (plc, set->pool);
  plc->env = *env;
  plc->claimed_us = clock_now_us (env->clk);
  plc->confirmed_us = set->confirmed_us;
  plc->earlier_leases_end_us = plc->claimed_us + set->confirm_ms * 1000
                               + placer_lease_span_us (set->lease_max_ms);
  for (struct job *head = env->jobs->by_id; head; head = head->hh.next)
    for (struct job *job = head; job; job = job->next_rival)
      placer_update_job (plc, job, JOB_CHANGE_NEW);
  return plc;
}

/* Clears the placer's state in the jobs, which outlive it.  Progress that is
   not in the log goes as well: a later owner does not know it, and this
   process may own the pool again after that one.  */
void
placer_destroy (struct placer *plc)
{
  if (!plc)
    return;
  placer_hand_over_unplaced (plc);
  for (size_t n = 0; n < plc->pool.count; n++)
    while (plc->pool.workers[n]->runs)
      placer_remove_run (plc, plc->pool.workers[n]->runs);
  for (struct job *head = plc->env.jobs->by_id; head; head = head->hh.next)
    {
      struct job *job = placer_find_job (plc, head->id);
      if (job)
        job_revert_to_log (job);
    }
  plc->closing = true;
  if (plc->calls_in_flight == 0)
    talloc_free (plc);
}
