#pragma once

#include "sched/placer_priv.h"

/* How many hosts a pool is to have.

   Load pattern: a queue's demand rises to several times its mean within a
   second and falls as fast.  By the time that tasks find no room it is too
   late to fetch hosts, which takes about two seconds; the work that the
   accepted jobs bring tells earlier.  */

struct demand_work
{
  int64_t lasting_cpu_milli; /* of tasks that last, running or due */
  int64_t lasting_memory_mb;
  int64_t in_time_core_ms; /* work left of jobs that can meet their goal */
  int64_t late_core_ms;    /* and of the others */
  int64_t ready_cpu_milli; /* of short tasks that run or wait for room */
  int64_t arrived_core_ms; /* of jobs that came within DEMAND_WINDOW_MS */
  int64_t arrived;         /* their number */
};

#define DEMAND_WINDOW_MS 500

/* Processors, in thousandths, that do the work in time with some to spare.  */
int64_t demand_cpu_milli (const struct demand_work *work);
