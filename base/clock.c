#include "base/clock.h"

static struct timespec
system_monotonic (const struct clock *clk)
{
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
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
manual_now (const struct clock *clk)
{
  const struct clock_manual *man = (const struct clock_manual *)clk;
  return (struct timespec){
    .tv_sec = man->now_us / 1000000,
    .tv_nsec = man->now_us % 1000000 * 1000,
  };
}

static const struct clock_driver manual_driver = {
  .monotonic = manual_now,
  .wall = manual_now,
};

void
clock_manual_init (struct clock_manual *man, int64_t now_us)
{
  man->clk.drv = &manual_driver;
  man->now_us = now_us;
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
