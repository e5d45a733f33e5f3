/* Request traces: reading, writing and generating them.  */

#include "test/load/trace.h"

#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"

#define OFF_SURGE_RATE_FACTOR (1.0 / 20) /* of the mean rate */
#define EXPONENTIAL_MAX_MEANS 3 /* limit of service times and intervals */

static struct trace_request *
add_request (void *parent, struct trace *tr)
{
  size_t capacity = talloc_array_length (tr->requests);
  if (tr->count == capacity)
    tr->requests = talloc_realloc (parent, tr->requests, struct trace_request,
                                   capacity ? capacity * 2 : 256);
  struct trace_request *req = &tr->requests[tr->count++];
  memset (req, 0, sizeof *req);
  return req;
}

int
trace_read (void *parent, const char *path, struct trace *tr, size_t *line)
{
  char text[256];
  char mode[8];
  int end;
  int err = 0;
  FILE *file = fopen (path, "r");
  *tr = (struct trace){ 0 };
  *line = 0;
  if (!file)
    return ERR_IO;
  while (err == 0 && fgets (text, sizeof text, file))
    {
      ++*line;
      if (text[0] == '#')
        continue;
      struct trace_request *req = add_request (parent, tr);
      int got = sscanf (
          text,
          "%" SCNd64 " %31s %31s %" SCNd64 " %" SCNd64 " %" SCNd64 " %7s%n",
          &req->time_ms, req->kind, req->caller, &req->service_us,
          &req->deadline_ms, &req->body_bytes, mode, &end);
      req->once = got == 7 && strcmp (mode, "once") == 0;
      if (got != 7 || strcmp (text + end, "\n") != 0
          || (!req->once && strcmp (mode, "many") != 0) || req->time_ms < 0
          || req->service_us < 0 || req->deadline_ms < 1
          || req->body_bytes < 0)
        err = ERR_INVALID;
    }
  fclose (file);
  return err;
}

void
trace_write (const struct trace *tr, FILE *out)
{
  for (size_t n = 0; n < tr->count; n++)
    {
      const struct trace_request *req = &tr->requests[n];
      fprintf (out,
               "%" PRId64 " %s %s %" PRId64 " %" PRId64 " %" PRId64 " %s\n",
               req->time_ms, req->kind, req->caller, req->service_us,
               req->deadline_ms, req->body_bytes, req->once ? "once" : "many");
    }
}

static int
compare_by_time (const void *a, const void *b)
{
  const struct trace_request *x = a;
  const struct trace_request *y = b;
  if (x->time_ms != y->time_ms)
    return x->time_ms < y->time_ms ? -1 : 1;
  return strcmp (x->kind, y->kind);
}

static double
draw_exponential (unsigned short random[3], double mean)
{
  double value = -log (1 - erand48 (random)) * mean;
  return value < mean * EXPONENTIAL_MAX_MEANS ? value
                                              : mean * EXPONENTIAL_MAX_MEANS;
}

void
trace_generate (void *parent, const struct trace_kind *kinds,
                size_t kinds_count, int turns, int64_t seconds,
                int64_t turn_ms, double surge, unsigned seed, struct trace *tr)
{
  unsigned short random[3] = { (unsigned short)seed, 0x330e, 17 };
  *tr = (struct trace){ 0 };
  for (size_t n = 0; n < kinds_count; n++)
    {
      const struct trace_kind *kd = &kinds[n];
      /* Generates a Poisson process at the kind's highest rate and, where the
         rate is lower, drops arrivals at random in proportion (thinning).  */
      double max_rate_s = kd->surge_turn < 0 ? kd->rate_s : kd->rate_s * surge;
      double ms = 0;
      while ((ms += draw_exponential (random, 1000 / max_rate_s))
             < seconds * 1000.0)
        {
          bool at_max_rate
              = kd->surge_turn < 0
                || (int64_t)(ms / (double)turn_ms) % turns == kd->surge_turn;
          if (!at_max_rate
              && erand48 (random) >= OFF_SURGE_RATE_FACTOR / surge)
            continue;
          struct trace_request *req = add_request (parent, tr);
          req->time_ms = (int64_t)ms;
          req->service_us
              = (int64_t)draw_exponential (random, (double)kd->service_us);
          req->deadline_ms = kd->deadline_ms;
          req->body_bytes
              = kd->body_bytes / 2
                + (int64_t)(erand48 (random) * (double)kd->body_bytes);
          req->once = kd->once;
          snprintf (req->kind, sizeof req->kind, "%s", kd->kind);
          snprintf (req->caller, sizeof req->caller, "%s-%d",
                    kd->caller_prefix,
                    1 + (int)(erand48 (random) * kd->caller_count));
        }
    }
  qsort (tr->requests, tr->count, sizeof *tr->requests, compare_by_time);
}
