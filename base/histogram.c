#include "base/histogram.h"

#include <inttypes.h>
#include <talloc.h>

static const struct
{
  const char *name;
  const char *help;
} infos[] = {
#define HISTOGRAM(sym, name, help) { name, help },
#include "base/histograms.def"
#undef HISTOGRAM
};

void
histogram_add (struct histogram *hst, int64_t us)
{
  size_t index = 0;
  if (us < 0)
    us = 0;
  while (index < HISTOGRAM_BOUNDS && us > (int64_t)1000 << index)
    index++;
  atomic_fetch_add_explicit (&hst->counts[index], 1, memory_order_relaxed);
  atomic_fetch_add_explicit (&hst->sum_us, (uint64_t)us, memory_order_relaxed);
}

/* Appends the rows of the buckets, which count all values up to their
   bound.  */
static char *
append_buckets (char *text, const char *name, const struct histogram *hst,
                uint64_t *total)
{
  *total = 0;
  for (size_t n = 0; text && n <= HISTOGRAM_BOUNDS; n++)
    {
      *total += atomic_load_explicit (&hst->counts[n], memory_order_relaxed);
      if (n < HISTOGRAM_BOUNDS)
        text = talloc_asprintf_append_buffer (
            text, "kingcuphollow_%s_bucket{le=\"%.3f\"} %" PRIu64 "\n", name,
            (double)(1 << n) / 1000, *total);
    }
  return text;
}

char *
histogram_append_text (char *text, enum histogram_id id,
                       const struct histogram *hst)
{
  const char *name = infos[id].name;
  uint64_t total;
  text = talloc_asprintf_append_buffer (
      text, "# HELP kingcuphollow_%s %s\n# TYPE kingcuphollow_%s histogram\n",
      name, infos[id].help, name);
  text = append_buckets (text, name, hst, &total);
  if (!text)
    return NULL;
  double sum_s
      = (double)atomic_load_explicit (&hst->sum_us, memory_order_relaxed)
        / 1e6;
  return talloc_asprintf_append_buffer (
      text,
      "kingcuphollow_%s_bucket{le=\"+Inf\"} %" PRIu64 "\n"
      "kingcuphollow_%s_sum %.6f\nkingcuphollow_%s_count %" PRIu64 "\n",
      name, total, name, sum_s, name, total);
}
