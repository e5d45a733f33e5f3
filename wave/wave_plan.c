#include "wave/wave_plan.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"

#define NO_POOL ""

const struct wave_plan_settings wave_plan_settings_default = {
  /* The maximum deadline of a request, see docs/design.md section 11.  */
  .drain_limit_ms = 600000,  .reboot_limit_ms = 900000,
  .check_limit_ms = 300000,  .late_after_ms = 300000,
  .down_limit_ms = 900000,   .list_lag_max_ms = 30000,
  .quota_timeout_ms = 10000, .late_hosts_limit = 2,
  .lost_hosts_limit = 3,     .lost_in_rack_limit = 2,
};

static const char *const wait_names[]
    = { "", "budget", "late", "rack", "share", "down" };

const char *
wave_wait_name (enum wave_wait wait)
{
  return wait_names[wait];
}

struct candidate
{
  const struct wave *wv;
  const struct wave_host *wh;
  uint32_t deadline_rank; /* of the wave; lower goes first */
  uint32_t host;
  bool picked;
};

/* State of one wave_plan_make call.  */
struct plan_context
{
  const struct wave_plan_input *in;
  struct wave_plan *plan;
  size_t max_steps;
  uint32_t centre; /* data centre of this planner */
  uint32_t *rack_planned;
  uint32_t *rack_unplanned;
  /* Hosts that could be started, indexed as pool_centre_hosts.  */
  uint32_t *startable;
  /* By pool: creation time of the newest wave with waiting hosts.  */
  int64_t *last_created_ms;
  bool *starts_blocked; /* by wave: starts no host */
  struct candidate *candidates;
  size_t candidate_count;
};

static bool
wave_may_start (const struct wave_fold *fold, const struct wave *wv)
{
  return wv->state == WAVE_RUNNING && wv->hosts_in_step[WAVE_WAITING] > 0
         && !wave_is_expired (fold, wv);
}

static void
set_host_availability (const struct wave_plan_input *in,
                       struct wave_plan *plan, const struct wave_host *wh)
{
  uint32_t n;
  /* The host list decides for a host that is back: otherwise one that failed
     again soon after its return would be missed.  */
  if (wh->step == WAVE_WAITING || wh->step == WAVE_BACK
      || (n = wave_fleet_find_host (in->fleet, wh->name)) == FLEET_NONE)
    return;
  if (wh->step != WAVE_FAILED)
    plan->availability[n] = FLEET_OUT_PLANNED;
  else if (in->now_ms - wh->since_ms < in->set->list_lag_max_ms)
    plan->availability[n] = FLEET_OUT_UNPLANNED;
}

/* Counts the hosts that are out of service by the host list and by the
   waves.  */
static void
count_out_of_service (struct plan_context *pl)
{
  const struct wave_fleet *fl = pl->in->fleet;
  struct wave_plan *plan = pl->plan;
  for (uint32_t n = 0; n < fl->host_count; n++)
    plan->availability[n]
        = fl->hosts[n].live ? FLEET_IN_SERVICE : FLEET_OUT_UNPLANNED;
  for (uint32_t w = 0; w < pl->in->fold->wave_count; w++)
    {
      const struct wave *wv = pl->in->fold->waves[w];
      for (uint32_t n = 0; n < wv->host_count
                           && wv->hosts_in_step[WAVE_WAITING] < wv->host_count;
           n++)
        set_host_availability (pl->in, plan, &wv->hosts[n]);
    }
  for (uint32_t n = 0; n < fl->host_count; n++)
    {
      const struct fleet_host *fh = &fl->hosts[n];
      if (plan->availability[n] == FLEET_IN_SERVICE)
        continue;
      plan->pool_out[fh->pool]++;
      plan->pool_centre_out[fh->pool * fl->centre_count + fh->centre]++;
      if (plan->availability[n] == FLEET_OUT_PLANNED)
        pl->rack_planned[fh->rack]++;
      else
        pl->rack_unplanned[fh->rack]++;
    }
}

/* A host is not late while its data centre has no planner to continue its
   maintenance.  */
static bool
is_late (const struct wave_plan_input *in, const struct wave_host *wh)
{
  return (wh->step == WAVE_REBOOTING || wh->step == WAVE_CHECKING)
         && in->now_ms - wh->since_ms > in->set->late_after_ms
         && in->fold->leases[wh->centre].expires_ms > in->now_ms;
}

/* Whether the failure may be caused by the wave.  It is not if the host was
   out of service before.  */
static bool
counts_as_lost (const struct wave_host *wh)
{
  return wh->step == WAVE_FAILED && !wh->acknowledged
         && wh->reason != WAVE_REASON_HOST_DOWN
         && wh->reason != WAVE_REASON_HOST_UNKNOWN;
}

/* Returns why the wave has to halt, or WAVE_REASON_NONE.  */
static enum wave_reason
halt_reason (const struct plan_context *pl, const struct wave *wv)
{
  const struct wave_fleet *fl = pl->in->fleet;
  uint32_t lost[WAVE_REASON_COUNT + 1];
  uint32_t racks[sizeof lost / sizeof *lost];
  uint32_t total = 0;
  uint32_t rack_count = 0;
  if (wv->hosts_in_step[WAVE_FAILED] == 0)
    return WAVE_REASON_NONE;
  for (uint32_t n = 0; n < wv->host_count; n++)
    {
      uint32_t host;
      if (!counts_as_lost (&wv->hosts[n]))
        continue;
      if (++total >= pl->in->set->lost_hosts_limit)
        return WAVE_REASON_SEVERAL_LOST;
      host = wave_fleet_find_host (fl, wv->hosts[n].name);
      if (host == FLEET_NONE)
        continue;
      uint32_t k = 0;
      while (k < rack_count && racks[k] != fl->hosts[host].rack)
        k++;
      if (k == sizeof lost / sizeof *lost)
        continue;
      if (k == rack_count)
        {
          racks[rack_count] = fl->hosts[host].rack;
          lost[rack_count++] = 0;
        }
      if (++lost[k] >= pl->in->set->lost_in_rack_limit)
        return WAVE_REASON_RACK_LOST;
    }
  return WAVE_REASON_NONE;
}

/* Whether so many hosts of the wave are late that it starts no other.  */
static bool
too_many_late (const struct wave_plan_input *in, const struct wave *wv)
{
  uint32_t late = 0;
  for (uint32_t n = 0;
       n < wv->host_count && wave_hosts_in_maintenance (wv) > 0; n++)
    late += is_late (in, &wv->hosts[n]);
  return late >= in->set->late_hosts_limit;
}

static void
add_step (struct plan_context *pl, const struct wave *wv,
          const struct wave_host *wh, enum wave_step step,
          enum wave_reason reason, uint32_t pool)
{
  struct wave_plan *plan = pl->plan;
  const char *name
      = pool == FLEET_NONE ? NO_POOL : pl->in->fleet->pools[pool].name;
  if (plan->step_count == pl->max_steps)
    return;
  plan->steps[plan->step_count++] = (struct wave_step_item){
    .wave = wv->id,
    .host = wh->name,
    .generation = wh->generation,
    .step = step,
    .reason = reason,
    .pool = name,
    .pool_generation = wave_find_pool (pl->in->fold, name).generation,
  };
}

/* A waiting host that is out of service or not in the host list is skipped
   while it may still come back.  It is recorded as failed once the wave has
   made no progress for down_limit_ms.  */
static void
handle_absent_host (struct plan_context *pl, const struct wave *wv,
                    const struct wave_host *wh, uint32_t host)
{
  const struct wave_plan_input *in = pl->in;
  pl->plan->wait = WAVE_WAIT_DOWN;
  if (strcmp (in->fold->leases[wh->centre].data_centre, in->data_centre) != 0
      || in->now_ms - wv->changed_ms <= in->set->down_limit_ms)
    return;
  if (host == FLEET_NONE)
    add_step (pl, wv, wh, WAVE_FAILED, WAVE_REASON_HOST_UNKNOWN, FLEET_NONE);
  else
    add_step (pl, wv, wh, WAVE_FAILED, WAVE_REASON_HOST_DOWN,
              in->fleet->hosts[host].pool);
}

static uint32_t
deadline_rank (const struct wave_fold *fold, const struct wave *wv)
{
  uint32_t rank = 0;
  for (uint32_t n = 0; n < fold->wave_count; n++)
    {
      const struct wave *other = fold->waves[n];
      uint64_t own = (uint64_t)wv->deadline_ms - 1;
      uint64_t its = (uint64_t)other->deadline_ms - 1;
      rank += its < own || (its == own && other->offset < wv->offset);
    }
  return rank;
}

static void
collect_candidates (struct plan_context *pl, uint32_t w)
{
  const struct wave_fleet *fl = pl->in->fleet;
  const struct wave *wv = pl->in->fold->waves[w];
  uint32_t rank = deadline_rank (pl->in->fold, wv);
  for (uint32_t n = 0; n < wv->host_count; n++)
    {
      const struct wave_host *wh = &wv->hosts[n];
      if (wh->step != WAVE_WAITING)
        continue;
      uint32_t host = wave_fleet_find_host (fl, wh->name);
      if (host == FLEET_NONE
          || pl->plan->availability[host] != FLEET_IN_SERVICE)
        {
          handle_absent_host (pl, wv, wh, host);
          continue;
        }
      if (pl->starts_blocked[w])
        continue;
      const struct fleet_host *fh = &fl->hosts[host];
      pl->startable[fh->pool * fl->centre_count + fh->centre]++;
      if (wv->created_ms > pl->last_created_ms[fh->pool])
        pl->last_created_ms[fh->pool] = wv->created_ms;
      if (fh->centre == pl->centre)
        pl->candidates[pl->candidate_count++]
            = (struct candidate){ wv, wh, rank, host, false };
    }
}

static void
check_waves (struct plan_context *pl)
{
  const struct wave_plan_input *in = pl->in;
  struct wave_plan *plan = pl->plan;
  for (uint32_t w = 0; w < in->fold->wave_count; w++)
    {
      const struct wave *wv = in->fold->waves[w];
      if (!wave_may_start (in->fold, wv))
        continue;
      enum wave_reason reason = halt_reason (pl, wv);
      if (reason != WAVE_REASON_NONE)
        {
          plan->halts[plan->halt_count++]
              = (struct wave_halt_item){ wv->id, wv->generation, reason };
          continue;
        }
      pl->starts_blocked[w] = too_many_late (in, wv);
      if (pl->starts_blocked[w])
        plan->wait = WAVE_WAIT_LATE;
      collect_candidates (pl, w);
    }
}

static uint32_t
centre_demand (const struct plan_context *pl, uint32_t pool, uint32_t centre)
{
  const struct wave_fleet *fl = pl->in->fleet;
  uint32_t cell = pool * fl->centre_count + centre;
  uint32_t cap = wave_fleet_out_allowed (fl, pool, centre);
  uint32_t out = pl->plan->pool_centre_out[cell];
  uint32_t room = out < cap ? cap - out : 0;
  return pl->startable[cell] < room ? pl->startable[cell] : room;
}

static bool
centre_has_planner (const struct plan_context *pl, uint32_t centre)
{
  if (centre == pl->centre)
    return true;
  const struct wave_lease *ls
      = wave_find_lease (pl->in->fold, pl->in->fleet->centres[centre].name);
  return ls && ls->granted && ls->expires_ms > pl->in->now_ms;
}

/* Whether data centre A goes before B: A has more rounds to go, that is, more
   startable hosts for each host that it may have out of service at a time.  */
static bool
has_precedence (const struct plan_context *pl, uint32_t pool, uint32_t a,
                uint32_t b)
{
  const struct wave_fleet *fl = pl->in->fleet;
  uint64_t rounds_a = pl->startable[pool * fl->centre_count + a];
  uint64_t rounds_b = pl->startable[pool * fl->centre_count + b];
  rounds_a *= wave_fleet_out_allowed (fl, pool, b);
  rounds_b *= wave_fleet_out_allowed (fl, pool, a);
  return rounds_a != rounds_b ? rounds_a > rounds_b : a < b;
}

/* Number of hosts of the pool that this data centre may start now.  What the
   fleet's budget leaves goes to the data centres with the most rounds to go
   first; see docs/design/waves.md.  */
static uint32_t
start_quota (const struct plan_context *pl, uint32_t pool)
{
  const struct wave_plan_input *in = pl->in;
  const struct fleet_pool *fp = &in->fleet->pools[pool];
  uint32_t out = pl->plan->pool_out[pool];
  uint32_t demand = centre_demand (pl, pool, pl->centre);
  if (out >= fp->out_allowed || demand == 0)
    {
      pl->plan->wait = WAVE_WAIT_BUDGET;
      return 0;
    }
  uint32_t left = fp->out_allowed - out;
  uint32_t ahead = 0;
  for (uint32_t c = 0; c < in->fleet->centre_count; c++)
    if (c != pl->centre && centre_has_planner (pl, c)
        && has_precedence (pl, pool, c, pl->centre))
      ahead += centre_demand (pl, pool, c);
  uint32_t quota = ahead < left ? left - ahead : 0;
  int64_t changed = wave_find_pool (in->fold, fp->name).changed_ms;
  if (pl->last_created_ms[pool] > changed)
    changed = pl->last_created_ms[pool];
  /* The data centres that go first may be unable to use their quota.  */
  if (in->now_ms - changed > in->set->quota_timeout_ms)
    quota = left;
  if (quota == 0)
    pl->plan->wait = WAVE_WAIT_SHARE;
  return demand < quota ? demand : quota;
}

/* Whether a further host of the rack may be started.  At most half of a rack
   is out of service because of waves at a time, so that the other half keeps
   serving and a failure of the whole rack can be told from the maintenance. */
static bool
rack_allows (const struct plan_context *pl, const struct candidate *cd)
{
  const struct wave_plan_input *in = pl->in;
  uint32_t rack = in->fleet->hosts[cd->host].rack;
  uint32_t planned_max = in->fleet->racks[rack].hosts / 2;
  if (pl->rack_planned[rack] >= (planned_max > 0 ? planned_max : 1))
    return false;
  /* Several unplanned failures in a rack may be a failure of the rack itself,
     which may be repaired.  The wave waits for that no longer than
     down_limit_ms.  */
  return pl->rack_unplanned[rack] < in->set->lost_in_rack_limit
         || in->now_ms - cd->wv->changed_ms > in->set->down_limit_ms;
}

/* Whether the wave's own limit allows a further host of the pool.  */
static bool
wave_allows (const struct plan_context *pl, const struct wave *wv,
             uint32_t pool)
{
  const struct wave_fleet *fl = pl->in->fleet;
  uint32_t out = 0;
  if (wv->most_out == 0)
    return true;
  for (uint32_t n = 0; n < wv->host_count; n++)
    {
      enum wave_step step = wv->hosts[n].step;
      if (step == WAVE_BACK || step == WAVE_FAILED)
        continue;
      uint32_t host = wave_fleet_find_host (fl, wv->hosts[n].name);
      if (host == FLEET_NONE || fl->hosts[host].pool != pool)
        continue;
      out += step != WAVE_WAITING
             || pl->plan->availability[host] == FLEET_TO_DRAIN;
    }
  return out < wv->most_out;
}

/* Whether A is a better host to start than B: its wave has the earlier
   deadline or, for equal waves, its rack has fewer hosts out of service.  */
static bool
is_better (const struct plan_context *pl, const struct candidate *a,
           const struct candidate *b)
{
  const struct fleet_host *hosts = pl->in->fleet->hosts;
  if (!b || a->deadline_rank != b->deadline_rank)
    return !b || a->deadline_rank < b->deadline_rank;
  uint32_t ra = hosts[a->host].rack;
  uint32_t rb = hosts[b->host].rack;
  return pl->rack_planned[ra] + pl->rack_unplanned[ra]
         < pl->rack_planned[rb] + pl->rack_unplanned[rb];
}

static struct candidate *
pick_candidate (struct plan_context *pl, uint32_t pool)
{
  struct candidate *best = NULL;
  for (size_t n = 0; n < pl->candidate_count; n++)
    {
      struct candidate *cd = &pl->candidates[n];
      if (cd->picked || pl->in->fleet->hosts[cd->host].pool != pool)
        continue;
      if (!rack_allows (pl, cd))
        pl->plan->wait = WAVE_WAIT_RACK;
      else if (is_better (pl, cd, best) && wave_allows (pl, cd->wv, pool))
        best = cd;
    }
  return best;
}

static void
start_hosts (struct plan_context *pl, uint32_t pool)
{
  const struct wave_fleet *fl = pl->in->fleet;
  for (uint32_t left = start_quota (pl, pool);
       left > 0 && pl->plan->step_count < pl->max_steps; left--)
    {
      struct candidate *cd = pick_candidate (pl, pool);
      if (!cd)
        return;
      cd->picked = true;
      pl->plan->availability[cd->host] = FLEET_TO_DRAIN;
      pl->plan->pool_out[pool]++;
      pl->plan->pool_centre_out[pool * fl->centre_count + pl->centre]++;
      pl->rack_planned[fl->hosts[cd->host].rack]++;
      add_step (pl, cd->wv, cd->wh, WAVE_DRAINING, WAVE_REASON_NONE, pool);
    }
}

static bool
allocate_context (struct plan_context *pl, void *tmp)
{
  const struct wave_fleet *fl = pl->in->fleet;
  const struct wave_fold *fold = pl->in->fold;
  struct wave_plan *plan = pl->plan;
  size_t cells = (size_t)fl->pool_count * fl->centre_count + 1;
  plan->steps = talloc_array (plan, struct wave_step_item, pl->max_steps);
  plan->halts
      = talloc_array (plan, struct wave_halt_item, fold->wave_count + 1);
  plan->availability = talloc_zero_array (plan, uint8_t, fl->host_count + 1);
  plan->pool_out = talloc_zero_array (plan, uint32_t, fl->pool_count + 1);
  plan->pool_centre_out = talloc_zero_array (plan, uint32_t, cells);
  pl->startable = talloc_zero_array (tmp, uint32_t, cells);
  pl->rack_planned = talloc_zero_array (tmp, uint32_t, fl->rack_count + 1);
  pl->rack_unplanned = talloc_zero_array (tmp, uint32_t, fl->rack_count + 1);
  pl->last_created_ms = talloc_zero_array (tmp, int64_t, fl->pool_count + 1);
  pl->starts_blocked = talloc_zero_array (tmp, bool, fold->wave_count + 1);
  pl->candidates = talloc_array (tmp, struct candidate, fold->host_total + 1);
  return plan->steps && plan->halts && plan->availability && plan->pool_out
         && plan->pool_centre_out && pl->startable && pl->rack_planned
         && pl->rack_unplanned && pl->last_created_ms && pl->starts_blocked
         && pl->candidates;
}

int
wave_plan_make (void *parent, const struct wave_plan_input *in,
                size_t max_steps, struct wave_plan **out)
{
  struct plan_context pl = { .in = in, .max_steps = max_steps };
  void *tmp = talloc_new (parent);
  *out = NULL;
  pl.plan = talloc_zero (parent, struct wave_plan);
  if (!tmp || !pl.plan || !allocate_context (&pl, tmp))
    {
      talloc_free (tmp);
      talloc_free (pl.plan);
      return ERR_NOMEM;
    }
  pl.centre = wave_fleet_find_centre (in->fleet, in->data_centre);
  count_out_of_service (&pl);
  check_waves (&pl);
  for (uint32_t p = 0; p < in->fleet->pool_count && pl.centre != FLEET_NONE;
       p++)
    if (pl.startable[p * in->fleet->centre_count + pl.centre] > 0)
      start_hosts (&pl, p);
  talloc_free (tmp);
  *out = pl.plan;
  return 0;
}

static bool
drains_later (const struct wave_host *wh, const struct wave_host *than)
{
  return wh->since_ms != than->since_ms ? wh->since_ms > than->since_ms
                                        : strcmp (wh->name, than->name) > 0;
}

static const struct wave_host *
find_draining (const struct wave_fold *fold, const char *host)
{
  for (uint32_t w = 0; w < fold->wave_count; w++)
    {
      const struct wave_host *wh = wave_find_host (fold->waves[w], host);
      if (wh && wh->step == WAVE_DRAINING)
        return wh;
    }
  return NULL;
}

bool
wave_plan_may_drain (const struct wave_plan_input *in,
                     const struct wave_plan *plan, const char *host,
                     wave_drained_fn *drained, void *arg)
{
  const struct wave_fleet *fl = in->fleet;
  uint32_t own = wave_fleet_find_host (fl, host);
  const struct wave_host *self = find_draining (in->fold, host);
  if (own == FLEET_NONE || !self)
    return false;
  const struct fleet_host *fh = &fl->hosts[own];
  uint32_t out = plan->pool_out[fh->pool];
  uint32_t out_in_centre
      = plan->pool_centre_out[fh->pool * fl->centre_count + fh->centre];
  /* Hosts that are to be drained after this one and are still in service don't
     count; otherwise two such hosts would wait for each other.  */
  for (uint32_t w = 0; w < in->fold->wave_count; w++)
    {
      const struct wave *wv = in->fold->waves[w];
      for (uint32_t n = 0;
           n < wv->host_count && wv->hosts_in_step[WAVE_DRAINING] > 0; n++)
        {
          const struct wave_host *wh = &wv->hosts[n];
          if (wh->step != WAVE_DRAINING || !drains_later (wh, self))
            continue;
          uint32_t other = wave_fleet_find_host (fl, wh->name);
          if (other == FLEET_NONE || fl->hosts[other].pool != fh->pool
              || !fl->hosts[other].live || drained (arg, wv->id, wh->name))
            continue;
          out--;
          out_in_centre -= fl->hosts[other].centre == fh->centre;
        }
    }
  return out <= fl->pools[fh->pool].out_allowed
         && out_in_centre <= wave_fleet_out_allowed (fl, fh->pool, fh->centre);
}
