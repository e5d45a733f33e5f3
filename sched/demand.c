#include "sched/demand.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/clock.h"

/* The work of jobs that can meet their goal is to be done within this time;
   goals leave about a second beside the chain of work.  */
#define IN_TIME_MS 500
/* Late work is done with what is there anyway and this share of it.  */
#define LATE_MS 4000
/* Hosts beyond the work that a pool keeps for what comes next.  */
#define HOSTS_KEPT 1

/* More than this share of what can run at once is of no use: estimates are off
   by half and more, and a chain of steps cannot be hurried.  */
#define READY_PERCENT 180

int64_t
demand_cpu_milli (const struct demand_work *work)
{
  int64_t by_work
      = work->in_time_core_ms / IN_TIME_MS + work->late_core_ms / LATE_MS;
  int64_t by_width = work->ready_cpu_milli * READY_PERCENT / 100;
  int64_t by_rate = work->arrived_core_ms / DEMAND_WINDOW_MS;
  int64_t now = by_work < by_width ? by_work : by_width;
  /* Few arrivals say little of the rate to come.  */
  by_rate -= by_rate / (int64_t)sqrt ((double)(work->arrived + 1));
  return work->lasting_cpu_milli + (by_rate > now ? by_rate : now);
}

/* Below this share of the processors in use, a pool whose owner sends starts
   without a pause has more hosts than its owner can fill.  */
#define SENDING_BOUND_PERCENT 75

static void
add_step (const struct job *job, const struct occurrence *occ,
          const struct step *stp, bool late, struct demand_work *work)
{
  for (uint32_t n = 0; n < stp->count; n++)
    {
      const struct task *tsk = &occ->tasks[stp->first_task + n];
      if (tsk->done)
        continue;
      if (stp->perpetual)
        {
          work->lasting_cpu_milli += stp->fills ? 0 : stp->need.cpu_milli;
          work->lasting_memory_mb += stp->need.memory_mb;
          continue;
        }
      int64_t left = stp->need.cpu_milli * stp->estimate_ms;
      if (tsk->run)
        left = left * (100 - (int64_t)tsk->run->percent) / 100;
      if (late)
        work->late_core_ms += left;
      else
        work->in_time_core_ms += left;
    }
}

/* All of the job's short work, whether done or not.  */
static int64_t
whole_work (const struct job *job)
{
  int64_t sum = 0;
  for (size_t n = 0; n < job->spec.step_count; n++)
    {
      const struct step *stp = &job->spec.steps[n];
      if (!stp->perpetual)
        sum += stp->count * stp->need.cpu_milli * stp->estimate_ms;
    }
  return sum;
}

static void
sum_work (const struct placer *plc, int64_t now_us, struct demand_work *work)
{
  int64_t wall_ms = clock_wall_ms (plc->env.clk);
  *work = (struct demand_work){ 0 };
  for (size_t n = 0; n < plc->job_count; n++)
    {
      const struct job *job = plc->jobs[n];
      bool late = job->goal_ms < wall_ms;
      int64_t whole = 0;
      if (now_us - job->seen_us < DEMAND_WINDOW_MS * 1000
          && !job->spec.occurrences)
        whole = whole_work (job);
      work->arrived_core_ms += whole;
      work->arrived += whole > 0;
      for (uint32_t k = 0; !job_ended (job) && k < job->occurrence_count; k++)
        {
          const struct occurrence *occ = &job->occurrences[k];
          if (occ->due_ms > wall_ms || occ->done == job->task_count)
            continue;
          for (size_t m = 0; m < job->spec.step_count; m++)
            add_step (job, occ, &job->spec.steps[m], late, work);
        }
    }
}

static int64_t
hosts_for (int64_t need, int64_t room, int64_t hosts)
{
  int64_t each = hosts > 0 && room > 0 ? room / hosts : 0;
  if (need <= 0)
    return 0;
  return each > 0 ? (need + each - 1) / each : 1;
}

static uint32_t
count_runs (const struct worker *wrk, bool *lasting)
{
  uint32_t count = 0;
  *lasting = false;
  for (const struct run *run = wrk->runs; run; run = run->next)
    {
      *lasting = *lasting || run->job->spec.steps[run->ref.step].perpetual;
      count++;
    }
  return count;
}

struct offer
{
  struct worker *wrk;
  uint32_t count;
};

static int
compare_offers (const void *a, const void *b)
{
  const struct offer *oa = a;
  const struct offer *ob = b;
  if (oa->count != ob->count)
    return oa->count < ob->count ? -1 : 1;
  return oa->wrk->handle < ob->wrk->handle ? -1 : 1;
}

/* Offers the hosts with the fewest tasks, up to SURPLUS of them.  They get no
   new tasks while others have room, so that they are empty within a second.
   Hosts with tasks that last are not offered.  */
static void
offer_hosts (const struct placer *plc, int64_t now_us, int64_t surplus,
             struct placer_demand *dem)
{
  size_t count = 0;
  struct offer *offers
      = surplus > 0 ? talloc_array (plc, struct offer, plc->pool.count) : NULL;
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      struct worker *wrk = plc->pool.workers[n];
      bool lasting;
      wrk->offered = false;
      if (!offers || !place_open (wrk, now_us) || !*wrk->rep.host)
        continue;
      uint32_t runs = count_runs (wrk, &lasting);
      if (!lasting)
        offers[count++] = (struct offer){ .wrk = wrk, .count = runs };
    }
  if (count > 1)
    qsort (offers, count, sizeof *offers, compare_offers);
  for (size_t n = 0; n < count && (int64_t)n < surplus && n < PLACER_IDLE_MAX;
       n++)
    {
      offers[n].wrk->offered = true;
      dem->idle[dem->idle_count++] = offers[n].wrk->rep.host;
    }
  talloc_free (offers);
}

void
placer_demand (const struct placer *plc, struct placer_demand *dem)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  struct demand_work work;
  int64_t used = 0;
  int64_t cpu = 0;
  int64_t memory = 0;
  int64_t open = 0;
  int64_t surplus = 0;
  *dem = (struct placer_demand){ 0 };
  sum_work (plc, now_us, &work);
  work.ready_cpu_milli = plc->waiting_cpu_milli;
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      const struct worker *wrk = plc->pool.workers[n];
      if (!place_open (wrk, now_us))
        continue;
      open++;
      used += wrk->used.cpu_milli;
      for (const struct run *run = wrk->runs; run; run = run->next)
        if (!run->job->spec.steps[run->ref.step].perpetual)
          work.ready_cpu_milli
              += run->job->spec.steps[run->ref.step].need.cpu_milli;
      cpu += wrk->rep.capacity.cpu_milli;
      memory += wrk->rep.capacity.memory_mb;
    }
  int64_t by_cpu = hosts_for (demand_cpu_milli (&work), cpu, open);
  int64_t by_memory = hosts_for (work.lasting_memory_mb, memory, open);
  int64_t wanted = (by_cpu > by_memory ? by_cpu : by_memory) + HOSTS_KEPT;
  if (plc->waiting_tasks > 0 && wanted <= open)
    wanted = open + 1;
  /* Where tasks wait for this process to send their starts, hosts beyond those
     that it keeps busy do not help.  */
  if (plc->starts_full)
    {
      int64_t filled
          = hosts_for (used * 100 / SENDING_BOUND_PERCENT, cpu, open)
            + HOSTS_KEPT;
      if (wanted > filled)
        wanted = filled;
    }
  dem->open_hosts = (uint32_t)open;
  dem->busy_milli = cpu > 0 ? (uint32_t)(used * 1000 / cpu) : 0;
  if (wanted > open)
    dem->short_hosts = (uint32_t)(wanted - open);
  else
    surplus = open - wanted;
  offer_hosts (plc, now_us, surplus, dem);
}
