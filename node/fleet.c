#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/err.h"
#include "node/fleet_priv.h"
#include "platform/wire_decode.h"
#include "proto/job.pb-c.h"

/* The fleet duty, and the reports that pools' owners make to its holder.  The
   holder decides on maintenance and moves of hosts, asks the pools' owners to
   vacate the hosts concerned and sends the orders to the platform.  The owners
   report vacated hosts and their demand for hosts.  */

#define REQUEST_PART 0
#define READ_WAIT_MS 1000
/* Interval between reads of the host list while hosts are being vacated, moved
   or maintained, and otherwise.  */
#define LIST_INTERVAL_BUSY_MS 400
/* The same in the owner of a pool with a worker that does not answer.  To
   decode a list of 1,100 hosts takes an owner as long as 60 starts.  */
#define LIST_INTERVAL_OWNER_MS 1000
#define LIST_INTERVAL_IDLE_MS 2000
/* The platform's list shows the hosts as they were up to this long before.  */
#define LIST_LAG_US 1000000
#define FLEET_INTERVAL_MS 30
/* Time after which vacate requests of an earlier holder are withdrawn, from
   when a later claim was read.  It is not counted from the begin of the
   present holder, as holders may follow each other faster.  The earlier
   holders' orders have been answered by then or come too late.  */
#define ORPHAN_DELAY_US 1000000
/* First character of the key of a request.  */
#define VACATE_REQUEST_KEY 'v'

static void
append_request (struct fleet_duty *flt, const char *host, int64_t until_ms,
                bool move, const char *ended_worker)
{
  uint8_t data[64 + NAME_BYTES];
  Kingcuphollow__VacateRequest msg = KINGCUPHOLLOW__VACATE_REQUEST__INIT;
  msg.token = flt->token;
  msg.until_ms = (uint64_t)until_ms;
  msg.move = move;
  msg.ended_worker = (char *)ended_worker;
  node_fleet_append (&flt->app, VACATE_REQUEST_KEY, host, data,
                     kingcuphollow__vacate_request__pack (&msg, data));
}

static void
request_vacate (void *arg, struct mgr_host *host, int64_t grace_ms)
{
  struct fleet_duty *flt = arg;
  struct node *nod = flt->nod;
  host->request_offset = 0;
  append_request (flt, host->rep.name, clock_wall_ms (nod->clk) + grace_ms,
                  host->current_op == OP_MOVE, "");
  log_event (
      nod->lg, EV_HOST_VACATE, LOG_S ("host", host->rep.name),
      LOG_S ("pool", host->rep.pool),
      LOG_S ("for", host->current_op == OP_MOVE ? host->dest_pool : "upkeep"),
      LOG_I ("token", flt->token));
}

static void
withdraw_vacate (void *arg, struct mgr_host *host)
{
  /* An order that had been carried out before is answered as done, too, but
     has ended no worker.  */
  bool ended = host->phase == PHASE_AWAITING_WORKER
               && strcmp (host->rep.worker, host->previous_worker) != 0;
  append_request (arg, host->rep.name, 0, false,
                  ended ? host->previous_worker : "");
}

/* Tells that a request of this holder ends without an order that was carried
   out.  */
static void
log_vacate_over (void *arg, const struct mgr_host *host, const char *reason,
                 const char *kept_for, int64_t after_us)
{
  struct fleet_duty *flt = arg;
  const struct duty *dty = duty_find (&flt->nod->duties, host->rep.pool);
  bool owned = dty && *dty->holder;
  log_event (
      flt->nod->lg, EV_HOST_VACATE_OVER, LOG_S ("host", host->rep.name),
      LOG_S ("pool", host->rep.pool),
      LOG_S ("for", host->current_op == OP_MOVE ? host->dest_pool : "upkeep"),
      LOG_S ("reason",
             !owned && strcmp (reason, "timeout") == 0 ? "no_owner" : reason),
      LOG_S ("kept_for", kept_for), LOG_I ("after_ms", after_us / 1000));
}

static void
record_wave_progress (void *arg, struct mgr_wave *wave)
{
  struct fleet_duty *flt = arg;
  node_fleet_record_wave (flt->nod, wave, flt->token, &flt->progress_app,
                          &flt->status_app);
}

static void
wake_placers (struct node *nod)
{
  for (struct held_duty *hld = nod->held_duties; hld; hld = hld->next)
    if (hld->plc)
      node_schedule_placer (hld, 0);
}

static void
on_host_list (void *arg, const struct host_list *list)
{
  struct fleet_duty *flt = arg;
  flt->list_in_progress = false;
  if (list->err)
    return;
  if (flt->active)
    host_mgr_set_hosts (&flt->mgr, flt, list, flt->list_requested_us);
  for (struct held_duty *hld = flt->nod->held_duties; hld; hld = hld->next)
    if (hld->plc)
      placer_update_hosts (hld->plc, list, flt->list_requested_us);
  wake_placers (flt->nod);
}

static void
read_host_list (struct fleet_duty *flt, int64_t interval_ms, int64_t now_us)
{
  if (!*flt->nod->set->fleet_api)
    return;
  struct host_link *lnk = &flt->nod->fleet_link.lnk;
  if (flt->list_in_progress || now_us < flt->next_list_us)
    return;
  flt->next_list_us = now_us + interval_ms * 1000;
  flt->list_requested_us = now_us;
  flt->list_in_progress = lnk->drv->list (lnk, on_host_list, flt) == 0;
}

/* Withdraws the requests of earlier holders.  They would stay in force
   otherwise, and their hosts would receive no tasks.  */
static void
withdraw_orphans (struct fleet_duty *flt, int64_t now_us)
{
  struct vacate_request *req, *next;
  HASH_ITER (hh, flt->requests, req, next)
    if (req->token < flt->token && !req->withdrawn && req->superseded_us
        && now_us >= req->superseded_us + ORPHAN_DELAY_US)
      {
        req->withdrawn = true;
        append_request (flt, req->host, 0, false, "");
        log_event (flt->nod->lg, EV_HOST_VACATE_OVER,
                   LOG_S ("host", req->host),
                   LOG_S ("reason", "earlier_holder"),
                   LOG_I ("after_ms", (now_us - req->superseded_us) / 1000));
      }
}

static uint32_t
report_part (const struct node *nod, const char *pool)
{
  uint64_t parts = (uint64_t)nod->set->partitions;
  return parts > 1
             ? 1 + (uint32_t)(XXH64 (pool, strlen (pool), 0) % (parts - 1))
             : REQUEST_PART;
}

static void on_record (void *arg, const struct topic_record *rec);
static void on_batch (void *arg);

/* Starts to follow the reports of all pools with a configured queue.  */
static void
open_report_followers (struct fleet_duty *flt)
{
  struct node *nod = flt->nod;
  size_t count;
  const char *const *pools = node_queue_pools (nod, &count);
  for (size_t n = 0; n < count; n++)
    {
      uint32_t part = report_part (nod, pools[n]);
      const struct follower_settings set
          = { .topic = TOPIC_FLEET,
              .part = part,
              .batch_delay_ms = FLEET_BATCH_DELAY_MS,
              .wait_ms = READ_WAIT_MS,
              .timeout_ms = URGENT_TIMEOUT_MS,
              /* No other process reads the demands: tasks without a host wait
                 for this read after an outage.  */
              .retry_max_ms = URGENT_RETRY_MAX_MS,
              .lg = nod->lg };
      if (part != REQUEST_PART && !flt->report_followers[part].priv)
        follower_init (&flt->report_followers[part], nod, &nod->store.st,
                       nod->ev, nod->clk, &set, on_record, on_batch, flt);
    }
}

static void
on_fleet_timer (void *arg)
{
  struct fleet_duty *flt = arg;
  int64_t now_us = clock_now_us (flt->nod->clk);
  bool busy = false;
  flt->timer = NULL;
  if (!flt->active)
    return;
  flt->mgr.cat = flt->nod->cat;
  open_report_followers (flt);
  /* Without the progress that earlier holders recorded, hosts would be
     maintained again, and the first record of a wave would replace it.  */
  if (now_us - flt->nod->confirmed_us < CONFIRM_AGE_MAX_US
      && follower_restarted (&flt->fol))
    {
      withdraw_orphans (flt, now_us);
      busy = host_mgr_step (&flt->mgr, now_us);
      node_fleet_log_pending (flt, now_us);
      node_fleet_log_awaited (flt, now_us);
    }
  read_host_list (flt, busy ? LIST_INTERVAL_BUSY_MS : LIST_INTERVAL_IDLE_MS,
                  now_us);
  flt->timer = timer_add (flt->nod->ev, flt, FLEET_INTERVAL_MS * 1000,
                          on_fleet_timer, flt);
}

int
node_fleet_open_reports (struct held_duty *hld)
{
  struct node *nod = hld->nod;
  char producer[2 * PRODUCER_BYTES];
  snprintf (producer, sizeof producer, "%s.%016" PRIx64 ".%s.%" PRIu64,
            nod->set->name, nod->run_id, hld->pool, hld->token);
  const struct appender_settings set = { .topic = TOPIC_FLEET,
                                         .part = report_part (nod, hld->pool),
                                         .producer = producer,
                                         .epoch = 1,
                                         .lg = nod->lg,
                                         .ctr = &nod->ctr };
  return appender_init (&hld->report_app, nod, &nod->store.st, nod->ev,
                        nod->clk, &set);
}

void
node_fleet_begin (struct node *nod, uint64_t token)
{
  struct fleet_duty *flt = nod->flt;
  const struct host_mgr_ops ops = {
    .vacate = request_vacate,
    .withdraw = withdraw_vacate,
    .vacate_over = log_vacate_over,
    .order = node_fleet_order_host,
    .wave_state = record_wave_progress,
    .arg = flt,
  };
  if (node_fleet_open_log (nod, token, &flt->app, &flt->status_app))
    return;
  flt->active = true;
  flt->token = token;
  flt->next_list_us = 0;
  flt->orders_from_us = node_fleet_orders_begin_us (nod);
  host_mgr_init (&flt->mgr, flt, &ops);
  flt->mgr.maintenance_listed_from_us = clock_now_us (nod->clk) + LIST_LAG_US;
  log_event (nod->lg, EV_DUTY_BEGUN, LOG_S ("duty", DUTY_FLEET),
             LOG_I ("token", token));
  /* Waves, their progress and the demands were ignored before; they are read
     again from the start.  */
  follower_restart (&nod->operator_fol);
  node_fleet_follow (nod);
  follower_restart (&flt->fol);
  open_report_followers (flt);
  node_open_job_partitions (nod);
  on_fleet_timer (flt);
}

void
node_fleet_end (struct node *nod)
{
  struct fleet_duty *flt = nod->flt;
  if (!flt->active)
    return;
  flt->active = false;
  TALLOC_FREE (flt->timer);
  for (int64_t n = 0; n < nod->set->partitions; n++)
    follower_fini (&flt->report_followers[n]);
  host_mgr_fini (&flt->mgr);
  appender_fini (&flt->app);
  appender_fini (&flt->status_app);
  log_event (nod->lg, EV_DUTY_ENDED, LOG_S ("duty", DUTY_FLEET),
             LOG_I ("token", flt->token), LOG_S ("reason", "lost"));
  node_open_job_partitions (nod);
}

/* Notes which requests are those of earlier holders.  */
static void
note_superseded (struct fleet_duty *flt)
{
  const struct duty *dty = duty_find (&flt->nod->duties, DUTY_FLEET);
  struct vacate_request *req, *next;
  HASH_ITER (hh, flt->requests, req, next)
    if (dty && dty->token > req->token && !req->superseded_us)
      req->superseded_us = clock_now_us (flt->nod->clk);
}

/* Withdraws the requests for hosts that no order was sent for.  */
static void
withdraw_requests (struct fleet_duty *flt)
{
  int64_t now_us = clock_now_us (flt->nod->clk);
  for (size_t n = 0; n < flt->mgr.host_count; n++)
    {
      struct mgr_host *host = &flt->mgr.hosts[n];
      if (host->phase == PHASE_VACATING || host->phase == PHASE_EMPTY)
        {
          log_vacate_over (flt, host, "released", "",
                           now_us - host->op_began_us);
          withdraw_vacate (flt, host);
        }
    }
}

void
node_fleet_release (struct node *nod)
{
  struct fleet_duty *flt = nod->flt;
  if (!flt->active)
    return;
  /* The next holder withdraws them only when it has held the duty for some
     time, and the hosts receive no tasks until then.  */
  withdraw_requests (flt);
  /* The store refuses the records once a later holder has begun.  */
  flt->release_app = flt->app;
  flt->app.priv = NULL;
  node_fleet_end (nod);
}

void
node_fleet_owner_changed (struct node *nod, const char *pool)
{
  note_superseded (nod->flt);
  if (nod->flt->active)
    host_mgr_owner_changed (&nod->flt->mgr, pool, clock_now_us (nod->clk));
}

uint64_t
node_fleet_token (const struct node *nod)
{
  return nod->flt->active ? nod->flt->token : 0;
}

bool
node_fleet_add_wave (struct node *nod, const uint8_t *data, size_t len)
{
  struct fleet_duty *flt = nod->flt;
  if (!flt->active)
    return true;
  struct maintenance_wave *wave = wire_decode_wave (flt, data, len);
  if (!wave)
    return false;
  log_event (nod->lg, EV_UPKEEP_WAVE, LOG_I ("wave", wave->number),
             LOG_I ("hosts", wave->host_count),
             LOG_I ("most_out", wave->most_out),
             LOG_I ("duration_ms", wave->duration_ms));
  host_mgr_add_wave (&flt->mgr, flt, wave, clock_now_us (nod->clk));
  return true;
}

static struct vacate_request *
find_request (struct fleet_duty *flt, const char *host)
{
  struct vacate_request *req;
  HASH_FIND_STR (flt->requests, host, req);
  return req;
}

static void
link_request (struct fleet_duty *flt, struct vacate_request *req)
{
  HASH_ADD_KEYPTR (hh, flt->requests, req->host, strlen (req->host), req);
}

static void
end_request (struct fleet_duty *flt, const char *host,
             const char *ended_worker)
{
  struct vacate_request *req = find_request (flt, host);
  flt->request_changes++;
  for (struct held_duty *hld = flt->nod->held_duties; hld; hld = hld->next)
    {
      if (!hld->plc)
        continue;
      if (*ended_worker)
        placer_worker_ended (hld->plc, ended_worker);
      placer_vacate (hld->plc, host, 0);
    }
  if (req)
    HASH_DEL (flt->requests, req);
  talloc_free (req);
}

/* Withdraws the request for HOST from the placers that have refused it.  */
static void
release_kept (struct fleet_duty *flt, const char *host)
{
  struct placer_kept kept;
  for (struct held_duty *hld = flt->nod->held_duties; hld; hld = hld->next)
    if (hld->plc && placer_host_kept (hld->plc, host, &kept))
      placer_vacate (hld->plc, host, 0);
}

static struct vacate_request *
add_request (struct fleet_duty *flt, const char *host)
{
  struct vacate_request *req = find_request (flt, host);
  if (req)
    return req;
  req = talloc_zero (flt, struct vacate_request);
  if (!req)
    return NULL;
  name_copy (req->host, host);
  link_request (flt, req);
  return req;
}

static void
fold_request (struct fleet_duty *flt, const char *host, uint64_t offset,
              const struct topic_entry *ent)
{
  Kingcuphollow__VacateRequest *msg = kingcuphollow__vacate_request__unpack (
      NULL, ent->value_len, ent->value);
  if (!msg)
    return;
  if (msg->until_ms == 0)
    end_request (flt, host, msg->ended_worker);
  else
    {
      struct vacate_request *req = add_request (flt, host);
      struct mgr_host *managed = flt->active && msg->token == flt->token
                                     ? host_mgr_find (&flt->mgr, host)
                                     : NULL;
      /* A host that was kept for the earlier request is asked for anew.  */
      if (req && req->offset != offset)
        release_kept (flt, host);
      if (req)
        {
          if (req->token != msg->token)
            req->superseded_us = 0;
          req->offset = offset;
          req->until_ms = (int64_t)msg->until_ms;
          req->token = msg->token;
          req->move = msg->move;
          req->withdrawn = false;
          flt->request_changes++;
        }
      note_superseded (flt);
      if (managed)
        host_mgr_request_read (&flt->mgr, managed, offset,
                               clock_now_us (flt->nod->clk));
    }
  kingcuphollow__vacate_request__free_unpacked (msg, NULL);
  wake_placers (flt->nod);
}

static void
fold_report (struct fleet_duty *flt, const char *host,
             const struct topic_entry *ent)
{
  if (!flt->active || ent->value_len == 0)
    return;
  Kingcuphollow__VacateReport *msg = kingcuphollow__vacate_report__unpack (
      NULL, ent->value_len, ent->value);
  if (!msg)
    return;
  const struct mgr_host *managed = host_mgr_find (&flt->mgr, host);
  const struct duty *dty
      = managed ? duty_find (&flt->nod->duties, managed->rep.pool) : NULL;
  int64_t now_us = clock_now_us (flt->nod->clk);
  bool present = !dty || msg->token >= dty->token; /* of the present owner */
  if (present && msg->refused)
    host_mgr_host_refused (&flt->mgr, host, msg->request_offset, msg->reason,
                           now_us);
  else if (present)
    host_mgr_host_emptied (&flt->mgr, host, msg->request_offset, now_us);
  kingcuphollow__vacate_report__free_unpacked (msg, NULL);
}

static void
fold_demand (struct fleet_duty *flt, const char *pool,
             const struct topic_entry *ent)
{
  if (!flt->active || ent->value_len == 0)
    return;
  Kingcuphollow__PoolDemand *msg
      = kingcuphollow__pool_demand__unpack (NULL, ent->value_len, ent->value);
  if (!msg)
    return;
  char (*idle)[NAME_BYTES]
      = talloc_zero_size (flt, (msg->n_idle_hosts + 1) * sizeof *idle);
  for (size_t n = 0; idle && n < msg->n_idle_hosts; n++)
    name_copy (idle[n], msg->idle_hosts[n]);
  const struct pool_demand dem = { .pool = pool,
                                   .short_hosts = msg->short_hosts,
                                   .urgent_hosts = msg->urgent_hosts,
                                   .needed_hosts = msg->needed_hosts,
                                   .placeless_hosts = msg->placeless_hosts,
                                   .needed_label = msg->needed_label,
                                   .idle = idle,
                                   .idle_count = idle ? msg->n_idle_hosts : 0,
                                   .busy_milli = msg->busy_milli };
  host_mgr_set_demand (&flt->mgr, &dem, clock_now_us (flt->nod->clk));
  kingcuphollow__pool_demand__free_unpacked (msg, NULL);
}

static void
fold_wave_progress (struct fleet_duty *flt, const char *name,
                    const struct topic_entry *ent)
{
  if (!flt->active || ent->value_len == 0)
    return;
  Kingcuphollow__WaveProgress *msg = kingcuphollow__wave_progress__unpack (
      NULL, ent->value_len, ent->value);
  if (!msg)
    return;
  uint64_t number = strtoull (name, NULL, 10);
  for (size_t n = 0; n < msg->n_done_hosts; n++)
    host_mgr_add_progress (&flt->mgr, flt, number, msg->done_hosts[n]);
  /* A late record of an earlier holder replaces the newest one of its key.  */
  for (size_t n = 0; n < flt->mgr.wave_count; n++)
    if (flt->mgr.waves[n].number == number && msg->token != flt->token
        && flt->mgr.waves[n].done_count > msg->n_done_hosts)
      record_wave_progress (flt, &flt->mgr.waves[n]);
  kingcuphollow__wave_progress__free_unpacked (msg, NULL);
}

static void
on_record (void *arg, const struct topic_record *rec)
{
  struct fleet_duty *flt = arg;
  const struct topic_entry *ent = &rec->entry;
  char name[NAME_BYTES];
  if (ent->key_len < 3 || ent->key_len - 2 >= NAME_BYTES)
    return;
  name_copy_len (name, ent->key + 2, ent->key_len - 2);
  switch (ent->key[0])
    {
    case VACATE_REQUEST_KEY:
      fold_request (flt, name, rec->offset, ent);
      return;
    case VACATE_REPORT_KEY:
      fold_report (flt, name, ent);
      return;
    case FLEET_DEMAND_KEY:
      fold_demand (flt, name, ent);
      return;
    case WAVE_PROGRESS_KEY:
      fold_wave_progress (flt, name, ent);
      return;
    }
}

static void
on_batch (void *arg)
{
}

void
node_fleet_report (struct held_duty *hld)
{
  node_fleet_answer_requests (hld);
  node_fleet_report_demand (hld);
  /* The list shows on which hosts a worker was replaced; the placer need not
     wait for a response of the earlier worker there.  */
  if (placer_needs_host_list (hld->plc))
    read_host_list (hld->nod->flt, LIST_INTERVAL_OWNER_MS,
                    clock_now_us (hld->nod->clk));
}

void
node_fleet_set_batch_delay (struct node *nod, int64_t batch_delay_ms)
{
  if (follower_is_open (&nod->flt->fol))
    follower_set_batch_delay (&nod->flt->fol, batch_delay_ms);
}

void
node_fleet_retry_within (struct node *nod, int64_t ms)
{
  if (follower_is_open (&nod->flt->fol))
    follower_retry_within (&nod->flt->fol, ms);
}

bool
node_fleet_caught_up (const struct node *nod)
{
  return follower_is_open (&nod->flt->fol)
         && follower_caught_up (&nod->flt->fol);
}

void
node_fleet_follow (struct node *nod)
{
  struct fleet_duty *flt = nod->flt;
  const char *name = nod->set->name;
  const struct follower_settings set
      = { .topic = TOPIC_FLEET,
          .batch_delay_ms = FLEET_BATCH_DELAY_MS,
          .wait_ms = READ_WAIT_MS,
          .seed = XXH64 (name, strlen (name), 0),
          .lg = nod->lg };
  if (!follower_is_open (&flt->fol))
    follower_init (&flt->fol, flt, &nod->store.st, nod->ev, nod->clk, &set,
                   on_record, on_batch, flt);
}

void
node_fleet_unfollow (struct node *nod)
{
  struct fleet_duty *flt = nod->flt;
  struct vacate_request *req, *next;
  if (!follower_is_open (&flt->fol))
    return;
  follower_fini (&flt->fol);
  flt->request_changes++;
  HASH_ITER (hh, flt->requests, req, next)
    {
      HASH_DEL (flt->requests, req);
      talloc_free (req);
    }
}

int
node_open_fleet (struct node *nod)
{
  struct fleet_duty *flt = nod->flt = talloc_zero (nod, struct fleet_duty);
  if (!flt)
    return ERR_NOMEM;
  flt->nod = nod;
  flt->report_followers
      = talloc_zero_array (flt, struct follower, nod->set->partitions);
  if (!flt->report_followers)
    return ERR_NOMEM;
  return node_fleet_open_progress (nod, &flt->progress_app);
}
