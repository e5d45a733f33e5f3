#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Outcomes and latencies of a load caller's run, by kind.  */

#define SUMMARY_MAX_KINDS 64 /* further kinds count with the last one */

struct kind_sum
{
  const char *kind;
  int64_t calls, answered, not_run, unknown, late;
  int64_t *latency_us; /* of the answered ones */
};

struct summary
{
  void *parent;
  size_t max_calls;
  struct kind_sum kinds[SUMMARY_MAX_KINDS];
  int count;
  int64_t elapsed_us;
  int64_t max_lag_us; /* between the planned and the actual send time */
  int64_t wrong;
};

void summary_init (struct summary *sum, void *parent, size_t max_calls);

/* Counts a call with its OUTCOME and the time it took from the planned send
   time.  KIND must stay valid.  */
void summary_add (struct summary *sum, const char *kind, const char *outcome,
                  int64_t took_us, int64_t deadline_us);

void summary_print (struct summary *sum, bool json);
