#include <string.h>
#include <talloc.h>

#include "base/log.h"
#include "wave/wave_codec.h"
#include "wave/wave_core_priv.h"

/* Hosts in maintenance: which call to the platform or the host comes next, and
   what its result means.  */

#define US_PER_MS 1000
/* While the lease is held, this many HOST_CALL_FENCED results in a row mean
   that something other than a planner raised the host's fence.  */
#define FENCED_IN_ROW_MAX 30

static void
free_maint_host (struct priv *p, struct wave_maint_host *mh)
{
  HASH_DEL (p->maint_hosts, mh);
  talloc_free (mh);
}

void
wave_core_free_maint_hosts (struct priv *p)
{
  struct wave_maint_host *mh;
  struct wave_maint_host *tmp;
  HASH_ITER (hh, p->maint_hosts, mh, tmp)
    free_maint_host (p, mh);
}

static void
add_maint_host (struct priv *p, struct wave_maint_host *mh)
{
  HASH_ADD_KEYPTR (hh, p->maint_hosts, mh->host, strlen (mh->host), mh);
}

/* The entry of the host, added if there is none; NULL when out of memory.  */
static struct wave_maint_host *
get_maint_host (struct priv *p, const char host[WAVE_NAME_SIZE])
{
  struct wave_maint_host *mh;
  HASH_FIND_STR (p->maint_hosts, host, mh);
  if (mh)
    return mh;
  mh = talloc_zero (p, struct wave_maint_host);
  if (!mh)
    return NULL;
  memcpy (mh->host, host, sizeof mh->host);
  add_maint_host (p, mh);
  return mh;
}

static void
sync_maint_host (struct priv *p, const struct wave *wv,
                 const struct wave_host *wh)
{
  struct wave_maint_host *mh = get_maint_host (p, wh->name);
  if (!mh)
    return;
  if (mh->generation == wh->generation && strcmp (mh->wave, wv->id) == 0)
    {
      mh->in_maintenance = true;
      return;
    }
  /* The new token makes results of the previous step find no entry.  */
  memcpy (mh->wave, wv->id, sizeof mh->wave);
  memset (&mh->obs, 0, sizeof mh->obs);
  mh->obs.slots_in_use = -1;
  mh->generation = wh->generation;
  mh->token = p->next_token++;
  mh->call_in_flight = false;
  mh->in_maintenance = true;
  mh->fenced_in_row = 0;
  mh->next_call_us = 0;
}

void
wave_core_sync_maint_hosts (struct priv *p)
{
  struct wave_maint_host *mh;
  struct wave_maint_host *tmp;
  const struct wave_lease *ls = wave_find_lease (&p->fold, p->set.data_centre);
  if (p->maint_change_count == p->fold.change_count)
    return;
  p->maint_change_count = p->fold.change_count;
  for (mh = p->maint_hosts; mh; mh = mh->hh.next)
    mh->in_maintenance = false;
  for (uint32_t w = 0; w < p->fold.wave_count; w++)
    {
      const struct wave *wv = p->fold.waves[w];
      uint32_t left = wave_hosts_in_maintenance (wv);
      for (uint32_t n = 0; n < wv->host_count && left > 0; n++)
        {
          const struct wave_host *wh = &wv->hosts[n];
          if (wh->step != WAVE_DRAINING && wh->step != WAVE_REBOOTING
              && wh->step != WAVE_CHECKING)
            continue;
          left--;
          if (&p->fold.leases[wh->centre] == ls)
            sync_maint_host (p, wv, wh);
        }
    }
  HASH_ITER (hh, p->maint_hosts, mh, tmp)
    if (!mh->in_maintenance)
      free_maint_host (p, mh);
}

static bool
is_drained (void *arg, const char *wave, const char *host)
{
  struct priv *p = arg;
  struct wave_maint_host *mh;
  HASH_FIND_STR (p->maint_hosts, host, mh);
  return mh && strcmp (mh->wave, wave) == 0
         && (mh->obs.done || mh->obs.unresolved
             || (mh->call_in_flight && mh->action == WAVE_ACTION_OPERATE));
}

/* Whether the pool's budget allows draining the host now.  A drain without a
   certain result is repeated in any case, because it may have taken
   effect.  */
static bool
may_drain (struct priv *p, int64_t now_us, const struct wave_maint_host *mh)
{
  struct wave_plan_input in = wave_core_plan_input (p, now_us);
  if (mh->obs.unresolved)
    return true;
  return p->fleet
         && now_us - p->fleet_read_us < p->set.fleet_max_age_ms * US_PER_MS
         && wave_core_replan (p, now_us)
         && wave_plan_may_drain (&in, p->plan, mh->host, is_drained, p);
}

static struct wave_decision
next_decision (struct priv *p, int64_t now_us,
               const struct wave_maint_host *mh, const struct wave **wv,
               const struct wave_host **wh)
{
  *wv = wave_find (&p->fold, mh->wave);
  *wh = *wv ? wave_find_host (*wv, mh->host) : NULL;
  if (!*wh)
    return (struct wave_decision){ .action = WAVE_ACTION_WAIT };
  bool drain = (*wh)->step == WAVE_DRAINING && !mh->obs.done
               && (*wv)->state != WAVE_CANCELLED && may_drain (p, now_us, mh);
  int64_t elapsed_ms = wave_core_log_ms (p, now_us) - (*wh)->since_ms;
  /* The budget may have delayed the drain until long after its record.  */
  if ((*wh)->step == WAVE_DRAINING && mh->obs.done)
    elapsed_ms = (now_us - mh->operation_done_us) / US_PER_MS;
  return wave_step_next (&p->set.plan, *wv, *wh, &mh->obs, elapsed_ms, drain);
}

size_t
wave_core_maint_steps (struct priv *p, int64_t now_us,
                       struct wave_step_item *steps, size_t count, size_t max)
{
  wave_core_sync_maint_hosts (p);
  for (struct wave_maint_host *mh = p->maint_hosts; mh && count < max;
       mh = mh->hh.next)
    {
      const struct wave *wv;
      const struct wave_host *wh;
      if (mh->call_in_flight)
        continue;
      struct wave_decision dec = next_decision (p, now_us, mh, &wv, &wh);
      if (dec.action != WAVE_ACTION_RECORD)
        continue;
      uint32_t host
          = p->fleet ? wave_fleet_find_host (p->fleet, mh->host) : FLEET_NONE;
      steps[count++] = (struct wave_step_item){
        .wave = wv->id,
        .host = wh->name,
        .generation = wh->generation,
        .step = dec.step,
        .reason = dec.reason,
        .pool = host == FLEET_NONE
                    ? ""
                    : p->fleet->pools[p->fleet->hosts[host].pool].name,
      };
    }
  return count;
}

/* Fills in CALL for ACTION.  Returns false when the host's address is
   unknown.  */
static bool
fill_call (struct priv *p, const struct wave_maint_host *mh,
           const struct wave *wv, const struct wave_host *wh,
           enum wave_action action, struct host_call *call)
{
  *call = (struct host_call){ .host = mh->host, .fence = p->lease_fence };
  if (action == WAVE_ACTION_OPERATE)
    {
      wave_operation_id (wv, wh, p->operation_id);
      call->op = wave_step_op (wh->step);
      call->operation_id = p->operation_id;
      return true;
    }
  call->op = action == WAVE_ACTION_GET ? HOST_OP_GET : HOST_OP_HEALTH;
  if (action == WAVE_ACTION_GET)
    return true;
  uint32_t host
      = p->fleet ? wave_fleet_find_host (p->fleet, mh->host) : FLEET_NONE;
  if (host == FLEET_NONE)
    return false;
  call->address = p->fleet->hosts[host].address;
  return true;
}

bool
wave_core_begin_call (struct wave_core *core, int64_t now_us,
                      struct host_call *call, uint64_t *token)
{
  struct priv *p = core->priv;
  if (!p->lease_wanted || !wave_core_holds_lease (core, now_us)
      || p->calls_in_flight >= p->set.calls_max)
    return false;
  wave_core_sync_maint_hosts (p);
  for (struct wave_maint_host *mh = p->maint_hosts; mh; mh = mh->hh.next)
    {
      const struct wave *wv;
      const struct wave_host *wh;
      if (mh->call_in_flight || now_us < mh->next_call_us)
        continue;
      struct wave_decision dec = next_decision (p, now_us, mh, &wv, &wh);
      if (dec.action == WAVE_ACTION_WAIT || dec.action == WAVE_ACTION_RECORD)
        continue;
      if (!fill_call (p, mh, wv, wh, dec.action, call))
        {
          mh->next_call_us = now_us + p->set.poll_interval_ms * US_PER_MS;
          continue;
        }
      mh->call_in_flight = true;
      mh->action = dec.action;
      p->calls_in_flight++;
      *token = mh->token;
      return true;
    }
  return false;
}

static void
handle_operation_result (struct priv *p, int64_t now_us,
                         struct wave_maint_host *mh,
                         const struct host_result *res)
{
  const struct wave *wv = wave_find (&p->fold, mh->wave);
  const struct wave_host *wh = wv ? wave_find_host (wv, mh->host) : NULL;
  struct wave_observation *obs = &mh->obs;
  if (res->status != HOST_CALL_DONE)
    log_event (p->lg, EV_WAVE_CALL_FAILED, LOG_S ("host", mh->host),
               LOG_I ("status", res->status));
  mh->fenced_in_row
      = res->status == HOST_CALL_FENCED ? mh->fenced_in_row + 1 : 0;
  switch (res->status)
    {
    case HOST_CALL_DONE:
      obs->done = true;
      mh->operation_done_us = now_us;
      obs->unresolved = false;
      mh->next_call_us = now_us;
      if (wh && wh->step == WAVE_DRAINING)
        mh->next_call_us += p->set.drain_settle_ms * US_PER_MS;
      break;
    case HOST_CALL_REFUSED:
      obs->refused = true;
      break;
    case HOST_CALL_FENCED:
      obs->refused = mh->fenced_in_row >= FENCED_IN_ROW_MAX;
      break;
    case HOST_CALL_UNKNOWN:
      obs->unresolved = true;
      break;
    case HOST_CALL_NOT_DONE:
      break;
    }
}

static void
count_late_result (const struct priv *p, int64_t now_us,
                   struct wave_maint_host *mh)
{
  const struct wave *wv = wave_find (&p->fold, mh->wave);
  const struct wave_host *wh = wv ? wave_find_host (wv, mh->host) : NULL;
  if (wh
      && wave_core_log_ms (p, now_us) - wh->since_ms
             >= wave_step_limit_ms (&p->set.plan, wh->step))
    mh->obs.late_results++;
}

void
wave_core_call_result (struct wave_core *core, int64_t now_us, uint64_t token,
                       const struct host_result *res)
{
  struct priv *p = core->priv;
  struct wave_maint_host *mh = p->maint_hosts;
  if (p->calls_in_flight > 0)
    p->calls_in_flight--;
  while (mh && mh->token != token)
    mh = mh->hh.next;
  if (!mh)
    return;
  mh->call_in_flight = false;
  mh->next_call_us = now_us + p->set.poll_interval_ms * US_PER_MS;
  if (mh->action == WAVE_ACTION_OPERATE)
    mh->obs.unresolved
        = mh->obs.unresolved || res->status == HOST_CALL_UNKNOWN;
  /* Without the lease, another planner may have continued the wave meanwhile.
     The call is repeated with the same id once the lease is held again.  */
  if (!wave_core_holds_lease (core, now_us))
    return;
  count_late_result (p, now_us, mh);
  if (mh->action == WAVE_ACTION_OPERATE)
    handle_operation_result (p, now_us, mh, res);
  else if (res->status != HOST_CALL_DONE)
    return;
  else if (mh->action == WAVE_ACTION_GET)
    {
      mh->obs.state = res->state;
      /* A live host can be asked for its health at once.  */
      if (res->state == HOST_ACTUAL_LIVE)
        mh->next_call_us = now_us;
    }
  else
    {
      mh->obs.has_health = true;
      mh->obs.healthy = res->healthy;
      mh->obs.slots_in_use = res->slots_in_use;
    }
}
