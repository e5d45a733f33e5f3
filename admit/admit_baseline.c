#include "admit/admit_priv.h"

/* Baseline policies that benchmarks and tests compare with the fair one.  */

static enum admit_result
no_limits_offer (struct admit *adm, struct admit_item *item, int64_t now_us,
                 struct admit_refusal *ref)
{
  item->arrival_us = now_us;
  admit_start (adm->priv, item, now_us);
  return ADMIT_START;
}

static struct admit_item *
no_limits_next (struct admit *adm, uint32_t pool, int64_t now_us)
{
  return NULL;
}

const struct admit_policy admit_no_limits = {
  .name = "no_limits",
  .offer = no_limits_offer,
  .next = no_limits_next,
};

/* Fixed slots of the kind: its weighted share among all kinds of the pool, at
   least one.  Slots that a kind leaves unused are not lent to others.  */
static uint32_t
static_split_slots (const struct priv *p, const struct pool *pool,
                    const struct kind *k)
{
  uint64_t weights = 0;
  for (uint32_t n = 0; n < pool->kind_count; n++)
    weights += p->kinds[pool->kinds[n]].lim.weight;
  if (weights == 0)
    return 0;
  uint64_t slots = (uint64_t)pool->slots * k->lim.weight / weights;
  return slots > 1 ? slots : 1;
}

static bool
static_split_may_start (const struct priv *p, const struct kind *k)
{
  const struct pool *pool = &p->pools[k->lim.pool];
  return pool->running < pool->slots && kind_below_limit (k)
         && k->running_in_pool < static_split_slots (p, pool, k);
}

static enum admit_result
static_split_offer (struct admit *adm, struct admit_item *item, int64_t now_us,
                    struct admit_refusal *ref)
{
  struct priv *p = adm->priv;
  struct kind *k = &p->kinds[item->kind];
  if (!admit_precheck (p, item, now_us, ref))
    return ADMIT_REFUSED;
  if (k->queued == 0 && static_split_may_start (p, k))
    {
      admit_start (p, item, now_us);
      return ADMIT_START;
    }
  if (kind_queue_full (k))
    return admit_refuse (k, ref, ADMIT_REASON_QUEUE_FULL,
                         k->lim.queue_deadline_us);
  admit_enqueue (p, item, now_us);
  return ADMIT_QUEUED;
}

static struct admit_item *
static_split_next (struct admit *adm, uint32_t pool, int64_t now_us)
{
  struct priv *p = adm->priv;
  for (uint32_t n = 0; n < p->pools[pool].kind_count; n++)
    {
      struct kind *k = &p->kinds[p->pools[pool].kinds[n]];
      if (k->queued > 0 && static_split_may_start (p, k))
        return admit_start_first (p, k, now_us);
    }
  return NULL;
}

const struct admit_policy admit_static_split = {
  .name = "static_split",
  .offer = static_split_offer,
  .next = static_split_next,
};
