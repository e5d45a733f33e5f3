#include "route/route_priv.h"

/* Passive health checking: what the results of attempts and probes say of a
   target, and when it is ejected and taken back.  */

/* Fewer attempts than that in the window say nothing of the ratio.  */
#define RATIO_MIN_ATTEMPTS 10

/* From the second failure in a row on, a target gets one attempt at a time,
   each after a longer wait.  */
#define BACKOFF_BASE_US 50000
#define BACKOFF_MAX_US 1000000

/* The owner calls route_next_probe every 100 ms.  A longer silence means that
   the process was paused, and that attempts open meanwhile failed by its own
   fault.  */
#define PAUSE_US 300000

/* An ejected target makes place for one that fails by that much more.  */
#define BADNESS_MARGIN 100

#define PROBE_GAP_US 500000

void
health_note_time (struct priv *p, int64_t now_us)
{
  if (p->last_us != INT64_MIN && now_us - p->last_us > PAUSE_US)
    p->pause_end_us = now_us;
  if (now_us > p->last_us)
    p->last_us = now_us;
}

static struct health_bucket *
current_bucket (struct health *h, int64_t now_us)
{
  int64_t number = now_us / HEALTH_BUCKET_US;
  int64_t steps = number - h->newest_bucket;
  if (steps > HEALTH_BUCKETS)
    steps = HEALTH_BUCKETS;
  for (int64_t n = 0; n < steps; n++)
    h->buckets[(number - n) % HEALTH_BUCKETS] = (struct health_bucket){ 0 };
  if (number > h->newest_bucket)
    h->newest_bucket = number;
  return &h->buckets[h->newest_bucket % HEALTH_BUCKETS];
}

static struct health_bucket
window_sum (const struct health *h, int64_t now_us)
{
  struct health_bucket sum = { 0 };
  int64_t oldest = now_us / HEALTH_BUCKET_US - HEALTH_BUCKETS + 1;
  for (int64_t n = 0; n < HEALTH_BUCKETS && h->newest_bucket - n >= 0; n++)
    {
      if (h->newest_bucket - n < oldest)
        break;
      const struct health_bucket *b
          = &h->buckets[(h->newest_bucket - n) % HEALTH_BUCKETS];
      sum.attempts += b->attempts;
      sum.failures += b->failures;
    }
  return sum;
}

uint32_t
health_failures_per_mille (const struct target *t, int64_t now_us)
{
  struct health_bucket sum = window_sum (&t->health, now_us);
  if (sum.attempts == 0)
    return 0;
  return (uint32_t)((uint64_t)sum.failures * 1000 / sum.attempts);
}

bool
health_is_suspect (const struct target *t)
{
  return t->health.consecutive > 0 || t->health.probation;
}

bool
health_is_backing_off (const struct target *t, int64_t now_us)
{
  return health_is_suspect (t) && now_us < t->health.backoff_until_us;
}

uint32_t
health_slots (const struct priv *p, const struct target *t, int64_t now_us)
{
  uint32_t slots = t->info.slots;
  if (slots > 1 && health_is_suspect (t))
    return 1;
  int64_t elapsed = now_us - t->health.returned_us;
  if (!t->health.slow_start || elapsed >= p->set.slow_start_us)
    return slots;
  if (elapsed < 0)
    elapsed = 0;
  uint32_t grown = (uint32_t)(slots * elapsed / p->set.slow_start_us);
  return grown > 0 || slots == 0 ? grown : 1;
}

void
health_start_slowly (struct target *t, int64_t now_us)
{
  t->health.slow_start = true;
  t->health.returned_us = now_us;
}

void
health_schedule_probe (struct priv *p, struct target *t, int64_t due_us)
{
  struct health *h = &t->health;
  h->probe_due_us = due_us;
  if (h->probe_pos != NO_POSITION)
    return;
  h->probe_pos = p->probe_count;
  p->probes[p->probe_count++] = t->handle.index;
}

void
health_cancel_probe (struct priv *p, struct target *t)
{
  struct health *h = &t->health;
  h->probing = false;
  if (h->probe_pos == NO_POSITION)
    return;
  uint32_t last = p->probes[--p->probe_count];
  p->probes[h->probe_pos] = last;
  p->targets[last]->health.probe_pos = h->probe_pos;
  h->probe_pos = NO_POSITION;
}

/* How bad a target is among those that fail.  After enough failures in a row
   the older answers in the window say nothing any more.  */
static uint32_t
badness (const struct priv *p, const struct target *t, int64_t now_us)
{
  if (t->health.consecutive >= p->set.eject_after)
    return 1000;
  return health_failures_per_mille (t, now_us);
}

static int64_t
ejection_time (const struct priv *p, const struct health *h)
{
  int64_t time = p->set.eject_base_us;
  for (uint32_t n = 1; n < h->ejections && time < p->set.eject_max_us; n++)
    time *= 2;
  return time < p->set.eject_max_us ? time : p->set.eject_max_us;
}

/* A pool of two keeps both; in a pool of three one is a third.  */
static uint32_t
ejection_cap (const struct priv *p, const struct group *grp)
{
  uint64_t cap = ((uint64_t)grp->count + 1) * p->set.max_ejected_pct / 100;
  return cap < grp->count ? (uint32_t)cap : grp->count;
}

static void
eject (struct priv *p, struct target *t, int64_t now_us)
{
  struct health *h = &t->health;
  if (!h->probation && now_us - h->returned_us > 2 * p->set.eject_max_us)
    h->ejections = 0;
  h->ejected = true;
  h->ejections++;
  h->badness = badness (p, t, now_us);
  group_place (p, t, true);
  health_schedule_probe (p, t, now_us + ejection_time (p, h));
}

/* Takes an ejected target back on probation: one attempt at a time until it
   answers, then slow start.  */
static void
take_back (struct priv *p, struct target *t, int64_t now_us)
{
  struct health *h = &t->health;
  h->ejected = false;
  h->probation = true;
  h->consecutive = 0;
  h->backoff_until_us = now_us;
  health_cancel_probe (p, t);
  health_start_slowly (t, now_us);
  group_place (p, t, false);
}

static struct target *
least_bad_ejected (struct priv *p, const struct group *grp)
{
  struct target *best = NULL;
  uint32_t ejected = grp->count - grp->ready;
  uint32_t looks = ejected < SCAN_MAX ? ejected : SCAN_MAX;
  uint32_t from = ejected > looks ? route_random_below (p, ejected) : 0;
  for (uint32_t n = 0; n < looks; n++)
    {
      uint32_t pos = grp->ready + (from + n) % ejected;
      struct target *t = p->targets[grp->members[pos]];
      if (!best || t->health.badness < best->health.badness)
        best = t;
    }
  return best;
}

static void
consider_ejection (struct priv *p, struct target *t, int64_t now_us)
{
  struct group *grp = t->group;
  if (!grp || t->health.ejected)
    return;
  if (grp->count - grp->ready < ejection_cap (p, grp))
    {
      eject (p, t, now_us);
      return;
    }
  struct target *least = least_bad_ejected (p, grp);
  if (!least
      || badness (p, t, now_us) <= least->health.badness + BADNESS_MARGIN)
    return;
  take_back (p, least, now_us);
  eject (p, t, now_us);
}

void
health_enforce_cap (struct priv *p, struct group *grp, int64_t now_us)
{
  while (grp->count - grp->ready > ejection_cap (p, grp))
    take_back (p, least_bad_ejected (p, grp), now_us);
}

static void
note_failure (struct priv *p, struct target *t, int64_t now_us)
{
  struct health *h = &t->health;
  struct health_bucket *bucket = current_bucket (h, now_us);
  bucket->attempts++;
  bucket->failures++;
  h->consecutive++;
  if (h->consecutive > 1 || h->probation)
    {
      int64_t wait = BACKOFF_BASE_US;
      for (uint32_t n = 2; n < h->consecutive && wait < BACKOFF_MAX_US; n++)
        wait *= 2;
      wait = wait < BACKOFF_MAX_US ? wait : BACKOFF_MAX_US;
      h->backoff_until_us = now_us + wait;
    }
  struct health_bucket sum = window_sum (h, now_us);
  bool ratio = sum.attempts >= RATIO_MIN_ATTEMPTS
               && (uint64_t)sum.failures * 100
                      >= (uint64_t)sum.attempts * p->set.eject_failure_pct;
  if (h->probation || ratio || h->consecutive >= p->set.eject_after)
    consider_ejection (p, t, now_us);
}

/* Whether more of the pool is failing than may be ejected.  That has a common
   cause, and when it ends the pool needs all its slots at once.  */
static bool
pool_is_failing (struct priv *p, const struct group *grp)
{
  uint32_t looks = grp->count < SCAN_MAX ? grp->count : SCAN_MAX;
  uint32_t from = grp->count > looks ? route_random_below (p, grp->count) : 0;
  uint32_t failing = 0;
  for (uint32_t n = 0; n < looks; n++)
    {
      const struct target *t
          = p->targets[grp->members[(from + n) % grp->count]];
      failing += t->health.ejected || health_is_suspect (t);
    }
  return failing * 100 > looks * p->set.max_ejected_pct;
}

static void
note_answer (struct priv *p, struct target *t, int64_t now_us)
{
  struct health *h = &t->health;
  current_bucket (h, now_us)->attempts++;
  if (h->ejected)
    {
      health_schedule_probe (p, t, now_us);
      return;
    }
  h->consecutive = 0;
  if (h->probation)
    {
      h->probation = false;
      h->slow_start = false;
      if (!t->group || !pool_is_failing (p, t->group))
        health_start_slowly (t, now_us);
    }
}

void
health_result (struct priv *p, struct target *t, enum attempt_result result,
               int64_t latency_us, int64_t now_us)
{
  bool over_pause = now_us - latency_us < p->pause_end_us;
  switch (result)
    {
    case ATTEMPT_ANSWERED:
      note_answer (p, t, now_us);
      break;
    case ATTEMPT_CONNECT_FAILED:
    case ATTEMPT_CUT:
    case ATTEMPT_TIMEOUT:
      if (!over_pause)
        note_failure (p, t, now_us);
      break;
    case ATTEMPT_SERVER_ERROR:
      note_failure (p, t, now_us);
      break;
    case ATTEMPT_GUARD_REFUSED:
    case ATTEMPT_CANCELLED:
      break;
    }
}

void
route_peer_health (struct route *rt, struct target_handle tgt, bool ejected,
                   int64_t now_us)
{
  struct priv *p = rt->priv;
  struct target *t = target_get (p, tgt);
  health_note_time (p, now_us);
  if (!t || !t->group || t->health.ejected == ejected)
    return;
  int64_t due = t->health.probed_us + PROBE_GAP_US;
  health_schedule_probe (p, t, due > now_us ? due : now_us);
}

bool
route_next_probe (struct route *rt, int64_t now_us, struct target_handle *out)
{
  struct priv *p = rt->priv;
  health_note_time (p, now_us);
  for (uint32_t n = 0; n < p->probe_count; n++)
    {
      uint32_t pos = (p->probe_cursor + n) % p->probe_count;
      struct target *t = p->targets[p->probes[pos]];
      if (t->health.probing || t->health.probe_due_us > now_us)
        continue;
      t->health.probing = true;
      t->health.probed_us = now_us;
      p->probe_cursor = pos + 1;
      *out = t->handle;
      return true;
    }
  return false;
}

static void
probe_of_leaving_done (struct priv *p, struct target *t, bool healthy,
                       int64_t now_us)
{
  if (!healthy || t->info.leaving)
    {
      health_schedule_probe (p, t, now_us + p->set.eject_max_us);
      return;
    }
  health_cancel_probe (p, t);
  t->marked_leaving = false;
  group_add (p, group_find (p, t->info.pool, t->info.data_centre), t);
  health_start_slowly (t, now_us);
}

void
route_probe_done (struct route *rt, struct target_handle tgt, bool healthy,
                  int64_t now_us)
{
  struct priv *p = rt->priv;
  struct target *t = target_get (p, tgt);
  health_note_time (p, now_us);
  if (!t || !t->listed || !t->health.probing)
    return;
  struct health *h = &t->health;
  bool over_pause = h->probed_us < p->pause_end_us;
  h->probing = false;
  if (!healthy && over_pause)
    health_schedule_probe (p, t, now_us);
  else if (!t->group)
    probe_of_leaving_done (p, t, healthy, now_us);
  else if (h->ejected && healthy)
    take_back (p, t, now_us);
  else if (h->ejected)
    {
      h->ejections++;
      health_schedule_probe (p, t, now_us + ejection_time (p, h));
    }
  else if (healthy)
    health_cancel_probe (p, t);
  else
    {
      note_failure (p, t, now_us);
      if (!h->ejected)
        health_schedule_probe (p, t, now_us + PROBE_GAP_US);
    }
}
