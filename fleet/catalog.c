#include "fleet/catalog.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

const struct queue *
catalog_route (const struct catalog *cat, const char *host, const char *path)
{
  const struct queue *best = NULL;
  size_t best_len = 0;
  for (size_t n = 0; cat && n < cat->queue_count; n++)
    {
      const struct queue *que = &cat->queues[n];
      size_t len = strlen (que->path_prefix);
      if (strcasecmp (que->host, host) != 0 || (best && len <= best_len)
          || strncmp (que->path_prefix, path, len) != 0)
        continue;
      best = que;
      best_len = len;
    }
  return best;
}

static int
compare_queues (const void *a, const void *b)
{
  return strcmp (((const struct queue *)a)->name,
                 ((const struct queue *)b)->name);
}

void
catalog_sort (struct catalog *cat)
{
  qsort (cat->queues, cat->queue_count, sizeof *cat->queues, compare_queues);
}

const struct queue *
catalog_queue (const struct catalog *cat, const char *name)
{
  const struct queue key = { .name = name };
  if (!cat || cat->queue_count == 0)
    return NULL;
  return bsearch (&key, cat->queues, cat->queue_count, sizeof *cat->queues,
                  compare_queues);
}

const struct pool_config *
catalog_pool (const struct catalog *cat, const char *name)
{
  for (size_t n = 0; cat && n < cat->pool_count; n++)
    if (strcmp (cat->pools[n].name, name) == 0)
      return &cat->pools[n];
  return NULL;
}

size_t
catalog_note_pools (struct catalog *cat, const struct catalog *before,
                    int64_t now_us)
{
  size_t moved = 0;
  for (size_t n = 0; n < cat->queue_count; n++)
    {
      struct queue *que = &cat->queues[n];
      const struct queue *old = catalog_queue (before, que->name);
      moved += old && strcmp (old->pool, que->pool) != 0;
      que->pool_since_us = old && strcmp (old->pool, que->pool) == 0
                               ? old->pool_since_us
                               : now_us;
    }
  return moved;
}
