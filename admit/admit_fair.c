#include "admit/admit_priv.h"

/* The fair policy: weighted max-min fairness over the slots that the kinds of
   a pool hold.  A free slot goes to the waiting kind that holds the fewest
   slots per unit of weight.  The lag of a kind, the service that it is owed,
   corrects this by at most one slot, so that rounding to whole slots and
   unequal service times even out over time.  Part of each pool, the reserve,
   is kept free of background and long-running work, so that urgent requests
   can start at once.  */

/* One slot in this many belongs to the reserve.  */
#define RESERVE_DIVISOR 20
/* Work that holds a slot this long does not free it soon enough for an urgent
   request to start at once.  */
#define LONG_SLOT_TIME_US 1000000
/* Running items raise the estimated slot time when their average age exceeds
   this many times the mean slot time of ended items.  */
#define HANG_FACTOR 2
/* Bounds of the lag period, the time in which a lag of one slot is repaid.  It
   is the longest slot time among the active kinds, because a kind cannot even
   out its rounding to whole slots in less time than its items hold a slot.  */
#define LAG_PERIOD_MIN_US 1000
#define LAG_PERIOD_MAX_US 600000000LL
/* A lag is bounded to that of one slot over this many lag periods, enough to
   even out single long services as well.  */
#define LAG_PERIODS_MAX 16
/* An item is queued only if its expected wait is at most this fraction of the
   time until its latest start.  The actual wait varies with the load of other
   kinds, and an item that expires in the queue should have been refused at
   once.  */
#define WAIT_FRACTION_MAX (7.0 / 8)
#define RETRY_HINT_MIN_US 50000
#define RETRY_HINT_MAX_US 60000000LL

/* Whether the kind has waiting work that its concurrency limit does not hold
   back.  */
static bool
backlogged (const struct kind *k)
{
  return k->queued > 0 && kind_below_limit (k);
}

static bool
active (const struct kind *k)
{
  return k->queued > 0 || k->running_in_pool > 0;
}

/* Whether the kind may not use the reserve.  A kind of which no item has ended
   yet is treated as long-running.  */
static bool
barred_from_reserve (const struct kind *k)
{
  if (k->lim.cls == ADMIT_URGENT)
    return false;
  return k->lim.cls == ADMIT_BACKGROUND || k->sample_count == 0
         || k->held_estimate_us >= LONG_SLOT_TIME_US;
}

static double
clamp (double val, double low, double high)
{
  return val < low ? low : val > high ? high : val;
}

/* Expected time that an item of the kind holds its slot.  The average age of
   the running items is about the mean slot time; a much higher age shows that
   targets hang, which the mean cannot show because only ended items enter
   it.  */
static double
held_estimate (const struct kind *k, int64_t now_us)
{
  if (k->running_in_pool == 0)
    return k->held_mean_us;
  uint64_t sum_us = (uint64_t)now_us * k->running_in_pool - k->start_sum_us;
  double running = (double)sum_us / k->running_in_pool / HANG_FACTOR;
  return running > k->held_mean_us ? running : k->held_mean_us;
}

/* Updates the lags in the pool up to NOW_US.  The slots held by all backlogged
   kinds together are due to these kinds by weight; the lag of a kind is the
   difference between the slots due to it and those that it holds, summed up
   over time.  A kind without a backlog loses its credit at once and its debt
   gradually, so that idle time does not build up credit for a burst.  */
static void
fair_advance (struct admit *adm, uint32_t pool_id, int64_t now_us)
{
  struct priv *p = adm->priv;
  struct pool *pool = &p->pools[pool_id];
  double passed = now_us - pool->lag_updated_us;
  if (passed <= 0)
    return;
  pool->lag_updated_us = now_us;

  double weights = 0;
  double held = 0;
  double longest = LAG_PERIOD_MIN_US;
  for (uint32_t n = 0; n < pool->kind_count; n++)
    {
      struct kind *k = &p->kinds[pool->kinds[n]];
      k->held_estimate_us = held_estimate (k, now_us);
      if (active (k) && k->held_estimate_us > longest)
        longest = k->held_estimate_us;
      if (!backlogged (k))
        continue;
      weights += k->lim.weight;
      held += k->running_in_pool;
    }
  pool->lag_period_us
      = longest < LAG_PERIOD_MAX_US ? longest : LAG_PERIOD_MAX_US;
  double bound = LAG_PERIODS_MAX * pool->lag_period_us;
  for (uint32_t n = 0; n < pool->kind_count; n++)
    {
      struct kind *k = &p->kinds[pool->kinds[n]];
      if (backlogged (k))
        k->lag
            += (held * k->lim.weight / weights - k->running_in_pool) * passed;
      else
        k->lag = clamp (k->lag + passed, k->lag, 0);
      k->lag = clamp (k->lag, -bound, bound);
    }
}

/* Sums over the kinds of a pool that a decision needs, from one pass.  */
struct pool_summary
{
  double active_weight;     /* total weight of the active kinds */
  double backlogged_weight; /* total weight of the backlogged kinds */
  double satisfied_slots;   /* slots held by kinds without a backlog */
  bool urgent_backlogged;   /* an urgent kind is backlogged */
  uint32_t barred_slots;    /* slots held by kinds barred from the reserve */
};

static void
pool_summary_init (struct pool_summary *sum, const struct priv *p,
                   const struct pool *pool)
{
  sum->active_weight = 0;
  sum->backlogged_weight = 0;
  sum->satisfied_slots = 0;
  sum->urgent_backlogged = false;
  sum->barred_slots = 0;
  for (uint32_t n = 0; n < pool->kind_count; n++)
    {
      const struct kind *k = &p->kinds[pool->kinds[n]];
      if (active (k))
        sum->active_weight += k->lim.weight;
      if (backlogged (k))
        sum->backlogged_weight += k->lim.weight;
      else
        sum->satisfied_slots += k->running_in_pool;
      if (k->lim.cls == ADMIT_URGENT && backlogged (k))
        sum->urgent_backlogged = true;
      if (barred_from_reserve (k))
        sum->barred_slots += k->running_in_pool;
    }
}

/* Slots due to K: its weighted share of the pool among K and the active
   kinds.  */
static double
fair_share (const struct pool_summary *sum, const struct pool *pool,
            const struct kind *k)
{
  double weights = sum->active_weight + (active (k) ? 0 : k->lim.weight);
  return pool->slots * (double)k->lim.weight / weights;
}

/* Slots that the kind can expect to hold: its share, or more while kinds
   without a backlog leave part of theirs unused, but within its concurrency
   limit and no fewer than it holds now.  */
static double
expected_slots (const struct pool_summary *sum, const struct pool *pool,
                const struct kind *k)
{
  double backlogged_weight
      = sum->backlogged_weight + (backlogged (k) ? 0 : k->lim.weight);
  double satisfied
      = sum->satisfied_slots - (backlogged (k) ? 0 : k->running_in_pool);
  double with_borrowed
      = (pool->slots - satisfied) * k->lim.weight / backlogged_weight;
  double slots = fair_share (sum, pool, k);
  slots = slots > with_borrowed ? slots : with_borrowed;
  if (k->lim.concurrency_limit > 0 && slots > k->lim.concurrency_limit)
    slots = k->lim.concurrency_limit;
  return slots > k->running_in_pool ? slots : k->running_in_pool;
}

/* Whether an item of the kind may start now.  A kind barred from the
   reserve exceeds its share only while more slots than the reserve are free.
   Below its share it may take the last free slots too, because it would
   otherwise starve when short work takes every freed slot.  But the barred
   kinds together never hold more than the slots outside the reserve.  */
static bool
may_start (const struct pool_summary *sum, const struct pool *pool,
           const struct kind *k)
{
  if (pool->running >= pool->slots || !kind_below_limit (k))
    return false;
  if (!barred_from_reserve (k))
    return true;
  uint32_t reserve = pool->slots / RESERVE_DIVISOR;
  if (sum->barred_slots >= pool->slots - reserve)
    return false;
  return pool->slots - pool->running > reserve
         || k->running_in_pool < fair_share (sum, pool, k);
}

/* Start order while urgent work waits, lowest first: urgent kinds below their
   share, other kinds below their share, urgent kinds at or above their share,
   the rest.  A surge of urgent work thus gets spare slots before other kinds,
   but never the share that another kind needs.  */
static int
tier (const struct pool_summary *sum, const struct pool *pool,
      const struct kind *k)
{
  if (!sum->urgent_backlogged)
    return 0;
  bool below_share = k->running_in_pool < fair_share (sum, pool, k);
  if (k->lim.cls == ADMIT_URGENT)
    return below_share ? 0 : 2;
  return below_share ? 1 : 3;
}

/* Slots held per unit of weight, corrected by the lag.  The correction is at
   most one slot, so that a kind that was kept waiting never takes more than
   its share plus one slot.  */
static double
weighted_load_of (const struct pool *pool, const struct kind *k)
{
  double slots = k->lag != 0 ? clamp (k->lag / pool->lag_period_us, -1, 1) : 0;
  return (k->running_in_pool - slots) / k->lim.weight;
}

/* Whether A starts before B: by tier, then by load, then by class.  */
static bool
starts_before (const struct pool_summary *sum, const struct pool *pool,
               const struct kind *a, const struct kind *b)
{
  int ta = tier (sum, pool, a);
  int tb = tier (sum, pool, b);
  if (ta != tb)
    return ta < tb;
  double la = weighted_load_of (pool, a);
  double lb = weighted_load_of (pool, b);
  if (la != lb)
    return la < lb;
  return a->lim.cls < b->lim.cls;
}

/* The kind whose oldest waiting item starts next, or NULL.  */
static struct kind *
pick_kind (const struct pool_summary *sum, struct priv *p,
           const struct pool *pool)
{
  struct kind *best = NULL;
  for (uint32_t n = 0; n < pool->kind_count; n++)
    {
      struct kind *k = &p->kinds[pool->kinds[n]];
      if (k->queued > 0 && may_start (sum, pool, k)
          && (!best || starts_before (sum, pool, k, best)))
        best = k;
    }
  return best;
}

static struct admit_item *
fair_next (struct admit *adm, uint32_t pool, int64_t now_us)
{
  struct priv *p = adm->priv;
  fair_advance (adm, pool, now_us);
  if (p->pools[pool].running >= p->pools[pool].slots)
    return NULL;
  struct pool_summary sum;
  pool_summary_init (&sum, p, &p->pools[pool]);
  struct kind *k = pick_kind (&sum, p, &p->pools[pool]);
  return k ? admit_start_first (p, k, now_us) : NULL;
}

/* Expected number of slots that the pool frees per us; 0: unknown.  */
static double
slot_release_rate (const struct priv *p, const struct pool *pool)
{
  double rate = 0;
  for (uint32_t n = 0; n < pool->kind_count; n++)
    {
      const struct kind *k = &p->kinds[pool->kinds[n]];
      if (k->held_estimate_us > 0)
        rate += k->running_in_pool / k->held_estimate_us;
    }
  return rate;
}

/* Expected wait of one more item of the kind, in us; 0 until items have ended.
   The first term is the time to work off its queue on the slots that it can
   expect to hold.  The second term is the delay until the pool frees those of
   them that it does not hold yet.  Meanwhile the kind works off its queue on
   the slots that it has, so each missing slot but the first adds only half of
   the time that it takes to be freed.  */
static double
expected_wait (const struct pool_summary *sum, const struct priv *p,
               const struct pool *pool, const struct kind *k)
{
  double position = k->queued + 1;
  double slots = expected_slots (sum, pool, k);
  double wait = position * k->held_estimate_us / slots;
  double release_rate = slot_release_rate (p, pool);
  double missing = clamp (slots - k->running_in_pool, 0, position);
  if (release_rate > 0 && missing > 0)
    wait += (missing + 1) / 2 / release_rate;
  return wait;
}

/* RETRY_US: delay that the retry hint suggests, clamped to its bounds.  */
static enum admit_result
refuse_with_hint (struct kind *k, struct admit_refusal *ref,
                  enum admit_reason reason, double retry_us)
{
  return admit_refuse (
      k, ref, reason,
      (int64_t)clamp (retry_us, RETRY_HINT_MIN_US, RETRY_HINT_MAX_US));
}

static enum admit_result
fair_offer (struct admit *adm, struct admit_item *item, int64_t now_us,
            struct admit_refusal *ref)
{
  struct priv *p = adm->priv;
  struct kind *k = &p->kinds[item->kind];
  if (!admit_precheck (p, item, now_us, ref))
    return ADMIT_REFUSED;
  struct pool *pool = &p->pools[k->lim.pool];
  fair_advance (adm, k->lim.pool, now_us);
  struct pool_summary sum;
  pool_summary_init (&sum, p, pool);
  if (k->queued == 0 && may_start (&sum, pool, k)
      && !pick_kind (&sum, p, pool))
    {
      admit_start (p, item, now_us);
      return ADMIT_START;
    }
  double wait = expected_wait (&sum, p, pool, k);
  if (kind_queue_full (k))
    return refuse_with_hint (k, ref, ADMIT_REASON_QUEUE_FULL, wait);
  double excess
      = wait - WAIT_FRACTION_MAX * (double)(item->expiry_us - now_us);
  if (excess > 0)
    return refuse_with_hint (k, ref,
                             item->expiry_us
                                     < now_us + k->lim.queue_deadline_us
                                 ? ADMIT_REASON_DEADLINE
                                 : ADMIT_REASON_QUEUE_DEADLINE,
                             excess);
  admit_enqueue (p, item, now_us);
  return ADMIT_QUEUED;
}

const struct admit_policy admit_fair = {
  .name = "fair",
  .offer = fair_offer,
  .next = fair_next,
  .advance = fair_advance,
};
