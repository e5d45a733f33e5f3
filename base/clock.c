#include "base/clock.h"

static struct timespec
system_monotonic (const struct clock *clk)
{
  struct timespec ts;
  clock_gettime (CLOCK_BOOTTIME, &ts);
  return ts;
}

static struct timespec
system_wall (const struct clock *clk)
{
  struct timespec ts;
  clock_gettime (CLOCK_REALTIME, &ts);
  return ts;
}

static const struct clock_driver system_driver = {
  .monotonic = system_monotonic,
  .wall = system_wall,
};

const struct clock clock_system = { .drv = &system_driver };

static struct timespec
timespec_from_us (int64_t us)
{
  return (struct timespec){
    .tv_sec = us / 1000000,
    .tv_nsec = us % 1000000 * 1000,
  };
}

static struct timespec
manual_monotonic (const struct clock *clk)
{
  const struct clock_manual *man = (const struct clock_manual *)clk;
  return timespec_from_us (man->now_us);
}

static struct timespec
manual_wall (const struct clock *clk)
{
  const struct clock_manual *man = (const struct clock_manual *)clk;
  return timespec_from_us (man->now_us + man->wall_ahead_us);
}

static const struct clock_driver manual_driver = {
  .monotonic = manual_monotonic,
  .wall = manual_wall,
};

void
clock_manual_init (struct clock_manual *man, int64_t now_us)
{
  man->clk.drv = &manual_driver;
  man->now_us = now_us;
  man->wall_ahead_us = 0;
}

struct timespec
clock_now (const struct clock *clk)
{
  return clk->drv->monotonic (clk);
}

struct timespec
clock_wall (const struct clock *clk)
{
  return clk->drv->wall (clk);
}

int64_t
clock_now_us (const struct clock *clk)
{
  struct timespec ts = clock_now (clk);
  return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

int64_t
clock_wall_ms (const struct clock *clk)
{
  struct timespec ts = clock_wall (clk);
  return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}
