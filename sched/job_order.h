#pragma once

#include <stdint.h>

#include "job/job.h"

/* The order in which the jobs of a pool are given workers.

   Load pattern: one queue after another asks, for some seconds, for several
   times the capacity of its pool.  If jobs were served in order of arrival,
   each would wait for the whole backlog and all would miss their response-time
   goals.  So jobs that can still meet their goal are served first, least slack
   first, and late jobs after them.  Jobs with perpetual tasks come before all
   others.  */

struct job_order_key
{
  int rank;          /* enum job_rank; lower first */
  uint32_t priority; /* of the queue; lower first */
  int64_t slack_ms;  /* time to the goal less the critical path; lower first */
};

/* Critical path of the unfinished steps of an occurrence: the longest chain of
   dependent steps, in milliseconds by their estimates, times SCALE
   thousandths, the ratio of actual to estimated duration.  */
int64_t job_order_critical_path_ms (const struct job *job, uint32_t occurrence,
                                    int64_t scale);

/* Wall-clock time of the job's response-time goal: STRETCH times the critical
   path of the whole job, plus EXTRA_MS, after the job was accepted.  */
int64_t job_order_goal_ms (const struct job *job, double stretch,
                           int64_t extra_ms, int64_t scale);

/* Makes the key of JOB at the wall-clock time WALL_MS.  PRIORITY is that of
   its queue, SCALE as above.  */
struct job_order_key job_order_key_make (const struct job *job,
                                         uint32_t priority, int64_t scale,
                                         int64_t wall_ms);
/* Returns a negative value if A comes before B, a positive one if after, and 0
   if the keys are equal.  */
int job_order_key_compare (const struct job_order_key *a,
                           const struct job_order_key *b);
