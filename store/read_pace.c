#include "store/read_pace.h"

#define PAGE_FIRST_KB 256
/* Upper bound of the delay after the first failure.  */
#define DELAY_FIRST_MS 200
/* Time-outs are at least this many times as long as the last response took. */
#define TIMEOUT_FACTOR 4
/* A delay is at least this, so that a rejected read is not repeated at
   once.  */
#define DELAY_MIN_MS 20

void
read_pace_set_delay_max (struct read_pace *pace, int64_t delay_max_ms)
{
  pace->delay_max_ms
      = delay_max_ms > 0 ? delay_max_ms : READ_PACE_DELAY_MAX_MS;
}

void
read_pace_init (struct read_pace *pace, int64_t delay_max_ms, uint64_t seed)
{
  *pace = (struct read_pace){
    .page_kb = PAGE_FIRST_KB,
    .random_state = seed,
  };
  read_pace_set_delay_max (pace, delay_max_ms);
  read_pace_set_timeout (pace, 0);
}

void
read_pace_set_timeout (struct read_pace *pace, int64_t timeout_min_ms)
{
  if (timeout_min_ms <= 0)
    timeout_min_ms = READ_PACE_TIMEOUT_MAX_MS;
  if (timeout_min_ms == pace->timeout_min_ms)
    return;
  pace->timeout_min_ms = pace->timeout_ms = timeout_min_ms;
}

void
read_pace_responded (struct read_pace *pace, int64_t took_ms)
{
  int64_t enough_ms = took_ms * TIMEOUT_FACTOR;
  if (enough_ms < pace->timeout_min_ms)
    enough_ms = pace->timeout_min_ms;
  if (enough_ms < pace->timeout_ms)
    pace->timeout_ms = enough_ms;
}

/* The generator splitmix64.  */
static uint64_t
next_random (uint64_t *state)
{
  uint64_t num = *state += 0x9e3779b97f4a7c15;
  num = (num ^ num >> 30) * 0xbf58476d1ce4e5b9;
  num = (num ^ num >> 27) * 0x94d049bb133111eb;
  return num ^ num >> 31;
}

void
read_pace_succeeded (struct read_pace *pace, bool full)
{
  pace->failures = 0;
  if (full && pace->page_kb < READ_PACE_PAGE_MAX_KB)
    pace->page_kb *= 2;
}

int64_t
read_pace_failed (struct read_pace *pace)
{
  int64_t bound_ms = DELAY_FIRST_MS;
  for (uint32_t n = 0; n < pace->failures && bound_ms < pace->delay_max_ms;
       n++)
    bound_ms *= 2;
  if (bound_ms > pace->delay_max_ms)
    bound_ms = pace->delay_max_ms;
  pace->failures++;
  if (pace->page_kb > READ_PACE_PAGE_MIN_KB)
    pace->page_kb /= 2;
  int64_t delay_ms = (int64_t)(next_random (&pace->random_state)
                               % (uint64_t)(bound_ms + 1));
  return delay_ms > DELAY_MIN_MS ? delay_ms : DELAY_MIN_MS;
}

int64_t
read_pace_unanswered (struct read_pace *pace, bool silenced)
{
  int64_t delay_ms = read_pace_failed (pace);
  if (pace->failures == 1)
    return silenced ? DELAY_MIN_MS : delay_ms;
  pace->timeout_ms *= 2;
  if (pace->timeout_ms > READ_PACE_TIMEOUT_MAX_MS)
    pace->timeout_ms = READ_PACE_TIMEOUT_MAX_MS;
  return delay_ms;
}
