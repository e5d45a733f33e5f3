#include "sched/pool.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

/* Consecutive calls without an answer after which a worker gets no new
   tasks.  */
#define UNANSWERED_CALLS_LIMIT 2
/* Most runs at a time on one worker, as its number of connections is
   limited.  */
#define RUNS_MAX 400

static uint32_t
hash_name (const char *name)
{
  return XXH32 (name, strlen (name), 0);
}

struct worker *
pool_add (struct pool *pool, void *parent, const struct worker_report *rep)
{
  struct worker **workers = talloc_realloc (parent, pool->workers,
                                            struct worker *, pool->count + 1);
  if (!workers)
    return NULL;
  pool->workers = workers;
  struct worker_key *keys = talloc_realloc (
      parent, pool->keys, struct worker_key, pool->count + 1);
  if (!keys)
    return NULL;
  pool->keys = keys;
  struct place_slot *slots = talloc_realloc (
      parent, pool->slots, struct place_slot, pool->count + 1);
  if (!slots)
    return NULL;
  pool->slots = slots;
  pool->slots_valid = false;
  struct worker *wrk = talloc_zero (parent, struct worker);
  if (!wrk)
    return NULL;
  wrk->handle = ++pool->last_handle;
  wrk->rep = *rep;
  keys[pool->count]
      = (struct worker_key){ .handle = wrk->handle,
                             .id_hash = hash_name (rep->id),
                             .host_hash = hash_name (rep->host) };
  workers[pool->count++] = wrk;
  return wrk;
}

void
pool_remove (struct pool *pool, size_t index)
{
  talloc_free (pool->workers[index]);
  pool->slots_valid = false;
  pool->count--;
  pool->workers[index] = pool->workers[pool->count];
  pool->keys[index] = pool->keys[pool->count];
}

void
pool_set_report (struct pool *pool, struct worker *wrk,
                 const struct worker_report *rep)
{
  bool moved = strcmp (wrk->rep.host, rep->host) != 0;
  wrk->rep = *rep;
  for (size_t n = 0; moved && n < pool->count; n++)
    if (pool->workers[n] == wrk)
      pool->keys[n].host_hash = hash_name (rep->host);
}

void
pool_drop_slots (struct pool *pool)
{
  pool->slots_valid = false;
}

struct worker *
pool_find (const struct pool *pool, uint32_t handle)
{
  for (size_t n = 0; n < pool->count; n++)
    if (pool->keys[n].handle == handle)
      return pool->workers[n];
  return NULL;
}

struct worker *
pool_find_id (const struct pool *pool, const char *id)
{
  uint32_t hash = hash_name (id);
  for (size_t n = 0; n < pool->count; n++)
    if (pool->keys[n].id_hash == hash
        && strcmp (pool->workers[n]->rep.id, id) == 0)
      return pool->workers[n];
  return NULL;
}

struct worker *
pool_next_on_host (const struct pool *pool, const char *host, size_t *pos)
{
  uint32_t hash = hash_name (host);
  while (*pos < pool->count)
    {
      size_t n = (*pos)++;
      if (pool->keys[n].host_hash == hash
          && strcmp (pool->workers[n]->rep.host, host) == 0)
        return pool->workers[n];
    }
  return NULL;
}

bool
worker_has_label (const struct worker *wrk, const char *label)
{
  for (size_t n = 0; n < wrk->rep.label_count; n++)
    if (strcmp (wrk->rep.labels[n], label) == 0)
      return true;
  return false;
}

const char *
worker_rack (const struct worker *wrk)
{
  return wrk->rep.rack;
}

void
resources_add (struct resources *sum, const struct step *step, int sign)
{
  /* A best-effort task only uses the CPU time that other tasks leave idle.  */
  if (!step->best_effort)
    sum->cpu_milli += sign * step->need.cpu_milli;
  sum->memory_mb += sign * step->need.memory_mb;
  sum->accelerators += sign * step->need.accelerators;
}

/* A worker whose last answer to a hold is older may be down: it answers each
   hold within one second.  */
#define HOLD_ANSWER_AGE_MAX_US 2000000
/* A worker lists a run for up to this time after it has accepted a stop.  */
#define STOP_TIME_MAX_US 1000000

bool
run_is_available (const struct run *run, int64_t now_us)
{
  /* An earlier owner may have stopped a run just before it was adopted.  */
  bool adopted = run->start_sent_us == 0;
  bool stop_over
      = !adopted || run->listed_us >= run->created_us + STOP_TIME_MAX_US;
  return run->state == RUN_ACTIVE && run->percent == 100 && stop_over
         && !run->wrk->ended_us
         && now_us - run->wrk->hold_answered_us < HOLD_ANSWER_AGE_MAX_US;
}

bool
place_fits (const struct worker *wrk, const struct step *step)
{
  struct resources sum = wrk->used;
  resources_add (&sum, step, 1);
  sum.cpu_milli += wrk->unknown.cpu_milli;
  sum.memory_mb += wrk->unknown.memory_mb;
  sum.accelerators += wrk->unknown.accelerators;
  return sum.cpu_milli <= wrk->rep.capacity.cpu_milli
         && sum.memory_mb <= wrk->rep.capacity.memory_mb
         && sum.accelerators <= wrk->rep.capacity.accelerators;
}

bool
worker_has_unknown_runs (const struct worker *wrk)
{
  return wrk->unknown.cpu_milli > 0 || wrk->unknown.memory_mb > 0
         || wrk->unknown.accelerators > 0;
}

bool
worker_silent (const struct worker *wrk)
{
  return wrk->ended_us || wrk->unanswered_calls >= UNANSWERED_CALLS_LIMIT;
}

bool
worker_usable (const struct worker *wrk, int64_t now_us)
{
  return wrk->registered && !worker_silent (wrk) && wrk->reached
         && !wrk->leases_withheld && wrk->clock_ms > 0
         && now_us >= wrk->avoid_until_us && now_us >= wrk->failing_until_us;
}

bool
worker_takes_tasks (const struct worker *wrk, int64_t now_us)
{
  return !wrk->rep.draining && !wrk->vacate && worker_usable (wrk, now_us);
}

bool
worker_schedulable (const struct worker *wrk, int64_t now_us)
{
  return wrk->enrolled && worker_takes_tasks (wrk, now_us);
}

/* Whether TSK, of a perpetual step, waits for its place on WRK, the one worker
   that it may start on.  */
static bool
waits_for_late_place (const struct task *tsk, const struct worker *wrk)
{
  return tsk->late_worker == wrk->handle && !tsk->run
         && tsk->unwanted_runs == 0 && !tsk->reserved_worker;
}

uint32_t
place_siblings (const struct worker *wrk, const struct place_request *req)
{
  const struct task_ref *ref = req->ref;
  const struct task *tasks
      = req->job->occurrences[ref->occurrence].tasks + req->step->first_task;
  uint32_t count = 0;
  for (uint32_t n = 0; n < req->step->count; n++)
    count += n != ref->index
             && (tasks[n].reserved_worker == wrk->handle
                 || (req->step->perpetual
                     && waits_for_late_place (&tasks[n], wrk)));
  for (const struct run *run = wrk->runs; run; run = run->next)
    count += run->ref.job == ref->job && run->ref.step == ref->step
             && run->ref.occurrence == ref->occurrence
             && run->ref.index != ref->index;
  return count;
}

/* Share of the CPU or of the memory, whichever is scarcer, that is free after
   the task is placed, in thousandths.  */
static int64_t
free_share (const struct worker *wrk, const struct step *step)
{
  struct resources sum = wrk->used;
  const struct resources *cap = &wrk->rep.capacity;
  resources_add (&sum, step, 1);
  int64_t cpu = cap->cpu_milli > 0
                    ? (cap->cpu_milli - sum.cpu_milli) * 1000 / cap->cpu_milli
                    : 0;
  int64_t mem = cap->memory_mb > 0
                    ? (cap->memory_mb - sum.memory_mb) * 1000 / cap->memory_mb
                    : 0;
  return cpu < mem ? cpu : mem;
}

bool
worker_awaits_acks (const struct worker *wrk, int64_t now_us)
{
  return wrk->acks_in_flight_us > 0
         && now_us < wrk->acks_in_flight_us + ACKS_ANSWER_MAX_US;
}

bool
place_allowed (const struct worker *wrk, const struct place_request *req)
{
  const struct step *step = req->step;
  if (!(req->unenrolled ? worker_takes_tasks (wrk, req->now_us)
                        : worker_schedulable (wrk, req->now_us))
      || (req->only && req->only != wrk->handle))
    return false;
  if (*step->required_label && !worker_has_label (wrk, step->required_label))
    return false;
  if (req->rack && strcmp (worker_rack (wrk), req->rack) != 0)
    return false;
  return step->max_per_worker == 0
         || place_siblings (wrk, req) < step->max_per_worker;
}

/* Deductions from a worker's score.  Each one is larger than the sum of those
   after it and of the free share (at most 1000), so that they are compared in
   this order: the task failed on the worker, its host is reported as idle, the
   task's data is in another rack, the worker is cold or its last run
   failed.  */
#define PENALTY_AVOIDED 1000000
#define PENALTY_REPORTED_IDLE 400000
#define PENALTY_OTHER_RACK 100000
#define PENALTY_COLD 20000

/* Deductions that do not depend on the task.  */
static int32_t
penalty (const struct worker *wrk)
{
  return (wrk->reported_idle ? PENALTY_REPORTED_IDLE : 0)
         + (wrk->rep.cold_left_ms > 0 || wrk->fail_streak > 0 ? PENALTY_COLD
                                                              : 0);
}

static void
make_slots (struct pool *pool, int64_t now_us)
{
  pool->slot_count = 0;
  for (size_t n = 0; n < pool->count; n++)
    {
      const struct worker *wrk = pool->workers[n];
      const struct resources *cap = &wrk->rep.capacity;
      if (!worker_schedulable (wrk, now_us))
        continue;
      pool->slots[pool->slot_count++] = (struct place_slot){
        .index = (uint32_t)n,
        .penalty = penalty (wrk),
        .free = { .cpu_milli = cap->cpu_milli - wrk->used.cpu_milli
                               - wrk->unknown.cpu_milli,
                  .memory_mb = cap->memory_mb - wrk->used.memory_mb
                               - wrk->unknown.memory_mb,
                  .accelerators = cap->accelerators - wrk->used.accelerators
                                  - wrk->unknown.accelerators },
      };
    }
  pool->slots_valid = true;
}

/* A task is rarely placed on a worker that has no room, so this is asked
   before anything of the worker itself is read: with hundreds of workers and
   thousands of waiting tasks, reading each worker took an owner half of its
   processor time.  */
static bool
slot_fits (const struct place_slot *slot, const struct resources *need)
{
  return slot->free.cpu_milli >= need->cpu_milli
         && slot->free.memory_mb >= need->memory_mb
         && slot->free.accelerators >= need->accelerators;
}

static int64_t
score_worker (const struct worker *wrk, const struct place_slot *slot,
              const struct place_request *req)
{
  if (req->in_turn)
    return -(int64_t)(uint32_t)(wrk->handle - req->avoid - 1);
  /* Prefer full workers, so that others become empty and their hosts can be
     given up.  */
  int64_t score = -free_share (wrk, req->step) - slot->penalty;
  if (wrk->handle == req->avoid)
    score -= PENALTY_AVOIDED;
  if (*req->step->data_rack && !worker_has_label (wrk, req->step->data_rack))
    score -= PENALTY_OTHER_RACK;
  return score;
}

struct worker *
place_pick (struct pool *pool, const struct place_request *req)
{
  struct worker *best = NULL;
  int64_t best_score = 0;
  struct resources need = { 0 };
  resources_add (&need, req->step, 1);
  if (!pool->slots_valid)
    make_slots (pool, req->now_us);
  for (size_t n = 0; n < pool->slot_count; n++)
    {
      const struct place_slot *slot = &pool->slots[n];
      if (!slot_fits (slot, &need))
        continue;
      struct worker *wrk = pool->workers[slot->index];
      int64_t score = score_worker (wrk, slot, req);
      if ((best && score <= best_score) || !place_fits (wrk, req->step)
          || worker_awaits_acks (wrk, req->now_us)
          || !place_allowed (wrk, req))
        continue;
      best = wrk;
      best_score = score;
    }
  return best;
}

struct worker *
place_pick_unenrolled (struct pool *pool, const struct place_request *req)
{
  struct worker *best = NULL;
  int64_t best_score = 0;
  for (size_t n = 0; n < pool->count; n++)
    {
      struct worker *wrk = pool->workers[n];
      if (wrk->enrolled || !place_fits (wrk, req->step)
          || worker_awaits_acks (wrk, req->now_us)
          || !place_allowed (wrk, req))
        continue;
      const struct place_slot slot = { .penalty = penalty (wrk) };
      int64_t score = score_worker (wrk, &slot, req);
      if (best && score <= best_score)
        continue;
      best = wrk;
      best_score = score;
    }
  return best;
}
