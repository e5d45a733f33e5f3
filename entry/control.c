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

/* A process that starts with nothing reads at most about this many records
   after the last snapshot.  */
#define SNAPSHOT_RECORDS 4096
/* Well below the time that the log keeps records, which is days.  */
#define SNAPSHOT_AGE_US (3600 * (int64_t)1000000)
#define SNAPSHOT_SPREAD_US 10000000
#define SNAPSHOT_TIMEOUT_MS 30000

static void poll_hosts (struct control *ctl);

void
control_post (struct control *ctl, struct mail *mail)
{
  if (!ctl->traffic || !mailbox_post (traffic_mailbox (ctl->traffic), mail))
    free (mail);
}

static void
post_view (struct control *ctl)
{
  if (!ctl->traffic || !ctl->view)
    return;
  struct mail_view *mail = mail_new (MAIL_VIEW, sizeof *mail);
  if (!mail)
    return;
  mail->view = view_ref (ctl->view);
  if (!mailbox_post (traffic_mailbox (ctl->traffic), &mail->mail))
    {
      view_unref (mail->view);
      free (mail);
    }
}

static int
compare_assignment (const void *key, const void *item)
{
  const struct fold_host *const *host = item;
  return strcmp (key, (*host)->host);
}

const char *
control_assignment (const void *fold, const char *host)
{
  const struct fold *fd = fold;
  struct fold_host **found
      = fd->host_count
            ? bsearch (host, fd->hosts, fd->host_count,
                       sizeof (struct fold_host *), compare_assignment)
            : NULL;
  return found ? (*found)->pool : NULL;
}

static void
rebuild_view (struct control *ctl)
{
  struct view *vw;
  if (!ctl->hosts || !ctl->table_known)
    return;
  const struct fold *fd = state_fold (&ctl->state);
  const struct view_input in = {
    .last = ctl->view,
    .hosts = ctl->hosts,
    .table = fd->table,
    .data_centre = ctl->set.data_centre,
    .assignment = control_assignment,
    .assignment_arg = fd,
    .folded_offset = fd->next_offset,
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
  control_waves_view (ctl, true);
}

/* The state calls back first when it has reached the log's end, so that a
   process with an empty memory never serves by an old table.  */
static void
on_state (void *arg, const struct fold *fd)
{
  struct control *ctl = arg;
  ctl->table_known = true;
  if (ctl->peers.priv)
    peers_set_folded (&ctl->peers, fd->next_offset);
  log_event (ctl->lg, EV_TABLE_IN_FORCE, LOG_I ("offset", fd->next_offset),
             LOG_I ("rows", fd->table->count));
  rebuild_view (ctl);
}

static void
on_snapshot (void *arg, int err)
{
  struct control *ctl = arg;
  ctl->snapshot_open = false;
}

/* Every process may write the snapshot; the delay, drawn anew each time,
   makes it likely that one does before the others come to it.  A second
   snapshot does no harm.  */
static void
consider_snapshot (struct control *ctl)
{
  int64_t now = clock_now_us (ctl->clk);
  uint64_t records = state_records_since_snapshot (&ctl->state);
  bool due = records >= SNAPSHOT_RECORDS
             || (records > 0 && now - ctl->snapshot_us >= SNAPSHOT_AGE_US);
  if (records == 0)
    ctl->snapshot_us = now;
  if (!due || ctl->snapshot_open || !state_ready (&ctl->state))
    {
      ctl->snapshot_at_us = 0;
      return;
    }
  if (ctl->snapshot_at_us == 0)
    ctl->snapshot_at_us
        = now + (int64_t)(erand48 (ctl->random) * SNAPSHOT_SPREAD_US);
  if (now < ctl->snapshot_at_us)
    return;
  ctl->snapshot_at_us = 0;
  ctl->snapshot_us = now;
  ctl->snapshot_open
      = state_snapshot (&ctl->state, SNAPSHOT_TIMEOUT_MS, on_snapshot, ctl)
        == 0;
}

static void
on_hosts_timer (struct tevent_context *ev, struct tevent_timer *te,
                struct timeval tv, void *arg)
{
  consider_snapshot (arg);
  control_peers_count (arg);
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
  ctl->hosts_us = clock_now_us (ctl->clk);
  if (ctl->hosts && ctl->hosts->version == list->version)
    {
      talloc_free (list);
      control_waves_view (ctl, false);
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
  /* Parsing an unchanged list took most of an idle process's time.  */
  bool unchanged = !err && ctl->hosts && digest == ctl->hosts_digest;

  if (!err && !unchanged)
    err = host_list_parse (ctl, res->json, res->len, &list);
  if (err)
    hosts_failed (ctl, err);
  else if (unchanged)
    ctl->hosts_stale = false;
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
  int err = log_store_hosts (ctl->store, on_hosts, ctl);
  if (err)
    {
      const struct hosts_result res = { .err = err };
      on_hosts (ctl, &res);
    }
}

static void
on_mail (void *arg, struct mail *mail)
{
  struct control *ctl = arg;
  switch ((enum mail_type)mail->type)
    {
    case MAIL_CLAIM:
      control_claim (ctl, (struct mail_claim *)mail);
      break;
    case MAIL_RELEASE:
      control_release (ctl, (struct mail_release *)mail);
      break;
    case MAIL_DONE:
      control_done (ctl, (struct mail_done *)mail);
      break;
    case MAIL_OWN_LOAD:
      control_peers_load (ctl, (struct mail_own_load *)mail);
      break;
    case MAIL_OWN_HEALTH:
      control_peers_health (ctl, (struct mail_own_health *)mail);
      break;
    case MAIL_STATUS:
      control_operator_status (ctl, (struct mail_status *)mail);
      break;
    case MAIL_STORY:
      control_operator_story (ctl, (struct mail_story *)mail);
      break;
    case MAIL_TRAFFIC_IDLE:
      ctl->traffic_idle = true;
      break;
    default:
      break;
    }
  free (mail);
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
    state_on_change (&ctl->state, on_state, ctl);
  return err;
}

int
control_create (void *parent, struct tevent_context *ev,
                const struct control_settings *set, struct log_store *store,
                struct host_store *host_store, const struct clock *clk,
                struct logger *lg, struct counters *ctr, struct control **out)
{
  struct control *ctl = talloc_zero (parent, struct control);
  if (!ctl)
    return ERR_NOMEM;
  ctl->set = *set;
  ctl->ev = ev;
  ctl->store = store;
  ctl->host_store = host_store;
  ctl->clk = clk;
  ctl->lg = lg;
  ctl->ctr = ctr;
  ctl->snapshot_us = clock_now_us (clk);
  memcpy (ctl->random, &set->seed, sizeof ctl->random);
  ctl->start_us = clock_now_us (clk);
  int err = mailbox_init (&ctl->inbox, ev, on_mail, ctl);
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
post_plain (struct control *ctl, enum mail_type type)
{
  struct mail *mail = mail_new (type, sizeof *mail);
  if (mail && !mailbox_post (traffic_mailbox (ctl->traffic), mail))
    free (mail);
}

void
control_drain (struct control *ctl)
{
  ctl->draining = true;
  if (ctl->peers.priv)
    peers_set_ready (&ctl->peers, false);
  post_plain (ctl, MAIL_DRAIN);
}

void
control_stop_now (struct control *ctl)
{
  post_plain (ctl, MAIL_STOP);
}

bool
control_traffic_idle (const struct control *ctl)
{
  return ctl->traffic_idle;
}

bool
control_idle (const struct control *ctl)
{
  return claims_idle (&ctl->claims);
}
