#pragma once

#include "sched/placer_priv.h"

/* Estimates how many hosts a pool needs.

   Load pattern: a queue's demand rises to several times its mean within a
   second and falls as fast.  To get a host takes about two seconds, so it is
   too late to ask for hosts when tasks no longer fit.  The estimate therefore
   uses the work of the accepted jobs, which is known earlier.  */

/* Work of a pool's jobs.  Amounts of work are CPU time in core-microseconds,
   the same as thousandths of a core times milliseconds.  */
struct demand_work
{
  int64_t perpetual_cpu_milli; /* of perpetual tasks, running or due, without
                                  those that only use idle CPU */
  int64_t perpetual_memory_mb;
  int64_t in_time_core_us;  /* remaining batch work of jobs whose goal time has
                               not passed */
  int64_t late_core_us;     /* of jobs whose late results are of use */
  int64_t past_use_core_us; /* of the other jobs */
  int64_t ready_cpu_milli;  /* of batch tasks that run or do not fit */
  /* Of the tasks that wait for the end of a takeover only.  The amounts are
     those of batch tasks, as perpetual ones are counted above.  */
  int64_t takeover_tasks;
  struct resources takeover_need;
  int64_t arrived_core_us;  /* of jobs seen in the last DEMAND_WINDOW_MS */
  int64_t arrived;          /* number of those jobs */
  int64_t arrived_wait_max_ms; /* sum of job_order_wait_max_ms of them */
};

/* Period over which the arrival rate of jobs is measured.  */
#define DEMAND_WINDOW_MS 500

/* Processors, in thousandths of a core, that complete the work in time with
   some headroom.  */
int64_t demand_cpu_milli (const struct demand_work *work);
/* The same without late work.  */
int64_t demand_urgent_cpu_milli (const struct demand_work *work);
