#include <stdlib.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/err.h"
#include "route/route_priv.h"

/* Choice of a target: a few samples of the targets that take work, compared
   by fitness and then by load; docs/design/routing.md has the reasons.  */

/* After a refusal a target counts as full, doubling with each further one.  */
#define REFUSAL_BASE_US 50000
#define REFUSAL_DOUBLINGS 4

/* A target whose attempts all fail seems that much more loaded, plus one.
   Attempts that fail at once leave slots free and would draw more work.  */
#define FAILURE_WEIGHT 8

/* What a target reported of its slots holds for that long.  */
#define REPORT_TTL_US 200000

const struct route_settings route_settings_default = {
  .candidates = ROUTE_CANDIDATES,
  .eject_after = 5,
  .eject_failure_pct = 50,
  .max_ejected_pct = 33,
  .eject_base_us = 1000000,
  .eject_max_us = 10000000,
  .slow_start_us = 5000000,
  .peer_load_ttl_us = 2000000,
  .seed = 1,
};

/* Best first.  */
enum fitness
{
  FIT_GOOD,
  FIT_SAME_RACK, /* as a target that was tried before */
  FIT_FAILING,   /* only where no healthy target is left */
  FIT_FULL,
  FIT_TRIED,
};

struct look
{
  struct target *target;
  enum fitness fitness;
  uint32_t in_flight;
  uint32_t slots;
  uint32_t failures; /* per mille of the recent attempts */
};

struct search
{
  const struct route_query *query;
  int64_t now_us;
  struct look best;
  uint32_t good;
  bool healthy_full;
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
  for (uint32_t n = 0; t->rack != 0 && n < query->avoid_count; n++)
    {
      const struct target *tried = target_get (p, query->avoid[n]);
      if (tried && tried->rack == t->rack)
        return true;
    }
  return false;
}

static struct look
look_at (const struct priv *p, const struct search *s, struct target *t)
{
  struct look look = {
    .target = t,
    .in_flight = target_in_flight (p, t, s->now_us),
    .slots = health_slots (p, t, s->now_us),
    .failures = health_failures_per_mille (t, s->now_us),
  };
  bool suspect = health_is_suspect (t);
  if (was_tried (s->query, t))
    look.fitness = FIT_TRIED;
  else if (look.in_flight >= t->info.slots)
    look.fitness = FIT_FULL;
  else if (t->health.ejected || health_is_backing_off (t, s->now_us)
           || (suspect && look.in_flight >= look.slots))
    look.fitness = FIT_FAILING;
  else if (look.in_flight >= look.slots)
    look.fitness = FIT_FULL;
  else if (rack_was_tried (p, s->query, t))
    look.fitness = FIT_SAME_RACK;
  return look;
}

/* In-flight attempts, weighted by the share of attempts that fail.  */
static uint64_t
weighted_load (const struct look *look)
{
  return (uint64_t)(look->in_flight + 1)
         * (1000 + (uint64_t)look->failures * FAILURE_WEIGHT);
}

static bool
is_better (const struct look *a, const struct look *b)
{
  if (a->fitness != b->fitness)
    return a->fitness < b->fitness;
  if (a->fitness == FIT_FAILING && a->failures != b->failures)
    return a->failures < b->failures;
  return weighted_load (a) * b->slots < weighted_load (b) * a->slots;
}

static void
note_candidate (struct route_choice *out, const struct look *look)
{
  if (out->candidate_count == ROUTE_CANDIDATES)
    return;
  out->candidates[out->candidate_count++] = (struct route_candidate){
    look->target->handle,
    look->in_flight,
    look->slots,
  };
}

static void
consider (const struct priv *p, struct search *s, struct target *t)
{
  struct look look = look_at (p, s, t);
  note_candidate (s->out, &look);
  s->good += look.fitness == FIT_GOOD;
  if (look.fitness == FIT_FULL && !health_is_suspect (t))
    s->healthy_full = true;
  if (!s->best.target || is_better (&look, &s->best))
    s->best = look;
}

/* Makes sure that the choice is among the candidates it is logged with.  */
static void
choose (struct search *s)
{
  struct route_choice *out = s->out;
  out->target = s->best.target->handle;
  for (uint32_t n = 0; n < out->candidate_count; n++)
    if (out->candidates[n].target.index == out->target.index)
      return;
  if (out->candidate_count == ROUTE_CANDIDATES)
    out->candidate_count--;
  note_candidate (out, &s->best);
}

/* The part of the group that a choice is made from: the targets that take
   work, or the ejected ones where no others are left.  */
struct range
{
  const uint32_t *members;
  uint32_t count;
};

static struct range
choice_range (const struct priv *p, const struct route_query *query)
{
  const struct group *grp = group_find (p, query->pool, query->data_centre);
  if (!grp)
    return (struct range){ 0 };
  return (struct range){ grp->members, grp->ready ? grp->ready : grp->count };
}

/* Looks at SAMPLES different targets of RANGE.  */
static void
sample (struct priv *p, struct search *s, struct range range, uint32_t samples)
{
  uint32_t seen[ROUTE_CANDIDATES];
  if (samples > range.count)
    samples = range.count;
  for (uint32_t count = 0; count < samples; count++)
    {
      /* Floyd's algorithm: different positions with one draw each.  */
      uint32_t top = range.count - samples + count;
      uint32_t pos = route_random_below (p, top + 1);
      for (uint32_t n = 0; n < count; n++)
        if (seen[n] == pos)
          pos = top;
      seen[count] = pos;
      consider (p, s, p->targets[range.members[pos]]);
    }
}

/* Looks at up to SCAN_MAX targets from a random place on, until as many good
   ones are found as the samples should have had.  */
static void
scan (struct priv *p, struct search *s, struct range range, uint32_t samples)
{
  uint32_t looks = range.count < SCAN_MAX ? range.count : SCAN_MAX;
  uint32_t from = route_random_below (p, range.count);
  for (uint32_t n = 0; n < looks && s->good < samples; n++)
    consider (p, s, p->targets[range.members[(from + n) % range.count]]);
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
  uint32_t samples = p->set.candidates;
  sample (p, &s, range, samples);
  if (s.best.fitness != FIT_GOOD)
    scan (p, &s, range, samples);
  if (s.best.fitness == FIT_TRIED)
    return ERR_UNAVAILABLE;
  /* A failing target gets no work only because the healthy ones are full:
     the request is better off waiting for those.  */
  if (s.best.fitness == FIT_FULL
      || (s.best.fitness == FIT_FAILING && s.healthy_full))
    return ERR_FULL;
  choose (&s);
  return 0;
}

static int
pick_random (struct route *rt, const struct route_query *query, int64_t now_us,
             struct route_choice *out)
{
  struct priv *p = rt->priv;
  struct range range = choice_range (p, query);
  uint32_t looks = range.count < SCAN_MAX ? range.count : SCAN_MAX;
  uint32_t from = range.count ? route_random_below (p, range.count) : 0;
  struct search s = { .query = query, .now_us = now_us, .out = out };
  for (uint32_t n = 0; n < looks; n++)
    {
      struct target *t = p->targets[range.members[(from + n) % range.count]];
      if (was_tried (query, t))
        continue;
      s.best = look_at (p, &s, t);
      choose (&s);
      return 0;
    }
  return ERR_UNAVAILABLE;
}

const struct route_driver route_least_loaded = {
  .name = "least_loaded",
  .pick = pick_least_loaded,
};

/* Uniform among the targets that are not ejected, whatever their load.  */
const struct route_driver route_random = {
  .name = "random",
  .pick = pick_random,
};

static bool
settings_are_valid (const struct route_settings *set)
{
  return set->candidates >= 1 && set->candidates <= ROUTE_CANDIDATES
         && set->eject_after >= 1 && set->eject_failure_pct >= 1
         && set->eject_failure_pct <= 100 && set->max_ejected_pct <= 100
         && set->eject_base_us >= 1 && set->eject_max_us >= set->eject_base_us
         && set->eject_max_us <= INT64_MAX / 4 && set->slow_start_us >= 0
         && set->peer_load_ttl_us >= 0;
}

int
route_init (struct route *rt, void *parent, const struct route_driver *drv,
            const struct route_settings *set)
{
  *rt = (struct route){ .drv = drv };
  if (!settings_are_valid (set))
    return ERR_INVALID;
  rt->priv = talloc_zero (parent, struct priv);
  if (!rt->priv)
    return ERR_NOMEM;
  struct priv *p = rt->priv;
  p->set = *set;
  p->last_us = INT64_MIN;
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
  health_note_time (rt->priv, now_us);
  return rt->drv->pick (rt, query, now_us, out);
}

void
route_begin (struct route *rt, struct target_handle tgt, int64_t now_us)
{
  struct priv *p = rt->priv;
  struct target *t = target_get (p, tgt);
  health_note_time (p, now_us);
  if (!t)
    return;
  t->own++;
  target_note_change (p, t);
}

/* OWN: own attempts while the target counted its slots.  */
static void
note_load (struct target *t, enum attempt_result result, uint32_t own,
           int32_t slots_in_use, int64_t now_us)
{
  if (slots_in_use >= 0)
    {
      uint32_t used = (uint32_t)slots_in_use;
      t->reported_others = used > own ? used - own : 0;
      t->reported_until_us = now_us + REPORT_TTL_US;
    }
  if (result != ATTEMPT_GUARD_REFUSED)
    {
      if (result == ATTEMPT_ANSWERED)
        t->refusals = 0;
      return;
    }
  t->full_until_us = now_us + (REFUSAL_BASE_US << t->refusals);
  if (t->refusals < REFUSAL_DOUBLINGS)
    t->refusals++;
}

void
route_end (struct route *rt, struct target_handle tgt,
           enum attempt_result result, int64_t latency_us,
           int32_t slots_in_use, int64_t now_us)
{
  struct priv *p = rt->priv;
  struct target *t = target_get (p, tgt);
  health_note_time (p, now_us);
  if (!t || t->own == 0)
    return;
  note_load (t, result, t->own, slots_in_use, now_us);
  t->own--;
  target_note_change (p, t);
  health_result (p, t, result, latency_us, now_us);
  target_free_if_unused (p, t);
}

const char *
attempt_result_name (enum attempt_result result)
{
  static const char *const names[] = {
    [ATTEMPT_ANSWERED] = "answered",
    [ATTEMPT_SERVER_ERROR] = "server_error",
    [ATTEMPT_GUARD_REFUSED] = "guard_refused",
    [ATTEMPT_CONNECT_FAILED] = "connect_failed",
    [ATTEMPT_CUT] = "cut",
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
