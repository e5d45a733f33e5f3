#include "wave/wave_core.h"

#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/err.h"
#include "base/log.h"
#include "wave/wave_codec.h"
#include "wave/wave_core_priv.h"

#define US_PER_MS 1000
#define JITTER_MAX_MS 500
#define APPEND_RETRY_MS 200 /* if the log gives no delay */
#define BUSY_WAKE_MS 100
#define IDLE_WAKE_MS 1000

const struct wave_core_settings wave_core_settings_default = {
  /* Longer than the log takes to reply, but short compared with a reboot, so
     that the failure of a planner delays its hosts only briefly.  */
  .lease_ms = 15000,
  .renew_interval_ms = 5000,
  .fleet_max_age_ms = 60000,
  .poll_interval_ms = 1000,
  .plan_interval_ms = 2000,
  /* A plan visits every host.  With 24,000 hosts, shorter intervals would
     exceed the CPU share of the control thread.  */
  .plan_min_interval_ms = 500,
  .drain_settle_ms = 3000,
  .append_min_interval_ms = 100,
  .resend_delay_ms = 500,
  .calls_max = 32,
};

int64_t
wave_core_log_ms (const struct priv *p, int64_t now_us)
{
  return p->log_time_ms + (now_us - p->log_time_us) / US_PER_MS;
}

struct wave_plan_input
wave_core_plan_input (const struct priv *p, int64_t now_us)
{
  return (struct wave_plan_input){
    .set = &p->set.plan,
    .fold = &p->fold,
    .fleet = p->fleet,
    .data_centre = p->set.data_centre,
    .now_ms = wave_core_log_ms (p, now_us),
  };
}

static bool
settings_valid (const struct wave_core_settings *set)
{
  if (!set->name || *set->name == '\0' || strlen (set->name) >= WAVE_NAME_SIZE)
    return false;
  if (set->data_centre && !wave_name_valid (set->data_centre))
    return false;
  return set->lease_ms >= WAVE_LEASE_MIN_MS
         && set->lease_ms <= WAVE_LEASE_MAX_MS && set->renew_interval_ms > 0
         && set->renew_interval_ms < set->lease_ms && set->poll_interval_ms > 0
         && set->plan_interval_ms > 0 && set->resend_delay_ms > 0
         && set->calls_max > 0 && set->append_min_interval_ms >= 0
         && set->drain_settle_ms >= 0;
}

int
wave_core_init (struct wave_core *core, void *parent,
                const struct wave_core_settings *set, struct logger *lg)
{
  core->priv = NULL;
  if (!settings_valid (set))
    return ERR_INVALID;
  struct priv *p = talloc_zero (parent, struct priv);
  if (!p)
    return ERR_NOMEM;
  p->set = *set;
  p->lg = lg;
  p->next_sequence = 1;
  p->next_token = 1;
  p->set.name = talloc_strdup (p, set->name);
  if (set->data_centre)
    p->set.data_centre = talloc_strdup (p, set->data_centre);
  /* Processes of one data centre request a free lease at different times.  */
  p->lease_jitter_ms
      = (int64_t)(XXH3_64bits (set->name, strlen (set->name)) % JITTER_MAX_MS);
  if (!p->set.name || (set->data_centre && !p->set.data_centre)
      || wave_fold_init (&p->fold, p) != 0)
    {
      talloc_free (p);
      return ERR_NOMEM;
    }
  p->maint_change_count = UINT64_MAX;
  core->priv = p;
  return 0;
}

void
wave_core_fini (struct wave_core *core)
{
  struct priv *p = core->priv;
  core->priv = NULL;
  if (!p)
    return;
  wave_core_free_maint_hosts (p);
  wave_fold_fini (&p->fold);
  talloc_free (p);
}

void
wave_core_set_fleet (struct wave_core *core, int64_t now_us,
                     struct wave_fleet *fleet)
{
  struct priv *p = core->priv;
  /* The plan refers to names of the fleet.  */
  TALLOC_FREE (p->plan);
  TALLOC_FREE (p->fleet);
  p->fleet = talloc_steal (p, fleet);
  p->fleet_read_us = now_us;
}

void
wave_core_touch_fleet (struct wave_core *core, int64_t now_us)
{
  if (core->priv->fleet)
    core->priv->fleet_read_us = now_us;
}

uint64_t
wave_core_next_offset (const struct wave_core *core)
{
  return core->priv->fold.next_offset;
}

const struct wave_fold *
wave_core_state (const struct wave_core *core)
{
  return &core->priv->fold;
}

bool
wave_core_caught_up (const struct wave_core *core)
{
  return core->priv->caught_up;
}

enum wave_wait
wave_core_wait_reason (const struct wave_core *core)
{
  return core->priv->wait_reason;
}

bool
wave_core_holds_lease (const struct wave_core *core, int64_t now_us)
{
  return now_us < core->priv->lease_valid_until_us;
}

static bool
is_self (const struct priv *p, const char *writer, uint64_t incarnation)
{
  return incarnation == p->set.incarnation
         && strcmp (writer, p->set.name) == 0;
}

static const struct wave_lease *
own_lease (const struct priv *p)
{
  const struct wave_lease *ls
      = p->set.data_centre ? wave_find_lease (&p->fold, p->set.data_centre)
                           : NULL;
  return ls && ls->granted && is_self (p, ls->holder, ls->incarnation) ? ls
                                                                       : NULL;
}

/* Updates the lease from the fold after record REC.  */
static void
update_lease (struct priv *p, int64_t now_us, const struct wave_record *rec,
              enum wave_effect effect)
{
  const struct wave_lease *ls = own_lease (p);
  bool held = p->lease_valid_until_us > now_us;
  if (ls && rec->type == WAVE_RECORD_LEASE && effect == WAVE_EFFECT_DONE
      && is_self (p, rec->writer, rec->incarnation)
      && rec->sequence == p->lease_sequence)
    {
      /* The validity period starts at the request, which is earlier than the
         grant by the log, and ends a tenth early to allow for clock drift.  */
      p->lease_valid_until_us
          = p->lease_sent_us + rec->duration_ms * US_PER_MS / 10 * 9;
      if (ls->fence != p->lease_fence || !held)
        log_event (p->lg, EV_WAVE_LEASE,
                   LOG_S ("data_centre", p->set.data_centre),
                   LOG_I ("fence", ls->fence));
      p->lease_fence = ls->fence;
    }
  else if (!ls && p->lease_valid_until_us != 0)
    {
      p->lease_valid_until_us = 0;
      log_event (p->lg, EV_WAVE_LEASE_LOST,
                 LOG_S ("data_centre", p->set.data_centre),
                 LOG_I ("fence", p->lease_fence));
    }
}

/* Whether a wave has work for the planner of this data centre.  */
static bool
lease_wanted (const struct priv *p)
{
  if (!p->set.data_centre || !p->fold.complete)
    return false;
  const struct wave_lease *ls = wave_find_lease (&p->fold, p->set.data_centre);
  if (!ls)
    return false;
  uint8_t centre = (uint8_t)(ls - p->fold.leases);
  for (uint32_t w = 0; w < p->fold.wave_count; w++)
    {
      const struct wave *wv = p->fold.waves[w];
      bool starts
          = wv->state == WAVE_RUNNING && !wave_is_expired (&p->fold, wv);
      if (!starts && wave_hosts_in_maintenance (wv) == 0)
        continue;
      for (uint32_t n = 0; n < wv->host_count; n++)
        {
          const struct wave_host *wh = &wv->hosts[n];
          if (wh->centre == centre && wh->step != WAVE_BACK
              && wh->step != WAVE_FAILED
              && (starts || wh->step != WAVE_WAITING))
            return true;
        }
    }
  return false;
}

static void
log_record (const struct priv *p, const struct wave_record *rec)
{
  if (rec->type != WAVE_RECORD_PLAN && rec->type != WAVE_RECORD_LEASE)
    log_event (p->lg, EV_WAVE_CHANGED, LOG_S ("wave", rec->id),
               LOG_S ("editor", rec->editor),
               LOG_S ("state", wave_state_name (
                                   &p->fold, wave_find (&p->fold, rec->id))));
  if (rec->type != WAVE_RECORD_PLAN || !p->set.data_centre
      || strcmp (rec->data_centre, p->set.data_centre) != 0)
    return;
  for (size_t n = 0; n < rec->step_count; n++)
    {
      const struct wave_step_item *item = &rec->steps[n];
      const struct wave *wv = wave_find (&p->fold, item->wave);
      const struct wave_host *wh = wv ? wave_find_host (wv, item->host) : NULL;
      if (wh && wh->step == item->step
          && wh->generation == item->generation + 1)
        log_event (p->lg, EV_WAVE_STEP, LOG_S ("wave", item->wave),
                   LOG_S ("host", item->host), LOG_S ("pool", item->pool),
                   LOG_S ("step", wave_step_name (item->step)),
                   LOG_S ("reason", wave_reason_name (item->reason)));
    }
  for (size_t n = 0; n < rec->halt_count; n++)
    log_event (p->lg, EV_WAVE_HALTED, LOG_S ("wave", rec->halts[n].wave),
               LOG_S ("reason", wave_reason_name (rec->halts[n].reason)));
}

static void
update_log_time (struct priv *p, int64_t now_us)
{
  if (p->fold.now_ms <= p->log_time_ms)
    return;
  /* An estimate that is ahead of the log is kept, so that time never goes
     backwards.  */
  int64_t est = wave_core_log_ms (p, now_us);
  p->log_time_ms
      = p->log_time_ms > 0 && est > p->fold.now_ms ? est : p->fold.now_ms;
  p->log_time_us = now_us;
}

int
wave_core_fold (struct wave_core *core, int64_t now_us,
                const struct log_record_view *view)
{
  struct priv *p = core->priv;
  struct wave_record rec;
  enum wave_effect effect;
  void *storage;
  int err = wave_record_decode (p, view->data, view->len, &rec, &storage);
  if (err)
    return err;
  err = wave_fold_record (&p->fold, view->offset, view->time_ms, &rec,
                          &effect);
  if (err)
    goto done;
  update_log_time (p, now_us);
  update_lease (p, now_us, &rec, effect);
  if (effect == WAVE_EFFECT_DONE)
    log_record (p, &rec);
  if (is_self (p, rec.writer, rec.incarnation))
    {
      struct wave_edit *ed = wave_core_edit_find (p, rec.sequence);
      if (ed && !ed->ended)
        {
          ed->ended = true;
          ed->effect = effect;
        }
    }
done:
  talloc_free (storage);
  return err;
}

void
wave_core_skip (struct wave_core *core, int64_t now_us,
                const struct log_record_view *rec)
{
  wave_fold_skip (&core->priv->fold, rec->offset, rec->time_ms);
  update_log_time (core->priv, now_us);
}

void
wave_core_handle_gap (struct wave_core *core, uint64_t first_offset)
{
  struct priv *p = core->priv;
  /* The lost records may have changed any wave, so the fold restarts as
     incomplete.  */
  wave_fold_reset (&p->fold, first_offset, true);
  TALLOC_FREE (p->plan);
  p->lease_valid_until_us = 0;
  p->awaiting_own_record = false;
  p->caught_up = false;
  log_event (p->lg, EV_WAVE_GAP, LOG_I ("offset", first_offset));
}

void
wave_core_read_done (struct wave_core *core, int64_t now_us,
                     uint64_t next_offset)
{
  struct priv *p = core->priv;
  p->caught_up = p->fold.next_offset >= next_offset;
}

bool
wave_core_replan (struct priv *p, int64_t now_us)
{
  int64_t age_us = now_us - p->plan_made_us;
  bool changed
      = p->plan_change_count != p->fold.change_count || p->plan_recorded;
  if (!p->fleet)
    return false;
  if (p->plan && age_us < p->set.plan_interval_ms * US_PER_MS
      && (!changed || age_us < p->set.plan_min_interval_ms * US_PER_MS))
    return true;
  struct wave_plan_input in = wave_core_plan_input (p, now_us);
  TALLOC_FREE (p->plan);
  if (wave_plan_make (p, &in, WAVE_STEPS_PER_RECORD, &p->plan) != 0)
    return false;
  p->plan_made_us = now_us;
  p->plan_change_count = p->fold.change_count;
  p->plan_recorded = false;
  if (p->plan->wait != p->wait_reason && p->plan->wait != WAVE_WAIT_NONE)
    log_event (p->lg, EV_WAVE_WAITS,
               LOG_S ("reason", wave_wait_name (p->plan->wait)));
  p->wait_reason = p->plan->wait;
  return true;
}

/* Appending.  */

/* Whether to request, renew or release the lease now.  Sets *DURATION_MS for
   the record; 0 releases the lease.  */
static bool
lease_record_due (struct priv *p, int64_t now_us, int64_t *duration_ms)
{
  const struct wave_lease *ls
      = p->set.data_centre ? wave_find_lease (&p->fold, p->set.data_centre)
                           : NULL;
  int64_t log_ms = wave_core_log_ms (p, now_us);
  bool is_own = own_lease (p) != NULL;
  p->lease_wanted = lease_wanted (p);
  *duration_ms = p->set.lease_ms;
  if (!p->lease_wanted)
    {
      /* The lease is released once: afterwards this process no longer holds
         it.  */
      *duration_ms = 0;
      return is_own && now_us < p->lease_valid_until_us
             && log_ms < ls->expires_ms;
    }
  /* The estimate of the log's time does not decide here: it can stay ahead of
     a log whose clock stood still, and every append would then renew the
     lease.  */
  if (is_own && now_us < p->lease_valid_until_us)
    return now_us - p->lease_sent_us >= p->set.renew_interval_ms * US_PER_MS;
  return !ls->granted || is_own
         || log_ms >= ls->expires_ms + p->lease_jitter_ms;
}

static struct wave_record
new_record (struct priv *p, enum wave_record_type type)
{
  return (struct wave_record){
    .type = type,
    .writer = p->set.name,
    .incarnation = p->set.incarnation,
    .sequence = p->next_sequence++,
    .data_centre = p->set.data_centre,
  };
}

static int
make_lease_record (struct priv *p, int64_t now_us, int64_t duration_ms,
                   void *parent, uint8_t **data, size_t *len)
{
  struct wave_record rec = new_record (p, WAVE_RECORD_LEASE);
  rec.duration_ms = duration_ms;
  p->lease_sequence = rec.sequence;
  p->lease_sent_us = now_us;
  p->append_sequence = rec.sequence;
  return wave_record_encode (parent, &rec, data, len);
}

static int
make_plan_record (struct priv *p, int64_t now_us, void *parent, uint8_t **data,
                  size_t *len)
{
  struct wave_step_item *steps
      = talloc_array (parent, struct wave_step_item, WAVE_STEPS_PER_RECORD);
  if (!steps)
    return ERR_NOMEM;
  int err = ERR_NOT_FOUND;
  size_t count
      = wave_core_maint_steps (p, now_us, steps, 0, WAVE_STEPS_PER_RECORD);
  bool use_plan
      = wave_core_replan (p, now_us) && !p->plan_recorded
        && p->plan_change_count == p->fold.change_count
        && now_us - p->fleet_read_us < p->set.fleet_max_age_ms * US_PER_MS;
  for (size_t n = 0;
       use_plan && n < p->plan->step_count && count < WAVE_STEPS_PER_RECORD;
       n++)
    steps[count++] = p->plan->steps[n];
  if (count > 0 || (use_plan && p->plan->halt_count > 0))
    {
      struct wave_record rec = new_record (p, WAVE_RECORD_PLAN);
      rec.fence = p->lease_fence;
      rec.steps = steps;
      rec.step_count = count;
      rec.halts = use_plan ? p->plan->halts : NULL;
      rec.halt_count = use_plan ? p->plan->halt_count : 0;
      p->append_sequence = rec.sequence;
      p->plan_recorded = use_plan;
      err = wave_record_encode (parent, &rec, data, len);
    }
  talloc_free (steps);
  return err;
}

/* Makes the record to append now.  Returns 0, ERR_NOT_FOUND (none) or an
   error.  */
static int
make_next_record (struct wave_core *core, int64_t now_us, void *parent,
                  uint8_t **data, size_t *len)
{
  struct priv *p = core->priv;
  struct wave_edit *ed = wave_core_edit_next (p, now_us);
  int64_t duration_ms;
  if (ed)
    {
      *data = talloc_memdup (parent, ed->data, ed->len);
      *len = ed->len;
      p->append_sequence = ed->sequence;
      return *data ? 0 : ERR_NOMEM;
    }
  if (!p->caught_up)
    return ERR_NOT_FOUND;
  if (lease_record_due (p, now_us, &duration_ms))
    return make_lease_record (p, now_us, duration_ms, parent, data, len);
  if (!p->lease_wanted || !wave_core_holds_lease (core, now_us))
    return ERR_NOT_FOUND;
  return make_plan_record (p, now_us, parent, data, len);
}

int
wave_core_begin_append (struct wave_core *core, int64_t now_us, void *parent,
                        uint8_t **data, size_t *len)
{
  struct priv *p = core->priv;
  /* The next record is decided only after all own records in the log have been
     folded.  */
  if (p->awaiting_own_record && p->fold.next_offset > p->own_record_offset)
    p->awaiting_own_record = false;
  if (p->append_in_flight || p->awaiting_own_record
      || now_us < p->next_append_us)
    return ERR_NOT_FOUND;
  int err = make_next_record (core, now_us, parent, data, len);
  if (err == 0)
    p->append_in_flight = true;
  return err;
}

void
wave_core_append_result (struct wave_core *core, int64_t now_us,
                         const struct append_result *res)
{
  struct priv *p = core->priv;
  struct wave_edit *ed = wave_core_edit_find (p, p->append_sequence);
  int64_t delay_ms = p->set.append_min_interval_ms;
  p->append_in_flight = false;
  switch (res->status)
    {
    case APPEND_DONE:
      p->awaiting_own_record = true;
      p->own_record_offset = res->offset;
      if (ed)
        ed->appended = true;
      break;
    case APPEND_NOT_DONE:
      delay_ms
          = res->retry_after_ms > 0 ? res->retry_after_ms : APPEND_RETRY_MS;
      break;
    case APPEND_UNKNOWN:
      /* The log is not searched for the record: the next decision is based on
         the fold, and generations make a duplicate void.  */
      delay_ms = p->set.resend_delay_ms;
      if (ed)
        ed->uncertain = true;
      break;
    }
  p->next_append_us = now_us + delay_ms * US_PER_MS;
}

int64_t
wave_core_next_wake_us (const struct wave_core *core, int64_t now_us)
{
  const struct priv *p = core->priv;
  bool busy = p->lease_wanted || p->append_in_flight;
  for (int n = 0; n < WAVE_EDIT_MAX; n++)
    busy = busy || p->edits[n].in_use;
  int64_t next = now_us + (busy ? BUSY_WAKE_MS : IDLE_WAKE_MS) * US_PER_MS;
  if (!busy)
    return next;
  if (p->next_append_us > now_us && p->next_append_us < next)
    next = p->next_append_us;
  for (const struct wave_maint_host *mh = p->maint_hosts; mh; mh = mh->hh.next)
    if (mh->next_call_us > now_us && mh->next_call_us < next)
      next = mh->next_call_us;
  return next;
}
