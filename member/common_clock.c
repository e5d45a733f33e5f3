#include "member/common_clock.h"

/* The common time of day is known only up to the time that reports take, so
   the own one is used while it differs by less.  */
#define TOLERANCE_US 1500000

static int64_t
timespec_us (struct timespec ts)
{
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

static struct timespec
common_monotonic (const struct clock *clk)
{
  return clock_now (((const struct common_clock *)clk)->own);
}

static struct timespec
common_wall (const struct clock *clk)
{
  const struct common_clock *com = (const struct common_clock *)clk;
  if (!common_clock_differs (com))
    return clock_wall (com->own);
  int64_t us = clock_now_us (com->own) + com->ahead_us;
  return (struct timespec){
    .tv_sec = us / 1000000,
    .tv_nsec = us % 1000000 * 1000,
  };
}

static const struct clock_driver driver = {
  .monotonic = common_monotonic,
  .wall = common_wall,
};

void
common_clock_init (struct common_clock *com, const struct clock *own)
{
  *com = (struct common_clock){ .clk.drv = &driver, .own = own };
}

void
common_clock_set (struct common_clock *com, int64_t ahead_us)
{
  com->known = true;
  com->ahead_us = ahead_us;
}

int64_t
common_clock_own_ahead_us (const struct common_clock *com)
{
  return timespec_us (clock_wall (com->own)) - clock_now_us (com->own);
}

bool
common_clock_differs (const struct common_clock *com)
{
  int64_t diff_us = common_clock_own_ahead_us (com) - com->ahead_us;
  return com->known && (diff_us > TOLERANCE_US || diff_us < -TOLERANCE_US);
}
