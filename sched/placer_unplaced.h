#pragma once

#include <stdbool.h>
#include <stdint.h>

#include "base/name.h"
#include "job/job.h"

/* Waits of perpetual tasks that are watched; see placer_unplaced.c.  */

/* Most perpetual tasks without a run that are watched at a time.  */
#define UNPLACED_TASKS_MAX 64

/* What a perpetual task without a run waits for.  */
enum unplaced_part
{
  UNPLACED_EARLIER_OWNER, /* an earlier owner may run or start it */
  UNPLACED_LATE_START,    /* an earlier start may still be carried out */
  UNPLACED_NO_PLACE,      /* no worker is a place for it */
  UNPLACED_ROOM,          /* room is being made at a worker */
  UNPLACED_OWNER,         /* this owner may not start anything */
  UNPLACED_START,         /* a start was sent and is not confirmed */
  UNPLACED_OTHER,
  UNPLACED_PARTS /* number of these */
};

/* A perpetual task without a run that a worker has confirmed.  */
struct unplaced_task
{
  struct task_ref ref;
  int64_t since_us;    /* when its last run ended, or it was first found so */
  int64_t reported_us; /* when that was last logged; 0: not yet */
  bool found;          /* by the last check */
  bool waits;          /* it had no run at all, and might be started */
  bool told;           /* the end of the wait is logged */
  enum unplaced_part part; /* for which it was last found to wait */
  int64_t counted_us;      /* the parts are counted up to here */
  int64_t parts_us[UNPLACED_PARTS];
  int64_t unheard_us;  /* from the last sign of its last run to its end */
  int64_t takeover_us; /* when it last waited for earlier owners; 0: never */
  char awaited[NAME_BYTES]; /* whose act or answer was last waited for */
};
