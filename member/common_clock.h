#pragma once

#include <stdbool.h>

#include "base/clock.h"

/* A clock with the time of day that most processes have.  The time of day of
   some machines is set wrong by seconds at times, also while a process runs
   there.  What is due at a time of day, or is to end at one that another
   process has set, follows this clock.  */

struct common_clock
{
  struct clock clk;
  const struct clock *own;
  bool known;
  int64_t ahead_us; /* by which the common time of day is ahead of the
                       monotonic time */
};

void common_clock_init (struct common_clock *com, const struct clock *own);

/* Sets by how much the time of day that most processes have is ahead of this
   process's monotonic time.  */
void common_clock_set (struct common_clock *com, int64_t ahead_us);

/* By how much this process's own time of day is ahead of its monotonic
   time.  */
int64_t common_clock_own_ahead_us (const struct common_clock *com);

/* Whether the own time of day is so far from the common one that the latter is
   used.  */
bool common_clock_differs (const struct common_clock *com);
