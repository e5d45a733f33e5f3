#include "entry/control.h"

#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <talloc.h>
#include <tevent.h>
#include <xxhash.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/err.h"
#include "base/log.h"
#include "entry/control_priv.h"
#include "entry/operator.h"
#include "entry/traffic.h"
#include "entry/view_build.h"
#include "store/log_store.h"

/* A snapshot is due after this many records, so that a process that starts
   with empty memory reads at most about as many.  */
#define SNAPSHOT_AFTER_RECORDS 4096
/* With fewer records, a snapshot is due once the last one is this old, well
   below the log's retention, which is days.  */
#define SNAPSHOT_AFTER_US (3600 * (int64_t)1000000)
#define SNAPSHOT_JITTER_US 10000000
#define SNAPSHOT_TIMEOUT_MS 30000

static void poll_hosts (struct control *ctl);

void
control_post (struct control *ctl, struct message *msg)
{
  if (!ctl->traffic || !mailbox_post (traffic_mailbox (ctl->traffic), msg))
    free (msg);
}

static void
post_view (struct control *ctl)
{
  if (!ctl->traffic || !ctl->view)
    return;
  struct message_view *msg = message_new (MSG_VIEW, sizeof *msg);
  if (!msg)
    return;
  msg->view = view_ref (ctl->view);
  if (!mailbox_post (traffic_mailbox (ctl->traffic), &msg->base))
    {
      view_unref (msg->view);
      free (msg);
    }
}

static int
compare_host (const void *key, const void *item)
{
  const struct fold_host *const *host = item;
  return strcmp (key, (*host)->host);
}

const char *
control_assigned_pool (const void *arg, const char *host)
{
  const struct fold *fold = arg;
  struct fold_host **found
      = fold->host_count ? bsearch (host, fold->hosts, fold->host_count,
                                    sizeof (struct fold_host *), compare_host)
                         : NULL;
  return found ? (*found)->pool : NULL;
}

static void
rebuild_view (struct control *ctl)
{
  struct view *vw;
  if (!ctl->hosts || !ctl->table_loaded)
    return;
  const struct fold *fold = state_fold (&ctl->state);
  const struct view_input in = {
    .previous = ctl->view,
    .hosts = ctl->hosts,
    .table = fold->table,
    .data_centre = ctl->set.data_centre,
    .assignment = control_assigned_pool,
    .assignment_arg = fold,
    .folded_offset = fold->next_offset,
  };
  int err = view_build (&in, &vw);
  if (err)
    {
      log_event (ctl->lg, EV_VIEW_FAILED, LOG_S ("error", err_name (err)));
      return;
    }
  view_unref (ctl->view);
  ctl->view = vw;
  post_view (ctl);
  if (ctl->peers.priv && !ctl->draining)
    peers_set_ready (&ctl->peers, true);
  control_waves_update (ctl, true);
}

/* The first call comes once the fold has reached the end of the log, so that a
   process that starts with empty memory never serves with an outdated
   table.  */
static void
on_state_change (void *arg, const struct fold *fold)
{
  struct control *ctl = arg;
  ctl->table_loaded = true;
  if (ctl->peers.priv)
    peers_set_folded_offset (&ctl->peers, fold->next_offset);
  log_event (ctl->lg, EV_TABLE_IN_FORCE, LOG_I ("offset", fold->next_offset),
             LOG_I ("rows", fold->table->count));
  rebuild_view (ctl);
}

static void
on_snapshot_written (void *arg, int err)
{
  struct control *ctl = arg;
  ctl->snapshot_in_progress = false;
}

/* Every process may write the snapshot.  A new random delay before each one
   makes it likely that one process has written it before the delays of the
   others end.  A second snapshot is harmless.  */
static void
write_snapshot_if_due (struct control *ctl)
{
  int64_t now = clock_now_us (ctl->clk);
  uint64_t records = state_records_since_snapshot (&ctl->state);
  bool due
      = records >= SNAPSHOT_AFTER_RECORDS
        || (records > 0 && now - ctl->last_snapshot_us >= SNAPSHOT_AFTER_US);
  if (records == 0)
    ctl->last_snapshot_us = now;
  if (!due || ctl->snapshot_in_progress || !state_ready (&ctl->state))
    {
      ctl->next_snapshot_us = 0;
      return;
    }
  if (ctl->next_snapshot_us == 0)
    ctl->next_snapshot_us
        = now + (int64_t)(erand48 (ctl->jitter_state) * SNAPSHOT_JITTER_US);
  if (now < ctl->next_snapshot_us)
    return;
  ctl->next_snapshot_us = 0;
  ctl->last_snapshot_us = now;
  ctl->snapshot_in_progress
      = state_write_snapshot (&ctl->state, SNAPSHOT_TIMEOUT_MS,
                              on_snapshot_written, ctl)
        == 0;
}

static void
on_hosts_timer (struct tevent_context *ev, struct tevent_timer *te,
                struct timeval tv, void *arg)
{
  write_snapshot_if_due (arg);
  control_peers_update_entry_count (arg);
  poll_hosts (arg);
}

static void
hosts_failed (struct control *ctl, int err)
{
  if (!ctl->hosts_stale)
    log_event (ctl->lg, EV_HOSTS_STALE, LOG_S ("error", err_name (err)));
  ctl->hosts_stale = true;
}

static void
hosts_loaded (struct control *ctl, struct host_list *list)
{
  ctl->hosts_stale = false;
  ctl->hosts_loaded_us = clock_now_us (ctl->clk);
  if (ctl->hosts && ctl->hosts->version == list->version)
    {
      talloc_free (list);
      control_waves_update (ctl, false);
      return;
    }
  log_event (ctl->lg, EV_HOSTS_LOADED, LOG_I ("version", list->version),
             LOG_I ("hosts", list->count));
  talloc_free (ctl->hosts);
  ctl->hosts = list;
  rebuild_view (ctl);
}

static void
on_hosts (void *arg, const struct hosts_result *res)
{
  struct control *ctl = arg;
  struct host_list *list;
  int err = res->err;
  uint64_t digest = err ? 0 : XXH3_64bits (res->json, res->len);
  /* An unchanged list is not parsed again: parsing it at each poll took most
     of an idle process's time.  */
  bool unchanged = !err && ctl->hosts && digest == ctl->hosts_digest;

  if (!err && !unchanged)
    err = host_list_parse (ctl, res->json, res->len, &list);
  if (err)
    hosts_failed (ctl, err);
  else if (unchanged)
    {
      ctl->hosts_stale = false;
      ctl->hosts_loaded_us = clock_now_us (ctl->clk);
      control_waves_update (ctl, false);
    }
  else
    {
      ctl->hosts_digest = digest;
      hosts_loaded (ctl, list);
    }
  ctl->hosts_timer = tevent_add_timer (
      ctl->ev, ctl,
      tevent_timeval_current_ofs (ctl->set.hosts_poll_ms / 1000,
                                  ctl->set.hosts_poll_ms % 1000 * 1000),
      on_hosts_timer, ctl);
}

static void
poll_hosts (struct control *ctl)
{
  int err = log_store_read_hosts (ctl->store, on_hosts, ctl);
  if (err)
    {
      const struct hosts_result res = { .err = err };
      on_hosts (ctl, &res);
    }
}

static void
on_message (void *arg, struct message *msg)
{
  struct control *ctl = arg;
  switch ((enum message_type)msg->type)
    {
    case MSG_CLAIM:
      control_claim_key (ctl, (struct message_claim *)msg);
      break;
    case MSG_CLAIM_RELEASE:
      control_release_claim (ctl, (struct message_claim_release *)msg);
      break;
    case MSG_CLAIM_RESULT:
      control_record_result (ctl, (struct message_claim_result *)msg);
      break;
    case MSG_OWN_LOAD:
      control_peers_publish_load (ctl, (struct message_own_load *)msg);
      break;
    case MSG_OWN_HEALTH:
      control_peers_publish_health (ctl, (struct message_own_health *)msg);
      break;
    case MSG_STATUS:
      control_operator_answer_status (ctl, (struct message_status *)msg);
      break;
    case MSG_TRACES:
      control_operator_answer_traces (ctl, (struct message_traces *)msg);
      break;
    case MSG_TRAFFIC_ENDED:
      ctl->traffic_ended = true;
      break;
    default:
      break;
    }
  free (msg);
}

static int
start_claims (struct control *ctl)
{
  struct claim_settings set = claim_settings_default;
  set.writer = ctl->set.name;
  set.incarnation = ctl->set.incarnation;
  set.key_lifetime_ms = ctl->set.key_lifetime_ms;
  set.appends_per_s = ctl->set.appends_per_s;
  return claims_init (&ctl->claims, ctl, &set, ctl->store, ctl->ev, ctl->clk);
}

static int
start_state (struct control *ctl)
{
  struct state_settings set = state_settings_default;
  set.writer = ctl->set.name;
  set.incarnation = ctl->set.incarnation;
  set.logger = ctl->lg;
  set.counters = ctl->ctr;
  int err = state_init (&ctl->state, ctl, &set, ctl->store, ctl->ev, ctl->clk);
  if (!err)
    state_on_change (&ctl->state, on_state_change, ctl);
  return err;
}

int
control_create (void *parent, struct tevent_context *ev,
                const struct control_settings *set, struct log_store *store,
                struct host_api *host_api, const struct clock *clk,
                struct logger *lg, struct counters *ctr, struct control **out)
{
  struct control *ctl = talloc_zero (parent, struct control);
  if (!ctl)
    return ERR_NOMEM;
  ctl->set = *set;
  ctl->ev = ev;
  ctl->store = store;
  ctl->host_api = host_api;
  ctl->clk = clk;
  ctl->lg = lg;
  ctl->ctr = ctr;
  ctl->last_snapshot_us = clock_now_us (clk);
  memcpy (ctl->jitter_state, &set->seed, sizeof ctl->jitter_state);
  ctl->start_us = clock_now_us (clk);
  int err = mailbox_init (&ctl->inbox, ev, on_message, ctl);
  if (!err)
    err = control_peers_start (ctl);
  if (!err)
    err = start_claims (ctl);
  if (!err)
    err = start_state (ctl);
  if (!err)
    err = control_waves_start (ctl);
  if (!err)
    err = control_operator_start (ctl);
  *out = ctl;
  if (!err)
    poll_hosts (ctl);
  return err;
}

void
control_destroy (struct control *ctl)
{
  if (!ctl)
    return;
  if (ctl->inbox.fde)
    mailbox_close (&ctl->inbox);
  if (ctl->waves.priv)
    wave_run_fini (&ctl->waves);
  operator_destroy (ctl->opl);
  if (ctl->state.priv)
    state_fini (&ctl->state);
  if (ctl->claims.priv)
    claims_fini (&ctl->claims);
  if (ctl->peers.priv)
    peers_fini (&ctl->peers);
  if (ctl->inbox.fde)
    mailbox_fini (&ctl->inbox);
  view_unref (ctl->view);
  talloc_free (ctl);
}

uint16_t
control_peer_port (const struct control *ctl)
{
  return ctl->peer_port;
}

struct mailbox *
control_mailbox (struct control *ctl)
{
  return &ctl->inbox;
}

void
control_attach (struct control *ctl, struct traffic *trf)
{
  ctl->traffic = trf;
  post_view (ctl);
}

void
control_detach (struct control *ctl)
{
  ctl->traffic = NULL;
}

static void
post_command (struct control *ctl, enum message_type type)
{
  struct message *msg = message_new (type, sizeof *msg);
  if (msg && !mailbox_post (traffic_mailbox (ctl->traffic), msg))
    free (msg);
}

void
control_drain (struct control *ctl)
{
  ctl->draining = true;
  if (ctl->peers.priv)
    peers_set_ready (&ctl->peers, false);
  post_command (ctl, MSG_DRAIN);
}

void
control_stop_now (struct control *ctl)
{
  post_command (ctl, MSG_STOP);
}

bool
control_traffic_ended (const struct control *ctl)
{
  return ctl->traffic_ended;
}

bool
control_claims_idle (const struct control *ctl)
{
  return claims_idle (&ctl->claims);
}
