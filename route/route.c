#include <stdlib.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/err.h"
#include "route/route_priv.h"

/* Choice of a target: compares a few random samples of the targets that take
   work, first by fitness and then by load.  docs/design/routing.md has the
   reasons.  */

/* After a refusal a target counts as full for this time.  Each further refusal
   in a row doubles the time, up to REFUSAL_DOUBLINGS_MAX doublings.  */
#define REFUSAL_BASE_US 50000
#define REFUSAL_DOUBLINGS_MAX 4

/* The load of a target is multiplied by 1 + FAILURE_WEIGHT * failure ratio.
   Without this a target whose attempts fail at once would have few in flight
   and would therefore get more work than the others.  */
#define FAILURE_WEIGHT 8

/* Validity of the number of slots in use that a target reported.  */
#define REPORT_TTL_US 200000

const struct route_settings route_settings_default = {
  .candidates = ROUTE_CANDIDATES,
  .eject_consecutive_failures = 5,
  .eject_failure_pct = 50,
  .max_ejected_pct = 33,
  .eject_base_us = 1000000,
  .eject_max_us = 10000000,
  .slow_start_us = 5000000,
  .peer_load_ttl_us = 2000000,
  .seed = 1,
};

/* How well a target suits the request, best first.  */
enum fitness
{
  FIT_GOOD,
  FIT_SAME_RACK, /* in the rack of a target that was tried before */
  FIT_FAILING,   /* chosen only when no healthy target was found */
  FIT_FULL,      /* its usable slots are taken */
  FIT_TRIED,     /* tried before for this request; never chosen */
};

/* Properties of a target that a choice compares.  */
struct evaluation
{
  struct target *target;
  enum fitness fitness;
  uint32_t in_flight;          /* of this process and others */
  uint32_t slots;              /* usable now */
  uint32_t failures_per_mille; /* of the recent attempts */
};

/* State of one choice.  */
struct search
{
  const struct route_query *query;
  int64_t now_us;
  struct evaluation best; /* best target so far; its target is NULL at first */
  uint32_t good_count;    /* targets found with FIT_GOOD */
  bool healthy_target_full; /* found a healthy target that is full */
  struct route_choice *out;
};

uint32_t
route_random_below (struct priv *p, uint32_t n)
{
  return (uint32_t)((uint64_t)nrand48 (p->rng) * n >> 31);
}

static bool
was_tried (const struct route_query *query, const struct target *t)
{
  for (uint32_t n = 0; n < query->avoid_count; n++)
    if (query->avoid[n].index == t->handle.index
        && query->avoid[n].generation == t->handle.generation)
      return true;
  return false;
}

static bool
rack_was_tried (const struct priv *p, const struct route_query *query,
                const struct target *t)
{
  for (uint32_t n = 0; t->rack_digest != 0 && n < query->avoid_count; n++)
    {
      const struct target *tried = target_get (p, query->avoid[n]);
      if (tried && tried->rack_digest == t->rack_digest)
        return true;
    }
  return false;
}

static struct evaluation
evaluate (const struct priv *p, const struct search *s, struct target *t)
{
  struct evaluation eval = {
    .target = t,
    .in_flight = target_in_flight (p, t, s->now_us),
    .slots = health_usable_slots (p, t, s->now_us),
    .failures_per_mille = health_failures_per_mille (t, s->now_us),
  };
  bool suspect = health_is_suspect (t);
  if (was_tried (s->query, t))
    eval.fitness = FIT_TRIED;
  else if (eval.in_flight >= t->info.slots)
    eval.fitness = FIT_FULL;
  else if (t->health.ejected || health_is_backing_off (t, s->now_us)
           || (suspect && eval.in_flight >= eval.slots))
    eval.fitness = FIT_FAILING;
  else if (eval.in_flight >= eval.slots)
    eval.fitness = FIT_FULL;
  else if (rack_was_tried (p, s->query, t))
    eval.fitness = FIT_SAME_RACK;
  return eval;
}

/* Attempts in flight with the new one, weighted by the failure ratio.  */
static uint64_t
weighted_load (const struct evaluation *eval)
{
  return (uint64_t)(eval->in_flight + 1)
         * (1000 + (uint64_t)eval->failures_per_mille * FAILURE_WEIGHT);
}

/* Whether A suits the request better than B.  */
static bool
is_better (const struct evaluation *a, const struct evaluation *b)
{
  if (a->fitness != b->fitness)
    return a->fitness < b->fitness;
  if (a->fitness == FIT_FAILING
      && a->failures_per_mille != b->failures_per_mille)
    return a->failures_per_mille < b->failures_per_mille;
  return weighted_load (a) * b->slots < weighted_load (b) * a->slots;
}

static void
add_candidate (struct route_choice *out, const struct evaluation *eval)
{
  if (out->candidate_count == ROUTE_CANDIDATES)
    return;
  out->candidates[out->candidate_count++] = (struct route_candidate){
    eval->target->handle,
    eval->in_flight,
    eval->slots,
  };
}

static void
consider_target (const struct priv *p, struct search *s, struct target *t)
{
  struct evaluation eval = evaluate (p, s, t);
  add_candidate (s->out, &eval);
  s->good_count += eval.fitness == FIT_GOOD;
  if (eval.fitness == FIT_FULL && !health_is_suspect (t))
    s->healthy_target_full = true;
  if (!s->best.target || is_better (&eval, &s->best))
    s->best = eval;
}

/* Chooses the best target and ensures that it is among the candidates that are
   logged with it.  */
static void
set_choice (struct search *s)
{
  struct route_choice *out = s->out;
  out->target = s->best.target->handle;
  for (uint32_t n = 0; n < out->candidate_count; n++)
    if (out->candidates[n].target.index == out->target.index)
      return;
  if (out->candidate_count == ROUTE_CANDIDATES)
    out->candidate_count--;
  add_candidate (out, &s->best);
}

/* Targets of a group that a choice is made from: those that take work, or all
   when all are ejected.  */
struct range
{
  const uint32_t *indexes;
  uint32_t count;
};

static struct range
choice_range (const struct priv *p, const struct route_query *query)
{
  const struct group *grp = group_find (p, query->pool, query->data_centre);
  if (!grp)
    return (struct range){ 0 };
  return (struct range){ grp->indexes, grp->available_count
                                           ? grp->available_count
                                           : grp->target_count };
}

/* Considers SAMPLES different random targets of RANGE.  */
static void
sample (struct priv *p, struct search *s, struct range range, uint32_t samples)
{
  uint32_t seen[ROUTE_CANDIDATES];
  if (samples > range.count)
    samples = range.count;
  for (uint32_t count = 0; count < samples; count++)
    {
      /* Floyd's algorithm: distinct positions with one random number each.  */
      uint32_t top = range.count - samples + count;
      uint32_t pos = route_random_below (p, top + 1);
      for (uint32_t n = 0; n < count; n++)
        if (seen[n] == pos)
          pos = top;
      seen[count] = pos;
      consider_target (p, s, p->targets[range.indexes[pos]]);
    }
}

/* Considers up to SCAN_MAX consecutive targets from a random position on,
   until SAMPLES good ones are found.  */
static void
scan (struct priv *p, struct search *s, struct range range, uint32_t samples)
{
  uint32_t limit = range.count < SCAN_MAX ? range.count : SCAN_MAX;
  uint32_t start = route_random_below (p, range.count);
  for (uint32_t n = 0; n < limit && s->good_count < samples; n++)
    consider_target (p, s,
                     p->targets[range.indexes[(start + n) % range.count]]);
}

static int
pick_least_loaded (struct route *rt, const struct route_query *query,
                   int64_t now_us, struct route_choice *out)
{
  struct priv *p = rt->priv;
  struct range range = choice_range (p, query);
  if (range.count == 0)
    return ERR_UNAVAILABLE;
  struct search s = { .query = query, .now_us = now_us, .out = out };
  uint32_t samples = p->settings.candidates;
  sample (p, &s, range, samples);
  if (s.best.fitness != FIT_GOOD)
    scan (p, &s, range, samples);
  if (s.best.fitness == FIT_TRIED)
    return ERR_UNAVAILABLE;
  /* While healthy targets are full, the request waits for one of them instead
     of using a failing one.  */
  if (s.best.fitness == FIT_FULL
      || (s.best.fitness == FIT_FAILING && s.healthy_target_full))
    return ERR_FULL;
  set_choice (&s);
  return 0;
}

static int
pick_random (struct route *rt, const struct route_query *query, int64_t now_us,
             struct route_choice *out)
{
  struct priv *p = rt->priv;
  struct range range = choice_range (p, query);
  uint32_t limit = range.count < SCAN_MAX ? range.count : SCAN_MAX;
  uint32_t start = range.count ? route_random_below (p, range.count) : 0;
  struct search s = { .query = query, .now_us = now_us, .out = out };
  for (uint32_t n = 0; n < limit; n++)
    {
      struct target *t = p->targets[range.indexes[(start + n) % range.count]];
      if (was_tried (query, t))
        continue;
      s.best = evaluate (p, &s, t);
      set_choice (&s);
      return 0;
    }
  return ERR_UNAVAILABLE;
}

const struct route_policy route_least_loaded = {
  .name = "least_loaded",
  .pick = pick_least_loaded,
};

/* Uniform choice among the targets that are not ejected, at any load.  */
const struct route_policy route_random = {
  .name = "random",
  .pick = pick_random,
};

static bool
settings_are_valid (const struct route_settings *set)
{
  return set->candidates >= 1 && set->candidates <= ROUTE_CANDIDATES
         && set->eject_consecutive_failures >= 1 && set->eject_failure_pct >= 1
         && set->eject_failure_pct <= 100 && set->max_ejected_pct <= 100
         && set->eject_base_us >= 1 && set->eject_max_us >= set->eject_base_us
         && set->eject_max_us <= INT64_MAX / 4 && set->slow_start_us >= 0
         && set->peer_load_ttl_us >= 0;
}

int
route_init (struct route *rt, void *parent, const struct route_policy *policy,
            const struct route_settings *set)
{
  *rt = (struct route){ .policy = policy };
  if (!settings_are_valid (set))
    return ERR_INVALID;
  rt->priv = talloc_zero (parent, struct priv);
  if (!rt->priv)
    return ERR_NOMEM;
  struct priv *p = rt->priv;
  p->settings = *set;
  p->last_call_us = INT64_MIN;
  p->pause_end_us = INT64_MIN;
  uint64_t mixed = XXH3_64bits (&set->seed, sizeof set->seed);
  for (int n = 0; n < 3; n++)
    p->rng[n] = (unsigned short)(mixed >> (16 * n));
  return 0;
}

void
route_fini (struct route *rt)
{
  talloc_free (rt->priv);
  rt->priv = NULL;
}

int
route_pick (struct route *rt, const struct route_query *query, int64_t now_us,
            struct route_choice *out)
{
  *out = (struct route_choice){ 0 };
  if (query->avoid_count > ROUTE_AVOID_MAX || !query->data_centre)
    return ERR_INVALID;
  health_detect_pause (rt->priv, now_us);
  return rt->policy->pick (rt, query, now_us, out);
}

void
route_attempt_begin (struct route *rt, struct target_handle tgt,
                     int64_t now_us)
{
  struct priv *p = rt->priv;
  struct target *t = target_get (p, tgt);
  health_detect_pause (p, now_us);
  if (!t)
    return;
  t->own_in_flight++;
  target_queue_change (p, t);
}

/* Updates the load of a target from the result of an attempt.  OWN: attempts
   of this process on the target, this one included.  */
static void
update_load (struct target *t, enum attempt_result result, uint32_t own,
             int32_t slots_in_use, int64_t now_us)
{
  if (slots_in_use >= 0)
    {
      uint32_t used = (uint32_t)slots_in_use;
      t->reported_other_slots = used > own ? used - own : 0;
      t->report_valid_until_us = now_us + REPORT_TTL_US;
    }
  if (result != ATTEMPT_TARGET_REFUSED)
    {
      if (result == ATTEMPT_ANSWERED)
        t->consecutive_refusals = 0;
      return;
    }
  t->full_until_us = now_us + (REFUSAL_BASE_US << t->consecutive_refusals);
  if (t->consecutive_refusals < REFUSAL_DOUBLINGS_MAX)
    t->consecutive_refusals++;
}

void
route_attempt_end (struct route *rt, struct target_handle tgt,
                   enum attempt_result result, int64_t latency_us,
                   int32_t slots_in_use, int64_t now_us)
{
  struct priv *p = rt->priv;
  struct target *t = target_get (p, tgt);
  health_detect_pause (p, now_us);
  if (!t || t->own_in_flight == 0)
    return;
  update_load (t, result, t->own_in_flight, slots_in_use, now_us);
  t->own_in_flight--;
  target_queue_change (p, t);
  health_record_result (p, t, result, latency_us, now_us);
  target_free_if_unused (p, t);
}

const char *
attempt_result_name (enum attempt_result result)
{
  static const char *const names[] = {
    [ATTEMPT_ANSWERED] = "answered",
    [ATTEMPT_SERVER_ERROR] = "server_error",
    [ATTEMPT_TARGET_REFUSED] = "guard_refused",
    [ATTEMPT_CONNECT_FAILED] = "connect_failed",
    [ATTEMPT_NO_VALID_ANSWER] = "cut",
    [ATTEMPT_TIMEOUT] = "timeout",
    [ATTEMPT_CANCELLED] = "cancelled",
  };
  return names[result];
}

const char *
target_state_name (enum target_state state)
{
  static const char *const names[] = {
    [TARGET_LIVE] = "live",
    [TARGET_SLOW_START] = "slow_start",
    [TARGET_EJECTED] = "ejected",
    [TARGET_LEAVING] = "leaving",
  };
  return names[state];
}
