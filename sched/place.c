#include "sched/pool.h"

#include <string.h>

/* Calls in a row without an answer after which a worker gets no new tasks.  */
#define SILENT_CALLS 2
/* Runs beside each other on one worker, from the connections that it takes. */
#define RUNS_MAX 400

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
  /* A filling task works with what the others leave of the processors.  */
  if (!step->fills)
    sum->cpu_milli += sign * step->need.cpu_milli;
  sum->memory_mb += sign * step->need.memory_mb;
  sum->accelerators += sign * step->need.accelerators;
}

/* A hold is answered within a second; a worker that is silent for longer may
   have been down since.  */
#define HEARD_AGE_US 2000000

bool
run_at_work (const struct run *run, int64_t now_us)
{
  return run->state == RUN_ACTIVE && run->percent == 100
         && now_us - run->wrk->heard_us < HEARD_AGE_US;
}

bool
place_fits (const struct worker *wrk, const struct step *step)
{
  struct resources sum = wrk->used;
  resources_add (&sum, step, 1);
  sum.cpu_milli += wrk->foreign.cpu_milli;
  sum.memory_mb += wrk->foreign.memory_mb;
  sum.accelerators += wrk->foreign.accelerators;
  return sum.cpu_milli <= wrk->rep.capacity.cpu_milli
         && sum.memory_mb <= wrk->rep.capacity.memory_mb
         && sum.accelerators <= wrk->rep.capacity.accelerators;
}

bool
place_open (const struct worker *wrk, int64_t now_us)
{
  return wrk->listed && !wrk->ended_us && wrk->reached && wrk->enrolled
         && !wrk->rep.draining && !wrk->vacate && wrk->failures < SILENT_CALLS
         && now_us >= wrk->avoid_until_us;
}

/* Other tasks of the step and occurrence that run on WRK or have room kept
   there.  */
static uint32_t
siblings (const struct worker *wrk, const struct place_request *req)
{
  const struct task_ref *ref = req->ref;
  const struct task *tasks
      = req->job->occurrences[ref->occurrence].tasks + req->step->first_task;
  uint32_t count = 0;
  for (uint32_t n = 0; n < req->step->count; n++)
    count += n != ref->index && tasks[n].reserved == wrk->handle;
  for (const struct run *run = wrk->runs; run; run = run->next)
    count += run->ref.job == ref->job && run->ref.step == ref->step
             && run->ref.occurrence == ref->occurrence
             && run->ref.index != ref->index;
  return count;
}

/* Free share of the scarcest resource after the task is placed, in
   thousandths.  */
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
place_allowed (const struct worker *wrk, const struct place_request *req)
{
  const struct step *step = req->step;
  if (!place_open (wrk, req->now_us))
    return false;
  if (*step->required_label && !worker_has_label (wrk, step->required_label))
    return false;
  if (req->rack && strcmp (worker_rack (wrk), req->rack) != 0)
    return false;
  return step->most_per_worker == 0
         || siblings (wrk, req) < step->most_per_worker;
}

/* Weights of the score, each large against the sum of those after it: a
   worker that failed the task, one that the pool gives up, data in another
   rack, and the free share (thousandths).  */
#define SCORE_AVOIDED 1000000
#define SCORE_OFFERED 400000
#define SCORE_FAR 100000
#define SCORE_COLD 20000

struct worker *
place_pick (const struct pool *pool, const struct place_request *req)
{
  struct worker *best = NULL;
  int64_t best_score = 0;
  for (size_t n = 0; n < pool->count; n++)
    {
      struct worker *wrk = pool->workers[n];
      if (!place_allowed (wrk, req) || !place_fits (wrk, req->step))
        continue;
      /* Full workers first, so that others can be given up.  */
      int64_t score = -free_share (wrk, req->step);
      if (wrk->handle == req->avoid)
        score -= SCORE_AVOIDED;
      if (wrk->offered)
        score -= SCORE_OFFERED;
      if (*req->step->data_rack
          && !worker_has_label (wrk, req->step->data_rack))
        score -= SCORE_FAR;
      if (wrk->rep.cold_left_ms > 0 || wrk->fail_streak > 0)
        score -= SCORE_COLD;
      if (!best || score > best_score)
        {
          best = wrk;
          best_score = score;
        }
    }
  return best;
}
