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
#define REFUSED_PAUSE_MS 200 /* where the log names no time */
#define TICK_MS 100
#define IDLE_TICK_MS 1000

const struct wave_core_settings wave_core_settings_default = {
  /* Long against the log's replies, short against a reboot, so that a planner
     that died delays no host by much.  */
  .lease_ms = 15000,
  .renew_ms = 5000,
  .fleet_age_ms = 60000,
  .poll_ms = 1000,
  .plan_ms = 2000,
  /* A plan looks at every host; more often would exceed the share of a core
     that control may use at 24,000 hosts.  */
  .plan_gap_ms = 500,
  .settle_ms = 3000,
  .append_gap_ms = 100,
  .resend_ms = 500,
  .max_calls = 32,
};

int64_t
wave_core_log_ms (const struct priv *p, int64_t now_us)
{
  return p->folded_ms + (now_us - p->folded_us) / US_PER_MS;
}

struct wave_plan_input
wave_core_input (const struct priv *p, int64_t now_us)
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
         && set->lease_ms <= WAVE_LEASE_MAX_MS && set->renew_ms > 0
         && set->renew_ms < set->lease_ms && set->poll_ms > 0
         && set->plan_ms > 0 && set->resend_ms > 0 && set->max_calls > 0
         && set->append_gap_ms >= 0 && set->settle_ms >= 0;
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
  /* Processes of one data centre ask for a free lease at different times.  */
  p->jitter_ms
      = (int64_t)(XXH3_64bits (set->name, strlen (set->name)) % JITTER_MAX_MS);
  if (!p->set.name || (set->data_centre && !p->set.data_centre)
      || wave_fold_init (&p->fold, p) != 0)
    {
      talloc_free (p);
      return ERR_NOMEM;
    }
  p->tasks_changes = UINT64_MAX;
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
  wave_core_drop_tasks (p);
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
  p->fleet_us = now_us;
}

void
wave_core_touch_fleet (struct wave_core *core, int64_t now_us)
{
  if (core->priv->fleet)
    core->priv->fleet_us = now_us;
}

uint64_t
wave_core_offset (const struct wave_core *core)
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
wave_core_wait (const struct wave_core *core)
{
  return core->priv->wait;
}

bool
wave_core_holds (const struct wave_core *core, int64_t now_us)
{
  return now_us < core->priv->valid_until_us;
}

static bool
is_own (const struct priv *p, const char *writer, uint64_t incarnation)
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
  return ls && ls->granted && is_own (p, ls->holder, ls->incarnation) ? ls
                                                                      : NULL;
}

/* Takes note of what the log says about the lease after RECORD.  */
static void
follow_lease (struct priv *p, int64_t now_us, const struct wave_record *rec,
              enum wave_effect effect)
{
  const struct wave_lease *ls = own_lease (p);
  bool held = p->valid_until_us > now_us;
  if (ls && rec->type == WAVE_RECORD_LEASE && effect == WAVE_EFFECT_DONE
      && is_own (p, rec->writer, rec->incarnation)
      && rec->sequence == p->lease_sequence)
    {
      /* The log granted it later than it was asked for, and the last tenth is
         left to the difference of the clocks.  */
      p->valid_until_us
          = p->lease_sent_us + rec->duration_ms * US_PER_MS / 10 * 9;
      if (ls->fence != p->fence || !held)
        log_event (p->lg, EV_WAVE_LEASE,
                   LOG_S ("data_centre", p->set.data_centre),
                   LOG_I ("fence", ls->fence));
      p->fence = ls->fence;
    }
  else if (!ls && p->valid_until_us != 0)
    {
      p->valid_until_us = 0;
      log_event (p->lg, EV_WAVE_LEASE_LOST,
                 LOG_S ("data_centre", p->set.data_centre),
                 LOG_I ("fence", p->fence));
    }
}

/* Whether the planner of this data centre has anything to do.  */
static bool
lease_wanted (const struct priv *p)
{
  if (!p->set.data_centre || !p->fold.complete)
    return false;
  const struct wave_lease *ls = wave_find_lease (&p->fold, p->set.data_centre);
  if (!ls)
    return false;
  uint8_t centre = (uint8_t)(ls - p->fold.leases);
  for (uint32_t w = 0; w < p->fold.count; w++)
    {
      const struct wave *wv = p->fold.waves[w];
      bool starts = wv->state == WAVE_RUNNING && !wave_expired (&p->fold, wv);
      if (!starts && wave_under_way (wv) == 0)
        continue;
      for (uint32_t n = 0; n < wv->count; n++)
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
follow_time (struct priv *p, int64_t now_us)
{
  if (p->fold.now_ms <= p->folded_ms)
    return;
  /* An estimate that ran ahead is not taken back, so that time never goes
     backwards.  */
  int64_t est = wave_core_log_ms (p, now_us);
  p->folded_ms
      = p->folded_ms > 0 && est > p->fold.now_ms ? est : p->fold.now_ms;
  p->folded_us = now_us;
}

int
wave_core_fold (struct wave_core *core, int64_t now_us,
                const struct log_record_view *view)
{
  struct priv *p = core->priv;
  struct wave_record rec;
  enum wave_effect effect;
  void *holder;
  int err = wave_record_decode (p, view->data, view->len, &rec, &holder);
  if (err)
    return err;
  err = wave_fold_record (&p->fold, view->offset, view->time_ms, &rec,
                          &effect);
  if (err)
    goto done;
  follow_time (p, now_us);
  follow_lease (p, now_us, &rec, effect);
  if (effect == WAVE_EFFECT_DONE)
    log_record (p, &rec);
  if (is_own (p, rec.writer, rec.incarnation))
    {
      struct wave_edit *ed = wave_core_edit_find (p, rec.sequence);
      if (ed && !ed->ended)
        {
          ed->ended = true;
          ed->effect = effect;
        }
    }
done:
  talloc_free (holder);
  return err;
}

void
wave_core_skip (struct wave_core *core, int64_t now_us,
                const struct log_record_view *rec)
{
  wave_fold_skip (&core->priv->fold, rec->offset, rec->time_ms);
  follow_time (core->priv, now_us);
}

void
wave_core_gap (struct wave_core *core, uint64_t first_offset)
{
  struct priv *p = core->priv;
  /* A stream whose first records expired before they were ever read.  */
  wave_fold_reset (&p->fold, first_offset, true);
  TALLOC_FREE (p->plan);
  p->valid_until_us = 0;
  p->awaiting = false;
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
  int64_t age_us = now_us - p->plan_us;
  bool changed = p->plan_changes != p->fold.changes || p->plan_used;
  if (!p->fleet)
    return false;
  if (p->plan && age_us < p->set.plan_ms * US_PER_MS
      && (!changed || age_us < p->set.plan_gap_ms * US_PER_MS))
    return true;
  struct wave_plan_input in = wave_core_input (p, now_us);
  TALLOC_FREE (p->plan);
  if (wave_plan_make (p, &in, WAVE_STEPS_PER_RECORD, &p->plan) != 0)
    return false;
  p->plan_us = now_us;
  p->plan_changes = p->fold.changes;
  p->plan_used = false;
  if (p->plan->wait != p->wait && p->plan->wait != WAVE_WAIT_NONE)
    log_event (p->lg, EV_WAVE_WAITS,
               LOG_S ("reason", wave_wait_name (p->plan->wait)));
  p->wait = p->plan->wait;
  return true;
}

/* Appending.  */

/* Whether the lease is to be asked for, renewed or given back now.  */
static bool
lease_due (struct priv *p, int64_t now_us, int64_t *duration_ms)
{
  const struct wave_lease *any
      = p->set.data_centre ? wave_find_lease (&p->fold, p->set.data_centre)
                           : NULL;
  int64_t log_ms = wave_core_log_ms (p, now_us);
  bool mine = own_lease (p) != NULL;
  p->wanted = lease_wanted (p);
  *duration_ms = p->set.lease_ms;
  if (!p->wanted)
    {
      /* Once: afterwards it is no longer held.  */
      *duration_ms = 0;
      return mine && now_us < p->valid_until_us && log_ms < any->expires_ms;
    }
  if (mine && log_ms < any->expires_ms)
    return now_us >= p->valid_until_us
           || now_us - p->lease_sent_us >= p->set.renew_ms * US_PER_MS;
  return !any->granted || mine || log_ms >= any->expires_ms + p->jitter_ms;
}

static struct wave_record
own_record (struct priv *p, enum wave_record_type type)
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
make_lease (struct priv *p, int64_t now_us, int64_t duration_ms, void *parent,
            uint8_t **data, size_t *len)
{
  struct wave_record rec = own_record (p, WAVE_RECORD_LEASE);
  rec.duration_ms = duration_ms;
  p->lease_sequence = rec.sequence;
  p->lease_sent_us = now_us;
  p->append_sequence = rec.sequence;
  return wave_record_encode (parent, &rec, data, len);
}

static int
make_plan (struct priv *p, int64_t now_us, void *parent, uint8_t **data,
           size_t *len)
{
  struct wave_step_item *steps
      = talloc_array (parent, struct wave_step_item, WAVE_STEPS_PER_RECORD);
  if (!steps)
    return ERR_NOMEM;
  int err = ERR_NOT_FOUND;
  size_t count
      = wave_core_task_steps (p, now_us, steps, 0, WAVE_STEPS_PER_RECORD);
  bool planned = wave_core_replan (p, now_us) && !p->plan_used
                 && p->plan_changes == p->fold.changes
                 && now_us - p->fleet_us < p->set.fleet_age_ms * US_PER_MS;
  for (size_t n = 0;
       planned && n < p->plan->step_count && count < WAVE_STEPS_PER_RECORD;
       n++)
    steps[count++] = p->plan->steps[n];
  if (count > 0 || (planned && p->plan->halt_count > 0))
    {
      struct wave_record rec = own_record (p, WAVE_RECORD_PLAN);
      rec.fence = p->fence;
      rec.steps = steps;
      rec.step_count = count;
      rec.halts = planned ? p->plan->halts : NULL;
      rec.halt_count = planned ? p->plan->halt_count : 0;
      p->append_sequence = rec.sequence;
      p->plan_used = planned;
      err = wave_record_encode (parent, &rec, data, len);
    }
  talloc_free (steps);
  return err;
}

/* What is to be appended now.  */
static int
make_record (struct wave_core *core, int64_t now_us, void *parent,
             uint8_t **data, size_t *len)
{
  struct priv *p = core->priv;
  struct wave_edit *ed = wave_core_edit_next (p);
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
  if (lease_due (p, now_us, &duration_ms))
    return make_lease (p, now_us, duration_ms, parent, data, len);
  if (!p->wanted || !wave_core_holds (core, now_us))
    return ERR_NOT_FOUND;
  return make_plan (p, now_us, parent, data, len);
}

int
wave_core_append (struct wave_core *core, int64_t now_us, void *parent,
                  uint8_t **data, size_t *len)
{
  struct priv *p = core->priv;
  /* Decisions follow from the fold with all own records that stand in the
     log.  */
  if (p->awaiting && p->fold.next_offset > p->await_offset)
    p->awaiting = false;
  if (p->append_open || p->awaiting || now_us < p->append_after_us)
    return ERR_NOT_FOUND;
  int err = make_record (core, now_us, parent, data, len);
  if (err == 0)
    p->append_open = true;
  return err;
}

void
wave_core_append_result (struct wave_core *core, int64_t now_us,
                         const struct append_result *res)
{
  struct priv *p = core->priv;
  struct wave_edit *ed = wave_core_edit_find (p, p->append_sequence);
  int64_t pause_ms = p->set.append_gap_ms;
  p->append_open = false;
  switch (res->status)
    {
    case APPEND_DONE:
      p->awaiting = true;
      p->await_offset = res->offset;
      if (ed)
        ed->appended = true;
      break;
    case APPEND_NOT_DONE:
      pause_ms
          = res->retry_after_ms > 0 ? res->retry_after_ms : REFUSED_PAUSE_MS;
      break;
    case APPEND_UNKNOWN:
      /* The record is not looked for: whatever follows is decided from the
         fold, and generations make a second copy void.  */
      pause_ms = p->set.resend_ms;
      if (ed)
        ed->uncertain = true;
      break;
    }
  p->append_after_us = now_us + pause_ms * US_PER_MS;
}

int64_t
wave_core_next_us (const struct wave_core *core, int64_t now_us)
{
  const struct priv *p = core->priv;
  bool busy = p->wanted || p->append_open;
  for (int n = 0; n < WAVE_EDIT_MAX; n++)
    busy = busy || p->edits[n].used;
  int64_t next = now_us + (busy ? TICK_MS : IDLE_TICK_MS) * US_PER_MS;
  if (!busy)
    return next;
  if (p->append_after_us > now_us && p->append_after_us < next)
    next = p->append_after_us;
  for (const struct wave_task *task = p->tasks; task; task = task->hh.next)
    if (task->next_us > now_us && task->next_us < next)
      next = task->next_us;
  return next;
}
