#pragma once

#include <stdatomic.h>
#include <stdint.h>

/* Latency histograms of the process, exported at /metrics in the Prometheus
   text format.  The buckets are fixed: their upper bounds are the powers of
   two from 1 ms to 16,384 ms.  Values may be added from any thread.  */

#define HISTOGRAM_BOUNDS 15

enum histogram_id
{
#define HISTOGRAM(sym, name, help) sym,
#include "base/histograms.def"
#undef HISTOGRAM
  HISTOGRAM_COUNT
};

struct histogram
{
  _Atomic uint64_t counts[HISTOGRAM_BOUNDS + 1]; /* the last one: above all
                                                    bounds */
  _Atomic uint64_t sum_us;
};

/* Adds a time of US microseconds; a negative one counts as 0.  */
void histogram_add (struct histogram *hst, int64_t us);

/* Returns TEXT with the histogram ID appended, or NULL when out of memory.
   TEXT, a talloc string, is freed then.  */
char *histogram_append_text (char *text, enum histogram_id id,
                             const struct histogram *hst);
