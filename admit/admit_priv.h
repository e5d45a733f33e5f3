#pragma once

#include <stdbool.h>

#include "admit/admit.h"
#include "admit/expiry_heap.h"

/* State and helpers shared by the admission policies; used only in admit/.  */

enum item_state
{
  ITEM_UNTRACKED, /* neither waiting nor running */
  ITEM_QUEUED,
  ITEM_EXPIRED, /* removed from its queue; admit_expire returns it next */
  ITEM_RUNNING,
};

struct kind
{
  bool known;
  struct admit_kind_limits lim;

  uint32_t running; /* in all pools; subject to the concurrency limit */
  uint32_t running_in_pool; /* running items started in the current pool */
  uint32_t pool_epoch;      /* incremented when the kind changes pools */
  uint64_t start_sum_us;    /* sum of the start times of running_in_pool
                               items, modulo 2^64 */
  uint32_t queued;
  uint32_t expired;         /* items in state ITEM_EXPIRED */
  struct admit_item *queue; /* oldest first */

  /* Statistics of ended items; 0 until the first one ends.  */
  double held_mean_us;    /* mean slot time: how long items hold a slot */
  uint32_t sample_count;  /* ended items, at most HELD_MEAN_SAMPLES */
  int64_t service_min_us; /* running minimum of the service time */

  /* Fair policy only.  */
  double held_estimate_us; /* held_mean_us, or more when items hang */
  double lag; /* service owed, in slot us; negative: received too much */

  uint64_t started;
  uint64_t refused;
};

struct pool
{
  uint32_t slots;
  uint32_t running;
  uint32_t *kinds; /* handles of its kinds */
  uint32_t kind_count;

  /* Fair policy only.  */
  int64_t lag_updated_us; /* time of the last update of the lags */
  double lag_period_us;   /* time in which a lag of one slot is repaid */
};

struct priv
{
  struct kind *kinds; /* by handle */
  uint32_t kind_count;
  struct pool *pools; /* by handle */
  uint32_t pool_count;
  struct expiry_heap heap;    /* all queued items */
  struct admit_item *expired; /* list of items in state ITEM_EXPIRED */
};

/* Gives the item a slot of its kind's pool and counts it as running.  */
void admit_start (struct priv *p, struct admit_item *item, int64_t now_us);

/* Dequeues and starts the oldest waiting item of the kind.  */
struct admit_item *admit_start_first (struct priv *p, struct kind *k,
                                      int64_t now_us);

/* Appends the item to the queue of its kind.  The caller checks the queue
   limit.  */
void admit_enqueue (struct priv *p, struct admit_item *item, int64_t now_us);

/* Fills in REF and counts the refusal.  K may be NULL.  */
enum admit_result admit_refuse (struct kind *k, struct admit_refusal *ref,
                                enum admit_reason reason,
                                int64_t retry_after_us);

/* Sets the arrival time and the latest start time of an offered item.  Refuses
   it and returns false when its pool has no slots or the caller's deadline can
   no longer be met.  */
bool admit_precheck (struct priv *p, struct admit_item *item, int64_t now_us,
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
