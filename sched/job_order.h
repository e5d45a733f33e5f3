#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "job/job.h"

/* The order in which the jobs of a pool are given workers.

   Load pattern: one queue after another asks, for some seconds, for several
   times what its pool can do.  If jobs were served in order of arrival, or
   those with the least slack first, each would wait until it can no longer
   meet its response-time goal, and nearly all would be late.  So a job that
   was started is brought to its end first as long as it can meet its goal.
   The starts that are left go to jobs that have waited for a short part of
   their slack only, in turn; the rest of the slack is needed for waits between
   steps and for run times above the estimates.  Next are jobs that have waited
   for longer, those with the largest part of their slack left first, then late
   jobs, and last those so late that their result is of no more use.  The part
   of the slack counts and not the slack itself, as jobs with fewer steps would
   come before all others.  Jobs with perpetual tasks come before all
   others.  */

struct job_order_key
{
  int rank;          /* enum job_rank; lower first */
  bool past_use;     /* see job_order_is_past_use */
  uint32_t priority; /* of the queue; lower first */
  bool unstarted;    /* started jobs first */
  /* Of a started job the time in ms to its goal less the critical path; of
     another one the part of its slack that is left, or that it has waited for,
     in thousandths.  Lower first.  */
  int64_t slack;
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

/* Whether no result of JOB can come in time for a late result to be of use.
   The owner still completes such a job, as it was accepted, but only with what
   no other job can use.  */
bool job_order_is_past_use (const struct job *job, int64_t scale,
                            int64_t wall_ms);

/* Time that a job can wait before its first start, after it was accepted,
   until its result is past use.  */
int64_t job_order_wait_max_ms (const struct job *job, int64_t scale);

/* Makes the key of JOB at the wall-clock time WALL_MS.  PRIORITY is that of
   its queue, SCALE as above.  */
struct job_order_key job_order_key_make (const struct job *job,
                                         uint32_t priority, int64_t scale,
                                         int64_t wall_ms);
/* Returns a negative value if A comes before B, a positive one if after, and 0
   if the keys are equal.  */
int job_order_key_compare (const struct job_order_key *a,
                           const struct job_order_key *b);
