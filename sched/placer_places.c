#include "sched/placer_places.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/clock.h"

/* A worker that gets no tasks for no longer than this is a place all the same:
   a worker that was busy or lacked room for one start is back by then.  */
#define PAUSE_MAX_US 1000000
/* Room on a host whose capacity is not known; above that of any host.  */
#define ROOM_UNKNOWN ((int64_t)1 << 40)
struct resources
places_room (const struct worker *wrk)
{
  struct resources room = wrk->rep.capacity;
  room.cpu_milli -= wrk->used.cpu_milli + wrk->unknown.cpu_milli;
  room.memory_mb -= wrk->used.memory_mb + wrk->unknown.memory_mb;
  room.accelerators -= wrk->used.accelerators + wrk->unknown.accelerators;
  for (const struct run *run = wrk->runs; run; run = run->next)
    {
      const struct step *stp = &run->job->spec.steps[run->ref.step];
      if (!stp->perpetual || run->stop_wanted)
        resources_add (&room, stp, 1);
    }
  return room;
}

static bool
has_room (const struct resources *room, const struct step *stp)
{
  struct resources left = *room;
  resources_add (&left, stp, -1);
  return left.cpu_milli >= 0 && left.memory_mb >= 0 && left.accelerators >= 0;
}

bool
places_has_room (const struct worker *wrk, const struct step *stp)
{
  const struct resources room = places_room (wrk);
  return has_room (&room, stp);
}

enum place_reason
places_reason (const struct worker *wrk, const struct place_request *req)
{
  const struct step *stp = req->step;
  if (wrk->vacate)
    return PLACE_VACATED;
  if (wrk->rep.draining)
    return PLACE_DRAINING;
  if (!wrk->enrolled || !worker_usable (wrk, req->now_us + PAUSE_MAX_US))
    return PLACE_UNAVAILABLE;
  if (*stp->required_label && !worker_has_label (wrk, stp->required_label))
    return PLACE_LABEL;
  if (stp->max_per_worker > 0
      && place_siblings (wrk, req) >= stp->max_per_worker)
    return PLACE_BOUND;
  return places_has_room (wrk, stp) ? PLACE_ALLOWED : PLACE_NO_ROOM;
}

void
places_each_task (struct placer *plc, places_task_fn *fn, void *arg)
{
  int64_t wall_ms = clock_wall_ms (plc->env.clk);
  for (size_t n = 0; n < plc->perpetual_job_count; n++)
    {
      struct job *job = plc->perpetual_jobs[n];
      for (uint32_t k = 0; !job_ended (job) && k < job->occurrence_count; k++)
        {
          struct occurrence *occ = &job->occurrences[k];
          if (occ->due_ms > wall_ms || occ->done == job->task_count)
            continue;
          for (uint32_t m = 0; m < job->spec.step_count; m++)
            {
              const struct step *stp = &job->spec.steps[m];
              struct task_ref ref
                  = { .job = job->id, .occurrence = k, .step = m };
              if (!stp->perpetual || occ->step_done[m] == stp->count
                  || !placer_step_ready (job, occ, stp))
                continue;
              for (ref.index = 0; ref.index < stp->count; ref.index++)
                if (!occ->tasks[stp->first_task + ref.index].prg.done
                    && !fn (arg, job, &ref))
                  return;
            }
        }
    }
}

bool
places_task_waits (const struct placer *plc, struct job *job,
                   const struct task_ref *ref, int64_t now_us)
{
  const struct task *tsk = job_task (job, ref);
  return !placer_has_runs (tsk) && now_us >= tsk->not_before_us
         && !placer_may_still_run (plc, job, ref);
}

/* The record of the request for the worker's host, if that is neither refused
   nor over.  */
static struct vacated_host *
vacating (const struct worker *wrk)
{
  return wrk->vacate ? wrk->vac : NULL;
}

/* Whether the worker is a place that stays for a reservation.  */
static bool
keeps_reservation (const struct worker *wrk, int64_t now_us)
{
  return wrk && !wrk->vacate && !wrk->rep.draining
         && worker_usable (wrk, now_us + PAUSE_MAX_US);
}

/* The place that a task with a run on WRK and a reservation on RESERVED needs.
   Returns false if it needs none.  */
static bool
classify_running (const struct worker *wrk, const struct worker *reserved,
                  int64_t now_us, struct place_need *need)
{
  struct vacated_host *vac = wrk->rep.draining ? NULL : vacating (wrk);
  struct vacated_host *next = reserved ? vacating (reserved) : NULL;
  if (!wrk->rep.draining && wrk->vac && vacate_lacked (wrk->vac, now_us))
    {
      need->kind = NEED_KEPT;
      need->vac = wrk->vac;
      return true;
    }
  if (keeps_reservation (reserved, now_us))
    return false;
  if (!vac && !wrk->rep.draining)
    {
      need->kind = NEED_SILENT;
      return worker_silent (wrk);
    }
  /* The host of the reservation is kept if the task has no other place.  */
  if (next && next->state == VACATE_ASKED
      && (!vac || vac->state == VACATE_GRANTED))
    vac = next;
  need->vac = vac;
  need->kind = !vac                           ? NEED_DRAINING
               : vac->state == VACATE_GRANTED ? NEED_GRANTED
                                              : NEED_ASKED;
  return true;
}

static bool
add_need (void *arg, struct job *job, const struct task_ref *ref)
{
  struct place_plan *plan = arg;
  struct placer *plc = plan->plc;
  struct task *tsk = job_task (job, ref);
  const struct worker *reserved
      = tsk->reserved_worker ? placer_find_worker (plc, tsk->reserved_worker)
                             : NULL;
  struct place_need need = {
    .job = job, .ref = *ref, .stp = &job->spec.steps[ref->step], .tsk = tsk
  };
  if (tsk->run && !tsk->run->stop_wanted)
    {
      /* Where no host is to be emptied, nothing is decided for silent
         workers, of which there may be many.  */
      if (!classify_running (tsk->run->wrk, reserved, plan->now_us, &need)
          || (need.kind == NEED_SILENT && !plc->vacated))
        return true;
    }
  else if (keeps_reservation (reserved, plan->now_us))
    {
      if (!reserved->vac || !vacate_lacked (reserved->vac, plan->now_us))
        return true;
      need.kind = NEED_KEPT;
      need.vac = reserved->vac;
    }
  else if (!placer_has_runs (tsk)
           && (placer_may_still_run (plc, job, ref)
               || placer_late_place (plc, tsk, ref, &need.only)
                      == LATE_PLACE_NONE))
    return true;
  else if (tsk->run && tsk->run->start_unanswered)
    need.only = tsk->run->wrk->handle;
  /* A worker that drains takes no start; the task will need another place once
     that has left.  */
  const struct worker *only = placer_find_worker (plc, need.only);
  if (only && only->rep.draining)
    need.only = 0;
  size_t size = talloc_array_length (plan->needs);
  if (plan->need_count == size)
    {
      struct place_need *rows = talloc_realloc (
          plan, plan->needs, struct place_need, size > 0 ? 2 * size : 64);
      if (!rows)
        {
          plan->out_of_memory = true;
          return false;
        }
      plan->needs = rows;
    }
  plan->needs[plan->need_count++] = need;
  return true;
}

/* Orders needs by kind and request.  Of one request the needs with a label and
   then the largest come first, as they have the fewest places.  */
static int
compare_needs (const void *a, const void *b)
{
  const struct place_need *na = a;
  const struct place_need *nb = b;
  uint64_t seq_a = na->vac ? na->vac->seq : 0;
  uint64_t seq_b = nb->vac ? nb->vac->seq : 0;
  bool label_a = *na->stp->required_label;
  bool label_b = *nb->stp->required_label;
  int64_t diff = (int64_t)na->kind - (int64_t)nb->kind;
  if (diff == 0 && seq_a != seq_b)
    diff = seq_a < seq_b ? -1 : 1;
  if (diff == 0)
    diff = label_b - label_a;
  if (diff == 0)
    diff = nb->stp->need.memory_mb - na->stp->need.memory_mb;
  if (diff == 0)
    diff = nb->stp->need.cpu_milli - na->stp->need.cpu_milli;
  if (diff == 0 && na->ref.job != nb->ref.job)
    diff = na->ref.job < nb->ref.job ? -1 : 1;
  if (diff == 0)
    diff = (int64_t)na->ref.step - (int64_t)nb->ref.step;
  if (diff == 0)
    diff = (int64_t)na->ref.occurrence - (int64_t)nb->ref.occurrence;
  if (diff == 0)
    diff = (int64_t)na->ref.index - (int64_t)nb->ref.index;
  return diff < 0 ? -1 : diff > 0;
}

static void
add_workers (struct place_plan *plan)
{
  struct pool *pool = &plan->plc->pool;
  for (size_t n = 0; n < pool->count; n++)
    {
      struct worker *wrk = pool->workers[n];
      const struct resources *cap = &wrk->rep.capacity;
      struct place *plc = &plan->places[n];
      wrk->plan_pos = (uint32_t)n;
      *plc = (struct place){
        .wrk = wrk,
        .usable = !wrk->rep.draining
                  && worker_usable (wrk, plan->now_us + PAUSE_MAX_US),
      };
      plc->stays = plc->usable && !wrk->vacate;
      if (plc->usable)
        plc->room = places_room (wrk);
      if (cap->cpu_milli > plan->largest.cpu_milli)
        plan->largest.cpu_milli = cap->cpu_milli;
      if (cap->memory_mb > plan->largest.memory_mb)
        plan->largest.memory_mb = cap->memory_mb;
      if (cap->accelerators > plan->largest.accelerators)
        plan->largest.accelerators = cap->accelerators;
    }
  plan->worker_count = plan->place_count = pool->count;
}

struct place_plan *
places_plan (struct placer *plc, int64_t now_us)
{
  struct place_plan *plan = talloc_zero (plc, struct place_plan);
  if (!plan)
    return NULL;
  plan->plc = plc;
  plan->now_us = now_us;
  places_each_task (plc, add_need, plan);
  if (plan->need_count == 0 && !plan->out_of_memory)
    return plan;
  plan->places = talloc_array (plan, struct place,
                               plc->pool.count + PLACES_LACKING_MAX);
  plan->planned = talloc_array (plan, struct place_need *, plan->need_count);
  if (plan->out_of_memory || !plan->places || !plan->planned)
    {
      talloc_free (plan);
      return NULL;
    }
  qsort (plan->needs, plan->need_count, sizeof *plan->needs, compare_needs);
  add_workers (plan);
  return plan;
}

static bool
same_step (const struct place_need *a, const struct place_need *b)
{
  return a->job == b->job && a->ref.step == b->ref.step
         && a->ref.occurrence == b->ref.occurrence;
}

/* Counts the tasks of the need's step on each place: wanted runs, reservations
   and planned tasks.  */
static void
count_step (struct place_plan *plan, const struct place_need *need)
{
  const struct step *stp = need->stp;
  const struct task *tasks
      = need->job->occurrences[need->ref.occurrence].tasks + stp->first_task;
  if (plan->siblings_of && same_step (plan->siblings_of, need))
    return;
  plan->siblings_of = need;
  for (size_t n = 0; n < plan->place_count; n++)
    plan->places[n].siblings = 0;
  for (uint32_t n = 0; n < stp->count; n++)
    {
      const struct worker *reserved
          = tasks[n].reserved_worker
                ? placer_find_worker (plan->plc, tasks[n].reserved_worker)
                : NULL;
      if (reserved)
        plan->places[reserved->plan_pos].siblings++;
      if (tasks[n].run && !tasks[n].run->stop_wanted)
        plan->places[tasks[n].run->wrk->plan_pos].siblings++;
    }
  for (size_t n = 0; n < plan->planned_count; n++)
    if (same_step (plan->planned[n], need))
      plan->planned[n]->place->siblings++;
}

/* Share of the processors or of the memory, whichever is scarcer, that stays
   free, in thousandths of the largest worker.  */
static int64_t
share_left (const struct place_plan *plan, const struct resources *left)
{
  int64_t cpu = left->cpu_milli * 1000 / (plan->largest.cpu_milli + 1);
  int64_t mem = left->memory_mb * 1000 / (plan->largest.memory_mb + 1);
  return cpu < mem ? cpu : mem;
}

/* Whether PLACE, which need not stay, has a place for NEED; *LEFT is what it
   leaves.  */
static bool
place_does (const struct place *place, const struct place_need *need,
            struct resources *left)
{
  const struct step *stp = need->stp;
  uint32_t siblings = place->siblings;
  *left = place->room;
  if (need->only && (!place->wrk || place->wrk->handle != need->only))
    return false;
  /* The task's own reservation, which it would use.  */
  if (place->wrk && need->tsk->reserved_worker == place->wrk->handle)
    {
      resources_add (left, stp, 1);
      siblings -= siblings > 0;
    }
  resources_add (left, stp, -1);
  if (left->cpu_milli < 0 || left->memory_mb < 0 || left->accelerators < 0
      || (stp->max_per_worker > 0 && siblings >= stp->max_per_worker))
    return false;
  if (!*stp->required_label)
    return true;
  return place->wrk ? worker_has_label (place->wrk, stp->required_label)
                    : !*place->label
                          || strcmp (place->label, stp->required_label) == 0;
}

static void
take (struct place_plan *plan, struct place_need *need, struct place *place)
{
  need->place = place;
  resources_add (&place->room, need->stp, -1);
  if (plan->siblings_of && same_step (plan->siblings_of, need))
    place->siblings++;
  plan->planned[plan->planned_count++] = need;
}

bool
places_give (struct place_plan *plan, struct place_need *need)
{
  struct place *best = NULL;
  int64_t best_share = 0;
  struct resources left;
  if (need->stp->max_per_worker > 0)
    count_step (plan, need);
  for (size_t n = 0; n < plan->worker_count; n++)
    {
      struct place *place = &plan->places[n];
      if (!place->stays || !place_does (place, need, &left))
        continue;
      int64_t share = share_left (plan, &left);
      if (best && share >= best_share)
        continue;
      best = place;
      best_share = share;
    }
  if (best)
    take (plan, need, best);
  return best != NULL;
}

struct vacated_host *
places_on_vacated (struct place_plan *plan, struct place_need *need)
{
  struct vacated_host *newest = NULL;
  struct resources left;
  if (need->stp->max_per_worker > 0)
    count_step (plan, need);
  for (size_t n = 0; n < plan->worker_count; n++)
    {
      const struct place *place = &plan->places[n];
      struct vacated_host *vac = vacating (place->wrk);
      if (vac && place->usable && !place->stays && vacate_may_keep (vac)
          && (!newest || vac->seq > newest->seq)
          && place_does (place, need, &left))
        newest = vac;
    }
  return newest;
}

bool
places_release_sibling (struct place_plan *plan, struct place_need *need)
{
  const struct step *stp = need->stp;
  struct task *tasks
      = need->job->occurrences[need->ref.occurrence].tasks + stp->first_task;
  for (uint32_t n = 0; n < stp->count; n++)
    {
      struct task *tsk = &tasks[n];
      const struct worker *wrk
          = tsk->run && !tsk->run->stop_wanted && tsk->reserved_worker
                ? placer_find_worker (plan->plc, tsk->reserved_worker)
                : NULL;
      if (!wrk || !plan->places[wrk->plan_pos].stays)
        continue;
      struct place *place = &plan->places[wrk->plan_pos];
      struct place freed = *place;
      struct resources left;
      resources_add (&freed.room, stp, 1);
      freed.siblings -= freed.siblings > 0;
      if (!place_does (&freed, need, &left))
        continue;
      const struct task_ref ref = { .job = need->ref.job,
                                    .occurrence = need->ref.occurrence,
                                    .step = need->ref.step,
                                    .index = n };
      const struct place_request req = {
        .job = need->job, .step = stp, .ref = &ref, .now_us = plan->now_us
      };
      placer_drop_reservation (plan->plc, &req, "sibling_waits");
      *place = freed;
      take (plan, need, place);
      return true;
    }
  return false;
}

void
places_undo (struct place_plan *plan, size_t count)
{
  while (plan->planned_count > count)
    {
      struct place_need *need = plan->planned[--plan->planned_count];
      resources_add (&need->place->room, need->stp, 1);
      need->place = NULL;
    }
  plan->siblings_of = NULL;
}

void
places_set_host (struct place_plan *plan, const struct vacated_host *vac,
                 bool stays)
{
  for (size_t n = 0; n < plan->worker_count; n++)
    if (plan->places[n].wrk->vac == vac)
      plan->places[n].stays = stays && plan->places[n].usable;
}

/* The room that NEED finds on a further host.  It is not known of hosts with a
   label that no worker has.  */
static struct resources
room_of_host (const struct place_plan *plan, const struct place_need *need)
{
  const char *label = need->stp->required_label;
  bool known = false;
  for (size_t n = 0; n < plan->worker_count && !known; n++)
    known = !*label || worker_has_label (plan->places[n].wrk, label);
  return known ? plan->largest
               : (struct resources){ .cpu_milli = ROOM_UNKNOWN,
                                     .memory_mb = ROOM_UNKNOWN,
                                     .accelerators = ROOM_UNKNOWN };
}

void
places_give_lacking (struct place_plan *plan, struct place_need *need)
{
  struct resources left;
  struct place *place = NULL;
  if (need->only)
    return;
  if (need->stp->max_per_worker > 0)
    count_step (plan, need);
  for (size_t n = plan->worker_count; n < plan->place_count && !place; n++)
    if (place_does (&plan->places[n], need, &left))
      place = &plan->places[n];
  if (!place)
    {
      const struct resources room = room_of_host (plan, need);
      if (plan->place_count - plan->worker_count >= PLACES_LACKING_MAX
          || !has_room (&room, need->stp))
        return;
      place = &plan->places[plan->place_count++];
      *place = (struct place){ .label = "", .room = room };
    }
  if (!*place->label)
    place->label = need->stp->required_label;
  take (plan, need, place);
}
