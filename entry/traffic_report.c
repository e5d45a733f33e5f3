#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "entry/traffic_priv.h"

static void
count_targets (struct traffic *trf, struct status_pool *pools)
{
  const struct view *vw = trf->view;
  int64_t now = clock_now_us (trf->clk);
  struct route_pool_load load;
  struct target_handle tgt;

  for (uint32_t n = 0; n < vw->pool_count; n++)
    {
      route_pool_load (&trf->rt, n, now, &load);
      pools[n].taking_work = load.targets;
      pools[n].slots = load.slots;
      pools[n].own_attempts = load.own_attempts;
      pools[n].peer_attempts = load.peer_attempts;
    }
  for (uint32_t n = 0; n < vw->target_count; n++)
    {
      const struct target_info *info = &vw->targets[n];
      pools[info->pool].targets++;
      if (route_find_target (&trf->rt, info->host, &tgt) == 0
          && route_target_state (&trf->rt, tgt, now) == TARGET_EJECTED)
        pools[info->pool].ejected++;
    }
}

void
report_status (struct traffic *trf, const struct message_query *query)
{
  struct view *vw = trf->view;
  size_t pools = vw ? vw->pool_count : 0;
  size_t kinds = vw ? vw->kind_count : 0;
  struct message_status *msg = message_new (
      MSG_STATUS, sizeof *msg + kinds * sizeof (struct status_kind)
                      + pools * sizeof (struct status_pool));
  if (!msg)
    return;
  msg->query_id = query->query_id;
  msg->draining = trf->draining;
  msg->open_requests = trf->open_count;
  msg->kinds = (struct status_kind *)msg->data;
  msg->pools = (struct status_pool *)(msg->kinds + kinds);
  if (vw)
    {
      msg->view = view_ref (vw);
      count_targets (trf, msg->pools);
    }
  for (uint32_t n = 0; n < kinds; n++)
    {
      struct admit_kind_stats st;
      admit_kind_stats (&trf->adm, n, &st);
      msg->kinds[n] = (struct status_kind){
        .running = st.running,
        .queued = st.queued,
        .started = st.started,
        .refused = st.refused,
      };
    }
  if (!mailbox_post (trf->control, &msg->base))
    {
      view_unref (msg->view);
      free (msg);
    }
}

void
report_traces (struct traffic *trf, const struct message_query *query)
{
  struct message_traces *msg = message_new (MSG_TRACES, sizeof *msg);
  if (!msg)
    return;
  msg->query_id = query->query_id;
  trace_ring_find (&trf->traces, query->request_id, &msg->found);
  if (!mailbox_post (trf->control, &msg->base))
    free (msg);
}
