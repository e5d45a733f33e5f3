#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>
#include <xxhash.h>

#include "base/err.h"
#include "node/node_priv.h"
#include "proto/job.pb-c.h"
#include "store/read_pace.h"

/* Duty claims and the pools' duties of this process: it claims duties without
   a live holder and runs a placer for each pool that it owns.  */

/* Claims are delivered as soon as they are appended; a read that ends without
   one confirms the duties.  */
#define DUTIES_READ_WAIT_MS 600
/* Reports of other members are late while the store is slow.  The time after
   which a silent member is considered dead grows by this number of round trips
   of this process's own reports, up to the maximum.  */
#define MEMBER_SLACK_ROUND_TRIPS 3
#define MEMBER_SLACK_MAX_US 4000000
/* A process claims duties only after it has run for this time, so that the
   first duties spread over members that start together.  */
#define CLAIM_START_DELAY_US 700000
/* Pause after a failed read of the claims that does not wait for new ones.  */
#define CONFIRM_RETRY_US 200000
/* Claims of several duties conflict when all processes start at once; a
   process retries after a pseudo-random part of this time.  */
#define CLAIM_BACKOFF_US 60000
/* Time between two claims of a duty that this process holds already.  */
#define RECLAIM_INTERVAL_US 500000
/* Time between two checks of the pools without a queue.  Each goes through all
   jobs, and the duties are checked after each batch of records.  */
#define QUEUELESS_INTERVAL_US 500000
static int64_t
lower (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

/* Whether this process knows enough to claim a duty.  The claim itself needs
   that all earlier ones have been read.  */
static bool
caught_up (const struct node *nod)
{
  return nod->cat && nod->roster.role == ROSTER_CONTROLLER
         && follower_caught_up (&nod->member_fol)
         && follower_caught_up (&nod->duty_fol) && node_fleet_caught_up (nod)
         && follower_is_open (&nod->directory_fol)
         && follower_caught_up (&nod->directory_fol);
}

/* Whether the records that the holder of the duty NAME works from are known as
   they were a short time ago.  */
static bool
duty_view_current (struct node *nod, const char *name)
{
  return strcmp (name, DUTY_FLEET) == 0
             ? node_jobs_current (nod) && node_view_current (nod)
             : node_pool_current (nod, name);
}

struct held_duty *
node_held_duty (const struct node *nod, const char *pool)
{
  for (struct held_duty *hld = nod->held_duties; hld; hld = hld->next)
    if (!hld->refused && strcmp (hld->pool, pool) == 0)
      return hld;
  return NULL;
}

static void
set_confirmed (struct node *nod, int64_t at_us)
{
  if (at_us > nod->confirmed_us)
    nod->confirmed_us = at_us;
  for (struct held_duty *hld = nod->held_duties; hld; hld = hld->next)
    if (hld->plc)
      placer_confirm_ownership (hld->plc, nod->confirmed_us);
}

static void
on_confirm_read (void *arg, const struct topic_read_result *res)
{
  struct node *nod = arg;
  nod->confirm_in_progress = false;
  if (res->err)
    nod->next_confirm_us = clock_now_us (nod->clk) + CONFIRM_RETRY_US;
  /* Claims that this read found are handled when the follower reads them.  */
  if (res->err || res->count > 0 || res->end_offset > nod->confirm_offset)
    return;
  set_confirmed (nod, nod->confirm_sent_us);
  for (struct held_duty *hld = nod->held_duties; hld; hld = hld->next)
    if (hld->plc)
      node_schedule_placer (hld, 0);
}

void
node_request_confirmation (struct node *nod)
{
  if (nod->confirm_in_progress
      || clock_now_us (nod->clk) < nod->next_confirm_us)
    return;
  nod->confirm_sent_us = clock_now_us (nod->clk);
  nod->confirm_offset = follower_next_offset (&nod->duty_fol);
  nod->confirm_in_progress
      = topic_read (&nod->store.st, TOPIC_DUTIES, 0, nod->confirm_offset,
                    READ_PACE_PAGE_MIN_KB, 0, 0, on_confirm_read, nod)
        == 0;
}

static void
wake_placer (void *arg)
{
  node_schedule_placer (arg, 0);
}

static int64_t
log_read_us (void *arg)
{
  const struct held_duty *hld = arg;
  return follower_consistent (&hld->prt->fol)
             ? follower_caught_up_us (&hld->prt->fol)
             : 0;
}

static int64_t
others_read_us (void *arg)
{
  return node_others_read_us (arg);
}

static int64_t
workers_read_us (void *arg)
{
  const struct held_duty *hld = arg;
  const struct follower *fol = &hld->nod->directory_fol;
  return follower_is_open (fol) ? follower_caught_up_us (fol) : 0;
}

static void
end_held_duty (struct held_duty *hld, const char *reason)
{
  struct node *nod = hld->nod;
  struct held_duty **pos = &nod->held_duties;
  while (*pos && *pos != hld)
    pos = &(*pos)->next;
  if (*pos)
    *pos = hld->next;
  log_event (nod->lg, EV_DUTY_ENDED, LOG_S ("duty", hld->pool),
             LOG_I ("token", hld->token), LOG_S ("reason", reason));
  if (hld->plc)
    placer_destroy (hld->plc);
  appender_fini (&hld->app);
  appender_fini (&hld->report_app);
  appender_fini (&hld->states_app);
  talloc_free (hld);
  node_open_job_partitions (nod);
}

static void
add_known_workers (struct held_duty *hld)
{
  struct node *nod = hld->nod;
  struct pool_workers *row;
  HASH_FIND_STR (nod->pool_workers, hld->pool, row);
  if (row)
    placer_add_earlier_record (hld->plc, row->data, row->len, row->read_us);
  for (struct worker_entry *ent = nod->directory; ent; ent = ent->hh.next)
    node_tell_placer (hld, ent->rep.id, &ent->rep);
}

static int64_t
lease_ms (const struct node *nod)
{
  return lower (nod->set->lease_ms, nod->set->lease_max_ms);
}

static void
activate (struct held_duty *hld)
{
  struct node *nod = hld->nod;
  const struct placer_settings set = {
    .pool = hld->pool,
    .token = hld->token,
    .token_count = hld->token_count,
    .fence_offset = hld->fence_offset,
    .lease_ms = lease_ms (nod),
    .lease_max_ms = nod->set->lease_max_ms,
    .confirm_ms = nod->set->confirm_ms,
    .start_confirm_ms
    = lower (nod->set->start_confirm_ms, nod->set->confirm_ms),
    .confirmed_us = nod->confirmed_us,
  };
  const struct placer_env env = {
    .clk = nod->clk,
    .lg = nod->lg,
    .ctr = &nod->ctr,
    .lnk = &nod->worker_link.lnk,
    .jobs = &nod->jobs,
    .cat = (const struct catalog *const *)&nod->cat,
    .persist = duty_persist,
    .persist_first = duty_persist_first,
    .log_read_us = log_read_us,
    .others_read_us = others_read_us,
    .pool_read_us = node_pool_read_us,
    .workers_read_us = workers_read_us,
    .wake = wake_placer,
    .arg = hld,
  };
  hld->plc = placer_create (nod, &set, &env);
  if (!hld->plc)
    return;
  placer_limit_earlier_leases (
      hld->plc, duty_earlier_leases_end_us (
                    &nod->duties, duty_find (&nod->duties, hld->pool)));
  admission_init (&hld->adm, clock_now_us (nod->clk));
  hld->logged_permille = ADMISSION_ALL;
  hld->phase = HELD_DUTY_ACTIVE;
  log_event (nod->lg, EV_DUTY_BEGUN, LOG_S ("duty", hld->pool),
             LOG_I ("token", hld->token),
             LOG_I ("fence_offset", hld->fence_offset));
  add_known_workers (hld);
  node_publish_all (hld);
  node_schedule_placer (hld, 0);
}

static void
on_fenced (void *arg, enum appender_outcome out, uint64_t offset)
{
  struct held_duty *hld = arg;
  if (out != APPENDER_DONE)
    {
      hld->refused = true;
      return;
    }
  /* An unknown offset becomes known when the fence is read.  */
  if (!hld->fence_read)
    hld->fence_offset = offset;
  hld->phase = HELD_DUTY_CATCHING_UP;
}

static void
begin_held_duty (struct node *nod, const struct duty *dty)
{
  char producer[PRODUCER_BYTES];
  char key[DUTY_KEY_BYTES];
  char token[TOKEN_TEXT_BYTES];
  struct held_duty *hld = talloc_zero (nod, struct held_duty);
  if (!hld)
    return;
  hld->nod = nod;
  name_copy (hld->pool, dty->name);
  hld->token = dty->token;
  hld->token_count = dty->token_count;
  hld->prt = node_job_partition (nod, dty->name);
  snprintf (producer, sizeof producer, "owner.%s", dty->name);
  const struct appender_settings set = { .topic = TOPIC_JOBS,
                                         .part = hld->prt->part,
                                         .producer = producer,
                                         .epoch = dty->token,
                                         .shared_name = true,
                                         .lg = nod->lg,
                                         .ctr = &nod->ctr };
  snprintf (key, sizeof key, FENCE_PREFIX "%s", dty->name);
  snprintf (token, sizeof token, "%" PRIu64, dty->token);
  const struct topic_entry ent = { .key = key,
                                   .key_len = strlen (key),
                                   .value = (const uint8_t *)token,
                                   .value_len = strlen (token) };
  /* The appender is a child of NOD because an append in progress outlives the
     duty.  */
  if (appender_init (&hld->app, nod, &nod->store.st, nod->ev, nod->clk, &set)
      || node_fleet_open_reports (hld) || node_open_states (hld)
      || appender_add (&hld->app, &ent, true, on_fenced, hld))
    {
      appender_fini (&hld->app);
      appender_fini (&hld->report_app);
      appender_fini (&hld->states_app);
      talloc_free (hld);
      return;
    }
  hld->next = nod->held_duties;
  nod->held_duties = hld;
  node_open_job_partitions (nod);
}

static void
check_fleet (struct node *nod)
{
  const struct duty *dty = duty_find (&nod->duties, DUTY_FLEET);
  bool held = duty_held_by (dty, nod->set->name, nod->boot);
  uint64_t token = node_fleet_token (nod);
  if (token && (!held || dty->token != token))
    node_fleet_end (nod);
  if (held && !nod->stopping && node_fleet_token (nod) == 0)
    node_fleet_begin (nod, dty->token);
}

static void
note_refused (struct node *nod, uint64_t token)
{
  nod->refused_tokens[nod->refused_count++ % REFUSED_TOKENS_MAX] = token;
}

/* Whether the store has refused appends under TOKEN.  It refuses them for
   good, or would take those of another appender for repeats.  */
static bool
token_refused (const struct node *nod, uint64_t token)
{
  for (size_t n = 0; n < REFUSED_TOKENS_MAX; n++)
    if (nod->refused_tokens[n] == token)
      return true;
  return false;
}

/* A record of an earlier run with a higher value than this run's would make
   the other members ignore its reports.  */
static void
check_boot (struct node *nod)
{
  uint64_t boot = duty_boot (&nod->duties, nod->set->name, nod->boot);
  if (boot == nod->boot)
    return;
  log_event (nod->lg, EV_NODE_BOOT_RAISED, LOG_S ("name", nod->set->name),
             LOG_I ("from", nod->boot), LOG_I ("to", boot));
  nod->boot = boot;
}

static void
check_held_duties (struct node *nod)
{
  check_boot (nod);
  check_fleet (nod);
  struct held_duty *next;
  for (struct held_duty *hld = nod->held_duties; hld; hld = next)
    {
      next = hld->next;
      const struct duty *dty = duty_find (&nod->duties, hld->pool);
      if (hld->refused || !duty_held_by (dty, nod->set->name, nod->boot)
          || dty->token != hld->token)
        {
          if (hld->refused)
            note_refused (nod, hld->token);
          end_held_duty (hld, "lost");
          continue;
        }
      if (hld->phase == HELD_DUTY_CATCHING_UP
          && follower_next_offset (&hld->prt->fol) > hld->fence_offset)
        activate (hld);
      if (hld->plc)
        placer_limit_earlier_leases (
            hld->plc, duty_earlier_leases_end_us (&nod->duties, dty));
    }
}

static void
on_claim_timer (void *arg)
{
  struct node *nod = arg;
  nod->claim_timer = NULL;
  node_check_duties (nod);
}

static void
on_claim_appended (void *arg, const struct topic_append_result *res)
{
  struct node *nod = arg;
  nod->claim_in_progress = false;
  if (res->status == TOPIC_APPENDED)
    nod->claim_end_offset = res->end_offset;
  /* Who holds the duty follows from the records that are read.  Only a claim
     that lost to a concurrent append is retried.  */
  if (res->status != TOPIC_END_MISMATCH)
    return;
  nod->conflict_end_offset = res->end_offset;
  nod->conflict_us = clock_now_us (nod->clk);
  const char *name = nod->set->name;
  int64_t next_us = clock_now_us (nod->clk)
                    + (int64_t)(XXH64 (name, strlen (name),
                                       nod->boot + nod->claim_conflicts++)
                                % CLAIM_BACKOFF_US);
  if (nod->next_claim_us < next_us)
    nod->next_claim_us = next_us;
  if (!nod->claim_timer)
    nod->claim_timer
        = timer_add (nod->ev, nod, CLAIM_BACKOFF_US, on_claim_timer, nod);
}

/* Appends a claim of the duty NAME, on condition that no other record of the
   duties was appended since this process last read them.  */
static int
append_claim (struct node *nod, const char *name)
{
  struct earlier_holders earlier;
  duty_state_earlier (&nod->duties, name, clock_now_us (nod->clk), &earlier);
  const struct duty_claim claim
      = { .name = name,
          .holder = nod->set->name,
          .boot = nod->boot,
          .token_count = strcmp (name, DUTY_FLEET) == 0 ? 1 : TOKENS_RESERVED,
          .earlier = &earlier };
  return duty_record_append (nod, &claim, 1, on_claim_appended);
}

static void
on_release_appended (void *arg, const struct topic_append_result *res)
{
  struct node *nod = arg;
  /* Without success the duties that are still held are released again when
     records have been read.  */
  nod->release_in_progress = false;
  if (res->status == TOPIC_APPENDED)
    nod->claim_end_offset = res->end_offset;
}

/* Whether the records that this process appended last have not been read.  */
static bool
own_records_unread (const struct node *nod)
{
  return follower_next_offset (&nod->duty_fol) < nod->claim_end_offset;
}

/* Whether a claim lost to records that have not been read: the next one would
   lose to them as well, and 12 controllers would repeat theirs every 60 ms
   when all have restarted.  A read that began later and reached the end has
   shown all records.  */
static bool
conflict_unread (const struct node *nod)
{
  return follower_next_offset (&nod->duty_fol) < nod->conflict_end_offset
         && follower_caught_up_us (&nod->duty_fol) <= nod->conflict_us;
}

/* Releases the duties that this process holds according to the records read,
   among them those whose claim succeeded after the stop signal.  */
static void
append_releases (struct node *nod)
{
  struct duty_claim claims[DUTIES_MAX];
  struct earlier_holders earlier[DUTIES_MAX];
  size_t count = 0;
  if (nod->release_in_progress || own_records_unread (nod))
    return;
  for (size_t n = 0; n < nod->duties.duty_count; n++)
    {
      const struct duty *dty = &nod->duties.duties[n];
      if (!duty_held_by (dty, nod->set->name, nod->boot))
        continue;
      duty_state_release (&nod->duties, dty, clock_now_us (nod->clk),
                          &earlier[count]);
      claims[count] = (struct duty_claim){
        .name = dty->name,
        .holder = nod->set->name,
        .boot = nod->boot,
        .released = true,
        .released_token = dty->token,
        .cleared = duty_only_last_leases (&nod->duties, &earlier[count]),
        .earlier = &earlier[count],
      };
      count++;
    }
  nod->release_in_progress
      = count > 0
        && duty_record_append (nod, claims, count, on_release_appended) == 0;
}

int64_t
node_members_slack_us (const struct node *nod)
{
  int64_t round_trip_us = appender_round_trip_us (&nod->member_app);
  int64_t stalled_us = appender_pending_us (&nod->member_app);
  int64_t slack_us = (stalled_us > round_trip_us ? stalled_us : round_trip_us)
                     * MEMBER_SLACK_ROUND_TRIPS;
  return slack_us < MEMBER_SLACK_MAX_US ? slack_us : MEMBER_SLACK_MAX_US;
}

static void
check_duty (struct node *nod, const char *name)
{
  const struct duty *dty = duty_find (&nod->duties, name);
  int64_t now_us = clock_now_us (nod->clk);
  bool held = duty_held_by (dty, nod->set->name, nod->boot);
  if (held && (strcmp (name, DUTY_FLEET) == 0 || node_held_duty (nod, name)))
    return;
  if (held && !token_refused (nod, dty->token))
    {
      begin_held_duty (nod, dty);
      return;
    }
  const struct duty_view view
      = { .self = nod->set->name,
          .now_us = now_us,
          .reports_read_us = nod->members_current_us,
          .reads_resumed_us = nod->members_resumed_us,
          .unclaimed_since_us = nod->started_us + CLAIM_START_DELAY_US,
          .slack_us = node_members_slack_us (nod) };
  /* The next claim is made only after the last one has been read.  */
  if (nod->claim_in_progress || own_records_unread (nod)
      || conflict_unread (nod) || now_us < view.unclaimed_since_us
      || now_us < nod->next_claim_us
      || !(held || duty_should_claim (&nod->duties, name, &view))
      || !duty_view_current (nod, name))
    return;
  /* The duty is held under a token that is of no use any more.  If a later
     owner is the cause, its claim was appended and this one fails.  */
  if (held)
    nod->next_claim_us = now_us + RECLAIM_INTERVAL_US;
  if (append_claim (nod, name) == 0)
    {
      nod->claim_in_progress = true;
      log_event (
          nod->lg, EV_DUTY_CLAIMED, LOG_S ("duty", name),
          LOG_S ("from", dty ? dty->holder : ""),
          LOG_I ("members", duty_count_live_members (&nod->duties, now_us)));
    }
}

static bool
pool_has_queue (struct node *nod, const char *pool)
{
  size_t count;
  const char *const *pools = node_queue_pools (nod, &count);
  for (size_t n = 0; n < count; n++)
    if (strcmp (pools[n], pool) == 0)
      return true;
  return false;
}

static bool
pool_has_unended_jobs (const struct node *nod, const char *pool)
{
  for (const struct job *job = nod->jobs.by_id; job; job = job->hh.next)
    if ((!job_ended (job) && strcmp (job->pool, pool) == 0)
        || (job->contested && job_table_find_in (&nod->jobs, job->id, pool)))
      return true;
  return false;
}

/* Checks the duties for pools whose queues were removed from the
   configuration: their accepted jobs still have to be done.  */
static void
check_duties_without_queue (struct node *nod)
{
  int64_t now_us = clock_now_us (nod->clk);
  if (now_us < nod->next_queueless_us)
    return;
  nod->next_queueless_us = now_us + QUEUELESS_INTERVAL_US;
  for (size_t n = 0; n < nod->duties.duty_count; n++)
    {
      const char *name = nod->duties.duties[n].name;
      if (strcmp (name, DUTY_FLEET) == 0 || pool_has_queue (nod, name))
        continue;
      /* Follows the partition if it was not followed yet.  */
      const struct job_partition *prt = node_job_partition (nod, name);
      if (prt && follower_is_open (&prt->fol) && follower_caught_up (&prt->fol)
          && pool_has_unended_jobs (nod, name))
        check_duty (nod, name);
    }
}

void
node_check_duties (struct node *nod)
{
  check_held_duties (nod);
  if (nod->stopping)
    append_releases (nod);
  if (nod->stopping || !caught_up (nod))
    return;
  size_t count;
  const char *const *pools = node_queue_pools (nod, &count);
  for (size_t n = 0; n < count; n++)
    check_duty (nod, pools[n]);
  check_duties_without_queue (nod);
  if (*nod->set->fleet_api)
    check_duty (nod, DUTY_FLEET);
}

void
node_release_duties (struct node *nod)
{
  node_fleet_release (nod);
  while (nod->held_duties)
    {
      struct held_duty *hld = nod->held_duties;
      duty_stop_holding (&nod->duties, hld->pool, clock_now_us (nod->clk),
                         hld->plc == NULL);
      end_held_duty (hld, "stopping");
    }
  append_releases (nod);
}

static void
on_duty_record (void *arg, const struct topic_record *rec)
{
  struct node *nod = arg;
  char name[NAME_BYTES];
  if (!node_parse_key (&rec->entry, CLAIM_KEY, name)
      && !node_parse_key (&rec->entry, RELEASE_KEY, name))
    return;
  const struct duty *dty = duty_find (&nod->duties, name);
  uint64_t token = dty ? dty->token : 0;
  int err
      = duty_record_fold (&nod->duties, name, rec, clock_now_us (nod->clk));
  if (err)
    log_event (nod->lg, EV_RECORD_INVALID, LOG_S ("topic", TOPIC_DUTIES),
               LOG_I ("offset", rec->offset), LOG_S ("error", err_name (err)));
  dty = duty_find (&nod->duties, name);
  if (dty && dty->token > token)
    node_fleet_owner_changed (nod, name);
}

/* A read of the duties succeeds at least this often while the store answers.
 */
#define DUTIES_READ_GAP_US                                                    \
  ((DUTIES_READ_WAIT_MS + URGENT_TIMEOUT_MS) * (int64_t)1000)

/* All claims appended before the read was sent are known now, so the duties
   that are still held are confirmed up to that time.  */
static void
on_duty_batch (void *arg)
{
  struct node *nod = arg;
  int64_t read_us = follower_caught_up_us (&nod->duty_fol);
  if (read_us > nod->duties_read_us + DUTIES_READ_GAP_US)
    node_retry_reads (nod);
  nod->duties_read_us = read_us;
  check_held_duties (nod);
  set_confirmed (nod, follower_caught_up_us (&nod->duty_fol));
  node_check_duties (nod);
}

int
node_open_duties (struct node *nod)
{
  const char *name = nod->set->name;
  const struct holder_limits limits
      = { .command_us = nod->set->confirm_ms * 1000,
          .lease_us = placer_lease_span_us (nod->set->lease_max_ms),
          .unstated_lease_us = placer_lease_span_us (lease_ms (nod)) };
  const struct follower_settings set
      = { .topic = TOPIC_DUTIES,
          .wait_ms = DUTIES_READ_WAIT_MS,
          .retry_max_ms = URGENT_RETRY_MAX_MS,
          .timeout_ms = URGENT_TIMEOUT_MS,
          .seed = XXH64 (name, strlen (name), 0),
          .lg = nod->lg };
  duty_set_limits (&nod->duties, &limits);
  int err = follower_init (&nod->duty_fol, nod, &nod->store.st, nod->ev,
                           nod->clk, &set, on_duty_record, on_duty_batch, nod);
  return err ? err : node_open_members (nod);
}
