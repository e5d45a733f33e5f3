#include "instance_model.h"

#include <stdlib.h>
#include <string.h>
#include <talloc.h>

#include "job/job_codec.h"
#include "proto/job.pb-c.h"

/* Processes that read the log, claim the pool's duty, and run a placer while
   they hold it, as node/duties.c and node/job_partitions.c do.  */

#define MEMBER_REPORT_US (600 * MS)
#define CLAIM_START_DELAY_US (700 * MS)
#define CLAIM_TIMEOUT_US (2 * SECOND)
#define MEMBER_SLACK_US (60 * MS)
#define VIEW_AGE_MAX_US (3 * SECOND)
#define MEMBERS_OUTAGE_US (1500 * MS)
#define TICK_DELAY_US (3 * MS)
#define RETRY_US (200 * MS)

enum topic
{
  TOPIC_DUTY,
  TOPIC_POOL,
  TOPIC_MEMBER,
};

/* A read on its way.  */
struct topic_fetch
{
  struct owner *own;
  uint64_t life;
  enum topic topic;
  int64_t sent_us;
  size_t end;
};

/* An append of the duty's holder; one at a time is in flight.  */
struct model_append
{
  struct model_append *next;
  struct owner *own;
  uint64_t life;
  uint64_t token;
  struct model_record *records;
  size_t count;
  persist_fill_fn *fill; /* of the one record, until it is sent, or NULL */
  persist_fn *fn;        /* NULL: the fence */
  void *arg;
  bool dropped; /* its result does not matter any more */
  bool appended;
  uint64_t offset;
};

static void check_duties (struct owner *own);

static int64_t
own_us (const struct owner *own)
{
  return clock_now_us (&own->clk.clk);
}

static int
send_command (struct worker_link *lnk, const struct command_target *to,
              struct model_call call)
{
  struct owner *own = (struct owner *)lnk;
  struct model_call *copy = talloc_memdup (own->mdl, &call, sizeof call);
  copy->own = own;
  copy->life = own->life;
  copy->may_send = to->may_send;
  for (uint32_t n = 0; n < MODEL_WORKERS; n++)
    if (strcmp (own->mdl->workers[n].id, to->worker) == 0)
      copy->worker = n;
  model_send (own->mdl, copy);
  return 0;
}

static int
link_start (struct worker_link *lnk, const struct command_target *to,
            const struct start_command *cmd, command_fn *fn, void *arg)
{
  return send_command (lnk, to,
                       (struct model_call){ .kind = MODEL_START,
                                            .ref = cmd->task,
                                            .run = cmd->run,
                                            .token = cmd->token,
                                            .lease_end_ms = cmd->lease_end_ms,
                                            .fn = fn,
                                            .arg = arg });
}

static int
link_stop (struct worker_link *lnk, const struct command_target *to,
           const struct stop_command *cmd, command_fn *fn, void *arg)
{
  return send_command (lnk, to,
                       (struct model_call){ .kind = MODEL_STOP,
                                            .ref = cmd->task,
                                            .run = cmd->run,
                                            .token = cmd->token,
                                            .fn = fn,
                                            .arg = arg });
}

static int
link_pace (struct worker_link *lnk, const struct command_target *to,
           const struct pace_command *cmd, command_fn *fn, void *arg)
{
  return send_command (lnk, to,
                       (struct model_call){ .kind = MODEL_PACE,
                                            .ref = cmd->task,
                                            .run = cmd->run,
                                            .token = cmd->token,
                                            .fn = fn,
                                            .arg = arg });
}

static int
link_hold (struct worker_link *lnk, const struct command_target *to,
           const struct hold_command *cmd, hold_fn *fn, void *arg)
{
  return send_command (lnk, to,
                       (struct model_call){ .kind = MODEL_HOLD,
                                            .token = cmd->token,
                                            .lease_end_ms = cmd->lease_end_ms,
                                            .last_seen = cmd->last_seen,
                                            .wait_ms = cmd->wait_ms,
                                            .hold_fn = fn,
                                            .arg = arg });
}

static const struct worker_link_driver driver = {
  .start = link_start, .stop = link_stop, .pace = link_pace, .hold = link_hold
};

static void
on_tick (struct model *mdl, void *arg, int64_t at_us)
{
  struct owner *own = arg;
  if (!own->plc || own->tick_us != at_us)
    return;
  int64_t next_us = placer_tick (own->plc) - own->ahead_us;
  int64_t soonest_us = mdl->now_us + TICK_DELAY_US;
  own->tick_us = next_us > soonest_us ? next_us : soonest_us;
  model_after (mdl, own, own->tick_us - mdl->now_us, on_tick, own,
               own->tick_us);
}

static void
wake (void *arg)
{
  struct owner *own = arg;
  int64_t at_us = own->mdl->now_us + TICK_DELAY_US;
  if (own->tick_us > own->mdl->now_us && own->tick_us <= at_us)
    return;
  own->tick_us = at_us;
  model_after (own->mdl, own, TICK_DELAY_US, on_tick, own, at_us);
}

static void send_append (struct owner *own);

static void
finish_append (struct owner *own, struct model_append *app, bool done)
{
  struct model_append *next = app->next;
  own->first_append = next;
  if (!next)
    own->last_append = NULL;
  if (!done)
    own->refused = true;
  else if (!app->fn)
    {
      own->fence_known = true;
      own->fence_offset = app->offset;
    }
  if (app->fn)
    app->fn (app->arg, done ? PERSIST_DONE : PERSIST_FENCED);
  /* One that FN has added to an empty queue was sent by that.  */
  if (next)
    send_append (own);
  check_duties (own);
}

static void
on_append_result (struct model *mdl, void *arg, int64_t done)
{
  struct model_append *app = arg;
  if (!app->dropped)
    finish_append (app->own, app, done);
}

static void
on_append_arrival (struct model *mdl, void *arg, int64_t num)
{
  struct model_append *app = arg;
  bool done = app->appended || app->token >= mdl->log_epoch;
  if (done && !app->appended)
    {
      app->appended = true;
      app->offset = mdl->log_count;
      mdl->log_epoch = app->token;
      for (size_t n = 0; n < app->count; n++)
        if (mdl->log_count < MODEL_RECORDS_MAX)
          mdl->log[mdl->log_count++] = app->records[n];
    }
  if (app->life == app->own->life)
    model_after (mdl, app->own, MS + model_pick (mdl, 9 * MS),
                 on_append_result, app, done);
}

static void
on_append_try (struct model *mdl, void *arg, int64_t num)
{
  struct model_append *app = arg;
  if (app->dropped)
    return;
  if (app->own->cut_log)
    model_after (mdl, app->own, RETRY_US, on_append_try, app, 0);
  else
    model_after (mdl, NULL, MS + model_pick (mdl, 20 * MS), on_append_arrival,
                 app, 0);
}

static void
send_append (struct owner *own)
{
  struct model_append *app = own->first_append;
  if (app->fill)
    {
      struct model_record *rec = &app->records[0];
      const uint8_t *value;
      if (app->fill (app->arg, &value, &rec->len))
        abort ();
      app->fill = NULL;
      rec->data = talloc_memdup (app, value, rec->len);
    }
  model_after (own->mdl, own, 0, on_append_try, own->first_append, 0);
}

static void
add_append (struct owner *own, struct model_append *app)
{
  app->own = own;
  app->life = own->life;
  app->token = own->token;
  if (own->last_append)
    own->last_append->next = app;
  else
    own->first_append = app;
  own->last_append = app;
  if (own->first_append == app)
    send_append (own);
}

static int
persist (void *arg, const struct topic_entry *entries, size_t count,
         persist_fn *fn, void *fn_arg)
{
  struct owner *own = arg;
  struct model_append *app = talloc_zero (own->mdl, struct model_append);
  app->records = talloc_zero_array (app, struct model_record, count);
  app->count = count;
  app->fn = fn;
  app->arg = fn_arg;
  for (size_t n = 0; n < count; n++)
    {
      struct model_record *rec = &app->records[n];
      rec->kind = RECORD_JOB;
      name_copy_len (rec->key, entries[n].key, entries[n].key_len);
      rec->key_len = entries[n].key_len;
      rec->len = entries[n].value_len;
      rec->data = talloc_memdup (app, entries[n].value, rec->len);
    }
  add_append (own, app);
  return 0;
}

static int
persist_first (void *arg, const char *key, persist_fill_fn *fill,
               persist_fn *fn, void *fn_arg)
{
  struct owner *own = arg;
  struct model_append *app = talloc_zero (own->mdl, struct model_append);
  app->records = talloc_zero (app, struct model_record);
  app->records[0].kind = RECORD_WORKERS;
  app->records[0].key_len = strlen (key);
  name_copy_len (app->records[0].key, key, strlen (key));
  app->count = 1;
  app->fill = fill;
  app->fn = fn;
  app->arg = fn_arg;
  add_append (own, app);
  return 0;
}

static int64_t
log_read_us (void *arg)
{
  const struct owner *own = arg;
  return own->pool_us;
}

static void
end_duty (struct owner *own, const char *reason)
{
  model_trace (own->mdl, "owner=%s token=%d ends: %s", own->name,
               (int)own->token, reason);
  struct placer *plc = own->plc;
  own->plc = NULL;
  own->token = 0;
  own->fence_known = false;
  own->refused = false;
  placer_destroy (plc);
  struct model_append *app = own->first_append;
  own->first_append = own->last_append = NULL;
  for (; app; app = app->next)
    {
      app->dropped = true;
      if (app->fn)
        app->fn (app->arg, PERSIST_FENCED);
    }
}

static void
add_known_workers (struct owner *own)
{
  if (own->workers)
    placer_add_earlier_record (own->plc, own->workers->data, own->workers->len,
                               own->workers_us);
  for (uint32_t n = 0; n < MODEL_WORKERS; n++)
    if (own->reported[n])
      placer_update_worker (own->plc, own->rep[n].id, &own->rep[n]);
}

static void
activate (struct owner *own)
{
  const struct placer_settings set
      = { .pool = MODEL_POOL,
          .token = own->token,
          .token_count = MODEL_TOKENS,
          .fence_offset = own->fence_offset,
          .lease_ms = MODEL_LEASE_MS,
          .lease_max_ms = MODEL_LEASE_MAX_MS,
          .confirm_ms = MODEL_CONFIRM_MS,
          .start_confirm_ms = MODEL_START_CONFIRM_MS,
          .confirmed_us = own->confirmed_us };
  const struct placer_env env = { .clk = &own->clk.clk,
                                  .lg = (struct logger *)own,
                                  .ctr = own->ctr,
                                  .lnk = &own->lnk,
                                  .jobs = &own->jobs,
                                  .cat = &own->mdl->cat_ptr,
                                  .persist = persist,
                                  .persist_first = persist_first,
                                  .log_read_us = log_read_us,
                                  .wake = wake,
                                  .arg = own };
  own->plc = placer_create (own->ctx, &set, &env);
  placer_limit_earlier_leases (
      own->plc, duty_earlier_leases_end_us (
                    own->duties, duty_find (own->duties, MODEL_POOL)));
  model_trace (own->mdl, "owner=%s token=%d begins", own->name,
               (int)own->token);
  add_known_workers (own);
  own->tick_us = 0;
  wake (own);
}

static void
begin_duty (struct owner *own, uint64_t token)
{
  struct model_append *app = talloc_zero (own->mdl, struct model_append);
  own->token = token;
  own->fence_known = own->refused = false;
  app->records = talloc_zero (app, struct model_record);
  app->records[0]
      = (struct model_record){ .kind = RECORD_FENCE, .token = token };
  app->count = 1;
  add_append (own, app);
}

/* A claim or a release on its way.  */
struct claim_append
{
  struct owner *own;
  uint64_t life;
  struct duty_record rec;
  size_t expected; /* end of the topic of duties, for a claim */
};

static void
on_claim_result (struct model *mdl, void *arg, int64_t end)
{
  struct owner *own = arg;
  own->claiming = false;
  if (end > 0)
    own->claim_end = (size_t)end;
}

static void
on_claim_arrival (struct model *mdl, void *arg, int64_t num)
{
  struct claim_append *app = arg;
  struct owner *own = app->own;
  bool done = (app->rec.claim.released || app->expected == mdl->duty_count)
              && mdl->duty_count < MODEL_RECORDS_MAX;
  if (done)
    {
      struct duty_record *rec = &mdl->duty_log[mdl->duty_count++];
      *rec = app->rec;
      rec->claim.earlier = &rec->earlier;
      rec->claim.token = mdl->duty_count * MODEL_TOKENS;
      rec->claim.holder = own->name;
    }
  if (app->life == own->life)
    model_after (mdl, own, MS + model_pick (mdl, 9 * MS), on_claim_result, own,
                 done ? (int64_t)mdl->duty_count : 0);
}

static void
append_claim (struct owner *own, const struct duty *released)
{
  struct claim_append *app = talloc_zero (own->mdl, struct claim_append);
  app->own = own;
  app->life = own->life;
  app->expected = own->duty_next;
  app->rec.claim = (struct duty_claim){ .name = MODEL_POOL,
                                        .holder = own->name,
                                        .boot = own->boot,
                                        .released = released };
  if (released)
    {
      app->rec.claim.released_token = released->token;
      duty_state_release (own->duties, released, own_us (own),
                          &app->rec.earlier);
    }
  else
    duty_state_earlier (own->duties, MODEL_POOL, own_us (own),
                        &app->rec.earlier);
  own->claiming = true;
  if (!own->cut_log)
    model_after (own->mdl, NULL, MS + model_pick (own->mdl, 20 * MS),
                 on_claim_arrival, app, 0);
  else
    model_after (own->mdl, own, CLAIM_TIMEOUT_US, on_claim_result, own, 0);
}

static void
check_held_duty (struct owner *own)
{
  const struct duty *dty = duty_find (own->duties, MODEL_POOL);
  if (own->token == 0)
    return;
  if (own->refused || !duty_held_by (dty, own->name, own->boot)
      || dty->token != own->token)
    {
      if (own->refused)
        own->refused_token = own->token;
      end_duty (own, "lost");
      return;
    }
  if (!own->plc && own->fence_known && own->pool_next > own->fence_offset)
    activate (own);
  if (own->plc)
    placer_limit_earlier_leases (
        own->plc, duty_earlier_leases_end_us (own->duties, dty));
}

static void
check_duties (struct owner *own)
{
  const struct duty *dty = duty_find (own->duties, MODEL_POOL);
  int64_t now_us = own_us (own);
  check_held_duty (own);
  if (own->stopping || own->token || !own->duty_us || !own->pool_us
      || !own->member_us)
    return;
  bool held = duty_held_by (dty, own->name, own->boot);
  if (held && dty->token != own->refused_token)
    {
      begin_duty (own, dty->token);
      return;
    }
  const struct duty_view view
      = { .self = own->name,
          .now_us = now_us,
          .reports_read_us = own->member_us,
          .reads_resumed_us = own->resumed_us,
          .unclaimed_since_us = own->started_us + CLAIM_START_DELAY_US,
          .slack_us = MEMBER_SLACK_US };
  if (!own->claiming && own->duty_next >= own->claim_end
      && now_us >= view.unclaimed_since_us
      && now_us - own->pool_us < VIEW_AGE_MAX_US
      && (held || duty_should_claim (own->duties, MODEL_POOL, &view)))
    append_claim (own, NULL);
}

static void
apply_job (struct owner *own, size_t offset, const struct model_record *rec)
{
  struct job_fold_result res;
  if (job_table_fold (&own->jobs, own->ctx, 0, offset, rec->key, rec->key_len,
                      rec->data, rec->len, own_us (own), &res)
      || !res.job || res.change == JOB_CHANGE_REPEATED)
    return;
  job_note_record (res.job, &res, 3, own_us (own));
  if (!own->plc || res.change == JOB_CHANGE_NONE
      || (res.change == JOB_CHANGE_STALE && res.token == own->token))
    return;
  placer_update_job (own->plc, res.job, res.change);
  wake (own);
}

static void
apply_record (struct owner *own, size_t offset, const struct model_record *rec)
{
  if (rec->kind == RECORD_JOB)
    apply_job (own, offset, rec);
  else if (rec->kind == RECORD_WORKERS)
    {
      own->workers = rec;
      own->workers_us = own_us (own);
    }
  else if (own->token && rec->token == own->token && !own->plc)
    {
      own->fence_known = true;
      own->fence_offset = offset;
    }
  else if (own->plc)
    placer_note_fence (own->plc, rec->token);
}

/* Takes the workers' reports that have changed.  */
static void
read_reports (struct owner *own)
{
  for (uint32_t n = 0; n < MODEL_WORKERS; n++)
    {
      const struct model_worker *wrk = &own->mdl->workers[n];
      struct worker_report *rep = &own->rep[n];
      if (own->report_seen[n] == wrk->report_version)
        continue;
      own->report_seen[n] = wrk->report_version;
      int64_t known_us = own->reported[n] && rep->born_ms == wrk->rep.born_ms
                             ? rep->known_us
                             : own_us (own);
      *rep = wrk->rep;
      rep->known_us = known_us;
      own->reported[n] = wrk->reported;
      if (own->plc)
        placer_update_worker (own->plc, rep->id, wrk->reported ? rep : NULL);
    }
}

static void
fold_duties (struct owner *own, const struct topic_fetch *ftc)
{
  for (; own->duty_next < ftc->end; own->duty_next++)
    duty_fold_claim (own->duties, &own->mdl->duty_log[own->duty_next].claim,
                     own_us (own));
  check_held_duty (own);
  own->duty_us = ftc->sent_us;
  if (ftc->sent_us > own->confirmed_us)
    own->confirmed_us = ftc->sent_us;
  if (own->plc)
    placer_confirm_ownership (own->plc, own->confirmed_us);
}

static void
fold_members (struct owner *own, const struct topic_fetch *ftc)
{
  for (; own->member_next < ftc->end; own->member_next++)
    duty_fold_member (own->duties, &own->mdl->member_log[own->member_next].rep,
                      own_us (own));
  if (own->member_us > 0 && ftc->sent_us - own->member_us > MEMBERS_OUTAGE_US)
    own->resumed_us = ftc->sent_us;
  own->member_us = ftc->sent_us;
  read_reports (own);
}

static void send_read (struct model *mdl, void *arg, int64_t topic);

static void
on_read (struct model *mdl, void *arg, int64_t num)
{
  struct topic_fetch *ftc = arg;
  struct owner *own = ftc->own;
  enum topic topic = ftc->topic;
  int64_t pause_us = own->token ? 30 * MS : 250 * MS;
  if (own->cut_log)
    pause_us = RETRY_US;
  else if (topic == TOPIC_POOL)
    {
      for (; own->pool_next < ftc->end; own->pool_next++)
        apply_record (own, own->pool_next, &mdl->log[own->pool_next]);
      own->pool_us = ftc->sent_us;
    }
  else if (topic == TOPIC_DUTY)
    fold_duties (own, ftc);
  else
    fold_members (own, ftc);
  talloc_free (ftc);
  if (topic == TOPIC_MEMBER)
    pause_us += 200 * MS;
  check_duties (own);
  model_after (mdl, own, pause_us + model_pick (mdl, 80 * MS), send_read, own,
               topic);
}

static void
on_read_arrival (struct model *mdl, void *arg, int64_t num)
{
  struct topic_fetch *ftc = arg;
  if (ftc->life != ftc->own->life)
    return;
  ftc->end = ftc->topic == TOPIC_POOL   ? mdl->log_count
             : ftc->topic == TOPIC_DUTY ? mdl->duty_count
                                        : mdl->member_count;
  model_after (mdl, ftc->own, MS + model_pick (mdl, 15 * MS), on_read, ftc, 0);
}

static void
send_read (struct model *mdl, void *arg, int64_t topic)
{
  struct owner *own = arg;
  struct topic_fetch *ftc = talloc_zero (mdl, struct topic_fetch);
  *ftc = (struct topic_fetch){ .own = own,
                               .life = own->life,
                               .topic = (enum topic)topic,
                               .sent_us = own_us (own) };
  model_after (mdl, NULL, MS + model_pick (mdl, 15 * MS), on_read_arrival, ftc,
               0);
}

static void
on_member_report (struct model *mdl, void *arg, int64_t num)
{
  struct owner *own = arg;
  if (!own->cut_log && mdl->member_count < MODEL_RECORDS_MAX)
    mdl->member_log[mdl->member_count++].rep = (struct member_report){
      .name = own->name, .boot = own->boot, .stopping = own->stopping
    };
  model_after (mdl, own, MEMBER_REPORT_US, on_member_report, own, 0);
}

void
owner_boot (struct model *mdl, uint32_t owner)
{
  struct owner *own = &mdl->owners[owner];
  /* As in node_open_duties.  */
  const struct holder_limits limits
      = { .command_us = MODEL_CONFIRM_MS * MS,
          .lease_us = placer_lease_span_us (MODEL_LEASE_MAX_MS),
          .unstated_lease_us = placer_lease_span_us (MODEL_LEASE_MS) };
  own->lnk.drv = &driver;
  own->up = true;
  own->stopping = false;
  own->boot++;
  own->ctx = talloc_new (mdl);
  own->ctr = talloc_zero (own->ctx, struct counters);
  own->duties = talloc_zero (own->ctx, struct duty_table);
  duty_set_limits (own->duties, &limits);
  job_table_init (&own->jobs);
  own->duty_next = own->pool_next = own->member_next = 0;
  own->duty_us = own->pool_us = own->member_us = own->resumed_us = 0;
  own->confirmed_us = 0;
  own->claim_end = 0;
  own->claiming = false;
  own->refused_token = 0;
  own->workers = NULL;
  memset (own->report_seen, 0, sizeof own->report_seen);
  memset (own->reported, 0, sizeof own->reported);
  own->started_us = own_us (own);
  model_trace (mdl, "owner=%s boot=%d", own->name, (int)own->boot);
  on_member_report (mdl, own, 0);
  for (int64_t n = TOPIC_DUTY; n <= TOPIC_MEMBER; n++)
    send_read (mdl, own, n);
}

void
owner_kill (struct owner *own)
{
  struct model *mdl = own->mdl;
  if (!own->up)
    return;
  model_trace (mdl, "owner=%s killed", own->name);
  own->up = false;
  own->life++;
  own->paused_until_us = 0;
  if (own->token)
    end_duty (own, "killed");
  for (size_t n = 0; n < mdl->call_count; n++)
    if (mdl->calls[n]->own == own && !mdl->calls[n]->finished)
      {
        mdl->calls[n]->res
            = (struct hold_result){ .command.status = COMMAND_NO_ANSWER };
        model_finish_call (mdl->calls[n]);
      }
  job_table_fini (&own->jobs);
  TALLOC_FREE (own->ctx);
}

void
owner_stop (struct owner *own)
{
  own->stopping = true;
  if (own->token)
    {
      duty_stop_holding (own->duties, MODEL_POOL, own_us (own),
                         own->plc == NULL);
      end_duty (own, "stopping");
    }
  const struct duty *dty = duty_find (own->duties, MODEL_POOL);
  if (duty_held_by (dty, own->name, own->boot))
    append_claim (own, dty);
}
