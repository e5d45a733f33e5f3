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
      pools[n].own = load.own;
      pools[n].peers = load.peers;
    }
  for (uint32_t n = 0; n < vw->target_count; n++)
    {
      const struct target_info *info = &vw->targets[n];
      pools[info->pool].targets++;
      if (route_find (&trf->rt, info->host, &tgt) == 0
          && route_target_state (&trf->rt, tgt, now) == TARGET_EJECTED)
        pools[info->pool].ejected++;
    }
}

void
report_status (struct traffic *trf, const struct mail_ask *ask)
{
  struct view *vw = trf->view;
  size_t pools = vw ? vw->pool_count : 0;
  size_t kinds = vw ? vw->kind_count : 0;
  struct mail_status *mail = mail_new (
      MAIL_STATUS, sizeof *mail + kinds * sizeof (struct status_kind)
                       + pools * sizeof (struct status_pool));
  if (!mail)
    return;
  mail->ask = ask->ask;
  mail->draining = trf->draining;
  mail->open = trf->open_count;
  mail->kinds = (struct status_kind *)mail->data;
  mail->pools = (struct status_pool *)(mail->kinds + kinds);
  if (vw)
    {
      mail->view = view_ref (vw);
      count_targets (trf, mail->pools);
    }
  for (uint32_t n = 0; n < kinds; n++)
    {
      struct admit_kind_stats st;
      admit_kind_stats (&trf->adm, n, &st);
      mail->kinds[n] = (struct status_kind){
        .running = st.running,
        .queued = st.queued,
        .started = st.started,
        .refused = st.refused,
      };
    }
  if (!mailbox_post (trf->control, &mail->mail))
    {
      view_unref (mail->view);
      free (mail);
    }
}

void
report_stories (struct traffic *trf, const struct mail_ask *ask)
{
  struct mail_story *mail = mail_new (MAIL_STORY, sizeof *mail);
  if (!mail)
    return;
  mail->ask = ask->ask;
  stories_find (&trf->stories, ask->id, &mail->found);
  if (!mailbox_post (trf->control, &mail->mail))
    free (mail);
}
