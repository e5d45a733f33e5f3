#pragma once

#include <stdatomic.h>
#include <stddef.h>
#include <stdint.h>

#include "base/histogram.h"

/* Counters of the process, exported at /metrics in the Prometheus text format.
   They may be changed and read from any thread.  */

enum counter_id
{
#define COUNTER(sym, name, help) sym,
#include "base/counters.def"
#undef COUNTER
  COUNTER_COUNT
};

struct counters
{
  _Atomic uint64_t values[COUNTER_COUNT];
  struct histogram histograms[HISTOGRAM_COUNT];
};

static inline void
counter_add (struct counters *ctr, enum counter_id id, uint64_t n)
{
  atomic_fetch_add_explicit (&ctr->values[id], n, memory_order_relaxed);
}

static inline uint64_t
counter_get (struct counters *ctr, enum counter_id id)
{
  return atomic_load_explicit (&ctr->values[id], memory_order_relaxed);
}

static inline void
counter_add_time (struct counters *ctr, enum histogram_id id, int64_t us)
{
  histogram_add (&ctr->histograms[id], us);
}

/* Returns the counters and histograms in the Prometheus text format, owned by
   the talloc context PARENT, or NULL when out of memory.  */
char *counters_format (struct counters *ctr, void *parent);
