#include <stdio.h>
#include <stdlib.h>
#include <talloc.h>

#include "base/clock.h"
#include "base/log.h"
#include "entry/traffic_priv.h"

#define PROBE_TIMEOUT_MS 1000

struct probe_call
{
  struct traffic *trf;
  struct target_handle target;
};

static void
publish_health (struct traffic *trf, struct target_handle tgt, bool ejected)
{
  const struct target_info *info = route_target_info (&trf->rt, tgt);
  if (!info)
    return;
  log_event (trf->lg, EV_TARGET_HEALTH, LOG_S ("target", info->host),
             LOG_S ("health", ejected ? "ejected" : "healthy"));
  struct message_own_health *msg = message_new (MSG_OWN_HEALTH, sizeof *msg);
  if (!msg)
    return;
  snprintf (msg->host, sizeof msg->host, "%s", info->host);
  msg->ejected = ejected;
  if (!mailbox_post (trf->control, &msg->base))
    free (msg);
}

static void
on_health (void *arg, bool healthy)
{
  struct probe_call *call = arg;
  struct traffic *trf = call->trf;
  route_probe_done (&trf->rt, call->target, healthy, clock_now_us (trf->clk));
  publish_health (trf, call->target, !healthy);
  talloc_free (call);
}

static void
start_probe (struct traffic *trf, struct target_handle tgt)
{
  const struct target_info *info = route_target_info (&trf->rt, tgt);
  struct probe_call *call = talloc_zero (trf, struct probe_call);
  if (call && info)
    {
      call->trf = trf;
      call->target = tgt;
      if (dispatch_probe (trf->dsp, info->address, PROBE_TIMEOUT_MS, on_health,
                          call)
          == 0)
        return;
    }
  talloc_free (call);
  route_probe_done (&trf->rt, tgt, false, clock_now_us (trf->clk));
}

void
flow_start_probes (struct traffic *trf)
{
  struct target_handle tgt;
  while (route_next_probe (&trf->rt, clock_now_us (trf->clk), &tgt))
    start_probe (trf, tgt);
}
