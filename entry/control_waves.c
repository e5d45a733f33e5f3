#include "base/err.h"
#include "base/log.h"
#include "entry/control_priv.h"

static const char *
pool_of (void *arg, const char *host)
{
  return control_assigned_pool (arg, host);
}

int
control_waves_start (struct control *ctl)
{
  struct wave_run_settings set;
  wave_run_settings_init (&set);
  set.core.name = ctl->set.name;
  set.core.incarnation = ctl->set.incarnation;
  set.core.data_centre = ctl->set.data_centre;
  return wave_run_init (&ctl->waves, ctl, &set, ctl->store, ctl->host_api,
                        ctl->ev, ctl->clk, ctl->lg);
}

void
control_waves_update (struct control *ctl, bool changed)
{
  if (!changed)
    {
      wave_run_touch_fleet (&ctl->waves);
      return;
    }
  const struct fold *fold = state_fold (&ctl->state);
  int err = wave_run_set_fleet (&ctl->waves, ctl->hosts, fold->table, pool_of,
                                (void *)fold);
  if (err)
    log_event (ctl->lg, EV_VIEW_FAILED, LOG_S ("error", err_name (err)));
}
