#pragma once

#include "member/duty.h"

/* Which processes take part in the control plane.

   Load pattern: hundreds of processes run the same program.  If each of them
   follows every job, worker and host, the store delivers each record hundreds
   of times.  Once its bandwidth is used up, reads take longer than their
   time-out, all processes repeat them from the start, and none of them catches
   up again, even when the load that caused it has gone.  The members' reports
   fill a partition in the same way.

   So a bounded number of processes, the controllers, follow jobs, workers and
   hosts and may hold duties.  The others are entry processes: they take
   requests, and read the configuration and the states of jobs that the pools'
   owners publish.  They report the less often the more of them there are.

   Controllers are the live members with the most processor time.  When some of
   them fail, the members that rank next take their place.  The decision is
   local; that two processes decide from different views only makes the number
   of controllers differ for a moment.  */

/* Owners of all pools, the holder of the fleet duty and some in reserve, which
   know the jobs already when they take a duty over.  */
#define ROSTER_CONTROLLERS 12

enum roster_role
{
  ROSTER_UNDECIDED, /* no reports have been read yet */
  ROSTER_ENTRY,
  ROSTER_CONTROLLER,
};

struct roster
{
  enum roster_role role;
  int64_t missed_since_us; /* since when too few controllers live; 0: enough */
  int64_t ample_since_us;  /* since when there are enough without this process,
                              and it holds no duty; 0: there are not */
};

struct roster_view
{
  const char *self;
  uint32_t cpu_milli;
  bool holds_duty;
  int64_t now_us;
  int64_t
      reports_read_us; /* all reports appended before this time are known */
  int64_t slack_us;    /* as in duty_view */
};

/* Decides the role anew.  Returns whether it has changed.  */
bool roster_update (struct roster *ros, const struct duty_table *tab,
                    const struct roster_view *view);

/* Time between two reports of this process.  Those of LIVE entry processes
   together come at a bounded rate.  */
int64_t roster_report_interval_ms (const struct roster *ros,
                                   int64_t heartbeat_ms, size_t live);
