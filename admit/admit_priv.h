#pragma once

#include <stdbool.h>

#include "admit/admit.h"
#include "admit/expiry_heap.h"

/* State that the drivers share.  */

enum item_state
{
  ITEM_OUT, /* not held by admit */
  ITEM_QUEUED,
  ITEM_EXPIRED, /* left its queue, to be returned by admit_expire */
  ITEM_RUNNING,
};

struct kind
{
  bool known;
  struct admit_kind_limits lim;

  uint32_t running;      /* in any pool; what the concurrency limit counts */
  uint32_t in_pool;      /* started since the kind came to its present pool */
  uint32_t epoch;        /* changes with the pool */
  uint64_t start_sum_us; /* over in_pool, modulo 2^64 */
  uint32_t queued;
  uint32_t expired; /* queued ones that wait for admit_expire */
  struct admit_item *queue;

  /* Measured; 0: nothing has ended yet.  */
  double held_mean_us;      /* how long an item holds its slot */
  uint32_t measured;        /* ended items, up to the bound of the mean */
  int64_t service_floor_us; /* short end of the service times */

  double held_us; /* fair driver: held_mean_us, or more when items hang */
  double lag;     /* fair driver: service owed, in slot us; negative: ahead */

  uint64_t started;
  uint64_t refused;
};

struct pool
{
  uint32_t slots;
  uint32_t running;
  uint32_t *kinds;
  uint32_t kind_count;
  int64_t advanced_us; /* fair driver: time up to which lags are counted */
  double horizon_us;   /* fair driver: time over which lags are evened out */
};

struct priv
{
  struct kind *kinds;
  uint32_t kind_count;
  struct pool *pools;
  uint32_t pool_count;
  struct expiry_heap heap;
  struct admit_item *expired;
};

/* Counts the item as running from NOW_US on.  */
void admit_start (struct priv *p, struct admit_item *item, int64_t now_us);

/* Takes the first waiting item of the kind and counts it as running.  */
struct admit_item *admit_start_first (struct priv *p, struct kind *k,
                                      int64_t now_us);
void admit_enqueue (struct priv *p, struct admit_item *item, int64_t now_us);
enum admit_result admit_refuse (struct kind *k, struct admit_refusal *ref,
                                enum admit_reason reason,
                                int64_t retry_after_us);

/* Sets the arrival and the latest start of an offered item.  Refuses it when
   its pool has no slots or its own deadline cannot be met any more.  */
bool admit_accept (struct priv *p, struct admit_item *item, int64_t now_us,
                   struct admit_refusal *ref);

static inline bool
kind_below_limit (const struct kind *k)
{
  return k->lim.concurrency_limit == 0
         || k->running < k->lim.concurrency_limit;
}

static inline bool
kind_queue_full (const struct kind *k)
{
  return k->queued + k->expired >= k->lim.queue_limit;
}
