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
/* A worker that takes no tasks for the moment, as it does not answer or has
   failed some, still counts as a place for perpetual tasks for this time. Most
   such workers are back sooner, and the leases of the runs on a silent one
   last about as long, so that their tasks could not start elsewhere before. */
#define ABSENCE_US 5000000
/* Labels of missing hosts that are told apart; a label is a kind or a rack. */
#define LACKS_MAX 16
/* While hosts with different labels are missing, each is asked for in turn for
   this time: no host may have one of the labels.  It is several times the
   shortest time between two reports.  */
#define LACK_TURN_US 500000

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

/* Adds the tasks of the step STEP of the occurrence OCCURRENCE.  */
static void
add_step (const struct placer *plc, struct job *job, uint32_t occurrence,
          uint32_t step, int64_t *left_core_us, struct demand_work *work)
{
  const struct occurrence *occ = &job->occurrences[occurrence];
  const struct step *stp = &job->spec.steps[step];
  struct task_ref ref
      = { .job = job->id, .occurrence = occurrence, .step = step };
  bool takeover = !plc->takeover_done && placer_step_ready (job, occ, stp);
  for (ref.index = 0; ref.index < stp->count; ref.index++)
    {
      const struct task *tsk = &occ->tasks[stp->first_task + ref.index];
      if (tsk->prg.done)
        continue;
      bool waits
          = takeover && !tsk->run && placer_may_still_run (plc, job, &ref);
      work->takeover_tasks += waits;
      if (stp->perpetual)
        {
          work->perpetual_cpu_milli
              += stp->best_effort ? 0 : stp->need.cpu_milli;
          work->perpetual_memory_mb += stp->need.memory_mb;
          continue;
        }
      if (waits)
        resources_add (&work->takeover_need, stp, 1);
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
      struct job *job = plc->jobs[n];
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
          for (uint32_t m = 0; m < job->spec.step_count; m++)
            add_step (plc, job, k, m, left_core_us, work);
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

/* How a worker that is to stay counts as a place for perpetual tasks, in the
   order in which places are sought: a host that the pool may give up is needed
   only if the others have too few places.  */
enum staying_order
{
  STAYING_KEPT,
  STAYING_SPARE,  /* runs no perpetual task, so its host may be given up */
  STAYING_ABSENT, /* takes no tasks for the moment */
};

struct staying
{
  struct worker *wrk;
  enum staying_order order;
  uint32_t runs;
  bool needed; /* perpetual tasks need its host */
};

/* Sorts workers with many runs first, because those with few are given up
   first.  */
static int
compare_staying (const void *a, const void *b)
{
  const struct staying *oa = a;
  const struct staying *ob = b;
  if (oa->order != ob->order)
    return oa->order < ob->order ? -1 : 1;
  if (oa->runs != ob->runs)
    return oa->runs > ob->runs ? -1 : 1;
  return oa->wrk->handle > ob->wrk->handle ? -1 : 1;
}

/* Whether the pool may still refuse to vacate the host of WRK: requests are
   decided when the takeover is complete.  */
static bool
may_be_kept (const struct placer *plc, const struct worker *wrk)
{
  const struct vacated_host *vac = wrk->vac;
  return !plc->takeover_done && vac && vac->state == VACATE_ASKED
         && (!wrk->reached || vacate_may_keep (vac));
}

/* Whether WRK, which takes no tasks now, is likely to take some soon.  */
static bool
is_absent_briefly (const struct placer *plc, struct worker *wrk,
                   int64_t now_us)
{
  if (wrk->ended_us || wrk->rep.draining
      || (wrk->vacate && !may_be_kept (plc, wrk)))
    return false;
  if (!wrk->absent_us)
    wrk->absent_us = now_us;
  return now_us - wrk->absent_us < ABSENCE_US;
}

/* Returns the workers that stay in sorted order, or NULL when out of
   memory.  */
static struct staying *
list_staying (const struct placer *plc, int64_t now_us, size_t *count)
{
  struct staying *rows
      = talloc_array (plc, struct staying, plc->pool.count + 1);
  *count = 0;
  for (size_t n = 0; rows && n < plc->pool.count; n++)
    {
      struct worker *wrk = plc->pool.workers[n];
      struct staying *row = &rows[*count];
      bool perpetual = false;
      *row = (struct staying){ .wrk = wrk, .order = STAYING_ABSENT };
      if (worker_schedulable (wrk, now_us))
        {
          wrk->absent_us = 0;
          row->runs = count_runs (wrk, &perpetual);
          row->order
              = perpetual || !*wrk->rep.host ? STAYING_KEPT : STAYING_SPARE;
        }
      else if (!is_absent_briefly (plc, wrk, now_us))
        continue;
      (*count)++;
    }
  if (*count > 1)
    qsort (rows, *count, sizeof *rows, compare_staying);
  return rows;
}

/* Whether a worker of the pool, ended or not, is known on HOST or as ID.  */
static bool
is_known (const struct placer *plc, const char *id, const char *host)
{
  size_t pos = 0;
  return pool_find_id (&plc->pool, id)
         || (*host && pool_next_on_host (&plc->pool, host, &pos));
}

/* Counts the workers of earlier owners without a report: reports expire while
   the store cannot be reached.  For ABSENCE_US, each counts as a place like
   other absent workers.  */
static int64_t
count_unreported (const struct placer *plc, int64_t now_us)
{
  int64_t count = 0;
  if (now_us - plc->claimed_us >= ABSENCE_US)
    return 0;
  for (size_t n = 0; n < plc->earlier_count; n++)
    {
      const struct earlier_worker *row = &plc->earlier[n];
      count += !row->ended && !is_known (plc, row->id, row->host);
    }
  return count;
}

/* Whether WRK takes no tasks only because this owner is new.  */
static bool
is_awaited (const struct placer *plc, const struct worker *wrk)
{
  return !plc->takeover_done && !(wrk->reached && wrk->enrolled)
         && !worker_silent (wrk) && !wrk->vacate;
}

/* Hosts that a new owner has, but whose workers have not answered it yet.  */
struct awaited
{
  int64_t hosts;
  int64_t reported; /* those of them whose capacity is known */
  int64_t cpu_milli;
  int64_t memory_mb;
};

static void
sum_awaited (const struct placer *plc, const struct staying *rows,
             size_t count, int64_t unreported, struct awaited *sum)
{
  *sum = (struct awaited){ .hosts = unreported };
  for (size_t n = 0; n < count; n++)
    {
      const struct worker *wrk = rows[n].wrk;
      if (rows[n].order != STAYING_ABSENT || !is_awaited (plc, wrk))
        continue;
      sum->hosts++;
      sum->reported++;
      sum->cpu_milli += wrk->rep.capacity.cpu_milli;
      sum->memory_mb += wrk->rep.capacity.memory_mb;
    }
}

/* Hosts beyond those that perpetual tasks need which the pool keeps so that it
   can give up others: as many as it refused to vacate a short time ago.  */
static size_t
count_reserve (const struct placer *plc, int64_t now_us)
{
  size_t count = 0;
  for (const struct vacated_host *vac = plc->vacated; vac; vac = vac->next)
    count += vacate_lacked (vac, now_us);
  size_t most = placer_kept_lacking_max (plc);
  return count < most ? count : most;
}

/* Whether the pool can spare the host of ROW.  While tasks wait for the end of
   a takeover, a worker that has to be asked again stays: it would make the
   takeover last longer if it left before.  */
static bool
is_spare (const struct staying *row, bool takeover_waits)
{
  return row->order == STAYING_SPARE && !row->needed
         && (!takeover_waits || row->wrk->settled);
}

/* Reports up to SURPLUS hosts as idle, those with the fewest tasks first. They
   get no new tasks while others have room, so that they are empty within a
   second.  Hosts with perpetual tasks or reservations, or that perpetual tasks
   need, are not reported.  */
static void
report_idle_hosts (const struct placer *plc, int64_t now_us,
                   const struct staying *rows, size_t count, int64_t surplus,
                   bool takeover_waits, struct placer_demand *dem)
{
  int64_t spare = -(int64_t)count_reserve (plc, now_us);
  for (size_t n = 0; n < plc->pool.count; n++)
    plc->pool.workers[n]->reported_idle = false;
  for (size_t n = 0; n < count; n++)
    spare += is_spare (&rows[n], takeover_waits);
  if (surplus > spare)
    surplus = spare;
  for (size_t n = count; n-- > 0 && (int64_t)dem->idle_count < surplus
                         && dem->idle_count < PLACER_IDLE_HOSTS_MAX;)
    {
      if (!is_spare (&rows[n], takeover_waits))
        continue;
      rows[n].wrk->reported_idle = true;
      dem->idle[dem->idle_count++] = rows[n].wrk->rep.host;
    }
}

/* Missing hosts, by the label that they must have.  The first entry is that of
   hosts with any label.  */
struct lack
{
  const char *label;
  int64_t hosts;
};

struct lacks
{
  struct lack rows[LACKS_MAX];
  size_t count;
  int64_t unreported; /* see count_unreported */
  /* What the perpetual tasks need together that have places, each step taken
     by itself.  */
  struct resources placed;
};

/* One host serves all steps with the same label.  */
static void
add_lack (struct lacks *lacks, const char *label, int64_t hosts)
{
  size_t n = 0;
  while (n < lacks->count && strcmp (lacks->rows[n].label, label) != 0)
    n++;
  if (n == LACKS_MAX)
    return;
  if (n == lacks->count)
    lacks->rows[lacks->count++] = (struct lack){ .label = label };
  if (lacks->rows[n].hosts < hosts)
    lacks->rows[n].hosts = hosts;
}

static int64_t
lower (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

/* Tasks of STP that WRK has room for when nothing else runs there.  */
static int64_t
count_places (const struct worker *wrk, const struct step *stp)
{
  const struct resources *cap = &wrk->rep.capacity;
  int64_t places = stp->max_per_worker > 0 ? stp->max_per_worker : stp->count;
  if (stp->need.cpu_milli > 0 && !stp->best_effort)
    places = lower (places, cap->cpu_milli / stp->need.cpu_milli);
  if (stp->need.memory_mb > 0)
    places = lower (places, cap->memory_mb / stp->need.memory_mb);
  if (stp->need.accelerators > 0)
    places = lower (places, cap->accelerators / stp->need.accelerators);
  return places;
}

/* Marks the hosts that TASKS perpetual tasks of STP need, and adds those that
   they lack.  Looks at no more workers than have to be marked, unless some do
   not have the label or hosts are missing.  */
static void
find_places (const struct step *stp, int64_t tasks, struct staying *rows,
             size_t count, struct lacks *lacks)
{
  int64_t left = tasks;
  int64_t most = 0;
  bool known = false; /* what room such a host has */
  for (size_t n = 0; n < count && left > 0; n++)
    {
      const struct worker *wrk = rows[n].wrk;
      if (*stp->required_label && !worker_has_label (wrk, stp->required_label))
        continue;
      int64_t places = count_places (wrk, stp);
      known = true;
      if (places == 0)
        continue;
      if (places > most)
        most = places;
      rows[n].needed = true;
      left -= places;
    }
  if (!known)
    most = stp->max_per_worker > 0 ? stp->max_per_worker : stp->count;
  left -= lacks->unreported * most;
  int64_t placed = left > 0 ? tasks - left : tasks;
  lacks->placed.cpu_milli
      += stp->best_effort ? 0 : placed * stp->need.cpu_milli;
  lacks->placed.memory_mb += placed * stp->need.memory_mb;
  /* Where no such host has room for one, another would not help.  */
  if (left > 0 && most > 0)
    add_lack (lacks, stp->required_label, (left + most - 1) / most);
}

/* Finds the hosts that differ which the perpetual tasks need, running or
   due.  */
static void
find_all_places (const struct placer *plc, struct staying *rows, size_t count,
                 struct lacks *lacks)
{
  int64_t wall_ms = clock_wall_ms (plc->env.clk);
  for (size_t n = 0; n < plc->job_count; n++)
    {
      const struct job *job = plc->jobs[n];
      for (uint32_t k = 0; !job_ended (job) && k < job->occurrence_count; k++)
        {
          const struct occurrence *occ = &job->occurrences[k];
          if (occ->due_ms > wall_ms || occ->done == job->task_count)
            continue;
          for (size_t m = 0; m < job->spec.step_count; m++)
            {
              const struct step *stp = &job->spec.steps[m];
              if (stp->perpetual)
                find_places (stp, stp->count - occ->step_done[m], rows, count,
                             lacks);
            }
        }
    }
}

/* Hosts that are missing for NEED in total, besides those of UNREPORTED
   workers.  */
static int64_t
lack_in_total (const struct resources *need, const struct staying *rows,
               size_t count, int64_t unreported)
{
  int64_t hosts = (int64_t)count;
  int64_t cpu = 0;
  int64_t memory = 0;
  for (size_t n = 0; n < count; n++)
    {
      cpu += rows[n].wrk->rep.capacity.cpu_milli;
      memory += rows[n].wrk->rep.capacity.memory_mb;
    }
  int64_t by_cpu = hosts_needed (need->cpu_milli, cpu, hosts);
  int64_t by_memory = hosts_needed (need->memory_mb, memory, hosts);
  int64_t needed = by_cpu > by_memory ? by_cpu : by_memory;
  hosts += unreported;
  return needed > hosts ? needed - hosts : 0;
}

/* Whether the workers' reports have been read since the claim; without them, a
   new owner would ask for hosts that it has.  They are not waited for longer
   than for an absent worker.  */
static bool
reports_known (const struct placer *plc, int64_t now_us)
{
  return plc->takeover_done || now_us - plc->claimed_us >= ABSENCE_US
         || !plc->env.workers_read_us
         || plc->env.workers_read_us (plc->env.arg) >= plc->claimed_us;
}

/* Marks the hosts that perpetual tasks need, and reports those that are
   missing.  */
static void
report_needed_hosts (const struct placer *plc, int64_t now_us,
                     struct staying *rows, size_t count, int64_t unreported,
                     struct placer_demand *dem)
{
  struct lacks lacks
      = { .rows = { { .label = "" } }, .count = 1, .unreported = unreported };
  size_t wanted[LACKS_MAX];
  size_t wanted_count = 0;
  dem->needed_label = "";
  find_all_places (plc, rows, count, &lacks);
  add_lack (&lacks, "",
            lack_in_total (&lacks.placed, rows, count, unreported));
  dem->withheld = !reports_known (plc, now_us);
  if (!rows || dem->withheld)
    return;
  if (plc->lacking_hosts > 0)
    add_lack (&lacks, plc->lacking_label, plc->lacking_hosts);
  for (size_t n = 0; n < lacks.count; n++)
    if (lacks.rows[n].hosts > 0)
      wanted[wanted_count++] = n;
  if (wanted_count == 0)
    return;
  const struct lack *lack
      = &lacks.rows[wanted[(size_t)(now_us / LACK_TURN_US) % wanted_count]];
  dem->needed_hosts = (uint32_t)lack->hosts;
  dem->placeless_hosts = (uint32_t)lower (plc->placeless_hosts, lack->hosts);
  dem->needed_label = lack->label;
}

/* While tasks wait because this process cannot send their starts fast enough,
   more hosts than it can keep busy do not help.  Those that it has are kept
   for a while: hosts that have just arrived are empty.  */
static int64_t
limit_by_starts (const struct placer *plc, int64_t wanted, int64_t used,
                 int64_t cpu, int64_t schedulable)
{
  int64_t filled
      = hosts_needed (used * 100 / START_LIMIT_BUSY_PERCENT, cpu, schedulable)
        + HEADROOM_HOSTS;
  bool lasting = plc->start_limit_permille > START_LIMIT_PERMILLE;
  int64_t most = lasting || filled > schedulable ? filled : schedulable;
  return wanted > most ? most : wanted;
}

/* Hosts for batch tasks that wait for the end of a takeover, which count as no
   work before it: as many as they need if they all run at once.  */
static int64_t
takeover_hosts (const struct demand_work *work,
                const struct resources *capacity, int64_t hosts)
{
  const struct resources *need = &work->takeover_need;
  int64_t cpu = hosts_needed (need->cpu_milli, capacity->cpu_milli, hosts);
  int64_t mem = hosts_needed (need->memory_mb, capacity->memory_mb, hosts);
  int64_t acc
      = hosts_needed (need->accelerators, capacity->accelerators, hosts);
  int64_t most = cpu > mem ? cpu : mem;
  return most > acc ? most : acc;
}

void
placer_demand (const struct placer *plc, struct placer_demand *dem)
{
  int64_t now_us = clock_now_us (plc->env.clk);
  struct demand_work work;
  int64_t used = 0;
  struct resources capacity = { 0 }; /* of schedulable workers */
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
      capacity.cpu_milli += wrk->rep.capacity.cpu_milli;
      capacity.memory_mb += wrk->rep.capacity.memory_mb;
      capacity.accelerators += wrk->rep.capacity.accelerators;
    }
  size_t count;
  struct staying *rows = list_staying (plc, now_us, &count);
  int64_t unreported = count_unreported (plc, now_us);
  struct awaited awaited;
  sum_awaited (plc, rows, count, unreported, &awaited);
  int64_t hosts = schedulable + awaited.hosts;
  /* Those whose capacity is known.  */
  int64_t sized = schedulable + awaited.reported;
  int64_t by_cpu = hosts_needed (
      demand_cpu_milli (&work), capacity.cpu_milli + awaited.cpu_milli, sized);
  int64_t by_memory = hosts_needed (
      work.perpetual_memory_mb, capacity.memory_mb + awaited.memory_mb, sized);
  int64_t wanted = (by_cpu > by_memory ? by_cpu : by_memory) + HEADROOM_HOSTS;
  if (plc->useful_waiting_tasks > 0 && wanted <= schedulable
      && awaited.hosts == 0)
    wanted = schedulable + 1;
  if (plc->start_limit_reached)
    wanted
        = limit_by_starts (plc, wanted, used, capacity.cpu_milli, schedulable);
  int64_t urgent
      = hosts_needed (demand_urgent_cpu_milli (&work),
                      capacity.cpu_milli + awaited.cpu_milli, sized);
  urgent = (urgent > by_memory ? urgent : by_memory) + HEADROOM_HOSTS;
  if (urgent > wanted)
    urgent = wanted;
  dem->schedulable_hosts = (uint32_t)schedulable;
  dem->awaited_hosts = (uint32_t)awaited.hosts;
  dem->busy_milli = capacity.cpu_milli > 0
                        ? (uint32_t)(used * 1000 / capacity.cpu_milli)
                        : 0;
  /* The tasks that run are not known before a worker has listed them, and
     would count as waiting.  */
  bool runs_known = schedulable > 0 || awaited.reported == 0;
  if (wanted > hosts && runs_known)
    dem->short_hosts = (uint32_t)(wanted - hosts);
  if (urgent > hosts && runs_known)
    dem->urgent_hosts = (uint32_t)(urgent - hosts);
  if (urgent <= schedulable)
    surplus = schedulable - (wanted > schedulable ? urgent : wanted);
  report_needed_hosts (plc, now_us, rows, count, unreported, dem);
  if (dem->short_hosts < dem->needed_hosts)
    dem->short_hosts = dem->needed_hosts;
  if (dem->urgent_hosts < dem->needed_hosts)
    dem->urgent_hosts = dem->needed_hosts;
  /* A pool that lacks any host gives up none in exchange for it.  */
  if (dem->needed_hosts > 0 && !*dem->needed_label)
    surplus = 0;
  surplus -= takeover_hosts (&work, &capacity, schedulable);
  report_idle_hosts (plc, now_us, rows, count, surplus,
                     work.takeover_tasks > 0, dem);
  talloc_free (rows);
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
