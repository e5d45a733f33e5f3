#pragma once

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Outcomes and latencies of the requests of a load caller's run, by kind.  */

#define SUMMARY_MAX_KINDS 64 /* further ones are added to the last */

struct kind_totals
{
  const char *kind;
  /* answered_late: after the deadline, included in answered.  */
  int64_t requests, answered, not_run, unknown, answered_late;
  int64_t *latencies_us; /* of the answered requests */
};

struct summary
{
  void *parent; /* talloc parent of the latencies */
  size_t max_requests;
  struct kind_totals kinds[SUMMARY_MAX_KINDS];
  int count; /* of kinds */
  int64_t elapsed_us;
  int64_t max_send_lag_us; /* longest delay from planned to actual start */
  int64_t wrong_answers;
};

/* At most MAX_REQUESTS requests may be added.  */
void summary_init (struct summary *sum, void *parent, size_t max_requests);

/* Adds a request with its OUTCOME ("answered", "not_run", else unknown) and
   its LATENCY_US, counted from the planned send time.  KIND must stay valid as
   long as the summary.  */
void summary_add (struct summary *sum, const char *kind, const char *outcome,
                  int64_t latency_us, int64_t deadline_us);

/* Prints the summary to the standard output, as JSON or as a table.  */
void summary_print (struct summary *sum, bool json);
