#pragma once

#include <stdint.h>

#include "job/job.h"

/* The order in which the jobs of a pool get its workers.

   Load pattern: each queue in its turn asks for several times what its pool
   holds for some seconds.  In arrival order every job then waits as long as
   the backlog lasts and all miss their goal.  Here jobs that can still meet
   their goal come first, by the time left; those that cannot are served after
   them.  Tasks that last are restarted before all else.  */

struct order_key
{
  int rank;          /* lower first */
  uint32_t priority; /* of the queue; lower first */
  int64_t slack_ms;  /* lower first */
};

/* Longest chain of the job's steps that are not done, in milliseconds of work
   by its estimates, times the ratio SCALE (thousandths) of real to estimated
   work.  */
int64_t order_chain_ms (const struct job *job, uint32_t occurrence,
                        int64_t scale);

/* Wall-clock time up to which JOB meets its response-time goal.  */
int64_t order_goal_ms (const struct job *job, double stretch, int64_t extra_ms,
                       int64_t scale);

struct order_key order_key_make (const struct job *job, uint32_t priority,
                                 int64_t scale, int64_t wall_ms);
int order_key_compare (const struct order_key *a, const struct order_key *b);
