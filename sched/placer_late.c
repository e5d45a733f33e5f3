#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "base/log.h"
#include "fleet/host_link.h"
#include "sched/placer_priv.h"

/* Calls that may be carried out after they were given up, also by the next
   instance of the worker; see docs/design/instances.md.  */

uint64_t
placer_command_token (const struct placer *plc, struct worker *wrk)
{
  wrk->generation_used = true;
  return plc->set.token + wrk->generation;
}

void
placer_raise_generation (const struct placer *plc, struct worker *wrk)
{
  wrk->generation_answered_us = 0;
  if (!wrk->generation_used)
    return;
  /* Without a further token, the present instance may carry out earlier calls
     for up to LATE_CALL_MAX_US.  */
  wrk->generations_spent = wrk->generation + 1 >= plc->set.token_count;
  wrk->generation += !wrk->generations_spent;
  wrk->generation_used = false;
}

void
placer_note_late_acks (struct worker *wrk, const struct timed_call *call)
{
  wrk->late_acks_us = call->sent_us + LATE_CALL_MAX_US;
  wrk->late_acks_generation = call->generation;
}

void
placer_outdate_late_acks (const struct placer *plc, struct worker *wrk)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  bool late = wrk->generation == wrk->late_acks_generation
              && now_us < wrk->late_acks_us;
  if (late
      || (wrk->generation == wrk->acks_generation
          && wrk->acks_in_flight_us > 0))
    placer_raise_generation (plc, wrk);
}

void
placer_note_generation (struct placer *plc, struct worker *wrk,
                        const struct timed_call *call,
                        enum command_status status)
{
  if (status != COMMAND_DONE || call->generation != wrk->generation
      || wrk->generation_answered_us || wrk->generations_spent)
    return;
  wrk->generation_answered_us = clock_now_us (plc->env.clk);
  placer_end_earlier_leases (plc, wrk, wrk->generation_answered_us);
}

bool
placer_fenced_by_own (const struct worker *wrk, const struct timed_call *call)
{
  return call->generation < wrk->generation;
}

static void
remove_late_start (struct placer *plc, size_t index)
{
  const struct late_start *late = &plc->late_starts[index];
  struct job *job = placer_find_job (plc, late->ref.job);
  struct task *tsk = job ? job_task (job, &late->ref) : NULL;
  if (tsk && tsk->late_starts > 0 && --tsk->late_starts == 0)
    tsk->late_worker = 0;
  plc->late_starts[index] = plc->late_starts[--plc->late_start_count];
}

static bool
is_over (const struct late_start *late, int64_t now_us)
{
  return now_us > late->sent_us + LATE_CALL_MAX_US;
}

/* When a run that LATE has begun has certainly ended, if nobody reaches its
   worker.  Later calls without an answer may have extended its lease.  */
static int64_t
run_end_us (const struct placer *plc, const struct late_start *late)
{
  const struct worker *wrk = pool_find_id (&plc->pool, late->worker);
  int64_t longest_us = placer_add_lease_slack (plc->set.lease_max_ms * 1000);
  int64_t last_us = late->sent_us + LATE_CALL_MAX_US;
  if (!wrk && plc->removed_leases_end_us > last_us + longest_us)
    return plc->removed_leases_end_us;
  if (wrk && wrk->late_leases_us > last_us)
    last_us = wrk->late_leases_us;
  return last_us + longest_us;
}

bool
placer_late_start_may_run (const struct placer *plc,
                           const struct late_start *late, int64_t now_us)
{
  return now_us <= run_end_us (plc, late);
}

/* Why an instance of WRK, the worker of LATE, may run it without having been
   told to stop it, or NULL if none may.  WRK is NULL if it was removed from
   the pool.  */
static const char *
find_obstacle (const struct worker *wrk, const struct late_start *late)
{
  if (!wrk)
    return late->host_down ? NULL : "removed";
  if (wrk->reported_ended)
    {
      if (wrk->reported_born_ms > wrk->rep.born_ms)
        return "restarted";
    }
  else if (wrk->unanswered_calls > 0)
    return "silent";
  else if (wrk->unlisted || wrk->ended_us)
    return "unlisted";
  /* Its present instance may take a start of an earlier owner.  */
  return late->earlier && !wrk->settled ? "unsettled" : NULL;
}

static bool
is_same_task (const struct task_ref *a, const struct task_ref *b)
{
  return a->job == b->job && a->occurrence == b->occurrence
         && a->step == b->step && a->index == b->index;
}

struct late_start
placer_late_start_of (const struct run *run)
{
  struct late_start late = { .ref = run->ref,
                             .number = run->number,
                             .sent_us = run->start_sent_us };
  name_copy (late.worker, run->wrk->rep.id);
  name_copy (late.host, run->wrk->rep.host);
  return late;
}

/* Keeps the room of RUN, which is given up, for its task, as that may start on
   no other worker.  */
static void
keep_room (const struct run *run, int64_t now_us)
{
  const struct step *stp = &run->job->spec.steps[run->ref.step];
  struct worker *wrk = run->wrk;
  if (!stp->perpetual || run->tsk->run != run || run->unwanted
      || run->tsk->reserved_worker || job_ended (run->job) || !wrk->registered
      || wrk->ended_us || wrk->rep.draining || wrk->vacate)
    return;
  /* The room may be promised to a task that preempts runs.  Of two
     reservations for it, both would wait until one expires.  */
  resources_add (&wrk->used, stp, -1);
  bool fits = place_fits (wrk, stp);
  resources_add (&wrk->used, stp, 1);
  if (fits)
    placer_reserve (run->tsk, stp, wrk, now_us);
}

void
placer_add_late_start (struct placer *plc, const struct run *run)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  const struct late_start late = placer_late_start_of (run);
  for (size_t n = plc->late_start_count; n-- > 0;)
    if (is_over (&plc->late_starts[n], now_us)
        && now_us > run_end_us (plc, &plc->late_starts[n]))
      remove_late_start (plc, n);
  if (is_over (&late, now_us))
    return;
  if (late.sent_us + LATE_CALL_MAX_US > run->wrk->late_starts_us)
    run->wrk->late_starts_us = late.sent_us + LATE_CALL_MAX_US;
  struct late_start *rows = talloc_realloc (
      plc, plc->late_starts, struct late_start, plc->late_start_count + 1);
  if (!rows)
    {
      /* Without a row the task waits for the longest time possible.  */
      run->tsk->not_before_us = run_end_us (plc, &late);
      return;
    }
  plc->late_starts = rows;
  rows[plc->late_start_count++] = late;
  run->tsk->late_starts++;
  run->tsk->late_worker = run->wrk->handle;
  keep_room (run, now_us);
  char name[TASK_NAME_MAX];
  task_ref_format (&late.ref, name);
  log_event (
      plc->env.lg, EV_RUN_LATE_START, LOG_S ("task", name),
      LOG_I ("run", late.number), LOG_S ("worker", late.worker),
      LOG_I ("left_ms", (late.sent_us + LATE_CALL_MAX_US - now_us) / 1000));
}

void
placer_drop_late_start (struct placer *plc, const struct worker *wrk,
                        const struct task_ref *ref, uint32_t number)
{
  for (size_t n = plc->late_start_count; n-- > 0;)
    if (plc->late_starts[n].number == number
        && is_same_task (&plc->late_starts[n].ref, ref)
        && strcmp (plc->late_starts[n].worker, wrk->rep.id) == 0)
      {
        remove_late_start (plc, n);
        plc->late_starts_changed = true;
      }
}

void
placer_keep_late_starts (struct placer *plc, const struct worker *wrk)
{
  for (size_t n = 0; n < plc->late_start_count; n++)
    if (strcmp (plc->late_starts[n].worker, wrk->rep.id) == 0)
      plc->late_starts[n].host_down = wrk->reported_ended;
}

void
placer_end_late_starts (struct placer *plc, const struct worker *wrk,
                        int64_t asked_us)
{
  for (size_t n = plc->late_start_count; n-- > 0;)
    if (is_over (&plc->late_starts[n], asked_us)
        && strcmp (plc->late_starts[n].worker, wrk->rep.id) == 0)
      remove_late_start (plc, n);
}

void
placer_stop_late_starts (struct placer *plc, struct worker *wrk)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  for (size_t n = plc->late_start_count; n-- > 0;)
    {
      const struct late_start late = plc->late_starts[n];
      struct job *job = placer_find_job (plc, late.ref.job);
      if (is_over (&late, now_us) || late.earlier
          || strcmp (late.worker, wrk->rep.id) != 0)
        continue;
      else if (!job)
        placer_stop_unknown (plc, wrk, &late.ref, late.number);
      else if (placer_stop_late_start (plc, wrk, job, &late))
        remove_late_start (plc, n);
    }
}

bool
placer_may_run_late (const struct placer *plc, const struct task *tsk,
                     const struct task_ref *ref)
{
  if (tsk->late_starts == 0)
    return false;
  int64_t now_us = clock_now_us (plc->env.clk);
  for (size_t n = 0; n < plc->late_start_count; n++)
    if (is_same_task (&plc->late_starts[n].ref, ref)
        && now_us <= run_end_us (plc, &plc->late_starts[n]))
      return true;
  return false;
}

struct late_tie
placer_late_tie (const struct placer *plc, const struct task *tsk,
                 const struct task_ref *ref)
{
  struct late_tie tie = { .place = LATE_PLACE_ANY, .id = "" };
  if (tsk->late_starts == 0)
    return tie;
  int64_t now_us = clock_now_us (plc->env.clk);
  for (size_t n = 0; n < plc->late_start_count; n++)
    {
      const struct late_start *late = &plc->late_starts[n];
      const struct worker *wrk = pool_find_id (&plc->pool, late->worker);
      if (!is_same_task (&late->ref, ref) || now_us > run_end_us (plc, late))
        continue;
      tie.obstacle = find_obstacle (wrk, late);
      if (!tie.obstacle && wrk && tie.worker && tie.worker != wrk->handle)
        tie.obstacle = "two_workers";
      if (!tie.obstacle && (!wrk || wrk->reported_ended))
        continue;
      tie.id = late->worker;
      if (tie.obstacle)
        {
          tie.place = LATE_PLACE_NONE;
          tie.worker = 0;
          tie.until_us = run_end_us (plc, late);
          return tie;
        }
      tie.place = LATE_PLACE_SAME;
      tie.worker = wrk->handle;
      if (late->sent_us + LATE_CALL_MAX_US > tie.until_us)
        tie.until_us = late->sent_us + LATE_CALL_MAX_US;
    }
  return tie;
}

enum late_place
placer_late_place (const struct placer *plc, const struct task *tsk,
                   const struct task_ref *ref, uint32_t *worker)
{
  const struct late_tie tie = placer_late_tie (plc, tsk, ref);
  *worker = tie.worker;
  return tie.place;
}

void
placer_add_earlier_start (struct placer *plc, const struct late_start *late)
{
  struct job *job = placer_find_job (plc, late->ref.job);
  struct task *tsk = job ? job_task (job, &late->ref) : NULL;
  if (!tsk)
    return;
  /* The number may not be in the job's progress.  */
  if (late->number > tsk->prg.last_run)
    tsk->prg.last_run = late->number;
  struct late_start *rows = talloc_realloc (
      plc, plc->late_starts, struct late_start, plc->late_start_count + 1);
  if (!rows)
    return; /* out of memory: the task does not wait for it */
  plc->late_starts = rows;
  rows[plc->late_start_count] = *late;
  rows[plc->late_start_count++].earlier = true;
  tsk->late_starts++;
  char name[TASK_NAME_MAX];
  task_ref_format (&late->ref, name);
  log_event (plc->env.lg, EV_RUN_LATE_START, LOG_S ("task", name),
             LOG_I ("run", late->number), LOG_S ("worker", late->worker),
             LOG_I ("left_ms", (late->sent_us + LATE_CALL_MAX_US
                                - clock_now_us (plc->env.clk))
                                   / 1000));
}

void
placer_expect_late_starts (const struct placer *plc, struct worker *wrk)
{
  for (size_t n = 0; n < plc->late_start_count; n++)
    {
      const struct late_start *late = &plc->late_starts[n];
      struct job *job = placer_find_job (plc, late->ref.job);
      struct task *tsk = job ? job_task (job, &late->ref) : NULL;
      int64_t over_us = late->sent_us + LATE_CALL_MAX_US;
      if (strcmp (late->worker, wrk->rep.id) != 0)
        continue;
      if (tsk)
        tsk->late_worker = wrk->handle;
      if (over_us > wrk->late_starts_us)
        wrk->late_starts_us = over_us;
    }
}

bool
placer_awaits_down_hosts (const struct placer *plc)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  for (size_t n = 0; n < plc->late_start_count; n++)
    {
      const struct late_start *late = &plc->late_starts[n];
      const struct worker *wrk = pool_find_id (&plc->pool, late->worker);
      if (now_us > run_end_us (plc, late))
        continue;
      if (!wrk || wrk->reported_ended || wrk->unanswered_calls > 0)
        return true;
    }
  return false;
}

void
placer_end_late_starts_on_host (struct placer *plc,
                                const struct host_report *rep,
                                int64_t asked_us)
{
  for (size_t n = plc->late_start_count; n-- > 0;)
    {
      struct late_start *late = &plc->late_starts[n];
      bool same = strcmp (late->worker, rep->worker) == 0;
      /* A host that comes back from another pool has a worker with another
         id.  */
      bool replaced
          = !same
            && (*rep->worker
                || (*rep->pool && strcmp (rep->pool, plc->set.pool) != 0));
      bool down = rep->state != HOST_UP && asked_us > late->sent_us;
      int64_t last_us = late->sent_us + (replaced ? 0 : LATE_CALL_MAX_US);
      if (!*late->host || strcmp (late->host, rep->name) != 0)
        continue;
      if (down && !pool_find_id (&plc->pool, late->worker))
        late->host_down = true;
      if ((replaced || rep->state != HOST_UP)
          && asked_us > last_us + HOST_LIST_LAG_US)
        remove_late_start (plc, n);
    }
}

void
placer_end_late_starts_without_host (struct placer *plc,
                                     bool (*listed) (const void *list,
                                                     const char *host),
                                     const void *list, int64_t asked_us)
{
  for (size_t n = plc->late_start_count; n-- > 0;)
    {
      struct late_start *late = &plc->late_starts[n];
      if (!*late->host || listed (list, late->host)
          || asked_us <= late->sent_us + HOST_LIST_LAG_US
          || pool_find_id (&plc->pool, late->worker))
        late->absent_lists = 0;
      else if (++late->absent_lists >= ABSENT_LISTS_MIN)
        remove_late_start (plc, n);
    }
}
