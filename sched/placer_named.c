#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "sched/placer_places.h"
#include "sched/placer_record.h"

/* The workers that the worker record names for each perpetual task: that of
   its run, and a spare one.  A task that has to be started while the store
   does not answer is started on one of them.  */

/* Run numbers that a record reserves on each named worker.  */
#define RESERVED_NUMBERS 8
/* With fewer left, another record is due.  */
#define RESERVED_NUMBERS_MIN 4
/* A start waits no longer for the record in flight if its task has a named
   place.  */
#define RECORD_WAIT_MAX_US 200000
/* Time between two checks for tasks without a spare place.  Each ends with the
   worker at which it has seen this number of tasks, or has looked for another
   place for this number; the next one goes on with the worker after that.  */
#define SPARES_CHECK_INTERVAL_US 1000000
#define SPARES_CHECK_RUNS 256
#define SPARES_CHECK_LOOKS 16
/* Time between two checks for places at which a task cannot be started, and
   time without a run after which they are looked for: most tasks start again
   sooner, and the record of that leaves them out.  */
#define USELESS_CHECK_INTERVAL_US 200000
/* Most places of one task: those of a start that waits, and the earlier ones,
   which it keeps until then.  */
#define PLACES_MAX 4
/* With more tasks than this, no spare places are named, so that the record
   stays below the store's limit.  */
#define SPARES_MAX 1024

static int
compare_refs (const struct task_ref *a, const struct task_ref *b)
{
  if (a->job != b->job)
    return a->job < b->job ? -1 : 1;
  if (a->occurrence != b->occurrence)
    return a->occurrence < b->occurrence ? -1 : 1;
  if (a->step != b->step)
    return a->step < b->step ? -1 : 1;
  if (a->index != b->index)
    return a->index < b->index ? -1 : 1;
  return 0;
}

static int
compare_places (const void *a, const void *b)
{
  const struct named_place *pa = a;
  const struct named_place *pb = b;
  int diff = compare_refs (&pa->ref, &pb->ref);
  return diff ? diff : (int)pa->spare - (int)pb->spare;
}

/* The first place of the task in PLACES; those of one task follow each other.
   Returns the end of PLACES if there is none.  */
static const struct named_place *
first_place (const struct named_places *places, const struct task_ref *ref)
{
  size_t low = 0, high = places->count;
  while (low < high)
    {
      size_t mid = low + (high - low) / 2;
      if (compare_refs (&places->rows[mid].ref, ref) < 0)
        low = mid + 1;
      else
        high = mid;
    }
  return places->rows + low;
}

static bool
is_place_of (const struct named_places *places,
             const struct named_place *place, const struct task_ref *ref)
{
  return place < places->rows + places->count
         && compare_refs (&place->ref, ref) == 0;
}

/* Whether PLACES names WRK for run NUMBER of the task.  */
static bool
names_place (const struct named_places *places, const struct task_ref *ref,
             const struct worker *wrk, uint32_t number)
{
  const struct named_place *place = first_place (places, ref);
  for (; is_place_of (places, place, ref); place++)
    if (place->worker == wrk->handle && number <= place->last_number)
      return true;
  return false;
}

bool
placer_is_named (const struct placer *plc, const struct task_ref *ref,
                 const struct worker *wrk, uint32_t number)
{
  /* The record in flight may be in the log already.  */
  return names_place (&plc->named, ref, wrk, number)
         && (!plc->enrolling || names_place (&plc->naming, ref, wrk, number));
}

static uint32_t
last_run (const struct placer *plc, const struct task_ref *ref)
{
  return job_task (placer_find_job (plc, ref->job), ref)->prg.last_run;
}

void
placer_want_named (struct placer *plc, const struct task_ref *ref,
                   const struct worker *wrk, uint32_t number)
{
  plc->runs_changed = plc->runs_changed || !plc->enrolling
                      || !names_place (&plc->naming, ref, wrk, number);
}

bool
placer_name_place (struct placer *plc, const struct task_ref *ref,
                   const struct worker *wrk)
{
  uint32_t next = last_run (plc, ref) + 1;
  if (!placer_records_runs (plc) || placer_is_named (plc, ref, wrk, next))
    return true;
  placer_want_named (plc, ref, wrk, next);
  return false;
}

bool
placer_record_delayed (const struct placer *plc, int64_t now_us)
{
  return plc->enrol_pending
         && now_us - plc->enrol_sent_us >= RECORD_WAIT_MAX_US;
}

struct worker *
placer_pick_named (struct placer *plc, const struct place_request *req)
{
  const struct named_places *places = &plc->named;
  const struct named_place *place = first_place (places, req->ref);
  uint32_t next = last_run (plc, req->ref) + 1;
  struct worker *last_resort = NULL;
  for (; is_place_of (places, place, req->ref); place++)
    {
      struct worker *wrk = placer_find_worker (plc, place->worker);
      if (!wrk || !placer_is_named (plc, req->ref, wrk, next)
          || !place_allowed (wrk, req) || !place_fits (wrk, req->step)
          || worker_awaits_acks (wrk, req->now_us))
        continue;
      if (wrk->handle != req->avoid)
        return wrk;
      last_resort = wrk;
    }
  return last_resort;
}

/* Whether WRK may be the spare place of RUN: it takes such tasks, though it
   may have no room now.  */
static bool
may_be_spare (const struct worker *wrk, const struct place_request *req,
              const struct run *run)
{
  const struct step *stp = req->step;
  return wrk != run->wrk && wrk->registered && wrk->reached && !wrk->vacate
         && !wrk->rep.draining && !worker_silent (wrk)
         && (!*stp->required_label
             || worker_has_label (wrk, stp->required_label))
         && (stp->max_per_worker == 0
             || place_siblings (wrk, req) < stp->max_per_worker);
}

/* How well WRK would do as the spare place of RUN; less is better.  Workers of
   another rack are not lost with it, and those that are the spare place of few
   tasks have room for them.  */
static uint32_t
spare_cost (const struct worker *wrk, const struct run *run,
            const struct step *stp)
{
  const char *rack = worker_rack (run->wrk);
  bool same_rack = *rack && strcmp (worker_rack (wrk), rack) == 0;
  return (place_fits (wrk, stp) ? 0 : 2 * SPARES_MAX)
         + (same_rack ? SPARES_MAX : 0) + wrk->spares;
}

static struct worker *
find_spare (struct placer *plc, const struct run *run)
{
  const struct place_request req
      = { .job = run->job,
          .step = &run->job->spec.steps[run->ref.step],
          .ref = &run->ref };
  const struct named_place *place = first_place (&plc->named, &run->ref);
  struct worker *best = NULL;
  uint32_t best_cost = 0;
  for (; is_place_of (&plc->named, place, &run->ref); place++)
    {
      struct worker *wrk = placer_find_worker (plc, place->worker);
      if (wrk && may_be_spare (wrk, &req, run))
        return wrk;
    }
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      struct worker *wrk = plc->pool.workers[n];
      uint32_t cost = spare_cost (wrk, run, req.step);
      if ((best && cost >= best_cost) || !may_be_spare (wrk, &req, run))
        continue;
      best = wrk;
      best_cost = cost;
    }
  return best;
}

static bool
is_current (const struct run *run)
{
  return run->job->spec.steps[run->ref.step].perpetual && run->tsk->run == run
         && !run->stop_wanted;
}

bool
placer_needs_places (const struct placer *plc, const struct run *run)
{
  const struct named_places *places
      = plc->enrolling ? &plc->naming : &plc->named;
  const struct named_place *place = first_place (places, &run->ref);
  for (; is_place_of (places, place, &run->ref); place++)
    if (place->worker == run->wrk->handle && !place->spare
        && run->tsk->prg.last_run + RESERVED_NUMBERS_MIN <= place->last_number)
      return false;
  return true;
}

/* Whether this owner has certainly nothing at work on WRK, as its instance has
   ended or its leases have: runs there were given up.  */
static bool
is_given_up (const struct placer *plc, const struct worker *wrk)
{
  if (wrk->reported_ended)
    return !wrk->registered;
  return wrk->unanswered_calls > 0
         && plc->confirmed_us > placer_leases_end_us (plc, wrk);
}

/* Whether the task of PLACE, which has no run and none that may still begin,
   cannot be started there now.  A successor would wait for the place all the
   same: for the earlier owner's last start, and for the longest lease if it
   does not reach the worker.  */
static bool
is_useless (struct placer *plc, struct job *job,
            const struct named_place *place)
{
  const struct task *tsk = job_task (job, &place->ref);
  const struct worker *wrk = placer_find_worker (plc, place->worker);
  const struct place_request req = { .job = job,
                                     .step = &job->spec.steps[place->ref.step],
                                     .ref = &place->ref };
  if (placer_has_runs (tsk) || tsk->late_starts > 0)
    return false;
  if (!wrk)
    return true;
  if (place->worker == tsk->reserved_worker)
    return false;
  return is_given_up (plc, wrk) || wrk->rep.draining
         || (req.step->max_per_worker > 0
             && place_siblings (wrk, &req) >= req.step->max_per_worker);
}

/* Whether the log has the number of the last run of TSK.  Otherwise only the
   places of the task tell it.  */
static bool
number_is_logged (const struct task *tsk)
{
  return tsk->logged.last_run >= tsk->prg.last_run;
}

/* Whether the task of a place in the last record has no run, or one whose
   start waits for the next record: it keeps the place, if that is of any
   use.  */
static bool
keeps_place (struct placer *plc, const struct named_place *place)
{
  struct job *job = placer_find_job (plc, place->ref.job);
  if (!job || job_ended (job))
    return false;
  const struct task *tsk = job_task (job, &place->ref);
  if (tsk->run && !tsk->run->unsent)
    return false;
  return !number_is_logged (tsk) || !is_useless (plc, job, place);
}

static void
add_place (struct named_places *places, const struct task_ref *ref,
           const struct worker *wrk, uint32_t number, uint32_t last_number,
           bool spare)
{
  places->rows[places->count++]
      = (struct named_place){ .ref = *ref,
                              .worker = wrk->handle,
                              .number = number,
                              .last_number = last_number,
                              .spare = spare };
}

/* Sorts PLACES, joins those of one task on one worker, and leaves out the last
   spare places of a task with too many.  */
static void
tidy_places (struct named_places *places)
{
  size_t kept = 0, group = 0;
  if (places->count > 0)
    qsort (places->rows, places->count, sizeof *places->rows, compare_places);
  for (size_t n = 0; n < places->count; n++)
    {
      const struct named_place place = places->rows[n];
      if (kept == 0
          || compare_refs (&places->rows[kept - 1].ref, &place.ref) != 0)
        group = kept;
      size_t m = group;
      while (m < kept && places->rows[m].worker != place.worker)
        m++;
      struct named_place *row = &places->rows[m];
      if (m == kept)
        {
          if (place.spare && kept - group >= PLACES_MAX)
            continue;
          *row = place;
          kept++;
          continue;
        }
      if (place.number < row->number)
        row->number = place.number;
      if (place.last_number > row->last_number)
        row->last_number = place.last_number;
    }
  places->count = kept;
}

/* Adds the place of RUN, and with SPARES a spare one of its task.  */
static void
add_run_places (struct placer *plc, const struct run *run, bool spares,
                struct named_places *places)
{
  bool current = is_current (run);
  uint32_t last
      = current ? run->tsk->prg.last_run + RESERVED_NUMBERS : run->number;
  add_place (places, &run->ref, run->wrk, run->number, last, false);
  struct worker *spare = current && spares ? find_spare (plc, run) : NULL;
  if (!spare)
    return;
  spare->spares++;
  add_place (places, &run->ref, spare, run->number, last, true);
}

struct reserved_places
{
  struct placer *plc;
  struct named_places *places; /* NULL: they are only counted */
  size_t count;
};

/* Adds the worker on which the task has a reservation, if any: it waits for
   its room there, or is to move there, and starts as soon as it can.  */
static bool
add_reserved_place (void *arg, struct job *job, const struct task_ref *ref)
{
  struct reserved_places *res = arg;
  const struct task *tsk = job_task (job, ref);
  const struct worker *wrk
      = tsk->reserved_worker
            ? placer_find_worker (res->plc, tsk->reserved_worker)
            : NULL;
  if (!wrk || wrk->vacate)
    return true;
  res->count++;
  if (res->places)
    add_place (res->places, ref, wrk, tsk->prg.last_run,
               tsk->prg.last_run + RESERVED_NUMBERS, true);
  return true;
}

static size_t
count_perpetual_runs (const struct placer *plc)
{
  size_t count = 0;
  for (size_t n = 0; n < plc->pool.count; n++)
    for (const struct run *run = plc->pool.workers[n]->runs; run;
         run = run->next)
      count += run->job->spec.steps[run->ref.step].perpetual;
  return count;
}

bool
placer_collect_places (struct placer *plc, void *ctx,
                       bool (*left_out) (const struct placer *plc,
                                         const struct worker *wrk),
                       struct named_places *places)
{
  size_t runs = count_perpetual_runs (plc);
  struct reserved_places reserved = { .plc = plc };
  bool spares = runs <= SPARES_MAX;
  places_each_task (plc, add_reserved_place, &reserved);
  places->rows
      = talloc_array (ctx, struct named_place,
                      2 * runs + reserved.count + plc->named.count + 1);
  if (!places->rows)
    return false;
  for (size_t n = 0; n < plc->pool.count; n++)
    plc->pool.workers[n]->spares = 0;
  for (size_t n = 0; n < plc->pool.count; n++)
    for (const struct run *run = plc->pool.workers[n]->runs; run;
         run = run->next)
      if (run->job->spec.steps[run->ref.step].perpetual)
        add_run_places (plc, run, spares, places);
  reserved.places = places;
  places_each_task (plc, add_reserved_place, &reserved);
  for (size_t n = 0; spares && n < plc->named.count; n++)
    {
      const struct named_place *place = &plc->named.rows[n];
      const struct worker *wrk = placer_find_worker (plc, place->worker);
      if (wrk && !left_out (plc, wrk) && keeps_place (plc, place))
        add_place (places, &place->ref, wrk, place->number,
                   last_run (plc, &place->ref) + RESERVED_NUMBERS, true);
    }
  tidy_places (places);
  return true;
}

/* Whether the record does not name a usable spare place for RUN.  */
static bool
lacks_spare (const struct placer *plc, const struct run *run)
{
  const struct place_request req
      = { .job = run->job,
          .step = &run->job->spec.steps[run->ref.step],
          .ref = &run->ref };
  const struct named_place *place = first_place (&plc->named, &run->ref);
  for (; is_place_of (&plc->named, place, &run->ref); place++)
    {
      const struct worker *wrk = placer_find_worker (plc, place->worker);
      if (wrk && may_be_spare (wrk, &req, run))
        return false;
    }
  return true;
}

void
placer_check_useless (struct placer *plc, int64_t now_us)
{
  if (now_us < plc->next_useless_check_us || plc->enrolling
      || plc->runs_changed || !placer_records_runs (plc))
    return;
  plc->next_useless_check_us = now_us + USELESS_CHECK_INTERVAL_US;
  for (size_t n = 0; n < plc->named.count && !plc->runs_changed; n++)
    {
      const struct named_place *place = &plc->named.rows[n];
      struct job *job = placer_find_job (plc, place->ref.job);
      if (!job || job_ended (job))
        continue;
      const struct task *tsk = job_task (job, &place->ref);
      if (now_us < tsk->ended_us + USELESS_CHECK_INTERVAL_US
          || !is_useless (plc, job, place))
        continue;
      if (number_is_logged (tsk))
        plc->runs_changed = true;
      else
        placer_mark_dirty (plc, job);
    }
}

void
placer_check_spares (struct placer *plc, int64_t now_us)
{
  uint32_t runs = 0, looks = 0;
  if (now_us < plc->next_spares_check_us || plc->enrolling || plc->runs_changed
      || !placer_records_runs (plc) || count_perpetual_runs (plc) > SPARES_MAX)
    return;
  plc->next_spares_check_us = now_us + SPARES_CHECK_INTERVAL_US;
  for (size_t n = 0; n < plc->pool.count && runs < SPARES_CHECK_RUNS
                     && looks < SPARES_CHECK_LOOKS && !plc->runs_changed;
       n++)
    {
      plc->spares_check_pos = (plc->spares_check_pos + 1) % plc->pool.count;
      const struct run *run = plc->pool.workers[plc->spares_check_pos]->runs;
      for (; run && !plc->runs_changed; run = run->next)
        {
          if (!is_current (run) || !run->confirmed_us)
            continue;
          runs++;
          if (!lacks_spare (plc, run))
            continue;
          looks++;
          plc->runs_changed = find_spare (plc, run) != NULL;
        }
    }
}
