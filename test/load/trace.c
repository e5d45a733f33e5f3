#include "test/load/trace.h"

#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"

#define BETWEEN_SURGES (1.0 / 20) /* of the mean rate */
#define MAX_SERVICE_MEANS 3       /* a longer service time is cut to this */

static struct trace_item *
add_item (void *parent, struct trace *tr)
{
  size_t room = talloc_array_length (tr->items);
  if (tr->count == room)
    tr->items = talloc_realloc (parent, tr->items, struct trace_item,
                                room ? room * 2 : 256);
  struct trace_item *it = &tr->items[tr->count++];
  memset (it, 0, sizeof *it);
  return it;
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
      struct trace_item *it = add_item (parent, tr);
      int got = sscanf (text,
                        "%" SCNd64 " %31s %31s %" SCNd64 " %" SCNd64
                        " %" SCNd64 " %7s%n",
                        &it->time_ms, it->kind, it->caller, &it->service_us,
                        &it->deadline_ms, &it->body_bytes, mode, &end);
      it->once = got == 7 && strcmp (mode, "once") == 0;
      if (got != 7 || strcmp (text + end, "\n") != 0
          || (!it->once && strcmp (mode, "many") != 0) || it->time_ms < 0
          || it->service_us < 0 || it->deadline_ms < 1 || it->body_bytes < 0)
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
      const struct trace_item *it = &tr->items[n];
      fprintf (out,
               "%" PRId64 " %s %s %" PRId64 " %" PRId64 " %" PRId64 " %s\n",
               it->time_ms, it->kind, it->caller, it->service_us,
               it->deadline_ms, it->body_bytes, it->once ? "once" : "many");
    }
}

static int
by_time (const void *a, const void *b)
{
  const struct trace_item *x = a;
  const struct trace_item *y = b;
  if (x->time_ms != y->time_ms)
    return x->time_ms < y->time_ms ? -1 : 1;
  return strcmp (x->kind, y->kind);
}

static double
exponential (unsigned short random[3], double mean)
{
  double value = -log (1 - erand48 (random)) * mean;
  return value < mean * MAX_SERVICE_MEANS ? value : mean * MAX_SERVICE_MEANS;
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
      /* Arrivals at the highest rate, thinned to the rate of the moment.  */
      double top = kd->turn < 0 ? kd->rate_s : kd->rate_s * surge;
      double ms = 0;
      while ((ms += exponential (random, 1000 / top)) < seconds * 1000.0)
        {
          bool own = kd->turn < 0
                     || (int64_t)(ms / (double)turn_ms) % turns == kd->turn;
          if (!own && erand48 (random) >= BETWEEN_SURGES / surge)
            continue;
          struct trace_item *it = add_item (parent, tr);
          it->time_ms = (int64_t)ms;
          it->service_us
              = (int64_t)exponential (random, (double)kd->service_us);
          it->deadline_ms = kd->deadline_ms;
          it->body_bytes
              = kd->body_bytes / 2
                + (int64_t)(erand48 (random) * (double)kd->body_bytes);
          it->once = kd->once;
          snprintf (it->kind, sizeof it->kind, "%s", kd->kind);
          snprintf (it->caller, sizeof it->caller, "%s-%d", kd->caller,
                    1 + (int)(erand48 (random) * kd->callers));
        }
    }
  qsort (tr->items, tr->count, sizeof *tr->items, by_time);
}
