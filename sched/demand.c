#include "sched/demand.h"

#include <string.h>

#include "base/clock.h"

/* The work of jobs that can meet their goal is to be done within this time;
   goals leave about a second beside the chain of work.  */
#define IN_TIME_MS 800
/* Late work is done with what is there anyway and this share of it.  */
#define LATE_MS 4000
/* A host counts as without work after this time, so that short gaps between
   tasks move no host.  */
#define IDLE_US 500000
/* Hosts without work that a pool keeps for what comes next.  */
#define IDLE_KEPT 1

/* More than this share of what can run at once is of no use: estimates are off
   by half and more, and a chain of steps cannot be hurried.  */
#define READY_PERCENT 130

int64_t
demand_cpu_milli (const struct demand_work *work)
{
  int64_t by_work
      = work->in_time_core_ms / IN_TIME_MS + work->late_core_ms / LATE_MS;
  int64_t by_width = work->ready_cpu_milli * READY_PERCENT / 100;
  return work->lasting_cpu_milli + (by_work < by_width ? by_work : by_width);
}

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

static void
sum_work (const struct placer *plc, int64_t wall_ms, struct demand_work *work)
{
  *work = (struct demand_work){ 0 };
  for (size_t n = 0; n < plc->job_count; n++)
    {
      const struct job *job = plc->jobs[n];
      bool late = job->goal_ms < wall_ms;
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

/* Hosts without work, longest first where SURPLUS of them can be spared.  */
static void
list_idle (const struct placer *plc, int64_t now_us, int64_t surplus,
           struct placer_demand *dem)
{
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      const struct worker *wrk = plc->pool.workers[n];
      if (place_open (wrk, now_us) && wrk->idle_us && *wrk->rep.host
          && now_us >= wrk->idle_us + IDLE_US
          && (int64_t)dem->idle_count < surplus
          && dem->idle_count < PLACER_IDLE_MAX)
        dem->idle[dem->idle_count++] = wrk->rep.host;
    }
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
  *dem = (struct placer_demand){ 0 };
  sum_work (plc, clock_wall_ms (plc->env.clk), &work);
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
  int64_t wanted = (by_cpu > by_memory ? by_cpu : by_memory) + IDLE_KEPT;
  if (plc->waiting_tasks > 0 && wanted <= open)
    wanted = open + 1;
  dem->busy_milli = cpu > 0 ? (uint32_t)(used * 1000 / cpu) : 0;
  if (wanted > open)
    dem->short_hosts = (uint32_t)(wanted - open);
  else
    list_idle (plc, now_us, open - wanted, dem);
}
