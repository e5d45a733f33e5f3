#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "base/log.h"
#include "sched/placer_places.h"

/* Gang scheduling.  The tasks of a gang step make progress only while all of
   them run, and a worker ends a member that has waited too long for the rest.
   So the members are started together, under one run number, once there is
   room for all of them, and if one is missing the others are stopped.

   Beside a backlog of smaller tasks there would never be room: each part that
   gets free is taken at once.  So the gang that has waited longest reserves
   room on workers where batch runs still use it.  Nothing else starts there
   until these have ended.  */

/* A gang reserves room that is in use once it has waited for this time.  */
#define GANG_CLAIM_AFTER_US 2000000
/* A gang that was not tried for this time waits no more.  */
#define GANG_SEEN_AGE_MAX_US 1000000

static struct task *
gang_tasks (const struct job *job, const struct task_ref *ref)
{
  const struct step *stp = &job->spec.steps[ref->step];
  return &job->occurrences[ref->occurrence].tasks[stp->first_task];
}

/* Stops the members of the gang that have a run.  */
static void
stop_gang (struct placer *plc, struct job *job, const struct task_ref *ref)
{
  struct task *tasks = gang_tasks (job, ref);
  for (uint32_t n = 0; n < job->spec.steps[ref->step].count; n++)
    if (tasks[n].run)
      placer_stop_run (plc, tasks[n].run);
}

/* Gives every member the latest checkpoint of any of them.  */
static void
share_checkpoint (struct job *job, const struct task_ref *ref)
{
  struct task *tasks = gang_tasks (job, ref);
  uint32_t count = job->spec.steps[ref->step].count;
  const char *best = NULL;
  for (uint32_t n = 0; n < count; n++)
    if (tasks[n].checkpoint
        && (!best || strcmp (tasks[n].checkpoint, best) > 0))
      best = tasks[n].checkpoint;
  for (uint32_t n = 0; best && n < count; n++)
    if (tasks[n].checkpoint != best)
      {
        char *copy = talloc_strdup (job, best);
        talloc_free (tasks[n].checkpoint);
        tasks[n].checkpoint = copy;
      }
}

/* Reserves resources for every member, within RACK unless it is NULL.  Returns
   false, with nothing reserved, if not all of them fit.  */
static bool
reserve_all (struct placer *plc, struct job *job, const struct task_ref *ref,
             const char *rack, int64_t now_us)
{
  const struct step *stp = &job->spec.steps[ref->step];
  struct task *tasks = gang_tasks (job, ref);
  struct task_ref member = *ref;
  for (member.index = 0; member.index < stp->count; member.index++)
    {
      const struct place_request req
          = { .job = job,
              .step = stp,
              .ref = &member,
              .rack = rack,
              .avoid = tasks[member.index].avoid_worker,
              .now_us = now_us };
      struct worker *wrk = place_pick (&plc->pool, &req);
      if (!wrk)
        break;
      placer_reserve (&tasks[member.index], stp, wrk, now_us);
    }
  if (member.index == stp->count)
    return true;
  while (member.index-- > 0)
    placer_unreserve (plc, &tasks[member.index], stp);
  return false;
}

/* Reserves resources for every member, for rack-sensitive steps within one
   rack if possible.  */
static bool
reserve_gang (struct placer *plc, struct job *job, const struct task_ref *ref,
              int64_t now_us)
{
  const struct step *stp = &job->spec.steps[ref->step];
  for (size_t n = 0; stp->rack_sensitive && n < plc->pool.count; n++)
    {
      const char *rack = worker_rack (plc->pool.workers[n]);
      if (*rack && reserve_all (plc, job, ref, rack, now_us))
        return true;
    }
  return reserve_all (plc, job, ref, NULL, now_us);
}

/* Whether the gang cannot be started or stopped now: a member has to wait
   before its next start, or a run of it by an earlier owner may still
   exist.  */
static bool
gang_blocked (const struct placer *plc, struct job *job,
              const struct task_ref *ref, int64_t now_us)
{
  const struct task *tasks = gang_tasks (job, ref);
  struct task_ref member = *ref;
  for (member.index = 0; member.index < job->spec.steps[ref->step].count;
       member.index++)
    if (now_us < tasks[member.index].not_before_us
        || tasks[member.index].unwanted_runs > 0
        || placer_may_still_run (plc, job, &member))
      return true;
  return false;
}

/* Whether a late start may still begin a run of a member.  */
static bool
gang_may_run_late (const struct placer *plc, const struct job *job,
                   const struct task_ref *ref)
{
  const struct task *tasks = gang_tasks (job, ref);
  struct task_ref member = *ref;
  for (member.index = 0; member.index < job->spec.steps[ref->step].count;
       member.index++)
    if (placer_may_run_late (plc, &tasks[member.index], &member))
      return true;
  return false;
}

static bool
is_same_gang (const struct task_ref *a, const struct task_ref *b)
{
  return a->job == b->job && a->occurrence == b->occurrence
         && a->step == b->step;
}

/* Ends the reservations of the first COUNT members.  */
static void
unreserve_first (struct placer *plc, struct job *job,
                 const struct task_ref *ref, uint32_t count)
{
  const struct step *stp = &job->spec.steps[ref->step];
  struct task *tasks = gang_tasks (job, ref);
  for (uint32_t n = 0; n < count; n++)
    placer_unreserve (plc, &tasks[n], stp);
}

/* The worker that a member may run on once its batch runs have ended, and that
   is the least full now, or NULL.  */
static struct worker *
pick_claim (struct placer *plc, const struct place_request *req)
{
  struct worker *best = NULL;
  int64_t best_free = 0;
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      struct worker *wrk = plc->pool.workers[n];
      int64_t free = wrk->rep.capacity.cpu_milli - wrk->used.cpu_milli;
      if ((best && free <= best_free) || !place_allowed (wrk, req)
          || !places_has_room (wrk, req->step))
        continue;
      best = wrk;
      best_free = free;
    }
  return best;
}

/* Reserves room for all members, also where batch runs use it, or for none. */
static void
claim_all (struct placer *plc, struct job *job, const struct task_ref *ref,
           int64_t now_us)
{
  const struct step *stp = &job->spec.steps[ref->step];
  struct task *tasks = gang_tasks (job, ref);
  struct task_ref member = *ref;
  for (member.index = 0; member.index < stp->count; member.index++)
    {
      const struct place_request req
          = { .job = job, .step = stp, .ref = &member, .now_us = now_us };
      struct worker *wrk = pick_claim (plc, &req);
      if (!wrk)
        {
          unreserve_first (plc, job, ref, member.index);
          return;
        }
      placer_reserve (&tasks[member.index], stp, wrk, now_us);
    }
  plc->gang.claimed = true;
  char name[TASK_NAME_MAX];
  task_ref_format (ref, name);
  log_event (plc->env.lg, EV_GANG_RESERVED, LOG_S ("task", name),
             LOG_I ("members", stp->count),
             LOG_I ("waited_ms", (now_us - plc->gang.since_us) / 1000));
}

/* Whether all members of the gang, which has reserved room, fit now.  Ends the
   reservations if a worker is no place for its member any more.  */
static bool
claim_is_free (struct placer *plc, struct job *job, const struct task_ref *ref,
               int64_t now_us)
{
  const struct step *stp = &job->spec.steps[ref->step];
  const struct task *tasks = gang_tasks (job, ref);
  struct task_ref member = *ref;
  bool free = true;
  for (member.index = 0; member.index < stp->count; member.index++)
    {
      const struct place_request req
          = { .job = job, .step = stp, .ref = &member, .now_us = now_us };
      struct worker *wrk
          = placer_find_worker (plc, tasks[member.index].reserved_worker);
      if (!wrk || !place_allowed (wrk, &req))
        {
          unreserve_first (plc, job, ref, stp->count);
          plc->gang.claimed = false;
          return false;
        }
      resources_add (&wrk->used, stp, -1);
      free = free && place_fits (wrk, stp);
      resources_add (&wrk->used, stp, 1);
    }
  return free;
}

/* Ends the reservations of the gang that has waited longest.  */
static void
release_claim (struct placer *plc)
{
  struct job *job = placer_find_job (plc, plc->gang.ref.job);
  if (plc->gang.claimed && job)
    unreserve_first (plc, job, &plc->gang.ref,
                     job->spec.steps[plc->gang.ref.step].count);
  plc->gang.claimed = false;
}

/* Notes that the gang has to wait, and reserves room for it if it is the one
   that has waited longest.  */
static void
note_waiting_gang (struct placer *plc, struct job *job,
                   const struct task_ref *ref, int64_t now_us)
{
  bool first = is_same_gang (&plc->gang.ref, ref);
  if (!first && now_us - plc->gang.seen_us <= GANG_SEEN_AGE_MAX_US)
    return;
  if (!first)
    {
      release_claim (plc);
      plc->gang = (struct waiting_gang){ .ref = *ref, .since_us = now_us };
    }
  plc->gang.seen_us = now_us;
  if (!plc->gang.claimed && now_us - plc->gang.since_us >= GANG_CLAIM_AFTER_US)
    claim_all (plc, job, ref, now_us);
}

/* Whether room is reserved for every member, and free.  */
static bool
gang_has_room (struct placer *plc, struct job *job, const struct task_ref *ref,
               int64_t now_us)
{
  bool claimed = plc->gang.claimed && is_same_gang (&plc->gang.ref, ref);
  return claimed ? claim_is_free (plc, job, ref, now_us)
                 : reserve_gang (plc, job, ref, now_us);
}

void
placer_place_gang (struct placer *plc, struct job *job,
                   const struct task_ref *ref, int64_t now_us)
{
  const struct step *stp = &job->spec.steps[ref->step];
  struct task *tasks = gang_tasks (job, ref);
  struct task_ref member = *ref;
  uint32_t running = 0;
  uint32_t last_run = 0;
  for (uint32_t n = 0; n < stp->count; n++)
    {
      running += tasks[n].run != NULL;
      if (tasks[n].prg.last_run > last_run)
        last_run = tasks[n].prg.last_run;
    }
  if (running == stp->count || gang_blocked (plc, job, ref, now_us))
    return;
  if (running > 0)
    {
      stop_gang (plc, job, ref);
      return;
    }
  if (gang_may_run_late (plc, job, ref))
    return;
  if (!gang_has_room (plc, job, ref, now_us))
    {
      note_waiting_gang (plc, job, ref, now_us);
      placer_note_waiting (plc, stp, stp->count);
      return;
    }
  if (is_same_gang (&plc->gang.ref, ref))
    plc->gang = (struct waiting_gang){ 0 };
  share_checkpoint (job, ref);
  for (member.index = 0; member.index < stp->count; member.index++)
    {
      struct task *tsk = &tasks[member.index];
      struct worker *wrk = placer_find_worker (plc, tsk->reserved_worker);
      placer_unreserve (plc, tsk, stp);
      tsk->prg.last_run = last_run;
      if (wrk)
        placer_start_task (plc, job, &member, wrk);
    }
}

void
placer_mark_gang_done (struct placer *plc, struct job *job,
                       const struct task_ref *ref)
{
  struct task_ref member = *ref;
  for (member.index = 0; member.index < job->spec.steps[ref->step].count;
       member.index++)
    job_mark_task_done (job, &member);
}
