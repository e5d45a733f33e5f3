#include "fleet/catalog.h"

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

const struct queue *
catalog_queue (const struct catalog *cat, const char *name)
{
  for (size_t n = 0; cat && n < cat->queue_count; n++)
    if (strcmp (cat->queues[n].name, name) == 0)
      return &cat->queues[n];
  return NULL;
}

const struct pool_config *
catalog_pool (const struct catalog *cat, const char *name)
{
  for (size_t n = 0; cat && n < cat->pool_count; n++)
    if (strcmp (cat->pools[n].name, name) == 0)
      return &cat->pools[n];
  return NULL;
}
