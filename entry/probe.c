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
report_health (struct traffic *trf, struct target_handle tgt, bool ejected)
{
  const struct target_info *info = route_target (&trf->rt, tgt);
  if (!info)
    return;
  log_event (trf->lg, EV_TARGET_HEALTH, LOG_S ("target", info->host),
             LOG_S ("health", ejected ? "ejected" : "back"));
  struct mail_own_health *mail = mail_new (MAIL_OWN_HEALTH, sizeof *mail);
  if (!mail)
    return;
  snprintf (mail->host, sizeof mail->host, "%s", info->host);
  mail->ejected = ejected;
  if (!mailbox_post (trf->control, &mail->mail))
    free (mail);
}

static void
on_health (void *arg, bool healthy)
{
  struct probe_call *call = arg;
  struct traffic *trf = call->trf;
  route_probe_done (&trf->rt, call->target, healthy, clock_now_us (trf->clk));
  report_health (trf, call->target, !healthy);
  talloc_free (call);
}

static void
start_probe (struct traffic *trf, struct target_handle tgt)
{
  const struct target_info *info = route_target (&trf->rt, tgt);
  struct probe_call *call = talloc_zero (trf, struct probe_call);
  if (call && info)
    {
      call->trf = trf;
      call->target = tgt;
      if (dispatch_health (trf->dsp, info->address, PROBE_TIMEOUT_MS,
                           on_health, call)
          == 0)
        return;
    }
  talloc_free (call);
  route_probe_done (&trf->rt, tgt, false, clock_now_us (trf->clk));
}

void
flow_probe (struct traffic *trf)
{
  struct target_handle tgt;
  while (route_next_probe (&trf->rt, clock_now_us (trf->clk), &tgt))
    start_probe (trf, tgt);
}
