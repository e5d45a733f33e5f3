#pragma once

#include <stdint.h>
#include <time.h>

/* Interface to the clock, so that a test or the replay of a recorded trace can
   run decisions with a clock that it controls.  */

struct clock;

/* Monotonic time includes the time for which the machine was suspended.  Other
   processes act on it: they take over the duties of one that they have not
   heard from, and the leases of its runs end.  */
struct clock_driver
{
  struct timespec (*monotonic) (const struct clock *clk);
  struct timespec (*wall) (const struct clock *clk);
};

struct clock
{
  const struct clock_driver *drv;
};

/* The clock of the operating system.  */
extern const struct clock clock_system;

/* A clock whose time changes only when now_us is set.  Monotonic time is
   now_us, and wall time is ahead of it by wall_ahead_us.  */
struct clock_manual
{
  struct clock clk;
  int64_t now_us;
  int64_t wall_ahead_us;
};

void clock_manual_init (struct clock_manual *man, int64_t now_us);

struct timespec clock_now (const struct clock *clk);
struct timespec clock_wall (const struct clock *clk);

/* Monotonic time in microseconds.  */
int64_t clock_now_us (const struct clock *clk);

/* Wall-clock time in milliseconds since the epoch.  */
int64_t clock_wall_ms (const struct clock *clk);
