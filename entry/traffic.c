#include "entry/traffic.h"

#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <talloc.h>
#include <tevent.h>

#include "base/clock.h"
#include "base/counter.h"
#include "base/err.h"
#include "base/log.h"
#include "entry/traffic_priv.h"

/* Interval at which the share of slots is recomputed and load is reported.  */
#define REFRESH_US 20000
#define LOAD_REPORT_MAX 256
#define CONNECT_TIMEOUT_MS 1000
#define MAX_CONNECTIONS 4096

struct policy
{
  const char *name;
  const struct admit_policy *admit;
  const struct route_policy *route;
  uint32_t max_attempts; /* 0: from the table of kinds */
};

/* "fair" is the product's policy; the others are baselines for measurements.
   "thin" behaves like the program's first version: no limits, a random target
   and one attempt.  */
static const struct policy policies[] = {
  { "fair", &admit_fair, &route_least_loaded, 0 },
  { "static-split", &admit_static_split, &route_least_loaded, 0 },
  { "random", &admit_no_limits, &route_random, 0 },
  { "thin", &admit_no_limits, &route_random, 1 },
};

static const struct policy *
policy_find (const char *name)
{
  for (size_t n = 0; n < sizeof policies / sizeof *policies; n++)
    if (strcmp (policies[n].name, name) == 0)
      return &policies[n];
  return NULL;
}

/* Slots that this process may use in a pool: those that the peers leave free,
   but at least its even share, so that a stale or high count of a peer cannot
   stop it.  Where two processes count on the same slot, the target refuses one
   of the attempts.  */
static uint32_t
usable_slots (const struct route_pool_load *load, uint32_t entry_count)
{
  uint32_t even = (load->slots + entry_count - 1) / entry_count;
  uint32_t left = load->slots > load->peer_attempts
                      ? load->slots - load->peer_attempts
                      : 0;
  return left > even ? left : even;
}

static void
refresh_slots (struct traffic *trf)
{
  struct route_pool_load load;
  if (!trf->view)
    return;
  for (uint32_t pool = 0; pool < trf->view->pool_count; pool++)
    {
      route_pool_load (&trf->rt, pool, clock_now_us (trf->clk), &load);
      admit_set_pool (&trf->adm, pool, usable_slots (&load, trf->entry_count));
    }
  flow_start_all_queued (trf);
}

static void
publish_load (struct traffic *trf)
{
  struct route_candidate changes[LOAD_REPORT_MAX];
  size_t count = route_take_load_changes (&trf->rt, changes, LOAD_REPORT_MAX);
  if (count == 0)
    return;
  struct message_own_load *msg;
  msg = message_new (MSG_OWN_LOAD, sizeof *msg + count * sizeof msg->loads[0]);
  if (!msg)
    return;
  for (size_t n = 0; n < count; n++)
    {
      const struct target_info *info
          = route_target_info (&trf->rt, changes[n].target);
      if (!info)
        continue;
      memcpy (msg->loads[msg->count].host, info->host, VIEW_NAME_SIZE);
      msg->loads[msg->count].in_flight = changes[n].in_flight;
      msg->loads[msg->count].slots = changes[n].slots;
      msg->count++;
    }
  if (!mailbox_post (trf->control, &msg->base))
    free (msg);
}

static void
stop_if_drained (struct traffic *trf)
{
  if (trf->rejecting && trf->open_count == 0
      && listener_open_count (trf->lis) == 0)
    trf->stopped = true;
}

static void
on_refresh (struct tevent_context *ev, struct tevent_timer *te,
            struct timeval tv, void *arg)
{
  struct traffic *trf = arg;
  flow_detect_pause (trf);
  if (flow_backlog_unread (trf) && listener_read_pending (trf->lis))
    flow_backlog_read (trf);
  refresh_slots (trf);
  publish_load (trf);
  flow_start_probes (trf);
  stop_if_drained (trf);
  trf->refresh_timer = tevent_add_timer (
      ev, ev, tevent_timeval_current_ofs (0, REFRESH_US), on_refresh, trf);
}

static void
apply_kinds (struct traffic *trf)
{
  for (uint32_t n = 0; n < trf->view->kind_count; n++)
    {
      struct view_kind *kind = &trf->view->kinds[n];
      int err = admit_set_kind (&trf->adm, n, &kind->limits);
      if (err)
        log_event (trf->lg, EV_KIND_REJECTED, LOG_S ("kind", kind->name),
                   LOG_S ("error", err_name (err)));
    }
}

static void
apply_view (struct traffic *trf, struct view *vw)
{
  view_unref (trf->view);
  trf->view = vw;
  apply_kinds (trf);
  route_set_targets (&trf->rt, vw->targets, vw->target_count,
                     clock_now_us (trf->clk));
  refresh_slots (trf);
}

static void
on_leave_timeout (struct tevent_context *ev, struct tevent_timer *te,
                  struct timeval tv, void *arg)
{
  struct traffic *trf = arg;
  trf->leave_timer = NULL;
  /* After a pause of the process this timer runs before requests that arrived
     in time are read.  */
  listener_read_pending (trf->lis);
  trf->rejecting = true;
  stop_if_drained (trf);
}

static void
begin_drain (struct traffic *trf)
{
  if (trf->draining)
    return;
  trf->draining = true;
  trf->leave_timer = tevent_add_timer (
      trf->ev, trf->ev,
      tevent_timeval_current_ofs (trf->set.leave_ms / 1000,
                                  trf->set.leave_ms % 1000 * 1000),
      on_leave_timeout, trf);
}

static void
apply_peer_load (struct traffic *trf, const struct message_peer_load *msg)
{
  struct target_handle tgt;
  if (route_find_target (&trf->rt, msg->host, &tgt) == 0)
    route_peer_load (&trf->rt, msg->peer, tgt, msg->in_flight,
                     clock_now_us (trf->clk));
}

static void
apply_peer_health (struct traffic *trf, const struct message_peer_health *msg)
{
  struct target_handle tgt;
  if (route_find_target (&trf->rt, msg->host, &tgt) == 0)
    route_peer_health (&trf->rt, tgt, msg->ejected, clock_now_us (trf->clk));
}

static void
on_message (void *arg, struct message *msg)
{
  struct traffic *trf = arg;
  switch ((enum message_type)msg->type)
    {
    case MSG_VIEW:
      apply_view (trf, ((struct message_view *)msg)->view);
      break;
    case MSG_CLAIM_VERDICT:
      if (!trf->aborted)
        flow_claim_settled (trf, (struct message_claim_verdict *)msg);
      break;
    case MSG_CLAIM_RELEASED:
      if (!trf->aborted)
        flow_claim_released (trf, (struct message_claim_released *)msg);
      break;
    case MSG_PEER_LOAD:
      apply_peer_load (trf, (struct message_peer_load *)msg);
      break;
    case MSG_PEER_HEALTH:
      apply_peer_health (trf, (struct message_peer_health *)msg);
      break;
    case MSG_ENTRY_COUNT:
      trf->entry_count = ((struct message_entry_count *)msg)->entry_count;
      break;
    case MSG_QUERY_STATUS:
      report_status (trf, (struct message_query *)msg);
      break;
    case MSG_QUERY_TRACES:
      report_traces (trf, (struct message_query *)msg);
      break;
    case MSG_DRAIN:
      begin_drain (trf);
      break;
    case MSG_STOP:
      flow_abort_all (trf);
      trf->aborted = true;
      trf->rejecting = true;
      stop_if_drained (trf);
      break;
    default:
      break;
    }
  free (msg);
}

static void
on_request (void *arg, struct request *req)
{
  flow_submit (arg, req);
}

static unsigned int
on_get (void *arg, const char *path, void *parent, char **text)
{
  struct traffic *trf = arg;
  if (strcmp (path, "/healthz") == 0)
    {
      *text = talloc_strdup (parent, "ok\n");
      return 200;
    }
  if (strcmp (path, "/readyz") == 0)
    {
      bool ready = trf->view && !trf->draining;
      *text = talloc_strdup (parent, ready ? "ready\n" : "not ready\n");
      return ready ? 200 : 503;
    }
  if (strcmp (path, "/metrics") == 0)
    {
      *text = counters_format (trf->ctr, parent);
      return 200;
    }
  return 0;
}

static void *
traffic_main (void *arg)
{
  struct traffic *trf = arg;
  while (!trf->stopped && tevent_loop_once (trf->ev) == 0)
    ;
  /* Messages that are still in transit may refer to freed requests.  */
  mailbox_close (&trf->inbox);
  if (trf->open_count > 0)
    flow_abort_all (trf);
  trf->aborted = true;
  while (listener_open_count (trf->lis) > 0 && tevent_loop_once (trf->ev) == 0)
    ;
  struct message *msg = message_new (MSG_TRAFFIC_ENDED, sizeof *msg);
  if (msg && !mailbox_post (trf->control, msg))
    free (msg);
  return NULL;
}

static int
traffic_init (struct traffic *trf)
{
  const struct policy *pol = policy_find (trf->set.policy);
  struct route_settings route_set = route_settings_default;
  const struct dispatch_settings dispatch_set = {
    .max_attempts = trf->set.max_open,
    .max_connections = MAX_CONNECTIONS,
    .max_answer = trf->set.listener.max_body,
    .connect_timeout_ms = CONNECT_TIMEOUT_MS,
  };
  const struct listener_handler handler
      = { .request = on_request, .get = on_get, .arg = trf };

  if (!pol)
    return ERR_INVALID;
  route_set.seed = trf->set.seed;
  trf->policy_attempts = pol->max_attempts;
  retry_budget_init (&trf->retry_budget, &retry_settings_default);
  int err = admit_init (&trf->adm, trf, pol->admit);
  if (!err)
    err = route_init (&trf->rt, trf, pol->route, &route_set);
  if (!err)
    err = dispatch_create (trf, trf->ev, trf->clk, &dispatch_set, &trf->dsp);
  if (!err)
    err = trace_ring_init (&trf->traces, trf, trf->set.trace_count);
  if (!err)
    err = forward_init (trf, trf->set.remotes);
  if (!err)
    err = mailbox_init (&trf->inbox, trf->ev, on_message, trf);
  if (!err)
    err = listener_create (trf, trf->ev, &trf->set.listener, &handler,
                           &trf->lis);
  return err;
}

static void
traffic_fini (struct traffic *trf)
{
  if (trf->lis)
    listener_destroy (trf->lis);
  if (trf->inbox.fde)
    mailbox_fini (&trf->inbox);
  dispatch_destroy (trf->dsp);
  if (trf->rt.priv)
    route_fini (&trf->rt);
  if (trf->adm.priv)
    admit_fini (&trf->adm);
  view_unref (trf->view);
  talloc_free (trf->ev);
  talloc_free (trf);
}

int
traffic_start (const struct traffic_settings *set, const struct clock *clk,
               struct logger *lg, struct counters *ctr,
               struct mailbox *control, struct traffic **out)
{
  struct traffic *trf = talloc_zero (NULL, struct traffic);
  if (!trf)
    return ERR_NOMEM;
  trf->set = *set;
  trf->clk = clk;
  trf->lg = lg;
  trf->ctr = ctr;
  trf->control = control;
  trf->entry_count = 1;
  trf->last_run_us = clock_now_us (clk);
  trf->ev = tevent_context_init (NULL);
  int err = trf->ev ? traffic_init (trf) : ERR_NOMEM;
  if (err)
    goto fail;
  err = ERR_NOMEM;
  trf->refresh_timer = tevent_add_timer (
      trf->ev, trf->ev, tevent_timeval_current_ofs (0, REFRESH_US), on_refresh,
      trf);
  if (!trf->refresh_timer)
    goto fail;
  err = ERR_SYSTEM;
  if (pthread_create (&trf->thread, NULL, traffic_main, trf) != 0)
    goto fail;
  *out = trf;
  return 0;

fail:
  traffic_fini (trf);
  return err;
}

uint16_t
traffic_port (const struct traffic *trf)
{
  return listener_port (trf->lis);
}

struct mailbox *
traffic_mailbox (struct traffic *trf)
{
  return &trf->inbox;
}

void
traffic_join (struct traffic *trf)
{
  pthread_join (trf->thread, NULL);
  traffic_fini (trf);
}
