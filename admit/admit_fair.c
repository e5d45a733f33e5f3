#include "admit/admit_priv.h"

/* Weighted max-min fairness over the slots that kinds hold.  A free slot goes
   to the waiting kind that holds the fewest slots for its weight.  The lag of
   a kind corrects this by at most one slot, so that rounding to whole slots
   and unequal service times even out over time.  */

/* One slot in this many is the reserve.  */
#define RESERVE_DIVISOR 20
/* Work that holds a slot longer does not return it soon enough for an urgent
   request to start at once.  */
#define LONG_HELD_US 1000000
/* How far what runs may exceed the mean before it counts instead.  */
#define HANG_FACTOR 2
/* Bounds of the horizon, the time over which a lag of one slot is evened out:
   as long as the longest running kind holds a slot, for within less its
   rounding cannot be.  */
#define HORIZON_MIN_US 1000
#define HORIZON_MAX_US 600000000LL
/* A lag is remembered up to that of one slot over this many horizons, so that
   single long services are evened out as well.  */
#define LAG_HORIZONS 16
/* Part of the time left that an expected wait may fill.  The wait varies with
   what the other kinds leave, and an item that expires in the queue was told
   too late.  */
#define WAIT_PART (7.0 / 8)
#define RETRY_MIN_US 50000
#define RETRY_MAX_US 60000000LL

/* Waiting work that only the fairness rule and free slots hold back.  */
static bool
backlogged (const struct kind *k)
{
  return k->queued > 0 && kind_below_limit (k);
}

static bool
active (const struct kind *k)
{
  return k->queued > 0 || k->in_pool > 0;
}

/* Work that must leave the reserve free.  A kind of which nothing has ended
   yet may be a long-running one.  */
static bool
leaves_reserve (const struct kind *k)
{
  if (k->lim.cls == ADMIT_URGENT)
    return false;
  return k->lim.cls == ADMIT_BACKGROUND || k->measured == 0
         || k->held_us >= LONG_HELD_US;
}

static double
clamp (double val, double low, double high)
{
  return val < low ? low : val > high ? high : val;
}

/* How long an item of the kind holds its slot.  What runs has held its slots
   for about the mean on average; far more shows that targets hang, which the
   mean of the ended items cannot.  */
static double
held_estimate (const struct kind *k, int64_t now_us)
{
  if (k->in_pool == 0)
    return k->held_mean_us;
  uint64_t sum_us = (uint64_t)now_us * k->in_pool - k->start_sum_us;
  double running = (double)sum_us / k->in_pool / HANG_FACTOR;
  return running > k->held_mean_us ? running : k->held_mean_us;
}

/* Backlogged kinds are owed their weighted part of the slots that they hold
   together.  A kind without a backlog keeps no credit, and its debt decays,
   so that idle time never turns into a burst.  */
static void
fair_advance (struct admit *adm, uint32_t pool_id, int64_t now_us)
{
  struct priv *p = adm->priv;
  struct pool *pool = &p->pools[pool_id];
  double passed = now_us - pool->advanced_us;
  if (passed <= 0)
    return;
  pool->advanced_us = now_us;

  double weights = 0;
  double held = 0;
  double longest = HORIZON_MIN_US;
  for (uint32_t n = 0; n < pool->kind_count; n++)
    {
      struct kind *k = &p->kinds[pool->kinds[n]];
      k->held_us = held_estimate (k, now_us);
      if (active (k) && k->held_us > longest)
        longest = k->held_us;
      if (!backlogged (k))
        continue;
      weights += k->lim.weight;
      held += k->in_pool;
    }
  pool->horizon_us = longest < HORIZON_MAX_US ? longest : HORIZON_MAX_US;
  double bound = LAG_HORIZONS * pool->horizon_us;
  for (uint32_t n = 0; n < pool->kind_count; n++)
    {
      struct kind *k = &p->kinds[pool->kinds[n]];
      if (backlogged (k))
        k->lag += (held * k->lim.weight / weights - k->in_pool) * passed;
      else
        k->lag = clamp (k->lag + passed, k->lag, 0);
      k->lag = clamp (k->lag, -bound, bound);
    }
}

/* What one pass over the kinds of a pool gives for a decision.  */
struct view
{
  double weights;      /* of the active kinds */
  bool urgent_waiting; /* and free to start */
  uint32_t outside;    /* slots held by work that leaves the reserve free */
};

static void
view_init (struct view *v, const struct priv *p, const struct pool *pool)
{
  v->weights = 0;
  v->urgent_waiting = false;
  v->outside = 0;
  for (uint32_t n = 0; n < pool->kind_count; n++)
    {
      const struct kind *k = &p->kinds[pool->kinds[n]];
      if (active (k))
        v->weights += k->lim.weight;
      if (k->lim.cls == ADMIT_URGENT && backlogged (k))
        v->urgent_waiting = true;
      if (leaves_reserve (k))
        v->outside += k->in_pool;
    }
}

/* The weighted share of the pool among the active kinds and K.  */
static double
share_of (const struct view *v, const struct pool *pool, const struct kind *k)
{
  double weights = v->weights + (active (k) ? 0 : k->lim.weight);
  return pool->slots * (double)k->lim.weight / weights;
}

/* Work that must leave the reserve free leaves that many slots free when it
   borrows.  Up to its share it may take them, as long as such work does not
   hold the reserve: short work that takes every freed slot would otherwise
   starve it.  */
static bool
may_start (const struct view *v, const struct pool *pool, const struct kind *k)
{
  if (pool->running >= pool->slots || !kind_below_limit (k))
    return false;
  if (!leaves_reserve (k))
    return true;
  uint32_t reserve = pool->slots / RESERVE_DIVISOR;
  if (v->outside >= pool->slots - reserve)
    return false;
  return pool->slots - pool->running > reserve
         || k->in_pool < share_of (v, pool, k);
}

/* While urgent work waits, the order is: urgent kinds below their share,
   other kinds below theirs, urgent kinds above their share, the rest.  A surge
   of urgent work thus takes what is spare before anyone else, and no share
   that another kind needs.  */
static int
tier (const struct view *v, const struct pool *pool, const struct kind *k)
{
  if (!v->urgent_waiting)
    return 0;
  bool below_share = k->in_pool < share_of (v, pool, k);
  if (k->lim.cls == ADMIT_URGENT)
    return below_share ? 0 : 2;
  return below_share ? 1 : 3;
}

/* A lag counts as at most one slot, so that a kind that was kept waiting
   never takes more than its share and one slot.  */
static double
load_of (const struct pool *pool, const struct kind *k)
{
  double slots = k->lag != 0 ? clamp (k->lag / pool->horizon_us, -1, 1) : 0;
  return (k->in_pool - slots) / k->lim.weight;
}

static bool
goes_before (const struct view *v, const struct pool *pool,
             const struct kind *a, const struct kind *b)
{
  int ta = tier (v, pool, a);
  int tb = tier (v, pool, b);
  if (ta != tb)
    return ta < tb;
  double la = load_of (pool, a);
  double lb = load_of (pool, b);
  if (la != lb)
    return la < lb;
  return a->lim.cls < b->lim.cls;
}

/* The kind whose first waiting item starts next, or NULL.  */
static struct kind *
pick (const struct view *v, struct priv *p, const struct pool *pool)
{
  struct kind *best = NULL;
  for (uint32_t n = 0; n < pool->kind_count; n++)
    {
      struct kind *k = &p->kinds[pool->kinds[n]];
      if (k->queued > 0 && may_start (v, pool, k)
          && (!best || goes_before (v, pool, k, best)))
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
  struct view v;
  view_init (&v, p, &p->pools[pool]);
  struct kind *k = pick (&v, p, &p->pools[pool]);
  return k ? admit_start_first (p, k, now_us) : NULL;
}

/* Rate at which the pool frees slots, in items a us; 0: unknown.  */
static double
freed_rate (const struct priv *p, const struct pool *pool)
{
  double rate = 0;
  for (uint32_t n = 0; n < pool->kind_count; n++)
    {
      const struct kind *k = &p->kinds[pool->kinds[n]];
      if (k->held_us > 0)
        rate += k->in_pool / k->held_us;
    }
  return rate;
}

/* Expected wait of one more item of the kind: its queue over the rate at which
   its items end on the slots that it holds, or is entitled to, and the time in
   which the pool frees the slots that it lacks.  It serves its queue on those
   that it has already, so half of this time counts for all but the first.  0
   while nothing is measured.  */
static double
expected_wait (const struct view *v, const struct priv *p,
               const struct pool *pool, const struct kind *k)
{
  double ahead = k->queued + 1;
  double slots = share_of (v, pool, k);
  if (k->lim.concurrency_limit > 0 && slots > k->lim.concurrency_limit)
    slots = k->lim.concurrency_limit;
  slots = slots > k->in_pool ? slots : k->in_pool;
  double wait = ahead * k->held_us / slots;
  double freed = freed_rate (p, pool);
  double lacks = clamp (slots - k->in_pool, 0, ahead);
  if (freed > 0 && lacks > 0)
    wait += (lacks + 1) / 2 / freed;
  return wait;
}

static enum admit_result
refuse_wait (struct kind *k, struct admit_refusal *ref,
             enum admit_reason reason, double excess_us)
{
  return admit_refuse (k, ref, reason,
                       (int64_t)clamp (excess_us, RETRY_MIN_US, RETRY_MAX_US));
}

static enum admit_result
fair_offer (struct admit *adm, struct admit_item *item, int64_t now_us,
            struct admit_refusal *ref)
{
  struct priv *p = adm->priv;
  struct kind *k = &p->kinds[item->kind];
  if (!admit_accept (p, item, now_us, ref))
    return ADMIT_REFUSED;
  struct pool *pool = &p->pools[k->lim.pool];
  fair_advance (adm, k->lim.pool, now_us);
  struct view v;
  view_init (&v, p, pool);
  if (k->queued == 0 && may_start (&v, pool, k) && !pick (&v, p, pool))
    {
      admit_start (p, item, now_us);
      return ADMIT_START;
    }
  double wait = expected_wait (&v, p, pool, k);
  if (kind_queue_full (k))
    return refuse_wait (k, ref, ADMIT_REASON_QUEUE_FULL, wait);
  double excess = wait - WAIT_PART * (double)(item->expiry_us - now_us);
  if (excess > 0)
    return refuse_wait (k, ref,
                        item->expiry_us < now_us + k->lim.queue_deadline_us
                            ? ADMIT_REASON_DEADLINE
                            : ADMIT_REASON_QUEUE_DEADLINE,
                        excess);
  admit_enqueue (p, item, now_us);
  return ADMIT_QUEUED;
}

const struct admit_driver admit_fair = {
  .name = "fair",
  .offer = fair_offer,
  .next = fair_next,
  .advance = fair_advance,
};
