#include "admit/admit.h"

#include <string.h>
#include <talloc.h>
#include <utlist.h>

#include "admit/admit_priv.h"
#include "base/err.h"

/* The mean slot time is the plain mean of the first HELD_MEAN_SAMPLES ended
   items.  After that each ended item has the weight 1 / HELD_MEAN_SAMPLES.  */
#define HELD_MEAN_SAMPLES 64
/* The running minimum of the service time drops to a shorter sample at once
   and rises by this fraction of the distance to a longer one.  */
#define SERVICE_MIN_RISE_DIVISOR 64

int
admit_init (struct admit *adm, void *parent, const struct admit_policy *policy)
{
  adm->policy = policy;
  adm->priv = talloc_zero (parent, struct priv);
  return adm->priv ? 0 : ERR_NOMEM;
}

void
admit_fini (struct admit *adm)
{
  talloc_free (adm->priv);
  adm->priv = NULL;
}

static int64_t
min_us (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static struct kind *
find_kind (const struct admit *adm, uint32_t kind)
{
  struct priv *p = adm->priv;
  return kind < p->kind_count && p->kinds[kind].known ? &p->kinds[kind] : NULL;
}

/* The earlier of the queue deadline and the last time at which the shortest
   service would still end before the caller's deadline.  */
static int64_t
latest_start (const struct kind *k, const struct admit_item *item)
{
  int64_t queue_us = item->arrival_us + k->lim.queue_deadline_us;
  int64_t own_us = item->deadline_us > INT64_MIN + k->service_min_us
                       ? item->deadline_us - k->service_min_us
                       : INT64_MIN;
  return min_us (queue_us, own_us);
}

static enum admit_reason
expiry_reason (const struct kind *k, const struct admit_item *item)
{
  return item->expiry_us < item->arrival_us + k->lim.queue_deadline_us
             ? ADMIT_REASON_DEADLINE
             : ADMIT_REASON_QUEUE_DEADLINE;
}

/* Extends TABLE to at least COUNT entries; new ones are zeroed.  Returns the
   table, or NULL without memory.  */
static void *
grow_table (struct priv *p, void *table, size_t size, uint32_t *capacity,
            uint32_t count)
{
  if (count <= *capacity)
    return table;
  char *grown = talloc_realloc_size (p, table, size * count);
  if (!grown)
    return NULL;
  memset (grown + size * *capacity, 0, size * (count - *capacity));
  *capacity = count;
  return grown;
}

static bool
limits_valid (uint32_t kind, const struct admit_kind_limits *lim)
{
  return kind < ADMIT_KINDS_MAX && lim->pool < ADMIT_POOLS_MAX
         && lim->weight >= 1 && lim->weight <= ADMIT_WEIGHT_MAX
         && lim->queue_limit <= ADMIT_QUEUE_MAX && lim->queue_deadline_us >= 0
         && lim->queue_deadline_us <= ADMIT_QUEUE_DEADLINE_MAX_US
         && (unsigned)lim->cls <= ADMIT_BACKGROUND;
}

static int
ensure_pool (struct priv *p, uint32_t pool)
{
  void *pools
      = grow_table (p, p->pools, sizeof *p->pools, &p->pool_count, pool + 1);
  if (!pools)
    return ERR_NOMEM;
  p->pools = pools;
  return 0;
}

static int
pool_add_kind (struct priv *p, struct pool *pool, uint32_t kind)
{
  uint32_t *kinds
      = talloc_realloc (p, pool->kinds, uint32_t, pool->kind_count + 1);
  if (!kinds)
    return ERR_NOMEM;
  pool->kinds = kinds;
  pool->kinds[pool->kind_count++] = kind;
  return 0;
}

static void
pool_remove_kind (struct pool *pool, uint32_t kind)
{
  for (uint32_t n = 0; n < pool->kind_count; n++)
    if (pool->kinds[n] == kind)
      {
        pool->kinds[n] = pool->kinds[--pool->kind_count];
        return;
      }
}

/* Reserves heap space for all queues filled to their limits, with QUEUE_LIMIT
   for KIND, so that queueing an item never allocates and cannot fail.  */
static int
reserve_queues (struct priv *p, uint32_t kind, uint32_t queue_limit)
{
  uint64_t sum = 0;
  for (uint32_t n = 0; n < p->kind_count; n++)
    {
      const struct kind *k = &p->kinds[n];
      uint32_t limit = n == kind ? queue_limit : k->lim.queue_limit;
      sum += k->queued > limit ? k->queued : limit;
    }
  return sum > UINT32_MAX ? ERR_NOMEM : expiry_heap_reserve (&p->heap, p, sum);
}

/* Applies a changed queue deadline to the items that already wait.  */
static void
reset_expiry (struct priv *p, struct kind *k)
{
  struct admit_item *item;
  DL_FOREACH (k->queue, item)
    {
      item->expiry_us = latest_start (k, item);
      expiry_heap_update (&p->heap, item);
    }
}

int
admit_set_kind (struct admit *adm, uint32_t kind,
                const struct admit_kind_limits *lim)
{
  struct priv *p = adm->priv;
  if (!limits_valid (kind, lim))
    return ERR_INVALID;
  void *kinds
      = grow_table (p, p->kinds, sizeof *p->kinds, &p->kind_count, kind + 1);
  if (!kinds)
    return ERR_NOMEM;
  p->kinds = kinds;
  if (ensure_pool (p, lim->pool) < 0
      || reserve_queues (p, kind, lim->queue_limit) < 0)
    return ERR_NOMEM;

  struct kind *k = &p->kinds[kind];
  bool moves = !k->known || k->lim.pool != lim->pool;
  if (moves && pool_add_kind (p, &p->pools[lim->pool], kind) < 0)
    return ERR_NOMEM;
  if (moves && k->known)
    {
      pool_remove_kind (&p->pools[k->lim.pool], kind);
      k->pool_epoch++;
      k->running_in_pool = 0;
      k->start_sum_us = 0;
      k->lag = 0;
    }
  bool deadline_changed = k->lim.queue_deadline_us != lim->queue_deadline_us;
  k->lim = *lim;
  k->known = true;
  if (deadline_changed)
    reset_expiry (p, k);
  return 0;
}

int
admit_set_pool (struct admit *adm, uint32_t pool, uint32_t slots)
{
  if (pool >= ADMIT_POOLS_MAX || slots > ADMIT_SLOTS_MAX)
    return ERR_INVALID;
  if (ensure_pool (adm->priv, pool) < 0)
    return ERR_NOMEM;
  adm->priv->pools[pool].slots = slots;
  return 0;
}

void
admit_start (struct priv *p, struct admit_item *item, int64_t now_us)
{
  struct kind *k = &p->kinds[item->kind];
  item->state = ITEM_RUNNING;
  item->pool = k->lim.pool;
  item->pool_epoch = k->pool_epoch;
  item->start_us = now_us;
  k->running++;
  k->running_in_pool++;
  k->start_sum_us += now_us;
  k->started++;
  if (item->pool < p->pool_count)
    p->pools[item->pool].running++;
}

static void
dequeue (struct priv *p, struct kind *k, struct admit_item *item)
{
  DL_DELETE (k->queue, item);
  k->queued--;
  expiry_heap_remove (&p->heap, item);
  item->state = ITEM_UNTRACKED;
}

struct admit_item *
admit_start_first (struct priv *p, struct kind *k, int64_t now_us)
{
  struct admit_item *item = k->queue;
  dequeue (p, k, item);
  admit_start (p, item, now_us);
  return item;
}

void
admit_enqueue (struct priv *p, struct admit_item *item, int64_t now_us)
{
  struct kind *k = &p->kinds[item->kind];
  item->state = ITEM_QUEUED;
  DL_APPEND (k->queue, item);
  k->queued++;
  expiry_heap_push (&p->heap, item);
}

enum admit_result
admit_refuse (struct kind *k, struct admit_refusal *ref,
              enum admit_reason reason, int64_t retry_after_us)
{
  if (k)
    k->refused++;
  ref->reason = reason;
  ref->retry_after_us = retry_after_us;
  return ADMIT_REFUSED;
}

bool
admit_precheck (struct priv *p, struct admit_item *item, int64_t now_us,
                struct admit_refusal *ref)
{
  struct kind *k = &p->kinds[item->kind];
  if (k->lim.pool >= p->pool_count || p->pools[k->lim.pool].slots == 0)
    {
      admit_refuse (k, ref, ADMIT_REASON_NO_CAPACITY,
                    k->lim.queue_deadline_us);
      return false;
    }
  item->arrival_us = now_us;
  item->expiry_us = latest_start (k, item);
  if (item->expiry_us < now_us)
    {
      admit_refuse (k, ref, ADMIT_REASON_DEADLINE, 0);
      return false;
    }
  return true;
}

/* Moves items past their latest start time from their queues to the expired
   list.  Called before each decision, so that none of them starts and the
   policy does not see them as waiting.  */
static void
collect_expired (struct priv *p, int64_t now_us)
{
  struct admit_item *item;
  while ((item = expiry_heap_top (&p->heap)) && item->expiry_us < now_us)
    {
      struct kind *k = &p->kinds[item->kind];
      dequeue (p, k, item);
      item->state = ITEM_EXPIRED;
      k->expired++;
      DL_APPEND (p->expired, item);
    }
}

enum admit_result
admit_offer (struct admit *adm, struct admit_item *item, int64_t now_us,
             struct admit_refusal *ref)
{
  memset (ref, 0, sizeof *ref);
  item->state = ITEM_UNTRACKED;
  if (!find_kind (adm, item->kind))
    return admit_refuse (NULL, ref, ADMIT_REASON_UNKNOWN_KIND, 0);
  collect_expired (adm->priv, now_us);
  return adm->policy->offer (adm, item, now_us, ref);
}

struct admit_item *
admit_next (struct admit *adm, uint32_t pool, int64_t now_us)
{
  if (pool >= adm->priv->pool_count)
    return NULL;
  collect_expired (adm->priv, now_us);
  return adm->policy->next (adm, pool, now_us);
}

static void
record_sample (struct kind *k, int64_t held_us, int64_t service_us)
{
  if (k->sample_count < HELD_MEAN_SAMPLES)
    k->sample_count++;
  k->held_mean_us += (held_us - k->held_mean_us) / k->sample_count;
  k->held_mean_us = k->held_mean_us > 1 ? k->held_mean_us : 1;
  /* fair_advance computes the estimate only once per point in time, so
     later decisions at this time would otherwise use the old one.  */
  k->held_estimate_us = k->held_mean_us;
  if (k->sample_count == 1)
    k->service_min_us = service_us;
  if (service_us < k->service_min_us)
    k->service_min_us = service_us;
  else
    k->service_min_us
        += (service_us - k->service_min_us) / SERVICE_MIN_RISE_DIVISOR;
}

void
admit_end (struct admit *adm, struct admit_item *item, int64_t now_us,
           int64_t service_us)
{
  struct priv *p = adm->priv;
  struct kind *k = find_kind (adm, item->kind);
  if (!k || item->state != ITEM_RUNNING)
    return;
  if (adm->policy->advance && item->pool < p->pool_count)
    adm->policy->advance (adm, item->pool, now_us);
  item->state = ITEM_UNTRACKED;
  k->running--;
  if (item->pool_epoch == k->pool_epoch)
    {
      k->running_in_pool--;
      k->start_sum_us -= item->start_us;
    }
  if (item->pool < p->pool_count)
    p->pools[item->pool].running--;
  record_sample (k, now_us - item->start_us, service_us > 0 ? service_us : 0);
}

void
admit_cancel (struct admit *adm, struct admit_item *item)
{
  struct priv *p = adm->priv;
  struct kind *k = find_kind (adm, item->kind);
  if (!k)
    return;
  if (item->state == ITEM_QUEUED)
    dequeue (p, k, item);
  else if (item->state == ITEM_EXPIRED)
    {
      DL_DELETE (p->expired, item);
      k->expired--;
      item->state = ITEM_UNTRACKED;
    }
}

struct admit_item *
admit_expire (struct admit *adm, int64_t now_us, struct admit_refusal *ref)
{
  struct priv *p = adm->priv;
  collect_expired (p, now_us);
  struct admit_item *item = p->expired;
  if (!item)
    return NULL;
  struct kind *k = &p->kinds[item->kind];
  DL_DELETE (p->expired, item);
  k->expired--;
  item->state = ITEM_UNTRACKED;
  admit_refuse (k, ref, expiry_reason (k, item), k->lim.queue_deadline_us);
  return item;
}

int64_t
admit_next_expiry_us (const struct admit *adm)
{
  const struct admit_item *item = adm->priv->expired;
  if (!item)
    item = expiry_heap_top (&adm->priv->heap);
  if (!item)
    return INT64_MAX;
  return item->expiry_us < INT64_MAX ? item->expiry_us + 1 : INT64_MAX;
}

void
admit_kind_stats (const struct admit *adm, uint32_t kind,
                  struct admit_kind_stats *out)
{
  memset (out, 0, sizeof *out);
  const struct kind *k = find_kind (adm, kind);
  if (!k)
    return;
  out->running = k->running;
  out->queued = k->queued + k->expired;
  out->started = k->started;
  out->refused = k->refused;
}

const char *
admit_reason_name (enum admit_reason reason)
{
  switch (reason)
    {
    case ADMIT_REASON_NONE:
      return "none";
    case ADMIT_REASON_QUEUE_FULL:
      return "queue_full";
    case ADMIT_REASON_QUEUE_DEADLINE:
      return "queue_deadline";
    case ADMIT_REASON_DEADLINE:
      return "deadline";
    case ADMIT_REASON_NO_CAPACITY:
      return "no_capacity";
    case ADMIT_REASON_UNKNOWN_KIND:
      return "unknown_kind";
    }
  return "unknown_reason";
}
