#include "sched/demand.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/clock.h"
#include "sched/admission.h"
#include "sched/job_order.h"

/* Time in which the work of jobs whose goal time has not passed is to be done;
   goals leave about one second more than the critical path.  */
#define IN_TIME_SPAN_MS 500
/* Time in which late work is to be done.  It mostly uses capacity that the
   pool has for other reasons, so few hosts are requested for it.  */
#define LATE_SPAN_MS 4000
/* Time in which work that is past use is to be done.  It gets no more hosts
   than that, as other pools could use them, and none beside other work.  */
#define PAST_USE_SPAN_MS 20000
/* Hosts that a pool keeps beyond its present work, for the next arrivals.  */
#define HEADROOM_HOSTS 1

/* Upper bound, in percent of the CPU that ready tasks can use at once.  More
   does not help: dependent steps run one after another.  The bound is above
   100 % because estimates are wrong by half and more.  */
#define READY_CPU_MAX_PERCENT 180

/* Processors for batch work of which BACKLOG_MILLI would do what there is.  */
static int64_t
batch_cpu_milli (const struct demand_work *work, int64_t backlog_milli)
{
  int64_t by_ready = work->ready_cpu_milli * READY_CPU_MAX_PERCENT / 100;
  int64_t by_arrivals = work->arrived_core_us / DEMAND_WINDOW_MS;
  int64_t now = backlog_milli < by_ready ? backlog_milli : by_ready;
  /* Discount a rate that is based on few arrivals.  */
  by_arrivals -= by_arrivals / (int64_t)sqrt ((double)(work->arrived + 1));
  return by_arrivals > now ? by_arrivals : now;
}

int64_t
demand_cpu_milli (const struct demand_work *work)
{
  int64_t useful
      = batch_cpu_milli (work, work->in_time_core_us / IN_TIME_SPAN_MS
                                   + work->late_core_us / LATE_SPAN_MS);
  int64_t past_use = work->past_use_core_us / PAST_USE_SPAN_MS;
  return work->perpetual_cpu_milli + (useful > past_use ? useful : past_use);
}

int64_t
demand_urgent_cpu_milli (const struct demand_work *work)
{
  return work->perpetual_cpu_milli
         + batch_cpu_milli (work, work->in_time_core_us / IN_TIME_SPAN_MS);
}

/* If a pool's owner reaches the limit of its starts in more than this part of
   the time, in thousandths, and less than START_LIMIT_BUSY_PERCENT of the
   processors is in use, the pool has more hosts than the owner can keep
   busy.  */
#define START_LIMIT_PERMILLE 500
#define START_LIMIT_BUSY_PERCENT 75

static void
add_step (const struct job *job, const struct occurrence *occ,
          const struct step *stp, int64_t *left_core_us,
          struct demand_work *work)
{
  for (uint32_t n = 0; n < stp->count; n++)
    {
      const struct task *tsk = &occ->tasks[stp->first_task + n];
      if (tsk->prg.done)
        continue;
      if (stp->perpetual)
        {
          work->perpetual_cpu_milli
              += stp->best_effort ? 0 : stp->need.cpu_milli;
          work->perpetual_memory_mb += stp->need.memory_mb;
          continue;
        }
      int64_t left = stp->need.cpu_milli * stp->estimate_ms;
      if (tsk->run)
        left = left * (100 - (int64_t)tsk->run->percent) / 100;
      *left_core_us += left;
    }
}

/* The job's batch work, both done and remaining.  */
static int64_t
batch_core_us (const struct job *job)
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
      int64_t core_us = 0;
      int64_t *left_core_us = job_order_is_past_use (job, 1000, wall_ms)
                                  ? &work->past_use_core_us
                              : job->goal_ms < wall_ms
                                  ? &work->late_core_us
                                  : &work->in_time_core_us;
      if (now_us - job->seen_us < DEMAND_WINDOW_MS * 1000
          && !job->spec.occurrences)
        core_us = batch_core_us (job);
      work->arrived_core_us += core_us;
      work->arrived += core_us > 0;
      if (core_us > 0)
        work->arrived_wait_max_ms += job_order_wait_max_ms (job, 1000);
      for (uint32_t k = 0; !job_ended (job) && k < job->occurrence_count; k++)
        {
          const struct occurrence *occ = &job->occurrences[k];
          if (occ->due_ms > wall_ms || occ->done == job->task_count)
            continue;
          for (size_t m = 0; m < job->spec.step_count; m++)
            add_step (job, occ, &job->spec.steps[m], left_core_us, work);
        }
    }
}

/* Hosts that provide NEED, if HOSTS of them provide CAPACITY; 1 if the
   capacity of a host is not known.  */
static int64_t
hosts_needed (int64_t need, int64_t capacity, int64_t hosts)
{
  int64_t each = hosts > 0 && capacity > 0 ? capacity / hosts : 0;
  if (need <= 0)
    return 0;
  return each > 0 ? (need + each - 1) / each : 1;
}

/* Counts the runs on WRK.  Sets *PERPETUAL if a perpetual task runs there or
   has a reservation.  */
static uint32_t
count_runs (const struct worker *wrk, bool *perpetual)
{
  uint32_t count = 0;
  struct resources reserved = wrk->used;
  *perpetual = false;
  for (const struct run *run = wrk->runs; run; run = run->next)
    {
      const struct step *stp = &run->job->spec.steps[run->ref.step];
      *perpetual = *perpetual || stp->perpetual;
      resources_add (&reserved, stp, -1);
      count++;
    }
  *perpetual = *perpetual || reserved.cpu_milli > 0 || reserved.memory_mb > 0
               || reserved.accelerators > 0;
  return count;
}

struct idle_candidate
{
  struct worker *wrk;
  uint32_t count;
};

static int
compare_idle_candidates (const void *a, const void *b)
{
  const struct idle_candidate *oa = a;
  const struct idle_candidate *ob = b;
  if (oa->count != ob->count)
    return oa->count < ob->count ? -1 : 1;
  return oa->wrk->handle < ob->wrk->handle ? -1 : 1;
}

/* Reports up to SURPLUS hosts as idle, those with the fewest tasks first. They
   get no new tasks while others have room, so that they are empty within a
   second.  Hosts with perpetual tasks, or reservations, are not reported.  */
static void
report_idle_hosts (const struct placer *plc, int64_t now_us, int64_t surplus,
                   struct placer_demand *dem)
{
  size_t count = 0;
  struct idle_candidate *candidates
      = surplus > 0
            ? talloc_array (plc, struct idle_candidate, plc->pool.count)
            : NULL;
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      struct worker *wrk = plc->pool.workers[n];
      bool perpetual;
      wrk->reported_idle = false;
      if (!candidates || !worker_schedulable (wrk, now_us) || !*wrk->rep.host)
        continue;
      uint32_t runs = count_runs (wrk, &perpetual);
      if (!perpetual)
        candidates[count++]
            = (struct idle_candidate){ .wrk = wrk, .count = runs };
    }
  if (count > 1)
    qsort (candidates, count, sizeof *candidates, compare_idle_candidates);
  for (size_t n = 0;
       n < count && (int64_t)n < surplus && n < PLACER_IDLE_HOSTS_MAX; n++)
    {
      candidates[n].wrk->reported_idle = true;
      dem->idle[dem->idle_count++] = candidates[n].wrk->rep.host;
    }
  talloc_free (candidates);
}

void
placer_demand (const struct placer *plc, struct placer_demand *dem)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  struct demand_work work;
  int64_t used = 0;
  int64_t cpu = 0;
  int64_t memory = 0;
  int64_t schedulable = 0;
  int64_t surplus = 0;
  *dem = (struct placer_demand){ 0 };
  sum_work (plc, now_us, &work);
  work.ready_cpu_milli = plc->waiting_cpu_milli;
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      const struct worker *wrk = plc->pool.workers[n];
      if (!worker_schedulable (wrk, now_us))
        continue;
      schedulable++;
      used += wrk->used.cpu_milli;
      for (const struct run *run = wrk->runs; run; run = run->next)
        if (!run->job->spec.steps[run->ref.step].perpetual)
          work.ready_cpu_milli
              += run->job->spec.steps[run->ref.step].need.cpu_milli;
      cpu += wrk->rep.capacity.cpu_milli;
      memory += wrk->rep.capacity.memory_mb;
    }
  int64_t by_cpu = hosts_needed (demand_cpu_milli (&work), cpu, schedulable);
  int64_t by_memory
      = hosts_needed (work.perpetual_memory_mb, memory, schedulable);
  int64_t wanted = (by_cpu > by_memory ? by_cpu : by_memory) + HEADROOM_HOSTS;
  if (plc->useful_waiting_tasks > 0 && wanted <= schedulable)
    wanted = schedulable + 1;
  /* While tasks wait because this process cannot send their starts fast
     enough, more hosts than it can keep busy do not help.  Those that it has
     are kept for a while: hosts that have just arrived are empty.  */
  if (plc->start_limit_reached)
    {
      int64_t filled = hosts_needed (used * 100 / START_LIMIT_BUSY_PERCENT,
                                     cpu, schedulable)
                       + HEADROOM_HOSTS;
      bool lasting = plc->start_limit_permille > START_LIMIT_PERMILLE;
      int64_t most = lasting || filled > schedulable ? filled : schedulable;
      if (wanted > most)
        wanted = most;
    }
  int64_t urgent
      = hosts_needed (demand_urgent_cpu_milli (&work), cpu, schedulable);
  urgent = (urgent > by_memory ? urgent : by_memory) + HEADROOM_HOSTS;
  if (urgent > wanted)
    urgent = wanted;
  dem->schedulable_hosts = (uint32_t)schedulable;
  dem->busy_milli = cpu > 0 ? (uint32_t)(used * 1000 / cpu) : 0;
  if (wanted > schedulable)
    dem->short_hosts = (uint32_t)(wanted - schedulable);
  if (urgent > schedulable)
    dem->urgent_hosts = (uint32_t)(urgent - schedulable);
  else
    surplus = schedulable - (wanted > schedulable ? urgent : wanted);
  report_idle_hosts (plc, now_us, surplus, dem);
}

void
placer_admission_load (struct placer *plc, struct admission_load *load)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  struct demand_work work;
  sum_work (plc, now_us, &work);
  if (work.arrived > 0)
    plc->wait_max_ms = work.arrived_wait_max_ms / work.arrived;
  *load = (struct admission_load){
    .useful_core_us = work.in_time_core_us + work.late_core_us,
    .wait_max_ms = plc->wait_max_ms,
    .accepted_core_us = work.arrived_core_us,
    .accepted_ms = DEMAND_WINDOW_MS,
    .job_core_us = work.arrived > 0 ? work.arrived_core_us / work.arrived : 0,
    .accepted_jobs = plc->new_jobs,
    .past_use_jobs = plc->past_use_jobs,
    .tasks_wait = plc->useful_waiting_tasks > 0,
  };
  plc->new_jobs = plc->past_use_jobs = 0;
  for (size_t n = 0; n < plc->pool.count; n++)
    {
      const struct worker *wrk = plc->pool.workers[n];
      load->hosts += worker_schedulable (wrk, now_us);
      for (const struct run *run = wrk->runs; run; run = run->next)
        {
          const struct step *stp = &run->job->spec.steps[run->ref.step];
          if (!stp->perpetual)
            load->rate_milli += stp->need.cpu_milli;
        }
    }
}
