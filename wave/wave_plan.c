#include "wave/wave_plan.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "base/err.h"

#define NO_POOL ""

const struct wave_plan_settings wave_plan_settings_default = {
  /* The longest deadline of a request, docs/design.md section 11.  */
  .drain_limit_ms = 600000, .reboot_limit_ms = 900000,
  .check_limit_ms = 300000, .late_ms = 300000,
  .down_limit_ms = 900000,  .list_lag_ms = 30000,
  .patience_ms = 10000,     .late_hosts = 2,
  .lost_hosts = 3,          .lost_in_rack = 2,
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
  uint32_t order; /* of the wave: lower goes first */
  uint32_t host;
  bool taken;
};

/* Work of one wave_plan_make.  */
struct planner
{
  const struct wave_plan_input *in;
  struct wave_plan *plan;
  size_t max_steps;
  uint32_t centre; /* of this planner */
  uint32_t *rack_planned;
  uint32_t *rack_unplanned;
  uint32_t *waiting; /* hosts that could be started, as fleet->cells */
  int64_t *since;    /* by pool: creation of the last wave that waits */
  bool *held;        /* by wave: starts nothing */
  struct candidate *cands;
  size_t cand_count;
};

static bool
wave_runs (const struct wave_fold *fold, const struct wave *wv)
{
  return wv->state == WAVE_RUNNING && wv->steps[WAVE_WAITING] > 0
         && !wave_expired (fold, wv);
}

static void
mark_host (const struct wave_plan_input *in, struct wave_plan *plan,
           const struct wave_host *wh)
{
  uint32_t n;
  /* A host that is back counts as the list shows it: one that failed again
     soon after its return would otherwise go unseen.  */
  if (wh->step == WAVE_WAITING || wh->step == WAVE_BACK
      || (n = wave_fleet_find (in->fleet, wh->name)) == FLEET_NONE)
    return;
  if (wh->step != WAVE_FAILED)
    plan->use[n] = FLEET_PLANNED;
  else if (in->now_ms - wh->since_ms < in->set->list_lag_ms)
    plan->use[n] = FLEET_UNPLANNED;
}

/* Who is out of service, by the list and the waves.  */
static void
count_use (struct planner *pl)
{
  const struct wave_fleet *fl = pl->in->fleet;
  struct wave_plan *plan = pl->plan;
  for (uint32_t n = 0; n < fl->host_count; n++)
    plan->use[n] = fl->hosts[n].live ? FLEET_IN_SERVICE : FLEET_UNPLANNED;
  for (uint32_t w = 0; w < pl->in->fold->count; w++)
    {
      const struct wave *wv = pl->in->fold->waves[w];
      for (uint32_t n = 0;
           n < wv->count && wv->steps[WAVE_WAITING] < wv->count; n++)
        mark_host (pl->in, plan, &wv->hosts[n]);
    }
  for (uint32_t n = 0; n < fl->host_count; n++)
    {
      const struct fleet_host *fh = &fl->hosts[n];
      if (plan->use[n] == FLEET_IN_SERVICE)
        continue;
      plan->out[fh->pool]++;
      plan->cells[fh->pool * fl->centre_count + fh->centre]++;
      if (plan->use[n] == FLEET_PLANNED)
        pl->rack_planned[fh->rack]++;
      else
        pl->rack_unplanned[fh->rack]++;
    }
}

/* A host of a data centre without a planner is not late: nobody looks after
   it.  */
static bool
host_late (const struct wave_plan_input *in, const struct wave_host *wh)
{
  return (wh->step == WAVE_REBOOTING || wh->step == WAVE_CHECKING)
         && in->now_ms - wh->since_ms > in->set->late_ms
         && in->fold->leases[wh->centre].expires_ms > in->now_ms;
}

/* Whether the failure tells of the wave rather than of a host that was out of
   service before.  */
static bool
host_lost (const struct wave_host *wh)
{
  return wh->step == WAVE_FAILED && !wh->acknowledged
         && wh->reason != WAVE_REASON_HOST_DOWN
         && wh->reason != WAVE_REASON_HOST_UNKNOWN;
}

/* Why the wave has to halt; WAVE_REASON_NONE: it has not.  */
static enum wave_reason
halt_reason (const struct planner *pl, const struct wave *wv)
{
  const struct wave_fleet *fl = pl->in->fleet;
  uint32_t lost[WAVE_REASONS + 1];
  uint32_t racks[sizeof lost / sizeof *lost];
  uint32_t total = 0;
  uint32_t kinds = 0;
  if (wv->steps[WAVE_FAILED] == 0)
    return WAVE_REASON_NONE;
  for (uint32_t n = 0; n < wv->count; n++)
    {
      uint32_t host;
      if (!host_lost (&wv->hosts[n]))
        continue;
      if (++total >= pl->in->set->lost_hosts)
        return WAVE_REASON_SEVERAL_LOST;
      host = wave_fleet_find (fl, wv->hosts[n].name);
      if (host == FLEET_NONE)
        continue;
      uint32_t k = 0;
      while (k < kinds && racks[k] != fl->hosts[host].rack)
        k++;
      if (k == sizeof lost / sizeof *lost)
        continue;
      if (k == kinds)
        {
          racks[kinds] = fl->hosts[host].rack;
          lost[kinds++] = 0;
        }
      if (++lost[k] >= pl->in->set->lost_in_rack)
        return WAVE_REASON_RACK_LOST;
    }
  return WAVE_REASON_NONE;
}

/* Whether hosts of the wave are late, so that it starts no other.  */
static bool
wave_late (const struct wave_plan_input *in, const struct wave *wv)
{
  uint32_t late = 0;
  for (uint32_t n = 0; n < wv->count && wave_under_way (wv) > 0; n++)
    late += host_late (in, &wv->hosts[n]);
  return late >= in->set->late_hosts;
}

static void
add_step (struct planner *pl, const struct wave *wv,
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

/* A host that waits and is out of service takes no part while it may still
   return.  It is given up once the wave made no progress for long.  */
static void
consider_absent (struct planner *pl, const struct wave *wv,
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
wave_order (const struct wave_fold *fold, const struct wave *wv)
{
  uint32_t order = 0;
  for (uint32_t n = 0; n < fold->count; n++)
    {
      const struct wave *other = fold->waves[n];
      uint64_t own = (uint64_t)wv->deadline_ms - 1;
      uint64_t its = (uint64_t)other->deadline_ms - 1;
      order += its < own || (its == own && other->offset < wv->offset);
    }
  return order;
}

static void
consider_wave (struct planner *pl, uint32_t w)
{
  const struct wave_fleet *fl = pl->in->fleet;
  const struct wave *wv = pl->in->fold->waves[w];
  uint32_t order = wave_order (pl->in->fold, wv);
  for (uint32_t n = 0; n < wv->count; n++)
    {
      const struct wave_host *wh = &wv->hosts[n];
      if (wh->step != WAVE_WAITING)
        continue;
      uint32_t host = wave_fleet_find (fl, wh->name);
      if (host == FLEET_NONE || pl->plan->use[host] != FLEET_IN_SERVICE)
        {
          consider_absent (pl, wv, wh, host);
          continue;
        }
      if (pl->held[w])
        continue;
      const struct fleet_host *fh = &fl->hosts[host];
      pl->waiting[fh->pool * fl->centre_count + fh->centre]++;
      if (wv->created_ms > pl->since[fh->pool])
        pl->since[fh->pool] = wv->created_ms;
      if (fh->centre == pl->centre)
        pl->cands[pl->cand_count++]
            = (struct candidate){ wv, wh, order, host, false };
    }
}

static void
consider_waves (struct planner *pl)
{
  const struct wave_plan_input *in = pl->in;
  struct wave_plan *plan = pl->plan;
  for (uint32_t w = 0; w < in->fold->count; w++)
    {
      const struct wave *wv = in->fold->waves[w];
      if (!wave_runs (in->fold, wv))
        continue;
      enum wave_reason reason = halt_reason (pl, wv);
      if (reason != WAVE_REASON_NONE)
        {
          plan->halts[plan->halt_count++]
              = (struct wave_halt_item){ wv->id, wv->generation, reason };
          continue;
        }
      pl->held[w] = wave_late (in, wv);
      if (pl->held[w])
        plan->wait = WAVE_WAIT_LATE;
      consider_wave (pl, w);
    }
}

static uint32_t
cell_want (const struct planner *pl, uint32_t pool, uint32_t centre)
{
  const struct wave_fleet *fl = pl->in->fleet;
  uint32_t cell = pool * fl->centre_count + centre;
  uint32_t cap = wave_fleet_cap (fl, pool, centre);
  uint32_t out = pl->plan->cells[cell];
  uint32_t room = out < cap ? cap - out : 0;
  return pl->waiting[cell] < room ? pl->waiting[cell] : room;
}

static bool
centre_takes_part (const struct planner *pl, uint32_t centre)
{
  if (centre == pl->centre)
    return true;
  const struct wave_lease *ls
      = wave_find_lease (pl->in->fold, pl->in->fleet->centres[centre].name);
  return ls && ls->granted && ls->expires_ms > pl->in->now_ms;
}

/* Whether data centre A goes before B: more rounds of its share remain.  */
static bool
goes_before (const struct planner *pl, uint32_t pool, uint32_t a, uint32_t b)
{
  const struct wave_fleet *fl = pl->in->fleet;
  uint64_t wait_a = pl->waiting[pool * fl->centre_count + a];
  uint64_t wait_b = pl->waiting[pool * fl->centre_count + b];
  wait_a *= wave_fleet_cap (fl, pool, b);
  wait_b *= wave_fleet_cap (fl, pool, a);
  return wait_a != wait_b ? wait_a > wait_b : a < b;
}

/* How many hosts of the pool this data centre may start now.  What the budget
   of the fleet leaves is dealt to the data centres by the rounds that remain;
   see docs/design/waves.md.  */
static uint32_t
share (const struct planner *pl, uint32_t pool)
{
  const struct wave_plan_input *in = pl->in;
  const struct fleet_pool *fp = &in->fleet->pools[pool];
  uint32_t out = pl->plan->out[pool];
  uint32_t want = cell_want (pl, pool, pl->centre);
  if (out >= fp->allowed || want == 0)
    {
      pl->plan->wait = WAVE_WAIT_BUDGET;
      return 0;
    }
  uint32_t left = fp->allowed - out;
  uint32_t before = 0;
  for (uint32_t c = 0; c < in->fleet->centre_count; c++)
    if (c != pl->centre && centre_takes_part (pl, c)
        && goes_before (pl, pool, c, pl->centre))
      before += cell_want (pl, pool, c);
  uint32_t mine = before < left ? left - before : 0;
  int64_t changed = wave_find_pool (in->fold, fp->name).changed_ms;
  if (pl->since[pool] > changed)
    changed = pl->since[pool];
  /* The data centres that go before may be unable to use what they have.  */
  if (in->now_ms - changed > in->set->patience_ms)
    mine = left;
  if (mine == 0)
    pl->plan->wait = WAVE_WAIT_SHARE;
  return want < mine ? want : mine;
}

/* Whether the rack may lose a host more.  Half of a rack at a time keeps the
   other half serving and shows a failure of the rack as one.  */
static bool
rack_allows (const struct planner *pl, const struct candidate *cd)
{
  const struct wave_plan_input *in = pl->in;
  uint32_t rack = in->fleet->hosts[cd->host].rack;
  uint32_t most = in->fleet->racks[rack].hosts / 2;
  if (pl->rack_planned[rack] >= (most > 0 ? most : 1))
    return false;
  /* Several failures in a rack may be the rack's, which then passes or does
     not; the wave doesn't wait for ever.  */
  return pl->rack_unplanned[rack] < in->set->lost_in_rack
         || in->now_ms - cd->wv->changed_ms > in->set->down_limit_ms;
}

/* Whether the wave's own limit allows a host more of the pool.  */
static bool
wave_allows (const struct planner *pl, const struct wave *wv, uint32_t pool)
{
  const struct wave_fleet *fl = pl->in->fleet;
  uint32_t out = 0;
  if (wv->most_out == 0)
    return true;
  for (uint32_t n = 0; n < wv->count; n++)
    {
      enum wave_step step = wv->hosts[n].step;
      if (step == WAVE_BACK || step == WAVE_FAILED)
        continue;
      uint32_t host = wave_fleet_find (fl, wv->hosts[n].name);
      if (host == FLEET_NONE || fl->hosts[host].pool != pool)
        continue;
      out += step != WAVE_WAITING || pl->plan->use[host] == FLEET_STARTED;
    }
  return out < wv->most_out;
}

/* Whether A is the better host to start than B: of the wave that ends sooner,
   then of the rack with fewer hosts out of service.  */
static bool
better (const struct planner *pl, const struct candidate *a,
        const struct candidate *b)
{
  const struct fleet_host *hosts = pl->in->fleet->hosts;
  if (!b || a->order != b->order)
    return !b || a->order < b->order;
  uint32_t ra = hosts[a->host].rack;
  uint32_t rb = hosts[b->host].rack;
  return pl->rack_planned[ra] + pl->rack_unplanned[ra]
         < pl->rack_planned[rb] + pl->rack_unplanned[rb];
}

static struct candidate *
pick (struct planner *pl, uint32_t pool)
{
  struct candidate *best = NULL;
  for (size_t n = 0; n < pl->cand_count; n++)
    {
      struct candidate *cd = &pl->cands[n];
      if (cd->taken || pl->in->fleet->hosts[cd->host].pool != pool)
        continue;
      if (!rack_allows (pl, cd))
        pl->plan->wait = WAVE_WAIT_RACK;
      else if (better (pl, cd, best) && wave_allows (pl, cd->wv, pool))
        best = cd;
    }
  return best;
}

static void
start_hosts (struct planner *pl, uint32_t pool)
{
  const struct wave_fleet *fl = pl->in->fleet;
  for (uint32_t left = share (pl, pool);
       left > 0 && pl->plan->step_count < pl->max_steps; left--)
    {
      struct candidate *cd = pick (pl, pool);
      if (!cd)
        return;
      cd->taken = true;
      pl->plan->use[cd->host] = FLEET_STARTED;
      pl->plan->out[pool]++;
      pl->plan->cells[pool * fl->centre_count + pl->centre]++;
      pl->rack_planned[fl->hosts[cd->host].rack]++;
      add_step (pl, cd->wv, cd->wh, WAVE_DRAINING, WAVE_REASON_NONE, pool);
    }
}

static bool
allocate (struct planner *pl, void *tmp)
{
  const struct wave_fleet *fl = pl->in->fleet;
  const struct wave_fold *fold = pl->in->fold;
  struct wave_plan *plan = pl->plan;
  size_t cells = (size_t)fl->pool_count * fl->centre_count + 1;
  plan->steps = talloc_array (plan, struct wave_step_item, pl->max_steps);
  plan->halts = talloc_array (plan, struct wave_halt_item, fold->count + 1);
  plan->use = talloc_zero_array (plan, uint8_t, fl->host_count + 1);
  plan->out = talloc_zero_array (plan, uint32_t, fl->pool_count + 1);
  plan->cells = talloc_zero_array (plan, uint32_t, cells);
  pl->waiting = talloc_zero_array (tmp, uint32_t, cells);
  pl->rack_planned = talloc_zero_array (tmp, uint32_t, fl->rack_count + 1);
  pl->rack_unplanned = talloc_zero_array (tmp, uint32_t, fl->rack_count + 1);
  pl->since = talloc_zero_array (tmp, int64_t, fl->pool_count + 1);
  pl->held = talloc_zero_array (tmp, bool, fold->count + 1);
  pl->cands = talloc_array (tmp, struct candidate, fold->host_total + 1);
  return plan->steps && plan->halts && plan->use && plan->out && plan->cells
         && pl->waiting && pl->rack_planned && pl->rack_unplanned && pl->since
         && pl->held && pl->cands;
}

int
wave_plan_make (void *parent, const struct wave_plan_input *in,
                size_t max_steps, struct wave_plan **out)
{
  struct planner pl = { .in = in, .max_steps = max_steps };
  void *tmp = talloc_new (parent);
  *out = NULL;
  pl.plan = talloc_zero (parent, struct wave_plan);
  if (!tmp || !pl.plan || !allocate (&pl, tmp))
    {
      talloc_free (tmp);
      talloc_free (pl.plan);
      return ERR_NOMEM;
    }
  pl.centre = wave_fleet_centre (in->fleet, in->data_centre);
  count_use (&pl);
  consider_waves (&pl);
  for (uint32_t p = 0; p < in->fleet->pool_count && pl.centre != FLEET_NONE;
       p++)
    if (pl.waiting[p * in->fleet->centre_count + pl.centre] > 0)
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
  for (uint32_t w = 0; w < fold->count; w++)
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
  uint32_t own = wave_fleet_find (fl, host);
  const struct wave_host *self = find_draining (in->fold, host);
  if (own == FLEET_NONE || !self)
    return false;
  const struct fleet_host *fh = &fl->hosts[own];
  uint32_t out = plan->out[fh->pool];
  uint32_t cell = plan->cells[fh->pool * fl->centre_count + fh->centre];
  /* Hosts that are to be drained after this one and still serve don't hold it
     up; otherwise two such hosts would wait for each other.  */
  for (uint32_t w = 0; w < in->fold->count; w++)
    {
      const struct wave *wv = in->fold->waves[w];
      for (uint32_t n = 0; n < wv->count && wv->steps[WAVE_DRAINING] > 0; n++)
        {
          const struct wave_host *wh = &wv->hosts[n];
          if (wh->step != WAVE_DRAINING || !drains_later (wh, self))
            continue;
          uint32_t other = wave_fleet_find (fl, wh->name);
          if (other == FLEET_NONE || fl->hosts[other].pool != fh->pool
              || !fl->hosts[other].live || drained (arg, wv->id, wh->name))
            continue;
          out--;
          cell -= fl->hosts[other].centre == fh->centre;
        }
    }
  return out <= fl->pools[fh->pool].allowed
         && cell <= wave_fleet_cap (fl, fh->pool, fh->centre);
}
