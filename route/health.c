#include "route/route_priv.h"

/* Passive health checking: derives the health of a target from the results of
   its attempts and probes, ejects failing targets and reinstates them.  */

/* Minimum number of attempts in the window for the failure ratio to count.  */
#define RATIO_ATTEMPTS_MIN 10

/* A target whose last result was a failure gets one attempt at a time.  From
   the second failure in a row on, and after any on probation, the next attempt
   waits for a backoff that doubles from BACKOFF_BASE_US to BACKOFF_MAX_US.  */
#define BACKOFF_BASE_US 50000
#define BACKOFF_MAX_US 1000000

/* The owner calls route_next_probe every 100 ms.  A much longer gap between
   calls means that this process was paused, and that attempts that were open
   during the pause failed because of it and not because of their targets.  */
#define PAUSE_MIN_US 300000

/* When no more targets may be ejected, a failing target replaces an ejected
   one if its severity exceeds that of the ejected one by more than this.  */
#define SEVERITY_MARGIN_PER_MILLE 100

/* Minimum time between the probes of a target that is not ejected.  */
#define PROBE_INTERVAL_US 500000

void
health_detect_pause (struct priv *p, int64_t now_us)
{
  if (p->last_call_us != INT64_MIN && now_us - p->last_call_us > PAUSE_MIN_US)
    p->pause_end_us = now_us;
  if (now_us > p->last_call_us)
    p->last_call_us = now_us;
}

/* The bucket of NOW_US; clears the ones that it reuses.  */
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
  return t->health.consecutive_failures > 0 || t->health.probation;
}

bool
health_is_backing_off (const struct target *t, int64_t now_us)
{
  return health_is_suspect (t) && now_us < t->health.backoff_until_us;
}

uint32_t
health_usable_slots (const struct priv *p, const struct target *t,
                     int64_t now_us)
{
  uint32_t slots = t->info.slots;
  if (slots > 1 && health_is_suspect (t))
    return 1;
  int64_t elapsed = now_us - t->health.slow_start_begin_us;
  if (!t->health.slow_start || elapsed >= p->settings.slow_start_us)
    return slots;
  if (elapsed < 0)
    elapsed = 0;
  uint32_t grown = (uint32_t)(slots * elapsed / p->settings.slow_start_us);
  return grown > 0 || slots == 0 ? grown : 1;
}

void
health_begin_slow_start (struct target *t, int64_t now_us)
{
  t->health.slow_start = true;
  t->health.slow_start_begin_us = now_us;
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

/* Severity of a target's failures, per mille, to compare failing targets.
   After enough failures in a row the older answers in the window do not
   count.  */
static uint32_t
failure_severity (const struct priv *p, const struct target *t, int64_t now_us)
{
  if (t->health.consecutive_failures >= p->settings.eject_consecutive_failures)
    return 1000;
  return health_failures_per_mille (t, now_us);
}

static int64_t
ejection_duration_us (const struct priv *p, const struct health *h)
{
  int64_t time = p->settings.eject_base_us;
  for (uint32_t n = 1;
       n < h->ejection_count && time < p->settings.eject_max_us; n++)
    time *= 2;
  return time < p->settings.eject_max_us ? time : p->settings.eject_max_us;
}

/* Maximum number of ejected targets in the group.  Adding one before rounding
   down allows, at 33 %, one of three targets and none of two.  */
static uint32_t
ejection_cap (const struct priv *p, const struct group *grp)
{
  uint64_t cap
      = ((uint64_t)grp->target_count + 1) * p->settings.max_ejected_pct / 100;
  return cap < grp->target_count ? (uint32_t)cap : grp->target_count;
}

static void
eject (struct priv *p, struct target *t, int64_t now_us)
{
  struct health *h = &t->health;
  if (!h->probation
      && now_us - h->slow_start_begin_us > 2 * p->settings.eject_max_us)
    h->ejection_count = 0;
  h->ejected = true;
  h->ejection_count++;
  h->severity = failure_severity (p, t, now_us);
  group_set_ejected (p, t, true);
  health_schedule_probe (p, t, now_us + ejection_duration_us (p, h));
}

/* Reinstates an ejected target on probation: it gets one attempt at a time
   until it answers one, then slow start.  */
static void
reinstate (struct priv *p, struct target *t, int64_t now_us)
{
  struct health *h = &t->health;
  h->ejected = false;
  h->probation = true;
  h->consecutive_failures = 0;
  h->backoff_until_us = now_us;
  health_cancel_probe (p, t);
  health_begin_slow_start (t, now_us);
  group_set_ejected (p, t, false);
}

static struct target *
least_severe_ejected (struct priv *p, const struct group *grp)
{
  struct target *best = NULL;
  uint32_t ejected = grp->target_count - grp->available_count;
  uint32_t limit = ejected < SCAN_MAX ? ejected : SCAN_MAX;
  uint32_t start = ejected > limit ? route_random_below (p, ejected) : 0;
  for (uint32_t n = 0; n < limit; n++)
    {
      uint32_t pos = grp->available_count + (start + n) % ejected;
      struct target *t = p->targets[grp->indexes[pos]];
      if (!best || t->health.severity < best->health.severity)
        best = t;
    }
  return best;
}

/* Ejects a failing target.  When no more targets may be ejected, it replaces
   the ejected target of least severity if its own severity is clearly
   higher.  */
static void
try_eject (struct priv *p, struct target *t, int64_t now_us)
{
  struct group *grp = t->group;
  if (!grp || t->health.ejected)
    return;
  if (grp->target_count - grp->available_count < ejection_cap (p, grp))
    {
      eject (p, t, now_us);
      return;
    }
  struct target *least = least_severe_ejected (p, grp);
  if (!least
      || failure_severity (p, t, now_us)
             <= least->health.severity + SEVERITY_MARGIN_PER_MILLE)
    return;
  reinstate (p, least, now_us);
  eject (p, t, now_us);
}

void
health_enforce_cap (struct priv *p, struct group *grp, int64_t now_us)
{
  while (grp->target_count - grp->available_count > ejection_cap (p, grp))
    reinstate (p, least_severe_ejected (p, grp), now_us);
}

static void
record_failure (struct priv *p, struct target *t, int64_t now_us)
{
  struct health *h = &t->health;
  struct health_bucket *bucket = current_bucket (h, now_us);
  bucket->attempts++;
  bucket->failures++;
  h->consecutive_failures++;
  if (h->consecutive_failures > 1 || h->probation)
    {
      int64_t wait = BACKOFF_BASE_US;
      for (uint32_t n = 2;
           n < h->consecutive_failures && wait < BACKOFF_MAX_US; n++)
        wait *= 2;
      wait = wait < BACKOFF_MAX_US ? wait : BACKOFF_MAX_US;
      h->backoff_until_us = now_us + wait;
    }
  struct health_bucket sum = window_sum (h, now_us);
  bool ratio
      = sum.attempts >= RATIO_ATTEMPTS_MIN
        && (uint64_t)sum.failures * 100
               >= (uint64_t)sum.attempts * p->settings.eject_failure_pct;
  if (h->probation || ratio
      || h->consecutive_failures >= p->settings.eject_consecutive_failures)
    try_eject (p, t, now_us);
}

/* Whether a larger part of the group is failing than may be ejected.  Such a
   failure has a common cause, and once that is gone the pool needs all its
   slots at once, without slow start.  */
static bool
pool_is_failing (struct priv *p, const struct group *grp)
{
  uint32_t limit = grp->target_count < SCAN_MAX ? grp->target_count : SCAN_MAX;
  uint32_t start = grp->target_count > limit
                       ? route_random_below (p, grp->target_count)
                       : 0;
  uint32_t failing = 0;
  for (uint32_t n = 0; n < limit; n++)
    {
      const struct target *t
          = p->targets[grp->indexes[(start + n) % grp->target_count]];
      failing += t->health.ejected || health_is_suspect (t);
    }
  return failing * 100 > limit * p->settings.max_ejected_pct;
}

static void
record_answer (struct priv *p, struct target *t, int64_t now_us)
{
  struct health *h = &t->health;
  current_bucket (h, now_us)->attempts++;
  if (h->ejected)
    {
      health_schedule_probe (p, t, now_us);
      return;
    }
  h->consecutive_failures = 0;
  if (h->probation)
    {
      h->probation = false;
      h->slow_start = false;
      if (!t->group || !pool_is_failing (p, t->group))
        health_begin_slow_start (t, now_us);
    }
}

void
health_record_result (struct priv *p, struct target *t,
                      enum attempt_result result, int64_t latency_us,
                      int64_t now_us)
{
  bool spans_pause = now_us - latency_us < p->pause_end_us;
  switch (result)
    {
    case ATTEMPT_ANSWERED:
      record_answer (p, t, now_us);
      break;
    case ATTEMPT_CONNECT_FAILED:
    case ATTEMPT_NO_VALID_ANSWER:
    case ATTEMPT_TIMEOUT:
      if (!spans_pause)
        record_failure (p, t, now_us);
      break;
    case ATTEMPT_SERVER_ERROR:
      record_failure (p, t, now_us);
      break;
    case ATTEMPT_TARGET_REFUSED:
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
  health_detect_pause (p, now_us);
  if (!t || !t->group || t->health.ejected == ejected)
    return;
  int64_t due = t->health.probe_begin_us + PROBE_INTERVAL_US;
  health_schedule_probe (p, t, due > now_us ? due : now_us);
}

bool
route_next_probe (struct route *rt, int64_t now_us, struct target_handle *out)
{
  struct priv *p = rt->priv;
  health_detect_pause (p, now_us);
  for (uint32_t n = 0; n < p->probe_count; n++)
    {
      uint32_t pos = (p->probe_cursor + n) % p->probe_count;
      struct target *t = p->targets[p->probes[pos]];
      if (t->health.probing || t->health.probe_due_us > now_us)
        continue;
      t->health.probing = true;
      t->health.probe_begin_us = now_us;
      p->probe_cursor = pos + 1;
      *out = t->handle;
      return true;
    }
  return false;
}

/* Handles the result of the probe of a target that was marked as leaving.  */
static void
leaving_probe_done (struct priv *p, struct target *t, bool healthy,
                    int64_t now_us)
{
  if (!healthy || t->info.leaving)
    {
      health_schedule_probe (p, t, now_us + p->settings.eject_max_us);
      return;
    }
  health_cancel_probe (p, t);
  t->marked_leaving = false;
  group_add (p, group_find (p, t->info.pool, t->info.data_centre), t);
  health_begin_slow_start (t, now_us);
}

void
route_probe_done (struct route *rt, struct target_handle tgt, bool healthy,
                  int64_t now_us)
{
  struct priv *p = rt->priv;
  struct target *t = target_get (p, tgt);
  health_detect_pause (p, now_us);
  if (!t || !t->listed || !t->health.probing)
    return;
  struct health *h = &t->health;
  bool spans_pause = h->probe_begin_us < p->pause_end_us;
  h->probing = false;
  if (!healthy && spans_pause)
    health_schedule_probe (p, t, now_us);
  else if (!t->group)
    leaving_probe_done (p, t, healthy, now_us);
  else if (h->ejected && healthy)
    reinstate (p, t, now_us);
  else if (h->ejected)
    {
      h->ejection_count++;
      health_schedule_probe (p, t, now_us + ejection_duration_us (p, h));
    }
  else if (healthy)
    health_cancel_probe (p, t);
  else
    {
      record_failure (p, t, now_us);
      if (!h->ejected)
        health_schedule_probe (p, t, now_us + PROBE_INTERVAL_US);
    }
}
