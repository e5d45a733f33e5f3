#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "base/log.h"
#include "sched/placer_places.h"
#include "sched/placer_record.h"

/* Emptying of hosts: perpetual tasks move to other workers, batch tasks may
   run on until the time to vacate the host is over.  The pool gives up a host
   only as long as every perpetual task has a place on the other workers.  */

/* Time between two plans of places, which looks at all perpetual tasks.  A
   request that is not decided does not wait for it.  */
#define PLAN_INTERVAL_US 100000
/* A host on which nothing has moved for this time, after the time to vacate it
   is over, is kept: a stop takes up to 1 s, a reservation lasts for 3 s. Moves
   that its tasks wait for count as well.  */
#define NO_PROGRESS_US 4000000
/* A request that is read within this time after the claim may be one that an
   earlier owner has answered.  */
#define INHERITED_US 1000000

static struct vacated_host *
find_vacated (const struct placer *plc, const char *host)
{
  struct vacated_host *vac = plc->vacated;
  while (vac && strcmp (vac->host, host) != 0)
    vac = vac->next;
  return vac;
}

static void
unlink_vacated (struct placer *plc, struct vacated_host *vac)
{
  struct vacated_host **pos = &plc->vacated;
  while (*pos != vac)
    pos = &(*pos)->next;
  *pos = vac->next;
}

static void
set_vacate (struct worker *wrk, struct vacated_host *vac)
{
  bool vacate
      = vac && (vac->state == VACATE_ASKED || vac->state == VACATE_GRANTED);
  for (struct run *run = wrk->runs; vacate && !wrk->vacate && run;
       run = run->next)
    run->moving = false;
  if (vacate && !wrk->vacate)
    wrk->vacate_runs = 0;
  wrk->vacate = vacate;
  wrk->vac = vac;
}

static void
free_vacated (struct placer *plc, struct vacated_host *vac)
{
  for (size_t n = 0; n < plc->pool.count; n++)
    if (plc->pool.workers[n]->vac == vac)
      set_vacate (plc->pool.workers[n], NULL);
  unlink_vacated (plc, vac);
  talloc_free (vac);
}

/* Adds a request, or renews one that was withdrawn, as the last one.  */
static struct vacated_host *
add_vacated (struct placer *plc, struct vacated_host *vac, const char *host,
             int64_t until_us)
{
  struct vacated_host **end = &plc->vacated;
  int64_t now_us = clock_now_us (plc->env.clk);
  if (vac)
    unlink_vacated (plc, vac);
  else
    vac = talloc (plc, struct vacated_host);
  if (!vac)
    return NULL;
  *vac = (struct vacated_host){
    .seq = ++plc->last_vacate_seq,
    .begun_us = now_us,
    .until_us = until_us,
    .progress_us = now_us,
    .inherited = !plc->takeover_done || now_us < plc->claimed_us + INHERITED_US
  };
  name_copy (vac->host, host);
  while (*end)
    end = &(*end)->next;
  *end = vac;
  return vac;
}

/* Drops the reservations of tasks that run on WRK and are not moved any
   more.  */
static void
drop_moves (struct placer *plc, struct worker *wrk, int64_t now_us)
{
  wrk->moves_reserved = false;
  for (const struct run *run = wrk->runs; run; run = run->next)
    {
      const struct place_request req
          = { .job = run->job,
              .step = &run->job->spec.steps[run->ref.step],
              .ref = &run->ref,
              .now_us = now_us };
      if (run->tsk->run == run && !run->stop_wanted
          && run->tsk->reserved_worker)
        placer_drop_reservation (plc, &req, "not_moved");
    }
}

/* Lets the workers of the host, which is not to be emptied any more, take
   tasks.  */
static void
use_again (struct placer *plc, struct vacated_host *vac)
{
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      struct worker *wrk = plc->pool.workers[n];
      if (wrk->vac != vac)
        continue;
      set_vacate (wrk, vac);
      if (!wrk->rep.draining)
        drop_moves (plc, wrk, clock_now_us (plc->env.clk));
    }
}

static void
withdraw (struct placer *plc, struct vacated_host *vac)
{
  bool lacked = vacate_lacked (vac, clock_now_us (plc->env.clk));
  vac->state = VACATE_WITHDRAWN;
  use_again (plc, vac);
  if (!lacked)
    free_vacated (plc, vac);
}

bool
placer_vacate (struct placer *plc, const char *host, int64_t until_us)
{
  bool found = false;
  size_t pos = 0;
  struct worker *wrk;
  struct vacated_host *vac = find_vacated (plc, host);
  int64_t now_us = clock_now_us (plc->env.clk);
  if (until_us <= 0)
    {
      if (vac && vac->state != VACATE_WITHDRAWN)
        withdraw (plc, vac);
      while ((wrk = pool_next_on_host (&plc->pool, host, &pos)))
        found = found || wrk->registered;
      return found;
    }
  if (vac && vac->state != VACATE_WITHDRAWN
      && (until_us > now_us || vac->until_us > now_us))
    vac->until_us = until_us;
  /* Also without a worker yet: an earlier owner may have reported a host as
     empty whose worker is known later than the takeover.  */
  if (!vac || vac->state == VACATE_WITHDRAWN)
    vac = add_vacated (plc, vac, host, until_us);
  while (vac && (wrk = pool_next_on_host (&plc->pool, host, &pos)))
    {
      found = found || wrk->registered;
      vac->arrived = vac->arrived || (!vac->present && vac->begun_us < now_us);
      vac->present = true;
      set_vacate (wrk, vac);
    }
  return found;
}

void
placer_vacate_is_move (struct placer *plc, const char *host)
{
  struct vacated_host *vac = find_vacated (plc, host);
  if (vac)
    vac->move = true;
}

bool
placer_host_kept (const struct placer *plc, const char *host,
                  struct placer_kept *kept)
{
  const struct vacated_host *vac = find_vacated (plc, host);
  if (!vac || vac->state != VACATE_KEPT)
    return false;
  *kept = vac->kept;
  return true;
}

bool
placer_host_empty (const struct placer *plc, const char *host,
                   struct placer_vacated *out)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  size_t pos = 0;
  const struct worker *wrk;
  struct vacated_host *vac = find_vacated (plc, host);
  *out = (struct placer_vacated){ 0 };
  /* A reservation may stand there until the request is decided.  */
  if (vac
      && (vac->state == VACATE_KEPT
          || (vac->state == VACATE_ASKED && vac->present
              && plc->takeover_done)))
    return false;
  while ((wrk = pool_next_on_host (&plc->pool, host, &pos)))
    if (wrk->runs || !wrk->vacate || !wrk->unenrolled
        || wrk->acked_end < wrk->applied_end)
      return false;
  if (!vac)
    return true;
  vac->told = true;
  *out = (struct placer_vacated){
    .took_us = now_us - vac->begun_us,
    .cleared_us = vac->cleared_us - vac->begun_us,
    .stopped = vac->stops,
  };
  return true;
}

bool
vacate_may_keep (const struct vacated_host *vac)
{
  return (vac->state == VACATE_ASKED || vac->state == VACATE_GRANTED)
         && !vac->told && (!vac->inherited || vac->had_runs);
}

/* Refuses the request, because of the task REF: the host takes tasks again at
   once.  */
static void
keep_host (struct placer *plc, struct vacated_host *vac,
           enum placer_keep_reason reason, const struct task_ref *ref,
           int64_t now_us)
{
  vac->state = VACATE_KEPT;
  vac->kept_us = now_us;
  vac->kept = (struct placer_kept){ .reason = reason,
                                    .took_us = now_us - vac->begun_us };
  task_ref_format (ref, vac->kept.task);
  use_again (plc, vac);
}

bool
vacate_lacked (const struct vacated_host *vac, int64_t now_us)
{
  return (vac->state == VACATE_KEPT || vac->state == VACATE_WITHDRAWN)
         && vac->kept.reason != PLACER_KEEP_NO_PROGRESS && !vac->arrived
         && !vac->move && now_us - vac->kept_us < KEPT_LACKING_US;
}

uint32_t
placer_kept_lacking_max (const struct placer *plc)
{
  size_t most = plc->pool.count / KEPT_LACKING_DIVISOR;
  return most > 0 ? (uint32_t)most : 1;
}

/* Counts a host that the pool lacks in order to give up VAC, which it keeps
   for a task of STP.  */
static void
note_lacking (struct placer *plc, const struct vacated_host *vac,
              const struct step *stp)
{
  if (vac->arrived || vac->move
      || plc->lacking_hosts >= placer_kept_lacking_max (plc))
    return;
  plc->lacking_hosts++;
  if (!*plc->lacking_label)
    name_copy (plc->lacking_label, stp->required_label);
}

/* Gives the tasks that wait, or whose workers leave by their own notice or do
   not answer, places; gives hosts back for those that have none.  */
static void
plan_waiting (struct place_plan *plan)
{
  struct placer *plc = plan->plc;
  bool may_start = placer_may_start (plc, plan->now_us);
  for (size_t n = 0;
       n < plan->need_count && plan->needs[n].kind <= NEED_SILENT; n++)
    {
      struct place_need *need = &plan->needs[n];
      struct vacated_host *vac = NULL;
      if (places_give (plan, need))
        continue;
      /* Before a takeover is complete the workers are not known yet, so that
         a task that runs waits for them.  */
      if (need->kind == NEED_WAITING ? may_start : plc->takeover_done)
        vac = places_on_vacated (plan, need);
      if (!vac)
        {
          if (need->kind == NEED_WAITING && may_start)
            places_release_sibling (plan, need);
          continue;
        }
      keep_host (plc, vac, PLACER_KEEP_TASK_WAITS, &need->ref, plan->now_us);
      places_set_host (plan, vac, true);
      places_give (plan, need);
      if (need->kind != NEED_SILENT)
        note_lacking (plc, vac, need->stp);
    }
}

/* Gives the needs from START to END places, of which none is kept if one is
   missing.  Returns the first need without a place, or NULL.  */
static struct place_need *
plan_host (struct place_plan *plan, size_t start, size_t end)
{
  size_t count = plan->planned_count;
  for (size_t n = start; n < end; n++)
    if (!places_give (plan, &plan->needs[n]))
      {
        places_undo (plan, count);
        return &plan->needs[n];
      }
  return NULL;
}

/* Decides the request for the host VAC, which the needs from START to END are
   to leave, or looks whether the pool could do without a host that was kept
   lately.  */
static void
plan_group (struct place_plan *plan, struct vacated_host *vac, size_t start,
            size_t end)
{
  struct placer *plc = plan->plc;
  bool kept = plan->needs[start].kind == NEED_KEPT;
  const struct place_need *lost = NULL;
  if (kept)
    {
      places_set_host (plan, vac, false);
      lost = plan_host (plan, start, end);
      places_set_host (plan, vac, true);
    }
  else if (vac->state == VACATE_GRANTED)
    for (size_t n = start; n < end; n++)
      places_give (plan, &plan->needs[n]);
  else if (vac->state == VACATE_ASKED && plc->takeover_done)
    lost = plan_host (plan, start, end);
  if (!lost)
    return;
  note_lacking (plc, vac, lost->stp);
  if (kept)
    return;
  keep_host (plc, vac, PLACER_KEEP_NO_PLACE, &lost->ref, plan->now_us);
  places_set_host (plan, vac, true);
}

/* Decides the requests with needs, in their order.  A host that is asked for
   is no place, also before its own request is decided.  */
static void
plan_hosts (struct place_plan *plan)
{
  size_t end;
  for (size_t n = 0; n < plan->need_count; n = end)
    {
      const struct place_need *need = &plan->needs[n];
      end = n + 1;
      if (!need->vac)
        continue;
      while (end < plan->need_count && plan->needs[end].kind == need->kind
             && plan->needs[end].vac == need->vac)
        end++;
      plan_group (plan, need->vac, n, end);
    }
}

/* Counts the hosts that the tasks without a place lack.  A worker that does
   not answer may be back soon.  */
static void
count_lacking (struct place_plan *plan)
{
  struct placer *plc = plan->plc;
  const char *label = "";
  plc->placeless_hosts = 0;
  /* Until then the workers are not known.  */
  if (!plc->takeover_done)
    return;
  for (size_t n = 0; n < plan->need_count; n++)
    {
      struct place_need *need = &plan->needs[n];
      if (need->place || need->kind > NEED_GRANTED || need->kind == NEED_SILENT
          || (need->vac && need->vac->state != VACATE_GRANTED))
        continue;
      places_give_lacking (plan, need);
      if (need->place && !*label)
        label = need->stp->required_label;
      if (need->kind == NEED_WAITING)
        plc->placeless_hosts
            = (uint32_t)(plan->place_count - plan->worker_count);
    }
  plc->lacking_hosts += (uint32_t)(plan->place_count - plan->worker_count);
  if (*label)
    name_copy (plc->lacking_label, label);
}

/* Keeps hosts on which nothing moves, and forgets those that were kept some
   time ago.  */
static void
check_progress (struct placer *plc, int64_t now_us)
{
  struct vacated_host *next;
  for (struct vacated_host *vac = plc->vacated; vac; vac = next)
    {
      const struct run *run = NULL;
      size_t pos = 0;
      const struct worker *wrk;
      next = vac->next;
      if (vac->state == VACATE_WITHDRAWN
          && now_us - vac->kept_us >= KEPT_LACKING_US)
        free_vacated (plc, vac);
      else if (vacate_may_keep (vac) && now_us - vac->until_us > NO_PROGRESS_US
               && now_us - vac->progress_us > NO_PROGRESS_US)
        {
          while (!run
                 && (wrk = pool_next_on_host (&plc->pool, vac->host, &pos)))
            run = wrk->runs;
          if (run)
            keep_host (plc, vac, PLACER_KEEP_NO_PROGRESS, &run->ref, now_us);
        }
    }
}

static bool
is_clear (const struct placer *plc, const struct vacated_host *vac)
{
  size_t pos = 0;
  const struct worker *wrk;
  while ((wrk = pool_next_on_host (&plc->pool, vac->host, &pos)))
    if (wrk->runs)
      return false;
  return true;
}

/* Whether a request is not decided, or its host may be reported as empty after
   this tick: a task may have begun to wait since the last plan.  */
static bool
plan_is_urgent (const struct placer *plc)
{
  for (const struct vacated_host *vac = plc->vacated;
       vac && plc->takeover_done; vac = vac->next)
    if (vac->state == VACATE_ASKED
        || (vac->state == VACATE_GRANTED && !vac->told && is_clear (plc, vac)))
      return true;
  return false;
}

void
placer_decide_vacating (struct placer *plc, int64_t now_us)
{
  if (now_us < plc->next_plan_us && !plan_is_urgent (plc))
    return;
  plc->next_plan_us = now_us + PLAN_INTERVAL_US;
  check_progress (plc, now_us);
  struct place_plan *plan = places_plan (plc, now_us);
  if (!plan)
    return; /* out of memory: the next tick tries again */
  plc->lacking_hosts = 0;
  plc->lacking_label[0] = '\0';
  plan_waiting (plan);
  plan_hosts (plan);
  count_lacking (plan);
  talloc_free (plan);
  for (struct vacated_host *vac = plc->vacated; vac; vac = vac->next)
    if (vac->state == VACATE_ASKED && vac->present && plc->takeover_done)
      vac->state = VACATE_GRANTED;
}

/* Number of other tasks of the run's step that are not available now.  */
static uint32_t
count_unavailable (const struct run *run, int64_t now_us)
{
  const struct step *stp = &run->job->spec.steps[run->ref.step];
  const struct occurrence *occ = &run->job->occurrences[run->ref.occurrence];
  uint32_t unavailable = 0;
  for (uint32_t n = 0; n < stp->count; n++)
    {
      const struct task *tsk = &occ->tasks[stp->first_task + n];
      if (tsk != run->tsk)
        unavailable += !tsk->run || !run_is_available (tsk->run, now_us);
    }
  return unavailable;
}

/* Reserves resources on another worker for the perpetual task of RUN.  Returns
   whether the run may be stopped now: the reserved resources are free, the
   worker record names their worker, fewer tasks of its step are unavailable
   than the job allows, or than one if the job does not say, and no other run
   of it delays its next start.  */
static bool
reserve_move (struct placer *plc, struct run *run, int64_t now_us)
{
  const struct step *stp = &run->job->spec.steps[run->ref.step];
  uint32_t most = stp->max_unavailable > 0 ? stp->max_unavailable : 1;
  const struct place_request req
      = { .job = run->job, .step = stp, .ref = &run->ref, .now_us = now_us };
  bool bound_reached = count_unavailable (run, now_us) >= most
                       || run->tsk->unwanted_runs > 0
                       || placer_may_run_late (plc, run->tsk, &run->ref);
  struct worker *wrk
      = run->tsk->reserved_worker ? placer_reserved_room (plc, &req) : NULL;
  if (wrk)
    return !bound_reached && placer_name_place (plc, &run->ref, wrk);
  if (run->tsk->reserved_worker || bound_reached)
    return false;
  run->wrk->moves_reserved = true;
  wrk = place_pick (&plc->pool, &req);
  if (wrk)
    placer_reserve (run->tsk, stp, wrk, now_us);
  else
    placer_preempt (plc, &req);
  return wrk && placer_name_place (plc, &run->ref, wrk);
}

/* Notes whether a run has left WRK, or has got a place elsewhere for the first
   time: a reservation that is made again and again is no progress.  */
static void
note_progress (struct worker *wrk, int64_t now_us)
{
  struct vacated_host *vac = wrk->vac;
  uint32_t count = 0;
  for (struct run *run = wrk->runs; run; run = run->next)
    {
      count++;
      if (!run->moving && run->tsk->run == run && run->tsk->reserved_worker)
        {
          run->moving = true;
          vac->progress_us = now_us;
        }
    }
  if (count < wrk->vacate_runs)
    vac->progress_us = now_us;
  wrk->vacate_runs = count;
  vac->had_runs = vac->had_runs || count > 0;
  if (count > 0)
    vac->cleared_us = 0;
  else if (!vac->cleared_us)
    vac->cleared_us = now_us;
}

/* Notes that RUN is stopped for a move.  Other tasks of its step wait for that
   one if no more of them may be away, which is progress of their hosts.  */
static void
note_move (const struct run *run, int64_t now_us)
{
  const struct step *stp = &run->job->spec.steps[run->ref.step];
  const struct task *tasks
      = run->job->occurrences[run->ref.occurrence].tasks + stp->first_task;
  for (uint32_t n = 0; n < stp->count; n++)
    if (tasks[n].run && tasks[n].run->wrk->vacate)
      tasks[n].run->wrk->vac->progress_us = now_us;
}

void
placer_evacuate (struct placer *plc, struct worker *wrk, int64_t now_us)
{
  bool leaving = wrk->rep.draining || wrk->vacate;
  bool expired = wrk->vacate && now_us > wrk->vac->until_us;

  if (!leaving && wrk->moves_reserved)
    drop_moves (plc, wrk, now_us);
  for (struct run *run = wrk->runs; leaving && run; run = run->next)
    {
      bool perpetual = run->job->spec.steps[run->ref.step].perpetual;
      if (run->stop_wanted || run->state != RUN_ACTIVE)
        continue;
      if (perpetual ? !reserve_move (plc, run, now_us) : !expired)
        continue;
      char name[TASK_NAME_MAX];
      task_ref_format (&run->ref, name);
      log_event (
          plc->env.lg, EV_RUN_STOPPED, LOG_S ("task", name),
          LOG_I ("run", run->number), LOG_S ("worker", wrk->rep.id),
          LOG_S ("reason", wrk->vacate ? "host_vacated" : "worker_draining"));
      if (wrk->vacate)
        wrk->vac->stops++;
      if (perpetual)
        note_move (run, now_us);
      placer_stop_run (plc, run);
    }
  if (wrk->vacate)
    note_progress (wrk, now_us);
}
