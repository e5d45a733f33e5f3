#include <check.h>
#include <math.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "admit/admit.h"
#include "base/err.h"

#define MS 1000
#define SEC 1000000LL

static struct admit_kind_limits
limits (enum admit_class cls, uint32_t concurrency, uint32_t queue)
{
  return (struct admit_kind_limits){ 0, 1, concurrency, queue, 10 * SEC, cls };
}

static struct admit *
create (const struct admit_driver *drv, uint32_t slots)
{
  struct admit *adm = talloc (NULL, struct admit);
  ck_assert_int_eq (admit_init (adm, adm, drv), 0);
  ck_assert_int_eq (admit_set_pool (adm, 0, slots), 0);
  return adm;
}

static void
set_kind (struct admit *adm, uint32_t kind, struct admit_kind_limits lim)
{
  ck_assert_int_eq (admit_set_kind (adm, kind, &lim), 0);
}

static enum admit_result
offer (struct admit *adm, struct admit_item *item, uint32_t kind,
       int64_t now_us)
{
  struct admit_refusal ref;
  item->kind = kind;
  item->deadline_us = now_us + 3600 * SEC;
  return admit_offer (adm, item, now_us, &ref);
}

/* Lets an item of the kind run for HELD_US, so that its slot time is known.
   Returns the time of its end.  */
static int64_t
teach (struct admit *adm, uint32_t kind, int64_t now_us, int64_t held_us)
{
  struct admit_item item;
  ck_assert_int_eq (offer (adm, &item, kind, now_us), ADMIT_START);
  admit_end (adm, &item, now_us + held_us, held_us);
  return now_us + held_us;
}

static const struct
{
  uint32_t kind;
  struct admit_kind_limits lim;
  int err;
} table_rows[] = {
  { 0, { 0, 1, 0, 0, 0, 0 }, 0 },
  { ADMIT_KINDS_MAX, { 0, 1, 0, 0, 0, 0 }, ERR_INVALID },
  { 0, { ADMIT_POOLS_MAX, 1, 0, 0, 0, 0 }, ERR_INVALID },
  { 0, { 0, 0, 0, 0, 0, 0 }, ERR_INVALID },
  { 0, { 0, ADMIT_WEIGHT_MAX + 1, 0, 0, 0, 0 }, ERR_INVALID },
  { 0, { 0, 1, 0, ADMIT_QUEUE_MAX + 1, 0, 0 }, ERR_INVALID },
  { 0, { 0, 1, 0, 0, -1, 0 }, ERR_INVALID },
  { 0, { 0, 1, 0, 0, INT64_MAX, 0 }, ERR_INVALID },
  { 0, { 0, 1, 0, 0, 0, (enum admit_class)3 }, ERR_INVALID },
};

/* Guards against limits from the table that overflow a computation.  */
START_TEST (test_limits)
{
  struct admit *adm = create (&admit_fair, 1);
  ck_assert_int_eq (
      admit_set_kind (adm, table_rows[_i].kind, &table_rows[_i].lim),
      table_rows[_i].err);
  ck_assert_int_eq (admit_set_pool (adm, ADMIT_POOLS_MAX, 1), ERR_INVALID);
  ck_assert_int_eq (admit_set_pool (adm, 0, ADMIT_SLOTS_MAX + 1), ERR_INVALID);
  talloc_free (adm);
}
END_TEST

static const struct
{
  uint32_t slots, concurrency, queue, kind;
  int64_t queue_us, own_us; /* deadlines from the offer */
  int results[4];           /* of offers in a row */
  enum admit_reason last;
} offers[] = {
  { 2, 0, 2, 0, SEC, SEC, { 0, 0, 1, 1 }, ADMIT_REASON_NONE },
  { 2, 1, 2, 0, SEC, SEC, { 0, 1, 1, 2 }, ADMIT_REASON_QUEUE_FULL },
  { 1, 0, 0, 0, SEC, SEC, { 0, 2, 2, 2 }, ADMIT_REASON_QUEUE_FULL },
  { 0, 0, 9, 0, SEC, SEC, { 2, 2, 2, 2 }, ADMIT_REASON_NO_CAPACITY },
  { 9, 0, 9, 7, SEC, SEC, { 2, 2, 2, 2 }, ADMIT_REASON_UNKNOWN_KIND },
  { 9, 0, 9, 0, SEC, -1, { 2, 2, 2, 2 }, ADMIT_REASON_DEADLINE },
  /* The slot time is 100 ms: the wait is 100, 200, 300 ms.  */
  { 1, 0, 9, 0, 250 * MS, SEC, { 0, 1, 1, 2 }, ADMIT_REASON_QUEUE_DEADLINE },
  { 1, 0, 9, 0, SEC, 350 * MS, { 0, 1, 1, 2 }, ADMIT_REASON_DEADLINE },
  { 1, 0, 9, 0, SEC, 90 * MS, { 2, 2, 2, 2 }, ADMIT_REASON_DEADLINE },
};

/* Guards against work that is accepted but cannot start in time, and against
   refusals with the wrong reason.  */
START_TEST (test_offers)
{
  struct admit *adm = create (&admit_fair, 1);
  set_kind (adm, 0, limits (ADMIT_URGENT, 0, 9));
  int64_t now = teach (adm, 0, SEC, 100 * MS);
  struct admit_kind_limits lim
      = limits (ADMIT_URGENT, offers[_i].concurrency, offers[_i].queue);
  lim.queue_deadline_us = offers[_i].queue_us;
  set_kind (adm, 0, lim);
  admit_set_pool (adm, 0, offers[_i].slots);
  struct admit_item items[4];
  struct admit_refusal ref;
  for (int n = 0; n < 4; n++)
    {
      items[n].kind = offers[_i].kind;
      items[n].deadline_us = now + offers[_i].own_us;
      ck_assert_int_eq (admit_offer (adm, &items[n], now, &ref),
                        offers[_i].results[n]);
    }
  ck_assert_int_eq (ref.reason, offers[_i].last);
  if (ref.reason == ADMIT_REASON_QUEUE_DEADLINE)
    ck_assert_int_ge (ref.retry_after_us, 50 * MS);
  talloc_free (adm);
}
END_TEST

/* Guards against a start after the deadline, when the owner was paused, and
   against an item that is given back twice or in the wrong order.  */
START_TEST (test_expiry)
{
  struct admit *adm = create (&admit_fair, 1);
  struct admit_item items[4];
  struct admit_refusal ref;
  set_kind (adm, 0, limits (ADMIT_NORMAL, 0, 9));
  ck_assert_int_eq (offer (adm, &items[0], 0, 0), ADMIT_START);
  const int64_t own_us[] = { 0, 30 * SEC, 3 * SEC, 5 * SEC };
  for (int n = 1; n < 4; n++)
    {
      items[n].kind = 0;
      items[n].deadline_us = own_us[n];
      ck_assert_int_eq (admit_offer (adm, &items[n], 0, &ref), ADMIT_QUEUED);
    }
  ck_assert_int_eq (admit_next_expiry_us (adm), 3 * SEC + 1);
  ck_assert_ptr_null (admit_expire (adm, 3 * SEC, &ref));
  ck_assert_ptr_eq (admit_expire (adm, 3 * SEC + 1, &ref), &items[2]);
  ck_assert_int_eq (ref.reason, ADMIT_REASON_DEADLINE);
  admit_end (adm, &items[0], 11 * SEC, SEC);
  ck_assert_ptr_null (admit_next (adm, 0, 11 * SEC));
  admit_cancel (adm, &items[3]);
  ck_assert_ptr_eq (admit_expire (adm, 11 * SEC, &ref), &items[1]);
  ck_assert_int_eq (ref.reason, ADMIT_REASON_QUEUE_DEADLINE);
  ck_assert_ptr_null (admit_expire (adm, 11 * SEC, &ref));
  ck_assert_int_eq (admit_next_expiry_us (adm), INT64_MAX);
  talloc_free (adm);
}
END_TEST

/* Guards against a changed queue deadline that waiting work does not see, and
   against slots lost when a kind moves between pools while work runs.  */
START_TEST (test_changes)
{
  struct admit *adm = create (&admit_fair, 1);
  struct admit_item items[3];
  struct admit_refusal ref;
  struct admit_kind_limits lim = limits (ADMIT_NORMAL, 0, 9);
  set_kind (adm, 0, lim);
  ck_assert_int_eq (offer (adm, &items[0], 0, 0), ADMIT_START);
  ck_assert_int_eq (offer (adm, &items[1], 0, 0), ADMIT_QUEUED);
  ck_assert_int_eq (offer (adm, &items[2], 0, 0), ADMIT_QUEUED);
  lim.queue_deadline_us = SEC;
  lim.pool = 1;
  set_kind (adm, 0, lim);
  admit_set_pool (adm, 1, 1);
  ck_assert_int_eq (admit_next_expiry_us (adm), SEC + 1);
  ck_assert_ptr_eq (admit_next (adm, 1, 0), &items[1]);
  ck_assert_ptr_null (admit_next (adm, 1, 0));
  admit_end (adm, &items[0], 0, 0);
  ck_assert_ptr_null (admit_next (adm, 1, 0));
  ck_assert_ptr_null (admit_next (adm, 0, 0));
  admit_end (adm, &items[1], 0, 0);
  ck_assert_ptr_eq (admit_next (adm, 1, 0), &items[2]);
  ck_assert_ptr_null (admit_expire (adm, 2 * SEC, &ref));
  talloc_free (adm);
}
END_TEST

static const struct
{
  int64_t running_us, own_us; /* slot times of what runs and what waits */
  int64_t later_us;           /* how long it runs before the offers */
  enum admit_result result;
} waits[] = {
  { SEC, 20 * MS, 0, ADMIT_QUEUED },
  { 100 * MS, 100 * MS, 0, ADMIT_QUEUED },
  { 100 * MS, 100 * MS, 100 * SEC, ADMIT_REFUSED },
};

/* Guards against refusing short work behind long work, as if each item needed
   a freed slot of its own, and against queueing behind work that hangs,
   because nothing ends that would change the mean.  */
START_TEST (test_expected_wait)
{
  struct admit *adm = create (&admit_fair, 4);
  struct admit_item items[16];
  struct admit_kind_limits lim = limits (ADMIT_URGENT, 0, 20);
  lim.queue_deadline_us = SEC;
  set_kind (adm, 0, limits (ADMIT_BACKGROUND, 0, 9));
  set_kind (adm, 1, lim);
  int64_t now = teach (adm, 0, 0, waits[_i].running_us);
  now = teach (adm, 1, now, waits[_i].own_us);
  for (int n = 0; n < 4; n++)
    ck_assert_int_eq (offer (adm, &items[n], 0, now), ADMIT_START);
  for (int n = 4; n < 16; n++)
    ck_assert_int_eq (offer (adm, &items[n], 1, now + waits[_i].later_us),
                      waits[_i].result);
  talloc_free (adm);
}
END_TEST

/* Guards against urgent work that waits behind a background backlog, and
   against background work or a long-running kind in the reserve.  */
START_TEST (test_urgent_after_background)
{
  struct admit *adm = create (&admit_fair, 40);
  struct admit_item back[200];
  struct admit_item urgent[10];
  set_kind (adm, 0, limits (ADMIT_BACKGROUND, 0, 200));
  set_kind (adm, 1, limits (ADMIT_URGENT, 0, 10));
  int64_t now = teach (adm, 0, 0, 100 * MS);
  int started = 0;
  for (int n = 0; n < 200; n++)
    started += offer (adm, &back[n], 0, now) == ADMIT_START;
  ck_assert_int_eq (started, 38);
  for (int n = 0; n < 10; n++)
    ck_assert_int_eq (offer (adm, &urgent[n], 1, now),
                      n < 2 ? ADMIT_START : ADMIT_QUEUED);
  for (int n = 2; n < 10; n++)
    {
      admit_end (adm, &back[n], now + n, n);
      ck_assert_ptr_eq (admit_next (adm, 0, now + n), &urgent[n]);
    }
  talloc_free (adm);
}
END_TEST

static const struct
{
  uint32_t urgent, normal, first;
} orders[] = {
  { 3, 1, ADMIT_URGENT }, { 4, 1, ADMIT_NORMAL }, { 4, 4, ADMIT_URGENT },
  { 6, 4, ADMIT_URGENT }, { 7, 3, ADMIT_NORMAL },
};

/* Guards against other work that starts before urgent work below its share,
   and against urgent work above it that takes the share of another kind.  The
   three kinds have a share of four slots each.  */
START_TEST (test_urgent_order)
{
  struct admit *adm = create (&admit_fair, 12);
  struct admit_item items[14];
  for (int k = ADMIT_URGENT; k <= ADMIT_BACKGROUND; k++)
    set_kind (adm, k, limits ((enum admit_class)k, 0, 2));
  uint32_t others = orders[_i].urgent + orders[_i].normal;
  for (uint32_t n = 0; n < 12; n++)
    offer (adm, &items[n], (n >= orders[_i].urgent) + (n >= others), 0);
  offer (adm, &items[12], ADMIT_URGENT, 0);
  offer (adm, &items[13], ADMIT_NORMAL, 0);
  admit_end (adm, &items[11], 1, 1);
  ck_assert_ptr_eq (admit_next (adm, 0, 1), &items[12 + orders[_i].first]);
  talloc_free (adm);
}
END_TEST

static unsigned seed;

/* Unlike ck_assert, cheap enough for every step.  */
#define REQUIRE(cond)                                                         \
  do                                                                          \
    if (!(cond))                                                              \
      ck_abort_msg ("seed %u: %s", seed, #cond);                              \
  while (0)

/* Drives a pool in steps of 1 ms.  Each kind has its own random stream, so
   that it makes the same requests whatever the others do.  */
#define KINDS_MAX 5
#define SLOTS_MAX 64

struct request
{
  struct admit_item item; /* first: an item is its request */
  int64_t held_us, end_us;
  bool waiting;
};

struct load
{
  struct admit *adm;
  uint32_t slots, kinds;
  struct admit_kind_limits lim[KINDS_MAX];
  double per_step[KINDS_MAX]; /* arrivals */
  int64_t held_us[KINDS_MAX]; /* mean slot time */
  unsigned short rand[KINDS_MAX + 1][3];
  int64_t now_us;
  struct request *running[SLOTS_MAX];
  struct request *last; /* offered */
  uint32_t busy;
  bool random_deadlines;
  double held[KINDS_MAX];             /* slot us */
  uint64_t offered, started, refused; /* or cancelled */
};

static struct load *
load_create (const struct admit_driver *drv, uint32_t slots, unsigned with)
{
  seed = with;
  struct load *ld = talloc_zero (NULL, struct load);
  ld->adm = talloc_steal (ld, create (drv, slots));
  ld->slots = slots;
  for (int k = 0; k <= KINDS_MAX; k++)
    {
      ld->rand[k][0] = seed;
      ld->rand[k][1] = k;
    }
  return ld;
}

/* Adds a kind that demands SLOTS on average.  */
static void
load_kind (struct load *ld, double slots, int64_t held_us,
           struct admit_kind_limits lim)
{
  uint32_t kind = ld->kinds++;
  ld->lim[kind] = lim;
  ld->held_us[kind] = held_us;
  ld->per_step[kind] = slots * MS / held_us;
  set_kind (ld->adm, kind, lim);
}

static void
load_start (struct load *ld, struct admit_item *item)
{
  struct request *q = (struct request *)item;
  REQUIRE (q->waiting);
  q->waiting = false;
  q->end_us = ld->now_us + q->held_us;
  REQUIRE (ld->now_us <= item->deadline_us);
  REQUIRE (ld->busy < ld->slots);
  ld->running[ld->busy++] = q;
  ld->started++;
}

static void
load_drain (struct load *ld)
{
  struct admit_item *item;
  while ((item = admit_next (ld->adm, 0, ld->now_us)))
    load_start (ld, item);
}

static void
load_refuse (struct load *ld, struct request *q)
{
  REQUIRE (q->waiting);
  ld->refused++;
  ld->last = q == ld->last ? NULL : ld->last;
  talloc_free (q);
}

static void
load_arrive (struct load *ld, uint32_t k)
{
  struct request *q = talloc_zero (ld, struct request);
  q->held_us
      = (int64_t)ceil (-log (1 - erand48 (ld->rand[k])) * ld->held_us[k]);
  q->waiting = true;
  ld->offered++;
  ld->last = q;
  q->item.kind = k;
  q->item.deadline_us = ld->now_us + 3600 * SEC;
  if (ld->random_deadlines)
    q->item.deadline_us = ld->now_us + nrand48 (ld->rand[k]) % (2 * SEC);
  struct admit_refusal ref;
  int res = admit_offer (ld->adm, &q->item, ld->now_us, &ref);
  if (res == ADMIT_START)
    load_start (ld, &q->item);
  else if (res == ADMIT_REFUSED)
    load_refuse (ld, q);
}

/* A kind below its limits waits only while at most the reserve is free.  */
static void
load_check (struct load *ld)
{
  uint32_t queued = 0;
  bool slots_idle = ld->slots - ld->busy > ld->slots / 20;
  for (uint32_t k = 0; k < ld->kinds; k++)
    {
      struct admit_kind_stats st;
      admit_kind_stats (ld->adm, k, &st);
      uint32_t limit = ld->lim[k].concurrency_limit;
      REQUIRE (limit == 0 || st.running <= limit);
      REQUIRE (st.queued <= ld->lim[k].queue_limit);
      REQUIRE (st.queued == 0 || (limit > 0 && st.running == limit)
               || !slots_idle || ld->adm->policy != &admit_fair);
      ld->held[k] += (double)st.running * MS;
      queued += st.queued;
    }
  REQUIRE (ld->offered == ld->started + ld->refused + queued);
}

static void
load_step (struct load *ld)
{
  ld->now_us += MS;
  for (uint32_t n = 0; n < ld->busy; n++)
    if (ld->running[n]->end_us <= ld->now_us)
      {
        struct request *q = ld->running[n];
        ld->running[n--] = ld->running[--ld->busy];
        admit_end (ld->adm, &q->item, ld->now_us, q->held_us);
        ld->last = q == ld->last ? NULL : ld->last;
        talloc_free (q);
        load_drain (ld);
      }
  struct admit_refusal ref;
  struct admit_item *item;
  while ((item = admit_expire (ld->adm, ld->now_us, &ref)))
    load_refuse (ld, (struct request *)item);
  for (uint32_t k = 0; k < ld->kinds; k++)
    {
      double left = ld->per_step[k];
      for (; left >= 1 || erand48 (ld->rand[k]) < left; left--)
        load_arrive (ld, k);
    }
  load_check (ld);
}

static void
load_run (struct load *ld, int64_t for_us)
{
  int64_t until_us = ld->now_us + for_us;
  while (ld->now_us < until_us)
    load_step (ld);
}

/* Guards against lost, doubled and stuck items and against broken limits while
   slots and limits change, callers leave and the owner pauses.  */
START_TEST (test_random_operations)
{
  const struct admit_driver *drv = _i % 2 ? &admit_fair : &admit_static_split;
  struct load *ld = load_create (drv, 8, 100 + _i);
  ld->random_deadlines = true;
  load_kind (ld, 3, 20 * MS, limits (ADMIT_URGENT, 0, 20));
  load_kind (ld, 4, 200 * MS, limits (ADMIT_NORMAL, 6, 20));
  load_kind (ld, 4, 2 * SEC, limits (ADMIT_NORMAL, 4, 10));
  load_kind (ld, 4, 300 * MS, limits (ADMIT_BACKGROUND, 0, 30));
  unsigned short *rand = ld->rand[KINDS_MAX];
  for (int n = 0; n < 4000; n++)
    {
      load_step (ld);
      if (ld->last && ld->last->waiting && nrand48 (rand) % 4 == 0)
        {
          admit_cancel (ld->adm, &ld->last->item);
          load_refuse (ld, ld->last);
        }
      if (n % 50 == 0 && nrand48 (rand) % 2)
        ld->now_us += nrand48 (rand) % (3 * SEC);
      if (n % 50 == 25)
        {
          ld->slots = ld->busy + nrand48 (rand) % 9;
          admit_set_pool (ld->adm, 0, ld->slots);
          ld->lim[0].queue_deadline_us = nrand48 (rand) % SEC;
          set_kind (ld->adm, 0, ld->lim[0]);
          load_drain (ld);
        }
    }
  memset (ld->per_step, 0, sizeof ld->per_step);
  admit_set_pool (ld->adm, 0, ld->slots = 8);
  load_drain (ld);
  load_run (ld, 60 * SEC);
  ck_assert_uint_eq (ld->busy, 0);
  ck_assert_uint_eq (ld->offered, ld->started + ld->refused);
  ck_assert_uint_gt (ld->started, 200);
  ck_assert_int_eq (admit_next_expiry_us (ld->adm), INT64_MAX);
  talloc_free (ld);
}
END_TEST

static const struct
{
  uint32_t slots, weights[2];
  int64_t held_us[2];
} rivals[] = {
  { 10, { 1, 1 }, { 20 * MS, 20 * MS } },
  { 10, { 1, 1 }, { 10 * MS, 2 * SEC } },
  { 10, { 3, 1 }, { 50 * MS, 500 * MS } },
  { 1, { 1, 1 }, { 10 * MS, 1 * SEC } },
  { 2, { 3, 1 }, { 50 * MS, 50 * MS } },
  { 50, { 10, 1 }, { 100 * MS, 30 * MS } },
};

/* Guards against sharing by number of requests instead of slot time, and
   against rounding that favours a kind where slots are few.  */
START_TEST (test_fair_shares)
{
  struct load *ld = load_create (&admit_fair, rivals[_i].slots, 200 + _i);
  for (int k = 0; k < 2; k++)
    {
      struct admit_kind_limits lim = limits (ADMIT_NORMAL, 0, 500);
      lim.weight = rivals[_i].weights[k];
      lim.queue_deadline_us = 3600 * SEC;
      load_kind (ld, 2 * rivals[_i].slots, rivals[_i].held_us[k], lim);
    }
  load_run (ld, 5 * SEC);
  memset (ld->held, 0, sizeof ld->held);
  load_run (ld, 60 * SEC);
  double due = (double)rivals[_i].weights[0]
               / (rivals[_i].weights[0] + rivals[_i].weights[1]);
  double got = ld->held[0] / (ld->held[0] + ld->held[1]);
  ck_assert_msg (fabs (got - due) < 0.02, "seed %u: got %f of %f", seed, got,
                 due);
  talloc_free (ld);
}
END_TEST

/* Guards against a burst of a kind that was idle, or that long-running work
   kept from its slots, beyond its share and one slot for rounding.  */
START_TEST (test_no_credit_for_waiting)
{
  struct load *ld = load_create (&admit_fair, 10, 300);
  int64_t held_us = _i ? 5 * SEC : 20 * MS;
  load_kind (ld, 20, held_us, limits (ADMIT_NORMAL, 0, 500));
  load_kind (ld, 0, 20 * MS, limits (ADMIT_NORMAL, 0, 500));
  load_run (ld, 60 * SEC);
  ld->per_step[1] = 1;
  for (int n = 0; n < 20000; n++)
    {
      load_step (ld);
      struct admit_kind_stats st;
      admit_kind_stats (ld->adm, 1, &st);
      REQUIRE (st.running <= 6);
    }
  talloc_free (ld);
}
END_TEST

/* Guards against a surge of one kind that takes service from the others at
   their mean: they lose at most 1% of what they ask for during it.  What is
   idle is checked in each step.  */
START_TEST (test_surge)
{
  struct load *ld = load_create (&admit_fair, 40, 400);
  load_kind (ld, 6, 20 * MS, limits (ADMIT_URGENT, 0, 700));
  load_kind (ld, 6, 100 * MS, limits (ADMIT_NORMAL, 0, 700));
  load_kind (ld, 6, 250 * MS, limits (ADMIT_NORMAL, 0, 700));
  load_kind (ld, 6, 1500 * MS, limits (ADMIT_NORMAL, 20, 700));
  load_kind (ld, 6, 500 * MS, limits (ADMIT_BACKGROUND, 0, 700));
  load_run (ld, 4 * SEC);
  ld->per_step[_i] *= 5;
  load_run (ld, 4 * SEC);
  ld->per_step[_i] /= 5;
  load_run (ld, 12 * SEC);
  for (int k = 0; k < KINDS_MAX; k++)
    {
      struct admit_kind_stats st;
      admit_kind_stats (ld->adm, k, &st);
      double asked = ld->per_step[k] * 4 * SEC / MS;
      ck_assert_msg (k == _i || st.refused <= 0.01 * asked,
                     "seed %u: kind %d lost %u of %.0f", seed, k,
                     (unsigned)st.refused, asked);
    }
  talloc_free (ld);
}
END_TEST

#define COUNT(table) ((int)(sizeof (table) / sizeof *(table)))

int
main (void)
{
  Suite *suite = suite_create ("admit");
  TCase *tc = tcase_create ("admit");
  tcase_set_timeout (tc, 100);
  tcase_add_loop_test (tc, test_limits, 0, COUNT (table_rows));
  tcase_add_loop_test (tc, test_offers, 0, COUNT (offers));
  tcase_add_test (tc, test_expiry);
  tcase_add_test (tc, test_changes);
  tcase_add_loop_test (tc, test_expected_wait, 0, COUNT (waits));
  tcase_add_test (tc, test_urgent_after_background);
  tcase_add_loop_test (tc, test_urgent_order, 0, COUNT (orders));
  tcase_add_loop_test (tc, test_random_operations, 0, 10);
  tcase_add_loop_test (tc, test_fair_shares, 0, COUNT (rivals));
  tcase_add_loop_test (tc, test_no_credit_for_waiting, 0, 2);
  tcase_add_loop_test (tc, test_surge, 0, KINDS_MAX);
  suite_add_tcase (suite, tc);
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_NORMAL);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed != 0;
}
