/* Summary of a load caller's run: counters, percentiles and output.  */

#include "test/load/summary.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

void
summary_init (struct summary *sum, void *parent, size_t max_requests)
{
  memset (sum, 0, sizeof *sum);
  sum->parent = parent;
  sum->max_requests = max_requests;
}

static struct kind_totals *
find_or_add_kind (struct summary *sum, const char *kind)
{
  for (int n = 0; n < sum->count; n++)
    if (strcmp (sum->kinds[n].kind, kind) == 0)
      return &sum->kinds[n];
  if (sum->count == SUMMARY_MAX_KINDS)
    return &sum->kinds[SUMMARY_MAX_KINDS - 1];
  struct kind_totals *ks = &sum->kinds[sum->count++];
  ks->kind = kind;
  ks->latencies_us = talloc_array (sum->parent, int64_t, sum->max_requests);
  return ks;
}

void
summary_add (struct summary *sum, const char *kind, const char *outcome,
             int64_t latency_us, int64_t deadline_us)
{
  struct kind_totals *ks = find_or_add_kind (sum, kind);
  ks->requests++;
  if (strcmp (outcome, "answered") == 0)
    {
      ks->latencies_us[ks->answered++] = latency_us;
      ks->answered_late += latency_us > deadline_us;
    }
  else if (strcmp (outcome, "not_run") == 0)
    ks->not_run++;
  else
    ks->unknown++;
}

static int
compare_int64 (const void *a, const void *b)
{
  const int64_t *x = a;
  const int64_t *y = b;
  return (*x > *y) - (*x < *y);
}

static json_int_t
percentile (const struct kind_totals *ks, int per_mille)
{
  int64_t last = ks->answered - 1;
  return last < 0 ? 0 : ks->latencies_us[(last * per_mille + 999) / 1000];
}

static json_t *
kind_to_json (struct kind_totals *ks)
{
  qsort (ks->latencies_us, ks->answered, sizeof *ks->latencies_us,
         compare_int64);
  return json_pack ("{s:I, s:I, s:I, s:I, s:I, s:{s:I, s:I, s:I, s:I}}",
                    "requests", ks->requests, "answered", ks->answered,
                    "not_run", ks->not_run, "unknown", ks->unknown,
                    "answered_late", ks->answered_late, "latency_us", "p50",
                    percentile (ks, 500), "p90", percentile (ks, 900), "p99",
                    percentile (ks, 990), "max", percentile (ks, 1000));
}

static json_t *
summary_to_json (struct summary *sum)
{
  json_t *kinds = json_object ();
  int64_t requests = 0;
  int64_t answered = 0;
  int64_t not_run = 0;
  int64_t unknown = 0;
  for (int n = 0; n < sum->count; n++)
    {
      struct kind_totals *ks = &sum->kinds[n];
      json_object_set_new (kinds, ks->kind, kind_to_json (ks));
      requests += ks->requests;
      answered += ks->answered;
      not_run += ks->not_run;
      unknown += ks->unknown;
    }
  return json_pack ("{s:I, s:I, s:I, s:I, s:I, s:I, s:I, s:o}", "requests",
                    requests, "answered", answered, "not_run", not_run,
                    "unknown", unknown, "wrong_answers", sum->wrong_answers,
                    "max_send_lag_us", sum->max_send_lag_us, "elapsed_us",
                    sum->elapsed_us, "kinds", kinds);
}

static json_int_t
int_field (const json_t *obj, const char *name)
{
  return json_integer_value (json_object_get (obj, name));
}

static void
print_table (const json_t *sum)
{
  const char *kind;
  json_t *obj;
  printf ("%" JSON_INTEGER_FORMAT " requests, %" JSON_INTEGER_FORMAT
          " answered, %" JSON_INTEGER_FORMAT " not run, %" JSON_INTEGER_FORMAT
          " unknown, %" JSON_INTEGER_FORMAT " wrong answers\n",
          int_field (sum, "requests"), int_field (sum, "answered"),
          int_field (sum, "not_run"), int_field (sum, "unknown"),
          int_field (sum, "wrong_answers"));
  printf ("%-20s %8s %8s %8s %8s %9s %9s %9s\n", "kind", "requests",
          "answered", "not run", "unknown", "p50 ms", "p99 ms", "max ms");
  json_object_foreach (json_object_get (sum, "kinds"), kind, obj)
  {
    json_t *lat = json_object_get (obj, "latency_us");
    printf ("%-20s %8d %8d %8d %8d %9.1f %9.1f %9.1f\n", kind,
            (int)int_field (obj, "requests"), (int)int_field (obj, "answered"),
            (int)int_field (obj, "not_run"), (int)int_field (obj, "unknown"),
            (double)int_field (lat, "p50") / 1000,
            (double)int_field (lat, "p99") / 1000,
            (double)int_field (lat, "max") / 1000);
  }
}

void
summary_print (struct summary *sum, bool json)
{
  json_t *obj = summary_to_json (sum);
  if (json)
    {
      json_dumpf (obj, stdout, JSON_INDENT (1));
      puts ("");
    }
  else
    print_table (obj);
  json_decref (obj);
}
