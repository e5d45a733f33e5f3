#include "member/roster.h"

#include <string.h>
#include <xxhash.h>

/* A member in surplus stays a controller for this time, so that it does not
   change its role whenever another member's report is late.  */
#define SURPLUS_US 3000000
/* Delay before a process takes the place of a failed controller, for each
   member that ranks before it beyond the number of controllers.  Without it,
   all processes would become controllers when reports are late for all, as
   while the store is slow, and would burden it further.  */
#define SUCCESSION_DELAY_US 20000
#define SUCCESSION_DELAY_MAX_US 3000000
/* Entry processes together send one report in this time.  The store takes one
   append to a partition in 4 ms.  */
#define ENTRY_REPORT_SPACING_MS 20
#define ENTRY_REPORT_INTERVAL_MAX_MS 10000

/* Whether the member MEM ranks before the process of VIEW.  A hash decides
   between those with the same processor time, as data centres often number
   their hosts in the order of the names.  */
static bool
outranks (const struct member *mem, const struct roster_view *view)
{
  if (mem->cpu_milli != view->cpu_milli)
    return mem->cpu_milli > view->cpu_milli;
  XXH64_hash_t theirs = XXH64 (mem->name, strlen (mem->name), 0);
  XXH64_hash_t own = XXH64 (view->self, strlen (view->self), 0);
  return theirs != own ? theirs < own : strcmp (mem->name, view->self) < 0;
}

/* Counts the members that rank before this process, and those of them that
   live.  */
static void
count_before (const struct duty_table *tab, const struct roster_view *view,
              size_t *all, size_t *live)
{
  *all = *live = 0;
  for (size_t n = 0; n < tab->member_count; n++)
    {
      const struct member *mem = &tab->members[n];
      if (strcmp (mem->name, view->self) == 0 || !outranks (mem, view))
        continue;
      ++*all;
      *live += duty_member_alive (mem, view->reports_read_us, view->slack_us);
    }
}

static bool
elapsed (int64_t *since_us, bool condition, int64_t now_us, int64_t span_us)
{
  if (!condition)
    *since_us = 0;
  else if (*since_us == 0)
    *since_us = now_us;
  return condition && now_us - *since_us >= span_us;
}

bool
roster_update (struct roster *ros, const struct duty_table *tab,
               const struct roster_view *view)
{
  enum roster_role role = ros->role;
  size_t all, live;
  count_before (tab, view, &all, &live);
  int64_t delay_us
      = all < ROSTER_CONTROLLERS
            ? 0
            : (int64_t)(all - ROSTER_CONTROLLERS + 1) * SUCCESSION_DELAY_US;
  if (delay_us > SUCCESSION_DELAY_MAX_US)
    delay_us = SUCCESSION_DELAY_MAX_US;
  bool missed = elapsed (&ros->missed_since_us, live < ROSTER_CONTROLLERS,
                         view->now_us, delay_us);
  bool ample = elapsed (&ros->ample_since_us,
                        live >= ROSTER_CONTROLLERS && !view->holds_duty,
                        view->now_us, SURPLUS_US);
  if (view->holds_duty || missed)
    ros->role = ROSTER_CONTROLLER;
  else if (ample || role == ROSTER_UNDECIDED)
    ros->role = ROSTER_ENTRY;
  return ros->role != role;
}

int64_t
roster_report_interval_ms (const struct roster *ros, int64_t heartbeat_ms,
                           size_t live)
{
  int64_t interval_ms = (int64_t)live * ENTRY_REPORT_SPACING_MS;
  if (interval_ms > ENTRY_REPORT_INTERVAL_MAX_MS)
    interval_ms = ENTRY_REPORT_INTERVAL_MAX_MS;
  return ros->role == ROSTER_ENTRY && interval_ms > heartbeat_ms
             ? interval_ms
             : heartbeat_ms;
}
